//! Jobs of the soak as their callers know them.

use std::cell;
use std::collections::BTreeMap;
use std::fmt;
use std::ops;
use std::time;

use rand::Rng;
use rand::rngs::StdRng;
use serde_json::json;
use tokio::time as timer;

use crate::platform::{SoakQueue, SoakTenant};

/// Largest number of jobs at a time that run until they are cancelled.
const MAX_LONG: usize = 8;

/// Usual duration of a task that outlives the longest lease.
pub(crate) const LASTING_TIME: time::Duration = time::Duration::from_secs(12);

/// Usual number of such tasks in a job.
pub(crate) const LASTING_TASKS: u32 = 3;

/// Queues of such tasks: one of each pool in use, of the same priority, without an advisor,
/// which decides on one call at a time.
const LASTING_QUEUES: ops::Range<usize> = 1..3;

/// CPU that such a task reserves, in thousandths of a core; a worker has room for one.
const LASTING_CPU: i64 = 6_000;

/// Kind of a job.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum JobKind {
    /// Two steps, the second one after the first.
    Chain,
    Checkpointing,
    BestEffort,
    Gang,
    LongRunning,
    Single,
    Speculative,
    Timed,
}

impl JobKind {
    /// Returns the kind for a number below 100.
    fn of(drawn: u32, may_last: bool) -> Self {
        match drawn {
            0..15 if may_last => Self::LongRunning,
            0..35 => Self::Chain,
            35..45 => Self::Gang,
            45..53 => Self::Timed,
            53..63 => Self::Checkpointing,
            63..70 => Self::BestEffort,
            70..76 => Self::Speculative,
            _ => Self::Single,
        }
    }

    /// Returns the fields by which the last step differs from a usual one with a
    /// number of tasks.
    fn fields(self, count: u32) -> Vec<(&'static str, serde_json::Value)> {
        match self {
            Self::BestEffort => vec![("fillCount", json!(true)), ("image", json!("fill"))],
            Self::Chain => vec![("count", json!(2)), ("after", json!([0]))],
            Self::Checkpointing => vec![("checkpointing", json!(true))],
            Self::Gang => vec![("count", json!(count + 1)), ("gang", json!(true))],
            Self::LongRunning => {
                vec![("longRunning", json!(true)), ("maxUnavailable", json!(1))]
            }
            Self::Single | Self::Timed => Vec::new(),
            Self::Speculative => vec![("speculative", json!(true))],
        }
    }
}

/// Size of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum JobSize {
    Usual,
    /// One step with many tasks, so that many rows change at a time.
    Wide,
    /// One step whose tasks outlive the longest lease.
    Lasting,
}

/// What the caller knows of a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Submission {
    Accepted(timer::Instant),
    Refused,
    /// It may be stored.
    Unknown,
    /// A stopping process closed the connection without a response.
    Unanswered,
}

/// State of a job in a response.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum ShownState {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
}

impl ShownState {
    pub(crate) fn parse(text: &str) -> Option<Self> {
        match text {
            "queued" => Some(Self::Queued),
            "running" => Some(Self::Running),
            "completed" => Some(Self::Completed),
            "failed" => Some(Self::Failed),
            "cancelled" => Some(Self::Cancelled),
            _ => None,
        }
    }

    pub(crate) fn is_final(self) -> bool {
        self >= Self::Completed
    }

    /// Returns whether a job that was shown in this state may be shown in `next`.
    pub(crate) fn may_become(self, next: Self) -> bool {
        self == next || !self.is_final() && next > self
    }
}

/// Task of a job, named as workers and the platform name it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct TaskName {
    pub(crate) job: String,
    pub(crate) occurrence: u32,
    pub(crate) step: usize,
    pub(crate) index: u32,
}

impl TaskName {
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let name = Self {
            job: parts.next()?.to_owned(),
            occurrence: parts.next()?.parse().ok()?,
            step: parts.next()?.parse().ok()?,
            index: parts.next()?.parse().ok()?,
        };
        parts.next().is_none().then_some(name)
    }
}

