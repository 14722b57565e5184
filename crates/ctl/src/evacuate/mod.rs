//! The `evacuate` subcommand: evacuates a data centre, or undoes that.

mod platform;

use std::net;
use std::time;

use actix_http::Method;
use clap::parser::ValueSource;
use redwing_model::DataCentre;
use redwing_model::admin::{ChangeResponse, EvacuationRequest};

use crate::client::{AdminClient, AdminRequest};
use crate::command::{CommandEntry, ExitStatus};
use crate::error::{Error, Result};
use crate::option;
use crate::output;

/// Evacuates a data centre, or undoes that.
pub(crate) const COMMAND: CommandEntry = CommandEntry {
    name: "evacuate",
    define,
    run,
};

/// Longest name of a data centre, in bytes; it is part of the key of a row.
const MAX_NAME_BYTES: usize = 128;

fn define() -> clap::Command {
    let flag = |name: &'static str, help: &'static str| {
        clap::Arg::new(name)
            .long(name)
            .action(clap::ArgAction::SetTrue)
            .help(help)
    };
    // With `--platform`, no entry process is called.
    let admin_arguments =
        option::admin_arguments()
            .into_iter()
            .map(|argument| match argument.get_id().as_str() {
                "admin" | "token" => argument.required(false).required_unless_present("platform"),
                _ => argument,
            });
    clap::Command::new("evacuate")
        .about("Evacuates a data centre: no new work starts there until that is undone")
        .after_help(
            "Exit status: 0 confirmed, or in force already; 1 refused; 2 a flag is wrong; \
             4 it may have taken effect: repeat the command.",
        )
        .arg(
            clap::Arg::new("data-centre")
                .value_name("DATA-CENTRE")
                .required(true)
                .value_parser(parse_data_centre)
                .help("Data centre to evacuate"),
        )
        .arg(flag("undo", "Undo the evacuation"))
        .arg(flag("also", "Evacuate although another one is evacuated").conflicts_with("undo"))
        .arg(
            clap::Arg::new("platform")
                .long("platform")
                .value_name("ADDRESS")
                .value_parser(parse_platform)
                .help("Address of the users' platform, for jobs, in place of --admin: IP:PORT"),
        )
        .args(option::change_arguments())
        .args(admin_arguments)
}

/// Parses the name of a data centre, which is part of a path or of a row's key.
fn parse_data_centre(text: &str) -> std::result::Result<String, String> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(is_allowed) {
        return Ok(text.to_owned());
    }
    Err(format!(
        "use 1 to {MAX_NAME_BYTES} letters, digits, hyphens, underscores and dots"
    ))
}

/// Parses an address `IP:PORT` or `http://IP:PORT`.
fn parse_platform(text: &str) -> std::result::Result<net::SocketAddr, String> {
    let address = text.parse().ok().or_else(|| option::socket_address(text));
    address.ok_or_else(|| "use IP:PORT".to_owned())
}

fn run(flags: &clap::ArgMatches) -> Result<ExitStatus> {
    let response = match flags.get_one::<net::SocketAddr>("platform") {
        Some(address) => change_platform(flags, *address)?,
        None => change_configuration(flags)?,
    };
    output::print(&output::ChangeText(&response), flags.get_flag("json"))?;
    Ok(output::exit_status(&response))
}

fn name_of(flags: &clap::ArgMatches) -> &str {
    let name = flags.get_one::<String>("data-centre");
    name.map_or("", String::as_str)
}

/// Evacuates through the operator API of the request path.
fn change_configuration(flags: &clap::ArgMatches) -> Result<ChangeResponse> {
    let name = DataCentre::new(name_of(flags))
        .map_err(|error| Error::flag("DATA-CENTRE", name_of(flags), error.to_string()))?;
    let path = format!("/v1/admin/evacuations/{name}");
    let request = match flags.get_flag("undo") {
        true => AdminRequest {
            method: Method::DELETE,
            ..AdminRequest::get("undo evacuation", path)
        },
        false => {
            let also = flags.get_flag("also");
            AdminRequest::post("evacuate", &path, &EvacuationRequest { also })?
        }
    };
    AdminClient::new(flags).change(&request)
}

/// Evacuates through the table of the users' platform.
fn change_platform(flags: &clap::ArgMatches, address: net::SocketAddr) -> Result<ChangeResponse> {
    if flags.value_source("admin") == Some(ValueSource::CommandLine) {
        let allowed = "give either --platform or --admin";
        return Err(Error::flag("--platform", address.to_string(), allowed));
    }
    let wait = flags.get_one::<f64>("wait").copied().unwrap_or(0.0);
    let command = platform::EvacuationCommand {
        data_centre: redwing_jobs::name::DataCentre::new(name_of(flags)),
        is_undo: flags.get_flag("undo"),
        also: flags.get_flag("also"),
        change: flags
            .get_one::<String>("change-id")
            .cloned()
            .unwrap_or_else(AdminClient::generate_id),
        wait: time::Duration::from_secs_f64(wait),
    };
    Ok(actix_rt::System::new().block_on(platform::execute(address, &command)))
}
