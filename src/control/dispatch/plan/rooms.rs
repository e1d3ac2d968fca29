//! What is left on each worker while a plan is made.

use std::collections::HashMap;

use crate::{
    control::{
        dispatch::sessions::Usable,
        state::{Workflows, add, fits, reserve_of, subtract},
    },
    policy::{
        harm::{Filler, Harm, LoadGroup},
        pacing::NEGLIGIBLE_PERCENT,
    },
    prelude::*,
};

/// Share of its reservation that a task which serves is taken to use, in percent: the mean load
/// that tails told on the users' VMs. Serving tasks reserve for their peaks; what fillers find
/// missing shows in their speed, not in harm.
const SERVING_USE_PERCENT: u32 = 45;

/// Headroom, in percent, down to which fillers may be placed beside a serving task. It lies far
/// above what the pacer keeps: loads change over seconds and a filler stays for some, so what is
/// placed closer is soon halted and holds up its workflow.
///
/// Over 24 played days, 120 and a speed of 0.5 left 753 of 5,661 two-second slots of services
/// unserved and 998 of 1,811 batch workflows in time; 160 and 0.9 left 579 and 1,052, with the
/// costs of alike images.
const HEADROOM_MIN_PERCENT: f64 = 160.0;

/// Share of its speed below which a filler is rather kept waiting, since it would hold up the
/// rest of its step where it is, and harm what serves there meanwhile.
const SPEED_MIN: f64 = 0.9;

/// Headroom that fillers may take of a serving task placed by the same plan: what one at half load
/// leaves above the least.
const UNSEEN_ROOM_PERCENT: f64 = 120.0;

/// An image that serves on a worker.
#[derive(Debug)]
struct Served {
    image: CompactString,
    /// Headroom that fillers may still take, by the task that has least.
    room_percent: f64,
    millicores: u32,
}

impl Served {
    /// Returns what a filler takes from its headroom at full speed.
    fn taken_by(&self, filler: &WorkflowStep, harm: &Harm) -> f64 {
        harm.cost_percent(&self.image, &filler.image) * cores(filler)
    }
}

/// What is left on one worker.
pub(super) struct Room<'a> {
    pub usable: Usable<'a>,
    free: Resources,
    fillers: Vec<Filler>,
    filler_millicores: u32,
    served: Vec<Served>,
}

