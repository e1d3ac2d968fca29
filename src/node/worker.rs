//! What a node knows of the worker beside it.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{
    node::{
        calls::{Announcement, CallResult},
        unconfirmed::LATE_ORDER_MAX_MS,
    },
    policy::throttling::{CpuUsageWindow, Throttler},
    prelude::*,
};

/// A reading of the worker's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockSample {
    pub clock_ms: u64,
    /// When it was received, by the clock of this node.
    pub at_ms: u64,
}

/// A look at the worker's lists.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingPoll {
    pub call: u64,
    pub sent_ms: u64,
    /// Longest wait that it allows the worker.
    pub wait_ms: u64,
    pub acked_cursor: u64,
    /// End of the lease before this look, by the worker's clock, where it may be over. Then the
    /// look waits for nothing, so that all that it lists ended before it.
    pub previous_lease_until_ms: Option<u64>,
}

/// An order on its way to the worker.
#[derive(Clone, Debug)]
pub(super) struct PendingOrder {
    pub order: Order,
    /// The call under way, if any.
    pub call: Option<u64>,
    pub next_ms: u64,
    pub attempts: u32,
    /// A start that got no answer may still be carried out.
    pub may_still_execute: bool,
}

/// What an order is for.
#[derive(Clone, Debug)]
pub(super) enum Order {
    Start {
        payload: CompactString,
        checkpoint: CompactString,
        /// What the worker had when the order was made.
        planned_capacity: Resources,
    },
    /// Ends the run, or bars it from beginning; then it is refused for this cause, if any.
    Stop { refused: Option<RefusalCause> },
    /// The worker was told to stop the run; whether it ever ran shows in the next list, read by
    /// a call numbered above `after_call`.
    Blocked { cause: RefusalCause, after_call: u64 },
}

/// What a filler of an image uses.
#[derive(Clone, Debug)]
pub(super) struct ImageUsage {
    pub image: CompactString,
    pub usage: CpuUsageWindow,
}

/// One lifetime of the worker.
#[derive(Debug)]
pub(super) struct WorkerIncarnation {
    /// Its own name; its id may be that of an earlier one.
    pub name: CompactString,
    pub announcement: Announcement,
    /// The newest call before it began: answers to that one and earlier ones tell nothing of it.
    pub last_call_before: u64,
    pub clock: ClockSample,
    /// Last word from the worker itself.
    pub last_contact_ms: u64,
    /// Term under which the lists were last read.
    pub listed_term: u64,
    pub running: Vec<RunningTask>,
    /// Runs whose start was answered, with the newest call by then: a list asked for earlier may
    /// not show them yet.
    pub started_by_call: HashMap<RunRef, u64>,
    pub ended: BTreeMap<u64, RunEnd>,
    pub acked_cursor: u64,
    /// How far the worker has surely heard that its ends are taken note of.
    pub acked_cursor_received: u64,
    pub noted: NotedEnds,
    /// Highest cursor of a failure that was listed: the leader waits to hear that it is noted.
    pub failure_cursor: u64,
    /// End of the longest lease told to the worker, by its clock, if this process told it one.
    pub sent_lease_until_ms: Option<u64>,
    /// Token for calls, from the newest grant, and its place among the grants with this token.
    pub token: u64,
    pub grant_sequence: u64,
    pub lease_until_ms: u64,
    pub orders: BTreeMap<RunRef, PendingOrder>,
    pub refused: BTreeMap<RunRef, RefusalCause>,
    pub roles: HashMap<RunRef, TaskRole>,
    pub throttler: Throttler,
    /// What fillers use, over the time that tails are read in; those that have just ended too.
    pub filler_usages: HashMap<RunRef, ImageUsage>,
    /// What a core of a filler takes from a serving task, by their images.
    pub costs: HashMap<(CompactString, CompactString), f64>,
    /// Share that each filler was last told, and the call that tells it.
    pub sent_speed_percents: HashMap<RunRef, u32>,
    pub throttle_calls: HashMap<u64, (RunRef, u32)>,
    /// The look at the worker's lists that is under way.
    pub poll: Option<PendingPoll>,
    pub next_poll_ms: u64,
    /// Lists in a row that had rows which cannot be read.
    pub incomplete_lists: u32,
    /// When nobody was found at the worker's address first, with nothing heard since.
    pub missing_since_ms: Option<u64>,
    /// Starts of which a call got no answer, with when that was found: a copy may be on its way.
    pub unanswered_starts: BTreeMap<RunRef, u64>,
    /// A look at it failed, or this process stood still, and none has succeeded since: another
    /// lifetime may be there.
    pub may_be_replaced: bool,
    /// When this process was found to have stood still: what was asked before tells who was there.
    pub pause_detected_ms: u64,
    /// When it last listed what it runs.
    pub listed_ms: u64,
    /// Another lifetime answers in its place: what is sent to its id would reach that one.
    pub is_displaced: bool,
    pub is_gone: bool,
}

