//! Workers, which run subtasks under leases and fence numbers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::clock;
use crate::http::{self, Reply, Request};
use crate::record::{Record, RunKey};

/// Longest lease, in milliseconds on the worker's clock (`maxHoldMs`).
pub const MAX_HOLD_MS: u64 = 10_000;

/// Longest time that a renewal waits for an end.
const MAX_WAIT_MS: u64 = 2_000;

/// Largest number of ends in one list.
const MAX_ENDS: usize = 500;

/// Time that a stop takes; at most `stopTimeoutMs`, which is 200.
const STOP_MS: u64 = 20;

/// Time in which open work advances by one percent.
const OPEN_PERCENT_MS: u64 = 200;

/// Time until a subtask that lasts is at work.
pub const STARTUP_MS: u64 = 300;

/// What a worker has for its subtasks.
#[derive(Clone)]
pub struct WorkerShape {
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem_mb: u64,
    /// Rate of its steady clock; at least 0.98.
    pub clock_rate: f64,
}

struct ActiveRun {
    key: RunKey,
    started_ms: u64,
    span: WorkSpan,
    stop_at: Option<u64>,
}

impl ActiveRun {
    fn is_done(&self, now: u64) -> bool {
        match self.span {
            WorkSpan::Fixed(needed) => (now - self.started_ms) >= needed,
            WorkSpan::Open(offset) => {
                now >= FINISH_MS.load(Ordering::SeqCst).saturating_add(offset)
            }
            WorkSpan::Lasting => false,
        }
    }

    fn percent(&self, now: u64) -> u64 {
        match self.span {
            WorkSpan::Fixed(needed) => ((now - self.started_ms) * 100 / needed.max(1)).min(99),
            WorkSpan::Open(_) => ((now - self.started_ms) / OPEN_PERCENT_MS).min(99),
            WorkSpan::Lasting if now - self.started_ms >= STARTUP_MS => 100,
            WorkSpan::Lasting => 0,
        }
    }
}

/// How long a subtask works.
#[derive(Clone, Copy)]
enum WorkSpan {
    /// For this time.
    Fixed(u64),
    /// Until this time after the one that [`finish_open`] sets.
    Open(u64),
    /// Until its job is cancelled.
    Lasting,
}

/// Time from which open subtasks end.
static FINISH_MS: AtomicU64 = AtomicU64::new(u64::MAX);

/// Lets the subtasks of open work end from `at` on, each at a time of its own.
pub fn finish_open(at: u64) {
    FINISH_MS.store(at, Ordering::SeqCst);
}

struct EndedRun {
    number: u64,
    key: RunKey,
    task: String,
    run: u32,
    how: &'static str,
    has_lapsed: bool,
}

/// One life of a worker.
struct Life {
    born: u64,
    began_ms: u64,
    fence: u64,
    /// End of the lease on the worker's clock.
    lease_end: u64,
    is_lapsed: bool,
    runs: BTreeMap<(String, u32), ActiveRun>,
    ended: Vec<EndedRun>,
    end_count: u64,
    /// Highest run of each subtask that was stopped or has ended.
    closed: BTreeMap<String, u32>,
}

impl Life {
    fn new() -> Self {
        Self {
            born: clock::unix_ms(),
            began_ms: clock::now_ms(),
            fence: 0,
            lease_end: 0,
            is_lapsed: true,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            end_count: 0,
            closed: BTreeMap::new(),
        }
    }
}

struct State {
    /// None while the worker is down.
    life: Option<Life>,
    is_cut: bool,
    /// Whether it answers 400 to all starts and does nothing.
    refuses_starts: bool,
}

/// Worker with its address.
pub struct Worker {
    pub id: String,
    pub machine: String,
    pub shape: WorkerShape,
    pub address: SocketAddr,
    record: Arc<Record>,
    state: Mutex<State>,
    changed: Condvar,
}

impl Worker {
    /// Starts a worker.
    pub fn start(id: &str, machine: &str, shape: WorkerShape, record: &Arc<Record>) -> Arc<Self> {
        Arc::new_cyclic(|worker: &std::sync::Weak<Self>| {
            let handled = worker.clone();
            let address = http::serve(Arc::new(move |request| match handled.upgrade() {
                Some(worker) => worker.handle(request),
                None => Reply::Close,
            }));
            let ticked = worker.clone();
            thread::spawn(move || {
                loop {
                    thread::sleep(Duration::from_millis(2));
                    if let Some(worker) = ticked.upgrade() {
                        worker.advance();
                    }
                }
            });
            Self {
                id: id.to_owned(),
                machine: machine.to_owned(),
                shape,
                address,
                record: Arc::clone(record),
                state: Mutex::new(State {
                    life: Some(Life::new()),
                    is_cut: false,
                    refuses_starts: false,
                }),
                changed: Condvar::new(),
            }
        })
    }

    /// Cuts the worker off, or ends that: until then nothing gets through in either
    /// direction, and it runs on.
    pub fn set_cut(&self, is_cut: bool) {
        self.lock().is_cut = is_cut;
        self.changed.notify_all();
    }

