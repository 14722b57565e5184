//! Evacuation of data centres: nothing starts there, and long-running tasks move.

mod common;

use std::sync;
use std::time;

use common::{FakeFleet, FakeWorker, step_spec, task_id};
use proptest::prelude::RngExt;
use proptest::test_runner::{RngAlgorithm, TestRng};
use redwing_jobs::admission::{
    AdmissionDecision, AdmissionSettings, BacklogSummary, JobAdmission, JobArrival,
};
use redwing_jobs::evacuation::EvacuationState;
use redwing_jobs::name::{CustomerName, DataCentre, PoolName, QueueName};
use redwing_jobs::scheduler::{SchedulerEvent, WorkerStatus};
use redwing_jobs::spec::StepSpec;
use redwing_jobs::worker::OrderAction;
use redwing_jobs::{BootTime, JobId, JobSpec, JobState, SchedulerSettings, WorkerId};

/// Longest time from an evacuation to the last start in the data centre.
const BOUND: time::Duration = time::Duration::from_secs(5);

const NAMES: [&str; 3] = ["east", "north", "west"];

/// Returns workers `east-0`, `east-1` and so on in each data centre, with a bound.
fn fleet(workers_each: usize) -> FakeFleet {
    let workers = NAMES.iter().flat_map(|name| {
        let numbers = 0..workers_each;
        numbers.map(move |number| worker_in(name, number))
    });
    FakeFleet::new(settings(), workers.collect())
}

fn worker_in(name: &str, number: usize) -> FakeWorker {
    let mut worker = FakeWorker::new(&format!("{name}-{number}"), "builders", 4_000);
    worker.view.data_centre = Some(DataCentre::new(name));
    worker
}

fn add_worker(fleet: &mut FakeFleet, worker: FakeWorker) {
    let view = worker.view.clone();
    fleet.scheduler.worker_listed(view, fleet.now);
    fleet.workers.insert(worker.view.id.clone(), worker);
}

fn settings() -> SchedulerSettings {
    SchedulerSettings {
        evacuation_bound: Some(BOUND),
        ..SchedulerSettings::default()
    }
}

fn is_in(worker: &WorkerId, name: &str) -> bool {
    worker.as_str().starts_with(name)
}

/// Returns the number of starts in a data centre.
fn starts_in(fleet: &FakeFleet, name: &str) -> usize {
    let starts = fleet.starts.iter();
    starts.filter(|(.., worker, _)| is_in(worker, name)).count()
}

fn running_in(fleet: &FakeFleet, name: &str) -> usize {
    let workers = fleet.workers.iter().filter(|(id, _)| is_in(id, name));
    workers.map(|(_, worker)| worker.running.len()).sum()
}

/// Returns how often workers were reported as unhealthy.
fn blamed(fleet: &mut FakeFleet) -> usize {
    let events = fleet.scheduler.take_events();
    let unhealthy = events.iter().filter(|event| {
        let SchedulerEvent::WorkerChanged { status, .. } = event else {
            return false;
        };
        *status == WorkerStatus::Unhealthy
    });
    unhealthy.count()
}

fn long_running(count: u32, cpu_millis: u64, max_unavailable: Option<u32>) -> StepSpec {
    StepSpec {
        long_running: true,
        max_unavailable,
        ..step_spec(count, cpu_millis)
    }
}

/// The rows of the tasks were being stored when the evacuation was read.
#[test]
fn reserved_tasks_are_placed_elsewhere_when_their_data_centre_is_evacuated() {
    let mut fleet = fleet(1);
    fleet.advance(100);
    fleet.is_table_up = false;
    fleet.submit("j", vec![step_spec(12, 1_000)], 1_000);
    fleet.advance(50);
    fleet.evacuate("east", true);
    fleet.advance(50);
    fleet.is_table_up = true;
    fleet.advance(500);
    assert_eq!(starts_in(&fleet, "east"), 0);
    assert_eq!(fleet.starts.len(), 8);
    assert_eq!(blamed(&mut fleet), 0);
}

