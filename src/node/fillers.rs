//! The fillers on a worker: what they use, and how fast each may work.

use crate::{
    node::worker::Lifetime,
    policy::{
        harm::{UNKNOWN_PERCENT, headroom_percent},
        pacing::{FillerReading, Pacer, ServingReading},
    },
    prelude::*,
};

impl Lifetime {
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

    /// Returns the fillers, with what each costs the tasks that serve.
    fn fillers(&self, serving: &[&CompactString]) -> Vec<FillerReading> {
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
}
