//! The two clocks that every core is given from outside.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{SystemTime, UNIX_EPOCH},
};

use rustix::time::{ClockId, clock_gettime};

/// One reading of both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Time since the VM started. It runs on while the process or the VM is suspended, so that
    /// a lease never looks younger than it is.
    pub mono_ms: u64,
    /// Time of day, used only for what people read and for retention.
    pub wall_ms: u64,
}

/// Reads the clocks of this VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock;

/// Added to the time of day of this process.
static AHEAD_MS: AtomicU64 = AtomicU64::new(0);

/// Sets what is added to the time of day of this process, by its settings.
pub fn set_clock_ahead(ahead_ms: u64) {
    AHEAD_MS.store(ahead_ms, Ordering::Relaxed);
}

impl Clock {
    /// Reads both clocks.
    pub fn now(self) -> Now {
        // `std::time::Instant` reads CLOCK_MONOTONIC, which stands still while a VM is suspended:
        // a resumed agent would believe in a lease that control has given to another. Refused for
        // that reason; CLOCK_BOOTTIME counts the suspension.
        let it = clock_gettime(ClockId::Boottime);
        let mono_ms = it.tv_sec as u64 * 1_000 + it.tv_nsec as u64 / 1_000_000;
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Now { mono_ms, wall_ms: wall.as_millis() as u64 + AHEAD_MS.load(Ordering::Relaxed) }
    }
}
