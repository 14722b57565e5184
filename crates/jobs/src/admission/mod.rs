//! Refusal of jobs that cannot be done in time, before they are stored.
//!
//! Load pattern: a customer sends many times its usual load for seconds, to all entry
//! VMs. What is accepted beyond the customer's share waits until nobody wants it any
//! more, and makes the rest of its jobs late. A job is refused if the work that was
//! accepted before it takes the customer's share of the pool for longer than the job
//! is useful; its caller gets the time after which a retry can succeed.
//!
//! Every entry VM decides by the [`BacklogSummary`] that the owner of the scheduling
//! publishes, and by what it has itself accepted since. Without a recent summary all
//! jobs are admitted, so that no takeover and no table outage refuses any.

mod ledger;
mod retry;
mod summary;

use std::sync;
use std::time;

use crate::manifest::QueuePolicy;
use crate::name::{CustomerName, JobId, PoolName};
use crate::spec::JobSpec;
use crate::time::{BootTime, WallTime};

use ledger::AdmissionLedger;
use retry::RetryQueue;
use summary::{work_ahead, work_due};

pub(crate) use summary::averaged_rate;
pub use summary::{
    BacklogLevel, BacklogSummary, CustomerBacklog, MAX_CUSTOMERS, MAX_LEVELS, MAX_POOLS,
    PoolBacklog,
};

/// Multiple of its objective after which a finished job is of no use any more.
pub const LATEST_FACTOR: f64 = 3.0;

/// Limits of the admission.
#[derive(Clone, Debug)]
pub struct AdmissionSettings {
    /// Maximum age of the summary; with an older one all jobs are admitted.
    pub max_age: time::Duration,
    /// Time after a refusal for which an entry VM counts what it expects that others
    /// admit.
    pub comparison_validity: time::Duration,
    /// Whether a job is refused that could be done in time itself, but only instead of
    /// one that its customer sent before and that was accepted.
    pub protects_accepted: bool,
    /// Least time after which a refused caller may retry.
    pub min_retry_after: time::Duration,
    /// Longest time after which a refused caller may retry.
    pub max_retry_after: time::Duration,
    /// Largest number of refused jobs whose retry times are remembered.
    pub max_remembered: usize,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            max_age: time::Duration::from_secs(3),
            comparison_validity: time::Duration::from_secs(10),
            protects_accepted: true,
            min_retry_after: time::Duration::from_secs(1),
            max_retry_after: time::Duration::from_secs(60),
            max_remembered: 10_000,
        }
    }
}

/// Job that asks for admission.
#[derive(Clone, Debug, PartialEq)]
pub struct JobArrival {
    /// Pool that would run it.
    pub pool: PoolName,
    /// Its customer.
    pub customer: Option<CustomerName>,
    /// Priority of its queue; 0 comes first.
    pub priority: u32,
    /// Time objective from its arrival; none if it is never refused for backlog: it is
    /// long-running, due later, or of unknown duration without an objective.
    pub objective: Option<time::Duration>,
    /// Estimated duration of its critical path.
    pub critical_path: time::Duration,
    /// Estimated work of all its tasks, in core-milliseconds.
    pub work: u64,
}

impl JobArrival {
    /// Describes a job that arrives at a queue.
    pub fn new(queue: &QueuePolicy, customer: Option<&CustomerName>, spec: &JobSpec) -> Self {
        let critical_path = time::Duration::from_millis(spec.critical_path_ms(|_| 100));
        let objective = queue.objective(critical_path);
        let may_wait = spec.is_long_running() || spec.schedule.is_some();
        Self {
            pool: queue.pool.clone(),
            customer: customer.cloned(),
            priority: queue.priority,
            objective: Some(objective).filter(|objective| !may_wait && !objective.is_zero()),
            critical_path,
            work: spec.estimated_work() / 1_000,
        }
    }

    /// Returns the latest time from its arrival at which it may start and still be of
    /// use, if it may be refused.
    fn latest_start(&self) -> Option<time::Duration> {
        let latest = self.objective?.mul_f64(LATEST_FACTOR);
        Some(latest.saturating_sub(self.critical_path))
    }
}

