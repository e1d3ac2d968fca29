//! One process: its actors, its adapters and its event loop.

use std::{
    cell::RefCell,
    collections::VecDeque,
    path::Path,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use crossbeam_channel::{Receiver, Sender};
use stakker::{ActorOwn, Stakker, call};

use crate::{
    agent::{self, AgentCore, AgentOptions},
    control::{
        self, ControlCore, ControlOptions,
        log::{Disk, Identity},
    },
    entry::{self, EntryCore, EntryOptions},
    http::{Pending, ServerLimits},
    link::{Link, LinkEvent, LinkOptions, LinkSink},
    metrics::Metrics,
    prelude::*,
    runtime::{
        adapters::{
            AgentAdapter, ControlAdapter, EntryAdapter, Loopback, MessageSender, executor_caller,
            worker_caller,
        },
        disk::{DiskSink, DiskWriter},
        http_listeners::HttpListener,
        role::{RoleActor, RoleStatus, start_actor},
        thread_pool::ThreadPool,
    },
    schema::settings::Settings,
    util::{Clock, GroupId},
};

/// Capacity of the event queue to the core thread; adapters block while it is full.
const EVENTS_MAX: usize = 16 * 1024;

/// Most queued events that are dispatched before the actors run.
const BATCH_EVENTS_MAX: usize = 256;

/// Longest wait for an event.
const WAIT_MAX: Duration = Duration::from_secs(1);

/// Interval at which a stopping process checks whether it can exit.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Shortest duration of a planned stop, so that the load balancer's probe detects it.
const STOP_MIN: Duration = Duration::from_millis(500);

/// An event for the core thread.
#[derive(Debug)]
pub enum Event {
    Link(LinkEvent),
    Entry(Box<entry::Input>),
    Agent(Box<agent::Input>),
    Control(Box<control::Input>),
    Persisted(u64),
    DiskFull(bool),
    DiskWritesRefused(bool),
    DiskFailed(error_stack::Report<Error>),
    /// Begins a planned stop.
    Stop,
    /// Exits at once.
    Kill,
}

/// Why a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitReason {
    /// A planned stop completed with no work in flight.
    Drained,
    /// A planned stop exceeded `drain_max_ms`, or a second signal arrived.
    CutOff,
    /// A core or the disk failed; the log has the error.
    Failed,
}

/// Stops a running process.
#[derive(Clone, Debug)]
pub struct ProcessHandle {
    events: Sender<Event>,
}

impl ProcessHandle {
    /// Begins a planned stop.
    pub fn stop(&self) {
        let _ = self.events.send(Event::Stop);
    }

    /// Ends the process at once.
    pub fn kill(&self) {
        let _ = self.events.send(Event::Kill);
    }
}

/// One process of the system, ready to run.
pub struct Process {
    settings: Settings,
    metrics: Arc<Metrics>,
    events: Sender<Event>,
    receiver: Receiver<Event>,
}

type EntryActor = ActorOwn<RoleActor<EntryCore, EntryAdapter>>;
type ControlActor = ActorOwn<RoleActor<ControlCore, ControlAdapter>>;

/// The actors of a process.
struct Actors<W, E>
where
    W: Fn(agent::WorkerCall) + Send + Sync + 'static,
    E: Fn(agent::EndpointCall) + Send + Sync + 'static,
{
    entry: Option<EntryActor>,
    agent: Option<ActorOwn<RoleActor<AgentCore, AgentAdapter<W, E>>>>,
    control: Option<ControlActor>,
    statuses: Vec<Arc<RoleStatus>>,
}

#[derive(Clone)]
struct LinkEventSender {
    events: Sender<Event>,
}

impl LinkSink for LinkEventSender {
    fn on_event(&self, event: LinkEvent) {
        let _ = self.events.send(Event::Link(event));
    }
}

impl DiskSink for Sender<Event> {
    fn persisted(&self, number: u64) {
        let _ = self.send(Event::Persisted(number));
    }

