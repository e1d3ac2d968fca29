//! How much fillers take from tasks that serve, learned while they run.
//!
//! The model is a queue: a tail grows as the inverse of what is left of a server, so the inverse
//! of the tail falls in proportion to load. [`headroom_percent`] is that inverse, and each core
//! that a filler uses takes a fixed amount of it, by the pair of images. On the users' VMs the
//! inverse explains a tail swinging between 13 and 31 ms by load alone to within 3 % (347 half
//! seconds); shares of the tail itself vary threefold for one pair.
//!
//! The tasks of one step serve one load, so they share what they have left without fillers. The
//! task of a step that fillers take least from tells it, now or a moment ago; what others have
//! less is their fillers' doing, whatever the load does meanwhile.

pub mod alike;
mod costs;
pub mod images;

use std::{cmp::Reverse, collections::HashMap};

use crate::prelude::*;

pub use self::costs::UNKNOWN_PERCENT;
use self::{
    alike::{Estimates, Readings},
    costs::Costs,
    images::{ImageKey, Images},
};

/// Pairs handed on to the next leader: some 20 KB in the log.
const KNOWN_MAX: usize = 1_000;

/// How rough one reading of a headroom is, as a share of it (standard deviation): tails come in
/// whole milliseconds, and sibling tasks differ by 3 % of their load.
const READING_DEVIATION: f64 = 0.1;

/// How far a load drifts from its reference in a second, in percent of headroom.
const DRIFT_PERCENT_PER_S: f64 = 40.0;

/// Headroom without fillers of a step not seen yet: between idle and the bound.
const UNKNOWN_REST_PERCENT: f64 = 250.0;

/// Headroom is cut at this: a service that is idle says little of one at work.
const HEADROOM_MAX_PERCENT: f64 = 1_000.0;

/// Age up to which a reading tells the load of its step; loads swing over many seconds.
const REFERENCE_MS: u64 = 2_000;

/// Cores of fillers that a newer reading may have more beside it than the one it replaces.
const ALIKE_CORES: f64 = 1.0;

/// Weight of a newer reading that replaces an alike one: single readings are rough.
const REFERENCE_GAIN: f64 = 0.5;

/// Headroom of a service that is over its bound, and works off a queue for some time after.
const OVERLOADED_PERCENT: f64 = 100.0;

/// Time for which its readings then tell of the queue, and not of load and fillers.
const QUEUE_MS: u64 = 1_000;

/// Time after which the rest of a step that is not seen is forgotten.
const REST_KEPT_MS: u64 = 30_000;

/// Interval at which images are compared anew: reports come no more often.
const COMPARED_MS: u64 = 250;

/// Images that serve, and of fillers, that are compared: 0.8 ms each time, 0.3 % of a core. Nine of
/// each take 0.02 ms.
const COMPARED_MAX: usize = 32;

/// Steps and serving images remembered.
const REMEMBERED_MAX: usize = 10_000;

/// Returns what a service has left: 100 at its bound, 200 with half the tail of its bound.
pub fn headroom_percent(tail_ms: u32, target_ms: u64) -> f64 {
    (target_ms as f64 * 100.0 / f64::from(tail_ms.max(1))).min(HEADROOM_MAX_PERCENT)
}

/// A task that serves, as reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Serving {
    pub run: RunRef,
    pub image: ImageKey,
    pub headroom_percent: f64,
}

/// A filler beside it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Filler {
    pub image: ImageKey,
    /// Processor that it uses, or would.
    pub cores: f64,
}

#[derive(Clone, Copy, Debug)]
struct Rest {
    headroom_percent: f64,
    /// Cores that fillers used beside the task it was read of.
    cores: f64,
    at_ms: u64,
}

/// What is known of images beside each other.
#[derive(Clone, Debug, Default)]
pub struct Harm {
    images: Images,
    rests: HashMap<StepRef, Rest>,
    /// When tasks were last over their bounds.
    overloaded_ms: HashMap<RunRef, u64>,
    /// By image of the serving task.
    costs: HashMap<ImageKey, Costs>,
    /// What images that behave alike add to that.
    estimates: Estimates,
    compared_ms: u64,
}

