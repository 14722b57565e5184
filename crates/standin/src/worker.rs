//! Stand-in workers that run tasks under leases and fencing tokens.
//!
//! A task only takes a fixed time. Faults are set per worker: it doesn't respond,
//! executes orders after a delay, or fails its tasks; [`MemoryWorkers::crash`]
//! replaces a worker by its next incarnation, which has no runs. A payload that is a
//! number is the duration of the task, in milliseconds.

use std::collections::{BTreeMap, HashMap};
use std::hash::{self, Hash, Hasher};
use std::sync;
use std::time;

use redwing_engine::product;
use redwing_engine::services::{
    AdvisorClient, LeaseHolder, ListedMachine, MachineClient, MachineOutcome, WorkerClient,
    WorkerReply,
};
use redwing_jobs::TaskId;
use redwing_jobs::name::{DataCentre, MachineName, PoolName, WorkerId};
use redwing_jobs::scheduler::{AdviceRequest, AdviceResponse};
use redwing_jobs::spec::ResourceAmount;
use redwing_jobs::worker::{
    ActiveRun, EndedRun, ExitKind, OrderAction, OrderOutcome, OrderResponse, RenewalReport,
    WorkerOrder, WorkerView,
};
use redwing_provider::{Error, LocalFuture, Result, TableStore, TableTransaction};
use tokio::time as timer;

/// Longest lease that a worker grants; a longer one is shortened.
const MAX_LEASE: time::Duration = time::Duration::from_millis(10_000);

/// Largest number of ended runs in one list.
const MAX_LISTED_ENDS: usize = 500;

/// Upper end of what a worker's clock may begin with, in milliseconds.
const MAX_CLOCK_ORIGIN_MS: u64 = 9_000_000;

/// Interval at which a waiting renewal checks whether a run has ended.
const RENEWAL_POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Injected faults of a worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkerFault {
    /// Whether the worker ignores all orders and doesn't respond.
    pub is_unresponsive: bool,
    /// Delay after which orders other than renewals are executed, without a
    /// response.
    pub execution_delay: Option<time::Duration>,
    /// Delay after which orders other than renewals are executed, with a response.
    pub response_delay: Option<time::Duration>,
    /// Whether all tasks of the worker fail.
    pub is_failing: bool,
}

#[derive(Clone, Debug)]
struct StandinRun {
    run: u32,
    started_at: timer::Instant,
    duration: time::Duration,
}

#[derive(Debug)]
struct StandinWorker {
    view: WorkerView,
    fault: WorkerFault,
    started_at: timer::Instant,
    /// What the worker's clock showed at its start, in milliseconds.
    clock_origin_ms: u64,
    fencing_token: u64,
    lease_end_ms: u64,
    running: BTreeMap<TaskId, StandinRun>,
    ended: Vec<EndedRun>,
    next_end_number: u64,
    /// Highest run number of each task that was stopped or has ended on this
    /// worker.
    closed_runs: HashMap<TaskId, u32>,
}

impl StandinWorker {
    fn clock_ms(&self) -> u64 {
        self.clock_origin_ms + self.started_at.elapsed().as_millis() as u64
    }

    /// Extends the lease up to the longest one.
    fn extend_lease(&mut self, lease_end_ms: u64) {
        let longest_ms = self.clock_ms() + MAX_LEASE.as_millis() as u64;
        self.lease_end_ms = self.lease_end_ms.max(lease_end_ms.min(longest_ms));
    }

