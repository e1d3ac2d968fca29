//! Failures that were recorded, but whose workers may not have received the acknowledgement.
//!
//! A failure counts as an attempt once its worker has received the acknowledgement. If the worker's
//! lease expires first, the failure does not count: users see the run as lapsed. Until one of both
//! is known, the task does not fail. It begins again only if it has attempts left in any case, so
//! that only the verdict on its last attempt delays it. Failures that counted as soon as they were
//! recorded ended workflows after fewer attempts than their queue allows, whenever a worker was cut
//! off at that moment. Failures that did not count because their worker was marked as lost let a
//! task begin a fourth time in one of 400 schedules.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{control::state::workflows::Worker, prelude::*};

/// The failures that are not settled, and the gang starts that have failed.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub(super) struct UnsettledFailures {
    open: BTreeMap<WorkerId, Vec<UnsettledFailure>>,
    /// Failures on worker incarnations that were marked as lost, by name and node. Their tasks
    /// wait until the incarnation is back and reports which acknowledgements it received.
    lost: Vec<LostFailures>,
    /// The last run of each gang for which a failure was counted. A start of a gang is one attempt
    /// however many members fail: counted each, three members that failed together used up all of
    /// three attempts.
    gangs: BTreeMap<StepRef, u32>,
}

/// A failure that is not settled.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub(super) struct UnsettledFailure {
    /// The worker that the run was recorded on.
    pub worker: WorkerId,
    pub end: RunEnd,
    /// The worker forgets the end once this cursor is acknowledged.
    cursor: u64,
}

/// The failures on a worker incarnation that was marked as lost. The name alone does not identify
/// it, since names are unique at one node only.
///
/// A list of these is encoded as the map by name that earlier versions wrote.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
struct LostFailures {
    name: CompactString,
    node: SocketAddr,
    lost_ms: u64,
    failures: Vec<UnsettledFailure>,
}

impl LostFailures {
    fn key(&self) -> (&str, SocketAddr) {
        (&self.name, self.node)
    }
}

impl UnsettledFailures {
    /// Adds a failure from a list of ends that reaches up to `cursor`.
    pub(super) fn add(&mut self, worker: WorkerId, end: RunEnd, cursor: u64) {
        self.open.entry(worker).or_default().push(UnsettledFailure { worker, end, cursor });
    }

    /// Returns the failures of a worker that `noted` settles, or `None` if it settles none.
    pub(super) fn failures_to_settle(
        &self,
        worker: WorkerId,
        noted: NotedEnds,
    ) -> Option<SettleFailures> {
        let failures = self.open.get(&worker)?;
        let counted = runs_of(failures.iter().filter(|it| noted.is_noted(it.cursor)));
        let lapsed = runs_of(failures.iter().filter(|it| noted.has_lapsed(it.cursor)));
        let settles_any = !counted.is_empty() || !lapsed.is_empty();
        settles_any.then_some(SettleFailures { counted, lapsed })
    }

    /// Returns the failed runs on a worker.
    pub(super) fn runs_on(&self, worker: WorkerId) -> Vec<RunRef> {
        runs_of(self.open.get(&worker).into_iter().flatten())
    }

    /// Returns the failed runs that `is_wanted` selects, with their workers.
    pub(super) fn runs_where(&self, is_wanted: impl Fn(RunRef) -> bool) -> Vec<RunPlacement> {
        let of_lost = self.lost.iter().flat_map(|it| &it.failures);
        let all = self.open.values().flatten().chain(of_lost);
        let wanted = all.filter(|it| is_wanted(it.end.run));
        wanted.map(|it| RunPlacement { run: it.end.run, worker: it.worker }).collect()
    }

    /// Settles the failures on a worker incarnation that has ended, whether it is enrolled as `id` or
    /// was marked as lost: those that it had not noted have lapsed.
    pub(super) fn runs_on_incarnation(
        &self,
        id: Option<WorkerId>,
        name: &str,
        node: SocketAddr,
        noted: NotedEnds,
    ) -> SettleFailures {
        let of_lost = self.lost.iter().filter(|it| it.key() == (name, node));
        let of_lost = of_lost.flat_map(|it| &it.failures);
        let of_enrolled = id.and_then(|it| self.open.get(&it)).into_iter().flatten();
        let is_noted = |it: &&UnsettledFailure| noted.is_noted(it.cursor);
        let (counted, lapsed): (Vec<_>, Vec<_>) = of_enrolled.chain(of_lost).partition(is_noted);
        SettleFailures {
            counted: runs_of(counted.into_iter()),
            lapsed: runs_of(lapsed.into_iter()),
        }
    }

