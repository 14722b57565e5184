//! Several processes with one table: ownership of the scheduling, and jobs
//! during failures of the owner, the table or workers.

#[allow(dead_code)]
mod common;
mod maintenance;

use std::time;

use common::{LostCalls, MANIFEST, TestCluster, head, run_test};
use redwing_engine::caller::service::CallerVerb;
use redwing_engine::codec::{CallerHead, CallerResponse};
use redwing_engine::owner::OwnerSettings;
use redwing_engine::product;
use redwing_engine::row::{self, OwnerRecord};
use redwing_engine::run;
use redwing_jobs::{JobId, JobState, WorkerId};
use redwing_provider::{RowKey, TableStore, TableTransaction};
use redwing_standin::WorkerFault;
use tokio::time as timer;

#[test]
fn a_job_is_accepted_and_completed() {
    run_test(async {
        let cluster = TestCluster::start(2, time::Duration::from_millis(100)).await;
        assert_eq!(cluster.submit(0, "a", 5).await, CallerResponse::Accepted);
        cluster.wait_state(1, "a", JobState::Completed).await;
        assert_eq!(cluster.workers.starts().len(), 5);
        let owner = cluster.owner().await;
        let metrics = &cluster.processes[cluster.process_index(&owner)].metrics;
        let text = String::from_utf8(metrics.text().expect("it is written")).expect("it is text");
        assert!(
            text.contains("redwing_jobs_ended_total{state=\"Completed\"} 1"),
            "{text}"
        );
        assert!(text.contains("redwing_tasks_placed_total 5"), "{text}");
        assert!(text.contains("redwing_owner_fence 1"), "{text}");
    });
}

/// The table is silent. Only the jobs whose rows were sent to it may be stored; all
/// others are refused, and never run.
#[test]
fn jobs_that_were_not_sent_to_a_silent_table_are_refused() {
    run_test(async {
        let cluster = TestCluster::start(1, time::Duration::from_millis(50)).await;
        cluster.owner().await;
        let set_delay = |millis| {
            let platform = &cluster.processes[0].platform;
            platform.set_faults(|plan| plan.table_delay_millis = millis);
        };
        set_delay(20_000);
        let names: Vec<String> = (0..40).map(|number| format!("job-{number}")).collect();
        let submitted = names.iter().map(|name| cluster.submit(0, name, 1));
        let responses = futures_util::future::join_all(submitted).await;
        let unknown = responses
            .iter()
            .filter(|response| **response == CallerResponse::OutcomeUnknown);
        let in_flight = run::client_settings().max_commits_in_flight;
        assert!(unknown.count() <= in_flight, "{responses:?}");
        set_delay(0);
        timer::sleep(time::Duration::from_secs(1)).await;
        let view = cluster.platform.scan("jobs@*/").await;
        let rows = view.expect("the table is up").rows;
        for (name, response) in names.iter().zip(&responses) {
            let key = row::job_key(&JobId::new(name));
            let is_stored = rows.iter().any(|entry| entry.key == key);
            let is_refused = matches!(response, CallerResponse::Unavailable { .. });
            assert!(!is_refused || !is_stored, "{name}");
        }
    });
}

/// A job that needs more than any worker has is refused with the name of the
/// field, and is not stored.
#[test]
fn a_job_that_no_worker_can_run_is_refused() {
    run_test(async {
        let cluster = TestCluster::start(1, time::Duration::from_millis(50)).await;
        cluster.owner().await;
        while cluster
            .platform
            .scan(row::FLEET_CAPACITY_KEY)
            .await
            .expect("the table is up")
            .rows
            .is_empty()
        {
            timer::sleep(time::Duration::from_millis(20)).await;
        }
        assert_eq!(cluster.submit(0, "a", 1).await, CallerResponse::Accepted);
        timer::sleep(time::Duration::from_millis(200)).await;
        let service = &cluster.processes[0].service;
        let body = br#"{"steps":[{"count":1,"needs":{"cpu-millis":4001}}]}"#;
        let response = service
            .respond(CallerVerb::Submit, &head("b", "good"), body)
            .await;
        let CallerResponse::Malformed(problem) = &response else {
            panic!("{response:?}");
        };
        assert!(problem.contains("steps[0].needs.cpu-millis"), "{problem}");
        assert_eq!(cluster.state(0, "b").await, CallerResponse::NoSuchJob);
        cluster.wait_state(0, "a", JobState::Completed).await;
    });
}