    fn end(&mut self, task: &TaskId, kind: ExitKind) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        self.closed_runs.insert(task.clone(), run.run);
        self.ended.push(EndedRun {
            number: self.next_end_number,
            task: task.clone(),
            run: run.run,
            kind,
            checkpoint: None,
        });
        self.next_end_number += 1;
    }

    /// Ends the runs that have finished, failed or lost their lease.
    fn end_finished_runs(&mut self) {
        let is_failing = self.fault.is_failing;
        let now = timer::Instant::now();
        let lease_ms = self.lease_end_ms.saturating_sub(self.clock_origin_ms);
        let lease_end = self.started_at + time::Duration::from_millis(lease_ms);
        let finished = self.running.iter().filter_map(|(task, run)| {
            let done_at = run.started_at + run.duration;
            let kind = match is_failing {
                true => ExitKind::Failed,
                false if done_at <= now.min(lease_end) => ExitKind::Done,
                false if lease_end < now => ExitKind::Lapsed,
                false => return None,
            };
            Some((task.clone(), kind))
        });
        let finished: Vec<(TaskId, ExitKind)> = finished.collect();
        for (task, kind) in finished {
            self.end(&task, kind);
        }
    }

    fn execute(&mut self, order: &WorkerOrder, task_duration: time::Duration) -> OrderOutcome {
        if order.worker != self.view.id {
            return OrderOutcome::Replaced;
        }
        if order.fencing_token < self.fencing_token {
            return OrderOutcome::Fenced;
        }
        self.fencing_token = order.fencing_token;
        match &order.action {
            OrderAction::Start {
                task,
                run,
                lease_end_ms,
                payload,
                ..
            } => {
                let millis = payload.parse().map(time::Duration::from_millis);
                self.start(task, *run, *lease_end_ms, millis.unwrap_or(task_duration))
            }
            OrderAction::Stop { task, run } => {
                let closed_run = self.closed_runs.entry(task.clone()).or_default();
                *closed_run = (*closed_run).max(*run);
                if self
                    .running
                    .get(task)
                    .is_some_and(|active| active.run == *run)
                {
                    self.end(task, ExitKind::Stopped);
                }
                OrderOutcome::Accepted
            }
            OrderAction::Renew {
                acknowledged_number,
                lease_end_ms,
                ..
            } => {
                self.ended.retain(|end| end.number > *acknowledged_number);
                self.extend_lease(lease_end_ms.unwrap_or(0));
                OrderOutcome::Accepted
            }
            OrderAction::Pace { .. } => OrderOutcome::Accepted,
        }
    }

    fn start(
        &mut self,
        task: &TaskId,
        run: u32,
        lease_end_ms: u64,
        duration: time::Duration,
    ) -> OrderOutcome {
        if self
            .closed_runs
            .get(task)
            .is_some_and(|closed_run| *closed_run >= run)
        {
            return OrderOutcome::Stale;
        }
        if lease_end_ms < self.clock_ms() {
            return OrderOutcome::Expired;
        }
        self.extend_lease(lease_end_ms);
        self.running.entry(task.clone()).or_insert(StandinRun {
            run,
            started_at: timer::Instant::now(),
            duration,
        });
        OrderOutcome::Accepted
    }

    fn report(&self) -> RenewalReport {
        let running = self.running.iter().map(|(task, run)| {
            let progress =
                run.started_at.elapsed().as_secs_f64() / run.duration.as_secs_f64().max(0.001);
            ActiveRun {
                task: task.clone(),
                run: run.run,
                checkpoint: None,
                percent: (progress * 100.0).min(100.0) as u32,
                metric: 0,
            }
        });
        let listed = self.ended.iter().take(MAX_LISTED_ENDS);
        RenewalReport {
            incarnation: self.view.incarnation,
            clock_ms: self.clock_ms(),
            running: running.collect(),
            ended: listed.cloned().collect(),
            is_complete: self.ended.len() <= MAX_LISTED_ENDS,
            malformed: 0,
        }
    }
}

/// Start order that a stand-in worker accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AcceptedStart {
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Worker of the run.
    pub worker: WorkerId,
    /// When it was accepted.
    pub at: timer::Instant,
}

/// Start order that arrived at a stand-in worker, accepted or not.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReceivedStart {
    /// Task to start.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Fencing token of the sender.
    pub fencing_token: u64,
    /// When it arrived.
    pub at: timer::Instant,
}

/// Stand-in workers of one pool; clones share the workers.
#[derive(Clone, Debug)]
pub struct MemoryWorkers {
    workers: sync::Arc<sync::Mutex<BTreeMap<WorkerId, StandinWorker>>>,
    starts: sync::Arc<sync::Mutex<Vec<AcceptedStart>>>,
    received: sync::Arc<sync::Mutex<Vec<ReceivedStart>>>,
    /// Duration of each task.
    task_duration: time::Duration,
}

impl MemoryWorkers {
    /// Creates `count` workers of `pool` that take `task_duration` for each task.
    pub fn new(pool: &str, count: u32, task_duration: time::Duration) -> Self {
        let workers = (1..=count).map(|number| {
            let view = worker_view(pool, number);
            (
                view.id.clone(),
                new_incarnation(view, WorkerFault::default()),
            )
        });
        Self {
            workers: sync::Arc::new(sync::Mutex::new(workers.collect())),
            starts: sync::Arc::default(),
            received: sync::Arc::default(),
            task_duration,
        }
    }

    /// Returns the ids of the workers.
    pub fn ids(&self) -> Vec<WorkerId> {
        self.lock().keys().cloned().collect()
    }

    /// Registers all workers in the table.
    ///
    /// # Errors
    ///
    /// Fails if the table does not commit the rows.
    pub async fn register(&self, table: &dyn TableStore) -> Result<()> {
        let views: Vec<WorkerView> = self
            .lock()
            .values()
            .map(|worker| worker.view.clone())
            .collect();
        for view in views {
            let key = product::worker_key(&view.id);
            let value = serde_json::to_string(&view);
            let value = value.map_err(|error| {
                Error::refused("register worker", view.id.as_str(), error.to_string())
            })?;
            let row = TableTransaction::default().put(key, value);
            table.commit(&row).await?;
        }
        Ok(())
    }

