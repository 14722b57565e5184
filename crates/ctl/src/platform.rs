//! The `platform` subcommand, which serves a stand-in for the platform.

use std::net;
use std::path;
use std::time;

use redwing_platform_standin::settings::{BoundSettings, FleetSettings};
use redwing_platform_standin::{self as standin, StandinSettings};

use crate::command::{CommandEntry, ExitStatus};
use crate::error::{Error, Result};

/// Serves a stand-in for the platform.
pub(crate) const COMMAND: CommandEntry = CommandEntry {
    name: "platform",
    define,
    run,
};

/// Largest number of processes with a settings file.
const MAX_PROCESSES: i64 = 1_000;

/// Largest number of machines of a pool.
const MAX_MACHINES: i64 = 1_000;

/// Least value of the longest lease, in milliseconds.
const MIN_LEASE_MS: i64 = 1_000;

/// Longest duration of a task, longest lease, and longest time for which a worker is cold, in
/// milliseconds.
const MAX_TASK_MS: i64 = 600_000;

fn define() -> clap::Command {
    let defaults = StandinSettings::default();
    let fleet = &defaults.fleet;
    clap::Command::new("platform")
        .about("Serves a stand-in for the platform on this machine, for several entry processes")
        .arg(
            clap::Arg::new("listen")
                .long("listen")
                .value_name("ADDRESS")
                .default_value(defaults.listen.to_string())
                .value_parser(clap::value_parser!(net::SocketAddr))
                .help("Loopback address, IP:PORT; the processes get the ports that follow"),
        )
        .arg(
            clap::Arg::new("faults")
                .long("faults")
                .value_name("FILE")
                .value_parser(clap::value_parser!(path::PathBuf))
                .help("TOML file with faults and their times"),
        )
        .arg(
            clap::Arg::new("settings-dir")
                .long("settings-dir")
                .value_name("DIR")
                .value_parser(clap::value_parser!(path::PathBuf))
                .help("Directory for the settings files of the processes"),
        )
        .arg(number(
            "seed",
            "Seed of all random choices",
            i64::try_from(defaults.seed).unwrap_or(1),
            0..=i64::MAX,
        ))
        .arg(number(
            "processes",
            "Number of processes with a settings file",
            defaults.processes.into(),
            0..=MAX_PROCESSES,
        ))
        .arg(number(
            "workers",
            "Number of workers in each pool",
            fleet.workers.into(),
            1..=MAX_MACHINES,
        ))
        .arg(number(
            "spares",
            "Number of machines on standby",
            fleet.spares.into(),
            0..=MAX_MACHINES,
        ))
        .arg(number(
            "racks",
            "Number of racks over which the machines are distributed",
            fleet.racks.into(),
            1..=MAX_MACHINES,
        ))
        .arg(number(
            "data-centres",
            "Number of data centres over which the racks are distributed",
            fleet.data_centres.into(),
            1..=MAX_MACHINES,
        ))
        .arg(number(
            "kept-ids",
            "Percentage of workers that keep their ids over a move or maintenance",
            fleet.kept_id_percent.into(),
            0..=100,
        ))
        .arg(number(
            "max-lease-ms",
            "Longest lease that a worker grants, in milliseconds",
            defaults.bounds.max_lease.as_millis() as i64,
            MIN_LEASE_MS..=MAX_TASK_MS,
        ))
        .arg(number(
            "cold-ms",
            "Time for which a worker that has started is cold, in milliseconds",
            defaults.bounds.cold_duration.as_millis() as i64,
            0..=MAX_TASK_MS,
        ))
        .arg(number(
            "task-ms",
            "Duration of a task whose job names none, in milliseconds",
            fleet.task_duration.as_millis() as i64,
            1..=MAX_TASK_MS,
        ))
}

/// Returns a flag with an integer in a range.
fn number(
    name: &'static str,
    help: &'static str,
    default: i64,
    range: std::ops::RangeInclusive<i64>,
) -> clap::Arg {
    clap::Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default.to_string())
        .value_parser(clap::value_parser!(i64).range(range))
        .help(help)
}

fn run(flags: &clap::ArgMatches) -> Result<ExitStatus> {
    let settings = settings_of(flags);
    let listen = settings.listen;
    let served = actix_rt::System::new().block_on(standin::serve(settings));
    match served {
        Ok(()) => Ok(ExitStatus::Success),
        Err(error) => Err(convert_error(listen, error)),
    }
}

fn settings_of(flags: &clap::ArgMatches) -> StandinSettings {
    let defaults = StandinSettings::default();
    let integer = |name: &str| flags.get_one::<i64>(name).copied().unwrap_or_default();
    let path = |name: &str| flags.get_one::<path::PathBuf>(name).cloned();
    let listen = flags.get_one::<net::SocketAddr>("listen").copied();
    StandinSettings {
        listen: listen.unwrap_or(defaults.listen),
        fault_file: path("faults"),
        seed: integer("seed") as u64,
        settings_dir: path("settings-dir"),
        processes: integer("processes") as u32,
        fleet: FleetSettings {
            workers: integer("workers") as u32,
            spares: integer("spares") as u32,
            racks: integer("racks") as u32,
            data_centres: integer("data-centres") as u32,
            task_duration: time::Duration::from_millis(integer("task-ms") as u64),
            kept_id_percent: integer("kept-ids") as u32,
            ..defaults.fleet
        },
        bounds: BoundSettings {
            cold_duration: time::Duration::from_millis(integer("cold-ms") as u64),
            max_lease: time::Duration::from_millis(integer("max-lease-ms") as u64),
            ..defaults.bounds
        },
        ..defaults
    }
}

fn convert_error(listen: net::SocketAddr, error: standin::Error) -> Error {
    match error {
        standin::Error::Address(address) => {
            let allowed = "use a loopback address, 127.0.0.1:PORT or [::1]:PORT";
            Error::flag("--listen", address.to_string(), allowed)
        }
        standin::Error::Faults(path, line, message) => {
            Error::content(&format!("{path}, line {line}"), message)
        }
        standin::Error::File(step, path, error) => Error::file(step, &path, error),
        standin::Error::Listen(address, error) => {
            Error::unavailable("listen", &address.to_string(), error.to_string())
        }
        standin::Error::Serve(error) => {
            Error::unavailable("serve", &listen.to_string(), error.to_string())
        }
    }
}