#[test]
fn the_same_id_submitted_to_two_processes_is_one_job() {
    run_test(async {
        let cluster = TestCluster::start(2, time::Duration::from_millis(50)).await;
        let (first, second) =
            futures_util::join!(cluster.submit(0, "a", 3), cluster.submit(1, "a", 3));
        assert_eq!(
            (first, second),
            (CallerResponse::Accepted, CallerResponse::Accepted)
        );
        cluster.wait_state(0, "a", JobState::Completed).await;
        assert_eq!(cluster.submit(1, "a", 3).await, CallerResponse::Accepted);
        timer::sleep(time::Duration::from_millis(300)).await;
        assert_eq!(cluster.workers.starts().len(), 3);
    });
}

#[test]
fn invalid_keys_unknown_paths_and_malformed_jobs_are_refused() {
    run_test(async {
        let cluster = TestCluster::start(1, time::Duration::from_millis(50)).await;
        let service = &cluster.processes[0].service;
        let refused = service
            .respond(CallerVerb::Submit, &head("a", "bad"), b"{}")
            .await;
        assert_eq!(refused, CallerResponse::KeyRefused);
        let unknown_path = CallerHead {
            path: "/else/a".to_owned(),
            ..head("a", "good")
        };
        let not_found = service.respond(CallerVerb::Read, &unknown_path, b"").await;
        assert_eq!(not_found, CallerResponse::NoSuchQueue);
        assert_eq!(cluster.state(0, "a").await, CallerResponse::NoSuchJob);
        let malformed = service
            .respond(CallerVerb::Submit, &head("a", "good"), b"{}")
            .await;
        assert!(
            matches!(malformed, CallerResponse::Malformed(message) if message.contains("steps"))
        );
    });
}

/// The owner loses its connection to the table. Another process becomes owner,
/// and running tasks continue without a second start.
#[test]
fn running_tasks_survive_an_owner_that_loses_the_table() {
    run_test(async {
        let cluster = TestCluster::start(3, time::Duration::from_secs(6)).await;
        let first = cluster.owner().await;
        assert_eq!(cluster.submit(0, "a", 4).await, CallerResponse::Accepted);
        cluster.wait_starts(4).await;
        let index = cluster.process_index(&first);
        cluster.disconnect_table(index);
        let second = cluster.owner_above(first.fencing_token).await;
        assert_ne!(second.incarnation, first.incarnation);
        let successor = cluster.process_index(&second);
        cluster
            .wait_state(successor, "a", JobState::Completed)
            .await;
        assert_eq!(
            cluster.workers.starts().len(),
            4,
            "a task was started twice"
        );
    });
}

/// The first commit of a job row gets no response; a retry succeeds within the
/// caller's timeout.
#[test]
fn a_submit_is_retried_after_a_commit_without_a_response() {
    run_test(async {
        let cluster = TestCluster::start(1, time::Duration::from_millis(50)).await;
        cluster.owner().await;
        cluster.lost_calls.set(LostCalls::FirstOfEachJob);
        for number in 0..6 {
            let started = timer::Instant::now();
            let id = format!("job-{number}");
            assert_eq!(cluster.submit(0, &id, 1).await, CallerResponse::Accepted);
            assert!(started.elapsed() < time::Duration::from_millis(1_000));
        }
    });
}

/// All processes are killed and restarted. The new process of the owner's VM
/// knows that the owner has ended, and does not wait for its lease.
#[test]
fn a_restarted_owner_reclaims_the_ownership_before_its_lease_expires() {
    run_test(async {
        let mut cluster = TestCluster::start(2, time::Duration::from_secs(3)).await;
        let first = cluster.owner().await;
        assert_eq!(cluster.submit(0, "a", 2).await, CallerResponse::Accepted);
        cluster.wait_starts(2).await;
        let killed = timer::Instant::now();
        for process in cluster.processes.drain(..) {
            process.owner.abort();
        }
        for number in 0..2 {
            let incarnation = 100 + number as u64;
            cluster
                .add_incarnation(number, incarnation, OwnerSettings::default())
                .await;
        }
        let second = cluster.owner_above(first.fencing_token).await;
        assert!(killed.elapsed() < OwnerSettings::default().lease);
        assert_eq!(second.node, first.node);
        cluster.wait_state(0, "a", JobState::Completed).await;
        assert_eq!(cluster.workers.starts().len(), 2);
    });
}

