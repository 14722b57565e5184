//! Settings of the process, from flags and environment variables.
//!
//! Each flag can also be set by an environment variable, `REDWING_` and its
//! name in upper case; the flag takes precedence. `docs/operations/flags.md`
//! lists them.

use std::net;
use std::ops;
use std::str;
use std::time;

use clap::{Arg, ArgMatches, Command, value_parser};
use log::LevelFilter;
use redwing_model::{DataCentre, KeyHash, NodeId};

use crate::flag;
use crate::log::LogFormat;
use crate::standin::{self, StandinChoice};

/// Number of pause limits that fit in one task lease.
pub(crate) const PAUSE_LIMITS_PER_LEASE: u32 = 4;

/// Bounds of evacuations, in seconds. A configuration is used for 4 s after it was last
/// confirmed, and a request may be on its way for a second.
const EVACUATION_BOUNDS: ops::RangeInclusive<f64> = 5.0..=3_600.0;

/// Location of the platform's services.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PlatformAddress {
    /// A stand-in platform and stand-in backend servers in this process.
    #[default]
    Embedded,
    /// A platform that is reached over HTTP at this address.
    Http(net::SocketAddr),
}

impl str::FromStr for PlatformAddress {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        if text == "embedded" {
            return Ok(Self::Embedded);
        }
        let address = text
            .strip_prefix("http://")
            .and_then(|rest| rest.trim_end_matches('/').parse().ok());
        address
            .map(Self::Http)
            .ok_or_else(|| "use embedded or http://IP:PORT".to_owned())
    }
}

/// Limits of the request path.
#[derive(Clone, Debug, PartialEq)]
pub struct PathLimits {
    /// Largest total size of the names and values of request headers, in bytes.
    pub header_bytes: usize,
    /// Body bytes buffered in memory so that a request can be retried.
    pub buffer_bytes: usize,
    /// Longest time for the first request head of a connection.
    pub head_timeout: time::Duration,
    /// Idle timeout of a caller's connection.
    pub idle_timeout: time::Duration,
    /// Longest time between two chunks of a request body.
    pub body_timeout: time::Duration,
    /// Longest time between two chunks of a response body.
    pub answer_timeout: time::Duration,
    /// Longest time to connect to a backend server.
    pub connect_timeout: time::Duration,
    /// Idle timeout of a connection to a backend server.
    pub backend_idle_timeout: time::Duration,
    /// Connections to one backend server that are kept open for reuse.
    pub backend_connections: usize,
    /// Largest number of connections of callers.
    pub max_connections: usize,
    /// Longest time that a request may keep running after its attempt was lost.
    pub task_lease: time::Duration,
}

impl PathLimits {
    /// Returns how long the process may be paused before it must check that
    /// another process has not replaced it.
    pub fn pause_limit(&self) -> time::Duration {
        self.task_lease / PAUSE_LIMITS_PER_LEASE
    }
}

impl Default for PathLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            buffer_bytes: 64 * 1024,
            head_timeout: time::Duration::from_secs(5),
            idle_timeout: time::Duration::from_secs(60),
            body_timeout: time::Duration::from_secs(10),
            answer_timeout: time::Duration::from_secs(60),
            connect_timeout: time::Duration::from_secs(1),
            backend_idle_timeout: time::Duration::from_secs(15),
            backend_connections: 7,
            max_connections: 10_000,
            task_lease: time::Duration::from_secs(60),
        }
    }
}

