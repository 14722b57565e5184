//! A new owner meets workers in the state in which its predecessor left them.

mod common;

use std::time;

use common::{FakeFleet, FakeWorker, step_spec};
use redwing_jobs::scheduler::PreviousOwner;
use redwing_jobs::spec::StepSpec;
use redwing_jobs::{BootTime, SchedulerSettings};
use rstest::rstest;

fn fleet_of(count: usize) -> FakeFleet {
    let workers =
        (0..count).map(|number| FakeWorker::new(&format!("w{number}"), "builders", 8_000));
    FakeFleet::new(SchedulerSettings::default(), workers.collect())
}

fn long_running_step(count: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        ..step_spec(count, 1_000)
    }
}

/// The previous owner ended before it had read that the worker drains.
#[test]
fn a_new_owner_moves_long_running_tasks_off_a_worker_that_drains_already() {
    let mut fleet = fleet_of(2);
    fleet.submit("j", vec![long_running_step(2)], 0);
    fleet.advance(300);
    let draining = fleet.starts[0].2.clone();
    fleet.worker(draining.as_str()).view.is_draining = true;
    fleet.take_over(SchedulerSettings::default());
    fleet.advance(1_000);
    assert!(fleet.worker(draining.as_str()).running.is_empty());
    let restarts = fleet.starts.iter().skip(2);
    assert!(restarts.clone().all(|(.., worker, _)| *worker != draining));
    assert_eq!(restarts.count(), 2, "{:?}", fleet.starts);
    fleet.assert_no_double_run();
}

/// The previous owner ordered the moves, but none of its orders arrived.
#[test]
fn a_new_owner_moves_long_running_tasks_whose_stop_orders_were_lost() {
    let mut fleet = fleet_of(2);
    fleet.submit("j", vec![long_running_step(1)], 0);
    fleet.advance(300);
    let draining = fleet.starts[0].2.clone();
    fleet.worker(draining.as_str()).view.is_draining = true;
    let view = fleet.worker(draining.as_str()).view.clone();
    fleet.scheduler.worker_listed(view, fleet.now);
    fleet.scheduler.take_orders();
    fleet.take_over(SchedulerSettings::default());
    fleet.advance(1_000);
    assert!(fleet.worker(draining.as_str()).running.is_empty());
    assert_eq!(fleet.starts.len(), 2, "{:?}", fleet.starts);
}

/// An owner that may live on renews leases for 2.5 s after its latest change; one that
/// has ended does not. The leases of those before it may last longer.
#[rstest]
#[case::may_live(false, Some(0), 7_900)]
#[case::ended(true, Some(0), 5_400)]
#[case::ended_after_a_short_time(true, Some(7_500), 7_500)]
#[case::of_an_earlier_release(true, None, 7_900)]
fn leases_of_earlier_owners_end(
    #[case] has_ended: bool,
    #[case] inherited_ms: Option<u64>,
    #[case] expected_ms: u64,
) {
    let unchanged_since = BootTime::from_millis(20_000);
    let previous = PreviousOwner {
        unchanged_since,
        has_ended,
        inherited: inherited_ms.map(time::Duration::from_millis),
    };
    let until = previous.leases_until(&SchedulerSettings::default());
    let expected = unchanged_since + time::Duration::from_millis(expected_ms);
    assert_eq!(until, expected);
}
