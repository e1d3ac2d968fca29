//! The VM's lease, and the tasks that run under it.

use crate::{
    agent::{
        core::{AgentCore, Effect, Lease, OPEN_MAX_MS, SILENT_HEARTBEATS},
        tasks::{StartRejection, WorkerCall, WorkerResult},
    },
    control::state::ReplyResult,
    prelude::*,
};

impl AgentCore {
    pub(super) fn open_session(&mut self, now: Now) {
        self.opening = true;
        self.openings += 1;
        let settings = &self.options.settings;
        let command = OpenSessionCommand {
            vm_name: settings.vm.clone(),
            // Each opening is a new one: a session that ended is never taken up again.
            boot: self.options.boot.wrapping_add(self.openings),
            zone: self.options.zone.clone(),
            rack: self.options.rack.clone(),
            address: self.options.address,
            capacity: self.capacity(),
        };
        let operation = Operation::Propose(Command::OpenSession(command));
        self.client.call(now, operation, now.mono_ms + OPEN_MAX_MS, ());
    }

    pub(super) fn on_opened(&mut self, now: Now, outcome: ReplyResult) {
        self.opening = false;
        match outcome {
            Ok(Reply::SessionOpened(it)) => {
                tracing::info!(event = "session_opened", session = it.session.0, vm = it.vm.0);
                self.own_sessions.insert(it.session);
                // There is no lease yet: the first heartbeat asks for it.
                self.lease = Some(Lease {
                    session: it.session,
                    until_ms: 0,
                    reconciled: false,
                    answered_heartbeat: 0,
                });
                self.heartbeat_at_ms = now.mono_ms;
            }
            Ok(_) => (),
            Err(it) => {
                tracing::warn!(event = "session_refused", kind = %it.kind, detail = %it.detail);
                let pause_ms = it.retry_after_ms.max(self.options.settings.heartbeat_ms.into());
                self.open_at_ms = now.mono_ms + pause_ms;
            }
        }
    }

    pub(super) fn heartbeat(&mut self, now: Now) {
        let interval_ms = u64::from(self.options.settings.heartbeat_ms);
        self.heartbeat_at_ms = now.mono_ms + interval_ms;
        let Some(lease) = self.lease else { return };
        if lease.answered_heartbeat + SILENT_HEARTBEATS < self.heartbeat_number {
            self.client.try_next();
        }
        let Some(to) = self.client.target() else { return };
        self.heartbeat_number += 1;
        let draining = self.draining;
        let endpoints = self.endpoints.iter_mut().map(|it| EndpointReport {
            number: it.number,
            class: it.announcement.class.clone(),
            slots: it.announcement.slots.min(it.announcement.connections),
            leaving: it.leaving || draining,
            answer_p99_ms: it.take_tail_ms(),
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

    pub(super) fn on_heartbeat_reply(&mut self, now: Now, it: AgentHeartbeatReply) {
        let Some(lease) = self.lease.as_mut().filter(|lease| lease.session == it.session) else {
            return;
        };
        lease.answered_heartbeat = lease.answered_heartbeat.max(it.number);
        if it.verdict == SessionVerdict::Ended {
            tracing::warn!(event = "session_ended", session = it.session.0);
            self.stop_tasks();
            self.lease = None;
            return;
        }
        if let Some(news) = it.configuration.clone() {
            self.configuration.adopt(news);
        }
        // Counted from when the renewal was asked for: control counts from later.
        let until_ms = (it.sent_ms + u64::from(it.lease_ms)).max(lease.until_ms);
        if lease.until_ms < until_ms {
            lease.until_ms = until_ms;
            let call = WorkerCall::Lease { session: it.session, until_boottime_ms: until_ms };
            self.effects.push(Effect::Worker(call));
        }
        self.on_orders(now, it);
    }

    pub(super) fn on_orders(&mut self, now: Now, it: AgentHeartbeatReply) {
        let Some(lease) = self.lease else { return };
        let overtaken = it.number < lease.answered_heartbeat;
        if lease.session != it.session || overtaken || lease.until_ms <= now.mono_ms {
            self.metrics.orders_ignored.inc_by(it.orders.len() as u64);
            return;
        }
        for order in it.orders {
            self.follow_order(lease, order);
        }
    }

    pub(super) fn follow_order(&mut self, lease: Lease, order: TaskOrder) {
        let TaskOrder { task, incarnation, action } = order;
        let session = lease.session;
        let call = match action {
            TaskAction::Start(start) => {
                let capacity = self.capacity();
                let started = match lease.reconciled {
                    true => self.tasks.try_start(task, incarnation, &start, capacity),
                    false => Err(StartRejection::OlderRuns),
                };
                if let Err(why) = started {
                    if why != StartRejection::AlreadyKnown {
                        self.metrics.orders_ignored.inc();
                        tracing::warn!(event = "start_not_followed", task = task.0, incarnation, why = ?why);
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

    /// Stops all tasks once the lease has run out: from now on control may place them elsewhere.
    pub(super) fn handle_lease_end(&mut self, now: Now) {
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
        let ids: Vec<_> = self.tasks.running().map(|it| (it.task, it.incarnation)).collect();
        for (task, incarnation) in ids {
            self.effects.push(Effect::Worker(WorkerCall::Stop { session, task, incarnation }));
        }
    }

    pub(super) fn on_worker(&mut self, now: Now, call: WorkerCall, result: WorkerResult) {
        match (call, result) {
            (WorkerCall::List, WorkerResult::Report(report)) => {
                self.listing = false;
                if let Some(lease) = &mut self.lease
                    && lease.session == report.session
                    && !lease.reconciled
                {
                    // The worker refuses older sessions now, so its list is complete.
                    lease.reconciled = true;
                    self.heartbeat_at_ms = now.mono_ms;
                }
                if self.tasks.note_report(report) {
                    self.heartbeat_at_ms = now.mono_ms;
                }
            }
            (WorkerCall::List, _) => self.listing = false,
            (WorkerCall::Lease { .. }, _) => self.list_at_ms = now.mono_ms,
            (WorkerCall::Start { task, incarnation, .. }, result) => {
                self.tasks.note_start(task, incarnation, &result);
                self.heartbeat_at_ms = now.mono_ms;
            }
            (WorkerCall::Stop { .. } | WorkerCall::Checkpoint { .. }, _) => {
                self.list_at_ms = now.mono_ms
            }
            (WorkerCall::Throttle { .. } | WorkerCall::Forget { .. }, _) => (),
        }
    }
}
