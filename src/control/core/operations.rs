//! Operations requested by clients.

use std::net::SocketAddr;

use crate::{
    control::{
        core::{ControlCore, Effect, PROPOSALS_MAX, ReplyTo, WATCH_READ_MAX},
        log::ProposeError,
        state::{ReplyResult, ValidationError},
        views,
    },
    prelude::*,
};

impl ControlCore {
    pub(super) fn leader_address(&self) -> Option<SocketAddr> {
        self.raft
            .leader()
            .filter(|it| *it != self.raft.id())
            .and_then(|it| self.raft.address_of(it))
    }

    pub(super) fn handle_operation(
        &mut self,
        now: Now,
        operation: Operation,
        to: ReplyTo,
        deadline_ms: u64,
    ) {
        let has_lease = self.raft.has_lease(now);
        match (to, operation) {
            (ReplyTo::Local { token }, operation) if !has_lease => {
                self.client.set_leader(self.leader_address());
                self.client.call(now, operation, deadline_ms, token);
            }
            (ReplyTo::Link { address, id }, _) if !has_lease => {
                let result = ControlResult::NotLeader(self.leader_address());
                self.send_reply(address, id, result);
            }
            (_, Operation::Propose(it)) => self.propose_for_client(now, it, to),
            (_, Operation::Query(it)) => {
                let outcome = self.query(now, &it);
                self.answer(to, outcome);
            }
            (_, Operation::Membership(it)) => match self.raft.change_members(now, it) {
                Ok(index) => {
                    self.pending_replies.insert(index, (self.raft.term(), to));
                }
                Err(error) => self.answer_propose_error(to, error),
            },
            (_, Operation::Evacuate(it)) => self.evacuate(now, it, to),
            (_, Operation::Drain(it)) => match self.state.vms.by_name(&it.vm_name) {
                Some(vm) => {
                    let flags = VmFlagsCommand {
                        vm: vm.id,
                        draining: it.draining,
                        quarantined: vm.quarantined,
                    };
                    self.propose(now, Command::VmFlags(flags), to);
                }
                None => {
                    let detail = format_compact!("no VM is named {}", it.vm_name);
                    self.answer(to, Err(refusal(ErrorKind::NotFound, detail)));
                }
            },
        }
    }

    /// Proposes to evacuate an availability zone or take it back into use, based on the revision
    /// that the operator read; without one, on the current revision.
    fn evacuate(&mut self, now: Now, it: EvacuateRequest, to: ReplyTo) {
        let evacuations = self.state.workflows.evacuations();
        if let Err(ValidationError(why)) = evacuations.check(&it) {
            return self.answer(to, Err(refusal(ErrorKind::BadRequest, why)));
        }
        let change = EvacuateZone {
            zone: it.zone,
            evacuated: it.evacuated,
            by: it.by,
            based_on: it.based_on.unwrap_or(evacuations.revision),
        };
        self.propose_for_client(now, Command::Workflow(WorkflowCommand::Evacuate(change)), to);
    }

    /// Proposes a command, or answers with a refusal if a limit of the settings is reached.
    pub(super) fn propose_for_client(&mut self, now: Now, mut command: Command, to: ReplyTo) {
        if let Command::CreateWatch(it) = &mut command {
            it.events_max = self.options.settings.watch_events_max;
        }
        match self.check_limits(&command) {
            Ok(()) => self.propose(now, command, to),
            Err(it) => self.answer(to, Err(it)),
        }
    }

