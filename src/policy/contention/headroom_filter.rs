//! What one image that serves has left, and what fillers cost it: one Kalman filter.
//!
//! A reading of a headroom is the level that the load of its step leaves, less what each filler
//! beside it takes. Levels and costs are estimated together, so that every task of a step tells
//! the level of all, however many fillers stand beside it, and only differences between siblings
//! are blamed on fillers.

use crate::{
    policy::contention::{FillerLoad, images::ImageKey, similarity::CostObservation},
    prelude::*,
};

/// What a core of a pair not seen yet is taken to cost, in percent of headroom: on the users' VMs
/// some two in three pairs cost about 1 and the others 8 to 20.
pub const UNKNOWN_COST_PERCENT: f64 = 4.0;

/// How far a pair may lie from that (standard deviation): the spread of those two kinds.
pub(super) const UNKNOWN_COST_DEVIATION_PERCENT: f64 = 5.0;

/// How far a cost may be off that an earlier leader had learned (standard deviation).
const KNOWN_DEVIATION_PERCENT: f64 = 2.0;

/// How far a cost wanders in a second (standard deviation): little enough that a minute-old one
/// still counts. Costs fitted over spans of ten seconds on the users' VMs agree within their
/// errors.
const WANDER_PERCENT: f64 = 0.2;

/// How far the level of a step wanders in a second (standard deviation), beside its slope.
const LEVEL_WANDER_PERCENT: f64 = 15.0;

/// How far the slope of a level changes in a second (standard deviation): a service that goes from
/// a fifth of its load to three quarters and back within 14 s changes it by as much.
const SLOPE_WANDER_PERCENT: f64 = 25.0;

/// Slope of a level of which nothing is known, in percent a second (standard deviation).
const SLOPE_DEVIATION_PERCENT: f64 = 40.0;

/// Steepest slope that is taken for likely (standard deviation).
const SLOPE_DEVIATION_MAX_PERCENT: f64 = 60.0;

/// Headroom without fillers of a step not seen yet: between idle and the bound.
pub(super) const UNKNOWN_IDLE_HEADROOM_PERCENT: f64 = 250.0;

/// How far that may be off (standard deviation): from idle to the bound.
const UNKNOWN_REST_DEVIATION_PERCENT: f64 = 150.0;

/// Largest and least cost of a core. Estimates of harmless pairs scatter around nothing, so they
/// must be free to fall below it: cut at nothing each time, noise alone raised them from 0.7 to 5
/// within ten seconds, and a day of the users' 69 VMs earned 0.67 in place of 0.71.
const COST_MAX_PERCENT: f64 = 100.0;
const COST_MIN_PERCENT: f64 = -50.0;

/// Least weight of readings of a pair that counts as evidence, as the inverse of a variance: one
/// rough reading.
const EVIDENCE_MIN: f64 = 0.002;

/// Headroom of an image without load, until more was seen: half a load leaves what a step not seen
/// yet is taken to have.
const IDLE_PERCENT: f64 = 455.0;

/// Headroom without load as a part of the most that was seen: services are seldom quite idle.
const IDLE_PART: f64 = 1.1;

/// Part of it that is forgotten in a second, so that one that was taken for too high comes down
/// within some swings of the load.
const IDLE_FORGOTTEN: f64 = 0.005;

/// Longest pause between readings that counts for that.
const IDLE_PAUSE_MAX_S: f64 = 5.0;

/// How far a level may be off that tells of it (standard deviation).
const IDLE_DEVIATION_MAX_PERCENT: f64 = 25.0;

/// Least and most of its reservation that a step is taken to use.
const USE_MIN: f64 = 0.05;
const USE_MAX: f64 = 0.95;

/// Images of fillers, and steps, remembered for each image that serves: a reading takes the square
/// of their number, 3 µs at most.
const IMAGES_MAX: usize = 32;
const GROUPS_MAX: usize = 8;

/// A quantity that is estimated.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Quantity {
    /// Headroom of a step without fillers, in percent.
    Level(StepRef),
    /// Change of that level, in percent a second.
    Slope(StepRef),
    /// Headroom that a core of a filler takes, in percent.
    Cost(ImageKey),
}

impl Quantity {
    /// Returns how many of its kind are remembered.
    fn most(self) -> usize {
        match self {
            Quantity::Level(_) | Quantity::Slope(_) => GROUPS_MAX,
            Quantity::Cost(_) => IMAGES_MAX,
        }
    }

