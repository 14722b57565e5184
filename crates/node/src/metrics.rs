//! Metrics in the Prometheus text format; `docs/METRICS.md` lists them.

use std::time;

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};
use redwing_model::RunOutcome;
use redwing_policy::NodeScheduler;

use crate::error::{Error, Result};
use crate::snapshot::NodeSnapshot;

/// Upper bounds of the response time buckets, in seconds.
const TIME_BUCKETS_SECONDS: &[f64] = &[
    0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0,
];

/// Registry of all metrics of the process.
#[derive(Clone, Debug, Default)]
pub struct MetricsRegistry(Registry);

impl MetricsRegistry {
    /// Returns the underlying registry.
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

    /// Returns all metrics in the text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
    pub fn text(&self) -> Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.0.gather(), &mut text)
            .map_err(|error| Error::start("write metrics", error))?;
        Ok(text)
    }
}

/// Metrics of the request path.
#[derive(Clone, Debug)]
pub struct RequestMetrics {
    requests: IntCounterVec,
    attempts: IntCounterVec,
    response_time: Histogram,
    open_requests: IntGauge,
    ready: IntGauge,
    config_version: IntGauge,
}

impl RequestMetrics {
    /// Creates the metrics and adds them to `registry`.
    ///
    /// # Errors
    ///
    /// Fails if the registry already has metrics of these names.
    pub fn register(registry: &MetricsRegistry) -> Result<Self> {
        Self::create(registry).map_err(|error| Error::start("register metrics", error))
    }

    fn create(registry: &MetricsRegistry) -> prometheus::Result<Self> {
        let requests = Opts::new("redwing_requests_total", "Requests that got a response.");
        let attempts = Opts::new(
            "redwing_attempts_total",
            "Attempts at backend servers that ended.",
        );
        let response_time = HistogramOpts::new(
            "redwing_answer_seconds",
            "Time from the head of a request to the head of its response.",
        );
        let metrics = Self {
            requests: IntCounterVec::new(requests, &["outcome", "status"])?,
            attempts: IntCounterVec::new(attempts, &["result"])?,
            response_time: Histogram::with_opts(
                response_time.buckets(TIME_BUCKETS_SECONDS.to_vec()),
            )?,
            open_requests: IntGauge::new(
                "redwing_open_requests",
                "Requests whose response has not begun.",
            )?,
            ready: IntGauge::new(
                "redwing_ready",
                "Whether the balancer may send requests to the process.",
            )?,
            config_version: IntGauge::new(
                "redwing_config_version",
                "Version of the configuration in force.",
            )?,
        };
        let registry = registry.inner();
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.attempts.clone()))?;
        registry.register(Box::new(metrics.response_time.clone()))?;
        registry.register(Box::new(metrics.open_requests.clone()))?;
        registry.register(Box::new(metrics.ready.clone()))?;
        registry.register(Box::new(metrics.config_version.clone()))?;
        Ok(metrics)
    }

    /// Sets the gauges that depend on the published state.
    pub fn update_snapshot(&self, snapshot: &NodeSnapshot) {
        self.ready.set(i64::from(snapshot.ready));
        let version = i64::try_from(snapshot.version);
        self.config_version.set(version.unwrap_or(i64::MAX));
    }

    /// Counts a request whose head has arrived as open until the guard is dropped.
    pub fn open_request(&self) -> OpenRequestGuard {
        self.open_requests.inc();
        OpenRequestGuard(self.open_requests.clone())
    }

    /// Counts a response and its time.
    pub fn count_request(&self, outcome: RunOutcome, status: u16, taken: time::Duration) {
        let status = status.to_string();
        self.requests
            .with_label_values(&[outcome.as_str(), &status])
            .inc();
        self.response_time.observe(taken.as_secs_f64());
    }

    /// Counts an attempt at a backend server that ended.
    pub fn count_attempt(&self, result: &str) {
        self.attempts.with_label_values(&[result]).inc();
    }
}

/// Guard of an open request; decrements the gauge when dropped.
#[derive(Debug)]
pub struct OpenRequestGuard(IntGauge);

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// Gauges of the scheduler.
#[derive(Clone, Debug)]
pub struct SchedulerMetrics {
    requests: IntGaugeVec,
    tokens: IntGaugeVec,
    ejected: IntGauge,
    evacuated_backends: IntGauge,
    evacuated_requests: IntGauge,
}

impl SchedulerMetrics {
    /// Creates the gauges and adds them to `registry`.
    ///
    /// # Errors
    ///
    /// Fails if the registry already has gauges of these names.
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
            "Slot and permit tokens that the process tracks, by state.",
        );
        let metrics = Self {
            requests: IntGaugeVec::new(requests, &["state"])?,
            tokens: IntGaugeVec::new(tokens, &["state"])?,
            ejected: IntGauge::new(
                "redwing_ejected_workers",
                "Backend servers that get no requests because they failed.",
            )?,
            evacuated_backends: IntGauge::new(
                "redwing_evacuated_backends",
                "Backend servers in evacuated data centres.",
            )?,
            evacuated_requests: IntGauge::new(
                "redwing_evacuated_requests",
                "Requests of the process that still run in evacuated data centres.",
            )?,
        };
        let registry = registry.inner();
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.tokens.clone()))?;
        registry.register(Box::new(metrics.ejected.clone()))?;
        registry.register(Box::new(metrics.evacuated_backends.clone()))?;
        registry.register(Box::new(metrics.evacuated_requests.clone()))?;
        Ok(metrics)
    }

    /// Sets the gauges from the state of the scheduler.
    pub fn update(&self, scheduler: &NodeScheduler) {
        let counts = scheduler.token_counts();
        set(&self.requests, "waiting", scheduler.waiting());
        set(&self.requests, "running", scheduler.running());
        set(&self.tokens, "free", counts.free);
        set(&self.tokens, "used", counts.used);
        set(&self.tokens, "lent", counts.lent);
        set(&self.tokens, "quarantined", counts.quarantined);
        self.ejected.set(gauge_value(scheduler.ejected().count()));
        let (workers, running) = (scheduler.evacuated_workers(), scheduler.evacuated_running());
        self.evacuated_backends.set(gauge_value(workers));
        self.evacuated_requests.set(gauge_value(running));
    }
}

fn set(gauges: &IntGaugeVec, state: &str, count: usize) {
    gauges.with_label_values(&[state]).set(gauge_value(count));
}

fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
