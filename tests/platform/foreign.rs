//! Reports that are another writer's, and lists that cannot be read in full.

use std::{fs, path::Path, time::Duration};

use proptest::{prelude::*, strategy::ValueTree, test_runner::TestRunner};
use serde_json::{Value, json};

use crate::{executor::NAME, installation::Installation};

/// Mutations of a usable report that are tried; the generator has a fixed seed.
const CASES: usize = 300;

fn serves(it: &Installation, id: &str) {
    let path = format!("/q/{id}");
    let body = json!({"spec": "x", "steps": [{"count": 3, "cpu": 100}]});
    assert_eq!(it.client("POST", &path, &body).0, 200);
    it.wait_for(&path, "completed");
}

#[test]
fn reports_of_the_corpus_are_passed_over_and_the_worker_serves_on() {
    let it = Installation::start(1);
    it.install(1);
    serves(&it, "00000000000000a1");
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus/reports");
    let mut count = 0;
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let body = fs::read(&path).unwrap();
        for name in [NAME, "somebody-else"] {
            let status = it.report(name, &body);
            assert!((400..500).contains(&status), "{}: {status}", path.display());
            count += 1;
        }
    }
    assert_eq!(it.passed_over(), count);
    serves(&it, "00000000000000a2");
}

#[test]
fn a_report_of_a_pool_that_is_not_configured_replaces_nobody() {
    let it = Installation::start(1);
    it.install(1);
    serves(&it, "00000000000000a3");
    let report = json!({"service": "nobodys", "zone": "z", "state": "ready", "labels": ["a", "r"],
        "capacity": {"cpu": 1_000, "mem_mb": 1_000, "gpu": 0}, "clock_ms": 1, "sequence": 1});
    it.report("somebody-else", report.to_string().as_bytes());
    crate::installation::wait("the report to be passed over", || it.passed_over() == 1);
    serves(&it, "00000000000000a4");
}

/// Text of a report with a piece of it replaced.
fn mutated() -> impl Strategy<Value = Vec<u8>> {
    let report = json!({"service": "pool", "zone": "z", "state": "ready", "labels": ["a", "r1"],
        "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0}, "clock_ms": 5, "sequence": 7});
    let text = report.to_string().into_bytes();
    let length = text.len();
    (0..length, 0..12_usize, prop::collection::vec(any::<u8>(), 0..12)).prop_map(
        move |(at, cut, put)| {
            let mut res = text.clone();
            res.splice(at..(at + cut).min(length), put);
            res
        },
    )
}

#[test]
fn mutated_reports_never_stop_the_node() {
    let it = Installation::start(1);
    it.install(1);
    serves(&it, "00000000000000a5");
    let mut runner = TestRunner::deterministic();
    for _ in 0..CASES {
        let body = mutated().new_tree(&mut runner).unwrap().current();
        // Under the name of a lifetime that is over, so that a usable one changes nothing either.
        let status = it.report("", &body);
        assert!((400..500).contains(&status), "{status}");
        let status = it.report(NAME, &body);
        assert!(status == 200 || (400..500).contains(&status), "{status}");
    }
    assert_eq!(it.client("GET", "/q/00000000000000a5", &Value::Null).0, 200);
    // Whatever was usable among them had an old sequence.
    serves(&it, "00000000000000a6");
}

#[test]
fn work_goes_on_while_lists_cannot_be_read_in_full() {
    let it = Installation::start(1);
    it.install(1);
    it.executor.set_work(Duration::from_millis(800));
    let body = json!({"spec": "x", "steps": [{"count": 4, "cpu": 100}]});
    assert_eq!(it.client("POST", "/q/00000000000000a7", &body).0, 200);
    std::thread::sleep(Duration::from_millis(300));
    it.executor.set_odd_lists(5);
    it.wait_for("/q/00000000000000a7", "completed");
    assert_eq!(it.executor.done(), 4, "nothing ran twice");
}

#[test]
fn a_row_that_stays_unreadable_keeps_no_later_end_from_being_told() {
    let it = Installation::start(1);
    it.install(1);
    it.executor.set_odd_lists(u32::MAX);
    serves(&it, "00000000000000a8");
}
