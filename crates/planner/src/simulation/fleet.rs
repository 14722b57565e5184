//! Simulated fleet: rows of the table and the VMs behind them.

use std::collections::{BTreeMap, BTreeSet};
use std::net;
use std::time;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use redwing_model::declaration::PoolTarget;
use redwing_model::vm::{VmIdentity, VmPhase, VmRecord};
use redwing_model::{DataCentre, FleetDeclaration, PoolName, RackName, Result, VmId};

use crate::record::{OutageCause, PoolRecord};
use crate::rollout::RolloutState;
use crate::step::{PlanStep, PlatformCall, StepChange, StepCommit};
use crate::time::PlanTime;
use crate::view::{FleetRows, Listing, Versioned, VmObservation};

/// Delay of the platform's VM list, in seconds.
const LIST_DELAY_SECONDS: u64 = 4;

/// Time between the reboot call and the VM going down, in seconds.
const SHUTDOWN_SECONDS: u64 = 1;

/// Layout of a simulated fleet.
#[derive(Clone, Debug)]
pub struct FleetLayout {
    /// Number of VMs of each pool; the last pool is the spare pool.
    pub pool_sizes: Vec<u32>,
    /// Availability budget of each pool.
    pub max_unavailable: u32,
    /// Number of VMs in a rack.
    pub rack_size: u32,
    /// Number of data centres.
    pub data_centres: u32,
    /// Shortest and longest drain, in seconds.
    pub drain_seconds: (u64, u64),
    /// Duration of a reboot, in seconds.
    pub reboot_seconds: u64,
    /// Seed of the drain times.
    pub seed: u64,
}

impl Default for FleetLayout {
    fn default() -> Self {
        Self {
            pool_sizes: vec![8, 9, 10, 11, 12],
            max_unavailable: 2,
            rack_size: 4,
            data_centres: 3,
            drain_seconds: (5, 25),
            reboot_seconds: 90,
            seed: 1,
        }
    }
}

/// State of a VM that the planner learns only through observations; times are
/// in seconds.
#[derive(Clone, Debug)]
struct SimulatedVm {
    identity: VmIdentity,
    drain: u64,
    reboot: u64,
    failed: bool,
    boot_fails: bool,
    down_from: u64,
    up_from: u64,
    absent_since: Option<u64>,
    /// Revision of the VM's row, and the second at which the drain started.
    drain_start: Option<(u64, u64)>,
    ejected: bool,
}

/// Violation of an invariant of the planner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum InvariantViolation {
    /// A VM was taken out of service beyond the budget of the pool.
    Budget(PoolName),
    /// A pool had planned outages in two data centres.
    DataCentres(PoolName),
    /// The member count of a pool differs from the number of VMs whose rows name
    /// it.
    Membership(PoolName),
    /// A VM was rebooted while requests were running on it.
    RequestsCutOff(VmId),
    /// A VM out of service has no outage in its pool, or a serving VM has one.
    Outage(VmId),
    /// A pool reverted to an older configuration.
    Configuration(PoolName),
    /// A drain started for a roll-out that was not running.
    RolloutNotRunning(PoolName),
}

/// Fleet of a simulation: rows of the table and the VMs behind them.
#[derive(Clone, Debug)]
pub struct SimulatedFleet {
    /// Targets of the fleet.
    pub declaration: FleetDeclaration,
    /// Rows of the table.
    pub rows: FleetRows,
    vms: BTreeMap<VmId, SimulatedVm>,
    operations: BTreeSet<String>,
    commits: u64,
    violations: Vec<InvariantViolation>,
}

