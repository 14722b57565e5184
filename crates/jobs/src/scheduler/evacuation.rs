//! Evacuation of data centres: nothing starts on their workers, and their long-running
//! tasks move elsewhere.
//!
//! Load pattern: a third of the fleet or more is evacuated while all of it is in use, by
//! owners that may end or be paused at any time. Starts that are not sent are taken back
//! at once. What is left to do follows from where runs are, so a new owner goes on with
//! it.

use std::collections::{BTreeMap, BTreeSet};
use std::mem;
use std::sync;
use std::time;

use crate::evacuation::EvacuationProgress;
use crate::name::{DataCentre, JobId, PoolName, TaskId, WorkerId};
use crate::spec::StepSpec;
use crate::time::BootTime;
use crate::worker::{OrderAction, OrderOutcome, OrderResponse, WorkerOrder};

use super::advice::StepId;
use super::candidate::{self, PlacementCandidate};
use super::entry::{RunLocation, TaskPhase};
use super::fleet::WorkerEntry;
use super::starting;
use super::{JobScheduler, SchedulerEvent};

/// Time between two counts of the runs in evacuated data centres.
const COUNT_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Time between two looks at the long-running tasks on evacuated workers.
const EVICTION_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Progress of evacuations, and what operators were told of them.
#[derive(Clone, Debug, Default)]
pub(super) struct EvacuationTracker {
    /// Latest counts, by data centre.
    progress: BTreeMap<DataCentre, EvacuationProgress>,
    counted_at: BootTime,
    /// Data centres whose runs have all ended.
    drained: BTreeSet<DataCentre>,
    /// Whether starts wait because the operators' rows were read too long ago.
    is_withholding: bool,
    /// When long-running tasks on evacuated workers were last looked at.
    evicted_at: BootTime,
    /// Number of these that fit on no other worker, by pool.
    displaced: BTreeMap<PoolName, u64>,
}

/// Long-running tasks of a pool on evacuated workers.
#[derive(Clone, Debug, Default)]
struct PoolEviction {
    running: Vec<TaskId>,
    /// Tasks that have been stopped or are being so; they need capacity elsewhere as well.
    stopped: Vec<TaskId>,
}

impl JobScheduler {
    /// Sets the evacuated data centres; to be called before an owner's first order, and
    /// with each read of the operators' rows.
    ///
    /// Starts that are not sent yet are taken back, and their tasks wait again.
    pub fn set_evacuations(&mut self, evacuations: &BTreeSet<DataCentre>, now: BootTime) {
        if **self.start_guard.evacuations() == *evacuations {
            return;
        }
        let evacuations = sync::Arc::new(evacuations.clone());
        self.start_guard
            .set_evacuations(sync::Arc::clone(&evacuations));
        self.fleet.set_evacuations(evacuations);
        self.free_reserved();
        self.take_back_orders(now);
        self.waiting.mark_all_changed();
        self.count_evacuations(now);
    }

    /// Records when the latest read of the operators' rows was sent.
    pub fn confirm_evacuations(&mut self, confirmed_at: BootTime) {
        self.start_guard.set_confirmed(confirmed_at);
    }

    /// Returns the progress of each evacuation as counted last; empty while the rows of
    /// earlier owners are read.
    pub fn evacuation_progress(&self) -> &BTreeMap<DataCentre, EvacuationProgress> {
        &self.evacuation.progress
    }

    /// Returns whether a worker may get new tasks now.
    pub(super) fn may_start_on(&self, entry: &WorkerEntry, now: BootTime) -> bool {
        entry.is_usable(now) && self.start_guard.permits(entry.data_centre(), now)
    }

    /// Frees the tasks on evacuated workers whose rows are not stored, with the other
    /// members of their gangs.
    fn free_reserved(&mut self) {
        let tasks = self.fleet.evacuated();
        let tasks = tasks.flat_map(|(_, entry)| entry.reservations.keys());
        let reserved = tasks.filter(|task| self.is_reserved(task));
        let reserved: Vec<TaskId> = reserved.cloned().collect();
        for task in reserved {
            for member in self.gang_members(&task) {
                if self.is_reserved(&member) {
                    self.free_task(&member);
                }
            }
        }
    }

