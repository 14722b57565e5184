//! Numbered log events; every log line of the process has one.
//!
//! `docs/EVENTS.md` lists each number with its meaning. Numbers are grouped:
//! 100 to 199 process and request path, 200 to 299 configuration, keys and
//! audit, 300 to 399 membership, peers and token ownership, 400 to 499
//! maintenance.

use std::fmt;

/// Number and name of an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventCode {
    /// Number, unique and never reused.
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
    /// The process received a stop signal and is finishing its requests.
    PROCESS_STOPPING = 101 "process-stopping";
    /// The process has finished all requests and exits.
    PROCESS_STOPPED = 102 "process-stopped";
    /// The process exits although requests or token returns did not finish in time.
    STOP_INCOMPLETE = 103 "stop-incomplete";
    /// A stand-in backend server runs in this process.
    STANDIN_BACKEND = 104 "standin-backend";
    /// An attempt at a backend server failed.
    ATTEMPT_FAILED = 110 "attempt-failed";
    /// A response of a backend server was truncated; the caller's connection is aborted.
    ANSWER_TRUNCATED = 111 "answer-truncated";
    /// A message to another entry process could not be queued for sending.
    OUTBOX_CLOSED = 120 "outbox-closed";
    /// A version of the configuration was installed.
    CONFIG_INSTALLED = 200 "config-installed";
    /// Configuration rows are malformed; the previous version stays installed.
    CONFIG_MALFORMED = 201 "config-malformed";
    /// Changes of the configuration could not be read from the table.
    CONFIG_UNREAD = 202 "config-unread";
    /// The process started or stopped accepting requests with keys.
    KEYED_WORK_CHANGED = 203 "keyed-work-changed";
    /// An evacuation of a data centre began or ended at this process.
    EVACUATION_INSTALLED = 204 "evacuation-installed";
    /// The process stopped or resumed sending requests, by the age of its configuration.
    DISPATCH_HELD = 205 "dispatch-held";
    /// Entries of the audit trail could not be written yet.
    AUDIT_DELAYED = 210 "audit-delayed";
    /// Entries of the audit trail were dropped because the buffer is full.
    AUDIT_DROPPED = 211 "audit-dropped";
    /// Log lines were dropped because the log output was blocked.
    LOG_DROPPED = 212 "log-dropped";
    /// The listener for operators failed.
    ADMIN_FAILED = 220 "admin-failed";
    /// A claim could not be released or completed yet.
    CLAIM_DELAYED = 230 "claim-delayed";
    /// The process has registered in the table.
    MEMBER_REGISTERED = 300 "member-registered";
    /// The registration could not be committed yet; it is retried.
    MEMBER_UNREGISTERED = 301 "member-unregistered";
    /// A newer process runs on the VM; this process stops.
    MEMBER_REPLACED = 302 "member-replaced";
    /// The process has transferred its tokens to the other members and removed its row.
    MEMBER_LEFT = 303 "member-left";
    /// The process exits without having returned its tokens.
    LEAVE_FAILED = 304 "leave-failed";
    /// A membership round failed; it is retried.
    ROUND_FAILED = 305 "round-failed";
    /// The process was paused for so long that another one may have replaced it.
    PAUSE_NOTICED = 306 "pause-noticed";
    /// A maintenance step took effect.
    MAINTENANCE_STEP = 400 "maintenance-step";
    /// A maintenance step could not be committed; the next round plans again.
    MAINTENANCE_STEP_FAILED = 401 "maintenance-step-failed";
    /// The platform did not confirm a reboot or checkpoint; the call is retried.
    MAINTENANCE_CALL_FAILED = 402 "maintenance-call-failed";
    /// A maintenance row is malformed and is ignored.
    MAINTENANCE_ROW_MALFORMED = 403 "maintenance-row-malformed";
    /// A maintenance round could not read the table.
    MAINTENANCE_ROUND_FAILED = 404 "maintenance-round-failed";
    /// An operator's command on a roll-out took effect.
    ROLLOUT_COMMANDED = 410 "rollout-commanded";
}
