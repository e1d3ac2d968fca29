//! One entry, without its I/O.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use hdrhistogram::Histogram;
use slotmap::SlotMap;

use crate::{
    config::Adopted,
    control::{client::ControlClient, state::Outcome},
    entry::{
        endpoints::{EndpointKey, Endpoints},
        quick::{Attempt, Quick, QuickKey, Stage},
        request::{CallerAnswer, CallerRequest, Effect, Input, QuickRequest},
    },
    error::{Ran, answer_of},
    metrics::{Dropped, Metrics},
    policy::{
        admission::{self, FairQueue, Rejection, Waiting},
        retry::{RetryBudget, RetryReason, reason_of_refusal},
    },
    prelude::*,
    schema::settings::EntrySettings,
    util::{checksum, digest_of},
};

/// Interval of reports to control.
const HEARTBEAT_MS: u64 = 1_000;

/// Heartbeats without an answer before another control process is tried.
const SILENT_HEARTBEATS: u32 = 3;

/// Heartbeats over which answer times are gathered before they are reported anew.
const LATENCY_HEARTBEATS: u32 = 10;

/// Interval at which a held poll asks control again.
const POLL_MS: u64 = 250;

/// Interval at which an agent is asked what became of an attempt.
pub(super) const ASK_MS: u64 = 200;

/// How long an attempt whose caller was told "unknown" is still followed.
const FOLLOW_UNKNOWN_MS: u64 = 30_000;

/// Requests open in an entry beyond which not even keys are looked up any more.
const LOOKUPS_MAX: usize = 20_000;

/// Shortest time that an attempt is given before another is made.
const ATTEMPT_MIN_MS: u64 = 20;

/// What one entry is told by its settings.
#[derive(Clone, Debug)]
pub struct EntryOptions {
    pub name: CompactString,
    pub zone: CompactString,
    pub address: SocketAddr,
    pub controls: Vec<SocketAddr>,
    pub settings: EntrySettings,
    /// Random number of this process.
    pub boot: u64,
}

/// What an operation of control was for.
#[derive(Clone, Debug)]
pub(super) enum ControlToken {
    Caller(u64),
    Poll(u64),
    /// A claim, a settlement or a look at a claim, for a quick request.
    Claim(QuickKey),
    /// Nobody waits for it.
    Nobody,
}

/// A poll that is held until there is something to tell.
#[derive(Clone, Debug)]
struct Poll {
    query: Query,
    until_ms: u64,
    /// When control is asked again; not while an answer is due.
    ask_at_ms: Option<u64>,
}

/// The quick requests of one class that wait, and the class's answer times.
#[derive(Debug)]
struct ClassLine {
    queue: FairQueue<QuickKey>,
    answers: Histogram<u32>,
}

/// One entry.
pub struct EntryCore {
    pub(super) options: EntryOptions,
    metrics: Arc<Metrics>,
    random: fastrand::Rng,
    pub(super) client: ControlClient<ControlToken>,
    adopted: Adopted,
    pub(super) endpoints: Endpoints,
    pub(super) quicks: SlotMap<QuickKey, Quick>,
    by_request: HashMap<RequestId, QuickKey>,
    /// Attempts of other requests that agents were asked about, by who asked.
    pub(super) asked: HashMap<(RequestId, u32), QuickKey>,
    timers: BTreeSet<(u64, QuickKey)>,
    lines: BTreeMap<CompactString, ClassLine>,
    by_team: HashMap<CompactString, u32>,
    polls: BTreeMap<u64, Poll>,
    budget: RetryBudget,
    next_request: u64,
    operations: usize,
    heartbeat_at_ms: u64,
    unanswered_heartbeats: u32,
    latency_age: u32,
    draining: bool,
    effects: Vec<Effect>,
}

impl EntryCore {
    /// Makes an entry that knows no configuration and no endpoints yet.
    pub fn new(options: EntryOptions, metrics: Arc<Metrics>) -> EntryCore {
        EntryCore {
            random: fastrand::Rng::with_seed(options.boot),
            client: ControlClient::new(options.address, options.controls.clone(), options.boot),
            budget: RetryBudget::new(options.settings.retry_budget_permille),
            options,
            metrics,
            adopted: Adopted::new(),
            endpoints: Endpoints::default(),
            quicks: SlotMap::with_key(),
            by_request: HashMap::new(),
            asked: HashMap::new(),
            timers: BTreeSet::new(),
            lines: BTreeMap::new(),
            by_team: HashMap::new(),
            polls: BTreeMap::new(),
            next_request: 0,
            operations: 0,
            heartbeat_at_ms: 0,
            unanswered_heartbeats: 0,
            latency_age: 0,
            draining: false,
            effects: Vec::new(),
        }
    }

