//! Subcommands that replace the declaration in force or compare with it.

use actix_http::Method;
use redwing_model::admin::{ChangeStatus, RollbackRequest};

use crate::client::{AdminClient, AdminRequest};
use crate::command::{CommandEntry, ExitStatus};
use crate::error::{Error, Result};
use crate::option;
use crate::output;

/// Puts a declaration in force.
pub(crate) const APPLY: CommandEntry = CommandEntry {
    name: "apply",
    define: define_apply,
    run: run_apply,
};

/// Compares a declaration with the one in force.
pub(crate) const DIFF: CommandEntry = CommandEntry {
    name: "diff",
    define: define_diff,
    run: run_diff,
};

/// Puts the content of an earlier version in force again.
pub(crate) const ROLLBACK: CommandEntry = CommandEntry {
    name: "rollback",
    define: define_rollback,
    run: run_rollback,
};

fn define_apply() -> clap::Command {
    clap::Command::new("apply")
        .about("Puts a declaration in force, or shows what it would change")
        .after_help(
            "Exit status: 0 accepted, 1 refused, 2 invalid declaration, 3 conflict, 4 pending.",
        )
        .arg(file_argument())
        .arg(
            clap::Arg::new("dry-run")
                .long("dry-run")
                .action(clap::ArgAction::SetTrue)
                .help("Show what would change, without changing it"),
        )
        .arg(base_argument())
        .args(option::change_arguments())
        .args(option::admin_arguments())
}

fn define_diff() -> clap::Command {
    clap::Command::new("diff")
        .about("Shows how a declaration differs from the one in force")
        .arg(file_argument())
        .args(option::admin_arguments())
}

fn define_rollback() -> clap::Command {
    clap::Command::new("rollback")
        .about("Puts the content of an earlier version in force as a new version")
        .arg(
            clap::Arg::new("to")
                .long("to")
                .value_name("VERSION")
                .required(true)
                .value_parser(clap::value_parser!(u64).range(1..))
                .help("Version to restore"),
        )
        .arg(base_argument())
        .args(option::change_arguments())
        .args(option::admin_arguments())
}

fn file_argument() -> clap::Arg {
    clap::Arg::new("file")
        .short('f')
        .long("file")
        .value_name("FILE")
        .required(true)
        .help("TOML file with the declaration")
}

fn base_argument() -> clap::Arg {
    clap::Arg::new("base-version")
        .long("base-version")
        .value_name("VERSION")
        .value_parser(clap::value_parser!(u64))
        .help("Refuse the change if another version is in force")
}

fn run_apply(flags: &clap::ArgMatches) -> Result<ExitStatus> {
    send_declaration(flags, flags.get_flag("dry-run"))
}

fn run_diff(flags: &clap::ArgMatches) -> Result<ExitStatus> {
    send_declaration(flags, true)
}

fn run_rollback(flags: &clap::ArgMatches) -> Result<ExitStatus> {
    let version = flags.get_one::<u64>("to").copied().unwrap_or(0);
    let request = RollbackRequest { version };
    let request = AdminRequest::post("roll back", "/v1/admin/rollback", &request)?;
    send_change(flags, &request)
}

fn send_declaration(flags: &clap::ArgMatches, dry_run: bool) -> Result<ExitStatus> {
    let path = flags.get_one::<String>("file").map_or("", String::as_str);
    let text = option::read_text(path)?;
    // Reports errors of the declaration without a request to an entry VM.
    redwing_model::from_toml(&text).map_err(|e| Error::content(path, e.to_string()))?;
    let query = if dry_run { "?dry-run" } else { "" };
    let request = AdminRequest {
        operation: "apply declaration",
        method: Method::PUT,
        path: format!("/v1/admin/declaration{query}"),
        filter: None,
        body: text,
    };
    send_change(flags, &request)
}

/// Sends a change and prints the response.
pub(crate) fn send_change(flags: &clap::ArgMatches, request: &AdminRequest) -> Result<ExitStatus> {
    let response = AdminClient::new(flags).change(request)?;
    output::print(&output::ChangeText(&response), flags.get_flag("json"))?;
    Ok(output::exit_status(&response))
}

/// Sends a grant and prints the response with its secret.
///
/// # Errors
///
/// Also fails if the grant is in force but its secret was lost with an earlier
/// response.
pub(crate) fn send_grant(flags: &clap::ArgMatches, request: &AdminRequest) -> Result<ExitStatus> {
    let response = AdminClient::new(flags).change(request)?;
    output::print(&output::ChangeText(&response), flags.get_flag("json"))?;
    let is_secret_lost = response.status == ChangeStatus::Accepted && response.secret.is_none();
    if is_secret_lost {
        let message = "the secret was lost with a response; withdraw the hash and grant again";
        return Err(Error::refused(request.operation, "entry process", message));
    }
    Ok(output::exit_status(&response))
}
