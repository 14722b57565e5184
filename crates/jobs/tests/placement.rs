//! Placement: which worker runs a task, and in which order tasks start.

mod common;

use std::collections::BTreeSet;
use std::sync;
use std::time;

use common::{
    FakeFleet, FakeWorker, manifest_parts_with_limit, manifest_with_limit, step_spec, task_id,
};
use redwing_jobs::JobManifest;
use redwing_jobs::block::{WorkerBlock, WorkerBlocks};
use redwing_jobs::name::{PoolName, WorkerLabel};
use redwing_jobs::spec::StepSpec;
use redwing_jobs::worker::OrderAction;
use redwing_jobs::{JobId, JobState, SchedulerSettings, WorkerId};
use rstest::rstest;

fn fleet_of(count: usize, cpu_millis: u64) -> FakeFleet {
    let mut fleet = FakeFleet::of_size(count, cpu_millis);
    fleet.advance(100);
    fleet
}

/// Returns the processor use of each worker if each task uses `task_cpu_millis`.
fn used_cpu(fleet: &FakeFleet, task_cpu_millis: u64) -> Vec<u64> {
    let workers = fleet.workers.values();
    workers
        .map(|worker| worker.running.len() as u64 * task_cpu_millis)
        .collect()
}

#[test]
fn tasks_on_a_worker_stay_within_its_capacity() {
    let mut fleet = fleet_of(3, 4_000);
    fleet.submit("j", vec![step_spec(20, 1_500)], 1_000);
    fleet.advance(200);
    assert_eq!(used_cpu(&fleet, 1_500), [3_000; 3]);
}

#[test]
fn tasks_run_only_on_workers_of_their_pool() {
    let mut fleet = fleet_of(1, 1_000);
    let other_worker = FakeWorker::new("p0", "printers", 8_000);
    fleet
        .scheduler
        .worker_listed(other_worker.view.clone(), fleet.now);
    fleet
        .workers
        .insert(other_worker.view.id.clone(), other_worker);
    fleet.submit("j", vec![step_spec(4, 1_000)], 500);
    fleet.advance(300);
    assert!(
        fleet
            .starts
            .iter()
            .all(|(.., worker, _)| worker.as_str() == "w0")
    );
}

#[test]
fn a_step_places_at_most_max_per_worker_tasks_on_each_worker() {
    let mut fleet = fleet_of(3, 8_000);
    let spread_step = StepSpec {
        max_per_worker: 1,
        ..step_spec(5, 1_000)
    };
    fleet.submit("j", vec![spread_step], 5_000);
    fleet.advance(300);
    assert_eq!(used_cpu(&fleet, 1), [1, 1, 1]);
}

#[test]
fn a_step_runs_only_on_workers_with_its_required_label() {
    let mut fleet = fleet_of(2, 8_000);
    let labelled_view = {
        let worker = fleet.worker("w1");
        worker.view.labels.push(WorkerLabel::new("gpu"));
        worker.view.clone()
    };
    fleet.scheduler.worker_listed(labelled_view, fleet.now);
    let gpu_step = StepSpec {
        requires: Some(WorkerLabel::new("gpu")),
        ..step_spec(3, 1_000)
    };
    fleet.submit("j", vec![gpu_step], 500);
    fleet.advance(300);
    assert!(
        fleet
            .starts
            .iter()
            .all(|(.., worker, _)| worker.as_str() == "w1")
    );
    assert_eq!(fleet.starts.len(), 3);
}

#[test]
fn a_draining_worker_gets_no_new_tasks_and_its_long_running_tasks_move() {
    let mut fleet = fleet_of(2, 8_000);
    let service_step = StepSpec {
        long_running: true,
        ..step_spec(1, 1_000)
    };
    fleet.submit("s", vec![service_step], 0);
    fleet.advance(200);
    let first_worker = fleet.starts[0].2.clone();
    let view = {
        let worker = fleet.worker(first_worker.as_str());
        worker.view.is_draining = true;
        worker.view.clone()
    };
    let now = fleet.now;
    fleet.scheduler.worker_listed(view, now);
    fleet.submit("j", vec![step_spec(4, 1_000)], 500);
    fleet.advance(500);
    assert!(
        fleet.starts[1..]
            .iter()
            .all(|(.., worker, _)| *worker != first_worker)
    );
    assert_eq!(fleet.stops.len(), 1);
    fleet.assert_no_double_run();
}

