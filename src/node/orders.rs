//! Delivery of the leader's orders to the worker, and the handling of call results.

use crate::{
    control::state::fits,
    node::{
        NodeCore,
        calls::{Action, Announcement, CallRefusal, CallResult, WorkerCall},
        unconfirmed::LATE_ORDER_MAX_MS,
        worker::{Order, PendingOrder, PendingPoll, WorkerIncarnation},
    },
    prelude::*,
};

/// Time after a run list within which the next poll reaches the same incarnation: a worker that
/// crashes is away for longer.
const LIST_FRESH_MS: u64 = 300;

/// Pause between two polls while ends wait for the leader's acknowledgement.
const ACK_PAUSE_MS: u64 = 100;

/// Attempts of a start after which the answer `Unhealthy` ends the retries.
const UNHEALTHY_TRIES_MAX: u32 = 3;

/// Consecutive lists with unreadable rows after which these rows are ignored: two seconds beside
/// fillers, which is longer than any partially written row stays incomplete.
const INCOMPLETE_LISTS_MAX: u32 = 8;

/// Time for which connections to a worker must be refused before it counts as gone: two attempts.
const GONE_AFTER_REFUSALS_MS: u64 = 200;

impl WorkerIncarnation {
    /// Withdraws starts that are missing in a complete list of orders: the leader has given up on
    /// this worker meanwhile, and may have started the tasks elsewhere.
    pub(super) fn withdraw_starts(&mut self, now: Now, orders: &[RunOrder]) {
        let listed: std::collections::HashSet<_> = orders
            .iter()
            .filter_map(|it| match it {
                RunOrder::Start(it) => Some(it.run),
                _ => None,
            })
            .collect();
        let withdrawn: Vec<_> = self
            .orders
            .iter()
            .filter(|(run, it)| matches!(it.order, Order::Start { .. }) && !listed.contains(run))
            // The leader does not repeat the order of a run that was reported to it.
            .filter(|(run, _)| !self.lists_run(**run))
            .map(|(run, _)| *run)
            .collect();
        for run in withdrawn {
            if let Some(pending) = self.orders.get_mut(&run) {
                pending.block(RefusalCause::Superseded, now);
            }
        }
    }

    /// Drops the stops that an earlier leader ordered. Repeated with the token of the new leader,
    /// they would stop runs that it counts as at work; it orders again what still is to stop.
    pub(super) fn drop_stops(&mut self) {
        self.orders.retain(|_, it| !matches!(it.order, Order::Stop { refused: None }));
    }

    /// Gives up on starts that must not be sent again: all without an answer where the worker drains,
    /// and those that were planned for a larger capacity of the worker. These may no longer fit, and
    /// the leader plans again with the present capacity.
    fn block_outdated_starts(&mut self, now: Now) {
        let Announcement { capacity, draining, .. } = self.announcement;
        for pending in self.orders.values_mut() {
            match pending.order {
                Order::Start { planned_capacity, .. } if !fits(planned_capacity, capacity) => {
                    pending.block(RefusalCause::Room, now);
                }
                // A call under way may still be answered; if not, the start is blocked then.
                Order::Start { .. } if draining && pending.call.is_none() => {
                    pending.block(RefusalCause::Leaving, now);
                }
                _ => (),
            }
        }
    }

    /// Refuses the starts that were never sent to a worker that is gone, so that they do not count
    /// as possible causes of its crash.
    fn refuse_unsent(&mut self) {
        let is_unsent = |it: &PendingOrder| {
            matches!(it.order, Order::Start { .. }) && it.call.is_none() && !it.may_still_execute
        };
        for (run, _) in self.orders.iter().filter(|(_, it)| is_unsent(it)) {
            self.refused.insert(*run, RefusalCause::Unhealthy);
        }
    }

