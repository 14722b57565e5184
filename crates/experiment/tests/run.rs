//! Runs of a small fleet: same results with the same seed, one outcome for each job,
//! and the effects that a load file can describe.

mod common;

use common::small_load;
use redwing_experiment::outcome::{OutcomeCounts, fairness_index};
use redwing_experiment::{
    CustomerOutcome, ExperimentPolicy, LoadFile, PolicySummary, RunResult, arrivals, run,
};
use rstest::rstest;

fn load(text: &str) -> LoadFile {
    LoadFile::from_toml(text).expect("the load is valid")
}

fn sum(counts: &OutcomeCounts) -> u64 {
    counts.in_time + counts.late + counts.refused + counts.unserved
}

/// Panics unless each arrival has exactly one outcome, in each breakdown.
fn assert_conserved(load: &LoadFile, result: &RunResult) {
    let arrived = arrivals(load, result.seed).len() as u64;
    assert!(arrived > 0);
    assert_eq!(
        (result.total.arrived, sum(&result.total)),
        (arrived, arrived)
    );
    let customers = result.customers.iter();
    let by_customer: u64 = customers.map(|customer| sum(&customer.counts)).sum();
    assert_eq!(by_customer, arrived);
    let by_second: u64 = result.seconds.iter().map(sum).sum();
    assert_eq!(by_second, arrived);
    for customer in &result.customers {
        let seconds: u64 = customer.seconds.iter().map(sum).sum();
        assert_eq!(seconds, customer.counts.arrived);
    }
}

fn customer<'a>(result: &'a RunResult, name: &str) -> &'a OutcomeCounts {
    let mut customers = result.customers.iter();
    let found = customers.find(|customer| customer.name == name);
    &found.expect("the customer exists").counts
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn the_same_seed_gives_the_same_result(#[case] seed: u64) {
    let load = load(&small_load());
    for policy in ExperimentPolicy::ALL {
        let first = run(&load, policy, seed);
        assert_eq!(first, run(&load, policy, seed));
        assert_conserved(&load, &first);
    }
}

#[test]
fn another_seed_gives_other_arrivals() {
    let load = load(&small_load());
    assert_ne!(arrivals(&load, 1), arrivals(&load, 2));
}

/// One customer sends 30 times its usual load for 2 s, far more than the pool holds:
/// with shares only its own jobs are late.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn shares_protect_the_others_from_a_flood(#[case] seed: u64) {
    let load = load(&small_load());
    let shares = run(&load, ExperimentPolicy::Shares, seed);
    let due_time = run(&load, ExperimentPolicy::CommonOrder, seed);
    let protected = customer(&shares, "portal").in_time_fraction();
    let exposed = customer(&due_time, "portal").in_time_fraction();
    assert!(protected >= 0.95, "{protected}");
    assert!(exposed < 0.8, "{exposed}");
    assert!(customer(&shares, "housing").in_time_fraction() < 0.8);
}

/// A customer that floods is refused early and returns; nobody else is refused, and
/// of what is accepted more ends in time than without admission.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn admission_refuses_only_the_sender_of_a_flood(#[case] seed: u64) {
    let load = load(&small_load());
    let result = run(&load, ExperimentPolicy::SharesAdmission, seed);
    assert_conserved(&load, &result);
    let flood = customer(&result, "housing");
    assert!(flood.refused > 0);
    assert!(result.refusals > flood.refused);
    assert!(flood.in_time_at_once < flood.in_time);
    let portal = customer(&result, "portal");
    assert_eq!(
        (portal.refused, portal.in_time_at_once),
        (0, portal.in_time)
    );
    let without = run(&load, ExperimentPolicy::Shares, seed);
    assert!(result.total.unserved < without.total.unserved);
}

/// A rack is down for most of the time: its runs start again once the leases have
/// expired, and no job is counted twice.
#[test]
fn jobs_of_a_lost_rack_end_once() {
    let text = small_load()
        .replace("factor = 30.0", "factor = 1.0")
        .replace("from-seconds = 90.0", "from-seconds = 1.5")
        .replace("drain-seconds = 2.0", "drain-seconds = 10.0");
    let load = load(&text);
    let result = run(&load, ExperimentPolicy::Shares, 1);
    assert_conserved(&load, &result);
    let total = result.total;
    assert!(total.late + total.unserved > 0);
    assert_eq!(result.completed, total.arrived);
}

#[test]
fn a_slow_table_makes_jobs_late() {
    let usual = small_load().replace("factor = 30.0", "factor = 1.0");
    let slow = usual.replace("delay-ms = 0", "delay-ms = 900");
    let usual = run(&load(&usual), ExperimentPolicy::Shares, 1);
    let slow = run(&load(&slow), ExperimentPolicy::Shares, 1);
    assert_eq!(usual.total.in_time, usual.total.arrived);
    assert!(slow.total.in_time < slow.total.arrived);
    assert_eq!(slow.completed, slow.total.arrived);
}

/// The pool is too small from the start, and machines wait in a standby pool.
#[test]
fn the_planner_moves_machines_to_a_pool_that_lacks_them() {
    let text = small_load()
        .replace("workers = 4", "workers = 1")
        .replace("factor = 30.0", "factor = 3.0");
    let standby =
        "[fleet]\nmoves = true\n[[pools]]\nname = \"spare\"\nworkers = 20\nstandby = true\n";
    let without = run(&load(&text), ExperimentPolicy::Shares, 1);
    let text = text.replacen("[[pools]]", &format!("{standby}[[pools]]"), 1);
    let load = load(&text);
    let with = run(&load, ExperimentPolicy::Shares, 1);
    assert_conserved(&load, &with);
    assert!(with.moves > 0);
    assert!(with.total.in_time > without.total.in_time);
}

fn outcome(weight: f64, requested_work: f64, served_work: f64) -> CustomerOutcome {
    CustomerOutcome {
        name: String::new(),
        weight,
        counts: OutcomeCounts::default(),
        requested_work,
        served_work,
        seconds: Vec::new(),
    }
}

#[rstest]
#[case(&[outcome(1.0, 9.0, 5.0), outcome(1.0, 9.0, 5.0)], 1.0)]
#[case(&[outcome(1.0, 9.0, 2.0), outcome(3.0, 9.0, 6.0)], 1.0)]
#[case(&[outcome(1.0, 1.0, 1.0), outcome(1.0, 90.0, 9.0)], 1.0)]
#[case(&[outcome(1.0, 9.0, 8.0), outcome(1.0, 9.0, 0.0)], 0.5)]
fn the_fairness_index_is_relative_to_weighted_shares(
    #[case] customers: &[CustomerOutcome],
    #[case] expected: f64,
) {
    let index = fairness_index(customers);
    assert!((index - expected).abs() < 1e-9, "{index}");
}

#[test]
fn a_summary_has_mean_and_range_over_the_seeds() {
    let load = load(&small_load());
    let runs = (1..=3).map(|seed| run(&load, ExperimentPolicy::CommonOrder, seed));
    let summary = PolicySummary::new(ExperimentPolicy::CommonOrder, runs.collect());
    assert_eq!(summary.runs.len(), 3);
    assert!(summary.in_time.min <= summary.in_time.mean);
    assert!(summary.in_time.mean <= summary.in_time.max);
    assert_eq!(summary.customers.len(), 2);
}
