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
    pub run_kind: RunKind,
    pub reservation: Resources,
}

impl<'a> TaskDemand<'a> {
    pub(super) fn new(
        step: &'a WorkflowStep,
        queue: &'a Queue,
        contention: &mut ContentionModel,
    ) -> TaskDemand<'a> {
        TaskDemand {
            step,
            queue,
            run_kind: RunKind::of(step, contention),
            reservation: reservation_of(step),
        }
    }
}

/// An image that serves on a worker.
#[derive(Clone, Debug, PartialEq)]
struct Served {
    image: ImageKey,
    /// Loads that its tasks share, by the step that they are of.
    groups: Vec<StepRef>,
    /// Headroom with no filler beside it, of the load that leaves least.
    idle_headroom_percent: f64,
    /// What the fillers here take from it at full speed.
    used_percent: f64,
    /// What its tasks reserve for their peaks, and the share of it that they use now. By a share
    /// of 45 % at any time, 60 days of seven deployments earned 0.027 less (+-0.011).
    millicores: u32,
    cpu_use_share: f64,
}

impl Served {
    /// Returns the headroom that further fillers may take.
    fn room_percent(&self) -> f64 {
        self.idle_headroom_percent - HEADROOM_MIN_PERCENT - self.used_percent
    }

    fn read(&mut self, fillers: &[FillerLoad], contention: &ContentionModel) {
        let rests = self.groups.iter().map(|it| contention.idle_headroom_percent(self.image, *it));
        self.idle_headroom_percent = rests.fold(f64::MAX, f64::min);
        self.used_percent = contention.used_percent(self.image, fillers);
        let uses = self.groups.iter().map(|it| contention.cpu_use_share(self.image, *it));
        self.cpu_use_share = uses.reduce(f64::max).unwrap_or(MEAN_CPU_USE_SHARE);
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
        contention: &mut ContentionModel,
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
            match RunKind::of(step, contention) {
                RunKind::Serving { image, .. } => {
                    let served = res.served_of(image);
                    served.millicores += step.need.cpu_millicores;
                    let group = StepRef::of_task(run.task);
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
        res.read(contention);
        res
    }

    /// Returns processor as costs count it.
    fn cores(&self, millicores: u32) -> f64 {
        reference_cores(millicores, self.capacity_millicores)
    }

    /// Reads loads and costs anew.
    fn read(&mut self, contention: &ContentionModel) {
        for it in &mut self.served {
            it.read(&self.fillers, contention);
        }
    }

    fn served_of(&mut self, image: ImageKey) -> &mut Served {
        let found = self.served.iter().position(|it| it.image == image);
        let at = found.unwrap_or_else(|| {
            self.served.push(Served {
                image,
                groups: Vec::new(),
                idle_headroom_percent: f64::MAX,
                used_percent: 0.0,
                millicores: 0,
                cpu_use_share: MEAN_CPU_USE_SHARE,
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
        let unused = |it: &Served| f64::from(it.millicores) * (1.0 - it.cpu_use_share);
        let unused = self.served.iter().map(unused).sum::<f64>() as u32;
        (self.free.cpu_millicores + unused).saturating_sub(self.filler_millicores)
    }

    /// Returns the share of its speed that a further filler would reach.
    pub(super) fn speed_of(
        &self,
        image: ImageKey,
        millicores: u32,
        contention: &ContentionModel,
    ) -> f64 {
        let processor = f64::from(self.unused_millicores()) / f64::from(millicores.max(1));
        let pace =
            |it: &Served| match contention.cost_percent(it.image, image) * self.cores(millicores) {
                cost if cost <= NEGLIGIBLE_COST_PERCENT => 1.0,
                cost => it.room_percent() / cost,
            };
        self.served.iter().map(pace).fold(processor, f64::min).clamp(0.0, 1.0)
    }

    /// Returns what a further filler would take from all images that serve here.
    fn cost_of(&self, image: ImageKey, millicores: u32, contention: &ContentionModel) -> f64 {
        let costs = self.served.iter().map(|it| contention.cost_percent(it.image, image));
        costs.sum::<f64>() * self.cores(millicores)
    }

    fn holds(&self, demand: &TaskDemand<'_>, placed: u32) -> bool {
        let step = demand.step;
        fits(demand.reservation, self.free)
            && (step.per_worker_max == 0 || placed < step.per_worker_max)
            && (step.required_label.is_empty() || step.required_label == self.kind)
            && self.service == demand.queue.service
    }

    /// Returns how much the worker is wanted for a task, or nothing if it cannot take it.
    pub(super) fn offer(
        &self,
        demand: &TaskDemand<'_>,
        placed: u32,
        mode: PlacementMode,
        contention: &ContentionModel,
    ) -> Option<Preference> {
        if !self.holds(demand, placed) {
            return None;
        }
        let step = demand.step;
        let serving: u32 = self.served.iter().map(|it| it.millicores).sum();
        let packed = i64::from(serving) - i64::from(self.idle_millicores());
        let rank = match demand.run_kind {
            // Where it is fast, then where it costs least, then where most is unused.
            RunKind::Filler { image, millicores } => {
                let speed = self.speed_of(image, millicores, contention);
                if mode == PlacementMode::ProtectLatency && speed < SPEED_MIN {
                    return None;
                }
                [
                    (speed * 10.0) as i64,
                    -(self.cost_of(image, millicores, contention) / NEGLIGIBLE_COST_PERCENT) as i64,
                    i64::from(self.unused_millicores()),
                ]
            }
            // Images keep to few workers each, so that a filler that harms one finds others.
            RunKind::Serving { image, .. } => {
                let own = self.served.iter().find(|it| it.image == image);
                let taken = contention.used_percent(image, &self.fillers);
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

    pub(super) fn take(&mut self, demand: &TaskDemand<'_>, contention: &ContentionModel) {
        self.free = subtract(self.free, demand.reservation);
        match demand.run_kind {
            RunKind::Filler { image, millicores } => {
                self.filler_millicores += millicores;
                self.change_fillers(image, self.cores(millicores), contention);
            }
            RunKind::Serving { image, .. } => {
                let taken_percent = contention.used_percent(image, &self.fillers);
                let served = self.served_of(image);
                served.idle_headroom_percent =
                    served.idle_headroom_percent.min(UNSEEN_REST_PERCENT);
                served.used_percent = taken_percent;
                served.millicores += demand.step.need.cpu_millicores;
            }
            RunKind::Plain => (),
        }
    }

    /// Takes back a placement of a gang that did not fit whole.
    pub(super) fn give_back(&mut self, demand: &TaskDemand<'_>, contention: &ContentionModel) {
        self.free = add(self.free, demand.reservation);
        if let RunKind::Filler { image, millicores } = demand.run_kind {
            self.filler_millicores -= millicores;
            self.change_fillers(image, -self.cores(millicores), contention);
        }
    }

    fn change_fillers(&mut self, image: ImageKey, cores: f64, contention: &ContentionModel) {
        self.note_filler(image, cores);
        for it in &mut self.served {
            it.used_percent += contention.cost_percent(it.image, image) * cores;
        }
    }

    /// Returns what a core of each image of fillers here takes from each image that serves.
    pub(super) fn costs(&self, contention: &ContentionModel) -> Vec<ImageCost> {
        let core = self.cores(1_000);
        let cost = |serving: ImageKey, filler: ImageKey| ImageCost {
            serving: contention.image_name(serving).clone(),
            filler: contention.image_name(filler).clone(),
            headroom_percent: (contention.cost_percent(serving, filler) * core) as f32,
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
    by_worker: BTreeMap<WorkerId, FreeCapacity>,
    /// Workers whose runs have changed since their rooms were made.
    stale: BTreeSet<WorkerId>,
    read_at_ms: u64,
    /// How many rooms were looked at so far in walks over all of them.
    rows_visited: u64,
}

impl FreeCapacities {
    /// Returns how many rooms were looked at so far in walks over all of them.
    pub(super) fn rows_visited(&self) -> u64 {
        self.rows_visited
    }

    /// Counts rooms that a plan looked at.
    pub(super) fn note_visited(&mut self, rows_visited: u64) {
        self.rows_visited += rows_visited;
    }

    /// Takes note of a worker whose runs have changed.
    pub(super) fn note_changed(&mut self, id: WorkerId) {
        self.stale.insert(id);
    }

    /// Returns the room of a worker as the ledger has it.
    pub(super) fn get(
        &mut self,
        workflows: &Workflows,
        contention: &mut ContentionModel,
        id: WorkerId,
    ) -> Option<&FreeCapacity> {
        if self.stale.remove(&id) {
            self.make(workflows, contention, id);
        }
        self.by_worker.get(&id)
    }

    /// Brings all rooms up to what the ledger and the reports say.
    pub(super) fn refresh(
        &mut self,
        workflows: &Workflows,
        contention: &mut ContentionModel,
        now: Now,
    ) {
        for id in std::mem::take(&mut self.stale) {
            self.make(workflows, contention, id);
        }
        if self.read_at_ms <= now.mono_ms {
            self.read_at_ms = now.mono_ms + READ_INTERVAL_MS;
            self.rows_visited += self.by_worker.len() as u64;
            self.by_worker.values_mut().for_each(|it| it.read(contention));
        }
    }

    /// Returns the rooms of the workers that new runs may be placed on.
    pub(super) fn usable(
        &mut self,
        workflows: &Workflows,
        sessions: &Sessions,
        usability: UsabilityCriteria,
    ) -> Vec<&mut FreeCapacity> {
        self.rows_visited += self.by_worker.len() as u64;
        let is_usable = |id| sessions.is_usable(id, usability) && !workflows.is_evacuated(id);
        self.by_worker.values_mut().filter(|it| is_usable(it.id)).collect()
    }

    /// Checks that what is kept is what would be made anew.
    ///
    /// # Errors
    ///
    /// Returns the first room that is not.
    pub(super) fn audit(
        &self,
        workflows: &Workflows,
        contention: &mut ContentionModel,
    ) -> Result<(), String> {
        for (id, worker) in workflows.workers().iter().filter(|(id, _)| !self.stale.contains(id)) {
            let made = FreeCapacity::new(workflows, id, worker, contention);
            let kept = self.by_worker.get(&id).cloned().map(|mut it| {
                it.read(contention);
                it
            });
            if kept.as_ref() != Some(&made) {
                return Err(format!("worker {id}: {kept:?} is kept for {made:?}"));
            }
        }
        let gone = |id: &&WorkerId| workflows.workers().get(**id).is_none();
        match self.by_worker.keys().filter(|it| !self.stale.contains(it)).find(gone) {
            Some(id) => Err(format!("a room is kept of worker {id}, which is gone")),
            None => Ok(()),
        }
    }

    fn make(&mut self, workflows: &Workflows, contention: &mut ContentionModel, id: WorkerId) {
        match workflows.workers().get(id) {
            Some(worker) => drop(
                self.by_worker.insert(id, FreeCapacity::new(workflows, id, worker, contention)),
            ),
            None => drop(self.by_worker.remove(&id)),
        }
    }
}
