//! Properties that hold through any mixture of faults, races and operators.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::{BTreeMap, VecDeque};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use redwing_model::vm::VmPhase;
use redwing_model::{FleetDeclaration, PoolName, VmId};
use redwing_planner::plan::{FleetPlan, plan};
use redwing_planner::rollout::{self, RolloutCommand, RolloutState};
use redwing_planner::trial::{TrialFleet, TrialLayout};
use redwing_planner::{FleetRows, PlanTime, PlannerSettings, PlannerView, VmObservation, VmOutage};

/// Seconds between two events.
const STEP_SECONDS: u64 = 5;

/// Steps within which everything must be done once the faults are over.
const SETTLE_STEPS: u64 = 2_000;

#[derive(Clone, Debug)]
enum Event {
    /// One planner plans and commits.
    Plan,
    /// Two planners plan from the same rows and both commit.
    Race,
    /// A planner repeats each commit because the replies were lost.
    LostReplies,
    /// A planner that was paused for some steps commits what it had planned.
    WakePaused(usize),
    /// A planner reads the table, but has not heard of later configurations.
    OldConfig(usize),
    /// A rack fails, or comes back.
    Rack(usize, bool),
    /// A VM will not boot any more, or will again.
    Boot(usize, bool),
    /// A VM is ejected, or admitted again.
    Eject(usize, bool),
    /// An operator commands a roll-out.
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
        4 => (1_usize..40).prop_map(Event::WakePaused),
        2 => (1_usize..40).prop_map(Event::OldConfig),
        1 => (0_usize..14, any::<bool>()).prop_map(|(rack, dead)| Event::Rack(rack, dead)),
        1 => (0_usize..50, any::<bool>()).prop_map(|(vm, refused)| Event::Boot(vm, refused)),
        1 => (0_usize..50, any::<bool>()).prop_map(|(vm, ejected)| Event::Eject(vm, ejected)),
        3 => (0_usize..5, command).prop_map(|(pool, command)| Event::Command(pool, command)),
        1 => (0_usize..5, 1_u32..4).prop_map(|(pool, budget)| Event::Budget(pool, budget)),
    ]
}

/// Everything that a planner had read when it planned.
#[derive(Clone)]
struct Memory {
    second: u64,
    declaration: FleetDeclaration,
    config_version: u64,
    rows: FleetRows,
    observations: BTreeMap<VmId, VmObservation>,
    unassigned: Vec<redwing_model::vm::VmIdentity>,
}

impl Memory {
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
    fleet: TrialFleet,
    config_version: u64,
    second: u64,
    memories: VecDeque<Memory>,
}

impl Driver {
    fn new(seed: u64) -> Self {
        let layout = TrialLayout {
            seed,
            ..TrialLayout::default()
        };
        Self {
            settings: PlannerSettings::default(),
            fleet: TrialFleet::new(&layout).unwrap(),
            config_version: 0,
            second: 0,
            memories: VecDeque::new(),
        }
    }

    fn read(&self) -> Memory {
        Memory {
            second: self.second,
            declaration: self.fleet.declaration.clone(),
            config_version: self.config_version,
            rows: self.fleet.rows.clone(),
            observations: self.fleet.observe(self.second),
            unassigned: self.fleet.unassigned(),
        }
    }

    fn carry_out(&mut self, plan: &FleetPlan, repeats: u32) {
        for step in &plan.steps {
            for repeat in 0..repeats {
                let held = self.fleet.commit_step(self.second, step);
                assert!(repeat == 0 || !held, "a repeated step took effect twice");
            }
        }
        for call in &plan.calls {
            self.fleet.call(self.second, call);
        }
    }

    /// Checks that VMs known to be ejected or unseen were counted as out
    /// wherever the planner has just begun a drain.
    fn check_suspects(&self, memory: &Memory) {
        let view = PlannerView {
            observations: &memory.observations,
            ..PlannerView::new(&memory.declaration, &self.fleet.rows)
        };
        for (pool, row) in &self.fleet.rows.pools {
            let now = PlanTime::from_secs(self.second);
            let begun = |outage: &&VmOutage| outage.started == now && outage.cause.is_planned();
            if !row.value.out.values().any(|outage| begun(&outage)) {
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
        let memory = self.read();
        match event {
            Event::Plan => {
                self.carry_out(&memory.plan(&self.settings), 1);
                self.check_suspects(&memory);
            }
            Event::Race => {
                let plans = [memory.plan(&self.settings), memory.plan(&self.settings)];
                self.carry_out(&plans[0], 1);
                self.carry_out(&plans[1], 1);
            }
            Event::LostReplies => self.carry_out(&memory.plan(&self.settings), 2),
            Event::WakePaused(age) => {
                let old = self.memories.iter().rev().nth(*age).unwrap_or(&memory);
                let plan = old.plan(&self.settings);
                self.carry_out(&plan, 1);
            }
            Event::OldConfig(age) => {
                let old = self.memories.iter().rev().nth(*age).unwrap_or(&memory);
                let outdated = Memory {
                    declaration: old.declaration.clone(),
                    config_version: old.config_version,
                    ..memory.clone()
                };
                self.carry_out(&outdated.plan(&self.settings), 1);
            }
            other => self.disturb(other),
        }
        self.memories.push_back(memory);
        if self.memories.len() > 50 {
            self.memories.pop_front();
        }
    }

    fn disturb(&mut self, event: &Event) {
        let names = self.fleet.names();
        match event {
            Event::Rack(rack, dead) => {
                let racks: Vec<_> = self.fleet.racks().into_iter().collect();
                let rack = &racks[rack % racks.len()];
                self.fleet.set_rack_dead(self.second, rack, *dead);
            }
            Event::Boot(vm, refused) => {
                let second = self.second;
                self.fleet.set_boot_refused(second, &names[*vm], *refused)
            }
            Event::Eject(vm, ejected) => self.fleet.set_ejected(&names[*vm], *ejected),
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

    /// Ends all faults and lets one planner finish what is open.
    fn settle(&mut self) {
        for rack in self.fleet.racks() {
            self.fleet.set_rack_dead(self.second, &rack, false);
        }
        for vm in self.fleet.names() {
            self.fleet.set_boot_refused(self.second, &vm, false);
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
    fn no_rule_breaks_through_faults_and_races(
        events in prop::collection::vec(event(), 50..300),
        seed in 0_u64..1_000,
    ) {
        let mut driver = Driver::new(seed);
        for pool in 0..5 {
            driver.command(&pool_name(pool), RolloutCommand::Start);
        }
        for event in &events {
            driver.step(event);
            prop_assert_eq!(driver.fleet.broken(), &[], "after {:?}", event);
        }
    }
}

proptest! {
    #![proptest_config(config(62, 12))]

    #[test]
    fn roll_outs_end_once_faults_are_over(
        events in prop::collection::vec(event(), 50..150),
        seed in 0_u64..1_000,
    ) {
        let mut driver = Driver::new(seed);
        for event in &events {
            driver.step(event);
        }
        driver.settle();
        prop_assert_eq!(driver.fleet.broken(), &[]);
        for (pool, row) in &driver.fleet.rows.rollouts {
            prop_assert_eq!(row.value.state, RolloutState::Done, "pool {}", pool);
        }
        for (pool, row) in &driver.fleet.rows.pools {
            prop_assert_eq!(row.value.unavailable(), 0, "pool {}", pool);
        }
    }
}
