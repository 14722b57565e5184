//! Checks of the promises, while the actions run and at the end, from what callers,
//! workers, machines and operators see.

use std::cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::pin::pin;
use std::rc;
use std::time;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time as timer;

use crate::caller;
use crate::cluster::SoakCluster;
use crate::job::{self, CalledJob, ShownState, Submission, TaskName};
use crate::promise;
use crate::view::{PlatformView, RunView};

/// Longest time that a long-running task may have no run while there is room. The
/// lease of its last run ends within 5.4 s, another owner has taken over 1.6 s later,
/// and the order and a rejected one take 1.2 s and 1 s at most: 9 s, rounded down.
const GAP_LIMIT: time::Duration = time::Duration::from_secs(9);

/// Time after an unplanned event for which no bound holds.
const UNPLANNED_TIME: time::Duration = time::Duration::from_secs(7);

/// Time after the last action for which the state is not steady.
pub(crate) const SETTLE_TIME: time::Duration = time::Duration::from_secs(5);

/// Time in which all jobs and waves end after the last action.
const END_LIMIT: time::Duration = time::Duration::from_secs(30);

/// Least time between two looks at the platform; a look takes a fifth at most.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Time between two looks at the processes.
const WATCH_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Longest time by which the soak itself may delay the proxies.
const MAX_LATENESS: time::Duration = time::Duration::from_millis(60);

/// Longest time in which the platform responds if nothing holds it up.
const MAX_RESPONSE_TIME: time::Duration = time::Duration::from_millis(300);

/// Number of reads at a time at the end.
const END_READERS: usize = 8;

/// Broken promise and the job, wave or process that it is about.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct SoakProblem {
    what: String,
    subject: String,
}

/// What the checks of one look have.
pub(crate) struct CheckInput<'a> {
    pub(crate) cluster: &'a SoakCluster,
    pub(crate) view: rc::Rc<PlatformView>,
    pub(crate) jobs: BTreeMap<String, CalledJob>,
    /// Time of the soak when the platform's clock was zero, in milliseconds.
    pub(crate) offset_ms: f64,
    /// Problems of this look, each with what may change from one look to the next.
    problems: cell::RefCell<Vec<(SoakProblem, String)>>,
}

impl CheckInput<'_> {
    /// Adds a problem of this look.
    pub(crate) fn report(&self, what: &str, subject: &str) {
        self.report_with(what, subject, String::new());
    }

    /// Adds a problem of this look, with what may be another in the next look.
    pub(crate) fn report_with(&self, what: &str, subject: &str, details: String) {
        let problem = SoakProblem {
            what: what.to_owned(),
            subject: subject.to_owned(),
        };
        self.problems.borrow_mut().push((problem, details));
    }

    /// Converts a time of the soak to the platform's clock.
    pub(crate) fn platform_ms(&self, at: timer::Instant) -> f64 {
        millis(at.saturating_duration_since(self.cluster.started_at)) - self.offset_ms
    }

    /// Returns whether nothing unplanned happened near a time of the platform.
    pub(crate) fn is_calm_at(&self, at_ms: f64) -> bool {
        let soak_ms = at_ms + self.offset_ms;
        self.cluster.is_calm_at(soak_ms, UNPLANNED_TIME)
    }

    pub(crate) fn runs(&self, task: &TaskName) -> &[RunView] {
        let task = self.view.tasks.get(&task.to_string());
        task.map_or(&[], |task| &task.runs)
    }

    pub(crate) fn is_active(&self, task: &TaskName) -> bool {
        self.runs(task).iter().any(|run| run.ended_ms.is_none())
    }

    /// Returns whether a task was done at a time of the platform.
    pub(crate) fn is_done(&self, task: &TaskName, at_ms: f64) -> bool {
        let is_done = |run: &RunView| run.is("done") && run.ended_ms.is_some_and(|at| at <= at_ms);
        self.runs(task).iter().any(is_done)
    }
}

