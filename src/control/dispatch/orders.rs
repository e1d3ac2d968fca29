//! Reports taken in, leases granted, and the orders that follow from the ledger.

use std::{
    collections::{BTreeSet, HashSet},
    net::SocketAddr,
};

use crate::{
    control::{
        dispatch::{
            Dispatcher, LOAD_PAUSE_MS, PLAN_PAUSE_MS, lost_workers::LossCause, sessions::Session,
        },
        state::{NO_RESOURCES, Worker, Workflows, fits},
    },
    prelude::*,
    util::id_of_incarnation,
};

impl Dispatcher {
    /// Takes in a node's report and answers it.
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
        let Some(seen) = report.workers.into_iter().next() else {
            return self.send_empty_grant(workflows, report.node, report.number, members);
        };
        let Some(id) = workflows.workers().find(report.node, &seen.name) else {
            match workflows.is_unconfigured_service(&seen.service) {
                _ if seen.gone => (),
                true => {
                    tracing::debug!(event = "worker_foreign", worker = %seen.name, node = %report.node, service = %seen.service);
                }
                false if self.may_be_lifetime_before(workflows, report.node, &seen.name) => (),
                false => {
                    self.mark_replaced_lost(workflows, report.node, now);
                    self.output
                        .commands
                        .push(WorkflowCommand::Enrol(enrolment(report.node, &seen)));
                }
            }
            return self.send_empty_grant(workflows, report.node, report.number, members);
        };
        let Some(session) = self.sessions.get_mut(id) else { return };
        if session.is_being_dismissed {
            // Too late to renew anything.
            return;
        }
        let before = session.report.as_ref().map(|it| (it.draining, it.term));
        let is_other_node = session.boot != report.boot;
        session.boot = report.boot;
        session.report_number = report.number;
        session.report_sent_ms = report.sent_ms;
        session.last_report_ms = now.mono_ms;
        if is_other_node {
            session.sent_costs.clear();
        }
        if seen.draining && !before.is_some_and(|(draining, _)| draining) {
            tracing::info!(event = "worker_draining", worker = %seen.name, node = %report.node, remaining_ms = seen.remaining_ms);
        }
        let (is_gone, is_leaving) = (seen.gone, seen.draining);
        let capacity = seen.capacity;
        let is_as_before = before == Some((seen.draining, seen.term));
        session.report = Some(seen);
        // Loads alone change what fits only for what waits for room or is slow.
        self.want_plan(if is_as_before { LOAD_PAUSE_MS } else { PLAN_PAUSE_MS });
        self.take_capacity(workflows, id, capacity);
        self.take_running(workflows, id, now);
        let has_ends = self.take_ends(workflows, id, now);
        self.settle_failures(workflows, id);
        self.take_refusals(workflows, id);
        if is_gone {
            let loss = if is_leaving { LossCause::Left } else { LossCause::Crashed };
            return self.mark_lost(workflows, id, loss, now);
        }
        // Ends are answered once they are in the ledger, a commit later: one answer in place of
        // two. If that takes long, the next report is answered at once.
        if !has_ends {
            self.send_grant(workflows, id, members, now);
        }
    }

    /// Returns whether a lifetime may be one that an earlier version enrolled by its id alone, so that
    /// what runs there is known only once that one's lease is over.
    fn may_be_lifetime_before(&self, workflows: &Workflows, node: SocketAddr, name: &str) -> bool {
        let Some(id) = id_of_incarnation(name) else { return false };
        workflows.workers().find(node, id).is_some()
    }

    /// Proposes what a worker now has, where that differs from the ledger.
    ///
    /// A worker that has shrunk below what runs there goes on with it and gets nothing until that
    /// fits: what runs ends in time to come, and to stop it would throw its work away.
    fn take_capacity(&mut self, workflows: &Workflows, id: WorkerId, capacity: Resources) {
        let Some(worker) = workflows.workers().get(id) else { return };
        if worker.capacity != capacity {
            self.output
                .commands
                .push(WorkflowCommand::Resize(ResizeWorker { worker: id, capacity }));
        }
    }

    /// Proposes the ends that the ledger does not hold yet; returns whether there are any.
    fn take_ends(&mut self, workflows: &Workflows, id: WorkerId, now: Now) -> bool {
        let Some(worker) = workflows.workers().get(id) else { return false };
        let Some(session) = self.sessions.get_mut(id) else { return false };
        let Some(report) = &session.report else { return false };
        let from = session.proposed_cursor.max(worker.cursor);
        let fresh = report.ended.iter().filter(|it| from < it.cursor);
        let Some(cursor) = fresh.clone().map(|it| it.cursor).max() else { return false };
        let ends: Vec<_> = fresh.map(|it| it.end.clone()).collect();
        session.proposed_cursor = cursor;
        // Ends from before the worker was given up say nothing of it now.
        let held = ends.iter().filter(|it| workflows.has_run(id, it.run));
        held.for_each(|it| judge_worker(session, worker, it, now));
        self.output.commands.push(WorkflowCommand::Finish(FinishRuns { worker: id, cursor, ends }));
        true
    }

    /// Proposes what becomes of failures of which the worker has heard, or never will.
    pub(super) fn settle_failures(&mut self, workflows: &Workflows, id: WorkerId) {
        let Some(report) = self.sessions.get(id).and_then(|it| it.report.as_ref()) else { return };
        let settled = workflows.failures_to_settle(id, report.noted);
        self.output.commands.extend(settled.map(WorkflowCommand::Settle));
    }

    /// Proposes to take back the runs that the worker will never begin.
    fn take_refusals(&mut self, workflows: &Workflows, id: WorkerId) {
        let Some(worker) = workflows.workers().get(id) else { return };
        let Some(report) = self.sessions.get(id).and_then(|it| it.report.as_ref()) else { return };
        let refused = report.refused.iter().filter(|it| worker.runs.contains(&it.run));
        let runs: Vec<_> = refused
            .inspect(|it| tracing::warn!(event = "run_refused", run = %run_name(it.run), worker = %worker.name, cause = %it.cause))
            .map(|it| it.run)
            .collect();
        if !runs.is_empty() {
            self.output.commands.push(WorkflowCommand::Void(VoidRuns { worker: id, runs }));
        }
    }

    /// Answers a node whose worker is not known, with a token for looks at it: a lifetime that has
    /// seen a token tells what it is to none below. One that is enrolled must not be fenced by it.
    fn send_empty_grant(
        &mut self,
        workflows: &Workflows,
        node: SocketAddr,
        number: u64,
        members: &[SocketAddr],
    ) {
        let beside = workflows.workers().ids_at_node(node);
        let known = beside.into_iter().max().unwrap_or(workflows.workers().last_id());
        let grant = NodeGrant {
            number,
            sequence: 0,
            sent_ms: 0,
            term: self.term,
            token: token(self.term, known),
            is_complete: false,
            lease_ms: 0,
            worker: CompactString::default(),
            capacity: NO_RESOURCES,
            acked_cursor: 0,
            orders: Vec::new(),
            services: services(workflows),
            costs: Vec::new(),
            members: members.to_vec(),
        };
        self.output.messages.push((node, Message::NodeGrant(grant)));
    }

    /// Renews a worker's lease, counted from the sending of its newest report, with all orders.
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
        let listed = session.report.as_ref().filter(|it| it.term == self.term);
        // Without a list of this term it is not known yet what runs there.
        let orders =
            listed.map(|it| orders_for(workflows, id, worker, it, session)).unwrap_or_default();
        let mut grant = NodeGrant {
            number: session.report_number,
            sequence: session.grants_sent + 1,
            sent_ms,
            term: self.term,
            token: token(self.term, id),
            is_complete: listed.is_some(),
            lease_ms: self.options.lease_ms,
            worker: worker.name.clone(),
            capacity: worker.capacity,
            acked_cursor: worker.cursor,
            orders,
            services: services(workflows),
            costs: Vec::new(),
            members: members.to_vec(),
        };
        let node = session.node;
        if let Some(it) = self.sessions.get_mut(id) {
            it.grants_sent += 1;
        }
        let costs = self
            .free_capacities
            .get(workflows, &mut self.contention, id)
            .map(|it| it.costs(&self.contention));
        if let (Some(costs), Some(session)) = (costs, self.sessions.get_mut(id))
            && (session.costs_sent_ms + TOLD_AGAIN_MS <= session.last_report_ms
                || differ(&costs, &session.sent_costs))
        {
            session.sent_costs = costs.clone();
            session.costs_sent_ms = session.last_report_ms;
            grant.costs = costs;
        }
        self.output.messages.push((node, Message::NodeGrant(grant)));
    }

    /// Tells the workers of a zone at once that what they have not begun is not to begin.
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

    /// Tells the workers of a cancelled workflow at once.
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

