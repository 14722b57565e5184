//! How often workers end by themselves.
//!
//! Load pattern: pools that lose a worker a day, and pools that lose one each second for a
//! while, or of which some workers end again and again.

use std::collections::{HashMap, VecDeque};
use std::time;

use crate::evidence::EndRate;
use crate::name::{PoolName, WorkerId};
use crate::time::BootTime;

use super::JobScheduler;

/// Time for which ends of workers are remembered.
const RETENTION: time::Duration = time::Duration::from_secs(60);

/// Time that this owner counts as having observed the workers at least, for runs that speak
/// for their tasks.
const SHORTEST_OBSERVED: time::Duration = time::Duration::from_secs(1);

/// As [`SHORTEST_OBSERVED`], for runs that speak against their tasks.
const MIN_OBSERVED: time::Duration = time::Duration::from_secs(5);

/// Shortest life of a worker that is told from none.
const SHORTEST_LIFE: time::Duration = time::Duration::from_millis(1);

/// Ends of workers that this owner knows of.
#[derive(Clone, Debug, Default)]
pub(super) struct EndHistory {
    /// Since when it observes the workers.
    began_at: Option<BootTime>,
    /// Latest ends of the workers of each pool.
    pools: HashMap<PoolName, VecDeque<BootTime>>,
    /// Latest end of each worker.
    workers: HashMap<WorkerId, BootTime>,
}

impl EndHistory {
    /// Forgets what is too old; to be called now and then.
    pub(super) fn prune(&mut self, now: BootTime) {
        self.began_at.get_or_insert(now);
        let is_recent = |at: &BootTime| now.saturating_since(*at) < RETENTION;
        self.workers.retain(|_, at| is_recent(at));
        for ends in self.pools.values_mut() {
            ends.retain(is_recent);
        }
        self.pools.retain(|_, ends| !ends.is_empty());
    }

    /// Records that a worker of a pool ended by itself.
    pub(super) fn add(&mut self, pool: &PoolName, worker: &WorkerId, now: BootTime) {
        self.pools.entry(pool.clone()).or_default().push_back(now);
        self.workers.insert(worker.clone(), now);
    }

    /// Returns how often one of so many workers of a pool ends, with one end more than was
    /// seen: that none was seen for a short time says little.
    fn rate(&self, pool: Option<&PoolName>, workers: usize, now: BootTime) -> EndRate {
        let began_at = self.began_at.unwrap_or(now);
        let observed = now.saturating_since(began_at);
        let ends = pool.and_then(|pool| self.pools.get(pool));
        let ends = ends.map_or(0, VecDeque::len);
        let per_second = |shortest: time::Duration| {
            let observed = observed.clamp(shortest, RETENTION).as_secs_f64();
            (ends + 1) as f64 / (workers.max(1) as f64 * observed)
        };
        EndRate {
            per_second: per_second(MIN_OBSERVED),
            at_most_per_second: per_second(SHORTEST_OBSERVED),
            ends,
        }
    }
}

impl JobScheduler {
    /// Records that a worker ended by itself.
    pub(super) fn note_end(&mut self, worker: &WorkerId, now: BootTime) {
        let view = self.fleet.get(worker).and_then(|entry| entry.view.as_ref());
        if let Some(pool) = view.map(|view| view.pool.clone()) {
            self.ends.add(&pool, worker, now);
        }
    }

    /// Returns how often the workers of a pool end by themselves.
    pub(super) fn pool_end_rate(&self, pool: &PoolName, now: BootTime) -> EndRate {
        let workers = self.fleet.of_pool(pool);
        let workers = workers.filter(|(_, entry)| entry.is_listed).count();
        self.ends.rate(Some(pool), workers, now)
    }

    /// Returns how often a worker ends by itself: as the workers of its pool do, or as its
    /// own life was short if it has ended before.
    pub(super) fn end_rate(&self, worker: &WorkerId, now: BootTime) -> EndRate {
        let entry = self.fleet.get(worker);
        let view = entry.and_then(|entry| entry.view.as_ref());
        let (Some(entry), Some(view)) = (entry, view) else {
            return self.ends.rate(None, 1, now);
        };
        let rate = self.pool_end_rate(&view.pool, now);
        if !self.ends.workers.contains_key(worker) {
            return rate;
        }
        let ended_at = entry.silent_since.unwrap_or(now);
        let life = ended_at.saturating_since(entry.listed_since);
        let of_life = 1.0 / life.max(SHORTEST_LIFE).as_secs_f64();
        EndRate {
            per_second: rate.per_second.max(of_life),
            at_most_per_second: rate.at_most_per_second.max(of_life),
            ..rate
        }
    }
}