/// Decision on one job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// The job may be stored.
    Admitted,
    /// The job cannot be done in time and must not be stored.
    Refused {
        /// Time after which the caller may retry.
        retry_after: time::Duration,
    },
}

/// Work that does not fit before a job's latest start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExcessWork {
    /// The work, in core-milliseconds.
    pub work: f64,
    /// Rate at which the customer's backlog drains, in core-milliseconds a second.
    pub drain_rate: f64,
}

/// Work that was admitted since a publication.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmittedWork {
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Latest time from the publication at which it may start and still be of use.
    pub latest_start: time::Duration,
    /// The work, in core-milliseconds.
    pub work: f64,
}

/// Work of one customer before a job, as it is published and admitted since.
struct WorkBefore<'a> {
    customer: &'a CustomerBacklog,
    admitted: &'a [AdmittedWork],
    priority: u32,
}

impl WorkBefore<'_> {
    /// Returns the work that is placed before a job that must start within `start_ms`,
    /// in core-milliseconds: all of higher priorities, and what must start earlier of
    /// the same.
    fn ahead(&self, start_ms: f64) -> f64 {
        let admitted = self.admitted.iter().filter(|admitted| {
            admitted.priority < self.priority
                || admitted.priority == self.priority && admitted.start_ms() <= start_ms
        });
        let admitted: f64 = admitted.map(|admitted| admitted.work).sum();
        work_ahead(&self.customer.levels, self.priority, start_ms) + admitted
    }

    /// Returns the work that must start within `start_ms`, and what may be placed before
    /// it: all that was admitted since, in core-milliseconds.
    fn due(&self, start_ms: f64) -> f64 {
        let admitted = self.admitted.iter();
        let admitted = admitted.filter(|entry| entry.priority <= self.priority);
        let admitted: f64 = admitted.map(|entry| entry.work).sum();
        work_due(&self.customer.levels, self.priority, start_ms) + admitted
    }

    /// Returns the latest starts of published work before `start_ms`, in milliseconds.
    fn earlier_starts(&self, start_ms: f64) -> impl Iterator<Item = f64> {
        let starts = self.customer.levels.iter();
        let starts = starts.map(BacklogLevel::start_ms);
        starts.filter(move |earlier_ms| *earlier_ms < start_ms)
    }
}

impl AdmittedWork {
    fn start_ms(&self) -> f64 {
        self.latest_start.as_millis() as f64
    }
}

/// Decides on a job by the backlog of its pool, of which the publication has the
/// given age; `admitted` is the work of its customer that was admitted since then.
///
/// Returns none if the job can be done in time and, with `protects_accepted`, no job of
/// its customer that was accepted before becomes useless by it.
pub fn check(
    arrival: &JobArrival,
    backlog: &PoolBacklog,
    admitted: &[AdmittedWork],
    age: time::Duration,
    protects_accepted: bool,
) -> Option<ExcessWork> {
    let customer = backlog.customer(&arrival.customer)?;
    if customer.waiting() == 0 && admitted.iter().all(|admitted| admitted.work <= 0.0) {
        return None;
    }
    let before = WorkBefore {
        customer,
        admitted,
        priority: arrival.priority,
    };
    let millis = |span: time::Duration| span.as_millis() as f64;
    // What tasks leave free until a job ends is used by jobs that end later, too.
    let usable_path_ms = millis(arrival.critical_path) / 2.0;
    let start_ms = millis(age + arrival.latest_start()?);
    let begun = customer.running as f64 + arrival.work as f64;
    let excess_at = |start_ms: f64, waiting: f64| {
        let capacity = backlog.allotment(customer, start_ms + usable_path_ms);
        begun + waiting - capacity
    };
    let ahead = before.ahead(start_ms);
    // Accepted work that must start earlier may be placed after the job; what had to
    // start by now has, or is of no use.
    let earlier = before.earlier_starts(start_ms);
    let earlier = earlier.filter(|earlier_ms| protects_accepted && *earlier_ms > millis(age));
    let earlier = earlier.map(|earlier_ms| excess_at(earlier_ms, before.due(earlier_ms)));
    let excess = earlier.fold(excess_at(start_ms, ahead), f64::max);
    let span_ms = start_ms + usable_path_ms;
    let share_rate = backlog.allotment(customer, span_ms) / span_ms.max(1.0) * 1_000.0;
    (excess > 0.0).then(|| ExcessWork {
        work: excess,
        drain_rate: share_rate.max(customer.drain_rate as f64),
    })
}

