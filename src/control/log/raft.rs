//! Leader-based agreement on the order of commands.
//!
//! The published leader-based scheme (terms, votes, log matching) with four additions: a
//! pre-vote, so that a member back from a long silence disturbs nobody; a check of the quorum,
//! so that a cut-off leader steps down by itself; a lease, so that the leader answers reads and
//! renews agents' leases without a round trip; and writes that overlap with replication, where
//! a message that promises durability waits until the disk has said so.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use crate::{
    control::log::{
        options::RaftOptions,
        progress::Progress,
        record::{DiskWrite, HardState, Recovered, Snapshot},
    },
    prelude::*,
    util::checksum,
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
pub enum Applied {
    Entry(Arc<LogEntry>),
    /// Replaces the whole state.
    Snapshot(Arc<Snapshot>),
}

/// One member of a control group.
pub struct Raft {
    id: MemberId,
    options: RaftOptions,
    random: fastrand::Rng,

    hard: HardState,
    role: Role,
    leader: Option<MemberId>,
    /// Entries behind the snapshot point, oldest first.
    entries: VecDeque<Arc<LogEntry>>,
    /// Index and term of the entry before the first of `entries`.
    base_index: u64,
    base_term: u64,
    snapshot: Option<Arc<Snapshot>>,
    commit_index: u64,
    applied_index: u64,
    install: VecDeque<Arc<Snapshot>>,

    /// Memberships found in the log, newest last; the newest is in force, committed or not.
    memberships: VecDeque<(u64, Membership)>,
    progress: BTreeMap<MemberId, Progress>,
    votes: BTreeSet<MemberId>,
    /// Chunks of a snapshot under way to this member.
    incoming: Option<(SnapshotChunk, Vec<u8>)>,

    election_at_ms: u64,
    heartbeat_at_ms: u64,
    /// Until then this member gives no vote, since a leader may rely on it.
    vote_barred_until_ms: u64,
    led_since_ms: u64,
    /// Set once the leader told another member to take over; it has no lease from then on.
    handing_over_since_ms: Option<u64>,
    handed_over: bool,

