//! One member of a control group, without its I/O.

mod event_logging;
mod membership_manager;
mod operations;
mod reports;
mod workflows;

use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

use crate::{
    control::{
        client::ControlClient,
        directory::Directory,
        dispatch::{DispatchOptions, Dispatcher},
        log::{Committed, DiskWrite, Raft, RaftOptions, RecoveredState},
        reconcile,
        scheduler::{Scheduler, SchedulerOptions},
        sessions::Sessions,
        state::{Change, ReplyResult, State},
    },
    prelude::*,
    schema::settings::ControlSettings,
    util::Place,
};

/// How often the leader looks for expired leases and makes plans.
const LEADER_TICK_MS: u64 = 25;

/// How often what was kept long enough is forgotten.
const EXPIRE_MS: u64 = 30_000;

/// Proposals under way before new ones are refused.
const PROPOSALS_MAX: usize = 20_000;

/// Events read from a watch at once.
const WATCH_READ_MAX: usize = 100;

/// What one member is told by its settings and identity.
#[derive(Clone, Debug)]
pub struct ControlOptions {
    pub group_id: Place,
    pub member: MemberId,
    /// Where other processes reach this one.
    pub address: SocketAddr,
    pub control_addresses: Vec<SocketAddr>,
    pub settings: ControlSettings,
    /// Random number of this process.
    pub boot: u64,
    /// How workflows are dispatched, where this group does.
    pub dispatch: Option<DispatchOptions>,
    /// Voters that the group keeps by itself; 0 leaves its membership to operators.
    pub target_voter_count: usize,
}

/// What a member is told.
#[derive(Clone, Debug)]
pub enum Input {
    Message {
        from: SocketAddr,
        message: Message,
    },
    /// An operation from this process's own edge, answered by [`Effect::Answer`].
    Operation {
        token: u64,
        operation: Operation,
        deadline_ms: u64,
    },
    Persisted {
        number: u64,
    },
    DiskFull(bool),
    /// The disk refuses what is written, or takes it again.
    DiskWritesRefused(bool),
    /// Other control addresses, from changed settings.
    ControlAddresses(Vec<SocketAddr>),
    Tick,
    /// A planned stop: leadership is handed over.
    Stop,
}

/// What a member wants done.
#[derive(Clone, Debug)]
pub enum Effect {
    Send { to: SocketAddr, message: Message },
    Write { number: u64, writes: Vec<DiskWrite> },
    Answer { token: u64, outcome: ReplyResult },
}

/// Whom the answer to an operation goes to.
#[derive(Clone, Copy, Debug)]
enum ReplyTo {
    Link {
        address: SocketAddr,
        id: u64,
    },
    Local {
        token: u64,
    },
    /// The leader's own proposal; nobody waits.
    NoReply,
}

/// What only a leader keeps.
pub(super) struct LeaderState {
    pub since_ms: u64,
    pub sessions: Sessions,
    pub directory: Directory,
    pub scheduler: Scheduler,
    pub dispatcher: Option<Dispatcher>,
    /// Events proposed and not applied, so that each is proposed once.
    proposed_events: HashSet<(TaskId, u32, std::mem::Discriminant<TaskEvent>)>,
    expire_at_ms: u64,
    tick_at_ms: u64,
}

/// One member of a control group.
pub struct ControlCore {
    pub(super) options: ControlOptions,
    pub(super) raft: Raft,
    pub(super) state: State,
    pub(super) leader_state: Option<LeaderState>,
    pending_replies: BTreeMap<u64, (u64, ReplyTo)>,
    /// Where members not in the membership known here were heard from.
    heard_from: BTreeMap<MemberId, SocketAddr>,
    /// Workflow calls that wait for their entry: its term, and whom to answer.
    pending_calls: BTreeMap<u64, (u64, workflows::CallReplyTo)>,
    membership_manager: membership_manager::MembershipManager,
    client: ControlClient<u64>,
    disk_full: bool,
    disk_writes_refused: bool,
    effects: Vec<Effect>,
}