impl WorkerIncarnation {
    pub(super) fn new(
        announcement: Announcement,
        last_call_before: u64,
        harm_max_ms: u64,
        now: Now,
    ) -> WorkerIncarnation {
        WorkerIncarnation {
            name: announcement.incarnation_name(),
            clock: ClockSample { clock_ms: announcement.clock_ms, at_ms: now.mono_ms },
            announcement,
            last_call_before,
            last_contact_ms: now.mono_ms,
            listed_term: 0,
            running: Vec::new(),
            started_by_call: HashMap::new(),
            ended: BTreeMap::new(),
            acked_cursor: 0,
            acked_cursor_received: 0,
            noted: NotedEnds::NONE,
            failure_cursor: 0,
            sent_lease_until_ms: None,
            token: 0,
            grant_sequence: 0,
            lease_until_ms: 0,
            orders: BTreeMap::new(),
            refused: BTreeMap::new(),
            roles: HashMap::new(),
            throttler: Throttler::new(harm_max_ms),
            filler_usages: HashMap::new(),
            costs: HashMap::new(),
            sent_speed_percents: HashMap::new(),
            throttle_calls: HashMap::new(),
            poll: None,
            next_poll_ms: now.mono_ms,
            incomplete_lists: 0,
            missing_since_ms: None,
            unanswered_starts: BTreeMap::new(),
            may_be_replaced: false,
            pause_detected_ms: 0,
            listed_ms: now.mono_ms,
            is_displaced: false,
            is_gone: false,
        }
    }

    /// Returns whether calls of it may be made.
    pub(super) fn is_callable(&self) -> bool {
        0 < self.token && !self.is_gone && !self.is_displaced
    }

    /// Returns whether an answer was given by another lifetime.
    pub(super) fn is_anothers(&self, result: &CallResult) -> bool {
        match result {
            CallResult::OtherLifetime => true,
            CallResult::RunList { started_unix_ms, .. }
            | CallResult::PartialRunList { started_unix_ms, .. } => {
                started_unix_ms.is_some() && *started_unix_ms != self.announcement.started_unix_ms
            }
            _ => false,
        }
    }

    /// Returns the starts that may yet be carried out by whoever goes by its id: those without an
    /// answer, and those whose answer no list has confirmed.
    pub(super) fn doubtful_starts(&self, now: Now) -> Vec<RunRef> {
        let is_doubtful = |it: &PendingOrder| match it.order {
            Order::Start { .. } => it.call.is_some() || it.may_still_execute,
            Order::Stop { refused } => refused.is_some(),
            Order::Blocked { .. } => true,
        };
        let pending = self.orders.iter().filter(|(_, it)| is_doubtful(it)).map(|(run, _)| *run);
        let may_come = |found_ms: &u64| now.mono_ms < found_ms + LATE_ORDER_MAX_MS;
        let unanswered = self.unanswered_starts.iter().filter(|(_, it)| may_come(it));
        let runs = pending
            .chain(unanswered.map(|(run, _)| *run))
            .chain(self.started_by_call.keys().copied());
        runs.collect::<BTreeSet<_>>().into_iter().collect()
    }

    /// Takes in a word from the worker.
    pub(super) fn hear(&mut self, clock_ms: u64, now: Now) {
        self.clock = ClockSample { clock_ms, at_ms: now.mono_ms };
        self.last_contact_ms = now.mono_ms;
        self.missing_since_ms = None;
    }

    /// Returns the end of the lease by the worker's clock, or nothing when it is over.
    ///
    /// The reading was made before it arrived, so this is never later than the lease.
    pub(super) fn lease_by_worker_ms(&self, now: Now) -> Option<u64> {
        let valid = now.mono_ms < self.lease_until_ms;
        valid.then(|| self.clock.clock_ms + (self.lease_until_ms - self.clock.at_ms))
    }

    /// Notes a grant by its token and sequence; returns whether it is the newest.
    ///
    /// Grants that went over a connection which is given up may come after newer ones. Their orders
    /// are of an enrolment, or of a moment, that the leader has concluded: tasks ran in two places.
    pub(super) fn note_grant(&mut self, token: u64, sequence: u64) -> bool {
        let is_newest = (self.token, self.grant_sequence) < (token, sequence);
        if is_newest {
            (self.token, self.grant_sequence) = (token, sequence);
        }
        is_newest
    }

    /// Returns whether the worker's lease may have run out: its clock may be slower than this one,
    /// never faster by more than a reading takes.
    pub(super) fn may_have_lapsed(&self, now: Now) -> bool {
        let most_clock_ms = self.clock.clock_ms + (now.mono_ms - self.clock.at_ms);
        self.sent_lease_until_ms.is_some_and(|it| it < most_clock_ms)
    }

