//! The node process beside a worker: carries the leader's orders to it and its word to the
//! leader.
//!
//! A node decides nothing about other VMs. It holds the worker's lease only on the leader's
//! word, repeats what got no answer, makes sure that an order it gives up on can never be
//! carried out late, and slows fillers by itself, since that must not wait for a leader.

mod calls;
mod fillers;
mod orders;
mod unconfirmed;
mod worker;

use std::net::SocketAddr;

use crate::{control::leader_finder::LeaderFinder, prelude::*};

pub use self::calls::{
    Action, Announcement, AnnouncementRejection, CallRefusal, CallResult, Departure, WorkerCall,
};
use self::{
    unconfirmed::{UnconfirmedWorker, Verdict},
    worker::WorkerIncarnation,
};

/// What a node is told by the settings.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// Where other processes reach this one.
    pub address: SocketAddr,
    pub controls: Vec<SocketAddr>,
    /// Random number of this process.
    pub boot: u64,
    /// Interval of reports while nothing happens.
    pub report_ms: u64,
    /// Pause before an order without an answer is given again.
    pub retry_ms: u64,
    /// Longest wait of the worker for an end, in one call.
    pub hold_wait_ms: u64,
    /// The same while fillers work beside tasks that serve, whose tails must be watched.
    pub watch_wait_ms: u64,
    /// Silence of the worker after which its lease is no longer asked for.
    pub worker_silent_ms: u64,
    /// Time for which fillers may keep a serving task over its bound.
    pub harm_max_ms: u64,
}

/// What a node is told.
#[derive(Clone, Debug)]
pub enum Input {
    WorkerAnnounced(Announcement),
    WorkerLeft(Departure),
    Message(Box<Message>),
    CallEnded {
        id: u64,
        result: CallResult,
    },
    /// Other control addresses, from changed settings.
    ControlAddresses(Vec<SocketAddr>),
    Tick,
    /// A planned stop.
    Stop,
}

/// What a node wants done.
#[derive(Clone, Debug)]
pub enum Effect {
    Send {
        to: SocketAddr,
        message: Message,
    },
    Call {
        id: u64,
        call: WorkerCall,
    },
    /// An announcement was passed over.
    AnnouncementIgnored(AnnouncementRejection),
}

/// A node, without its I/O.
pub struct NodeCore {
    options: NodeOptions,
    leader_finder: LeaderFinder,
    term: u64,
    worker: Option<WorkerIncarnation>,
    /// A lifetime that announced itself and has not answered yet.
    unconfirmed: Option<UnconfirmedWorker>,
    /// When the newest input came.
    handled_ms: u64,
    /// Token of the leader for looks at a worker that it does not know.
    unconfirmed_token: u64,
    /// Pools of workers that the configuration names, as far as it is known.
    services: Vec<CompactString>,
    /// Lifetimes that are over; a late announcement of one is passed over.
    past: Vec<CompactString>,
    /// Announcements in a row that came too late to count.
    late: u64,
    next_call: u64,
    report_number: u64,
    report_at_ms: u64,
    granted_ms: u64,
    unanswered_reports: u32,
    /// When the first of these was sent.
    unanswered_since_ms: u64,
    is_dirty: bool,
    effects: Vec<Effect>,
}

/// Time by which a tick may be late on a busy VM. A worker that crashes is away for longer.
const LATE_TICK_MS: u64 = 200;

/// Lifetimes remembered as over.
const PAST_MAX: usize = 64;

/// Reports without an answer after which another control process is tried.
const SILENT_REPORTS: u32 = 2;

impl NodeCore {
    /// Makes a node that knows neither its worker nor a leader.
    pub fn new(options: NodeOptions) -> NodeCore {
        NodeCore {
            leader_finder: LeaderFinder::new(options.controls.clone(), options.boot),
            term: 0,
            worker: None,
            unconfirmed: None,
            handled_ms: 0,
            unconfirmed_token: 0,
            services: Vec::new(),
            past: Vec::new(),
            late: 0,
            next_call: 0,
            report_number: 0,
            report_at_ms: 0,
            granted_ms: 0,
            unanswered_reports: 0,
            unanswered_since_ms: 0,
            is_dirty: true,
            effects: Vec::new(),
            options,
        }
    }