impl ControlCore {
    /// Makes a member from what its disk kept.
    ///
    /// # Errors
    ///
    /// Returns an error when the snapshot cannot be decoded.
    pub fn new(
        options: ControlOptions,
        recovered: RecoveredState,
        now: Now,
    ) -> Result<ControlCore> {
        let settings = &options.settings;
        let raft_options = RaftOptions {
            election_timeout_ms: settings.election_timeout_ms.into(),
            heartbeat_ms: settings.heartbeat_ms.into(),
            seed: options.boot,
            ..RaftOptions::default()
        };
        let raft = Raft::new(options.member, recovered, raft_options, now);
        let client =
            ControlClient::new(options.address, options.control_addresses.clone(), options.boot);
        let mut res = ControlCore {
            state: State::new(options.group_id),
            options,
            raft,
            leader_state: None,
            pending_replies: BTreeMap::new(),
            heard_from: BTreeMap::new(),
            pending_calls: BTreeMap::new(),
            membership_manager: membership_manager::MembershipManager::default(),
            client,
            disk_full: false,
            disk_writes_refused: false,
            effects: Vec::new(),
        };
        res.apply(now)?;
        Ok(res)
    }

    /// Returns the configuration revision in force here.
    pub fn in_force(&self) -> Revision {
        self.state.configuration.revision
    }

    /// Returns the state applied so far.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the log.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// Returns the leader's scheduler, while this member leads.
    pub fn scheduler(&self) -> Option<&Scheduler> {
        self.leader_state.as_ref().map(|it| &it.scheduler)
    }

    /// Returns whether this member can answer: it is up to date, and leads or knows who does.
    pub fn is_ready(&self) -> bool {
        self.raft.leader().is_some() && self.raft.has_caught_up()
    }

    /// Returns when the next [`Input::Tick`] is due.
    pub fn next_tick_ms(&self) -> u64 {
        let raft_ms = self.raft.next_tick_ms();
        let leading_ms = self.leader_state.as_ref().map_or(u64::MAX, |it| it.tick_at_ms);
        raft_ms
            .min(leading_ms)
            .min(self.membership_tick_ms())
            .min(self.client.next_tick_ms().unwrap_or(u64::MAX))
    }

    /// Takes the effects of the inputs so far.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Takes in one input.
    ///
    /// # Errors
    ///
    /// Returns an error after which the member must stop: its state cannot be trusted.
    pub fn handle(&mut self, now: Now, input: Input) -> Result<()> {
        match input {
            Input::Message { from, message } => self.on_message(now, from, message),
            Input::Operation { token, operation, deadline_ms } => {
                self.operate(now, operation, ReplyTo::Local { token }, deadline_ms)
            }
            Input::Persisted { number } => self.raft.on_persisted(now, number),
            Input::DiskFull(it) => self.disk_full = it,
            Input::DiskWritesRefused(it) => self.on_disk_writes_refused(now, it),
            Input::ControlAddresses(it) => self.options.control_addresses = it,
            Input::Tick => self.tick(now),
            Input::Stop => self.raft.transfer_leadership(now),
        }
        self.finish_turn(now)
    }

    /// Lets a member lead whose disk takes writes: this one could not count itself for anything new.
    fn on_disk_writes_refused(&mut self, now: Now, refuses: bool) {
        self.disk_writes_refused = refuses;
        if refuses {
            self.raft.transfer_leadership(now);
        }
    }

