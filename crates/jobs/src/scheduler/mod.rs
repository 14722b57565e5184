//! Scheduling decisions of the owner.
//!
//! [`JobScheduler`] tracks jobs with their tasks, and workers with the runs on
//! them. It receives the requests of callers and the reports of workers, and
//! returns rows to store and orders to send. Its parts:
//!
//! - `advice`: permits of an advisor
//! - `backlog`: summary of the waiting work, for the admission of jobs
//! - `candidate`: workers that may get tasks, while tasks are placed
//! - `changes`: jobs with unstored changes, and what waits for their rows
//! - `choice`: choice of a worker for a task
//! - `clock_reading`: readings of the clocks of workers
//! - `confirmation`: which incarnation of a worker has carried out a start
//! - `crash`: tasks that crash the workers on which they start
//! - `end_rate`: how often workers end by themselves
//! - `entry`: jobs, steps and tasks in memory
//! - `finished`: jobs whose final state is stored, until their rows are deleted
//! - `evacuation`: evacuated data centres, where nothing starts
//! - `fleet`: workers, their free capacity and their leases
//! - `free_capacity`: which tasks fit on no worker of a pool
//! - `health`: workers that fail their runs or reject orders
//! - `incarnation`: how the incarnations of a worker follow on one another
//! - `isolation`: tasks under which workers crashed, kept apart
//! - `late_lease`: leases of workers that have started again, by orders from before
//! - `lease`: leases of workers, and those of earlier owners
//! - `lease_ledger`: ends of leases that are stored for the next owner
//! - `lifecycle`: submitted and cancelled jobs, and rows of an earlier owner
//! - `listing`: the platform's list of workers
//! - `loss`: ends of workers that had runs, and why they ended
//! - `maintenance`: load and demand, and eviction for maintenance
//! - `order`: orders, their responses and their retries
//! - `pacing`: processor share of best-effort tasks beside tasks that serve users
//! - `placement`: choice of a worker for each task, and the order of jobs
//! - `rejection`: starts that workers reject as invalid
//! - `report`: the runs that workers list
//! - `restoring`: leases of workers while a new owner reads the rows of jobs
//! - `run_trace`: signs of a run between its start and the end of its worker
//! - `settings`: limits and intervals of the scheduler
//! - `shares`: division of a pool among customers
//! - `stall`: runs that make no progress
//! - `starting`: starts of the runs whose rows are stored
//! - `waiting`: jobs that wait for capacity, in the order of their placement

mod advice;
mod backlog;
mod candidate;
mod changes;
mod choice;
mod clock_reading;
mod confirmation;
mod crash;
mod end_rate;
mod entry;
mod evacuation;
mod finished;
mod fleet;
mod free_capacity;
mod health;
mod incarnation;
mod isolation;
mod late_lease;
mod lease;
mod lease_ledger;
mod lifecycle;
mod listing;
mod loss;
mod maintenance;
mod order;
mod pacing;
mod placement;
mod rejection;
mod report;
mod restoring;
mod run_trace;
mod settings;
mod shares;
mod stall;
mod starting;
mod waiting;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::mem;
use std::sync;
use std::time;

use crate::evacuation::{EvacuationProgress, StartGuard};
use crate::evidence::{EndRate, RunSpan};
use crate::feasibility::FleetCapacity;
use crate::fence;
use crate::manifest::JobManifest;
use crate::name::{CustomerName, DataCentre, JobId, PoolName, QueueName, TaskId, WorkerId};
use crate::record::{JobFailure, JobState};
use crate::spec::ResourceAmount;
use crate::time::BootTime;
use crate::worker::{ExitKind, OrderAction, OrderOutcome, WorkerOrder};

use advice::AdviceCache;
use backlog::BacklogTracker;
use changes::ChangeTracker;
use crash::CrashTracker;
use end_rate::EndHistory;
use entry::JobEntry;
use evacuation::EvacuationTracker;
use finished::FinishedJobs;
use fleet::{ContactState, WorkerFleet};
use lease_ledger::LeaseLedger;
use shares::PoolUsage;
use starting::PendingStart;
use waiting::WaitingJobs;

