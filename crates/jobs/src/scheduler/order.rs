//! Orders, their responses and their retries.

use crate::fence;
use crate::name::{TaskId, WorkerId};
use crate::time::BootTime;
use crate::worker::{OrderAction, OrderOutcome, OrderResponse, WorkerOrder};

use super::confirmation::StartResponse;
use super::entry::{RunLocation, RunProgress, StopProgress, TaskPhase};
use super::fleet::{ContactState, WorkerEntry};
use super::starting;
use super::{JobScheduler, RunEndReason, WorkerStatus};

impl JobScheduler {
    /// Returns whether an order that is not sent yet starts a run on a worker that has
    /// shrunk below its reservations since; it is to be taken back.
    pub fn exceeds_capacity(&self, order: &WorkerOrder) -> bool {
        let is_start = matches!(order.action, OrderAction::Start { .. });
        let worker = self.fleet.get(&order.worker);
        is_start && worker.is_some_and(WorkerEntry::is_overcommitted)
    }

    /// Returns whether an order that is not sent yet is not to be sent any more: it is for an
    /// earlier incarnation of its worker, or exceeds its capacity.
    pub fn is_obsolete(&self, order: &WorkerOrder) -> bool {
        self.is_outdated(order) || self.exceeds_capacity(order)
    }

    /// Handles the response to an order to start, stop or pace a run.
    pub fn handle_order_response(
        &mut self,
        order: &WorkerOrder,
        response: &OrderResponse,
        now: BootTime,
    ) {
        if self.is_outdated(order) {
            return;
        }
        if response.outcome == OrderOutcome::Fenced {
            self.is_fenced = true;
            return;
        }
        self.update_clock(order, response, now);
        match &order.action {
            OrderAction::Start { task, run, .. } => {
                let start_response = match response.outcome {
                    OrderOutcome::Unknown => StartResponse::Missing(now),
                    _ => StartResponse::Received,
                };
                self.set_response(&order.worker, task, *run, start_response);
                self.handle_start_response(&order.worker, task, *run, response, now);
            }
            OrderAction::Stop { task, run } => {
                self.handle_stop_response(&order.worker, task, *run, response.outcome, now);
            }
            OrderAction::Pace { .. } => {
                self.handle_pace_response(&order.worker, response.outcome, now);
            }
            OrderAction::Renew { .. } => {}
        }
    }

    /// Returns whether an order was for an earlier incarnation of its worker, so that the
    /// response says nothing about runs, clock and leases of the present one.
    pub(super) fn is_outdated(&self, order: &WorkerOrder) -> bool {
        let entry = self.fleet.get(&order.worker);
        entry.is_some_and(|entry| {
            let present = fence::order_token(self.fencing_token, entry.session);
            present.is_none_or(|present| order.fencing_token < present)
        })
    }

    fn handle_start_response(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        run: u32,
        response: &OrderResponse,
        now: BootTime,
    ) {
        if !self.is_current(task, run, worker) {
            return;
        }
        let Some(TaskPhase::Ordered(location)) = self.task(task).map(|entry| entry.phase.clone())
        else {
            return;
        };
        match response.outcome {
            OrderOutcome::Accepted => {
                self.start_accepted(task, location, response.clock_ms, now);
            }
            OrderOutcome::Unknown => {
                self.suspend_worker(worker, now);
                self.stop_task(task, now);
            }
            outcome => self.start_rejected(worker, task, run, outcome, now),
        }
    }

    fn start_accepted(
        &mut self,
        task: &TaskId,
        location: RunLocation,
        clock_ms: Option<u64>,
        now: BootTime,
    ) {
        let worker = location.worker.clone();
        self.mark_started(&task.job);
        if let (Some(entry), Some(clock_ms)) = (self.task_mut(task), clock_ms) {
            entry.trace.add_sign(clock_ms);
        }
        let progress = RunProgress {
            confirmed_at: now,
            percent: 0,
            advanced_at: now,
            is_reported: false,
        };
        self.set_phase(task, TaskPhase::Running(location, progress));
        self.clear_rejections(&worker, task);
        self.pace_started(&worker, task, now);
        let is_final = self
            .jobs
            .get(&task.job)
            .is_some_and(|job| job.state.is_final());
        if is_final {
            self.stop_task(task, now);
        }
    }

