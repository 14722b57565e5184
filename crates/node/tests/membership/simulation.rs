//! Simulation of entry processes, their messages, and the requests running on
//! one backend server.

use std::rc::Rc;
use std::time::Duration;

use redwing_membership::{EndedSettings, OwnershipRecord, ownership};
use redwing_model::vm::{VmIdentity, VmPhase, VmRecord};
use redwing_model::{FleetDeclaration, NodeId, NodeIncarnation, VmId};
use redwing_node::membership::{MembershipRunner, MembershipSettings, RegistrationStatus};
use redwing_node::register::{self, MemberIdentity};
use redwing_policy::{NodeTime, TokenId};
use redwing_provider::{ListedStatus, ListedVm, RowKey, TableStore, TableTransaction, VmRole};
use redwing_standin::MemoryPlatform;
use redwing_standin::memory::MemorySettings;

use crate::model::{ModelScheduler, NODES, SLOTS, TASK_LEASE};

/// Lists a backend server that serves pool `a`.
pub(crate) async fn put_worker(platform: &MemoryPlatform, number: usize) {
    let identity = vm_identity(&format!("vm-{number}"), 9_000);
    let record = VmRecord {
        identity: identity.clone(),
        pool: "a".parse().unwrap(),
        phase: VmPhase::Serving,
        revision: 1,
    };
    let value = serde_json::to_string(&record).unwrap();
    let row = TableTransaction::default().put(RowKey::new(format!("vm/vm-{number}")), value);
    platform.commit(&row).await.unwrap();
    platform.put_vm(ListedVm {
        identity,
        role: VmRole::BackendServer,
        status: ListedStatus::Live,
    });
}

/// Lists an entry VM, and registers its process through the same client.
pub(crate) async fn register_entry(platform: &MemoryPlatform, index: usize) -> NodeIncarnation {
    let node: NodeId = format!("entry-{index}").parse().unwrap();
    platform.put_vm(ListedVm {
        identity: vm_identity(node.as_str(), 7_000),
        role: VmRole::Entry(node.clone()),
        status: ListedStatus::Live,
    });
    let identity = MemberIdentity {
        node,
        data_centre: "dc-1".parse().unwrap(),
        peer_address: "127.0.0.1:7000".parse().unwrap(),
    };
    let record = register::register(platform, &identity).await;
    record.unwrap().incarnation
}

/// One running entry process.
pub(crate) struct Process {
    pub(crate) incarnation: NodeIncarnation,
    platform: MemoryPlatform,
    pub(crate) scheduler: Rc<ModelScheduler>,
    runner: MembershipRunner,
}

/// Token in transit between two processes.
#[derive(Clone, Debug)]
pub(crate) struct Transfer {
    from: NodeIncarnation,
    to: NodeIncarnation,
    token: TokenId,
}

/// Request running on the backend server.
#[derive(Debug)]
pub(crate) struct RunningTask {
    sender: NodeIncarnation,
    token: TokenId,
    ends: Option<NodeTime>,
}

/// One step of the test.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    Round(usize),
    /// Rounds of two processes, whose table calls alternate.
    RoundPair(usize, usize),
    /// Several rounds of one process, 2 s apart, while the others run none.
    Rounds(usize),
    Start(usize),
    Finish(usize),
    Lend(usize, usize),
    Return(usize),
    Deliver(usize),
    LoseAck(usize),
    Kill(usize),
    Restart(usize),
    Leave(usize),
    TableDown(usize, bool),
    LoseReply(usize),
    LoseRequest(usize),
    Advance(u64),
}

/// State of the simulation.
pub(crate) struct Simulation {
    platform: MemoryPlatform,
    pub(crate) processes: Vec<Option<Process>>,
    transfers: Vec<Transfer>,
    tasks: Vec<RunningTask>,
    declaration: FleetDeclaration,
    now: NodeTime,
}

impl Simulation {
    pub(crate) async fn new() -> Self {
        let platform = MemoryPlatform::new(MemorySettings::default());
        let mut simulation = Self {
            platform,
            processes: (0..NODES).map(|_| None).collect(),
            transfers: Vec::new(),
            tasks: Vec::new(),
            declaration: redwing_model::from_toml("[pools.a]\nvms = 1\nmax-unavailable = 0")
                .unwrap(),
            now: NodeTime::from_millis(0),
        };
        put_worker(&simulation.platform, 1).await;
        for node in 0..NODES {
            simulation.start_process(node).await;
        }
        simulation.advance(10_000);
        for node in (0..NODES).chain(0..NODES) {
            simulation.round(node).await;
        }
        simulation
    }

    pub(crate) async fn start_process(&mut self, index: usize) {
        let platform = self.platform.new_client();
        let incarnation = register_entry(&platform, index).await;
        let scheduler = Rc::new(ModelScheduler::default());
        let settings = MembershipSettings {
            slots_per_worker: SLOTS,
            ended: EndedSettings {
                task_lease: TASK_LEASE,
                ..EndedSettings::default()
            },
        };
        let runner = MembershipRunner::new(
            settings,
            platform.services(),
            scheduler.clone(),
            incarnation.clone(),
        );
        self.processes[index] = Some(Process {
            incarnation,
            platform,
            scheduler,
            runner,
        });
    }

