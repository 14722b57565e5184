//! Measures a cluster of real entry processes: time until a change is in force,
//! recovery after a kill, table calls, control bytes, CPU time and memory.
//!
//! `cargo run --release -p redwing-node --example cluster -- PATH-OF-REDWINGLB [NODES]`
//!
//! Everything runs on the loopback interface and ends within two minutes.

#![allow(clippy::unwrap_used, reason = "a measurement fails by panicking")]

#[path = "../tests/common/mod.rs"]
mod common;

use std::fs;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use common::client::Request;
use common::{Process, wait_for};
use redwing_model::AccessKey;
use redwing_model::admin::{ChangeResponse, ChangeStatus, NodeStatus};
use redwing_model::vm::{VmIdentity, VmPhase, VmRecord};
use redwing_provider::{RowKey, TableStore, TableTransaction};
use redwing_standin::HttpPlatform;
use redwing_standin::backend::ExecutionCounts;
use redwing_standin::server::ControlCall;

/// Backend servers, each with 8 slots.
const WORKERS: usize = 48;

/// Total slots of the backend servers.
const SLOTS: u64 = 8 * WORKERS as u64;

/// Number of changes whose time until in force is measured.
const CHANGES: usize = 60;

/// Duration over which rates are measured.
const RATE_WINDOW: Duration = Duration::from_secs(10);

/// Kernel clock ticks per second of CPU time.
const TICKS_PER_SECOND: f64 = 100.0;

/// Task lease of the entry processes, in seconds.
const TASK_LEASE: &str = "4";

struct Cluster {
    platform: Process,
    backends: Process,
    entries: Vec<Process>,
    token: AccessKey,
}

/// Counters of one process at one time.
struct CounterSample {
    at: Instant,
    reads: f64,
    commits: f64,
    peer_bytes: f64,
    cpu_seconds: f64,
}

impl Cluster {
    fn start(binary: &str, nodes: usize) -> Self {
        let backends = start_backends(binary);
        let addresses = backend_addresses(&backends);
        let platform = start_platform(binary, &addresses, nodes);
        let url = platform.stdout_value("platform");
        assign_workers(&url, &addresses);
        let token = AccessKey::generate();
        let entries = (0..nodes).map(|node| start_entry(binary, &url, node, &token));
        let entries = entries.collect();
        Self {
            platform,
            backends,
            entries,
            token,
        }
    }

    fn status(&self, node: usize) -> Option<NodeStatus> {
        let request = Request::get("/v1/admin/status").key(self.token.expose());
        let response = request.send(self.entries[node].address("admin")).ok()?;
        serde_json::from_slice(&response.body).ok()
    }

    fn apply(&self, node: usize, limit: u32) -> ChangeResponse {
        let mut request = Request::post("", declaration(limit)).key(self.token.expose());
        request.method = "PUT";
        request.path = "/v1/admin/declaration".to_owned();
        let response = request.send(self.entries[node].address("admin")).unwrap();
        serde_json::from_slice(&response.body).unwrap()
    }

    fn version(&self, node: usize) -> Option<u64> {
        self.status(node).map(|status| status.version)
    }

    fn counts(&self) -> ExecutionCounts {
        let address = backend_addresses(&self.backends)[0];
        let response = Request::get("/standin/executions").send(address).unwrap();
        serde_json::from_slice(&response.body).unwrap()
    }

    /// Measures, for each change, the time from its request to its response and to
    /// its being in force at every process.
    fn time_in_force(&self) -> (Vec<Duration>, Vec<Duration>) {
        let (mut accepted, mut in_force) = (Vec::new(), Vec::new());
        for change in 0..CHANGES {
            let node = change % self.entries.len();
            let requested = Instant::now();
            let limit = 100 + u32::try_from(change).unwrap();
            let response = self.apply(node, limit);
            accepted.push(requested.elapsed());
            assert_eq!(response.status, ChangeStatus::Accepted, "{response:?}");
            for other in 0..self.entries.len() {
                wait_for(|| (self.version(other) >= response.version).then_some(())).unwrap();
            }
            in_force.push(requested.elapsed());
        }
        (accepted, in_force)
    }

