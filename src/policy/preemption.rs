//! Selection of batch tasks to evict for an urgent start, and budgets for evictions.

use crate::{
    control::state::{add, fits},
    prelude::*,
};

/// A running batch task that may be evicted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Victim {
    pub task: TaskId,
    pub resources: Resources,
    /// Run time whose work is lost by an eviction.
    pub lost_run_ms: u64,
    /// Whether its team is above its quota, so that its tasks use capacity beyond the quota.
    pub exceeds_quota: bool,
}

/// Chooses victims on one VM so that `need` fits into `free` plus the resources of the victims.
///
/// Victims whose team is above its quota come first, then those with the least lost work per freed
/// processor. Returns the victims and the lost run time in milliseconds, or `None` if evicting all
/// of them would not free enough.
///
/// ```
/// use aspenrail::{
///     policy::preemption::{Victim, choose_victims},
///     prelude::*,
/// };
///
/// let cpu = |cpu_millicores| Resources { cpu_millicores, memory_mib: 0, accelerators: 0 };
/// let victim = |task, resources, lost_run_ms| Victim { task: TaskId(task), resources: cpu(resources), lost_run_ms, exceeds_quota: false };
/// let victims = [victim(1, 2_000, 9_000), victim(2, 2_000, 100)];
/// assert_eq!(choose_victims(cpu(2_000), cpu(0), &victims), Some((vec![TaskId(2)], 100)));
/// assert_eq!(choose_victims(cpu(9_000), cpu(0), &victims), None);
/// ```
pub fn choose_victims(
    need: Resources,
    free: Resources,
    victims: &[Victim],
) -> Option<(Vec<TaskId>, u64)> {
    let mut order: Vec<_> = victims.to_vec();
    let lost_per_core_ms = |it: &Victim| {
        it.lost_run_ms.saturating_mul(1_000) / u64::from(it.resources.cpu_millicores.max(1))
    };
    order.sort_by_key(|it| (!it.exceeds_quota, lost_per_core_ms(it), it.task));
    let mut available = free;
    let mut chosen = Vec::new();
    for it in &order {
        if fits(need, available) {
            break;
        }
        available = add(available, it.resources);
        chosen.push(*it);
    }
    if !fits(need, available) {
        return None;
    }
    // Spares victims that a later, larger victim made unnecessary.
    for at in (0..chosen.len()).rev() {
        let others = chosen.iter().enumerate().filter(|(other, _)| *other != at);
        if fits(need, others.fold(free, |sum, (_, it)| add(sum, it.resources))) {
            chosen.remove(at);
        }
    }
    let lost_ms = chosen.iter().map(|it| it.lost_run_ms).sum();
    Some((chosen.into_iter().map(|it| it.task).collect(), lost_ms))
}

/// The reason for an eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionPurpose {
    UrgentStart,
    /// A service on the same VM is above its latency target.
    LatencyRelief,
}

/// The remaining evictions of a class, as a token bucket that fills within an hour.
#[derive(Clone, Copy, Debug)]
pub struct EvictionBudget {
    tokens: f64,
    filled_ms: u64,
}

impl EvictionBudget {
    /// Creates a budget that is a quarter full, so that a change of leader does not grant the
    /// evictions of a whole hour.
    pub fn new(per_hour: u32, now_ms: u64) -> EvictionBudget {
        EvictionBudget { tokens: (f64::from(per_hour) / 4.0).ceil(), filled_ms: now_ms }
    }

    /// Refills the budget, and returns whether `count` evictions are left, without taking them.
    ///
    /// Evictions for latency relief leave an eighth of the hourly budget to urgent starts.
    pub fn allows(
        &mut self,
        per_hour: u32,
        now_ms: u64,
        purpose: EvictionPurpose,
        count: u32,
    ) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.filled_ms) as f64;
        self.filled_ms = now_ms;
        let per_hour = f64::from(per_hour);
        self.tokens = (self.tokens + per_hour * elapsed_ms / 3_600_000.0).min(per_hour);
        let reserve = match purpose {
            EvictionPurpose::UrgentStart => 0.0,
            EvictionPurpose::LatencyRelief => per_hour / 8.0,
        };
        f64::from(count) + reserve <= self.tokens
    }

    /// Takes evictions that [`EvictionBudget::allows`] has allowed.
    pub fn spend(&mut self, count: u32) {
        self.tokens -= f64::from(count);
    }
}
