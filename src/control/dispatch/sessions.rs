//! The leader's view of each worker: its lease and the newest report of its node.

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque, btree_map::Entry},
    net::SocketAddr,
};

use crate::{
    control::{
        dispatch::run_monitor::RunMonitor,
        state::{Worker, Workflows},
    },
    policy::{
        disruption::StopCause,
        start_breaker::{BreakerState, StartBreaker},
        worker_health::WorkerHealth,
    },
    prelude::*,
};

/// The leader's state of one worker incarnation.
#[derive(Clone, Debug)]
pub struct Session {
    pub node: SocketAddr,
    /// Time by which all runs on the worker have ended, even if its node is unreachable.
    pub lease_expires_ms: u64,
    pub last_report_ms: u64,
    /// Number of the node process that sent the newest report.
    pub boot: u64,
    pub report_number: u64,
    /// When the newest report was sent, by the node's clock.
    pub report_sent_ms: u64,
    pub report: Option<WorkerReport>,
    pub health: WorkerHealth,
    pub breaker: StartBreaker,
    /// The runs in the newest report.
    pub monitored_runs: HashMap<RunRef, RunMonitor>,
    /// The runs of the worker in the ledger that any report has listed as running.
    pub ever_listed_runs: HashSet<RunRef>,
    /// When the runs of the worker in the ledger began, as far as this leader placed them.
    pub begun_ms: HashMap<RunRef, u64>,
    /// The slow fillers in the newest report.
    pub slow_fillers: Vec<SlowRun>,
    /// Costs last sent to the node.
    pub sent_costs: Vec<ImageCost>,
    pub costs_sent_ms: u64,
    /// Sequence of the newest grant.
    pub grants_sent: u64,
    /// The runs that are due to start and whose start was sent.
    pub sent_starts: BTreeSet<RunRef>,
    /// Highest cursor of the ends proposed for the ledger.
    pub proposed_cursor: u64,
    /// Whether the worker's dismissal was decided.
    pub is_being_dismissed: bool,
}

/// A run that takes longer than it would elsewhere.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowRun {
    pub run: RunRef,
    pub worker: WorkerId,
    pub cause: StopCause,
    /// Expected run time at full speed.
    pub full_speed_ms: u64,
    /// Present speed as a share of its full speed.
    pub speed_share: f64,
    pub progress_percent: u32,
}

/// The sessions of all workers in the ledger.
#[derive(Debug, Default)]
pub(super) struct Sessions {
    sessions: BTreeMap<WorkerId, Session>,
    /// The sessions of each node: one, or more while a new incarnation is enrolled.
    by_node: HashMap<SocketAddr, Vec<WorkerId>>,
    /// The workers with slow fillers in their newest report.
    with_slow_fillers: BTreeSet<WorkerId>,
    newest_reports: HashMap<SocketAddr, NewestReport>,
    /// Lower bound of all lease expiries. Leases are only ever extended, so a full scan is needed
    /// once per lease duration and not at each event.
    expiry_bound_ms: u64,
    /// Number of sessions visited so far in full scans.
    rows_visited: Cell<u64>,
}

impl Sessions {
    pub(super) fn take_over(workflows: &Workflows, lease_expires_ms: u64) -> Sessions {
        let mut res = Sessions::default();
        for (id, worker) in workflows.workers().iter() {
            res.open(id, worker.node, lease_expires_ms);
        }
        res
    }

    pub(super) fn open(&mut self, id: WorkerId, node: SocketAddr, lease_expires_ms: u64) {
        // A grant before the enrolment had the number of a report as its sequence.
        let grants_sent = self.newest_reports.get(&node).map_or(0, |it| it.number);
        let session = Session {
            node,
            lease_expires_ms,
            last_report_ms: 0,
            boot: 0,
            report_number: 0,
            report_sent_ms: 0,
            report: None,
            health: WorkerHealth::default(),
            breaker: StartBreaker::default(),
            monitored_runs: HashMap::new(),
            ever_listed_runs: HashSet::new(),
            begun_ms: HashMap::new(),
            slow_fillers: Vec::new(),
            sent_costs: Vec::new(),
            costs_sent_ms: 0,
            grants_sent,
            sent_starts: BTreeSet::new(),
            proposed_cursor: 0,
            is_being_dismissed: false,
        };
        if let Entry::Vacant(entry) = self.sessions.entry(id) {
            entry.insert(session);
            self.by_node.entry(node).or_default().push(id);
        }
        self.expiry_bound_ms = match self.sessions.len() {
            1 => lease_expires_ms,
            _ => self.expiry_bound_ms.min(lease_expires_ms),
        };
    }

