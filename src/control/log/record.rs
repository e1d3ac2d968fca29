//! The records of the log file.
//!
//! A record is a header of 20 bytes and a body: length, offset known durable when the record
//! was written, checksum of the body, checksum of the header before it. The durable offset is
//! what tells a torn tail from corruption: a bad record that a later record vouches for was
//! once whole on the disk, so it did not come from a write cut short.

use std::sync::Arc;

use crate::{prelude::*, util::checksum};

/// Term and vote of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HardState {
    pub term: u64,
    pub vote: Option<MemberId>,
}

/// The state at one index of the log.
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
    /// Replaces everything up to the snapshot's index.
    Snapshot(Arc<Snapshot>),
}

/// What a member's disk kept.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    pub hard_state: HardState,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<LogEntry>,
    /// The membership before the first entry; empty for a member that joins later.
    pub initial_members: Membership,
}

impl RecoveredState {
    /// Takes in a write that was found durable.
    ///
    /// # Errors
    ///
    /// Returns an error when an entry does not follow the one before it.
    pub(super) fn replay(&mut self, record: Record) -> Result<()> {
        match record {
            Record::HardState(it) => self.hard_state = it,
            Record::Entry(it) => {
                let next = self.last_index() + 1;
                if it.index != next {
                    let message =
                        format_compact!("log entry {} found where {next} is due", it.index);
                    return Err(Error::report(ErrorKind::Internal, message));
                }
                self.entries.push(it);
            }
            Record::Truncate { from_index } => {
                let first = self.first_index();
                self.entries.truncate(from_index.saturating_sub(first) as usize);
            }
            Record::Mark => (),
        }
        Ok(())
    }

    fn first_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |it| it.index) + 1
    }

    fn last_index(&self) -> u64 {
        self.first_index() + self.entries.len() as u64 - 1
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
    /// Says only that everything before it is durable.
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

/// A record read back.
pub(super) struct Decoded {
    pub record: Record,
    pub durable_bytes: u64,
    pub size_bytes: usize,
}

/// Reads the record at the start of `data`, or nothing where no whole record stands.
pub(super) fn decode(data: &[u8]) -> Option<Decoded> {
    let header = data.get(..HEADER_BYTES)?;
    let word = |at: usize| {
        header.get(at..at + 4).and_then(|it| it.try_into().ok()).map(u32::from_le_bytes)
    };
    let durable_bytes = u64::from_le_bytes(header.get(4..12)?.try_into().ok()?);
    if word(16)? != checksum(&header[..16]) {
        return None;
    }
    let size_bytes = HEADER_BYTES + word(0)? as usize;
    let body = data.get(HEADER_BYTES..size_bytes)?;
    if word(12)? != checksum(body) {
        return None;
    }
    let (record, _) = bincode::serde::decode_from_slice(body, bincode::config::standard()).ok()?;
    Some(Decoded { record, durable_bytes, size_bytes })
}

/// What is wrong at the end of the readable records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LogTail {
    Whole,
    /// A write was cut short; what stands there was never acknowledged.
    Torn,
    /// Records that were once durable cannot be read.
    Corrupt,
}

/// Judges what follows the last readable record, which ends at `offset`.
pub(super) fn judge_tail(data: &[u8], offset: usize) -> LogTail {
    if offset == data.len() {
        return LogTail::Whole;
    }
    let vouched = (offset + 1..data.len())
        .filter_map(|at| decode(&data[at..]))
        .any(|it| offset < it.durable_bytes as usize);
    if vouched { LogTail::Corrupt } else { LogTail::Torn }
}

/// Returns about how much memory an entry takes; exact where it is large.
pub(super) fn weight_bytes(entry: &LogEntry) -> usize {
    let EntryBody::Command(Command::Workflow(it)) = &entry.body else { return ENTRY_BYTES };
    let more = match it {
        WorkflowCommand::Install(it) => {
            let text = |it: &Queue| it.name.len() + it.host.len() + it.path_prefix.len();
            let queues: usize = it.queues.iter().map(text).sum();
            it.document.len() + queues + it.queues.len() * size_of::<Queue>()
        }
        WorkflowCommand::Submit(it) => {
            it.spec.payload.len() + it.spec.steps.len() * size_of::<WorkflowStep>()
        }
        WorkflowCommand::Begin(it) => it.len() * size_of::<RunPlacement>(),
        WorkflowCommand::Finish(it) => it.ends.len() * size_of::<RunEnd>(),
        WorkflowCommand::Void(it) => it.runs.len() * size_of::<RunRef>(),
        WorkflowCommand::Learn(it) => it.len() * size_of::<ImageCost>(),
        _ => 0,
    };
    ENTRY_BYTES + more
}

/// Memory of an entry without what its command lists.
const ENTRY_BYTES: usize = 200;
