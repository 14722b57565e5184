//! Tasks: requests that run on the simulated workers.

use super::*;

impl Cluster {
    pub(super) fn start_task(&mut self, from: &NodeIncarnation, id: TicketId, vm: &VmId) {
        let result = self.draw_result(vm);
        let Some(request) = self.requests.get_mut(&id) else {
            self.violations.push(format!("dispatch of unknown {id:?}"));
            return;
        };
        if !request.ends.is_empty() {
            self.violations
                .push(format!("dispatch of {id:?} after its end"));
        }
        let run = match result {
            TaskResult::Refused => 0,
            TaskResult::Failed => 1,
            TaskResult::Success | TaskResult::Lost => request.run,
        };
        if result != TaskResult::Refused {
            request.executions += 1;
            if request.executions > 1 && !request.repeatable {
                self.violations.push(format!("{id:?} ran twice"));
            }
        }
        let (class, customer) = (request.class.clone(), request.customer.clone());
        let task = Task {
            id,
            node: from.clone(),
            class,
            customer,
            vm: vm.clone(),
            start: self.now,
            end: self.now + run,
            result,
            reported: false,
        };
        self.count_start(&task);
        self.next_task += 1;
        // A lost connection is reported at once, while the task keeps running.
        let due = match result {
            TaskResult::Lost => self.now,
            _ => task.end,
        };
        self.tasks.insert((due, self.next_task), task);
    }

    pub(super) fn draw_result(&mut self, vm: &VmId) -> TaskResult {
        if self.black_hole.as_ref() == Some(vm) {
            return TaskResult::Failed;
        }
        let draw = self.random.below(100);
        let faults = self.faults;
        match draw {
            _ if draw < faults.refused => TaskResult::Refused,
            _ if draw < faults.refused + faults.failed => TaskResult::Failed,
            _ if draw < faults.refused + faults.failed + faults.lost => TaskResult::Lost,
            _ => TaskResult::Success,
        }
    }

    pub(super) fn count_start(&mut self, task: &Task) {
        let key = (task.class.clone(), task.customer.clone());
        self.loads.entry(key).or_default().running += 1;
        let on_vm = self.running_vm.entry(task.vm.clone()).or_default();
        *on_vm += 1;
        if *on_vm > self.shape.slots {
            let excess = format!("{} runs {on_vm} tasks at {}", task.vm, self.now);
            self.violations.push(excess);
        }
        let Some(customer) = &task.customer else {
            return;
        };
        let of_customer = self.running_customer.entry(customer.clone()).or_default();
        *of_customer += 1;
        let limit = self
            .shape
            .customers
            .iter()
            .find(|(name, ..)| name == customer);
        if limit.is_some_and(|(_, _, limit)| *of_customer > *limit) {
            let excess = format!("{customer} runs {of_customer} tasks at {}", self.now);
            self.violations.push(excess);
        }
    }

    pub(super) fn count_end(&mut self, task: &Task) {
        let key = (task.class.clone(), task.customer.clone());
        self.loads.entry(key).or_default().running -= 1;
        if let Some(running) = self.running_vm.get_mut(&task.vm) {
            *running -= 1;
        }
        let customer = task.customer.as_ref();
        if let Some(running) = customer.and_then(|customer| self.running_customer.get_mut(customer))
        {
            *running -= 1;
        }
    }

    pub(super) fn end_tasks(&mut self) {
        while let Some(entry) = self.tasks.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let mut task = entry.remove();
            let finished = task.end <= self.now;
            if finished {
                self.count_end(&task);
                self.finished.push(task.clone());
            }
            // The end is reported to a paused process when it resumes.
            task.reported = task.reported || self.report(&task);
            match (finished, task.reported) {
                (true, true) => {}
                (true, false) => self.unreported.push(task),
                (false, _) => {
                    self.next_task += 1;
                    self.tasks.insert((task.end, self.next_task), task);
                }
            }
        }
        for task in std::mem::take(&mut self.unreported) {
            if !self.report(&task) {
                self.unreported.push(task);
            }
        }
    }

    /// Reports the end of an attempt; returns false while its process is paused.
    pub(super) fn report(&mut self, task: &Task) -> bool {
        let index = self
            .incarnations
            .iter()
            .position(|other| *other == task.node)
            .unwrap();
        let Some(process) = &mut self.processes[index] else {
            return true;
        };
        if process.paused_until.is_some() {
            return false;
        }
        let report = AttemptReport {
            vm: task.vm.clone(),
            outcome: match task.result {
                TaskResult::Success | TaskResult::Failed => RunOutcome::Ran,
                TaskResult::Refused => RunOutcome::NotRun,
                TaskResult::Lost => RunOutcome::Unknown,
            },
            faulty: task.result != TaskResult::Success,
            ended: task.result != TaskResult::Lost,
            response_started: task.result == TaskResult::Success,
        };
        let verdict = process.scheduler.finish(at(self.now), task.id, &report);
        if verdict == AttemptVerdict::Final {
            let success = task.result == TaskResult::Success;
            let end = RequestEnd::Responded {
                at: self.now,
                success,
            };
            self.end_request(task.id, end);
        }
        self.perform_actions(index);
        true
    }

    pub(super) fn end_request(&mut self, id: TicketId, end: RequestEnd) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if let RequestEnd::Refused { outcome, .. } = end
            && outcome == RunOutcome::NotRun
            && request.executions > 0
        {
            self.violations
                .push(format!("{id:?} ran, but was refused as not run"));
        }
        if request.ends == [RequestEnd::Cancelled] && matches!(end, RequestEnd::Responded { .. }) {
            return;
        }
        request.ends.push(end);
        if request.ends.len() == 1 {
            let key = (request.class.clone(), request.customer.clone());
            self.loads.entry(key).or_default().open -= 1;
        }
        if request.ends.len() > 1 {
            self.violations
                .push(format!("{id:?} ended twice: {:?}", request.ends));
        }
    }
}