    /// Makes the worker answer 400 to all starts without carrying them out, while its status
    /// check and its lists are good; or ends that.
    pub fn set_refusing(&self, refuses_starts: bool) {
        self.lock().refuses_starts = refuses_starts;
    }

    /// Ends the life of the worker with all that it runs, for the reason `how`.
    pub fn end_life(&self, how: &'static str) {
        let mut state = self.lock();
        if let Some(life) = state.life.take() {
            for run in life.runs.into_values() {
                self.record.end(run.key, how);
            }
        }
        self.changed.notify_all();
    }

    /// Starts the next life under the same id.
    pub fn begin_life(&self) {
        self.lock().life = Some(Life::new());
    }

    /// Returns whether the worker is up.
    pub fn is_up(&self) -> bool {
        self.lock().life.is_some()
    }

    /// Returns the number of its runs.
    pub fn run_count(&self) -> usize {
        let state = self.lock();
        state.life.as_ref().map_or(0, |life| life.runs.len())
    }

    /// Returns what the worker registers; none while it cannot.
    pub fn entry(&self, seq: u64) -> Option<Value> {
        let state = self.lock();
        let life = state.life.as_ref().filter(|_| !state.is_cut)?;
        let shape = &self.shape;
        Some(json!({
            "service": shape.service, "address": self.address.to_string(), "zone": shape.zone,
            "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0, "born": life.born,
            "capacity": {"cpu": shape.cpu, "memMb": shape.mem_mb, "gpu": 0},
            "labels": shape.labels, "machine": self.machine,
            "clockMs": self.clock(life), "seq": seq,
        }))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }

    fn clock(&self, life: &Life) -> u64 {
        ((clock::now_ms() - life.began_ms) as f64 * self.shape.clock_rate) as u64
    }

    fn advance(&self) {
        let mut state = self.lock();
        if let Some(life) = &mut state.life {
            self.advance_life(life);
        }
    }

    /// Ends the runs that are done, stopped or lapsed.
    fn advance_life(&self, life: &mut Life) {
        let now = clock::now_ms();
        let has_lapsed = self.clock(life) >= life.lease_end;
        let mut ends = Vec::new();
        for (name, run) in &life.runs {
            let is_stopped = run.stop_at.is_some_and(|at| now >= at);
            let how = if run.is_done(now) {
                "done"
            } else if is_stopped {
                "stopped"
            } else if has_lapsed {
                "lapsed"
            } else {
                continue;
            };
            ends.push((name.clone(), how));
        }
        for ((task, run), how) in ends {
            self.end_run(life, &task, run, how);
        }
        if has_lapsed && !life.is_lapsed {
            life.is_lapsed = true;
            life.ended.iter_mut().for_each(|end| end.has_lapsed = true);
        }
    }

    fn end_run(&self, life: &mut Life, task: &str, run: u32, how: &'static str) {
        let Some(active) = life.runs.remove(&(task.to_owned(), run)) else {
            return;
        };
        self.record.end(active.key, how);
        close(life, task, run);
        life.end_count += 1;
        life.ended.push(EndedRun {
            number: life.end_count,
            key: active.key,
            task: task.to_owned(),
            run,
            how,
            has_lapsed: false,
        });
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> Reply {
        if self.is_lost() {
            return Reply::Close;
        }
        let body = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let target = request.headers.get("expected-instance");
        if target.is_some_and(|id| *id != self.id) {
            return Reply::Send(421, "{}".to_owned());
        }
        let reply = match request.path.as_str() {
            "/health" => Reply::Send(200, "{}".to_owned()),
            "/run-start" if self.lock().refuses_starts => {
                let task = body["task"].as_str().unwrap_or_default();
                let text = format!("start of {task} at {}: answered 400, not begun", self.id);
                self.record.line(&text);
                Reply::Send(400, "{}".to_owned())
            }
            "/run-start" => self.with_life(&body, |life| self.start_run(life, &body)),
            "/run-stop" => self.with_life(&body, |life| self.stop_run(life, &body)),
            "/pace" => self.with_life(&body, |_| Ok(())),
            "/hold" => self.hold(&body),
            _ => Reply::Send(404, "{}".to_owned()),
        };
        if self.is_lost() {
            return Reply::Close;
        }
        reply
    }

    /// Waits while the worker is cut off; returns whether the connection is lost by that,
    /// or because the worker is down.
    fn is_lost(&self) -> bool {
        let state = self.lock();
        let was_cut = state.is_cut;
        let state = self.changed.wait_while(state, |state| state.is_cut);
        let state = state.expect("no thread panics with the lock");
        was_cut || state.life.is_none()
    }

    /// Carries out an order with a sufficient fence number.
    fn with_life(
        &self,
        body: &Value,
        order: impl FnOnce(&mut Life) -> Result<(), &'static str>,
    ) -> Reply {
        let mut state = self.lock();
        let Some(life) = &mut state.life else {
            return Reply::Close;
        };
        self.advance_life(life);
        let result = check_fence(life, body).and_then(|()| order(life));
        let clock = self.clock(life);
        match result {
            Ok(()) => Reply::Send(
                200,
                json!({"clockMs": clock, "born": life.born}).to_string(),
            ),
            Err(reason) => {
                let answer = json!({"clockMs": clock, "born": life.born, "reason": reason});
                Reply::Send(409, answer.to_string())
            }
        }
    }

    fn start_run(&self, life: &mut Life, body: &Value) -> Result<(), &'static str> {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0) as u32;
        let clock = self.clock(life);
        let deadline = body["deadlineMs"].as_u64().unwrap_or(0);
        if deadline <= clock {
            return Err("late");
        }
        extend_lease(life, deadline, clock);
        if run <= life.closed.get(&task).copied().unwrap_or(0) {
            return Err("old");
        }
        if life.runs.contains_key(&(task.clone(), run)) {
            return Ok(());
        }
        let spec = body["spec"].as_str().unwrap_or_default();
        let key = self.record.start(&task, run, &self.id);
        let active = ActiveRun {
            key,
            started_ms: clock::now_ms(),
            span: work_span(spec, &task).unwrap_or(WorkSpan::Lasting),
            stop_at: None,
        };
        life.runs.insert((task, run), active);
        Ok(())
    }