    /// Replicates, applies and collects what the inputs of this turn led to.
    fn finish_turn(&mut self, now: Now) -> Result<()> {
        self.raft.flush(now);
        self.apply(now)?;
        self.follow_leadership(now);
        self.turn_dispatcher(now);
        let snapshot_entries = u64::from(self.options.settings.snapshot_entries);
        if self.raft.snapshot_index() + snapshot_entries < self.state.index()
            || self.raft.needs_snapshot()
        {
            // Encoding runs on the core's thread; docs/CAPACITY.md has what it costs.
            let data = self.state.to_bytes()?;
            self.raft.compact(data);
        }
        if let Some((number, writes)) = self.raft.take_writes(now) {
            self.effects.push(Effect::Write { number, writes });
        }
        for message in self.raft.take_messages() {
            if let Some(to) = self.address_of(message.to) {
                self.effects.push(Effect::Send { to, message: Message::Raft(message) });
            }
        }
        for (to, message) in self.client.take_messages() {
            self.effects.push(Effect::Send { to, message });
        }
        Ok(())
    }

    fn address_of(&self, id: MemberId) -> Option<SocketAddr> {
        // A learner that joins knows no membership yet, and answers whom it heard from.
        self.raft.address_of(id).or_else(|| self.heard_from.get(&id).copied())
    }

    fn tick(&mut self, now: Now) {
        self.raft.tick(now);
        for (token, outcome) in self.client.tick(now) {
            self.answer(ReplyTo::Local { token }, outcome);
        }
        if self.raft.has_lease(now) {
            self.lead(now);
        }
        self.tick_membership(now);
        if let Some(it) = &mut self.leader_state {
            it.tick_at_ms = now.mono_ms + LEADER_TICK_MS;
        }
    }

    /// Does what a leader does by itself.
    fn lead(&mut self, now: Now) {
        let Some(leader_state) = &mut self.leader_state else { return };
        leader_state.sessions.forget_silent_entries(now);
        let expired = leader_state.sessions.take_expired(now);
        let plan = leader_state.scheduler.plan(&self.state, now);
        let mut commands: Vec<Command> = expired
            .into_iter()
            .map(|session| {
                Command::CloseSession(CloseSessionCommand { session, reason: SessionEnd::Expired })
            })
            .collect();
        commands.extend(plan.starts.into_iter().map(Command::Start));
        commands.extend(plan.vm_flags.into_iter().map(Command::VmFlags));
        commands.extend(self.new_events(plan.events));
        if let Some(it) = &mut self.leader_state
            && it.expire_at_ms <= now.mono_ms
        {
            it.expire_at_ms = now.mono_ms + EXPIRE_MS;
            let settings = &self.options.settings;
            commands.push(Command::Expire(ExpireCommand {
                jobs_before_ms: now.wall_ms.saturating_sub(settings.job_retention_ms),
                claims_before_ms: now.wall_ms.saturating_sub(settings.claim_retention_ms),
            }));
        }
        for it in commands {
            self.propose(now, it, ReplyTo::NoReply);
        }
    }

    fn on_message(&mut self, now: Now, from: SocketAddr, message: Message) {
        match message {
            Message::Raft(it) => {
                self.heard_from.insert(it.from, from);
                self.raft.step(now, it);
            }
            Message::ControlRequest(it) => {
                let to = ReplyTo::Link { address: it.reply_to, id: it.id };
                self.operate(now, it.operation, to, u64::MAX);
            }
            Message::ControlReply(it) => {
                if let Some((token, outcome)) = self.client.on_reply(now, it) {
                    self.answer(ReplyTo::Local { token }, outcome);
                }
            }
            Message::AgentHeartbeat(it) => self.on_agent_heartbeat(now, it),
            Message::EntryHeartbeat(it) => self.on_entry_heartbeat(now, &it),
            Message::WorkflowCall(it) => self.on_workflow_call(now, it),
            Message::NodeReport(it) => self.on_node_report(now, it),
            Message::Join(it) => self.on_join(now, it),
            Message::ConfigFetch(it) => {
                let update = Message::ConfigUpdate(self.state.configuration.clone());
                self.effects.push(Effect::Send { to: it.reply_to, message: update });
            }
            _ => (),
        }
    }

