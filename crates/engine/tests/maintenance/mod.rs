//! Waves of maintenance over several processes, with a stand-in machine service.

use std::collections::BTreeSet;
use std::time;

use crate::common::{MANIFEST, TestCluster, run_test};
use redwing_engine::owner::OwnerSettings;
use redwing_engine::product;
use redwing_engine::services::MachineClient;
use redwing_jobs::JobState;
use redwing_jobs::capacity::CapacitySettings;
use redwing_jobs::maintenance::{WaveRequest, WaveState};
use redwing_jobs::name::{MachineName, WorkerId};
use redwing_provider::{RowKey, TableStore, TableTransaction};
use redwing_standin::{MachineFault, MemoryMachines, WorkerReturn};
use tokio::time as timer;

/// Time that a machine is down for maintenance: shorter than the owner assumes,
/// so that a test ends soon.
const MAINTENANCE_TIME: time::Duration = time::Duration::from_millis(1_900);

fn machine_name(number: usize) -> MachineName {
    MachineName::new(&format!("m-{number}"))
}

/// Starts processes with `count` machines, all of them in wave 1.
async fn start_wave(processes: usize, count: usize, max_down: u32) -> TestCluster {
    let mut cluster = TestCluster::start(0, time::Duration::from_millis(50)).await;
    cluster.machines = MemoryMachines::new("workers", count, MAINTENANCE_TIME);
    request_wave(&cluster, &(0..count).collect::<Vec<_>>(), max_down).await;
    for number in 0..processes {
        cluster.add_process(number).await;
    }
    cluster
}

async fn request_wave(cluster: &TestCluster, machines: &[usize], max_down: u32) {
    let request = WaveRequest {
        number: 1,
        machines: machines.iter().copied().map(machine_name).collect(),
        duration: time::Duration::from_secs(30),
        max_down,
    };
    let value = serde_json::to_string(&request).expect("it is encoded");
    let row = TableTransaction::default().put(RowKey::new("manifest/wave/1"), value);
    cluster
        .platform
        .commit(&row)
        .await
        .expect("the table is up");
}

async fn wave_state(cluster: &TestCluster) -> Option<WaveState> {
    let view = cluster.platform.scan("wave-status/1").await;
    let view = view.expect("the table is up");
    let value = view.rows.first()?.value.clone()?;
    serde_json::from_str(&value).ok()
}

async fn wait_completed(cluster: &TestCluster) {
    while wave_state(cluster).await != Some(WaveState::Completed) {
        timer::sleep(time::Duration::from_millis(50)).await;
    }
}

async fn wait_orders(cluster: &TestCluster, count: usize) {
    while cluster.machines.orders().len() < count {
        timer::sleep(time::Duration::from_millis(10)).await;
    }
}

#[test]
fn a_wave_is_completed() {
    run_test(async {
        let cluster = start_wave(1, 4, 2).await;
        wait_completed(&cluster).await;
        assert_eq!(cluster.machines.maintained(1).len(), 4);
        assert!(cluster.machines.most_down() <= 2);
    });
}

/// The owner loses the table: until it notices that, and after another process
/// has taken over, it must not order the maintenance of machines beyond the
/// limit of the wave.
#[test]
fn two_owners_keep_the_limit_of_a_wave() {
    run_test(async {
        let cluster = start_wave(2, 6, 1).await;
        let first = cluster.owner().await;
        wait_orders(&cluster, 1).await;
        // The second machine becomes due while the first owner cannot store.
        cluster.disconnect_table(cluster.process_index(&first));
        cluster.owner_above(first.fencing_token).await;
        wait_completed(&cluster).await;
        assert_eq!(cluster.machines.maintained(1).len(), 6);
        assert_eq!(cluster.machines.most_down(), 1);
    });
}

/// An order of the first owner is executed late, after another process has taken
/// over that finds its machine in no list; the machine counts against the limit
/// meanwhile.
#[test]
fn a_late_order_of_the_previous_owner_counts_against_the_limit() {
    run_test(async {
        let cluster = start_wave(2, 4, 1).await;
        let first = cluster.owner().await;
        let late_orders = MachineFault {
            execution_delay: Some(time::Duration::from_millis(2_000)),
            ..MachineFault::default()
        };
        cluster.machines.set_fault(late_orders);
        wait_orders(&cluster, 1).await;
        let late = cluster.machines.orders()[0].clone();
        cluster.disconnect_table(cluster.process_index(&first));
        cluster.machines.set_fault(MachineFault {
            unlisted: [late].into(),
            ..MachineFault::default()
        });
        cluster.owner_above(first.fencing_token).await;
        timer::sleep(time::Duration::from_millis(1_500)).await;
        cluster.machines.set_fault(MachineFault::default());
        wait_completed(&cluster).await;
        assert_eq!(cluster.machines.maintained(1).len(), 4);
        assert_eq!(cluster.machines.most_down(), 1);
    });
}

/// A machine that the list leaves out for a while still exists: the wave is not
/// completed without it.
#[test]
fn a_machine_missing_from_the_list_is_maintained_before_the_wave_is_completed() {
    run_test(async {
        let cluster = start_wave(0, 3, 3).await;
        cluster.machines.set_fault(MachineFault {
            unlisted: [machine_name(1)].into(),
            ..MachineFault::default()
        });
        let mut cluster = cluster;
        cluster.add_process(0).await;
        wait_completed(&cluster).await;
        assert_eq!(cluster.machines.maintained(1).len(), 3);
    });
}

