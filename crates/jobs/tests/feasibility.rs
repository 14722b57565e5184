//! Rejection of jobs that no worker can ever run.

use redwing_jobs::JobSpec;
use redwing_jobs::feasibility::FleetCapacity;
use redwing_jobs::name::WorkerLabel;
use redwing_jobs::spec::{ResourceAmount, StepSpec};
use rstest::rstest;

fn amount(cpu_millis: u64, memory_mb: u64, accelerators: u64) -> ResourceAmount {
    ResourceAmount {
        cpu_millis,
        memory_mb,
        accelerators,
    }
}

/// Returns the capacity of a fleet of two workers, one with much processor and one
/// with an accelerator.
fn fleet_capacity() -> FleetCapacity {
    let mut fleet_capacity = FleetCapacity::default();
    fleet_capacity.add(&amount(32_000, 4_000, 0), &[WorkerLabel::new("a")]);
    fleet_capacity.add(&amount(8_000, 16_000, 1), &[WorkerLabel::new("gpu")]);
    fleet_capacity
}

fn job(needs: ResourceAmount, requires: Option<&str>) -> JobSpec {
    let step = StepSpec {
        count: 1,
        needs,
        requires: requires.map(WorkerLabel::new),
        ..StepSpec::default()
    };
    JobSpec {
        steps: vec![
            StepSpec {
                count: 1,
                ..StepSpec::default()
            },
            step,
        ],
        ..JobSpec::default()
    }
}

#[rstest]
#[case::cpu(amount(32_001, 1, 0), None, "steps[1].needs.cpu-millis")]
#[case::memory(amount(1, 16_001, 0), None, "steps[1].needs.memory-mb")]
#[case::accelerators(amount(1, 1, 2), None, "steps[1].needs.accelerators")]
#[case::label(amount(1, 1, 0), Some("tpu"), "steps[1].requires")]
fn the_error_names_the_need_that_no_worker_meets(
    #[case] needs: ResourceAmount,
    #[case] requires: Option<&str>,
    #[case] field: &str,
) {
    let error = fleet_capacity().check(&job(needs, requires)).unwrap_err();
    assert!(error.to_string().contains(field), "{error}");
}

#[rstest]
#[case::largest(amount(32_000, 16_000, 1), None)]
#[case::label(amount(1, 1, 0), Some("gpu"))]
fn each_need_that_some_worker_meets_is_accepted(
    #[case] needs: ResourceAmount,
    #[case] requires: Option<&str>,
) {
    assert!(fleet_capacity().check(&job(needs, requires)).is_ok());
}

#[test]
fn a_best_effort_task_needs_no_processor_of_its_own() {
    let mut best_effort_job = job(amount(64_000, 1, 0), None);
    best_effort_job.steps[1].best_effort = true;
    assert!(fleet_capacity().check(&best_effort_job).is_ok());
}

#[test]
fn an_empty_fleet_capacity_rejects_nothing() {
    let needs = amount(1_000_000, 1_000_000, 9);
    assert!(
        FleetCapacity::default()
            .check(&job(needs, Some("x")))
            .is_ok()
    );
}
