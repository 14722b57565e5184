//! The subcommand `experiment`: its files, and its errors.

use std::env;
use std::fs;

use redwing_ctl::{ExitStatus, run};

const LOAD: &str = r#"
seconds = 1.0
drain-seconds = 1.0
pools = [{ name = "printers", workers = 1 }]
queues = [{ name = "labels", pool = "printers" }]
customers = [{ name = "housing" }]
traffic = [
    { queue = "labels", customer = "housing", rate = 5.0, steps = [{ estimate-ms = 100 }] },
]
"#;

#[test]
fn an_experiment_writes_its_report_and_plots() {
    let directory = env::temp_dir().join("redwingctl-experiment-files");
    fs::create_dir_all(&directory).expect("the directory can be created");
    let file = directory.join("load.toml");
    fs::write(&file, LOAD).expect("the load can be written");
    let arguments = ["redwingctl", "experiment"].map(std::ffi::OsString::from);
    let mut arguments = arguments.to_vec();
    arguments.push(file.into());
    arguments.extend(["--seeds", "2", "--out"].map(std::ffi::OsString::from));
    arguments.push(directory.clone().into());
    assert_eq!(run(arguments), ExitStatus::Success);
    let read = |name: &str| fs::read_to_string(directory.join(name)).expect("the file exists");
    let report: serde_json::Value =
        serde_json::from_str(&read("experiment.json")).expect("the report is JSON");
    let policies = report["policies"].as_array().expect("policies are listed");
    assert_eq!(policies[0]["policy"], "common-order");
    assert_eq!(policies[0]["runs"].as_array().map(Vec::len), Some(2));
    assert!(read("seconds.svg").contains("<polyline"));
    assert!(read("customers.svg").contains("housing"));
    fs::remove_dir_all(&directory).expect("the directory can be removed");
}

#[test]
fn an_unknown_policy_is_a_usage_error() {
    let arguments = ["redwingctl", "experiment", "load.toml", "--policy", "none"];
    assert_eq!(run(arguments), ExitStatus::Usage);
}

#[test]
fn a_missing_load_file_is_a_usage_error() {
    let arguments = ["redwingctl", "experiment", "no-such-file.toml"];
    assert_eq!(run(arguments), ExitStatus::Usage);
}
