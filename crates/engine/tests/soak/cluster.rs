//! Entry processes with real listeners, one table and shared workers.

use std::cell;
use std::collections::BTreeMap;
use std::net;
use std::rc;
use std::sync;
use std::time;

use redwing_engine::caller::listener::EngineListeners;
use redwing_engine::owner::OwnerSettings;
use redwing_engine::product::{self, ProductCodec};
use redwing_engine::row::{self, OwnerRecord};
use redwing_engine::run::EngineProcess;
use redwing_engine::{DeploymentCodec, DeploymentServices, EngineSettings, ServicesFactory};
use redwing_jobs::WorkerId;
use redwing_provider::{RowKey, TableStore, TableTransaction};
use redwing_standin::worker::{NoAdvisor, NoMachines};
use redwing_standin::{FaultPlan, MemoryPlatform, MemoryWorkers, WorkerFault};
use tokio::time as timer;

use crate::caller::{CallerConnection, JobLedger};

/// Pool of all workers.
const POOL: &str = "workers";

/// Number of failures of a seed that are traced.
const MAX_TRACES: usize = 3;

/// Factory of the services of one process, with its own table faults.
struct SoakFactory {
    platform: MemoryPlatform,
    workers: MemoryWorkers,
}

impl ServicesFactory for SoakFactory {
    fn services(&self) -> DeploymentServices {
        DeploymentServices {
            table: rc::Rc::new(self.platform.clone()),
            workers: rc::Rc::new(self.workers.clone()),
            advisor: rc::Rc::new(NoAdvisor),
            machines: rc::Rc::new(NoMachines),
        }
    }

    fn codec(&self) -> sync::Arc<dyn DeploymentCodec> {
        sync::Arc::new(ProductCodec)
    }
}

/// Process of one VM.
pub(crate) struct ProcessSlot {
    pub(crate) platform: MemoryPlatform,
    /// Address for callers once the process is ready, until its connections end.
    pub(crate) address: Option<net::SocketAddr>,
    process: Option<EngineProcess>,
    /// Number of the start, and of the latest start that ended by a crash.
    starts: u32,
    pub(crate) killed: u32,
}

/// Cluster under test with what the checks need.
pub(crate) struct SoakCluster {
    /// Handle of the table without faults.
    pub(crate) platform: MemoryPlatform,
    pub(crate) workers: MemoryWorkers,
    pub(crate) slots: cell::RefCell<Vec<ProcessSlot>>,
    /// Workers that are usable, by their numbers.
    usable: cell::RefCell<BTreeMap<u32, WorkerId>>,
    next_worker: cell::Cell<u32>,
    /// Number of usable workers that faults and drains leave; all jobs fit on them.
    min_usable: usize,
    version: cell::Cell<u64>,
    pub(crate) ledger: JobLedger,
    pub(crate) started_at: timer::Instant,
    /// When the latest action began or ended.
    pub(crate) acted_at: cell::Cell<timer::Instant>,
    /// When something unplanned last happened.
    pub(crate) unplanned_at: cell::Cell<timer::Instant>,
    pub(crate) active_faults: cell::Cell<u32>,
    pub(crate) failures: cell::RefCell<Vec<String>>,
    /// Number of calls by method and status; 0 for no whole response.
    pub(crate) calls: cell::RefCell<BTreeMap<(String, u16), u32>>,
}

impl SoakCluster {
    pub(crate) async fn start(processes: usize) -> Self {
        let now = timer::Instant::now();
        let platform = MemoryPlatform::default();
        let count = 8 + processes as u32 / 8;
        let workers = MemoryWorkers::new(POOL, count, time::Duration::from_millis(100));
        let numbers = 1..=count;
        let slots = (0..processes).map(|_| ProcessSlot {
            platform: platform.new_client(),
            address: None,
            process: None,
            starts: 0,
            killed: 0,
        });
        let cluster = Self {
            workers,
            slots: cell::RefCell::new(slots.collect()),
            usable: cell::RefCell::new(numbers.map(|n| (n, worker_id(n))).collect()),
            next_worker: cell::Cell::new(count + 1),
            min_usable: count as usize / 2,
            version: cell::Cell::new(0),
            ledger: JobLedger::default(),
            started_at: now,
            acted_at: cell::Cell::new(now),
            unplanned_at: cell::Cell::new(now),
            active_faults: cell::Cell::new(0),
            failures: cell::RefCell::default(),
            calls: cell::RefCell::default(),
            platform,
        };
        cluster.register().await;
        cluster.change_manifest(1.0).await;
        let all = (0..processes).map(|node| cluster.start_process(node, EngineSettings::default()));
        futures_util::future::join_all(all).await;
        cluster
    }

    pub(crate) async fn register(&self) {
        let registered = self.workers.register(&self.platform).await;
        registered.expect("the table is up");
    }

