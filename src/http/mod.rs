//! The HTTP edges: callers, operators, endpoints and workers.
//!
//! Each edge is a thin module that parses, checks, and hands a typed message to a core; another
//! protocol detail costs one file here and nothing in the cores.

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
    server::{HttpRequest, Pending, ServerOptions, start_local_server, start_server},
    tokens::Tokens,
    unescape::unescape,
};
