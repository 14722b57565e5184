//! Small HTTP client: one request a connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::Failure;

/// Access key of the first customer of the stand-in platform.
pub const KEY: &str = "inspectors-key";

/// Response to a request.
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: String,
}

/// Sends a request and waits for the response for at most `limit`; the connection is closed
/// then.
///
/// # Errors
///
/// Fails if there is no complete response in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Result<Response, Failure> {
    let describe = |error: std::io::Error| format!("{method} {path}: {error}");
    let mut stream = TcpStream::connect_timeout(&address, limit).map_err(describe)?;
    stream.set_read_timeout(Some(limit)).map_err(describe)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: review.example\r\nKey: {KEY}\r\n\
         Deadline-Ms: 3000\r\nConnection: close\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).map_err(describe)?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).map_err(describe)?;
    parse(&bytes).ok_or_else(|| format!("{method} {path}: no complete response"))
}

fn parse(bytes: &[u8]) -> Option<Response> {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let is_chunked = head
        .to_ascii_lowercase()
        .contains("transfer-encoding: chunked");
    let body = if is_chunked {
        dechunk(body)?
    } else {
        body.to_owned()
    };
    Some(Response { status, body })
}

fn dechunk(mut text: &str) -> Option<String> {
    let mut body = String::new();
    loop {
        let (size, rest) = text.split_once("\r\n")?;
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.push_str(rest.get(..size)?);
        text = rest.get(size + 2..)?;
    }
}
