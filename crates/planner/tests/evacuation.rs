//! Plans while a data centre is evacuated.
#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod fixture;

use std::collections::{BTreeMap, BTreeSet};

use fixture::{FleetFixture, pool};
use redwing_model::declaration::PolicyProfile;
use redwing_model::vm::VmPhase;
use redwing_model::{ClassName, DataCentre, VmId};
use redwing_planner::explain::{self, Subject};
use redwing_planner::plan::plan;
use redwing_planner::rollout::{self, RolloutBlocker, RolloutCommand, RolloutState};
use redwing_planner::step::StepChange;
use redwing_planner::{PlanTime, PlannerView};

fn class(number: usize) -> ClassName {
    ClassName::new(&format!("class-{number}")).unwrap()
}

/// Fleet with evacuated data centres.
struct EvacuatedFleet {
    fixture: FleetFixture,
    evacuated: BTreeSet<DataCentre>,
}

impl EvacuatedFleet {
    fn new() -> Self {
        let mut fixture = FleetFixture::new();
        for number in 0..5 {
            let text = format!(
                "[pools.pool-{number}]\nvms = 1\nmax-unavailable = 1\n\
                 [queues.class-{number}]\npool = \"pool-{number}\"\n"
            );
            let queues = redwing_model::from_toml(&text).unwrap().queues;
            fixture.fleet.declaration.queues.extend(queues);
            fixture.demand.insert(class(number), 10.0);
        }
        fixture.run(1);
        let evacuated = BTreeSet::new();
        Self { fixture, evacuated }
    }

    /// Runs for some seconds and returns the changes of all steps.
    fn run(&mut self, seconds: u64) -> Vec<StepChange> {
        let mut changes = Vec::new();
        for _ in 0..seconds {
            let fixture = &mut self.fixture;
            fixture.second += 1;
            let now = PlanTime::from_secs(fixture.second);
            let observations = fixture.fleet.observe(fixture.second);
            let unassigned = fixture.fleet.unassigned();
            let view = PlannerView {
                observations: &observations,
                unassigned: &unassigned,
                evacuated: &self.evacuated,
                demand: &fixture.demand,
                ..PlannerView::new(&fixture.fleet.declaration, &fixture.fleet.rows)
            };
            let plan = plan(now, &fixture.settings, &view);
            for step in &plan.steps {
                changes.extend(step.changes.iter().cloned());
                assert!(fixture.fleet.commit_step(fixture.second, step));
            }
            for call in &plan.calls {
                fixture.fleet.call(fixture.second, call);
            }
        }
        assert_eq!(self.fixture.fleet.violations(), &[]);
        changes
    }

    /// Evacuates the data centre that has the most VMs of pool 0, and returns these VMs.
    fn evacuate(&mut self) -> Vec<VmId> {
        let mut members: BTreeMap<DataCentre, Vec<VmId>> = BTreeMap::new();
        for vm in self.fixture.members(0) {
            let name = self.fixture.data_centre(&vm);
            members.entry(name).or_default().push(vm);
        }
        let most = members.into_iter().max_by_key(|(_, vms)| vms.len());
        let (name, vms) = most.unwrap();
        self.evacuated.insert(name);
        vms
    }

    fn is_evacuated(&self, vm: &VmId) -> bool {
        self.evacuated.contains(&self.fixture.data_centre(vm))
    }

    /// Returns the members of a pool that get requests.
    fn serving(&self, number: usize) -> usize {
        let members = self.fixture.members(number);
        let serving = members
            .iter()
            .filter(|vm| self.fixture.phase(vm) == VmPhase::Serving && !self.is_evacuated(vm));
        serving.count()
    }
}

/// Returns the VMs that begin to drain.
fn drained(changes: &[StepChange]) -> Vec<&VmId> {
    let drains = changes.iter().filter_map(|change| match change {
        StepChange::Drain { vm, .. } => Some(vm),
        _ => None,
    });
    drains.collect()
}

/// Guards against a pool that stays short of VMs during an evacuation, against VMs of the
/// evacuated data centre that are moved into a pool, and against drains beyond a budget.
#[test]
fn vms_of_other_data_centres_replace_the_evacuated_ones() {
    let mut fleet = EvacuatedFleet::new();
    fleet.evacuate();
    let serving = |fleet: &EvacuatedFleet| (0..4).map(|pool| fleet.serving(pool)).sum::<usize>();
    let before = serving(&fleet);
    let changes = fleet.run(600);
    // The spare pool has 8 VMs elsewhere and needs 4 for its own demand.
    assert_eq!(serving(&fleet), before + 4);
    let moved = changes.iter().filter_map(|change| match change {
        StepChange::Move { vm, .. } => Some(vm),
        _ => None,
    });
    let moved: Vec<&VmId> = moved.collect();
    assert!(!moved.is_empty());
    assert!(moved.iter().all(|vm| !fleet.is_evacuated(vm)), "{moved:?}");
}

