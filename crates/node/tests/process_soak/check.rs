//! Checks of the promises, while the actions run and at the end, from what callers,
//! workers, machines and operators see.

use std::cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc;
use std::time;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time as timer;

use crate::caller;
use crate::cluster::SoakCluster;
use crate::job::{self, CalledJob, JobKind, ShownState, Submission, TaskName};
use crate::platform::{PlatformView, RunView};

/// Longest time that a long-running task may have no run while there is room. The
/// lease of its last run ends within 5.4 s, another owner has taken over 1.6 s later,
/// and the order and a rejected one take 1.2 s and 1 s at most: 9 s, rounded down.
const GAP_LIMIT: time::Duration = time::Duration::from_secs(9);

/// Time after an unplanned event for which no bound holds.
const UNPLANNED_TIME: time::Duration = time::Duration::from_secs(7);

/// Time after which a cancelled job has no run in steady state.
const CANCEL_LIMIT: time::Duration = time::Duration::from_millis(3_200);

/// Time after the last action for which the state is not steady.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(5);

/// Time in which all jobs and waves end after the last action.
const END_LIMIT: time::Duration = time::Duration::from_secs(30);

/// Least time between two looks at the platform; a look takes a fifth at most.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Time between two looks at the processes.
const WATCH_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Longest time by which the soak itself may delay the proxies.
const MAX_LATENESS: time::Duration = time::Duration::from_millis(60);

/// Error of a time on the platform's clock that the soak has converted.
const CLOCK_ERROR_MS: f64 = 60.0;

/// How much earlier than it is due an occurrence may start.
const EARLY_MS: f64 = 250.0;

/// Time after which a response that was received before a start has had its effect.
const ORDER_TIME_MS: f64 = 1_000.0;

/// Times that a task may fail, in all queues of the stand-in.
const MAX_ATTEMPTS: usize = 4;

/// Time until a long-running task is at work.
const STARTUP_MS: f64 = 300.0;

/// Fraction by which a customer may exceed its limit, besides one task.
const LIMIT_OVERAGE: f64 = 0.1;

/// Number of reads at a time at the end.
const END_READERS: usize = 8;

/// Broken promise and the job, wave or process that it is about.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct SoakProblem {
    what: String,
    subject: String,
}

/// What the checks of one look have.
struct CheckInput<'a> {
    cluster: &'a SoakCluster,
    view: rc::Rc<PlatformView>,
    jobs: BTreeMap<String, CalledJob>,
    /// Time of the soak when the platform's clock was zero, in milliseconds.
    offset_ms: f64,
}

impl CheckInput<'_> {
    /// Converts a time of the soak to the platform's clock.
    fn platform_ms(&self, at: timer::Instant) -> f64 {
        millis(at.saturating_duration_since(self.cluster.started_at)) - self.offset_ms
    }

    /// Returns whether nothing unplanned happened near a time of the platform.
    fn is_calm_at(&self, at_ms: f64) -> bool {
        self.cluster
            .is_calm_at(at_ms + self.offset_ms, UNPLANNED_TIME)
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
        cluster.watch_processes().await;
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
        };
        let mut problems = Vec::new();
        for (name, task) in &input.view.tasks {
            let ended = task.runs.iter().filter(|run| run.ended_ms.is_some());
            let counts = (task.runs.len(), ended.count());
            let id = name.split('.').next().unwrap_or(name);
            // A job that is newer than the snapshot is checked in the next look.
            let is_known = input.jobs.contains_key(id);
            if is_known && self.checked_runs.insert(name.clone(), counts) == Some(counts) {
                continue;
            }
            check_task(&input, name, &task.runs, task.speculative, &mut problems);
        }
        for (id, job) in &input.jobs {
            if self.completed.contains(id) {
                continue;
            }
            let count = problems.len();
            check_job(&input, id, job, &mut problems);
            if job.completed_at.is_some() && problems.len() == count {
                self.completed.insert(id.clone());
            }
        }
        check_room(&input, &mut problems);
        check_waves(&input, &mut problems);
        self.check_gaps(&input, &mut problems);
        for problem in problems {
            if self.reported.insert(problem.clone()) {
                cluster.fail(&problem.what, &problem.subject);
            }
        }
    }

    /// Checks that long-running tasks have runs again in time.
    fn check_gaps(&mut self, input: &CheckInput<'_>, problems: &mut Vec<SoakProblem>) {
        let now = timer::Instant::now();
        let is_excused = input.cluster.unplanned_at.get().elapsed() < UNPLANNED_TIME;
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
                    problems.push(problem(&what, id));
                }
            }
        }
    }
}

