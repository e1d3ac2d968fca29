//! The node process beside a worker: forwards the leader's orders to the worker, and reports the
//! state of the worker to the leader.
//!
//! A node decides nothing about other VMs. It renews the worker's lease only with a grant of the
//! leader, retries calls that got no answer, and makes sure that an order it gives up on can never
//! be carried out late. It throttles best-effort tasks (fillers) by itself, since that must not
//! wait for a leader.

mod calls;
mod fillers;
mod noted_ends;
mod orders;
mod speeds;
mod target_misses;
mod tokens;
mod unconfirmed;
mod worker;

use std::net::SocketAddr;

use crate::{control::leader_finder::LeaderFinder, prelude::*};

pub use self::calls::{
    Action, Announcement, AnnouncementRejection, CallRefusal, CallResult, Departure, WorkerCall,
};
use self::{
    tokens::TokenIssuer,
    unconfirmed::{UnconfirmedWorker, Verdict},
    worker::WorkerIncarnation,
};

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// Address under which other processes reach this one.
    pub address: SocketAddr,
    pub control_addresses: Vec<SocketAddr>,
    /// Random number that identifies this start of the process.
    pub boot: u64,
    /// Interval of reports to the leader while no state changes.
    pub report_ms: u64,
    /// Pause before an order without an answer is retried.
    pub retry_ms: u64,
    /// Longest time for which the worker holds a poll open until a run ends.
    pub hold_wait_ms: u64,
    /// Replaces `hold_wait_ms` while fillers run beside serving tasks, to watch tail latency.
    pub watch_wait_ms: u64,
    /// Time without contact to the worker after which the node no longer asks for its lease.
    pub worker_silent_ms: u64,
    /// Time for which fillers may keep a serving task above its latency target.
    pub harm_max_ms: u64,
}

#[derive(Clone, Debug)]
pub enum Input {
    WorkerAnnounced(Announcement),
    WorkerLeft(Departure),
    Message(Box<Message>),
    CallEnded {
        id: u64,
        result: CallResult,
    },
    /// New control addresses, from reloaded settings.
    ControlAddresses(Vec<SocketAddr>),
    Tick,
    /// The process is asked to shut down.
    Stop,
}

/// An action that the runtime carries out.
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
    /// An announcement was ignored; counted by cause.
    AnnouncementIgnored(AnnouncementRejection),
}

/// A node, without its I/O.
pub struct NodeCore {
    options: NodeOptions,
    leader_finder: LeaderFinder,
    term: u64,
    worker: Option<WorkerIncarnation>,
    /// The final report on the incarnation before the present one, until the leader knows the
    /// present one.
    predecessor: Option<WorkerReport>,
    /// A worker incarnation that announced itself and has not answered a call yet.
    unconfirmed: Option<UnconfirmedWorker>,
    /// Tokens for all calls of workers.
    tokens: TokenIssuer,
    /// When the latest input was handled.
    last_input_ms: u64,
    /// Services that the configuration names; empty while the configuration is not known.
    services: Vec<CompactString>,
    /// Names of worker incarnations that have ended; their late announcements are ignored.
    past_incarnations: Vec<CompactString>,
    /// Consecutive announcements that were ignored as outdated.
    outdated_in_a_row: u64,
    next_call: u64,
    report_number: u64,
    report_at_ms: u64,
    granted_ms: u64,
    unanswered_reports: u32,
    /// When the first of the unanswered reports was sent.
    unanswered_since_ms: u64,
    needs_report: bool,
    effects: Vec<Effect>,
}

/// Tolerated delay of a tick on a busy VM. A worker that crashes is away for longer.
const TICK_DELAY_MAX_MS: u64 = 200;

/// Number of ended incarnations whose names are remembered.
const PAST_INCARNATIONS_MAX: usize = 64;

/// Unanswered reports after which another control process is tried.
const UNANSWERED_REPORTS_MAX: u32 = 2;

