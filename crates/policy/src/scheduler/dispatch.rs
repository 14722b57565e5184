//! Life cycle of a request: admission, dispatch, attempt report and refusal.

use std::cmp;
use std::time;

use redwing_model::{ClassName, CustomerName, RunOutcome, VmId};

use crate::clock::NodeTime;
use crate::fair_queue::{CustomerIndex, UNDECLARED_SHARE, duration_micros};
use crate::scheduler::request::{RequestState, RunningAttempt};
use crate::scheduler::{NodeScheduler, SchedulerAction, share_of};
use crate::ticket::{
    AttemptReport, AttemptVerdict, RefusalReason, RequestRefusal, RequestTicket, TicketId,
};
use crate::token::{TokenId, TokenPool};

/// Shortest time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Longest time after which a refused caller is asked to retry.
const MAX_RETRY_AFTER: time::Duration = time::Duration::from_secs(60);

/// Largest fraction of the time to its deadline that an admitted request may be
/// predicted to need.
const MAX_ADMITTED_FRACTION: f64 = 0.9;

/// Lower bound of the dispatch rate in wait estimates, per second.
const MIN_DISPATCH_RATE: f64 = 1e-3;

/// Lower bound of the run time that a rate is derived from, in seconds.
const MIN_RUN_SECONDS: f64 = 1e-3;

/// Smallest charge for an attempt, so that every attempt is charged.
const MIN_CHARGE: time::Duration = time::Duration::from_millis(1);

impl NodeScheduler {
    /// Submits a new request; a dispatch or refusal follows, unless it is cancelled.
    pub fn submit(&mut self, now: NodeTime, ticket: RequestTicket) {
        let class = ticket.class.clone();
        let id = ticket.id;
        match self.admit(now, ticket) {
            Ok(()) => {
                self.dispatch_class(now, &class);
                self.flush(now);
            }
            Err(reason) => self.refuse_new(id, &class, reason),
        }
    }

    /// Cancels a request whose caller disconnected. The end of a running
    /// attempt must still be reported through [`finish`](Self::finish).
    pub fn cancel(&mut self, now: NodeTime, id: TicketId) {
        match self.requests.get_mut(&id) {
            Some(request) if request.is_waiting() => {
                self.remove_waiting(id);
            }
            Some(request) => request.cancelled = true,
            None => {}
        }
        self.flush(now);
    }

    /// Processes the report of an ended attempt; returns whether another action
    /// for the request follows.
    pub fn finish(
        &mut self,
        now: NodeTime,
        id: TicketId,
        report: &AttemptReport,
    ) -> AttemptVerdict {
        let customer = self
            .requests
            .get(&id)
            .and_then(|request| request.ticket.customer.as_ref());
        let blocked = customer.is_some_and(|customer| self.blocked_customers.contains(customer));
        let Some(attempt) = self.end_attempt(now, id, report) else {
            return AttemptVerdict::Final;
        };
        let verdict = self.decide_next(now, id, report);
        self.dispatch_to_worker(now, &attempt.vm);
        if blocked && let Some(permit) = &attempt.permit {
            self.dispatch_customer(now, &permit.pool);
        }
        self.flush(now);
        verdict
    }

    /// Checks a new request and queues it.
    fn admit(&mut self, now: NodeTime, ticket: RequestTicket) -> Result<(), RefusalReason> {
        if self.leaving {
            return Err(RefusalReason::Stopping);
        }
        let Some(target) = self.view.declaration.queues.get(&ticket.class) else {
            return Err(RefusalReason::NoCapacity);
        };
        if self.workers.total(&ticket.class) == 0 {
            return Err(RefusalReason::NoCapacity);
        }
        if ticket.deadline <= now {
            return Err(RefusalReason::DeadlineUnmet);
        }
        let depth = target.max_waiting_per_customer as usize;
        let share = share_of(&target.shares, ticket.customer.as_ref());
        let customer = self.intern_customer(&ticket.class, ticket.customer.as_ref(), share);
        let Some(state) = self.classes.get(&ticket.class) else {
            return Err(RefusalReason::NoCapacity);
        };
        if state.queue.waiting_of(customer) >= depth {
            return Err(RefusalReason::QueueFull);
        }
        let remaining = ticket.deadline.saturating_since(now);
        if self.predicts_deadline_miss(now, &ticket.class, customer, remaining) {
            return Err(RefusalReason::DeadlineUnmet);
        }
        self.enqueue(now, RequestState::new(ticket, customer));
        Ok(())
    }

