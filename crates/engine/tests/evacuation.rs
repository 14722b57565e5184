//! Evacuations while a process, a link or the table fails halfway.

#[allow(dead_code)]
mod common;

use std::time;

use common::{LostCalls, MANIFEST, RefusalRule, TestCluster, run_test};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use redwing_engine::codec::CallerResponse;
use redwing_engine::owner::OwnerSettings;
use redwing_engine::product;
use redwing_engine::row;
use redwing_jobs::evacuation::{EvacuationState, EvacuationStatus};
use redwing_jobs::name::{DataCentre, WorkerId};
use redwing_jobs::spec::ResourceAmount;
use redwing_jobs::{JobState, SchedulerSettings};
use redwing_provider::{RowKey, TableStore, TableTransaction};
use redwing_standin::{MemoryMachines, WorkerFault};
use tokio::time as timer;

/// Longest time from an evacuation to the last start in the data centre.
const BOUND: time::Duration = time::Duration::from_secs(5);

/// Workers of the cluster: two in `east`, one in `west`.
const EAST_WORKERS: [&str; 2] = ["worker-1", "worker-3"];

fn settings() -> OwnerSettings {
    OwnerSettings {
        scheduler: SchedulerSettings {
            evacuation_bound: Some(BOUND),
            ..SchedulerSettings::default()
        },
        ..OwnerSettings::default()
    }
}

/// Starts processes with a bound, and three workers in two data centres.
async fn start(processes: usize, task_time: time::Duration) -> TestCluster {
    let mut cluster = TestCluster::start(0, task_time).await;
    cluster.workers.set_data_centres(&["east", "west"]);
    let registered = cluster.workers.register(&cluster.platform).await;
    registered.expect("the table is up");
    for number in 0..processes {
        cluster.add_process_with(number, settings()).await;
    }
    cluster
}

/// Writes or deletes the operators' row; returns when the table has responded.
async fn evacuate(cluster: &TestCluster, name: &str, is_evacuated: bool) -> timer::Instant {
    let key = product::evacuation_key(&DataCentre::new(name));
    let transaction = TableTransaction::default();
    let transaction = match is_evacuated {
        true => transaction.put(key, "{}"),
        false => transaction.delete(key),
    };
    let committed = cluster.platform.commit(&transaction).await;
    committed.expect("the table is up");
    timer::Instant::now()
}

/// Submits jobs that take all workers 300 ms each; returns their ids.
async fn submit_backlog(cluster: &TestCluster, count: usize) -> Vec<String> {
    let ids: Vec<String> = (0..count)
        .map(|number| format!("backlog-{number}"))
        .collect();
    for id in &ids {
        let response = cluster.submit(0, id, 24).await;
        assert_eq!(response, CallerResponse::Accepted);
    }
    ids
}

/// Submits a job whose start orders to `east` mostly wait in the queues of the owner.
async fn submit_to_slow_workers(cluster: &TestCluster) {
    let slow = WorkerFault {
        response_delay: Some(time::Duration::from_millis(400)),
        ..WorkerFault::default()
    };
    for worker in EAST_WORKERS {
        cluster.workers.set_fault(&WorkerId::new(worker), slow);
    }
    cluster.submit(0, "a", 24).await;
    timer::sleep(time::Duration::from_millis(100)).await;
}

fn metrics(cluster: &TestCluster, process: usize) -> String {
    let text = cluster.processes[process].metrics.text();
    String::from_utf8(text.expect("it is written")).expect("it is text")
}

/// Returns the number of starts in `east` that were accepted after `time`.
fn starts_in_east(cluster: &TestCluster, time: timer::Instant) -> usize {
    let starts = cluster.workers.starts().into_iter();
    let east = starts.filter(|start| EAST_WORKERS.contains(&start.worker.as_str()));
    east.filter(|start| start.at > time).count()
}

