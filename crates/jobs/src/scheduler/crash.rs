//! Tasks that crash the workers on which they start.
//!
//! Load pattern: a tenth of the jobs of one queue have a task that crashes each worker
//! within milliseconds, while a dozen other tasks run beside it; and pools that lose a
//! worker each second although no task is to blame. The end of a worker is evidence against
//! each run on it, as module `evidence` weighs it: conclusive evidence ends the job. Module
//! `isolation` keeps suspected tasks apart, so that few ends are due to others.
//!
//! The evidence is stored with the job, before the next start. A run that goes on for long
//! enough clears its task.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::mem;
use std::time;

use crate::evidence::{CrashEvidence, EndRate, EndVerdict, RunSpan};
use crate::name::{JobId, PoolName, TaskId, WorkerId};
use crate::record::{FailureReason, JobFailure, JobState};
use crate::time::BootTime;

use super::entry::{JobEntry, StartCaution, TaskPhase};
use super::fleet::ContactState;
use super::{JobScheduler, LossCause, SchedulerEvent};

/// Time between two looks at the runs of suspected tasks.
const CLEARING_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Time for which the runs of a lost worker are remembered: the worker may come back with
/// them, or turn out to have crashed.
const LOSS_RETENTION: time::Duration = time::Duration::from_secs(60);

/// Run that was lost with its worker.
#[derive(Clone, Debug)]
pub(super) struct LostRun {
    task: TaskId,
    run: u32,
    /// For how long it went on.
    span: RunSpan,
    /// What the end says about the task, once that is counted.
    verdict: Option<EndVerdict>,
}

/// Worker that ended, with its runs.
#[derive(Clone, Debug)]
pub(super) struct LostWorker {
    incarnation: u64,
    pool: Option<PoolName>,
    runs: Vec<LostRun>,
    /// Whether all of them are of one job.
    is_isolated: bool,
    /// How often it ended by itself before.
    rate: EndRate,
    /// Whether it has responded to this owner: otherwise it may have ended long ago.
    was_in_contact: bool,
    /// Whether the crash is counted against their tasks.
    is_counted: bool,
    lost_at: BootTime,
}

impl LostWorker {
    /// Returns whether the worker is taken to have ended by itself: no run that may have
    /// crashed it had just begun.
    fn ended_by_itself(&self) -> bool {
        self.was_in_contact && !self.runs.iter().any(|run| run.span.had_just_begun())
    }
}

/// Suspected tasks, and what is known of lost workers.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashTracker {
    /// Tasks under which a worker has crashed, with the time of the latest crash.
    pub(super) suspects: BTreeMap<TaskId, BootTime>,
    lost: HashMap<WorkerId, LostWorker>,
    /// Time of the present placement.
    placed_at: BootTime,
    /// Whether a task has found no vacant worker in the present placement and waits.
    pub(super) is_waiting: bool,
    checked_at: BootTime,
}

impl CrashTracker {
    /// Returns whether a worker has crashed under a task that is tracked.
    pub(super) fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    pub(super) fn add_suspect(&mut self, task: TaskId, now: BootTime) {
        self.suspects.insert(task, now);
    }

    /// Begins a placement.
    pub(super) fn begin_placement(&mut self, now: BootTime) {
        self.placed_at = now;
    }

    /// Returns the time since the latest crash under a task; for longer than any wait if it
    /// was under an earlier owner.
    pub(super) fn waited(&self, task: &TaskId) -> time::Duration {
        let crashed_at = self.suspects.get(task).copied().unwrap_or_default();
        self.placed_at.saturating_since(crashed_at)
    }
}

impl JobScheduler {
    /// Returns a worker that ends now, with the runs that may have crashed it: those that
    /// may have begun.
    pub(super) fn lost_worker(&self, id: &WorkerId, now: BootTime) -> LostWorker {
        let entry = self.fleet.get(id);
        let view = entry.and_then(|entry| entry.view.as_ref());
        let runs = self.lost_runs(id, now);
        let jobs: BTreeSet<&JobId> = runs.iter().map(|run| &run.task.job).collect();
        LostWorker {
            incarnation: entry.map_or(0, |entry| entry.incarnation),
            pool: view.map(|view| view.pool.clone()),
            is_isolated: jobs.len() == 1,
            rate: self.end_rate(id, now),
            was_in_contact: entry.is_some_and(|entry| entry.contacted_at.is_some()),
            is_counted: false,
            lost_at: now,
            runs,
        }
    }

