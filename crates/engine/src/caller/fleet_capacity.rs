//! Fleet capacity as read from the table.

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

use super::service::CallerSettings;

/// Reads the fleet capacity from the table, in the background of the requests
/// of callers.
pub(super) struct CapacityReader {
    client: TableClient,
    interval: time::Duration,
    max_age: time::Duration,
    capacity: cell::RefCell<rc::Rc<FleetCapacity>>,
    /// When the latest successful read was sent.
    read_at: cell::Cell<Option<BootTime>>,
    /// When a read was last sent.
    requested_at: cell::Cell<Option<BootTime>>,
}

impl CapacityReader {
    /// Creates a reader without a capacity yet.
    pub(super) fn new(client: TableClient, settings: &CallerSettings) -> Self {
        Self {
            client,
            interval: settings.fleet_capacity_interval,
            max_age: settings.max_fleet_capacity_age,
            capacity: cell::RefCell::default(),
            read_at: cell::Cell::default(),
            requested_at: cell::Cell::default(),
        }
    }

    /// Returns the capacity, or an empty one, which refuses no job, if it is too
    /// old; starts a read if the interval has elapsed.
    pub(super) fn current(self: &rc::Rc<Self>) -> rc::Rc<FleetCapacity> {
        let now = clock::boot_now();
        let is_older = |at: Option<BootTime>, age: time::Duration| {
            at.is_none_or(|at| now.saturating_since(at) >= age)
        };
        if is_older(self.requested_at.get(), self.interval) {
            self.requested_at.set(Some(now));
            let reader = rc::Rc::clone(self);
            tokio::task::spawn_local(async move { reader.read().await });
        }
        if is_older(self.read_at.get(), self.max_age) {
            return rc::Rc::default();
        }
        rc::Rc::clone(&self.capacity.borrow())
    }

    async fn read(&self) {
        let requested_at = clock::boot_now();
        let view = match self
            .client
            .scan(CallCause::Job, row::FLEET_CAPACITY_KEY)
            .await
        {
            Ok(view) => view,
            Err(error) => {
                log_job_event!(
                    info,
                    event::ROW_UNREAD,
                    row = row::FLEET_CAPACITY_KEY,
                    error = error
                );
                return;
            }
        };
        let Some(entry) = view.rows.first() else {
            return;
        };
        match row::read::<FleetCapacity>(entry) {
            Ok(capacity) => {
                self.capacity.replace(rc::Rc::new(capacity));
                self.read_at.set(Some(requested_at));
            }
            Err(error) => {
                log_job_event!(
                    info,
                    event::ROW_UNREAD,
                    row = row::FLEET_CAPACITY_KEY,
                    error = error
                );
            }
        }
    }
}