/// The row was stored, but its start was ordered only after the evacuation was read.
#[test]
fn a_start_whose_row_is_being_stored_is_not_ordered() {
    let mut fleet = fleet(1);
    fleet.advance(100);
    fleet.submit("j", vec![step_spec(12, 1_000)], 1_000);
    fleet.scheduler.place_tasks(fleet.now, fleet.wall_time());
    let changes = fleet.take_changes();
    fleet.evacuate("north", true);
    fleet
        .scheduler
        .set_evacuations(&fleet.evacuations, fleet.now);
    fleet.scheduler.changes_stored(&changes, fleet.now);
    let orders = fleet.scheduler.take_orders();
    let starts = orders.iter().filter(|order| {
        matches!(order.action, OrderAction::Start { .. }) && is_in(&order.worker, "north")
    });
    assert_eq!(starts.count(), 0);
}

/// Orders waited for the confirmation of the ownership, or in the queue of their worker.
#[test]
fn orders_that_were_not_sent_are_taken_back_without_blame() {
    let mut fleet = fleet(1);
    fleet.advance(100);
    blamed(&mut fleet);
    fleet.held_orders = Some(Vec::new());
    let job = fleet.submit("j", vec![step_spec(12, 1_000)], 100);
    fleet.advance(50);
    fleet.evacuate("east", true);
    fleet.evacuate("north", true);
    fleet.send_held();
    assert_eq!(fleet.starts.len(), 4);
    fleet.advance(1_000);
    assert_eq!(fleet.state(&job), JobState::Completed);
    assert_eq!(starts_in(&fleet, "west"), 12);
    assert_eq!(blamed(&mut fleet), 0);
}

/// One member of the gang had room in the data centre only.
#[test]
fn a_reserved_gang_is_freed_as_a_whole() {
    let mut fleet = fleet(1);
    fleet.advance(100);
    fleet.is_table_up = false;
    let gang = StepSpec {
        gang: true,
        ..step_spec(3, 3_000)
    };
    let job = fleet.submit("j", vec![gang], 300);
    fleet.advance(50);
    fleet.evacuate("east", true);
    fleet.advance(50);
    fleet.is_table_up = true;
    fleet.advance(500);
    assert!(fleet.starts.is_empty(), "{:?}", fleet.starts);
    fleet.evacuate("east", false);
    fleet.advance(1_000);
    assert_eq!(fleet.state(&job), JobState::Completed);
    assert_eq!(fleet.starts.len(), 3);
}

/// The other members of the gang held their workers until these ended them as incomplete.
#[test]
fn a_gang_of_which_a_start_is_taken_back_is_stopped_and_starts_elsewhere() {
    let mut fleet = fleet(2);
    fleet.advance(100);
    fleet.held_orders = Some(Vec::new());
    let gang = StepSpec {
        gang: true,
        ..step_spec(4, 3_000)
    };
    let job = fleet.submit("j", vec![gang], 60_000);
    fleet.advance(50);
    fleet.evacuate("east", true);
    fleet.send_held();
    let sent = fleet.starts.len();
    assert!((1..4).contains(&sent), "{sent}");
    fleet.advance(500);
    assert_eq!(fleet.stops.len(), sent);
    let members = (0..4).filter(|index| fleet.running_count(&task_id(&job, 0, *index)) == 1);
    assert_eq!(members.count(), 4);
    assert_eq!(running_in(&fleet, "east"), 0);
}

/// The advisor permits only a worker of the evacuated data centre.
#[test]
fn an_advised_step_waits_until_its_worker_is_back() {
    let mut fleet = fleet(1);
    let mut parts = common::manifest_parts_with_limit(0);
    parts.version = 2;
    for queue in &mut parts.queues {
        queue.is_advised = true;
    }
    let manifest = redwing_jobs::JobManifest::from(parts);
    fleet.scheduler.set_manifest(sync::Arc::new(manifest));
    fleet.permitted_worker = Some(WorkerId::new("east-0"));
    // Two tasks wait, with a permit that is valid.
    let job = fleet.submit("j", vec![step_spec(6, 1_000)], 400);
    fleet.advance(200);
    assert_eq!(starts_in(&fleet, "east"), 4);
    fleet.evacuate("east", true);
    fleet.advance(3_000);
    assert_eq!(fleet.starts.len(), 4);
    fleet.evacuate("east", false);
    fleet.advance(4_000);
    assert_eq!(fleet.state(&job), JobState::Completed);
}

