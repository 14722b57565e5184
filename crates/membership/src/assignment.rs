//! Assignment of owners to tokens.

use redwing_model::NodeIncarnation;
use redwing_policy::TokenPool;

use crate::ownership::{self, OwnershipRecord};
use crate::rendezvous;

/// Assigns owners to tokens among the present members.
pub struct OwnerAssignment<'a, F> {
    members: &'a [NodeIncarnation],
    reclaimable: F,
}

impl<'a, F> OwnerAssignment<'a, F>
where
    F: Fn(&NodeIncarnation) -> bool,
{
    /// Creates an assignment over `members`; `reclaimable` returns whether the
    /// tokens of an ended incarnation may be assigned to others.
    pub fn new(members: &'a [NodeIncarnation], reclaimable: F) -> Self {
        Self {
            members,
            reclaimable,
        }
    }

    /// Returns the member that writes the row of `pool`, so that members do not
    /// compete for it. Writes are conditional, so an outdated list of members
    /// does no harm.
    pub fn writer(&self, pool: &TokenPool) -> Option<&'a NodeIncarnation> {
        rendezvous::winner(&ownership::ownership_key(pool), self.members)
    }

    /// Returns the member that should own token `number` of `pool`.
    ///
    /// All slots of a backend server have one owner; permits of a customer are
    /// spread over the members.
    pub fn preferred_owner(&self, pool: &TokenPool, number: u32) -> Option<&'a NodeIncarnation> {
        let key = ownership::ownership_key(pool);
        match pool {
            TokenPool::Slot(_) => rendezvous::winner(&key, self.members),
            TokenPool::Permit(_) => {
                let ranked = rendezvous::ranking(&key, self.members);
                let index = number as usize % ranked.len().max(1);
                ranked.get(index).copied()
            }
        }
    }

    /// Returns the record in which each of the first `size` tokens has an owner
    /// that is not reclaimable, or `None` if that already holds for `record`.
    pub fn assign(
        &self,
        pool: &TokenPool,
        record: Option<&OwnershipRecord>,
        size: u32,
    ) -> Option<OwnershipRecord> {
        let mut next = record.cloned().unwrap_or_default();
        let mut changed = false;
        for number in 0..size.max(next.size()) {
            let is_kept = match next.owner(number) {
                Some(owner) => !(self.reclaimable)(owner),
                None => false,
            };
            if is_kept {
                continue;
            }
            let preferred_owner = self.preferred_owner(pool, number)?;
            next.set_owner(number, preferred_owner.clone());
            changed = true;
        }
        changed.then_some(next)
    }
}
