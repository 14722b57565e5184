//! Refusal of jobs under floods: replays at several entry VMs in simulated time.

mod common;

use std::collections::BTreeMap;
use std::sync;
use std::time;

use common::{FakeFleet, FakeWorker, manifest, step_spec};
use redwing_jobs::admission::{
    AdmissionDecision, AdmissionSettings, BacklogSummary, JobAdmission, JobArrival,
};
use redwing_jobs::name::{CustomerName, QueueName};
use redwing_jobs::{BootTime, JobId, JobSpec, JobState, SchedulerSettings};

/// Duration of each task, in milliseconds.
const TASK_MS: u64 = 500;

/// Time objective of the jobs, in milliseconds: that of the queue, and its stretch
/// times the duration of the one step.
const OBJECTIVE_MS: u64 = 600 + 800;

/// Time between two publications, in milliseconds.
const PUBLICATION_MS: u64 = 500;

/// Number of entry VMs.
const VM_COUNT: usize = 10;

/// Fleet with several entry VMs that read the published summary at different times.
struct Replay {
    fleet: FakeFleet,
    vms: Vec<JobAdmission>,
    summary: Option<sync::Arc<BacklogSummary>>,
    is_admission_used: bool,
    submitted: u64,
    accepted: BTreeMap<JobId, BootTime>,
    finished: BTreeMap<JobId, BootTime>,
    refused: Vec<(JobId, BootTime, time::Duration)>,
}

fn spec() -> JobSpec {
    JobSpec {
        steps: vec![step_spec(4, 1_000)],
        ..JobSpec::default()
    }
}

fn arrival(customer: &str) -> JobArrival {
    let manifest = manifest();
    let queue = manifest.queue(&QueueName::new("reports"));
    let queue = queue.expect("the queue is declared");
    JobArrival::new(queue, Some(&CustomerName::new(customer)), &spec())
}

impl Replay {
    /// Starts with 40 cores: 20 jobs a second.
    fn new(is_admission_used: bool) -> Self {
        let workers =
            (0..5).map(|number| FakeWorker::new(&format!("w{number}"), "builders", 8_000));
        let mut fleet = FakeFleet::new(SchedulerSettings::default(), workers.collect());
        fleet.advance(100);
        let vms = (0..VM_COUNT)
            .map(|number| JobAdmission::new(AdmissionSettings::default(), number as u64 + 1));
        Self {
            fleet,
            vms: vms.collect(),
            summary: None,
            is_admission_used,
            submitted: 0,
            accepted: BTreeMap::new(),
            finished: BTreeMap::new(),
            refused: Vec::new(),
        }
    }

    /// Sends a job to the next VM.
    fn send(&mut self, customer: &str) {
        self.submitted += 1;
        let id = JobId::new(&format!("{customer}-{}", self.submitted));
        let number = (self.submitted % VM_COUNT as u64) as usize;
        let now = self.fleet.now;
        let decision = self.vms[number].decide(&id, &arrival(customer), now);
        match decision {
            AdmissionDecision::Refused { retry_after } if self.is_admission_used => {
                self.refused.push((id, now, retry_after));
            }
            _ => {
                let steps = spec().steps;
                self.fleet
                    .submit_as(customer, id.as_str(), "builders", steps, TASK_MS);
                self.accepted.insert(id, now);
            }
        }
    }

    /// Advances by one tick, in which each customer sends so many jobs a second.
    fn tick(&mut self, rates: &[(&str, u64)]) {
        let tick_ms = common::TICK_INTERVAL.as_millis() as u64;
        let now_ms = self.fleet.now.as_millis();
        for (customer, rate) in rates {
            let sent = |ms: u64| ms * rate / 1_000;
            for _ in sent(now_ms)..sent(now_ms + tick_ms) {
                self.send(customer);
            }
        }
        self.fleet.advance(tick_ms);
        let now = self.fleet.now;
        if now_ms % PUBLICATION_MS == 0 {
            let summary = self
                .fleet
                .scheduler
                .backlog_summary(0, now, self.fleet.wall_time());
            self.summary = summary.map(sync::Arc::new);
        }
        for (number, vm) in self.vms.iter_mut().enumerate() {
            let offset_ms = number as u64 * PUBLICATION_MS / VM_COUNT as u64;
            if let Some(summary) = &self.summary
                && now_ms % PUBLICATION_MS == offset_ms
            {
                vm.receive(summary, now, self.fleet.wall_time());
            }
        }
        for id in self.accepted.keys() {
            if !self.finished.contains_key(id) && self.fleet.state(id) == JobState::Completed {
                self.finished.insert(id.clone(), now);
            }
        }
    }