    /// Applies the leader's orders, which were planned for `capacity`. Idempotent: orders that are
    /// known or in progress change nothing.
    pub(super) fn apply_orders(&mut self, now: Now, orders: Vec<RunOrder>, capacity: Resources) {
        for order in orders {
            match order {
                RunOrder::Start(it) => self.apply_start(now, it, capacity),
                RunOrder::Stop(run) => self.apply_stop(now, run),
                RunOrder::Role(it) => drop(self.roles.insert(it.run, it.role)),
            }
        }
    }

    /// Schedules the next poll after one that returned no list, and logs an unexpected result.
    fn defer_poll(&mut self, now: Now, term: u64, retry_ms: u64, result: &CallResult) {
        self.next_poll_ms = now.mono_ms + retry_ms;
        match result {
            CallResult::NoAnswer | CallResult::ConnectionRefused => (),
            other => {
                tracing::warn!(event = "hold_refused", worker = %self.name, term, outcome = ?other);
            }
        }
    }

    /// Counts a list with unreadable rows. Returns whether such rows have persisted for so long
    /// that they must belong to another system; the readable rows then count as the complete list.
    fn note_unreadable_rows(&mut self, unreadable: usize) -> bool {
        self.incomplete_lists = self.incomplete_lists.saturating_add(1);
        let is_whole = INCOMPLETE_LISTS_MAX <= self.incomplete_lists;
        if self.incomplete_lists == 1 || self.incomplete_lists == INCOMPLETE_LISTS_MAX {
            tracing::warn!(event = "rows_unreadable", worker = %self.name, rows = unreadable, lists = self.incomplete_lists, is_whole);
        }
        is_whole
    }

    /// Notes by the result of a poll whether the worker may have been replaced.
    ///
    /// An answer read only after a pause of this process does not show which incarnation is there
    /// now.
    fn note_poll_result(&mut self, poll: PendingPoll, result: &CallResult, now: Now) {
        let is_fresh = self.pause_detected_ms <= poll.sent_ms
            && now.mono_ms <= poll.sent_ms + poll.wait_ms + LIST_FRESH_MS;
        match result {
            CallResult::RunList { .. } | CallResult::PartialRunList { .. } if is_fresh => {
                self.may_be_replaced = false;
                self.listed_ms = now.mono_ms;
                self.acked_cursor_received = self.acked_cursor_received.max(poll.acked_cursor);
            }
            CallResult::NoAnswer => {
                self.may_be_replaced = true;
                self.note_failed_poll(poll, false);
            }
            CallResult::ConnectionRefused => {
                self.may_be_replaced = true;
                self.note_failed_poll(poll, true);
            }
            CallResult::Refused { .. } | CallResult::Unhealthy => self.note_failed_poll(poll, true),
            _ => (),
        }
    }

    fn note_unanswered(&mut self, run: RunRef, now: Now) {
        let may_still_arrive = |noticed_ms: &u64| now.mono_ms < noticed_ms + LATE_ORDER_MAX_MS;
        self.unanswered_starts.retain(|_, it| may_still_arrive(it));
        self.unanswered_starts.insert(run, now.mono_ms);
    }

    /// Drops a pending call, so that its result is ignored and its order can be retried.
    fn forget_call(&mut self, id: u64) {
        self.poll.take_if(|it| it.call == id);
        self.speeds.note_ended(id, &CallResult::NoAnswer);
        self.orders.values_mut().filter(|it| it.call == Some(id)).for_each(|it| it.call = None);
    }

    /// Refuses the blocked runs that did not run by the list of `list_call`. Returns whether there
    /// is a new refusal to report to the leader.
    pub(super) fn settle_blocked(&mut self, list_call: u64) -> bool {
        let blocked: Vec<_> = self
            .orders
            .iter()
            .filter_map(|(run, it)| match it.order {
                Order::Blocked { cause, after_call } if after_call < list_call => {
                    Some((*run, cause))
                }
                _ => None,
            })
            .filter(|(run, _)| !self.running.iter().any(|it| it.run == *run))
            .collect();
        let mut res = false;
        for (run, cause) in blocked {
            self.orders.remove(&run);
            // A run that did start is listed with its end.
            if !self.lists_run(run) && self.refused.insert(run, cause).is_none() {
                res = true;
            }
        }
        res
    }

