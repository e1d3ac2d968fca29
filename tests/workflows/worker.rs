//! A stand-in worker: it runs what it is told under a lease and a fence, and lists ends.

use std::collections::BTreeMap;

use aspenrail::{
    control::state::{NO_RESOURCES, add, fits},
    node::{Action, Announcement, CallRefusal, CallResult, WorkerCall},
    prelude::*,
};

use crate::rules::Ledger;

pub const CAPACITY: Resources =
    Resources { cpu_millicores: 16_000, memory_mib: 32_000, accelerators: 0 };

/// Time for which a capacity that has shrunk still counts, as users allow: that of contact, and an
/// announcement.
const SHRUNK_COUNTS_MS: u64 = 3_500;

/// Start of the first lifetimes.
const BORN_MS: u64 = 1_699_999_000_000;

/// Run times and ends of tasks, known to the stand-ins only.
#[derive(Clone, Copy, Debug)]
pub struct Nature {
    pub work_ms: u64,
    /// Every n-th run fails; 0 never.
    pub fails_every: u32,
    /// One task of each step takes down the worker that starts it.
    pub crash: Option<Crash>,
}

/// A task that crashes its worker, some time after its start.
#[derive(Clone, Copy, Debug)]
pub struct Crash {
    pub index: u32,
    pub after_ms: u64,
}

impl Nature {
    /// Returns when a run that began takes its worker down.
    fn crashes_ms(&self, run: RunRef, began_ms: u64) -> Option<u64> {
        self.crash.filter(|it| it.index == run.task.index).map(|it| began_ms + it.after_ms)
    }
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

/// One VM's worker, over all its lifetimes.
#[derive(Debug)]
pub struct FakeWorker {
    pub vm: usize,
    pub lifetime: u32,
    /// Rises with each lifetime that comes with an id of its own.
    id_number: u32,
    /// Unix millisecond of its start.
    pub started_unix_ms: u64,
    /// When its clock began.
    clock_from_ms: u64,
    pub up: bool,
    pub sequence: u64,
    pub draining: bool,
    /// What runs here stands still.
    pub stalls: bool,
    /// What runs here fails, whatever it is.
    pub fails_all: bool,
    /// Whether it refuses what does not fit; else it starts whatever it is told.
    pub guards: bool,
    /// Whether the call at hand is carried out late, which is no fault of who made it.
    pub is_late: bool,
    /// What it had, from when on; the last is what it has.
    capacities: Vec<(u64, Resources)>,
    token: u64,
    lease_until_ms: u64,
    running: BTreeMap<RunRef, Running>,
    highest: BTreeMap<TaskRef, u32>,
    ended: Vec<EndedRun>,
    /// Ends up to here were listed when the lease ran out: to take note of them then binds nobody.
    lapsed_ends: u64,
    next_end: u64,
    acked: u64,
}

impl FakeWorker {
    pub fn new(vm: usize) -> FakeWorker {
        FakeWorker {
            vm,
            lifetime: 0,
            id_number: 0,
            started_unix_ms: BORN_MS + vm as u64,
            clock_from_ms: 0,
            up: true,
            sequence: 0,
            draining: false,
            stalls: false,
            fails_all: false,
            guards: true,
            is_late: false,
            capacities: vec![(0, CAPACITY)],
            token: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            highest: BTreeMap::new(),
            ended: Vec::new(),
            lapsed_ends: 0,
            next_end: 1,
            acked: 0,
        }
    }

    /// Returns a name of this lifetime alone, by which the checkers know it.
    pub fn name(&self) -> CompactString {
        format_compact!("worker-{}-{}", self.vm, self.lifetime)
    }

    /// Returns the id that it goes by, which an earlier lifetime may have had.
    pub fn id(&self) -> CompactString {
        format_compact!("worker-{}-{}", self.vm, self.id_number)
    }

    /// Crashes: everything that runs is gone, and so is what it knew.
    pub fn crash(&mut self, keeps_id: bool, rules: &mut Ledger) {
        rules.worker_died(&self.name(), self.running.keys());
        *self = FakeWorker {
            lifetime: self.lifetime + 1,
            id_number: self.id_number + u32::from(!keeps_id),
            up: false,
            guards: self.guards,
            ..FakeWorker::new(self.vm)
        };
    }

    /// Starts again: its numbers and its clock begin anew.
    pub fn revive(&mut self, now_ms: u64, started_unix_ms: u64) {
        self.up = true;
        self.started_unix_ms = started_unix_ms;
        self.clock_from_ms = now_ms;
    }

    pub fn announce(&mut self, now_ms: u64) -> Announcement {
        self.sequence += 1;
        Announcement {
            id: self.id(),
            service: "pool".into(),
            zone: crate::world::zone_of(self.vm),
            kind: "a".into(),
            rack: format_compact!("rack-{}", self.vm / 2),
            capacity: self.capacity(),
            draining: self.draining,
            remaining_ms: 0,
            clock_ms: self.clock(now_ms),
            sequence: self.sequence,
            started_unix_ms: Some(self.started_unix_ms),
        }
    }

    /// Changes what it has while it runs.
    pub fn resize(&mut self, capacity: Resources, now_ms: u64) {
        self.capacities.push((now_ms, capacity));
    }

    fn capacity(&self) -> Resources {
        self.capacities.last().map_or(CAPACITY, |(_, it)| *it)
    }