    fn intern_customer(
        &mut self,
        class: &ClassName,
        customer: Option<&CustomerName>,
        share: f64,
    ) -> CustomerIndex {
        let state = self.classes.entry(class.clone()).or_default();
        if let Some(index) = state.queue.find(customer) {
            return index;
        }
        let index = state.queue.intern(customer, share);
        if let Some(customer) = customer {
            let classes = self.customer_classes.entry(customer.clone()).or_default();
            classes.push(class.clone());
            let blocked = self.is_blocked(customer);
            if blocked {
                self.blocked_customers.insert(customer.clone());
            }
            if let Some(state) = self.classes.get_mut(class) {
                state.queue.set_blocked(index, blocked);
            }
        }
        index
    }

    /// Returns the index of `customer` in `class`, adding it with its declared
    /// share if it is new.
    pub(super) fn customer_index(
        &mut self,
        class: &ClassName,
        customer: Option<&CustomerName>,
    ) -> CustomerIndex {
        let target = self.view.declaration.queues.get(class);
        let share = target.map_or(UNDECLARED_SHARE, |target| {
            share_of(&target.shares, customer)
        });
        self.intern_customer(class, customer, share)
    }

    /// Adds a request to its queue.
    fn enqueue(&mut self, now: NodeTime, request: RequestState) {
        let id = request.ticket.id;
        let deadline = request.ticket.deadline;
        if let Some(state) = self.classes.get_mut(&request.ticket.class) {
            if state.queue.waiting_of(request.customer) == 0 {
                self.reporter.mark_urgent();
                state.rates.entry(request.customer).or_default().start(now);
            }
            state.queue.push(request.customer, deadline, id);
        }
        self.reporter.mark(&request.ticket.class, request.customer);
        self.deadlines.push(cmp::Reverse((deadline, id)));
        if let Some(last_start) = self.last_start(&request) {
            self.deadlines.push(cmp::Reverse((last_start, id)));
        }
        self.requests.insert(id, request);
    }

    /// Returns whether the measured run times predict that a new request of
    /// `customer` would not complete within `remaining`.
    fn predicts_deadline_miss(
        &self,
        now: NodeTime,
        class: &ClassName,
        customer: CustomerIndex,
        remaining: time::Duration,
    ) -> bool {
        let Some(state) = self.classes.get(class) else {
            return false;
        };
        if !state.estimate.has_enough_runs() || state.queue.waiting_of(customer) == 0 {
            return false;
        }
        let run = state.estimate.longest_run(state.queue.name(customer));
        let needed = self.expected_wait(now, class, customer) + run;
        needed > remaining.mul_f64(MAX_ADMITTED_FRACTION)
    }

    /// Returns the expected waiting time of a new request of `customer` at this process.
    fn expected_wait(
        &self,
        now: NodeTime,
        class: &ClassName,
        customer: CustomerIndex,
    ) -> time::Duration {
        let Some(state) = self.classes.get(class) else {
            return time::Duration::ZERO;
        };
        let name = state.queue.name(customer);
        let limit = name.and_then(|name| self.limit_of(name));
        let fair = state.queue.fair_slots(customer);
        let slots = limit.map_or(fair, |limit| fair.min(f64::from(limit)));
        let initial_rate = slots
            / state
                .estimate
                .expected_run(name)
                .as_secs_f64()
                .max(MIN_RUN_SECONDS);
        let rate = state.rates.get(&customer).copied().unwrap_or_default();
        let rate = rate.per_second(now, initial_rate).max(MIN_DISPATCH_RATE);
        time::Duration::from_secs_f64(state.queue.waiting_of(customer) as f64 / rate)
    }

