//! Runs one case of the second review: `rig CASE RECORD`, from the repository's root.
//!
//! Starts the processes with the command of the deploy file, and small stand-ins of the
//! platform, its workers and the consumers. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. With `TROUBLE=0` in the environment the same is
//! done without the disruption.

mod clock;
mod fleet;
mod http;
mod platform;
mod record;
mod scenario;
mod table;
mod worker;

use std::process::{self, ExitCode};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use record::Record;
use scenario::{Outcome, Scenario};

/// Time after which a case is given up.
const RUN_LIMIT: Duration = Duration::from_secs(117);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = arguments.as_slice() else {
        eprintln!("usage: rig CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(path) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    thread::spawn(|| {
        thread::sleep(RUN_LIMIT);
        fleet::kill_all();
        println!("not run: the case took too long");
        process::exit(2);
    });
    let outcome = Scenario {
        record,
        has_trouble,
    }
    .run(case);
    match outcome {
        Outcome::Held => {
            println!("held");
            ExitCode::SUCCESS
        }
        Outcome::Broken(text) => {
            println!("broken: {text}");
            ExitCode::from(1)
        }
        Outcome::NotRun(text) => {
            println!("not run: {text}");
            ExitCode::from(2)
        }
    }
}
