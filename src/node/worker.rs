//! What a node knows of the worker beside it.

use std::collections::{BTreeMap, HashMap};

use crate::{
    node::calls::Announcement,
    policy::{
        harm::{UNKNOWN_PERCENT, headroom_percent},
        pacing::{FillerReading, Pacer, ServingReading, Usage},
    },
    prelude::*,
};

/// A reading of the worker's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockSample {
    pub clock_ms: u64,
    /// When it was received, by the clock of this node.
    pub at_ms: u64,
}

/// An order on its way to the worker.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub order: Order,
    /// The call under way, if any.
    pub call: Option<u64>,
    pub next_ms: u64,
    pub attempts: u32,
    /// A start that got no answer may still be carried out.
    pub may_be_late: bool,
}

/// What an order is for.
#[derive(Clone, Debug)]
pub(super) enum Order {
    Start {
        payload: CompactString,
        checkpoint: CompactString,
    },
    /// Ends the run, or bars it from beginning; then it is refused for this cause, if any.
    Stop {
        refused: Option<RefusalCause>,
    },
    /// The worker was told to stop the run; whether it ever ran shows in the next list, read by
    /// a call numbered above `after_call`.
    Barred {
        cause: RefusalCause,
        after_call: u64,
    },
}

/// One lifetime of the worker.
#[derive(Debug)]
pub(super) struct Lifetime {
    pub announcement: Announcement,
    pub clock: ClockSample,
    /// Last word from the worker itself.
    pub heard_ms: u64,
    /// Term under which the lists were last read.
    pub listed_term: u64,
    pub running: Vec<RunningTask>,
    pub ended: BTreeMap<u64, RunEnd>,
    pub acked_cursor: u64,
    /// Token for calls, from the newest grant.
    pub token: u64,
    pub lease_until_ms: u64,
    pub orders: BTreeMap<RunRef, Pending>,
    pub refused: BTreeMap<RunRef, RefusalCause>,
    pub roles: HashMap<RunRef, TaskRole>,
    pub pacer: Pacer,
    /// What fillers use, over the time that tails are read in.
    pub usages: HashMap<RunRef, Usage>,
    /// What a core of a filler takes from a serving task, by their images.
    pub costs: HashMap<(CompactString, CompactString), f64>,
    /// Share that each filler was last told, and the call that tells it.
    pub paces: HashMap<RunRef, u32>,
    pub pace_calls: HashMap<u64, (RunRef, u32)>,
    pub hold: Option<u64>,
    pub hold_at_ms: u64,
    /// When nobody was found at the worker's address first, with nothing heard since.
    pub missing_since_ms: Option<u64>,
    pub is_gone: bool,
}

impl Lifetime {
    pub(super) fn new(announcement: Announcement, now: Now) -> Lifetime {
        Lifetime {
            clock: ClockSample { clock_ms: announcement.clock_ms, at_ms: now.mono_ms },
            announcement,
            heard_ms: now.mono_ms,
            listed_term: 0,
            running: Vec::new(),
            ended: BTreeMap::new(),
            acked_cursor: 0,
            token: 0,
            lease_until_ms: 0,
            orders: BTreeMap::new(),
            refused: BTreeMap::new(),
            roles: HashMap::new(),
            pacer: Pacer::default(),
            usages: HashMap::new(),
            costs: HashMap::new(),
            paces: HashMap::new(),
            pace_calls: HashMap::new(),
            hold: None,
            hold_at_ms: now.mono_ms,
            missing_since_ms: None,
            is_gone: false,
        }
    }

    /// Takes in a word from the worker.
    pub(super) fn hear(&mut self, clock_ms: u64, now: Now) {
        self.clock = ClockSample { clock_ms, at_ms: now.mono_ms };
        self.heard_ms = now.mono_ms;
        self.missing_since_ms = None;
    }

    /// Returns the end of the lease by the worker's clock, or nothing when it is over.
    ///
    /// The reading was made before it arrived, so this is never later than the lease.
    pub(super) fn lease_by_worker_ms(&self, now: Now) -> Option<u64> {
        let valid = now.mono_ms < self.lease_until_ms;
        valid.then(|| self.clock.clock_ms + (self.lease_until_ms - self.clock.at_ms))
    }

    /// Returns whether a run is listed, as running or ended.
    pub(super) fn knows(&self, run: RunRef) -> bool {
        self.running.iter().any(|it| it.run == run) || self.ended.values().any(|it| it.run == run)
    }

    /// Returns whether fillers work beside tasks that serve, so that tails must be watched.
    pub(super) fn must_watch(&self) -> bool {
        let has = |is_wanted: fn(&TaskRole) -> bool| {
            self.running.iter().filter_map(|it| self.roles.get(&it.run)).any(is_wanted)
        };
        has(|it| matches!(it, TaskRole::Filler(_))) && has(|it| matches!(it, TaskRole::Serving(_)))
    }

    /// Returns what runs and serves, with its image; one that has just begun has no tail yet.
    pub(super) fn serving(&self) -> Vec<(ServingReading, &CompactString)> {
        let reading = |it: &RunningTask| match self.roles.get(&it.run) {
            Some(TaskRole::Serving(role)) if 0 < it.load => {
                let headroom_percent = headroom_percent(it.load, role.target_ms);
                Some((ServingReading { run: it.run, headroom_percent }, &role.image))
            }
            _ => None,
        };
        self.running.iter().filter_map(reading).collect()
    }

