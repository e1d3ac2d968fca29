//! Workflows under faults: control members, gateways and nodes run under virtual time with simulated
//! workers. These enforce leases and fencing tokens, lose their state when they crash and may execute
//! orders late. Checkers verify invariants on what the workers observed.
//!
//! `cargo test --release --test workflows -- --ignored --nocapture` runs many more seeds;
//! `ASPENRAIL_SEEDS` sets their number.
#![allow(clippy::unwrap_used)]

mod admission;
mod cancels;
mod capacity;
mod colocation;
mod crashes;
mod days;
#[path = "../promises/disk.rs"]
#[allow(dead_code)]
mod disk;
mod evacuations;
mod failures;
mod fair_shares;
mod faults;
mod filler_speeds;
mod fillers;
mod fleet;
mod gateway;
mod held_runs;
mod late_ends;
mod ledger;
mod lifetimes;
mod long_run;
mod node;
mod node_restarts;
mod overload;
mod ranges;
mod refused_starts;
mod reservations;
mod returning_workers;
mod rules;
mod same_id;
mod slow_workers;
mod start_batches;
mod usage;
mod worker;
mod world;
