//! Tasks of a worker that is lost while the ownership changes.

#[allow(dead_code)]
mod common;

use std::time;

use common::{LostCalls, RESTART_LIMIT, TestCluster, run_test};
use redwing_engine::codec::CallerResponse;
use redwing_engine::owner::OwnerSettings;
use redwing_engine::product;
use redwing_engine::row::{LateLeaseTimes, OwnerRecord};
use redwing_jobs::{JobState, SchedulerSettings, WorkerId};
use redwing_provider::{RowKey, TableStore, TableTransaction};
use redwing_standin::worker::WorkerFault;
use tokio::time as timer;

/// Number of workers that start again at once; more than the owner row names.
const RETURNED_WORKERS: u32 = 70;

/// Time in which a new owner reads the rows and is in contact with the workers.
const CONTACT_TIME: time::Duration = time::Duration::from_millis(400);

/// Time in which a change of an owner is stored.
const CHANGE_TIME: time::Duration = time::Duration::from_millis(50);

/// Returns settings of owners whose row names at most `limit` workers with long leases.
fn settings_with_limit(limit: usize) -> OwnerSettings {
    OwnerSettings {
        scheduler: SchedulerSettings {
            max_late_leases: limit,
            ..SchedulerSettings::default()
        },
        ..OwnerSettings::default()
    }
}

/// Starts one task that outlasts the test on a worker that starts again, carries out a renewal for
/// the incarnation before, gets the task once more, and then becomes unresponsive. Returns the
/// owner and the other workers, which are unresponsive all the while.
async fn lose_returned_worker() -> (TestCluster, OwnerRecord, Vec<WorkerId>) {
    let cluster = TestCluster::start(3, time::Duration::from_secs(60)).await;
    let mut others = cluster.workers.ids();
    let lost = others.remove(0);
    for worker in &others {
        cluster.lose_worker(worker);
    }
    let owner = cluster.owner().await;
    assert_eq!(cluster.submit(0, "a", 1).await, CallerResponse::Accepted);
    cluster.wait_starts(1).await;
    cluster.workers.crash(&lost);
    cluster.workers.renew_late(&lost);
    let listed = cluster.workers.register(&cluster.platform).await;
    listed.expect("the table is up");
    cluster.wait_starts(2).await;
    cluster.lose_worker(&lost);
    (cluster, owner, others)
}

/// Makes workers responsive, and checks for longer than any lease that no task runs twice.
async fn bring_back(cluster: &TestCluster, workers: &[WorkerId]) {
    for worker in workers {
        cluster.workers.set_fault(worker, WorkerFault::default());
    }
    for _ in 0..1_500 {
        timer::sleep(time::Duration::from_millis(10)).await;
        cluster.assert_no_double_run();
    }
}

/// Starts one task that outlasts the test.
async fn start_long_task(processes: usize) -> TestCluster {
    let cluster = TestCluster::start(processes, time::Duration::from_secs(60)).await;
    cluster.owner().await;
    assert_eq!(cluster.submit(0, "a", 1).await, CallerResponse::Accepted);
    cluster.wait_starts(1).await;
    cluster
}

/// Makes the worker of the first start unresponsive; returns the time.
fn lose_started_worker(cluster: &TestCluster) -> timer::Instant {
    cluster.lose_worker(&cluster.workers.starts()[0].worker);
    timer::Instant::now()
}

/// Starts one task that outlasts the test, and makes its worker unresponsive.
async fn lose_worker(processes: usize) -> (TestCluster, timer::Instant) {
    let cluster = start_long_task(processes).await;
    let lost_at = lose_started_worker(&cluster);
    (cluster, lost_at)
}

/// Kills the owner.
async fn kill_owner(cluster: &TestCluster) {
    let owner = cluster.owner().await;
    let index = cluster.process_index(&owner);
    cluster.processes[index].owner.abort();
}

/// Waits until the task has started again, and checks that it took less than `limit`.
async fn check_restart(cluster: &TestCluster, lost_at: timer::Instant, limit: time::Duration) {
    cluster.wait_starts(2).await;
    let elapsed = lost_at.elapsed();
    assert!(elapsed < limit, "{elapsed:?}");
    cluster.assert_no_double_run();
}

