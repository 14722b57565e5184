//! What workers offer at most, as an entry process knows it.

use std::cell;
use std::rc;
use std::time;

use redwing_jobs::BootTime;
use redwing_jobs::feasibility::FleetCapacity;
use redwing_provider::{CallCause, TableClient};

use crate::clock;
use crate::event;
use crate::log_job_event;
use crate::row;

use super::answer::CallerSettings;

/// Reads what workers offer from the table, beside the requests of callers.
pub(super) struct OfferReader {
    client: TableClient,
    interval: time::Duration,
    longest_age: time::Duration,
    offer: cell::RefCell<rc::Rc<FleetCapacity>>,
    /// When the latest read that was answered was sent.
    read_at: cell::Cell<Option<BootTime>>,
    /// When a read was last sent.
    asked_at: cell::Cell<Option<BootTime>>,
}

impl OfferReader {
    /// Creates a reader that knows of no offer yet.
    pub(super) fn new(client: TableClient, settings: &CallerSettings) -> Self {
        Self {
            client,
            interval: settings.offer_interval,
            longest_age: settings.offer_age,
            offer: cell::RefCell::default(),
            read_at: cell::Cell::default(),
            asked_at: cell::Cell::default(),
        }
    }

    /// Returns what is known, which is nothing if it is too old, and has it
    /// read again if it is time.
    pub(super) fn current(self: &rc::Rc<Self>) -> rc::Rc<FleetCapacity> {
        let now = clock::boot_now();
        let is_older = |at: Option<BootTime>, age: time::Duration| {
            at.is_none_or(|at| now.saturating_since(at) >= age)
        };
        if is_older(self.asked_at.get(), self.interval) {
            self.asked_at.set(Some(now));
            let reader = rc::Rc::clone(self);
            tokio::task::spawn_local(async move { reader.read().await });
        }
        if is_older(self.read_at.get(), self.longest_age) {
            return rc::Rc::default();
        }
        rc::Rc::clone(&self.offer.borrow())
    }

    async fn read(&self) {
        let sent_at = clock::boot_now();
        let view = match self.client.scan(CallCause::Job, row::OFFER_KEY).await {
            Ok(view) => view,
            Err(error) => {
                log_job_event!(info, event::ROW_UNREAD, row = row::OFFER_KEY, error = error);
                return;
            }
        };
        let Some(entry) = view.rows.first() else {
            return;
        };
        match row::read::<FleetCapacity>(entry) {
            Ok(offer) => {
                self.offer.replace(rc::Rc::new(offer));
                self.read_at.set(Some(sent_at));
            }
            Err(error) => {
                log_job_event!(info, event::ROW_UNREAD, row = row::OFFER_KEY, error = error);
            }
        }
    }
}
