//! Response bodies, streamed from a backend server to the caller.

use std::cell;
use std::fmt;
use std::future::Future;
use std::pin;
use std::rc;
use std::task;
use std::time;

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use redwing_model::RunOutcome;

use crate::attempt::RunningAttempt;
use crate::exchange::{ExchangeFailure, FailureKind};

/// Largest response, in bytes, that fits in the buffers of a connection, so that
/// a caller that does not read cannot delay it.
const MAX_BUFFERED_BYTES: u64 = 32 * 1024;

/// Error that aborts the caller's connection, so that a truncated response does
/// not look complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TruncatedResponse;

impl fmt::Display for TruncatedResponse {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the response is truncated")
    }
}

impl std::error::Error for TruncatedResponse {}

/// Response body, streamed from the backend server to the caller.
///
/// The response is aborted if the backend server sends nothing, or the caller
/// reads nothing, for the idle timeout: neither may occupy the backend server's
/// slot for longer.
pub struct ResponseBody {
    state: rc::Rc<ResponseState>,
    size: BodySize,
    idle_timer: Option<pin::Pin<Box<tokio::time::Sleep>>>,
}

struct ResponseState {
    attempt: cell::RefCell<Option<RunningAttempt>>,
    idle_timeout: time::Duration,
    /// Time of the last poll by the caller's connection.
    last_poll: cell::Cell<tokio::time::Instant>,
    /// Whether all chunks received so far were forwarded.
    forwarded_all: cell::Cell<bool>,
}

impl ResponseBody {
    /// Creates the body of the response to `attempt`; `idle_timeout` is the
    /// longest time without progress on either side.
    pub fn new(attempt: RunningAttempt, size: BodySize, idle_timeout: time::Duration) -> Self {
        let state = rc::Rc::new(ResponseState {
            attempt: cell::RefCell::new(Some(attempt)),
            idle_timeout,
            last_poll: cell::Cell::new(tokio::time::Instant::now()),
            forwarded_all: cell::Cell::new(false),
        });
        if !matches!(size, BodySize::Sized(bytes) if bytes <= MAX_BUFFERED_BYTES) {
            actix_rt::spawn(detach_from_stalled_caller(rc::Rc::downgrade(&state)));
        }
        Self {
            state,
            size,
            idle_timer: None,
        }
    }

    /// Polls the idle timeout of the backend server.
    fn poll_idle_timer(&mut self, context: &mut task::Context<'_>) -> task::Poll<()> {
        let idle_timeout = self.state.idle_timeout;
        let timer = self
            .idle_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(idle_timeout)));
        timer.as_mut().poll(context)
    }
}

/// Detaches the attempt from a caller that has stopped reading, so that its
/// slot is released as soon as the exchange ends.
async fn detach_from_stalled_caller(state: rc::Weak<ResponseState>) {
    loop {
        let Some(deadline) = state
            .upgrade()
            .map(|state| state.last_poll.get() + state.idle_timeout)
        else {
            return;
        };
        tokio::time::sleep_until(deadline).await;
        let Some(state) = state.upgrade() else {
            return;
        };
        if state.forwarded_all.get() {
            state.last_poll.set(tokio::time::Instant::now());
        } else if state.last_poll.get().elapsed() >= state.idle_timeout {
            drop(state.attempt.take());
            return;
        }
    }
}

impl MessageBody for ResponseBody {
    type Error = TruncatedResponse;

    fn size(&self) -> BodySize {
        self.size
    }

    fn poll_next(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Bytes, TruncatedResponse>>> {
        let state = rc::Rc::clone(&self.state);
        let mut attempt = state.attempt.borrow_mut();
        let Some(attempt) = attempt.as_mut() else {
            return task::Poll::Ready(Some(Err(TruncatedResponse)));
        };
        let next = attempt.poll_chunk(context);
        state.last_poll.set(tokio::time::Instant::now());
        state.forwarded_all.set(next.is_pending());
        match next {
            task::Poll::Ready(next) => {
                self.idle_timer = None;
                task::Poll::Ready(next.map(|result| result.map_err(|_| TruncatedResponse)))
            }
            task::Poll::Pending => {
                task::ready!(self.poll_idle_timer(context));
                attempt.fail_truncated(ExchangeFailure {
                    kind: FailureKind::Truncated,
                    outcome: RunOutcome::Unknown,
                });
                task::Poll::Ready(Some(Err(TruncatedResponse)))
            }
        }
    }
}
