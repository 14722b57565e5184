//! Callers that keep their connections open and use them until they close.

use std::cell;
use std::collections::BTreeMap;
use std::io;
use std::net;
use std::rc;
use std::time;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task;
use tokio::time as timer;

use crate::cluster::SoakCluster;

/// Time after which a call without a response has failed.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Largest number of long-running jobs at a time.
const MAX_LONG: usize = 8;

/// Time after a table fault for which reads may fail.
const READ_RECOVERY: time::Duration = time::Duration::from_secs(4);

/// What the caller knows of a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Submission {
    Accepted(timer::Instant),
    Refused,
    /// It may be stored.
    Unknown,
    /// A stopping process closed the connection without a response.
    Unanswered,
}

/// Job as its caller knows it.
#[derive(Clone, Debug)]
pub(crate) struct CalledJob {
    pub(crate) path: String,
    pub(crate) key: String,
    pub(crate) tasks: u32,
    pub(crate) is_long: bool,
    pub(crate) submission: Submission,
    pub(crate) is_cancel_sent: bool,
    pub(crate) cancelled_at: Option<timer::Instant>,
}

/// All jobs of a soak, by id.
#[derive(Debug, Default)]
pub(crate) struct JobLedger(pub(crate) cell::RefCell<BTreeMap<String, CalledJob>>);

impl JobLedger {
    pub(crate) fn snapshot(&self) -> BTreeMap<String, CalledJob> {
        self.0.borrow().clone()
    }

    fn update(&self, id: &str, change: impl FnOnce(&mut CalledJob)) {
        change(self.0.borrow_mut().get_mut(id).expect("the job is listed"));
    }

    fn long_running(&self) -> usize {
        let jobs = self.0.borrow();
        let long = jobs
            .values()
            .filter(|job| job.is_long && !job.is_cancel_sent);
        long.count()
    }

    /// Returns a random accepted job, half the time one that runs until it is
    /// cancelled.
    fn draw(&self, rng: &mut StdRng) -> Option<(String, CalledJob)> {
        let jobs = self.0.borrow();
        let is_any = rng.random_bool(0.5);
        let is_accepted = |job: &CalledJob| {
            matches!(job.submission, Submission::Accepted(_))
                && (is_any || job.is_long && !job.is_cancel_sent)
        };
        let accepted: Vec<_> = jobs.iter().filter(|(_, job)| is_accepted(job)).collect();
        let (id, job) = accepted.get(rng.random_range(0..accepted.len().max(1)))?;
        Some(((*id).clone(), (*job).clone()))
    }
}

/// Open connection to a process.
pub(crate) struct CallerConnection {
    node: usize,
    start: u32,
    stream: TcpStream,
}

/// Result of a call that got no whole response.
#[derive(Debug)]
pub(crate) enum CallFailure {
    /// The connection ended after this many bytes of the response.
    Closed(usize),
    TimedOut,
}

impl CallerConnection {
    /// Connects to the first process that serves callers.
    pub(crate) async fn open(cluster: &SoakCluster) -> Self {
        let (node, start, address) = cluster.serving()[0];
        let stream = TcpStream::connect(address).await.expect("it listens");
        Self {
            node,
            start,
            stream,
        }
    }

    pub(crate) async fn is_ready(address: net::SocketAddr) -> bool {
        let Ok(stream) = TcpStream::connect(address).await else {
            return false;
        };
        let mut connection = Self {
            node: 0,
            start: 0,
            stream,
        };
        let called = connection.call("GET", "/readyz", "", "").await;
        matches!(called, Ok((200, _)))
    }

    /// Sends a request; returns the status, and whether the connection stays open.
    pub(crate) async fn call(
        &mut self,
        method: &str,
        path: &str,
        key: &str,
        body: &str,
    ) -> Result<(u16, bool), CallFailure> {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: any\r\nauthorization: Bearer {key}\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut received = Vec::new();
        let exchange = self.exchange(request.as_bytes(), &mut received);
        let result = timer::timeout(CALL_TIMEOUT, exchange).await;
        match result {
            Ok(Ok(())) => {
                let text = String::from_utf8_lossy(&received).to_ascii_lowercase();
                let status = text.get(9..12).and_then(|status| status.parse().ok());
                Ok((status.unwrap_or(0), !text.contains("connection: close")))
            }
            Ok(Err(_)) => Err(CallFailure::Closed(received.len())),
            Err(_) => Err(CallFailure::TimedOut),
        }
    }

