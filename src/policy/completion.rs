//! Forecasts when a workflow ends: from its own steps, the work that goes before it, and the
//! capacity that serves both.

use crate::policy::forecast::RunTimeForecast;

/// Probabilities with which a step ends by its early, median and late time.
const EARLY_PROBABILITY: f64 = 0.1;
const MEDIAN_PROBABILITY: f64 = 0.5;
const LATE_PROBABILITY: f64 = 0.9;

/// Millicores of one core.
const MILLICORES_PER_CORE: f64 = 1_000.0;

/// A forecast quantity: early, median and late.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    pub early: f64,
    pub median: f64,
    pub late: f64,
}

impl Estimate {
    /// Adds another quantity, case by case.
    pub fn add(&mut self, other: Estimate) {
        self.early += other.early;
        self.median += other.median;
        self.late += other.late;
    }

    /// Returns the larger quantity, case by case.
    pub fn max(self, other: Estimate) -> Estimate {
        Estimate {
            early: self.early.max(other.early),
            median: self.median.max(other.median),
            late: self.late.max(other.late),
        }
    }
}

/// A step of a workflow, with the forecast run time of one task.
#[derive(Clone, Copy, Debug)]
pub struct StepForecast<'a> {
    pub run_time: RunTimeForecast,
    /// Tasks that have not ended.
    pub tasks: u32,
    pub cpu_millicores: u32,
    /// Indexes of earlier steps that must complete first.
    pub after: &'a [u32],
}

impl StepForecast<'_> {
    /// Returns the processor time, in core-milliseconds, of this many tasks. The early case is the
    /// median, since long and short runs of many tasks offset each other.
    pub fn work_core_ms(&self, tasks: u32) -> Estimate {
        let cores = f64::from(tasks) * f64::from(self.cpu_millicores) / MILLICORES_PER_CORE;
        let median = cores * self.run_time.median_ms() as f64;
        Estimate { early: median, median, late: cores * self.run_time.late_ms() as f64 }
    }
}

/// Returns the time that the longest chain of steps takes where every task begins at once.
pub fn chain_ms(steps: &[StepForecast<'_>]) -> Estimate {
    let longest = |probability| {
        let mut ends_ms: Vec<f64> = Vec::with_capacity(steps.len());
        for it in steps {
            let ends = it.after.iter().filter_map(|index| ends_ms.get(*index as usize));
            let begin_ms = ends.copied().fold(0.0, f64::max);
            let run_ms = match it.tasks {
                0 => 0,
                tasks => it.run_time.all_end_ms(tasks, probability),
            };
            ends_ms.push(begin_ms + run_ms as f64);
        }
        ends_ms.into_iter().fold(0.0, f64::max)
    };
    Estimate {
        early: longest(EARLY_PROBABILITY),
        median: longest(MEDIAN_PROBABILITY),
        late: longest(LATE_PROBABILITY),
    }
}

/// What competes for one kind of capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Competition {
    /// Processor time of the work that goes before, in core-milliseconds.
    pub ahead_core_ms: Estimate,
    /// Processor time of the workflow itself.
    pub own_core_ms: Estimate,
    /// Cores that serve such work; the most are the early case.
    pub cores: Estimate,
}

/// Returns in how many milliseconds a workflow ends, with infinity where nothing serves it.
///
/// The early case is the work at full use of all capacity, or the early case of the chain if that is
/// longer: no order of tasks with these run times ends sooner. The late case is one from above for any order that leaves no fitting
/// capacity idle (Graham, *Bounds on multiprocessing timing anomalies*, 1969).
pub fn completion_ms(chain: Estimate, competitions: &[Competition]) -> Estimate {
    let mut res = chain;
    for it in competitions.iter().filter(|it| 0.0 < it.own_core_ms.median) {
        let (ahead, own, cores) = (it.ahead_core_ms, it.own_core_ms, it.cores);
        res = res.max(Estimate {
            early: (ahead.early + own.early) / cores.early,
            median: ahead.median / cores.median + chain.median.max(own.median / cores.median),
            late: (ahead.late + own.late) / cores.late + chain.late,
        });
    }
    res
}
