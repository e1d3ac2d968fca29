//! How fast fillers may work beside tasks that serve.
//!
//! What fillers add to a tail grows with their pace, so two readings tell the pace at which the
//! tail meets its aim: the one now, and the newest one with the fillers standing still. Readings
//! are half a second late, and a task over its bound must be relieved within seconds, so a tail
//! that stays over it halts all fillers.

/// Share of the bound that the tail is led to, in percent. The rest is for the load of the
/// serving tasks, which swings faster than it is reported.
const AIM_PERCENT: u32 = 85;

/// Deviation from the aim that changes nothing.
const DEAD_BAND_PERCENT: u32 = 5;

/// Tail without fillers that is assumed before one was seen.
const REST_PERCENT: u32 = 55;

/// Least distance assumed between the aim and the tail without fillers, so that a step is never
/// endless.
const LEAST_ROOM_PERCENT: u32 = 5;

/// Largest step up; down there is none.
const RAISE_PERCENT: u32 = 30;

/// Shares below this are not worth their disturbance.
const LEAST_PERCENT: u32 = 5;

/// Time that a step needs to show in the reports: half a second of measuring, and the call.
const SETTLE_MS: u64 = 700;

/// Time over the bound after which fillers stand still.
const OVER_MAX_MS: u64 = 1_500;

/// The pace of the fillers on one worker.
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    percent: u32,
    changed_ms: u64,
    rest_percent: u32,
    over_since_ms: Option<u64>,
}

impl Default for Pacer {
    fn default() -> Pacer {
        Pacer { percent: 100, changed_ms: 0, rest_percent: REST_PERCENT, over_since_ms: None }
    }
}

impl Pacer {
    /// Returns the share of their speed at which fillers may work.
    pub fn percent(&self) -> u32 {
        self.percent
    }

    /// Takes in the worst tail latency, in percent of its bound; nothing where no task serves.
    pub fn observe(&mut self, worst_percent: Option<u32>, has_fillers: bool, now_ms: u64) {
        let Some(tail_percent) = worst_percent else { return self.set(100, now_ms) };
        let settled = self.changed_ms + SETTLE_MS <= now_ms;
        if settled && (self.percent == 0 || !has_fillers) {
            self.rest_percent = tail_percent;
        }
        if !has_fillers {
            // What was learned beside earlier fillers says little of the next one.
            if settled && tail_percent < AIM_PERCENT {
                self.set((self.percent + RAISE_PERCENT).min(100), now_ms);
            }
            return;
        }
        match (100 < tail_percent, self.over_since_ms) {
            (false, _) => self.over_since_ms = None,
            (true, None) => self.over_since_ms = Some(now_ms),
            (true, Some(since_ms)) if since_ms + OVER_MAX_MS <= now_ms => {
                return self.set(0, now_ms);
            }
            _ => (),
        }
        let is_aimed = tail_percent.abs_diff(AIM_PERCENT) <= DEAD_BAND_PERCENT;
        // Upwards a step is made only from what the last one has led to; a tail over the bound
        // cannot wait for that after a step up.
        if is_aimed || (!settled && tail_percent <= 100) || (!settled && self.percent == 0) {
            return;
        }
        self.set(self.next_percent(tail_percent), now_ms);
    }

    /// Returns the pace at which the tail would meet its aim.
    fn next_percent(&self, tail_percent: u32) -> u32 {
        let rest_percent = self.rest_percent.min(tail_percent.saturating_sub(LEAST_ROOM_PERCENT));
        let room = AIM_PERCENT.saturating_sub(rest_percent);
        if room < LEAST_ROOM_PERCENT {
            return 0;
        }
        let added = tail_percent - rest_percent;
        let wanted = self.percent.max(LEAST_PERCENT) * room / added.max(1);
        match wanted.min(self.percent + RAISE_PERCENT).min(100) {
            it if it < LEAST_PERCENT => 0,
            it => it,
        }
    }

    fn set(&mut self, percent: u32, now_ms: u64) {
        if self.percent != percent {
            self.percent = percent;
            self.changed_ms = now_ms;
        }
    }
}