    fn space_changed(&self, is_full: bool) {
        let _ = self.send(Event::DiskFull(is_full));
    }

    fn refusal_changed(&self, is_refusing: bool) {
        let _ = self.send(Event::DiskWritesRefused(is_refusing));
    }

    fn failed(&self, report: error_stack::Report<Error>) {
        let _ = self.send(Event::DiskFailed(report));
    }
}

impl Process {
    /// Creates a process from validated settings.
    pub fn new(settings: Settings) -> Process {
        crate::util::set_clock_ahead(settings.process.clock_ahead_ms.into());
        let (events, receiver) = crossbeam_channel::bounded(EVENTS_MAX);
        Process { settings, metrics: Metrics::new(), events, receiver }
    }

    /// Returns a handle that stops the process.
    pub fn handle(&self) -> ProcessHandle {
        ProcessHandle { events: self.events.clone() }
    }

    /// Runs the process until it is stopped.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot start.
    pub fn run(self) -> Result<ExitReason> {
        let process = &self.settings.process;
        // A control member recovers its stored state before any listener starts.
        let disk = match &self.settings.control {
            Some(it) => Some(self.open_disk(it)?),
            None => None,
        };
        let options = LinkOptions::new(&self.settings);
        let link = Link::start(
            options,
            self.metrics.clone(),
            LinkEventSender { events: self.events.clone() },
        )?;
        let loopback: Loopback = Rc::new(RefCell::new(VecDeque::new()));
        let sender = MessageSender {
            link,
            own_address: self.settings.link.listen,
            loopback: loopback.clone(),
        };
        let mut stakker = Stakker::new(Instant::now());
        let actors = self.start_roles(&mut stakker, disk, &sender)?;
        tracing::info!(event = "started", process = %process.name, zone = %process.zone, link = %self.settings.link.listen);
        let exit_reason = self.run_event_loop(&mut stakker, &actors, &loopback);
        tracing::info!(event = "ended", process = %process.name, ending = ?exit_reason);
        Ok(exit_reason)
    }

    fn open_disk(&self, settings: &crate::schema::settings::ControlSettings) -> Result<OpenDisk> {
        let folder = Path::new(settings.data_folder.as_str());
        let identity = Identity::read(folder)?;
        let process = &self.settings.process;
        let group_id = GroupId { region: process.region as u8, group: process.group as u8 };
        if identity.group_id != group_id {
            let message = format_compact!(
                "{} belongs to region {}, group {}, the settings say region {}, group {}",
                folder.display(),
                identity.group_id.region,
                identity.group_id.group,
                group_id.region,
                group_id.group
            );
            return Err(Error::report(ErrorKind::BadRequest, message));
        }
        let (disk, recovered) = Disk::open(folder, &identity, settings.free_min_bytes)?;
        Ok(OpenDisk { disk, recovered, identity })
    }

