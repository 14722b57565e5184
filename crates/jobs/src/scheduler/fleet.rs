//! Workers, their free capacity and their leases.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::mem;
use std::net;
use std::sync;
use std::time;

use crate::block::{WorkerBlock, WorkerBlocks};
use crate::feasibility::FleetCapacity;
use crate::name::{DataCentre, JobId, PoolName, TaskId, WorkerId};
use crate::spec::ResourceAmount;
use crate::time::BootTime;
use crate::worker::WorkerView;

use super::clock_reading::ClockReading;
use super::confirmation::StartResponse;
use super::entry::StartCaution;

/// Whether a worker responds to this owner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum ContactState {
    /// It has not responded to this owner yet.
    #[default]
    Unconfirmed,
    /// It responded to the latest lease renewal.
    Responsive,
    /// It did not respond to the latest lease renewal.
    Unresponsive,
}

/// Capacity that a run reserves on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct RunReservation {
    pub(super) run: u32,
    pub(super) reserved: ResourceAmount,
    /// Whether its task runs until its job is cancelled.
    pub(super) is_long_running: bool,
    /// What it is kept apart from.
    pub(super) caution: StartCaution,
    /// Whether the latest report proves that it is not in progress. It has ended or was lost;
    /// a later report shows which, since only the earliest ended runs are listed.
    pub(super) is_over: bool,
    /// Response to the order that started it.
    pub(super) response: StartResponse,
    /// Stop of the run, if it belongs to no task any more.
    pub(super) orphan_stop: Option<OrphanStop>,
}

/// Stop of a run that belongs to no task any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct OrphanStop {
    pub(super) ordered_at: BootTime,
    pub(super) accepted_at: Option<BootTime>,
}

/// Ended run that the worker lists and that is not acknowledged yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct UnacknowledgedRun {
    pub(super) number: u64,
    /// Job whose row must be stored first, if any.
    pub(super) job: Option<JobId>,
}

/// Worker with its lease, reservations and ended runs.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkerEntry {
    /// The platform's entry; none if only stored rows name the worker.
    pub(super) view: Option<WorkerView>,
    pub(super) is_listed: bool,
    /// Whether its entry could not be read when it was last listed.
    pub(super) is_refused: bool,
    /// Incarnation of the worker: its start, in milliseconds since the Unix epoch.
    pub(super) incarnation: u64,
    /// Latest incarnations that it has replaced.
    pub(super) earlier_incarnations: VecDeque<u64>,
    /// Entry of another incarnation, of which it is not known yet whether it is a later one.
    pub(super) unplaced_view: Option<WorkerView>,
    /// Session with that incarnation, in the order of their beginnings.
    pub(super) session: u64,
    /// Until when orders for earlier incarnations may have been sent; none if there were none.
    pub(super) earlier_orders_until: Option<BootTime>,
    /// When the leases have expired that this incarnation may hold and that last longer than
    /// those of orders on time.
    pub(super) late_lease_until: BootTime,
    /// When the longest lease has expired that this incarnation may have taken with a start
    /// for an earlier one.
    pub(super) late_start_until: BootTime,
    /// When the lease has expired that an incarnation may hold that earlier owners did not know
    /// of; the first response to this owner ends this.
    pub(super) unconfirmed_until: BootTime,
    pub(super) contact: ContactState,
    /// When this incarnation first responded to this owner; from then on it rejects
    /// the orders of earlier owners.
    pub(super) contacted_at: Option<BootTime>,
    /// Since when it is listed without interruption, as far as this owner knows.
    pub(super) listed_since: BootTime,
    /// When it stopped responding; none while it responds, or if it never did.
    pub(super) silent_since: Option<BootTime>,
    /// When the order was issued that another worker at its address has rejected.
    pub(super) refused_at: Option<BootTime>,
    /// When the renewal of the latest report was sent.
    pub(super) reported_at: BootTime,
    /// When the latest report arrived.
    pub(super) report_read_at: BootTime,
    pub(super) clock: Option<ClockReading>,
    /// When the leases of orders on time have expired, by our clock.
    pub(super) lease_until: BootTime,
    /// When a start there was last left without a response.
    pub(super) unanswered_at: Option<BootTime>,
    /// When the order was sent that granted the latest lease.
    pub(super) leased_at: Option<BootTime>,
    /// Since when runs wait for the end of these leases; none while the worker responds.
    pub(super) awaited_since: Option<BootTime>,
    /// When the pending lease renewal was sent.
    pub(super) renewal_sent_at: Option<BootTime>,
    pub(super) next_renewal: BootTime,
    /// Ended runs up to this number are stored.
    pub(super) acknowledged_number: u64,
    /// Lowest number of the ended runs in the latest report; none if it listed none.
    pub(super) first_listed_end: Option<u64>,
    /// Ended runs up to this number were applied.
    pub(super) applied_number: u64,
    pub(super) unacknowledged: VecDeque<UnacknowledgedRun>,
    pub(super) reservations: HashMap<TaskId, RunReservation>,
    /// Sum of all reservations.
    pub(super) used: ResourceAmount,
    /// Number of reservations of long-running tasks.
    pub(super) long_running_count: u32,
    /// Processor that these reserve, in thousandths of a core.
    pub(super) long_running_cpu_millis: u64,
    /// Number of reservations of tasks under which workers crashed.
    pub(super) suspect_count: u32,
    /// Number of these that are isolated.
    pub(super) isolated_count: u32,
    /// Until when it gets no new tasks, so that it becomes vacant for isolated ones.
    pub(super) vacated_until: BootTime,
    /// Failed runs since the latest completed one.
    pub(super) consecutive_failures: u32,
    /// Ended runs up to this number are counted in it.
    pub(super) counted_number: u64,
    /// Starts that it rejected as invalid since the latest one that it accepted.
    pub(super) rejected_starts: u32,
    pub(super) unhealthy_until: BootTime,
    /// Share of processor time that best-effort tasks may use, from 0 to 100.
    pub(super) best_effort_percent: u32,
    /// Whether all best-effort runs on the worker have that share; runs that an earlier
    /// owner started may have another.
    pub(super) is_share_known: bool,
    /// When that share last changed.
    pub(super) paced_at: BootTime,
    /// When it was last sent.
    pub(super) share_sent_at: BootTime,
    /// Until when it is sent again: an order had no response.
    pub(super) repeats_share_until: BootTime,
    /// Block for what is planned for its machine, if any.
    pub(super) block: Option<WorkerBlock>,
    /// Whether its machine was taken from under this incarnation.
    pub(super) is_removed: bool,
    /// Whether its data centre is evacuated.
    pub(super) is_evacuated: bool,
}

