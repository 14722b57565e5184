//! Driver of the script cases of the third review.
//!
//! It starts the stand-in platform and entry processes on loopback addresses, acts as
//! their callers and operator, and judges one rule by what callers and workers see.
//! Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod budget;
mod cancelled;
mod deployment;
mod http;
mod parked;
mod record;
mod restarted;
mod silent;

use std::env;
use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

/// Reason why a case could not run.
pub type Failure = String;

/// What a case has found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// Settings of a case.
pub struct Case {
    /// Directory with the programs.
    pub programs: PathBuf,
    /// Whether the disruption happens.
    pub has_trouble: bool,
    /// Record of what was sent, answered and run.
    pub record: Record,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, name, programs, record] = arguments.as_slice() else {
        eprintln!("usage: probe-3 CASE PROGRAMS RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(record) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("probe-3: {error}");
            return ExitCode::from(2);
        }
    };
    let mut case = Case {
        programs: PathBuf::from(programs),
        has_trouble,
        record,
    };
    case.record
        .note(&format!("case {name}, trouble {has_trouble}"));
    let outcome = match name.as_str() {
        "cancelled" => cancelled::run(&mut case),
        "budget" => budget::run(&mut case),
        "restarted" => restarted::run(&mut case),
        "parked" => parked::run(&mut case),
        "silent" => silent::run(&mut case),
        _ => Err(format!("there is no case {name}")),
    };
    match outcome {
        Ok(Verdict::Held) => {
            case.record.note("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            case.record.note("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Err(failure) => {
            case.record.note(&format!("verdict: not run: {failure}"));
            ExitCode::from(2)
        }
    }
}
