//! The whole path in separate processes: an entry, a node and control members with the platform's
//! translation, against a stand-in executor of our own that speaks its protocol over HTTP.
#![allow(clippy::unwrap_used)]

mod executor;
mod foreign;
mod installation;
mod same_id;

use std::time::Duration;

use installation::Installation;
use serde_json::{Value, json};

#[test]
fn a_submission_is_taken_run_and_shown_as_completed() {
    let it = Installation::start(3);
    it.install(1);
    let body =
        json!({"spec": "x", "steps": [{"count": 3, "cpu": 500}, {"count": 2, "after": [0]}]});
    assert_eq!(it.client("POST", "/q/00000000000000aa", &body).0, 200);
    it.wait_for("/q/00000000000000aa", "completed");
    assert_eq!(it.executor.done(), 5);
    let (status, pending) = it.client("GET", "/q/", &Value::Null);
    assert_eq!((status, pending), (200, json!({"pending": 0})));
}

#[test]
fn bad_input_gets_its_answer_and_harms_nobody() {
    let it = Installation::start(1);
    let valid = json!({"spec": "x", "steps": [{"count": 1}]});
    assert_eq!(it.client("POST", "/q/00000000000000aa", &valid).0, 503, "no configuration yet");
    it.install(1);
    for (method, path, body, expected) in [
        ("POST", "/q/00000000000000aa", json!({"spec": "x"}), 400),
        ("POST", "/q/00000000000000aa", json!({"steps": []}), 400),
        ("POST", "/q/00000000000000aa", json!({"steps": [{"count": 1, "after": [3]}]}), 400),
        ("POST", "/q/not-an-id", valid.clone(), 400),
        ("POST", "/other/00000000000000aa", valid.clone(), 404),
        ("GET", "/q/00000000000000aa", Value::Null, 410),
        ("DELETE", "/q/00000000000000aa", Value::Null, 410),
        ("PATCH", "/q/00000000000000aa", valid.clone(), 405),
        ("GET", "/-/config", Value::Null, 404),
    ] {
        assert_eq!(it.client(method, path, &body).0, expected, "{method} {path} {body}");
    }
    let large = json!({"spec": "x".repeat(2_000_000), "steps": [{"count": 1}]});
    assert_eq!(it.client("POST", "/q/00000000000000aa", &large).0, 413);
    assert_eq!(it.client("POST", "/q/00000000000000aa", &valid).0, 200);
    it.wait_for("/q/00000000000000aa", "completed");
}

#[test]
fn configurations_are_checked_kept_and_read_back_whole() {
    let it = Installation::start(3);
    it.install(4);
    for bad in [json!({"version": 5}), it.config(5, "unknown", 3_000), it.config(5, "pool", 0)] {
        assert_eq!(it.operator("PUT", "/-/config", &bad).0, 400, "{bad}");
    }
    assert_eq!(it.operator("PUT", "/-/config", &it.config(2, "pool", 9)).0, 200);
    assert_eq!(it.operator("GET", "/-/config", &Value::Null), (200, it.config(4, "pool", 3_000)));
    let wave = json!({"wave": 1, "machines": [], "deadline_s": 1, "max_count": 1});
    assert_eq!(it.operator("POST", "/-/wave-start", &wave).0, 422);
}

#[test]
fn a_queue_that_asks_for_tickets_keeps_no_other_one_from_being_served() {
    let it = Installation::start(3);
    let mut asks = it.config(6, "pool", 3_000);
    let mut other = asks["routes"][0].clone();
    other["name"] = json!("other");
    other["path_prefix"] = json!("/other/");
    other["advice"] = json!({"decision_ms": 1, "period_ms": 1, "validity_ms": 1_000});
    asks["routes"].as_array_mut().unwrap().push(other);
    assert_eq!(it.operator("PUT", "/-/config", &asks).0, 200);
    assert_eq!(it.operator("GET", "/-/config", &Value::Null), (200, asks));
    let body = json!({"spec": "x", "steps": [{"count": 1, "cpu": 100}]});
    let (status, answer) = it.client("POST", "/other/00000000000000dd", &body);
    assert_eq!(status, 503);
    assert!(answer["error"].as_str().unwrap().contains("ticket"), "{answer}");
    assert_eq!(it.client("GET", "/other/00000000000000dd", &Value::Null).0, 410);
    assert_eq!(it.client("POST", "/q/00000000000000dd", &body).0, 200);
    it.wait_for("/q/00000000000000dd", "completed");
}

