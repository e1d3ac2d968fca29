//! The agent role: one small process beside each VM's endpoints and worker.
//!
//! [`AgentCore`] manages the VM's lease, its tasks and the slots of its endpoints. Its inputs are
//! messages, results of calls and the time, its outputs [`Effect`]s; it does no I/O.

mod core;
mod endpoints;
mod seen_attempts;
mod tasks;

pub use self::{
    core::{AgentCore, AgentOptions, Effect, Input},
    endpoints::{Announcement, EndpointCall, EndpointResult, ExecutionId},
    tasks::{WorkerCall, WorkerReport, WorkerResult, WorkerTask},
};
