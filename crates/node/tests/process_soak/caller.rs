//! Callers that keep their connections open and use them until they close.

use std::cell;
use std::rc;
use std::time;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::TcpStream;
use tokio::task;
use tokio::time as timer;

use crate::cluster::{self, ServingProcess, SoakCluster};
use crate::job::{self, CalledJob, JobSize, ShownState, Submission};
use crate::wire::{self, CallFailure, WireRequest, WireResponse};

/// Time after which a call without a response has failed.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(8);

/// Longest time for which a submission with an unknown outcome is repeated.
const SUBMIT_LIMIT: time::Duration = time::Duration::from_secs(30);

/// Number of callers that submit the jobs of a burst.
const BURST_CALLERS: u32 = 32;

/// Number of the first caller of the first burst; lower ones are those that stay.
const FIRST_BURST_CALLER: u32 = 0x1000;

/// Largest number of jobs of long tasks that are submitted at once.
const MAX_BURST_JOBS: u32 = 0x200;

/// Number of the caller whose tasks outlive the longest lease.
const LASTING_CALLER: u32 = 0xf00;

/// Least age of the accepted jobs that a number of pending jobs has to count.
const PENDING_AGE: time::Duration = time::Duration::from_secs(5);

/// Id of a job that nobody submits.
const UNKNOWN_JOB: &str = "ffffffffffffffff";

/// Open connection to one start of a process.
struct CallerConnection {
    process: ServingProcess,
    opened_at: timer::Instant,
    stream: TcpStream,
}

/// Result of a call.
#[derive(Debug)]
enum CallOutcome {
    Response(WireResponse),
    /// The connection was cut by the soak; the request may have been received.
    Cut,
    /// A stopping process closed the connection without a response.
    Unanswered,
    /// The connection ended for no reason that the soak knows.
    Failed,
    /// No process serves callers.
    NoProcess,
}

/// Running callers.
pub(crate) struct SoakCallers {
    is_stopping: rc::Rc<cell::Cell<bool>>,
    tasks: Vec<task::JoinHandle<()>>,
}

impl SoakCallers {
    /// Starts the callers: eight, and one more for each four processes.
    pub(crate) fn start(cluster: &rc::Rc<SoakCluster>, seed: u64) -> Self {
        let is_stopping = rc::Rc::new(cell::Cell::new(false));
        let tasks = (0..8 + cluster.processes() / 4).map(|number| {
            let caller = SoakCaller::new(cluster, seed, number as u32);
            task::spawn_local(caller.run(rc::Rc::clone(&is_stopping)))
        });
        Self {
            tasks: tasks.collect(),
            is_stopping,
        }
    }

    pub(crate) async fn stop(self) {
        self.is_stopping.set(true);
        for task in self.tasks {
            task.await.expect("the caller ends");
        }
    }
}

struct SoakCaller {
    cluster: rc::Rc<SoakCluster>,
    rng: StdRng,
    connection: Option<CallerConnection>,
    /// First half of the ids of this caller's jobs.
    prefix: String,
    submitted: u32,
}

/// Submits many wide jobs at once.
pub(crate) async fn submit_burst(cluster: &rc::Rc<SoakCluster>, seed: u64, burst: u32, jobs: u32) {
    let callers = (0..BURST_CALLERS).map(async |index| {
        let number = FIRST_BURST_CALLER + burst * BURST_CALLERS + index;
        let mut caller = SoakCaller::new(cluster, seed, number);
        for _ in 0..jobs.div_ceil(BURST_CALLERS) {
            caller.submit(JobSize::Wide).await;
        }
    });
    futures_util::future::join_all(callers).await;
}