#[test]
fn work_survives_a_kill_of_every_control_process() {
    let mut it = Installation::start(3);
    it.install(1);
    let body =
        json!({"spec": "x", "steps": [{"count": 2, "cpu": 100}, {"count": 2, "after": [0]}]});
    it.executor.set_work(Duration::from_millis(1_500));
    assert_eq!(it.client("POST", "/q/00000000000000bb", &body).0, 200);
    it.restart_control();
    it.wait_for("/q/00000000000000bb", "completed");
    assert_eq!(it.executor.done(), 4);
}

#[test]
fn planned_stops_end_with_code_0_and_readiness_says_so_first() {
    let mut it = Installation::start(3);
    it.install(1);
    assert_eq!(it.readiness(), 200);
    it.signal_entry();
    it.wait_unready();
    assert_eq!(it.entry_exit_code(), Some(0));
}

#[test]
fn a_stopping_entry_answers_what_still_comes() {
    let mut it = Installation::start(1);
    it.install(1);
    it.signal_entry();
    let began = std::time::Instant::now();
    while began.elapsed() < Duration::from_millis(3_500) {
        assert_eq!(it.client("GET", "/q/00000000000000aa", &Value::Null).0, 410);
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(it.entry_exit_code(), Some(0));
}

#[test]
fn a_stopping_entry_ends_only_after_a_slow_answer_has_left() {
    let mut it = Installation::start(3);
    it.install(1);
    it.signal_entry();
    // The request comes near the least time for which a stopping entry serves, and what it waits
    // for takes longer than the second without requests after which one ends.
    std::thread::sleep(Duration::from_millis(2_000));
    it.freeze_control();
    assert_eq!(it.client("GET", "/q/00000000000000aa", &Value::Null).0, 503);
    assert_eq!(it.entry_exit_code(), Some(0));
}

#[test]
fn metrics_are_served() {
    let it = Installation::start(1);
    it.install(1);
    it.client("GET", "/q/00000000000000aa", &Value::Null);
    let metrics = it.metrics();
    for line in [
        "aspenrail_gateway_answer_seconds_count{end=\"told\"} 1",
        "aspenrail_gateway_refusals_total{cause=\"no_leader\"} 0",
    ] {
        assert!(metrics.contains(line), "{line} is missing in:\n{metrics}");
    }
}

#[test]
fn an_evacuation_holds_after_every_control_process_was_killed() {
    let mut it = Installation::start(3);
    it.install(1);
    // The name of the zone is escaped, as a client may do.
    assert_eq!(it.operator("POST", "/-/evacuations/%7A", &Value::Null).0, 200);
    it.restart_control();
    let zones = || it.operator("GET", "/-/evacuations", &Value::Null).1["zones"][0]["zone"].clone();
    installation::wait("the list of zones", || zones() == json!("z"));
    let body = json!({"spec": "x", "steps": [{"count": 2, "cpu": 100}]});
    installation::wait("a leader", || it.client("POST", "/q/00000000000000ee", &body).0 == 200);
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(
        it.client("GET", "/q/00000000000000ee", &Value::Null),
        (200, json!({"state": "queued"}))
    );
    assert_eq!(it.operator("DELETE", "/-/evacuations/z", &Value::Null).0, 200);
    it.wait_for("/q/00000000000000ee", "completed");
    assert_eq!(it.operator("DELETE", "/-/evacuations/z", &Value::Null).0, 200);
    assert_eq!(it.operator("POST", "/-/evacuations/", &Value::Null).0, 400);
    assert_eq!(it.operator("POST", "/-/evacuations/%zz", &Value::Null).0, 400);
}

/// A task that takes down the executor that starts it is given up after few crashes, also where all
/// control processes are killed in between, and what comes after it is done.
#[yare::parameterized(
    back_under_another_id = { false },
    back_under_its_id = { true },
)]
fn work_that_crashes_its_executor_is_given_up(keeps_id: bool) {
    let mut it = Installation::start(3);
    it.executor.set_keeps_id(keeps_id);
    it.install(1);
    let body = |spec: &str| json!({"spec": spec, "steps": [{"count": 1, "cpu": 500}]});
    assert_eq!(it.client("POST", "/q/00000000000000cc", &body(executor::CRASHES)).0, 200);
    installation::wait("the first crash", || 1 <= it.executor.crashes());
    it.restart_control();
    it.wait_for("/q/00000000000000cc", "failed");
    let crashes = it.executor.crashes();
    assert!((2..=5).contains(&crashes), "{crashes} crashes");
    assert_eq!(it.client("POST", "/q/00000000000000cd", &body("x")).0, 200);
    it.wait_for("/q/00000000000000cd", "completed");
    assert_eq!(it.executor.crashes(), crashes);
}