    /// Applies what was committed.
    fn apply(&mut self, now: Now) -> Result<()> {
        for it in self.raft.take_committed() {
            match it {
                Committed::Snapshot(it) => {
                    self.state = State::from_bytes(&it.data)?;
                    // Indexes beside the old state are worth nothing; a leader installs none.
                    self.leader_state = None;
                }
                Committed::Entry(it) => self.apply_entry(now, &it),
            }
        }
        let is_shown = self.raft.has_caught_up();
        self.raft.set_in_force(if is_shown {
            self.state.configuration.revision
        } else {
            Revision(0)
        });
        Ok(())
    }

    fn apply_entry(&mut self, now: Now, entry: &Arc<LogEntry>) {
        let waiting = self.pending_replies.remove(&entry.index);
        let EntryBody::Command(command) = &entry.body else {
            self.state.advance_to(entry.index, entry.time_ms);
            if let Some((term, to)) = waiting
                && term == entry.term
            {
                self.answer(to, Ok(Reply::Done));
            }
            return;
        };
        if let Command::Workflow(it) = command {
            let outcome = self.apply_workflow(now, entry, it);
            match waiting {
                Some((term, to)) if term == entry.term => self.answer(to, reply_of(outcome)),
                Some((_, to)) => self.answer_not_leader(to),
                None => (),
            }
            return;
        }
        let mut changes = Vec::new();
        let outcome = self.state.apply(entry.index, entry.time_ms, command, &mut changes);
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.note_command(&self.state, &self.options.settings, command, &outcome, now);
            for it in &changes {
                leader_state.scheduler.note_change(&self.state, *it);
            }
            let orders = start_orders(&self.state, &changes, &leader_state.sessions);
            self.effects.extend(orders);
        }
        match waiting {
            Some((term, to)) if term == entry.term => self.answer(to, outcome),
            Some((_, to)) => self.answer_not_leader(to),
            None => (),
        }
    }

    /// Takes up and lays down what only a leader keeps.
    fn follow_leadership(&mut self, now: Now) {
        match (self.raft.is_leader(), self.leader_state.is_some()) {
            // Only once everything of earlier terms is applied is the state the leader's own.
            (true, false) if self.raft.has_lease(now) => {
                let settings = &self.options.settings;
                let scheduler = SchedulerOptions {
                    task_failures_max: settings.task_failures_max,
                    vm_failures_max: settings.vm_failures_max,
                    quarantine_ms: settings.quarantine_ms.into(),
                    ..SchedulerOptions::default()
                };
                self.leader_state = Some(LeaderState {
                    since_ms: now.mono_ms,
                    sessions: Sessions::take_over(&self.state, now, lease_with_margin_ms(settings)),
                    directory: Directory::new(self.raft.term()),
                    scheduler: Scheduler::new(&self.state, scheduler),
                    dispatcher: self.options.dispatch.map(|it| {
                        Dispatcher::new(it, &self.state.workflows, self.raft.term(), now)
                    }),
                    proposed_events: HashSet::new(),
                    expire_at_ms: now.mono_ms + EXPIRE_MS,
                    tick_at_ms: now.mono_ms,
                });
                tracing::info!(
                    event = "leadership_taken",
                    term = self.raft.term(),
                    index = self.state.index()
                );
            }
            (false, true) => {
                self.leader_state = None;
                tracing::info!(event = "leadership_lost", term = self.raft.term());
            }
            _ => (),
        }
        if !self.raft.is_leader() && !self.pending_calls.is_empty() {
            self.abandon_calls();
        }
        if !self.raft.is_leader() && !self.pending_replies.is_empty() {
            for (_, to) in std::mem::take(&mut self.pending_replies).into_values() {
                self.answer_not_leader(to);
            }
        }
    }
}

