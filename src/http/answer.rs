//! Answers to HTTP requests.

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
    /// Returns an answer with a JSON body.
    pub fn json(status: u16, body: &Value) -> HttpAnswer {
        HttpAnswer::text(status, "application/json", body.to_string())
    }

    /// Returns an answer with a text body.
    pub fn text(status: u16, content_type: &str, body: String) -> HttpAnswer {
        HttpAnswer {
            status,
            content_type: content_type.into(),
            headers: Vec::new(),
            body: body.into_bytes(),
        }
    }

    /// Returns the answer to a refusal, as defined by [`answer_for_error`].
    pub fn refusal(refusal: &Refusal) -> HttpAnswer {
        let row = answer_for_error(refusal.kind);
        let body = json!({
            "error": refusal.kind,
            "detail": refusal.detail,
            "ran": row.execution.as_str(),
            "retryable": row.retryable,
            "retry_after_ms": refusal.retry_after_ms,
        });
        let mut res = HttpAnswer::json(row.status, &body);
        if matches!(refusal.kind, ErrorKind::Draining | ErrorKind::ShuttingDown) {
            // Makes the caller send its next request to another process.
            res.headers.push(("Connection", "close".to_owned()));
        }
        if 0 < refusal.retry_after_ms {
            // The header is in whole seconds; the body has the exact time.
            res.headers.push(("Retry-After", refusal.retry_after_ms.div_ceil(1_000).to_string()));
        }
        res
    }

    /// Returns the answer to a successful control operation.
    pub fn reply(reply: &Reply) -> HttpAnswer {
        match reply {
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