/// The process beside the executor stands still for longer than a lease while a run fails, so that
/// the run was concluded before its end was seen: that is no attempt, and three others follow.
#[test]
fn a_failure_that_is_seen_after_its_lease_is_no_attempt() {
    let it = Installation::start(3);
    it.install(1);
    it.executor.set_work(Duration::from_millis(600));
    let body = json!({"spec": executor::FAILS, "steps": [{"count": 1, "cpu": 500}]});
    assert_eq!(it.client("POST", "/q/00000000000000ce", &body).0, 200);
    installation::wait("the first start", || it.executor.has_started());
    it.freeze_node();
    // A lease of 4 s, by the slowest clock allowed, and the margin.
    std::thread::sleep(Duration::from_millis(6_000));
    it.thaw_node();
    it.wait_for("/q/00000000000000ce", "failed");
    assert_eq!(it.executor.failures(), 4);
}

/// Disks that refused writes ended all control processes, which started into the same wall. Nothing is
/// taken meanwhile, what is refused has not run and never will, and all goes on once they take writes.
#[test]
fn nothing_is_lost_while_all_disks_of_control_refuse_writes() {
    let mut it = Installation::start(3);
    it.install(1);
    let body = json!({"spec": "x", "steps": [{"count": 2, "cpu": 100}]});
    assert_eq!(it.client("POST", "/q/00000000000000d0", &body).0, 200);
    it.wait_for("/q/00000000000000d0", "completed");
    it.set_control_refuses_writes(true);
    let mut refused = Vec::new();
    for id in 0..12 {
        let path = format!("/q/00000000000001{id:02x}");
        match it.client("POST", &path, &body).0 {
            503 => refused.push(path),
            // Nobody knows yet whether it was taken.
            504 => (),
            other => panic!("{other}"),
        }
        std::thread::sleep(Duration::from_millis(250));
    }
    assert!(!refused.is_empty());
    assert!(it.control_runs());
    it.set_control_refuses_writes(false);
    installation::wait("work to be taken", || {
        it.client("POST", "/q/00000000000000d1", &body).0 == 200
    });
    it.wait_for("/q/00000000000000d1", "completed");
    for path in refused {
        assert_eq!(it.client("GET", &path, &Value::Null).0, 410, "{path}");
    }
    assert_eq!(
        it.client("GET", "/q/00000000000000d0", &Value::Null),
        (200, json!({"state": "completed"}))
    );
}