    /// Returns the most that may be in use: a capacity counts for some time after it has shrunk.
    fn allowed(&self, now_ms: u64) -> Resources {
        let until = self.capacities.iter().skip(1).map(|(from_ms, _)| *from_ms);
        let until = until.chain(std::iter::once(u64::MAX));
        let counting =
            self.capacities.iter().zip(until).filter(|(_, until_ms)| {
                *until_ms == u64::MAX || now_ms <= until_ms + SHRUNK_COUNTS_MS
            });
        let most = |of: fn(&Resources) -> u32| {
            counting.clone().map(|((_, it), _)| of(it)).max().unwrap_or(0)
        };
        Resources {
            cpu_millicores: most(|it| it.cpu_millicores),
            memory_mib: most(|it| it.memory_mib),
            accelerators: most(|it| it.accelerators),
        }
    }

    /// Returns what is in use with one more run.
    fn used_with(&self, run: RunRef, rules: &Ledger) -> Resources {
        let runs = self.running.keys().copied().chain(std::iter::once(run));
        runs.filter_map(|it| rules.reservation_of(it)).fold(NO_RESOURCES, add)
    }

    /// Its own clock, with an offset of its own.
    fn clock(&self, now_ms: u64) -> u64 {
        let offset_ms = if self.lifetime == 0 { 1_000_000 * (self.vm as u64 + 1) } else { 1 };
        now_ms - self.clock_from_ms + offset_ms
    }

    /// Returns a run that takes the worker down now.
    pub fn crashing_run(&self, now_ms: u64, nature: &BTreeMap<u64, Nature>) -> Option<RunRef> {
        let is_due = |(run, it): &(&RunRef, &Running)| {
            let crashes_ms = nature[&run.task.workflow.0].crashes_ms(**run, it.began_ms);
            crashes_ms.is_some_and(|it| it <= now_ms)
        };
        self.running.iter().find(is_due).map(|(run, _)| *run)
    }

    /// Lets time pass: work ends, and leases run out.
    pub fn tick(&mut self, now_ms: u64, nature: &BTreeMap<u64, Nature>, rules: &mut Ledger) {
        if self.lease_until_ms < self.clock(now_ms) {
            let lapsed: Vec<_> = self.running.keys().copied().collect();
            for run in lapsed {
                self.end(run, RunOutcome::Lapsed, rules);
            }
            self.lapsed_ends = self.next_end - 1;
            self.ended.iter().for_each(|it| rules.lapsed_after(it.end.run));
            return;
        }
        if self.stalls {
            return;
        }
        let over: Vec<_> = self
            .running
            .iter()
            .filter(|(_, it)| it.ends_ms <= now_ms)
            .map(|(run, _)| *run)
            .collect();
        for run in over {
            let fails_every = nature[&run.task.workflow.0].fails_every;
            let fails = self.fails_all
                || 0 < fails_every && (run.run + run.task.index).is_multiple_of(fails_every);
            let outcome = if fails { RunOutcome::Failed } else { RunOutcome::Done };
            self.end(run, outcome, rules);
        }
    }

    fn end(&mut self, run: RunRef, outcome: RunOutcome, rules: &mut Ledger) {
        self.running.remove(&run);
        rules.ended(run, outcome);
        let end = RunEnd { run, outcome, checkpoint: CompactString::default() };
        self.ended.push(EndedRun { cursor: self.next_end, end });
        self.next_end += 1;
    }

    /// Carries out a call, also one that comes late.
    pub fn handle(
        &mut self,
        call: &WorkerCall,
        now_ms: u64,
        nature: &BTreeMap<u64, Nature>,
        rules: &mut Ledger,
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
                self.acked = self.acked.max(*acked_cursor);
                let (acked, lapsed) = (self.acked, self.lapsed_ends);
                for it in self.ended.iter().filter(|it| lapsed < it.cursor && it.cursor <= acked) {
                    rules.taken_note_of(it.end.run, it.end.outcome);
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
                let highest = self.highest.entry(run.task).or_insert(0);
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
        nature: &BTreeMap<u64, Nature>,
        rules: &mut Ledger,
    ) -> CallResult {
        let clock_ms = self.clock(now_ms);
        if self.running.contains_key(&run) {
            return CallResult::Done { clock_ms };
        }
        if run.run <= self.highest.get(&run.task).copied().unwrap_or(0) {
            return CallResult::Refused { clock_ms, cause: CallRefusal::Superseded };
        }
        if lease_until_ms < clock_ms {
            return CallResult::Refused { clock_ms, cause: CallRefusal::Late };
        }
        self.lease_until_ms = self.lease_until_ms.max(lease_until_ms);
        let used = self.used_with(run, rules);
        if self.guards && !fits(used, self.capacity()) {
            return CallResult::Refused { clock_ms, cause: CallRefusal::Room };
        }
        if !self.is_late && !fits(used, self.allowed(now_ms)) {
            let allowed = self.allowed(now_ms);
            rules.broken.push(format!(
                "{now_ms}: {run:?} fills {} to {used:?} of {allowed:?}",
                self.name()
            ));
        }
        self.highest.insert(run.task, run.run);
        let work_ms = nature[&run.task.workflow.0].work_ms;
        self.running.insert(run, Running { began_ms: now_ms, ends_ms: now_ms + work_ms });
        rules.started(run, &self.name(), now_ms);
        CallResult::Done { clock_ms }
    }
}
