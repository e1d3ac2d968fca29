//! A process for small VMs: every core, link and HTTP listener on one thread.
//!
//! Only the disk has its own thread, since a sync blocks. On a VM with a fraction of a CPU, each
//! switch between threads would cost a wake-up and gain no parallelism.

mod adapters;
mod operators;
mod options;

use std::{
    cell::Cell,
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use error_stack::ResultExt;
use stakker::{ActorOwn, Stakker, call};
use tokio::sync::mpsc;

use crate::{
    config::load_settings,
    control::{
        self, ControlCore, ControlOptions,
        dispatch::{DispatchOptions, MemoryLimits, PlanOptions, TombstoneLimits},
        log::{Disk, Identity},
    },
    gateway::{self, GatewayCore},
    http::{
        HttpAnswer, HttpCall, HttpReply, HttpRequest, OutgoingError, OutgoingPool, Pending,
        ServerLimits, ServerOptions, start_local_server,
    },
    link::{Link, LinkEvent, LinkOptions, LinkSink},
    metrics::Metrics,
    node::{self, AnnouncementRejection, CallResult, NodeCore, WorkerCall},
    prelude::*,
    runtime::{
        disk::{DiskSink, DiskWriter},
        process::ExitReason,
        role::{RoleActor, RoleStatus, start_actor},
        single_threaded::{
            adapters::{GatewayAdapter, Loopback, MemberAdapter, MessageSender, NodeAdapter},
            operators::own_request,
            options::{
                control_links, features, gateway_options, member_settings, node_options,
                small_server_options,
            },
        },
    },
    schema::settings::{DispatchSettings, GatewaySettings, NodeSettings, Settings},
    util::{Clock, GroupId, set_clock_ahead},
};

/// Longest wait for an event.
const WAIT_MAX: Duration = Duration::from_secs(1);

/// Interval at which a stopping process checks whether it can exit.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Most queued events that are dispatched before the actors run.
const BATCH_EVENTS_MAX: usize = 256;

/// Shortest time for which a stopping gateway still serves: a load balancer probes once a second
/// and removes a gateway after two failed probes.
const GATEWAY_STOP_MIN: Duration = Duration::from_millis(2_500);

/// Time without a request or an answer after which a stopping gateway can exit: clients still send
/// on open connections, and answers need time to be sent. If only requests counted, the answer to a
/// request that has waited a second for an unresponsive leader would be cut off.
const GATEWAY_IDLE_MIN: Duration = Duration::from_millis(1_000);

/// As [`GATEWAY_IDLE_MIN`], in a control process, whose operators retry elsewhere.
const MEMBER_IDLE_MIN: Duration = Duration::from_millis(200);

/// Translates between the core's types and the platform's HTTP messages; makes no decisions.
pub trait Platform: Clone + 'static {
    /// Returns a client's request and its wait in ms, or an immediate answer.
    fn client_request(&self, request: &HttpRequest) -> Result<(WorkflowRequest, u64), HttpAnswer>;

    /// Returns an operator's request, as [`Platform::client_request`].
    fn operator_request(&self, request: &HttpRequest)
    -> Result<(WorkflowRequest, u64), HttpAnswer>;

    /// Returns the HTTP answer to either request.
    fn answer(&self, answer: &gateway::GatewayAnswer) -> HttpAnswer;

    /// Returns the HTTP answer to a request that could not be read.
    fn refusal(&self, refusal: &Refusal) -> HttpAnswer;

    /// Answers a readiness probe of a load balancer.
    fn readiness(&self, request: &HttpRequest, is_ready: bool) -> HttpAnswer;

    /// Returns the input for the node from a worker's request, with the answer to it.
    ///
    /// # Errors
    ///
    /// Returns why the request announces no usable worker, with the answer to it.
    fn worker_request(
        &self,
        request: &HttpRequest,
    ) -> Result<(node::Input, HttpAnswer), (AnnouncementRejection, HttpAnswer)>;

    /// Returns the HTTP form of a call to a worker.
    fn worker_call(&self, call: &WorkerCall, timeout_ms: u64) -> HttpCall;

    /// Returns the result of a call to a worker.
    fn worker_result(
        &self,
        call: &WorkerCall,
        reply: Result<HttpReply, OutgoingError>,
    ) -> CallResult;
}

