//! The byte stream of a caller's connection.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task;
use std::time;

use actix_rt::net::TcpStream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

/// Shortest time between two wake-ups of a connection's task.
const MIN_WAKE_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Connection that wakes its task periodically while no bytes arrive.
///
/// The HTTP library computes its deadlines from a cached clock that is up to
/// half a second behind. A deadline that is already past when it is set does
/// not wake the task; the library detects it the next time the task is polled.
#[derive(Debug)]
pub struct CallerStream {
    inner: TcpStream,
    wake_interval: time::Duration,
    timer: Pin<Box<Sleep>>,
}

impl CallerStream {
    /// Wraps a connection whose task is polled at least once each `wake_interval`.
    pub fn new(inner: TcpStream, wake_interval: time::Duration) -> Self {
        let wake_interval = wake_interval.max(MIN_WAKE_INTERVAL);
        Self {
            inner,
            wake_interval,
            timer: Box::pin(tokio::time::sleep(wake_interval)),
        }
    }

    /// Schedules the next wake-up of the task.
    fn schedule_wake_up(&mut self, context: &mut task::Context<'_>) {
        while self.timer.as_mut().poll(context).is_ready() {
            let deadline = tokio::time::Instant::now() + self.wake_interval;
            self.timer.as_mut().reset(deadline);
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
            self.schedule_wake_up(context);
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
