//! Processes node reports, grants leases, and derives orders from the ledger.

use std::{
    collections::{BTreeSet, HashSet},
    net::SocketAddr,
};

use crate::{
    control::{
        dispatch::{
            Dispatcher, LOAD_PLAN_PAUSE_MS, PLAN_PAUSE_MS, lost_workers::LossCause,
            sessions::Session, start_batches::StartMemory,
        },
        state::{Worker, Workflows, fits},
    },
    prelude::*,
};

impl Dispatcher {
    /// Handles a node's report and answers it.
    pub fn on_report(
        &mut self,
        workflows: &Workflows,
        report: NodeReport,
        members: &[SocketAddr],
        now: Now,
    ) {
        if !self.sessions.note_report(&report) {
            tracing::info!(event = "report_ignored", node = %report.node, number = report.number);
            return;
        }
        let mut workers = report.workers.into_iter();
        let Some(worker_report) = workers.next() else {
            return self.send_empty_grant(workflows, report.node, report.number, members);
        };
        workers.for_each(|it| self.settle_failures_on_ended(workflows, report.node, &it));
        let Some(id) = workflows.workers().find(report.node, &worker_report.name) else {
            let (node, number) = (report.node, report.number);
            return self.on_unknown_worker(workflows, node, number, &worker_report, members, now);
        };
        let Some(session) = self.sessions.get_mut(id) else { return };
        if session.is_being_dismissed {
            // The lease can no longer be renewed.
            return;
        }
        let previous = session.report.as_ref().map(|it| (it.draining, it.term));
        let is_new_boot = session.boot != report.boot;
        session.boot = report.boot;
        session.report_number = report.number;
        session.report_sent_ms = report.sent_ms;
        session.last_report_ms = now.mono_ms;
        if is_new_boot {
            session.sent_costs.clear();
        }
        if worker_report.draining && !previous.is_some_and(|(draining, _)| draining) {
            tracing::info!(event = "worker_draining", worker = %worker_report.name, node = %report.node, remaining_ms = worker_report.remaining_ms);
        }
        let (is_gone, is_leaving) = (worker_report.gone, worker_report.draining);
        let capacity = worker_report.capacity;
        let is_state_unchanged = previous == Some((worker_report.draining, worker_report.term));
        session.report = Some(worker_report);
        // Changed loads alone affect only tasks that wait for capacity and slow fillers.
        self.schedule_plan(if is_state_unchanged { LOAD_PLAN_PAUSE_MS } else { PLAN_PAUSE_MS });
        self.propose_resize(workflows, id, capacity);
        self.observe_speeds(workflows, id, now);
        self.observe_run_times(workflows, id, now);
        self.observe_running(workflows, id, now);
        // Before the ends of the report are acknowledged: the worker's next lapse may hide this one.
        self.settle_failures(workflows, id);
        let has_ends = self.propose_ends(workflows, id, now);
        self.propose_voids(workflows, id, now);
        if is_gone {
            let loss = if is_leaving { LossCause::Left } else { LossCause::Crashed };
            return self.mark_lost(workflows, id, loss, now);
        }
        // A report with new ends is answered when the ledger has applied them, one commit later,
        // which saves an answer. If the commit takes long, the next report is answered at once.
        if !has_ends {
            self.send_grant(workflows, id, members, now);
        }
    }

    /// Proposes a worker's reported capacity where it differs from the ledger.
    ///
    /// A worker whose capacity falls below its reservations keeps its runs, since to stop them
    /// would waste their work, and gets no new runs until enough of them have ended.
    fn propose_resize(&mut self, workflows: &Workflows, id: WorkerId, capacity: Resources) {
        let Some(worker) = workflows.workers().get(id) else { return };
        if worker.capacity != capacity {
            self.output
                .commands
                .push(WorkflowCommand::Resize(ResizeWorker { worker: id, capacity }));
        }
    }