impl WorkerEntry {
    pub(super) fn address(&self) -> Option<net::SocketAddr> {
        self.view.as_ref().map(|view| view.address)
    }

    /// Returns the data centre of the worker, if known.
    pub(super) fn data_centre(&self) -> Option<&DataCentre> {
        self.view.as_ref()?.data_centre.as_ref()
    }

    fn update_evacuated(&mut self, evacuations: &BTreeSet<DataCentre>) {
        let data_centre = self.data_centre();
        self.is_evacuated = data_centre.is_some_and(|name| evacuations.contains(name));
    }

    /// Returns whether the present incarnation gets no new tasks because of its machine.
    pub(super) fn is_blocked(&self) -> bool {
        let block = self.block;
        self.is_removed || block.is_some_and(|block| block.includes(self.incarnation))
    }

    /// Returns whether nothing more is expected of the worker: it is no longer listed, has no
    /// runs, and, if it responds, nothing to acknowledge.
    pub(super) fn has_left(&self, now: BootTime) -> bool {
        let is_settled = self.unacknowledged.is_empty() && self.unhealthy_until <= now;
        let is_silent = self.contact != ContactState::Responsive;
        !self.is_listed && self.reservations.is_empty() && (is_silent || is_settled)
    }

    /// Returns whether the worker accepts no new tasks because it is about to leave.
    pub(super) fn is_draining(&self) -> bool {
        self.view.as_ref().is_some_and(|view| view.is_draining)
    }

    /// Returns whether the platform's entry describes the present incarnation: another one
    /// may be of a different kind.
    pub(super) fn is_view_current(&self) -> bool {
        let view = self.view.as_ref();
        view.is_some_and(|view| view.incarnation == self.incarnation)
    }

    /// Returns whether the worker may get new tasks.
    pub(super) fn is_usable(&self, now: BootTime) -> bool {
        self.is_listed
            && !self.is_refused
            && self.is_view_current()
            && !self.is_draining()
            && !self.is_blocked()
            && !self.is_evacuated
            && self.contact == ContactState::Responsive
            && self.clock.is_some()
            && self.unhealthy_until <= now
    }

    /// Returns whether the worker belongs to a pool and new tasks on it are not blocked.
    pub(super) fn is_open_in(&self, pool: &PoolName) -> bool {
        let view = self.view.as_ref();
        let is_open = view.is_some_and(|view| view.pool == *pool && !view.is_draining);
        is_open && self.is_listed && !self.is_refused && !self.is_blocked() && !self.is_evacuated
    }