impl Harm {
    /// Takes over what an earlier leader had learned.
    pub fn with_known(costs: &[ImageCost], now_ms: u64) -> Harm {
        let mut res = Harm::default();
        for it in costs {
            let (serving, filler) = (res.image(&it.serving), res.image(&it.filler));
            let own = res.costs.entry(serving).or_default();
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
    pub fn known(&self) -> Vec<ImageCost> {
        let mut res = Vec::new();
        let mut serving: Vec<_> = self.costs.iter().collect();
        serving.sort_by_key(|(image, _)| self.images.name(**image));
        for (serving, costs) in serving {
            for (filler, percent) in costs.iter() {
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
        told.or_else(read).or_else(mean).unwrap_or(UNKNOWN_PERCENT)
    }

    /// Returns the same by readings of this pair alone, if there are any.
    fn read_cost_percent(&self, serving: ImageKey, filler: ImageKey) -> Option<f64> {
        self.costs.get(&serving).and_then(|it| it.get(filler))
    }

    /// Returns the headroom that the tasks of a step have with no filler beside them.
    pub fn rest_percent(&self, group: StepRef) -> f64 {
        self.rests.get(&group).map_or(UNKNOWN_REST_PERCENT, |it| it.headroom_percent)
    }

    /// Returns what `fillers` take from `serving` together, in percent of headroom.
    pub fn taken_percent(&self, serving: ImageKey, fillers: &[Filler]) -> f64 {
        fillers.iter().map(|it| self.cost_percent(serving, it.image) * it.cores).sum()
    }

    /// Learns from what was reported of one VM.
    pub fn observe(&mut self, serving: &[Serving], fillers: &[Filler], now_ms: u64) {
        if REMEMBERED_MAX <= self.rests.len() {
            self.rests.retain(|_, it| now_ms < it.at_ms + REST_KEPT_MS);
        }
        self.overloaded_ms.retain(|_, at_ms| now_ms < *at_ms + QUEUE_MS);
        for it in serving {
            self.observe_one(it, fillers, now_ms);
        }
        if self.compared_ms + COMPARED_MS <= now_ms {
            self.compared_ms = now_ms;
            self.estimates = Estimates::new(self.readings());
        }
    }

    /// Returns what readings tell of the images seen last.
    fn readings(&self) -> Readings {
        let mut rows: Vec<_> = self.costs.iter().collect();
        rows.sort_by_key(|(image, it)| (Reverse(it.changed_ms()), **image));
        rows.truncate(COMPARED_MAX);
        let mut fillers = Vec::new();
        for (image, _) in rows.iter().flat_map(|(_, it)| it.iter()) {
            if !fillers.contains(&image) && fillers.len() < COMPARED_MAX {
                fillers.push(image);
            }
        }
        let pairs = rows.iter().map(|(_, it)| fillers.iter().map(|image| it.evidence(*image)));
        Readings {
            serving: rows.iter().map(|(image, _)| **image).collect(),
            pairs: pairs.map(Iterator::collect).collect(),
            fillers,
        }
    }

    fn observe_one(&mut self, it: &Serving, fillers: &[Filler], now_ms: u64) {
        let cores = fillers.iter().map(|it| it.cores).sum();
        let group = StepRef::of(it.run.task);
        let works_off_queue = self.overloaded_ms.contains_key(&it.run);
        if it.headroom_percent < OVERLOADED_PERCENT {
            self.overloaded_ms.insert(it.run, now_ms);
        } else if works_off_queue {
            return;
        }
        // By readings alone, since the filter compares its own forecast with what it is told.
        let read = |filler: &Filler| self.read_cost_percent(it.image, filler.image);
        let cost = |filler: &Filler| read(filler).unwrap_or(UNKNOWN_PERCENT);
        let taken_percent: f64 = fillers.iter().map(|it| cost(it) * it.cores).sum();
        let headroom_percent = it.headroom_percent + taken_percent;
        let mut newest = Rest { headroom_percent, cores, at_ms: now_ms };
        let known = self.rests.get(&group).copied();
        if let Some(known) = known.filter(|it| now_ms < it.at_ms + REFERENCE_MS) {
            if known.cores + ALIKE_CORES < cores {
                let missing_percent = known.headroom_percent - headroom_percent;
                let drift_percent = DRIFT_PERCENT_PER_S * (now_ms - known.at_ms) as f64 / 1_000.0;
                let rough_percent = known.headroom_percent * READING_DEVIATION;
                let noise = rough_percent * rough_percent + drift_percent * drift_percent;
                if self.costs.len() < REMEMBERED_MAX || self.costs.contains_key(&it.image) {
                    let costs = self.costs.entry(it.image).or_default();
                    costs.blame(fillers, missing_percent, noise, now_ms);
                }
                return;
            }
            let change = newest.headroom_percent - known.headroom_percent;
            newest.headroom_percent = known.headroom_percent + change * REFERENCE_GAIN;
        }
        if self.rests.len() < REMEMBERED_MAX || known.is_some() {
            self.rests.insert(group, newest);
        }
    }
}