impl SimulatedFleet {
    /// Creates a fleet with all VMs serving.
    ///
    /// # Errors
    ///
    /// Fails if a generated name is not valid, which would be a bug.
    pub fn new(layout: &FleetLayout) -> Result<Self> {
        let mut fleet = Self {
            declaration: FleetDeclaration::default(),
            rows: FleetRows::default(),
            vms: BTreeMap::new(),
            operations: BTreeSet::new(),
            commits: 1,
            violations: Vec::new(),
        };
        let mut random = StdRng::seed_from_u64(layout.seed);
        let mut vm_counts = vec![0; layout.data_centres as usize];
        for (number, size) in layout.pool_sizes.iter().enumerate() {
            let pool = PoolName::new(&format!("pool-{number}"))?;
            fleet.add_pool(layout, &pool, *size);
            for position in 0..*size {
                let data_centre = position * layout.data_centres / size;
                let vm_count = &mut vm_counts[data_centre as usize];
                let rack = *vm_count / layout.rack_size;
                *vm_count += 1;
                let identity = identity(number, position, data_centre, rack)?;
                fleet.add_vm(layout, &pool, identity, &mut random);
            }
            fleet.declaration.spare_pool = Some(pool);
        }
        Ok(fleet)
    }

    /// Returns the violations so far.
    pub fn violations(&self) -> &[InvariantViolation] {
        &self.violations
    }

    /// Returns the observations of the VMs that need one: VMs that are down,
    /// ejected or out of service, and VMs with a drain time above zero.
    pub fn observe(&self, second: u64) -> BTreeMap<VmId, VmObservation> {
        let mut observations = BTreeMap::new();
        for (id, vm) in &self.vms {
            let row = self.rows.vms.get(id).map(|row| &row.value);
            let serving = row.is_some_and(|row| row.phase == VmPhase::Serving);
            let up = vm.is_up(second);
            if !serving || !up || vm.ejected || vm.drain > 0 {
                observations.insert(id.clone(), self.observe_vm(second, vm, row));
            }
        }
        observations
    }

    /// Returns the listed VMs that have no row.
    pub fn unassigned(&self) -> Vec<VmIdentity> {
        let listed = self.vms.values().filter(|vm| vm.absent_since.is_none());
        let identities = listed.map(|vm| &vm.identity);
        let unknown = identities.filter(|identity| !self.rows.vms.contains_key(&identity.vm));
        unknown.cloned().collect()
    }

    /// Returns the ids of all VMs.
    pub fn vm_ids(&self) -> Vec<VmId> {
        self.vms.keys().cloned().collect()
    }

    /// Returns the sum of the outage durations, in seconds, if every VM of a pool
    /// is rebooted once and checked for `check` seconds.
    pub fn total_outage_seconds(&self, pool: &PoolName, check: u64) -> u64 {
        let rows = self.rows.vms.values();
        let members = rows.filter(|row| row.value.pool == *pool);
        let vms = members.filter_map(|row| self.vms.get(&row.value.identity.vm));
        vms.map(|vm| vm.drain + vm.reboot + check).sum()
    }

    /// Applies a transaction with the semantics of the table; returns whether it
    /// was committed.
    pub fn commit(&mut self, second: u64, commit: &StepCommit) -> bool {
        if self.rows.apply(commit, self.commits + 1).is_err() {
            return false;
        }
        self.commits += 1;
        self.update_drain_starts(second);
        true
    }

    /// Applies a plan step and checks the invariants; returns whether it was
    /// committed.
    pub fn commit_step(&mut self, second: u64, step: &PlanStep) -> bool {
        let version = |rows: &FleetRows| {
            let row = rows.pools.get(&step.pool);
            row.map_or(0, |row| row.value.config_version)
        };
        let before = version(&self.rows);
        if !self.commit(second, &step.commit) {
            return false;
        }
        if version(&self.rows) < before {
            self.violations
                .push(InvariantViolation::Configuration(step.pool.clone()));
        }
        self.check_step(step);
        self.check_rows();
        true
    }

    /// Executes a call to the platform, once for each operation id.
    pub fn call(&mut self, second: u64, call: &PlatformCall) {
        match call {
            PlatformCall::Reboot { vm, operation } => {
                if self.operations.insert(operation.clone()) {
                    self.reboot(second, vm);
                }
            }
            PlatformCall::Checkpoint { vm, operation } => {
                if self.operations.insert(operation.clone())
                    && let Some(vm) = self.vms.get_mut(vm)
                {
                    vm.drain = 0;
                }
            }
        }
    }

