//! The `experiment` subcommand, which compares policies of the job scheduler under
//! a load in simulated time.

mod chart;
mod table;

use std::fs;
use std::path;

use redwing_experiment::{ExperimentPolicy, LoadFile, PolicySummary, run};

use crate::command::{CommandEntry, ExitStatus};
use crate::error::{Error, Result};
use crate::option;

/// Largest number of seeds of one experiment.
const MAX_SEEDS: u64 = 100;

/// Compares policies of the job scheduler in simulated time.
pub(crate) const COMMAND: CommandEntry = CommandEntry {
    name: "experiment",
    define,
    run: run_experiment,
};

fn define() -> clap::Command {
    clap::Command::new("experiment")
        .about("Runs the job scheduler in simulated time against a load and compares policies")
        .arg(
            clap::Arg::new("file")
                .value_name("FILE")
                .required(true)
                .help("TOML file with fleet, manifest, traffic and faults"),
        )
        .arg(
            clap::Arg::new("seeds")
                .long("seeds")
                .value_name("N")
                .default_value("3")
                .value_parser(clap::value_parser!(u64).range(1..=MAX_SEEDS))
                .help("Number of seeds; each policy runs once with each"),
        )
        .arg(
            clap::Arg::new("seed")
                .long("seed")
                .value_name("S")
                .default_value("1")
                .value_parser(clap::value_parser!(u64))
                .help("First seed of arrivals and durations; the others follow it"),
        )
        .arg(
            clap::Arg::new("policy")
                .long("policy")
                .value_name("NAME,...")
                .value_delimiter(',')
                .value_parser(parse_policy)
                .help("Policies to compare [default: all]"),
        )
        .arg(
            clap::Arg::new("without-floods")
                .long("without-floods")
                .action(clap::ArgAction::SetTrue)
                .help("Leave out the floods of the load, for a baseline"),
        )
        .arg(
            clap::Arg::new("out")
                .long("out")
                .value_name("DIR")
                .help("Directory for experiment.json, seconds.svg and customers.svg"),
        )
}

fn parse_policy(text: &str) -> std::result::Result<ExperimentPolicy, String> {
    text.parse()
        .map_err(|error: redwing_experiment::Error| error.to_string())
}

fn run_experiment(flags: &clap::ArgMatches) -> Result<ExitStatus> {
    let file = flags.get_one::<String>("file").map_or("", String::as_str);
    let mut load = LoadFile::from_toml(&option::read_text(file)?)
        .map_err(|error| Error::content(file, error.to_string()))?;
    if flags.get_flag("without-floods") {
        load.floods.clear();
    }
    let number = |name: &str| flags.get_one::<u64>(name).copied().unwrap_or(1);
    let policies = flags.get_many::<ExperimentPolicy>("policy");
    let policies: Vec<ExperimentPolicy> = policies.map_or_else(
        || ExperimentPolicy::ALL.to_vec(),
        |policies| policies.copied().collect(),
    );
    let mut summaries = Vec::new();
    for policy in policies {
        let seeds = (0..number("seeds")).map(|offset| number("seed").wrapping_add(offset));
        let runs = seeds.map(|seed| run(&load, policy, seed));
        summaries.push(PolicySummary::new(policy, runs.collect()));
    }
    print!("{}", table::format(&summaries));
    if let Some(directory) = flags.get_one::<String>("out") {
        write_results(directory, &load, &summaries)?;
    }
    Ok(ExitStatus::Success)
}

fn write_results(directory: &str, load: &LoadFile, summaries: &[PolicySummary]) -> Result<()> {
    fs::create_dir_all(directory).map_err(|error| Error::file("create", directory, error))?;
    let report = serde_json::json!({ "load": load, "policies": summaries });
    let files = [
        ("experiment.json", format!("{report:#}\n")),
        ("seconds.svg", chart::draw_seconds(summaries)),
        ("customers.svg", chart::draw_customers(summaries)),
    ];
    for (name, content) in files {
        let path = path::Path::new(directory).join(name);
        let shown = path.display().to_string();
        fs::write(&path, content).map_err(|error| Error::file("write", &shown, error))?;
    }
    Ok(())
}
