//! Rows of progress that are more than one change of the owner holds.

mod common;

use std::sync;

use common::{FakeFleet, FakeWorker, manifest_with_limit, row_bytes, step_spec};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use redwing_jobs::change_order::{ChangePart, ChangePurpose};
use redwing_jobs::evidence::CrashEvidence;
use redwing_jobs::name::PoolName;
use redwing_jobs::record::{OccurrenceRecord, TaskRecord};
use redwing_jobs::scheduler::WorkKind;
use redwing_jobs::spec::StepSpec;
use redwing_jobs::{JobId, JobSpec, JobState, ProgressRecord, SchedulerSettings, WorkerId};
use rstest::rstest;

/// Size of a change that holds a few rows of one task, in bytes.
const FEW_ROWS: usize = 300;

/// Advances until all jobs have ended; panics if they have not within a minute.
fn drain(fleet: &mut FakeFleet) {
    for _ in 0..600 {
        if fleet.jobs.keys().all(|id| fleet.state(id).is_final()) {
            return;
        }
        fleet.advance(100);
    }
    let jobs = fleet.jobs.keys();
    let open: Vec<_> = jobs.filter(|id| !fleet.state(id).is_final()).collect();
    panic!("not done in 60 s: {open:?}");
}

/// The table is absent while work ends and more is submitted. On its return the ends are
/// stored before the rows of new work, whatever the names of the jobs are.
#[test]
fn ends_are_stored_before_new_work() {
    let mut fleet = FakeFleet::of_size(4, 4_000);
    let ending = |number| format!("z-{number}");
    for number in 0..8 {
        fleet.submit(&ending(number), vec![step_spec(1, 1_000)], 400);
    }
    fleet.advance(100);
    fleet.is_table_up = false;
    for number in 0..8 {
        fleet.submit(&format!("a-{number}"), vec![step_spec(1, 1_000)], 400);
    }
    fleet.advance(1_000);
    fleet.stored_order.clear();
    fleet.change_bytes = FEW_ROWS;
    fleet.is_table_up = true;
    drain(&mut fleet);
    let first: Vec<&str> = fleet.stored_order[..8].iter().map(JobId::as_str).collect();
    assert!(first.iter().all(|id| id.starts_with("z-")), "{first:?}");
}

/// An owner that releases the ownership stores the ends, and starts nothing more.
#[test]
fn a_release_leaves_new_work_to_the_next_owner() {
    let kinds: Vec<WorkKind> = ChangePurpose::Release.work().collect();
    assert_eq!(kinds, [WorkKind::Running]);
    let others = |purpose: ChangePurpose| purpose.parts().filter(|part| !is_work(part)).count();
    assert_eq!(
        others(ChangePurpose::Release),
        others(ChangePurpose::Continue)
    );
}

fn is_work(part: &ChangePart) -> bool {
    matches!(part, ChangePart::Work(_))
}

/// More jobs arrive than changes hold rows. Rows are stored in the order in which their
/// jobs changed: none waits for jobs that arrived later, whatever their names are.
#[test]
fn a_job_does_not_wait_for_others_that_arrived_later() {
    let mut fleet = FakeFleet::of_size(4, 4_000);
    fleet.change_bytes = FEW_ROWS;
    for number in 0..100 {
        if number == 20 {
            fleet.submit("z", vec![step_spec(1, 10)], 20);
        }
        for other in 0..4 {
            let id = format!("a-{number:02}-{other}");
            fleet.submit(&id, vec![step_spec(1, 10)], 20);
        }
        fleet.advance(10);
    }
    let z = JobId::new("z");
    assert_eq!(
        fleet.state(&z),
        JobState::Completed,
        "{:?}",
        fleet.rows.get(&z)
    );
}

