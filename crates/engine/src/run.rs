//! Start, signals and shutdown of an entry process that runs jobs.

use std::io;
use std::rc;
use std::sync;
use std::time;

use actix_server::ServerHandle;
use redwing_provider::backoff::BackoffSettings;
use redwing_provider::breaker::BreakerSettings;
use redwing_provider::{ClientSettings, TableClient};
use tokio::signal::unix;
use tokio::sync::watch;
use tokio::task;
use tokio::time as timer;

use crate::caller::CallerSettings;
use crate::caller::listener::{self, EngineListeners, ListenerDependencies};
use crate::error::{Error, Result};
use crate::event;
use crate::log_job_event;
use crate::manifest;
use crate::metrics::JobMetrics;
use crate::owner::{self, OwnerDependencies, OwnerSettings};
use crate::services::ServicesFactory;
use crate::stop::{CLOSING_TIME, StopPhase};

/// Settings of an entry process.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name of the VM.
    pub node: String,
    /// Time for which the process still serves after the signal to stop.
    pub leave_delay: time::Duration,
    /// Settings of the responses to callers.
    pub caller: CallerSettings,
    /// Settings of the ownership.
    pub owner: OwnerSettings,
    /// Settings of the table client.
    pub client: ClientSettings,
}

impl EngineSettings {
    /// Sets whether the owner publishes backlogs, and callers are refused by them.
    pub fn set_early_refusal(&mut self, is_enabled: bool) {
        self.caller.refuses_early = is_enabled;
        self.owner.publishes_backlogs = is_enabled;
    }
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            node: "entry-1".to_owned(),
            leave_delay: time::Duration::from_millis(3_500),
            caller: CallerSettings::default(),
            owner: OwnerSettings::default(),
            client: client_settings(),
        }
    }
}

/// Returns the settings of a table client whose callers wait for each response.
pub fn client_settings() -> ClientSettings {
    ClientSettings {
        call_timeout: time::Duration::from_millis(1_200),
        scan_timeout: time::Duration::from_millis(2_500),
        scan_hedge_delay: Some(time::Duration::from_millis(600)),
        max_commits_in_flight: 8,
        max_reads_in_flight: 32,
        commit_interval: time::Duration::from_millis(1),
        read_interval: time::Duration::ZERO,
        // Rows of several parts in one transaction take twice as long.
        batch_limit: 1,
        // About as often as a process reads the owner row anyway.
        probe_interval: time::Duration::from_millis(300),
        breaker: BreakerSettings {
            failure_threshold: 5,
            min_open: time::Duration::from_millis(100),
            backoff: BackoffSettings {
                initial_delay: time::Duration::from_millis(50),
                max_delay: time::Duration::from_millis(300),
            },
        },
        ..ClientSettings::default()
    }
}

/// Signals that an entry process handles.
struct ProcessSignals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
    reload: unix::Signal,
}

impl ProcessSignals {
    fn open() -> Result<Self> {
        let open = |kind| {
            let signal = unix::signal(kind);
            signal.map_err(|error| Error::start("listen for signals", "system", error))
        };
        Ok(Self {
            terminate: open(unix::SignalKind::terminate())?,
            interrupt: open(unix::SignalKind::interrupt())?,
            reload: open(unix::SignalKind::hangup())?,
        })
    }

    /// Waits for a signal to stop.
    async fn stop(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.reload.recv() => {
                    // New settings take effect only when the process starts again.
                    log_job_event!(info, event::SETTINGS_RELOADED, changed = "nothing");
                }
            }
        }
    }
}

/// Entry process that serves callers and takes part in the election of the owner.
pub struct EngineProcess {
    settings: EngineSettings,
    stop_phase: watch::Sender<StopPhase>,
    handle: ServerHandle,
    serving: task::JoinHandle<io::Result<()>>,
    owner: task::JoinHandle<()>,
}

impl EngineProcess {
    /// Starts the listeners and the tasks of the process.
    ///
    /// # Errors
    ///
    /// Fails if a listener or the metrics cannot be used.
    pub fn start(
        settings: EngineSettings,
        listeners: EngineListeners,
        factory: sync::Arc<dyn ServicesFactory>,
    ) -> Result<Self> {
        let (stop_sender, stop_phase) = watch::channel(StopPhase::default());
        let services = factory.services();
        let client = TableClient::new(rc::Rc::clone(&services.table), settings.client.clone());
        let metrics = JobMetrics::new()?;
        let operators = manifest::follow_operators(&client, factory.codec(), metrics.clone());
        let dependencies = ListenerDependencies {
            settings: settings.caller.clone(),
            client: settings.client.clone(),
            factory: sync::Arc::clone(&factory),
            operators: operators.clone(),
            stop_phase: stop_phase.clone(),
            metrics: metrics.clone(),
        };
        let server = listener::start(listeners, &dependencies)?;
        let handle = server.handle();
        let serving = actix_rt::spawn(server);
        let owner = task::spawn_local(owner::run(OwnerDependencies {
            node: settings.node.clone(),
            incarnation: rand::random(),
            settings: rc::Rc::new(settings.owner.clone()),
            client,
            services,
            codec: factory.codec(),
            operators,
            stop_phase,
            metrics,
        }));
        log_job_event!(info, event::ENGINE_STARTED, node = settings.node);
        Ok(Self {
            settings,
            stop_phase: stop_sender,
            handle,
            serving,
            owner,
        })
    }

    /// Stops the process as after a signal: it serves for the leave delay, then
    /// completes the requests that it has read.
    pub async fn stop(self) {
        log_job_event!(info, event::ENGINE_STOPPING, node = self.settings.node);
        let closes_at = timer::Instant::now() + self.settings.leave_delay + CLOSING_TIME;
        self.stop_phase.send_replace(StopPhase::stopping(closes_at));
        timer::sleep(self.settings.leave_delay).await;
        self.handle.stop(true).await;
        // The process exits whatever the tasks return.
        let _ = self.serving.await;
        let _ = self.owner.await;
        log_job_event!(info, event::ENGINE_STOPPED, node = self.settings.node);
    }

    /// Ends the tasks and connections of the process at once, as a crash does.
    pub async fn abort(self) {
        self.owner.abort();
        self.handle.stop(false).await;
        // The process has failed whatever the task returns.
        let _ = self.serving.await;
    }
}

/// Serves callers and takes part in the election of the owner, until a signal to
/// stop.
///
/// # Errors
///
/// Fails if a listener or the signals of the process cannot be used.
pub async fn serve(
    settings: EngineSettings,
    listeners: EngineListeners,
    factory: sync::Arc<dyn ServicesFactory>,
) -> Result<()> {
    let mut signals = ProcessSignals::open()?;
    let process = EngineProcess::start(settings, listeners, factory)?;
    signals.stop().await;
    process.stop().await;
    Ok(())
}