impl LeaderState {
    /// Keeps sessions and learned run times in step with a command just applied.
    fn note_command(
        &mut self,
        state: &State,
        settings: &ControlSettings,
        command: &Command,
        outcome: &ReplyResult,
        now: Now,
    ) {
        match (command, outcome) {
            (Command::OpenSession(_), Ok(Reply::SessionOpened(it))) => {
                let ended: Vec<_> = self
                    .sessions
                    .agents
                    .keys()
                    .filter(|id| state.vms.by_session(**id).is_none())
                    .copied()
                    .collect();
                for id in ended {
                    self.end_session(id);
                }
                self.sessions.open(it.session, now, lease_with_margin_ms(settings));
            }
            (Command::CloseSession(it), _) => self.end_session(it.session),
            (Command::TaskEvent(it), _) => {
                self.proposed_events.remove(&(
                    it.task,
                    it.incarnation,
                    std::mem::discriminant(&it.event),
                ));
                if let (TaskEvent::Completed(done), Ok(_)) = (&it.event, outcome)
                    && let Some(task) = state.jobs.task(it.task)
                {
                    self.scheduler.note_run(state, task, done.run_ms);
                }
            }
            _ => (),
        }
    }

    fn end_session(&mut self, id: SessionId) {
        self.sessions.agents.remove(&id);
        self.directory.remove_session(id);
    }
}

/// Returns what an operator is told of a change of zones.
fn reply_of(outcome: WorkflowOutcome) -> ReplyResult {
    match outcome {
        WorkflowOutcome::Stale => Err(refusal(
            ErrorKind::RevisionConflict,
            "other zones were taken out of use or back meanwhile: read the list and ask again",
        )),
        _ => Ok(Reply::Done),
    }
}

/// Returns how long a lease granted now keeps its tasks from being placed anew.
fn lease_with_margin_ms(settings: &ControlSettings) -> u64 {
    u64::from(settings.lease_ms) + u64::from(settings.lease_margin_ms)
}

fn heartbeat_reply(
    it: &AgentHeartbeat,
    lease_ms: u32,
    verdict: SessionVerdict,
    orders: Vec<TaskOrder>,
) -> AgentHeartbeatReply {
    AgentHeartbeatReply {
        session: it.session,
        number: it.number,
        sent_ms: it.sent_ms,
        lease_ms,
        verdict,
        orders,
        configuration: None,
    }
}

/// Returns the orders for tasks just placed, which do not wait for the next heartbeat.
fn start_orders(state: &State, changes: &[Change], sessions: &Sessions) -> Vec<Effect> {
    let mut by_session: BTreeMap<SessionId, Vec<TaskOrder>> = BTreeMap::new();
    for it in changes {
        let Change::Task(id) = it else { continue };
        let Some(task) = state.jobs.task(*id) else { continue };
        let action = match task.state {
            TaskState::Starting | TaskState::Resuming => reconcile::start_order(state, *id),
            TaskState::Checkpointing => Some(TaskOrder {
                task: *id,
                incarnation: task.incarnation,
                action: TaskAction::Checkpoint,
            }),
            TaskState::Stopping => Some(TaskOrder {
                task: *id,
                incarnation: task.incarnation,
                action: TaskAction::Stop,
            }),
            _ => None,
        };
        if let (Some(order), Some(placement)) = (action, task.placement) {
            by_session.entry(placement.session).or_default().push(order);
        }
    }
    let to_effect = |(session, orders): (SessionId, Vec<TaskOrder>)| {
        let seen = sessions.agents.get(&session).filter(|it| it.reconciled)?;
        let address = state.vms.by_session(session)?.session.as_ref()?.address;
        let orders = AgentHeartbeatReply {
            session,
            number: seen.number,
            sent_ms: 0,
            lease_ms: 0,
            verdict: SessionVerdict::Renewed,
            orders,
            configuration: None,
        };
        Some(Effect::Send { to: address, message: Message::AgentOrders(orders) })
    };
    by_session.into_iter().filter_map(to_effect).collect()
}