async fn status(cluster: &TestCluster, name: &str) -> Option<EvacuationStatus> {
    let key = RowKey::new(format!("{}{name}", product::EVACUATION_STATUS_PREFIX));
    let view = cluster.platform.scan(key.as_str()).await;
    let rows = view.expect("the table is up").rows;
    rows.first().and_then(|entry| row::read(entry).ok())
}

async fn wait_status(cluster: &TestCluster, name: &str, expected: Option<EvacuationStatus>) {
    while status(cluster, name).await != expected {
        timer::sleep(time::Duration::from_millis(20)).await;
    }
}

/// The owner is killed after the operator's write, before it has sent any order.
#[test]
fn a_successor_starts_nothing_in_a_data_centre_that_was_evacuated_before() {
    run_test(async {
        let cluster = start(2, time::Duration::from_millis(200)).await;
        let owner = cluster.owner().await;
        let index = cluster.process_index(&owner);
        let response = cluster.submit(index, "a", 20).await;
        assert_eq!(response, CallerResponse::Accepted);
        let evacuated_at = evacuate(&cluster, "east", true).await;
        cluster.processes[index].owner.abort();
        cluster
            .wait_state(1 - index, "a", JobState::Completed)
            .await;
        assert!(cluster.owner().await.fencing_token > owner.fencing_token);
        let late = evacuated_at + time::Duration::from_millis(100);
        assert_eq!(starts_in_east(&cluster, late), 0);
    });
}

/// The workers are slow, so that most start orders wait in the queues of the owner.
#[test]
fn start_orders_in_a_queue_are_taken_back() {
    run_test(async {
        let cluster = start(1, time::Duration::from_secs(2)).await;
        cluster.owner().await;
        submit_to_slow_workers(&cluster).await;
        let evacuated_at = evacuate(&cluster, "east", true).await;
        cluster.wait_state(0, "a", JobState::Completed).await;
        // Three orders were under way to each worker.
        assert_eq!(starts_in_east(&cluster, evacuated_at), 6);
        let metrics = metrics(&cluster, 0);
        assert!(metrics.contains("Rejected(Unsent)\"} 10"), "{metrics}");
        assert!(!metrics.contains("Unhealthy"), "{metrics}");
    });
}

/// The process is paused with orders in its queues. The data centre is evacuated meanwhile.
#[test]
fn an_owner_that_was_paused_sends_no_waiting_order() {
    run_test(async {
        let cluster = start(1, time::Duration::from_secs(1)).await;
        cluster.owner().await;
        submit_to_slow_workers(&cluster).await;
        evacuate(&cluster, "east", true).await;
        timer::advance(BOUND).await;
        let woken_at = timer::Instant::now();
        cluster.wait_state(0, "a", JobState::Completed).await;
        // The orders that were under way arrive at once.
        let late = woken_at + time::Duration::from_millis(50);
        assert_eq!(starts_in_east(&cluster, late), 0);
        cluster.assert_no_double_run();
    });
}

/// The rows of operators cannot be read while changes succeed. Jobs wait, and none is lost.
#[test]
fn an_owner_without_the_operators_feed_starts_nothing_after_the_bound() {
    run_test(async {
        let cluster = start(1, time::Duration::from_millis(300)).await;
        cluster.owner().await;
        let jobs = submit_backlog(&cluster, 40).await;
        cluster.lost_calls.set(LostCalls::OperatorFeed);
        let evacuated_at = evacuate(&cluster, "east", true).await;
        timer::sleep(time::Duration::from_secs(10)).await;
        assert!(starts_in_east(&cluster, evacuated_at) > 0);
        assert_eq!(starts_in_east(&cluster, evacuated_at + BOUND), 0);
        cluster.lost_calls.set(LostCalls::None);
        for id in &jobs {
            cluster.wait_state(0, id, JobState::Completed).await;
        }
        assert_eq!(starts_in_east(&cluster, evacuated_at + BOUND), 0);
    });
}

