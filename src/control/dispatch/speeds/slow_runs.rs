//! The runs on slow workers that may end sooner elsewhere.

use super::{Expectation, RunPace, SlowWorker, WorkerSpeeds};
use crate::{
    control::{
        dispatch::sessions::{Sessions, SlowRun, UsabilityCriteria},
        state::Workflows,
    },
    policy::disruption::{STOP_INTERVAL_MS, StopCause},
    prelude::*,
};

/// Time within which a stop is carried out and listed, or its order is lost.
const STOP_MAX_MS: u64 = 2_000;

/// Stopped tasks for which capacity is kept in a plan: more than are stopped within [`STOP_MAX_MS`]
/// while capacity is found for each of them.
const UNDER_WAY_MAX: usize = 64;

impl WorkerSpeeds {
    /// Returns the runs on usable slow workers that have not been stopped lately, those that end
    /// last first.
    ///
    /// A run that serves within its target, or has not shown its pace, stays. So do all on a worker
    /// that only one report shows as slow: if all workers slow down at once, as by a load that they
    /// share, the first to report seems slow until the others report.
    pub(in crate::control::dispatch) fn slow_runs(
        &self,
        workflows: &Workflows,
        sessions: &Sessions,
        criteria: UsabilityCriteria,
    ) -> Vec<SlowRun> {
        let mut res = Vec::new();
        let slow = self.workers.iter().filter_map(|(id, it)| Some((*id, it, it.slow?)));
        let slow = slow.filter(|(_, _, it)| it.since_ms < it.observed_ms);
        for (id, evidence, slow) in slow.filter(|(id, ..)| sessions.is_usable(*id, criteria)) {
            let Some(session) = sessions.get(id) else { continue };
            let may_stop = |run: RunRef| {
                workflows.has_run(id, run)
                    && session.monitored_runs.get(&run).is_some_and(|it| !it.evicted)
                    && !self.was_stopped_lately(run.task, criteria.now.mono_ms)
            };
            let slow_run = |(run, pace): (&RunRef, &RunPace)| {
                may_stop(*run).then(|| slow_run(id, *run, pace, slow)).flatten()
            };
            res.extend(evidence.paces.iter().filter_map(slow_run));
        }
        res.sort_by_key(|it: &SlowRun| std::cmp::Reverse(it.full_speed_ms));
        res
    }

    /// Records that a task on a slow worker is stopped.
    pub(in crate::control::dispatch) fn note_stop(&mut self, task: TaskRef, now_ms: u64) {
        self.last_stops_ms.insert(task, now_ms);
    }

    /// Returns the tasks that were stopped lately and whose runs have not ended, at most
    /// [`UNDER_WAY_MAX`].
    pub(in crate::control::dispatch) fn moves_under_way(
        &self,
        workflows: &Workflows,
        now_ms: u64,
    ) -> Vec<TaskRef> {
        let is_under_way = |task: &TaskRef| {
            let task = workflows.get(task.workflow).and_then(|it| it.task(*task));
            task.is_some_and(|it| !it.is_done && !it.runs.is_empty())
        };
        let lately = self.last_stops_ms.iter().filter(|(_, at)| now_ms < **at + STOP_MAX_MS);
        lately.map(|(it, _)| *it).filter(is_under_way).take(UNDER_WAY_MAX).collect()
    }

    fn was_stopped_lately(&self, task: TaskRef, now_ms: u64) -> bool {
        self.last_stops_ms.get(&task).is_some_and(|it| now_ms < it + STOP_INTERVAL_MS)
    }
}

fn slow_run(worker: WorkerId, run: RunRef, pace: &RunPace, slow: SlowWorker) -> Option<SlowRun> {
    let log_ratio = pace.latest?.log_ratio;
    let full_speed_ms = match pace.expectation {
        Expectation::Serves { .. } if log_ratio <= 0.0 => return None,
        Expectation::Serves { .. } => 0,
        Expectation::Ends { median_ms, .. } => {
            (median_ms * (log_ratio - slow.log_slowdown).exp()) as u64
        }
    };
    Some(SlowRun {
        run,
        worker,
        cause: StopCause::SlowWorker,
        full_speed_ms,
        speed_share: (-slow.log_slowdown).exp(),
        progress_percent: pace.percent,
    })
}