    /// Returns how much its variance grows in a second, and to what at most.
    fn wander(self) -> (f64, f64) {
        let (wander, most) = match self {
            Quantity::Level(_) => (LEVEL_WANDER_PERCENT, UNKNOWN_REST_DEVIATION_PERCENT),
            Quantity::Slope(_) => (SLOPE_WANDER_PERCENT, SLOPE_DEVIATION_MAX_PERCENT),
            Quantity::Cost(_) => (WANDER_PERCENT, UNKNOWN_COST_DEVIATION_PERCENT),
        };
        (wander * wander, most * most)
    }
}

/// A reading of one task that serves.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeadroomReading<'a> {
    pub group: StepRef,
    pub headroom_percent: f64,
    /// How rough it is (variance).
    pub noise: f64,
    pub fillers: &'a [FillerLoad],
}

/// The levels of one image that serves, and what each image of fillers costs it.
#[derive(Clone, Debug, Default)]
pub(super) struct HeadroomFilter {
    quantities: Vec<Quantity>,
    seen_ms: Vec<u64>,
    means: Vec<f64>,
    /// How estimates may be off together: a square, row by row in the order of the quantities.
    covariances: Vec<Vec<f64>>,
    at_ms: u64,
    /// Headroom without load, once a level was known well, and when that was last.
    idle_percent: Option<f64>,
    idle_ms: u64,
}

impl HeadroomFilter {
    /// Returns when it last took in a reading.
    pub(super) fn changed_ms(&self) -> u64 {
        self.at_ms
    }

    /// Returns the headroom of a step without fillers, if the step was seen.
    pub(super) fn level_percent(&self, group: StepRef) -> Option<f64> {
        self.find(Quantity::Level(group)).map(|at| self.means[at])
    }

    /// Returns the share of what it reserves that a step uses: its headroom falls in proportion to
    /// its load, from that of an idle one.
    pub(super) fn cpu_use_share(&self, group: StepRef) -> Option<f64> {
        let level = self.level_percent(group)?;
        Some((1.0 - level / self.idle_percent?).clamp(USE_MIN, USE_MAX))
    }

    /// Returns what a core of an image costs, if it was seen.
    pub(super) fn cost_percent(&self, image: ImageKey) -> Option<f64> {
        self.find(Quantity::Cost(image)).map(|at| self.means[at].max(0.0))
    }

    /// Returns all images of fillers with their costs.
    pub(super) fn costs(&self) -> impl Iterator<Item = (ImageKey, f64)> {
        let cost = |(it, mean): (&Quantity, &f64)| match it {
            Quantity::Cost(image) => Some((*image, mean.max(0.0))),
            _ => None,
        };
        self.quantities.iter().zip(&self.means).filter_map(cost)
    }

    /// Returns what readings tell of an image, without what was taken for likely before.
    pub(super) fn evidence(&self, image: ImageKey) -> Option<CostObservation> {
        let at = self.find(Quantity::Cost(image))?;
        let unknown = UNKNOWN_COST_DEVIATION_PERCENT * UNKNOWN_COST_DEVIATION_PERCENT;
        let variance = self.covariances[at][at];
        let precision = 1.0 / variance - 1.0 / unknown;
        let mean = (self.means[at] / variance - UNKNOWN_COST_PERCENT / unknown) / precision;
        (EVIDENCE_MIN <= precision).then_some(CostObservation { mean, variance: 1.0 / precision })
    }

    /// Takes over what an earlier leader had learned of an image.
    pub(super) fn set_known(&mut self, image: ImageKey, percent: f64, now_ms: u64) {
        self.at_ms = self.at_ms.max(now_ms);
        self.place_of(Quantity::Cost(image), percent, KNOWN_DEVIATION_PERCENT, now_ms);
    }

    /// Takes in a reading.
    pub(super) fn observe(&mut self, it: &HeadroomReading<'_>, now_ms: u64) {
        self.age(now_ms);
        let level = it.headroom_percent.max(UNKNOWN_IDLE_HEADROOM_PERCENT);
        let (group, unsure) = (it.group, UNKNOWN_REST_DEVIATION_PERCENT);
        self.place_of(Quantity::Level(group), level, unsure, now_ms);
        self.place_of(Quantity::Slope(group), 0.0, SLOPE_DEVIATION_PERCENT, now_ms);
        for filler in it.fillers {
            let cost = Quantity::Cost(filler.image);
            self.place_of(cost, UNKNOWN_COST_PERCENT, UNKNOWN_COST_DEVIATION_PERCENT, now_ms);
        }
        let weights = self.weights(it);
        self.correct(&weights, it.headroom_percent, it.noise);
        self.follow_idle(it.group, now_ms);
    }

