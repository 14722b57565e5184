//! Connections to backend servers.
//!
//! The client library does not say whether a byte of a failed request left
//! the process, nor whether an answer without an announced length broke off.
//! Each connection is therefore a [`ProbeStream`], which notes both in the
//! [`ExchangeProbe`] of the exchange that is being polled.

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
    static CURRENT_PROBE: rc::Rc<ExchangeProbe>;
}

/// What the connection of one exchange did.
#[derive(Debug, Default)]
pub struct ExchangeProbe {
    written: cell::Cell<u64>,
    closed: cell::Cell<bool>,
    seat: cell::RefCell<Option<ConnectionSeat>>,
}

impl ExchangeProbe {
    /// Creates a probe; a new connection takes `seat` with it.
    pub fn new(seat: Option<ConnectionSeat>) -> Self {
        Self {
            seat: cell::RefCell::new(seat),
            ..Self::default()
        }
    }

    /// Returns whether a byte of the request was handed to the connection.
    pub fn has_written(&self) -> bool {
        self.written.get() > 0
    }

    /// Returns whether the backend server closed the connection before its
    /// answer was complete.
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }
}

/// Polls `future` with `probe` noting what its connection does.
pub fn probed<T>(probe: &rc::Rc<ExchangeProbe>, poll: impl FnOnce() -> T) -> T {
    CURRENT_PROBE.sync_scope(rc::Rc::clone(probe), poll)
}

/// Counts the connections to each backend server that are kept for reuse,
/// over all threads of the process.
#[derive(Clone, Debug)]
pub struct ConnectionSeats {
    limit: usize,
    taken: sync::Arc<sync::Mutex<HashMap<net::SocketAddr, usize>>>,
}

impl ConnectionSeats {
    /// Creates seats for `limit` connections to each backend server.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            taken: sync::Arc::default(),
        }
    }

    /// Takes a seat, or returns `None` if all are taken.
    pub fn take(&self, address: net::SocketAddr) -> Option<ConnectionSeat> {
        let mut taken = lock(&self.taken);
        let count = taken.entry(address).or_default();
        if *count >= self.limit {
            return None;
        }
        *count += 1;
        let seats = self.clone();
        Some(ConnectionSeat { seats, address })
    }
}

/// Right to keep one connection for reuse; given back when it is dropped.
#[derive(Debug)]
pub struct ConnectionSeat {
    seats: ConnectionSeats,
    address: net::SocketAddr,
}

impl Drop for ConnectionSeat {
    fn drop(&mut self) {
        let mut taken = lock(&self.seats.taken);
        if let Some(count) = taken.get_mut(&self.address) {
            *count -= 1;
            if *count == 0 {
                taken.remove(&self.address);
            }
        }
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// Connection that notes what happens on it.
pub struct ProbeStream {
    stream: TcpStream,
    _seat: Option<ConnectionSeat>,
}

impl ProbeStream {
    fn stream(self: pin::Pin<&mut Self>) -> pin::Pin<&mut TcpStream> {
        pin::Pin::new(&mut self.get_mut().stream)
    }
}

impl fmt::Debug for ProbeStream {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.stream, formatter)
    }
}

impl AsyncRead for ProbeStream {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let has_room = buffer.remaining() > 0;
        let result = task::ready!(self.stream().poll_read(context, buffer));
        let ended = result.is_err() || buffer.filled().len() == filled;
        if has_room && ended {
            let _ = CURRENT_PROBE.try_with(|probe| probe.closed.set(true));
        }
        task::Poll::Ready(result)
    }
}

impl AsyncWrite for ProbeStream {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let result = task::ready!(self.stream().poll_write(context, buffer));
        task::Poll::Ready(note_written(result))
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
        task::Poll::Ready(note_written(result))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

fn note_written(result: io::Result<usize>) -> io::Result<usize> {
    if let Ok(bytes) = &result {
        let bytes = *bytes as u64;
        let _ = CURRENT_PROBE.try_with(|probe| probe.written.set(probe.written.get() + bytes));
    }
    result
}

impl ActixStream for ProbeStream {
    fn poll_read_ready(&self, context: &mut task::Context<'_>) -> task::Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, context)
    }

    fn poll_write_ready(&self, context: &mut task::Context<'_>) -> task::Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, context)
    }
}

/// Opens connections to the address that a request carries.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeConnector;

impl Service<ConnectInfo<Uri>> for ProbeConnector {
    type Response = Connection<Uri, ProbeStream>;
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
            let seat = CURRENT_PROBE
                .try_with(|probe| probe.seat.borrow_mut().take())
                .ok()
                .flatten();
            let stream = ProbeStream {
                stream,
                _seat: seat,
            };
            Ok(Connection::new(info.request().clone(), stream))
        })
    }
}
