//! Settings of the process, from flags and environment variables.
//!
//! Each flag has an environment variable beside it, `REDWING_` and its name
//! in upper case; the flag goes first. `docs/operations/flags.md` lists them.

use std::net;
use std::str;
use std::time;

use clap::{Arg, ArgMatches, Command, value_parser};
use log::LevelFilter;
use redwing_model::{DataCentre, KeyHash, NodeId};

use crate::flag;
use crate::log::LogFormat;
use crate::standin::{self, StandinChoice};

/// Pauses that fit in one task lease.
pub(crate) const PAUSE_LIMITS_PER_LEASE: u32 = 4;

/// Where the platform's services are.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PlatformAddress {
    /// A stand-in platform and stand-in backend servers in this process.
    #[default]
    Embedded,
    /// A platform that speaks HTTP at this address.
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

/// Bounds of the request path.
#[derive(Clone, Debug, PartialEq)]
pub struct PathLimits {
    /// Largest total size of the names and values of request headers, in bytes.
    pub header_bytes: usize,
    /// Body bytes kept in memory so that a request can be sent again.
    pub buffer_bytes: usize,
    /// Longest time for the first request head of a connection.
    pub head_timeout: time::Duration,
    /// Longest time that a connection of a caller may be idle.
    pub idle_timeout: time::Duration,
    /// Longest time between two pieces of a request body.
    pub body_timeout: time::Duration,
    /// Longest time between two pieces of an answer body.
    pub answer_timeout: time::Duration,
    /// Longest time to connect to a backend server.
    pub connect_timeout: time::Duration,
    /// Longest time that a connection to a backend server may be idle.
    pub backend_idle_timeout: time::Duration,
    /// Connections to one backend server that are kept open for reuse.
    pub backend_connections: usize,
    /// Largest number of connections of callers.
    pub max_connections: usize,
    /// How long a request may go on running after its attempt was lost.
    pub task_lease: time::Duration,
}

impl PathLimits {
    /// Returns how long the process may stand still before it must check
    /// that its place was not taken.
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
    /// Where the platform's services are.
    pub platform: PlatformAddress,
    /// Name of the entry VM.
    pub node: NodeId,
    /// Data centre that holds the entry VM.
    pub data_centre: DataCentre,
    /// Address on which callers are served.
    pub listen: net::SocketAddr,
    /// Address on which operators are served.
    pub admin_listen: net::SocketAddr,
    /// Digest of an operator's token that is valid without being granted.
    pub bootstrap_hash: Option<KeyHash>,
    /// Address on which other entry processes are served.
    pub peer_listen: net::SocketAddr,
    /// Address at which other entry processes reach this one; that of the
    /// listener if it is not set.
    pub peer_advertise: Option<net::SocketAddr>,
    /// Largest age of the platform's VM list.
    pub list_lag: time::Duration,
    /// Number of threads that carry traffic.
    pub traffic_threads: usize,
    /// Stand-in backend servers of the embedded platform.
    pub embedded_workers: u32,
    /// Bounds of the request path.
    pub limits: PathLimits,
    /// How long requests are still accepted after the process was told to stop.
    pub leave_delay: time::Duration,
    /// Longest time to finish what runs when the process stops.
    pub stop_timeout: time::Duration,
    /// Form of log lines.
    pub log_format: LogFormat,
    /// Least severe level that is logged.
    pub log_level: LevelFilter,
}

/// Where an entry process that schedules jobs runs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum JobPlatform {
    /// Table and workers in this process.
    #[default]
    Embedded,
    /// The users' platform; its own file names addresses and bounds.
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
    /// Where it runs.
    pub platform: JobPlatform,
    /// Address for callers, where the platform names none.
    pub listen: net::SocketAddr,
    /// Form of log lines.
    pub log_format: LogFormat,
    /// Least severe level that is logged.
    pub log_level: LevelFilter,
}

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandChoice {
    /// Run an entry process.
    Serve(Box<NodeSettings>),
    /// Run an entry process that schedules jobs.
    Jobs(JobSettings),
    /// Run stand-ins for what surrounds an entry process.
    Standin(StandinChoice),
}

/// Returns the command line, with all flags of all subcommands.
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

