//! A disk that forgets what was not synced.

use std::collections::VecDeque;

use aspenrail::control::log::{DiskWrite, RecoveredState};

/// The disk of one control member.
#[derive(Clone, Debug, Default)]
pub struct FakeDisk {
    durable: RecoveredState,
    written: VecDeque<(u64, Vec<DiskWrite>)>,
    /// A disk that has failed syncs nothing any more.
    pub stuck: bool,
}

impl FakeDisk {
    pub fn new(durable: RecoveredState) -> FakeDisk {
        FakeDisk { durable, ..FakeDisk::default() }
    }

    pub fn write(&mut self, number: u64, writes: Vec<DiskWrite>) {
        self.written.push_back((number, writes));
    }

    /// Syncs everything written up to `number`.
    pub fn sync(&mut self, number: u64) {
        while self.written.front().is_some_and(|(it, _)| *it <= number) {
            let (_, writes) = self.written.pop_front().unwrap();
            writes.into_iter().for_each(|it| replay(&mut self.durable, it));
        }
    }

    /// Crashes: of the writes not synced, the first `kept` survive all the same.
    pub fn crash(&mut self, kept: usize) -> RecoveredState {
        let survivors: Vec<_> = self.written.drain(..).take(kept).collect();
        survivors.into_iter().flat_map(|(_, it)| it).for_each(|it| replay(&mut self.durable, it));
        self.durable.clone()
    }
}

fn replay(disk: &mut RecoveredState, write: DiskWrite) {
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
        DiskWrite::Snapshot(it) => {
            disk.snapshot = Some((*it).clone());
            disk.entries.clear();
        }
    }
}
