//! Text output of responses of the operator API.

use std::fmt;

use redwing_model::admin::{
    AuditEntry, ChangeKind, ChangeResponse, ChangeStatus, ConflictReport, ErrorReport,
    HistoryEntry, NodeStatus, RefusalCause,
};
use redwing_model::diff::FieldDifference;
use serde::Serialize;

use crate::command::ExitStatus;
use crate::error::{Error, Result};

/// Milliseconds in a day.
const DAY_MILLIS: u64 = 86_400_000;

/// Prints `value` as JSON or as text.
///
/// # Errors
///
/// Fails if the value cannot be serialized.
pub fn print<T: fmt::Display + Serialize>(value: &T, as_json: bool) -> Result<()> {
    if !as_json {
        println!("{value}");
        return Ok(());
    }
    let json = serde_json::to_string(value)
        .map_err(|error| Error::content("standard output", error.to_string()))?;
    println!("{json}");
    Ok(())
}

/// Returns the exit status for the response to a change.
pub fn exit_status(response: &ChangeResponse) -> ExitStatus {
    match (response.status, response.cause) {
        (ChangeStatus::Accepted, _) => ExitStatus::Success,
        (ChangeStatus::Pending, _) => ExitStatus::Pending,
        (ChangeStatus::Refused, Some(RefusalCause::Conflict)) => ExitStatus::Conflict,
        (ChangeStatus::Refused, Some(RefusalCause::Invalid)) => ExitStatus::Usage,
        (ChangeStatus::Refused, _) => ExitStatus::Failure,
    }
}

/// Response to a change, as text.
#[derive(Debug, Serialize)]
#[serde(transparent)]
pub struct ChangeText<'a>(pub &'a ChangeResponse);

impl fmt::Display for ChangeText<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let response = self.0;
        let status = match response.status {
            ChangeStatus::Accepted => "accepted",
            ChangeStatus::Refused => "refused",
            ChangeStatus::Pending => "pending",
        };
        write!(formatter, "{status}: {}", response.detail)?;
        if let Some(version) = response.version {
            write!(formatter, "\nversion {version}")?;
        }
        write!(formatter, "\nchange-id {}", response.change)?;
        for difference in &response.differences {
            write!(formatter, "\n  {}", DifferenceText(difference))?;
        }
        for error in &response.errors {
            write!(formatter, "\n  {}", ErrorText(error))?;
        }
        if let Some(conflict) = &response.conflict {
            write_conflict(formatter, conflict)?;
        }
        if let Some(hash) = &response.hash {
            write!(formatter, "\nhash {}", hash.to_hex())?;
        }
        if let Some(secret) = &response.secret {
            write!(formatter, "\nsecret {secret}")?;
        }
        Ok(())
    }
}

fn write_conflict(formatter: &mut fmt::Formatter<'_>, conflict: &ConflictReport) -> fmt::Result {
    write!(
        formatter,
        "\nyour change is based on version {}; version {} by {} (change {}) is in force",
        conflict.base_version, conflict.head_version, conflict.head_operator, conflict.head_change
    )?;
    write!(
        formatter,
        "\nchanged since version {}:",
        conflict.base_version
    )?;
    for difference in &conflict.changed_since_base {
        write!(formatter, "\n  {}", DifferenceText(difference))?;
    }
    write!(
        formatter,
        "\nyour change, applied to version {}:",
        conflict.head_version
    )?;
    for difference in &conflict.proposed {
        write!(formatter, "\n  {}", DifferenceText(difference))?;
    }
    Ok(())
}

/// One difference, as text.
struct DifferenceText<'a>(&'a FieldDifference);

impl fmt::Display for DifferenceText<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let field = &self.0.field;
        match (&self.0.before, &self.0.after) {
            (Some(before), Some(after)) => write!(formatter, "~ {field}: {before} -> {after}"),
            (Some(before), None) => write!(formatter, "- {field}: {before}"),
            (None, Some(after)) => write!(formatter, "+ {field}: {after}"),
            (None, None) => write!(formatter, "  {field}"),
        }
    }
}

/// One error of a declaration, as text.
struct ErrorText<'a>(&'a ErrorReport);

impl fmt::Display for ErrorText<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let error = self.0;
        if let (Some(line), Some(column)) = (error.line, error.column) {
            write!(formatter, "line {line}, column {column}: ")?;
        }
        if !error.field.is_empty() {
            write!(formatter, "{}: ", error.field)?;
        }
        formatter.write_str(&error.message)
    }
}

