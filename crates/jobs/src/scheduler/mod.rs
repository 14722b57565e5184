//! The decisions of the owner of the scheduling.
//!
//! [`JobScheduler`] holds what the owner knows: jobs with their tasks, and
//! workers with what occupies them. It is fed with what is heard, and it
//! returns rows to store and orders to send. Its parts:
//!
//! - `advice`: permits of an advisor
//! - `entry`: jobs, steps and tasks in memory
//! - `finished`: jobs whose end is stored, until their rows are deleted
//! - `fleet`: workers, their room and their leases
//! - `intake`: new jobs, cancelled jobs, rows of an earlier owner
//! - `listing`: the platform's list of workers
//! - `report`: what workers say they run
//! - `order`: orders, their answers and their repetition
//! - `place`: which task goes where, and in which order
//! - `journal`: what is to be stored, and what waits for it
//! - `pacing`: the share of fillers beside tasks that serve users
//! - `upkeep`: what upkeep asks of the scheduler

mod advice;
mod entry;
mod finished;
mod fleet;
mod intake;
mod journal;
mod listing;
mod order;
mod pacing;
mod place;
mod report;
mod upkeep;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::mem;
use std::sync;
use std::time;

use crate::manifest::JobManifest;
use crate::name::{CustomerName, JobId, PoolName, QueueName, TaskId, WorkerId};
use crate::offer::FleetOffer;
use crate::record::JobState;
use crate::spec::ResourceAmount;
use crate::time::BootTime;
use crate::worker::{EndKind, OrderAction, OrderOutcome, WorkerOrder};

use advice::AdviceBook;
use entry::JobEntry;
use finished::FinishedJobs;
use fleet::WorkerFleet;
use journal::ChangeJournal;

pub use advice::{AdviceAnswer, AdviceQuestion, StepId, WorkerPermit};
pub use journal::{ChangeSet, ProgressRow};

/// Bounds of the scheduler.
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// Length of the lease that each order and hold gives.
    pub lease: time::Duration,
    /// Longest time for which leases that an earlier owner gave may go on: the
    /// time for which it gives orders without a confirmed row, and one lease
    /// on a slow clock. Another may take over from a small VM at once.
    pub inherited_lease: time::Duration,
    /// Largest share by which a worker's clock may be slow.
    pub clock_drift: f64,
    /// Time added to each lease before it is taken as expired.
    pub lease_margin: time::Duration,
    /// Longest time that a worker may wait for an end before it answers.
    pub hold_wait: time::Duration,
    /// Pause before the next hold after one that listed ends, so that one
    /// answer tells several.
    pub hold_pause: time::Duration,
    /// Pause before a hold that was not answered is repeated.
    pub hold_retry: time::Duration,
    /// Pause before a stop that was not answered is repeated.
    pub stop_retry: time::Duration,
    /// How long a worker that rejected or lost an order gets nothing new.
    pub unhealthy_pause: time::Duration,
    /// Runs in a row that fail on a worker before it gets nothing new.
    pub strike_limit: u32,
    /// How long a worker that fails its runs gets nothing new.
    pub strike_pause: time::Duration,
    /// Time without progress after which a run is stopped.
    pub stall_limit: time::Duration,
    /// How long the state of a finished job can be read.
    pub retention: time::Duration,
    /// Largest number of progress rows stored together.
    pub rows_per_change: usize,
    /// Largest number of tasks in rows that are stored together, which bounds
    /// their size.
    pub tasks_per_change: usize,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            lease: time::Duration::from_millis(5_000),
            inherited_lease: time::Duration::from_millis(7_900),
            clock_drift: 0.02,
            lease_margin: time::Duration::from_millis(300),
            hold_wait: time::Duration::from_millis(1_000),
            hold_pause: time::Duration::from_millis(25),
            hold_retry: time::Duration::from_millis(300),
            stop_retry: time::Duration::from_millis(500),
            unhealthy_pause: time::Duration::from_millis(1_000),
            strike_limit: 4,
            strike_pause: time::Duration::from_secs(3),
            stall_limit: time::Duration::from_millis(2_500),
            retention: time::Duration::from_secs(300),
            rows_per_change: 80,
            tasks_per_change: 4_000,
        }
    }
}

/// Change of what the scheduler believes, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerNote {
    /// A job reached a final state.
    JobEnded {
        /// The job.
        job: JobId,
        /// Its final state.
        state: JobState,
        /// Runs of its tasks that failed.
        failed: u32,
    },
    /// Tasks of a job were given to workers.
    TasksPlaced {
        /// The job.
        job: JobId,
        /// Number of tasks.
        count: u32,
        /// Tasks of the job that found no room.
        left: u32,
    },
    /// A run ended other than done.
    RunEnded {
        /// Task of the run.
        task: TaskId,
        /// Number of the run.
        run: u32,
        /// Worker of the run.
        worker: WorkerId,
        /// Why it ended.
        reason: RunEndReason,
    },
    /// What is believed of a worker changed.
    WorkerChanged {
        /// The worker.
        worker: WorkerId,
        /// What is believed now.
        belief: WorkerBelief,
    },
}

