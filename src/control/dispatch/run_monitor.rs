//! Monitors the progress and speed of each run that a worker reports.

use crate::{
    control::state::Workflows,
    policy::{
        contention::{ContentionModel, images::ImageKey},
        migration::RelativeSpeed,
        worker_health::StallDetector,
    },
    prelude::*,
};

/// Kind of a run, by the step that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RunKind {
    /// Serves requests within a latency target.
    Serving { image: ImageKey, target_ms: u64 },
    /// Best-effort task (filler) that uses processor left idle by others.
    Filler { image: ImageKey, millicores: u32 },
    /// Runs on its reservation.
    Plain,
}

impl RunKind {
    pub(super) fn of(step: &WorkflowStep, contention: &mut ContentionModel) -> RunKind {
        match step.filler {
            true => RunKind::Filler {
                image: contention.image_key(&step.image),
                millicores: step.need.cpu_millicores,
            },
            false if 0 < step.tail_target_ms => RunKind::Serving {
                image: contention.image_key(&step.image),
                target_ms: step.tail_target_ms,
            },
            false => RunKind::Plain,
        }
    }
}

/// Monitor of one run that a worker reports.
#[derive(Clone, Copy, Debug)]
pub struct RunMonitor {
    /// Time of the first report to this leader that lists the run.
    pub first_listed_ms: u64,
    /// `None` if the run belongs to no known workflow.
    pub run_kind: Option<RunKind>,
    /// Declared run time, if the run is expected to progress steadily: it is not long-running, has
    /// processor reserved, and does not wait for other members of a gang.
    estimate_ms: Option<u64>,
    /// Declared run time, if the run is a filler that may move to another worker.
    movable_estimate_ms: Option<u64>,
    stall_detector: StallDetector,
    speed: RelativeSpeed,
    full_speed: FullSpeedTime,
    /// Whether the run is ordered to stop, because it stalled or moves to another worker.
    pub evicted: bool,
    /// Number of the newest report that lists the run.
    pub last_report_number: u64,
}

impl RunMonitor {
    /// Creates a monitor from the first report that lists a run.
    pub(super) fn new(
        workflows: &Workflows,
        contention: &mut ContentionModel,
        task: &RunningTask,
        now_ms: u64,
    ) -> RunMonitor {
        let step = workflows.step_of(task.run.task);
        let can_monitor = |it: &&WorkflowStep| !it.lasting && !it.gang;
        RunMonitor {
            first_listed_ms: now_ms,
            run_kind: step.map(|it| RunKind::of(it, contention)),
            estimate_ms: step.filter(can_monitor).filter(|it| !it.filler).map(|it| it.estimate_ms),
            movable_estimate_ms: step
                .filter(can_monitor)
                .filter(|it| it.filler)
                .map(|it| it.estimate_ms),
            stall_detector: StallDetector::new(task.progress_percent, now_ms),
            speed: RelativeSpeed::new(now_ms),
            full_speed: FullSpeedTime::new(now_ms),
            evicted: false,
            last_report_number: 0,
        }
    }

    /// Updates the monitor from a report; returns whether the run has stalled.
    pub(super) fn observe(&mut self, task: &RunningTask, now_ms: u64) -> bool {
        if let (Some(_), Some(RunKind::Filler { millicores, .. })) =
            (self.movable_estimate_ms, self.run_kind)
        {
            let share = f64::from(task.load) / f64::from(millicores.max(1));
            self.speed.observe(share);
            self.full_speed.observe(share, now_ms);
        }
        let estimate_ms = self.estimate_ms;
        estimate_ms.is_some_and(|it| self.stall_detector.observe(task.progress_percent, it, now_ms))
    }

    /// Returns the time that a filler would have run for at full speed, if it began at `begun_ms`
    /// and ends now.
    pub(super) fn full_speed_ms(&self, begun_ms: u64, now_ms: u64) -> u64 {
        self.full_speed.total_ms(self.first_listed_ms.saturating_sub(begun_ms), now_ms)
    }

    /// Returns the declared run time of a filler and the share of its full speed at which it runs,
    /// if it is known to be slow.
    pub(super) fn speed_share_if_slow(&self, now_ms: u64) -> Option<(u64, f64)> {
        Some((self.movable_estimate_ms?, self.speed.speed_share_if_slow(now_ms)?))
    }
}

/// Time that a filler would have run for at full speed.
#[derive(Clone, Copy, Debug)]
struct FullSpeedTime {
    /// From its first report to its newest.
    between_reports_ms: f64,
    first_share: Option<f64>,
    last_share: f64,
    reported_ms: u64,
}

impl FullSpeedTime {
    fn new(now_ms: u64) -> FullSpeedTime {
        let (between_reports_ms, last_share) = (0.0, 1.0);
        FullSpeedTime { between_reports_ms, first_share: None, last_share, reported_ms: now_ms }
    }

    fn observe(&mut self, share: f64, now_ms: u64) {
        let share = share.clamp(0.0, 1.0);
        let before = if self.first_share.is_some() { self.last_share } else { share };
        let elapsed_ms = now_ms.saturating_sub(self.reported_ms) as f64;
        self.between_reports_ms += elapsed_ms * (before + share) / 2.0;
        self.first_share.get_or_insert(share);
        (self.last_share, self.reported_ms) = (share, now_ms);
    }

    /// Returns the whole time, if the filler began `before_ms` before its first report.
    fn total_ms(&self, before_ms: u64, now_ms: u64) -> u64 {
        let first_ms = before_ms as f64 * self.first_share.unwrap_or(1.0);
        let last_ms = now_ms.saturating_sub(self.reported_ms) as f64 * self.last_share;
        (first_ms + self.between_reports_ms + last_ms) as u64
    }
}
