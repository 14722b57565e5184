//! Job specifications, as callers submit them.

use std::ops;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::name::WorkerLabel;

/// Largest number of steps of a job.
pub const MAX_STEPS: usize = 64;

/// Largest number of tasks of a job. With the estimates below, the row of its progress
/// fits into the 64 KiB that a table usually accepts for one row.
pub const MAX_TASKS: u32 = 600;

/// Estimated largest size of the stored progress of a task, in bytes: its run, a few
/// failed runs, the crashes of its workers, and its worker with its incarnation.
const TASK_BYTES: usize = 82;

/// Estimated largest size of the checkpoint of a task in its stored progress, in bytes.
const CHECKPOINT_BYTES: usize = 25;

/// Estimated size of the stored progress of an occurrence beside its tasks, in bytes.
const FRAME_BYTES: usize = 60;

/// Largest payload of a job, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;

/// Longest estimate of a task, in milliseconds: ten years.
pub const MAX_ESTIMATE_MS: u64 = 10 * 365 * 24 * 60 * 60 * 1_000;

/// Most that a worker can have, and so that a task can need: 10,000 cores, 1 PiB of memory
/// and 10,000 accelerators.
pub const MAX_WORKER_CAPACITY: ResourceAmount = ResourceAmount {
    cpu_millis: 10_000_000,
    memory_mb: 1 << 30,
    accelerators: 10_000,
};

/// Amounts of resources, offered by a worker or needed by a task.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct ResourceAmount {
    /// Processor, in thousandths of a core.
    #[serde(skip_serializing_if = "is_zero")]
    pub cpu_millis: u64,
    /// Memory, in megabytes.
    #[serde(skip_serializing_if = "is_zero")]
    pub memory_mb: u64,
    /// Whole accelerators.
    #[serde(skip_serializing_if = "is_zero")]
    pub accelerators: u64,
}

fn is_zero<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

impl ResourceAmount {
    /// Returns whether this amount fits into `capacity`.
    pub fn fits_in(&self, capacity: &Self) -> bool {
        self.cpu_millis <= capacity.cpu_millis
            && self.memory_mb <= capacity.memory_mb
            && self.accelerators <= capacity.accelerators
    }

    /// Returns the smaller amount of each resource.
    pub fn component_min(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.min(other.cpu_millis),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Subtracts `other`, but not below zero.
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

impl ops::AddAssign for ResourceAmount {
    fn add_assign(&mut self, other: Self) {
        self.cpu_millis = self.cpu_millis.saturating_add(other.cpu_millis);
        self.memory_mb = self.memory_mb.saturating_add(other.memory_mb);
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
    }
}

impl ops::SubAssign for ResourceAmount {
    fn sub_assign(&mut self, other: Self) {
        *self = self.saturating_sub(&other);
    }
}

/// Step of a job: a number of identical tasks.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub needs: ResourceAmount,
    /// Approximate duration of a task, in milliseconds; 0 if unknown.
    #[serde(skip_serializing_if = "is_zero")]
    pub estimate_ms: u64,
    /// Earlier steps whose tasks must all be done first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether tasks save checkpoints.
    #[serde(skip_serializing_if = "is_zero")]
    pub checkpointing: bool,
    /// Whether the tasks make progress only while all of them run.
    #[serde(skip_serializing_if = "is_zero")]
    pub gang: bool,
    /// Whether the tasks are slower on more than one rack.
    #[serde(skip_serializing_if = "is_zero")]
    pub same_rack: bool,
    /// Label that a worker must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requires: Option<WorkerLabel>,
    /// Rack on which the tasks are fast, as a label of its workers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub affinity: Option<WorkerLabel>,
    /// Largest number of the step's tasks on one worker; 0 for no limit.
    #[serde(skip_serializing_if = "is_zero")]
    pub max_per_worker: u32,
    /// Whether copies of a task may run at the same time.
    #[serde(skip_serializing_if = "is_zero")]
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_zero")]
    pub long_running: bool,
    /// Image that the tasks run; tasks of one image behave alike.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<String>,
    /// Objective for the tail latency of the users of a long-running task, in
    /// milliseconds; 0 if it has none.
    #[serde(skip_serializing_if = "is_zero")]
    pub target_ms: u64,
    /// Whether the tasks are best-effort: they only use processor time that others
    /// leave.
    #[serde(rename = "filler", skip_serializing_if = "is_zero")]
    pub best_effort: bool,
    /// Largest number of long-running tasks that maintenance may make
    /// unavailable at a time, if it is bounded.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// Returns the capacity that a task reserves on its worker.
    pub fn reserved(&self) -> ResourceAmount {
        if self.best_effort {
            return ResourceAmount {
                cpu_millis: 0,
                ..self.needs
            };
        }
        self.needs
    }

    /// Returns whether a run that reports no progress for long is stopped.
    pub fn must_progress(&self) -> bool {
        !(self.best_effort || self.gang || self.long_running)
    }
}

/// Schedule of a job that runs later or more than once.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct JobSchedule {
    /// Number of occurrences.
    pub times: u32,
    /// Time of the first occurrence, in milliseconds since the Unix epoch.
    pub first_run_ms: u64,
    /// Time between two occurrences, in milliseconds.
    pub interval_ms: u64,
}

