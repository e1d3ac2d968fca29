//! Divides capacity that does not suffice for all between callers.
//!
//! Between callers the rule is max-min fairness over dominant shares (Ghodsi et al., *Dominant
//! resource fairness*, NSDI 2011) by progressive filling, with a tolerance. It answers the load in
//! which one caller floods, or has much more demand than another, and takes each place that becomes
//! free because its workflows are small. No caller has a weight, and one without demand takes no
//! turn, so that nothing stays free.
//!
//! Within the tolerance, and within a caller, the order is by what ends most work in time; see
//! [`order`].

use std::{cmp::Reverse, collections::BTreeSet};

use crate::prelude::*;

/// A workflow past this multiple of its objective is of no use to its caller any more.
pub const USELESS_AFTER_OBJECTIVES: u64 = 3;

/// Time past its last use after which a workflow has starved. It is much longer than objectives, so
/// that useful work goes first through a short overload.
pub const STARVED_AFTER_MS: u64 = 60_000;

/// Of the work that a caller begins, one part in this many is that of starved workflows.
pub const STARVED_TURN: u64 = 8;

/// Begun work, in core-milliseconds, beyond which the counts of turns are halved. It is much larger
/// than one step, so that no single step halves them twice.
const TURNS_MEMORY_CORE_MS: u64 = 4_000_000;

/// A caller may be next if its share exceeds the least by at most the mean share divided by this.
/// With a smaller tolerance,
/// small differences between callers of the same demand would decide the order in place of the
/// work, and fewer workflows would end in time.
const TOLERANCE_DIVISOR: u64 = 2;

/// Parts per unit in which shares are counted.
const SHARE_UNIT: u128 = 1_000_000_000;

/// Amounts of each resource, summed over tasks. Best-effort tasks count with the processor that
/// they need, though they reserve none: it is what they compete for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Amounts {
    pub cpu_millicores: u64,
    pub memory_mib: u64,
    pub accelerators: u64,
}

impl Amounts {
    /// Returns what a number of tasks need.
    pub fn of_tasks(need: Resources, count: u64) -> Amounts {
        Amounts {
            cpu_millicores: u64::from(need.cpu_millicores) * count,
            memory_mib: u64::from(need.memory_mib) * count,
            accelerators: u64::from(need.accelerators) * count,
        }
    }

    /// Returns the amounts that result from a function of each pair.
    pub fn zip(self, other: Amounts, function: impl Fn(u64, u64) -> u64) -> Amounts {
        Amounts {
            cpu_millicores: function(self.cpu_millicores, other.cpu_millicores),
            memory_mib: function(self.memory_mib, other.memory_mib),
            accelerators: function(self.accelerators, other.accelerators),
        }
    }

    /// Returns the sum.
    pub fn plus(self, other: Amounts) -> Amounts {
        self.zip(other, u64::saturating_add)
    }

    /// Returns the difference, or 0 where there is less.
    pub fn minus(self, other: Amounts) -> Amounts {
        self.zip(other, u64::saturating_sub)
    }

    /// Returns the largest of the shares of `totals`, in billionths.
    pub fn dominant_share(self, totals: Amounts) -> u64 {
        let share = |amount: u64, total: u64| match total {
            0 => 0,
            _ => u64::try_from(u128::from(amount) * SHARE_UNIT / u128::from(total))
                .unwrap_or(u64::MAX),
        };
        share(self.cpu_millicores, totals.cpu_millicores)
            .max(share(self.memory_mib, totals.memory_mib))
            .max(share(self.accelerators, totals.accelerators))
    }
}

/// How a workflow stands against its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It can meet its objective.
    InTime,
    /// It can no longer meet its objective, but is of some use to its caller.
    Late,
    /// It is of no use to its caller any more.
    Useless,
    /// It has been of no use for so long that it gets turns: one part in [`STARVED_TURN`] of what
    /// its caller begins, the longest wait first. So it ends also if useful work never ceases.
    Starved,
}

