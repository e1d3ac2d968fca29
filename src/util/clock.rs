//! The two clocks whose readings are passed to every core.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{SystemTime, UNIX_EPOCH},
};

use rustix::time::{ClockId, clock_gettime};

/// One reading of both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Time since the VM started. It advances while the process or the VM is suspended, so that a
    /// lease never appears younger than it is.
    pub mono_ms: u64,
    /// Time of day since the Unix epoch, used only for display and for retention.
    pub wall_ms: u64,
}

/// Reads the clocks of this VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock;

/// Offset added to the time of day in this process.
static CLOCK_AHEAD_MS: AtomicU64 = AtomicU64::new(0);

/// Sets the offset added to the time of day in this process (setting `clock_ahead_ms`).
pub fn set_clock_ahead(ahead_ms: u64) {
    CLOCK_AHEAD_MS.store(ahead_ms, Ordering::Relaxed);
}

impl Clock {
    /// Reads both clocks.
    pub fn now(self) -> Now {
        // `std::time::Instant` is not used: it reads CLOCK_MONOTONIC, which stops while a VM is
        // suspended, so a resumed agent would still rely on a lease that control has granted to
        // another. CLOCK_BOOTTIME includes the time of suspension.
        let boottime = clock_gettime(ClockId::Boottime);
        let mono_ms = boottime.tv_sec as u64 * 1_000 + boottime.tv_nsec as u64 / 1_000_000;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Now {
            mono_ms,
            wall_ms: since_epoch.as_millis() as u64 + CLOCK_AHEAD_MS.load(Ordering::Relaxed),
        }
    }
}
