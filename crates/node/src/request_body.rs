//! Request bodies, streamed from the caller to a backend server.
//!
//! The first bytes of a body are buffered, so that a request can be retried as
//! long as nothing beyond the buffer was sent. The remainder is streamed once.

use std::cell;
use std::fmt;
use std::future::Future;
use std::pin;
use std::rc;
use std::task;
use std::time;

use actix_http::Payload;
use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use futures_core::Stream;
use futures_util::StreamExt;

/// Why a request body could not be read to its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// It is larger than the queue allows.
    TooLarge,
    /// Its next chunk did not arrive in time.
    Slow,
    /// The connection was lost or the encoding is malformed.
    Broken,
}

impl fmt::Display for BodyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::TooLarge => "the body is too large",
            Self::Slow => "the body did not arrive in time",
            Self::Broken => "the body is truncated or malformed",
        })
    }
}

impl std::error::Error for BodyError {}

/// Limits of one request body.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BodyLimits {
    /// Largest size, in bytes.
    pub max_bytes: u64,
    /// Size of the buffer for retries, in bytes.
    pub buffered_bytes: usize,
    /// Longest time between two chunks.
    pub idle_timeout: time::Duration,
    /// Declared size, in bytes, if any.
    pub declared_bytes: Option<u64>,
}

/// Body of a request, shared by its attempts.
#[derive(Clone)]
pub struct RequestBody(rc::Rc<BodyState>);

struct BodyState {
    limits: BodyLimits,
    buffered: Vec<Bytes>,
    remainder: cell::RefCell<Option<BodyRemainder>>,
    is_complete: bool,
    forwarded: cell::Cell<bool>,
    error: cell::Cell<Option<BodyError>>,
}

/// Part of a body beyond the buffer, which is streamed.
struct BodyRemainder {
    payload: Payload,
    received: u64,
    timer: pin::Pin<Box<tokio::time::Sleep>>,
}

impl RequestBody {
    /// Reads `payload` into the buffer, up to the size of the buffer.
    ///
    /// # Errors
    ///
    /// Fails if the body is truncated, malformed, late or too large.
    pub async fn read(mut payload: Payload, limits: BodyLimits) -> Result<Self, BodyError> {
        let mut buffered = Vec::new();
        let mut received = 0;
        let mut is_complete = false;
        while !is_complete && received <= limits.buffered_bytes as u64 {
            let next = tokio::time::timeout(limits.idle_timeout, payload.next()).await;
            match next.map_err(|_| BodyError::Slow)? {
                Some(Ok(chunk)) => {
                    received += chunk.len() as u64;
                    buffered.push(chunk);
                }
                Some(Err(_)) => return Err(BodyError::Broken),
                None => is_complete = true,
            }
            if received > limits.max_bytes {
                return Err(BodyError::TooLarge);
            }
        }
        let remainder = (!is_complete).then(|| BodyRemainder {
            payload,
            received,
            timer: Box::pin(tokio::time::sleep(limits.idle_timeout)),
        });
        Ok(Self(rc::Rc::new(BodyState {
            limits,
            buffered,
            remainder: cell::RefCell::new(remainder),
            is_complete,
            forwarded: cell::Cell::new(false),
            error: cell::Cell::new(None),
        })))
    }

    /// Returns whether the body can be sent again from its start.
    pub fn is_replayable(&self) -> bool {
        !self.0.forwarded.get()
    }

    /// Returns why the body could not be read to its end.
    pub fn error(&self) -> Option<BodyError> {
        self.0.error.get()
    }

    /// Returns the body for one attempt.
    pub fn attempt(&self) -> AttemptBody {
        // The time that the request spent in the queue does not count.
        if let Some(remainder) = self.0.remainder.borrow_mut().as_mut() {
            let deadline = tokio::time::Instant::now() + self.0.limits.idle_timeout;
            remainder.timer.as_mut().reset(deadline);
        }
        AttemptBody {
            state: rc::Rc::clone(&self.0),
            next_chunk: 0,
        }
    }
}

/// Body of one attempt at a backend server.
pub struct AttemptBody {
    state: rc::Rc<BodyState>,
    next_chunk: usize,
}

impl AttemptBody {
    fn fail(&self, error: BodyError) -> task::Poll<Option<Result<Bytes, BodyError>>> {
        self.state.error.set(Some(error));
        task::Poll::Ready(Some(Err(error)))
    }

    fn poll_remainder(
        &self,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Bytes, BodyError>>> {
        let limits = &self.state.limits;
        let mut remainder = self.state.remainder.borrow_mut();
        let Some(remainder) = remainder.as_mut() else {
            return task::Poll::Ready(None);
        };
        match pin::Pin::new(&mut remainder.payload).poll_next(context) {
            task::Poll::Ready(Some(Ok(chunk))) => {
                self.state.forwarded.set(true);
                remainder.received += chunk.len() as u64;
                if remainder.received > limits.max_bytes {
                    return self.fail(BodyError::TooLarge);
                }
                let deadline = tokio::time::Instant::now() + limits.idle_timeout;
                remainder.timer.as_mut().reset(deadline);
                task::Poll::Ready(Some(Ok(chunk)))
            }
            task::Poll::Ready(Some(Err(_))) => self.fail(BodyError::Broken),
            task::Poll::Ready(None) => {
                self.state.forwarded.set(true);
                task::Poll::Ready(None)
            }
            task::Poll::Pending => {
                task::ready!(remainder.timer.as_mut().poll(context));
                self.fail(BodyError::Slow)
            }
        }
    }
}

impl MessageBody for AttemptBody {
    type Error = BodyError;

    fn size(&self) -> BodySize {
        if self.state.is_complete {
            let total: usize = self.state.buffered.iter().map(Bytes::len).sum();
            return BodySize::Sized(total as u64);
        }
        self.state
            .limits
            .declared_bytes
            .map_or(BodySize::Stream, BodySize::Sized)
    }

    fn poll_next(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Bytes, BodyError>>> {
        let next = self.state.buffered.get(self.next_chunk).cloned();
        if let Some(chunk) = next {
            self.next_chunk += 1;
            return task::Poll::Ready(Some(Ok(chunk)));
        }
        self.poll_remainder(context)
    }
}
