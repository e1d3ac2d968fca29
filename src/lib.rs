//! aspenrail: a scheduler that colocates latency-critical services and batch work on one set of
//! VMs.
//!
//! # A tour
//!
//! Three roles make an installation. An *entry* takes callers' requests; an *agent* stands beside
//! the endpoints and the worker of each VM; *control* processes hold the replicated state and
//! place the work. One binary plays any of them, as its settings say.
//!
//! Each role has a core that decides and does no I/O: [`entry::EntryCore`], [`agent::AgentCore`]
//! and [`control::ControlCore`]. A core takes one input with the time, and gives back effects. The
//! [`runtime`] puts cores into actors and carries out their effects: messages over [`link`],
//! requests over [`http`], writes to a [`control::log::Disk`].
//!
//! Workflows, jobs of steps on the users' platform, have roles of their own: a [`gateway`] takes
//! requests to the leader, a [`node`] stands beside each worker, and the leader's
//! [`control::dispatch`] places what the ledger in [`control::state`] holds.
//!
//! What must hold whatever anybody decides stands in [`control::state`], a function of the log
//! alone; what is decided stands in [`policy`], functions over plain data. Messages, log commands
//! and settings are generated from schema files into [`schema`]; [`config`] reads and checks
//! settings and holds the configuration in force; [`error`] has the closed list of error kinds
//! and the one table from kind to answer; [`metrics`] counts.
//!
//! [`standin`] has small stand-ins of what aspenrail serves, [`bench`] measurements, [`cli`] the
//! command line.
//!
//! DESIGN.md tells which promise is kept where, and what was weighed; docs/ has the pages for
//! callers, operators and the platform.
//!
//! # Example
//!
//! The order of waiting tasks is a decision, so it needs nothing but data:
//!
//! ```
//! use aspenrail::{
//!     policy::task_queue::{RankingInput, RankingRule, rank},
//!     prelude::*,
//! };
//!
//! let long = RankingInput { size_ms: 60_000, attained_ms: 0, accepted_ms: 1 };
//! let short = RankingInput { size_ms: 1_000, attained_ms: 0, accepted_ms: 2 };
//! assert!(rank(RankingRule::RemainingTimesSize, short) < rank(RankingRule::RemainingTimesSize, long));
//! assert!(rank(RankingRule::Fifo, long) < rank(RankingRule::Fifo, short));
//! ```

pub mod agent;
pub mod bench;
pub mod cli;
pub mod config;
pub mod control;
pub mod entry;
pub mod error;
pub mod gateway;
pub mod http;
pub mod link;
pub mod metrics;
pub mod node;
pub mod policy;
pub mod prelude;
pub mod runtime;
pub mod schema;
pub mod standin;
pub mod util;
