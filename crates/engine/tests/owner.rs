//! Several processes against one table: who owns the scheduling, and what
//! becomes of jobs when the owner, the table or workers fail.

mod common;

use std::time;

use common::{SilentCalls, TestCluster, head, run_test};
use redwing_engine::caller::answer::CallerVerb;
use redwing_engine::codec::{CallerAnswer, CallerHead};
use redwing_engine::owner::OwnerSettings;
use redwing_engine::row;
use redwing_jobs::{JobState, WorkerId};
use redwing_provider::TableStore;
use redwing_standin::WorkerFault;
use tokio::time as timer;

#[test]
fn a_job_is_accepted_and_completed() {
    run_test(async {
        let cluster = TestCluster::start(2, time::Duration::from_millis(100)).await;
        assert_eq!(cluster.submit(0, "a", 5).await, CallerAnswer::Accepted);
        cluster.wait_state(1, "a", JobState::Completed).await;
        assert_eq!(cluster.workers.starts().len(), 5);
        let owner = cluster.owner().await;
        let metrics = &cluster.processes[cluster.position(&owner)].metrics;
        let text = String::from_utf8(metrics.text().expect("it is written")).expect("it is text");
        assert!(
            text.contains("redwing_jobs_ended_total{state=\"Completed\"} 1"),
            "{text}"
        );
        assert!(text.contains("redwing_tasks_placed_total 5"), "{text}");
        assert!(text.contains("redwing_owner_fence 1"), "{text}");
    });
}

/// What no worker has is told by the field that asks for it, and not stored.
#[test]
fn a_job_that_no_worker_can_run_is_refused() {
    run_test(async {
        let cluster = TestCluster::start(1, time::Duration::from_millis(50)).await;
        cluster.owner().await;
        while cluster
            .platform
            .scan(row::OFFER_KEY)
            .await
            .expect("the table is up")
            .rows
            .is_empty()
        {
            timer::sleep(time::Duration::from_millis(20)).await;
        }
        assert_eq!(cluster.submit(0, "a", 1).await, CallerAnswer::Accepted);
        timer::sleep(time::Duration::from_millis(200)).await;
        let desk = &cluster.processes[0].desk;
        let body = br#"{"steps":[{"count":1,"needs":{"cpu-millis":4001}}]}"#;
        let answer = desk
            .answer(CallerVerb::Submit, &head("b", "good"), body)
            .await;
        let CallerAnswer::Malformed(problem) = &answer else {
            panic!("{answer:?}");
        };
        assert!(problem.contains("steps[0].needs.cpu-millis"), "{problem}");
        assert_eq!(cluster.state(0, "b").await, CallerAnswer::NoSuchJob);
        cluster.wait_state(0, "a", JobState::Completed).await;
    });
}

#[test]
fn the_same_id_at_two_processes_is_one_job() {
    run_test(async {
        let cluster = TestCluster::start(2, time::Duration::from_millis(50)).await;
        let (first, second) =
            futures_util::join!(cluster.submit(0, "a", 3), cluster.submit(1, "a", 3));
        assert_eq!(
            (first, second),
            (CallerAnswer::Accepted, CallerAnswer::Accepted)
        );
        cluster.wait_state(0, "a", JobState::Completed).await;
        assert_eq!(cluster.submit(1, "a", 3).await, CallerAnswer::Accepted);
        timer::sleep(time::Duration::from_millis(300)).await;
        assert_eq!(cluster.workers.starts().len(), 3);
    });
}

#[test]
fn a_key_that_is_not_good_is_refused_and_an_unknown_path_too() {
    run_test(async {
        let cluster = TestCluster::start(1, time::Duration::from_millis(50)).await;
        let desk = &cluster.processes[0].desk;
        let refused = desk
            .answer(CallerVerb::Submit, &head("a", "bad"), b"{}")
            .await;
        assert_eq!(refused, CallerAnswer::KeyRefused);
        let elsewhere = CallerHead {
            path: "/else/a".to_owned(),
            ..head("a", "good")
        };
        let lost = desk.answer(CallerVerb::Read, &elsewhere, b"").await;
        assert_eq!(lost, CallerAnswer::NoSuchQueue);
        assert_eq!(cluster.state(0, "a").await, CallerAnswer::NoSuchJob);
        let malformed = desk
            .answer(CallerVerb::Submit, &head("a", "good"), b"{}")
            .await;
        assert!(matches!(malformed, CallerAnswer::Malformed(message) if message.contains("steps")));
    });
}