    /// Makes all VMs of a rack fail permanently, or recover.
    pub fn set_rack_failed(&mut self, second: u64, rack: &RackName, failed: bool) {
        let members = self.vms.values_mut();
        for vm in members.filter(|vm| vm.identity.rack == *rack) {
            vm.failed = failed;
            vm.absent_since = failed.then_some(second + LIST_DELAY_SECONDS);
        }
    }

    /// Makes a VM stay down after its next reboot, or boot again.
    pub fn set_boot_failing(&mut self, second: u64, vm: &VmId, failing: bool) {
        if let Some(vm) = self.vms.get_mut(vm) {
            vm.boot_fails = failing;
            if !failing && vm.up_from == u64::MAX {
                vm.up_from = second + vm.reboot;
            }
        }
    }

    /// Sets whether a VM is ejected because requests to it failed.
    pub fn set_ejected(&mut self, vm: &VmId, ejected: bool) {
        if let Some(vm) = self.vms.get_mut(vm) {
            vm.ejected = ejected;
        }
    }

    /// Returns the names of all racks.
    pub fn racks(&self) -> BTreeSet<RackName> {
        let racks = self.vms.values().map(|vm| vm.identity.rack.clone());
        racks.collect()
    }

    fn add_pool(&mut self, layout: &FleetLayout, pool: &PoolName, size: u32) {
        let target = PoolTarget {
            vms: size,
            max_unavailable: layout.max_unavailable,
            drain_seconds: layout.drain_seconds.1 as u32,
            long_requests: Default::default(),
        };
        self.declaration.pools.insert(pool.clone(), target);
        let value = PoolRecord {
            members: size,
            max_unavailable: layout.max_unavailable,
            ..PoolRecord::new(size)
        };
        let row = Versioned { version: 1, value };
        self.rows.pools.insert(pool.clone(), row);
    }

    fn add_vm(
        &mut self,
        layout: &FleetLayout,
        pool: &PoolName,
        identity: VmIdentity,
        random: &mut StdRng,
    ) {
        let (shortest, longest) = layout.drain_seconds;
        let vm = SimulatedVm {
            identity: identity.clone(),
            drain: random.random_range(shortest..=longest),
            reboot: layout.reboot_seconds,
            failed: false,
            boot_fails: false,
            down_from: u64::MAX,
            up_from: 0,
            absent_since: None,
            drain_start: None,
            ejected: false,
        };
        self.vms.insert(identity.vm.clone(), vm);
        let value = VmRecord {
            identity: identity.clone(),
            pool: pool.clone(),
            phase: VmPhase::Serving,
            revision: 1,
        };
        let row = Versioned { version: 1, value };
        self.rows.vms.insert(identity.vm, row);
    }

    fn observe_vm(&self, second: u64, vm: &SimulatedVm, row: Option<&VmRecord>) -> VmObservation {
        let absent_for = vm
            .absent_since
            .map_or(0, |since| second.saturating_sub(since));
        let listing = match vm.absent_since {
            Some(since) if since <= second => Listing::Absent,
            _ => Listing::Live,
        };
        let reboot = row.and_then(|row| {
            let pool = &self.rows.pools.get(&row.pool)?.value;
            pool.outages.get(&row.identity.vm)?.reboot.as_ref()
        });
        VmObservation {
            listing,
            absent_for: time::Duration::from_secs(absent_for),
            ejected: vm.ejected,
            responding: vm.is_up(second),
            drained: row.is_some_and(|row| vm.is_drained(second, row.revision)),
            acknowledged_by: Vec::new(),
            reboot_accepted: reboot.is_some_and(|it| self.operations.contains(&it.id)),
            expected_drain: time::Duration::from_secs(vm.drain),
        }
    }

    /// Updates the time since which each VM has received no new requests.
    fn update_drain_starts(&mut self, second: u64) {
        for (id, vm) in &mut self.vms {
            let row = self.rows.vms.get(id).map(|row| &row.value);
            let draining = |row: &&VmRecord| {
                matches!(
                    row.phase,
                    VmPhase::Draining | VmPhase::Moving | VmPhase::Rebooting
                )
            };
            vm.drain_start = row.filter(draining).map(|row| match vm.drain_start {
                Some((_, since)) => (row.revision, since),
                None => (row.revision, second),
            });
        }
    }

