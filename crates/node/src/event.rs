//! Numbered events, the only form in which the process writes logs.
//!
//! `docs/EVENTS.md` lists each number with its meaning. Numbers are grouped:
//! 100 to 199 process and request path, 200 to 299 configuration, keys and
//! audit, 300 to 399 membership, peers and holdings, 400 to 499 maintenance.

use std::fmt;

/// Number and name of an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventCode {
    /// Number, unique and never used again.
    pub number: u16,
    /// Name in kebab case.
    pub name: &'static str,
}

impl fmt::Display for EventCode {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "E{:03} {}", self.number, self.name)
    }
}

/// Logs an event: level, code, then a message as for `format!`.
macro_rules! log_event {
    ($level:ident, $code:expr, $($message:tt)+) => {
        ::log::$level!(
            event = $code.number;
            "{} {}", $code, ::std::format_args!($($message)+)
        )
    };
}

macro_rules! event_codes {
    ($($(#[$doc:meta])* $constant:ident = $number:literal $name:literal;)*) => {
        $($(#[$doc])* pub const $constant: EventCode = EventCode { number: $number, name: $name };)*

        /// All events, in the order of their numbers.
        pub const ALL_EVENTS: &[EventCode] = &[$($constant),*];
    };
}

event_codes! {
    /// The process accepts requests.
    PROCESS_READY = 100 "process-ready";
    /// The process was asked to stop and is finishing what it holds.
    PROCESS_STOPPING = 101 "process-stopping";
    /// The process has finished everything and ends.
    PROCESS_STOPPED = 102 "process-stopped";
    /// The process ends although something had not finished in time.
    STOP_INCOMPLETE = 103 "stop-incomplete";
    /// A stand-in backend server runs in this process.
    STANDIN_BACKEND = 104 "standin-backend";
    /// An attempt at a backend server failed.
    ATTEMPT_FAILED = 110 "attempt-failed";
    /// An answer of a backend server broke off; the caller's connection is aborted.
    ANSWER_TRUNCATED = 111 "answer-truncated";
    /// A message to another entry process could not be handed to its sender.
    OUTBOX_CLOSED = 120 "outbox-closed";
    /// A version of the configuration was put in force.
    CONFIG_INSTALLED = 200 "config-installed";
    /// Rows of the configuration could not be read; what was in force stays.
    CONFIG_MALFORMED = 201 "config-malformed";
    /// The table did not tell what changed in the configuration.
    CONFIG_UNREAD = 202 "config-unread";
    /// Whether requests with keys are accepted has changed.
    KEYED_WORK_CHANGED = 203 "keyed-work-changed";
    /// Entries of the audit trail could not be written yet.
    AUDIT_DELAYED = 210 "audit-delayed";
    /// Entries of the audit trail were dropped because the buffer is full.
    AUDIT_DROPPED = 211 "audit-dropped";
    /// Log lines were dropped because nobody read them.
    LOG_DROPPED = 212 "log-dropped";
    /// The listener for operators failed.
    ADMIN_FAILED = 220 "admin-failed";
    /// A claim could not be released or completed yet.
    CLAIM_DELAYED = 230 "claim-delayed";
    /// The process has registered in the table.
    MEMBER_REGISTERED = 300 "member-registered";
    /// The table did not take the registration yet; it is tried again.
    MEMBER_UNREGISTERED = 301 "member-unregistered";
    /// A newer process runs on the VM; this one stops.
    MEMBER_REPLACED = 302 "member-replaced";
    /// The process has given its tokens to the others and removed its row.
    MEMBER_LEFT = 303 "member-left";
    /// The process ends without having given its tokens back.
    LEAVE_FAILED = 304 "leave-failed";
    /// A membership round failed; it is tried again.
    ROUND_FAILED = 305 "round-failed";
    /// The process stood still for so long that its place may be taken.
    PAUSE_NOTICED = 306 "pause-noticed";
    /// A step of maintenance took effect.
    MAINTENANCE_STEP = 400 "maintenance-step";
    /// A step of maintenance could not be committed; the next round plans anew.
    MAINTENANCE_STEP_FAILED = 401 "maintenance-step-failed";
    /// The platform did not confirm a reboot or checkpoint; it is asked again.
    MAINTENANCE_CALL_FAILED = 402 "maintenance-call-failed";
    /// A row of maintenance is malformed and left alone.
    MAINTENANCE_ROW_MALFORMED = 403 "maintenance-row-malformed";
    /// A round of maintenance could not read the table.
    MAINTENANCE_ROUND_FAILED = 404 "maintenance-round-failed";
    /// An operator's command on a roll-out took effect.
    ROLLOUT_COMMANDED = 410 "rollout-commanded";
}
