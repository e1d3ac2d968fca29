//! Checks the service's promises under injected faults. Whole groups of cores run in virtual time
//! with fake links, disks, workers and endpoints; checkers then read the recorded history.
//!
//! `cargo test --release --test promises -- --ignored --nocapture` runs many more schedules;
//! `ASPENRAIL_SEEDS` sets their number.
#![allow(clippy::unwrap_used)]

mod checkers;
mod disk;
mod disk_failures;
mod faults;
mod history;
mod measures;
mod named_faults;
mod sabotage;
mod schedules;
mod world;
