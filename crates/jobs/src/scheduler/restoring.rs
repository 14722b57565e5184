//! Leases of workers while a new owner reads the rows of jobs.
//!
//! Load pattern: takeovers that take longer than the leases of workers last, on a slow
//! link or with many rows. The runs on all listed workers may go on until the owner knows
//! which of them are current; it starts, stops and acknowledges none before.

use crate::name::WorkerId;
use crate::time::BootTime;
use crate::worker::RenewalReport;

use super::JobScheduler;
use super::clock_reading::ClockReading;
use super::fleet::ContactState;

/// Part of a lease after which it is renewed while rows are read.
const RENEWAL_PART: u32 = 2;

impl JobScheduler {
    /// Starts to renew the leases of all listed workers, before jobs are restored.
    pub fn begin_restoring(&mut self) {
        self.is_restoring = true;
    }

    /// Ends what [`JobScheduler::begin_restoring`] started, once all jobs are restored:
    /// from now on the reports of workers are applied.
    pub fn finish_restoring(&mut self, now: BootTime) {
        self.is_restoring = false;
        self.count_evacuations(now);
        for (id, entry) in self.fleet.iter_mut() {
            entry.next_renewal = now;
            // The runs that it has reported were not applied.
            entry.reported_at = BootTime::default();
            if entry.contact == ContactState::Responsive {
                entry.contact = ContactState::Unconfirmed;
                if let Some(inherited) = &mut self.inherited {
                    inherited.workers.remove(id);
                }
            }
        }
    }

    /// Returns whether jobs are still to be restored.
    pub fn is_restoring(&self) -> bool {
        self.is_restoring
    }

    /// Handles the report of a worker whose lease was renewed; its runs are not applied.
    pub(super) fn keep_lease(
        &mut self,
        worker: &WorkerId,
        issued_at: BootTime,
        report: &RenewalReport,
        now: BootTime,
    ) {
        let interval = self.settings.lease / RENEWAL_PART;
        let retry_delay = self.settings.renewal_retry_delay;
        let may_be_stored = self.lease_ledger.covers(worker);
        let Some(entry) = self.fleet.get_mut(worker) else {
            return;
        };
        if entry.renewal_sent_at == Some(issued_at) {
            entry.renewal_sent_at = None;
        }
        entry.clock = Some(ClockReading {
            clock_ms: report.clock_ms,
            read_at: now,
        });
        entry.contact = ContactState::Responsive;
        entry.next_renewal = if entry.leased_at == Some(issued_at) {
            now + interval
        } else if may_be_stored {
            // It gets a lease once the row without it is stored.
            now + retry_delay
        } else {
            // The first report has only shown the worker's clock.
            now
        };
    }
}
