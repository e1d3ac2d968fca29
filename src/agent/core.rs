//! One agent, without its I/O.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use crate::{
    agent::{
        endpoints::{Announcement, Endpoints, ExecutionId, ExecutorCall, ExecutorResult, Queued},
        seen::{AttemptId, Fate, Seen},
        tasks::{NotStarted, Tasks, WorkerCall, WorkerResult},
    },
    config::Adopted,
    control::{client::ControlClient, state::Outcome},
    metrics::Metrics,
    prelude::*,
    schema::settings::AgentSettings,
    util::checksum,
};

/// Heartbeats without an answer before another control process is tried.
const SILENT_HEARTBEATS: u64 = 3;

/// Reports that a worker is asked for in one heartbeat interval.
const LISTS_PER_HEARTBEAT: u64 = 4;

/// Longest time that an opening of a session is waited for before it is asked for anew.
const OPEN_MAX_MS: u64 = 10_000;

/// Largest answer kept for a resend.
const KEPT_ANSWER_BYTES: usize = 64 * 1024;

/// What one agent is told by its settings.
#[derive(Clone, Debug)]
pub struct AgentOptions {
    pub address: SocketAddr,
    pub controls: Vec<SocketAddr>,
    pub zone: CompactString,
    pub rack: CompactString,
    pub settings: AgentSettings,
    /// Random number of this process.
    pub boot: u64,
}

/// What an agent is told.
#[derive(Clone, Debug)]
pub enum Input {
    Message {
        from: SocketAddr,
        in_force: Revision,
        message: Message,
    },
    Worker {
        call: WorkerCall,
        result: WorkerResult,
    },
    Executor {
        execution: ExecutionId,
        result: ExecutorResult,
    },
    /// An endpoint announced itself, or said again that it is alive.
    Announce {
        token: u64,
        announcement: Announcement,
    },
    /// An endpoint takes no new work.
    Leave {
        token: u64,
        address: SocketAddr,
    },
    Tick,
    /// A planned stop: nothing new is taken, what is in flight ends.
    Stop,
}

/// What an agent wants done.
#[derive(Clone, Debug)]
pub enum Effect {
    Send { to: SocketAddr, message: Message },
    Worker(WorkerCall),
    Call(ExecutorCall),
    Answer { token: u64, outcome: Outcome },
}

/// The lease of one session.
#[derive(Clone, Copy, Debug)]
struct Lease {
    session: SessionId,
    /// By this VM's clock, counted from before the renewal was asked for.
    until_ms: u64,
    /// Whether the worker knows of the session and has reported since.
    reconciled: bool,
    /// Number of the newest heartbeat answered.
    answered: u64,
}

/// One running request.
#[derive(Clone, Debug)]
struct Execution {
    attempt: AttemptId,
    endpoint: EndpointId,
    reply_to: SocketAddr,
    idempotent: bool,
    begun_ms: u64,
}

/// One agent.
pub struct AgentCore {
    options: AgentOptions,
    metrics: Arc<Metrics>,
    client: ControlClient<()>,
    adopted: Adopted,
    lease: Option<Lease>,
    /// Sessions of this process: its endpoints were known under each of them.
    own_sessions: BTreeSet<SessionId>,
    opening: bool,
    openings: u64,
    heartbeat_number: u64,
    heartbeat_at_ms: u64,
    list_at_ms: u64,
    listing: bool,
    tasks: Tasks,
    endpoints: Endpoints,
    executions: BTreeMap<ExecutionId, Execution>,
    next_execution: u64,
    seen: Seen,
    /// Entries that sent requests, with the time of the last.
    entries: HashMap<SocketAddr, u64>,
    draining: bool,
    effects: Vec<Effect>,
}

