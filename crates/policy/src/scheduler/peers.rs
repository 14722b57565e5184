//! Exchange of demand and tokens with the schedulers of other processes.

use std::collections::BTreeSet;
use std::time;

use redwing_model::{ClassName, CustomerName, NodeIncarnation};

use crate::clock::NodeTime;
use crate::demand::{DemandUpdate, ReportKey, is_significant};
use crate::fair_queue::duration_micros;
use crate::message::{CustomerDemand, PeerMessage, PermitRequest};
use crate::peer_link::PeerLink;
use crate::scheduler::{NodeScheduler, SchedulerAction, SchedulerSettings};
use crate::token::{TokenId, TokenPool};

/// Age after which demand reported by a peer is dropped.
const DEMAND_LIFETIME: time::Duration = time::Duration::from_secs(5);

/// Time after a peer's link was created during which the service in its first
/// report is not charged, since it may predate this process.
const BASELINE_TIME: time::Duration = time::Duration::from_secs(1);

/// Time between two attempts to transfer owned tokens while leaving.
const HAND_OVER_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Maximum number of attempts to transfer owned tokens while leaving.
const MAX_HAND_OVERS: u32 = 6;

/// Shortest time between two searches for idle borrowed tokens.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_millis(50);

impl NodeScheduler {
    /// Processes a message from another entry process.
    ///
    /// Messages addressed to another incarnation than [`node`](Self::node) must
    /// not be passed in. Messages are dropped while suspended; the peer resends
    /// unacknowledged transfers and refreshes its demand.
    pub fn receive(&mut self, now: NodeTime, from: &NodeIncarnation, message: PeerMessage) {
        if self.suspended || self.settled.contains(from) || *from == self.node {
            return;
        }
        let link = self
            .links
            .entry(from.clone())
            .or_insert_with(|| PeerLink::new(now));
        let newest = link.accept_sequence(message.sequence);
        link.acknowledge(&message.received);
        let mut arrived = Vec::new();
        for transfer in message.transfers {
            if link.accept_transfer(transfer.id) {
                arrived.extend(transfer.tokens);
            }
        }
        let baseline = now.saturating_since(link.first_seen()) < BASELINE_TIME;
        if newest {
            for pool in message.recalls {
                link.recall(pool);
            }
            for request in &message.permit_requests {
                link.set_requested_permits(&request.customer, request.permits);
                self.dirty_customers.insert(request.customer.clone());
            }
            self.apply_demand(now, from, &message.demand, baseline);
        }
        for token in arrived {
            if self.ledger.accept(now, &token, from) {
                self.refresh_pool(&token.pool);
            }
        }
        self.dispatch_all(now);
        self.flush(now);
    }

    /// Applies demand and service reported by a peer.
    fn apply_demand(
        &mut self,
        now: NodeTime,
        from: &NodeIncarnation,
        demand: &[CustomerDemand],
        baseline: bool,
    ) {
        for entry in demand {
            let customer = self.customer_index(&entry.class, entry.customer.as_ref());
            let Some(state) = self.classes.get_mut(&entry.class) else {
                continue;
            };
            let report = DemandUpdate {
                waiting: entry.waiting,
                service: entry.service_micros,
                baseline,
            };
            let queue = &mut state.queue;
            state.remote.update(queue, now, customer, from, report);
        }
    }

    /// Adds a link for every new peer.
    pub(super) fn install_peers(&mut self, now: NodeTime) {
        let mut added = false;
        for peer in &self.view.peers {
            if *peer != self.node && !self.settled.contains(peer) && !self.links.contains_key(peer)
            {
                self.links.insert(peer.clone(), PeerLink::new(now));
                added = true;
            }
        }
        if added {
            self.reporter.mark_all();
            self.last_report = None;
        }
    }

    /// Drops demand that peers have not refreshed within [`DEMAND_LIFETIME`].
    pub(super) fn expire_demand(&mut self, now: NodeTime) {
        if now.saturating_since(self.last_expiry) < DEMAND_LIFETIME / 5 {
            return;
        }
        self.last_expiry = now;
        let before = now.since_start().saturating_sub(DEMAND_LIFETIME);
        for state in self.classes.values_mut() {
            state.remote.expire(&mut state.queue, before.into());
        }
    }

