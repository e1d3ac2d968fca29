//! How long a request may have waited in its socket before it was read.
//!
//! A process that is suspended reads requests late, and its clients may have left, or have cancelled
//! what they asked for, in the meantime. Bytes in a socket carry no time of arrival, so a request
//! that is read soon after a stall counts as received when the stall began.

use std::{cell::Cell, time::Duration};

use crate::util::Clock;

/// Interval at which a server notes that it runs.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Time without such a note that counts as a stall. Shorter ones are harmless: the control group
/// remembers cancels for far longer.
const STALL_MIN_MS: u64 = 3_000;

/// Time after a stall in which the server reads what arrived during it.
const CATCH_UP_MS: u64 = 500;

/// Notices when the thread of a server stood still.
#[derive(Debug)]
pub(super) struct StallWatch {
    clock: Clock,
    last_note_ms: Cell<u64>,
    /// Start of the last stall, and the end of the time in which it counts.
    last_stall: Cell<Option<(u64, u64)>>,
}

impl StallWatch {
    pub(super) fn new() -> StallWatch {
        let clock = Clock;
        let last_note_ms = Cell::new(clock.now().mono_ms);
        StallWatch { clock, last_note_ms, last_stall: Cell::new(None) }
    }

    /// Notes at intervals that the thread runs, for as long as its server does.
    pub(super) async fn run(&self) {
        loop {
            tokio::time::sleep(WATCH_INTERVAL).await;
            self.note();
        }
    }

    /// Returns how long a request that is read now may have waited.
    pub(super) fn waited_ms(&self) -> u64 {
        let now_ms = self.note();
        match self.last_stall.get() {
            Some((since_ms, until_ms)) if now_ms < until_ms => now_ms - since_ms,
            _ => 0,
        }
    }

    /// Notes that the thread runs, and whether it has stood still; returns the time.
    fn note(&self) -> u64 {
        let now_ms = self.clock.now().mono_ms;
        let before_ms = self.last_note_ms.replace(now_ms);
        if before_ms + STALL_MIN_MS <= now_ms {
            self.last_stall.set(Some((before_ms, now_ms + CATCH_UP_MS)));
            tracing::warn!(event = "server_stalled", stalled_ms = now_ms - before_ms);
        }
        now_ms
    }
}
