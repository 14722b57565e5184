//! Entry processes of a soak, each behind proxies, and what the checks need.

use std::cell;
use std::collections::BTreeMap;
use std::env;
use std::net;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::time;

use rustix::process::Signal;
use tokio::net::TcpStream;
use tokio::time as timer;

use crate::job::JobLedger;
use crate::platform::{PlatformShape, SoakQueue, SoakTenant, StandinPlatform};
use crate::process::{ProcessCommand, SoakProcess};
use crate::slot::ProcessSlot;
use crate::trace;
use crate::wire::{self, WireRequest};

/// Environment variable that names the program under test.
const PROGRAM_VARIABLE: &str = "SOAK_PROGRAM";

/// Environment variable that holds the path of the settings file of a process.
const SETTINGS_VARIABLE: &str = "REDWINGLB_BOOT";

/// Time after the grace period of a stop in which the process must have exited.
const EXIT_MARGIN: time::Duration = time::Duration::from_secs(2);

/// Time between two looks at a process that is to exit.
const EXIT_POLL: time::Duration = time::Duration::from_millis(20);

/// Longest time from the start of a process until it is ready, without a fault.
const READY_LIMIT: time::Duration = time::Duration::from_secs(20);

/// Time after a fault of the table for which calls may be refused.
const TABLE_RECOVERY: time::Duration = time::Duration::from_secs(4);

/// Time after the start of a process, while no other was there to own the scheduling,
/// in which it may have no counts yet.
const VACANCY_RECOVERY: time::Duration = time::Duration::from_secs(1);

/// Time before an unplanned event in which its effects may be recorded, in
/// milliseconds, as it is noted only when its action has begun.
const AFTERMATH_MS: f64 = 300.0;

/// Number of kinds of failures of a seed of which one is traced.
const MAX_TRACES: usize = 6;

/// Number of failures of a kind that are printed.
const MAX_EXAMPLES: usize = 5;

/// Failures of one kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureGroup {
    pub(crate) count: usize,
    pub(crate) examples: Vec<String>,
}

/// One start of a process that serves callers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServingProcess {
    pub(crate) node: usize,
    pub(crate) start: u32,
    /// Address of the proxy in front of it.
    pub(crate) address: net::SocketAddr,
}

/// Processes under test with what the checks need.
pub(crate) struct SoakCluster {
    pub(crate) directory: PathBuf,
    pub(crate) platform: StandinPlatform,
    pub(crate) queues: Vec<SoakQueue>,
    pub(crate) tenants: Vec<SoakTenant>,
    pub(crate) slots: cell::RefCell<Vec<ProcessSlot>>,
    pub(crate) ledger: JobLedger,
    pub(crate) started_at: timer::Instant,
    pub(crate) began_at: time::SystemTime,
    /// When the latest action began or ended.
    pub(crate) acted_at: cell::Cell<timer::Instant>,
    /// When something unplanned last happened.
    pub(crate) unplanned_at: cell::Cell<timer::Instant>,
    /// All times at which something unplanned happened, in milliseconds of the soak.
    unplanned_ms: cell::RefCell<Vec<f64>>,
    pub(crate) active_faults: cell::Cell<u32>,
    /// When each process was last seen to be stopping or down at the same time.
    vacant_at: cell::Cell<Option<timer::Instant>>,
    /// Failures by their kind.
    pub(crate) failures: cell::RefCell<BTreeMap<String, FailureGroup>>,
    /// Number of calls by method and status; 0 for no whole response.
    calls: cell::RefCell<BTreeMap<(String, u16), u32>>,
}

