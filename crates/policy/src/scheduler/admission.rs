//! Admission of new requests: limits, and the wait that they would have.

use std::cmp;
use std::time;

use redwing_model::{ClassName, CustomerName};

use crate::clock::NodeTime;
use crate::fair_queue::{CustomerIndex, UNDECLARED_SHARE};
use crate::scheduler::request::RequestState;
use crate::scheduler::{NodeScheduler, share_of};
use crate::ticket::{RefusalReason, RequestTicket};

/// Largest fraction of the time to its deadline that an admitted request may be
/// predicted to need.
const MAX_ADMITTED_FRACTION: f64 = 0.9;

/// Lower bound of the dispatch rate in wait estimates, per second.
const MIN_DISPATCH_RATE: f64 = 1e-3;

/// Lower bound of the run time that a rate is derived from, in seconds.
const MIN_RUN_SECONDS: f64 = 1e-3;

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

    /// Checks a new request and queues it.
    fn admit(&mut self, now: NodeTime, ticket: RequestTicket) -> Result<(), RefusalReason> {
        if self.leaving {
            return Err(RefusalReason::Stopping);
        }
        let Some(target) = self.view.declaration.queues.get(&ticket.class) else {
            return Err(RefusalReason::NoCapacity);
        };
        if self.is_held || self.workers.total(&ticket.class) == 0 {
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
    pub(super) fn enqueue(&mut self, now: NodeTime, request: RequestState) {
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
    pub(super) fn expected_wait(
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
}
