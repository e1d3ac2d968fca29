//! A simulated worker over HTTP.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use crate::{
    agent::{WorkerCall, WorkerResult},
    http::{HttpAnswer, HttpRequest, Pending, ServerLimits, ServerOptions, start_server},
    prelude::*,
    standin::worker_model::WorkerModel,
    util::Clock,
};

#[derive(serde::Deserialize)]
struct LeaseBody {
    session: SessionId,
    until_boottime_ms: u64,
}

#[derive(serde::Deserialize)]
struct TaskBody {
    session: SessionId,
    incarnation: u32,
    start: Option<Box<TaskStart>>,
    permille: Option<u32>,
}

/// Starts a simulated worker.
///
/// # Errors
///
/// Returns an error if the worker cannot listen on its address.
pub fn start_worker(listen: SocketAddr, model: WorkerModel) -> Result<()> {
    let model = Arc::new(Mutex::new(model));
    let pending = Pending::default();
    let options = ServerOptions {
        listen,
        threads: 2,
        body_max_bytes: 1 << 20,
        headers_max_bytes: 16 * 1024,
        watches_stalls: false,
    };
    start_server(options, &ServerLimits::unlimited(), &pending, move |_, request| {
        let call = match request.and_then(|it| parse(&it)) {
            Ok(it) => it,
            Err(it) => return Some(HttpAnswer::refusal(&it)),
        };
        let now_ms = Clock.now().mono_ms;
        let result = model.lock().unwrap_or_else(PoisonError::into_inner).call(now_ms, &call);
        Some(match result {
            WorkerResult::Done => HttpAnswer::json(200, &serde_json::json!({"done": true})),
            WorkerResult::Report(it) => HttpAnswer::json(200, &serde_json::json!(it)),
            WorkerResult::Refused(detail) | WorkerResult::Failed(detail) => {
                HttpAnswer::text(409, "text/plain", detail.into())
            }
        })
    })
}

fn parse(request: &HttpRequest) -> Result<WorkerCall, Refusal> {
    let parts: Vec<_> = request.path.trim_matches('/').split('/').collect();
    match (request.method.as_str(), parts.as_slice()) {
        ("GET", ["v1", "tasks"]) => Ok(WorkerCall::List),
        ("POST", ["v1", "lease"]) => {
            let LeaseBody { session, until_boottime_ms } = request.json()?;
            Ok(WorkerCall::Lease { session, until_boottime_ms })
        }
        ("POST", ["v1", "tasks", task, action]) => {
            let task =
                task.parse().map(TaskId).map_err(|_| refusal(ErrorKind::BadRequest, "bad task"))?;
            let TaskBody { session, incarnation, start, permille } = request.json()?;
            match (*action, start, permille) {
                ("start", Some(start), _) => {
                    Ok(WorkerCall::Start { session, task, incarnation, start })
                }
                ("throttle", _, Some(permille)) => {
                    Ok(WorkerCall::Throttle { session, task, incarnation, permille })
                }
                ("checkpoint", ..) => Ok(WorkerCall::Checkpoint { session, task, incarnation }),
                ("stop", ..) => Ok(WorkerCall::Stop { session, task, incarnation }),
                ("forget", ..) => Ok(WorkerCall::Forget { session, task, incarnation }),
                _ => Err(refusal(ErrorKind::BadRequest, "unknown verb")),
            }
        }
        _ => Err(refusal(ErrorKind::NotFound, "unknown path")),
    }
}
