//! End-to-end tests in separate processes: an entry, a node and control members with the platform's
//! translation, and a simulated executor that speaks the platform's protocol over HTTP.
#![allow(clippy::unwrap_used)]

mod cancels;
mod executor;
mod foreign;
#[allow(dead_code)]
mod installation;
mod same_id;

use std::time::Duration;

use installation::Installation;
use serde_json::{Value, json};

#[test]
fn a_submission_is_taken_run_and_shown_as_completed() {
    let installation = Installation::start(3);
    installation.install(1);
    let body =
        json!({"spec": "x", "steps": [{"count": 3, "cpu": 500}, {"count": 2, "after": [0]}]});
    assert_eq!(installation.client("POST", "/q/00000000000000aa", &body).0, 200);
    installation.wait_for("/q/00000000000000aa", "completed");
    assert_eq!(installation.executor.done(), 5);
    let (status, pending) = installation.client("GET", "/q/", &Value::Null);
    assert_eq!((status, pending), (200, json!({"pending": 0})));
}

/// Load: work that no worker can hold. Operators see it with its cause.
#[test]
fn the_command_waiting_shows_who_waits_and_why() {
    let installation = Installation::start(1);
    installation.install(1);
    let body = json!({"spec": "x", "steps": [{"count": 3, "cpu": 1_000_000}]});
    assert_eq!(installation.client("POST", "/q/00000000000000ab", &body).0, 200);
    installation::wait("the workflow and its cause to be listed", || {
        let text = installation.command("waiting");
        text.contains("1 steps wait") && text.contains("no_capacity")
    });
    let row = installation.command("waiting");
    let row = row.lines().find(|it| it.contains("00000000000000ab")).unwrap();
    let cells: Vec<_> = row.split_whitespace().collect();
    assert_eq!(cells[1..7], ["0.0", "q", "z", "plain", "3", "1000.0"]);
}

#[test]
fn bad_input_gets_its_answer_and_harms_nobody() {
    let installation = Installation::start(1);
    let valid = json!({"spec": "x", "steps": [{"count": 1}]});
    assert_eq!(
        installation.client("POST", "/q/00000000000000aa", &valid).0,
        503,
        "no configuration yet"
    );
    installation.install(1);
    for (method, path, body, expected) in [
        ("POST", "/q/00000000000000aa", json!({"spec": "x"}), 400),
        ("POST", "/q/00000000000000aa", json!({"steps": []}), 400),
        ("POST", "/q/00000000000000aa", json!({"steps": [{"count": 1, "after": [3]}]}), 400),
        ("POST", "/q/00000000000000aa", json!({"steps": vec![json!({"count": 1}); 1_001]}), 400),
        (
            "POST",
            "/q/00000000000000aa",
            json!({"steps": [{"count": 1}, {"count": 1, "after": vec![0; 1_001]}]}),
            400,
        ),
        ("POST", "/q/not-an-id", valid.clone(), 400),
        ("POST", "/other/00000000000000aa", valid.clone(), 404),
        ("GET", "/q/00000000000000aa", Value::Null, 410),
        ("DELETE", "/q/00000000000000aa", Value::Null, 410),
        ("PATCH", "/q/00000000000000aa", valid.clone(), 405),
        ("GET", "/-/config", Value::Null, 404),
    ] {
        assert_eq!(installation.settled(method, path, &body).0, expected, "{method} {path} {body}");
    }
    let large = json!({"spec": "x".repeat(2_000_000), "steps": [{"count": 1}]});
    assert_eq!(installation.client("POST", "/q/00000000000000aa", &large).0, 413);
    // It was cancelled above; another one is taken.
    assert_eq!(installation.client("POST", "/q/00000000000000aa", &valid).0, 410);
    assert_eq!(installation.client("POST", "/q/00000000000000ac", &valid).0, 200);
    installation.wait_for("/q/00000000000000ac", "completed");
    assert_eq!(installation.client("GET", "/q/00000000000000aa", &Value::Null).0, 410);
}

#[test]
fn configurations_are_checked_kept_and_read_back_whole() {
    let installation = Installation::start(3);
    installation.install(4);
    for bad in [
        json!({"version": 5}),
        installation.config(5, "unknown", 3_000),
        installation.config(5, "pool", 0),
    ] {
        assert_eq!(installation.operator("PUT", "/-/config", &bad).0, 400, "{bad}");
    }
    assert_eq!(
        installation.operator("PUT", "/-/config", &installation.config(2, "pool", 9)).0,
        200
    );
    assert_eq!(
        installation.operator("GET", "/-/config", &Value::Null),
        (200, installation.config(4, "pool", 3_000))
    );
    let wave = json!({"wave": 1, "machines": [], "deadline_s": 1, "max_count": 1});
    assert_eq!(installation.operator("POST", "/-/wave-start", &wave).0, 422);
}

