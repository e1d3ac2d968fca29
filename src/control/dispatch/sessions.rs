//! The leader's view of each worker: its lease and what its node reported last.

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque, btree_map::Entry},
    net::SocketAddr,
};

use crate::{
    control::{dispatch::run_monitor::RunMonitor, state::Workflows},
    policy::worker_health::WorkerHealth,
    prelude::*,
};

/// What the leader keeps of one lifetime of a worker.
#[derive(Clone, Debug)]
pub struct Session {
    pub node: SocketAddr,
    /// No run placed on the worker outlives this, whatever the node does.
    pub lease_expires_ms: u64,
    pub last_report_ms: u64,
    /// Number and clock of the node's newest report, and the run of the node that sent it.
    pub boot: u64,
    pub report_number: u64,
    pub report_sent_ms: u64,
    pub report: Option<WorkerReport>,
    pub health: WorkerHealth,
    /// The runs that the newest report lists.
    pub monitored_runs: HashMap<RunRef, RunMonitor>,
    /// The runs held there that a report has listed as running so far.
    pub ever_listed_runs: HashSet<RunRef>,
    /// Those that the newest report lists, and that are fillers and slow.
    pub slow_fillers: Vec<SlowRun>,
    /// Costs that the node was last told, and when.
    pub sent_costs: Vec<ImageCost>,
    pub costs_sent_ms: u64,
    /// How many grants were sent.
    pub grants_sent: u64,
    /// Highest end proposed for the ledger.
    pub proposed_cursor: u64,
    /// A dismissal was proposed.
    pub is_being_dismissed: bool,
}

/// A filler that works slowly where it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowRun {
    pub run: RunRef,
    pub worker: WorkerId,
    /// Share of its full speed.
    pub speed_share: f64,
    pub progress_percent: u32,
}

