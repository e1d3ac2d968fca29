//! A Kalman filter for the headroom of one serving image and the costs of best-effort tasks
//! (fillers) beside it.
//!
//! A headroom reading is modelled as the level of its step, which depends on the load, minus the
//! cost of each filler beside the task. Levels and costs are estimated together. So every task of
//! a step contributes to the estimate of the shared level, however many fillers run beside it, and
//! only differences between sibling tasks are attributed to fillers.

use crate::{
    policy::contention::{FillerLoad, images::ImageKey, similarity::CostObservation},
    prelude::*,
};

/// Prior mean of the cost of a pair of images, in percent of headroom per core: on the users' VMs
/// about two in three pairs cost about 1 and the others 8 to 20.
pub const UNKNOWN_COST_PERCENT: f64 = 4.0;

/// Prior standard deviation of that cost: the spread over these two groups.
pub(super) const UNKNOWN_COST_DEVIATION_PERCENT: f64 = 5.0;

/// Standard deviation of a cost that was learned by an earlier leader.
const KNOWN_DEVIATION_PERCENT: f64 = 2.0;

/// Drift of a cost within a second (standard deviation), small enough that a cost learned a minute
/// ago still counts. Costs fitted over spans of ten seconds on the users' VMs agree within their
/// errors.
const COST_DRIFT_PERCENT: f64 = 0.2;

/// Drift of the level of a step within a second (standard deviation), in addition to its slope.
const LEVEL_DRIFT_PERCENT: f64 = 15.0;

/// Drift of the slope of a level within a second (standard deviation): as for a service that goes
/// from a fifth of its load to three quarters and back within 14 s.
const SLOPE_DRIFT_PERCENT: f64 = 25.0;

/// Prior standard deviation of the slope of a level, in percent per second.
const SLOPE_DEVIATION_PERCENT: f64 = 40.0;

/// Largest standard deviation of a slope, in percent per second.
const SLOPE_DEVIATION_MAX_PERCENT: f64 = 60.0;

/// Prior mean of the idle headroom of a step (without fillers): between no load and the bound.
pub(super) const UNKNOWN_IDLE_HEADROOM_PERCENT: f64 = 250.0;

/// Prior standard deviation of the idle headroom: the range from no load to the bound.
const UNKNOWN_IDLE_DEVIATION_PERCENT: f64 = 150.0;

/// Range of the cost of a core. Estimates for harmless pairs scatter around zero and must be able
/// to become negative: when clamped at zero at each reading, noise raised them from 0.7 to 5 within
/// ten seconds, and the daily earnings of the users' 69 VMs fell from 0.71 to 0.67.
const COST_MAX_PERCENT: f64 = 100.0;
const COST_MIN_PERCENT: f64 = -50.0;

/// Least precision (inverse variance) from which readings of a pair count as evidence: that of one
/// noisy reading.
const EVIDENCE_PRECISION_MIN: f64 = 0.002;

/// Initial headroom of an image without load. At half load this leaves the prior mean of the idle
/// headroom.
const UNLOADED_PERCENT: f64 = 455.0;

/// Ratio of the headroom without load to the largest observed level: services are seldom fully
/// without load.
const UNLOADED_FACTOR: f64 = 1.1;

/// Decay of the headroom without load per second, so that an estimate that is too high falls within
/// a few swings of the load.
const UNLOADED_DECAY_PER_S: f64 = 0.005;

/// Longest pause between readings to which the decay applies.
const DECAY_PAUSE_MAX_S: f64 = 5.0;

/// Largest standard deviation of a level that updates the headroom without load.
const UNLOADED_DEVIATION_MAX_PERCENT: f64 = 25.0;

/// Range of the share of its reservation that a step is assumed to use.
const USE_SHARE_MIN: f64 = 0.05;
const USE_SHARE_MAX: f64 = 0.95;

/// Filler images and steps that are kept for each serving image. The time for a reading grows with
/// the square of their number, to at most 3 µs.
const FILLER_IMAGES_MAX: usize = 32;
const STEPS_MAX: usize = 8;

/// An estimated quantity.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Quantity {
    /// Idle headroom of a step, in percent.
    Level(StepRef),
    /// Change of that level, in percent per second.
    Slope(StepRef),
    /// Headroom that one core of a filler uses, in percent.
    Cost(ImageKey),
}

impl Quantity {
    /// Returns how many quantities of this kind are kept.
    fn count_max(self) -> usize {
        match self {
            Quantity::Level(_) | Quantity::Slope(_) => STEPS_MAX,
            Quantity::Cost(_) => FILLER_IMAGES_MAX,
        }
    }

