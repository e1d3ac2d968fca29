//! Consensus on the order of commands.
//!
//! Implements Raft (terms, votes, log matching) with four additions: a pre-vote, so that a member
//! that was long unreachable does not disrupt the group; a quorum check, so that an isolated leader
//! steps down by itself; a leader lease, so that the leader answers reads and renews agents' leases
//! without a round trip; and disk writes that overlap with replication, where a message that promises
//! durability is deferred until the disk has synced.

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
        record::{DiskWrite, HardState, RecoveredState, Snapshot, estimated_bytes},
    },
    prelude::*,
};

/// Role of a member in its current term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
}

/// Why a proposal was rejected; it was not appended to any log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    NotLeader,
    /// A leadership transfer is in progress.
    HandingOver,
    /// Another membership change is in progress, or this leader has not committed an entry of its term.
    MembershipBusy,
    /// The change would leave the group without a live majority.
    MembershipUnsafe(&'static str),
}

/// Input for the state machine, in log order.
#[derive(Clone, Debug)]
pub enum Committed {
    Entry(Arc<LogEntry>),
    /// Replaces the entire state.
    Snapshot(Arc<Snapshot>),
}

/// Maximum time for which a leader gathers entries while its disk syncs. Slightly longer than a sync
/// on the users' disks, so that a slow disk of the leader does not delay the other members.
const GATHER_MAX_MS: u64 = 8;

/// One member of a control group.
pub struct Raft {
    id: MemberId,
    options: RaftOptions,
    random: fastrand::Rng,

    hard_state: HardState,
    role: Role,
    leader: Option<MemberId>,
    /// Log entries after `base_index`, oldest first.
    entries: VecDeque<Arc<LogEntry>>,
    /// Estimated memory of `entries`.
    entries_bytes: usize,
    /// Index and term of the entry before the first of `entries`.
    base_index: u64,
    base_term: u64,
    snapshot: Option<Arc<Snapshot>>,
    commit_index: u64,
    applied_index: u64,
    snapshots_to_install: VecDeque<Arc<Snapshot>>,

    /// Memberships with their log indexes, newest last; the newest is in force, committed or not.
    memberships: VecDeque<(u64, Membership)>,
    progress: BTreeMap<MemberId, Progress>,
    granted_votes: BTreeSet<MemberId>,
    /// First chunk and data so far of a snapshot that this member is receiving.
    incoming_snapshot: Option<(SnapshotChunk, Vec<u8>)>,

    election_at_ms: u64,
    heartbeat_at_ms: u64,
    /// Until then this member votes only for leadership transfers, as the leader's lease relies on it.
    vote_blocked_until_ms: u64,
    leader_since_ms: u64,
    /// Start of a leadership transfer; the leader has no lease from then on.
    transfer_since_ms: Option<u64>,
    transfer_sent: bool,

    in_force: Revision,
    caught_up: bool,
    /// Leader's clock in its first append since this member started or followed it.
    first_sent_ms: Option<u64>,
    /// Commit index that this member must apply to have caught up.
    catch_up_index: Option<u64>,
    pending_writes: Vec<DiskWrite>,
    /// Time of the last [`Raft::take_writes`] with writes, and last index of the last flush.
    flushed_ms: u64,
    flushed_index: u64,
    last_write_number: u64,
    durable_write_number: u64,
    durable_index: u64,
    /// Writes that are not yet durable: number, and last log index after the write.
    in_flight_writes: VecDeque<(u64, u64)>,
    /// Messages that wait until the write of the given number is durable.
    deferred_messages: VecDeque<(u64, MemberId, RaftBody)>,
    outbox: Vec<RaftMessage>,
}

