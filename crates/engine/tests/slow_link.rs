//! Takeovers on VMs whose links are slow.

#[allow(dead_code)]
mod common;

use std::time;

use common::{RESTART_LIMIT, TestCluster, run_test};
use redwing_engine::codec::CallerResponse;
use redwing_engine::owner::OwnerSettings;
use redwing_engine::row::{self, OwnerRecord};
use redwing_jobs::name::{PoolName, QueueName};
use redwing_jobs::time::WallTime;
use redwing_jobs::{JobId, JobRecord, JobSpec, JobState, ProgressRecord};
use redwing_provider::{TableStore, TableTransaction};
use tokio::time as timer;

/// Number of jobs that finished before the takeover.
const FINISHED_JOBS: usize = 2_500;

/// Size that their rows have at least, in bytes.
const ROW_BYTES: u64 = 750_000;

/// Longest time from the takeover until an accepted job has started: the rows take
/// 3 s to arrive once, and callers count a job as lost after 6 s without a run.
const START_LIMIT: time::Duration = time::Duration::from_secs(6);

/// Stores jobs that are finished, and returns the size of their rows in bytes.
async fn store_finished_jobs(cluster: &TestCluster) -> u64 {
    let record = JobRecord {
        queue: QueueName::new("certificates"),
        pool: PoolName::new("workers"),
        customer: None,
        accepted_by: 0,
        accepted: WallTime::default(),
        spec: JobSpec {
            payload: "p".repeat(160),
            ..JobSpec::default()
        },
    };
    let progress = ProgressRecord {
        state: JobState::Completed,
        ..ProgressRecord::default()
    };
    for number in 0..FINISHED_JOBS {
        let id = JobId::new(&format!("finished-{number}"));
        let job_key = row::job_key(&id);
        let progress_key = row::progress_key(&id);
        let job = row::write(&job_key, &record).expect("the record is encoded");
        let done = row::write(&progress_key, &progress).expect("the record is encoded");
        let rows = TableTransaction::default()
            .put(job_key, job)
            .put(progress_key, done);
        cluster
            .platform
            .commit(&rows)
            .await
            .expect("the table is up");
    }
    let jobs = cluster.platform.scan(row::JOB_PREFIX).await;
    let progress = cluster.platform.scan(row::PROGRESS_PREFIX).await;
    jobs.expect("the table is up").size() + progress.expect("the table is up").size()
}

/// Starts an owner and stores finished jobs, then adds two processes on slow links.
async fn start_cluster(task_time: time::Duration, link_rate: u64) -> TestCluster {
    let mut cluster = TestCluster::start(1, task_time).await;
    cluster.owner().await;
    let bytes = store_finished_jobs(&cluster).await;
    assert!(bytes >= ROW_BYTES, "{bytes} bytes");
    cluster.link.bytes_per_second.set(Some(link_rate));
    for number in 1..3 {
        let settings = OwnerSettings {
            is_small: true,
            small_delay: time::Duration::from_millis(200),
            ..OwnerSettings::default()
        };
        cluster.add_process_with(number, settings).await;
    }
    cluster
}

/// Stops the first owner and waits for the next one.
async fn replace_owner(cluster: &TestCluster) -> OwnerRecord {
    let first = cluster.owner().await;
    cluster.processes[0].stop();
    cluster.owner_above(first.fencing_token).await
}

/// The rows take longer to arrive than a scan without progress may take.
#[test]
fn an_owner_on_a_slow_link_reads_all_rows_and_starts_accepted_jobs() {
    run_test(async {
        let cluster = start_cluster(time::Duration::from_millis(100), ROW_BYTES / 3).await;
        let second = replace_owner(&cluster).await;
        let taken_over_at = timer::Instant::now();
        assert_eq!(cluster.submit(1, "a", 1).await, CallerResponse::Accepted);
        cluster.wait_starts(1).await;
        let elapsed = taken_over_at.elapsed();
        assert!(elapsed < START_LIMIT, "{elapsed:?}");
        // No other process has taken over meanwhile.
        let owner = cluster.owner().await;
        assert_eq!(owner.fencing_token, second.fencing_token);
    });
}

/// The rows take longer to arrive than the leases of workers last.
#[test]
fn runs_outlive_a_takeover_over_a_slow_link() {
    run_test(async {
        let cluster = start_cluster(time::Duration::from_secs(60), ROW_BYTES / 8).await;
        assert_eq!(cluster.submit(0, "a", 2).await, CallerResponse::Accepted);
        cluster.wait_starts(2).await;
        replace_owner(&cluster).await;
        // The next job starts once the rows are read.
        assert_eq!(cluster.submit(1, "b", 1).await, CallerResponse::Accepted);
        cluster.wait_starts(3).await;
        assert_eq!(cluster.workers.running().len(), 3);
        cluster.assert_no_double_run();
    });
}

/// Jobs are accepted while their part of the table has been read already.
#[test]
fn counts_after_a_slow_takeover_include_all_accepted_jobs() {
    run_test(async {
        let cluster = start_cluster(time::Duration::from_secs(60), ROW_BYTES / 8).await;
        assert_eq!(cluster.submit(0, "a", 60).await, CallerResponse::Accepted);
        timer::sleep(time::Duration::from_secs(1)).await;
        replace_owner(&cluster).await;
        timer::sleep(time::Duration::from_millis(1_500)).await;
        for number in 0..40 {
            let response = cluster.submit(1, &format!("w{number}"), 1).await;
            assert_eq!(response, CallerResponse::Accepted);
        }
        loop {
            match cluster.pending(1).await {
                CallerResponse::Pending(count) => {
                    assert!(count >= 40, "{count}");
                    break;
                }
                CallerResponse::Unavailable { .. } => {}
                response => panic!("{response:?}"),
            }
            timer::sleep(time::Duration::from_millis(10)).await;
        }
    });
}

/// A worker is lost, and two owners are stopped one after the other while they read the
/// rows.
#[test]
fn owners_that_end_while_they_read_do_not_prolong_the_wait_for_a_lost_worker() {
    run_test(async {
        let mut cluster = start_cluster(time::Duration::from_secs(60), ROW_BYTES / 8).await;
        assert_eq!(cluster.submit(0, "a", 1).await, CallerResponse::Accepted);
        cluster.wait_starts(1).await;
        let lost_at = timer::Instant::now();
        cluster.lose_worker(&cluster.workers.starts()[0].worker);
        for _ in 0..2 {
            timer::sleep(time::Duration::from_secs(2)).await;
            let owner = cluster.owner().await;
            cluster.processes[cluster.process_index(&owner)].stop();
            cluster.owner_above(owner.fencing_token).await;
        }
        timer::sleep(time::Duration::from_secs(2)).await;
        let owner = cluster.owner().await;
        cluster.processes[cluster.process_index(&owner)].stop();
        cluster.link.bytes_per_second.set(None);
        cluster.add_process(3).await;
        cluster.wait_starts(2).await;
        let elapsed = lost_at.elapsed();
        assert!(elapsed < RESTART_LIMIT, "{elapsed:?}");
        cluster.assert_no_double_run();
    });
}