/// A stopping owner releases its row, so another process does not wait for the
/// lease.
#[test]
fn a_stopping_owner_releases_the_ownership_at_once() {
    run_test(async {
        let mut cluster = TestCluster::start(2, time::Duration::from_secs(3)).await;
        let first = cluster.owner().await;
        assert_eq!(cluster.submit(0, "a", 2).await, CallerResponse::Accepted);
        cluster.wait_starts(2).await;
        let index = cluster.process_index(&first);
        let stopped = timer::Instant::now();
        cluster.processes[index].stop();
        let second = cluster.owner_above(first.fencing_token).await;
        assert!(stopped.elapsed() < OwnerSettings::default().lease);
        let process = cluster.processes.remove(index);
        process.owner.await.expect("the owner's task ends");
        assert_ne!(second.incarnation, first.incarnation);
        cluster.wait_state(0, "a", JobState::Completed).await;
        assert_eq!(cluster.workers.starts().len(), 2);
    });
}

#[test]
fn tasks_of_a_crashed_worker_are_restarted() {
    run_test(async {
        let cluster = TestCluster::start(1, time::Duration::from_secs(2)).await;
        assert_eq!(cluster.submit(0, "a", 3).await, CallerResponse::Accepted);
        cluster.wait_starts(3).await;
        let crashed_worker = cluster.workers.starts()[0].worker.clone();
        cluster.workers.crash(&crashed_worker);
        cluster.wait_state(0, "a", JobState::Completed).await;
        assert!(cluster.workers.starts().len() > 3);
        cluster.assert_no_double_run();
    });
}

/// A worker carries out orders only after later orders have been sent.
#[test]
fn late_orders_run_no_task_twice() {
    run_test(async {
        let cluster = TestCluster::start(1, time::Duration::from_millis(800)).await;
        let worker = WorkerId::new("worker-1");
        cluster.owner().await;
        timer::sleep(time::Duration::from_millis(300)).await;
        let late_orders = WorkerFault {
            execution_delay: Some(time::Duration::from_millis(1_500)),
            ..WorkerFault::default()
        };
        cluster.workers.set_fault(&worker, late_orders);
        assert_eq!(cluster.submit(0, "a", 6).await, CallerResponse::Accepted);
        timer::sleep(time::Duration::from_millis(200)).await;
        cluster.workers.set_fault(&worker, WorkerFault::default());
        while cluster.state(0, "a").await != CallerResponse::State(JobState::Completed) {
            cluster.assert_no_double_run();
            timer::sleep(time::Duration::from_millis(10)).await;
        }
        timer::sleep(time::Duration::from_millis(2_000)).await;
        cluster.assert_no_double_run();
    });
}

/// The job was not written, so the refusal must be final.
#[test]
fn a_job_refused_without_a_table_never_runs() {
    run_test(async {
        let cluster = TestCluster::start(2, time::Duration::from_millis(50)).await;
        cluster.owner().await;
        cluster.disconnect_table(1);
        timer::sleep(time::Duration::from_millis(2_500)).await;
        let response = cluster.submit(1, "a", 1).await;
        assert!(
            matches!(response, CallerResponse::Unavailable { .. }),
            "{response:?}"
        );
        cluster.processes[1]
            .platform
            .set_faults(|plan| plan.table_down = false);
        timer::sleep(time::Duration::from_millis(1_000)).await;
        assert!(cluster.workers.starts().is_empty());
        assert_eq!(cluster.state(0, "a").await, CallerResponse::NoSuchJob);
    });
}

/// The table rejects the calls of one VM: its callers are refused quickly, other
/// VMs are served, and the refused job never runs.
#[test]
fn a_submit_that_the_table_rejects_is_refused_quickly() {
    run_test(async {
        let cluster = TestCluster::start(2, time::Duration::from_millis(50)).await;
        cluster.owner().await;
        cluster.disconnect_table(1);
        let started = timer::Instant::now();
        let response = cluster.submit(1, "a", 1).await;
        assert!(
            matches!(response, CallerResponse::Unavailable { .. }),
            "{response:?}"
        );
        assert!(started.elapsed() < time::Duration::from_millis(600));
        assert_eq!(cluster.submit(0, "b", 1).await, CallerResponse::Accepted);
        cluster.wait_state(0, "b", JobState::Completed).await;
        assert_eq!(cluster.state(0, "a").await, CallerResponse::NoSuchJob);
        assert_eq!(cluster.workers.starts().len(), 1);
    });
}

