//! The lease of the VM's session, and the tasks that run under it.

use crate::{
    agent::{
        core::{AgentCore, Effect, Lease, OPEN_SESSION_TIMEOUT_MS, UNANSWERED_HEARTBEATS_MAX},
        tasks::{StartRejection, WorkerCall, WorkerResult},
    },
    control::state::ReplyResult,
    prelude::*,
};

impl AgentCore {
    pub(super) fn open_session(&mut self, now: Now) {
        self.is_opening = true;
        self.open_attempts += 1;
        let settings = &self.options.settings;
        let command = OpenSessionCommand {
            vm_name: settings.vm.clone(),
            // Each attempt has its own boot number, as an ended session must never be resumed.
            boot: self.options.boot.wrapping_add(self.open_attempts),
            zone: self.options.zone.clone(),
            rack: self.options.rack.clone(),
            address: self.options.address,
            capacity: self.capacity(),
        };
        let operation = Operation::Propose(Command::OpenSession(command));
        self.client.call(now, operation, now.mono_ms + OPEN_SESSION_TIMEOUT_MS, ());
    }

    pub(super) fn on_opened(&mut self, now: Now, outcome: ReplyResult) {
        self.is_opening = false;
        match outcome {
            Ok(Reply::SessionOpened(opened)) => {
                tracing::info!(
                    event = "session_opened",
                    session = opened.session.0,
                    vm = opened.vm.0
                );
                self.own_sessions.insert(opened.session);
                // The session has no lease yet; the first heartbeat requests one.
                self.lease = Some(Lease {
                    session: opened.session,
                    until_ms: 0,
                    reconciled: false,
                    answered_heartbeat: 0,
                });
                self.next_heartbeat_ms = now.mono_ms;
            }
            Ok(_) => (),
            Err(refusal) => {
                tracing::warn!(event = "session_refused", kind = %refusal.kind, detail = %refusal.detail);
                let pause_ms =
                    refusal.retry_after_ms.max(self.options.settings.heartbeat_ms.into());
                self.next_open_ms = now.mono_ms + pause_ms;
            }
        }
    }

    pub(super) fn heartbeat(&mut self, now: Now) {
        let interval_ms = u64::from(self.options.settings.heartbeat_ms);
        self.next_heartbeat_ms = now.mono_ms + interval_ms;
        let Some(lease) = self.lease else { return };
        if lease.answered_heartbeat + UNANSWERED_HEARTBEATS_MAX < self.heartbeat_number {
            self.client.try_next();
        }
        let Some(to) = self.client.target() else { return };
        self.heartbeat_number += 1;
        let draining = self.is_draining;
        let endpoints = self.endpoints.iter_mut().map(|it| EndpointReport {
            number: it.number,
            class: it.announcement.class.clone(),
            slots: it.announcement.slots.min(it.announcement.connections),
            leaving: it.leaving || draining,
            answer_p99_ms: it.take_p99_ms(),
        });
        let heartbeat = AgentHeartbeat {
            session: lease.session,
            number: self.heartbeat_number,
            sent_ms: now.mono_ms,
            reply_to: self.options.address,
            in_force: self.configuration.revision(),
            reconciled: lease.reconciled,
            draining,
            endpoints: endpoints.collect(),
            tasks: self.tasks.reports(),
            usage: self.tasks.usage.unwrap_or(Usage {
                cpu_millicores: 0,
                memory_mib: 0,
                age_ms: 0,
            }),
        };
        self.send(to, Message::AgentHeartbeat(heartbeat));
    }

    pub(super) fn on_heartbeat_reply(&mut self, now: Now, reply: AgentHeartbeatReply) {
        let Some(lease) = self.lease.as_mut().filter(|it| it.session == reply.session) else {
            return;
        };
        lease.answered_heartbeat = lease.answered_heartbeat.max(reply.number);
        if reply.verdict == SessionVerdict::Ended {
            tracing::warn!(event = "session_ended", session = reply.session.0);
            self.stop_tasks();
            self.lease = None;
            return;
        }
        if let Some(configuration) = reply.configuration.clone() {
            self.configuration.adopt(configuration);
        }
        // Counted from when the renewal request was sent. Control counts from a later time, so the
        // lease expires here first.
        let until_ms = (reply.sent_ms + u64::from(reply.lease_ms)).max(lease.until_ms);
        if lease.until_ms < until_ms {
            lease.until_ms = until_ms;
            let call = WorkerCall::Lease { session: reply.session, until_boottime_ms: until_ms };
            self.effects.push(Effect::Worker(call));
        }
        self.on_orders(now, reply);
    }