/// A rolling restart moves the ownership every 2 s while a worker is lost.
#[test]
fn a_rolling_restart_does_not_prolong_the_wait_for_a_lost_worker() {
    run_test(async {
        let (mut cluster, lost_at) = lose_worker(2).await;
        for _ in 0..5 {
            timer::sleep(time::Duration::from_secs(2)).await;
            if cluster.workers.starts().len() > 1 {
                break;
            }
            let owner = cluster.owner().await;
            let index = cluster.process_index(&owner);
            cluster.processes[index].stop();
            cluster.owner_above(owner.fencing_token).await;
            cluster.add_process(cluster.processes.len()).await;
        }
        check_restart(&cluster, lost_at, RESTART_LIMIT).await;
    });
}

/// The owner is killed while it waits for the leases of a lost worker.
#[test]
fn a_killed_owner_does_not_prolong_the_wait_for_a_lost_worker() {
    run_test(async {
        let (cluster, lost_at) = lose_worker(3).await;
        timer::sleep(time::Duration::from_secs(3)).await;
        kill_owner(&cluster).await;
        check_restart(&cluster, lost_at, RESTART_LIMIT).await;
    });
}

/// The owner is killed together with a worker, whose start has responded, as the next change of the
/// owner shows.
#[test]
fn tasks_of_a_worker_that_is_lost_with_the_owner_start_again_in_time() {
    run_test(async {
        let cluster = start_long_task(3).await;
        timer::sleep(OwnerSettings::default().renewal_interval + CHANGE_TIME).await;
        let lost_at = lose_started_worker(&cluster);
        kill_owner(&cluster).await;
        check_restart(&cluster, lost_at, RESTART_LIMIT).await;
    });
}

/// The owner is killed together with a worker before it has changed a row since the start: no row
/// says whether the worker has responded, which "may start again" and carry the start out under a
/// clock that "starts anew". Its task waits for the longest lease that the last order of the owner
/// may have granted, and no longer.
#[test]
fn a_task_whose_start_no_row_confirms_waits_for_the_longest_lease_and_no_longer() {
    run_test(async {
        let (cluster, lost_at) = lose_worker(3).await;
        kill_owner(&cluster).await;
        let settings = OwnerSettings::default();
        let longest = settings.scheduler.longest_lease_bound();
        let limit = settings.unconfirmed_limit + longest + settings.poll_interval * 2;
        check_restart(&cluster, lost_at, limit).await;
        assert!(lost_at.elapsed() > longest, "{:?}", lost_at.elapsed());
    });
}

/// Guards against a task that starts elsewhere while it runs (TWICE): its worker had started
/// again and carried out a renewal for the incarnation before, and is lost with the owner.
#[test]
fn a_successor_waits_for_the_long_lease_of_a_worker_that_had_started_again() {
    run_test(async {
        let (cluster, owner, others) = lose_returned_worker().await;
        cluster.processes[cluster.process_index(&owner)]
            .owner
            .abort();
        bring_back(&cluster, &others).await;
        assert_eq!(cluster.workers.starts().len(), 3);
        let owner = cluster.owner().await;
        assert_eq!(owner.late_leases, LateLeaseTimes::default());
    });
}

/// Guards against the same if the successor stops before it has read the rows of workers: it has
/// written the owner row meanwhile.
#[test]
fn a_successor_that_still_reads_rows_passes_the_long_lease_of_a_worker_on() {
    run_test(async {
        let (cluster, owner, others) = lose_returned_worker().await;
        cluster.lost_calls.set(LostCalls::WorkerReads);
        cluster.processes[cluster.process_index(&owner)]
            .owner
            .abort();
        let mut reading = cluster.owner_above(owner.fencing_token).await;
        assert_ne!(reading.late_leases, LateLeaseTimes::default());
        while reading.change == 0 {
            timer::sleep(time::Duration::from_millis(10)).await;
            reading = cluster.owner_above(owner.fencing_token).await;
        }
        cluster.processes[cluster.process_index(&reading)].stop();
        cluster.lost_calls.set(LostCalls::None);
        cluster.owner_above(reading.fencing_token).await;
        bring_back(&cluster, &others).await;
        assert_eq!(cluster.workers.starts().len(), 3);
    });
}