    fn is_reserved(&self, task: &TaskId) -> bool {
        let phase = self.task(task).map(|entry| &entry.phase);
        matches!(phase, Some(TaskPhase::Reserved(_)))
    }

    /// Takes the start orders back that are still here and go to evacuated workers.
    fn take_back_orders(&mut self, now: BootTime) {
        let orders = mem::take(&mut self.orders).into_iter();
        let (withdrawn, kept) = orders.partition(|order| self.is_withdrawn(order));
        self.orders = kept;
        let withdrawn: Vec<WorkerOrder> = withdrawn;
        for order in &withdrawn {
            self.take_back(order, now);
        }
    }

    /// Returns whether an order starts a run in an evacuated data centre.
    pub fn is_withdrawn(&self, order: &WorkerOrder) -> bool {
        let is_start = matches!(order.action, OrderAction::Start { .. });
        is_start && self.start_guard.is_evacuated(order.data_centre.as_ref())
    }

    /// Handles that a start order is not sent: its task waits again.
    pub fn take_back(&mut self, order: &WorkerOrder, now: BootTime) {
        if matches!(order.action, OrderAction::Start { .. }) {
            let response = OrderResponse {
                outcome: OrderOutcome::Unsent,
                clock_ms: None,
            };
            self.handle_order_response(order, &response, now);
        }
    }

    /// Counts the runs that are left, and tells operators whether starts wait for their
    /// rows to be read; to be called with each tick.
    pub(super) fn track_evacuations(&mut self, now: BootTime) {
        if self.is_restoring {
            return;
        }
        let has_evacuations = !self.start_guard.evacuations().is_empty();
        let elapsed = now.saturating_since(self.evacuation.counted_at);
        if has_evacuations && elapsed >= COUNT_INTERVAL {
            self.count_evacuations(now);
        }
        let is_withholding = !self.start_guard.is_current(now);
        if is_withholding != self.evacuation.is_withholding {
            self.evacuation.is_withholding = is_withholding;
            self.events
                .push(SchedulerEvent::StartsWithheld { is_withholding });
        }
    }

    /// Counts the runs that are left, and tells operators which evacuations have begun or
    /// ended and which data centres have none.
    pub(super) fn count_evacuations(&mut self, now: BootTime) {
        if self.is_restoring {
            // What runs is not known yet.
            return;
        }
        self.evacuation.counted_at = now;
        let evacuations = sync::Arc::clone(self.start_guard.evacuations());
        let previous = mem::take(&mut self.evacuation.progress);
        let ended = previous.keys().filter(|name| !evacuations.contains(*name));
        let names = ended.chain(evacuations.iter());
        for (name, progress) in self.evacuation_counts(names) {
            let is_evacuated = evacuations.contains(&name);
            if is_evacuated != previous.contains_key(&name) {
                self.events.push(SchedulerEvent::EvacuationChanged {
                    data_centre: name.clone(),
                    is_evacuated,
                    progress,
                });
            }
            self.note_drained(&name, is_evacuated, progress.runs);
            if is_evacuated {
                self.evacuation.progress.insert(name, progress);
            }
        }
    }

    fn note_drained(&mut self, name: &DataCentre, is_evacuated: bool, runs: u32) {
        if !is_evacuated || runs > 0 {
            self.evacuation.drained.remove(name);
        } else if self.evacuation.drained.insert(name.clone()) {
            let data_centre = name.clone();
            self.events
                .push(SchedulerEvent::EvacuationDrained { data_centre });
        }
    }

