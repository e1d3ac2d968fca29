//! Failures that were taken in and that their workers may not know to be taken note of.
//!
//! A failure is an attempt once its worker has heard that it was taken note of. If the worker's
//! lease runs out before, it never is one: users count it as a run that lapsed. Until then the task
//! neither begins again nor fails. A failure that counted when it was taken in ended workflows
//! after fewer attempts than their queue allows, wherever a worker was cut off in that moment; one
//! that did not count because its worker was given up let a task begin a fourth time in one of 400
//! schedules.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{control::state::workflows::Worker, prelude::*};

/// The failures that are to be settled, and the starts of gangs that have failed.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub(super) struct UnsettledFailures {
    open: BTreeMap<WorkerId, Vec<UnsettledFailure>>,
    /// Those of lifetimes that were given up, by their names: what they know shows once they are
    /// back, and until then their tasks wait.
    lost: BTreeMap<CompactString, LostFailures>,
    /// The last run of each gang that a failure counted for. A start of a gang is one attempt,
    /// whichever of its members fail: three members that failed together took all of three.
    gangs: BTreeMap<StepRef, u32>,
}

/// A failure that is to be settled.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub(super) struct UnsettledFailure {
    /// The worker that the run is held on.
    pub worker: WorkerId,
    pub end: RunEnd,
    /// The worker forgets the end once it hears of this cursor.
    cursor: u64,
}

/// The failures of a lifetime that was given up.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
struct LostFailures {
    node: SocketAddr,
    lost_ms: u64,
    failures: Vec<UnsettledFailure>,
}

impl UnsettledFailures {
    /// Notes a failure that was listed up to a cursor.
    pub(super) fn open(&mut self, worker: WorkerId, end: RunEnd, cursor: u64) {
        self.open.entry(worker).or_default().push(UnsettledFailure { worker, end, cursor });
    }

    /// Returns what a worker knows of its failures, if that settles any.
    pub(super) fn failures_to_settle(
        &self,
        worker: WorkerId,
        noted: NotedEnds,
    ) -> Option<SettleFailures> {
        let open = self.open.get(&worker)?;
        let counted = runs_of(open.iter().filter(|it| noted.is_noted(it.cursor)));
        let lapsed = runs_of(open.iter().filter(|it| noted.has_lapsed(it.cursor)));
        let is_any = !counted.is_empty() || !lapsed.is_empty();
        is_any.then_some(SettleFailures { counted, lapsed })
    }

    /// Returns the failures on a worker.
    pub(super) fn on(&self, worker: WorkerId) -> Vec<RunRef> {
        runs_of(self.open.get(&worker).into_iter().flatten())
    }

    /// Returns the failures of lifetimes that were given up before a time.
    pub(super) fn lost_before(&self, time_ms: u64) -> Vec<RunRef> {
        let lost = self.lost.values().filter(|it| it.lost_ms < time_ms);
        runs_of(lost.flat_map(|it| &it.failures))
    }

    /// Takes out the failure of a run, unless it was settled before.
    pub(super) fn take(&mut self, run: RunRef) -> Option<UnsettledFailure> {
        let lost = self.lost.values_mut().map(|it| &mut it.failures);
        let mut all = self.open.values_mut().chain(lost);
        let res = all.find_map(|it| {
            let at = it.iter().position(|it| it.end.run == run)?;
            Some(it.remove(at))
        });
        self.open.retain(|_, it| !it.is_empty());
        self.lost.retain(|_, it| !it.failures.is_empty());
        res
    }

    /// Keeps the failures of a lifetime that is given up until it is back.
    pub(super) fn lose(&mut self, id: WorkerId, worker: &Worker, lost_ms: u64) {
        let Some(failures) = self.open.remove(&id) else { return };
        let lost = LostFailures { node: worker.node, lost_ms, failures };
        self.lost.insert(worker.name.clone(), lost);
    }

    /// Takes in a lifetime that enrols: it may be one that was given up. Returns the failures of
    /// others beside its node, of which nobody will hear any more.
    pub(super) fn note_enrolled(&mut self, id: WorkerId, it: &EnrolWorker) -> Vec<RunRef> {
        if let Some(back) = self.lost.remove(&it.name) {
            self.open.insert(id, back.failures);
        }
        let beside = self.lost.values().filter(|lost| lost.node == it.node);
        runs_of(beside.flat_map(|it| &it.failures))
    }

    /// Notes that a member of a gang failed; returns whether that is the first failure of its start.
    pub(super) fn note_gang(&mut self, run: RunRef) -> bool {
        let last = self.gangs.entry(StepRef::of_task(run.task)).or_insert(0);
        std::mem::replace(last, run.run.max(*last)) < run.run
    }

    /// Forgets the gangs of a workflow that is at its end.
    pub(super) fn forget(&mut self, workflow: WorkflowId) {
        self.gangs.retain(|step, _| step.workflow != workflow);
    }
}

fn runs_of<'a>(open: impl Iterator<Item = &'a UnsettledFailure>) -> Vec<RunRef> {
    open.map(|it| it.end.run).collect()
}

impl NotedEnds {
    /// Nothing is known yet.
    pub const NONE: NotedEnds =
        NotedEnds { noted_cursor: 0, lapsed_after_cursor: 0, lapsed_cursor: 0 };

    /// Returns whether the end at a cursor was taken note of under the lease that it came in.
    pub fn is_noted(self, cursor: u64) -> bool {
        cursor <= self.noted_cursor && !self.has_lapsed(cursor)
    }

    /// Returns whether the lease ran out between the end at a cursor and its acknowledgement.
    pub fn has_lapsed(self, cursor: u64) -> bool {
        self.lapsed_after_cursor < cursor && cursor <= self.lapsed_cursor
    }
}
