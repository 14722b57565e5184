//! Workers that start again under their ids after their time of day was set back: the present
//! incarnation has a lower number than the one before.

mod common;

use common::{FakeFleet, FakeWorker, ReturnMode, step_spec, task_id};
use redwing_jobs::block::{WorkerBlock, WorkerBlocks};
use redwing_jobs::worker::{RenewalReport, WorkerView};
use redwing_jobs::{JobId, JobState, SchedulerSettings, WorkerId};
use rstest::rstest;

/// Incarnation of each worker when the simulation begins.
const FIRST_INCARNATION: u64 = 1_000_000;

/// How far the time of day is set, in milliseconds.
const SHIFT_MS: i64 = 60_000;

/// Time after its return within which a worker has work again, in milliseconds.
const WORK_LIMIT_MS: u64 = 3_000;

/// Time within which a lost run starts again on another worker, in milliseconds.
const RESTART_LIMIT_MS: u64 = 1_000;

/// Time within which the same is done for a worker that is cut off by an owner that takes over, in
/// milliseconds: the next incarnation may have carried the start out, with the longest lease.
const CUT_OFF_LIMIT_MS: u64 = 11_000;

/// Time for which runs are watched: longer than any lease of a worker.
const WATCH_MS: u64 = 15_000;

/// Returns a fleet of so many workers, which have been up for a while.
fn rested_fleet(count: usize) -> FakeFleet {
    let workers = (0..count).map(|number| {
        let mut worker = FakeWorker::new(&format!("w{number}"), "builders", 8_000);
        worker.view.incarnation = FIRST_INCARNATION;
        worker
    });
    let mut fleet = FakeFleet::new(SchedulerSettings::default(), workers.collect());
    fleet.advance(20_000);
    fleet
}

/// Returns such a fleet with a long task, and the worker that runs it.
fn busy_fleet(count: usize) -> (FakeFleet, WorkerId) {
    let mut fleet = rested_fleet(count);
    fleet.submit("j", vec![step_spec(1, 1_000)], 60_000);
    fleet.advance(500);
    assert_eq!(fleet.starts.len(), 1);
    let worker = fleet.starts[0].2.clone();
    (fleet, worker)
}

/// Starts a worker again, with its time of day set by `shift_ms`; returns its entry, which the
/// owner has not read.
fn restart(fleet: &mut FakeFleet, id: &WorkerId, shift_ms: i64) -> WorkerView {
    let now = fleet.now;
    let worker = fleet.worker(id.as_str());
    worker.incarnation_step = shift_ms;
    worker.restart(now);
    worker.view.clone()
}

fn list(fleet: &mut FakeFleet, view: WorkerView) {
    let now = fleet.now;
    fleet.scheduler.worker_listed(view, now);
}

/// Hands a report in as the response to a renewal that was sent before.
fn report_late(fleet: &mut FakeFleet, id: &WorkerId, report: &RenewalReport, token: u64) {
    let now = fleet.now;
    let mut renewal = fleet.renewal(id, now);
    renewal.fencing_token = token;
    fleet.scheduler.handle_renewal_report(&renewal, report, now);
}

/// Returns an empty report of the present incarnation of a worker.
fn empty_report(fleet: &mut FakeFleet, id: &WorkerId) -> RenewalReport {
    let now = fleet.now;
    let worker = fleet.worker(id.as_str());
    RenewalReport {
        incarnation: worker.view.incarnation,
        clock_ms: worker.clock_ms(now),
        is_complete: true,
        ..RenewalReport::default()
    }
}

/// Submits a job of so many tasks, and checks that it is done in time.
fn assert_gets_work(fleet: &mut FakeFleet, id: &str, tasks: u32) {
    let job = fleet.submit(id, vec![step_spec(tasks, 1_000)], 300);
    fleet.watch_runs(WORK_LIMIT_MS);
    assert_eq!(fleet.state(&job), JobState::Completed);
}

/// Guards against a worker that never gets work again because its time of day was set back
/// before it started again.
#[rstest]
#[case::set_back(-SHIFT_MS)]
#[case::set_back_a_little(-1)]
#[case::set_forward(SHIFT_MS)]
fn an_idle_worker_gets_work_again_whatever_its_time_of_day(#[case] shift_ms: i64) {
    for entry_delay_ms in [0, 500] {
        let mut fleet = rested_fleet(1);
        let view = restart(&mut fleet, &WorkerId::new("w0"), shift_ms);
        fleet.advance(entry_delay_ms);
        list(&mut fleet, view);
        assert_gets_work(&mut fleet, "j", 8);
    }
}

