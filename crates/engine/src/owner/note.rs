//! Logs and counts what the scheduler decided.

use redwing_jobs::scheduler::SchedulerEvent;
use redwing_jobs::worker::{OrderOutcome, OrderResponse, WorkerOrder};

use crate::event;
use crate::log_job_event;
use crate::metrics::JobMetrics;
use crate::services::WorkerReply;

/// Logs an answer that has no further effect, if it is no plain consent.
pub(super) fn log_unexpected(order: &WorkerOrder, reply: &WorkerReply) {
    let outcome = match reply {
        WorkerReply::Order(OrderResponse { outcome, .. }) | WorkerReply::NoReport(outcome) => {
            *outcome
        }
        WorkerReply::Report(_) => OrderOutcome::Accepted,
    };
    if outcome != OrderOutcome::Accepted {
        log_job_event!(
            debug,
            event::RUN_ENDED,
            worker = order.worker,
            outcome = format!("{outcome:?}"),
        );
    }
}

/// Counts a change of what the scheduler believes.
pub(super) fn count_note(metrics: &JobMetrics, note: &SchedulerEvent) {
    match note {
        SchedulerEvent::JobEnded { state, .. } => metrics.count_job(&format!("{state:?}")),
        SchedulerEvent::TasksPlaced { count, .. } => metrics.count_placed(*count),
        SchedulerEvent::RunEnded { reason, .. } => metrics.count_run(&format!("{reason:?}")),
        SchedulerEvent::WorkerChanged { .. } => {}
    }
}

/// Logs a change of what the scheduler believes.
pub(super) fn log_note(note: &SchedulerEvent) {
    match note {
        SchedulerEvent::JobEnded { job, state, failed } => log_job_event!(
            info,
            event::JOB_ENDED,
            job = job,
            state = format!("{state:?}"),
            failed_runs = failed,
        ),
        SchedulerEvent::TasksPlaced {
            job,
            count,
            unplaced,
        } => {
            log_job_event!(
                info,
                event::TASKS_PLACED,
                job = job,
                count = count,
                left = unplaced
            );
        }
        SchedulerEvent::RunEnded {
            task,
            run,
            worker,
            reason,
        } => log_job_event!(
            info,
            event::RUN_ENDED,
            task = task,
            run = run,
            worker = worker,
            reason = format!("{reason:?}"),
        ),
        SchedulerEvent::WorkerChanged { worker, status } => log_job_event!(
            info,
            event::WORKER_CHANGED,
            worker = worker,
            belief = format!("{status:?}"),
        ),
    }
}
