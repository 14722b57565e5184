//! Weighted max-min fair queue of one class.
//!
//! Every customer has a virtual time: the slot time charged to it, by all entry
//! processes together, divided by its share of the class's slots. The waiting
//! customer with the lowest virtual time is served next. A customer that
//! becomes active starts no lower than the customer served last, so that idle
//! time earns no credit.

use std::cmp;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::time;

use redwing_model::CustomerName;

use crate::clock::NodeTime;
use crate::ticket::TicketId;

/// Share of a customer that the class does not declare.
pub const UNDECLARED_SHARE: f64 = 0.01;

/// Largest virtual time by which a customer blocked by its limit may fall
/// behind the others.
const MAX_CREDIT: VirtualTime = VirtualTime(500_000_000);

/// Largest virtual time by which a customer that becomes active may start below
/// the lowest waiting one.
const MAX_LEAD: VirtualTime = VirtualTime(50_000_000);

/// Number of stale entries tolerated in a heap before it is rebuilt.
const MIN_STALE_ENTRIES: usize = 64;

/// Slot time charged to a customer divided by its share of the slots, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct VirtualTime(pub i64);

/// Index of a customer within one queue.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CustomerIndex(usize);

/// Heap entry of a waiting request, ordered by deadline.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueueEntry {
    deadline: NodeTime,
    id: TicketId,
}

/// Waiting requests and virtual time of one customer.
#[derive(Debug)]
struct CustomerQueue {
    customer: Option<CustomerName>,
    share: f64,
    virtual_time: VirtualTime,
    waiting: usize,
    running: usize,
    remote: u32,
    blocked: bool,
    entries: BinaryHeap<cmp::Reverse<QueueEntry>>,
}

/// Waiting requests of one class, by customer.
#[derive(Debug)]
pub struct FairQueue {
    customers: Vec<CustomerQueue>,
    index: HashMap<Option<CustomerName>, CustomerIndex>,
    ready: BTreeSet<(VirtualTime, CustomerIndex)>,
    remote: BTreeSet<(VirtualTime, CustomerIndex)>,
    /// Highest virtual time at which a customer was served.
    virtual_time: VirtualTime,
    /// Virtual time at which a customer last started to wait while no other
    /// did; refunds for attempts that started earlier do not lower a customer
    /// below it.
    floor: VirtualTime,
    slots: u32,
    waiting: usize,
    running: u32,
    active_share: f64,
}

impl FairQueue {
    /// Creates an empty queue with one slot, the lower bound of
    /// [`set_slots`](Self::set_slots).
    pub fn new() -> Self {
        Self {
            customers: Vec::new(),
            index: HashMap::new(),
            ready: BTreeSet::new(),
            remote: BTreeSet::new(),
            virtual_time: VirtualTime::default(),
            floor: VirtualTime::default(),
            slots: 1,
            waiting: 0,
            running: 0,
            active_share: 0.0,
        }
    }

    /// Returns the number of waiting requests of all customers.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the number of running attempts dispatched by this process.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of slots that all customers share.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the number of requests of `customer` waiting at this process.
    pub fn waiting_of(&self, customer: CustomerIndex) -> usize {
        self.customers[customer.0].waiting
    }

    /// Returns the number of requests of `customer` waiting at other processes.
    pub fn remote_of(&self, customer: CustomerIndex) -> u32 {
        self.customers[customer.0].remote
    }

    /// Returns the name of `customer`, or `None` for callers without a key.
    pub fn name(&self, customer: CustomerIndex) -> Option<&CustomerName> {
        self.customers[customer.0].customer.as_ref()
    }

    /// Returns the index of `customer`, if it was added.
    pub fn find(&self, customer: Option<&CustomerName>) -> Option<CustomerIndex> {
        self.index.get(&customer.cloned()).copied()
    }

    /// Returns all customers that were added.
    pub fn customers(&self) -> impl Iterator<Item = CustomerIndex> + use<> {
        (0..self.customers.len()).map(CustomerIndex)
    }

