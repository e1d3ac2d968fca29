//! How much fillers take from tasks that serve, learned while they run.
//!
//! The model is a queue: a tail grows as the inverse of what is left of a server, so the inverse
//! of the tail falls in proportion to load. [`headroom_percent`] is that inverse, and each core
//! that a filler uses takes a fixed amount of it, by the pair of images. On the users' VMs the
//! inverse explains a tail swinging between 13 and 31 ms by load alone to within 3 % (347 half
//! seconds); shares of the tail itself vary threefold for one pair.
//!
//! What counts is the share of a VM that a filler uses: one pair costs the same on VMs of 16, 32
//! and 64 cores, by share, and four times as much a core on the smallest as on the largest. So
//! cores are counted as those of a VM of [`REFERENCE_CORES`].
//!
//! The tasks of one step serve one load, so they share what they have left without fillers; what
//! one has less than its siblings is its fillers' doing, whatever the load does meanwhile.

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

/// Cores of the VM that costs are told for. A VM of another size counts its own by share.
pub const REFERENCE_CORES: f64 = 64.0;

/// Pairs handed on to the next leader: some 20 KB in the log.
const KNOWN_MAX: usize = 1_000;

/// How rough one reading of a headroom is, as a share of it (standard deviation): tails come in
/// whole milliseconds, and sibling tasks differ by 3 % of their load.
const READING_DEVIATION: f64 = 0.1;

/// Time over which a tail is read: a reading that follows another sooner says as much less.
const READ_MS: u64 = 500;

/// Least time between two readings of a task that are taken for two.
const READ_MIN_MS: u64 = 50;

/// Part of the roughness of a reading that doesn't shrink with the headroom, in percent.
const ROUGH_MIN_PERCENT: f64 = 5.0;

/// Share of what they reserve that serving tasks use in the mean on the users' VMs.
pub const MEAN_CPU_USE_SHARE: f64 = 0.45;

/// Headroom is cut at this: a service that is idle says little of one at work.
const HEADROOM_MAX_PERCENT: f64 = 1_000.0;

/// Headroom of a service that is over its bound, and works off a queue for some time after.
const OVERLOADED_PERCENT: f64 = 100.0;

/// Time for which its readings then tell of the queue, and not of load and fillers.
const QUEUE_MS: u64 = 1_000;

/// Time after which a task that is not read is forgotten.
const READING_KEPT_MS: u64 = 30_000;

/// Interval at which images are compared anew: reports come no more often.
const COMPARED_MS: u64 = 250;

/// Images that serve, and of fillers, that are compared: 0.8 ms each time, 0.3 % of a core. Nine of
/// each take 0.02 ms.
const COMPARED_MAX: usize = 32;

/// Tasks and images that serve remembered.
const REMEMBERED_MAX: usize = 10_000;

/// Returns what a service has left: 100 at its bound, 200 with half the tail of its bound.
pub fn headroom_percent(tail_ms: u32, target_ms: u64) -> f64 {
    (target_ms as f64 * 100.0 / f64::from(tail_ms.max(1))).min(HEADROOM_MAX_PERCENT)
}

/// A task that serves, as reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServingTask {
    pub run: RunRef,
    pub image: ImageKey,
    pub headroom_percent: f64,
}

/// A filler beside it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FillerLoad {
    pub image: ImageKey,
    /// Processor that it uses, or would, as of a VM of [`REFERENCE_CORES`].
    pub cores: f64,
}

/// Returns processor of a VM as cores of one of [`REFERENCE_CORES`].
pub fn reference_cores(millicores: u32, capacity_millicores: u32) -> f64 {
    f64::from(millicores) / f64::from(capacity_millicores.max(1)) * REFERENCE_CORES
}

/// When a task that serves was read.
#[derive(Clone, Copy, Debug, Default)]
struct LastRead {
    at_ms: u64,
    /// When it was last over its bound.
    over_ms: Option<u64>,
}

/// What is known of images beside each other.
#[derive(Clone, Debug, Default)]
pub struct ContentionModel {
    images: ImageTable,
    read: HashMap<RunRef, LastRead>,
    /// By image of the serving task.
    filters: HashMap<ImageKey, HeadroomFilter>,
    /// What images that behave alike add to that.
    estimates: CostEstimates,
    compared_ms: u64,
}

impl ContentionModel {
    /// Takes over what an earlier leader had learned.
    pub fn with_known_costs(costs: &[ImageCost], now_ms: u64) -> ContentionModel {
        let mut res = ContentionModel::default();
        for it in costs {
            let (serving, filler) = (res.image(&it.serving), res.image(&it.filler));
            let own = res.filters.entry(serving).or_default();
            own.set_known(filler, f64::from(it.headroom_percent), now_ms);
        }
        res
    }

    /// Returns the key of an image.
    pub fn image(&mut self, name: &str) -> ImageKey {
        self.images.key(name)
    }

