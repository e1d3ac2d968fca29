//! Which batch work gives way to an urgent start.

use crate::{
    control::state::{add, fits},
    prelude::*,
};

/// A running batch task that may be evicted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Victim {
    pub task: TaskId,
    pub resources: Resources,
    /// Run time that an eviction throws away.
    pub lost_run_ms: u64,
    /// Whether its team is above its quota, so that it only borrows the room.
    pub exceeds_quota: bool,
}

/// Chooses victims on one VM so that `need` fits into `free` and what they hold.
///
/// Borrowed room goes first, then the least lost work per freed processor. Returns the victims
/// and the work lost, or nothing where even all of them free too little.
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
    let price = |it: &Victim| {
        it.lost_run_ms.saturating_mul(1_000) / u64::from(it.resources.cpu_millicores.max(1))
    };
    order.sort_by_key(|it| (!it.exceeds_quota, price(it), it.task));
    let mut room = free;
    let mut chosen = Vec::new();
    for it in &order {
        if fits(need, room) {
            break;
        }
        room = add(room, it.resources);
        chosen.push(*it);
    }
    if !fits(need, room) {
        return None;
    }
    // What a later, larger victim made needless stays.
    for at in (0..chosen.len()).rev() {
        let others = chosen.iter().enumerate().filter(|(other, _)| *other != at);
        if fits(need, others.fold(free, |sum, (_, it)| add(sum, it.resources))) {
            chosen.remove(at);
        }
    }
    let lost_ms = chosen.iter().map(|it| it.lost_run_ms).sum();
    Some((chosen.into_iter().map(|it| it.task).collect(), lost_ms))
}

/// What an eviction is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionPurpose {
    UrgentStart,
    /// A service beside it is above its target.
    LatencyRelief,
}

/// Evictions that a class still accepts, as a bucket that fills over an hour.
#[derive(Clone, Copy, Debug)]
pub struct EvictionBudget {
    tokens: f64,
    filled_ms: u64,
}

impl EvictionBudget {
    /// Makes a budget that is a quarter full, so that a change of leader grants no new hour.
    pub fn new(per_hour: u32, now_ms: u64) -> EvictionBudget {
        EvictionBudget { tokens: (f64::from(per_hour) / 4.0).ceil(), filled_ms: now_ms }
    }

    /// Returns whether `count` evictions are left, none of which is taken yet.
    ///
    /// Work that can wait leaves an eighth of the hour to urgent starts.
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
        let kept = match purpose {
            EvictionPurpose::UrgentStart => 0.0,
            EvictionPurpose::LatencyRelief => per_hour / 8.0,
        };
        f64::from(count) + kept <= self.tokens
    }

    /// Takes evictions that [`EvictionBudget::allows`] has granted.
    pub fn spend(&mut self, count: u32) {
        self.tokens -= f64::from(count);
    }
}
