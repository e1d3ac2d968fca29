//! Worker incarnations that are not enrolled yet.
//!
//! An incarnation that takes the place of another one ends the runs of that one, whose tasks then
//! start elsewhere. If both have the same id, starts that were sent to the earlier incarnation may
//! still be carried out by the later one, also when they came from an earlier process of its node.
//! The runs that these begin are called strays. So the leader first fences and empties the later incarnation: it grants a token above that of
//! the earlier one, orders what the worker lists to be stopped, and enrols the worker once a list
//! read under that token shows no run.

use std::net::SocketAddr;

use crate::{
    control::{
        dispatch::{
            Dispatcher,
            orders::{services, token},
        },
        state::{NO_RESOURCES, Workflows},
    },
    prelude::*,
    util::id_of_incarnation,
};

impl Dispatcher {
    /// Handles report `number` of a node, on a worker incarnation that is not in the ledger.
    pub(super) fn on_unknown_worker(
        &mut self,
        workflows: &Workflows,
        node: SocketAddr,
        number: u64,
        worker: &WorkerReport,
        members: &[SocketAddr],
        now: Now,
    ) {
        let may_hold_strays = || worker.term != self.term || !worker.running.is_empty();
        match workflows.is_unconfigured_service(&worker.service) {
            _ if worker.gone => self.settle_failures_on_ended(workflows, node, worker),
            true => {
                tracing::debug!(event = "worker_foreign", worker = %worker.name, node = %node, service = %worker.service);
            }
            false if is_enrolled_by_id(workflows, node, &worker.name) => (),
            false
                if enrolled_with_same_id(workflows, node, &worker.name).is_some()
                    && may_hold_strays() =>
            {
                self.hold_predecessor(workflows, node, worker, now);
                return self.send_fencing_grant(workflows, node, number, worker, members);
            }
            false => {
                self.mark_replaced_lost(workflows, node, now);
                self.output.commands.push(WorkflowCommand::Enrol(enrolment(node, worker)));
            }
        }
        self.send_empty_grant(workflows, node, number, members);
    }

    /// Keeps the runs of the earlier incarnation from being concluded by its lease while the later
    /// one lists some of them. These end by their own lease, which nobody renews.
    fn hold_predecessor(
        &mut self,
        workflows: &Workflows,
        node: SocketAddr,
        worker: &WorkerReport,
        now: Now,
    ) {
        let predecessor = enrolled_with_same_id(workflows, node, &worker.name);
        let session = predecessor.and_then(|id| self.sessions.get_mut(id));
        if let Some(session) = session
            && !session.is_being_dismissed
            && worker.term == self.term
        {
            session.lease_expires_ms = now.mono_ms + self.options.lease_with_margin_ms();
        }
    }

    /// Answers a node whose worker is not enrolled with a token for queries to it: a worker
    /// incarnation that has seen a token rejects queries with lower ones. The token must not fence
    /// an enrolled worker at the same node.
    pub(super) fn send_empty_grant(
        &mut self,
        workflows: &Workflows,
        node: SocketAddr,
        number: u64,
        members: &[SocketAddr],
    ) {
        let ids = workflows.workers().ids_at_node(node);
        let last_id = ids.into_iter().max().unwrap_or(workflows.workers().last_id());
        let grant = NodeGrant {
            number,
            token: token(self.term, last_id),
            ..self.grant_without_lease(workflows, members)
        };
        self.output.messages.push((node, Message::NodeGrant(grant)));
    }

    /// Grants a worker that is not enrolled a token that no earlier incarnation had, and orders the
    /// runs that it lists to be stopped.
    fn send_fencing_grant(
        &mut self,
        workflows: &Workflows,
        node: SocketAddr,
        number: u64,
        worker: &WorkerReport,
        members: &[SocketAddr],
    ) {
        let stops = worker.running.iter().map(|it| RunOrder::Stop(it.run));
        tracing::info!(event = "worker_fenced", worker = %worker.name, node = %node, runs = worker.running.len(), listed_term = worker.term, term = self.term);
        // The next enrolment has this id or a higher one.
        let next_id = WorkerId(workflows.workers().last_id().0 + 1);
        let grant = NodeGrant {
            number,
            sequence: number,
            token: token(self.term, next_id),
            worker: worker.name.clone(),
            capacity: worker.capacity,
            orders: stops.collect(),
            ..self.grant_without_lease(workflows, members)
        };
        self.output.messages.push((node, Message::NodeGrant(grant)));
    }

    fn grant_without_lease(&self, workflows: &Workflows, members: &[SocketAddr]) -> NodeGrant {
        NodeGrant {
            number: 0,
            sequence: 0,
            sent_ms: 0,
            term: self.term,
            token: 0,
            is_complete: false,
            lease_ms: 0,
            worker: CompactString::default(),
            capacity: NO_RESOURCES,
            acked_cursor: 0,
            orders: Vec::new(),
            services: services(workflows),
            costs: Vec::new(),
            members: members.to_vec(),
        }
    }
}

/// Returns whether an earlier version has enrolled a worker incarnation by its id alone. What runs
/// there is then known only when that enrolment's lease has expired.
fn is_enrolled_by_id(workflows: &Workflows, node: SocketAddr, name: &str) -> bool {
    let Some(id) = id_of_incarnation(name) else { return false };
    workflows.workers().find(node, id).is_some()
}

/// Returns the incarnation enrolled at the node that has the same id. A worker with another id
/// refuses the calls that were meant for that one.
fn enrolled_with_same_id(workflows: &Workflows, node: SocketAddr, name: &str) -> Option<WorkerId> {
    let id = id_of_incarnation(name)?;
    let has_same_id = |it: &WorkerId| {
        let worker = workflows.workers().get(*it);
        worker.is_some_and(|it| id_of_incarnation(&it.name) == Some(id))
    };
    workflows.workers().ids_at_node(node).into_iter().find(has_same_id)
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