pub use advice::{AdviceRequest, AdviceResponse, StepId, StoredAdvice, StoredPermit, WorkerPermit};
pub use changes::{ChangeSet, ProgressRow, RowFit, WorkKind};
pub use health::{FleetHealth, WorkerHealth};
pub use late_lease::LateLeases;
pub use lease::{InheritedLeases, PreviousOwner};
pub use lease_ledger::LeaseEnds;
pub use loss::LossCause;
pub use settings::{SchedulerSettings, SharePolicy};

/// Change of the scheduler's state, for logs and metrics.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerEvent {
    /// A job reached a final state, which is stored.
    JobEnded {
        /// The job.
        job: JobId,
        /// Its final state.
        state: JobState,
        /// Runs of its tasks that failed.
        failed: u32,
        /// Why it has failed, if it has.
        failure: Option<JobFailure>,
    },
    /// Tasks of a job were placed on workers.
    TasksPlaced {
        /// The job.
        job: JobId,
        /// Number of tasks placed.
        count: u32,
        /// Tasks of the job that fit on no worker.
        unplaced: u32,
    },
    /// A run ended without completing its task.
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
    /// The status of a worker changed.
    WorkerChanged {
        /// The worker.
        worker: WorkerId,
        /// Its new status.
        status: WorkerStatus,
    },
    /// Runs on an unresponsive worker begin to wait for the end of its leases.
    LeaseAwaited {
        /// The worker.
        worker: WorkerId,
        /// Number of the runs.
        runs: u32,
        /// Time until the leases have expired.
        remaining: time::Duration,
    },
    /// A worker with runs ended, or cannot be reached for longer than its leases last.
    WorkerLost {
        /// The worker.
        worker: WorkerId,
        /// Number of the runs.
        runs: u32,
        /// Why it ended.
        cause: LossCause,
    },
    /// A worker crashed under a run.
    TaskSuspected {
        /// Task of the run.
        task: TaskId,
        /// Number of the run.
        run: u32,
        /// Worker of the run.
        worker: WorkerId,
        /// Workers that crashed under its latest runs, this one included.
        crashes: u32,
        /// Whether the worker ran nothing of other jobs.
        is_isolated: bool,
        /// For how long the run went on.
        span: RunSpan,
        /// How often the worker ended by itself before.
        rate: EndRate,
    },
    /// The evacuation of a data centre began or ended.
    EvacuationChanged {
        /// The data centre.
        data_centre: DataCentre,
        /// Whether it began.
        is_evacuated: bool,
        /// Its workers and the runs on them.
        progress: EvacuationProgress,
    },
    /// No run is left in an evacuated data centre.
    EvacuationDrained {
        /// The data centre.
        data_centre: DataCentre,
    },
    /// Starts began or ceased to wait because the operators' rows were read too long ago.
    StartsWithheld {
        /// Whether they wait.
        is_withholding: bool,
    },
}

/// Why a run ended without completing its task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEndReason {
    /// The worker listed it as ended this way.
    Listed(ExitKind),
    /// The worker no longer lists it.
    Vanished,
    /// The worker was unresponsive until the lease had expired.
    LeaseExpired,
    /// A new incarnation of the worker has started.
    WorkerReplaced,
    /// The order to start it was rejected.
    Rejected(OrderOutcome),
    /// It made no progress.
    Stalled,
}

/// Status of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerStatus {
    /// Listed for the first time.
    Listed,
    /// Draining.
    Draining,
    /// No longer listed.
    Unlisted,
    /// Listed by an entry that cannot be read.
    Refused,
    /// Unresponsive.
    Silent,
    /// Responsive again.
    Answering,
    /// Replaced by a new incarnation.
    Replaced,
    /// It rejects orders or fails its runs.
    Unhealthy,
    /// The clock in a response is behind an earlier one: another incarnation has responded.
    ClockSetBack,
}