/// The sessions of all workers in the ledger.
#[derive(Debug, Default)]
pub(super) struct Sessions {
    sessions: BTreeMap<WorkerId, Session>,
    /// The sessions beside each node: one, but for an instant while another lifetime enrols.
    by_node: HashMap<SocketAddr, Vec<WorkerId>>,
    /// The workers with fillers that are slow by their newest report.
    with_slow: BTreeSet<WorkerId>,
    newest: HashMap<SocketAddr, NewestReport>,
    /// No lease is over before this. A lease is only ever prolonged, so that all of them are
    /// looked at once a lease, and not at each event.
    expiry_bound_ms: u64,
    /// How many sessions were looked at so far in walks over all of them.
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
        let session = Session {
            node,
            lease_expires_ms,
            last_report_ms: 0,
            boot: 0,
            report_number: 0,
            report_sent_ms: 0,
            report: None,
            health: WorkerHealth::default(),
            monitored_runs: HashMap::new(),
            ever_listed_runs: HashSet::new(),
            slow_fillers: Vec::new(),
            sent_costs: Vec::new(),
            costs_sent_ms: 0,
            grants_sent: 0,
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

    /// Notes a report; returns whether it is newer than what its node sent before.
    ///
    /// One that went over a connection which is given up may come late, and name a lifetime that has
    /// long been replaced: it must not take the place of the one that is there. Tasks of that one
    /// began again elsewhere while they ran.
    pub(super) fn note_report(&mut self, it: &NodeReport) -> bool {
        let Some(newest) = self.newest.get_mut(&it.node) else {
            self.newest.insert(it.node, NewestReport::new(it));
            return true;
        };
        newest.note(it)
    }

    pub(super) fn get(&self, id: WorkerId) -> Option<&Session> {
        self.sessions.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: WorkerId) -> Option<&mut Session> {
        self.sessions.get_mut(&id)
    }

    /// Returns how many sessions were looked at so far in walks over all of them.
    pub(super) fn rows_visited(&self) -> u64 {
        self.rows_visited.get()
    }

    fn note_walk(&self) {
        self.rows_visited.set(self.rows_visited.get() + self.sessions.len() as u64);
    }

    /// Drops a session.
    pub(super) fn drop(&mut self, id: WorkerId) {
        let Some(session) = self.sessions.remove(&id) else { return };
        self.with_slow.remove(&id);
        if let Some(beside) = self.by_node.get_mut(&session.node) {
            beside.retain(|it| *it != id);
            if beside.is_empty() {
                self.by_node.remove(&session.node);
            }
        }
    }

    /// Drops the sessions beside a node whose workers have left the ledger; returns these.
    pub(super) fn drop_beside(&mut self, node: SocketAddr, workflows: &Workflows) -> Vec<WorkerId> {
        let beside = self.by_node.get(&node).cloned().unwrap_or_default();
        let is_gone = |it: &WorkerId| workflows.workers().get(*it).is_none();
        let gone: Vec<_> = beside.into_iter().filter(is_gone).collect();
        gone.iter().for_each(|it| self.drop(*it));
        gone
    }

    /// Notes whether a worker has fillers that are slow.
    pub(super) fn note_slow(&mut self, id: WorkerId) {
        match self.get(id).is_some_and(|it| !it.slow_fillers.is_empty()) {
            true => self.with_slow.insert(id),
            false => self.with_slow.remove(&id),
        };
    }

    /// Returns when a lease may be over; nothing is by then where all were prolonged meanwhile.
    pub(super) fn next_expiry_ms(&self) -> u64 {
        if self.sessions.is_empty() { u64::MAX } else { self.expiry_bound_ms }
    }

    pub(super) fn take_expired(&mut self, now_ms: u64) -> Vec<WorkerId> {
        if now_ms < self.next_expiry_ms() {
            return Vec::new();
        }
        self.note_walk();
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

    /// Returns the fillers that are slow on workers that can be told to stop them, the slowest
    /// first, which hold up their workflows longest.
    pub(super) fn slow_runs(
        &self,
        workflows: &Workflows,
        is_usable: UsabilityCriteria,
    ) -> Vec<SlowRun> {
        let with_slow = self.with_slow.iter().filter_map(|id| Some((id, self.get(*id)?)));
        let usability = with_slow.filter(|(_, it)| it.is_usable(is_usable));
        let placed = |it: &SlowRun| {
            let worker = workflows.workers().get(it.worker);
            worker.is_some_and(|worker| worker.runs.contains(&it.run))
        };
        let mut res: Vec<_> = usability.flat_map(|(_, it)| it.slow_now()).filter(placed).collect();
        res.sort_by(|a, b| a.speed_share.total_cmp(&b.speed_share));
        res
    }

    /// Returns whether new runs may be placed on a worker.
    pub(super) fn is_usable(&self, id: WorkerId, usability: UsabilityCriteria) -> bool {
        self.get(id).is_some_and(|it| it.is_usable(usability))
    }
}

/// The newest report of a node.
#[derive(Debug)]
struct NewestReport {
    /// The process of the node that sent it.
    boot: u64,
    number: u64,
    /// Processes before that one, the last of them last.
    past_boots: VecDeque<u64>,
}

/// Processes of a node that are remembered as over: a report is held up for less time than it takes
/// so many to start.
const PAST_BOOTS_MAX: usize = 8;

impl NewestReport {
    fn new(it: &NodeReport) -> NewestReport {
        NewestReport { boot: it.boot, number: it.number, past_boots: VecDeque::new() }
    }

    /// Takes in a report; returns whether it is newer. Numbers of processes tell nothing of their
    /// order.
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

/// What makes a worker fit for new runs.
#[derive(Clone, Copy, Debug)]
pub(super) struct UsabilityCriteria {
    pub term: u64,
    /// Silence after which nothing new is placed on it.
    pub silent_ms: u64,
    pub now: Now,
}

impl Session {
    /// Returns whether it was heard of lately under this term and is not leaving.
    fn is_usable(&self, it: UsabilityCriteria) -> bool {
        let reports = |report: &WorkerReport| report.term == it.term && !report.draining;
        self.report.as_ref().is_some_and(reports)
            && !self.is_being_dismissed
            && self.health.is_healthy(it.now.mono_ms)
            && it.now.mono_ms < self.last_report_ms + it.silent_ms
    }

    fn slow_now(&self) -> impl Iterator<Item = SlowRun> {
        let is_told = |run: RunRef| self.monitored_runs.get(&run).is_none_or(|it| it.evicted);
        self.slow_fillers.iter().copied().filter(move |it| !is_told(it.run))
    }

    /// Marks a run that the worker is told to stop; returns whether it was not marked before.
    pub(super) fn evict(&mut self, run: RunRef) -> bool {
        let watch = self.monitored_runs.get_mut(&run);
        watch.is_some_and(|it| !std::mem::replace(&mut it.evicted, true))
    }

    /// Returns whether a run that is listed is told to stop.
    pub(super) fn is_evicted(&self, run: RunRef) -> bool {
        self.monitored_runs.get(&run).is_some_and(|it| it.evicted)
    }
}
