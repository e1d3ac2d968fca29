//! Workflows under faults: members, gateways and nodes under virtual time, with stand-in workers
//! that lease, fence, forget and carry orders out late, and checkers over what the workers saw.
//!
//! `cargo test --release --test workflows -- --ignored --nocapture` tries many more seeds;
//! `ASPENRAIL_SEEDS` says how many.
#![allow(clippy::unwrap_used)]

mod capacity;
mod colocation;
mod crashes;
mod days;
#[path = "../promises/disk.rs"]
#[allow(dead_code)]
mod disk;
mod evacuations;
mod faults;
mod fillers;
mod gateway;
mod held_runs;
mod late_ends;
mod ledger;
mod lifetimes;
mod node;
mod node_restarts;
mod rules;
mod same_id;
mod worker;
mod world;
