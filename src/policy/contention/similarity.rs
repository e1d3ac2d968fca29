//! Costs of pairs that were seldom seen beside each other, told by images that behave alike.
//!
//! What fillers and services contend for are a few shared resources of a VM, so images fall into
//! groups: on the users' VMs each image of fillers costs a service either about 1 or 8 to 20 %
//! of headroom a core, and those that are dear to one service are dear to the same others. A pair that was
//! never seen is told by the rows and columns that agree with its own where both are known. Where
//! none agrees, what remains is the pair's own readings and the cost of an unknown pair.

use crate::policy::contention::{
    headroom_filter::{UNKNOWN_COST_DEVIATION_PERCENT, UNKNOWN_COST_PERCENT},
    images::ImageKey,
};

/// How far the costs of images that behave alike lie apart (variance, in percent squared): cheap
/// ones of one group differ by about 2 % of headroom a core.
const ALIKE_VARIANCE: f64 = 4.0;

/// Share of a cost that those of its group differ by beside that: dear ones lie between 8 and 20.
const ALIKE_PART: f64 = 0.25;

/// The same of images that have nothing to do with each other: what an unknown pair may be off.
const UNLIKE_VARIANCE: f64 = UNKNOWN_COST_DEVIATION_PERCENT * UNKNOWN_COST_DEVIATION_PERCENT;

/// A cost as readings of its own pair tell it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostObservation {
    /// In percent of headroom a core.
    pub mean: f64,
    /// How far that may be off, in percent squared.
    pub variance: f64,
}

/// What readings tell of pairs of images.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PairObservations {
    /// Images that serve.
    pub serving: Vec<ImageKey>,
    /// Images of fillers.
    pub fillers: Vec<ImageKey>,
    /// By image that serves, then by image of fillers; nothing for pairs not seen.
    pub pairs: Vec<Vec<Option<CostObservation>>>,
}

/// Costs of all pairs of images that were compared: a dense table, with the place of each image
/// in it by key, so that a cost is read without comparing names.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CostEstimates {
    /// By key of an image: its row, if it serves and was compared.
    rows: Vec<Option<u16>>,
    /// By key of an image: its column, if it fills and was compared.
    columns: Vec<Option<u16>>,
    costs_percent: Vec<Vec<f64>>,
    /// By column: the mean of those compared, and of the cost of an unknown pair.
    means_percent: Vec<f64>,
}

impl CostEstimates {
    /// Returns the estimates that follow from readings.
    pub fn new(readings: PairObservations) -> CostEstimates {
        let costs_percent = costs_percent(&readings);
        let mean = |column: usize| {
            let sum: f64 = costs_percent.iter().map(|row| row[column]).sum();
            (UNKNOWN_COST_PERCENT + sum) / (1.0 + costs_percent.len() as f64)
        };
        CostEstimates {
            rows: places(&readings.serving),
            columns: places(&readings.fillers),
            means_percent: (0..readings.fillers.len()).map(mean).collect(),
            costs_percent,
        }
    }

    /// Returns what a core of `filler` takes from `serving`, in percent of headroom, if both were
    /// compared with others.
    pub fn get(&self, serving: ImageKey, filler: ImageKey) -> Option<f64> {
        let column = place(&self.columns, filler)?;
        Some(self.costs_percent[place(&self.rows, serving)?][column])
    }

    /// Returns what a core of `filler` takes from a service of which nothing is known: the mean of
    /// those that were compared. Returns nothing for a filler that none of them was seen with.
    pub fn mean_percent(&self, filler: ImageKey) -> Option<f64> {
        Some(self.means_percent[place(&self.columns, filler)?])
    }
}

/// Returns by key where each of some images stands in their list.
fn places(images: &[ImageKey]) -> Vec<Option<u16>> {
    let length = images.iter().map(|it| it.index() + 1).max().unwrap_or(0);
    let mut res = vec![None; length];
    for (at, it) in images.iter().enumerate() {
        res[it.index()] = u16::try_from(at).ok();
    }
    res
}

fn place(places: &[Option<u16>], image: ImageKey) -> Option<usize> {
    places.get(image.index()).copied().flatten().map(usize::from)
}

fn costs_percent(readings: &PairObservations) -> Vec<Vec<f64>> {
    let (rows, columns) = (readings.serving.len(), readings.fillers.len());
    let pairs = &readings.pairs;
    let row_weights = likenesses(rows, columns, |row, column| pairs[row][column]);
    let column_weights = likenesses(columns, rows, |column, row| pairs[row][column]);
    let cost = |row: usize, column: usize| {
        let mut mean = WeightedMean::unknown();
        for (other, weight) in row_weights[row].iter().enumerate() {
            mean.add_alike(pairs[other][column], *weight);
        }
        for (other, weight) in column_weights[column].iter().enumerate() {
            mean.add_alike(pairs[row][other], *weight);
        }
        mean.add(pairs[row][column], 1.0, 0.0);
        mean.get().max(0.0)
    };
    (0..rows).map(|row| (0..columns).map(|column| cost(row, column)).collect()).collect()
}

/// Returns for each line of a table how likely each other line is to be alike, from 0 to 1; lines
/// with no pair in common count for half.
fn likenesses(
    lines: usize,
    length: usize,
    at: impl Fn(usize, usize) -> Option<CostObservation>,
) -> Vec<Vec<f64>> {
    let likeness = |one: usize, other: usize| {
        if one == other {
            return 0.0;
        }
        let both = (0..length).filter_map(|it| Some((at(one, it)?, at(other, it)?)));
        let log_odds: f64 = both.map(|(a, b)| log_likelihood_ratio(a, b)).sum();
        1.0 / (1.0 + (-log_odds).exp())
    };
    (0..lines).map(|one| (0..lines).map(|other| likeness(one, other)).collect()).collect()
}

/// Returns how much two costs speak for being alike: the logarithm of how much likelier their
/// difference is among alike images than among others.
fn log_likelihood_ratio(one: CostObservation, other: CostObservation) -> f64 {
    let difference = one.mean - other.mean;
    let square = difference * difference;
    let rough = one.variance + other.variance;
    let mean = (one.mean + other.mean) / 2.0;
    let (alike, unlike) = (rough + alike_variance(mean), rough + UNLIKE_VARIANCE);
    0.5 * ((unlike / alike).ln() - square / alike + square / unlike)
}

/// Returns how far costs around `mean` lie apart among images that behave alike.
fn alike_variance(mean: f64) -> f64 {
    let part = ALIKE_PART * mean.max(0.0);
    ALIKE_VARIANCE + part * part
}

/// A mean of costs, each weighted by how exactly it is known.
#[derive(Clone, Copy, Debug)]
struct WeightedMean {
    sum: f64,
    precision: f64,
}

impl WeightedMean {
    fn unknown() -> WeightedMean {
        let precision = 1.0 / UNLIKE_VARIANCE;
        WeightedMean { sum: UNKNOWN_COST_PERCENT * precision, precision }
    }

    fn add(&mut self, it: Option<CostObservation>, weight: f64, variance: f64) {
        if let Some(it) = it {
            let precision = weight / (it.variance + variance);
            self.sum += it.mean * precision;
            self.precision += precision;
        }
    }

    /// Adds the cost of a pair that is alike by `weight`.
    fn add_alike(&mut self, it: Option<CostObservation>, weight: f64) {
        let variance = it.map_or(ALIKE_VARIANCE, |it| alike_variance(it.mean));
        self.add(it, weight, variance);
    }

    fn get(self) -> f64 {
        self.sum / self.precision
    }
}
