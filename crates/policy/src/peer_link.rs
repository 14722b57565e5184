//! Reliable transfer of tokens between two processes.
//!
//! Each transfer has an id and is resent until it is acknowledged; the receiver
//! accepts each id once. This suffices for a token to arrive exactly once even
//! if messages are lost, repeated or reordered.

use std::collections::{BTreeMap, BTreeSet};
use std::time;

use redwing_model::CustomerName;

use crate::clock::NodeTime;
use crate::message::{PeerMessage, TokenTransfer};
use crate::token::{TokenId, TokenPool};

/// A transfer that has not been acknowledged.
#[derive(Clone, Debug)]
struct PendingTransfer {
    tokens: Vec<TokenId>,
    sent_at: NodeTime,
}

/// State of the message exchange with one peer.
#[derive(Debug)]
pub struct PeerLink {
    first_seen: NodeTime,
    outgoing: Vec<TokenId>,
    pending: BTreeMap<u64, PendingTransfer>,
    next_id: u64,
    /// All transfer ids below this one were received.
    received_below: u64,
    /// Received transfer ids from `received_below` on.
    received_ids: BTreeSet<u64>,
    /// Received transfer ids whose acknowledgement has not been sent.
    unacknowledged: Vec<u64>,
    sequence: u64,
    last_sequence: u64,
    last_transfer: Option<NodeTime>,
    permit_requests: BTreeMap<CustomerName, u32>,
    recalls: BTreeSet<TokenPool>,
}

impl PeerLink {
    /// Creates the link to a peer first seen at `now`.
    pub fn new(now: NodeTime) -> Self {
        Self {
            first_seen: now,
            outgoing: Vec::new(),
            pending: BTreeMap::new(),
            next_id: 1,
            received_below: 1,
            received_ids: BTreeSet::new(),
            unacknowledged: Vec::new(),
            sequence: 0,
            last_sequence: 0,
            last_transfer: None,
            permit_requests: BTreeMap::new(),
            recalls: BTreeSet::new(),
        }
    }

    /// Returns when the peer was first seen.
    pub fn first_seen(&self) -> NodeTime {
        self.first_seen
    }

    /// Returns whether every token queued for the peer has been acknowledged.
    pub fn is_delivered(&self) -> bool {
        self.outgoing.is_empty() && self.pending.is_empty()
    }

    /// Returns the number of tokens queued for the peer or not yet acknowledged.
    pub fn in_transit(&self) -> usize {
        let pending: usize = self
            .pending
            .values()
            .map(|transfer| transfer.tokens.len())
            .sum();
        pending + self.outgoing.len()
    }

    /// Returns the tokens that are queued but were never sent.
    pub fn unsent(&self) -> &[TokenId] {
        &self.outgoing
    }

    /// Returns whether acknowledgements are waiting to be sent.
    pub fn has_unsent_acknowledgements(&self) -> bool {
        !self.unacknowledged.is_empty()
    }

    /// Returns the number of permits of `customer` that the peer requests.
    pub fn requested_permits(&self, customer: &CustomerName) -> u32 {
        self.permit_requests.get(customer).copied().unwrap_or(0)
    }

    /// Returns whether the peer recalled its tokens of `pool`.
    pub fn is_recalled(&self, pool: &TokenPool) -> bool {
        self.recalls.contains(pool)
    }

    /// Sets the number of permits of `customer` that the peer requests.
    pub fn set_requested_permits(&mut self, customer: &CustomerName, permits: u32) {
        match permits {
            0 => self.permit_requests.remove(customer),
            _ => self.permit_requests.insert(customer.clone(), permits),
        };
    }

    /// Queues `token` for transfer to the peer.
    pub fn queue_token(&mut self, token: TokenId) {
        self.outgoing.push(token);
    }

    /// Returns whether a transfer should be sent or resent now.
    pub fn is_due(&self, now: NodeTime, interval: time::Duration, resend: time::Duration) -> bool {
        let interval_elapsed = self
            .last_transfer
            .is_none_or(|last| now.saturating_since(last) >= interval);
        let overdue = |transfer: &PendingTransfer| now.saturating_since(transfer.sent_at) >= resend;
        (interval_elapsed && !self.outgoing.is_empty()) || self.pending.values().any(overdue)
    }

    /// Completes `message` with the sequence number, acknowledgements and due
    /// transfers, and returns it.
    pub fn next_message(
        &mut self,
        now: NodeTime,
        resend: time::Duration,
        mut message: PeerMessage,
    ) -> PeerMessage {
        self.sequence += 1;
        message.sequence = self.sequence;
        message.received = std::mem::take(&mut self.unacknowledged);
        if !self.outgoing.is_empty() {
            let tokens = std::mem::take(&mut self.outgoing);
            let id = self.next_id;
            self.next_id += 1;
            self.last_transfer = Some(now);
            message.transfers.push(TokenTransfer {
                id,
                tokens: tokens.clone(),
            });
            let sent_at = now;
            self.pending.insert(id, PendingTransfer { tokens, sent_at });
        }
        for (id, transfer) in &mut self.pending {
            if now.saturating_since(transfer.sent_at) >= resend {
                transfer.sent_at = now;
                message.transfers.push(TokenTransfer {
                    id: *id,
                    tokens: transfer.tokens.clone(),
                });
            }
        }
        message
    }

    /// Processes acknowledgements of transfers.
    pub fn acknowledge(&mut self, ids: &[u64]) {
        for id in ids {
            self.pending.remove(id);
        }
    }

    /// Registers the id of a received transfer; returns whether it is new.
    pub fn accept_transfer(&mut self, id: u64) -> bool {
        self.unacknowledged.push(id);
        if id < self.received_below || !self.received_ids.insert(id) {
            return false;
        }
        while self.received_ids.remove(&self.received_below) {
            self.received_below += 1;
        }
        true
    }

    /// Registers the sequence number of a received message; returns whether it
    /// is newer than all before.
    pub fn accept_sequence(&mut self, sequence: u64) -> bool {
        let newer = sequence > self.last_sequence;
        self.last_sequence = self.last_sequence.max(sequence);
        newer
    }

    /// Registers that the peer recalls its tokens of `pool`.
    pub fn recall(&mut self, pool: TokenPool) {
        self.recalls.insert(pool);
    }

    /// Ends the recall of tokens of `pool`.
    pub fn end_recall(&mut self, pool: &TokenPool) {
        self.recalls.remove(pool);
    }
}