/// The previous owner had stored the rows of runs in the data centre, and ended before it
/// sent their orders.
#[test]
fn a_new_owner_starts_stored_runs_elsewhere() {
    let mut fleet = fleet(1);
    fleet.advance(100);
    fleet.held_orders = Some(Vec::new());
    let job = fleet.submit("j", vec![step_spec(12, 1_000)], 100);
    fleet.advance(100);
    fleet.held_orders = None;
    fleet.evacuate("east", true);
    fleet.take_over(settings());
    fleet.advance(1_500);
    assert_eq!(fleet.state(&job), JobState::Completed);
    assert_eq!(starts_in(&fleet, "east"), 0);
    fleet.assert_no_double_run();
}

/// Every evacuation is carried out as written: of all data centres, of one without a
/// worker, and of one again that was undone. Returning capacity gets no more than fits.
#[test]
fn all_data_centres_can_be_evacuated_and_return_at_once() {
    let mut fleet = fleet(1);
    for name in NAMES {
        fleet.evacuate(name, true);
    }
    fleet.evacuate("nowhere", true);
    fleet.submit("j", vec![step_spec(40, 1_000)], 400);
    fleet.advance(2_000);
    assert!(fleet.starts.is_empty());
    fleet.evacuate("east", false);
    fleet.advance(20);
    assert_eq!(starts_in(&fleet, "east"), 4);
    fleet.evacuate("north", false);
    fleet.evacuate("east", true);
    fleet.advance(2_000);
    assert_eq!(starts_in(&fleet, "east"), 4);
    assert_eq!(starts_in(&fleet, "west"), 0);
    let most = fleet.workers.values().map(|worker| worker.running.len());
    assert!(most.max() <= Some(4));
}

/// A worker that was listed after the evacuation had begun got tasks.
#[test]
fn a_worker_that_is_listed_later_is_evacuated_as_well() {
    let mut fleet = FakeFleet::new(settings(), Vec::new());
    fleet.evacuate("east", true);
    fleet.submit("j", vec![step_spec(1, 1_000)], 100);
    fleet.advance(100);
    add_worker(&mut fleet, worker_in("east", 0));
    fleet.advance(500);
    assert!(fleet.starts.is_empty());
}

/// The operators' rows cannot be read while changes succeed: an evacuation may have begun.
#[test]
fn starts_wait_while_the_operators_rows_are_not_read() {
    let mut fleet = fleet(1);
    fleet.advance(100);
    fleet.is_feed_up = false;
    let silent_since = fleet.now;
    fleet.advance(2_900);
    fleet.submit("a", vec![step_spec(1, 1_000)], 100);
    fleet.advance(50);
    assert_eq!(fleet.starts.len(), 1);
    let waiting = fleet.submit("b", vec![step_spec(1, 1_000)], 100);
    fleet.advance(100);
    fleet.advance(10_000);
    let too_late = silent_since + BOUND;
    assert!(fleet.starts.iter().all(|(.., at)| *at <= too_late));
    let events = fleet.scheduler.take_events();
    let withheld = SchedulerEvent::StartsWithheld {
        is_withholding: true,
    };
    assert_eq!(events.iter().filter(|event| **event == withheld).count(), 1);
    fleet.is_feed_up = true;
    fleet.advance(500);
    assert_eq!(fleet.state(&waiting), JobState::Completed);
}

/// Without the setting, and on workers without a data centre, nothing waits for the
/// operators' rows.
#[test]
fn starts_do_not_wait_where_no_bound_applies() {
    let mut unbound = fleet(1);
    unbound.take_over(SchedulerSettings::default());
    let plain = FakeFleet::new(settings(), vec![FakeWorker::new("w", "builders", 4_000)]);
    for mut fleet in [unbound, plain] {
        fleet.is_feed_up = false;
        fleet.advance(8_000);
        let job = fleet.submit("a", vec![step_spec(1, 1_000)], 100);
        fleet.advance(500);
        assert_eq!(fleet.state(&job), JobState::Completed);
    }
}

/// Orders were under way when the evacuation began, and arrive late.
#[test]
fn a_worker_rejects_starts_that_arrive_after_the_bound() {
    let mut fleet = fleet(1);
    fleet.advance(100);
    fleet.is_feed_up = false;
    let read_at = fleet.now;
    fleet.advance(2_500);
    fleet.lost_order_delay = Some(time::Duration::from_millis(3_000));
    fleet.submit("j", vec![step_spec(3, 4_000)], 100);
    fleet.advance(4_000);
    let late = fleet.starts.iter().filter(|(.., at)| *at > read_at + BOUND);
    assert_eq!(late.count(), 0);
}

