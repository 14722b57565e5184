//! Answer bodies on their way to the caller.

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
use crate::exchange::{ExchangeFailure, ExchangeFault};

/// Answers up to this size fit in the buffers of a connection, so that a
/// caller who does not read cannot hold them up.
const BUFFERED_BYTES: u64 = 32 * 1024;

/// Aborts the caller's connection, so that no truncated answer looks whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerTruncated;

impl fmt::Display for AnswerTruncated {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the answer broke off")
    }
}

impl std::error::Error for AnswerTruncated {}

/// Body of an answer, passed on as it comes from the backend server.
///
/// Neither side may hold the backend server's slot for long: silence of the
/// backend server breaks the answer off, and so does a caller who stops
/// reading.
pub struct AnswerBody {
    state: rc::Rc<AnswerState>,
    size: BodySize,
    silence: Option<pin::Pin<Box<tokio::time::Sleep>>>,
}

struct AnswerState {
    attempt: cell::RefCell<Option<RunningAttempt>>,
    limit: time::Duration,
    /// When the caller's connection last asked for more.
    polled: cell::Cell<tokio::time::Instant>,
    /// Whether it has been given all that came so far.
    drained: cell::Cell<bool>,
}

impl AnswerBody {
    /// Creates the body of the answer that `attempt` brings; `limit` is the
    /// longest time that either side may do nothing.
    pub fn new(attempt: RunningAttempt, size: BodySize, limit: time::Duration) -> Self {
        let state = rc::Rc::new(AnswerState {
            attempt: cell::RefCell::new(Some(attempt)),
            limit,
            polled: cell::Cell::new(tokio::time::Instant::now()),
            drained: cell::Cell::new(false),
        });
        if !matches!(size, BodySize::Sized(bytes) if bytes <= BUFFERED_BYTES) {
            actix_rt::spawn(watch_caller(rc::Rc::downgrade(&state)));
        }
        Self {
            state,
            size,
            silence: None,
        }
    }

    /// Waits for the end of the time that the backend server may be silent.
    fn poll_silence(&mut self, context: &mut task::Context<'_>) -> task::Poll<()> {
        let limit = self.state.limit;
        let timer = self
            .silence
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        timer.as_mut().poll(context)
    }
}

/// Takes the attempt away from a caller who has stopped reading; it goes on
/// unseen, so that its slot is free as soon as it ends.
async fn watch_caller(state: rc::Weak<AnswerState>) {
    loop {
        let Some(due) = state
            .upgrade()
            .map(|state| state.polled.get() + state.limit)
        else {
            return;
        };
        tokio::time::sleep_until(due).await;
        let Some(state) = state.upgrade() else {
            return;
        };
        if state.drained.get() {
            state.polled.set(tokio::time::Instant::now());
        } else if state.polled.get().elapsed() >= state.limit {
            drop(state.attempt.take());
            return;
        }
    }
}

impl MessageBody for AnswerBody {
    type Error = AnswerTruncated;

    fn size(&self) -> BodySize {
        self.size
    }

    fn poll_next(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Bytes, AnswerTruncated>>> {
        let state = rc::Rc::clone(&self.state);
        let mut attempt = state.attempt.borrow_mut();
        let Some(attempt) = attempt.as_mut() else {
            return task::Poll::Ready(Some(Err(AnswerTruncated)));
        };
        let next = attempt.poll_chunk(context);
        state.polled.set(tokio::time::Instant::now());
        state.drained.set(next.is_pending());
        match next {
            task::Poll::Ready(next) => {
                self.silence = None;
                task::Poll::Ready(next.map(|result| result.map_err(|_| AnswerTruncated)))
            }
            task::Poll::Pending => {
                task::ready!(self.poll_silence(context));
                attempt.truncate(ExchangeFailure {
                    fault: ExchangeFault::Truncated,
                    outcome: RunOutcome::Unknown,
                });
                task::Poll::Ready(Some(Err(AnswerTruncated)))
            }
        }
    }
}
