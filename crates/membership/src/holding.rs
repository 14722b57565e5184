//! Rows that record the homes of tokens.

use redwing_model::{CustomerName, NodeIncarnation, VmId};
use redwing_policy::TokenPool;
use serde::{Deserialize, Serialize};

/// Prefix of all rows of this kind.
pub const HOLDING_PREFIX: &str = "holding/";

/// Prefix of the rows of permits.
const PERMIT_PREFIX: &str = "holding/permit/";

/// Prefix of the rows of slots.
const SLOT_PREFIX: &str = "holding/slot/";

/// Homes of the tokens of one pool, by token number.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct HoldingRecord {
    homes: Vec<Option<NodeIncarnation>>,
}

impl HoldingRecord {
    /// Returns the home of token `number`, if it has one.
    pub fn home(&self, number: u32) -> Option<&NodeIncarnation> {
        self.homes.get(number as usize)?.as_ref()
    }

    /// Returns how many tokens the record covers.
    pub fn size(&self) -> u32 {
        u32::try_from(self.homes.len()).unwrap_or(u32::MAX)
    }

    /// Returns the numbers of the tokens at home at `member`.
    pub fn numbers_of<'a>(&'a self, member: &'a NodeIncarnation) -> impl Iterator<Item = u32> + 'a {
        (0..self.size()).filter(move |number| self.home(*number) == Some(member))
    }

    /// Returns each incarnation that is home to a token, with repetitions.
    pub fn members(&self) -> impl Iterator<Item = &NodeIncarnation> {
        self.homes.iter().flatten()
    }

    /// Sets the home of token `number`, lengthening the record if needed.
    pub fn set_home(&mut self, number: u32, home: NodeIncarnation) {
        let index = number as usize;
        if self.homes.len() <= index {
            self.homes.resize(index + 1, None);
        }
        self.homes[index] = Some(home);
    }
}

/// Returns the key of the row of `pool`.
pub fn holding_key(pool: &TokenPool) -> String {
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
