//! Tests that entries appended during a sync of the leader's disk are sent in one message, and that
//! the bytes a leader sends and keeps are bounded.
#![allow(clippy::unwrap_used)]

use aspenrail::{
    control::log::{Raft, RaftOptions, RecoveredState},
    prelude::*,
};

/// A group of three whose messages arrive without delay; only syncs of the leader's disk take time.
struct Group {
    now_ms: u64,
    members: Vec<Raft>,
    /// Count of messages with entries.
    appends: usize,
    /// A member that receives no messages.
    cut: Option<u64>,
    /// Bytes of configurations sent to member 3.
    sent_bytes: usize,
    /// Messages to the cut member, kept as a connection keeps them until the cut ends.
    delayed: Vec<RaftMessage>,
    /// Numbers of the leader's writes that are not durable yet.
    unsynced_writes: Vec<u64>,
}

impl Group {
    fn new() -> Group {
        let address = |it: u64| ([127, 0, 0, 1], 1_000 + it as u16).into();
        let voters: Vec<_> =
            (1..=3).map(|it| Member { id: MemberId(it), address: address(it) }).collect();
        let recovered = RecoveredState {
            initial_members: Membership { voters, learners: Vec::new() },
            ..RecoveredState::default()
        };
        let now = Now { mono_ms: 10_000, wall_ms: 10_000 };
        let new = |it| {
            let options = RaftOptions { seed: it, ..RaftOptions::default() };
            Raft::new(MemberId(it), recovered.clone(), options, now)
        };
        let members = (1..=3).map(new).collect();
        let mut res = Group {
            now_ms: 10_000,
            members,
            appends: 0,
            cut: None,
            sent_bytes: 0,
            delayed: Vec::new(),
            unsynced_writes: Vec::new(),
        };
        while !res.members[0].is_leader() {
            res.now_ms += 10;
            let now = res.now();
            if res.members[0].next_tick_ms() <= res.now_ms {
                res.members[0].tick(now);
            }
            res.exchange_messages();
            res.complete_syncs();
        }
        // Completes the syncs and messages of the election.
        (0..4).for_each(|_| res.complete_syncs());
        res.appends = 0;
        res
    }

    fn now(&self) -> Now {
        Now { mono_ms: self.now_ms, wall_ms: self.now_ms }
    }

    /// Flushes the leader once and delivers messages until none is left.
    fn exchange_messages(&mut self) {
        let now = self.now();
        self.members[0].flush(now);
        if let Some((number, _)) = self.members[0].take_writes(now) {
            self.unsynced_writes.push(number);
        }
        loop {
            let messages: Vec<_> =
                self.members.iter_mut().flat_map(|it| it.take_messages()).collect();
            if messages.is_empty() {
                return;
            }
            for message in messages {
                if let RaftBody::Append(append) = &message.body
                    && !append.entries.is_empty()
                {
                    self.appends += 1;
                }
                if message.to.0 == 3 {
                    self.sent_bytes += documents_bytes(&message);
                }
                if self.cut == Some(message.to.0) {
                    self.delayed.push(message);
                    continue;
                }
                let to = message.to.0 as usize - 1;
                self.members[to].step(now, message);
                if 0 < to
                    && let Some((number, _)) = self.members[to].take_writes(now)
                {
                    self.members[to].on_persisted(now, number);
                }
            }
        }
    }

    /// Delivers the delayed messages; all are answered before the leader's next flush.
    fn deliver_delayed(&mut self) {
        let now = self.now();
        for message in std::mem::take(&mut self.delayed) {
            self.members[2].step(now, message);
            if let Some((number, _)) = self.members[2].take_writes(now) {
                self.members[2].on_persisted(now, number);
            }
        }
        self.exchange_messages();
    }

    /// Completes the leader's pending syncs.
    fn complete_syncs(&mut self) {
        let now = self.now();
        for number in std::mem::take(&mut self.unsynced_writes) {
            self.members[0].on_persisted(now, number);
        }
        self.exchange_messages();
    }

    fn propose(&mut self) {
        self.propose_command(WorkflowCommand::Forget(1));
    }

    fn propose_command(&mut self, command: WorkflowCommand) {
        let body = EntryBody::Command(Command::Workflow(command));
        let now = self.now();
        self.members[0].propose(now, body).unwrap();
        self.exchange_messages();
    }
}

