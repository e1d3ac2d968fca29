use crate::prelude::*;

/// Separates the id of a worker from the start time of an incarnation.
const START_SEPARATOR: char = '@';

/// Returns the name of a worker incarnation.
///
/// A worker may restart under the same id and then knows nothing of its earlier runs. So data about
/// an incarnation is stored, compared and sent under id and start time together. The start time is
/// read from a clock that may be set back: it distinguishes incarnations, but does not order them.
///
/// A worker that does not report its start time is named by its id alone.
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
        Some(it) => format_compact!("{id}{START_SEPARATOR}{it}"),
        None => id.into(),
    }
}

/// Returns the worker id in an incarnation name, or `None` if the name has no start time.
pub fn id_of_incarnation(name: &str) -> Option<&str> {
    let (id, start) = name.rsplit_once(START_SEPARATOR)?;
    let is_start_time = !start.is_empty() && start.bytes().all(|it| it.is_ascii_digit());
    is_start_time.then_some(id)
}
