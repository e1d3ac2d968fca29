//! Requests of operators that are the same on every platform.

use crate::{http::HttpRequest, prelude::*};

/// Time for which such a request waits.
const WAIT_MS: u64 = 950;

/// Highest number of rows that are asked for; the leader has a lower limit.
const ROWS_MAX: u32 = 1_000;

/// Returns an operator's request of the system's own interface, with the time for which it waits.
pub(super) fn own_request(request: &HttpRequest) -> Option<(WorkflowRequest, u64)> {
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/v1/admin/waiting") => Some((WorkflowRequest::ReadWaiting(ROWS_MAX), WAIT_MS)),
        _ => None,
    }
}
