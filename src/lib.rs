//! aspenrail: a scheduler that colocates latency-critical services and batch work on one set of
//! VMs.
//!
//! # Overview
//!
//! An installation has three main roles. An *entry* accepts callers' requests; an *agent* runs
//! next to the endpoints and the worker of each VM; *control* processes store the replicated
//! state and place the work. One binary runs any of these roles, depending on its settings.
//!
//! Each role has a core that makes the decisions and does no I/O: [`entry::EntryCore`],
//! [`agent::AgentCore`] and [`control::ControlCore`]. A core handles one input at a given time
//! and returns effects. The [`runtime`] runs cores as actors and performs their effects: messages
//! over [`link`], requests over [`http`], writes to a [`control::log::Disk`].
//!
//! Workflows, jobs of several steps on the users' platform, have roles of their own: a
//! [`gateway`] forwards requests to the leader, a [`node`] runs next to each worker, and the
//! leader's [`control::dispatch`] places the steps recorded in the ledger in [`control::state`].
//!
//! The invariants, which hold whatever is decided, are enforced in [`control::state`], a function
//! of the log alone. Decisions are made in [`policy`], functions over plain data. Messages, log
//! commands and settings are generated from schema files into [`schema`]; [`config`] reads and
//! checks settings and holds the configuration in force; [`error`] defines the closed list of
//! error kinds and the single table that maps a kind to its answer; [`metrics`] has counters and
//! histograms.
//!
//! [`standin`] simulates endpoints and workers, [`mod@bench`] measures performance, and [`cli`] is
//! the command line.
//!
//! DESIGN.md states which code keeps each guarantee, and which alternatives were considered;
//! docs/ has the pages for callers, operators and the platform.
//!
//! # Example
//!
//! The order of waiting tasks is a decision, so it can be computed from plain data:
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
