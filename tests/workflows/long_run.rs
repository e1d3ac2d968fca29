//! The ignored long runs: their seeds, and the logs of one seed.
//!
//! ```text
//! ASPENRAIL_SEEDS=400 cargo test --release --test workflows many_seeds_of_late -- --ignored --nocapture
//! ```
//!
//! `ASPENRAIL_SEED_FROM` replaces the first seed. `ASPENRAIL_LOG=info` prints what the processes log,
//! and at `trace` also each call that a worker executes, with the virtual time in milliseconds.

use std::{cell::Cell, fmt, ops::Range};

use tracing_subscriber::{
    EnvFilter,
    fmt::{format::Writer, time::FormatTime},
};

use crate::world::World;

thread_local! {
    static NOW_MS: Cell<u64> = const { Cell::new(0) };
}

/// Returns the seeds of a long run: `ASPENRAIL_SEEDS` or `count`, from `ASPENRAIL_SEED_FROM` or
/// `first`.
pub fn seeds(first: u64, count: u64) -> Range<u64> {
    let number =
        |name: &str, default| std::env::var(name).map_or(default, |it| it.parse().unwrap());
    let first = number("ASPENRAIL_SEED_FROM", first);
    first..first + number("ASPENRAIL_SEEDS", count)
}

/// Plays the seeds of a long run, and asserts that no rule is broken in any of them.
pub fn assert_no_seed_breaks_a_rule(first: u64, play: fn(u64) -> World) {
    let seeds = seeds(first, 200);
    let mut starts = 0;
    let mut broken = Vec::new();
    for seed in seeds.clone() {
        let rules = play(seed).rules;
        starts += rules.starts;
        if !rules.violations.is_empty() {
            println!("seed {seed}: {:#?}", rules.violations);
            broken.push((seed, rules.violations));
        }
    }
    println!("seeds {seeds:?}: {starts} starts, {} seeds with broken rules", broken.len());
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Formats the virtual time of the world that runs on this thread.
struct VirtualTime;

impl FormatTime for VirtualTime {
    fn format_time(&self, writer: &mut Writer<'_>) -> fmt::Result {
        write!(writer, "{}", NOW_MS.get())
    }
}

/// Prints the logs of all processes if `ASPENRAIL_LOG` names a level or a filter.
pub fn init_logs() {
    if let Ok(filter) = std::env::var("ASPENRAIL_LOG") {
        let subscriber = tracing_subscriber::fmt()
            .with_timer(VirtualTime)
            .with_ansi(false)
            .with_target(false)
            .with_env_filter(EnvFilter::new(filter));
        // Fails for each world but the first one, whose logs go on.
        let _ = subscriber.try_init();
    }
}

/// Sets the time of the log lines that follow on this thread.
pub fn set_log_time(now_ms: u64) {
    NOW_MS.set(now_ms);
}
