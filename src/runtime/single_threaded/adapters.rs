//! Adapters that execute the effects of the cores on the single thread.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Instant,
};

use crate::{
    control::{self, ControlCore},
    gateway::{self, GatewayCore},
    http::{OutgoingPool, Pending},
    link::Link,
    metrics::Metrics,
    node::{self, CallResult, NodeCore},
    prelude::*,
    runtime::{
        disk::DiskWriter,
        role::Adapter,
        single_threaded::{Event, Platform, SingleThreadedHandle},
    },
    util::Clock,
};

pub(super) type Loopback = Rc<RefCell<VecDeque<(SocketAddr, Message)>>>;

/// The sending side of the process's links.
#[derive(Clone)]
pub(super) struct MessageSender {
    pub link: Link,
    pub own_address: SocketAddr,
    pub loopback: Loopback,
}

impl MessageSender {
    fn send(&self, to: SocketAddr, message: Message) {
        if to == self.own_address {
            self.loopback.borrow_mut().push_back((to, message));
        } else {
            self.link.send(to, Envelope { in_force: Revision(0), message });
        }
    }
}

pub(super) struct GatewayAdapter<P: Platform> {
    pub sender: MessageSender,
    pub pending: Pending,
    pub platform: P,
    pub is_stopping: Rc<Cell<bool>>,
    /// Time of the last request or answer, whichever is later.
    pub last_activity: Rc<Cell<Instant>>,
    pub metrics: Arc<Metrics>,
}

impl<P: Platform> GatewayAdapter<P> {
    fn count(&self, answer: &gateway::GatewayAnswer, took_ms: u64) {
        let result_label = match answer {
            gateway::GatewayAnswer::Outcome(_) => "told",
            gateway::GatewayAnswer::Rejected { cause, .. } => {
                self.metrics.count_gateway_rejection(*cause);
                "not_taken"
            }
            gateway::GatewayAnswer::Unknown => "unknown",
        };
        self.metrics.observe_gateway_answer(result_label, took_ms as f64 / 1_000.0);
    }
}

impl<P: Platform> Adapter<GatewayCore> for GatewayAdapter<P> {
    fn execute(&mut self, effect: gateway::Effect, _in_force: Revision) {
        match effect {
            gateway::Effect::Send { to, message } => self.sender.send(to, message),
            gateway::Effect::Answer { token, answer, took_ms } => {
                self.count(&answer, took_ms);
                self.last_activity.set(Instant::now());
                let mut answer = self.platform.answer(&answer);
                if self.is_stopping.get() {
                    // Makes the client send its next request to another process.
                    answer.headers.push(("Connection", "close".to_owned()));
                }
                self.pending.answer(token, answer);
            }
        }
    }

    fn observe(&mut self, _core: &GatewayCore) {}
}

pub(super) struct NodeAdapter<P: Platform> {
    pub sender: MessageSender,
    pub platform: P,
    pub pool: OutgoingPool,
    pub timeout_ms: u64,
    pub handle: SingleThreadedHandle,
    pub metrics: Arc<Metrics>,
}

impl<P: Platform> Adapter<NodeCore> for NodeAdapter<P> {
    fn execute(&mut self, effect: node::Effect, _in_force: Revision) {
        match effect {
            node::Effect::Send { to, message } => self.sender.send(to, message),
            node::Effect::AnnouncementIgnored(cause) => {
                self.metrics.count_ignored_announcement(cause)
            }
            node::Effect::Call { id, call } => {
                let (pool, platform) = (self.pool.clone(), self.platform.clone());
                let (handle, timeout_ms) = (self.handle.clone(), self.timeout_ms);
                let created_ms = Clock.now().mono_ms;
                tokio::task::spawn_local(async move {
                    let result = match Clock.now().mono_ms < created_ms + CALL_AGE_MAX_MS {
                        true => {
                            let reply = pool.call(platform.worker_call(&call, timeout_ms)).await;
                            platform.worker_result(&call, reply)
                        }
                        false => CallResult::NoAnswer,
                    };
                    handle.send_event(Event::Node(node::Input::CallEnded { id, result }));
                });
            }
        }
    }

    fn observe(&mut self, _core: &NodeCore) {}
}

/// Age from which a queued call to the worker is dropped: this process was suspended meanwhile, and
/// the worker's id may belong to another worker incarnation by now.
const CALL_AGE_MAX_MS: u64 = 300;

pub(super) struct MemberAdapter {
    pub sender: MessageSender,
    pub disk: DiskWriter,
    pub metrics: Arc<Metrics>,
}

impl Adapter<ControlCore> for MemberAdapter {
    fn execute(&mut self, effect: control::Effect, _in_force: Revision) {
        match effect {
            control::Effect::Send { to, message } => self.sender.send(to, message),
            control::Effect::Write { number, writes } => self.disk.submit(number, writes),
            // Operations arrive over links only: this process has no HTTP listener for operations.
            control::Effect::Answer { .. } => (),
        }
    }

    fn observe(&mut self, core: &ControlCore) {
        let state = core.state();
        let log_entries = core.raft().last_index() - core.raft().snapshot_index();
        let counts = core.intake_counts();
        let rows = [
            ("workflows", state.workflows.len()),
            ("workers", state.workflows.workers().len()),
            ("evacuations", state.workflows.evacuations().zones.len()),
            ("suspects", state.workflows.suspects().len()),
            ("log_entries", log_entries as usize),
            ("log_bytes", core.raft().entries_bytes()),
            ("calls_refused", counts.refused as usize),
            ("calls_overdue", counts.overdue as usize),
            ("calls_expired", counts.expired as usize),
            ("calls_withdrawn", counts.withdrawn as usize),
            ("calls_without_memory", core.submissions_without_memory() as usize),
            ("cancels_refused", core.refused_cancels() as usize),
            ("tombstones", state.workflows.tombstones().len()),
            ("workflow_bytes", state.workflows.memory_bytes()),
        ];
        self.metrics.set_state(&rows);
    }
}
