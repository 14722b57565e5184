//! Stand-in workers that run tasks under leases and fencing tokens.
//!
//! A task does nothing but take its estimated time. Faults are set for each
//! worker: it answers nothing, carries orders out late, or fails what it
//! runs; [`MemoryWorkers::crash`] ends a life and begins the next.

use std::collections::{BTreeMap, HashMap};
use std::sync;
use std::time;

use redwing_engine::product;
use redwing_engine::services::{
    AdvisorClient, LeaseHolder, ListedMachine, MachineClient, MachineOutcome, WorkerClient,
    WorkerReply,
};
use redwing_jobs::TaskId;
use redwing_jobs::name::{MachineName, PoolName, WorkerId};
use redwing_jobs::scheduler::{AdviceRequest, AdviceResponse};
use redwing_jobs::spec::ResourceAmount;
use redwing_jobs::worker::{
    ActiveRun, EndedRun, ExitKind, OrderAction, OrderOutcome, OrderResponse, RenewalReport,
    WorkerOrder, WorkerView,
};
use redwing_provider::{Error, LocalFuture, Result, TableStore, TableTransaction};
use tokio::time as timer;

/// Time between two looks at whether a run has ended while a hold waits.
const HOLD_POLL: time::Duration = time::Duration::from_millis(10);

/// What goes wrong at a worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkerFault {
    /// Whether it answers nothing and carries nothing out.
    pub is_dark: bool,
    /// Time after which orders other than holds are carried out, unanswered.
    pub late: Option<time::Duration>,
    /// Whether all that it runs fails.
    pub is_failing: bool,
}

#[derive(Clone, Debug)]
struct StandinRun {
    run: u32,
    begun: time::Instant,
    length: time::Duration,
}

#[derive(Debug)]
struct StandinWorker {
    view: WorkerView,
    fault: WorkerFault,
    life_begun: time::Instant,
    fence: u64,
    lease_end_ms: u64,
    running: BTreeMap<TaskId, StandinRun>,
    ended: Vec<EndedRun>,
    next_end: u64,
    /// Highest run of each task that was stopped or has ended here.
    closed: HashMap<TaskId, u32>,
}

impl StandinWorker {
    fn clock_ms(&self) -> u64 {
        self.life_begun.elapsed().as_millis() as u64
    }

    fn end(&mut self, task: &TaskId, kind: ExitKind) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        self.closed.insert(task.clone(), run.run);
        self.ended.push(EndedRun {
            number: self.next_end,
            task: task.clone(),
            run: run.run,
            kind,
            checkpoint: None,
        });
        self.next_end += 1;
    }

    /// Ends what is over by now.
    fn settle(&mut self) {
        let is_failing = self.fault.is_failing;
        let has_lapsed = self.lease_end_ms < self.clock_ms();
        let over = self.running.iter().filter_map(|(task, run)| {
            let kind = match (is_failing, run.begun.elapsed() >= run.length) {
                (true, _) => ExitKind::Failed,
                (false, true) => ExitKind::Done,
                (false, false) if has_lapsed => ExitKind::Lapsed,
                (false, false) => return None,
            };
            Some((task.clone(), kind))
        });
        let over: Vec<(TaskId, ExitKind)> = over.collect();
        for (task, kind) in over {
            self.end(&task, kind);
        }
    }

    fn carry_out(&mut self, order: &WorkerOrder, length: time::Duration) -> OrderOutcome {
        if order.worker != self.view.id {
            return OrderOutcome::Replaced;
        }
        if order.fencing_token < self.fence {
            return OrderOutcome::Fenced;
        }
        self.fence = order.fencing_token;
        match &order.action {
            OrderAction::Start {
                task,
                run,
                lease_end_ms,
                ..
            } => self.start(task, *run, *lease_end_ms, length),
            OrderAction::Stop { task, run } => {
                let closed = self.closed.entry(task.clone()).or_default();
                *closed = (*closed).max(*run);
                if self
                    .running
                    .get(task)
                    .is_some_and(|known| known.run == *run)
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
                self.lease_end_ms = self.lease_end_ms.max(lease_end_ms.unwrap_or(0));
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
        length: time::Duration,
    ) -> OrderOutcome {
        if self.closed.get(task).is_some_and(|closed| *closed >= run) {
            return OrderOutcome::Stale;
        }
        if lease_end_ms < self.clock_ms() {
            return OrderOutcome::Expired;
        }
        self.lease_end_ms = self.lease_end_ms.max(lease_end_ms);
        let begun = time::Instant::now();
        let entry = StandinRun { run, begun, length };
        self.running.entry(task.clone()).or_insert(entry);
        OrderOutcome::Accepted
    }

    fn report(&self) -> RenewalReport {
        let running = self.running.iter().map(|(task, run)| {
            let share = run.begun.elapsed().as_secs_f64() / run.length.as_secs_f64().max(0.001);
            ActiveRun {
                task: task.clone(),
                run: run.run,
                checkpoint: None,
                percent: (share * 100.0).min(100.0) as u32,
                metric: 0,
            }
        });
        RenewalReport {
            incarnation: self.view.incarnation,
            clock_ms: self.clock_ms(),
            running: running.collect(),
            ended: self.ended.clone(),
            malformed: 0,
        }
    }
}

/// Start of a run that a stand-in worker carried out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CarriedStart {
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Worker of the run.
    pub worker: WorkerId,
}

