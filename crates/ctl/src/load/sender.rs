//! Sends the requests of a schedule at their times.

use std::cell;
use std::rc;
use std::sync;
use std::thread;
use std::time;

use actix_rt::task;
use bytes::Bytes;

use super::answer;
use super::experiment::{LoadExperiment, LoadStream};
use super::record::{self, ExecutionCounts, RequestEnd, RequestRecord};
use super::schedule::{LoadArrival, LoadSchedule};
use crate::error::{Error, Result};
use crate::transport;

/// Whether a request may run more than once.
const REPEATABLE_HEADER: &str = "redwing-repeatable";

/// Longest time that the caller waits, in seconds.
const TIMEOUT_HEADER: &str = "redwing-timeout";

/// Running time asked of the stand-in backend server, in seconds.
const DELAY_HEADER: &str = "redwing-standin-delay";

/// Identifier under which the stand-in backend server counts starts.
const REQUEST_HEADER: &str = "redwing-standin-request";

/// Path of the stand-in backend server's counts.
const EXECUTIONS_PATH: &str = "/standin/executions";

/// Largest list of counts that is read, in bytes.
const MAX_COUNTS_BYTES: usize = 256 * 1024 * 1024;

/// Time before a scheduled time at which waiting becomes polling.
const SPIN_TIME: time::Duration = time::Duration::from_micros(1_500);

/// Time after which an idle connection is closed.
const KEEP_ALIVE: time::Duration = time::Duration::from_secs(2);

/// Time between two checks of a target's readiness.
const READY_PERIOD: time::Duration = time::Duration::from_millis(200);

/// Delay before the first request, so that all threads are ready.
const START_DELAY: time::Duration = time::Duration::from_millis(100);

/// What one run of an experiment brought.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadOutcome {
    /// Requests through the entry processes.
    pub(super) records: Vec<RequestRecord>,
    /// Requests straight to the backend servers.
    pub(super) direct: Vec<RequestRecord>,
    /// Starts that the backend servers counted, if any were named.
    pub(super) counts: Option<ExecutionCounts>,
}

/// Runs `experiment` with the identifiers of `run`.
///
/// # Errors
///
/// Fails if a sending thread ends early or a backend server does not tell its
/// counts.
pub(super) fn send_all(
    experiment: &LoadExperiment,
    schedule: &LoadSchedule,
    run: u32,
) -> Result<LoadOutcome> {
    let start = time::Instant::now() + START_DELAY;
    let shared = sync::Arc::new(experiment.clone());
    let mut threads = Vec::new();
    for index in 0..experiment.threads {
        let arrivals = schedule.arrivals.iter().skip(index);
        let arrivals: Vec<LoadArrival> = arrivals.step_by(experiment.threads).cloned().collect();
        let experiment = sync::Arc::clone(&shared);
        threads.push(thread::spawn(move || {
            run_thread(experiment, arrivals, run, start, SeriesKind::Entry)
        }));
    }
    let direct = direct_schedule(experiment);
    let direct_thread = (!direct.is_empty()).then(|| {
        let experiment = sync::Arc::clone(&shared);
        thread::spawn(move || run_thread(experiment, direct, run, start, SeriesKind::Direct))
    });
    let mut outcome = LoadOutcome::default();
    for thread in threads {
        outcome.records.extend(join(thread)?);
    }
    if let Some(thread) = direct_thread {
        outcome.direct = join(thread)?;
    }
    if !experiment.backends.is_empty() {
        outcome.counts = Some(read_counts(&experiment.backends)?);
    }
    Ok(outcome)
}

/// Returns the schedule of the direct series: the first stream, at its own rate.
fn direct_schedule(experiment: &LoadExperiment) -> Vec<LoadArrival> {
    if experiment.direct_rate <= 0.0 || experiment.backends.is_empty() {
        return Vec::new();
    }
    let direct = LoadExperiment {
        seed: experiment.seed.wrapping_add(1),
        rate: experiment.direct_rate,
        rotation: None,
        targets: experiment.backends.clone(),
        streams: experiment
            .streams
            .iter()
            .take(1)
            .map(|stream| LoadStream {
                cancellations: 0.0,
                duplicates: 0.0,
                target_weights: Vec::new(),
                ..stream.clone()
            })
            .collect(),
        ..experiment.clone()
    };
    LoadSchedule::draw(&direct).arrivals
}

