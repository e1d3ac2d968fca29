//! Crashes at every operation of a member that answers other members.
//!
//! What a member has promised in an answer must be on its disk: the votes that it gave, and the
//! entries that it acknowledged.

use std::collections::BTreeMap;

use aspenrail::{
    control::log::{Disk, Raft, RaftOptions},
    prelude::*,
};

use crate::{
    entries, for_each_crash, identity, snapshot,
    storage::{Fault, ModelStorage},
};

/// What the answers of a member have promised.
#[derive(Clone, Debug, Default)]
struct Promises {
    term: u64,
    votes: BTreeMap<u64, MemberId>,
    /// Terms of the acknowledged entries by index.
    entries: BTreeMap<u64, u64>,
}

/// One step of a schedule.
#[derive(Clone, Debug)]
enum Step {
    Receive(RaftBody),
    /// Applies what is committed, and takes a snapshot.
    Compact,
}

/// A member with its disk; its event loop handles one step a turn.
struct DrivenMember {
    raft: Raft,
    disk: Disk<ModelStorage>,
    promises: Promises,
    /// Terms of the entries that the leaders have sent, by index.
    sent: BTreeMap<u64, u64>,
    now_ms: u64,
}

const OTHER_MEMBER: MemberId = MemberId(1);

fn options() -> RaftOptions {
    RaftOptions { retained_entries: 2, seed: 1, ..RaftOptions::default() }
}

impl DrivenMember {
    fn start(storage: &ModelStorage) -> Option<DrivenMember> {
        let (disk, recovered) = Disk::recover(storage.clone(), &identity(), 0).ok()?;
        let now_ms = 100_000;
        let raft = Raft::new(MemberId(2), recovered, options(), now(now_ms));
        let (promises, sent) = (Promises::default(), BTreeMap::new());
        Some(DrivenMember { raft, disk, promises, sent, now_ms })
    }

    /// Handles a step; returns `None` once the process has ended.
    fn handle(&mut self, step: &Step) -> Option<()> {
        // Each leader is silent for long enough before the next one asks for a vote.
        self.now_ms += 2_000;
        match step {
            Step::Receive(body) => {
                self.note_sent(body);
                let message =
                    RaftMessage { from: OTHER_MEMBER, to: MemberId(2), body: body.clone() };
                self.raft.step(now(self.now_ms), message);
            }
            Step::Compact => {
                self.raft.take_committed();
                self.raft.compact(vec![1; 100]);
            }
        }
        if let Some((number, writes)) = self.raft.take_writes(now(self.now_ms)) {
            self.disk.write(&writes).ok()?;
            self.raft.on_persisted(now(self.now_ms), number);
        }
        for it in self.raft.take_messages() {
            self.note_answer(it.to, &it.body);
        }
        Some(())
    }

    /// Notes the entries of a leader. One that replaces an entry may remove the later ones.
    fn note_sent(&mut self, body: &RaftBody) {
        let RaftBody::Append(request) = body else { return };
        for it in &request.entries {
            if self.sent.get(&it.index).is_some_and(|term| *term != it.term) {
                self.sent.split_off(&it.index);
                self.promises.entries.split_off(&it.index);
            }
            self.sent.insert(it.index, it.term);
        }
    }

    fn note_answer(&mut self, to: MemberId, body: &RaftBody) {
        match body {
            RaftBody::AppendReply(it) => {
                self.promises.term = self.promises.term.max(it.term);
                if it.matched {
                    let acknowledged = self.sent.range(..=it.match_index);
                    self.promises.entries.extend(acknowledged.map(|(index, term)| (*index, *term)));
                }
            }
            RaftBody::VoteReply(it) if it.granted && !it.pre_vote => {
                self.promises.term = self.promises.term.max(it.term);
                self.promises.votes.insert(it.term, to);
            }
            _ => (),
        }
    }
}

fn now(ms: u64) -> Now {
    Now { mono_ms: ms, wall_ms: ms }
}

/// Handles all steps, or those before the crash; returns the promises.
fn run_steps(storage: &ModelStorage, steps: &[Step]) -> Promises {
    let Some(mut member) = DrivenMember::start(storage) else { return Promises::default() };
    for it in steps {
        if member.handle(it).is_none() {
            break;
        }
    }
    member.promises
}

fn check_promises(promises: &Promises, folder: &ModelStorage, context: &str) {
    let (_, recovered) = Disk::recover(folder.clone(), &identity(), 0)
        .unwrap_or_else(|it| panic!("{context}: {it}"));
    let hard_state = recovered.hard_state;
    assert!(promises.term <= hard_state.term, "{context}: {promises:?}, found {hard_state:?}");
    if let Some(vote) = promises.votes.get(&hard_state.term) {
        assert_eq!(hard_state.vote, Some(*vote), "{context}");
    }
    let snapshot_index = recovered.snapshot.as_ref().map_or(0, |it| it.index);
    let found: BTreeMap<_, _> = recovered.entries.iter().map(|it| (it.index, it.term)).collect();
    for (index, term) in promises.entries.range(snapshot_index + 1..) {
        assert_eq!(found.get(index), Some(term), "{context}: entry {index} was acknowledged");
    }
}

