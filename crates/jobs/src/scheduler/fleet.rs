//! Workers, their room and their leases.

use std::collections::{HashMap, VecDeque};
use std::net;
use std::time;

use crate::name::{JobId, TaskId, WorkerId};
use crate::offer::FleetOffer;
use crate::spec::ResourceAmount;
use crate::time::BootTime;
use crate::worker::WorkerView;

/// Whether a worker answers this owner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum WorkerContact {
    /// It has not answered this owner yet.
    #[default]
    Unheard,
    /// It answered the latest hold.
    Heard,
    /// It did not answer the latest hold.
    Silent,
}

/// A worker's clock as it was read at a moment of ours.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct ClockSample {
    pub(super) clock_ms: u64,
    pub(super) read_at: BootTime,
}

impl ClockSample {
    /// Returns what the worker's clock shows at `now`, by our clock's rate.
    pub(super) fn at(&self, now: BootTime) -> u64 {
        self.clock_ms + now.saturating_since(self.read_at).as_millis() as u64
    }
}

/// Run that takes room on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Occupant {
    pub(super) run: u32,
    pub(super) reserved: ResourceAmount,
    /// When a stop of a run that belongs to no task was last ordered.
    pub(super) orphan_stop: Option<OrphanStop>,
}

/// Stop of a run that belongs to no task any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct OrphanStop {
    pub(super) ordered_at: BootTime,
    pub(super) accepted_at: Option<BootTime>,
}

/// End that the worker lists and that is not yet stored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct UnstoredEnd {
    pub(super) number: u64,
    /// Job whose row must be stored first; none if nothing has to be.
    pub(super) job: Option<JobId>,
}

/// One worker.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkerEntry {
    /// What the platform lists of it; none if only stored rows name it.
    pub(super) view: Option<WorkerView>,
    pub(super) is_listed: bool,
    /// Start of its life, in milliseconds since the Unix epoch.
    pub(super) born: u64,
    pub(super) contact: WorkerContact,
    pub(super) clock: Option<ClockSample>,
    /// When all leases that were given have expired, by our clock.
    pub(super) lease_until: BootTime,
    /// When the unanswered hold was given.
    pub(super) hold_given: Option<BootTime>,
    pub(super) next_hold: BootTime,
    /// Ends up to this number are stored.
    pub(super) stored_end: u64,
    /// Ends up to this number were taken in.
    pub(super) seen_end: u64,
    pub(super) unstored: VecDeque<UnstoredEnd>,
    pub(super) occupants: HashMap<TaskId, Occupant>,
    pub(super) used: ResourceAmount,
    /// Runs that failed since the latest that was done.
    pub(super) strikes: u32,
    pub(super) unhealthy_until: BootTime,
    /// Share of processor time that fillers may use, from 0 to 100.
    pub(super) filler_percent: u32,
    pub(super) paced_at: BootTime,
    /// Whether upkeep keeps new work away.
    pub(super) is_blocked: bool,
}

impl WorkerEntry {
    pub(super) fn address(&self) -> Option<net::SocketAddr> {
        self.view.as_ref().map(|view| view.address)
    }

    /// Returns whether the worker may get new work.
    pub(super) fn is_usable(&self, now: BootTime) -> bool {
        let is_draining = self.view.as_ref().is_none_or(|view| view.is_draining);
        self.is_listed
            && !is_draining
            && !self.is_blocked
            && self.contact == WorkerContact::Heard
            && self.clock.is_some()
            && self.unhealthy_until <= now
    }

    /// Returns the room that is left.
    pub(super) fn room(&self) -> ResourceAmount {
        let capacity = self.view.as_ref().map(|view| view.capacity);
        capacity.unwrap_or_default().saturating_sub(&self.used)
    }

    pub(super) fn occupy(&mut self, task: TaskId, occupant: Occupant) {
        self.used += occupant.reserved;
        if let Some(former) = self.occupants.insert(task, occupant) {
            self.used -= former.reserved;
        }
    }

    /// Frees the room of a run; returns whether it had any.
    pub(super) fn vacate(&mut self, task: &TaskId, run: u32) -> bool {
        let is_same = self
            .occupants
            .get(task)
            .is_some_and(|entry| entry.run == run);
        if is_same && let Some(occupant) = self.occupants.remove(task) {
            self.used -= occupant.reserved;
        }
        is_same
    }

    /// Notes that leases end at most `lease` from now.
    pub(super) fn extend_lease(&mut self, now: BootTime, lease: time::Duration) {
        self.lease_until = self.lease_until.max(now + lease);
    }

    /// Begins another life: nothing of the former one is left.
    pub(super) fn begin_life(&mut self, born: u64) -> Vec<(TaskId, u32)> {
        self.born = born;
        self.stored_end = 0;
        self.seen_end = 0;
        self.unstored.clear();
        self.clock = None;
        self.contact = WorkerContact::Unheard;
        self.next_hold = BootTime::default();
        self.strikes = 0;
        self.unhealthy_until = BootTime::default();
        self.filler_percent = 100;
        self.used = ResourceAmount::default();
        let occupants = self.occupants.drain();
        occupants
            .map(|(task, occupant)| (task, occupant.run))
            .collect()
    }
}

/// All workers that are listed or may run something.
#[derive(Debug, Default)]
pub(super) struct WorkerFleet {
    workers: HashMap<WorkerId, WorkerEntry>,
}

impl WorkerFleet {
    pub(super) fn get(&self, id: &WorkerId) -> Option<&WorkerEntry> {
        self.workers.get(id)
    }

    pub(super) fn get_mut(&mut self, id: &WorkerId) -> Option<&mut WorkerEntry> {
        self.workers.get_mut(id)
    }

    pub(super) fn insert(&mut self, id: WorkerId, entry: WorkerEntry) -> &mut WorkerEntry {
        self.workers.entry(id).insert_entry(entry).into_mut()
    }

    pub(super) fn remove(&mut self, id: &WorkerId) {
        self.workers.remove(id);
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&WorkerId, &WorkerEntry)> {
        self.workers.iter()
    }

    /// Takes what the workers offer into `offer`.
    pub(super) fn add_offers(&self, offer: &mut FleetOffer) {
        for view in self
            .workers
            .values()
            .filter_map(|entry| entry.view.as_ref())
        {
            offer.add(&view.capacity, &view.labels);
        }
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (&WorkerId, &mut WorkerEntry)> {
        self.workers.iter_mut()
    }
}