fn join(thread: thread::JoinHandle<Vec<RequestRecord>>) -> Result<Vec<RequestRecord>> {
    thread
        .join()
        .map_err(|_| Error::unavailable("send", "sending thread", "the thread panicked"))
}

/// Where a series of requests goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SeriesKind {
    /// To entry processes.
    Entry,
    /// Straight to backend servers.
    Direct,
}

/// State of one sending thread.
struct SendContext {
    experiment: sync::Arc<LoadExperiment>,
    client: awc::Client,
    bases: Vec<String>,
    ready: Vec<cell::Cell<bool>>,
    run: u32,
    start: time::Instant,
    kind: SeriesKind,
    in_flight: cell::Cell<usize>,
    records: cell::RefCell<Vec<RequestRecord>>,
}

fn run_thread(
    experiment: sync::Arc<LoadExperiment>,
    arrivals: Vec<LoadArrival>,
    run: u32,
    start: time::Instant,
    kind: SeriesKind,
) -> Vec<RequestRecord> {
    let bases = match kind {
        SeriesKind::Entry => experiment.targets.clone(),
        SeriesKind::Direct => experiment.backends.clone(),
    };
    actix_rt::System::new().block_on(async move {
        let context = rc::Rc::new(SendContext {
            client: build_client(experiment.max_in_flight),
            ready: bases.iter().map(|_| cell::Cell::new(true)).collect(),
            bases,
            run,
            start,
            kind,
            in_flight: cell::Cell::new(0),
            records: cell::RefCell::new(Vec::with_capacity(arrivals.len())),
            experiment,
        });
        let watcher = (kind == SeriesKind::Entry)
            .then(|| actix_rt::spawn(watch_ready(rc::Rc::clone(&context))));
        send_arrivals(&context, arrivals).await;
        if let Some(watcher) = watcher {
            watcher.abort();
        }
        context.records.take()
    })
}

fn build_client(connections: usize) -> awc::Client {
    let connector = awc::Connector::new()
        .limit(connections)
        .conn_keep_alive(KEEP_ALIVE);
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}

/// Sends each request at its time and waits for the last answers.
async fn send_arrivals(context: &rc::Rc<SendContext>, arrivals: Vec<LoadArrival>) {
    let mut tasks = Vec::with_capacity(arrivals.len());
    for arrival in arrivals {
        wait_until(context.start + arrival.at).await;
        if context.in_flight.get() >= context.experiment.max_in_flight {
            let now = context.start.elapsed();
            context.finish(&arrival, now, RequestEnd::NotSent);
            continue;
        }
        tasks.push(actix_rt::spawn(send_one(rc::Rc::clone(context), arrival)));
    }
    for task in tasks {
        // A task ends by itself: every request has a bound on its time.
        let _ = task.await;
    }
}

/// Waits for `instant` more finely than the timer's millisecond.
async fn wait_until(instant: time::Instant) {
    let coarse = instant.checked_sub(SPIN_TIME).unwrap_or(instant);
    if coarse > time::Instant::now() {
        actix_rt::time::sleep_until(coarse.into()).await;
    }
    while time::Instant::now() < instant {
        task::yield_now().await;
    }
}

async fn send_one(context: rc::Rc<SendContext>, arrival: LoadArrival) {
    context.in_flight.set(context.in_flight.get() + 1);
    let sent = context.start.elapsed();
    let limit = context.time_limit(&arrival);
    let exchange = exchange(&context, &arrival);
    let end = match actix_rt::time::timeout(limit, exchange).await {
        Ok(end) => end,
        Err(_) if arrival.cancel_after.is_some() => RequestEnd::Cancelled,
        Err(_) => RequestEnd::Broken {
            after_head: false,
            message: format!("no whole answer within {} s", limit.as_secs_f64()),
        },
    };
    context.in_flight.set(context.in_flight.get() - 1);
    context.finish(&arrival, sent, end);
}

impl SendContext {
    /// Returns how long the caller waits for a request.
    fn time_limit(&self, arrival: &LoadArrival) -> time::Duration {
        arrival.cancel_after.unwrap_or_else(|| {
            let drain = self.experiment.drain_seconds.max(1.0);
            time::Duration::from_secs_f64(drain)
        })
    }