fn problem(what: &str, subject: &str) -> SoakProblem {
    SoakProblem {
        what: what.to_owned(),
        subject: subject.to_owned(),
    }
}

impl CheckInput<'_> {
    fn runs(&self, task: &TaskName) -> &[RunView] {
        let task = self.view.tasks.get(&task.to_string());
        task.map_or(&[], |task| &task.runs)
    }

    fn is_active(&self, task: &TaskName) -> bool {
        self.runs(task).iter().any(|run| run.ended_ms.is_none())
    }
}

/// Checks the runs of one task.
fn check_task(
    input: &CheckInput<'_>,
    name: &str,
    runs: &[RunView],
    is_speculative: bool,
    problems: &mut Vec<SoakProblem>,
) {
    let Some(task) = TaskName::parse(name) else {
        return problems.push(problem(&format!("{name} is no task"), name));
    };
    let mut report = |what: &str| problems.push(problem(&format!("{name}: {what}"), &task.job));
    let Some(job) = input.jobs.get(&task.job) else {
        if input.cluster.ledger.find(&task.job).is_none() {
            report("a run of a job that nobody submitted");
        }
        return;
    };
    if !job.has_task(&task) {
        report("no task of its job");
    }
    for (index, run) in runs.iter().enumerate() {
        for earlier in &runs[..index] {
            let has_ended = earlier.ended_ms.is_some_and(|at| at <= run.started_ms);
            if !is_speculative && !has_ended {
                report(&format!("two runs at once: {earlier}, {run}"));
            }
            let was_noted = earlier.noted_ms.is_some_and(|at| at <= run.started_ms);
            let must_be_known = was_noted || input.is_calm_at(run.started_ms);
            if !is_speculative && earlier.is("done") && must_be_known {
                report(&format!("started after it was done: {earlier}, {run}"));
            }
            if !is_speculative && earlier.run >= run.run {
                report(&format!("run numbers do not rise: {earlier}, {run}"));
            }
        }
        let completed_at = job.completed_at;
        if completed_at.is_some_and(|at| run.started_ms > input.platform_ms(at) + ORDER_TIME_MS) {
            report("started after the job was shown as completed");
        }
        let is_calm_end = run.ended_ms.is_some_and(|at| input.is_calm_at(at));
        if run.is("alone") && is_calm_end && !job.is_cancel_sent {
            report("a member of a gang was alone");
        }
        if let Some((first_run_ms, interval_ms)) = job.schedule {
            let due_ms = first_run_ms + interval_ms * u64::from(task.occurrence);
            let began_ms = job::unix_millis(input.cluster.began_at) as f64;
            let started_ms = began_ms + input.offset_ms + run.started_ms;
            if started_ms < due_ms as f64 - EARLY_MS - CLOCK_ERROR_MS {
                report("an occurrence started before it was due");
            }
        }
        if task.step > 0 {
            let is_first_done = (0..job.counts[0]).all(|index| {
                let first = TaskName {
                    step: 0,
                    index,
                    ..task.clone()
                };
                input.is_done_by(&first, run.started_ms)
            });
            if !is_first_done {
                report("started before the steps that it comes after were done");
            }
        }
    }
    let failed = runs.iter().filter(|run| run.is("failed"));
    let fourth = failed.filter_map(|run| run.ended_ms).nth(MAX_ATTEMPTS - 1);
    let is_late = |run: &RunView| fourth.is_some_and(|at| run.started_ms > at + ORDER_TIME_MS);
    if !job.is_long() && runs.iter().any(is_late) {
        report("started again after it had failed as often as it may");
    }
}