    in_force: Revision,
    caught_up: bool,
    /// Leader's clock in the first message since the start, and the index to catch up to.
    first_sent_ms: Option<u64>,
    catch_up_index: Option<u64>,
    pending: Vec<DiskWrite>,
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
    pub fn new(id: MemberId, recovered: Recovered, options: RaftOptions, now: Now) -> Raft {
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
            hard: recovered.hard,
            role: Role::Follower,
            leader: None,
            entries: recovered.entries.into_iter().map(Arc::new).collect(),
            base_index,
            base_term,
            commit_index: base_index,
            applied_index: 0,
            install: snapshot.iter().cloned().collect(),
            snapshot,
            memberships,
            progress: BTreeMap::new(),
            votes: BTreeSet::new(),
            incoming: None,
            election_at_ms: 0,
            heartbeat_at_ms: 0,
            // What this member promised before its restart is not known: it may have heard the
            // leader an instant ago, so it must not help to depose it within the lease.
            vote_barred_until_ms: now.mono_ms + options.election_timeout_ms,
            led_since_ms: 0,
            handing_over_since_ms: None,
            handed_over: false,
            in_force: Revision(0),
            caught_up: false,
            first_sent_ms: None,
            catch_up_index: None,
            pending: Vec::new(),
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
        self.hard.term
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

    /// Returns the membership in force.
    pub fn members(&self) -> &Membership {
        &self.memberships.back().expect("the first membership is never removed").1
    }

    /// Returns the address of a member in force.
    pub fn address_of(&self, id: MemberId) -> Option<std::net::SocketAddr> {
        let members = self.members();
        members.voters.iter().chain(&members.learners).find(|it| it.id == id).map(|it| it.address)
    }

    /// Returns, for the leader, how far a member's log is known to match, how long ago it
    /// answered, and the configuration revision in force there.
    pub fn progress_of(&self, id: MemberId, now: Now) -> Option<(u64, u64, Revision)> {
        if id == self.id {
            return Some((self.durable_index, 0, self.in_force));
        }
        let it = self.progress.get(&id)?;
        Some((it.match_index, now.mono_ms.saturating_sub(it.heard_ms), Revision(it.in_force)))
    }

    /// Sets the configuration revision told to the leader.
    pub fn set_in_force(&mut self, revision: Revision) {
        self.in_force = revision;
    }

    /// Returns whether this leader may answer reads and renew leases at `now`: no other leader
    /// can have been elected, and everything committed before its term is applied.
    pub fn has_lease(&self, now: Now) -> bool {
        if !self.is_leader() || self.handed_over || self.handing_over_since_ms.is_some() {
            return false;
        }
        // A tenth is left for clocks that run at different speeds.
        let lease_ms = self.options.election_timeout_ms * 9 / 10;
        now.mono_ms < self.quorum_acked_ms(now) + lease_ms
            && self.term_at(self.applied_index) == Some(self.hard.term)
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
        if self.is_leader() { self.heartbeat_at_ms } else { self.election_at_ms }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Now) {
        match self.role {
            Role::Leader if self.must_step_down(now) => self.follow(now, self.hard.term, None),
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
        if self.handing_over_since_ms.is_some() {
            return Err(ProposeError::HandingOver);
        }
        let index = self.last_index() + 1;
        let last_time_ms = self.entries.back().map_or(0, |it| it.time_ms);
        let entry =
            LogEntry { index, term: self.hard.term, time_ms: now.wall_ms.max(last_time_ms), body };
        self.append(Arc::new(entry));
        Ok(index)
    }

    /// Sends what [`Raft::propose`] appended; called once per turn, so that the proposals of a
    /// turn travel and are synced together.
    pub fn flush(&mut self, now: Now) {
        if self.is_leader() {
            let ids: Vec<_> = self.progress.keys().copied().collect();
            for id in ids {
                self.send_entries(now, id);
            }
            self.advance_commit();
        }
    }

    /// Proposes one change of membership.
    ///
    /// # Errors
    ///
    /// Returns why the change is refused; nothing has changed then.
    pub fn change_members(&mut self, now: Now, change: MemberChange) -> Result<u64, ProposeError> {
        if !self.is_leader() {
            return Err(ProposeError::NotLeader);
        }
        let (changed_at, current) =
            self.memberships.back().cloned().expect("a membership is always known");
        if self.commit_index < changed_at || self.term_at(self.commit_index) != Some(self.hard.term)
        {
            return Err(ProposeError::MembershipBusy);
        }
        let mut members = current;
        match change {
            MemberChange::Add(it) => {
                let mut all = members.voters.iter().chain(&members.learners);
                if all.any(|other| other.id == it.id || other.address == it.address) {
                    return Err(ProposeError::MembershipUnsafe(
                        "a member with this identity or address exists: remove it first",
                    ));
                }
                members.learners.push(it);
            }
            MemberChange::Promote(id) => {
                let Some(at) = members.learners.iter().position(|it| it.id == id) else {
                    return Err(ProposeError::MembershipUnsafe("it is not a learner"));
                };
                // A voter that lacks committed entries would count towards a quorum that holds
                // fewer copies than promised; a loss right after the repair could then lose one.
                let caught_up = self.progress.get(&id).is_some_and(|it| {
                    self.commit_index <= it.match_index && self.heard_lately(it, now)
                });
                if !caught_up {
                    return Err(ProposeError::MembershipUnsafe("the learner has not caught up"));
                }
                let member = members.learners.remove(at);
                members.voters.push(member);
            }
            MemberChange::Remove(id) => {
                if id == self.id {
                    return Err(ProposeError::MembershipUnsafe(
                        "it leads: stop it first, so that it hands over",
                    ));
                }
                let before = members.voters.len() + members.learners.len();
                members.voters.retain(|it| it.id != id);
                members.learners.retain(|it| it.id != id);
                if members.voters.len() + members.learners.len() == before {
                    return Err(ProposeError::MembershipUnsafe("no such member"));
                }
            }
        }
        let live = members.voters.iter().filter(|it| {
            it.id == self.id
                || self.progress.get(&it.id).is_some_and(|it| self.heard_lately(it, now))
        });
        if live.count() < members.voters.len() / 2 + 1 {
            return Err(ProposeError::MembershipUnsafe(
                "the voters left would have no live majority",
            ));
        }
        let res = self.propose(now, EntryBody::Members(members))?;
        self.refresh_progress();
        Ok(res)
    }

    /// Hands leadership to the voter that is furthest ahead, for a planned stop.
    pub fn hand_over(&mut self, now: Now) {
        if self.is_leader() && self.handing_over_since_ms.is_none() {
            self.handing_over_since_ms = Some(now.mono_ms);
            self.try_hand_over(now);
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
            RaftBody::TimeoutNow(it) if it.term == self.hard.term && self.is_voter(self.id) => {
                self.stand(now, false, true)
            }
            RaftBody::TimeoutNow(_) => (),
        }
    }

    /// Takes the writes of this turn with their number; [`Raft::persisted`] is to be told it.
    pub fn take_writes(&mut self) -> Option<(u64, Vec<DiskWrite>)> {
        if self.pending.is_empty() {
            return None;
        }
        self.written += 1;
        self.in_flight.push_back((self.written, self.last_index()));
        Some((self.written, std::mem::take(&mut self.pending)))
    }

    /// Learns that all writes up to `number` are durable.
    pub fn persisted(&mut self, now: Now, number: u64) {
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
    pub fn take_applied(&mut self) -> Vec<Applied> {
        let mut res = Vec::new();
        if let Some(it) = self.install.pop_back() {
            self.install.clear();
            self.applied_index = it.index;
            res.push(Applied::Snapshot(it));
        }
        while self.applied_index < self.commit_index {
            let Some(it) = self.entry_at(self.applied_index + 1).cloned() else {
                break;
            };
            self.applied_index = it.index;
            res.push(Applied::Entry(it));
        }
        let reached = self.catch_up_index.is_some_and(|it| it <= self.applied_index);
        let leads = self.is_leader() && self.term_at(self.applied_index) == Some(self.hard.term);
        self.caught_up |= reached || leads;
        res
    }

    /// Replaces the log up to the applied index by a snapshot of the state at that index.
    pub fn compact(&mut self, data: Vec<u8>) {
        let index = self.applied_index;
        let Some(term) = self.term_at(index) else {
            return;
        };
        let members = self.members_at(index);
        let snapshot = Arc::new(Snapshot { index, term, members, checksum: checksum(&data), data });
        self.pending.push(DiskWrite::Snapshot(snapshot.clone()));
        self.snapshot = Some(snapshot);
        let keep_from = index.saturating_sub(self.options.retained_entries);
        while self.base_index < keep_from {
            let Some(it) = self.entries.pop_front() else {
                break;
            };
            self.base_index = it.index;
            self.base_term = it.term;
        }
        // The membership at the base stays, for a truncation back to it.
        while 1 < self.memberships.len() && self.memberships[1].0 <= self.base_index {
            self.memberships.pop_front();
        }
        // The log on disk now begins anew: the entries kept in memory go with it.
        let kept: Vec<_> = self.entries.iter().filter(|it| index < it.index).cloned().collect();
        if !kept.is_empty() {
            self.pending.push(DiskWrite::Append(kept));
        }
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

    fn members_at(&self, index: u64) -> Membership {
        let found = self.memberships.iter().rev().find(|(at, _)| *at <= index);
        found
            .or(self.memberships.front())
            .map(|(_, it)| it.clone())
            .expect("a membership is always known")
    }

    fn is_voter(&self, id: MemberId) -> bool {
        self.members().voters.iter().any(|it| it.id == id)
    }

    fn has_quorum(&self) -> bool {
        let voters = &self.members().voters;
        let given = voters.iter().filter(|it| self.votes.contains(&it.id)).count();
        voters.len() / 2 < given
    }

    fn heard_lately(&self, it: &Progress, now: Now) -> bool {
        now.mono_ms < it.heard_ms + self.options.election_timeout_ms
    }

    /// Returns the sending time of the newest message that a majority has answered.
    fn quorum_acked_ms(&self, now: Now) -> u64 {
        self.quorum_value(|id| match self.progress.get(&id) {
            _ if id == self.id => now.mono_ms,
            Some(it) => it.acked_sent_ms,
            None => 0,
        })
    }

    /// Returns the largest value that a majority of the voters reaches.
    fn quorum_value(&self, value_of: impl Fn(MemberId) -> u64) -> u64 {
        let mut values: Vec<_> = self.members().voters.iter().map(|it| value_of(it.id)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(values.len() / 2).copied().unwrap_or(0)
    }

    fn must_step_down(&self, now: Now) -> bool {
        let timeout_ms = self.options.election_timeout_ms;
        let silent_since_ms = self.quorum_acked_ms(now).max(self.led_since_ms);
        let handed_over_at_ms = self.handing_over_since_ms.map(|it| it + timeout_ms * 2);
        silent_since_ms + timeout_ms < now.mono_ms
            || handed_over_at_ms.is_some_and(|it| it < now.mono_ms)
    }

    fn reset_election(&mut self, now: Now) {
        let timeout_ms = self.options.election_timeout_ms;
        self.election_at_ms = now.mono_ms + timeout_ms + self.random.u64(0..timeout_ms);
    }

    fn set_hard(&mut self, hard: HardState) {
        if self.hard != hard {
            self.hard = hard;
            self.pending.push(DiskWrite::HardState(hard));
        }
    }

    fn follow(&mut self, now: Now, term: u64, leader: Option<MemberId>) {
        if self.leader != leader {
            // Another leader, another clock.
            self.first_sent_ms = None;
        }
        if self.hard.term < term {
            self.set_hard(HardState { term, vote: None });
        }
        if self.role == Role::Leader || self.leader != leader {
            self.incoming = None;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.progress.clear();
        self.handing_over_since_ms = None;
        self.handed_over = false;
        self.reset_election(now);
    }

    fn stand(&mut self, now: Now, pre_vote: bool, transfer: bool) {
        self.reset_election(now);
        self.leader = None;
        self.votes = BTreeSet::from([self.id]);
        let term = self.hard.term + 1;
        if pre_vote {
            self.role = Role::PreCandidate;
        } else {
            self.role = Role::Candidate;
            self.set_hard(HardState { term, vote: Some(self.id) });
        }
        if pre_vote && self.has_quorum() {
            return self.stand(now, false, transfer);
        }
        let last_index = self.last_index();
        let last_term = self.term_at(last_index).unwrap_or(0);
        let request = VoteRequest { term, last_index, last_term, pre_vote, transfer };
        let voters: Vec<_> =
            self.members().voters.iter().map(|it| it.id).filter(|it| *it != self.id).collect();
        for to in voters {
            self.send_durable(to, RaftBody::Vote(request));
        }
    }

    fn lead(&mut self, now: Now) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.led_since_ms = now.mono_ms;
        self.handing_over_since_ms = None;
        self.handed_over = false;
        self.progress.clear();
        self.refresh_progress();
        // Nothing of earlier terms counts as committed until an entry of this term is.
        if self.propose(now, EntryBody::Noop).is_ok() {
            self.broadcast(now);
        }
    }

    fn refresh_progress(&mut self) {
        let members = self.members().clone();
        let ids: BTreeSet<_> =
            members.voters.iter().chain(&members.learners).map(|it| it.id).collect();
        self.progress.retain(|id, _| ids.contains(id));
        let next_index = self.last_index() + 1;
        for id in ids {
            if id != self.id {
                self.progress.entry(id).or_insert_with(|| Progress::new(next_index));
            }
        }
    }

    fn append(&mut self, entry: Arc<LogEntry>) {
        if let EntryBody::Members(it) = &entry.body {
            self.memberships.push_back((entry.index, it.clone()));
        }
        self.entries.push_back(entry.clone());
        match self.pending.last_mut() {
            Some(DiskWrite::Append(list)) => list.push(entry),
            _ => self.pending.push(DiskWrite::Append(vec![entry])),
        }
    }

    fn truncate_from(&mut self, index: u64) {
        self.entries.truncate((index - self.base_index - 1) as usize);
        while 1 < self.memberships.len()
            && self.memberships.back().is_some_and(|(at, _)| index <= *at)
        {
            self.memberships.pop_back();
        }
        self.durable_index = self.durable_index.min(index - 1);
        for (_, last_index) in &mut self.in_flight {
            *last_index = (*last_index).min(index - 1);
        }
        self.pending.push(DiskWrite::Truncate { from_index: index });
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

    fn broadcast(&mut self, now: Now) {
        self.heartbeat_at_ms = now.mono_ms + self.options.heartbeat_ms;
        let ids: Vec<_> = self.progress.keys().copied().collect();
        for id in ids {
            self.send_append(now, id);
        }
        self.advance_commit();
        if self.handing_over_since_ms.is_some() {
            self.try_hand_over(now);
        }
    }

    fn send_entries(&mut self, now: Now, to: MemberId) {
        let last_index = self.last_index();
        let Some(it) = self.progress.get(&to) else {
            return;
        };
        let in_window = it.next_index <= it.match_index + self.options.window_entries;
        if it.next_index <= last_index && it.snapshot_offset_bytes.is_none() && in_window {
            self.send_append(now, to);
        }
    }

    /// Sends entries from the member's next index on, or an empty append as heartbeat.
    fn send_append(&mut self, now: Now, to: MemberId) {
        let Some(it) = self.progress.get(&to).copied() else {
            return;
        };
        let previous_index = it.next_index - 1;
        let Some(previous_term) = self.term_at(previous_index) else {
            return self.send_chunk(now, to);
        };
        let in_window = it.next_index <= it.match_index + self.options.window_entries;
        let limit = if in_window { self.options.batch_entries } else { 0 };
        let first = (it.next_index - self.base_index - 1) as usize;
        let entries: Vec<_> =
            self.entries.iter().skip(first).take(limit).map(|it| (**it).clone()).collect();
        if let Some(it) = self.progress.get_mut(&to) {
            it.next_index += entries.len() as u64;
        }
        let request = AppendRequest {
            term: self.hard.term,
            previous_index,
            previous_term,
            commit_index: self.commit_index,
            sent_ms: now.mono_ms,
            entries,
        };
        self.send_now(to, RaftBody::Append(request));
    }

    fn send_chunk(&mut self, now: Now, to: MemberId) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let chunk_bytes = self.options.chunk_bytes;
        // An unanswered chunk is sent again, not before its answer had time to arrive.
        let resend_ms = self.options.heartbeat_ms * 2;
        let Some(it) = self.progress.get_mut(&to) else {
            return;
        };
        if it.snapshot_offset_bytes.is_some() && now.mono_ms < it.chunk_sent_ms + resend_ms {
            return;
        }
        let offset = *it.snapshot_offset_bytes.get_or_insert(0) as usize;
        it.chunk_sent_ms = now.mono_ms;
        let end = (offset + chunk_bytes).min(snapshot.data.len());
        let chunk = SnapshotChunk {
            term: self.hard.term,
            index: snapshot.index,
            index_term: snapshot.term,
            members: snapshot.members.clone(),
            offset_bytes: offset as u64,
            total_bytes: snapshot.data.len() as u64,
            checksum: snapshot.checksum,
            sent_ms: now.mono_ms,
            data: serde_bytes::ByteBuf::from(snapshot.data.get(offset..end).unwrap_or_default()),
        };
        self.send_now(to, RaftBody::Snapshot(chunk));
    }

    fn try_hand_over(&mut self, now: Now) {
        let last_index = self.last_index();
        let voters: Vec<_> = self.members().voters.iter().map(|it| it.id).collect();
        let ready = voters.into_iter().find(|id| {
            self.progress
                .get(id)
                .is_some_and(|it| it.match_index == last_index && self.heard_lately(it, now))
        });
        if let Some(to) = ready {
            // Once this was sent another may lead at any moment, so the lease never comes back
            // in this term; a leader whose offer got lost steps down instead.
            self.handed_over = true;
            self.send_now(to, RaftBody::TimeoutNow(TimeoutNow { term: self.hard.term }));
        }
    }

    fn advance_commit(&mut self) {
        if !self.is_leader() {
            return;
        }
        let reached = self.quorum_value(|id| match self.progress.get(&id) {
            _ if id == self.id => self.durable_index,
            Some(it) => it.match_index,
            None => 0,
        });
        if self.commit_index < reached && self.term_at(reached) == Some(self.hard.term) {
            self.commit_index = reached;
        }
    }

    fn on_vote(&mut self, now: Now, from: MemberId, it: VoteRequest) {
        let barred = now.mono_ms < self.vote_barred_until_ms && !it.transfer;
        let leads = self.is_leader() && !it.transfer;
        if barred || leads || it.term < self.hard.term {
            let reply = VoteReply { term: self.hard.term, granted: false, pre_vote: it.pre_vote };
            return self.send_durable(from, RaftBody::VoteReply(reply));
        }
        let last_index = self.last_index();
        let own = (self.term_at(last_index).unwrap_or(0), last_index);
        let up_to_date = own <= (it.last_term, it.last_index);
        if it.pre_vote {
            let granted = up_to_date && self.hard.term < it.term;
            // A denial carries this member's own term: the asked one was never begun.
            let term = if granted { it.term } else { self.hard.term };
            let reply = VoteReply { term, granted, pre_vote: true };
            return self.send_durable(from, RaftBody::VoteReply(reply));
        }
        if self.hard.term < it.term {
            self.follow(now, it.term, None);
        }
        let free = self.hard.vote.is_none() || self.hard.vote == Some(from);
        let granted = up_to_date && free && self.role == Role::Follower;
        if granted {
            self.set_hard(HardState { term: it.term, vote: Some(from) });
            self.reset_election(now);
        }
        let reply = VoteReply { term: self.hard.term, granted, pre_vote: false };
        self.send_durable(from, RaftBody::VoteReply(reply));
    }

    fn on_vote_reply(&mut self, now: Now, from: MemberId, it: VoteReply) {
        match self.role {
            Role::PreCandidate if it.pre_vote && it.granted && it.term == self.hard.term + 1 => {
                self.votes.insert(from);
                if self.has_quorum() {
                    self.stand(now, false, false);
                }
            }
            Role::Candidate if !it.pre_vote && it.granted && it.term == self.hard.term => {
                self.votes.insert(from);
                if self.has_quorum() {
                    self.lead(now);
                }
            }
            _ if !it.granted && self.hard.term < it.term => self.follow(now, it.term, None),
            _ => (),
        }
    }

    fn on_append(&mut self, now: Now, from: MemberId, it: AppendRequest) {
        if it.term < self.hard.term {
            let reply = self.append_reply(false, 0, it.sent_ms);
            return self.send_durable(from, reply);
        }
        self.heed_leader(now, from, it.term);
        let last_index = self.last_index();
        match self.term_at(it.previous_index) {
            _ if it.previous_index < self.base_index.min(self.commit_index) => {
                // Behind what is kept, and so committed: told how far the logs are known equal.
                let reply =
                    self.append_reply(true, self.commit_index.min(self.durable_index), it.sent_ms);
                return self.send_durable(from, reply);
            }
            Some(term) if term == it.previous_term => (),
            Some(term) => {
                let mut back = it.previous_index;
                while self.commit_index < back && self.term_at(back) == Some(term) {
                    back -= 1;
                }
                let reply = self.append_reply(false, back, it.sent_ms);
                return self.send_durable(from, reply);
            }
            None => {
                let reply = self.append_reply(false, last_index.min(it.previous_index), it.sent_ms);
                return self.send_durable(from, reply);
            }
        }
        let match_index = it.previous_index + it.entries.len() as u64;
        for entry in it.entries {
            match self.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate_from(entry.index),
                None => (),
            }
            self.append(Arc::new(entry));
        }
        self.commit_index = self.commit_index.max(it.commit_index.min(match_index));
        self.note_catch_up(it.term, it.commit_index, it.sent_ms);
        let reply = self.append_reply(true, match_index, it.sent_ms);
        self.send_durable(from, reply);
    }

    fn note_catch_up(&mut self, term: u64, commit_index: u64, sent_ms: u64) {
        let first_ms = *self.first_sent_ms.get_or_insert(sent_ms);
        let is_fresh = first_ms + self.options.election_timeout_ms < sent_ms;
        if self.catch_up_index.is_none() && is_fresh && self.term_at(commit_index) == Some(term) {
            self.catch_up_index = Some(commit_index);
        }
    }

    fn append_reply(&self, matched: bool, match_index: u64, sent_ms: u64) -> RaftBody {
        RaftBody::AppendReply(AppendReply {
            term: self.hard.term,
            matched,
            match_index,
            sent_ms,
            in_force: self.in_force,
        })
    }

    fn heed_leader(&mut self, now: Now, from: MemberId, term: u64) {
        if self.hard.term < term || self.role != Role::Follower || self.leader != Some(from) {
            self.follow(now, term, Some(from));
        }
        self.reset_election(now);
        self.vote_barred_until_ms = now.mono_ms + self.options.election_timeout_ms;
    }

    fn on_append_reply(&mut self, now: Now, from: MemberId, it: AppendReply) {
        if self.hard.term < it.term {
            return self.follow(now, it.term, None);
        }
        if !self.is_leader() || it.term < self.hard.term {
            return;
        }
        let last_index = self.last_index();
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.acked_sent_ms = progress.acked_sent_ms.max(it.sent_ms);
        progress.heard_ms = now.mono_ms;
        progress.in_force = it.in_force.0;
        if it.matched {
            progress.acknowledge(it.match_index.min(last_index));
            self.advance_commit();
        } else if progress.match_index <= it.match_index || progress.snapshot_offset_bytes.is_none()
        {
            progress.next_index =
                (it.match_index + 1).clamp(progress.match_index + 1, last_index + 1);
        }
        self.send_entries(now, from);
        if self.handing_over_since_ms.is_some() && !self.handed_over {
            self.try_hand_over(now);
        }
    }

    fn on_chunk(&mut self, now: Now, from: MemberId, it: SnapshotChunk) {
        if it.term < self.hard.term {
            return self.send_durable(from, self.append_reply(false, 0, it.sent_ms));
        }
        self.heed_leader(now, from, it.term);
        if it.index <= self.commit_index {
            let reply =
                self.append_reply(true, self.commit_index.min(self.durable_index), it.sent_ms);
            return self.send_durable(from, reply);
        }
        let same = |(first, _): &(SnapshotChunk, Vec<u8>)| {
            (first.index, first.checksum) == (it.index, it.checksum)
        };
        if !self.incoming.as_ref().is_some_and(same) {
            self.incoming = Some((it.clone(), Vec::new()));
        }
        let Some((_, data)) = &mut self.incoming else {
            return;
        };
        if data.len() as u64 == it.offset_bytes {
            data.extend_from_slice(&it.data);
        }
        let next_offset_bytes = data.len() as u64;
        if next_offset_bytes < it.total_bytes {
            let reply = SnapshotReply {
                term: it.term,
                index: it.index,
                next_offset_bytes,
                sent_ms: it.sent_ms,
            };
            return self.send_now(from, RaftBody::SnapshotReply(reply));
        }
        let Some((_, data)) = self.incoming.take() else {
            return;
        };
        if checksum(&data) != it.checksum {
            // Begun anew; a wrong snapshot is never installed.
            let reply = SnapshotReply {
                term: it.term,
                index: it.index,
                next_offset_bytes: 0,
                sent_ms: it.sent_ms,
            };
            return self.send_now(from, RaftBody::SnapshotReply(reply));
        }
        self.install_snapshot(Snapshot {
            index: it.index,
            term: it.index_term,
            members: it.members,
            checksum: it.checksum,
            data,
        });
        let reply = self.append_reply(true, it.index, it.sent_ms);
        self.send_durable(from, reply);
    }

    fn install_snapshot(&mut self, snapshot: Snapshot) {
        let snapshot = Arc::new(snapshot);
        self.entries.clear();
        self.base_index = snapshot.index;
        self.base_term = snapshot.term;
        self.commit_index = snapshot.index;
        self.durable_index = snapshot.index;
        for (_, last_index) in &mut self.in_flight {
            *last_index = snapshot.index;
        }
        self.memberships = VecDeque::from([(snapshot.index, snapshot.members.clone())]);
        self.pending.push(DiskWrite::Snapshot(snapshot.clone()));
        self.install.push_back(snapshot.clone());
        self.snapshot = Some(snapshot);
    }

    fn on_chunk_reply(&mut self, now: Now, from: MemberId, it: SnapshotReply) {
        if !self.is_leader() || it.term != self.hard.term {
            return;
        }
        let current = self.snapshot_index();
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.acked_sent_ms = progress.acked_sent_ms.max(it.sent_ms);
        progress.heard_ms = now.mono_ms;
        let offset_bytes = if it.index == current { it.next_offset_bytes } else { 0 };
        progress.snapshot_offset_bytes = Some(offset_bytes);
        progress.chunk_sent_ms = 0;
        self.send_chunk(now, from);
    }
}
