//! Scheduler of the waiting requests of one entry process.

mod admission;
mod attempt;
mod dispatch;
mod evacuation;
mod peers;
mod refusal;
mod request;
mod slow_start;
mod usage;

pub use usage::ClassUsage;

use std::cmp;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet};
use std::net;
use std::time;

use redwing_model::{ClassName, CustomerName, FleetDeclaration, NodeIncarnation, VmId};

use crate::clock::NodeTime;
use crate::demand::DemandReporter;
use crate::evacuation::EvacuationMap;
use crate::fair_queue::UNDECLARED_SHARE;
use crate::ledger::{TokenCounts, TokenLedger};
use crate::message::PeerMessage;
use crate::outlier::OutlierDetector;
use crate::peer_link::PeerLink;
use crate::retry::RetryBudget;
use crate::scheduler::request::{ClassState, RequestState};
use crate::slow_start::SlowStart;
use crate::ticket::{RequestRefusal, TicketId};
use crate::token::{TokenId, TokenPool};
use crate::worker_index::WorkerIndex;

/// Settings of a scheduler.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SchedulerSettings {
    /// Slots of each backend server.
    pub slots_per_worker: u32,
    /// Longest time for which a request may keep running on a backend server
    /// after the connection to its sender was lost.
    pub task_lease: time::Duration,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Backend servers that may close or die under one request; then it is given up.
    pub max_lost_attempts: u32,
    /// Time between two reports of demand and service to peers.
    pub report_interval: time::Duration,
    /// Shortest time between two reports when a customer starts to wait.
    pub urgent_interval: time::Duration,
    /// Shortest time between two messages that transfer tokens to the same peer.
    pub transfer_interval: time::Duration,
    /// Time after which an unacknowledged transfer is sent again.
    pub resend_interval: time::Duration,
    /// Time after which an idle borrowed token is returned to its owner.
    pub idle_return: time::Duration,
    /// Virtual time by which a local customer may be ahead of a customer that
    /// waits at a peer before a free slot is transferred to that peer.
    pub tolerance: time::Duration,
    /// Whether slots and permits may be transferred to peers.
    pub exchange_tokens: bool,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            slots_per_worker: 8,
            task_lease: time::Duration::from_secs(60),
            max_attempts: 3,
            max_lost_attempts: 2,
            report_interval: time::Duration::from_millis(250),
            urgent_interval: time::Duration::from_millis(100),
            transfer_interval: time::Duration::from_millis(20),
            resend_interval: time::Duration::from_millis(1_000),
            idle_return: time::Duration::from_millis(200),
            tolerance: time::Duration::from_millis(50),
            exchange_tokens: true,
        }
    }
}

/// A backend server that can receive requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerView {
    /// VM that runs the backend server.
    pub vm: VmId,
    /// Address of the backend server.
    pub address: net::SocketAddr,
    /// Classes that the backend server serves.
    pub classes: Vec<ClassName>,
    /// Whether the backend server accepts new requests.
    pub serving: bool,
}

/// External state that the scheduler works from; always replaced as a whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetView {
    /// Declaration in force.
    pub declaration: FleetDeclaration,
    /// Backend servers.
    pub workers: Vec<WorkerView>,
    /// Other entry processes that are running and not leaving.
    pub peers: Vec<NodeIncarnation>,
    /// Tokens owned by this process according to the table.
    ///
    /// A token may be removed from the list of a running process only after
    /// [`NodeScheduler::release_ownership`] released it, or when no process may
    /// use it any more.
    pub owned_tokens: Vec<TokenId>,
}

/// An action that the caller must perform for the scheduler.
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
    /// Refuse the request.
    Refuse {
        /// Number of the request.
        id: TicketId,
        /// Reason, execution state and time after which to retry.
        refusal: RequestRefusal,
    },
    /// Send a message to another entry process.
    Send {
        /// Receiver; the message must not be delivered to any other incarnation.
        to: NodeIncarnation,
        /// Message to send.
        message: PeerMessage,
    },
}