/// Submits jobs whose tasks outlive the longest lease, about `tasks` of them, and others as
/// these end if they are to be `renewed`; cancels them once `is_over`.
pub(crate) async fn submit_lasting(
    cluster: rc::Rc<SoakCluster>,
    seed: u64,
    (tasks, renewed): (u32, bool),
    is_over: rc::Rc<cell::Cell<bool>>,
) {
    let mut caller = SoakCaller::new(&cluster, seed, LASTING_CALLER);
    let jobs = tasks.div_ceil(job::LASTING_TASKS);
    for _ in 0..jobs {
        caller.submit(JobSize::Lasting).await;
    }
    while !is_over.get() {
        timer::sleep(job::LASTING_TIME / jobs).await;
        if renewed {
            caller.submit(JobSize::Lasting).await;
        }
    }
    let jobs = cluster.ledger.snapshot();
    for (id, job) in jobs.iter().filter(|(_, job)| job.is_lasting()) {
        caller.cancel(id, job).await;
    }
}

/// Submits at once about `tasks` tasks that outlive the longest lease.
pub(crate) async fn burst_lasting(
    cluster: &rc::Rc<SoakCluster>,
    seed: u64,
    burst: u32,
    tasks: u32,
) {
    let callers = (0..tasks.div_ceil(job::LASTING_TASKS)).map(async |index| {
        let number = FIRST_BURST_CALLER + burst * MAX_BURST_JOBS + index;
        let mut caller = SoakCaller::new(cluster, seed, number);
        caller.submit(JobSize::Lasting).await;
    });
    futures_util::future::join_all(callers).await;
}

impl SoakCaller {
    fn new(cluster: &rc::Rc<SoakCluster>, seed: u64, number: u32) -> Self {
        Self {
            cluster: rc::Rc::clone(cluster),
            rng: StdRng::seed_from_u64(seed * 100_000 + u64::from(number)),
            connection: None,
            prefix: format!("{:04x}{number:04x}", seed & 0xffff),
            submitted: 0,
        }
    }

    async fn run(mut self, is_stopping: rc::Rc<cell::Cell<bool>>) {
        while !is_stopping.get() {
            let pause = time::Duration::from_millis(self.rng.random_range(20..500));
            timer::sleep(pause).await;
            let drawn = self.cluster.ledger.draw(&mut self.rng);
            match (self.rng.random_range(0..100), drawn) {
                (0..6, Some((id, job))) => self.cancel(&id, &job).await,
                (6..60, Some((id, job))) => self.read(&id, &job).await,
                (60..62, Some((_, job))) => self.read_unknown(&job).await,
                (62..65, Some((_, job))) => self.read_pending(&job).await,
                _ => self.submit(JobSize::Usual).await,
            }
        }
    }

    /// Calls on the open connection, or on a new one to a random process.
    async fn call(&mut self, method: &str, id: &str, job: &CalledJob) -> CallOutcome {
        let end = timer::Instant::now() + CALL_TIMEOUT;
        while self.connection.is_none() {
            let serving = self.cluster.serving();
            if serving.is_empty() || timer::Instant::now() > end {
                timer::sleep(time::Duration::from_millis(50)).await;
                return CallOutcome::NoProcess;
            }
            let process = serving[self.rng.random_range(0..serving.len())];
            let opened_at = timer::Instant::now();
            let connected = TcpStream::connect(process.address).await.ok();
            self.connection = connected.map(|stream| CallerConnection {
                process,
                opened_at,
                stream,
            });
        }
        let Some(mut connection) = self.connection.take() else {
            return CallOutcome::NoProcess;
        };
        let sent_at = timer::Instant::now();
        let path = format!("{}{id}", job.queue.path_prefix);
        let request = WireRequest {
            method,
            path: &path,
            host: &job.queue.host,
            key: &job.tenant.key,
            body: if method == "POST" { &job.body } else { "" },
        };
        let result = wire::call(&mut connection.stream, request, CALL_TIMEOUT).await;
        let status = result.as_ref().map_or(0, |response| response.status);
        self.cluster.count_call(method, status);
        let process = connection.process;
        let opened_at = connection.opened_at;
        match result {
            Ok(response) => {
                self.connection = response.is_open.then_some(connection);
                CallOutcome::Response(response)
            }
            Err(_) if self.cluster.is_cut(process, opened_at, sent_at) => CallOutcome::Cut,
            Err(CallFailure::Closed(0)) if self.cluster.is_stopping(process) => {
                CallOutcome::Unanswered
            }
            Err(failure) => {
                let name = cluster::entry_name(process.node);
                let what = format!("{method} on {name}: {failure}");
                self.cluster.fail(&what, id);
                CallOutcome::Failed
            }
        }
    }

