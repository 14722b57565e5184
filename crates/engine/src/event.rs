//! Numbered log events of the engine, which logs in no other form.
//!
//! `docs/EVENTS.md` lists each number with its meaning; the engine uses the
//! numbers 500 to 599.

/// Logs an event: level, number and name, then its fields as `name = value`.
///
/// Values are written with their `Display` form.
#[macro_export]
macro_rules! log_job_event {
    ($level:ident, $code:expr $(, $field:ident = $value:expr)* $(,)?) => {
        ::log::$level!(
            event = $code.number;
            concat!("E{:03} {}" $(, " ", stringify!($field), "={}")*),
            $code.number, $code.name $(, $value)*
        )
    };
}

/// Number and name of an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JobEvent {
    /// Number, unique and never reused.
    pub number: u16,
    /// Name in kebab case.
    pub name: &'static str,
}

macro_rules! job_events {
    ($($(#[$doc:meta])* $constant:ident = $number:literal $name:literal;)*) => {
        $($(#[$doc])* pub const $constant: JobEvent = JobEvent { number: $number, name: $name };)*

        /// All events of the engine, in the order of their numbers.
        pub const ALL_JOB_EVENTS: &[JobEvent] = &[$($constant),*];
    };
}

job_events! {
    /// The process has started to serve callers.
    ENGINE_STARTED = 500 "engine-started";
    /// The process received a signal to stop.
    ENGINE_STOPPING = 501 "engine-stopping";
    /// The process has stopped serving and exits.
    ENGINE_STOPPED = 502 "engine-stopped";
    /// The process received a signal to reload its settings.
    SETTINGS_RELOADED = 503 "settings-reloaded";
    /// The metrics could not be encoded for a request.
    METRICS_UNWRITTEN = 504 "metrics-unwritten";
    /// A job was accepted and is stored.
    JOB_ACCEPTED = 510 "job-accepted";
    /// A call of a caller was refused or failed.
    CALL_REFUSED = 511 "call-refused";
    /// A job was cancelled by its caller.
    JOB_CANCELLED = 512 "job-cancelled";
    /// A job was cancelled before it was stored.
    JOB_WITHDRAWN = 516 "job-withdrawn";
    /// A job reached a final state.
    JOB_ENDED = 513 "job-ended";
    /// Tasks of a job were placed on workers.
    TASKS_PLACED = 514 "tasks-placed";
    /// A run ended without completing its task, or a worker rejected an order
    /// whose reply has no further effect.
    RUN_ENDED = 515 "run-ended";
    /// A row could not be decoded or encoded; it is skipped.
    ROW_MALFORMED = 520 "row-malformed";
    /// A version of the manifest came into force.
    MANIFEST_INSTALLED = 521 "manifest-installed";
    /// The table is unreachable; reads are retried.
    TABLE_LOST = 522 "table-lost";
    /// The table is reachable again.
    TABLE_BACK = 523 "table-back";
    /// A row that the request of a caller needs could not be read.
    ROW_UNREAD = 524 "row-unread";
    /// An attempt to store a row for a caller failed; it is retried until the time
    /// limit, unless the table refused it.
    ROW_UNSTORED = 525 "row-unstored";
    /// The rows of a job that finished long ago could not be deleted; the next
    /// owner retries.
    CLEANUP_FAILED = 526 "cleanup-failed";
    /// The process has acquired the ownership of the scheduling.
    OWNER_BEGUN = 530 "owner-begun";
    /// The process has lost or released the ownership of the scheduling.
    OWNER_ENDED = 531 "owner-ended";
    /// An attempt to store a change failed; it is retried until the time
    /// limit has passed. Also logged if a change cannot be encoded.
    CHANGE_DELAYED = 532 "change-delayed";
    /// The process was paused for so long that another may own the scheduling.
    PAUSE_NOTICED = 533 "pause-noticed";
    /// A new owner has read the stored rows.
    ROWS_READ = 534 "rows-read";
    /// A new owner could not read the stored rows; logs what had arrived.
    ROWS_INCOMPLETE = 535 "rows-incomplete";
    /// The table refused a change; its rows are stored with smaller changes.
    CHANGE_REFUSED = 536 "change-refused";
    /// The table does not take a row; it is left out until its content changes.
    ROW_SET_ASIDE = 537 "row-set-aside";
    /// The status of a worker changed.
    WORKER_CHANGED = 540 "worker-changed";
    /// The platform responded to an order for maintenance or a move of a machine.
    MACHINE_ORDERED = 541 "machine-ordered";
    /// A call about a machine failed.
    MACHINE_CALL_FAILED = 542 "machine-call-failed";
    /// The state of a wave of maintenance changed.
    WAVE_CHANGED = 543 "wave-changed";
    /// A request to the advisor failed; it is repeated later.
    ADVICE_FAILED = 544 "advice-failed";
    /// Runs on an unresponsive worker begin to wait for the end of its leases.
    LEASE_AWAITED = 545 "lease-awaited";
    /// A wave of maintenance waits for machines that are not up, or its time is over.
    WAVE_DELAYED = 546 "wave-delayed";
    /// A wave of maintenance is not carried out, because its progress cannot be stored.
    WAVE_REFUSED = 547 "wave-refused";
    /// A new owner has read when the leases of earlier owners expire.
    LEASES_INHERITED = 548 "leases-inherited";
    /// The evacuation of a data centre began or ended.
    EVACUATION_CHANGED = 550 "evacuation-changed";
    /// No run is left in an evacuated data centre.
    EVACUATION_DRAINED = 551 "evacuation-drained";
    /// Starts began or ceased to wait because the operators' rows were read too long ago.
    STARTS_WITHHELD = 552 "starts-withheld";
    /// A worker with runs ended, or could not be reached until its leases had expired.
    WORKER_LOST = 553 "worker-lost";
    /// A worker crashed under a run; it counts against its task.
    TASK_SUSPECTED = 554 "task-suspected";
}