    /// Returns whether the latest report lists no run that an earlier owner has
    /// ordered to stop, given the longest time that a stop may take.
    pub(super) fn has_settled(&self, stop_timeout: time::Duration) -> bool {
        self.contacted_at
            .is_some_and(|contacted_at| self.reported_at >= contacted_at + stop_timeout)
    }

    /// Returns the number up to which the next renewal acknowledges ended runs. It names one
    /// only while the worker lists such runs, as a report of at most `max_age` shows: under an
    /// incarnation that the owner does not know of, other runs have these numbers.
    pub(super) fn acknowledgement(&self, now: BootTime, max_age: time::Duration) -> u64 {
        let is_recent = now.saturating_since(self.reported_at) <= max_age;
        let is_confirmed = is_recent && self.contact == ContactState::Responsive;
        let first = self.first_listed_end.filter(|_| is_confirmed);
        let is_listed = first.is_some_and(|first| first <= self.acknowledged_number);
        if is_listed {
            self.acknowledged_number
        } else {
            0
        }
    }

    /// Returns the capacity that is not reserved.
    pub(super) fn free_capacity(&self) -> ResourceAmount {
        let capacity = self.view.as_ref().map(|view| view.capacity);
        capacity.unwrap_or_default().saturating_sub(&self.used)
    }

    /// Returns whether the reservations need more than the worker has: it has shrunk.
    pub(super) fn is_overcommitted(&self) -> bool {
        let capacity = self.view.as_ref().map(|view| view.capacity);
        !self.used.fits_in(&capacity.unwrap_or_default())
    }

    pub(super) fn reserve(&mut self, task: TaskId, reservation: RunReservation) {
        self.used += reservation.reserved;
        if reservation.is_long_running {
            self.long_running_count += 1;
            self.long_running_cpu_millis += reservation.reserved.cpu_millis;
        }
        self.suspect_count += u32::from(reservation.caution != StartCaution::None);
        self.isolated_count += u32::from(reservation.caution == StartCaution::Isolated);
        if let Some(replaced) = self.reservations.insert(task, reservation) {
            self.subtract(&replaced);
        }
    }

    /// Sets what the run of a task is kept apart from.
    pub(super) fn set_caution(&mut self, task: &TaskId, caution: StartCaution) {
        if let Some(reservation) = self.reservations.get(task).copied() {
            let reservation = RunReservation {
                caution,
                ..reservation
            };
            self.reserve(task.clone(), reservation);
        }
    }

    /// Records whether the latest report proves that the run of a task is not in progress.
    pub(super) fn set_over(&mut self, task: &TaskId, is_over: bool) {
        if let Some(reservation) = self.reservations.get_mut(task) {
            reservation.is_over = is_over;
        }
    }

    /// Returns whether the latest report proves that the run of a task is not in progress.
    pub(super) fn is_over(&self, task: &TaskId) -> bool {
        let reservation = self.reservations.get(task);
        reservation.is_some_and(|held| held.is_over)
    }

    /// Returns the jobs of its runs under whose tasks workers crashed.
    pub(super) fn suspect_jobs(&self) -> BTreeSet<JobId> {
        // Most workers have none.
        let runs = (self.suspect_count > 0).then_some(&self.reservations);
        let runs = runs.into_iter().flatten();
        let suspects = runs.filter(|(_, held)| held.caution != StartCaution::None);
        suspects.map(|(task, _)| task.job.clone()).collect()
    }

    /// Returns the job whose isolated tasks the worker runs, if any.
    pub(super) fn isolated_job(&self) -> Option<&JobId> {
        // Most workers have none.
        let runs = (self.isolated_count > 0).then_some(&self.reservations);
        let mut runs = runs.into_iter().flatten();
        let isolated = runs.find(|(_, held)| held.caution == StartCaution::Isolated);
        isolated.map(|(task, _)| &task.job)
    }

    fn subtract(&mut self, removed: &RunReservation) {
        self.used -= removed.reserved;
        if removed.is_long_running {
            self.long_running_count -= 1;
            self.long_running_cpu_millis -= removed.reserved.cpu_millis;
        }
        self.suspect_count -= u32::from(removed.caution != StartCaution::None);
        self.isolated_count -= u32::from(removed.caution == StartCaution::Isolated);
    }