    /// Proposes the reported ends that were not proposed before; returns whether there are any.
    fn propose_ends(&mut self, workflows: &Workflows, id: WorkerId, now: Now) -> bool {
        let Some(worker) = workflows.workers().get(id) else { return false };
        let Some(session) = self.sessions.get_mut(id) else { return false };
        let Some(report) = &session.report else { return false };
        let known_cursor = session.proposed_cursor.max(worker.cursor);
        let new_ends = report.ended.iter().filter(|it| known_cursor < it.cursor);
        let Some(cursor) = new_ends.clone().map(|it| it.cursor).max() else { return false };
        let ends: Vec<_> = new_ends.map(|it| it.end.clone()).collect();
        session.proposed_cursor = cursor;
        // Ends of runs that the worker no longer holds say nothing about its present health.
        let known = ends.iter().filter(|it| workflows.has_run(id, it.run));
        known.for_each(|it| update_health(session, worker, it, now));
        // A run that was never listed began and ended since the last report.
        let is_new = |it: &&RunEnd| {
            workflows.has_run(id, it.run) && !session.ever_listed_runs.contains(&it.run)
        };
        if ends.iter().any(|it| is_new(&it)) {
            session.breaker.note_accepted();
        }
        self.output.commands.push(WorkflowCommand::Finish(FinishRuns { worker: id, cursor, ends }));
        true
    }

    /// Proposes to settle the failures on a worker, by the failures that its report acknowledges.
    pub(super) fn settle_failures(&mut self, workflows: &Workflows, id: WorkerId) {
        let Some(report) = self.sessions.get(id).and_then(|it| it.report.as_ref()) else { return };
        let settled = workflows.failures_to_settle(id, report.noted);
        self.output.commands.extend(settled.map(WorkflowCommand::Settle));
    }

    /// Proposes to void the runs that the worker has refused to begin, and keeps new work away from a
    /// worker that refuses it.
    fn propose_voids(&mut self, workflows: &Workflows, id: WorkerId, now: Now) {
        let Some(worker) = workflows.workers().get(id) else { return };
        let Some(session) = self.sessions.get_mut(id) else { return };
        let Some(report) = &session.report else { return };
        let refused: Vec<_> =
            report.refused.iter().filter(|it| worker.runs.contains(&it.run)).collect();
        for it in &refused {
            tracing::warn!(event = "run_refused", run = %run_name(it.run), worker = %worker.name, cause = %it.cause);
            if is_refusal_of_worker(it.cause, worker, report)
                && let Some(pause_ms) = session.breaker.note_refused(now.mono_ms)
            {
                tracing::warn!(event = "worker_avoided", worker = %worker.name, cause = "refused_start", run = %run_name(it.run), pause_ms);
            }
        }
        let runs: Vec<_> = refused.into_iter().map(|it| it.run).collect();
        if !runs.is_empty() {
            self.output.commands.push(WorkflowCommand::Void(VoidRuns { worker: id, runs }));
        }
    }

    /// Sends all orders for a worker and renews its lease, counted from when its newest report was
    /// sent.
    pub(super) fn send_grant(
        &mut self,
        workflows: &Workflows,
        id: WorkerId,
        members: &[SocketAddr],
        now: Now,
    ) {
        let lease_expires_ms = now.mono_ms + self.options.lease_with_margin_ms();
        if let Some(it) = self.sessions.get_mut(id)
            && !it.is_being_dismissed
            && 0 < it.report_number
        {
            it.lease_expires_ms = lease_expires_ms;
            let sent_ms = it.report_sent_ms;
            self.send_orders_with(workflows, id, members, sent_ms);
        }
    }

    /// Sends the orders for a worker without renewing its lease.
    pub(super) fn send_orders(
        &mut self,
        workflows: &Workflows,
        id: WorkerId,
        members: &[SocketAddr],
    ) {
        self.send_orders_with(workflows, id, members, 0);
    }

