//! One process: its actors, its adapters and the loop between them.

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
    http::Pending,
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
    util::{Clock, Place},
};

/// Events that wait for the core's thread; the adapters block beyond them.
const EVENTS_MAX: usize = 16 * 1024;

/// Events taken in before the actors run.
const BATCH: usize = 256;

/// Longest wait for an event.
const WAIT_MAX: Duration = Duration::from_secs(1);

/// Interval at which a stopping process looks whether it may end.
const STOP_LOOK: Duration = Duration::from_millis(20);

/// Shortest time of a planned stop, in which the balancer's probe sees it.
const STOP_MIN: Duration = Duration::from_millis(500);

/// What the core's thread is told.
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
    /// A planned stop.
    Stop,
    /// The end, at once.
    Kill,
}

/// How a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitReason {
    /// Everything in flight had ended.
    Drained,
    /// The longest time of a planned stop was over, or a second signal came.
    CutOff,
    /// It could not go on; the log says why.
    Failed,
}

/// Tells a running process to stop.
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

type EntryOwn = ActorOwn<RoleActor<EntryCore, EntryAdapter>>;
type ControlOwn = ActorOwn<RoleActor<ControlCore, ControlAdapter>>;

/// The actors of a process.
struct Actors<W, E>
where
    W: Fn(agent::WorkerCall) + Send + Sync + 'static,
    E: Fn(agent::ExecutorCall) + Send + Sync + 'static,
{
    entry: Option<EntryOwn>,
    agent: Option<ActorOwn<RoleActor<AgentCore, AgentAdapter<W, E>>>>,
    control: Option<ControlOwn>,
    statuses: Vec<Arc<RoleStatus>>,
}

#[derive(Clone)]
struct Sink {
    events: Sender<Event>,
}

impl LinkSink for Sink {
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

    fn refusal_changed(&self, refuses: bool) {
        let _ = self.send(Event::DiskWritesRefused(refuses));
    }

    fn failed(&self, report: error_stack::Report<Error>) {
        let _ = self.send(Event::DiskFailed(report));
    }
}

impl Process {
    /// Makes a process from checked settings.
    pub fn new(settings: Settings) -> Process {
        crate::util::set_clock_ahead(settings.process.clock_ahead_ms.into());
        let (events, receiver) = crossbeam_channel::bounded(EVENTS_MAX);
        Process { settings, metrics: Metrics::new(), events, receiver }
    }

    /// Returns a handle to stop it by.
    pub fn handle(&self) -> ProcessHandle {
        ProcessHandle { events: self.events.clone() }
    }

    /// Runs the process until it is stopped.
    ///
    /// # Errors
    ///
    /// Returns an error when it cannot start.
    pub fn run(self) -> Result<ExitReason> {
        let process = &self.settings.process;
        // What a control member kept is read before anything is listened on.
        let disk = match &self.settings.control {
            Some(it) => Some(self.open_disk(it)?),
            None => None,
        };
        let options = LinkOptions::new(&self.settings);
        let link =
            Link::start(options, self.metrics.clone(), Sink { events: self.events.clone() })?;
        let loopback: Loopback = Rc::new(RefCell::new(VecDeque::new()));
        let sender = MessageSender {
            link,
            own_address: self.settings.link.listen,
            loopback: loopback.clone(),
        };
        let mut stakker = Stakker::new(Instant::now());
        let actors = self.start_roles(&mut stakker, disk, &sender)?;
        tracing::info!(event = "started", process = %process.name, zone = %process.zone, link = %self.settings.link.listen);
        let ending = self.turn(&mut stakker, &actors, &loopback);
        tracing::info!(event = "ended", process = %process.name, ending = ?ending);
        Ok(ending)
    }

