//! Stand-in platform as a process, and what its workers, machines and operators see.

use std::cell;
use std::collections::BTreeSet;
use std::env;
use std::net;
use std::ops;
use std::path::{Path, PathBuf};
use std::rc;
use std::time;

use redwing_adapter::http::JsonClient;
use redwing_adapter::table::PlatformTable;
use redwing_engine::row::{self, OwnerRecord};
use redwing_provider::{TableLimits, TableStore};
use serde_json::json;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task;
use tokio::time as timer;

use crate::job;
use crate::process::{self, ProcessCommand, SoakProcess};
use crate::view::PlatformView;
use crate::wire::{self, WireRequest, WireResponse};

/// Environment variable that names the program of the platform.
const PLATFORM_VARIABLE: &str = "SOAK_PLATFORM";

/// Longest time until the platform has printed its addresses.
const START_LIMIT: time::Duration = time::Duration::from_secs(20);

/// Longest time of a call of the soak itself.
const CALL_LIMIT: time::Duration = time::Duration::from_secs(20);

/// Number of pools whose machines are in use; their machines are the first ones.
const POOLS: usize = 2;

/// Number of data centres over which the machines are distributed.
pub(crate) const DATA_CENTRES: usize = 2;

/// Queue whose steps need permits of the advisor.
const ADVISED_QUEUE: &str = "advised";

/// Customer whose running work is limited.
const LIMITED_TENANT: &str = "surveyors";

/// CPU that the limited customer may have running, in thousandths of a core, with few
/// processes; it grows with their number, as the number of callers does.
const TENANT_CPU: u64 = 2_000;

/// Time within which the machines of a wave are to be maintained, in seconds.
const WAVE_SECONDS: u64 = 20;

/// Time that a draining worker has until it leaves, in milliseconds.
const DRAIN_MS: u64 = 4_500;

/// Time after the end of a fault in which its effects may be seen, in milliseconds.
const EFFECT_MS: f64 = 3_000.0;

/// Effect of a fault that lets runs fail.
pub(crate) const FAIL_RUNS: &str = "fail-runs";

/// Effect of a fault that ends a machine for good.
pub(crate) const LOSE: &str = "lose";

/// Queue of the manifest.
#[derive(Clone, Debug)]
pub(crate) struct SoakQueue {
    pub(crate) host: String,
    pub(crate) path_prefix: String,
}

/// Customer of the manifest.
#[derive(Clone, Debug)]
pub(crate) struct SoakTenant {
    pub(crate) key: String,
    pub(crate) has_limit: bool,
}

/// Fault of the platform, or of a worker, that begins at once.
#[derive(Clone, Debug)]
pub(crate) struct PlatformFault {
    pub(crate) effect: &'static str,
    /// Choice of the worker, if only one is concerned.
    pub(crate) worker: Option<usize>,
    /// The other fields in the platform's format.
    pub(crate) fields: String,
    /// Time for which it lasts.
    pub(crate) ms: u64,
}

/// Extent of a platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct PlatformShape {
    pub(crate) processes: usize,
    pub(crate) seed: u64,
    /// Number of workers in each pool.
    pub(crate) workers: usize,
    /// Longest lease that a worker grants, in milliseconds.
    pub(crate) max_lease_ms: u64,
    /// Whether the manifest has a pool on standby.
    pub(crate) has_standby: bool,
}

impl PlatformShape {
    /// Returns the usual shape for a number of processes.
    pub(crate) fn usual(processes: usize, seed: u64) -> Self {
        Self {
            processes,
            seed,
            workers: 4 + processes / 16,
            max_lease_ms: 6_000,
            has_standby: true,
        }
    }
}

/// Running platform.
pub(crate) struct StandinPlatform {
    address: net::SocketAddr,
    /// Settings files of the processes, in their order.
    pub(crate) settings_files: Vec<PathBuf>,
    keys: Vec<String>,
    /// Number of machines in use.
    machines: usize,
    /// CPU that the limited customer may have running, in thousandths of a core.
    pub(crate) tenant_limit: u64,
    /// Number of times that each queue without an advisor is drawn for one of those
    /// with one, as the advisor decides on one call at a time.
    queue_weight: usize,
    /// Whether the manifest has a pool on standby.
    has_standby: bool,
    version: cell::Cell<u64>,
    waves: cell::Cell<u64>,
    /// Machines that failed for good.
    lost: cell::RefCell<BTreeSet<String>>,
    /// Times of the soak in which drains and faults that let runs fail had their
    /// effects, in milliseconds.
    drains: cell::RefCell<Vec<ops::Range<f64>>>,
    run_failures: cell::RefCell<Vec<ops::Range<f64>>>,
    /// Number of data centres that are evacuated, and when one last was.
    evacuated: cell::Cell<usize>,
    evacuated_at: cell::Cell<Option<timer::Instant>>,
    /// When it was ready, by which the times of the soak count.
    pub(crate) started_at: timer::Instant,
    table: PlatformTable,
    views: watch::Sender<rc::Rc<PlatformView>>,
    /// Killed when the platform is dropped.
    _process: SoakProcess,
}

