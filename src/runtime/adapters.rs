//! Adapters that execute the effects of the cores.

use std::{cell::RefCell, collections::VecDeque, net::SocketAddr, rc::Rc, sync::Arc};

use crossbeam_channel::Sender;

use crate::{
    agent::{self, AgentCore, EndpointCall, WorkerCall},
    control::{self, ControlCore},
    entry::{self, EntryCore},
    http::{self, HttpAnswer, Pending},
    link::{Link, LinkEvent},
    metrics::Metrics,
    prelude::*,
    runtime::{disk::DiskWriter, process::Event, role::Adapter, thread_pool::ThreadPool},
};

/// Messages of this process to itself, which bypass the links.
pub(super) type Loopback = Rc<RefCell<VecDeque<Event>>>;

/// The sending side of a process's links.
#[derive(Clone)]
pub(super) struct MessageSender {
    pub link: Link,
    pub own_address: SocketAddr,
    pub loopback: Loopback,
}

impl MessageSender {
    fn send(&self, to: SocketAddr, in_force: Revision, message: Message) {
        let envelope = Envelope { in_force, message };
        if to == self.own_address {
            let event = Event::Link(LinkEvent::Message {
                from: self.own_address,
                envelope: Box::new(envelope),
                held: None,
            });
            self.loopback.borrow_mut().push_back(event);
        } else {
            self.link.send(to, envelope);
        }
    }
}

/// Executes an entry's effects.
pub(super) struct EntryAdapter {
    pub sender: MessageSender,
    pub pending: Pending,
    pub metrics: Arc<Metrics>,
}

impl Adapter<EntryCore> for EntryAdapter {
    fn execute(&mut self, effect: entry::Effect, in_force: Revision) {
        match effect {
            entry::Effect::Send { to, message } => self.sender.send(to, in_force, message),
            entry::Effect::Answer { token, answer } => {
                self.pending.answer(token, http::caller::answer(answer))
            }
        }
    }

    fn observe(&mut self, core: &EntryCore) {
        self.metrics.in_force_revision.set(core.in_force().0 as i64);
    }
}

/// Executes an agent's effects.
pub(super) struct AgentAdapter<W, E>
where
    W: Fn(WorkerCall) + Send + Sync + 'static,
    E: Fn(EndpointCall) + Send + Sync + 'static,
{
    pub sender: MessageSender,
    pub pending: Pending,
    pub metrics: Arc<Metrics>,
    /// A pool of one thread, so that calls reach the worker in order.
    pub worker: ThreadPool<WorkerCall, W>,
    pub executors: ThreadPool<EndpointCall, E>,
}

impl<W, E> Adapter<AgentCore> for AgentAdapter<W, E>
where
    W: Fn(WorkerCall) + Send + Sync + 'static,
    E: Fn(EndpointCall) + Send + Sync + 'static,
{
    fn execute(&mut self, effect: agent::Effect, in_force: Revision) {
        match effect {
            agent::Effect::Send { to, message } => self.sender.send(to, in_force, message),
            agent::Effect::Worker(it) => self.worker.submit(it),
            agent::Effect::CallEndpoint(it) => self.executors.submit(it),
            agent::Effect::Answer { token, outcome } => {
                answer(&self.pending, &self.metrics, token, &outcome)
            }
        }
    }

    fn observe(&mut self, core: &AgentCore) {
        self.metrics.in_force_revision.set(core.in_force().0 as i64);
    }
}

/// Executes a control member's effects.
pub(super) struct ControlAdapter {
    pub sender: MessageSender,
    pub pending: Pending,
    pub metrics: Arc<Metrics>,
    pub disk: DiskWriter,
}

impl Adapter<ControlCore> for ControlAdapter {
    fn execute(&mut self, effect: control::Effect, in_force: Revision) {
        match effect {
            control::Effect::Send { to, message } => self.sender.send(to, in_force, message),
            control::Effect::Write { number, writes } => self.disk.submit(number, writes),
            control::Effect::Answer { token, outcome } => {
                answer(&self.pending, &self.metrics, token, &outcome)
            }
        }
    }

    fn observe(&mut self, core: &ControlCore) {
        self.metrics.in_force_revision.set(core.in_force().0 as i64);
        let state = core.state();
        let waiting = core.scheduler().map_or(0, |it| it.queue().len());
        let log_entries = core.raft().last_index() - core.raft().snapshot_index();
        self.metrics.set_state(&[
            ("vms", state.vms.len()),
            ("jobs", state.jobs.len()),
            ("tasks", state.jobs.task_count()),
            ("waiting", waiting),
            ("claims", state.claims.len()),
            ("watches", state.watches.len()),
            ("log_entries", log_entries as usize),
        ]);
    }
}

/// Answers an HTTP request, and counts a refusal.
fn answer(pending: &Pending, metrics: &Metrics, token: u64, outcome: &control::state::ReplyResult) {
    if let Err(it) = outcome {
        metrics.count_refusal(it.kind);
    }
    let answer = match outcome {
        Ok(it) => HttpAnswer::reply(it),
        Err(it) => HttpAnswer::refusal(it),
    };
    pending.answer(token, answer);
}

/// Returns a function that calls the worker and reports the result to the agent.
pub(super) fn worker_caller(
    worker: SocketAddr,
    events: Sender<Event>,
) -> impl Fn(WorkerCall) + Send + Sync + 'static {
    let client = http::client::new_client(2);
    move |call| {
        let result = http::client::call_worker(&client, worker, &call);
        let _ = events.send(Event::Agent(Box::new(agent::Input::Worker { call, result })));
    }
}

/// Returns a function that calls an endpoint and reports the result to the agent.
pub(super) fn executor_caller(
    threads: usize,
    events: Sender<Event>,
) -> impl Fn(EndpointCall) + Send + Sync + 'static {
    let client = http::client::new_client(threads);
    move |call: EndpointCall| {
        let result = http::client::call_executor(&client, &call);
        let _ = events.send(Event::Agent(Box::new(agent::Input::Executor {
            execution: call.execution,
            result,
        })));
    }
}
