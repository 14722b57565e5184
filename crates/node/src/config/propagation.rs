//! Propagation of the configuration to the other entry processes.

use std::time;

use redwing_model::admin::MemberStatus;
use redwing_provider::{LocalFuture, TableRow};

use crate::peer::ConfigSnapshot;

/// Access to the configuration of the other entry processes.
pub trait ConfigPropagation {
    /// Sends committed rows to all peers; returns how many of them then have
    /// `version` or a later one in force.
    fn announce<'a>(&'a self, rows: &'a [TableRow], version: u64) -> LocalFuture<'a, usize>;

    /// Returns the number of other members; `None` until they were first read.
    fn peer_count(&self) -> Option<usize>;

    /// Returns how many of them last responded at most `max_age` ago.
    fn reachable(&self, max_age: time::Duration) -> usize;

    /// Returns the highest version that a peer reported to have in force.
    fn highest_version(&self) -> u64;

    /// Returns the status of each member, including this process.
    fn members(&self) -> Vec<MemberStatus>;

    /// Returns the configuration of every peer that responds.
    fn fetch_snapshots(&self) -> LocalFuture<'_, Vec<ConfigSnapshot>>;
}

/// Returns whether `count` members are a majority of `peer_count` peers and this
/// process; false while the number of peers is unknown.
pub fn is_majority(count: usize, peer_count: Option<usize>) -> bool {
    peer_count.is_some_and(|peer_count| count * 2 > peer_count + 1)
}

/// Returns the snapshot to install when the table cannot be read, if enough
/// peers responded.
///
/// A restarted process has lost the versions that it acknowledged, so it does
/// not count itself: only a majority of other members is certain to include
/// one with the latest accepted version. A peer without a configuration does
/// not count either.
pub fn majority_snapshot(
    snapshots: Vec<ConfigSnapshot>,
    peer_count: Option<usize>,
) -> Option<ConfigSnapshot> {
    let loaded: Vec<ConfigSnapshot> = snapshots
        .into_iter()
        .filter(|snapshot| snapshot.version > 0)
        .collect();
    if !is_majority(loaded.len(), peer_count) {
        return None;
    }
    loaded.into_iter().max_by_key(|snapshot| snapshot.version)
}

/// Propagation for a process without peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

impl ConfigPropagation for NoPeers {
    fn announce<'a>(&'a self, _: &'a [TableRow], _: u64) -> LocalFuture<'a, usize> {
        Box::pin(async { 0 })
    }

    fn peer_count(&self) -> Option<usize> {
        Some(0)
    }

    fn reachable(&self, _: time::Duration) -> usize {
        0
    }

    fn highest_version(&self) -> u64 {
        0
    }

    fn members(&self) -> Vec<MemberStatus> {
        Vec::new()
    }

    fn fetch_snapshots(&self) -> LocalFuture<'_, Vec<ConfigSnapshot>> {
        Box::pin(async { Vec::new() })
    }
}
