//! One run: the scheduler, the planner and the fleet in simulated time.

use std::collections::BTreeMap;
use std::sync;
use std::time;

use redwing_jobs::admission::{self, AdmissionDecision};
use redwing_jobs::block::WorkerBlocks;
use redwing_jobs::capacity::{CapacityPlanner, CapacitySettings, MachineMove, PoolState};
use redwing_jobs::manifest::JobManifest;
use redwing_jobs::name::{CustomerName, MachineName, PoolName, QueueName};
use redwing_jobs::scheduler::ChangeSet;
use redwing_jobs::spec::{JobSpec, ResourceAmount};
use redwing_jobs::time::WallTime;
use redwing_jobs::worker::{OrderAction, OrderOutcome, OrderResponse, RenewalReport, WorkerOrder};
use redwing_jobs::{BootTime, JobId, JobRecord, JobScheduler, JobState, TaskId, WorkerId};

use crate::arrival::{self, JobArrival};
use crate::entry::EntryFleet;
use crate::event::{EventQueue, SimulationEvent};
use crate::fleet::{OrderEffect, SimulatedFleet};
use crate::load::LoadFile;
use crate::outcome::{JobOutcome, RunResult};
use crate::policy::ExperimentPolicy;

/// Simulated time between two rounds of placement, in milliseconds.
const ROUND_MS: u64 = 5;

/// Time between two ticks of the scheduler, in milliseconds, as the owner has it.
const TICK_MS: u64 = 50;

/// Time between two plans of the capacity, in milliseconds, as the owner has it.
const PLAN_MS: u64 = 200;

/// Time after which an order without a response has failed, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 700;

/// Time at which the run begins; clocks of workers do not start at zero.
const BOOT_MS: u64 = 1_000_000;

/// Time before the first arrival, in which workers respond for the first time.
const WARM_UP_MS: u64 = 1_000;

/// Job during the run.
#[derive(Clone, Debug)]
struct SimulatedJob {
    arrival: JobArrival,
    /// When it was accepted, once it was.
    accepted_ms: Option<u64>,
    /// Entry VM that its latest attempt reached.
    entry: usize,
    was_refused: bool,
    outcome: Option<JobOutcome>,
}

/// Simulates one policy with one seed.
///
/// # Panics
///
/// May panic if the load does not pass [`LoadFile::check`].
pub fn run(load: &LoadFile, policy: ExperimentPolicy, seed: u64) -> RunResult {
    let mut simulation = Simulation::new(load, policy, seed);
    simulation.run();
    simulation.result(seed)
}

struct Simulation<'a> {
    load: &'a LoadFile,
    specs: Vec<JobSpec>,
    manifest: sync::Arc<JobManifest>,
    scheduler: JobScheduler,
    planner: CapacityPlanner,
    fleet: SimulatedFleet,
    entries: EntryFleet,
    has_admission: bool,
    jobs: Vec<SimulatedJob>,
    events: EventQueue,
    now_ms: u64,
    is_storing: bool,
    completed: u64,
    refusals: u64,
    moves: u64,
}

impl<'a> Simulation<'a> {
    fn new(load: &'a LoadFile, policy: ExperimentPolicy, seed: u64) -> Self {
        let now = BootTime::from_millis(BOOT_MS);
        let manifest = sync::Arc::new(load.manifest());
        let fleet = SimulatedFleet::new(load, now);
        let mut scheduler = JobScheduler::new(policy.scheduler_settings(), 1);
        scheduler.set_manifest(sync::Arc::clone(&manifest));
        scheduler.workers_listed(fleet.views(), &[], now);
        let arrivals = arrival::arrivals(load, seed).into_iter();
        let jobs = arrivals.map(|arrival| SimulatedJob {
            arrival,
            accepted_ms: None,
            entry: 0,
            was_refused: false,
            outcome: None,
        });
        let mut simulation = Self {
            load,
            specs: load.traffic.iter().map(|traffic| traffic.spec()).collect(),
            manifest,
            scheduler,
            planner: CapacityPlanner::new(CapacitySettings::default()),
            fleet,
            entries: EntryFleet::new(load.fleet.entry_vms.get()),
            has_admission: policy.has_admission(),
            jobs: jobs.collect(),
            events: EventQueue::default(),
            now_ms: BOOT_MS,
            is_storing: false,
            completed: 0,
            refusals: 0,
            moves: 0,
        };
        simulation.add_load_events();
        simulation
    }