/// Why a run ended without being done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEndReason {
    /// The worker listed it as ended this way.
    Listed(EndKind),
    /// The worker does not list it any more.
    Vanished,
    /// The worker did not answer until the lease had expired.
    LeaseExpired,
    /// Another life of the worker has begun.
    WorkerReplaced,
    /// The order to start it was rejected.
    Rejected(OrderOutcome),
    /// It made no progress.
    Stalled,
}

/// What is believed of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerBelief {
    /// It is listed for the first time.
    Listed,
    /// It drains.
    Draining,
    /// It is not listed any more.
    Unlisted,
    /// It does not answer.
    Silent,
    /// It answers again.
    Answering,
    /// Another life of it has begun.
    Replaced,
    /// It rejects or fails what it gets.
    Unhealthy,
}

/// Jobs that arrived for a pool, long-running ones aside.
#[derive(Clone, Copy, Debug, Default)]
struct PoolArrivals {
    jobs: u64,
    /// Work by its estimate, in thousandths of a core times milliseconds.
    work: u64,
}

/// What the owner of the scheduling knows and decides.
#[derive(Debug)]
pub struct JobScheduler {
    settings: SchedulerSettings,
    fence: u64,
    manifest: sync::Arc<JobManifest>,
    jobs: HashMap<JobId, JobEntry>,
    /// Jobs whose end is stored.
    finished: FinishedJobs,
    /// Jobs with tasks whose turn has come and that run nowhere.
    waiting: BTreeSet<JobId>,
    /// Jobs with occurrences that have not begun.
    timed: BTreeSet<JobId>,
    fleet: WorkerFleet,
    usage: HashMap<CustomerName, ResourceAmount>,
    arrivals: HashMap<PoolName, PoolArrivals>,
    /// Long-running tasks that are to leave their worker and found no room
    /// elsewhere.
    displaced: BTreeSet<TaskId>,
    advice: AdviceBook,
    journal: ChangeJournal,
    orders: Vec<WorkerOrder>,
    notes: Vec<SchedulerNote>,
    is_fenced: bool,
    /// Whether room or waiting tasks changed since tasks were last placed.
    may_place: bool,
}

impl JobScheduler {
    /// Creates the scheduler of an owner with fencing token `fence`.
    pub fn new(settings: SchedulerSettings, fence: u64) -> Self {
        Self {
            settings,
            fence,
            manifest: sync::Arc::default(),
            jobs: HashMap::new(),
            finished: FinishedJobs::default(),
            waiting: BTreeSet::new(),
            timed: BTreeSet::new(),
            fleet: WorkerFleet::default(),
            usage: HashMap::new(),
            arrivals: HashMap::new(),
            displaced: BTreeSet::new(),
            advice: AdviceBook::default(),
            journal: ChangeJournal::default(),
            orders: Vec::new(),
            notes: Vec::new(),
            is_fenced: false,
            may_place: true,
        }
    }

    /// Puts a version of the manifest in force; older ones are ignored.
    pub fn set_manifest(&mut self, manifest: sync::Arc<JobManifest>) {
        if manifest.version() >= self.manifest.version() {
            self.manifest = manifest;
            self.may_place = true;
        }
    }

    /// Returns the orders to send now.
    pub fn take_orders(&mut self) -> Vec<WorkerOrder> {
        mem::take(&mut self.orders)
    }

    /// Returns what is to be logged.
    pub fn take_notes(&mut self) -> Vec<SchedulerNote> {
        mem::take(&mut self.notes)
    }

    /// Returns whether a worker has answered that a newer owner exists.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Returns the number of jobs that are not finished.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of jobs of each queue of which no task has started.
    pub fn pending_counts(&self) -> BTreeMap<QueueName, u64> {
        let mut counts = BTreeMap::new();
        for job in self.jobs.values() {
            if job.state == JobState::Queued && job.record.spec.schedule.is_none() {
                *counts.entry(job.record.queue.clone()).or_insert(0) += 1;
            }
        }
        counts
    }

    /// Takes what the known workers offer into `offer`.
    pub fn add_offers(&self, offer: &mut FleetOffer) {
        self.fleet.add_offers(offer);
    }

    fn push_order(&mut self, worker: &WorkerId, action: OrderAction, now: BootTime) {
        let Some(entry) = self.fleet.get(worker) else {
            return;
        };
        let Some(address) = entry.address() else {
            return;
        };
        self.orders.push(WorkerOrder {
            worker: worker.clone(),
            address,
            fence: self.fence,
            given_at: now,
            action,
        });
    }

    fn note_worker(&mut self, worker: &WorkerId, belief: WorkerBelief) {
        self.notes.push(SchedulerNote::WorkerChanged {
            worker: worker.clone(),
            belief,
        });
    }

    /// Repeats what was not answered and gives up what has expired; to be
    /// called several times a second.
    pub fn tick(&mut self, now: BootTime) {
        self.expire_leases(now);
        self.repeat_stops(now);
        self.stop_stalled(now);
        self.give_holds(now);
        // A worker may have become usable again just by the passing of time.
        self.may_place |= !self.waiting.is_empty();
    }
}
