//! LOST: a sound job is shown as failed because four of its workers crashed.

use std::thread;
use std::time::Duration;

use crate::deployment::Deployment;
use crate::{Case, Failure, Verdict};

/// Number of workers that crash, one after the other: 4 of 30.
const CRASHES: usize = 4;

/// Time after the start of the subtask at which its worker crashes.
const CRASH_DELAY: Duration = Duration::from_millis(800);

const ID: &str = "00000000000000d1";

/// One subtask of 8 s.
const JOB: &str = r#"{"spec":"8000","steps":[{"count":1,"cpu":1000,"memMb":100}]}"#;

pub fn run(case: &mut Case) -> Result<Verdict, Failure> {
    let deployment = Deployment::start(case, 3, 30)?;
    thread::sleep(Duration::from_secs(20));
    deployment.submit(case, 0, ID, JOB)?;
    for crash in 0..CRASHES {
        deployment.wait_until("the subtask runs", |deployment| {
            let runs = deployment.runs().unwrap_or_default();
            runs.len() == crash + 1 || deployment.state(0, ID).as_deref() == Some("failed")
        })?;
        let runs = deployment.runs()?;
        let Some(current) = runs.last().filter(|run| run.ended.is_none()) else {
            break;
        };
        if !case.has_trouble {
            break;
        }
        thread::sleep(CRASH_DELAY);
        let number = current.machine.trim_start_matches("machine-");
        deployment.add_faults(&format!(
            "[[fault]]\neffect = \"crash\"\nmachine = {number}\nfrom-seconds = 0.0\ndown-ms = 4500\n"
        ))?;
        case.record.note(&format!(
            "{} crashes, and is down for 4.5 s",
            current.machine
        ));
    }
    thread::sleep(Duration::from_secs(20));
    let state = deployment.state(1, ID);
    case.record.note(&format!("GET {ID}: {state:?}"));
    let runs = deployment.record_runs(case)?;
    let failed = runs
        .iter()
        .filter(|run| run.how.as_deref() == Some("failed"))
        .count();
    case.record
        .note(&format!("{failed} runs have ended as failed"));
    let is_lost = state.as_deref() == Some("failed") && failed < 3;
    Ok(if is_lost {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
