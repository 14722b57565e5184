//! State that the control thread publishes to the traffic threads.

use std::collections::HashMap;
use std::sync;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time;

use redwing_model::{CustomerName, FleetDeclaration, KeyHash, QueueName};
use tokio::sync::watch;

/// Customer and queue that an access key is valid for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyGrant {
    /// Customer that the key belongs to.
    pub customer: CustomerName,
    /// Queue that the key is valid for; `None` for every queue.
    pub queue: Option<QueueName>,
}

/// Time until which the installed keys count as fresh, shared with the traffic
/// threads.
///
/// The deadline expires without any action of the control thread, so that a
/// process that was paused does not accept a withdrawn key between resuming and
/// its next configuration refresh.
#[derive(Debug)]
pub struct FreshnessDeadline {
    start: time::Instant,
    until_millis: AtomicU64,
}

impl Default for FreshnessDeadline {
    fn default() -> Self {
        Self {
            start: time::Instant::now(),
            until_millis: AtomicU64::new(0),
        }
    }
}

impl FreshnessDeadline {
    /// Returns whether the keys are fresh at `now`.
    pub fn is_fresh(&self, now: time::Instant) -> bool {
        self.millis_since_start(now) < self.until_millis.load(Ordering::Acquire)
    }

    /// Moves the deadline to `until`, unless it is already later.
    pub fn extend(&self, until: time::Instant) {
        let millis = self.millis_since_start(until);
        self.until_millis.fetch_max(millis, Ordering::AcqRel);
    }

    fn millis_since_start(&self, instant: time::Instant) -> u64 {
        let since = instant.saturating_duration_since(self.start);
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}

/// State that traffic threads read on each request, replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct NodeSnapshot {
    /// Version of the configuration in force; 0 before the first read.
    pub version: u64,
    /// Declaration in force.
    pub declaration: sync::Arc<FleetDeclaration>,
    /// Keys in force, by digest.
    pub keys: sync::Arc<HashMap<KeyHash, KeyGrant>>,
    /// Whether keyed requests may be accepted; false while the process cannot
    /// determine whether a key was withdrawn.
    pub accepts_keyed: bool,
    /// Deadline of `accepts_keyed`; `None` if it has none.
    pub freshness_deadline: Option<sync::Arc<FreshnessDeadline>>,
    /// Whether the balancer may send requests to the process.
    pub ready: bool,
}

impl NodeSnapshot {
    /// Returns whether keyed requests may be accepted at `now`.
    pub fn accepts_keyed_at(&self, now: time::Instant) -> bool {
        let deadline = self.freshness_deadline.as_ref();
        self.accepts_keyed && deadline.is_none_or(|deadline| deadline.is_fresh(now))
    }
}

/// Receiver of the published state.
pub type SnapshotReceiver = watch::Receiver<sync::Arc<NodeSnapshot>>;

/// Sender of the published state.
pub type SnapshotSender = watch::Sender<sync::Arc<NodeSnapshot>>;
