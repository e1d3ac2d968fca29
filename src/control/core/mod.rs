//! The state machine of one control-group member; it does no I/O.

mod event_logging;
mod intake;
mod membership_manager;
mod operations;
mod reports;
mod source_addresses;
mod submission_memory;
mod unknown_cancels;
mod workflows;

use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

pub use self::{intake::IntakeCounts, source_addresses::SourceAddresses};
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
    util::GroupId,
};

/// Interval at which the leader checks for expired leases and makes plans.
const LEADER_TICK_MS: u64 = 25;

/// Interval at which the leader removes jobs and claims whose retention time has passed.
const EXPIRE_INTERVAL_MS: u64 = 30_000;

/// Highest number of proposals under way; further ones are refused.
const PROPOSALS_MAX: usize = 20_000;

/// Highest number of events returned by one read of a watch.
const WATCH_READ_MAX: usize = 100;

#[derive(Clone, Debug)]
pub struct ControlOptions {
    pub group_id: GroupId,
    pub member: MemberId,
    /// Address at which other processes reach this one.
    pub address: SocketAddr,
    pub control_addresses: Vec<SocketAddr>,
    pub settings: ControlSettings,
    /// Random number of this process run; seeds elections and request ids.
    pub boot: u64,
    /// Options of the workflow dispatcher; `None` if this group dispatches no workflows.
    pub dispatch: Option<DispatchOptions>,
    /// Number of voters that the group maintains itself; 0 leaves the membership to operators.
    pub target_voter_count: usize,
}

/// Input of a member.
#[derive(Clone, Debug)]
pub enum Input {
    Message {
        from: SocketAddr,
        message: Message,
    },
    /// An operation requested within this process, answered by [`Effect::Answer`].
    Operation {
        token: u64,
        operation: Operation,
        deadline_ms: u64,
    },
    Persisted {
        number: u64,
    },
    DiskFull(bool),
    /// Whether disk writes fail.
    DiskWritesRefused(bool),
    /// The control addresses of changed settings.
    ControlAddresses(Vec<SocketAddr>),
    Tick,
    /// A planned stop: the member transfers its leadership.
    Stop,
}

/// An action that the caller carries out for the member.
#[derive(Clone, Debug)]
pub enum Effect {
    Send { to: SocketAddr, message: Message },
    Write { number: u64, writes: Vec<DiskWrite> },
    Answer { token: u64, outcome: ReplyResult },
}

/// Destination of the reply to an operation.
#[derive(Clone, Copy, Debug)]
enum ReplyTo {
    Link {
        address: SocketAddr,
        id: u64,
    },
    Local {
        token: u64,
    },
    /// The leader's own proposal; no reply is sent.
    NoReply,
}

/// State that exists only while this member leads.
pub(super) struct LeaderState {
    pub since_ms: u64,
    pub sessions: Sessions,
    pub directory: Directory,
    pub scheduler: Scheduler,
    pub dispatcher: Option<Dispatcher>,
    /// Task events proposed and not yet applied, so that each is proposed only once.
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
    /// Term and destination of replies that wait for a log entry, by its index.
    pending_replies: BTreeMap<u64, (u64, ReplyTo)>,
    source_addresses: SourceAddresses,
    /// Term and destination of workflow answers that wait for a log entry, by its index.
    pending_calls: BTreeMap<u64, (u64, Vec<workflows::CallReplyTo>)>,
    /// Requests that wait for their turn, while overload control is on.
    intake: intake::Intake,
    submission_memory: submission_memory::SubmissionMemory,
    unknown_cancels: unknown_cancels::UnknownCancels,
    membership_manager: membership_manager::MembershipManager,
    client: ControlClient<u64>,
    disk_full: bool,
    disk_writes_refused: bool,
    effects: Vec<Effect>,
}