    fn add_load_events(&mut self) {
        let start_ms = BOOT_MS + WARM_UP_MS;
        for number in 0..self.jobs.len() {
            let at_ms = start_ms + self.jobs[number].arrival.at_ms;
            self.events.push(at_ms, SimulationEvent::Submit(number, 0));
        }
        for number in 0..self.load.lost_racks.len() {
            let lost = &self.load.lost_racks[number];
            let from_ms = start_ms + millis(lost.from_seconds);
            let to_ms = from_ms + millis(lost.for_seconds);
            self.events.push(from_ms, SimulationEvent::RackLost(number));
            self.events.push(to_ms, SimulationEvent::RackBack(number));
        }
    }

    fn now(&self) -> BootTime {
        BootTime::from_millis(self.now_ms)
    }

    fn wall(&self) -> WallTime {
        WallTime::from_millis(self.now_ms)
    }

    fn run(&mut self) {
        let seconds = self.load.seconds + self.load.drain_seconds;
        let end_ms = BOOT_MS + WARM_UP_MS + millis(seconds);
        let mut round_ms = BOOT_MS;
        while round_ms < end_ms {
            round_ms += ROUND_MS;
            while let Some((at_ms, event)) = self.events.pop_until(round_ms) {
                self.now_ms = at_ms;
                self.handle(event);
            }
            self.now_ms = round_ms;
            self.round();
        }
    }

    /// Does what the owner does after it has handled what it received.
    fn round(&mut self) {
        let now = self.now();
        if self.now_ms.is_multiple_of(TICK_MS) {
            self.scheduler.tick(now);
        }
        if self.load.fleet.moves && self.now_ms.is_multiple_of(PLAN_MS) {
            self.plan_capacity();
        }
        if self.has_admission && self.now_ms.is_multiple_of(self.publish_ms()) {
            self.publish_backlogs();
        }
        self.scheduler.place_tasks(now, self.wall());
        if !self.is_storing && self.scheduler.has_changes() {
            let changes = self.scheduler.take_changes(now);
            self.is_storing = true;
            let stored_ms = self.now_ms + self.table_delay_ms();
            self.events
                .push(stored_ms, SimulationEvent::Stored(changes));
        }
        self.scheduler.take_events();
        let arrival_ms = self.now_ms + self.load.fleet.order_ms.get();
        let mut orders = self.scheduler.take_orders();
        // The scheduler's maps have no fixed order; the orders of a run have.
        orders.sort_by(|one, other| one.worker.cmp(&other.worker));
        for order in orders {
            self.events.push(arrival_ms, SimulationEvent::Order(order));
        }
    }

    fn handle(&mut self, event: SimulationEvent) {
        let now = self.now();
        match event {
            SimulationEvent::Submit(number, attempt) => self.submit(number, attempt),
            SimulationEvent::BacklogRead(entry, summary) => {
                let wall = self.wall();
                self.entries.receive(entry, &summary, now, wall);
            }
            SimulationEvent::JobRead(number) => self.read_job(number),
            SimulationEvent::RunEnd(worker, task, run) => {
                if self.fleet.finish_run(&worker, &task, run) {
                    self.answer_held(&worker, None);
                }
            }
            SimulationEvent::HoldEnd(worker, issued_at) => {
                self.answer_held(&worker, Some(issued_at));
            }
            SimulationEvent::Order(order) => self.execute(order),
            SimulationEvent::Response(order, outcome, report) => {
                self.handle_response(&order, outcome, report.as_ref());
            }
            SimulationEvent::Stored(changes) => self.handle_stored(&changes),
            SimulationEvent::RackLost(number) => {
                let timeout_ms = self.now_ms + ORDER_TIMEOUT_MS;
                for order in self.fleet.lose_rack(&self.load.lost_racks[number]) {
                    let response = SimulationEvent::Response(order, OrderOutcome::Unknown, None);
                    self.events.push(timeout_ms, response);
                }
            }
            SimulationEvent::RackBack(number) => {
                let views = self.fleet.return_rack(&self.load.lost_racks[number], now);
                for view in views {
                    self.scheduler.worker_listed(view, now);
                }
            }
            SimulationEvent::MoveEnd(number) => self.end_move(number),
        }
    }

