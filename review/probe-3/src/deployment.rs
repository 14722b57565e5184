//! Stand-in platform with entry processes, each a process of its own.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{self, KEY, Response};
use crate::{Case, Failure};

/// Time limit of a call to the platform.
const PLATFORM_LIMIT: Duration = Duration::from_secs(5);

/// Time limit of a caller.
const CALLER_LIMIT: Duration = Duration::from_secs(3);

/// Name of the queue that the cases use; its workers do not guard their capacity.
pub const QUEUE: &str = "annex";

/// Entry process.
struct Entry {
    settings: PathBuf,
    callers: SocketAddr,
    child: Option<Child>,
}

/// Run of a subtask, as its worker saw it.
#[derive(Clone, Debug)]
pub struct Run {
    /// Name of the subtask.
    pub task: String,
    /// Number of the run.
    pub run: u64,
    /// Worker.
    pub worker: String,
    /// Machine of the worker.
    pub machine: String,
    /// Start, in milliseconds on the platform's clock.
    pub started: f64,
    /// End.
    pub ended: Option<f64>,
    /// How it ended.
    pub how: Option<String>,
    /// When its end was taken note of.
    pub noted: Option<f64>,
}

impl Run {
    /// Returns whether the run was in progress at a time.
    pub fn is_active_at(&self, at: f64) -> bool {
        self.started <= at && self.ended.is_none_or(|ended| ended > at)
    }
}

/// Running deployment; its processes end with it.
pub struct Deployment {
    programs: PathBuf,
    directory: PathBuf,
    platform: Child,
    address: SocketAddr,
    entries: Vec<Entry>,
    has_standby: bool,
}

impl Deployment {
    /// Starts the platform with so many workers in each pool, and the entry processes.
    pub fn start(case: &mut Case, processes: u32, workers: u32) -> Result<Self, Failure> {
        Self::start_with_spares(case, processes, workers, 0)
    }

