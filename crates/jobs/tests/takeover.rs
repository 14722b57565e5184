//! A new owner meets workers in the state in which its predecessor left them.

mod common;

use common::{FakeFleet, FakeWorker, step_spec};
use redwing_jobs::SchedulerSettings;
use redwing_jobs::spec::StepSpec;

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