    /// Returns how long a write to the table takes that begins now.
    fn table_delay_ms(&self) -> u64 {
        let elapsed_ms = self.now_ms.saturating_sub(BOOT_MS + WARM_UP_MS);
        let second = elapsed_ms as f64 / 1_000.0;
        let periods = self.load.slow_table.iter();
        let active = periods.filter(|slow| (slow.from_seconds..slow.to_seconds).contains(&second));
        let extra: u64 = active.map(|slow| slow.delay_ms.get()).sum();
        self.load.fleet.table_ms.get() + extra
    }

    /// Returns the time between two publications, in whole rounds.
    fn publish_ms(&self) -> u64 {
        self.load.fleet.publish_ms.get().next_multiple_of(ROUND_MS)
    }

    /// Writes the backlogs to the table, from which the entry VMs read them.
    fn publish_backlogs(&mut self) {
        let standby = self.fleet.standby_cpu_millis(&self.manifest);
        let (now, wall) = (self.now(), self.wall());
        let Some(mut summary) = self.scheduler.backlog_summary(standby, now, wall) else {
            return;
        };
        // The scheduler's maps have no fixed order; the summaries of a run have.
        for pool in summary.pools.values_mut() {
            pool.customers
                .sort_by(|one, other| one.customer.cmp(&other.customer));
        }
        let stored_ms = self.now_ms + self.table_delay_ms();
        let summary = sync::Arc::new(summary);
        let count = self.load.fleet.entry_vms.get();
        for entry in 0..count {
            // The reads of the entry VMs are spread over the interval.
            let read_ms = stored_ms + self.publish_ms() * entry / count;
            let event = SimulationEvent::BacklogRead(entry as usize, sync::Arc::clone(&summary));
            self.events.push(read_ms, event);
        }
    }

    fn submit(&mut self, number: usize, attempt: u64) {
        self.jobs[number].entry = self.entries.choose(&self.jobs[number].arrival, attempt);
        if let Some(retry_after) = self.refusal(number) {
            self.refusals += 1;
            self.jobs[number].was_refused = true;
            if attempt < self.load.callers.retries.get() {
                let retry_ms = self.now_ms + retry_after.as_millis() as u64;
                self.events
                    .push(retry_ms, SimulationEvent::Submit(number, attempt + 1));
            }
            return;
        }
        self.jobs[number].accepted_ms = Some(self.now_ms);
        let stored_ms = self.now_ms + self.table_delay_ms();
        self.events
            .push(stored_ms, SimulationEvent::JobRead(number));
    }

    /// Returns the time after which a refused caller may retry; none if the job is
    /// admitted.
    fn refusal(&mut self, number: usize) -> Option<time::Duration> {
        if !self.has_admission {
            return None;
        }
        let (arrival, entry) = (self.jobs[number].arrival, self.jobs[number].entry);
        let traffic = &self.load.traffic[arrival.traffic];
        let queue = self.manifest.queue(&QueueName::new(&traffic.queue))?;
        let customer = CustomerName::new(&traffic.customer);
        let spec = &self.specs[arrival.traffic];
        let asked = admission::JobArrival::new(queue, Some(&customer), spec);
        let now = self.now();
        let id = job_id(number);
        match self.entries.decide(entry, &id, &asked, now) {
            AdmissionDecision::Admitted => None,
            AdmissionDecision::Refused { retry_after } => Some(retry_after),
        }
    }

