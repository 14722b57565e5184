//! Rows of waves on their way into the table.
//!
//! Load pattern: many waves that change at once, after an absence of the table. The rows
//! of a wave are stored together, in the order in which the waves changed, and only in
//! their latest version.

use std::collections::{BTreeSet, VecDeque};
use std::mem;

use redwing_provider::TableTransaction;
use redwing_provider::builder::UnitFit;

use crate::row::EncodedRow;

use super::change::{ChangeFill, ChangeUnit};

/// Maximum number of waves whose rows are in one change: other work is not to wait for
/// a flood of them.
const WAVES_PER_CHANGE: usize = 10;

/// Rows of a wave that are stored together.
#[derive(Clone, Debug)]
struct WaveRows {
    wave: u64,
    rows: Vec<EncodedRow>,
}

/// Rows of waves to store with the next changes.
#[derive(Debug, Default)]
pub(super) struct WaveRowQueue {
    queued: VecDeque<WaveRows>,
    /// Rows that are being stored.
    storing: Vec<WaveRows>,
    /// Waves whose rows the table does not take, until the rows change.
    set_aside: BTreeSet<u64>,
}

impl WaveRowQueue {
    /// Returns whether no rows are queued.
    pub(super) fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Returns whether rows of a wave are queued or set aside.
    pub(super) fn is_waiting(&self, wave: u64) -> bool {
        let is_queued = self.queued.iter().any(|rows| rows.wave == wave);
        is_queued || self.set_aside.contains(&wave)
    }

    /// Queues a row of a wave, in place of an earlier version of it; rows keep the place
    /// of their wave.
    pub(super) fn push(&mut self, wave: u64, row: EncodedRow) {
        self.set_aside.remove(&wave);
        match self.queued.iter_mut().find(|queued| queued.wave == wave) {
            Some(queued) => {
                queued.rows.retain(|other| other.key != row.key);
                queued.rows.push(row);
            }
            None => self.queued.push_back(WaveRows {
                wave,
                rows: vec![row],
            }),
        }
    }

    /// Adds rows to a change, as far as they fit. The previous ones must have been stored
    /// or refused.
    pub(super) fn add_to(&mut self, fill: &mut ChangeFill) {
        for _ in 0..WAVES_PER_CHANGE {
            let Some(next) = self.queued.pop_front() else {
                return;
            };
            let mut rows = TableTransaction::default();
            for row in &next.rows {
                rows = rows.put(row.key.clone(), row.value.clone());
            }
            match fill.add(ChangeUnit::Wave(next.wave), &rows) {
                UnitFit::Added => self.storing.push(next),
                UnitFit::TooLarge(_) => {
                    self.set_aside.insert(next.wave);
                }
                UnitFit::Full => {
                    self.queued.push_front(next);
                    return;
                }
            }
        }
    }

    /// Handles that the rows added last are stored.
    pub(super) fn stored(&mut self) {
        self.storing.clear();
    }

    /// Handles that the rows added last were refused: they wait again, except those of
    /// waves that have changed.
    pub(super) fn refused(&mut self) {
        for refused in mem::take(&mut self.storing).into_iter().rev() {
            if !self.queued.iter().any(|rows| rows.wave == refused.wave) {
                self.queued.push_front(refused);
            }
        }
    }

    /// Leaves the rows of a wave out until they change.
    pub(super) fn set_aside(&mut self, wave: u64) {
        self.queued.retain(|rows| rows.wave != wave);
        self.set_aside.insert(wave);
    }
}