    /// Starts as [`Deployment::start`] does, with so many machines in a pool on standby.
    pub fn start_with_spares(
        case: &mut Case,
        processes: u32,
        workers: u32,
        spares: u32,
    ) -> Result<Self, Failure> {
        let directory = std::env::temp_dir().join(format!("probe-3-{}", std::process::id()));
        fs::create_dir_all(&directory).map_err(|error| error.to_string())?;
        let mut platform = Command::new(case.programs.join("redwingctl"))
            .args([
                "platform",
                "--listen",
                "127.0.0.1:0",
                "--max-lease-ms",
                "10000",
            ])
            .args(["--processes", &processes.to_string()])
            .args(["--workers", &workers.to_string()])
            .args(["--racks", &workers.div_ceil(4).to_string()])
            .args(["--spares", &spares.to_string()])
            .arg("--settings-dir")
            .arg(&directory)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|error| format!("start the platform: {error}"))?;
        let output = platform.stdout.take().ok_or("the platform has no output")?;
        let mut address = None;
        let mut entries = Vec::new();
        for line in BufReader::new(output).lines() {
            let line = line.map_err(|error| error.to_string())?;
            let words: Vec<&str> = line.split_whitespace().collect();
            match words.as_slice() {
                ["platform", url] => address = parse_url(url),
                ["process", _, "settings", path, "callers", callers, ..] => entries.push(Entry {
                    settings: PathBuf::from(path),
                    callers: parse_url(callers).ok_or("no address for callers")?,
                    child: None,
                }),
                ["curl", ..] if entries.len() == processes as usize => break,
                _ => {}
            }
        }
        let mut deployment = Self {
            programs: case.programs.clone(),
            directory,
            platform,
            address: address.ok_or("the platform did not start")?,
            entries,
            has_standby: spares > 0,
        };
        case.record.note(&format!(
            "platform with {workers} workers a pool and {processes} entry processes"
        ));
        deployment.set_manifest(0, true)?;
        for index in 0..processes as usize {
            deployment.start_entry(index)?;
        }
        deployment.wait_until("an owner is chosen", |deployment| {
            deployment.owner().is_some()
        })?;
        deployment.wait_until("jobs are accepted", |deployment| {
            (0..processes as usize).all(|index| deployment.is_serving(index))
        })?;
        thread::sleep(Duration::from_secs(2));
        Ok(deployment)
    }

    fn is_serving(&self, index: usize) -> bool {
        let response = self.call(index, "GET", "0000000000000000", "");
        response.is_ok_and(|response| response.status == 410)
    }

    /// Starts an entry process.
    pub fn start_entry(&mut self, index: usize) -> Result<(), Failure> {
        let entry = &mut self.entries[index];
        let log = fs::File::create(self.directory.join(format!("entry-{index}.log")));
        let log = log.map_err(|error| error.to_string())?;
        let child = Command::new(self.programs.join("redwinglb"))
            .args(["jobs", "--job-platform", "deployed"])
            .env("REDWINGLB_BOOT", &entry.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .map_err(|error| format!("start an entry process: {error}"))?;
        entry.child = Some(child);
        Ok(())
    }

    /// Kills an entry process.
    pub fn kill(&mut self, index: usize) -> Result<(), Failure> {
        let child = self.entries[index]
            .child
            .as_mut()
            .ok_or("it does not run")?;
        child.kill().map_err(|error| error.to_string())?;
        child.wait().map_err(|error| error.to_string())?;
        Ok(())
    }

    /// Returns the number of the process that owns the scheduling, from 0.
    pub fn owner(&self) -> Option<usize> {
        let path = "/rows-get?table=owner&part=&startKey=jobs&target=jobs~&limit=1";
        let response = http::call(self.address, "GET", path, "", PLATFORM_LIMIT).ok()?;
        let rows: Value = serde_json::from_str(&response.body).ok()?;
        let row = rows["rows"].as_array()?.first()?;
        let record: Value = serde_json::from_slice(&decode(row["value"].as_str()?)?).ok()?;
        if record["released"].as_bool()? {
            return None;
        }
        let number: usize = record["node"]
            .as_str()?
            .strip_prefix("process-")?
            .parse()
            .ok()?;
        number.checked_sub(1)
    }

    /// Writes a manifest. The first customer may have `max_cpu` running (thousandths of a
    /// core; 0 for no limit); `has_queue` tells whether the queue of the cases exists.
    pub fn set_manifest(&mut self, max_cpu: u64, has_queue: bool) -> Result<u64, Failure> {
        let version = self.version()? + 7;
        let route = |name: &str, service: &str| {
            json!({
                "name": name, "host": "", "pathPrefix": format!("/{name}/"),
                "service": service, "priority": 1, "maxAttempts": 3, "stretch": 4.0,
                "targetCompletionMs": 20_000,
            })
        };
        let mut routes = vec![route("batch", "workers")];
        routes.extend(has_queue.then(|| route(QUEUE, "annex")));
        let service = |name: &str, is_guarded: bool, is_standby: bool| json!({"name": name, "enforcesCapacity": is_guarded, "standby": is_standby});
        let mut services = vec![
            service("workers", true, false),
            service("annex", false, false),
        ];
        services.extend(self.has_standby.then(|| service("standby", false, true)));
        let manifest = json!({
            "version": version,
            "routes": routes,
            "services": services,
            "tenants": [{
                "name": "inspectors", "apiKeys": [KEY], "weight": 1.0,
                "maxCount": {"cpu": max_cpu, "memMb": 0, "gpu": 0},
            }],
            "limits": {},
        });
        let body = json!({"key": "config", "value": manifest}).to_string();
        self.platform_call("POST", "/stand-in/operator", &body)?;
        Ok(version)
    }

    fn version(&self) -> Result<u64, Failure> {
        let path = "/rows-get?table=op&part=&startKey=config&target=config~&limit=1";
        let response = self.platform_call("GET", path, "")?;
        let rows: Value =
            serde_json::from_str(&response.body).map_err(|error| error.to_string())?;
        let value = rows["rows"][0]["value"].as_str().and_then(decode);
        let value = value.ok_or("there is no manifest")?;
        let manifest: Value = serde_json::from_slice(&value).map_err(|error| error.to_string())?;
        manifest["version"]
            .as_u64()
            .ok_or_else(|| "no version".to_owned())
    }

    /// Adds faults of the platform, whose times count from now.
    pub fn add_faults(&self, text: &str) -> Result<(), Failure> {
        let response = self.platform_call("POST", "/stand-in/faults", text)?;
        match response.status {
            200 => Ok(()),
            _ => Err(response.body),
        }
    }

    fn platform_call(&self, method: &str, path: &str, body: &str) -> Result<Response, Failure> {
        http::call(self.address, method, path, body, PLATFORM_LIMIT)
    }

    /// Sends a caller's request for a job of the queue to an entry process.
    pub fn call(
        &self,
        index: usize,
        method: &str,
        id: &str,
        body: &str,
    ) -> Result<Response, Failure> {
        self.call_within(index, method, id, body, CALLER_LIMIT)
    }

    /// Sends a caller's request; the caller leaves after `limit`.
    pub fn call_within(
        &self,
        index: usize,
        method: &str,
        id: &str,
        body: &str,
        limit: Duration,
    ) -> Result<Response, Failure> {
        let path = format!("/{QUEUE}/{id}");
        http::call(self.entries[index].callers, method, &path, body, limit)
    }

    /// Returns the number of entry processes.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Submits a job that has to be accepted.
    pub fn submit(
        &self,
        case: &mut Case,
        index: usize,
        id: &str,
        body: &str,
    ) -> Result<(), Failure> {
        let response = self.call(index, "POST", id, body)?;
        case.record.note(&format!(
            "POST {id} {body} at process {}: {}",
            index + 1,
            response.status
        ));
        match response.status {
            200 => Ok(()),
            status => Err(format!("the job {id} got {status}: {}", response.body)),
        }
    }

    /// Returns the state that a process shows of a job.
    pub fn state(&self, index: usize, id: &str) -> Option<String> {
        let response = self.call(index, "GET", id, "").ok()?;
        let body: Value = serde_json::from_str(&response.body).ok()?;
        body["state"].as_str().map(str::to_owned)
    }

    /// Returns all runs so far, in the order of their starts.
    pub fn runs(&self) -> Result<Vec<Run>, Failure> {
        let response = self.platform_call("GET", "/stand-in/state", "")?;
        let state: Value =
            serde_json::from_str(&response.body).map_err(|error| error.to_string())?;
        let tasks = state["tasks"].as_object().ok_or("no tasks")?;
        let mut runs = Vec::new();
        for (task, entry) in tasks {
            for run in entry["runs"].as_array().into_iter().flatten() {
                runs.push(Run {
                    task: task.clone(),
                    run: run["run"].as_u64().unwrap_or(0),
                    worker: text(&run["worker"]),
                    machine: text(&run["machine"]),
                    started: run["startedMs"].as_f64().unwrap_or(0.0),
                    ended: run["endedMs"].as_f64(),
                    how: run["how"].as_str().map(str::to_owned),
                    noted: run["notedMs"].as_f64(),
                });
            }
        }
        runs.sort_by(|one, other| one.started.total_cmp(&other.started));
        Ok(runs)
    }

    /// Returns the machines that are up in a pool, with their racks.
    pub fn machines(&self, pool: &str) -> Result<Vec<(String, String)>, Failure> {
        let response = self.platform_call("GET", "/stand-in/state", "")?;
        let state: Value =
            serde_json::from_str(&response.body).map_err(|error| error.to_string())?;
        let machines = state["machines"].as_array().ok_or("no machines")?;
        let machines = machines.iter().filter(|machine| machine["pool"] == pool);
        let named =
            machines.map(|machine| (text(&machine["machine"]), text(&machine["labels"][1])));
        Ok(named.collect())
    }

    /// Returns the time on the platform's clock, in milliseconds.
    pub fn now_ms(&self) -> Result<f64, Failure> {
        let response = self.platform_call("GET", "/stand-in/state", "")?;
        let state: Value =
            serde_json::from_str(&response.body).map_err(|error| error.to_string())?;
        state["nowMs"].as_f64().ok_or_else(|| "no time".to_owned())
    }

    /// Notes all runs in the record.
    pub fn record_runs(&self, case: &mut Case) -> Result<Vec<Run>, Failure> {
        let runs = self.runs()?;
        for run in &runs {
            let millis =
                |at: Option<f64>| at.map_or_else(|| "-".to_owned(), |at| format!("{at:.0}"));
            case.record.note(&format!(
                "run {} of {} on {} of {}: started {:.0}, ended {} ({}), noted {}",
                run.run,
                run.task,
                run.worker,
                run.machine,
                run.started,
                millis(run.ended),
                run.how.as_deref().unwrap_or("-"),
                millis(run.noted),
            ));
        }
        Ok(runs)
    }

    /// Waits until `condition` holds, for at most 20 s.
    pub fn wait_until(&self, what: &str, condition: impl Fn(&Self) -> bool) -> Result<(), Failure> {
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(20) {
            if condition(self) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(format!("not in time: {what}"))
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let children = self
            .entries
            .iter_mut()
            .filter_map(|entry| entry.child.as_mut());
        for child in children.chain([&mut self.platform]) {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

fn parse_url(url: &str) -> Option<SocketAddr> {
    url.strip_prefix("http://")?.parse().ok()
}

/// Decodes base64.
fn decode(text: &str) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut buffer = 0_u32;
    let mut bits = 0;
    for character in text.bytes().filter(|byte| *byte != b'=') {
        let digit = match character {
            b'A'..=b'Z' => character - b'A',
            b'a'..=b'z' => character - b'a' + 26,
            b'0'..=b'9' => character - b'0' + 52,
            b'+' => 62,
            b'/' => 63,
            _ => return None,
        };
        buffer = buffer << 6 | u32::from(digit);
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((buffer >> bits) as u8);
            buffer &= (1 << bits) - 1;
        }
    }
    Some(bytes)
}
