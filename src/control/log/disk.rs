//! The data folder of a control member.
//!
//! The file `identity` identifies the disk, `snapshot-N` holds the state at index N, and `log-N` the
//! records written after it. A file is valid only once it and its folder are synced.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Write},
    os::unix::fs::FileExt,
    path::{Path, PathBuf},
};

use error_stack::ResultExt;
use ini::Ini;

use crate::{
    control::log::record::{self, DiskWrite, HardState, LogTail, Record, RecoveredState, Snapshot},
    prelude::*,
    util::{GroupId, checksum},
};

const IDENTITY_FORMAT: u32 = 1;

/// Identities of members that join; those derived from the addresses of founders are higher.
const JOINER_IDS: std::ops::Range<u64> = 1 << 20..1 << 52;

/// Derives a founder's identity from its address, so that all founders compute the same one.
fn founder_id(address: std::net::SocketAddr) -> MemberId {
    let digest = crate::util::digest_of(&[address.to_string().as_bytes()]);
    MemberId((1 << 52) | (digest & ((1 << 52) - 1)))
}

/// Identity of a disk, written once when its data folder is created.
///
/// The replacement of a lost disk gets a new identity: the votes and acknowledgements of the old one
/// are gone, and a member without them must not be mistaken for the old member.
#[derive(Clone, Debug, PartialEq)]
pub struct Identity {
    pub member: MemberId,
    pub group_id: GroupId,
    /// Founding members; empty for a member that joins a running group.
    pub founders: Vec<Member>,
}

/// Exclusive lock on a data folder, released on drop.
#[derive(Debug)]
pub struct DiskLock {
    _file: File,
}

/// The open log of a control member.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    file: File,
    path: PathBuf,
    size_bytes: u64,
    durable_bytes: u64,
    /// Number of writes that are durable although the latest [`Disk::write`] failed.
    durable_write_count: usize,
    hard_state: HardState,
    free_min_bytes: u64,
    _lock: DiskLock,
}

impl Identity {
    /// Creates a data folder with this identity.
    ///
    /// # Errors
    ///
    /// Returns an error when the folder already has an identity or cannot be written.
    pub fn create(&self, folder: &Path) -> Result<()> {
        let path = folder.join("identity");
        if path.exists() {
            let message =
                format_compact!("data folder {} already has an identity", folder.display());
            return Err(Error::report(ErrorKind::BadRequest, message));
        }
        fs::create_dir_all(folder).change_context_lazy(|| io_error("make", folder))?;
        let founders: Vec<_> =
            self.founders.iter().map(|it| format!("{}@{}", it.id.0, it.address)).collect();
        let mut file = Ini::new();
        file.with_section(Some("identity"))
            .set("format", IDENTITY_FORMAT.to_string())
            .set("member", self.member.0.to_string())
            .set("region", self.group_id.region.to_string())
            .set("group", self.group_id.group.to_string())
            .set("founders", founders.join(","));
        let mut text = Vec::new();
        file.write_to(&mut text).change_context_lazy(|| io_error("write", &path))?;
        replace_file(folder, "identity", &text)
    }

    /// Reads the identity of a data folder, or creates one if the folder has none.
    ///
    /// If `own` is among the `founders`, the process founds the group with them, under an identity
    /// derived from its address. Otherwise it gets a random identity and joins the group.
    ///
    /// # Errors
    ///
    /// Returns an error when the folder cannot be read or written.
    pub fn read_or_create(
        folder: &Path,
        group_id: GroupId,
        own: std::net::SocketAddr,
        founders: &[std::net::SocketAddr],
    ) -> Result<Identity> {
        if folder.join("identity").exists() {
            return Identity::read(folder);
        }
        let member_of = |it: &std::net::SocketAddr| Member { id: founder_id(*it), address: *it };
        let identity = match founders.contains(&own) {
            true => {
                let founders = founders.iter().map(member_of).collect();
                Identity { member: founder_id(own), group_id, founders }
            }
            false => {
                let member = MemberId(fastrand::u64(JOINER_IDS));
                Identity { member, group_id, founders: Vec::new() }
            }
        };
        identity.create(folder)?;
        Ok(identity)
    }

