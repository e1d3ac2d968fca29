//! Answers of the edges.

use serde_json::{Value, json};

use crate::{error::answer_for_error, prelude::*};

/// An answer to an HTTP request.
#[derive(Clone, Debug, PartialEq)]
pub struct HttpAnswer {
    pub status: u16,
    pub content_type: CompactString,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl HttpAnswer {
    /// Makes a JSON answer.
    pub fn json(status: u16, body: &Value) -> HttpAnswer {
        HttpAnswer::text(status, "application/json", body.to_string())
    }

    /// Makes an answer from text.
    pub fn text(status: u16, content_type: &str, body: String) -> HttpAnswer {
        HttpAnswer {
            status,
            content_type: content_type.into(),
            headers: Vec::new(),
            body: body.into_bytes(),
        }
    }

    /// Makes the answer to a refusal, by the one table.
    pub fn refusal(it: &Refusal) -> HttpAnswer {
        let row = answer_for_error(it.kind);
        let body = json!({
            "error": it.kind,
            "detail": it.detail,
            "ran": row.execution.as_str(),
            "retryable": row.retryable,
            "retry_after_ms": it.retry_after_ms,
        });
        let mut res = HttpAnswer::json(row.status, &body);
        if matches!(it.kind, ErrorKind::Draining | ErrorKind::ShuttingDown) {
            // The next request of this caller has to go to another process.
            res.headers.push(("Connection", "close".to_owned()));
        }
        if 0 < it.retry_after_ms {
            // The header counts whole seconds; the body has the exact time.
            res.headers.push(("Retry-After", it.retry_after_ms.div_ceil(1_000).to_string()));
        }
        res
    }

    /// Makes the answer to a successful operation of control.
    pub fn reply(it: &Reply) -> HttpAnswer {
        match it {
            Reply::Done => HttpAnswer::json(200, &json!({"done": true})),
            Reply::SessionOpened(it) => HttpAnswer::json(200, &json!(it)),
            Reply::Configured(it) => HttpAnswer::json(200, &json!({"revision": it})),
            Reply::JobAccepted(it) => HttpAnswer::json(202, &json!(it)),
            Reply::WatchCreated(it) => HttpAnswer::json(201, &json!({"watch": it})),
            Reply::Claim(it) => HttpAnswer::json(200, &json!(it)),
            Reply::Document(it) => HttpAnswer::text(200, "application/json", it.to_string()),
        }
    }
}
