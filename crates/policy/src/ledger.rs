//! Tokens tracked by this process, with their owners and states.
//!
//! A token is lent by its owner to another process and returned to its owner; a
//! borrower never lends it further. The owner therefore always tracks which
//! process may be using each of its tokens, and can reclaim those lent to an
//! ended incarnation.

use std::cmp;
use std::collections::{BTreeSet, BinaryHeap, HashMap, HashSet};

use redwing_model::{NodeIncarnation, VmId};
use serde::{Deserialize, Serialize};

use crate::clock::NodeTime;
use crate::ticket::TicketId;
use crate::token::{TokenId, TokenPool};

/// Owner of a token.
#[derive(Clone, Debug, Eq, PartialEq)]
enum TokenOwner {
    /// This process, as recorded in the table.
    Local,
    /// This process, which had borrowed the token when its owner ended; the
    /// table may not record this yet.
    Adopted,
    /// This process, but the table no longer lists the token: it is never used
    /// again and is removed once it has been returned.
    Revoked,
    /// Another process, which lent the token to this one.
    Peer(NodeIncarnation),
}

/// State of a token.
#[derive(Clone, Debug, Eq, PartialEq)]
enum TokenState {
    /// Free since the given time.
    Free(NodeTime),
    /// Used by a running attempt.
    Used(TicketId),
    /// Lent to another process.
    Lent(NodeIncarnation),
    /// Quarantined until the given time, when the attempt that used it can no
    /// longer be running.
    Quarantined(NodeTime),
}

/// Owner and state of one token.
#[derive(Clone, Debug)]
struct TokenEntry {
    owner: TokenOwner,
    state: TokenState,
}

/// Free tokens of one pool.
#[derive(Clone, Debug, Default)]
struct FreeTokens {
    owned: BTreeSet<u32>,
    borrowed: BTreeSet<u32>,
}

/// Number of tokens in each state.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TokenCounts {
    /// Free tokens.
    pub free: usize,
    /// Tokens used by running attempts.
    pub used: usize,
    /// Tokens lent to other processes.
    pub lent: usize,
    /// Tokens quarantined until a lost attempt can no longer be running.
    pub quarantined: usize,
}

/// All tokens tracked by a process.
#[derive(Debug, Default)]
pub struct TokenLedger {
    tokens: HashMap<TokenId, TokenEntry>,
    free: HashMap<TokenPool, FreeTokens>,
    quarantine: BinaryHeap<cmp::Reverse<(NodeTime, TokenId)>>,
    counts: TokenCounts,
    borrowed: usize,
}

impl TokenLedger {
    /// Returns the number of tokens in each state.
    pub fn counts(&self) -> TokenCounts {
        self.counts
    }