/// The owner loses the table; another takes over, and what runs goes on.
#[test]
fn work_outlives_an_owner_that_is_cut_from_the_table() {
    run_test(async {
        let cluster = TestCluster::start(3, time::Duration::from_secs(6)).await;
        let first = cluster.owner().await;
        assert_eq!(cluster.submit(0, "a", 4).await, CallerAnswer::Accepted);
        cluster.wait_starts(4).await;
        let position = cluster.position(&first);
        cluster.cut(position);
        let second = cluster.owner_after(first.fence).await;
        assert_ne!(second.life, first.life);
        let witness = cluster.position(&second);
        cluster.wait_state(witness, "a", JobState::Completed).await;
        assert_eq!(
            cluster.workers.starts().len(),
            4,
            "nothing was started again"
        );
    });
}

/// Connections to the table go silent for some calls, and the owner is cut
/// off: another process still finds out, takes over and goes on.
#[test]
fn silent_connections_delay_a_takeover_by_little() {
    run_test(async {
        let cluster = TestCluster::start(2, time::Duration::from_millis(100)).await;
        let first = cluster.owner().await;
        cluster.silent.set(SilentCalls::EachThird);
        let position = cluster.position(&first);
        cluster.cut(position);
        let lost = timer::Instant::now();
        let second = cluster.owner_after(first.fence).await;
        let settings = OwnerSettings::default();
        // The reads, the claim and the reads after it may each be lost once.
        let limit = settings.lease + settings.poll * 3 + settings.attempt_limit * 3;
        assert!(lost.elapsed() < limit, "{:?}", lost.elapsed());
        let witness = cluster.position(&second);
        assert_ne!(second.life, first.life);
        assert_eq!(
            cluster.submit(witness, "a", 3).await,
            CallerAnswer::Accepted
        );
        cluster.wait_starts(3).await;
        // Rows to read, then the change that precedes the starts.
        let limit = limit + settings.attempt_limit * 4;
        assert!(lost.elapsed() < limit, "{:?}", lost.elapsed());
        cluster.wait_state(witness, "a", JobState::Completed).await;
        assert_eq!(cluster.workers.starts().len(), 3);
    });
}

/// An answer is found within the caller's patience although the first
/// attempt went to a silent connection.
#[test]
fn a_submit_over_a_silent_connection_is_sent_again() {
    run_test(async {
        let cluster = TestCluster::start(1, time::Duration::from_millis(50)).await;
        cluster.owner().await;
        cluster.silent.set(SilentCalls::FirstOfJob);
        for number in 0..6 {
            let begun = timer::Instant::now();
            let id = format!("job-{number}");
            assert_eq!(cluster.submit(0, &id, 1).await, CallerAnswer::Accepted);
            assert!(begun.elapsed() < time::Duration::from_millis(1_000));
        }
    });
}

/// All processes are killed and come back: that of the owner's VM knows that
/// the owner has ended, and waits for no lease.
#[test]
fn a_vm_takes_the_scheduling_back_after_its_process_was_killed() {
    run_test(async {
        let mut cluster = TestCluster::start(2, time::Duration::from_secs(3)).await;
        let first = cluster.owner().await;
        assert_eq!(cluster.submit(0, "a", 2).await, CallerAnswer::Accepted);
        cluster.wait_starts(2).await;
        let killed = timer::Instant::now();
        for process in cluster.processes.drain(..) {
            process.owner.abort();
        }
        for number in 0..2 {
            let life = 100 + number as u64;
            cluster
                .add_life(number, life, OwnerSettings::default())
                .await;
        }
        let second = cluster.owner_after(first.fence).await;
        assert!(killed.elapsed() < OwnerSettings::default().lease);
        assert_eq!(second.node, first.node);
        cluster.wait_state(0, "a", JobState::Completed).await;
        assert_eq!(cluster.workers.starts().len(), 2);
    });
}

