//! The state machine of the agent role, without I/O.

mod lease;
mod requests;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use crate::{
    agent::{
        endpoints::{Announcement, EndpointCall, EndpointResult, Endpoints, ExecutionId},
        seen_attempts::{AttemptId, SeenAttempts},
        tasks::{Tasks, WorkerCall, WorkerResult},
    },
    config::AdoptedConfiguration,
    control::{client::ControlClient, state::ReplyResult},
    metrics::Metrics,
    prelude::*,
    schema::settings::AgentSettings,
};

/// Consecutive unanswered heartbeats that the agent tolerates before it tries the next control
/// process.
const UNANSWERED_HEARTBEATS_MAX: u64 = 3;

/// Task list calls to the worker per heartbeat interval.
const LISTS_PER_HEARTBEAT: u64 = 4;

/// Timeout of one attempt to open a session.
const OPEN_SESSION_TIMEOUT_MS: u64 = 10_000;

/// Settings and identity of one agent.
#[derive(Clone, Debug)]
pub struct AgentOptions {
    pub address: SocketAddr,
    pub control_addresses: Vec<SocketAddr>,
    pub zone: CompactString,
    pub rack: CompactString,
    pub settings: AgentSettings,
    /// Random number of this process.
    pub boot: u64,
}

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
        result: EndpointResult,
    },
    /// An endpoint announced itself, or renewed its announcement.
    Announce {
        token: u64,
        announcement: Announcement,
    },
    /// An endpoint is leaving and accepts no new requests.
    Leave {
        token: u64,
        address: SocketAddr,
    },
    Tick,
    /// Planned stop: new requests are refused, running ones finish.
    Stop,
}

/// Action that the agent asks its runtime to perform.
#[derive(Clone, Debug)]
pub enum Effect {
    Send { to: SocketAddr, message: Message },
    Worker(WorkerCall),
    CallEndpoint(EndpointCall),
    Answer { token: u64, outcome: ReplyResult },
}

/// The lease of one session.
#[derive(Clone, Copy, Debug)]
struct Lease {
    session: SessionId,
    /// Expiry by this VM's clock, counted from before the renewal request was sent; 0 without a
    /// valid lease.
    until_ms: u64,
    /// Whether the worker has reported its tasks under this session.
    reconciled: bool,
    /// Highest number of an answered heartbeat.
    answered_heartbeat: u64,
}

/// A request that is running on an endpoint.
#[derive(Clone, Debug)]
struct Execution {
    attempt: AttemptId,
    endpoint: EndpointId,
    reply_to: SocketAddr,
    idempotent: bool,
    started_ms: u64,
}

/// The agent of one VM.
pub struct AgentCore {
    options: AgentOptions,
    metrics: Arc<Metrics>,
    client: ControlClient<()>,
    configuration: AdoptedConfiguration,
    lease: Option<Lease>,
    /// All sessions of this process; entries may address its endpoints under any of them.
    own_sessions: BTreeSet<SessionId>,
    is_opening: bool,
    /// Earliest time of the next attempt to open a session, set after a refusal.
    next_open_ms: u64,
    open_attempts: u64,
    heartbeat_number: u64,
    next_heartbeat_ms: u64,
    next_list_ms: u64,
    is_listing: bool,
    tasks: Tasks,
    endpoints: Endpoints,
    executions: BTreeMap<ExecutionId, Execution>,
    next_execution: u64,
    seen_attempts: SeenAttempts,
    /// Entries that sent requests, each with the time of its last request.
    entries: BTreeMap<SocketAddr, u64>,
    is_draining: bool,
    effects: Vec<Effect>,
}

impl AgentCore {
    /// Creates an agent without a session.
    pub fn new(options: AgentOptions, metrics: Arc<Metrics>) -> AgentCore {
        let settings = &options.settings;
        AgentCore {
            client: ControlClient::new(
                options.address,
                options.control_addresses.clone(),
                options.boot,
            ),
            seen_attempts: SeenAttempts::new(settings.seen_max as usize, settings.seen_ms.into()),
            options,
            metrics,
            configuration: AdoptedConfiguration::new(),
            lease: None,
            own_sessions: BTreeSet::new(),
            is_opening: false,
            next_open_ms: 0,
            open_attempts: 0,
            heartbeat_number: 0,
            next_heartbeat_ms: 0,
            next_list_ms: 0,
            is_listing: false,
            tasks: Tasks::default(),
            endpoints: Endpoints::default(),
            executions: BTreeMap::new(),
            next_execution: 0,
            entries: BTreeMap::new(),
            is_draining: false,
            effects: Vec::new(),
        }
    }

    /// Returns the revision of the configuration in force.
    pub fn in_force(&self) -> Revision {
        self.configuration.revision()
    }

    /// Returns whether a planned stop is complete, with no request running or waiting.
    pub fn is_drained(&self) -> bool {
        self.is_draining && self.endpoints.open_request_count() == 0
    }

    /// Returns whether the agent holds a lease at `now`.
    pub fn has_lease(&self, now: Now) -> bool {
        self.lease.is_some_and(|it| now.mono_ms < it.until_ms)
    }

