//! The replicated log of one control group.
//!
//! [`Raft`] is the state machine of the protocol. Its inputs are messages, the time and the numbers
//! of durable writes; its outputs are messages to send, writes for the disk and committed entries to
//! apply. [`Disk`] stores the durable state. Neither interprets commands.

mod disk;
mod options;
mod progress;
mod raft;
mod record;

pub use self::disk::{DataFolder, Disk, Identity, Storage, StorageFile};
pub use self::options::RaftOptions;
pub use self::raft::{Committed, ProposeError, Raft, Role};
pub use self::record::{DiskWrite, HardState, RecoveredState, Snapshot};
