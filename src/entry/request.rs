//! What callers ask of an entry, and what it answers.

use std::net::SocketAddr;

use crate::prelude::*;

/// A quick request as a caller made it.
#[derive(Clone, Debug, PartialEq)]
pub struct QuickRequest {
    pub class: CompactString,
    pub path: CompactString,
    pub deadline_ms: u32,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// The caller's idempotency key; needed where running it twice would do harm.
    pub key: Option<CompactString>,
    pub body: Vec<u8>,
}

/// A request of a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerRequest {
    Quick(QuickRequest),
    Submit {
        key: CompactString,
        spec: JobSpec,
    },
    Job(JobId),
    /// The result of a job, waited for as long as it has tasks left.
    JobResult {
        job: JobId,
        wait_ms: u32,
    },
    Cancel(Vec<JobId>),
    CreateWatch {
        key: CompactString,
        subject: CompactString,
    },
    /// The events after a cursor, waited for while there are none.
    PollWatch {
        watch: WatchId,
        cursor: u64,
        wait_ms: u32,
    },
    DeleteWatch(WatchId),
    Publish {
        key: CompactString,
        subject: CompactString,
        body: CompactString,
    },
}

/// An answer to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerAnswer {
    /// The endpoint's whole answer.
    Quick {
        status: u16,
        content_type: CompactString,
        body: Vec<u8>,
        attempts: u32,
    },
    /// The answer was given to an earlier request with this key, and its body is not kept.
    AlreadyAnswered {
        status: u16,
    },
    Done(Reply),
    Refused(Refusal),
}

/// What an entry is told.
#[derive(Clone, Debug)]
pub enum Input {
    Message {
        from: SocketAddr,
        in_force: Revision,
        message: Message,
    },
    Request {
        token: u64,
        team: CompactString,
        request: CallerRequest,
    },
    /// The link to a process broke: what was sent there may be lost.
    LinkLost {
        peer: SocketAddr,
    },
    Tick,
    /// A planned stop: nothing new is taken, what is in flight ends.
    Stop,
}

/// What an entry wants done.
#[derive(Clone, Debug)]
pub enum Effect {
    Send { to: SocketAddr, message: Message },
    Answer { token: u64, answer: CallerAnswer },
}