impl CheckInput<'_> {
    fn is_done_by(&self, task: &TaskName, at_ms: f64) -> bool {
        let is_done = |run: &RunView| run.is("done") && run.ended_ms.is_some_and(|at| at <= at_ms);
        self.runs(task).iter().any(is_done)
    }
}

/// Checks what callers were told about a job.
fn check_job(input: &CheckInput<'_>, id: &str, job: &CalledJob, problems: &mut Vec<SoakProblem>) {
    match job.submission {
        Submission::Refused | Submission::Unanswered if input.view.has_begun(id) => {
            let what = format!("the submission was {:?}, but the job runs", job.submission);
            problems.push(problem(&what, id));
        }
        _ => {}
    }
    let tasks = job.tasks(id);
    if let Some(completed_at) = job.completed_at {
        let at_ms = input.platform_ms(completed_at) + CLOCK_ERROR_MS;
        let missing = tasks.iter().find(|task| {
            // The end of one member of a gang represents all of them.
            let is_open = !input.is_done_by(task, at_ms);
            is_open && (job.kind != JobKind::Gang || task.index == 0) && {
                let members = tasks.iter().filter(|other| other.step == task.step);
                job.kind != JobKind::Gang
                    || !members
                        .into_iter()
                        .any(|other| input.is_done_by(other, at_ms))
            }
        });
        if let Some(task) = missing {
            let what = format!("shown as completed, but {task} has not ended as done");
            problems.push(problem(&what, id));
        }
    }
    if let Some((ShownState::Failed, _)) = job.shown {
        let has_failed = tasks.iter().any(|task| {
            let failed = input.runs(task).iter().filter(|run| run.is("failed"));
            failed.count() >= MAX_ATTEMPTS
        });
        // A gang fails as one, by any of its members.
        let failed = tasks.iter().flat_map(|task| input.runs(task));
        let gang_failures = failed.filter(|run| run.is("failed")).count();
        let is_gang = job.kind == JobKind::Gang && gang_failures >= MAX_ATTEMPTS;
        if !has_failed && !is_gang {
            problems.push(problem("shown as failed, but no task failed too often", id));
        }
    }
    if let Some(cancelled_at) = job.cancelled_at {
        let cluster = input.cluster;
        let is_steady = cluster.acted_at.get() + SETTLE_TIME < cancelled_at
            && cluster.unplanned_at.get() + SETTLE_TIME < cancelled_at;
        let is_due = cancelled_at.elapsed() > CANCEL_LIMIT;
        if is_steady && is_due && tasks.iter().any(|task| input.is_active(task)) {
            problems.push(problem("runs although it was cancelled", id));
        }
    }
    if job.is_long() && !job.is_cancel_sent {
        check_budget(input, id, &tasks, problems);
    }
}

