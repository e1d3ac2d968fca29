//! Quick requests on their way.

use std::sync::Arc;

use crate::{
    entry::{endpoints::EndpointKey, request::QuickRequest},
    prelude::*,
};

slotmap::new_key_type! {
    /// A small copyable key of a quick request in this entry.
    pub(super) struct PendingRequestKey;
}

/// One attempt sent and not answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub number: u32,
    pub endpoint: EndpointKey,
    pub endpoint_id: EndpointId,
    pub sent_ms: u64,
}

/// Where a quick request stands.
#[derive(Clone, Debug)]
pub(super) enum Stage {
    /// It waits for a free endpoint.
    Waiting,
    /// Its key is being claimed for this endpoint; nothing is sent before.
    Claiming { endpoint: EndpointKey },
    /// Another request holds the claim of its key; its outcome is looked up from time to time.
    Following { next_lookup_ms: u64, query_sent_ms: Option<u64> },
    /// It cannot be served; its key is looked up before that is said.
    Checking { refusal: Refusal },
    /// One or more attempts are under way.
    InFlight {
        /// When another attempt is made, or the agent is asked what became of this one.
        next_action_ms: u64,
    },
}

/// One quick request.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
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
    /// Attempt of the claim that this request holds.
    pub claim_attempt: u32,
    pub tried_endpoints: Vec<EndpointId>,
    /// Whether an attempt may have run without an answer.
    pub may_have_run: bool,
    pub last_refusal: Option<ErrorKind>,
    /// An error that an endpoint answered with, passed on if no other attempt does better.
    pub error_answer: Option<Answer>,
}

impl PendingRequest {
    pub(super) fn is_idempotent(&self) -> bool {
        self.caller_request.idempotent
    }

    pub(super) fn left_ms(&self, now: Now) -> u64 {
        self.deadline_ms.saturating_sub(now.mono_ms)
    }

    pub(super) fn key(&self) -> CompactString {
        self.caller_request.key.clone().unwrap_or_default()
    }
}
