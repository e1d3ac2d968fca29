//! Estimates how slow a worker is from the progress of the runs on it.
//!
//! A slow worker reports itself as healthy. What shows it is that runs of several kinds take longer
//! there than their siblings elsewhere, all at once. Three causes are told apart:
//!
//! - *The worker:* the runs of all kinds on it are slow.
//! - *The kind* (its image, or its load): its runs are slow on every worker. Readings are relative to
//!   the run's siblings on other workers, see [`expected_log_ratio`], so they show nothing then.
//! - *Contention* of a pair of kinds: the runs of one kind are slow, others on the worker are not.
//!   Readings of one kind count for at most [`KIND_READINGS_MAX`].
//!
//! The estimate is the posterior distribution over a few slowdowns. A reading may come from a run
//! that is long by itself, so the influence of each is bounded (a mixture with a wide component, as
//! in Huber, *Robust statistics*), and one run counts once, however often it reports.

/// Time in which a reading loses half of its weight: slowness begins and ends within seconds, and
/// workers report twice a second.
const HALF_LIFE_MS: u64 = 700;

/// Age from which a reading is no longer used: it has 5 % of its weight.
pub const READING_MAX_AGE_MS: u64 = 3_000;

/// Readings that all runs of one kind on a worker count for together, since a common cause such as
/// contention may slow down all of them.
const KIND_READINGS_MAX: f64 = 3.0;

/// The same if the worker runs no other kind. Contention cannot be told from slowness then, and does
/// the same to callers.
const ONLY_KIND_READINGS_MAX: f64 = 6.0;

/// The slowdowns that a worker may have. Less than a factor of 1.5 is not worth a decision.
const SLOWDOWNS: [f64; 7] = [1.5, 2.0, 3.0, 4.0, 5.0, 7.0, 10.0];

/// Slowdown from which a worker is slow: below it, a task is served sooner by starting there than by
/// waiting for a place elsewhere.
const SLOW_FACTOR: f64 = 2.0;

/// Share of runs that take much longer than their siblings by themselves.
const LONG_RUN_SHARE: f64 = 0.05;

/// Mean and standard deviation of the natural logarithm by which such runs take longer: a factor of
/// 2 to 12 for two thirds of them.
const LONG_RUN_LOG_MEAN: f64 = 1.6;
const LONG_RUN_LOG_SPREAD: f64 = 0.9;

/// Prior probability that a worker is slow while it is taken as normal, and while it is taken as
/// slow.
const PRIOR_OF_NORMAL: f64 = 0.01;
const PRIOR_OF_SLOW: f64 = 0.5;

/// Probability at which a worker counts as slow. A worker wrongly taken as slow is used last for some
/// seconds, and some of its runs may be stopped, so one false alarm in 5,000 readings is the most
/// that callers do not notice. With the prior, three long runs in a row are needed for one.
const SLOW_PROBABILITY: f64 = 0.95;

/// Probability below which a slow worker counts as recovered.
const RECOVERED_PROBABILITY: f64 = 0.1;

/// Weight of readings that it takes to see a recovery: about one fresh reading.
const RECOVERY_WEIGHT_MIN: f64 = 0.8;

/// Spread of the logarithm of run times between tasks of one step on workers of normal speed.
const SIBLING_SPREAD: f64 = 0.25;

/// Siblings of one step from which their median replaces the forecast, and runs of one kind from
/// which it corrects the forecast.
const STEP_SIBLINGS_MIN: usize = 3;
const KIND_SIBLINGS_MIN: usize = 5;

/// One run's time per progress, compared with what is expected on a worker of normal speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedReading {
    /// Identifies the kind of the run.
    pub kind: u32,
    /// Natural logarithm of the time per progress over that expected.
    pub log_ratio: f64,
    /// Variance of `log_ratio` on a worker of known speed.
    pub variance: f64,
    pub age_ms: u64,
}

/// The probable slowdown of one worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowdownEstimate {
    /// Probability that the worker is slow.
    pub slow_probability: f64,
    /// Mean and variance of the natural logarithm of the slowdown, if the worker is slow.
    pub log_slowdown: f64,
    pub log_variance: f64,
    /// Number of fresh readings that the estimate is worth.
    pub weight: f64,
}

/// Returns the natural logarithm of the run time over the forecast that is expected of a run, and its
/// variance.
///
/// `step` and `kind` hold this ratio for runs of the same step and of the same kind on other workers.
/// Tasks of a step share the error of its declared run time, so they tell most. Medians are used,
/// since some of the others may be long by themselves or on slow workers.
pub fn expected_log_ratio(step: &mut [f64], kind: &mut [f64], forecast_spread: f64) -> (f64, f64) {
    let own_variance = SIBLING_SPREAD * SIBLING_SPREAD;
    let forecast_variance = forecast_spread * forecast_spread;
    if STEP_SIBLINGS_MIN <= step.len() {
        let variance = own_variance + median_variance(own_variance, step.len());
        return (median(step), variance);
    }
    let variance = own_variance + forecast_variance;
    match KIND_SIBLINGS_MIN <= kind.len() {
        true => (median(kind), variance + median_variance(variance, kind.len())),
        false => (0.0, variance),
    }
}