    fn apply_start(&mut self, now: Now, start: StartRun, planned_capacity: Resources) {
        self.roles.insert(start.run, start.role);
        let is_known = self.lists_run(start.run)
            || self.orders.contains_key(&start.run)
            || self.refused.contains_key(&start.run);
        if is_known {
            return;
        }
        let order =
            Order::Start { payload: start.payload, checkpoint: start.checkpoint, planned_capacity };
        let mut pending = PendingOrder::new(order, now);
        if self.announcement.draining {
            // A call that this process sent before a restart may still be in transit.
            pending.block(RefusalCause::Leaving, now);
        }
        self.orders.insert(start.run, pending);
    }

    fn apply_stop(&mut self, now: Now, run: RunRef) {
        let is_stopping =
            self.orders.get(&run).is_some_and(|it| !matches!(it.order, Order::Start { .. }));
        let has_ended = self.ended.values().any(|it| it.run == run);
        if is_stopping || has_ended || self.refused.contains_key(&run) {
            return;
        }
        // The worker lists no end for a run that never starts, so the run is reported as refused.
        let is_running = self.running.iter().any(|it| it.run == run);
        let refused = if is_running { None } else { Some(RefusalCause::Superseded) };
        self.orders.insert(run, PendingOrder::new(Order::Stop { refused }, now));
    }
}

impl PendingOrder {
    fn new(order: Order, now: Now) -> PendingOrder {
        PendingOrder {
            order,
            call: None,
            next_ms: now.mono_ms,
            attempts: 0,
            may_still_execute: false,
        }
    }
}

impl NodeCore {
    /// Makes the calls that are due, of the worker and of an unconfirmed one.
    pub(super) fn make_calls(&mut self, now: Now) {
        self.call_worker(now);
        if let Some(unconfirmed) = &mut self.unconfirmed
            && unconfirmed.next_call_ms().is_some_and(|it| it <= now.mono_ms)
        {
            self.next_call += 1;
            let id = self.next_call;
            let call = unconfirmed.begin_call(id, self.tokens.newest());
            self.effects.push(super::Effect::Call { id, call });
        }
    }