impl<'a> Room<'a> {
    pub(super) fn new(workflows: &Workflows, usable: Usable<'a>, harm: &Harm) -> Room<'a> {
        let mut res = Room {
            usable,
            free: subtract(usable.worker.capacity, usable.worker.used),
            fillers: Vec::new(),
            filler_millicores: 0,
            served: Vec::new(),
        };
        let steps = || {
            let runs = usable.worker.runs.iter();
            runs.filter_map(|run| Some((run.task, workflows.step_of(run.task)?)))
        };
        for (task, step) in steps().filter(|(_, it)| is_serving(it)) {
            res.add_served(step, harm.rest_percent(LoadGroup::of(task)) - HEADROOM_MIN_PERCENT);
        }
        for (_, step) in steps().filter(|(_, it)| it.filler) {
            res.add_filler(step, harm);
        }
        res
    }

    fn add_served(&mut self, step: &WorkflowStep, room_percent: f64) {
        let millicores = step.need.cpu_millicores;
        match self.served.iter_mut().find(|it| it.image == step.image) {
            Some(it) => {
                it.room_percent = it.room_percent.min(room_percent);
                it.millicores += millicores;
            }
            None => {
                let image = step.image.clone();
                self.served.push(Served { image, room_percent, millicores });
            }
        }
    }

    fn add_filler(&mut self, step: &WorkflowStep, harm: &Harm) {
        let cores = cores(step);
        self.filler_millicores += step.need.cpu_millicores;
        self.fillers.push(Filler { image: step.image.clone(), cores });
        for it in &mut self.served {
            it.room_percent -= it.taken_by(step, harm);
        }
    }

    /// Returns the processor that neither reservations nor fillers have taken.
    fn idle_millicores(&self) -> u32 {
        self.free.cpu_millicores.saturating_sub(self.filler_millicores)
    }

    /// Returns the processor that a further filler would find unused.
    fn unused_millicores(&self) -> u32 {
        let serving: u32 = self.served.iter().map(|it| it.millicores).sum();
        let unused = self.free.cpu_millicores + serving / 100 * (100 - SERVING_USE_PERCENT);
        unused.saturating_sub(self.filler_millicores)
    }

    /// Returns the share of its speed that a further filler would reach.
    pub(super) fn speed_of(&self, step: &WorkflowStep, harm: &Harm) -> f64 {
        let processor =
            f64::from(self.unused_millicores()) / f64::from(step.need.cpu_millicores.max(1));
        let pace = |it: &Served| match it.taken_by(step, harm) {
            cost if cost <= NEGLIGIBLE_PERCENT => 1.0,
            cost => it.room_percent / cost,
        };
        self.served.iter().map(pace).fold(processor, f64::min).clamp(0.0, 1.0)
    }

    /// Returns what a further filler would take from all images that serve here.
    fn cost_of(&self, step: &WorkflowStep, harm: &Harm) -> f64 {
        let cost = |it: &Served| it.taken_by(step, harm);
        self.served.iter().map(cost).sum()
    }

    fn holds(&self, step: &WorkflowStep, queue: &Queue, placed: u32) -> bool {
        let worker = self.usable.worker;
        worker.service == queue.service
            && (step.per_worker_max == 0 || placed < step.per_worker_max)
            && (step.required_label.is_empty() || step.required_label == worker.kind)
            && fits(reserve_of(step), self.free)
    }

    fn preference(&self, step: &WorkflowStep, harm: &Harm) -> Preference {
        let is_near = !step.data_rack.is_empty() && self.usable.worker.rack == step.data_rack;
        let serving: u32 = self.served.iter().map(|it| it.millicores).sum();
        let packed = i64::from(serving) - i64::from(self.idle_millicores());
        let rank = match (step.filler, is_serving(step)) {
            // Where it is fast, then where it costs least, then where most is unused.
            (true, _) => [
                (self.speed_of(step, harm) * 10.0) as i64,
                -(self.cost_of(step, harm) / NEGLIGIBLE_PERCENT) as i64,
                i64::from(self.unused_millicores()),
            ],
            // Images keep to few workers each, so that a filler that harms one finds others.
            (_, true) => {
                let own = self.served.iter().find(|it| it.image == step.image);
                let taken = harm.taken_percent(&step.image, &self.fillers);
                let own_millicores = own.map_or(0, |it| i64::from(it.millicores));
                let is_empty = i64::from(self.served.is_empty());
                [-(taken / (5.0 * NEGLIGIBLE_PERCENT)) as i64, own_millicores + is_empty, packed]
            }
            // What only reserves is packed, so that some workers are left to fillers.
            _ => [packed, 0, 0],
        };
        Preference { is_near, rank }
    }

    pub(super) fn take(&mut self, step: &WorkflowStep, harm: &Harm) {
        self.free = subtract(self.free, reserve_of(step));
        match step.filler {
            true => self.add_filler(step, harm),
            false if is_serving(step) => {
                let taken = harm.taken_percent(&step.image, &self.fillers);
                self.add_served(step, UNSEEN_ROOM_PERCENT - taken);
            }
            false => (),
        }
    }

    pub(super) fn give_back(&mut self, step: &WorkflowStep, harm: &Harm) {
        self.free = add(self.free, reserve_of(step));
        if step.filler {
            self.filler_millicores -= step.need.cpu_millicores;
            if let Some(at) = self.fillers.iter().position(|it| it.image == step.image) {
                self.fillers.remove(at);
            }
            for it in &mut self.served {
                it.room_percent += it.taken_by(step, harm);
            }
        }
    }
}

/// How much a worker is wanted for a task; the largest is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Preference {
    is_near: bool,
    rank: [i64; 3],
}

/// Whether a filler may be placed where it is slow or harms tails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Care {
    KeepTails,
    Anywhere,
}

/// Returns the best worker for one task of a step.
pub(super) fn choose<'a, 'b>(
    step: &WorkflowStep,
    queue: &Queue,
    counts: &HashMap<WorkerId, u32>,
    rooms: &'a mut [Room<'b>],
    harm: &Harm,
    care: Care,
) -> Option<&'a mut Room<'b>> {
    let is_fit = |it: &&mut Room<'_>| {
        let placed = counts.get(&it.usable.id).copied().unwrap_or(0);
        it.holds(step, queue, placed)
            && (!step.filler || care == Care::Anywhere || SPEED_MIN <= it.speed_of(step, harm))
    };
    rooms.iter_mut().filter(is_fit).max_by_key(|it| it.preference(step, harm))
}

fn is_serving(step: &WorkflowStep) -> bool {
    0 < step.tail_target_ms && !step.filler
}

fn cores(step: &WorkflowStep) -> f64 {
    f64::from(step.need.cpu_millicores) / 1_000.0
}
