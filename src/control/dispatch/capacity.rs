//! What is left on each worker, kept from plan to plan.
//!
//! A room is made anew only for a worker whose runs have changed. What serves there and what
//! fillers take from it is read again at a pace of its own, since reports bring it each half
//! second at most: on 240 workers a plan that made all rooms anew took most of the leader's time.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    control::{
        dispatch::{
            run_monitor::RunKind,
            sessions::{Sessions, UsabilityCriteria},
        },
        state::{Worker, Workflows, add, fits, reservation_of, subtract},
    },
    policy::{
        contention::{
            ContentionModel, FillerLoad, MEAN_CPU_USE_SHARE, images::ImageKey, reference_cores,
        },
        throttling::NEGLIGIBLE_COST_PERCENT,
    },
    prelude::*,
};

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

/// Headroom that a serving task placed by the same plan is taken to have: what one at half load
/// leaves.
const UNSEEN_REST_PERCENT: f64 = 280.0;

/// Interval at which loads and costs are read anew into all rooms: a fifth of that at which a
/// worker reports.
const READ_INTERVAL_MS: u64 = 100;

/// What a task needs, with its image by key.
#[derive(Clone, Copy)]
pub(super) struct TaskDemand<'a> {
    pub step: &'a WorkflowStep,
    pub queue: &'a Queue,
    pub work: RunKind,
    pub reserve: Resources,
}

impl<'a> TaskDemand<'a> {
    pub(super) fn new(
        step: &'a WorkflowStep,
        queue: &'a Queue,
        harm: &mut ContentionModel,
    ) -> TaskDemand<'a> {
        TaskDemand { step, queue, work: RunKind::of(step, harm), reserve: reservation_of(step) }
    }
}

/// An image that serves on a worker.
#[derive(Clone, Debug, PartialEq)]
struct Served {
    image: ImageKey,
    /// Loads that its tasks share, by the step that they are of.
    groups: Vec<StepRef>,
    /// Headroom with no filler beside it, of the load that leaves least.
    rest_percent: f64,
    /// What the fillers here take from it at full speed.
    taken_percent: f64,
    /// What its tasks reserve for their peaks, and the share of it that they use now. By a share
    /// of 45 % at any time, 60 days of seven deployments earned 0.027 less (+-0.011).
    millicores: u32,
    use_share: f64,
}

impl Served {
    /// Returns the headroom that further fillers may take.
    fn room_percent(&self) -> f64 {
        self.rest_percent - HEADROOM_MIN_PERCENT - self.taken_percent
    }

    fn read(&mut self, fillers: &[FillerLoad], harm: &ContentionModel) {
        let rests = self.groups.iter().map(|it| harm.rest_percent(self.image, *it));
        self.rest_percent = rests.fold(f64::MAX, f64::min);
        self.taken_percent = harm.taken_percent(self.image, fillers);
        let uses = self.groups.iter().map(|it| harm.use_share(self.image, *it));
        self.use_share = uses.reduce(f64::max).unwrap_or(MEAN_CPU_USE_SHARE);
    }
}

/// What is left on one worker.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct FreeCapacity {
    pub id: WorkerId,
    service: CompactString,
    kind: CompactString,
    rack: CompactString,
    free: Resources,
    capacity_millicores: u32,
    /// One for each image: together, what its runs use at full speed.
    fillers: Vec<FillerLoad>,
    filler_millicores: u32,
    served: Vec<Served>,
}

impl FreeCapacity {
    pub(super) fn new(
        workflows: &Workflows,
        id: WorkerId,
        worker: &Worker,
        harm: &mut ContentionModel,
    ) -> FreeCapacity {
        let mut res = FreeCapacity {
            id,
            service: worker.service.clone(),
            kind: worker.kind.clone(),
            rack: worker.rack.clone(),
            free: subtract(worker.capacity, worker.used),
            capacity_millicores: worker.capacity.cpu_millicores,
            fillers: Vec::new(),
            filler_millicores: worker.filler_millicores,
            served: Vec::new(),
        };
        for run in &worker.runs {
            let Some(step) = workflows.step_of(run.task) else { continue };
            match RunKind::of(step, harm) {
                RunKind::Serving { image, .. } => {
                    let served = res.served_of(image);
                    served.millicores += step.need.cpu_millicores;
                    let group = StepRef::of(run.task);
                    if !served.groups.contains(&group) {
                        served.groups.push(group);
                    }
                }
                RunKind::Filler { image, millicores } => {
                    res.note_filler(image, res.cores(millicores))
                }
                RunKind::Plain => (),
            }
        }
        res.read(harm);
        res
    }

    /// Returns processor as costs count it.
    fn cores(&self, millicores: u32) -> f64 {
        reference_cores(millicores, self.capacity_millicores)
    }

    /// Reads loads and costs anew.
    fn read(&mut self, harm: &ContentionModel) {
        for it in &mut self.served {
            it.read(&self.fillers, harm);
        }
    }

