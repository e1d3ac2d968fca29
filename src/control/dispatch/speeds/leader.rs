//! What the leader does with the speeds of workers.

use crate::{
    control::{dispatch::Dispatcher, state::Workflows},
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

    /// Proposes the speeds of slow workers where they differ from the ledger.
    pub(in crate::control::dispatch) fn propose_speeds(&mut self, workflows: &Workflows, now: Now) {
        self.speeds.forget_old(now.mono_ms);
        let learned = self.speeds.learned();
        if learned != workflows.demand().speeds() {
            self.output.commands.push(WorkflowCommand::LearnSpeeds(learned));
        }
    }
}
