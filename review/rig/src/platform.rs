//! The platform: table, machines and registrations.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::clock;
use crate::http::{self, Reply, Request};
use crate::record::Record;
use crate::table::Table;
use crate::worker::Worker;

/// Interval at which workers register (`heartbeatMs`).
pub const HEARTBEAT_MS: u64 = 1_500;

/// Time of silence after which an entry is removed: three intervals.
const SILENCE_MS: u64 = 3 * HEARTBEAT_MS;

/// Time for which a machine is down for its upkeep (`maintenanceS`).
const UPKEEP_MS: u64 = 2_000;

#[derive(Default)]
struct MachineState {
    fence: u64,
    /// Until when it is down for its upkeep.
    upkeep_until: Option<u64>,
    /// Waves of which it has begun its upkeep.
    waves: BTreeSet<u64>,
}

struct Machine {
    worker: Arc<Worker>,
    state: Mutex<MachineState>,
}

/// The platform with its workers.
pub struct Platform {
    pub table: Arc<Table>,
    pub address: SocketAddr,
    machines: Arc<Vec<Machine>>,
    /// Whether calls for machines get no answer and have no effect.
    is_cloud_silent: Arc<AtomicBool>,
}

impl Platform {
    /// Starts the platform.
    pub fn start(workers: &[Arc<Worker>], record: &Arc<Record>) -> Self {
        let table = Arc::new(Table::default());
        let machines = workers.iter().map(|worker| Machine {
            worker: Arc::clone(worker),
            state: Mutex::default(),
        });
        let machines: Arc<Vec<Machine>> = Arc::new(machines.collect());
        let is_cloud_silent = Arc::new(AtomicBool::new(false));
        let service = CloudService {
            machines: Arc::clone(&machines),
            table: Arc::clone(&table),
            record: Arc::clone(record),
            is_silent: Arc::clone(&is_cloud_silent),
        };
        let served = Arc::clone(&table);
        let address = http::serve(Arc::new(move |request| {
            served
                .handle(request)
                .unwrap_or_else(|| service.handle(request))
        }));
        for machine in 0..machines.len() {
            let (machines, table) = (Arc::clone(&machines), Arc::clone(&table));
            thread::spawn(move || register(&machines[machine].worker, &table));
        }
        Self {
            table,
            address,
            machines,
            is_cloud_silent,
        }
    }

    /// Makes the calls for machines go unanswered, or ends that.
    pub fn set_cloud_silent(&self, is_silent: bool) {
        self.is_cloud_silent.store(is_silent, Ordering::SeqCst);
    }

    /// Returns the names of all machines.
    pub fn machine_names(&self) -> Vec<String> {
        let machines = self.machines.iter();
        machines
            .map(|machine| machine.worker.machine.clone())
            .collect()
    }
}

/// Writes the entry of a worker at each interval, and removes it after silence.
fn register(worker: &Worker, table: &Table) {
    let (mut seq, mut written, mut born) = (0, None, 0);
    loop {
        let now = clock::now_ms();
        match worker.entry(seq) {
            Some(entry) => {
                let is_due = written.is_none_or(|at| now - at >= HEARTBEAT_MS);
                if is_due || entry["born"] != born {
                    born = entry["born"].as_u64().unwrap_or(0);
                    table.write("servers", &worker.id, Some(&entry));
                    seq += 1;
                    written = Some(now);
                }
            }
            None if written.is_some_and(|at| now - at >= SILENCE_MS) => {
                table.write("servers", &worker.id, None);
                written = None;
            }
            None => {}
        }
        thread::sleep(Duration::from_millis(20));
    }
}

struct CloudService {
    machines: Arc<Vec<Machine>>,
    table: Arc<Table>,
    record: Arc<Record>,
    is_silent: Arc<AtomicBool>,
}

impl CloudService {
    fn handle(&self, request: &Request) -> Reply {
        if self.is_silent.load(Ordering::SeqCst) {
            while self.is_silent.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(10));
            }
            return Reply::Close;
        }
        thread::sleep(Duration::from_millis(4));
        match request.path.as_str() {
            "/machines" => self.list(),
            "/machine-upkeep" => self.begin_upkeep(request),
            _ => Reply::Send(404, "{}".to_owned()),
        }
    }

    fn list(&self) -> Reply {
        let machines = self.machines.iter().map(|machine| {
            let worker = &machine.worker;
            let shape = &worker.shape;
            let is_up = worker.is_up();
            let mut listed = json!({
                "machine": worker.machine, "pool": shape.service, "zone": shape.zone,
                "state": if is_up { "up" } else { "upkeep" }, "labels": shape.labels,
                "capacity": {"cpu": shape.cpu, "memMb": shape.mem_mb, "gpu": 0},
            });
            if is_up {
                listed["id"] = json!(worker.id);
            }
            listed
        });
        let machines: Vec<Value> = machines.collect();
        Reply::Send(
            200,
            json!({"machines": machines, "nextToken": null}).to_string(),
        )
    }

    fn begin_upkeep(&self, request: &Request) -> Reply {
        let body = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let wave = body["wave"].as_u64().unwrap_or(0);
        let named = |machine: &&Machine| body["machine"] == machine.worker.machine.as_str();
        let Some(machine) = self.machines.iter().find(named) else {
            return Reply::Send(400, "{}".to_owned());
        };
        let refused = |reason: &str| Reply::Send(409, json!({"reason": reason}).to_string());
        let fence = request.headers.get("fencing-token");
        let fence = fence.and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut state = machine
            .state
            .lock()
            .expect("no thread panics with the lock");
        if fence < state.fence {
            return refused("fence");
        }
        state.fence = fence;
        let request = self
            .table
            .read("op", &format!("wave/{wave}"))
            .unwrap_or(Value::Null);
        let mut names = request["machines"].as_array().into_iter().flatten();
        if !names.any(|name| *name == machine.worker.machine.as_str()) {
            return refused("wave");
        }
        if state.waves.contains(&wave) {
            return Reply::Send(200, "{}".to_owned());
        }
        if state.upkeep_until.is_some() {
            return refused("busy");
        }
        state.waves.insert(wave);
        state.upkeep_until = Some(clock::now_ms() + UPKEEP_MS);
        let name = &machine.worker.machine;
        self.record.line(&format!(
            "upkeep of {name} begins, with worker {}",
            machine.worker.id
        ));
        machine.worker.end_life("upkeep");
        drop(state);
        let machines = Arc::clone(&self.machines);
        let index = machines
            .iter()
            .position(|other| other.worker.machine == *name);
        let record = Arc::clone(&self.record);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(UPKEEP_MS));
            let machine = &machines[index.unwrap_or(0)];
            machine.worker.begin_life();
            let state = machine.state.lock();
            state.expect("no thread panics with the lock").upkeep_until = None;
            let worker = &machine.worker;
            record.line(&format!(
                "upkeep of {} ends; worker {} joins",
                worker.machine, worker.id
            ));
        });
        Reply::Send(200, "{}".to_owned())
    }
}