/// A token that this process may use now or later.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct UsableToken {
    /// Token that may be used.
    pub token: TokenId,
    /// Process that lent the token; `None` if this process owns it.
    pub lender: Option<NodeIncarnation>,
}

/// Selects which waiting request runs next, and on which backend server.
#[derive(Debug)]
pub struct NodeScheduler {
    settings: SchedulerSettings,
    node: NodeIncarnation,
    view: FleetView,
    suspended: bool,
    is_held: bool,
    leaving: bool,
    classes: BTreeMap<ClassName, ClassState>,
    customer_classes: HashMap<CustomerName, Vec<ClassName>>,
    requests: HashMap<TicketId, RequestState>,
    running: usize,
    dispatch_count: u64,
    deadlines: BinaryHeap<cmp::Reverse<(NodeTime, TicketId)>>,
    overrun_checks: BinaryHeap<cmp::Reverse<(NodeTime, TicketId)>>,
    ledger: TokenLedger,
    workers: WorkerIndex,
    evacuations: EvacuationMap,
    slow_start: SlowStart,
    last_cold_update: Option<NodeTime>,
    detector: OutlierDetector,
    budget: RetryBudget,
    links: BTreeMap<NodeIncarnation, PeerLink>,
    settled: BTreeSet<NodeIncarnation>,
    reporter: DemandReporter,
    /// Customers whose free permits, or whose permit requests from peers, may
    /// have changed.
    dirty_customers: BTreeSet<CustomerName>,
    /// Customers without a free permit at this process.
    blocked_customers: HashSet<CustomerName>,
    sent_permit_requests: HashMap<CustomerName, u32>,
    last_report: Option<NodeTime>,
    last_sweep: NodeTime,
    last_expiry: NodeTime,
    /// Whether the ledger may lack owned tokens that the view lists.
    owned_stale: bool,
    last_hand_over: Option<NodeTime>,
    hand_overs: u32,
    actions: Vec<SchedulerAction>,
}