    fn send_orders_with(
        &mut self,
        workflows: &Workflows,
        id: WorkerId,
        members: &[SocketAddr],
        sent_ms: u64,
    ) {
        let Some(worker) = workflows.workers().get(id) else { return };
        let Some(session) = self.sessions.get(id) else { return };
        let current_report = session.report.as_ref().filter(|it| it.term == self.term);
        // Without a report of this term the worker's runs are not known yet.
        let orders = current_report
            .map(|it| orders_for(workflows, id, worker, it, session, &mut self.start_memory))
            .unwrap_or_default();
        let mut grant = NodeGrant {
            number: session.report_number,
            sequence: session.grants_sent + 1,
            sent_ms,
            term: self.term,
            token: token(self.term, id),
            is_complete: current_report.is_some() && orders.has_all_sent_starts,
            lease_ms: self.options.lease_ms,
            worker: worker.name.clone(),
            capacity: worker.capacity,
            acked_cursor: worker.cursor,
            orders: orders.list,
            services: services(workflows),
            costs: Vec::new(),
            members: members.to_vec(),
        };
        let node = session.node;
        if let Some(it) = self.sessions.get_mut(id) {
            it.grants_sent += 1;
            it.sent_starts = orders.sent_starts;
        }
        let costs = self
            .free_capacities
            .get(workflows, &mut self.contention, id)
            .map(|it| it.costs(&self.contention));
        if let (Some(costs), Some(session)) = (costs, self.sessions.get_mut(id))
            && (session.costs_sent_ms + COSTS_RESEND_INTERVAL_MS <= session.last_report_ms
                || costs_differ(&costs, &session.sent_costs))
        {
            session.sent_costs = costs.clone();
            session.costs_sent_ms = session.last_report_ms;
            grant.costs = costs;
        }
        self.output.messages.push((node, Message::NodeGrant(grant)));
    }

    /// Sends orders to the workers of an evacuated zone at once, to withdraw starts not yet carried
    /// out.
    pub(super) fn withdraw_starts(
        &mut self,
        workflows: &Workflows,
        zone: &str,
        members: &[SocketAddr],
    ) {
        let in_zone = workflows.workers().iter().filter(|(_, it)| it.zone == zone);
        for (id, _) in in_zone.filter(|(_, it)| !it.runs.is_empty()) {
            self.send_orders(workflows, id, members);
        }
    }

    /// Sends orders to the workers of a cancelled workflow at once.
    pub(super) fn stop_cancelled(
        &mut self,
        workflows: &Workflows,
        id: WorkflowId,
        members: &[SocketAddr],
    ) {
        let Some(workflow) = workflows.get(id) else { return };
        let workers: BTreeSet<_> = workflow.runs().map(|it| it.worker).collect();
        for it in workers {
            self.send_orders(workflows, it, members);
        }
    }
}

/// Returns whether a refused start tells that the worker would refuse the next one too.
///
/// A worker without the capacity that it reports holds something that the ledger does not know. One
/// that reports less than is reserved there gets no new runs by the ledger alone.
fn is_refusal_of_worker(cause: RefusalCause, worker: &Worker, report: &WorkerReport) -> bool {
    match cause {
        RefusalCause::Unhealthy => true,
        RefusalCause::Room => fits(worker.reserved, report.capacity),
        RefusalCause::Superseded | RefusalCause::Leaving => false,
    }
}

/// Updates a worker's health by the end of a run.
fn update_health(session: &mut Session, worker: &Worker, end: &RunEnd, now: Now) {
    let workflow = end.run.task.workflow;
    match end.outcome {
        RunOutcome::Done => session.health.note_done(),
        RunOutcome::Failed if session.health.note_failed(workflow, now.mono_ms) => {
            tracing::warn!(event = "worker_avoided", worker = %worker.name, cause = "failures", run = %run_name(end.run));
        }
        _ => (),
    }
}

/// Smallest change of a cost, in percent of headroom per core, that is sent to a node: a tenth of
/// the difference between similar images.
const COST_CHANGE_MIN_PERCENT: f32 = 0.2;

/// Interval at which unchanged costs are sent again, since a broken link may lose a message.
const COSTS_RESEND_INTERVAL_MS: u64 = 2_000;

/// Returns whether costs differ enough from those sent last to be sent again.
fn costs_differ(costs: &[ImageCost], sent: &[ImageCost]) -> bool {
    let is_same = |(a, b): (&ImageCost, &ImageCost)| {
        (a.serving == b.serving && a.filler == b.filler)
            && (a.headroom_percent - b.headroom_percent).abs() < COST_CHANGE_MIN_PERCENT
    };
    costs.len() != sent.len() || !costs.iter().zip(sent).all(is_same)
}

