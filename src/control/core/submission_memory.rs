//! Memory of submissions at the leader: those that wait, those that are proposed, and those that are
//! stored. What would take more than its limit is refused before it is proposed.

use std::collections::BTreeMap;

use crate::{
    control::dispatch::MemoryLimits,
    prelude::*,
    schema::memory::{spec_bytes, workflow_bytes},
    util::holder_max_bytes,
};

/// Time after which a client may send a submission again that found no memory.
pub(super) const RETRY_AFTER_MS: u64 = 2_000;

/// Shortest time between two log lines about refusals.
const LOG_INTERVAL_MS: u64 = 1_000;

/// The submissions that are proposed and not applied.
#[derive(Debug, Default)]
pub(super) struct SubmissionMemory {
    proposed: BTreeMap<u64, SubmissionSize>,
    /// Sum of `proposed`.
    total: SubmissionSize,
    refused_count: u64,
    logged_ms: Option<u64>,
}

/// The memory of a submission.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct SubmissionSize {
    pub spec_bytes: usize,
    /// With all of its tasks, once it is stored.
    workflow_bytes: usize,
}

impl SubmissionSize {
    /// Returns the size of what a command submits, if it is a submission.
    pub(super) fn of(command: &WorkflowCommand) -> Option<SubmissionSize> {
        let WorkflowCommand::SubmitFrom(it) = command else { return None };
        let spec = &it.workflow.spec;
        let (spec_bytes, workflow_bytes) = (spec_bytes(spec), workflow_bytes(spec));
        Some(SubmissionSize { spec_bytes, workflow_bytes })
    }
}

impl SubmissionMemory {
    /// Returns the number of submissions that found no memory.
    pub(super) fn refused_count(&self) -> u64 {
        self.refused_count
    }

    /// Returns whether a submission of `spec_bytes` may wait or be proposed, beside `waiting_bytes` of
    /// others that wait.
    pub(super) fn has_room_to_wait(
        &self,
        limits: MemoryLimits,
        waiting_bytes: usize,
        spec_bytes: usize,
    ) -> bool {
        let others_bytes = self.total.spec_bytes + waiting_bytes;
        let remainder_bytes = limits.calls_max_bytes.saturating_sub(others_bytes);
        spec_bytes <= holder_max_bytes(remainder_bytes)
    }

    /// Returns whether a submission may be stored, beside `stored_bytes` of others.
    pub(super) fn has_room_to_store(
        &self,
        limits: MemoryLimits,
        stored_bytes: usize,
        size: SubmissionSize,
    ) -> bool {
        let others_bytes = self.total.workflow_bytes + stored_bytes;
        let remainder_bytes = limits.workflows_max_bytes.saturating_sub(others_bytes);
        size.workflow_bytes <= holder_max_bytes(remainder_bytes)
    }

    /// Notes a submission that is proposed as the entry at `index`.
    pub(super) fn note_proposed(&mut self, index: u64, size: SubmissionSize) {
        self.total.spec_bytes += size.spec_bytes;
        self.total.workflow_bytes += size.workflow_bytes;
        self.proposed.insert(index, size);
    }

    /// Notes that the entry at `index` is applied.
    pub(super) fn note_applied(&mut self, index: u64) {
        if let Some(it) = self.proposed.remove(&index) {
            self.total.spec_bytes -= it.spec_bytes;
            self.total.workflow_bytes -= it.workflow_bytes;
        }
    }

    /// Forgets what is proposed, since this member does not lead.
    pub(super) fn forget_proposed(&mut self) {
        self.proposed.clear();
        self.total = SubmissionSize::default();
    }

    /// Counts a refused submission, and logs at most one a second.
    pub(super) fn note_refused(&mut self, now: Now, limit: &'static str, stored_bytes: usize) {
        self.refused_count += 1;
        if self.logged_ms.is_some_and(|it| now.mono_ms < it + LOG_INTERVAL_MS) {
            return;
        }
        self.logged_ms = Some(now.mono_ms);
        tracing::warn!(
            event = "limit_reached",
            limit,
            total = self.refused_count,
            stored_bytes,
            proposed_bytes = self.total.spec_bytes
        );
    }
}
