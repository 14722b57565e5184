//! Selection of the backend server for a request.
//!
//! Slot tokens already bound what runs on a backend server, so the selection
//! only balances load: the server with the fewest running attempts of this
//! process comes first, and among equals the least recently used one.

use std::collections::{BTreeSet, HashMap};

use redwing_model::{ClassName, VmId};

use crate::outlier::WorkerHealth;
use crate::scheduler::WorkerView;

/// Maximum number of connections of all entry processes together to one backend server.
const WORKER_CONNECTIONS: usize = 64;

/// Returns how many connections each of `nodes` entry processes may open to a
/// backend server, so that all together stay within the maximum. Each may open
/// at least one, even if there are more processes than that.
pub fn connections_per_node(nodes: usize) -> usize {
    (WORKER_CONNECTIONS / nodes.max(1)).max(1)
}

/// Sort key of a backend server; the lowest is selected first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct SelectionKey {
    running: u32,
    last_use: u64,
    worker: usize,
}

/// Selection state of one backend server.
#[derive(Debug)]
struct WorkerEntry {
    view: WorkerView,
    running: u32,
    free: u32,
    last_use: u64,
    health: WorkerHealth,
    is_evacuated: bool,
    /// Whether it gets no requests for now, since it is cold.
    is_withheld: bool,
}

/// Backend servers with free slots by class, in selection order.
#[derive(Debug, Default)]
pub struct WorkerIndex {
    workers: Vec<WorkerEntry>,
    by_vm: HashMap<VmId, usize>,
    by_class: HashMap<ClassName, ClassWorkers>,
    use_count: u64,
    /// Number of backend servers of evacuated data centres.
    evacuated_total: usize,
    /// Number of attempts of this process that run on them.
    evacuated_running: usize,
}

/// Backend servers of one class.
#[derive(Debug, Default)]
struct ClassWorkers {
    order: BTreeSet<SelectionKey>,
    total: usize,
    serving: usize,
}

impl WorkerIndex {
    /// Creates an index of `workers`; `running`, `free` and `health` return for
    /// each VM the number of running attempts of this process, the number of its
    /// free slot tokens and its health, and `is_evacuated` whether its data centre is
    /// evacuated.
    pub fn new(
        workers: &[WorkerView],
        running: impl Fn(&VmId) -> u32,
        free: impl Fn(&VmId) -> u32,
        health: impl Fn(&VmId) -> WorkerHealth,
        is_evacuated: impl Fn(&VmId) -> bool,
    ) -> Self {
        let mut index = Self::default();
        for view in workers {
            index.by_vm.insert(view.vm.clone(), index.workers.len());
            let entry = WorkerEntry {
                view: view.clone(),
                running: running(&view.vm),
                free: free(&view.vm),
                last_use: 0,
                health: health(&view.vm),
                is_evacuated: is_evacuated(&view.vm),
                is_withheld: false,
            };
            for class in &view.classes {
                let class_workers = index.by_class.entry(class.clone()).or_default();
                class_workers.total += 1;
                class_workers.serving += usize::from(entry.is_serving());
            }
            index.evacuated_total += usize::from(entry.is_evacuated);
            index.evacuated_running += entry.evacuated_running();
            index.workers.push(entry);
            index.insert(index.workers.len() - 1);
        }
        index
    }

    /// Returns the backend server on `vm`.
    pub fn get(&self, vm: &VmId) -> Option<&WorkerView> {
        let worker = *self.by_vm.get(vm)?;
        Some(&self.workers[worker].view)
    }

    /// Returns the number of serving backend servers of `class`.
    pub fn serving(&self, class: &ClassName) -> usize {
        self.by_class
            .get(class)
            .map_or(0, |class_workers| class_workers.serving)
    }

    /// Returns the number of backend servers of `class`, serving or not.
    pub fn total(&self, class: &ClassName) -> usize {
        self.by_class
            .get(class)
            .map_or(0, |class_workers| class_workers.total)
    }

    /// Returns whether this process has a free slot of a backend server of `class`.
    pub fn has_free(&self, class: &ClassName) -> bool {
        self.by_class
            .get(class)
            .is_some_and(|class_workers| !class_workers.order.is_empty())
    }

    /// Returns the VMs of `class` with a free slot, in selection order.
    pub fn candidates(&self, class: &ClassName) -> impl Iterator<Item = &VmId> {
        self.by_class
            .get(class)
            .into_iter()
            .flat_map(|class_workers| &class_workers.order)
            .map(|key| &self.workers[key.worker].view.vm)
    }