    pub(crate) async fn round(&mut self, index: usize) {
        let now = self.now;
        let Some(process) = &mut self.processes[index] else {
            return;
        };
        process.scheduler.0.borrow_mut().now = now;
        let status = process.runner.round(now, &self.declaration).await;
        assert_ne!(status.ok(), Some(RegistrationStatus::Replaced));
    }

    pub(crate) async fn round_pair(&mut self, first: usize, second: usize) {
        let (Some(mut first), Some(mut second)) =
            (self.processes[first].take(), self.processes[second].take())
        else {
            return;
        };
        for process in [&first, &second] {
            process.scheduler.0.borrow_mut().now = self.now;
            process
                .platform
                .set_faults(|faults| faults.table_delay_millis = 2);
        }
        let _ = tokio::join!(
            first.runner.round(self.now, &self.declaration),
            second.runner.round(self.now, &self.declaration),
        );
        for process in [first, second] {
            process
                .platform
                .set_faults(|faults| faults.table_delay_millis = 0);
            let index = index_of(&process.incarnation);
            self.processes[index] = Some(process);
        }
    }

    pub(crate) fn advance(&mut self, millis: u64) {
        let step = Duration::from_millis(millis);
        self.platform.advance(step);
        self.now = self.now + step;
        let now = self.now;
        for process in self.processes.iter().flatten() {
            process.scheduler.0.borrow_mut().now = now;
        }
        self.tasks
            .retain(|task| task.ends.is_none_or(|ends| ends > now));
    }

    pub(crate) fn start_task(&mut self, index: usize) {
        let Some(process) = &self.processes[index] else {
            return;
        };
        let mut model = process.scheduler.0.borrow_mut();
        let Some(token) = model.idle().pop() else {
            return;
        };
        let user = self.tasks.iter().find(|task| task.token == token);
        assert!(
            user.is_none(),
            "{token} is used by {user:?} and {}",
            process.incarnation
        );
        model.busy.insert(token.clone());
        self.tasks.push(RunningTask {
            sender: process.incarnation.clone(),
            token,
            ends: None,
        });
    }

    pub(crate) fn finish_task(&mut self, choice: usize) {
        if self.tasks.is_empty() {
            return;
        }
        let task = self.tasks.remove(choice % self.tasks.len());
        if let Some(process) = self.process(&task.sender) {
            process.scheduler.0.borrow_mut().busy.remove(&task.token);
        }
    }

    pub(crate) fn lend(&mut self, from: usize, to: usize) {
        let (Some(lender), Some(receiver)) = (&self.processes[from], &self.processes[to]) else {
            return;
        };
        let mut model = lender.scheduler.0.borrow_mut();
        // A scheduler lends only to peers in its view.
        if !model.peers.contains(&receiver.incarnation) {
            return;
        }
        let Some(token) = model.idle_owned().pop() else {
            return;
        };
        model
            .lent
            .insert(token.clone(), receiver.incarnation.clone());
        self.transfers.push(Transfer {
            from: lender.incarnation.clone(),
            to: receiver.incarnation.clone(),
            token,
        });
    }

    pub(crate) fn return_token(&mut self, index: usize) {
        let Some(process) = &self.processes[index] else {
            return;
        };
        let mut model = process.scheduler.0.borrow_mut();
        let idle = model
            .borrowed
            .keys()
            .find(|token| model.is_idle(token))
            .cloned();
        let Some(token) = idle else {
            return;
        };
        let owner = model.borrowed.remove(&token).unwrap();
        model.returning.insert(token.clone(), owner.clone());
        self.transfers.push(Transfer {
            from: process.incarnation.clone(),
            to: owner,
            token,
        });
    }

    /// Delivers a transfer; `acknowledged` tells whether the sender receives the
    /// acknowledgement.
    pub(crate) fn deliver(&mut self, choice: usize, acknowledged: bool) {
        if self.transfers.is_empty() {
            return;
        }
        let transfer = self.transfers.remove(choice % self.transfers.len());
        let Some(receiver) = self.process(&transfer.to) else {
            return;
        };
        let mut model = receiver.scheduler.0.borrow_mut();
        if model.settled.contains(&transfer.from) {
            return;
        }
        if model.lent.get(&transfer.token) == Some(&transfer.from) {
            model.lent.remove(&transfer.token);
        } else {
            model
                .borrowed
                .insert(transfer.token.clone(), transfer.from.clone());
        }
        drop(model);
        if let Some(sender) = self.process(&transfer.from)
            && acknowledged
        {
            sender
                .scheduler
                .0
                .borrow_mut()
                .returning
                .remove(&transfer.token);
        }
    }