    fn served_of(&mut self, image: ImageKey) -> &mut Served {
        let found = self.served.iter().position(|it| it.image == image);
        let at = found.unwrap_or_else(|| {
            self.served.push(Served {
                image,
                groups: Vec::new(),
                rest_percent: f64::MAX,
                taken_percent: 0.0,
                millicores: 0,
                use_share: MEAN_CPU_USE_SHARE,
            });
            self.served.len() - 1
        });
        &mut self.served[at]
    }

    /// Notes processor that fillers of an image use beside what is here; negative for less.
    fn note_filler(&mut self, image: ImageKey, cores: f64) {
        match self.fillers.iter_mut().find(|it| it.image == image) {
            Some(it) => it.cores += cores,
            None => self.fillers.push(FillerLoad { image, cores }),
        }
    }

    /// Returns the processor that neither reservations nor fillers have taken.
    fn idle_millicores(&self) -> u32 {
        self.free.cpu_millicores.saturating_sub(self.filler_millicores)
    }

    /// Returns the processor that a further filler would find unused.
    fn unused_millicores(&self) -> u32 {
        let unused = |it: &Served| f64::from(it.millicores) * (1.0 - it.use_share);
        let unused = self.served.iter().map(unused).sum::<f64>() as u32;
        (self.free.cpu_millicores + unused).saturating_sub(self.filler_millicores)
    }

    /// Returns the share of its speed that a further filler would reach.
    pub(super) fn speed_of(&self, image: ImageKey, millicores: u32, harm: &ContentionModel) -> f64 {
        let processor = f64::from(self.unused_millicores()) / f64::from(millicores.max(1));
        let pace = |it: &Served| match harm.cost_percent(it.image, image) * self.cores(millicores) {
            cost if cost <= NEGLIGIBLE_COST_PERCENT => 1.0,
            cost => it.room_percent() / cost,
        };
        self.served.iter().map(pace).fold(processor, f64::min).clamp(0.0, 1.0)
    }

    /// Returns what a further filler would take from all images that serve here.
    fn cost_of(&self, image: ImageKey, millicores: u32, harm: &ContentionModel) -> f64 {
        let costs = self.served.iter().map(|it| harm.cost_percent(it.image, image));
        costs.sum::<f64>() * self.cores(millicores)
    }

    fn holds(&self, asked: &TaskDemand<'_>, placed: u32) -> bool {
        let step = asked.step;
        fits(asked.reserve, self.free)
            && (step.per_worker_max == 0 || placed < step.per_worker_max)
            && (step.required_label.is_empty() || step.required_label == self.kind)
            && self.service == asked.queue.service
    }

    /// Returns how much the worker is wanted for a task, or nothing if it cannot take it.
    pub(super) fn offer(
        &self,
        asked: &TaskDemand<'_>,
        placed: u32,
        care: PlacementMode,
        harm: &ContentionModel,
    ) -> Option<Preference> {
        if !self.holds(asked, placed) {
            return None;
        }
        let step = asked.step;
        let serving: u32 = self.served.iter().map(|it| it.millicores).sum();
        let packed = i64::from(serving) - i64::from(self.idle_millicores());
        let rank = match asked.work {
            // Where it is fast, then where it costs least, then where most is unused.
            RunKind::Filler { image, millicores } => {
                let speed = self.speed_of(image, millicores, harm);
                if care == PlacementMode::ProtectLatency && speed < SPEED_MIN {
                    return None;
                }
                [
                    (speed * 10.0) as i64,
                    -(self.cost_of(image, millicores, harm) / NEGLIGIBLE_COST_PERCENT) as i64,
                    i64::from(self.unused_millicores()),
                ]
            }
            // Images keep to few workers each, so that a filler that harms one finds others.
            RunKind::Serving { image, .. } => {
                let own = self.served.iter().find(|it| it.image == image);
                let taken = harm.taken_percent(image, &self.fillers);
                let own_millicores = own.map_or(0, |it| i64::from(it.millicores));
                let is_empty = i64::from(self.served.is_empty());
                [
                    -(taken / (5.0 * NEGLIGIBLE_COST_PERCENT)) as i64,
                    own_millicores + is_empty,
                    packed,
                ]
            }
            // What only reserves is packed, so that some workers are left to fillers.
            RunKind::Plain => [packed, 0, 0],
        };
        let is_near = !step.data_rack.is_empty() && self.rack == step.data_rack;
        Some(Preference { is_near, rank })
    }

    pub(super) fn take(&mut self, asked: &TaskDemand<'_>, harm: &ContentionModel) {
        self.free = subtract(self.free, asked.reserve);
        match asked.work {
            RunKind::Filler { image, millicores } => {
                self.filler_millicores += millicores;
                self.change_fillers(image, self.cores(millicores), harm);
            }
            RunKind::Serving { image, .. } => {
                let taken_percent = harm.taken_percent(image, &self.fillers);
                let served = self.served_of(image);
                served.rest_percent = served.rest_percent.min(UNSEEN_REST_PERCENT);
                served.taken_percent = taken_percent;
                served.millicores += asked.step.need.cpu_millicores;
            }
            RunKind::Plain => (),
        }
    }