    /// Returns the growth of its variance per second, and the largest variance that this reaches.
    fn drift(self) -> (f64, f64) {
        let (deviation, deviation_max) = match self {
            Quantity::Level(_) => (LEVEL_DRIFT_PERCENT, UNKNOWN_IDLE_DEVIATION_PERCENT),
            Quantity::Slope(_) => (SLOPE_DRIFT_PERCENT, SLOPE_DEVIATION_MAX_PERCENT),
            Quantity::Cost(_) => (COST_DRIFT_PERCENT, UNKNOWN_COST_DEVIATION_PERCENT),
        };
        (deviation * deviation, deviation_max * deviation_max)
    }
}

/// A reading of one serving task.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeadroomReading<'a> {
    pub step: StepRef,
    pub headroom_percent: f64,
    /// Variance of the measurement.
    pub noise: f64,
    pub fillers: &'a [FillerLoad],
}

/// The estimated levels of one serving image, and the costs of filler images beside it.
#[derive(Clone, Debug, Default)]
pub(super) struct HeadroomFilter {
    quantities: Vec<Quantity>,
    last_seen_ms: Vec<u64>,
    means: Vec<f64>,
    /// Covariance matrix of the estimates, by row and column in the order of the quantities.
    covariances: Vec<Vec<f64>>,
    updated_ms: u64,
    /// Headroom without load, once a level was known precisely enough.
    unloaded_percent: Option<f64>,
    unloaded_updated_ms: u64,
}

impl HeadroomFilter {
    /// Returns the time of the last reading.
    pub(super) fn changed_ms(&self) -> u64 {
        self.updated_ms
    }

    /// Returns the idle headroom of a step, if the step was observed.
    pub(super) fn level_percent(&self, step: StepRef) -> Option<f64> {
        self.find(Quantity::Level(step)).map(|at| self.means[at])
    }

    /// Returns the share of its reservation that a step uses: the idle headroom falls in proportion
    /// to the load, starting from the headroom without load.
    pub(super) fn cpu_use_share(&self, step: StepRef) -> Option<f64> {
        let level = self.level_percent(step)?;
        Some((1.0 - level / self.unloaded_percent?).clamp(USE_SHARE_MIN, USE_SHARE_MAX))
    }

    /// Returns the cost of one core of a filler image, if the image was observed.
    pub(super) fn cost_percent(&self, image: ImageKey) -> Option<f64> {
        self.find(Quantity::Cost(image)).map(|at| self.means[at].max(0.0))
    }

    /// Returns all filler images with their costs per core.
    pub(super) fn costs(&self) -> impl Iterator<Item = (ImageKey, f64)> {
        let cost = |(it, mean): (&Quantity, &f64)| match it {
            Quantity::Cost(image) => Some((*image, mean.max(0.0))),
            _ => None,
        };
        self.quantities.iter().zip(&self.means).filter_map(cost)
    }

    /// Returns the cost of an image by readings alone, with the prior removed.
    pub(super) fn evidence(&self, image: ImageKey) -> Option<CostObservation> {
        let at = self.find(Quantity::Cost(image))?;
        let prior_variance = UNKNOWN_COST_DEVIATION_PERCENT * UNKNOWN_COST_DEVIATION_PERCENT;
        let variance = self.covariances[at][at];
        let precision = 1.0 / variance - 1.0 / prior_variance;
        let mean = (self.means[at] / variance - UNKNOWN_COST_PERCENT / prior_variance) / precision;
        (EVIDENCE_PRECISION_MIN <= precision)
            .then_some(CostObservation { mean, variance: 1.0 / precision })
    }

    /// Sets the cost of an image that an earlier leader had learned.
    pub(super) fn set_known(&mut self, image: ImageKey, percent: f64, now_ms: u64) {
        self.updated_ms = self.updated_ms.max(now_ms);
        self.find_or_insert(Quantity::Cost(image), percent, KNOWN_DEVIATION_PERCENT, now_ms);
    }

    /// Updates the estimates by a reading.
    pub(super) fn observe(&mut self, it: &HeadroomReading<'_>, now_ms: u64) {
        self.advance_to(now_ms);
        let level = it.headroom_percent.max(UNKNOWN_IDLE_HEADROOM_PERCENT);
        let (step, deviation) = (it.step, UNKNOWN_IDLE_DEVIATION_PERCENT);
        self.find_or_insert(Quantity::Level(step), level, deviation, now_ms);
        self.find_or_insert(Quantity::Slope(step), 0.0, SLOPE_DEVIATION_PERCENT, now_ms);
        for filler in it.fillers {
            let cost = Quantity::Cost(filler.image);
            self.find_or_insert(cost, UNKNOWN_COST_PERCENT, UNKNOWN_COST_DEVIATION_PERCENT, now_ms);
        }
        let weights = self.weights(it);
        self.correct(&weights, it.headroom_percent, it.noise);
        self.update_unloaded(it.step, now_ms);
    }

