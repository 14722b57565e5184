//! Fleet of in-memory workers under a scheduler, advanced tick by tick in simulated time.

// Each test file uses a part.
#![allow(dead_code, unused_imports)]

mod crash;
mod order;
mod sample;
mod worker;

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync;
use std::time;

use redwing_jobs::change_order::ChangePurpose;
use redwing_jobs::name::{CustomerName, DataCentre, PoolName, QueueName};
use redwing_jobs::scheduler::{
    AdviceRequest, AdviceResponse, ChangeSet, FleetHealth, InheritedLeases, LateLeases, LeaseEnds,
    PreviousOwner, ProgressRow, RowFit, SchedulerEvent, StoredAdvice, WorkerPermit,
};
use redwing_jobs::spec::StepSpec;
use redwing_jobs::time::WallTime;
use redwing_jobs::worker::{
    ExitKind, OrderAction, OrderOutcome, OrderResponse, RenewalReport, WorkerOrder,
};
use redwing_jobs::{
    BootTime, JobId, JobRecord, JobScheduler, JobSpec, JobState, ProgressRecord, SchedulerSettings,
    TaskId, WorkerId,
};

pub(crate) use crash::{CrashPlan, ReturnMode};
pub(crate) use order::{grants_lease, is_start};
pub(crate) use sample::{
    manifest, manifest_parts_with_limit, manifest_with_limit, step_spec, task_id,
};
pub(crate) use worker::{FakeRun, FakeWorker, MAX_LISTED_ENDS};

/// Simulated time between two ticks.
pub(crate) const TICK_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Time after which an owner stores a change although nothing has changed.
const OWNER_RENEWAL_INTERVAL: time::Duration = time::Duration::from_millis(350);

/// Scheduler and its workers in simulated time.
pub(crate) struct FakeFleet {
    pub(crate) scheduler: JobScheduler,
    pub(crate) workers: BTreeMap<WorkerId, FakeWorker>,
    pub(crate) now: BootTime,
    /// Jobs whose starts all workers reject as invalid.
    pub(crate) invalid_jobs: BTreeSet<JobId>,
    /// Duration of each task of a job; zero if tasks run until they are stopped.
    pub(crate) task_durations: BTreeMap<JobId, time::Duration>,
    /// Stored progress row of each job.
    pub(crate) rows: BTreeMap<JobId, ProgressRecord>,
    /// Stored ends of leases.
    pub(crate) lease_ends: LeaseEnds,
    /// Number of times that ends of leases were stored.
    pub(crate) lease_end_writes: usize,
    /// Health of workers and permits that the latest owner had stored when it ended.
    stored_health: FleetHealth,
    stored_advice: Vec<StoredAdvice>,
    /// Long and unconfirmed leases that the latest change states.
    stated_leases: [LateLeases; 2],
    /// When the latest change was stored.
    stored_at: BootTime,
    /// Whether the owner has released the ownership.
    has_released: bool,
    /// Whether the table accepts writes.
    pub(crate) is_table_up: bool,
    /// Largest number of bytes of progress in one change.
    pub(crate) change_bytes: usize,
    /// Number of upcoming changes that the table refuses.
    pub(crate) refused_changes: u32,
    /// Jobs whose rows were stored, in this order.
    pub(crate) stored_order: Vec<JobId>,
    /// Task, run, worker and time of every start that a worker executed.
    pub(crate) starts: Vec<(TaskId, u32, WorkerId, BootTime)>,
    /// Every checkpoint that a run resumed from.
    pub(crate) resumed_checkpoints: Vec<String>,
    /// Every task whose start was ordered.
    pub(crate) ordered_starts: Vec<TaskId>,
    /// Number of lease renewals that were sent.
    pub(crate) renewal_count: usize,
    /// Task, run and time of every stop that a worker executed.
    pub(crate) stops: Vec<(TaskId, u32, BootTime)>,
    /// Task, processor share in percent and time of every pace order that a
    /// worker executed.
    pub(crate) pace_orders: Vec<(TaskId, u32, BootTime)>,
    pub(crate) jobs: BTreeMap<JobId, JobRecord>,
    /// Number of the process that accepts jobs.
    pub(crate) accepting: u64,
    /// Fencing token of the current scheduler.
    pub(crate) fencing_token: u64,
    /// Orders that are executed later, with the time of execution.
    pub(crate) delayed_orders: Vec<(BootTime, WorkerOrder)>,
    /// Stop orders that were accepted and are executed later, with the time of
    /// execution.
    pub(crate) accepted_stops: Vec<(BootTime, WorkerOrder)>,
    /// If set, delay between the acceptance of a stop order and its execution.
    pub(crate) stop_delay: Option<time::Duration>,
    /// If set, orders other than lease renewals are executed after this delay,
    /// and their responses are lost.
    pub(crate) lost_order_delay: Option<time::Duration>,
    /// The only worker that the advisor permits.
    pub(crate) permitted_worker: Option<WorkerId>,
    /// Every request to the advisor.
    pub(crate) advice_requests: Vec<AdviceRequest>,
    /// Data centres that the operators evacuate.
    pub(crate) evacuations: BTreeSet<DataCentre>,
    /// Whether the operators' rows are read at each tick.
    pub(crate) is_feed_up: bool,
    /// If set, orders are kept here instead of being sent.
    pub(crate) held_orders: Option<Vec<WorkerOrder>>,
    /// Tasks that crash their workers.
    pub(crate) crash_plan: CrashPlan,
    /// Every event of the schedulers so far, if they are kept.
    pub(crate) events: Option<Vec<SchedulerEvent>>,
}

