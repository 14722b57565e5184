//! HTTP calls whose connection stays in the hands of the caller.

use std::fmt;
use std::io;
use std::time;

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time as timer;

/// Largest response, in bytes.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// Request of a caller or an operator.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WireRequest<'a> {
    pub(crate) method: &'a str,
    pub(crate) path: &'a str,
    pub(crate) host: &'a str,
    pub(crate) key: &'a str,
    pub(crate) body: &'a str,
}

/// Whole response.
#[derive(Clone, Debug)]
pub(crate) struct WireResponse {
    pub(crate) status: u16,
    pub(crate) body: String,
    /// Whether the connection stays open.
    pub(crate) is_open: bool,
}

impl WireResponse {
    /// Decodes the body.
    pub(crate) fn json(&self) -> Option<Value> {
        serde_json::from_str(&self.body).ok()
    }
}

/// Result of a call that got no whole response.
#[derive(Debug)]
pub(crate) enum CallFailure {
    /// The connection ended after this many bytes of the response.
    Closed(usize),
    /// This many bytes of the response came in time.
    TimedOut(usize),
}

impl fmt::Display for CallFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed(count) => write!(formatter, "closed after {count} bytes"),
            Self::TimedOut(count) => write!(formatter, "timed out after {count} bytes"),
        }
    }
}

/// Sends a request and reads the whole response.
pub(crate) async fn call(
    stream: &mut TcpStream,
    request: WireRequest<'_>,
    limit: time::Duration,
) -> Result<WireResponse, CallFailure> {
    let WireRequest {
        method,
        path,
        host,
        key,
        body,
    } = request;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\nkey: {key}\r\ndeadline-ms: {}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        limit.as_millis(),
        body.len()
    );
    let mut received = Vec::new();
    let exchange = exchange(stream, text.as_bytes(), &mut received);
    let result = timer::timeout(limit, exchange).await;
    match result {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(_)) => Err(CallFailure::Closed(received.len())),
        Err(_) => Err(CallFailure::TimedOut(received.len())),
    }
}

async fn exchange(
    stream: &mut TcpStream,
    request: &[u8],
    received: &mut Vec<u8>,
) -> io::Result<WireResponse> {
    stream.write_all(request).await?;
    loop {
        if let Some(response) = decode(received) {
            return Ok(response);
        }
        let is_too_long = received.len() > MAX_RESPONSE_BYTES;
        if is_too_long || stream.read_buf(received).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// Decodes a response once it is whole.
fn decode(received: &[u8]) -> Option<WireResponse> {
    let end = received.windows(4).position(|part| part == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&received[..end]).to_ascii_lowercase();
    let body = &received[end + 4..];
    let find = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
    let length = find("content-length: ").and_then(|text| text.parse().ok());
    if body.len() < length.unwrap_or(0) {
        return None;
    }
    Some(WireResponse {
        status: head.get(9..12)?.parse().ok()?,
        body: String::from_utf8_lossy(body).into_owned(),
        is_open: find("connection: ") != Some("close"),
    })
}
