//! Rows of entry processes in the platform's table.

use std::collections::BTreeSet;
use std::net;

use redwing_model::{DataCentre, NodeId, NodeIncarnation};
use serde::{Deserialize, Serialize};

/// Prefix of the rows of entry processes.
pub const MEMBER_PREFIX: &str = "member/";

/// Row of one entry VM: the incarnation that currently runs there.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct MemberRecord {
    /// The incarnation that runs on the entry VM.
    pub incarnation: NodeIncarnation,
    /// Random number of the registration; distinguishes a write of this process
    /// whose response was lost from one of a competing process.
    pub nonce: u64,
    /// Address of the peer listener.
    pub peer_address: net::SocketAddr,
    /// Data centre of the entry VM.
    pub data_centre: DataCentre,
    /// Ended incarnations whose tokens it no longer holds and from which it accepts none.
    pub settled: BTreeSet<NodeIncarnation>,
}

/// Returns the key of the row of `node`.
pub fn member_key(node: &NodeId) -> String {
    format!("{MEMBER_PREFIX}{node}")
}