/// Guards against workers that get no task after the maintenance of their machines, since they
/// start again under their ids (LOST); and against the same for workers with new ids.
async fn every_worker_gets_tasks_after_a_wave(returns: WorkerReturn) {
    let mut cluster = start_wave(0, 3, 1).await;
    cluster
        .machines
        .host(&cluster.workers, &cluster.platform, returns);
    cluster.add_process(0).await;
    wait_completed(&cluster).await;
    let ids = cluster.workers.ids();
    let before = cluster.workers.starts().len();
    cluster.submit(0, "after", 24).await;
    timer::sleep(time::Duration::from_secs(3)).await;
    let starts = cluster.workers.starts().split_off(before);
    let used: BTreeSet<WorkerId> = starts.iter().map(|start| start.worker.clone()).collect();
    assert_eq!(used, ids.into_iter().collect(), "{returns:?}");
    cluster.wait_state(0, "after", JobState::Completed).await;
}

#[test]
fn workers_that_keep_their_ids_get_tasks_after_a_wave() {
    run_test(every_worker_gets_tasks_after_a_wave(WorkerReturn::SameId));
}

#[test]
fn workers_with_new_ids_get_tasks_after_a_wave() {
    run_test(every_worker_gets_tasks_after_a_wave(WorkerReturn::NewId));
}

/// A wave may name machines that do not exist, and machines twice.
#[test]
fn a_wave_with_unknown_and_repeated_machines_is_completed() {
    run_test(async {
        let mut cluster = start_wave(0, 3, 1).await;
        request_wave(&cluster, &[0, 0, 1, 9, 2, 1], 1).await;
        cluster.add_process(0).await;
        wait_completed(&cluster).await;
        assert_eq!(cluster.machines.maintained(1).len(), 3);
        assert_eq!(cluster.machines.most_down(), 1);
    });
}

/// An operator adds machines to a wave, and removes others, while it runs.
#[test]
fn a_wave_that_is_changed_while_it_runs_is_completed_as_changed() {
    run_test(async {
        let mut cluster = start_wave(0, 6, 1).await;
        request_wave(&cluster, &[0, 1, 2], 1).await;
        cluster.add_process(0).await;
        wait_orders(&cluster, 1).await;
        request_wave(&cluster, &[0, 4, 5], 2).await;
        wait_completed(&cluster).await;
        let maintained = cluster.machines.maintained(1);
        for number in [0, 4, 5] {
            assert!(maintained.contains(&machine_name(number)), "{maintained:?}");
        }
        assert!(!maintained.contains(&machine_name(2)), "{maintained:?}");
        assert!(cluster.machines.most_down() <= 2);
    });
}

/// Stops the owner after a second, and starts another process.
async fn replace_owner(cluster: &mut TestCluster, settings: &OwnerSettings) {
    let owner = cluster.owner().await;
    timer::sleep(time::Duration::from_secs(1)).await;
    let number = cluster.processes.len();
    cluster.add_process_with(number, settings.clone()).await;
    let index = cluster.process_index(&owner);
    cluster.processes[index].stop();
    cluster.owner_above(owner.fencing_token).await;
}

/// Each owner ends long before a machine that is down is up again.
#[test]
fn a_wave_is_completed_while_a_restart_replaces_the_owners() {
    run_test(async {
        let mut cluster = start_wave(1, 2, 2).await;
        let mut replaced = 0;
        while wave_state(&cluster).await != Some(WaveState::Completed) {
            replace_owner(&mut cluster, &OwnerSettings::default()).await;
            replaced += 1;
            assert!(replaced < 15, "the wave is not completed");
        }
        assert_eq!(cluster.machines.orders().len(), 2, "each is ordered once");
    });
}

/// Each owner ends long before a machine has been surplus for long enough.
#[test]
fn a_machine_is_parked_while_a_restart_replaces_the_owners() {
    run_test(async {
        let mut cluster = TestCluster::start(0, time::Duration::from_millis(50)).await;
        cluster.machines = MemoryMachines::new("workers", 3, MAINTENANCE_TIME);
        let manifest = MANIFEST.replace(
            r#""pools":["#,
            r#""pools":[{"name":"spare","is-standby":true,"enforces-capacity":false},"#,
        );
        let row = TableTransaction::default().put(RowKey::new(product::MANIFEST_KEY), &manifest);
        let commit = cluster.platform.commit(&row).await;
        commit.expect("the table is up");
        let settings = OwnerSettings {
            capacity: CapacitySettings {
                park_delay: time::Duration::from_secs(4),
                ..CapacitySettings::default()
            },
            ..OwnerSettings::default()
        };
        cluster.add_process_with(0, settings.clone()).await;
        let mut replaced = 0;
        loop {
            let machines = cluster.machines.list().await.expect("they are listed");
            if machines
                .iter()
                .any(|machine| machine.pool.as_str() == "spare")
            {
                break;
            }
            replace_owner(&mut cluster, &settings).await;
            replaced += 1;
            assert!(replaced < 15, "no machine is parked");
        }
    });
}
