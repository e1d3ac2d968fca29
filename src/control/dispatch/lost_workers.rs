//! Handles lost workers: ends their runs and settles the failures recorded there.

use std::{fmt::Write, net::SocketAddr};

use crate::{
    control::{
        dispatch::{Dispatcher, run_name, sessions::Session},
        state::{Worker, Workflows},
    },
    policy::crash_evidence::is_too_old_to_suspect,
    prelude::*,
};

/// Number of runs named in the log line on a loss: those that began last, the likeliest cause.
const LOGGED_RUNS_MAX: usize = 4;

/// Why a worker was marked as lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LossCause {
    /// The node found no process at the worker's address, and the worker had not announced that it
    /// leaves.
    Crashed,
    /// Another incarnation took the worker's place, and the worker had not announced that it
    /// leaves.
    Replaced,
    /// The worker had announced that it leaves.
    Left,
    /// No report arrived for a whole lease. The worker may still run behind a network partition.
    LeaseExpired,
}

impl LossCause {
    fn as_str(self) -> &'static str {
        match self {
            LossCause::Crashed => "crashed",
            LossCause::Replaced => "replaced",
            LossCause::Left => "left",
            LossCause::LeaseExpired => "lease_expired",
        }
    }
}

impl Dispatcher {
    /// Proposes to end all runs of a worker and to remove it from the ledger.
    pub(super) fn mark_lost(
        &mut self,
        workflows: &Workflows,
        id: WorkerId,
        loss: LossCause,
        now: Now,
    ) {
        let Some(worker) = workflows.workers().get(id) else { return };
        self.log_loss(workflows, id, worker, loss, now);
        if matches!(loss, LossCause::Crashed | LossCause::Replaced) {
            self.probations.note_crash(now);
        }
        let ends = self.sessions.get(id).map(|it| ends_of_lost(workflows, it, worker, loss, now));
        let ends = ends.unwrap_or_default();
        self.settle_after_final_report(workflows, id, loss);
        let finish = FinishRuns { worker: id, cursor: worker.cursor, ends };
        self.output.commands.push(WorkflowCommand::Finish(finish));
        self.output.commands.push(WorkflowCommand::Dismiss(id));
        if let Some(it) = self.sessions.get_mut(id) {
            it.is_being_dismissed = true;
        }
    }

    /// Marks the worker incarnations at a node as lost that a new one replaces.
    pub(super) fn mark_replaced_lost(&mut self, workflows: &Workflows, node: SocketAddr, now: Now) {
        for id in workflows.workers().ids_at_node(node) {
            let Some(session) = self.sessions.get(id).filter(|it| !it.is_being_dismissed) else {
                continue;
            };
            let is_leaving = session.report.as_ref().is_some_and(|it| it.draining);
            let loss = if is_leaving { LossCause::Left } else { LossCause::Replaced };
            self.mark_lost(workflows, id, loss, now);
        }
    }

    /// Lets the failures on a worker lapse if its node has sent the final report on it.
    ///
    /// A node that fails along with its worker sends no final report. When such failures lapsed
    /// too, a task of three allowed attempts began a fourth time after a power loss of all VMs.
    fn settle_after_final_report(&mut self, workflows: &Workflows, id: WorkerId, loss: LossCause) {
        let lapsed = workflows.unsettled_failed_runs_on(id);
        if matches!(loss, LossCause::Crashed | LossCause::Left) && !lapsed.is_empty() {
            let settle = SettleFailures { counted: Vec::new(), lapsed };
            self.output.commands.push(WorkflowCommand::Settle(settle));
        }
    }

    /// Settles the failures on a worker incarnation that another one has replaced, by its node's
    /// final report.
    pub(super) fn settle_failures_on_ended(
        &mut self,
        workflows: &Workflows,
        node: SocketAddr,
        ended: &WorkerReport,
    ) {
        if !ended.gone {
            return;
        }
        let settle = workflows.failures_to_settle_at_end(node, &ended.name, ended.noted);
        if !settle.counted.is_empty() || !settle.lapsed.is_empty() {
            self.output.commands.push(WorkflowCommand::Settle(settle));
        }
    }

