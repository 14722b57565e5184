//! Logs and metrics of scheduler events.

use std::time;

use redwing_jobs::scheduler::SchedulerEvent;
use redwing_jobs::worker::{OrderOutcome, OrderResponse, WorkerOrder};

use crate::event;
use crate::log_job_event;
use crate::metrics::JobMetrics;
use crate::services::WorkerReply;

/// Logs a reply that has no further effect, unless the order was accepted.
pub(super) fn log_unexpected_reply(order: &WorkerOrder, reply: &WorkerReply) {
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

/// Counts a scheduler event.
pub(super) fn count_event(metrics: &JobMetrics, event: &SchedulerEvent) {
    match event {
        SchedulerEvent::JobEnded { state, failure, .. } => {
            metrics.count_ended_job(&format!("{state:?}"));
            if let Some(failure) = failure {
                metrics.count_failed_job(failure.reason.as_str());
            }
        }
        SchedulerEvent::TasksPlaced { count, .. } => metrics.count_placed_tasks(*count),
        SchedulerEvent::RunEnded { reason, .. } => metrics.count_ended_run(&format!("{reason:?}")),
        SchedulerEvent::LeaseAwaited { .. } => metrics.count_lease_wait(),
        SchedulerEvent::WorkerLost { cause, .. } => metrics.count_lost_worker(cause.as_str()),
        SchedulerEvent::TaskSuspected { .. } => metrics.count_suspected_task(),
        SchedulerEvent::WorkerChanged { .. }
        | SchedulerEvent::EvacuationChanged { .. }
        | SchedulerEvent::EvacuationDrained { .. }
        | SchedulerEvent::StartsWithheld { .. } => {}
    }
}

/// Logs a scheduler event.
pub(super) fn log_event(event: &SchedulerEvent) {
    match event {
        SchedulerEvent::JobEnded {
            job,
            state,
            failed,
            failure: None,
        } => log_job_event!(
            info,
            event::JOB_ENDED,
            job = job,
            state = format!("{state:?}"),
            failed_runs = failed,
        ),
        SchedulerEvent::JobEnded {
            job,
            state,
            failed,
            failure: Some(failure),
        } => log_job_event!(
            info,
            event::JOB_ENDED,
            job = job,
            state = format!("{state:?}"),
            failed_runs = failed,
            reason = failure.reason.as_str(),
            task = failure.task,
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
        SchedulerEvent::LeaseAwaited {
            worker,
            runs,
            remaining,
        } => log_job_event!(
            info,
            event::LEASE_AWAITED,
            worker = worker,
            runs = runs,
            millis = remaining.as_millis(),
        ),
        SchedulerEvent::WorkerLost {
            worker,
            runs,
            cause,
        } => log_job_event!(
            info,
            event::WORKER_LOST,
            worker = worker,
            runs = runs,
            cause = cause.as_str(),
        ),
        SchedulerEvent::TaskSuspected {
            task,
            run,
            worker,
            crashes,
            is_isolated,
            span,
            rate,
        } => log_job_event!(
            info,
            event::TASK_SUSPECTED,
            task = task,
            run = run,
            worker = worker,
            crashes = crashes,
            isolated = is_isolated,
            seen_ms = optional_millis(span.seen),
            at_most_ms = optional_millis(span.at_most),
            ends_per_s = format!("{:.4}", rate.per_second),
            ends = rate.ends,
        ),
        SchedulerEvent::EvacuationChanged {
            data_centre,
            is_evacuated,
            progress,
        } => log_job_event!(
            warn,
            event::EVACUATION_CHANGED,
            data_centre = data_centre,
            state = if *is_evacuated { "begun" } else { "ended" },
            workers = progress.workers,
            runs = progress.runs,
        ),
        SchedulerEvent::EvacuationDrained { data_centre } => {
            log_job_event!(info, event::EVACUATION_DRAINED, data_centre = data_centre,)
        }
        SchedulerEvent::StartsWithheld { is_withholding } => log_job_event!(
            warn,
            event::STARTS_WITHHELD,
            state = if *is_withholding { "begun" } else { "ended" },
        ),
    }
}

/// Returns the text of a time in milliseconds that may be unknown.
fn optional_millis(span: Option<time::Duration>) -> String {
    span.map_or_else(|| "unknown".to_owned(), |span| span.as_millis().to_string())
}
