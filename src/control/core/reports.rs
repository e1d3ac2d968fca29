//! Heartbeats of agents and entries, and the leader's replies.

use std::net::SocketAddr;

use crate::{
    control::{
        core::{ControlCore, Effect, ReplyTo, heartbeat_reply, lease_with_margin_ms},
        reconcile,
    },
    prelude::*,
};

impl ControlCore {
    /// Returns commands for the events that are not proposed yet.
    pub(super) fn new_events(&mut self, events: Vec<TaskEventCommand>) -> Vec<Command> {
        let Some(leader_state) = &mut self.leader_state else { return Vec::new() };
        let is_new = |it: &TaskEventCommand| {
            leader_state.proposed_events.insert((
                it.task,
                it.incarnation,
                std::mem::discriminant(&it.event),
            ))
        };
        events.into_iter().filter(is_new).map(Command::TaskEvent).collect()
    }

    /// Returns whether this member may handle reports; if not, redirects the sender to the leader.
    fn accepts_report(&mut self, now: Now, from: SocketAddr) -> bool {
        let res = self.raft.has_lease(now) && self.leader_state.is_some();
        if !res {
            let message = Message::NotLeader(self.leader_address());
            self.effects.push(Effect::Send { to: from, message });
        }
        res
    }

    pub(super) fn on_agent_heartbeat(&mut self, now: Now, it: AgentHeartbeat) {
        if !self.accepts_report(now, it.reply_to) {
            return;
        }
        let Some(leader_state) = &mut self.leader_state else { return };
        let vm = self.state.vms.by_session(it.session);
        let agent =
            leader_state.sessions.agents.get_mut(&it.session).filter(|agent| !agent.is_closing);
        let (Some(vm), Some(agent)) = (vm, agent) else {
            let reply = heartbeat_reply(&it, 0, SessionVerdict::Ended, Vec::new());
            self.effects.push(Effect::Send {
                to: it.reply_to,
                message: Message::AgentHeartbeatReply(reply),
            });
            return;
        };
        if it.number < agent.last_number {
            // A newer heartbeat arrived first, so the list of tasks in this one is out of date.
            return;
        }
        let was_draining = std::mem::replace(&mut agent.draining, it.draining);
        agent.last_number = it.number;
        agent.has_reported = true;
        agent.reconciled = it.reconciled;
        agent.in_force = it.in_force;
        agent.usage = it.usage;
        agent.lease_expires_ms = now.mono_ms + lease_with_margin_ms(&self.options.settings);
        let is_evacuated = self.state.workflows.evacuations().contains(&vm.zone);
        leader_state.directory.set(it.session, it.reply_to, vm, is_evacuated, &it.endpoints);
        let age_ms = u64::from(it.usage.age_ms);
        let mut events =
            leader_state.scheduler.note_endpoints(&self.state, vm, &it.endpoints, age_ms, now);
        let mut reconciled = reconcile::reconcile(&self.state, vm, &it.tasks, it.reconciled);
        events.append(&mut reconciled.events);
        for report in &it.tasks {
            if let Some(permille) = leader_state.scheduler.throttle_permille(report.task) {
                let action = TaskAction::Throttle(permille);
                reconciled.orders.push(TaskOrder {
                    task: report.task,
                    incarnation: report.incarnation,
                    action,
                });
            }
        }
        if it.draining && !was_draining {
            tracing::info!(event = "agent_draining", vm = %vm.name);
        }
        let lease_ms = self.options.settings.lease_ms;
        let mut reply = heartbeat_reply(&it, lease_ms, SessionVerdict::Renewed, reconciled.orders);
        reply.configuration = self.newer_configuration(it.in_force);
        self.effects
            .push(Effect::Send { to: it.reply_to, message: Message::AgentHeartbeatReply(reply) });
        for command in self.new_events(events) {
            self.propose(now, command, ReplyTo::NoReply);
        }
    }

    pub(super) fn on_entry_heartbeat(&mut self, now: Now, it: &EntryHeartbeat) {
        if !self.accepts_report(now, it.reply_to) {
            return;
        }
        let Some(leader_state) = &mut self.leader_state else { return };
        leader_state.sessions.note_entry(now, it);
        // A new leader knows no endpoints yet; an empty directory would make entries drop theirs.
        let has_waited_lease =
            leader_state.since_ms + u64::from(self.options.settings.lease_ms) <= now.mono_ms;
        let directory = match leader_state.sessions.all_reported() || has_waited_lease {
            true => leader_state.directory.update_since(it.directory_epoch, it.directory_version),
            false => None,
        };
        let configuration = self.newer_configuration(it.in_force);
        let reply = EntryHeartbeatReply { boot: it.boot, directory, configuration };
        let message = Message::EntryHeartbeatReply(reply);
        self.effects.push(Effect::Send { to: it.reply_to, message });
    }

    /// Returns the configuration if it is newer than revision `in_force` of the receiver.
    pub(super) fn newer_configuration(&self, in_force: Revision) -> Option<Configuration> {
        let is_behind = in_force < self.state.configuration.revision;
        is_behind.then(|| self.state.configuration.clone())
    }
}
