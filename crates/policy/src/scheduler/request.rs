//! State that the scheduler keeps per class and per request.

use std::collections::HashMap;

use redwing_model::VmId;

use crate::clock::NodeTime;
use crate::demand::RemoteDemand;
use crate::estimate::{BacklogRate, RunEstimate};
use crate::fair_queue::{CustomerIndex, FairQueue};
use crate::ticket::RequestTicket;
use crate::token::TokenId;

/// State of one class.
#[derive(Debug, Default)]
pub(super) struct ClassState {
    pub(super) queue: FairQueue,
    pub(super) estimate: RunEstimate,
    pub(super) remote: RemoteDemand,
    pub(super) rates: HashMap<CustomerIndex, BacklogRate>,
    /// Sequence number of the last dispatch; orders the classes for round robin.
    pub(super) last_dispatch: u64,
}

/// State of one waiting or running request.
#[derive(Debug)]
pub(super) struct RequestState {
    pub(super) ticket: RequestTicket,
    pub(super) customer: CustomerIndex,
    pub(super) attempts: u32,
    /// Attempts during which the backend server closed the connection or died.
    pub(super) lost_attempts: u32,
    pub(super) tried: Vec<VmId>,
    /// Whether an earlier attempt may have run.
    pub(super) maybe_ran: bool,
    pub(super) cancelled: bool,
    pub(super) attempt: Option<RunningAttempt>,
}

/// An attempt whose end has not been reported.
#[derive(Debug)]
pub(super) struct RunningAttempt {
    pub(super) vm: VmId,
    pub(super) slot: TokenId,
    pub(super) permit: Option<TokenId>,
    pub(super) started: NodeTime,
    /// Slot time charged so far, in microseconds.
    pub(super) charged: i64,
}

impl RequestState {
    pub(super) fn new(ticket: RequestTicket, customer: CustomerIndex) -> Self {
        Self {
            ticket,
            customer,
            attempts: 0,
            lost_attempts: 0,
            tried: Vec::new(),
            maybe_ran: false,
            cancelled: false,
            attempt: None,
        }
    }

    pub(super) fn is_waiting(&self) -> bool {
        self.attempt.is_none()
    }
}