impl AgentCore {
    /// Makes an agent without a session.
    pub fn new(options: AgentOptions, metrics: Arc<Metrics>) -> AgentCore {
        let settings = &options.settings;
        AgentCore {
            client: ControlClient::new(options.address, options.controls.clone(), options.boot),
            seen: Seen::new(settings.seen_max as usize, settings.seen_ms.into()),
            options,
            metrics,
            adopted: Adopted::new(),
            lease: None,
            own_sessions: BTreeSet::new(),
            opening: false,
            openings: 0,
            heartbeat_number: 0,
            heartbeat_at_ms: 0,
            list_at_ms: 0,
            listing: false,
            tasks: Tasks::default(),
            endpoints: Endpoints::default(),
            executions: BTreeMap::new(),
            next_execution: 0,
            entries: HashMap::new(),
            draining: false,
            effects: Vec::new(),
        }
    }

    /// Returns the configuration revision in force here.
    pub fn in_force(&self) -> Revision {
        self.adopted.revision()
    }

    /// Returns whether a planned stop has nothing left to wait for.
    pub fn is_drained(&self) -> bool {
        self.draining && self.endpoints.busy() == 0
    }

    /// Returns whether the agent holds a lease at `now`.
    pub fn has_lease(&self, now: Now) -> bool {
        self.lease.is_some_and(|it| now.mono_ms < it.until_ms)
    }

    /// Returns when the next [`Input::Tick`] is due.
    pub fn next_tick_ms(&self) -> u64 {
        let lease_ms = self.lease.map_or(u64::MAX, |it| it.until_ms);
        let client_ms = self.client.next_tick_ms().unwrap_or(u64::MAX);
        self.heartbeat_at_ms.min(self.list_at_ms).min(lease_ms).min(client_ms)
    }