    async fn exchange(&mut self, request: &[u8], received: &mut Vec<u8>) -> io::Result<()> {
        self.stream.write_all(request).await?;
        while !is_whole(received) {
            if self.stream.read_buf(received).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(())
    }
}

fn is_whole(received: &[u8]) -> bool {
    let text = String::from_utf8_lossy(received).to_ascii_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length: "));
    body.len() >= length.and_then(|length| length.parse().ok()).unwrap_or(0)
}

/// Running callers.
pub(crate) struct SoakCallers {
    is_stopping: rc::Rc<cell::Cell<bool>>,
    tasks: Vec<task::JoinHandle<()>>,
}

impl SoakCallers {
    pub(crate) async fn stop(self) {
        self.is_stopping.set(true);
        for task in self.tasks {
            task.await.expect("the caller ends");
        }
    }
}

/// Starts the callers: eight, and one more for each two processes.
pub(crate) fn start(cluster: &rc::Rc<SoakCluster>, seed: u64) -> SoakCallers {
    let count = 8 + cluster.slots.borrow().len() / 2;
    let is_stopping = rc::Rc::new(cell::Cell::new(false));
    let tasks = (0..count).map(|number| {
        let caller = SoakCaller {
            cluster: rc::Rc::clone(cluster),
            rng: StdRng::seed_from_u64(seed * 1_000 + number as u64),
            connection: None,
            name: format!("s{seed}-c{number}"),
            submitted: 0,
        };
        task::spawn_local(caller.run(rc::Rc::clone(&is_stopping)))
    });
    SoakCallers {
        tasks: tasks.collect(),
        is_stopping,
    }
}

struct SoakCaller {
    cluster: rc::Rc<SoakCluster>,
    rng: StdRng,
    connection: Option<CallerConnection>,
    name: String,
    submitted: u32,
}

impl SoakCaller {
    async fn run(mut self, is_stopping: rc::Rc<cell::Cell<bool>>) {
        while !is_stopping.get() {
            let pause = time::Duration::from_millis(self.rng.random_range(20..500));
            timer::sleep(pause).await;
            let drawn = self.cluster.ledger.draw(&mut self.rng);
            match (self.rng.random_range(0..100), drawn) {
                (0..6, Some((id, job))) => {
                    self.cancel(&id, &job).await;
                }
                (6..60, Some((id, job))) => self.read(&id, &job).await,
                _ => self.submit().await,
            }
        }
    }

    /// Calls on the open connection, or on a new one to a random process.
    async fn call(
        &mut self,
        method: &str,
        job: &CalledJob,
        body: &str,
    ) -> Option<Result<u16, bool>> {
        while self.connection.is_none() {
            let serving = self.cluster.serving();
            if serving.is_empty() {
                return None;
            }
            let (node, start, address) = serving[self.rng.random_range(0..serving.len())];
            let connected = TcpStream::connect(address).await;
            self.connection = connected.ok().map(|stream| CallerConnection {
                node,
                start,
                stream,
            });
            timer::sleep(time::Duration::from_millis(10)).await;
        }
        let mut connection = self.connection.take()?;
        let result = connection.call(method, &job.path, &job.key, body).await;
        let status = result.as_ref().map_or(0, |(status, _)| *status);
        let mut calls = self.cluster.calls.borrow_mut();
        *calls.entry((method.to_owned(), status)).or_default() += 1;
        drop(calls);
        match result {
            Ok((status, is_open)) => {
                self.connection = is_open.then_some(connection);
                Some(Ok(status))
            }
            Err(failure) => {
                let is_killed = self.cluster.is_killed(connection.node, connection.start);
                let is_closed = matches!(failure, CallFailure::Closed(0));
                if !is_killed && !is_closed {
                    let what = format!("{method} on entry-{}: {failure:?}", connection.node);
                    self.cluster.fail(&what, &job.path);
                }
                Some(Err(is_killed))
            }
        }
    }

    async fn submit(&mut self) {
        self.submitted += 1;
        let id = format!("{}-{}", self.name, self.submitted);
        let is_long = self.cluster.ledger.long_running() < MAX_LONG && self.rng.random_bool(0.2);
        let millis = if is_long {
            3_600_000
        } else {
            self.rng.random_range(20..1_500)
        };
        let tasks = self.rng.random_range(1..4);
        let cpu = if is_long { 300 } else { 100 };
        let body = format!(
            r#"{{"payload":"{millis}","steps":[{{"count":{tasks},"needs":{{"cpu-millis":{cpu}}},"long-running":{is_long}}}]}}"#
        );
        let queue = ["urgent", "batch"][self.rng.random_range(0..2)];
        let job = CalledJob {
            path: format!("/{queue}/{id}"),
            key: format!("key-{}", ["a", "b", "c"][self.rng.random_range(0..3)]),
            tasks,
            is_long,
            submission: Submission::Unknown,
            is_cancel_sent: false,
            cancelled_at: None,
        };
        self.cluster
            .ledger
            .0
            .borrow_mut()
            .insert(id.clone(), job.clone());
        let mut is_retry = false;
        let limit = timer::Instant::now() + time::Duration::from_secs(30);
        while timer::Instant::now() < limit {
            let submission = match self.call("POST", &job, &body).await {
                Some(Ok(201)) => Submission::Accepted(timer::Instant::now()),
                Some(Ok(504) | Err(true)) => Submission::Unknown,
                Some(Ok(_)) if !is_retry => Submission::Refused,
                Some(Err(false)) if !is_retry => Submission::Unanswered,
                _ => Submission::Unknown,
            };
            self.cluster
                .ledger
                .update(&id, |job| job.submission = submission);
            if submission != Submission::Unknown {
                return;
            }
            is_retry = true;
            timer::sleep(time::Duration::from_millis(100)).await;
        }
    }

    async fn read(&mut self, id: &str, job: &CalledJob) {
        let Some(Ok(status)) = self.call("GET", job, "").await else {
            return;
        };
        let is_recovering = self.cluster.active_faults.get() > 0
            || self.cluster.unplanned_at.get().elapsed() < READ_RECOVERY;
        let is_excused = is_recovering && status == 503;
        if status != 200 && !is_excused {
            self.cluster
                .fail(&format!("state of an accepted job: {status}"), id);
        }
    }

    async fn cancel(&mut self, id: &str, job: &CalledJob) {
        self.cluster
            .ledger
            .update(id, |job| job.is_cancel_sent = true);
        if let Some(Ok(200)) = self.call("DELETE", job, "").await {
            let now = timer::Instant::now();
            self.cluster.ledger.update(id, |job| {
                job.cancelled_at.get_or_insert(now);
            });
        }
    }
}
