//! The data folder of a control member.
//!
//! The file `identity` identifies the disk, `snapshot-N` holds the state at index N, and `log-N` the
//! records written after it. A file is valid only once it and its folder are synced.

mod identity;
mod storage;

use std::{io, path::Path, sync::Arc};

use error_stack::ResultExt;

use crate::{
    control::log::{
        disk::storage::{io_error, replace_file, sync_folder},
        record::{self, DiskWrite, HardState, LogTail, Record, RecoveredState, Snapshot},
    },
    prelude::*,
    util::checksum,
};

pub use self::identity::Identity;
pub use self::storage::{DataFolder, Storage, StorageFile};

/// The open log of a control member.
#[derive(Debug)]
pub struct Disk<S: Storage = DataFolder> {
    storage: S,
    /// The log file and its name.
    file: S::File,
    name: String,
    size_bytes: u64,
    durable_bytes: u64,
    /// Number of writes that are durable although the latest [`Disk::write`] failed.
    durable_write_count: usize,
    hard_state: HardState,
    free_min_bytes: u64,
}

impl Disk {
    /// Locks a data folder of the file system and recovers the durable state.
    ///
    /// # Errors
    ///
    /// As [`Disk::recover`], and when another process has locked the folder.
    pub fn open(
        folder: &Path,
        identity: &Identity,
        free_min_bytes: u64,
    ) -> Result<(Disk, RecoveredState)> {
        Disk::recover(DataFolder::lock(folder)?, identity, free_min_bytes)
    }
}

impl<S: Storage> Disk<S> {
    /// Opens a data folder and recovers the durable state.
    ///
    /// A torn tail of the log is truncated: its records were never acknowledged.
    ///
    /// # Errors
    ///
    /// Returns an error when an operation fails, or when data that was durable cannot be read. The
    /// member must then not vote, because a vote or acknowledgement it gave may be lost.
    pub fn recover(
        storage: S,
        identity: &Identity,
        free_min_bytes: u64,
    ) -> Result<(Disk<S>, RecoveredState)> {
        let snapshot_index = newest_index(&storage, SNAPSHOT_PREFIX)?;
        let log_index = newest_index(&storage, LOG_PREFIX)?;
        let mut recovered = RecoveredState {
            initial_members: Membership { voters: identity.founders.clone(), learners: Vec::new() },
            ..RecoveredState::default()
        };
        // A snapshot is durable before its log file is created, so the log's index selects it.
        if let Some(index) = log_index.or(snapshot_index).filter(|it| 0 < *it) {
            recovered.snapshot = Some(read_snapshot(&storage, index)?);
        }
        let name = format!("{LOG_PREFIX}{}", log_index.unwrap_or(0));
        let path = storage.path(&name);
        let (size_bytes, existed) = replay_log(&storage, &name, &mut recovered)?;
        let mut file = storage.open(&name).change_context_lazy(|| io_error("open", &path))?;
        if existed {
            file.truncate(size_bytes).change_context_lazy(|| io_error("truncate", &path))?;
        }
        file.sync().change_context_lazy(|| io_error("sync", &path))?;
        sync_folder(&storage)?;
        let hard_state = recovered.hard_state;
        let disk = Disk {
            storage,
            file,
            name,
            size_bytes,
            durable_bytes: size_bytes,
            durable_write_count: 0,
            hard_state,
            free_min_bytes,
        };
        Ok((disk, recovered))
    }

