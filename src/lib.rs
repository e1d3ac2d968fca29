//! aspenrail: a scheduler that colocates latency-critical and batch work on one set of VMs.
pub mod agent;
pub mod bench;
pub mod cli;
pub mod config;
pub mod control;
pub mod entry;
pub mod error;
pub mod http;
pub mod link;
pub mod metrics;
pub mod policy;
pub mod prelude;
pub mod runtime;
pub mod schema;
pub mod standin;
pub mod util;