    fn lost_runs(&self, id: &WorkerId, now: BootTime) -> Vec<LostRun> {
        let Some(entry) = self.fleet.get(id) else {
            return Vec::new();
        };
        let silent_since = entry.silent_since.unwrap_or(now);
        let heard_at = entry.clock.map(|clock| clock.read_at);
        let reservations = entry.reservations.iter();
        let runs = reservations.filter_map(|(task, held)| {
            let current = self.task(task);
            let current = current.filter(|_| self.is_current(task, held.run, id));
            let trace = current.map(|entry| entry.trace).unwrap_or_default();
            let is_reserved =
                current.is_some_and(|entry| matches!(entry.phase, TaskPhase::Reserved(_)));
            if is_reserved || held.is_over || trace.has_not_begun(entry.refused_at) {
                return None;
            }
            Some(LostRun {
                task: task.clone(),
                run: held.run,
                span: trace.span(heard_at, silent_since),
                verdict: None,
            })
        });
        runs.collect()
    }

    /// Counts a crash against the tasks of the lost runs, or remembers them until it is
    /// known whether the worker crashed.
    pub(super) fn judge_loss(
        &mut self,
        id: &WorkerId,
        mut lost: LostWorker,
        cause: LossCause,
        now: BootTime,
    ) {
        let earlier = self.crashes.lost.get(id);
        if earlier.is_some_and(|earlier| earlier.incarnation == lost.incarnation) {
            // It has got no run since it was lost.
            if cause == LossCause::Crashed {
                self.confirm_loss(id, now);
            }
            return;
        }
        match cause {
            LossCause::Crashed => self.count_crash(id, &mut lost, now),
            LossCause::SharedFault => {
                // Only a run that had just begun may have crashed one of these workers.
                let rate = lost.rate;
                lost.runs.retain(|run| run.span.is_measured(rate));
                self.count_crash(id, &mut lost, now);
            }
            LossCause::Unreachable => {}
            LossCause::Drained | LossCause::Removed => return,
        }
        self.crashes.lost.insert(id.clone(), lost);
    }

    /// Handles that a lost worker is no longer listed: it has crashed. Returns whether it
    /// was one.
    pub(super) fn confirm_loss(&mut self, id: &WorkerId, now: BootTime) -> bool {
        let Some(mut lost) = self.crashes.lost.remove(id) else {
            return false;
        };
        self.count_crash(id, &mut lost, now);
        self.crashes.lost.insert(id.clone(), lost);
        true
    }

    /// Handles a sign of life of the present incarnation of a lost worker: the same one has not
    /// crashed, an earlier one has.
    pub(super) fn settle_loss(&mut self, id: &WorkerId, incarnation: u64, now: BootTime) {
        let Some(mut lost) = self.crashes.lost.remove(id) else {
            return;
        };
        if incarnation != lost.incarnation {
            self.count_crash(id, &mut lost, now);
        } else if lost.is_counted {
            self.retract_crash(&lost);
        }
    }

    fn count_crash(&mut self, id: &WorkerId, lost: &mut LostWorker, now: BootTime) {
        if mem::replace(&mut lost.is_counted, true) {
            return;
        }
        if let Some(pool) = lost.pool.as_ref().filter(|_| lost.ended_by_itself()) {
            self.ends.add(pool, id, now);
        }
        let mut runs = mem::take(&mut lost.runs);
        for run in &mut runs {
            run.verdict = self.record_crash(id, run, lost, now);
        }
        lost.runs = runs;
    }

    /// Counts the crash of a worker that has started again since an earlier owner stored a
    /// run there; what else ran there is not known.
    pub(super) fn count_inherited_crash(
        &mut self,
        id: &WorkerId,
        task: &TaskId,
        run: u32,
        now: BootTime,
    ) {
        let worker = LostWorker {
            is_isolated: false,
            ..self.lost_worker(id, now)
        };
        let lost = LostRun {
            task: task.clone(),
            run,
            span: RunSpan::default(),
            verdict: None,
        };
        self.record_crash(id, &lost, &worker, now);
    }

