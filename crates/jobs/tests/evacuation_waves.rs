//! Maintenance of machines in evacuated data centres.

use std::collections::BTreeMap;
use std::time;

use redwing_jobs::BootTime;
use redwing_jobs::block::WorkerBlocks;
use redwing_jobs::maintenance::{
    MachineStatus, MaintenanceSettings, WavePlanner, WaveRequest, WorkerLoad,
};
use redwing_jobs::name::{MachineName, WorkerId};
use redwing_jobs::time::WallTime;

/// Machines in use were taken down while those of an evacuated data centre, which do no
/// further work, waited for their turn.
#[test]
fn machines_of_an_evacuated_data_centre_go_first() {
    // In use and empty, evacuated with a task, evacuated with a long-running task.
    let loads = [(false, 0, 0), (true, 1, 0), (true, 0, 1)];
    let statuses = loads.iter().enumerate().map(|(number, load)| {
        let (is_evacuated, finite, long_running) = *load;
        let status = MachineStatus {
            is_up: true,
            is_evacuated,
            worker: Some(WorkerId::new(&format!("w{number}"))),
            incarnation: 1,
            load: WorkerLoad {
                finite,
                long_running,
            },
        };
        (MachineName::new(&format!("m{number}")), status)
    });
    let statuses: BTreeMap<MachineName, MachineStatus> = statuses.collect();
    // The first to go, and the first two.
    assert_eq!(prepared_workers(&statuses, 1), ["w1"]);
    assert_eq!(prepared_workers(&statuses, 2), ["w0", "w1"]);
}

/// Returns the workers that get no new tasks once a wave over all machines has begun.
fn prepared_workers(statuses: &BTreeMap<MachineName, MachineStatus>, max_down: u32) -> Vec<String> {
    let mut planner = WavePlanner::new(MaintenanceSettings {
        prepared_ahead: 0,
        ..MaintenanceSettings::default()
    });
    let request = WaveRequest {
        number: 1,
        machines: statuses.keys().cloned().collect(),
        duration: time::Duration::from_secs(60),
        max_down,
    };
    let now = BootTime::from_millis(50_000);
    let added = planner.add(&request, None, now, WallTime::from_millis(0));
    added.expect("the wave fits");
    planner.plan(statuses, now);
    let mut blocks = WorkerBlocks::default();
    planner.add_blocks(&mut blocks);
    blocks.workers().map(WorkerId::to_string).collect()
}
