//! Dispatch of waiting requests to workers.

use std::cmp;
use std::time;

use redwing_model::{ClassName, VmId};

use crate::clock::NodeTime;
use crate::fair_queue::{CustomerIndex, duration_micros};
use crate::scheduler::request::{RequestState, RunningAttempt};
use crate::scheduler::{NodeScheduler, SchedulerAction};
use crate::ticket::{RefusalReason, TicketId};
use crate::token::{TokenId, TokenPool};

/// Smallest charge for an attempt, so that every attempt is charged.
const MIN_CHARGE: time::Duration = time::Duration::from_millis(1);

impl NodeScheduler {
    /// Dispatches waiting requests of `class` while slots and permits are free.
    pub(super) fn dispatch_class(&mut self, now: NodeTime, class: &ClassName) {
        while self.dispatch_next(now, class) {}
    }

    /// Dispatches waiting requests of all classes, round robin.
    pub(super) fn dispatch_all(&mut self, now: NodeTime) {
        let mut classes: Vec<(u64, ClassName)> = self
            .classes
            .iter()
            .map(|(class, state)| (state.last_dispatch, class.clone()))
            .collect();
        classes.sort();
        while !classes.is_empty() {
            classes.retain(|(_, class)| self.dispatch_next(now, class));
        }
    }

    /// Dispatches to the backend server on `vm` after one of its slots became free.
    pub(super) fn dispatch_to_worker(&mut self, now: NodeTime, vm: &VmId) {
        let Some(worker) = self.workers.get(vm) else {
            return;
        };
        let mut classes: Vec<(u64, ClassName)> = worker
            .classes
            .iter()
            .map(|class| (self.last_dispatch(class), class.clone()))
            .collect();
        classes.sort();
        for (_, class) in classes {
            self.dispatch_class(now, &class);
        }
    }

    fn last_dispatch(&self, class: &ClassName) -> u64 {
        self.classes
            .get(class)
            .map_or(0, |state| state.last_dispatch)
    }

    /// Dispatches requests of a customer's classes after a permit became free.
    pub(super) fn dispatch_customer(&mut self, now: NodeTime, pool: &TokenPool) {
        let TokenPool::Permit(customer) = pool else {
            return;
        };
        let classes = self
            .customer_classes
            .get(customer)
            .cloned()
            .unwrap_or_default();
        for class in classes {
            self.dispatch_class(now, &class);
        }
    }

    /// Dispatches or refuses one waiting request of `class`, or transfers one
    /// free slot to a peer; returns false once neither is possible.
    fn dispatch_next(&mut self, now: NodeTime, class: &ClassName) -> bool {
        if self.suspended || self.is_held || !self.workers.has_free(class) {
            return false;
        }
        if self.should_yield_slot(class) {
            return self.transfer_slot(class);
        }
        let Some((id, vm)) = self.next_match(class) else {
            return self.transfer_slot(class);
        };
        if self.will_miss_deadline(now, class, id) {
            self.refuse_waiting(now, id, RefusalReason::DeadlineUnmet);
            return true;
        }
        self.dispatch_request(now, class, id, &vm)
    }

    /// Returns the next request of the most under-served customer for which an
    /// eligible backend server is free, with the VM of that server.
    fn next_match(&mut self, class: &ClassName) -> Option<(TicketId, VmId)> {
        let state = self.classes.get_mut(class)?;
        let requests = &self.requests;
        let still_waiting = |id| requests.get(&id).is_some_and(RequestState::is_waiting);
        let first = state.queue.next_ready().map(|(_, customer)| customer)?;
        let id = state.queue.peek(first, still_waiting)?;
        let tried = &requests.get(&id)?.tried;
        if let Some(vm) = self.workers.choose(class, tried) {
            return Some((id, vm.clone()));
        }
        // Reached only if the request was already tried on every free backend
        // server; other customers need not wait for it.
        let customers: Vec<CustomerIndex> = state.queue.ready_customers().skip(1).collect();
        for customer in customers {
            let id = state.queue.peek(customer, still_waiting)?;
            let tried = &requests.get(&id)?.tried;
            if let Some(vm) = self.workers.choose(class, tried) {
                return Some((id, vm.clone()));
            }
        }
        None
    }

    /// Returns whether a request would end after its deadline while other
    /// requests wait that could use the slot.
    pub(super) fn will_miss_deadline(
        &self,
        now: NodeTime,
        class: &ClassName,
        id: TicketId,
    ) -> bool {
        let (Some(state), Some(request)) = (self.classes.get(class), self.requests.get(&id)) else {
            return false;
        };
        if request.ticket.deadline <= now {
            return true;
        }
        let run = state
            .estimate
            .expected_run(request.ticket.customer.as_ref());
        let has_enough_runs = state.estimate.has_enough_runs();
        has_enough_runs && state.queue.waiting() > 1 && now + run > request.ticket.deadline
    }

    fn dispatch_request(
        &mut self,
        now: NodeTime,
        class: &ClassName,
        id: TicketId,
        vm: &VmId,
    ) -> bool {
        let Some((slot, permit)) = self.acquire_tokens(id, vm) else {
            return false;
        };
        self.dispatch_count += 1;
        let (Some(state), Some(request)) =
            (self.classes.get_mut(class), self.requests.get_mut(&id))
        else {
            return false;
        };
        let Some(worker) = self.workers.get(vm) else {
            return false;
        };
        let address = worker.address;
        let name = request.ticket.customer.as_ref();
        let estimate = state.estimate.expected_run(name).max(MIN_CHARGE);
        let charged = duration_micros(estimate);
        request.attempts += 1;
        request.tried.push(vm.clone());
        request.attempt = Some(RunningAttempt {
            vm: vm.clone(),
            slot: slot.clone(),
            permit: permit.clone(),
            started: now,
            charged,
        });
        let (customer, attempt) = (request.customer, request.attempts);
        state.last_dispatch = self.dispatch_count;
        state.queue.start(customer, estimate);
        state.rates.entry(customer).or_default().dispatch(now);
        let requests = &self.requests;
        let still_waiting = |id| requests.get(&id).is_some_and(RequestState::is_waiting);
        state.queue.remove_waiting(customer, still_waiting);
        self.reporter.charge(class, customer, charged);
        self.running += 1;
        if attempt == 1 {
            self.budget.earn();
        }
        self.overrun_checks
            .push(cmp::Reverse((now + estimate * 2, id)));
        self.workers.start(vm);
        self.count_cold(class, vm);
        self.refresh_pool(&slot.pool);
        if let Some(permit) = &permit {
            self.refresh_pool(&permit.pool);
        }
        self.actions.push(SchedulerAction::Dispatch {
            id,
            vm: vm.clone(),
            address,
            attempt,
        });
        true
    }

    /// Acquires a slot of `vm` and, if the customer has a limit, a permit.
    fn acquire_tokens(&mut self, id: TicketId, vm: &VmId) -> Option<(TokenId, Option<TokenId>)> {
        let customer = self.requests.get(&id)?.ticket.customer.clone();
        let mut permit = None;
        if let Some(customer) = customer
            && let Some(limit) = self.limit_of(&customer)
        {
            permit = Some(
                self.ledger
                    .acquire(&TokenPool::Permit(customer), limit, id)?,
            );
        }
        let pool = TokenPool::Slot(vm.clone());
        let slot = self
            .ledger
            .acquire(&pool, self.settings.slots_per_worker, id);
        if slot.is_none()
            && let Some(permit) = &permit
        {
            self.ledger.undo_acquire(permit);
        }
        Some((slot?, permit))
    }
}
