//! A seeded schedule of faults, in series that overlap.

use std::time::{Duration, Instant};

use crate::{
    proxy::Mode,
    site::{Role, Site},
};

/// Pause between two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 150..1_200;

/// Time that a fault lasts: from a hiccup to longer than a lease.
const LASTS_MS: std::ops::Range<u64> = 100..6_500;

/// Most that the time of day of a process is ahead, in milliseconds: it jumps both ways.
const HOUR_MS: u32 = 3_600_000;

/// What ends a fault.
#[derive(Clone, Copy, Debug)]
enum Repair {
    Thaw(usize),
    Pass(usize),
    Punctual,
    TakeWrites(usize),
}

/// The faults of one play.
pub struct Schedule {
    random: fastrand::Rng,
    repairs: Vec<(Instant, Repair)>,
    count: u32,
}

impl Schedule {
    pub fn new(seed: u64) -> Schedule {
        Schedule { random: fastrand::Rng::with_seed(seed), repairs: Vec::new(), count: 0 }
    }

    pub fn count(&self) -> u32 {
        self.count
    }

    /// Does harm for some time; callers and workers go on meanwhile.
    pub fn play(&mut self, site: &mut Site, time: Duration) {
        let ends = Instant::now() + time;
        let mut next = Instant::now();
        while Instant::now() < ends {
            std::thread::sleep(Duration::from_millis(10));
            self.repair(site);
            site.restart_ended();
            if next <= Instant::now() {
                self.harm(site);
                next = Instant::now() + Duration::from_millis(self.random.u64(PAUSE_MS));
            }
        }
    }

    fn repair(&mut self, site: &mut Site) {
        let now = Instant::now();
        for (_, it) in self.repairs.extract_if(.., |(at, _)| *at <= now) {
            match it {
                Repair::Thaw(at) => site.thaw(at),
                Repair::Pass(at) => site.processes[at].proxy.set(Mode::Pass),
                Repair::TakeWrites(at) => site.set_refuses_writes(at, false),
                Repair::Punctual => site.workers.set_late_percent(0),
            }
        }
    }

    fn lasts(&mut self, repair: Repair) {
        let lasts = Duration::from_millis(self.random.u64(LASTS_MS));
        self.repairs.push((Instant::now() + lasts, repair));
    }

    fn any(&mut self, site: &Site, role: Option<Role>) -> usize {
        let of = |it| site.of(it);
        let all = role.map_or_else(|| (0..site.processes.len()).collect(), of);
        all[self.random.usize(0..all.len())]
    }

    fn harm(&mut self, site: &mut Site) {
        self.count += 1;
        match self.random.u32(0..20) {
            0 => {
                let at = self.any(site, None);
                site.kill(at);
            }
            1 => {
                let at = self.any(site, Some(Role::Control));
                site.kill(at);
            }
            2 | 3 => {
                let at = self.any(site, Some(Role::Node));
                site.freeze(at);
                self.lasts(Repair::Thaw(at));
            }
            4 => {
                let at = self.any(site, None);
                site.freeze(at);
                self.lasts(Repair::Thaw(at));
            }
            5 => {
                let at = self.any(site, Some(Role::Entry));
                site.stop(at);
            }
            6 => {
                let at = self.any(site, None);
                site.stop(at);
            }
            7 | 8 => self.set(site, Mode::Cut),
            9 => self.set(site, Mode::Deaf),
            10 => {
                let delay = Duration::from_millis(self.random.u64(5..300));
                self.set(site, Mode::Delay(delay));
            }
            11 => {
                let at = self.any(site, None);
                site.processes[at].proxy.reset();
            }
            12 => {
                let at = self.any(site, None);
                site.processes[at].proxy.silence();
            }
            13 => {
                let vm = self.random.usize(0..site.of(Role::Node).len());
                let down = Duration::from_millis(self.random.u64(500..4_000));
                site.workers.crash(vm, down);
            }
            14 => {
                site.workers.set_late_percent(30);
                self.lasts(Repair::Punctual);
            }
            15 | 16 => {
                let at = self.any(site, Some(Role::Control));
                site.set_refuses_writes(at, true);
                self.lasts(Repair::TakeWrites(at));
            }
            17 | 18 => {
                let at = self.any(site, None);
                let ahead_ms = self.random.u32(0..HOUR_MS);
                site.set_clock_ahead(at, ahead_ms);
            }
            _ if self.random.u32(0..4) == 0 => {
                for at in site.of(Role::Control) {
                    site.kill(at);
                }
            }
            _ => site.processes.iter().for_each(|it| it.proxy.reset()),
        }
    }

    fn set(&mut self, site: &Site, mode: Mode) {
        let at = self.any(site, None);
        site.processes[at].proxy.set(mode);
        self.lasts(Repair::Pass(at));
    }
}