/// Returns the size of a row as it is stored.
pub(crate) fn row_bytes(progress: &ProgressRecord) -> usize {
    serde_json::to_string(progress)
        .expect("it is encoded")
        .len()
}

impl FakeFleet {
    /// Returns a fleet with so many equal workers in the pool `builders`.
    pub(crate) fn of_size(count: usize, cpu_millis: u64) -> Self {
        let workers =
            (0..count).map(|number| FakeWorker::new(&format!("w{number}"), "builders", cpu_millis));
        Self::new(SchedulerSettings::default(), workers.collect())
    }

    /// Returns a fleet with so many equal workers, which have been up for a while and are to
    /// run the long task of the job `j`.
    pub(crate) fn with_long_task(count: usize) -> Self {
        let mut fleet = Self::of_size(count, 8_000);
        fleet.advance(20_000);
        fleet.submit("j", vec![step_spec(1, 1_000)], 60_000);
        fleet
    }

    /// Lists one more worker.
    pub(crate) fn add_worker(&mut self, id: &str) {
        let mut worker = FakeWorker::new(id, "builders", 8_000);
        worker.restart(self.now);
        let view = worker.view.clone();
        self.workers.insert(view.id.clone(), worker);
        self.scheduler.worker_listed(view, self.now);
    }

    pub(crate) fn new(settings: SchedulerSettings, workers: Vec<FakeWorker>) -> Self {
        let mut scheduler = JobScheduler::new(settings, 1);
        // There was no owner before.
        scheduler.inherit_leases(InheritedLeases::default());
        scheduler.set_manifest(sync::Arc::new(manifest()));
        let now = BootTime::from_millis(10_000);
        for worker in &workers {
            scheduler.worker_listed(worker.view.clone(), now);
        }
        let workers = workers.into_iter();
        Self {
            scheduler,
            workers: workers
                .map(|worker| (worker.view.id.clone(), worker))
                .collect(),
            now,
            invalid_jobs: BTreeSet::new(),
            task_durations: BTreeMap::new(),
            rows: BTreeMap::new(),
            lease_ends: LeaseEnds::new(),
            lease_end_writes: 0,
            stored_health: FleetHealth::default(),
            stored_advice: Vec::new(),
            stated_leases: <[LateLeases; 2]>::default(),
            stored_at: now,
            has_released: false,
            is_table_up: true,
            change_bytes: usize::MAX,
            refused_changes: 0,
            stored_order: Vec::new(),
            starts: Vec::new(),
            resumed_checkpoints: Vec::new(),
            ordered_starts: Vec::new(),
            renewal_count: 0,
            stops: Vec::new(),
            pace_orders: Vec::new(),
            jobs: BTreeMap::new(),
            accepting: 0,
            fencing_token: 1,
            delayed_orders: Vec::new(),
            lost_order_delay: None,
            accepted_stops: Vec::new(),
            stop_delay: None,
            permitted_worker: None,
            advice_requests: Vec::new(),
            evacuations: BTreeSet::new(),
            is_feed_up: true,
            held_orders: None,
            crash_plan: CrashPlan::default(),
            events: None,
        }
    }

    /// Begins or undoes an evacuation; the owner reads it with the next tick.
    pub(crate) fn evacuate(&mut self, data_centre: &str, is_evacuated: bool) {
        let name = DataCentre::new(data_centre);
        if is_evacuated {
            self.evacuations.insert(name);
        } else {
            self.evacuations.remove(&name);
        }
    }

    fn read_evacuations(&mut self) {
        if self.is_feed_up {
            self.scheduler.set_evacuations(&self.evacuations, self.now);
            self.scheduler.confirm_evacuations(self.now);
        }
    }

    pub(crate) fn wall_time(&self) -> WallTime {
        WallTime::from_millis(self.now.as_millis())
    }

