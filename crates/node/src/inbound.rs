//! The byte stream of a caller's connection.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task;
use std::time;

use actix_rt::net::TcpStream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

/// Shortest time between two wake-ups for a timeout.
const SHORTEST_PERIOD: time::Duration = time::Duration::from_millis(50);

/// A connection whose task wakes again while no bytes come.
///
/// The HTTP library sets its timeouts by a clock that is up to half a second
/// behind, and a timeout that lies in the past when it is set wakes nobody.
/// It takes note of such a timeout the next time its task runs.
#[derive(Debug)]
pub struct CallerStream {
    inner: TcpStream,
    period: time::Duration,
    wake: Pin<Box<Sleep>>,
}

impl CallerStream {
    /// Wraps a connection whose task is to run at least once each `period`.
    pub fn new(inner: TcpStream, period: time::Duration) -> Self {
        let period = period.max(SHORTEST_PERIOD);
        Self {
            inner,
            period,
            wake: Box::pin(tokio::time::sleep(period)),
        }
    }

    /// Arranges that the task runs again after the period.
    fn arm(&mut self, context: &mut task::Context<'_>) {
        while self.wake.as_mut().poll(context).is_ready() {
            let due = tokio::time::Instant::now() + self.period;
            self.wake.as_mut().reset(due);
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let read = Pin::new(&mut self.inner).poll_read(context, buffer);
        if read.is_pending() {
            self.arm(context);
        }
        read
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
