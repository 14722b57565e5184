//! LOST: a job whose workers were parked in a lull never runs.

use std::thread;
use std::time::Duration;

use crate::deployment::{Deployment, QUEUE};
use crate::{Case, Failure, Verdict};

/// Time for which a job may have nothing running.
const IDLE_MS: f64 = 3_000.0;

/// Job that keeps all workers of the service in use: one subtask on each.
const STEADY: &str = "0000000000000091";

const STEADY_JOB: &str = r#"{"spec":"","steps":[{"count":9,"cpu":1000,"memMb":100,"maxPerServer":1,"longRunning":true}]}"#;

/// Job that only the workers of one rack can run.
const LABELLED: &str = "0000000000000092";

pub fn run(case: &mut Case) -> Result<Verdict, Failure> {
    let deployment = Deployment::start_with_spares(case, 3, 9, 3)?;
    deployment.submit(case, 0, STEADY, STEADY_JOB)?;
    deployment.wait_until("all workers are in use", |deployment| {
        let runs = deployment.runs().unwrap_or_default();
        runs.iter().filter(|run| run.ended.is_none()).count() == 9
    })?;
    thread::sleep(Duration::from_secs(3));
    note_machines(case, &deployment)?;
    if case.has_trouble {
        let response = deployment.call(1, "DELETE", STEADY, "")?;
        case.record.note(&format!(
            "the demand falls: DELETE {STEADY}: {}",
            response.status
        ));
    }
    thread::sleep(Duration::from_secs(12));
    note_machines(case, &deployment)?;
    let present = deployment.machines(QUEUE)?;
    // The next machine that is woken is the first by its name; it is in the first rack.
    let racks = ["rack-2", "rack-3"];
    let rack = racks
        .into_iter()
        .find(|rack| present.iter().all(|(_, other)| other != rack));
    let rack = rack.unwrap_or("rack-2");
    let job = format!(
        r#"{{"spec":"500","steps":[{{"count":1,"cpu":500,"memMb":100,"requires":"{rack}"}}]}}"#
    );
    let accepted_at = deployment.now_ms()?;
    deployment.submit(case, 1, LABELLED, &job)?;
    case.record.note(&format!("accepted at {accepted_at:.0}"));
    for _ in 0..12 {
        thread::sleep(Duration::from_secs(5));
        let state = deployment.state(2, LABELLED);
        case.record.note(&format!("GET {LABELLED}: {state:?}"));
        if state.as_deref() == Some("completed") {
            break;
        }
    }
    note_machines(case, &deployment)?;
    let now = deployment.now_ms()?;
    let runs = deployment.record_runs(case)?;
    let mut own = runs.iter().filter(|run| run.task.starts_with(LABELLED));
    let until = own.next().map_or(now, |run| run.started);
    let idle = until - accepted_at;
    case.record.note(&format!(
        "nothing of the job ran for {idle:.0} ms after it was accepted; {IDLE_MS} allowed"
    ));
    match idle > IDLE_MS {
        true => Ok(Verdict::Broken),
        false => Ok(Verdict::Held),
    }
}

fn note_machines(case: &mut Case, deployment: &Deployment) -> Result<(), Failure> {
    for pool in [QUEUE, "standby"] {
        let machines = deployment.machines(pool)?;
        let named = machines
            .iter()
            .map(|(name, rack)| format!("{name} ({rack})"));
        let named: Vec<String> = named.collect();
        case.record
            .note(&format!("machines in {pool}: {}", named.join(", ")));
    }
    Ok(())
}
