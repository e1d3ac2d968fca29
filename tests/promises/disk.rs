//! A fake disk that loses unsynced writes in a crash.

use std::collections::VecDeque;

use aspenrail::control::log::{DiskWrite, RecoveredState};

/// The disk of one control member.
#[derive(Clone, Debug, Default)]
pub struct FakeDisk {
    durable: RecoveredState,
    unsynced: VecDeque<(u64, Vec<DiskWrite>)>,
    /// A failed disk syncs no further writes.
    pub has_failed: bool,
}

impl FakeDisk {
    pub fn new(durable: RecoveredState) -> FakeDisk {
        FakeDisk { durable, ..FakeDisk::default() }
    }

    pub fn write(&mut self, number: u64, writes: Vec<DiskWrite>) {
        self.unsynced.push_back((number, writes));
    }

    /// Syncs everything written up to `number`.
    pub fn sync(&mut self, number: u64) {
        while self.unsynced.front().is_some_and(|(it, _)| *it <= number) {
            let (_, writes) = self.unsynced.pop_front().unwrap();
            writes.into_iter().for_each(|it| apply_write(&mut self.durable, it));
        }
    }

    /// Simulates a crash and returns the surviving state: all synced writes and the first
    /// `kept_writes` unsynced ones.
    pub fn crash(&mut self, kept_writes: usize) -> RecoveredState {
        let survivors: Vec<_> = self.unsynced.drain(..).take(kept_writes).collect();
        survivors
            .into_iter()
            .flat_map(|(_, it)| it)
            .for_each(|it| apply_write(&mut self.durable, it));
        self.durable.clone()
    }
}

fn apply_write(disk: &mut RecoveredState, write: DiskWrite) {
    let first = disk.snapshot.as_ref().map_or(0, |it| it.index) + 1;
    match write {
        DiskWrite::HardState(it) => disk.hard_state = it,
        DiskWrite::Append(entries) => {
            for it in entries {
                assert_eq!(
                    it.index,
                    first + disk.entries.len() as u64,
                    "the log on disk has a gap"
                );
                disk.entries.push((*it).clone());
            }
        }
        DiskWrite::Truncate { from_index } => disk.entries.truncate((from_index - first) as usize),
        DiskWrite::Snapshot { snapshot, later_entries } => {
            disk.snapshot = Some((*snapshot).clone());
            disk.entries = later_entries.iter().map(|it| (**it).clone()).collect();
        }
    }
}