/// Each task needs a whole worker, and only one may be unavailable.
#[test]
fn long_running_tasks_move_one_by_one_to_free_workers() {
    let mut fleet = fleet(3);
    let job = fleet.submit("j", vec![long_running(3, 4_000, Some(1))], 0);
    fleet.advance(3_000);
    assert_eq!(running_in(&fleet, "east"), 3);
    fleet.evacuate("east", true);
    for _ in 0..300 {
        fleet.advance(10);
        let running = (0..3).filter(|index| fleet.running_count(&task_id(&job, 0, *index)) == 1);
        assert!(running.count() >= 2);
    }
    assert_eq!(running_in(&fleet, "east"), 0);
    assert_eq!(fleet.starts.len(), 6);
    fleet.assert_no_double_run();
}

/// Two free workers for three tasks: the third keeps running, and counts as demand. A new
/// owner moves it once there is capacity.
#[test]
fn long_running_tasks_without_capacity_elsewhere_run_on() {
    let mut fleet = fleet(1);
    let job = fleet.submit("j", vec![long_running(3, 4_000, None)], 0);
    fleet.advance(2_000);
    fleet.evacuate("east", true);
    fleet.advance(2_000);
    assert_eq!(fleet.stops.len(), 0);
    let demand = fleet.scheduler.pool_demands(fleet.wall_time());
    let waiting = demand.values().map(|demand| demand.waiting_long_running);
    assert_eq!(waiting.sum::<u64>(), 1);
    add_worker(&mut fleet, worker_in("west", 9));
    fleet.take_over(settings());
    fleet.advance(4_000);
    assert_eq!(running_in(&fleet, "east"), 0);
    assert!((0..3).all(|index| fleet.running_count(&task_id(&job, 0, index)) == 1));
    assert_eq!(fleet.stops.len(), 1);
}

/// Two tasks of different jobs saw the same free capacity.
#[test]
fn free_capacity_elsewhere_is_used_once() {
    let mut fleet = fleet(1);
    for id in ["a", "b", "c"] {
        fleet.submit(id, vec![long_running(1, 2_500, None)], 0);
    }
    fleet.advance(2_000);
    assert_eq!(running_in(&fleet, "east"), 1);
    add_worker(&mut fleet, worker_in("west", 9));
    fleet.evacuate("east", true);
    fleet.evacuate("north", true);
    fleet.stop_delay = Some(time::Duration::from_millis(500));
    fleet.advance(3_000);
    assert_eq!(fleet.stops.len(), 1);
    assert_eq!(running_in(&fleet, "west"), 2);
}

#[test]
fn operators_see_the_progress_of_an_evacuation() {
    let mut fleet = fleet(1);
    fleet.submit("j", vec![step_spec(12, 1_000)], 2_000);
    fleet.advance(500);
    fleet.scheduler.take_events();
    fleet.evacuate("east", true);
    fleet.advance(20);
    let east = DataCentre::new("east");
    let progress = fleet.scheduler.evacuation_progress()[&east];
    assert_eq!((progress.workers, progress.runs), (1, 4));
    assert_eq!(progress.state(), EvacuationState::InForce);
    fleet.advance(3_000);
    let progress = fleet.scheduler.evacuation_progress()[&east];
    assert_eq!(progress.state(), EvacuationState::Drained);
    fleet.evacuate("east", false);
    fleet.advance(20);
    assert!(fleet.scheduler.evacuation_progress().is_empty());
    let events = fleet.scheduler.take_events();
    let told = events.iter().filter_map(|event| match event {
        SchedulerEvent::EvacuationChanged { is_evacuated, .. } => Some(*is_evacuated),
        _ => None,
    });
    assert_eq!(told.collect::<Vec<bool>>(), [true, false]);
    let drained = SchedulerEvent::EvacuationDrained { data_centre: east };
    assert_eq!(events.iter().filter(|event| **event == drained).count(), 1);
}

/// Returns the latest summary of the backlogs, for a few publications.
fn summary(fleet: &mut FakeFleet) -> BacklogSummary {
    let summaries = (0..4).map(|_| {
        fleet.advance(500);
        let wall = fleet.wall_time();
        fleet.scheduler.backlog_summary(0, fleet.now, wall)
    });
    let latest = summaries.last().flatten();
    latest.expect("the rates are known")
}

