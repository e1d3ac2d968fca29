//! Evaluates a worker's report: the paces of its runs, and the worker's speed.

use std::collections::{BTreeMap, btree_map::Entry};

use super::{
    DRAIN_MS, Expectation, RunPace, SlowWorker, VARIANCE_MIN, WorkerEvidence, WorkerSpeeds,
};
use crate::{
    control::{dispatch::sessions::Session, state::Workflows},
    policy::{
        forecast::{RunTimeModel, TaskKind},
        worker_speed::{
            READING_MAX_AGE_MS, SlowdownEstimate, SpeedReading, estimate_slowdown,
            expected_log_ratio,
        },
    },
    prelude::*,
};

/// Kinds that are numbered at once. Clients choose images freely.
const KINDS_MAX: usize = 4_096;

/// Workers on which the runs of one step, and of one kind, must be to be compared with.
const STEP_WORKERS_MIN: usize = 2;
const KIND_WORKERS_MIN: usize = 3;

/// Tasks of a step whose tail latencies are compared.
const SERVING_SIBLINGS_MIN: usize = 3;

impl WorkerSpeeds {
    /// Evaluates the newest report of a worker.
    pub(in crate::control::dispatch) fn observe(
        &mut self,
        workflows: &Workflows,
        run_times: &RunTimeModel,
        id: WorkerId,
        session: &Session,
        now: Now,
    ) {
        let Some(report) = &session.report else { return };
        let mut evidence = self.workers.remove(&id).unwrap_or_default();
        let mut measured = Vec::new();
        for task in &report.running {
            let Some(pace) = self.pace_of(&mut evidence, workflows, run_times, task.run) else {
                continue;
            };
            pace.last_report_number = session.report_number;
            if pace.observe(task, now.mono_ms) {
                measured.push(task.run);
            }
        }
        for it in report.ended.iter().filter(|it| it.end.outcome == RunOutcome::Done) {
            let run = it.end.run;
            let Some(begun_ms) = session.begun_ms.get(&run) else { continue };
            // The time of a run that continued from a checkpoint is not that of the whole task.
            let task = workflows.get(run.task.workflow).and_then(|it| it.task(run.task));
            if task.is_some_and(|it| !it.checkpoint.is_empty()) {
                continue;
            }
            let pace = self.pace_of(&mut evidence, workflows, run_times, run);
            if pace.is_some_and(|it| it.observe_end(now.mono_ms - begun_ms, now.mono_ms)) {
                measured.push(run);
            }
        }
        let is_kept = |it: &RunPace| {
            it.last_report_number == session.report_number
                || it.latest.is_some_and(|it| now.mono_ms < it.measured_ms + READING_MAX_AGE_MS)
        };
        evidence.paces.retain(|_, it| is_kept(it));
        let has_news = !measured.is_empty();
        for run in measured {
            self.note_pace(id, run, &evidence.paces, now);
        }
        if has_news {
            self.judge(id, &report.name, &mut evidence, now);
        }
        self.workers.insert(id, evidence);
    }

