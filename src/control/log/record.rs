//! The records of the log file.
//!
//! A record consists of a 20-byte header and a body. The header holds the body length, the file
//! offset known to be durable when the record was written, the checksum of the body and the checksum
//! of the header fields before it. The durable offset distinguishes a torn tail from corruption: an
//! unreadable record below the durable offset of a later record was once complete on the disk, so it
//! does not come from an interrupted write.

use std::sync::Arc;

use crate::{
    prelude::*,
    schema::memory::{config_bytes, spec_bytes},
    util::checksum,
};

/// Term and vote of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HardState {
    pub term: u64,
    pub vote: Option<MemberId>,
}

/// Snapshot of the state machine at one log index.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Snapshot {
    pub index: u64,
    pub term: u64,
    pub members: Membership,
    pub checksum: u32,
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
}

/// One write of a member's durable state.
#[derive(Clone, Debug)]
pub enum DiskWrite {
    HardState(HardState),
    Append(Vec<Arc<LogEntry>>),
    Truncate {
        from_index: u64,
    },
    /// Replaces the log by a snapshot and all entries after it, in one step: the entries may have
    /// been acknowledged, so the disk must hold them at each moment.
    Snapshot {
        snapshot: Arc<Snapshot>,
        later_entries: Vec<Arc<LogEntry>>,
    },
}

/// Durable state of a member, as read from its disk at start-up.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    pub hard_state: HardState,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<LogEntry>,
    /// Membership before the first entry; empty for a member that joins a running group.
    pub initial_members: Membership,
}

impl RecoveredState {
    /// Applies one record read from the log file.
    ///
    /// # Errors
    ///
    /// Returns an error when the index of an entry does not follow that of the previous entry.
    pub(super) fn replay(&mut self, record: Record) -> Result<()> {
        match record {
            Record::HardState(hard_state) => self.hard_state = hard_state,
            Record::Entry(entry) => {
                let next = self.last_index() + 1;
                if entry.index != next {
                    let message =
                        format_compact!("log entry {} found, expected {next}", entry.index);
                    return Err(Error::report(ErrorKind::Internal, message));
                }
                self.entries.push(entry);
            }
            Record::Truncate { from_index } => {
                let first = self.snapshot_index() + 1;
                self.entries.truncate(from_index.saturating_sub(first) as usize);
            }
            Record::Mark => (),
        }
        Ok(())
    }

    /// Returns the index of the snapshot, or 0 without one.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |it| it.index)
    }

    /// Returns the index of the last entry, or of the snapshot without entries.
    pub fn last_index(&self) -> u64 {
        self.snapshot_index() + self.entries.len() as u64
    }
}

/// A record of the log file.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub(super) enum Record {
    HardState(HardState),
    Entry(LogEntry),
    Truncate {
        from_index: u64,
    },
    /// Records that all data before it is durable.
    Mark,
}

pub(super) const HEADER_BYTES: usize = 20;

/// Appends an encoded record to `buffer`.
pub(super) fn encode(record: &Record, durable_bytes: u64, buffer: &mut Vec<u8>) -> Result<()> {
    let body =
        bincode::serde::encode_to_vec(record, bincode::config::standard()).map_err(|it| {
            Error::report(ErrorKind::Internal, format_compact!("cannot encode a log record: {it}"))
        })?;
    let start = buffer.len();
    buffer.extend_from_slice(&(body.len() as u32).to_le_bytes());
    buffer.extend_from_slice(&durable_bytes.to_le_bytes());
    buffer.extend_from_slice(&checksum(&body).to_le_bytes());
    let header_sum = checksum(&buffer[start..]);
    buffer.extend_from_slice(&header_sum.to_le_bytes());
    buffer.extend_from_slice(&body);
    Ok(())
}

/// A record read from the log file.
pub(super) struct DecodedRecord {
    pub record: Record,
    pub durable_bytes: u64,
    pub size_bytes: usize,
}

/// Decodes the record at the start of `data`; returns `None` if there is no complete, valid record.
pub(super) fn decode(data: &[u8]) -> Option<DecodedRecord> {
    let header = data.get(..HEADER_BYTES)?;
    let read_u32 = |at: usize| {
        header.get(at..at + 4).and_then(|it| it.try_into().ok()).map(u32::from_le_bytes)
    };
    let durable_bytes = u64::from_le_bytes(header.get(4..12)?.try_into().ok()?);
    if read_u32(16)? != checksum(&header[..16]) {
        return None;
    }
    let size_bytes = HEADER_BYTES + read_u32(0)? as usize;
    let body = data.get(HEADER_BYTES..size_bytes)?;
    if read_u32(12)? != checksum(body) {
        return None;
    }
    let (record, _) = bincode::serde::decode_from_slice(body, bincode::config::standard()).ok()?;
    Some(DecodedRecord { record, durable_bytes, size_bytes })
}

/// Condition of the data after the last readable record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LogTail {
    Whole,
    /// A write was interrupted; its data was never acknowledged.
    Torn,
    /// Records that were once durable cannot be read.
    Corrupt,
}

/// Classifies the data after the last readable record, which ends at `offset`.
pub(super) fn classify_tail(data: &[u8], offset: usize) -> LogTail {
    if offset == data.len() {
        return LogTail::Whole;
    }
    let was_durable = (offset + 1..data.len())
        .filter_map(|at| decode(&data[at..]))
        .any(|it| offset < it.durable_bytes as usize);
    if was_durable { LogTail::Corrupt } else { LogTail::Torn }
}

/// Estimates the memory of an entry; exact for the contents that can be large.
pub(super) fn estimated_bytes(entry: &LogEntry) -> usize {
    let EntryBody::Command(Command::Workflow(command)) = &entry.body else { return ENTRY_BYTES };
    let command_bytes = match command {
        WorkflowCommand::Install(it) => config_bytes(it),
        WorkflowCommand::Submit(it) => spec_bytes(&it.spec),
        WorkflowCommand::SubmitFrom(it) => spec_bytes(&it.workflow.spec),
        WorkflowCommand::Begin(it) => it.len() * size_of::<RunPlacement>(),
        WorkflowCommand::Finish(it) => it.ends.len() * size_of::<RunEnd>(),
        WorkflowCommand::Void(it) => it.runs.len() * size_of::<RunRef>(),
        WorkflowCommand::Learn(it) => it.len() * size_of::<ImageCost>(),
        WorkflowCommand::LearnRunTimes(it) => it.len() * size_of::<LearnedRunTime>(),
        WorkflowCommand::LearnSpeeds(it) => it.len() * size_of::<WorkerSpeed>(),
        WorkflowCommand::ConfirmBegun(it) => it.len() * size_of::<WorkflowId>(),
        _ => 0,
    };
    ENTRY_BYTES + command_bytes
}

/// Estimated memory of an entry without the variable-size contents of its command.
const ENTRY_BYTES: usize = 200;
