//! Metrics of the control thread, sampled once a second.

use std::rc;
use std::time;

use prometheus::{IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts};
use redwing_platform::TableClient;
use tokio::sync::watch;

use crate::control::ControlHandle;
use crate::error::{Error, Result};
use crate::link::PeerMesh;
use crate::metrics::MetricsRegistry;
use crate::snapshot::SnapshotReceiver;
use crate::stop::StopPhase;

/// Time between two samples.
const SAMPLE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Age of a peer's last answer up to which it counts as reachable.
const REACHABLE_LIMIT: time::Duration = time::Duration::from_secs(3);

/// Metrics of the control thread.
#[derive(Clone, Debug)]
pub struct ControlMetrics {
    config_version: IntGauge,
    accepts_keyed: IntGauge,
    peers: IntGaugeVec,
    peer_bytes: IntCounter,
    table_calls: IntCounterVec,
    tokens: IntGaugeVec,
    requests: IntGaugeVec,
    ejected_workers: IntGauge,
}

impl ControlMetrics {
    /// Creates the metrics and adds them to `registry`.
    ///
    /// # Errors
    ///
    /// Fails if the registry has metrics of the same names.
    pub fn register(registry: &MetricsRegistry) -> Result<Self> {
        Self::create(registry).map_err(|error| Error::start("register metrics", error))
    }

    fn create(registry: &MetricsRegistry) -> prometheus::Result<Self> {
        let peers = Opts::new("redwing_peers", "Other entry processes.");
        let calls = Opts::new(
            "redwing_table_calls_total",
            "Calls of the platform's table.",
        );
        let tokens = Opts::new("redwing_tokens", "Tokens that this process knows of.");
        let requests = Opts::new("redwing_requests", "Requests waiting or running.");
        let metrics = Self {
            config_version: IntGauge::new(
                "redwing_config_version",
                "Version of the configuration in force.",
            )?,
            accepts_keyed: IntGauge::new(
                "redwing_accepts_keyed",
                "Whether requests with keys are accepted.",
            )?,
            peers: IntGaugeVec::new(peers, &["state"])?,
            peer_bytes: IntCounter::new(
                "redwing_peer_bytes_sent_total",
                "Bytes of calls sent to other entry processes, without framing.",
            )?,
            table_calls: IntCounterVec::new(calls, &["cause", "kind"])?,
            tokens: IntGaugeVec::new(tokens, &["state"])?,
            requests: IntGaugeVec::new(requests, &["state"])?,
            ejected_workers: IntGauge::new(
                "redwing_ejected_workers",
                "Backend servers that are ejected now.",
            )?,
        };
        metrics.show_from_the_start();
        let registry = registry.inner();
        registry.register(Box::new(metrics.config_version.clone()))?;
        registry.register(Box::new(metrics.accepts_keyed.clone()))?;
        registry.register(Box::new(metrics.peers.clone()))?;
        registry.register(Box::new(metrics.peer_bytes.clone()))?;
        registry.register(Box::new(metrics.table_calls.clone()))?;
        registry.register(Box::new(metrics.tokens.clone()))?;
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.ejected_workers.clone()))?;
        Ok(metrics)
    }
}

impl ControlMetrics {
    /// Makes one series of each metric with labels, so that none is missing
    /// before its first value.
    fn show_from_the_start(&self) {
        set(&self.peers, "known", 0);
        set(&self.tokens, "free", 0);
        set(&self.requests, "waiting", 0);
        let cause = redwing_platform::CallCause::Membership.as_str();
        raise(&self.table_calls, &[cause, "read"], 0);
    }
}

/// What the sampled values are read from.
pub struct SampleSources {
    /// Way to the scheduler.
    pub control: ControlHandle,
    /// Client of the table.
    pub client: TableClient,
    /// Links to peers.
    pub mesh: rc::Rc<PeerMesh>,
    /// Published state.
    pub snapshots: SnapshotReceiver,
}

/// Samples until `stop` shows the end of the process.
pub async fn run(
    metrics: ControlMetrics,
    sources: SampleSources,
    mut stop: watch::Receiver<StopPhase>,
) {
    let sampling = async {
        loop {
            metrics.sample(&sources).await;
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    };
    tokio::select! {
        () = sampling => {}
        // A closed channel ends the task as well.
        _ = stop.wait_for(|phase| *phase == StopPhase::Ended) => {}
    }
}

impl ControlMetrics {
    async fn sample(&self, sources: &SampleSources) {
        self.sample_config(&sources.snapshots);
        self.sample_peers(&sources.mesh);
        self.sample_table(&sources.client);
        self.sample_scheduler(&sources.control).await;
    }

    fn sample_config(&self, snapshots: &SnapshotReceiver) {
        let snapshot = snapshots.borrow();
        self.config_version.set(gauge_value(snapshot.version));
        self.accepts_keyed.set(i64::from(snapshot.accepts_keyed));
    }

    fn sample_peers(&self, mesh: &PeerMesh) {
        let known = mesh.peer_count().unwrap_or_default();
        let reachable = mesh.reachable(REACHABLE_LIMIT).len();
        set(&self.peers, "known", known as u64);
        set(&self.peers, "reachable", reachable as u64);
        let sent = mesh.bytes_sent();
        self.peer_bytes
            .inc_by(sent.saturating_sub(self.peer_bytes.get()));
    }

    fn sample_table(&self, client: &TableClient) {
        for count in client.counts() {
            let cause = count.cause.as_str();
            raise(&self.table_calls, &[cause, "commit"], count.commits);
            raise(&self.table_calls, &[cause, "read"], count.reads);
            raise(&self.table_calls, &[cause, "failed"], count.failed);
            raise(&self.table_calls, &[cause, "unknown"], count.unknown);
        }
    }

    async fn sample_scheduler(&self, control: &ControlHandle) {
        let read = control.visit(|scheduler, _| {
            let ejected = scheduler.ejected().count();
            let (waiting, running) = (scheduler.waiting(), scheduler.running());
            (scheduler.token_counts(), waiting, running, ejected)
        });
        let Some((tokens, waiting, running, ejected)) = read.await else {
            return;
        };
        set(&self.tokens, "free", tokens.free as u64);
        set(&self.tokens, "in-use", tokens.used as u64);
        set(&self.tokens, "lent", tokens.lent as u64);
        set(&self.tokens, "quarantined", tokens.quarantined as u64);
        set(&self.requests, "waiting", waiting as u64);
        set(&self.requests, "running", running as u64);
        self.ejected_workers.set(gauge_value(ejected as u64));
    }
}

fn set(gauges: &IntGaugeVec, label: &str, value: u64) {
    gauges.with_label_values(&[label]).set(gauge_value(value));
}

/// Brings a counter up to a total that was counted elsewhere.
fn raise(counters: &IntCounterVec, labels: &[&str], total: u64) {
    let counter = counters.with_label_values(labels);
    counter.inc_by(total.saturating_sub(counter.get()));
}

fn gauge_value(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
