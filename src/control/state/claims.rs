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

    /// Claims a key, or answers with the claim that stands.
    ///
    /// The caller of this sees from the attempt and the request in the answer whether it holds
    /// the claim.
    pub(super) fn claim(&mut self, it: &ClaimCommand, time_ms: u64) -> ReplyResult {
        let key = (it.team.clone(), it.key.clone());
        let last_attempt = match self.claims.get(&key) {
            Some(claim) if claim.digest != it.digest => {
                return Err(refusal(
                    ErrorKind::KeyReused,
                    format_compact!("key {} names another request", it.key),
                ));
            }
            Some(claim) if claim.state != ClaimState::NotRun => {
                return Ok(Reply::Claim(claim.clone()));
            }
            Some(claim) => claim.attempt,
            None => 0,
        };
        if it.attempt != last_attempt + 1 {
            // Of two that saw the same free claim one has won meanwhile, and lost it again.
            return Err(refusal_with_retry_after(
                ErrorKind::ClaimInProgress,
                "the claim moved on",
                100,
            ));
        }
        let claim = Claim {
            digest: it.digest,
            attempt: it.attempt,
            request: it.request,
            entry: it.entry,
            endpoint: it.endpoint,
            agent: it.agent,
            state: ClaimState::Claimed,
            changed_ms: time_ms,
        };
        self.claims.insert(key, claim.clone());
        Ok(Reply::Claim(claim))
    }

    /// Records how a claimed attempt ended; the first word stands.
    pub(super) fn settle(&mut self, it: &SettleCommand, time_ms: u64) -> ReplyResult {
        let Some(claim) = self.claims.get_mut(&(it.team.clone(), it.key.clone())) else {
            return Err(refusal(
                ErrorKind::NotFound,
                format_compact!("key {} is not claimed", it.key),
            ));
        };
        if claim.attempt == it.attempt {
            let next = match (&claim.state, &it.outcome) {
                (ClaimState::Claimed, ClaimOutcome::NotRun) => Some(ClaimState::NotRun),
                (ClaimState::Claimed, ClaimOutcome::Unknown) => Some(ClaimState::Unknown),
                // An answer that arrives after all is better than not knowing.
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

    /// Settles the open claims of a session that ended: its agent can no longer be asked.
    ///
    /// This costs a scan, which is rare (a VM's end) and bounded by the table of claims.
    pub(super) fn end_session(&mut self, session: SessionId, time_ms: u64) {
        let open = self.claims.values_mut().filter(|it| it.state == ClaimState::Claimed);
        for it in open.filter(|it| it.endpoint.session == session) {
            it.state = ClaimState::Unknown;
            it.changed_ms = time_ms;
        }
    }

    /// Forgets claims settled before `before_ms`. An open claim is kept however old it is: its
    /// request may yet run.
    pub(super) fn expire(&mut self, before_ms: u64) {
        self.claims.retain(|_, it| it.state == ClaimState::Claimed || before_ms <= it.changed_ms);
    }
}
