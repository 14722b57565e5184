//! The processes of the deploy file, and the consumers' calls to them.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::clock;
use crate::http;
use crate::platform::HEARTBEAT_MS;
use crate::record::Record;
use crate::worker::MAX_HOLD_MS;

/// Words of the role's `run` in the deploy file.
const PROGRAM: &str = "target/release/redwinglb";
const ARGUMENTS: [&str; 3] = ["jobs", "--job-platform", "deployed"];

/// Time after which a consumer gives a call up.
const CALL_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Host of the queue.
pub const HOST: &str = "jobs.example";

/// Key of the tenant.
pub const KEY: &str = "tenant-one-key";

/// Started process.
type SharedChild = Arc<Mutex<Child>>;

/// Processes that go on.
static CHILDREN: Mutex<Vec<SharedChild>> = Mutex::new(Vec::new());

/// Kills all processes that were started.
pub fn kill_all() {
    let children = CHILDREN.lock().expect("no thread panics with the lock");
    for child in children.iter() {
        end(child);
    }
}

fn end(child: &SharedChild) {
    let mut child = child.lock().expect("no thread panics with the lock");
    let _ = child.kill();
    let _ = child.wait();
}

/// Process of the system.
struct Process {
    name: String,
    settings: PathBuf,
    front: SocketAddr,
    ready: SocketAddr,
    child: Option<SharedChild>,
}

/// All processes; they end when this is dropped.
pub struct Fleet {
    directory: PathBuf,
    processes: Vec<Process>,
    record: Arc<Record>,
}

/// Ports of the processes: below those that the system gives to outgoing connections.
const FIRST_PORT: u32 = 20_000;
const PORTS: u32 = 10_000;

/// Returns a loopback address with a free port.
fn free_address() -> std::io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(61);
    let mut result = Err(std::io::ErrorKind::AddrInUse.into());
    for _ in 0..PORTS {
        let number = start.wrapping_add(NEXT.fetch_add(1, Ordering::SeqCst));
        let port = FIRST_PORT + number % PORTS;
        result = TcpListener::bind(("127.0.0.1", port as u16)).and_then(|free| free.local_addr());
        if result.is_ok() {
            break;
        }
    }
    result
}

impl Fleet {
    /// Starts `count` processes that use the platform at `platform`.
    pub fn start(
        count: usize,
        platform: SocketAddr,
        record: &Arc<Record>,
    ) -> std::io::Result<Self> {
        let directory = std::env::temp_dir().join(format!("review-rig-{}", std::process::id()));
        fs::create_dir_all(&directory)?;
        let mut fleet = Self {
            directory: directory.clone(),
            processes: Vec::new(),
            record: Arc::clone(record),
        };
        for number in 1..=count {
            let process = Process {
                name: format!("front-{number}"),
                settings: directory.join(format!("front-{number}.toml")),
                front: free_address()?,
                ready: free_address()?,
                child: None,
            };
            fs::write(&process.settings, settings_text(&process, platform))?;
            fleet.processes.push(process);
        }
        for index in 0..count {
            fleet.run(index)?;
        }
        Ok(fleet)
    }

    fn run(&mut self, index: usize) -> std::io::Result<()> {
        let process = &mut self.processes[index];
        let log = self.directory.join(format!("{}.log", process.name));
        let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
        let child = Command::new(PROGRAM)
            .args(ARGUMENTS)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("REDWINGLB_BOOT", &process.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record
            .line(&format!("process {} starts", process.name));
        let child = Arc::new(Mutex::new(child));
        let mut children = CHILDREN.lock().expect("no thread panics with the lock");
        children.push(Arc::clone(&child));
        process.child = Some(child);
        Ok(())
    }

    /// Kills a process by its name.
    pub fn kill(&mut self, name: &str) {
        let process = self
            .processes
            .iter_mut()
            .find(|process| process.name == name);
        if let Some(child) = process.and_then(|process| process.child.take()) {
            end(&child);
            self.record.line(&format!("process {name} is killed"));
        }
    }

    /// Starts a killed process again.
    pub fn restart(&mut self, name: &str) -> std::io::Result<()> {
        match self
            .processes
            .iter()
            .position(|process| process.name == name)
        {
            Some(index) => self.run(index),
            None => Ok(()),
        }
    }

    /// Waits until all processes are ready; returns whether they are.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = clock::now_ms() + limit.as_millis() as u64;
        while clock::now_ms() < end {
            let is_ready = |process: &Process| {
                let reply = http::call(
                    process.ready,
                    "GET",
                    "/readiness",
                    &[("Host", HOST)],
                    "",
                    CALL_TIMEOUT,
                );
                reply.is_some_and(|(status, _)| status == 200)
            };
            if self.processes.iter().all(is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a call of a consumer to the process with this index.
    pub fn call(
        &self,
        index: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let process = &self.processes[index % self.processes.len()];
        let headers = [
            ("Host", HOST),
            ("Key", KEY),
            ("Deadline-Ms", "3000"),
            ("Content-Type", "application/json"),
        ];
        let reply = http::call(process.front, method, path, &headers, body, CALL_TIMEOUT);
        let answer = match &reply {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        self.record
            .line(&format!("{method} {path} to {}: {answer}", process.name));
        reply
    }

    /// Hands a job in, at one process after the other until one accepts it.
    pub fn submit(&self, id: &str, body: &str) -> bool {
        for attempt in 0..8 {
            let path = format!("/reports/{id}");
            if self
                .call(attempt, "POST", &path, body)
                .is_some_and(|(status, _)| status == 200)
            {
                return true;
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Returns the state of a job, as the first process that answers shows it.
    pub fn state(&self, id: &str) -> String {
        for index in 0..self.processes.len() {
            let reply = self.call(index, "GET", &format!("/reports/{id}"), "");
            if let Some((200, body)) = reply {
                return body;
            }
        }
        "not known".to_owned()
    }

    /// Copies the logs of the processes into a directory.
    fn keep_logs(&self, target: &str) {
        let _ = fs::create_dir_all(target);
        for process in &self.processes {
            let name = format!("{}.log", process.name);
            let _ = fs::copy(self.directory.join(&name), format!("{target}/{name}"));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        kill_all();
        if let Ok(target) = std::env::var("RIG_LOGS") {
            self.keep_logs(&target);
        }
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// Returns the settings file of a process, in the platform's format.
fn settings_text(process: &Process, platform: SocketAddr) -> String {
    let Process {
        name, front, ready, ..
    } = process;
    format!(
        r#"node = "{name}"
role = "entry"
class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "zone-a"
region = "region-a"
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = {HEARTBEAT_MS}
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","upkeep"]
controlMode = "request"
[zones]
zone-a = "region-a"
[listen]
front = "{front}"
ready = "{ready}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
[bounds]
stableWindowMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
configApplyMs = 2000
maxHoldMs = {MAX_HOLD_MS}
stopTimeoutMs = 200
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteFactor = 2
checkpointIntervalS = 0.5
restoreMs = 250
noticeMs = 4500
migrateS = 1.5
maintenanceS = 2
fencing = true
leaseMs = 3000
[platform]
address = "{platform}"
form = "table"
writesPerS = 600
readsPerS = 2000
txMs = 3.0
partitionWritesS = 300
rowBytes = 65536
crossShard = true
historyS = 20
[cloud]
address = "{platform}"
ratePerS = 64.0
duties = []
dutyPerS = 64.0
"#
    )
}