/// A wave evicts a long-running task that fits on no other worker: the task
/// keeps running, and counts in its pool's demand for machines.
#[test]
fn a_task_that_maintenance_displaces_counts_as_demand_while_it_fits_nowhere() {
    let mut fleet = fleet_of(2, 8_000);
    let service_step = StepSpec {
        long_running: true,
        max_unavailable: Some(1),
        ..step_spec(1, 5_000)
    };
    fleet.submit("s", vec![service_step], 0);
    fleet.advance(300);
    let worker = fleet.starts[0].2.clone();
    fleet.submit("j", vec![step_spec(1, 4_000)], 60_000);
    fleet.advance(300);
    assert_ne!(fleet.starts[1].2, worker);
    let mut blocks = WorkerBlocks::default();
    blocks.add(&worker, WorkerBlock::All);
    fleet.scheduler.set_blocks(blocks);
    let (now, wall) = (fleet.now, fleet.wall_time());
    fleet.scheduler.evict_long_running(&worker, now);
    fleet.advance(100);
    assert!(fleet.stops.is_empty());
    let pool = PoolName::new("builders");
    let demand = fleet.scheduler.pool_demands(wall)[&pool];
    assert_eq!(demand.waiting_long_running, 1);
    // Without a further eviction it no longer counts as displaced.
    let demand = fleet.scheduler.pool_demands(wall)[&pool];
    assert_eq!(demand.waiting_long_running, 0);
}

/// Six tasks of one core each, with limits of 1 and 3.5 cores, and with none.
#[rstest]
#[case(1_000, 1)]
#[case(3_500, 3)]
#[case(0, 6)]
fn a_customer_stays_below_its_limit(#[case] limit: u64, #[case] start_count: usize) {
    let mut fleet = fleet_of(2, 8_000);
    let manifest = sync::Arc::new(manifest_with_limit(limit));
    fleet.scheduler.set_manifest(manifest);
    fleet.submit("j", vec![step_spec(6, 1_000)], 5_000);
    fleet.advance(500);
    assert_eq!(fleet.starts.len(), start_count);
}

/// At the peak, a job that has missed its objective waits for those that
/// can still meet theirs.
#[test]
fn jobs_that_can_meet_their_objective_go_first() {
    let mut fleet = fleet_of(1, 1_000);
    fleet.submit("a", vec![step_spec(1, 1_000)], 3_000);
    fleet.advance(100);
    let late_job = fleet.submit("b", vec![step_spec(1, 1_000)], 100);
    fleet.advance(2_500);
    let timely_job = fleet.submit("c", vec![step_spec(1, 1_000)], 100);
    fleet.advance(520);
    assert_eq!(fleet.starts.len(), 2);
    assert_eq!(fleet.starts[1].0, task_id(&timely_job, 0, 0));
    fleet.advance(500);
    assert_eq!(fleet.state(&late_job), JobState::Completed);
}

/// Only empty machines can be moved, so tasks are packed.
#[test]
fn work_is_packed_on_few_workers() {
    let mut fleet = fleet_of(4, 8_000);
    fleet.submit("j", vec![step_spec(4, 1_000)], 5_000);
    fleet.advance(300);
    let busy_workers = used_cpu(&fleet, 1).into_iter().filter(|count| *count > 0);
    assert_eq!(busy_workers.count(), 1);
}