    /// Returns whether a customer waiting at a peer is so far behind the local
    /// customers in virtual time that it should get the next free slot of
    /// `class`.
    pub(super) fn should_yield_slot(&self, class: &ClassName) -> bool {
        let Some(state) = self.classes.get(class) else {
            return false;
        };
        let (Some((local, _)), Some((remote, _))) =
            (state.queue.next_ready(), state.queue.next_remote())
        else {
            return false;
        };
        let tolerance = tolerance_nanos(&self.settings);
        self.settings.exchange_tokens && remote.0.saturating_add(tolerance) < local.0
    }

    /// Transfers a free slot of `class` to the peer with the most under-served
    /// waiting customer; returns false if there is no such peer or slot.
    pub(super) fn transfer_slot(&mut self, class: &ClassName) -> bool {
        if !self.settings.exchange_tokens {
            return false;
        }
        let Some(state) = self.classes.get(class) else {
            return false;
        };
        let Some((_, customer)) = state.queue.next_remote() else {
            return false;
        };
        let Some(peer) = state.remote.most_waiting(customer).cloned() else {
            return false;
        };
        let Some(token) = self.queue_slot_transfer(class, &peer) else {
            return false;
        };
        if let Some(state) = self.classes.get_mut(class) {
            let run = duration_micros(state.estimate.expected_run(state.queue.name(customer)));
            // The other processes react to the same demand and also transfer
            // slots of their own, so the charge in advance covers their
            // expected transfers too. The bound keeps a customer with a small
            // share from being charged far ahead for one slot.
            let expected_transfers = match state.queue.next_ready() {
                Some(_) => i64::from(state.queue.slots() / state.queue.running().max(1)),
                None => 1,
            };
            let run_nanos = state.queue.to_virtual_time(customer, run).0.max(1);
            let max_transfers = tolerance_nanos(&self.settings) / run_nanos;
            let micros = run.saturating_mul(expected_transfers.min(max_transfers).max(1));
            state
                .remote
                .charge_advance(&mut state.queue, customer, &peer, micros);
        }
        self.refresh_pool(&token.pool);
        true
    }

    /// Queues the transfer of a free slot: an owned one to `peer`, or else a
    /// borrowed one to its owner.
    fn queue_slot_transfer(
        &mut self,
        class: &ClassName,
        peer: &NodeIncarnation,
    ) -> Option<TokenId> {
        let bound = self.settings.slots_per_worker;
        for vm in self.workers.candidates(class) {
            let pool = TokenPool::Slot(vm.clone());
            if let Some(token) = self.ledger.free_owned(&pool, bound)
                && let Some(link) = self.links.get_mut(peer)
                && self.ledger.lend(&token, peer)
            {
                link.queue_token(token.clone());
                return Some(token);
            }
            if let Some((token, owner)) = self.ledger.free_borrowed(&pool)
                && self.view.peers.contains(&owner)
                && let Some(link) = self.links.get_mut(&owner)
            {
                self.ledger.return_borrowed(&token)?;
                link.queue_token(token.clone());
                return Some(token);
            }
        }
        None
    }

    /// Returns a borrowed token to its owner.
    fn return_borrowed(&mut self, token: &TokenId, owner: &NodeIncarnation) {
        let Some(link) = self.links.get_mut(owner) else {
            return;
        };
        if self.ledger.return_borrowed(token).is_some() {
            link.queue_token(token.clone());
            self.refresh_pool(&token.pool);
        }
    }

    /// Sends due reports and transfers to peers.
    pub(super) fn flush(&mut self, now: NodeTime) {
        if self.suspended {
            return;
        }
        self.return_idle_tokens(now);
        self.hand_over(now);
        self.transfer_permits();
        let report = self.next_report(now);
        let resend = self.settings.resend_interval;
        for (peer, link) in &mut self.links {
            let due = link.is_due(now, self.settings.transfer_interval, resend);
            let has_content = match &report {
                Some(content) => !content.is_empty() || link.has_unsent_acknowledgements(),
                None => false,
            };
            if !due && !has_content {
                continue;
            }
            let message = report.clone().unwrap_or_default();
            let message = link.next_message(now, resend, message);
            let to = peer.clone();
            self.actions.push(SchedulerAction::Send { to, message });
        }
    }

