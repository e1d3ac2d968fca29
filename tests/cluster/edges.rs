//! Invalid input at each HTTP interface: for callers, for operators, and local to an agent's VM.

use std::net::SocketAddr;

use aspenrail::{
    http::client::new_client,
    standin::layout::{Counts, OPERATOR_TOKEN, TEAM_TOKEN},
};
use serde_json::{Value, json};

use crate::harness::Cluster;

/// Name, server address, method, path, token, headers, body, expected status and error kind.
type Case<'a> =
    (&'a str, SocketAddr, &'a str, &'a str, &'a str, Vec<(&'a str, &'a str)>, String, u16, &'a str);

/// Invalid input must be refused with its error kind, counted once, and leave the process running.
#[test]
fn bad_input_over_each_edge_is_refused() {
    let cluster = Cluster::start(Counts { controls: 1, entries: 1, agents: 1 });
    let caller = cluster.layout.callers[0];
    let admin = cluster.layout.admins[0];
    let local = cluster.layout.vms[0].local;
    let (team, operator) = (TEAM_TOKEN, OPERATOR_TOKEN);
    let long_key = "x".repeat(300);
    let spec = |tasks: u32, cpu: u32, class: &str| {
        json!({"key": "k", "spec": {
            "kind": "a", "class": class, "subject": "s", "tasks": tasks, "declared_run_ms": 1, "payload": "",
            "resources": {"cpu_millicores": cpu, "memory_mib": 1, "accelerators": 0},
        }})
        .to_string()
    };
    let change = |based_on: u64, change: Value| {
        json!({"based_on": based_on, "key": "x", "change": change}).to_string()
    };
    let class = json!({"PutClass": {
        "name": "c", "kind": "latency_critical", "answer_target_ms": 0, "answer_percentile_permille": 990,
        "deadline_max_ms": 0, "finish_target_ms": 0, "evictions_per_hour": 0, "urgent": false,
    }});
    let idempotent = [("Aspenrail-Idempotent", "true")];
    let cases: Vec<Case<'_>> = vec![
        (
            "no token",
            caller,
            "POST",
            "/v1/jobs",
            "",
            vec![],
            spec(1, 1, "batch"),
            401,
            "unauthenticated",
        ),
        (
            "operator's token at the callers' edge",
            caller,
            "POST",
            "/v1/jobs",
            operator,
            vec![],
            spec(1, 1, "batch"),
            401,
            "unauthenticated",
        ),
        ("no JSON", caller, "POST", "/v1/jobs", team, vec![], "{".into(), 400, "bad_request"),
        (
            "unknown field",
            caller,
            "POST",
            "/v1/jobs",
            team,
            vec![],
            r#"{"key":"k","spec":{},"extra":1}"#.into(),
            400,
            "bad_request",
        ),
        (
            "no tasks",
            caller,
            "POST",
            "/v1/jobs",
            team,
            vec![],
            spec(0, 1, "batch"),
            400,
            "bad_request",
        ),
        (
            "too many tasks",
            caller,
            "POST",
            "/v1/jobs",
            team,
            vec![],
            spec(20_000, 1, "batch"),
            400,
            "bad_request",
        ),
        (
            "larger than the quota",
            caller,
            "POST",
            "/v1/jobs",
            team,
            vec![],
            spec(1, 999_999, "batch"),
            422,
            "infeasible",
        ),
        (
            "larger than any VM",
            caller,
            "POST",
            "/v1/jobs",
            team,
            vec![],
            spec(1, 100_000, "batch"),
            422,
            "infeasible",
        ),
        (
            "unknown class",
            caller,
            "POST",
            "/v1/jobs",
            team,
            vec![],
            spec(1, 1, "nope"),
            400,
            "unknown_class",
        ),
        (
            "job is no number",
            caller,
            "GET",
            "/v1/jobs/abc",
            team,
            vec![],
            String::new(),
            400,
            "bad_request",
        ),
        (
            "no such job",
            caller,
            "GET",
            "/v1/jobs/77",
            team,
            vec![],
            String::new(),
            404,
            "not_found",
        ),
        (
            "no jobs to cancel",
            caller,
            "POST",
            "/v1/jobs/cancel",
            team,
            vec![],
            r#"{"jobs":[]}"#.into(),
            400,
            "bad_request",
        ),
        (
            "wrong method",
            caller,
            "DELETE",
            "/v1/jobs",
            team,
            vec![],
            String::new(),
            405,
            "method_not_allowed",
        ),
        ("unknown path", caller, "GET", "/v2/jobs", team, vec![], String::new(), 404, "not_found"),
        (
            "quick of an unknown class",
            caller,
            "POST",
            "/v1/quick/nope/x",
            team,
            idempotent.to_vec(),
            "b".into(),
            400,
            "unknown_class",
        ),
        (
            "quick of a batch class",
            caller,
            "POST",
            "/v1/quick/batch/x",
            team,
            idempotent.to_vec(),
            "b".into(),
            400,
            "wrong_class_kind",
        ),
        (
            "deadline too long",
            caller,
            "POST",
            "/v1/quick/quick/x",
            team,
            vec![("Aspenrail-Idempotent", "true"), ("Aspenrail-Deadline-Ms", "999999")],
            "b".into(),
            400,
            "deadline_out_of_range",
        ),
        (
            "deadline is no number",
            caller,
            "POST",
            "/v1/quick/quick/x",
            team,
            vec![("Aspenrail-Deadline-Ms", "soon")],
            "b".into(),
            400,
            "bad_request",
        ),
        (
            "idempotent is no truth",
            caller,
            "POST",
            "/v1/quick/quick/x",
            team,
            vec![("Aspenrail-Idempotent", "maybe")],
            "b".into(),
            400,
            "bad_request",
        ),
        (
            "not idempotent without a key",
            caller,
            "POST",
            "/v1/quick/quick/x",
            team,
            vec![],
            "b".into(),
            400,
            "bad_request",
        ),
        (
            "key too long",
            caller,
            "POST",
            "/v1/quick/quick/x",
            team,
            vec![("Idempotency-Key", &long_key)],
            "b".into(),
            413,
            "payload_too_large",
        ),
        (
            "body too large",
            caller,
            "POST",
            "/v1/quick/quick/x",
            team,
            idempotent.to_vec(),
            "b".repeat(2 << 20),
            413,
            "payload_too_large",
        ),
        (
            "no such watch",
            caller,
            "GET",
            "/v1/watches/5",
            team,
            vec![],
            String::new(),
            404,
            "not_found",
        ),
        (
            "team's token at the operators' edge",
            admin,
            "GET",
            "/v1/admin/status",
            team,
            vec![],
            String::new(),
            401,
            "unauthenticated",
        ),
        (
            "unknown view",
            admin,
            "GET",
            "/v1/admin/secrets",
            operator,
            vec![],
            String::new(),
            404,
            "not_found",
        ),
        (
            "change of an old revision",
            admin,
            "POST",
            "/v1/admin/configuration",
            operator,
            vec![],
            change(1, json!({"DeleteTeam": "demo"})),
            409,
            "revision_conflict",
        ),
        (
            "change of nothing known",
            admin,
            "POST",
            "/v1/admin/configuration",
            operator,
            vec![],
            change(1, json!({"Reboot": 1})),
            400,
            "bad_request",
        ),
        (
            "class without a target",
            admin,
            "POST",
            "/v1/admin/configuration",
            operator,
            vec![],
            change(0, class),
            409,
            "revision_conflict",
        ),
        (
            "drain of no VM",
            admin,
            "POST",
            "/v1/admin/drain",
            operator,
            vec![],
            r#"{"vm_name":"x","draining":true}"#.into(),
            404,
            "not_found",
        ),
        (
            "promotion of no learner",
            admin,
            "POST",
            "/v1/admin/members",
            operator,
            vec![],
            r#"{"Promote":9}"#.into(),
            409,
            "membership_unsafe",
        ),
        (
            "announcement without slots",
            local,
            "POST",
            "/v1/announce",
            "",
            vec![],
            r#"{"class":"q","address":"127.0.0.1:1","slots":0,"connections":1}"#.into(),
            400,
            "bad_request",
        ),
        (
            "announcement of no address",
            local,
            "POST",
            "/v1/announce",
            "",
            vec![],
            r#"{"class":"q","address":"here","slots":1,"connections":1}"#.into(),
            400,
            "bad_request",
        ),
        (
            "leave of nobody",
            local,
            "POST",
            "/v1/leave",
            "",
            vec![],
            r#"{"address":"127.0.0.1:1"}"#.into(),
            404,
            "not_found",
        ),
    ];
    for (name, address, method, path, token, headers, body, status, kind) in cases {
        let count_before = refusal_count(address, kind);
        let mut request =
            ureq::http::Request::builder().method(method).uri(format!("http://{address}{path}"));
        for (header, value) in headers {
            request = request.header(header, value);
        }
        if !token.is_empty() {
            request = request.header("Authorization", format!("Bearer {token}"));
        }
        let mut response = new_client(1).run(request.body(body).unwrap()).unwrap();
        let answer: Value = response.body_mut().read_json().unwrap();
        assert_eq!(
            (response.status().as_u16(), answer["error"].as_str()),
            (status, Some(kind)),
            "{name}: {answer}"
        );
        assert_eq!(answer["ran"], "no", "{name}: {answer}");
        assert!(!answer["detail"].as_str().unwrap().is_empty(), "{name}");
        assert_eq!(
            refusal_count(address, kind),
            count_before + 1,
            "{name}: the refusal is counted once"
        );
    }
}

