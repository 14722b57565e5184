//! Demand and service of customers across entry processes.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time;

use redwing_model::{ClassName, NodeIncarnation};

use crate::clock::NodeTime;
use crate::fair_queue::{CustomerIndex, FairQueue, VirtualTime};

/// Smallest change of service that is reported, in virtual time.
const MIN_SERVICE_CHANGE: VirtualTime = VirtualTime(50_000_000);

/// Smallest change of a number of waiting requests that is reported, as a
/// fraction of the last reported number.
const MIN_WAITING_FRACTION: f64 = 0.5;

/// Smallest change of a number of waiting requests that is reported.
const MIN_WAITING_CHANGE: u32 = 2;

/// Age at which demand is reported again, in case the last report was lost.
const REFRESH_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Demand of a customer that one peer last reported.
#[derive(Clone, Debug, Default)]
struct PeerDemand {
    waiting: u32,
    service: u64,
    /// Service charged in advance for slots transferred to the peer, in microseconds.
    advance: i64,
    reported_at: NodeTime,
}

/// Demand of one class at other processes.
#[derive(Debug, Default)]
pub struct RemoteDemand {
    customers: BTreeMap<CustomerIndex, BTreeMap<NodeIncarnation, PeerDemand>>,
}

/// A peer's report of one customer.
#[derive(Clone, Copy, Debug)]
pub struct DemandUpdate {
    /// Requests waiting at the peer.
    pub waiting: u32,
    /// Slot time used through the peer since it started, in microseconds.
    pub service: u64,
    /// Whether a first report only sets the baseline of the service and charges nothing.
    pub baseline: bool,
}

impl RemoteDemand {
    /// Returns the peer with the most waiting requests of `customer`.
    pub fn most_waiting(&self, customer: CustomerIndex) -> Option<&NodeIncarnation> {
        self.customers
            .get(&customer)?
            .iter()
            .filter(|(_, demand)| demand.waiting > 0)
            .max_by_key(|(_, demand)| demand.waiting)
            .map(|(peer, _)| peer)
    }

    /// Returns the slot time used through all peers, in microseconds.
    pub fn service_micros(&self) -> u64 {
        let peers = self.customers.values().flat_map(BTreeMap::values);
        peers.fold(0, |sum, demand| sum.saturating_add(demand.service))
    }

    /// Applies a report of `peer` and charges the customer for the additional service.
    pub fn update(
        &mut self,
        queue: &mut FairQueue,
        now: NodeTime,
        customer: CustomerIndex,
        peer: &NodeIncarnation,
        report: DemandUpdate,
    ) {
        let peers = self.customers.entry(customer).or_default();
        let first = !peers.contains_key(peer);
        let demand = peers.entry(peer.clone()).or_default();
        if !(first && report.baseline) {
            let used = report.service.wrapping_sub(demand.service).cast_signed();
            let covered = used.clamp(0, demand.advance);
            demand.advance -= covered;
            queue.charge(customer, used - covered);
        }
        demand.service = report.service;
        demand.waiting = report.waiting;
        demand.reported_at = now;
        self.update_remote_waiting(queue, customer);
    }

    /// Records that a slot was transferred to `peer` for `customer`, and
    /// charges the service expected from it in advance.
    pub fn charge_advance(
        &mut self,
        queue: &mut FairQueue,
        customer: CustomerIndex,
        peer: &NodeIncarnation,
        micros: i64,
    ) {
        let demand = self
            .customers
            .get_mut(&customer)
            .and_then(|peers| peers.get_mut(peer));
        if let Some(demand) = demand {
            demand.waiting = demand.waiting.saturating_sub(1);
            demand.advance += micros;
            queue.charge(customer, micros);
            self.update_remote_waiting(queue, customer);
        }
    }

    /// Drops the demand reported before `before`, and refunds advance charges
    /// that no report confirmed.
    pub fn expire(&mut self, queue: &mut FairQueue, before: NodeTime) {
        let customers: Vec<CustomerIndex> = self.customers.keys().copied().collect();
        for customer in customers {
            let Some(peers) = self.customers.get_mut(&customer) else {
                continue;
            };
            for demand in peers.values_mut() {
                if demand.reported_at < before {
                    demand.waiting = 0;
                    queue.charge(customer, -demand.advance);
                    demand.advance = 0;
                }
            }
            self.update_remote_waiting(queue, customer);
        }
    }

