//! A worker incarnation that has announced itself and is not confirmed yet.
//!
//! An announcement alone does not replace the known worker, since it may be a late one of an
//! incarnation that has ended. And if the new incarnation has the same id, orders for the previous
//! one may still reach it. So the node first polls it and blocks such orders there, before it
//! reports the incarnation to the leader, which then restarts elsewhere what ran before.
//!
//! Blocking takes one answered call: it carries a fencing token above those of all calls before, so
//! the worker refuses the orders for the previous incarnation. Starts that it carried out before are
//! listed, and are stopped. Starts that were blocked one by one took longer than the lease of the
//! previous incarnation where stops got no answer, and tasks ran in two places.

use crate::{
    node::calls::{Action, Announcement, CallResult, WorkerCall},
    prelude::*,
};

/// Time after which an order without an answer can no longer arrive at the worker.
pub(super) const LATE_ORDER_MAX_MS: u64 = 10_000;

#[derive(Debug)]
pub(super) struct UnconfirmedWorker {
    pub announcement: Announcement,
    announced_ms: u64,
    stage: Stage,
    /// The call under way.
    call: Option<PendingCall>,
    next_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct PendingCall {
    id: u64,
    token: u64,
}

/// Time after the newest announcement for which calls without a usable answer are repeated: a few
/// announcement intervals. Without a limit, one late announcement would cause polls for ever.
const CONFIRMATION_TIMEOUT_MS: u64 = 5_000;

#[derive(Debug)]
enum Stage {
    NotAnswered,
    /// The worker has answered. Starts meant for the previous incarnation are blocked; then a list
    /// must show that none of them runs.
    Blocking {
        /// Runs to stop.
        remaining: Vec<RunRef>,
        /// Runs whose stop the worker has confirmed.
        stopped: Vec<RunRef>,
        /// Whether all starts were meant for another incarnation, so that all listed runs are to be
        /// stopped.
        is_other_incarnation: bool,
    },
}

/// The conclusion from a call of an unconfirmed worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// No conclusion yet.
    Unclear,
    /// The worker has answered for the first time.
    Answered,
    /// Another incarnation answers in its place, or no usable answer came in time.
    Absent,
    /// No start meant for the previous incarnation can be carried out there.
    Ready,
}

impl UnconfirmedWorker {
    pub(super) fn new(announcement: Announcement, now: Now) -> UnconfirmedWorker {
        let (announced_ms, next_ms) = (now.mono_ms, now.mono_ms);
        UnconfirmedWorker {
            announcement,
            announced_ms,
            stage: Stage::NotAnswered,
            call: None,
            next_ms,
        }
    }

    /// Keeps a newer announcement of the same incarnation.
    pub(super) fn update_announcement(&mut self, announcement: Announcement, now: Now) {
        if self.announcement.sequence < announcement.sequence {
            self.announcement = announcement;
            self.announced_ms = now.mono_ms;
        }
    }

    /// Returns when the next call is due, unless one is under way.
    pub(super) fn next_call_ms(&self) -> Option<u64> {
        self.call.is_none().then_some(self.next_ms)
    }

    /// Returns whether `call` is the one under way.
    pub(super) fn awaits(&self, call: u64) -> bool {
        self.call.is_some_and(|it| it.id == call)
    }

    /// Returns the token of the call under way, if any.
    pub(super) fn pending_token(&self) -> Option<u64> {
        self.call.map(|it| it.token)
    }

    /// Makes the next call due at once.
    pub(super) fn make_call_due(&mut self, now: Now) {
        self.next_ms = now.mono_ms;
    }

    /// Marks the call `id` as under way, and returns it.
    pub(super) fn begin_call(&mut self, id: u64, token: u64) -> WorkerCall {
        self.call = Some(PendingCall { id, token });
        let action = match &self.stage {
            Stage::Blocking { remaining, .. } if let Some(run) = remaining.last() => {
                Action::Stop { run: *run }
            }
            // Without a lease or an acknowledgement, the poll changes no state of the worker.
            _ => Action::Poll { lease_until_ms: None, acked_cursor: 0, wait_ms: 0 },
        };
        WorkerCall { worker: self.announcement.id.clone(), token, action }
    }

    /// Begins to block starts that may still reach the worker. `is_other_incarnation` says whether
    /// they were meant for another incarnation than this one.
    pub(super) fn block_starts(
        &mut self,
        starts: Vec<RunRef>,
        is_other_incarnation: bool,
        now: Now,
    ) {
        self.next_ms = now.mono_ms;
        self.stage =
            Stage::Blocking { remaining: starts, stopped: Vec::new(), is_other_incarnation };
    }

    /// Handles the result of the call under way. `may_share_id` says whether another incarnation
    /// with the same id may have given the answer.
    pub(super) fn handle_answer(
        &mut self,
        result: &CallResult,
        may_share_id: bool,
        retry_ms: u64,
        now: Now,
    ) -> Verdict {
        self.call = None;
        let verdict = match (&mut self.stage, result) {
            (_, CallResult::OtherLifetime) => Verdict::Absent,
            (
                _,
                CallResult::RunList { started_unix_ms, .. }
                | CallResult::PartialRunList { started_unix_ms, .. },
            ) if started_unix_ms.is_some()
                && *started_unix_ms != self.announcement.started_unix_ms =>
            {
                Verdict::Absent
            }
            (
                _,
                CallResult::RunList { started_unix_ms, .. }
                | CallResult::PartialRunList { started_unix_ms, .. },
            ) if *started_unix_ms != self.announcement.started_unix_ms => Verdict::Unclear,
            (
                Stage::NotAnswered,
                CallResult::RunList { .. } | CallResult::PartialRunList { .. },
            ) => Verdict::Answered,
            // A worker with another id would have answered `OtherLifetime`.
            (Stage::NotAnswered, CallResult::Refused { .. } | CallResult::Unhealthy)
                if !may_share_id =>
            {
                Verdict::Answered
            }
            (
                Stage::Blocking { remaining, stopped, is_other_incarnation },
                CallResult::Done { .. },
            ) => {
                stopped.extend(remaining.pop());
                if *is_other_incarnation {
                    // The worker has received the token, so it refuses the other starts.
                    remaining.clear();
                }
                self.next_ms = now.mono_ms;
                return Verdict::Unclear;
            }
            (
                Stage::Blocking { remaining, stopped, is_other_incarnation },
                CallResult::RunList { running, .. },
            ) if remaining.is_empty() => {
                let listed = running.iter().map(|it| it.run);
                let strays: Vec<_> =
                    listed.filter(|it| *is_other_incarnation || stopped.contains(it)).collect();
                remaining.extend(strays.iter().filter(|it| !stopped.contains(it)));
                if strays.is_empty() { Verdict::Ready } else { Verdict::Unclear }
            }
            _ if self.announced_ms + CONFIRMATION_TIMEOUT_MS <= now.mono_ms => Verdict::Absent,
            _ => Verdict::Unclear,
        };
        self.next_ms = now.mono_ms + retry_ms;
        verdict
    }
}