    /// Takes the effects of the inputs so far.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns when the next [`Input::Tick`] is due.
    pub fn next_tick_ms(&self) -> u64 {
        let mut res = self.report_at_ms;
        if let Some(it) = self.unconfirmed.as_ref().and_then(UnconfirmedWorker::next_call_ms) {
            res = res.min(it);
        }
        if let Some(it) = self.worker.as_ref().filter(|it| self.may_call(it)) {
            if it.poll.is_none() {
                res = res.min(it.next_poll_ms);
            }
            let idle = it.orders.values().filter(|it| it.call.is_none());
            res = res.min(idle.map(|it| it.next_ms).min().unwrap_or(u64::MAX));
        }
        res
    }

    /// Takes in one input.
    pub fn handle(&mut self, now: Now, input: Input) {
        self.note_pause(now);
        match input {
            Input::WorkerAnnounced(it) => self.on_announced(now, it),
            Input::WorkerLeft(it) => self.on_left(&it),
            Input::Message(it) => self.on_message(now, *it),
            Input::CallEnded { id, result } => self.on_call_ended(now, id, result),
            Input::ControlAddresses(it) => self.leader_finder.set_seeds(it),
            Input::Tick | Input::Stop => (),
        }
        self.make_calls(now);
        if self.is_dirty || self.report_at_ms <= now.mono_ms {
            self.report(now);
        }
    }

    /// Returns whether calls of a worker may be made: orders for its id may reach a newcomer.
    fn may_call(&self, worker: &WorkerIncarnation) -> bool {
        let id = &worker.announcement.id;
        worker.is_callable() && self.unconfirmed.as_ref().is_none_or(|it| it.announcement.id != *id)
    }

    /// Notes whether this process stood still: the worker may have crashed and be back since.
    fn note_pause(&mut self, now: Now) {
        let stood_still = self.handled_ms + self.options.report_ms + LATE_TICK_MS < now.mono_ms;
        self.handled_ms = now.mono_ms;
        if let Some(worker) = self.worker.as_mut().filter(|_| stood_still) {
            worker.may_be_replaced = true;
            worker.pause_detected_ms = now.mono_ms;
        }
    }

    fn on_announced(&mut self, now: Now, it: Announcement) {
        let incarnation_name = it.incarnation_name();
        if self.past.contains(&incarnation_name) {
            return self.pass_over_late(&it, None);
        }
        if !self.services.is_empty() && !self.services.contains(&it.service) {
            // Whoever wrote it, it must not take the place of the worker that is known.
            tracing::warn!(event = "announcement_passed_over", worker = %incarnation_name, service = %it.service, cause = AnnouncementRejection::UnknownService.as_str());
            return self
                .effects
                .push(Effect::AnnouncementIgnored(AnnouncementRejection::UnknownService));
        }
        let known = self.worker.as_mut().filter(|known| known.name == incarnation_name);
        match (known, &mut self.unconfirmed) {
            (Some(known), _) if !known.is_gone && it.sequence <= known.announcement.sequence => {
                let newest = known.announcement.sequence;
                self.pass_over_late(&it, Some(newest));
            }
            (Some(known), _) if !known.is_gone => {
                if it.draining && !known.announcement.draining {
                    tracing::info!(event = "worker_draining", worker = %incarnation_name, remaining_ms = it.remaining_ms);
                    self.is_dirty = true;
                }
                // The leader must not fill what the worker no longer has.
                self.is_dirty |= known.announcement.capacity != it.capacity;
                known.hear(it.clock_ms, now);
                known.is_displaced = false;
                known.announcement = it;
                self.late = 0;
            }
            (_, Some(unconfirmed))
                if unconfirmed.announcement.incarnation_name() == incarnation_name =>
            {
                unconfirmed.hear(it, now);
            }
            // One that was given up may have been out of reach only, or be another one that does not
            // tell its start.
            _ => self.unconfirmed = Some(UnconfirmedWorker::new(it, now)),
        }
    }

