//! Request bodies on their way to a backend server.
//!
//! The first bytes of a body are kept, so that a request whose body they hold
//! can be sent again. The rest is passed on as it comes, once.

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

/// Why a request body cannot be read to its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFault {
    /// It is larger than the queue allows.
    TooLarge,
    /// Its next piece did not come in time.
    Slow,
    /// The connection broke or the encoding is malformed.
    Broken,
}

impl fmt::Display for BodyFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::TooLarge => "the body is too large",
            Self::Slow => "the body did not arrive in time",
            Self::Broken => "the body broke off",
        })
    }
}

impl std::error::Error for BodyFault {}

/// Bounds of one request body.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BodyLimits {
    /// Largest size, in bytes.
    pub max_bytes: u64,
    /// Bytes kept so that the body can be sent again.
    pub kept_bytes: usize,
    /// Longest time between two pieces.
    pub idle: time::Duration,
    /// Size that the caller declared.
    pub declared: Option<u64>,
}

/// Body of a request, sent to one backend server after another if need be.
#[derive(Clone)]
pub struct CallerBody(rc::Rc<BodyState>);

struct BodyState {
    limits: BodyLimits,
    kept: Vec<Bytes>,
    rest: cell::RefCell<Option<BodyRest>>,
    whole: bool,
    passed_on: cell::Cell<bool>,
    fault: cell::Cell<Option<BodyFault>>,
}

/// Part of a body that is passed on as it comes.
struct BodyRest {
    payload: Payload,
    received: u64,
    timer: pin::Pin<Box<tokio::time::Sleep>>,
}

impl CallerBody {
    /// Reads the first bytes of `payload`.
    ///
    /// # Errors
    ///
    /// Fails if the body breaks, stalls or is too large.
    pub async fn read(mut payload: Payload, limits: BodyLimits) -> Result<Self, BodyFault> {
        let mut kept = Vec::new();
        let mut received = 0;
        let mut whole = false;
        while !whole && received <= limits.kept_bytes as u64 {
            let next = tokio::time::timeout(limits.idle, payload.next()).await;
            match next.map_err(|_| BodyFault::Slow)? {
                Some(Ok(chunk)) => {
                    received += chunk.len() as u64;
                    kept.push(chunk);
                }
                Some(Err(_)) => return Err(BodyFault::Broken),
                None => whole = true,
            }
            if received > limits.max_bytes {
                return Err(BodyFault::TooLarge);
            }
        }
        let rest = (!whole).then(|| BodyRest {
            payload,
            received,
            timer: Box::pin(tokio::time::sleep(limits.idle)),
        });
        Ok(Self(rc::Rc::new(BodyState {
            limits,
            kept,
            rest: cell::RefCell::new(rest),
            whole,
            passed_on: cell::Cell::new(false),
            fault: cell::Cell::new(None),
        })))
    }

    /// Returns whether the body can be sent from its beginning.
    pub fn is_replayable(&self) -> bool {
        !self.0.passed_on.get()
    }

    /// Returns why the body could not be read to its end.
    pub fn fault(&self) -> Option<BodyFault> {
        self.0.fault.get()
    }

    /// Returns the body for one attempt.
    pub fn attempt(&self) -> AttemptBody {
        // The time spent waiting in the queue does not count.
        if let Some(rest) = self.0.rest.borrow_mut().as_mut() {
            let due = tokio::time::Instant::now() + self.0.limits.idle;
            rest.timer.as_mut().reset(due);
        }
        AttemptBody {
            state: rc::Rc::clone(&self.0),
            sent: 0,
        }
    }
}

/// Body of one attempt at a backend server.
pub struct AttemptBody {
    state: rc::Rc<BodyState>,
    sent: usize,
}

impl AttemptBody {
    fn fail(&self, fault: BodyFault) -> task::Poll<Option<Result<Bytes, BodyFault>>> {
        self.state.fault.set(Some(fault));
        task::Poll::Ready(Some(Err(fault)))
    }

    fn poll_rest(
        &self,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Bytes, BodyFault>>> {
        let limits = &self.state.limits;
        let mut rest = self.state.rest.borrow_mut();
        let Some(rest) = rest.as_mut() else {
            return task::Poll::Ready(None);
        };
        match pin::Pin::new(&mut rest.payload).poll_next(context) {
            task::Poll::Ready(Some(Ok(chunk))) => {
                self.state.passed_on.set(true);
                rest.received += chunk.len() as u64;
                if rest.received > limits.max_bytes {
                    return self.fail(BodyFault::TooLarge);
                }
                let due = tokio::time::Instant::now() + limits.idle;
                rest.timer.as_mut().reset(due);
                task::Poll::Ready(Some(Ok(chunk)))
            }
            task::Poll::Ready(Some(Err(_))) => self.fail(BodyFault::Broken),
            task::Poll::Ready(None) => {
                self.state.passed_on.set(true);
                task::Poll::Ready(None)
            }
            task::Poll::Pending => {
                task::ready!(rest.timer.as_mut().poll(context));
                self.fail(BodyFault::Slow)
            }
        }
    }
}

impl MessageBody for AttemptBody {
    type Error = BodyFault;

    fn size(&self) -> BodySize {
        if self.state.whole {
            let total: usize = self.state.kept.iter().map(Bytes::len).sum();
            return BodySize::Sized(total as u64);
        }
        self.state
            .limits
            .declared
            .map_or(BodySize::Stream, BodySize::Sized)
    }

    fn poll_next(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Bytes, BodyFault>>> {
        let next = self.state.kept.get(self.sent).cloned();
        if let Some(chunk) = next {
            self.sent += 1;
            return task::Poll::Ready(Some(Ok(chunk)));
        }
        self.poll_rest(context)
    }
}
