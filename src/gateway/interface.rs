//! Options, inputs, answers and effects of a gateway.

use std::net::SocketAddr;

use crate::prelude::*;

/// Options of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    /// Address at which other processes reach this one.
    pub address: SocketAddr,
    pub control_addresses: Vec<SocketAddr>,
    /// Availability zone of this process, which submissions are attributed to.
    pub zone: CompactString,
    /// Random number of this process, from which its calls are numbered.
    pub boot: u64,
    /// Time after which an unanswered call is sent to the next control process.
    pub resend_ms: u64,
    /// Pause after an answer that names no leader, for instance during an election.
    pub election_pause_ms: u64,
    /// Longest time that a request waits for an answer.
    pub give_up_ms: u64,
    /// Longest time that a request waits unsent while no leader is known.
    pub park_ms: u64,
    /// Interval of probes of the leader.
    pub probe_ms: u64,
    /// Open requests from which on new ones are refused.
    pub calls_max: usize,
    /// Most memory of all open requests; more are refused.
    pub calls_max_bytes: usize,
    /// Bounds resends by a budget, keeps room for changes and reads, and answers before a client
    /// stops waiting.
    pub overload_control: bool,
}

/// Input of a gateway.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request; `wait_ms` is how long its client waits, and `waited_ms` how long it may have waited
    /// before it was read.
    Request {
        token: u64,
        request: WorkflowRequest,
        wait_ms: u64,
        waited_ms: u64,
    },
    Message(Box<Message>),
    /// Control addresses from changed settings.
    ControlAddresses(Vec<SocketAddr>),
    Tick,
    /// A planned stop.
    Stop,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayAnswer {
    Outcome(WorkflowOutcome),
    /// The request was not accepted and never will be; a client may send it again.
    Rejected {
        cause: RejectionCause,
        retry_after_ms: u64,
    },
    /// No answer came; the request may have been accepted.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionCause {
    NoLeader,
    NoConfig,
    Busy,
    TooManyCalls,
    /// The open requests leave no memory for another one of its size.
    NoMemory,
    /// The queue needs tickets of a policy service, which are not served.
    Unserved,
    /// The workflow would end too late to be of use.
    Late,
    /// No worker has capacity for the workflow now.
    NoCapacity,
    /// It was read only after its client had stopped waiting.
    Expired,
}

impl From<AdmissionCause> for RejectionCause {
    fn from(it: AdmissionCause) -> RejectionCause {
        match it {
            AdmissionCause::Late => RejectionCause::Late,
            AdmissionCause::NoCapacity => RejectionCause::NoCapacity,
        }
    }
}

impl RejectionCause {
    /// All causes, for counters that exist from the start.
    pub const ALL: [RejectionCause; 9] = [
        RejectionCause::NoLeader,
        RejectionCause::NoConfig,
        RejectionCause::Busy,
        RejectionCause::TooManyCalls,
        RejectionCause::NoMemory,
        RejectionCause::Unserved,
        RejectionCause::Late,
        RejectionCause::NoCapacity,
        RejectionCause::Expired,
    ];

    /// Returns the label of its counter.
    pub fn as_str(self) -> &'static str {
        match self {
            RejectionCause::NoLeader => "no_leader",
            RejectionCause::NoConfig => "no_config",
            RejectionCause::Busy => "busy",
            RejectionCause::TooManyCalls => "too_many_calls",
            RejectionCause::NoMemory => "no_memory",
            RejectionCause::Unserved => "unserved",
            RejectionCause::Late => "late",
            RejectionCause::NoCapacity => "no_capacity",
            RejectionCause::Expired => "expired",
        }
    }
}

/// Action for the I/O layer of a gateway.
#[derive(Clone, Debug)]
pub enum Effect {
    Send {
        to: SocketAddr,
        message: Message,
    },
    /// The answer to a request, `took_ms` after it was received.
    Answer {
        token: u64,
        answer: GatewayAnswer,
        took_ms: u64,
    },
}
