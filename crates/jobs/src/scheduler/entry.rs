//! Jobs, steps and tasks in memory.

use std::sync;

use crate::name::{JobId, TaskId, WorkerId};
use crate::record::{JobRecord, JobState, OccurrenceRecord, ProgressRecord, TaskRecord};
use crate::spec::{JobSpec, MAX_TASKS, StepSpec};
use crate::time::BootTime;

/// Where a run of a task is, or may be.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct RunPlace {
    /// Worker of the run.
    pub(super) worker: WorkerId,
    /// Start of that worker's life.
    pub(super) born: u64,
}

/// Where a task stands.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) enum TaskPhase {
    /// It runs nowhere.
    #[default]
    Idle,
    /// It has room on a worker; the row that says so is not stored yet.
    Reserved(RunPlace),
    /// The order to start it was sent and is not answered.
    Ordered(RunPlace),
    /// It runs, or ran when an earlier owner stored its row.
    Running(RunPlace, RunProgress),
    /// It is to be stopped.
    Stopping(RunPlace, StopProgress),
    /// It is done.
    Done,
}

/// How far a run has come.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct RunProgress {
    /// When the run was first known to run.
    pub(super) since: BootTime,
    /// Latest progress, from 0 to 100.
    pub(super) percent: u32,
    /// When the progress last changed.
    pub(super) advanced_at: BootTime,
}

/// How far the stop of a run has come.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct StopProgress {
    /// When the latest order to stop was given.
    pub(super) ordered_at: BootTime,
    /// When the worker accepted one.
    pub(super) accepted_at: Option<BootTime>,
}

impl TaskPhase {
    /// Returns where the task occupies room.
    pub(super) fn place(&self) -> Option<&RunPlace> {
        match self {
            Self::Idle | Self::Done => None,
            Self::Reserved(place)
            | Self::Ordered(place)
            | Self::Running(place, _)
            | Self::Stopping(place, _) => Some(place),
        }
    }
}

/// One task.
#[derive(Clone, Debug, Default)]
pub(super) struct TaskEntry {
    pub(super) phase: TaskPhase,
    /// Number of the latest run; 0 if there was none.
    pub(super) run: u32,
    /// Numbers of the runs that failed.
    pub(super) failed: Vec<u32>,
    /// Latest progress that the task saved.
    pub(super) checkpoint: Option<String>,
}

impl TaskEntry {
    /// Notes that a run failed; returns whether that was not known.
    pub(super) fn note_failed(&mut self, run: u32) -> bool {
        let is_new = !self.failed.contains(&run);
        if is_new {
            self.failed.push(run);
        }
        is_new
    }

    fn restore(record: &TaskRecord, now: BootTime) -> Self {
        let progress = RunProgress {
            since: now,
            percent: 0,
            advanced_at: now,
        };
        let phase = match &record.worker {
            _ if record.done => TaskPhase::Done,
            Some(worker) => TaskPhase::Running(
                RunPlace {
                    worker: worker.clone(),
                    born: record.born,
                },
                progress,
            ),
            None => TaskPhase::Idle,
        };
        Self {
            phase,
            run: record.run,
            failed: record.failed.clone(),
            checkpoint: record.checkpoint.clone(),
        }
    }

    fn record(&self) -> TaskRecord {
        if self.phase == TaskPhase::Done {
            return TaskRecord {
                done: true,
                ..TaskRecord::default()
            };
        }
        let place = self.phase.place();
        TaskRecord {
            run: self.run,
            failed: self.failed.clone(),
            done: false,
            worker: place.map(|place| place.worker.clone()),
            born: place.map_or(0, |place| place.born),
            checkpoint: self.checkpoint.clone(),
        }
    }
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

    /// Returns whether a task runs nowhere.
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

    /// Returns whether the turn of step `number` has come.
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

    fn record(&self) -> OccurrenceRecord {
        let steps = self.steps.iter();
        OccurrenceRecord {
            number: self.number,
            steps: steps
                .map(|step| step.tasks.iter().map(TaskEntry::record).collect())
                .collect(),
        }
    }
}

/// One job that is not finished, or whose end is not stored.
#[derive(Clone, Debug)]
pub(super) struct JobEntry {
    pub(super) record: JobRecord,
    pub(super) payload: sync::Arc<str>,
    pub(super) state: JobState,
    /// Occurrences below this number have begun.
    pub(super) begun: u32,
    pub(super) occurrences: Vec<OccurrenceEntry>,
    /// Longest chain of estimated work, in milliseconds.
    pub(super) chain_ms: u64,
    /// Number of tasks that occupy room somewhere.
    pub(super) active: u32,
}

