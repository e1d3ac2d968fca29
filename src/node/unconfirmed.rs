//! A lifetime of the worker that has announced itself, until it has answered for itself.
//!
//! An announcement alone replaces nobody: it may be a late one of a lifetime that is over. And one
//! that has the id of the lifetime before may still be reached by orders that were meant for that
//! one. So it is looked at first, and such orders are barred there, before the leader hears of it:
//! the leader then begins elsewhere what ran before.

use crate::{
    node::calls::{Action, Announcement, CallResult},
    prelude::*,
};

/// Time after which an order that got no answer is no longer carried out.
pub(super) const LATE_ORDER_MAX_MS: u64 = 10_000;

/// A lifetime that is not known yet.
#[derive(Debug)]
pub(super) struct UnconfirmedWorker {
    pub announcement: Announcement,
    announced_ms: u64,
    stage: Stage,
    call: Option<u64>,
    next_ms: u64,
}

/// Time after its newest announcement for which a lifetime is looked at in vain: a few intervals of
/// announcements. A late announcement would have it looked at for ever.
const PATIENCE_MS: u64 = 5_000;

#[derive(Debug)]
enum Stage {
    Unheard,
    /// It has answered. Starts meant for the lifetime before are barred, one after the other; then
    /// a list must show that none of them runs.
    Barring {
        left: Vec<RunRef>,
        barred: Vec<RunRef>,
    },
}

/// What an answer tells of a newcomer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// Nothing yet.
    Unclear,
    /// It has answered for the first time.
    Heard,
    /// Another lifetime answers in its place, or nobody has for long.
    Away,
    /// Nothing that was meant for the lifetime before can begin there.
    Ready,
}

impl UnconfirmedWorker {
    pub(super) fn new(announcement: Announcement, now: Now) -> UnconfirmedWorker {
        let (announced_ms, next_ms) = (now.mono_ms, now.mono_ms);
        UnconfirmedWorker { announcement, announced_ms, stage: Stage::Unheard, call: None, next_ms }
    }

    /// Takes in an announcement of the same lifetime.
    pub(super) fn hear(&mut self, announcement: Announcement, now: Now) {
        if self.announcement.sequence < announcement.sequence {
            self.announcement = announcement;
            self.announced_ms = now.mono_ms;
        }
    }

    /// Returns when the next call is due, unless one is under way.
    pub(super) fn next_call_ms(&self) -> Option<u64> {
        self.call.is_none().then_some(self.next_ms)
    }

    /// Returns whether a call is the one under way.
    pub(super) fn awaits(&self, call: u64) -> bool {
        self.call == Some(call)
    }

    /// Lets the next call be due, as a better token for it is known.
    pub(super) fn look_again(&mut self, now: Now) {
        self.next_ms = now.mono_ms;
    }

    /// Notes that its next call is made.
    pub(super) fn begin_call(&mut self, call: u64) -> Action {
        self.call = Some(call);
        match &self.stage {
            Stage::Barring { left, .. } if let Some(run) = left.last() => {
                Action::Stop { run: *run }
            }
            // No lease, no end noted and no wait: nothing there changes by it.
            _ => Action::Poll { lease_until_ms: None, acked_cursor: 0, wait_ms: 0 },
        }
    }

    /// Bars starts that may still reach it.
    pub(super) fn bar(&mut self, starts: Vec<RunRef>, now: Now) {
        self.next_ms = now.mono_ms;
        self.stage = Stage::Barring { left: starts.clone(), barred: starts };
    }

    /// Takes in the answer to its call; `may_share_id` tells whether another lifetime may have
    /// given it, since it may go by the same id.
    pub(super) fn take_answer(
        &mut self,
        result: &CallResult,
        may_share_id: bool,
        retry_ms: u64,
        now: Now,
    ) -> Verdict {
        self.call = None;
        let verdict = match (&mut self.stage, result) {
            (_, CallResult::OtherLifetime) => Verdict::Away,
            (
                _,
                CallResult::RunList { started_unix_ms, .. }
                | CallResult::PartialRunList { started_unix_ms, .. },
            ) if started_unix_ms.is_some()
                && *started_unix_ms != self.announcement.started_unix_ms =>
            {
                Verdict::Away
            }
            (
                _,
                CallResult::RunList { started_unix_ms, .. }
                | CallResult::PartialRunList { started_unix_ms, .. },
            ) if *started_unix_ms != self.announcement.started_unix_ms => Verdict::Unclear,
            (Stage::Unheard, CallResult::RunList { .. } | CallResult::PartialRunList { .. }) => {
                Verdict::Heard
            }
            // A call that names another id is not answered like this.
            (Stage::Unheard, CallResult::Refused { .. } | CallResult::Unhealthy)
                if !may_share_id =>
            {
                Verdict::Heard
            }
            (Stage::Barring { left, .. }, CallResult::Done { .. }) => {
                left.pop();
                self.next_ms = now.mono_ms;
                return Verdict::Unclear;
            }
            (Stage::Barring { left, barred }, CallResult::RunList { running, .. })
                if left.is_empty() && !running.iter().any(|it| barred.contains(&it.run)) =>
            {
                Verdict::Ready
            }
            _ if self.announced_ms + PATIENCE_MS <= now.mono_ms => Verdict::Away,
            _ => Verdict::Unclear,
        };
        self.next_ms = now.mono_ms + retry_ms;
        verdict
    }
}
