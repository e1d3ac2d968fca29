//! The requests of clients that a gateway has open.

use std::net::SocketAddr;

use crate::{gateway::GatewayAnswer, prelude::*, util::ReservedBytes};

/// A request that is not answered yet.
pub(super) struct Call {
    pub token: u64,
    pub request: WorkflowRequest,
    /// The memory of `request`.
    pub _reserved: ReservedBytes,
    pub received_ms: u64,
    pub wait_ms: u64,
    pub deadline_ms: u64,
    pub next_send_ms: u64,
    pub sends: u32,
    /// Sends without an answer so far; any of them may have been accepted.
    pub unanswered_sends: u32,
    /// The leader that accepted it lost leadership before the change was committed.
    pub was_interrupted: bool,
    pub sent_to: Option<SocketAddr>,
}

impl Call {
    /// Returns whether a leader may have accepted the change that the call asks for.
    pub(super) fn may_have_been_accepted(&self) -> bool {
        let is_write = match &self.request {
            WorkflowRequest::Submit(_)
            | WorkflowRequest::SubmitFrom(_)
            | WorkflowRequest::Cancel(_)
            | WorkflowRequest::Install(_) => true,
            WorkflowRequest::Evacuate(it) => it.based_on.is_some(),
            WorkflowRequest::Inspect(_)
            | WorkflowRequest::ReadConfig
            | WorkflowRequest::ReadEvacuations
            | WorkflowRequest::ReadWaiting(_)
            | WorkflowRequest::Ping => false,
        };
        is_write && (self.was_interrupted || 0 < self.unanswered_sends)
    }
}

/// Logs how a request was answered.
pub(super) fn log_answer(call: &Call, now: Now, answer: &GatewayAnswer) {
    let took_ms = now.mono_ms - call.received_ms;
    let (kind, target) = match &call.request {
        WorkflowRequest::Submit(it) => ("submit", it.target.path.as_str()),
        WorkflowRequest::SubmitFrom(it) => ("submit", it.submission.target.path.as_str()),
        WorkflowRequest::Inspect(it) => ("inspect", it.path.as_str()),
        WorkflowRequest::Cancel(it) => ("cancel", it.path.as_str()),
        WorkflowRequest::Install(_) => ("install", ""),
        WorkflowRequest::ReadConfig => ("read_config", ""),
        WorkflowRequest::ReadEvacuations => ("read_evacuations", ""),
        WorkflowRequest::ReadWaiting(_) => ("read_waiting", ""),
        WorkflowRequest::Evacuate(it) if it.evacuated => ("evacuate", it.zone.as_str()),
        WorkflowRequest::Evacuate(it) => ("take_back", it.zone.as_str()),
        WorkflowRequest::Ping => ("ping", ""),
    };
    match answer {
        GatewayAnswer::Outcome(WorkflowOutcome::Config(it)) => {
            tracing::info!(
                event = "request_answered",
                kind,
                version = it.version,
                took_ms,
                sends = call.sends
            );
        }
        GatewayAnswer::Outcome(outcome) => {
            tracing::info!(event = "request_answered", kind, target, outcome = ?outcome, took_ms, sends = call.sends);
        }
        GatewayAnswer::Rejected { cause, .. } => {
            tracing::warn!(event = "request_refused", kind, target, cause = ?cause, took_ms, sends = call.sends, leader = ?call.sent_to);
        }
        GatewayAnswer::Unknown => {
            tracing::warn!(event = "request_unknown", kind, target, took_ms, sends = call.sends, leader = ?call.sent_to);
        }
    }
}
