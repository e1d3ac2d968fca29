//! Workflow requests, node reports and workflow commands, passed to the dispatcher while leading.

use std::net::SocketAddr;

use crate::{
    control::{
        core::{
            ControlCore, Effect, event_logging,
            intake::{IntakeCounts, TurnedAway, WaitingCall},
            submission_memory::{self, SubmissionSize},
            unknown_cancels::{self, WaitingCancel},
        },
        dispatch::{Dispatcher, RequestDecision, record_tombstones},
        state::Change,
    },
    policy::{overload::WorkClass, verdict::CallId},
    prelude::*,
};

/// Destination of the answer to a workflow request.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallReplyTo {
    pub address: SocketAddr,
    pub id: u64,
}

impl ControlCore {
    /// Returns the addresses of all voters and learners.
    pub(super) fn member_addresses(&self) -> Vec<SocketAddr> {
        let members = self.raft.members();
        members.voters.iter().chain(&members.learners).map(|it| it.address).collect()
    }

    /// Handles a request whose client waits for `remaining_ms`: at once, or in its turn while
    /// overload control is on.
    pub(super) fn on_workflow_call(&mut self, now: Now, it: WorkflowCall, remaining_ms: u64) {
        let to = CallReplyTo { address: it.reply_to, id: it.id };
        if !self.raft.has_lease(now) || self.leader_state.is_none() {
            return self.answer_call(to, WorkflowOutcome::NotLeader(self.leader_address()));
        }
        let cancels = Dispatcher::cancelled_id(&self.state.workflows, &it.request);
        if let Some(submission) = cancels.and_then(|id| self.intake.withdraw(now, id)) {
            self.turn_away(submission);
        }
        if let Some(id) = cancels.filter(|id| self.state.workflows.get(*id).is_none()) {
            let deadline_ms = now.mono_ms.saturating_add(remaining_ms);
            return self.on_unknown_cancel(now, WaitingCancel { to, id, deadline_ms });
        }
        if !self.has_overload_control() || WorkClass::of(&it.request) == WorkClass::Lease {
            return self.work_on_call(now, vec![to], it.request);
        }
        let submits = Dispatcher::submitted_id(&self.state.workflows, &it.request);
        if let Some(id) = submits {
            if self.state.workflows.get(id).is_some() {
                return self.work_on_call(now, vec![to], it.request);
            }
            if self.join_submission(now, id, to, remaining_ms) {
                return;
            }
        }
        let call = WaitingCall::new(to, it.request, submits, now, remaining_ms);
        if !self.has_room_to_wait(now, call.bytes) {
            return self.answer_call(to, WorkflowOutcome::Busy(submission_memory::RETRY_AFTER_MS));
        }
        if let Some(it) = self.intake.push(now, call) {
            self.turn_away(it);
        }
    }

    /// Answers a further copy of a submission that is under way together with the first one.
    /// Returns whether there is one.
    fn join_submission(
        &mut self,
        now: Now,
        id: WorkflowId,
        to: CallReplyTo,
        remaining_ms: u64,
    ) -> bool {
        let index = self.intake.index_under_way(id);
        match index.and_then(|it| self.pending_calls.get_mut(&it)) {
            Some((_, list)) => {
                list.push(to);
                true
            }
            None => self.intake.join(now, id, to, remaining_ms),
        }
    }

    fn turn_away(&mut self, it: TurnedAway) {
        for to in it.to {
            self.answer_call(to, WorkflowOutcome::Busy(it.retry_after_ms));
        }
    }

    fn has_overload_control(&self) -> bool {
        self.options.dispatch.is_some_and(|it| it.features.overload_control)
    }

    /// Returns the numbers of requests that were turned away by overload control.
    pub fn intake_counts(&self) -> IntakeCounts {
        self.intake.counts()
    }

    /// Returns the number of submissions that found no memory.
    pub fn submissions_without_memory(&self) -> u64 {
        self.submission_memory.refused_count()
    }

    /// Handles the cancel of a workflow that is not known. Its submission may still arrive, or be
    /// proposed: the ledger orders the two.
    fn on_unknown_cancel(&mut self, now: Now, cancel: WaitingCancel) {
        if self.unknown_cancels.push(cancel) {
            return self.record_cancels(now);
        }
        self.refuse_cancels(now, vec![cancel]);
    }

    /// Proposes the cancels of unknown workflows that are due.
    fn record_cancels(&mut self, now: Now) {
        // A group without the dispatch role runs no workflows.
        let Some(dispatch) = &self.options.dispatch else { return };
        let stored = self.state.workflows.tombstones().len();
        let mut batch = self.unknown_cancels.take_batch(now, dispatch.tombstones, stored);
        if self.disk_full || self.disk_writes_refused {
            batch.refused.append(&mut batch.cancels);
        }
        if !batch.refused.is_empty() {
            self.refuse_cancels(now, batch.refused);
        }
        if !batch.cancels.is_empty() {
            let (ids, to) = batch.cancels.iter().map(|it| (it.id, it.to)).unzip();
            self.propose_workflow(now, record_tombstones(ids), to);
        }
    }

