//! Sending an answer.

use bytes::{Buf, Bytes};
use http_body_util::Full;
use hyper::Response;

use crate::http::{HttpAnswer, server::connections::UnsentAnswer};

/// The body of an answer, which counts as unsent until its last byte is handed to the kernel.
pub(super) struct AnswerBytes {
    bytes: Bytes,
    _unsent: UnsentAnswer,
}

impl Buf for AnswerBytes {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
    }
}

/// Returns the HTTP response for an answer.
pub(super) fn respond(answer: HttpAnswer, unsent: UnsentAnswer) -> Response<Full<AnswerBytes>> {
    let status = http::StatusCode::from_u16(answer.status).unwrap_or(http::StatusCode::BAD_GATEWAY);
    let body = AnswerBytes { bytes: Bytes::from(answer.body), _unsent: unsent };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let headers =
        answer.headers.into_iter().chain([("Content-Type", answer.content_type.to_string())]);
    for (name, value) in headers {
        // Invalid names and values are left out, so that the answer itself is sent.
        if let (Ok(name), Ok(value)) =
            (http::HeaderName::from_bytes(name.as_bytes()), value.parse())
        {
            response.headers_mut().insert(name, value);
        }
    }
    response
}
