//! The replicated log of one control group.
//!
//! [`Raft`] decides: it is given messages, time and the word that writes are durable, and gives
//! back messages to send, writes to make and entries to apply. [`Disk`] keeps what it must not
//! forget. Neither knows what a command means.

mod disk;
mod options;
mod progress;
mod raft;
mod record;

pub use self::disk::{Disk, DiskLock, Identity};
pub use self::options::RaftOptions;
pub use self::raft::{Committed, ProposeError, Raft, Role};
pub use self::record::{DiskWrite, HardState, RecoveredState, Snapshot};
