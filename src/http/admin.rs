//! Requests of operators; see docs/API.md.

use crate::{
    http::{HttpRequest, Tokens},
    prelude::*,
};

#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeBody {
    based_on: Revision,
    key: CompactString,
    change: ConfigChange,
}

#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct ZoneBody {
    zone: CompactString,
    evacuated: bool,
    /// Revision of the list that the operator saw; the newest if absent.
    based_on: Option<u64>,
}

/// Parses an operator's request.
///
/// # Errors
///
/// Returns a refusal; the request then had no effect.
pub fn parse(tokens: &Tokens, request: &HttpRequest) -> Result<Operation, Refusal> {
    let Some(operator) = tokens.holder(request.header("Authorization")) else {
        return Err(refusal(
            ErrorKind::Unauthenticated,
            "send the operator's token as Authorization: Bearer TOKEN",
        ));
    };
    let parts: Vec<_> = request.path.trim_matches('/').split('/').collect();
    match (request.method.as_str(), parts.as_slice()) {
        ("POST", ["v1", "admin", "configuration"]) => {
            let ChangeBody { based_on, key, change } = request.json()?;
            if key.is_empty() {
                return Err(refusal(ErrorKind::BadRequest, "key must not be empty"));
            }
            let command = ConfigureCommand { based_on, key, operator, change };
            Ok(Operation::Propose(Command::Configure(command)))
        }
        ("POST", ["v1", "admin", "evacuations"]) => {
            let ZoneBody { zone, evacuated, based_on } = request.json()?;
            Ok(Operation::Evacuate(EvacuateRequest { zone, evacuated, by: operator, based_on }))
        }
        ("POST", ["v1", "admin", "members"]) => Ok(Operation::Membership(request.json()?)),
        ("POST", ["v1", "admin", "drain"]) => Ok(Operation::Drain(request.json()?)),
        ("GET", ["v1", "admin", view]) => {
            let view: AdminView = view.parse().map_err(|_| {
                refusal(ErrorKind::NotFound, format_compact!("nothing is named {view}"))
            })?;
            Ok(Operation::Query(Query::View(view)))
        }
        (_, ["v1", "admin", ..]) => {
            let detail = format_compact!("{} is not for {}", request.method, request.path);
            Err(refusal(ErrorKind::MethodNotAllowed, detail))
        }
        _ => Err(refusal(ErrorKind::NotFound, format_compact!("nothing is at {}", request.path))),
    }
}
