//! Jobs that are cancelled before they are stored.

#[allow(dead_code)]
mod common;

use std::time;

use common::{TestCluster, head, run_test};
use redwing_engine::caller::service::CallerVerb;
use redwing_engine::caller::withdrawal::{WithdrawalLimiter, WithdrawalLimits};
use redwing_engine::codec::{CallerHead, CallerResponse};
use redwing_engine::owner::OwnerSettings;
use redwing_engine::product;
use redwing_engine::row;
use redwing_jobs::name::CustomerName;
use redwing_jobs::{BootTime, JobId, JobState, SchedulerSettings};
use redwing_provider::{RowKey, TableStore, TableTransaction};
use rstest::rstest;
use tokio::time as timer;

/// Duration of each task.
const TASK_TIME: time::Duration = time::Duration::from_millis(100);

/// Time after which a job that is stored has started.
const START_TIME: time::Duration = time::Duration::from_secs(5);

/// Time after which a caller leaves; less than the first attempts to store its job take.
const PATIENCE: time::Duration = time::Duration::from_millis(30);

/// Number of commits of a process that get no response: more than it sends for one job.
const ALL_ATTEMPTS: u32 = 1_000;

async fn cancel(cluster: &TestCluster, process: usize, id: &str) -> CallerResponse {
    let service = &cluster.processes[process].service;
    service
        .respond(CallerVerb::Cancel, &head(id, "good"), b"")
        .await
}

/// Returns two processes that do not own the scheduling: their only commits are those for callers.
async fn other_processes(cluster: &TestCluster) -> [usize; 2] {
    let owner = cluster.process_index(&cluster.owner().await);
    [(owner + 1) % 3, (owner + 2) % 3]
}

/// Returns the number of rows whose keys begin with that of a job.
async fn row_count(cluster: &TestCluster, id: &str) -> usize {
    let key = row::job_key(&JobId::new(id));
    let view = cluster.platform.scan(key.as_str()).await;
    view.expect("the table is up").rows.len()
}

/// Guards against a job that runs after its cancelling was acknowledged (UNASKED): the write of its
/// row was under way when its caller cancelled it, and is carried out late or sent again.
#[rstest]
#[case::all_attempts_are_late(ALL_ATTEMPTS, false)]
#[case::the_first_attempts_are_late(6, false)]
#[case::the_owner_changes(ALL_ATTEMPTS, true)]
fn a_job_that_is_cancelled_while_it_is_being_stored_never_runs(
    #[case] late: u32,
    #[case] changes_owner: bool,
) {
    run_test(async move {
        let cluster = TestCluster::start(3, TASK_TIME).await;
        let owner = cluster.owner().await;
        let [first, second] = other_processes(&cluster).await;
        let platform = &cluster.processes[first].platform;
        platform.set_faults(|plan| plan.late_requests = late);
        let cancelled = async {
            timer::sleep(PATIENCE).await;
            cancel(&cluster, second, "a").await
        };
        let (submitted, cancelled) = tokio::join!(cluster.submit(first, "a", 1), cancelled);
        assert_eq!(cancelled, CallerResponse::NoSuchJob);
        assert_ne!(submitted, CallerResponse::Accepted);
        platform.set_faults(|plan| plan.late_requests = 0);
        if changes_owner {
            cluster.processes[cluster.process_index(&owner)].stop();
            cluster.owner_above(owner.fencing_token).await;
        }
        cluster.platform.deliver_late_requests();
        timer::sleep(START_TIME).await;
        assert_eq!(cluster.workers.starts().len(), 0);
        assert_eq!(cluster.state(second, "a").await, CallerResponse::NoSuchJob);
        // Sent again, it is refused at once.
        assert_eq!(
            cluster.submit(second, "a", 1).await,
            CallerResponse::NoSuchJob
        );
        assert_eq!(
            cancel(&cluster, second, "a").await,
            CallerResponse::NoSuchJob
        );
        assert_eq!(row_count(&cluster, "a").await, 1);
    });
}

