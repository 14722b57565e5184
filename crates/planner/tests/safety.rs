//! Invariants under random sequences of faults, races and operator commands.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::{BTreeMap, VecDeque};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use redwing_model::vm::VmPhase;
use redwing_model::{FleetDeclaration, PoolName, VmId};
use redwing_planner::plan::{FleetPlan, plan};
use redwing_planner::rollout::{self, RolloutCommand, RolloutState};
use redwing_planner::simulation::{FleetLayout, SimulatedFleet};
use redwing_planner::{FleetRows, PlanTime, PlannerSettings, PlannerView, VmObservation, VmOutage};

/// Seconds between two events.
const STEP_SECONDS: u64 = 5;

/// Number of steps within which all roll-outs must finish after the faults end.
const SETTLE_STEPS: u64 = 2_000;

#[derive(Clone, Debug)]
enum Event {
    /// One planner plans and commits.
    Plan,
    /// Two planners plan from the same rows and both commit.
    Race,
    /// A planner repeats each commit because the replies were lost.
    LostReplies,
    /// A planner that was paused for some steps commits its old plan.
    ResumePaused(usize),
    /// A planner reads the current table but has an older configuration.
    OldConfig(usize),
    /// A rack fails, or recovers.
    Rack(usize, bool),
    /// A VM no longer boots, or boots again.
    Boot(usize, bool),
    /// A VM is ejected, or readmitted.
    Eject(usize, bool),
    /// An operator sends a command to a roll-out.
    Command(usize, RolloutCommand),
    /// An operator changes the budget of a pool.
    Budget(usize, u32),
}

fn event() -> impl Strategy<Value = Event> {
    let command = prop_oneof![
        Just(RolloutCommand::Start),
        Just(RolloutCommand::Pause),
        Just(RolloutCommand::Resume),
        Just(RolloutCommand::Abort),
    ];
    prop_oneof![
        8 => Just(Event::Plan),
        4 => Just(Event::Race),
        2 => Just(Event::LostReplies),
        4 => (1_usize..40).prop_map(Event::ResumePaused),
        2 => (1_usize..40).prop_map(Event::OldConfig),
        1 => (0_usize..14, any::<bool>()).prop_map(|(rack, failed)| Event::Rack(rack, failed)),
        1 => (0_usize..50, any::<bool>()).prop_map(|(vm, failing)| Event::Boot(vm, failing)),
        1 => (0_usize..50, any::<bool>()).prop_map(|(vm, ejected)| Event::Eject(vm, ejected)),
        3 => (0_usize..5, command).prop_map(|(pool, command)| Event::Command(pool, command)),
        1 => (0_usize..5, 1_u32..4).prop_map(|(pool, budget)| Event::Budget(pool, budget)),
    ]
}

/// Input that a planner has read for one plan.
#[derive(Clone)]
struct PlannerSnapshot {
    second: u64,
    declaration: FleetDeclaration,
    config_version: u64,
    rows: FleetRows,
    observations: BTreeMap<VmId, VmObservation>,
    unassigned: Vec<redwing_model::vm::VmIdentity>,
}

impl PlannerSnapshot {
    fn plan(&self, settings: &PlannerSettings) -> FleetPlan {
        let view = PlannerView {
            config_version: self.config_version,
            observations: &self.observations,
            unassigned: &self.unassigned,
            ..PlannerView::new(&self.declaration, &self.rows)
        };
        plan(PlanTime::from_secs(self.second), settings, &view)
    }
}

struct Driver {
    settings: PlannerSettings,
    fleet: SimulatedFleet,
    config_version: u64,
    second: u64,
    snapshots: VecDeque<PlannerSnapshot>,
}

impl Driver {
    fn new(seed: u64) -> Self {
        let layout = FleetLayout {
            seed,
            ..FleetLayout::default()
        };
        Self {
            settings: PlannerSettings::default(),
            fleet: SimulatedFleet::new(&layout).unwrap(),
            config_version: 0,
            second: 0,
            snapshots: VecDeque::new(),
        }
    }

    fn read(&self) -> PlannerSnapshot {
        PlannerSnapshot {
            second: self.second,
            declaration: self.fleet.declaration.clone(),
            config_version: self.config_version,
            rows: self.fleet.rows.clone(),
            observations: self.fleet.observe(self.second),
            unassigned: self.fleet.unassigned(),
        }
    }

    fn execute(&mut self, plan: &FleetPlan, repeats: u32) {
        for step in &plan.steps {
            for repeat in 0..repeats {
                let applied = self.fleet.commit_step(self.second, step);
                assert!(repeat == 0 || !applied, "a repeated step took effect twice");
            }
        }
        for call in &plan.calls {
            self.fleet.call(self.second, call);
        }
    }