/// Returns the percentage of workers that keep their ids over a move or maintenance.
fn kept_id_percent(seed: u64) -> u32 {
    match seed.is_multiple_of(2) {
        true => 50,
        false => 0,
    }
}

impl StandinPlatform {
    /// Starts the platform.
    pub(crate) async fn start(directory: &Path, shape: PlatformShape) -> Self {
        let PlatformShape {
            processes,
            seed,
            workers,
            max_lease_ms,
            has_standby,
        } = shape;
        let settings = directory.join("settings");
        let log = directory.join("platform.log");
        let arguments = [
            "platform",
            "--listen",
            "127.0.0.1:0",
            "--settings-dir",
            &settings.display().to_string(),
            "--processes",
            &processes.to_string(),
            "--seed",
            &seed.to_string(),
            "--workers",
            &workers.to_string(),
            "--data-centres",
            &DATA_CENTRES.to_string(),
            "--kept-ids",
            &kept_id_percent(seed).to_string(),
            "--max-lease-ms",
            &max_lease_ms.to_string(),
        ];
        let process = SoakProcess::start(&ProcessCommand {
            program: program(),
            arguments: arguments.map(str::to_owned).to_vec(),
            environment: Vec::new(),
            log: log.clone(),
        });
        let lines = process::wait_line(&log, START_LIMIT, |line| line.starts_with("curl http"));
        let lines = lines.await;
        let find = |name: &str| -> Vec<&str> {
            let values = lines.iter().filter_map(|line| line.strip_prefix(name));
            values.collect()
        };
        let address = find("platform http://")[0];
        let address = address.parse().expect("it prints its address");
        let settings_files = find("process ").into_iter().map(|line| {
            let words = line.split_whitespace();
            let path = words.skip_while(|word| *word != "settings").nth(1);
            PathBuf::from(path.expect("it prints the settings file"))
        });
        let platform = Self {
            address,
            settings_files: settings_files.collect(),
            keys: find("key ").into_iter().map(str::to_owned).collect(),
            machines: workers * POOLS,
            tenant_limit: TENANT_CPU * (1 + processes as u64 / 25),
            queue_weight: 1 + processes / 40,
            has_standby,
            version: cell::Cell::new(1),
            waves: cell::Cell::new(0),
            lost: cell::RefCell::default(),
            drains: cell::RefCell::default(),
            run_failures: cell::RefCell::default(),
            evacuated: cell::Cell::new(0),
            evacuated_at: cell::Cell::new(None),
            started_at: timer::Instant::now(),
            table: PlatformTable::new(JsonClient::new(), address, TableLimits::default()),
            views: watch::Sender::default(),
            _process: process,
        };
        platform.change_manifest(1.0).await;
        platform
    }

    /// Returns the queues as they are drawn; no version of the manifest changes them.
    pub(crate) fn queues(&self) -> Vec<SoakQueue> {
        let plain = ["urgent", "batch", "annex"].repeat(self.queue_weight);
        let names = plain.into_iter().chain([ADVISED_QUEUE]);
        let queues = names.map(|name| SoakQueue {
            host: "any".to_owned(),
            path_prefix: format!("/{name}/"),
        });
        queues.collect()
    }

    /// Returns the customers; no version of the manifest changes them.
    pub(crate) fn tenants(&self) -> Vec<SoakTenant> {
        // The keys are printed in the order of the customers, the limited one last.
        let count = self.keys.len();
        let keys = self.keys.iter().enumerate();
        let tenants = keys.map(|(index, key)| SoakTenant {
            key: key.clone(),
            has_limit: index + 1 == count,
        });
        tenants.collect()
    }

    /// Sends a call; returns the response, whatever its status.
    async fn send(&self, method: &str, path: &str, body: &str) -> WireResponse {
        let mut stream = TcpStream::connect(self.address).await;
        let stream = stream.as_mut().expect("the platform listens");
        let request = WireRequest {
            method,
            path,
            host: "any",
            key: "",
            body,
        };
        let called = wire::call(stream, request, CALL_LIMIT).await;
        called.expect("the platform responds")
    }

