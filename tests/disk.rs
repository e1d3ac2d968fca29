//! Tests the data folder of a control member: torn writes, flipped bits, locking and restarts.
#![allow(clippy::unwrap_used)]

use std::{fs, path::Path, sync::Arc};

use aspenrail::{
    control::log::{Disk, DiskWrite, HardState, Identity, RecoveredState, Snapshot},
    prelude::*,
    util::{GroupId, checksum},
};

fn identity() -> Identity {
    let founders = vec![Member { id: MemberId(1), address: "127.0.0.1:1".parse().unwrap() }];
    Identity { member: MemberId(1), group_id: GroupId { region: 1, group: 1 }, founders }
}

fn open(folder: &Path) -> Result<(Disk, RecoveredState)> {
    Disk::open(folder, &identity(), 0)
}

fn entry(index: u64) -> Arc<LogEntry> {
    Arc::new(LogEntry { index, term: 1, time_ms: index, body: EntryBody::Noop })
}

fn append(indexes: std::ops::RangeInclusive<u64>) -> DiskWrite {
    DiskWrite::Append(indexes.map(entry).collect())
}

fn compact(snapshot: Arc<Snapshot>) -> DiskWrite {
    DiskWrite::Snapshot { snapshot, later_entries: Vec::new() }
}

fn snapshot_at_8() -> Snapshot {
    let data = vec![7; 1_000];
    let members = Membership::default();
    Snapshot { index: 8, term: 1, members, checksum: checksum(&data), data }
}

/// Writes ten entries, each with a sync of its own, and returns the path of the log.
fn write_ten_entries(folder: &Path) -> std::path::PathBuf {
    let (mut disk, _) = open(folder).unwrap();
    disk.write(&[DiskWrite::HardState(HardState { term: 3, vote: Some(MemberId(1)) })]).unwrap();
    for index in 1..=10 {
        disk.write(&[append(index..=index)]).unwrap();
    }
    folder.join("log-0")
}

#[test]
fn what_was_written_is_read_back() {
    let folder = tempfile::tempdir().unwrap();
    write_ten_entries(folder.path());
    let (mut disk, recovered) = open(folder.path()).unwrap();
    assert_eq!(recovered.hard_state, HardState { term: 3, vote: Some(MemberId(1)) });
    assert_eq!(
        recovered.entries.iter().map(|it| it.index).collect::<Vec<_>>(),
        (1..=10).collect::<Vec<_>>()
    );
    disk.write(&[DiskWrite::Truncate { from_index: 8 }, append(8..=9)]).unwrap();
    drop(disk);
    assert_eq!(open(folder.path()).unwrap().1.entries.len(), 9);
}

#[test]
fn snapshot_replaces_the_log_before_it() {
    let folder = tempfile::tempdir().unwrap();
    write_ten_entries(folder.path());
    let (mut disk, _) = open(folder.path()).unwrap();
    let snapshot = snapshot_at_8();
    disk.write(&[compact(Arc::new(snapshot.clone())), append(9..=10)]).unwrap();
    drop(disk);
    let (_, recovered) = open(folder.path()).unwrap();
    assert_eq!(recovered.snapshot, Some(snapshot));
    let hard_state = HardState { term: 3, vote: Some(MemberId(1)) };
    assert_eq!(recovered.hard_state, hard_state, "the hard state is copied to the new log");
    assert_eq!(recovered.entries.iter().map(|it| it.index).collect::<Vec<_>>(), [9, 10]);
    assert!(!folder.path().join("log-0").exists());
}

/// A log cut at any byte keeps the entries before the cut and drops the rest.
#[test]
fn torn_tail_is_cut_at_every_byte() {
    let folder = tempfile::tempdir().unwrap();
    let log = write_ten_entries(folder.path());
    let log_bytes = fs::read(&log).unwrap();
    let mut previous_count = 0;
    for length in 0..log_bytes.len() {
        fs::write(&log, &log_bytes[..length]).unwrap();
        let (_, recovered) = open(folder.path()).unwrap();
        let count = recovered.entries.len();
        assert!(
            previous_count <= count && count <= 10,
            "{length} bytes give {count} entries after {previous_count}"
        );
        previous_count = count;
    }
}

/// A flipped bit in the last record looks like a torn write, so that record may be dropped. With a
/// flipped bit before it the member must refuse to start, not recover an older state as complete.
#[test]
fn flipped_bit_before_the_tail_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let log = write_ten_entries(folder.path());
    let log_bytes = fs::read(&log).unwrap();
    let mut refused_count = 0;
    for offset in 0..log_bytes.len() {
        let mut flipped = log_bytes.clone();
        flipped[offset] ^= 1 << (offset % 8);
        fs::write(&log, &flipped).unwrap();
        match open(folder.path()) {
            Ok((_, recovered)) => {
                assert!(
                    9 <= recovered.entries.len(),
                    "the flipped bit in byte {offset} dropped entries without an error"
                )
            }
            Err(report) => {
                assert!(report.to_string().contains("must not vote"), "{report}");
                refused_count += 1;
            }
        }
    }
    assert!(
        log_bytes.len() * 8 / 10 < refused_count,
        "{refused_count} of {} flipped bits were refused",
        log_bytes.len()
    );
}

#[test]
fn mark_lets_damage_to_the_last_record_show() {
    let folder = tempfile::tempdir().unwrap();
    let log = write_ten_entries(folder.path());
    open(folder.path()).unwrap().0.write_durability_mark().unwrap();
    let mut data = fs::read(&log).unwrap();
    let offset = data.len() - 40;
    data[offset] ^= 1;
    fs::write(&log, &data).unwrap();
    assert!(open(folder.path()).is_err());
}

#[test]
fn corrupt_snapshot_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let (mut disk, _) = open(folder.path()).unwrap();
    let snapshot = snapshot_at_8();
    disk.write(&[compact(Arc::new(snapshot))]).unwrap();
    drop(disk);
    let path = folder.path().join("snapshot-8");
    let mut data = fs::read(&path).unwrap();
    data[500] ^= 1;
    fs::write(&path, &data).unwrap();
    assert!(open(folder.path()).unwrap_err().to_string().contains("must not vote"));
}

#[test]
fn folder_is_locked_against_a_second_process() {
    let folder = tempfile::tempdir().unwrap();
    let _first = open(folder.path()).unwrap();
    assert!(open(folder.path()).unwrap_err().to_string().contains("in use"));
}

#[test]
fn identity_is_made_once_and_checked() {
    let folder = tempfile::tempdir().unwrap();
    assert!(Identity::read(folder.path()).unwrap_err().to_string().contains("aspenrail init"));
    identity().create(folder.path()).unwrap();
    assert_eq!(Identity::read(folder.path()).unwrap(), identity());
    assert!(
        identity().create(folder.path()).is_err(),
        "a second identity would discard the votes of the first"
    );
    let path = folder.path().join("identity");
    let text = fs::read_to_string(&path).unwrap();
    fs::write(&path, text.replace("format=1", "format=9")).unwrap();
    assert!(Identity::read(folder.path()).unwrap_err().to_string().contains("'9'"));
    // A number that does not fit must not become that of another group.
    for key in ["region", "group"] {
        let (one, large) = (format!("{key}=1\n"), format!("{key}=257\n"));
        assert!(text.contains(&one), "{text}");
        fs::write(&path, text.replace(&one, &large)).unwrap();
        let error = Identity::read(folder.path()).unwrap_err().to_string();
        assert!(error.contains(key) && error.contains("'257'"), "{error}");
    }
}