    pub(super) fn check_limits(&self, command: &Command) -> Result<(), Refusal> {
        let settings = &self.options.settings;
        let table_full = |table: &str, limit: u32| {
            Err(refusal_with_retry_after(
                ErrorKind::TableFull,
                format_compact!("{table} are at their most, {limit}"),
                5_000,
            ))
        };
        let frees_space =
            matches!(command, Command::Cancel(_) | Command::Settle(_) | Command::DeleteWatch(_));
        if (self.disk_full || self.disk_writes_refused) && !frees_space {
            return Err(refusal_with_retry_after(
                ErrorKind::DiskFull,
                "control's disk has too little free space",
                10_000,
            ));
        }
        if PROPOSALS_MAX <= self.pending_replies.len() {
            return table_full("proposals under way", PROPOSALS_MAX as u32);
        }
        let state = &self.state;
        match command {
            Command::Submit(_) if settings.jobs_max as usize <= state.jobs.len() => {
                table_full("jobs", settings.jobs_max)
            }
            Command::Submit(it)
                if (settings.tasks_max as usize)
                    < state.jobs.task_count() + it.spec.tasks as usize =>
            {
                table_full("tasks", settings.tasks_max)
            }
            Command::Claim(it)
                if settings.claims_max as usize <= state.claims.len()
                    && state.claims.get(&it.team, &it.key).is_none() =>
            {
                table_full("claims", settings.claims_max)
            }
            Command::CreateWatch(_) if settings.watches_max as usize <= state.watches.len() => {
                table_full("watches", settings.watches_max)
            }
            Command::Publish(_)
                if settings.claims_max as usize <= state.watches.published_key_count() =>
            {
                table_full("keys of published events", settings.claims_max)
            }
            Command::OpenSession(it)
                if settings.vms_max as usize <= state.vms.len()
                    && state.vms.by_name(&it.vm_name).is_none() =>
            {
                table_full("VMs", settings.vms_max)
            }
            _ => Ok(()),
        }
    }

    pub(super) fn propose(&mut self, now: Now, command: Command, to: ReplyTo) {
        match self.raft.propose(now, EntryBody::Command(command)) {
            Ok(index) => {
                self.pending_replies.insert(index, (self.raft.term(), to));
            }
            Err(error) => self.answer_propose_error(to, error),
        }
    }

    pub(super) fn answer_propose_error(&mut self, to: ReplyTo, error: ProposeError) {
        let outcome = match error {
            ProposeError::MembershipBusy => Err(refusal_with_retry_after(
                ErrorKind::MembershipUnsafe,
                "another change of membership is under way",
                1_000,
            )),
            ProposeError::MembershipUnsafe(why) => Err(refusal(ErrorKind::MembershipUnsafe, why)),
            ProposeError::NotLeader | ProposeError::HandingOver => {
                return self.answer_not_leader(to);
            }
        };
        self.answer(to, outcome);
    }

    pub(super) fn answer_not_leader(&mut self, to: ReplyTo) {
        match to {
            ReplyTo::Link { address, id } => {
                let result = ControlResult::NotLeader(self.leader_address());
                self.send_reply(address, id, result);
            }
            ReplyTo::Local { .. } => {
                let detail = "the leader changed meanwhile: ask again with the same key";
                self.answer(
                    to,
                    Err(refusal_with_retry_after(ErrorKind::ControlUnavailable, detail, 500)),
                );
            }
            ReplyTo::NoReply => (),
        }
    }

    pub(super) fn answer(&mut self, to: ReplyTo, outcome: ReplyResult) {
        match to {
            ReplyTo::Local { token } => self.effects.push(Effect::Answer { token, outcome }),
            ReplyTo::Link { address, id } => {
                let result = match outcome {
                    Ok(it) => ControlResult::Ok(it),
                    Err(it) => ControlResult::Refused(it),
                };
                self.send_reply(address, id, result);
            }
            ReplyTo::NoReply => (),
        }
    }

    pub(super) fn send_reply(&mut self, to: SocketAddr, id: u64, result: ControlResult) {
        let message = Message::ControlReply(ControlReply { id, result });
        self.effects.push(Effect::Send { to, message });
    }

    pub(super) fn query(&self, now: Now, query: &Query) -> ReplyResult {
        match query {
            Query::Job(it) => views::job(&self.state, it),
            Query::JobResult(it) => views::job_result(&self.state, it),
            Query::Watch(it) => views::watch(&self.state, it, WATCH_READ_MAX),
            Query::Claim(it) => match self.state.claims.get(&it.team, &it.key) {
                Some(claim) => Ok(Reply::Claim(claim.clone())),
                None => Err(refusal(
                    ErrorKind::NotFound,
                    format_compact!("key {} is not claimed", it.key),
                )),
            },
            Query::View(it) => views::view(self, *it, now),
        }
    }
}