    /// Makes all `writes` durable, with one sync unless they contain a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error when a write or a sync fails. Data written since the last sync is then in an
    /// unknown state (a second sync may report success for pages that the kernel dropped): the next
    /// write must go through [`Disk::retry_write`].
    pub fn write(&mut self, writes: &[DiskWrite]) -> Result<()> {
        self.durable_write_count = 0;
        let mut buffer = Vec::new();
        for (position, write) in writes.iter().enumerate() {
            match write {
                DiskWrite::HardState(hard_state) => {
                    self.hard_state = *hard_state;
                    record::encode(
                        &Record::HardState(*hard_state),
                        self.durable_bytes,
                        &mut buffer,
                    )?;
                }
                DiskWrite::Append(entries) => {
                    encode_entries(entries, self.durable_bytes, &mut buffer)?
                }
                DiskWrite::Truncate { from_index } => record::encode(
                    &Record::Truncate { from_index: *from_index },
                    self.durable_bytes,
                    &mut buffer,
                )?,
                DiskWrite::Snapshot { snapshot, later_entries } => {
                    // The new log file holds what the records so far have changed.
                    buffer.clear();
                    self.start_log_at(snapshot, later_entries)?;
                    self.durable_write_count = position + 1;
                }
            }
        }
        self.append(&buffer)?;
        self.sync()?;
        self.durable_write_count = 0;
        Ok(())
    }

    /// Repeats a failed [`Disk::write`], whose data may be partly on the disk.
    ///
    /// Truncates the log file to the last sync and writes the data again.
    ///
    /// # Errors
    ///
    /// As [`Disk::write`].
    pub fn retry_write(&mut self, writes: &[DiskWrite]) -> Result<()> {
        self.durable_write_count = 0;
        let path = self.path();
        let reopened = self.storage.open(&self.name);
        self.file = reopened.change_context_lazy(|| io_error("open", &path))?;
        let truncated = self.file.truncate(self.durable_bytes);
        truncated.change_context_lazy(|| io_error("truncate", &path))?;
        self.size_bytes = self.durable_bytes;
        self.write(writes)
    }

    /// Returns how many writes of a failed call are durable nevertheless: those up to the last snapshot
    /// that started a new log file.
    pub fn durable_write_count(&self) -> usize {
        self.durable_write_count
    }

    /// Records that all data so far is durable, so that corruption of it is not mistaken for a torn
    /// tail.
    ///
    /// # Errors
    ///
    /// As [`Disk::write`].
    pub fn write_durability_mark(&mut self) -> Result<()> {
        let mut buffer = Vec::new();
        record::encode(&Record::Mark, self.durable_bytes, &mut buffer)?;
        self.append(&buffer)?;
        self.sync()
    }

    /// Returns whether the disk has less free space than the settings require.
    pub fn is_full(&self) -> bool {
        self.storage.free_bytes().is_ok_and(|it| it < self.free_min_bytes)
    }

    fn path(&self) -> std::path::PathBuf {
        self.storage.path(&self.name)
    }

    fn append(&mut self, buffer: &[u8]) -> Result<()> {
        let written = self.file.append(buffer);
        written.change_context_lazy(|| io_error("write", &self.path()))?;
        self.size_bytes += buffer.len() as u64;
        Ok(())
    }

    fn sync(&mut self) -> Result<()> {
        if self.durable_bytes != self.size_bytes {
            let synced = self.file.sync();
            synced.change_context_lazy(|| io_error("sync", &self.path()))?;
            self.durable_bytes = self.size_bytes;
        }
        Ok(())
    }

    /// Writes a snapshot, replaces the log file by one that begins at its index, and removes the files
    /// of other indexes.
    ///
    /// The new log file holds the later entries before it gets its name. A start in between would
    /// otherwise find a log without entries that this member has acknowledged.
    fn start_log_at(&mut self, snapshot: &Snapshot, later_entries: &[Arc<LogEntry>]) -> Result<()> {
        let index = snapshot.index;
        let mut data = vec![0; 4];
        bincode::serde::encode_into_std_write(snapshot, &mut data, bincode::config::standard())
            .change_context_lazy(|| Error::new(ErrorKind::Internal, "cannot encode a snapshot"))?;
        let sum = checksum(&data[4..]).to_le_bytes();
        data[..4].copy_from_slice(&sum);
        replace_file(&self.storage, &format!("{SNAPSHOT_PREFIX}{index}"), &data)?;

        let mut start = Vec::new();
        record::encode(&Record::HardState(self.hard_state), 0, &mut start)?;
        encode_entries(later_entries, 0, &mut start)?;
        let name = format!("{LOG_PREFIX}{index}");
        replace_file(&self.storage, &name, &start)?;
        let opened = self.storage.open(&name);
        self.file = opened.change_context_lazy(|| io_error("open", &self.storage.path(&name)))?;
        self.name = name;
        self.size_bytes = start.len() as u64;
        self.durable_bytes = self.size_bytes;
        for prefix in [SNAPSHOT_PREFIX, LOG_PREFIX] {
            for old in file_indexes(&self.storage, prefix)?.into_iter().filter(|it| *it != index) {
                // A remaining file is ignored at the next start, which uses the newest index.
                let _ = self.storage.remove(&format!("{prefix}{old}"));
            }
        }
        Ok(())
    }
}

