//! What the ends of workers say about the tasks on them.
//!
//! A task that crashes its workers does so shortly after each start; any other task meets
//! the end of a worker at any time of its run. So a run that had gone on for long speaks for
//! its task, and one that had just begun speaks against it: the more, the less likely it is
//! that the worker ended by itself just then.

use std::time;

use serde::{Deserialize, Serialize};

/// Chance, as a power of ten below one, that a task which does not crash its workers meets
/// what counts as conclusive evidence against it, while one worker of its pool has ended: one
/// in ten million. With more ends more tasks are at risk, and it is lower in proportion.
const CONCLUSIVE_DECADES: f64 = 7.0;

/// Most that one end of a worker says about a task, in the same unit: two are needed at
/// least.
const MOST_DECADES: f64 = 3.5;

/// Crashes that are conclusive at the earliest, if the latest worker ran nothing of other
/// jobs.
const MIN_ISOLATED_CRASHES: u32 = 2;

/// As [`MIN_ISOLATED_CRASHES`], if it did: another task may have crashed these workers.
const MIN_SHARED_CRASHES: u32 = 4;

/// Chance that an end counts with of which it is not known how long the run had gone on.
/// A run with a larger one speaks for its task.
const UNMEASURED_CHANCE: f64 = 0.02;

/// Time after which a run speaks for its task, however rarely workers end.
const LONGEST_TRIAL: time::Duration = time::Duration::from_secs(10);

/// Longest run that had just begun: its worker is not taken to have ended by itself.
const JUST_BEGUN: time::Duration = time::Duration::from_millis(100);

/// Longest average of the runs of a task whose workers ended at the start.
const LONGEST_START: time::Duration = time::Duration::from_millis(500);

/// Largest number of ends of either kind in a [`CrashEvidence`]: one digit.
const MAX_COUNT: u32 = 9;

/// Largest sum in a [`CrashEvidence`]: three digits.
const MAX_SUM: u32 = 999;

/// Bounds of the time for which a run went on until its worker ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunSpan {
    /// Time between the first and the last sign of the run, on the clock of its worker; none
    /// without any.
    pub seen: Option<time::Duration>,
    /// Time from the order to start it until its worker no longer responded; none if an
    /// earlier owner gave the order.
    pub at_most: Option<time::Duration>,
    /// Time from the latest response of the worker to this owner until it no longer
    /// responded; none if it never responded to this owner.
    pub unheard: Option<time::Duration>,
}

impl RunSpan {
    /// Returns whether the run is known to have begun so shortly before the end of its worker
    /// that this speaks against its task.
    pub fn is_measured(&self, rate: EndRate) -> bool {
        self.measured(rate).is_some()
    }

    /// Returns whether the run is known to have begun milliseconds before that end.
    pub fn had_just_begun(&self) -> bool {
        self.longest().is_some_and(|longest| longest <= JUST_BEGUN)
    }

    fn measured(&self, rate: EndRate) -> Option<time::Duration> {
        let is_short = |longest: &time::Duration| rate.chance(*longest) < UNMEASURED_CHANCE;
        self.longest().filter(is_short)
    }

    /// Returns for how long the run went on at most; none if it may not have begun, as without
    /// any sign of it.
    fn longest(&self) -> Option<time::Duration> {
        self.at_most.filter(|_| self.seen.is_some())
    }

    /// Returns whether there is no sign of the run and its worker may well have ended before
    /// it could begin.
    fn may_not_have_begun(&self, rate: EndRate) -> bool {
        let is_long = |unheard| rate.chance(unheard) >= UNMEASURED_CHANCE;
        self.seen.is_none() && self.unheard.is_some_and(is_long)
    }
}

/// How often a worker ends by itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndRate {
    /// Ends of a worker, a second.
    pub per_second: f64,
    /// As many as there may be if the workers were observed for a short time only.
    pub at_most_per_second: f64,
    /// Latest ends in its pool.
    pub ends: usize,
}

impl EndRate {
    /// Returns the chance that a worker ends within `span`; may be more than one.
    fn chance(self, span: time::Duration) -> f64 {
        self.per_second * span.as_secs_f64()
    }

    /// Returns whether a run that goes on for `seen` speaks for its task.
    pub fn clears(self, seen: time::Duration) -> bool {
        let chance = self.at_most_per_second * seen.as_secs_f64();
        seen >= LONGEST_TRIAL || chance >= UNMEASURED_CHANCE
    }
}

/// What the end of a worker says about the task of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndVerdict {
    /// It speaks for the task: the run had gone on for long enough.
    Cleared,
    /// It speaks against the task: the run had gone on for this long at most.
    Measured(time::Duration),
    /// It speaks a little against the task: the run may have begun just then.
    Unmeasured,
    /// It says nothing: the worker may well have ended before the run could begin.
    Neutral,
}

