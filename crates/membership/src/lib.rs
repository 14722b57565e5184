//! Pure decisions over membership of entry processes and homes of tokens.
//!
//! Each token has a home: the incarnation that may use it or lend it. Homes
//! are rows of the platform's table, so that they outlast every process.
//! [`OwnerAssignment`] gives homes to tokens that have none, and
//! [`EndedTracker`] decides when the tokens of an ended incarnation may be
//! given to others.
//!
//! # Examples
//!
//! ```
//! use redwing_membership::HomeAssignment;
//! use redwing_model::{NodeIncarnation, VmId};
//! use redwing_policy::TokenPool;
//!
//! let member: NodeIncarnation = "entry-1.1".parse()?;
//! let members = [member.clone()];
//! let assignment = HomeAssignment::new(&members, |_| false);
//! let pool = TokenPool::Slot(VmId::new("vm-1")?);
//! let record = assignment.assign(&pool, None, 8).expect("eight slots lack a home");
//! assert_eq!(record.home(7), Some(&member));
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