/// Learns from an end whether a worker can be trusted with more.
fn judge_worker(session: &mut Session, worker: &Worker, end: &RunEnd, now: Now) {
    let workflow = end.run.task.workflow;
    match end.outcome {
        RunOutcome::Done => session.health.note_done(),
        RunOutcome::Failed if session.health.note_failed(workflow, now.mono_ms) => {
            tracing::warn!(event = "worker_avoided", worker = %worker.name, cause = "failures", run = %run_name(end.run));
        }
        _ => (),
    }
}

/// Least change of a cost, in percent of headroom a core, that a node is told: a tenth of what
/// alike images differ by.
const TOLD_CHANGE_PERCENT: f32 = 0.2;

/// Interval at which a node is told costs anew, since a link that breaks may lose what it was told.
const TOLD_AGAIN_MS: u64 = 2_000;

/// Returns whether a node is to be told costs anew.
fn differ(costs: &[ImageCost], told: &[ImageCost]) -> bool {
    let is_same = |(a, b): (&ImageCost, &ImageCost)| {
        (a.serving == b.serving && a.filler == b.filler)
            && (a.headroom_percent - b.headroom_percent).abs() < TOLD_CHANGE_PERCENT
    };
    costs.len() != told.len() || !costs.iter().zip(told).all(is_same)
}

