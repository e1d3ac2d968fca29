//! How much fillers lengthen the tails of tasks that serve, learned while they run.
//!
//! The model is a sum: the tail of an image, in percent of its bound, is what it is at rest and a
//! share for each core that each image of fillers uses beside it. The reports credit what was in
//! use in the same half second as the tail was measured in, so no history is needed.

use std::collections::HashMap;

use crate::prelude::*;

/// Step of an estimate towards a new observation.
const GAIN: f64 = 0.2;

/// Harm of a core of an image not seen yet, in percent of the bound: four fillers of six cores
/// lead a tail at rest to its bound.
const UNKNOWN_PERCENT: f64 = 1.5;

/// Tail at rest of an image not seen yet, in percent of the bound.
const UNKNOWN_REST_PERCENT: f64 = 40.0;

/// Tails are cut at this: beyond the bound a queue grows without measure, and says little.
const TAIL_MAX_PERCENT: f64 = 200.0;

/// Largest harm of a core.
const HARM_MAX_PERCENT: f64 = 60.0;

/// Images remembered of either kind.
const IMAGES_MAX: usize = 10_000;

/// A task that serves, as reported.
#[derive(Clone, Debug, PartialEq)]
pub struct Serving {
    pub image: CompactString,
    /// Tail latency in percent of its bound.
    pub tail_percent: f64,
}

/// A filler beside it.
#[derive(Clone, Debug, PartialEq)]
pub struct Filler {
    pub image: CompactString,
    /// Processor that it uses, or would.
    pub cores: f64,
}

/// What is known of images beside each other.
#[derive(Clone, Debug, Default)]
pub struct Harm {
    rest: HashMap<CompactString, f64>,
    pairs: HashMap<(CompactString, CompactString), f64>,
    /// What a filler's image does on the whole, for pairs not seen yet.
    fillers: HashMap<CompactString, f64>,
}

impl Harm {
    /// Returns what a core of `filler` adds to the tail of `serving`, in percent of its bound.
    pub fn of(&self, serving: &str, filler: &str) -> f64 {
        let pair = self.pairs.get(&(serving.into(), filler.into()));
        pair.or_else(|| self.fillers.get(filler)).copied().unwrap_or(UNKNOWN_PERCENT)
    }

    /// Returns the tail of `serving` with nothing beside it, in percent of its bound.
    pub fn rest(&self, serving: &str) -> f64 {
        self.rest.get(serving).copied().unwrap_or(UNKNOWN_REST_PERCENT)
    }

    /// Returns the tail of `serving` to expect beside `fillers`, in percent of its bound.
    pub fn predict(&self, serving: &str, fillers: &[Filler]) -> f64 {
        let added = fillers.iter().map(|it| self.of(serving, &it.image) * it.cores);
        self.rest(serving) + added.sum::<f64>()
    }

    /// Learns from what was reported of one VM.
    pub fn observe(&mut self, serving: &[Serving], fillers: &[Filler]) {
        if IMAGES_MAX <= self.rest.len() || IMAGES_MAX <= self.fillers.len() {
            return;
        }
        for it in serving {
            self.observe_one(it, fillers);
        }
    }

    fn observe_one(&mut self, it: &Serving, fillers: &[Filler]) {
        let tail_percent = it.tail_percent.min(TAIL_MAX_PERCENT);
        let error = tail_percent - self.predict(&it.image, fillers);
        let power: f64 = fillers.iter().map(|it| it.cores * it.cores).sum();
        if power < 0.25 {
            let rest = self.rest.entry(it.image.clone()).or_insert(tail_percent);
            *rest += (tail_percent - *rest) * GAIN;
            return;
        }
        // Normalised least mean squares: each filler is credited in proportion to its cores.
        for filler in fillers {
            let known = self.of(&it.image, &filler.image);
            let step = GAIN * error * filler.cores / power;
            let learned = (known + step).clamp(0.0, HARM_MAX_PERCENT);
            self.pairs.insert((it.image.clone(), filler.image.clone()), learned);
            let whole = self.fillers.entry(filler.image.clone()).or_insert(known);
            *whole = (*whole + step / 4.0).clamp(0.0, HARM_MAX_PERCENT);
        }
    }
}
