//! Which task goes where, and in which order.

mod common;

use std::collections::BTreeSet;
use std::sync;

use common::{FakeFleet, FakeWorker, manifest_with_limit, parts_with_limit, step, task};
use redwing_jobs::JobManifest;
use redwing_jobs::name::{PoolName, WorkerLabel};
use redwing_jobs::spec::StepSpec;
use redwing_jobs::{JobState, SchedulerSettings, WorkerId};
use rstest::rstest;

fn fleet_of(count: usize, cpu_millis: u64) -> FakeFleet {
    let workers =
        (0..count).map(|number| FakeWorker::new(&format!("w{number}"), "builders", cpu_millis));
    let mut fleet = FakeFleet::new(SchedulerSettings::default(), workers.collect());
    fleet.run(100);
    fleet
}

/// Returns the processor in use on each worker.
fn used(fleet: &FakeFleet, cpu_millis: u64) -> Vec<u64> {
    let workers = fleet.workers.values();
    workers
        .map(|worker| worker.running.len() as u64 * cpu_millis)
        .collect()
}

#[test]
fn no_worker_gets_more_than_its_room() {
    let mut fleet = fleet_of(3, 4_000);
    fleet.submit("j", vec![step(20, 1_500)], 1_000);
    fleet.run(200);
    assert_eq!(used(&fleet, 1_500), [3_000; 3]);
}

#[test]
fn work_of_another_pool_stays_away() {
    let mut fleet = fleet_of(1, 1_000);
    let other = FakeWorker::new("p0", "printers", 8_000);
    fleet.scheduler.worker_listed(other.view.clone(), fleet.now);
    fleet.workers.insert(other.view.id.clone(), other);
    fleet.submit("j", vec![step(4, 1_000)], 500);
    fleet.run(300);
    assert!(
        fleet
            .starts
            .iter()
            .all(|(.., worker, _)| worker.as_str() == "w0")
    );
}

#[test]
fn a_step_is_spread_as_it_asks() {
    let mut fleet = fleet_of(3, 8_000);
    let spread = StepSpec {
        max_per_worker: 1,
        ..step(5, 1_000)
    };
    fleet.submit("j", vec![spread], 5_000);
    fleet.run(300);
    assert_eq!(used(&fleet, 1), [1, 1, 1]);
}

#[test]
fn a_label_that_a_step_requires_is_found() {
    let mut fleet = fleet_of(2, 8_000);
    let labelled = {
        let worker = fleet.worker("w1");
        worker.view.labels.push(WorkerLabel::new("gpu"));
        worker.view.clone()
    };
    fleet.scheduler.worker_listed(labelled, fleet.now);
    let picky = StepSpec {
        requires: Some(WorkerLabel::new("gpu")),
        ..step(3, 1_000)
    };
    fleet.submit("j", vec![picky], 500);
    fleet.run(300);
    assert!(
        fleet
            .starts
            .iter()
            .all(|(.., worker, _)| worker.as_str() == "w1")
    );
    assert_eq!(fleet.starts.len(), 3);
}

#[test]
fn a_draining_worker_gets_nothing_new_and_long_running_tasks_leave_it() {
    let mut fleet = fleet_of(2, 8_000);
    let service = StepSpec {
        long_running: true,
        ..step(1, 1_000)
    };
    fleet.submit("s", vec![service], 0);
    fleet.run(200);
    let first = fleet.starts[0].2.clone();
    let view = {
        let worker = fleet.worker(first.as_str());
        worker.view.is_draining = true;
        worker.view.clone()
    };
    let now = fleet.now;
    fleet.scheduler.worker_listed(view, now);
    fleet.submit("j", vec![step(4, 1_000)], 500);
    fleet.run(500);
    assert!(
        fleet.starts[1..]
            .iter()
            .all(|(.., worker, _)| *worker != first)
    );
    assert_eq!(fleet.stops.len(), 1);
    fleet.assert_no_double_run();
}

