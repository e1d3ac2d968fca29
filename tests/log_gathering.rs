//! What a leader appends while its disk syncs goes out together.
#![allow(clippy::unwrap_used)]

use aspenrail::{
    control::log::{Raft, RaftOptions, Recovered},
    prelude::*,
};

/// A group of three whose messages arrive at once; only the leader's disk takes time.
struct Group {
    now_ms: u64,
    members: Vec<Raft>,
    /// Messages that carried entries, from the leader.
    appends: usize,
    /// Numbers of the leader's writes that are not durable yet.
    syncing: Vec<u64>,
}

impl Group {
    fn new() -> Group {
        let address = |it: u64| ([127, 0, 0, 1], 1_000 + it as u16).into();
        let voters: Vec<_> =
            (1..=3).map(|it| Member { id: MemberId(it), address: address(it) }).collect();
        let recovered = Recovered {
            initial_members: Membership { voters, learners: Vec::new() },
            ..Recovered::default()
        };
        let now = Now { mono_ms: 10_000, wall_ms: 10_000 };
        let new = |it| {
            let options = RaftOptions { seed: it, ..RaftOptions::default() };
            Raft::new(MemberId(it), recovered.clone(), options, now)
        };
        let members = (1..=3).map(new).collect();
        let mut res = Group { now_ms: 10_000, members, appends: 0, syncing: Vec::new() };
        while !res.members[0].is_leader() {
            res.now_ms += 10;
            let now = res.now();
            if res.members[0].next_tick_ms() <= res.now_ms {
                res.members[0].tick(now);
            }
            res.turn();
            res.sync();
        }
        // What was going on at the election ends.
        (0..4).for_each(|_| res.sync());
        res.appends = 0;
        res
    }

    fn now(&self) -> Now {
        Now { mono_ms: self.now_ms, wall_ms: self.now_ms }
    }

    /// One turn of the leader, with what the others answer.
    fn turn(&mut self) {
        let now = self.now();
        self.members[0].flush(now);
        if let Some((number, _)) = self.members[0].take_writes(now) {
            self.syncing.push(number);
        }
        loop {
            let messages: Vec<_> =
                self.members.iter_mut().flat_map(|it| it.take_messages()).collect();
            if messages.is_empty() {
                return;
            }
            for it in messages {
                if let RaftBody::Append(append) = &it.body
                    && !append.entries.is_empty()
                {
                    self.appends += 1;
                }
                let to = it.to.0 as usize - 1;
                self.members[to].step(now, it);
                if 0 < to
                    && let Some((number, _)) = self.members[to].take_writes(now)
                {
                    self.members[to].persisted(now, number);
                }
            }
        }
    }

    /// Lets the leader's sync end.
    fn sync(&mut self) {
        let now = self.now();
        for it in std::mem::take(&mut self.syncing) {
            self.members[0].persisted(now, it);
        }
        self.turn();
    }

    fn propose(&mut self) {
        let body = EntryBody::Command(Command::Workflow(WorkflowCommand::Forget(1)));
        let now = self.now();
        self.members[0].propose(now, body).unwrap();
        self.turn();
    }
}

#[test]
fn what_is_proposed_during_a_sync_travels_together() {
    let mut group = Group::new();
    group.propose();
    assert_eq!(group.appends, 2, "one to each other member at once");
    (0..50).for_each(|_| group.propose());
    assert_eq!(group.appends, 2, "the disk is busy");
    group.sync();
    assert_eq!(group.appends, 4, "all fifty in one message to each");
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
    assert!(group.members[0].next_tick_ms() <= group.now_ms, "it is woken to send");
    group.turn();
    assert_eq!(group.appends, 4, "the leader's own sync has not ended");
    let last_index = group.members[0].last_index();
    assert_eq!(group.members[0].commit_index(), last_index, "the two others suffice");
}
