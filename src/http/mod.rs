//! The HTTP interfaces to callers, operators, endpoints and workers.
//!
//! Each interface is a thin module that parses and validates requests and passes typed messages to
//! a core, so that a change of protocol affects one file here and none of the cores.

pub mod admin;
mod answer;
pub mod caller;
pub mod client;
pub mod local;
mod outgoing;
mod server;
mod tokens;
mod unescape;

pub use self::{
    answer::HttpAnswer,
    outgoing::{HttpCall, HttpReply, OutgoingError, OutgoingPool},
    server::{HttpRequest, Pending, ServerLimits, ServerOptions, start_local_server, start_server},
    tokens::Tokens,
    unescape::unescape,
};