/// Guards against a roll-out that stands still in the evacuated data centre, or that takes
/// VMs of the others out of service while the evacuation has used up the budget.
#[test]
fn a_rollout_goes_on_in_the_evacuated_data_centre_only() {
    let mut fleet = EvacuatedFleet::new();
    let vms = fleet.evacuate();
    fleet.fixture.command(0, RolloutCommand::Start);
    let changes = fleet.run(60);
    let drains = drained(&changes);
    assert!(drains.iter().any(|vm| vms.contains(vm)));
    let changes = fleet.run(900);
    let cause = |vm: &VmId| fleet.fixture.rollout(0).remaining.contains(vm);
    assert!(
        vms.iter().all(|vm| !cause(vm)),
        "all VMs there are rebooted"
    );
    assert_eq!(fleet.fixture.rollout(0).state, RolloutState::Running);
    let of_pool = |vm: &&&VmId| fleet.fixture.members(0).contains(**vm);
    let elsewhere = drained(&changes);
    let elsewhere = elsewhere.iter().filter(of_pool);
    assert_eq!(elsewhere.filter(|vm| !fleet.is_evacuated(vm)).count(), 0);

    let now = PlanTime::from_secs(fleet.fixture.second);
    let rows = &fleet.fixture.fleet.rows;
    let view = PlannerView {
        evacuated: &fleet.evacuated,
        ..PlannerView::new(&fleet.fixture.fleet.declaration, rows)
    };
    let status = rollout::status(now, Default::default(), &view, &pool(0)).unwrap();
    let is_named = |blocker: &RolloutBlocker| matches!(blocker, RolloutBlocker::Evacuated { .. });
    assert!(status.blocked_by.iter().any(is_named), "{status:?}");

    let subject = Subject::Pool(pool(0));
    let explained = explain::explain(now, &fleet.fixture.settings, &view, &subject).unwrap();
    assert!(
        explained.decision.starts_with("0 more VMs"),
        "{explained:?}"
    );

    fleet.evacuated.clear();
    fleet.run(2_000);
    assert_eq!(fleet.fixture.rollout(0).state, RolloutState::Done);
}

/// Guards against planned drains elsewhere that go on although the evacuation has used up
/// the budget, and against a drain in the evacuated data centre that is cancelled with them.
#[test]
fn drains_elsewhere_are_cancelled_when_an_evacuation_begins() {
    let mut fleet = EvacuatedFleet::new();
    fleet.fixture.command(0, RolloutCommand::Start);
    let changes = fleet.run(2);
    let draining: Vec<VmId> = drained(&changes).into_iter().cloned().collect();
    assert_eq!(draining.len(), 2);
    let name = fleet.fixture.data_centre(&draining[0]);
    let other = fleet.fixture.members(0);
    let other = other.iter().map(|vm| fleet.fixture.data_centre(vm));
    let other = other.into_iter().find(|other| *other != name).unwrap();

    let mut there = EvacuatedFleet {
        fixture: fleet.fixture,
        evacuated: BTreeSet::from([name]),
    };
    there.run(1);
    let is_out = |fleet: &EvacuatedFleet| {
        let phases = draining.iter().map(|vm| fleet.fixture.phase(vm));
        phases.filter(|phase| *phase != VmPhase::Serving).count()
    };
    assert_eq!(is_out(&there), 2);
    there.evacuated = BTreeSet::from([other]);
    there.run(1);
    assert_eq!(is_out(&there), 0);
}

/// Guards against a VM that joins another pool out of a data centre which was evacuated while
/// the VM drained for the move.
#[test]
fn a_move_that_waits_for_its_drain_is_cancelled() {
    let mut fleet = EvacuatedFleet::new();
    fleet.fixture.fleet.declaration.profile = PolicyProfile::BufferFirst;
    fleet.fixture.demand.insert(class(0), 60.0);
    let changes = fleet.run(2);
    let moving: Vec<VmId> = drained(&changes).into_iter().cloned().collect();
    assert!(!moving.is_empty());
    let pools = |fleet: &EvacuatedFleet| {
        let rows = moving.iter().map(|vm| &fleet.fixture.fleet.rows.vms[vm]);
        let pools = rows.map(|row| (row.value.pool.clone(), row.value.phase));
        pools.collect::<Vec<_>>()
    };
    let before = pools(&fleet);
    let names = moving.iter().map(|vm| fleet.fixture.data_centre(vm));
    fleet.evacuated = names.collect();
    fleet.run(100);
    let expected = before.into_iter().map(|(pool, _)| (pool, VmPhase::Serving));
    assert_eq!(pools(&fleet), expected.collect::<Vec<_>>());
}