    /// Returns the first VM in selection order for a request of `class` that
    /// was already tried on `tried`.
    ///
    /// A VM in `tried` is chosen only if no other backend server of the class is serving.
    pub fn choose(&self, class: &ClassName, tried: &[VmId]) -> Option<&VmId> {
        let untried = self.candidates(class).find(|vm| !tried.contains(vm));
        if untried.is_some() || tried.len() < self.serving(class) {
            return untried;
        }
        self.candidates(class).next()
    }

    /// Records that an attempt started on `vm`.
    pub fn start(&mut self, vm: &VmId) {
        self.use_count += 1;
        let use_count = self.use_count;
        self.update(vm, |entry| {
            entry.running += 1;
            entry.last_use = use_count;
        });
    }

    /// Records that an attempt on `vm` ended.
    pub fn stop(&mut self, vm: &VmId) {
        self.update(vm, |entry| entry.running = entry.running.saturating_sub(1));
    }

    /// Sets the number of free slot tokens of `vm` at this process.
    pub fn set_free(&mut self, vm: &VmId, free: u32) {
        self.update(vm, |entry| entry.free = free);
    }

    /// Sets the health of the backend server on `vm`.
    pub fn set_health(&mut self, vm: &VmId, health: WorkerHealth) {
        self.update(vm, |entry| entry.health = health);
    }

    /// Sets whether the data centre of `vm` is evacuated.
    pub fn set_evacuated(&mut self, vm: &VmId, is_evacuated: bool) {
        let Some(&worker) = self.by_vm.get(vm) else {
            return;
        };
        let before = &self.workers[worker];
        let was_serving = before.is_serving();
        self.evacuated_total -= usize::from(before.is_evacuated);
        self.update(vm, |entry| entry.is_evacuated = is_evacuated);
        let entry = &self.workers[worker];
        self.evacuated_total += usize::from(is_evacuated);
        for class in &entry.view.classes {
            if let Some(class_workers) = self.by_class.get_mut(class) {
                let others = class_workers.serving - usize::from(was_serving);
                class_workers.serving = others + usize::from(entry.is_serving());
            }
        }
    }

    /// Sets whether the backend server on `vm` gets no requests for now, although it serves.
    pub fn set_withheld(&mut self, vm: &VmId, is_withheld: bool) {
        let is_same = |index: &usize| self.workers[*index].is_withheld == is_withheld;
        if !self.by_vm.get(vm).is_some_and(is_same) {
            self.update(vm, |entry| entry.is_withheld = is_withheld);
        }
    }

    /// Returns the classes for which the backend server on `vm` serves.
    pub fn serving_classes(&self, vm: &VmId) -> &[ClassName] {
        let entry = self.by_vm.get(vm).map(|index| &self.workers[*index]);
        let serving = entry.filter(|entry| entry.is_serving());
        serving.map_or(&[], |entry| &entry.view.classes)
    }

    /// Returns the number of backend servers of evacuated data centres.
    pub fn evacuated_total(&self) -> usize {
        self.evacuated_total
    }

    /// Returns the number of attempts of this process that run in evacuated data centres.
    pub fn evacuated_running(&self) -> usize {
        self.evacuated_running
    }

    fn update(&mut self, vm: &VmId, change: impl FnOnce(&mut WorkerEntry)) {
        let Some(&worker) = self.by_vm.get(vm) else {
            return;
        };
        let entry = &self.workers[worker];
        if entry.is_eligible() {
            let key = entry.key(worker);
            for class in &entry.view.classes {
                if let Some(class_workers) = self.by_class.get_mut(class) {
                    class_workers.order.remove(&key);
                }
            }
        }
        self.evacuated_running -= entry.evacuated_running();
        change(&mut self.workers[worker]);
        self.evacuated_running += self.workers[worker].evacuated_running();
        self.insert(worker);
    }

    fn insert(&mut self, worker: usize) {
        let entry = &self.workers[worker];
        if !entry.is_eligible() {
            return;
        }
        let key = entry.key(worker);
        for class in &entry.view.classes {
            if let Some(class_workers) = self.by_class.get_mut(class) {
                class_workers.order.insert(key);
            }
        }
    }
}

impl WorkerEntry {
    /// Returns whether the backend server may get new requests.
    fn is_serving(&self) -> bool {
        self.view.serving && !self.is_evacuated
    }

    fn is_eligible(&self) -> bool {
        let allowed = match self.health {
            WorkerHealth::Healthy => true,
            WorkerHealth::Probing => self.running == 0,
            WorkerHealth::Ejected(_) => false,
        };
        allowed && self.free > 0 && self.is_serving() && !self.is_withheld
    }

    /// Returns the number of running attempts, if the data centre is evacuated.
    fn evacuated_running(&self) -> usize {
        if self.is_evacuated {
            return self.running as usize;
        }
        0
    }

    fn key(&self, worker: usize) -> SelectionKey {
        SelectionKey {
            running: self.running,
            last_use: self.last_use,
            worker,
        }
    }
}
