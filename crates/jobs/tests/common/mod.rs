//! A small fleet of workers in memory, driven step by step in simulated time.

#![allow(dead_code)]

use std::collections::{BTreeMap, HashSet};
use std::sync;
use std::time;

use redwing_jobs::manifest::{
    CallerAddress, CustomerPolicy, JobManifest, ManifestParts, PoolPolicy, QueuePolicy,
};
use redwing_jobs::name::{CustomerName, PoolName, QueueName, WorkerLabel};
use redwing_jobs::scheduler::{AdviceRequest, AdviceResponse, ProgressRow, WorkerPermit};
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

/// Length of a step of simulated time.
pub(crate) const STEP: time::Duration = time::Duration::from_millis(10);

/// Run on a fake worker.
#[derive(Clone, Debug)]
pub(crate) struct FakeRun {
    pub(crate) run: u32,
    pub(crate) begun: BootTime,
    pub(crate) ends: Option<BootTime>,
    pub(crate) percent: u32,
    pub(crate) figure: u64,
    /// Latest progress that it saved.
    pub(crate) saved: Option<String>,
}

/// Worker in memory.
#[derive(Clone, Debug)]
pub(crate) struct FakeWorker {
    pub(crate) view: WorkerView,
    pub(crate) fence: u64,
    pub(crate) running: BTreeMap<TaskId, FakeRun>,
    pub(crate) ended: Vec<EndedRun>,
    pub(crate) next_end: u64,
    pub(crate) lease_end: u64,
    /// Highest run of each task that was stopped or has ended in this life.
    pub(crate) closed: BTreeMap<TaskId, u32>,
    /// Whether it answers.
    pub(crate) is_dark: bool,
    /// Whether all that it runs fails at once.
    pub(crate) is_failing: bool,
    /// Whether what it runs saves its progress, each step of time.
    pub(crate) is_saving: bool,
    /// Whether what it runs makes no progress.
    pub(crate) is_hanging: bool,
    /// Whether acknowledged ends are forgotten; acknowledgements are lost otherwise.
    pub(crate) is_forgetful: bool,
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
            fence: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            lease_end: 0,
            closed: BTreeMap::new(),
            is_dark: false,
            is_failing: false,
            is_saving: false,
            is_hanging: false,
            is_forgetful: true,
        }
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
            checkpoint: run.saved,
        });
        self.next_end += 1;
    }

    /// Lets time pass: runs end, and all end when the lease does.
    pub(crate) fn step(&mut self, now: BootTime) {
        let is_failing = self.is_failing;
        if self.is_saving {
            for run in self.running.values_mut() {
                let worked = now.saturating_since(run.begun).as_millis();
                run.saved = Some(format!("{worked} ms"));
            }
        }
        let due: Vec<TaskId> = self
            .running
            .iter()
            .filter(|(_, run)| is_failing || run.ends.is_some_and(|end| end <= now))
            .map(|(task, _)| task.clone())
            .collect();
        for task in due {
            let kind = if is_failing {
                ExitKind::Failed
            } else {
                ExitKind::Done
            };
            self.end(&task, kind);
        }
        if self.lease_end < now.as_millis() {
            let lapsed: Vec<TaskId> = self.running.keys().cloned().collect();
            for task in lapsed {
                self.end(&task, ExitKind::Lapsed);
            }
        }
    }

    fn report(&self, now: BootTime) -> RenewalReport {
        let running = self.running.iter().map(|(task, run)| ActiveRun {
            task: task.clone(),
            run: run.run,
            checkpoint: run.saved.clone(),
            percent: run.percent_at(now, self.is_hanging),
            metric: run.figure,
        });
        RenewalReport {
            incarnation: self.view.incarnation,
            clock_ms: now.as_millis(),
            running: running.collect(),
            ended: self.ended.clone(),
            malformed: 0,
        }
    }
}

impl FakeRun {
    fn percent_at(&self, now: BootTime, is_hanging: bool) -> u32 {
        if is_hanging {
            return 0;
        }
        let Some(end) = self.ends else {
            return self.percent;
        };
        let whole = end.saturating_since(self.begun).as_millis().max(1);
        let done = now.saturating_since(self.begun).as_millis();
        (done * 100 / whole).min(100) as u32
    }
}