    async fn submit(&mut self, size: JobSize) {
        self.submitted += 1;
        let id = format!("{}{:08x}", self.prefix, self.submitted);
        let may_last = self.cluster.ledger.may_last();
        let (queues, tenants) = (&self.cluster.queues, &self.cluster.tenants);
        let job = CalledJob::draw(&mut self.rng, queues, tenants, may_last, size);
        self.cluster.ledger.insert(&id, job.clone());
        let end = timer::Instant::now() + SUBMIT_LIMIT;
        let mut may_be_stored = false;
        while timer::Instant::now() < end {
            let submission = match self.call("POST", &id, &job).await {
                CallOutcome::Response(response) => match response.status {
                    200..300 => Submission::Accepted(timer::Instant::now()),
                    429 | 503 if may_be_stored => Submission::Unknown,
                    429 | 503 => Submission::Refused,
                    502 | 504 => Submission::Unknown,
                    status => {
                        let what = format!("submission answered {status}: {}", response.body);
                        self.cluster.fail(&what, &id);
                        return;
                    }
                },
                CallOutcome::Unanswered if !may_be_stored => Submission::Unanswered,
                CallOutcome::NoProcess if !may_be_stored => Submission::Refused,
                _ => Submission::Unknown,
            };
            self.cluster
                .ledger
                .update(&id, |job| job.submission = submission);
            if submission != Submission::Unknown {
                return;
            }
            may_be_stored = true;
            timer::sleep(time::Duration::from_millis(100)).await;
        }
    }

    async fn read(&mut self, id: &str, job: &CalledJob) {
        let sent_at = timer::Instant::now();
        let CallOutcome::Response(response) = self.call("GET", id, job).await else {
            return;
        };
        check_state(&self.cluster, id, &response, sent_at);
    }

    async fn read_unknown(&mut self, job: &CalledJob) {
        let CallOutcome::Response(response) = self.call("GET", UNKNOWN_JOB, job).await else {
            return;
        };
        let is_excused = self.cluster.is_table_disturbed();
        if response.status != 410 && !(is_excused && response.status == 503) {
            let what = format!("job that nobody submitted: {}", response.status);
            self.cluster.fail(&what, UNKNOWN_JOB);
        }
    }

    /// Reads the number of pending jobs of a queue. It has to count half of those
    /// that were accepted a while ago and have no run even later.
    async fn read_pending(&mut self, job: &CalledJob) {
        let sent_at = timer::Instant::now();
        let CallOutcome::Response(response) = self.call("GET", "", job).await else {
            return;
        };
        let is_excused = self.cluster.is_table_disturbed();
        let is_vacant = self.cluster.is_vacant();
        let jobs = self.cluster.ledger.snapshot();
        let view = self.cluster.platform.later_view().await;
        let body = response.json();
        let pending = body.as_ref().and_then(|body| body["pending"].as_u64());
        let pending = match (response.status, pending) {
            (200, Some(pending)) => pending,
            // Without an owner nobody counts.
            (503, _) if is_excused || is_vacant => return,
            (status, _) => {
                let what = format!("pending jobs answered {status}: {}", response.body);
                return self.cluster.fail(&what, &job.queue.path_prefix);
            }
        };
        let waiting = jobs.iter().filter(|(id, other)| {
            let Submission::Accepted(at) = other.submission else {
                return false;
            };
            let is_old = at + PENDING_AGE < sent_at && other.schedule.is_none();
            let is_same = other.queue.path_prefix == job.queue.path_prefix;
            let has_begun = || view.has_begun(id);
            is_old && is_same && !other.is_cancel_sent && !has_begun()
        });
        let waiting = waiting.count() as u64;
        if !is_excused && pending * 2 < waiting {
            let what = format!("pending jobs are {pending}, but {waiting} wait");
            self.cluster.fail(&what, &job.queue.path_prefix);
        }
    }

