//! How fast fillers may work beside tasks that serve.
//!
//! Each serving task has a headroom (`policy/harm/`), of which each filler takes a share in
//! proportion to its pace. The pacer adds what fillers took to the reading, follows how that
//! falls, and lets the fillers work that cost least, down to a margin above the bound. A task
//! that stays over its bound all the same halts the fillers that are known to take from it, and
//! then every one: costs are not known yet.

use std::collections::HashMap;

use crate::prelude::*;

/// Headroom that a serving task is left with: a tail of 91 % of its bound. The rest is for loads
/// that rise faster than readings show.
const AIM_PERCENT: f64 = 110.0;

/// Headroom below which a task is over its bound.
const BOUND_PERCENT: f64 = 100.0;

/// Age of a reading when a pace that follows from it works: half a second of measuring, of which
/// half counts, a call, and the tenth of a second that a worker takes for it.
const AHEAD_MS: f64 = 500.0;

/// Fall of the headroom that is followed, in percent a second. A service that goes from idle to
/// full within four seconds falls by less.
const FALL_MAX_PERCENT: f64 = 120.0;

/// Weight of the newest change of a headroom.
const FALL_GAIN: f64 = 0.4;

/// Largest step up of a filler that costs anything, in percent of its speed.
const RAISE_PERCENT: u32 = 40;

/// Paces are rounded down to multiples of this, so that noise changes none.
const GRAIN_PERCENT: u32 = 10;

/// Time before a reading of a tail whose load the tail tells of: the half second over which it is
/// read, and some of what queued before. Over 20,000 readings of 69 VMs, what fillers used in the
/// 700 ms before explains 29 % of the differences between siblings; what they use at the time, and
/// without those that have just ended, 17 %.
const TAIL_MS: u64 = 700;

/// Share of what a filler would use down to which a reading says nothing: readings of one that
/// goes at full speed lie between two thirds and one and a tenth of it.
const ROUGH_SHARE: f64 = 0.6;

/// What a filler at full speed may take from a task without ever being slowed for it: less than
/// a single reading shows.
pub const NEGLIGIBLE_COST_PERCENT: f64 = 10.0;

/// Part of the time for which harm may last after which those fillers stand still that take from
/// the task. What a halt leads to shows half a second later.
const OVER_PART: u64 = 4;

/// The same after which all fillers stand still, since costs are told wrong.
const OVER_LONG_PART: u64 = 2;

/// Time for which they then stand still: two readings that do not overlap.
const HALT_MS: u64 = 1_000;

/// A serving task, as just read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServingReading {
    pub run: RunRef,
    pub headroom_percent: f64,
}

/// A filler, as just read.
#[derive(Clone, Debug, PartialEq)]
pub struct FillerReading {
    pub run: RunRef,
    /// Processor that it uses at full speed, and did use.
    pub full_speed_cores: f64,
    pub used_cores: f64,
    /// What a core of it takes from each of the serving tasks, in their order.
    pub core_costs_percent: Vec<f64>,
}

/// What a filler uses, over the time that a tail is read in.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CpuUsageWindow {
    pub cores: f64,
    pieces: Vec<Piece>,
    at_ms: u64,
}

/// A time for which a filler used some processor.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Piece {
    from_ms: u64,
    to_ms: u64,
    cores: f64,
}

impl CpuUsageWindow {
    /// Makes the usage of a filler that begins now; the default is one that began long ago.
    pub fn starting_at(now_ms: u64) -> CpuUsageWindow {
        CpuUsageWindow { at_ms: now_ms, ..CpuUsageWindow::default() }
    }

    /// Takes in a rough reading, beside what the filler would use at the pace that it was told.
    pub fn observe(&mut self, read_cores: f64, wanted_cores: f64, now_ms: u64) {
        let is_short_of_processor = read_cores < wanted_cores * ROUGH_SHARE;
        let cores = if is_short_of_processor { read_cores } else { wanted_cores };
        self.pieces.push(Piece { from_ms: self.at_ms, to_ms: now_ms, cores });
        self.at_ms = now_ms;
        self.expire(now_ms);
    }