impl NodeScheduler {
    /// Creates a scheduler without requests or tokens.
    pub fn new(settings: SchedulerSettings, node: NodeIncarnation) -> Self {
        Self {
            settings,
            node,
            view: FleetView::default(),
            suspended: false,
            is_held: false,
            leaving: false,
            classes: BTreeMap::new(),
            customer_classes: HashMap::new(),
            requests: HashMap::new(),
            running: 0,
            dispatch_count: 0,
            deadlines: BinaryHeap::new(),
            overrun_checks: BinaryHeap::new(),
            ledger: TokenLedger::default(),
            workers: WorkerIndex::default(),
            evacuations: EvacuationMap::default(),
            slow_start: SlowStart::default(),
            last_cold_update: None,
            detector: OutlierDetector::default(),
            budget: RetryBudget::new(),
            links: BTreeMap::new(),
            settled: BTreeSet::new(),
            reporter: DemandReporter::default(),
            dirty_customers: BTreeSet::new(),
            blocked_customers: HashSet::new(),
            sent_permit_requests: HashMap::new(),
            last_report: None,
            last_sweep: NodeTime::default(),
            last_expiry: NodeTime::default(),
            owned_stale: true,
            last_hand_over: None,
            hand_overs: 0,
            actions: Vec::new(),
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &SchedulerSettings {
        &self.settings
    }

    /// Returns the incarnation of the entry process.
    pub fn node(&self) -> &NodeIncarnation {
        &self.node
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.requests.len() - self.running
    }

    /// Returns the number of running attempts.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of tokens in each state.
    pub fn token_counts(&self) -> TokenCounts {
        self.ledger.counts()
    }

    /// Returns the VMs of the ejected backend servers.
    pub fn ejected(&self) -> impl Iterator<Item = &VmId> {
        self.detector.ejected()
    }

    /// Returns the tokens that this process may use now or later.
    pub fn usable_tokens(&self) -> Vec<UsableToken> {
        self.ledger
            .usable_tokens()
            .into_iter()
            .map(|(token, lender)| UsableToken { token, lender })
            .collect()
    }

    /// Returns whether the process may exit: no request waits or runs, borrowed
    /// tokens were returned, and owned ones were transferred to peers, if there
    /// are any.
    pub fn is_drained(&self) -> bool {
        let delivered = self.links.values().all(PeerLink::is_delivered);
        let returned = !self.ledger.has_borrowed() && !self.must_hand_over();
        self.leaving && self.requests.is_empty() && delivered && returned
    }

    /// Replaces the view of the fleet.
    pub fn install(&mut self, now: NodeTime, view: FleetView) {
        let old = std::mem::replace(&mut self.view, view);
        let owned_changed = self.owned_stale || old.owned_tokens != self.view.owned_tokens;
        let declaration_changed = old.declaration != self.view.declaration;
        if owned_changed {
            self.ledger.install_owned(now, &self.view.owned_tokens);
            self.owned_stale = false;
        }
        if declaration_changed {
            self.install_classes();
        }
        if owned_changed || old.workers != self.view.workers {
            self.install_workers();
        }
        self.install_peers(now);
        self.update_cold(now);
        if owned_changed || declaration_changed {
            let customers: Vec<CustomerName> = self.customer_classes.keys().cloned().collect();
            for customer in customers {
                self.refresh_customer(&customer);
            }
        }
        self.dispatch_all(now);
        self.flush(now);
    }

    /// Advances the time: refuses overdue requests and sends due messages to peers.
    pub fn tick(&mut self, now: NodeTime) {
        self.refuse_overdue(now);
        self.charge_overruns(now);
        for vm in self.detector.end_ejections(now) {
            let health = self.detector.health(&vm);
            self.workers.set_health(&vm, health);
        }
        for token in self.ledger.end_quarantines(now) {
            self.refresh_pool(&token.pool);
        }
        self.expire_demand(now);
        self.update_cold(now);
        self.dispatch_all(now);
        self.flush(now);
    }

    /// Stops dispatches and transfers until [`resume`](Self::resume), because
    /// the process may have been replaced while it was paused.
    pub fn suspend(&mut self, _now: NodeTime) {
        self.suspended = true;
    }

    /// Resumes dispatches and transfers after [`suspend`](Self::suspend).
    pub fn resume(&mut self, now: NodeTime) {
        self.suspended = false;
        self.tick(now);
    }

    /// Refuses new requests from now on, and transfers the tokens to running
    /// peers once the waiting requests no longer need them.
    ///
    /// This completes fastest if the peers' views no longer list this process.
    pub fn leave(&mut self, now: NodeTime) {
        self.leaving = true;
        self.dispatch_all(now);
        self.flush(now);
    }

    /// Settles an ended incarnation, one that can no longer dispatch: drops its
    /// link and its demand, and adopts its tokens that are at this process.
    /// Returns the adopted tokens, so that the table can record this process as
    /// their owner.
    ///
    /// Owned tokens that were lent to it become usable again after the task
    /// lease. Its tokens that were already sent back to it are not adopted: it
    /// may have received them and lent them to a third process, even if it
    /// never acknowledged them. They get a new owner through the table.
    pub fn settle(&mut self, now: NodeTime, ended: &NodeIncarnation) -> Vec<TokenId> {
        if !self.settled.insert(ended.clone()) {
            return Vec::new();
        }
        self.owned_stale = true;
        let link = self.links.remove(ended);
        for state in self.classes.values_mut() {
            state.remote.remove_peer(&mut state.queue, ended);
        }
        let until = now + self.settings.task_lease;
        let mut adopted = self.ledger.settle(until, ended);
        for token in link.iter().flat_map(PeerLink::unsent) {
            if self.ledger.adopt(now, token) {
                adopted.push(token.clone());
            }
        }
        adopted
    }

    /// Gives up ownership of an idle token, so that the table can record
    /// another owner; returns false if the token is not owned and idle here.
    ///
    /// A token that [`FleetView::owned_tokens`] still lists at the next
    /// [`install`](Self::install) becomes owned again.
    pub fn release_ownership(&mut self, token: &TokenId) -> bool {
        let released = self.ledger.release_ownership(token);
        if released {
            self.owned_stale = true;
            self.refresh_pool(&token.pool);
        }
        released
    }

    /// Returns the actions decided since the last call.
    pub fn take_actions(&mut self) -> Vec<SchedulerAction> {
        std::mem::take(&mut self.actions)
    }

    /// Updates the queues to the declaration.
    fn install_classes(&mut self) {
        for (class, target) in &self.view.declaration.queues {
            let state = self.classes.entry(class.clone()).or_default();
            let customers: Vec<_> = state.queue.customers().collect();
            for customer in customers {
                let share = share_of(&target.shares, state.queue.name(customer));
                state.queue.set_share(customer, share);
            }
        }
    }

    fn install_workers(&mut self) {
        let mut running: HashMap<&VmId, u32> = HashMap::new();
        for request in self.requests.values() {
            if let Some(attempt) = &request.attempt {
                *running.entry(&attempt.vm).or_default() += 1;
            }
        }
        let bound = self.settings.slots_per_worker;
        let ledger = &self.ledger;
        let detector = &self.detector;
        let evacuations = &self.evacuations;
        self.workers = WorkerIndex::new(
            &self.view.workers,
            |vm| running.get(vm).copied().unwrap_or(0),
            |vm| ledger.available(&TokenPool::Slot(vm.clone()), bound),
            |vm| detector.health(vm),
            |vm| evacuations.is_evacuated(vm),
        );
        let workers = &self.workers;
        self.detector.retain(|vm| workers.get(vm).is_some());
        self.withhold_cold();
        self.update_slots();
    }

    /// Updates the slots of the queues to the backend servers that serve.
    fn update_slots(&mut self) {
        let bound = self.settings.slots_per_worker;
        for (class, state) in &mut self.classes {
            let serving = u32::try_from(self.workers.serving(class)).unwrap_or(u32::MAX);
            state.queue.set_slots(serving.saturating_mul(bound));
        }
    }

    /// Returns the limit of `customer`; only permits numbered below it are used.
    fn limit_of(&self, customer: &CustomerName) -> Option<u32> {
        let target = self.view.declaration.customers.get(customer)?;
        Some(target.limit)
    }

    /// Updates the indices after the free tokens of `pool` changed.
    fn refresh_pool(&mut self, pool: &TokenPool) {
        match pool {
            TokenPool::Slot(vm) => {
                let bound = self.settings.slots_per_worker;
                let free = self.ledger.available(pool, bound);
                self.workers.set_free(vm, free);
            }
            TokenPool::Permit(customer) => {
                self.dirty_customers.insert(customer.clone());
                self.refresh_customer(customer);
            }
        }
    }

    /// Updates in every class whether `customer` is blocked by its limit.
    fn refresh_customer(&mut self, customer: &CustomerName) {
        let blocked = self.is_blocked(customer);
        let changed = match blocked {
            true => self.blocked_customers.insert(customer.clone()),
            false => self.blocked_customers.remove(customer),
        };
        let Some(classes) = self.customer_classes.get(customer) else {
            return;
        };
        if !changed {
            return;
        }
        for class in classes {
            if let Some(state) = self.classes.get_mut(class)
                && let Some(index) = state.queue.find(Some(customer))
            {
                if state.queue.set_blocked(index, blocked) {
                    self.reporter.mark_urgent();
                }
                self.reporter.mark(class, index);
            }
        }
    }

    fn is_blocked(&self, customer: &CustomerName) -> bool {
        let pool = TokenPool::Permit(customer.clone());
        match self.limit_of(customer) {
            Some(limit) => !self.ledger.has_available(&pool, limit),
            None => false,
        }
    }
}

/// Returns the declared share of `customer`, or [`UNDECLARED_SHARE`].
fn share_of(shares: &BTreeMap<CustomerName, f64>, customer: Option<&CustomerName>) -> f64 {
    customer
        .and_then(|customer| shares.get(customer))
        .copied()
        .unwrap_or(UNDECLARED_SHARE)
}
