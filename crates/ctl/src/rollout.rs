//! The `rollout` subcommands, which control and show roll-outs.

use std::fmt;

use redwing_planner::rollout::{RolloutBlocker, RolloutCommand, RolloutRequest, RolloutStatus};
use redwing_planner::time::PlanTime;
use serde::Serialize;

use crate::client::{AdminClient, AdminRequest};
use crate::command::{CommandEntry, ExitStatus};
use crate::error::Result;
use crate::option;
use crate::output;

/// Controls and shows roll-outs.
pub(crate) const COMMAND: CommandEntry = CommandEntry {
    name: "rollout",
    define,
    run,
};

/// Names and help texts of the subcommands.
const ACTIONS: [(&str, &str); 5] = [
    (
        "start",
        "Starts a reboot of every VM of a pool within its availability budget",
    ),
    ("status", "Shows progress, expected end and blockers"),
    ("pause", "Takes no more VMs out of service until resumed"),
    ("resume", "Continues after a pause or an automatic stop"),
    (
        "abort",
        "Ends the roll-out and cancels drains that have begun",
    ),
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
            AdminRequest::post("control roll-out", &path, &RolloutRequest { command })?
        }
        None => AdminRequest::get("read roll-out", path),
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

/// Status of a roll-out, as text.
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
        for blocker in &status.blocked_by {
            writeln!(formatter, "held up by {}", blocker_text(blocker))?;
        }
        Ok(())
    }
}

fn blocker_text(blocker: &RolloutBlocker) -> String {
    match blocker {
        RolloutBlocker::State { state } => format!("its state, {state}"),
        RolloutBlocker::BudgetSpent { planned, unplanned } => {
            format!("the budget: {planned} VMs in planned outages, {unplanned} in unplanned ones")
        }
        RolloutBlocker::DataCentre { data_centre } => {
            format!("VMs out in data centre {data_centre}; other data centres must wait")
        }
        RolloutBlocker::Evacuated { vms } => {
            format!("an evacuation: {vms} VMs of the pool get no requests")
        }
        RolloutBlocker::StaleList => "the platform's VM list, which is outdated".to_owned(),
        RolloutBlocker::LongDrains { vms } => {
            let names: Vec<&str> = vms.iter().map(|vm| vm.as_str()).collect();
            format!("long requests on {}", names.join(", "))
        }
    }
}
