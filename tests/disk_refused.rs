//! Tests a data folder whose writes fail for a while. The limit on file sizes applies to the whole
//! process, so this test has a binary of its own.
#![allow(clippy::unwrap_used)]

use std::sync::{Arc, atomic::AtomicBool};

use aspenrail::{
    control::log::{Disk, DiskWrite, HardState, Identity, RecoveredState, Snapshot},
    prelude::*,
    util::{GroupId, checksum},
};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

fn identity() -> Identity {
    let founders = vec![Member { id: MemberId(1), address: "127.0.0.1:1".parse().unwrap() }];
    Identity { member: MemberId(1), group_id: GroupId { region: 1, group: 1 }, founders }
}

fn open(folder: &std::path::Path) -> (Disk, RecoveredState) {
    Disk::open(folder, &identity(), 0).unwrap()
}

fn append(indexes: std::ops::RangeInclusive<u64>) -> DiskWrite {
    let entry =
        |index| Arc::new(LogEntry { index, term: 1, time_ms: index, body: EntryBody::Noop });
    DiskWrite::Append(indexes.map(entry).collect())
}

fn compact(snapshot: Arc<Snapshot>) -> DiskWrite {
    DiskWrite::Snapshot { snapshot, later_entries: Vec::new() }
}

fn set_file_size_limit(limit_bytes: Option<u64>) {
    let maximum = getrlimit(Resource::Fsize).maximum;
    setrlimit(Resource::Fsize, Rlimit { current: limit_bytes, maximum }).unwrap();
}

fn indexes(recovered: &RecoveredState) -> Vec<u64> {
    recovered.entries.iter().map(|it| it.index).collect()
}

/// Lets `writes` fail part-way, retries them without the limit, and checks the recovered entries.
fn check_retry(writes: &[DiskWrite], expected_indexes: &[u64]) {
    let folder = tempfile::tempdir().unwrap();
    let (mut disk, _) = open(folder.path());
    let hard_state = HardState { term: 1, vote: Some(MemberId(1)) };
    disk.write(&[DiskWrite::HardState(hard_state), append(1..=10)]).unwrap();
    let log_bytes = std::fs::metadata(folder.path().join("log-0")).unwrap().len();
    // Only part of the next record fits.
    set_file_size_limit(Some(log_bytes + 7));
    assert!(disk.write(writes).is_err());
    assert!(disk.retry_write(writes).is_err());
    set_file_size_limit(None);
    disk.retry_write(writes).unwrap();
    disk.write(&[append(12..=12)]).unwrap();
    drop(disk);
    let (_, recovered) = open(folder.path());
    assert_eq!(indexes(&recovered), expected_indexes);
    assert_eq!(recovered.hard_state, hard_state);
}

#[test]
fn what_was_refused_is_written_whole_once_the_disk_takes_it() {
    signal_hook::flag::register(signal_hook::consts::SIGXFSZ, Arc::new(AtomicBool::new(false)))
        .unwrap();
    let all_indexes: Vec<u64> = (1..=12).collect();
    check_retry(&[append(11..=11)], &all_indexes);
    check_retry(&[DiskWrite::Truncate { from_index: 9 }, append(9..=11)], &all_indexes);
    let data = vec![7; 1_000];
    let snapshot = Snapshot {
        index: 10,
        term: 1,
        members: Membership::default(),
        checksum: checksum(&data),
        data,
    };
    check_retry(&[compact(Arc::new(snapshot)), append(11..=11)], &[11, 12]);
}
