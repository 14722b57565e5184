//! Bodies of callers' requests.
//!
//! Load pattern: many callers at once that send large bodies, whole or in tiny chunks, and do
//! not end them, beside callers with small ones. Each body may use a little memory of its own;
//! what it needs beyond that comes from an amount that all bodies of the process share, and is
//! given back with the response. While none is left, a request that needs more is refused, and
//! small ones are served.

use std::convert;
use std::fmt;
use std::pin;
use std::sync;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task;
use std::time;

use actix_http::Payload;
use actix_http::body::{BodySize, MessageBody};
use actix_http::error::PayloadError;
use bytes::Bytes;
use futures_util::{FutureExt, StreamExt};
use tokio::time as timer;

/// Memory that a chunk takes while it waits to be read, in bytes.
const CHUNK_COST: usize = 64;

/// Largest buffer of a connection for what it reads, in bytes; it grows with the body.
const MAX_READ_BUFFER_BYTES: usize = 128 * 1024;

/// Limits on the bodies of requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodySettings {
    /// Largest body, in bytes.
    pub max_bytes: usize,
    /// Memory that each body may use of its own, in bytes.
    pub own_bytes: usize,
    /// Memory that all bodies share beyond that, in bytes.
    pub shared_bytes: usize,
    /// Longest time from the head of a request to the end of its body.
    pub timeout: time::Duration,
}

impl Default for BodySettings {
    fn default() -> Self {
        Self {
            max_bytes: 512 * 1024,
            own_bytes: 32 * 1024,
            shared_bytes: 32 * 1024 * 1024,
            timeout: time::Duration::from_secs(30),
        }
    }
}

/// Why a body was not read to its end.
#[derive(Debug)]
pub enum BodyError {
    /// It has more bytes than this.
    TooLarge(usize),
    /// It did not end in time.
    Late,
    /// No memory is left for it now.
    Full,
    /// The connection was lost, or the encoding is malformed.
    Broken(PayloadError),
}

impl fmt::Display for BodyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(max_bytes) => {
                write!(formatter, "the body has more than {max_bytes} bytes")
            }
            Self::Late => formatter.write_str("the body did not end in time"),
            Self::Full => formatter.write_str("no memory is left for the body"),
            Self::Broken(error) => error.fmt(formatter),
        }
    }
}

impl std::error::Error for BodyError {}

/// Reads bodies within the limits that all of them share, also with those of its clones.
#[derive(Clone, Debug)]
pub struct BodyReader {
    settings: BodySettings,
    /// Memory that is taken from the shared amount.
    taken: sync::Arc<AtomicUsize>,
}

impl BodyReader {
    /// Creates a reader whose bodies share no memory with others yet.
    pub fn new(settings: BodySettings) -> Self {
        Self {
            settings,
            taken: sync::Arc::default(),
        }
    }

    /// Reads a body to its end.
    ///
    /// # Errors
    ///
    /// Fails if the body is too large, late or broken, or no memory is left for it.
    pub async fn read(
        &self,
        payload: &mut Payload,
        declared_bytes: Option<u64>,
    ) -> Result<RequestBody, BodyError> {
        let max_bytes = self.settings.max_bytes;
        if declared_bytes.is_some_and(|declared| declared > max_bytes as u64) {
            return Err(BodyError::TooLarge(max_bytes));
        }
        let reading = timer::timeout(self.settings.timeout, self.read_chunks(payload));
        reading.await.map_err(|_| BodyError::Late)?
    }

    async fn read_chunks(&self, payload: &mut Payload) -> Result<RequestBody, BodyError> {
        let max_bytes = self.settings.max_bytes;
        let mut body = RequestBody {
            bytes: Vec::new(),
            share: MemoryShare {
                taken: sync::Arc::clone(&self.taken),
                held: 0,
            },
        };
        // Chunks that are there without a wait have waited beside each other.
        let mut waiting_chunks: usize = 0;
        let mut most_waiting: usize = 0;
        loop {
            let next = match payload.next().now_or_never() {
                Some(next) => next,
                None => {
                    waiting_chunks = 0;
                    payload.next().await
                }
            };
            let Some(chunk) = next else {
                return Ok(body);
            };
            let chunk = chunk.map_err(BodyError::Broken)?;
            let length = body.bytes.len() + chunk.len();
            if length > max_bytes {
                return Err(BodyError::TooLarge(max_bytes));
            }
            waiting_chunks += 1;
            most_waiting = most_waiting.max(waiting_chunks);
            let capacity = grown_capacity(&body.bytes, length, max_bytes);
            let read_buffer = length.min(MAX_READ_BUFFER_BYTES);
            let used = capacity + read_buffer + most_waiting * CHUNK_COST;
            let wanted = used.saturating_sub(self.settings.own_bytes);
            body.share.raise(wanted, self.settings.shared_bytes)?;
            body.bytes.reserve_exact(capacity - body.bytes.len());
            body.bytes.extend_from_slice(&chunk);
        }
    }
}

/// Returns the capacity for `length` bytes: that of before if it suffices, else twice as much.
fn grown_capacity(bytes: &Vec<u8>, length: usize, max_bytes: usize) -> usize {
    let capacity = bytes.capacity();
    if length <= capacity {
        return capacity;
    }
    length.max(capacity * 2).min(max_bytes)
}

/// Body of a request, with its share of the memory for bodies.
#[derive(Debug)]
pub struct RequestBody {
    bytes: Vec<u8>,
    share: MemoryShare,
}

impl RequestBody {
    /// Returns the content.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}

/// Memory that one body has taken from the shared amount; given back when dropped.
#[derive(Debug)]
struct MemoryShare {
    taken: sync::Arc<AtomicUsize>,
    held: usize,
}

impl MemoryShare {
    /// Raises the share to `wanted` bytes if so much is left of `shared`.
    fn raise(&mut self, wanted: usize, shared: usize) -> Result<(), BodyError> {
        let Some(more) = wanted.checked_sub(self.held) else {
            return Ok(());
        };
        let take = |taken: usize| Some(taken + more).filter(|sum| *sum <= shared);
        let taken = self
            .taken
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        taken.map_err(|_| BodyError::Full)?;
        self.held = wanted;
        Ok(())
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.taken.fetch_sub(self.held, Ordering::Relaxed);
    }
}

/// Body of a response to a request whose own body may not have been read to its end.
///
/// It keeps what is unread: the connection is closed after the response then, while it would
/// stay open until the request has ended if nobody could read the rest any more.
pub struct UnreadBody {
    response: Option<Bytes>,
    _unread: Payload,
}

impl UnreadBody {
    /// Creates the body of a response to the request with this payload.
    pub fn new(response: Bytes, unread: Payload) -> Self {
        Self {
            response: Some(response),
            _unread: unread,
        }
    }
}

impl MessageBody for UnreadBody {
    type Error = convert::Infallible;

    fn size(&self) -> BodySize {
        let length = self.response.as_ref().map_or(0, Bytes::len);
        BodySize::Sized(length as u64)
    }

    fn poll_next(
        mut self: pin::Pin<&mut Self>,
        _context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Bytes, Self::Error>>> {
        task::Poll::Ready(self.response.take().map(Ok))
    }
}