/// A process that stops hands the scheduling over at once.
#[test]
fn a_stopping_owner_hands_over_at_once() {
    run_test(async {
        let mut cluster = TestCluster::start(2, time::Duration::from_secs(3)).await;
        let first = cluster.owner().await;
        assert_eq!(cluster.submit(0, "a", 2).await, CallerAnswer::Accepted);
        cluster.wait_starts(2).await;
        let position = cluster.position(&first);
        let stopped = timer::Instant::now();
        cluster.processes[position].stop.send_replace(true);
        let second = cluster.owner_after(first.fence).await;
        assert!(stopped.elapsed() < OwnerSettings::default().lease);
        let process = cluster.processes.remove(position);
        process.owner.await.expect("the owner's task ends");
        assert_ne!(second.life, first.life);
        cluster.wait_state(0, "a", JobState::Completed).await;
        assert_eq!(cluster.workers.starts().len(), 2);
    });
}

#[test]
fn tasks_of_a_crashed_worker_start_again() {
    run_test(async {
        let cluster = TestCluster::start(1, time::Duration::from_secs(2)).await;
        assert_eq!(cluster.submit(0, "a", 3).await, CallerAnswer::Accepted);
        cluster.wait_starts(3).await;
        let lost = cluster.workers.starts()[0].worker.clone();
        cluster.workers.crash(&lost);
        cluster.wait_state(0, "a", JobState::Completed).await;
        assert!(cluster.workers.starts().len() > 3);
        cluster.assert_no_double_run();
    });
}

/// Orders that a worker carries out after others have been given.
#[test]
fn late_orders_run_nothing_twice() {
    run_test(async {
        let cluster = TestCluster::start(1, time::Duration::from_millis(800)).await;
        let worker = WorkerId::new("worker-1");
        cluster.owner().await;
        timer::sleep(time::Duration::from_millis(300)).await;
        let late = WorkerFault {
            execution_delay: Some(time::Duration::from_millis(1_500)),
            ..WorkerFault::default()
        };
        cluster.workers.set_fault(&worker, late);
        assert_eq!(cluster.submit(0, "a", 6).await, CallerAnswer::Accepted);
        timer::sleep(time::Duration::from_millis(200)).await;
        cluster.workers.set_fault(&worker, WorkerFault::default());
        while cluster.state(0, "a").await != CallerAnswer::State(JobState::Completed) {
            cluster.assert_no_double_run();
            timer::sleep(time::Duration::from_millis(10)).await;
        }
        timer::sleep(time::Duration::from_millis(2_000)).await;
        cluster.assert_no_double_run();
    });
}

/// Nothing was written, so the refusal is true.
#[test]
fn a_submit_without_a_table_is_refused_and_never_runs() {
    run_test(async {
        let cluster = TestCluster::start(2, time::Duration::from_millis(50)).await;
        cluster.owner().await;
        cluster.cut(1);
        timer::sleep(time::Duration::from_millis(2_500)).await;
        let answer = cluster.submit(1, "a", 1).await;
        assert!(
            matches!(answer, CallerAnswer::Unavailable { .. }),
            "{answer:?}"
        );
        cluster.processes[1]
            .platform
            .set_faults(|plan| plan.table_down = false);
        timer::sleep(time::Duration::from_millis(1_000)).await;
        assert!(cluster.workers.starts().is_empty());
        assert_eq!(cluster.state(0, "a").await, CallerAnswer::NoSuchJob);
    });
}

