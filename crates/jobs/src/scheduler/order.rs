//! Orders, their answers and their repetition.

use std::time;

use crate::name::{TaskId, WorkerId};
use crate::record::JobState;
use crate::time::BootTime;
use crate::worker::{OrderAction, OrderAnswer, OrderOutcome};

use super::advice::StepId;
use super::entry::{RunPlace, RunProgress, StopProgress, TaskPhase};
use super::fleet::{ClockSample, WorkerContact};
use super::{JobScheduler, RunEndReason, WorkerBelief};

impl JobScheduler {
    /// Returns how long after an order its lease may go on, by our clock.
    pub(super) fn lease_bound(&self) -> time::Duration {
        let settings = &self.settings;
        settings.lease.mul_f64(1.0 + settings.clock_drift) + settings.lease_margin
    }

    /// Returns the end of a lease that begins now, on the worker's clock, and
    /// notes that it was given.
    fn grant_lease(&mut self, worker: &WorkerId, now: BootTime) -> Option<u64> {
        let lease = self.settings.lease;
        let bound = self.lease_bound();
        let entry = self.fleet.get_mut(worker)?;
        let clock = entry.clock?;
        entry.extend_lease(now, bound);
        Some(clock.at(now) + lease.as_millis() as u64)
    }

    /// Sends the order to start a run whose row is stored.
    pub(super) fn order_start(&mut self, task: &TaskId, run: u32, now: BootTime) {
        let Some(entry) = self.task(task) else {
            return;
        };
        let TaskPhase::Reserved(place) = &entry.phase else {
            return;
        };
        if entry.run != run {
            return;
        }
        let place = place.clone();
        let checkpoint = self.resume_point(task);
        let ticket = self.ticket(task, &place, now);
        let is_permitted = ticket.is_some() || !self.is_advised(&task.job);
        let is_usable = self
            .fleet
            .get(&place.worker)
            .is_some_and(|worker| worker.born == place.born && worker.is_usable(now));
        if !is_usable || !is_permitted {
            self.free_task(task);
            return;
        }
        let Some(lease_end_ms) = self.grant_lease(&place.worker, now) else {
            self.free_task(task);
            return;
        };
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let action = OrderAction::Start {
            task: task.clone(),
            run,
            payload: job.payload.clone(),
            lease_end_ms,
            checkpoint,
            ticket,
        };
        let worker = place.worker.clone();
        self.set_phase(task, TaskPhase::Ordered(place));
        self.push_order(&worker, action, now);
    }

    /// Returns the advisor's permit to run a task at a place.
    fn ticket(&self, task: &TaskId, place: &RunPlace, now: BootTime) -> Option<String> {
        let step = step_of(task);
        self.advice.ticket(&step, &place.worker, place.born, now)
    }

    /// Returns the progress that the next run of a task resumes from; all
    /// members of a gang resume from the same.
    fn resume_point(&self, task: &TaskId) -> Option<String> {
        let own = self.task(task)?;
        let job = self.jobs.get(&task.job)?;
        let spec = job.record.spec.steps.get(task.step as usize)?;
        if !spec.gang {
            return own.checkpoint.clone();
        }
        let step = job.step(task.occurrence, task.step)?;
        step.tasks
            .iter()
            .find_map(|member| member.checkpoint.clone())
    }

    /// Takes in the answer to the order to start a run.
    pub fn start_answered(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        run: u32,
        answer: &OrderAnswer,
        now: BootTime,
    ) {
        self.note_clock(worker, answer, now);
        if answer.outcome == OrderOutcome::Fenced {
            self.is_fenced = true;
            return;
        }
        if !self.is_current(task, run, worker) {
            return;
        }
        let Some(TaskPhase::Ordered(place)) = self.task(task).map(|entry| entry.phase.clone())
        else {
            return;
        };
        match answer.outcome {
            OrderOutcome::Accepted => self.start_accepted(task, place, now),
            OrderOutcome::Unknown => {
                self.rest_worker(worker, now);
                self.stop_task(task, now);
            }
            outcome => self.start_rejected(worker, task, run, outcome, now),
        }
    }

    fn start_accepted(&mut self, task: &TaskId, place: RunPlace, now: BootTime) {
        let worker = place.worker.clone();
        let progress = RunProgress {
            since: now,
            percent: 0,
            advanced_at: now,
        };
        self.set_phase(task, TaskPhase::Running(place, progress));
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
        self.lose_run(worker, task, run, reason);
        match outcome {
            OrderOutcome::Replaced => {
                if let Some(entry) = self.fleet.get_mut(worker) {
                    entry.contact = WorkerContact::Silent;
                }
            }
            OrderOutcome::Unhealthy | OrderOutcome::Full => self.rest_worker(worker, now),
            OrderOutcome::Unpermitted => self.advice.drop_permit(&step_of(task), worker),
            // No worker will ever take it.
            OrderOutcome::Invalid => self.finish(&task.job, JobState::Failed, now),
            _ => {}
        }
    }

    /// Gives a worker nothing new for a while.
    fn rest_worker(&mut self, worker: &WorkerId, now: BootTime) {
        let until = now + self.settings.unhealthy_pause;
        if let Some(entry) = self.fleet.get_mut(worker) {
            entry.unhealthy_until = entry.unhealthy_until.max(until);
            self.note_worker(worker, WorkerBelief::Unhealthy);
        }
    }