/// Scheduler with its fleet, in simulated time.
pub(crate) struct FakeFleet {
    pub(crate) scheduler: JobScheduler,
    pub(crate) workers: BTreeMap<WorkerId, FakeWorker>,
    pub(crate) now: BootTime,
    /// Duration of each task of a job.
    pub(crate) durations: BTreeMap<JobId, time::Duration>,
    /// What is stored.
    pub(crate) rows: BTreeMap<JobId, ProgressRecord>,
    /// Whether changes are stored.
    pub(crate) is_table_up: bool,
    /// Every start that a worker carried out.
    pub(crate) starts: Vec<(TaskId, u32, WorkerId, BootTime)>,
    /// Every saved progress that a start resumed from.
    pub(crate) resumed: Vec<String>,
    /// Every task whose start was ordered.
    pub(crate) ordered: Vec<TaskId>,
    /// Every stop that a worker carried out.
    pub(crate) stops: Vec<(TaskId, u32, BootTime)>,
    /// Every share that fillers were limited to.
    pub(crate) paces: Vec<(TaskId, u32, BootTime)>,
    pub(crate) jobs: BTreeMap<JobId, JobRecord>,
    pub(crate) fence: u64,
    /// Orders that get no answer and are carried out later.
    pub(crate) late_orders: Vec<(BootTime, WorkerOrder)>,
    /// How long workers take to stop what they were told to.
    pub(crate) stop_delay: Option<time::Duration>,
    /// How late orders are carried out, if they are lost.
    pub(crate) lose_orders: Option<time::Duration>,
    /// The only worker that the advisor permits.
    pub(crate) permitted: Option<WorkerId>,
    /// Every question to the advisor.
    pub(crate) questions: Vec<AdviceRequest>,
}

pub(crate) fn manifest() -> JobManifest {
    manifest_with_limit(0)
}

pub(crate) fn manifest_with_limit(cpu_millis: u64) -> JobManifest {
    JobManifest::from(parts_with_limit(cpu_millis))
}

pub(crate) fn parts_with_limit(cpu_millis: u64) -> ManifestParts {
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
        customers: vec![CustomerPolicy {
            name: CustomerName::new("housing"),
            keys: vec!["secret".to_owned()],
            weight: 1.0,
            limit: ResourceAmount {
                cpu_millis,
                ..ResourceAmount::default()
            },
        }],
        pools: ["builders", "printers"]
            .map(|name| PoolPolicy {
                name: PoolName::new(name),
                is_standby: false,
                enforces_capacity: false,
            })
            .to_vec(),
    }
}

