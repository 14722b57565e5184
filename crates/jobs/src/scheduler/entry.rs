//! Jobs, steps and tasks in memory.

use std::sync;
use std::time;

use crate::evidence::CrashEvidence;
use crate::name::{JobId, TaskId, WorkerId};
use crate::record::{
    JobFailure, JobRecord, JobState, OccurrenceRecord, ProgressRecord, TaskRecord,
};
use crate::spec::{JobSpec, MAX_TASKS, ResourceAmount, StepSpec};
use crate::time::BootTime;
use crate::wait::ElapsedWait;

use super::rejection::StartRejections;
use super::run_trace::RunTrace;

/// Duration of tasks without an estimate: their jobs must not seem to have the
/// least work.
const UNKNOWN_ESTIMATE_MS: u64 = 1_000;

/// Worker on which a run is, or may be.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct RunLocation {
    /// Worker of the run.
    pub(super) worker: WorkerId,
    /// Incarnation of that worker.
    pub(super) incarnation: u64,
}

/// What a run is kept apart from, if workers crashed under its task.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum StartCaution {
    /// Nothing.
    #[default]
    None,
    /// Other tasks under which workers crashed, as far as possible.
    Spread,
    /// Tasks of other jobs under which workers crashed.
    Apart,
    /// The runs of all other jobs.
    Isolated,
}

/// Phase of a task.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) enum TaskPhase {
    /// It has no run.
    #[default]
    Idle,
    /// Capacity on a worker is reserved; the row that records it is not stored yet.
    Reserved(RunLocation),
    /// The order to start it was sent and has no response yet.
    Ordered(RunLocation),
    /// It runs, or ran when an earlier owner stored its row.
    Running(RunLocation, RunProgress),
    /// Its run is being stopped.
    Stopping(RunLocation, StopProgress),
    /// It is done.
    Done,
}

/// Progress of a run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct RunProgress {
    /// When the run was first confirmed to be running.
    pub(super) confirmed_at: BootTime,
    /// Latest progress, from 0 to 100.
    pub(super) percent: u32,
    /// When the progress last changed.
    pub(super) advanced_at: BootTime,
    /// Whether a report of the worker has listed the run.
    pub(super) is_reported: bool,
}

/// Progress of stopping a run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct StopProgress {
    /// When the latest stop order was sent.
    pub(super) ordered_at: BootTime,
    /// When the worker accepted a stop order.
    pub(super) accepted_at: Option<BootTime>,
    /// Whether a report of the worker has listed the run.
    pub(super) is_reported: bool,
}

impl TaskPhase {
    /// Returns false for a run that is ordered and that no report has listed.
    pub(super) fn is_reported(&self) -> bool {
        match self {
            Self::Ordered(_) => false,
            Self::Running(_, progress) => progress.is_reported,
            Self::Stopping(_, stop) => stop.is_reported,
            Self::Idle | Self::Reserved(_) | Self::Done => true,
        }
    }

    /// Returns the worker on which the task reserves capacity.
    pub(super) fn location(&self) -> Option<&RunLocation> {
        match self {
            Self::Idle | Self::Done => None,
            Self::Reserved(location)
            | Self::Ordered(location)
            | Self::Running(location, _)
            | Self::Stopping(location, _) => Some(location),
        }
    }
}

/// One task.
#[derive(Clone, Debug, Default)]
pub(super) struct TaskEntry {
    pub(super) phase: TaskPhase,
    /// Number of the latest run; 0 if there was none.
    pub(super) run: u32,
    /// What this owner has seen of that run.
    pub(super) trace: RunTrace,
    /// Number of its runs that this owner has stopped because they made no progress.
    pub(super) stalls: u32,
    /// Starts that workers rejected as invalid.
    pub(super) rejections: StartRejections,
    /// Numbers of the runs that failed.
    pub(super) failed: Vec<u32>,
    /// Evidence that it crashes its workers.
    pub(super) crashes: CrashEvidence,
    /// Number of the run under which a worker crashed last, as far as this owner knows.
    pub(super) crashed_run: u32,
    /// Latest checkpoint that the task saved.
    pub(super) checkpoint: Option<String>,
}

