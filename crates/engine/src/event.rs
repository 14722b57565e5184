//! Numbered events of the engine, the only form in which it writes logs.
//!
//! `docs/EVENTS.md` lists each number with its meaning; the engine uses 500
//! to 599.

/// Logs an event: level, number, name, then its fields as `name = value`.
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
    /// Number, unique and never used again.
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
    /// The process serves callers.
    ENGINE_STARTED = 500 "engine-started";
    /// The process was told to stop.
    ENGINE_STOPPING = 501 "engine-stopping";
    /// The process has finished and ends.
    ENGINE_STOPPED = 502 "engine-stopped";
    /// The process was told that its settings changed.
    SETTINGS_RELOADED = 503 "settings-reloaded";
    /// The metrics could not be written for their reader.
    METRICS_UNWRITTEN = 504 "metrics-unwritten";
    /// A job was accepted and is stored.
    JOB_ACCEPTED = 510 "job-accepted";
    /// A call of a caller was refused or could not be answered.
    CALL_REFUSED = 511 "call-refused";
    /// A job was cancelled by its caller.
    JOB_CANCELLED = 512 "job-cancelled";
    /// A job reached a final state.
    JOB_ENDED = 513 "job-ended";
    /// Tasks of a job were given to workers.
    TASKS_PLACED = 514 "tasks-placed";
    /// A run ended without being done.
    RUN_ENDED = 515 "run-ended";
    /// A row could not be read; it is left out.
    ROW_MALFORMED = 520 "row-malformed";
    /// A version of the manifest was put in force.
    MANIFEST_INSTALLED = 521 "manifest-installed";
    /// The table does not answer.
    TABLE_LOST = 522 "table-lost";
    /// The table answers again.
    TABLE_BACK = 523 "table-back";
    /// A row that a caller asked for could not be read.
    ROW_UNREAD = 524 "row-unread";
    /// A row could not be stored for a caller yet.
    ROW_UNSTORED = 525 "row-unstored";
    /// The rows of a job that finished long ago could not be deleted yet.
    CLEANUP_FAILED = 526 "cleanup-failed";
    /// The process owns the scheduling.
    OWNER_BEGUN = 530 "owner-begun";
    /// The process does not own the scheduling any more.
    OWNER_ENDED = 531 "owner-ended";
    /// A change could not be stored yet; it is tried again.
    CHANGE_DELAYED = 532 "change-delayed";
    /// The process stood still for so long that another may own the scheduling.
    PAUSE_NOTICED = 533 "pause-noticed";
    /// What is believed of a worker changed.
    WORKER_CHANGED = 540 "worker-changed";
    /// A machine was given upkeep or another pool.
    MACHINE_ORDERED = 541 "machine-ordered";
    /// A call about a machine failed.
    MACHINE_CALL_FAILED = 542 "machine-call-failed";
    /// The state of a wave of upkeep changed.
    WAVE_CHANGED = 543 "wave-changed";
    /// The advisor did not answer; it is asked again.
    ADVICE_FAILED = 544 "advice-failed";
}