/// Guards against the same, if the worker had a run, which is lost.
#[rstest]
#[case::set_back(-SHIFT_MS)]
#[case::set_forward(SHIFT_MS)]
fn a_busy_worker_gets_work_again_whatever_its_time_of_day(#[case] shift_ms: i64) {
    for entry_delay_ms in [0, 500] {
        let (mut fleet, worker) = busy_fleet(1);
        let view = restart(&mut fleet, &worker, shift_ms);
        fleet.advance(entry_delay_ms);
        list(&mut fleet, view);
        fleet.watch_runs(WORK_LIMIT_MS);
        assert_eq!(fleet.starts.len(), 2);
        assert_eq!(fleet.running_count(&task_id(&JobId::new("j"), 0, 0)), 1);
    }
}

/// Guards against a lost run that never starts again because the next incarnation of its worker
/// has a lower number.
#[rstest]
#[case::set_back(-SHIFT_MS)]
#[case::set_forward(SHIFT_MS)]
fn a_lost_run_starts_again_once_the_next_incarnation_is_listed(#[case] shift_ms: i64) {
    for is_cut_off in [false, true] {
        let (mut fleet, worker) = busy_fleet(2);
        let view = restart(&mut fleet, &worker, shift_ms);
        fleet.worker(worker.as_str()).is_unresponsive = is_cut_off;
        list(&mut fleet, view);
        fleet.watch_runs(RESTART_LIMIT_MS);
        assert_eq!(fleet.starts.len(), 2);
        fleet.watch_runs(WATCH_MS);
        assert_eq!(fleet.starts.len(), 2);
    }
}

/// Guards against the same after a takeover: the row names the earlier incarnation, and the list
/// the present one.
#[rstest]
#[case::set_back(-SHIFT_MS, false, WORK_LIMIT_MS)]
#[case::set_back_and_cut_off(-SHIFT_MS, true, CUT_OFF_LIMIT_MS)]
#[case::set_forward(SHIFT_MS, false, WORK_LIMIT_MS)]
#[case::set_forward_and_cut_off(SHIFT_MS, true, CUT_OFF_LIMIT_MS)]
fn a_new_owner_starts_a_lost_run_again_whatever_the_time_of_day(
    #[case] shift_ms: i64,
    #[case] is_cut_off: bool,
    #[case] limit_ms: u64,
) {
    let (mut fleet, worker) = busy_fleet(2);
    restart(&mut fleet, &worker, shift_ms);
    fleet.worker(worker.as_str()).is_unresponsive = is_cut_off;
    fleet.take_over(SchedulerSettings::default());
    fleet.watch_runs(limit_ms);
    assert_eq!(fleet.starts.len(), 2);
    fleet.watch_runs(WATCH_MS);
    assert_eq!(fleet.starts.len(), 2);
}

/// Guards against a worker that gets no work from the next owner because a row names an earlier
/// incarnation with a higher number.
#[rstest]
#[case::set_back(-SHIFT_MS)]
#[case::set_forward(SHIFT_MS)]
fn a_new_owner_gives_a_worker_work_again_whatever_its_time_of_day(#[case] shift_ms: i64) {
    for is_busy in [false, true] {
        let (mut fleet, worker) = if is_busy {
            busy_fleet(1)
        } else {
            (rested_fleet(1), WorkerId::new("w0"))
        };
        restart(&mut fleet, &worker, shift_ms);
        fleet.take_over(SchedulerSettings::default());
        assert_gets_work(&mut fleet, "next", 4);
    }
}