    /// Returns borrowed tokens that have been idle for the configured time.
    fn return_idle_tokens(&mut self, now: NodeTime) {
        let due = now.saturating_since(self.last_sweep) >= SWEEP_INTERVAL;
        if !due && !self.leaving {
            return;
        }
        self.last_sweep = now;
        let idle = match self.leaving && self.waiting() == 0 {
            true => time::Duration::ZERO,
            false => self.settings.idle_return,
        };
        if !self.ledger.has_borrowed() {
            return;
        }
        let since = now.since_start().saturating_sub(idle);
        for (token, owner) in self.ledger.idle_borrowed(since.into()) {
            // An owner that is leaving would only have to transfer the token again.
            let can_return = self.leaving || self.view.peers.contains(&owner);
            if can_return && !self.may_need(&token.pool) {
                self.return_borrowed(&token, &owner);
            }
        }
    }

    /// Returns whether waiting requests may soon use a token of `pool`: a customer
    /// keeps its permits while it waits for slots.
    fn may_need(&self, pool: &TokenPool) -> bool {
        match pool {
            TokenPool::Permit(customer) => self.waiting_of_customer(customer) > 0,
            TokenPool::Slot(_) => false,
        }
    }

    /// Transfers owned tokens to running peers while leaving.
    ///
    /// Peers whose view still lists this process return the tokens to it, so
    /// this is retried a few times.
    fn hand_over(&mut self, now: NodeTime) {
        if !self.must_hand_over() || self.waiting() > 0 {
            return;
        }
        let last = self.last_hand_over;
        if last.is_some_and(|last| now.saturating_since(last) < HAND_OVER_INTERVAL) {
            return;
        }
        self.last_hand_over = Some(now);
        self.hand_overs += 1;
        let peers: Vec<NodeIncarnation> = self.view.peers.clone();
        for (index, token) in self.ledger.all_free_owned().into_iter().enumerate() {
            let peer = &peers[index % peers.len()];
            if let Some(link) = self.links.get_mut(peer)
                && self.ledger.lend(&token, peer)
            {
                link.queue_token(token.clone());
                self.refresh_pool(&token.pool);
            }
        }
    }

    /// Returns whether owned tokens should be transferred to peers before this
    /// process exits.
    pub(super) fn must_hand_over(&self) -> bool {
        let possible = self.settings.exchange_tokens && !self.view.peers.is_empty();
        let done = self.hand_overs >= MAX_HAND_OVERS;
        self.leaving && possible && !done && self.ledger.has_free_owned()
    }

    /// Transfers spare permits to the peers that requested them.
    fn transfer_permits(&mut self) {
        if !self.settings.exchange_tokens {
            return;
        }
        for customer in std::mem::take(&mut self.dirty_customers) {
            if self.next_permit_requester(&customer).is_none() {
                continue;
            }
            let mut spare = self.spare_permits(&customer);
            while spare > 0
                && let Some(peer) = self.next_permit_requester(&customer)
                && self.transfer_permit(&customer, &peer)
            {
                spare -= 1;
            }
        }
    }

    /// Returns the number of free permits of `customer` in excess of its
    /// requests waiting at this process.
    fn spare_permits(&self, customer: &CustomerName) -> u32 {
        let Some(limit) = self.limit_of(customer) else {
            return 0;
        };
        let pool = TokenPool::Permit(customer.clone());
        let free = self.ledger.available(&pool, limit);
        free.saturating_sub(self.waiting_of_customer(customer))
    }

    /// Returns the number of requests of `customer` waiting at this process, in
    /// all classes.
    fn waiting_of_customer(&self, customer: &CustomerName) -> u32 {
        let classes = self.customer_classes.get(customer).into_iter().flatten();
        let mut waiting = 0;
        for class in classes {
            if let Some(state) = self.classes.get(class)
                && let Some(index) = state.queue.find(Some(customer))
            {
                waiting += state.queue.waiting_of(index);
            }
        }
        u32::try_from(waiting).unwrap_or(u32::MAX)
    }

