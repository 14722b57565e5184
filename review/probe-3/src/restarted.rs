//! TWICE: a start that the owner has sent just before it ended is carried out late, by the
//! next incarnation of its worker, behind a cut.

use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, Run};
use crate::{Case, Failure, Verdict};

/// Number of rounds.
const ROUNDS: u64 = 6;

/// Subtasks of 20 s, which fit on one worker.
const JOB: &str = r#"{"spec":"20000","steps":[{"count":24,"cpu":300,"memMb":100}]}"#;

/// Time after which a process that was killed starts again.
const RESTART_DELAY: Duration = Duration::from_millis(700);

pub fn run(case: &mut Case) -> Result<Verdict, Failure> {
    let mut deployment = Deployment::start(case, 3, 15)?;
    for round in 0..ROUNDS {
        play(case, &mut deployment, round)?;
    }
    let runs = deployment.record_runs(case)?;
    Ok(judge(case, &runs))
}

fn play(case: &mut Case, deployment: &mut Deployment, round: u64) -> Result<(), Failure> {
    let id = format!("{:016x}", 0x700 + round);
    let before = deployment.runs()?.len();
    let owner = deployment.owner().ok_or("there is no owner")?;
    if case.has_trouble {
        deployment.add_faults(
            "[[fault]]\neffect = \"late\"\ntarget = \"workers\"\nshare = 0.055\n\
             delay-ms = 2000\nfrom-seconds = 0.0\nto-seconds = 0.6\n",
        )?;
    }
    deployment.submit(case, (owner + 1) % 3, &id, JOB)?;
    let submitted = Instant::now();
    deployment.wait_until("a subtask runs", |deployment| {
        deployment.runs().is_ok_and(|runs| runs.len() > before)
    })?;
    let machine = deployment.runs()?.last().ok_or("no run")?.machine.clone();
    if case.has_trouble {
        let number = machine.trim_start_matches("machine-");
        deployment.kill(owner)?;
        case.record
            .note(&format!("process {}, the owner, is killed", owner + 1));
        deployment.add_faults(&format!(
            "[[fault]]\neffect = \"crash\"\nmachine = {number}\nfrom-seconds = 0.05\n\
             down-ms = 300\nreport-ms = 1000\n\
             [[fault]]\neffect = \"cut\"\nmachine = {number}\nfrom-seconds = 0.65\nto-seconds = 6.15\n"
        ))?;
        case.record.note(&format!(
            "{machine} crashes, is back after 0.3 s, and is cut off 0.3 s later for 5.5 s"
        ));
        thread::sleep(RESTART_DELAY);
        deployment.start_entry(owner)?;
        case.record
            .note(&format!("process {} starts again", owner + 1));
    }
    thread::sleep(Duration::from_secs(9).saturating_sub(submitted.elapsed()));
    let response = deployment.call((owner + 1) % 3, "DELETE", &id, "")?;
    case.record
        .note(&format!("DELETE {id}: {}", response.status));
    thread::sleep(Duration::from_secs(4));
    Ok(())
}

/// Counts the runs that began while another run of the subtask was in progress.
fn judge(case: &mut Case, runs: &[Run]) -> Verdict {
    let mut verdict = Verdict::Held;
    for start in runs {
        let mut others = runs.iter().filter(|run| {
            run.task == start.task && run.run != start.run && run.is_active_at(start.started)
        });
        if let Some(other) = others.next() {
            case.record.note(&format!(
                "run {} of {} started on {} at {:.0}, while run {} was in progress on {}",
                start.run, start.task, start.machine, start.started, other.run, other.machine
            ));
            verdict = Verdict::Broken;
        }
    }
    verdict
}
