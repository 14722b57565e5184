//! Simulation of several schedulers with a lossy network and simulated workers.

#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "constant names of tests are valid")]

mod recovery;
mod task;

use std::collections::{BTreeMap, BTreeSet};

use redwing_model::{ClassName, CustomerName, NodeIncarnation, RunOutcome, VmId};
use redwing_policy::{
    AttemptReport, AttemptVerdict, FleetView, NodeScheduler, PeerMessage, RequestTicket,
    SchedulerAction, SchedulerSettings, TicketId, TokenId,
};

use super::{FleetShape, at, node};

/// Time between two installs of the view at a node, in milliseconds.
const INSTALL_INTERVAL_MILLIS: u64 = 500;

/// SplitMix64 random number generator, deterministic for each seed.
#[derive(Clone, Debug)]
pub(crate) struct SplitMix64(u64);

impl SplitMix64 {
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(2).wrapping_add(0x9e37_79b9_7f4a_7c15))
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound.max(1)
    }

    pub(crate) fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub(crate) fn percent(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// Result of a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TaskResult {
    /// Runs and responds.
    Success,
    /// Refused by the worker before it ran.
    Refused,
    /// Runs and fails.
    Failed,
    /// Keeps running, but its connection breaks at once.
    Lost,
}

#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) id: TicketId,
    pub(crate) node: NodeIncarnation,
    pub(crate) class: ClassName,
    pub(crate) customer: Option<CustomerName>,
    pub(crate) vm: VmId,
    pub(crate) start: u64,
    pub(crate) end: u64,
    pub(crate) result: TaskResult,
    reported: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) node: usize,
    pub(crate) class: ClassName,
    pub(crate) customer: Option<CustomerName>,
    pub(crate) repeatable: bool,
    pub(crate) run: u64,
    pub(crate) arrived: u64,
    pub(crate) deadline: u64,
    pub(crate) executions: u32,
    pub(crate) ends: Vec<RequestEnd>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestEnd {
    Responded { at: u64, success: bool },
    Refused { at: u64, outcome: RunOutcome },
    Cancelled,
    NodeEnded,
}

#[derive(Debug)]
struct InFlightMessage {
    to: NodeIncarnation,
    from: NodeIncarnation,
    message: PeerMessage,
}

/// One entry process.
#[derive(Debug)]
struct Process {
    scheduler: NodeScheduler,
    paused_until: Option<u64>,
    leaving: bool,
    installed_at: u64,
    /// Time at which the process is notified of the end of each incarnation.
    end_notices: BTreeMap<NodeIncarnation, u64>,
    settled: BTreeSet<NodeIncarnation>,
    /// Time until which no message is delivered to or from the process.
    isolated_until: u64,
}

/// Requests of one customer in one class.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CustomerLoad {
    /// Requests that have not ended.
    pub(crate) open: u32,
    /// Tasks on workers.
    pub(crate) running: u32,
}

/// Network faults; probabilities in percent.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NetworkFaults {
    pub(crate) lost: u64,
    pub(crate) repeated: u64,
    /// Largest extra delay in milliseconds.
    pub(crate) delay: u64,
}

/// Worker faults; probabilities in percent.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorkerFaults {
    pub(crate) refused: u64,
    pub(crate) failed: u64,
    pub(crate) lost: u64,
}

/// Schedulers, workers, table and network, advanced in time steps.
#[derive(Debug)]
pub(crate) struct Cluster {
    pub(crate) now: u64,
    pub(crate) shape: FleetShape,
    pub(crate) requests: BTreeMap<TicketId, Request>,
    pub(crate) finished: Vec<Task>,
    pub(crate) network: NetworkFaults,
    pub(crate) faults: WorkerFaults,
    pub(crate) black_hole: Option<VmId>,
    pub(crate) bytes: u64,
    pub(crate) messages: u64,
    pub(crate) violations: Vec<String>,
    pub(crate) check_tokens: bool,
    settings: SchedulerSettings,
    processes: Vec<Option<Process>>,
    incarnations: Vec<NodeIncarnation>,
    owners: BTreeMap<TokenId, NodeIncarnation>,
    ended: BTreeMap<NodeIncarnation, Option<u64>>,
    in_flight: BTreeMap<(u64, u64), InFlightMessage>,
    messages_sent: u64,
    tasks: BTreeMap<(u64, u64), Task>,
    unreported: Vec<Task>,
    running_customer: BTreeMap<CustomerName, u32>,
    running_vm: BTreeMap<VmId, u32>,
    loads: BTreeMap<(ClassName, Option<CustomerName>), CustomerLoad>,
    next_task: u64,
    next_ticket: u64,
    random: SplitMix64,
}