/// Guards against the same after the successor has been in contact with the workers, if there are
/// more of them than the owner row names one by one.
#[test]
fn a_successor_in_contact_waits_for_the_long_leases_of_more_workers_than_its_row_names() {
    run_test(async {
        let mut cluster =
            TestCluster::with_workers(RETURNED_WORKERS + 5, 0, time::Duration::from_secs(60)).await;
        let settings = settings_with_limit(RETURNED_WORKERS as usize - 1);
        cluster.add_process_with(0, settings).await;
        let workers = cluster.workers.ids();
        let (returned, others) = workers.split_at(RETURNED_WORKERS as usize);
        for worker in others {
            cluster.lose_worker(worker);
        }
        let owner = cluster.owner().await;
        let submitted = cluster.submit_with_cpu(0, "a", RETURNED_WORKERS, 4_000);
        assert_eq!(submitted.await, CallerResponse::Accepted);
        cluster.wait_starts(returned.len()).await;
        for worker in returned {
            cluster.workers.crash(worker);
            cluster.workers.renew_late(worker);
        }
        let listed = cluster.workers.register(&cluster.platform).await;
        listed.expect("the table is up");
        cluster.wait_starts(2 * returned.len()).await;
        // The VM of the owner starts again at once.
        cluster.processes[0].owner.abort();
        cluster
            .add_incarnation(0, 1, settings_with_limit(RETURNED_WORKERS as usize - 1))
            .await;
        cluster.owner_above(owner.fencing_token).await;
        timer::sleep(CONTACT_TIME).await;
        for worker in returned {
            cluster.lose_worker(worker);
        }
        bring_back(&cluster, others).await;
        assert!(cluster.workers.starts().len() > 2 * returned.len());
    });
}

/// The claim of an owner takes effect without a reply, and none of its changes arrives.
/// It must grant no lease beyond the time for which its successor waits.
#[test]
fn an_owner_counts_its_first_orders_from_when_it_sent_its_claim() {
    run_test(async {
        let mut cluster = TestCluster::start(1, time::Duration::from_secs(60)).await;
        let owner = cluster.owner().await;
        assert_eq!(cluster.submit(0, "a", 1).await, CallerResponse::Accepted);
        cluster.wait_starts(1).await;
        cluster.add_process(1).await;
        cluster.lost_calls.set(LostCalls::AfterClaim);
        cluster.processes[0].owner.abort();
        cluster.owner_above(owner.fencing_token).await;
        let claimed_at = cluster.claimed_at.get().expect("a claim took effect");
        while !cluster.workers.running().is_empty() {
            timer::sleep(time::Duration::from_millis(10)).await;
        }
        let elapsed = claimed_at.elapsed();
        let limit = OwnerSettings::default().scheduler.inherited_lease;
        assert!(elapsed < limit, "{elapsed:?}");
    });
}

/// Loses the owner while calls to the table get no response, and checks that another
/// process becomes owner and starts a job within the timeouts of the retries.
async fn check_lossy_takeover(read: u32) {
    let cluster = TestCluster::start(2, time::Duration::from_millis(100)).await;
    let first = cluster.owner().await;
    cluster.lost_calls.set(LostCalls::OnceEach { read });
    let index = cluster.process_index(&first);
    cluster.disconnect_table(index);
    let disconnected = timer::Instant::now();
    let second = cluster.owner_above(first.fencing_token).await;
    let settings = OwnerSettings::default();
    // The reads, the claim and the reads after it may each be lost once.
    let limit = settings.lease + settings.poll_interval * 3 + settings.attempt_timeout * 3;
    let elapsed = disconnected.elapsed();
    assert!(elapsed < limit, "{elapsed:?}, read {read}");
    // The claim and the read after it are each sent again once.
    let claimed_at = cluster.claimed_at.get().expect("the claim was lost");
    let elapsed = claimed_at.elapsed();
    let repeat_limit = settings.attempt_timeout * 2;
    assert!(elapsed < repeat_limit, "{elapsed:?} after the claim");
    let successor = cluster.process_index(&second);
    assert_ne!(second.incarnation, first.incarnation);
    assert_eq!(
        cluster.submit(successor, "a", 3).await,
        CallerResponse::Accepted
    );
    cluster.wait_starts(3).await;
    // Next, the scans of the new session and the change before the start orders.
    let limit = limit + settings.attempt_timeout * 4;
    let elapsed = disconnected.elapsed();
    assert!(elapsed < limit, "{elapsed:?}, read {read}");
    cluster
        .wait_state(successor, "a", JobState::Completed)
        .await;
    assert_eq!(cluster.workers.starts().len(), 3);
}