fn median(values: &mut [f64]) -> f64 {
    let index = values.len() / 2;
    *values.select_nth_unstable_by(index, f64::total_cmp).1
}

/// Returns the variance of a median of normal values, which is about 1.6 times that of their mean.
fn median_variance(variance: f64, count: usize) -> f64 {
    1.6 * variance / count as f64
}

/// Returns the estimate for a worker that has been taken as slow or not until now.
pub fn estimate_slowdown(readings: &[SpeedReading], was_slow: bool) -> SlowdownEstimate {
    let prior = if was_slow { PRIOR_OF_SLOW } else { PRIOR_OF_NORMAL };
    let mut logs = [0.0; SLOWDOWNS.len()];
    let mut weight_sum = 0.0;
    for it in readings {
        let weight = weight_of(it) * kind_share(readings, it.kind);
        weight_sum += weight;
        let normal = log_density(it, 0.0);
        for (log, slowdown) in logs.iter_mut().zip(SLOWDOWNS) {
            *log += weight * (log_density(it, slowdown.ln()) - normal);
        }
    }
    let slow_prior = prior / (SLOWDOWNS.len() as f64);
    let largest = logs.iter().copied().fold(0.0, f64::max);
    let normal = (1.0 - prior) * (-largest).exp();
    let shares = logs.map(|it| slow_prior * (it - largest).exp());
    let total = normal + shares.iter().sum::<f64>();
    let slow = || shares.iter().zip(SLOWDOWNS).filter(|(_, it)| SLOW_FACTOR <= *it);
    let slow_sum = slow().map(|(it, _)| it).sum::<f64>();
    let moment = |power: i32| slow().map(|(it, x)| it * x.ln().powi(power)).sum::<f64>() / slow_sum;
    let log_slowdown = moment(1);
    SlowdownEstimate {
        slow_probability: slow_sum / total,
        log_slowdown,
        log_variance: (moment(2) - log_slowdown * log_slowdown).max(0.0),
        weight: weight_sum,
    }
}

impl SlowdownEstimate {
    /// Returns whether there are enough fresh readings to see a recovery.
    pub fn is_informed(&self) -> bool {
        RECOVERY_WEIGHT_MIN <= self.weight
    }

    /// Returns whether the worker counts as slow.
    pub fn is_slow(&self, was_slow: bool) -> bool {
        match was_slow {
            false => SLOW_PROBABILITY <= self.slow_probability,
            true => !self.is_informed() || RECOVERED_PROBABILITY <= self.slow_probability,
        }
    }
}

fn weight_of(it: &SpeedReading) -> f64 {
    match it.age_ms {
        READING_MAX_AGE_MS.. => 0.0,
        age_ms => 0.5_f64.powf(age_ms as f64 / HALF_LIFE_MS as f64),
    }
}

/// Returns the share of their weight that the readings of a kind have.
fn kind_share(readings: &[SpeedReading], kind: u32) -> f64 {
    let weight_where = |is_of_kind: bool| -> f64 {
        readings.iter().filter(|it| (it.kind == kind) == is_of_kind).map(weight_of).sum()
    };
    let weight = weight_where(true);
    let weight_max = match weight_where(false) {
        ..1.0 => ONLY_KIND_READINGS_MAX,
        _ => KIND_READINGS_MAX,
    };
    if weight <= weight_max { 1.0 } else { weight_max / weight }
}

/// Returns the logarithm of the density of a reading on a worker with the given slowdown.
fn log_density(it: &SpeedReading, log_slowdown: f64) -> f64 {
    let error = it.log_ratio - log_slowdown;
    let usual = normal_density(error, it.variance);
    let long_variance = it.variance + LONG_RUN_LOG_SPREAD * LONG_RUN_LOG_SPREAD;
    let long = normal_density(error - LONG_RUN_LOG_MEAN, long_variance);
    // Some runs end early or are misjudged; the floor bounds their influence.
    const FLOOR: f64 = 0.002;
    ((1.0 - LONG_RUN_SHARE) * usual + LONG_RUN_SHARE * long + FLOOR).ln()
}

fn normal_density(error: f64, variance: f64) -> f64 {
    (-0.5 * error * error / variance).exp() / (2.0 * std::f64::consts::PI * variance).sqrt()
}
