//! Subcommands that show the configuration and the status of entry VMs.

use redwing_model::admin::{DeclarationView, HistoryEntry, NodeStatus};

use crate::client::{AdminClient, AdminRequest};
use crate::command::{CommandEntry, ExitStatus};
use crate::error::Result;
use crate::option;
use crate::output;

/// Shows a declaration.
pub(crate) const SHOW: CommandEntry = CommandEntry {
    name: "show",
    define: define_show,
    run: run_show,
};

/// Lists the changes of the configuration.
pub(crate) const HISTORY: CommandEntry = CommandEntry {
    name: "history",
    define: define_history,
    run: run_history,
};

/// Shows the status of one entry VM.
pub(crate) const STATUS: CommandEntry = CommandEntry {
    name: "status",
    define: define_status,
    run: run_status,
};

fn define_show() -> clap::Command {
    clap::Command::new("show")
        .about("Shows the declaration in force, or that of an earlier version")
        .arg(
            clap::Arg::new("version")
                .long("version")
                .value_name("VERSION")
                .value_parser(clap::value_parser!(u64).range(1..))
                .help("Version to show [default: the one in force]"),
        )
        .args(option::admin_arguments())
}

fn define_history() -> clap::Command {
    clap::Command::new("history")
        .about("Lists the changes of the configuration, latest first")
        .arg(
            clap::Arg::new("limit")
                .long("limit")
                .value_name("N")
                .default_value("20")
                .value_parser(clap::value_parser!(u64).range(1..=1_000))
                .help("Maximum number of changes"),
        )
        .args(option::admin_arguments())
}

fn define_status() -> clap::Command {
    clap::Command::new("status")
        .about("Shows the version in force, readiness and reachable members of an entry VM")
        .args(option::admin_arguments())
}

fn run_show(flags: &clap::ArgMatches) -> Result<ExitStatus> {
    let query = match flags.get_one::<u64>("version") {
        Some(version) => format!("?version={version}"),
        None => String::new(),
    };
    let path = format!("/v1/admin/declaration{query}");
    let view: DeclarationView =
        AdminClient::new(flags).read(&AdminRequest::get("show declaration", path))?;
    if flags.get_flag("json") {
        let text = serde_json::json!(view);
        println!("{text}");
    } else {
        // The comment keeps the output a valid declaration.
        println!("# version {}", view.version);
        print!("{}", view.text);
    }
    Ok(ExitStatus::Success)
}

fn run_history(flags: &clap::ArgMatches) -> Result<ExitStatus> {
    let limit = flags.get_one::<u64>("limit").copied().unwrap_or(1);
    let path = format!("/v1/admin/history?limit={limit}");
    let entries: Vec<HistoryEntry> =
        AdminClient::new(flags).read(&AdminRequest::get("read history", path))?;
    output::print(&output::HistoryText(&entries), flags.get_flag("json"))?;
    Ok(ExitStatus::Success)
}

fn run_status(flags: &clap::ArgMatches) -> Result<ExitStatus> {
    let request = AdminRequest::get("read status", "/v1/admin/status");
    let status: NodeStatus = AdminClient::new(flags).read(&request)?;
    output::print(&output::StatusText(&status), flags.get_flag("json"))?;
    Ok(ExitStatus::Success)
}