    fn open_disk(&self, settings: &crate::schema::settings::ControlSettings) -> Result<OpenDisk> {
        let folder = Path::new(settings.data_folder.as_str());
        let identity = Identity::read(folder)?;
        let process = &self.settings.process;
        let group_id = Place { region: process.region as u8, group: process.group as u8 };
        if identity.group_id != group_id {
            let message = format_compact!(
                "{} belongs to {:?}, the settings say {group_id:?}",
                folder.display(),
                identity.group_id
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
            impl Fn(agent::ExecutorCall) + Send + Sync + 'static,
        >,
    > {
        let mut statuses = Vec::new();
        let mut edge = || {
            let status = Arc::new(RoleStatus::default());
            statuses.push(status.clone());
            HttpListener {
                events: self.events.clone(),
                metrics: self.metrics.clone(),
                status,
                pending: Pending::default(),
            }
        };
        let process = &self.settings.process;
        let link = &self.settings.link;
        let metrics = &self.metrics;
        let control = match (&self.settings.control, disk) {
            (Some(settings), Some(it)) => {
                let edge = edge();
                let options = ControlOptions {
                    group_id: it.identity.group_id,
                    member: it.identity.member,
                    address: link.listen,
                    control_addresses: link.control.clone(),
                    settings: settings.clone(),
                    boot: fastrand::u64(..),
                    dispatch: None,
                    target_voter_count: 0,
                };
                let adapter = ControlAdapter {
                    sender: sender.clone(),
                    pending: edge.pending.clone(),
                    metrics: metrics.clone(),
                    disk: DiskWriter::start(it.disk, metrics.clone(), self.events.clone())?,
                };
                let core = ControlCore::new(options, it.recovered, Clock.now())?;
                let status = edge.status.clone();
                edge.start_admin(settings)?;
                Some(start_actor(stakker, core, adapter, status))
            }
            _ => None,
        };
        let agent = match &self.settings.agent {
            Some(settings) => {
                let edge = edge();
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
                    pending: edge.pending.clone(),
                    metrics: metrics.clone(),
                    worker: ThreadPool::new(1, worker_caller(settings.worker, self.events.clone())),
                    executors: ThreadPool::new(
                        threads,
                        executor_caller(threads, self.events.clone()),
                    ),
                };
                let core = AgentCore::new(options, metrics.clone());
                let status = edge.status.clone();
                edge.start_local(settings)?;
                Some(start_actor(stakker, core, adapter, status))
            }
            None => None,
        };
        let entry = match &self.settings.entry {
            Some(settings) => {
                let edge = edge();
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
                    pending: edge.pending.clone(),
                    metrics: metrics.clone(),
                };
                let core = EntryCore::new(options, metrics.clone());
                let status = edge.status.clone();
                edge.start_caller(settings)?;
                Some(start_actor(stakker, core, adapter, status))
            }
            None => None,
        };
        Ok(Actors { entry, agent, control, statuses })
    }

    /// Takes in events and lets the actors run, until the process ends.
    fn turn<W, E>(
        &self,
        stakker: &mut Stakker,
        actors: &Actors<W, E>,
        loopback: &Loopback,
    ) -> ExitReason
    where
        W: Fn(agent::WorkerCall) + Send + Sync + 'static,
        E: Fn(agent::ExecutorCall) + Send + Sync + 'static,
    {
        let mut stopping: Option<Instant> = None;
        stakker.run(Instant::now(), false);
        while stakker.not_shutdown() {
            let longest = if stopping.is_some() { STOP_LOOK } else { WAIT_MAX };
            let wait = match loopback.borrow().is_empty() {
                true => stakker.next_wait_max(Instant::now(), longest, false),
                false => Duration::ZERO,
            };
            let first = self.receiver.recv_timeout(wait).ok();
            let rest = self.receiver.try_iter().take(BATCH);
            let local = std::mem::take(&mut *loopback.borrow_mut());
            for event in first.into_iter().chain(rest).chain(local) {
                match event {
                    Event::Kill => return ExitReason::CutOff,
                    Event::DiskFailed(report) => {
                        // What the disk holds is not known; only a restart reads it back.
                        tracing::error!(event = "disk_failed", error = %format_args!("{report:#}"));
                        return ExitReason::Failed;
                    }
                    Event::Stop => {
                        stopping.get_or_insert_with(Instant::now);
                        actors.stop();
                    }
                    it => actors.dispatch(it),
                }
            }
            stakker.run(Instant::now(), false);
            let Some(since) = stopping else { continue };
            let drain_max = Duration::from_millis(self.settings.process.drain_max_ms.into());
            let drained = actors.statuses.iter().all(|it| it.is_drained());
            match since.elapsed() {
                elapsed if drained && STOP_MIN <= elapsed => return ExitReason::Drained,
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
    E: Fn(agent::ExecutorCall) + Send + Sync + 'static,
{
    fn dispatch(&self, event: Event) {
        match event {
            Event::Link(LinkEvent::Message { from, envelope }) => self.deliver(from, *envelope),
            Event::Link(LinkEvent::ConnectionLost { peer }) => {
                self.to_entry(entry::Input::LinkLost { peer })
            }
            Event::Entry(it) => self.to_entry(*it),
            Event::Agent(it) => self.to_agent(*it),
            Event::Control(it) => self.to_control(*it),
            Event::Persisted(number) => self.to_control(control::Input::Persisted { number }),
            Event::DiskFull(it) => self.to_control(control::Input::DiskFull(it)),
            Event::DiskWritesRefused(it) => self.to_control(control::Input::DiskWritesRefused(it)),
            Event::DiskFailed(_) | Event::Stop | Event::Kill => (),
        }
    }

    /// Hands a message to the roles that it is for.
    fn deliver(&self, from: std::net::SocketAddr, envelope: Envelope) {
        let Envelope { in_force, message } = envelope;
        match &message {
            Message::Raft(_)
            | Message::ControlRequest(_)
            | Message::AgentHeartbeat(_)
            | Message::EntryHeartbeat(_)
            | Message::WorkflowCall(_)
            | Message::NodeReport(_)
            | Message::Join(_) => self.to_control(control::Input::Message { from, message }),
            Message::ConfigFetch(_) if self.control.is_some() => {
                self.to_control(control::Input::Message { from, message })
            }
            Message::ConfigFetch(_) if self.entry.is_some() => {
                self.to_entry(entry::Input::Message { from, in_force, message })
            }
            Message::Execute(_)
            | Message::OutcomeQuery(_)
            | Message::AgentHeartbeatReply(_)
            | Message::AgentOrders(_)
            | Message::ConfigFetch(_) => {
                self.to_agent(agent::Input::Message { from, in_force, message })
            }
            Message::ExecuteReply(_)
            | Message::EndpointLeaving(_)
            | Message::EntryHeartbeatReply(_) => {
                self.to_entry(entry::Input::Message { from, in_force, message })
            }
            // Their roles run in processes of their own kind.
            Message::WorkflowAnswer(_) | Message::NodeGrant(_) => (),
            // Each role knows its own by the id, and passes over the others'.
            Message::ControlReply(_) | Message::NotLeader(_) | Message::ConfigUpdate(_) => {
                self.to_control(control::Input::Message { from, message: message.clone() });
                self.to_agent(agent::Input::Message { from, in_force, message: message.clone() });
                self.to_entry(entry::Input::Message { from, in_force, message });
            }
        }
    }

    fn stop(&self) {
        self.to_entry(entry::Input::Stop);
        self.to_agent(agent::Input::Stop);
        self.to_control(control::Input::Stop);
    }

    fn to_entry(&self, input: entry::Input) {
        if let Some(it) = &self.entry {
            call!([it], input(input));
        }
    }

    fn to_agent(&self, input: agent::Input) {
        if let Some(it) = &self.agent {
            call!([it], input(input));
        }
    }

    fn to_control(&self, input: control::Input) {
        if let Some(it) = &self.control {
            call!([it], input(input));
        }
    }
}
