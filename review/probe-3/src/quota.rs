//! QUOTA: a cancelled job runs on behind a cut while the next owner starts another one.

use std::thread;
use std::time::Duration;

use crate::deployment::{Deployment, Run};
use crate::{Case, Failure, Verdict};

/// What the customer may have running, in thousandths of a core.
const MAX_CPU: u64 = 4_000;

/// Processor of each subtask, in thousandths of a core.
const TASK_CPU: u64 = 1_000;

/// Fraction by which the limit may be exceeded.
const OVERAGE: f64 = 0.1;

/// Id of the job that is cancelled.
const FIRST: &str = "00000000000000a1";

/// Id of the job that waits for the limit.
const SECOND: &str = "00000000000000a2";

/// Four subtasks of 30 s.
const JOB: &str = r#"{"spec":"30000","steps":[{"count":4,"cpu":1000,"memMb":100}]}"#;

pub fn run(case: &mut Case) -> Result<Verdict, Failure> {
    let mut deployment = Deployment::start(case, 3, 9)?;
    deployment.set_manifest(MAX_CPU, true)?;
    case.record.note(&format!(
        "manifest: the customer may have {MAX_CPU} running"
    ));
    thread::sleep(Duration::from_secs(1));
    deployment.submit(case, 0, FIRST, JOB)?;
    deployment.wait_until("the first job runs", |deployment| {
        deployment.runs().is_ok_and(|runs| runs.len() == 4)
    })?;
    let machine = deployment.runs()?[0].machine.clone();
    deployment.submit(case, 1, SECOND, JOB)?;
    // A lease that has just been renewed is not needed: any will do.
    thread::sleep(Duration::from_millis(1_500));
    let owner = deployment.owner().ok_or("there is no owner")?;
    if case.has_trouble {
        let number = machine.trim_start_matches("machine-");
        deployment.add_faults(&format!(
            "[[fault]]\neffect = \"cut\"\nmachine = {number}\nfrom-seconds = 0.0\nto-seconds = 5.5\n"
        ))?;
        case.record
            .note(&format!("{machine} is cut off for 5.5 s and runs on"));
    }
    thread::sleep(Duration::from_millis(800));
    let response = deployment.call((owner + 1) % 3, "DELETE", FIRST, "")?;
    case.record
        .note(&format!("DELETE {FIRST}: {}", response.status));
    deployment.wait_until("the first job is shown as cancelled", |deployment| {
        deployment.state((owner + 1) % 3, FIRST).as_deref() == Some("cancelled")
    })?;
    thread::sleep(Duration::from_millis(300));
    if case.has_trouble {
        deployment.terminate(owner)?;
        case.record
            .note(&format!("SIGTERM to process {}, the owner", owner + 1));
    }
    thread::sleep(Duration::from_secs(8));
    let runs = deployment.record_runs(case)?;
    Ok(judge(case, &runs))
}

/// Adds up what the customer has running at each start.
fn judge(case: &mut Case, runs: &[Run]) -> Verdict {
    let allowed = MAX_CPU as f64 * (1.0 + OVERAGE) + TASK_CPU as f64;
    let mut verdict = Verdict::Held;
    for start in runs {
        let active = runs.iter().filter(|run| run.is_active_at(start.started));
        let running = active.count() as u64 * TASK_CPU;
        if running as f64 > allowed {
            case.record.note(&format!(
                "the start of {} at {:.0} brings the customer to {running}; allowed {allowed}",
                start.task, start.started
            ));
            verdict = Verdict::Broken;
        }
    }
    verdict
}
