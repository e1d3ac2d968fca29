//! Claims of idempotency keys, by which a non-idempotent request runs at most once.

use std::collections::BTreeMap;

use crate::{control::state::ReplyResult, prelude::*};

/// All claims kept.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct Claims {
    claims: BTreeMap<(CompactString, CompactString), Claim>,
}

impl Claims {
    pub fn get(&self, team: &str, key: &str) -> Option<&Claim> {
        self.claims.get(&(team.into(), key.into()))
    }

    pub fn len(&self) -> usize {
        self.claims.len()
    }

    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Claims a key, or returns the existing claim.
    ///
    /// The caller holds the claim if the attempt and the request in the reply are its own.
    pub(super) fn claim(&mut self, command: &ClaimCommand, time_ms: u64) -> ReplyResult {
        let key = (command.team.clone(), command.key.clone());
        let last_attempt = match self.claims.get(&key) {
            Some(claim) if claim.digest != command.digest => {
                return Err(refusal(
                    ErrorKind::KeyReused,
                    format_compact!("key {} names another request", command.key),
                ));
            }
            Some(claim) if claim.state != ClaimState::NotRun => {
                return Ok(Reply::Claim(claim.clone()));
            }
            Some(claim) => claim.attempt,
            None => 0,
        };
        if command.attempt != last_attempt + 1 {
            // Another request that saw the same free claim has won it meanwhile and released it.
            return Err(refusal_with_retry_after(
                ErrorKind::ClaimInProgress,
                "the claim moved on",
                100,
            ));
        }
        let claim = Claim {
            digest: command.digest,
            attempt: command.attempt,
            request: command.request,
            entry: command.entry,
            endpoint: command.endpoint,
            agent: command.agent,
            state: ClaimState::Claimed,
            changed_ms: time_ms,
        };
        self.claims.insert(key, claim.clone());
        Ok(Reply::Claim(claim))
    }

    /// Records how a claimed attempt ended. The first outcome is kept, unless an answer follows
    /// `Unknown`.
    pub(super) fn settle(&mut self, command: &SettleCommand, time_ms: u64) -> ReplyResult {
        let Some(claim) = self.claims.get_mut(&(command.team.clone(), command.key.clone())) else {
            return Err(refusal(
                ErrorKind::NotFound,
                format_compact!("key {} is not claimed", command.key),
            ));
        };
        if claim.attempt == command.attempt {
            let next = match (&claim.state, &command.outcome) {
                (ClaimState::Claimed, ClaimOutcome::NotRun) => Some(ClaimState::NotRun),
                (ClaimState::Claimed, ClaimOutcome::Unknown) => Some(ClaimState::Unknown),
                // A late answer is better than an unknown outcome.
                (ClaimState::Claimed | ClaimState::Unknown, ClaimOutcome::Done(answer)) => {
                    Some(ClaimState::Done(answer.clone()))
                }
                _ => None,
            };
            if let Some(state) = next {
                claim.state = state;
                claim.changed_ms = time_ms;
            }
        }
        Ok(Reply::Claim(claim.clone()))
    }

    /// Settles the open claims of an ended session as unknown: its agent can no longer be queried.
    ///
    /// This scans all claims, which is rare (when a VM is gone) and bounded by the table's limit.
    pub(super) fn end_session(&mut self, session: SessionId, time_ms: u64) {
        let open = self.claims.values_mut().filter(|it| it.state == ClaimState::Claimed);
        for claim in open.filter(|it| it.endpoint.session == session) {
            claim.state = ClaimState::Unknown;
            claim.changed_ms = time_ms;
        }
    }

    /// Forgets claims settled before `before_ms`. An open claim is kept at any age, since its
    /// request may still run.
    pub(super) fn expire(&mut self, before_ms: u64) {
        self.claims.retain(|_, it| it.state == ClaimState::Claimed || before_ms <= it.changed_ms);
    }
}
