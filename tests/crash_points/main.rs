//! Ends or fails every single file operation of a control member's disk, and recovers from each.
//!
//! A crash of the process leaves everything written. A crash of the machine leaves what was synced,
//! and any subset of the rest.
#![allow(clippy::unwrap_used)]

mod disk_writes;
mod group;
mod member;
mod storage;

use std::{collections::BTreeMap, sync::Arc};

use aspenrail::{
    control::log::{Identity, Snapshot},
    prelude::*,
    util::{GroupId, checksum},
};

use crate::storage::{Fault, ModelStorage, Survival, SurvivingData};

const CRASHES: [Fault; 3] = [Fault::CrashBefore, Fault::CrashWithin, Fault::CrashAfter];

fn identity() -> Identity {
    let address = |it: u64| ([127, 0, 0, 1], it as u16).into();
    let founders = (1..=3).map(|it| Member { id: MemberId(it), address: address(it) }).collect();
    Identity { member: MemberId(2), group_id: GroupId { region: 1, group: 1 }, founders }
}

fn entries(term: u64, indexes: std::ops::RangeInclusive<u64>) -> Vec<Arc<LogEntry>> {
    let entry = |index| Arc::new(LogEntry { index, term, time_ms: index, body: EntryBody::Noop });
    indexes.map(entry).collect()
}

fn snapshot(index: u64, term: u64) -> Arc<Snapshot> {
    let data = vec![index as u8; 100];
    let members = Membership { voters: identity().founders, learners: Vec::new() };
    Arc::new(Snapshot { index, term, members, checksum: checksum(&data), data })
}

/// Returns every outcome of a crash with this number of changes of names that were not synced.
fn survivals(unsynced_changes: usize) -> Vec<Survival> {
    let subsets = 1_u32 << unsynced_changes.min(6);
    let with_data = |names| {
        [SurvivingData::Nothing, SurvivingData::Half, SurvivingData::All]
            .map(|data| Survival { names, data })
    };
    (0..subsets).flat_map(with_data).collect()
}

/// Crashes `run` at every operation after the first fault, and calls `check` with each folder that
/// may be found then and with what `run` returned. Returns the number of folders checked.
fn for_each_crash<T>(
    faults: &BTreeMap<usize, Fault>,
    run: impl Fn(&ModelStorage) -> T,
    check: impl Fn(&T, &ModelStorage, &str),
) -> usize {
    let mut folders = 0;
    let first_operation = faults.keys().next().map_or(0, |it| it + 1);
    for operation in first_operation.. {
        for crash in CRASHES {
            let storage = ModelStorage::default();
            faults.iter().for_each(|(operation, fault)| storage.set_fault(*operation, *fault));
            storage.set_fault(operation, crash);
            let result = run(&storage);
            if !storage.has_crashed() {
                return folders;
            }
            for survival in survivals(storage.unsynced_changes()) {
                let context =
                    format!("{crash:?} at operation {operation}, faults {faults:?}, {survival:?}");
                check(&result, &storage.after_crash(survival), &context);
                folders += 1;
            }
        }
    }
    folders
}