    pub(super) fn on_orders(&mut self, now: Now, reply: AgentHeartbeatReply) {
        let Some(lease) = self.lease else { return };
        let is_outdated = reply.number < lease.answered_heartbeat;
        if lease.session != reply.session || is_outdated || lease.until_ms <= now.mono_ms {
            self.metrics.orders_ignored.inc_by(reply.orders.len() as u64);
            return;
        }
        for order in reply.orders {
            self.apply_order(lease, order);
        }
    }

    pub(super) fn apply_order(&mut self, lease: Lease, order: TaskOrder) {
        let TaskOrder { task, incarnation, action } = order;
        let session = lease.session;
        let call = match action {
            TaskAction::Start(start) => {
                let capacity = self.capacity();
                let result = match lease.reconciled {
                    true => self.tasks.try_start(task, incarnation, &start, capacity),
                    false => Err(StartRejection::OlderRuns),
                };
                if let Err(rejection) = result {
                    if rejection != StartRejection::AlreadyKnown {
                        self.metrics.orders_ignored.inc();
                        tracing::warn!(event = "start_not_followed", task = task.0, incarnation, why = ?rejection);
                    }
                    return;
                }
                self.metrics.tasks_started.inc();
                WorkerCall::Start { session, task, incarnation, start: Box::new(start) }
            }
            TaskAction::Checkpoint => WorkerCall::Checkpoint { session, task, incarnation },
            TaskAction::Stop => WorkerCall::Stop { session, task, incarnation },
            TaskAction::Throttle(permille) => {
                if !self.tasks.note_throttle(task, incarnation, permille) {
                    return;
                }
                WorkerCall::Throttle { session, task, incarnation, permille }
            }
            TaskAction::Forget => {
                self.tasks.forget(task, incarnation);
                WorkerCall::Forget { session, task, incarnation }
            }
        };
        self.effects.push(Effect::Worker(call));
    }

    pub(super) fn valid_session(&self, now: Now) -> Option<SessionId> {
        self.lease.filter(|it| now.mono_ms < it.until_ms).map(|it| it.session)
    }

    /// Stops all tasks once the lease has expired, as control may then place them on other VMs.
    pub(super) fn handle_lease_expiry(&mut self, now: Now) {
        let Some(lease) = &mut self.lease else { return };
        if lease.until_ms == 0 || now.mono_ms < lease.until_ms {
            return;
        }
        tracing::warn!(
            event = "lease_lost",
            session = lease.session.0,
            late_ms = now.mono_ms - lease.until_ms
        );
        lease.until_ms = 0;
        self.metrics.leases_lost.inc();
        self.stop_tasks();
    }

    pub(super) fn stop_tasks(&mut self) {
        let Some(session) = self.lease.map(|it| it.session) else { return };
        let task_incarnations: Vec<_> =
            self.tasks.running().map(|it| (it.task, it.incarnation)).collect();
        for (task, incarnation) in task_incarnations {
            self.effects.push(Effect::Worker(WorkerCall::Stop { session, task, incarnation }));
        }
    }

    pub(super) fn on_worker(&mut self, now: Now, call: WorkerCall, result: WorkerResult) {
        match (call, result) {
            (WorkerCall::List, WorkerResult::Report(report)) => {
                self.is_listing = false;
                if let Some(lease) = &mut self.lease
                    && lease.session == report.session
                    && !lease.reconciled
                {
                    // The worker now refuses calls of older sessions, so no task of these can start
                    // after this list.
                    lease.reconciled = true;
                    self.next_heartbeat_ms = now.mono_ms;
                }
                if self.tasks.note_report(report) {
                    self.next_heartbeat_ms = now.mono_ms;
                }
            }
            (WorkerCall::List, _) => self.is_listing = false,
            (WorkerCall::Lease { .. }, _) => self.next_list_ms = now.mono_ms,
            (WorkerCall::Start { task, incarnation, .. }, result) => {
                self.tasks.note_start_result(task, incarnation, &result);
                self.next_heartbeat_ms = now.mono_ms;
            }
            (WorkerCall::Stop { .. } | WorkerCall::Checkpoint { .. }, _) => {
                self.next_list_ms = now.mono_ms
            }
            (WorkerCall::Throttle { .. } | WorkerCall::Forget { .. }, _) => (),
        }
    }
}
