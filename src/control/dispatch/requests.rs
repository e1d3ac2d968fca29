//! Clients' and operators' requests, answered by the leader.

use crate::{
    control::dispatch::Dispatcher,
    control::state::{ValidationError, Workflows, check_queues, check_spec},
    prelude::*,
};

/// What a request leads to.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestDecision {
    /// Answered from the state.
    Answer(WorkflowOutcome),
    /// Answered with what the ledger says of this command.
    Propose(WorkflowCommand),
}

impl Dispatcher {
    /// Decides on a request.
    pub fn decide_request(
        workflows: &Workflows,
        request: WorkflowRequest,
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
                Err(ValidationError(why)) => {
                    tracing::info!(event = "queues_refused", version = it.version, why = %why);
                    RequestDecision::Answer(WorkflowOutcome::Invalid(why))
                }
            },
            WorkflowRequest::ReadEvacuations => RequestDecision::Answer(evacuations(workflows)),
            WorkflowRequest::Evacuate(it) => evacuate(workflows, it),
            WorkflowRequest::Submit(it) => submit(workflows, it, now),
            WorkflowRequest::Inspect(it) => RequestDecision::Answer(inspect(workflows, &it)),
            WorkflowRequest::Cancel(it) => match find(workflows, &it) {
                Ok((_, Some(id))) if workflows.get(id).is_some() => {
                    RequestDecision::Propose(WorkflowCommand::Cancel(id))
                }
                Ok((_, Some(_))) => RequestDecision::Answer(WorkflowOutcome::Gone),
                Ok((_, None)) => RequestDecision::Answer(WorkflowOutcome::NotFound),
                Err(it) => RequestDecision::Answer(it),
            },
        }
    }
}

fn evacuations(workflows: &Workflows) -> WorkflowOutcome {
    WorkflowOutcome::Evacuations(workflows.evacuations().clone())
}

fn evacuate(workflows: &Workflows, it: EvacuateRequest) -> RequestDecision {
    if let Err(ValidationError(why)) = workflows.evacuations().check(&it) {
        tracing::info!(event = "evacuation_refused", zone = %it.zone, why = %why);
        return RequestDecision::Answer(WorkflowOutcome::Invalid(why));
    }
    match it.based_on {
        // Whoever asks is told what it would change, and asks again on that ground.
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

fn submit(workflows: &Workflows, it: WorkflowSubmission, now: Now) -> RequestDecision {
    let (queue, id) = match find(workflows, &it.target) {
        Ok((queue, Some(id))) => (queue, id),
        Ok((_, None)) => return RequestDecision::Answer(WorkflowOutcome::NotFound),
        Err(it) => return RequestDecision::Answer(it),
    };
    if workflows.get(id).is_some() {
        return RequestDecision::Answer(WorkflowOutcome::Accepted);
    }
    if queue.needs_ticket {
        return RequestDecision::Answer(WorkflowOutcome::Unserved);
    }
    if let Err(ValidationError(why)) = check_spec(&it.spec) {
        return RequestDecision::Answer(WorkflowOutcome::Invalid(why));
    }
    RequestDecision::Propose(WorkflowCommand::Submit(SubmitWorkflow {
        id,
        queue: queue.name.clone(),
        spec: it.spec,
        accepted_ms: now.wall_ms,
    }))
}

fn inspect(workflows: &Workflows, it: &WorkflowTarget) -> WorkflowOutcome {
    match find(workflows, it) {
        Ok((_, Some(id))) => match workflows.get(id) {
            Some(it) => WorkflowOutcome::Phase(it.phase()),
            None => WorkflowOutcome::Gone,
        },
        Ok((queue, None)) => {
            let waits = |it: &&crate::control::state::Workflow| {
                it.queue == queue.name && it.phase() == WorkflowPhase::Queued
            };
            let count = workflows.active().map(|(_, it)| it).filter(waits).count();
            WorkflowOutcome::Pending(count as u64)
        }
        Err(it) => it,
    }
}

/// Returns the queue of a place, and the workflow that the rest of the path names, if any.
fn find<'a>(
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
