//! The order of waiting tasks.
//!
//! Teams are ordered by the share of their quota in use, the smallest first. Within a team, the
//! order is urgent work, services, batch work about to miss its class's target, other batch work.
//! Within one such [`Tier`], a [`RankingRule`] orders the tasks.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::prelude::*;

/// How tasks of one tier are ranked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RankingRule {
    /// First come, first served.
    Fifo,
    /// Least remaining run time first.
    #[default]
    ShortestRemaining,
    /// Least product of size and remaining run time first: the RS rule of Scully,
    /// "Bounding Mean Slowdown in Multiserver Systems". Results are equal to those of
    /// [`RankingRule::ShortestRemaining`].
    RemainingTimesSize,
    /// Least run time received first.
    LeastAttained,
}

/// The properties of a waiting task by which it is ranked.
#[derive(Clone, Copy, Debug)]
pub struct RankingInput {
    /// Expected run time of the whole task.
    pub size_ms: u64,
    /// Run time that its checkpoint preserves.
    pub attained_ms: u64,
    pub accepted_ms: u64,
}

/// Returns the rank of a task; the lowest goes first.
pub fn rank(rule: RankingRule, it: RankingInput) -> u64 {
    let remaining_ms = it.size_ms.saturating_sub(it.attained_ms).max(1);
    match rule {
        RankingRule::Fifo => it.accepted_ms,
        RankingRule::ShortestRemaining => remaining_ms,
        RankingRule::RemainingTimesSize => it.size_ms.max(1).saturating_mul(remaining_ms),
        RankingRule::LeastAttained => it.attained_ms,
    }
}

/// The precedence of a task within its team, the highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    Urgent,
    Service,
    /// Batch work that misses the finish target of its class unless it starts now.
    Due,
    Batch,
}

/// One waiting task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingTask {
    pub task: TaskId,
    pub tier: Tier,
    pub rank: u64,
    pub need: Resources,
    /// When a batch task becomes due.
    pub due_ms: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct TeamQueue {
    quota: Option<Resources>,
    running: ResourceTotal,
    waiting: BTreeSet<(Tier, u64, TaskId)>,
}

/// A sum of resources, in integers that are wide enough for a whole installation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceTotal {
    pub cpu_millicores: u64,
    pub memory_mib: u64,
    pub accelerators: u64,
}

impl ResourceTotal {
    pub fn add(&mut self, it: Resources) {
        self.cpu_millicores += u64::from(it.cpu_millicores);
        self.memory_mib += u64::from(it.memory_mib);
        self.accelerators += u64::from(it.accelerators);
    }

    pub fn subtract(&mut self, it: Resources) {
        self.cpu_millicores = self.cpu_millicores.saturating_sub(it.cpu_millicores.into());
        self.memory_mib = self.memory_mib.saturating_sub(it.memory_mib.into());
        self.accelerators = self.accelerators.saturating_sub(it.accelerators.into());
    }

    /// Returns the share of `quota` in use, in permille, for the resource with the largest share.
    pub fn share_permille(self, quota: Resources) -> u64 {
        let share = |used: u64, of: u32| match (used, of) {
            (0, _) => 0,
            (_, 0) => u64::MAX,
            _ => used.saturating_mul(1_000) / u64::from(of),
        };
        share(self.cpu_millicores, quota.cpu_millicores)
            .max(share(self.memory_mib, quota.memory_mib))
            .max(share(self.accelerators, quota.accelerators))
    }
}

/// All waiting tasks, in order.
#[derive(Clone, Debug, Default)]
pub struct TaskQueue {
    teams: BTreeMap<CompactString, TeamQueue>,
    tasks: HashMap<TaskId, (CompactString, WaitingTask)>,
    due: BTreeSet<(u64, TaskId)>,
}

impl TaskQueue {
    /// Sets a team's quota; no task of a team without a quota starts.
    pub fn set_quota(&mut self, team: &str, quota: Option<Resources>) {
        self.teams.entry(team.into()).or_default().quota = quota;
    }

    /// Returns all known teams.
    pub fn teams(&self) -> impl Iterator<Item = &CompactString> {
        self.teams.keys()
    }

    /// Adds a task to the team's running total, or subtracts it.
    pub fn record_run_change(&mut self, team: &str, need: Resources, change: RunChange) {
        let running = &mut self.teams.entry(team.into()).or_default().running;
        match change {
            RunChange::Started => running.add(need),
            RunChange::Ended => running.subtract(need),
        }
    }

