//! Events, metrics, flags and problem types against their pages.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::collections::BTreeSet;
use std::fs;

use redwing_engine::event as job_event;
use redwing_engine::metrics::JobMetrics;
use redwing_model::{NodeId, NodeIncarnation};
use redwing_node::answer::ProblemKind;
use redwing_node::metrics::{ControlMetrics, MetricsRegistry, PathMetrics};
use redwing_node::sample::ClusterMetrics;
use redwing_node::{event, settings};
use redwing_policy::{NodeScheduler, SchedulerSettings};

/// Returns the first cells, without their code marks, of the table rows of a page.
fn first_cells(page: &str) -> BTreeSet<String> {
    let path = format!("{}/../../docs/{page}", env!("CARGO_MANIFEST_DIR"));
    let text = fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path}: {error}"));
    let rows = text.lines().filter(|line| line.starts_with("| `"));
    rows.map(|row| row.split('`').nth(1).unwrap().to_owned())
        .collect()
}

#[test]
fn events_and_their_page_agree() {
    let listed = first_cells("EVENTS.md");
    let path_events = event::ALL_EVENTS.iter().map(ToString::to_string);
    let job_events = job_event::ALL_JOB_EVENTS.iter();
    let job_events = job_events.map(|event| format!("E{:03} {}", event.number, event.name));
    let known: BTreeSet<String> = path_events.chain(job_events).collect();
    assert_eq!(listed, known);
    let numbers: BTreeSet<u16> = event::ALL_EVENTS.iter().map(|code| code.number).collect();
    assert_eq!(
        numbers.len(),
        event::ALL_EVENTS.len(),
        "a number is used twice"
    );
}

#[test]
fn metrics_and_their_page_agree() {
    let registry = MetricsRegistry::default();
    let metrics = PathMetrics::register(&registry).unwrap();
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
    ControlMetrics::register(&registry)
        .unwrap()
        .show(&scheduler);
    ClusterMetrics::register(&registry).unwrap();
    let jobs = JobMetrics::new().unwrap();
    jobs.count_call("submit", "accepted", std::time::Duration::ZERO);
    jobs.count_ended_job("Completed");
    jobs.count_ended_run("Vanished");
    jobs.count_order("start");
    jobs.count_machine_order("move");
    let names = registry.names().into_iter().chain(jobs.names());
    let known: BTreeSet<String> = names.collect();
    assert_eq!(first_cells("METRICS.md"), known);
}

#[test]
fn flags_and_their_page_agree() {
    let command = settings::command();
    let commands = ["serve", "jobs"].map(|name| command.find_subcommand(name).unwrap());
    let flags = commands.into_iter().flat_map(clap::Command::get_arguments);
    let flags = flags.filter_map(|flag| flag.get_long());
    let known: BTreeSet<String> = flags
        .filter(|name| *name != "help")
        .map(|name| format!("--{name}"))
        .collect();
    assert_eq!(first_cells("operations/flags.md"), known);
}

#[test]
fn problem_types_and_their_page_agree() {
    let known: BTreeSet<String> = ProblemKind::ALL
        .iter()
        .map(|kind| kind.name().to_owned())
        .collect();
    assert_eq!(first_cells("operations/problems.md"), known);
}
