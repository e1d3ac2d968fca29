//! Soak test: the real programs as separate processes on one machine, under injected faults.
//!
//! Control processes, entries and nodes run as in production. A proxy in front of each delays,
//! blocks, resets or silences connections, and signals stop, freeze and kill processes. Stops,
//! reloads and changes of the configuration come in series; faults overlap. Workers are simulated with
//! leases, fencing tokens and run ends, as in the tests under virtual time, but behind HTTP. The rules
//! are checked on what workers, callers and the operator observe.
//!
//! CI runs [`SEEDS`]. By hand, with the processes' logs under `ASPENRAIL_SOAK_LOGS`:
//!
//! ```text
//! ASPENRAIL_SEEDS=50 cargo test --release --test soak -- --ignored --nocapture
//! ```
//!
//! A seed fixes the schedule of faults but not the timing of the machine, so a run is no exact replay.
//! A seed that ever failed stays in [`SEEDS`] with a line on its cause.
#![allow(clippy::unwrap_used)]

mod callers;
mod faults;
mod operator;
mod proxy;
#[path = "../workflows/rules.rs"]
#[allow(dead_code)]
mod rules;
mod site;
#[path = "../workflows/worker.rs"]
#[allow(dead_code)]
mod worker;
mod workers;

/// Replaces the module of the simulated world that the simulated worker uses.
mod world {
    use aspenrail::prelude::*;

    pub fn zone_of(vm: usize) -> CompactString {
        format_compact!("zone-{}", vm % 3)
    }
}

use std::time::{Duration, Instant};

use callers::Callers;
use faults::Schedule;
use operator::Operator;
use site::{Site, SiteSize};

/// Seeds that run in CI. Seed 1, with a run of 20 s, ended without a leader for good: silent
/// connections between control processes were not detected.
const SEEDS: [u64; 2] = [1, 2];

/// First seed of `long_soak`.
const LONG_SOAK_SEED_MIN: u64 = 1_001;

/// Duration of load and faults.
const RUN_TIME: Duration = Duration::from_secs(15);

/// Runs one seed; returns the violated rules.
fn run_seed(seed: u64, size: SiteSize) -> Vec<String> {
    let began = Instant::now();
    let mut site = Site::start(seed, size);
    let callers = Callers::start(&site, seed);
    let host = site.entry_addresses[0].ip().to_string();
    let operator = Operator::start(site.operator_addresses.clone(), host, seed);
    let mut schedule = Schedule::new(seed);
    schedule.run(&mut site, RUN_TIME);
    site.end_faults();
    operator.stop();
    let mut violations = callers.finish(&site);
    violations.extend(operator.finish());
    violations.extend(site.unexpected_ends());
    violations.extend(site.workers.take_violations());
    println!(
        "seed {seed}: {} starts, {} faults, {} violations, {} s",
        site.workers.starts(),
        schedule.count(),
        violations.len(),
        began.elapsed().as_secs()
    );
    violations.iter().for_each(|it| println!("seed {seed}: {it}"));
    violations
}

/// Returns the size of the installation that `long_soak` starts for a seed.
fn size_of(seed: u64) -> SiteSize {
    match seed {
        it if it % 25 == 0 => SiteSize::LARGEST,
        it if it % 5 == 0 => SiteSize::LARGE,
        _ => SiteSize::SMALL,
    }
}

#[test]
fn short_soak() {
    for seed in SEEDS {
        let violations = run_seed(seed, SiteSize::SMALL);
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}

#[test]
#[ignore = "long; see the module"]
fn long_soak() {
    let number =
        |name: &str, default| std::env::var(name).map_or(default, |it| it.parse().unwrap());
    let from = number("ASPENRAIL_SOAK_FROM", LONG_SOAK_SEED_MIN);
    let seeds = from..from + number("ASPENRAIL_SEEDS", 50);
    let violations: Vec<_> = seeds
        .map(|seed| (seed, run_seed(seed, size_of(seed))))
        .filter(|(_, it)| !it.is_empty())
        .collect();
    assert!(violations.is_empty(), "{violations:#?}");
}