    fn stop_run(&self, life: &mut Life, body: &Value) -> Result<(), &'static str> {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0) as u32;
        match life.runs.get_mut(&(task.clone(), run)) {
            Some(active) => {
                let stop_at = clock::now_ms() + STOP_MS;
                active.stop_at.get_or_insert(stop_at);
            }
            None => close(life, &task, run),
        }
        Ok(())
    }

    fn hold(&self, body: &Value) -> Reply {
        let wait_ms = body["waitMs"].as_u64().unwrap_or(0).min(MAX_WAIT_MS);
        let mut state = self.lock();
        let Some(life) = &mut state.life else {
            return Reply::Close;
        };
        self.advance_life(life);
        if check_fence(life, body).is_err() {
            let answer = json!({"clockMs": self.clock(life), "born": life.born, "reason": "fence"});
            return Reply::Send(409, answer.to_string());
        }
        let last_seen = body["lastSeen"].as_u64().unwrap_or(0);
        for end in life.ended.iter().filter(|end| end.number <= last_seen) {
            self.record.note(end.key, end.has_lapsed);
        }
        life.ended.retain(|end| end.number > last_seen);
        if let Some(deadline) = body["deadlineMs"].as_u64() {
            let clock = self.clock(life);
            extend_lease(life, deadline, clock);
        }
        let born = life.born;
        let waits = |state: &mut State| {
            let life = state.life.as_ref().filter(|life| life.born == born);
            !state.is_cut && life.is_some_and(|life| life.ended.is_empty())
        };
        let wait = Duration::from_millis(wait_ms);
        let waited = self.changed.wait_timeout_while(state, wait, waits);
        let (mut state, _) = waited.expect("no thread panics with the lock");
        let Some(life) = state.life.as_mut().filter(|life| life.born == born) else {
            return Reply::Close;
        };
        self.advance_life(life);
        Reply::Send(200, self.report(life).to_string())
    }

    fn report(&self, life: &Life) -> Value {
        let now = clock::now_ms();
        let running = life
            .runs
            .iter()
            .map(|((task, run), active)| json!([task, run, "", active.percent(now), 0]));
        let ended = life.ended.iter().take(MAX_ENDS);
        let ended = ended.map(|end| json!([end.number, end.task, end.run, end.how, ""]));
        json!({
            "clockMs": self.clock(life), "born": life.born,
            "running": running.collect::<Vec<_>>(), "ended": ended.collect::<Vec<_>>(),
        })
    }
}

fn close(life: &mut Life, task: &str, run: u32) {
    let closed = life.closed.entry(task.to_owned()).or_default();
    *closed = run.max(*closed);
}

fn check_fence(life: &mut Life, body: &Value) -> Result<(), &'static str> {
    let fence = body["fencingToken"].as_u64().unwrap_or(0);
    if fence < life.fence {
        return Err("fence");
    }
    life.fence = fence;
    Ok(())
}

fn extend_lease(life: &mut Life, deadline: u64, clock: u64) {
    life.lease_end = life.lease_end.max(deadline.min(clock + MAX_HOLD_MS));
    if life.lease_end > clock {
        life.is_lapsed = false;
    }
}

/// Returns how long a subtask works by the payload: `MS+SPREAD` is MS and a part of SPREAD
/// that depends on the name, and `+SPREAD` is open work, which ends within SPREAD; with any
/// other payload the subtask lasts.
fn work_span(spec: &str, task: &str) -> Option<WorkSpan> {
    let (base, spread) = spec.split_once('+')?;
    let digest = task.bytes().fold(17_u64, |digest, byte| {
        digest.wrapping_mul(1_099_511_628_211) ^ u64::from(byte)
    });
    let part = (digest >> 16) % spread.parse::<u64>().ok()?.max(1);
    match base {
        "" => Some(WorkSpan::Open(part)),
        base => Some(WorkSpan::Fixed(base.parse::<u64>().ok()? + part)),
    }
}