    fn read_job(&mut self, number: usize) {
        let job = &self.jobs[number];
        let traffic = &self.load.traffic[job.arrival.traffic];
        let queue = QueueName::new(&traffic.queue);
        let pool = self.manifest.queue(&queue).map(|queue| queue.pool.clone());
        let record = JobRecord {
            queue,
            pool: pool.unwrap_or_else(|| PoolName::new("")),
            customer: Some(CustomerName::new(&traffic.customer)),
            accepted: WallTime::from_millis(job.accepted_ms.unwrap_or(self.now_ms)),
            accepted_by: job.entry as u64,
            spec: self.specs[job.arrival.traffic].clone(),
        };
        self.scheduler.submit(&job_id(number), record);
    }

    fn execute(&mut self, order: WorkerOrder) {
        let now = self.now();
        let jobs = &self.jobs;
        let traffic = &self.load.traffic;
        let specs = &self.specs;
        let duration_ms = |task: &TaskId| {
            job_number(&task.job).map_or(1, |number| {
                let arrival = &jobs[number].arrival;
                arrival.duration_ms(&traffic[arrival.traffic], task.step, task.index)
            })
        };
        let reserved = |task: &TaskId| {
            let arrival = job_number(&task.job).map(|number| &jobs[number].arrival);
            let spec =
                arrival.and_then(|arrival| specs[arrival.traffic].steps.get(task.step as usize));
            spec.map_or_else(ResourceAmount::default, |spec| spec.reserved())
        };
        let effect = self.fleet.execute(&order, now, duration_ms, reserved);
        let response_ms = self.now_ms + self.load.fleet.order_ms.get();
        match effect {
            OrderEffect::Response(outcome, report) => {
                self.events.push(
                    response_ms,
                    SimulationEvent::Response(order, outcome, report),
                );
            }
            OrderEffect::Started(finishes_at) => {
                if let OrderAction::Start { task, run, .. } = &order.action {
                    let end = SimulationEvent::RunEnd(order.worker.clone(), task.clone(), *run);
                    self.events.push(finishes_at.as_millis(), end);
                }
                let response = SimulationEvent::Response(order, OrderOutcome::Accepted, None);
                self.events.push(response_ms, response);
            }
            OrderEffect::Held => {
                if let OrderAction::Renew { wait_ms, .. } = order.action {
                    let end = SimulationEvent::HoldEnd(order.worker, order.issued_at);
                    self.events.push(self.now_ms + wait_ms, end);
                }
            }
            OrderEffect::Silence => {
                let timeout_ms = self.now_ms + ORDER_TIMEOUT_MS;
                let response = SimulationEvent::Response(order, OrderOutcome::Unknown, None);
                self.events.push(timeout_ms, response);
            }
        }
    }

    fn answer_held(&mut self, worker: &WorkerId, issued_at: Option<BootTime>) {
        let now = self.now();
        if let Some((order, report)) = self.fleet.answer_held(worker, issued_at, now) {
            let response = SimulationEvent::Response(order, OrderOutcome::Accepted, Some(report));
            let response_ms = self.now_ms + self.load.fleet.order_ms.get();
            self.events.push(response_ms, response);
        }
    }

    fn handle_response(
        &mut self,
        order: &WorkerOrder,
        outcome: OrderOutcome,
        report: Option<&RenewalReport>,
    ) {
        let now = self.now();
        let scheduler = &mut self.scheduler;
        let response = OrderResponse {
            outcome,
            clock_ms: None,
        };
        match (&order.action, report) {
            (OrderAction::Renew { .. }, Some(report)) => {
                scheduler.handle_renewal_report(order, report, now);
            }
            (OrderAction::Renew { .. }, None) => {
                scheduler.handle_renewal_failure(order, outcome, now);
            }
            _ => scheduler.handle_order_response(order, &response, now),
        }
    }