    /// Follows the headroom of the image without load.
    fn follow_idle(&mut self, group: StepRef, now_ms: u64) {
        let Some(at) = self.find(Quantity::Level(group)) else { return };
        if IDLE_DEVIATION_MAX_PERCENT * IDLE_DEVIATION_MAX_PERCENT < self.covariances[at][at] {
            return;
        }
        let passed_s = now_ms.saturating_sub(self.idle_ms) as f64 / 1_000.0;
        let kept = 1.0 - IDLE_FORGOTTEN * passed_s.min(IDLE_PAUSE_MAX_S);
        let known = self.idle_percent.unwrap_or(IDLE_PERCENT);
        self.idle_percent = Some((self.means[at] * IDLE_PART).max(known * kept));
        self.idle_ms = now_ms;
    }

    /// Returns by how much each quantity counts in a reading.
    fn weights(&self, it: &HeadroomReading<'_>) -> Vec<f64> {
        let mut res = vec![0.0; self.quantities.len()];
        if let Some(at) = self.find(Quantity::Level(it.group)) {
            res[at] = 1.0;
        }
        for filler in it.fillers {
            // One that made way for others at once is passed over.
            if let Some(at) = self.find(Quantity::Cost(filler.image)) {
                res[at] -= filler.cores;
            }
        }
        res
    }

    /// Moves all estimates by what a reading shows beside what was foreseen.
    fn correct(&mut self, weights: &[f64], reading: f64, noise: f64) {
        let dot = |row: &[f64]| row.iter().zip(weights).map(|(a, b)| a * b).sum::<f64>();
        let spread: Vec<f64> = self.covariances.iter().map(|row| dot(row)).collect();
        let doubt = noise + dot(&spread);
        let surprise = reading - dot(&self.means);
        for (at, mean) in self.means.iter_mut().enumerate() {
            *mean += spread[at] / doubt * surprise;
            if let Quantity::Cost(_) = self.quantities[at] {
                *mean = mean.clamp(COST_MIN_PERCENT, COST_MAX_PERCENT);
            }
        }
        for (row_at, row) in self.covariances.iter_mut().enumerate() {
            let gain = spread[row_at] / doubt;
            for (it, spread) in row.iter_mut().zip(&spread) {
                *it -= gain * spread;
            }
        }
    }

    /// Lets time pass, in which levels go on along their slopes and the truth may change.
    fn age(&mut self, now_ms: u64) {
        let passed_s = now_ms.saturating_sub(self.at_ms) as f64 / 1_000.0;
        self.at_ms = self.at_ms.max(now_ms);
        if passed_s == 0.0 {
            return;
        }
        for at in 0..self.quantities.len() {
            if let Quantity::Level(group) = self.quantities[at]
                && let Some(slope) = self.find(Quantity::Slope(group))
            {
                self.follow(at, slope, passed_s);
            }
        }
        for (at, it) in self.quantities.iter().enumerate() {
            let (growth, most) = it.wander();
            let variance = &mut self.covariances[at][at];
            *variance = (*variance + growth * passed_s).min(most.max(*variance));
        }
    }

    /// Moves a level along its slope.
    fn follow(&mut self, level: usize, slope: usize, passed_s: f64) {
        self.means[level] += self.means[slope] * passed_s;
        let from = self.covariances[slope].clone();
        for (it, from) in self.covariances[level].iter_mut().zip(&from) {
            *it += from * passed_s;
        }
        for row in &mut self.covariances {
            let from = row[slope];
            row[level] += from * passed_s;
        }
    }

    fn find(&self, it: Quantity) -> Option<usize> {
        self.quantities.iter().position(|other| *other == it)
    }

    /// Returns the place of a quantity, which is begun where it has none; the one of its kind not
    /// seen for longest makes way where there are too many.
    fn place_of(&mut self, it: Quantity, mean: f64, deviation: f64, now_ms: u64) -> usize {
        if let Some(at) = self.find(it) {
            self.seen_ms[at] = now_ms;
            return at;
        }
        let is_alike = |at: &usize| {
            std::mem::discriminant(&self.quantities[*at]) == std::mem::discriminant(&it)
        };
        let alike: Vec<_> = (0..self.quantities.len()).filter(is_alike).collect();
        if it.most() <= alike.len()
            && let Some(at) = alike.into_iter().min_by_key(|at| self.seen_ms[*at])
        {
            self.remove(at);
        }
        self.quantities.push(it);
        self.seen_ms.push(now_ms);
        self.means.push(mean);
        self.covariances.iter_mut().for_each(|row| row.push(0.0));
        let at = self.quantities.len() - 1;
        let mut row = vec![0.0; at + 1];
        row[at] = deviation * deviation;
        self.covariances.push(row);
        at
    }

    fn remove(&mut self, at: usize) {
        self.quantities.remove(at);
        self.seen_ms.remove(at);
        self.means.remove(at);
        self.covariances.remove(at);
        self.covariances.iter_mut().for_each(|row| {
            row.remove(at);
        });
    }
}