impl TaskEntry {
    /// Returns what a run of the task is kept apart from that was placed by an earlier owner
    /// or that the task does not want any more.
    pub(super) fn caution(&self) -> StartCaution {
        match self.crashes.count() {
            0 => StartCaution::None,
            _ => StartCaution::Spread,
        }
    }

    /// Returns whether the next run is to be on a worker without runs of other jobs.
    pub(super) fn wants_isolation(&self) -> bool {
        self.crashes.count() > 1 || self.crashes.is_at_start()
    }

    /// Records that a run failed; returns whether it was not recorded before.
    pub(super) fn record_failure(&mut self, run: u32) -> bool {
        let is_new = !self.failed.contains(&run);
        if is_new {
            self.failed.push(run);
        }
        is_new
    }

    /// Restores a task whose record was stored by the time `stored_by`.
    fn restore(record: &TaskRecord, stored_by: BootTime, now: BootTime) -> Self {
        let progress = RunProgress {
            confirmed_at: now,
            percent: record.percent,
            advanced_at: record.unchanged.map_or(now, |wait| wait.began(stored_by)),
            is_reported: false,
        };
        let phase = match &record.worker {
            _ if record.done => TaskPhase::Done,
            Some(worker) => TaskPhase::Running(
                RunLocation {
                    worker: worker.clone(),
                    incarnation: record.incarnation,
                },
                progress,
            ),
            None => TaskPhase::Idle,
        };
        Self {
            phase,
            run: record.run,
            trace: RunTrace::default(),
            stalls: 0,
            rejections: StartRejections::default(),
            failed: record.failed.clone(),
            crashes: record.crash_evidence(),
            crashed_run: 0,
            checkpoint: record.checkpoint.clone(),
        }
    }

    fn record(&self, stall: Option<StallRecording>) -> TaskRecord {
        if self.phase == TaskPhase::Done {
            return TaskRecord {
                done: true,
                ..TaskRecord::default()
            };
        }
        let location = self.phase.location();
        let unchanged = stall.and_then(|stall| self.unchanged_progress(stall));
        TaskRecord {
            run: self.run,
            failed: self.failed.clone(),
            crashes: self.crashes,
            earlier_crashes: 0,
            done: false,
            worker: location.map(|location| location.worker.clone()),
            incarnation: location.map_or(0, |location| location.incarnation),
            checkpoint: self.checkpoint.clone(),
            percent: unchanged.map_or(0, |(percent, _)| percent),
            unchanged: unchanged.map(|(_, wait)| wait),
        }
    }

    /// Returns the progress of the run, and for how long it has not changed, if that
    /// is long enough to be stored.
    fn unchanged_progress(&self, stall: StallRecording) -> Option<(u32, ElapsedWait)> {
        let TaskPhase::Running(_, progress) = &self.phase else {
            return None;
        };
        let is_long = stall.now.saturating_since(progress.advanced_at) >= stall.delay;
        let wait = ElapsedWait::since(progress.advanced_at, stall.now);
        is_long.then_some((progress.percent, wait))
    }
}

/// Which times without progress are stored.
#[derive(Clone, Copy, Debug)]
pub(super) struct StallRecording {
    /// When the row is stored.
    pub(super) now: BootTime,
    /// Shortest time that is stored.
    pub(super) delay: time::Duration,
}

/// One step of one occurrence.
#[derive(Clone, Debug, Default)]
pub(super) struct StepEntry {
    pub(super) tasks: Vec<TaskEntry>,
}

impl StepEntry {
    /// Returns whether all tasks are done.
    pub(super) fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.phase == TaskPhase::Done)
    }

    /// Returns how much of its duration the step has left, in percent, by the task
    /// that has advanced least.
    fn remaining_percent(&self) -> u64 {
        let remaining = self.tasks.iter().map(|task| match task.phase {
            TaskPhase::Done => 0,
            TaskPhase::Running(_, progress) => 100 - u64::from(progress.percent.min(100)),
            _ => 100,
        });
        remaining.max().unwrap_or(0)
    }

    /// Returns the number of tasks that have no run.
    fn idle_count(&self) -> u64 {
        let tasks = self.tasks.iter();
        let idle = tasks.filter(|task| task.phase == TaskPhase::Idle);
        idle.count() as u64
    }

    /// Returns whether a task has no run.
    pub(super) fn has_idle(&self) -> bool {
        self.tasks.iter().any(|task| task.phase == TaskPhase::Idle)
    }
}

