//! Owners that have more to store than the table takes at once, and rows that it does
//! not take.

#[allow(dead_code)]
mod common;

use std::time;

use common::{MANIFEST, TestCluster, head, run_test};
use redwing_engine::caller::service::CallerVerb;
use redwing_engine::codec::CallerResponse;
use redwing_engine::{product, row};
use redwing_jobs::maintenance::WaveRequest;
use redwing_jobs::name::MachineName;
use redwing_jobs::{JobId, JobState};
use redwing_provider::{RowKey, TableLimits, TableStore, TableTransaction};
use redwing_standin::memory::MemorySettings;
use redwing_standin::{MemoryMachines, MemoryPlatform, MemoryWorkers};
use rstest::rstest;
use tokio::time as timer;

/// Time for which a task runs.
const TASK_TIME: time::Duration = time::Duration::from_millis(1_500);

/// Number of jobs that are submitted at the same time.
const CONCURRENT_SUBMISSIONS: usize = 30;

/// Starts processes with enough workers for all jobs of a test.
async fn start(processes: usize) -> TestCluster {
    let mut cluster = TestCluster::start(0, TASK_TIME).await;
    cluster.workers = MemoryWorkers::new("workers", 60, TASK_TIME);
    let registered = cluster.workers.register(&cluster.platform).await;
    registered.expect("the table is up");
    cluster.machines = MemoryMachines::new("workers", 4, TASK_TIME);
    for number in 0..processes {
        cluster.add_process(number).await;
    }
    cluster.owner().await;
    cluster
}

async fn submit_jobs(cluster: &TestCluster, process: usize, count: usize) {
    // A process refuses jobs that it cannot send to the table in time.
    for first in (0..count).step_by(CONCURRENT_SUBMISSIONS) {
        let numbers = first..count.min(first + CONCURRENT_SUBMISSIONS);
        let submitted = numbers.map(|number| async move {
            let response = cluster.submit(process, &format!("job-{number}"), 1).await;
            assert_eq!(response, CallerResponse::Accepted);
        });
        futures_util::future::join_all(submitted).await;
    }
}

async fn request_waves(cluster: &TestCluster, count: u64) {
    for number in 1..=count {
        let request = WaveRequest {
            number,
            machines: vec![MachineName::new("m-0")],
            duration: time::Duration::from_secs(60),
            max_down: 1,
        };
        let value = serde_json::to_string(&request).expect("it is encoded");
        let key = RowKey::new(format!("manifest/wave/{number}"));
        let row = TableTransaction::default().put(key, value);
        let stored = cluster.platform.commit(&row).await;
        stored.expect("the table is up");
    }
}

/// Waits until so many rows under `prefix` have the text, and checks that the first
/// owner still is the only one.
async fn wait_rows(cluster: &TestCluster, prefix: &str, text: &str, count: usize) {
    loop {
        assert_eq!(cluster.owner().await.fencing_token, 1);
        let view = cluster.platform.scan(prefix).await;
        let rows = view.expect("the table is up").rows;
        let values = rows.iter().filter_map(|row| row.value.as_deref());
        if values.filter(|value| value.contains(text)).count() == count {
            return;
        }
        timer::sleep(time::Duration::from_millis(20)).await;
    }
}

/// While the table is absent, jobs end and waves are requested; their rows together are
/// more than one transaction takes.
#[test]
fn an_owner_outlives_a_backlog_of_more_rows_than_a_change_holds() {
    run_test(async {
        let cluster = start(1).await;
        submit_jobs(&cluster, 0, 300).await;
        cluster.wait_starts(300).await;
        cluster.disconnect_table(0);
        request_waves(&cluster, 20).await;
        timer::sleep(time::Duration::from_millis(2_000)).await;
        cluster.processes[0].platform.set_faults(|plan| {
            plan.table_down = false;
            plan.table_delay_millis = 200;
        });
        wait_rows(&cluster, row::PROGRESS_PREFIX, "completed", 300).await;
        wait_rows(&cluster, "wave-status/", "", 20).await;
        assert_eq!(cluster.workers.starts().len(), 300);
    });
}

/// Returns whether no rows beside that of the owner were refused twice.
fn is_refused_once(cluster: &TestCluster) -> bool {
    let rule = cluster.refusals.borrow();
    let rows = rule.refused.iter().map(|change| &change.writes()[1..]);
    let rows: Vec<_> = rows.filter(|rows| !rows.is_empty()).collect();
    let mut numbered = rows.iter().enumerate();
    numbered.all(|(number, one)| !rows[..number].contains(one))
}

/// The table refuses changes that are within its stated limits.
#[test]
fn an_owner_stores_refused_changes_in_smaller_ones() {
    run_test(async {
        let cluster = start(1).await;
        submit_jobs(&cluster, 0, 100).await;
        cluster.wait_starts(100).await;
        cluster.refusals.borrow_mut().max_entries = Some(7);
        request_waves(&cluster, 3).await;
        wait_rows(&cluster, row::PROGRESS_PREFIX, "completed", 100).await;
        wait_rows(&cluster, "wave-status/", "", 3).await;
        assert!(!cluster.refusals.borrow().refused.is_empty());
        assert!(is_refused_once(&cluster));
        assert_eq!(cluster.workers.starts().len(), 100);
    });
}

