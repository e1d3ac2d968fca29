//! Cancels of workflows that the leader does not know, which wait to be recorded as tombstones.
//!
//! Anyone can cancel any number of workflows that never existed. So these cancels have a queue of
//! their own, share log entries, and are recorded at a bounded rate: the tombstones of their
//! lifetime never reach the limit on the total, and other requests do not wait behind them. Gateways
//! take turns.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    ops::Bound::{Excluded, Unbounded},
};

use crate::{
    control::{core::workflows::CallReplyTo, dispatch::TombstoneLimits},
    prelude::*,
};

/// Most cancels in one log entry.
const BATCH_MAX: usize = 256;

/// Shortest time between two log entries.
const BATCH_INTERVAL_MS: u64 = 20;

/// Most cancels of one gateway that wait.
const WAITING_PER_GATEWAY_MAX: usize = 1_024;

/// Most cancels that wait.
const WAITING_MAX: usize = 16_384;

/// Time after which a client may repeat a cancel that found no room.
pub(super) const RETRY_AFTER_MS: u64 = 1_000;

/// Shortest time between two log lines about refusals.
const LOG_INTERVAL_MS: u64 = 1_000;

/// A cancel that waits to be recorded.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingCancel {
    pub to: CallReplyTo,
    pub id: WorkflowId,
    /// Time from which nobody waits for the answer.
    pub deadline_ms: u64,
}

/// The cancels that are due.
#[derive(Debug, Default)]
pub(super) struct CancelBatch {
    pub cancels: Vec<WaitingCancel>,
    /// Nobody waits for their answers any more, or there is no room for them.
    pub refused: Vec<WaitingCancel>,
}

/// The cancels that are not recorded yet.
#[derive(Debug, Default)]
pub(super) struct UnknownCancels {
    waiting: BTreeMap<SocketAddr, VecDeque<WaitingCancel>>,
    waiting_count: usize,
    last_gateway: Option<SocketAddr>,
    /// Numbers of cancels that are proposed and not applied, by index in the log.
    proposed: BTreeMap<u64, usize>,
    /// Cancels that may be recorded at `filled_ms`, in thousandths.
    allowance_permille: u64,
    filled_ms: u64,
    next_batch_ms: u64,
    refused_count: u64,
    logged_ms: Option<u64>,
}

impl UnknownCancels {
    /// Returns the number of cancels that were refused.
    pub(super) fn refused_count(&self) -> u64 {
        self.refused_count
    }

    /// Returns when the next batch is due.
    pub(super) fn next_batch_ms(&self) -> u64 {
        if self.waiting_count == 0 { u64::MAX } else { self.next_batch_ms }
    }

    /// Adds a cancel, unless it waits already; returns false if too many wait.
    pub(super) fn push(&mut self, cancel: WaitingCancel) -> bool {
        let queue = self.waiting.get(&cancel.to.address);
        if queue.is_some_and(|it| it.iter().any(|it| it.to.id == cancel.to.id)) {
            return true;
        }
        let is_full = queue.is_some_and(|it| WAITING_PER_GATEWAY_MAX <= it.len());
        if is_full || WAITING_MAX <= self.waiting_count {
            return false;
        }
        self.waiting.entry(cancel.to.address).or_default().push_back(cancel);
        self.waiting_count += 1;
        true
    }

    /// Takes the cancels to record now, if a batch is due; `stored` tombstones exist already.
    pub(super) fn take_batch(
        &mut self,
        now: Now,
        limits: TombstoneLimits,
        stored: usize,
    ) -> CancelBatch {
        let mut res = CancelBatch::default();
        if now.mono_ms < self.next_batch_ms() {
            return res;
        }
        self.fill_allowance(now, limits);
        let unavailable = stored + self.proposed.values().sum::<usize>();
        let room = limits.max.saturating_sub(unavailable);
        res.refused = self.take_late(now);
        if room == 0 {
            res.refused.extend(self.take_all());
        }
        let allowed = (self.allowance_permille / 1_000) as usize;
        let count = BATCH_MAX.min(room).min(allowed);
        res.cancels.extend(std::iter::from_fn(|| self.pop()).take(count));
        self.allowance_permille -= res.cancels.len() as u64 * 1_000;
        self.next_batch_ms = now.mono_ms + BATCH_INTERVAL_MS;
        res
    }

    /// Takes all cancels, since this member no longer leads.
    pub(super) fn take_all(&mut self) -> Vec<WaitingCancel> {
        self.waiting_count = 0;
        std::mem::take(&mut self.waiting).into_values().flatten().collect()
    }

    /// Notes that `count` cancels are proposed as the entry at `index`.
    pub(super) fn note_proposed(&mut self, index: u64, count: usize) {
        self.proposed.insert(index, count);
    }

    /// Notes that the entry at `index` is applied.
    pub(super) fn note_applied(&mut self, index: u64) {
        self.proposed.remove(&index);
    }

    /// Forgets what is proposed, since this member does not lead.
    pub(super) fn forget_proposed(&mut self) {
        self.proposed.clear();
    }

    /// Counts refused cancels, and logs at most one line a second.
    pub(super) fn note_refused(&mut self, now: Now, count: usize, stored: usize) {
        self.refused_count += count as u64;
        if self.logged_ms.is_some_and(|it| now.mono_ms < it + LOG_INTERVAL_MS) {
            return;
        }
        self.logged_ms = Some(now.mono_ms);
        tracing::warn!(
            event = "limit_reached",
            limit = "dispatch.tombstones_max",
            total = self.refused_count,
            stored,
            waiting = self.waiting_count
        );
    }

    /// Takes the cancels that nobody waits for any more; those of a gateway wait about equally long.
    fn take_late(&mut self, now: Now) -> Vec<WaitingCancel> {
        let is_late = |it: &mut WaitingCancel| it.deadline_ms <= now.mono_ms;
        let mut res = Vec::new();
        for queue in self.waiting.values_mut() {
            res.extend(std::iter::from_fn(|| queue.pop_front_if(is_late)));
        }
        self.waiting.retain(|_, queue| !queue.is_empty());
        self.waiting_count -= res.len();
        res
    }

    /// Takes the oldest cancel of the next gateway.
    fn pop(&mut self) -> Option<WaitingCancel> {
        let after = self.last_gateway.map_or(Unbounded, Excluded);
        let next = self.waiting.range((after, Unbounded)).next().map(|(gateway, _)| *gateway);
        let gateway = next.or_else(|| self.waiting.keys().next().copied())?;
        self.last_gateway = Some(gateway);
        let queue = self.waiting.get_mut(&gateway)?;
        let res = queue.pop_front();
        if queue.is_empty() {
            self.waiting.remove(&gateway);
        }
        self.waiting_count -= usize::from(res.is_some());
        res
    }

    /// Allows as many cancels as fit into twice the lifetime of a tombstone: a new leader counts the
    /// lifetime anew.
    fn fill_allowance(&mut self, now: Now, limits: TombstoneLimits) {
        let elapsed_ms = now.mono_ms.saturating_sub(self.filled_ms);
        let earned_permille =
            elapsed_ms.saturating_mul(limits.max as u64 * 1_000) / (2 * limits.lifetime_ms).max(1);
        if 0 < earned_permille {
            self.filled_ms = now.mono_ms;
            self.allowance_permille =
                (self.allowance_permille + earned_permille).min(BATCH_MAX as u64 * 1_000);
        }
    }
}
