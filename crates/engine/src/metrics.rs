//! Metrics of jobs in the Prometheus text form; `docs/METRICS.md` lists them.

use std::time;

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

use crate::error::{Error, Result};

/// Upper bounds of the buckets of times, in seconds.
const TIME_BUCKETS: &[f64] = &[
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// Counters, gauges and histograms of one process.
#[derive(Clone, Debug)]
pub struct JobMetrics {
    registry: Registry,
    /// Answers to callers, by what they wanted and what they got.
    calls: IntCounterVec,
    /// Time from the head of a caller's request to its answer.
    answer_time: Histogram,
    /// Jobs that reached a final state, by state.
    jobs_ended: IntCounterVec,
    /// Runs that ended other than done, by reason.
    runs_ended: IntCounterVec,
    /// Tasks that were given room.
    tasks_placed: IntCounter,
    /// Orders to workers, by kind.
    orders: IntCounterVec,
    /// Time to store a change of the owner.
    change_time: Histogram,
    /// Orders for machines that were accepted, by kind.
    machines: IntCounterVec,
    /// Fencing token of this owner, 0 while another owns the scheduling.
    owner_fence: IntGauge,
    /// Jobs that are not finished, as the owner knows them.
    open_jobs: IntGauge,
    /// Version of the manifest in force.
    manifest_version: IntGauge,
}

impl JobMetrics {
    /// Creates the metrics in a registry of their own.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have one name.
    pub fn new() -> Result<Self> {
        Self::create().map_err(|error| Error::start("register metrics", "process", error))
    }

    fn create() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(TIME_BUCKETS.to_vec());
            let histogram = Histogram::with_opts(options)?;
            registry.register(Box::new(histogram.clone()))?;
            Ok::<_, prometheus::Error>(histogram)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let placed = IntCounter::new("redwing_tasks_placed_total", "Tasks given room.")?;
        registry.register(Box::new(placed.clone()))?;
        Ok(Self {
            calls: counters(
                "redwing_job_calls_total",
                "Calls answered.",
                &["verb", "answer"],
            )?,
            answer_time: histogram("redwing_job_answer_seconds", "Time to an answer.")?,
            jobs_ended: counters("redwing_jobs_ended_total", "Jobs ended.", &["state"])?,
            runs_ended: counters(
                "redwing_runs_ended_total",
                "Runs ended, not done.",
                &["reason"],
            )?,
            tasks_placed: placed,
            orders: counters(
                "redwing_worker_orders_total",
                "Orders to workers.",
                &["kind"],
            )?,
            change_time: histogram("redwing_change_seconds", "Time to store a change.")?,
            machines: counters(
                "redwing_machine_orders_total",
                "Machines ordered.",
                &["kind"],
            )?,
            owner_fence: gauge("redwing_owner_fence", "Fencing token of this owner.")?,
            open_jobs: gauge("redwing_open_jobs", "Jobs not finished.")?,
            manifest_version: gauge("redwing_manifest_version", "Version in force.")?,
            registry,
        })
    }

    /// Returns the names of all metrics that have been counted.
    pub fn names(&self) -> Vec<String> {
        let families = self.registry.gather();
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
        let written = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        written.map_err(|error| Error::start("write metrics", "process", error))?;
        Ok(text)
    }

    /// Counts an answer to a caller.
    pub fn count_call(&self, verb: &str, answer: &str, taken: time::Duration) {
        self.calls.with_label_values(&[verb, answer]).inc();
        self.answer_time.observe(taken.as_secs_f64());
    }

    /// Counts a job that reached a final state.
    pub fn count_job(&self, state: &str) {
        self.jobs_ended.with_label_values(&[state]).inc();
    }

    /// Counts a run that ended other than done.
    pub fn count_run(&self, reason: &str) {
        self.runs_ended.with_label_values(&[reason]).inc();
    }

    /// Counts tasks that were given room.
    pub fn count_placed(&self, count: u32) {
        self.tasks_placed.inc_by(u64::from(count));
    }

    /// Counts an order to a worker.
    pub fn count_order(&self, kind: &str) {
        self.orders.with_label_values(&[kind]).inc();
    }

    /// Counts a change that was stored.
    pub fn count_change(&self, taken: time::Duration) {
        self.change_time.observe(taken.as_secs_f64());
    }

    /// Counts an order for a machine that was accepted.
    pub fn count_machine(&self, kind: &str) {
        self.machines.with_label_values(&[kind]).inc();
    }

    /// Shows whether this process owns the scheduling; 0 if it does not.
    pub fn show_owner(&self, fence: u64) {
        self.owner_fence.set(fence as i64);
    }

    /// Shows the number of jobs that are not finished.
    pub fn show_jobs(&self, count: usize) {
        self.open_jobs.set(count as i64);
    }

    /// Shows the version of the manifest in force.
    pub fn show_manifest(&self, version: u64) {
        self.manifest_version.set(version as i64);
    }
}