    /// Lets time pass after the filler has ended.
    pub fn expire(&mut self, now_ms: u64) {
        let since_ms = now_ms.saturating_sub(TAIL_MS);
        self.pieces.retain(|it| since_ms < it.to_ms);
        let used = |it: &Piece| it.to_ms.saturating_sub(it.from_ms.max(since_ms)) as f64 * it.cores;
        self.cores = self.pieces.iter().map(used).sum::<f64>() / TAIL_MS as f64;
    }

    /// Returns whether tails may still tell of it.
    pub fn affects_tails(&self) -> bool {
        !self.pieces.is_empty()
    }
}

impl FillerReading {
    /// Returns what it takes from a serving task at full speed.
    fn used_percent(&self, at: usize) -> f64 {
        self.core_costs_percent[at] * self.full_speed_cores
    }
}

#[derive(Clone, Copy, Debug)]
struct Track {
    idle_headroom_percent: f64,
    fall_percent_per_s: f64,
    at_ms: u64,
    over_since_ms: Option<u64>,
}

impl Track {
    fn new(idle_headroom_percent: f64, now_ms: u64) -> Track {
        Track { idle_headroom_percent, fall_percent_per_s: 0.0, at_ms: now_ms, over_since_ms: None }
    }

    /// Takes in a headroom, and what fillers took of it.
    fn observe(&mut self, headroom_percent: f64, used_percent: f64, now_ms: u64) {
        let idle_headroom_percent = headroom_percent + used_percent;
        if self.at_ms < now_ms {
            let passed_s = (now_ms - self.at_ms) as f64 / 1_000.0;
            let fall = (self.idle_headroom_percent - idle_headroom_percent) / passed_s;
            self.fall_percent_per_s += (fall - self.fall_percent_per_s) * FALL_GAIN;
            self.idle_headroom_percent = idle_headroom_percent;
            self.at_ms = now_ms;
        }
        self.over_since_ms = match headroom_percent < BOUND_PERCENT {
            true => Some(self.over_since_ms.unwrap_or(now_ms)),
            false => None,
        };
    }

    /// Returns what fillers may take by the time that paces work.
    fn room_percent(&self) -> f64 {
        let fall = self.fall_percent_per_s.clamp(0.0, FALL_MAX_PERCENT);
        (self.idle_headroom_percent - fall * AHEAD_MS / 1_000.0 - AIM_PERCENT).max(0.0)
    }
}

/// The paces of the fillers on one worker.
#[derive(Clone, Debug)]
pub struct Throttler {
    /// Time for which fillers may keep a serving task over its bound.
    harm_max_ms: u64,
    tracks: HashMap<RunRef, Track>,
    speed_percents: HashMap<RunRef, u32>,
    halted_until_ms: u64,
}

impl Throttler {
    /// Makes a pacer of fillers that may do harm for `harm_max_ms` on end.
    pub fn new(harm_max_ms: u64) -> Throttler {
        Throttler {
            harm_max_ms,
            tracks: HashMap::new(),
            speed_percents: HashMap::new(),
            halted_until_ms: 0,
        }
    }

    /// Returns the share of its speed at which a filler may work.
    pub fn speed_percent(&self, filler: RunRef) -> u32 {
        self.speed_percents.get(&filler).copied().unwrap_or(100)
    }

    /// Takes in a reading of all that serves and fills.
    pub fn observe(&mut self, serving: &[ServingReading], fillers: &[FillerReading], now_ms: u64) {
        self.tracks.retain(|run, _| serving.iter().any(|it| it.run == *run));
        for (at, it) in serving.iter().enumerate() {
            let taken: f64 =
                fillers.iter().map(|it| it.core_costs_percent[at] * it.used_cores).sum();
            let first = Track::new(it.headroom_percent + taken, now_ms);
            let track = self.tracks.entry(it.run).or_insert(first);
            track.observe(it.headroom_percent, taken, now_ms);
        }
        self.reallocate(serving, fillers, now_ms);
    }

