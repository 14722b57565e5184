//! Limits and intervals of the scheduler.

use std::time;

/// Whether the weights of customers decide which of them is placed first.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum SharePolicy {
    /// One order for all customers: priority, least work without a run, due time.
    Ignored,
    /// Customers that use less than their share go first.
    #[default]
    Weighted,
}

/// Limits and intervals of the scheduler.
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// Length of the lease that each start order and renewal grants.
    pub lease: time::Duration,
    /// Longest lease that a worker grants; it shortens longer ones.
    pub max_lease: time::Duration,
    /// Longest time after which a worker carries out an order that has no response.
    pub max_order_delay: time::Duration,
    /// Longest time from a lease renewal that does not wait until its response or failure.
    pub max_response_delay: time::Duration,
    /// Longest time for which leases of an owner may last after its latest change: the
    /// time for which it may send orders without a confirmed row, plus one lease on
    /// a slow clock.
    pub inherited_lease: time::Duration,
    /// Largest fraction by which a worker's clock may be slow.
    pub max_clock_drift: f64,
    /// Time added to each lease before it counts as expired.
    pub lease_margin: time::Duration,
    /// How long a worker with runs is unresponsive before the end of its leases is
    /// stored for the next owner.
    pub lease_record_delay: time::Duration,
    /// Shortest time between two changes that store the ends of leases because other
    /// workers respond or do not.
    pub lease_record_batch_delay: time::Duration,
    /// Time after which the stored ends of leases are stored again with the time left.
    pub lease_record_interval: time::Duration,
    /// Largest number of workers whose ends of leases are stored.
    pub max_lease_ends: usize,
    /// Largest number of workers that the owner row names because their leases last longer
    /// than those of orders on time; of more, one end counts for all workers.
    pub max_late_leases: usize,
    /// The same for the workers whose responses to starts are awaited or missing; they are
    /// named for a moment only.
    pub max_unconfirmed_leases: usize,
    /// Time for which a wait must have lasted before it is stored for the next owner.
    pub wait_record_delay: time::Duration,
    /// Time after which stored waits are stored again with the time that they have
    /// lasted.
    pub wait_record_interval: time::Duration,
    /// Largest number of progress rows that are stored together only because runs make
    /// no progress.
    pub max_stalled_rows: usize,
    /// Largest number of workers whose health is stored for the next owner.
    pub max_stored_health: usize,
    /// Largest number of workers whose permits and denials are stored for the next
    /// owner.
    pub max_stored_advice: usize,
    /// Longest time from a change until it is known to be stored, where a stored time
    /// must not count as longer than it is.
    pub max_row_delay: time::Duration,
    /// Longest time that a worker may wait for a run to end before it responds
    /// to a lease renewal.
    pub max_renewal_wait: time::Duration,
    /// Delay before the next renewal after one that listed ended runs, unless rows are
    /// stored before that allow to acknowledge some: until then each response lists
    /// the same runs again.
    pub renewal_batch_delay: time::Duration,
    /// Delay before a renewal that got no response is retried.
    pub renewal_retry_delay: time::Duration,
    /// Delay before a stop order that got no response is retried.
    pub stop_retry_delay: time::Duration,
    /// Longest time for which a worker still lists a run that was ordered to stop.
    pub stop_timeout: time::Duration,
    /// How long a worker that rejected a start order, or did not respond to it, gets
    /// no new tasks.
    pub rejection_cooldown: time::Duration,
    /// Consecutive failed runs on a worker after which it gets no new tasks.
    pub consecutive_failure_limit: u32,
    /// How long a worker with failing or stalled runs gets no new tasks.
    pub failure_cooldown: time::Duration,
    /// Time without progress after which a run is stopped.
    pub stall_timeout: time::Duration,
    /// How long the state of a finished job stays readable.
    pub retention: time::Duration,
    /// Largest number of progress rows stored together.
    pub max_rows_per_change: usize,
    /// Largest number of tasks in rows that are stored together, which limits
    /// their size.
    pub max_tasks_per_change: usize,
    /// Largest size of a progress row, in bytes.
    pub max_row_bytes: usize,
    /// Longest time from the confirmation of an evacuation until the last start in the
    /// data centre; none if no such time is kept.
    pub evacuation_bound: Option<time::Duration>,
    /// Whether customers share pools by their weights.
    pub share_policy: SharePolicy,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            lease: time::Duration::from_millis(5_000),
            max_lease: time::Duration::from_millis(10_000),
            max_order_delay: time::Duration::from_millis(14_000),
            max_response_delay: time::Duration::from_millis(700),
            inherited_lease: time::Duration::from_millis(7_900),
            max_clock_drift: 0.02,
            lease_margin: time::Duration::from_millis(300),
            lease_record_delay: time::Duration::from_millis(1_000),
            lease_record_batch_delay: time::Duration::from_millis(200),
            lease_record_interval: time::Duration::from_millis(1_000),
            max_lease_ends: 2_048,
            max_late_leases: 64,
            max_unconfirmed_leases: 1_024,
            wait_record_delay: time::Duration::from_millis(1_000),
            wait_record_interval: time::Duration::from_millis(1_000),
            max_stalled_rows: 16,
            max_stored_health: 64,
            max_stored_advice: 64,
            max_row_delay: time::Duration::from_millis(1_000),
            max_renewal_wait: time::Duration::from_millis(1_000),
            renewal_batch_delay: time::Duration::from_millis(100),
            renewal_retry_delay: time::Duration::from_millis(300),
            stop_retry_delay: time::Duration::from_millis(500),
            stop_timeout: time::Duration::from_millis(1_000),
            rejection_cooldown: time::Duration::from_millis(1_000),
            consecutive_failure_limit: 4,
            failure_cooldown: time::Duration::from_secs(3),
            stall_timeout: time::Duration::from_millis(2_500),
            retention: time::Duration::from_secs(300),
            max_rows_per_change: 80,
            max_tasks_per_change: 4_000,
            max_row_bytes: 65_536,
            evacuation_bound: None,
            share_policy: SharePolicy::default(),
        }
    }
}

impl SchedulerSettings {
    /// Returns how long a lease may last after its order, by our clock.
    pub fn lease_bound(&self) -> time::Duration {
        self.bound_of(self.lease)
    }

    /// Returns how long the longest lease that a worker grants may last, by our clock.
    pub fn longest_lease_bound(&self) -> time::Duration {
        self.bound_of(self.max_lease)
    }

    /// Returns for how long after its latest change an owner may send orders.
    pub(super) fn order_period(&self) -> time::Duration {
        self.inherited_lease.saturating_sub(self.lease_bound())
    }

    fn bound_of(&self, lease: time::Duration) -> time::Duration {
        lease.mul_f64(1.0 + self.max_clock_drift) + self.lease_margin
    }
}
