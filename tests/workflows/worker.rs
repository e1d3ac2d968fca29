//! A simulated worker: it executes runs under a lease and a fencing token, and lists ended runs.

use std::collections::BTreeMap;

use aspenrail::{
    control::state::{NO_RESOURCES, add, fits},
    node::{Action, Announcement, CallRefusal, CallResult, WorkerCall},
    prelude::*,
};

use crate::rules::InvariantChecker;

pub const CAPACITY: Resources =
    Resources { cpu_millicores: 16_000, memory_mib: 32_000, accelerators: 0 };

/// Time for which the capacity before a reduction may still be used. Users allow the time of contact
/// and one announcement interval.
const OLD_CAPACITY_GRACE_MS: u64 = 3_500;

/// Start time of the first incarnations.
const FIRST_START_UNIX_MS: u64 = 1_699_999_000_000;

/// Run time and outcome of the tasks of a workflow, known to the simulated workers only.
#[derive(Clone, Copy, Debug)]
pub struct TaskBehavior {
    pub work_ms: u64,
    /// Every n-th run fails; 0 means that none does.
    pub fails_every: u32,
    /// The task of each step, if any, that crashes the worker that starts it.
    pub crash: Option<Crash>,
}

/// A task that crashes its worker, some time after its start.
#[derive(Clone, Copy, Debug)]
pub struct Crash {
    pub index: u32,
    pub after_ms: u64,
}

impl TaskBehavior {
    /// Returns when a run crashes its worker, if it does.
    fn crashes_ms(&self, run: RunRef, began_ms: u64) -> Option<u64> {
        self.crash.filter(|it| it.index == run.task.index).map(|it| began_ms + it.after_ms)
    }
}

/// How a worker refuses starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    Unhealthy,
    /// It claims not to have the capacity that it announces.
    Room,
}

#[derive(Debug)]
struct Running {
    began_ms: u64,
    ends_ms: u64,
}

impl Running {
    fn progress_percent(&self, now_ms: u64) -> u32 {
        ((now_ms - self.began_ms) * 100 / (self.ends_ms - self.began_ms).max(1)) as u32
    }
}

/// The worker of one VM, over all its incarnations.
#[derive(Debug)]
pub struct FakeWorker {
    pub vm: usize,
    pub incarnation: u32,
    /// Incremented by each incarnation that has a new id.
    id_number: u32,
    /// Start time of the incarnation, in Unix milliseconds.
    pub started_unix_ms: u64,
    /// Virtual time at which the clock of the incarnation started.
    clock_start_ms: u64,
    pub up: bool,
    pub sequence: u64,
    pub draining: bool,
    /// Whether runs on this worker make no progress.
    pub stalls: bool,
    /// Whether every run on this worker fails.
    pub fails_all: bool,
    /// Whether the worker answers no call. It still announces itself.
    pub is_mute: bool,
    /// How the worker answers starts while it refuses all of them; its other answers are sound.
    pub start_refusal: Option<StartRefusal>,
    /// Times of the starts that it refused so.
    pub refused_starts_ms: Vec<u64>,
    /// Label that a step may require.
    pub kind: CompactString,
    /// Whether the worker refuses runs that do not fit. If not, it starts all of them.
    pub checks_capacity: bool,
    /// Whether the current call is executed late, for which its sender is not to blame.
    pub is_late: bool,
    /// Capacities with the time from which each applied; the last one is current.
    capacities: Vec<(u64, Resources)>,
    token: u64,
    lease_until_ms: u64,
    running: BTreeMap<RunRef, Running>,
    highest_run_numbers: BTreeMap<TaskRef, u32>,
    ended: Vec<EndedRun>,
    /// Cursor of the newest end when the lease expired. Acknowledging ends up to it has no effect.
    lapsed_cursor: u64,
    next_cursor: u64,
    acked_cursor: u64,
}

impl FakeWorker {
    pub fn new(vm: usize) -> FakeWorker {
        FakeWorker {
            vm,
            incarnation: 0,
            id_number: 0,
            started_unix_ms: FIRST_START_UNIX_MS + vm as u64,
            clock_start_ms: 0,
            up: true,
            sequence: 0,
            draining: false,
            stalls: false,
            fails_all: false,
            is_mute: false,
            start_refusal: None,
            refused_starts_ms: Vec::new(),
            kind: "a".into(),
            checks_capacity: true,
            is_late: false,
            capacities: vec![(0, CAPACITY)],
            token: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            highest_run_numbers: BTreeMap::new(),
            ended: Vec::new(),
            lapsed_cursor: 0,
            next_cursor: 1,
            acked_cursor: 0,
        }
    }

    /// Returns a name that is unique to this incarnation, for the checkers.
    pub fn name(&self) -> CompactString {
        format_compact!("worker-{}-{}", self.vm, self.incarnation)
    }

