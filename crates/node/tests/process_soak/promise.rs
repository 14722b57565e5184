//! Promises that each look at the platform is checked for.

use std::collections::HashMap;
use std::time;

use crate::check::{CheckInput, SETTLE_TIME};
use crate::job::{self, CalledJob, JobKind, ShownState, Submission, TaskName};
use crate::view::{RunView, TaskView};

/// Time after which a cancelled job has no run in steady state.
const CANCEL_LIMIT: time::Duration = time::Duration::from_millis(3_200);

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

/// Checks the runs of one task.
pub(crate) fn check_task(input: &CheckInput<'_>, name: &str, view: &TaskView) {
    let Some(task) = TaskName::parse(name) else {
        return input.report(&format!("{name} is no task"), name);
    };
    let report = |what: &str| input.report(&format!("{name}: {what}"), &task.job);
    let Some(job) = input.jobs.get(&task.job) else {
        if input.cluster.ledger.find(&task.job).is_none() {
            report("a run of a job that nobody submitted");
        }
        return;
    };
    if !job.has_task(&task) {
        report("no task of its job");
    }
    for (index, run) in view.runs.iter().enumerate() {
        for what in find_run_problems(input, job, &task, run) {
            report(what);
        }
        let earlier_runs = view.runs[..index].iter();
        for earlier in earlier_runs.filter(|_| !view.speculative) {
            for what in find_pair_problems(input, earlier, run) {
                let (first, second) = (earlier.run, run.run);
                let what = format!("{name}: {what}, {first} and {second}");
                input.report_with(&what, &task.job, format!(": {earlier}; {run}"));
            }
        }
    }
    let failed = view.runs.iter().filter(|run| run.is("failed"));
    let last = failed.filter_map(|run| run.ended_ms).nth(MAX_ATTEMPTS - 1);
    let is_late = |run: &RunView| last.is_some_and(|at| run.started_ms > at + ORDER_TIME_MS);
    if !job.is_long() && view.runs.iter().any(is_late) {
        report("started again after it had failed as often as it may");
    }
}

fn select<const N: usize>(
    problems: [(bool, &'static str); N],
) -> impl Iterator<Item = &'static str> {
    let found = problems.into_iter().filter(|(is_found, _)| *is_found);
    found.map(|(_, what)| what)
}

/// Finds the problems of two runs of a task that is not speculative.
fn find_pair_problems(
    input: &CheckInput<'_>,
    earlier: &RunView,
    run: &RunView,
) -> impl Iterator<Item = &'static str> {
    let has_ended = earlier.ended_ms.is_some_and(|at| at <= run.started_ms);
    let was_noted = earlier.noted_ms.is_some_and(|at| at <= run.started_ms);
    let must_be_known = was_noted || input.is_calm_at(run.started_ms);
    select([
        (!has_ended, "two runs at once"),
        (
            earlier.is("done") && must_be_known,
            "started after it was done",
        ),
        (earlier.run >= run.run, "run numbers do not rise"),
    ])
}

fn find_run_problems(
    input: &CheckInput<'_>,
    job: &CalledJob,
    task: &TaskName,
    run: &RunView,
) -> impl Iterator<Item = &'static str> {
    let started_ms = run.started_ms;
    let completed_ms = job.completed_at.map(|at| input.platform_ms(at));
    let is_calm_end = run.ended_ms.is_some_and(|at| input.is_calm_at(at));
    let began_ms = job::unix_millis(input.cluster.began_at) as f64 + input.offset_ms;
    let is_early = job
        .due_ms(task)
        .is_some_and(|due_ms| began_ms + started_ms < due_ms as f64 - EARLY_MS - CLOCK_ERROR_MS);
    let mut first_step = job.step_tasks(task, 0);
    let is_after_step = task.step == 0 || first_step.all(|first| input.is_done(&first, started_ms));
    let may_fail = input
        .cluster
        .platform
        .may_fail(started_ms + input.offset_ms);
    select([
        (
            completed_ms.is_some_and(|at| started_ms > at + ORDER_TIME_MS),
            "started after the job was shown as completed",
        ),
        (
            run.is("alone") && is_calm_end && !job.is_cancel_sent,
            "a member of a gang was alone",
        ),
        (is_early, "an occurrence started before it was due"),
        (
            !is_after_step,
            "started before the steps that it comes after were done",
        ),
        (
            run.is("failed") && !may_fail,
            "a run failed without a fault",
        ),
    ])
}

/// Checks what callers were told about a job.
pub(crate) fn check_job(input: &CheckInput<'_>, id: &str, job: &CalledJob) {
    let submission = job.submission;
    let is_refused = matches!(submission, Submission::Refused | Submission::Unanswered);
    if is_refused && input.view.has_begun(id) {
        let what = format!("the submission was {submission:?}, but the job runs");
        input.report(&what, id);
    }
    let tasks = job.tasks(id);
    if let Some(task) = find_incomplete(input, job, &tasks) {
        let what = format!("shown as completed, but {task} has not ended as done");
        input.report(&what, id);
    }
    let is_failed = matches!(job.shown, Some((ShownState::Failed, _)));
    if is_failed && !has_failed(input, job, &tasks) {
        input.report("shown as failed, but no task failed too often", id);
    }
    if let Some(cancelled_at) = job.cancelled_at {
        let cluster = input.cluster;
        let changed_at = cluster.acted_at.get().max(cluster.unplanned_at.get());
        let is_steady = changed_at + SETTLE_TIME < cancelled_at;
        let is_due = cancelled_at.elapsed() > CANCEL_LIMIT;
        if is_steady && is_due && tasks.iter().any(|task| input.is_active(task)) {
            input.report("runs although it was cancelled", id);
        }
    }
    if job.is_long() && !job.is_cancel_sent {
        check_budget(input, id, &tasks);
    }
}