    /// Handles stored rows: callers see the states that they record.
    fn handle_stored(&mut self, changes: &ChangeSet) {
        let now = self.now();
        self.is_storing = false;
        self.scheduler.changes_stored(changes, now);
        for row in &changes.rows {
            let number = job_number(&row.job).filter(|_| row.progress.state.is_final());
            if let Some(number) = number {
                let outcome = self.final_outcome(number, row.progress.state);
                let is_completed = row.progress.state == JobState::Completed;
                if self.jobs[number].outcome.is_none() {
                    self.jobs[number].outcome = Some(outcome);
                    self.completed += u64::from(is_completed);
                }
            }
        }
    }

    fn final_outcome(&self, number: usize, state: JobState) -> JobOutcome {
        let job = &self.jobs[number];
        let traffic = &self.load.traffic[job.arrival.traffic];
        let queue = self.load.queue(&traffic.queue);
        let allowed_ms = queue.map_or(0, |queue| {
            let path_ms = traffic.critical_path_ms() as f64;
            queue.objective_ms.get() + (queue.stretch * path_ms) as u64
        });
        let taken_ms = self.now_ms - job.accepted_ms.unwrap_or(self.now_ms);
        let latest_ms = allowed_ms as f64 * admission::LATEST_FACTOR;
        match state {
            JobState::Completed if taken_ms <= allowed_ms => JobOutcome::InTime,
            JobState::Completed if taken_ms as f64 <= latest_ms => JobOutcome::Late,
            _ => JobOutcome::Unserved,
        }
    }

    fn plan_capacity(&mut self) {
        let now = self.now();
        let demands = self.scheduler.pool_demands(self.wall());
        let pools = self.manifest.pools().map(|pool| {
            let state = PoolState {
                is_standby: pool.is_standby,
                demand: demands.get(&pool.name).copied().unwrap_or_default(),
            };
            (pool.name.clone(), state)
        });
        let pools: BTreeMap<PoolName, PoolState> = pools.collect();
        let machines = self.fleet.pool_machines(&self.scheduler);
        for action in self.planner.plan(&pools, &machines, now) {
            let MachineMove {
                machine,
                worker,
                pool,
            } = action;
            self.begin_move(&machine, worker.as_ref(), &pool);
        }
        let mut blocks = WorkerBlocks::default();
        self.planner.add_blocks(&mut blocks);
        self.scheduler.set_blocks(blocks);
    }

    fn begin_move(&mut self, machine: &MachineName, worker: Option<&WorkerId>, pool: &PoolName) {
        self.planner.handle_move_response(machine);
        let Some(number) = self.fleet.begin_move(machine, pool) else {
            return;
        };
        if let Some(worker) = worker {
            let incarnation = self.scheduler.incarnation(worker);
            self.scheduler
                .worker_removed(worker, incarnation.unwrap_or_default());
        }
        self.moves += 1;
        let duration = time::Duration::from_secs_f64(self.load.fleet.move_seconds);
        let end_ms = self.now_ms + duration.as_millis() as u64;
        self.events.push(end_ms, SimulationEvent::MoveEnd(number));
    }

    fn end_move(&mut self, number: usize) {
        let now = self.now();
        let pool = self.fleet.pool_of(number);
        let policy = self.manifest.pool(pool);
        let is_standby = policy.is_some_and(|policy| policy.is_standby);
        if let Some(view) = self.fleet.end_move(number, is_standby, now) {
            self.scheduler.worker_listed(view, now);
        }
    }

    fn result(&self, seed: u64) -> RunResult {
        let outcomes = self.jobs.iter().map(|job| {
            let unfinished = match job.accepted_ms {
                Some(_) => JobOutcome::Unserved,
                None => JobOutcome::Refused,
            };
            let outcome = job.outcome.unwrap_or(unfinished);
            (&job.arrival, outcome, job.was_refused)
        });
        RunResult {
            completed: self.completed,
            refusals: self.refusals,
            moves: self.moves,
            ..RunResult::count(self.load, seed, outcomes)
        }
    }
}

fn millis(seconds: f64) -> u64 {
    (seconds * 1_000.0).round() as u64
}

fn job_id(number: usize) -> JobId {
    JobId::new(&format!("j{number}"))
}

fn job_number(id: &JobId) -> Option<usize> {
    id.as_str().strip_prefix('j')?.parse().ok()
}