    async fn cancel(&mut self, id: &str, job: &CalledJob) {
        self.cluster
            .ledger
            .update(id, |job| job.is_cancel_sent = true);
        let CallOutcome::Response(response) = self.call("DELETE", id, job).await else {
            return;
        };
        let is_excused = self.cluster.is_table_disturbed();
        match response.status {
            200..300 | 410 => {
                let now = timer::Instant::now();
                self.cluster.ledger.update(id, |job| {
                    job.cancelled_at.get_or_insert(now);
                });
            }
            503 | 504 if is_excused => {}
            status => self.cluster.fail(&format!("cancel answered {status}"), id),
        }
    }
}

/// Reads a job once on a new connection to a random process.
pub(crate) async fn read_once(
    cluster: &rc::Rc<SoakCluster>,
    id: &str,
    job: &CalledJob,
    rng: &mut StdRng,
) -> Option<WireResponse> {
    let mut caller = SoakCaller::new(cluster, rng.random_range(0..1_000), 0);
    match caller.call("GET", id, job).await {
        CallOutcome::Response(response) => Some(response),
        _ => None,
    }
}

/// Submits a job on a connection that was opened before, once `until` has passed, and
/// returns the status of the whole response.
pub(crate) async fn submit_late(
    cluster: &rc::Rc<SoakCluster>,
    until: impl Future<Output = ()>,
) -> Option<u16> {
    let mut caller = SoakCaller::new(cluster, 1, 0);
    let (queues, tenants) = (&cluster.queues, &cluster.tenants);
    let job = CalledJob::draw(&mut caller.rng, queues, tenants, false, JobSize::Usual);
    // Opens the connection.
    caller.call("GET", UNKNOWN_JOB, &job).await;
    until.await;
    match caller.call("POST", "00000000000000a1", &job).await {
        CallOutcome::Response(response) => Some(response.status),
        _ => None,
    }
}

/// Checks the response to a read of an accepted job, and keeps its state.
pub(crate) fn check_state(
    cluster: &SoakCluster,
    id: &str,
    response: &WireResponse,
    sent_at: timer::Instant,
) -> Option<ShownState> {
    let is_excused = cluster.is_table_disturbed();
    match response.status {
        200 => {}
        503 if is_excused => return None,
        status => {
            cluster.fail(&format!("state of an accepted job: {status}"), id);
            return None;
        }
    }
    let body = response.json();
    let state = body.as_ref().and_then(|body| body["state"].as_str());
    let Some(state) = state.and_then(ShownState::parse) else {
        cluster.fail(&format!("state is not whole: {}", response.body), id);
        return None;
    };
    let problem = cluster.ledger.update(id, |job| {
        let previous = job.shown;
        job.shown = Some((state, timer::Instant::now()));
        if state == ShownState::Completed {
            job.completed_at.get_or_insert(timer::Instant::now());
        }
        match (state, previous) {
            // Responses whose requests overlap may come in any order.
            (_, Some((earlier, at))) if at <= sent_at && !earlier.may_become(state) => {
                Some(format!("shown as {earlier:?}, later as {state:?}"))
            }
            (ShownState::Completed, _) if job.is_long() => {
                Some("a job that runs until it is cancelled is shown as completed".to_owned())
            }
            (ShownState::Cancelled, _) if !job.is_cancel_sent => {
                Some("shown as cancelled, but nobody cancelled it".to_owned())
            }
            _ => None,
        }
    });
    if let Some(problem) = problem {
        cluster.fail(&problem, id);
    }
    Some(state)
}
