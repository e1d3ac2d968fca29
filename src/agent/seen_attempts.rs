//! The attempts that an agent has seen, so that a non-idempotent one never runs twice.

use std::collections::{BTreeSet, HashMap};

use crate::prelude::*;

/// How long ends of idempotent attempts are kept.
const BRIEF_MS: u64 = 5_000;

/// One attempt of one request.
pub(super) type AttemptId = (RequestId, u32);

/// What became of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum AttemptOutcome {
    /// Waiting for a slot, or running.
    Running,
    Ended(ExecuteOutcome),
}

/// The window of attempts seen, bounded in number and in time.
#[derive(Clone, Debug)]
pub(super) struct SeenAttempts {
    outcomes: HashMap<AttemptId, AttemptOutcome>,
    /// Attempts that ended, by when they are forgotten.
    ended: BTreeSet<(u64, AttemptId)>,
    len_max: usize,
    keep_ms: u64,
}

impl SeenAttempts {
    pub(super) fn new(len_max: usize, keep_ms: u64) -> SeenAttempts {
        SeenAttempts { outcomes: HashMap::new(), ended: BTreeSet::new(), len_max, keep_ms }
    }

    pub(super) fn get(&self, id: AttemptId) -> Option<&AttemptOutcome> {
        self.outcomes.get(&id)
    }

    /// Returns whether another attempt fits; forgetting one early could let it run again.
    pub(super) fn has_capacity(&self) -> bool {
        self.outcomes.len() < self.len_max
    }

    pub(super) fn begin(&mut self, id: AttemptId) {
        self.outcomes.insert(id, AttemptOutcome::Running);
    }

    /// Keeps how an attempt ended.
    pub(super) fn end(&mut self, id: AttemptId, outcome: ExecuteOutcome, now: Now) {
        self.keep(id, outcome, now.mono_ms + self.keep_ms);
    }

    /// Keeps for a short while how an idempotent attempt ended, in case its message is delivered
    /// twice. There are many of these.
    pub(super) fn end_briefly(&mut self, id: AttemptId, outcome: ExecuteOutcome, now: Now) {
        self.keep(id, outcome, now.mono_ms + BRIEF_MS.min(self.keep_ms));
    }

    fn keep(&mut self, id: AttemptId, outcome: ExecuteOutcome, until_ms: u64) {
        self.outcomes.insert(id, AttemptOutcome::Ended(outcome));
        self.ended.insert((until_ms, id));
    }

    /// Forgets what has been kept long enough.
    pub(super) fn expire(&mut self, now: Now) {
        while let Some(&(until_ms, id)) = self.ended.first()
            && until_ms <= now.mono_ms
        {
            self.ended.pop_first();
            self.outcomes.remove(&id);
        }
    }
}