/// Returns the orders that bring what a worker runs to what the ledger holds.
fn orders_for(
    workflows: &Workflows,
    id: WorkerId,
    worker: &Worker,
    report: &WorkerReport,
    session: &Session,
) -> Vec<RunOrder> {
    let ended: HashSet<_> = report.ended.iter().map(|it| it.end.run).collect();
    // What was placed on a worker that has shrunk since may no longer fit.
    let may_not_begin = workflows.is_evacuated(id) || !fits(worker.used, worker.capacity);
    let mut res = Vec::new();
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
            // It ran, and its end was not told: it may run unseen, so that it must be barred before
            // the task begins again.
            false if session.ever_listed_runs.contains(run) => res.push(RunOrder::Stop(*run)),
            // Its node bars it from beginning, and then says that it never will.
            false if may_not_begin => res.push(RunOrder::Stop(*run)),
            false => res.extend(start_order(workflows, *run).map(RunOrder::Start)),
        }
    }
    // A run that the ledger has given up must not go on here while it begins elsewhere.
    let strays = report.running.iter().filter(|it| !worker.runs.contains(&it.run));
    res.extend(strays.map(|it| RunOrder::Stop(it.run)));
    res
}

/// Returns the pools of workers that the configuration names; none before there is one.
fn services(workflows: &Workflows) -> Vec<CompactString> {
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

/// Bits of a token that count enrolments within a term.
const ENROLMENT_BITS: u32 = 24;

/// Returns the token for calls of a worker.
///
/// A later leader fences an earlier one. Within a term, a worker that was given up and enrols
/// anew gets a higher token, so that a call from before its lease ran out does nothing there.
fn token(term: u64, worker: WorkerId) -> u64 {
    (term << ENROLMENT_BITS) | (worker.0 & ((1 << ENROLMENT_BITS) - 1))
}

fn enrolment(node: SocketAddr, it: &WorkerReport) -> EnrolWorker {
    EnrolWorker {
        name: it.name.clone(),
        node,
        service: it.service.clone(),
        zone: it.zone.clone(),
        kind: it.kind.clone(),
        rack: it.rack.clone(),
        capacity: it.capacity,
    }
}

/// Returns a run as logs show it: workflow, occurrence, step, index and run number.
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