    /// Notes an announcement that comes too late: after one with the sequence `newest` of the same
    /// lifetime, or after that lifetime was over.
    fn pass_over_late(&mut self, it: &Announcement, newest: Option<u64>) {
        self.late += 1;
        // A worker that is passed over for good would write a line each second.
        if self.late.is_power_of_two() {
            let is_gone = self.worker.as_ref().is_some_and(|known| known.is_gone);
            tracing::warn!(event = "announcement_passed_over", worker = %it.incarnation_name(), cause = AnnouncementRejection::Outdated.as_str(), sequence = it.sequence, newest = ?newest, worker_clock_ms = it.clock_ms, in_a_row = self.late, is_gone);
        }
        self.effects.push(Effect::AnnouncementIgnored(AnnouncementRejection::Outdated));
    }

    /// Takes in what came of a call of the newcomer.
    fn on_newcomer_answered(&mut self, now: Now, result: &CallResult) {
        let Some(unconfirmed) = &mut self.unconfirmed else { return };
        let id = &unconfirmed.announcement.id;
        let before = self.worker.as_ref().filter(|it| it.announcement.id == *id);
        // A node that has just started does not know whose id it is.
        let may_share_id = before.is_some() || self.worker.is_none();
        let verdict = unconfirmed.take_answer(result, may_share_id, self.options.retry_ms, now);
        let doubtful = before.map(|it| it.doubtful_starts(now)).unwrap_or_default();
        match verdict {
            Verdict::Unclear => (),
            Verdict::Away => {
                let incarnation_name = unconfirmed.announcement.incarnation_name();
                tracing::info!(event = "announcement_passed_over", worker = %incarnation_name, cause = "not_there", sequence = unconfirmed.announcement.sequence);
                self.effects.push(Effect::AnnouncementIgnored(AnnouncementRejection::Outdated));
                self.unconfirmed = None;
            }
            Verdict::Heard if !doubtful.is_empty() => {
                tracing::info!(event = "starts_blocked", worker = %unconfirmed.announcement.incarnation_name(), starts = doubtful.len());
                unconfirmed.bar(doubtful, now);
            }
            Verdict::Heard | Verdict::Ready => {
                let announcement = unconfirmed.announcement.clone();
                self.unconfirmed = None;
                self.begin_lifetime(now, announcement);
            }
        }
    }

    fn begin_lifetime(&mut self, now: Now, it: Announcement) {
        let incarnation_name = it.incarnation_name();
        if let Some(old) = self.worker.take() {
            tracing::info!(event = "worker_replaced", worker = %old.name, by = %incarnation_name, runs = old.running.len());
            if old.name != incarnation_name {
                self.forget_lifetime(old.name);
            }
        }
        tracing::info!(event = "worker_seen", worker = %incarnation_name, service = %it.service, kind = %it.kind, rack = %it.rack, cpu_millicores = it.capacity.cpu_millicores, memory_mib = it.capacity.memory_mib);
        self.worker =
            Some(WorkerIncarnation::new(it, self.next_call, self.options.harm_max_ms, now));
        self.late = 0;
        self.is_dirty = true;
    }

    fn forget_lifetime(&mut self, name: CompactString) {
        if PAST_MAX <= self.past.len() {
            self.past.remove(0);
        }
        self.past.push(name);
    }

    /// Takes in that the worker says that it ends.
    ///
    /// One that has not said before that it drains may be another lifetime with the id of the one
    /// that speaks: it gets nothing new, and is gone once nobody is found there.
    fn on_left(&mut self, it: &Departure) {
        self.unconfirmed.take_if(|unconfirmed| it.is_of(&unconfirmed.announcement));
        if let Some(known) = self.worker.as_mut().filter(|known| it.is_of(&known.announcement)) {
            let is_expected = known.announcement.draining;
            tracing::info!(event = "worker_left", worker = %known.name, runs = known.running.len(), is_expected);
            // It said so itself: this is no crash.
            known.announcement.draining = true;
            known.is_gone |= is_expected;
            self.is_dirty = true;
        }
    }

