//! Failures that were taken in and that their workers may not know to be taken note of.
//!
//! A failure is an attempt once its worker has heard that it was taken note of. If the worker's
//! lease runs out before, it never is one: users count it as a run that lapsed. Until then the task
//! neither begins again nor fails. A failure that counted when it was taken in ended workflows
//! after fewer attempts than their queue allows, wherever a worker was cut off in that moment.

use std::collections::BTreeMap;

use crate::prelude::*;

/// The failures that are to be settled, by worker, and the starts of gangs that have failed.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub(super) struct Failures {
    open: BTreeMap<WorkerId, Vec<OpenFailure>>,
    /// The last run of each gang that a failure counted for. A start of a gang is one attempt,
    /// whichever of its members fail: three members that failed together took all of three.
    gangs: BTreeMap<StepRef, u32>,
}

/// A failure that is to be settled.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub(super) struct OpenFailure {
    pub end: RunEnd,
    /// The worker forgets the end once it hears of this cursor.
    pub cursor: u64,
}

impl Failures {
    /// Notes a failure that was listed up to a cursor.
    pub(super) fn open(&mut self, worker: WorkerId, end: RunEnd, cursor: u64) {
        self.open.entry(worker).or_default().push(OpenFailure { end, cursor });
    }

    /// Returns what a worker knows of its failures, if that settles any.
    pub(super) fn settled_by(&self, worker: WorkerId, noted: NotedEnds) -> Option<SettleFailures> {
        let open = self.open.get(&worker)?;
        let counted = runs_of(open.iter().filter(|it| noted.is_noted(it.cursor)));
        let lapsed = runs_of(open.iter().filter(|it| noted.has_lapsed(it.cursor)));
        let is_any = !counted.is_empty() || !lapsed.is_empty();
        is_any.then_some(SettleFailures { worker, counted, lapsed })
    }

    /// Takes out the failure of a run, unless it was settled before.
    pub(super) fn take(&mut self, worker: WorkerId, run: RunRef) -> Option<RunEnd> {
        let open = self.open.get_mut(&worker)?;
        let at = open.iter().position(|it| it.end.run == run)?;
        let res = open.remove(at).end;
        if open.is_empty() {
            self.open.remove(&worker);
        }
        Some(res)
    }

    /// Notes that a member of a gang failed; returns whether that is the first failure of its start.
    pub(super) fn note_gang(&mut self, run: RunRef) -> bool {
        let last = self.gangs.entry(StepRef::of(run.task)).or_insert(0);
        std::mem::replace(last, run.run.max(*last)) < run.run
    }

    /// Forgets the gangs of a workflow that is at its end.
    pub(super) fn forget(&mut self, workflow: WorkflowId) {
        self.gangs.retain(|step, _| step.workflow != workflow);
    }

    /// Takes out all failures of a worker that is given up: it will not hear of them any more.
    pub(super) fn drop_all(&mut self, worker: WorkerId) -> Vec<RunEnd> {
        let open = self.open.remove(&worker).into_iter().flatten();
        open.map(|it| it.end).collect()
    }
}

fn runs_of<'a>(open: impl Iterator<Item = &'a OpenFailure>) -> Vec<RunRef> {
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