/// The job is stored although the reply to the commit was lost; a retry finds
/// its row, and the caller gets `Accepted`.
#[test]
fn a_lost_commit_reply_is_resolved_by_a_retry() {
    run_test(async {
        let cluster = TestCluster::start(2, time::Duration::from_millis(50)).await;
        let owner = cluster.owner().await;
        let other = 1 - cluster.process_index(&owner);
        cluster.processes[other]
            .platform
            .set_faults(|plan| plan.lost_replies = 1);
        assert_eq!(
            cluster.submit(other, "a", 2).await,
            CallerResponse::Accepted
        );
        cluster.wait_state(0, "a", JobState::Completed).await;
        assert_eq!(cluster.workers.starts().len(), 2);
    });
}

/// Lost replies, lost requests and late commits do not end the ownership.
#[test]
fn an_owner_continues_after_lost_and_late_commits() {
    run_test(async {
        let cluster = TestCluster::start(1, time::Duration::from_millis(100)).await;
        cluster.owner().await;
        for round in 0..6 {
            cluster.processes[0]
                .platform
                .set_faults(|plan| match round % 3 {
                    0 => plan.lost_replies = 2,
                    1 => plan.lost_requests = 2,
                    _ => plan.late_requests = 1,
                });
            let id = format!("job-{round}");
            let response = cluster.submit(0, &id, 3).await;
            assert_eq!(response, CallerResponse::Accepted);
            cluster.wait_state(0, &id, JobState::Completed).await;
        }
        assert_eq!(cluster.workers.starts().len(), 18);
    });
}

#[test]
fn cancelling_a_job_stops_its_runs() {
    run_test(async {
        let cluster = TestCluster::start(2, time::Duration::from_secs(30)).await;
        assert_eq!(cluster.submit(0, "a", 3).await, CallerResponse::Accepted);
        cluster.wait_starts(3).await;
        let service = &cluster.processes[1].service;
        let response = service
            .respond(CallerVerb::Cancel, &head("a", "good"), b"")
            .await;
        assert_eq!(response, CallerResponse::Cancelled);
        while !cluster.workers.running().is_empty() {
            timer::sleep(time::Duration::from_millis(10)).await;
        }
        cluster.wait_state(0, "a", JobState::Cancelled).await;
    });
}

/// A small VM is owner only until a larger VM starts.
#[test]
fn a_larger_vm_takes_over_from_a_small_one() {
    run_test(async {
        let mut cluster = TestCluster::start(0, time::Duration::from_secs(2)).await;
        cluster.add_process_of_size(0, true).await;
        let first = cluster.owner().await;
        assert_eq!(first.incarnation, 0);
        assert_eq!(cluster.submit(0, "a", 2).await, CallerResponse::Accepted);
        cluster.wait_starts(2).await;
        cluster.add_process_of_size(1, false).await;
        let second = cluster.owner_above(first.fencing_token).await;
        assert_eq!(second.incarnation, 1);
        cluster.wait_state(0, "a", JobState::Completed).await;
        assert_eq!(cluster.workers.starts().len(), 2);
        timer::sleep(time::Duration::from_millis(1_500)).await;
        assert_eq!(
            cluster.owner().await.fencing_token,
            second.fencing_token,
            "the ownership must not change again"
        );
    });
}

/// Rows of finished jobs are deleted after the retention time, and the deletion
/// starts no job again.
#[test]
fn rows_of_finished_jobs_are_deleted() {
    run_test(async {
        let mut cluster = TestCluster::start(0, time::Duration::from_millis(50)).await;
        let mut settings = OwnerSettings {
            cleanup_interval: time::Duration::from_millis(100),
            ..OwnerSettings::default()
        };
        settings.scheduler.retention = time::Duration::from_millis(600);
        cluster.add_process_with(0, settings).await;
        for number in 0..5 {
            let id = format!("job-{number}");
            assert_eq!(cluster.submit(0, &id, 2).await, CallerResponse::Accepted);
            cluster.wait_state(0, &id, JobState::Completed).await;
        }
        for prefix in [row::JOB_PREFIX, row::PROGRESS_PREFIX] {
            while !cluster
                .platform
                .scan(prefix)
                .await
                .expect("the table is up")
                .rows
                .is_empty()
            {
                timer::sleep(time::Duration::from_millis(20)).await;
            }
        }
        assert_eq!(cluster.workers.starts().len(), 10);
        assert_eq!(cluster.state(0, "job-0").await, CallerResponse::NoSuchJob);
    });
}