/// The claim gets no response, nor does one of the reads before it, nor the first of each
/// call after it: another process still becomes owner in time.
#[test]
fn lost_table_calls_delay_a_takeover_only_by_their_retries() {
    for read in 1..=6 {
        run_test(check_lossy_takeover(read));
    }
}

/// The first claim is lost, and then the table is silent for longer than a successor may
/// go without a response: the lease of the lost owner has expired all the same.
#[test]
fn an_absence_of_the_table_after_a_claim_costs_no_second_lease() {
    run_test(async {
        let mut cluster = TestCluster::start(1, time::Duration::from_secs(60)).await;
        let owner = cluster.owner().await;
        cluster.add_process(1).await;
        cluster.lost_calls.set(LostCalls::OnceEach { read: 0 });
        cluster.processes[0].owner.abort();
        while cluster.claimed_at.get().is_none() {
            timer::sleep(time::Duration::from_millis(10)).await;
        }
        let platform = &cluster.processes[1].platform;
        platform.set_faults(|plan| plan.table_silent = true);
        timer::sleep(time::Duration::from_secs(4)).await;
        platform.set_faults(|plan| plan.table_silent = false);
        let returned_at = timer::Instant::now();
        cluster.owner_above(owner.fencing_token).await;
        let elapsed = returned_at.elapsed();
        assert!(elapsed < OwnerSettings::default().lease, "{elapsed:?}");
    });
}

/// The table is back, and a process that has not read the manifest yet becomes owner. It
/// does not know the limits of customers.
#[test]
fn an_owner_starts_nothing_before_it_has_the_manifest() {
    run_test(async {
        let mut cluster = TestCluster::start(0, time::Duration::from_millis(1_500)).await;
        let manifest = common::MANIFEST.replace(r#""limit":{}"#, r#""limit":{"cpu-millis":500}"#);
        let row = TableTransaction::default().put(RowKey::new(product::MANIFEST_KEY), manifest);
        cluster
            .platform
            .commit(&row)
            .await
            .expect("the table is up");
        cluster.add_process(0).await;
        let owner = cluster.owner().await;
        assert_eq!(cluster.submit(0, "a", 2).await, CallerResponse::Accepted);
        cluster.wait_starts(1).await;
        cluster.lost_calls.set(LostCalls::OperatorReads);
        cluster.add_process(1).await;
        cluster.processes[0].stop();
        cluster.owner_above(owner.fencing_token).await;
        timer::sleep(time::Duration::from_millis(500)).await;
        assert_eq!(cluster.workers.starts().len(), 1);
        cluster.lost_calls.set(LostCalls::None);
        cluster.wait_state(1, "a", JobState::Completed).await;
        assert_eq!(cluster.workers.starts().len(), 2);
    });
}

/// The table goes down some time before the signal, and a change is under way.
#[test]
fn an_owner_without_a_table_stops_in_time() {
    run_test(async {
        let mut cluster = TestCluster::start(1, time::Duration::from_secs(60)).await;
        cluster.owner().await;
        cluster.disconnect_table(0);
        timer::sleep(time::Duration::from_millis(1_500)).await;
        let process = cluster.processes.remove(0);
        process.stop();
        let stopped = timer::timeout(time::Duration::from_secs(4), process.owner).await;
        assert!(stopped.is_ok(), "it still runs");
    });
}

/// The scheduler's bound on the leases of an earlier owner covers the time for which
/// that owner may send orders.
#[test]
fn successors_wait_for_the_last_orders_of_an_owner() {
    let settings = OwnerSettings::default();
    let longest = settings.unconfirmed_limit + settings.scheduler.lease_bound();
    assert!(settings.scheduler.inherited_lease >= longest);
}
