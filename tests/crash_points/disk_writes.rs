//! Crashes and failures at every operation of each kind of write.

use std::{collections::BTreeMap, sync::Arc};

use aspenrail::{
    control::log::{Disk, DiskWrite, HardState, Identity, RecoveredState},
    prelude::*,
};

use crate::{
    entries, for_each_crash, identity, snapshot,
    storage::{Fault, ModelStorage},
};

/// The durable state of a member, with entries as indexes and terms.
#[derive(Clone, Debug, Default, PartialEq)]
struct Durable {
    hard_state: HardState,
    snapshot: (u64, u64),
    entries: Vec<(u64, u64)>,
}

impl Durable {
    fn of(it: &RecoveredState) -> Durable {
        Durable {
            hard_state: it.hard_state,
            snapshot: it.snapshot.as_ref().map_or((0, 0), |it| (it.index, it.term)),
            entries: it.entries.iter().map(|it| (it.index, it.term)).collect(),
        }
    }

    /// Applies a write; calls `visit` after each step that a crash may be followed by.
    fn apply(&mut self, write: &DiskWrite, visit: &mut impl FnMut(&Durable)) {
        match write {
            DiskWrite::HardState(it) => self.hard_state = *it,
            DiskWrite::Append(list) => {
                for it in list {
                    self.entries.push((it.index, it.term));
                    visit(self);
                }
            }
            DiskWrite::Truncate { from_index } => {
                self.entries.retain(|(index, _)| index < from_index)
            }
            DiskWrite::Snapshot { snapshot, later_entries } => {
                self.snapshot = (snapshot.index, snapshot.term);
                self.entries = later_entries.iter().map(|it| (it.index, it.term)).collect();
            }
        }
        visit(self);
    }
}

/// What a run had acknowledged when it crashed, and the writes that it had begun.
struct CrashedRun {
    acknowledged: Durable,
    begun: Vec<DiskWrite>,
}

/// Performs a list of calls, and repeats those that fail, as the disk thread does.
fn run_calls(storage: &ModelStorage, calls: &[Vec<DiskWrite>]) -> CrashedRun {
    let mut acknowledged = Durable::default();
    let opened = (0..20).find_map(|_| Disk::recover(storage.clone(), &identity(), 0).ok());
    let Some((mut disk, _)) = opened else { return CrashedRun { acknowledged, begun: Vec::new() } };
    for call in calls {
        let mut writes = call.clone();
        let mut result = disk.write(&writes);
        while result.is_err() {
            if storage.has_crashed() {
                return CrashedRun { acknowledged, begun: call.clone() };
            }
            writes.drain(..disk.durable_write_count());
            result = disk.retry_write(&writes);
        }
        call.iter().for_each(|it| acknowledged.apply(it, &mut |_| ()));
        let mut marked = disk.write_durability_mark();
        while marked.is_err() && !storage.has_crashed() {
            marked = disk.retry_write(&[]);
        }
    }
    CrashedRun { acknowledged, begun: Vec::new() }
}

/// Checks that a folder holds what was acknowledged, and of the begun writes the first steps.
fn check_folder(run: &CrashedRun, folder: &ModelStorage, context: &str) {
    let (mut disk, recovered) = Disk::recover(folder.clone(), &identity(), 0)
        .unwrap_or_else(|it| panic!("{context}: {it}"));
    let found = Durable::of(&recovered);
    let mut state = run.acknowledged.clone();
    let mut allowed = vec![state.clone()];
    for it in &run.begun {
        state.apply(it, &mut |it| allowed.push(it.clone()));
    }
    assert!(
        allowed.contains(&found),
        "{context}: found {found:?}, acknowledged {:?}",
        run.acknowledged
    );
    // The folder takes further writes.
    let next = found.entries.last().map_or(found.snapshot.0, |it| it.0) + 1;
    disk.write(&[DiskWrite::Append(entries(9, next..=next))]).unwrap();
    drop(disk);
    let (_, recovered) = Disk::recover(folder.clone(), &identity(), 0).unwrap();
    assert_eq!(
        recovered.entries.last().map(|it| (it.index, it.term)),
        Some((next, 9)),
        "{context}"
    );
}

fn hard_state(term: u64, vote: u64) -> DiskWrite {
    DiskWrite::HardState(HardState { term, vote: Some(MemberId(vote)) })
}

fn append(term: u64, indexes: std::ops::RangeInclusive<u64>) -> DiskWrite {
    DiskWrite::Append(entries(term, indexes))
}

fn compact(index: u64, term: u64, later_entries: Vec<Arc<LogEntry>>) -> DiskWrite {
    DiskWrite::Snapshot { snapshot: snapshot(index, term), later_entries }
}

/// Each kind of write, alone and beside others in one call.
fn calls() -> Vec<Vec<DiskWrite>> {
    vec![
        vec![hard_state(1, 1)],
        vec![append(1, 1..=3)],
        vec![append(1, 4..=6), hard_state(2, 3), DiskWrite::Truncate { from_index: 5 }],
        vec![append(2, 5..=8)],
        // Entries after the snapshot that were acknowledged before.
        vec![compact(4, 1, entries(2, 5..=8))],
        vec![append(2, 9..=10), compact(7, 2, entries(2, 8..=10)), append(2, 11..=12)],
        vec![hard_state(3, 2), compact(12, 2, Vec::new())],
        vec![append(3, 13..=13)],
        // The snapshot of another member, which replaces the whole log.
        vec![hard_state(5, 1), compact(20, 4, Vec::new()), append(5, 21..=22)],
    ]
}

/// Guards against entries that were acknowledged and that a new log file lacked until they were
/// written to it again.
#[test]
fn a_crash_at_any_operation_loses_nothing_acknowledged() {
    let calls = calls();
    let run = |storage: &ModelStorage| run_calls(storage, &calls);
    let folders = for_each_crash(&BTreeMap::new(), run, check_folder);
    println!("{folders} folders recovered after a crash");
}

/// Guards against the same loss while a full disk refuses some operations in a row before the crash.
#[test]
fn a_crash_after_refused_operations_loses_nothing_acknowledged() {
    let calls = calls();
    let storage = ModelStorage::default();
    run_calls(&storage, &calls);
    let mut folders = 0;
    for (first, count) in (0..storage.operations()).flat_map(|it| [(it, 1), (it, 4)]) {
        let faults = (first..first + count).map(|it| (it, Fault::Fail)).collect();
        let run = |storage: &ModelStorage| run_calls(storage, &calls);
        folders += for_each_crash(&faults, run, check_folder);
    }
    println!("{folders} folders recovered after refused operations and a crash");
}

/// Guards against a member that starts with half an identity, and so with another one.
#[test]
fn a_crash_while_a_disk_is_founded_leaves_no_identity_or_the_whole() {
    let run = |storage: &ModelStorage| identity().write(storage).is_ok();
    let check = |_: &bool, folder: &ModelStorage, context: &str| {
        let has_identity = folder.has("identity");
        match Identity::read_from(folder) {
            Ok(it) => assert_eq!(it, identity(), "{context}"),
            Err(it) => assert!(!has_identity, "{context}: {it}"),
        }
        if !has_identity {
            identity().write(folder).unwrap();
            assert_eq!(Identity::read_from(folder).unwrap(), identity(), "{context}");
        }
    };
    let folders = for_each_crash(&BTreeMap::new(), run, check);
    println!("{folders} folders read after a crash");
}
