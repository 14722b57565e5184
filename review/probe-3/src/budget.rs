//! BUDGET: the subtasks of a job whose route is removed start again without a limit.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use crate::deployment::{Deployment, QUEUE};
use crate::{Case, Failure, Verdict};

/// Runs after whose failure a subtask does not start again.
const MAX_ATTEMPTS: usize = 3;

const ID: &str = "00000000000000b1";

/// Two subtasks of 1 s each, for the rack whose workers fail them.
const JOB: &str =
    r#"{"spec":"1000","steps":[{"count":2,"cpu":1000,"memMb":100,"requires":"rack-3"}]}"#;

/// One subtask that can be done.
const SOUND_JOB: &str =
    r#"{"spec":"500","steps":[{"count":1,"cpu":500,"memMb":100,"requires":"rack-1"}]}"#;

/// Number of sound jobs; one job in twenty can never be done.
const SOUND_JOBS: u64 = 19;

pub fn run(case: &mut Case) -> Result<Verdict, Failure> {
    let mut deployment = Deployment::start(case, 3, 9)?;
    // Only the job that can never be done runs on these workers.
    for (machine, _) in deployment
        .machines(QUEUE)?
        .iter()
        .filter(|(_, rack)| rack == "rack-3")
    {
        let number = machine.trim_start_matches("machine-");
        deployment.add_faults(&format!(
            "[[fault]]\neffect = \"fail-runs\"\nmachine = {number}\nshare = 1.0\n\
             from-seconds = 0.0\nto-seconds = 100.0\n"
        ))?;
    }
    for number in 0..SOUND_JOBS {
        deployment.submit(case, 0, &format!("{:016x}", 0x5000 + number), SOUND_JOB)?;
    }
    deployment.submit(case, 0, ID, JOB)?;
    deployment.wait_until("the job runs", |deployment| {
        let runs = deployment.runs().unwrap_or_default();
        runs.iter().filter(|run| run.task.starts_with(ID)).count() >= 2
    })?;
    if case.has_trouble {
        let version = deployment.set_manifest(0, false)?;
        case.record.note(&format!(
            "manifest {version} has no route for the queue any more"
        ));
    }
    thread::sleep(Duration::from_secs(15));
    let state = deployment.state(1, ID);
    case.record.note(&format!("GET {ID}: {state:?}"));
    let runs = deployment.record_runs(case)?;
    let mut verdict = Verdict::Held;
    let mut starts: BTreeMap<&str, usize> = BTreeMap::new();
    for start in &runs {
        let failed = runs.iter().filter(|run| {
            let is_earlier = run.ended.is_some_and(|ended| ended < start.started);
            let is_failed = run.how.as_deref() == Some("failed");
            run.task == start.task && is_earlier && is_failed && run.noted.is_some()
        });
        *starts.entry(&start.task).or_default() += 1;
        if failed.count() >= MAX_ATTEMPTS {
            verdict = Verdict::Broken;
        }
    }
    starts.retain(|task, _| task.starts_with(ID));
    for (task, count) in starts {
        case.record
            .note(&format!("{task}: {count} starts, {MAX_ATTEMPTS} allowed"));
    }
    Ok(verdict)
}
