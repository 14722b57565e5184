//! Start, end and replacement of processes, and new owners of their tokens.

use super::*;

impl Cluster {
    pub(super) fn add_process(&mut self) -> usize {
        let index = self.processes.len();
        let incarnation = node(index);
        let settled: BTreeSet<_> = self.ended.keys().cloned().collect();
        let mut scheduler = NodeScheduler::new(self.settings.clone(), incarnation.clone());
        for ended in &settled {
            scheduler.settle(at(self.now), ended);
        }
        self.processes.push(Some(Process {
            scheduler,
            paused_until: None,
            leaving: false,
            installed_at: 0,
            end_notices: BTreeMap::new(),
            settled,
            isolated_until: 0,
        }));
        self.incarnations.push(incarnation);
        index
    }

    pub(super) fn record_process_end(&mut self, index: usize) {
        let ended = self.incarnations[index].clone();
        for request in self.requests.values_mut() {
            if request.node == index && request.ends.is_empty() {
                request.ends.push(RequestEnd::NodeEnded);
            }
        }
        for process in self.processes.iter_mut().flatten() {
            let notify_at = self.now + 200 + self.random.below(2_000);
            process.end_notices.insert(ended.clone(), notify_at);
        }
        self.ended.insert(ended, None);
    }

    pub(super) fn install(&mut self, index: usize) {
        let own = &self.incarnations[index];
        let owned = self.owners.iter().filter(|(_, owner)| *owner == own);
        let peers = self.serving().into_iter().filter(|peer| *peer != index);
        let view = FleetView {
            declaration: self.shape.declaration(),
            workers: self.shape.worker_views(),
            peers: peers.map(|peer| self.incarnations[peer].clone()).collect(),
            owned_tokens: owned.map(|(token, _)| token.clone()).collect(),
        };
        if let Some(process) = &mut self.processes[index] {
            process.installed_at = self.now;
            process.scheduler.install(at(self.now), view);
            self.perform_actions(index);
        }
    }

    /// Resumes processes whose pause is over.
    pub(super) fn resume_processes(&mut self) {
        for index in 0..self.processes.len() {
            let Some(process) = &mut self.processes[index] else {
                continue;
            };
            if process.paused_until.is_some_and(|until| until <= self.now) {
                process.paused_until = None;
                process.scheduler.suspend(at(self.now));
                process.scheduler.resume(at(self.now));
                self.perform_actions(index);
            }
        }
    }

    /// Notifies processes of ended ones, and reassigns the remaining tokens of
    /// an ended one once every process has settled it and the task lease has
    /// expired.
    pub(super) fn notify_ended(&mut self) {
        for index in 0..self.processes.len() {
            let Some(process) = &mut self.processes[index] else {
                continue;
            };
            if process.paused_until.is_some() {
                continue;
            }
            let due = process
                .end_notices
                .iter()
                .filter(|(_, notify_at)| **notify_at <= self.now);
            let due: Vec<_> = due.map(|(ended, _)| ended.clone()).collect();
            for ended in due {
                process.end_notices.remove(&ended);
                for token in process.scheduler.settle(at(self.now), &ended) {
                    self.owners.insert(token, self.incarnations[index].clone());
                }
                process.settled.insert(ended);
            }
        }
        for (ended, settled_at) in &mut self.ended {
            let all = |process: &Process| process.settled.contains(ended);
            if settled_at.is_none() && self.processes.iter().flatten().all(all) {
                *settled_at = Some(self.now);
            }
        }
        self.reassign_tokens();
    }

    pub(super) fn reassign_tokens(&mut self) {
        let lease = u64::try_from(self.settings.task_lease.as_millis()).unwrap();
        let serving = self.serving();
        for (ended, settled_at) in &self.ended {
            let expired = settled_at.is_some_and(|settled_at| settled_at + lease <= self.now);
            if !expired || serving.is_empty() {
                continue;
            }
            for owner in self.owners.values_mut() {
                if owner == ended {
                    let successor = serving[self.random.below(serving.len() as u64) as usize];
                    *owner = self.incarnations[successor].clone();
                }
            }
        }
    }
}
