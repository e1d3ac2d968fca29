//! Circuit breaker for the starts sent to one worker.
//!
//! A worker may refuse every start while its other answers are sound. Work that it refused would be
//! placed there again at once, since the refusal leaves it with the most free capacity. The breaker
//! opens at a refusal and keeps new work away for a pause. Then it is half open: one start at a time
//! tests the worker, and a start that it accepts closes the breaker.

/// Pause after the first refusal; it doubles with each further one.
const PAUSE_MS: u64 = 500;

/// Longest pause. Work that no other worker can run has to begin within three seconds once the
/// worker accepts starts again, and a start takes up to a second until its refusal is known.
const PAUSE_MAX_MS: u64 = 2_000;

/// Time since the last refusal after which a test start is placed as if on any other worker.
/// Until then one is placed only where no other worker can run it.
const LAST_RESORT_MS: u64 = 10_000;

/// Whether new work may be placed on a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BreakerState {
    /// The worker accepts starts, as far as is known.
    #[default]
    Closed,
    /// One start at a time tests the worker.
    HalfOpen {
        /// Whether only work that no other worker can run is placed.
        is_last_resort: bool,
    },
    /// No start is sent.
    Open,
}

/// The refusals of one worker since it last accepted a start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StartBreaker {
    refusals: u32,
    last_refusal_ms: u64,
    open_until_ms: u64,
}

impl StartBreaker {
    /// Records a refused start. Returns the pause in ms if the breaker opens by it, or `None` while
    /// it is open: starts that were sent together are one refusal.
    pub fn note_refused(&mut self, now_ms: u64) -> Option<u64> {
        if self.state(now_ms) == BreakerState::Open {
            return None;
        }
        let pause_ms = (PAUSE_MS << self.refusals.min(8)).min(PAUSE_MAX_MS);
        self.refusals += 1;
        self.last_refusal_ms = now_ms;
        self.open_until_ms = now_ms + pause_ms;
        Some(pause_ms)
    }

    /// Records that the worker began a run.
    pub fn note_accepted(&mut self) {
        *self = StartBreaker::default();
    }

    pub fn state(&self, now_ms: u64) -> BreakerState {
        match self.refusals {
            0 => BreakerState::Closed,
            _ if now_ms < self.open_until_ms => BreakerState::Open,
            _ => BreakerState::HalfOpen {
                is_last_resort: now_ms < self.last_refusal_ms + LAST_RESORT_MS,
            },
        }
    }
}