/// Returns a task that was not done when the job was shown as completed. The end of
/// one member of a gang represents all of them.
fn find_incomplete<'a>(
    input: &CheckInput<'_>,
    job: &CalledJob,
    tasks: &'a [TaskName],
) -> Option<&'a TaskName> {
    let at_ms = input.platform_ms(job.completed_at?) + CLOCK_ERROR_MS;
    let is_done = |task: &TaskName| match job.kind {
        JobKind::Gang => {
            let mut members = job.step_tasks(task, task.step);
            members.any(|member| input.is_done(&member, at_ms))
        }
        _ => input.is_done(task, at_ms),
    };
    tasks.iter().find(|task| !is_done(task))
}

/// Returns whether a task of a job has failed as often as it may; a gang fails as one,
/// by any of its members.
fn has_failed(input: &CheckInput<'_>, job: &CalledJob, tasks: &[TaskName]) -> bool {
    let failures = tasks.iter().map(|task| {
        let failed = input.runs(task).iter().filter(|run| run.is("failed"));
        failed.count()
    });
    let failures = match job.kind {
        JobKind::Gang => failures.sum(),
        _ => failures.max().unwrap_or(0),
    };
    failures >= MAX_ATTEMPTS
}

/// Checks that orders ended tasks of a job only while the others were at work.
fn check_budget(input: &CheckInput<'_>, id: &str, tasks: &[TaskName]) {
    for task in tasks {
        for run in input.runs(task).iter().filter(|run| run.is_ordered_end()) {
            let Some(at) = run.ended_ms.filter(|at| run.started_ms + STARTUP_MS < *at) else {
                continue;
            };
            let platform = &input.cluster.platform;
            if platform.may_have_left(at + input.offset_ms) || !input.is_calm_at(at) {
                continue;
            }
            let mut others = tasks.iter().filter(|other| *other != task);
            if others.any(|other| is_away(input.runs(other), at)) {
                let what = format!("{task}: ended by an order while another one was away: {run}");
                input.report(&what, id);
            }
        }
    }
}

/// Returns whether a task with these runs was not at work, as an order ended its run.
fn is_away(runs: &[RunView], at: f64) -> bool {
    let is_at_work = |run: &RunView| {
        run.started_ms + STARTUP_MS <= at && run.ended_ms.is_none_or(|end| end > at)
    };
    let mut earlier = runs.iter().rev();
    let ended = earlier.find(|run| run.ended_ms.is_some_and(|end| end <= at));
    ended.is_some_and(RunView::is_ordered_end) && !runs.iter().any(is_at_work)
}

/// Checks the capacity of workers that do not guard it, and the limits of customers,
/// at each start.
pub(crate) fn check_room(input: &CheckInput<'_>) {
    let mut changes = Vec::new();
    for (name, task) in &input.view.tasks {
        let id = job::id_of(name);
        let Some(job) = input.jobs.get(id) else {
            continue;
        };
        for run in &task.runs {
            changes.push((run.started_ms, true, name, run, job));
            if let Some(ended_ms) = run.ended_ms {
                changes.push((ended_ms, false, name, run, job));
            }
        }
    }
    // At the same time, ends come before starts.
    changes.sort_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
    let tenant_limit = input.cluster.platform.tenant_limit as f64 * (1.0 + LIMIT_OVERAGE);
    let mut machines: HashMap<&str, i64> = HashMap::new();
    let mut tenants: HashMap<&str, i64> = HashMap::new();
    for (at, is_start, name, run, job) in changes {
        let cpu = if is_start { job.cpu } else { -job.cpu };
        let on_machine = machines.entry(&run.machine).or_default();
        *on_machine += cpu;
        let of_tenant = tenants.entry(&job.tenant.key).or_default();
        *of_tenant += cpu;
        if !is_start {
            continue;
        }
        let (run, machine) = (run.run, &run.machine);
        let capacity = input.view.capacity(machine);
        if capacity.is_some_and(|capacity| *on_machine > capacity) {
            let what = format!("{name}: run {run} is beyond the room of {machine}");
            input.report(&what, job::id_of(name));
        }
        if job.tenant.has_limit && (*of_tenant - job.cpu) as f64 > tenant_limit {
            let what = format!("{name}: {of_tenant} at {at:.0} ms is beyond the customer's limit");
            input.report(&what, job::id_of(name));
        }
    }
}

/// Checks the waves.
pub(crate) fn check_waves(input: &CheckInput<'_>) {
    for (name, wave) in &input.view.waves {
        let subject = format!("wave={}", wave.request.wave);
        if wave.max_down > wave.request.max_count {
            let what = format!("{name}: {} machines were down at once", wave.max_down);
            input.report(&what, &subject);
        }
        let mut open = wave.open_machines(&input.cluster.platform);
        if let Some(machine) = open.next().filter(|_| wave.is_completed()) {
            let what = format!("{name} is completed, but {machine} had no maintenance");
            input.report(&what, &subject);
        }
    }
}

/// Checks that nothing has started in an evacuated data centre after the bound.
pub(crate) fn check_evacuations(input: &CheckInput<'_>) {
    for evacuation in &input.view.evacuations {
        for start in &evacuation.first_late {
            let (task, run, machine) = (&start.task, start.run, &start.machine);
            let late_ms = start.started_ms - evacuation.from_ms;
            let data_centre = &evacuation.data_centre;
            let what = format!(
                "{task}: run {run} on {machine} started {late_ms:.0} ms after {data_centre} was evacuated"
            );
            input.report(&what, job::id_of(task));
        }
    }
}