/// Checks a schedule without a crash and with a crash at each operation.
fn check_schedule(steps: &[Step]) {
    let storage = ModelStorage::default();
    let promises = run_steps(&storage, steps);
    assert!(!promises.entries.is_empty(), "the schedule acknowledges nothing");
    check_promises(&promises, &storage, "no crash");
    let run = |storage: &ModelStorage| run_steps(storage, steps);
    let folders = for_each_crash(&BTreeMap::<usize, Fault>::new(), run, check_promises);
    println!("{folders} folders recovered after a crash");
}

fn append(term: u64, previous: (u64, u64), last_index: u64, commit_index: u64) -> Step {
    let (previous_index, previous_term) = previous;
    let entries = entries(term, previous_index + 1..=last_index);
    Step::Receive(RaftBody::Append(AppendRequest {
        term,
        previous_index,
        previous_term,
        commit_index,
        sent_ms: 1,
        entries: entries.iter().map(|it| (**it).clone()).collect(),
    }))
}

fn vote(term: u64, last: (u64, u64)) -> Step {
    let (last_index, last_term) = last;
    let request = VoteRequest { term, last_index, last_term, pre_vote: false, transfer: false };
    Step::Receive(RaftBody::Vote(request))
}

/// A whole snapshot in one chunk.
fn install(term: u64, index: u64, index_term: u64) -> Step {
    let it = snapshot(index, index_term);
    Step::Receive(RaftBody::Snapshot(SnapshotChunk {
        term,
        index,
        index_term,
        members: it.members.clone(),
        offset_bytes: 0,
        total_bytes: it.data.len() as u64,
        checksum: it.checksum,
        sent_ms: 1,
        data: serde_bytes::ByteBuf::from(it.data.clone()),
    }))
}

/// Guards against acknowledged entries that are lost when all members are killed beside a snapshot.
#[test]
fn a_crash_beside_a_snapshot_keeps_the_acknowledged_entries_behind_it() {
    check_schedule(&[
        vote(1, (0, 0)),
        append(1, (0, 0), 20, 5),
        Step::Compact,
        append(1, (20, 1), 24, 20),
        Step::Compact,
        vote(2, (24, 1)),
        append(2, (24, 1), 30, 22),
        Step::Compact,
    ]);
}

/// Guards against a follower that loses entries, or its vote, as a new leader replaces its tail.
#[test]
fn a_crash_beside_a_truncation_keeps_what_was_acknowledged() {
    check_schedule(&[
        append(1, (0, 0), 10, 5),
        vote(3, (9, 2)),
        append(3, (8, 1), 14, 8),
        Step::Compact,
        append(3, (14, 3), 15, 14),
    ]);
}

/// Guards against a snapshot of the leader that is acknowledged before it is durable.
#[test]
fn a_crash_beside_an_installed_snapshot_keeps_what_was_acknowledged() {
    check_schedule(&[
        append(1, (0, 0), 6, 3),
        install(2, 40, 2),
        append(2, (40, 2), 45, 41),
        Step::Compact,
        vote(3, (45, 2)),
    ]);
}

/// Guards against a follower that drops acknowledged entries after a snapshot that its own log
/// matches. A new leader sends the snapshot when it retains no older entries than its own.
#[test]
fn a_snapshot_that_the_log_matches_leaves_the_entries_after_it() {
    let steps = [
        append(1, (0, 0), 60, 10),
        // A conflict, after which the leader has no entries old enough.
        append(3, (51, 2), 51, 45),
        install(3, 40, 1),
        // A candidate without the entries that this member has acknowledged.
        vote(4, (40, 1)),
    ];
    check_schedule(&steps);
    let promises = run_steps(&ModelStorage::default(), &steps);
    assert_eq!(promises.entries.len(), 60);
    assert!(promises.votes.is_empty(), "a vote against acknowledged entries: {promises:?}");
}

/// Guards against a snapshot that only advances the commit index although the log conflicts with it.
#[test]
fn a_snapshot_that_the_log_conflicts_with_replaces_the_log() {
    let steps = [append(1, (0, 0), 60, 10), install(3, 40, 2), append(3, (40, 2), 42, 41)];
    let storage = ModelStorage::default();
    run_steps(&storage, &steps);
    let (_, recovered) = Disk::recover(storage, &identity(), 0).unwrap();
    assert_eq!(recovered.snapshot.map(|it| (it.index, it.term)), Some((40, 2)));
    let found: Vec<_> = recovered.entries.iter().map(|it| (it.index, it.term)).collect();
    assert_eq!(found, [(41, 3), (42, 3)]);
}