    /// Sends as many long requests as there are slots through one process and
    /// returns the largest number that ran concurrently.
    fn max_running(&self, node: usize) -> u64 {
        let listen = self.entries[node].address("listen");
        let callers: Vec<_> = (0..SLOTS)
            .map(|_| thread::spawn(move || send_open(listen, "1")))
            .collect();
        let mut max_running = 0;
        for _ in 0..90 {
            thread::sleep(Duration::from_millis(10));
            max_running = max_running.max(self.counts().running);
        }
        for caller in callers {
            caller.join().unwrap();
        }
        max_running
    }

    /// Kills the last process and returns the time until another process can use
    /// all slots.
    fn recovery_time(&mut self) -> Duration {
        let last = self.entries.len() - 1;
        let call = ControlCall::RemoveVm(format!("entry-{last}").parse().unwrap());
        drop(self.entries.pop());
        let killed = Instant::now();
        control(&self.platform.stdout_value("platform"), &call);
        let full = wait_for(|| (self.max_running(0) == SLOTS).then_some(()));
        full.expect("the slots were not recovered");
        killed.elapsed()
    }

    fn counter_samples(&self) -> Vec<CounterSample> {
        self.entries.iter().map(read_counters).collect()
    }

    /// Prints the control overhead of each process over the rate window.
    fn print_rates(&self, label: &str) {
        let before = self.counter_samples();
        thread::sleep(RATE_WINDOW);
        let after = self.counter_samples();
        for (node, (before, after)) in before.iter().zip(&after).enumerate() {
            let seconds = after.at.duration_since(before.at).as_secs_f64();
            println!(
                "{label} entry-{node}: {:.2} reads/s, {:.2} commits/s, {:.0} control bytes/s, \
                 {:.2} % of a core, {:.1} MB resident",
                (after.reads - before.reads) / seconds,
                (after.commits - before.commits) / seconds,
                (after.peer_bytes - before.peer_bytes) / seconds,
                (after.cpu_seconds - before.cpu_seconds) / seconds * 100.0,
                resident_megabytes(&self.entries[node]),
            );
        }
    }
}

fn declaration(limit: u32) -> String {
    let mut text = format!("[pools.all]\nvms = {WORKERS}\nmax-unavailable = 4\n");
    text.push_str("[queues.notices]\npool = \"all\"\nopen = true\n");
    for customer in 0..6 {
        text.push_str(&format!("[teams.team-{customer}]\nlimit = {limit}\n"));
    }
    text
}

fn start_backends(binary: &str) -> Process {
    let mut arguments = vec!["standin", "backend"];
    for _ in 0..WORKERS {
        arguments.extend(["--listen", "127.0.0.1:0"]);
    }
    Process::start_binary(binary, &arguments, "ready")
}

fn start_platform(binary: &str, addresses: &[SocketAddr], nodes: usize) -> Process {
    let mut arguments = vec!["standin".to_owned(), "platform".to_owned()];
    for (index, address) in addresses.iter().enumerate() {
        let vm = format!("vm-{index},{address},rack-{},dc-{}", index / 4, index % 3);
        arguments.extend(["--vm".to_owned(), vm]);
    }
    for node in 0..nodes {
        let vm = format!("entry-{node},127.0.0.1:1,rack-e{node},dc-{}", node % 3);
        arguments.extend(["--vm".to_owned(), vm]);
    }
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    Process::start_binary(binary, &arguments, "ready")
}

fn start_entry(binary: &str, url: &str, node: usize, token: &AccessKey) -> Process {
    let name = format!("entry-{node}");
    let digest = token.hash().to_hex();
    let arguments = [
        "serve",
        "--platform",
        url,
        "--node",
        &name,
        "--bootstrap-hash",
        &digest,
        "--task-lease",
        TASK_LEASE,
        "--list-lag",
        "2",
        "--leave-delay",
        "0",
    ];
    Process::start_binary(binary, &arguments, "admin ")
}

