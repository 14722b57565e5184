//! UNASKED: a job whose cancelling was answered with 410 is stored after that, and runs on.

use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::Deployment;
use crate::{Case, Failure, Verdict};

/// Time after a cancelling after which nothing of the job may start.
const CANCEL_MS: f64 = 3_000.0;

/// Longest time that a stop takes.
const STOP_MS: f64 = 200.0;

/// Time after a disruption until it does not count any more.
const STABLE_MS: f64 = 3_000.0;

/// Time for which the writes are lost.
const LOSS: Duration = Duration::from_millis(4_500);

/// Time for which a caller waits before it leaves.
const PATIENCE: Duration = Duration::from_millis(300);

/// Number of jobs.
const JOBS: u64 = 24;

/// One subtask of a minute.
const JOB: &str = r#"{"spec":"60000","steps":[{"count":1,"cpu":500,"memMb":100}]}"#;

/// Job that its caller has cancelled.
struct Cancelled {
    id: String,
    status: u16,
    /// When that was answered, on the platform's clock.
    answered_at: f64,
}

pub fn run(case: &mut Case) -> Result<Verdict, Failure> {
    let deployment = Deployment::start(case, 3, 9)?;
    let began = Instant::now();
    if case.has_trouble {
        deployment.add_faults(
            "[[fault]]\neffect = \"late\"\ntarget = \"table-writes\"\nshare = 0.35\n\
             delay-ms = 6000\nfrom-seconds = 0.0\nto-seconds = 4.5\n",
        )?;
        case.record.note(
            "for 4.5 s, 35 % of the writes to the table get no answer and are done 6 s later",
        );
    }
    let mut cancelled = Vec::new();
    for number in 0..JOBS {
        if began.elapsed() + PATIENCE > LOSS {
            break;
        }
        cancelled.extend(hand_in(case, &deployment, number)?);
    }
    thread::sleep(LOSS.saturating_sub(began.elapsed()));
    let calm_from = deployment.now_ms()? + STABLE_MS;
    case.record.note(&format!(
        "no writes are lost any more; calm from {calm_from:.0}"
    ));
    thread::sleep(Duration::from_secs(14));
    let now = deployment.now_ms()?;
    let runs = deployment.record_runs(case)?;
    let mut verdict = Verdict::Held;
    for job in cancelled {
        let is_acknowledged = (200..300).contains(&job.status) || job.status == 410;
        let gone_by = calm_from.max(job.answered_at) + CANCEL_MS + STOP_MS;
        let own = runs.iter().filter(|run| run.task.starts_with(&job.id));
        for run in own.filter(|run| is_acknowledged && run.is_active_at(now)) {
            case.record.note(&format!(
                "{} runs {:.0} ms after its cancelling was answered with {}; it had to be gone \
                 by {gone_by:.0}, it is {now:.0}; shown as {:?}",
                run.task,
                now - job.answered_at,
                job.status,
                deployment.state(0, &job.id),
            ));
            if now > gone_by {
                verdict = Verdict::Broken;
            }
        }
    }
    Ok(verdict)
}

/// Hands a job in. A caller without an answer leaves and cancels the job at another process.
fn hand_in(
    case: &mut Case,
    deployment: &Deployment,
    number: u64,
) -> Result<Option<Cancelled>, Failure> {
    let index = number as usize % deployment.entry_count();
    let id = format!("{:016x}", 0xc000 + number);
    let response = deployment.call_within(index, "POST", &id, JOB, PATIENCE);
    if let Ok(response) = response {
        case.record.note(&format!(
            "POST {id} at process {}: {}",
            index + 1,
            response.status
        ));
        return Ok(None);
    }
    case.record.note(&format!(
        "POST {id} at process {}: no answer, the caller leaves",
        index + 1
    ));
    let next = (index + 1) % deployment.entry_count();
    let response = deployment.call(next, "DELETE", &id, "")?;
    case.record.note(&format!(
        "DELETE {id} at process {}: {}",
        next + 1,
        response.status
    ));
    Ok(Some(Cancelled {
        id,
        status: response.status,
        answered_at: deployment.now_ms()?,
    }))
}
