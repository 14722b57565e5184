//! Start, end and replacement of processes, and new homes of their tokens.

use super::*;

impl Cluster {
    pub(super) fn add_process(&mut self) -> usize {
        let place = self.processes.len();
        let incarnation = node(place);
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
            news: BTreeMap::new(),
            settled,
            cut_until: 0,
        }));
        self.incarnations.push(incarnation);
        place
    }

    pub(super) fn note_end(&mut self, place: usize) {
        let ended = self.incarnations[place].clone();
        for request in self.requests.values_mut() {
            if request.node == place && request.ends.is_empty() {
                request.ends.push(RequestEnd::NodeEnded);
            }
        }
        for process in self.processes.iter_mut().flatten() {
            let heard = self.now + 200 + self.numbers.below(2_000);
            process.news.insert(ended.clone(), heard);
        }
        self.ended.insert(ended, None);
    }

    pub(super) fn install(&mut self, place: usize) {
        let own = &self.incarnations[place];
        let homes = self.homes.iter().filter(|(_, home)| *home == own);
        let peers = self.serving().into_iter().filter(|peer| *peer != place);
        let view = FleetView {
            declaration: self.shape.declaration(),
            workers: self.shape.worker_views(),
            peers: peers.map(|peer| self.incarnations[peer].clone()).collect(),
            homes: homes.map(|(token, _)| token.clone()).collect(),
        };
        if let Some(process) = &mut self.processes[place] {
            process.installed_at = self.now;
            process.scheduler.install(at(self.now), view);
            self.act(place);
        }
    }

    /// Wakes processes whose pause is over; one that was ended meanwhile exits.
    pub(super) fn wake(&mut self) {
        for place in 0..self.processes.len() {
            let Some(process) = &mut self.processes[place] else {
                continue;
            };
            if process.paused_until.is_some_and(|until| until <= self.now) {
                process.paused_until = None;
                process.scheduler.suspend(at(self.now));
                process.scheduler.resume(at(self.now));
                self.act(place);
            }
        }
    }

    /// Tells processes of ended ones, and gives the remaining tokens of an
    /// ended one a new home once everybody has settled and the lease is over.
    pub(super) fn spread_news(&mut self) {
        for place in 0..self.processes.len() {
            let Some(process) = &mut self.processes[place] else {
                continue;
            };
            if process.paused_until.is_some() {
                continue;
            }
            let due = process.news.iter().filter(|(_, heard)| **heard <= self.now);
            let due: Vec<_> = due.map(|(ended, _)| ended.clone()).collect();
            for ended in due {
                process.news.remove(&ended);
                for token in process.scheduler.settle(at(self.now), &ended) {
                    self.homes.insert(token, self.incarnations[place].clone());
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
        self.rehome();
    }

    pub(super) fn rehome(&mut self) {
        let lease = u64::try_from(self.settings.task_lease.as_millis()).unwrap();
        let serving = self.serving();
        for (ended, settled_at) in &self.ended {
            let lapsed = settled_at.is_some_and(|settled_at| settled_at + lease <= self.now);
            if !lapsed || serving.is_empty() {
                continue;
            }
            for home in self.homes.values_mut() {
                if home == ended {
                    let heir = serving[self.numbers.below(serving.len() as u64) as usize];
                    *home = self.incarnations[heir].clone();
                }
            }
        }
    }
}
