//! Pure request-path decisions of redwinglb.
//!
//! Nothing here does I/O or reads a clock: the time is passed in, and every
//! decision comes out as a [`SchedulerAction`]. A [`NodeScheduler`] decides
//! for one entry process; several of them exchange [`PeerMessage`]s.
//!
//! What may run at once is counted in numbered tokens (see [`token`]): one
//! for each slot of a worker and one for each unit of a team's limit. A
//! request is dispatched only by a process that holds one token of each kind.

pub mod clock;
pub mod exchange;
pub mod scheduler;
pub mod ticket;
pub mod token;

pub use clock::NodeTime;
pub use exchange::PeerMessage;
pub use scheduler::{FleetView, NodeScheduler, SchedulerAction, SchedulerSettings};
pub use ticket::{AttemptReport, RefusalReason, RequestTicket, TicketId};
pub use token::{TokenId, TokenPool};
