//! Leader-based agreement on the order of commands.
//!
//! The published leader-based scheme (terms, votes, log matching) with four additions: a
//! pre-vote, so that a member back from a long silence disturbs nobody; a check of the quorum,
//! so that a cut-off leader steps down by itself; a lease, so that the leader answers reads and
//! renews agents' leases without a round trip; and writes that overlap with replication, where
//! a message that promises durability waits until the disk has said so.

mod election;
mod membership;
mod replication;
mod snapshots;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use crate::{
    control::log::{
        options::RaftOptions,
        progress::Progress,
        record::{DiskWrite, HardState, RecoveredState, Snapshot, weight_bytes},
    },
    prelude::*,
};

/// The part that a member plays in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
}

/// Why a proposal was not taken; it is in no log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    NotLeader,
    /// Leadership is being handed over.
    HandingOver,
    /// Another change of membership is under way, or this leader has committed nothing yet.
    MembershipBusy,
    /// The change would leave the group without a live majority.
    MembershipUnsafe(&'static str),
}

/// What the state machine is to take in next.
#[derive(Clone, Debug)]
pub enum Committed {
    Entry(Arc<LogEntry>),
    /// Replaces the whole state.
    Snapshot(Arc<Snapshot>),
}

/// Longest time for which a leader gathers entries while its disk syncs: a little more than a sync
/// takes on the users' disks, so that a slower disk of the leader's own holds up no others.
const GATHERED_MS: u64 = 8;

/// One member of a control group.
pub struct Raft {
    id: MemberId,
    options: RaftOptions,
    random: fastrand::Rng,

    hard_state: HardState,
    role: Role,
    leader: Option<MemberId>,
    /// Entries behind the snapshot point, oldest first.
    entries: VecDeque<Arc<LogEntry>>,
    /// About how much memory these take.
    entries_bytes: usize,
    /// Index and term of the entry before the first of `entries`.
    base_index: u64,
    base_term: u64,
    snapshot: Option<Arc<Snapshot>>,
    commit_index: u64,
    applied_index: u64,
    snapshots_to_install: VecDeque<Arc<Snapshot>>,

    /// Memberships found in the log, newest last; the newest is in force, committed or not.
    memberships: VecDeque<(u64, Membership)>,
    progress: BTreeMap<MemberId, Progress>,
    votes: BTreeSet<MemberId>,
    /// Chunks of a snapshot under way to this member.
    incoming_snapshot: Option<(SnapshotChunk, Vec<u8>)>,

    election_at_ms: u64,
    heartbeat_at_ms: u64,
    /// Until then this member gives no vote, since a leader may rely on it.
    vote_blocked_until_ms: u64,
    leader_since_ms: u64,
    /// Set once the leader told another member to take over; it has no lease from then on.
    transfer_since_ms: Option<u64>,
    transfer_sent: bool,

    in_force: Revision,
    caught_up: bool,
    /// Leader's clock in the first message since the start, and the index to catch up to.
    first_sent_ms: Option<u64>,
    catch_up_index: Option<u64>,
    pending: Vec<DiskWrite>,
    /// When a leader last let go of what it had gathered, and up to which entry.
    flushed_ms: u64,
    flushed_index: u64,
    written: u64,
    durable: u64,
    durable_index: u64,
    /// Writes on their way: number, and last index of the log after it.
    in_flight: VecDeque<(u64, u64)>,
    held: VecDeque<(u64, MemberId, RaftBody)>,
    outbox: Vec<RaftMessage>,
}

impl Raft {
    /// Makes a member from what its disk kept.
    pub fn new(id: MemberId, recovered: RecoveredState, options: RaftOptions, now: Now) -> Raft {
        let (base_index, base_term, base_members) = match &recovered.snapshot {
            Some(it) => (it.index, it.term, it.members.clone()),
            None => (0, 0, recovered.initial_members),
        };
        let mut memberships = VecDeque::from([(base_index, base_members)]);
        for it in &recovered.entries {
            if let EntryBody::Members(members) = &it.body {
                memberships.push_back((it.index, members.clone()));
            }
        }
        let last_index = base_index + recovered.entries.len() as u64;
        let snapshot = recovered.snapshot.map(Arc::new);
        let mut res = Raft {
            id,
            options,
            random: fastrand::Rng::with_seed(options.seed ^ id.0),
            hard_state: recovered.hard_state,
            role: Role::Follower,
            leader: None,
            entries_bytes: recovered.entries.iter().map(weight_bytes).sum(),
            entries: recovered.entries.into_iter().map(Arc::new).collect(),
            base_index,
            base_term,
            commit_index: base_index,
            applied_index: 0,
            snapshots_to_install: snapshot.iter().cloned().collect(),
            snapshot,
            memberships,
            progress: BTreeMap::new(),
            votes: BTreeSet::new(),
            incoming_snapshot: None,
            election_at_ms: 0,
            heartbeat_at_ms: 0,
            // What this member promised before its restart is not known: it may have heard the
            // leader an instant ago, so it must not help to depose it within the lease.
            vote_blocked_until_ms: now.mono_ms + options.election_timeout_ms,
            leader_since_ms: 0,
            transfer_since_ms: None,
            transfer_sent: false,
            in_force: Revision(0),
            caught_up: false,
            first_sent_ms: None,
            catch_up_index: None,
            pending: Vec::new(),
            flushed_ms: 0,
            flushed_index: 0,
            written: 0,
            durable: 0,
            durable_index: last_index,
            in_flight: VecDeque::new(),
            held: VecDeque::new(),
            outbox: Vec::new(),
        };
        res.reset_election(now);
        res
    }

