//! Clocks of the VM.

use std::time;

use redwing_jobs::time::{BootTime, WallTime};
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since boot, including suspended time.
pub fn boot_now() -> BootTime {
    let now = clock_gettime(ClockId::Boottime);
    let millis = now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000;
    BootTime::from_millis(millis)
}

/// Returns the VM's wall-clock time.
pub fn wall_now() -> WallTime {
    let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    // A time before the Unix epoch counts as the epoch.
    let since_epoch = since_epoch.unwrap_or_default();
    WallTime::from_millis(since_epoch.as_millis() as u64)
}
