//! Maintenance of machines in evacuated data centres.

use std::collections::BTreeMap;
use std::time;

use redwing_jobs::BootTime;
use redwing_jobs::maintenance::{
    MachineStatus, MaintenanceAction, MaintenanceSettings, WavePlanner, WaveRequest, WorkerLoad,
};
use redwing_jobs::name::{MachineName, WorkerId};
use redwing_jobs::time::WallTime;

/// Machines in use were taken down while those of an evacuated data centre, which do no
/// further work, waited for their turn.
#[test]
fn machines_of_an_evacuated_data_centre_go_first() {
    let mut planner = WavePlanner::new(MaintenanceSettings {
        prepared_ahead: 0,
        ..MaintenanceSettings::default()
    });
    // In use and empty, evacuated with a task, evacuated with a long-running task.
    let loads = [(false, 0, 0), (true, 1, 0), (true, 0, 1)];
    let statuses = loads.iter().enumerate().map(|(number, load)| {
        let (is_evacuated, finite, long_running) = *load;
        let status = MachineStatus {
            is_up: true,
            is_evacuated,
            worker: Some(WorkerId::new(&format!("w{number}"))),
            load: WorkerLoad {
                finite,
                long_running,
            },
        };
        (MachineName::new(&format!("m{number}")), status)
    });
    let statuses: BTreeMap<MachineName, MachineStatus> = statuses.collect();
    let request = WaveRequest {
        number: 1,
        machines: statuses.keys().cloned().collect(),
        duration: time::Duration::from_secs(60),
        max_down: 2,
    };
    let now = BootTime::from_millis(50_000);
    let added = planner.add(&request, None, now, WallTime::from_millis(0));
    added.expect("the wave fits");
    let prepared = planner.plan(&statuses, now).into_iter();
    let prepared = prepared.filter_map(|action| match action {
        MaintenanceAction::Prepare(worker) => Some(worker),
        _ => None,
    });
    // Later ones are of workers that still have tasks.
    let prepared: Vec<WorkerId> = prepared.take(2).collect();
    assert_eq!(prepared, [WorkerId::new("w1"), WorkerId::new("w0")]);
}