/// Settings of an entry process.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Location of the platform's services.
    pub platform: PlatformAddress,
    /// Name of the entry VM.
    pub node: NodeId,
    /// Data centre of the entry VM.
    pub data_centre: DataCentre,
    /// Address to serve callers on.
    pub listen: net::SocketAddr,
    /// Address to serve operators on.
    pub admin_listen: net::SocketAddr,
    /// SHA-256 digest of an operator's token that is valid without a grant.
    pub bootstrap_hash: Option<KeyHash>,
    /// Address to serve other entry processes on.
    pub peer_listen: net::SocketAddr,
    /// Address advertised to other entry processes; defaults to the address of
    /// the peer listener.
    pub peer_advertise: Option<net::SocketAddr>,
    /// Maximum age of the platform's VM list.
    pub list_lag: time::Duration,
    /// Longest time after the acceptance of an evacuation for which a process that does not
    /// learn of it sends requests; none if it has no bound.
    pub evacuation_bound: Option<time::Duration>,
    /// Number of traffic threads.
    pub traffic_threads: usize,
    /// Number of stand-in backend servers of the embedded platform.
    pub embedded_workers: u32,
    /// Limits of the request path.
    pub limits: PathLimits,
    /// Time for which requests are still accepted after SIGTERM.
    pub leave_delay: time::Duration,
    /// Longest time to finish queued and running requests at the stop.
    pub stop_timeout: time::Duration,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Minimum level of log events.
    pub log_level: LevelFilter,
}

/// Platform of an entry process that schedules jobs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum JobPlatform {
    /// A table and workers in this process.
    #[default]
    Embedded,
    /// The production platform, whose own settings file has addresses and limits.
    Deployed,
}

impl str::FromStr for JobPlatform {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "embedded" => Ok(Self::Embedded),
            "deployed" => Ok(Self::Deployed),
            _ => Err("use embedded or deployed".to_owned()),
        }
    }
}

/// Settings of an entry process that schedules jobs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JobSettings {
    /// Platform that it uses.
    pub platform: JobPlatform,
    /// Address to serve callers on, unless the platform's settings set one.
    pub listen: net::SocketAddr,
    /// Whether jobs are refused at once that published backlogs show to be too late.
    pub early_refusal: bool,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Minimum level of log events.
    pub log_level: LevelFilter,
}

/// Subcommand selected on the command line, with its settings.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandChoice {
    /// Run an entry process.
    Serve(Box<NodeSettings>),
    /// Run an entry process that schedules jobs.
    Jobs(JobSettings),
    /// Run a stand-in for a service that an entry process depends on.
    Standin(StandinChoice),
}

/// Returns the definition of the command line.
pub fn command() -> Command {
    Command::new("redwinglb")
        .about("Serves queues on a fleet of VMs")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(serve_command())
        .subcommand(jobs_command())
        .subcommand(standin::command())
}

/// Returns the selected subcommand with its settings.
pub fn from_matches(matches: &ArgMatches) -> Option<CommandChoice> {
    match matches.subcommand()? {
        ("serve", flags) => Some(CommandChoice::Serve(Box::new(node_settings(flags)?))),
        ("jobs", flags) => job_settings(flags).map(CommandChoice::Jobs),
        ("standin", nested) => standin::from_matches(nested).map(CommandChoice::Standin),
        _ => None,
    }
}

fn serve_command() -> Command {
    let mut command = Command::new("serve").about("Runs an entry process");
    let groups = [
        process_flags(),
        address_flags(),
        platform_flags(),
        limit_flags(),
        backend_flags(),
        stop_flags(),
        log_flags(),
    ];
    for group in groups {
        command = command.args(group);
    }
    command
}

fn jobs_command() -> Command {
    let command = Command::new("jobs");
    command
        .about("Runs an entry process that schedules jobs")
        .arg(
            flag::named(
                "job-platform",
                "Platform that provides the table and the workers",
            )
            .default_value("embedded")
            .value_name("embedded|deployed")
            .value_parser(str::parse::<JobPlatform>),
        )
        .arg(flag::address(
            "listen",
            "Address to serve callers on; port 0 picks any free port",
        ))
        .arg(
            flag::named(
                "early-refusal",
                "Whether to refuse jobs at once that cannot be done in time",
            )
            .default_value("off")
            .value_name("on|off")
            .value_parser(["on", "off"]),
        )
        .args(log_flags())
}