#[test]
fn a_gang_starts_together_or_not_at_all() {
    let mut fleet = fleet_of(2, 2_000);
    let gang = |count| StepSpec {
        gang: true,
        ..step_spec(count, 1_000)
    };
    fleet.submit("big", vec![gang(5)], 500);
    fleet.advance(300);
    assert!(fleet.starts.is_empty());
    let small_job = fleet.submit("small", vec![gang(4)], 500);
    fleet.advance(1_500);
    assert_eq!(fleet.starts.len(), 4);
    assert!(fleet.starts.iter().all(|(_, run, ..)| *run == 1));
    assert_eq!(fleet.state(&small_job), JobState::Completed);
}

/// A worker drains while the row of a gang with a member on it is being stored.
#[test]
fn a_gang_of_which_one_member_cannot_be_ordered_does_not_start() {
    let mut fleet = fleet_of(3, 1_000);
    fleet.advance(100);
    let gang = StepSpec {
        gang: true,
        ..step_spec(2, 1_000)
    };
    let job = fleet.submit("j", vec![gang], 500);
    fleet.scheduler.place_tasks(fleet.now, fleet.wall_time());
    let changes = fleet.scheduler.take_changes(fleet.now);
    let last_member = &changes.rows[0].progress.occurrences[0].steps[0][1];
    let draining = last_member.worker.clone().expect("it is placed");
    fleet.worker(draining.as_str()).view.is_draining = true;
    let view = fleet.worker(draining.as_str()).view.clone();
    fleet.scheduler.worker_listed(view, fleet.now);
    fleet.scheduler.changes_stored(&changes, fleet.now);
    let orders = fleet.scheduler.take_orders();
    let mut actions = orders.iter().map(|order| &order.action);
    let start = actions.find(|action| matches!(action, OrderAction::Start { .. }));
    assert_eq!(start, None);
    fleet.advance(1_000);
    assert_eq!(fleet.starts.len(), 2, "{:?}", fleet.starts);
    assert_eq!(fleet.state(&job), JobState::Completed);
}

/// Returns a fleet of four workers, two on each of the racks r1 and r2.
fn fleet_on_two_racks() -> FakeFleet {
    let racks = ["r1", "r1", "r2", "r2"];
    let workers = racks.iter().enumerate().map(|(number, rack)| {
        let mut worker = FakeWorker::new(&format!("w{number}"), "builders", 4_000);
        worker.view.labels = vec![WorkerLabel::new("a"), WorkerLabel::new(rack)];
        worker.view.rack = Some(WorkerLabel::new(rack));
        worker
    });
    let mut fleet = FakeFleet::new(SchedulerSettings::default(), workers.collect());
    fleet.advance(100);
    fleet
}

/// A gang that prefers rack r1 and asks for a single rack, beside a task on
/// each worker of r1 in all cases but the last: it starts on the rack that has
/// capacity for all of it, or on both racks if neither has.
#[rstest]
#[case(6, &["w2", "w3"])]
#[case(7, &["w0", "w1", "w2"])]
#[case(8, &["w0", "w1", "w2", "w3"])]
fn a_gang_stays_on_one_rack_if_it_fits(#[case] members: u32, #[case] expected_workers: &[&str]) {
    let mut fleet = fleet_on_two_racks();
    let other_step = StepSpec {
        max_per_worker: 1,
        affinity: Some(WorkerLabel::new("r2")),
        ..step_spec(2, 1_000)
    };
    if members < 8 {
        let other_step_on_r1 = StepSpec {
            affinity: Some(WorkerLabel::new("r1")),
            ..other_step
        };
        fleet.submit("beside", vec![other_step_on_r1], 60_000);
        fleet.advance(100);
    }
    fleet.starts.clear();
    let gang = StepSpec {
        gang: true,
        same_rack: true,
        affinity: Some(WorkerLabel::new("r1")),
        ..step_spec(members, if members == 8 { 2_000 } else { 1_300 })
    };
    fleet.submit("gang", vec![gang], 5_000);
    fleet.advance(300);
    let workers: BTreeSet<&str> = fleet.starts.iter().map(|start| start.2.as_str()).collect();
    assert_eq!(fleet.starts.len(), members as usize);
    assert_eq!(workers, expected_workers.iter().copied().collect());
}

