//! Detection of ended incarnations whose tokens may be assigned to others.
//!
//! An incarnation has ended when a newer one runs on the same entry VM, when
//! its row is gone, or when the platform no longer lists its VM. Since the list
//! lags, it is ignored for an incarnation whose row is younger than the lag. A
//! timeout alone is never sufficient: a paused process may resume, and during
//! an outage of the table no process can renew its row.
//!
//! Its tokens may be assigned to others once every present member has settled
//! it (holds none of its tokens and accepts none from it) or has itself ended,
//! and a full task lease has passed since then. The lease covers requests that
//! still run on backend servers for a sender that has ended.

use std::collections::{BTreeMap, BTreeSet};
use std::time;

use redwing_model::{NodeId, NodeIncarnation};
use redwing_policy::NodeTime;

use crate::member::MemberRecord;

/// Number of successive lists without a VM after which its process counts as ended.
const MISSING_LISTS: u32 = 3;

/// State of the table and of the platform's list, as read in one poll.
#[derive(Clone, Copy, Debug)]
pub struct MembershipSnapshot<'a> {
    /// Rows of the members in the table.
    pub members: &'a BTreeMap<NodeId, MemberRecord>,
    /// Entry VMs that the platform lists; `None` if the list was not read.
    pub listed: Option<&'a BTreeSet<NodeId>>,
    /// Incarnations that own at least one token.
    pub owners: &'a BTreeSet<NodeIncarnation>,
}

/// Time bounds that the platform guarantees.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndedSettings {
    /// Longest time for which a request may keep running after its sender has ended.
    pub task_lease: time::Duration,
    /// Largest age of the platform's list.
    pub list_lag: time::Duration,
}

impl Default for EndedSettings {
    fn default() -> Self {
        Self {
            task_lease: time::Duration::from_secs(60),
            list_lag: time::Duration::from_secs(30),
        }
    }
}

/// Tracks ended incarnations, as observed by one process.
#[derive(Debug)]
pub struct EndedTracker {
    own: NodeIncarnation,
    settings: EndedSettings,
    missing: BTreeMap<NodeIncarnation, u32>,
    first_seen: BTreeMap<NodeIncarnation, NodeTime>,
    ended: BTreeSet<NodeIncarnation>,
    settled_since: BTreeMap<NodeIncarnation, NodeTime>,
}

impl EndedTracker {
    /// Creates a tracker for the process `own`.
    pub fn new(own: NodeIncarnation, settings: EndedSettings) -> Self {
        Self {
            own,
            settings,
            missing: BTreeMap::new(),
            first_seen: BTreeMap::new(),
            ended: BTreeSet::new(),
            settled_since: BTreeMap::new(),
        }
    }

    /// Returns whether `incarnation` was found to have ended.
    pub fn is_ended(&self, incarnation: &NodeIncarnation) -> bool {
        self.ended.contains(incarnation)
    }

    /// Returns the incarnations that were found to have ended.
    pub fn ended(&self) -> &BTreeSet<NodeIncarnation> {
        &self.ended
    }

    /// Returns whether the tokens of `incarnation` may be assigned to others.
    pub fn is_reclaimable(&self, now: NodeTime, incarnation: &NodeIncarnation) -> bool {
        self.settled_since
            .get(incarnation)
            .is_some_and(|since| now.saturating_since(*since) >= self.settings.task_lease)
    }

    /// Returns the present members: those with a row that have not ended.
    pub fn present(&self, members: &BTreeMap<NodeId, MemberRecord>) -> Vec<NodeIncarnation> {
        members
            .values()
            .map(|record| &record.incarnation)
            .filter(|incarnation| !self.is_ended(incarnation))
            .cloned()
            .collect()
    }

    /// Updates the tracker with the snapshot of one poll.
    pub fn observe(&mut self, now: NodeTime, snapshot: MembershipSnapshot<'_>) {
        self.find_removed(now, snapshot);
        self.find_missing(now, snapshot);
        self.find_settled(now, snapshot);
    }

    /// Finds incarnations that were replaced or whose row was removed.
    ///
    /// A replaced incarnation may have borrowed tokens without owning any, so
    /// those found in earlier polls are included.
    fn find_removed(&mut self, now: NodeTime, snapshot: MembershipSnapshot<'_>) {
        let members = snapshot.members.values();
        let present: BTreeSet<&NodeIncarnation> =
            members.map(|record| &record.incarnation).collect();
        let candidates = self.first_seen.keys().chain(snapshot.owners);
        let removed = candidates.filter(|incarnation| !present.contains(incarnation));
        let ended = removed.filter(|incarnation| **incarnation != self.own);
        self.ended.extend(ended.cloned());
        self.first_seen
            .retain(|incarnation, _| present.contains(incarnation));
        for incarnation in present {
            self.first_seen.entry(incarnation.clone()).or_insert(now);
        }
    }

    /// Finds incarnations whose VM is missing from successive lists.
    fn find_missing(&mut self, now: NodeTime, snapshot: MembershipSnapshot<'_>) {
        let Some(listed) = snapshot.listed else {
            return;
        };
        // A list that lacks this process itself is outdated or wrong.
        if !listed.contains(&self.own.node) {
            self.missing.clear();
            return;
        }
        for (incarnation, since) in &self.first_seen {
            let too_young = now.saturating_since(*since) < self.settings.list_lag;
            if too_young || listed.contains(&incarnation.node) {
                self.missing.remove(incarnation);
                continue;
            }
            let missing_lists = self.missing.entry(incarnation.clone()).or_default();
            *missing_lists += 1;
            if *missing_lists >= MISSING_LISTS {
                self.ended.insert(incarnation.clone());
            }
        }
    }

    fn find_settled(&mut self, now: NodeTime, snapshot: MembershipSnapshot<'_>) {
        for incarnation in &self.ended {
            let settled = snapshot.members.values().all(|record| {
                record.incarnation == *incarnation
                    || record.settled.contains(incarnation)
                    || self.ended.contains(&record.incarnation)
            });
            if settled {
                self.settled_since.entry(incarnation.clone()).or_insert(now);
            } else {
                self.settled_since.remove(incarnation);
            }
        }
    }
}
