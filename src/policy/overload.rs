//! Overload of a leader: which requests wait, which are turned away at once, and until when.
//!
//! Load: after control was unreachable, all clients and operators return in the same second; a slow
//! disk or a retry storm has the same effect. Work is divided into classes, and the class of least
//! use is turned away first. Limits are times in the queue, not lengths (Nichols and Jacobson,
//! *Controlling queue delay*, 2012; Zhou et al., *Overload control for scaling WeChat
//! microservices*, 2018): the same length is harmless for a fast leader and too long for a slow one.

use crate::prelude::*;

/// Longest time for which a read or a submission waits for its turn. A gateway sends a request
/// again after 300 ms without an answer, and then it would be worked on twice.
pub const WAIT_MAX_MS: u64 = 200;

/// Most requests of a class that wait, whatever their expected wait: it bounds their memory.
pub const LEN_MAX: usize = 1_024;

/// Shortest and longest time to return. Answers state whole seconds, and a client that waits for
/// longer than the longest one has given up.
const RETURN_MIN_MS: u64 = 1_000;
const RETURN_MAX_MS: u64 = 30_000;

/// Turns that a returning request is given: every second one, so that new requests find turns too.
const TURNS_PER_RETURN: u64 = 2;

/// Weight of the latest measurement of the time for one request, as a divisor.
const SERVICE_GAIN: u64 = 4;

/// Classes of work of a leader, most useful first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WorkClass {
    /// The search for a leader. It is answered on arrival, as reports, leases and acknowledgements
    /// are, which are no requests and have no class.
    Lease,
    /// Cancels, configurations and evacuations: few, and of use to all others.
    Change,
    /// Reads of the state.
    Read,
    /// Submissions: their clients keep them and come back.
    Submission,
}

impl WorkClass {
    /// Returns the class of a request.
    pub fn of(request: &WorkflowRequest) -> WorkClass {
        match request {
            WorkflowRequest::Ping => WorkClass::Lease,
            WorkflowRequest::Cancel(_)
            | WorkflowRequest::Install(_)
            | WorkflowRequest::Evacuate(_) => WorkClass::Change,
            WorkflowRequest::Inspect(_)
            | WorkflowRequest::ReadConfig
            | WorkflowRequest::ReadEvacuations
            | WorkflowRequest::ReadWaiting(_) => WorkClass::Read,
            WorkflowRequest::Submit(_) | WorkflowRequest::SubmitFrom(_) => WorkClass::Submission,
        }
    }

    /// Returns the longest time for which a request of the class waits for its turn.
    pub fn wait_max_ms(self) -> u64 {
        match self {
            WorkClass::Lease | WorkClass::Change => u64::MAX,
            WorkClass::Read | WorkClass::Submission => WAIT_MAX_MS,
        }
    }
}

/// The requests of one class that wait, and those that go before them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backlog {
    /// Requests of the class that wait.
    pub len: usize,
    /// Requests of this and of more useful classes that wait.
    pub ahead: usize,
    /// How long the oldest request of the class has waited.
    pub oldest_age_ms: u64,
}

/// Returns whether a request that arrives waits for its turn.
///
/// ```
/// use aspenrail::policy::overload::{Backlog, ServiceTime, WorkClass, waits};
///
/// let mut service = ServiceTime::default();
/// service.observe(100, 100);
/// let backlog = Backlog { len: 150, ahead: 150, oldest_age_ms: 90 };
/// assert!(waits(WorkClass::Submission, backlog, service));
/// service.observe(1_000, 100);
/// assert!(!waits(WorkClass::Submission, backlog, service), "the leader has become slower");
/// assert!(waits(WorkClass::Change, backlog, service));
/// ```
pub fn waits(class: WorkClass, backlog: Backlog, service: ServiceTime) -> bool {
    let wait_ms = backlog.oldest_age_ms.max(service.of_ms(backlog.ahead as u64));
    backlog.len < LEN_MAX && wait_ms < class.wait_max_ms()
}

/// Time that a leader takes for one request, while requests wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceTime {
    us: u64,
}

impl ServiceTime {
    /// Learns from a time in which `count` requests were worked on and others waited.
    pub fn observe(&mut self, elapsed_ms: u64, count: u64) {
        let latest_us = elapsed_ms.saturating_mul(1_000) / count.max(1);
        self.us = match self.us {
            0 => latest_us,
            it => it - it / SERVICE_GAIN + latest_us / SERVICE_GAIN,
        };
    }

    /// Returns the time for `count` requests.
    pub fn of_ms(self, count: u64) -> u64 {
        self.us.saturating_mul(count) / 1_000
    }
}

/// The times to return that were given to requests that were turned away, so that as many return at
/// a time as can be worked on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReturnTimes {
    last_ms: u64,
}

impl ReturnTimes {
    /// Returns the time after which a request that is turned away now returns, once `ahead` others
    /// have been worked on and those turned away before it have returned.
    pub fn next_ms(&mut self, now_ms: u64, ahead: usize, service: ServiceTime) -> u64 {
        let from_ms = now_ms + RETURN_MIN_MS.max(service.of_ms(ahead as u64));
        // A whole millisecond spreads also the requests to a leader that is not measured yet.
        let pause_ms = service.of_ms(TURNS_PER_RETURN).max(1);
        let return_ms = from_ms.max(self.last_ms + pause_ms).min(now_ms + RETURN_MAX_MS);
        self.last_ms = return_ms;
        return_ms - now_ms
    }
}

/// Returns whether a gateway with `open` requests takes one more of a class. Submissions leave a
/// quarter of the places to reads and changes, and reads an eighth to changes.
pub fn is_room_for(class: WorkClass, open: usize, open_max: usize) -> bool {
    let kept = match class {
        WorkClass::Lease | WorkClass::Change => 0,
        WorkClass::Read => open_max / 8,
        WorkClass::Submission => open_max / 4,
    };
    open < open_max - kept
}

/// Longest time before a client stops waiting at which its answer is sent: one round trip between
/// distant availability zones. An answer at the last moment reaches nobody.
const ANSWER_MARGIN_MAX_MS: u64 = 100;

/// Returns how long before the end of its client's wait a request is answered.
pub fn answer_margin_ms(wait_ms: u64) -> u64 {
    match wait_ms {
        u64::MAX => 0,
        it => (it / 8).min(ANSWER_MARGIN_MAX_MS),
    }
}

/// Returns how long a request waits unsent while no leader is known: a third of its client's wait at
/// most, so that the client has time for another gateway.
pub fn park_ms(wait_ms: u64, park_max_ms: u64) -> u64 {
    (wait_ms / 3).min(park_max_ms)
}

/// Most doublings of the pause between two sends of a request.
const DOUBLINGS_MAX: u32 = 3;

/// Returns the pause after a send of a request that was sent `sends` times before: it doubles, and
/// is up to a quarter longer by the request's id, so that requests that were sent together are not
/// sent again together.
pub fn resend_pause_ms(base_ms: u64, sends: u32, id: u64) -> u64 {
    let pause_ms = base_ms << sends.min(DOUBLINGS_MAX);
    pause_ms + id % (pause_ms / 4).max(1)
}
