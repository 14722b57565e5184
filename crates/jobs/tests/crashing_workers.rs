//! Workers that crash by themselves: no job is given up for it, however many there are.

mod common;

use common::{FakeFleet, FakeWorker, ReturnMode, step_spec};
use redwing_jobs::spec::StepSpec;
use redwing_jobs::{JobId, JobState, SchedulerSettings, WorkerId};
use rstest::rstest;

/// Workers that crash, drawn from a seed.
struct CrashDraw {
    state: u64,
}

impl CrashDraw {
    fn new(seed: u64) -> Self {
        Self {
            state: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
        }
    }

    fn below(&mut self, bound: usize) -> usize {
        // xorshift64
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        (self.state % bound.max(1) as u64) as usize
    }

    /// Returns a worker that is up, one with runs if `is_busy`.
    fn worker(&mut self, fleet: &FakeFleet, is_busy: bool) -> Option<WorkerId> {
        let up = fleet.workers.values().filter(|worker| {
            let is_candidate = !is_busy || !worker.running.is_empty();
            is_candidate && worker.is_listed && !worker.is_unresponsive && !worker.is_replaced
        });
        let up: Vec<&FakeWorker> = up.collect();
        let chosen = up.get(self.below(up.len()))?;
        Some(chosen.view.id.clone())
    }
}

/// Crashes a worker now, and advances time.
fn crash_one(fleet: &mut FakeFleet, draw: &mut CrashDraw, is_busy: bool, then_ms: u64) {
    if let Some(worker) = draw.worker(fleet, is_busy) {
        let now = fleet.now;
        fleet.crash_plan.crash(&worker, now);
    }
    fleet.advance(then_ms);
}

fn assert_none_failed(fleet: &FakeFleet) {
    for job in fleet.jobs.keys() {
        assert_ne!(fleet.state(job), JobState::Failed, "{job}");
    }
}

fn long_running(count: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        max_per_worker: 1,
        ..step_spec(count, 2_000)
    }
}

/// Guards against a job that is given up because a worker refused its tasks: the starts that
/// were under way to that worker ran nothing either.
#[test]
fn starts_that_a_replaced_worker_refuses_speak_against_no_task() {
    let mut fleet = FakeFleet::of_size(4, 8_000);
    fleet.advance(200);
    let job = fleet.submit("j", vec![step_spec(6, 1_000)], 3_000);
    while fleet.starts.len() < 6 {
        fleet.advance(10);
    }
    let (_, _, first, _) = fleet.starts[0].clone();
    fleet.worker(first.as_str()).running.clear();
    for worker in [first.as_str(), "w0", "w1"] {
        // The idle ones show that they have ended only when an order meets their successors.
        fleet.worker(worker).is_replaced = true;
    }
    fleet.advance(20_000);
    assert_eq!(fleet.state(&job), JobState::Completed);
}

/// Guards against long-running jobs that are given up, with all their tasks stopped, since
/// some of these were on three workers that crashed after seconds.
#[rstest]
fn long_running_tasks_outlive_a_crash_each_second(
    #[values(
        ReturnMode::NewWorker,
        ReturnMode::SameAddress,
        ReturnMode::NewIncarnation
    )]
    mode: ReturnMode,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut draw = CrashDraw::new(seed);
    let mut fleet = FakeFleet::of_size(9, 8_000);
    fleet.crash_plan.return_mode = mode;
    for number in 0..6 {
        fleet.submit(&format!("service-{number}"), vec![long_running(5)], 0);
    }
    fleet.advance(2_000);
    for _ in 0..60 {
        crash_one(&mut fleet, &mut draw, true, 1_000);
    }
    assert_none_failed(&fleet);
}

/// Guards against the same with owners that know of a part of a run only.
#[rstest]
fn long_running_tasks_outlive_crashes_under_several_owners(
    #[values(2_000, 5_000, 9_000)] owner_ms: u64,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut draw = CrashDraw::new(seed);
    let mut fleet = FakeFleet::of_size(9, 8_000);
    for number in 0..4 {
        fleet.submit(&format!("service-{number}"), vec![long_running(5)], 0);
    }
    fleet.advance(2_000);
    for round in 1..=60 {
        crash_one(&mut fleet, &mut draw, true, 1_000);
        if round % (owner_ms / 1_000) == 0 {
            fleet.take_over(SchedulerSettings::default());
        }
    }
    assert_none_failed(&fleet);
}

/// Guards against jobs of short tasks that are given up while workers of their pool crash.
#[rstest]
fn jobs_of_short_tasks_outlive_a_crash_each_second(
    #[values(
        ReturnMode::NewWorker,
        ReturnMode::SameAddress,
        ReturnMode::NewIncarnation
    )]
    mode: ReturnMode,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    let mut draw = CrashDraw::new(seed);
    let mut fleet = FakeFleet::of_size(12, 16_000);
    fleet.crash_plan.return_mode = mode;
    fleet.advance(1_000);
    for round in 0..80 {
        if round < 60 {
            let steps = vec![step_spec(8, 1_900), step_spec(8, 1_900)];
            fleet.submit(&format!("j{round}"), steps, 2_100);
        }
        fleet.advance(draw.below(400) as u64);
        let is_busy = draw.below(2) == 0;
        let then_ms = 300 + draw.below(700) as u64;
        crash_one(&mut fleet, &mut draw, is_busy, then_ms);
    }
    fleet.advance(60_000);
    for job in fleet.jobs.keys().cloned().collect::<Vec<JobId>>() {
        assert_eq!(fleet.state(&job), JobState::Completed, "{job}");
    }
}

/// Guards against the same for steps of other kinds.
#[rstest]
#[case(StepSpec { gang: true, ..step_spec(3, 1_900) })]
#[case(StepSpec { speculative: true, ..step_spec(4, 1_900) })]
#[case(StepSpec { best_effort: true, ..step_spec(4, 1_900) })]
#[case(StepSpec { checkpointing: true, ..step_spec(24, 1_900) })]
fn steps_of_all_kinds_outlive_a_crash_each_second(
    #[case] step: StepSpec,
    #[values(1, 2)] seed: u64,
) {
    let mut draw = CrashDraw::new(seed);
    let mut fleet = FakeFleet::of_size(12, 16_000);
    fleet.advance(1_000);
    for round in 0..40 {
        fleet.submit(&format!("j{round}"), vec![step.clone()], 2_100);
        fleet.advance(draw.below(400) as u64);
        crash_one(&mut fleet, &mut draw, true, 600);
    }
    fleet.advance(30_000);
    assert_none_failed(&fleet);
}

/// Guards against jobs that are given up since they meet the same workers again and again,
/// which live for a moment each time and are vacant when they are back.
#[rstest]
fn jobs_outlive_workers_that_crash_again_and_again(#[values(700, 1_500)] life_ms: u64) {
    let mut fleet = FakeFleet::of_size(6, 8_000);
    fleet.crash_plan.return_mode = ReturnMode::NewIncarnation;
    fleet.submit("service", vec![long_running(3)], 0);
    fleet.advance(1_000);
    for round in 0..80 {
        fleet.submit(&format!("j{round}"), vec![step_spec(6, 1_900)], 900);
        let now = fleet.now;
        for worker in ["w0", "w1"] {
            if !fleet.worker(worker).is_unresponsive {
                fleet.crash_plan.crash(&WorkerId::new(worker), now);
            }
        }
        fleet.advance(life_ms);
    }
    fleet.advance(60_000);
    assert_none_failed(&fleet);
}
