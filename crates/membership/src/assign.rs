//! Choice of homes for tokens.

use redwing_model::NodeIncarnation;
use redwing_policy::TokenPool;

use crate::holding::{self, HoldingRecord};
use crate::rendezvous;

/// Chooses homes among the present members.
pub struct HomeAssignment<'a, F> {
    members: &'a [NodeIncarnation],
    reclaimable: F,
}

impl<'a, F> HomeAssignment<'a, F>
where
    F: Fn(&NodeIncarnation) -> bool,
{
    /// Creates an assignment over `members`; `reclaimable` tells whether the
    /// tokens of an ended incarnation may be given to others.
    pub fn new(members: &'a [NodeIncarnation], reclaimable: F) -> Self {
        Self {
            members,
            reclaimable,
        }
    }

    /// Returns which member writes the row of `pool`, so that members do not
    /// compete for it. Writes are conditional, so a wrong view does no harm.
    pub fn writer(&self, pool: &TokenPool) -> Option<&'a NodeIncarnation> {
        rendezvous::winner(&holding::holding_key(pool), self.members)
    }

    /// Returns where token `number` of `pool` should be at home.
    ///
    /// All slots of a worker have one home; permits of a customer are spread.
    pub fn preferred(&self, pool: &TokenPool, number: u32) -> Option<&'a NodeIncarnation> {
        let key = holding::holding_key(pool);
        match pool {
            TokenPool::Slot(_) => rendezvous::winner(&key, self.members),
            TokenPool::Permit(_) => {
                let ranked = rendezvous::ranking(&key, self.members);
                let place = number as usize % ranked.len().max(1);
                ranked.get(place).copied()
            }
        }
    }

    /// Returns the record in which each of the first `size` tokens has a home
    /// that is not reclaimable, or `None` if `record` is such already.
    pub fn assign(
        &self,
        pool: &TokenPool,
        record: Option<&HoldingRecord>,
        size: u32,
    ) -> Option<HoldingRecord> {
        let mut next = record.cloned().unwrap_or_default();
        let mut changed = false;
        for number in 0..size.max(next.size()) {
            let keeps = match next.home(number) {
                Some(home) => !(self.reclaimable)(home),
                None => false,
            };
            if keeps {
                continue;
            }
            let preferred = self.preferred(pool, number)?;
            next.set_home(number, preferred.clone());
            changed = true;
        }
        changed.then_some(next)
    }
}