/// Stand-in workers of one pool; clones share them.
#[derive(Clone, Debug)]
pub struct MemoryWorkers {
    workers: sync::Arc<sync::Mutex<BTreeMap<WorkerId, StandinWorker>>>,
    starts: sync::Arc<sync::Mutex<Vec<CarriedStart>>>,
    /// Length of each task.
    length: time::Duration,
}

impl MemoryWorkers {
    /// Creates `count` workers of `pool` that take `length` for each task.
    pub fn new(pool: &str, count: u32, length: time::Duration) -> Self {
        let workers = (1..=count).map(|number| {
            let id = WorkerId::new(&format!("worker-{number}"));
            let view = WorkerView {
                id: id.clone(),
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
                is_draining: false,
                remaining_ms: None,
            };
            (id, new_life(view, WorkerFault::default()))
        });
        Self {
            workers: sync::Arc::new(sync::Mutex::new(workers.collect())),
            starts: sync::Arc::default(),
            length,
        }
    }

    /// Registers all workers in the table.
    ///
    /// # Errors
    ///
    /// Fails if the table does not take the rows.
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

    /// Sets what goes wrong at a worker.
    pub fn set_fault(&self, worker: &WorkerId, fault: WorkerFault) {
        if let Some(worker) = self.lock().get_mut(worker) {
            worker.fault = fault;
        }
    }

    /// Ends a worker's life: it forgets all, and the next begins.
    pub fn crash(&self, worker: &WorkerId) {
        if let Some(worker) = self.lock().get_mut(worker) {
            let mut view = worker.view.clone();
            view.incarnation += 1;
            *worker = new_life(view, worker.fault);
        }
    }

    /// Returns all starts that were carried out.
    pub fn starts(&self) -> Vec<CarriedStart> {
        match self.starts.lock() {
            Ok(starts) => starts.clone(),
            Err(poisoned) => poisoned.into_inner().clone(),
        }
    }

    /// Returns how many runs of each task go on.
    pub fn running(&self) -> BTreeMap<TaskId, usize> {
        let mut counts = BTreeMap::new();
        for worker in self.lock().values_mut() {
            worker.settle();
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

    fn carry_out(&self, order: &WorkerOrder) -> OrderResponse {
        let mut workers = self.lock();
        let Some(worker) = workers.get_mut(&order.worker) else {
            return OrderResponse {
                outcome: OrderOutcome::Replaced,
                clock_ms: None,
            };
        };
        worker.settle();
        let outcome = worker.carry_out(order, self.length);
        let answer = OrderResponse {
            outcome,
            clock_ms: Some(worker.clock_ms()),
        };
        drop(workers);
        if let (OrderAction::Start { task, run, .. }, OrderOutcome::Accepted) =
            (&order.action, outcome)
            && let Ok(mut starts) = self.starts.lock()
        {
            starts.push(CarriedStart {
                task: task.clone(),
                run: *run,
                worker: order.worker.clone(),
            });
        }
        answer
    }

    async fn hold(&self, order: &WorkerOrder, wait_ms: u64) -> WorkerReply {
        let answer = self.carry_out(order);
        if answer.outcome != OrderOutcome::Accepted {
            return WorkerReply::NoReport(answer.outcome);
        }
        let until = timer::Instant::now() + time::Duration::from_millis(wait_ms);
        loop {
            let report = self.lock().get_mut(&order.worker).map(|worker| {
                worker.settle();
                worker.report()
            });
            let Some(report) = report else {
                return WorkerReply::NoReport(OrderOutcome::Replaced);
            };
            if !report.ended.is_empty() || timer::Instant::now() >= until {
                return WorkerReply::Report(report);
            }
            timer::sleep(HOLD_POLL).await;
        }
    }

    async fn exchange(&self, order: &WorkerOrder) -> WorkerReply {
        let unknown = OrderResponse {
            outcome: OrderOutcome::Unknown,
            clock_ms: None,
        };
        let fault = self.fault(&order.worker).unwrap_or_default();
        if let OrderAction::Renew { wait_ms, .. } = order.action {
            if fault.is_dark {
                return WorkerReply::NoReport(OrderOutcome::Unknown);
            }
            return self.hold(order, wait_ms).await;
        }
        if fault.is_dark {
            return WorkerReply::Order(unknown);
        }
        if let Some(delay) = fault.late {
            let workers = self.clone();
            let order = order.clone();
            tokio::task::spawn_local(async move {
                timer::sleep(delay).await;
                workers.carry_out(&order);
            });
            return WorkerReply::Order(unknown);
        }
        WorkerReply::Order(self.carry_out(order))
    }
}

fn new_life(view: WorkerView, fault: WorkerFault) -> StandinWorker {
    StandinWorker {
        view,
        fault,
        life_begun: time::Instant::now(),
        fence: 0,
        lease_end_ms: 0,
        running: BTreeMap::new(),
        ended: Vec::new(),
        next_end: 1,
        closed: HashMap::new(),
    }
}

impl WorkerClient for MemoryWorkers {
    fn send<'a>(&'a self, order: &'a WorkerOrder) -> LocalFuture<'a, WorkerReply> {
        Box::pin(self.exchange(order))
    }
}

/// Advisor of a deployment that has none.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoAdvisor;

impl AdvisorClient for NoAdvisor {
    fn advise<'a>(
        &'a self,
        _question: &'a AdviceRequest,
    ) -> LocalFuture<'a, Result<AdviceResponse>> {
        let missing = || Error::unavailable("advise", "advisor", "there is none");
        Box::pin(async move { Err(missing()) })
    }
}

/// Machines of a deployment whose platform controls none.
#[derive(Clone, Copy, Debug, Default)]
pub struct FixedMachines;

impl MachineClient for FixedMachines {
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
