//! The attempts that an agent has seen, so that a non-idempotent one never runs twice.

use std::collections::{BTreeSet, HashMap};

use crate::prelude::*;

/// Maximum retention of idempotent attempts; short as there are many of them.
const IDEMPOTENT_RETENTION_MS: u64 = 5_000;

/// Identifies one attempt of one request.
pub(super) type AttemptId = (RequestId, u32);

#[derive(Clone, Debug, PartialEq)]
pub(super) enum AttemptOutcome {
    /// Waiting for a slot, or running.
    Running,
    Ended(ExecuteOutcome),
}

/// The recently seen attempts, bounded in number and in time.
#[derive(Clone, Debug)]
pub(super) struct SeenAttempts {
    outcomes: HashMap<AttemptId, AttemptOutcome>,
    /// Ended attempts, ordered by when they expire.
    expiries: BTreeSet<(u64, AttemptId)>,
    attempts_max: usize,
    retention_ms: u64,
}

impl SeenAttempts {
    pub(super) fn new(attempts_max: usize, retention_ms: u64) -> SeenAttempts {
        SeenAttempts {
            outcomes: HashMap::new(),
            expiries: BTreeSet::new(),
            attempts_max,
            retention_ms,
        }
    }

    pub(super) fn get(&self, id: AttemptId) -> Option<&AttemptOutcome> {
        self.outcomes.get(&id)
    }

    /// Returns whether another attempt fits. None is evicted early, as a copy of its message could
    /// then run it again.
    pub(super) fn has_capacity(&self) -> bool {
        self.outcomes.len() < self.attempts_max
    }

    pub(super) fn begin(&mut self, id: AttemptId) {
        self.outcomes.insert(id, AttemptOutcome::Running);
    }

    pub(super) fn end(&mut self, id: AttemptId, outcome: ExecuteOutcome, now: Now) {
        self.keep(id, outcome, now.mono_ms + self.retention_ms);
    }

    /// Records an idempotent attempt for a short time, in case its message is delivered twice.
    pub(super) fn end_idempotent(&mut self, id: AttemptId, outcome: ExecuteOutcome, now: Now) {
        self.keep(id, outcome, now.mono_ms + IDEMPOTENT_RETENTION_MS.min(self.retention_ms));
    }

    fn keep(&mut self, id: AttemptId, outcome: ExecuteOutcome, expires_ms: u64) {
        self.outcomes.insert(id, AttemptOutcome::Ended(outcome));
        self.expiries.insert((expires_ms, id));
    }

    /// Removes attempts whose retention has ended.
    pub(super) fn expire(&mut self, now: Now) {
        while let Some(&(expires_ms, id)) = self.expiries.first()
            && expires_ms <= now.mono_ms
        {
            self.expiries.pop_first();
            self.outcomes.remove(&id);
        }
    }
}
