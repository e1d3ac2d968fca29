//! One agent, without its I/O.

mod lease;
mod requests;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use crate::{
    agent::{
        endpoints::{Announcement, Endpoints, ExecutionId, ExecutorCall, ExecutorResult},
        seen_attempts::{AttemptId, SeenAttempts},
        tasks::{Tasks, WorkerCall, WorkerResult},
    },
    config::AdoptedConfiguration,
    control::{client::ControlClient, state::ReplyResult},
    metrics::Metrics,
    prelude::*,
    schema::settings::AgentSettings,
};

/// Heartbeats without an answer before another control process is tried.
const SILENT_HEARTBEATS: u64 = 3;

/// Reports that a worker is asked for in one heartbeat interval.
const LISTS_PER_HEARTBEAT: u64 = 4;

/// Longest time that an opening of a session is waited for before it is asked for anew.
const OPEN_MAX_MS: u64 = 10_000;

/// What one agent is told by its settings.
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
    Answer { token: u64, outcome: ReplyResult },
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
    answered_heartbeat: u64,
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
    configuration: AdoptedConfiguration,
    lease: Option<Lease>,
    /// Sessions of this process: its endpoints were known under each of them.
    own_sessions: BTreeSet<SessionId>,
    opening: bool,
    /// When a session is asked for again after a refusal.
    open_at_ms: u64,
    openings: u64,
    heartbeat_number: u64,
    heartbeat_at_ms: u64,
    list_at_ms: u64,
    listing: bool,
    tasks: Tasks,
    endpoints: Endpoints,
    executions: BTreeMap<ExecutionId, Execution>,
    next_execution: u64,
    seen_attempts: SeenAttempts,
    /// Entries that sent requests, with the time of the last.
    entries: BTreeMap<SocketAddr, u64>,
    draining: bool,
    effects: Vec<Effect>,
}

impl AgentCore {
    /// Makes an agent without a session.
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
            opening: false,
            open_at_ms: 0,
            openings: 0,
            heartbeat_number: 0,
            heartbeat_at_ms: 0,
            list_at_ms: 0,
            listing: false,
            tasks: Tasks::default(),
            endpoints: Endpoints::default(),
            executions: BTreeMap::new(),
            next_execution: 0,
            entries: BTreeMap::new(),
            draining: false,
            effects: Vec::new(),
        }
    }

    /// Returns the configuration revision in force here.
    pub fn in_force(&self) -> Revision {
        self.configuration.revision()
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
        self.handle_lease_end(now);
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
        if self.lease.is_none() && !self.opening && self.open_at_ms <= now.mono_ms {
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
        self.seen_attempts.expire(now);
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

    fn capacity(&self) -> Resources {
        let it = &self.options.settings;
        Resources {
            cpu_millicores: it.cpu_millicores,
            memory_mib: it.memory_mib,
            accelerators: it.accelerators,
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
                // Soon, but not at once: while a leader is elected nobody has a better answer.
                let soon_ms = u64::from(self.options.settings.heartbeat_ms) / 5;
                self.heartbeat_at_ms = self.heartbeat_at_ms.min(now.mono_ms + soon_ms);
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

    fn on_announce(&mut self, now: Now, token: u64, it: Announcement) {
        let outcome = if self.draining {
            Err(refusal_with_retry_after(ErrorKind::Draining, "this VM's agent is stopping", 1_000))
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
        let Some(endpoint) = self.endpoints.get_mut(number) else { return };
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
}
