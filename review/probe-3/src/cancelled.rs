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

/// Time for which an impatient caller waits before it leaves.
const PATIENCE: Duration = Duration::from_millis(300);

/// One of so many callers is impatient.
const IMPATIENT: u64 = 4;

/// Time between two jobs.
const INTERVAL: Duration = Duration::from_millis(80);

/// Number of jobs.
const JOBS: u64 = 48;

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
             delay-ms = 5800\nfrom-seconds = 0.0\nto-seconds = 4.5\n",
        )?;
        case.record.note(
            "for 4.5 s, 35 % of the writes to the table get no answer and are done 5.8 s later",
        );
    }
    let calls: Vec<Call> = thread::scope(|scope| {
        let deployment = &deployment;
        let callers = (0..JOBS).map(|number| {
            thread::sleep(INTERVAL);
            scope.spawn(move || hand_in(deployment, number))
        });
        let callers: Vec<_> = callers.collect();
        let calls = callers.into_iter().map(|caller| caller.join());
        calls.filter_map(Result::ok).flatten().collect()
    });
    for line in calls.iter().flat_map(|call| &call.lines) {
        case.record.note(line);
    }
    let cancelled = calls.into_iter().filter_map(|call| call.cancelled);
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

/// What a caller has done.
struct Call {
    lines: Vec<String>,
    cancelled: Option<Cancelled>,
}

/// Hands a job in. An impatient caller without an answer leaves, and cancels the job at
/// another process.
fn hand_in(deployment: &Deployment, number: u64) -> Result<Call, Failure> {
    let index = number as usize % deployment.entry_count();
    let id = format!("{:016x}", 0xc000 + number);
    let is_impatient = number.is_multiple_of(IMPATIENT);
    let limit = match is_impatient {
        true => PATIENCE,
        false => Duration::from_secs(3),
    };
    let response = deployment.call_within(index, "POST", &id, JOB, limit);
    let status = response.map(|response| response.status);
    let answer = status
        .as_ref()
        .map_or("no answer".to_owned(), u16::to_string);
    let mut call = Call {
        lines: vec![format!("POST {id} at process {}: {answer}", index + 1)],
        cancelled: None,
    };
    if status.is_ok() || !is_impatient {
        return Ok(call);
    }
    let next = (index + 1) % deployment.entry_count();
    let response = deployment.call(next, "DELETE", &id, "")?;
    call.lines.push(format!(
        "the caller has left; DELETE {id} at process {}: {}",
        next + 1,
        response.status
    ));
    call.cancelled = Some(Cancelled {
        id,
        status: response.status,
        answered_at: deployment.now_ms()?,
    });
    Ok(call)
}