    /// Reads the identity of a data folder.
    ///
    /// # Errors
    ///
    /// Returns an error when there is none, its format is not supported, or a value is invalid.
    pub fn read(folder: &Path) -> Result<Identity> {
        let path = folder.join("identity");
        let file = Ini::load_from_file(&path).change_context_lazy(|| {
            let message = format_compact!(
                "data folder {} has no identity: run aspenrail init",
                folder.display()
            );
            Error::new(ErrorKind::BadRequest, message)
        })?;
        let value = |key: &str| -> Result<&str> {
            file.get_from(Some("identity"), key)
                .ok_or_else(|| invalid_identity(&path, key, "missing"))
        };
        let number = |key: &str| -> Result<u64> {
            let text = value(key)?;
            text.parse().map_err(|_| invalid_identity(&path, key, text))
        };
        if number("format")? != u64::from(IDENTITY_FORMAT) {
            return Err(invalid_identity(&path, "format", value("format")?));
        }
        let mut founders = Vec::new();
        for founder in value("founders")?.split(',').filter(|it| !it.is_empty()) {
            let (id, address) = founder
                .split_once('@')
                .ok_or_else(|| invalid_identity(&path, "founders", founder))?;
            let id = id.parse().map_err(|_| invalid_identity(&path, "founders", founder))?;
            let address =
                address.parse().map_err(|_| invalid_identity(&path, "founders", founder))?;
            founders.push(Member { id: MemberId(id), address });
        }
        let small_number = |key: &str| -> Result<u8> {
            let text = value(key)?;
            text.parse().map_err(|_| invalid_identity(&path, key, text))
        };
        let group_id = GroupId { region: small_number("region")?, group: small_number("group")? };
        Ok(Identity { member: MemberId(number("member")?), group_id, founders })
    }
}

impl DiskLock {
    /// Locks a data folder against other processes.
    ///
    /// # Errors
    ///
    /// Returns an error when another process holds the lock.
    pub fn acquire(folder: &Path) -> Result<DiskLock> {
        let path = folder.join("lock");
        let file = File::create(&path).change_context_lazy(|| io_error("open", &path))?;
        let operation = rustix::fs::FlockOperation::NonBlockingLockExclusive;
        rustix::fs::flock(&file, operation).change_context_lazy(|| {
            let message =
                format_compact!("data folder {} is in use by another process", folder.display());
            Error::new(ErrorKind::Internal, message)
        })?;
        Ok(DiskLock { _file: file })
    }
}

impl Disk {
    /// Opens a data folder and recovers the durable state.
    ///
    /// A torn tail of the log is truncated: its records were never acknowledged.
    ///
    /// # Errors
    ///
    /// Returns an error when the folder is locked, or when data that was durable cannot be read. The
    /// member must then not vote, because a vote or acknowledgement it gave may be lost.
    pub fn open(
        folder: &Path,
        identity: &Identity,
        free_min_bytes: u64,
    ) -> Result<(Disk, RecoveredState)> {
        let lock = DiskLock::acquire(folder)?;
        let snapshot_index = newest_index(folder, "snapshot-")?;
        let log_index = newest_index(folder, "log-")?;
        let mut recovered = RecoveredState {
            initial_members: Membership { voters: identity.founders.clone(), learners: Vec::new() },
            ..RecoveredState::default()
        };
        // A snapshot is durable before its log file is created, so the log's index selects it.
        if let Some(index) = log_index.or(snapshot_index).filter(|it| 0 < *it) {
            recovered.snapshot = Some(read_snapshot(&folder.join(format!("snapshot-{index}")))?);
        }
        let path = folder.join(format!("log-{}", log_index.unwrap_or(0)));
        let (size_bytes, existed) = replay_log(&path, &mut recovered)?;
        let mut file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&path)
            .change_context_lazy(|| io_error("open", &path))?;
        if existed {
            file.set_len(size_bytes).change_context_lazy(|| io_error("truncate", &path))?;
        }
        file.flush()
            .and_then(|()| file.sync_all())
            .change_context_lazy(|| io_error("sync", &path))?;
        sync_folder(folder)?;
        let hard_state = recovered.hard_state;
        let disk = Disk {
            folder: folder.to_owned(),
            file,
            path,
            size_bytes,
            durable_bytes: size_bytes,
            durable_write_count: 0,
            hard_state,
            free_min_bytes,
            _lock: lock,
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
                    for entry in entries {
                        record::encode(
                            &Record::Entry((**entry).clone()),
                            self.durable_bytes,
                            &mut buffer,
                        )?;
                    }
                }
                DiskWrite::Truncate { from_index } => record::encode(
                    &Record::Truncate { from_index: *from_index },
                    self.durable_bytes,
                    &mut buffer,
                )?,
                DiskWrite::Snapshot(snapshot) => {
                    self.append(&buffer)?;
                    buffer.clear();
                    self.start_log_at(snapshot)?;
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
        let reopen = || OpenOptions::new().append(true).open(&self.path);
        self.file = reopen().change_context_lazy(|| io_error("open", &self.path))?;
        let truncated = self.file.set_len(self.durable_bytes);
        truncated.change_context_lazy(|| io_error("truncate", &self.path))?;
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
        rustix::fs::fstatvfs(&self.file)
            .is_ok_and(|it| it.f_bavail * it.f_frsize < self.free_min_bytes)
    }