/// The time that a workflow has waited, and what its caller asked for.
#[derive(Clone, Copy, Debug)]
pub struct Wait {
    /// Time since the workflow was accepted or became due.
    pub age_ms: u64,
    /// Time from then on within which it is worth its full value.
    pub objective_ms: u64,
    /// Run time of the critical path that remains.
    pub remaining_ms: u64,
}

impl Wait {
    /// Returns how the workflow stands.
    pub fn standing(self) -> Standing {
        let useful_ms = self.objective_ms.saturating_mul(USELESS_AFTER_OBJECTIVES);
        match self.age_ms {
            it if useful_ms.saturating_add(STARVED_AFTER_MS) < it => Standing::Starved,
            it if useful_ms < it => Standing::Useless,
            it if self.objective_ms < it.saturating_add(self.remaining_ms) => Standing::Late,
            _ => Standing::InTime,
        }
    }
}

/// A step with tasks that may begin.
#[derive(Clone, Copy, Debug)]
pub struct ShareCandidate {
    /// 0 is the highest.
    pub priority: u32,
    /// Position in the list of callers.
    pub caller: usize,
    pub wait: Wait,
    /// Remaining processor time of the whole workflow, by declared run times.
    pub work_core_ms: u64,
    /// Processor time of the whole workflow, done work included.
    pub size_core_ms: u64,
    /// What its tasks that are not done would hold, those at work included.
    pub demand: Amounts,
}

impl ShareCandidate {
    /// Returns the part of the workflow's work that is left.
    fn permille_left(&self) -> u64 {
        self.work_core_ms.saturating_mul(1_000) / self.size_core_ms.max(1)
    }
}

/// What a caller has of the capacity.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerShare {
    /// What its tasks hold now.
    pub held: Amounts,
    /// What they have held on average lately.
    pub lately: Amounts,
    pub turns: Turns,
}

impl CallerShare {
    /// Returns the share that decides who is next: what is held now and what was held lately count
    /// the same. The first alone would favour callers of short tasks, the second would let one
    /// that returns take everything until its average has risen.
    pub fn share(&self, totals: Amounts) -> u64 {
        self.held.plus(self.lately).dominant_share(totals) / 2
    }
}

/// Work that a caller began lately while capacity was scarce.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Turns {
    starved_core_ms: u64,
    all_core_ms: u64,
}

impl Turns {
    /// Records tasks that begin.
    pub fn note(&mut self, standing: Standing, work_core_ms: u64) {
        self.all_core_ms = self.all_core_ms.saturating_add(work_core_ms);
        if standing == Standing::Starved {
            self.starved_core_ms = self.starved_core_ms.saturating_add(work_core_ms);
        }
        if TURNS_MEMORY_CORE_MS < self.all_core_ms {
            self.all_core_ms /= 2;
            self.starved_core_ms /= 2;
        }
    }

    fn is_turn_of_starved(self) -> bool {
        self.starved_core_ms.saturating_mul(STARVED_TURN) <= self.all_core_ms
    }
}

/// Returns the positions of the candidates in the order in which they begin.
///
/// Priorities come first. Within one, work of use to its caller comes before other work. Among each
/// of them, only callers whose share is at most the tolerance above the least may be next; of
/// these, the one whose first step has the least rank is. Its share grows by what it may begin.
pub fn order(
    candidates: &[ShareCandidate],
    callers: &[CallerShare],
    totals: Amounts,
) -> Vec<usize> {
    let mut ranked: Vec<_> = candidates
        .iter()
        .enumerate()
        .map(|(index, it)| Ranked::new(index, it, callers[it.caller].turns))
        .collect();
    ranked.sort_unstable_by_key(|it| (it.group, it.caller, it.rank, it.index));
    let mut shares: Vec<_> = callers.iter().map(|it| it.share(totals)).collect();
    let mut res = Vec::with_capacity(candidates.len());
    for group in ranked.chunk_by(|a, b| a.group == b.group) {
        let mut filling = Filling::new(group, &mut shares);
        while let Some(index) = filling.next(candidates, totals) {
            res.push(index);
        }
    }
    res
}

