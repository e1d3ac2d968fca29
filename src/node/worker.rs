//! The state that a node keeps of the worker beside it.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{
    node::{
        calls::{Announcement, CallResult},
        fillers::TailReading,
        speeds::FillerSpeeds,
        target_misses::TargetMisses,
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

/// A call under way that reads the worker's run list.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingPoll {
    pub call: u64,
    pub token: u64,
    pub sent_ms: u64,
    /// Longest time for which the worker may hold the call open.
    pub wait_ms: u64,
    pub acked_cursor: u64,
    /// End of the previous lease by the worker's clock, if that lease may have expired. The poll
    /// then does not wait, so that every end in its list came before it.
    pub previous_lease_until_ms: Option<u64>,
}

/// An order that the worker has not confirmed yet.
#[derive(Clone, Debug)]
pub(super) struct PendingOrder {
    pub order: Order,
    /// The call under way, if any.
    pub call: Option<u64>,
    pub next_ms: u64,
    pub attempts: u32,
    /// Whether an earlier call got no answer, so that the worker may still carry it out.
    pub may_still_execute: bool,
}

#[derive(Clone, Debug)]
pub(super) enum Order {
    Start {
        payload: CompactString,
        checkpoint: CompactString,
        /// Capacity of the worker with which the leader planned the start.
        planned_capacity: Resources,
    },
    /// Ends the run, or blocks its start. A run that never started is refused for this cause.
    Stop { refused: Option<RefusalCause> },
    /// The worker has confirmed the stop. Whether the run ever started shows in the next list, read
    /// by a call numbered above `after_call`.
    Blocked { cause: RefusalCause, after_call: u64 },
}

/// CPU usage of a filler, with its image.
#[derive(Clone, Debug)]
pub(super) struct ImageUsage {
    pub image: CompactString,
    pub usage: CpuUsageWindow,
}

#[derive(Debug)]
pub(super) struct WorkerIncarnation {
    /// Unique name; the worker id may have been used by an earlier incarnation.
    pub name: CompactString,
    pub announcement: Announcement,
    /// The latest call before it began; answers to that call and earlier ones are not its own.
    pub last_call_before: u64,
    pub clock: ClockSample,
    /// When the worker last sent an announcement or an answer.
    pub last_contact_ms: u64,
    /// Term under which the lists were last read.
    pub listed_term: u64,
    pub running: Vec<RunningTask>,
    /// Runs whose start was confirmed, with the latest call at that time: a list that was requested
    /// earlier may not show them yet.
    pub started_by_call: HashMap<RunRef, u64>,
    pub ended: BTreeMap<u64, RunEnd>,
    pub acked_cursor: u64,
    /// Highest acknowledged cursor that the worker has certainly received.
    pub acked_cursor_received: u64,
    pub noted: NotedEnds,
    /// Highest cursor of a listed failure; the leader waits for the report that it is noted.
    pub failure_cursor: u64,
    /// Latest lease end that this process sent to the worker, by the worker's clock, if any.
    pub sent_lease_until_ms: Option<u64>,
    /// Token of the newest grant; `grant_sequence` orders grants of one token.
    pub token: u64,
    pub grant_sequence: u64,
    pub lease_until_ms: u64,
    pub orders: BTreeMap<RunRef, PendingOrder>,
    pub refused: BTreeMap<RunRef, RefusalCause>,
    pub roles: HashMap<RunRef, TaskRole>,
    pub throttler: Throttler,
    /// Newest tails of the serving tasks.
    pub tails: HashMap<RunRef, TailReading>,
    pub target_misses: TargetMisses,
    pub harm_max_ms: u64,
    /// CPU usage of fillers over the window of latency readings; includes recently ended fillers.
    pub filler_usages: HashMap<RunRef, ImageUsage>,
    /// Headroom in percent that a filler's core costs a serving task, by (serving, filler) image.
    pub costs: HashMap<(CompactString, CompactString), f64>,
    pub speeds: FillerSpeeds,
    pub poll: Option<PendingPoll>,
    /// Polls whose lists are outdated once they arrive. They may still renew the lease and
    /// acknowledge ends.
    pub dropped_polls: Vec<PendingPoll>,
    /// Highest cursor acknowledged by a poll that got no answer, until a list shows whether the
    /// worker received it.
    pub unanswered_cursor: u64,
    pub next_poll_ms: u64,
    /// Consecutive lists with unreadable rows.
    pub incomplete_lists: u32,
    /// Time of the first refused connection since the last contact.
    pub missing_since_ms: Option<u64>,
    /// Starts with a call that timed out, and when it did: a copy may still be in transit.
    pub unanswered_starts: BTreeMap<RunRef, u64>,
    /// A poll failed or this process paused, and no poll has succeeded since: another incarnation
    /// may have taken the address.
    pub may_be_replaced: bool,
    /// When a pause of this process was detected; polls sent earlier no longer prove anything.
    pub pause_detected_ms: u64,
    /// Time of the last fresh run list.
    pub listed_ms: u64,
    /// Another incarnation answers under its id, and would receive the calls that are sent to it.
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
            noted: NotedEnds::NO_ACKNOWLEDGEMENTS,
            failure_cursor: 0,
            sent_lease_until_ms: None,
            token: 0,
            grant_sequence: 0,
            lease_until_ms: 0,
            orders: BTreeMap::new(),
            refused: BTreeMap::new(),
            roles: HashMap::new(),
            throttler: Throttler::new(harm_max_ms),
            tails: HashMap::new(),
            target_misses: TargetMisses::default(),
            harm_max_ms,
            filler_usages: HashMap::new(),
            costs: HashMap::new(),
            speeds: FillerSpeeds::default(),
            poll: None,
            dropped_polls: Vec::new(),
            unanswered_cursor: 0,
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

