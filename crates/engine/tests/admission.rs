//! Refusal of jobs by the published backlogs, at several processes with one table.

#[allow(dead_code)]
mod common;

use std::time;

use common::{TestCluster, head, run_test};
use redwing_engine::caller::service::CallerVerb;
use redwing_engine::codec::CallerResponse;
use redwing_engine::owner::OwnerSettings;
use redwing_engine::row;
use redwing_jobs::JobState;
use redwing_jobs::admission::BacklogSummary;
use redwing_provider::TableStore;
use tokio::time as timer;

/// Duration of each task.
const TASK_TIME: time::Duration = time::Duration::from_millis(500);

/// Jobs of 5 core-seconds each, for 12 cores: longer than three times the objective
/// of 1.4 s.
const FLOOD_JOBS: usize = 16;

/// Starts two processes that refuse early.
async fn start_cluster() -> TestCluster {
    let mut cluster = TestCluster::start(0, TASK_TIME).await;
    for number in 0..2 {
        let settings = OwnerSettings {
            publishes_backlogs: true,
            ..OwnerSettings::default()
        };
        cluster.add_process_with(number, settings).await;
    }
    cluster
}

async fn submit(cluster: &TestCluster, process: usize, id: &str) -> CallerResponse {
    let body = br#"{"steps":[{"count":10,"needs":{"cpu-millis":1000},"estimate-ms":500}]}"#;
    let service = &cluster.processes[process].service;
    service
        .respond(CallerVerb::Submit, &head(id, "good"), body)
        .await
}

/// Waits until the owner has published a backlog.
async fn wait_published(cluster: &TestCluster) {
    loop {
        let view = cluster.platform.scan(row::BACKLOG_KEY).await;
        let view = view.expect("the table is up");
        let summary = view.rows.first().map(row::read::<BacklogSummary>);
        let summary = summary.transpose().expect("the row is readable");
        if summary.is_some_and(|summary| !summary.pools.is_empty()) {
            return;
        }
        timer::sleep(time::Duration::from_millis(20)).await;
    }
}

/// Submits jobs until one is refused, and returns its number.
async fn first_refused(cluster: &TestCluster, process: usize) -> usize {
    for number in 0.. {
        let response = submit(cluster, process, &format!("more-{number}")).await;
        match response {
            CallerResponse::Accepted => timer::sleep(time::Duration::from_millis(100)).await,
            CallerResponse::Overloaded { retry_after } => {
                assert!(
                    retry_after >= time::Duration::from_secs(1),
                    "{retry_after:?}"
                );
                return number;
            }
            other => panic!("{other:?}"),
        }
    }
    unreachable!("the numbers do not end")
}

/// A refused job is in no row and never runs, until its caller sends it again; an
/// accepted one is accepted again.
#[test]
fn a_refused_job_never_runs_and_an_accepted_one_stays_accepted() {
    run_test(async {
        let cluster = start_cluster().await;
        cluster.owner().await;
        for number in 0..FLOOD_JOBS {
            let response = submit(&cluster, number % 2, &format!("flood-{number}")).await;
            assert_eq!(response, CallerResponse::Accepted);
        }
        wait_published(&cluster).await;
        let refused = format!("more-{}", first_refused(&cluster, 1).await);
        assert_eq!(cluster.state(0, &refused).await, CallerResponse::NoSuchJob);
        for process in 0..2 {
            let again = submit(&cluster, process, "flood-0").await;
            assert_eq!(again, CallerResponse::Accepted);
        }
        let last = format!("flood-{}", FLOOD_JOBS - 1);
        cluster.wait_state(0, &last, JobState::Completed).await;
        let starts = cluster.workers.starts();
        assert!(
            starts
                .iter()
                .all(|start| !format!("{start:?}").contains(&refused))
        );
        assert_eq!(cluster.state(0, &refused).await, CallerResponse::NoSuchJob);
        while submit(&cluster, 1, &refused).await != CallerResponse::Accepted {
            timer::sleep(time::Duration::from_millis(200)).await;
        }
        cluster.wait_state(0, &refused, JobState::Completed).await;
    });
}

/// The owner is lost while its summary says that all jobs must be refused: other
/// processes admit jobs again, at the latest once the summary is too old.
#[test]
fn a_lost_owner_refuses_no_job_for_long() {
    run_test(async {
        let cluster = start_cluster().await;
        let owner = cluster.owner().await;
        let other = 1 - cluster.process_index(&owner);
        for number in 0..FLOOD_JOBS {
            let response = submit(&cluster, other, &format!("flood-{number}")).await;
            assert_eq!(response, CallerResponse::Accepted);
        }
        wait_published(&cluster).await;
        first_refused(&cluster, other).await;
        for process in &cluster.processes {
            process.owner.abort();
        }
        let lost_at = timer::Instant::now();
        while submit(&cluster, other, "late").await != CallerResponse::Accepted {
            timer::sleep(time::Duration::from_millis(50)).await;
        }
        // The maximum age of a summary, and the time of a read.
        let limit = time::Duration::from_secs(5);
        assert!(lost_at.elapsed() < limit, "{:?}", lost_at.elapsed());
    });
}