impl EndVerdict {
    /// Judges the end of a worker under a run.
    pub fn new(span: &RunSpan, rate: EndRate) -> Self {
        if span.seen.is_some_and(|seen| rate.clears(seen)) {
            return Self::Cleared;
        }
        match span.measured(rate) {
            Some(longest) => Self::Measured(longest),
            None if span.may_not_have_begun(rate) => Self::Neutral,
            None => Self::Unmeasured,
        }
    }
}

/// Evidence against a task: the ends of workers under its latest runs, since one that speaks
/// for it.
///
/// Serialized as one number of at most five digits to keep rows small: the measured ends,
/// ten times the others, and a hundred times the sum.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "u32", into = "u32")]
pub struct CrashEvidence {
    /// Ends of which it is known how long the run had gone on at most.
    measured: u32,
    /// Other ends.
    unmeasured: u32,
    /// Sum of the logarithms of these times in milliseconds, in tenths of a power of ten.
    log_sum: u32,
}

impl CrashEvidence {
    /// Returns the evidence of ends of which nothing but their number is known.
    pub fn unmeasured(count: u32) -> Self {
        Self {
            unmeasured: count.min(MAX_COUNT),
            ..Self::default()
        }
    }

    /// Returns the number of ends.
    pub fn count(&self) -> u32 {
        self.measured + self.unmeasured
    }

    /// Returns the evidence with the end of one more worker.
    #[must_use]
    pub fn with(self, verdict: EndVerdict) -> Self {
        match verdict {
            EndVerdict::Cleared => Self::default(),
            EndVerdict::Neutral => self,
            EndVerdict::Measured(longest) => Self {
                measured: (self.measured + 1).min(MAX_COUNT),
                log_sum: (self.log_sum + log_tenths(longest)).min(MAX_SUM),
                ..self
            },
            EndVerdict::Unmeasured => Self {
                unmeasured: (self.unmeasured + 1).min(MAX_COUNT),
                ..self
            },
        }
    }

    /// Returns the evidence without an end that was added: the worker has not ended.
    #[must_use]
    pub fn without(self, verdict: EndVerdict) -> Self {
        match verdict {
            EndVerdict::Cleared | EndVerdict::Neutral => self,
            EndVerdict::Measured(longest) => Self {
                measured: self.measured.saturating_sub(1),
                log_sum: self.log_sum.saturating_sub(log_tenths(longest)),
                ..self
            },
            EndVerdict::Unmeasured => Self {
                unmeasured: self.unmeasured.saturating_sub(1),
                ..self
            },
        }
    }

    /// Returns whether all workers ended soon after the start of the run.
    pub fn is_at_start(&self) -> bool {
        let limit = self.measured * log_tenths(LONGEST_START);
        self.measured > 0 && self.unmeasured == 0 && self.log_sum <= limit
    }

    /// Returns whether the task crashes its workers, beyond reasonable doubt; `is_isolated`
    /// tells whether the latest one ran nothing of other jobs.
    pub fn is_conclusive(&self, rate: EndRate, is_isolated: bool) -> bool {
        let fewest = if is_isolated {
            MIN_ISOLATED_CRASHES
        } else {
            MIN_SHARED_CRASHES
        };
        let decades = CONCLUSIVE_DECADES + (rate.ends.max(1) as f64).log10();
        self.count() >= fewest && self.decades(rate) >= decades
    }

    /// Returns how unlikely the ends are if the workers ended by themselves, as a power of
    /// ten below one.
    fn decades(&self, rate: EndRate) -> f64 {
        let measured = f64::from(self.measured);
        let per_millisecond = rate.per_second / 1_000.0;
        let decades = -measured * per_millisecond.log10() - f64::from(self.log_sum) / 10.0;
        let unmeasured = -UNMEASURED_CHANCE.log10() * f64::from(self.unmeasured);
        decades.clamp(0.0, MOST_DECADES * measured) + unmeasured
    }
}

impl From<u32> for CrashEvidence {
    fn from(value: u32) -> Self {
        Self {
            measured: value % 10,
            unmeasured: value / 10 % 10,
            log_sum: (value / 100).min(MAX_SUM),
        }
    }
}

impl From<CrashEvidence> for u32 {
    fn from(evidence: CrashEvidence) -> Self {
        evidence.log_sum * 100 + evidence.unmeasured * 10 + evidence.measured
    }
}

/// Returns the logarithm of a time in milliseconds, in tenths of a power of ten.
fn log_tenths(span: time::Duration) -> u32 {
    let millis = span.as_millis().max(1) as f64;
    (millis.log10() * 10.0).round() as u32
}
