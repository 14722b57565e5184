//! The `audit` subcommand.

use std::time;

use redwing_model::NodeId;
use redwing_model::admin::{AuditEntry, AuditFilter};

use crate::client::{AdminClient, AdminRequest};
use crate::command::{CommandEntry, ExitStatus};
use crate::error::{Error, Result};
use crate::option;
use crate::output;

/// Reads the audit trail.
pub(crate) const COMMAND: CommandEntry = CommandEntry {
    name: "audit",
    define,
    run,
};

fn define() -> clap::Command {
    let text = |name: &'static str, value: &'static str, help: &'static str| {
        clap::Arg::new(name).long(name).value_name(value).help(help)
    };
    clap::Command::new("audit")
        .about("Shows changes by operators and decisions of the system")
        .arg(
            text(
                "since",
                "AGE",
                "Maximum age of entries, for example 90s, 15m, 2h or 7d",
            )
            .value_parser(parse_age),
        )
        .arg(
            text("until", "AGE", "Minimum age of entries, for example 15m").value_parser(parse_age),
        )
        .arg(text("actor", "NAME", "Operator, or `system`"))
        .arg(text(
            "action",
            "ACTION",
            "Action, for example `apply` or `drain`",
        ))
        .arg(text(
            "subject",
            "PREFIX",
            "Start of the subject, for example `vm/`",
        ))
        .arg(text("node", "NODE", "Entry VM that wrote the entry").value_parser(parse_node))
        .arg(
            text(
                "limit",
                "N",
                "Maximum number of entries; the latest are shown",
            )
            .default_value("100")
            .value_parser(clap::value_parser!(u64).range(1..=100_000)),
        )
        .args(option::admin_arguments())
}

/// Parses an age such as `90s`, `15m`, `2h` or `7d`.
fn parse_age(text: &str) -> std::result::Result<time::Duration, String> {
    let age_error = || "use a count and a unit: 90s, 15m, 2h or 7d".to_owned();
    let (unit_start, unit) = text.char_indices().next_back().ok_or_else(age_error)?;
    let seconds: u64 = match unit {
        's' => 1,
        'm' => 60,
        'h' => 3_600,
        'd' => 86_400,
        _ => return Err(age_error()),
    };
    let count: u64 = text[..unit_start].parse().map_err(|_| age_error())?;
    let total = count.checked_mul(seconds).ok_or_else(age_error)?;
    Ok(time::Duration::from_secs(total))
}

fn parse_node(text: &str) -> std::result::Result<NodeId, String> {
    NodeId::new(text).map_err(|error| error.to_string())
}

fn run(flags: &clap::ArgMatches) -> Result<ExitStatus> {
    let request = AdminRequest {
        filter: Some(filter_from(flags)),
        ..AdminRequest::get("read audit trail", "/v1/admin/audit")
    };
    let text = AdminClient::new(flags).read_text(&request)?;
    for line in text.lines().filter(|line| !line.is_empty()) {
        let entry: AuditEntry = serde_json::from_str(line)
            .map_err(|e| Error::refused("read audit trail", "entry process", e.to_string()))?;
        output::print(&output::AuditText(&entry), flags.get_flag("json"))?;
    }
    Ok(ExitStatus::Success)
}

fn filter_from(flags: &clap::ArgMatches) -> AuditFilter {
    let text = |name| flags.get_one::<String>(name).cloned();
    let millis = |name| {
        let age = flags.get_one::<time::Duration>(name)?;
        let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let limit = now.unwrap_or_default().saturating_sub(*age);
        u64::try_from(limit.as_millis()).ok()
    };
    let limit = flags.get_one::<u64>("limit");
    AuditFilter {
        since_millis: millis("since"),
        until_millis: millis("until"),
        actor: text("actor"),
        action: text("action"),
        subject: text("subject"),
        node: flags.get_one::<NodeId>("node").cloned(),
        limit: limit.and_then(|limit| usize::try_from(*limit).ok()),
    }
}
