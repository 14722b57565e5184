//! Graceful stop of the process.

use std::io;

use tokio::signal::unix;
use tokio::sync::watch;

/// Phase of the graceful stop.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum StopPhase {
    /// The process serves requests.
    #[default]
    Running,
    /// The process reports not ready to the balancer; requests are still accepted.
    Leaving,
    /// No connection is accepted; queued and running requests are finished.
    Draining,
    /// All requests are finished; the tasks of the control thread end.
    Ended,
}

/// Receiver of the stop phase.
pub type StopReceiver = watch::Receiver<StopPhase>;

/// Signal that stops the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopSignal {
    /// SIGTERM: the process accepts requests for the leave delay, until the
    /// balancer stops sending them.
    Terminate,
    /// SIGINT from a terminal: the process skips the leave delay.
    Interrupt,
}

/// Listener for stop signals, which are received from its creation on.
#[derive(Debug)]
pub struct SignalListener {
    terminate: unix::Signal,
    interrupt: unix::Signal,
}

impl SignalListener {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// Fails if a signal handler cannot be installed.
    pub fn open() -> io::Result<Self> {
        Ok(Self {
            terminate: unix::signal(unix::SignalKind::terminate())?,
            interrupt: unix::signal(unix::SignalKind::interrupt())?,
        })
    }

    /// Waits for the next stop signal.
    pub async fn next(&mut self) -> StopSignal {
        tokio::select! {
            _ = self.terminate.recv() => StopSignal::Terminate,
            _ = self.interrupt.recv() => StopSignal::Interrupt,
        }
    }
}
