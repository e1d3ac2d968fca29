//! Workflow requests, node reports and workflow commands, passed to the dispatcher while leading.

use std::net::SocketAddr;

use crate::{
    control::{
        core::{ControlCore, Effect, event_logging},
        dispatch::RequestDecision,
        state::Change,
    },
    policy::verdict::CallId,
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

    pub(super) fn on_workflow_call(&mut self, now: Now, it: WorkflowCall) {
        let to = CallReplyTo { address: it.reply_to, id: it.id };
        if !self.raft.has_lease(now) || self.leader_state.is_none() {
            return self.answer_call(to, WorkflowOutcome::NotLeader(self.leader_address()));
        }
        let dispatcher = self.leader_state.as_mut().and_then(|it| it.dispatcher.as_mut());
        // A group without the dispatch role runs no workflows.
        let Some(dispatcher) = dispatcher else {
            return self.answer_call(to, WorkflowOutcome::NoConfig);
        };
        let call = CallId { gateway: it.reply_to, id: it.id };
        match dispatcher.decide_request(&self.state.workflows, it.request, call, now) {
            RequestDecision::Answer(outcome) => self.answer_call(to, outcome),
            RequestDecision::Propose(_) if self.disk_full || self.disk_writes_refused => {
                tracing::warn!(event = "proposal_refused", cause = "disk_full", call = to.id);
                self.answer_call(to, WorkflowOutcome::Busy(DISK_FULL_RETRY_MS));
            }
            RequestDecision::Propose(command) => self.propose_workflow(now, command, Some(to)),
        }
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
            self.answer_call(to, answer);
        }
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
            self.propose_workflow(now, command, None);
        }
        self.raft.flush(now);
    }

    /// Answers all waiting requests with `Interrupted`, since this member no longer leads. A new
    /// leader may still commit the requested changes.
    pub(super) fn abandon_calls(&mut self) {
        for (_, to) in std::mem::take(&mut self.pending_calls).into_values() {
            self.answer_call(to, WorkflowOutcome::Interrupted);
        }
    }

    fn propose_workflow(&mut self, now: Now, command: WorkflowCommand, to: Option<CallReplyTo>) {
        let is_begin = matches!(command, WorkflowCommand::Begin(_));
        match (self.raft.propose(now, EntryBody::Command(Command::Workflow(command))), to) {
            (Ok(index), Some(to)) => {
                self.pending_calls.insert(index, (self.raft.term(), to));
            }
            (Ok(_), None) => (),
            (Err(error), Some(to)) => {
                tracing::info!(event = "proposal_refused", call = to.id, cause = ?error);
                self.answer_call(to, WorkflowOutcome::NotLeader(self.leader_address()));
            }
            (Err(error), None) => {
                tracing::info!(event = "proposal_refused", cause = ?error);
                if let Some(leader_state) = &mut self.leader_state
                    && let Some(dispatcher) = leader_state.dispatcher.as_mut().filter(|_| is_begin)
                {
                    dispatcher.note_begin_rejected();
                }
            }
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