    fn start_rejected(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        run: u32,
        outcome: OrderOutcome,
        now: BootTime,
    ) {
        let reason = RunEndReason::Rejected(outcome);
        let ordered_at = self.task(task).and_then(|entry| entry.trace.ordered_at());
        self.drop_run(worker, task, run, reason);
        match outcome {
            OrderOutcome::Replaced => self.end_worker(worker, ordered_at, now),
            OrderOutcome::Unhealthy | OrderOutcome::Full => self.suspend_worker(worker, now),
            OrderOutcome::Unsent => self.stop_incomplete_gang(task, run, now),
            OrderOutcome::Unpermitted => self.advice.drop_permit(&starting::step_of(task), worker),
            OrderOutcome::Invalid => {
                self.reject_start(worker, task, now);
                self.stop_incomplete_gang(task, run, now);
            }
            _ => {}
        }
    }

    /// Stops the other members of a gang of which one does not start: a part of it would
    /// only hold its workers.
    fn stop_incomplete_gang(&mut self, task: &TaskId, run: u32, now: BootTime) {
        for member in self.gang_members(task) {
            if self.task(&member).is_some_and(|entry| entry.run == run) {
                self.stop_task(&member, now);
            }
        }
    }

    fn handle_stop_response(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        run: u32,
        outcome: OrderOutcome,
        now: BootTime,
    ) {
        match outcome {
            OrderOutcome::Accepted | OrderOutcome::Stale => {
                self.stop_accepted(worker, task, run, now);
            }
            OrderOutcome::Replaced => {
                let ordered_at = self.stop_ordered_at(worker, task, run);
                self.end_worker(worker, ordered_at, now);
            }
            _ => {}
        }
    }

    /// Returns when the latest order to stop a run was issued.
    fn stop_ordered_at(&self, worker: &WorkerId, task: &TaskId, run: u32) -> Option<BootTime> {
        let reservation = self.fleet.get(worker)?.reservations.get(task)?;
        if let Some(stop) = reservation.orphan_stop {
            return Some(stop.ordered_at);
        }
        match &self.task(task).filter(|entry| entry.run == run)?.phase {
            TaskPhase::Stopping(_, stop) => Some(stop.ordered_at),
            _ => None,
        }
    }

    fn stop_accepted(&mut self, worker: &WorkerId, task: &TaskId, run: u32, now: BootTime) {
        let reservation = self
            .fleet
            .get_mut(worker)
            .and_then(|entry| entry.reservations.get_mut(task))
            .filter(|reservation| reservation.run == run);
        if let Some(stop) = reservation.and_then(|reservation| reservation.orphan_stop.as_mut()) {
            stop.accepted_at = Some(now);
        }
        if !self.is_current(task, run, worker) {
            return;
        }
        if let Some(entry) = self.task_mut(task)
            && let TaskPhase::Stopping(_, stop) = &mut entry.phase
        {
            stop.accepted_at = Some(now);
        }
    }

    /// Handles a lease renewal that failed or got no response.
    pub fn handle_renewal_failure(
        &mut self,
        order: &WorkerOrder,
        outcome: OrderOutcome,
        now: BootTime,
    ) {
        let worker = &order.worker;
        let issued_at = order.issued_at;
        let retry_delay = self.settings.renewal_retry_delay;
        let Some(entry) = self.fleet.get_mut(worker) else {
            return;
        };
        if entry.renewal_sent_at != Some(issued_at) {
            return;
        }
        entry.renewal_sent_at = None;
        entry.next_renewal = now + retry_delay;
        if outcome == OrderOutcome::Fenced {
            self.is_fenced = true;
            return;
        }
        self.note_silent(worker, now);
        if outcome == OrderOutcome::Replaced {
            self.end_worker(worker, Some(issued_at), now);
        }
    }

    /// Records that a worker does not respond.
    fn note_silent(&mut self, worker: &WorkerId, now: BootTime) {
        let Some(entry) = self.fleet.get_mut(worker) else {
            return;
        };
        let was_responsive = entry.contact == ContactState::Responsive;
        entry.contact = ContactState::Unresponsive;
        entry.silent_since.get_or_insert(now);
        if was_responsive {
            self.record_status(worker, WorkerStatus::Silent);
        }
    }

    /// Handles that another worker at the address of a worker has rejected the order that was
    /// issued at `refused_at`: it has ended, and none of its runs is left.
    fn end_worker(&mut self, worker: &WorkerId, refused_at: Option<BootTime>, now: BootTime) {
        self.note_silent(worker, now);
        if let Some(entry) = self.fleet.get_mut(worker) {
            entry.refused_at = refused_at;
        }
        if self.is_restoring {
            // Which of its runs are current is not known yet.
            return;
        }
        self.drop_runs_on(worker, RunEndReason::WorkerReplaced, now);
    }