/// One occurrence that has begun and is not finished.
#[derive(Clone, Debug)]
pub(super) struct OccurrenceEntry {
    pub(super) number: u32,
    pub(super) steps: Vec<StepEntry>,
}

impl OccurrenceEntry {
    pub(super) fn new(number: u32, spec: &JobSpec) -> Self {
        let steps = spec.steps.iter().map(|step| StepEntry {
            tasks: vec![TaskEntry::default(); step.count as usize],
        });
        Self {
            number,
            steps: steps.collect(),
        }
    }

    /// Returns whether all steps that `step` depends on are done.
    pub(super) fn is_ready(&self, step: &StepSpec) -> bool {
        let mut earlier = step.after.iter();
        earlier.all(|&number| {
            let entry = self.steps.get(number as usize);
            entry.is_some_and(StepEntry::is_done)
        })
    }

    /// Returns whether all tasks are done.
    pub(super) fn is_done(&self) -> bool {
        self.steps.iter().all(StepEntry::is_done)
    }

    fn record(&self, spec: &JobSpec, stall: StallRecording) -> OccurrenceRecord {
        let steps = self.steps.iter().zip(&spec.steps);
        let steps = steps.map(|(step, spec)| {
            let stall = spec.must_progress().then_some(stall);
            step.tasks.iter().map(|task| task.record(stall)).collect()
        });
        OccurrenceRecord {
            number: self.number,
            steps: steps.collect(),
        }
    }
}

/// Ready step that has tasks without a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingStep<'a> {
    /// Number of the occurrence.
    pub(super) occurrence: u32,
    /// Number of the step in the occurrence.
    pub(super) number: u32,
    pub(super) step: &'a StepEntry,
    pub(super) spec: &'a StepSpec,
}

/// One job that is not finished, or whose final state is not stored.
#[derive(Clone, Debug)]
pub(super) struct JobEntry {
    pub(super) record: JobRecord,
    pub(super) payload: sync::Arc<str>,
    pub(super) state: JobState,
    /// Why it has failed.
    pub(super) failure: Option<JobFailure>,
    /// Whether a worker is known to have accepted a run of it.
    pub(super) has_started: bool,
    /// Whether its end was told, which it is once it is stored.
    pub(super) is_end_told: bool,
    /// Occurrences below this number have begun.
    pub(super) begun: u32,
    pub(super) occurrences: Vec<OccurrenceEntry>,
    /// Estimated duration of the critical path, in milliseconds.
    pub(super) critical_path_ms: u64,
    /// Number of tasks that reserve capacity on a worker.
    pub(super) active: u32,
}

impl JobEntry {
    pub(super) fn new(record: JobRecord) -> Self {
        let mut entry = Self {
            payload: record.spec.payload.as_str().into(),
            critical_path_ms: record.spec.critical_path_ms(|_| 100),
            state: JobState::Queued,
            failure: None,
            has_started: false,
            is_end_told: false,
            begun: 0,
            occurrences: Vec::new(),
            active: 0,
            record,
        };
        if entry.record.spec.schedule.is_none() {
            entry.begin_next();
        }
        entry
    }

    /// Restores a job whose progress was stored by the time `stored_by`.
    pub(super) fn restore(
        record: JobRecord,
        progress: &ProgressRecord,
        stored_by: BootTime,
        now: BootTime,
    ) -> Self {
        let mut entry = Self::new(record);
        entry.state = progress.state;
        entry.has_started = progress.has_started || progress.has_run();
        entry.begun = progress.begun.max(entry.begun);
        if entry.record.spec.schedule.is_some() {
            entry.occurrences.clear();
        }
        for stored in &progress.occurrences {
            let mut occurrence = OccurrenceEntry::new(stored.number, &entry.record.spec);
            let steps = occurrence.steps.iter_mut().zip(&stored.steps);
            for (step, records) in steps {
                for (task, record) in step.tasks.iter_mut().zip(records) {
                    *task = TaskEntry::restore(record, stored_by, now);
                }
            }
            entry
                .occurrences
                .retain(|existing| existing.number != stored.number);
            entry.occurrences.push(occurrence);
        }
        entry
    }

