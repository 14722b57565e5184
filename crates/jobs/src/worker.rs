//! Entries, reports and orders of workers.

use std::net;
use std::sync;

use serde::{Deserialize, Serialize};

use crate::name::{DataCentre, PoolName, TaskId, WorkerId, WorkerLabel};
use crate::spec::ResourceAmount;
use crate::time::BootTime;

/// Entry of a worker in the platform's list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct WorkerView {
    /// Id of the worker.
    pub id: WorkerId,
    /// Pool that it serves.
    pub pool: PoolName,
    /// Address at which it accepts orders.
    pub address: net::SocketAddr,
    /// Incarnation: its start, in milliseconds since the Unix epoch.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Its capacity.
    pub capacity: ResourceAmount,
    /// Its labels; its rack is one of them.
    pub labels: Vec<WorkerLabel>,
    /// Label of its rack, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rack: Option<WorkerLabel>,
    /// Its data centre, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data_centre: Option<DataCentre>,
    /// Time for which it remains slow because it has just started, as of the time when
    /// the entry was written, in milliseconds; 0 if it is warm.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cold_ms: u64,
    /// Whether it accepts no new tasks.
    pub is_draining: bool,
    /// Minimum time left while it drains, in milliseconds.
    pub remaining_ms: Option<u64>,
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExitKind {
    /// The task is done.
    Done,
    /// The run failed, because of the task or the worker.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The lease expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
}

/// Run that a worker lists as running.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveRun {
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Latest checkpoint that it saved.
    pub checkpoint: Option<String>,
    /// Progress, from 0 to 100.
    pub percent: u32,
    /// Tail latency in milliseconds for a task that serves users, processor
    /// use in thousandths of a core for any other.
    pub metric: u64,
}

/// Run that a worker lists as ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedRun {
    /// Number of the ended run in this incarnation of the worker, from 1.
    pub number: u64,
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub kind: ExitKind,
    /// Latest checkpoint that it saved.
    pub checkpoint: Option<String>,
}

/// Response of a worker to a lease renewal.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RenewalReport {
    /// Incarnation of the worker: its start, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Runs in progress.
    pub running: Vec<ActiveRun>,
    /// Ended runs that were not yet acknowledged, the earliest first.
    pub ended: Vec<EndedRun>,
    /// Whether these are all of them. Otherwise a run that is not listed may have ended.
    pub is_complete: bool,
    /// Number of entries in either list that could not be read.
    pub malformed: usize,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// It was carried out, now or before.
    Accepted,
    /// A newer owner sent an order before; it was not carried out.
    Fenced,
    /// The run is not newer than one that ended there; not carried out.
    Stale,
    /// The lease had expired on arrival; not carried out.
    Expired,
    /// The worker lacks free capacity; not carried out.
    Full,
    /// The advisor's permit is missing or expired; not carried out.
    Unpermitted,
    /// The worker rejected the order as invalid; not carried out.
    Invalid,
    /// Another incarnation of the worker responded; not carried out.
    Replaced,
    /// The worker is unhealthy; not carried out.
    Unhealthy,
    /// It was not sent, because its data centre is evacuated or may be, or the ownership has
    /// ended; not carried out.
    Unsent,
    /// There was no response; it may be carried out at any time.
    Unknown,
}

/// Response to an order, with the worker's clock if the response included it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderResponse {
    /// Outcome of the order.
    pub outcome: OrderOutcome,
    /// The worker's clock in milliseconds.
    pub clock_ms: Option<u64>,
}

/// Order to a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerOrder {
    /// Worker that receives the order.
    pub worker: WorkerId,
    /// Its address.
    pub address: net::SocketAddr,
    /// Its data centre, if known.
    pub data_centre: Option<DataCentre>,
    /// Fencing token; higher for a later incarnation of the worker.
    pub fencing_token: u64,
    /// When the scheduler issued the order.
    pub issued_at: BootTime,
    /// Action to carry out.
    pub action: OrderAction,
}

impl OrderAction {
    /// Returns the kind of the order, for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Start { .. } => "start",
            Self::Stop { .. } => "stop",
            Self::Renew { .. } => "hold",
            Self::Pace { .. } => "pace",
        }
    }
}

/// Action that an order requests.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderAction {
    /// Start a run of a task.
    Start {
        /// Task to start.
        task: TaskId,
        /// Number of the run.
        run: u32,
        /// Payload of the job.
        payload: sync::Arc<str>,
        /// End of the lease on the worker's clock, in milliseconds.
        lease_end_ms: u64,
        /// Checkpoint to resume from.
        checkpoint: Option<String>,
        /// Ticket of the advisor's permit, if the queue has an advisor.
        ticket: Option<String>,
    },
    /// Stop a run of a task.
    Stop {
        /// Task to stop.
        task: TaskId,
        /// Number of the run.
        run: u32,
    },
    /// Renew the lease, and list running and ended runs.
    Renew {
        /// Ended runs up to this number are stored and may be discarded.
        acknowledged_number: u64,
        /// End of the lease on the worker's clock, if the clock is known.
        lease_end_ms: Option<u64>,
        /// How long the response may wait for a run to end, in milliseconds.
        wait_ms: u64,
    },
    /// Limit the share of processor time that a run uses.
    Pace {
        /// Task to limit.
        task: TaskId,
        /// Number of the run.
        run: u32,
        /// Share, from 0 to 100.
        percent: u32,
    },
}
