//! Metrics of jobs in the Prometheus text format; `docs/METRICS.md` lists them.

use std::collections::BTreeMap;
use std::time;

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};
use redwing_jobs::evacuation::EvacuationProgress;
use redwing_jobs::name::DataCentre;

use crate::error::{Error, Result};

/// Upper bounds of the histogram buckets, in seconds.
const TIME_BUCKETS: &[f64] = &[
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// Counters, gauges and histograms of one process.
#[derive(Clone, Debug)]
pub struct JobMetrics {
    registry: Registry,
    /// Calls of callers, by verb and response.
    calls: IntCounterVec,
    /// Time from the complete body of a caller's request to its response, in
    /// seconds.
    response_time: Histogram,
    /// Jobs that reached a final state, by state.
    jobs_ended: IntCounterVec,
    /// Jobs that failed, by reason.
    jobs_failed: IntCounterVec,
    /// Runs under which a worker crashed.
    tasks_suspected: IntCounter,
    /// Runs that ended without completing their tasks, by reason.
    runs_ended: IntCounterVec,
    /// Tasks that were placed on workers.
    tasks_placed: IntCounter,
    /// Waiting jobs that placement has compared with the free capacity.
    jobs_examined: IntCounter,
    /// Times that runs on an unresponsive worker began to wait for its leases.
    lease_waits: IntCounter,
    /// Workers that ended with runs, by cause.
    workers_lost: IntCounterVec,
    /// Orders to workers, by kind.
    orders: IntCounterVec,
    /// Time to store a change of the owner, in seconds.
    change_time: Histogram,
    /// Accepted orders for machines, by kind.
    machine_orders: IntCounterVec,
    /// Fencing token of this owner; 0 while this process is not the owner.
    owner_fencing_token: IntGauge,
    /// Unfinished jobs in the scheduler of the owner.
    open_jobs: IntGauge,
    /// Version of the manifest in force.
    manifest_version: IntGauge,
    /// Workers of evacuated data centres, by data centre.
    evacuated_workers: IntGaugeVec,
    /// Runs that are left on them, by data centre.
    evacuation_runs: IntGaugeVec,
}

impl JobMetrics {
    /// Creates the metrics in a new registry.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have the same name.
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
        let gauges = |name: &str, help: &str| {
            let gauge = IntGaugeVec::new(Opts::new(name, help), &["data_centre"])?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let tasks_placed = IntCounter::new("redwing_tasks_placed_total", "Tasks given room.")?;
        registry.register(Box::new(tasks_placed.clone()))?;
        let jobs_examined = IntCounter::new(
            "redwing_jobs_examined_total",
            "Waiting jobs compared with the free capacity.",
        )?;
        registry.register(Box::new(jobs_examined.clone()))?;
        let tasks_suspected = IntCounter::new(
            "redwing_tasks_suspected_total",
            "Runs under which a worker crashed.",
        )?;
        registry.register(Box::new(tasks_suspected.clone()))?;
        let lease_waits = IntCounter::new(
            "redwing_lease_waits_total",
            "Times that runs waited for the leases of an unresponsive worker.",
        )?;
        registry.register(Box::new(lease_waits.clone()))?;
        Ok(Self {
            calls: counters(
                "redwing_job_calls_total",
                "Calls answered.",
                &["verb", "answer"],
            )?,
            response_time: histogram("redwing_job_answer_seconds", "Time to an answer.")?,
            jobs_ended: counters("redwing_jobs_ended_total", "Jobs ended.", &["state"])?,
            jobs_failed: counters("redwing_jobs_failed_total", "Jobs failed.", &["reason"])?,
            tasks_suspected,
            runs_ended: counters(
                "redwing_runs_ended_total",
                "Runs ended, not done.",
                &["reason"],
            )?,
            tasks_placed,
            jobs_examined,
            lease_waits,
            workers_lost: counters(
                "redwing_workers_lost_total",
                "Workers that ended with runs.",
                &["cause"],
            )?,
            orders: counters(
                "redwing_worker_orders_total",
                "Orders to workers.",
                &["kind"],
            )?,
            change_time: histogram("redwing_change_seconds", "Time to store a change.")?,
            machine_orders: counters(
                "redwing_machine_orders_total",
                "Machines ordered.",
                &["kind"],
            )?,
            owner_fencing_token: gauge("redwing_owner_fence", "Fencing token of this owner.")?,
            open_jobs: gauge("redwing_open_jobs", "Jobs not finished.")?,
            manifest_version: gauge("redwing_manifest_version", "Version in force.")?,
            evacuated_workers: gauges(
                "redwing_evacuated_workers",
                "Workers of evacuated data centres.",
            )?,
            evacuation_runs: gauges(
                "redwing_evacuation_runs",
                "Runs left in evacuated data centres.",
            )?,
            registry,
        })
    }

    /// Returns the names of all metrics that have a value.
    pub fn names(&self) -> Vec<String> {
        let families = self.registry.gather();
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
        let written = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        written.map_err(|error| Error::start("write metrics", "process", error))?;
        Ok(text)
    }

    /// Counts a call of a caller and records its response time.
    pub fn count_call(&self, verb: &str, response: &str, elapsed: time::Duration) {
        self.calls.with_label_values(&[verb, response]).inc();
        self.response_time.observe(elapsed.as_secs_f64());
    }

    /// Counts a job that reached a final state.
    pub fn count_ended_job(&self, state: &str) {
        self.jobs_ended.with_label_values(&[state]).inc();
    }

    /// Counts a job that failed.
    pub fn count_failed_job(&self, reason: &str) {
        self.jobs_failed.with_label_values(&[reason]).inc();
    }

    /// Counts a run under which a worker crashed.
    pub fn count_suspected_task(&self) {
        self.tasks_suspected.inc();
    }

    /// Counts that runs began to wait for the leases of an unresponsive worker.
    pub fn count_lease_wait(&self) {
        self.lease_waits.inc();
    }

    /// Counts a worker that ended with runs.
    pub fn count_lost_worker(&self, cause: &str) {
        self.workers_lost.with_label_values(&[cause]).inc();
    }

    /// Counts a run that ended without completing its task.
    pub fn count_ended_run(&self, reason: &str) {
        self.runs_ended.with_label_values(&[reason]).inc();
    }

    /// Counts tasks that were placed on workers.
    pub fn count_placed_tasks(&self, count: u32) {
        self.tasks_placed.inc_by(u64::from(count));
    }

    /// Counts waiting jobs that placement has compared with the free capacity.
    pub fn count_examined_jobs(&self, count: u64) {
        self.jobs_examined.inc_by(count);
    }

    /// Counts an order to a worker.
    pub fn count_order(&self, kind: &str) {
        self.orders.with_label_values(&[kind]).inc();
    }

    /// Records the time to store a change.
    pub fn count_change(&self, elapsed: time::Duration) {
        self.change_time.observe(elapsed.as_secs_f64());
    }

    /// Counts an accepted order for a machine.
    pub fn count_machine_order(&self, kind: &str) {
        self.machine_orders.with_label_values(&[kind]).inc();
    }

    /// Sets the fencing token of this owner; 0 while this process is not the
    /// owner.
    pub fn set_owner(&self, fencing_token: u64) {
        self.owner_fencing_token.set(fencing_token as i64);
    }

    /// Sets the number of unfinished jobs.
    pub fn set_open_jobs(&self, count: usize) {
        self.open_jobs.set(count as i64);
    }

    /// Sets the version of the manifest in force.
    pub fn set_manifest_version(&self, version: u64) {
        self.manifest_version.set(version as i64);
    }

    /// Sets the progress of all evacuations; those of `previous` that have ended have no
    /// value any more.
    pub fn set_evacuations(
        &self,
        progress: &BTreeMap<DataCentre, EvacuationProgress>,
        previous: &BTreeMap<DataCentre, EvacuationProgress>,
    ) {
        let ended = previous.keys().filter(|name| !progress.contains_key(*name));
        for name in ended {
            // An error means that it had no value.
            let _ = self.evacuated_workers.remove_label_values(&[name.as_str()]);
            let _ = self.evacuation_runs.remove_label_values(&[name.as_str()]);
        }
        for (name, progress) in progress {
            let labels = [name.as_str()];
            let workers = self.evacuated_workers.with_label_values(&labels);
            workers.set(i64::from(progress.workers));
            let runs = self.evacuation_runs.with_label_values(&labels);
            runs.set(i64::from(progress.runs));
        }
    }
}