/// Reads the settings from parsed flags and variables.
pub fn choose(matches: &ArgMatches) -> Option<CommandChoice> {
    match matches.subcommand()? {
        ("serve", flags) => Some(CommandChoice::Serve(Box::new(node_settings(flags)?))),
        ("jobs", flags) => job_settings(flags).map(CommandChoice::Jobs),
        ("standin", nested) => standin::choose(nested).map(CommandChoice::Standin),
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
            flag::named("job-platform", "Where table and workers are")
                .default_value("embedded")
                .value_name("embedded|deployed")
                .value_parser(str::parse::<JobPlatform>),
        )
        .arg(flag::address(
            "listen",
            "Address for callers; port 0 takes any free port",
        ))
        .args(log_flags())
}

fn job_settings(flags: &ArgMatches) -> Option<JobSettings> {
    Some(JobSettings {
        platform: *flags.get_one("job-platform")?,
        listen: *flags.get_one("listen")?,
        log_format: *flags.get_one("log-format")?,
        log_level: *flags.get_one("log-level")?,
    })
}

fn process_flags() -> Vec<Arg> {
    vec![
        flag::named("platform", "Where the platform's services are")
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
        flag::count("traffic-threads", "Threads that carry traffic", "4", 1..=64),
        flag::count(
            "embedded-workers",
            "Stand-in backend servers of the embedded platform",
            "4",
            1..=64,
        ),
    ]
}

fn address_flags() -> Vec<Arg> {
    vec![
        flag::address("listen", "Address for callers; port 0 takes any free port"),
        flag::address("admin-listen", "Address for operators"),
        flag::named(
            "bootstrap-hash",
            "SHA-256 digest of a first operator's token, in hexadecimal",
        )
        .value_name("DIGEST")
        .value_parser(KeyHash::from_hex),
        flag::address("peer-listen", "Address for other entry processes"),
        flag::named(
            "peer-advertise",
            "Address told to other entry processes, if it is not the one listened on",
        )
        .value_name("IP:PORT")
        .value_parser(value_parser!(net::SocketAddr)),
    ]
}

fn platform_flags() -> Vec<Arg> {
    vec![flag::seconds(
        "list-lag",
        "Largest age of the platform's VM list",
        "30",
        0.1..=3_600.0,
    )]
}

fn limit_flags() -> Vec<Arg> {
    vec![
        flag::count(
            "header-bytes",
            "Largest size of all request headers together, in bytes",
            "16384",
            1_024..=65_536,
        ),
        flag::count(
            "buffer-bytes",
            "Body bytes kept so that a request can be sent again",
            "65536",
            0..=1_048_576,
        ),
        flag::count(
            "max-connections",
            "Most connections of callers",
            "10000",
            1..=100_000,
        ),
        flag::seconds(
            "head-timeout",
            "Time for the first request head",
            "5",
            0.1..=300.0,
        ),
        flag::seconds(
            "idle-timeout",
            "Time that a caller's connection may idle",
            "60",
            0.1..=3_600.0,
        ),
        flag::seconds(
            "body-timeout",
            "Time between pieces of a request body",
            "10",
            0.1..=600.0,
        ),
        flag::seconds(
            "answer-timeout",
            "Time between pieces of an answer body",
            "60",
            0.1..=3_600.0,
        ),
    ]
}

fn backend_flags() -> Vec<Arg> {
    vec![
        flag::seconds(
            "connect-timeout",
            "Time to connect to a backend server",
            "1",
            0.01..=60.0,
        ),
        flag::seconds(
            "backend-idle-timeout",
            "Time that a connection to a backend server may idle",
            "15",
            0.1..=3_600.0,
        ),
        flag::count(
            "backend-connections",
            "Connections to one backend server kept open for reuse",
            "7",
            0..=64,
        ),
        flag::seconds(
            "task-lease",
            "Time that a request may run on after its attempt was lost",
            "60",
            0.1..=86_400.0,
        ),
    ]
}

fn stop_flags() -> Vec<Arg> {
    vec![
        flag::seconds(
            "leave-delay",
            "Time to go on accepting requests after SIGTERM",
            "5",
            0.0..=300.0,
        ),
        flag::seconds(
            "stop-timeout",
            "Longest time to finish what runs when stopping",
            "120",
            0.1..=86_400.0,
        ),
    ]
}

fn log_flags() -> Vec<Arg> {
    vec![
        flag::named("log-format", "Form of log lines")
            .default_value("text")
            .value_name("text|json")
            .value_parser(str::parse::<LogFormat>),
        flag::named("log-level", "Least severe level that is logged")
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
