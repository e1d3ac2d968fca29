//! The data folder of a control member.
//!
//! `identity` says which disk this is, `snapshot-N` holds the state at index N, and `log-N` the
//! records written since. A file counts only once it is synced, and its folder with it.

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
    util::{Place, checksum},
};

const FORMAT: u32 = 1;

/// Identities of members that join; founders that are known by their address lie above.
const JOINER_IDS: std::ops::Range<u64> = 1 << 20..1 << 52;

/// Returns the identity of a founder that all founders derive from its address.
fn founder_id(address: std::net::SocketAddr) -> MemberId {
    let digest = crate::util::digest_of(&[address.to_string().as_bytes()]);
    MemberId((1 << 52) | (digest & ((1 << 52) - 1)))
}

/// Which disk this is, written once by `aspenrail init`.
///
/// A disk that was lost comes back under a new identity: its votes and acknowledgements are
/// gone, and a member that forgot what it promised must not be taken for the old one.
#[derive(Clone, Debug, PartialEq)]
pub struct Identity {
    pub member: MemberId,
    pub group_id: Place,
    /// The founding members; empty for one that joins a running group.
    pub founders: Vec<Member>,
}

/// The exclusive lock on a data folder, held while it lives.
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
    /// Writes of the newest call that are durable though it failed.
    durable_write_count: usize,
    hard_state: HardState,
    free_min_bytes: u64,
    _lock: DiskLock,
}

impl Identity {
    /// Writes a new data folder.
    ///
    /// # Errors
    ///
    /// Returns an error when the folder holds an identity already or cannot be written.
    pub fn create(&self, folder: &Path) -> Result<()> {
        let path = folder.join("identity");
        if path.exists() {
            let message =
                format_compact!("data folder {} has an identity already", folder.display());
            return Err(Error::report(ErrorKind::BadRequest, message));
        }
        fs::create_dir_all(folder).change_context_lazy(|| cannot("make", folder))?;
        let founders: Vec<_> =
            self.founders.iter().map(|it| format!("{}@{}", it.id.0, it.address)).collect();
        let mut file = Ini::new();
        file.with_section(Some("identity"))
            .set("format", FORMAT.to_string())
            .set("member", self.member.0.to_string())
            .set("region", self.group_id.region.to_string())
            .set("group", self.group_id.group.to_string())
            .set("founders", founders.join(","));
        let mut text = Vec::new();
        file.write_to(&mut text).change_context_lazy(|| cannot("write", &path))?;
        replace_file(folder, "identity", &text)
    }

