//! HTTP calls from the agent to endpoints and workers; see docs/PLATFORM.md.

use std::{net::SocketAddr, time::Duration};

use serde_json::json;
use ureq::Agent;

use crate::{
    agent::{EndpointCall, EndpointResult, WorkerCall, WorkerReport, WorkerResult},
    prelude::*,
};

/// Time limit for a call to a worker. It is well below the margin of a lease, so that a call that
/// is in progress when the lease ends cannot outlast the margin.
const WORKER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Largest answer accepted from an endpoint or a worker.
const ANSWER_MAX_BYTES: u64 = 16 * 1024 * 1024;

/// Idle time after which a connection is not reused, since the endpoint may have closed it.
const IDLE_MAX: Duration = Duration::from_secs(3);

/// Creates an HTTP client that returns responses of every status as `Ok`.
pub fn new_client(connections: usize) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_idle_age(IDLE_MAX)
        .max_idle_connections(connections)
        .max_idle_connections_per_host(connections)
        .build()
        .new_agent()
}

/// Calls an endpoint.
pub fn call_executor(client: &Agent, call: &EndpointCall) -> EndpointResult {
    let result = client
        .post(format!("http://{}{}", call.address, call.path))
        .header("Aspenrail-Request", format!("{:x}-{}", call.request.boot, call.request.number))
        .header("Aspenrail-Team", call.team.as_str())
        .config()
        .timeout_global(Some(Duration::from_millis(call.timeout_ms.max(1))))
        .build()
        .send(&call.body[..]);
    let mut response = match result {
        Ok(it) => it,
        Err(error) if was_not_sent(&error) => {
            return EndpointResult::NotSent(format_compact!("{error}"));
        }
        Err(error) => return EndpointResult::Failed(format_compact!("{error}")),
    };
    let content_type = response
        .headers()
        .get("content-type")
        .and_then(|it| it.to_str().ok())
        .map(CompactString::from);
    match response.body_mut().with_config().limit(ANSWER_MAX_BYTES).read_to_vec() {
        Ok(body) => EndpointResult::Answered {
            status: response.status().as_u16(),
            content_type: content_type.unwrap_or_else(|| "application/octet-stream".into()),
            body,
        },
        Err(error) => EndpointResult::Failed(format_compact!("{error}")),
    }
}

/// Returns whether an error proves that no part of the request reached the endpoint.
fn was_not_sent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed => true,
        ureq::Error::Io(it) => it.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(it) => matches!(it, ureq::Timeout::Connect | ureq::Timeout::Resolve),
        _ => false,
    }
}

/// Calls a worker.
pub fn call_worker(client: &Agent, worker: SocketAddr, call: &WorkerCall) -> WorkerResult {
    let (path, body) = match call {
        WorkerCall::List => return list_tasks(client, worker),
        WorkerCall::Lease { session, until_boottime_ms } => (
            "/v1/lease".to_owned(),
            json!({"session": session, "until_boottime_ms": until_boottime_ms}),
        ),
        WorkerCall::Start { session, task, incarnation, start } => (
            format!("/v1/tasks/{task}/start"),
            json!({"session": session, "incarnation": incarnation, "start": start}),
        ),
        WorkerCall::Throttle { session, task, incarnation, permille } => (
            format!("/v1/tasks/{task}/throttle"),
            json!({"session": session, "incarnation": incarnation, "permille": permille}),
        ),
        WorkerCall::Checkpoint { session, task, incarnation } => (
            format!("/v1/tasks/{task}/checkpoint"),
            json!({"session": session, "incarnation": incarnation}),
        ),
        WorkerCall::Stop { session, task, incarnation } => (
            format!("/v1/tasks/{task}/stop"),
            json!({"session": session, "incarnation": incarnation}),
        ),
        WorkerCall::Forget { session, task, incarnation } => (
            format!("/v1/tasks/{task}/forget"),
            json!({"session": session, "incarnation": incarnation}),
        ),
    };
    let result = client
        .post(format!("http://{worker}{path}"))
        .config()
        .timeout_global(Some(WORKER_TIMEOUT))
        .build()
        .send(body.to_string().as_bytes());
    match result {
        Ok(response) if response.status().is_success() => WorkerResult::Done,
        Ok(response) => refused(response),
        Err(error) => WorkerResult::Failed(format_compact!("{error}")),
    }
}

fn refused(mut response: http::Response<ureq::Body>) -> WorkerResult {
    let text = response.body_mut().read_to_string().unwrap_or_default();
    WorkerResult::Refused(format_compact!("{}: {text}", response.status()))
}

fn list_tasks(client: &Agent, worker: SocketAddr) -> WorkerResult {
    let result = client
        .get(format!("http://{worker}/v1/tasks"))
        .config()
        .timeout_global(Some(WORKER_TIMEOUT))
        .build()
        .call();
    let body = match result {
        Ok(response) if !response.status().is_success() => return refused(response),
        Ok(mut response) => response.body_mut().with_config().limit(ANSWER_MAX_BYTES).read_to_vec(),
        Err(error) => return WorkerResult::Failed(format_compact!("{error}")),
    };
    let report = body.map_err(|it| it.to_string());
    let report = report
        .and_then(|it| serde_json::from_slice::<WorkerReport>(&it).map_err(|it| it.to_string()));
    report.map_or_else(|it| WorkerResult::Failed(it.into()), WorkerResult::Report)
}