    fn call_worker(&mut self, now: Now) {
        if !self.worker.as_ref().is_some_and(|it| self.may_call(it)) {
            return;
        }
        let Some(worker) = &mut self.worker else { return };
        worker.block_outdated_starts(now);
        let speeds = worker.speeds_to_send(self.options.retry_ms, now);
        if speeds.iter().any(|it| worker.speeds.may_be_overwritten(it.run)) {
            // Fences the earlier calls for these runs.
            self.tokens.issue(now);
        }
        let may_lapse = worker.may_lapse_during_call(now);
        // Renewed once it has surely expired or surely has not.
        let lease = worker.lease_by_worker_ms(now).filter(|_| !may_lapse);
        let mut calls = Vec::new();
        let mut call = |action: Action, next_call: &mut u64| {
            *next_call += 1;
            calls.push((*next_call, action));
            *next_call
        };
        if worker.poll.is_none() && worker.next_poll_ms <= now.mono_ms {
            worker.may_be_replaced |= worker.listed_ms + LIST_FRESH_MS < now.mono_ms;
            let watches_tails = worker.has_fillers_beside_serving();
            let may_have_lapsed = worker.may_have_lapsed(now);
            let wait_ms = match worker.listed_term == self.term {
                false => 0,
                true if worker.may_be_replaced => 0,
                true if worker.has_failure_to_note() || may_have_lapsed => 0,
                true if watches_tails => self.options.watch_wait_ms,
                true => self.options.hold_wait_ms,
            };
            // Another incarnation has another clock, and its own ends under the same cursors.
            let (lease, acked_cursor) = match worker.may_be_replaced {
                true => (None, 0),
                false if may_lapse => (None, 0),
                // Not repeated once received, since the call may still reach another incarnation.
                false if worker.acked_cursor == worker.acked_cursor_received => (lease, 0),
                false => (lease, worker.acked_cursor),
            };
            let action = Action::Poll { lease_until_ms: lease, acked_cursor, wait_ms };
            let call = call(action, &mut self.next_call);
            let previous_lease_until_ms = worker.sent_lease_until_ms.filter(|_| may_have_lapsed);
            let (sent_ms, token) = (now.mono_ms, self.tokens.newest());
            worker.poll = Some(PendingPoll {
                call,
                token,
                sent_ms,
                wait_ms,
                acked_cursor,
                previous_lease_until_ms,
            });
            worker.sent_lease_until_ms = worker.sent_lease_until_ms.max(lease);
        }
        let may_be_replaced = worker.may_be_replaced;
        let mut sent_lease_until_ms = worker.sent_lease_until_ms;
        for (run, pending) in &mut worker.orders {
            if pending.call.is_some() || now.mono_ms < pending.next_ms {
                continue;
            }
            let action = match (&pending.order, lease) {
                (Order::Blocked { .. }, _) => continue,
                (Order::Start { .. }, _) if may_be_replaced => {
                    pending.next_ms = now.mono_ms + self.options.retry_ms;
                    continue;
                }
                (Order::Stop { .. }, _) => Action::Stop { run: *run },
                (Order::Start { payload, checkpoint, .. }, Some(lease_until_ms)) => {
                    sent_lease_until_ms = sent_lease_until_ms.max(Some(lease_until_ms));
                    Action::Start {
                        run: *run,
                        payload: payload.clone(),
                        checkpoint: checkpoint.clone(),
                        lease_until_ms,
                    }
                }
                (Order::Start { .. }, None) => {
                    // No run may start without a lease; the next grant renews it.
                    pending.next_ms = now.mono_ms + self.options.retry_ms;
                    continue;
                }
            };
            pending.attempts += 1;
            pending.call = Some(call(action, &mut self.next_call));
        }
        worker.sent_lease_until_ms = sent_lease_until_ms;
        for it in speeds {
            let action = Action::Throttle { run: it.run, speed_percent: it.percent };
            worker.speeds.note_sent(call(action, &mut self.next_call), it, now);
        }
        let (worker, token) = (worker.announcement.id.clone(), self.tokens.newest());
        for (id, action) in calls {
            let call = WorkerCall { worker: worker.clone(), token, action };
            self.effects.push(super::Effect::Call { id, call });
        }
    }

    pub(super) fn on_call_ended(&mut self, now: Now, id: u64, result: CallResult) {
        if self.unconfirmed.as_ref().is_some_and(|it| it.awaits(id)) {
            return self.on_unconfirmed_worker_answered(now, &result);
        }
        let Some(worker) = self.worker.as_mut().filter(|it| it.last_call_before < id) else {
            return;
        };
        if worker.is_from_other_incarnation(&result) {
            if !std::mem::replace(&mut worker.is_displaced, true) {
                tracing::warn!(event = "worker_displaced", worker = %worker.name, runs = worker.running.len());
            }
            // This is no answer to the worker's orders, and the listed runs are not its own.
            return worker.forget_call(id);
        }
        match &result {
            CallResult::RunList { clock_ms, .. }
            | CallResult::PartialRunList { clock_ms, .. }
            | CallResult::Done { clock_ms }
            | CallResult::Refused { clock_ms, .. } => worker.note_contact(*clock_ms, now),
            CallResult::ConnectionRefused => {
                let since_ms = *worker.missing_since_ms.get_or_insert(now.mono_ms);
                if since_ms + GONE_AFTER_REFUSALS_MS <= now.mono_ms && !worker.is_gone {
                    tracing::warn!(event = "worker_gone", worker = %worker.name, cause = "connection_refused", missing_ms = now.mono_ms - since_ms);
                    worker.is_gone = true;
                    worker.refuse_unsent();
                    self.needs_report = true;
                }
            }
            _ => (),
        }
        if let Some(poll) = worker.poll.filter(|it| it.call == id) {
            return self.on_poll_ended(now, poll, result);
        }
        if let Some(it) = worker.speeds.note_ended(id, &result) {
            if !matches!(result, CallResult::Done { .. }) {
                tracing::info!(event = "speed_unconfirmed", worker = %worker.name, run = %crate::control::dispatch::run_name(it.run), percent = it.percent, outcome = ?result);
            }
            return;
        }
        let order_run =
            worker.orders.iter().find(|(_, it)| it.call == Some(id)).map(|(run, _)| *run);
        match order_run {
            Some(run) => self.on_order_ended(now, run, result),
            // A stop has replaced the start that this call was for, or the call is a poll of an
            // earlier term.
            None => self.on_late_result(now, id, result),
        }
    }