impl Cluster {
    pub(crate) fn new(
        shape: FleetShape,
        nodes: usize,
        settings: SchedulerSettings,
        seed: u64,
    ) -> Self {
        let mut cluster = Self {
            now: 1,
            requests: BTreeMap::new(),
            finished: Vec::new(),
            network: NetworkFaults::default(),
            faults: WorkerFaults::default(),
            black_hole: None,
            bytes: 0,
            messages: 0,
            violations: Vec::new(),
            check_tokens: true,
            settings,
            processes: Vec::new(),
            incarnations: Vec::new(),
            owners: BTreeMap::new(),
            ended: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            messages_sent: 0,
            tasks: BTreeMap::new(),
            unreported: Vec::new(),
            running_customer: BTreeMap::new(),
            running_vm: BTreeMap::new(),
            loads: BTreeMap::new(),
            next_task: 0,
            next_ticket: 0,
            random: SplitMix64::new(seed),
            shape,
        };
        for _ in 0..nodes {
            cluster.add_process();
        }
        for (index, token) in cluster.shape.tokens().into_iter().enumerate() {
            let owner = cluster.incarnations[index % nodes].clone();
            cluster.owners.insert(token, owner);
        }
        for index in 0..nodes {
            cluster.install(index);
        }
        cluster
    }

    pub(crate) fn nodes(&self) -> usize {
        self.processes.len()
    }

    /// Returns the nodes that are running and not leaving.
    pub(crate) fn serving(&self) -> Vec<usize> {
        let serving = |index: &usize| {
            let process = self.processes[*index].as_ref();
            process.is_some_and(|process| !process.leaving)
        };
        (0..self.processes.len()).filter(serving).collect()
    }

    pub(crate) fn scheduler(&self, index: usize) -> Option<&NodeScheduler> {
        self.processes[index]
            .as_ref()
            .map(|process| &process.scheduler)
    }

    pub(crate) fn running(&self) -> usize {
        self.tasks.len()
    }

    pub(crate) fn running_of(&self, customer: &CustomerName) -> u32 {
        self.running_customer.get(customer).copied().unwrap_or(0)
    }

    pub(crate) fn load(&self, class: &ClassName, customer: &CustomerName) -> CustomerLoad {
        let key = (class.clone(), Some(customer.clone()));
        self.loads.get(&key).copied().unwrap_or_default()
    }

    /// Submits a request at a node; returns `None` if the node is paused or has ended.
    pub(crate) fn submit(
        &mut self,
        index: usize,
        class: &ClassName,
        customer: Option<&CustomerName>,
        repeatable: bool,
        run: u64,
        timeout: u64,
    ) -> Option<TicketId> {
        let now = self.now;
        let process = self.processes.get_mut(index)?.as_mut()?;
        if process.paused_until.is_some() {
            return None;
        }
        let id = TicketId(self.next_ticket);
        self.next_ticket += 1;
        let request = Request {
            node: index,
            class: class.clone(),
            customer: customer.cloned(),
            repeatable,
            run,
            arrived: now,
            deadline: now + timeout,
            executions: 0,
            ends: Vec::new(),
        };
        self.requests.insert(id, request);
        self.loads
            .entry((class.clone(), customer.cloned()))
            .or_default()
            .open += 1;
        let ticket = RequestTicket {
            id,
            class: class.clone(),
            customer: customer.cloned(),
            deadline: at(now + timeout),
            repeatable,
        };
        process.scheduler.submit(at(now), ticket);
        self.perform_actions(index);
        Some(id)
    }

    /// Cancels a request, as if its caller had disconnected.
    pub(crate) fn cancel(&mut self, id: TicketId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let index = request.node;
        let Some(process) = &mut self.processes[index] else {
            return;
        };
        if process.paused_until.is_some() || !request.ends.is_empty() {
            return;
        }
        request.ends.push(RequestEnd::Cancelled);
        process.scheduler.cancel(at(self.now), id);
        self.perform_actions(index);
    }

    /// Ends a process at once; its tasks keep running.
    pub(crate) fn kill(&mut self, index: usize) {
        if self.processes[index].take().is_none() {
            return;
        }
        self.record_process_end(index);
    }

    /// Pauses a process for `millis`.
    pub(crate) fn pause(&mut self, index: usize, millis: u64) {
        if let Some(process) = &mut self.processes[index] {
            process.paused_until = Some(self.now + millis);
        }
    }

    /// Isolates a process from all others for `millis`.
    pub(crate) fn isolate(&mut self, index: usize, millis: u64) {
        if let Some(process) = &mut self.processes[index] {
            process.isolated_until = self.now + millis;
        }
    }

    pub(crate) fn leave(&mut self, index: usize) {
        let now = at(self.now);
        let Some(process) = &mut self.processes[index] else {
            return;
        };
        if process.paused_until.is_none() {
            process.leaving = true;
            process.scheduler.leave(now);
            self.perform_actions(index);
        }
    }

