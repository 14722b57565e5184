//! Messages between the schedulers of entry processes.

use redwing_model::{ClassName, TeamName};
use serde::{Deserialize, Serialize};

use crate::token::{TokenId, TokenPool};

/// What one scheduler tells another; only what changed since the last message.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct PeerMessage {
    /// Number of the message; grows with each message to the same peer.
    pub sequence: u64,
    /// Demand and service of teams, for entries that changed.
    pub demand: Vec<TeamDemand>,
    /// Idle slots of classes, for entries that changed.
    pub idle: Vec<IdleSlots>,
    /// Permits that the sender could use now.
    pub wants: Vec<PermitWant>,
    /// Tokens given to the receiver.
    pub transfers: Vec<TokenTransfer>,
    /// Numbers of transfers that arrived.
    pub received: Vec<u64>,
    /// Tokens that the receiver should pass back, since their home is the sender.
    pub recalls: Vec<TokenPool>,
}

impl PeerMessage {
    /// Returns whether the message says nothing.
    pub fn is_empty(&self) -> bool {
        let demand = self.demand.is_empty() && self.idle.is_empty() && self.wants.is_empty();
        demand && self.transfers.is_empty() && self.received.is_empty() && self.recalls.is_empty()
    }
}

/// Waiting requests of a team in a class at the sender, and service received.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TeamDemand {
    /// Class of work.
    pub class: ClassName,
    /// Team; `None` for callers without a key.
    pub team: Option<TeamName>,
    /// Requests waiting at the sender.
    pub waiting: u32,
    /// Slot time used through the sender since it started, in microseconds.
    pub service_micros: u64,
}

/// Idle slots of a class at the sender.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct IdleSlots {
    /// Class of work.
    pub class: ClassName,
    /// Number of idle slots.
    pub slots: u32,
}

/// Permits of a team that the sender could use now.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PermitWant {
    /// Team that the permits belong to.
    pub team: TeamName,
    /// Number of permits.
    pub permits: u32,
}

/// Tokens that pass from the sender to the receiver.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TokenTransfer {
    /// Number of the transfer at the sender; a repeated one is ignored.
    pub id: u64,
    /// The tokens.
    pub tokens: Vec<TokenId>,
}
