//! Metrics in the Prometheus text form; `docs/METRICS.md` lists them.

use std::time;

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};
use redwing_model::RunOutcome;
use redwing_policy::NodeScheduler;

use crate::error::{Error, Result};
use crate::snapshot::NodeSnapshot;

/// Upper bounds of the buckets of request times, in seconds.
const TIME_BUCKETS: &[f64] = &[
    0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0,
];

/// Metrics of the process, to which its parts add theirs.
#[derive(Clone, Debug, Default)]
pub struct MetricsRegistry(Registry);

impl MetricsRegistry {
    /// Returns the registry of the metrics library.
    pub fn inner(&self) -> &Registry {
        &self.0
    }

    /// Returns the names of all metrics.
    pub fn names(&self) -> Vec<String> {
        let families = self.0.gather();
        families
            .iter()
            .map(|family| family.name().to_owned())
            .collect()
    }

    /// Returns all metrics as text.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be written.
    pub fn text(&self) -> Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.0.gather(), &mut text)
            .map_err(|error| Error::start("write metrics", error))?;
        Ok(text)
    }
}

/// Counters of the request path.
#[derive(Clone, Debug)]
pub struct PathMetrics {
    requests: IntCounterVec,
    attempts: IntCounterVec,
    answer_time: Histogram,
    open_requests: IntGauge,
    ready: IntGauge,
    config_version: IntGauge,
}

impl PathMetrics {
    /// Creates the counters and adds them to `registry`.
    ///
    /// # Errors
    ///
    /// Fails if the registry has counters of the same names.
    pub fn register(registry: &MetricsRegistry) -> Result<Self> {
        Self::create(registry).map_err(|error| Error::start("register metrics", error))
    }

    fn create(registry: &MetricsRegistry) -> prometheus::Result<Self> {
        let requests = Opts::new("redwing_requests_total", "Requests answered.");
        let attempts = Opts::new(
            "redwing_attempts_total",
            "Attempts at backend servers that ended.",
        );
        let answer_time = HistogramOpts::new(
            "redwing_answer_seconds",
            "Time from the head of a request to the head of its answer.",
        );
        let metrics = Self {
            requests: IntCounterVec::new(requests, &["outcome", "status"])?,
            attempts: IntCounterVec::new(attempts, &["result"])?,
            answer_time: Histogram::with_opts(answer_time.buckets(TIME_BUCKETS.to_vec()))?,
            open_requests: IntGauge::new(
                "redwing_open_requests",
                "Requests whose answer has not begun.",
            )?,
            ready: IntGauge::new("redwing_ready", "Whether the balancer may send callers.")?,
            config_version: IntGauge::new(
                "redwing_config_version",
                "Version of the configuration in force.",
            )?,
        };
        let registry = registry.inner();
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.attempts.clone()))?;
        registry.register(Box::new(metrics.answer_time.clone()))?;
        registry.register(Box::new(metrics.open_requests.clone()))?;
        registry.register(Box::new(metrics.ready.clone()))?;
        registry.register(Box::new(metrics.config_version.clone()))?;
        Ok(metrics)
    }

    /// Shows the state that the traffic threads read.
    pub fn show_snapshot(&self, snapshot: &NodeSnapshot) {
        self.ready.set(i64::from(snapshot.ready));
        let version = i64::try_from(snapshot.version);
        self.config_version.set(version.unwrap_or(i64::MAX));
    }

    /// Counts a request whose head has arrived.
    pub fn open_request(&self) -> OpenRequest {
        self.open_requests.inc();
        OpenRequest(self.open_requests.clone())
    }

    /// Counts an answer.
    pub fn count_request(&self, outcome: RunOutcome, status: u16, taken: time::Duration) {
        let status = status.to_string();
        self.requests
            .with_label_values(&[outcome.as_str(), &status])
            .inc();
        self.answer_time.observe(taken.as_secs_f64());
    }

    /// Counts an attempt at a backend server that ended.
    pub fn count_attempt(&self, result: &str) {
        self.attempts.with_label_values(&[result]).inc();
    }
}

/// Request whose answer has not begun, for as long as it exists.
#[derive(Debug)]
pub struct OpenRequest(IntGauge);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// Gauges of the scheduler.
#[derive(Clone, Debug)]
pub struct ControlMetrics {
    requests: IntGaugeVec,
    tokens: IntGaugeVec,
    ejected: IntGauge,
}

impl ControlMetrics {
    /// Creates the gauges and adds them to `registry`.
    ///
    /// # Errors
    ///
    /// Fails if the registry has gauges of the same names.
    pub fn register(registry: &MetricsRegistry) -> Result<Self> {
        Self::create(registry).map_err(|error| Error::start("register metrics", error))
    }

    fn create(registry: &MetricsRegistry) -> prometheus::Result<Self> {
        let requests = Opts::new(
            "redwing_scheduled_requests",
            "Requests that wait or run, abandoned ones included.",
        );
        let tokens = Opts::new(
            "redwing_tokens",
            "Slot and permit tokens that the process knows of, by state.",
        );
        let metrics = Self {
            requests: IntGaugeVec::new(requests, &["state"])?,
            tokens: IntGaugeVec::new(tokens, &["state"])?,
            ejected: IntGauge::new(
                "redwing_ejected_workers",
                "Backend servers that get no requests because they failed.",
            )?,
        };
        let registry = registry.inner();
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.tokens.clone()))?;
        registry.register(Box::new(metrics.ejected.clone()))?;
        Ok(metrics)
    }

    /// Shows the state of the scheduler.
    pub fn show(&self, scheduler: &NodeScheduler) {
        let counts = scheduler.token_counts();
        set(&self.requests, "waiting", scheduler.waiting());
        set(&self.requests, "running", scheduler.running());
        set(&self.tokens, "free", counts.free);
        set(&self.tokens, "used", counts.used);
        set(&self.tokens, "lent", counts.lent);
        set(&self.tokens, "quarantined", counts.quarantined);
        self.ejected.set(gauge_value(scheduler.ejected().count()));
    }
}

fn set(gauges: &IntGaugeVec, state: &str, count: usize) {
    gauges.with_label_values(&[state]).set(gauge_value(count));
}

fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