    /// Releases the reservation of a run; returns whether there was one.
    pub(super) fn release(&mut self, task: &TaskId, run: u32) -> bool {
        let is_same = self
            .reservations
            .get(task)
            .is_some_and(|entry| entry.run == run);
        if is_same && let Some(reservation) = self.reservations.remove(task) {
            self.subtract(&reservation);
        }
        is_same
    }

    /// Returns until when the worker may hold a lease.
    pub(super) fn leases_until(&self) -> BootTime {
        self.lease_until
            .max(self.late_lease_until)
            .max(self.late_start_until)
            .max(self.unconfirmed_until)
    }

    /// Records that an order sent now grants a lease, which ends at most `lease` later.
    pub(super) fn extend_lease(&mut self, now: BootTime, lease: time::Duration) {
        self.leased_at = Some(now);
        self.lease_until = self.lease_until.max(now + lease);
    }

    /// Resets the entry for a new incarnation; returns the runs of the previous one,
    /// none of which is left.
    fn begin_incarnation(&mut self, incarnation: u64) -> Vec<(TaskId, RunReservation)> {
        self.incarnation = incarnation;
        self.earlier_incarnations
            .retain(|earlier| *earlier != incarnation);
        self.acknowledged_number = 0;
        self.first_listed_end = None;
        self.applied_number = 0;
        self.unacknowledged.clear();
        self.clock = None;
        self.contact = ContactState::Unconfirmed;
        self.contacted_at = None;
        self.late_lease_until = BootTime::default();
        self.late_start_until = BootTime::default();
        self.unconfirmed_until = BootTime::default();
        self.silent_since = None;
        self.refused_at = None;
        self.is_removed = false;
        self.awaited_since = None;
        // The response to a renewal that is under way is that of the previous one.
        self.renewal_sent_at = None;
        self.next_renewal = BootTime::default();
        self.consecutive_failures = 0;
        self.counted_number = 0;
        self.rejected_starts = 0;
        self.unhealthy_until = BootTime::default();
        self.best_effort_percent = 100;
        self.is_share_known = true;
        self.repeats_share_until = BootTime::default();
        self.used = ResourceAmount::default();
        self.long_running_count = 0;
        self.long_running_cpu_millis = 0;
        self.suspect_count = 0;
        self.isolated_count = 0;
        self.vacated_until = BootTime::default();
        self.reservations.drain().collect()
    }
}

/// All workers that are listed or may run something.
#[derive(Debug, Default)]
pub(super) struct WorkerFleet {
    workers: HashMap<WorkerId, WorkerEntry>,
    /// Workers of each pool, by their latest view.
    pools: HashMap<PoolName, BTreeSet<WorkerId>>,
    /// Data centres that are evacuated.
    evacuations: sync::Arc<BTreeSet<DataCentre>>,
    /// Blocks of workers, also of those that are not listed.
    blocks: WorkerBlocks,
    /// Number of sessions so far that are not the first one with their worker.
    sessions: u64,
    /// Workers without an entry, with the time of its removal.
    removed: HashMap<WorkerId, BootTime>,
}

impl WorkerFleet {
    pub(super) fn get(&self, id: &WorkerId) -> Option<&WorkerEntry> {
        self.workers.get(id)
    }

    pub(super) fn get_mut(&mut self, id: &WorkerId) -> Option<&mut WorkerEntry> {
        self.workers.get_mut(id)
    }

    /// Adds a worker, with which a new session begins if it has had an entry before.
    pub(super) fn insert(&mut self, id: WorkerId, mut entry: WorkerEntry) {
        if let Some(removed_at) = self.removed.remove(&id) {
            self.sessions += 1;
            entry.earlier_orders_until = entry.earlier_orders_until.max(Some(removed_at));
        }
        entry.update_evacuated(&self.evacuations);
        entry.block = self.blocks.get(&id);
        entry.session = self.sessions;
        if let Some(view) = &entry.view {
            self.add_to_pool(&view.pool.clone(), &id);
        }
        self.workers.insert(id, entry);
    }

    /// Resets the entry of a worker for a new incarnation, with which a new session begins;
    /// returns the runs of the previous one.
    pub(super) fn begin_incarnation(
        &mut self,
        id: &WorkerId,
        incarnation: u64,
        now: BootTime,
    ) -> Vec<(TaskId, RunReservation)> {
        let Some(entry) = self.workers.get_mut(id) else {
            return Vec::new();
        };
        self.sessions += 1;
        entry.session = self.sessions;
        entry.earlier_orders_until = Some(now);
        let dropped = entry.begin_incarnation(incarnation);
        let is_listed = |view: &WorkerView| view.incarnation == incarnation;
        if let Some(view) = entry.unplaced_view.take().filter(is_listed) {
            self.set_view(id, view);
        }
        dropped
    }