    /// Returns the id of the worker, which an earlier incarnation may have had.
    pub fn id(&self) -> CompactString {
        format_compact!("worker-{}-{}", self.vm, self.id_number)
    }

    /// Crashes the worker: it loses all runs and all its state.
    pub fn crash(&mut self, keeps_id: bool, rules: &mut InvariantChecker) {
        rules.record_worker_crash(&self.name(), self.running.keys());
        *self = FakeWorker {
            incarnation: self.incarnation + 1,
            id_number: self.id_number + u32::from(!keeps_id),
            up: false,
            checks_capacity: self.checks_capacity,
            ..FakeWorker::new(self.vm)
        };
    }

    /// Starts the next incarnation, whose sequence numbers and clock start anew.
    pub fn revive(&mut self, now_ms: u64, started_unix_ms: u64) {
        self.up = true;
        self.started_unix_ms = started_unix_ms;
        self.clock_start_ms = now_ms;
    }

    pub fn announce(&mut self, now_ms: u64) -> Announcement {
        self.sequence += 1;
        Announcement {
            id: self.id(),
            service: "pool".into(),
            zone: crate::world::zone_of(self.vm),
            kind: self.kind.clone(),
            rack: format_compact!("rack-{}", self.vm / 2),
            capacity: self.capacity(),
            draining: self.draining,
            remaining_ms: 0,
            clock_ms: self.clock(now_ms),
            sequence: self.sequence,
            started_unix_ms: Some(self.started_unix_ms),
        }
    }

    /// Changes the capacity while the worker runs.
    pub fn resize(&mut self, capacity: Resources, now_ms: u64) {
        self.capacities.push((now_ms, capacity));
    }

    fn capacity(&self) -> Resources {
        self.capacities.last().map_or(CAPACITY, |(_, it)| *it)
    }

    /// Returns the most that may be in use. An earlier capacity counts for [`OLD_CAPACITY_GRACE_MS`].
    fn allowed_usage(&self, now_ms: u64) -> Resources {
        let ends_ms = self.capacities.iter().skip(1).map(|(from_ms, _)| *from_ms);
        let ends_ms = ends_ms.chain(std::iter::once(u64::MAX));
        let counting =
            self.capacities.iter().zip(ends_ms).filter(|(_, end_ms)| {
                *end_ms == u64::MAX || now_ms <= end_ms + OLD_CAPACITY_GRACE_MS
            });
        let max_of = |amount: fn(&Resources) -> u32| {
            counting.clone().map(|((_, it), _)| amount(it)).max().unwrap_or(0)
        };
        Resources {
            cpu_millicores: max_of(|it| it.cpu_millicores),
            memory_mib: max_of(|it| it.memory_mib),
            accelerators: max_of(|it| it.accelerators),
        }
    }

    /// Returns the resources in use if `run` is added.
    fn used_with(&self, run: RunRef, rules: &InvariantChecker) -> Resources {
        let runs = self.running.keys().copied().chain(std::iter::once(run));
        runs.filter_map(|it| rules.reservation_of(it)).fold(NO_RESOURCES, add)
    }

    /// Returns the reading of the worker's clock, which has its own offset.
    fn clock(&self, now_ms: u64) -> u64 {
        let offset_ms = if self.incarnation == 0 { 1_000_000 * (self.vm as u64 + 1) } else { 1 };
        now_ms - self.clock_start_ms + offset_ms
    }

    /// Returns a run that crashes the worker now.
    pub fn crashing_run(
        &self,
        now_ms: u64,
        nature: &BTreeMap<u64, TaskBehavior>,
    ) -> Option<RunRef> {
        let is_due = |(run, it): &(&RunRef, &Running)| {
            let crashes_ms = nature[&run.task.workflow.0].crashes_ms(**run, it.began_ms);
            crashes_ms.is_some_and(|it| it <= now_ms)
        };
        self.running.iter().find(is_due).map(|(run, _)| *run)
    }

    /// Ends the runs that are due, and all runs if the lease has expired.
    pub fn tick(
        &mut self,
        now_ms: u64,
        nature: &BTreeMap<u64, TaskBehavior>,
        rules: &mut InvariantChecker,
    ) {
        if self.lease_until_ms < self.clock(now_ms) {
            let lapsed: Vec<_> = self.running.keys().copied().collect();
            for run in lapsed {
                self.end(run, RunOutcome::Lapsed, rules);
            }
            self.lapsed_cursor = self.next_cursor - 1;
            self.ended.iter().for_each(|it| rules.record_lapse(it.end.run));
            return;
        }
        if self.stalls {
            return;
        }
        let due: Vec<_> = self
            .running
            .iter()
            .filter(|(_, it)| it.ends_ms <= now_ms)
            .map(|(run, _)| *run)
            .collect();
        for run in due {
            let fails_every = nature[&run.task.workflow.0].fails_every;
            let fails = self.fails_all
                || 0 < fails_every && (run.run + run.task.index).is_multiple_of(fails_every);
            let outcome = if fails { RunOutcome::Failed } else { RunOutcome::Done };
            self.end(run, outcome, rules);
        }
    }