    async fn call(&self, method: &str, path: &str, body: &str) -> WireResponse {
        let response = self.send(method, path, body).await;
        assert_eq!(response.status, 200, "{path}: {} to {body}", response.body);
        response
    }

    /// Waits for a response that takes the platform no work.
    pub(crate) async fn probe(&self) {
        self.send("GET", "/stand-in/probe", "").await;
    }

    /// Returns what workers, machines and operators see.
    pub(crate) async fn view(&self) -> rc::Rc<PlatformView> {
        let response = self.call("GET", "/stand-in/state", "").await;
        // The proxies go on meanwhile.
        let parsed = task::spawn_blocking(move || {
            let view = serde_json::from_str::<PlatformView>(&response.body);
            view.expect("the state has the fields of the view")
        });
        let view = rc::Rc::new(parsed.await.expect("it is parsed"));
        self.views.send_replace(rc::Rc::clone(&view));
        view
    }

    /// Waits for a view that was requested later than this call. The checks request
    /// one after the other, and this adds none.
    pub(crate) async fn later_view(&self) -> rc::Rc<PlatformView> {
        let mut views = self.views.subscribe();
        let later = async {
            for _ in 0..2 {
                // The sender lives as long as the platform.
                let _ = views.changed().await;
            }
        };
        let waited = timer::timeout(CALL_LIMIT, later).await;
        waited.expect("the checks look at the platform");
        let view = views.borrow();
        rc::Rc::clone(&view)
    }

    /// Returns a line for each run of a job that the latest view has.
    pub(crate) fn runs_of(&self, job: &str) -> Vec<String> {
        let view = self.views.borrow();
        let tasks = view.tasks.iter();
        let tasks = tasks.filter(|(name, _)| job::id_of(name) == job);
        let lines = tasks.flat_map(|(name, task)| {
            let runs = task.runs.iter();
            runs.map(move |run| format!("{name} {run}"))
        });
        lines.collect()
    }

    /// Returns the name of the owner's VM, unless the table does not say so.
    pub(crate) async fn owner(&self) -> Option<String> {
        let view = self.table.scan(row::OWNER_KEY).await.ok()?;
        let record: OwnerRecord = row::read(view.rows.first()?).ok()?;
        Some(record.node)
    }

    async fn write(&self, key: &str, value: &serde_json::Value) {
        let body = json!({"key": key, "value": value}).to_string();
        self.call("POST", "/stand-in/operator", &body).await;
    }

    /// Writes the next version of the manifest.
    pub(crate) async fn change_manifest(&self, weight: f64) {
        let version = self.version.get() + 1;
        self.version.set(version);
        let route = |name: &str, service: &str, priority: u32| {
            json!({
                "name": name, "host": "", "pathPrefix": format!("/{name}/"),
                "service": service, "priority": priority, "maxAttempts": 4, "stretch": 4.0,
                "targetCompletionMs": 20_000,
            })
        };
        let mut advised = route(ADVISED_QUEUE, "workers", 1);
        advised["advisor"] = json!({"decideMs": 40, "perItemMs": 2, "validMs": 5_000});
        // A queue that comes and goes, and that no caller uses.
        let extra = route(&format!("extra-{version}"), "annex", 2);
        let service = |name: &str, enforces_capacity: bool, is_standby: bool| {
            json!({
                "name": name, "enforcesCapacity": enforces_capacity, "standby": is_standby,
            })
        };
        let mut services = vec![
            service("workers", true, false),
            service("annex", false, false),
        ];
        if self.has_standby {
            services.push(service("standby", false, true));
        }
        let tenant = |name: &str, key: &str, weight: f64| {
            let limit = if name == LIMITED_TENANT {
                self.tenant_limit
            } else {
                0
            };
            json!({
                "name": name, "apiKeys": [key], "weight": weight,
                "maxCount": {"cpu": limit, "memMb": 0, "gpu": 0},
            })
        };
        let manifest = json!({
            "version": version,
            "routes": [
                route("urgent", "workers", 0), route("batch", "workers", 1),
                route("annex", "annex", 1), advised, extra,
            ],
            "services": services,
            "tenants": [
                tenant("inspectors", &self.keys[0], 2.0),
                tenant(LIMITED_TENANT, &self.keys[1], weight),
            ],
            "limits": {},
        });
        self.write("config", &manifest).await;
    }

    /// Requests the maintenance of some machines, beginning with one of them.
    pub(crate) async fn request_wave(&self, first: usize, count: usize, max_down: u32) {
        let wave = self.waves.get() + 1;
        self.waves.set(wave);
        let machines = (first..first + count).map(|choice| {
            let number = self.machine_number(choice);
            machine_name(number)
        });
        let request = json!({
            "wave": wave, "machines": machines.collect::<Vec<_>>(),
            "durationS": WAVE_SECONDS, "maxCount": max_down,
        });
        self.write(&format!("wave/{wave}"), &request).await;
    }