    fn next_permit_requester(&self, customer: &CustomerName) -> Option<NodeIncarnation> {
        self.links
            .iter()
            .filter(|(_, link)| link.requested_permits(customer) > 0)
            .max_by_key(|(_, link)| link.requested_permits(customer))
            .map(|(peer, _)| peer.clone())
    }

    /// Transfers one free permit to `peer`, or returns a borrowed one to its owner.
    fn transfer_permit(&mut self, customer: &CustomerName, peer: &NodeIncarnation) -> bool {
        let pool = TokenPool::Permit(customer.clone());
        let Some(limit) = self.limit_of(customer) else {
            return false;
        };
        if let Some(token) = self.ledger.free_owned(&pool, limit)
            && let Some(link) = self.links.get_mut(peer)
            && self.ledger.lend(&token, peer)
        {
            link.set_requested_permits(customer, link.requested_permits(customer) - 1);
            link.queue_token(token);
            self.refresh_customer(customer);
            return true;
        }
        if let Some((token, owner)) = self.ledger.free_borrowed(&pool)
            && self.view.peers.contains(&owner)
        {
            self.return_borrowed(&token, &owner);
            if let Some(link) = self.links.get_mut(peer) {
                link.set_requested_permits(customer, link.requested_permits(customer) - 1);
            }
            return true;
        }
        false
    }

    /// Returns the next report of demand, or `None` if it is not due.
    fn next_report(&mut self, now: NodeTime) -> Option<PeerMessage> {
        let interval = match self.reporter.is_urgent() {
            true => self.settings.urgent_interval,
            false => self.settings.report_interval,
        };
        let due = self
            .last_report
            .is_none_or(|last| now.saturating_since(last) >= interval);
        if !due || self.links.is_empty() {
            return None;
        }
        self.last_report = Some(now);
        self.reporter.mark_stale(now);
        let mut message = PeerMessage::default();
        let changed = self.reporter.take_changed();
        let mut customers = BTreeSet::new();
        for key in &changed {
            if let Some(entry) = self.next_demand(now, key) {
                message.demand.push(entry);
            }
            if let Some(state) = self.classes.get(&key.class)
                && let Some(name) = state.queue.name(key.customer)
            {
                customers.insert(name.clone());
            }
        }
        for customer in customers {
            message
                .permit_requests
                .extend(self.next_permit_request(&customer));
        }
        Some(message)
    }

    /// Returns the demand report of one customer, if it changed enough.
    fn next_demand(&mut self, now: NodeTime, key: &ReportKey) -> Option<CustomerDemand> {
        let state = self.classes.get(&key.class)?;
        let customer = state.queue.name(key.customer).cloned();
        let waiting = u32::try_from(state.queue.waiting_of(key.customer)).unwrap_or(u32::MAX);
        let usable = match customer
            .as_ref()
            .and_then(|customer| Some((customer, self.limit_of(customer)?)))
        {
            Some((customer, limit)) => {
                let pool = TokenPool::Permit(customer.clone());
                waiting.min(self.ledger.available(&pool, limit))
            }
            None => waiting,
        };
        let service = self.reporter.next_service(now, key, usable, &state.queue)?;
        Some(CustomerDemand {
            class: key.class.clone(),
            customer,
            waiting: usable,
            service_micros: service,
        })
    }

    /// Returns the permit request of `customer`, if the number changed enough.
    fn next_permit_request(&mut self, customer: &CustomerName) -> Option<PermitRequest> {
        let limit = self.limit_of(customer)?;
        let pool = TokenPool::Permit(customer.clone());
        let free = self.ledger.available(&pool, limit);
        let permits = self
            .waiting_of_customer(customer)
            .saturating_sub(free)
            .min(limit);
        let sent = self
            .sent_permit_requests
            .get(customer)
            .copied()
            .unwrap_or(0);
        if !is_significant(sent, permits) {
            return None;
        }
        self.sent_permit_requests.insert(customer.clone(), permits);
        Some(PermitRequest {
            customer: customer.clone(),
            permits,
        })
    }
}

/// Returns the tolerance in nanoseconds, the unit of virtual time.
fn tolerance_nanos(settings: &SchedulerSettings) -> i64 {
    duration_micros(settings.tolerance).saturating_mul(1_000)
}
