//! Speeds of best-effort tasks (fillers) on the worker, and the calls that set them.
//!
//! A call without an answer may be carried out seconds later, and a call under way may be overtaken
//! by a newer one. So the speed of a filler on the worker is certain only after an answer to the
//! newest call, if no earlier call can still be carried out. The worker refuses calls with a token
//! below the highest that it has received, so a new token for the newest call suffices for that.

use std::collections::{HashMap, HashSet};

use crate::{node::calls::CallResult, prelude::*};

/// Time after which a call under way no longer holds back a newer speed. A worker on the same VM
/// answers within a few milliseconds.
const OVERTAKE_MS: u64 = 100;

/// A call that sets the speed of a filler.
#[derive(Clone, Copy, Debug)]
pub(super) struct SpeedCall {
    pub run: RunRef,
    pub percent: u32,
}

/// The newest speed that was sent for a filler.
#[derive(Clone, Copy, Debug)]
struct SentSpeed {
    percent: u32,
    /// The call under way, if any.
    call: Option<u64>,
    sent_ms: u64,
    /// Whether the worker has carried out the newest call, and runs at this speed.
    is_confirmed: bool,
    /// Whether an earlier call has got no answer, so that the worker may still carry it out.
    may_still_execute: bool,
}

/// The speeds of all fillers on a worker.
#[derive(Clone, Debug, Default)]
pub(super) struct FillerSpeeds {
    sent: HashMap<RunRef, SentSpeed>,
}

impl FillerSpeeds {
    /// Notes that the worker has just started a run, which begins at full speed.
    pub(super) fn note_started(&mut self, run: RunRef, now: Now) {
        let speed = SentSpeed {
            percent: 100,
            call: None,
            sent_ms: now.mono_ms,
            is_confirmed: true,
            may_still_execute: false,
        };
        self.sent.insert(run, speed);
    }

    /// Returns the speed that was last sent, in percent. A run whose start this process has not
    /// seen may have any speed; it counts as at full speed, at which it affects latency most.
    pub(super) fn newest_percent(&self, run: RunRef) -> u32 {
        self.sent.get(&run).map_or(100, |it| it.percent)
    }

    /// Returns the number of the given fillers whose speed on the worker is not certain.
    pub(super) fn doubtful(&self, runs: impl Iterator<Item = RunRef>) -> usize {
        runs.filter(|run| !self.sent.get(run).is_some_and(|it| it.is_confirmed)).count()
    }

    /// Returns whether a speed is to be sent now, given the speed that the run should have.
    pub(super) fn is_due(&self, wanted: SpeedCall, retry_ms: u64, now: Now) -> bool {
        let Some(it) = self.sent.get(&wanted.run) else { return true };
        let is_changed = it.percent != wanted.percent;
        let age_ms = now.mono_ms.saturating_sub(it.sent_ms);
        match it.call {
            Some(_) => is_changed && OVERTAKE_MS <= age_ms,
            None if it.is_confirmed => is_changed,
            None => retry_ms <= age_ms,
        }
    }

    /// Returns whether an earlier call for a run may still be carried out, so that the next call
    /// needs a new token.
    pub(super) fn may_be_overwritten(&self, run: RunRef) -> bool {
        self.sent.get(&run).is_some_and(|it| it.call.is_some() || it.may_still_execute)
    }

    pub(super) fn note_sent(&mut self, call: u64, sent: SpeedCall, now: Now) {
        let speed = SentSpeed {
            percent: sent.percent,
            call: Some(call),
            sent_ms: now.mono_ms,
            is_confirmed: false,
            may_still_execute: self.may_be_overwritten(sent.run),
        };
        self.sent.insert(sent.run, speed);
    }

    /// Notes the end of a call. Returns what the call was for, unless a newer one has replaced it.
    pub(super) fn note_ended(&mut self, call: u64, result: &CallResult) -> Option<SpeedCall> {
        let (run, it) = self.sent.iter_mut().find(|(_, it)| it.call == Some(call))?;
        it.call = None;
        it.is_confirmed = matches!(result, CallResult::Done { .. });
        it.may_still_execute = match result {
            CallResult::Done { .. } => false,
            CallResult::NoAnswer => true,
            _ => it.may_still_execute,
        };
        Some(SpeedCall { run: *run, percent: it.percent })
    }

    /// Returns when the speed of a run is to be sent again, if its last call has failed.
    pub(super) fn retry_at_ms(&self, run: RunRef, retry_ms: u64) -> Option<u64> {
        let it = self.sent.get(&run)?;
        let has_failed = it.call.is_none() && !it.is_confirmed;
        has_failed.then_some(it.sent_ms + retry_ms)
    }

    pub(super) fn retain_runs(&mut self, runs: &HashSet<RunRef>) {
        self.sent.retain(|run, _| runs.contains(run));
    }
}
