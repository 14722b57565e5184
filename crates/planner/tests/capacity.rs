//! Moves between pools, the fleet buffer, checkpoints and explanations.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod fixture;

use std::collections::BTreeMap;

use redwing_model::ClassName;
use redwing_model::declaration::{LongRequestPolicy, PolicyProfile, QueueTarget};
use redwing_planner::capacity::BufferPlan;
use redwing_planner::plan::plan;
use redwing_planner::rollout::RolloutCommand;
use redwing_planner::step::PlatformCall;
use redwing_planner::{PlanTime, PlannerView, explain};

use fixture::{FleetFixture, pool};

/// Number of the spare pool of the fixture.
const SPARE: usize = 4;

fn class(number: usize) -> ClassName {
    ClassName::new(&format!("class-{number}")).unwrap()
}

/// Creates a fleet with one class for each pool and these demands, in slots.
fn fixture_with_demand(profile: PolicyProfile, slots: [f64; 5]) -> FleetFixture {
    let mut fixture = FleetFixture::new();
    fixture.fleet.declaration.profile = profile;
    for (number, slots) in slots.into_iter().enumerate() {
        let queue = QueueTarget {
            pool: pool(number),
            open: true,
            max_timeout_seconds: 60,
            max_body_bytes: 1,
            max_waiting_per_customer: 1,
            shares: BTreeMap::new(),
        };
        fixture
            .fleet
            .declaration
            .queues
            .insert(class(number), queue);
        fixture.demand.insert(class(number), slots);
    }
    fixture
}

#[test]
fn sustained_shortage_is_met_from_the_spare_pool() {
    // Pool 0 of 8 VMs has 64 slots; a demand of 60 slots requires 9 VMs at a
    // utilisation of 90 %, and 2 more for the budget.
    let slots = [60.0, 10.0, 10.0, 10.0, 10.0];
    let mut fixture = fixture_with_demand(PolicyProfile::BufferFirst, slots);
    fixture.run(300);
    assert_eq!(fixture.members(0).len(), 11);
    assert_eq!(fixture.members(SPARE).len(), 9);
    assert_eq!(fixture.fleet.violations(), &[]);
}

#[test]
fn share_first_waits_for_a_reboot_in_the_donor_pool() {
    let slots = [45.0, 10.0, 10.0, 10.0, 10.0];
    let mut fixture = fixture_with_demand(PolicyProfile::ShareFirst, slots);
    fixture.run(300);
    assert_eq!(fixture.members(0).len(), 8);
    fixture.command(SPARE, RolloutCommand::Start);
    fixture.run(300);
    assert_eq!(fixture.members(0).len(), 10);
    assert_eq!(fixture.fleet.violations(), &[]);
}

#[test]
fn lent_vms_return_when_they_are_rebooted() {
    let slots = [60.0, 10.0, 10.0, 10.0, 10.0];
    let mut fixture = fixture_with_demand(PolicyProfile::BufferFirst, slots);
    fixture.run(300);
    fixture.demand.insert(class(0), 20.0);
    fixture.run(300);
    assert_eq!(
        fixture.members(0).len(),
        11,
        "surplus alone starts no drain"
    );
    fixture.command(0, RolloutCommand::Start);
    fixture.run(2_000);
    assert_eq!(fixture.members(0).len(), 8);
    assert_eq!(fixture.members(SPARE).len(), 12);
}

#[test]
fn demand_within_the_margin_moves_nothing() {
    let slots = [40.0, 10.0, 10.0, 10.0, 10.0];
    let mut fixture = fixture_with_demand(PolicyProfile::BufferFirst, slots);
    for round in 0..200 {
        let slots = if round % 2 == 0 { 36.0 } else { 43.0 };
        fixture.demand.insert(class(0), slots);
        fixture.run(5);
    }
    assert_eq!(fixture.members(0).len(), 8);
}