    /// Takes the effects of the inputs so far.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        let mut res = std::mem::take(&mut self.effects);
        res.extend(
            self.client
                .take_messages()
                .into_iter()
                .map(|(to, message)| Effect::Send { to, message }),
        );
        res
    }

    /// Takes in one input.
    pub fn handle(&mut self, now: Now, input: Input) {
        // Whatever arrives first after a pause of this process, the lease is looked at before it.
        self.heed_lease_end(now);
        match input {
            Input::Message { from, in_force, message } => {
                if let Some(question) = self.adopted.question(now, in_force, self.options.address) {
                    self.send(from, question);
                }
                self.on_message(now, message);
            }
            Input::Worker { call, result } => self.on_worker(now, call, result),
            Input::Executor { execution, result } => self.on_executor(now, execution, result),
            Input::Announce { token, announcement } => self.on_announce(now, token, announcement),
            Input::Leave { token, address } => self.on_leave(now, token, address),
            Input::Tick => (),
            Input::Stop => self.drain(now),
        }
        self.tick(now);
    }

    fn send(&mut self, to: SocketAddr, message: Message) {
        self.effects.push(Effect::Send { to, message });
    }

    fn tick(&mut self, now: Now) {
        for (_, outcome) in self.client.tick(now) {
            self.on_opened(now, outcome);
        }
        if self.lease.is_none() && !self.opening {
            self.open_session(now);
        }
        if self.heartbeat_at_ms <= now.mono_ms {
            self.heartbeat(now);
        }
        if self.list_at_ms <= now.mono_ms {
            self.list_at_ms =
                now.mono_ms + u64::from(self.options.settings.heartbeat_ms) / LISTS_PER_HEARTBEAT;
            self.list_worker(now);
        }
    }

    /// Does what a worker and endpoints need regularly.
    fn list_worker(&mut self, now: Now) {
        if !self.listing {
            self.listing = true;
            self.effects.push(Effect::Worker(WorkerCall::List));
        }
        if let Some(session) = self.valid_session(now) {
            for (task, incarnation, start) in self.tasks.take_unanswered() {
                self.effects.push(Effect::Worker(WorkerCall::Start {
                    session,
                    task,
                    incarnation,
                    start,
                }));
            }
        }
        self.seen.expire(now);
        self.drop_late(now);
        let silence_ms = u64::from(self.options.settings.announce_max_ms);
        let silent = self
            .endpoints
            .iter()
            .filter(|it| !it.leaving && it.announced_ms + silence_ms < now.mono_ms);
        let silent: Vec<_> = silent.map(|it| it.number).collect();
        for number in silent {
            tracing::warn!(event = "endpoint_silent", number);
            self.begin_leaving(now, number);
        }
        self.endpoints.remove_idle_leavers();
        self.entries.retain(|_, at_ms| now.mono_ms < *at_ms + 60_000);
    }

    fn open_session(&mut self, now: Now) {
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

    fn capacity(&self) -> Resources {
        let it = &self.options.settings;
        Resources {
            cpu_millicores: it.cpu_millicores,
            memory_mib: it.memory_mib,
            accelerators: it.accelerators,
        }
    }

    fn on_opened(&mut self, now: Now, outcome: Outcome) {
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
                    answered: 0,
                });
                self.heartbeat_at_ms = now.mono_ms;
            }
            Ok(_) => (),
            Err(it) => {
                tracing::warn!(event = "session_refused", kind = %it.kind, detail = %it.detail)
            }
        }
    }

    fn heartbeat(&mut self, now: Now) {
        let interval_ms = u64::from(self.options.settings.heartbeat_ms);
        self.heartbeat_at_ms = now.mono_ms + interval_ms;
        let Some(lease) = self.lease else { return };
        if lease.answered + SILENT_HEARTBEATS < self.heartbeat_number {
            self.client.try_next();
        }
        let Some(to) = self.client.target() else {
            return;
        };
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
            in_force: self.adopted.revision(),
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

    fn on_message(&mut self, now: Now, message: Message) {
        match message {
            Message::AgentHeartbeatReply(it) => self.on_heartbeat_reply(now, it),
            Message::AgentOrders(it) => self.on_orders(now, it),
            Message::ControlReply(it) => {
                if let Some(((), outcome)) = self.client.on_reply(now, it) {
                    self.on_opened(now, outcome);
                }
            }
            Message::NotLeader(hint) => {
                self.client.set_leader(hint);
                // Soon, but not at once: while a leader is elected nobody has a better answer.
                let soon_ms = u64::from(self.options.settings.heartbeat_ms) / 5;
                self.heartbeat_at_ms = self.heartbeat_at_ms.min(now.mono_ms + soon_ms);
            }
            Message::Execute(it) => self.on_execute(now, it),
            Message::OutcomeQuery(it) => self.on_outcome_query(now, &it),
            Message::ConfigUpdate(it) => self.adopted.adopt_from_peer(it),
            Message::ConfigFetch(it) => {
                let update = Message::ConfigUpdate(self.adopted.current().clone());
                self.send(it.reply_to, update);
            }
            _ => (),
        }
    }

    fn on_heartbeat_reply(&mut self, now: Now, it: AgentHeartbeatReply) {
        let Some(lease) = self.lease.as_mut().filter(|lease| lease.session == it.session) else {
            return;
        };
        lease.answered = lease.answered.max(it.number);
        if it.verdict == SessionVerdict::Ended {
            tracing::warn!(event = "session_ended", session = it.session.0);
            self.stop_tasks();
            self.lease = None;
            return;
        }
        if let Some(news) = it.configuration.clone() {
            self.adopted.adopt(news);
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

    fn on_orders(&mut self, now: Now, it: AgentHeartbeatReply) {
        let Some(lease) = self.lease else { return };
        let overtaken = it.number < lease.answered;
        if lease.session != it.session || overtaken || lease.until_ms <= now.mono_ms {
            self.metrics.orders_ignored.inc_by(it.orders.len() as u64);
            return;
        }
        for order in it.orders {
            self.follow_order(lease, order);
        }
    }

    fn follow_order(&mut self, lease: Lease, order: TaskOrder) {
        let TaskOrder { task, incarnation, action } = order;
        let session = lease.session;
        let call = match action {
            TaskAction::Start(start) => {
                let capacity = self.capacity();
                let started = match lease.reconciled {
                    true => self.tasks.try_start(task, incarnation, &start, capacity),
                    false => Err(NotStarted::OlderRuns),
                };
                if let Err(why) = started {
                    if why != NotStarted::Known {
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

    fn valid_session(&self, now: Now) -> Option<SessionId> {
        self.lease.filter(|it| now.mono_ms < it.until_ms).map(|it| it.session)
    }

    /// Stops all tasks once the lease has run out: from now on control may place them elsewhere.
    fn heed_lease_end(&mut self, now: Now) {
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

    fn stop_tasks(&mut self) {
        let Some(session) = self.lease.map(|it| it.session) else {
            return;
        };
        let ids: Vec<_> = self.tasks.running().map(|it| (it.task, it.incarnation)).collect();
        for (task, incarnation) in ids {
            self.effects.push(Effect::Worker(WorkerCall::Stop { session, task, incarnation }));
        }
    }

    fn on_worker(&mut self, now: Now, call: WorkerCall, result: WorkerResult) {
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

    fn on_announce(&mut self, now: Now, token: u64, it: Announcement) {
        let outcome = if self.draining {
            Err(refusal_until(ErrorKind::Draining, "this VM's agent is stopping", 1_000))
        } else if it.slots == 0 || it.connections == 0 {
            Err(refusal(ErrorKind::BadRequest, "slots and connections must be above 0"))
        } else {
            let address = it.address;
            let is_new = self.endpoints.at(address).is_none();
            let number = self.endpoints.announce(it, now);
            if is_new {
                tracing::info!(event = "endpoint_announced", number, %address);
                self.heartbeat_at_ms = now.mono_ms;
            }
            let document = format_compact!(
                "{{\"endpoint\":{number},\"again_within_ms\":{}}}",
                self.announce_again_ms()
            );
            Ok(Reply::Document(document))
        };
        self.effects.push(Effect::Answer { token, outcome });
    }

    fn announce_again_ms(&self) -> u32 {
        self.options.settings.announce_max_ms / 3
    }

    fn on_leave(&mut self, now: Now, token: u64, address: SocketAddr) {
        let outcome = match self.endpoints.at(address) {
            Some(number) => {
                self.begin_leaving(now, number);
                Ok(Reply::Done)
            }
            None => Err(refusal(
                ErrorKind::NotFound,
                format_compact!("no endpoint announced itself at {address}"),
            )),
        };
        self.effects.push(Effect::Answer { token, outcome });
    }

    /// Takes an endpoint out: refused here at once, told to the entries that use it, and to
    /// control, which tells the others.
    fn begin_leaving(&mut self, now: Now, number: u32) {
        let Some(endpoint) = self.endpoints.get_mut(number) else {
            return;
        };
        endpoint.leaving = true;
        let queued: Vec<_> = endpoint.queue.drain(..).collect();
        tracing::info!(event = "endpoint_leaving", number, refused = queued.len());
        for it in queued {
            self.refuse(now, &it.request, ErrorKind::EndpointLeaving);
        }
        let sessions: Vec<_> = self.own_sessions.iter().copied().collect();
        let entries: Vec<_> = self.entries.keys().copied().collect();
        for to in entries {
            for session in &sessions {
                let endpoint = EndpointId { session: *session, number };
                self.send(to, Message::EndpointLeaving(EndpointLeaving { endpoint }));
            }
        }
        self.heartbeat_at_ms = now.mono_ms;
    }

    fn drain(&mut self, now: Now) {
        if self.draining {
            return;
        }
        self.draining = true;
        let numbers: Vec<_> = self.endpoints.iter().map(|it| it.number).collect();
        for number in numbers {
            self.begin_leaving(now, number);
        }
    }

    fn on_execute(&mut self, now: Now, it: Execute) {
        self.entries.insert(it.reply_to, now.mono_ms);
        let attempt = (it.request, it.attempt);
        match self.seen.get(attempt) {
            // Sent twice by the link or by a resend: the first one's outcome is the outcome.
            Some(Fate::Running) => return,
            Some(Fate::Ended(outcome)) => {
                let outcome = outcome.clone();
                return self.reply(it.reply_to, attempt, it.endpoint, outcome);
            }
            None => (),
        }
        if let Err(kind) = self.check_execute(&it) {
            return self.refuse(now, &it, kind);
        }
        self.seen.begin(attempt);
        let deadline_ms = now.mono_ms + u64::from(it.deadline_ms);
        let number = it.endpoint.number;
        let executions = self.executions.len();
        let threads = self.options.settings.threads as usize;
        let Some(endpoint) = self.endpoints.get_mut(number) else {
            return;
        };
        endpoint.queue.push_back(Queued { request: it, deadline_ms });
        if endpoint.has_slot() && executions < threads {
            self.run_next(now, number);
        }
    }

    fn check_execute(&mut self, it: &Execute) -> Result<(), ErrorKind> {
        let queue_max = self.options.settings.queue_max as usize;
        let is_ours = self.own_sessions.contains(&it.endpoint.session);
        let has_room = self.seen.has_room();
        let threads = self.options.settings.threads as usize;
        let busy = threads <= self.executions.len();
        match self.endpoints.get_mut(it.endpoint.number) {
            _ if self.draining => Err(ErrorKind::Draining),
            _ if !is_ours => Err(ErrorKind::StaleSession),
            None => Err(ErrorKind::NoEndpoint),
            Some(endpoint) if endpoint.leaving => Err(ErrorKind::EndpointLeaving),
            Some(endpoint)
                if (!endpoint.has_slot() || busy) && queue_max <= endpoint.queue.len() =>
            {
                Err(ErrorKind::EndpointBusy)
            }
            Some(_) if !has_room => Err(ErrorKind::TableFull),
            Some(_) => Ok(()),
        }
    }

    /// Runs the next queued requests of an endpoint as far as its slots allow.
    fn run_next(&mut self, now: Now, number: u32) {
        loop {
            let threads = self.options.settings.threads as usize;
            let Some(endpoint) = self.endpoints.get_mut(number) else {
                return;
            };
            if !endpoint.has_slot() || threads <= self.executions.len() {
                return;
            }
            let Some(queued) = endpoint.queue.pop_front() else {
                return;
            };
            if queued.deadline_ms <= now.mono_ms {
                self.refuse(now, &queued.request, ErrorKind::DeadlineExpiredQueued);
                continue;
            }
            endpoint.in_use += 1;
            let address = endpoint.announcement.address;
            self.next_execution += 1;
            let execution = ExecutionId(self.next_execution);
            let it = queued.request;
            let record = Execution {
                attempt: (it.request, it.attempt),
                endpoint: it.endpoint,
                reply_to: it.reply_to,
                idempotent: it.idempotent,
                begun_ms: now.mono_ms,
            };
            self.executions.insert(execution, record);
            self.effects.push(Effect::Call(ExecutorCall {
                execution,
                address,
                request: it.request,
                team: it.team,
                path: it.path,
                timeout_ms: queued.deadline_ms - now.mono_ms,
                body: it.body,
            }));
        }
    }

    /// Refuses queued requests whose deadline has passed.
    fn drop_late(&mut self, now: Now) {
        let mut late = Vec::new();
        for endpoint in self.endpoints.iter_mut() {
            let (old, kept) =
                endpoint.queue.drain(..).partition(|it: &Queued| it.deadline_ms <= now.mono_ms);
            endpoint.queue = kept;
            late.extend::<std::collections::VecDeque<_>>(old);
        }
        for it in late {
            self.refuse(now, &it.request, ErrorKind::DeadlineExpiredQueued);
        }
    }

    /// Refuses a request that was not handed to its endpoint, and never will be.
    fn refuse(&mut self, now: Now, it: &Execute, kind: ErrorKind) {
        self.metrics.refused(kind);
        let attempt = (it.request, it.attempt);
        let outcome = ExecuteOutcome::Refused(kind);
        // A second copy of the message must not run what this answer says did not.
        match self.seen.has_room() || self.seen.get(attempt).is_some() {
            true if it.idempotent => self.seen.end_briefly(attempt, outcome.clone(), now),
            true => self.seen.end(attempt, outcome.clone(), now),
            false => (),
        }
        self.reply(it.reply_to, attempt, it.endpoint, outcome);
    }

    fn reply(
        &mut self,
        to: SocketAddr,
        attempt: AttemptId,
        endpoint: EndpointId,
        outcome: ExecuteOutcome,
    ) {
        let load = self
            .endpoints
            .get_mut(endpoint.number)
            .map_or(Load { in_use: 0, queued: 0 }, |it| it.load());
        let reply =
            ExecuteReply { request: attempt.0, attempt: attempt.1, endpoint, outcome, load };
        self.send(to, Message::ExecuteReply(reply));
    }

    fn on_executor(&mut self, now: Now, id: ExecutionId, result: ExecutorResult) {
        let Some(it) = self.executions.remove(&id) else {
            return;
        };
        let answer_ms = now.mono_ms.saturating_sub(it.begun_ms);
        if let Some(endpoint) = self.endpoints.get_mut(it.endpoint.number) {
            endpoint.in_use -= 1;
            endpoint.note_answer(answer_ms);
        }
        let outcome = match result {
            ExecutorResult::Answered { status, content_type, body } => {
                ExecuteOutcome::Answered(Answer {
                    status,
                    content_type,
                    checksum: checksum(&body),
                    body: serde_bytes::ByteBuf::from(body),
                })
            }
            ExecutorResult::NotSent(_) => ExecuteOutcome::Refused(ErrorKind::NoEndpoint),
            ExecutorResult::Failed(why) => ExecuteOutcome::Failed(why),
        };
        if let ExecuteOutcome::Refused(kind) = outcome {
            self.metrics.refused(kind);
        }
        if it.idempotent {
            self.seen.forget(it.attempt);
        } else {
            self.seen.end(it.attempt, kept(&outcome), now);
        }
        self.reply(it.reply_to, it.attempt, it.endpoint, outcome);
        // A freed thread may serve any endpoint; the one that freed it goes first.
        self.run_next(now, it.endpoint.number);
        let waiting: Vec<_> =
            self.endpoints.iter().filter(|it| !it.queue.is_empty()).map(|it| it.number).collect();
        for number in waiting {
            self.run_next(now, number);
        }
    }

    fn on_outcome_query(&mut self, now: Now, it: &OutcomeQuery) {
        let attempt = (it.request, it.attempt);
        let is_ours = self.own_sessions.contains(&it.endpoint.session);
        let outcome = match self.seen.get(attempt) {
            Some(Fate::Running) => ExecuteOutcome::Running,
            Some(Fate::Ended(outcome)) => outcome.clone(),
            // An earlier run of this agent may have run it; nobody can know.
            None if !is_ours => ExecuteOutcome::Failed("the agent restarted meanwhile".into()),
            None if !self.seen.has_room() => ExecuteOutcome::Running,
            None => {
                // From now on it never runs here, even if the message is still on its way.
                self.seen.end(attempt, ExecuteOutcome::NotSeen, now);
                ExecuteOutcome::NotSeen
            }
        };
        self.reply(it.reply_to, attempt, it.endpoint, outcome);
    }
}

/// Returns an outcome as it is kept for resends: very large answers are not.
fn kept(outcome: &ExecuteOutcome) -> ExecuteOutcome {
    match outcome {
        ExecuteOutcome::Answered(it) if KEPT_ANSWER_BYTES < it.body.len() => {
            ExecuteOutcome::Failed("it ran, but its answer was too large to keep".into())
        }
        _ => outcome.clone(),
    }
}
