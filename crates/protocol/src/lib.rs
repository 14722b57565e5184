//! Internal protocol between redwinglb processes.
//!
//! The schema is `schema/peer.capnp`; [`peer_capnp`] is generated from it and
//! committed, so that the build needs no generator. [`convert`] converts
//! between the wire format and the types of `redwing-policy` and
//! `redwing-provider`, and validates what it reads.
//!
//! A process refuses a peer whose [`PROTOCOL_VERSION`] differs from its own.
//! Within one version fields are only added: unknown ones are ignored and
//! missing ones read as zero or empty.
//!
//! # Examples
//!
//! ```
//! use redwing_policy::PeerMessage;
//! use redwing_protocol::{convert, peer_capnp};
//!
//! let mut frame = capnp::message::Builder::new_default();
//! let message = PeerMessage { sequence: 7, ..PeerMessage::default() };
//! convert::write_message(&message, frame.init_root());
//! let reader = frame.get_root_as_reader::<peer_capnp::peer_message::Reader<'_>>()?;
//! assert_eq!(convert::read_message(reader)?, message);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod convert;
pub mod error;

#[allow(
    clippy::all,
    clippy::unwrap_used,
    missing_docs,
    unreachable_pub,
    reason = "generated code follows its generator's style"
)]
pub mod peer_capnp;

pub use error::{Category, Error, Result};

/// Version of the protocol that this build implements.
pub const PROTOCOL_VERSION: u32 = peer_capnp::PROTOCOL_VERSION;
