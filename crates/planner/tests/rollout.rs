//! Life of a roll-out: commands, order, failures and hold-ups.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod fixture;

use std::time::Duration;

use redwing_model::vm::VmPhase;
use redwing_planner::error::Category;
use redwing_planner::rollout::{self, HoldUp, RolloutCommand, RolloutState, RolloutStatus};
use redwing_planner::{PlanTime, PlannerView};
use rstest::rstest;

use fixture::{Bench, pool};

#[test]
fn budget_is_kept_filled_in_one_data_centre() {
    let mut bench = Bench::new();
    bench.command(0, RolloutCommand::Start);
    bench.run(30);
    let out = bench.out(0);
    assert_eq!(out.len(), 2);
    let centres: Vec<_> = out.iter().map(|vm| bench.data_centre(vm)).collect();
    assert_eq!(centres[0], centres[1]);
    bench.run(3_000);
    let rollout = bench.rollout(0);
    assert_eq!((rollout.state, rollout.done), (RolloutState::Done, 8));
    assert_eq!(bench.fleet.broken(), &[]);
}

#[rstest]
#[case::pause_twice(&[RolloutCommand::Pause], RolloutCommand::Pause)]
#[case::abort_twice(&[RolloutCommand::Abort], RolloutCommand::Abort)]
#[case::resume_running(&[], RolloutCommand::Resume)]
#[case::resume_aborted(&[RolloutCommand::Abort], RolloutCommand::Resume)]
#[case::start_running(&[], RolloutCommand::Start)]
#[case::start_paused(&[RolloutCommand::Pause], RolloutCommand::Start)]
fn commands_that_do_not_fit_are_refused(
    #[case] before: &[RolloutCommand],
    #[case] refused: RolloutCommand,
) {
    let mut bench = Bench::new();
    bench.command(0, RolloutCommand::Start);
    for command in before {
        bench.command(0, *command);
    }
    let error = bench.try_command(0, refused).unwrap_err();
    assert_eq!(error.classify(), Category::Refused);
}

#[test]
fn of_two_operators_one_is_told_of_the_conflict() {
    let mut bench = Bench::new();
    bench.command(0, RolloutCommand::Start);
    let now = PlanTime::from_secs(1);
    let rows = &bench.fleet.rows;
    let pause = rollout::command(now, rows, &pool(0), RolloutCommand::Pause).unwrap();
    let abort = rollout::command(now, rows, &pool(0), RolloutCommand::Abort).unwrap();
    assert!(bench.fleet.commit(1, &pause));
    assert!(!bench.fleet.commit(1, &abort));
    assert_eq!(bench.rollout(0).state, RolloutState::Paused);
}

#[test]
fn paused_roll_out_takes_no_more_vms() {
    let mut bench = Bench::new();
    bench.command(0, RolloutCommand::Start);
    bench.run(10);
    bench.command(0, RolloutCommand::Pause);
    bench.run(600);
    assert!(bench.out(0).is_empty());
    assert_eq!(bench.rollout(0).done, 2);
    bench.command(0, RolloutCommand::Resume);
    bench.run(2);
    assert_eq!(bench.out(0).len(), 2);
}

#[test]
fn abort_calls_off_drains_at_once() {
    let mut bench = Bench::new();
    bench.command(0, RolloutCommand::Start);
    bench.run(2);
    assert_eq!(bench.out(0).len(), 2);
    bench.command(0, RolloutCommand::Abort);
    bench.run(2);
    assert!(bench.out(0).is_empty());
    assert_eq!(bench.fleet.broken(), &[]);
}

#[test]
fn failing_wave_stops_itself() {
    let mut bench = Bench::new();
    for vm in bench.fleet.names() {
        bench.fleet.set_boot_refused(0, &vm, true);
    }
    bench.command(0, RolloutCommand::Start);
    bench.run(2_000);
    let rollout = bench.rollout(0);
    assert_eq!(rollout.state, RolloutState::Stopped);
    assert_eq!(rollout.failed.len(), 2);
    assert_eq!(bench.fleet.broken(), &[]);
}

#[test]
fn rack_failing_in_a_wave_calls_off_the_drains() {
    let mut bench = Bench::new();
    bench.command(4, RolloutCommand::Start);
    bench.run(3);
    let draining = bench.out(4);
    assert_eq!(draining.len(), 2);
    let elsewhere = bench.racks_without(&draining, 4);
    bench.fleet.set_rack_dead(bench.second, &elsewhere, true);
    // The drains would last longer than it takes to miss the rack.
    bench.hold_drains(&draining);
    bench.run(60);
    for vm in &draining {
        assert_eq!(bench.phase(vm), VmPhase::Serving, "{vm}");
    }
    assert_eq!(bench.fleet.broken(), &[]);
}

fn status(bench: &Bench) -> RolloutStatus {
    let view = PlannerView::new(&bench.fleet.declaration, &bench.fleet.rows);
    let now = PlanTime::from_secs(bench.second);
    rollout::status(now, Duration::from_secs(100), &view, &pool(0)).unwrap()
}

#[test]
fn status_says_how_far_it_is_and_what_holds_it_up() {
    let mut bench = Bench::new();
    bench.command(0, RolloutCommand::Start);
    bench.run(30);
    let early = status(&bench);
    let spent = HoldUp::BudgetSpent {
        planned: 2,
        unplanned: 0,
    };
    assert_eq!((early.total, early.done), (8, 0));
    assert_eq!(early.held_up_by, [spent]);
    assert!(early.expected_end.unwrap() > PlanTime::from_secs(bench.second));
    bench.run(10);
    assert_eq!(status(&bench).expected_end, early.expected_end);
    while bench.rollout(0).done < 2 {
        bench.run(1);
    }
    // The first data centre has 3 VMs, so that one is left on its own.
    let later = status(&bench);
    let data_centre = bench.data_centre(&later.out[0]);
    assert_eq!(later.out.len(), 1);
    assert_eq!(later.held_up_by, [HoldUp::DataCentre { data_centre }]);
}

#[test]
fn ejected_vm_goes_on_counting_when_it_returns() {
    let mut bench = Bench::new();
    bench.command(0, RolloutCommand::Start);
    bench.run(1);
    let ejected = bench.out(0).remove(0);
    bench.fleet.set_ejected(&ejected, true);
    while bench.phase(&ejected) != VmPhase::Serving {
        bench.run(1);
    }
    // The ejected VM and one other spend the budget of 2.
    assert!(bench.out(0).len() < 2, "{:?}", bench.out(0));
}