    fn refuse_cancels(&mut self, now: Now, cancels: Vec<WaitingCancel>) {
        let stored = self.state.workflows.tombstones().len();
        self.unknown_cancels.note_refused(now, cancels.len(), stored);
        let busy = WorkflowOutcome::Busy(unknown_cancels::RETRY_AFTER_MS);
        self.answer_calls(cancels.into_iter().map(|it| it.to).collect(), &busy);
    }

    /// Returns the number of cancels of unknown workflows that were refused.
    pub fn refused_cancels(&self) -> u64 {
        self.unknown_cancels.refused_count()
    }

    /// Works on the requests whose turn it is.
    pub(super) fn work_on_calls(&mut self, now: Now) {
        if !self.raft.has_lease(now) || self.leader_state.is_none() {
            let cancels = self.unknown_cancels.take_all();
            let not_leader = WorkflowOutcome::NotLeader(self.leader_address());
            self.answer_calls(cancels.into_iter().map(|it| it.to).collect(), &not_leader);
            for it in self.intake.take_all() {
                self.answer_calls(it.to, &WorkflowOutcome::NotLeader(self.leader_address()));
            }
            return;
        }
        self.record_cancels(now);
        let turn = self.intake.take_turn(now, self.pending_calls.len());
        turn.turned_away.into_iter().for_each(|it| self.turn_away(it));
        for it in turn.calls {
            self.work_on_call(now, it.to, it.request);
        }
    }

    fn work_on_call(&mut self, now: Now, to: Vec<CallReplyTo>, request: WorkflowRequest) {
        let dispatcher = self.leader_state.as_mut().and_then(|it| it.dispatcher.as_mut());
        // A group without the dispatch role runs no workflows.
        let Some(dispatcher) = dispatcher else {
            return self.answer_calls(to, &WorkflowOutcome::NoConfig);
        };
        let calls: Vec<_> = to.iter().map(|it| CallId { gateway: it.address, id: it.id }).collect();
        match dispatcher.decide_request(&self.state.workflows, request, &calls, now) {
            RequestDecision::Answer(outcome) => self.answer_calls(to, &outcome),
            RequestDecision::Propose(_) if self.disk_full || self.disk_writes_refused => {
                tracing::warn!(event = "proposal_refused", cause = "disk_full", calls = to.len());
                self.answer_calls(to, &WorkflowOutcome::Busy(DISK_FULL_RETRY_MS));
            }
            RequestDecision::Propose(command) if !self.has_room_for(now, &command) => {
                self.answer_calls(to, &WorkflowOutcome::Busy(submission_memory::RETRY_AFTER_MS));
            }
            RequestDecision::Propose(command) => self.propose_workflow(now, command, to),
        }
    }

    /// Returns whether there is memory for a submission that is to wait for its turn.
    fn has_room_to_wait(&mut self, now: Now, bytes: usize) -> bool {
        let Some(dispatch) = &self.options.dispatch else { return true };
        let waiting_bytes = self.intake.submission_bytes();
        let res = self.submission_memory.has_room_to_wait(dispatch.memory, waiting_bytes, bytes);
        if !res {
            self.submission_memory.note_refused(now, "dispatch.calls_max_bytes", 0);
        }
        res
    }

    /// Returns whether there is memory for what a command submits, until it is stored and then.
    fn has_room_for(&mut self, now: Now, command: &WorkflowCommand) -> bool {
        let Some(dispatch) = &self.options.dispatch else { return true };
        let Some(size) = SubmissionSize::of(command) else { return true };
        let memory = &mut self.submission_memory;
        let stored_bytes = self.state.workflows.memory_bytes();
        if !memory.has_room_to_wait(dispatch.memory, 0, size.spec_bytes) {
            memory.note_refused(now, "dispatch.calls_max_bytes", stored_bytes);
            return false;
        }
        if !memory.has_room_to_store(dispatch.memory, stored_bytes, size) {
            memory.note_refused(now, "dispatch.workflows_max_bytes", stored_bytes);
            return false;
        }
        true
    }

    pub(super) fn on_node_report(&mut self, now: Now, it: NodeReport) {
        if !self.raft.has_lease(now) || self.leader_state.is_none() {
            let message = Message::NotLeader(self.leader_address());
            self.effects.push(Effect::Send { to: it.node, message });
            return;
        }
        let members = self.member_addresses();
        if let Some(leader_state) = &mut self.leader_state
            && let Some(dispatcher) = &mut leader_state.dispatcher
        {
            dispatcher.on_report(&self.state.workflows, it, &members, now);
        }
    }