/// Guards against a run that is taken for ended (TWICE), or never for done, by an owner that takes
/// over: the list that it reads is older than the row, and names an incarnation with a higher
/// number.
#[rstest]
#[case::set_back(-SHIFT_MS)]
#[case::set_forward(SHIFT_MS)]
fn a_run_on_a_later_incarnation_than_the_listed_one_goes_on_whatever_its_number(
    #[case] shift_ms: i64,
) {
    let mut fleet = rested_fleet(2);
    let ids = ["w0", "w1"].map(WorkerId::new);
    let views = |fleet: &mut FakeFleet| {
        ids.each_ref()
            .map(|id| fleet.worker(id.as_str()).view.clone())
    };
    let set_views = |fleet: &mut FakeFleet, views: &[WorkerView]| {
        for view in views {
            fleet.worker(view.id.as_str()).view = view.clone();
        }
    };
    let earlier = views(&mut fleet);
    for id in &ids {
        let view = restart(&mut fleet, id, shift_ms);
        list(&mut fleet, view);
    }
    let job = fleet.submit("j", vec![step_spec(1, 1_000)], 3_000);
    fleet.advance(200);
    assert_eq!(fleet.starts.len(), 1);
    let present = views(&mut fleet);
    set_views(&mut fleet, &earlier);
    fleet.begin_take_over(SchedulerSettings::default());
    set_views(&mut fleet, &present);
    fleet.finish_take_over();
    fleet.watch_runs(100);
    for view in present {
        list(&mut fleet, view);
    }
    fleet.watch_runs(WATCH_MS);
    assert_eq!(fleet.starts.len(), 1);
    assert_eq!(fleet.state(&job), JobState::Completed);
}

/// Returns a fleet of two workers of which one has started again and has a long run, its entry
/// and a report of the incarnation before, and the token of the orders to that one.
fn fleet_with_earlier_incarnation(shift_ms: i64) -> (FakeFleet, WorkerView, RenewalReport, u64) {
    let mut fleet = rested_fleet(1);
    let id = WorkerId::new("w0");
    let earlier = fleet.worker("w0").view.clone();
    let report = empty_report(&mut fleet, &id);
    let token = fleet.worker("w0").fencing_token;
    let view = restart(&mut fleet, &id, shift_ms);
    list(&mut fleet, view);
    fleet.submit("j", vec![step_spec(1, 1_000)], 60_000);
    fleet.advance(WORK_LIMIT_MS);
    assert_eq!(fleet.starts.len(), 1, "it has work again");
    let other = FakeWorker::new("w1", "builders", 8_000);
    list(&mut fleet, other.view.clone());
    fleet.workers.insert(other.view.id.clone(), other);
    fleet.advance(500);
    (fleet, earlier, report, token)
}

/// Checks that the run in progress goes on and that its worker gets more.
fn assert_undisturbed(fleet: &mut FakeFleet) {
    fleet.watch_runs(WATCH_MS);
    assert_eq!(fleet.starts.len(), 1);
    fleet.submit("more", vec![step_spec(15, 1_000)], 0);
    fleet.advance(500);
    assert_eq!(fleet.starts.len(), 16, "both workers are in use");
    assert_eq!(fleet.worker("w0").running.len(), 8);
}

/// Guards against a late or doubled report of an earlier incarnation that takes the place of the
/// present one, whose run starts elsewhere (TWICE).
#[rstest]
#[case::set_back(-SHIFT_MS)]
#[case::set_forward(SHIFT_MS)]
fn a_late_report_of_an_earlier_incarnation_changes_nothing_whatever_its_number(
    #[case] shift_ms: i64,
) {
    for times in [1, 3] {
        let (mut fleet, _, report, token) = fleet_with_earlier_incarnation(shift_ms);
        for _ in 0..times {
            report_late(&mut fleet, &WorkerId::new("w0"), &report, token);
            fleet.watch_runs(200);
        }
        assert_undisturbed(&mut fleet);
    }
}

/// Guards against the same by an entry of the earlier incarnation that is read again.
#[rstest]
#[case::set_back(-SHIFT_MS)]
#[case::set_forward(SHIFT_MS)]
fn a_late_entry_of_an_earlier_incarnation_changes_nothing_whatever_its_number(
    #[case] shift_ms: i64,
) {
    for times in [1, 3] {
        let (mut fleet, earlier, ..) = fleet_with_earlier_incarnation(shift_ms);
        let present = fleet.worker("w0").view.clone();
        for _ in 0..times {
            list(&mut fleet, earlier.clone());
            fleet.watch_runs(200);
            list(&mut fleet, present.clone());
            fleet.watch_runs(200);
        }
        assert_undisturbed(&mut fleet);
    }
}