/// Jobs that arrived for a pool, except long-running ones.
#[derive(Clone, Copy, Debug, Default)]
struct PoolArrivals {
    jobs: u64,
    /// Estimated work, in thousandths of a core times milliseconds.
    work: u64,
}

/// Jobs, workers and scheduling decisions of the owner.
#[derive(Debug)]
pub struct JobScheduler {
    settings: SchedulerSettings,
    fencing_token: u64,
    manifest: sync::Arc<JobManifest>,
    jobs: HashMap<JobId, JobEntry>,
    /// Jobs whose final state is stored.
    finished: FinishedJobs,
    /// Jobs with ready tasks that have no run.
    waiting: WaitingJobs,
    /// Jobs with occurrences that have not begun.
    scheduled: BTreeSet<JobId>,
    fleet: WorkerFleet,
    /// Resources that count against the limit of each customer.
    usage: HashMap<CustomerName, ResourceAmount>,
    /// Resources that the tasks of each customer reserve in each pool.
    pool_usage: PoolUsage,
    /// Customers whose limit has kept a task from being placed since they last used
    /// less.
    limited_customers: BTreeSet<CustomerName>,
    arrivals: HashMap<PoolName, PoolArrivals>,
    backlog: BacklogTracker,
    /// Which starts the operators permit.
    start_guard: StartGuard,
    evacuation: EvacuationTracker,
    /// Long-running tasks that are to leave their worker and fit on no other.
    displaced: BTreeSet<TaskId>,
    advice: AdviceCache,
    changes: ChangeTracker,
    /// Runs whose rows are stored and that wait for a reading of their worker's clock.
    waiting_starts: Vec<PendingStart>,
    crashes: CrashTracker,
    /// Ends of workers that this owner knows of.
    ends: EndHistory,
    /// Leases of earlier owners; none if nothing is known of them.
    inherited: Option<InheritedLeases>,
    lease_ledger: LeaseLedger,
    /// Whether a worker may hold a longer lease than the changes so far state.
    has_unstored_lease: bool,
    /// Time at which the rows of earlier owners were stored already; none if unknown.
    stored_by: Option<BootTime>,
    /// When times without progress were last taken to be stored.
    stalls_recorded_at: BootTime,
    /// When the progress of all runs was last looked at.
    stalls_checked_at: BootTime,
    orders: Vec<WorkerOrder>,
    events: Vec<SchedulerEvent>,
    is_fenced: bool,
    /// Whether the jobs of earlier owners are still to be restored.
    is_restoring: bool,
}

impl JobScheduler {
    /// Creates the scheduler of an owner with the given fencing token.
    pub fn new(settings: SchedulerSettings, fencing_token: u64) -> Self {
        Self {
            start_guard: StartGuard::new(settings.evacuation_bound),
            evacuation: EvacuationTracker::default(),
            settings,
            fencing_token,
            manifest: sync::Arc::default(),
            jobs: HashMap::new(),
            finished: FinishedJobs::default(),
            waiting: WaitingJobs::default(),
            scheduled: BTreeSet::new(),
            fleet: WorkerFleet::default(),
            usage: HashMap::new(),
            pool_usage: PoolUsage::default(),
            limited_customers: BTreeSet::new(),
            arrivals: HashMap::new(),
            backlog: BacklogTracker::default(),
            displaced: BTreeSet::new(),
            advice: AdviceCache::default(),
            changes: ChangeTracker::default(),
            waiting_starts: Vec::new(),
            crashes: CrashTracker::default(),
            ends: EndHistory::default(),
            inherited: None,
            lease_ledger: LeaseLedger::default(),
            has_unstored_lease: false,
            stored_by: None,
            stalls_recorded_at: BootTime::default(),
            stalls_checked_at: BootTime::default(),
            orders: Vec::new(),
            events: Vec::new(),
            is_fenced: false,
            is_restoring: false,
        }
    }

    /// Sets what is known of the leases of earlier owners; to be called before workers
    /// and jobs are added.
    pub fn inherit_leases(&mut self, leases: InheritedLeases) {
        self.inherited = Some(leases);
    }

