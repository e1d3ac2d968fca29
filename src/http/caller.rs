//! Requests of callers; see docs/API.md.

use crate::{
    entry::{CallerAnswer, CallerRequest, QuickRequest},
    http::{HttpAnswer, HttpRequest, Tokens},
    prelude::*,
};

/// Deadline of a quick request that has no deadline header.
const DEADLINE_DEFAULT_MS: u64 = 1_000;

/// Wait of a poll that has no `wait_ms` parameter.
const WAIT_DEFAULT_MS: u64 = 0;

/// Longest idempotency key, subject, class or kind.
const NAME_MAX_BYTES: usize = 200;

/// Largest payload of a job, or body of an event.
const PAYLOAD_MAX_BYTES: usize = 64 * 1024;

#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct SubmitBody {
    key: CompactString,
    spec: JobSpec,
}

#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct CancelBody {
    jobs: Vec<JobId>,
}

#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct WatchBody {
    key: CompactString,
    subject: CompactString,
}

#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct EventBody {
    key: CompactString,
    subject: CompactString,
    body: CompactString,
}

/// Parses a request and returns it with the caller's team.
///
/// # Errors
///
/// Returns a refusal; the request then had no effect.
pub fn parse(
    tokens: &Tokens,
    request: &HttpRequest,
) -> Result<(CompactString, CallerRequest), Refusal> {
    let Some(team) = tokens.holder(request.header("Authorization")) else {
        return Err(refusal(
            ErrorKind::Unauthenticated,
            "send the team's token as Authorization: Bearer TOKEN",
        ));
    };
    let parts: Vec<_> = request.path.trim_matches('/').split('/').collect();
    let caller_request = match (request.method.as_str(), parts.as_slice()) {
        ("POST", ["v1", "quick", class, ..]) => parse_quick_request(request, class)?,
        ("POST", ["v1", "jobs"]) => {
            let SubmitBody { key, spec } = request.json()?;
            check_names(&[("key", &key), ("class", &spec.class), ("kind", &spec.kind)])?;
            check_length("subject", &spec.subject, NAME_MAX_BYTES)?;
            check_length("payload", &spec.payload, PAYLOAD_MAX_BYTES)?;
            CallerRequest::Submit { key, spec }
        }
        ("POST", ["v1", "jobs", "cancel"]) => {
            let CancelBody { jobs } = request.json()?;
            if jobs.is_empty() || 10_000 < jobs.len() {
                let detail =
                    format_compact!("{} jobs are named, out of range 1 to 10000", jobs.len());
                return Err(refusal(ErrorKind::BadRequest, detail));
            }
            CallerRequest::Cancel(jobs)
        }
        ("GET", ["v1", "jobs", id]) => CallerRequest::Job(JobId(parse_number("job", id)?)),
        ("GET", ["v1", "jobs", id, "result"]) => CallerRequest::JobResult {
            job: JobId(parse_number("job", id)?),
            wait_ms: wait_ms(request)?,
        },
        ("POST", ["v1", "watches"]) => {
            let WatchBody { key, subject } = request.json()?;
            check_names(&[("key", &key), ("subject", &subject)])?;
            CallerRequest::CreateWatch { key, subject }
        }
        ("GET", ["v1", "watches", id]) => CallerRequest::PollWatch {
            watch: WatchId(parse_number("watch", id)?),
            cursor: request.query_number("cursor", 0)?,
            wait_ms: wait_ms(request)?,
        },
        ("DELETE", ["v1", "watches", id]) => {
            CallerRequest::DeleteWatch(WatchId(parse_number("watch", id)?))
        }
        ("POST", ["v1", "events"]) => {
            let EventBody { key, subject, body } = request.json()?;
            check_names(&[("key", &key), ("subject", &subject)])?;
            check_length("body", &body, PAYLOAD_MAX_BYTES)?;
            CallerRequest::Publish { key, subject, body }
        }
        (_, ["v1", "quick" | "jobs" | "watches" | "events", ..]) => {
            let detail = format_compact!("{} is not for {}", request.method, request.path);
            return Err(refusal(ErrorKind::MethodNotAllowed, detail));
        }
        _ => {
            return Err(refusal(
                ErrorKind::NotFound,
                format_compact!("nothing is at {}", request.path),
            ));
        }
    };
    Ok((team, caller_request))
}