    /// Returns the number of free tokens of `pool` numbered below `bound`.
    pub fn available(&self, pool: &TokenPool, bound: u32) -> u32 {
        let Some(free) = self.free.get(pool) else {
            return 0;
        };
        let count = count_below(&free.owned, bound) + count_below(&free.borrowed, bound);
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns whether a free token of `pool` numbered below `bound` exists.
    pub fn has_available(&self, pool: &TokenPool, bound: u32) -> bool {
        self.free.get(pool).is_some_and(|free| {
            let owned = free.owned.first().is_some_and(|number| *number < bound);
            owned || free.borrowed.first().is_some_and(|number| *number < bound)
        })
    }

    /// Returns a free token of `pool` numbered below `bound` that this process owns.
    pub fn free_owned(&self, pool: &TokenPool, bound: u32) -> Option<TokenId> {
        let number = *self.free.get(pool)?.owned.first()?;
        (number < bound).then(|| TokenId {
            pool: pool.clone(),
            number,
        })
    }

    /// Returns a free borrowed token of `pool` and the owner that lent it.
    pub fn free_borrowed(&self, pool: &TokenPool) -> Option<(TokenId, NodeIncarnation)> {
        let number = *self.free.get(pool)?.borrowed.last()?;
        let token = TokenId {
            pool: pool.clone(),
            number,
        };
        let owner = self.lender_of(&token)?.clone();
        Some((token, owner))
    }

    /// Returns the borrowed tokens that have been free since `since` or longer,
    /// with their owners.
    pub fn idle_borrowed(&self, since: NodeTime) -> Vec<(TokenId, NodeIncarnation)> {
        let mut idle = Vec::new();
        for (pool, free) in &self.free {
            for number in &free.borrowed {
                let token = TokenId {
                    pool: pool.clone(),
                    number: *number,
                };
                if let Some(TokenEntry {
                    owner: TokenOwner::Peer(owner),
                    state: TokenState::Free(at),
                }) = self.tokens.get(&token)
                    && *at <= since
                {
                    idle.push((token, owner.clone()));
                }
            }
        }
        idle.sort();
        idle
    }

    /// Returns whether a free owned token exists.
    pub fn has_free_owned(&self) -> bool {
        self.free.values().any(|free| !free.owned.is_empty())
    }

    /// Returns all free owned tokens.
    pub fn all_free_owned(&self) -> Vec<TokenId> {
        let mut tokens = Vec::new();
        for (pool, free) in &self.free {
            for number in &free.owned {
                tokens.push(TokenId {
                    pool: pool.clone(),
                    number: *number,
                });
            }
        }
        tokens.sort();
        tokens
    }

    /// Returns whether a borrowed token exists that can still be returned.
    pub fn has_borrowed(&self) -> bool {
        self.borrowed > 0
    }

    /// Returns the VMs with a slot that is in use, or that may still be in use
    /// by an attempt whose end is unknown.
    pub fn busy_vms(&self) -> BTreeSet<VmId> {
        let mut busy = BTreeSet::new();
        for (token, entry) in &self.tokens {
            if let TokenPool::Slot(vm) = &token.pool
                && matches!(
                    entry.state,
                    TokenState::Used(_) | TokenState::Quarantined(_)
                )
            {
                busy.insert(vm.clone());
            }
        }
        busy
    }

    /// Returns the tokens that this process may use now or later, with the
    /// process that lent each, if any.
    pub fn usable_tokens(&self) -> Vec<(TokenId, Option<NodeIncarnation>)> {
        let mut usable_tokens = Vec::new();
        for (token, entry) in &self.tokens {
            if matches!(entry.state, TokenState::Lent(_)) {
                continue;
            }
            let owner = match &entry.owner {
                TokenOwner::Peer(owner) => Some(owner.clone()),
                TokenOwner::Local | TokenOwner::Adopted | TokenOwner::Revoked => None,
            };
            usable_tokens.push((token.clone(), owner));
        }
        usable_tokens.sort();
        usable_tokens
    }

    /// Replaces the set of owned tokens by `owned_tokens`, those listed in the table.
    ///
    /// New tokens become free. Tokens that are no longer listed are not used
    /// again, and are removed as soon as no process can be using them.
    pub fn install_owned(&mut self, now: NodeTime, owned_tokens: &[TokenId]) {
        let listed: HashSet<&TokenId> = owned_tokens.iter().collect();
        for token in owned_tokens {
            match self.tokens.get_mut(token) {
                Some(entry) => {
                    if entry.owner != TokenOwner::Local {
                        self.set_owner(token, TokenOwner::Local);
                    }
                }
                None => self.insert(token, TokenOwner::Local, TokenState::Free(now)),
            }
        }
        let unlisted: Vec<TokenId> = self
            .tokens
            .iter()
            .filter(|(token, entry)| entry.owner == TokenOwner::Local && !listed.contains(token))
            .map(|(token, _)| token.clone())
            .collect();
        for token in unlisted {
            match self.tokens.get(&token).map(|entry| &entry.state) {
                Some(TokenState::Free(_)) => self.remove(&token),
                _ => self.set_owner(&token, TokenOwner::Revoked),
            }
        }
    }

    /// Acquires a free token of `pool` numbered below `bound` for an attempt,
    /// the lowest owned or else the lowest borrowed one.
    ///
    /// Owned tokens are preferred, so that borrowed ones become idle and are returned.
    pub fn acquire(&mut self, pool: &TokenPool, bound: u32, ticket: TicketId) -> Option<TokenId> {
        let free = self.free.get(pool)?;
        let owned = free.owned.first().filter(|number| **number < bound);
        let number = *owned.or_else(|| free.borrowed.first().filter(|number| **number < bound))?;
        let token = TokenId {
            pool: pool.clone(),
            number,
        };
        self.set_state(&token, TokenState::Used(ticket));
        Some(token)
    }

    /// Undoes [`acquire`](Self::acquire) before the token was used.
    pub fn undo_acquire(&mut self, token: &TokenId) {
        self.finish_use(token, TokenState::Free(NodeTime::default()));
    }

    /// Makes a used token free again.
    pub fn release(&mut self, now: NodeTime, token: &TokenId) {
        self.finish_use(token, TokenState::Free(now));
    }

    /// Keeps a used token out of use until `until`, since its attempt may still
    /// be running.
    pub fn quarantine(&mut self, until: NodeTime, token: &TokenId) {
        self.finish_use(token, TokenState::Quarantined(until));
        self.quarantine.push(cmp::Reverse((until, token.clone())));
    }

    /// Frees the tokens whose quarantine has expired and returns them.
    pub fn end_quarantines(&mut self, now: NodeTime) -> Vec<TokenId> {
        let mut ended = Vec::new();
        while let Some(cmp::Reverse((until, token))) = self.quarantine.peek() {
            if *until > now {
                break;
            }
            let (until, token) = (*until, token.clone());
            self.quarantine.pop();
            let entry = self.tokens.get(&token);
            if entry.is_some_and(|entry| entry.state == TokenState::Quarantined(until)) {
                self.finish_use(&token, TokenState::Free(now));
                ended.push(token);
            }
        }
        ended
    }

    /// Lends a free owned token to `borrower`.
    ///
    /// Returns false, and changes nothing, if the token is not owned and free here.
    pub fn lend(&mut self, token: &TokenId, borrower: &NodeIncarnation) -> bool {
        let Some(entry) = self.tokens.get(token) else {
            return false;
        };
        let free = matches!(entry.state, TokenState::Free(_));
        if !entry.is_owned() || !free {
            return false;
        }
        self.set_state(token, TokenState::Lent(borrower.clone()));
        true
    }

    /// Removes a free borrowed token; returns the owner to which it must be sent.
    pub fn return_borrowed(&mut self, token: &TokenId) -> Option<NodeIncarnation> {
        let entry = self.tokens.get(token)?;
        let owner = self.lender_of(token)?.clone();
        if !matches!(entry.state, TokenState::Free(_)) {
            return None;
        }
        self.remove(token);
        Some(owner)
    }

    /// Accepts a token transferred by `sender`; returns whether it is free now.
    ///
    /// An owned token is returned by its borrower; any other is lent by its owner.
    pub fn accept(&mut self, now: NodeTime, token: &TokenId, sender: &NodeIncarnation) -> bool {
        let Some(entry) = self.tokens.get(token) else {
            let owner = TokenOwner::Peer(sender.clone());
            self.insert(token, owner, TokenState::Free(now));
            return true;
        };
        if entry.state != TokenState::Lent(sender.clone()) {
            return false;
        }
        if entry.owner == TokenOwner::Revoked {
            self.remove(token);
            return false;
        }
        self.set_state(token, TokenState::Free(now));
        true
    }

    /// Removes a free owned token, so that the table can record another owner;
    /// returns false, and changes nothing, if it is not owned and free here.
    pub fn release_ownership(&mut self, token: &TokenId) -> bool {
        let free = self
            .tokens
            .get(token)
            .is_some_and(|entry| entry.is_owned() && matches!(entry.state, TokenState::Free(_)));
        if free {
            self.remove(token);
        }
        free
    }

    /// Settles the ended incarnation `ended`.
    ///
    /// The tokens that it lent to this process become owned, and are returned
    /// so that the table can be updated. Tokens that were lent to it are
    /// quarantined until `until`, when no attempt that it started can be
    /// running.
    pub fn settle(&mut self, until: NodeTime, ended: &NodeIncarnation) -> Vec<TokenId> {
        let mut adopted = Vec::new();
        let mut lent = Vec::new();
        for (token, entry) in &self.tokens {
            if entry.owner == TokenOwner::Peer(ended.clone()) {
                adopted.push(token.clone());
            } else if entry.state == TokenState::Lent(ended.clone()) {
                lent.push(token.clone());
            }
        }
        lent.sort();
        for token in &adopted {
            self.set_owner(token, TokenOwner::Adopted);
        }
        for token in lent {
            self.set_state(&token, TokenState::Quarantined(until));
            self.quarantine.push(cmp::Reverse((until, token)));
        }
        adopted.sort();
        adopted
    }

    /// Adopts a token of an ended owner that this process used last; returns
    /// false if the token was already tracked.
    pub fn adopt(&mut self, now: NodeTime, token: &TokenId) -> bool {
        let is_new = !self.tokens.contains_key(token);
        if is_new {
            self.insert(token, TokenOwner::Adopted, TokenState::Free(now));
        }
        is_new
    }

    fn lender_of(&self, token: &TokenId) -> Option<&NodeIncarnation> {
        match &self.tokens.get(token)?.owner {
            TokenOwner::Peer(owner) => Some(owner),
            TokenOwner::Local | TokenOwner::Adopted | TokenOwner::Revoked => None,
        }
    }

    fn finish_use(&mut self, token: &TokenId, state: TokenState) {
        let Some(entry) = self.tokens.get(token) else {
            return;
        };
        let free = matches!(state, TokenState::Free(_));
        if entry.owner == TokenOwner::Revoked && free {
            self.remove(token);
            return;
        }
        self.set_state(token, state);
    }

    fn insert(&mut self, token: &TokenId, owner: TokenOwner, state: TokenState) {
        self.insert_entry(token.clone(), TokenEntry { owner, state });
    }

    fn remove(&mut self, token: &TokenId) {
        self.remove_entry(token);
    }

    fn set_owner(&mut self, token: &TokenId, owner: TokenOwner) {
        if let Some(mut entry) = self.remove_entry(token) {
            entry.owner = owner;
            self.insert_entry(token.clone(), entry);
        }
    }

    fn set_state(&mut self, token: &TokenId, state: TokenState) {
        if let Some(mut entry) = self.remove_entry(token) {
            entry.state = state;
            self.insert_entry(token.clone(), entry);
        }
    }

    /// Adds an entry to the map and to the index of free tokens.
    fn insert_entry(&mut self, token: TokenId, entry: TokenEntry) {
        *self.counts.counter(&entry.state) += 1;
        self.borrowed += usize::from(entry.is_returnable());
        if matches!(entry.state, TokenState::Free(_)) {
            let free = self.free.entry(token.pool.clone()).or_default();
            free.numbers(&entry.owner).insert(token.number);
        }
        self.tokens.insert(token, entry);
    }

    /// Removes an entry from the map and from the index of free tokens.
    fn remove_entry(&mut self, token: &TokenId) -> Option<TokenEntry> {
        let entry = self.tokens.remove(token)?;
        *self.counts.counter(&entry.state) -= 1;
        self.borrowed -= usize::from(entry.is_returnable());
        if let Some(free) = self.free.get_mut(&token.pool) {
            free.numbers(&entry.owner).remove(&token.number);
            if free.owned.is_empty() && free.borrowed.is_empty() {
                self.free.remove(&token.pool);
            }
        }
        Some(entry)
    }
}

impl TokenEntry {
    /// Returns whether this process owns the token and may use it.
    fn is_owned(&self) -> bool {
        matches!(self.owner, TokenOwner::Local | TokenOwner::Adopted)
    }

