//! Moves between pools and the buffer.
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

use fixture::{Bench, pool};

/// Number of the spare pool of the fixture.
const SPARE: usize = 4;

fn class(number: usize) -> ClassName {
    ClassName::new(&format!("class-{number}")).unwrap()
}

/// Adds one class to each pool with these demands, in slots.
fn with_demand(profile: PolicyProfile, slots: [f64; 5]) -> Bench {
    let mut bench = Bench::new();
    bench.fleet.declaration.profile = profile;
    for (number, slots) in slots.into_iter().enumerate() {
        let queue = QueueTarget {
            pool: pool(number),
            open: true,
            max_timeout_seconds: 60,
            max_body_bytes: 1,
            max_waiting_per_customer: 1,
            shares: BTreeMap::new(),
        };
        bench.fleet.declaration.queues.insert(class(number), queue);
        bench.demand.insert(class(number), slots);
    }
    bench
}

#[test]
fn sustained_shortage_is_met_from_the_spare_pool() {
    // Pool 0 of 8 VMs has 64 slots; 60 in use need 2 more at 90 % and budget 2.
    let slots = [60.0, 10.0, 10.0, 10.0, 10.0];
    let mut bench = with_demand(PolicyProfile::BufferFirst, slots);
    bench.run(300);
    assert_eq!(bench.members(0).len(), 11);
    assert_eq!(bench.members(SPARE).len(), 9);
    assert_eq!(bench.fleet.broken(), &[]);
}

#[test]
fn share_first_waits_for_a_reboot_of_the_donor() {
    let slots = [45.0, 10.0, 10.0, 10.0, 10.0];
    let mut bench = with_demand(PolicyProfile::ShareFirst, slots);
    bench.run(300);
    assert_eq!(bench.members(0).len(), 8);
    bench.command(SPARE, RolloutCommand::Start);
    bench.run(300);
    assert_eq!(bench.members(0).len(), 10);
    assert_eq!(bench.fleet.broken(), &[]);
}

#[test]
fn lent_vms_go_back_when_they_are_rebooted() {
    let slots = [60.0, 10.0, 10.0, 10.0, 10.0];
    let mut bench = with_demand(PolicyProfile::BufferFirst, slots);
    bench.run(300);
    bench.demand.insert(class(0), 20.0);
    bench.run(300);
    assert_eq!(bench.members(0).len(), 11, "nothing moves for its own sake");
    bench.command(0, RolloutCommand::Start);
    bench.run(2_000);
    assert_eq!(bench.members(0).len(), 8);
    assert_eq!(bench.members(SPARE).len(), 12);
}

#[test]
fn demand_within_the_margin_moves_nothing() {
    let slots = [40.0, 10.0, 10.0, 10.0, 10.0];
    let mut bench = with_demand(PolicyProfile::BufferFirst, slots);
    for turn in 0..200 {
        let slots = if turn % 2 == 0 { 36.0 } else { 43.0 };
        bench.demand.insert(class(0), slots);
        bench.run(5);
    }
    assert_eq!(bench.members(0).len(), 8);
}

#[test]
fn reserve_replaces_a_lost_rack() {
    // The spare pool needs 9 of its 12 VMs, which leaves only the reserve.
    let slots = [40.0, 10.0, 10.0, 10.0, 40.0];
    let mut bench = with_demand(PolicyProfile::ShareFirst, slots);
    let rack = bench.racks_without(&[], 0);
    bench.fleet.set_rack_dead(0, &rack, true);
    bench.run(300);
    let serving = bench.fleet.rows.pools[&pool(0)].value.serving();
    assert!(serving >= 6, "the budget of 2 below 8 VMs is restored");
    assert_eq!(bench.fleet.broken(), &[]);
}

#[test]
fn stale_list_takes_nothing_out_of_service() {
    let mut bench = Bench::new();
    bench.command(0, RolloutCommand::Start);
    bench.list_recent = false;
    bench.run(60);
    assert!(bench.out(0).is_empty());
    bench.list_recent = true;
    bench.run(1);
    assert_eq!(bench.out(0).len(), 2);
}

#[test]
fn buffer_follows_from_budgets_and_the_largest_rack() {
    let bench = Bench::new();
    let view = PlannerView::new(&bench.fleet.declaration, &bench.fleet.rows);
    let buffer = BufferPlan::derive(&view, 0.0);
    assert_eq!((buffer.budgets, buffer.largest_rack), (10, 4));
    assert_eq!(buffer.total(), 14);
    assert_eq!(buffer.data_centre, 3 + 3 + 4 + 4 + 4);
}

#[test]
fn long_jobs_are_waited_for_or_checkpointed_as_declared() {
    for (long_requests, expected) in [
        (LongRequestPolicy::Wait, 0),
        (LongRequestPolicy::Checkpoint, 2),
    ] {
        let mut bench = Bench::new();
        let target = bench.fleet.declaration.pools.get_mut(&pool(0)).unwrap();
        target.long_requests = long_requests;
        bench.command(0, RolloutCommand::Start);
        bench.run(1);
        let draining = bench.out(0);
        bench.hold_drains(&draining);
        bench.run(100);
        let observations = BTreeMap::new();
        let view = PlannerView {
            observations: &observations,
            ..PlannerView::new(&bench.fleet.declaration, &bench.fleet.rows)
        };
        let now = PlanTime::from_secs(bench.second);
        let calls = plan(now, &bench.settings, &view).calls;
        let checkpoint = |call: &&PlatformCall| matches!(call, PlatformCall::Checkpoint { .. });
        assert_eq!(calls.iter().filter(checkpoint).count(), expected);
        assert_eq!(bench.out(0), draining, "the drain goes on");
    }
}

#[test]
fn every_subject_is_explained() {
    let slots = [45.0, 10.0, 10.0, 10.0, 10.0];
    let mut bench = with_demand(PolicyProfile::ShareFirst, slots);
    bench.command(0, RolloutCommand::Start);
    bench.run(10);
    let view = PlannerView {
        demand: &bench.demand,
        ..PlannerView::new(&bench.fleet.declaration, &bench.fleet.rows)
    };
    let now = PlanTime::from_secs(bench.second);
    let vm = bench.out(0).remove(0);
    let subjects = [
        explain::Subject::Vm(vm),
        explain::Subject::Pool(pool(0)),
        explain::Subject::Class(class(0)),
    ];
    for subject in &subjects {
        let explanation = explain::explain(now, &bench.settings, &view, subject).unwrap();
        assert!(!explanation.inputs.is_empty(), "{subject:?}");
        assert!(!explanation.would_change.is_empty(), "{subject:?}");
    }
    let unknown = explain::Subject::Vm("vm-none".parse().unwrap());
    assert!(explain::explain(now, &bench.settings, &view, &unknown).is_none());
}

#[test]
fn pool_without_a_row_counts_the_vms_that_name_it() {
    let mut bench = Bench::new();
    bench.fleet.rows.pools.remove(&pool(0));
    bench.run(1);
    assert_eq!(bench.fleet.rows.pools[&pool(0)].value.members, 8);
    assert_eq!(bench.fleet.broken(), &[]);
}
