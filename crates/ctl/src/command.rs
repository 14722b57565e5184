//! Table of subcommands and exit statuses.

use std::ffi;
use std::process;

use crate::error::{Category, Error, Result};
use crate::{
    apply, audit, evacuate, experiment, explain, grant, inspect, job, load, platform, report,
    rollout, value,
};

/// Subcommands in the order in which the help lists them.
pub const COMMANDS: &[CommandEntry] = &[
    apply::APPLY,
    apply::DIFF,
    apply::ROLLBACK,
    inspect::SHOW,
    inspect::HISTORY,
    inspect::STATUS,
    grant::KEY,
    grant::OPERATOR,
    audit::COMMAND,
    rollout::COMMAND,
    evacuate::COMMAND,
    explain::COMMAND,
    report::COMMAND,
    experiment::COMMAND,
    job::COMMAND,
    platform::COMMAND,
    load::COMMAND,
    value::COMMAND,
];

/// One subcommand.
#[derive(Clone, Copy, Debug)]
pub struct CommandEntry {
    /// Name on the command line.
    pub name: &'static str,
    /// Returns the flags and help text.
    pub define: fn() -> clap::Command,
    /// Runs the subcommand with its parsed flags.
    pub run: fn(&clap::ArgMatches) -> Result<ExitStatus>,
}

/// Result of a subcommand.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitStatus {
    /// The subcommand succeeded; a change is stored in the table and a majority
    /// of entry VMs has it.
    Success,
    /// The subcommand failed, was refused, or found a violated guarantee.
    Failure,
    /// A flag or a declaration is invalid; nothing was changed.
    Usage,
    /// Another operator changed the configuration first.
    Conflict,
    /// The change may be stored in the table, but was not confirmed in force.
    Pending,
}

impl ExitStatus {
    /// Returns the exit code of the process.
    pub fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failure => 1,
            Self::Usage => 2,
            Self::Conflict => 3,
            Self::Pending => 4,
        }
    }
}

impl From<ExitStatus> for process::ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status.code())
    }
}

impl From<&Error> for ExitStatus {
    fn from(error: &Error) -> Self {
        match error.classify() {
            Category::Usage | Category::File => Self::Usage,
            Category::Conflict => Self::Conflict,
            Category::Unknown => Self::Pending,
            Category::Refused | Category::Unavailable => Self::Failure,
        }
    }
}

/// Returns the definition of the command line with all subcommands.
pub fn define() -> clap::Command {
    clap::Command::new("redwingctl")
        .about("Operates redwinglb entry VMs")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(COMMANDS.iter().map(|entry| (entry.define)()))
}

/// Parses `arguments`, which start with the name of the program, and runs the
/// subcommand.
///
/// Errors are printed to standard error and decide the returned status.
pub fn run<I, T>(arguments: I) -> ExitStatus
where
    I: IntoIterator<Item = T>,
    T: Into<ffi::OsString> + Clone,
{
    let matches = match define().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => return report_usage(&error),
    };
    let Some((name, flags)) = matches.subcommand() else {
        return ExitStatus::Usage;
    };
    let Some(entry) = COMMANDS.iter().find(|entry| entry.name == name) else {
        return ExitStatus::Usage;
    };
    match (entry.run)(flags) {
        Ok(status) => status,
        Err(error) => {
            eprintln!("redwingctl {name}: {error}");
            ExitStatus::from(&error)
        }
    }
}

/// Prints a parse error or the requested help.
fn report_usage(error: &clap::Error) -> ExitStatus {
    // If the standard stream is closed, the error cannot be reported anywhere else.
    let _ = error.print();
    if error.use_stderr() {
        ExitStatus::Usage
    } else {
        ExitStatus::Success
    }
}
