//! Requests that wait for their turn at the leader, by class of work.
//!
//! Messages are taken in as they arrive, and requests are worked on in turns of bounded size, so
//! that reports of nodes and acknowledgements wait for one turn at most. All of it is lost with the
//! leader; its gateways send the requests again.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::{
    control::core::workflows::CallReplyTo,
    policy::overload::{Backlog, ReturnTimes, ServiceTime, WorkClass, waits},
    prelude::*,
    schema::memory::spec_bytes,
};

/// Requests worked on in one turn: a few milliseconds, which leases can wait.
const CALLS_PER_TURN: usize = 4;

/// Proposed entries of requests that are not applied yet, at most. Ends of tasks wait behind at most
/// these in the log.
const CHANGES_UNDER_WAY_MAX: usize = 256;

/// Pause between turns while requests wait, in which messages are taken in.
const TURN_PAUSE_MS: u64 = 1;

/// A request that waits for its turn.
#[derive(Clone, Debug)]
pub(super) struct WaitingCall {
    /// Where its answer goes: gateways may send a submission several times.
    pub to: Vec<CallReplyTo>,
    pub request: WorkflowRequest,
    /// The workflow that it submits.
    pub submits: Option<WorkflowId>,
    /// Memory of what it submits.
    pub bytes: usize,
    arrived_ms: u64,
    /// Time from which nobody waits for the answer.
    deadline_ms: u64,
}

impl WaitingCall {
    pub(super) fn new(
        to: CallReplyTo,
        request: WorkflowRequest,
        submits: Option<WorkflowId>,
        now: Now,
        remaining_ms: u64,
    ) -> WaitingCall {
        let deadline_ms = now.mono_ms.saturating_add(remaining_ms);
        let bytes = request.submitted_spec().map_or(0, spec_bytes);
        WaitingCall { to: vec![to], request, submits, bytes, arrived_ms: now.mono_ms, deadline_ms }
    }
}

/// A request that is turned away, with the time after which to return.
#[derive(Clone, Debug)]
pub(super) struct TurnedAway {
    pub to: Vec<CallReplyTo>,
    pub retry_after_ms: u64,
}

/// The requests of one turn.
#[derive(Debug, Default)]
pub(super) struct Turn {
    pub calls: Vec<WaitingCall>,
    pub turned_away: Vec<TurnedAway>,
}

/// Numbers of requests that were not worked on, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IntakeCounts {
    /// Their wait was expected to be too long, when they arrived.
    pub refused: u64,
    /// They had waited for too long.
    pub overdue: u64,
    /// Their clients had stopped waiting.
    pub expired: u64,
    /// Their workflows were cancelled.
    pub withdrawn: u64,
}

/// The requests that wait for their turn.
#[derive(Debug, Default)]
pub(super) struct Intake {
    changes: VecDeque<WaitingCall>,
    reads: VecDeque<WaitingCall>,
    submissions: VecDeque<WaitingCall>,
    /// The workflows that `submissions` submit.
    waiting: BTreeSet<WorkflowId>,
    /// The workflows whose submission is proposed and not applied, by index in the log.
    under_way: BTreeMap<u64, WorkflowId>,
    next_turn_ms: u64,
    /// Time of the last measured turn, or of the first arrival since the queues were empty; `None`
    /// while they are empty.
    busy_since_ms: Option<u64>,
    service: ServiceTime,
    return_times: ReturnTimes,
    counts: IntakeCounts,
    /// Requests turned away since the overload began.
    turned_away_count: u64,
}

impl Intake {
    pub(super) fn counts(&self) -> IntakeCounts {
        self.counts
    }

    /// Returns the memory of the submissions that wait.
    pub(super) fn submission_bytes(&self) -> usize {
        self.submissions.iter().map(|it| it.bytes).sum()
    }