    /// Places the workers in data centres in turn; they are to be registered after that.
    pub fn set_data_centres(&self, names: &[&str]) {
        for (worker, name) in self.lock().values_mut().zip(names.iter().cycle()) {
            worker.view.data_centre = Some(DataCentre::new(name));
        }
    }

    /// Returns the data centre of a worker.
    pub fn data_centre(&self, worker: &WorkerId) -> Option<DataCentre> {
        self.lock().get(worker)?.view.data_centre.clone()
    }

    /// Sets the faults of a worker.
    pub fn set_fault(&self, worker: &WorkerId, fault: WorkerFault) {
        if let Some(worker) = self.lock().get_mut(worker) {
            worker.fault = fault;
        }
    }

    /// Ends a worker with its runs; its row stays.
    pub fn remove(&self, worker: &WorkerId) {
        self.lock().remove(worker);
    }

    /// Replaces a worker by its next incarnation, which has no runs.
    pub fn crash(&self, worker: &WorkerId) {
        if let Some(worker) = self.lock().get_mut(worker) {
            let mut view = worker.view.clone();
            view.incarnation += 1;
            *worker = new_incarnation(view, worker.fault);
        }
    }

    /// Lets a worker carry out a lease renewal for the incarnation before, whose clock was far
    /// ahead.
    pub fn renew_late(&self, worker: &WorkerId) {
        if let Some(worker) = self.lock().get_mut(worker) {
            worker.extend_lease(u64::MAX);
        }
    }

    /// Ends a worker with its runs, until it returns.
    pub(crate) fn take_down(&self, worker: &WorkerId) {
        if let Some(worker) = self.lock().get_mut(worker) {
            worker.running.clear();
            worker.fault.is_unresponsive = true;
        }
    }

    /// Starts the next incarnation of a worker that was taken down, under the id `id`;
    /// returns its entry.
    pub(crate) fn bring_back(&self, worker: &WorkerId, id: &WorkerId) -> Option<WorkerView> {
        let mut workers = self.lock();
        let mut view = workers.remove(worker)?.view;
        view.id = id.clone();
        view.incarnation += 1;
        let next = new_incarnation(view.clone(), WorkerFault::default());
        workers.insert(id.clone(), next);
        Some(view)
    }

    /// Returns all accepted start orders.
    pub fn starts(&self) -> Vec<AcceptedStart> {
        match self.starts.lock() {
            Ok(starts) => starts.clone(),
            Err(poisoned) => poisoned.into_inner().clone(),
        }
    }

    /// Returns all start orders that arrived.
    pub fn received(&self) -> Vec<ReceivedStart> {
        match self.received.lock() {
            Ok(received) => received.clone(),
            Err(poisoned) => poisoned.into_inner().clone(),
        }
    }

    fn record_received(&self, order: &WorkerOrder) {
        if let OrderAction::Start { task, run, .. } = &order.action
            && let Ok(mut received) = self.received.lock()
        {
            received.push(ReceivedStart {
                task: task.clone(),
                run: *run,
                fencing_token: order.fencing_token,
                at: timer::Instant::now(),
            });
        }
    }

    /// Returns the number of active runs of each task.
    pub fn running(&self) -> BTreeMap<TaskId, usize> {
        let mut counts = BTreeMap::new();
        for worker in self.lock().values_mut() {
            worker.end_finished_runs();
            for task in worker.running.keys() {
                *counts.entry(task.clone()).or_insert(0) += 1;
            }
        }
        counts
    }

