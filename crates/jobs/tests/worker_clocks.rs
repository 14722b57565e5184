//! Leases of workers whose clocks are slow or fast, after they had nothing to run for long.

mod common;

use common::{FakeFleet, step_spec};
use redwing_jobs::worker::ExitKind;
use redwing_jobs::{BootTime, WorkerId};
use rstest::rstest;

/// Returns a fleet whose workers, with clocks of this rate, have had nothing to run for
/// `idle_ms`.
fn rested_fleet(count: usize, clock_rate: f64, idle_ms: u64) -> FakeFleet {
    let mut fleet = FakeFleet::of_size(count, 8_000);
    for worker in fleet.workers.values_mut() {
        worker.clock_rate = clock_rate;
        worker.born_at = BootTime::from_millis(10_000);
    }
    fleet.advance(idle_ms);
    fleet
}

/// Advances time until a run has started, and returns its worker.
fn first_start(fleet: &mut FakeFleet, limit_ms: u64) -> WorkerId {
    let end = fleet.now.as_millis() + limit_ms;
    while fleet.starts.is_empty() && fleet.now.as_millis() < end {
        fleet.advance(1);
    }
    fleet.starts.first().expect("a run has started").2.clone()
}

/// Guards against a task that is started elsewhere while its first run goes on (TWICE): the
/// worker had rested, so that the owner took its slow clock for later than it was, and its
/// lease for shorter.
#[rstest]
fn a_cut_off_worker_stops_before_its_task_starts_elsewhere(
    #[values(0.98, 1.0, 1.02)] clock_rate: f64,
    #[values(1_000, 80_000, 600_000)] idle_ms: u64,
) {
    let mut fleet = rested_fleet(2, clock_rate, idle_ms);
    fleet.submit("j", vec![step_spec(1, 1_000)], 9_000);
    let worker = first_start(&mut fleet, 500);
    fleet.advance(300);
    fleet.worker(worker.as_str()).is_unresponsive = true;
    for _ in 0..1_000 {
        fleet.advance(10);
        fleet.assert_no_double_run();
    }
    assert_eq!(fleet.starts.len(), 2);
}

/// Guards against the opposite: a lease that ends under a run because its worker had rested.
#[rstest]
fn no_lease_lapses_after_a_rest(
    #[values(0.98, 1.0, 1.02)] clock_rate: f64,
    #[values(1_000, 80_000, 600_000)] idle_ms: u64,
) {
    let mut fleet = rested_fleet(1, clock_rate, idle_ms);
    fleet.submit("j", vec![step_spec(1, 1_000)], 9_000);
    first_start(&mut fleet, 100);
    fleet.advance(12_000);
    assert_eq!(fleet.starts.len(), 1);
    assert_eq!(fleet.worker("w0").exits, [ExitKind::Done]);
}

/// Guards against starts that wait longer because their worker has rested.
#[rstest]
fn a_start_after_a_rest_is_soon(#[values(1_000, 80_000, 600_000)] idle_ms: u64) {
    let mut fleet = rested_fleet(3, 1.0, idle_ms);
    fleet.submit("j", vec![step_spec(20, 1_000)], 200);
    fleet.advance(30);
    assert_eq!(fleet.starts.len(), 20);
}

/// Guards against gangs of which a part waits for a reading of a clock.
#[test]
fn a_gang_starts_as_a_whole_after_a_rest() {
    let mut fleet = rested_fleet(3, 0.98, 600_000);
    let gang = redwing_jobs::spec::StepSpec {
        gang: true,
        max_per_worker: 1,
        ..step_spec(3, 1_000)
    };
    fleet.submit("j", vec![gang], 200);
    fleet.advance(30);
    assert_eq!(fleet.starts.len(), 3);
    let first = fleet.starts[0].3;
    assert!(fleet.starts.iter().all(|start| start.3 == first));
}

/// Guards against tasks that wait for a reading of the clock of a worker that has gone.
#[test]
fn a_task_placed_on_a_rested_worker_that_is_silent_starts_elsewhere() {
    let mut fleet = rested_fleet(2, 1.0, 600_000);
    fleet.worker("w0").is_unresponsive = true;
    fleet.submit("j", vec![step_spec(1, 1_000)], 200);
    let worker = first_start(&mut fleet, 500);
    assert_eq!(worker, WorkerId::new("w1"));
}

/// Guards against readings that cost calls and processor time on an idle fleet: no worker is asked,
/// however long it rests.
#[test]
fn an_idle_worker_is_not_asked() {
    let mut fleet = rested_fleet(50, 1.0, 1_000);
    let asked = fleet.renewal_count;
    fleet.advance(600_000);
    assert_eq!(fleet.renewal_count, asked);
}
