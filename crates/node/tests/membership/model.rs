//! Model of a scheduler that lends, borrows and uses tokens.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use redwing_model::NodeIncarnation;
use redwing_node::membership::SchedulerPort;
use redwing_policy::{FleetView, NodeTime, TokenId};
use redwing_provider::LocalFuture;

/// Time that a request may run after its sender has ended.
pub(crate) const TASK_LEASE: Duration = Duration::from_secs(60);

/// Entry VMs of the test.
pub(crate) const NODES: usize = 3;

/// Slots of the one backend server.
pub(crate) const SLOTS: u32 = 4;

/// Tokens as one process sees them.
#[derive(Debug, Default)]
pub(crate) struct TokenModel {
    pub(crate) now: NodeTime,
    pub(crate) peers: Vec<NodeIncarnation>,
    pub(crate) own: BTreeSet<TokenId>,
    pub(crate) lent: BTreeMap<TokenId, NodeIncarnation>,
    pub(crate) borrowed: BTreeMap<TokenId, NodeIncarnation>,
    pub(crate) returning: BTreeMap<TokenId, NodeIncarnation>,
    pub(crate) busy: BTreeSet<TokenId>,
    pub(crate) held_until: BTreeMap<TokenId, NodeTime>,
    pub(crate) settled: BTreeSet<NodeIncarnation>,
}

impl TokenModel {
    pub(crate) fn is_idle(&self, token: &TokenId) -> bool {
        let held = self
            .held_until
            .get(token)
            .is_some_and(|until| *until > self.now);
        let here = self.own.contains(token) && !self.lent.contains_key(token);
        (here || self.borrowed.contains_key(token)) && !held && !self.busy.contains(token)
    }

    pub(crate) fn idle_own(&self) -> Vec<TokenId> {
        self.own
            .iter()
            .filter(|token| self.is_idle(token))
            .cloned()
            .collect()
    }

    pub(crate) fn idle(&self) -> Vec<TokenId> {
        let borrowed = self.borrowed.keys().filter(|token| self.is_idle(token));
        self.idle_own()
            .into_iter()
            .chain(borrowed.cloned())
            .collect()
    }

    pub(crate) fn settle(&mut self, ended: &NodeIncarnation) -> Vec<TokenId> {
        self.settled.insert(ended.clone());
        let until = self.now + TASK_LEASE;
        let lent: Vec<TokenId> = keys_of(&self.lent, ended);
        for token in lent {
            self.lent.remove(&token);
            self.held_until.insert(token, until);
        }
        let adopted: Vec<TokenId> = keys_of(&self.borrowed, ended);
        for token in &adopted {
            self.borrowed.remove(token);
        }
        // It may have arrived there before the end, and been lent again: the
        // table alone gives it a new home.
        self.returning.retain(|_, home| home != ended);
        self.own.extend(adopted.iter().cloned());
        adopted
    }
}

pub(crate) fn keys_of(
    tokens: &BTreeMap<TokenId, NodeIncarnation>,
    peer: &NodeIncarnation,
) -> Vec<TokenId> {
    let matching = tokens.iter().filter(|entry| entry.1 == peer);
    matching.map(|entry| entry.0.clone()).collect()
}

#[derive(Default)]
pub(crate) struct ModelPort(pub(crate) RefCell<TokenModel>);

impl SchedulerPort for ModelPort {
    fn install(&self, view: FleetView) {
        let mut model = self.0.borrow_mut();
        let lent: BTreeSet<TokenId> = model.lent.keys().cloned().collect();
        let listed: BTreeSet<TokenId> = view.owned_tokens.into_iter().collect();
        let kept = model
            .own
            .intersection(&lent)
            .cloned()
            .collect::<BTreeSet<_>>();
        model.own = listed.union(&kept).cloned().collect();
        model.peers = view.peers;
    }

    fn settle<'a>(&'a self, ended: &'a NodeIncarnation) -> LocalFuture<'a, Vec<TokenId>> {
        Box::pin(async move { self.0.borrow_mut().settle(ended) })
    }

    fn release_home<'a>(&'a self, token: &'a TokenId) -> LocalFuture<'a, bool> {
        Box::pin(async move {
            let mut model = self.0.borrow_mut();
            let idle = model.own.contains(token) && model.is_idle(token);
            idle && model.own.remove(token)
        })
    }
}