    fn append(&mut self, buffer: &[u8]) -> Result<()> {
        self.file.write_all(buffer).change_context_lazy(|| io_error("write", &self.path))?;
        self.size_bytes += buffer.len() as u64;
        Ok(())
    }

    fn sync(&mut self) -> Result<()> {
        if self.durable_bytes != self.size_bytes {
            self.file.sync_data().change_context_lazy(|| io_error("sync", &self.path))?;
            self.durable_bytes = self.size_bytes;
        }
        Ok(())
    }

    /// Writes a snapshot, starts a new log file at its index and removes the files of other indexes.
    fn start_log_at(&mut self, snapshot: &Snapshot) -> Result<()> {
        let index = snapshot.index;
        let mut data = vec![0; 4];
        bincode::serde::encode_into_std_write(snapshot, &mut data, bincode::config::standard())
            .change_context_lazy(|| Error::new(ErrorKind::Internal, "cannot encode a snapshot"))?;
        let sum = checksum(&data[4..]).to_le_bytes();
        data[..4].copy_from_slice(&sum);
        replace_file(&self.folder, &format!("snapshot-{index}"), &data)?;

        let mut start = Vec::new();
        record::encode(&Record::HardState(self.hard_state), 0, &mut start)?;
        let name = format!("log-{index}");
        replace_file(&self.folder, &name, &start)?;
        let path = self.folder.join(name);
        let opened = OpenOptions::new().append(true).open(&path);
        self.file = opened.change_context_lazy(|| io_error("open", &path))?;
        self.path = path;
        self.size_bytes = start.len() as u64;
        self.durable_bytes = self.size_bytes;
        for prefix in ["snapshot-", "log-"] {
            for old in file_indexes(&self.folder, prefix)?.into_iter().filter(|it| *it != index) {
                // A remaining file is ignored at the next start, which uses the newest index.
                let _ = fs::remove_file(self.folder.join(format!("{prefix}{old}")));
            }
        }
        Ok(())
    }
}

fn io_error(verb: &str, path: &Path) -> Error {
    Error::new(ErrorKind::Internal, format_compact!("cannot {verb} {}", path.display()))
}

fn invalid_identity(path: &Path, key: &str, value: &str) -> error_stack::Report<Error> {
    let message = format_compact!("{}: key {key} has the invalid value '{value}'", path.display());
    Error::report(ErrorKind::BadRequest, message)
}

fn replace_file(folder: &Path, name: &str, data: &[u8]) -> Result<()> {
    let path = folder.join(name);
    let temporary = folder.join(format!("{name}.new"));
    let write = || -> io::Result<()> {
        let file = File::create(&temporary)?;
        file.write_all_at(data, 0)?;
        file.sync_all()?;
        fs::rename(&temporary, &path)
    };
    let written = write();
    if written.is_err() {
        // The partial file may take the missing disk space; one that remains is overwritten later.
        let _ = fs::remove_file(&temporary);
    }
    written.change_context_lazy(|| io_error("write", &path))?;
    sync_folder(folder)
}

fn sync_folder(folder: &Path) -> Result<()> {
    File::open(folder).and_then(|it| it.sync_all()).change_context_lazy(|| io_error("sync", folder))
}

fn file_indexes(folder: &Path, prefix: &str) -> Result<Vec<u64>> {
    let names = fs::read_dir(folder).change_context_lazy(|| io_error("list", folder))?;
    let names = names.filter_map(|it| it.ok()?.file_name().into_string().ok());
    Ok(names.filter_map(|it| it.strip_prefix(prefix)?.parse().ok()).collect())
}

fn newest_index(folder: &Path, prefix: &str) -> Result<Option<u64>> {
    Ok(file_indexes(folder, prefix)?.into_iter().max())
}

fn read_snapshot(path: &Path) -> Result<Snapshot> {
    let data = fs::read(path).change_context_lazy(|| io_error("read", path))?;
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
fn replay_log(path: &Path, recovered: &mut RecoveredState) -> Result<(u64, bool)> {
    let data = match fs::read(path) {
        Ok(it) => it,
        Err(it) if it.kind() == io::ErrorKind::NotFound => return Ok((0, false)),
        Err(it) => return Err(it).change_context_lazy(|| io_error("read", path)),
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
