//! Roll-outs: commands, order of drains, failures, and status.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod fixture;

use std::time::Duration;

use redwing_model::vm::VmPhase;
use redwing_planner::error::Category;
use redwing_planner::rollout::{self, RolloutBlocker, RolloutCommand, RolloutState, RolloutStatus};
use redwing_planner::{PlanTime, PlannerView};
use rstest::rstest;

use fixture::{FleetFixture, pool};

#[test]
fn rollout_uses_the_whole_budget_in_one_data_centre() {
    let mut fixture = FleetFixture::new();
    fixture.command(0, RolloutCommand::Start);
    fixture.run(30);
    let out = fixture.unavailable_vms(0);
    assert_eq!(out.len(), 2);
    let centres: Vec<_> = out.iter().map(|vm| fixture.data_centre(vm)).collect();
    assert_eq!(centres[0], centres[1]);
    fixture.run(3_000);
    let rollout = fixture.rollout(0);
    assert_eq!((rollout.state, rollout.done), (RolloutState::Done, 8));
    assert_eq!(fixture.fleet.violations(), &[]);
}

#[rstest]
#[case::pause_twice(&[RolloutCommand::Pause], RolloutCommand::Pause)]
#[case::abort_twice(&[RolloutCommand::Abort], RolloutCommand::Abort)]
#[case::resume_running(&[], RolloutCommand::Resume)]
#[case::resume_aborted(&[RolloutCommand::Abort], RolloutCommand::Resume)]
#[case::start_running(&[], RolloutCommand::Start)]
#[case::start_paused(&[RolloutCommand::Pause], RolloutCommand::Start)]
fn commands_invalid_in_the_current_state_are_refused(
    #[case] before: &[RolloutCommand],
    #[case] refused: RolloutCommand,
) {
    let mut fixture = FleetFixture::new();
    fixture.command(0, RolloutCommand::Start);
    for command in before {
        fixture.command(0, *command);
    }
    let error = fixture.try_command(0, refused).unwrap_err();
    assert_eq!(error.classify(), Category::Refused);
}

#[test]
fn one_of_two_concurrent_commands_conflicts() {
    let mut fixture = FleetFixture::new();
    fixture.command(0, RolloutCommand::Start);
    let now = PlanTime::from_secs(1);
    let rows = &fixture.fleet.rows;
    let pause = rollout::command(now, rows, &pool(0), RolloutCommand::Pause).unwrap();
    let abort = rollout::command(now, rows, &pool(0), RolloutCommand::Abort).unwrap();
    assert!(fixture.fleet.commit(1, &pause));
    assert!(!fixture.fleet.commit(1, &abort));
    assert_eq!(fixture.rollout(0).state, RolloutState::Paused);
}

#[test]
fn paused_rollout_starts_no_drains() {
    let mut fixture = FleetFixture::new();
    fixture.command(0, RolloutCommand::Start);
    fixture.run(10);
    fixture.command(0, RolloutCommand::Pause);
    fixture.run(600);
    assert!(fixture.unavailable_vms(0).is_empty());
    assert_eq!(fixture.rollout(0).done, 2);
    fixture.command(0, RolloutCommand::Resume);
    fixture.run(2);
    assert_eq!(fixture.unavailable_vms(0).len(), 2);
}

#[test]
fn abort_cancels_drains_immediately() {
    let mut fixture = FleetFixture::new();
    fixture.command(0, RolloutCommand::Start);
    fixture.run(2);
    assert_eq!(fixture.unavailable_vms(0).len(), 2);
    fixture.command(0, RolloutCommand::Abort);
    fixture.run(2);
    assert!(fixture.unavailable_vms(0).is_empty());
    assert_eq!(fixture.fleet.violations(), &[]);
}

#[test]
fn rollout_stops_when_vms_do_not_return() {
    let mut fixture = FleetFixture::new();
    for vm in fixture.fleet.vm_ids() {
        fixture.fleet.set_boot_failing(0, &vm, true);
    }
    fixture.command(0, RolloutCommand::Start);
    fixture.run(2_000);
    let rollout = fixture.rollout(0);
    assert_eq!(rollout.state, RolloutState::Stopped);
    assert_eq!(rollout.failed.len(), 2);
    assert_eq!(fixture.fleet.violations(), &[]);
}

#[test]
fn rack_failure_during_a_rollout_cancels_its_drains() {
    let mut fixture = FleetFixture::new();
    fixture.command(4, RolloutCommand::Start);
    fixture.run(3);
    let draining = fixture.unavailable_vms(4);
    assert_eq!(draining.len(), 2);
    let rack = fixture.rack_without(&draining, 4);
    fixture.fleet.set_rack_failed(fixture.second, &rack, true);
    // The drains must outlast the time until the rack counts as missing.
    fixture.block_drains(&draining);
    fixture.run(60);
    for vm in &draining {
        assert_eq!(fixture.phase(vm), VmPhase::Serving, "{vm}");
    }
    assert_eq!(fixture.fleet.violations(), &[]);
}

fn status(fixture: &FleetFixture) -> RolloutStatus {
    let view = PlannerView::new(&fixture.fleet.declaration, &fixture.fleet.rows);
    let now = PlanTime::from_secs(fixture.second);
    rollout::status(now, Duration::from_secs(100), &view, &pool(0)).unwrap()
}

#[test]
fn status_reports_progress_and_blockers() {
    let mut fixture = FleetFixture::new();
    fixture.command(0, RolloutCommand::Start);
    fixture.run(30);
    let early = status(&fixture);
    let spent = RolloutBlocker::BudgetSpent {
        planned: 2,
        unplanned: 0,
    };
    assert_eq!((early.total, early.done), (8, 0));
    assert_eq!(early.blocked_by, [spent]);
    assert!(early.expected_end.unwrap() > PlanTime::from_secs(fixture.second));
    fixture.run(10);
    assert_eq!(status(&fixture).expected_end, early.expected_end);
    while fixture.rollout(0).done < 2 {
        fixture.run(1);
    }
    // The first data centre has 3 VMs, so its last VM is rebooted alone.
    let later = status(&fixture);
    let data_centre = fixture.data_centre(&later.unavailable[0]);
    assert_eq!(later.unavailable.len(), 1);
    assert_eq!(
        later.blocked_by,
        [RolloutBlocker::DataCentre { data_centre }]
    );
}

#[test]
fn returned_vm_counts_as_unavailable_while_ejected() {
    let mut fixture = FleetFixture::new();
    fixture.command(0, RolloutCommand::Start);
    fixture.run(1);
    let ejected = fixture.unavailable_vms(0).remove(0);
    fixture.fleet.set_ejected(&ejected, true);
    while fixture.phase(&ejected) != VmPhase::Serving {
        fixture.run(1);
    }
    // The ejected VM and one other VM use up the budget of 2.
    assert!(
        fixture.unavailable_vms(0).len() < 2,
        "{:?}",
        fixture.unavailable_vms(0)
    );
}
