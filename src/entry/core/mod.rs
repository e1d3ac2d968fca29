//! State machine of an entry, without I/O.

mod admission;
mod attempts;
mod claims;
mod polls;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use hdrhistogram::Histogram;
use slotmap::SlotMap;

use crate::{
    config::AdoptedConfiguration,
    control::{client::ControlClient, state::ReplyResult},
    entry::{
        endpoints::Endpoints,
        pending_request::{PendingRequest, PendingRequestKey},
        request::{CallerAnswer, CallerRequest, Effect, Input},
    },
    metrics::Metrics,
    policy::{admission::FairQueue, retry::RetryBudget},
    prelude::*,
    schema::settings::EntrySettings,
};

/// Interval of heartbeats to control.
const HEARTBEAT_MS: u64 = 1_000;

/// Unanswered heartbeats after which another control process is tried.
const UNANSWERED_HEARTBEATS_MAX: u32 = 3;

/// Heartbeats after which the histograms of answer times are reset.
const LATENCY_WINDOW_HEARTBEATS: u32 = 10;

/// Interval at which control is queried for a held poll.
const POLL_INTERVAL_MS: u64 = 250;

/// Interval at which an agent is queried for the outcome of an attempt.
pub(super) const OUTCOME_QUERY_INTERVAL_MS: u64 = 200;

/// How long a claim or attempt is followed after its caller was refused.
const UNKNOWN_OUTCOME_FOLLOW_MS: u64 = 30_000;

/// Pending quick requests at which an entry that refuses new ones stops looking up their keys.
const KEY_LOOKUP_PENDING_MAX: usize = 20_000;

/// Shortest wait for a reply before a retry or a query to the agent.
const ATTEMPT_TIMEOUT_MIN_MS: u64 = 20;

/// Options of an entry.
#[derive(Clone, Debug)]
pub struct EntryOptions {
    pub name: CompactString,
    pub zone: CompactString,
    pub address: SocketAddr,
    pub control_addresses: Vec<SocketAddr>,
    pub settings: EntrySettings,
    /// Random number of this process; part of its request ids.
    pub boot: u64,
}

/// Purpose of an operation sent to control.
#[derive(Clone, Debug)]
pub(super) enum ControlToken {
    Caller(u64),
    Poll(u64),
    /// A claim, settlement or claim query of a quick request.
    Claim(PendingRequestKey),
    /// The reply is ignored.
    NoReply,
}

/// A poll held until it has a result or expires.
#[derive(Clone, Debug)]
struct Poll {
    query: Query,
    expires_ms: u64,
    /// When control is queried next; `None` while a reply is outstanding.
    next_query_ms: Option<u64>,
}

/// Waiting requests and answer times of one class.
#[derive(Debug)]
struct ClassQueue {
    queue: FairQueue<PendingRequestKey>,
    answer_times: Histogram<u32>,
}

/// An entry, without its I/O.
pub struct EntryCore {
    pub(super) options: EntryOptions,
    metrics: Arc<Metrics>,
    random: fastrand::Rng,
    pub(super) client: ControlClient<ControlToken>,
    configuration: AdoptedConfiguration,
    pub(super) endpoints: Endpoints,
    pub(super) pending_requests: SlotMap<PendingRequestKey, PendingRequest>,
    keys_by_request: HashMap<RequestId, PendingRequestKey>,
    /// Queried attempts of other requests, with the request that waits for the reply.
    pub(super) outcome_queries: HashMap<(RequestId, u32), PendingRequestKey>,
    timers: BTreeSet<(u64, PendingRequestKey)>,
    class_queues: BTreeMap<CompactString, ClassQueue>,
    in_flight_by_team: HashMap<CompactString, u32>,
    polls: BTreeMap<u64, Poll>,
    retry_budget: RetryBudget,
    next_request: u64,
    open_operations: usize,
    next_heartbeat_ms: u64,
    unanswered_heartbeats: u32,
    latency_window_heartbeats: u32,
    is_draining: bool,
    effects: Vec<Effect>,
}

impl EntryCore {
    /// Returns an entry without configuration and endpoints.
    pub fn new(options: EntryOptions, metrics: Arc<Metrics>) -> EntryCore {
        EntryCore {
            random: fastrand::Rng::with_seed(options.boot),
            client: ControlClient::new(
                options.address,
                options.control_addresses.clone(),
                options.boot,
            ),
            retry_budget: RetryBudget::new(options.settings.retry_budget_permille),
            options,
            metrics,
            configuration: AdoptedConfiguration::new(),
            endpoints: Endpoints::default(),
            pending_requests: SlotMap::with_key(),
            keys_by_request: HashMap::new(),
            outcome_queries: HashMap::new(),
            timers: BTreeSet::new(),
            class_queues: BTreeMap::new(),
            in_flight_by_team: HashMap::new(),
            polls: BTreeMap::new(),
            next_request: 0,
            open_operations: 0,
            next_heartbeat_ms: 0,
            unanswered_heartbeats: 0,
            latency_window_heartbeats: 0,
            is_draining: false,
            effects: Vec::new(),
        }
    }