    /// Returns the pace of a run, or `None` if the run's time does not tell a worker's speed.
    fn pace_of<'a>(
        &mut self,
        evidence: &'a mut WorkerEvidence,
        workflows: &Workflows,
        run_times: &RunTimeModel,
        run: RunRef,
    ) -> Option<&'a mut RunPace> {
        match evidence.paces.entry(run) {
            Entry::Occupied(entry) => Some(entry.into_mut()),
            Entry::Vacant(entry) => {
                let workflow = workflows.get(run.task.workflow)?;
                let step = workflows.step_of(run.task)?;
                let kind = TaskKind { queue: workflow.queue.clone(), image: step.image.clone() };
                let expectation = expectation_of(step, &kind, run_times)?;
                Some(entry.insert(RunPace::new(self.number_of(kind), expectation)))
            }
        }
    }

    fn number_of(&mut self, kind: TaskKind) -> u32 {
        if KINDS_MAX <= self.kinds.len() {
            self.kinds.clear();
        }
        *self.kinds.entry(kind).or_insert_with(|| {
            self.last_kind += 1;
            self.last_kind
        })
    }

    fn note_pace(
        &mut self,
        id: WorkerId,
        run: RunRef,
        paces: &BTreeMap<RunRef, RunPace>,
        now: Now,
    ) {
        let Some((pace, latest)) = paces.get(&run).and_then(|it| Some((it, it.latest?))) else {
            return;
        };
        let step = self.steps.entry(StepRef::of_task(run.task)).or_default();
        step.note(run, id, latest.log_ratio, now.mono_ms);
        let kind = self.by_kind.entry(pace.kind).or_default();
        kind.note(run, id, latest.log_ratio, now.mono_ms);
    }

    /// Decides whether a worker is slow.
    fn judge(&mut self, id: WorkerId, name: &str, evidence: &mut WorkerEvidence, now: Now) {
        let by_run = self.readings(id, evidence, now);
        let readings: Vec<_> = by_run.iter().map(|(_, it)| *it).collect();
        let was_slow = evidence.slow.is_some();
        let estimate = estimate_slowdown(&readings, was_slow);
        evidence.slow_probability = estimate.slow_probability;
        match estimate.is_slow(was_slow) {
            true => note_slow(evidence, name, &readings, estimate, now),
            false => note_normal(evidence, name, &by_run, now),
        }
    }

    /// Returns the deviations of a worker's runs from their siblings elsewhere.
    fn readings(
        &self,
        id: WorkerId,
        evidence: &WorkerEvidence,
        now: Now,
    ) -> Vec<(RunRef, SpeedReading)> {
        let is_compared = |it: WorkerId| it != id && !self.is_slow(it);
        let ratios = |siblings: Option<&super::Siblings>, workers_min: usize| {
            siblings.map(|it| it.ratios(now.mono_ms, workers_min, is_compared)).unwrap_or_default()
        };
        let reading = |(run, pace): (&RunRef, &RunPace)| {
            let mut step = ratios(self.steps.get(&StepRef::of_task(run.task)), STEP_WORKERS_MIN);
            let (spread, mut kind) = match pace.expectation {
                Expectation::Ends { spread, .. } => {
                    (spread, ratios(self.by_kind.get(&pace.kind), KIND_WORKERS_MIN))
                }
                // The tail latency depends on the load of the step.
                Expectation::Serves { .. } if step.len() < SERVING_SIBLINGS_MIN => return None,
                Expectation::Serves { .. } => (0.0, Vec::new()),
            };
            let siblings = expected_log_ratio(&mut step, &mut kind, spread);
            let (log_ratio, variance) = pace.deviation(siblings)?;
            let age_ms = now.mono_ms.saturating_sub(pace.latest?.measured_ms);
            Some((*run, SpeedReading { kind: pace.kind, log_ratio, variance, age_ms }))
        };
        evidence.paces.iter().filter_map(reading).collect()
    }
}

fn expectation_of(
    step: &WorkflowStep,
    kind: &TaskKind,
    run_times: &RunTimeModel,
) -> Option<Expectation> {
    match step {
        it if it.gang => None,
        it if it.lasting && 0 < it.tail_target_ms => {
            Some(Expectation::Serves { target_ms: it.tail_target_ms })
        }
        it if it.lasting => None,
        it => {
            let forecast = run_times.forecast(kind, it.estimate_ms);
            Some(Expectation::Ends {
                median_ms: forecast.median_ms() as f64,
                spread: forecast.spread(),
                millicores: it.filler.then_some(it.need.cpu_millicores),
            })
        }
    }
}

fn note_slow(
    evidence: &mut WorkerEvidence,
    name: &str,
    readings: &[SpeedReading],
    estimate: SlowdownEstimate,
    now: Now,
) {
    if !estimate.is_informed() && evidence.slow.is_some() {
        return;
    }
    let since_ms = evidence.slow.map_or(now.mono_ms, |it| it.since_ms);
    if evidence.slow.is_none() {
        tracing::info!(event = "worker_slow", worker = name, slowdown = %format_args!("{:.1}", estimate.log_slowdown.exp()), readings = readings.len());
    }
    evidence.slow = Some(SlowWorker {
        log_slowdown: estimate.log_slowdown,
        log_variance: estimate.log_variance.max(VARIANCE_MIN),
        since_ms,
        observed_ms: now.mono_ms,
        observed_wall_ms: now.wall_ms,
    });
}

fn note_normal(
    evidence: &mut WorkerEvidence,
    name: &str,
    readings: &[(RunRef, SpeedReading)],
    now: Now,
) {
    if let Some(it) = evidence.slow.take() {
        evidence.draining_until_ms = now.mono_ms + DRAIN_MS;
        let slow_ms = now.mono_ms.saturating_sub(it.since_ms);
        tracing::info!(
            event = "worker_speed_back",
            worker = name,
            readings = readings.len(),
            slow_ms
        );
    }
    for (run, reading) in readings {
        if let Some(it) = evidence.paces.get_mut(run) {
            it.note_usual(reading.log_ratio);
        }
    }
}