fn assign_workers(url: &str, addresses: &[SocketAddr]) {
    let mut transaction = TableTransaction::default();
    for (index, address) in addresses.iter().enumerate() {
        let record = VmRecord {
            identity: VmIdentity {
                vm: format!("vm-{index}").parse().unwrap(),
                address: *address,
                rack: format!("rack-{}", index / 4).parse().unwrap(),
                data_centre: format!("dc-{}", index % 3).parse().unwrap(),
            },
            pool: "all".parse().unwrap(),
            phase: VmPhase::Serving,
            revision: 1,
        };
        let key = RowKey::new(format!("vm/vm-{index}"));
        transaction = transaction.put(key, serde_json::to_string(&record).unwrap());
    }
    actix_rt::System::new()
        .block_on(async { HttpPlatform::new(url, "measure").commit(&transaction).await })
        .unwrap();
}

fn control(url: &str, call: &ControlCall) {
    actix_rt::System::new()
        .block_on(async { HttpPlatform::new(url, "measure").control(call).await })
        .unwrap();
}

fn backend_addresses(backends: &Process) -> Vec<SocketAddr> {
    let lines = backends.stdout.iter();
    let urls = lines.filter_map(|line| line.strip_prefix("backend http://"));
    urls.map(|address| address.parse().unwrap()).collect()
}

fn send_open(listen: SocketAddr, delay: &str) -> u16 {
    let request = Request::post("notices", "body").header("Redwing-Standin-Delay", delay);
    request.send(listen).unwrap().status
}

fn read_counters(entry: &Process) -> CounterSample {
    let response = Request::get("/metrics")
        .send(entry.address("listen"))
        .unwrap();
    let text = response.text();
    let sum = |part: &str| -> f64 {
        let lines = text.lines().filter(|line| line.contains(part));
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        values.sum()
    };
    CounterSample {
        at: Instant::now(),
        reads: sum("kind=\"read\""),
        commits: sum("kind=\"commit\""),
        peer_bytes: sum("redwing_peer_bytes_sent_total "),
        cpu_seconds: read_cpu_seconds(entry),
    }
}

/// Returns the CPU time of a process from `/proc`.
fn read_cpu_seconds(entry: &Process) -> f64 {
    let text = fs::read_to_string(format!("/proc/{}/stat", entry.id())).unwrap();
    let fields: Vec<&str> = text.rsplit(") ").next().unwrap().split(' ').collect();
    let ticks = |index: usize| fields[index].parse::<f64>().unwrap();
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

fn resident_megabytes(entry: &Process) -> f64 {
    let text = fs::read_to_string(format!("/proc/{}/status", entry.id())).unwrap();
    let line = text.lines().find(|line| line.starts_with("VmRSS")).unwrap();
    let kilobytes: f64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kilobytes / 1024.0
}

fn print_times(label: &str, times: &mut [Duration]) {
    times.sort();
    let at = |part: f64| times[((times.len() - 1) as f64 * part).round() as usize].as_millis();
    println!(
        "{label}: p50 {} ms, p99 {} ms, max {} ms",
        at(0.5),
        at(0.99),
        at(1.0)
    );
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let binary = arguments.next().expect("name the redwinglb binary");
    let nodes: usize = arguments.next().map_or(3, |text| text.parse().unwrap());
    let started = Instant::now();
    let mut cluster = Cluster::start(&binary, nodes);
    for node in 0..nodes {
        let all_members = || (cluster.status(node)?.members.len() == nodes).then_some(());
        wait_for(all_members).unwrap();
    }
    cluster.apply(0, 100);
    let full = wait_for(|| (cluster.max_running(0) == SLOTS).then_some(()));
    full.expect("one process could not use all slots");
    println!(
        "{nodes} processes, {WORKERS} workers: one process used all {SLOTS} slots {:.1} s after the start",
        started.elapsed().as_secs_f64()
    );
    let (mut accepted, mut in_force) = cluster.time_in_force();
    print_times("change accepted", &mut accepted);
    print_times("change in force everywhere", &mut in_force);
    thread::sleep(Duration::from_secs(5));
    cluster.print_rates("idle");
    println!(
        "all slots usable {:.1} s after a kill (task lease {TASK_LEASE} s, list lag 2 s)",
        cluster.recovery_time().as_secs_f64()
    );
    println!(
        "most running at once: {} of {SLOTS}",
        cluster.counts().most_running
    );
}
