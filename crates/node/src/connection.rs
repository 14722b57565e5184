//! Connections to backend servers.
//!
//! The client library does not report whether a byte of a failed request was
//! written, nor whether a response without a declared length was truncated.
//! Each connection is therefore a [`MonitoredStream`], which records both in
//! the [`ConnectionMonitor`] of the exchange that is being polled.

use std::cell;
use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net;
use std::pin;
use std::rc;
use std::sync;
use std::task;

use actix_codec::{AsyncRead, AsyncWrite, ReadBuf};
use actix_http::Uri;
use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::Service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use futures_util::future;

tokio::task_local! {
    static CURRENT_MONITOR: rc::Rc<ConnectionMonitor>;
}

/// Records writes and the closing of the connection of one exchange.
#[derive(Debug, Default)]
pub struct ConnectionMonitor {
    written: cell::Cell<u64>,
    closed: cell::Cell<bool>,
    guard: cell::RefCell<Option<ConnectionGuard>>,
}

impl ConnectionMonitor {
    /// Creates a monitor; a newly opened connection takes ownership of `guard`.
    pub fn new(guard: Option<ConnectionGuard>) -> Self {
        Self {
            guard: cell::RefCell::new(guard),
            ..Self::default()
        }
    }

    /// Returns whether a byte of the request was written to the connection.
    pub fn has_written(&self) -> bool {
        self.written.get() > 0
    }

    /// Returns whether the backend server closed the connection before its
    /// response was complete.
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }
}

/// Calls `poll` while `monitor` records the activity of its connection.
pub fn with_monitor<T>(monitor: &rc::Rc<ConnectionMonitor>, poll: impl FnOnce() -> T) -> T {
    CURRENT_MONITOR.sync_scope(rc::Rc::clone(monitor), poll)
}

/// Limits the connections to each backend server that are kept for reuse,
/// across all threads of the process.
#[derive(Clone, Debug)]
pub struct ConnectionLimiter {
    limit: usize,
    reserved: sync::Arc<sync::Mutex<HashMap<net::SocketAddr, usize>>>,
}

impl ConnectionLimiter {
    /// Creates a limiter for `limit` connections to each backend server.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            reserved: sync::Arc::default(),
        }
    }

    /// Reserves one connection, or returns `None` at the limit.
    pub fn try_acquire(&self, address: net::SocketAddr) -> Option<ConnectionGuard> {
        let mut reserved = lock(&self.reserved);
        let count = reserved.entry(address).or_default();
        if *count >= self.limit {
            return None;
        }
        *count += 1;
        let limiter = self.clone();
        Some(ConnectionGuard { limiter, address })
    }
}

/// Reservation of one reusable connection; released on drop.
#[derive(Debug)]
pub struct ConnectionGuard {
    limiter: ConnectionLimiter,
    address: net::SocketAddr,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let mut reserved = lock(&self.limiter.reserved);
        if let Some(count) = reserved.get_mut(&self.address) {
            *count -= 1;
            if *count == 0 {
                reserved.remove(&self.address);
            }
        }
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// Connection that reports to the current [`ConnectionMonitor`].
pub struct MonitoredStream {
    stream: TcpStream,
    _guard: Option<ConnectionGuard>,
}

impl MonitoredStream {
    fn stream(self: pin::Pin<&mut Self>) -> pin::Pin<&mut TcpStream> {
        pin::Pin::new(&mut self.get_mut().stream)
    }
}

impl fmt::Debug for MonitoredStream {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.stream, formatter)
    }
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let has_capacity = buffer.remaining() > 0;
        let result = task::ready!(self.stream().poll_read(context, buffer));
        let is_closed = result.is_err() || buffer.filled().len() == filled;
        if has_capacity && is_closed {
            let _ = CURRENT_MONITOR.try_with(|monitor| monitor.closed.set(true));
        }
        task::Poll::Ready(result)
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let result = task::ready!(self.stream().poll_write(context, buffer));
        task::Poll::Ready(record_written(result))
    }

    fn poll_flush(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        self.stream().poll_flush(context)
    }

    fn poll_shutdown(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        self.stream().poll_shutdown(context)
    }

    fn poll_write_vectored(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let result = task::ready!(self.stream().poll_write_vectored(context, buffers));
        task::Poll::Ready(record_written(result))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

fn record_written(result: io::Result<usize>) -> io::Result<usize> {
    if let Ok(bytes) = &result {
        let bytes = *bytes as u64;
        let _ =
            CURRENT_MONITOR.try_with(|monitor| monitor.written.set(monitor.written.get() + bytes));
    }
    result
}

impl ActixStream for MonitoredStream {
    fn poll_read_ready(&self, context: &mut task::Context<'_>) -> task::Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, context)
    }

    fn poll_write_ready(&self, context: &mut task::Context<'_>) -> task::Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, context)
    }
}

/// Opens connections to the address set in the request.
#[derive(Clone, Copy, Debug, Default)]
pub struct MonitoredConnector;

impl Service<ConnectInfo<Uri>> for MonitoredConnector {
    type Response = Connection<Uri, MonitoredStream>;
    type Error = ConnectError;
    type Future = future::LocalBoxFuture<'static, Result<Self::Response, ConnectError>>;

    actix_service::always_ready!();

    fn call(&self, mut info: ConnectInfo<Uri>) -> Self::Future {
        Box::pin(async move {
            let address = info.take_addrs().next().ok_or(ConnectError::NoRecords)?;
            let stream = TcpStream::connect(address)
                .await
                .map_err(ConnectError::Io)?;
            stream.set_nodelay(true).map_err(ConnectError::Io)?;
            let guard = CURRENT_MONITOR
                .try_with(|monitor| monitor.guard.borrow_mut().take())
                .ok()
                .flatten();
            let stream = MonitoredStream {
                stream,
                _guard: guard,
            };
            Ok(Connection::new(info.request().clone(), stream))
        })
    }
}
