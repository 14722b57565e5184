//! Decisions of one entry process over its waiting requests.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net;
use std::time;

use redwing_model::{ClassName, FleetDeclaration, NodeIncarnation, VmId};

use crate::clock::NodeTime;
use crate::exchange::PeerMessage;
use crate::ticket::{AttemptReport, RefusalReason, RequestRefusal, RequestTicket, TicketId};
use crate::token::{TokenId, TokenPool};

/// Settings of a scheduler.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SchedulerSettings {
    /// Slots of each backend server.
    pub slots_per_worker: u32,
    /// How long a request may go on running after its attempt was lost.
    pub task_lease: time::Duration,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            slots_per_worker: 8,
            task_lease: time::Duration::from_secs(60),
        }
    }
}

/// A backend server that requests may be sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerView {
    /// VM that runs it.
    pub vm: VmId,
    /// Address of the backend server.
    pub address: net::SocketAddr,
    /// Classes that it serves.
    pub classes: Vec<ClassName>,
    /// Whether it takes new requests.
    pub serving: bool,
}

/// Everything that the scheduler knows from outside, replaced as a whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetView {
    /// Declaration in force.
    pub declaration: FleetDeclaration,
    /// Backend servers.
    pub workers: Vec<WorkerView>,
    /// Other entry processes.
    pub peers: Vec<NodeIncarnation>,
    /// Tokens whose home is this process, as the table records them.
    pub homes: Vec<TokenId>,
}

/// What the surroundings must do for the scheduler.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SchedulerAction {
    /// Send the request to the backend server at `address`.
    Dispatch {
        /// Number of the request.
        id: TicketId,
        /// VM of the backend server.
        vm: VmId,
        /// Address of the backend server.
        address: net::SocketAddr,
        /// Number of the attempt, from 1.
        attempt: u32,
    },
    /// Answer the request with a refusal; it was not executed.
    Refuse {
        /// Number of the request.
        id: TicketId,
        /// Why, and when to ask again.
        refusal: RequestRefusal,
    },
    /// Send a message to another entry process.
    Send {
        /// The receiver.
        to: NodeIncarnation,
        /// The message.
        message: PeerMessage,
    },
}

/// Decides which waiting request runs next, and where.
#[derive(Debug)]
pub struct NodeScheduler {
    settings: SchedulerSettings,
    view: FleetView,
    waiting: VecDeque<RequestTicket>,
    running: BTreeMap<TicketId, TokenId>,
    free: BTreeSet<TokenId>,
    actions: Vec<SchedulerAction>,
}

impl NodeScheduler {
    /// Creates a scheduler that holds nothing yet.
    pub fn new(settings: SchedulerSettings, _node: NodeIncarnation) -> Self {
        Self {
            settings,
            view: FleetView::default(),
            waiting: VecDeque::new(),
            running: BTreeMap::new(),
            free: BTreeSet::new(),
            actions: Vec::new(),
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &SchedulerSettings {
        &self.settings
    }

    /// Takes a new request; a dispatch or refusal follows sooner or later.
    pub fn submit(&mut self, now: NodeTime, ticket: RequestTicket) {
        self.waiting.push_back(ticket);
        self.pump(now);
    }

    /// Forgets a request whose caller has gone. A running attempt still
    /// reports its end through [`finish`](Self::finish).
    pub fn cancel(&mut self, now: NodeTime, id: TicketId) {
        self.waiting.retain(|ticket| ticket.id != id);
        self.pump(now);
    }

    /// Takes the report of an attempt that ended.
    pub fn finish(&mut self, now: NodeTime, id: TicketId, _report: &AttemptReport) {
        if let Some(token) = self.running.remove(&id) {
            self.free.insert(token);
        }
        self.pump(now);
    }

    /// Takes a message from another entry process.
    pub fn receive(&mut self, _now: NodeTime, _from: &NodeIncarnation, _message: PeerMessage) {}

    /// Replaces the view of the fleet.
    pub fn install(&mut self, now: NodeTime, view: FleetView) {
        for token in &view.homes {
            let used = self.running.values().any(|running| running == token);
            if !used {
                self.free.insert(token.clone());
            }
        }
        self.view = view;
        self.pump(now);
    }

    /// Lets time pass: refuses what is overdue and sends what is due to peers.
    pub fn tick(&mut self, now: NodeTime) {
        let refusal = RequestRefusal {
            reason: RefusalReason::DeadlineUnmet,
            retry_after: time::Duration::from_secs(1),
        };
        let overdue = |ticket: &RequestTicket| ticket.deadline <= now;
        for ticket in self.waiting.iter().filter(|ticket| overdue(ticket)) {
            let id = ticket.id;
            self.actions.push(SchedulerAction::Refuse { id, refusal });
        }
        self.waiting.retain(|ticket| !overdue(ticket));
        self.pump(now);
    }

    /// Returns the actions decided since the last call.
    pub fn take_actions(&mut self) -> Vec<SchedulerAction> {
        std::mem::take(&mut self.actions)
    }

    fn pump(&mut self, _now: NodeTime) {
        while let Some((index, token)) = self.next_match() {
            let Some(ticket) = self.waiting.remove(index) else {
                return;
            };
            let TokenPool::Slot(vm) = &token.pool else {
                return;
            };
            let Some(worker) = self.view.workers.iter().find(|worker| worker.vm == *vm) else {
                return;
            };
            self.actions.push(SchedulerAction::Dispatch {
                id: ticket.id,
                vm: vm.clone(),
                address: worker.address,
                attempt: 1,
            });
            self.free.remove(&token);
            self.running.insert(ticket.id, token);
        }
    }

    fn next_match(&self) -> Option<(usize, TokenId)> {
        for (index, ticket) in self.waiting.iter().enumerate() {
            let token = self
                .free
                .iter()
                .find(|token| self.serves(token, &ticket.class));
            if let Some(token) = token {
                return Some((index, token.clone()));
            }
        }
        None
    }

    fn serves(&self, token: &TokenId, class: &ClassName) -> bool {
        let TokenPool::Slot(vm) = &token.pool else {
            return false;
        };
        let worker = self.view.workers.iter().find(|worker| worker.vm == *vm);
        worker.is_some_and(|worker| worker.serving && worker.classes.contains(class))
    }
}
