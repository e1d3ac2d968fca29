//! Observes worker speeds, selects runs to move off slow workers, and proposes the speeds for the log.

use std::collections::BTreeSet;

use crate::{
    control::{
        dispatch::{
            Dispatcher,
            sessions::{SlowRun, UsabilityCriteria},
        },
        state::Workflows,
    },
    policy::disruption::RunStop,
    prelude::*,
};

impl Dispatcher {
    /// Learns from the newest report of a worker how slow it is.
    pub(in crate::control::dispatch) fn observe_speeds(
        &mut self,
        workflows: &Workflows,
        id: WorkerId,
        now: Now,
    ) {
        if !self.options.features.worker_speeds {
            return;
        }
        if let Some(session) = self.sessions.get(id) {
            self.speeds.observe(workflows, &self.run_times, id, session, now);
        }
    }

    /// Returns the runs on slow workers that the stop budget allows to stop now: one of each step
    /// that lasts, since the next may be stopped only when the first is at work again.
    pub(in crate::control::dispatch) fn runs_to_move(
        &self,
        workflows: &Workflows,
        usability: UsabilityCriteria,
    ) -> Vec<SlowRun> {
        let mut steps = BTreeSet::new();
        let mut res = self.speeds.slow_runs(workflows, &self.sessions, usability);
        // A suspected task would wait for a probation once it is stopped.
        res.retain(|it| !workflows.suspects().needs_probation(it.run.task));
        res.retain(|it| {
            let is_lasting = workflows.step_of(it.run.task).is_some_and(|it| it.lasting);
            let stop = RunStop { run: it.run, worker: it.worker, cause: it.cause };
            let is_allowed = || {
                let now = usability.now;
                self.stop_budget.check(workflows, &self.sessions, self.term, stop, now).is_ok()
            };
            !is_lasting || (is_allowed() && steps.insert(StepRef::of_task(it.run.task)))
        });
        res
    }

    /// Proposes the speeds of slow workers where they differ from the ledger.
    pub(in crate::control::dispatch) fn propose_speeds(&mut self, workflows: &Workflows, now: Now) {
        self.speeds.forget_old(workflows, now.mono_ms);
        let learned = self.speeds.learned();
        if learned != workflows.demand().speeds() {
            self.output.commands.push(WorkflowCommand::LearnSpeeds(learned));
        }
    }
}