impl SoakCluster {
    /// Starts the platform and the processes, and waits until all are ready.
    pub(crate) async fn start(directory: &Path, shape: PlatformShape) -> Self {
        let processes = shape.processes;
        let platform = StandinPlatform::start(directory, shape).await;
        let mut slots = Vec::new();
        for (node, settings) in platform.settings_files.iter().enumerate() {
            slots.push(ProcessSlot::new(node, settings, directory).await);
        }
        assert_eq!(slots.len(), processes, "a settings file for each process");
        let now = timer::Instant::now();
        let started_at = platform.started_at;
        let cluster = Self {
            directory: directory.to_owned(),
            queues: platform.queues(),
            tenants: platform.tenants(),
            platform,
            slots: cell::RefCell::new(slots),
            ledger: JobLedger::default(),
            started_at,
            began_at: time::SystemTime::now() - started_at.elapsed(),
            acted_at: cell::Cell::new(now),
            unplanned_at: cell::Cell::new(now),
            unplanned_ms: cell::RefCell::default(),
            active_faults: cell::Cell::new(0),
            vacant_at: cell::Cell::new(None),
            failures: cell::RefCell::default(),
            calls: cell::RefCell::default(),
        };
        let all = (0..processes).map(|node| cluster.start_process(node));
        futures_util::future::join_all(all).await;
        cluster
    }

    pub(crate) fn processes(&self) -> usize {
        self.slots.borrow().len()
    }

    /// Starts the process of a VM and waits until it is ready or gone.
    pub(crate) async fn start_process(&self, node: usize) {
        let (start, ready) = {
            let slot = &mut self.slots.borrow_mut()[node];
            slot.process = Some(SoakProcess::start(&ProcessCommand {
                program: program(),
                arguments: ["jobs", "--job-platform", "deployed"]
                    .map(str::to_owned)
                    .to_vec(),
                environment: vec![(SETTINGS_VARIABLE, slot.settings.clone())],
                log: self.directory.join(entry_name(node) + ".log"),
            }));
            slot.starts += 1;
            slot.is_frozen = false;
            (slot.starts, slot.ready)
        };
        let mut calm_at = timer::Instant::now();
        while self.is_running(node, start) {
            if is_ready(ready).await {
                self.slots.borrow_mut()[node].ready_start = start;
                return;
            }
            if self.is_table_disturbed() || self.slots.borrow()[node].is_frozen {
                calm_at = timer::Instant::now();
            }
            if calm_at.elapsed() > READY_LIMIT {
                let name = entry_name(node);
                return self.fail(&format!("{name} is not ready in {READY_LIMIT:?}"), &name);
            }
            timer::sleep(time::Duration::from_millis(50)).await;
        }
    }

    /// Returns whether this start of a process has neither ended nor been killed.
    fn is_running(&self, node: usize, start: u32) -> bool {
        let slots = self.slots.borrow();
        let slot = &slots[node];
        slot.process.is_some() && slot.starts == start && slot.killed_start < start
    }

    /// Tells the process of a VM to stop and waits until it is gone. Returns whether
    /// the caller is the one who may start it again.
    pub(crate) async fn stop_process(&self, node: usize) -> bool {
        let (limit, was_ready) = {
            let slot = &mut self.slots.borrow_mut()[node];
            let is_stopping = slot.stopping_start == slot.starts;
            let Some(process) = slot.process.as_mut().filter(|_| !is_stopping) else {
                return false;
            };
            process.signal(Signal::TERM);
            slot.stopping_start = slot.starts;
            let was_ready = slot.ready_start == slot.starts;
            (slot.grace_period + EXIT_MARGIN, was_ready)
        };
        let status = self.wait_exit(node, limit).await;
        let was_killed = {
            let slot = &mut self.slots.borrow_mut()[node];
            // Dropped, and thereby killed if it is still there.
            slot.process = None;
            slot.ready_start = 0;
            slot.killed_start == slot.starts
        };
        let name = entry_name(node);
        match status {
            None => self.fail(
                &format!("{name} has not exited {limit:?} after its stop"),
                &name,
            ),
            // Before it is ready, a signal may end it at once.
            Some(status) if !status.success() && was_ready && !was_killed => {
                self.fail(
                    &format!("{name} was stopped and ended with {status}"),
                    &name,
                );
            }
            Some(_) => {}
        }
        true
    }