    /// Returns whether no task has started of a job without a schedule.
    ///
    /// That its tasks are placed does not count: a worker may reject the orders, or
    /// never receive them.
    pub(super) fn is_pending(&self) -> bool {
        !self.has_started && !self.state.is_final() && self.record.spec.schedule.is_none()
    }

    /// Begins the next occurrence.
    pub(super) fn begin_next(&mut self) {
        let occurrence = OccurrenceEntry::new(self.begun, &self.record.spec);
        self.occurrences.push(occurrence);
        self.begun += 1;
    }

    /// Returns whether the progress of one more occurrence fits into a row of
    /// `row_bytes`.
    pub(super) fn has_row_capacity(&self, row_bytes: usize) -> bool {
        let spec = &self.record.spec;
        let tasks = self.task_count() + spec.task_count() as usize;
        let bytes = (self.occurrences.len() + 1) * spec.progress_bytes();
        tasks <= MAX_TASKS as usize && (bytes <= row_bytes || self.occurrences.is_empty())
    }

    /// Returns when the unfinished work was released, in milliseconds since the
    /// Unix epoch: when the job was accepted, or when its oldest occurrence was
    /// due.
    pub(super) fn released_ms(&self) -> u64 {
        let Some(schedule) = self.record.spec.schedule else {
            return self.record.accepted.as_millis();
        };
        let oldest = self.occurrences.iter().map(|entry| entry.number).min();
        schedule.due_ms(oldest.unwrap_or(self.begun))
    }

    /// Returns whether an occurrence has not begun.
    pub(super) fn has_unstarted(&self) -> bool {
        self.begun < self.record.spec.occurrences()
    }

    /// Returns the processor that waiting tasks request, in thousandths of a core.
    pub(super) fn waiting_cpu(&self) -> u64 {
        let steps = self.waiting_steps();
        steps
            .map(|waiting| {
                let need = waiting.spec.reserved().cpu_millis;
                waiting.step.idle_count().saturating_mul(need)
            })
            .fold(0, u64::saturating_add)
    }

    /// Returns the least amount of each resource that a waiting task needs; none if
    /// no task waits.
    pub(super) fn smallest_need(&self) -> Option<ResourceAmount> {
        if self.state.is_final() {
            return None;
        }
        let is_isolated =
            |task: &TaskEntry| task.phase == TaskPhase::Idle && task.wants_isolation();
        let needs = self.waiting_steps().map(|waiting| {
            // A vacant worker is looked for also while none has free capacity.
            if waiting.step.tasks.iter().any(is_isolated) {
                return ResourceAmount::default();
            }
            waiting.spec.reserved()
        });
        needs.reduce(|one, other| one.component_min(&other))
    }

    /// Returns whether all ready tasks that have no run are best-effort.
    pub(super) fn is_waiting_best_effort(&self) -> bool {
        self.waiting_steps().all(|waiting| waiting.spec.best_effort)
    }

    /// Returns the estimated work of all tasks that have no run, ready or not, in
    /// thousandths of a core times milliseconds.
    pub(super) fn unplaced_work(&self) -> u64 {
        let steps = self.occurrences.iter();
        let steps = steps.flat_map(|entry| entry.steps.iter().zip(&self.record.spec.steps));
        let work = steps.map(|(step, spec)| {
            let estimate_ms = match spec.estimate_ms {
                0 => UNKNOWN_ESTIMATE_MS,
                estimate_ms => estimate_ms,
            };
            let task_work = spec.reserved().cpu_millis.saturating_mul(estimate_ms);
            step.idle_count().saturating_mul(task_work)
        });
        work.fold(0, u64::saturating_add)
    }

