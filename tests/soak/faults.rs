//! A seeded schedule of overlapping faults.

use std::time::{Duration, Instant};

use crate::{
    proxy::Mode,
    site::{Role, Site},
};

/// Pause between two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 150..1_200;

/// Duration of a fault, from a short interruption to longer than a lease, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 100..6_500;

/// Upper bound of how far the wall clock of a process is ahead; each new value may be lower, so the
/// clock jumps both ways.
const CLOCK_AHEAD_MAX_MS: u32 = 3_600_000;

/// An action that ends a fault.
#[derive(Clone, Copy, Debug)]
enum Repair {
    Thaw(usize),
    Unblock(usize),
    AnswerOrders,
    AcceptWrites(usize),
}

/// Pause between two processes of a series, in milliseconds.
const SERIES_PAUSE_MS: std::ops::Range<u64> = 50..900;

/// A signal that a series sends to one process after the other.
#[derive(Clone, Copy, Debug)]
enum SeriesSignal {
    Stop,
    Reload,
}

/// The faults of one run.
pub struct Schedule {
    random: fastrand::Rng,
    repairs: Vec<(Instant, Repair)>,
    /// Signals of series under way, which overlap with each other and with other faults.
    series: Vec<(Instant, SeriesSignal, usize)>,
    count: u32,
}

impl Schedule {
    pub fn new(seed: u64) -> Schedule {
        Schedule {
            random: fastrand::Rng::with_seed(seed),
            repairs: Vec::new(),
            series: Vec::new(),
            count: 0,
        }
    }

    pub fn count(&self) -> u32 {
        self.count
    }

    /// Injects faults for `time` while callers and workers go on.
    pub fn run(&mut self, site: &mut Site, time: Duration) {
        let end = Instant::now() + time;
        let mut next = Instant::now();
        while Instant::now() < end {
            std::thread::sleep(Duration::from_millis(10));
            self.repair(site);
            self.continue_series(site);
            site.restart_ended();
            if next <= Instant::now() {
                self.inject_fault(site);
                next = Instant::now() + Duration::from_millis(self.random.u64(PAUSE_MS));
            }
        }
    }

    fn repair(&mut self, site: &mut Site) {
        let now = Instant::now();
        for (_, it) in self.repairs.extract_if(.., |(due, _)| *due <= now) {
            match it {
                Repair::Thaw(index) => site.thaw(index),
                Repair::Unblock(index) => site.processes[index].proxy.set_mode(Mode::Forward),
                Repair::AcceptWrites(index) => site.set_refuses_writes(index, false),
                Repair::AnswerOrders => site.workers.set_late_percent(0),
            }
        }
    }

    /// Begins to send a signal to all processes of a role, one after the other.
    fn begin_series(&mut self, site: &Site, signal: SeriesSignal, role: Role) {
        let mut at = Instant::now();
        for index in site.indexes_of(role) {
            self.series.push((at, signal, index));
            at += Duration::from_millis(self.random.u64(SERIES_PAUSE_MS));
        }
    }

    fn continue_series(&mut self, site: &mut Site) {
        let now = Instant::now();
        for (_, signal, index) in self.series.extract_if(.., |(due, ..)| *due <= now) {
            match signal {
                SeriesSignal::Stop => site.stop(index),
                SeriesSignal::Reload => site.reload(index),
            }
        }
    }

    fn schedule_repair(&mut self, repair: Repair) {
        let duration = Duration::from_millis(self.random.u64(FAULT_MS));
        self.repairs.push((Instant::now() + duration, repair));
    }

    fn random_process(&mut self, site: &Site, role: Option<Role>) -> usize {
        let indexes_of = |it| site.indexes_of(it);
        let all = role.map_or_else(|| (0..site.processes.len()).collect(), indexes_of);
        all[self.random.usize(0..all.len())]
    }

    fn inject_fault(&mut self, site: &mut Site) {
        self.count += 1;
        match self.random.u32(0..24) {
            0 => {
                let index = self.random_process(site, None);
                site.kill(index);
            }
            1 => {
                let index = self.random_process(site, Some(Role::Control));
                site.kill(index);
            }
            2 | 3 => {
                let index = self.random_process(site, Some(Role::Node));
                site.freeze(index);
                self.schedule_repair(Repair::Thaw(index));
            }
            4 => {
                let index = self.random_process(site, None);
                site.freeze(index);
                self.schedule_repair(Repair::Thaw(index));
            }
            5 => {
                let index = self.random_process(site, Some(Role::Entry));
                site.stop(index);
            }
            6 => {
                let index = self.random_process(site, None);
                site.stop(index);
            }
            7 | 8 => self.set_proxy_mode(site, Mode::Block),
            9 => self.set_proxy_mode(site, Mode::BlockInbound),
            10 => {
                let delay = Duration::from_millis(self.random.u64(5..300));
                self.set_proxy_mode(site, Mode::Delay(delay));
            }
            11 => {
                let index = self.random_process(site, None);
                site.processes[index].proxy.reset();
            }
            12 => {
                let index = self.random_process(site, None);
                site.processes[index].proxy.silence();
            }
            13 => {
                let vm = self.random.usize(0..site.indexes_of(Role::Node).len());
                let down = Duration::from_millis(self.random.u64(500..4_000));
                site.workers.crash(vm, down);
            }
            14 => {
                site.workers.set_late_percent(30);
                self.schedule_repair(Repair::AnswerOrders);
            }
            15 | 16 => {
                let index = self.random_process(site, Some(Role::Control));
                site.set_refuses_writes(index, true);
                self.schedule_repair(Repair::AcceptWrites(index));
            }
            17 | 18 => {
                let index = self.random_process(site, None);
                let ahead_ms = self.random.u32(0..CLOCK_AHEAD_MAX_MS);
                site.set_clock_ahead(index, ahead_ms);
            }
            19 | 20 => {
                let role = [Role::Control, Role::Entry, Role::Node][self.random.usize(0..3)];
                self.begin_series(site, SeriesSignal::Stop, role);
            }
            21 | 22 => {
                let role = [Role::Control, Role::Entry, Role::Node][self.random.usize(0..3)];
                self.begin_series(site, SeriesSignal::Reload, role);
            }
            _ if self.random.u32(0..4) == 0 => {
                for index in site.indexes_of(Role::Control) {
                    site.kill(index);
                }
            }
            _ => site.processes.iter().for_each(|it| it.proxy.reset()),
        }
    }

    fn set_proxy_mode(&mut self, site: &Site, mode: Mode) {
        let index = self.random_process(site, None);
        site.processes[index].proxy.set_mode(mode);
        self.schedule_repair(Repair::Unblock(index));
    }
}