    /// Kills a process; its requests keep running for the task lease.
    pub(crate) fn kill(&mut self, index: usize) {
        let Some(process) = self.processes[index].take() else {
            return;
        };
        self.platform
            .remove_vm(&VmId::new(process.incarnation.node.as_str()).unwrap());
        let ends = Some(self.now + TASK_LEASE);
        for task in &mut self.tasks {
            if task.sender == process.incarnation {
                task.ends = ends;
            }
        }
    }

    pub(crate) async fn leave(&mut self, index: usize) {
        let Some(process) = &mut self.processes[index] else {
            return;
        };
        let busy = !process.scheduler.0.borrow().busy.is_empty();
        let is_last = self.processes.iter().flatten().count() == 1;
        if busy || is_last {
            return;
        }
        let process = self.processes[index].as_mut().unwrap();
        // If the table is down, the other members recover its tokens.
        let _ = process.runner.leave().await;
        self.kill(index);
    }

    pub(crate) fn process(&self, incarnation: &NodeIncarnation) -> Option<&Process> {
        let mut running = self.processes.iter().flatten();
        running.find(|process| process.incarnation == *incarnation)
    }

    pub(crate) fn set_table_down(&self, index: usize, down: bool) {
        if let Some(process) = &self.processes[index] {
            process
                .platform
                .set_faults(|faults| faults.table_down = down);
        }
    }

    pub(crate) fn set_lost_calls(&self, index: usize, replies: u32, requests: u32) {
        if let Some(process) = &self.processes[index] {
            process.platform.set_faults(|faults| {
                faults.lost_replies = replies;
                faults.lost_requests = requests;
            });
        }
    }

    pub(crate) async fn apply(&mut self, step: &Step) {
        match *step {
            Step::Round(index) => self.round(index).await,
            Step::RoundPair(first, second) => self.round_pair(first, second).await,
            Step::Rounds(index) => {
                for _ in 0..4 {
                    self.round(index).await;
                    self.advance(2_000);
                }
            }
            Step::Start(index) => self.start_task(index),
            Step::Finish(choice) => self.finish_task(choice),
            Step::Lend(from, to) => self.lend(from, to),
            Step::Return(index) => self.return_token(index),
            Step::Deliver(choice) => self.deliver(choice, true),
            Step::LoseAck(choice) => self.deliver(choice, false),
            Step::Kill(index) => self.kill(index),
            Step::Restart(index) => {
                self.kill(index);
                self.start_process(index).await;
            }
            Step::Leave(index) => self.leave(index).await,
            Step::TableDown(index, down) => self.set_table_down(index, down),
            Step::LoseReply(index) => self.set_lost_calls(index, 1, 0),
            Step::LoseRequest(index) => self.set_lost_calls(index, 0, 1),
            Step::Advance(millis) => self.advance(millis),
        }
    }

    /// Ends all faults and runs rounds until all tokens should be recovered.
    pub(crate) async fn recover(&mut self) {
        for index in 0..NODES {
            self.set_table_down(index, false);
            self.set_lost_calls(index, 0, 0);
            if self.processes[index].is_none() {
                self.start_process(index).await;
            }
        }
        while !self.tasks.is_empty() {
            self.finish_task(0);
        }
        while !self.transfers.is_empty() {
            self.deliver(0, true);
        }
        for _ in 0..12 {
            for index in 0..NODES {
                self.round(index).await;
                self.return_token(index);
            }
            while !self.transfers.is_empty() {
                self.deliver(0, true);
            }
            self.advance(TASK_LEASE.as_millis() as u64 / 3);
        }
    }

    /// Checks that each token is idle at exactly one process, which the table
    /// names as its owner.
    pub(crate) async fn check_recovered(&self) {
        let view = self
            .platform
            .scan(ownership::OWNERSHIP_PREFIX)
            .await
            .unwrap();
        let row = view.rows.first().expect("the slots have a row");
        let record: OwnershipRecord = serde_json::from_str(row.value.as_deref().unwrap()).unwrap();
        let pool = ownership::pool_of_key(row.key.as_str()).unwrap();
        for number in 0..SLOTS {
            let token = TokenId {
                pool: pool.clone(),
                number,
            };
            let idle_at: Vec<&NodeIncarnation> = self
                .processes
                .iter()
                .flatten()
                .filter(|process| process.scheduler.0.borrow().idle().contains(&token))
                .map(|process| &process.incarnation)
                .collect();
            assert_eq!(idle_at, [record.owner(number).unwrap()], "{token}");
        }
    }
}

pub(crate) fn index_of(incarnation: &NodeIncarnation) -> usize {
    let (_, index) = incarnation.node.as_str().rsplit_once('-').unwrap();
    index.parse().unwrap()
}

pub(crate) fn vm_identity(vm: &str, port: u16) -> VmIdentity {
    VmIdentity {
        vm: vm.parse().unwrap(),
        address: ([127, 0, 0, 1], port).into(),
        rack: "rack-1".parse().unwrap(),
        data_centre: "dc-1".parse().unwrap(),
    }
}