    /// Checks, for each pool in which the planner has just started a drain, that
    /// VMs observed as ejected or not listed count as out of service.
    fn check_suspects(&self, snapshot: &PlannerSnapshot) {
        let view = PlannerView {
            observations: &snapshot.observations,
            ..PlannerView::new(&snapshot.declaration, &self.fleet.rows)
        };
        for (pool, row) in &self.fleet.rows.pools {
            let now = PlanTime::from_secs(self.second);
            let just_started =
                |outage: &&VmOutage| outage.started == now && outage.cause.is_planned();
            if !row
                .value
                .outages
                .values()
                .any(|outage| just_started(&outage))
            {
                continue;
            }
            let members = self
                .fleet
                .rows
                .vms
                .values()
                .filter(|row| row.value.pool == *pool);
            let serving = members.filter(|row| row.value.phase == VmPhase::Serving);
            let names = serving.map(|row| &row.value.identity.vm);
            let suspects = names.filter(|vm| view.is_suspect(vm)).count() as u32;
            let out = row.value.unavailable() + suspects;
            assert!(out <= row.value.max_unavailable, "pool {pool}: {out} out");
        }
    }

    fn step(&mut self, event: &Event) {
        self.second += STEP_SECONDS;
        let snapshot = self.read();
        match event {
            Event::Plan => {
                self.execute(&snapshot.plan(&self.settings), 1);
                self.check_suspects(&snapshot);
            }
            Event::Race => {
                let plans = [snapshot.plan(&self.settings), snapshot.plan(&self.settings)];
                self.execute(&plans[0], 1);
                self.execute(&plans[1], 1);
            }
            Event::LostReplies => self.execute(&snapshot.plan(&self.settings), 2),
            Event::ResumePaused(age) => {
                let old = self.snapshots.iter().rev().nth(*age).unwrap_or(&snapshot);
                let plan = old.plan(&self.settings);
                self.execute(&plan, 1);
            }
            Event::OldConfig(age) => {
                let old = self.snapshots.iter().rev().nth(*age).unwrap_or(&snapshot);
                let outdated = PlannerSnapshot {
                    declaration: old.declaration.clone(),
                    config_version: old.config_version,
                    ..snapshot.clone()
                };
                self.execute(&outdated.plan(&self.settings), 1);
            }
            fault => self.inject(fault),
        }
        self.snapshots.push_back(snapshot);
        if self.snapshots.len() > 50 {
            self.snapshots.pop_front();
        }
    }

    fn inject(&mut self, event: &Event) {
        let vm_ids = self.fleet.vm_ids();
        match event {
            Event::Rack(rack, failed) => {
                let racks: Vec<_> = self.fleet.racks().into_iter().collect();
                let rack = &racks[rack % racks.len()];
                self.fleet.set_rack_failed(self.second, rack, *failed);
            }
            Event::Boot(vm, failing) => {
                let second = self.second;
                self.fleet.set_boot_failing(second, &vm_ids[*vm], *failing)
            }
            Event::Eject(vm, ejected) => self.fleet.set_ejected(&vm_ids[*vm], *ejected),
            Event::Command(pool, command) => self.command(&pool_name(*pool), *command),
            Event::Budget(pool, budget) => {
                let pool = pool_name(*pool);
                let target = self.fleet.declaration.pools.get_mut(&pool).unwrap();
                target.max_unavailable = *budget;
                self.config_version += 1;
            }
            _ => {}
        }
    }

    fn command(&mut self, pool: &PoolName, command: RolloutCommand) {
        let now = PlanTime::from_secs(self.second);
        if let Ok(commit) = rollout::command(now, &self.fleet.rows, pool, command) {
            self.fleet.commit(self.second, &commit);
        }
    }

    /// Ends all faults and runs one planner until the roll-outs can finish.
    fn settle(&mut self) {
        for rack in self.fleet.racks() {
            self.fleet.set_rack_failed(self.second, &rack, false);
        }
        for vm in self.fleet.vm_ids() {
            self.fleet.set_boot_failing(self.second, &vm, false);
            self.fleet.set_ejected(&vm, false);
        }
        for pool in 0..5 {
            self.command(&pool_name(pool), RolloutCommand::Resume);
            self.command(&pool_name(pool), RolloutCommand::Start);
        }
        for _ in 0..SETTLE_STEPS {
            self.step(&Event::Plan);
        }
    }
}

fn pool_name(number: usize) -> PoolName {
    PoolName::new(&format!("pool-{number}")).unwrap()
}

fn config(seed: u64, cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(61, 96))]

    #[test]
    fn invariants_hold_through_faults_and_races(
        events in prop::collection::vec(event(), 50..300),
        seed in 0_u64..1_000,
    ) {
        let mut driver = Driver::new(seed);
        for pool in 0..5 {
            driver.command(&pool_name(pool), RolloutCommand::Start);
        }
        for event in &events {
            driver.step(event);
            prop_assert_eq!(driver.fleet.violations(), &[], "after {:?}", event);
        }
    }
}

proptest! {
    #![proptest_config(config(62, 12))]

    #[test]
    fn rollouts_finish_after_faults_end(
        events in prop::collection::vec(event(), 50..150),
        seed in 0_u64..1_000,
    ) {
        let mut driver = Driver::new(seed);
        for event in &events {
            driver.step(event);
        }
        driver.settle();
        prop_assert_eq!(driver.fleet.violations(), &[]);
        for (pool, row) in &driver.fleet.rows.rollouts {
            prop_assert_eq!(row.value.state, RolloutState::Done, "pool {}", pool);
        }
        for (pool, row) in &driver.fleet.rows.pools {
            prop_assert_eq!(row.value.unavailable(), 0, "pool {}", pool);
        }
    }
}