    /// Applies a workflow command, and answers the request that waits for it.
    pub(super) fn apply_workflow(
        &mut self,
        now: Now,
        entry: &LogEntry,
        command: &WorkflowCommand,
    ) -> WorkflowOutcome {
        // Only the leader logs, so that each event is logged once per group.
        let is_logged = self.leader_state.is_some();
        let expected =
            if is_logged { event_logging::expected_ends(&self.state, command) } else { Vec::new() };
        let outcome = self.state.apply_workflow(entry.index, entry.time_ms, command);
        if is_logged {
            event_logging::log_applied(&self.state, command, entry, &outcome, &expected);
        }
        let members = self.member_addresses();
        if let Some(leader_state) = &mut self.leader_state
            && let Some(dispatcher) = &mut leader_state.dispatcher
        {
            dispatcher.note_applied(&self.state.workflows, command, &members, now);
        }
        if let (WorkflowCommand::Evacuate(it), Some(leader_state)) =
            (command, &mut self.leader_state)
        {
            let in_zone = self.state.vms.iter().filter(|vm| vm.zone == it.zone);
            in_zone
                .for_each(|vm| leader_state.scheduler.note_change(&self.state, Change::Vm(vm.id)));
        }
        if let Some((term, to)) = self.pending_calls.remove(&entry.index) {
            let answer = match term == entry.term {
                true => outcome.clone(),
                false => WorkflowOutcome::NotLeader(self.leader_address()),
            };
            self.answer_calls(to, &answer);
        }
        self.intake.note_applied(entry.index);
        self.submission_memory.note_applied(entry.index);
        self.unknown_cancels.note_applied(entry.index);
        outcome
    }

    /// Runs the dispatcher, sends its messages and proposes its commands.
    pub(super) fn run_dispatcher(&mut self, now: Now) {
        if !self.raft.has_lease(now) {
            return;
        }
        let members = self.member_addresses();
        let Some(leader_state) = &mut self.leader_state else { return };
        let Some(dispatcher) = &mut leader_state.dispatcher else { return };
        if dispatcher.next_tick_ms() <= now.mono_ms {
            dispatcher.tick(&self.state.workflows, now);
        }
        let output = dispatcher.finish_turn(&self.state.workflows, &members, now);
        for (to, message) in output.messages {
            self.effects.push(Effect::Send { to, message });
        }
        for command in output.commands {
            self.propose_workflow(now, command, Vec::new());
        }
        self.raft.flush(now);
    }

    /// Answers all waiting requests with `Interrupted`, since this member no longer leads. A new
    /// leader may still commit the requested changes.
    pub(super) fn abandon_calls(&mut self) {
        self.intake.forget_proposed();
        self.submission_memory.forget_proposed();
        self.unknown_cancels.forget_proposed();
        for (_, to) in std::mem::take(&mut self.pending_calls).into_values() {
            self.answer_calls(to, &WorkflowOutcome::Interrupted);
        }
    }

    /// Proposes a command, whose outcome is sent to all of `to`.
    fn propose_workflow(&mut self, now: Now, command: WorkflowCommand, to: Vec<CallReplyTo>) {
        let is_begin = matches!(command, WorkflowCommand::Begin(_));
        let submits = match &command {
            WorkflowCommand::SubmitFrom(it) if !to.is_empty() => Some(it.workflow.id),
            _ => None,
        };
        let size = SubmissionSize::of(&command);
        let cancel_count = match &command {
            WorkflowCommand::RecordTombstones(it) => it.ids.len(),
            _ => 0,
        };
        match self.raft.propose(now, EntryBody::Command(Command::Workflow(command))) {
            Ok(index) => {
                if let Some(it) = size {
                    self.submission_memory.note_proposed(index, it);
                }
                if 0 < cancel_count {
                    self.unknown_cancels.note_proposed(index, cancel_count);
                }
                if let Some(id) = submits.filter(|_| self.has_overload_control()) {
                    self.intake.note_proposed(index, id);
                }
                if !to.is_empty() {
                    self.pending_calls.insert(index, (self.raft.term(), to));
                }
            }
            Err(error) => {
                tracing::info!(event = "proposal_refused", calls = to.len(), cause = ?error);
                self.answer_calls(to, &WorkflowOutcome::NotLeader(self.leader_address()));
                if let Some(leader_state) = &mut self.leader_state
                    && let Some(dispatcher) = leader_state.dispatcher.as_mut().filter(|_| is_begin)
                {
                    dispatcher.note_begin_rejected();
                }
            }
        }
    }

    fn answer_calls(&mut self, to: Vec<CallReplyTo>, outcome: &WorkflowOutcome) {
        for it in to {
            self.answer_call(it, outcome.clone());
        }
    }

    fn answer_call(&mut self, to: CallReplyTo, outcome: WorkflowOutcome) {
        let answer = WorkflowAnswer { id: to.id, members: self.member_addresses(), outcome };
        self.effects
            .push(Effect::Send { to: to.address, message: Message::WorkflowAnswer(answer) });
    }
}

/// Time after which a client may retry a request refused because the disk is full.
const DISK_FULL_RETRY_MS: u64 = 2_000;
