//! How much best-effort tasks (fillers) slow down serving tasks, learned online.
//!
//! The model is that of a queue: tail latency is inversely proportional to the spare capacity of
//! a server, so the inverse of the tail falls linearly with load. [`headroom_percent`] is this
//! inverse. Each core that a filler uses reduces it by a fixed amount, the cost of the pair of
//! images. On the users' VMs, load alone explains the inverse to within 3 % for a tail that varies
//! between 13 and 31 ms (347 readings of 0.5 s); relative changes of the tail itself vary
//! threefold for one pair.
//!
//! The share of the VM that a filler uses is decisive: the cost of a pair by share is the same on
//! VMs of 16, 32 and 64 cores, and per core four times as high on the smallest as on the largest.
//! So cores are converted to those of a VM with [`REFERENCE_CORES`].
//!
//! The tasks of one step share one load, so they have the same idle headroom (headroom with no
//! filler beside them). A headroom below that of the sibling tasks is attributed to the fillers
//! beside the task, even while the load changes.

mod headroom_filter;
pub mod images;
pub mod similarity;

use std::{cmp::Reverse, collections::HashMap};

use crate::prelude::*;

pub use self::headroom_filter::UNKNOWN_COST_PERCENT;
use self::{
    headroom_filter::{HeadroomFilter, HeadroomReading, UNKNOWN_IDLE_HEADROOM_PERCENT},
    images::{ImageKey, ImageTable},
    similarity::{CostEstimates, PairObservations},
};

/// Size of the VM that costs refer to. Cores of a VM of another size are converted by share.
pub const REFERENCE_CORES: f64 = 64.0;

/// Pairs whose costs are passed to the next leader: about 20 KB in the log.
const KNOWN_PAIRS_MAX: usize = 1_000;

/// Standard deviation of one reading, as a share of the headroom: tails are reported in whole
/// milliseconds, and the loads of sibling tasks differ by 3 %.
const READING_DEVIATION_SHARE: f64 = 0.1;

/// Time over which a tail is measured. The variance of a reading that overlaps the previous one
/// is increased accordingly.
const READING_WINDOW_MS: u64 = 500;

/// Interval between readings below which the variance is not increased further.
const READING_INTERVAL_MIN_MS: u64 = 50;

/// Part of a reading's standard deviation that is independent of the headroom, in percent.
const READING_DEVIATION_MIN_PERCENT: f64 = 5.0;

/// Mean share of their reserved processors that serving tasks use on the users' VMs.
pub const MEAN_CPU_USE_SHARE: f64 = 0.45;

/// Upper limit of the headroom: readings of an idle service say little about a loaded one.
const HEADROOM_MAX_PERCENT: f64 = 1_000.0;

/// Headroom below which a service is over its bound, and builds up a queue.
const BOUND_PERCENT: f64 = 100.0;

/// Time after an overload in which readings reflect the queue instead of load and fillers.
const QUEUE_DRAIN_MS: u64 = 1_000;

/// Time after which a task without readings may be removed.
const READING_RETENTION_MS: u64 = 30_000;

/// Interval between comparisons of images; reports do not arrive more often.
const COMPARISON_INTERVAL_MS: u64 = 250;

/// Serving images, and filler images, that are compared. One comparison takes 0.8 ms, 0.3 % of a
/// core; with nine images of each kind it takes 0.02 ms.
const COMPARED_IMAGES_MAX: usize = 32;

/// Serving tasks, and serving images, that are kept.
const TRACKED_MAX: usize = 10_000;

/// Returns the headroom of a service: 100 if its tail is at its bound, 200 if it is at half of it.
pub fn headroom_percent(tail_ms: u32, target_ms: u64) -> f64 {
    (target_ms as f64 * 100.0 / f64::from(tail_ms.max(1))).min(HEADROOM_MAX_PERCENT)
}

/// A reported serving task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServingTask {
    pub run: RunRef,
    pub image: ImageKey,
    pub headroom_percent: f64,
}

/// A filler beside a serving task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FillerLoad {
    pub image: ImageKey,
    /// Cores that it uses or would use, converted to a VM with [`REFERENCE_CORES`].
    pub cores: f64,
}

/// Converts processors of a VM to cores of a VM with [`REFERENCE_CORES`].
pub fn reference_cores(millicores: u32, capacity_millicores: u32) -> f64 {
    f64::from(millicores) / f64::from(capacity_millicores.max(1)) * REFERENCE_CORES
}

/// Times of the last readings of a serving task.
#[derive(Clone, Copy, Debug, Default)]
struct LastReading {
    at_ms: u64,
    /// Time of the last reading over the bound.
    overloaded_ms: Option<u64>,
}

/// The learned costs of filler images for serving images.
#[derive(Clone, Debug, Default)]
pub struct ContentionModel {
    images: ImageTable,
    last_readings: HashMap<RunRef, LastReading>,
    /// By serving image.
    filters: HashMap<ImageKey, HeadroomFilter>,
    /// Costs combined with those of similar images.
    estimates: CostEstimates,
    compared_ms: u64,
}

impl ContentionModel {
    /// Creates a model from the costs that an earlier leader had learned.
    pub fn with_known_costs(costs: &[ImageCost], now_ms: u64) -> ContentionModel {
        let mut res = ContentionModel::default();
        for it in costs {
            let (serving, filler) = (res.image_key(&it.serving), res.image_key(&it.filler));
            let filter = res.filters.entry(serving).or_default();
            filter.set_known(filler, f64::from(it.headroom_percent), now_ms);
        }
        res
    }

    /// Returns the key of an image, and assigns one if it has none.
    pub fn image_key(&mut self, name: &str) -> ImageKey {
        self.images.key_or_insert(name)
    }

