//! Loopback proxy in front of one listener, which disturbs the connections
//! through it.

use std::cell;
use std::io;
use std::net;
use std::rc;
use std::time;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task;
use tokio::time as timer;

/// Size of the buffer of one direction, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Direction of bytes through a proxy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LinkDirection {
    /// From the side that connects to the listener.
    Request,
    /// From the listener to the side that connects.
    Response,
}

/// Fault of a link. Bytes that are held back arrive once it ends.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct LinkFault {
    /// Time by which each piece is late.
    pub(crate) delay: time::Duration,
    /// Bandwidth of each connection and direction, in kilobytes per second; 0 for no
    /// limit.
    pub(crate) bandwidth: u32,
    pub(crate) holds_requests: bool,
    pub(crate) holds_responses: bool,
}

impl LinkFault {
    fn is_held(&self, direction: LinkDirection) -> bool {
        match direction {
            LinkDirection::Request => self.holds_requests,
            LinkDirection::Response => self.holds_responses,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct LinkState {
    fault: LinkFault,
    /// Connections with lower numbers are reset.
    first_kept: u64,
    /// Connections with lower numbers deliver nothing more.
    first_heard: u64,
}

/// Proxy with its own listener on a free port.
pub(crate) struct LinkProxy {
    pub(crate) address: net::SocketAddr,
    state: rc::Rc<watch::Sender<LinkState>>,
    accepted: rc::Rc<cell::Cell<u64>>,
    /// When a fault last began or ended.
    disturbed_at: cell::Cell<Option<timer::Instant>>,
    /// When the connections that were open were last reset or went silent.
    cut_at: cell::Cell<Option<timer::Instant>>,
    accepting: task::JoinHandle<()>,
}

impl LinkProxy {
    /// Starts a proxy in front of `target`.
    pub(crate) async fn start(target: net::SocketAddr) -> Self {
        let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let state = rc::Rc::new(watch::Sender::new(LinkState::default()));
        let accepted = rc::Rc::new(cell::Cell::new(0));
        let (changes, count) = (rc::Rc::clone(&state), rc::Rc::clone(&accepted));
        let accepting = task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = count.get();
                count.set(number + 1);
                task::spawn_local(relay(stream, target, number, changes.subscribe()));
            }
        });
        Self {
            address,
            state,
            accepted,
            disturbed_at: cell::Cell::new(None),
            cut_at: cell::Cell::new(None),
            accepting,
        }
    }

    /// Returns whether a call that was sent at `sent_at` on a connection that was
    /// opened at `opened_at` may have been disturbed.
    pub(crate) fn is_disturbed(&self, opened_at: timer::Instant, sent_at: timer::Instant) -> bool {
        let is_faulty = self.state.borrow().fault != LinkFault::default();
        is_faulty
            || self.disturbed_at.get().is_some_and(|at| at >= sent_at)
            || self.cut_at.get().is_some_and(|at| at >= opened_at)
    }

    /// Sets the fault of all connections.
    pub(crate) fn set_fault(&self, fault: LinkFault) {
        self.disturbed_at.set(Some(timer::Instant::now()));
        self.state.send_modify(|state| state.fault = fault);
    }

    /// Resets the connections that are open.
    pub(crate) fn reset(&self) {
        self.cut_at.set(Some(timer::Instant::now()));
        let first = self.accepted.get();
        self.state.send_modify(|state| state.first_kept = first);
    }

    /// Makes the connections that are open go silent for good; new ones work.
    pub(crate) fn silence(&self) {
        self.cut_at.set(Some(timer::Instant::now()));
        let first = self.accepted.get();
        self.state.send_modify(|state| state.first_heard = first);
    }
}

impl Drop for LinkProxy {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

/// Relays one connection until both sides have ended, one fails, or it is reset.
async fn relay(
    mut stream: TcpStream,
    target: net::SocketAddr,
    number: u64,
    mut state: watch::Receiver<LinkState>,
) {
    let Ok(mut upstream) = TcpStream::connect(target).await else {
        // Nothing listens there, so this side sees a reset too.
        let _ = stream.set_zero_linger();
        return;
    };
    let _ = (stream.set_nodelay(true), upstream.set_nodelay(true));
    let is_whole = {
        let (request_reader, response_writer) = stream.split();
        let (response_reader, request_writer) = upstream.split();
        let requests = pump(request_reader, request_writer, {
            (LinkDirection::Request, number, state.clone())
        });
        let responses = pump(response_reader, response_writer, {
            (LinkDirection::Response, number, state.clone())
        });
        let both = futures_util::future::try_join(requests, responses);
        tokio::select! {
            ended = both => ended.is_ok(),
            _ = state.wait_for(|state| number < state.first_kept) => false,
        }
    };
    if !is_whole {
        // The sides have failed already if they cannot be changed.
        let _ = (stream.set_zero_linger(), upstream.set_zero_linger());
    }
}

async fn pump(
    mut reader: ReadHalf<'_>,
    mut writer: WriteHalf<'_>,
    (direction, number, mut state): (LinkDirection, u64, watch::Receiver<LinkState>),
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = reader.read(&mut buffer).await?;
        let fault = {
            let is_open =
                |state: &LinkState| number >= state.first_heard && !state.fault.is_held(direction);
            let open = state.wait_for(is_open).await;
            open.map_err(io::Error::other)?.fault
        };
        timer::sleep(fault.delay).await;
        if fault.bandwidth > 0 {
            let seconds = count as f64 / 1_000.0 / f64::from(fault.bandwidth);
            timer::sleep(time::Duration::from_secs_f64(seconds)).await;
        }
        if count == 0 {
            return writer.shutdown().await;
        }
        writer.write_all(&buffer[..count]).await?;
    }
}
