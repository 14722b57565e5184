//! Measures the time from an operator's request until the change is in force at
//! every entry process.
//!
//! ```text
//! in_force CHANGES TOKEN ADMIN-URL...
//! ```
//!
//! Grants operator tokens through the processes in turn and polls the
//! configuration version of each process every few milliseconds.

use std::env;
use std::error;
use std::time;

use futures_util::future;
use redwing_model::admin::{ChangeResponse, ChangeStatus, NodeStatus};
use tokio::time as timer;

/// Interval between polls of one process.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Time after which the measurement fails because a change is not in force.
const GIVE_UP_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Pause between changes.
const CHANGE_INTERVAL: time::Duration = time::Duration::from_millis(50);

type Result<T> = std::result::Result<T, Box<dyn error::Error>>;

/// Client of the operator API of all processes.
struct OperatorClient {
    token: String,
    urls: Vec<String>,
    client: awc::Client,
}

impl OperatorClient {
    async fn grant(&self, number: usize) -> Result<ChangeResponse> {
        let url = &self.urls[number % self.urls.len()];
        let request = self
            .client
            .post(format!("{url}/v1/admin/operators"))
            .bearer_auth(&self.token);
        let body = format!(r#"{{"name":"operator-{number}"}}"#);
        let mut response = request.send_body(body).await.map_err(|e| e.to_string())?;
        Ok(serde_json::from_slice(&response.body().await?)?)
    }

    async fn version(&self, url: &str) -> Result<u64> {
        let request = self
            .client
            .get(format!("{url}/v1/admin/status"))
            .bearer_auth(&self.token);
        let mut response = request.send().await.map_err(|e| e.to_string())?;
        let status: NodeStatus = serde_json::from_slice(&response.body().await?)?;
        Ok(status.version)
    }

    /// Waits until the process has `version` or a later one in force.
    async fn wait_for(&self, url: &str, version: u64, start: time::Instant) -> Result<()> {
        while self.version(url).await? < version {
            if start.elapsed() > GIVE_UP_TIMEOUT {
                return Err(format!("{url} did not reach version {version} in time").into());
            }
            timer::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }
}

fn print_percentiles(name: &str, mut samples: Vec<time::Duration>) {
    samples.sort();
    let quantile = |part: f64| samples[((samples.len() - 1) as f64 * part).round() as usize];
    println!(
        "{name}: p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
        quantile(0.5).as_secs_f64() * 1e3,
        quantile(0.99).as_secs_f64() * 1e3,
        quantile(1.0).as_secs_f64() * 1e3
    );
}

async fn measure(changes: usize, operator: &OperatorClient) -> Result<()> {
    let (mut accepted, mut in_force) = (Vec::new(), Vec::new());
    for number in 0..changes {
        let start = time::Instant::now();
        let response = operator.grant(number).await?;
        if response.status != ChangeStatus::Accepted {
            println!(
                "change {number}: {:?}: {}",
                response.status, response.detail
            );
        }
        let Some(version) = response.version else {
            continue;
        };
        accepted.push(start.elapsed());
        let waits = operator
            .urls
            .iter()
            .map(|url| operator.wait_for(url, version, start));
        future::try_join_all(waits).await?;
        in_force.push(start.elapsed());
        timer::sleep(CHANGE_INTERVAL).await;
    }
    println!(
        "{} changes at {} processes",
        in_force.len(),
        operator.urls.len()
    );
    print_percentiles("response to the operator", accepted);
    print_percentiles("in force everywhere", in_force);
    Ok(())
}

fn main() -> Result<()> {
    let mut arguments = env::args().skip(1);
    let mut next = || {
        arguments
            .next()
            .ok_or("usage: in_force CHANGES TOKEN ADMIN-URL...")
    };
    let (changes, token) = (next()?.parse()?, next()?);
    let urls = arguments.collect();
    actix_rt::System::new().block_on(async {
        let client = awc::Client::builder().timeout(GIVE_UP_TIMEOUT).finish();
        let operator = OperatorClient {
            token,
            urls,
            client,
        };
        measure(changes, &operator).await
    })
}
