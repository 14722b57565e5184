//! Graceful stop of the process.

use std::io;

use tokio::signal::unix;
use tokio::sync::watch;

/// How far the process has stopped.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum StopPhase {
    /// The process serves.
    #[default]
    Running,
    /// The balancer is told to leave it; requests are still accepted.
    Leaving,
    /// No connection is accepted; what is queued or runs is finished.
    Draining,
    /// Everything is finished; tasks of the control thread end.
    Ended,
}

/// Receiving end of the phase.
pub type StopReceiver = watch::Receiver<StopPhase>;

/// Signal that asked the process to stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopSignal {
    /// SIGTERM: the balancer needs time to notice.
    Terminate,
    /// SIGINT: a person at a terminal waits.
    Interrupt,
}

/// Signals of the process, listened to from the moment of creation.
#[derive(Debug)]
pub struct SignalListener {
    terminate: unix::Signal,
    interrupt: unix::Signal,
}

impl SignalListener {
    /// Starts to listen.
    ///
    /// # Errors
    ///
    /// Fails if the system refuses a signal handler.
    pub fn open() -> io::Result<Self> {
        Ok(Self {
            terminate: unix::signal(unix::SignalKind::terminate())?,
            interrupt: unix::signal(unix::SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal to stop.
    pub async fn next(&mut self) -> StopSignal {
        tokio::select! {
            _ = self.terminate.recv() => StopSignal::Terminate,
            _ = self.interrupt.recv() => StopSignal::Interrupt,
        }
    }
}