/// Returns a step of `count` tasks that take `cpu_millis` each.
pub(crate) fn step(count: u32, cpu_millis: u64) -> StepSpec {
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
            durations: BTreeMap::new(),
            rows: BTreeMap::new(),
            is_table_up: true,
            starts: Vec::new(),
            resumed: Vec::new(),
            ordered: Vec::new(),
            stops: Vec::new(),
            paces: Vec::new(),
            jobs: BTreeMap::new(),
            fence: 1,
            late_orders: Vec::new(),
            lose_orders: None,
            stop_delay: None,
            permitted: None,
            questions: Vec::new(),
        }
    }

    pub(crate) fn wall(&self) -> WallTime {
        WallTime::from_millis(self.now.as_millis())
    }

    /// Hands a job in to the queue `reports`.
    pub(crate) fn submit(&mut self, id: &str, steps: Vec<StepSpec>, duration_ms: u64) -> JobId {
        let id = JobId::new(id);
        let record = JobRecord {
            queue: QueueName::new("reports"),
            pool: PoolName::new("builders"),
            customer: Some(CustomerName::new("housing")),
            accepted: self.wall(),
            spec: JobSpec {
                steps,
                ..JobSpec::default()
            },
        };
        self.jobs.insert(id.clone(), record.clone());
        self.scheduler.submit(&id, record);
        self.durations
            .insert(id.clone(), time::Duration::from_millis(duration_ms));
        id
    }

    pub(crate) fn worker(&mut self, id: &str) -> &mut FakeWorker {
        self.workers
            .get_mut(&WorkerId::new(id))
            .expect("the worker exists")
    }

    /// Lets `millis` of simulated time pass.
    pub(crate) fn run(&mut self, millis: u64) {
        let end = self.now + time::Duration::from_millis(millis);
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for worker in self.workers.values_mut() {
            worker.step(self.now);
        }
        self.carry_out_late();
        self.scheduler.tick(self.now);
        self.scheduler.place_tasks(self.now, self.wall());
        self.advise();
        self.store();
        for order in self.scheduler.take_orders() {
            self.send(&order);
        }
    }

    fn advise(&mut self) {
        for question in self.scheduler.take_advice_requests() {
            let permits = question.workers.iter();
            let permits = permits.filter(|worker| Some(*worker) == self.permitted.as_ref());
            let answer = AdviceResponse {
                permits: permits
                    .map(|worker| WorkerPermit {
                        worker: worker.clone(),
                        ticket: "ticket".to_owned(),
                    })
                    .collect(),
                valid_for: time::Duration::from_secs(3),
            };
            self.scheduler
                .handle_advice_response(&question, Some(&answer), self.now);
            self.questions.push(question);
        }
    }

    fn store(&mut self) {
        if !self.is_table_up || !self.scheduler.has_changes() {
            return;
        }
        let changes = self.scheduler.take_changes();
        for ProgressRow { job, progress } in &changes.rows {
            self.rows.insert(job.clone(), progress.clone());
        }
        self.scheduler.changes_stored(&changes, self.now);
    }

    fn carry_out_late(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            self.late_orders.drain(..).partition(|(at, _)| *at <= now);
        self.late_orders = rest;
        for (_, order) in due {
            self.carry_out(&order);
        }
    }

    fn send(&mut self, order: &WorkerOrder) {
        if let OrderAction::Start { task, .. } = &order.action {
            self.ordered.push(task.clone());
        }
        let is_dark = self
            .workers
            .get(&order.worker)
            .is_none_or(|worker| worker.is_dark);
        if is_dark {
            self.answer(order, OrderOutcome::Unknown, None);
            return;
        }
        let is_hold = matches!(order.action, OrderAction::Renew { .. });
        if let Some(delay) = self.lose_orders.filter(|_| !is_hold) {
            self.late_orders.push((self.now + delay, order.clone()));
            self.answer(order, OrderOutcome::Unknown, None);
            return;
        }
        let is_stop = matches!(order.action, OrderAction::Stop { .. });
        if let Some(delay) = self.stop_delay.filter(|_| is_stop) {
            self.late_orders.push((self.now + delay, order.clone()));
            self.answer(order, OrderOutcome::Accepted, None);
            return;
        }
        let (outcome, report) = self.carry_out(order);
        self.answer(order, outcome, report);
    }

    fn answer(
        &mut self,
        order: &WorkerOrder,
        outcome: OrderOutcome,
        report: Option<RenewalReport>,
    ) {
        let now = self.now;
        let answer = OrderResponse {
            outcome,
            clock_ms: None,
        };
        match &order.action {
            OrderAction::Start { task, run, .. } => {
                self.scheduler
                    .handle_start_response(&order.worker, task, *run, &answer, now);
            }
            OrderAction::Stop { task, run } => {
                self.scheduler
                    .handle_stop_response(&order.worker, task, *run, &answer, now);
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

    /// Carries an order out as a worker does.
    fn carry_out(&mut self, order: &WorkerOrder) -> (OrderOutcome, Option<RenewalReport>) {
        let now = self.now;
        let durations = &self.durations;
        let Some(worker) = self.workers.get_mut(&order.worker) else {
            return (OrderOutcome::Replaced, None);
        };
        if order.fencing_token < worker.fence {
            return (OrderOutcome::Fenced, None);
        }
        worker.fence = order.fencing_token;
        match &order.action {
            OrderAction::Start {
                task,
                run,
                lease_end_ms,
                checkpoint,
                ..
            } => {
                let is_old = worker.closed.get(task).is_some_and(|closed| closed >= run);
                if is_old {
                    return (OrderOutcome::Stale, None);
                }
                if *lease_end_ms < now.as_millis() {
                    return (OrderOutcome::Expired, None);
                }
                worker.lease_end = worker.lease_end.max(*lease_end_ms);
                let duration = durations.get(&task.job);
                worker.running.insert(
                    task.clone(),
                    FakeRun {
                        run: *run,
                        begun: now,
                        ends: duration
                            .filter(|length| !length.is_zero())
                            .map(|length| now + *length),
                        percent: 100,
                        figure: 0,
                        saved: checkpoint.clone(),
                    },
                );
                self.resumed.extend(checkpoint.clone());
                self.starts
                    .push((task.clone(), *run, order.worker.clone(), now));
                (OrderOutcome::Accepted, None)
            }
            OrderAction::Stop { task, run } => {
                let closed = worker.closed.entry(task.clone()).or_default();
                *closed = (*closed).max(*run);
                if worker
                    .running
                    .get(task)
                    .is_some_and(|known| known.run == *run)
                {
                    worker.end(task, ExitKind::Stopped);
                    self.stops.push((task.clone(), *run, now));
                }
                (OrderOutcome::Accepted, None)
            }
            OrderAction::Renew {
                acknowledged_number,
                lease_end_ms,
                ..
            } => {
                if worker.is_forgetful {
                    worker.ended.retain(|end| end.number > *acknowledged_number);
                }
                worker.lease_end = worker.lease_end.max(lease_end_ms.unwrap_or(0));
                (OrderOutcome::Accepted, Some(worker.report(now)))
            }
            OrderAction::Pace { task, percent, .. } => {
                self.paces.push((task.clone(), *percent, now));
                (OrderOutcome::Accepted, None)
            }
        }
    }

    /// Replaces the scheduler by that of a new owner, which knows only rows
    /// and the list of workers.
    pub(crate) fn take_over(&mut self, settings: SchedulerSettings) {
        self.fence += 1;
        let mut scheduler = JobScheduler::new(settings, self.fence);
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

    /// Returns how many runs of a task go on at this moment.
    pub(crate) fn runs_of(&self, task: &TaskId) -> usize {
        let workers = self.workers.values();
        workers
            .filter(|worker| worker.running.contains_key(task))
            .count()
    }

    /// Panics if a task runs twice at the same moment.
    pub(crate) fn assert_no_double_run(&self) {
        let mut seen = HashSet::new();
        for worker in self.workers.values() {
            for task in worker.running.keys() {
                assert!(seen.insert(task.clone()), "{task} runs twice");
            }
        }
    }
}

pub(crate) fn task(job: &JobId, step: u32, index: u32) -> TaskId {
    TaskId {
        job: job.clone(),
        occurrence: 0,
        step,
        index,
    }
}