    /// Starts a new process, which gets ownership of some idle tokens of the others.
    pub(crate) fn join(&mut self) -> usize {
        let index = self.add_process();
        let mut moved = 0;
        for (token, owner) in self.owners.clone() {
            let owner = self.incarnations.iter().position(|other| *other == owner);
            let Some(process) = owner.and_then(|owner| self.processes[owner].as_mut()) else {
                continue;
            };
            if process.paused_until.is_none()
                && moved < 8
                && process.scheduler.release_ownership(&token)
            {
                self.owners.insert(token, self.incarnations[index].clone());
                moved += 1;
            }
        }
        self.install(index);
        index
    }

    /// Advances the time by `millis` in steps of `step` milliseconds.
    pub(crate) fn run(&mut self, millis: u64, step: u64) {
        let end = self.now + millis;
        while self.now < end && self.violations.is_empty() {
            self.now += step;
            self.resume_processes();
            self.notify_ended();
            self.deliver();
            self.end_tasks();
            for index in 0..self.processes.len() {
                self.tick(index);
            }
            if self.check_tokens {
                self.check_single_use();
            }
        }
    }

    /// Returns the number of free tokens at all processes.
    pub(crate) fn free_tokens(&self) -> usize {
        self.processes
            .iter()
            .flatten()
            .map(|process| process.scheduler.token_counts().free)
            .sum()
    }

    /// Returns the number of borrowed tokens at all processes.
    pub(crate) fn borrowed_tokens(&self) -> usize {
        let processes = self.processes.iter().flatten();
        let usable_tokens = processes.flat_map(|process| process.scheduler.usable_tokens());
        usable_tokens
            .filter(|usable| usable.lender.is_some())
            .count()
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let in_flight_message = entry.remove();
            let index = self
                .incarnations
                .iter()
                .position(|other| *other == in_flight_message.to);
            let Some(index) = index else {
                continue;
            };
            if let Some(process) = &mut self.processes[index]
                && process.paused_until.is_none()
                && process.isolated_until <= self.now
            {
                let now = at(self.now);
                process
                    .scheduler
                    .receive(now, &in_flight_message.from, in_flight_message.message);
                self.perform_actions(index);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        let Some(process) = &mut self.processes[index] else {
            return;
        };
        if process.paused_until.is_some() {
            return;
        }
        process.scheduler.tick(at(self.now));
        let stale = self.now >= process.installed_at + INSTALL_INTERVAL_MILLIS;
        let drained = process.scheduler.is_drained();
        self.perform_actions(index);
        if stale {
            self.install(index);
        }
        if drained {
            self.processes[index] = None;
            self.record_process_end(index);
        }
    }

    /// Performs the actions of a process's scheduler.
    fn perform_actions(&mut self, index: usize) {
        let Some(process) = &mut self.processes[index] else {
            return;
        };
        let from = self.incarnations[index].clone();
        let isolated = process.isolated_until > self.now;
        for action in process.scheduler.take_actions() {
            match action {
                SchedulerAction::Dispatch { id, vm, .. } => self.start_task(&from, id, &vm),
                SchedulerAction::Refuse { id, refusal } => {
                    let outcome = refusal.outcome;
                    let end = RequestEnd::Refused {
                        at: self.now,
                        outcome,
                    };
                    self.end_request(id, end);
                }
                SchedulerAction::Send { to, message } => {
                    self.messages += 1;
                    self.bytes += message.wire_bytes();
                    if !isolated {
                        self.send(&from, &to, message);
                    }
                }
            }
        }
    }

    fn send(&mut self, from: &NodeIncarnation, to: &NodeIncarnation, message: PeerMessage) {
        let copies = match self.random.percent(self.network.lost) {
            true => 0,
            false => 1 + u64::from(self.random.percent(self.network.repeated)),
        };
        for _ in 0..copies {
            let delay = 1 + self.random.below(self.network.delay + 1);
            self.messages_sent += 1;
            let key = (self.now + delay, self.messages_sent);
            let in_flight_message = InFlightMessage {
                to: to.clone(),
                from: from.clone(),
                message: message.clone(),
            };
            self.in_flight.insert(key, in_flight_message);
        }
    }

    /// Checks that no token is usable by two processes.
    fn check_single_use(&mut self) {
        let mut users: BTreeMap<TokenId, usize> = BTreeMap::new();
        for (index, process) in self.processes.iter().enumerate() {
            let Some(process) = process else {
                continue;
            };
            for usable in process.scheduler.usable_tokens() {
                if let Some(other) = users.insert(usable.token.clone(), index) {
                    let token = usable.token;
                    let text = format!("{token} usable by {other} and {index} at {}", self.now);
                    self.violations.push(text);
                }
            }
        }
    }
}
