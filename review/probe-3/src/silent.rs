//! LOST: a subtask that lasts has no run, since its start went to a worker that was lost.

use std::thread;
use std::time::Duration;

use crate::deployment::{Deployment, Run};
use crate::{Case, Failure, Verdict};

/// Time for which a subtask that lasts may have nothing running.
const IDLE_MS: f64 = 3_000.0;

/// Time before that which has to be calm as well.
const CALM_MS: f64 = 4_000.0;

/// Time for which the loss of a worker counts as a disruption.
const LOSS_MS: f64 = 4_500.0;

/// Time from the loss until a job is handed in.
const DELAY: Duration = Duration::from_millis(2_000);

/// Id of the job that shows which worker is chosen.
const FIRST: &str = "00000000000000e1";

/// Id of the job that is handed in after the loss.
const SECOND: &str = "00000000000000e2";

/// One subtask of half a second.
const SHORT_JOB: &str = r#"{"spec":"500","steps":[{"count":1,"cpu":1000,"memMb":100}]}"#;

/// One subtask that lasts.
const JOB: &str = r#"{"spec":"","steps":[{"count":1,"cpu":1000,"memMb":100,"longRunning":true}]}"#;

pub fn run(case: &mut Case) -> Result<Verdict, Failure> {
    let deployment = Deployment::start(case, 3, 9)?;
    // The worker that is chosen while all are free.
    deployment.submit(case, 0, FIRST, SHORT_JOB)?;
    deployment.wait_until("the first job is completed", |deployment| {
        deployment.state(0, FIRST).as_deref() == Some("completed")
    })?;
    thread::sleep(Duration::from_secs(3));
    let machine = deployment.runs()?[0].machine.clone();
    let lost_at = deployment.now_ms()?;
    if case.has_trouble {
        let number = machine.trim_start_matches("machine-");
        deployment.add_faults(&format!(
            "[[fault]]\neffect = \"crash\"\nmachine = {number}\nfrom-seconds = 0.0\ndown-ms = 600000\n"
        ))?;
        case.record
            .note(&format!("{machine} is lost for good at {lost_at:.0}"));
    }
    thread::sleep(DELAY);
    let accepted_at = deployment.now_ms()?;
    deployment.submit(case, 1, SECOND, JOB)?;
    case.record
        .note(&format!("the job is accepted at {accepted_at:.0}"));
    thread::sleep(Duration::from_secs(24));
    let now = deployment.now_ms()?;
    let runs = deployment.record_runs(case)?;
    Ok(judge(case, &runs, accepted_at, lost_at, now))
}

/// Looks for a calm time in which the subtask has nothing running.
fn judge(case: &mut Case, runs: &[Run], accepted_at: f64, lost_at: f64, now: f64) -> Verdict {
    let calm_from = match case.has_trouble {
        true => lost_at + LOSS_MS + CALM_MS,
        false => 0.0,
    };
    let from = accepted_at.max(calm_from);
    let mut own = runs.iter().filter(|run| run.task.starts_with(SECOND));
    let until = own.next().map_or(now, |run| run.started);
    case.record.note(&format!(
        "the subtask had its first run {:.0} ms after the job was accepted; \
         nothing ran for {:.0} ms of calm time, {IDLE_MS} allowed",
        until - accepted_at,
        (until - from).max(0.0),
    ));
    match until - from > IDLE_MS {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
