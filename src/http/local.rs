//! The edge where a VM's endpoints announce themselves: docs/PLATFORM.md describes it.

use std::net::SocketAddr;

use crate::{agent::Announcement, http::HttpRequest, prelude::*};

/// What an endpoint says to its agent.
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

/// Reads an endpoint's request.
///
/// # Errors
///
/// Returns a refusal; nothing was begun then.
pub fn parse(it: &HttpRequest) -> Result<LocalRequest, Refusal> {
    match (it.method.as_str(), it.path.as_str()) {
        ("POST", "/v1/announce") => Ok(LocalRequest::Announce(it.json()?)),
        ("POST", "/v1/leave") => Ok(LocalRequest::Leave(it.json::<LeaveBody>()?.address)),
        (_, "/v1/announce" | "/v1/leave") => {
            let detail = format_compact!("{} is not for {}", it.method, it.path);
            Err(refusal(ErrorKind::MethodNotAllowed, detail))
        }
        _ => Err(refusal(ErrorKind::NotFound, format_compact!("nothing is at {}", it.path))),
    }
}
