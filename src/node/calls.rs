//! Calls of a worker, and what they come back with.

use crate::{prelude::*, util::incarnation_name};

/// One call of the worker beside this node.
#[derive(Clone, Debug)]
pub struct WorkerCall {
    /// The id of the lifetime that it is meant for; one with another id refuses it.
    pub worker: CompactString,
    /// Term of the leader on whose word the call is made; the worker refuses older ones.
    pub token: u64,
    pub action: Action,
}

/// What a worker is asked to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Prolongs the lease of all that runs, takes note of ends, and lists what runs.
    Poll {
        /// On the worker's clock; without it nothing is prolonged.
        lease_until_ms: Option<u64>,
        acked_cursor: u64,
        /// Longest wait for an end.
        wait_ms: u64,
    },
    Start {
        run: RunRef,
        payload: CompactString,
        checkpoint: CompactString,
        lease_until_ms: u64,
    },
    Stop {
        run: RunRef,
    },
    /// Lets a task work at a share of its speed.
    Throttle {
        run: RunRef,
        speed_percent: u32,
    },
}

/// How a call ended.
#[derive(Clone, Debug)]
pub enum CallResult {
    RunList {
        clock_ms: u64,
        /// Start of the lifetime that answers, where it says so.
        started_unix_ms: Option<u64>,
        running: Vec<RunningTask>,
        ended: Vec<EndedRun>,
    },
    /// As `RunList`, with rows that cannot be read, or cut short, where none of them is unreadable: what
    /// is not listed may run all the same. Ends behind an unreadable row stand apart, since to
    /// acknowledge one is to acknowledge all before.
    PartialRunList {
        clock_ms: u64,
        started_unix_ms: Option<u64>,
        running: Vec<RunningTask>,
        ended: Vec<EndedRun>,
        ended_after_unreadable: Vec<EndedRun>,
        unreadable_rows: usize,
    },
    Done {
        clock_ms: u64,
    },
    Refused {
        clock_ms: u64,
        cause: CallRefusal,
    },
    /// Another lifetime of the worker answered.
    OtherLifetime,
    /// The worker did nothing, and says that it cannot.
    Unhealthy,
    /// The worker cannot read the call; a repetition would not help.
    Invalid(CompactString),
    /// Nobody listens there any more.
    ConnectionRefused,
    /// No answer: it may have been carried out, or may yet be.
    NoAnswer,
}

/// Why a worker refused a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallRefusal {
    /// A leader of a later term has spoken.
    Fenced,
    /// A run with this number or a higher one was there already.
    Superseded,
    /// The lease in the call is over.
    Late,
    Room,
    /// Its ticket is missing or no longer valid.
    Ticket,
}

/// Why what was said of a worker names none for use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementRejection {
    /// No JSON, or not of this size or encoding.
    Unreadable,
    /// Fields are missing, or of another type.
    Malformed,
    /// A state that is not known.
    UnknownState,
    /// A pool of workers that the configuration does not name.
    UnknownService,
    /// No newer than what was said before, or of a lifetime that is over.
    Outdated,
}

impl AnnouncementRejection {
    /// All causes, for counters that exist from the start.
    pub const ALL: [AnnouncementRejection; 5] = [
        AnnouncementRejection::Unreadable,
        AnnouncementRejection::Malformed,
        AnnouncementRejection::UnknownState,
        AnnouncementRejection::UnknownService,
        AnnouncementRejection::Outdated,
    ];

    /// Returns the label of its counter.
    pub fn as_str(self) -> &'static str {
        match self {
            AnnouncementRejection::Unreadable => "unreadable",
            AnnouncementRejection::Malformed => "malformed",
            AnnouncementRejection::UnknownState => "unknown_state",
            AnnouncementRejection::UnknownService => "foreign_service",
            AnnouncementRejection::Outdated => "late",
        }
    }
}

/// What a worker says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// Its id, which an earlier lifetime may have had.
    pub id: CompactString,
    pub service: CompactString,
    pub zone: CompactString,
    pub kind: CompactString,
    pub rack: CompactString,
    pub capacity: Resources,
    pub draining: bool,
    /// Least time that is left while it drains.
    pub remaining_ms: u64,
    pub clock_ms: u64,
    /// Rises with each announcement of a lifetime.
    pub sequence: u64,
    /// Unix millisecond of its start, by the worker's clock; nothing where it does not say so.
    pub started_unix_ms: Option<u64>,
}

impl Announcement {
    /// Returns the name of the lifetime that announces itself.
    pub fn incarnation_name(&self) -> CompactString {
        incarnation_name(&self.id, self.started_unix_ms)
    }
}

/// What a worker says as it ends.
#[derive(Clone, Debug, PartialEq)]
pub struct Departure {
    pub id: CompactString,
    /// Start of the lifetime that ends, where it says so.
    pub started_unix_ms: Option<u64>,
}

impl Departure {
    /// Returns whether this may be said by the lifetime that announced itself so.
    pub(super) fn is_of(&self, it: &Announcement) -> bool {
        self.id == it.id
            && (self.started_unix_ms.is_none() || self.started_unix_ms == it.started_unix_ms)
    }
}