    /// Returns the revision of the configuration in force.
    pub fn in_force(&self) -> Revision {
        self.configuration.revision()
    }

    /// Returns whether this entry accepts requests: it has a configuration and is not stopping.
    pub fn is_ready(&self) -> bool {
        Revision(0) < self.configuration.revision() && !self.is_draining
    }

    /// Returns whether the entry is stopping and no caller waits any more.
    pub fn is_drained(&self) -> bool {
        let has_waiting_callers = self.pending_requests.values().any(|it| it.token.is_some());
        self.is_draining
            && !has_waiting_callers
            && self.polls.is_empty()
            && self.open_operations == 0
    }

    /// Returns the number of unfinished quick requests.
    pub fn unfinished_requests(&self) -> usize {
        self.pending_requests.len()
    }

    /// Returns when the next [`Input::Tick`] is due.
    pub fn next_tick_ms(&self) -> u64 {
        let timer_ms = self.timers.first().map_or(u64::MAX, |it| it.0);
        let poll_ms = self
            .polls
            .values()
            .map(|it| it.next_query_ms.unwrap_or(it.expires_ms).min(it.expires_ms))
            .min();
        let client_ms = self.client.next_tick_ms().unwrap_or(u64::MAX);
        self.next_heartbeat_ms.min(timer_ms).min(poll_ms.unwrap_or(u64::MAX)).min(client_ms)
    }

    /// Takes the effects of the inputs handled so far.
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

    /// Handles one input and all due timers.
    pub fn handle(&mut self, now: Now, input: Input) {
        match input {
            Input::Message { from, in_force, message } => {
                if let Some(config_fetch) =
                    self.configuration.config_fetch(now, in_force, self.options.address)
                {
                    self.send(from, config_fetch);
                }
                self.on_message(now, message);
            }
            Input::Request { token, team, request } => {
                self.metrics.requests.inc();
                self.on_request(now, token, team, request);
            }
            Input::LinkLost { peer } => self.on_link_lost(now, peer),
            Input::Tick => (),
            Input::Stop => self.stop(now),
        }
        self.tick(now);
    }

    pub(super) fn send(&mut self, to: SocketAddr, message: Message) {
        self.effects.push(Effect::Send { to, message });
    }

    pub(super) fn answer(&mut self, token: u64, answer: CallerAnswer) {
        if let CallerAnswer::Refused(it) = &answer {
            self.metrics.count_refusal(it.kind);
        }
        self.effects.push(Effect::Answer { token, answer });
    }

    fn tick(&mut self, now: Now) {
        for (token, outcome) in self.client.tick(now) {
            self.on_control(now, token, outcome);
        }
        while let Some(&(at_ms, key)) = self.timers.first()
            && at_ms <= now.mono_ms
        {
            self.timers.pop_first();
            self.handle_timer(now, key);
        }
        self.tick_polls(now);
        if self.next_heartbeat_ms <= now.mono_ms {
            self.heartbeat(now);
        }
    }

    fn stop(&mut self, now: Now) {
        self.is_draining = true;
        // Ending a held poll loses no events: its caller continues from its cursor elsewhere.
        for it in self.polls.values_mut() {
            it.expires_ms = now.mono_ms;
        }
    }

    fn heartbeat(&mut self, now: Now) {
        self.next_heartbeat_ms = now.mono_ms + HEARTBEAT_MS;
        if UNANSWERED_HEARTBEATS_MAX <= self.unanswered_heartbeats {
            self.unanswered_heartbeats = 0;
            self.client.try_next();
        }
        let Some(to) = self.client.target() else { return };
        self.unanswered_heartbeats += 1;
        let latencies = self.class_queues.iter().filter(|(_, it)| !it.answer_times.is_empty()).map(
            |(class, it)| {
                let permille =
                    self.configuration.class(class).map_or(990, |it| it.answer_percentile_permille);
                ClassLatency {
                    class: class.clone(),
                    answers: it.answer_times.len() as u32,
                    percentile_ms: it.answer_times.value_at_quantile(f64::from(permille) / 1_000.0)
                        as u32,
                }
            },
        );
        let heartbeat = EntryHeartbeat {
            name: self.options.name.clone(),
            zone: self.options.zone.clone(),
            boot: self.options.boot,
            reply_to: self.options.address,
            in_force: self.configuration.revision(),
            directory_epoch: self.endpoints.epoch,
            directory_version: self.endpoints.version,
            latencies: latencies.collect(),
        };
        self.latency_window_heartbeats += 1;
        if LATENCY_WINDOW_HEARTBEATS <= self.latency_window_heartbeats {
            self.latency_window_heartbeats = 0;
            self.class_queues.values_mut().for_each(|it| it.answer_times.reset());
        }
        self.send(to, Message::EntryHeartbeat(heartbeat));
    }

