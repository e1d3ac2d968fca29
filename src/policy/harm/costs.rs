//! What fillers cost one image that serves, by a filter over readings.

use crate::policy::harm::{Filler, alike::Evidence, images::ImageKey};

/// What a core of a pair not seen yet is taken to cost, in percent of headroom: four fillers of
/// eight cores halve what a service at half load has left.
pub const UNKNOWN_PERCENT: f64 = 4.0;

/// How far a pair may lie from that (standard deviation): on the users' VMs most pairs cost about
/// 1 and some 10.
pub(super) const UNKNOWN_DEVIATION_PERCENT: f64 = 5.0;

/// How far a cost may be off that an earlier leader had learned (standard deviation).
const KNOWN_DEVIATION_PERCENT: f64 = 2.0;

/// How far a cost wanders in a second (standard deviation): little enough that a minute-old one
/// still counts. Costs fitted over spans of ten seconds on the users' VMs agree within their
/// errors; on ten played days 27 % of the harmless pairs were taken for harmful ones at 1.0, and
/// 17 % at 0.2.
const WANDER_PERCENT: f64 = 0.2;

/// Largest cost of a core.
const COST_MAX_PERCENT: f64 = 100.0;

/// Least weight of readings of a pair that counts as evidence, as the inverse of a variance: one
/// rough reading.
const EVIDENCE_MIN: f64 = 0.002;

/// Images of fillers remembered for each image that serves: estimates take the square of it.
const IMAGES_MAX: usize = 32;

/// What a core of each image of fillers costs one image that serves: a Kalman filter, since
/// several images share the blame for one reading, and only their mixture over time tells them
/// apart.
#[derive(Clone, Debug, Default)]
pub(super) struct Costs {
    images: Vec<ImageKey>,
    /// By image, in percent of headroom a core.
    means: Vec<f64>,
    /// How estimates may be off together: a square, row by row in the order of the images.
    covariances: Vec<Vec<f64>>,
    seen_ms: Vec<u64>,
    at_ms: u64,
}

impl Costs {
    pub(super) fn get(&self, image: ImageKey) -> Option<f64> {
        let at = self.images.iter().position(|it| *it == image)?;
        Some(self.means[at])
    }

    /// Returns what readings tell of an image, without what was taken for likely before.
    pub(super) fn evidence(&self, image: ImageKey) -> Option<Evidence> {
        let at = self.images.iter().position(|it| *it == image)?;
        let unknown = UNKNOWN_DEVIATION_PERCENT * UNKNOWN_DEVIATION_PERCENT;
        let variance = self.covariances[at][at];
        let precision = 1.0 / variance - 1.0 / unknown;
        let mean = (self.means[at] / variance - UNKNOWN_PERCENT / unknown) / precision;
        (EVIDENCE_MIN <= precision).then_some(Evidence { mean, variance: 1.0 / precision })
    }

    /// Returns when the costs last changed.
    pub(super) fn changed_ms(&self) -> u64 {
        self.at_ms
    }

    /// Returns the place of an image; the one not seen for longest makes way where there are too
    /// many.
    fn place_of(&mut self, image: ImageKey, now_ms: u64) -> usize {
        if let Some(at) = self.images.iter().position(|it| *it == image) {
            return at;
        }
        if IMAGES_MAX <= self.images.len()
            && let Some(at) = (0..self.images.len()).min_by_key(|at| self.seen_ms[*at])
        {
            self.remove(at);
        }
        self.images.push(image);
        self.means.push(UNKNOWN_PERCENT);
        self.seen_ms.push(now_ms);
        self.covariances.iter_mut().for_each(|row| row.push(0.0));
        let mut row = vec![0.0; self.images.len()];
        row[self.images.len() - 1] = UNKNOWN_DEVIATION_PERCENT * UNKNOWN_DEVIATION_PERCENT;
        self.covariances.push(row);
        self.images.len() - 1
    }

    /// Takes over what an earlier leader had learned of an image.
    pub(super) fn set_known(&mut self, image: ImageKey, percent: f64, now_ms: u64) {
        self.at_ms = now_ms;
        let at = self.place_of(image, now_ms);
        self.means[at] = percent;
        self.covariances[at][at] = KNOWN_DEVIATION_PERCENT * KNOWN_DEVIATION_PERCENT;
    }

    /// Returns all images with their costs.
    pub(super) fn iter(&self) -> impl Iterator<Item = (ImageKey, f64)> {
        self.images.iter().copied().zip(self.means.iter().copied())
    }

    fn remove(&mut self, at: usize) {
        self.images.remove(at);
        self.means.remove(at);
        self.seen_ms.remove(at);
        self.covariances.remove(at);
        self.covariances.iter_mut().for_each(|row| {
            row.remove(at);
        });
    }

    /// Lets time pass, in which the truth may have changed.
    fn age(&mut self, now_ms: u64) {
        let passed_s = now_ms.saturating_sub(self.at_ms) as f64 / 1_000.0;
        self.at_ms = now_ms;
        let most = UNKNOWN_DEVIATION_PERCENT * UNKNOWN_DEVIATION_PERCENT;
        for at in 0..self.images.len() {
            let variance = &mut self.covariances[at][at];
            *variance = (*variance + WANDER_PERCENT * WANDER_PERCENT * passed_s).min(most);
        }
    }

    /// Moves the costs of fillers by what is missing beside what they were known to take.
    pub(super) fn blame(
        &mut self,
        fillers: &[Filler],
        missing_percent: f64,
        noise: f64,
        now_ms: u64,
    ) {
        self.age(now_ms);
        for it in fillers {
            let at = self.place_of(it.image, now_ms);
            self.seen_ms[at] = now_ms;
        }
        // Placed first: an image that makes way moves the places of others.
        let mut cores = vec![0.0; self.images.len()];
        for it in fillers {
            if let Some(at) = self.images.iter().position(|image| *image == it.image) {
                cores[at] += it.cores;
            }
        }
        let dot = |row: &Vec<f64>| row.iter().zip(&cores).map(|(a, b)| a * b).sum::<f64>();
        let spread: Vec<f64> = self.covariances.iter().map(dot).collect();
        let doubt = noise + spread.iter().zip(&cores).map(|(a, b)| a * b).sum::<f64>();
        for (at, mean) in self.means.iter_mut().enumerate() {
            let moved = *mean + spread[at] / doubt * missing_percent;
            *mean = moved.clamp(0.0, COST_MAX_PERCENT);
        }
        for (row_at, row) in self.covariances.iter_mut().enumerate() {
            for (at, it) in row.iter_mut().enumerate() {
                *it -= spread[row_at] * spread[at] / doubt;
            }
        }
    }
}
