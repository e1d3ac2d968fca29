//! A group of three members with their disks under seeded crashes, losses, delays and cuts.
//!
//! The members run the real log and the real disk code on modelled files. Snapshots come after a few
//! entries, and the first retained entry often lies above what a follower has acknowledged.

use std::collections::{BTreeMap, VecDeque};

use aspenrail::{
    control::log::{Committed, Disk, DiskWrite, Identity, Raft, RaftOptions},
    prelude::*,
    util::GroupId,
};

use crate::storage::{Fault, ModelStorage, Survival, SurvivingData};

const MEMBERS: usize = 3;

/// Virtual time of one schedule.
const SCHEDULE_MS: u64 = 25_000;

/// A process that runs one member.
struct Process {
    raft: Raft,
    disk: Disk<ModelStorage>,
    /// Writes that the disk has not begun, each with its number and the time when it does.
    writes: VecDeque<(u64, u64, Vec<DiskWrite>)>,
    /// Entries after which a snapshot is taken.
    snapshot_entries: u64,
}

struct Group {
    random: fastrand::Rng,
    now_ms: u64,
    storages: Vec<ModelStorage>,
    processes: Vec<Option<Process>>,
    restart_at_ms: Vec<u64>,
    /// Messages in transit with the times of their arrival.
    messages: Vec<(u64, RaftMessage)>,
    /// Members that are cut off from the others until a time.
    cut_until_ms: Vec<u64>,
    /// Terms of the applied entries by index, of all members at all times.
    applied: BTreeMap<u64, u64>,
    leaders: BTreeMap<u64, MemberId>,
    crashes: u64,
}

fn id_of(member: usize) -> MemberId {
    MemberId(member as u64 + 1)
}

fn identity_of(member: usize) -> Identity {
    let address = |it: usize| ([127, 0, 0, 1], it as u16 + 1).into();
    let founders = (0..MEMBERS).map(|it| Member { id: id_of(it), address: address(it) }).collect();
    Identity { member: id_of(member), group_id: GroupId { region: 1, group: 1 }, founders }
}

impl Group {
    fn new(seed: u64) -> Group {
        let mut res = Group {
            random: fastrand::Rng::with_seed(seed),
            now_ms: 10_000,
            storages: vec![ModelStorage::default(); MEMBERS],
            processes: (0..MEMBERS).map(|_| None).collect(),
            restart_at_ms: vec![0; MEMBERS],
            messages: Vec::new(),
            cut_until_ms: vec![0; MEMBERS],
            applied: BTreeMap::new(),
            leaders: BTreeMap::new(),
            crashes: 0,
        };
        res.storages = (0..MEMBERS).map(|_| ModelStorage::default()).collect();
        res
    }

    fn now(&self) -> Now {
        Now { mono_ms: self.now_ms, wall_ms: self.now_ms }
    }

    fn start(&mut self, member: usize) {
        let recovered = Disk::recover(self.storages[member].clone(), &identity_of(member), 0);
        let (disk, recovered) = match recovered {
            Ok(it) => it,
            Err(report) => {
                // A process whose disk refuses an operation at its start ends and is started again.
                let is_refused = report.to_string().contains("cannot ");
                assert!(is_refused, "member {member} cannot read its disk: {report}");
                return self.crash(member);
            }
        };
        let options = RaftOptions {
            election_timeout_ms: 150,
            heartbeat_ms: 30,
            batch_entries: self.random.usize(1..8),
            retained_entries: self.random.u64(0..3),
            chunk_bytes: 8,
            seed: self.random.u64(..),
            ..RaftOptions::default()
        };
        let raft = Raft::new(id_of(member), recovered, options, self.now());
        let snapshot_entries = self.random.u64(3..13);
        let process = Process { raft, disk, writes: VecDeque::new(), snapshot_entries };
        self.processes[member] = Some(process);
        self.finish_turn(member);
    }

    /// Ends a process, or its whole machine, and loses a part of what was not synced.
    fn crash(&mut self, member: usize) {
        self.processes[member] = None;
        let data = [SurvivingData::Nothing, SurvivingData::Half, SurvivingData::All];
        let survival = match self.random.bool() {
            true => Survival { names: u32::MAX, data: SurvivingData::All },
            false => Survival { names: self.random.u32(..), data: data[self.random.usize(0..3)] },
        };
        self.storages[member] = self.storages[member].after_crash(survival);
        self.restart_at_ms[member] = self.now_ms + self.random.u64(1..600);
        self.crashes += 1;
    }

    /// Brings about faults, now and then.
    fn disturb(&mut self) {
        let member = self.random.usize(0..MEMBERS);
        match self.random.u32(0..1_000) {
            0..4 if self.processes[member].is_some() => self.crash(member),
            4..8 => {
                let fault =
                    [Fault::CrashBefore, Fault::CrashWithin, Fault::CrashAfter, Fault::Fail]
                        [self.random.usize(0..4)];
                let storage = &self.storages[member];
                storage.set_fault(storage.operations() + self.random.usize(0..12), fault);
            }
            8..11 => self.cut_until_ms[member] = self.now_ms + self.random.u64(50..900),
            11 => {
                for it in 0..MEMBERS {
                    if self.processes[it].is_some() {
                        self.crash(it);
                    }
                }
            }
            _ => (),
        }
    }

