//! What the leader watches of each run that a worker lists.

use crate::{
    control::state::Workflows,
    policy::{
        contention::{ContentionModel, images::ImageKey},
        migration::RelativeSpeed,
        worker_health::StallDetector,
    },
    prelude::*,
};

/// What a run is, by the workflow that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RunKind {
    /// Serves users of its own under a bound.
    Serving { image: ImageKey, target_ms: u64 },
    /// Takes processor that others leave.
    Filler { image: ImageKey, millicores: u32 },
    /// Runs on what it reserved.
    Plain,
}

impl RunKind {
    pub(super) fn of(step: &WorkflowStep, contention: &mut ContentionModel) -> RunKind {
        match step.filler {
            true => RunKind::Filler {
                image: contention.image(&step.image),
                millicores: step.need.cpu_millicores,
            },
            false if 0 < step.tail_target_ms => RunKind::Serving {
                image: contention.image(&step.image),
                target_ms: step.tail_target_ms,
            },
            false => RunKind::Plain,
        }
    }
}

/// One run that a worker lists.
#[derive(Clone, Copy, Debug)]
pub struct RunMonitor {
    /// When this leader was first told that the worker runs it.
    pub first_listed_ms: u64,
    /// Nothing for a run of no workflow that is known.
    pub run_kind: Option<RunKind>,
    /// Its declared run time, where it should make progress: it does not last, has its processor
    /// to itself, and waits for no other member of a gang.
    estimate_ms: Option<u64>,
    /// It is a filler that may go on elsewhere.
    can_move: bool,
    stall_detector: StallDetector,
    speed: RelativeSpeed,
    /// It stands still, or goes on elsewhere, and is told to stop.
    pub evicted: bool,
    /// Number of the newest report that lists it.
    pub last_report_number: u64,
}

impl RunMonitor {
    /// Begins to watch a run with the first report that lists it.
    pub(super) fn new(
        workflows: &Workflows,
        contention: &mut ContentionModel,
        task: &RunningTask,
        now_ms: u64,
    ) -> RunMonitor {
        let step = workflows.step_of(task.run.task);
        let can_judge = |it: &&WorkflowStep| !it.lasting && !it.gang;
        RunMonitor {
            first_listed_ms: now_ms,
            run_kind: step.map(|it| RunKind::of(it, contention)),
            estimate_ms: step.filter(can_judge).filter(|it| !it.filler).map(|it| it.estimate_ms),
            can_move: step.filter(can_judge).is_some_and(|it| it.filler),
            stall_detector: StallDetector::new(task.progress_percent, now_ms),
            speed: RelativeSpeed::new(now_ms),
            evicted: false,
            last_report_number: 0,
        }
    }

    /// Takes in a row of a report; returns whether the run stands still.
    pub(super) fn observe(&mut self, task: &RunningTask, now_ms: u64) -> bool {
        if let (true, Some(RunKind::Filler { millicores, .. })) = (self.can_move, self.run_kind) {
            self.speed.observe(f64::from(task.load) / f64::from(millicores.max(1)));
        }
        let estimate_ms = self.estimate_ms;
        estimate_ms.is_some_and(|it| self.stall_detector.observe(task.progress_percent, it, now_ms))
    }

    /// Returns the share of its speed that a filler has, once that is known to be low.
    pub(super) fn speed_share_if_slow(&self, now_ms: u64) -> Option<f64> {
        self.speed.speed_share_if_slow(now_ms).filter(|_| self.can_move)
    }
}
