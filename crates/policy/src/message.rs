//! Messages between the schedulers of entry processes.

use redwing_model::{ClassName, CustomerName};
use serde::{Deserialize, Serialize};

use crate::token::{TokenId, TokenPool};

/// Message from one scheduler to another; contains only changes since the last message.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct PeerMessage {
    /// Sequence number of the message; increases with each message to the same peer.
    pub sequence: u64,
    /// Demand and service of customers, for entries that changed.
    pub demand: Vec<CustomerDemand>,
    /// Idle slots of classes, for entries that changed.
    pub idle: Vec<IdleSlots>,
    /// Permits that the sender requests.
    #[serde(rename = "wants")]
    pub permit_requests: Vec<PermitRequest>,
    /// Tokens transferred to the receiver.
    pub transfers: Vec<TokenTransfer>,
    /// Acknowledgements: ids of received transfers.
    pub received: Vec<u64>,
    /// Pools of which the receiver should return the tokens owned by the sender.
    pub recalls: Vec<TokenPool>,
}

/// Bytes of a number in a message, including its share of the framing.
const NUMBER_BYTES: u64 = 8;

impl PeerMessage {
    /// Returns an estimate of the size of the message on the wire, in bytes:
    /// the text of each name, and eight bytes for each number and list.
    pub fn wire_bytes(&self) -> u64 {
        let demand = self.demand.iter().map(|entry| {
            let customer = entry
                .customer
                .as_ref()
                .map_or(0, |customer| text_bytes(customer.as_str()));
            text_bytes(entry.class.as_str()) + customer + 2 * NUMBER_BYTES
        });
        let idle = self.idle.iter();
        let idle = idle.map(|entry| text_bytes(entry.class.as_str()) + NUMBER_BYTES);
        let permit_requests = self.permit_requests.iter();
        let permit_requests =
            permit_requests.map(|entry| text_bytes(entry.customer.as_str()) + NUMBER_BYTES);
        let transfers = self.transfers.iter().map(|transfer| {
            let tokens = transfer.tokens.iter();
            let tokens = tokens.map(|token| pool_bytes(&token.pool) + NUMBER_BYTES);
            tokens.sum::<u64>() + 2 * NUMBER_BYTES
        });
        let received = NUMBER_BYTES * self.received.len() as u64;
        let recalls = self.recalls.iter().map(pool_bytes);
        let lists = demand.sum::<u64>() + idle.sum::<u64>() + permit_requests.sum::<u64>();
        let frame = 7 * NUMBER_BYTES;
        frame + lists + transfers.sum::<u64>() + received + recalls.sum::<u64>()
    }

    /// Returns whether the message has no content besides its sequence number.
    pub fn is_empty(&self) -> bool {
        let demand =
            self.demand.is_empty() && self.idle.is_empty() && self.permit_requests.is_empty();
        demand && self.transfers.is_empty() && self.received.is_empty() && self.recalls.is_empty()
    }
}

/// Demand of one customer in one class at the sender, and the service it received.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CustomerDemand {
    /// Class of work.
    pub class: ClassName,
    /// Customer; `None` for callers without a key.
    pub customer: Option<CustomerName>,
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

/// Number of a customer's permits that the sender could use now.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PermitRequest {
    /// Customer whose limit the permits belong to.
    pub customer: CustomerName,
    /// Number of permits.
    pub permits: u32,
}

/// Tokens transferred from the sender to the receiver.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TokenTransfer {
    /// Number of the transfer at the sender; the receiver ignores a repeated one.
    pub id: u64,
    /// Transferred tokens.
    pub tokens: Vec<TokenId>,
}

/// Returns the size of a text with its length prefix in bytes, padded to whole words.
fn text_bytes(text: &str) -> u64 {
    NUMBER_BYTES + (text.len() as u64 + 1).next_multiple_of(NUMBER_BYTES)
}

fn pool_bytes(pool: &TokenPool) -> u64 {
    match pool {
        TokenPool::Permit(customer) => text_bytes(customer.as_str()),
        TokenPool::Slot(vm) => text_bytes(vm.as_str()),
    }
}