#[test]
fn what_is_proposed_during_a_sync_travels_together() {
    let mut group = Group::new();
    group.propose();
    assert_eq!(group.appends, 2, "one message to each follower without delay");
    (0..50).for_each(|_| group.propose());
    assert_eq!(group.appends, 2, "entries wait for the sync in progress");
    group.complete_syncs();
    assert_eq!(group.appends, 4, "all fifty in one message to each follower");
    let last_index = group.members[0].last_index();
    assert_eq!(group.members[0].commit_index(), last_index);
}

#[test]
fn a_slow_disk_of_the_leader_holds_nobody_up() {
    let mut group = Group::new();
    group.propose();
    group.propose();
    assert_eq!(group.appends, 2);
    group.now_ms += 8;
    assert!(group.members[0].next_tick_ms() <= group.now_ms, "a tick is due to send the entries");
    group.exchange_messages();
    assert_eq!(group.appends, 4, "entries are sent during the leader's own sync");
    let last_index = group.members[0].last_index();
    assert_eq!(group.members[0].commit_index(), last_index, "the two followers are a majority");
}

const DOCUMENT_BYTES: usize = 400_000;

/// Returns a configuration as large as those of users.
fn large_configuration(version: u64) -> WorkflowCommand {
    let document = serde_bytes::ByteBuf::from(vec![b'x'; DOCUMENT_BYTES]);
    let (queues, services) = (Vec::new(), Vec::new());
    WorkflowCommand::Install(QueueConfig { version, queues, services, document })
}

fn documents_bytes(message: &RaftMessage) -> usize {
    let RaftBody::Append(append) = &message.body else { return 0 };
    let document = |it: &LogEntry| match &it.body {
        EntryBody::Command(Command::Workflow(WorkflowCommand::Install(config))) => {
            config.document.len()
        }
        _ => 0,
    };
    append.entries.iter().map(document).sum()
}

#[test]
fn a_member_that_does_not_answer_is_sent_little_and_catches_up_after() {
    let mut group = Group::new();
    group.cut = Some(3);
    // One configuration every 100 ms for ten seconds.
    for version in 1..=100 {
        group.now_ms += 100;
        let now = group.now();
        group.members[0].tick(now);
        group.propose_command(large_configuration(version));
        group.complete_syncs();
    }
    let limit_bytes = 15 * DOCUMENT_BYTES;
    assert!(
        group.sent_bytes < limit_bytes,
        "{} bytes were sent to the cut member",
        group.sent_bytes
    );
    (group.cut, group.sent_bytes) = (None, 0);
    // The connection broke early in the cut: messages with configurations on it are lost.
    group.delayed.retain(|it| documents_bytes(it) == 0);
    group.deliver_delayed();
    for _ in 0..200 {
        group.now_ms += 100;
        let now = group.now();
        group.members[0].tick(now);
        group.exchange_messages();
        group.complete_syncs();
    }
    assert_eq!(group.members[2].last_index(), group.members[0].last_index());
    let missing_bytes = 100 * DOCUMENT_BYTES;
    assert!(
        group.sent_bytes <= missing_bytes * 5 / 4,
        "{} bytes were sent to replace {missing_bytes} missing bytes",
        group.sent_bytes
    );
}

#[test]
fn a_learner_just_added_is_not_taken_for_silent() {
    let mut group = Group::new();
    let learner = Member { id: MemberId(4), address: ([127, 0, 0, 1], 1_004).into() };
    let now = group.now();
    group.members[0].change_members(now, MemberChange::Add(learner)).unwrap();
    group.now_ms += 200;
    let (_, silent_ms, _) = group.members[0].progress_of(MemberId(4), group.now()).unwrap();
    assert_eq!(
        silent_ms, 200,
        "silence counts from the addition, or it is removed before it can answer"
    );
}

#[test]
fn large_entries_are_given_up_for_a_snapshot_before_they_fill_the_memory() {
    let mut group = Group::new();
    for version in 1..=300 {
        group.now_ms += 10;
        group.propose_command(large_configuration(version));
        group.complete_syncs();
        drop(group.members[0].take_committed());
        if group.members[0].needs_snapshot() {
            group.members[0].compact(vec![0; DOCUMENT_BYTES]);
        }
        let bytes = group.members[0].entries_bytes();
        assert!(bytes <= 33 << 20, "{bytes} bytes are kept after version {version}");
    }
    assert!(0 < group.members[0].snapshot_index());
}
