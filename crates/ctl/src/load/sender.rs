//! Sends the requests of a schedule at their scheduled times.

use std::cell;
use std::rc;
use std::sync;
use std::thread;
use std::time;

use actix_rt::task;
use bytes::Bytes;

use super::experiment::{LoadExperiment, LoadStream};
use super::record::{self, ExecutionCounts, RequestRecord, RequestResult};
use super::response;
use super::schedule::{LoadArrival, LoadSchedule};
use crate::error::{Error, Result};
use crate::transport;

/// Header that states whether a request may run more than once.
const REPEATABLE_HEADER: &str = "redwing-repeatable";

/// Header with the timeout of the caller, in seconds.
const TIMEOUT_HEADER: &str = "redwing-timeout";

/// Header with the running time on the stand-in backend server, in seconds.
const DELAY_HEADER: &str = "redwing-standin-delay";

/// Header with the identifier under which the stand-in backend server counts
/// executions.
const REQUEST_HEADER: &str = "redwing-standin-request";

/// Path of the execution counts of a stand-in backend server.
const EXECUTIONS_PATH: &str = "/standin/executions";

/// Maximum size of the execution counts of one backend server, in bytes.
const MAX_COUNTS_BYTES: usize = 256 * 1024 * 1024;

/// Time before a scheduled time in which a thread polls the clock, because the
/// timer has a resolution of a millisecond.
const POLL_TIME: time::Duration = time::Duration::from_micros(1_500);

/// Time after which an unused connection is closed.
const IDLE_CONNECTION_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Time between two checks of a target's readiness, and their timeout.
const READINESS_PERIOD: time::Duration = time::Duration::from_millis(200);

/// Delay before the start of the schedule, in which all threads become ready.
const START_DELAY: time::Duration = time::Duration::from_millis(100);

/// Records of all requests of an experiment.
#[derive(Clone, Debug, Default)]
pub(super) struct SendResults {
    /// Requests through the entry processes.
    pub(super) entry_records: Vec<RequestRecord>,
    /// Requests sent directly to the backend servers.
    pub(super) direct_records: Vec<RequestRecord>,
    /// Execution counts of the backend servers; `None` if none are configured.
    pub(super) execution_counts: Option<ExecutionCounts>,
}

/// Sends all requests of `experiment`, with identifiers derived from `run_id`.
///
/// # Errors
///
/// Fails if a sending thread panics or the execution counts of a backend server
/// cannot be read.
pub(super) fn send_all(
    experiment: &LoadExperiment,
    schedule: &LoadSchedule,
    run_id: u32,
) -> Result<SendResults> {
    let start = time::Instant::now() + START_DELAY;
    let shared = sync::Arc::new(experiment.clone());
    let mut threads = Vec::new();
    for index in 0..experiment.threads {
        let arrivals = schedule.arrivals.iter().skip(index);
        let arrivals: Vec<LoadArrival> = arrivals.step_by(experiment.threads).cloned().collect();
        let experiment = sync::Arc::clone(&shared);
        threads.push(thread::spawn(move || {
            run_sender(experiment, arrivals, run_id, start, SeriesKind::Entry)
        }));
    }
    let direct = direct_schedule(experiment);
    let direct_thread = (!direct.is_empty()).then(|| {
        let experiment = sync::Arc::clone(&shared);
        thread::spawn(move || run_sender(experiment, direct, run_id, start, SeriesKind::Direct))
    });
    let mut results = SendResults::default();
    for thread in threads {
        results.entry_records.extend(join_thread(thread)?);
    }
    if let Some(thread) = direct_thread {
        results.direct_records = join_thread(thread)?;
    }
    if !experiment.backends.is_empty() {
        results.execution_counts = Some(read_counts(&experiment.backends)?);
    }
    Ok(results)
}

/// Returns the schedule of the direct series: the first stream, at the direct
/// rate.
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

fn join_thread(thread: thread::JoinHandle<Vec<RequestRecord>>) -> Result<Vec<RequestRecord>> {
    thread
        .join()
        .map_err(|_| Error::unavailable("send", "sending thread", "the thread panicked"))
}