/// A wave empties a worker whose long-running task fits nowhere: the task goes
/// on, and its pool is known to need a machine for it.
#[test]
fn a_task_that_upkeep_displaces_counts_as_demand_while_it_fits_nowhere() {
    let mut fleet = fleet_of(2, 8_000);
    let service = StepSpec {
        long_running: true,
        max_unavailable: Some(1),
        ..step(1, 5_000)
    };
    fleet.submit("s", vec![service], 0);
    fleet.run(300);
    let worker = fleet.starts[0].2.clone();
    fleet.submit("j", vec![step(1, 4_000)], 60_000);
    fleet.run(300);
    assert_ne!(fleet.starts[1].2, worker);
    fleet.scheduler.block_worker(&worker, true);
    let (now, wall) = (fleet.now, fleet.wall());
    fleet.scheduler.evict_long_running(&worker, now);
    fleet.run(100);
    assert!(fleet.stops.is_empty());
    let pool = PoolName::new("builders");
    let demand = fleet.scheduler.pool_demands(wall)[&pool];
    assert_eq!(demand.waiting_long_running, 1);
    // It is displaced only as long as somebody asks.
    let demand = fleet.scheduler.pool_demands(wall)[&pool];
    assert_eq!(demand.waiting_long_running, 0);
}

/// Six tasks of one core each, with limits of one, three and no cores.
#[rstest]
#[case(1_000, 1)]
#[case(3_500, 3)]
#[case(0, 6)]
fn a_customer_stays_below_its_limit(#[case] limit: u64, #[case] running: usize) {
    let mut fleet = fleet_of(2, 8_000);
    let manifest = sync::Arc::new(manifest_with_limit(limit));
    fleet.scheduler.set_manifest(manifest);
    fleet.submit("j", vec![step(6, 1_000)], 5_000);
    fleet.run(500);
    assert_eq!(fleet.starts.len(), running);
}

/// At the peak, a job that has missed its objective waits for those that
/// can still meet theirs.
#[test]
fn jobs_that_can_meet_their_objective_go_first() {
    let mut fleet = fleet_of(1, 1_000);
    fleet.submit("a", vec![step(1, 1_000)], 3_000);
    fleet.run(100);
    let late = fleet.submit("b", vec![step(1, 1_000)], 100);
    fleet.run(2_500);
    let fresh = fleet.submit("c", vec![step(1, 1_000)], 100);
    fleet.run(520);
    assert_eq!(fleet.starts.len(), 2);
    assert_eq!(fleet.starts[1].0, task(&fresh, 0, 0));
    fleet.run(500);
    assert_eq!(fleet.state(&late), JobState::Completed);
}

/// Machines can only be moved when they are empty, so work is packed.
#[test]
fn work_is_packed_on_few_workers() {
    let mut fleet = fleet_of(4, 8_000);
    fleet.submit("j", vec![step(4, 1_000)], 5_000);
    fleet.run(300);
    let busy = used(&fleet, 1).into_iter().filter(|count| *count > 0);
    assert_eq!(busy.count(), 1);
}

#[test]
fn a_gang_starts_together_or_not_at_all() {
    let mut fleet = fleet_of(2, 2_000);
    let gang = |count| StepSpec {
        gang: true,
        ..step(count, 1_000)
    };
    fleet.submit("big", vec![gang(5)], 500);
    fleet.run(300);
    assert!(fleet.starts.is_empty());
    let small = fleet.submit("small", vec![gang(4)], 500);
    fleet.run(1_500);
    assert_eq!(fleet.starts.len(), 4);
    assert!(fleet.starts.iter().all(|(_, run, ..)| *run == 1));
    assert_eq!(fleet.state(&small), JobState::Completed);
}