fn millis(duration: time::Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Checks until `is_over`, and then once more.
pub(crate) async fn monitor(cluster: rc::Rc<SoakCluster>, is_over: rc::Rc<cell::Cell<bool>>) {
    let mut state = MonitorState::default();
    loop {
        let is_last = is_over.get();
        let begun = time::Instant::now();
        state.look(&cluster).await;
        if is_last {
            return;
        }
        timer::sleep(LOOK_INTERVAL.max(begun.elapsed() * 4)).await;
    }
}

/// Marks the time in which faults are active or the proxies were late, and restarts
/// processes that have ended by themselves, until it is aborted.
pub(crate) async fn watch(cluster: rc::Rc<SoakCluster>) {
    loop {
        let begun = timer::Instant::now();
        timer::sleep(WATCH_INTERVAL).await;
        let late_by = begun.elapsed().saturating_sub(WATCH_INTERVAL);
        if late_by > MAX_LATENESS {
            // Each connection of the processes was delayed by that much.
            println!(
                "{:7.2?} proxies late by {late_by:.0?}",
                cluster.started_at.elapsed()
            );
            cluster.mark_unplanned();
        }
        if cluster.active_faults.get() > 0 {
            cluster.mark_unplanned();
        }
        cluster.watch_vacancy();
        cluster.watch_processes().await;
    }
}

/// Marks the time in which the platform does not respond, until it is aborted.
pub(crate) async fn probe(cluster: rc::Rc<SoakCluster>) {
    loop {
        timer::sleep(WATCH_INTERVAL).await;
        let begun = timer::Instant::now();
        let mut response = pin!(cluster.platform.probe());
        let limited = timer::timeout(MAX_RESPONSE_TIME, response.as_mut());
        if limited.await.is_err() {
            let active = &cluster.active_faults;
            active.set(active.get() + 1);
            response.await;
            active.set(active.get() - 1);
            let (at, took) = (cluster.started_at.elapsed(), begun.elapsed());
            println!("{at:7.2?} platform responded in {took:.0?}");
            cluster.mark_unplanned();
        }
    }
}

#[derive(Default)]
struct MonitorState {
    offset_ms: Option<f64>,
    last_runs: HashMap<TaskName, timer::Instant>,
    /// Numbers of runs and of ended ones of the tasks that were checked.
    checked_runs: HashMap<String, (usize, usize)>,
    /// Jobs that were shown as completed and are.
    completed: BTreeSet<String>,
    reported: BTreeSet<SoakProblem>,
}

impl MonitorState {
    async fn look(&mut self, cluster: &SoakCluster) {
        // Taken before the view, so that the view has all that they cause.
        let jobs = cluster.ledger.snapshot();
        let view = cluster.platform.view().await;
        let offset_ms = millis(cluster.started_at.elapsed()) - view.now_ms;
        let offset_ms = self
            .offset_ms
            .map_or(offset_ms, |least| least.min(offset_ms));
        self.offset_ms = Some(offset_ms);
        let input = CheckInput {
            cluster,
            view,
            jobs,
            offset_ms,
            problems: cell::RefCell::default(),
        };
        for (name, task) in &input.view.tasks {
            let ended = task.runs.iter().filter(|run| run.ended_ms.is_some());
            let counts = (task.runs.len(), ended.count());
            // A job that is newer than the snapshot is checked in the next look.
            let is_known = input.jobs.contains_key(job::id_of(name));
            if is_known && self.checked_runs.insert(name.clone(), counts) == Some(counts) {
                continue;
            }
            promise::check_task(&input, name, task);
        }
        for (id, job) in &input.jobs {
            if self.completed.contains(id) {
                continue;
            }
            let count = input.problems.borrow().len();
            promise::check_job(&input, id, job);
            if job.completed_at.is_some() && input.problems.borrow().len() == count {
                self.completed.insert(id.clone());
            }
        }
        promise::check_room(&input);
        promise::check_waves(&input);
        promise::check_evacuations(&input);
        self.check_gaps(&input);
        for (problem, details) in input.problems.take() {
            if self.reported.insert(problem.clone()) {
                cluster.fail(&format!("{}{details}", problem.what), &problem.subject);
            }
        }
    }

    /// Checks that long-running tasks have runs again in time.
    fn check_gaps(&mut self, input: &CheckInput<'_>) {
        let now = timer::Instant::now();
        let is_unplanned = input.cluster.unplanned_at.get().elapsed() < UNPLANNED_TIME;
        let is_excused = is_unplanned || input.cluster.platform.was_evacuated(GAP_LIMIT);
        for (id, job) in &input.jobs {
            let Submission::Accepted(accepted_at) = job.submission else {
                continue;
            };
            if !job.is_long() || job.is_cancel_sent {
                continue;
            }
            for task in job.tasks(id) {
                let last = self.last_runs.entry(task.clone()).or_insert(accepted_at);
                if input.is_active(&task) {
                    *last = now;
                } else if now.duration_since(*last) > GAP_LIMIT && !is_excused {
                    let what = format!("long-running task {task} has no run for {GAP_LIMIT:?}");
                    input.report(&what, id);
                }
            }
        }
    }
}

/// Checks all jobs and waves after the last action.
pub(crate) async fn check_end(cluster: &rc::Rc<SoakCluster>) {
    let end = timer::Instant::now() + END_LIMIT;
    let jobs = cluster.ledger.snapshot();
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for job in jobs.values() {
        let submission = format!("{:?}", job.submission);
        let submission = submission.split('(').next().unwrap_or_default();
        *counts
            .entry(format!("{:?} {submission}", job.kind))
            .or_default() += 1;
    }
    println!("jobs: {counts:?}");
    let queue = rc::Rc::new(cell::RefCell::new(jobs.into_keys().collect::<Vec<_>>()));
    let readers = (0..END_READERS).map(async |number| {
        let mut rng = StdRng::seed_from_u64(number as u64);
        loop {
            let Some(id) = queue.borrow_mut().pop() else {
                return;
            };
            wait_job(cluster, &id, end, &mut rng).await;
        }
    });
    futures_util::future::join_all(readers).await;
    wait_waves(cluster, end).await;
    cluster.print_calls();
}

/// Waits until a job is as it should be at the end.
async fn wait_job(cluster: &rc::Rc<SoakCluster>, id: &str, end: timer::Instant, rng: &mut StdRng) {
    loop {
        let Some(job) = cluster.ledger.find(id) else {
            return;
        };
        let is_stored = match job.submission {
            Submission::Accepted(_) => true,
            Submission::Refused | Submission::Unanswered => false,
            Submission::Unknown => return,
        };
        let sent_at = timer::Instant::now();
        let state = match caller::read_once(cluster, id, &job, rng).await {
            Some(response) if !is_stored && response.status == 410 => return,
            Some(response) if !is_stored && response.status == 200 => {
                let what = format!("{:?}, but the job is stored", job.submission);
                return cluster.fail(&what, id);
            }
            Some(response) if is_stored => caller::check_state(cluster, id, &response, sent_at),
            _ => None,
        };
        let is_right = match state {
            Some(ShownState::Completed) => !job.is_long(),
            Some(ShownState::Cancelled) => job.is_cancel_sent,
            Some(ShownState::Failed) => true,
            // If the cancel was not confirmed, the job may still run.
            Some(ShownState::Running) if job.is_long() && job.cancelled_at.is_none() => {
                let view = cluster.platform.later_view().await;
                let is_running = |task: &TaskName| view.is_running(&task.to_string());
                job.is_cancel_sent || job.tasks(id).iter().all(is_running)
            }
            _ => false,
        };
        if is_right {
            return;
        }
        if timer::Instant::now() > end {
            return cluster.fail(&format!("not ended, its state is {state:?}"), id);
        }
        timer::sleep(time::Duration::from_millis(100)).await;
    }
}

async fn wait_waves(cluster: &SoakCluster, end: timer::Instant) {
    loop {
        let view = cluster.platform.later_view().await;
        // A machine that is down for good stays in the list, and may be back for all
        // that the system knows; the others are to be maintained.
        let platform = &cluster.platform;
        let mut open = view.waves.iter().filter(|(_, wave)| {
            let mut machines = wave.request.machines.iter();
            let has_lost = machines.any(|machine| platform.is_lost(machine));
            let is_done = wave.open_machines(platform).next().is_none();
            !(wave.is_completed() || has_lost && is_done)
        });
        let Some((name, wave)) = open.next() else {
            return;
        };
        if timer::Instant::now() > end {
            let what = format!("{name} is not completed: {wave:?}");
            return cluster.fail(&what, &format!("wave={}", wave.request.wave));
        }
        timer::sleep(time::Duration::from_millis(200)).await;
    }
}
