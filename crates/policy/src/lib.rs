//! Request scheduling of redwinglb, without I/O.
//!
//! Nothing here does I/O or reads a clock: callers pass the time in, and every
//! decision is returned as a [`SchedulerAction`]. A [`NodeScheduler`] schedules
//! the requests of one entry process; the schedulers of several processes
//! exchange [`PeerMessage`]s.
//!
//! Concurrency is bounded by numbered tokens (see [`token`]): one for each slot
//! of a backend server and one for each unit of a customer's limit. A process
//! needs one token of each kind to dispatch a request.

pub mod clock;
pub mod demand;
pub mod estimate;
pub mod evacuation;
pub mod fair_queue;
pub mod ledger;
pub mod message;
pub mod outlier;
pub mod peer_link;
pub mod retry;
pub mod scheduler;
pub mod slow_start;
pub mod ticket;
pub mod token;
pub mod worker_index;

pub use clock::NodeTime;
pub use ledger::TokenCounts;
pub use message::PeerMessage;
pub use scheduler::{FleetView, NodeScheduler, SchedulerAction, SchedulerSettings};
pub use ticket::{AttemptReport, AttemptVerdict, RefusalReason, RequestTicket, TicketId};
pub use token::{TokenId, TokenPool};