/// The order among callers that may be next, and within a caller: a class, then what is first in
/// it.
///
/// Of the workflows in time, the one with the least part of its work left is next: what has begun is
/// finished before other work begins, so that a large workflow that got capacity is not held up
/// halfway by smaller ones. Among those that have not begun, the smallest is next.
type Rank = (u32, Reverse<u64>, u64, u64);

/// A candidate with its place among the others.
#[derive(Clone, Copy, Debug)]
struct Ranked {
    /// The priority, and whether the work is of no use.
    group: (u32, bool),
    caller: usize,
    rank: Rank,
    index: usize,
}

impl Ranked {
    fn new(index: usize, it: &ShareCandidate, turns: Turns) -> Ranked {
        let standing = it.wait.standing();
        let is_turn = standing == Standing::Starved && turns.is_turn_of_starved();
        let is_useless = matches!(standing, Standing::Useless | Standing::Starved) && !is_turn;
        let rank = match standing {
            Standing::Starved if is_turn => (0, Reverse(it.wait.age_ms), 0, it.work_core_ms),
            Standing::InTime => (1, Reverse(0), it.permille_left(), it.work_core_ms),
            _ => (2, Reverse(0), 0, it.work_core_ms),
        };
        Ranked { group: (it.priority, is_useless), caller: it.caller, rank, index }
    }
}

/// The candidates of one group by caller, and the callers that may be next.
struct Filling<'a> {
    queues: Vec<&'a [Ranked]>,
    shares: &'a mut [u64],
    /// How far a caller's share may be above the least.
    tolerance: u64,
    /// Shares of the callers with candidates left, each with the position of its queue.
    by_share: BTreeSet<(u64, usize)>,
    /// The part of `by_share` that may be too far above the least.
    ahead: BTreeSet<(u64, usize)>,
    /// The other part, by the rank of the first candidate.
    eligible: BTreeSet<(Rank, usize)>,
}

impl<'a> Filling<'a> {
    /// Starts with the candidates of a group, sorted by caller and rank.
    fn new(group: &'a [Ranked], shares: &'a mut [u64]) -> Filling<'a> {
        let queues: Vec<_> = group.chunk_by(|a, b| a.caller == b.caller).collect();
        let by_share: BTreeSet<_> =
            queues.iter().enumerate().map(|(queue, it)| (shares[it[0].caller], queue)).collect();
        let sum = by_share.iter().fold(0_u64, |sum, (it, _)| sum.saturating_add(*it));
        let tolerance = sum / (TOLERANCE_DIVISOR * queues.len() as u64);
        let (ahead, eligible) = (by_share.clone(), BTreeSet::new());
        Filling { queues, shares, tolerance, by_share, ahead, eligible }
    }

    /// Removes the next candidate and returns its position.
    fn next(&mut self, candidates: &[ShareCandidate], totals: Amounts) -> Option<usize> {
        let (least, _) = *self.by_share.first()?;
        let share_max = least.saturating_add(self.tolerance);
        while let Some((share, queue)) = self.ahead.first().copied()
            && share <= share_max
        {
            self.ahead.pop_first();
            self.eligible.insert((self.queues[queue][0].rank, queue));
        }
        // The least share only grows, so a caller stays eligible until its next turn.
        let (_, queue) = self.eligible.pop_first()?;
        let (first, rest) = self.queues[queue].split_first()?;
        let share = &mut self.shares[first.caller];
        self.by_share.remove(&(*share, queue));
        *share = share.saturating_add(candidates[first.index].demand.dominant_share(totals));
        self.queues[queue] = rest;
        if !rest.is_empty() {
            self.by_share.insert((*share, queue));
            self.ahead.insert((*share, queue));
        }
        Some(first.index)
    }
}