impl JobEntry {
    pub(super) fn new(record: JobRecord) -> Self {
        let mut entry = Self {
            payload: record.spec.payload.as_str().into(),
            chain_ms: longest_chain(&record.spec, |_| true),
            state: JobState::Queued,
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

    pub(super) fn restore(record: JobRecord, progress: &ProgressRecord, now: BootTime) -> Self {
        let mut entry = Self::new(record);
        entry.state = progress.state;
        entry.begun = progress.begun.max(entry.begun);
        if entry.record.spec.schedule.is_some() {
            entry.occurrences.clear();
        }
        for stored in &progress.occurrences {
            let mut occurrence = OccurrenceEntry::new(stored.number, &entry.record.spec);
            let steps = occurrence.steps.iter_mut().zip(&stored.steps);
            for (step, records) in steps {
                for (task, record) in step.tasks.iter_mut().zip(records) {
                    *task = TaskEntry::restore(record, now);
                }
            }
            entry
                .occurrences
                .retain(|known| known.number != stored.number);
            entry.occurrences.push(occurrence);
        }
        entry
    }

    /// Begins the next occurrence.
    pub(super) fn begin_next(&mut self) {
        let occurrence = OccurrenceEntry::new(self.begun, &self.record.spec);
        self.occurrences.push(occurrence);
        self.begun += 1;
    }

    /// Returns the tasks that the next occurrence adds.
    fn next_tasks(&self) -> u32 {
        self.record.spec.steps.iter().map(|step| step.count).sum()
    }

    /// Returns whether the row has room for the tasks of one more occurrence.
    pub(super) fn has_row_room(&self) -> bool {
        self.task_count() + self.next_tasks() as usize <= MAX_TASKS as usize
    }

    /// Returns when the work that is not finished was released, in
    /// milliseconds since the epoch: when the job was accepted, or when its
    /// oldest occurrence was due.
    pub(super) fn released_ms(&self) -> u64 {
        let Some(schedule) = self.record.spec.schedule else {
            return self.record.accepted.as_millis();
        };
        let oldest = self.occurrences.iter().map(|entry| entry.number).min();
        schedule.due_ms(oldest.unwrap_or(self.begun))
    }

    /// Returns whether an occurrence has not begun.
    pub(super) fn has_unbegun(&self) -> bool {
        self.begun < self.record.spec.occurrences()
    }

    /// Returns whether a task whose turn has come runs nowhere.
    pub(super) fn has_waiting(&self) -> bool {
        if self.state.is_final() {
            return false;
        }
        self.occurrences.iter().any(|occurrence| {
            let steps = occurrence.steps.iter().zip(&self.record.spec.steps);
            steps
                .into_iter()
                .any(|(step, spec)| step.has_idle() && occurrence.is_ready(spec))
        })
    }

    /// Returns the processor that waiting tasks ask for, in thousandths of a core.
    pub(super) fn waiting_cpu(&self) -> u64 {
        let steps = self.waiting_steps();
        steps
            .map(|(count, spec)| count * spec.reserved().cpu_millis)
            .sum()
    }

    /// Returns the number of tasks whose turn has come and that run nowhere.
    pub(super) fn waiting_tasks(&self) -> u64 {
        self.waiting_steps().map(|(count, _)| count).sum()
    }

    /// Returns the steps whose turn has come, with the number of their tasks
    /// that run nowhere.
    fn waiting_steps(&self) -> impl Iterator<Item = (u64, &StepSpec)> {
        self.occurrences.iter().flat_map(|occurrence| {
            let steps = occurrence.steps.iter().zip(&self.record.spec.steps);
            let ready = steps.filter(|(_, spec)| occurrence.is_ready(spec));
            ready.map(|(step, spec)| {
                let tasks = step.tasks.iter();
                let idle = tasks.filter(|task| task.phase == TaskPhase::Idle);
                (idle.count() as u64, spec)
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
    pub(super) fn progress(&self) -> ProgressRecord {
        let occurrences = self.occurrences.iter().map(OccurrenceEntry::record);
        ProgressRecord {
            state: self.state,
            begun: self.begun,
            occurrences: if self.state.is_final() {
                Vec::new()
            } else {
                occurrences.collect()
            },
        }
    }

    /// Returns the longest chain of estimated work that is left, in
    /// milliseconds; a step that has begun counts as a whole.
    pub(super) fn remaining_ms(&self) -> u64 {
        let chains = self.occurrences.iter().map(|occurrence| {
            longest_chain(&self.record.spec, |number| {
                let step = occurrence.steps.get(number);
                !step.is_some_and(StepEntry::is_done)
            })
        });
        chains.max().unwrap_or(0)
    }

    /// Returns the number of tasks of the occurrences that have begun.
    pub(super) fn task_count(&self) -> usize {
        let steps = self.occurrences.iter().flat_map(|entry| &entry.steps);
        steps.map(|step| step.tasks.len()).sum()
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

/// Returns the longest chain of estimated work over the steps that count, in
/// milliseconds.
fn longest_chain(spec: &JobSpec, counts: impl Fn(usize) -> bool) -> u64 {
    let mut finished: Vec<u64> = Vec::with_capacity(spec.steps.len());
    for (number, step) in spec.steps.iter().enumerate() {
        let earlier = step.after.iter();
        let earlier = earlier.filter_map(|&number| finished.get(number as usize));
        let start = earlier.copied().max().unwrap_or(0);
        let length = if counts(number) { step.estimate_ms } else { 0 };
        finished.push(start + length);
    }
    finished.into_iter().max().unwrap_or(0)
}