    /// Replaces the platform's entry of a worker.
    pub(super) fn set_view(&mut self, id: &WorkerId, view: WorkerView) {
        let Some(entry) = self.workers.get_mut(id) else {
            return;
        };
        let pool = view.pool.clone();
        let previous = entry.view.replace(view);
        entry.update_evacuated(&self.evacuations);
        let has_moved = previous.as_ref().is_none_or(|view| view.pool != pool);
        if has_moved {
            if let Some(previous) = previous {
                self.remove_from_pool(&previous.pool, id);
            }
            self.add_to_pool(&pool, id);
        }
    }

    /// Sets the data centres that are evacuated.
    pub(super) fn set_evacuations(&mut self, evacuations: sync::Arc<BTreeSet<DataCentre>>) {
        self.evacuations = evacuations;
        for entry in self.workers.values_mut() {
            entry.update_evacuated(&self.evacuations);
        }
    }

    /// Replaces all blocks; returns the workers whose block has changed.
    pub(super) fn set_blocks(&mut self, blocks: WorkerBlocks) -> Vec<WorkerId> {
        if self.blocks == blocks {
            return Vec::new();
        }
        let previous = mem::replace(&mut self.blocks, blocks);
        let concerned: BTreeSet<&WorkerId> =
            previous.workers().chain(self.blocks.workers()).collect();
        let mut changed = Vec::new();
        for id in concerned {
            let block = self.blocks.get(id);
            if let Some(entry) = self.workers.get_mut(id)
                && entry.block != block
            {
                entry.block = block;
                changed.push(id.clone());
            }
        }
        changed
    }

    /// Returns the workers of evacuated data centres.
    pub(super) fn evacuated(&self) -> impl Iterator<Item = (&WorkerId, &WorkerEntry)> {
        // Most of the time there are none.
        let workers = (!self.evacuations.is_empty()).then_some(&self.workers);
        let workers = workers.into_iter().flatten();
        workers.filter(|(_, entry)| entry.is_evacuated)
    }

    pub(super) fn remove(&mut self, id: &WorkerId, now: BootTime) {
        let Some(entry) = self.workers.remove(id) else {
            return;
        };
        self.removed.insert(id.clone(), now);
        if let Some(view) = entry.view {
            self.remove_from_pool(&view.pool, id);
        }
    }

    /// Forgets the workers whose entries were removed before `time`.
    pub(super) fn forget_removed(&mut self, time: BootTime) {
        self.removed.retain(|_, removed_at| *removed_at >= time);
    }

    fn add_to_pool(&mut self, pool: &PoolName, id: &WorkerId) {
        let workers = self.pools.entry(pool.clone()).or_default();
        workers.insert(id.clone());
    }

    fn remove_from_pool(&mut self, pool: &PoolName, id: &WorkerId) {
        if let Some(workers) = self.pools.get_mut(pool) {
            workers.remove(id);
            if workers.is_empty() {
                self.pools.remove(pool);
            }
        }
    }

    /// Returns the capacity of all listed workers of a pool that are not evacuated.
    pub(super) fn capacity_of_pool(&self, pool: &PoolName) -> ResourceAmount {
        let mut capacity = ResourceAmount::default();
        for (_, entry) in self.of_pool(pool) {
            let is_counted = entry.is_listed && !entry.is_evacuated;
            let view = entry.view.as_ref().filter(|_| is_counted);
            capacity += view.map(|view| view.capacity).unwrap_or_default();
        }
        capacity
    }

    /// Returns the workers of a pool, by their ids.
    pub(super) fn of_pool(
        &self,
        pool: &PoolName,
    ) -> impl Iterator<Item = (&WorkerId, &WorkerEntry)> {
        let workers = self.pools.get(pool).into_iter().flatten();
        workers.filter_map(|id| Some((id, self.workers.get(id)?)))
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&WorkerId, &WorkerEntry)> {
        self.workers.iter()
    }

    /// Adds the capacity and labels of all tracked workers that were ever listed to
    /// `capacity`.
    pub(super) fn add_fleet_capacity(&self, capacity: &mut FleetCapacity) {
        for view in self
            .workers
            .values()
            .filter_map(|entry| entry.view.as_ref())
        {
            capacity.add(&view.capacity, &view.labels);
        }
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (&WorkerId, &mut WorkerEntry)> {
        self.workers.iter_mut()
    }
}
