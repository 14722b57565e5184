//! Workers that get no new tasks because of what is planned for their machines.
//!
//! Load pattern: waves of maintenance and moves between pools that want the same machines,
//! while workers crash, and start again under their ids. What waves and moves plan is read
//! anew after each plan; a block ends with what it was for.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use crate::name::WorkerId;

/// Which incarnations of a worker get no new tasks.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum WorkerBlock {
    /// This one: its machine has been taken from under it.
    One(u64),
    /// All: their machine is being emptied, or may be taken down or moved at any time.
    All,
}

impl WorkerBlock {
    /// Returns whether an incarnation gets no new tasks.
    pub fn includes(self, incarnation: u64) -> bool {
        match self {
            Self::One(taken) => incarnation == taken,
            Self::All => true,
        }
    }
}

/// Blocks of all workers that have one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WorkerBlocks {
    blocks: BTreeMap<WorkerId, WorkerBlock>,
}

impl WorkerBlocks {
    /// Adds a block; of two for the same worker, that of all incarnations counts.
    pub fn add(&mut self, worker: &WorkerId, block: WorkerBlock) {
        match self.blocks.entry(worker.clone()) {
            Entry::Vacant(entry) => {
                entry.insert(block);
            }
            Entry::Occupied(mut entry) => {
                let wider = block.max(*entry.get());
                entry.insert(wider);
            }
        }
    }

    /// Returns the block of a worker, if it has one.
    pub fn get(&self, worker: &WorkerId) -> Option<WorkerBlock> {
        self.blocks.get(worker).copied()
    }

    /// Returns the workers that have a block.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.blocks.keys()
    }
}
