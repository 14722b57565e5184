//! Tasks that crash the workers on which they start.
//!
//! Load pattern: a tenth of the jobs of one queue have a task that crashes each worker
//! within milliseconds, while a dozen other tasks run beside it. A crash counts against
//! each run on the worker, but only little: a crash of a worker without runs of other jobs
//! shows which job is to blame, and ends it. Module `isolation` brings that about.
//!
//! The counts are stored with the job, before the next start. A run that goes on for long
//! enough clears its task.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::mem;
use std::time;

use crate::evidence::RunSpan;
use crate::name::{JobId, TaskId, WorkerId};
use crate::record::{CrashRecord, FailureReason, JobFailure, JobState};
use crate::time::BootTime;

use super::entry::{JobEntry, StartCaution, TaskPhase};
use super::fleet::ContactState;
use super::{JobScheduler, LossCause, SchedulerEvent};

/// Crashes, the latest of them in isolation, after which a job is given up.
const ISOLATED_CRASH_LIMIT: u32 = 3;

/// As [`ISOLATED_CRASH_LIMIT`], if all workers crashed before they had reported the run.
const START_CRASH_LIMIT: u32 = 2;

/// Crashes after which a job is given up whatever ran beside its task.
pub(super) const CRASH_LIMIT: u32 = 4;

/// Time after which a run clears its task of earlier crashes.
const CLEARING_TIME: time::Duration = time::Duration::from_secs(10);

/// Time between two looks at the runs of suspected tasks.
const CLEARING_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Time for which the runs of a lost worker are remembered: the worker may come back with
/// them, or turn out to have crashed.
const LOSS_RETENTION: time::Duration = time::Duration::from_secs(60);

/// Run that was lost with its worker.
#[derive(Clone, Debug)]
pub(super) struct LostRun {
    task: TaskId,
    run: u32,
    /// Whether no report of the worker has listed it.
    is_unreported: bool,
    /// For how long it went on.
    span: RunSpan,
}

/// Runs that were lost with a worker.
#[derive(Clone, Debug, Default)]
pub(super) struct LostWorker {
    incarnation: u64,
    runs: Vec<LostRun>,
    /// Whether all of them are of one job.
    is_isolated: bool,
    /// Whether the crash is counted against their tasks.
    is_counted: bool,
    lost_at: BootTime,
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
    /// Returns the runs on a worker that may have crashed it: those that were ordered.
    pub(super) fn runs_on(&self, id: &WorkerId, now: BootTime) -> LostWorker {
        let Some(entry) = self.fleet.get(id) else {
            return LostWorker::default();
        };
        let silent_since = entry.silent_since.unwrap_or(now);
        let reservations = entry.reservations.iter();
        let runs = reservations.filter_map(|(task, held)| {
            let is_current = self.is_current(task, held.run, id);
            let phase = self.task(task).map(|task| &task.phase);
            let is_unreported = match phase.filter(|_| is_current) {
                Some(TaskPhase::Reserved(_)) => return None,
                Some(TaskPhase::Ordered(_)) => true,
                Some(TaskPhase::Running(_, run)) => {
                    !run.is_reported && entry.contacted_at.is_some()
                }
                _ => false,
            };
            let trace = self.task(task).filter(|_| is_current);
            let trace = trace.map(|task| task.trace).unwrap_or_default();
            Some(LostRun {
                task: task.clone(),
                run: held.run,
                is_unreported,
                span: trace.span(silent_since),
            })
        });
        let runs: Vec<LostRun> = runs.collect();
        let jobs: BTreeSet<&JobId> = runs.iter().map(|run| &run.task.job).collect();
        LostWorker {
            incarnation: entry.incarnation,
            is_isolated: jobs.len() == 1,
            is_counted: false,
            lost_at: now,
            runs,
        }
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
        match cause {
            LossCause::Crashed => self.count_crash(id, &mut lost, now),
            LossCause::Unreachable => {}
            LossCause::Drained | LossCause::Removed | LossCause::SharedFault => return,
        }
        self.crashes.lost.insert(id.clone(), lost);
    }

