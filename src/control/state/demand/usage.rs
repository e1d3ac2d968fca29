//! What callers hold of the workers' capacity, and what they have held lately.
//!
//! All arithmetic is on integers, so that every member that has applied the same commands has the
//! same figures.

use std::collections::BTreeMap;

use crate::{policy::shares::Amounts, prelude::*};

/// Half-life of usage, in milliseconds, as a power of two: 16.4 s. As long as most workflows may
/// take, so that a caller that had more than its share is behind for the time of one workflow.
const HALF_LIFE_LOG2_MS: u32 = 14;

/// The average of usage has this many binary places.
const FRACTION_BITS: u32 = 16;

/// Binary places of a decay factor.
const FACTOR_BITS: u32 = 32;

/// Factors of decay over 2^0, 2^1, ..., 2^13 ms: 2^(-2^k / 2^14), with [`FACTOR_BITS`] places.
const DECAY: [u64; HALF_LIFE_LOG2_MS as usize] = [
    4_294_785_595,
    4_294_603_903,
    4_294_240_540,
    4_293_513_907,
    4_292_061_010,
    4_289_156_690,
    4_283_353_945,
    4_271_771_996,
    4_248_701_965,
    4_202_935_003,
    4_112_874_773,
    3_938_502_376,
    3_611_622_603,
    3_037_000_500,
];

/// Usage by caller. Callers are bounded by the configured queues and zones; those that hold nothing
/// and have held nothing lately are dropped.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Usage {
    callers: BTreeMap<Caller, CallerUsage>,
}

/// Usage of one caller.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
struct CallerUsage {
    /// Counted anew when a snapshot is read, so that snapshots of earlier versions have it.
    #[serde(skip)]
    held: Amounts,
    /// Average until `at_ms`, with [`FRACTION_BITS`] binary places.
    average: Amounts,
    at_ms: u64,
}

impl Usage {
    /// Returns the callers that hold capacity or have held some lately.
    pub fn callers(&self) -> impl Iterator<Item = &Caller> {
        self.callers.keys()
    }

    /// Returns what the runs of a caller hold.
    pub fn held(&self, caller: &Caller) -> Amounts {
        self.callers.get(caller).map(|it| it.held).unwrap_or_default()
    }

    /// Returns what the runs of a caller have held lately, as the average with a half-life.
    pub fn average(&self, caller: &Caller, now_ms: u64) -> Amounts {
        let average = self.callers.get(caller).map(|it| it.average_at(now_ms)).unwrap_or_default();
        average.zip(Amounts::default(), |it, _| it >> FRACTION_BITS)
    }

    pub(in crate::control::state) fn add(&mut self, caller: Caller, need: Resources, now_ms: u64) {
        let usage = self.callers.entry(caller).or_default();
        usage.advance(now_ms);
        usage.held = usage.held.plus(Amounts::of_tasks(need, 1));
    }

    pub(in crate::control::state) fn remove(
        &mut self,
        caller: Caller,
        need: Resources,
        now_ms: u64,
    ) {
        let usage = self.callers.entry(caller).or_default();
        usage.advance(now_ms);
        usage.held = usage.held.minus(Amounts::of_tasks(need, 1));
    }

    /// Counts what callers hold anew.
    pub(in crate::control::state) fn recount(
        &mut self,
        held: impl Iterator<Item = (Caller, Resources)>,
    ) {
        self.callers.values_mut().for_each(|it| it.held = Amounts::default());
        for (caller, need) in held {
            let usage = self.callers.entry(caller).or_default();
            usage.held = usage.held.plus(Amounts::of_tasks(need, 1));
        }
    }

    /// Drops the callers that hold nothing and whose average has faded.
    pub(in crate::control::state) fn drop_faded(&mut self, now_ms: u64) {
        let has_faded = |it: &CallerUsage| {
            let average =
                it.average_at(now_ms).zip(Amounts::default(), |it, _| it >> FRACTION_BITS);
            it.held == Amounts::default() && average == Amounts::default()
        };
        self.callers.retain(|_, it| !has_faded(it));
    }
}

impl CallerUsage {
    fn advance(&mut self, now_ms: u64) {
        self.average = self.average_at(now_ms);
        // The clock of a new leader may be behind; time counts from its reading on.
        self.at_ms = now_ms;
    }

    fn average_at(&self, now_ms: u64) -> Amounts {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms);
        let held = self.held.zip(Amounts::default(), |it, _| it << FRACTION_BITS);
        let distance = |from: u64, to: u64| decayed(from.abs_diff(to), elapsed_ms);
        self.average.zip(held, |average, held| match average < held {
            true => held - distance(average, held),
            false => held + distance(average, held),
        })
    }
}

/// Returns what is left of a value after a time.
fn decayed(value: u64, elapsed_ms: u64) -> u64 {
    let half_lives = u32::try_from(elapsed_ms >> HALF_LIFE_LOG2_MS).unwrap_or(u32::MAX);
    let value = value.checked_shr(half_lives).unwrap_or(0);
    let is_set = |bit: usize| (elapsed_ms >> bit) & 1 == 1;
    let factors = DECAY.iter().enumerate().filter(|(bit, _)| is_set(*bit)).map(|(_, it)| *it);
    factors.fold(value, scaled)
}

/// Returns a value times a factor of decay.
fn scaled(value: u64, factor: u64) -> u64 {
    ((u128::from(value) * u128::from(factor)) >> FACTOR_BITS) as u64
}