/// Returns a fleet of one worker with a task that serves users and a best-effort task of this
/// duration, and the job of the former.
fn shared_worker(best_effort_ms: u64) -> (FakeFleet, JobId) {
    let mut fleet = fleet_of(1, 8_000);
    let serving_step = StepSpec {
        long_running: true,
        target_ms: 100,
        ..step_spec(1, 1_000)
    };
    let best_effort_step = StepSpec {
        best_effort: true,
        ..step_spec(1, 4_000)
    };
    let service_job = fleet.submit("s", vec![serving_step], 0);
    fleet.submit("f", vec![best_effort_step], best_effort_ms);
    fleet.advance(500);
    (fleet, service_job)
}

/// Best-effort tasks are slowed down fast when the tail latency of a serving
/// task nears its objective, and sped up slowly.
#[test]
fn best_effort_tasks_yield_to_tasks_that_serve_users() {
    let (mut fleet, service_job) = shared_worker(60_000);
    let set_tail_latency = |fleet: &mut FakeFleet, latency_ms: u64| {
        let run = fleet
            .worker("w0")
            .running
            .get_mut(&task_id(&service_job, 0, 0));
        run.expect("the service runs").measurement = latency_ms;
    };
    set_tail_latency(&mut fleet, 95);
    fleet.advance(3_000);
    assert_eq!(
        fleet.pace_orders.last().map(|(_, percent, _)| *percent),
        Some(0)
    );
    set_tail_latency(&mut fleet, 20);
    fleet.advance(2_000);
    let share_percent = fleet.pace_orders.last().map(|(_, percent, _)| *percent);
    assert!(
        share_percent.is_some_and(|percent| (15..=45).contains(&percent)),
        "{share_percent:?}"
    );
}

/// The advisor decides which workers may run a step of an advised queue.
#[test]
fn an_advised_step_runs_where_the_advisor_permits_it() {
    let mut fleet = fleet_of(3, 8_000);
    let mut parts = manifest_parts_with_limit(0);
    for queue in &mut parts.queues {
        queue.is_advised = true;
    }
    parts.version = 2;
    let manifest = sync::Arc::new(JobManifest::from(parts));
    fleet.scheduler.set_manifest(manifest);
    fleet.permitted_worker = Some(WorkerId::new("w1"));
    let job = fleet.submit("j", vec![step_spec(4, 1_000)], 300);
    fleet.advance(1_000);
    assert_eq!(fleet.state(&job), JobState::Completed);
    assert!(
        fleet
            .starts
            .iter()
            .all(|(.., worker, _)| worker.as_str() == "w1")
    );
    assert_eq!(fleet.advice_requests.len(), 1, "permits are reused");
}

/// Guards against a share that the owner believes in and the worker does not have, because the
/// order was lost, or an older one carried out after it (HARM).
#[test]
fn a_share_is_sent_again_after_an_order_without_a_response() {
    let (mut fleet, service_job) = shared_worker(600_000);
    let service = task_id(&service_job, 0, 0);
    let run = fleet.worker("w0").running.get_mut(&service);
    run.expect("the service runs").measurement = 95;
    // The orders of the first fall are carried out 5 s later.
    fleet.lost_order_delay = Some(time::Duration::from_secs(5));
    fleet.advance(50);
    fleet.lost_order_delay = None;
    fleet.advance(4_000);
    let last = |fleet: &FakeFleet| fleet.pace_orders.last().map(|(_, percent, _)| *percent);
    assert_eq!(last(&fleet), Some(0));
    fleet.advance(3_000);
    assert_eq!(last(&fleet), Some(0), "{:?}", fleet.pace_orders);
    let late = fleet.pace_orders.iter().filter(|order| order.1 > 0);
    assert!(late.count() > 1, "an older order came late");
    // It ends some time after the last order without a response.
    fleet.advance(20_000);
    let sent = fleet.pace_orders.len();
    fleet.advance(5_000);
    assert_eq!(fleet.pace_orders.len(), sent);
}