    /// Returns the number of ready tasks that have no run.
    pub(super) fn waiting_tasks(&self) -> u64 {
        let steps = self.waiting_steps();
        steps.map(|waiting| waiting.step.idle_count()).sum()
    }

    /// Returns the ready steps that have tasks without a run.
    pub(super) fn waiting_steps(&self) -> impl Iterator<Item = WaitingStep<'_>> {
        self.occurrences.iter().flat_map(|occurrence| {
            let steps = occurrence.steps.iter().zip(&self.record.spec.steps);
            let waiting = steps
                .enumerate()
                .filter(|(_, (step, spec))| occurrence.is_ready(spec) && step.has_idle());
            waiting.map(|(number, (step, spec))| WaitingStep {
                occurrence: occurrence.number,
                number: number as u32,
                step,
                spec,
            })
        })
    }

    pub(super) fn step(&self, occurrence: u32, step: u32) -> Option<&StepEntry> {
        let mut occurrences = self.occurrences.iter();
        let entry = occurrences.find(|entry| entry.number == occurrence)?;
        entry.steps.get(step as usize)
    }

    pub(super) fn step_mut(&mut self, occurrence: u32, step: u32) -> Option<&mut StepEntry> {
        let mut occurrences = self.occurrences.iter_mut();
        let entry = occurrences.find(|entry| entry.number == occurrence)?;
        entry.steps.get_mut(step as usize)
    }

    /// Returns the row to store.
    pub(super) fn progress(&self, stall: StallRecording) -> ProgressRecord {
        let spec = &self.record.spec;
        let occurrences = self.occurrences.iter();
        let occurrences = occurrences.map(|occurrence| occurrence.record(spec, stall));
        ProgressRecord {
            state: self.state,
            failure: self.failure.clone(),
            has_started: self.has_started && !self.state.is_final(),
            begun: self.begun,
            occurrences: if self.state.is_final() {
                Vec::new()
            } else {
                occurrences.collect()
            },
        }
    }

    /// Returns the estimated duration of the critical path that is left, in
    /// milliseconds.
    pub(super) fn remaining_ms(&self) -> u64 {
        let paths = self.occurrences.iter().map(|occurrence| {
            self.record.spec.critical_path_ms(|number| {
                let step = occurrence.steps.get(number);
                step.map_or(100, StepEntry::remaining_percent)
            })
        });
        paths.max().unwrap_or(0)
    }

    /// Returns the number of tasks of the occurrences that have begun.
    pub(super) fn task_count(&self) -> usize {
        let steps = self.occurrences.iter().flat_map(|entry| &entry.steps);
        steps.map(|step| step.tasks.len()).sum()
    }

    /// Returns the tasks whose runs wait for their rows to be stored, with their names.
    pub(super) fn reserved_tasks<'a>(
        &'a self,
        job: &'a JobId,
    ) -> impl Iterator<Item = (TaskId, &'a TaskEntry)> {
        let tasks = self.tasks(job);
        tasks.filter(|(_, task)| matches!(task.phase, TaskPhase::Reserved(_)))
    }

    /// Returns all tasks of the occurrences that have begun, with their names.
    pub(super) fn tasks<'a>(
        &'a self,
        job: &'a JobId,
    ) -> impl Iterator<Item = (TaskId, &'a TaskEntry)> {
        self.occurrences.iter().flat_map(move |occurrence| {
            let steps = occurrence.steps.iter().enumerate();
            steps.flat_map(move |(step, entry)| {
                let tasks = entry.tasks.iter().enumerate();
                tasks.map(move |(index, task)| {
                    let name = TaskId {
                        job: job.clone(),
                        occurrence: occurrence.number,
                        step: step as u32,
                        index: index as u32,
                    };
                    (name, task)
                })
            })
        })
    }

    /// Returns the number of runs that failed.
    pub(super) fn failed_runs(&self) -> u32 {
        let occurrences = self.occurrences.iter();
        let tasks = occurrences
            .flat_map(|entry| &entry.steps)
            .flat_map(|step| &step.tasks);
        tasks.map(|task| task.failed.len() as u32).sum()
    }
}