    /// Notes a report; returns whether it is newer than all earlier ones of its node.
    ///
    /// A report from an abandoned connection may arrive late and name an incarnation that was
    /// replaced long ago. Were it accepted, the present incarnation would be marked as lost, and
    /// its tasks would begin again elsewhere while they still run.
    pub(super) fn note_report(&mut self, it: &NodeReport) -> bool {
        let Some(newest_report) = self.newest_reports.get_mut(&it.node) else {
            self.newest_reports.insert(it.node, NewestReport::new(it));
            return true;
        };
        newest_report.note(it)
    }

    pub(super) fn get(&self, id: WorkerId) -> Option<&Session> {
        self.sessions.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: WorkerId) -> Option<&mut Session> {
        self.sessions.get_mut(&id)
    }

    /// Returns the number of sessions visited so far in full scans.
    pub(super) fn rows_visited(&self) -> u64 {
        self.rows_visited.get()
    }

    fn note_full_scan(&self) {
        self.rows_visited.set(self.rows_visited.get() + self.sessions.len() as u64);
    }

    pub(super) fn drop(&mut self, id: WorkerId) {
        let Some(session) = self.sessions.remove(&id) else { return };
        self.with_slow_fillers.remove(&id);
        if let Some(ids) = self.by_node.get_mut(&session.node) {
            ids.retain(|it| *it != id);
            if ids.is_empty() {
                self.by_node.remove(&session.node);
            }
        }
    }

    /// Drops the sessions of a node whose workers are no longer in the ledger; returns their ids.
    pub(super) fn drop_gone_at_node(
        &mut self,
        node: SocketAddr,
        workflows: &Workflows,
    ) -> Vec<WorkerId> {
        let ids = self.by_node.get(&node).cloned().unwrap_or_default();
        let is_gone = |it: &WorkerId| workflows.workers().get(*it).is_none();
        let gone: Vec<_> = ids.into_iter().filter(is_gone).collect();
        gone.iter().for_each(|it| self.drop(*it));
        gone
    }

    /// Updates whether a worker has slow fillers.
    pub(super) fn update_slow(&mut self, id: WorkerId) {
        match self.get(id).is_some_and(|it| !it.slow_fillers.is_empty()) {
            true => self.with_slow_fillers.insert(id),
            false => self.with_slow_fillers.remove(&id),
        };
    }

    /// Returns the earliest time at which a lease may expire. None may have expired by then, if all
    /// were extended in the meantime.
    pub(super) fn next_expiry_ms(&self) -> u64 {
        if self.sessions.is_empty() { u64::MAX } else { self.expiry_bound_ms }
    }

    pub(super) fn take_expired(&mut self, now_ms: u64) -> Vec<WorkerId> {
        if now_ms < self.next_expiry_ms() {
            return Vec::new();
        }
        self.note_full_scan();
        let mut res = Vec::new();
        self.expiry_bound_ms = u64::MAX;
        for (id, it) in self.sessions.iter_mut().filter(|(_, it)| !it.is_being_dismissed) {
            match it.lease_expires_ms <= now_ms {
                true => {
                    it.is_being_dismissed = true;
                    res.push(*id);
                }
                false => self.expiry_bound_ms = self.expiry_bound_ms.min(it.lease_expires_ms),
            }
        }
        res
    }

    /// Returns the slow fillers on usable workers, the slowest first, since these delay their
    /// workflows longest.
    pub(super) fn slow_runs(
        &self,
        workflows: &Workflows,
        criteria: UsabilityCriteria,
    ) -> Vec<SlowRun> {
        let with_slow_fillers =
            self.with_slow_fillers.iter().filter_map(|id| Some((id, self.get(*id)?)));
        let usable = with_slow_fillers.filter(|(_, it)| it.is_usable(criteria));
        let is_placed = |it: &SlowRun| {
            let worker = workflows.workers().get(it.worker);
            worker.is_some_and(|worker| worker.runs.contains(&it.run))
        };
        let mut res: Vec<_> =
            usable.flat_map(|(_, it)| it.slow_not_evicted()).filter(is_placed).collect();
        res.sort_by(|a, b| a.speed_share.total_cmp(&b.speed_share));
        res
    }

