//! Settings of a load experiment.

use redwing_model::{CustomerName, FleetDeclaration, QueueName};
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::option;

/// Maximum duration of an experiment, in seconds.
pub(super) const MAX_SECONDS: f64 = 900.0;

/// Maximum mean rate, in requests per second.
pub(super) const MAX_RATE: f64 = 50_000.0;

/// Maximum number of requests of one experiment.
pub(super) const MAX_REQUESTS: usize = 2_000_000;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// One experiment, read from TOML or built from flags.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct LoadExperiment {
    /// Seed of the schedule; the same seed gives the same arrivals.
    pub seed: u64,
    /// Time during which requests are sent, in seconds.
    pub seconds: f64,
    /// Time to wait for a response, in seconds.
    pub drain_seconds: f64,
    /// Mean rate of all streams together, in requests per second.
    pub rate: f64,
    /// Number of requests after which sending stops.
    pub max_requests: usize,
    /// Number of requests in flight at which further ones are not sent.
    pub max_in_flight: usize,
    /// Number of sending threads.
    pub threads: usize,
    /// Base URLs of entry processes, as `http://IP:PORT`.
    pub targets: Vec<String>,
    /// Base URLs of stand-in backend servers, which report execution counts and
    /// receive the direct series.
    pub backends: Vec<String>,
    /// Rate of the direct series, which bypasses the entry processes, in
    /// requests per second.
    pub direct_rate: f64,
    /// Rotation of high demand over the queues; `None` for constant rates.
    pub rotation: Option<DemandRotation>,
    /// Length of the windows in which shares are compared, in seconds.
    pub window_seconds: f64,
    /// Entitlement of a customer below which its share is not compared, in
    /// requests; at the default, one request is 1 % of the entitlement.
    pub min_compared_requests: f64,
    /// Streams of requests, one for each customer and queue.
    pub streams: Vec<LoadStream>,
}

/// High demand that rotates over the queues.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct DemandRotation {
    /// Time for which one queue has high demand, in seconds.
    pub period_seconds: f64,
    /// Rate of that queue, as a multiple of its mean.
    pub surge: f64,
    /// Rate of the other queues, as a multiple of their mean.
    pub lull: f64,
}

/// Requests of one customer to one queue.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct LoadStream {
    /// Customer that sends the requests; only a label if the queue is open.
    #[serde(rename = "team")]
    pub customer: CustomerName,
    /// Queue that receives the requests.
    pub queue: QueueName,
    /// Key of the customer; empty for none.
    pub key: String,
    /// Part of the total rate, relative to the other streams.
    pub weight: f64,
    /// Declared share of the customer in the queue.
    pub share: f64,
    /// Declared limit of the customer across the fleet; 0 for none.
    pub limit: u32,
    /// Size of each body, in bytes.
    pub body_bytes: usize,
    /// Running time on the stand-in backend server, in seconds.
    pub run_seconds: f64,
    /// Timeout sent with each request, in seconds; 0 for none.
    pub timeout_seconds: f64,
    /// Whether the requests may run more than once.
    pub repeatable: bool,
    /// Whether each request has an idempotency key.
    pub idempotent: bool,
    /// Fraction of requests sent a second time with the same idempotency key.
    pub duplicates: f64,
    /// Fraction of requests that the caller cancels.
    pub cancellations: f64,
    /// Time after which the caller cancels, in seconds.
    pub cancel_seconds: f64,
    /// Part of the stream that goes to each target; empty for equal parts.
    pub target_weights: Vec<f64>,
}

impl Default for LoadExperiment {
    fn default() -> Self {
        Self {
            seed: 1,
            seconds: 10.0,
            drain_seconds: 30.0,
            rate: 100.0,
            max_requests: 200_000,
            max_in_flight: 4_000,
            threads: 1,
            targets: Vec::new(),
            backends: Vec::new(),
            direct_rate: 0.0,
            rotation: None,
            window_seconds: 10.0,
            min_compared_requests: 100.0,
            streams: Vec::new(),
        }
    }
}

impl Default for DemandRotation {
    fn default() -> Self {
        Self {
            period_seconds: 5.0,
            surge: 5.0,
            lull: 0.05,
        }
    }
}

impl Default for LoadStream {
    fn default() -> Self {
        Self {
            customer: default_name("team"),
            queue: default_name("queue"),
            key: String::new(),
            weight: 1.0,
            share: 0.0,
            limit: 0,
            body_bytes: 256,
            run_seconds: 0.0,
            timeout_seconds: 0.0,
            repeatable: true,
            idempotent: false,
            duplicates: 0.0,
            cancellations: 0.0,
            cancel_seconds: 0.05,
            target_weights: Vec::new(),
        }
    }
}

impl LoadExperiment {
    /// Parses an experiment from TOML; its values are not checked yet, because
    /// flags may complete it.
    ///
    /// # Errors
    ///
    /// Fails with the parser's message if the text is not well-formed or
    /// names an unknown field.
    pub fn from_toml(path: &str, text: &str) -> Result<Self> {
        toml::from_str(text).map_err(|error| Error::content(path, error.to_string()))
    }