    /// Sends the lease renewals that are due.
    pub(super) fn send_due_renewals(&mut self, now: BootTime) {
        let entries = self.fleet.iter();
        let due: Vec<WorkerId> = entries
            .filter(|(id, entry)| {
                let is_needed = !entry.reservations.is_empty()
                    || !entry.unacknowledged.is_empty()
                    || self.is_restoring
                    || (entry.is_listed && entry.contact != ContactState::Responsive);
                is_needed
                    && entry.renewal_sent_at.is_none()
                    && entry.next_renewal <= now
                    && entry.view.is_some()
                    && !self.awaits_withdrawal(id, entry, now)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.send_renewal(&id, now);
        }
    }

    /// Returns whether a renewal without a lease would come soon after the latest
    /// report, although one with a lease is possible once the worker is withdrawn from
    /// the stored ends of leases.
    fn awaits_withdrawal(&self, id: &WorkerId, entry: &WorkerEntry, now: BootTime) -> bool {
        entry.contact == ContactState::Responsive
            && self.lease_ledger.covers(id)
            && now.saturating_since(entry.reported_at) < self.settings.renewal_retry_delay
    }

    pub(super) fn send_renewal(&mut self, worker: &WorkerId, now: BootTime) {
        let max_wait_ms = self.settings.max_renewal_wait.as_millis() as u64;
        let contact = self.fleet.get(worker).map(|entry| entry.contact);
        let is_responsive = contact == Some(ContactState::Responsive);
        // The lease of an unresponsive worker must be able to expire.
        let lease_end_ms = if is_responsive {
            self.grant_lease(worker, now)
        } else {
            None
        };
        let needs_report = self.needs_report(worker, now);
        let max_age = self.settings.max_renewal_wait + self.settings.max_response_delay;
        let Some(entry) = self.fleet.get_mut(worker) else {
            return;
        };
        // A worker without a new lease is asked again before the old one expires.
        let may_wait =
            lease_end_ms.is_some() && entry.unacknowledged.is_empty() && !self.is_restoring;
        let may_wait = may_wait && !needs_report;
        entry.renewal_sent_at = Some(now);
        let action = OrderAction::Renew {
            acknowledged_number: entry.acknowledgement(now, max_age),
            lease_end_ms,
            wait_ms: if may_wait { max_wait_ms } else { 0 },
        };
        self.push_order(worker, action, now);
    }

    /// Retries the stop orders that got no response.
    pub(super) fn retry_stops(&mut self, now: BootTime) {
        let retry_delay = self.settings.stop_retry_delay;
        let is_due = |ordered_at: BootTime| now.saturating_since(ordered_at) >= retry_delay;
        let mut due = Vec::new();
        for (id, worker) in self.fleet.iter() {
            for (task, reservation) in &worker.reservations {
                let is_unconfirmed = match reservation.orphan_stop {
                    Some(stop) => stop.accepted_at.is_none() && is_due(stop.ordered_at),
                    None => match self.task(task).map(|entry| &entry.phase) {
                        Some(TaskPhase::Stopping(_, stop)) => {
                            stop.accepted_at.is_none() && is_due(stop.ordered_at)
                        }
                        _ => false,
                    },
                };
                if is_unconfirmed {
                    due.push((id.clone(), task.clone(), reservation.run));
                }
            }
        }
        for (worker, task, run) in due {
            self.retry_stop(&worker, &task, run, now);
        }
    }

    fn retry_stop(&mut self, worker: &WorkerId, task: &TaskId, run: u32, now: BootTime) {
        let reservation = self
            .fleet
            .get_mut(worker)
            .and_then(|entry| entry.reservations.get_mut(task));
        if let Some(stop) = reservation.and_then(|reservation| reservation.orphan_stop.as_mut()) {
            stop.ordered_at = now;
        } else if let Some(entry) = self.task_mut(task)
            && let TaskPhase::Stopping(_, stop) = &mut entry.phase
        {
            *stop = StopProgress {
                ordered_at: now,
                accepted_at: None,
                ..*stop
            };
        }
        let action = OrderAction::Stop {
            task: task.clone(),
            run,
        };
        self.push_order(worker, action, now);
    }
}