    /// Releases the tokens of an ended attempt and corrects its charge.
    fn end_attempt(
        &mut self,
        now: NodeTime,
        id: TicketId,
        report: &AttemptReport,
    ) -> Option<RunningAttempt> {
        let request = self.requests.get_mut(&id)?;
        let attempt = request.attempt.take()?;
        let class = request.ticket.class.clone();
        let (customer, tried) = (request.customer, request.tried.clone());
        self.running -= 1;
        let used = now.saturating_since(attempt.started);
        if let Some(state) = self.classes.get_mut(&class) {
            let name = state.queue.name(customer).cloned();
            if report.outcome == RunOutcome::Ran && !report.faulty {
                state.estimate.record(name.as_ref(), used);
            }
            state.queue.stop(customer);
            let correction = duration_micros(used) - attempt.charged;
            state.queue.charge(customer, correction);
            self.reporter.charge(&class, customer, correction);
            let class_workers = self.workers.total(&class);
            let failed = report.faulty;
            let vm = &attempt.vm;
            if failed {
                for earlier in tried.iter().filter(|earlier| *earlier != vm) {
                    self.detector.retract_failure(earlier);
                }
            }
            if self
                .detector
                .record(now, vm, &class, name.as_ref(), failed, class_workers)
            {
                self.workers.set_health(vm, self.detector.health(vm));
            }
        }
        self.workers.stop(&attempt.vm);
        self.release_tokens(now, &attempt, report.ended);
        Some(attempt)
    }

    fn release_tokens(&mut self, now: NodeTime, attempt: &RunningAttempt, ended: bool) {
        let until = now + self.settings.task_lease;
        for token in [Some(&attempt.slot), attempt.permit.as_ref()]
            .into_iter()
            .flatten()
        {
            match ended {
                true => self.ledger.release(now, token),
                false => self.ledger.quarantine(until, token),
            }
            self.refresh_pool(&token.pool);
        }
    }

