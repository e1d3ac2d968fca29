//! A process of the system: cores as actors, and the adapters that do their I/O.
//!
//! One `stakker` thread holds all decision state and never blocks. Every link, disk and HTTP edge
//! is an adapter on threads of its own, with a bounded queue to the core's thread.

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