    fn start_roles(
        &self,
        stakker: &mut Stakker,
        disk: Option<OpenDisk>,
        sender: &MessageSender,
    ) -> Result<
        Actors<
            impl Fn(agent::WorkerCall) + Send + Sync + 'static,
            impl Fn(agent::EndpointCall) + Send + Sync + 'static,
        >,
    > {
        let mut statuses = Vec::new();
        let limits = ServerLimits::new(&self.settings.process, self.metrics.clone());
        let mut new_listener = || {
            let status = Arc::new(RoleStatus::default());
            statuses.push(status.clone());
            HttpListener {
                events: self.events.clone(),
                metrics: self.metrics.clone(),
                status,
                pending: Pending::default(),
                limits: limits.clone(),
            }
        };
        let process = &self.settings.process;
        let link = &self.settings.link;
        let metrics = &self.metrics;
        let control = match (&self.settings.control, disk) {
            (Some(settings), Some(open_disk)) => {
                let listener = new_listener();
                let options = ControlOptions {
                    group_id: open_disk.identity.group_id,
                    member: open_disk.identity.member,
                    address: link.listen,
                    control_addresses: link.control.clone(),
                    settings: settings.clone(),
                    boot: fastrand::u64(..),
                    dispatch: None,
                    target_voter_count: 0,
                };
                let adapter = ControlAdapter {
                    sender: sender.clone(),
                    pending: listener.pending.clone(),
                    metrics: metrics.clone(),
                    disk: DiskWriter::start(open_disk.disk, metrics.clone(), self.events.clone())?,
                };
                let core = ControlCore::new(options, open_disk.recovered, Clock.now())?;
                let status = listener.status.clone();
                listener.start_admin(settings)?;
                Some(start_actor(stakker, core, adapter, status))
            }
            _ => None,
        };
        let agent = match &self.settings.agent {
            Some(settings) => {
                let listener = new_listener();
                let options = AgentOptions {
                    address: link.listen,
                    control_addresses: link.control.clone(),
                    zone: process.zone.clone(),
                    rack: process.rack.clone(),
                    settings: settings.clone(),
                    boot: fastrand::u64(..),
                };
                let threads = settings.threads as usize;
                let adapter = AgentAdapter {
                    sender: sender.clone(),
                    pending: listener.pending.clone(),
                    metrics: metrics.clone(),
                    worker: ThreadPool::new(1, worker_caller(settings.worker, self.events.clone())),
                    executors: ThreadPool::new(
                        threads,
                        executor_caller(threads, self.events.clone()),
                    ),
                };
                let core = AgentCore::new(options, metrics.clone());
                let status = listener.status.clone();
                listener.start_local(settings)?;
                Some(start_actor(stakker, core, adapter, status))
            }
            None => None,
        };
        let entry = match &self.settings.entry {
            Some(settings) => {
                let listener = new_listener();
                let options = EntryOptions {
                    name: process.name.clone(),
                    zone: process.zone.clone(),
                    address: link.listen,
                    control_addresses: link.control.clone(),
                    settings: settings.clone(),
                    boot: fastrand::u64(..),
                };
                let adapter = EntryAdapter {
                    sender: sender.clone(),
                    pending: listener.pending.clone(),
                    metrics: metrics.clone(),
                };
                let core = EntryCore::new(options, metrics.clone());
                let status = listener.status.clone();
                listener.start_caller(settings)?;
                Some(start_actor(stakker, core, adapter, status))
            }
            None => None,
        };
        Ok(Actors { entry, agent, control, statuses })
    }

    /// Dispatches events and runs the actors until the process ends.
    fn run_event_loop<W, E>(
        &self,
        stakker: &mut Stakker,
        actors: &Actors<W, E>,
        loopback: &Loopback,
    ) -> ExitReason
    where
        W: Fn(agent::WorkerCall) + Send + Sync + 'static,
        E: Fn(agent::EndpointCall) + Send + Sync + 'static,
    {
        let mut stopping_since: Option<Instant> = None;
        stakker.run(Instant::now(), false);
        while stakker.not_shutdown() {
            let wait_max = if stopping_since.is_some() { STOP_CHECK_INTERVAL } else { WAIT_MAX };
            let wait = match loopback.borrow().is_empty() {
                true => stakker.next_wait_max(Instant::now(), wait_max, false),
                false => Duration::ZERO,
            };
            let first_event = self.receiver.recv_timeout(wait).ok();
            let more_events = self.receiver.try_iter().take(BATCH_EVENTS_MAX);
            let loopback_events = std::mem::take(&mut *loopback.borrow_mut());
            for event in first_event.into_iter().chain(more_events).chain(loopback_events) {
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
                    it => actors.dispatch(it),
                }
            }
            stakker.run(Instant::now(), false);
            let Some(stop_start) = stopping_since else { continue };
            let drain_max = Duration::from_millis(self.settings.process.drain_max_ms.into());
            let is_drained = actors.statuses.iter().all(|it| it.is_drained());
            match stop_start.elapsed() {
                elapsed if is_drained && STOP_MIN <= elapsed => return ExitReason::Drained,
                elapsed if drain_max <= elapsed => return ExitReason::CutOff,
                _ => (),
            }
        }
        ExitReason::Failed
    }
}