    pub(super) fn is_callable(&self) -> bool {
        0 < self.token && !self.is_gone && !self.is_displaced
    }

    pub(super) fn is_from_other_incarnation(&self, result: &CallResult) -> bool {
        match result {
            CallResult::OtherLifetime => true,
            CallResult::RunList { started_unix_ms, .. }
            | CallResult::PartialRunList { started_unix_ms, .. } => {
                started_unix_ms.is_some() && *started_unix_ms != self.announcement.started_unix_ms
            }
            _ => false,
        }
    }

    /// Returns the starts that any incarnation with this id may still carry out: those without an
    /// answer, and those whose answer no list has confirmed.
    pub(super) fn doubtful_starts(&self, now: Now) -> Vec<RunRef> {
        let is_doubtful = |it: &PendingOrder| match it.order {
            Order::Start { .. } => it.call.is_some() || it.may_still_execute,
            Order::Stop { refused } => refused.is_some(),
            Order::Blocked { .. } => true,
        };
        let pending = self.orders.iter().filter(|(_, it)| is_doubtful(it)).map(|(run, _)| *run);
        let may_still_arrive = |noticed_ms: &u64| now.mono_ms < noticed_ms + LATE_ORDER_MAX_MS;
        let unanswered = self.unanswered_starts.iter().filter(|(_, it)| may_still_arrive(it));
        let runs = pending
            .chain(unanswered.map(|(run, _)| *run))
            .chain(self.started_by_call.keys().copied());
        runs.collect::<BTreeSet<_>>().into_iter().collect()
    }

    /// Notes an announcement or answer of the worker, with its clock.
    pub(super) fn note_contact(&mut self, clock_ms: u64, now: Now) {
        self.clock = ClockSample { clock_ms, at_ms: now.mono_ms };
        self.last_contact_ms = now.mono_ms;
        self.missing_since_ms = None;
    }

    /// Returns the end of the lease by the worker's clock, or `None` once the lease has ended.
    ///
    /// The clock was read before the reading arrived, so the result is never later than the lease.
    pub(super) fn lease_by_worker_ms(&self, now: Now) -> Option<u64> {
        let is_valid = now.mono_ms < self.lease_until_ms;
        is_valid.then(|| self.clock.clock_ms + (self.lease_until_ms - self.clock.at_ms))
    }

    /// Notes a grant by its token and sequence. Returns whether it is the newest.
    ///
    /// Grants sent over an abandoned connection may arrive after newer ones. Their orders belong to
    /// a registration or a state that the leader has left behind; applying them ran tasks in two
    /// places.
    pub(super) fn note_grant(&mut self, token: u64, sequence: u64) -> bool {
        let is_newest = (self.token, self.grant_sequence) < (token, sequence);
        if is_newest {
            (self.token, self.grant_sequence) = (token, sequence);
        }
        is_newest
    }

    /// Returns the last report on an incarnation that another one has replaced.
    pub(super) fn final_report(&self) -> WorkerReport {
        WorkerReport {
            gone: true,
            noted: self.finally_noted(),
            running: Vec::new(),
            ended: Vec::new(),
            refused: Vec::new(),
            faded: Vec::new(),
            ..self.report()
        }
    }

    /// Returns whether a run is listed as running or ended.
    pub(super) fn lists_run(&self, run: RunRef) -> bool {
        self.running.iter().any(|it| it.run == run) || self.ended.values().any(|it| it.run == run)
    }

    /// Applies the run list that the worker returned for `call`. Runs that started after that call
    /// was made are kept, since the list may not show them yet.
    pub(super) fn apply_run_list(&mut self, mut listed: Vec<RunningTask>, call: u64) {
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

    /// Applies a list with unreadable rows. Runs that it does not show are kept, since they may
    /// still run.
    pub(super) fn apply_partial_run_list(&mut self, mut listed: Vec<RunningTask>) {
        let is_missing = |it: &RunningTask| {
            !listed.iter().any(|other| other.run == it.run)
                && !self.ended.values().any(|other| other.run == it.run)
        };
        let kept: Vec<_> = self.running.iter().filter(|it| is_missing(it)).cloned().collect();
        listed.extend(kept);
        self.running = listed;
    }

    /// Returns a running task as reported to the leader: for a filler, with its windowed CPU usage.
    fn reported_task(&self, task: &RunningTask) -> RunningTask {
        let image_usage = self.filler_usages.get(&task.run);
        let load = image_usage.map_or(task.load, |it| (it.usage.cores * 1_000.0) as u32);
        RunningTask { load, ..task.clone() }
    }

    pub(super) fn report(&self) -> WorkerReport {
        let announcement = &self.announcement;
        let roles_missing = self.running.iter().any(|it| !self.roles.contains_key(&it.run));
        WorkerReport {
            name: self.name.clone(),
            service: announcement.service.clone(),
            zone: announcement.zone.clone(),
            kind: announcement.kind.clone(),
            rack: announcement.rack.clone(),
            capacity: announcement.capacity,
            draining: announcement.draining,
            remaining_ms: announcement.remaining_ms,
            gone: self.is_gone,
            term: self.listed_term,
            running: self.running.iter().map(|it| self.reported_task(it)).collect(),
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
            noted: if self.is_gone { self.finally_noted() } else { self.noted },
            faded: self.ended_filler_uses(),
        }
    }
}
