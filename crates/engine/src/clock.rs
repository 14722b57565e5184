//! Clocks of the VM.

use std::cell;
use std::time;

use redwing_jobs::time::{BootTime, WallTime};
use rustix::time::{ClockId, clock_gettime};
use tokio::time as timer;

/// Clocks that advance with the timer of a thread, from the times at which they started.
#[derive(Clone, Copy, Debug)]
struct TimerClock {
    started: timer::Instant,
    boot: BootTime,
    wall: WallTime,
}

thread_local! {
    static TIMER_CLOCK: cell::Cell<Option<TimerClock>> = const { cell::Cell::new(None) };
}

/// Makes the clocks advance with the timer on this thread from now on.
///
/// A test pauses the timer, so that its course does not depend on the speed of the
/// machine. A process must not call this: the timer does not count suspended time.
pub fn follow_timer() {
    let clock = TimerClock {
        started: timer::Instant::now(),
        boot: boot_now(),
        wall: wall_now(),
    };
    TIMER_CLOCK.set(Some(clock));
}

/// Returns the time since boot, including suspended time.
pub fn boot_now() -> BootTime {
    if let Some(clock) = TIMER_CLOCK.get() {
        return clock.boot + clock.started.elapsed();
    }
    let now = clock_gettime(ClockId::Boottime);
    let millis = now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000;
    BootTime::from_millis(millis)
}

/// Returns the VM's wall-clock time.
pub fn wall_now() -> WallTime {
    if let Some(clock) = TIMER_CLOCK.get() {
        let elapsed = clock.started.elapsed().as_millis() as u64;
        return WallTime::from_millis(clock.wall.as_millis() + elapsed);
    }
    let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    // A time before the Unix epoch counts as the epoch.
    let since_epoch = since_epoch.unwrap_or_default();
    WallTime::from_millis(since_epoch.as_millis() as u64)
}