    fn step(&mut self) {
        self.now_ms += 1;
        let now = self.now();
        self.disturb();
        for member in 0..MEMBERS {
            if self.processes[member].is_none() && self.restart_at_ms[member] <= self.now_ms {
                self.start(member);
            }
        }
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(arrives_ms, _)| *arrives_ms <= now.mono_ms);
        self.messages = later;
        for (_, message) in due {
            let to = message.to.0 as usize - 1;
            if let Some(process) = &mut self.processes[to] {
                process.raft.step(now, message);
                self.finish_turn(to);
            }
        }
        for member in 0..MEMBERS {
            let proposes = self.random.u32(0..10) == 0;
            let Some(process) = &mut self.processes[member] else { continue };
            if process.raft.next_tick_ms() <= now.mono_ms {
                process.raft.tick(now);
            }
            if proposes {
                // Only a leader accepts it.
                let _ = process.raft.propose(now, EntryBody::Noop);
            }
            self.write_due(member);
            self.finish_turn(member);
        }
    }

    /// Performs the writes whose time has come, as the disk thread does; a fault may end the process.
    fn write_due(&mut self, member: usize) {
        let now = self.now();
        let Some(process) = &mut self.processes[member] else { return };
        while process.writes.front().is_some_and(|(due_ms, ..)| *due_ms <= now.mono_ms) {
            let Some((_, number, mut writes)) = process.writes.pop_front() else { return };
            let mut result = process.disk.write(&writes);
            while result.is_err() {
                if self.storages[member].has_crashed() {
                    return self.crash(member);
                }
                writes.drain(..process.disk.durable_write_count());
                result = process.disk.retry_write(&writes);
            }
            process.raft.on_persisted(now, number);
        }
    }

    /// Applies what is committed, takes snapshots, and collects writes and messages.
    fn finish_turn(&mut self, member: usize) {
        let now = self.now();
        let Some(process) = &mut self.processes[member] else { return };
        process.raft.flush(now);
        for it in process.raft.take_committed() {
            let (index, term) = match it {
                Committed::Snapshot(it) => (it.index, it.term),
                Committed::Entry(it) => (it.index, it.term),
            };
            let known = *self.applied.entry(index).or_insert(term);
            assert_eq!(known, term, "member {member} applies another entry at index {index}");
        }
        if process.raft.is_leader() {
            let leader = *self.leaders.entry(process.raft.term()).or_insert(id_of(member));
            assert_eq!(leader, id_of(member), "two leaders of term {}", process.raft.term());
        }
        if process.raft.snapshot_index() + process.snapshot_entries < process.raft.commit_index() {
            process.raft.compact(vec![7; 20]);
        }
        if let Some((number, writes)) = process.raft.take_writes(now) {
            let due_ms = now.mono_ms + self.random.u64(0..20);
            let due_ms = process.writes.back().map_or(due_ms, |(last_ms, ..)| due_ms.max(*last_ms));
            process.writes.push_back((due_ms, number, writes));
        }
        let messages = process.raft.take_messages();
        messages.into_iter().for_each(|it| self.send(it));
    }

    /// Sends a message, which may be lost, delayed or doubled.
    fn send(&mut self, message: RaftMessage) {
        let ends = [message.from, message.to].map(|it| it.0 as usize - 1);
        if ends.iter().any(|it| self.now_ms < self.cut_until_ms[*it]) {
            return;
        }
        let copies = match self.random.u32(0..100) {
            0..4 => 0,
            4..6 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delay_ms = if self.random.u32(0..30) == 0 {
                self.random.u64(20..400)
            } else {
                self.random.u64(1..6)
            };
            self.messages.push((self.now_ms + delay_ms, message.clone()));
        }
    }
}

/// Plays schedules; returns the numbers of crashes and of applied entries.
fn play(seeds: std::ops::Range<u64>) -> (u64, u64) {
    let (mut crashes, mut entries) = (0, 0);
    for seed in seeds {
        let mut group = Group::new(seed);
        let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            (0..SCHEDULE_MS).for_each(|_| group.step());
        }));
        assert!(played.is_ok(), "seed {seed} breaks a rule at {} ms", group.now_ms);
        crashes += group.crashes;
        entries += group.applied.keys().next_back().copied().unwrap_or(0);
    }
    (crashes, entries)
}

/// Guards against members that apply different entries at one index, and against two leaders of a
/// term, under crashes at any operation on files.
#[test]
fn members_apply_the_same_entries_under_seeded_faults() {
    let (crashes, entries) = play(1..21);
    assert!(100 < crashes && 1_000 < entries, "{crashes} crashes, {entries} entries");
}

/// The same with many seeds: `ASPENRAIL_SEEDS` sets their number.
#[test]
#[ignore = "long; run it by hand, with --release and --nocapture"]
fn many_seeds_of_members_that_apply_the_same_entries() {
    let number =
        |name: &str, default| std::env::var(name).map_or(default, |it| it.parse().unwrap());
    let (first, count) = (number("ASPENRAIL_SEED_FROM", 1_000), number("ASPENRAIL_SEEDS", 400));
    let (crashes, entries) = play(first..first + count);
    println!("{count} seeds from {first}: {crashes} crashes, {entries} entries committed");
}