/// An event for the process's thread.
#[derive(Debug)]
enum Event {
    Link(LinkEvent),
    Gateway(gateway::Input),
    Node(node::Input),
    Persisted(u64),
    DiskFull(bool),
    DiskWritesRefused(bool),
    DiskFailed(error_stack::Report<Error>),
    Stop,
    Kill,
    Reload,
}

/// Sends events to the thread of a process.
#[derive(Clone, Debug)]
pub struct SingleThreadedHandle {
    events: mpsc::UnboundedSender<Event>,
}

impl SingleThreadedHandle {
    // Sending fails only after the process has ended.

    /// Begins a planned stop.
    pub fn stop(&self) {
        let _ = self.events.send(Event::Stop);
    }

    /// Ends the process at once.
    pub fn kill(&self) {
        let _ = self.events.send(Event::Kill);
    }

    /// Reloads the settings.
    pub fn reload(&self) {
        let _ = self.events.send(Event::Reload);
    }

    fn send_event(&self, event: Event) {
        let _ = self.events.send(event);
    }
}

impl LinkSink for SingleThreadedHandle {
    fn on_event(&self, event: LinkEvent) {
        self.send_event(Event::Link(event));
    }
}

impl DiskSink for SingleThreadedHandle {
    fn persisted(&self, number: u64) {
        self.send_event(Event::Persisted(number));
    }

    fn space_changed(&self, is_full: bool) {
        self.send_event(Event::DiskFull(is_full));
    }

    fn refusal_changed(&self, is_refusing: bool) {
        self.send_event(Event::DiskWritesRefused(is_refusing));
    }

    fn failed(&self, report: error_stack::Report<Error>) {
        self.send_event(Event::DiskFailed(report));
    }
}

/// A process with one thread, ready to run.
pub struct SingleThreadedProcess<P: Platform> {
    settings: Settings,
    settings_file: PathBuf,
    platform: P,
    metrics: Arc<Metrics>,
    limits: ServerLimits,
    handle: SingleThreadedHandle,
    events: mpsc::UnboundedReceiver<Event>,
}

type CoreActor<C, A> = ActorOwn<RoleActor<C, A>>;

struct Actors<P: Platform> {
    gateway: Option<CoreActor<GatewayCore, GatewayAdapter<P>>>,
    node: Option<CoreActor<NodeCore, NodeAdapter<P>>>,
    member: Option<CoreActor<ControlCore, MemberAdapter>>,
    statuses: Vec<Arc<RoleStatus>>,
    is_stopping: Rc<Cell<bool>>,
    /// Time of the last request or answer, whichever is later.
    last_activity: Rc<Cell<Instant>>,
}

impl<P: Platform> SingleThreadedProcess<P> {
    /// Creates a process from validated settings and the file that they were loaded from.
    pub fn new(
        settings: Settings,
        settings_file: PathBuf,
        platform: P,
    ) -> SingleThreadedProcess<P> {
        set_clock_ahead(settings.process.clock_ahead_ms.into());
        let (sender, events) = mpsc::unbounded_channel();
        let handle = SingleThreadedHandle { events: sender };
        let metrics = Metrics::new();
        let limits = ServerLimits::new(&settings.process, metrics.clone());
        SingleThreadedProcess { settings, settings_file, platform, metrics, limits, handle, events }
    }

    /// Returns a handle that stops the process or reloads its settings.
    pub fn handle(&self) -> SingleThreadedHandle {
        self.handle.clone()
    }