fn job_settings(flags: &ArgMatches) -> Option<JobSettings> {
    Some(JobSettings {
        platform: *flags.get_one("job-platform")?,
        listen: *flags.get_one("listen")?,
        early_refusal: flags.get_one::<String>("early-refusal")? == "on",
        log_format: *flags.get_one("log-format")?,
        log_level: *flags.get_one("log-level")?,
    })
}

fn process_flags() -> Vec<Arg> {
    vec![
        flag::named("platform", "Location of the platform's services")
            .required(true)
            .value_name("embedded|http://IP:PORT")
            .value_parser(str::parse::<PlatformAddress>),
        flag::named("node", "Name of this entry VM")
            .default_value("entry-1")
            .value_name("NAME")
            .value_parser(str::parse::<NodeId>),
        flag::named("data-centre", "Data centre of this entry VM")
            .default_value("local")
            .value_name("NAME")
            .value_parser(str::parse::<DataCentre>),
        flag::count("traffic-threads", "Number of traffic threads", "4", 1..=64),
        flag::count(
            "embedded-workers",
            "Number of stand-in backend servers of the embedded platform",
            "4",
            1..=64,
        ),
    ]
}

fn address_flags() -> Vec<Arg> {
    vec![
        flag::address(
            "listen",
            "Address to serve callers on; port 0 picks any free port",
        ),
        flag::address("admin-listen", "Address to serve operators on"),
        flag::named(
            "bootstrap-hash",
            "SHA-256 digest of the first operator's token, in hexadecimal",
        )
        .value_name("DIGEST")
        .value_parser(KeyHash::from_hex),
        flag::address("peer-listen", "Address to serve other entry processes on"),
        flag::named(
            "peer-advertise",
            "Address advertised to other entry processes, if not that of the listener",
        )
        .value_name("IP:PORT")
        .value_parser(value_parser!(net::SocketAddr)),
    ]
}

fn platform_flags() -> Vec<Arg> {
    vec![
        flag::seconds(
            "list-lag",
            "Maximum age of the platform's VM list",
            "30",
            0.1..=3_600.0,
        ),
        flag::named(
            "evacuation-bound",
            "Longest time for which an isolated process sends requests after an evacuation",
        )
        .default_value("none")
        .value_name("none|5..=3600 SECONDS")
        .value_parser(parse_evacuation_bound),
    ]
}

/// Bound of evacuations, as a flag.
#[derive(Clone, Copy, Debug)]
struct EvacuationBound(Option<time::Duration>);

fn parse_evacuation_bound(text: &str) -> Result<EvacuationBound, String> {
    if text == "none" {
        return Ok(EvacuationBound(None));
    }
    match text.parse::<f64>() {
        Ok(seconds) if EVACUATION_BOUNDS.contains(&seconds) => {
            let bound = time::Duration::from_secs_f64(seconds);
            Ok(EvacuationBound(Some(bound)))
        }
        _ => Err("use none or a number of seconds from 5 to 3600".to_owned()),
    }
}

fn limit_flags() -> Vec<Arg> {
    vec![
        flag::count(
            "header-bytes",
            "Maximum total size of the request headers, in bytes",
            "16384",
            1_024..=65_536,
        ),
        flag::count(
            "buffer-bytes",
            "Body bytes buffered so that a request can be retried",
            "65536",
            0..=1_048_576,
        ),
        flag::count(
            "max-connections",
            "Maximum number of caller connections",
            "10000",
            1..=100_000,
        ),
        flag::seconds(
            "head-timeout",
            "Timeout for the first request head of a connection",
            "5",
            0.1..=300.0,
        ),
        flag::seconds(
            "idle-timeout",
            "Idle timeout of a caller's connection",
            "60",
            0.1..=3_600.0,
        ),
        flag::seconds(
            "body-timeout",
            "Longest time between two chunks of a request body",
            "10",
            0.1..=600.0,
        ),
        flag::seconds(
            "answer-timeout",
            "Longest time between two chunks of a response body",
            "60",
            0.1..=3_600.0,
        ),
    ]
}

