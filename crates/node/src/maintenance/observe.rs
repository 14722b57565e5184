//! Observations of VMs and of demand by one process.

use std::collections::{BTreeMap, BTreeSet};
use std::net;
use std::time;

use futures_util::future;
use redwing_model::vm::{VmIdentity, VmPhase, VmRecord};
use redwing_model::{ClassName, VmId};
use redwing_planner::view::Listing;
use redwing_planner::{DemandTracker, FleetRows, PlanTime, VmObservation};
use redwing_policy::scheduler::ClassUsage;
use redwing_provider::{ListedStatus, ListedVm, LocalFuture, VmRole};
use tokio::net::TcpStream;

use crate::control::ControlHandle;

/// Largest number of VMs probed concurrently.
const MAX_CONCURRENT_PROBES: usize = 64;

/// Usage of VMs and classes by the scheduler of this process.
#[derive(Clone, Debug, Default)]
pub struct UsageReport {
    /// VMs that get no new requests from this process and run none of its requests.
    pub unused: BTreeSet<VmId>,
    /// VMs that this process has ejected after failures.
    pub ejected: BTreeSet<VmId>,
    /// Demand of the classes.
    pub classes: Vec<ClassUsage>,
}

/// Source of scheduler usage for maintenance.
pub trait SchedulerUsage {
    /// Returns the current usage, or `None` if the scheduler has stopped.
    fn usage(&self) -> LocalFuture<'_, Option<UsageReport>>;
}

impl SchedulerUsage for ControlHandle {
    fn usage(&self) -> LocalFuture<'_, Option<UsageReport>> {
        Box::pin(self.call(|scheduler, _| UsageReport {
            unused: scheduler.drained_vms(),
            ejected: scheduler.ejected().cloned().collect(),
            classes: scheduler.class_usage(),
        }))
    }
}

/// Last VM list of the platform, with the time since when VMs are absent from it.
#[derive(Clone, Debug, Default)]
pub struct ListTracker {
    listed: BTreeMap<VmId, (VmIdentity, ListedStatus)>,
    absent_since: BTreeMap<VmId, PlanTime>,
    read_at: Option<PlanTime>,
}

impl ListTracker {
    /// Replaces the list by one that was just read.
    pub fn update(&mut self, now: PlanTime, list: &[ListedVm], rows: &FleetRows) {
        let backends = list.iter().filter(|vm| vm.role == VmRole::BackendServer);
        let entry = |vm: &ListedVm| {
            let name = vm.identity.vm.clone();
            (name, (vm.identity.clone(), vm.status))
        };
        self.listed = backends.map(entry).collect();
        self.read_at = Some(now);
        let absent = rows.vms.keys().filter(|vm| !self.listed.contains_key(*vm));
        let absent: BTreeSet<&VmId> = absent.collect();
        self.absent_since.retain(|vm, _| absent.contains(vm));
        for vm in absent {
            self.absent_since.entry(vm.clone()).or_insert(now);
        }
    }

    /// Returns whether a list was read within the last `age`.
    pub fn is_recent(&self, now: PlanTime, age: time::Duration) -> bool {
        let recent = |at| now.saturating_since(at) <= age;
        self.read_at.is_some_and(recent)
    }

    /// Returns the listed live VMs that have no row in the table.
    pub fn unassigned(&self, rows: &FleetRows) -> Vec<VmIdentity> {
        let live = self.listed.values();
        let live = live.filter(|(_, status)| status.is_live());
        let unassigned = live.filter(|(identity, _)| !rows.vms.contains_key(&identity.vm));
        unassigned.map(|(identity, _)| identity.clone()).collect()
    }

    fn listing(&self, vm: &VmId) -> Listing {
        match self.listed.get(vm) {
            Some((_, ListedStatus::Leaving)) => Listing::Leaving,
            Some(_) => Listing::Live,
            None => Listing::Absent,
        }
    }

    fn absent_for(&self, now: PlanTime, vm: &VmId) -> time::Duration {
        let since = self.absent_since.get(vm);
        since.map_or(time::Duration::ZERO, |since| now.saturating_since(*since))
    }
}

