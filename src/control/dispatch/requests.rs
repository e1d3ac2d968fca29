//! Decides how the leader answers requests of clients and operators.

use crate::{
    control::dispatch::{Dispatcher, admission::Submission},
    control::state::{ValidationError, Workflows, check_queues, check_spec},
    policy::verdict::CallId,
    prelude::*,
};

/// How a request is answered.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestDecision {
    /// Answered at once from the state.
    Answer(WorkflowOutcome),
    /// Answered with the outcome of this command when the ledger has applied it.
    Propose(WorkflowCommand),
}

impl Dispatcher {
    /// Returns the workflow that a request submits.
    pub fn submitted_id(workflows: &Workflows, request: &WorkflowRequest) -> Option<WorkflowId> {
        let target = match request {
            WorkflowRequest::Submit(it) => &it.target,
            WorkflowRequest::SubmitFrom(it) => &it.submission.target,
            _ => return None,
        };
        resolve_target(workflows, target).ok()?.1
    }

    /// Returns the workflow that a request cancels.
    pub fn cancelled_id(workflows: &Workflows, request: &WorkflowRequest) -> Option<WorkflowId> {
        let WorkflowRequest::Cancel(target) = request else { return None };
        resolve_target(workflows, target).ok()?.1
    }

    /// Decides how to answer a request; `calls` are its copies that wait for the answer.
    pub fn decide_request(
        &mut self,
        workflows: &Workflows,
        request: WorkflowRequest,
        calls: &[CallId],
        now: Now,
    ) -> RequestDecision {
        match request {
            WorkflowRequest::Ping => RequestDecision::Answer(WorkflowOutcome::Pong),
            WorkflowRequest::ReadConfig => RequestDecision::Answer(match workflows.config() {
                Some(it) => WorkflowOutcome::Config((**it).clone()),
                None => WorkflowOutcome::NoConfig,
            }),
            WorkflowRequest::Install(it) => match check_queues(&it) {
                Ok(()) => RequestDecision::Propose(WorkflowCommand::Install(it)),
                Err(ValidationError(reason)) => {
                    tracing::info!(event = "queues_refused", version = it.version, why = %reason);
                    RequestDecision::Answer(WorkflowOutcome::Invalid(reason))
                }
            },
            WorkflowRequest::ReadEvacuations => RequestDecision::Answer(evacuations(workflows)),
            WorkflowRequest::ReadWaiting(rows_max) => RequestDecision::Answer(
                WorkflowOutcome::Waiting(self.waiting_report(workflows, rows_max, now)),
            ),
            WorkflowRequest::Evacuate(it) => evacuate(workflows, it),
            WorkflowRequest::Submit(it) => {
                let zone = CompactString::default();
                self.submit(workflows, OriginatedSubmission { zone, submission: it }, calls, now)
            }
            WorkflowRequest::SubmitFrom(it) => self.submit(workflows, it, calls, now),
            WorkflowRequest::Inspect(it) => RequestDecision::Answer(inspect(workflows, &it)),
            WorkflowRequest::Cancel(it) => match resolve_target(workflows, &it) {
                // Its submission may be under way: the ledger orders the two.
                Ok((_, Some(id))) if workflows.get(id).is_some() => {
                    RequestDecision::Propose(WorkflowCommand::Cancel(id))
                }
                Ok((_, Some(id))) => RequestDecision::Propose(record_tombstones(vec![id])),
                Ok((_, None)) => RequestDecision::Answer(WorkflowOutcome::NotFound),
                Err(it) => RequestDecision::Answer(it),
            },
        }
    }
    fn submit(
        &mut self,
        workflows: &Workflows,
        it: OriginatedSubmission,
        calls: &[CallId],
        now: Now,
    ) -> RequestDecision {
        let OriginatedSubmission { zone, submission } = it;
        let (queue, id) = match resolve_target(workflows, &submission.target) {
            Ok((queue, Some(id))) => (queue, id),
            Ok((_, None)) => return RequestDecision::Answer(WorkflowOutcome::NotFound),
            Err(it) => return RequestDecision::Answer(it),
        };
        if workflows.is_cancelled(id) {
            log_cancelled_before(id);
            return RequestDecision::Answer(WorkflowOutcome::Gone);
        }
        if workflows.get(id).is_some() {
            return RequestDecision::Answer(WorkflowOutcome::Accepted);
        }
        if queue.needs_ticket {
            return RequestDecision::Answer(WorkflowOutcome::Unserved);
        }
        let spec = submission.spec;
        if let Err(ValidationError(reason)) = check_spec(&spec) {
            return RequestDecision::Answer(WorkflowOutcome::Invalid(reason));
        }
        let submission = Submission { id, queue, zone: &zone, spec: &spec, calls };
        if let Some(it) = self.rejection(workflows, submission, now) {
            return RequestDecision::Answer(WorkflowOutcome::Rejected(it));
        }
        let queue = queue.name.clone();
        let workflow = SubmitWorkflow { id, queue, spec, accepted_ms: now.wall_ms };
        RequestDecision::Propose(WorkflowCommand::SubmitFrom(OriginatedWorkflow { zone, workflow }))
    }
}