impl fmt::Display for TaskName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (job, occurrence) = (&self.job, self.occurrence);
        write!(formatter, "{job}.{occurrence}.{}.{}", self.step, self.index)
    }
}

/// Job as its caller knows it.
#[derive(Clone, Debug)]
pub(crate) struct CalledJob {
    pub(crate) queue: SoakQueue,
    pub(crate) tenant: SoakTenant,
    pub(crate) kind: JobKind,
    /// CPU that each task reserves, in thousandths of a core.
    pub(crate) cpu: i64,
    /// Number of tasks of each step.
    pub(crate) counts: Vec<u32>,
    /// Number of occurrences.
    pub(crate) times: u32,
    /// Time of the first occurrence since the Unix epoch and interval, both in
    /// milliseconds, of a job with occurrences.
    pub(crate) schedule: Option<(u64, u64)>,
    pub(crate) body: String,
    pub(crate) submission: Submission,
    pub(crate) is_cancel_sent: bool,
    pub(crate) cancelled_at: Option<timer::Instant>,
    /// Latest state in a response, and when it was received.
    pub(crate) shown: Option<(ShownState, timer::Instant)>,
    /// When the first response said that it is completed.
    pub(crate) completed_at: Option<timer::Instant>,
}

impl CalledJob {
    /// Draws a job; jobs that run until they are cancelled only if `may_last`.
    pub(crate) fn draw(
        rng: &mut StdRng,
        queues: &[SoakQueue],
        tenants: &[SoakTenant],
        may_last: bool,
        size: JobSize,
    ) -> Self {
        let is_wide = size != JobSize::Usual;
        let queues = match size {
            JobSize::Lasting => &queues[LASTING_QUEUES],
            _ => queues,
        };
        let queue = queues[rng.random_range(0..queues.len())].clone();
        let any_tenant = &tenants[rng.random_range(0..tenants.len())];
        let kind = match rng.random_range(0..100) {
            _ if is_wide => JobKind::Single,
            drawn => JobKind::of(drawn, may_last),
        };
        // Long-running tasks would use up a limit for good.
        let tenant = match is_wide || kind == JobKind::LongRunning {
            true => tenants.iter().find(|tenant| !tenant.has_limit),
            false => Some(any_tenant),
        };
        let millis: u64 = match size {
            JobSize::Lasting => rng.random_range(11_000..13_000),
            _ => rng.random_range(20..1_500),
        };
        let count: u32 = match size {
            JobSize::Usual => rng.random_range(1..4),
            JobSize::Wide => rng.random_range(10..60),
            JobSize::Lasting => rng.random_range(2..6),
        };
        let first_run_in: u64 = rng.random_range(100..1_500);
        let interval_ms: u64 = rng.random_range(200..2_000);
        let times = rng.random_range(2..5);
        let cpu = match kind {
            _ if size == JobSize::Lasting => LASTING_CPU,
            // Limits matter only if some jobs come near to them.
            _ if is_wide => 50,
            JobKind::Single if rng.random_bool(0.2) => 1_500,
            JobKind::LongRunning => 200,
            _ => 100,
        };
        let mut first = json!({"count": count, "cpu": cpu, "memMb": 16, "estimateMs": millis});
        let mut steps = Vec::new();
        if kind == JobKind::Chain {
            steps.push(first.clone());
        }
        for (name, value) in kind.fields(count) {
            first[name] = value;
        }
        steps.push(first);
        let counts = steps.iter().filter_map(|step| step["count"].as_u64());
        let counts = counts.map(|count| count as u32).collect();
        let mut body = json!({"spec": millis.to_string(), "steps": steps});
        let schedule = (kind == JobKind::Timed).then(|| {
            let now = unix_millis(time::SystemTime::now());
            (now + first_run_in, interval_ms)
        });
        if let Some((first_run_ms, interval_ms)) = schedule {
            body["times"] = json!(times);
            body["firstRunMs"] = json!(first_run_ms);
            body["intervalMs"] = json!(interval_ms);
        }
        Self {
            queue,
            tenant: tenant.expect("a customer has no limit").clone(),
            kind,
            cpu: if kind == JobKind::BestEffort { 0 } else { cpu },
            counts,
            times: if schedule.is_some() { times } else { 1 },
            schedule,
            body: body.to_string(),
            submission: Submission::Unknown,
            is_cancel_sent: false,
            cancelled_at: None,
            shown: None,
            completed_at: None,
        }
    }

