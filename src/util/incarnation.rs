use crate::prelude::*;

/// Parts the id of a worker from the start of one of its lifetimes.
const START_MARK: char = '@';

/// Returns the name of one lifetime of a worker.
///
/// A worker may start again under the id that it had, and then knows nothing of before. So whatever
/// is kept, compared or sent of a lifetime goes by its id and its start together. The start is a
/// reading of a clock that may be set back: it tells lifetimes apart, and nothing of their order.
///
/// A worker that does not tell its start goes by its id alone.
///
/// # Example
///
/// ```
/// use aspenrail::util::{id_of_incarnation, incarnation_name};
///
/// let name = incarnation_name("worker-1", Some(1_700_000_000_000));
/// assert_eq!(name, "worker-1@1700000000000");
/// assert_eq!(id_of_incarnation(&name), Some("worker-1"));
/// assert_eq!(id_of_incarnation("worker-1"), None);
/// ```
pub fn incarnation_name(id: &str, started_unix_ms: Option<u64>) -> CompactString {
    match started_unix_ms {
        Some(it) => format_compact!("{id}{START_MARK}{it}"),
        None => id.into(),
    }
}

/// Returns the id in the name of a lifetime; nothing where that is an id alone.
pub fn id_of_incarnation(name: &str) -> Option<&str> {
    let (id, start) = name.rsplit_once(START_MARK)?;
    let is_start = !start.is_empty() && start.bytes().all(|it| it.is_ascii_digit());
    is_start.then_some(id)
}