    fn end(&mut self, run: RunRef, outcome: RunOutcome, rules: &mut InvariantChecker) {
        self.running.remove(&run);
        rules.record_end(run, outcome);
        let end = RunEnd { run, outcome, checkpoint: CompactString::default() };
        self.ended.push(EndedRun { cursor: self.next_cursor, end });
        self.next_cursor += 1;
    }

    /// Executes a call, which may have been delayed.
    pub fn handle(
        &mut self,
        call: &WorkerCall,
        now_ms: u64,
        nature: &BTreeMap<u64, TaskBehavior>,
        rules: &mut InvariantChecker,
    ) -> CallResult {
        let clock_ms = self.clock(now_ms);
        if call.worker != self.id() {
            return CallResult::OtherLifetime;
        }
        if call.token < self.token {
            return CallResult::Refused { clock_ms, cause: CallRefusal::Fenced };
        }
        self.token = call.token;
        match &call.action {
            Action::Poll { lease_until_ms, acked_cursor, .. } => {
                self.lease_until_ms = self.lease_until_ms.max(lease_until_ms.unwrap_or(0));
                self.acked_cursor = self.acked_cursor.max(*acked_cursor);
                let (acked, lapsed) = (self.acked_cursor, self.lapsed_cursor);
                for it in self.ended.iter().filter(|it| lapsed < it.cursor && it.cursor <= acked) {
                    rules.record_noted_end(it.end.run, it.end.outcome);
                }
                self.ended.retain(|it| acked < it.cursor);
                let stalls = self.stalls;
                let running = self.running.iter().map(|(run, it)| RunningTask {
                    run: *run,
                    checkpoint: CompactString::default(),
                    progress_percent: if stalls { 0 } else { it.progress_percent(now_ms) },
                    load: 0,
                });
                CallResult::RunList {
                    clock_ms,
                    started_unix_ms: Some(self.started_unix_ms),
                    running: running.collect(),
                    ended: self.ended.clone(),
                }
            }
            Action::Start { run, lease_until_ms, .. } => {
                self.start(*run, *lease_until_ms, now_ms, nature, rules)
            }
            Action::Stop { run } => {
                if self.running.contains_key(run) {
                    self.end(*run, RunOutcome::Stopped, rules);
                }
                let highest = self.highest_run_numbers.entry(run.task).or_insert(0);
                *highest = (*highest).max(run.run);
                CallResult::Done { clock_ms }
            }
            Action::Throttle { .. } => CallResult::Done { clock_ms },
        }
    }

    fn start(
        &mut self,
        run: RunRef,
        lease_until_ms: u64,
        now_ms: u64,
        nature: &BTreeMap<u64, TaskBehavior>,
        rules: &mut InvariantChecker,
    ) -> CallResult {
        let clock_ms = self.clock(now_ms);
        if let Some(refusal) = self.start_refusal {
            self.refused_starts_ms.push(now_ms);
            return match refusal {
                StartRefusal::Unhealthy => CallResult::Unhealthy,
                StartRefusal::Room => CallResult::Refused { clock_ms, cause: CallRefusal::Room },
            };
        }
        if self.running.contains_key(&run) {
            return CallResult::Done { clock_ms };
        }
        if run.run <= self.highest_run_numbers.get(&run.task).copied().unwrap_or(0) {
            return CallResult::Refused { clock_ms, cause: CallRefusal::Superseded };
        }
        if lease_until_ms < clock_ms {
            return CallResult::Refused { clock_ms, cause: CallRefusal::Late };
        }
        self.lease_until_ms = self.lease_until_ms.max(lease_until_ms);
        let used = self.used_with(run, rules);
        if self.checks_capacity && !fits(used, self.capacity()) {
            return CallResult::Refused { clock_ms, cause: CallRefusal::Room };
        }
        if !self.is_late && !fits(used, self.allowed_usage(now_ms)) {
            let allowed = self.allowed_usage(now_ms);
            rules.violations.push(format!(
                "{now_ms}: {run:?} makes {} use {used:?}, more than {allowed:?}",
                self.name()
            ));
        }
        self.highest_run_numbers.insert(run.task, run.run);
        let work_ms = nature[&run.task.workflow.0].work_ms;
        self.running.insert(run, Running { began_ms: now_ms, ends_ms: now_ms + work_ms });
        rules.record_start(run, &self.name(), now_ms);
        CallResult::Done { clock_ms }
    }
}