    /// Returns whether a failure of this start of a gang was counted.
    pub(super) fn is_counted_for_gang(&self, run: RunRef) -> bool {
        self.gangs.get(&StepRef::of_task(run.task)).is_some_and(|last| run.run <= *last)
    }

    /// Returns the failed runs on worker incarnations that were marked as lost before `time_ms`.
    pub(super) fn lost_before(&self, time_ms: u64) -> Vec<RunRef> {
        let lost = self.lost.iter().filter(|it| it.lost_ms < time_ms);
        runs_of(lost.flat_map(|it| &it.failures))
    }

    /// Removes and returns the failure of a run, unless it is already settled.
    pub(super) fn take(&mut self, run: RunRef) -> Option<UnsettledFailure> {
        let of_lost = self.lost.iter_mut().map(|it| &mut it.failures);
        let mut lists = self.open.values_mut().chain(of_lost);
        let res = lists.find_map(|it| {
            let index = it.iter().position(|it| it.end.run == run)?;
            Some(it.remove(index))
        });
        self.open.retain(|_, it| !it.is_empty());
        self.lost.retain(|it| !it.failures.is_empty());
        res
    }

    /// Keeps the failures of a worker incarnation that is marked as lost until it is back.
    pub(super) fn mark_lost(&mut self, id: WorkerId, worker: &Worker, lost_ms: u64) {
        let Some(failures) = self.open.remove(&id) else { return };
        let lost = LostFailures { name: worker.name.clone(), node: worker.node, lost_ms, failures };
        let position = self.lost.partition_point(|it| it.key() <= lost.key());
        self.lost.insert(position, lost);
    }

    /// Handles the registration of a worker incarnation, which may have been marked as lost before.
    /// Returns the failed runs of other lost incarnations at its node, which will not be back.
    pub(super) fn note_enrolled(
        &mut self,
        id: WorkerId,
        registration: &EnrolWorker,
    ) -> Vec<RunRef> {
        let is_returned =
            |it: &LostFailures| it.name == registration.name && it.node == registration.node;
        if let Some(position) = self.lost.iter().position(is_returned) {
            self.open.insert(id, self.lost.remove(position).failures);
        }
        let others_at_node = self.lost.iter().filter(|lost| lost.node == registration.node);
        runs_of(others_at_node.flat_map(|it| &it.failures))
    }

    /// Records the failure of a gang member. Returns whether it is the first failure of that start.
    pub(super) fn note_gang_failure(&mut self, run: RunRef) -> bool {
        let last_failed_run = self.gangs.entry(StepRef::of_task(run.task)).or_insert(0);
        std::mem::replace(last_failed_run, run.run.max(*last_failed_run)) < run.run
    }

    /// Forgets the gangs of a workflow that has ended.
    pub(super) fn forget(&mut self, workflow: WorkflowId) {
        self.gangs.retain(|step, _| step.workflow != workflow);
    }
}

fn runs_of<'a>(failures: impl Iterator<Item = &'a UnsettledFailure>) -> Vec<RunRef> {
    failures.map(|it| it.end.run).collect()
}

impl NotedEnds {
    /// The worker has not reported any acknowledgements yet.
    pub const NO_ACKNOWLEDGEMENTS: NotedEnds =
        NotedEnds { noted_cursor: 0, lapsed_after_cursor: 0, lapsed_cursor: 0 };

    /// Returns whether the worker received the acknowledgement of the end at `cursor` within the
    /// lease under which it listed the end.
    pub fn is_noted(self, cursor: u64) -> bool {
        cursor <= self.noted_cursor && !self.has_lapsed(cursor)
    }

    /// Returns whether the lease expired between the end at `cursor` and its acknowledgement.
    pub fn has_lapsed(self, cursor: u64) -> bool {
        self.lapsed_after_cursor < cursor && cursor <= self.lapsed_cursor
    }
}
