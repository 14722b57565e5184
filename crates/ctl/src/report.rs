//! The `report` subcommand, which draws simulations of the planner and two
//! baselines.

use std::fs;

use redwing_model::declaration::PolicyProfile;
use redwing_planner::report;
use redwing_planner::simulation::{self, SimulationPolicy, SimulationSettings};

use crate::command::{CommandEntry, ExitStatus};
use crate::error::{Error, Result};

/// Simulated second at which a rack fails with `--rack-fails`.
const RACK_FAILURE_SECOND: u64 = 1_950;

/// Policies in drawing order.
const POLICIES: [SimulationPolicy; 4] = [
    SimulationPolicy::Planner(PolicyProfile::ShareFirst),
    SimulationPolicy::Planner(PolicyProfile::BufferFirst),
    SimulationPolicy::LockStep,
    SimulationPolicy::SurgeMoves,
];

/// Simulates roll-outs and draws the results.
pub(crate) const COMMAND: CommandEntry = CommandEntry {
    name: "report",
    define,
    run,
};

fn define() -> clap::Command {
    clap::Command::new("report")
        .about("Simulates the planner and two baselines with the same inputs and draws them as SVG")
        .arg(
            clap::Arg::new("output")
                .long("output")
                .short('o')
                .value_name("FILE")
                .required(true)
                .help("SVG file to write"),
        )
        .arg(
            clap::Arg::new("seed")
                .long("seed")
                .value_name("N")
                .default_value("1")
                .value_parser(clap::value_parser!(u64))
                .help("Seed of the simulated demand and drain times"),
        )
        .arg(
            clap::Arg::new("rack-fails")
                .long("rack-fails")
                .action(clap::ArgAction::SetTrue)
                .help("Simulate the permanent failure of a rack of 4 VMs during the roll-out"),
        )
}

fn run(flags: &clap::ArgMatches) -> Result<ExitStatus> {
    let rack_fails = flags.get_flag("rack-fails");
    let settings = SimulationSettings {
        seed: flags.get_one::<u64>("seed").copied().unwrap_or(1),
        rack_fails_at: rack_fails.then_some(RACK_FAILURE_SECOND),
        ..SimulationSettings::default()
    };
    let path = flags.get_one::<String>("output").map_or("", String::as_str);
    let mut results = Vec::new();
    for policy in POLICIES {
        let result = simulation::run(&settings, policy)
            .map_err(|error| Error::flag("--seed", "", error.to_string()))?;
        let ratio = result.rollout_ratio();
        let ratio = ratio.map_or_else(|| "-".to_owned(), |ratio| format!("{ratio:.3}"));
        println!(
            "{}: roll-out {ratio} of the bound, buffer {}, moves {}, share error {:.5}",
            policy.name(),
            result.buffer,
            result.moves,
            result.share_error
        );
        results.push(result);
    }
    let picture = report::draw(&settings, &results);
    fs::write(path, picture).map_err(|error| Error::file("write", path, error))?;
    Ok(ExitStatus::Success)
}