    /// Counts the failures on lost workers that did not return in time: these workers may have
    /// received the acknowledgement of them.
    pub(super) fn settle_failures_of_lost(&mut self, workflows: &Workflows, now: Now) {
        let counted = self.lost_failures.update(&workflows.lost_failures_before(u64::MAX), now);
        if !counted.is_empty() {
            let settle = SettleFailures { counted, lapsed: Vec::new() };
            self.output.commands.push(WorkflowCommand::Settle(settle));
        }
    }

    fn log_loss(
        &self,
        workflows: &Workflows,
        id: WorkerId,
        worker: &Worker,
        loss: LossCause,
        now: Now,
    ) {
        if loss == LossCause::Left {
            tracing::info!(event = "worker_left", worker = %worker.name, node = %worker.node, runs = worker.runs.len());
            return;
        }
        // `None` if this leader has received no report of the worker.
        let session = self.sessions.get(id);
        let last_report_ms = session.map(|it| it.last_report_ms).filter(|it| 0 < *it);
        let silent_ms = last_report_ms.map(|it| now.mono_ms.saturating_sub(it));
        let youngest = youngest(workflows, worker, now);
        tracing::warn!(event = "worker_lost", worker = %worker.name, node = %worker.node, runs = worker.runs.len(), silent_ms = ?silent_ms, youngest = %youngest, cause = loss.as_str());
    }
}

/// Returns the ends of the runs of a lost worker, with their last checkpoints. Runs that its node
/// has refused to begin are left out, since the refusal itself takes them back.
///
/// Only a crash is evidence against the runs: a worker that is silent or leaves says nothing about
/// them. If only the next incarnation shows the crash, its time is unknown, and so is the age of
/// each run at that time.
///
/// Orders are carried out up to 8 s late, so a run that is old by the ledger may have begun
/// recently. Unless reports have listed it for long enough to clear its task, its outcome is
/// `CrashedUnseen`: in two of 600 schedules such a run cleared a task that then crashed more
/// workers.
fn ends_of_lost(
    workflows: &Workflows,
    session: &Session,
    worker: &Worker,
    loss: LossCause,
    now: Now,
) -> Vec<RunEnd> {
    let report = session.report.as_ref();
    let reported = |run: RunRef| report?.running.iter().find(|it| it.run == run);
    let is_refused =
        |run: RunRef| report.is_some_and(|it| it.refused.iter().any(|it| it.run == run));
    let observed_ms = |run: RunRef| {
        session.monitored_runs.get(&run).map_or(0, |it| now.mono_ms - it.first_listed_ms)
    };
    let is_old_by_ledger = |run: RunRef| {
        workflows.suspects().age_ms(run, now.wall_ms).is_some_and(is_too_old_to_suspect)
    };
    let is_age_known =
        |run: RunRef| !is_old_by_ledger(run) || is_too_old_to_suspect(observed_ms(run));
    let outcome = |run: RunRef| match loss {
        LossCause::Crashed if reported(run).is_some() && is_age_known(run) => RunOutcome::Crashed,
        LossCause::Crashed | LossCause::Replaced => RunOutcome::CrashedUnseen,
        LossCause::Left => RunOutcome::Stopped,
        LossCause::LeaseExpired => RunOutcome::Lapsed,
    };
    let end = |run: &RunRef| RunEnd {
        run: *run,
        outcome: outcome(*run),
        checkpoint: reported(*run).map(|it| it.checkpoint.clone()).unwrap_or_default(),
    };
    worker.runs.iter().filter(|it| !is_refused(**it)).map(end).collect()
}

/// Returns the names and ages of the runs of a worker that began last.
fn youngest(workflows: &Workflows, worker: &Worker, now: Now) -> CompactString {
    let age = |it: &RunRef| Some((workflows.suspects().age_ms(*it, now.wall_ms)?, *it));
    let mut ages: Vec<_> = worker.runs.iter().filter_map(age).collect();
    ages.sort();
    let mut res = CompactString::default();
    for (age_ms, run) in ages.into_iter().take(LOGGED_RUNS_MAX) {
        let separator = if res.is_empty() { "" } else { "," };
        // Writing to a string cannot fail.
        let _ = write!(res, "{separator}{}@{age_ms}ms", run_name(run));
    }
    res
}