/// Summary with the time at which it was made, by the clock of this VM.
#[derive(Clone, Debug)]
struct ReceivedSummary {
    summary: sync::Arc<BacklogSummary>,
    made_at: BootTime,
}

/// Admission at one entry VM.
#[derive(Debug)]
pub struct JobAdmission {
    settings: AdmissionSettings,
    received: Option<ReceivedSummary>,
    ledger: AdmissionLedger,
    retries: RetryQueue,
}

impl JobAdmission {
    /// Creates an admission without a summary, which admits all jobs; `seed` differs
    /// from VM to VM.
    pub fn new(settings: AdmissionSettings, seed: u64) -> Self {
        Self {
            ledger: AdmissionLedger::new(&settings, seed),
            retries: RetryQueue::new(&settings, seed),
            received: None,
            settings,
        }
    }

    /// Takes over a summary that was read, and returns when it was made, by the clock of
    /// this VM; one that is known already is ignored.
    pub fn receive(
        &mut self,
        summary: &sync::Arc<BacklogSummary>,
        now: BootTime,
        wall: WallTime,
    ) -> Option<BootTime> {
        let is_known = self
            .received
            .as_ref()
            .is_some_and(|received| received.summary.published == summary.published);
        if is_known {
            return None;
        }
        let age = wall.saturating_since(summary.published);
        let made_at = now.as_millis().saturating_sub(age.as_millis() as u64);
        let made_at = BootTime::from_millis(made_at);
        self.ledger.compare(summary, made_at);
        self.received = Some(ReceivedSummary {
            summary: sync::Arc::clone(summary),
            made_at,
        });
        Some(made_at)
    }

    /// Decides on a job. An admitted one counts as stored, unless [`Self::withdraw`]
    /// is called.
    pub fn decide(&mut self, id: &JobId, arrival: &JobArrival, now: BootTime) -> AdmissionDecision {
        match self.excess(arrival, now) {
            Some(excess) => {
                self.ledger.refuse(arrival, now);
                AdmissionDecision::Refused {
                    retry_after: self.retries.refuse(id, arrival, &excess, now),
                }
            }
            None => {
                self.retries.forget(id);
                self.ledger.add(id, arrival, now);
                AdmissionDecision::Admitted
            }
        }
    }

    /// Records that an admitted job was not stored, or had been before.
    pub fn withdraw(&mut self, id: &JobId, arrival: &JobArrival) {
        self.ledger.remove(id, arrival);
    }

    fn excess(&mut self, arrival: &JobArrival, now: BootTime) -> Option<ExcessWork> {
        let received = self.received.as_ref()?;
        let age = now.saturating_since(received.made_at);
        if age > self.settings.max_age {
            return None;
        }
        let backlog = received.summary.pools.get(&arrival.pool)?;
        if arrival.objective.is_some() && backlog.has_no_capacity() {
            return Some(ExcessWork {
                work: arrival.work as f64,
                drain_rate: 0.0,
            });
        }
        let customer = backlog.customer(&arrival.customer)?;
        let span = arrival.objective?.mul_f64(LATEST_FACTOR);
        let limit = backlog.allotment(customer, span.as_millis() as f64);
        let is_near_limit = customer.waiting() as f64 >= limit / 2.0;
        let made_at = received.made_at;
        let admitted = self
            .ledger
            .admitted_since(arrival, made_at, is_near_limit, now);
        let excess = check(
            arrival,
            backlog,
            &admitted.work,
            age,
            self.settings.protects_accepted,
        )?;
        // The others let in as many of the refused callers at the same time.
        Some(ExcessWork {
            work: excess.work / admitted.ratio,
            drain_rate: excess.drain_rate / admitted.ratio,
        })
    }
}

/// Returns a number from 0 to 1 that is evenly distributed over seeds (the generator
/// SplitMix64).
fn fraction_of(seed: u64) -> f64 {
    let state = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
}
