//! Size of the stored progress of a wave.
//!
//! Load pattern: a wave over thousands of machines, whose request fills a row of the
//! table by itself. The progress has the name of each machine once, and besides what an
//! owner wants to know of those that are being emptied or down, which is left out where
//! it does not fit: the next owner begins anew with these machines.

use std::collections::BTreeSet;

use crate::error::{Error, Result};
use crate::name::{MachineName, WorkerId};
use crate::wait::ElapsedWait;

use super::{MaintenanceRecord, WaveRequest};

/// Bytes of a record beside its entries: names of fields, the time and punctuation.
const FRAME_BYTES: usize = 100;

/// Bytes of a name beside its characters: quotation marks, and a comma or colon.
const QUOTE_BYTES: usize = 3;

/// Largest number of digits of a wait, and a comma.
const WAIT_BYTES: usize = 21;

/// Returns the largest size of a name in a record.
fn name_bytes(name: &str) -> usize {
    // A character that is escaped takes up to six bytes.
    let bytes = name.bytes().map(|byte| match byte {
        b'"' | b'\\' | ..0x20 => 6,
        _ => 1,
    });
    bytes.sum::<usize>() + QUOTE_BYTES
}

fn machine_bytes(name: &MachineName) -> usize {
    name_bytes(name.as_str())
}

/// Checks that the names of all machines of a wave fit into its record, with those that
/// an earlier version of the request had.
///
/// # Errors
///
/// Fails with the number of machines and both sizes.
pub(super) fn check_size(
    request: &WaveRequest,
    record: Option<&MaintenanceRecord>,
    max_bytes: usize,
) -> Result<()> {
    let mut machines: BTreeSet<&MachineName> = request.machines.iter().collect();
    if let Some(record) = record {
        machines.extend(record.done.iter().chain(&record.ordered));
    }
    let bytes = machines.iter().map(|name| machine_bytes(name));
    let needed = FRAME_BYTES + bytes.sum::<usize>();
    if needed <= max_bytes {
        return Ok(());
    }
    let problem = format!(
        "the progress of {} machines may take {needed} bytes; at most {max_bytes} can be \
         stored: use several waves",
        machines.len()
    );
    Err(Error::Wave(request.number, problem))
}

/// Sets what a record states of machines that are being emptied or down, as far as it
/// fits into `max_bytes`.
pub(super) fn set_waits(
    record: &mut MaintenanceRecord,
    down: impl Iterator<Item = (MachineName, ElapsedWait)>,
    prepared: impl Iterator<Item = (MachineName, WorkerId)>,
    max_bytes: usize,
) {
    let names = record.done.iter().chain(&record.ordered);
    let used = FRAME_BYTES + names.map(machine_bytes).sum::<usize>();
    let mut left = max_bytes.saturating_sub(used);
    let mut take = |bytes: usize| {
        let fits = bytes <= left;
        left -= if fits { bytes } else { 0 };
        fits
    };
    let down = down.filter(|(name, _)| take(machine_bytes(name) + WAIT_BYTES));
    record.down = down.collect();
    let prepared =
        prepared.filter(|(name, worker)| take(machine_bytes(name) + name_bytes(worker.as_str())));
    record.prepared = prepared.collect();
}
