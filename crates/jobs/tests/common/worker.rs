//! In-memory worker.

use std::collections::BTreeMap;
use std::time;

use redwing_jobs::name::{PoolName, WorkerLabel};
use redwing_jobs::spec::ResourceAmount;
use redwing_jobs::worker::{ActiveRun, EndedRun, ExitKind, RenewalReport, WorkerView};
use redwing_jobs::{BootTime, TaskId, WorkerId};

/// Longest lease that a worker grants; a longer one is shortened.
const MAX_LEASE: time::Duration = time::Duration::from_millis(10_000);

/// What the clock of a worker shows when the simulation begins, in milliseconds.
const FIRST_CLOCK_MS: u64 = 600_000;

/// What the clock of a new incarnation begins with: no clock says for how long it has run.
const RESTARTED_CLOCK_MS: u64 = 300_000;

/// Largest number of ended runs in one list.
pub(crate) const MAX_LISTED_ENDS: usize = 500;

/// Run on an in-memory worker.
#[derive(Clone, Debug)]
pub(crate) struct FakeRun {
    pub(crate) run: u32,
    pub(crate) start_time: BootTime,
    /// Time at which it completes, or `None` if it runs until it is stopped.
    pub(crate) finish_time: Option<BootTime>,
    /// Progress that a run without a finish time reports, from 0 to 100.
    pub(crate) progress_percent: u32,
    /// Tail latency in milliseconds of a task that serves users, or processor
    /// use in thousandths of a core of any other.
    pub(crate) measurement: u64,
    /// Latest checkpoint.
    pub(crate) checkpoint: Option<String>,
}

/// In-memory worker.
#[derive(Clone, Debug)]
pub(crate) struct FakeWorker {
    pub(crate) view: WorkerView,
    /// How far the number of the next incarnation is from that of the present one; negative if
    /// the time of day is set back.
    pub(crate) incarnation_step: i64,
    /// Highest fencing token that it has accepted.
    pub(crate) fencing_token: u64,
    pub(crate) running: BTreeMap<TaskId, FakeRun>,
    pub(crate) ended_runs: Vec<EndedRun>,
    pub(crate) next_ended_number: u64,
    /// How its runs have ended so far.
    pub(crate) exits: Vec<ExitKind>,
    /// End of the lease on the worker's clock.
    pub(crate) lease_end_ms: u64,
    /// When the worker's clock showed `first_clock_ms`.
    pub(crate) born_at: BootTime,
    /// What the clock showed at the beginning of the incarnation, or of the simulation.
    pub(crate) first_clock_ms: u64,
    /// Rate of the worker's clock.
    pub(crate) clock_rate: f64,
    /// Highest run number of each task that was stopped or ended in this
    /// incarnation.
    pub(crate) closed_runs: BTreeMap<TaskId, u32>,
    /// Whether a new owner finds it in the list of workers.
    pub(crate) is_listed: bool,
    /// Whether another worker has its address.
    pub(crate) is_replaced: bool,
    /// Whether orders sent to it are lost without a response.
    pub(crate) is_unresponsive: bool,
    /// Whether it rejects all starts as invalid.
    pub(crate) rejects_starts: bool,
    /// Whether all of its runs fail at once.
    pub(crate) is_failing: bool,
    /// Whether its runs save a checkpoint at each tick.
    pub(crate) is_checkpointing: bool,
    /// Whether its runs report no progress.
    pub(crate) is_stalled: bool,
    /// Whether acknowledged runs leave the list of ended runs; otherwise all
    /// acknowledgements are lost.
    pub(crate) receives_acknowledgements: bool,
}

impl FakeWorker {
    pub(crate) fn new(id: &str, pool: &str, cpu_millis: u64) -> Self {
        Self {
            view: WorkerView {
                id: WorkerId::new(id),
                pool: PoolName::new(pool),
                address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
                incarnation: 1,
                capacity: ResourceAmount {
                    cpu_millis,
                    memory_mb: 64_000,
                    accelerators: 0,
                },
                labels: vec![WorkerLabel::new("a"), WorkerLabel::new("r1")],
                rack: Some(WorkerLabel::new("r1")),
                data_centre: None,
                cold_ms: 0,
                is_draining: false,
                remaining_ms: None,
            },
            incarnation_step: 1,
            fencing_token: 0,
            running: BTreeMap::new(),
            ended_runs: Vec::new(),
            next_ended_number: 1,
            exits: Vec::new(),
            lease_end_ms: 0,
            born_at: BootTime::default(),
            first_clock_ms: FIRST_CLOCK_MS,
            clock_rate: 1.0,
            closed_runs: BTreeMap::new(),
            is_listed: true,
            is_replaced: false,
            is_unresponsive: false,
            rejects_starts: false,
            is_failing: false,
            is_checkpointing: false,
            is_stalled: false,
            receives_acknowledgements: true,
        }
    }