    /// Submits a job to the queue `reports`.
    pub(crate) fn submit(&mut self, id: &str, steps: Vec<StepSpec>, duration_ms: u64) -> JobId {
        self.submit_to(id, "builders", steps, duration_ms)
    }

    /// Submits a job to the queue of a pool; the manifest declares those of
    /// `builders` and `printers`.
    pub(crate) fn submit_to(
        &mut self,
        id: &str,
        pool: &str,
        steps: Vec<StepSpec>,
        duration_ms: u64,
    ) -> JobId {
        self.submit_as("housing", id, pool, steps, duration_ms)
    }

    /// Submits a job of a customer to the queue of a pool.
    pub(crate) fn submit_as(
        &mut self,
        customer: &str,
        id: &str,
        pool: &str,
        steps: Vec<StepSpec>,
        duration_ms: u64,
    ) -> JobId {
        let id = JobId::new(id);
        let queue = match pool {
            "builders" => "reports",
            "printers" => "labels",
            other => other,
        };
        let record = JobRecord {
            queue: QueueName::new(queue),
            pool: PoolName::new(pool),
            customer: Some(CustomerName::new(customer)),
            accepted: self.wall_time(),
            accepted_by: self.accepting,
            spec: JobSpec {
                steps,
                ..JobSpec::default()
            },
        };
        self.jobs.insert(id.clone(), record.clone());
        self.scheduler.submit(&id, record);
        self.task_durations
            .insert(id.clone(), time::Duration::from_millis(duration_ms));
        id
    }

    pub(crate) fn worker(&mut self, id: &str) -> &mut FakeWorker {
        self.workers
            .get_mut(&WorkerId::new(id))
            .expect("the worker exists")
    }

