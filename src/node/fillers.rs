//! CPU usage and speeds of the best-effort tasks (fillers) on a worker.

use std::collections::BTreeMap;

use crate::{
    node::{
        speeds::SpeedCall,
        target_misses::FillerActivity,
        worker::{ImageUsage, WorkerIncarnation},
    },
    policy::{
        contention::{UNKNOWN_COST_PERCENT, headroom_percent, reference_cores},
        throttling::{CpuUsageWindow, FillerReading, ServingReading, Throttler},
    },
    prelude::*,
};

/// Time for which the last tail of a serving task stands for missing ones.
const TAIL_RETENTION_MS: u64 = 2_000;

/// The newest tail latency of a serving task.
#[derive(Clone, Copy, Debug)]
pub(super) struct TailReading {
    tail_ms: u32,
    read_ms: u64,
}

impl WorkerIncarnation {
    /// Returns whether fillers run beside serving tasks, so that tail latency must be watched.
    pub(super) fn has_fillers_beside_serving(&self) -> bool {
        let runs_any = |matches_role: fn(&TaskRole) -> bool| {
            self.running.iter().filter_map(|it| self.roles.get(&it.run)).any(matches_role)
        };
        runs_any(|it| matches!(it, TaskRole::Filler(_)))
            && runs_any(|it| matches!(it, TaskRole::Serving(_)))
    }

    /// Returns the running serving tasks with their images. A task that has just started has no
    /// latency reading yet, and is left out.
    fn serving(&self) -> Vec<(ServingReading, &CompactString)> {
        let reading = |it: &RunningTask| match self.roles.get(&it.run) {
            Some(TaskRole::Serving(role)) => {
                let tail_ms = self.tails.get(&it.run)?.tail_ms;
                let headroom_percent = headroom_percent(tail_ms, role.target_ms);
                Some((ServingReading { run: it.run, headroom_percent }, &role.image))
            }
            _ => None,
        };
        self.running.iter().filter_map(reading).collect()
    }

    /// Records the tails in the newest list. A tail that is missing there stands for a while.
    fn observe_tails(&mut self, now: Now) {
        self.tails.retain(|_, it| now.mono_ms < it.read_ms + TAIL_RETENTION_MS);
        for task in self.running.iter().filter(|it| 0 < it.load) {
            if let Some(TaskRole::Serving(_)) = self.roles.get(&task.run) {
                let reading = TailReading { tail_ms: task.load, read_ms: now.mono_ms };
                self.tails.insert(task.run, reading);
            }
        }
    }

    /// Returns the fillers, with the headroom that each costs the serving tasks. Fillers that have
    /// just ended are included for as long as their usage affects tail latency.
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

    /// Returns the ended fillers whose usage still affects the latency readings.
    fn ended_fillers(&self) -> impl Iterator<Item = (RunRef, &ImageUsage)> {
        let has_ended = |run: RunRef| !self.running.iter().any(|it| it.run == run);
        self.filler_usages
            .iter()
            .map(|(run, it)| (*run, it))
            .filter(move |(run, _)| has_ended(*run))
    }

    /// Returns the CPU usage of such ended fillers, by image.
    pub(super) fn ended_filler_uses(&self) -> Vec<FillerUse> {
        let mut cores: BTreeMap<&CompactString, f64> = BTreeMap::new();
        for (_, it) in self.ended_fillers() {
            *cores.entry(&it.image).or_default() += it.usage.cores;
        }
        let filler_use = |(image, cores): (&CompactString, f64)| FillerUse {
            image: image.clone(),
            cpu_millicores: (cores * 1_000.0) as u32,
        };
        cores.into_iter().map(filler_use).collect()
    }

    /// Starts the usage window of a run if it is a filler.
    pub(super) fn begin_usage(&mut self, run: RunRef, now: Now) {
        if let Some(TaskRole::Filler(role)) = self.roles.get(&run) {
            let (image, usage) = (role.image.clone(), CpuUsageWindow::starting_at(now.mono_ms));
            self.filler_usages.insert(run, ImageUsage { image, usage });
        }
    }