/// Runs end on all workers while the table stores nothing for a second. Until a row is
/// stored, an ended run is listed with each response, so that workers are not asked at
/// the rate of their responses; new ends are learnt within a fraction of a second.
#[test]
fn workers_are_rarely_asked_while_ends_are_not_stored() {
    let mut fleet = FakeFleet::of_size(4, 4_000);
    fleet.submit("early", vec![step_spec(4, 4_000)], 200);
    fleet.submit("late", vec![step_spec(4, 4_000)], 300);
    fleet.advance(150);
    fleet.is_table_up = false;
    fleet.advance(150);
    let before = fleet.renewal_count;
    fleet.advance(1_000);
    let renewals = fleet.renewal_count - before;
    assert!(renewals <= 4 * 11, "{renewals} renewals");
    assert!(renewals >= 4 * 4, "{renewals} renewals");
    fleet.is_table_up = true;
    drain(&mut fleet);
}

/// What the table refuses is stored later, and no run is started before.
#[test]
fn refused_rows_are_stored_later() {
    let mut fleet = FakeFleet::of_size(2, 4_000);
    fleet.refused_changes = 3;
    for number in 0..3 {
        fleet.submit(&format!("a-{number}"), vec![step_spec(1, 1_000)], 100);
    }
    fleet.advance(30);
    assert!(fleet.starts.is_empty());
    drain(&mut fleet);
    assert_eq!(fleet.starts.len(), 3);
}

/// A job whose row is too large waits without holding up any other, and continues once
/// its row fits.
#[test]
fn a_row_that_is_too_large_holds_up_no_other() {
    let mut fleet = FakeFleet::of_size(4, 4_000);
    fleet.change_bytes = FEW_ROWS;
    let large = fleet.submit("large", vec![step_spec(12, 100)], 100);
    fleet.submit("small", vec![step_spec(1, 100)], 100);
    fleet.advance(1_000);
    assert_eq!(fleet.state(&JobId::new("small")), JobState::Completed);
    assert_eq!(fleet.state(&large), JobState::Queued);
    assert_eq!(fleet.starts.len(), 1);
    fleet.scheduler.cancel(&large, fleet.now);
    fleet.advance(100);
    assert_eq!(fleet.state(&large), JobState::Cancelled);
}

/// A job whose row is too large starts nothing; what it would use is free for others,
/// whether the worker or the customer's limit holds no more.
#[rstest]
#[case::worker(1_200, 0)]
#[case::limit(4_000, 1_200)]
fn a_row_that_is_too_large_reserves_nothing(#[case] worker: u64, #[case] limit: u64) {
    let mut fleet = FakeFleet::of_size(1, worker);
    let manifest = sync::Arc::new(manifest_with_limit(limit));
    fleet.scheduler.set_manifest(manifest);
    fleet.change_bytes = FEW_ROWS;
    let large = fleet.submit("large", vec![step_spec(12, 100)], 100);
    fleet.advance(500);
    let small = fleet.submit("small", vec![step_spec(1, 100)], 100);
    fleet.advance(1_000);
    assert_eq!(fleet.state(&small), JobState::Completed);
    assert_eq!(fleet.state(&large), JobState::Queued);
    assert_eq!(fleet.starts.len(), 1);
    let wall = fleet.wall_time();
    let demands = fleet.scheduler.pool_demands(wall);
    assert_eq!(demands[&PoolName::new("builders")].waiting, 0);
}

/// The row of a job becomes too large while its tasks run. The rest starts once the job
/// has changed and its row fits.
#[test]
fn a_job_with_a_row_that_was_too_large_continues_once_it_changes() {
    let mut fleet = FakeFleet::of_size(1, 500);
    let large = fleet.submit("large", vec![step_spec(12, 100)], 400);
    fleet.advance(200);
    let worker = FakeWorker::new("w1", "builders", 500);
    let view = worker.view.clone();
    fleet.workers.insert(view.id.clone(), worker);
    fleet.scheduler.worker_listed(view, fleet.now);
    fleet.advance(150);
    assert_eq!(fleet.starts.len(), 10);
    fleet.change_bytes = 100;
    fleet.advance(150);
    assert_eq!(fleet.starts.len(), 10);
    fleet.change_bytes = usize::MAX;
    fleet.advance(1_000);
    assert_eq!(fleet.state(&large), JobState::Completed);
    assert_eq!(fleet.starts.len(), 12);
}