    /// Evacuates a data centre, or undoes that.
    pub(crate) async fn evacuate(&self, data_centre: usize, is_evacuated: bool) {
        let count = self.evacuated.get();
        self.evacuated.set(match is_evacuated {
            true => count + 1,
            false => count - 1,
        });
        self.evacuated_at.set(Some(timer::Instant::now()));
        let value = match is_evacuated {
            true => json!({}),
            false => serde_json::Value::Null,
        };
        let key = format!("evacuate/{}", data_centre_name(data_centre));
        self.write(&key, &value).await;
    }

    /// Returns whether a data centre is evacuated, or was so less than `limit` ago: there
    /// may be no room for all tasks.
    pub(crate) fn was_evacuated(&self, limit: time::Duration) -> bool {
        let ended_at = self.evacuated_at.get();
        self.evacuated.get() > 0 || ended_at.is_some_and(|at| at.elapsed() < limit)
    }

    /// Adds a fault. Returns whether it was added: only one machine may fail for good.
    pub(crate) async fn add_fault(&self, fault: &PlatformFault) -> bool {
        let machine = fault.worker.map(|worker| self.machine_number(worker));
        if fault.effect == LOSE {
            if !self.lost.borrow().is_empty() {
                return false;
            }
            let name = machine.map(machine_name).expect("it names a machine");
            self.lost.borrow_mut().insert(name);
        }
        if fault.effect == FAIL_RUNS {
            self.run_failures
                .borrow_mut()
                .push(self.effect_range(fault.ms));
        }
        let (effect, fields) = (fault.effect, &fault.fields);
        let machine = machine.map(|machine| format!(", machine = {machine}"));
        let machine = machine.unwrap_or_default();
        let separator = if fields.is_empty() { "" } else { ", " };
        let text = format!(
            "fault = [{{ effect = \"{effect}\", from-seconds = 0.0{machine}{separator}{fields} }}]"
        );
        self.add_faults(&text).await;
        true
    }

    /// Adds faults in the platform's format, whose times count from now.
    pub(crate) async fn add_faults(&self, text: &str) {
        self.call("POST", "/stand-in/faults", text).await;
    }

    /// Lets the worker of a machine drain and leave.
    pub(crate) async fn drain_worker(&self, worker: usize) {
        self.drains.borrow_mut().push(self.effect_range(DRAIN_MS));
        let fault = PlatformFault {
            effect: "drain",
            worker: Some(worker),
            fields: format!("down-ms = {DRAIN_MS}"),
            ms: DRAIN_MS,
        };
        self.add_fault(&fault).await;
    }

    /// Returns the times in which a fault that begins now, and lasts for `ms`, may have
    /// an effect.
    fn effect_range(&self, ms: u64) -> ops::Range<f64> {
        let begun = self.started_at.elapsed().as_secs_f64() * 1_000.0;
        begun..begun + ms as f64 + EFFECT_MS
    }

    /// Returns whether a worker may have left at a time of the soak.
    pub(crate) fn may_have_left(&self, at_ms: f64) -> bool {
        let drains = self.drains.borrow();
        drains.iter().any(|range| range.contains(&at_ms))
    }

    /// Returns whether a run that started at a time of the soak may fail.
    pub(crate) fn may_fail(&self, started_ms: f64) -> bool {
        let failures = self.run_failures.borrow();
        failures.iter().any(|range| range.contains(&started_ms))
    }

    /// Returns the number of a machine in use.
    pub(crate) fn machine_number(&self, choice: usize) -> usize {
        choice % self.machines + 1
    }

    pub(crate) fn is_lost(&self, machine: &str) -> bool {
        self.lost.borrow().contains(machine)
    }
}

/// Returns the name of a data centre by its number, from 0.
pub(crate) fn data_centre_name(number: usize) -> String {
    format!("zone-{}", number + 1)
}

fn machine_name(number: usize) -> String {
    format!("machine-{number}")
}

/// Returns the path of the platform's program, which is built beside the one under
/// test.
fn program() -> PathBuf {
    let built = Path::new(env!("CARGO_BIN_EXE_redwinglb")).with_file_name("redwingctl");
    let program = env::var_os(PLATFORM_VARIABLE).map_or(built, PathBuf::from);
    let name = program.display();
    assert!(
        program.exists(),
        "{name} is missing: cargo build --bin redwingctl"
    );
    program
}