    /// Waits for the exit of a process; time in which it is frozen does not count.
    async fn wait_exit(&self, node: usize, mut limit: time::Duration) -> Option<ExitStatus> {
        while !limit.is_zero() {
            {
                let slot = &mut self.slots.borrow_mut()[node];
                let status = slot.process.as_mut().and_then(SoakProcess::exit_status);
                if status.is_some() {
                    return status;
                }
                if !slot.is_frozen {
                    limit = limit.saturating_sub(EXIT_POLL);
                }
            }
            timer::sleep(EXIT_POLL).await;
        }
        None
    }

    /// Kills the process of a VM. Returns whether the caller is the one who may start
    /// it again; a stopping process is started again by who stops it.
    pub(crate) fn kill_process(&self, node: usize) -> bool {
        let slot = &mut self.slots.borrow_mut()[node];
        let Some(process) = &mut slot.process else {
            return false;
        };
        process.signal(Signal::KILL);
        slot.killed_start = slot.starts;
        slot.ready_start = 0;
        if slot.stopping_start == slot.starts {
            return false;
        }
        slot.process = None;
        true
    }

    /// Freezes the process of a VM, or continues it.
    pub(crate) fn freeze_process(&self, node: usize, is_frozen: bool) {
        let slot = &mut self.slots.borrow_mut()[node];
        let signal = match is_frozen {
            true => Signal::STOP,
            false => Signal::CONT,
        };
        slot.is_frozen = is_frozen;
        slot.frozen_at = Some(timer::Instant::now());
        if let Some(process) = &mut slot.process {
            process.signal(signal);
        }
    }

    /// Tells the process of a VM that its settings have changed.
    pub(crate) fn reload_process(&self, node: usize) {
        let slot = &mut self.slots.borrow_mut()[node];
        if let Some(process) = &mut slot.process
            // Before it is ready, it may not handle the signal yet.
            && slot.ready_start == slot.starts
        {
            process.signal(Signal::HUP);
        }
    }

    /// Reports processes that ended by themselves, and starts them again.
    pub(crate) async fn watch_processes(&self) {
        for node in 0..self.processes() {
            let ended = {
                let slot = &mut self.slots.borrow_mut()[node];
                let is_stopping = slot.stopping_start == slot.starts;
                let process = slot.process.as_mut().filter(|_| !is_stopping);
                let status = process.and_then(SoakProcess::exit_status);
                if status.is_some() {
                    slot.process = None;
                    slot.ready_start = 0;
                    slot.killed_start = slot.starts;
                }
                status
            };
            if let Some(status) = ended {
                let name = entry_name(node);
                self.fail(&format!("{name} ended by itself: {status}"), &name);
                self.mark_unplanned();
                self.start_process(node).await;
            }
        }
    }

    /// Returns the processes that serve callers.
    pub(crate) fn serving(&self) -> Vec<ServingProcess> {
        let slots = self.slots.borrow();
        let serving = slots
            .iter()
            .enumerate()
            .filter(|(_, slot)| slot.ready_start == slot.starts && slot.killed_start < slot.starts);
        let serving = serving.map(|(node, slot)| ServingProcess {
            node,
            start: slot.starts,
            address: slot.caller_link.address,
        });
        serving.collect()
    }

    /// Returns whether the soak may have cut a connection, or frozen its process, since
    /// it was opened or the call on it was sent.
    pub(crate) fn is_cut(
        &self,
        process: ServingProcess,
        opened_at: timer::Instant,
        sent_at: timer::Instant,
    ) -> bool {
        let slot = &self.slots.borrow()[process.node];
        slot.killed_start >= process.start
            || slot.is_frozen
            || slot.frozen_at.is_some_and(|at| at >= sent_at)
            || slot.caller_link.is_disturbed(opened_at, sent_at)
    }

    /// Returns whether the process was told to stop.
    pub(crate) fn is_stopping(&self, process: ServingProcess) -> bool {
        self.slots.borrow()[process.node].stopping_start >= process.start
    }

    /// Returns whether the table may be out of reach of some process, or was until a
    /// short while ago.
    pub(crate) fn is_table_disturbed(&self) -> bool {
        self.active_faults.get() > 0 || self.unplanned_at.get().elapsed() < TABLE_RECOVERY
    }