/// Destination of a series of requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SeriesKind {
    /// Entry processes.
    Entry,
    /// Backend servers, without an entry process between.
    Direct,
}

/// State of one sending thread.
struct SendContext {
    experiment: sync::Arc<LoadExperiment>,
    client: awc::Client,
    base_urls: Vec<String>,
    ready: Vec<cell::Cell<bool>>,
    run_id: u32,
    start: time::Instant,
    kind: SeriesKind,
    in_flight: cell::Cell<usize>,
    records: cell::RefCell<Vec<RequestRecord>>,
}

fn run_sender(
    experiment: sync::Arc<LoadExperiment>,
    arrivals: Vec<LoadArrival>,
    run_id: u32,
    start: time::Instant,
    kind: SeriesKind,
) -> Vec<RequestRecord> {
    let base_urls = match kind {
        SeriesKind::Entry => experiment.targets.clone(),
        SeriesKind::Direct => experiment.backends.clone(),
    };
    actix_rt::System::new().block_on(async move {
        let context = rc::Rc::new(SendContext {
            client: build_client(experiment.max_in_flight),
            ready: base_urls.iter().map(|_| cell::Cell::new(true)).collect(),
            base_urls,
            run_id,
            start,
            kind,
            in_flight: cell::Cell::new(0),
            records: cell::RefCell::new(Vec::with_capacity(arrivals.len())),
            experiment,
        });
        let readiness_task = (kind == SeriesKind::Entry)
            .then(|| actix_rt::spawn(poll_readiness(rc::Rc::clone(&context))));
        send_arrivals(&context, arrivals).await;
        if let Some(readiness_task) = readiness_task {
            readiness_task.abort();
        }
        context.records.take()
    })
}

fn build_client(connections: usize) -> awc::Client {
    let connector = awc::Connector::new()
        .limit(connections)
        .conn_keep_alive(IDLE_CONNECTION_TIMEOUT);
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}

/// Sends each request at its scheduled time and waits until all have ended.
async fn send_arrivals(context: &rc::Rc<SendContext>, arrivals: Vec<LoadArrival>) {
    let mut tasks = Vec::with_capacity(arrivals.len());
    for arrival in arrivals {
        wait_until(context.start + arrival.at).await;
        if context.in_flight.get() >= context.experiment.max_in_flight {
            let now = context.start.elapsed();
            context.record_result(&arrival, now, RequestResult::NotSent);
            continue;
        }
        tasks.push(actix_rt::spawn(send_request(
            rc::Rc::clone(context),
            arrival,
        )));
    }
    for task in tasks {
        // Every task ends, because every request has a timeout.
        let _ = task.await;
    }
}

/// Waits until `instant` with a finer resolution than the timer's millisecond.
async fn wait_until(instant: time::Instant) {
    let wake_time = instant.checked_sub(POLL_TIME).unwrap_or(instant);
    if wake_time > time::Instant::now() {
        actix_rt::time::sleep_until(wake_time.into()).await;
    }
    while time::Instant::now() < instant {
        task::yield_now().await;
    }
}

async fn send_request(context: rc::Rc<SendContext>, arrival: LoadArrival) {
    context.in_flight.set(context.in_flight.get() + 1);
    let sent = context.start.elapsed();
    let timeout = context.request_timeout(&arrival);
    let exchange = exchange(&context, &arrival);
    let result = match actix_rt::time::timeout(timeout, exchange).await {
        Ok(result) => result,
        Err(_) if arrival.cancel_after.is_some() => RequestResult::Cancelled,
        Err(_) => RequestResult::Broken {
            after_headers: false,
            message: format!("no complete response within {} s", timeout.as_secs_f64()),
        },
    };
    context.in_flight.set(context.in_flight.get() - 1);
    context.record_result(&arrival, sent, result);
}

impl SendContext {
    /// Returns the time after which the caller stops waiting.
    fn request_timeout(&self, arrival: &LoadArrival) -> time::Duration {
        arrival.cancel_after.unwrap_or_else(|| {
            let drain = self.experiment.drain_seconds.max(1.0);
            time::Duration::from_secs_f64(drain)
        })
    }