    fn on_message(&mut self, now: Now, message: Message) {
        match message {
            Message::ExecuteReply(it) => self.on_execute_reply(now, it),
            Message::ControlReply(it) => {
                if let Some((token, outcome)) = self.client.on_reply(now, it) {
                    self.on_control(now, token, outcome);
                }
            }
            Message::EntryHeartbeatReply(it) if it.boot == self.options.boot => {
                self.unanswered_heartbeats = 0;
                if let Some(configuration) = it.configuration {
                    self.configuration.adopt(configuration);
                }
                if let Some(update) = it.directory {
                    let zone = self.options.zone.clone();
                    self.endpoints.update(update, &zone, now);
                    self.dispatch_all_queued(now);
                }
            }
            Message::NotLeader(hint) => {
                self.unanswered_heartbeats = 0;
                self.client.set_leader(hint);
                self.next_heartbeat_ms = self.next_heartbeat_ms.min(now.mono_ms + HEARTBEAT_MS / 5);
            }
            Message::EndpointLeaving(it) => self.endpoints.note_leaving(it.endpoint),
            Message::ConfigUpdate(it) => self.configuration.adopt_from_peer(it),
            Message::ConfigFetch(it) => {
                let update = Message::ConfigUpdate(self.configuration.current().clone());
                self.send(it.reply_to, update);
            }
            _ => (),
        }
    }

    fn on_request(&mut self, now: Now, token: u64, team: CompactString, request: CallerRequest) {
        let open = self.pending_requests.len() + self.polls.len() + self.open_operations;
        let request = match (self.check_request_limit(open), request) {
            // A request with a key has it looked up before it is refused.
            (limit_check, CallerRequest::Quick(it)) => {
                return self.on_quick(now, token, team, it, limit_check.err());
            }
            (Err(refusal), _) => return self.answer(token, CallerAnswer::Refused(refusal)),
            (Ok(()), it) => it,
        };
        let operation = match request {
            CallerRequest::Quick(_) => return,
            CallerRequest::JobResult { job, wait_ms } => {
                return self.hold_poll(
                    now,
                    token,
                    Query::JobResult(JobQuery { team, job }),
                    wait_ms,
                );
            }
            CallerRequest::PollWatch { watch, cursor, wait_ms } => {
                return self.hold_poll(
                    now,
                    token,
                    Query::Watch(WatchQuery { team, watch, cursor }),
                    wait_ms,
                );
            }
            CallerRequest::Job(job) => Operation::Query(Query::Job(JobQuery { team, job })),
            CallerRequest::Submit { key, spec } => {
                Operation::Propose(Command::Submit(SubmitCommand { team, key, spec }))
            }
            CallerRequest::Cancel(jobs) => {
                Operation::Propose(Command::Cancel(CancelCommand { team, jobs }))
            }
            CallerRequest::CreateWatch { key, subject } => {
                Operation::Propose(Command::CreateWatch(CreateWatchCommand {
                    team,
                    key,
                    subject,
                    events_max: 0,
                }))
            }
            CallerRequest::DeleteWatch(watch) => {
                Operation::Propose(Command::DeleteWatch(DeleteWatchCommand { team, watch }))
            }
            CallerRequest::Publish { key, subject, body } => {
                Operation::Propose(Command::Publish(PublishCommand { team, key, subject, body }))
            }
        };
        self.open_operations += 1;
        let deadline_ms = now.mono_ms + u64::from(self.options.settings.operation_max_ms);
        self.client.call(now, operation, deadline_ms, ControlToken::Caller(token));
    }

    fn on_control(&mut self, now: Now, token: ControlToken, outcome: ReplyResult) {
        match token {
            ControlToken::Caller(token) => {
                self.open_operations -= 1;
                self.answer(token, caller_answer(outcome));
            }
            ControlToken::Poll(token) => self.on_poll_reply(now, token, outcome),
            ControlToken::Claim(key) => self.on_claim(now, key, outcome),
            ControlToken::NoReply => (),
        }
    }
}

fn class_queue<'a>(
    class_queues: &'a mut BTreeMap<CompactString, ClassQueue>,
    class: &str,
) -> &'a mut ClassQueue {
    class_queues.entry(class.into()).or_insert_with(|| ClassQueue {
        queue: FairQueue::new(),
        answer_times: Histogram::new_with_bounds(1, 600_000, 2)
            .expect("the bounds are constant and valid"),
    })
}

fn caller_answer(outcome: ReplyResult) -> CallerAnswer {
    match outcome {
        Ok(it) => CallerAnswer::Done(it),
        Err(it) => CallerAnswer::Refused(it),
    }
}