/// Returns how many requests a process has refused with an error kind.
fn refusal_count(address: SocketAddr, kind: &str) -> u64 {
    let mut response = new_client(1).get(format!("http://{address}/metrics")).call().unwrap();
    let text = response.body_mut().read_to_string().unwrap();
    let line = format!("aspenrail_refusals_total{{kind=\"{kind}\"}} ");
    text.lines().find_map(|it| it.strip_prefix(&line)?.parse().ok()).unwrap()
}

#[test]
fn path_and_query_reach_the_endpoint() {
    let cluster = Cluster::start(Counts { controls: 1, entries: 1, agents: 1 });
    for (target, expected) in
        [("quick/a/b?c=d&e", "/a/b?c=d&e"), ("quick", "/"), ("quick?v1=quick", "/?v1=quick")]
    {
        let url = format!("http://{}/v1/quick/{target}", cluster.layout.callers[0]);
        let request =
            new_client(1).post(url).header("Authorization", format!("Bearer {TEAM_TOKEN}"));
        let mut response = request.header("Aspenrail-Idempotent", "true").send("body").unwrap();
        let answer: Value = response.body_mut().read_json().unwrap();
        assert_eq!(answer["path"], expected, "{answer}");
        assert_eq!(answer["team"], "demo");
    }
}