    fn note_clock(&mut self, worker: &WorkerId, answer: &OrderAnswer, now: BootTime) {
        let (Some(entry), Some(clock_ms)) = (self.fleet.get_mut(worker), answer.clock_ms) else {
            return;
        };
        entry.clock = Some(ClockSample {
            clock_ms,
            read_at: now,
        });
    }

    /// Takes in the answer to the order to stop a run.
    pub fn stop_answered(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        run: u32,
        answer: &OrderAnswer,
        now: BootTime,
    ) {
        self.note_clock(worker, answer, now);
        match answer.outcome {
            OrderOutcome::Fenced => self.is_fenced = true,
            OrderOutcome::Accepted | OrderOutcome::Stale => {
                self.stop_accepted(worker, task, run, now);
            }
            OrderOutcome::Replaced => {
                self.lose_run(worker, task, run, RunEndReason::WorkerReplaced);
            }
            _ => {}
        }
    }

    fn stop_accepted(&mut self, worker: &WorkerId, task: &TaskId, run: u32, now: BootTime) {
        let occupant = self
            .fleet
            .get_mut(worker)
            .and_then(|entry| entry.occupants.get_mut(task))
            .filter(|occupant| occupant.run == run);
        if let Some(stop) = occupant.and_then(|occupant| occupant.orphan_stop.as_mut()) {
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

    /// Takes in that a hold was not answered with its lists.
    pub fn hold_failed(
        &mut self,
        worker: &WorkerId,
        given_at: BootTime,
        outcome: OrderOutcome,
        now: BootTime,
    ) {
        let retry = self.settings.hold_retry;
        let Some(entry) = self.fleet.get_mut(worker) else {
            return;
        };
        if entry.hold_given != Some(given_at) {
            return;
        }
        entry.hold_given = None;
        entry.next_hold = now + retry;
        if outcome == OrderOutcome::Fenced {
            self.is_fenced = true;
            return;
        }
        let was_heard = entry.contact == WorkerContact::Heard;
        entry.contact = WorkerContact::Silent;
        if was_heard {
            self.note_worker(worker, WorkerBelief::Silent);
        }
    }

    /// Gives the holds that are due.
    pub(super) fn give_holds(&mut self, now: BootTime) {
        let entries = self.fleet.iter();
        let due: Vec<WorkerId> = entries
            .filter(|(_, entry)| {
                let is_needed = !entry.occupants.is_empty()
                    || !entry.unstored.is_empty()
                    || (entry.is_listed && entry.contact != WorkerContact::Heard);
                is_needed
                    && entry.hold_given.is_none()
                    && entry.next_hold <= now
                    && entry.view.is_some()
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.give_hold(&id, now);
        }
    }

    fn give_hold(&mut self, worker: &WorkerId, now: BootTime) {
        let longest = self.settings.hold_wait.as_millis() as u64;
        let contact = self.fleet.get(worker).map(|entry| entry.contact);
        let is_heard = contact == Some(WorkerContact::Heard);
        // A worker that does not answer must come to the end of its lease.
        let lease_end_ms = if is_heard {
            self.grant_lease(worker, now)
        } else {
            None
        };
        let Some(entry) = self.fleet.get_mut(worker) else {
            return;
        };
        let may_wait = is_heard && entry.unstored.is_empty();
        entry.hold_given = Some(now);
        let action = OrderAction::Hold {
            last_seen: entry.stored_end,
            lease_end_ms,
            wait_ms: if may_wait { longest } else { 0 },
        };
        self.push_order(worker, action, now);
    }

    /// Repeats the stops that were not answered.
    pub(super) fn repeat_stops(&mut self, now: BootTime) {
        let retry = self.settings.stop_retry;
        let is_due = |stop: BootTime| now.saturating_since(stop) >= retry;
        let mut repeated = Vec::new();
        for (id, worker) in self.fleet.iter() {
            for (task, occupant) in &worker.occupants {
                let unanswered = match occupant.orphan_stop {
                    Some(stop) => stop.accepted_at.is_none() && is_due(stop.ordered_at),
                    None => match self.task(task).map(|entry| &entry.phase) {
                        Some(TaskPhase::Stopping(_, stop)) => {
                            stop.accepted_at.is_none() && is_due(stop.ordered_at)
                        }
                        _ => false,
                    },
                };
                if unanswered {
                    repeated.push((id.clone(), task.clone(), occupant.run));
                }
            }
        }
        for (worker, task, run) in repeated {
            self.repeat_stop(&worker, &task, run, now);
        }
    }

    fn repeat_stop(&mut self, worker: &WorkerId, task: &TaskId, run: u32, now: BootTime) {
        let occupant = self
            .fleet
            .get_mut(worker)
            .and_then(|entry| entry.occupants.get_mut(task));
        if let Some(stop) = occupant.and_then(|occupant| occupant.orphan_stop.as_mut()) {
            stop.ordered_at = now;
        } else if let Some(entry) = self.task_mut(task)
            && let TaskPhase::Stopping(_, stop) = &mut entry.phase
        {
            *stop = StopProgress {
                ordered_at: now,
                accepted_at: None,
            };
        }
        let action = OrderAction::Stop {
            task: task.clone(),
            run,
        };
        self.push_order(worker, action, now);
    }
}

/// Returns the step of a task.
pub(super) fn step_of(task: &TaskId) -> StepId {
    StepId {
        job: task.job.clone(),
        occurrence: task.occurrence,
        step: task.step,
    }
}