    /// Returns the fillers, with what each costs the tasks that serve.
    pub(super) fn fillers(&self, serving: &[&CompactString]) -> Vec<FillerReading> {
        let reading = |it: &RunningTask| match self.roles.get(&it.run) {
            Some(TaskRole::Filler(role)) => Some(FillerReading {
                run: it.run,
                need_cores: f64::from(role.cpu_millicores) / 1_000.0,
                used_cores: self.usages.get(&it.run).map_or(0.0, |it| it.cores),
                costs_percent: serving
                    .iter()
                    .map(|image| self.cost_percent(image, &role.image))
                    .collect(),
            }),
            _ => None,
        };
        self.running.iter().filter_map(reading).collect()
    }

    /// Takes in what fillers were read to use.
    fn read_usages(&mut self, now: Now) {
        let mut usages = std::mem::take(&mut self.usages);
        usages.retain(|run, _| self.running.iter().any(|it| it.run == *run));
        for it in &self.running {
            let Some(TaskRole::Filler(role)) = self.roles.get(&it.run) else { continue };
            let told = f64::from(self.paces.get(&it.run).copied().unwrap_or(100)) / 100.0;
            let wanted_cores = f64::from(role.cpu_millicores) / 1_000.0 * told;
            let read_cores = f64::from(it.load) / 1_000.0;
            usages.entry(it.run).or_default().observe(read_cores, wanted_cores, now.mono_ms);
        }
        self.usages = usages;
    }

    /// Decides anew how fast each filler may work.
    pub(super) fn pace(&mut self, now: Now) {
        self.read_usages(now);
        self.decide_paces(|pacer, serving, fillers| pacer.observe(serving, fillers, now.mono_ms));
    }

    /// Decides how fast a filler may work that has just begun, from what was last read.
    pub(super) fn pace_newcomer(&mut self, now: Now) {
        self.decide_paces(|pacer, serving, fillers| pacer.share_out(serving, fillers, now.mono_ms));
    }

    fn decide_paces(
        &mut self,
        decide: impl FnOnce(&mut Pacer, &[ServingReading], &[FillerReading]),
    ) {
        let (readings, fillers) = {
            let serving = self.serving();
            let images: Vec<_> = serving.iter().map(|(_, image)| *image).collect();
            let fillers = self.fillers(&images);
            (serving.into_iter().map(|(it, _)| it).collect::<Vec<_>>(), fillers)
        };
        let sum = |pacer: &Pacer| fillers.iter().map(|it| pacer.percent(it.run)).sum::<u32>();
        let before = sum(&self.pacer);
        decide(&mut self.pacer, &readings, &fillers);
        let after = sum(&self.pacer);
        if before != after {
            let least = readings.iter().map(|it| it.headroom_percent).fold(f64::MAX, f64::min);
            let count = fillers.len().max(1) as u32;
            tracing::info!(event = "fillers_paced", worker = %self.announcement.name, mean_percent = after / count, from_percent = before / count, least_headroom_percent = least as u64, fillers = fillers.len(), serving = readings.len());
        }
    }

    /// Returns the fillers that were last told another pace than they may work at.
    pub(super) fn paces_to_tell(&self) -> Vec<(RunRef, u32)> {
        let is_filler =
            |it: &&RunningTask| matches!(self.roles.get(&it.run), Some(TaskRole::Filler(_)));
        let is_told = |run: RunRef, percent: u32| {
            self.paces.get(&run).copied().unwrap_or(100) == percent
                || self.pace_calls.values().any(|(it, _)| *it == run)
        };
        let fillers = self.running.iter().filter(is_filler);
        let paces = fillers.map(|it| (it.run, self.pacer.percent(it.run)));
        paces.filter(|(run, percent)| !is_told(*run, *percent)).collect()
    }

    fn cost_percent(&self, serving: &CompactString, filler: &CompactString) -> f64 {
        let known = self.costs.get(&(serving.clone(), filler.clone()));
        known.copied().unwrap_or(UNKNOWN_PERCENT)
    }

    /// Returns a running task as the leader is told of it, with what a filler uses on the whole.
    fn reported(&self, it: &RunningTask) -> RunningTask {
        let usage = self.usages.get(&it.run);
        let load = usage.map_or(it.load, |it| (it.cores * 1_000.0) as u32);
        RunningTask { load, ..it.clone() }
    }

    pub(super) fn report(&self) -> WorkerReport {
        let it = &self.announcement;
        let roles_missing = self.running.iter().any(|it| !self.roles.contains_key(&it.run));
        WorkerReport {
            name: it.name.clone(),
            service: it.service.clone(),
            zone: it.zone.clone(),
            kind: it.kind.clone(),
            rack: it.rack.clone(),
            capacity: it.capacity,
            draining: it.draining,
            remaining_ms: it.remaining_ms,
            gone: self.is_gone,
            term: self.listed_term,
            running: self.running.iter().map(|it| self.reported(it)).collect(),
            ended: self
                .ended
                .iter()
                .map(|(cursor, end)| EndedRun { cursor: *cursor, end: end.clone() })
                .collect(),
            refused: self
                .refused
                .iter()
                .map(|(run, cause)| RefusedRun { run: *run, cause: *cause })
                .collect(),
            roles_missing,
        }
    }
}