/// The orders for a worker.
#[derive(Debug, Default)]
struct Orders {
    list: Vec<RunOrder>,
    has_all_sent_starts: bool,
    /// The starts that are due and were sent, with these orders or before.
    sent_starts: BTreeSet<RunRef>,
}

/// Returns the orders that make a worker's runs match the ledger, with as many starts as
/// `start_memory` allows.
fn orders_for(
    workflows: &Workflows,
    id: WorkerId,
    worker: &Worker,
    report: &WorkerReport,
    session: &Session,
    start_memory: &mut StartMemory,
) -> Orders {
    let ended: HashSet<_> = report.ended.iter().map(|it| it.end.run).collect();
    // Runs placed on a worker whose capacity has shrunk since may no longer fit.
    let may_not_begin = workflows.is_evacuated(id) || !fits(worker.reserved, worker.capacity);
    let mut res = Vec::new();
    let mut due_starts = Vec::new();
    for run in &worker.runs {
        match session.monitored_runs.contains_key(run) {
            _ if workflows.is_redundant(*run) => res.push(RunOrder::Stop(*run)),
            true if session.is_evicted(*run) => res.push(RunOrder::Stop(*run)),
            true if report.roles_missing => {
                let role = role_of(workflows, run.task);
                res.push(RunOrder::Role(RunRole { run: *run, role }));
            }
            true => (),
            false if ended.contains(run) => (),
            // An earlier report listed the run, and no end was reported. It may still be running,
            // so its node must block it before the task begins again.
            false if session.ever_listed_runs.contains(run) => res.push(RunOrder::Stop(*run)),
            // The node blocks the run and then reports that it will never begin.
            false if may_not_begin => res.push(RunOrder::Stop(*run)),
            false => due_starts.push(*run),
        }
    }
    // A run that the ledger no longer places here must not continue while its task begins
    // elsewhere.
    let unplaced_runs = report.running.iter().filter(|it| !worker.runs.contains(&it.run));
    res.extend(unplaced_runs.map(|it| RunOrder::Stop(it.run)));
    let start_of = |run| start_order(workflows, run);
    let batch = start_memory.take(&due_starts, &session.sent_starts, start_of);
    res.extend(batch.starts.into_iter().map(RunOrder::Start));
    Orders { list: res, has_all_sent_starts: batch.has_all_sent, sent_starts: batch.sent }
}

/// Returns the worker pools of the configuration, or none if no configuration is installed.
pub(super) fn services(workflows: &Workflows) -> Vec<CompactString> {
    workflows.config().map(|it| it.services.clone()).unwrap_or_default()
}

fn start_order(workflows: &Workflows, run: RunRef) -> Option<StartRun> {
    let workflow = workflows.get(run.task.workflow)?;
    let task = workflow.task(run.task)?;
    Some(StartRun {
        run,
        payload: workflow.spec.payload.clone(),
        checkpoint: task.checkpoint.clone(),
        role: role_of(workflows, run.task),
    })
}

fn role_of(workflows: &Workflows, task: TaskRef) -> TaskRole {
    match workflows.step_of(task) {
        Some(it) if it.filler => TaskRole::Filler(FillerRole {
            image: it.image.clone(),
            cpu_millicores: it.need.cpu_millicores,
        }),
        Some(it) if 0 < it.tail_target_ms => {
            TaskRole::Serving(ServingRole { image: it.image.clone(), target_ms: it.tail_target_ms })
        }
        _ => TaskRole::Plain,
    }
}

/// Number of low bits of a token that hold the worker id.
const WORKER_ID_BITS: u32 = 24;

/// Returns the token for calls of a worker.
///
/// The term is in the high bits, so a later leader fences an earlier one. Within a term, a worker
/// that enrols again after its loss gets a higher token, so that calls under its earlier lease are
/// rejected.
pub(super) fn token(term: u64, worker: WorkerId) -> u64 {
    (term << WORKER_ID_BITS) | (worker.0 & ((1 << WORKER_ID_BITS) - 1))
}

/// Returns the name of a run in logs: workflow, occurrence, step, index and run number.
pub fn run_name(it: RunRef) -> CompactString {
    let task = it.task;
    format_compact!(
        "{:016x}.{}.{}.{}/{}",
        task.workflow.0,
        task.occurrence,
        task.step,
        task.index,
        it.run
    )
}