    fn finish(&self, arrival: &LoadArrival, sent: time::Duration, end: RequestEnd) {
        self.records.borrow_mut().push(RequestRecord {
            request: arrival.request,
            stream: arrival.stream,
            target: arrival.target,
            scheduled: arrival.at,
            sent,
            ended: self.start.elapsed(),
            end,
        });
    }

    /// Returns the target of a try, passing over those that are not ready.
    fn target_of(&self, arrival: &LoadArrival, attempt: usize) -> usize {
        let count = self.bases.len();
        let first = (arrival.target + attempt) % count;
        let mut candidates = (0..count).map(|step| (first + step) % count);
        candidates
            .find(|index| self.ready[*index].get())
            .unwrap_or(first)
    }

    fn request(&self, base: &str, stream: &LoadStream, identifier: &str) -> awc::ClientRequest {
        let url = match self.kind {
            SeriesKind::Entry => format!("{base}/v1/queues/{}/requests", stream.queue),
            SeriesKind::Direct => format!("{base}/"),
        };
        let mut request = self
            .client
            .post(url)
            .insert_header((REQUEST_HEADER, identifier));
        if stream.run_seconds > 0.0 {
            request = request.insert_header((DELAY_HEADER, stream.run_seconds.to_string()));
        }
        if self.kind == SeriesKind::Direct {
            return request;
        }
        if !stream.key.is_empty() {
            request = request.bearer_auth(&stream.key);
        }
        if !stream.repeatable {
            request = request.insert_header((REPEATABLE_HEADER, "false"));
        }
        if stream.idempotent {
            request = request.insert_header(("idempotency-key", identifier));
        }
        if stream.timeout_seconds > 0.0 {
            request = request.insert_header((TIMEOUT_HEADER, stream.timeout_seconds.to_string()));
        }
        request
    }
}

/// Sends a request, trying another target only where no connection came about.
async fn exchange(context: &SendContext, arrival: &LoadArrival) -> RequestEnd {
    let stream = &context.experiment.streams[arrival.stream];
    let prefix = match context.kind {
        SeriesKind::Entry => context.run,
        SeriesKind::Direct => !context.run,
    };
    let identifier = record::identifier(prefix, arrival.request);
    let body = Bytes::from(record::body_of(&identifier, stream.body_bytes));
    let mut message = String::new();
    for attempt in 0..context.bases.len() {
        let target = context.target_of(arrival, attempt);
        let request = context.request(&context.bases[target], stream, &identifier);
        match request.send_body(body.clone()).await {
            Ok(response) => return answer::read(response, &body).await,
            Err(error) if transport::was_never_sent(&error) => {
                context.ready[target].set(false);
                message = format!("cannot connect: {error}");
            }
            Err(error) => {
                message = error.to_string();
                break;
            }
        }
    }
    RequestEnd::Broken {
        after_head: false,
        message,
    }
}

/// Follows the readiness of the targets, as the platform's balancer does.
async fn watch_ready(context: rc::Rc<SendContext>) {
    loop {
        for (base, ready) in context.bases.iter().zip(&context.ready) {
            let request = context.client.get(format!("{base}/readyz"));
            let answer = actix_rt::time::timeout(READY_PERIOD, request.send()).await;
            ready.set(matches!(answer, Ok(Ok(response)) if response.status().is_success()));
        }
        actix_rt::time::sleep(READY_PERIOD).await;
    }
}

/// Adds up the starts that all backend servers counted.
fn read_counts(backends: &[String]) -> Result<ExecutionCounts> {
    const STEP: &str = "read execution counts";
    actix_rt::System::new().block_on(async {
        let client = build_client(backends.len());
        let mut counts = ExecutionCounts::default();
        for base in backends {
            let request = client.get(format!("{base}{EXECUTIONS_PATH}"));
            let mut response = request
                .send()
                .await
                .map_err(|error| Error::unavailable(STEP, base, error.to_string()))?;
            if !response.status().is_success() {
                let message = format!("status {}", response.status());
                return Err(Error::refused(STEP, base, message));
            }
            let body = response.body().limit(MAX_COUNTS_BYTES).await;
            let body = body.map_err(|error| Error::unavailable(STEP, base, error.to_string()))?;
            let part = serde_json::from_slice(&body)
                .map_err(|error| Error::refused(STEP, base, error.to_string()))?;
            counts.merge(part);
        }
        Ok(counts)
    })
}
