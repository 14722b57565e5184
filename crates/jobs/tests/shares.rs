//! Shares of customers while a pool has less capacity than they ask for.

mod common;

use std::sync;

use common::{FakeFleet, FakeWorker, manifest_parts_with_limit, step_spec};
use redwing_jobs::manifest::JobManifest;
use redwing_jobs::spec::StepSpec;
use redwing_jobs::{JobId, JobState, SchedulerSettings};
use rstest::rstest;

/// Duration of each task, in milliseconds.
const TASK_MS: u64 = 500;

/// Tasks that the fleet can run at once.
const SLOT_COUNT: usize = 40;

fn fleet() -> FakeFleet {
    let workers = (0..5).map(|number| FakeWorker::new(&format!("w{number}"), "builders", 8_000));
    let mut fleet = FakeFleet::new(SchedulerSettings::default(), workers.collect());
    fleet.advance(100);
    fleet
}

/// Submits `count` jobs of four tasks each for a customer.
fn submit_jobs(fleet: &mut FakeFleet, customer: &str, prefix: &str, count: usize) -> Vec<JobId> {
    let jobs = (0..count).map(|number| {
        let id = format!("{prefix}{number}");
        let step = StepSpec {
            // Far above the duration, so that no job becomes late.
            estimate_ms: 20_000,
            ..step_spec(4, 1_000)
        };
        let steps = vec![step];
        fleet.submit_as(customer, &id, "builders", steps, TASK_MS)
    });
    jobs.collect()
}

/// Returns the number of running tasks of jobs with the prefix.
fn running_tasks(fleet: &FakeFleet, prefix: &str) -> usize {
    let workers = fleet.workers.values();
    let tasks = workers.flat_map(|worker| worker.running.keys());
    tasks
        .filter(|task| task.job.as_str().starts_with(prefix))
        .count()
}

fn completed(fleet: &FakeFleet, jobs: &[JobId]) -> usize {
    let mut states = jobs.iter().map(|job| fleet.state(job));
    states
        .by_ref()
        .filter(|state| *state == JobState::Completed)
        .count()
}

/// One customer floods a pool with several times its capacity, and another sends
/// its usual load, less than its share: only the sender of the flood waits.
#[test]
fn a_flood_slows_only_its_sender() {
    let mut fleet = fleet();
    let flood = submit_jobs(&mut fleet, "housing", "flood", 200);
    fleet.advance(TASK_MS);
    let mut others = Vec::new();
    for round in 0..8 {
        others.extend(submit_jobs(
            &mut fleet,
            "portal",
            &format!("usual{round}-"),
            5,
        ));
        fleet.advance(TASK_MS);
    }
    // One task duration until slots are free, and one for the jobs themselves.
    fleet.advance(TASK_MS * 2);
    assert_eq!(completed(&fleet, &others), others.len());
    assert!(completed(&fleet, &flood) < flood.len());
}

#[test]
fn customers_share_a_pool_by_their_weights() {
    let mut fleet = fleet();
    submit_jobs(&mut fleet, "housing", "one", 200);
    submit_jobs(&mut fleet, "portal", "three", 200);
    fleet.advance(TASK_MS * 3 + TASK_MS / 2);
    let one = running_tasks(&fleet, "one");
    let three = running_tasks(&fleet, "three");
    assert_eq!(one + three, SLOT_COUNT);
    assert!((SLOT_COUNT / 4).abs_diff(one) <= 4, "{one} and {three}");
}

/// Capacity that one customer does not claim is lent, and comes back once the
/// borrower's tasks have ended.
#[test]
fn an_idle_share_is_lent_and_comes_back() {
    let mut fleet = fleet();
    submit_jobs(&mut fleet, "housing", "borrower", 200);
    fleet.advance(TASK_MS);
    assert_eq!(running_tasks(&fleet, "borrower"), SLOT_COUNT);
    submit_jobs(&mut fleet, "portal", "owner", 100);
    fleet.advance(TASK_MS + 100);
    let owner = running_tasks(&fleet, "owner");
    assert!(owner >= SLOT_COUNT * 3 / 4 - 4, "{owner}");
}

/// The shares need no stored counter: a new owner has the usage from the rows.
#[test]
fn shares_survive_a_takeover() {
    let mut fleet = fleet();
    submit_jobs(&mut fleet, "housing", "one", 200);
    submit_jobs(&mut fleet, "portal", "three", 200);
    fleet.advance(TASK_MS * 2 + TASK_MS / 2);
    fleet.take_over(SchedulerSettings::default());
    fleet.advance(TASK_MS + TASK_MS / 2);
    let one = running_tasks(&fleet, "one");
    assert_eq!(one + running_tasks(&fleet, "three"), SLOT_COUNT);
    assert!((SLOT_COUNT / 4).abs_diff(one) <= 4, "{one}");
}

/// A queue moves to another pool while its tasks run; usage is counted where the
/// tasks run then.
#[test]
fn shares_follow_a_queue_that_moves_to_another_pool() {
    let mut fleet = fleet();
    submit_jobs(&mut fleet, "housing", "one", 50);
    fleet.advance(200);
    let mut parts = manifest_parts_with_limit(0);
    parts.version = 2;
    parts.queues[0].pool = parts.queues[1].pool.clone();
    fleet
        .scheduler
        .set_manifest(sync::Arc::new(JobManifest::from(parts)));
    fleet.advance(TASK_MS * 2);
    let mut parts = manifest_parts_with_limit(0);
    parts.version = 3;
    fleet
        .scheduler
        .set_manifest(sync::Arc::new(JobManifest::from(parts)));
    submit_jobs(&mut fleet, "portal", "three", 200);
    fleet.advance(TASK_MS * 2 + TASK_MS / 2);
    let one = running_tasks(&fleet, "one");
    assert!((SLOT_COUNT / 4).abs_diff(one) <= 4, "{one}");
}

#[rstest]
#[case(0.0)]
#[case(-1.0)]
#[case(1e300)]
#[case(f64::NAN)]
#[case(f64::INFINITY)]
fn a_manifest_with_an_unusable_weight_is_refused(#[case] weight: f64) {
    let mut parts = manifest_parts_with_limit(0);
    parts.customers[1].weight = weight;
    let error = JobManifest::from(parts)
        .check()
        .expect_err("the weight is refused");
    let text = error.to_string();
    assert!(text.contains("customers.portal.weight"), "{text}");
}
