//! The entry role: the callers' edge.
//!
//! [`EntryCore`] admits, routes and retries quick requests, and passes the rest on to control.
//! It keeps nothing that must survive; it is given requests, messages, time and randomness, and
//! gives back [`Effect`]s.

mod core;
mod endpoints;
mod pending_request;
mod request;

pub use self::{
    core::{EntryCore, EntryOptions},
    request::{CallerAnswer, CallerRequest, Effect, Input, QuickRequest},
};