    /// Counts the end of a worker for or against the task of a run on it; returns what it
    /// says, unless it does not count.
    fn record_crash(
        &mut self,
        id: &WorkerId,
        lost: &LostRun,
        worker: &LostWorker,
        now: BootTime,
    ) -> Option<EndVerdict> {
        let is_final = |job: &JobEntry| job.state.is_final();
        if self.jobs.get(&lost.task.job).is_none_or(is_final) {
            return None;
        }
        let verdict = EndVerdict::new(&lost.span, worker.rate);
        let task = self.task_mut(&lost.task)?;
        // A run starts once at most: it crashes no second incarnation of a worker.
        if task.phase == TaskPhase::Done || task.crashed_run == lost.run {
            return None;
        }
        task.crashed_run = lost.run;
        let earlier = task.crashes;
        task.crashes = earlier.with(verdict);
        let evidence = task.crashes;
        if evidence != earlier {
            self.mark_changed(&lost.task.job);
            self.refresh_waiting(&lost.task.job);
        }
        match verdict {
            EndVerdict::Cleared => {
                self.crashes.suspects.remove(&lost.task);
                return Some(verdict);
            }
            EndVerdict::Neutral => return Some(verdict),
            EndVerdict::Measured(_) | EndVerdict::Unmeasured => {}
        }
        self.crashes.add_suspect(lost.task.clone(), now);
        self.events.push(SchedulerEvent::TaskSuspected {
            task: lost.task.clone(),
            run: lost.run,
            worker: id.clone(),
            crashes: evidence.count(),
            is_isolated: worker.is_isolated,
            span: lost.span,
            rate: worker.rate,
        });
        let rate = worker
            .pool
            .as_ref()
            .map(|pool| self.pool_end_rate(pool, now));
        let rate = rate.unwrap_or(worker.rate);
        if evidence.is_conclusive(rate, worker.is_isolated) {
            self.fail(&lost.task, FailureReason::CrashedWorkers, now);
        }
        Some(verdict)
    }

    fn retract_crash(&mut self, lost: &LostWorker) {
        for run in &lost.runs {
            let Some(verdict) = run.verdict else {
                continue;
            };
            if let Some(task) = self.task_mut(&run.task) {
                task.crashes = task.crashes.without(verdict);
                task.crashed_run = 0;
                self.mark_changed(&run.task.job);
                self.refresh_waiting(&run.task.job);
            }
        }
    }

    /// Ends a job because of one of its tasks.
    pub(super) fn fail(&mut self, task: &TaskId, reason: FailureReason, now: BootTime) {
        let job = self.jobs.get_mut(&task.job);
        if let Some(job) = job.filter(|job| !job.state.is_final()) {
            job.failure = Some(JobFailure {
                reason,
                task: task.clone(),
            });
        }
        self.finish(&task.job, JobState::Failed, now);
    }

    /// Clears suspected tasks whose runs have gone on for long enough, and forgets lost
    /// workers; to be called with each tick.
    pub(super) fn clear_suspects(&mut self, now: BootTime) {
        if now.saturating_since(self.crashes.checked_at) < CLEARING_INTERVAL {
            return;
        }
        self.crashes.checked_at = now;
        self.ends.prune(now);
        let is_recent = |lost: &LostWorker| now.saturating_since(lost.lost_at) < LOSS_RETENTION;
        self.crashes.lost.retain(|_, lost| is_recent(lost));
        for (task, crashed_at) in mem::take(&mut self.crashes.suspects) {
            if self.has_run_for_long(&task, now) {
                self.clear_suspect(&task);
            } else if self.is_suspect(&task) {
                self.crashes.suspects.insert(task, crashed_at);
            }
        }
    }

    fn is_suspect(&self, task: &TaskId) -> bool {
        let entry = self.task(task);
        entry.is_some_and(|entry| entry.crashes.count() > 0 && entry.phase != TaskPhase::Done)
    }

    fn has_run_for_long(&self, task: &TaskId, now: BootTime) -> bool {
        let Some(entry) = self.task(task) else {
            return false;
        };
        let TaskPhase::Running(location, _) = &entry.phase else {
            return false;
        };
        let worker = self.fleet.get(&location.worker);
        let responds = worker
            .is_some_and(|entry| entry.contact == ContactState::Responsive && !entry.is_over(task));
        let seen = entry.trace.seen();
        responds && seen.is_some_and(|seen| self.end_rate(&location.worker, now).clears(seen))
    }

    fn clear_suspect(&mut self, task: &TaskId) {
        let Some(entry) = self.task_mut(task) else {
            return;
        };
        entry.crashes = CrashEvidence::default();
        let worker = entry
            .phase
            .location()
            .map(|location| location.worker.clone());
        if let Some(worker) = worker {
            if let Some(entry) = self.fleet.get_mut(&worker) {
                entry.set_caution(task, StartCaution::None);
            }
            self.mark_worker_changed(&worker);
        }
        self.mark_changed(&task.job);
    }
}