    /// Updates the usage windows from the CPU readings of the fillers.
    fn observe_usages(&mut self, now: Now) {
        let mut usages = std::mem::take(&mut self.filler_usages);
        usages.values_mut().for_each(|it| it.usage.expire(now.mono_ms));
        for task in &self.running {
            let Some(TaskRole::Filler(role)) = self.roles.get(&task.run) else { continue };
            let sent_speed = f64::from(self.speeds.newest_percent(task.run)) / 100.0;
            let allowed_cores = f64::from(role.cpu_millicores) / 1_000.0 * sent_speed;
            let read_cores = f64::from(task.load) / 1_000.0;
            let new_usage =
                || ImageUsage { image: role.image.clone(), usage: CpuUsageWindow::default() };
            let image_usage = usages.entry(task.run).or_insert_with(new_usage);
            image_usage.usage.observe(read_cores, allowed_cores, now.mono_ms);
        }
        usages.retain(|_, it| it.usage.affects_tails());
        self.filler_usages = usages;
    }

    /// Recomputes the speeds of all fillers after new readings.
    pub(super) fn throttle_fillers(&mut self, now: Now) {
        self.observe_tails(now);
        self.observe_usages(now);
        self.observe_target_misses(now);
        self.update_speeds(|throttler, serving, fillers| {
            throttler.observe(serving, fillers, now.mono_ms)
        });
    }

    fn observe_target_misses(&mut self, now: Now) {
        let serving: Vec<_> = self.serving().into_iter().map(|(it, _)| it).collect();
        let percents = self.running_fillers().map(|run| self.speeds.newest_percent(run));
        let activity = FillerActivity {
            cores: self.running.iter().map(|it| self.filler_cores(it)).sum(),
            speed_max_percent: percents.max().unwrap_or(0),
            doubtful_speeds: self.speeds.doubtful(self.running_fillers()),
        };
        let (worker, harm_max_ms) = (&self.name, self.harm_max_ms);
        self.target_misses.observe(worker, &serving, activity, harm_max_ms, now.mono_ms);
    }

    /// Returns the cores that a task uses by its last reading, if it is a filler.
    fn filler_cores(&self, task: &RunningTask) -> f64 {
        match self.roles.get(&task.run) {
            Some(TaskRole::Filler(_)) => f64::from(task.load) / 1_000.0,
            _ => 0.0,
        }
    }

    /// Recomputes the speeds after the start of a filler, from the latest readings.
    pub(super) fn throttle_started_filler(&mut self) {
        self.update_speeds(|throttler, serving, fillers| throttler.reallocate(serving, fillers));
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
        let speed_sum = |throttler: &Throttler| {
            fillers.iter().map(|it| throttler.speed_percent(it.run)).sum::<u32>()
        };
        let sum_before = speed_sum(&self.throttler);
        decide(&mut self.throttler, &readings, &fillers);
        let sum_after = speed_sum(&self.throttler);
        if sum_before != sum_after {
            let least_headroom =
                readings.iter().map(|it| it.headroom_percent).fold(f64::MAX, f64::min);
            let count = fillers.len().max(1) as u32;
            tracing::info!(event = "fillers_throttled", worker = %self.name, mean_percent = sum_after / count, from_percent = sum_before / count, least_headroom_percent = least_headroom as u64, fillers = fillers.len(), serving = readings.len());
        }
    }

    /// Returns the speeds that are to be sent now.
    pub(super) fn speeds_to_send(&self, retry_ms: u64, now: Now) -> Vec<SpeedCall> {
        let wanted = |run| SpeedCall { run, percent: self.throttler.speed_percent(run) };
        let all = self.running_fillers().map(wanted);
        all.filter(|it| self.speeds.is_due(*it, retry_ms, now)).collect()
    }

    /// Returns when a speed is due that needs no new reading, if any.
    pub(super) fn next_speed_ms(&self, retry_ms: u64) -> Option<u64> {
        self.running_fillers().filter_map(|run| self.speeds.retry_at_ms(run, retry_ms)).min()
    }

    fn running_fillers(&self) -> impl Iterator<Item = RunRef> {
        let is_filler = |run: &RunRef| matches!(self.roles.get(run), Some(TaskRole::Filler(_)));
        self.running.iter().map(|it| it.run).filter(is_filler)
    }

    fn cost_percent(&self, serving: &CompactString, filler: &CompactString) -> f64 {
        let known = self.costs.get(&(serving.clone(), filler.clone()));
        let reference_share = reference_cores(1_000, self.announcement.capacity.cpu_millicores);
        known.copied().unwrap_or(UNKNOWN_COST_PERCENT * reference_share)
    }
}
