//! Model of a scheduler that lends, borrows and uses tokens.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use redwing_model::NodeIncarnation;
use redwing_node::membership::SchedulerPort;
use redwing_policy::{FleetView, NodeTime, TokenId};
use redwing_provider::LocalFuture;

/// Maximum time that a request keeps running after its sender has ended.
pub(crate) const TASK_LEASE: Duration = Duration::from_secs(60);

/// Number of entry VMs.
pub(crate) const NODES: usize = 3;

/// Number of slots of the only backend server.
pub(crate) const SLOTS: u32 = 4;

/// State of the tokens in one process.
#[derive(Debug, Default)]
pub(crate) struct TokenModel {
    pub(crate) now: NodeTime,
    pub(crate) peers: Vec<NodeIncarnation>,
    pub(crate) owned: BTreeSet<TokenId>,
    pub(crate) lent: BTreeMap<TokenId, NodeIncarnation>,
    pub(crate) borrowed: BTreeMap<TokenId, NodeIncarnation>,
    pub(crate) returning: BTreeMap<TokenId, NodeIncarnation>,
    pub(crate) busy: BTreeSet<TokenId>,
    pub(crate) blocked_until: BTreeMap<TokenId, NodeTime>,
    pub(crate) settled: BTreeSet<NodeIncarnation>,
}

impl TokenModel {
    pub(crate) fn is_idle(&self, token: &TokenId) -> bool {
        let is_blocked = self
            .blocked_until
            .get(token)
            .is_some_and(|until| *until > self.now);
        let is_available = self.owned.contains(token) && !self.lent.contains_key(token);
        (is_available || self.borrowed.contains_key(token))
            && !is_blocked
            && !self.busy.contains(token)
    }

    pub(crate) fn idle_owned(&self) -> Vec<TokenId> {
        self.owned
            .iter()
            .filter(|token| self.is_idle(token))
            .cloned()
            .collect()
    }

    pub(crate) fn idle(&self) -> Vec<TokenId> {
        let borrowed = self.borrowed.keys().filter(|token| self.is_idle(token));
        self.idle_owned()
            .into_iter()
            .chain(borrowed.cloned())
            .collect()
    }

    pub(crate) fn settle(&mut self, ended: &NodeIncarnation) -> Vec<TokenId> {
        self.settled.insert(ended.clone());
        let until = self.now + TASK_LEASE;
        let lent: Vec<TokenId> = tokens_of(&self.lent, ended);
        for token in lent {
            self.lent.remove(&token);
            self.blocked_until.insert(token, until);
        }
        let adopted: Vec<TokenId> = tokens_of(&self.borrowed, ended);
        for token in &adopted {
            self.borrowed.remove(token);
        }
        // A returning token may have arrived before the incarnation ended and
        // been lent again, so only the table assigns it a new owner.
        self.returning.retain(|_, owner| owner != ended);
        self.owned.extend(adopted.iter().cloned());
        adopted
    }
}

pub(crate) fn tokens_of(
    tokens: &BTreeMap<TokenId, NodeIncarnation>,
    peer: &NodeIncarnation,
) -> Vec<TokenId> {
    let matching = tokens.iter().filter(|entry| entry.1 == peer);
    matching.map(|entry| entry.0.clone()).collect()
}

#[derive(Default)]
pub(crate) struct ModelScheduler(pub(crate) RefCell<TokenModel>);

impl SchedulerPort for ModelScheduler {
    fn install(&self, view: FleetView) {
        let mut model = self.0.borrow_mut();
        let lent: BTreeSet<TokenId> = model.lent.keys().cloned().collect();
        let listed: BTreeSet<TokenId> = view.owned_tokens.into_iter().collect();
        let kept = model
            .owned
            .intersection(&lent)
            .cloned()
            .collect::<BTreeSet<_>>();
        model.owned = listed.union(&kept).cloned().collect();
        model.peers = view.peers;
    }

    fn settle<'a>(&'a self, ended: &'a NodeIncarnation) -> LocalFuture<'a, Vec<TokenId>> {
        Box::pin(async move { self.0.borrow_mut().settle(ended) })
    }

    fn release_ownership<'a>(&'a self, token: &'a TokenId) -> LocalFuture<'a, bool> {
        Box::pin(async move {
            let mut model = self.0.borrow_mut();
            let idle = model.owned.contains(token) && model.is_idle(token);
            idle && model.owned.remove(token)
        })
    }
}