/// Inputs for the observations of VMs.
#[derive(Debug)]
pub(crate) struct ObservationInputs<'a> {
    pub(crate) now: PlanTime,
    pub(crate) rows: &'a FleetRows,
    pub(crate) tracker: &'a ListTracker,
    pub(crate) usage: &'a UsageReport,
    pub(crate) responding: &'a BTreeSet<VmId>,
    pub(crate) accepted_operations: &'a BTreeSet<String>,
}

impl ObservationInputs<'_> {
    /// Returns observations of the VMs that are not in normal service, without the
    /// drain confirmations, which the caller adds.
    pub(crate) fn observe(&self) -> BTreeMap<VmId, VmObservation> {
        let mut observations = BTreeMap::new();
        for (vm, row) in &self.rows.vms {
            let listing = self.tracker.listing(vm);
            let ejected = self.usage.ejected.contains(vm);
            let serving = row.value.phase == VmPhase::Serving;
            if serving && listing == Listing::Live && !ejected {
                continue;
            }
            let observation = VmObservation {
                listing,
                absent_for: self.tracker.absent_for(self.now, vm),
                ejected,
                responding: listing == Listing::Live && self.responding.contains(vm),
                reboot_accepted: self.is_accepted(&row.value),
                ..VmObservation::default()
            };
            observations.insert(vm.clone(), observation);
        }
        observations
    }

    fn is_accepted(&self, record: &VmRecord) -> bool {
        let pool = self.rows.pools.get(&record.pool);
        let outage = pool.and_then(|row| row.value.outages.get(&record.identity.vm));
        let reboot = outage.and_then(|outage| outage.reboot.as_ref());
        reboot.is_some_and(|reboot| self.accepted_operations.contains(&reboot.id))
    }
}

/// Returns the out-of-service VMs whose backend server accepts a connection.
pub(crate) async fn probe_vms(rows: &FleetRows, timeout: time::Duration) -> BTreeSet<VmId> {
    let records = rows.vms.values().map(|row| &row.value);
    let out_of_service = records.filter(|record| is_probed(record.phase));
    let probes = out_of_service
        .take(MAX_CONCURRENT_PROBES)
        .map(|record| async move {
            let address = record.identity.address;
            let vm = record.identity.vm.clone();
            accepts_connection(address, timeout).await.then_some(vm)
        });
    let responding = future::join_all(probes).await;
    responding.into_iter().flatten().collect()
}

fn is_probed(phase: VmPhase) -> bool {
    matches!(
        phase,
        VmPhase::Draining
            | VmPhase::Rebooting
            | VmPhase::Returning
            | VmPhase::Failed
            | VmPhase::Missing
    )
}

async fn accepts_connection(address: net::SocketAddr, timeout: time::Duration) -> bool {
    let connection = tokio::time::timeout(timeout, TcpStream::connect(address));
    matches!(connection.await, Ok(Ok(_)))
}

/// Computes the sustained demand of classes from scheduler usage.
#[derive(Debug)]
pub(crate) struct DemandMeter {
    tracker: DemandTracker,
    peer_service_micros: BTreeMap<ClassName, u64>,
    sampled_at: Option<PlanTime>,
}

impl DemandMeter {
    pub(crate) fn new(window: time::Duration) -> Self {
        Self {
            tracker: DemandTracker::new(window),
            peer_service_micros: BTreeMap::new(),
            sampled_at: None,
        }
    }

    pub(crate) fn sustained(&self) -> BTreeMap<ClassName, f64> {
        self.tracker.sustained()
    }

    pub(crate) fn sample(&mut self, now: PlanTime, classes: &[ClassUsage]) {
        let elapsed = self.sampled_at.map(|at| now.saturating_since(at));
        self.sampled_at = Some(now);
        for usage in classes {
            let service_micros = usage.peer_service_micros;
            let before = self
                .peer_service_micros
                .insert(usage.class.clone(), service_micros);
            let Some(elapsed) = elapsed.filter(|elapsed| !elapsed.is_zero()) else {
                continue;
            };
            let used_micros = service_micros.saturating_sub(before.unwrap_or(service_micros));
            let peer_slots = used_micros as f64 / elapsed.as_micros() as f64;
            let slots = f64::from(usage.running) + f64::from(usage.waiting) + peer_slots;
            self.tracker.observe(&usage.class, slots, elapsed);
        }
        let declared = |class: &ClassName| classes.iter().any(|usage| usage.class == *class);
        self.tracker.retain(declared);
    }
}