    /// Returns when the next turn is due, if `under_way` changes of requests are not applied yet.
    pub(super) fn next_turn_ms(&self, under_way: usize) -> u64 {
        let has_work =
            !self.reads.is_empty() || under_way < CHANGES_UNDER_WAY_MAX && !self.is_empty();
        let overdue_ms = self.submissions.front().map_or(u64::MAX, overdue_at_ms);
        if has_work { self.next_turn_ms } else { overdue_ms }
    }

    /// Adds a request; returns it if it is turned away.
    pub(super) fn push(&mut self, now: Now, call: WaitingCall) -> Option<TurnedAway> {
        let class = WorkClass::of(&call.request);
        if !waits(class, self.backlog(class, now), self.service) {
            self.counts.refused += 1;
            return Some(self.turn_away(now, &call));
        }
        if self.is_empty() {
            self.next_turn_ms = now.mono_ms + TURN_PAUSE_MS;
            self.busy_since_ms = Some(now.mono_ms);
        }
        self.waiting.extend(call.submits);
        self.queue_mut(class).push_back(call);
        None
    }

    /// Adds a further copy of a submission that waits, to be answered with it; returns whether
    /// there is one. A copy that is turned away while another is accepted would get a
    /// wrong answer.
    pub(super) fn join(
        &mut self,
        now: Now,
        id: WorkflowId,
        to: CallReplyTo,
        remaining_ms: u64,
    ) -> bool {
        if !self.waiting.contains(&id) {
            return false;
        }
        let Some(it) = self.submissions.iter_mut().find(|it| it.submits == Some(id)) else {
            return false;
        };
        it.to.push(to);
        it.deadline_ms = it.deadline_ms.max(now.mono_ms.saturating_add(remaining_ms));
        true
    }

    /// Removes the submission of a workflow that is to be cancelled, if it waits. The cancel, whose
    /// turn comes first, would find no workflow, and the submission would run.
    pub(super) fn withdraw(&mut self, now: Now, id: WorkflowId) -> Option<TurnedAway> {
        if !self.waiting.remove(&id) {
            return None;
        }
        let position = self.submissions.iter().position(|it| it.submits == Some(id))?;
        let submission = self.submissions.remove(position)?;
        self.counts.withdrawn += 1;
        tracing::info!(event = "submission_withdrawn", workflow = %format_args!("{:016x}", id.0), waited_ms = now.mono_ms.saturating_sub(submission.arrived_ms), cause = "cancelled");
        Some(self.turn_away(now, &submission))
    }

    /// Returns the index in the log of a submission that is proposed and not applied.
    pub(super) fn index_under_way(&self, id: WorkflowId) -> Option<u64> {
        self.under_way.iter().find(|(_, it)| **it == id).map(|(index, _)| *index)
    }

    pub(super) fn note_proposed(&mut self, index: u64, id: WorkflowId) {
        self.under_way.insert(index, id);
    }

    /// Forgets what is proposed, since this member does not lead and a new leader decides on it.
    pub(super) fn forget_proposed(&mut self) {
        self.under_way.clear();
    }

    pub(super) fn note_applied(&mut self, index: u64) {
        self.under_way.remove(&index);
    }

    /// Takes the requests to work on now, most useful first, and those that have waited too long.
    pub(super) fn take_turn(&mut self, now: Now, under_way: usize) -> Turn {
        let mut turn = Turn::default();
        if self.is_empty() {
            return turn;
        }
        self.drop_late(now, &mut turn);
        let mut free = CHANGES_UNDER_WAY_MAX.saturating_sub(under_way);
        for class in [WorkClass::Change, WorkClass::Read, WorkClass::Submission] {
            let left = CALLS_PER_TURN - turn.calls.len();
            let limit = if class == WorkClass::Read { left } else { left.min(free) };
            let queue = self.queue_mut(class);
            let count = limit.min(queue.len());
            turn.calls.extend(queue.drain(..count));
            if class != WorkClass::Read {
                free -= count;
            }
        }
        for it in turn.calls.iter().filter_map(|it| it.submits) {
            self.waiting.remove(&it);
        }
        self.note_turn(now, turn.calls.len() as u64);
        turn
    }

