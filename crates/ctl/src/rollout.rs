//! Subcommand that starts and follows roll-outs.

use std::fmt;

use redwing_planner::rollout::{RolloutBlocker, RolloutCommand, RolloutRequest, RolloutStatus};
use redwing_planner::time::PlanTime;
use serde::Serialize;

use crate::client::{AdminClient, AdminRequest};
use crate::command::{CommandEntry, ExitStatus};
use crate::error::Result;
use crate::option;
use crate::output;

/// Controls roll-outs.
pub(crate) const COMMAND: CommandEntry = CommandEntry {
    name: "rollout",
    define,
    run,
};

const ACTIONS: [(&str, &str); 5] = [
    ("start", "Reboots every VM of a pool, one budget at a time"),
    (
        "status",
        "Shows progress, expected end, and what holds it up",
    ),
    ("pause", "Takes no more VMs out of service until resumed"),
    (
        "resume",
        "Goes on after a pause, or after it stopped itself",
    ),
    ("abort", "Ends it and calls off drains that have begun"),
];

fn define() -> clap::Command {
    let actions = ACTIONS.map(|(name, about)| {
        clap::Command::new(name)
            .about(about)
            .arg(
                clap::Arg::new("pool")
                    .value_name("POOL")
                    .required(true)
                    .value_parser(option::parse_name)
                    .help("Name of the pool"),
            )
            .args(option::admin_arguments())
    });
    clap::Command::new("rollout")
        .about("Reboots the VMs of a pool within its availability budget")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(actions)
}

fn run(flags: &clap::ArgMatches) -> Result<ExitStatus> {
    let Some((action, flags)) = flags.subcommand() else {
        return Ok(ExitStatus::Usage);
    };
    let pool = flags.get_one::<String>("pool").map_or("", String::as_str);
    let path = format!("/v1/admin/rollouts/{pool}");
    let request = match command_of(action) {
        Some(command) => {
            AdminRequest::post("command a roll-out", &path, &RolloutRequest { command })?
        }
        None => AdminRequest::get("read a roll-out", path),
    };
    let status: RolloutStatus = AdminClient::new(flags).read(&request)?;
    output::print(&StatusText(&status), flags.get_flag("json"))?;
    Ok(ExitStatus::Success)
}

fn command_of(action: &str) -> Option<RolloutCommand> {
    match action {
        "start" => Some(RolloutCommand::Start),
        "pause" => Some(RolloutCommand::Pause),
        "resume" => Some(RolloutCommand::Resume),
        "abort" => Some(RolloutCommand::Abort),
        _ => None,
    }
}

/// Progress of a roll-out in lines.
#[derive(Debug, Serialize)]
#[serde(transparent)]
pub struct StatusText<'a>(pub &'a RolloutStatus);

impl fmt::Display for StatusText<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let status = self.0;
        let (pool, id, state) = (&status.pool, status.id, status.state);
        writeln!(formatter, "roll-out {id} of pool {pool}: {state}")?;
        let failed = status.failed.len();
        writeln!(
            formatter,
            "rebooted {} of {} VMs, {} out of service, {failed} failed",
            status.done,
            status.total,
            status.unavailable.len()
        )?;
        if let Some(end) = status.expected_end {
            let end = output::utc_text(PlanTime::as_millis(end));
            writeln!(formatter, "expected end {end}")?;
        }
        for hold_up in &status.blocked_by {
            writeln!(formatter, "held up by {}", hold_up_text(hold_up))?;
        }
        Ok(())
    }
}

fn hold_up_text(hold_up: &RolloutBlocker) -> String {
    match hold_up {
        RolloutBlocker::State { state } => format!("its state, {state}"),
        RolloutBlocker::BudgetSpent { planned, unplanned } => {
            format!("the budget: {planned} VMs out by plan, {unplanned} otherwise")
        }
        RolloutBlocker::DataCentre { data_centre } => {
            format!("VMs out in data centre {data_centre}; others stand elsewhere")
        }
        RolloutBlocker::StaleList => "the platform's VM list, which is not recent".to_owned(),
        RolloutBlocker::LongDrains { vms } => {
            let names: Vec<&str> = vms.iter().map(|vm| vm.as_str()).collect();
            format!("long requests on {}", names.join(", "))
        }
    }
}