/// The table turns one VM away: its callers hear so soon, while others are
/// served, and what was refused never runs.
#[test]
fn a_submit_that_the_table_rejects_is_sent_away_soon() {
    run_test(async {
        let cluster = TestCluster::start(2, time::Duration::from_millis(50)).await;
        cluster.owner().await;
        cluster.cut(1);
        let begun = timer::Instant::now();
        let answer = cluster.submit(1, "a", 1).await;
        assert!(
            matches!(answer, CallerAnswer::Unavailable { .. }),
            "{answer:?}"
        );
        assert!(begun.elapsed() < time::Duration::from_millis(600));
        assert_eq!(cluster.submit(0, "b", 1).await, CallerAnswer::Accepted);
        cluster.wait_state(0, "b", JobState::Completed).await;
        assert_eq!(cluster.state(0, "a").await, CallerAnswer::NoSuchJob);
        assert_eq!(cluster.workers.starts().len(), 1);
    });
}

/// The job is stored although the reply was lost; the caller is told so.
#[test]
fn a_lost_reply_is_resolved_by_writing_again() {
    run_test(async {
        let cluster = TestCluster::start(2, time::Duration::from_millis(50)).await;
        let owner = cluster.owner().await;
        let other = 1 - cluster.position(&owner);
        cluster.processes[other]
            .platform
            .set_faults(|plan| plan.lost_replies = 1);
        assert_eq!(cluster.submit(other, "a", 2).await, CallerAnswer::Accepted);
        cluster.wait_state(0, "a", JobState::Completed).await;
        assert_eq!(cluster.workers.starts().len(), 2);
    });
}

/// The owner's changes survive lost replies and commits that arrive late.
#[test]
fn the_owner_goes_on_after_lost_and_late_commits() {
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
            let answer = cluster.submit(0, &id, 3).await;
            assert_eq!(answer, CallerAnswer::Accepted);
            cluster.wait_state(0, &id, JobState::Completed).await;
        }
        assert_eq!(cluster.workers.starts().len(), 18);
    });
}

#[test]
fn a_cancelled_job_does_not_run_on() {
    run_test(async {
        let cluster = TestCluster::start(2, time::Duration::from_secs(30)).await;
        assert_eq!(cluster.submit(0, "a", 3).await, CallerAnswer::Accepted);
        cluster.wait_starts(3).await;
        let desk = &cluster.processes[1].desk;
        let answer = desk
            .answer(CallerVerb::Cancel, &head("a", "good"), b"")
            .await;
        assert_eq!(answer, CallerAnswer::Cancelled);
        while !cluster.workers.running().is_empty() {
            timer::sleep(time::Duration::from_millis(10)).await;
        }
        cluster.wait_state(0, "a", JobState::Cancelled).await;
    });
}

/// Small VMs own the scheduling only while no larger one does.
#[test]
fn a_larger_vm_takes_over_from_a_small_one() {
    run_test(async {
        let mut cluster = TestCluster::start(0, time::Duration::from_secs(2)).await;
        cluster.add_sized(0, true).await;
        let first = cluster.owner().await;
        assert_eq!(first.life, 0);
        assert_eq!(cluster.submit(0, "a", 2).await, CallerAnswer::Accepted);
        cluster.wait_starts(2).await;
        cluster.add_sized(1, false).await;
        let second = cluster.owner_after(first.fence).await;
        assert_eq!(second.life, 1);
        cluster.wait_state(0, "a", JobState::Completed).await;
        assert_eq!(cluster.workers.starts().len(), 2);
        timer::sleep(time::Duration::from_millis(1_500)).await;
        assert_eq!(
            cluster.owner().await.fence,
            second.fence,
            "they do not take turns"
        );
    });
}

/// Rows of finished jobs go once their state need not be readable any more,
/// and no job runs again for it.
#[test]
fn rows_of_finished_jobs_are_deleted() {
    run_test(async {
        let mut cluster = TestCluster::start(0, time::Duration::from_millis(50)).await;
        let mut settings = OwnerSettings {
            cleanup_interval: time::Duration::from_millis(100),
            ..OwnerSettings::default()
        };
        settings.scheduler.retention = time::Duration::from_millis(600);
        cluster.add_with(0, settings).await;
        for number in 0..5 {
            let id = format!("job-{number}");
            assert_eq!(cluster.submit(0, &id, 2).await, CallerAnswer::Accepted);
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
        assert_eq!(cluster.state(0, "job-0").await, CallerAnswer::NoSuchJob);
    });
}