    /// Requeues or refuses the request, or leaves the attempt's result as final.
    fn decide_next(
        &mut self,
        now: NodeTime,
        id: TicketId,
        report: &AttemptReport,
    ) -> AttemptVerdict {
        let Some(mut request) = self.requests.remove(&id) else {
            return AttemptVerdict::Final;
        };
        request.maybe_ran |= report.outcome != RunOutcome::NotRun;
        let failed = report.faulty || report.outcome != RunOutcome::Ran;
        let allowed = !request.maybe_ran || request.ticket.repeatable;
        if request.cancelled || report.response_started || !failed || !allowed {
            return AttemptVerdict::Final;
        }
        let in_time = request.ticket.deadline > now;
        let exhausted = request.attempts >= self.settings.max_attempts;
        if in_time && !exhausted && self.budget.spend() {
            self.enqueue(now, request);
            return AttemptVerdict::Pending;
        }
        if report.outcome != RunOutcome::NotRun {
            return AttemptVerdict::Final;
        }
        let reason = match in_time {
            true => RefusalReason::AttemptsExhausted,
            false => RefusalReason::DeadlineUnmet,
        };
        self.refuse(now, &request, reason);
        AttemptVerdict::Pending
    }

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
    fn dispatch_to_worker(&mut self, now: NodeTime, vm: &VmId) {
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
        if self.suspended || !self.workers.has_free(class) {
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
    fn will_miss_deadline(&self, now: NodeTime, class: &ClassName, id: TicketId) -> bool {
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

    /// Charges attempts that run longer than expected for the time used so far.
    pub(super) fn charge_overruns(&mut self, now: NodeTime) {
        while let Some(cmp::Reverse((due, id))) = self.overrun_checks.peek().copied() {
            if due > now {
                break;
            }
            self.overrun_checks.pop();
            let Some(request) = self.requests.get_mut(&id) else {
                continue;
            };
            let Some(attempt) = &mut request.attempt else {
                continue;
            };
            let used = now.saturating_since(attempt.started);
            let extra = duration_micros(used) - attempt.charged;
            if extra <= 0 {
                continue;
            }
            attempt.charged += extra;
            let class = &request.ticket.class;
            if let Some(state) = self.classes.get_mut(class) {
                state.queue.charge(request.customer, extra);
                self.reporter.charge(class, request.customer, extra);
            }
            self.overrun_checks.push(cmp::Reverse((now + used, id)));
        }
    }

    /// Returns the latest start time at which a request is expected to end
    /// before its deadline.
    fn last_start(&self, request: &RequestState) -> Option<NodeTime> {
        let state = self.classes.get(&request.ticket.class)?;
        let run = state
            .estimate
            .expected_run(request.ticket.customer.as_ref());
        let deadline = request.ticket.deadline.since_start();
        let has_enough_runs = state.estimate.has_enough_runs();
        has_enough_runs.then(|| deadline.saturating_sub(run).into())
    }

    /// Refuses every waiting request whose deadline has passed, or would pass
    /// before its end while other requests need the slots.
    pub(super) fn refuse_overdue(&mut self, now: NodeTime) {
        while let Some(cmp::Reverse((deadline, id))) = self.deadlines.peek().copied() {
            if deadline > now {
                break;
            }
            self.deadlines.pop();
            let Some(request) = self
                .requests
                .get(&id)
                .filter(|request| request.is_waiting())
            else {
                continue;
            };
            let class = request.ticket.class.clone();
            if self.will_miss_deadline(now, &class, id) {
                self.refuse_waiting(now, id, RefusalReason::DeadlineUnmet);
            }
        }
    }

    /// Removes a waiting request from its queue.
    fn remove_waiting(&mut self, id: TicketId) -> Option<RequestState> {
        let request = self.requests.remove(&id)?;
        let requests = &self.requests;
        let still_waiting = |id| requests.get(&id).is_some_and(RequestState::is_waiting);
        if let Some(state) = self.classes.get_mut(&request.ticket.class) {
            state.queue.remove_waiting(request.customer, still_waiting);
        }
        self.reporter.mark(&request.ticket.class, request.customer);
        Some(request)
    }

    fn refuse_waiting(&mut self, now: NodeTime, id: TicketId, reason: RefusalReason) {
        if let Some(request) = self.remove_waiting(id) {
            self.refuse(now, &request, reason);
        }
    }

    fn refuse(&mut self, now: NodeTime, request: &RequestState, reason: RefusalReason) {
        let outcome = match request.maybe_ran {
            true => RunOutcome::Unknown,
            false => RunOutcome::NotRun,
        };
        let wait = self.expected_wait(now, &request.ticket.class, request.customer);
        self.push_refusal(request.ticket.id, reason, wait, outcome);
    }

    fn refuse_new(&mut self, id: TicketId, class: &ClassName, reason: RefusalReason) {
        let wait = self.classes.get(class).map(|state| {
            let slots = f64::from(state.queue.slots());
            let ahead = state.queue.waiting() as f64;
            state.estimate.class_mean().mul_f64(ahead / slots)
        });
        self.push_refusal(id, reason, wait.unwrap_or_default(), RunOutcome::NotRun);
    }

    fn push_refusal(
        &mut self,
        id: TicketId,
        reason: RefusalReason,
        wait: time::Duration,
        outcome: RunOutcome,
    ) {
        let refusal = RequestRefusal {
            reason,
            retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            outcome,
        };
        self.actions.push(SchedulerAction::Refuse { id, refusal });
    }
}
