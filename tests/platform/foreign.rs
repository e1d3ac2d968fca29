//! Tests reports from foreign writers, and run lists with unreadable rows.

use std::{fs, path::Path, time::Duration};

use proptest::{prelude::*, strategy::ValueTree, test_runner::TestRunner};
use serde_json::{Value, json};

use crate::{executor::FIRST_NAME, installation::Installation};

/// Count of mutated reports; the generator has a fixed seed.
const CASES: usize = 300;

fn check_serving(installation: &Installation, id: &str) {
    let path = format!("/q/{id}");
    let body = json!({"spec": "x", "steps": [{"count": 3, "cpu": 100}]});
    assert_eq!(installation.settled("POST", &path, &body).0, 200);
    installation.wait_for(&path, "completed");
}

#[test]
fn reports_of_the_corpus_are_passed_over_and_the_worker_serves_on() {
    let installation = Installation::start(1);
    installation.install(1);
    check_serving(&installation, "00000000000000a1");
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus/reports");
    let mut count = 0;
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let body = fs::read(&path).unwrap();
        for name in [FIRST_NAME, "somebody-else"] {
            let status = installation.report(name, &body);
            assert!((400..500).contains(&status), "{}: {status}", path.display());
            count += 1;
        }
    }
    assert_eq!(installation.ignored_reports(), count);
    check_serving(&installation, "00000000000000a2");
}

#[test]
fn a_report_of_a_pool_that_is_not_configured_replaces_nobody() {
    let installation = Installation::start(1);
    installation.install(1);
    check_serving(&installation, "00000000000000a3");
    let report = json!({"service": "nobodys", "zone": "z", "state": "ready", "labels": ["a", "r"],
        "capacity": {"cpu": 1_000, "mem_mb": 1_000, "gpu": 0}, "clock_ms": 1, "sequence": 1});
    installation.report("somebody-else", report.to_string().as_bytes());
    crate::installation::wait("the report to be ignored", || installation.ignored_reports() == 1);
    check_serving(&installation, "00000000000000a4");
}

/// Generates a valid report with a piece of it replaced.
fn mutated_report() -> impl Strategy<Value = Vec<u8>> {
    let report = json!({"service": "pool", "zone": "z", "state": "ready", "labels": ["a", "r1"],
        "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0}, "clock_ms": 5, "sequence": 7});
    let text = report.to_string().into_bytes();
    let length = text.len();
    (0..length, 0..12_usize, prop::collection::vec(any::<u8>(), 0..12)).prop_map(
        move |(start, removed, inserted)| {
            let mut res = text.clone();
            res.splice(start..(start + removed).min(length), inserted);
            res
        },
    )
}

#[test]
fn mutated_reports_never_stop_the_node() {
    let installation = Installation::start(1);
    installation.install(1);
    check_serving(&installation, "00000000000000a5");
    let mut runner = TestRunner::deterministic();
    for _ in 0..CASES {
        let body = mutated_report().new_tree(&mut runner).unwrap().current();
        // Sent without a name, so that the node must refuse usable reports too.
        let status = installation.report("", &body);
        assert!((400..500).contains(&status), "{status}");
        let status = installation.report(FIRST_NAME, &body);
        assert!(status == 200 || (400..500).contains(&status), "{status}");
    }
    assert_eq!(installation.client("GET", "/q/00000000000000a5", &Value::Null).0, 200);
    // The usable reports among them had an old sequence number, so the worker still serves.
    check_serving(&installation, "00000000000000a6");
}

#[test]
fn work_goes_on_while_lists_cannot_be_read_in_full() {
    let installation = Installation::start(1);
    installation.install(1);
    installation.executor.set_work_time(Duration::from_millis(800));
    let body = json!({"spec": "x", "steps": [{"count": 4, "cpu": 100}]});
    assert_eq!(installation.client("POST", "/q/00000000000000a7", &body).0, 200);
    std::thread::sleep(Duration::from_millis(300));
    installation.executor.set_unreadable_lists(5);
    installation.wait_for("/q/00000000000000a7", "completed");
    assert_eq!(installation.executor.done(), 4, "nothing ran twice");
}

#[test]
fn a_row_that_stays_unreadable_keeps_no_later_end_from_being_told() {
    let installation = Installation::start(1);
    installation.install(1);
    installation.executor.set_unreadable_lists(u32::MAX);
    check_serving(&installation, "00000000000000a8");
}
