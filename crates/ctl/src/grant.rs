//! Subcommands that grant and withdraw keys of customers and tokens of operators.

use std::fmt;

use actix_http::Method;
use redwing_model::admin::{KeyRequest, KeyView, OperatorRequest, OperatorView};
use redwing_model::{CustomerName, KeyHash, QueueName};
use serde::Serialize;

use crate::apply;
use crate::client::{AdminClient, AdminRequest};
use crate::command::{CommandEntry, ExitStatus};
use crate::error::{Error, Result};
use crate::option;
use crate::output;

/// Path of the keys of customers.
const KEYS_PATH: &str = "/v1/admin/keys";

/// Path of the tokens of operators.
const OPERATORS_PATH: &str = "/v1/admin/operators";

/// Grants, withdraws and lists keys of customers.
pub(crate) const KEY: CommandEntry = CommandEntry {
    name: "key",
    define: define_key,
    run: run_key,
};

/// Grants, withdraws and lists tokens of operators.
pub(crate) const OPERATOR: CommandEntry = CommandEntry {
    name: "operator",
    define: define_operator,
    run: run_operator,
};

fn define_key() -> clap::Command {
    let grant = clap::Command::new("grant")
        .about("Grants a key and prints its secret, which cannot be shown again")
        .arg(
            clap::Arg::new("team")
                .long("team")
                .value_name("CUSTOMER")
                .required(true)
                .value_parser(parse_name::<CustomerName>)
                .help("Customer that owns the key"),
        )
        .arg(
            clap::Arg::new("queue")
                .long("queue")
                .value_name("QUEUE")
                .value_parser(parse_name::<QueueName>)
                .help("Queue that the key gives access to [default: every queue]"),
        );
    define_commands(
        "key",
        "Grants, withdraws and lists keys of customers",
        grant,
    )
}

fn define_operator() -> clap::Command {
    let grant = clap::Command::new("grant")
        .about("Grants a token and prints its secret, which cannot be shown again")
        .arg(
            clap::Arg::new("name")
                .long("name")
                .value_name("NAME")
                .required(true)
                .help("Name of the operator"),
        );
    define_commands(
        "operator",
        "Grants, withdraws and lists tokens of operators",
        grant,
    )
}

fn define_commands(name: &'static str, about: &'static str, grant: clap::Command) -> clap::Command {
    let withdraw = clap::Command::new("withdraw")
        .about("Withdraws a grant")
        .arg(
            clap::Arg::new("hash")
                .long("hash")
                .value_name("HASH")
                .value_parser(parse_hash)
                .required(true)
                .help("SHA-256 digest of the secret, as shown by `list`"),
        );
    let list = clap::Command::new("list").about("Lists the grants in force");
    let change = |command: clap::Command| {
        command
            .args(option::change_arguments())
            .args(option::admin_arguments())
    };
    clap::Command::new(name)
        .about(about)
        .subcommand_required(true)
        .subcommand(change(grant))
        .subcommand(change(withdraw))
        .subcommand(list.args(option::admin_arguments()))
}

fn parse_hash(text: &str) -> std::result::Result<KeyHash, String> {
    KeyHash::from_hex(text).map_err(|_| "use 64 lower-case hexadecimal digits".to_owned())
}

fn parse_name<T: std::str::FromStr<Err = redwing_model::Error>>(
    text: &str,
) -> std::result::Result<T, String> {
    text.parse()
        .map_err(|error: redwing_model::Error| error.to_string())
}

fn run_key(flags: &clap::ArgMatches) -> Result<ExitStatus> {
    match flags.subcommand() {
        Some(("grant", flags)) => {
            let Some(customer) = flags.get_one::<CustomerName>("team").cloned() else {
                return Err(Error::flag("--team", "", "specify a customer"));
            };
            let queue = flags.get_one::<QueueName>("queue").cloned();
            let request = KeyRequest { customer, queue };
            let request = AdminRequest::post("grant key", KEYS_PATH, &request)?;
            apply::send_grant(flags, &request)
        }
        Some(("withdraw", flags)) => withdraw(flags, "withdraw key", KEYS_PATH),
        Some((_, flags)) => list_rows::<KeyView>(flags, "list keys", KEYS_PATH, |key| {
            let queue = key.queue.as_ref().map_or("*", |queue| queue.as_str());
            format!("{} {} {}", key.hash.to_hex(), key.customer, queue)
        }),
        None => Ok(ExitStatus::Usage),
    }
}

fn run_operator(flags: &clap::ArgMatches) -> Result<ExitStatus> {
    match flags.subcommand() {
        Some(("grant", flags)) => {
            let name = flags.get_one::<String>("name").cloned();
            let request = OperatorRequest {
                name: name.unwrap_or_default(),
            };
            let request = AdminRequest::post("grant operator", OPERATORS_PATH, &request)?;
            apply::send_grant(flags, &request)
        }
        Some(("withdraw", flags)) => withdraw(flags, "withdraw operator", OPERATORS_PATH),
        Some((_, flags)) => {
            list_rows::<OperatorView>(flags, "list operators", OPERATORS_PATH, |token| {
                format!("{} {}", token.hash.to_hex(), token.name)
            })
        }
        None => Ok(ExitStatus::Usage),
    }
}

fn withdraw(flags: &clap::ArgMatches, operation: &'static str, path: &str) -> Result<ExitStatus> {
    let Some(hash) = flags.get_one::<KeyHash>("hash") else {
        return Err(Error::flag("--hash", "", "specify a digest"));
    };
    let request = AdminRequest {
        operation,
        method: Method::DELETE,
        path: format!("{path}/{}", hash.to_hex()),
        filter: None,
        body: String::new(),
    };
    apply::send_change(flags, &request)
}

/// List with one row per line.
#[derive(Serialize)]
#[serde(transparent)]
struct RowList<T> {
    rows: Vec<T>,
    #[serde(skip)]
    format_row: Option<fn(&T) -> String>,
}

impl<T> fmt::Display for RowList<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self
            .format_row
            .map(|format_row| self.rows.iter().map(format_row).collect())
            .unwrap_or_default();
        formatter.write_str(&lines.join("\n"))
    }
}

fn list_rows<T: serde::de::DeserializeOwned + Serialize>(
    flags: &clap::ArgMatches,
    operation: &'static str,
    path: &str,
    format_row: fn(&T) -> String,
) -> Result<ExitStatus> {
    let rows: Vec<T> = AdminClient::new(flags).read(&AdminRequest::get(operation, path))?;
    let list = RowList {
        rows,
        format_row: Some(format_row),
    };
    output::print(&list, flags.get_flag("json"))?;
    Ok(ExitStatus::Success)
}
