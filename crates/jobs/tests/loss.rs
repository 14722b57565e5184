//! Ends of workers that had runs: crashes are told from all other reasons.

mod common;

use std::time;

use common::{FakeFleet, FakeWorker, ReturnMode, step_spec};
use redwing_jobs::name::{DataCentre, WorkerLabel};
use redwing_jobs::scheduler::{LossCause, SchedulerEvent};
use redwing_jobs::{SchedulerSettings, WorkerId};

/// Returns four workers in two racks, each with a run of a long task.
fn busy_fleet(return_mode: ReturnMode) -> FakeFleet {
    let workers = (0..4).map(|number| {
        let mut worker = FakeWorker::new(&format!("w{number}"), "builders", 8_000);
        worker.view.rack = Some(WorkerLabel::new(if number < 2 { "r1" } else { "r2" }));
        worker.view.data_centre = Some(DataCentre::new("east"));
        worker
    });
    let mut fleet = FakeFleet::new(SchedulerSettings::default(), workers.collect());
    fleet.crash_plan.return_mode = return_mode;
    fleet.events = Some(Vec::new());
    fleet.submit("j", vec![step_spec(4, 5_000)], 60_000);
    fleet.advance(500);
    assert_eq!(fleet.starts.len(), 4);
    fleet
}

fn crash(fleet: &mut FakeFleet, workers: &[&str]) {
    let now = fleet.now;
    for worker in workers {
        fleet.crash_plan.crash(&WorkerId::new(worker), now);
    }
    fleet.advance(7_000);
}

/// Returns the causes of the ends of workers with runs so far.
fn causes(fleet: &FakeFleet) -> Vec<LossCause> {
    let events = fleet.events.iter().flatten();
    let causes = events.filter_map(|event| match event {
        SchedulerEvent::WorkerLost { cause, .. } => Some(*cause),
        _ => None,
    });
    causes.collect()
}

#[test]
fn a_worker_that_comes_back_or_is_removed_from_the_list_has_crashed() {
    for mode in [
        ReturnMode::NewWorker,
        ReturnMode::NewIncarnation,
        ReturnMode::Never,
    ] {
        let mut fleet = busy_fleet(mode);
        crash(&mut fleet, &["w0"]);
        assert_eq!(causes(&fleet), [LossCause::Crashed], "{mode:?}");
    }
}

#[test]
fn a_worker_that_is_still_listed_may_be_cut_off() {
    let mut fleet = busy_fleet(ReturnMode::Never);
    fleet.worker("w0").is_unresponsive = true;
    fleet.advance(7_000);
    assert_eq!(causes(&fleet), [LossCause::Unreachable]);
}

#[test]
fn a_worker_that_drained_has_not_crashed() {
    for mode in [ReturnMode::Never, ReturnMode::NewIncarnation] {
        let mut fleet = busy_fleet(mode);
        let mut view = fleet.worker("w0").view.clone();
        view.is_draining = true;
        let now = fleet.now;
        fleet.scheduler.worker_listed(view, now);
        crash(&mut fleet, &["w0"]);
        assert_eq!(causes(&fleet), [LossCause::Drained], "{mode:?}");
    }
}

#[test]
fn a_worker_whose_machine_is_moved_has_not_crashed() {
    let mut fleet = busy_fleet(ReturnMode::Never);
    fleet.scheduler.worker_removed(&WorkerId::new("w0"), 1);
    crash(&mut fleet, &["w0"]);
    assert_eq!(causes(&fleet), [LossCause::Removed]);
}

#[test]
fn workers_of_a_rack_that_end_together_have_one_fault() {
    for mode in [ReturnMode::NewWorker, ReturnMode::Never] {
        let mut fleet = busy_fleet(mode);
        crash(&mut fleet, &["w0", "w1"]);
        assert_eq!(causes(&fleet), [LossCause::SharedFault; 2], "{mode:?}");
    }
}

#[test]
fn workers_of_several_racks_that_end_one_after_the_other_have_crashed() {
    let mut fleet = busy_fleet(ReturnMode::NewWorker);
    let now = fleet.now;
    let workers = ["w0", "w2", "w1"].into_iter().zip(0..);
    for (worker, number) in workers {
        let delay = time::Duration::from_millis(700 * number);
        fleet.crash_plan.crash(&WorkerId::new(worker), now + delay);
    }
    fleet.advance(9_000);
    assert_eq!(causes(&fleet), [LossCause::Crashed; 3]);
}