    /// Runs the process until it is stopped.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot start.
    pub fn run(self) -> Result<ExitReason> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .change_context_lazy(|| Error::new(ErrorKind::Internal, "cannot start the runtime"))?;
        tokio::task::LocalSet::new().block_on(&runtime, self.run_local())
    }

    async fn run_local(mut self) -> Result<ExitReason> {
        let process = self.settings.process.clone();
        // A control member recovers its stored state before any listener starts.
        let disk = match &self.settings.dispatch {
            Some(it) => Some(self.open_disk(it)?),
            None => None,
        };
        let options = LinkOptions::new(&self.settings);
        let link = Link::start_local(options, self.metrics.clone(), self.handle.clone())?;
        let loopback = Loopback::default();
        let sender = MessageSender {
            link,
            own_address: self.settings.link.listen,
            loopback: loopback.clone(),
        };
        let mut stakker = Stakker::new(Instant::now());
        let actors = self.start_roles(&mut stakker, disk, &sender)?;
        tracing::info!(event = "started", process = %process.name, zone = %process.zone, link = %self.settings.link.listen, roles = ?process.roles);
        let exit_reason = self.run_event_loop(&mut stakker, &actors, &loopback).await;
        tracing::info!(event = "ended", process = %process.name, ending = ?exit_reason);
        Ok(exit_reason)
    }

    /// Opens the data folder, and first creates its identity if it has none.
    fn open_disk(&self, settings: &DispatchSettings) -> Result<OpenDisk> {
        let folder = Path::new(settings.data_folder.as_str());
        let process = &self.settings.process;
        let group_id = GroupId { region: process.region as u8, group: process.group as u8 };
        let founders = match settings.first_start {
            0 => Vec::new(),
            _ => control_links(&self.settings),
        };
        let identity =
            Identity::read_or_create(folder, group_id, self.settings.link.listen, &founders)?;
        let (disk, recovered) = Disk::open(folder, &identity, settings.free_min_bytes.into())?;
        tracing::info!(event = "disk_opened", member = %identity.member, founders = identity.founders.len(), entries = recovered.entries.len(), snapshot_index = recovered.snapshot_index(), last_index = recovered.last_index(), term = recovered.hard_state.term);
        Ok(OpenDisk { disk, recovered, identity })
    }

    fn start_roles(
        &self,
        stakker: &mut Stakker,
        disk: Option<OpenDisk>,
        sender: &MessageSender,
    ) -> Result<Actors<P>> {
        let mut statuses = Vec::new();
        let mut new_status = || {
            let status = Arc::new(RoleStatus::default());
            statuses.push(status.clone());
            status
        };
        let is_stopping = Rc::new(Cell::new(false));
        let last_activity = Rc::new(Cell::new(Instant::now()));
        let controls = control_links(&self.settings);
        let member = match (&self.settings.dispatch, disk) {
            (Some(settings), Some(open_disk)) => {
                let adapter = MemberAdapter {
                    sender: sender.clone(),
                    disk: DiskWriter::start(
                        open_disk.disk,
                        self.metrics.clone(),
                        self.handle.clone(),
                    )?,
                    metrics: self.metrics.clone(),
                };
                let options = self.control_options(settings, &open_disk.identity, &controls);
                let core = ControlCore::new(options, open_disk.recovered, Clock.now())?;
                Some(start_actor(stakker, core, adapter, new_status()))
            }
            _ => None,
        };
        let node = match &self.settings.node {
            Some(settings) => {
                let adapter = NodeAdapter {
                    sender: sender.clone(),
                    platform: self.platform.clone(),
                    pool: OutgoingPool::new(settings.worker),
                    timeout_ms: settings.call_timeout_ms.into(),
                    handle: self.handle.clone(),
                    metrics: self.metrics.clone(),
                };
                let core = NodeCore::new(node_options(settings, sender.own_address, &controls));
                let status = new_status();
                self.start_worker_listener(settings)?;
                self.start_metrics_listener(settings.metrics_listen)?;
                Some(start_actor(stakker, core, adapter, status))
            }
            None => None,
        };
        let gateway = match &self.settings.gateway {
            Some(settings) => {
                let pending = Pending::default();
                let adapter = GatewayAdapter {
                    sender: sender.clone(),
                    pending: pending.clone(),
                    platform: self.platform.clone(),
                    is_stopping: is_stopping.clone(),
                    last_activity: last_activity.clone(),
                    metrics: self.metrics.clone(),
                };
                let zone = self.settings.process.zone.clone();
                let core = GatewayCore::new(gateway_options(
                    settings,
                    zone,
                    sender.own_address,
                    &controls,
                ));
                let status = new_status();
                self.start_gateway_listener(settings, &pending, last_activity.clone())?;
                self.start_readiness_listener(settings.readiness_listen, status.clone())?;
                self.start_metrics_listener(settings.metrics_listen)?;
                Some(start_actor(stakker, core, adapter, status))
            }
            None => None,
        };
        Ok(Actors { gateway, node, member, statuses, is_stopping, last_activity })
    }

    fn control_options(
        &self,
        settings: &DispatchSettings,
        identity: &Identity,
        controls: &[SocketAddr],
    ) -> ControlOptions {
        let lease_ms = settings.lease_ms.min(settings.lease_max_ms);
        ControlOptions {
            group_id: identity.group_id,
            member: identity.member,
            address: self.settings.link.listen,
            control_addresses: controls.to_vec(),
            settings: member_settings(settings, self.settings.link.listen),
            boot: fastrand::u64(..),
            dispatch: Some(DispatchOptions {
                lease_ms: lease_ms.into(),
                lease_slack_percent: settings.lease_slack_percent.into(),
                lease_margin_ms: settings.lease_margin_ms.into(),
                silent_ms: settings.silent_ms.into(),
                retention_ms: u64::from(settings.retention_s) * 1_000,
                plan: PlanOptions { interval_ms: settings.plan_interval_ms.into() },
                features: features(settings),
                memory: MemoryLimits {
                    calls_max_bytes: settings.calls_max_bytes as usize,
                    workflows_max_bytes: settings.workflows_max_bytes as usize,
                    log_max_bytes: settings.log_max_bytes as usize,
                },
                tombstones: TombstoneLimits {
                    max: settings.tombstones_max as usize,
                    lifetime_ms: u64::from(settings.tombstone_s) * 1_000,
                },
            }),
            target_voter_count: settings.losses_tolerated as usize * 2 + 1,
        }
    }

    fn start_gateway_listener(
        &self,
        settings: &GatewaySettings,
        pending: &Pending,
        last_activity: Rc<Cell<Instant>>,
    ) -> Result<()> {
        let options = ServerOptions {
            listen: settings.listen,
            threads: 1,
            body_max_bytes: settings.body_max_bytes as usize,
            headers_max_bytes: settings.headers_max_bytes as usize,
            watches_stalls: true,
        };
        let (platform, handle) = (self.platform.clone(), self.handle.clone());
        let metrics = self.metrics.clone();
        let is_for_operators = self.settings.dispatch.is_some();
        start_local_server(options, &self.limits, pending, move |token, request| {
            last_activity.set(Instant::now());
            let http_request = match request {
                Ok(it) => it,
                Err(it) => {
                    metrics.count_refusal(it.kind);
                    tracing::info!(event = "request_unreadable", kind = %it.kind, detail = %it.detail);
                    return Some(platform.refusal(&it));
                }
            };
            let parsed = match is_for_operators {
                true => own_request(&http_request)
                    .map_or_else(|| platform.operator_request(&http_request), Ok),
                false => platform.client_request(&http_request),
            };
            match parsed {
                Ok((request, wait_ms)) => {
                    metrics.requests.inc();
                    let waited_ms = http_request.waited_ms;
                    let input = gateway::Input::Request { token, request, wait_ms, waited_ms };
                    handle.send_event(Event::Gateway(input));
                    None
                }
                Err(answer) => {
                    metrics.count_refusal(ErrorKind::BadRequest);
                    tracing::info!(event = "request_unreadable", path = %http_request.path, status = answer.status);
                    Some(answer)
                }
            }
        })
    }

    fn start_worker_listener(&self, settings: &NodeSettings) -> Result<()> {
        let (platform, handle) = (self.platform.clone(), self.handle.clone());
        let metrics = self.metrics.clone();
        start_local_server(
            small_server_options(settings.listen),
            &self.limits,
            &Pending::default(),
            move |_, request| {
                let http_request = match request {
                    Ok(it) => it,
                    Err(it) => {
                        metrics.count_ignored_announcement(AnnouncementRejection::Unreadable);
                        return Some(platform.refusal(&it));
                    }
                };
                match platform.worker_request(&http_request) {
                    Ok((input, answer)) => {
                        handle.send_event(Event::Node(input));
                        Some(answer)
                    }
                    Err((cause, answer)) => {
                        metrics.count_ignored_announcement(cause);
                        tracing::info!(event = "announcement_passed_over", path = %http_request.path, bytes = http_request.body.len(), cause = cause.as_str(), status = answer.status);
                        Some(answer)
                    }
                }
            },
        )
    }

    fn start_readiness_listener(&self, listen: SocketAddr, status: Arc<RoleStatus>) -> Result<()> {
        let platform = self.platform.clone();
        start_local_server(
            small_server_options(listen),
            &self.limits,
            &Pending::default(),
            move |_, request| match request {
                Ok(it) => Some(platform.readiness(&it, status.is_ready())),
                Err(it) => Some(platform.refusal(&it)),
            },
        )
    }

    fn start_metrics_listener(&self, listen: SocketAddr) -> Result<()> {
        let metrics = self.metrics.clone();
        start_local_server(
            small_server_options(listen),
            &self.limits,
            &Pending::default(),
            move |_, _| Some(HttpAnswer::text(200, "text/plain; version=0.0.4", metrics.render())),
        )
    }

    /// Dispatches events and runs the actors until the process ends.
    async fn run_event_loop(
        &mut self,
        stakker: &mut Stakker,
        actors: &Actors<P>,
        loopback: &Loopback,
    ) -> ExitReason {
        let mut stopping_since: Option<Instant> = None;
        stakker.run(Instant::now(), false);
        while stakker.not_shutdown() {
            let wait_max = if stopping_since.is_some() { STOP_CHECK_INTERVAL } else { WAIT_MAX };
            let mut batch = Vec::new();
            let has_own_messages = !loopback.borrow().is_empty();
            if has_own_messages {
                // Answers are sent meanwhile, which would otherwise pile up beside own messages.
                tokio::task::yield_now().await;
            } else {
                let wait = stakker.next_wait_max(Instant::now(), wait_max, false);
                tokio::select! {
                    biased;
                    first_event = self.events.recv() => batch.extend(first_event),
                    () = tokio::time::sleep(wait) => (),
                }
            }
            while batch.len() < BATCH_EVENTS_MAX
                && let Ok(it) = self.events.try_recv()
            {
                batch.push(it);
            }
            for (from, message) in std::mem::take(&mut *loopback.borrow_mut()) {
                actors.deliver(from, message);
            }
            for event in batch {
                match event {
                    Event::Kill => return ExitReason::CutOff,
                    Event::DiskFailed(report) => {
                        // The content of the disk is unknown; only a restart reads it back.
                        tracing::error!(event = "disk_failed", error = %format_args!("{report:#}"));
                        return ExitReason::Failed;
                    }
                    Event::Stop => {
                        stopping_since.get_or_insert_with(Instant::now);
                        actors.stop();
                    }
                    Event::Reload => self.reload(actors),
                    it => actors.dispatch(it),
                }
            }
            stakker.run(Instant::now(), false);
            let Some(stop_start) = stopping_since else { continue };
            let drain_max = Duration::from_millis(self.settings.process.drain_max_ms.into());
            let is_drained = actors.statuses.iter().all(|it| it.is_drained());
            let (stop_min, idle_min) = match (&self.settings.gateway, &self.settings.dispatch) {
                (None, _) => (Duration::ZERO, Duration::ZERO),
                (Some(_), None) => (GATEWAY_STOP_MIN, GATEWAY_IDLE_MIN),
                (Some(_), Some(_)) => (MEMBER_IDLE_MIN, MEMBER_IDLE_MIN),
            };
            let is_drained = is_drained && idle_min <= actors.last_activity.get().elapsed();
            match stop_start.elapsed() {
                elapsed if is_drained && stop_min <= elapsed => return ExitReason::Drained,
                elapsed if drain_max <= elapsed => return ExitReason::CutOff,
                _ => (),
            }
        }
        ExitReason::Failed
    }

    /// Reloads the settings; only the control addresses and `clock_ahead_ms` can change.
    fn reload(&mut self, actors: &Actors<P>) {
        match load_settings(&self.settings_file) {
            Ok(settings) => {
                let controls = control_links(&settings);
                let clock_ahead_ms = settings.process.clock_ahead_ms;
                tracing::info!(event = "settings_reloaded", controls = ?controls, clock_ahead_ms);
                set_clock_ahead(clock_ahead_ms.into());
                actors.set_controls(&controls);
            }
            Err(problems) => {
                let messages: Vec<_> = problems.iter().map(ToString::to_string).collect();
                tracing::error!(event = "settings_refused", problems = %messages.join("; "));
            }
        }
    }
}