    fn on_late_result(&mut self, now: Now, id: u64, result: CallResult) {
        let poll = self.worker.as_mut().and_then(|it| it.take_dropped_poll(id));
        let (CallResult::RunList { ended, clock_ms, .. }
        | CallResult::PartialRunList { ended, clock_ms, .. }) = result
        else {
            if let (Some(worker), Some(poll)) = (&mut self.worker, poll) {
                worker.note_failed_poll(poll, !matches!(result, CallResult::NoAnswer));
            }
            return;
        };
        if let Some(worker) = &mut self.worker {
            if let Some(poll) = poll {
                self.needs_report |= worker.update_noted_ends(poll, clock_ms, &ended, now);
            }
            // The list of running tasks may be outdated, but ends are final.
            for run in ended.into_iter().filter(|it| worker.acked_cursor < it.cursor) {
                worker.ended.insert(run.cursor, run.end);
                self.needs_report = true;
            }
            worker.next_poll_ms = worker.next_poll_ms.min(now.mono_ms);
        }
    }

    fn on_poll_ended(&mut self, now: Now, poll: PendingPoll, result: CallResult) {
        let Some(worker) = &mut self.worker else { return };
        worker.poll = None;
        worker.note_poll_result(poll, &result, now);
        let has_known_start =
            |started_unix_ms: Option<u64>| started_unix_ms == worker.announcement.started_unix_ms;
        let (clock_ms, running, ended, is_whole) = match result {
            // The list cannot be attributed to an incarnation.
            CallResult::RunList { started_unix_ms, .. }
            | CallResult::PartialRunList { started_unix_ms, .. }
                if !has_known_start(started_unix_ms) =>
            {
                tracing::warn!(event = "list_ignored", worker = %worker.name, cause = "no_start");
                worker.next_poll_ms = now.mono_ms + self.options.retry_ms;
                return;
            }
            CallResult::RunList { clock_ms, running, ended, .. } => {
                worker.incomplete_lists = 0;
                (clock_ms, running, ended, true)
            }
            CallResult::PartialRunList {
                clock_ms,
                running,
                mut ended,
                ended_after_unreadable,
                unreadable_rows,
                ..
            } => {
                let is_whole = 0 < unreadable_rows && worker.note_unreadable_rows(unreadable_rows);
                if is_whole {
                    ended.extend(ended_after_unreadable);
                }
                (clock_ms, running, ended, is_whole)
            }
            result => {
                if matches!(result, CallResult::Refused { cause: CallRefusal::Fenced, .. }) {
                    self.tokens.note_refused(poll.token);
                }
                return worker.defer_poll(now, self.term, self.options.retry_ms, &result);
            }
        };
        let was_listed = worker.listed_term == self.term;
        let is_awaited_by_leader = worker.update_noted_ends(poll, clock_ms, &ended, now);
        let ends_before = worker.ended.len();
        for run in ended.into_iter().filter(|it| worker.acked_cursor < it.cursor) {
            worker.ended.insert(run.cursor, run.end);
        }
        match is_whole {
            true => worker.apply_run_list(running, poll.call),
            false => worker.apply_partial_run_list(running),
        }
        if is_whole {
            worker.listed_term = self.term;
            self.needs_report |= worker.settle_blocked(poll.call);
        }
        let listed_runs: std::collections::HashSet<_> =
            worker.running.iter().map(|it| it.run).collect();
        worker.speeds.retain_runs(&listed_runs);
        let orders = &worker.orders;
        worker.roles.retain(|run, _| listed_runs.contains(run) || orders.contains_key(run));
        let has_new_ends = ends_before < worker.ended.len();
        // Changes of checkpoints and progress wait for the next periodic report.
        self.needs_report |= has_new_ends || !was_listed || is_awaited_by_leader;
        worker.throttle_fillers(now);
        // The worker answers at once while it has ends that are not acknowledged.
        let pause_ms = if worker.ended.is_empty() { 0 } else { ACK_PAUSE_MS };
        worker.next_poll_ms = now.mono_ms + pause_ms;
    }

