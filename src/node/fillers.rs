//! The fillers on a worker: what they use, and how fast each may work.

use std::collections::BTreeMap;

use crate::{
    node::worker::{ImageUsage, WorkerIncarnation},
    policy::{
        contention::{UNKNOWN_COST_PERCENT, headroom_percent, reference_cores},
        throttling::{CpuUsageWindow, FillerReading, ServingReading, Throttler},
    },
    prelude::*,
};

impl WorkerIncarnation {
    /// Returns whether fillers work beside tasks that serve, so that tails must be watched.
    pub(super) fn must_watch(&self) -> bool {
        let has = |is_wanted: fn(&TaskRole) -> bool| {
            self.running.iter().filter_map(|it| self.roles.get(&it.run)).any(is_wanted)
        };
        has(|it| matches!(it, TaskRole::Filler(_))) && has(|it| matches!(it, TaskRole::Serving(_)))
    }

    /// Returns what runs and serves, with its image; one that has just begun has no tail yet.
    fn serving(&self) -> Vec<(ServingReading, &CompactString)> {
        let reading = |it: &RunningTask| match self.roles.get(&it.run) {
            Some(TaskRole::Serving(role)) if 0 < it.load => {
                let headroom_percent = headroom_percent(it.load, role.target_ms);
                Some((ServingReading { run: it.run, headroom_percent }, &role.image))
            }
            _ => None,
        };
        self.running.iter().filter_map(reading).collect()
    }

    /// Returns the fillers, with what each costs the tasks that serve, and what is left of those
    /// that have just ended.
    fn fillers(&self, serving: &[&CompactString]) -> Vec<FillerReading> {
        let costs = |filler: &CompactString| -> Vec<f64> {
            serving.iter().map(|image| self.cost_percent(image, filler)).collect()
        };
        let running = self.running.iter().filter_map(|it| match self.roles.get(&it.run) {
            Some(TaskRole::Filler(role)) => Some(FillerReading {
                run: it.run,
                full_speed_cores: f64::from(role.cpu_millicores) / 1_000.0,
                used_cores: self.filler_usages.get(&it.run).map_or(0.0, |it| it.usage.cores),
                core_costs_percent: costs(&role.image),
            }),
            _ => None,
        });
        let ended = self.ended_fillers().map(|(run, it)| FillerReading {
            run,
            full_speed_cores: 0.0,
            used_cores: it.usage.cores,
            core_costs_percent: costs(&it.image),
        });
        running.chain(ended).collect()
    }

    /// Returns the fillers that have ended, and that tails still tell of.
    fn ended_fillers(&self) -> impl Iterator<Item = (RunRef, &ImageUsage)> {
        let has_ended = |run: RunRef| !self.running.iter().any(|it| it.run == run);
        self.filler_usages
            .iter()
            .map(|(run, it)| (*run, it))
            .filter(move |(run, _)| has_ended(*run))
    }

    /// Returns what such fillers used, by image.
    pub(super) fn faded(&self) -> Vec<FillerUse> {
        let mut cores: BTreeMap<&CompactString, f64> = BTreeMap::new();
        for (_, it) in self.ended_fillers() {
            *cores.entry(&it.image).or_default() += it.usage.cores;
        }
        let used = |(image, cores): (&CompactString, f64)| FillerUse {
            image: image.clone(),
            cpu_millicores: (cores * 1_000.0) as u32,
        };
        cores.into_iter().map(used).collect()
    }

    /// Begins to count what a filler uses that has just begun.
    pub(super) fn begin_usage(&mut self, run: RunRef, now: Now) {
        if let Some(TaskRole::Filler(role)) = self.roles.get(&run) {
            let (image, usage) = (role.image.clone(), CpuUsageWindow::starting_at(now.mono_ms));
            self.filler_usages.insert(run, ImageUsage { image, usage });
        }
    }

    /// Takes in what fillers were read to use.
    fn read_usages(&mut self, now: Now) {
        let mut usages = std::mem::take(&mut self.filler_usages);
        usages.values_mut().for_each(|it| it.usage.expire(now.mono_ms));
        for it in &self.running {
            let Some(TaskRole::Filler(role)) = self.roles.get(&it.run) else { continue };
            let told =
                f64::from(self.sent_speed_percents.get(&it.run).copied().unwrap_or(100)) / 100.0;
            let wanted_cores = f64::from(role.cpu_millicores) / 1_000.0 * told;
            let read_cores = f64::from(it.load) / 1_000.0;
            let first =
                || ImageUsage { image: role.image.clone(), usage: CpuUsageWindow::default() };
            let used = usages.entry(it.run).or_insert_with(first);
            used.usage.observe(read_cores, wanted_cores, now.mono_ms);
        }
        usages.retain(|_, it| it.usage.affects_tails());
        self.filler_usages = usages;
    }

    /// Decides anew how fast each filler may work.
    pub(super) fn throttle_fillers(&mut self, now: Now) {
        self.read_usages(now);
        self.update_speeds(|throttler, serving, fillers| {
            throttler.observe(serving, fillers, now.mono_ms)
        });
    }

    /// Decides how fast a filler may work that has just begun, from what was last read.
    pub(super) fn throttle_started_filler(&mut self, now: Now) {
        self.update_speeds(|throttler, serving, fillers| {
            throttler.reallocate(serving, fillers, now.mono_ms)
        });
    }

    fn update_speeds(
        &mut self,
        decide: impl FnOnce(&mut Throttler, &[ServingReading], &[FillerReading]),
    ) {
        let (readings, fillers) = {
            let serving = self.serving();
            let images: Vec<_> = serving.iter().map(|(_, image)| *image).collect();
            let fillers = self.fillers(&images);
            (serving.into_iter().map(|(it, _)| it).collect::<Vec<_>>(), fillers)
        };
        let sum = |throttler: &Throttler| {
            fillers.iter().map(|it| throttler.speed_percent(it.run)).sum::<u32>()
        };
        let before = sum(&self.throttler);
        decide(&mut self.throttler, &readings, &fillers);
        let after = sum(&self.throttler);
        if before != after {
            let least = readings.iter().map(|it| it.headroom_percent).fold(f64::MAX, f64::min);
            let count = fillers.len().max(1) as u32;
            tracing::info!(event = "fillers_throttled", worker = %self.name, mean_percent = after / count, from_percent = before / count, least_headroom_percent = least as u64, fillers = fillers.len(), serving = readings.len());
        }
    }

    /// Returns the fillers that were last told another pace than they may work at.
    pub(super) fn speeds_to_send(&self) -> Vec<(RunRef, u32)> {
        let is_filler =
            |it: &&RunningTask| matches!(self.roles.get(&it.run), Some(TaskRole::Filler(_)));
        let is_told = |run: RunRef, percent: u32| {
            self.sent_speed_percents.get(&run).copied().unwrap_or(100) == percent
                || self.throttle_calls.values().any(|(it, _)| *it == run)
        };
        let fillers = self.running.iter().filter(is_filler);
        let paces = fillers.map(|it| (it.run, self.throttler.speed_percent(it.run)));
        paces.filter(|(run, percent)| !is_told(*run, *percent)).collect()
    }

    fn cost_percent(&self, serving: &CompactString, filler: &CompactString) -> f64 {
        let known = self.costs.get(&(serving.clone(), filler.clone()));
        let core = reference_cores(1_000, self.announcement.capacity.cpu_millicores);
        known.copied().unwrap_or(UNKNOWN_COST_PERCENT * core)
    }
}