    fn reboot(&mut self, second: u64, id: &VmId) {
        let Some(vm) = self.vms.get_mut(id) else {
            return;
        };
        let drained = vm
            .drain_start
            .is_some_and(|(_, since)| second >= since + vm.drain);
        let row = self.rows.vms.get(id).map(|row| row.value.phase);
        let lost = matches!(row, Some(VmPhase::Failed | VmPhase::Missing));
        if !drained && !lost && vm.is_up(second) {
            self.violations
                .push(InvariantViolation::RequestsCutOff(id.clone()));
        }
        vm.down_from = second + SHUTDOWN_SECONDS;
        vm.up_from = match vm.boot_fails {
            true => u64::MAX,
            false => second + SHUTDOWN_SECONDS + vm.reboot,
        };
    }

    /// Checks the invariants that apply only when a drain is started.
    fn check_step(&mut self, step: &PlanStep) {
        let planned = step.changes.iter().find_map(|change| match change {
            StepChange::Drain { cause, .. } if cause.is_planned() => Some(*cause),
            _ => None,
        });
        let Some(cause) = planned else {
            return;
        };
        let Some(row) = self.rows.pools.get(&step.pool) else {
            return;
        };
        let record = &row.value;
        let floor = record.assigned.saturating_sub(record.max_unavailable);
        if record.unavailable() > record.max_unavailable || record.serving() < floor {
            self.violations
                .push(InvariantViolation::Budget(step.pool.clone()));
        }
        let rollout = self.rows.rollouts.get(&step.pool).map(|row| &row.value);
        if let OutageCause::Rollout(id) = cause
            && rollout.is_none_or(|it| it.id != id || it.state != RolloutState::Running)
        {
            self.violations
                .push(InvariantViolation::RolloutNotRunning(step.pool.clone()));
        }
    }

    /// Checks the invariants that apply at all times.
    fn check_rows(&mut self) {
        let mut members: BTreeMap<&PoolName, u32> = BTreeMap::new();
        let mut data_centres: BTreeMap<&PoolName, BTreeSet<&DataCentre>> = BTreeMap::new();
        for (id, row) in &self.rows.vms {
            let record = &row.value;
            *members.entry(&record.pool).or_default() += 1;
            let pool = self.rows.pools.get(&record.pool);
            let outage = pool.and_then(|pool| pool.value.outages.get(id));
            if outage.is_some() == (record.phase == VmPhase::Serving) {
                self.violations.push(InvariantViolation::Outage(id.clone()));
            }
            if outage.is_some_and(|outage| outage.cause.is_planned()) {
                let data_centre = &record.identity.data_centre;
                data_centres
                    .entry(&record.pool)
                    .or_default()
                    .insert(data_centre);
            }
        }
        for (pool, row) in &self.rows.pools {
            if members.get(pool).copied().unwrap_or(0) != row.value.members {
                self.violations
                    .push(InvariantViolation::Membership(pool.clone()));
            }
            if data_centres
                .get(pool)
                .is_some_and(|data_centres| data_centres.len() > 1)
            {
                self.violations
                    .push(InvariantViolation::DataCentres(pool.clone()));
            }
        }
    }
}

impl SimulatedVm {
    fn is_up(&self, second: u64) -> bool {
        let rebooting = self.down_from <= second && second < self.up_from;
        !self.failed && !rebooting
    }

    fn is_drained(&self, second: u64, revision: u64) -> bool {
        let quiet = |(began, since): (u64, u64)| began == revision && second >= since + self.drain;
        self.drain_start.is_some_and(quiet)
    }
}

fn identity(pool: usize, position: u32, data_centre: u32, rack: u32) -> Result<VmIdentity> {
    Ok(VmIdentity {
        vm: VmId::new(&format!("vm-{pool}-{position}"))?,
        address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
        rack: RackName::new(&format!("rack-{data_centre}-{rack}"))?,
        data_centre: DataCentre::new(&format!("dc-{data_centre}"))?,
    })
}

/// Converts a second of a simulation to a time.
pub fn simulation_time(second: u64) -> PlanTime {
    PlanTime::from_secs(second)
}