/// Guards against the opposite: a job that nobody has cancelled is lost, because a caller of another
/// customer has cancelled its id, or one of another queue.
#[test]
fn a_withdrawal_counts_for_its_own_customer_and_queue_only() {
    run_test(async {
        let mut cluster = TestCluster::start(0, TASK_TIME).await;
        let customers = r#"{"name":"others","keys":["other"],"weight":1.0,"limit":{}},"#;
        let queue = r#"{"name":"letters","address":{"path-prefix":"/r/"},"pool":"workers",
            "priority":0,"max-attempts":3,"stretch":1.6,"objective-ms":600,"is-public":false,
            "is-advised":false},"#;
        let manifest = common::MANIFEST
            .replace(r#""customers":["#, &format!(r#""customers":[{customers}"#))
            .replace(r#""queues":["#, &format!(r#""queues":[{queue}"#));
        let row = TableTransaction::default().put(RowKey::new(product::MANIFEST_KEY), manifest);
        let stored = cluster.platform.commit(&row).await;
        stored.expect("the table is up");
        cluster.add_process(0).await;
        cluster.owner().await;
        let other_customer = head("a", "other");
        let other_queue = CallerHead {
            path: "/r/a".to_owned(),
            ..head("a", "good")
        };
        for caller in [other_customer, other_queue] {
            let service = &cluster.processes[0].service;
            let response = service.respond(CallerVerb::Cancel, &caller, b"").await;
            assert_eq!(response, CallerResponse::NoSuchJob);
        }
        assert_eq!(cluster.submit(0, "a", 1).await, CallerResponse::Accepted);
        cluster.wait_state(0, "a", JobState::Completed).await;
    });
}

/// Guards against an acknowledged cancelling of a job that is stored between the read and the write
/// of its cancelling.
#[test]
fn a_job_that_is_stored_while_it_is_being_cancelled_is_cancelled() {
    run_test(async {
        let cluster = TestCluster::start(3, time::Duration::from_secs(60)).await;
        let [first, second] = other_processes(&cluster).await;
        let slow = &cluster.processes[second].platform;
        slow.set_faults(|plan| plan.table_delay_millis = 200);
        let submitted = async {
            timer::sleep(time::Duration::from_millis(150)).await;
            cluster.submit(first, "a", 1).await
        };
        let (cancelled, submitted) = tokio::join!(cancel(&cluster, second, "a"), submitted);
        assert_eq!(submitted, CallerResponse::Accepted);
        assert_eq!(cancelled, CallerResponse::Cancelled);
        cluster.wait_state(first, "a", JobState::Cancelled).await;
        timer::sleep(START_TIME).await;
        assert!(cluster.workers.running().is_empty());
    });
}

/// Guards against a cancelling that is acknowledged although nothing is stored: the table does not
/// respond, or its responses are lost.
#[rstest]
#[case::down(true, 0)]
#[case::writes_are_lost(false, ALL_ATTEMPTS)]
fn a_cancelling_is_not_acknowledged_while_the_table_stores_none(
    #[case] table_down: bool,
    #[case] lost_requests: u32,
) {
    run_test(async move {
        let cluster = TestCluster::start(3, TASK_TIME).await;
        let [process, _] = other_processes(&cluster).await;
        cluster.processes[process].platform.set_faults(|plan| {
            plan.table_down = table_down;
            plan.lost_requests = lost_requests;
        });
        let response = cancel(&cluster, process, "a").await;
        let is_refusal = matches!(
            response,
            CallerResponse::Unavailable { .. } | CallerResponse::OutcomeUnknown
        );
        assert!(is_refusal, "{response:?}");
    });
}

/// Guards against rows that stay for ever, and an id that is refused for ever: a withdrawal ends,
/// also if the owner changes meanwhile.
#[rstest]
#[case::one_owner(false)]
#[case::the_owner_changes(true)]
fn a_withdrawal_ends_after_the_retention(#[case] changes_owner: bool) {
    run_test(async move {
        let mut cluster = TestCluster::start(0, TASK_TIME).await;
        for number in 0..2 {
            let settings = OwnerSettings {
                scheduler: SchedulerSettings {
                    retention: time::Duration::from_secs(5),
                    ..SchedulerSettings::default()
                },
                ..OwnerSettings::default()
            };
            cluster.add_process_with(number, settings).await;
        }
        let owner = cluster.owner().await;
        let process = 1 - cluster.process_index(&owner);
        let response = cancel(&cluster, process, "a").await;
        assert_eq!(response, CallerResponse::NoSuchJob);
        timer::sleep(time::Duration::from_secs(4)).await;
        assert_eq!(row_count(&cluster, "a").await, 1);
        if changes_owner {
            cluster.processes[cluster.process_index(&owner)].stop();
        }
        timer::sleep(time::Duration::from_secs(8)).await;
        assert_eq!(row_count(&cluster, "a").await, 0);
        let response = cluster.submit(process, "a", 1).await;
        assert_eq!(response, CallerResponse::Accepted);
        cluster.wait_state(process, "a", JobState::Completed).await;
    });
}

/// Guards against a table that a caller fills by cancelling random ids, and against customers that
/// cannot cancel because another one has.
#[test]
fn withdrawals_are_limited_by_customer() {
    let limits = WithdrawalLimits {
        period: time::Duration::from_secs(10),
        per_customer: 2,
        total: 3,
    };
    let mut limiter = WithdrawalLimiter::new(limits);
    let [first, second] = ["first", "second"].map(CustomerName::new);
    let at = BootTime::from_millis;
    assert_eq!(limiter.admit(Some(&first), at(1_000)), Ok(()));
    assert_eq!(limiter.admit(Some(&first), at(2_000)), Ok(()));
    let left = limiter.admit(Some(&first), at(3_000));
    assert_eq!(left, Err(time::Duration::from_secs(8)));
    assert_eq!(limiter.admit(Some(&second), at(3_000)), Ok(()));
    let left = limiter.admit(Some(&second), at(4_000));
    assert_eq!(left, Err(time::Duration::from_secs(7)), "the total");
    assert_eq!(limiter.admit(None, at(11_000)), Ok(()));
    let left = limiter.admit(Some(&second), at(11_500));
    assert_eq!(left, Err(time::Duration::from_millis(500)));
    assert_eq!(limiter.admit(Some(&first), at(12_000)), Ok(()));
}