/// The summary showed the capacity of the whole pool, so that far more was admitted than could
/// be done in time, also while the whole pool was evacuated.
#[test]
fn jobs_are_refused_by_the_capacity_that_can_be_used() {
    let pool = PoolName::new("builders");
    let mut fleet = fleet(1);
    fleet.evacuate("east", true);
    let steps = vec![step_spec(100, 1_000)];
    fleet.submit("waiting", steps.clone(), 500);
    let rate = summary(&mut fleet).pools[&pool].work_rate;
    assert!((7_000..=9_000).contains(&rate), "{rate}");
    fleet.evacuate("north", true);
    fleet.evacuate("west", true);
    let summary = sync::Arc::new(summary(&mut fleet));
    assert_eq!(summary.pools[&pool].work_rate, 0);
    let mut admission = JobAdmission::new(AdmissionSettings::default(), 1);
    admission.receive(&summary, fleet.now, summary.published);
    let spec = JobSpec {
        steps,
        ..JobSpec::default()
    };
    let manifest = common::manifest();
    let queue = manifest.queue(&QueueName::new("reports"));
    let customer = CustomerName::new("housing");
    let arrival = JobArrival::new(queue.expect("it is declared"), Some(&customer), &spec);
    let decision = admission.decide(&JobId::new("late"), &arrival, fleet.now);
    assert_ne!(decision, AdmissionDecision::Admitted);
}

/// A start order without a response may still be carried out, until the worker has seen the
/// fencing token of a later owner.
#[test]
fn an_evacuation_is_in_force_once_no_start_is_under_way() {
    let mut fleet = fleet(1);
    fleet.advance(100);
    fleet.lost_order_delay = Some(time::Duration::from_millis(1_500));
    fleet.submit("j", vec![step_spec(12, 1_000)], 3_000);
    fleet.advance(100);
    fleet.evacuate("east", true);
    fleet.advance(20);
    let east = DataCentre::new("east");
    let state = |fleet: &FakeFleet| fleet.scheduler.evacuation_progress()[&east].state();
    assert_eq!(state(&fleet), EvacuationState::Requested);
    fleet.advance(600);
    assert_eq!(state(&fleet), EvacuationState::Requested);
    fleet.take_over(settings());
    fleet.advance(700);
    assert_eq!(state(&fleet), EvacuationState::Drained);
    fleet.advance(2_000);
    assert_eq!(starts_in(&fleet, "east"), 0);
}

/// Evacuations begin and are undone at random, while the table refuses, the operators' rows
/// are not read, orders are lost and carried out late, and owners end.
#[test]
fn nothing_starts_after_the_bound_under_random_faults() {
    for seed in 0..12_u8 {
        check_random_faults(seed);
    }
}

fn check_random_faults(seed: u8) {
    let mut rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut fleet = fleet(2);
    let mut evacuated_at: [Option<BootTime>; 3] = [None; 3];
    let mut checked = 0;
    for number in 0..150 {
        let position = rng.random_range(0..NAMES.len());
        match rng.random_range(0..8) {
            0 | 1 => {
                let begun = evacuated_at[position].is_none();
                fleet.evacuate(NAMES[position], begun);
                evacuated_at[position] = begun.then_some(fleet.now);
            }
            2 => fleet.is_table_up = !fleet.is_table_up,
            3 => fleet.is_feed_up = !fleet.is_feed_up,
            4 => {
                let delay = rng.random_range(0..4_000);
                fleet.lost_order_delay = Some(time::Duration::from_millis(delay));
            }
            5 if rng.random_bool(0.3) => fleet.take_over(settings()),
            _ => fleet.lost_order_delay = None,
        }
        let step = step_spec(rng.random_range(1..6), 1_000);
        fleet.submit(&format!("j{number}"), vec![step], rng.random_range(50..800));
        fleet.advance(rng.random_range(10..600));
        fleet.assert_no_double_run();
        for (.., worker, at) in &fleet.starts[checked..] {
            let position = NAMES.iter().position(|name| is_in(worker, name));
            let begun = position.and_then(|position| evacuated_at[position]);
            let is_late = begun.is_some_and(|begun| *at > begun + BOUND);
            assert!(
                !is_late,
                "seed {seed}: {worker} at {at:?}, evacuated at {begun:?}"
            );
        }
        checked = fleet.starts.len();
    }
    assert!(checked > 20, "seed {seed}: only {checked} starts");
}
