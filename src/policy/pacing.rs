//! How fast fillers may work beside tasks that serve.
//!
//! Tail latencies are reported half a second late, and a task over its bound must be relieved
//! within seconds, so fillers are slowed at once and by much, and let go in small steps.

/// Share of the bound above which fillers are slowed, in percent.
const SLOW_ABOVE_PERCENT: u32 = 85;

/// Share of the bound above which fillers stand still: the bound itself.
const HALT_ABOVE_PERCENT: u32 = 100;

/// Share of the bound below which fillers are let go.
const RELEASE_BELOW_PERCENT: u32 = 70;

/// Shares below this are not worth their disturbance.
const LEAST_PERCENT: u32 = 10;

/// Step by which fillers are let go.
const RELEASE_STEP_PERCENT: u32 = 15;

/// Time that a step needs to show in the reports: half a second of measuring, and the call.
const SETTLE_MS: u64 = 700;

/// The pace of the fillers on one worker.
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    percent: u32,
    changed_ms: u64,
}

impl Default for Pacer {
    fn default() -> Pacer {
        Pacer { percent: 100, changed_ms: 0 }
    }
}

impl Pacer {
    /// Returns the share of their speed at which fillers may work.
    pub fn percent(&self) -> u32 {
        self.percent
    }

    /// Takes in the worst tail latency, in percent of its bound; nothing where no task serves.
    pub fn observe(&mut self, worst_percent: Option<u32>, now_ms: u64) {
        let Some(worst_percent) = worst_percent else { return self.set(100, now_ms) };
        let settled = self.changed_ms + SETTLE_MS <= now_ms;
        match worst_percent {
            it if HALT_ABOVE_PERCENT < it => self.set(0, now_ms),
            it if SLOW_ABOVE_PERCENT < it && settled => {
                let half = self.percent / 2;
                self.set(if half < LEAST_PERCENT { 0 } else { half }, now_ms)
            }
            it if it < RELEASE_BELOW_PERCENT && settled => {
                self.set((self.percent + RELEASE_STEP_PERCENT).min(100), now_ms)
            }
            _ => (),
        }
    }

    fn set(&mut self, percent: u32, now_ms: u64) {
        if self.percent != percent {
            self.percent = percent;
            self.changed_ms = now_ms;
        }
    }
}
