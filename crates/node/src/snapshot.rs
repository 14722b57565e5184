//! What the control thread publishes to the traffic threads.

use std::collections::HashMap;
use std::sync;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time;

use redwing_model::{CustomerName, FleetDeclaration, KeyHash, QueueName};
use tokio::sync::watch;

/// What one access key gives a right to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyGrant {
    /// Customer that the key belongs to.
    pub customer: CustomerName,
    /// Queue that it is good for; `None` for every queue.
    pub queue: Option<QueueName>,
}

/// Time until which keys are trusted, shared with the traffic threads.
///
/// It lapses by itself, so that a process that was paused does not accept a
/// withdrawn key in the moment between its waking and its next decision.
#[derive(Debug)]
pub struct TrustDeadline {
    start: time::Instant,
    until_millis: AtomicU64,
}

impl Default for TrustDeadline {
    fn default() -> Self {
        Self {
            start: time::Instant::now(),
            until_millis: AtomicU64::new(0),
        }
    }
}

impl TrustDeadline {
    /// Returns whether keys are trusted at `now`.
    pub fn holds(&self, now: time::Instant) -> bool {
        self.millis(now) < self.until_millis.load(Ordering::Acquire)
    }

    /// Moves the deadline to `until`, unless it is later already.
    pub fn extend(&self, until: time::Instant) {
        let millis = self.millis(until);
        self.until_millis.fetch_max(millis, Ordering::AcqRel);
    }

    fn millis(&self, instant: time::Instant) -> u64 {
        let since = instant.saturating_duration_since(self.start);
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}

/// State that traffic threads read on each request, replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct NodeSnapshot {
    /// Version of the configuration in force; 0 before the first was read.
    pub version: u64,
    /// Declaration in force.
    pub declaration: sync::Arc<FleetDeclaration>,
    /// Keys in force, by digest.
    pub keys: sync::Arc<HashMap<KeyHash, KeyGrant>>,
    /// Whether keyed requests may be accepted; false once the process can no
    /// longer tell whether a key was withdrawn.
    pub accepts_keyed: bool,
    /// Until when that holds; `None` if it does not lapse by itself.
    pub keyed_until: Option<sync::Arc<TrustDeadline>>,
    /// Whether the process is ready for the balancer.
    pub ready: bool,
}

impl NodeSnapshot {
    /// Returns whether keyed requests may be accepted at `now`.
    pub fn trusts_keys(&self, now: time::Instant) -> bool {
        let lapses = self.keyed_until.as_ref();
        self.accepts_keyed && lapses.is_none_or(|deadline| deadline.holds(now))
    }
}

/// Receiving end of the published state.
pub type SnapshotReceiver = watch::Receiver<sync::Arc<NodeSnapshot>>;

/// Publishing end of the published state.
pub type SnapshotSender = watch::Sender<sync::Arc<NodeSnapshot>>;
