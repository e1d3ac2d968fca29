//! The control role: the replicated state of a group, and the decisions of its leader.
//!
//! [`ControlCore`] is one member. It keeps the [`log`] and applies it to the [`state`]. While it
//! leads, it also keeps the leases of sessions, the directory of endpoints, the scheduler and the
//! dispatcher. Its input is messages, operations, time and completed disk writes; its output is
//! [`Effect`]s. It does no I/O.

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
    core::{ControlCore, ControlOptions, Effect, Input, IntakeCounts, SourceAddresses},
    scheduler::{Plan, Scheduler, SchedulerOptions},
};