    fn on_order_ended(&mut self, now: Now, run: RunRef, result: CallResult) {
        let Some(worker) = &mut self.worker else { return };
        let Some(pending) = worker.orders.get_mut(&run) else { return };
        pending.call = None;
        pending.next_ms = now.mono_ms + self.options.retry_ms;
        let is_start = matches!(pending.order, Order::Start { .. });
        match result {
            CallResult::Done { .. } if is_start => {
                let is_first_call = pending.attempts == 1;
                worker.orders.remove(&run);
                if !worker.lists_run(run) {
                    let checkpoint = CompactString::default();
                    let task = RunningTask { run, checkpoint, progress_percent: 0, load: 0 };
                    worker.running.push(task);
                    worker.started_by_call.insert(run, self.next_call);
                    worker.begin_usage(run, now);
                    if is_first_call {
                        worker.speeds.note_started(run, now);
                    }
                    worker.throttle_started_filler();
                }
            }
            CallResult::Done { .. } => {
                match pending.order {
                    Order::Stop { refused: Some(cause) } => {
                        pending.order = Order::Blocked { cause, after_call: self.next_call };
                        // The pending poll may have been answered before the stop.
                        worker.drop_poll(now);
                    }
                    _ => drop(worker.orders.remove(&run)),
                }
                worker.next_poll_ms = worker.next_poll_ms.min(now.mono_ms);
            }
            CallResult::Refused { cause: CallRefusal::Room, .. } if is_start => {
                pending.block(RefusalCause::Room, now);
            }
            CallResult::Refused { cause: CallRefusal::Superseded, .. } if is_start => {
                pending.block(RefusalCause::Superseded, now);
            }
            CallResult::Refused { cause: CallRefusal::Ticket, .. } | CallResult::Invalid(_)
                if is_start =>
            {
                tracing::warn!(event = "start_impossible", run = %crate::control::dispatch::run_name(run), outcome = ?result);
                pending.block(RefusalCause::Unhealthy, now);
            }
            CallResult::Unhealthy if is_start && UNHEALTHY_TRIES_MAX <= pending.attempts => {
                pending.block(RefusalCause::Unhealthy, now);
            }
            CallResult::NoAnswer => {
                pending.may_still_execute = true;
                if is_start {
                    worker.note_unanswered(run, now);
                }
            }
            _ => (),
        }
        self.make_calls(now);
    }
}

impl PendingOrder {
    /// Gives up on a start. The run is stopped first, so that an earlier call without an answer can
    /// never start it.
    fn block(&mut self, cause: RefusalCause, now: Now) {
        self.order = Order::Stop { refused: Some(cause) };
        self.call = None;
        self.attempts = 0;
        self.next_ms = now.mono_ms;
    }
}