#[test]
fn a_queue_that_asks_for_tickets_keeps_no_other_one_from_being_served() {
    let installation = Installation::start(3);
    let mut asks = installation.config(6, "pool", 3_000);
    let mut other = asks["routes"][0].clone();
    other["name"] = json!("other");
    other["path_prefix"] = json!("/other/");
    other["advice"] = json!({"decision_ms": 1, "period_ms": 1, "validity_ms": 1_000});
    asks["routes"].as_array_mut().unwrap().push(other);
    assert_eq!(installation.order_with("PUT", "/-/config", &asks), 200);
    assert_eq!(installation.operator("GET", "/-/config", &Value::Null), (200, asks));
    let body = json!({"spec": "x", "steps": [{"count": 1, "cpu": 100}]});
    let (status, answer) = installation.client("POST", "/other/00000000000000dd", &body);
    assert_eq!(status, 503);
    assert!(answer["error"].as_str().unwrap().contains("ticket"), "{answer}");
    assert_eq!(installation.client("GET", "/other/00000000000000dd", &Value::Null).0, 410);
    assert_eq!(installation.client("POST", "/q/00000000000000dd", &body).0, 200);
    installation.wait_for("/q/00000000000000dd", "completed");
}

#[test]
fn work_survives_a_kill_of_every_control_process() {
    let mut installation = Installation::start(3);
    installation.install(1);
    let body =
        json!({"spec": "x", "steps": [{"count": 2, "cpu": 100}, {"count": 2, "after": [0]}]});
    installation.executor.set_work_time(Duration::from_millis(1_500));
    assert_eq!(installation.client("POST", "/q/00000000000000bb", &body).0, 200);
    installation.restart_control();
    installation.wait_for("/q/00000000000000bb", "completed");
    assert_eq!(installation.executor.done(), 4);
}

#[test]
fn planned_stops_end_with_code_0_and_readiness_says_so_first() {
    let mut installation = Installation::start(3);
    installation.install(1);
    assert_eq!(installation.readiness(), 200);
    installation.signal_entry();
    installation.wait_until_unready();
    assert_eq!(installation.entry_exit_code(), Some(0));
}