/// Every task of a large job runs for the third time, on a worker with a long name.
#[test]
fn the_estimated_size_covers_the_progress_of_a_large_job() {
    let task = TaskRecord {
        run: 300,
        failed: vec![100, 200],
        crashes: CrashEvidence::from(99_999),
        worker: Some(WorkerId::new("server-of-a-long-name-24")),
        incarnation: 1_800_000_000_000,
        checkpoint: Some("00000bb87a21d94b".to_owned()),
        ..TaskRecord::default()
    };
    let record = ProgressRecord {
        state: JobState::Running,
        has_started: true,
        begun: 1,
        occurrences: vec![OccurrenceRecord {
            number: 1,
            steps: vec![vec![task; 300]; 2],
        }],
        ..ProgressRecord::default()
    };
    let step = StepSpec {
        checkpointing: true,
        ..step_spec(300, 100)
    };
    let spec = JobSpec {
        steps: vec![step.clone(), step],
        ..JobSpec::default()
    };
    let (needed, estimated) = (row_bytes(&record), spec.progress_bytes());
    assert!(needed <= estimated, "{needed} bytes of {estimated}");
    assert!(spec.check_progress(65_536).is_ok());
    let error = spec
        .check_progress(needed)
        .expect_err("the estimate is larger");
    assert!(error.to_string().contains("600 tasks"), "{error}");
}

/// Event while a backlog of rows drains.
#[derive(Clone, Debug)]
enum BacklogEvent {
    Submit { tasks: u32, duration_ms: u64 },
    LimitChanges { bytes: usize },
    RefuseChanges { count: u32 },
    SetTable { is_up: bool },
    TakeOver,
}

fn backlog_event() -> impl Strategy<Value = BacklogEvent> {
    prop_oneof![
        6 => (1..5_u32, 20..800_u64)
            .prop_map(|(tasks, duration_ms)| BacklogEvent::Submit { tasks, duration_ms }),
        1 => (FEW_ROWS..5_000).prop_map(|bytes| BacklogEvent::LimitChanges { bytes }),
        1 => (1..9_u32).prop_map(|count| BacklogEvent::RefuseChanges { count }),
        1 => any::<bool>().prop_map(|is_up| BacklogEvent::SetTable { is_up }),
        1 => Just(BacklogEvent::TakeOver),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(504),
        ..ProptestConfig::default()
    })]

    /// Any backlog drains in changes within their limit, across takeovers and refusals;
    /// as the workers lose nothing, each task runs once.
    #[test]
    fn any_backlog_drains_within_the_limits(
        events in prop::collection::vec((0..300_u64, backlog_event()), 1..60),
    ) {
        let mut fleet = FakeFleet::of_size(4, 4_000);
        fleet.change_bytes = FEW_ROWS;
        let mut task_count = 0;
        for (number, (delay_ms, event)) in events.into_iter().enumerate() {
            match event {
                BacklogEvent::Submit { tasks, duration_ms } => {
                    task_count += tasks as usize;
                    let id = format!("job-{number}");
                    fleet.submit(&id, vec![step_spec(tasks, 500)], duration_ms);
                }
                BacklogEvent::LimitChanges { bytes } => fleet.change_bytes = bytes,
                BacklogEvent::RefuseChanges { count } => fleet.refused_changes = count,
                BacklogEvent::SetTable { is_up } => fleet.is_table_up = is_up,
                BacklogEvent::TakeOver => fleet.take_over(SchedulerSettings::default()),
            }
            fleet.advance(delay_ms);
            fleet.assert_no_double_run();
        }
        fleet.is_table_up = true;
        drain(&mut fleet);
        prop_assert!(!fleet.scheduler.has_changes());
        prop_assert_eq!(fleet.starts.len(), task_count);
        let jobs = fleet.jobs.keys();
        prop_assert!(jobs.into_iter().all(|id| fleet.state(id) == JobState::Completed));
    }
}
