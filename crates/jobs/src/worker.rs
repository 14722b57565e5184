//! What workers say of themselves and answer to orders.

use std::net;
use std::sync;

use serde::{Deserialize, Serialize};

use crate::name::{PoolName, TaskId, WorkerId, WorkerLabel};
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
    /// Address at which it takes orders.
    pub address: net::SocketAddr,
    /// Start of its life, in milliseconds since the Unix epoch.
    pub born: u64,
    /// What it offers.
    pub capacity: ResourceAmount,
    /// Its labels; its rack is one of them.
    pub labels: Vec<WorkerLabel>,
    /// Label of its rack, if it tells.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rack: Option<WorkerLabel>,
    /// Whether it takes no new work.
    pub is_draining: bool,
    /// Least time that is left while it drains, in milliseconds.
    pub remaining_ms: Option<u64>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndKind {
    /// The task is done.
    Done,
    /// The run failed, by its own fault or the worker's.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The lease expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not arrive in time.
    Alone,
}

/// Run that a worker lists as running.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedRun {
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Latest progress that it saved.
    pub checkpoint: Option<String>,
    /// Progress, from 0 to 100.
    pub percent: u32,
    /// Tail latency in milliseconds for a task that serves users, processor
    /// use in thousandths of a core for any other.
    pub figure: u64,
}

/// Run that a worker lists as ended.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEnd {
    /// Number of the end in this life of the worker, from 1.
    pub number: u64,
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub kind: EndKind,
    /// Latest progress that it saved.
    pub checkpoint: Option<String>,
}

/// Answer of a worker to an extension of its lease.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HoldReport {
    /// Start of the worker's life, in milliseconds since the Unix epoch.
    pub born: u64,
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<ListedRun>,
    /// What ended and was not yet acknowledged.
    pub ended: Vec<ListedEnd>,
    /// Rows of either list that could not be read.
    pub malformed: usize,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// It was carried out, now or before.
    Accepted,
    /// A newer owner gave an order before; it was not carried out.
    Fenced,
    /// The run is not newer than one that ended there; not carried out.
    Stale,
    /// The lease had expired on arrival; not carried out.
    Expired,
    /// The worker has no room; not carried out.
    Full,
    /// The advisor's permit is missing or expired; not carried out.
    Unpermitted,
    /// The worker rejected the order as invalid; not carried out.
    Invalid,
    /// Another life of the worker answered; not carried out.
    Replaced,
    /// The worker is unhealthy; not carried out.
    Unhealthy,
    /// There was no answer; it may be carried out at any time.
    Unknown,
}

/// Answer to an order, with the worker's clock where the answer told it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderAnswer {
    /// What became of the order.
    pub outcome: OrderOutcome,
    /// The worker's clock in milliseconds.
    pub clock_ms: Option<u64>,
}

/// Order to a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerOrder {
    /// Worker that is meant.
    pub worker: WorkerId,
    /// Its address.
    pub address: net::SocketAddr,
    /// Fencing token of the owner.
    pub fence: u64,
    /// When the scheduler gave the order.
    pub given_at: BootTime,
    /// What to do.
    pub action: OrderAction,
}

impl OrderAction {
    /// Returns the kind of the order, as metrics name it.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Start { .. } => "start",
            Self::Stop { .. } => "stop",
            Self::Hold { .. } => "hold",
            Self::Pace { .. } => "pace",
        }
    }
}

/// What an order asks for.
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
        /// Progress to resume from.
        checkpoint: Option<String>,
        /// Permit of the advisor, where the queue has one.
        ticket: Option<String>,
    },
    /// Stop a run of a task.
    Stop {
        /// Task to stop.
        task: TaskId,
        /// Number of the run.
        run: u32,
    },
    /// Extend the lease and list what runs and what ended.
    Hold {
        /// Ends up to this number are stored and may be forgotten.
        last_seen: u64,
        /// End of the lease on the worker's clock, if the clock is known.
        lease_end_ms: Option<u64>,
        /// How long the answer may wait for an end, in milliseconds.
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
