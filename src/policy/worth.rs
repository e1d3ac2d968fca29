//! What the end of some work is still worth to who waits for it.
//!
//! A workflow is worth its full amount up to its objective, a small part for some time after, and
//! next to nothing later, so where not all can go on, what can still be in time goes first.

/// Time after acceptance or the due time, in objectives, up to which late work is worth a part.
const LATE_OBJECTIVES: u64 = 3;

/// Part of the full amount that late work is worth, in percent, as the users state it for each of
/// their kinds of requests.
const LATE_PERCENT: u32 = 15;

/// The same of work that comes later still: it is owed, and goes on where nothing else wants to.
const OVERDUE_PERCENT: u32 = 1;

/// What is known of some work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// When its workflow was accepted or due.
    pub since_ms: u64,
    /// Time after that in which the workflow should be completed.
    pub objective_ms: u64,
    /// Least time until it is, at full speed.
    pub remaining_ms: u64,
}

/// Returns what work is still worth, in percent of its full amount.
pub fn worth_percent(it: Waiting, now_ms: u64) -> u32 {
    let takes_ms = (now_ms + it.remaining_ms).saturating_sub(it.since_ms);
    match takes_ms {
        takes_ms if takes_ms <= it.objective_ms => 100,
        takes_ms if takes_ms <= it.objective_ms * LATE_OBJECTIVES => LATE_PERCENT,
        _ => OVERDUE_PERCENT,
    }
}