/// Checks that orders ended tasks of a job only while the others were at work.
fn check_budget(
    input: &CheckInput<'_>,
    id: &str,
    tasks: &[TaskName],
    problems: &mut Vec<SoakProblem>,
) {
    for task in tasks {
        let ordered = input.runs(task).iter().filter(|run| run.is_ordered_end());
        for run in ordered {
            let Some(at) = run.ended_ms.filter(|at| run.started_ms + STARTUP_MS < *at) else {
                continue;
            };
            let is_drained = input.cluster.platform.may_have_left(at + input.offset_ms);
            if is_drained || !input.is_calm_at(at) {
                continue;
            }
            let away = tasks.iter().filter(|other| {
                let runs = input.runs(other);
                let is_at_work = |run: &RunView| {
                    run.started_ms + STARTUP_MS <= at && run.ended_ms.is_none_or(|end| end > at)
                };
                let was_ordered = runs
                    .iter()
                    .rev()
                    .find(|run| run.ended_ms.is_some_and(|end| end <= at));
                *other != task
                    && was_ordered.is_some_and(RunView::is_ordered_end)
                    && !runs.iter().any(is_at_work)
            });
            if away.count() >= 1 {
                let what = format!("{task}: ended by an order while another one was away: {run}");
                problems.push(problem(&what, id));
            }
        }
    }
}

/// Checks the capacity of workers that do not guard it, and the limits of customers,
/// at each start.
fn check_room(input: &CheckInput<'_>, problems: &mut Vec<SoakProblem>) {
    let mut changes = Vec::new();
    for (name, task) in &input.view.tasks {
        let Some(job) = TaskName::parse(name).and_then(|task| input.jobs.get(&task.job)) else {
            continue;
        };
        for run in &task.runs {
            changes.push((run.started_ms, 1, name, run, job));
            if let Some(ended_ms) = run.ended_ms {
                // At the same time, ends come before starts.
                changes.push((ended_ms, 0, name, run, job));
            }
        }
    }
    changes.sort_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
    let mut machines: HashMap<&str, i64> = HashMap::new();
    let mut tenants: HashMap<&str, i64> = HashMap::new();
    for (at, is_start, name, run, job) in changes {
        let cpu = if is_start == 1 { job.cpu } else { -job.cpu };
        let on_machine = machines.entry(&run.machine).or_default();
        *on_machine += cpu;
        let of_tenant = tenants.entry(&job.tenant.key).or_default();
        *of_tenant += cpu;
        if is_start == 0 {
            continue;
        }
        let capacity = input.view.capacity(&run.machine);
        if capacity.is_some_and(|capacity| *on_machine > capacity) {
            let what = format!(
                "{name}: run {} is beyond the room of {}",
                run.run, run.machine
            );
            problems.push(problem(&what, name.split('.').next().unwrap_or(name)));
        }
        let limit = job
            .tenant
            .has_limit
            .then_some(input.cluster.platform.tenant_limit as f64);
        let limit = limit.map(|limit| limit * (1.0 + LIMIT_OVERAGE));
        if limit.is_some_and(|limit| (*of_tenant - job.cpu) as f64 > limit) {
            let what = format!("{name}: {of_tenant} at {at:.0} ms is beyond the customer's limit");
            problems.push(problem(&what, name.split('.').next().unwrap_or(name)));
        }
    }
}

/// Checks the waves.
fn check_waves(input: &CheckInput<'_>, problems: &mut Vec<SoakProblem>) {
    for (name, wave) in &input.view.waves {
        let subject = format!("wave={}", wave.request.wave);
        if wave.max_down > wave.request.max_count {
            let what = format!("{name}: {} machines were down at once", wave.max_down);
            problems.push(problem(&what, &subject));
        }
        if !wave.is_completed() {
            continue;
        }
        let machines = wave.request.machines.iter();
        let mut open = machines.filter(|machine| {
            !wave.maintained.contains(machine) && !input.cluster.platform.is_lost(machine)
        });
        if let Some(machine) = open.next() {
            let what = format!("{name} is completed, but {machine} had no maintenance");
            problems.push(problem(&what, &subject));
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
        let is_lost = |machine: &&String| cluster.platform.is_lost(machine);
        let mut open = view.waves.iter().filter(|(_, wave)| {
            let machines = &wave.request.machines;
            let has_lost = machines.iter().any(|machine| is_lost(&machine));
            let mut others = machines.iter().filter(|machine| !is_lost(machine));
            let is_done = others.all(|machine| wave.maintained.contains(machine));
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