impl ControlCore {
    /// Makes a member from the state recovered from disk.
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
        let mut raft_options = RaftOptions {
            election_timeout_ms: settings.election_timeout_ms.into(),
            heartbeat_ms: settings.heartbeat_ms.into(),
            seed: options.boot,
            ..RaftOptions::default()
        };
        if let Some(it) = &options.dispatch {
            raft_options.snapshot_bytes = it.memory.log_max_bytes;
            raft_options.retained_bytes = it.memory.log_max_bytes / 2;
        }
        let raft = Raft::new(options.member, recovered, raft_options, now);
        let client =
            ControlClient::new(options.address, options.control_addresses.clone(), options.boot);
        let mut res = ControlCore {
            state: State::new(options.group_id),
            options,
            raft,
            leader_state: None,
            pending_replies: BTreeMap::new(),
            source_addresses: SourceAddresses::default(),
            pending_calls: BTreeMap::new(),
            intake: intake::Intake::default(),
            submission_memory: submission_memory::SubmissionMemory::default(),
            unknown_cancels: unknown_cancels::UnknownCancels::default(),
            membership_manager: membership_manager::MembershipManager::default(),
            client,
            disk_full: false,
            disk_writes_refused: false,
            effects: Vec::new(),
        };
        res.apply(now)?;
        Ok(res)
    }

    /// Returns the configuration revision that this member has applied.
    pub fn in_force(&self) -> Revision {
        self.state.configuration.revision
    }

    pub fn state(&self) -> &State {
        &self.state
    }

    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// Returns the leader's scheduler, while this member leads.
    pub fn scheduler(&self) -> Option<&Scheduler> {
        self.leader_state.as_ref().map(|it| &it.scheduler)
    }

    /// Returns whether this member can serve requests: it is up to date and knows the leader.
    pub fn is_ready(&self) -> bool {
        self.raft.leader().is_some() && self.raft.has_caught_up()
    }

    /// Returns when the next [`Input::Tick`] is due.
    pub fn next_tick_ms(&self) -> u64 {
        let raft_ms = self.raft.next_tick_ms();
        let leader_ms = self.leader_state.as_ref().map_or(u64::MAX, |it| it.tick_at_ms);
        raft_ms
            .min(leader_ms)
            .min(self.membership_tick_ms())
            .min(self.intake.next_turn_ms(self.pending_calls.len()))
            .min(self.unknown_cancels.next_batch_ms())
            .min(self.client.next_tick_ms().unwrap_or(u64::MAX))
    }

    /// Takes the effects that have accumulated since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Processes one input.
    ///
    /// # Errors
    ///
    /// Returns an error if the state cannot be encoded or decoded; the member must then stop.
    pub fn handle(&mut self, now: Now, input: Input) -> Result<()> {
        match input {
            Input::Message { from, message } => self.on_message(now, from, message),
            Input::Operation { token, operation, deadline_ms } => {
                self.handle_operation(now, operation, ReplyTo::Local { token }, deadline_ms)
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

    /// Transfers leadership when disk writes fail: a leader without its disk cannot count itself
    /// towards a quorum for new entries.
    fn on_disk_writes_refused(&mut self, now: Now, are_refused: bool) {
        self.disk_writes_refused = are_refused;
        if are_refused {
            self.raft.transfer_leadership(now);
        }
    }

    /// Replicates and applies entries after an input, and collects the resulting effects.
    fn finish_turn(&mut self, now: Now) -> Result<()> {
        self.raft.flush(now);
        self.apply(now)?;
        self.update_leader_state(now);
        self.run_dispatcher(now);
        let snapshot_entries = u64::from(self.options.settings.snapshot_entries);
        if self.raft.snapshot_index() + snapshot_entries < self.state.index()
            || self.raft.needs_snapshot()
        {
            // Encoding blocks the core's thread; see docs/CAPACITY.md for its cost.
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
        // A joining learner does not know the membership yet, so it replies to the source address.
        self.raft.address_of(id).or_else(|| self.source_addresses.get(id))
    }

    fn tick(&mut self, now: Now) {
        self.raft.tick(now);
        for (token, outcome) in self.client.tick(now) {
            self.answer(ReplyTo::Local { token }, outcome);
        }
        if self.raft.has_lease(now) {
            self.run_leader_tasks(now);
        }
        self.tick_membership(now);
        self.work_on_calls(now);
        if let Some(it) = &mut self.leader_state {
            it.tick_at_ms = now.mono_ms + LEADER_TICK_MS;
        }
    }

    /// Ends expired sessions, and proposes plans and expiries.
    fn run_leader_tasks(&mut self, now: Now) {
        let Some(leader_state) = &mut self.leader_state else { return };
        leader_state.sessions.remove_silent_entries(now);
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
            it.expire_at_ms = now.mono_ms + EXPIRE_INTERVAL_MS;
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
                match self.raft.address_of(it.from) {
                    Some(_) => self.source_addresses.forget(it.from),
                    None => self.source_addresses.note(it.from, from),
                }
                self.raft.step(now, it);
            }
            Message::ControlRequest(it) => {
                let to = ReplyTo::Link { address: it.reply_to, id: it.id };
                self.handle_operation(now, it.operation, to, u64::MAX);
            }
            Message::ControlReply(it) => {
                if let Some((token, outcome)) = self.client.on_reply(now, it) {
                    self.answer(ReplyTo::Local { token }, outcome);
                }
            }
            Message::AgentHeartbeat(it) => self.on_agent_heartbeat(now, it),
            Message::EntryHeartbeat(it) => self.on_entry_heartbeat(now, &it),
            Message::WorkflowCall(it) => self.on_workflow_call(now, it, u64::MAX),
            Message::TimedCall(it) => self.on_workflow_call(now, it.call, it.remaining_ms),
            Message::NodeReport(it) => self.on_node_report(now, it),
            Message::Join(it) => self.on_join(now, it),
            Message::ConfigFetch(it) => {
                let update = Message::ConfigUpdate(self.state.configuration.clone());
                self.effects.push(Effect::Send { to: it.reply_to, message: update });
            }
            _ => (),
        }
    }

    /// Applies committed entries and installed snapshots.
    fn apply(&mut self, now: Now) -> Result<()> {
        for it in self.raft.take_committed() {
            match it {
                Committed::Snapshot(it) => {
                    self.state = State::from_bytes(&it.data)?;
                    // The indexes refer to the replaced state. A leader installs no snapshot.
                    self.leader_state = None;
                }
                Committed::Entry(it) => self.apply_entry(now, &it),
            }
        }
        let has_caught_up = self.raft.has_caught_up();
        self.raft.set_in_force(if has_caught_up {
            self.state.configuration.revision
        } else {
            Revision(0)
        });
        Ok(())
    }

    fn apply_entry(&mut self, now: Now, entry: &Arc<LogEntry>) {
        let pending_reply = self.pending_replies.remove(&entry.index);
        let EntryBody::Command(command) = &entry.body else {
            self.state.advance_to(entry.index, entry.time_ms);
            if let Some((term, to)) = pending_reply
                && term == entry.term
            {
                self.answer(to, Ok(Reply::Done));
            }
            return;
        };
        if let Command::Workflow(it) = command {
            let outcome = self.apply_workflow(now, entry, it);
            match pending_reply {
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
        match pending_reply {
            Some((term, to)) if term == entry.term => self.answer(to, outcome),
            Some((_, to)) => self.answer_not_leader(to),
            None => (),
        }
    }

    /// Creates the leader state when this member starts to lead, and drops it afterwards.
    fn update_leader_state(&mut self, now: Now) {
        match (self.raft.is_leader(), self.leader_state.is_some()) {
            // The lease implies that all entries of earlier terms are applied.
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
                    sessions: Sessions::with_full_leases(
                        &self.state,
                        now,
                        lease_with_margin_ms(settings),
                    ),
                    directory: Directory::new(self.raft.term()),
                    scheduler: Scheduler::new(&self.state, scheduler),
                    dispatcher: self.options.dispatch.map(|it| {
                        Dispatcher::new(it, &self.state.workflows, self.raft.term(), now)
                    }),
                    proposed_events: HashSet::new(),
                    expire_at_ms: now.mono_ms + EXPIRE_INTERVAL_MS,
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
        if !self.raft.is_leader() {
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
    /// Updates sessions, pending task events and run-time estimates after a command was applied.
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
                if let (TaskEvent::Completed(completion), Ok(_)) = (&it.event, outcome)
                    && let Some(task) = state.jobs.task(it.task)
                {
                    self.scheduler.note_run(state, task, completion.run_ms);
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

/// Returns the reply to an operator who evacuated a zone or took it back into use.
fn reply_of(outcome: WorkflowOutcome) -> ReplyResult {
    match outcome {
        WorkflowOutcome::Stale => Err(refusal(
            ErrorKind::RevisionConflict,
            "other zones were taken out of use or back meanwhile: read the list and ask again",
        )),
        _ => Ok(Reply::Done),
    }
}

/// Returns how long the tasks of a lease granted now are not placed elsewhere.
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

/// Returns the task orders that follow from `changes`, to be sent before the next heartbeat.
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
        let agent = sessions.agents.get(&session).filter(|it| it.reconciled)?;
        let address = state.vms.by_session(session)?.session.as_ref()?.address;
        let orders = AgentHeartbeatReply {
            session,
            number: agent.last_number,
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