    fn record_result(&self, arrival: &LoadArrival, sent: time::Duration, result: RequestResult) {
        self.records.borrow_mut().push(RequestRecord {
            request: arrival.request,
            stream: arrival.stream,
            target: arrival.target,
            scheduled: arrival.at,
            sent,
            ended: self.start.elapsed(),
            result,
        });
    }

    /// Returns the target of an attempt; skips targets that are not ready.
    fn select_target(&self, arrival: &LoadArrival, attempt: usize) -> usize {
        let count = self.base_urls.len();
        let first = (arrival.target + attempt) % count;
        let mut candidates = (0..count).map(|offset| (first + offset) % count);
        candidates
            .find(|index| self.ready[*index].get())
            .unwrap_or(first)
    }

    fn build_request(
        &self,
        base_url: &str,
        stream: &LoadStream,
        request_id: &str,
    ) -> awc::ClientRequest {
        let url = match self.kind {
            SeriesKind::Entry => format!("{base_url}/v1/queues/{}/requests", stream.queue),
            SeriesKind::Direct => format!("{base_url}/"),
        };
        let mut request = self
            .client
            .post(url)
            .insert_header((REQUEST_HEADER, request_id));
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
            request = request.insert_header(("idempotency-key", request_id));
        }
        if stream.timeout_seconds > 0.0 {
            request = request.insert_header((TIMEOUT_HEADER, stream.timeout_seconds.to_string()));
        }
        request
    }
}

/// Sends a request; tries the next target only if no connection was established.
async fn exchange(context: &SendContext, arrival: &LoadArrival) -> RequestResult {
    let stream = &context.experiment.streams[arrival.stream];
    let prefix = match context.kind {
        SeriesKind::Entry => context.run_id,
        SeriesKind::Direct => !context.run_id,
    };
    let request_id = record::request_id(prefix, arrival.request);
    let body = Bytes::from(record::request_body(&request_id, stream.body_bytes));
    let mut message = String::new();
    for attempt in 0..context.base_urls.len() {
        let target = context.select_target(arrival, attempt);
        let request = context.build_request(&context.base_urls[target], stream, &request_id);
        match request.send_body(body.clone()).await {
            Ok(response) => return response::read(response, &body).await,
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
    RequestResult::Broken {
        after_headers: false,
        message,
    }
}

/// Polls the readiness of the targets, as the platform's balancer does.
async fn poll_readiness(context: rc::Rc<SendContext>) {
    loop {
        for (base_url, ready) in context.base_urls.iter().zip(&context.ready) {
            let request = context.client.get(format!("{base_url}/readyz"));
            let response = actix_rt::time::timeout(READINESS_PERIOD, request.send()).await;
            ready.set(matches!(response, Ok(Ok(response)) if response.status().is_success()));
        }
        actix_rt::time::sleep(READINESS_PERIOD).await;
    }
}

/// Reads and adds up the execution counts of all backend servers.
fn read_counts(backends: &[String]) -> Result<ExecutionCounts> {
    const OPERATION: &str = "read execution counts";
    actix_rt::System::new().block_on(async {
        let client = build_client(backends.len());
        let mut counts = ExecutionCounts::default();
        for base_url in backends {
            let request = client.get(format!("{base_url}{EXECUTIONS_PATH}"));
            let mut response = request
                .send()
                .await
                .map_err(|error| Error::unavailable(OPERATION, base_url, error.to_string()))?;
            if !response.status().is_success() {
                let message = format!("status {}", response.status());
                return Err(Error::refused(OPERATION, base_url, message));
            }
            let body = response.body().limit(MAX_COUNTS_BYTES).await;
            let body =
                body.map_err(|error| Error::unavailable(OPERATION, base_url, error.to_string()))?;
            let backend_counts = serde_json::from_slice(&body)
                .map_err(|error| Error::refused(OPERATION, base_url, error.to_string()))?;
            counts.merge(backend_counts);
        }
        Ok(counts)
    })
}
