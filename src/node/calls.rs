//! Calls of a worker, their results, and the messages that a worker sends on its own.

use crate::{prelude::*, util::incarnation_name};

/// One call of the worker beside this node.
#[derive(Clone, Debug)]
pub struct WorkerCall {
    /// Worker id that the call is meant for; a worker with another id refuses it.
    pub worker: CompactString,
    /// Fencing token; the worker refuses calls with one below the highest that it has received.
    pub token: u64,
    pub action: Action,
}

#[derive(Clone, Debug)]
pub enum Action {
    /// Renews the lease of all running tasks, acknowledges ends, and lists running and ended runs.
    Poll {
        /// By the worker's clock; `None` renews no lease.
        lease_until_ms: Option<u64>,
        acked_cursor: u64,
        /// Longest time for which the worker waits for an end before it answers.
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
    /// Limits a task to a share of its full speed.
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
        /// Start time of the incarnation that answers, if reported.
        started_unix_ms: Option<u64>,
        running: Vec<RunningTask>,
        ended: Vec<EndedRun>,
    },
    /// Like `RunList`, but incomplete: rows are unreadable, or the list of ends was cut short if
    /// `unreadable_rows` is 0. Runs that are not listed may still run. Ends after an unreadable row
    /// are kept apart, since acknowledging an end acknowledges all ends before it.
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
    /// Another incarnation of the worker answered.
    OtherLifetime,
    /// The worker did not carry out the call, and reports that it is unable to.
    Unhealthy,
    /// The call was rejected as malformed, or its answer is unreadable; a retry would not help.
    Invalid(CompactString),
    /// No process listens at the worker's address.
    ConnectionRefused,
    /// No answer: the call may have been carried out, or may still be.
    NoAnswer,
}

/// Why a worker refused a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallRefusal {
    /// The worker has received a newer fencing token.
    Fenced,
    /// The worker already had a run of the task with this number or a higher one.
    Superseded,
    /// The lease in the call has expired.
    Late,
    Room,
    /// The run's ticket is missing or no longer valid.
    Ticket,
}

/// Why a worker's request is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementRejection {
    /// Not JSON, of an unsupported size or encoding, or for an unknown path or method.
    Unreadable,
    /// Fields are missing, empty or of the wrong type.
    Malformed,
    UnknownState,
    /// A service that the configuration does not name.
    UnknownService,
    /// No newer than an earlier announcement, or of an incarnation that has ended.
    Outdated,
}

impl AnnouncementRejection {
    /// All causes, so that each counter exists from the start.
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

/// A worker's periodic report about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// Worker id, which an earlier incarnation may have used.
    pub id: CompactString,
    pub service: CompactString,
    pub zone: CompactString,
    pub kind: CompactString,
    pub rack: CompactString,
    pub capacity: Resources,
    pub draining: bool,
    /// Minimum time that is left while the worker drains.
    pub remaining_ms: u64,
    pub clock_ms: u64,
    /// Increases with each announcement of an incarnation.
    pub sequence: u64,
    /// Unix time of the worker's start by its own clock, if reported.
    pub started_unix_ms: Option<u64>,
}

impl Announcement {
    pub fn incarnation_name(&self) -> CompactString {
        incarnation_name(&self.id, self.started_unix_ms)
    }
}

/// A worker's report that it exits.
#[derive(Clone, Debug, PartialEq)]
pub struct Departure {
    pub id: CompactString,
    /// Start time of the incarnation that exits, if reported.
    pub started_unix_ms: Option<u64>,
}

impl Departure {
    /// Returns whether the incarnation of `announcement` may have sent this.
    pub(super) fn may_be_from(&self, announcement: &Announcement) -> bool {
        self.id == announcement.id
            && (self.started_unix_ms.is_none()
                || self.started_unix_ms == announcement.started_unix_ms)
    }
}