/// The rows show runs in the data centre. They end there, and what they lose starts elsewhere.
#[test]
fn runs_that_a_successor_finds_are_started_again_elsewhere() {
    run_test(async {
        let cluster = start(2, time::Duration::from_secs(4)).await;
        let owner = cluster.owner().await;
        let index = cluster.process_index(&owner);
        cluster.submit(index, "a", 24).await;
        cluster.wait_starts(24).await;
        let evacuated_at = evacuate(&cluster, "east", true).await;
        cluster.processes[index].owner.abort();
        cluster.owner_above(owner.fencing_token).await;
        cluster.workers.crash(&WorkerId::new(EAST_WORKERS[0]));
        let registered = cluster.workers.register(&cluster.platform).await;
        registered.expect("the table is up");
        cluster
            .wait_state(1 - index, "a", JobState::Completed)
            .await;
        assert_eq!(starts_in_east(&cluster, evacuated_at), 0);
        // The runs on the other worker have ended there.
        assert_eq!(cluster.workers.starts().len(), 32);
    });
}

/// The table refuses the changes of the owner for a while around the operator's write.
#[test]
fn an_evacuation_is_kept_when_the_table_refuses_for_a_while() {
    run_test(async {
        let cluster = start(2, time::Duration::from_millis(300)).await;
        let owner = cluster.owner().await;
        let index = cluster.process_index(&owner);
        let refuse = |key: Option<&str>| {
            *cluster.refusals.borrow_mut() = RefusalRule {
                key: key.map(RowKey::new),
                ..RefusalRule::default()
            };
        };
        refuse(Some(row::OWNER_KEY));
        cluster.submit(index, "a", 24).await;
        timer::sleep(time::Duration::from_millis(500)).await;
        let evacuated_at = evacuate(&cluster, "east", true).await;
        timer::sleep(time::Duration::from_secs(3)).await;
        refuse(None);
        cluster.wait_state(index, "a", JobState::Completed).await;
        assert_eq!(starts_in_east(&cluster, evacuated_at), 0);
    });
}