impl NodeCore {
    /// Creates a node that knows neither its worker nor a leader.
    pub fn new(options: NodeOptions) -> NodeCore {
        NodeCore {
            leader_finder: LeaderFinder::new(options.control_addresses.clone(), options.boot),
            term: 0,
            worker: None,
            predecessor: None,
            unconfirmed: None,
            tokens: TokenIssuer::new(),
            last_input_ms: 0,
            services: Vec::new(),
            past_incarnations: Vec::new(),
            outdated_in_a_row: 0,
            next_call: 0,
            report_number: 0,
            report_at_ms: 0,
            granted_ms: 0,
            unanswered_reports: 0,
            unanswered_since_ms: 0,
            needs_report: true,
            effects: Vec::new(),
            options,
        }
    }

    /// Removes and returns the effects of the inputs so far.
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
            res = res.min(it.next_speed_ms(self.options.retry_ms).unwrap_or(u64::MAX));
        }
        res
    }

    /// Handles one input, then makes the calls and the report that are due.
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
        if self.needs_report || self.report_at_ms <= now.mono_ms {
            self.report(now);
        }
    }

    /// Returns whether the worker may be called: not while an unconfirmed worker has the same id,
    /// since orders could reach that one.
    fn may_call(&self, worker: &WorkerIncarnation) -> bool {
        let id = &worker.announcement.id;
        worker.is_callable() && self.unconfirmed.as_ref().is_none_or(|it| it.announcement.id != *id)
    }

    /// Detects a pause of this process, during which the worker may have crashed and restarted.
    fn note_pause(&mut self, now: Now) {
        let was_paused =
            self.last_input_ms + self.options.report_ms + TICK_DELAY_MAX_MS < now.mono_ms;
        self.last_input_ms = now.mono_ms;
        if let Some(worker) = self.worker.as_mut().filter(|_| was_paused) {
            worker.may_be_replaced = true;
            worker.pause_detected_ms = now.mono_ms;
        }
    }

    fn on_announced(&mut self, now: Now, announcement: Announcement) {
        let incarnation_name = announcement.incarnation_name();
        if self.past_incarnations.contains(&incarnation_name) {
            return self.ignore_outdated_announcement(&announcement, None);
        }
        if !self.services.is_empty() && !self.services.contains(&announcement.service) {
            // An announcement of a foreign service must not replace the known worker.
            tracing::warn!(event = "announcement_passed_over", worker = %incarnation_name, service = %announcement.service, cause = AnnouncementRejection::UnknownService.as_str());
            return self
                .effects
                .push(Effect::AnnouncementIgnored(AnnouncementRejection::UnknownService));
        }
        let known = self.worker.as_mut().filter(|known| known.name == incarnation_name);
        match (known, &mut self.unconfirmed) {
            (Some(known), _)
                if !known.is_gone && announcement.sequence <= known.announcement.sequence =>
            {
                let newest = known.announcement.sequence;
                self.ignore_outdated_announcement(&announcement, Some(newest));
            }
            (Some(known), _) if !known.is_gone => {
                if announcement.draining && !known.announcement.draining {
                    tracing::info!(event = "worker_draining", worker = %incarnation_name, remaining_ms = announcement.remaining_ms);
                    self.needs_report = true;
                }
                // The leader must not plan with capacity that the worker no longer has.
                self.needs_report |= known.announcement.capacity != announcement.capacity;
                known.note_contact(announcement.clock_ms, now);
                known.is_displaced = false;
                known.announcement = announcement;
                self.outdated_in_a_row = 0;
            }
            (_, Some(unconfirmed))
                if unconfirmed.announcement.incarnation_name() == incarnation_name =>
            {
                unconfirmed.update_announcement(announcement, now);
            }
            // A worker marked as gone may only have been unreachable, or this may be another
            // incarnation that does not report its start time.
            _ => {
                // From its first answer on, the worker refuses all calls sent before.
                self.tokens.issue(now);
                self.unconfirmed = Some(UnconfirmedWorker::new(announcement, now));
            }
        }
    }

    /// Ignores an announcement that is no newer than the sequence `newest` of the same incarnation,
    /// or whose incarnation has ended.
    fn ignore_outdated_announcement(&mut self, announcement: &Announcement, newest: Option<u64>) {
        self.outdated_in_a_row += 1;
        // Otherwise a worker that is ignored permanently would log a line each second.
        if self.outdated_in_a_row.is_power_of_two() {
            let is_gone = self.worker.as_ref().is_some_and(|known| known.is_gone);
            tracing::warn!(event = "announcement_passed_over", worker = %announcement.incarnation_name(), cause = AnnouncementRejection::Outdated.as_str(), sequence = announcement.sequence, newest = ?newest, worker_clock_ms = announcement.clock_ms, in_a_row = self.outdated_in_a_row, is_gone);
        }
        self.effects.push(Effect::AnnouncementIgnored(AnnouncementRejection::Outdated));
    }

    /// Handles the result of a call of the unconfirmed worker.
    fn on_unconfirmed_worker_answered(&mut self, now: Now, result: &CallResult) {
        let Some(unconfirmed) = &mut self.unconfirmed else { return };
        let id = &unconfirmed.announcement.id;
        let predecessor = self.worker.as_ref().filter(|it| it.announcement.id == *id);
        // After its own start, a node does not know which incarnations had this id.
        let may_share_id = predecessor.is_some() || self.worker.is_none();
        let is_fenced = matches!(result, CallResult::Refused { cause: CallRefusal::Fenced, .. });
        if let Some(token) = unconfirmed.pending_token().filter(|_| is_fenced) {
            self.tokens.note_refused(token);
        }
        let verdict = unconfirmed.handle_answer(result, may_share_id, self.options.retry_ms, now);
        let doubtful = predecessor.map(|it| it.doubtful_starts(now)).unwrap_or_default();
        match verdict {
            Verdict::Unclear if is_fenced => unconfirmed.make_call_due(now),
            Verdict::Unclear => (),
            Verdict::Absent => {
                let incarnation_name = unconfirmed.announcement.incarnation_name();
                tracing::info!(event = "announcement_passed_over", worker = %incarnation_name, cause = "not_there", sequence = unconfirmed.announcement.sequence);
                self.effects.push(Effect::AnnouncementIgnored(AnnouncementRejection::Outdated));
                self.unconfirmed = None;
            }
            Verdict::Answered if !doubtful.is_empty() => {
                let incarnation_name = unconfirmed.announcement.incarnation_name();
                let is_other = predecessor.is_some_and(|it| it.name != incarnation_name);
                tracing::info!(event = "starts_blocked", worker = %incarnation_name, starts = doubtful.len(), is_fenced = is_other);
                self.tokens.issue(now);
                unconfirmed.block_starts(doubtful, is_other, now);
            }
            Verdict::Answered | Verdict::Ready => {
                let announcement = unconfirmed.announcement.clone();
                self.unconfirmed = None;
                self.begin_incarnation(now, announcement);
            }
        }
    }

    fn begin_incarnation(&mut self, now: Now, announcement: Announcement) {
        let incarnation_name = announcement.incarnation_name();
        if let Some(old) = self.worker.take() {
            tracing::info!(event = "worker_replaced", worker = %old.name, by = %incarnation_name, runs = old.running.len());
            if old.name != incarnation_name {
                self.predecessor = Some(old.final_report());
                self.remember_past_incarnation(old.name);
            }
        }
        tracing::info!(event = "worker_seen", worker = %incarnation_name, service = %announcement.service, kind = %announcement.kind, rack = %announcement.rack, cpu_millicores = announcement.capacity.cpu_millicores, memory_mib = announcement.capacity.memory_mib);
        self.worker = Some(WorkerIncarnation::new(
            announcement,
            self.next_call,
            self.options.harm_max_ms,
            now,
        ));
        self.outdated_in_a_row = 0;
        self.needs_report = true;
    }

    fn remember_past_incarnation(&mut self, name: CompactString) {
        if PAST_INCARNATIONS_MAX <= self.past_incarnations.len() {
            self.past_incarnations.remove(0);
        }
        self.past_incarnations.push(name);
    }

    /// Handles the worker's report that it exits.
    ///
    /// If the known worker has not announced that it drains, the report may come from another
    /// incarnation with the same id. The known worker then gets no new runs, and is marked as gone
    /// only once its address refuses connections.
    fn on_left(&mut self, departure: &Departure) {
        self.unconfirmed.take_if(|unconfirmed| departure.may_be_from(&unconfirmed.announcement));
        if let Some(known) =
            self.worker.as_mut().filter(|known| departure.may_be_from(&known.announcement))
        {
            let is_expected = known.announcement.draining;
            tracing::info!(event = "worker_left", worker = %known.name, runs = known.running.len(), is_expected);
            // The worker reported its exit: this is no crash.
            known.announcement.draining = true;
            known.is_gone |= is_expected;
            self.needs_report = true;
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

    fn on_grant(&mut self, now: Now, grant: NodeGrant) {
        if grant.term < self.term {
            tracing::info!(event = "grant_ignored", term = grant.term, newer_term = self.term);
            return;
        }
        if self.term < grant.term {
            tracing::info!(event = "leader_found", term = grant.term, leader = ?self.leader_finder.target());
            self.term = grant.term;
            if let Some(worker) = &mut self.worker {
                // The new leader needs the worker's lists read under its own term.
                worker.drop_poll(now);
                worker.drop_stops();
            }
        }
        self.granted_ms = now.mono_ms;
        self.services = grant.services;
        self.unanswered_reports = 0;
        self.leader_finder.set_members(&grant.members);
        self.leader_finder.set_leader(self.leader_finder.target());
        let Some(worker) = self.worker.as_mut().filter(|known| known.name == grant.worker) else {
            return;
        };
        let token_before = worker.token;
        if !worker.note_grant(grant.token, grant.sequence) {
            tracing::info!(
                event = "grant_ignored",
                term = grant.term,
                token = grant.token,
                newer_token = worker.token,
                sequence = grant.sequence
            );
            return;
        }
        // The leader has settled the failures on the incarnation before.
        self.predecessor = None;
        if token_before < grant.token {
            // Calls under an earlier leader or registration must no longer be carried out.
            self.tokens.issue(now);
        }
        if 0 < grant.sent_ms {
            worker.lease_until_ms = worker.lease_until_ms.max(grant.sent_ms + grant.lease_ms);
        }
        if worker.acked_cursor < grant.acked_cursor {
            worker.acked_cursor = grant.acked_cursor;
            worker.ended.retain(|cursor, _| grant.acked_cursor < *cursor);
            worker.next_poll_ms = worker.next_poll_ms.min(now.mono_ms);
        }
        if !grant.costs.is_empty() {
            let cost = |it: ImageCost| ((it.serving, it.filler), f64::from(it.headroom_percent));
            worker.costs = grant.costs.into_iter().map(cost).collect();
        }
        if grant.is_complete {
            worker.withdraw_starts(now, &grant.orders);
        }
        worker.apply_orders(now, grant.orders, grant.capacity);
    }

    /// Sends a report to the leader, or to a control process that may know the leader.
    fn report(&mut self, now: Now) {
        self.report_at_ms = now.mono_ms + self.options.report_ms;
        // Several reports of ends may be sent within the time of one commit, so the count alone
        // does not prove that the leader is silent.
        let interval_passed = self.unanswered_since_ms + self.options.report_ms <= now.mono_ms;
        if UNANSWERED_REPORTS_MAX <= self.unanswered_reports && interval_passed {
            if let Some(it) = self.leader_finder.leader() {
                tracing::warn!(event = "leader_silent", leader = %it, reports = self.unanswered_reports);
            }
            self.leader_finder.try_next();
            self.unanswered_reports = 0;
        }
        self.needs_report = false;
        let Some(to) = self.leader_finder.target() else { return };
        if self.unanswered_reports == 0 {
            self.unanswered_since_ms = now.mono_ms;
        }
        self.unanswered_reports += 1;
        self.report_number += 1;
        let silent_ms = self.options.worker_silent_ms;
        // The lease of a silent worker is not renewed, since its state is not known.
        let is_reported =
            |it: &&WorkerIncarnation| it.is_gone || now.mono_ms < it.last_contact_ms + silent_ms;
        let report = NodeReport {
            node: self.options.address,
            boot: self.options.boot,
            number: self.report_number,
            sent_ms: now.mono_ms,
            workers: match self.worker.as_ref().filter(is_reported) {
                Some(it) => [it.report()].into_iter().chain(self.predecessor.clone()).collect(),
                None => Vec::new(),
            },
        };
        self.effects.push(Effect::Send { to, message: Message::NodeReport(report) });
    }
}

/// Pause after a control process named no leader, for example during an election.
const REDIRECT_PAUSE_MS: u64 = 60;
