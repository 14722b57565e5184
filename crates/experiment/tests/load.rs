//! Load files: the example, and errors that name the field and its range.

mod common;

use common::small_load;
use redwing_experiment::LoadFile;
use rstest::rstest;

#[test]
fn the_example_describes_its_fleet() {
    let text = include_str!("../../../examples/experiment-flood.toml");
    let load = LoadFile::from_toml(text).expect("the example is valid");
    let workers: u64 = load.pools.iter().map(|pool| pool.workers.get()).sum();
    assert_eq!((workers, load.pools.len()), (540, 5));
    assert_eq!(load.floods.len(), 1);
}

/// Each case replaces a part of a valid file; the error names the field and what it
/// may be.
#[rstest]
#[case(
    "seconds = 4.0",
    "seconds = -1.0",
    "seconds: -1; use a number from 1 to 3600"
)]
#[case("seconds = 4.0", "seconds = nan", "seconds: NaN; use a number from 1")]
#[case(
    "workers = 4",
    "workers = -4",
    "pools[0].workers: -4; use a whole number from 0"
)]
#[case(
    "workers = 4",
    "workers = 0",
    "pools: workers of all pools: 0; use a whole number from 1"
)]
#[case("workers = 4", "workers = 1e9", "workers")]
#[case("workers = 4", "worker = 4", "unknown field `worker`")]
#[case("weight = 3.0", "weight = 0.0", "customers.portal.weight")]
#[case("weight = 3.0", "weight = -1.0", "from 0.001 to 1000000")]
#[case("weight = 3.0", "weight = 1e300", "from 0.001 to 1000000")]
#[case(
    "pool = \"printers\"",
    "pool = \"none\"",
    "queues[0].pool: \"none\"; use a name that the file"
)]
#[case(
    "rate = 10.0",
    "rate = -1.0",
    "traffic[0].rate: -1; use a number from 0 to 100000"
)]
#[case(
    "rate = 10.0",
    "rate = 99999.0",
    "jobs are expected; use at most 2000000"
)]
#[case(
    "tasks = 2",
    "tasks = 0",
    "traffic[0].steps[0].tasks: 0; use a whole number from 1 to 600"
)]
#[case(
    "estimate-ms = 200",
    "estimate-ms = 0",
    "steps[0].estimate-ms: 0; use a whole number from 1"
)]
#[case(
    "to-seconds = 3.0",
    "to-seconds = 0.5",
    "floods[0].to-seconds: 0.5; use a number from 1 to"
)]
#[case(
    "rack = 1",
    "rack = 2",
    "lost-racks[0].rack: 2; use a whole number from 0 to 1"
)]
#[case(
    "delay-ms = 0",
    "delay-ms = -1",
    "slow-table[0].delay-ms: -1; use a whole number from 0"
)]
#[case(
    "name = \"portal\"",
    "name = \"housing\"",
    "customers[1].name: \"housing\"; use 1 to 100"
)]
#[case("[[pools]]", "[[pools", "TOML parse error")]
fn an_error_names_the_field_and_its_range(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &str,
) {
    let text = small_load();
    assert!(text.contains(from), "{from} is in the file");
    let error = LoadFile::from_toml(&text.replacen(from, to, 1)).expect_err("the file is invalid");
    let message = error.to_string();
    assert!(message.contains(expected), "{message}");
}

#[test]
fn an_empty_file_is_an_error() {
    let error = LoadFile::from_toml("").expect_err("the file is empty");
    assert_eq!(error.to_string(), "pools: 0 entries; use 1 to 200");
}