    /// Returns whether new runs may be placed on a worker, by the starts that it has refused. One that
    /// is being tested takes no second run until it has begun the first.
    pub(super) fn breaker_state(
        &self,
        id: WorkerId,
        workflows: &Workflows,
        now: Now,
    ) -> BreakerState {
        let Some(session) = self.get(id) else { return BreakerState::Closed };
        let is_tested =
            || workflows.workers().get(id).is_some_and(|it| session.has_run_to_begin(it));
        match session.breaker.state(now.mono_ms) {
            BreakerState::HalfOpen { .. } if is_tested() => BreakerState::Open,
            it => it,
        }
    }

    /// Returns whether new runs may be placed on a worker, apart from the starts that it has refused.
    pub(super) fn is_usable(&self, id: WorkerId, criteria: UsabilityCriteria) -> bool {
        self.get(id).is_some_and(|it| it.is_usable(criteria))
    }
}

/// Identifies the newest report of a node.
#[derive(Debug)]
struct NewestReport {
    /// Number of the node process that sent the report.
    boot: u64,
    number: u64,
    /// Numbers of earlier node processes, the newest last.
    past_boots: VecDeque<u64>,
}

/// Number of earlier processes of a node that are remembered: a report is delayed for less time
/// than a node takes for this many restarts.
const PAST_BOOTS_MAX: usize = 8;

impl NewestReport {
    fn new(it: &NodeReport) -> NewestReport {
        NewestReport { boot: it.boot, number: it.number, past_boots: VecDeque::new() }
    }

    /// Notes a report; returns whether it is newer. The numbers of node processes have no order.
    fn note(&mut self, it: &NodeReport) -> bool {
        let is_newest = match it.boot == self.boot {
            true => self.number < it.number,
            false => !self.past_boots.contains(&it.boot),
        };
        if !is_newest {
            return false;
        }
        if it.boot != self.boot {
            self.past_boots.push_back(self.boot);
            if PAST_BOOTS_MAX < self.past_boots.len() {
                self.past_boots.pop_front();
            }
        }
        (self.boot, self.number) = (it.boot, it.number);
        true
    }
}

/// Conditions under which a worker takes new runs.
#[derive(Clone, Copy, Debug)]
pub(super) struct UsabilityCriteria {
    pub term: u64,
    /// Time without a report after which no new runs are placed on a worker.
    pub silent_ms: u64,
    pub now: Now,
}

impl Session {
    /// Returns whether the worker is healthy, not leaving, and has reported recently in this term.
    fn is_usable(&self, it: UsabilityCriteria) -> bool {
        let is_current = |report: &WorkerReport| report.term == it.term && !report.draining;
        self.report.as_ref().is_some_and(is_current)
            && !self.is_being_dismissed
            && self.health.is_healthy(it.now.mono_ms)
            && it.now.mono_ms < self.last_report_ms + it.silent_ms
    }

    /// Returns whether a run in the ledger has not been listed by the worker yet.
    fn has_run_to_begin(&self, worker: &Worker) -> bool {
        worker.runs.iter().any(|it| !self.ever_listed_runs.contains(it))
    }

    fn slow_not_evicted(&self) -> impl Iterator<Item = SlowRun> {
        let is_stopping = |run: RunRef| self.monitored_runs.get(&run).is_none_or(|it| it.evicted);
        self.slow_fillers.iter().copied().filter(move |it| !is_stopping(it.run))
    }

    /// Marks a run to be stopped; returns whether it was listed and not marked before.
    pub(super) fn evict(&mut self, run: RunRef) -> bool {
        let monitor = self.monitored_runs.get_mut(&run);
        monitor.is_some_and(|it| !std::mem::replace(&mut it.evicted, true))
    }

    /// Returns whether a listed run is marked to be stopped.
    pub(super) fn is_evicted(&self, run: RunRef) -> bool {
        self.monitored_runs.get(&run).is_some_and(|it| it.evicted)
    }
}