    /// Reads the identity of a data folder, or makes one for a folder that has none.
    ///
    /// A process among the `founders` founds the group with them under an identity that all of
    /// them know from its address; any other gets one that nobody has had before, and joins.
    ///
    /// # Errors
    ///
    /// Returns an error when the folder cannot be read or written.
    pub fn read_or_make(
        folder: &Path,
        group_id: Place,
        own: std::net::SocketAddr,
        founders: &[std::net::SocketAddr],
    ) -> Result<Identity> {
        if folder.join("identity").exists() {
            return Identity::read(folder);
        }
        let founder = |it: &std::net::SocketAddr| Member { id: founder_id(*it), address: *it };
        let identity = match founders.contains(&own) {
            true => {
                let founders = founders.iter().map(founder).collect();
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
    /// Returns an error when there is none, or its format is not known to this version.
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
            file.get_from(Some("identity"), key).ok_or_else(|| bad_identity(&path, key, "missing"))
        };
        let number = |key: &str| -> Result<u64> {
            let text = value(key)?;
            text.parse().map_err(|_| bad_identity(&path, key, text))
        };
        if number("format")? != u64::from(FORMAT) {
            return Err(bad_identity(&path, "format", value("format")?));
        }
        let mut founders = Vec::new();
        for it in value("founders")?.split(',').filter(|it| !it.is_empty()) {
            let (id, address) =
                it.split_once('@').ok_or_else(|| bad_identity(&path, "founders", it))?;
            let id = id.parse().map_err(|_| bad_identity(&path, "founders", it))?;
            let address = address.parse().map_err(|_| bad_identity(&path, "founders", it))?;
            founders.push(Member { id: MemberId(id), address });
        }
        let group_id = Place { region: number("region")? as u8, group: number("group")? as u8 };
        Ok(Identity { member: MemberId(number("member")?), group_id, founders })
    }
}

impl DiskLock {
    /// Locks a data folder against other processes.
    ///
    /// # Errors
    ///
    /// Returns an error when another process holds it.
    pub fn acquire(folder: &Path) -> Result<DiskLock> {
        let path = folder.join("lock");
        let file = File::create(&path).change_context_lazy(|| cannot("open", &path))?;
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
    /// Opens a data folder and reads back what it kept.
    ///
    /// A torn tail is cut off: nothing in it was ever acknowledged.
    ///
    /// # Errors
    ///
    /// Returns an error when the folder is locked, or when something that was durable can no
    /// longer be read; the member must then not vote, since it may have forgotten a promise.
    pub fn open(
        folder: &Path,
        identity: &Identity,
        free_min_bytes: u64,
    ) -> Result<(Disk, RecoveredState)> {
        let lock = DiskLock::acquire(folder)?;
        let snapshot_index = newest(folder, "snapshot-")?;
        let log_index = newest(folder, "log-")?;
        let mut recovered = RecoveredState {
            initial_members: Membership { voters: identity.founders.clone(), learners: Vec::new() },
            ..RecoveredState::default()
        };
        // A snapshot is durable before the log that begins at it is made, so the log decides.
        if let Some(index) = log_index.or(snapshot_index).filter(|it| 0 < *it) {
            recovered.snapshot = Some(read_snapshot(&folder.join(format!("snapshot-{index}")))?);
        }
        let path = folder.join(format!("log-{}", log_index.unwrap_or(0)));
        let (size_bytes, existed) = replay_log(&path, &mut recovered)?;
        let mut file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&path)
            .change_context_lazy(|| cannot("open", &path))?;
        if existed {
            file.set_len(size_bytes).change_context_lazy(|| cannot("truncate", &path))?;
        }
        file.flush()
            .and_then(|()| file.sync_all())
            .change_context_lazy(|| cannot("sync", &path))?;
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

    /// Makes `writes` durable: one sync for all of them.
    ///
    /// # Errors
    ///
    /// Returns an error when a write or a sync fails. What is on the disk since the last sync is then
    /// unknown (a second sync may report success for pages that were dropped): nothing may be written
    /// but by [`Disk::retry_write`].
    pub fn write(&mut self, writes: &[DiskWrite]) -> Result<()> {
        self.durable_write_count = 0;
        let mut buffer = Vec::new();
        for (at, it) in writes.iter().enumerate() {
            match it {
                DiskWrite::HardState(hard) => {
                    self.hard_state = *hard;
                    record::encode(&Record::HardState(*hard), self.durable_bytes, &mut buffer)?;
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
                    self.begin_at(snapshot)?;
                    self.durable_write_count = at + 1;
                }
            }
        }
        self.append(&buffer)?;
        self.sync()?;
        self.durable_write_count = 0;
        Ok(())
    }

    /// Makes durable what a failed [`Disk::write`] may have written in part.
    ///
    /// All since the last sync is cut off and written anew.
    ///
    /// # Errors
    ///
    /// As [`Disk::write`].
    pub fn retry_write(&mut self, writes: &[DiskWrite]) -> Result<()> {
        self.durable_write_count = 0;
        let reopen = || OpenOptions::new().append(true).open(&self.path);
        self.file = reopen().change_context_lazy(|| cannot("open", &self.path))?;
        let cut = self.file.set_len(self.durable_bytes);
        cut.change_context_lazy(|| cannot("truncate", &self.path))?;
        self.size_bytes = self.durable_bytes;
        self.write(writes)
    }

    /// Returns how many writes of a call that failed are durable all the same: all before a log that
    /// was begun anew.
    pub fn durable_write_count(&self) -> usize {
        self.durable_write_count
    }

    /// Notes that all before is durable, so that damage to it is never taken for a torn tail.
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

    /// Returns whether the disk has less free space than the settings ask for.
    pub fn is_full(&self) -> bool {
        rustix::fs::fstatvfs(&self.file)
            .is_ok_and(|it| it.f_bavail * it.f_frsize < self.free_min_bytes)
    }

    fn append(&mut self, buffer: &[u8]) -> Result<()> {
        self.file.write_all(buffer).change_context_lazy(|| cannot("write", &self.path))?;
        self.size_bytes += buffer.len() as u64;
        Ok(())
    }

    fn sync(&mut self) -> Result<()> {
        if self.durable_bytes != self.size_bytes {
            self.file.sync_data().change_context_lazy(|| cannot("sync", &self.path))?;
            self.durable_bytes = self.size_bytes;
        }
        Ok(())
    }

    /// Begins a new log file at a snapshot and removes what it replaces.
    fn begin_at(&mut self, snapshot: &Snapshot) -> Result<()> {
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
        self.file = opened.change_context_lazy(|| cannot("open", &path))?;
        self.path = path;
        self.size_bytes = start.len() as u64;
        self.durable_bytes = self.size_bytes;
        for prefix in ["snapshot-", "log-"] {
            for old in indexes(&self.folder, prefix)?.into_iter().filter(|it| *it != index) {
                // A file that stays behind is passed over at the next start.
                let _ = fs::remove_file(self.folder.join(format!("{prefix}{old}")));
            }
        }
        Ok(())
    }
}

fn cannot(verb: &str, path: &Path) -> Error {
    Error::new(ErrorKind::Internal, format_compact!("cannot {verb} {}", path.display()))
}

fn bad_identity(path: &Path, key: &str, value: &str) -> error_stack::Report<Error> {
    let message = format_compact!("{}: key {key} has the unusable value '{value}'", path.display());
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
        // Part of a file takes room that may be what is missing; one that stays is replaced later.
        let _ = fs::remove_file(&temporary);
    }
    written.change_context_lazy(|| cannot("write", &path))?;
    sync_folder(folder)
}

fn sync_folder(folder: &Path) -> Result<()> {
    File::open(folder).and_then(|it| it.sync_all()).change_context_lazy(|| cannot("sync", folder))
}

fn indexes(folder: &Path, prefix: &str) -> Result<Vec<u64>> {
    let names = fs::read_dir(folder).change_context_lazy(|| cannot("list", folder))?;
    let names = names.filter_map(|it| it.ok()?.file_name().into_string().ok());
    Ok(names.filter_map(|it| it.strip_prefix(prefix)?.parse().ok()).collect())
}

fn newest(folder: &Path, prefix: &str) -> Result<Option<u64>> {
    Ok(indexes(folder, prefix)?.into_iter().max())
}

fn read_snapshot(path: &Path) -> Result<Snapshot> {
    let data = fs::read(path).change_context_lazy(|| cannot("read", path))?;
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

/// Reads the records of a log file; returns the size of its sound part and whether it existed.
fn replay_log(path: &Path, recovered: &mut RecoveredState) -> Result<(u64, bool)> {
    let data = match fs::read(path) {
        Ok(it) => it,
        Err(it) if it.kind() == io::ErrorKind::NotFound => return Ok((0, false)),
        Err(it) => return Err(it).change_context_lazy(|| cannot("read", path)),
    };
    let mut offset = 0;
    while let Some(it) = record::decode(&data[offset..]) {
        offset += it.size_bytes;
        recovered.replay(it.record)?;
    }
    match record::judge_tail(&data, offset) {
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