    /// Advances simulated time by `duration_ms`.
    pub(crate) fn advance(&mut self, duration_ms: u64) {
        let end = self.now + time::Duration::from_millis(duration_ms);
        while self.now < end {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now = self.now + TICK_INTERVAL;
        for worker in self.workers.values_mut() {
            worker.tick(self.now);
        }
        self.apply_crashes();
        self.execute_delayed_orders();
        self.read_evacuations();
        self.scheduler.tick(self.now);
        self.scheduler.place_tasks(self.now, self.wall_time());
        self.respond_to_advice_requests();
        self.store_changes();
        for order in self.scheduler.take_orders() {
            match &mut self.held_orders {
                Some(held) => held.push(order),
                None => self.send_order(&order),
            }
        }
        if let Some(events) = &mut self.events {
            events.extend(self.scheduler.take_events());
        }
    }

    fn respond_to_advice_requests(&mut self) {
        for request in self.scheduler.take_advice_requests() {
            let permits = request.workers.iter();
            let permits = permits.filter(|worker| Some(*worker) == self.permitted_worker.as_ref());
            let response = AdviceResponse {
                permits: permits
                    .map(|worker| WorkerPermit {
                        worker: worker.clone(),
                        ticket: "ticket".to_owned(),
                    })
                    .collect(),
                valid_for: time::Duration::from_secs(3),
            };
            self.scheduler
                .handle_advice_response(&request, Some(&response), self.now);
            self.advice_requests.push(request);
        }
    }

    fn store_changes(&mut self) {
        let is_due = self.now.saturating_since(self.stored_at) >= OWNER_RENEWAL_INTERVAL;
        if !self.is_table_up || !(is_due || self.scheduler.has_changes()) {
            return;
        }
        let stated = self.leases_to_state();
        let changes = self.take_changes();
        if self.refused_changes > 0 {
            self.refused_changes -= 1;
            self.scheduler.changes_refused(&changes);
            return;
        }
        for ProgressRow { job, progress, .. } in &changes.rows {
            self.rows.insert(job.clone(), progress.clone());
            self.stored_order.push(job.clone());
        }
        if let Some(ends) = &changes.lease_ends {
            self.lease_ends.clone_from(ends);
            self.lease_end_writes += 1;
        }
        self.stated_leases = stated;
        self.stored_at = self.now;
        self.scheduler.changes_stored(&changes, self.now);
    }

    /// Takes the rows of one change, up to `change_bytes`.
    pub(crate) fn take_changes(&mut self) -> ChangeSet {
        let limit = self.change_bytes;
        let mut used = 0;
        let mut add = |row: &ProgressRow| {
            let size = row_bytes(&row.progress);
            if size > limit {
                return RowFit::TooLarge;
            }
            if used + size > limit {
                return RowFit::Full;
            }
            used += size;
            RowFit::Added
        };
        let mut changes = self.scheduler.begin_changes(self.now);
        for kind in ChangePurpose::Continue.work() {
            self.scheduler
                .add_changes(&mut changes, kind, self.now, &mut add);
        }
        let sizes = changes.rows.iter().map(|row| row_bytes(&row.progress));
        assert!(sizes.sum::<usize>() <= limit);
        changes
    }

    /// Replaces the scheduler by that of a new owner, which starts from the
    /// stored rows, with the health of workers and the permits as of now, and the list of
    /// workers only.
    pub(crate) fn take_over(&mut self, settings: SchedulerSettings) {
        self.begin_take_over(settings);
        self.finish_take_over();
    }

    /// Returns the long and unconfirmed leases that a change states which is stored now.
    fn leases_to_state(&self) -> [LateLeases; 2] {
        [
            self.scheduler.late_leases(self.now),
            self.scheduler.unconfirmed_leases(self.now),
        ]
    }

    /// Stores the change that releases the ownership; no order is sent after it.
    pub(crate) fn release(&mut self) {
        self.scheduler.prepare_release(self.now);
        self.stated_leases = self.leases_to_state();
        let changes = self.scheduler.begin_changes(self.now);
        if let Some(ends) = changes.lease_ends {
            self.lease_ends = ends;
        }
        self.has_released = true;
    }

    /// Replaces the scheduler by that of a new owner, which has not read the rows of
    /// jobs yet.
    pub(crate) fn begin_take_over(&mut self, settings: SchedulerSettings) {
        self.fencing_token += 1;
        let previous = PreviousOwner {
            unchanged_since: self.now,
            has_ended: std::mem::take(&mut self.has_released),
            earlier_leases_left: Some(time::Duration::ZERO),
        };
        let inherited = InheritedLeases {
            until: previous.leases_until(&settings),
            workers: self.lease_ends.clone(),
            late: self.stated_leases[0].clone(),
            unconfirmed: self.stated_leases[1].clone(),
            orders_until: Some(previous.orders_until(&settings)),
        };
        self.stored_health = self.scheduler.fleet_health(self.now);
        self.stored_advice = self.scheduler.stored_advice(self.now);
        let mut scheduler = JobScheduler::new(settings, self.fencing_token);
        scheduler.inherit_leases(inherited);
        scheduler.set_manifest(sync::Arc::new(manifest()));
        let listed = self.workers.values().filter(|worker| worker.is_listed);
        let views = listed.map(|worker| worker.view.clone());
        scheduler.begin_restoring();
        scheduler.set_evacuations(&self.evacuations, self.now);
        scheduler.workers_listed(views.collect(), &[], self.now);
        self.scheduler = scheduler;
    }

    /// Lets the new owner read the rows of jobs.
    pub(crate) fn finish_take_over(&mut self) {
        for (id, record) in &self.jobs {
            match self.rows.get(id) {
                Some(progress) => {
                    self.scheduler
                        .restore(id, record.clone(), progress, self.now);
                }
                None => self.scheduler.submit(id, record.clone()),
            }
        }
        self.scheduler.restore_health(&self.stored_health, self.now);
        self.scheduler.restore_advice(&self.stored_advice, self.now);
        self.scheduler.finish_restoring(self.now);
    }

    pub(crate) fn state(&self, id: &JobId) -> JobState {
        self.rows.get(id).map_or(JobState::Queued, |row| row.state)
    }

    /// Returns the number of current runs of a task.
    pub(crate) fn running_count(&self, task: &TaskId) -> usize {
        let workers = self.workers.values();
        workers
            .filter(|worker| worker.running.contains_key(task))
            .count()
    }

    /// Advances simulated time by `duration_ms`, and panics if a task runs on two workers at
    /// once at any tick.
    pub(crate) fn watch_runs(&mut self, duration_ms: u64) {
        let end = self.now + time::Duration::from_millis(duration_ms);
        while self.now < end {
            self.tick();
            self.assert_no_double_run();
        }
    }

    /// Panics if a task runs on two workers at once.
    pub(crate) fn assert_no_double_run(&self) {
        let mut running_tasks = HashSet::new();
        for worker in self.workers.values() {
            for task in worker.running.keys() {
                assert!(running_tasks.insert(task.clone()), "{task} runs twice");
            }
        }
    }

    /// Panics if the runs on a worker need more processor than it has.
    pub(crate) fn assert_within_capacity(&self) {
        for (id, worker) in &self.workers {
            let needs = worker.running.keys().map(|task| {
                let steps = &self.jobs[&task.job].spec.steps;
                steps[task.step as usize].needs.cpu_millis
            });
            let used: u64 = needs.sum();
            let capacity = worker.view.capacity.cpu_millis;
            assert!(used <= capacity, "{id} runs {used} of {capacity}");
        }
    }
}