    /// Returns when the next [`Input::Tick`] is due.
    pub fn next_tick_ms(&self) -> u64 {
        let lease_ms = self.lease.map_or(u64::MAX, |it| it.until_ms);
        let client_ms = self.client.next_tick_ms().unwrap_or(u64::MAX);
        self.next_heartbeat_ms.min(self.next_list_ms).min(lease_ms).min(client_ms)
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

    pub fn handle(&mut self, now: Now, input: Input) {
        // Check the lease first: it may have expired while this process was paused.
        self.handle_lease_expiry(now);
        match input {
            Input::Message { from, in_force, message } => {
                if let Some(config_fetch) =
                    self.configuration.config_fetch(now, in_force, self.options.address)
                {
                    self.send(from, config_fetch);
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
        if self.lease.is_none() && !self.is_opening && self.next_open_ms <= now.mono_ms {
            self.open_session(now);
        }
        if self.next_heartbeat_ms <= now.mono_ms {
            self.heartbeat(now);
        }
        if self.next_list_ms <= now.mono_ms {
            self.next_list_ms =
                now.mono_ms + u64::from(self.options.settings.heartbeat_ms) / LISTS_PER_HEARTBEAT;
            self.run_maintenance(now);
        }
    }

    /// Lists the worker's tasks, resends unanswered starts and expires attempts, requests and
    /// endpoints.
    fn run_maintenance(&mut self, now: Now) {
        if !self.is_listing {
            self.is_listing = true;
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
        self.seen_attempts.expire(now);
        self.refuse_expired(now);
        let announce_timeout_ms = u64::from(self.options.settings.announce_max_ms);
        let silent = self
            .endpoints
            .iter()
            .filter(|it| !it.leaving && it.announced_ms + announce_timeout_ms < now.mono_ms);
        let silent: Vec<_> = silent.map(|it| it.number).collect();
        for number in silent {
            tracing::warn!(event = "endpoint_silent", number);
            self.begin_leaving(now, number);
        }
        self.endpoints.remove_drained();
        self.entries.retain(|_, last_asked_ms| now.mono_ms < *last_asked_ms + 60_000);
    }

    fn capacity(&self) -> Resources {
        let settings = &self.options.settings;
        Resources {
            cpu_millicores: settings.cpu_millicores,
            memory_mib: settings.memory_mib,
            accelerators: settings.accelerators,
        }
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
                // Not at once: until an election ends, every control process answers like this.
                let retry_delay_ms = u64::from(self.options.settings.heartbeat_ms) / 5;
                self.next_heartbeat_ms = self.next_heartbeat_ms.min(now.mono_ms + retry_delay_ms);
            }
            Message::Execute(it) => self.on_execute(now, it),
            Message::OutcomeQuery(it) => self.on_outcome_query(now, &it),
            Message::ConfigUpdate(it) => self.configuration.adopt_from_peer(it),
            Message::ConfigFetch(it) => {
                let update = Message::ConfigUpdate(self.configuration.current().clone());
                self.send(it.reply_to, update);
            }
            _ => (),
        }
    }

    fn on_announce(&mut self, now: Now, token: u64, announcement: Announcement) {
        let outcome = if self.is_draining {
            Err(refusal_with_retry_after(ErrorKind::Draining, "this VM's agent is stopping", 1_000))
        } else if announcement.slots == 0 || announcement.connections == 0 {
            Err(refusal(ErrorKind::BadRequest, "slots and connections must be above 0"))
        } else {
            let address = announcement.address;
            let is_new = self.endpoints.number_at(address).is_none();
            let number = self.endpoints.announce(announcement, now);
            if is_new {
                tracing::info!(event = "endpoint_announced", number, %address);
                self.next_heartbeat_ms = now.mono_ms;
            }
            let document = format_compact!(
                "{{\"endpoint\":{number},\"again_within_ms\":{}}}",
                self.announce_interval_ms()
            );
            Ok(Reply::Document(document))
        };
        self.effects.push(Effect::Answer { token, outcome });
    }

    fn announce_interval_ms(&self) -> u32 {
        self.options.settings.announce_max_ms / 3
    }

    fn on_leave(&mut self, now: Now, token: u64, address: SocketAddr) {
        let outcome = match self.endpoints.number_at(address) {
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

    /// Refuses an endpoint's queued and new requests, notifies the entries that use this agent, and
    /// reports to control, which notifies the others.
    fn begin_leaving(&mut self, now: Now, number: u32) {
        let Some(endpoint) = self.endpoints.get_mut(number) else { return };
        endpoint.leaving = true;
        let queued: Vec<_> = endpoint.queue.drain(..).collect();
        tracing::info!(event = "endpoint_leaving", number, refused = queued.len());
        for queued_request in queued {
            self.refuse(now, &queued_request.request, ErrorKind::EndpointLeaving);
        }
        let sessions: Vec<_> = self.own_sessions.iter().copied().collect();
        let entries: Vec<_> = self.entries.keys().copied().collect();
        for to in entries {
            for session in &sessions {
                let endpoint = EndpointId { session: *session, number };
                self.send(to, Message::EndpointLeaving(EndpointLeaving { endpoint }));
            }
        }
        self.next_heartbeat_ms = now.mono_ms;
    }

    fn drain(&mut self, now: Now) {
        if self.is_draining {
            return;
        }
        self.is_draining = true;
        let numbers: Vec<_> = self.endpoints.iter().map(|it| it.number).collect();
        for number in numbers {
            self.begin_leaving(now, number);
        }
    }
}
