//! What the configuration needs of the other entry processes.

use std::time;

use redwing_model::admin::MemberStatus;
use redwing_provider::{LocalFuture, TableRow};

use crate::peer::ConfigCopy;

/// Way to the configuration of the other entry processes.
pub trait PeerSpread {
    /// Sends rows that the table has accepted to all peers, and returns how
    /// many of them then have `version` or a later one in force.
    fn announce<'a>(&'a self, rows: &'a [TableRow], version: u64) -> LocalFuture<'a, usize>;

    /// Returns the number of other members; `None` before they were first read.
    fn peer_count(&self) -> Option<usize>;

    /// Returns how many of them were heard of within `limit`.
    fn reachable(&self, limit: time::Duration) -> usize;

    /// Returns the highest version that a peer was heard to have in force.
    fn highest_version(&self) -> u64;

    /// Returns what is known of each member, this process included.
    fn members(&self) -> Vec<MemberStatus>;

    /// Returns the configuration of every peer that answers.
    fn fetch_copies(&self) -> LocalFuture<'_, Vec<ConfigCopy>>;
}

/// Returns whether `count` members are a majority of the `peers` and this
/// process; nothing is while the peers are not known.
pub fn is_majority(count: usize, peers: Option<usize>) -> bool {
    peers.is_some_and(|peers| count * 2 > peers + 1)
}

/// Returns the copy to install when the table cannot be read, if enough peers
/// answered.
///
/// A process that starts anew has forgotten what it acknowledged, so it does
/// not count itself: only a majority made up of others is sure to include one
/// that has the latest accepted version. A peer without a configuration has
/// none to tell and does not count either.
pub fn highest_copy(copies: Vec<ConfigCopy>, peers: Option<usize>) -> Option<ConfigCopy> {
    let loaded: Vec<ConfigCopy> = copies.into_iter().filter(|copy| copy.version > 0).collect();
    if !is_majority(loaded.len(), peers) {
        return None;
    }
    loaded.into_iter().max_by_key(|copy| copy.version)
}

/// Peers of a process that runs alone.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

impl PeerSpread for NoPeers {
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

    fn fetch_copies(&self) -> LocalFuture<'_, Vec<ConfigCopy>> {
        Box::pin(async { Vec::new() })
    }
}