    pub fn id(&self) -> MemberId {
        self.id
    }

    pub fn role(&self) -> Role {
        self.role
    }

    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    pub fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |it| it.index)
    }

    /// Returns about how much memory the entries kept take.
    pub fn entries_bytes(&self) -> usize {
        self.entries_bytes
    }

    /// Returns, for the leader, how far a member's log is known to match, how long ago it
    /// answered, and the configuration revision in force there.
    pub fn progress_of(&self, id: MemberId, now: Now) -> Option<(u64, u64, Revision)> {
        if id == self.id {
            return Some((self.durable_index, 0, self.in_force));
        }
        let it = self.progress.get(&id)?;
        Some((it.match_index, it.silent_ms(now.mono_ms), Revision(it.in_force)))
    }

    /// Sets the configuration revision told to the leader.
    pub fn set_in_force(&mut self, revision: Revision) {
        self.in_force = revision;
    }

    /// Returns whether this leader may answer reads and renew leases at `now`: no other leader
    /// can have been elected, and everything committed before its term is applied.
    pub fn has_lease(&self, now: Now) -> bool {
        if !self.is_leader() || self.transfer_sent || self.transfer_since_ms.is_some() {
            return false;
        }
        // A tenth is left for clocks that run at different speeds.
        let lease_ms = self.options.election_timeout_ms * 9 / 10;
        now.mono_ms < self.quorum_acked_ms(now) + lease_ms
            && self.term_at(self.applied_index) == Some(self.hard_state.term)
    }

    /// Returns whether everything that was committed when this member started is applied here.
    ///
    /// Until then a restarted member may hold an older state than it showed before. What a leader
    /// says it has committed counts once the leader has committed in its own term, and once its
    /// clock has moved on by an election timeout, so that it did not say so before the restart.
    pub fn has_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Returns the time of the next call of [`Raft::tick`].
    pub fn next_tick_ms(&self) -> u64 {
        match self.is_leader() {
            true if self.pending.is_empty() => self.heartbeat_at_ms,
            true => self.heartbeat_at_ms.min(self.flushed_ms + GATHERED_MS),
            false => self.election_at_ms,
        }
    }

    /// Returns whether a leader keeps what it appends for the end of the sync under way.
    ///
    /// Its disk takes up nothing before that in any case, and what goes out together costs one
    /// message and one sync of each member.
    fn gathers(&self, now: Now) -> bool {
        self.is_leader()
            && !self.in_flight.is_empty()
            && now.mono_ms < self.flushed_ms + GATHERED_MS
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Now) {
        match self.role {
            Role::Leader if self.must_step_down(now) => {
                self.follow(now, self.hard_state.term, None)
            }
            Role::Leader if self.heartbeat_at_ms <= now.mono_ms => self.broadcast(now),
            Role::Leader => (),
            _ if self.election_at_ms <= now.mono_ms && self.is_voter(self.id) => {
                self.stand(now, true, false)
            }
            _ if self.election_at_ms <= now.mono_ms => self.reset_election(now),
            _ => (),
        }
    }

    /// Appends an entry to the leader's log and returns its index.
    ///
    /// # Errors
    ///
    /// Returns why it was not taken; it is then in no log.
    pub fn propose(&mut self, now: Now, body: EntryBody) -> Result<u64, ProposeError> {
        if !self.is_leader() {
            return Err(ProposeError::NotLeader);
        }
        if self.transfer_since_ms.is_some() {
            return Err(ProposeError::HandingOver);
        }
        let index = self.last_index() + 1;
        let last_time_ms = self.entries.back().map_or(0, |it| it.time_ms);
        let entry = LogEntry {
            index,
            term: self.hard_state.term,
            time_ms: now.wall_ms.max(last_time_ms),
            body,
        };
        self.append(Arc::new(entry));
        Ok(index)
    }

    /// Sends what [`Raft::propose`] appended; called once per turn, so that the proposals of a
    /// turn, and of all turns during one sync, travel and are synced together.
    pub fn flush(&mut self, now: Now) {
        if self.is_leader() && !self.gathers(now) {
            self.flushed_index = self.last_index();
            let ids: Vec<_> = self.progress.keys().copied().collect();
            for id in ids {
                self.send_entries(now, id);
            }
            self.advance_commit();
        }
    }

    /// Takes in a message from another member.
    pub fn step(&mut self, now: Now, message: RaftMessage) {
        if message.to != self.id {
            // Meant for the disk that this address had before.
            return;
        }
        let from = message.from;
        match message.body {
            RaftBody::Vote(it) => self.on_vote(now, from, it),
            RaftBody::VoteReply(it) => self.on_vote_reply(now, from, it),
            RaftBody::Append(it) => self.on_append(now, from, it),
            RaftBody::AppendReply(it) => self.on_append_reply(now, from, it),
            RaftBody::Snapshot(it) => self.on_chunk(now, from, it),
            RaftBody::SnapshotReply(it) => self.on_chunk_reply(now, from, it),
            RaftBody::TimeoutNow(it)
                if it.term == self.hard_state.term && self.is_voter(self.id) =>
            {
                self.stand(now, false, true)
            }
            RaftBody::TimeoutNow(_) => (),
        }
    }

    /// Returns whether the entries kept take so much memory that a snapshot is due.
    pub fn needs_snapshot(&self) -> bool {
        self.options.snapshot_bytes <= self.entries_bytes
            && self.snapshot_index() < self.applied_index
    }

    /// Takes the writes gathered so far with their number; [`Raft::on_persisted`] is to be told it.
    pub fn take_writes(&mut self, now: Now) -> Option<(u64, Vec<DiskWrite>)> {
        if self.pending.is_empty() || self.gathers(now) {
            return None;
        }
        self.flushed_ms = now.mono_ms;
        self.written += 1;
        self.in_flight.push_back((self.written, self.last_index()));
        Some((self.written, std::mem::take(&mut self.pending)))
    }

    /// Learns that all writes up to `number` are durable.
    pub fn on_persisted(&mut self, now: Now, number: u64) {
        self.durable = self.durable.max(number);
        while let Some(&(it, last_index)) = self.in_flight.front()
            && it <= number
        {
            self.durable_index = last_index;
            self.in_flight.pop_front();
        }
        while let Some((needed, _, _)) = self.held.front()
            && *needed <= self.durable
        {
            if let Some((_, to, body)) = self.held.pop_front() {
                self.outbox.push(RaftMessage { from: self.id, to, body });
            }
        }
        match self.role {
            Role::Leader => self.advance_commit(),
            // A group of one elects itself once its vote is durable.
            Role::Candidate if self.has_quorum() => self.lead(now),
            _ => (),
        }
    }

    /// Takes the messages to send.
    pub fn take_messages(&mut self) -> Vec<RaftMessage> {
        std::mem::take(&mut self.outbox)
    }

    /// Takes what the state machine is to apply next, in order.
    pub fn take_committed(&mut self) -> Vec<Committed> {
        let mut res = Vec::new();
        if let Some(it) = self.snapshots_to_install.pop_back() {
            self.snapshots_to_install.clear();
            self.applied_index = it.index;
            res.push(Committed::Snapshot(it));
        }
        while self.applied_index < self.commit_index {
            let Some(it) = self.entry_at(self.applied_index + 1).cloned() else { break };
            self.applied_index = it.index;
            res.push(Committed::Entry(it));
        }
        let reached = self.catch_up_index.is_some_and(|it| it <= self.applied_index);
        let leads =
            self.is_leader() && self.term_at(self.applied_index) == Some(self.hard_state.term);
        self.caught_up |= reached || leads;
        res
    }

    fn entry_at(&self, index: u64) -> Option<&Arc<LogEntry>> {
        self.entries.get(index.checked_sub(self.base_index + 1)? as usize)
    }

    fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        match (self.entry_at(index), &self.snapshot) {
            (Some(it), _) => Some(it.term),
            (None, Some(it)) if it.index == index => Some(it.term),
            _ => None,
        }
    }

    fn set_hard(&mut self, hard: HardState) {
        if self.hard_state != hard {
            self.hard_state = hard;
            self.pending.push(DiskWrite::HardState(hard));
        }
    }

    fn send_now(&mut self, to: MemberId, body: RaftBody) {
        self.outbox.push(RaftMessage { from: self.id, to, body });
    }

    /// Sends a message once everything written so far is durable.
    fn send_durable(&mut self, to: MemberId, body: RaftBody) {
        let needed = self.written + u64::from(!self.pending.is_empty());
        if needed <= self.durable {
            self.send_now(to, body);
        } else {
            self.held.push_back((needed, to, body));
        }
    }
}
