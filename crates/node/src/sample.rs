//! Metrics of peers and of calls to the platform's table, sampled once a second.

use std::rc;
use std::time;

use prometheus::{IntCounter, IntCounterVec, IntGaugeVec, Opts};
use redwing_provider::{CallCause, TableClient};
use tokio::sync::watch;

use crate::error::{Error, Result};
use crate::link::PeerLinks;
use crate::metrics::MetricsRegistry;
use crate::stop::StopPhase;

/// Interval between samples.
const SAMPLE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Maximum age of the last response of a peer that counts as reachable.
const REACHABLE_MAX_AGE: time::Duration = time::Duration::from_secs(3);

/// Metrics of peers and of calls to the platform's table.
#[derive(Clone, Debug)]
pub struct ClusterMetrics {
    peers: IntGaugeVec,
    peer_bytes: IntCounter,
    table_calls: IntCounterVec,
}

impl ClusterMetrics {
    /// Creates the metrics and adds them to `registry`.
    ///
    /// # Errors
    ///
    /// Fails if the registry already has metrics of these names.
    pub fn register(registry: &MetricsRegistry) -> Result<Self> {
        Self::create(registry).map_err(|error| Error::start("register metrics", error))
    }

    fn create(registry: &MetricsRegistry) -> prometheus::Result<Self> {
        let peers = Opts::new("redwing_peers", "Other entry processes.");
        let calls = Opts::new(
            "redwing_table_calls_total",
            "Calls to the platform's table.",
        );
        let metrics = Self {
            peers: IntGaugeVec::new(peers, &["state"])?,
            peer_bytes: IntCounter::new(
                "redwing_peer_bytes_sent_total",
                "Bytes of calls sent to other entry processes, without framing.",
            )?,
            table_calls: IntCounterVec::new(calls, &["cause", "kind"])?,
        };
        metrics.set_peers(0, 0);
        raise_to(
            &metrics.table_calls,
            &[CallCause::Membership.as_str(), "read"],
            0,
        );
        let registry = registry.inner();
        registry.register(Box::new(metrics.peers.clone()))?;
        registry.register(Box::new(metrics.peer_bytes.clone()))?;
        registry.register(Box::new(metrics.table_calls.clone()))?;
        Ok(metrics)
    }

    fn sample(&self, sources: &SampleSources) {
        let links = &sources.links;
        let known = links.peer_count().unwrap_or_default();
        self.set_peers(known, links.reachable(REACHABLE_MAX_AGE).len());
        let sent = links.bytes_sent();
        self.peer_bytes
            .inc_by(sent.saturating_sub(self.peer_bytes.get()));
        for count in sources.client.counts() {
            let cause = count.cause.as_str();
            raise_to(&self.table_calls, &[cause, "commit"], count.commits);
            raise_to(&self.table_calls, &[cause, "read"], count.reads);
            raise_to(&self.table_calls, &[cause, "failed"], count.failed);
            raise_to(&self.table_calls, &[cause, "unknown"], count.unknown);
        }
    }

    fn set_peers(&self, known: usize, reachable: usize) {
        for (state, count) in [("known", known), ("reachable", reachable)] {
            let value = i64::try_from(count).unwrap_or(i64::MAX);
            self.peers.with_label_values(&[state]).set(value);
        }
    }
}

/// Sources of the sampled values.
pub struct SampleSources {
    /// Client of the table.
    pub client: TableClient,
    /// Links to peers.
    pub links: rc::Rc<PeerLinks>,
}

/// Samples the metrics until `stop` reaches [`StopPhase::Ended`].
pub async fn run(
    metrics: ClusterMetrics,
    sources: SampleSources,
    mut stop: watch::Receiver<StopPhase>,
) {
    let sampling = async {
        loop {
            metrics.sample(&sources);
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    };
    tokio::select! {
        () = sampling => {}
        // A closed channel ends the task as well.
        _ = stop.wait_for(|phase| *phase == StopPhase::Ended) => {}
    }
}

/// Raises a counter to a total that is counted elsewhere.
fn raise_to(counters: &IntCounterVec, labels: &[&str], total: u64) {
    let counter = counters.with_label_values(labels);
    counter.inc_by(total.saturating_sub(counter.get()));
}
