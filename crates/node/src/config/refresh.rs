//! Keeps the configuration of a process current.

use std::rc;
use std::time;

use redwing_provider::Result;
use tokio::time as timer;

use crate::config::desk::{CAUSE, ConfigDesk};
use crate::config::row;
use crate::config::spread;
use crate::event;
use crate::stop::{StopPhase, StopReceiver};

/// Time between two decisions whether keys are still trusted.
const TRUST_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Part of the poll interval by which it varies at random.
const POLL_JITTER: f64 = 0.5;

/// Keeps the configuration current until the process has stopped.
pub async fn run(desk: rc::Rc<ConfigDesk>, mut stop: StopReceiver) {
    tokio::select! {
        () = poll(&desk) => {}
        () = watch_trust(&desk) => {}
        // A closed channel ends the task as well.
        _ = stop.wait_for(|phase| *phase == StopPhase::Ended) => {}
    }
}

/// Reads what changed again and again, at once if a gap was noticed.
async fn poll(desk: &ConfigDesk) {
    loop {
        if let Err(error) = desk.refresh().await {
            log_event!(debug, event::CONFIG_UNREAD, "{error}");
            desk.refresh_from_peers().await;
        }
        let factor = 1.0 + POLL_JITTER * (rand::random::<f64>() - 0.5);
        let pause = desk.settings.poll_interval.mul_f64(factor);
        tokio::select! {
            () = timer::sleep(pause) => {}
            () = desk.wake.notified() => {}
        }
    }
}

/// Publishes whether keys are trusted, as time passes.
async fn watch_trust(desk: &ConfigDesk) {
    loop {
        desk.check_trust();
        timer::sleep(TRUST_INTERVAL).await;
    }
}

impl ConfigDesk {
    /// Reads what changed from the table.
    ///
    /// # Errors
    ///
    /// Fails if the table does not answer; what is in force stays.
    pub async fn refresh(&self) -> Result<()> {
        let asked_at = time::Instant::now();
        let (version, cursor) = {
            let state = self.state.borrow();
            (state.version(), state.cursor())
        };
        let outcome = if version == 0 {
            let scan = self.client.scan(CAUSE, row::PREFIX).await?;
            self.state.borrow_mut().install_scan(&scan)
        } else {
            let changes = self.client.changes(CAUSE, row::PREFIX, cursor).await?;
            self.state.borrow_mut().install_changes(&changes, cursor)
        };
        self.after_install(&outcome, "the table");
        if outcome.is_current() {
            self.note_fresh(asked_at);
        }
        Ok(())
    }

    /// Installs the highest version among a majority of the peers, if the
    /// process has none or knows that a peer has a higher one.
    pub async fn refresh_from_peers(&self) {
        let version = self.version();
        if version > 0 && self.spread.highest_version() <= version {
            return;
        }
        let copies = self.spread.fetch_copies().await;
        let copy = match version {
            0 => spread::highest_copy(copies, self.spread.peer_count()),
            _ => copies.into_iter().max_by_key(|copy| copy.version),
        };
        if let Some(copy) = copy {
            let outcome = self.state.borrow_mut().install_copy(&copy);
            self.after_install(&outcome, "a peer's copy");
        }
    }

    /// Publishes whether keys are trusted now.
    pub fn check_trust(&self) {
        self.note_peers();
        self.publish();
    }

    /// Notes whether a majority of members, none of which has a higher
    /// version, was heard of lately.
    fn note_peers(&self) {
        let version = self.version();
        if version == 0 || self.spread.highest_version() > version {
            return;
        }
        let limit = self.settings.trust_limit / 2;
        let heard = self.spread.reachable(limit);
        if spread::is_majority(heard + 1, self.spread.peer_count()) {
            let heard_at = time::Instant::now().checked_sub(limit);
            self.note_fresh(heard_at.unwrap_or_else(time::Instant::now));
        }
    }

    fn note_fresh(&self, at: time::Instant) {
        self.trust.extend(at + self.settings.trust_limit);
        self.publish();
    }
}