fn backend_flags() -> Vec<Arg> {
    vec![
        flag::seconds(
            "connect-timeout",
            "Timeout for connecting to a backend server",
            "1",
            0.01..=60.0,
        ),
        flag::seconds(
            "backend-idle-timeout",
            "Idle timeout of a connection to a backend server",
            "15",
            0.1..=3_600.0,
        ),
        flag::count(
            "backend-connections",
            "Connections to each backend server kept open for reuse",
            "7",
            0..=64,
        ),
        flag::seconds(
            "task-lease",
            "Time that a request may keep running after its attempt was lost",
            "60",
            0.1..=86_400.0,
        ),
    ]
}

fn stop_flags() -> Vec<Arg> {
    vec![
        flag::seconds(
            "leave-delay",
            "Time to keep accepting requests after SIGTERM",
            "5",
            0.0..=300.0,
        ),
        flag::seconds(
            "stop-timeout",
            "Longest time to finish queued and running requests at the stop",
            "120",
            0.1..=86_400.0,
        ),
    ]
}

fn log_flags() -> Vec<Arg> {
    vec![
        flag::named("log-format", "Format of log lines")
            .default_value("text")
            .value_name("text|json")
            .value_parser(str::parse::<LogFormat>),
        flag::named("log-level", "Minimum level of log events")
            .default_value("info")
            .value_name("LEVEL")
            .value_parser(parse_level),
    ]
}

fn parse_level(text: &str) -> Result<LevelFilter, String> {
    match text {
        "error" => Ok(LevelFilter::Error),
        "warn" => Ok(LevelFilter::Warn),
        "info" => Ok(LevelFilter::Info),
        "debug" => Ok(LevelFilter::Debug),
        _ => Err("use error, warn, info or debug".to_owned()),
    }
}

fn node_settings(flags: &ArgMatches) -> Option<NodeSettings> {
    Some(NodeSettings {
        platform: flag::read(flags, "platform")?,
        node: flag::read(flags, "node")?,
        data_centre: flag::read(flags, "data-centre")?,
        listen: flag::read(flags, "listen")?,
        admin_listen: flag::read(flags, "admin-listen")?,
        bootstrap_hash: flag::read(flags, "bootstrap-hash"),
        peer_listen: flag::read(flags, "peer-listen")?,
        peer_advertise: flag::read(flags, "peer-advertise"),
        list_lag: flag::read(flags, "list-lag")?,
        evacuation_bound: flag::read::<EvacuationBound>(flags, "evacuation-bound")?.0,
        traffic_threads: flag::read_count(flags, "traffic-threads")?,
        embedded_workers: flag::read(flags, "embedded-workers")?,
        limits: path_limits(flags)?,
        leave_delay: flag::read(flags, "leave-delay")?,
        stop_timeout: flag::read(flags, "stop-timeout")?,
        log_format: flag::read(flags, "log-format")?,
        log_level: flag::read(flags, "log-level")?,
    })
}

fn path_limits(flags: &ArgMatches) -> Option<PathLimits> {
    Some(PathLimits {
        header_bytes: flag::read_count(flags, "header-bytes")?,
        buffer_bytes: flag::read_count(flags, "buffer-bytes")?,
        head_timeout: flag::read(flags, "head-timeout")?,
        idle_timeout: flag::read(flags, "idle-timeout")?,
        body_timeout: flag::read(flags, "body-timeout")?,
        answer_timeout: flag::read(flags, "answer-timeout")?,
        connect_timeout: flag::read(flags, "connect-timeout")?,
        backend_idle_timeout: flag::read(flags, "backend-idle-timeout")?,
        backend_connections: flag::read_count(flags, "backend-connections")?,
        max_connections: flag::read_count(flags, "max-connections")?,
        task_lease: flag::read(flags, "task-lease")?,
    })
}