struct OpenDisk {
    disk: Disk,
    recovered: control::log::RecoveredState,
    identity: Identity,
}

impl<W, E> Actors<W, E>
where
    W: Fn(agent::WorkerCall) + Send + Sync + 'static,
    E: Fn(agent::EndpointCall) + Send + Sync + 'static,
{
    fn dispatch(&self, event: Event) {
        match event {
            Event::Link(LinkEvent::Message { from, envelope, .. }) => self.deliver(from, *envelope),
            Event::Link(LinkEvent::ConnectionLost { peer }) => {
                self.send_to_entry(entry::Input::LinkLost { peer })
            }
            Event::Entry(it) => self.send_to_entry(*it),
            Event::Agent(it) => self.send_to_agent(*it),
            Event::Control(it) => self.send_to_control(*it),
            Event::Persisted(number) => self.send_to_control(control::Input::Persisted { number }),
            Event::DiskFull(it) => self.send_to_control(control::Input::DiskFull(it)),
            Event::DiskWritesRefused(it) => {
                self.send_to_control(control::Input::DiskWritesRefused(it))
            }
            Event::DiskFailed(_) | Event::Stop | Event::Kill => (),
        }
    }

    /// Passes a message to the roles that it is addressed to.
    fn deliver(&self, from: std::net::SocketAddr, envelope: Envelope) {
        let Envelope { in_force, message } = envelope;
        match &message {
            Message::Raft(_)
            | Message::ControlRequest(_)
            | Message::AgentHeartbeat(_)
            | Message::EntryHeartbeat(_)
            | Message::WorkflowCall(_)
            | Message::TimedCall(_)
            | Message::NodeReport(_)
            | Message::Join(_) => self.send_to_control(control::Input::Message { from, message }),
            Message::ConfigFetch(_) if self.control.is_some() => {
                self.send_to_control(control::Input::Message { from, message })
            }
            Message::ConfigFetch(_) if self.entry.is_some() => {
                self.send_to_entry(entry::Input::Message { from, in_force, message })
            }
            Message::Execute(_)
            | Message::OutcomeQuery(_)
            | Message::AgentHeartbeatReply(_)
            | Message::AgentOrders(_)
            | Message::ConfigFetch(_) => {
                self.send_to_agent(agent::Input::Message { from, in_force, message })
            }
            Message::ExecuteReply(_)
            | Message::EndpointLeaving(_)
            | Message::EntryHeartbeatReply(_) => {
                self.send_to_entry(entry::Input::Message { from, in_force, message })
            }
            // Their recipients, gateways and nodes, run in single-threaded processes.
            Message::WorkflowAnswer(_) | Message::NodeGrant(_) => (),
            // Each role recognizes its own messages by their ids and ignores the others.
            Message::ControlReply(_) | Message::NotLeader(_) | Message::ConfigUpdate(_) => {
                self.send_to_control(control::Input::Message { from, message: message.clone() });
                self.send_to_agent(agent::Input::Message {
                    from,
                    in_force,
                    message: message.clone(),
                });
                self.send_to_entry(entry::Input::Message { from, in_force, message });
            }
        }
    }

    fn stop(&self) {
        self.send_to_entry(entry::Input::Stop);
        self.send_to_agent(agent::Input::Stop);
        self.send_to_control(control::Input::Stop);
    }

    fn send_to_entry(&self, input: entry::Input) {
        if let Some(it) = &self.entry {
            call!([it], handle_input(input));
        }
    }

    fn send_to_agent(&self, input: agent::Input) {
        if let Some(it) = &self.agent {
            call!([it], handle_input(input));
        }
    }

    fn send_to_control(&self, input: control::Input) {
        if let Some(it) = &self.control {
            call!([it], handle_input(input));
        }
    }
}
