//! Workers whose capacity changes while they run: nothing starts beyond it.

mod common;

use common::{FakeFleet, step_spec};
use redwing_jobs::name::QueueName;
use redwing_jobs::spec::{ResourceAmount, StepSpec};
use redwing_jobs::{JobId, JobManifest, JobState, WorkerId};

/// Changes the processor that a worker lists, in thousandths of a core.
fn set_cpu(fleet: &mut FakeFleet, worker: &str, cpu_millis: u64) {
    let entry = fleet.worker(worker);
    entry.view.capacity.cpu_millis = cpu_millis;
    let view = entry.view.clone();
    let now = fleet.now;
    fleet.scheduler.worker_listed(view, now);
}

/// Panics if the runs on a worker that started since `started` use more than it has.
fn assert_within_capacity(fleet: &FakeFleet, worker: &str) {
    let worker = &fleet.workers[&WorkerId::new(worker)];
    let tasks = worker.running.keys();
    let used = tasks.map(|task| {
        let spec = &fleet.jobs[&task.job].spec;
        spec.steps[task.step as usize].reserved().cpu_millis
    });
    assert!(used.sum::<u64>() <= worker.view.capacity.cpu_millis);
}

/// Panics unless only three tasks have started, and the others follow.
fn assert_three_start_first(fleet: &mut FakeFleet, job: &JobId) {
    assert_eq!(fleet.starts.len(), 3);
    assert_within_capacity(fleet, "w0");
    fleet.advance(5_000);
    assert_eq!(fleet.state(job), JobState::Completed);
}

#[test]
fn a_start_that_waits_for_its_row_is_not_sent_to_a_worker_that_has_shrunk() {
    let mut fleet = FakeFleet::of_size(1, 8_000);
    fleet.advance(100);
    fleet.is_table_up = false;
    let job = fleet.submit("j", vec![step_spec(8, 1_000)], 500);
    fleet.advance(200);
    set_cpu(&mut fleet, "w0", 3_000);
    fleet.is_table_up = true;
    fleet.advance(100);
    assert_three_start_first(&mut fleet, &job);
}

#[test]
fn an_order_that_is_held_back_is_not_sent_to_a_worker_that_has_shrunk() {
    let mut fleet = FakeFleet::of_size(1, 8_000);
    fleet.advance(100);
    fleet.held_orders = Some(Vec::new());
    let job = fleet.submit("j", vec![step_spec(8, 1_000)], 500);
    fleet.advance(200);
    set_cpu(&mut fleet, "w0", 3_000);
    fleet.send_held();
    assert_three_start_first(&mut fleet, &job);
}

/// Runs that are left of a larger capacity count, also while they are being stopped.
#[test]
fn nothing_starts_on_a_worker_that_has_shrunk_below_its_runs() {
    let mut fleet = FakeFleet::of_size(1, 8_000);
    let long = fleet.submit("long", vec![step_spec(5, 1_000)], 60_000);
    fleet.advance(200);
    set_cpu(&mut fleet, "w0", 5_000);
    fleet.submit("j", vec![step_spec(1, 1_000)], 500);
    fleet.advance(1_000);
    assert_eq!(fleet.starts.len(), 5);
    fleet.stop_delay = Some(std::time::Duration::from_millis(800));
    let now = fleet.now;
    fleet.scheduler.cancel(&long, now);
    fleet.advance(500);
    assert_eq!(fleet.starts.len(), 5, "the runs are being stopped");
    fleet.advance(1_500);
    assert_eq!(fleet.starts.len(), 6);
}

#[test]
fn no_part_of_a_gang_starts_if_one_of_its_workers_has_shrunk() {
    let mut fleet = FakeFleet::of_size(2, 4_000);
    fleet.advance(100);
    fleet.is_table_up = false;
    let gang = StepSpec {
        gang: true,
        ..step_spec(8, 1_000)
    };
    let job = fleet.submit("j", vec![gang], 500);
    fleet.advance(200);
    set_cpu(&mut fleet, "w1", 2_000);
    fleet.is_table_up = true;
    fleet.advance(1_000);
    assert!(fleet.starts.is_empty());
    set_cpu(&mut fleet, "w1", 4_000);
    fleet.advance(2_000);
    assert_eq!(fleet.state(&job), JobState::Completed);
}

#[test]
fn an_advised_start_is_not_sent_to_a_worker_that_has_shrunk() {
    let mut fleet = FakeFleet::of_size(1, 8_000);
    let mut parts = common::manifest_parts_with_limit(0);
    for queue in &mut parts.queues {
        queue.is_advised |= queue.name == QueueName::new("reports");
    }
    parts.version += 1;
    let manifest = std::sync::Arc::new(JobManifest::from(parts));
    fleet.scheduler.set_manifest(manifest);
    fleet.permitted_worker = Some(WorkerId::new("w0"));
    fleet.advance(100);
    fleet.is_table_up = false;
    fleet.submit("j", vec![step_spec(8, 1_000)], 500);
    fleet.advance(200);
    set_cpu(&mut fleet, "w0", 3_000);
    fleet.is_table_up = true;
    fleet.advance(100);
    assert_eq!(fleet.starts.len(), 3);
    assert_within_capacity(&fleet, "w0");
}

/// A new incarnation may be of another kind; what it has is known once it is listed.
#[test]
fn nothing_starts_on_a_new_incarnation_before_its_capacity_is_known() {
    let mut fleet = FakeFleet::of_size(1, 8_000);
    fleet.submit("long", vec![step_spec(1, 1_000)], 60_000);
    fleet.advance(200);
    let now = fleet.now;
    let worker = fleet.worker("w0");
    worker.restart(now);
    worker.view.capacity = ResourceAmount {
        cpu_millis: 500,
        ..worker.view.capacity
    };
    fleet.advance(2_000);
    assert_eq!(fleet.starts.len(), 1);
    assert_within_capacity(&fleet, "w0");
    let view = fleet.worker("w0").view.clone();
    let now = fleet.now;
    fleet.scheduler.worker_listed(view, now);
    fleet.advance(1_000);
    assert_eq!(fleet.starts.len(), 1);
    set_cpu(&mut fleet, "w0", 8_000);
    fleet.advance(1_000);
    assert_eq!(fleet.starts.len(), 2);
}