impl Raft {
    /// Creates a member from the state recovered from its disk.
    pub fn new(id: MemberId, recovered: RecoveredState, options: RaftOptions, now: Now) -> Raft {
        let (base_index, base_term, base_members) = match &recovered.snapshot {
            Some(it) => (it.index, it.term, it.members.clone()),
            None => (0, 0, recovered.initial_members),
        };
        let mut memberships = VecDeque::from([(base_index, base_members)]);
        for entry in &recovered.entries {
            if let EntryBody::Members(members) = &entry.body {
                memberships.push_back((entry.index, members.clone()));
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
            entries_bytes: recovered.entries.iter().map(estimated_bytes).sum(),
            entries: recovered.entries.into_iter().map(Arc::new).collect(),
            base_index,
            base_term,
            commit_index: base_index,
            applied_index: 0,
            snapshots_to_install: snapshot.iter().cloned().collect(),
            snapshot,
            memberships,
            progress: BTreeMap::new(),
            granted_votes: BTreeSet::new(),
            incoming_snapshot: None,
            election_at_ms: 0,
            heartbeat_at_ms: 0,
            // This member may have received a message of the leader just before its restart, so it
            // must not help to elect another one while the lease may be valid.
            vote_blocked_until_ms: now.mono_ms + options.election_timeout_ms,
            leader_since_ms: 0,
            transfer_since_ms: None,
            transfer_sent: false,
            in_force: Revision(0),
            caught_up: false,
            first_sent_ms: None,
            catch_up_index: None,
            pending_writes: Vec::new(),
            flushed_ms: 0,
            flushed_index: 0,
            last_write_number: 0,
            durable_write_number: 0,
            durable_index: last_index,
            in_flight_writes: VecDeque::new(),
            deferred_messages: VecDeque::new(),
            outbox: Vec::new(),
        };
        res.reset_election_timer(now);
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

    /// Returns the estimated memory of the log entries.
    pub fn entries_bytes(&self) -> usize {
        self.entries_bytes
    }

    /// Returns the match index of a member, the time since its newest answer in ms, and the
    /// configuration revision in force there. Other members are known to the leader only.
    pub fn progress_of(&self, id: MemberId, now: Now) -> Option<(u64, u64, Revision)> {
        if id == self.id {
            return Some((self.durable_index, 0, self.in_force));
        }
        let progress = self.progress.get(&id)?;
        Some((progress.match_index, progress.silent_ms(now.mono_ms), Revision(progress.in_force)))
    }

    /// Sets the configuration revision reported to the leader.
    pub fn set_in_force(&mut self, revision: Revision) {
        self.in_force = revision;
    }

    /// Returns whether this leader may answer reads and renew leases at `now`: no other leader
    /// can have been elected, and all entries committed before its term are applied.
    pub fn has_lease(&self, now: Now) -> bool {
        if !self.is_leader() || self.transfer_sent || self.transfer_since_ms.is_some() {
            return false;
        }
        // A tenth is reserved for differences in clock speed.
        let lease_ms = self.options.election_timeout_ms * 9 / 10;
        now.mono_ms < self.quorum_acked_ms(now) + lease_ms
            && self.term_at(self.applied_index) == Some(self.hard_state.term)
    }

    /// Returns whether all entries that were committed when this member started are applied here.
    ///
    /// Until then a restarted member may hold an older state than it exposed before. The leader's
    /// commit index is trusted once it lies in the leader's own term, and once the leader's clock has
    /// advanced by an election timeout, so that the message was not sent before the restart.
    pub fn has_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Returns the time at which [`Raft::tick`] is due next.
    pub fn next_tick_ms(&self) -> u64 {
        match self.is_leader() {
            true if self.pending_writes.is_empty() => self.heartbeat_at_ms,
            true => self.heartbeat_at_ms.min(self.flushed_ms + GATHER_MAX_MS),
            false => self.election_at_ms,
        }
    }

    /// Returns whether a leader gathers new entries until the sync in progress has finished.
    ///
    /// Its disk starts no other sync before that, and entries sent together cost one message and
    /// one sync per member.
    fn is_gathering(&self, now: Now) -> bool {
        self.is_leader()
            && !self.in_flight_writes.is_empty()
            && now.mono_ms < self.flushed_ms + GATHER_MAX_MS
    }

    /// Runs the heartbeat, election and step-down timers that are due.
    pub fn tick(&mut self, now: Now) {
        match self.role {
            Role::Leader if self.must_step_down(now) => {
                self.become_follower(now, self.hard_state.term, None)
            }
            Role::Leader if self.heartbeat_at_ms <= now.mono_ms => self.broadcast(now),
            Role::Leader => (),
            _ if self.election_at_ms <= now.mono_ms && self.is_voter(self.id) => {
                self.start_election(now, true, false)
            }
            _ if self.election_at_ms <= now.mono_ms => self.reset_election_timer(now),
            _ => (),
        }
    }

    /// Appends an entry to the leader's log and returns its index.
    ///
    /// # Errors
    ///
    /// Returns the reason when the entry is rejected; it is then not appended to any log.
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

    /// Sends the entries that [`Raft::propose`] appended. Called once per turn of the event loop, so
    /// that the proposals of a turn, and of all turns during one sync, are sent and synced together.
    pub fn flush(&mut self, now: Now) {
        if self.is_leader() && !self.is_gathering(now) {
            self.flushed_index = self.last_index();
            let ids: Vec<_> = self.progress.keys().copied().collect();
            for id in ids {
                self.send_entries(now, id);
            }
            self.advance_commit();
        }
    }

    /// Handles a message from another member.
    pub fn step(&mut self, now: Now, message: RaftMessage) {
        if message.to != self.id {
            // Addressed to the member whose disk was used at this address before.
            return;
        }
        let from = message.from;
        match message.body {
            RaftBody::Vote(it) => self.on_vote(now, from, it),
            RaftBody::VoteReply(it) => self.on_vote_reply(now, from, it),
            RaftBody::Append(it) => self.on_append(now, from, it),
            RaftBody::AppendReply(it) => self.on_append_reply(now, from, it),
            RaftBody::Snapshot(it) => self.on_snapshot_chunk(now, from, it),
            RaftBody::SnapshotReply(it) => self.on_snapshot_reply(now, from, it),
            RaftBody::TimeoutNow(it)
                if it.term == self.hard_state.term && self.is_voter(self.id) =>
            {
                self.start_election(now, false, true)
            }
            RaftBody::TimeoutNow(_) => (),
        }
    }

    /// Returns whether the log entries take enough memory for a snapshot to be due.
    pub fn needs_snapshot(&self) -> bool {
        self.options.snapshot_bytes <= self.entries_bytes
            && self.snapshot_index() < self.applied_index
    }

    /// Takes the gathered writes and their number, which [`Raft::on_persisted`] needs later.
    pub fn take_writes(&mut self, now: Now) -> Option<(u64, Vec<DiskWrite>)> {
        if self.pending_writes.is_empty() || self.is_gathering(now) {
            return None;
        }
        self.flushed_ms = now.mono_ms;
        self.last_write_number += 1;
        self.in_flight_writes.push_back((self.last_write_number, self.last_index()));
        Some((self.last_write_number, std::mem::take(&mut self.pending_writes)))
    }

    /// Handles the notification that all writes up to `number` are durable.
    pub fn on_persisted(&mut self, now: Now, number: u64) {
        self.durable_write_number = self.durable_write_number.max(number);
        while let Some(&(in_flight_number, last_index)) = self.in_flight_writes.front()
            && in_flight_number <= number
        {
            self.durable_index = last_index;
            self.in_flight_writes.pop_front();
        }
        while let Some((needed_number, _, _)) = self.deferred_messages.front()
            && *needed_number <= self.durable_write_number
        {
            if let Some((_, to, body)) = self.deferred_messages.pop_front() {
                self.outbox.push(RaftMessage { from: self.id, to, body });
            }
        }
        match self.role {
            Role::Leader => self.advance_commit(),
            // The voter of a group of one elects itself once its vote is durable.
            Role::Candidate if self.has_vote_quorum() => self.become_leader(now),
            _ => (),
        }
    }

    /// Takes the messages to send.
    pub fn take_messages(&mut self) -> Vec<RaftMessage> {
        std::mem::take(&mut self.outbox)
    }

    /// Takes the committed inputs that the state machine applies next, in order.
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
        let has_reached_target = self.catch_up_index.is_some_and(|it| it <= self.applied_index);
        let has_applied_own_term =
            self.is_leader() && self.term_at(self.applied_index) == Some(self.hard_state.term);
        self.caught_up |= has_reached_target || has_applied_own_term;
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

    fn set_hard_state(&mut self, hard_state: HardState) {
        if self.hard_state != hard_state {
            self.hard_state = hard_state;
            self.pending_writes.push(DiskWrite::HardState(hard_state));
        }
    }

    fn send_now(&mut self, to: MemberId, body: RaftBody) {
        self.outbox.push(RaftMessage { from: self.id, to, body });
    }

    /// Sends a message once all writes made so far are durable.
    fn send_when_durable(&mut self, to: MemberId, body: RaftBody) {
        let needed_number = self.last_write_number + u64::from(!self.pending_writes.is_empty());
        if needed_number <= self.durable_write_number {
            self.send_now(to, body);
        } else {
            self.deferred_messages.push_back((needed_number, to, body));
        }
    }
}