    /// Returns whether the token is borrowed and can still be returned. A
    /// quarantined one cannot; its owner waits equally long once this process
    /// has ended.
    fn is_returnable(&self) -> bool {
        let quarantined = matches!(self.state, TokenState::Quarantined(_));
        matches!(self.owner, TokenOwner::Peer(_)) && !quarantined
    }
}

impl FreeTokens {
    fn numbers(&mut self, owner: &TokenOwner) -> &mut BTreeSet<u32> {
        match owner {
            TokenOwner::Local | TokenOwner::Adopted | TokenOwner::Revoked => &mut self.owned,
            TokenOwner::Peer(_) => &mut self.borrowed,
        }
    }
}

impl TokenCounts {
    fn counter(&mut self, state: &TokenState) -> &mut usize {
        match state {
            TokenState::Free(_) => &mut self.free,
            TokenState::Used(_) => &mut self.used,
            TokenState::Lent(_) => &mut self.lent,
            TokenState::Quarantined(_) => &mut self.quarantined,
        }
    }
}

/// Returns how many numbers are below `bound`, in constant time except while a
/// limit is being lowered.
fn count_below(numbers: &BTreeSet<u32>, bound: u32) -> usize {
    match numbers.last() {
        Some(last) if *last >= bound => numbers.range(..bound).count(),
        _ => numbers.len(),
    }
}