/// Fillers give way fast when the tail of a serving task nears its
/// objective, and come back slowly.
/// Four workers of two racks; a worker of the first is taken in part.
fn two_racks() -> FakeFleet {
    let racks = ["r1", "r1", "r2", "r2"];
    let workers = racks.iter().enumerate().map(|(number, rack)| {
        let mut worker = FakeWorker::new(&format!("w{number}"), "builders", 4_000);
        worker.view.labels = vec![WorkerLabel::new("a"), WorkerLabel::new(rack)];
        worker.view.rack = Some(WorkerLabel::new(rack));
        worker
    });
    let mut fleet = FakeFleet::new(SchedulerSettings::default(), workers.collect());
    fleet.run(100);
    fleet
}

/// A gang that is slow on more than one rack, with a task in use beside it:
/// it goes to the rack that has room for all of it, or starts on both.
#[rstest]
#[case(6, &["w2", "w3"])]
#[case(7, &["w0", "w1", "w2"])]
#[case(8, &["w0", "w1", "w2", "w3"])]
fn a_gang_stays_on_one_rack_if_it_fits(#[case] members: u32, #[case] expected: &[&str]) {
    let mut fleet = two_racks();
    let half = StepSpec {
        max_per_worker: 1,
        affinity: Some(WorkerLabel::new("r2")),
        ..step(2, 1_000)
    };
    if members < 8 {
        let near_first = StepSpec {
            affinity: Some(WorkerLabel::new("r1")),
            ..half
        };
        fleet.submit("beside", vec![near_first], 60_000);
        fleet.run(100);
    }
    fleet.starts.clear();
    let gang = StepSpec {
        gang: true,
        same_rack: true,
        affinity: Some(WorkerLabel::new("r1")),
        ..step(members, if members == 8 { 2_000 } else { 1_300 })
    };
    fleet.submit("gang", vec![gang], 5_000);
    fleet.run(300);
    let workers: BTreeSet<&str> = fleet.starts.iter().map(|start| start.2.as_str()).collect();
    assert_eq!(fleet.starts.len(), members as usize);
    assert_eq!(workers, expected.iter().copied().collect());
}

#[test]
fn fillers_give_way_to_tasks_that_serve() {
    let mut fleet = fleet_of(1, 8_000);
    let serving = StepSpec {
        long_running: true,
        target_ms: 100,
        ..step(1, 1_000)
    };
    let filler = StepSpec {
        best_effort: true,
        ..step(1, 4_000)
    };
    let service = fleet.submit("s", vec![serving], 0);
    fleet.submit("f", vec![filler], 60_000);
    fleet.run(500);
    let tail = |fleet: &mut FakeFleet, figure: u64| {
        let run = fleet.worker("w0").running.get_mut(&task(&service, 0, 0));
        run.expect("the service runs").figure = figure;
    };
    tail(&mut fleet, 95);
    fleet.run(3_000);
    assert_eq!(fleet.paces.last().map(|(_, percent, _)| *percent), Some(0));
    tail(&mut fleet, 20);
    fleet.run(2_000);
    let after = fleet.paces.last().map(|(_, percent, _)| *percent);
    assert!(
        after.is_some_and(|percent| (15..=45).contains(&percent)),
        "{after:?}"
    );
}

/// Only the advisor knows which workers may run a step.
#[test]
fn an_advised_step_runs_where_the_advisor_permits_it() {
    let mut fleet = fleet_of(3, 8_000);
    let mut parts = parts_with_limit(0);
    for queue in &mut parts.queues {
        queue.is_advised = true;
    }
    parts.version = 2;
    let manifest = sync::Arc::new(JobManifest::from(parts));
    fleet.scheduler.set_manifest(manifest);
    fleet.permitted = Some(WorkerId::new("w1"));
    let job = fleet.submit("j", vec![step(4, 1_000)], 300);
    fleet.run(1_000);
    assert_eq!(fleet.state(&job), JobState::Completed);
    assert!(
        fleet
            .starts
            .iter()
            .all(|(.., worker, _)| worker.as_str() == "w1")
    );
    assert_eq!(fleet.questions.len(), 1, "permits are used again");
}
