//! Measures how much processor best-effort tasks get while some of them wait.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::{
    control::{
        dispatch::{run_monitor::RunKind, sessions::Sessions},
        state::Workflows,
    },
    policy::completion::Estimate,
    prelude::*,
};

/// Interval between two samples, half that of worker reports.
const SAMPLE_INTERVAL_MS: u64 = 250;

/// Time for which a sample counts: load changes within it.
const WINDOW_MS: u64 = 10_000;

/// Time for which samples are taken before they say anything.
const MEASURED_MIN_MS: u64 = 2_000;

#[derive(Clone, Copy, Debug)]
struct Sample {
    at_ms: u64,
    cores: f64,
}

/// The processor that best-effort tasks of each service got.
#[derive(Debug, Default)]
pub(super) struct Throughputs {
    samples: BTreeMap<CompactString, VecDeque<Sample>>,
    next_ms: u64,
}

impl Throughputs {
    /// Takes a sample of each service where best-effort tasks wait, if one is due.
    ///
    /// While none waits, their use shows their demand and not the capacity.
    pub(super) fn measure(&mut self, workflows: &Workflows, sessions: &Sessions, now_ms: u64) {
        if now_ms < self.next_ms {
            return;
        }
        self.next_ms = now_ms + SAMPLE_INTERVAL_MS;
        let waiting = services_with_waiting_fillers(workflows);
        self.samples.retain(|service, _| waiting.contains(service));
        let mut cores: BTreeMap<_, f64> = waiting.into_iter().map(|it| (it, 0.0)).collect();
        if cores.is_empty() {
            return;
        }
        for (id, worker) in workflows.workers().iter() {
            if let Some(sum) = cores.get_mut(&worker.service) {
                *sum += filler_cores(sessions, id);
            }
        }
        for (service, cores) in cores {
            let samples = self.samples.entry(service).or_default();
            samples.push_back(Sample { at_ms: now_ms, cores });
            while samples.front().is_some_and(|it| it.at_ms + WINDOW_MS < now_ms) {
                samples.pop_front();
            }
        }
    }

    /// Returns the cores that best-effort tasks of a service get: at most, on average and at least.
    /// Without enough samples the most is infinite, so that nothing is ruled out.
    pub(super) fn cores(&self, service: &str, unreserved_cores: f64, now_ms: u64) -> Estimate {
        let unknown =
            Estimate { early: f64::INFINITY, median: unreserved_cores, late: unreserved_cores };
        let Some(samples) = self.samples.get(service) else { return unknown };
        let is_measured = samples.front().is_some_and(|it| it.at_ms + MEASURED_MIN_MS <= now_ms);
        if !is_measured {
            return unknown;
        }
        let cores = || samples.iter().map(|it| it.cores);
        Estimate {
            early: cores().fold(unreserved_cores, f64::max),
            median: cores().sum::<f64>() / samples.len() as f64,
            late: cores().fold(f64::INFINITY, f64::min),
        }
    }
}

fn services_with_waiting_fillers(workflows: &Workflows) -> BTreeSet<CompactString> {
    let service_of = |it: StepRef| {
        let workflow = workflows.get(it.workflow)?;
        let step = workflow.spec.steps.get(it.step as usize)?;
        let queue = workflows.queue(&workflow.queue)?;
        step.filler.then(|| queue.service.clone())
    };
    workflows.ready_steps().filter_map(service_of).collect()
}

/// Returns the cores that the best-effort tasks of a worker use.
fn filler_cores(sessions: &Sessions, id: WorkerId) -> f64 {
    let Some(session) = sessions.get(id) else { return 0.0 };
    let Some(report) = &session.report else { return 0.0 };
    let is_filler = |it: &&RunningTask| {
        let kind = session.monitored_runs.get(&it.run).and_then(|it| it.run_kind);
        matches!(kind, Some(RunKind::Filler { .. }))
    };
    let loads = report.running.iter().filter(is_filler).map(|it| u64::from(it.load));
    loads.sum::<u64>() as f64 / 1_000.0
}
