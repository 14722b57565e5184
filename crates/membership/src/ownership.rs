//! Rows that record the owners of tokens.

use redwing_model::{CustomerName, NodeIncarnation, VmId};
use redwing_policy::TokenPool;
use serde::{Deserialize, Serialize};

/// Prefix of all rows of this kind.
pub const OWNERSHIP_PREFIX: &str = "holding/";

/// Prefix of the rows of permits.
const PERMIT_PREFIX: &str = "holding/permit/";

/// Prefix of the rows of slots.
const SLOT_PREFIX: &str = "holding/slot/";

/// Owners of the tokens of one pool, by token number.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct OwnershipRecord {
    #[serde(rename = "homes")]
    owners: Vec<Option<NodeIncarnation>>,
}

impl OwnershipRecord {
    /// Returns the owner of token `number`, if it has one.
    pub fn owner(&self, number: u32) -> Option<&NodeIncarnation> {
        self.owners.get(number as usize)?.as_ref()
    }

    /// Returns the number of tokens that the record covers.
    pub fn size(&self) -> u32 {
        u32::try_from(self.owners.len()).unwrap_or(u32::MAX)
    }

    /// Returns the numbers of the tokens that `member` owns.
    pub fn numbers_owned_by<'a>(
        &'a self,
        member: &'a NodeIncarnation,
    ) -> impl Iterator<Item = u32> + 'a {
        (0..self.size()).filter(move |number| self.owner(*number) == Some(member))
    }

    /// Returns the owner of each token that has one, with repetitions.
    pub fn owners(&self) -> impl Iterator<Item = &NodeIncarnation> {
        self.owners.iter().flatten()
    }

    /// Sets the owner of token `number`, extending the record if needed.
    pub fn set_owner(&mut self, number: u32, owner: NodeIncarnation) {
        let index = number as usize;
        if self.owners.len() <= index {
            self.owners.resize(index + 1, None);
        }
        self.owners[index] = Some(owner);
    }
}

/// Returns the key of the row of `pool`.
pub fn ownership_key(pool: &TokenPool) -> String {
    match pool {
        TokenPool::Permit(customer) => format!("{PERMIT_PREFIX}{customer}"),
        TokenPool::Slot(vm) => format!("{SLOT_PREFIX}{vm}"),
    }
}

/// Returns the pool whose row has this key, or `None` for another key.
pub fn pool_of_key(key: &str) -> Option<TokenPool> {
    if let Some(customer) = key.strip_prefix(PERMIT_PREFIX) {
        return CustomerName::new(customer).ok().map(TokenPool::Permit);
    }
    let vm = key.strip_prefix(SLOT_PREFIX)?;
    VmId::new(vm).ok().map(TokenPool::Slot)
}