    pub fn image_name(&self, key: ImageKey) -> &CompactString {
        self.images.name(key)
    }

    /// Returns the costs to pass to the next leader, by pair of images.
    pub fn known_costs(&self) -> Vec<ImageCost> {
        let mut res = Vec::new();
        let mut serving: Vec<_> = self.filters.iter().collect();
        serving.sort_by_key(|(image, _)| self.images.name(**image));
        for (serving, filter) in serving {
            for (filler, percent) in filter.costs() {
                if KNOWN_PAIRS_MAX <= res.len() {
                    return res;
                }
                let headroom_percent = percent.round() as f32;
                let serving = self.images.name(*serving).clone();
                let filler = self.images.name(filler).clone();
                res.push(ImageCost { serving, filler, headroom_percent });
            }
        }
        res
    }

    /// Returns the headroom that one core of `filler` uses of `serving`, in percent.
    pub fn cost_percent(&self, serving: ImageKey, filler: ImageKey) -> f64 {
        let estimate = self.estimates.get(serving, filler);
        let read = || self.read_cost_percent(serving, filler);
        let mean = || self.estimates.mean_percent(filler);
        estimate.or_else(read).or_else(mean).unwrap_or(UNKNOWN_COST_PERCENT)
    }

    /// Returns the same cost by readings of this pair alone, if there are any.
    fn read_cost_percent(&self, serving: ImageKey, filler: ImageKey) -> Option<f64> {
        self.filters.get(&serving).and_then(|it| it.cost_percent(filler))
    }

    /// Returns the idle headroom of the tasks of a step, which run `serving`.
    pub fn idle_headroom_percent(&self, serving: ImageKey, step: StepRef) -> f64 {
        let filter = self.filters.get(&serving);
        filter.and_then(|it| it.level_percent(step)).unwrap_or(UNKNOWN_IDLE_HEADROOM_PERCENT)
    }

    /// Returns the share of its reserved processors that a step uses, derived from its headroom, or
    /// the mean of serving tasks where the headroom is unknown.
    pub fn cpu_use_share(&self, serving: ImageKey, step: StepRef) -> f64 {
        let filter = self.filters.get(&serving);
        filter.and_then(|it| it.cpu_use_share(step)).unwrap_or(MEAN_CPU_USE_SHARE)
    }

    /// Returns the headroom that `fillers` use of `serving` together, in percent.
    pub fn used_percent(&self, serving: ImageKey, fillers: &[FillerLoad]) -> f64 {
        fillers.iter().map(|it| self.cost_percent(serving, it.image) * it.cores).sum()
    }

    /// Learns from the reports of one VM.
    pub fn observe(&mut self, serving: &[ServingTask], fillers: &[FillerLoad], now_ms: u64) {
        if TRACKED_MAX <= self.last_readings.len() {
            self.last_readings.retain(|_, it| now_ms < it.at_ms + READING_RETENTION_MS);
        }
        for it in serving {
            self.observe_one(it, fillers, now_ms);
        }
        if self.compared_ms + COMPARISON_INTERVAL_MS <= now_ms {
            self.compared_ms = now_ms;
            self.estimates = CostEstimates::new(self.recent_observations());
        }
    }

    /// Returns the observed costs of the images with the most recent readings.
    fn recent_observations(&self) -> PairObservations {
        let mut rows: Vec<_> = self.filters.iter().collect();
        rows.sort_by_key(|(image, it)| (Reverse(it.changed_ms()), **image));
        rows.truncate(COMPARED_IMAGES_MAX);
        let mut fillers = Vec::new();
        for (image, _) in rows.iter().flat_map(|(_, it)| it.costs()) {
            if !fillers.contains(&image) && fillers.len() < COMPARED_IMAGES_MAX {
                fillers.push(image);
            }
        }
        let pairs = rows.iter().map(|(_, it)| fillers.iter().map(|image| it.evidence(*image)));
        PairObservations {
            serving: rows.iter().map(|(image, _)| **image).collect(),
            pairs: pairs.map(Iterator::collect).collect(),
            fillers,
        }
    }

    fn observe_one(&mut self, it: &ServingTask, fillers: &[FillerLoad], now_ms: u64) {
        if TRACKED_MAX <= self.last_readings.len() && !self.last_readings.contains_key(&it.run) {
            return;
        }
        let last = self.last_readings.entry(it.run).or_default();
        let passed_ms = now_ms.saturating_sub(std::mem::replace(&mut last.at_ms, now_ms));
        let is_draining_queue =
            last.overloaded_ms.is_some_and(|at_ms| now_ms < at_ms + QUEUE_DRAIN_MS);
        if it.headroom_percent < BOUND_PERCENT {
            last.overloaded_ms = Some(now_ms);
        } else if is_draining_queue {
            return;
        }
        if TRACKED_MAX <= self.filters.len() && !self.filters.contains_key(&it.image) {
            return;
        }
        let reading = HeadroomReading {
            step: StepRef::of_task(it.run.task),
            headroom_percent: it.headroom_percent,
            noise: noise(it.headroom_percent, passed_ms),
            fillers,
        };
        self.filters.entry(it.image).or_default().observe(&reading, now_ms);
    }
}

/// Returns the variance of a reading that follows another of the same task after `passed_ms`.
fn noise(headroom_percent: f64, passed_ms: u64) -> f64 {
    let deviation_percent = headroom_percent * READING_DEVIATION_SHARE;
    let overlap = READING_WINDOW_MS as f64
        / passed_ms.clamp(READING_INTERVAL_MIN_MS, READING_WINDOW_MS) as f64;
    deviation_percent * deviation_percent * overlap
        + READING_DEVIATION_MIN_PERCENT * READING_DEVIATION_MIN_PERCENT
}