    /// Counts the workers of data centres and their runs.
    fn evacuation_counts<'a>(
        &self,
        names: impl Iterator<Item = &'a DataCentre>,
    ) -> BTreeMap<DataCentre, EvacuationProgress> {
        let counts = names.map(|name| (name.clone(), EvacuationProgress::default()));
        let mut counts: BTreeMap<DataCentre, EvacuationProgress> = counts.collect();
        if counts.is_empty() {
            return counts;
        }
        for (id, entry) in self.fleet.iter() {
            let data_centre = entry.data_centre();
            let Some(progress) = data_centre.and_then(|name| counts.get_mut(name)) else {
                continue;
            };
            let tasks = entry.reservations.keys();
            let unconfirmed = tasks.filter(|task| self.may_start_later(task, id));
            progress.workers += u32::from(entry.is_listed);
            progress.runs += entry.reservations.len() as u32;
            progress.unconfirmed += unconfirmed.count() as u32;
        }
        counts
    }

    /// Returns whether a run on a worker may not have started yet: its start has no response
    /// or was ordered by an earlier owner, and no stop of it is accepted.
    fn may_start_later(&self, task: &TaskId, worker: &WorkerId) -> bool {
        let phase = self.task(task).map(|entry| &entry.phase);
        let is_here = |location: &RunLocation| location.worker == *worker;
        match phase {
            Some(TaskPhase::Ordered(location)) => is_here(location),
            Some(TaskPhase::Running(location, run)) => is_here(location) && !run.is_reported,
            Some(TaskPhase::Stopping(location, stop)) => {
                is_here(location) && stop.accepted_at.is_none()
            }
            _ => false,
        }
    }

    /// Stops long-running tasks on evacuated workers, as far as the budgets of their steps
    /// allow and other workers have capacity for them now. The others run on, and count
    /// as demand; to be called with each tick.
    pub(super) fn evict_from_evacuated(&mut self, now: BootTime) {
        if now.saturating_since(self.evacuation.evicted_at) < EVICTION_INTERVAL {
            return;
        }
        self.evacuation.evicted_at = now;
        self.evacuation.displaced.clear();
        for (pool, eviction) in self.evictions() {
            let mut candidates = self.candidates(&pool, now);
            let displaced = self.evict_in_pool(eviction, &mut candidates, now);
            self.evacuation.displaced.insert(pool, displaced);
        }
    }

    /// Returns the number of long-running tasks that are to leave evacuated workers and
    /// fit on no other, by pool.
    pub(super) fn displaced_by_evacuation(&self) -> &BTreeMap<PoolName, u64> {
        &self.evacuation.displaced
    }

    /// Returns the long-running tasks on evacuated workers, by pool and in their order.
    fn evictions(&self) -> BTreeMap<PoolName, PoolEviction> {
        let mut evictions: BTreeMap<PoolName, PoolEviction> = BTreeMap::new();
        let workers = self.fleet.evacuated();
        for (id, entry) in workers.filter(|(_, entry)| entry.long_running_count > 0) {
            for (task, held) in &entry.reservations {
                let job = self.jobs.get(&task.job);
                let Some(job) = job.filter(|_| self.is_current(task, held.run, id)) else {
                    continue;
                };
                if !held.is_long_running {
                    continue;
                }
                let eviction = evictions.entry(self.pool_of(job).clone()).or_default();
                match self.task(task).map(|entry| &entry.phase) {
                    Some(TaskPhase::Running(..)) => eviction.running.push(task.clone()),
                    Some(TaskPhase::Stopping(..)) => eviction.stopped.push(task.clone()),
                    _ => {}
                }
            }
        }
        if evictions.is_empty() {
            return evictions;
        }
        let waiting = self.waiting.iter();
        for (id, entry) in waiting.filter(|(_, entry)| !entry.rank.is_finite) {
            if let Some(eviction) = evictions.get_mut(&entry.pool) {
                eviction.stopped.extend(self.waiting_long_running(id));
            }
        }
        for eviction in evictions.values_mut() {
            eviction.running.sort();
            eviction.stopped.sort();
        }
        evictions
    }

    /// Returns the long-running tasks of a job that are placed as soon as they fit.
    fn waiting_long_running(&self, id: &JobId) -> Vec<TaskId> {
        let Some(job) = self.jobs.get(id).filter(|_| !self.is_advised(id)) else {
            return Vec::new();
        };
        let tasks = job
            .tasks(id)
            .filter(|(_, entry)| entry.phase == TaskPhase::Idle);
        let tasks = tasks.filter(|(task, _)| {
            let spec = self.step_spec(task);
            spec.is_some_and(|spec| spec.long_running && self.within_limit(task, spec, 1))
        });
        tasks.map(|(task, _)| task).collect()
    }

    /// Returns the number of tasks that fit on no other worker.
    fn evict_in_pool(
        &mut self,
        eviction: PoolEviction,
        candidates: &mut [PlacementCandidate],
        now: BootTime,
    ) -> u64 {
        let mut displaced = 0;
        // Other tasks of these steps fit nowhere either.
        let mut unplaced: BTreeSet<StepId> = BTreeSet::new();
        let mut claimed_gangs: BTreeSet<StepId> = BTreeSet::new();
        for task in &eviction.stopped {
            let step = starting::step_of(task);
            let spec = self.step_spec(task).filter(|spec| {
                let is_claimed = spec.gang && !claimed_gangs.insert(step.clone());
                !is_claimed && !unplaced.contains(&step)
            });
            if spec.is_some_and(|spec| !self.claim(task, spec, candidates)) {
                unplaced.insert(step);
            }
        }
        for task in eviction.running {
            let Some(spec) = self.step_spec(&task).cloned() else {
                continue;
            };
            if !self.may_evict(&task, &spec) {
                continue;
            }
            let step = starting::step_of(&task);
            let has_capacity =
                !unplaced.contains(&step) && self.claim_permitted(&task, &spec, candidates, now);
            if !has_capacity {
                unplaced.insert(step);
                displaced += 1;
                continue;
            }
            for member in self.gang_members(&task) {
                self.stop_task(&member, now);
            }
        }
        displaced
    }

    /// Claims capacity as [`JobScheduler::claim`] does, only of workers that the advisor
    /// permits if the queue is advised; permits are requested if there are too few.
    fn claim_permitted(
        &mut self,
        task: &TaskId,
        spec: &StepSpec,
        candidates: &mut [PlacementCandidate],
        now: BootTime,
    ) -> bool {
        if !self.is_advised(&task.job) {
            return self.claim(task, spec, candidates);
        }
        let step = starting::step_of(task);
        self.exclude_unpermitted(&step, candidates, now);
        let is_claimed = self.claim(task, spec, candidates);
        candidate::include_all(candidates);
        if !is_claimed {
            self.request_advice(&step, candidates, now);
        }
        is_claimed
    }

    /// Returns whether a task may be unavailable for a while; all members of a gang are
    /// so together.
    fn may_evict(&self, task: &TaskId, spec: &StepSpec) -> bool {
        let is_running = matches!(
            self.task(task).map(|entry| &entry.phase),
            Some(TaskPhase::Running(..))
        );
        let allows_gang = spec
            .max_unavailable
            .is_none_or(|budget| budget >= spec.count);
        is_running && self.may_interrupt(task) && (!spec.gang || allows_gang)
    }

    /// Claims capacity of the candidates for a task that runs elsewhere, with the other
    /// members of its gang; returns whether there is enough.
    fn claim(&self, task: &TaskId, spec: &StepSpec, candidates: &mut [PlacementCandidate]) -> bool {
        let chosen = if spec.gang {
            self.choose_for_gang(&self.gang_members(task), spec, candidates)
        } else {
            let position = self.choose_candidate(task, spec, candidates);
            position.map(|position| vec![position])
        };
        let Some(chosen) = chosen else {
            return false;
        };
        for (position, _) in chosen {
            candidates[position].claim(&spec.reserved());
        }
        true
    }
}