    /// Adds or replaces a waiting task.
    pub fn insert(&mut self, team: &str, it: WaitingTask) {
        self.remove(it.task);
        let queue = self.teams.entry(team.into()).or_default();
        queue.waiting.insert((it.tier, it.rank, it.task));
        if let (Tier::Batch, Some(due_ms)) = (it.tier, it.due_ms) {
            self.due.insert((due_ms, it.task));
        }
        self.tasks.insert(it.task, (team.into(), it));
    }

    /// Removes a task; returns `None` if it was not waiting.
    pub fn remove(&mut self, task: TaskId) -> Option<WaitingTask> {
        let (team, it) = self.tasks.remove(&task)?;
        if let Some(queue) = self.teams.get_mut(&team) {
            queue.waiting.remove(&(it.tier, it.rank, task));
        }
        if let Some(due_ms) = it.due_ms {
            self.due.remove(&(due_ms, task));
        }
        Some(it)
    }

    /// Moves batch tasks that have become due to [`Tier::Due`].
    pub fn promote_due(&mut self, now_ms: u64) {
        while let Some(&(due_ms, task)) = self.due.first()
            && due_ms <= now_ms
        {
            let Some((team, it)) = self.tasks.get(&task).cloned() else { break };
            self.insert(&team, WaitingTask { tier: Tier::Due, ..it });
        }
    }

    /// Returns whether a task is waiting.
    pub fn contains(&self, task: TaskId) -> bool {
        self.tasks.contains_key(&task)
    }

    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Returns every waiting task with its team, in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = (&CompactString, TaskId)> {
        self.tasks.iter().map(|(task, (team, _))| (team, *task))
    }

    /// Returns the number of waiting tasks by team.
    pub fn waiting_by_team(&self) -> impl Iterator<Item = (&CompactString, usize)> {
        self.teams.iter().map(|(name, it)| (name, it.waiting.len()))
    }

    /// Returns the share of its quota that a team uses, in permille.
    pub fn share_permille(&self, team: &str) -> u64 {
        let Some(it) = self.teams.get(team) else { return 0 };
        it.quota.map_or(u64::MAX, |quota| it.running.share_permille(quota))
    }

    /// Returns at most `limit` tasks to try to start now, each with the resources that it needs.
    ///
    /// Teams below their quota take turns, the one with the smallest share first; each task that
    /// is returned counts as started. Teams above their quota follow in the same way. They borrow
    /// the remaining capacity, which eviction takes back when a team below its quota needs it.
    pub fn candidates(&self, limit: usize) -> Vec<StartCandidate> {
        let mut heads: BTreeSet<(bool, bool, u64, &CompactString)> = BTreeSet::new();
        let mut state: HashMap<
            &CompactString,
            (ResourceTotal, std::collections::btree_set::Iter<'_, _>),
        > = HashMap::new();
        for (name, it) in &self.teams {
            let (Some(quota), Some((tier, _, _))) = (it.quota, it.waiting.first()) else {
                continue;
            };
            let share = it.running.share_permille(quota);
            heads.insert((1_000 <= share, *tier != Tier::Urgent, share, name));
            state.insert(name, (it.running, it.waiting.iter()));
        }
        let mut res = Vec::new();
        while res.len() < limit
            && let Some((exceeds_quota, _, _, name)) = heads.pop_first()
        {
            let Some((running, waiting)) = state.get_mut(name) else { continue };
            let Some((tier, _, task)) = waiting.next() else { continue };
            let Some((_, it)) = self.tasks.get(task) else { continue };
            let quota = self.teams.get(name).and_then(|it| it.quota).unwrap_or(it.need);
            running.add(it.need);
            res.push(StartCandidate { task: *task, tier: *tier, need: it.need, exceeds_quota });
            let share = running.share_permille(quota);
            if let Some((tier, _, _)) = waiting.clone().next() {
                heads.insert((1_000 <= share, *tier != Tier::Urgent, share, name));
            }
        }
        res
    }
}

/// Whether a task starts or stops using the quota of its team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunChange {
    Started,
    Ended,
}

/// A task to try to start now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartCandidate {
    pub task: TaskId,
    pub tier: Tier,
    pub need: Resources,
    /// Whether its team already uses its whole quota.
    pub exceeds_quota: bool,
}
