//! Which ends a worker knows to be acknowledged, and whether its lease expired before.
//!
//! An acknowledgement counts only under the lease in which the worker listed the end. Neither the
//! arrival of a call nor the expiry of a lease is observed directly: both follow from the worker's
//! clock and lists.

use crate::{
    node::worker::{PendingPoll, WorkerIncarnation},
    prelude::*,
};

/// Time that a call of the worker on the same VM takes at most, unless one of both stalls.
const CALL_MAX_MS: u64 = 50;

/// Number of replaced polls that are remembered: each is answered or fails within seconds.
const DROPPED_POLLS_MAX: usize = 8;

impl WorkerIncarnation {
    /// Returns whether the worker's lease may have expired. The worker's clock may be slower than
    /// this one, and is faster by no more than the time that a reading takes.
    pub(super) fn may_have_lapsed(&self, now: Now) -> bool {
        let max_clock_ms = self.clock.clock_ms + (now.mono_ms - self.clock.at_ms);
        self.sent_lease_until_ms.is_some_and(|it| it < max_clock_ms)
    }

    /// Returns whether the lease may expire while a call is on its way, although the worker does not
    /// know yet that a failure is acknowledged. Whether the failure counts could then not be known.
    pub(super) fn may_lapse_during_call(&self, now: Now) -> bool {
        let clock_ms = self.clock.clock_ms + (now.mono_ms - self.clock.at_ms);
        self.noted.noted_cursor < self.failure_cursor
            && self.sent_lease_until_ms.is_some_and(|it| it.abs_diff(clock_ms) <= CALL_MAX_MS)
    }

    /// Replaces the poll under way by one that is due at once.
    pub(super) fn drop_poll(&mut self, now: Now) {
        self.dropped_polls.extend(self.poll.take());
        let excess = self.dropped_polls.len().saturating_sub(DROPPED_POLLS_MAX);
        self.dropped_polls.drain(..excess);
        self.next_poll_ms = self.next_poll_ms.min(now.mono_ms);
    }

    /// Removes and returns a poll that was replaced before it was answered.
    pub(super) fn take_dropped_poll(&mut self, call: u64) -> Option<PendingPoll> {
        let index = self.dropped_polls.iter().position(|it| it.call == call)?;
        Some(self.dropped_polls.remove(index))
    }

    /// Notes that a poll returned no list: its lease and its acknowledgement may not have arrived.
    /// `is_refused` says that they surely have not.
    pub(super) fn note_failed_poll(&mut self, poll: PendingPoll, is_refused: bool) {
        if poll.previous_lease_until_ms.is_some() {
            self.sent_lease_until_ms = poll.previous_lease_until_ms;
        }
        if !is_refused {
            self.unanswered_cursor = self.unanswered_cursor.max(poll.acked_cursor);
        }
    }

    /// Returns the ends that are noted once the incarnation has ended. An acknowledgement that it may
    /// have received counts as received.
    pub(super) fn finally_noted(&self) -> NotedEnds {
        let pending_cursors = self.poll.iter().chain(&self.dropped_polls).map(|it| it.acked_cursor);
        let pending_cursor = pending_cursors.max().unwrap_or(0).max(self.unanswered_cursor);
        NotedEnds { noted_cursor: self.noted.noted_cursor.max(pending_cursor), ..self.noted }
    }

    /// Updates which ends the worker knows to be acknowledged, by the list that a poll returned.
    /// Returns whether the leader waits for this update.
    ///
    /// If the lease expired since the last list, the ends before that count as never noted, since
    /// their acknowledgement came too late.
    pub(super) fn update_noted_ends(
        &mut self,
        poll: PendingPoll,
        clock_ms: u64,
        ended: &[EndedRun],
        now: Now,
    ) -> bool {
        let noted_at_first = self.noted;
        let is_unanswered_received = ended.iter().all(|it| self.unanswered_cursor < it.cursor);
        if is_unanswered_received {
            self.noted.noted_cursor = self.noted.noted_cursor.max(self.unanswered_cursor);
            self.unanswered_cursor = 0;
        }
        let noted_before = self.noted;
        // Lower bound of the worker's clock at the arrival of the poll, which was after `sent_ms`.
        let min_clock_ms = clock_ms.saturating_sub(now.mono_ms - poll.sent_ms);
        let lease_ended = poll.previous_lease_until_ms.is_some_and(|it| it < min_clock_ms);
        let is_new_lapse = |it: &EndedRun| {
            it.end.outcome == RunOutcome::Lapsed && !self.ended.contains_key(&it.cursor)
        };
        let lapsed_cursors =
            ended.iter().filter(|it| lease_ended || is_new_lapse(it)).map(|it| it.cursor);
        let late_acked_cursor = lease_ended.then_some(poll.acked_cursor);
        let lapsed_cursor = lapsed_cursors.max().max(late_acked_cursor);
        if let Some(it) = lapsed_cursor.filter(|it| noted_before.noted_cursor < *it) {
            // Acknowledgements that came after a lapse do not end it: the leader may not know yet
            // which ends preceded it.
            if noted_before.lapsed_cursor < noted_before.noted_cursor {
                self.noted.lapsed_after_cursor = noted_before.noted_cursor;
            }
            self.noted.lapsed_cursor = it;
        }
        self.noted.noted_cursor = noted_before.noted_cursor.max(poll.acked_cursor);
        let failures = ended.iter().filter(|it| it.end.outcome == RunOutcome::Failed);
        self.failure_cursor =
            failures.map(|it| it.cursor).max().unwrap_or(0).max(self.failure_cursor);
        noted_at_first != self.noted && noted_at_first.noted_cursor < self.failure_cursor
    }

    /// Returns whether the next poll must not wait, because the leader waits for the report that a
    /// failure is noted.
    pub(super) fn has_failure_to_note(&self) -> bool {
        self.noted.noted_cursor < self.failure_cursor.min(self.acked_cursor)
    }
}