    /// Handles that a lost worker is no longer listed: it has crashed.
    pub(super) fn confirm_loss(&mut self, id: &WorkerId, now: BootTime) {
        let Some(mut lost) = self.crashes.lost.remove(id) else {
            return;
        };
        self.count_crash(id, &mut lost, now);
        self.crashes.lost.insert(id.clone(), lost);
    }

    /// Handles a sign of life of an incarnation of a lost worker: the same one has not
    /// crashed, an earlier one has.
    pub(super) fn settle_loss(&mut self, id: &WorkerId, incarnation: u64, now: BootTime) {
        let Some(mut lost) = self.crashes.lost.remove(id) else {
            return;
        };
        if incarnation > lost.incarnation {
            self.count_crash(id, &mut lost, now);
        } else if lost.is_counted {
            self.retract_crash(&lost);
        }
    }

    fn count_crash(&mut self, id: &WorkerId, lost: &mut LostWorker, now: BootTime) {
        if mem::replace(&mut lost.is_counted, true) {
            return;
        }
        for run in &lost.runs {
            self.record_crash(id, run, lost.is_isolated, now);
        }
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
        let lost = LostRun {
            task: task.clone(),
            run,
            is_unreported: false,
            span: RunSpan::default(),
        };
        self.record_crash(id, &lost, false, now);
    }

    fn record_crash(&mut self, id: &WorkerId, lost: &LostRun, is_isolated: bool, now: BootTime) {
        let is_final = |job: &JobEntry| job.state.is_final();
        if self.jobs.get(&lost.task.job).is_none_or(is_final) {
            return;
        }
        let Some(task) = self.task_mut(&lost.task) else {
            return;
        };
        // A run starts once at most: it crashes no second incarnation of a worker.
        if task.phase == TaskPhase::Done || task.crashed_run == lost.run {
            return;
        }
        task.crashed_run = lost.run;
        let earlier = task.crashes;
        task.crashes = CrashRecord {
            count: earlier.count.saturating_add(1),
            is_at_start: lost.is_unreported && (earlier.count == 0 || earlier.is_at_start),
        };
        let crashes = task.crashes;
        self.crashes.add_suspect(lost.task.clone(), now);
        self.mark_changed(&lost.task.job);
        self.refresh_waiting(&lost.task.job);
        self.events.push(SchedulerEvent::TaskSuspected {
            task: lost.task.clone(),
            run: lost.run,
            worker: id.clone(),
            crashes: crashes.count,
            is_isolated,
            span: lost.span,
        });
        let limit = match (is_isolated, crashes.is_at_start) {
            (false, _) => CRASH_LIMIT,
            (true, false) => ISOLATED_CRASH_LIMIT,
            (true, true) => START_CRASH_LIMIT,
        };
        if crashes.count >= limit {
            self.fail(&lost.task, FailureReason::CrashedWorkers, now);
        }
    }

    fn retract_crash(&mut self, lost: &LostWorker) {
        for run in &lost.runs {
            if let Some(task) = self.task_mut(&run.task) {
                task.crashes.count = task.crashes.count.saturating_sub(1);
                task.crashes.is_at_start &= task.crashes.count > 0;
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
        entry.is_some_and(|entry| entry.crashes.count > 0 && entry.phase != TaskPhase::Done)
    }

    fn has_run_for_long(&self, task: &TaskId, now: BootTime) -> bool {
        let Some(TaskPhase::Running(location, run)) = self.task(task).map(|entry| &entry.phase)
        else {
            return false;
        };
        let worker = self.fleet.get(&location.worker);
        let responds = worker.is_some_and(|entry| entry.contact == ContactState::Responsive);
        responds && run.is_reported && now.saturating_since(run.confirmed_at) >= CLEARING_TIME
    }

    fn clear_suspect(&mut self, task: &TaskId) {
        let Some(entry) = self.task_mut(task) else {
            return;
        };
        entry.crashes = CrashRecord::default();
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
