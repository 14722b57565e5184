//! Report of one experiment, as a table and as JSON.

use std::fmt;
use std::fmt::Write;
use std::time;

use hdrhistogram::Histogram;
use redwing_model::RunOutcome;
use serde::Serialize;

use super::check::GuaranteeViolation;
use super::experiment::LoadExperiment;
use super::record::{RequestRecord, RequestResult};
use super::share::ShareWindow;

/// Maximum latency of the histograms, in microseconds.
const MAX_LATENCY_MICROS: u64 = 3_600_000_000;

/// Significant decimal digits of the histograms.
const LATENCY_DIGITS: u8 = 3;

/// Report of one experiment.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct LoadReport {
    /// Seed of the schedule.
    pub seed: u64,
    /// Time during which requests were sent, in seconds.
    pub seconds: f64,
    /// Figures of all streams together.
    pub total: StreamReport,
    /// Figures of each stream.
    pub streams: Vec<StreamReport>,
    /// Figures of the direct series to the backend servers.
    pub direct: Option<StreamReport>,
    /// Median latency above that of the direct series, in milliseconds.
    pub added_p50_ms: Option<f64>,
    /// 99th percentile of latency above that of the direct series, in milliseconds.
    pub added_p99_ms: Option<f64>,
    /// Delay of this tool between the scheduled time and sending, in milliseconds.
    pub send_lag_p99_ms: f64,
    /// Windows in which shares were compared.
    pub windows: Vec<ShareWindow>,
    /// Largest relative deviation from an entitlement among contended windows.
    pub share_error: Option<f64>,
    /// Whether the execution counts of the backend servers were checked.
    pub executions_checked: bool,
    /// Whether the schedule was truncated at the maximum number of requests.
    pub truncated: bool,
    /// Guarantees that were violated.
    #[serde(rename = "breaches")]
    pub violations: Vec<GuaranteeViolation>,
}

/// Figures of one stream.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct StreamReport {
    /// Customer and queue.
    pub name: String,
    /// Number of scheduled requests.
    pub scheduled: usize,
    /// Number of responses with outcome `ran`.
    pub ran: usize,
    /// Number of responses with outcome `ran` and a status of 500 or above.
    pub server_errors: usize,
    /// Number of responses with outcome `not-run`.
    pub not_run: usize,
    /// Number of responses with outcome `unknown`.
    pub unknown: usize,
    /// Number of requests that the caller cancelled.
    pub cancelled: usize,
    /// Number of requests without a complete response.
    pub broken: usize,
    /// Number of requests that were not sent because too many were in flight.
    pub not_sent: usize,
    /// Rate of responses with outcome `ran` during the time of sending, per second.
    pub ran_per_second: f64,
    /// Median latency of responses with outcome `ran`, in milliseconds.
    pub p50_ms: f64,
    /// 90th percentile of latency with outcome `ran`, in milliseconds.
    pub p90_ms: f64,
    /// 99th percentile of latency with outcome `ran`, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of latency with outcome `ran`, in milliseconds.
    pub p999_ms: f64,
    /// Maximum latency of responses with outcome `ran`, in milliseconds.
    pub max_ms: f64,
    /// Median latency of responses with outcome `not-run`, in milliseconds.
    pub refusal_p50_ms: f64,
    /// 99th percentile of latency with outcome `not-run`, in milliseconds.
    pub refusal_p99_ms: f64,
}

impl LoadReport {
    /// Computes the report of an experiment.
    pub(super) fn new(
        experiment: &LoadExperiment,
        records: &[RequestRecord],
        direct: &[RequestRecord],
        windows: Vec<ShareWindow>,
        violations: Vec<GuaranteeViolation>,
    ) -> Self {
        let seconds = experiment.seconds;
        let total = StreamReport::new("all".to_owned(), seconds, records.iter());
        let streams = experiment.streams.iter().enumerate();
        let streams = streams
            .map(|(index, stream)| {
                let name = format!("{}/{}", stream.customer, stream.queue);
                let stream_records = records.iter().filter(|record| record.stream == index);
                StreamReport::new(name, seconds, stream_records)
            })
            .collect();
        let direct = (!direct.is_empty())
            .then(|| StreamReport::from_direct("direct".to_owned(), seconds, direct));
        let send_lag = latencies(records.iter().map(|r| r.sent.saturating_sub(r.scheduled)));
        let contended = windows.iter().filter(|window| window.is_contended());
        Self {
            seed: experiment.seed,
            seconds,
            added_p50_ms: direct.as_ref().map(|direct| total.p50_ms - direct.p50_ms),
            added_p99_ms: direct.as_ref().map(|direct| total.p99_ms - direct.p99_ms),
            total,
            streams,
            direct,
            send_lag_p99_ms: quantile_ms(&send_lag, 0.99),
            share_error: contended.map(|window| window.error).reduce(f64::max),
            windows,
            executions_checked: false,
            truncated: false,
            violations,
        }
    }

    /// Returns whether no guarantee was violated.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }
}