struct OpenDisk {
    disk: Disk,
    recovered: control::log::RecoveredState,
    identity: Identity,
}

impl<P: Platform> Actors<P> {
    fn dispatch(&self, event: Event) {
        match event {
            Event::Link(LinkEvent::Message { from, envelope, .. }) => {
                self.deliver(from, envelope.message)
            }
            Event::Gateway(it) => self.send_to_gateway(it),
            Event::Node(it) => self.send_to_node(it),
            Event::Persisted(number) => self.send_to_member(control::Input::Persisted { number }),
            Event::DiskFull(it) => self.send_to_member(control::Input::DiskFull(it)),
            Event::DiskWritesRefused(it) => {
                self.send_to_member(control::Input::DiskWritesRefused(it))
            }
            Event::Link(LinkEvent::ConnectionLost { peer }) => {
                tracing::debug!(event = "link_lost", %peer);
            }
            Event::DiskFailed(_) | Event::Stop | Event::Kill | Event::Reload => (),
        }
    }

    fn deliver(&self, from: SocketAddr, message: Message) {
        match message {
            Message::WorkflowAnswer(_) => {
                self.send_to_gateway(gateway::Input::Message(Box::new(message)))
            }
            Message::NodeGrant(_) | Message::NotLeader(_) => {
                self.send_to_node(node::Input::Message(Box::new(message)))
            }
            message => self.send_to_member(control::Input::Message { from, message }),
        }
    }

    fn set_controls(&self, controls: &[SocketAddr]) {
        self.send_to_gateway(gateway::Input::ControlAddresses(controls.to_vec()));
        self.send_to_node(node::Input::ControlAddresses(controls.to_vec()));
        self.send_to_member(control::Input::ControlAddresses(controls.to_vec()));
    }

    fn stop(&self) {
        self.is_stopping.set(true);
        self.send_to_gateway(gateway::Input::Stop);
        self.send_to_node(node::Input::Stop);
        self.send_to_member(control::Input::Stop);
    }

    fn send_to_gateway(&self, input: gateway::Input) {
        if let Some(it) = &self.gateway {
            call!([it], handle_input(input));
        }
    }

    fn send_to_node(&self, input: node::Input) {
        if let Some(it) = &self.node {
            call!([it], handle_input(input));
        }
    }

    fn send_to_member(&self, input: control::Input) {
        if let Some(it) = &self.member {
            call!([it], handle_input(input));
        }
    }
}