    /// Returns the name of an image.
    pub fn image_name(&self, key: ImageKey) -> &CompactString {
        self.images.name(key)
    }

    /// Returns what the next leader is to know, pair by pair.
    pub fn known_costs(&self) -> Vec<ImageCost> {
        let mut res = Vec::new();
        let mut serving: Vec<_> = self.filters.iter().collect();
        serving.sort_by_key(|(image, _)| self.images.name(**image));
        for (serving, filter) in serving {
            for (filler, percent) in filter.costs() {
                if KNOWN_MAX <= res.len() {
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

    /// Returns what a core of `filler` takes from `serving`, in percent of headroom.
    pub fn cost_percent(&self, serving: ImageKey, filler: ImageKey) -> f64 {
        let told = self.estimates.get(serving, filler);
        let read = || self.read_cost_percent(serving, filler);
        let mean = || self.estimates.mean_percent(filler);
        told.or_else(read).or_else(mean).unwrap_or(UNKNOWN_COST_PERCENT)
    }

    /// Returns the same by readings of this pair alone, if there are any.
    fn read_cost_percent(&self, serving: ImageKey, filler: ImageKey) -> Option<f64> {
        self.filters.get(&serving).and_then(|it| it.cost_percent(filler))
    }

    /// Returns the headroom that the tasks of a step, which run `serving`, have with no filler
    /// beside them.
    pub fn idle_headroom_percent(&self, serving: ImageKey, group: StepRef) -> f64 {
        let filter = self.filters.get(&serving);
        filter.and_then(|it| it.level_percent(group)).unwrap_or(UNKNOWN_IDLE_HEADROOM_PERCENT)
    }

    /// Returns the share of what it reserves that a step uses by its headroom, or what serving
    /// tasks use in the mean where that is not known.
    pub fn cpu_use_share(&self, serving: ImageKey, group: StepRef) -> f64 {
        let filter = self.filters.get(&serving);
        filter.and_then(|it| it.cpu_use_share(group)).unwrap_or(MEAN_CPU_USE_SHARE)
    }

    /// Returns what `fillers` take from `serving` together, in percent of headroom.
    pub fn used_percent(&self, serving: ImageKey, fillers: &[FillerLoad]) -> f64 {
        fillers.iter().map(|it| self.cost_percent(serving, it.image) * it.cores).sum()
    }

    /// Learns from what was reported of one VM.
    pub fn observe(&mut self, serving: &[ServingTask], fillers: &[FillerLoad], now_ms: u64) {
        if REMEMBERED_MAX <= self.read.len() {
            self.read.retain(|_, it| now_ms < it.at_ms + READING_KEPT_MS);
        }
        for it in serving {
            self.observe_one(it, fillers, now_ms);
        }
        if self.compared_ms + COMPARED_MS <= now_ms {
            self.compared_ms = now_ms;
            self.estimates = CostEstimates::new(self.readings());
        }
    }

    /// Returns what readings tell of the images seen last.
    fn readings(&self) -> PairObservations {
        let mut rows: Vec<_> = self.filters.iter().collect();
        rows.sort_by_key(|(image, it)| (Reverse(it.changed_ms()), **image));
        rows.truncate(COMPARED_MAX);
        let mut fillers = Vec::new();
        for (image, _) in rows.iter().flat_map(|(_, it)| it.costs()) {
            if !fillers.contains(&image) && fillers.len() < COMPARED_MAX {
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
        if REMEMBERED_MAX <= self.read.len() && !self.read.contains_key(&it.run) {
            return;
        }
        let read = self.read.entry(it.run).or_default();
        let passed_ms = now_ms.saturating_sub(std::mem::replace(&mut read.at_ms, now_ms));
        let works_off_queue = read.over_ms.is_some_and(|at_ms| now_ms < at_ms + QUEUE_MS);
        if it.headroom_percent < OVERLOADED_PERCENT {
            read.over_ms = Some(now_ms);
        } else if works_off_queue {
            return;
        }
        if REMEMBERED_MAX <= self.filters.len() && !self.filters.contains_key(&it.image) {
            return;
        }
        let reading = HeadroomReading {
            group: StepRef::of_task(it.run.task),
            headroom_percent: it.headroom_percent,
            noise: noise(it.headroom_percent, passed_ms),
            fillers,
        };
        self.filters.entry(it.image).or_default().observe(&reading, now_ms);
    }
}

/// Returns how rough a reading is (variance) that follows another of the same task.
fn noise(headroom_percent: f64, passed_ms: u64) -> f64 {
    let deviation_percent = headroom_percent * READING_DEVIATION;
    let overlap = READ_MS as f64 / passed_ms.clamp(READ_MIN_MS, READ_MS) as f64;
    deviation_percent * deviation_percent * overlap + ROUGH_MIN_PERCENT * ROUGH_MIN_PERCENT
}
