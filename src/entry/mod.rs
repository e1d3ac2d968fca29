//! The entry role: accepts the requests of callers.
//!
//! [`EntryCore`] admits, routes and retries quick requests, and forwards all others to control.
//! It holds no durable state and does no I/O: requests, messages, time and a random seed come in,
//! [`Effect`]s come out.

mod core;
mod endpoints;
mod pending_request;
mod request;

pub use self::{
    core::{EntryCore, EntryOptions},
    request::{CallerAnswer, CallerRequest, Effect, Input, QuickRequest},
};