/// Guards against a run that starts elsewhere (TWICE) because the list lags: the owner has the
/// present incarnation from its report, and then reads the entry of one before it that it does not
/// know.
#[rstest]
#[case::set_back_twice(-SHIFT_MS, -SHIFT_MS)]
#[case::set_back_and_forward(-SHIFT_MS, 2 * SHIFT_MS)]
#[case::set_forward_and_back(2 * SHIFT_MS, -SHIFT_MS)]
#[case::set_forward_twice(SHIFT_MS, SHIFT_MS)]
fn a_late_entry_of_an_unknown_incarnation_ends_no_run_of_the_present_one(
    #[case] first_shift_ms: i64,
    #[case] second_shift_ms: i64,
) {
    let mut fleet = rested_fleet(2);
    fleet.submit("j", vec![step_spec(1, 1_000)], 60_000);
    let start = fleet.lose_start();
    let worker = start.worker.clone();
    let unknown = restart(&mut fleet, &worker, first_shift_ms);
    let present = restart(&mut fleet, &worker, second_shift_ms);
    fleet.delayed_orders.push((fleet.now, start));
    fleet.advance(20);
    assert_eq!(fleet.starts.len(), 1, "the present incarnation has it");
    fleet.watch_runs(20);
    list(&mut fleet, unknown);
    fleet.watch_runs(500);
    list(&mut fleet, present);
    fleet.watch_runs(WATCH_MS);
    assert_eq!(fleet.running_count(&task_id(&JobId::new("j"), 0, 0)), 1);
}

/// Guards against the response of a machine's platform about an earlier incarnation: the present
/// one, with a lower number, gets no work.
#[rstest]
#[case::set_back(-SHIFT_MS)]
#[case::set_forward(SHIFT_MS)]
fn a_worker_is_not_removed_with_an_earlier_incarnation(#[case] shift_ms: i64) {
    let mut fleet = rested_fleet(1);
    let worker = WorkerId::new("w0");
    let earlier = fleet.worker("w0").view.incarnation;
    let view = restart(&mut fleet, &worker, shift_ms);
    list(&mut fleet, view);
    fleet.advance(500);
    fleet.scheduler.worker_removed(&worker, earlier);
    assert_gets_work(&mut fleet, "j", 1);
}

/// Guards against the block of a machine that was taken down: it holds the present incarnation,
/// with a lower number, too.
#[rstest]
#[case::set_back(-SHIFT_MS)]
#[case::set_forward(SHIFT_MS)]
fn a_worker_is_not_blocked_with_an_earlier_incarnation(#[case] shift_ms: i64) {
    let mut fleet = rested_fleet(1);
    let worker = WorkerId::new("w0");
    let earlier = fleet.worker("w0").view.incarnation;
    let mut blocks = WorkerBlocks::default();
    blocks.add(&worker, WorkerBlock::One(earlier));
    fleet.scheduler.set_blocks(blocks);
    let view = restart(&mut fleet, &worker, shift_ms);
    list(&mut fleet, view);
    assert_gets_work(&mut fleet, "j", 1);
}

/// Guards against a task that is never given up although it crashes its workers: one that returns
/// with a lower number counts as the same incarnation, which has not crashed.
#[rstest]
#[case::set_back(-SHIFT_MS)]
#[case::set_forward(SHIFT_MS)]
fn a_task_that_crashes_its_workers_is_given_up_whatever_their_time_of_day(#[case] shift_ms: i64) {
    let mut fleet = rested_fleet(4);
    for worker in fleet.workers.values_mut() {
        worker.incarnation_step = shift_ms / 60;
    }
    fleet.crash_plan.return_mode = ReturnMode::NewIncarnation;
    let job = fleet.submit("deadly", vec![step_spec(1, 1_000)], 1_000);
    fleet.crash_plan.deadly.insert(task_id(&job, 0, 0));
    fleet.advance(60_000);
    assert_eq!(fleet.state(&job), JobState::Failed);
    assert_gets_work(&mut fleet, "next", 32);
}

/// Guards against a run that is taken for ended (TWICE) because a report does not say which
/// incarnation it is from.
#[test]
fn a_report_without_an_incarnation_ends_no_run() {
    let (mut fleet, worker) = busy_fleet(2);
    let token = fleet.worker(worker.as_str()).fencing_token;
    let report = RenewalReport {
        incarnation: 0,
        ..empty_report(&mut fleet, &worker)
    };
    report_late(&mut fleet, &worker, &report, token);
    fleet.watch_runs(WATCH_MS);
    assert_eq!(fleet.starts.len(), 1);
    assert!(fleet.worker(worker.as_str()).running.len() == 1);
}