    fn run(&mut self, duration_ms: u64, rates: &[(&str, u64)]) {
        let end = self.fleet.now + time::Duration::from_millis(duration_ms);
        while self.fleet.now < end {
            self.tick(rates);
        }
    }

    /// Returns the accepted jobs of a customer that were done within so many
    /// milliseconds, and the number of all.
    fn done_within(&self, customer: &str, limit_ms: u64) -> (usize, usize) {
        let accepted = self.accepted.iter();
        let accepted: Vec<_> = accepted
            .filter(|(id, _)| id.as_str().starts_with(customer))
            .collect();
        let done = accepted.iter().filter(|(id, at)| {
            let finished = self.finished.get(*id);
            finished.is_some_and(|finished| {
                finished.saturating_since(**at).as_millis() as u64 <= limit_ms
            })
        });
        (done.count(), accepted.len())
    }
}

/// Half of the capacity is asked for by `portal`, and for eight seconds five times the
/// capacity by `housing`.
fn replay_flood(is_admission_used: bool, flood: u64) -> Replay {
    let mut replay = Replay::new(is_admission_used);
    replay.run(2_000, &[("portal", 10)]);
    replay.run(16_000, &[("portal", 10), ("housing", flood)]);
    replay.run(20_000, &[("portal", 10)]);
    replay
}

#[test]
fn look() {
    for (used, flood) in [(false, 0), (false, 100), (true, 100)] {
        let r = replay_flood(used, flood);
        println!("{used} {flood}: refused {} ", r.refused.len());
        for c in ["portal", "housing"] {
            println!(
                "  {c} {:?} {:?}",
                r.done_within(c, OBJECTIVE_MS),
                r.done_within(c, 3 * OBJECTIVE_MS)
            );
        }
        let mut per = BTreeMap::new();
        for (id, at) in &r.accepted {
            if id.as_str().starts_with("housing") {
                let e: &mut (u32, u32, u32, u32) = per.entry(at.as_millis() / 1000).or_default();
                e.0 += 1;
                if let Some(f) = r.finished.get(id) {
                    let d = f.saturating_since(*at).as_millis() as u64;
                    if d <= OBJECTIVE_MS {
                        e.1 += 1
                    } else if d <= 3 * OBJECTIVE_MS {
                        e.2 += 1
                    } else {
                        e.3 += 1
                    }
                }
            }
        }
        println!("{per:?}");
        let mut pr: BTreeMap<u64, (u32, u64, u64)> = BTreeMap::new();
        for (_, at, ra) in &r.refused {
            let e = pr.entry(at.as_millis() / 1000).or_default();
            e.0 += 1;
            e.1 = if e.1 == 0 {
                ra.as_millis() as u64
            } else {
                e.1.min(ra.as_millis() as u64)
            };
            e.2 = e.2.max(ra.as_millis() as u64);
        }
        println!("{pr:?}");
        let mut vm: BTreeMap<u64, Vec<u32>> = BTreeMap::new();
        for (id, at) in &r.accepted {
            if id.as_str().starts_with("housing") {
                let n: u64 = id.as_str()[8..].parse().unwrap();
                let e = vm.entry(at.as_millis() / 500).or_insert(vec![0; 10]);
                e[(n % 10) as usize] += 1;
            }
        }
        if used {
            for sec in [12, 17, 18, 22, 23] {
                let mut v: Vec<u64> = r
                    .accepted
                    .iter()
                    .filter(|(id, at)| {
                        id.as_str().starts_with("housing") && at.as_millis() / 1000 == sec
                    })
                    .map(|(id, at)| {
                        r.finished
                            .get(id)
                            .map_or(99999, |f| f.saturating_since(*at).as_millis() as u64)
                    })
                    .collect();
                v.sort();
                println!("{sec} {v:?}");
            }
        }
        if used {
            println!("{vm:?}");
        }
    }
}
