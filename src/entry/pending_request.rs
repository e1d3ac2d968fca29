//! Quick requests that an entry has admitted and not yet finished.

use std::sync::Arc;

use crate::{
    entry::{endpoints::EndpointKey, request::QuickRequest},
    prelude::*,
};

slotmap::new_key_type! {
    /// Key of a quick request in this entry's slot map.
    pub(super) struct PendingRequestKey;
}

/// An attempt that was sent and has no final reply yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub number: u32,
    pub endpoint: EndpointKey,
    pub endpoint_id: EndpointId,
    pub sent_ms: u64,
}

/// Processing stage of a quick request.
#[derive(Clone, Debug)]
pub(super) enum Stage {
    /// Waits for an endpoint with a free slot.
    Waiting,
    /// The idempotency key is being claimed for this endpoint. The request is sent after that.
    Claiming { endpoint: EndpointKey },
    /// Another request holds the claim on the key; control is queried for its outcome regularly.
    Following { next_lookup_ms: u64, query_sent_ms: Option<u64> },
    /// The request cannot be served. Its key is looked up before the refusal is sent.
    Checking { refusal: Refusal },
    /// One or more attempts have been sent.
    InFlight {
        /// When another attempt is sent, or the agent is queried for the outcome of this one.
        next_action_ms: u64,
    },
}

#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    /// Token of the caller; `None` once the caller has been answered.
    pub token: Option<u64>,
    pub request: RequestId,
    pub team: CompactString,
    pub caller_request: Arc<QuickRequest>,
    pub digest: u64,
    pub arrived_ms: u64,
    pub deadline_ms: u64,
    pub stage: Stage,
    pub attempts: Vec<Attempt>,
    pub attempts_made: u32,
    /// Latest attempt number of the key's claim known to this request; 0 if none.
    pub claim_attempt: u32,
    pub tried_endpoints: Vec<EndpointId>,
    /// Whether an unanswered attempt may have run.
    pub may_have_run: bool,
    pub last_refusal: Option<ErrorKind>,
    /// Error answer of an endpoint, forwarded to the caller if no other attempt succeeds.
    pub error_answer: Option<Answer>,
}

impl PendingRequest {
    pub(super) fn is_idempotent(&self) -> bool {
        self.caller_request.idempotent
    }

    pub(super) fn remaining_ms(&self, now: Now) -> u64 {
        self.deadline_ms.saturating_sub(now.mono_ms)
    }

    pub(super) fn key(&self) -> CompactString {
        self.caller_request.key.clone().unwrap_or_default()
    }
}
