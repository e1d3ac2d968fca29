//! Requests of a VM's endpoints, which announce themselves to the agent; see docs/PLATFORM.md.

use std::net::SocketAddr;

use crate::{agent::Announcement, http::HttpRequest, prelude::*};

/// A request of an endpoint to its agent.
#[derive(Clone, Debug, PartialEq)]
pub enum LocalRequest {
    Announce(Announcement),
    Leave(SocketAddr),
}

#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct LeaveBody {
    address: SocketAddr,
}

/// Parses an endpoint's request.
///
/// # Errors
///
/// Returns a refusal; the request then had no effect.
pub fn parse(request: &HttpRequest) -> Result<LocalRequest, Refusal> {
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/v1/announce") => Ok(LocalRequest::Announce(request.json()?)),
        ("POST", "/v1/leave") => Ok(LocalRequest::Leave(request.json::<LeaveBody>()?.address)),
        (_, "/v1/announce" | "/v1/leave") => {
            let detail = format_compact!("{} is not for {}", request.method, request.path);
            Err(refusal(ErrorKind::MethodNotAllowed, detail))
        }
        _ => Err(refusal(ErrorKind::NotFound, format_compact!("nothing is at {}", request.path))),
    }
}
