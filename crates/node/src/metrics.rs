//! Metrics in the Prometheus text form; `docs/METRICS.md` lists them.

use std::time;

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};
use redwing_model::RunOutcome;

use crate::error::{Error, Result};

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
        };
        let registry = registry.inner();
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.attempts.clone()))?;
        registry.register(Box::new(metrics.answer_time.clone()))?;
        registry.register(Box::new(metrics.open_requests.clone()))?;
        Ok(metrics)
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
