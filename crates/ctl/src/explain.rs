//! The `explain` subcommand.

use std::fmt;

use redwing_planner::Explanation;
use serde::Serialize;

use crate::client::{AdminClient, AdminRequest};
use crate::command::{CommandEntry, ExitStatus};
use crate::error::Result;
use crate::job;
use crate::option;
use crate::output;

/// Kind of a job, whose state any entry process of jobs can tell.
const JOB_KIND: &str = "job";

/// Kinds that the API of operators explains.
const ADMIN_KINDS: [&str; 3] = ["vm", "pool", "class"];

/// Explains the decisions of maintenance about a VM, pool or class, and the state of a job.
pub(crate) const COMMAND: CommandEntry = CommandEntry {
    name: "explain",
    define,
    run,
};

fn define() -> clap::Command {
    clap::Command::new("explain")
        .about("Explains the state of a VM, pool, class or job, and what would change it")
        .arg(
            clap::Arg::new("kind")
                .value_name("KIND")
                .required(true)
                .value_parser(["vm", "pool", "class", JOB_KIND])
                .help("Kind of the object to explain"),
        )
        .arg(
            clap::Arg::new("name")
                .value_name("NAME")
                .required(true)
                .value_parser(option::parse_name)
                .help("Name of the object"),
        )
        .args(option::admin_arguments().into_iter().map(require_for_admin))
        .args(job::target_arguments().into_iter().map(require_for_job))
}

/// Requires an argument for the kinds that the API of operators explains only.
fn require_for_admin(argument: clap::Arg) -> clap::Arg {
    if !argument.is_required_set() {
        return argument;
    }
    let kinds = ADMIN_KINDS.map(|kind| ("kind", kind));
    argument.required(false).required_if_eq_any(kinds)
}

/// Requires an argument for jobs only.
fn require_for_job(argument: clap::Arg) -> clap::Arg {
    if !argument.is_required_set() {
        return argument;
    }
    argument.required(false).required_if_eq("kind", JOB_KIND)
}

fn run(flags: &clap::ArgMatches) -> Result<ExitStatus> {
    let text = |name| flags.get_one::<String>(name).map_or("", String::as_str);
    if text("kind") == JOB_KIND {
        let explanation = job::explain(flags, text("name"))?;
        output::print(&explanation, flags.get_flag("json"))?;
        return Ok(ExitStatus::Success);
    }
    let path = format!("/v1/admin/explain/{}/{}", text("kind"), text("name"));
    let request = AdminRequest::get("explain", path);
    let explanation: Explanation = AdminClient::new(flags).read(&request)?;
    output::print(&ExplanationText(&explanation), flags.get_flag("json"))?;
    Ok(ExitStatus::Success)
}

/// Explanation, as text.
#[derive(Debug, Serialize)]
#[serde(transparent)]
pub struct ExplanationText<'a>(pub &'a Explanation);

impl fmt::Display for ExplanationText<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "{}", self.0.decision)?;
        for input in &self.0.inputs {
            writeln!(formatter, "  {}: {}", input.name, input.value)?;
        }
        for change in &self.0.would_change {
            writeln!(formatter, "would be changed by {change}")?;
        }
        Ok(())
    }
}