    /// Returns the configuration revision in force here.
    pub fn in_force(&self) -> Revision {
        self.adopted.revision()
    }

    /// Returns whether callers may be sent here: it has a configuration and is not stopping.
    pub fn is_ready(&self) -> bool {
        Revision(0) < self.adopted.revision() && !self.draining
    }

    /// Returns whether a planned stop has nothing left to wait for.
    pub fn is_drained(&self) -> bool {
        let owed = self.quicks.values().any(|it| it.token.is_some());
        self.draining && !owed && self.polls.is_empty() && self.operations == 0
    }

    /// Returns the quick requests under way.
    pub fn in_flight(&self) -> usize {
        self.quicks.len()
    }

    /// Returns when the next [`Input::Tick`] is due.
    pub fn next_tick_ms(&self) -> u64 {
        let timer_ms = self.timers.first().map_or(u64::MAX, |it| it.0);
        let poll_ms = self
            .polls
            .values()
            .map(|it| it.ask_at_ms.unwrap_or(it.until_ms).min(it.until_ms))
            .min();
        let client_ms = self.client.next_tick_ms().unwrap_or(u64::MAX);
        self.heartbeat_at_ms.min(timer_ms).min(poll_ms.unwrap_or(u64::MAX)).min(client_ms)
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
        match input {
            Input::Message { from, in_force, message } => {
                if let Some(question) = self.adopted.question(now, in_force, self.options.address) {
                    self.send(from, question);
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
            self.metrics.refused(it.kind);
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
            self.act(now, key);
        }
        self.tick_polls(now);
        if self.heartbeat_at_ms <= now.mono_ms {
            self.heartbeat(now);
        }
    }

    fn stop(&mut self, now: Now) {
        self.draining = true;
        // A held poll has lost nothing: its caller reads on from its cursor elsewhere.
        for it in self.polls.values_mut() {
            it.until_ms = now.mono_ms;
        }
    }

    fn heartbeat(&mut self, now: Now) {
        self.heartbeat_at_ms = now.mono_ms + HEARTBEAT_MS;
        if SILENT_HEARTBEATS <= self.unanswered_heartbeats {
            self.unanswered_heartbeats = 0;
            self.client.try_next();
        }
        let Some(to) = self.client.target() else {
            return;
        };
        self.unanswered_heartbeats += 1;
        let latencies =
            self.lines.iter().filter(|(_, it)| !it.answers.is_empty()).map(|(class, it)| {
                let permille =
                    self.adopted.class(class).map_or(990, |it| it.answer_percentile_permille);
                ClassLatency {
                    class: class.clone(),
                    answers: it.answers.len() as u32,
                    percentile_ms: it.answers.value_at_quantile(f64::from(permille) / 1_000.0)
                        as u32,
                }
            });
        let heartbeat = EntryHeartbeat {
            name: self.options.name.clone(),
            zone: self.options.zone.clone(),
            boot: self.options.boot,
            reply_to: self.options.address,
            in_force: self.adopted.revision(),
            directory_epoch: self.endpoints.epoch,
            directory_version: self.endpoints.version,
            latencies: latencies.collect(),
        };
        self.latency_age += 1;
        if LATENCY_HEARTBEATS <= self.latency_age {
            self.latency_age = 0;
            self.lines.values_mut().for_each(|it| it.answers.reset());
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
                if let Some(news) = it.configuration {
                    self.adopted.adopt(news);
                }
                if let Some(update) = it.directory {
                    let zone = self.options.zone.clone();
                    self.endpoints.update(update, &zone, now);
                    self.pump_all(now);
                }
            }
            Message::NotLeader(hint) => {
                self.unanswered_heartbeats = 0;
                self.client.set_leader(hint);
                self.heartbeat_at_ms = self.heartbeat_at_ms.min(now.mono_ms + HEARTBEAT_MS / 5);
            }
            Message::EndpointLeaving(it) => self.endpoints.note_leaving(it.endpoint),
            Message::ConfigUpdate(it) => self.adopted.adopt_from_peer(it),
            Message::ConfigFetch(it) => {
                let update = Message::ConfigUpdate(self.adopted.current().clone());
                self.send(it.reply_to, update);
            }
            _ => (),
        }
    }

    fn on_request(&mut self, now: Now, token: u64, team: CompactString, request: CallerRequest) {
        let open = self.quicks.len() + self.polls.len() + self.operations;
        let request = match (self.check_room(open), request) {
            // A keyed request that cannot be served has its key looked up first.
            (busy, CallerRequest::Quick(it)) => {
                return self.on_quick(now, token, team, it, busy.err());
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
        self.operations += 1;
        let deadline_ms = now.mono_ms + u64::from(self.options.settings.operation_max_ms);
        self.client.call(now, operation, deadline_ms, ControlToken::Caller(token));
    }

    fn on_control(&mut self, now: Now, token: ControlToken, outcome: Outcome) {
        match token {
            ControlToken::Caller(token) => {
                self.operations -= 1;
                self.answer(token, caller_answer(outcome));
            }
            ControlToken::Poll(token) => self.on_poll_reply(now, token, outcome),
            ControlToken::Claim(key) => self.on_claim(now, key, outcome),
            ControlToken::Nobody => (),
        }
    }

    fn hold_poll(&mut self, now: Now, token: u64, query: Query, wait_ms: u32) {
        let until_ms = now.mono_ms + u64::from(wait_ms.min(self.options.settings.poll_max_ms));
        self.polls.insert(token, Poll { query, until_ms, ask_at_ms: Some(now.mono_ms) });
    }

    fn tick_polls(&mut self, now: Now) {
        let is_due = |it: &Poll| it.ask_at_ms.is_some_and(|at_ms| at_ms <= now.mono_ms);
        let due: Vec<_> =
            self.polls.iter().filter(|(_, it)| is_due(it)).map(|(token, _)| *token).collect();
        for token in due {
            let Some(poll) = self.polls.get_mut(&token) else {
                continue;
            };
            poll.ask_at_ms = None;
            let operation = Operation::Query(poll.query.clone());
            let deadline_ms = now.mono_ms + u64::from(self.options.settings.operation_max_ms);
            self.client.call(now, operation, deadline_ms, ControlToken::Poll(token));
        }
    }

    fn on_poll_reply(&mut self, now: Now, token: u64, outcome: Outcome) {
        let Some(poll) = self.polls.get_mut(&token) else {
            return;
        };
        let has_news = match &outcome {
            Ok(Reply::Document(text)) => tells_news(text),
            _ => true,
        };
        if has_news || poll.until_ms <= now.mono_ms + POLL_MS {
            self.polls.remove(&token);
            self.answer(token, caller_answer(outcome));
        } else {
            poll.ask_at_ms = Some(now.mono_ms + POLL_MS);
        }
    }

    /// Checks whether this entry takes anything at all.
    fn check_room(&self, open: usize) -> Result<(), Refusal> {
        if self.draining {
            return Err(refusal_until(
                ErrorKind::Draining,
                "this entry is stopping: ask another",
                100,
            ));
        }
        if self.adopted.revision() == Revision(0) {
            let detail = "this entry has no configuration yet";
            return Err(refusal_until(ErrorKind::NoEndpoint, detail, 1_000));
        }
        if self.options.settings.in_flight_max as usize <= open {
            return Err(refusal_until(
                ErrorKind::QueueFull,
                "this entry has its most requests open",
                200,
            ));
        }
        Ok(())
    }

    fn on_quick(
        &mut self,
        now: Now,
        token: u64,
        team: CompactString,
        quick: QuickRequest,
        no_room: Option<Refusal>,
    ) {
        if !quick.idempotent && quick.key.as_ref().is_none_or(|key| key.is_empty()) {
            let detail = "a request that is not idempotent needs an idempotency key";
            return self
                .answer(token, CallerAnswer::Refused(refusal(ErrorKind::BadRequest, detail)));
        }
        let refusal = match &no_room {
            Some(it) if quick.idempotent => Some(it.clone()),
            Some(_) => None,
            None => self.check_quick(&team, &quick).err(),
        };
        if let Some(it) = refusal {
            return self.answer(token, CallerAnswer::Refused(it));
        }
        if LOOKUPS_MAX <= self.quicks.len() && no_room.is_some() {
            // Not even its key can be looked up, so an earlier sending may have run.
            let detail =
                "too many requests are open to look up its key: send it again with the same key";
            let refusal = refusal_until(ErrorKind::OutcomeUnknown, detail, 500);
            return self.answer(token, CallerAnswer::Refused(refusal));
        }
        let key = self.admit(now, token, team, quick);
        if let Some(refusal) = no_room.or_else(|| self.check_busy(key).err()) {
            return self.refuse(now, key, refusal);
        }
        // Who arrives while others wait goes behind them.
        let Some(class) = self.quicks.get(key).map(|it| it.quick.class.clone()) else { return };
        let others_wait = self.lines.get(&class).is_some_and(|it| !it.queue.is_empty());
        if others_wait || !self.try_begin(now, key) {
            self.enqueue(now, key);
        }
    }

    fn admit(
        &mut self,
        now: Now,
        token: u64,
        team: CompactString,
        quick: QuickRequest,
    ) -> QuickKey {
        self.next_request += 1;
        let request = RequestId { boot: self.options.boot, number: self.next_request };
        let deadline_ms = now.mono_ms + u64::from(quick.deadline_ms);
        *self.by_team.entry(team.clone()).or_insert(0) += 1;
        let digest = digest_of(&[quick.class.as_bytes(), quick.path.as_bytes(), &quick.body]);
        let key = self.quicks.insert(Quick {
            token: Some(token),
            request,
            team,
            quick: Arc::new(quick),
            digest,
            arrived_ms: now.mono_ms,
            deadline_ms,
            stage: Stage::Waiting,
            attempts: Vec::new(),
            attempts_made: 0,
            claim_attempt: 0,
            tried: Vec::new(),
            may_have_run: false,
            last_refusal: None,
            error_answer: None,
        });
        self.by_request.insert(request, key);
        self.timers.insert((deadline_ms, key));
        key
    }

    /// Checks whether a request admitted a moment ago can be served now.
    fn check_busy(&self, key: QuickKey) -> Result<(), Refusal> {
        let Some(quick) = self.quicks.get(key) else { return Ok(()) };
        let open = self.by_team.get(&quick.team).copied().unwrap_or(0);
        let most = self.adopted.team(&quick.team).map_or(0, |it| it.requests_in_flight_max);
        if most < open {
            let detail =
                format_compact!("team {} has {most} requests open here, its most", quick.team);
            return Err(refusal_until(ErrorKind::TeamShareExceeded, detail, 100));
        }
        if self.endpoints.capacity_of(&quick.quick.class).0 == 0 {
            let detail = format_compact!("class {} has no endpoint now", quick.quick.class);
            return Err(refusal_until(ErrorKind::NoEndpoint, detail, 1_000));
        }
        Ok(())
    }

    fn check_quick(&self, team: &str, it: &QuickRequest) -> Result<(), Refusal> {
        if self.adopted.team(team).is_none() {
            let detail = format_compact!("no team is named {team}");
            return Err(refusal(ErrorKind::UnknownTeam, detail));
        }
        let Some(class) = self.adopted.class(&it.class) else {
            return Err(refusal(
                ErrorKind::UnknownClass,
                format_compact!("no class is named {}", it.class),
            ));
        };
        if class.kind != ClassKind::LatencyCritical {
            let detail = format_compact!(
                "class {} is {}; quick requests need latency_critical",
                it.class,
                class.kind
            );
            return Err(refusal(ErrorKind::WrongClassKind, detail));
        }
        if it.deadline_ms == 0 || class.deadline_max_ms < it.deadline_ms {
            let detail = format_compact!(
                "deadline_ms is {}, out of range 1 to {}",
                it.deadline_ms,
                class.deadline_max_ms
            );
            return Err(refusal(ErrorKind::DeadlineOutOfRange, detail));
        }
        Ok(())
    }

    /// Lets a request wait for a free endpoint, unless it is known that it would wait too long.
    fn enqueue(&mut self, now: Now, key: QuickKey) {
        let Some(quick) = self.quicks.get(key) else {
            return;
        };
        let class = quick.quick.class.clone();
        let team = quick.team.clone();
        let waiting = Waiting { key, deadline_ms: quick.deadline_ms };
        let answer_ms = self.endpoints.answer_ms_of(&class);
        let (_, slots) = self.endpoints.capacity_of(&class);
        let len_max = self.options.settings.queue_max as usize;
        let queued = self.lines.get(&class).map_or(0, |it| it.queue.len());
        let wait_ms = admission::expected_wait_ms(queued, slots, answer_ms);
        if quick.left_ms(now) <= wait_ms + answer_ms as u64 {
            let detail =
                format_compact!("{queued} requests are ahead, about {wait_ms} ms of waiting");
            return self.refuse(
                now,
                key,
                refusal_until(ErrorKind::WouldMissDeadline, detail, wait_ms.max(50)),
            );
        }
        let line = line_of(&mut self.lines, &class);
        match line.queue.push(&team, waiting, len_max) {
            Ok(None) => (),
            Ok(Some(displaced)) => {
                let detail = "the queue is full, and this team fills more than its share";
                let refusal = refusal_until(ErrorKind::TeamShareExceeded, detail, wait_ms.max(50));
                self.refuse(now, displaced.key, refusal);
            }
            Err(rejection) => {
                let kind = match rejection {
                    Rejection::QueueFull => ErrorKind::QueueFull,
                    Rejection::TeamShare => ErrorKind::TeamShareExceeded,
                };
                let detail =
                    format_compact!("{queued} requests of class {class} wait here already");
                return self.refuse(now, key, refusal_until(kind, detail, wait_ms.max(50)));
            }
        }
        self.schedule_drop(now, key);
    }

    /// Looks at a waiting request again when it can no longer be answered in time.
    fn schedule_drop(&mut self, now: Now, key: QuickKey) {
        let Some(quick) = self.quicks.get(key) else {
            return;
        };
        let answer_ms = self.endpoints.answer_ms_of(&quick.quick.class) as u64;
        let at_ms = quick.deadline_ms.saturating_sub(answer_ms).max(now.mono_ms + 1);
        self.timers.insert((at_ms, key));
    }

    /// Sends a request to an endpoint, or claims its key first; returns false where no endpoint
    /// takes it now.
    pub(super) fn try_begin(&mut self, now: Now, key: QuickKey) -> bool {
        let Some(quick) = self.quicks.get_mut(key) else {
            return true;
        };
        let class = quick.quick.class.clone();
        let chosen = self.endpoints.choose(&class, &quick.tried, now, &mut self.random);
        // Where every endpoint was tried, the first ones may have recovered.
        let chosen = match chosen {
            None if !quick.tried.is_empty() => {
                self.endpoints.choose(&class, &[], now, &mut self.random)
            }
            it => it,
        };
        let Some(endpoint) = chosen else { return false };
        self.endpoints.note_sent(endpoint);
        if quick.is_idempotent() {
            self.send_attempt(now, key, endpoint);
        } else {
            self.claim(now, key, endpoint);
        }
        true
    }

    /// Sends one attempt to an endpoint already counted.
    pub(super) fn send_attempt(&mut self, now: Now, key: QuickKey, endpoint: EndpointKey) {
        let (Some(quick), Some(target)) = (self.quicks.get_mut(key), self.endpoints.get(endpoint))
        else {
            return;
        };
        quick.attempts_made += 1;
        // A claimed attempt bears the claim's number, by which others may ask about it.
        let number = if quick.is_idempotent() { quick.attempts_made } else { quick.claim_attempt };
        quick.attempts.push(Attempt {
            number,
            endpoint,
            endpoint_id: target.id,
            sent_ms: now.mono_ms,
        });
        let left_ms = quick.left_ms(now);
        let usual_ms = target.answer_time.get_ms() as u64;
        // An attempt that takes several times the usual is worth a second one, while there is
        // time left for it to be answered.
        let wait_ms = (usual_ms * 6).max(ATTEMPT_MIN_MS).min((left_ms / 2).max(ATTEMPT_MIN_MS));
        let act_at_ms = now.mono_ms + wait_ms;
        quick.stage = Stage::InFlight { act_at_ms };
        let execute = Execute {
            request: quick.request,
            attempt: number,
            endpoint: target.id,
            reply_to: self.options.address,
            team: quick.team.clone(),
            class: quick.quick.class.clone(),
            path: quick.quick.path.clone(),
            deadline_ms: left_ms.min(u32::MAX.into()) as u32,
            idempotent: quick.is_idempotent(),
            body: serde_bytes::ByteBuf::from(quick.quick.body.clone()),
        };
        let to = target.agent;
        self.timers.insert((act_at_ms, key));
        self.send(to, Message::Execute(execute));
    }

    /// Looks at a request again at a time.
    pub(super) fn schedule(&mut self, at_ms: u64, key: QuickKey) {
        self.timers.insert((at_ms, key));
    }

    /// Does what is due for a request.
    fn act(&mut self, now: Now, key: QuickKey) {
        let Some(quick) = self.quicks.get(key) else {
            return;
        };
        if quick.deadline_ms <= now.mono_ms {
            return self.on_deadline(now, key);
        }
        match quick.stage {
            Stage::Waiting => {
                let class = quick.quick.class.clone();
                let answer_ms = self.endpoints.answer_ms_of(&class) as u64;
                if quick.left_ms(now) <= answer_ms {
                    let detail = "it waited until too little time was left";
                    self.refuse(now, key, refusal_until(ErrorKind::WouldMissDeadline, detail, 100));
                } else {
                    self.pump(now, &class);
                    self.schedule_drop(now, key);
                }
            }
            Stage::Following { look_at_ms, .. } if look_at_ms <= now.mono_ms => {
                self.look_at_claim(now, key)
            }
            Stage::InFlight { act_at_ms } if act_at_ms <= now.mono_ms && quick.is_idempotent() => {
                self.hedge(now, key)
            }
            Stage::InFlight { act_at_ms } if act_at_ms <= now.mono_ms => self.ask_own(now, key),
            _ => (),
        }
    }

    /// Makes another attempt beside one that is slow to answer.
    fn hedge(&mut self, now: Now, key: QuickKey) {
        let Some(quick) = self.quicks.get_mut(key) else {
            return;
        };
        quick.may_have_run = true;
        let slow: Vec<_> = quick.attempts.iter().map(|it| (it.endpoint, it.endpoint_id)).collect();
        if quick.attempts_made < self.options.settings.attempts_max && self.budget.try_spend() {
            quick.tried.extend(slow.iter().map(|(_, id)| *id));
            self.metrics.retried(RetryReason::NoAnswer);
            for (endpoint, _) in slow {
                self.note_failure(now, endpoint);
            }
            if self.try_begin(now, key) {
                return;
            }
        }
        if let Some(quick) = self.quicks.get_mut(key) {
            quick.stage = Stage::InFlight { act_at_ms: quick.deadline_ms };
        }
    }

    fn on_deadline(&mut self, now: Now, key: QuickKey) {
        let Some(quick) = self.quicks.get_mut(key) else {
            return;
        };
        match quick.stage {
            Stage::Waiting => {
                let detail = "its deadline passed while it waited";
                self.refuse(now, key, refusal_until(ErrorKind::DeadlineExpiredQueued, detail, 100));
            }
            Stage::InFlight { .. } if quick.is_idempotent() => {
                self.refuse(
                    now,
                    key,
                    refusal(ErrorKind::AnswerLate, "no answer arrived by its deadline"),
                );
            }
            Stage::Checking { .. } => {
                let detail = "its key could not be looked up in time";
                self.refuse(now, key, refusal_until(ErrorKind::ControlUnavailable, detail, 500));
            }
            Stage::Following { .. } => {
                let detail = "an earlier request with this key has no outcome yet";
                self.refuse(now, key, refusal_until(ErrorKind::ClaimInProgress, detail, 1_000));
            }
            Stage::Claiming { .. } | Stage::InFlight { .. } => {
                let sent = matches!(quick.stage, Stage::InFlight { .. });
                // The caller is told now; the claim is followed, so that a resend learns more.
                quick.deadline_ms = now.mono_ms + FOLLOW_UNKNOWN_MS;
                self.timers.insert((quick.deadline_ms, key));
                let Some(token) = quick.token.take() else {
                    return self.give_up_following(now, key);
                };
                let refusal = match sent {
                    true => refusal(
                        ErrorKind::OutcomeUnknown,
                        "it was sent and no answer arrived by its deadline",
                    ),
                    false => refusal(
                        ErrorKind::ControlUnavailable,
                        "its key could not be claimed in time",
                    ),
                };
                self.answer(token, CallerAnswer::Refused(refusal));
            }
        }
    }

    fn on_link_lost(&mut self, now: Now, peer: SocketAddr) {
        let endpoints = &self.endpoints;
        let at_peer = |it: &Attempt| endpoints.get(it.endpoint).is_some_and(|it| it.agent == peer);
        let affected = self
            .quicks
            .iter()
            .filter(|(_, it)| it.attempts.iter().any(at_peer))
            .map(|(key, _)| key);
        let affected: Vec<_> = affected.collect();
        for key in affected {
            // What was sent may be lost: no reason to wait for the usual time.
            if let Some(quick) = self.quicks.get_mut(key)
                && let Stage::InFlight { act_at_ms } = &mut quick.stage
            {
                *act_at_ms = now.mono_ms;
                self.timers.insert((now.mono_ms, key));
            }
        }
    }

    fn on_execute_reply(&mut self, now: Now, it: ExecuteReply) {
        if let Some(key) = self.endpoints.key_of(it.endpoint)
            && let Some(endpoint) = self.endpoints.get_mut(key)
        {
            endpoint.note_load(it.load, now);
        }
        if let Some(key) = self.asked.remove(&(it.request, it.attempt)) {
            return self.on_foreign_outcome(now, key, it);
        }
        let found = self.by_request.get(&it.request).copied();
        let Some((key, quick)) = found.and_then(|key| Some((key, self.quicks.get_mut(key)?)))
        else {
            let own =
                it.request.boot == self.options.boot && it.request.number <= self.next_request;
            return self.metrics.answer_dropped(if own { Dropped::Late } else { Dropped::Foreign });
        };
        let position = quick
            .attempts
            .iter()
            .position(|at| at.number == it.attempt && at.endpoint_id == it.endpoint);
        let Some(position) = position else {
            return self.metrics.answer_dropped(Dropped::Late);
        };
        if it.outcome == ExecuteOutcome::Running {
            quick.stage = Stage::InFlight { act_at_ms: now.mono_ms + ASK_MS };
            self.timers.insert((now.mono_ms + ASK_MS, key));
            return;
        }
        let attempt = quick.attempts.remove(position);
        self.endpoints.note_ended(attempt.endpoint);
        self.on_outcome(now, key, attempt, it.outcome);
    }

    fn on_outcome(&mut self, now: Now, key: QuickKey, attempt: Attempt, outcome: ExecuteOutcome) {
        match outcome {
            ExecuteOutcome::Answered(it) if checksum(&it.body) != it.checksum => {
                self.metrics.answer_dropped(Dropped::Damaged);
                self.on_failed(now, key, attempt, "its answer arrived damaged");
            }
            ExecuteOutcome::Answered(it) => self.on_answered(now, key, attempt, it),
            ExecuteOutcome::Failed(why) => self.on_failed(now, key, attempt, &why),
            ExecuteOutcome::Refused(kind) => {
                if reason_of_refusal(kind) != RetryReason::Busy {
                    self.endpoints.note_leaving(attempt.endpoint_id);
                }
                if let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) {
                    endpoint.ejection.note_refused(now.mono_ms);
                }
                if let Some(quick) = self.quicks.get_mut(key) {
                    quick.last_refusal = Some(kind);
                }
                self.retry(now, key, attempt.endpoint_id, reason_of_refusal(kind));
            }
            ExecuteOutcome::NotSeen => {
                self.retry(now, key, attempt.endpoint_id, RetryReason::NotSeen)
            }
            ExecuteOutcome::Running => (),
        }
    }

    fn on_answered(&mut self, now: Now, key: QuickKey, attempt: Attempt, it: Answer) {
        let answer_ms = now.mono_ms.saturating_sub(attempt.sent_ms);
        let is_error = 500 <= it.status;
        if let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) {
            endpoint.answer_time.observe(answer_ms as f64);
            if !is_error {
                endpoint.ejection.note_success();
            }
        }
        if is_error {
            self.note_failure(now, attempt.endpoint);
        } else {
            self.budget.earn();
        }
        let Some(quick) = self.quicks.get_mut(key) else { return };
        if is_error && quick.is_idempotent() {
            // Another endpoint may do better; if none does, the caller gets this answer.
            quick.error_answer = Some(it);
            return self.retry(now, key, attempt.endpoint_id, RetryReason::Failed);
        }
        if !quick.is_idempotent() {
            self.settle_done(now, key, &it);
        }
        self.pass_on(now, key, it);
    }

    /// Answers the caller with an endpoint's answer.
    fn pass_on(&mut self, now: Now, key: QuickKey, it: Answer) {
        let Some(quick) = self.quicks.get(key) else { return };
        let total_ms = now.mono_ms.saturating_sub(quick.arrived_ms);
        let attempts = quick.attempts_made;
        let class = quick.quick.class.clone();
        self.metrics.answered(&class, total_ms as f64 / 1_000.0);
        line_of(&mut self.lines, &class).answers.saturating_record(total_ms.max(1));
        let answer = CallerAnswer::Quick {
            status: it.status,
            content_type: it.content_type,
            body: it.body.into_vec(),
            attempts,
        };
        self.finish(now, key, answer);
    }

    fn on_failed(&mut self, now: Now, key: QuickKey, attempt: Attempt, why: &str) {
        self.note_failure(now, attempt.endpoint);
        let Some(quick) = self.quicks.get_mut(key) else {
            return;
        };
        quick.may_have_run = true;
        if quick.is_idempotent() {
            return self.retry(now, key, attempt.endpoint_id, RetryReason::Failed);
        }
        let detail = format_compact!("the endpoint failed while it ran: {why}");
        self.settle(now, key, ClaimOutcome::Unknown, ControlToken::Nobody);
        self.refuse(now, key, refusal(ErrorKind::OutcomeUnknown, detail));
    }

    fn note_failure(&mut self, now: Now, endpoint: EndpointKey) {
        let Some(class) = self.endpoints.get(endpoint).map(|it| it.class.clone()) else {
            return;
        };
        let out_permille = self.endpoints.out_permille(&class, endpoint, now);
        if let Some(it) = self.endpoints.get_mut(endpoint) {
            let was_out = it.ejection.is_out();
            it.ejection.note_failure(now.mono_ms, out_permille);
            if it.ejection.is_out() && !was_out {
                self.metrics.ejections.inc();
            }
        }
    }

    /// Makes another attempt, if budget and time allow.
    pub(super) fn retry(
        &mut self,
        now: Now,
        key: QuickKey,
        failed: EndpointId,
        reason: RetryReason,
    ) {
        let Some(quick) = self.quicks.get_mut(key) else {
            return;
        };
        quick.tried.push(failed);
        if !quick.attempts.is_empty() {
            return;
        }
        if quick.token.is_none() {
            // Its caller was told already; nothing new is begun for it.
            return self.give_up(now, key, ErrorKind::DeadlineExpiredQueued);
        }
        if self.options.settings.attempts_max <= quick.attempts_made {
            return self.give_up(now, key, ErrorKind::AttemptsExhausted);
        }
        if !self.budget.try_spend() {
            return self.give_up(now, key, ErrorKind::RetryBudgetExhausted);
        }
        self.metrics.retried(reason);
        quick.stage = Stage::Waiting;
        if self.endpoints.capacity_of(&quick.quick.class).0 == 0 {
            self.give_up(now, key, ErrorKind::NoEndpoint)
        } else if !self.try_begin(now, key) {
            self.enqueue(now, key);
        }
    }

    /// Gives the final answer to a request that is not tried again.
    fn give_up(&mut self, now: Now, key: QuickKey, kind: ErrorKind) {
        let Some(quick) = self.quicks.get(key) else {
            return;
        };
        let tried = quick.attempts_made;
        let last = quick
            .last_refusal
            .map(|it| format_compact!(", the last refused as {it}"))
            .unwrap_or_default();
        let detail = format_compact!("{tried} attempts were made{last}");
        let refusal = match quick.may_have_run {
            true => refusal_until(ErrorKind::EndpointFailed, detail, 500),
            false => refusal_until(kind, detail, 500),
        };
        self.refuse(now, key, refusal);
    }

    /// Answers with a refusal, and settles a claim of a request that did not run.
    ///
    /// "Not run" must be true of the idempotency key, not only of this sending: before it is said
    /// of a key, its claim is settled, or looked up where this request does not hold it.
    pub(super) fn refuse(&mut self, now: Now, key: QuickKey, refusal: Refusal) {
        let Some(quick) = self.quicks.get(key) else { return };
        if let Some(it) = quick.error_answer.clone() {
            return self.pass_on(now, key, it);
        }
        let says_not_run = answer_of(refusal.kind).ran == Ran::No;
        let is_checked = matches!(quick.stage, Stage::Checking { .. });
        if says_not_run && !quick.is_idempotent() && !is_checked {
            return self.check_key(now, key, refusal);
        }
        self.finish(now, key, CallerAnswer::Refused(refusal));
    }

    /// Ends a request, and lets the next one of its class have its place.
    pub(super) fn finish(&mut self, now: Now, key: QuickKey, answer: CallerAnswer) {
        self.leave_stage(key);
        let Some(quick) = self.quicks.remove(key) else {
            return;
        };
        self.by_request.remove(&quick.request);
        if let Some(it) = self.by_team.get_mut(&quick.team) {
            *it -= 1;
            if *it == 0 {
                self.by_team.remove(&quick.team);
            }
        }
        for it in &quick.attempts {
            self.endpoints.note_ended(it.endpoint);
        }
        let class = &quick.quick.class;
        if let Some(token) = quick.token {
            self.answer(token, answer);
        }
        self.pump(now, class);
    }

    /// Gives back what a request holds in its stage: its place in the queue, or on an endpoint.
    pub(super) fn leave_stage(&mut self, key: QuickKey) {
        let Some(quick) = self.quicks.get(key) else { return };
        match quick.stage {
            Stage::Claiming { endpoint } => self.endpoints.note_ended(endpoint),
            Stage::Waiting => {
                if let Some(line) = self.lines.get_mut(&quick.quick.class) {
                    line.queue.remove(key);
                }
            }
            _ => (),
        }
    }

    /// Begins waiting requests of a class as far as endpoints take them.
    pub(super) fn pump(&mut self, now: Now, class: &str) {
        loop {
            let Some(next) = self.lines.get_mut(class).and_then(|it| it.queue.pop()) else {
                return;
            };
            if !self.try_begin(now, next.key) {
                return self.enqueue_again(next);
            }
        }
    }

    fn pump_all(&mut self, now: Now) {
        let classes: Vec<_> = self
            .lines
            .iter()
            .filter(|(_, it)| !it.queue.is_empty())
            .map(|(class, _)| class.clone())
            .collect();
        for it in classes {
            self.pump(now, &it);
        }
    }

    /// Puts back what was taken from its queue a moment ago.
    fn enqueue_again(&mut self, it: Waiting<QuickKey>) {
        let Some(quick) = self.quicks.get(it.key) else {
            return;
        };
        let team = quick.team.clone();
        line_of(&mut self.lines, &quick.quick.class).queue.unpop(&team, it);
    }
}

fn line_of<'a>(
    lines: &'a mut BTreeMap<CompactString, ClassLine>,
    class: &str,
) -> &'a mut ClassLine {
    lines.entry(class.into()).or_insert_with(|| ClassLine {
        queue: FairQueue::new(),
        answers: Histogram::new_with_bounds(1, 600_000, 2)
            .expect("the bounds are constant and valid"),
    })
}

fn caller_answer(outcome: Outcome) -> CallerAnswer {
    match outcome {
        Ok(it) => CallerAnswer::Done(it),
        Err(it) => CallerAnswer::Refused(it),
    }
}

/// Returns whether a document read by a poll holds what the caller waits for.
fn tells_news(text: &str) -> bool {
    let Ok(document) = serde_json::from_str::<serde_json::Value>(text) else {
        return true;
    };
    let has_events = document["events"].as_array().is_some_and(|it| !it.is_empty());
    has_events || document["finished"] == true
}
