//! Requests of callers and their answers; inputs and effects of an entry.

use std::net::SocketAddr;

use crate::prelude::*;

/// A quick request as received from a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct QuickRequest {
    pub class: CompactString,
    pub path: CompactString,
    pub deadline_ms: u32,
    /// Whether it may safely run more than once.
    pub idempotent: bool,
    /// The caller's idempotency key; required if the request is not idempotent.
    pub key: Option<CompactString>,
    pub body: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum CallerRequest {
    Quick(QuickRequest),
    Submit {
        key: CompactString,
        spec: JobSpec,
    },
    Job(JobId),
    /// The result of a job; held until the job finishes or `wait_ms` has passed.
    JobResult {
        job: JobId,
        wait_ms: u32,
    },
    Cancel(Vec<JobId>),
    CreateWatch {
        key: CompactString,
        subject: CompactString,
    },
    /// The events after a cursor; held until there is one or `wait_ms` has passed.
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

#[derive(Clone, Debug, PartialEq)]
pub enum CallerAnswer {
    /// The endpoint's complete answer.
    Quick {
        status: u16,
        content_type: CompactString,
        body: Vec<u8>,
        attempts: u32,
    },
    /// An earlier request with this key was answered, and the answer's body was not stored.
    AlreadyAnswered {
        status: u16,
    },
    Done(Reply),
    Refused(Refusal),
}

/// Input of an entry.
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
    /// The connection to a process broke; messages sent there may be lost.
    LinkLost {
        peer: SocketAddr,
    },
    Tick,
    /// A planned stop: new requests are refused, open ones are finished.
    Stop,
}

/// Action for the I/O layer of an entry.
#[derive(Clone, Debug)]
pub enum Effect {
    Send { to: SocketAddr, message: Message },
    Answer { token: u64, answer: CallerAnswer },
}