    fn on_message(&mut self, now: Now, message: Message) {
        match message {
            Message::NodeGrant(it) => self.on_grant(now, it),
            Message::NotLeader(hint) => {
                let leader = self.leader_finder.leader();
                self.leader_finder.set_leader(hint.filter(|it| Some(*it) != leader));
                self.report_at_ms =
                    now.mono_ms + if hint.is_some() { 0 } else { REDIRECT_PAUSE_MS };
            }
            _ => (),
        }
    }

    fn on_grant(&mut self, now: Now, it: NodeGrant) {
        if it.term < self.term {
            tracing::info!(event = "grant_ignored", term = it.term, newer_term = self.term);
            return;
        }
        if self.term < it.term {
            tracing::info!(event = "leader_found", term = it.term, leader = ?self.leader_finder.target());
            self.term = it.term;
            if let Some(worker) = &mut self.worker {
                // The new leader needs the lists under its own term.
                worker.poll = None;
                worker.next_poll_ms = now.mono_ms;
            }
        }
        self.granted_ms = now.mono_ms;
        self.services = it.services;
        self.unanswered_reports = 0;
        self.leader_finder.set_members(&it.members);
        self.leader_finder.set_leader(self.leader_finder.target());
        if it.worker.is_empty() && self.unconfirmed_token < it.token {
            self.unconfirmed_token = it.token;
            self.unconfirmed
                .as_mut()
                .into_iter()
                .for_each(|unconfirmed| unconfirmed.look_again(now));
        }
        let Some(worker) = self.worker.as_mut().filter(|known| known.name == it.worker) else {
            return;
        };
        if !worker.note_grant(it.token, it.sequence) {
            tracing::info!(
                event = "grant_ignored",
                term = it.term,
                token = it.token,
                newer_token = worker.token,
                sequence = it.sequence
            );
            return;
        }
        if 0 < it.sent_ms {
            worker.lease_until_ms = worker.lease_until_ms.max(it.sent_ms + it.lease_ms);
        }
        if worker.acked_cursor < it.acked_cursor {
            worker.acked_cursor = it.acked_cursor;
            worker.ended.retain(|cursor, _| it.acked_cursor < *cursor);
            worker.next_poll_ms = worker.next_poll_ms.min(now.mono_ms);
        }
        if !it.costs.is_empty() {
            let cost = |it: ImageCost| ((it.serving, it.filler), f64::from(it.headroom_percent));
            worker.costs = it.costs.into_iter().map(cost).collect();
        }
        if it.is_complete {
            worker.withdraw_starts(now, &it.orders);
        }
        worker.take_orders(now, it.orders, it.capacity);
    }

    /// Reports to the leader, or to the process that may know it.
    fn report(&mut self, now: Now) {
        self.report_at_ms = now.mono_ms + self.options.report_ms;
        // Reports of ends may follow each other within the time of a commit.
        let is_late = self.unanswered_since_ms + self.options.report_ms <= now.mono_ms;
        if SILENT_REPORTS <= self.unanswered_reports && is_late {
            if let Some(it) = self.leader_finder.leader() {
                tracing::warn!(event = "leader_silent", leader = %it, reports = self.unanswered_reports);
            }
            self.leader_finder.try_next();
            self.unanswered_reports = 0;
        }
        self.is_dirty = false;
        let Some(to) = self.leader_finder.target() else { return };
        if self.unanswered_reports == 0 {
            self.unanswered_since_ms = now.mono_ms;
        }
        self.unanswered_reports += 1;
        self.report_number += 1;
        let silent_ms = self.options.worker_silent_ms;
        // A worker that is silent gets no longer lease: what it does is not known.
        let fresh =
            |it: &&WorkerIncarnation| it.is_gone || now.mono_ms < it.last_contact_ms + silent_ms;
        let report = NodeReport {
            node: self.options.address,
            boot: self.options.boot,
            number: self.report_number,
            sent_ms: now.mono_ms,
            workers: self.worker.iter().filter(fresh).map(WorkerIncarnation::report).collect(),
        };
        self.effects.push(Effect::Send { to, message: Message::NodeReport(report) });
    }
}

/// Pause after a control process that names no leader, as while one is elected.
const REDIRECT_PAUSE_MS: u64 = 60;