#[test]
fn a_stopping_entry_answers_what_still_comes() {
    let mut installation = Installation::start(1);
    installation.install(1);
    installation.signal_entry();
    let began = std::time::Instant::now();
    while began.elapsed() < Duration::from_millis(3_500) {
        assert_eq!(installation.client("GET", "/q/00000000000000aa", &Value::Null).0, 410);
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(installation.entry_exit_code(), Some(0));
}

#[test]
fn a_stopping_entry_ends_only_after_a_slow_answer_has_left() {
    let mut installation = Installation::start(3);
    installation.install(1);
    installation.signal_entry();
    // The request arrives near the end of the shortest time that a stopping entry serves, and its
    // answer takes longer than the second without requests after which the entry ends.
    std::thread::sleep(Duration::from_millis(2_000));
    installation.freeze_control();
    assert_eq!(installation.client("GET", "/q/00000000000000aa", &Value::Null).0, 503);
    assert_eq!(installation.entry_exit_code(), Some(0));
}

#[test]
fn metrics_are_served() {
    let installation = Installation::start(1);
    installation.install(1);
    installation.client("GET", "/q/00000000000000aa", &Value::Null);
    let metrics = installation.metrics();
    for line in [
        "aspenrail_gateway_answer_seconds_count{end=\"told\"} 1",
        "aspenrail_gateway_refusals_total{cause=\"no_leader\"} 0",
    ] {
        assert!(metrics.contains(line), "{line} is missing in:\n{metrics}");
    }
}

#[test]
fn an_evacuation_holds_after_every_control_process_was_killed() {
    let mut installation = Installation::start(3);
    installation.install(1);
    // Clients may percent-encode the name of the zone.
    assert_eq!(installation.order("POST", "/-/evacuations/%7A"), 200);
    installation.restart_control();
    let zones = || {
        installation.operator("GET", "/-/evacuations", &Value::Null).1["zones"][0]["zone"].clone()
    };
    installation::wait("the list of zones", || zones() == json!("z"));
    let body = json!({"spec": "x", "steps": [{"count": 2, "cpu": 100}]});
    installation::wait("a leader", || {
        installation.client("POST", "/q/00000000000000ee", &body).0 == 200
    });
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(installation.state("/q/00000000000000ee"), (200, json!({"state": "queued"})));
    assert_eq!(installation.order("DELETE", "/-/evacuations/z"), 200);
    installation.wait_for("/q/00000000000000ee", "completed");
    assert_eq!(installation.order("DELETE", "/-/evacuations/z"), 200);
    assert_eq!(installation.operator("POST", "/-/evacuations/", &Value::Null).0, 400);
    assert_eq!(installation.operator("POST", "/-/evacuations/%zz", &Value::Null).0, 400);
}

/// A task that crashes every executor that starts it is given up after a few crashes, also where all
/// control processes are killed in between, and later work completes.
#[yare::parameterized(
    back_under_another_id = { false },
    back_under_its_id = { true },
)]
fn work_that_crashes_its_executor_is_given_up(keeps_id: bool) {
    let mut installation = Installation::start(3);
    installation.executor.set_keeps_id(keeps_id);
    installation.install(1);
    let body = |spec: &str| json!({"spec": spec, "steps": [{"count": 1, "cpu": 500}]});
    assert_eq!(
        installation.client("POST", "/q/00000000000000cc", &body(executor::CRASHING_PAYLOAD)).0,
        200
    );
    installation::wait("the first crash", || 1 <= installation.executor.crashes());
    installation.restart_control();
    installation.wait_for("/q/00000000000000cc", "failed");
    let crashes = installation.executor.crashes();
    assert!((2..=5).contains(&crashes), "{crashes} crashes");
    assert_eq!(installation.client("POST", "/q/00000000000000cd", &body("x")).0, 200);
    installation.wait_for("/q/00000000000000cd", "completed");
    assert_eq!(installation.executor.crashes(), crashes);
}

/// The node is frozen for longer than a lease while a run fails, so the lease of the run expires before
/// its end is seen: that counts as no attempt, and three others follow.
#[test]
fn a_failure_that_is_seen_after_its_lease_is_no_attempt() {
    let installation = Installation::start(3);
    installation.install(1);
    installation.executor.set_work_time(Duration::from_millis(600));
    let body = json!({"spec": executor::FAILING_PAYLOAD, "steps": [{"count": 1, "cpu": 500}]});
    assert_eq!(installation.client("POST", "/q/00000000000000ce", &body).0, 200);
    installation::wait("the first start", || installation.executor.has_started());
    installation.freeze_node();
    // Longer than a lease of 4 s on the slowest clock allowed, plus the margin.
    std::thread::sleep(Duration::from_millis(6_000));
    installation.thaw_node();
    installation.wait_for("/q/00000000000000ce", "failed");
    assert_eq!(installation.executor.failures(), 4);
}

/// Control processes ended when their disks refused writes, and again after each restart. They must
/// stay up and accept no work meanwhile, refused work must never run, and service must resume.
#[test]
fn nothing_is_lost_while_all_disks_of_control_refuse_writes() {
    let mut installation = Installation::start(3);
    installation.install(1);
    let body = json!({"spec": "x", "steps": [{"count": 2, "cpu": 100}]});
    assert_eq!(installation.client("POST", "/q/00000000000000d0", &body).0, 200);
    installation.wait_for("/q/00000000000000d0", "completed");
    installation.set_control_refuses_writes(true);
    let mut refused = Vec::new();
    for id in 0..12 {
        let path = format!("/q/00000000000001{id:02x}");
        match installation.client("POST", &path, &body).0 {
            503 => refused.push(path),
            // The outcome is unknown yet.
            504 => (),
            other => panic!("{other}"),
        }
        std::thread::sleep(Duration::from_millis(250));
    }
    assert!(!refused.is_empty());
    assert!(installation.control_runs());
    installation.set_control_refuses_writes(false);
    installation::wait("work to be accepted", || {
        installation.client("POST", "/q/00000000000000d1", &body).0 == 200
    });
    installation.wait_for("/q/00000000000000d1", "completed");
    for path in refused {
        assert_eq!(installation.client("GET", &path, &Value::Null).0, 410, "{path}");
    }
    assert_eq!(
        installation.client("GET", "/q/00000000000000d0", &Value::Null),
        (200, json!({"state": "completed"}))
    );
}