    /// Checks that every value is within its bounds.
    ///
    /// # Errors
    ///
    /// Fails with the first value that is out of bounds.
    pub fn check(&self) -> Result<()> {
        check_range("seconds", self.seconds, 0.1, MAX_SECONDS)?;
        check_range("drain-seconds", self.drain_seconds, 0.0, MAX_SECONDS)?;
        check_range("rate", self.rate, 0.01, MAX_RATE)?;
        check_range("direct-rate", self.direct_rate, 0.0, MAX_RATE)?;
        check_range("window-seconds", self.window_seconds, 0.1, MAX_SECONDS)?;
        check_range(
            "min-compared-requests",
            self.min_compared_requests,
            0.0,
            1e9,
        )?;
        check_count("max-requests", self.max_requests, 1, MAX_REQUESTS)?;
        check_count("max-in-flight", self.max_in_flight, 1, 50_000)?;
        check_count("threads", self.threads, 1, 16)?;
        check_count("target", self.targets.len(), 1, 64)?;
        check_count("stream", self.streams.len(), 1, 1_000)?;
        if let Some(rotation) = &self.rotation {
            check_range("rotation", rotation.period_seconds, 0.1, MAX_SECONDS)?;
            check_range("surge", rotation.surge, 0.0, 100.0)?;
            check_range("lull", rotation.lull, 0.0, 100.0)?;
        }
        self.streams
            .iter()
            .try_for_each(|stream| stream.check(self.targets.len()))
    }

    /// Checks that all requests stay on this machine.
    ///
    /// # Errors
    ///
    /// Fails with the first address that is not on the loopback interface.
    pub fn check_loopback(&self) -> Result<()> {
        for base_url in self.targets.iter().chain(&self.backends) {
            let address = option::socket_address(base_url);
            if !address.is_some_and(|address| address.ip().is_loopback()) {
                return Err(Error::flag(
                    "--target",
                    base_url.as_str(),
                    "use http://IP:PORT on loopback, or add --allow-remote",
                ));
            }
        }
        Ok(())
    }

    /// Sets the shares and limits of the streams from `declaration`.
    pub fn apply_declaration(&mut self, declaration: &FleetDeclaration) {
        for stream in &mut self.streams {
            let queue = declaration.queues.get(&stream.queue);
            if let Some(share) = queue.and_then(|queue| queue.shares.get(&stream.customer)) {
                stream.share = *share;
            }
            if let Some(customer) = declaration.customers.get(&stream.customer) {
                stream.limit = customer.limit;
            }
        }
    }

    /// Returns the distinct names of the queues in the order of the streams.
    pub fn queue_names(&self) -> Vec<&QueueName> {
        let mut names = Vec::new();
        for stream in &self.streams {
            if !names.contains(&&stream.queue) {
                names.push(&stream.queue);
            }
        }
        names
    }
}

impl LoadStream {
    fn check(&self, targets: usize) -> Result<()> {
        check_range("weight", self.weight, 0.0, 1e6)?;
        check_range("share", self.share, 0.0, 1.0)?;
        check_range("run", self.run_seconds, 0.0, MAX_SECONDS)?;
        check_range("timeout", self.timeout_seconds, 0.0, MAX_SECONDS)?;
        check_range("duplicates", self.duplicates, 0.0, 1.0)?;
        check_range("cancellations", self.cancellations, 0.0, 1.0)?;
        check_range("cancel-after", self.cancel_seconds, 0.0, MAX_SECONDS)?;
        check_count("body-bytes", self.body_bytes, 0, MAX_BODY_BYTES)?;
        if !self.target_weights.is_empty() && self.target_weights.len() != targets {
            return Err(Error::flag(
                "--target-weights",
                format!("{:?}", self.target_weights),
                format!("use one number for each of the {targets} targets"),
            ));
        }
        if self
            .target_weights
            .iter()
            .any(|weight| weight.is_nan() || *weight < 0.0)
        {
            return Err(Error::flag(
                "--target-weights",
                format!("{:?}", self.target_weights),
                "use numbers of 0 or more",
            ));
        }
        if self.duplicates > 0.0 && !self.idempotent {
            return Err(Error::flag(
                "--duplicates",
                self.duplicates.to_string(),
                "duplicates need --idempotent",
            ));
        }
        Ok(())
    }
}

/// Parses a default name of a stream, which is a valid constant.
fn default_name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    match text.parse() {
        Ok(name) => name,
        Err(error) => unreachable!("default name {text}: {error:?}"),
    }
}

fn check_range(flag: &'static str, value: f64, low: f64, high: f64) -> Result<()> {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    Err(Error::flag(
        flag,
        value.to_string(),
        format!("use a number from {low} to {high}"),
    ))
}

fn check_count(flag: &'static str, value: usize, low: usize, high: usize) -> Result<()> {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    Err(Error::flag(
        flag,
        value.to_string(),
        format!("use a count from {low} to {high}"),
    ))
}