fn encode_entries(
    entries: &[Arc<LogEntry>],
    durable_bytes: u64,
    buffer: &mut Vec<u8>,
) -> Result<()> {
    for entry in entries {
        record::encode(&Record::Entry((**entry).clone()), durable_bytes, buffer)?;
    }
    Ok(())
}

const SNAPSHOT_PREFIX: &str = "snapshot-";

const LOG_PREFIX: &str = "log-";

fn file_indexes<S: Storage>(storage: &S, prefix: &str) -> Result<Vec<u64>> {
    let names = storage.list().change_context_lazy(|| io_error("list", storage.folder()))?;
    Ok(names.iter().filter_map(|it| it.strip_prefix(prefix)?.parse().ok()).collect())
}

fn newest_index<S: Storage>(storage: &S, prefix: &str) -> Result<Option<u64>> {
    Ok(file_indexes(storage, prefix)?.into_iter().max())
}

fn read_snapshot<S: Storage>(storage: &S, index: u64) -> Result<Snapshot> {
    let name = format!("{SNAPSHOT_PREFIX}{index}");
    let path = storage.path(&name);
    let data = storage.read(&name).change_context_lazy(|| io_error("read", &path))?;
    let corrupt = || {
        let message = format_compact!(
            "{} is corrupt: this member must not vote; replace its disk",
            path.display()
        );
        Error::report(ErrorKind::Internal, message)
    };
    let sum = data
        .get(..4)
        .and_then(|it| it.try_into().ok())
        .map(u32::from_le_bytes)
        .ok_or_else(corrupt)?;
    if checksum(&data[4..]) != sum {
        return Err(corrupt());
    }
    let decoded = bincode::serde::decode_from_slice(&data[4..], bincode::config::standard());
    decoded.map(|(it, _)| it).map_err(|_| corrupt())
}

/// Replays the records of a log file; returns the size of its readable part and whether it existed.
fn replay_log<S: Storage>(
    storage: &S,
    name: &str,
    recovered: &mut RecoveredState,
) -> Result<(u64, bool)> {
    let path = storage.path(name);
    let data = match storage.read(name) {
        Ok(it) => it,
        Err(it) if it.kind() == io::ErrorKind::NotFound => return Ok((0, false)),
        Err(it) => return Err(it).change_context_lazy(|| io_error("read", &path)),
    };
    let mut offset = 0;
    while let Some(decoded) = record::decode(&data[offset..]) {
        offset += decoded.size_bytes;
        recovered.replay(decoded.record)?;
    }
    match record::classify_tail(&data, offset) {
        LogTail::Whole => (),
        LogTail::Torn => {
            let torn_bytes = data.len() - offset;
            tracing::warn!(event = "log_tail_cut", path = %path.display(), offset_bytes = offset, torn_bytes);
        }
        LogTail::Corrupt => {
            let message = format_compact!(
                "{} is corrupt at byte {offset}, before records known to be durable: this member must not vote; \
                 replace its disk",
                path.display()
            );
            return Err(Error::report(ErrorKind::Internal, message));
        }
    }
    Ok((offset as u64, true))
}
