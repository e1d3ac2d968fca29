//! Cost of commits on the local disk by batch size, and of recovery by log length.

use std::{path::Path, sync::Arc, time::Instant};

use crate::{
    control::log::{Disk, DiskWrite, Identity, Raft, RaftOptions, RecoveredState},
    prelude::*,
    util::{Clock, GroupId},
};

/// Writes `commits` commands of `bytes` each at every batch size; prints a line for each size.
///
/// # Errors
///
/// Returns an error if the folder cannot be written.
pub fn run(folder: &Path, commits: u64, bytes: usize) -> Result<()> {
    println!("batch commits seconds commits_per_second syncs bytes_per_commit");
    for batch in [1, 8, 64, 512] {
        let path = folder.join(format!("batch-{batch}"));
        let mut disk = create(&path)?;
        let started_at = Instant::now();
        let mut index = 0;
        let mut syncs = 0;
        while index < commits {
            let count = batch.min(commits - index);
            let entries = (1..=count).map(|it| Arc::new(entry(index + it, bytes))).collect();
            disk.write(&[DiskWrite::Append(entries)])?;
            index += count;
            syncs += 1;
        }
        let seconds = started_at.elapsed().as_secs_f64();
        let size = std::fs::metadata(path.join("log-0")).map_or(0, |it| it.len());
        let rate = commits as f64 / seconds;
        println!("{batch} {commits} {seconds:.3} {rate:.0} {syncs} {}", size / commits);
    }
    measure_recovery(folder, bytes)
}

/// Measures the recovery of a member by the length of its log.
fn measure_recovery(folder: &Path, bytes: usize) -> Result<()> {
    println!("log_entries recovery_ms resident_growth_B");
    for count in [1_000, 10_000, 50_000] {
        let path = folder.join(format!("recover-{count}"));
        let mut disk = create(&path)?;
        let entries: Vec<_> = (1..=count).map(|it| Arc::new(entry(it, bytes))).collect();
        for it in entries.chunks(1_000) {
            disk.write(&[DiskWrite::Append(it.to_vec())])?;
        }
        drop((disk, entries));
        let resident = crate::bench::resident_bytes();
        let started_at = Instant::now();
        let (_disk, recovered): (Disk, RecoveredState) =
            Disk::open(&path, &Identity::read(&path)?, 0)?;
        let raft = Raft::new(MemberId(1), recovered, RaftOptions::default(), Clock.now());
        let recovery_ms = started_at.elapsed().as_secs_f64() * 1e3;
        let growth = crate::bench::resident_bytes().saturating_sub(resident);
        println!("{} {recovery_ms:.1} {growth}", raft.last_index());
    }
    Ok(())
}

fn create(folder: &Path) -> Result<Disk> {
    let group_id = GroupId { region: 1, group: 1 };
    let identity = Identity { member: MemberId(1), group_id, founders: Vec::new() };
    identity.create(folder)?;
    Ok(Disk::open(folder, &identity, 0)?.0)
}

fn entry(index: u64, bytes: usize) -> LogEntry {
    let command = PublishCommand {
        team: "team".into(),
        key: format_compact!("key-{index}"),
        subject: "subject".into(),
        body: "x".repeat(bytes).into(),
    };
    LogEntry {
        index,
        term: 1,
        time_ms: 1_700_000_000_000 + index,
        body: EntryBody::Command(Command::Publish(command)),
    }
}
