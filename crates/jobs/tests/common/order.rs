//! Orders on their way to in-memory workers, and their execution.

use redwing_jobs::worker::{
    ExitKind, OrderAction, OrderOutcome, OrderResponse, RenewalReport, WorkerOrder,
};
use redwing_jobs::{BootTime, TaskId, WorkerId};

use super::{FakeFleet, FakeRun};

/// Returns whether an order starts a run.
pub(crate) fn is_start(action: &OrderAction) -> bool {
    matches!(action, OrderAction::Start { .. })
}

/// Returns whether an order is a renewal that grants a lease.
pub(crate) fn grants_lease(action: &OrderAction) -> bool {
    matches!(
        action,
        OrderAction::Renew {
            lease_end_ms: Some(_),
            ..
        }
    )
}

impl FakeFleet {
    /// Advances time and holds the first order back that `is_wanted` selects; the others are
    /// sent.
    pub(crate) fn hold_back(
        &mut self,
        duration_ms: u64,
        is_wanted: impl Fn(&OrderAction) -> bool,
    ) -> WorkerOrder {
        self.held_orders = Some(Vec::new());
        self.advance(duration_ms);
        let mut held = self.held_orders.take().unwrap_or_default();
        let position = held.iter().position(|order| is_wanted(&order.action));
        let wanted = held.remove(position.expect("it was ordered"));
        self.held_orders = Some(held);
        self.send_held();
        wanted
    }

    /// Advances time until an order is issued that `is_wanted` selects, and holds that one back;
    /// the others are sent at each tick.
    pub(crate) fn hold_back_one(
        &mut self,
        limit_ms: u64,
        is_wanted: impl Fn(&OrderAction) -> bool,
    ) -> WorkerOrder {
        for _ in 0..limit_ms / 10 {
            self.held_orders = Some(Vec::new());
            self.advance(10);
            let mut held = self.held_orders.take().unwrap_or_default();
            let position = held.iter().position(|order| is_wanted(&order.action));
            let wanted = position.map(|position| held.remove(position));
            self.held_orders = Some(held);
            self.send_held();
            if let Some(wanted) = wanted {
                return wanted;
            }
        }
        panic!("it was not ordered within {limit_ms} ms");
    }

    /// Advances time and loses the start that is ordered: the owner gets no response, and the
    /// worker may carry it out later.
    pub(crate) fn lose_start(&mut self) -> WorkerOrder {
        let start = self.hold_back(20, is_start);
        self.deliver_response(&start, OrderOutcome::Unknown, None);
        start
    }

    /// Returns a lease renewal of the present owner, with the highest fencing token that the
    /// worker has seen.
    pub(crate) fn renewal(&self, worker: &WorkerId, issued_at: BootTime) -> WorkerOrder {
        let known = &self.workers[worker];
        WorkerOrder {
            worker: worker.clone(),
            address: known.view.address,
            data_centre: known.view.data_centre.clone(),
            fencing_token: known.fencing_token,
            issued_at,
            action: OrderAction::Renew {
                acknowledged_number: 0,
                lease_end_ms: None,
                wait_ms: 0,
            },
        }
    }

    /// Sends the orders that were held, as the session of an owner does: starts in an
    /// evacuated data centre, beyond the capacity of a worker or for an earlier incarnation are
    /// taken back.
    pub(crate) fn send_held(&mut self) {
        self.read_evacuations();
        for order in self.held_orders.take().unwrap_or_default() {
            if self.scheduler.is_withdrawn(&order) || self.scheduler.is_obsolete(&order) {
                self.scheduler.take_back(&order, self.now);
            } else {
                self.send_order(&order);
            }
        }
    }

    pub(super) fn execute_delayed_orders(&mut self) {
        let now = self.now;
        let (due_orders, pending_orders): (Vec<_>, Vec<_>) = self
            .delayed_orders
            .drain(..)
            .partition(|(due_time, _)| *due_time <= now);
        self.delayed_orders = pending_orders;
        for (_, order) in due_orders {
            self.execute_order(&order);
        }
        let (due_stops, pending_stops): (Vec<_>, Vec<_>) = self
            .accepted_stops
            .drain(..)
            .partition(|(due_time, _)| *due_time <= now);
        self.accepted_stops = pending_stops;
        for (_, order) in due_stops {
            if let OrderAction::Stop { task, run } = &order.action {
                self.stop_run(&order.worker, task, *run);
            }
        }
    }

    /// Ends a run on a worker; later starts of that run are rejected.
    fn stop_run(&mut self, worker: &WorkerId, task: &TaskId, run: u32) {
        let Some(worker) = self.workers.get_mut(worker) else {
            return;
        };
        let closed = worker.closed_runs.entry(task.clone()).or_default();
        *closed = (*closed).max(run);
        let running = worker.running.get(task);
        if running.is_some_and(|running| running.run == run) {
            worker.end_run(task, ExitKind::Stopped);
            self.stops.push((task.clone(), run, self.now));
        }
    }

