//! The process runtime: cores as actors, and the adapters that do their I/O.
//!
//! One `stakker` thread holds all decision state and never blocks. Every link, disk and HTTP
//! listener runs on its own threads and sends events to the core thread through a bounded queue.
//! [`SingleThreadedProcess`] runs all but the disk on one thread.

mod adapters;
mod disk;
mod http_listeners;
mod process;
mod role;
mod signals;
mod single_threaded;
mod thread_pool;

pub use self::{
    process::{Event, ExitReason, Process, ProcessHandle},
    signals::{forward_signals, forward_signals_to},
    single_threaded::{Platform, SingleThreadedHandle, SingleThreadedProcess},
};