    /// Updates the headroom of the image without load.
    fn update_unloaded(&mut self, step: StepRef, now_ms: u64) {
        let Some(at) = self.find(Quantity::Level(step)) else { return };
        if UNLOADED_DEVIATION_MAX_PERCENT * UNLOADED_DEVIATION_MAX_PERCENT
            < self.covariances[at][at]
        {
            return;
        }
        let passed_s = now_ms.saturating_sub(self.unloaded_updated_ms) as f64 / 1_000.0;
        let kept = 1.0 - UNLOADED_DECAY_PER_S * passed_s.min(DECAY_PAUSE_MAX_S);
        let known = self.unloaded_percent.unwrap_or(UNLOADED_PERCENT);
        self.unloaded_percent = Some((self.means[at] * UNLOADED_FACTOR).max(known * kept));
        self.unloaded_updated_ms = now_ms;
    }

    /// Returns the coefficient of each quantity in a reading.
    fn weights(&self, it: &HeadroomReading<'_>) -> Vec<f64> {
        let mut res = vec![0.0; self.quantities.len()];
        if let Some(at) = self.find(Quantity::Level(it.step)) {
            res[at] = 1.0;
        }
        for filler in it.fillers {
            // Skips images that were evicted by other images of the same reading.
            if let Some(at) = self.find(Quantity::Cost(filler.image)) {
                res[at] -= filler.cores;
            }
        }
        res
    }

    /// Corrects all estimates by the difference between a reading and its prediction.
    fn correct(&mut self, weights: &[f64], reading: f64, noise: f64) {
        let dot = |row: &[f64]| row.iter().zip(weights).map(|(a, b)| a * b).sum::<f64>();
        let cross_covariances: Vec<f64> = self.covariances.iter().map(|row| dot(row)).collect();
        let variance = noise + dot(&cross_covariances);
        let innovation = reading - dot(&self.means);
        for (at, mean) in self.means.iter_mut().enumerate() {
            *mean += cross_covariances[at] / variance * innovation;
            if let Quantity::Cost(_) = self.quantities[at] {
                *mean = mean.clamp(COST_MIN_PERCENT, COST_MAX_PERCENT);
            }
        }
        for (row_at, row) in self.covariances.iter_mut().enumerate() {
            let gain = cross_covariances[row_at] / variance;
            for (it, cross_covariance) in row.iter_mut().zip(&cross_covariances) {
                *it -= gain * cross_covariance;
            }
        }
    }

    /// Predicts the estimates at `now_ms`: levels continue along their slopes, and variances grow.
    fn advance_to(&mut self, now_ms: u64) {
        let passed_s = now_ms.saturating_sub(self.updated_ms) as f64 / 1_000.0;
        self.updated_ms = self.updated_ms.max(now_ms);
        if passed_s == 0.0 {
            return;
        }
        for at in 0..self.quantities.len() {
            if let Quantity::Level(step) = self.quantities[at]
                && let Some(slope) = self.find(Quantity::Slope(step))
            {
                self.extrapolate(at, slope, passed_s);
            }
        }
        for (at, it) in self.quantities.iter().enumerate() {
            let (growth, variance_max) = it.drift();
            let variance = &mut self.covariances[at][at];
            *variance = (*variance + growth * passed_s).min(variance_max.max(*variance));
        }
    }

    /// Moves a level along its slope.
    fn extrapolate(&mut self, level: usize, slope: usize, passed_s: f64) {
        self.means[level] += self.means[slope] * passed_s;
        let slope_row = self.covariances[slope].clone();
        for (it, covariance) in self.covariances[level].iter_mut().zip(&slope_row) {
            *it += covariance * passed_s;
        }
        for row in &mut self.covariances {
            let covariance = row[slope];
            row[level] += covariance * passed_s;
        }
    }

    fn find(&self, it: Quantity) -> Option<usize> {
        self.quantities.iter().position(|other| *other == it)
    }

    /// Returns the index of a quantity, and adds the quantity with the given mean and deviation if
    /// it is missing. At the limit, the least recently seen quantity of the same kind is evicted.
    fn find_or_insert(&mut self, it: Quantity, mean: f64, deviation: f64, now_ms: u64) -> usize {
        if let Some(at) = self.find(it) {
            self.last_seen_ms[at] = now_ms;
            return at;
        }
        let is_same_kind = |at: &usize| {
            std::mem::discriminant(&self.quantities[*at]) == std::mem::discriminant(&it)
        };
        let same_kind: Vec<_> = (0..self.quantities.len()).filter(is_same_kind).collect();
        if it.count_max() <= same_kind.len()
            && let Some(at) = same_kind.into_iter().min_by_key(|at| self.last_seen_ms[*at])
        {
            self.remove(at);
        }
        self.quantities.push(it);
        self.last_seen_ms.push(now_ms);
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
        self.last_seen_ms.remove(at);
        self.means.remove(at);
        self.covariances.remove(at);
        self.covariances.iter_mut().for_each(|row| {
            row.remove(at);
        });
    }
}
