//! Fills transactions up to the limits of the table.
//!
//! Load pattern: a writer that has far more to store than one transaction holds, in
//! rows of any size, and must store the most urgent first without ever being refused.
//!
//! What must be stored together is one unit, a small transaction of its own. A unit is
//! added whole or not at all; one that does not fit now stays with the caller for the
//! next transaction.

use crate::limits::{TableLimits, TransactionSize};
use crate::table::TableTransaction;

/// Whether a unit was added to a transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnitFit {
    /// It was added.
    Added,
    /// It does not fit beside what was added before; it fits into a later transaction.
    Full,
    /// It does not fit into any transaction.
    TooLarge(TransactionSize),
}

/// Transaction that is filled with units.
///
/// # Examples
///
/// ```
/// use redwing_provider::builder::{TransactionBuilder, UnitFit};
/// use redwing_provider::{RowKey, TableLimits, TableTransaction};
///
/// let limits = TableLimits {
///     transaction_entries: 2,
///     ..TableLimits::default()
/// };
/// let row = |name| TableTransaction::default().put(RowKey::new(name), "{}");
/// let mut builder = TransactionBuilder::new(limits, row("owner/jobs"));
/// assert_eq!(builder.add(&row("progress/1")), UnitFit::Added);
/// assert_eq!(builder.add(&row("progress/2")), UnitFit::Full);
/// assert_eq!(builder.finish().writes().len(), 2);
/// ```
#[derive(Clone, Debug)]
pub struct TransactionBuilder {
    limits: TableLimits,
    max_units: usize,
    base_size: TransactionSize,
    size: TransactionSize,
    units: usize,
    transaction: TableTransaction,
}

impl TransactionBuilder {
    /// Creates a transaction with `base`, which every transaction of the writer has,
    /// even one that it alone makes too large.
    pub fn new(limits: TableLimits, base: TableTransaction) -> Self {
        let size = TransactionSize::of(&base);
        Self {
            limits,
            max_units: FillBudget::default().max_units,
            base_size: size,
            size,
            units: 0,
            transaction: base,
        }
    }

    /// Limits the number of units.
    pub fn with_budget(mut self, budget: FillBudget) -> Self {
        self.max_units = budget.max_units;
        self
    }

    /// Returns the size of the transaction so far.
    pub fn size(&self) -> TransactionSize {
        self.size
    }

    /// Returns the number of units that were added.
    pub fn units(&self) -> usize {
        self.units
    }

    /// Adds a unit if it fits.
    pub fn add(&mut self, unit: &TableTransaction) -> UnitFit {
        let unit_size = TransactionSize::of(unit);
        if !self.limits.allow(&self.base_size.plus(unit_size)) {
            return UnitFit::TooLarge(unit_size);
        }
        let size = self.size.plus(unit_size);
        if self.units >= self.max_units || !self.limits.allow(&size) {
            return UnitFit::Full;
        }
        self.size = size;
        self.units += 1;
        self.transaction.extend(unit);
        UnitFit::Added
    }

    /// Returns the transaction.
    pub fn finish(self) -> TableTransaction {
        self.transaction
    }
}

/// Number of units of a writer's next transaction.
///
/// After a refusal it is half of what was refused, so that no transaction is sent
/// again as it was. After that of a single unit it is none: if the transaction is
/// stored without it, the unit is to be set aside.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FillBudget {
    max_units: usize,
}

impl Default for FillBudget {
    fn default() -> Self {
        Self {
            max_units: usize::MAX,
        }
    }
}

impl FillBudget {
    /// Budget of a transaction without units.
    pub const NONE: Self = Self { max_units: 0 };

    /// Halves the budget after the refusal of a transaction with this many units.
    pub fn refused(&mut self, units: usize) {
        self.max_units = units / 2;
    }

    /// Doubles the budget after a transaction was stored.
    pub fn stored(&mut self) {
        self.max_units = self.max_units.saturating_mul(2).max(1);
    }
}