    /// Shares out anew what the last reading left, as when a filler has begun since.
    pub fn reallocate(
        &mut self,
        serving: &[ServingReading],
        fillers: &[FillerReading],
        now_ms: u64,
    ) {
        let track = |it: &ServingReading| self.tracks.get(&it.run);
        let rooms: Vec<_> =
            serving.iter().map(|it| track(it).map_or(0.0, Track::room_percent)).collect();
        let over_ms = |it: &ServingReading| {
            let since_ms = self.tracks.get(&it.run).and_then(|it| it.over_since_ms);
            since_ms.map_or(0, |since_ms| now_ms - since_ms)
        };
        if serving.iter().any(|it| self.harm_max_ms / OVER_LONG_PART <= over_ms(it)) {
            self.halted_until_ms = now_ms + HALT_MS;
        }
        let over_max_ms = self.harm_max_ms / OVER_PART;
        let mut paces = paces_within(&rooms, fillers);
        for (at, _) in serving.iter().enumerate().filter(|(_, it)| over_max_ms <= over_ms(it)) {
            let takes = |it: &FillerReading| NEGLIGIBLE_COST_PERCENT < it.used_percent(at);
            let taking = fillers.iter().zip(&mut paces).filter(|(it, _)| takes(it));
            taking.for_each(|(_, pace)| *pace = 0.0);
        }
        if now_ms < self.halted_until_ms {
            paces.fill(0.0);
        }
        let paces: HashMap<_, _> = fillers
            .iter()
            .zip(paces)
            .map(|(it, wanted)| (it.run, self.step_towards(it, wanted)))
            .collect();
        self.speed_percents = paces;
    }

    fn step_towards(&self, it: &FillerReading, wanted: f64) -> u32 {
        let before = self.speed_percent(it.run);
        let wanted = (wanted * 100.0) as u32 / GRAIN_PERCENT * GRAIN_PERCENT;
        let is_known = self.speed_percents.contains_key(&it.run);
        let takes = (0..it.core_costs_percent.len())
            .any(|at| NEGLIGIBLE_COST_PERCENT < it.used_percent(at));
        match is_known && takes {
            true => wanted.min(before + RAISE_PERCENT),
            false => wanted,
        }
    }
}

/// Returns the pace of each filler, from 0 to 1, at which no serving task's room is exceeded.
///
/// Of those that take from a task that is short of room, the ones that take most for their cores
/// are slowed first, so that the least work is given up; among equals the later ones, so that
/// the earlier ones end soon.
fn paces_within(rooms: &[f64], fillers: &[FillerReading]) -> Vec<f64> {
    let mut paces = vec![1.0; fillers.len()];
    for (at, room) in rooms.iter().enumerate() {
        let taken = |it: &FillerReading| it.used_percent(at);
        let taken: f64 = fillers.iter().zip(&paces).map(|(it, pace)| taken(it) * pace).sum();
        let mut excess = taken - room;
        let mut order: Vec<_> = (0..fillers.len()).collect();
        order.sort_by(|a, b| {
            let (one, other) =
                (&fillers[*a].core_costs_percent[at], &fillers[*b].core_costs_percent[at]);
            other.total_cmp(one).then(b.cmp(a))
        });
        for index in order {
            let cost = fillers[index].used_percent(at);
            if excess <= 0.0 {
                break;
            }
            if cost <= NEGLIGIBLE_COST_PERCENT {
                continue;
            }
            let cut = paces[index].min(excess / cost);
            paces[index] -= cut;
            excess -= cut * cost;
        }
    }
    paces
}