    /// Takes in what a list tells of ends that were taken note of; returns whether the leader waits
    /// for that.
    ///
    /// Where the lease ran out since the last list, what ended before was never taken note of: the
    /// acknowledgement came too late.
    pub(super) fn take_noted(
        &mut self,
        poll: PendingPoll,
        clock_ms: u64,
        ended: &[EndedRun],
        now: Now,
    ) -> bool {
        let before = self.noted;
        // Its clock as the look reached it: after it was sent, and before the answer was read.
        let least_clock_ms = clock_ms.saturating_sub(now.mono_ms - poll.sent_ms);
        let is_over = poll.previous_lease_until_ms.is_some_and(|it| it < least_clock_ms);
        let lapses = |it: &EndedRun| {
            it.end.outcome == RunOutcome::Lapsed && !self.ended.contains_key(&it.cursor)
        };
        let before_lapse = ended.iter().filter(|it| is_over || lapses(it)).map(|it| it.cursor);
        let acked_late = is_over.then_some(poll.acked_cursor);
        let lapsed_cursor = before_lapse.max().max(acked_late);
        if let Some(it) = lapsed_cursor.filter(|it| before.noted_cursor < *it) {
            self.noted.lapsed_after_cursor = before.noted_cursor;
            self.noted.lapsed_cursor = it;
        }
        self.noted.noted_cursor = before.noted_cursor.max(poll.acked_cursor);
        let failures = ended.iter().filter(|it| it.end.outcome == RunOutcome::Failed);
        self.failure_cursor =
            failures.map(|it| it.cursor).max().unwrap_or(0).max(self.failure_cursor);
        before != self.noted && before.noted_cursor < self.failure_cursor
    }

    /// Returns whether a list is wanted at once, since the leader waits to hear that a failure is
    /// taken note of.
    pub(super) fn has_failure_to_note(&self) -> bool {
        self.noted.noted_cursor < self.failure_cursor.min(self.acked_cursor)
    }

    /// Returns whether a run is listed, as running or ended.
    pub(super) fn knows(&self, run: RunRef) -> bool {
        self.running.iter().any(|it| it.run == run) || self.ended.values().any(|it| it.run == run)
    }

    /// Takes in a list that the worker gave to a call; what began after that call was made is kept,
    /// though the list may not show it yet.
    pub(super) fn take_list(&mut self, mut listed: Vec<RunningTask>, call: u64) {
        self.started_by_call.retain(|_, after_call| call <= *after_call);
        let is_new = |it: &RunningTask| {
            self.started_by_call.contains_key(&it.run)
                && !listed.iter().any(|other| other.run == it.run)
                && !self.ended.values().any(|other| other.run == it.run)
        };
        let kept: Vec<_> = self.running.iter().filter(|it| is_new(it)).cloned().collect();
        listed.extend(kept);
        self.running = listed;
    }

    /// Takes in a list with rows that cannot be read: what it does not show may run all the same.
    pub(super) fn take_part_of_list(&mut self, mut listed: Vec<RunningTask>) {
        let is_missing = |it: &RunningTask| {
            !listed.iter().any(|other| other.run == it.run)
                && !self.ended.values().any(|other| other.run == it.run)
        };
        let kept: Vec<_> = self.running.iter().filter(|it| is_missing(it)).cloned().collect();
        listed.extend(kept);
        self.running = listed;
    }

    /// Returns a running task as the leader is told of it, with what a filler uses on the whole.
    fn reported(&self, it: &RunningTask) -> RunningTask {
        let used = self.filler_usages.get(&it.run);
        let load = used.map_or(it.load, |it| (it.usage.cores * 1_000.0) as u32);
        RunningTask { load, ..it.clone() }
    }

    pub(super) fn report(&self) -> WorkerReport {
        let it = &self.announcement;
        let roles_missing = self.running.iter().any(|it| !self.roles.contains_key(&it.run));
        WorkerReport {
            name: self.name.clone(),
            service: it.service.clone(),
            zone: it.zone.clone(),
            kind: it.kind.clone(),
            rack: it.rack.clone(),
            capacity: it.capacity,
            draining: it.draining,
            remaining_ms: it.remaining_ms,
            gone: self.is_gone,
            term: self.listed_term,
            running: self.running.iter().map(|it| self.reported(it)).collect(),
            ended: self
                .ended
                .iter()
                .map(|(cursor, end)| EndedRun { cursor: *cursor, end: end.clone() })
                .collect(),
            refused: self
                .refused
                .iter()
                .map(|(run, cause)| RefusedRun { run: *run, cause: *cause })
                .collect(),
            roles_missing,
            noted: self.noted,
            faded: self.faded(),
        }
    }
}
