//! Compares events, metrics, flags and problem types with their reference pages.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::collections::BTreeSet;
use std::fs;

use redwing_engine::event as job_event;
use redwing_engine::metrics::JobMetrics;
use redwing_model::{NodeId, NodeIncarnation};
use redwing_node::metrics::{MetricsRegistry, RequestMetrics, SchedulerMetrics};
use redwing_node::response::ProblemKind;
use redwing_node::sample::ClusterMetrics;
use redwing_node::{event, settings};
use redwing_policy::{NodeScheduler, SchedulerSettings};

/// Returns the first cell of each table row of a page, without backticks.
fn first_cells(page: &str) -> BTreeSet<String> {
    let path = format!("{}/../../docs/{page}", env!("CARGO_MANIFEST_DIR"));
    let text = fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path}: {error}"));
    let rows = text.lines().filter(|line| line.starts_with("| `"));
    rows.map(|row| row.split('`').nth(1).unwrap().to_owned())
        .collect()
}

#[test]
fn events_match_their_page() {
    let documented = first_cells("EVENTS.md");
    let path_events = event::ALL_EVENTS.iter().map(ToString::to_string);
    let job_events = job_event::ALL_JOB_EVENTS.iter();
    let job_events = job_events.map(|event| format!("E{:03} {}", event.number, event.name));
    let defined: BTreeSet<String> = path_events.chain(job_events).collect();
    assert_eq!(documented, defined);
    let numbers: BTreeSet<u16> = event::ALL_EVENTS.iter().map(|code| code.number).collect();
    assert_eq!(
        numbers.len(),
        event::ALL_EVENTS.len(),
        "a number is used twice"
    );
}

#[test]
fn metrics_match_their_page() {
    let registry = MetricsRegistry::default();
    let metrics = RequestMetrics::register(&registry).unwrap();
    metrics.count_attempt("complete");
    metrics.count_request(
        redwing_model::RunOutcome::Ran,
        200,
        std::time::Duration::ZERO,
    );
    let node = NodeIncarnation {
        node: NodeId::new("entry-1").unwrap(),
        epoch: 1,
    };
    let scheduler = NodeScheduler::new(SchedulerSettings::default(), node);
    SchedulerMetrics::register(&registry)
        .unwrap()
        .update(&scheduler);
    ClusterMetrics::register(&registry).unwrap();
    let jobs = JobMetrics::new().unwrap();
    jobs.count_call("submit", "accepted", std::time::Duration::ZERO);
    jobs.count_ended_job("Completed");
    jobs.count_ended_run("Vanished");
    jobs.count_lost_worker("crashed");
    jobs.count_failed_job("crashed-workers");
    jobs.count_order("start");
    jobs.count_machine_order("move");
    let evacuated = "east".to_owned().into();
    let progress = [(evacuated, Default::default())].into();
    jobs.set_evacuations(&progress, &progress);
    let names = registry.names().into_iter().chain(jobs.names());
    let defined: BTreeSet<String> = names.collect();
    assert_eq!(first_cells("METRICS.md"), defined);
}

#[test]
fn flags_match_their_page() {
    let command = settings::command();
    let commands = ["serve", "jobs"].map(|name| command.find_subcommand(name).unwrap());
    let flags = commands.into_iter().flat_map(clap::Command::get_arguments);
    let flags = flags.filter_map(|flag| flag.get_long());
    let defined: BTreeSet<String> = flags
        .filter(|name| *name != "help")
        .map(|name| format!("--{name}"))
        .collect();
    assert_eq!(first_cells("operations/flags.md"), defined);
}

#[test]
fn problem_types_match_their_page() {
    let defined: BTreeSet<String> = ProblemKind::ALL
        .iter()
        .map(|kind| kind.name().to_owned())
        .collect();
    assert_eq!(first_cells("operations/problems.md"), defined);
}
