//! Decision when the tokens of an ended incarnation may be given to others.
//!
//! An incarnation has ended when a newer one runs on the same entry VM, when
//! its row is gone, or when the platform no longer lists its VM. A time-out
//! alone ends nothing: a paused process may wake, and in an outage of the
//! table nobody can renew anything.
//!
//! Its tokens may be given to others once every present member has settled
//! it (holds none of its tokens and takes none from it) or has itself ended,
//! and a full task lease has passed since then. The lease covers requests
//! that still run on backend servers for a sender that is gone.

use std::collections::{BTreeMap, BTreeSet};
use std::time;

use redwing_model::{NodeId, NodeIncarnation};
use redwing_policy::NodeTime;

use crate::member::MemberRecord;

/// Successive lists without a VM before its process counts as ended.
const MISSING_LISTS: u32 = 3;

/// What one round of reading showed.
#[derive(Clone, Copy, Debug)]
pub struct MemberEvidence<'a> {
    /// Rows of the members, as the table has them.
    pub members: &'a BTreeMap<NodeId, MemberRecord>,
    /// Entry VMs that the platform lists; `None` if the list was not read.
    pub listed: Option<&'a BTreeSet<NodeId>>,
    /// Incarnations that are home to some token.
    pub homes: &'a BTreeSet<NodeIncarnation>,
}

/// Tracks ended incarnations at one process.
#[derive(Debug)]
pub struct EndedTracker {
    own: NodeIncarnation,
    task_lease: time::Duration,
    missing: BTreeMap<NodeId, u32>,
    known: BTreeSet<NodeIncarnation>,
    ended: BTreeSet<NodeIncarnation>,
    settled_since: BTreeMap<NodeIncarnation, NodeTime>,
}

impl EndedTracker {
    /// Creates a tracker for the process `own`.
    pub fn new(own: NodeIncarnation, task_lease: time::Duration) -> Self {
        Self {
            own,
            task_lease,
            missing: BTreeMap::new(),
            known: BTreeSet::new(),
            ended: BTreeSet::new(),
            settled_since: BTreeMap::new(),
        }
    }

    /// Returns whether `incarnation` is known to have ended.
    pub fn is_ended(&self, incarnation: &NodeIncarnation) -> bool {
        self.ended.contains(incarnation)
    }

    /// Returns the incarnations that are known to have ended.
    pub fn ended(&self) -> &BTreeSet<NodeIncarnation> {
        &self.ended
    }

    /// Returns whether the tokens of `incarnation` may be given to others.
    pub fn is_reclaimable(&self, now: NodeTime, incarnation: &NodeIncarnation) -> bool {
        self.settled_since
            .get(incarnation)
            .is_some_and(|since| now.saturating_since(*since) >= self.task_lease)
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

    /// Takes what one round of reading showed.
    pub fn observe(&mut self, now: NodeTime, evidence: MemberEvidence<'_>) {
        self.count_missing(evidence);
        self.find_ended(evidence);
        self.find_settled(now, evidence);
    }

    fn count_missing(&mut self, evidence: MemberEvidence<'_>) {
        let Some(listed) = evidence.listed else {
            return;
        };
        // A list that lacks this very process is stale or wrong.
        if !listed.contains(&self.own.node) {
            self.missing.clear();
            return;
        }
        self.missing.retain(|node, _| !listed.contains(node));
        for node in evidence.members.keys() {
            if !listed.contains(node) {
                *self.missing.entry(node.clone()).or_default() += 1;
            }
        }
    }

    fn find_ended(&mut self, evidence: MemberEvidence<'_>) {
        for record in evidence.members.values() {
            let incarnation = &record.incarnation;
            let rounds = self.missing.get(&incarnation.node).copied();
            if rounds.unwrap_or_default() >= MISSING_LISTS {
                self.ended.insert(incarnation.clone());
            }
        }
        // A replaced incarnation may have borrowed tokens without being the
        // home of any, so those seen earlier count too.
        let members = evidence.members.values();
        let present: BTreeSet<NodeIncarnation> =
            members.map(|record| record.incarnation.clone()).collect();
        self.known.extend(present.iter().cloned());
        self.known.extend(evidence.homes.iter().cloned());
        for gone in self.known.difference(&present) {
            if *gone != self.own {
                self.ended.insert(gone.clone());
            }
        }
        self.known = present;
    }

    fn find_settled(&mut self, now: NodeTime, evidence: MemberEvidence<'_>) {
        for incarnation in &self.ended {
            let settled = evidence.members.values().all(|record| {
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