    /// Sets a time at which the rows of earlier owners were stored already, from which
    /// their waits are counted on; to be called before jobs are added.
    pub fn inherit_waits(&mut self, stored_by: BootTime) {
        self.stored_by = Some(stored_by);
    }

    /// Applies a version of the manifest; older ones are ignored.
    pub fn set_manifest(&mut self, manifest: sync::Arc<JobManifest>) {
        if manifest.version() < self.manifest.version() || *manifest == *self.manifest {
            return;
        }
        self.manifest = manifest;
        self.recount_pool_usage();
        let waiting: Vec<JobId> = self.waiting.iter().map(|(id, _)| id.clone()).collect();
        for id in waiting {
            self.update_waiting(&id);
        }
        self.waiting.mark_all_changed();
    }

    /// Returns the orders to send now.
    pub fn take_orders(&mut self) -> Vec<WorkerOrder> {
        mem::take(&mut self.orders)
    }

    /// Returns the events to log.
    pub fn take_events(&mut self) -> Vec<SchedulerEvent> {
        mem::take(&mut self.events)
    }

    /// Returns whether the ownership is to end: a worker has reported a newer owner, or the
    /// fencing tokens are used up.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Returns the number of jobs that are not finished.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns how many waiting jobs placement has compared with the free capacity since
    /// the previous call.
    pub fn take_examined(&mut self) -> u64 {
        self.waiting.take_examined()
    }

    /// Returns the number of jobs in each queue with no started task, except those
    /// with a schedule; none while workers are still to report whether they run some
    /// of these jobs.
    pub fn pending_counts(&self) -> Option<BTreeMap<QueueName, u64>> {
        if self.awaits_started_jobs() {
            return None;
        }
        let mut counts = BTreeMap::new();
        for job in self.jobs.values() {
            if job.is_pending() {
                *counts.entry(job.record.queue.clone()).or_insert(0) += 1;
            }
        }
        Some(counts)
    }

    /// Returns whether a job counts as pending only because a worker that was listed
    /// with runs of earlier owners has neither responded nor failed to.
    fn awaits_started_jobs(&self) -> bool {
        let workers = self.fleet.iter().map(|(_, worker)| worker);
        let mut awaited = workers
            .filter(|worker| worker.contact == ContactState::Unconfirmed && worker.view.is_some());
        awaited.any(|worker| {
            let mut tasks = worker.reservations.keys();
            tasks.any(|task| self.jobs.get(&task.job).is_some_and(JobEntry::is_pending))
        })
    }

    /// Adds the capacity and labels of all tracked workers that were ever listed to
    /// `capacity`.
    pub fn add_fleet_capacity(&self, capacity: &mut FleetCapacity) {
        self.fleet.add_fleet_capacity(capacity);
    }

    fn push_order(&mut self, worker: &WorkerId, action: OrderAction, now: BootTime) {
        let Some(entry) = self.fleet.get(worker) else {
            return;
        };
        let Some(address) = entry.address() else {
            return;
        };
        let Some(fencing_token) = fence::order_token(self.fencing_token, entry.session) else {
            self.is_fenced = true;
            return;
        };
        self.orders.push(WorkerOrder {
            worker: worker.clone(),
            address,
            data_centre: entry.data_centre().cloned(),
            fencing_token,
            issued_at: now,
            action,
        });
    }

    fn record_status(&mut self, worker: &WorkerId, status: WorkerStatus) {
        self.events.push(SchedulerEvent::WorkerChanged {
            worker: worker.clone(),
            status,
        });
    }

    /// Retries orders that got no response and drops what has expired; to be
    /// called several times a second.
    pub fn tick(&mut self, now: BootTime) {
        self.expire_leases(now);
        self.update_lease_ends(now);
        self.evict_from_draining(now);
        self.evict_from_evacuated(now);
        self.retry_stops(now);
        self.begin_waiting_starts(now);
        self.check_stalls(now);
        self.clear_suspects(now);
        self.track_evacuations(now);
        self.send_due_renewals(now);
        // A worker may have become usable again only because time passed.
        self.waiting.mark_all_changed();
    }
}