    /// Takes all requests, since this member no longer leads.
    pub(super) fn take_all(&mut self) -> Vec<WaitingCall> {
        let mut res = Vec::new();
        for class in [WorkClass::Change, WorkClass::Read, WorkClass::Submission] {
            res.extend(self.queue_mut(class).drain(..));
        }
        let under_way = std::mem::take(&mut self.under_way);
        *self = Intake { counts: self.counts, under_way, ..Intake::default() };
        res
    }

    fn is_empty(&self) -> bool {
        self.changes.is_empty() && self.reads.is_empty() && self.submissions.is_empty()
    }

    fn queue_mut(&mut self, class: WorkClass) -> &mut VecDeque<WaitingCall> {
        match class {
            WorkClass::Lease | WorkClass::Change => &mut self.changes,
            WorkClass::Read => &mut self.reads,
            WorkClass::Submission => &mut self.submissions,
        }
    }

    fn backlog(&self, class: WorkClass, now: Now) -> Backlog {
        let (queue, ahead) = match class {
            WorkClass::Lease | WorkClass::Change => (&self.changes, 0),
            WorkClass::Read => (&self.reads, self.changes.len()),
            WorkClass::Submission => (&self.submissions, self.changes.len() + self.reads.len()),
        };
        let oldest_age_ms = queue.front().map_or(0, |it| now.mono_ms.saturating_sub(it.arrived_ms));
        Backlog { len: queue.len(), ahead: queue.len() + ahead, oldest_age_ms }
    }

    fn turn_away(&mut self, now: Now, call: &WaitingCall) -> TurnedAway {
        let ahead = self.backlog(WorkClass::of(&call.request), now).ahead;
        let retry_after_ms = self.return_times.next_ms(now.mono_ms, ahead, self.service);
        if self.turned_away_count == 0 {
            tracing::warn!(event = "overload_began", waiting = ahead, retry_after_ms);
        }
        self.turned_away_count += 1;
        TurnedAway { to: call.to.clone(), retry_after_ms }
    }

    /// Turns away what has waited too long, and what nobody waits for. Oldest requests are first,
    /// but their deadlines may be in any order.
    fn drop_late(&mut self, now: Now, turn: &mut Turn) {
        let mut late = Vec::new();
        for queue in [&mut self.changes, &mut self.reads, &mut self.submissions] {
            let is_late = |it: &WaitingCall| {
                it.deadline_ms <= now.mono_ms || overdue_at_ms(it) <= now.mono_ms
            };
            queue.retain(|it| {
                if is_late(it) {
                    late.push(it.clone());
                }
                !is_late(it)
            });
        }
        for it in late {
            if let Some(id) = it.submits {
                self.waiting.remove(&id);
            }
            match it.deadline_ms <= now.mono_ms {
                true => self.counts.expired += 1,
                false => self.counts.overdue += 1,
            }
            let turned_away = self.turn_away(now, &it);
            turn.turned_away.push(turned_away);
        }
    }

    /// Learns from a turn, and schedules the next one.
    fn note_turn(&mut self, now: Now, count: u64) {
        self.next_turn_ms = now.mono_ms + TURN_PAUSE_MS;
        match self.busy_since_ms {
            _ if self.is_empty() => {
                self.busy_since_ms = None;
                if 0 < self.turned_away_count {
                    tracing::info!(event = "overload_ended", turned_away = self.turned_away_count);
                    self.turned_away_count = 0;
                }
            }
            // A turn without room for changes tells nothing yet.
            Some(since_ms) if 0 < count => {
                self.service.observe(now.mono_ms.saturating_sub(since_ms), count);
                self.busy_since_ms = Some(now.mono_ms);
            }
            Some(_) => (),
            None => self.busy_since_ms = Some(now.mono_ms),
        }
    }
}

fn overdue_at_ms(it: &WaitingCall) -> u64 {
    it.arrived_ms.saturating_add(WorkClass::of(&it.request).wait_max_ms())
}