/// Returns the manifest with a standby pool.
fn manifest_with_standby() -> String {
    let standby = r#","enforces-capacity":false},
        {"name":"spare","is-standby":true,"enforces-capacity":false}]"#;
    let text = MANIFEST.replace(r#","enforces-capacity":false}]"#, standby);
    text.replace(r#""version":1"#, r#""version":2"#)
}

/// The move of a machine out of the standby pool waited for the confirmation of the ownership
/// when the data centre was evacuated.
#[test]
fn a_move_that_waits_is_not_ordered_in_an_evacuated_data_centre() {
    run_test(async {
        let mut cluster = start(0, time::Duration::from_secs(1)).await;
        cluster.machines = MemoryMachines::new("spare", 6, time::Duration::from_secs(1));
        let capacity = ResourceAmount {
            cpu_millis: 4_000,
            ..ResourceAmount::default()
        };
        let north = DataCentre::new("north");
        cluster.machines.set_machines(Some(north), capacity);
        let key = RowKey::new(product::MANIFEST_KEY);
        let row = TableTransaction::default().put(key, manifest_with_standby());
        cluster
            .platform
            .commit(&row)
            .await
            .expect("the table is up");
        cluster.add_process_with(0, settings()).await;
        cluster.owner().await;
        // The pool in use gets a free machine.
        timer::sleep(time::Duration::from_secs(2)).await;
        let moves = cluster.machines.moves();
        cluster.refusals.borrow_mut().key = Some(RowKey::new(row::OWNER_KEY));
        timer::sleep(time::Duration::from_secs(3)).await;
        cluster.submit(0, "a", 48).await;
        timer::sleep(time::Duration::from_secs(1)).await;
        evacuate(&cluster, "north", true).await;
        timer::sleep(time::Duration::from_millis(500)).await;
        cluster.refusals.borrow_mut().key = None;
        cluster.wait_starts(24).await;
        assert_eq!(cluster.machines.moves(), moves);
        evacuate(&cluster, "north", false).await;
        cluster.wait_state(0, "a", JobState::Completed).await;
        assert!(cluster.machines.moves().len() > moves.len());
    });
}

/// The row of an evacuation that was undone while there was no owner stayed.
#[test]
fn operators_see_the_state_of_an_evacuation() {
    run_test(async {
        let cluster = start(2, time::Duration::from_secs(2)).await;
        let owner = cluster.owner().await;
        let index = cluster.process_index(&owner);
        cluster.submit(index, "a", 24).await;
        cluster.wait_starts(24).await;
        timer::sleep(time::Duration::from_millis(100)).await;
        evacuate(&cluster, "east", true).await;
        let expected = |state, runs| Some(EvacuationStatus { state, runs });
        wait_status(&cluster, "east", expected(EvacuationState::InForce, 16)).await;
        wait_status(&cluster, "east", expected(EvacuationState::Drained, 0)).await;
        let metrics = metrics(&cluster, index);
        let workers = "redwing_evacuated_workers{data_centre=\"east\"} 2";
        assert!(metrics.contains(workers), "{metrics}");
        cluster.processes[index].owner.abort();
        evacuate(&cluster, "east", false).await;
        wait_status(&cluster, "east", None).await;
    });
}

/// Evacuations begin and are undone at random while owners are killed, stopped, paused and cut
/// off from the table or the rows of operators.
#[test]
fn nothing_starts_after_the_bound_whatever_fails() {
    for seed in 0..8 {
        run_test(check_random_faults(seed));
    }
}

async fn check_random_faults(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut cluster = start(3, time::Duration::from_millis(300)).await;
    submit_backlog(&cluster, 100).await;
    let mut begun_at: Option<timer::Instant> = None;
    let mut checked = 0;
    for number in 0..40 {
        let index = rng.random_range(0..cluster.processes.len());
        match rng.random_range(0..16) {
            0 | 1 => {
                let is_evacuated = begun_at.is_none();
                let confirmed_at = evacuate(&cluster, "east", is_evacuated).await;
                begun_at = is_evacuated.then_some(confirmed_at);
            }
            2 => {
                cluster.processes[index].owner.abort();
                let next = cluster.processes.len();
                cluster.add_process_with(next, settings()).await;
            }
            3 => cluster.disconnect_table(index),
            4 => cluster.lost_calls.set(LostCalls::OperatorFeed),
            5 => timer::advance(time::Duration::from_millis(rng.random_range(0..6_000))).await,
            6 => {
                cluster.lost_calls.set(LostCalls::None);
                for process in &cluster.processes {
                    process.platform.set_faults(|plan| plan.table_down = false);
                }
            }
            _ => {}
        }
        let ids: Vec<String> = (0..cluster.processes.len())
            .map(|process| format!("job-{number}-{process}"))
            .collect();
        let submitted = ids.iter().enumerate();
        let submitted = submitted.map(|(process, id)| cluster.submit(process, id, 4));
        let submitted = futures_util::future::join_all(submitted);
        // Processes that are cut off respond later, or not at all.
        let _ = timer::timeout(time::Duration::from_millis(200), submitted).await;
        timer::sleep(time::Duration::from_millis(rng.random_range(10..900))).await;
        let starts = cluster.workers.starts();
        let late = starts[checked..].iter().filter(|start| {
            let is_late = begun_at.is_some_and(|begun_at| start.at > begun_at + BOUND);
            is_late && EAST_WORKERS.contains(&start.worker.as_str())
        });
        assert_eq!(late.count(), 0, "seed {seed}, step {number}");
        checked = starts.len();
        cluster.assert_no_double_run();
    }
    assert!(checked > 50, "seed {seed}: only {checked} starts");
}
