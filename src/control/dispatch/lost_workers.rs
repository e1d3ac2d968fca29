//! Workers that are lost, and what that says of the runs that were there.

use std::{fmt::Write, net::SocketAddr};

use crate::{
    control::{
        dispatch::{Dispatcher, run_name, sessions::Session},
        state::{Worker, Workflows},
    },
    policy::crash_evidence::is_too_old_to_suspect,
    prelude::*,
};

/// Runs named in the line on a loss: what began last is what most likely caused it.
const NAMED_MAX: usize = 4;

/// Time for which failures of a worker that was given up wait for it, so that cuts of up to ten
/// seconds, with the lease, decide nothing falsely. Then they count: a task must not wait for a VM
/// that is gone for good.
const LOST_FAILURES_MAX_MS: u64 = 6_000;

/// Why a worker is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LossCause {
    /// Its node finds nobody at its address, and no end was announced.
    Crashed,
    /// Another lifetime announced itself in its place, and no end was announced.
    Replaced,
    /// It had said that it leaves.
    Left,
    /// Nothing was heard of it for a whole lease: it may run on, cut off.
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
    /// Gives up a worker: its runs end, and it leaves the ledger.
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
        self.settle_last(workflows, id, loss);
        let finish = FinishRuns { worker: id, cursor: worker.cursor, ends };
        self.output.commands.push(WorkflowCommand::Finish(finish));
        self.output.commands.push(WorkflowCommand::Dismiss(id));
        if let Some(it) = self.sessions.get_mut(id) {
            it.is_being_dismissed = true;
        }
    }

    /// Gives up the lifetimes that another one beside the same node takes the place of.
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

    /// Settles the failures on a worker that has ended, where its node has told the last word on it.
    ///
    /// A node that went down with it has not: after a loss of power of all VMs a task began a fourth
    /// time, with three attempts allowed.
    fn settle_last(&mut self, workflows: &Workflows, id: WorkerId, loss: LossCause) {
        let lapsed = workflows.unsettled_failures_on(id);
        if matches!(loss, LossCause::Crashed | LossCause::Left) && !lapsed.is_empty() {
            let settle = SettleFailures { counted: Vec::new(), lapsed };
            self.output.commands.push(WorkflowCommand::Settle(settle));
        }
    }

    /// Lets failures count whose workers were given up and do not come back: they may have heard
    /// that these were taken note of.
    pub(super) fn settle_lost(&mut self, workflows: &Workflows, now: Now) {
        let before_ms = now.wall_ms.saturating_sub(LOST_FAILURES_MAX_MS);
        let counted = workflows.lost_failures_before(before_ms);
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
        // Nothing for one that this leader has never heard.
        let session = self.sessions.get(id);
        let heard_ms = session.map(|it| it.last_report_ms).filter(|it| 0 < *it);
        let silent_ms = heard_ms.map(|it| now.mono_ms.saturating_sub(it));
        let youngest = youngest(workflows, worker, now);
        tracing::warn!(event = "worker_lost", worker = %worker.name, node = %worker.node, runs = worker.runs.len(), silent_ms = ?silent_ms, youngest = %youngest, cause = loss.as_str());
    }
}

/// Returns the ends of all runs of a worker that is lost, with what they last saved.
///
/// Only a crash is held against what ran there: a worker that is silent or leaves tells nothing of
/// its runs. Those that its node never got to begin are not among them, since it says so itself.
///
/// Where the next lifetime tells of the crash, it is not known how long ago that was, so that the
/// run's age then is not either.
///
/// A run that is old by the ledger may have begun late, since orders are carried out up to 8 s late.
/// If it was not seen for long enough to be cleared, it is taken for one that was not seen: in two of
/// 600 schedules such a run cleared a task that went on to crash its workers.
fn ends_of_lost(
    workflows: &Workflows,
    session: &Session,
    worker: &Worker,
    loss: LossCause,
    now: Now,
) -> Vec<RunEnd> {
    let report = session.report.as_ref();
    let listed = |run: RunRef| report?.running.iter().find(|it| it.run == run);
    let is_refused =
        |run: RunRef| report.is_some_and(|it| it.refused.iter().any(|it| it.run == run));
    let seen_ms = |run: RunRef| {
        session.monitored_runs.get(&run).map_or(0, |it| now.mono_ms - it.first_listed_ms)
    };
    let looks_outlived = |run: RunRef| {
        workflows.suspects().age_ms(run, now.wall_ms).is_some_and(is_too_old_to_suspect)
    };
    let is_age_known = |run: RunRef| !looks_outlived(run) || is_too_old_to_suspect(seen_ms(run));
    let outcome = |run: RunRef| match loss {
        LossCause::Crashed if listed(run).is_some() && is_age_known(run) => RunOutcome::Crashed,
        LossCause::Crashed | LossCause::Replaced => RunOutcome::CrashedUnseen,
        LossCause::Left | LossCause::LeaseExpired => RunOutcome::Lapsed,
    };
    let end = |run: &RunRef| RunEnd {
        run: *run,
        outcome: outcome(*run),
        checkpoint: listed(*run).map(|it| it.checkpoint.clone()).unwrap_or_default(),
    };
    worker.runs.iter().filter(|it| !is_refused(**it)).map(end).collect()
}

/// Returns the runs of a worker that began last, each with its age.
fn youngest(workflows: &Workflows, worker: &Worker, now: Now) -> CompactString {
    let age = |it: &RunRef| Some((workflows.suspects().age_ms(*it, now.wall_ms)?, *it));
    let mut ages: Vec<_> = worker.runs.iter().filter_map(age).collect();
    ages.sort();
    let mut res = CompactString::default();
    for (age_ms, run) in ages.into_iter().take(NAMED_MAX) {
        let comma = if res.is_empty() { "" } else { "," };
        // Writing to a string cannot fail.
        let _ = write!(res, "{comma}{}@{age_ms}ms", run_name(run));
    }
    res
}