    /// Lets a worker carry out an order whose response is lost.
    pub(crate) fn execute_unanswered(&mut self, order: &WorkerOrder) {
        self.execute_order(order);
        self.deliver_response(order, OrderOutcome::Unknown, None);
    }

    pub(crate) fn send_order(&mut self, order: &WorkerOrder) {
        if let OrderAction::Start { task, .. } = &order.action {
            self.ordered_starts.push(task.clone());
        }
        let worker = self.workers.get(&order.worker);
        if worker.is_some_and(|worker| worker.is_replaced) {
            self.deliver_response(order, OrderOutcome::Replaced, None);
            return;
        }
        if worker.is_none_or(|worker| worker.is_unresponsive) {
            self.deliver_response(order, OrderOutcome::Unknown, None);
            return;
        }
        let is_renewal = matches!(order.action, OrderAction::Renew { .. });
        self.renewal_count += usize::from(is_renewal);
        if let Some(delay) = self.lost_order_delay.filter(|_| !is_renewal) {
            self.delayed_orders.push((self.now + delay, order.clone()));
            self.deliver_response(order, OrderOutcome::Unknown, None);
            return;
        }
        let is_stop = matches!(order.action, OrderAction::Stop { .. });
        if let Some(delay) = self.stop_delay.filter(|_| is_stop) {
            self.accepted_stops.push((self.now + delay, order.clone()));
            self.deliver_response(order, OrderOutcome::Accepted, None);
            return;
        }
        let (outcome, report) = self.execute_order(order);
        self.deliver_response(order, outcome, report);
    }

    /// Hands the response to an order in, or that there was none.
    pub(crate) fn deliver_response(
        &mut self,
        order: &WorkerOrder,
        outcome: OrderOutcome,
        report: Option<RenewalReport>,
    ) {
        let now = self.now;
        let worker = self.workers.get(&order.worker);
        // Only the worker itself includes its clock.
        let is_own = !matches!(outcome, OrderOutcome::Replaced | OrderOutcome::Unknown);
        let response = OrderResponse {
            outcome,
            clock_ms: worker.filter(|_| is_own).map(|worker| worker.clock_ms(now)),
        };
        match &order.action {
            OrderAction::Renew { .. } => match report {
                Some(report) => {
                    self.scheduler.handle_renewal_report(order, &report, now);
                }
                None => {
                    self.scheduler.handle_renewal_failure(order, outcome, now);
                }
            },
            _ => self.scheduler.handle_order_response(order, &response, now),
        }
    }

    /// Executes an order under the rules of a worker and returns the response.
    fn execute_order(&mut self, order: &WorkerOrder) -> (OrderOutcome, Option<RenewalReport>) {
        let now = self.now;
        let task_durations = &self.task_durations;
        let Some(worker) = self.workers.get_mut(&order.worker) else {
            return (OrderOutcome::Replaced, None);
        };
        if order.fencing_token < worker.fencing_token {
            return (OrderOutcome::Fenced, None);
        }
        worker.fencing_token = order.fencing_token;
        match &order.action {
            OrderAction::Start {
                task,
                run,
                lease_end_ms,
                checkpoint,
                ..
            } => {
                if worker.rejects_starts || self.invalid_jobs.contains(&task.job) {
                    return (OrderOutcome::Invalid, None);
                }
                if *lease_end_ms <= worker.clock_ms(now) {
                    return (OrderOutcome::Expired, None);
                }
                worker.extend_lease(*lease_end_ms, now);
                let is_stale = worker
                    .closed_runs
                    .get(task)
                    .is_some_and(|closed| closed >= run);
                if is_stale {
                    return (OrderOutcome::Stale, None);
                }
                let duration = task_durations.get(&task.job);
                worker.running.insert(
                    task.clone(),
                    FakeRun {
                        run: *run,
                        start_time: now,
                        finish_time: duration
                            .filter(|duration| !duration.is_zero())
                            .map(|duration| now + *duration),
                        progress_percent: 100,
                        measurement: 0,
                        checkpoint: checkpoint.clone(),
                    },
                );
                self.resumed_checkpoints.extend(checkpoint.clone());
                self.starts
                    .push((task.clone(), *run, order.worker.clone(), now));
                self.crash_plan.note_start(task, &order.worker, now);
                (OrderOutcome::Accepted, None)
            }
            OrderAction::Stop { task, run } => {
                self.stop_run(&order.worker, task, *run);
                (OrderOutcome::Accepted, None)
            }
            OrderAction::Renew {
                acknowledged_number,
                lease_end_ms,
                ..
            } => {
                if worker.receives_acknowledgements {
                    worker
                        .ended_runs
                        .retain(|ended_run| ended_run.number > *acknowledged_number);
                }
                worker.extend_lease(lease_end_ms.unwrap_or(0), now);
                (OrderOutcome::Accepted, Some(worker.renewal_report(now)))
            }
            OrderAction::Pace { task, percent, .. } => {
                self.pace_orders.push((task.clone(), *percent, now));
                (OrderOutcome::Accepted, None)
            }
        }
    }
}