    /// Drops the demand of the ended incarnation `ended`.
    pub fn remove_peer(&mut self, queue: &mut FairQueue, ended: &NodeIncarnation) {
        let customers: Vec<CustomerIndex> = self.customers.keys().copied().collect();
        for customer in customers {
            if let Some(peers) = self.customers.get_mut(&customer) {
                peers.remove(ended);
            }
            self.update_remote_waiting(queue, customer);
        }
    }

    fn update_remote_waiting(&self, queue: &mut FairQueue, customer: CustomerIndex) {
        let peers = self
            .customers
            .get(&customer)
            .into_iter()
            .flat_map(BTreeMap::values);
        let waiting = peers.fold(0u32, |sum, demand| sum.saturating_add(demand.waiting));
        queue.set_remote(customer, waiting);
    }
}

/// A customer within a class.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ReportKey {
    /// Class of work.
    pub class: ClassName,
    /// Customer within the class.
    pub customer: CustomerIndex,
}

/// Current and last reported demand of a customer at this process.
#[derive(Clone, Copy, Debug, Default)]
struct LocalDemand {
    service: i64,
    sent_service: i64,
    sent_waiting: u32,
    sent_at: NodeTime,
}

/// Tracks demand and service of this process and what was last reported to peers.
#[derive(Debug, Default)]
pub struct DemandReporter {
    entries: HashMap<ReportKey, LocalDemand>,
    changed: BTreeSet<ReportKey>,
    /// Entries last reported with waiting requests.
    waiting: BTreeSet<ReportKey>,
    urgent: bool,
}

impl DemandReporter {
    /// Returns whether a customer started to wait since the last report.
    pub fn is_urgent(&self) -> bool {
        self.urgent
    }

    /// Records that a customer started to wait.
    pub fn mark_urgent(&mut self) {
        self.urgent = true;
    }

    /// Marks the demand of a customer as possibly changed.
    pub fn mark(&mut self, class: &ClassName, customer: CustomerIndex) {
        self.changed.insert(ReportKey {
            class: class.clone(),
            customer,
        });
    }

    /// Adds slot time used by a customer at this process, in microseconds.
    pub fn charge(&mut self, class: &ClassName, customer: CustomerIndex, micros: i64) {
        let key = ReportKey {
            class: class.clone(),
            customer,
        };
        self.entries.entry(key.clone()).or_default().service += micros;
        self.changed.insert(key);
    }

    /// Marks all entries for a report, because a peer is new.
    pub fn mark_all(&mut self) {
        for (key, entry) in &mut self.entries {
            entry.sent_at = NodeTime::default();
            self.changed.insert(key.clone());
        }
    }

    /// Marks the demand that is due to be reported again.
    pub fn mark_stale(&mut self, now: NodeTime) {
        for key in &self.waiting {
            let entry = self.entries.get(key);
            if entry.is_some_and(|entry| now.saturating_since(entry.sent_at) >= REFRESH_INTERVAL) {
                self.changed.insert(key.clone());
            }
        }
    }

    /// Returns and clears the entries whose demand may have changed.
    pub fn take_changed(&mut self) -> BTreeSet<ReportKey> {
        self.urgent = false;
        std::mem::take(&mut self.changed)
    }

    /// Returns the service in microseconds to report for a customer with
    /// `waiting` requests, or `None` if the change is too small. `queue`
    /// converts the service to virtual time.
    pub fn next_service(
        &mut self,
        now: NodeTime,
        key: &ReportKey,
        waiting: u32,
        queue: &FairQueue,
    ) -> Option<u64> {
        let entry = self.entries.entry(key.clone()).or_default();
        let change = queue.to_virtual_time(key.customer, entry.service - entry.sent_service);
        let service_due = change.0.abs() >= MIN_SERVICE_CHANGE.0;
        let stale = now.saturating_since(entry.sent_at) >= REFRESH_INTERVAL;
        let stale_due = stale && (waiting > 0 || change.0 != 0);
        if !service_due && !stale_due && !is_significant(entry.sent_waiting, waiting) {
            return None;
        }
        entry.sent_service = entry.service;
        entry.sent_waiting = waiting;
        entry.sent_at = now;
        match waiting {
            0 => self.waiting.remove(key),
            _ => self.waiting.insert(key.clone()),
        };
        Some(entry.service.max(0).cast_unsigned())
    }
}

/// Returns whether a number of waiting requests changed enough for a report.
pub fn is_significant(sent: u32, waiting: u32) -> bool {
    if (sent == 0) != (waiting == 0) {
        return true;
    }
    let change = sent.abs_diff(waiting);
    change >= MIN_WAITING_CHANGE && f64::from(change) >= f64::from(sent) * MIN_WAITING_FRACTION
}
