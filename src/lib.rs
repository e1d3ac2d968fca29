//! aspenrail: a scheduler that colocates latency-critical and batch work on one set of VMs.
pub mod agent;
pub mod config;
pub mod control;
pub mod entry;
pub mod error;
pub mod metrics;
pub mod policy;
pub mod prelude;
pub mod schema;
pub mod util;