impl JobSchedule {
    /// Returns when an occurrence is due, in milliseconds since the Unix epoch.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        let delay = u64::from(occurrence).saturating_mul(self.interval_ms);
        self.first_run_ms.saturating_add(delay)
    }
}

/// Specification of a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct JobSpec {
    /// Text that is passed to each task.
    pub payload: String,
    /// The steps, in order.
    pub steps: Vec<StepSpec>,
    /// When the job runs, if more than once or later.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub schedule: Option<JobSchedule>,
}

impl JobSpec {
    /// Returns how many times the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times.max(1))
    }

    /// Returns whether the job has tasks that run until it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Returns the estimated processor work of one occurrence, in thousandths of a
    /// core times milliseconds.
    pub fn estimated_work(&self) -> u64 {
        let steps = self.steps.iter();
        let work = steps.map(|step| {
            let cpu_millis = u64::from(step.count).saturating_mul(step.reserved().cpu_millis);
            cpu_millis.saturating_mul(step.estimate_ms)
        });
        work.fold(0, u64::saturating_add)
    }

    /// Returns the estimated duration of the critical path through the steps, in
    /// milliseconds; `remaining_percent` returns how much of the duration of the step
    /// with that number is left, from 0 to 100.
    pub fn critical_path_ms(&self, remaining_percent: impl Fn(usize) -> u64) -> u64 {
        let mut finished: Vec<u64> = Vec::with_capacity(self.steps.len());
        for (number, step) in self.steps.iter().enumerate() {
            let earlier = step.after.iter();
            let earlier = earlier.filter_map(|&number| finished.get(number as usize));
            let start = earlier.copied().max().unwrap_or(0);
            let length = step.estimate_ms.saturating_mul(remaining_percent(number)) / 100;
            finished.push(start.saturating_add(length));
        }
        finished.into_iter().max().unwrap_or(0)
    }

    /// Returns the number of tasks of one occurrence.
    pub fn task_count(&self) -> u32 {
        self.steps.iter().map(|step| step.count).sum()
    }

    /// Returns the estimated largest size of the stored progress of one occurrence,
    /// in bytes.
    pub fn progress_bytes(&self) -> usize {
        let steps = self.steps.iter();
        let bytes = steps.map(|step| {
            let checkpoint_bytes = if step.checkpointing {
                CHECKPOINT_BYTES
            } else {
                0
            };
            step.count as usize * (TASK_BYTES + checkpoint_bytes)
        });
        FRAME_BYTES + bytes.sum::<usize>()
    }

    /// Checks that the stored progress of one occurrence fits into a row of
    /// `row_bytes`, whatever runs its tasks have.
    ///
    /// # Errors
    ///
    /// Fails with the number of tasks and both sizes.
    pub fn check_progress(&self, row_bytes: usize) -> Result<()> {
        let needed = self.progress_bytes();
        if needed <= row_bytes {
            return Ok(());
        }
        let tasks = self.task_count();
        let problem = format!(
            "the progress of {tasks} tasks may take {needed} bytes; at most {row_bytes} can be stored"
        );
        Err(Error::field("steps", problem))
    }

    /// Checks that the job can run at all.
    ///
    /// # Errors
    ///
    /// Fails with the first field whose value is not supported.
    pub fn check(&self) -> Result<()> {
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            let problem = format!("more than {MAX_PAYLOAD_BYTES} bytes");
            return Err(Error::field("payload", problem));
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            let problem = format!("use 1 to {MAX_STEPS} steps");
            return Err(Error::field("steps", problem));
        }
        for (number, step) in self.steps.iter().enumerate() {
            check_step(number, step)?;
        }
        let tasks = self.task_count();
        if tasks > MAX_TASKS {
            let problem = format!("{tasks} tasks; use at most {MAX_TASKS} in all steps");
            return Err(Error::field("steps", problem));
        }
        Ok(())
    }
}

fn check_step(number: usize, step: &StepSpec) -> Result<()> {
    if step.count == 0 || step.count > MAX_TASKS {
        let problem = format!("use 1 to {MAX_TASKS} tasks");
        return Err(Error::field(format!("steps[{number}].count"), problem));
    }
    if !step.needs.fits_in(&MAX_WORKER_CAPACITY) {
        let problem = "a task needs more than any worker can have";
        return Err(Error::field(format!("steps[{number}].needs"), problem));
    }
    if step.estimate_ms > MAX_ESTIMATE_MS {
        let problem = format!("use at most {MAX_ESTIMATE_MS} ms");
        return Err(Error::field(
            format!("steps[{number}].estimate-ms"),
            problem,
        ));
    }
    if step.after.iter().any(|&earlier| earlier as usize >= number) {
        let problem = "name earlier steps only";
        return Err(Error::field(format!("steps[{number}].after"), problem));
    }
    Ok(())
}