    /// Returns the fair number of slots of `customer` among the customers that
    /// are active now.
    pub fn fair_slots(&self, customer: CustomerIndex) -> f64 {
        let share = self.customers[customer.0].share;
        let others = match self.customers[customer.0].is_active() {
            true => self.active_share - share,
            false => self.active_share,
        };
        f64::from(self.slots) * share / (others.max(0.0) + share)
    }

    /// Converts slot time of `customer` in microseconds to virtual time.
    pub fn to_virtual_time(&self, customer: CustomerIndex, micros: i64) -> VirtualTime {
        let slots = f64::from(self.slots) * self.customers[customer.0].share;
        VirtualTime((micros as f64 * 1_000.0 / slots) as i64)
    }

    /// Returns the virtual time and index of the ready customer to serve next.
    pub fn next_ready(&self) -> Option<(VirtualTime, CustomerIndex)> {
        self.ready.first().copied()
    }

    /// Returns ready customers, the one to serve next first.
    pub fn ready_customers(&self) -> impl Iterator<Item = CustomerIndex> + '_ {
        self.ready.iter().map(|(_, customer)| *customer)
    }

    /// Returns the virtual time and index of the customer waiting at other
    /// processes to serve next.
    pub fn next_remote(&self) -> Option<(VirtualTime, CustomerIndex)> {
        self.remote.first().copied()
    }

    /// Sets the number of slots that all customers share, at least one.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Returns the index of `customer`, adding it if it is new.
    pub fn intern(&mut self, customer: Option<&CustomerName>, share: f64) -> CustomerIndex {
        if let Some(index) = self.find(customer) {
            return index;
        }
        let index = CustomerIndex(self.customers.len());
        self.customers.push(CustomerQueue {
            customer: customer.cloned(),
            share,
            virtual_time: self.virtual_time,
            waiting: 0,
            running: 0,
            remote: 0,
            blocked: false,
            entries: BinaryHeap::new(),
        });
        self.index.insert(customer.cloned(), index);
        index
    }

    /// Sets the share of `customer`; earlier charges are not rescaled.
    pub fn set_share(&mut self, customer: CustomerIndex, share: f64) {
        self.update(customer, |queue| queue.share = share);
    }

    /// Adds a waiting request.
    pub fn push(&mut self, customer: CustomerIndex, deadline: NodeTime, id: TicketId) {
        self.waiting += 1;
        self.update(customer, |queue| {
            queue.waiting += 1;
            let entry = QueueEntry { deadline, id };
            queue.entries.push(cmp::Reverse(entry));
        });
    }

    /// Removes one waiting request of `customer`, in constant time except for
    /// the occasional removal of stale entries.
    ///
    /// `still_waiting` returns whether the request of an entry is still waiting.
    pub fn remove_waiting(
        &mut self,
        customer: CustomerIndex,
        still_waiting: impl Fn(TicketId) -> bool,
    ) {
        self.waiting -= 1;
        self.update(customer, |queue| queue.waiting -= 1);
        let queue = &mut self.customers[customer.0];
        if queue.entries.len() > 2 * queue.waiting + MIN_STALE_ENTRIES {
            queue.entries.retain(|entry| still_waiting(entry.0.id));
        }
    }

    /// Returns the request of `customer` with the earliest deadline.
    ///
    /// `still_waiting` returns whether the request of an entry is still waiting.
    pub fn peek(
        &mut self,
        customer: CustomerIndex,
        still_waiting: impl Fn(TicketId) -> bool,
    ) -> Option<TicketId> {
        let queue = &mut self.customers[customer.0];
        while let Some(cmp::Reverse(entry)) = queue.entries.peek() {
            if still_waiting(entry.id) {
                return Some(entry.id);
            }
            queue.entries.pop();
        }
        None
    }

    /// Sets whether `customer` is blocked by its limit; returns whether waiting
    /// requests became ready.
    pub fn set_blocked(&mut self, customer: CustomerIndex, blocked: bool) -> bool {
        if self.customers[customer.0].blocked == blocked {
            return false;
        }
        let floor = VirtualTime(self.virtual_time.0 - MAX_CREDIT.0);
        self.update(customer, |queue| {
            queue.blocked = blocked;
            queue.virtual_time = queue.virtual_time.max(floor);
        });
        !blocked && self.customers[customer.0].waiting > 0
    }

    /// Sets the number of requests of `customer` waiting at other processes.
    pub fn set_remote(&mut self, customer: CustomerIndex, waiting: u32) {
        if self.customers[customer.0].remote != waiting {
            self.update(customer, |queue| queue.remote = waiting);
        }
    }

    /// Records that an attempt of `customer` started, and charges the customer
    /// `estimate`.
    pub fn start(&mut self, customer: CustomerIndex, estimate: time::Duration) {
        self.virtual_time = self
            .virtual_time
            .max(self.customers[customer.0].virtual_time);
        self.running += 1;
        self.update(customer, |queue| queue.running += 1);
        self.charge(customer, duration_micros(estimate));
    }

    /// Records that an attempt of `customer` ended.
    pub fn stop(&mut self, customer: CustomerIndex) {
        self.running = self.running.saturating_sub(1);
        self.update(customer, |queue| {
            queue.running = queue.running.saturating_sub(1);
        });
    }

    /// Charges `customer` slot time in microseconds; a negative amount is a refund.
    pub fn charge(&mut self, customer: CustomerIndex, micros: i64) {
        let scaled = self.to_virtual_time(customer, micros);
        let floor = self.floor;
        self.update(customer, |queue| {
            let lowest = queue.virtual_time.min(floor);
            let charged = VirtualTime(queue.virtual_time.0.saturating_add(scaled.0));
            queue.virtual_time = charged.max(lowest);
        });
    }

    /// Applies `change` to a customer and updates every index.
    fn update(&mut self, customer: CustomerIndex, change: impl FnOnce(&mut CustomerQueue)) {
        let active_start = self.active_start();
        let queue = &mut self.customers[customer.0];
        let was_active = queue.is_active();
        let was_waiting = queue.is_waiting();
        let key = (queue.virtual_time, customer);
        if queue.is_ready() {
            self.ready.remove(&key);
        }
        if queue.remote > 0 {
            self.remote.remove(&key);
        }
        if was_active {
            self.active_share -= queue.share;
        }
        change(queue);
        if queue.is_active() {
            self.active_share += queue.share;
        }
        // A customer that starts to wait is raised to the virtual time at which
        // a customer becomes active, so that slot time used while it did not
        // have to wait counts neither for it nor for the others. If no other
        // customer waits, later refunds lower no customer below that time.
        if queue.is_waiting() && !was_waiting {
            queue.virtual_time = queue.virtual_time.max(active_start);
            if self.ready.is_empty() && self.remote.is_empty() {
                self.floor = active_start;
            }
        }
        let key = (queue.virtual_time, customer);
        if queue.is_ready() {
            self.ready.insert(key);
        }
        if queue.remote > 0 {
            self.remote.insert(key);
        }
    }

    /// Returns the virtual time at which a customer that becomes active starts.
    fn active_start(&self) -> VirtualTime {
        let ready = self.ready.first().map(|(virtual_time, _)| *virtual_time);
        let remote = self.remote.first().map(|(virtual_time, _)| *virtual_time);
        let lowest = match (ready, remote) {
            (Some(ready), Some(remote)) => Some(ready.min(remote)),
            (one, other) => one.or(other),
        };
        match lowest {
            Some(lowest) => {
                let floor = VirtualTime(lowest.0 - MAX_LEAD.0);
                self.virtual_time.clamp(floor, lowest)
            }
            None => self.virtual_time,
        }
    }
}

impl Default for FairQueue {
    fn default() -> Self {
        Self::new()
    }
}

impl CustomerQueue {
    fn is_active(&self) -> bool {
        self.is_waiting() || self.running > 0
    }

    /// Returns whether requests wait at this or another process.
    fn is_waiting(&self) -> bool {
        self.waiting > 0 || self.remote > 0
    }

    fn is_ready(&self) -> bool {
        self.waiting > 0 && !self.blocked
    }
}

/// Returns a duration in whole microseconds, saturating.
pub fn duration_micros(duration: time::Duration) -> i64 {
    i64::try_from(duration.as_micros()).unwrap_or(i64::MAX)
}