    fn lock(&self) -> sync::MutexGuard<'_, BTreeMap<WorkerId, StandinWorker>> {
        match self.workers.lock() {
            Ok(workers) => workers,
            Err(poisoned) => poisoned.into_inner(),
        }
    }

    fn fault(&self, worker: &WorkerId) -> Option<WorkerFault> {
        self.lock().get(worker).map(|worker| worker.fault)
    }

    fn execute(&self, order: &WorkerOrder) -> OrderResponse {
        let mut workers = self.lock();
        let Some(worker) = workers.get_mut(&order.worker) else {
            return OrderResponse {
                outcome: OrderOutcome::Replaced,
                clock_ms: None,
            };
        };
        worker.end_finished_runs();
        let outcome = worker.execute(order, self.task_duration);
        let response = OrderResponse {
            outcome,
            clock_ms: Some(worker.clock_ms()),
        };
        drop(workers);
        if let (OrderAction::Start { task, run, .. }, OrderOutcome::Accepted) =
            (&order.action, outcome)
            && let Ok(mut starts) = self.starts.lock()
        {
            starts.push(AcceptedStart {
                task: task.clone(),
                run: *run,
                worker: order.worker.clone(),
                at: timer::Instant::now(),
            });
        }
        response
    }

    async fn renew_lease(&self, order: &WorkerOrder, wait_ms: u64) -> WorkerReply {
        let response = self.execute(order);
        if response.outcome != OrderOutcome::Accepted {
            return WorkerReply::NoReport(response.outcome);
        }
        let deadline = timer::Instant::now() + time::Duration::from_millis(wait_ms);
        loop {
            let report = self.lock().get_mut(&order.worker).map(|worker| {
                worker.end_finished_runs();
                worker.report()
            });
            let Some(report) = report else {
                return WorkerReply::NoReport(OrderOutcome::Replaced);
            };
            if !report.ended.is_empty() || timer::Instant::now() >= deadline {
                return WorkerReply::Report(report);
            }
            timer::sleep(RENEWAL_POLL_INTERVAL).await;
        }
    }

    async fn handle_order(&self, order: &WorkerOrder) -> WorkerReply {
        self.record_received(order);
        let no_response = OrderResponse {
            outcome: OrderOutcome::Unknown,
            clock_ms: None,
        };
        let gone = WorkerFault {
            is_unresponsive: true,
            ..WorkerFault::default()
        };
        let fault = self.fault(&order.worker).unwrap_or(gone);
        if let OrderAction::Renew { wait_ms, .. } = order.action {
            if fault.is_unresponsive {
                return WorkerReply::NoReport(OrderOutcome::Unknown);
            }
            return self.renew_lease(order, wait_ms).await;
        }
        if fault.is_unresponsive {
            return WorkerReply::Order(no_response);
        }
        if let Some(delay) = fault.execution_delay {
            let workers = self.clone();
            let order = order.clone();
            tokio::task::spawn_local(async move {
                timer::sleep(delay).await;
                workers.execute(&order);
            });
            return WorkerReply::Order(no_response);
        }
        if let Some(delay) = fault.response_delay {
            timer::sleep(delay).await;
        }
        WorkerReply::Order(self.execute(order))
    }
}

fn worker_view(pool: &str, number: u32) -> WorkerView {
    WorkerView {
        id: WorkerId::new(&format!("worker-{number}")),
        pool: PoolName::new(pool),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], number as u16)),
        incarnation: 1,
        capacity: ResourceAmount {
            cpu_millis: 4_000,
            memory_mb: 8_192,
            accelerators: 0,
        },
        labels: Vec::new(),
        rack: None,
        data_centre: None,
        cold_ms: 0,
        is_draining: false,
        remaining_ms: None,
    }
}

/// Returns what the clock of an incarnation begins with: it does not say how old it is.
fn clock_origin_ms(view: &WorkerView) -> u64 {
    let mut hasher = hash::DefaultHasher::new();
    (&view.id, view.incarnation).hash(&mut hasher);
    hasher.finish() % MAX_CLOCK_ORIGIN_MS
}

fn new_incarnation(view: WorkerView, fault: WorkerFault) -> StandinWorker {
    StandinWorker {
        clock_origin_ms: clock_origin_ms(&view),
        view,
        fault,
        started_at: timer::Instant::now(),
        fencing_token: 0,
        lease_end_ms: 0,
        running: BTreeMap::new(),
        ended: Vec::new(),
        next_end_number: 1,
        closed_runs: HashMap::new(),
    }
}

impl WorkerClient for MemoryWorkers {
    fn send<'a>(&'a self, order: &'a WorkerOrder) -> LocalFuture<'a, WorkerReply> {
        Box::pin(self.handle_order(order))
    }
}

/// Advisor client of a deployment without an advisor.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoAdvisor;

impl AdvisorClient for NoAdvisor {
    fn advise<'a>(
        &'a self,
        _request: &'a AdviceRequest,
    ) -> LocalFuture<'a, Result<AdviceResponse>> {
        let no_advisor = || Error::unavailable("advise", "advisor", "no advisor is deployed");
        Box::pin(async move { Err(no_advisor()) })
    }
}

/// Machine client of a deployment without a machine service.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoMachines;

impl MachineClient for NoMachines {
    fn list(&self) -> LocalFuture<'_, Result<Vec<ListedMachine>>> {
        Box::pin(async { Ok(Vec::new()) })
    }

    fn change_pool<'a>(
        &'a self,
        _holder: LeaseHolder<'a>,
        _machine: &'a MachineName,
        _pool: &'a PoolName,
    ) -> LocalFuture<'a, Result<MachineOutcome>> {
        Box::pin(async { Ok(MachineOutcome::Invalid) })
    }

    fn begin_maintenance<'a>(
        &'a self,
        _holder: LeaseHolder<'a>,
        _machine: &'a MachineName,
        _wave: u64,
    ) -> LocalFuture<'a, Result<MachineOutcome>> {
        Box::pin(async { Ok(MachineOutcome::Invalid) })
    }
}
