//! What the ends of workers say about the tasks on them.

use std::time;

/// Bounds of the time for which a run went on until its worker ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunSpan {
    /// Time between the first and the last sign of the run, on the clock of its worker; none
    /// without any.
    pub seen: Option<time::Duration>,
    /// Time from the order to start it until its worker no longer responded; none if an
    /// earlier owner gave the order.
    pub at_most: Option<time::Duration>,
}
