//! Polling of the configuration and tracking of its freshness.

use std::rc;
use std::time;

use redwing_provider::Result;
use tokio::time as timer;

use crate::config::propagation;
use crate::config::row;
use crate::config::service::{CALL_CAUSE, ConfigService};
use crate::event;
use crate::stop::{StopPhase, StopReceiver};

/// Time between two checks whether the configuration is still fresh.
const FRESHNESS_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Width of the random variation of the poll interval, as a fraction of it.
const POLL_JITTER_FRACTION: f64 = 0.5;

/// Keeps the configuration up to date until the process has stopped.
pub async fn run(service: rc::Rc<ConfigService>, mut stop: StopReceiver) {
    tokio::select! {
        () = poll(&service) => {}
        () = watch_freshness(&service) => {}
        // A closed channel also ends the task.
        _ = stop.wait_for(|phase| *phase == StopPhase::Ended) => {}
    }
}

/// Polls for changes, and immediately when a refresh is requested after a gap.
async fn poll(service: &ConfigService) {
    loop {
        if let Err(error) = service.refresh().await {
            log_event!(
                debug,
                event::CONFIG_UNREAD,
                "{error}; the peers are read if they may have a newer version"
            );
            service.refresh_from_peers().await;
        }
        let factor = 1.0 + POLL_JITTER_FRACTION * (rand::random::<f64>() - 0.5);
        let delay = service.settings.poll_interval.mul_f64(factor);
        tokio::select! {
            () = timer::sleep(delay) => {}
            () = service.refresh_requested.notified() => {}
        }
    }
}

/// Periodically publishes whether the configuration is fresh.
async fn watch_freshness(service: &ConfigService) {
    loop {
        service.check_freshness();
        timer::sleep(FRESHNESS_CHECK_INTERVAL).await;
    }
}

impl ConfigService {
    /// Reads changes from the table and installs them.
    ///
    /// # Errors
    ///
    /// Fails if the table does not respond; the version in force is unchanged.
    pub async fn refresh(&self) -> Result<()> {
        let requested_at = time::Instant::now();
        let (version, cursor) = {
            let state = self.state.borrow();
            (state.version(), state.cursor())
        };
        let outcome = if version == 0 {
            let scan = self.client.scan(CALL_CAUSE, row::CONFIG_PREFIX).await?;
            self.state.borrow_mut().install_scan(&scan)
        } else {
            let changes = self
                .client
                .changes(CALL_CAUSE, row::CONFIG_PREFIX, cursor)
                .await?;
            self.state.borrow_mut().install_changes(&changes, cursor)
        };
        self.publish_install(&outcome, "the table");
        if outcome.is_current() {
            self.extend_freshness(requested_at);
        }
        Ok(())
    }

    /// Installs the snapshot of a peer: without a configuration, the highest version
    /// in the snapshots of a majority of the members; otherwise the highest of any
    /// peer, if one has reported a higher version.
    pub async fn refresh_from_peers(&self) {
        let version = self.version();
        if version > 0 && self.peers.highest_version() <= version {
            return;
        }
        let snapshots = self.peers.fetch_snapshots().await;
        let snapshot = match version {
            0 => propagation::majority_snapshot(snapshots, self.peers.peer_count()),
            _ => snapshots
                .into_iter()
                .max_by_key(|snapshot| snapshot.version),
        };
        if let Some(snapshot) = snapshot {
            let outcome = self.state.borrow_mut().install_snapshot(&snapshot);
            self.publish_install(&outcome, "a snapshot of a peer");
        }
    }

    /// Updates and publishes whether the configuration is fresh.
    pub fn check_freshness(&self) {
        self.check_peers();
        self.publish();
    }

    /// Extends the freshness if a majority of members responded recently and no
    /// peer has reported a higher version.
    fn check_peers(&self) {
        let version = self.version();
        if version == 0 || self.peers.highest_version() > version {
            return;
        }
        let max_age = self.settings.freshness_limit / 2;
        let reachable = self.peers.reachable(max_age);
        if propagation::is_majority(reachable + 1, self.peers.peer_count()) {
            let responded_after = time::Instant::now().checked_sub(max_age);
            self.extend_freshness(responded_after.unwrap_or_else(time::Instant::now));
        }
    }

    fn extend_freshness(&self, verified_at: time::Instant) {
        self.freshness
            .extend(verified_at + self.settings.freshness_limit);
        self.publish();
    }
}