#[test]
fn reserve_replaces_a_lost_rack() {
    // The spare pool requires 9 of its 12 VMs, which leaves only the reserve.
    let slots = [40.0, 10.0, 10.0, 10.0, 40.0];
    let mut fixture = fixture_with_demand(PolicyProfile::ShareFirst, slots);
    let rack = fixture.rack_without(&[], 0);
    fixture.fleet.set_rack_failed(0, &rack, true);
    fixture.run(300);
    let serving = fixture.fleet.rows.pools[&pool(0)].value.serving();
    assert!(serving >= 6, "the budget of 2 below 8 VMs is restored");
    assert_eq!(fixture.fleet.violations(), &[]);
}

#[test]
fn stale_list_starts_no_drains() {
    let mut fixture = FleetFixture::new();
    fixture.command(0, RolloutCommand::Start);
    fixture.list_recent = false;
    fixture.run(60);
    assert!(fixture.unavailable_vms(0).is_empty());
    fixture.list_recent = true;
    fixture.run(1);
    assert_eq!(fixture.unavailable_vms(0).len(), 2);
}

#[test]
fn buffer_is_derived_from_budgets_and_the_largest_rack() {
    let fixture = FleetFixture::new();
    let view = PlannerView::new(&fixture.fleet.declaration, &fixture.fleet.rows);
    let buffer = BufferPlan::derive(&view, 0.0);
    assert_eq!((buffer.budgets, buffer.largest_rack), (10, 4));
    assert_eq!(buffer.total(), 14);
    assert_eq!(buffer.data_centre, 3 + 3 + 4 + 4 + 4);
}

#[test]
fn long_requests_are_awaited_or_checkpointed_as_declared() {
    for (long_requests, expected) in [
        (LongRequestPolicy::Wait, 0),
        (LongRequestPolicy::Checkpoint, 2),
    ] {
        let mut fixture = FleetFixture::new();
        let target = fixture.fleet.declaration.pools.get_mut(&pool(0)).unwrap();
        target.long_requests = long_requests;
        fixture.command(0, RolloutCommand::Start);
        fixture.run(1);
        let draining = fixture.unavailable_vms(0);
        fixture.block_drains(&draining);
        fixture.run(100);
        let observations = BTreeMap::new();
        let view = PlannerView {
            observations: &observations,
            ..PlannerView::new(&fixture.fleet.declaration, &fixture.fleet.rows)
        };
        let now = PlanTime::from_secs(fixture.second);
        let calls = plan(now, &fixture.settings, &view).calls;
        let checkpoint = |call: &&PlatformCall| matches!(call, PlatformCall::Checkpoint { .. });
        assert_eq!(calls.iter().filter(checkpoint).count(), expected);
        assert_eq!(fixture.unavailable_vms(0), draining, "the drain continues");
    }
}

#[test]
fn every_subject_is_explained() {
    let slots = [45.0, 10.0, 10.0, 10.0, 10.0];
    let mut fixture = fixture_with_demand(PolicyProfile::ShareFirst, slots);
    fixture.command(0, RolloutCommand::Start);
    fixture.run(10);
    let view = PlannerView {
        demand: &fixture.demand,
        ..PlannerView::new(&fixture.fleet.declaration, &fixture.fleet.rows)
    };
    let now = PlanTime::from_secs(fixture.second);
    let vm = fixture.unavailable_vms(0).remove(0);
    let subjects = [
        explain::Subject::Vm(vm),
        explain::Subject::Pool(pool(0)),
        explain::Subject::Class(class(0)),
    ];
    for subject in &subjects {
        let explanation = explain::explain(now, &fixture.settings, &view, subject).unwrap();
        assert!(!explanation.inputs.is_empty(), "{subject:?}");
        assert!(!explanation.would_change.is_empty(), "{subject:?}");
    }
    let unknown = explain::Subject::Vm("vm-none".parse().unwrap());
    assert!(explain::explain(now, &fixture.settings, &view, &unknown).is_none());
}

#[test]
fn new_pool_row_counts_the_vms_that_name_the_pool() {
    let mut fixture = FleetFixture::new();
    fixture.fleet.rows.pools.remove(&pool(0));
    fixture.run(1);
    assert_eq!(fixture.fleet.rows.pools[&pool(0)].value.members, 8);
    assert_eq!(fixture.fleet.violations(), &[]);
}