    pub(crate) async fn change_manifest(&self, weight: f64) {
        self.version.set(self.version.get() + 1);
        let queue = |name: &str, priority: u32| {
            format!(
                r#"{{"name":"{name}","address":{{"path-prefix":"/{name}/"}},"pool":"{POOL}",
                "priority":{priority},"max-attempts":3,"stretch":1.6,"objective-ms":600,
                "is-public":false,"is-advised":false}}"#
            )
        };
        let customer = |name: &str, weight: f64| {
            format!(r#"{{"name":"{name}","keys":["key-{name}"],"weight":{weight},"limit":{{}}}}"#)
        };
        let manifest = format!(
            r#"{{"version":{},"queues":[{},{}],"customers":[{},{},{}],
            "pools":[{{"name":"{POOL}","is-standby":false,"enforces-capacity":false}}]}}"#,
            self.version.get(),
            queue("urgent", 0),
            queue("batch", 1),
            customer("a", 1.0),
            customer("b", weight),
            customer("c", 2.0),
        );
        let row = TableTransaction::default().put(RowKey::new(product::MANIFEST_KEY), manifest);
        self.platform.commit(&row).await.expect("the table is up");
    }

    /// Starts the process of a VM and waits until it is ready.
    pub(crate) async fn start_process(&self, node: usize, settings: EngineSettings) {
        let address = net::SocketAddr::from(([127, 0, 0, 1], 0));
        let listeners = EngineListeners::bind(address, address).expect("a port is free");
        let address = listeners.address().expect("it is bound");
        let platform = self.slots.borrow()[node].platform.clone();
        let workers = self.workers.clone();
        let settings = EngineSettings {
            node: format!("entry-{node}"),
            owner: OwnerSettings {
                is_small: node % 4 == 3,
                ..settings.owner
            },
            ..settings
        };
        let factory = sync::Arc::new(SoakFactory { platform, workers });
        let process = EngineProcess::start(settings, listeners, factory);
        let process = process.expect("the process starts");
        let start = {
            let slot = &mut self.slots.borrow_mut()[node];
            slot.process = Some(process);
            slot.starts += 1;
            slot.starts
        };
        while self.slots.borrow()[node].starts == start
            && self.slots.borrow()[node].process.is_some()
        {
            if CallerConnection::is_ready(address).await {
                let slot = &mut self.slots.borrow_mut()[node];
                if slot.starts == start && slot.process.is_some() {
                    slot.address = Some(address);
                }
                return;
            }
            timer::sleep(time::Duration::from_millis(50)).await;
        }
    }

    /// Stops the process of a VM; callers may use it until it is gone.
    pub(crate) async fn stop_process(&self, node: usize) -> bool {
        let process = self.slots.borrow_mut()[node].process.take();
        let Some(process) = process else {
            return false;
        };
        process.stop().await;
        self.slots.borrow_mut()[node].address = None;
        true
    }

    /// Ends the process of a VM at once.
    pub(crate) async fn kill_process(&self, node: usize) -> bool {
        let process = {
            let slot = &mut self.slots.borrow_mut()[node];
            let process = slot.process.take();
            if process.is_some() {
                slot.killed = slot.starts;
                slot.address = None;
            }
            process
        };
        let Some(process) = process else {
            return false;
        };
        process.abort().await;
        true
    }

    /// Stops all processes.
    pub(crate) async fn stop(&self) {
        let nodes = 0..self.slots.borrow().len();
        futures_util::future::join_all(nodes.map(|node| self.kill_process(node))).await;
    }

    /// Returns whether the connection's process ended by a crash.
    pub(crate) fn is_killed(&self, node: usize, start: u32) -> bool {
        self.slots.borrow()[node].killed >= start
    }

    /// Returns the processes that serve callers: VM, start and address.
    pub(crate) fn serving(&self) -> Vec<(usize, u32, net::SocketAddr)> {
        let slots = self.slots.borrow();
        let listening = slots.iter().enumerate();
        listening
            .filter_map(|(node, slot)| Some((node, slot.starts, slot.address?)))
            .collect()
    }

    /// Returns the VM of the owner, if there is one.
    pub(crate) async fn owner_node(&self) -> Option<usize> {
        let view = self.platform.scan(row::OWNER_KEY).await.ok()?;
        let record: OwnerRecord = row::read(view.rows.first()?).ok()?;
        record.node.strip_prefix("entry-")?.parse().ok()
    }

    /// Takes a usable worker out of use, if enough others remain.
    pub(crate) fn take_worker(&self, choice: u32) -> Option<(u32, WorkerId)> {
        let mut usable = self.usable.borrow_mut();
        if usable.len() <= self.min_usable {
            return None;
        }
        let number = *usable.keys().nth(choice as usize % usable.len())?;
        usable.remove_entry(&number)
    }

    pub(crate) fn return_worker(&self, number: u32) {
        self.usable.borrow_mut().insert(number, worker_id(number));
    }

    pub(crate) async fn add_worker(&self) {
        let number = self.next_worker.get();
        self.next_worker.set(number + 1);
        self.workers.add(POOL, number);
        self.register().await;
        self.return_worker(number);
    }

    /// Ends a worker and deletes its row.
    pub(crate) async fn remove_worker(&self, worker: &WorkerId) {
        self.workers.remove(worker);
        let row = TableTransaction::default().delete(product::worker_key(worker));
        self.platform.commit(&row).await.expect("the table is up");
    }

    /// Changes the table faults of one VM, or of all.
    pub(crate) fn set_table(&self, node: Option<usize>, change: impl Fn(&mut FaultPlan)) {
        for (number, slot) in self.slots.borrow().iter().enumerate() {
            if node.is_none_or(|node| node == number) {
                slot.platform.set_faults(&change);
            }
        }
    }

    pub(crate) fn set_worker_fault(&self, worker: &WorkerId, fault: WorkerFault) {
        self.workers.set_fault(worker, fault);
    }

    /// Records that something unplanned happens now.
    pub(crate) fn mark_unplanned(&self) {
        self.unplanned_at.set(timer::Instant::now());
    }

    /// Records a failure, with a trace if it is one of the first.
    pub(crate) fn fail(&self, what: &str, job: &str) {
        let at = self.started_at.elapsed();
        let mut failures = self.failures.borrow_mut();
        let trace = if failures.len() < MAX_TRACES {
            crate::check::trace(self, job)
        } else {
            String::new()
        };
        failures.push(format!("FAILURE at {at:.1?}: {what} ({job})\n{trace}"));
    }
}

fn worker_id(number: u32) -> WorkerId {
    WorkerId::new(&format!("worker-{number}"))
}
