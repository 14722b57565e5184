//! Pure request-path decisions of redwinglb.
//!
//! Nothing here does I/O or reads a clock: the time is passed in, and every
//! decision comes out as a [`SchedulerAction`]. A [`NodeScheduler`] decides
//! for one entry process; several of them exchange [`PeerMessage`]s.
//!
//! What may run at once is counted in numbered tokens (see [`token`]): one
//! for each slot of a worker and one for each unit of a customer's limit. A
//! request is dispatched only by a process that holds one token of each kind.

pub mod clock;
pub mod demand;
pub mod estimate;
pub mod fair_queue;
pub mod ledger;
pub mod message;
pub mod outlier;
pub mod peer_link;
pub mod retry;
pub mod scheduler;
pub mod ticket;
pub mod token;
pub mod worker_index;

pub use clock::NodeTime;
pub use ledger::TokenCounts;
pub use message::PeerMessage;
pub use scheduler::{FleetView, NodeScheduler, SchedulerAction, SchedulerSettings};
pub use ticket::{AttemptReport, AttemptVerdict, RefusalReason, RequestTicket, TicketId};
pub use token::{TokenId, TokenPool};