/// History of the configuration, as text.
#[derive(Debug, Serialize)]
#[serde(transparent)]
pub struct HistoryText<'a>(pub &'a [HistoryEntry]);

impl fmt::Display for HistoryText<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:>8} {:>8} {:<20} {:<16} change",
            "version", "from", "time", "operator"
        )?;
        for entry in self.0 {
            write!(
                formatter,
                "\n{:>8} {:>8} {:<20} {:<16} {} ({})",
                entry.version,
                entry.from_version,
                utc_text(entry.at_millis),
                entry.operator,
                kind_text(&entry.kind),
                entry.change
            )?;
        }
        Ok(())
    }
}

fn kind_text(kind: &ChangeKind) -> String {
    match kind {
        ChangeKind::Apply => "apply".to_owned(),
        ChangeKind::Rollback { to_version } => format!("rollback to {to_version}"),
        ChangeKind::GrantKey {
            customer, queue, ..
        } => {
            let queue = queue.as_ref().map_or("every queue", |queue| queue.as_str());
            format!("grant key of {customer} for {queue}")
        }
        ChangeKind::WithdrawKey { hash } => format!("withdraw key {}", hash.to_hex()),
        ChangeKind::GrantOperator { name, .. } => format!("grant operator {name}"),
        ChangeKind::WithdrawOperator { hash } => format!("withdraw operator {}", hash.to_hex()),
        ChangeKind::Evacuate { data_centre, .. } => format!("evacuate {data_centre}"),
        ChangeKind::UndoEvacuation { data_centre } => format!("undo evacuation of {data_centre}"),
    }
}

/// Status of an entry process, as text.
#[derive(Debug, Serialize)]
#[serde(transparent)]
pub struct StatusText<'a>(pub &'a NodeStatus);

impl fmt::Display for StatusText<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let status = self.0;
        writeln!(formatter, "node {}", status.node)?;
        writeln!(formatter, "version {}", status.version)?;
        writeln!(formatter, "ready {}", yes_no(status.ready))?;
        writeln!(formatter, "accepts-keyed {}", yes_no(status.accepts_keyed))?;
        writeln!(
            formatter,
            "table-reachable {}",
            yes_no(status.table_reachable)
        )?;
        write!(
            formatter,
            "majority-reachable {}",
            yes_no(status.majority_reachable)
        )?;
        for data_centre in &status.evacuated {
            write!(formatter, "\nevacuated {data_centre}")?;
        }
        for member in &status.members {
            write!(
                formatter,
                "\nmember {} version {} reachable {}",
                member.node,
                member.version,
                yes_no(member.reachable)
            )?;
        }
        Ok(())
    }
}

fn yes_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

/// One entry of the audit trail, as text.
#[derive(Debug, Serialize)]
#[serde(transparent)]
pub struct AuditText<'a>(pub &'a AuditEntry);

impl fmt::Display for AuditText<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let entry = self.0;
        write!(
            formatter,
            "{} {} {} {} {}",
            utc_text(entry.at_millis),
            entry.actor,
            entry.action,
            entry.subject,
            entry.result
        )?;
        if let (Some(from), Some(to)) = (entry.from_version, entry.to_version) {
            write!(formatter, " version {from} -> {to}")?;
        }
        if !entry.reason.is_empty() {
            write!(formatter, " ({})", entry.reason)?;
        }
        write!(formatter, " [{} #{}]", entry.node, entry.sequence)
    }
}

/// Formats a time in milliseconds since the Unix epoch as RFC 3339, in UTC.
///
/// # Examples
///
/// ```
/// assert_eq!(redwing_ctl::output::utc_text(951_782_400_000), "2000-02-29T00:00:00Z");
/// ```
pub fn utc_text(at_millis: u64) -> String {
    let seconds = at_millis % DAY_MILLIS / 1_000;
    let (year, month, day) = date_of(at_millis / DAY_MILLIS);
    format!(
        "{year:04}-{month:02}-{day:02}T{:02}:{:02}:{:02}Z",
        seconds / 3_600,
        seconds / 60 % 60,
        seconds % 60
    )
}

/// Returns year, month and day for a number of days since 1970-01-01.
///
/// Computes with years that begin in March, so that the leap day is the last
/// day of a year.
fn date_of(days: u64) -> (u64, u64, u64) {
    // Days from 0000-03-01 to 1970-01-01.
    let shifted = days + 719_468;
    let era = shifted / 146_097;
    let day_of_era = shifted % 146_097;
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 {
        shifted_month + 3
    } else {
        shifted_month - 9
    };
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    (year, month, day)
}
