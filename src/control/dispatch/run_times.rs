//! Learns from the runs that end how long tasks of each kind take.

use crate::{
    control::{dispatch::Dispatcher, state::Workflows},
    policy::forecast::TaskKind,
    prelude::*,
};

impl Dispatcher {
    /// Learns from the ended runs of a worker's newest report how long they took.
    ///
    /// A best-effort task takes as long as the tasks beside it let it, so its time at full speed
    /// counts. A run that continued from a checkpoint says nothing of the whole task.
    pub(super) fn observe_run_times(&mut self, workflows: &Workflows, id: WorkerId, now: Now) {
        if !self.options.features.needs_run_times() {
            return;
        }
        // The time on a slow worker does not tell that on others.
        let is_normal = self.speeds.is_of_normal_speed(id, now.mono_ms);
        let Some(session) = self.sessions.get_mut(id) else { return };
        let Some(report) = &session.report else { return };
        let done = report.ended.iter().filter(|it| it.end.outcome == RunOutcome::Done);
        for run in done.map(|it| it.end.run) {
            let Some(begun_ms) = session.begun_ms.remove(&run) else { continue };
            let Some(step) = workflows.step_of(run.task) else { continue };
            let Some(workflow) = workflows.get(run.task.workflow) else { continue };
            let is_continued = workflow.task(run.task).is_some_and(|it| !it.checkpoint.is_empty());
            if step.lasting || step.gang || is_continued || !is_normal {
                continue;
            }
            let elapsed_ms = now.mono_ms - begun_ms;
            let run_ms = match session.monitored_runs.get(&run) {
                Some(it) if step.filler => it.full_speed_ms(begun_ms, now.mono_ms),
                _ => elapsed_ms,
            };
            let kind = TaskKind { queue: workflow.queue.clone(), image: step.image.clone() };
            self.run_times.observe(kind, step.estimate_ms, run_ms);
        }
    }

    /// Proposes the learned run times where they differ from the ledger.
    pub(super) fn propose_run_times(&mut self, workflows: &Workflows) {
        let learned = self.run_times.learned();
        if learned != workflows.demand().run_times() {
            self.output.commands.push(WorkflowCommand::LearnRunTimes(learned));
        }
    }

    /// Logs the errors of the forecasts since the last line; one in ten tasks is expected to be
    /// late.
    pub(super) fn log_forecast_errors(&mut self) {
        let errors = self.run_times.take_errors();
        if 0 < errors.observations {
            let observations = f64::from(errors.observations);
            let late_percent = 100.0 * f64::from(errors.late) / observations;
            let factor = (errors.absolute_log_sum / observations).exp();
            tracing::info!(event = "run_times_forecast", tasks = errors.observations, late_percent = late_percent as u32, off_by_factor = %format_args!("{factor:.2}"));
        }
    }
}