    pub(crate) fn is_long(&self) -> bool {
        self.kind == JobKind::LongRunning
    }

    /// Returns whether its tasks outlive the longest lease.
    pub(crate) fn is_lasting(&self) -> bool {
        self.cpu == LASTING_CPU
    }

    /// Returns whether the job has a task.
    pub(crate) fn has_task(&self, task: &TaskName) -> bool {
        let count = self.counts.get(task.step).copied().unwrap_or(0);
        task.occurrence < self.times && task.index < count
    }

    /// Returns when an occurrence is due, in milliseconds since the Unix epoch.
    pub(crate) fn due_ms(&self, task: &TaskName) -> Option<u64> {
        let (first_run_ms, interval_ms) = self.schedule?;
        Some(first_run_ms + interval_ms * u64::from(task.occurrence))
    }

    /// Returns the tasks of a step in the occurrence of another task.
    pub(crate) fn step_tasks(
        &self,
        task: &TaskName,
        step: usize,
    ) -> impl Iterator<Item = TaskName> + use<> {
        let task = task.clone();
        (0..self.counts[step]).map(move |index| TaskName {
            step,
            index,
            ..task.clone()
        })
    }

    /// Returns the tasks of all occurrences.
    pub(crate) fn tasks(&self, job: &str) -> Vec<TaskName> {
        let mut tasks = Vec::new();
        for occurrence in 0..self.times {
            let first = TaskName {
                job: job.to_owned(),
                occurrence,
                step: 0,
                index: 0,
            };
            let steps = 0..self.counts.len();
            tasks.extend(steps.flat_map(|step| self.step_tasks(&first, step)));
        }
        tasks
    }
}

/// Returns the id of the job of a task, by the task's name.
pub(crate) fn id_of(task: &str) -> &str {
    task.split('.').next().unwrap_or(task)
}

/// Returns a time in milliseconds since the Unix epoch.
pub(crate) fn unix_millis(at: time::SystemTime) -> u64 {
    let since = at.duration_since(time::SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// All jobs of a soak, by id.
#[derive(Debug, Default)]
pub(crate) struct JobLedger(cell::RefCell<BTreeMap<String, CalledJob>>);

impl JobLedger {
    pub(crate) fn insert(&self, id: &str, job: CalledJob) {
        self.0.borrow_mut().insert(id.to_owned(), job);
    }

    pub(crate) fn snapshot(&self) -> BTreeMap<String, CalledJob> {
        self.0.borrow().clone()
    }

    pub(crate) fn find(&self, id: &str) -> Option<CalledJob> {
        self.0.borrow().get(id).cloned()
    }

    pub(crate) fn update<T>(&self, id: &str, change: impl FnOnce(&mut CalledJob) -> T) -> T {
        change(self.0.borrow_mut().get_mut(id).expect("the job is listed"))
    }

    /// Returns whether another job may run until it is cancelled.
    pub(crate) fn may_last(&self) -> bool {
        let jobs = self.0.borrow();
        let is_lasting = |job: &&CalledJob| job.is_long() && !job.is_cancel_sent;
        jobs.values().filter(is_lasting).count() < MAX_LONG
    }

    /// Returns a random accepted job, half the time one that runs until it is
    /// cancelled.
    pub(crate) fn draw(&self, rng: &mut StdRng) -> Option<(String, CalledJob)> {
        let jobs = self.0.borrow();
        let is_any = rng.random_bool(0.5);
        let is_accepted = |job: &CalledJob| {
            matches!(job.submission, Submission::Accepted(_))
                && (is_any || job.is_long() && !job.is_cancel_sent)
        };
        let accepted: Vec<_> = jobs.iter().filter(|(_, job)| is_accepted(job)).collect();
        let (id, job) = accepted.get(rng.random_range(0..accepted.len().max(1)))?;
        Some(((*id).clone(), (*job).clone()))
    }
}
