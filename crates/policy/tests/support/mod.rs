//! Fixtures for scheduler tests: fleets, names, tickets and attempt reports.

#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "constant names of tests are valid")]

pub(crate) mod cluster;

use std::time;

use redwing_model::declaration::{CustomerTarget, QueueTarget};
use redwing_model::{
    ClassName, CustomerName, FleetDeclaration, NodeId, NodeIncarnation, PoolName, RunOutcome, VmId,
};
use redwing_policy::scheduler::WorkerView;
use redwing_policy::{
    AttemptReport, FleetView, NodeTime, RequestTicket, SchedulerAction, TicketId, TokenId,
    TokenPool,
};

pub(crate) fn class(name: &str) -> ClassName {
    ClassName::new(name).unwrap()
}

pub(crate) fn customer(name: &str) -> CustomerName {
    CustomerName::new(name).unwrap()
}

pub(crate) fn vm(number: usize) -> VmId {
    VmId::new(&format!("vm-{number}")).unwrap()
}

pub(crate) fn node(number: usize) -> NodeIncarnation {
    let node = NodeId::new(&format!("node-{number}")).unwrap();
    NodeIncarnation { node, epoch: 1 }
}

pub(crate) fn at(millis: u64) -> NodeTime {
    NodeTime::from_millis(millis)
}

/// Size of a test fleet and its customers.
#[derive(Clone, Debug)]
pub(crate) struct FleetShape {
    pub(crate) workers: usize,
    pub(crate) slots: u32,
    pub(crate) classes: usize,
    /// Name, share and limit of each customer.
    pub(crate) customers: Vec<(CustomerName, f64, u32)>,
    pub(crate) queue_depth: u32,
}

impl Default for FleetShape {
    fn default() -> Self {
        Self {
            workers: 2,
            slots: 8,
            classes: 1,
            customers: vec![(customer("a"), 0.5, 100), (customer("b"), 0.5, 100)],
            queue_depth: 100_000,
        }
    }
}

impl FleetShape {
    pub(crate) fn class(&self, number: usize) -> ClassName {
        class(&format!("class-{number}"))
    }

    pub(crate) fn declaration(&self) -> FleetDeclaration {
        let mut fleet = FleetDeclaration::default();
        for (name, _, limit) in &self.customers {
            fleet
                .customers
                .insert(name.clone(), CustomerTarget { limit: *limit });
        }
        for number in 0..self.classes {
            let target = QueueTarget {
                pool: PoolName::new(&format!("pool-{number}")).unwrap(),
                open: false,
                max_timeout_seconds: 60,
                max_body_bytes: 1_000,
                max_waiting_per_customer: self.queue_depth,
                shares: self
                    .customers
                    .iter()
                    .map(|(name, share, _)| (name.clone(), *share))
                    .collect(),
            };
            fleet.queues.insert(self.class(number), target);
        }
        fleet
    }

    /// Returns the workers, assigned to the classes round robin.
    pub(crate) fn worker_views(&self) -> Vec<WorkerView> {
        (0..self.workers)
            .map(|number| WorkerView {
                vm: vm(number),
                address: ([127, 0, 0, 1], 1_000).into(),
                classes: vec![self.class(number % self.classes)],
                serving: true,
            })
            .collect()
    }

    /// Returns all tokens, in an order that spreads each pool over the nodes.
    pub(crate) fn tokens(&self) -> Vec<TokenId> {
        let mut tokens = Vec::new();
        for worker in 0..self.workers {
            for number in 0..self.slots {
                let pool = TokenPool::Slot(vm(worker));
                tokens.push(TokenId { pool, number });
            }
        }
        for (name, _, limit) in &self.customers {
            for number in 0..*limit {
                let pool = TokenPool::Permit(name.clone());
                tokens.push(TokenId { pool, number });
            }
        }
        tokens
    }

    /// Returns the view of node `own` of `nodes`, which owns an equal part of the tokens.
    pub(crate) fn view(&self, own: usize, nodes: usize) -> FleetView {
        let owned_tokens = self
            .tokens()
            .into_iter()
            .enumerate()
            .filter(|(index, _)| index % nodes == own)
            .map(|(_, token)| token)
            .collect();
        FleetView {
            declaration: self.declaration(),
            workers: self.worker_views(),
            peers: (0..nodes).filter(|peer| *peer != own).map(node).collect(),
            owned_tokens,
        }
    }
}

pub(crate) fn ticket(id: u64, class: &ClassName, customer: Option<&CustomerName>) -> RequestTicket {
    RequestTicket {
        id: TicketId(id),
        class: class.clone(),
        customer: customer.cloned(),
        deadline: at(60_000),
        repeatable: true,
    }
}

pub(crate) fn success(vm: &VmId) -> AttemptReport {
    AttemptReport {
        vm: vm.clone(),
        outcome: RunOutcome::Ran,
        faulty: false,
        ended: true,
        response_started: true,
    }
}

pub(crate) fn refused(vm: &VmId) -> AttemptReport {
    AttemptReport {
        vm: vm.clone(),
        outcome: RunOutcome::NotRun,
        faulty: true,
        ended: true,
        response_started: false,
    }
}

pub(crate) fn lost(vm: &VmId) -> AttemptReport {
    AttemptReport {
        vm: vm.clone(),
        outcome: RunOutcome::Unknown,
        faulty: true,
        ended: false,
        response_started: false,
    }
}

/// Returns the requests dispatched by `actions`, with their VMs.
pub(crate) fn dispatched(actions: &[SchedulerAction]) -> Vec<(TicketId, VmId)> {
    actions
        .iter()
        .filter_map(|action| match action {
            SchedulerAction::Dispatch { id, vm, .. } => Some((*id, vm.clone())),
            _ => None,
        })
        .collect()
}

/// Returns the requests refused by `actions`.
pub(crate) fn refusals(actions: &[SchedulerAction]) -> Vec<TicketId> {
    actions
        .iter()
        .filter_map(|action| match action {
            SchedulerAction::Refuse { id, .. } => Some(*id),
            _ => None,
        })
        .collect()
}

pub(crate) fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}