/// Logs that a copy of a submission came after its cancel.
pub fn log_cancelled_before(id: WorkflowId) {
    tracing::info!(event = "submission_refused", workflow = %format_args!("{:016x}", id.0), cause = "cancelled");
}

/// Returns the command that cancels workflows which are not known.
pub fn record_tombstones(ids: Vec<WorkflowId>) -> WorkflowCommand {
    WorkflowCommand::RecordTombstones(RecordedTombstones { ids, expired_before_ms: 0 })
}

fn evacuations(workflows: &Workflows) -> WorkflowOutcome {
    WorkflowOutcome::Evacuations(workflows.evacuations().clone())
}

fn evacuate(workflows: &Workflows, it: EvacuateRequest) -> RequestDecision {
    if let Err(ValidationError(reason)) = workflows.evacuations().check(&it) {
        tracing::info!(event = "evacuation_refused", zone = %it.zone, why = %reason);
        return RequestDecision::Answer(WorkflowOutcome::Invalid(reason));
    }
    match it.based_on {
        // The operator gets the present revision, and repeats the request with it.
        None => RequestDecision::Answer(evacuations(workflows)),
        Some(based_on) if based_on != workflows.evacuations().revision => {
            RequestDecision::Answer(WorkflowOutcome::Stale)
        }
        Some(based_on) => RequestDecision::Propose(WorkflowCommand::Evacuate(EvacuateZone {
            zone: it.zone,
            evacuated: it.evacuated,
            by: it.by,
            based_on,
        })),
    }
}

fn inspect(workflows: &Workflows, it: &WorkflowTarget) -> WorkflowOutcome {
    match resolve_target(workflows, it) {
        Ok((_, Some(id))) => match workflows.get(id) {
            Some(it) => WorkflowOutcome::Phase(it.phase()),
            None => WorkflowOutcome::Gone,
        },
        Ok((queue, None)) => {
            let is_queued = |it: &&crate::control::state::Workflow| {
                it.queue == queue.name && it.phase() == WorkflowPhase::Queued
            };
            let count = workflows.active().map(|(_, it)| it).filter(is_queued).count();
            WorkflowOutcome::Pending(count as u64)
        }
        Err(it) => it,
    }
}

/// Returns the queue that serves a target, and the workflow that the rest of the path names, if
/// any.
fn resolve_target<'a>(
    workflows: &'a Workflows,
    it: &WorkflowTarget,
) -> Result<(&'a Queue, Option<WorkflowId>), WorkflowOutcome> {
    if workflows.config().is_none() {
        return Err(WorkflowOutcome::NoConfig);
    }
    let Some(queue) = workflows.queue_for_path(&it.host, &it.path) else {
        return Err(WorkflowOutcome::NotFound);
    };
    match &it.path[queue.path_prefix.len()..] {
        "" => Ok((queue, None)),
        rest => match parse_id(rest) {
            Some(id) => Ok((queue, Some(id))),
            None => Err(WorkflowOutcome::Invalid(format_compact!(
                "'{rest}' is no workflow id; 16 hexadecimal digits are"
            ))),
        },
    }
}

fn parse_id(text: &str) -> Option<WorkflowId> {
    let is_hex = text.len() == 16 && text.bytes().all(|it| it.is_ascii_hexdigit());
    is_hex.then(|| u64::from_str_radix(text, 16).ok().map(WorkflowId)).flatten()
}