/// The table refuses one row; all others are stored, and that one once it is taken
/// and has changed.
#[test]
fn a_refused_row_keeps_no_other_from_being_stored() {
    run_test(async {
        let cluster = start(1).await;
        let id = JobId::new("job-5");
        cluster.refusals.borrow_mut().key = Some(row::progress_key(&id));
        submit_jobs(&cluster, 0, 50).await;
        wait_rows(&cluster, row::PROGRESS_PREFIX, "completed", 49).await;
        assert!(is_refused_once(&cluster));
        assert_eq!(cluster.workers.starts().len(), 49);
        cluster.refusals.borrow_mut().key = None;
        let service = &cluster.processes[0].service;
        let head = head("job-5", "good");
        let response = service.respond(CallerVerb::Cancel, &head, b"").await;
        assert_eq!(response, CallerResponse::Cancelled);
        wait_rows(&cluster, row::PROGRESS_PREFIX, "cancelled", 1).await;
    });
}

/// The table refuses all changes of the owner for a while. A job whose row was refused alone
/// then counted as the cause, and was never started.
#[test]
fn no_job_is_set_aside_because_the_table_refuses_all_changes() {
    run_test(async {
        let cluster = start(1).await;
        cluster.refusals.borrow_mut().key = Some(RowKey::new(row::OWNER_KEY));
        submit_jobs(&cluster, 0, 1).await;
        timer::sleep(time::Duration::from_secs(2)).await;
        cluster.refusals.borrow_mut().key = None;
        cluster.wait_state(0, "job-0", JobState::Completed).await;
    });
}

/// Time that each call of an owner with a slow table takes, in milliseconds.
const SLOW_CALL_MILLIS: u64 = 300;

/// Time that a delayed call takes, in milliseconds; an attempt still gets its response.
const DELAYED_CALL_MILLIS: u64 = 650;

/// Makes the calls that are sent in the time of one call after `delay` take longer.
async fn delay_calls(platform: MemoryPlatform, delay: time::Duration) {
    timer::sleep(delay).await;
    platform.set_faults(|plan| plan.table_delay_millis = DELAYED_CALL_MILLIS);
    timer::sleep(time::Duration::from_millis(SLOW_CALL_MILLIS)).await;
    platform.set_faults(|plan| plan.table_delay_millis = SLOW_CALL_MILLIS);
}

/// Checks that an owner with a slow table, which refuses one row, stays the owner.
async fn check_slow_owner(delay: Option<time::Duration>) {
    let cluster = start(2).await;
    let id = JobId::new("job-0");
    cluster.refusals.borrow_mut().key = Some(row::progress_key(&id));
    let owner = cluster.process_index(&cluster.owner().await);
    let platform = &cluster.processes[owner].platform;
    platform.set_faults(|plan| plan.table_delay_millis = SLOW_CALL_MILLIS);
    if let Some(delay) = delay {
        tokio::task::spawn_local(delay_calls(platform.clone(), delay));
    }
    submit_jobs(&cluster, 1 - owner, 50).await;
    wait_rows(&cluster, row::PROGRESS_PREFIX, "completed", 49).await;
    assert!(!cluster.refusals.borrow().refused.is_empty());
    assert!(is_refused_once(&cluster));
}

/// Each call takes so long that an owner which only sent smaller and smaller changes
/// would not renew its ownership in time.
#[test]
fn an_owner_with_a_slow_table_outlives_refused_changes() {
    run_test(check_slow_owner(None));
}

/// The delay falls on any of the changes and renewals.
#[test]
fn an_owner_with_a_slow_table_outlives_a_delayed_call_between_refused_changes() {
    for millis in (300..4_500).step_by(200) {
        run_test(check_slow_owner(Some(time::Duration::from_millis(millis))));
    }
}

/// Starts a process on a table with rows of at most so many bytes.
async fn start_with_rows(row_bytes: usize) -> TestCluster {
    let mut cluster = TestCluster::start(0, TASK_TIME).await;
    cluster.platform = MemoryPlatform::new(MemorySettings {
        table_limits: TableLimits {
            row_bytes,
            ..TableLimits::default()
        },
        ..MemorySettings::default()
    });
    let manifest = RowKey::new(product::MANIFEST_KEY);
    let row = TableTransaction::default().put(manifest, MANIFEST);
    cluster
        .platform
        .commit(&row)
        .await
        .expect("the table is up");
    let registered = cluster.workers.register(&cluster.platform).await;
    registered.expect("the table is up");
    cluster.add_process(0).await;
    cluster.owner().await;
    cluster
}

/// A job of which a row would not fit is refused with its sizes, and is not stored.
#[rstest]
#[case::row_of_the_job(65_536, 1, 70_000, "65536")]
#[case::row_of_its_progress(
    8_192,
    200,
    1,
    "the progress of 200 tasks may take 16460 bytes; at most 8192"
)]
fn a_job_whose_rows_do_not_fit_is_refused(
    #[case] row_bytes: usize,
    #[case] tasks: u32,
    #[case] image_bytes: usize,
    #[case] problem: &str,
) {
    run_test(async {
        let cluster = start_with_rows(row_bytes).await;
        let image = "i".repeat(image_bytes);
        let body = format!(
            r#"{{"steps":[{{"count":{tasks},"needs":{{"cpu-millis":10}},"image":"{image}"}}]}}"#
        );
        let service = &cluster.processes[0].service;
        let head = head("large", "good");
        let response = service.respond(CallerVerb::Submit, &head, body.as_bytes());
        let CallerResponse::Malformed(message) = response.await else {
            panic!("the job is refused");
        };
        assert!(message.contains(problem), "{message}");
        let rows = cluster
            .platform
            .scan("jobs@*/")
            .await
            .expect("the table is up");
        assert!(rows.rows.is_empty());
        assert_eq!(
            cluster.submit(0, "small", 40).await,
            CallerResponse::Accepted
        );
        wait_rows(&cluster, row::PROGRESS_PREFIX, "completed", 1).await;
    });
}