impl StreamReport {
    fn new<'a>(
        name: String,
        seconds: f64,
        records: impl Iterator<Item = &'a RequestRecord> + Clone,
    ) -> Self {
        let with_outcome = |outcome| {
            records
                .clone()
                .filter(move |r| r.outcome() == Some(outcome))
        };
        let count_ended = |matches_kind: fn(&RequestResult) -> bool| {
            records.clone().filter(|r| matches_kind(&r.result)).count()
        };
        let ran = latencies(with_outcome(RunOutcome::Ran).map(RequestRecord::latency));
        let refused = latencies(with_outcome(RunOutcome::NotRun).map(RequestRecord::latency));
        Self {
            scheduled: records.clone().count(),
            ran: with_outcome(RunOutcome::Ran).count(),
            server_errors: with_outcome(RunOutcome::Ran)
                .filter(is_server_error)
                .count(),
            not_run: with_outcome(RunOutcome::NotRun).count(),
            unknown: with_outcome(RunOutcome::Unknown).count(),
            cancelled: count_ended(|result| *result == RequestResult::Cancelled),
            broken: count_ended(|result| matches!(result, RequestResult::Broken { .. })),
            not_sent: count_ended(|result| *result == RequestResult::NotSent),
            ran_per_second: rate_within(seconds, with_outcome(RunOutcome::Ran)),
            refusal_p50_ms: quantile_ms(&refused, 0.5),
            refusal_p99_ms: quantile_ms(&refused, 0.99),
            name,
            ..Self::default()
        }
        .with_latencies(&ran)
    }

    /// Computes the figures of the direct series, whose responses state no
    /// outcome: a status of 200 counts as `ran`.
    fn from_direct(name: String, seconds: f64, records: &[RequestRecord]) -> Self {
        let is_ok = |record: &&RequestRecord| {
            matches!(record.result, RequestResult::Completed { status: 200, .. })
        };
        let ran: Vec<&RequestRecord> = records.iter().filter(is_ok).collect();
        let latency = latencies(ran.iter().map(|record| record.latency()));
        Self {
            scheduled: records.len(),
            ran: ran.len(),
            broken: records.len() - ran.len(),
            ran_per_second: rate_within(seconds, ran.iter().copied()),
            name,
            ..Self::default()
        }
        .with_latencies(&latency)
    }

    fn with_latencies(self, histogram: &Histogram<u64>) -> Self {
        Self {
            p50_ms: quantile_ms(histogram, 0.5),
            p90_ms: quantile_ms(histogram, 0.9),
            p99_ms: quantile_ms(histogram, 0.99),
            p999_ms: quantile_ms(histogram, 0.999),
            max_ms: histogram.max() as f64 / 1_000.0,
            ..self
        }
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<28} {:>8} {:>8} {:>8} {:>7} {:>9} {:>7} {:>8} {:>9} {:>9} {:>9}",
            "stream",
            "sched",
            "ran",
            "not-run",
            "unknown",
            "cancelled",
            "broken",
            "ran/s",
            "p50 ms",
            "p99 ms",
            "max ms"
        )?;
        let direct = self.direct.iter();
        for stream in self.streams.iter().chain([&self.total]).chain(direct) {
            writeln!(formatter, "{stream}")?;
        }
        self.write_summary(formatter)?;
        for violation in &self.violations {
            writeln!(
                formatter,
                "BROKEN {} times: {}",
                violation.count, violation.guarantee
            )?;
            for example in &violation.examples {
                writeln!(formatter, "    {example}")?;
            }
        }
        let verdict = if self.is_clean() { "kept" } else { "BROKEN" };
        write!(formatter, "promises: {verdict}")
    }
}

impl LoadReport {
    fn write_summary(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut line = format!(
            "seed {}, {} s, tool's own lag p99 {:.3} ms",
            self.seed, self.seconds, self.send_lag_p99_ms
        );
        if let (Some(p50), Some(p99)) = (self.added_p50_ms, self.added_p99_ms) {
            write!(line, ", added delay p50 {p50:.3} ms p99 {p99:.3} ms")?;
        }
        if let Some(error) = self.share_error {
            write!(line, ", share error {:.1} %", error * 100.0)?;
        }
        if !self.executions_checked {
            line.push_str(", executions on backend servers NOT compared");
        }
        if self.truncated {
            line.push_str(", schedule truncated at max-requests");
        }
        if self.total.not_sent > 0 {
            write!(line, ", {} not sent", self.total.not_sent)?;
        }
        writeln!(formatter, "{line}")
    }
}

impl fmt::Display for StreamReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:<28} {:>8} {:>8} {:>8} {:>7} {:>9} {:>7} {:>8.1} {:>9.3} {:>9.3} {:>9.3}",
            self.name,
            self.scheduled,
            self.ran,
            self.not_run,
            self.unknown,
            self.cancelled,
            self.broken,
            self.ran_per_second,
            self.p50_ms,
            self.p99_ms,
            self.max_ms
        )
    }
}

fn is_server_error(record: &&RequestRecord) -> bool {
    matches!(
        record.result,
        RequestResult::Completed { status: 500.., .. }
    )
}

/// Returns the rate of `records` that ended within the first `seconds`.
///
/// Later ones do not count, so that a backlog that is processed after the time
/// of sending is not reported as throughput.
fn rate_within<'a>(seconds: f64, records: impl Iterator<Item = &'a RequestRecord>) -> f64 {
    let in_time = records.filter(|record| record.ended.as_secs_f64() <= seconds);
    in_time.count() as f64 / seconds
}

/// Returns a histogram of `times` in microseconds.
fn latencies(times: impl Iterator<Item = time::Duration>) -> Histogram<u64> {
    let histogram = Histogram::new_with_max(MAX_LATENCY_MICROS, LATENCY_DIGITS);
    let mut histogram = match histogram {
        Ok(histogram) => histogram,
        Err(error) => unreachable!("constant bounds of the histogram are valid: {error}"),
    };
    for time in times {
        histogram.saturating_record(time.as_micros() as u64);
    }
    histogram
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}
