//! Estimates for pairs of images with few or no readings, derived from similar images.
//!
//! Best-effort tasks (fillers) and services contend for a few shared resources of a VM, so images
//! form groups: on the users' VMs each filler image costs a service either about 1 or 8 to 20 % of
//! headroom per core, and images that are expensive for one service are expensive for the same
//! other services. The costs are a table with a row per service and a column per filler image. An
//! unobserved pair is estimated from rows and columns that agree with its own where both are known.
//! Without any, the estimate consists of the pair's own readings and the prior for unknown pairs.

use crate::policy::contention::{
    headroom_filter::{UNKNOWN_COST_DEVIATION_PERCENT, UNKNOWN_COST_PERCENT},
    images::ImageKey,
};

/// Variance of the costs of similar images, in percent squared: cheap images of one group differ by
/// about 2 % of headroom per core.
const SIMILAR_VARIANCE: f64 = 4.0;

/// Additional standard deviation as a share of the cost: expensive images range from 8 to 20 %.
const SIMILAR_DEVIATION_SHARE: f64 = 0.25;

/// Variance of the costs of unrelated images: that of the prior for unknown pairs.
const UNRELATED_VARIANCE: f64 = UNKNOWN_COST_DEVIATION_PERCENT * UNKNOWN_COST_DEVIATION_PERCENT;

/// The cost of a pair by its own readings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostObservation {
    /// In percent of headroom per core.
    pub mean: f64,
    /// In percent squared.
    pub variance: f64,
}

/// The observed costs of pairs of images.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PairObservations {
    /// Serving images.
    pub serving: Vec<ImageKey>,
    /// Filler images.
    pub fillers: Vec<ImageKey>,
    /// By serving image, then by filler image; `None` for unobserved pairs.
    pub pairs: Vec<Vec<Option<CostObservation>>>,
}

/// Costs of all pairs of compared images, in a dense table that is indexed by image key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CostEstimates {
    /// By image key: the row, if the image was compared as a serving image.
    rows: Vec<Option<u16>>,
    /// By image key: the column, if the image was compared as a filler image.
    columns: Vec<Option<u16>>,
    costs_percent: Vec<Vec<f64>>,
    /// By column: the mean over the compared serving images and the prior for unknown pairs.
    means_percent: Vec<f64>,
}

impl CostEstimates {
    /// Derives the estimates from the observed costs.
    pub fn new(readings: PairObservations) -> CostEstimates {
        let costs_percent = costs_percent(&readings);
        let mean = |column: usize| {
            let sum: f64 = costs_percent.iter().map(|row| row[column]).sum();
            (UNKNOWN_COST_PERCENT + sum) / (1.0 + costs_percent.len() as f64)
        };
        CostEstimates {
            rows: indices_by_key(&readings.serving),
            columns: indices_by_key(&readings.fillers),
            means_percent: (0..readings.fillers.len()).map(mean).collect(),
            costs_percent,
        }
    }

    /// Returns the headroom that one core of `filler` uses of `serving`, in percent, if both images
    /// were compared.
    pub fn get(&self, serving: ImageKey, filler: ImageKey) -> Option<f64> {
        let column = index_of(&self.columns, filler)?;
        Some(self.costs_percent[index_of(&self.rows, serving)?][column])
    }

    /// Returns the headroom that one core of `filler` uses of an unknown service, in percent: the
    /// mean over the compared services. Returns `None` for a filler image that was not compared.
    pub fn mean_percent(&self, filler: ImageKey) -> Option<f64> {
        Some(self.means_percent[index_of(&self.columns, filler)?])
    }
}

/// Returns a table from image key to the index in `images`.
fn indices_by_key(images: &[ImageKey]) -> Vec<Option<u16>> {
    let length = images.iter().map(|it| it.index() + 1).max().unwrap_or(0);
    let mut res = vec![None; length];
    for (at, it) in images.iter().enumerate() {
        res[it.index()] = u16::try_from(at).ok();
    }
    res
}

fn index_of(indices_by_key: &[Option<u16>], image: ImageKey) -> Option<usize> {
    indices_by_key.get(image.index()).copied().flatten().map(usize::from)
}

fn costs_percent(readings: &PairObservations) -> Vec<Vec<f64>> {
    let (rows, columns) = (readings.serving.len(), readings.fillers.len());
    let pairs = &readings.pairs;
    let row_weights = similarities(rows, columns, |row, column| pairs[row][column]);
    let column_weights = similarities(columns, rows, |column, row| pairs[row][column]);
    let cost = |row: usize, column: usize| {
        let mut mean = WeightedMean::unknown();
        for (other, weight) in row_weights[row].iter().enumerate() {
            mean.add_similar(pairs[other][column], *weight);
        }
        for (other, weight) in column_weights[column].iter().enumerate() {
            mean.add_similar(pairs[row][other], *weight);
        }
        mean.add(pairs[row][column], 1.0, 0.0);
        mean.get().max(0.0)
    };
    (0..rows).map(|row| (0..columns).map(|column| cost(row, column)).collect()).collect()
}

/// Returns for each line of a table the probability that each other line is similar; 0.5 for lines
/// with no observed pair in common.
fn similarities(
    lines: usize,
    length: usize,
    at: impl Fn(usize, usize) -> Option<CostObservation>,
) -> Vec<Vec<f64>> {
    let similarity = |one: usize, other: usize| {
        if one == other {
            return 0.0;
        }
        let both = (0..length).filter_map(|it| Some((at(one, it)?, at(other, it)?)));
        let log_odds: f64 = both.map(|(a, b)| log_likelihood_ratio(a, b)).sum();
        1.0 / (1.0 + (-log_odds).exp())
    };
    (0..lines).map(|one| (0..lines).map(|other| similarity(one, other)).collect()).collect()
}

/// Returns the logarithm of the likelihood of the difference of two costs among similar images,
/// relative to its likelihood among unrelated images.
fn log_likelihood_ratio(one: CostObservation, other: CostObservation) -> f64 {
    let difference = one.mean - other.mean;
    let square = difference * difference;
    let noise = one.variance + other.variance;
    let mean = (one.mean + other.mean) / 2.0;
    let (similar, unrelated) = (noise + similar_variance(mean), noise + UNRELATED_VARIANCE);
    0.5 * ((unrelated / similar).ln() - square / similar + square / unrelated)
}

/// Returns the variance of costs around `mean` among similar images.
fn similar_variance(mean: f64) -> f64 {
    let part = SIMILAR_DEVIATION_SHARE * mean.max(0.0);
    SIMILAR_VARIANCE + part * part
}

/// A mean of costs, weighted by precision.
#[derive(Clone, Copy, Debug)]
struct WeightedMean {
    sum: f64,
    precision: f64,
}

impl WeightedMean {
    fn unknown() -> WeightedMean {
        let precision = 1.0 / UNRELATED_VARIANCE;
        WeightedMean { sum: UNKNOWN_COST_PERCENT * precision, precision }
    }

    fn add(&mut self, it: Option<CostObservation>, weight: f64, variance: f64) {
        if let Some(it) = it {
            let precision = weight / (it.variance + variance);
            self.sum += it.mean * precision;
            self.precision += precision;
        }
    }

    /// Adds the cost of a pair that is similar with probability `weight`.
    fn add_similar(&mut self, it: Option<CostObservation>, weight: f64) {
        let variance = it.map_or(SIMILAR_VARIANCE, |it| similar_variance(it.mean));
        self.add(it, weight, variance);
    }

    fn get(self) -> f64 {
        self.sum / self.precision
    }
}