    /// Begins a new incarnation of the worker, which knows nothing of the one before.
    pub(crate) fn restart(&mut self, now: BootTime) {
        let incarnation = self.view.incarnation;
        self.view.incarnation = incarnation.saturating_add_signed(self.incarnation_step);
        self.running.clear();
        self.ended_runs.clear();
        self.next_ended_number = 1;
        self.closed_runs.clear();
        self.fencing_token = 0;
        self.lease_end_ms = 0;
        self.born_at = now;
        self.first_clock_ms = RESTARTED_CLOCK_MS;
    }

    /// Returns the worker's clock, in milliseconds.
    pub(crate) fn clock_ms(&self, now: BootTime) -> u64 {
        let elapsed = now.saturating_since(self.born_at);
        self.first_clock_ms + elapsed.mul_f64(self.clock_rate).as_millis() as u64
    }

    /// Returns whether the lease has expired.
    pub(crate) fn has_lapsed(&self, now: BootTime) -> bool {
        self.lease_end_ms < self.clock_ms(now)
    }

    /// Extends the lease up to the longest one.
    pub(super) fn extend_lease(&mut self, lease_end_ms: u64, now: BootTime) {
        let longest_ms = self.clock_ms(now) + MAX_LEASE.as_millis() as u64;
        self.lease_end_ms = self.lease_end_ms.max(lease_end_ms.min(longest_ms));
    }

    pub(super) fn end_run(&mut self, task: &TaskId, kind: ExitKind) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        self.closed_runs.insert(task.clone(), run.run);
        self.exits.push(kind);
        self.ended_runs.push(EndedRun {
            number: self.next_ended_number,
            task: task.clone(),
            run: run.run,
            kind,
            checkpoint: run.checkpoint,
        });
        self.next_ended_number += 1;
    }

    /// Ends the runs that are due, and all runs once the lease has expired.
    pub(crate) fn tick(&mut self, now: BootTime) {
        let is_failing = self.is_failing;
        if self.is_checkpointing {
            for run in self.running.values_mut() {
                let elapsed_ms = now.saturating_since(run.start_time).as_millis();
                run.checkpoint = Some(format!("{elapsed_ms} ms"));
            }
        }
        let due_tasks: Vec<TaskId> = self
            .running
            .iter()
            .filter(|(_, run)| is_failing || run.finish_time.is_some_and(|finish| finish <= now))
            .map(|(task, _)| task.clone())
            .collect();
        for task in due_tasks {
            let kind = if is_failing {
                ExitKind::Failed
            } else {
                ExitKind::Done
            };
            self.end_run(&task, kind);
        }
        if self.has_lapsed(now) {
            let lapsed_tasks: Vec<TaskId> = self.running.keys().cloned().collect();
            for task in lapsed_tasks {
                self.end_run(&task, ExitKind::Lapsed);
            }
        }
    }

    pub(super) fn renewal_report(&self, now: BootTime) -> RenewalReport {
        let listed_runs = self.running.iter().map(|(task, run)| ActiveRun {
            task: task.clone(),
            run: run.run,
            checkpoint: run.checkpoint.clone(),
            percent: run.percent_at(now, self.is_stalled),
            metric: run.measurement,
        });
        let listed_ends = self.ended_runs.iter().take(MAX_LISTED_ENDS);
        RenewalReport {
            incarnation: self.view.incarnation,
            clock_ms: self.clock_ms(now),
            running: listed_runs.collect(),
            ended: listed_ends.cloned().collect(),
            is_complete: self.ended_runs.len() < MAX_LISTED_ENDS,
            malformed: 0,
        }
    }
}

impl FakeRun {
    fn percent_at(&self, now: BootTime, is_stalled: bool) -> u32 {
        if is_stalled {
            return 0;
        }
        let Some(finish_time) = self.finish_time else {
            return self.progress_percent;
        };
        let duration_ms = finish_time
            .saturating_since(self.start_time)
            .as_millis()
            .max(1);
        let elapsed_ms = now.saturating_since(self.start_time).as_millis();
        (elapsed_ms * 100 / duration_ms).min(100) as u32
    }
}