    /// Takes back a placement of a gang that did not fit whole.
    pub(super) fn give_back(&mut self, asked: &TaskDemand<'_>, harm: &ContentionModel) {
        self.free = add(self.free, asked.reserve);
        if let RunKind::Filler { image, millicores } = asked.work {
            self.filler_millicores -= millicores;
            self.change_fillers(image, -self.cores(millicores), harm);
        }
    }

    fn change_fillers(&mut self, image: ImageKey, cores: f64, harm: &ContentionModel) {
        self.note_filler(image, cores);
        for it in &mut self.served {
            it.taken_percent += harm.cost_percent(it.image, image) * cores;
        }
    }

    /// Returns what a core of each image of fillers here takes from each image that serves.
    pub(super) fn costs(&self, harm: &ContentionModel) -> Vec<ImageCost> {
        let core = self.cores(1_000);
        let cost = |serving: ImageKey, filler: ImageKey| ImageCost {
            serving: harm.image_name(serving).clone(),
            filler: harm.image_name(filler).clone(),
            headroom_percent: (harm.cost_percent(serving, filler) * core) as f32,
        };
        let pairs = self
            .served
            .iter()
            .flat_map(|it| self.fillers.iter().map(move |filler| (it.image, filler.image)));
        pairs.map(|(serving, filler)| cost(serving, filler)).collect()
    }
}

/// How much a worker is wanted for a task; the largest is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Preference {
    is_near: bool,
    rank: [i64; 3],
}

/// Whether a filler may be placed where it is slow or harms tails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PlacementMode {
    ProtectLatency,
    AnyWorker,
}

/// The rooms of all workers in the ledger.
#[derive(Debug, Default)]
pub(super) struct FreeCapacities {
    rooms: BTreeMap<WorkerId, FreeCapacity>,
    /// Workers whose runs have changed since their rooms were made.
    stale: BTreeSet<WorkerId>,
    read_at_ms: u64,
    /// How many rooms were looked at so far in walks over all of them.
    looks: u64,
}

impl FreeCapacities {
    /// Returns how many rooms were looked at so far in walks over all of them.
    pub(super) fn looks(&self) -> u64 {
        self.looks
    }

    /// Counts rooms that a plan looked at.
    pub(super) fn note_visited(&mut self, looks: u64) {
        self.looks += looks;
    }

    /// Takes note of a worker whose runs have changed.
    pub(super) fn note_changed(&mut self, id: WorkerId) {
        self.stale.insert(id);
    }

    /// Returns the room of a worker as the ledger has it.
    pub(super) fn get(
        &mut self,
        workflows: &Workflows,
        harm: &mut ContentionModel,
        id: WorkerId,
    ) -> Option<&FreeCapacity> {
        if self.stale.remove(&id) {
            self.make(workflows, harm, id);
        }
        self.rooms.get(&id)
    }

    /// Brings all rooms up to what the ledger and the reports say.
    pub(super) fn refresh(&mut self, workflows: &Workflows, harm: &mut ContentionModel, now: Now) {
        for id in std::mem::take(&mut self.stale) {
            self.make(workflows, harm, id);
        }
        if self.read_at_ms <= now.mono_ms {
            self.read_at_ms = now.mono_ms + READ_INTERVAL_MS;
            self.looks += self.rooms.len() as u64;
            self.rooms.values_mut().for_each(|it| it.read(harm));
        }
    }

    /// Returns the rooms of the workers that new runs may be placed on.
    pub(super) fn usable(
        &mut self,
        workflows: &Workflows,
        sessions: &Sessions,
        usable: UsabilityCriteria,
    ) -> Vec<&mut FreeCapacity> {
        self.looks += self.rooms.len() as u64;
        let is_usable = |id| sessions.is_usable(id, usable) && !workflows.is_evacuated(id);
        self.rooms.values_mut().filter(|it| is_usable(it.id)).collect()
    }

    /// Checks that what is kept is what would be made anew.
    ///
    /// # Errors
    ///
    /// Returns the first room that is not.
    pub(super) fn audit(
        &self,
        workflows: &Workflows,
        harm: &mut ContentionModel,
    ) -> Result<(), String> {
        for (id, worker) in workflows.workers().iter().filter(|(id, _)| !self.stale.contains(id)) {
            let made = FreeCapacity::new(workflows, id, worker, harm);
            let kept = self.rooms.get(&id).cloned().map(|mut it| {
                it.read(harm);
                it
            });
            if kept.as_ref() != Some(&made) {
                return Err(format!("worker {id}: {kept:?} is kept for {made:?}"));
            }
        }
        let gone = |id: &&WorkerId| workflows.workers().get(**id).is_none();
        match self.rooms.keys().filter(|it| !self.stale.contains(it)).find(gone) {
            Some(id) => Err(format!("a room is kept of worker {id}, which is gone")),
            None => Ok(()),
        }
    }

    fn make(&mut self, workflows: &Workflows, harm: &mut ContentionModel, id: WorkerId) {
        match workflows.workers().get(id) {
            Some(worker) => {
                drop(self.rooms.insert(id, FreeCapacity::new(workflows, id, worker, harm)))
            }
            None => drop(self.rooms.remove(&id)),
        }
    }
}
