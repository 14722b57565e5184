//! Membership of entry processes and ownership of tokens, without I/O.
//!
//! Each token has an owner: the incarnation that may use or lend it. Owners are
//! recorded in rows of the platform's table, so that the records outlive every
//! process. [`OwnerAssignment`] assigns owners to tokens that have none, and
//! [`EndedTracker`] determines when the tokens of an ended incarnation may be
//! assigned to others.
//!
//! # Examples
//!
//! ```
//! use redwing_membership::OwnerAssignment;
//! use redwing_model::{NodeIncarnation, VmId};
//! use redwing_policy::TokenPool;
//!
//! let member: NodeIncarnation = "entry-1.1".parse()?;
//! let members = [member.clone()];
//! let assignment = OwnerAssignment::new(&members, |_| false);
//! let pool = TokenPool::Slot(VmId::new("vm-1")?);
//! let record = assignment.assign(&pool, None, 8).expect("eight slots lack an owner");
//! assert_eq!(record.owner(7), Some(&member));
//! # Ok::<(), redwing_model::Error>(())
//! ```

pub mod assignment;
pub mod ended;
pub mod member;
pub mod ownership;
pub mod rendezvous;

pub use assignment::OwnerAssignment;
pub use ended::{EndedSettings, EndedTracker, MembershipSnapshot};
pub use member::MemberRecord;
pub use ownership::OwnershipRecord;