/// Returns the HTTP form of an answer.
pub fn answer(answer: CallerAnswer) -> HttpAnswer {
    match answer {
        CallerAnswer::Quick { status, content_type, body, attempts } => HttpAnswer {
            status,
            content_type,
            headers: vec![("Aspenrail-Attempts", attempts.to_string())],
            body,
        },
        CallerAnswer::AlreadyAnswered { status } => HttpAnswer::json(
            200,
            &serde_json::json!({"answered_before": true, "status": status, "body_kept": false}),
        ),
        CallerAnswer::Done(it) => HttpAnswer::reply(&it),
        CallerAnswer::Refused(it) => HttpAnswer::refusal(&it),
    }
}

fn parse_quick_request(request: &HttpRequest, class: &str) -> Result<CallerRequest, Refusal> {
    let deadline_ms = match request.header("Aspenrail-Deadline-Ms") {
        Some(text) => parse_number("Aspenrail-Deadline-Ms", text)?,
        None => DEADLINE_DEFAULT_MS,
    };
    let idempotent = match request.header("Aspenrail-Idempotent") {
        Some("true") => true,
        Some("false") => false,
        // The safe default: running a request twice that must run once cannot be undone.
        None => false,
        Some(other) => {
            let detail = format_compact!("Aspenrail-Idempotent is '{other}', not true or false");
            return Err(refusal(ErrorKind::BadRequest, detail));
        }
    };
    let key = request.header("Idempotency-Key").map(CompactString::from);
    if let Some(key) = &key {
        check_names(&[("Idempotency-Key", key)])?;
    }
    Ok(CallerRequest::Quick(QuickRequest {
        class: class.into(),
        path: endpoint_path(request, class),
        deadline_ms: deadline_ms.min(u32::MAX.into()) as u32,
        idempotent,
        key,
        body: request.body.clone(),
    }))
}

/// Returns the path and query for the endpoint, which follow `/v1/quick/CLASS`.
fn endpoint_path(request: &HttpRequest, class: &str) -> CompactString {
    let target = request.path_and_query.trim_start_matches('/');
    let rest = target.strip_prefix("v1/quick/").and_then(|it| it.strip_prefix(class)).unwrap_or("");
    if rest.starts_with('/') { rest.into() } else { format_compact!("/{rest}") }
}

fn wait_ms(request: &HttpRequest) -> Result<u32, Refusal> {
    Ok(request.query_number("wait_ms", WAIT_DEFAULT_MS)?.min(u32::MAX.into()) as u32)
}

fn parse_number(name: &str, text: &str) -> Result<u64, Refusal> {
    text.parse().map_err(|_| {
        refusal(ErrorKind::BadRequest, format_compact!("{name} is '{text}', not a whole number"))
    })
}

fn check_names(names: &[(&str, &CompactString)]) -> Result<(), Refusal> {
    for (name, value) in names {
        if value.is_empty() {
            return Err(refusal(
                ErrorKind::BadRequest,
                format_compact!("{name} must not be empty"),
            ));
        }
        check_length(name, value, NAME_MAX_BYTES)?;
    }
    Ok(())
}

fn check_length(name: &str, value: &str, max_bytes: usize) -> Result<(), Refusal> {
    if value.len() <= max_bytes {
        return Ok(());
    }
    let detail = format_compact!("{name} has {} bytes, the most is {max_bytes}", value.len());
    Err(refusal(ErrorKind::PayloadTooLarge, detail))
}
