//! The promises under faults: whole groups of cores under virtual time, with fake links, disks,
//! workers and endpoints, and checkers over what happened.
//!
//! `cargo test --release --test promises -- --ignored --nocapture` tries many more schedules;
//! `ASPENRAIL_SEEDS` says how many.
#![allow(clippy::unwrap_used)]

mod checkers;
mod disk;
mod faults;
mod history;
mod measures;
mod named_faults;
mod sabotage;
mod schedules;
mod world;
