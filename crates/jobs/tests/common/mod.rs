//! Fleet of in-memory workers under a scheduler, advanced tick by tick in simulated time.

#![allow(dead_code)]

use std::collections::{BTreeMap, HashSet};
use std::sync;
use std::time;

use redwing_jobs::manifest::{
    CallerAddress, CustomerPolicy, JobManifest, ManifestParts, PoolPolicy, QueuePolicy,
};
use redwing_jobs::name::{CustomerName, PoolName, QueueName, WorkerLabel};
use redwing_jobs::scheduler::{
    AdviceRequest, AdviceResponse, InheritedLeases, LeaseEnds, ProgressRow, WorkerPermit,
};
use redwing_jobs::spec::{ResourceAmount, StepSpec};
use redwing_jobs::time::WallTime;
use redwing_jobs::worker::{
    ActiveRun, EndedRun, ExitKind, OrderAction, OrderOutcome, OrderResponse, RenewalReport,
    WorkerOrder, WorkerView,
};
use redwing_jobs::{
    BootTime, JobId, JobRecord, JobScheduler, JobSpec, JobState, ProgressRecord, SchedulerSettings,
    TaskId, WorkerId,
};

/// Simulated time between two ticks.
pub(crate) const TICK_INTERVAL: time::Duration = time::Duration::from_millis(10);

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
    /// Highest fencing token that it has accepted.
    pub(crate) fencing_token: u64,
    pub(crate) running: BTreeMap<TaskId, FakeRun>,
    pub(crate) ended_runs: Vec<EndedRun>,
    pub(crate) next_ended_number: u64,
    pub(crate) lease_end_ms: u64,
    /// Highest run number of each task that was stopped or ended in this
    /// incarnation.
    pub(crate) closed_runs: BTreeMap<TaskId, u32>,
    /// Whether orders sent to it are lost without a response.
    pub(crate) is_unresponsive: bool,
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
                is_draining: false,
                remaining_ms: None,
            },
            fencing_token: 0,
            running: BTreeMap::new(),
            ended_runs: Vec::new(),
            next_ended_number: 1,
            lease_end_ms: 0,
            closed_runs: BTreeMap::new(),
            is_unresponsive: false,
            is_failing: false,
            is_checkpointing: false,
            is_stalled: false,
            receives_acknowledgements: true,
        }
    }

    fn end_run(&mut self, task: &TaskId, kind: ExitKind) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        self.closed_runs.insert(task.clone(), run.run);
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
        if self.lease_end_ms < now.as_millis() {
            let lapsed_tasks: Vec<TaskId> = self.running.keys().cloned().collect();
            for task in lapsed_tasks {
                self.end_run(&task, ExitKind::Lapsed);
            }
        }
    }

    fn renewal_report(&self, now: BootTime) -> RenewalReport {
        let listed_runs = self.running.iter().map(|(task, run)| ActiveRun {
            task: task.clone(),
            run: run.run,
            checkpoint: run.checkpoint.clone(),
            percent: run.percent_at(now, self.is_stalled),
            metric: run.measurement,
        });
        RenewalReport {
            incarnation: self.view.incarnation,
            clock_ms: now.as_millis(),
            running: listed_runs.collect(),
            ended: self.ended_runs.clone(),
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

/// Scheduler and its workers in simulated time.
pub(crate) struct FakeFleet {
    pub(crate) scheduler: JobScheduler,
    pub(crate) workers: BTreeMap<WorkerId, FakeWorker>,
    pub(crate) now: BootTime,
    /// Duration of each task of a job; zero if tasks run until they are stopped.
    pub(crate) task_durations: BTreeMap<JobId, time::Duration>,
    /// Stored progress row of each job.
    pub(crate) rows: BTreeMap<JobId, ProgressRecord>,
    /// Stored ends of leases.
    pub(crate) lease_ends: LeaseEnds,
    /// Whether the table accepts writes.
    pub(crate) is_table_up: bool,
    /// Task, run, worker and time of every start that a worker executed.
    pub(crate) starts: Vec<(TaskId, u32, WorkerId, BootTime)>,
    /// Every checkpoint that a run resumed from.
    pub(crate) resumed_checkpoints: Vec<String>,
    /// Every task whose start was ordered.
    pub(crate) ordered_starts: Vec<TaskId>,
    /// Task, run and time of every stop that a worker executed.
    pub(crate) stops: Vec<(TaskId, u32, BootTime)>,
    /// Task, processor share in percent and time of every pace order that a
    /// worker executed.
    pub(crate) pace_orders: Vec<(TaskId, u32, BootTime)>,
    pub(crate) jobs: BTreeMap<JobId, JobRecord>,
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
}

/// Returns a manifest whose customer has no limit.
pub(crate) fn manifest() -> JobManifest {
    manifest_with_limit(0)
}

/// Returns a manifest whose customer may use `cpu_millis`; 0 means no limit.
pub(crate) fn manifest_with_limit(cpu_millis: u64) -> JobManifest {
    JobManifest::from(manifest_parts_with_limit(cpu_millis))
}

/// Returns the parts of [`manifest_with_limit`].
pub(crate) fn manifest_parts_with_limit(cpu_millis: u64) -> ManifestParts {
    let queue = |name: &str, pool: &str| QueuePolicy {
        name: QueueName::new(name),
        address: CallerAddress {
            host: "jobs.example".to_owned(),
            path_prefix: format!("/{name}/"),
        },
        pool: PoolName::new(pool),
        priority: 0,
        max_attempts: 3,
        stretch: 1.6,
        objective_ms: 600,
        is_public: false,
        is_advised: false,
    };
    ManifestParts {
        version: 1,
        queues: vec![queue("reports", "builders"), queue("labels", "printers")],
        customers: vec![
            CustomerPolicy {
                name: CustomerName::new("housing"),
                keys: vec!["secret".to_owned()],
                weight: 1.0,
                limit: ResourceAmount {
                    cpu_millis,
                    ..ResourceAmount::default()
                },
            },
            CustomerPolicy {
                name: CustomerName::new("portal"),
                keys: vec!["other".to_owned()],
                weight: 3.0,
                limit: ResourceAmount::default(),
            },
        ],
        pools: ["builders", "printers"]
            .map(|name| PoolPolicy {
                name: PoolName::new(name),
                is_standby: false,
                enforces_capacity: false,
            })
            .to_vec(),
    }
}

/// Returns a step of `count` tasks that need `cpu_millis` each.
pub(crate) fn step_spec(count: u32, cpu_millis: u64) -> StepSpec {
    StepSpec {
        count,
        needs: ResourceAmount {
            cpu_millis,
            memory_mb: 100,
            accelerators: 0,
        },
        estimate_ms: 500,
        ..StepSpec::default()
    }
}

impl FakeFleet {
    pub(crate) fn new(settings: SchedulerSettings, workers: Vec<FakeWorker>) -> Self {
        let mut scheduler = JobScheduler::new(settings, 1);
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
            task_durations: BTreeMap::new(),
            rows: BTreeMap::new(),
            lease_ends: LeaseEnds::new(),
            is_table_up: true,
            starts: Vec::new(),
            resumed_checkpoints: Vec::new(),
            ordered_starts: Vec::new(),
            stops: Vec::new(),
            pace_orders: Vec::new(),
            jobs: BTreeMap::new(),
            fencing_token: 1,
            delayed_orders: Vec::new(),
            lost_order_delay: None,
            accepted_stops: Vec::new(),
            stop_delay: None,
            permitted_worker: None,
            advice_requests: Vec::new(),
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
        self.execute_delayed_orders();
        self.scheduler.tick(self.now);
        self.scheduler.place_tasks(self.now, self.wall_time());
        self.respond_to_advice_requests();
        self.store_changes();
        for order in self.scheduler.take_orders() {
            self.send_order(&order);
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
        if !self.is_table_up || !self.scheduler.has_changes() {
            return;
        }
        let changes = self.scheduler.take_changes(self.now);
        for ProgressRow { job, progress } in &changes.rows {
            self.rows.insert(job.clone(), progress.clone());
        }
        if let Some(ends) = &changes.lease_ends {
            self.lease_ends.clone_from(ends);
        }
        self.scheduler.changes_stored(&changes, self.now);
    }

    fn execute_delayed_orders(&mut self) {
        let now = self.now;
        let (due_orders, pending_orders): (Vec<_>, Vec<_>) = self
            .delayed_orders
            .drain(..)
            .partition(|(due_time, _)| *due_time <= now);
        self.delayed_orders = pending_orders;
        for (_, order) in due_orders {
            self.execute_order(&order);
        }
        let (due_stops, pending_stops): (Vec<_>, Vec<_>) = self
            .accepted_stops
            .drain(..)
            .partition(|(due_time, _)| *due_time <= now);
        self.accepted_stops = pending_stops;
        for (_, order) in due_stops {
            if let OrderAction::Stop { task, run } = &order.action {
                self.stop_run(&order.worker, task, *run);
            }
        }
    }

    /// Ends a run on a worker; later starts of that run are rejected.
    fn stop_run(&mut self, worker: &WorkerId, task: &TaskId, run: u32) {
        let Some(worker) = self.workers.get_mut(worker) else {
            return;
        };
        let closed = worker.closed_runs.entry(task.clone()).or_default();
        *closed = (*closed).max(run);
        let running = worker.running.get(task);
        if running.is_some_and(|running| running.run == run) {
            worker.end_run(task, ExitKind::Stopped);
            self.stops.push((task.clone(), run, self.now));
        }
    }

    fn send_order(&mut self, order: &WorkerOrder) {
        if let OrderAction::Start { task, .. } = &order.action {
            self.ordered_starts.push(task.clone());
        }
        let is_unresponsive = self
            .workers
            .get(&order.worker)
            .is_none_or(|worker| worker.is_unresponsive);
        if is_unresponsive {
            self.deliver_response(order, OrderOutcome::Unknown, None);
            return;
        }
        let is_renewal = matches!(order.action, OrderAction::Renew { .. });
        if let Some(delay) = self.lost_order_delay.filter(|_| !is_renewal) {
            self.delayed_orders.push((self.now + delay, order.clone()));
            self.deliver_response(order, OrderOutcome::Unknown, None);
            return;
        }
        let is_stop = matches!(order.action, OrderAction::Stop { .. });
        if let Some(delay) = self.stop_delay.filter(|_| is_stop) {
            self.accepted_stops.push((self.now + delay, order.clone()));
            self.deliver_response(order, OrderOutcome::Accepted, None);
            return;
        }
        let (outcome, report) = self.execute_order(order);
        self.deliver_response(order, outcome, report);
    }

    fn deliver_response(
        &mut self,
        order: &WorkerOrder,
        outcome: OrderOutcome,
        report: Option<RenewalReport>,
    ) {
        let now = self.now;
        let response = OrderResponse {
            outcome,
            clock_ms: None,
        };
        match &order.action {
            OrderAction::Start { task, run, .. } => {
                self.scheduler
                    .handle_start_response(&order.worker, task, *run, &response, now);
            }
            OrderAction::Stop { task, run } => {
                self.scheduler
                    .handle_stop_response(&order.worker, task, *run, &response, now);
            }
            OrderAction::Renew { .. } => match report {
                Some(report) => {
                    self.scheduler.handle_renewal_report(
                        &order.worker,
                        order.issued_at,
                        &report,
                        now,
                    );
                }
                None => {
                    self.scheduler.handle_renewal_failure(
                        &order.worker,
                        order.issued_at,
                        outcome,
                        now,
                    );
                }
            },
            OrderAction::Pace { .. } => {}
        }
    }

    /// Executes an order under the rules of a worker and returns the response.
    fn execute_order(&mut self, order: &WorkerOrder) -> (OrderOutcome, Option<RenewalReport>) {
        let now = self.now;
        let task_durations = &self.task_durations;
        let Some(worker) = self.workers.get_mut(&order.worker) else {
            return (OrderOutcome::Replaced, None);
        };
        if order.fencing_token < worker.fencing_token {
            return (OrderOutcome::Fenced, None);
        }
        worker.fencing_token = order.fencing_token;
        match &order.action {
            OrderAction::Start {
                task,
                run,
                lease_end_ms,
                checkpoint,
                ..
            } => {
                let is_stale = worker
                    .closed_runs
                    .get(task)
                    .is_some_and(|closed| closed >= run);
                if is_stale {
                    return (OrderOutcome::Stale, None);
                }
                if *lease_end_ms < now.as_millis() {
                    return (OrderOutcome::Expired, None);
                }
                worker.lease_end_ms = worker.lease_end_ms.max(*lease_end_ms);
                let duration = task_durations.get(&task.job);
                worker.running.insert(
                    task.clone(),
                    FakeRun {
                        run: *run,
                        start_time: now,
                        finish_time: duration
                            .filter(|duration| !duration.is_zero())
                            .map(|duration| now + *duration),
                        progress_percent: 100,
                        measurement: 0,
                        checkpoint: checkpoint.clone(),
                    },
                );
                self.resumed_checkpoints.extend(checkpoint.clone());
                self.starts
                    .push((task.clone(), *run, order.worker.clone(), now));
                (OrderOutcome::Accepted, None)
            }
            OrderAction::Stop { task, run } => {
                self.stop_run(&order.worker, task, *run);
                (OrderOutcome::Accepted, None)
            }
            OrderAction::Renew {
                acknowledged_number,
                lease_end_ms,
                ..
            } => {
                if worker.receives_acknowledgements {
                    worker
                        .ended_runs
                        .retain(|ended_run| ended_run.number > *acknowledged_number);
                }
                worker.lease_end_ms = worker.lease_end_ms.max(lease_end_ms.unwrap_or(0));
                (OrderOutcome::Accepted, Some(worker.renewal_report(now)))
            }
            OrderAction::Pace { task, percent, .. } => {
                self.pace_orders.push((task.clone(), *percent, now));
                (OrderOutcome::Accepted, None)
            }
        }
    }

    /// Replaces the scheduler by that of a new owner, which starts from the
    /// stored rows and the list of workers only.
    pub(crate) fn take_over(&mut self, settings: SchedulerSettings) {
        self.fencing_token += 1;
        let inherited = InheritedLeases {
            until: self.now + settings.inherited_lease,
            workers: std::mem::take(&mut self.lease_ends),
        };
        let mut scheduler = JobScheduler::new(settings, self.fencing_token);
        scheduler.inherit_leases(inherited);
        scheduler.set_manifest(sync::Arc::new(manifest()));
        let views = self.workers.values().map(|worker| worker.view.clone());
        scheduler.workers_listed(views.collect(), self.now);
        for (id, record) in &self.jobs {
            match self.rows.get(id) {
                Some(progress) => scheduler.restore(id, record.clone(), progress, self.now),
                None => scheduler.submit(id, record.clone()),
            }
        }
        self.scheduler = scheduler;
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

    /// Panics if a task runs on two workers at once.
    pub(crate) fn assert_no_double_run(&self) {
        let mut running_tasks = HashSet::new();
        for worker in self.workers.values() {
            for task in worker.running.keys() {
                assert!(running_tasks.insert(task.clone()), "{task} runs twice");
            }
        }
    }
}

pub(crate) fn task_id(job: &JobId, step: u32, index: u32) -> TaskId {
    TaskId {
        job: job.clone(),
        occurrence: 0,
        step,
        index,
    }
}