/// The version in force stays, and jobs run on.
#[test]
fn a_manifest_with_an_unusable_weight_is_not_installed() {
    run_test(async {
        let cluster = TestCluster::start(1, time::Duration::from_millis(50)).await;
        let broken = MANIFEST
            .replace(r#""version":1"#, r#""version":2"#)
            .replace(r#""weight":1.0"#, r#""weight":-1.0"#);
        let row = TableTransaction::default().put(RowKey::new(product::MANIFEST_KEY), broken);
        cluster
            .platform
            .commit(&row)
            .await
            .expect("the table is up");
        timer::sleep(time::Duration::from_millis(700)).await;
        let text = cluster.processes[0].metrics.text().expect("it is written");
        let text = String::from_utf8(text).expect("it is text");
        assert!(text.contains("redwing_manifest_version 1"), "{text}");
        assert_eq!(cluster.submit(0, "a", 1).await, CallerResponse::Accepted);
        cluster.wait_state(0, "a", JobState::Completed).await;
    });
}

/// The counts are those of an owner that is gone, and its successor reads the rows.
#[test]
fn pending_counts_of_an_earlier_owner_are_not_given() {
    run_test(async {
        let cluster = TestCluster::start(1, time::Duration::from_millis(100)).await;
        let owner = cluster.owner().await;
        while cluster.pending(0).await != CallerResponse::Pending(0) {
            timer::sleep(time::Duration::from_millis(20)).await;
        }
        cluster.processes[0].owner.abort();
        assert_eq!(cluster.submit(0, "a", 1).await, CallerResponse::Accepted);
        let key = RowKey::new(row::OWNER_KEY);
        let successor = OwnerRecord {
            node: "entry-9".to_owned(),
            fencing_token: owner.fencing_token + 1,
            ..owner
        };
        let value = row::write(&key, &successor).expect("the record is encoded");
        let claim = TableTransaction::default().put(key, value);
        cluster
            .platform
            .commit(&claim)
            .await
            .expect("the table is up");
        let response = cluster.pending(0).await;
        assert!(
            matches!(response, CallerResponse::Unavailable { .. }),
            "{response:?}"
        );
    });
}

/// Waits until the count of pending jobs is given.
async fn wait_pending(cluster: &TestCluster, count: u64) {
    while cluster.pending(0).await != CallerResponse::Pending(count) {
        timer::sleep(time::Duration::from_millis(20)).await;
    }
}

/// Time after which the counts must not be given any more.
const COUNT_AGE: time::Duration = time::Duration::from_millis(2_000);

/// The owner is frozen, and no other process can take over.
#[test]
fn pending_counts_of_an_owner_that_stores_nothing_are_not_given() {
    run_test(async {
        let cluster = TestCluster::start(1, time::Duration::from_millis(100)).await;
        wait_pending(&cluster, 0).await;
        cluster.processes[0].owner.abort();
        assert_eq!(cluster.submit(0, "a", 1).await, CallerResponse::Accepted);
        timer::sleep(COUNT_AGE).await;
        let response = cluster.pending(0).await;
        assert!(
            matches!(response, CallerResponse::Unavailable { .. }),
            "{response:?}"
        );
    });
}

/// The table takes all changes of the owner but those of the counts.
#[test]
fn pending_counts_that_cannot_be_stored_are_not_given_for_long() {
    run_test(async {
        let cluster = TestCluster::start(1, time::Duration::from_millis(100)).await;
        wait_pending(&cluster, 0).await;
        for worker in ["worker-1", "worker-2", "worker-3"] {
            cluster.workers.remove(&WorkerId::new(worker));
        }
        cluster.refusals.borrow_mut().key = Some(RowKey::new(row::PENDING_KEY));
        assert_eq!(cluster.submit(0, "a", 1).await, CallerResponse::Accepted);
        timer::sleep(COUNT_AGE * 2).await;
        let response = cluster.pending(0).await;
        assert!(
            matches!(response, CallerResponse::Unavailable { .. }),
            "{response:?}"
        );
        cluster.refusals.borrow_mut().key = None;
        wait_pending(&cluster, 1).await;
    });
}

/// Counts that stay the same are given for as long as the owner renews its row.
#[test]
fn pending_counts_that_do_not_change_are_given_at_any_time() {
    run_test(async {
        let cluster = TestCluster::start(1, time::Duration::from_millis(100)).await;
        wait_pending(&cluster, 0).await;
        let started = timer::Instant::now();
        while started.elapsed() < COUNT_AGE * 2 {
            let asked = timer::Instant::now();
            assert_eq!(cluster.pending(0).await, CallerResponse::Pending(0));
            assert!(asked.elapsed() < time::Duration::from_millis(200));
            timer::sleep(time::Duration::from_millis(30)).await;
        }
    });
}
