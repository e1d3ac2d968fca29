//! Decides whether a submission is accepted, and when a rejected one returns.
//!
//! Load: more work arrives than can end in time. What is hopeless at its arrival would take capacity
//! from what is not, and its caller would wait for an end that gives it nothing.

use std::{collections::VecDeque, net::SocketAddr};

use crate::{policy::completion::Estimate, prelude::*};

/// A workflow that ends after this many times its objective gives its caller nothing.
const OBJECTIVES_MAX: f64 = 3.0;

/// Bounds of the forecast time to return: callers count in seconds, and few wait for longer than ten
/// minutes.
const RETURN_MIN_MS: u64 = 1_000;
const RETURN_MAX_MS: u64 = 600_000;

/// Bounds of the time between two returns.
const SPACING_MIN_MS: u64 = 20;
const SPACING_MAX_MS: u64 = 5_000;

/// Time after its return time for which a rejected submission keeps its place.
const GRACE_MS: u64 = 10_000;

/// Rejected submissions that are remembered; beyond it those rejected first lose their place.
const RETURNS_MAX: usize = 2_048;

/// Calls with one submission that are remembered: more than the gateways that a client tries.
const CALLS_MAX: usize = 8;

/// What is known of a submission.
#[derive(Clone, Copy, Debug)]
pub struct Prospect {
    /// Time until its end.
    pub completion_ms: Estimate,
    /// Time until its last occurrence is due.
    pub due_ms: f64,
    /// Time within which an occurrence gives its caller full value. It grows with the run times, so
    /// its late case is the longest.
    pub objective_ms: Estimate,
    /// Whether one of its tasks could begin at once.
    pub can_begin: bool,
}

/// The decision on a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Accept,
    /// It would end too late to be of use.
    Late {
        /// Time after which it would likely end in time.
        in_time_after_ms: u64,
    },
}

/// Decides on a submission.
///
/// It is rejected only if it would be of no use in the best case: a forecast that may be wrong in
/// either direction accepts. So does one without a bound, which has not been measured.
///
/// ```
/// use aspenrail::policy::{completion::Estimate, verdict::{Prospect, Verdict, verdict}};
///
/// let completion_ms = Estimate { early: 31_000.0, median: 40_000.0, late: 90_000.0 };
/// let objective_ms = Estimate { early: 7_000.0, median: 8_000.0, late: 10_000.0 };
/// let it = Prospect { completion_ms, due_ms: 0.0, objective_ms, can_begin: false };
/// assert_eq!(verdict(it), Verdict::Late { in_time_after_ms: 32_000 });
/// assert_eq!(verdict(Prospect { due_ms: 1_000.0, ..it }), Verdict::Accept);
/// assert_eq!(verdict(Prospect { can_begin: true, ..it }), Verdict::Accept);
/// ```
pub fn verdict(it: Prospect) -> Verdict {
    let useful_until_ms = it.due_ms + OBJECTIVES_MAX * it.objective_ms.late;
    let is_measured = it.completion_ms.early.is_finite();
    match is_measured && !it.can_begin && useful_until_ms < it.completion_ms.early {
        false => Verdict::Accept,
        true => {
            let in_time_after_ms = it.completion_ms.median - it.due_ms - it.objective_ms.median;
            Verdict::Late { in_time_after_ms: in_time_after_ms as u64 }
        }
    }
}

/// A call of a gateway, which sends it again until it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallId {
    pub gateway: SocketAddr,
    pub id: u64,
}

/// A rejected submission.
#[derive(Clone, Debug, PartialEq)]
pub struct RejectedSubmission {
    pub id: WorkflowId,
    pub caller: Caller,
    pub cause: AdmissionCause,
    /// The last calls that were answered with the rejection.
    pub calls: Vec<CallId>,
    pub rejections: u32,
    pub return_at_ms: u64,
    /// When the next submission of its queue may return, at the earliest.
    pub next_return_ms: u64,
}

/// A rejection to note.
#[derive(Clone, Debug)]
pub struct Rejection {
    pub id: WorkflowId,
    pub caller: Caller,
    pub cause: AdmissionCause,
    /// The calls that are answered with the rejection.
    pub calls: Vec<CallId>,
    /// Time from now after which it would be served in time.
    pub not_before_ms: u64,
    /// Time for which it uses all capacity that serves such work: the next one returns later.
    pub service_ms: u64,
}

/// The rejected submissions that are to return, the first rejected first.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    entries: VecDeque<RejectedSubmission>,
}

impl Returns {
    /// Returns the rejected submissions that are expected to return, the first rejected first.
    pub fn pending(&self, now_ms: u64) -> impl Iterator<Item = &RejectedSubmission> {
        self.entries.iter().filter(move |it| now_ms < it.return_at_ms + GRACE_MS)
    }

    /// Returns whether a rejected submission is to return later than now.
    pub fn is_due_later(&self, id: WorkflowId, now_ms: u64) -> bool {
        self.get(id).is_some_and(|it| now_ms < it.return_at_ms)
    }

    /// Returns a rejected submission.
    pub fn get(&self, id: WorkflowId) -> Option<&RejectedSubmission> {
        self.entries.iter().find(|it| it.id == id)
    }

    /// Removes a submission that was accepted.
    pub fn remove(&mut self, id: WorkflowId) {
        self.entries.retain(|it| it.id != id);
    }

    /// Notes a rejection; returns the time in which to return.
    ///
    /// A first rejection returns after those of its queue and cause before it, each later by the time
    /// that the one before takes: what goes before or competes for other capacity is no reason to
    /// wait. A submission that comes again before its time gets the same time; one that is
    /// rejected again at its time does not go behind those that were rejected after it.
    pub fn note(&mut self, it: Rejection, now_ms: u64) -> u64 {
        self.entries.retain(|other| now_ms < other.return_at_ms + GRACE_MS);
        let not_before_ms = now_ms + it.not_before_ms.clamp(RETURN_MIN_MS, RETURN_MAX_MS);
        if let Some(index) = self.entries.iter().position(|other| other.id == it.id) {
            let later = self.entries.range(index + 1..).map(|other| other.return_at_ms);
            let last_later_ms = later.filter(|it| now_ms < *it).max().unwrap_or(u64::MAX);
            let known = &mut self.entries[index];
            known.calls.extend(it.calls);
            let forgotten = known.calls.len().saturating_sub(CALLS_MAX);
            known.calls.drain(..forgotten);
            if known.return_at_ms <= now_ms {
                known.rejections += 1;
                known.return_at_ms = not_before_ms.min(last_later_ms).max(now_ms + RETURN_MIN_MS);
            }
            return known.return_at_ms - now_ms;
        }
        let is_alike = |other: &&RejectedSubmission| {
            other.cause == it.cause && other.caller.queue == it.caller.queue
        };
        let alike = self.entries.iter().filter(is_alike).map(|it| it.next_return_ms);
        let return_at_ms = alike.fold(not_before_ms, u64::max);
        let spacing_ms = it.service_ms.clamp(SPACING_MIN_MS, SPACING_MAX_MS);
        if RETURNS_MAX <= self.entries.len() {
            self.entries.pop_front();
        }
        self.entries.push_back(RejectedSubmission {
            id: it.id,
            caller: it.caller,
            cause: it.cause,
            calls: it.calls,
            rejections: 1,
            return_at_ms,
            next_return_ms: return_at_ms + spacing_ms,
        });
        return_at_ms - now_ms
    }
}
