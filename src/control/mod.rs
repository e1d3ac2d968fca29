//! The control role: the replicated state of a group, and the decisions of its leader.
//!
//! [`ControlCore`] is one member. It holds the [`log`], applies it to the [`state`], and while
//! it leads keeps what only a leader needs: sessions' leases, the directory of endpoints and the
//! scheduler. It is given messages, operations, time and the word of the disk, and gives back
//! [`Effect`]s; it does no I/O.

pub mod client;
mod core;
mod directory;
pub mod dispatch;
pub mod leader_finder;
pub mod log;
mod reconcile;
mod scheduler;
mod sessions;
pub mod state;
mod views;

pub use self::{
    core::{ControlCore, ControlOptions, Effect, Input},
    scheduler::{Plan, Scheduler, SchedulerOptions},
};