    /// Records the time if no process may own the scheduling: a stopping one does not.
    pub(crate) fn watch_vacancy(&self) {
        let mut serving = self.serving().into_iter();
        if serving.all(|process| self.is_stopping(process)) {
            self.vacant_at.set(Some(timer::Instant::now()));
        }
    }

    /// Returns whether no process may own the scheduling, or none might until a short
    /// while ago.
    pub(crate) fn is_vacant(&self) -> bool {
        let vacant_at = self.vacant_at.get();
        vacant_at.is_some_and(|at| at.elapsed() < VACANCY_RECOVERY)
    }

    /// Returns whether enough processes serve callers that one may be removed.
    pub(crate) fn may_remove(&self) -> bool {
        self.serving().len() > self.processes() / 2 + 1
    }

    /// Returns the VM of the owner, if there is one.
    pub(crate) async fn owner_node(&self) -> Option<usize> {
        let name = self.platform.owner().await?;
        (0..self.processes()).find(|node| entry_name(*node) == name)
    }

    pub(crate) fn count_call(&self, method: &str, status: u16) {
        let mut calls = self.calls.borrow_mut();
        *calls.entry((method.to_owned(), status)).or_default() += 1;
    }

    pub(crate) fn print_calls(&self) {
        println!("calls: {:?}", self.calls.borrow());
    }

    /// Records that something unplanned happens now.
    pub(crate) fn mark_unplanned(&self) {
        self.unplanned_at.set(timer::Instant::now());
        let at_ms = self.started_at.elapsed().as_secs_f64() * 1_000.0;
        self.unplanned_ms.borrow_mut().push(at_ms);
    }

    /// Returns whether nothing unplanned happened in `window` before a time, and
    /// shortly after it.
    pub(crate) fn is_calm_at(&self, at_ms: f64, window: time::Duration) -> bool {
        let begun_ms = at_ms - window.as_secs_f64() * 1_000.0;
        let near = begun_ms..at_ms + AFTERMATH_MS;
        let times = self.unplanned_ms.borrow();
        !times.iter().any(|time_ms| near.contains(time_ms))
    }

    /// Records a failure, with a trace if it is one of the first of its kind.
    pub(crate) fn fail(&self, what: &str, subject: &str) {
        let at = self.started_at.elapsed();
        let mut failures = self.failures.borrow_mut();
        let words = what.split_whitespace().filter(|word| {
            let mut letters = word.chars();
            letters.all(|letter| letter.is_alphabetic() || ",:".contains(letter))
        });
        let kind = words.collect::<Vec<_>>().join(" ");
        let kinds = failures.len();
        let entry = failures.entry(kind).or_default();
        entry.count += 1;
        if entry.examples.len() >= MAX_EXAMPLES {
            return;
        }
        let is_traced = entry.examples.is_empty() && kinds < MAX_TRACES;
        let trace = is_traced.then(|| trace::collect(self, subject));
        println!("{at:7.2?} FAILURE {what} ({subject})");
        let trace = trace.unwrap_or_default();
        let example = format!("FAILURE at {at:.1?}: {what} ({subject})\n{trace}");
        entry.examples.push(example);
    }

    /// Ends all processes; those of the platform end when it is dropped.
    pub(crate) fn stop(&self) {
        for node in 0..self.processes() {
            self.kill_process(node);
        }
    }
}

/// Returns the name of a VM in the settings files.
pub(crate) fn entry_name(node: usize) -> String {
    format!("process-{}", node + 1)
}

/// Returns the path of the program under test.
fn program() -> PathBuf {
    let built = env!("CARGO_BIN_EXE_redwinglb");
    env::var_os(PROGRAM_VARIABLE).map_or_else(|| built.into(), PathBuf::from)
}

async fn is_ready(address: net::SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return false;
    };
    let request = WireRequest {
        method: "GET",
        path: "/readiness",
        host: "any",
        key: "",
        body: "",
    };
    let limit = time::Duration::from_secs(1);
    let called = wire::call(&mut stream, request, limit).await;
    called.is_ok_and(|response| response.status == 200)
}
