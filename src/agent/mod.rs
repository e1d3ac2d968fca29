//! The agent role: one small process beside each VM's endpoints and worker.
//!
//! [`AgentCore`] holds the VM's lease and its tasks, and the slots of its endpoints. It is given
//! messages, results and time, and gives back [`Effect`]s; it does no I/O.

mod core;
mod endpoints;
mod seen_attempts;
mod tasks;

pub use self::{
    core::{AgentCore, AgentOptions, Effect, Input},
    endpoints::{Announcement, ExecutionId, ExecutorCall, ExecutorResult},
    tasks::{WorkerCall, WorkerReport, WorkerResult, WorkerTask},
};
