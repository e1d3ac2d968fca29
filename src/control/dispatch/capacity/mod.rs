//! Free capacity of each worker, and how well it suits a task.

mod cache;
mod withheld;

use std::cmp::Reverse;

use crate::{
    control::{
        dispatch::{run_monitor::RunKind, speeds::SpeedClass},
        state::{Worker, Workflows, add, reservation_of, subtract},
    },
    policy::{
        contention::{
            ContentionModel, FillerLoad, MEAN_CPU_USE_SHARE, images::ImageKey, reference_cores,
        },
        start_breaker::BreakerState,
        throttling::NEGLIGIBLE_COST_PERCENT,
    },
    prelude::*,
};

pub(super) use self::cache::FreeCapacities;
use self::withheld::Withheld;

/// Least headroom, in percent, that placement of fillers leaves a serving task. It is far above
/// what the throttler keeps: loads change within seconds and a filler runs for some, so one placed
/// at less headroom is soon suspended and delays its workflow.
const HEADROOM_MIN_PERCENT: f64 = 160.0;

/// Share of its full speed below which a filler is not placed: it would delay the rest of its step
/// and meanwhile slow down the tasks that serve there.
const FILLER_SPEED_MIN: f64 = 0.9;

/// Headroom assumed for a serving task placed by the same plan, whose load is not known yet: that
/// of a task at half load.
const NEW_TASK_HEADROOM_PERCENT: f64 = 280.0;

/// Requirements of a task for its placement.
#[derive(Clone, Copy)]
pub(super) struct TaskDemand<'a> {
    pub step: &'a WorkflowStep,
    pub queue: &'a Queue,
    pub run_kind: RunKind,
    pub reservation: Resources,
    /// Time by which a task that begins now has ended, late case included, or the end of time if it
    /// is not forecast.
    pub late_end_ms: u64,
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
            late_end_ms: u64::MAX,
        }
    }
}

/// The serving tasks of one image on a worker.
#[derive(Clone, Debug, PartialEq)]
struct ServedImage {
    image: ImageKey,
    /// Steps that the tasks belong to; tasks of a step share a load.
    steps: Vec<StepRef>,
    /// Number of further tasks that the plan in progress has placed here.
    planned_count: u32,
    /// Headroom with no filler beside the tasks, at the step's load that leaves the least.
    idle_headroom_percent: f64,
    /// Headroom that the worker's fillers use at full speed.
    used_percent: f64,
    /// Processor that the tasks reserve for their peaks.
    millicores: u32,
    /// Share of the reservation in use now.
    cpu_use_share: f64,
}

impl ServedImage {
    /// Returns the headroom that further fillers may use; negative if the fillers here use too
    /// much.
    fn spare_headroom_percent(&self) -> f64 {
        let idle_headroom_percent = match self.planned_count {
            0 => self.idle_headroom_percent,
            _ => self.idle_headroom_percent.min(NEW_TASK_HEADROOM_PERCENT),
        };
        idle_headroom_percent - HEADROOM_MIN_PERCENT - self.used_percent
    }

    /// Returns whether no task of the image is left here.
    fn is_empty(&self) -> bool {
        self.steps.is_empty() && self.planned_count == 0
    }

    fn refresh_loads(&mut self, fillers: &[FillerLoad], contention: &ContentionModel) {
        let headrooms =
            self.steps.iter().map(|it| contention.idle_headroom_percent(self.image, *it));
        self.idle_headroom_percent = headrooms.fold(f64::MAX, f64::min);
        self.used_percent = contention.used_percent(self.image, fillers);
        let shares = self.steps.iter().map(|it| contention.cpu_use_share(self.image, *it));
        self.cpu_use_share = shares.reduce(f64::max).unwrap_or(MEAN_CPU_USE_SHARE);
    }
}

/// Free capacity of one worker.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct FreeCapacity {
    pub id: WorkerId,
    service: CompactString,
    kind: CompactString,
    rack: CompactString,
    free: Resources,
    withheld: Withheld,
    capacity_millicores: u32,
    /// For each image, the processor that its fillers here use together at full speed.
    fillers: Vec<FillerLoad>,
    filler_millicores: u32,
    served: Vec<ServedImage>,
    pub(super) speed_class: SpeedClass,
    pub(super) breaker: BreakerState,
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
            free: subtract(worker.capacity, worker.reserved),
            withheld: Withheld::NONE,
            capacity_millicores: worker.capacity.cpu_millicores,
            fillers: Vec::new(),
            filler_millicores: worker.filler_millicores,
            served: Vec::new(),
            speed_class: SpeedClass::default(),
            breaker: BreakerState::default(),
        };
        for run in &worker.runs {
            let Some(step) = workflows.step_of(run.task) else { continue };
            match RunKind::of(step, contention) {
                RunKind::Serving { image, .. } => {
                    let served = res.served_image_mut(image);
                    served.millicores += step.need.cpu_millicores;
                    let step_ref = StepRef::of_task(run.task);
                    if !served.steps.contains(&step_ref) {
                        served.steps.push(step_ref);
                    }
                }
                RunKind::Filler { image, millicores } => {
                    res.add_filler_cores(image, res.cores(millicores))
                }
                RunKind::Plain => (),
            }
        }
        res.refresh_loads(contention);
        res
    }

    /// Converts processor time of this worker to reference cores, the unit of costs.
    fn cores(&self, millicores: u32) -> f64 {
        reference_cores(millicores, self.capacity_millicores)
    }

    fn refresh_loads(&mut self, contention: &ContentionModel) {
        for it in &mut self.served {
            it.refresh_loads(&self.fillers, contention);
        }
    }

    fn served_image_mut(&mut self, image: ImageKey) -> &mut ServedImage {
        let position = self.served.iter().position(|it| it.image == image);
        let index = position.unwrap_or_else(|| {
            self.served.push(ServedImage {
                image,
                steps: Vec::new(),
                planned_count: 0,
                idle_headroom_percent: f64::MAX,
                used_percent: 0.0,
                millicores: 0,
                cpu_use_share: MEAN_CPU_USE_SHARE,
            });
            self.served.len() - 1
        });
        &mut self.served[index]
    }

    /// Adds to the processor that fillers of an image use; a negative value subtracts.
    fn add_filler_cores(&mut self, image: ImageKey, cores: f64) {
        match self.fillers.iter_mut().find(|it| it.image == image) {
            Some(it) => it.cores += cores,
            None => self.fillers.push(FillerLoad { image, cores }),
        }
    }

    /// Returns the processor that is neither reserved nor used by fillers.
    fn idle_millicores(&self) -> u32 {
        self.free.cpu_millicores.saturating_sub(self.filler_millicores)
    }

    /// Returns the processor that a further filler could use: idle processor, and reserved
    /// processor that serving tasks do not use now.
    fn unused_millicores(&self) -> u32 {
        let unused = |it: &ServedImage| f64::from(it.millicores) * (1.0 - it.cpu_use_share);
        let unused = self.served.iter().map(unused).sum::<f64>() as u32;
        self.free.cpu_millicores.saturating_add(unused).saturating_sub(self.filler_millicores)
    }

    /// Returns the share of its full speed that a further filler would reach here.
    pub(super) fn speed_of(
        &self,
        image: ImageKey,
        millicores: u32,
        contention: &ContentionModel,
    ) -> f64 {
        let cpu_speed = f64::from(self.unused_millicores()) / f64::from(millicores.max(1));
        let speed_beside = |it: &ServedImage| match contention.cost_percent(it.image, image)
            * self.cores(millicores)
        {
            cost if cost <= NEGLIGIBLE_COST_PERCENT => 1.0,
            cost => it.spare_headroom_percent() / cost,
        };
        self.served.iter().map(speed_beside).fold(cpu_speed, f64::min).clamp(0.0, 1.0)
    }

    /// Returns the headroom, summed over all images that serve here, that a further filler would
    /// use.
    fn cost_of(&self, image: ImageKey, millicores: u32, contention: &ContentionModel) -> f64 {
        let costs = self.served.iter().map(|it| contention.cost_percent(it.image, image));
        costs.sum::<f64>() * self.cores(millicores)
    }

    /// Returns whether the worker is slow.
    pub(super) fn is_slow(&self) -> bool {
        self.speed_class.is_slow()
    }

    fn can_hold(&self, demand: &TaskDemand<'_>, placed_count: u32) -> bool {
        let step = demand.step;
        self.breaker != BreakerState::Open
            && self.has_room_for(demand)
            && (step.per_worker_max == 0 || placed_count < step.per_worker_max)
            && self.suits(step, demand.queue)
    }

    /// Returns how well the worker suits a task, or `None` if it cannot run it.
    pub(super) fn offer(
        &self,
        demand: &TaskDemand<'_>,
        placed_count: u32,
        mode: PlacementMode,
        contention: &ContentionModel,
    ) -> Option<Preference> {
        if !self.can_hold(demand, placed_count) {
            return None;
        }
        let step = demand.step;
        let speed_rank = self.speed_class.rank(step.lasting);
        let serving: u32 = self.served.iter().map(|it| it.millicores).sum();
        let packing = i64::from(serving) - i64::from(self.idle_millicores());
        let rank = match demand.run_kind {
            // Highest speed first, then least cost to serving tasks, then most unused processor.
            RunKind::Filler { image, millicores } => {
                let speed =
                    self.speed_of(image, millicores, contention) * self.speed_class.speed_share();
                if mode == PlacementMode::ProtectLatency && speed < FILLER_SPEED_MIN {
                    return None;
                }
                [
                    (speed * 10.0) as i64,
                    -(self.cost_of(image, millicores, contention) / NEGLIGIBLE_COST_PERCENT) as i64,
                    i64::from(self.unused_millicores()),
                ]
            }
            // Each image is kept on few workers, so that a filler that slows it down finds others.
            RunKind::Serving { image, .. } => {
                let same_image = self.served.iter().find(|it| it.image == image);
                let used_percent = contention.used_percent(image, &self.fillers);
                let same_image_millicores = same_image.map_or(0, |it| i64::from(it.millicores));
                let is_empty = i64::from(self.served.is_empty());
                [
                    -(used_percent / (5.0 * NEGLIGIBLE_COST_PERCENT)) as i64,
                    same_image_millicores + is_empty,
                    packing,
                ]
            }
            // Plain tasks are packed on workers that are in use, which leaves other workers to
            // fillers.
            RunKind::Plain => [packing, 0, 0],
        };
        let is_in_data_rack = !step.data_rack.is_empty() && self.rack == step.data_rack;
        let is_last_resort =
            matches!(self.breaker, BreakerState::HalfOpen { is_last_resort: true });
        Some(Preference {
            is_last_resort: Reverse(is_last_resort),
            speed: Reverse(speed_rank),
            is_in_data_rack,
            rank,
        })
    }

    pub(super) fn reserve(&mut self, demand: &TaskDemand<'_>, contention: &ContentionModel) {
        self.take(demand.reservation);
        self.speed_class.is_probe_due = false;
        if self.breaker != BreakerState::Closed {
            // One start at a time tests a worker that has refused some.
            self.breaker = BreakerState::Open;
        }
        match demand.run_kind {
            RunKind::Filler { image, millicores } => {
                self.filler_millicores = self.filler_millicores.saturating_add(millicores);
                self.add_filler_load(image, self.cores(millicores), contention);
            }
            RunKind::Serving { image, .. } => {
                let used_percent = contention.used_percent(image, &self.fillers);
                let served = self.served_image_mut(image);
                served.planned_count += 1;
                served.used_percent = used_percent;
                served.millicores += demand.step.need.cpu_millicores;
            }
            RunKind::Plain => (),
        }
    }

    /// Releases the capacity of a member of a gang that could not be placed whole.
    pub(super) fn release(&mut self, demand: &TaskDemand<'_>, contention: &ContentionModel) {
        self.free = add(self.free, demand.reservation);
        match demand.run_kind {
            RunKind::Filler { image, millicores } => {
                self.filler_millicores = self.filler_millicores.saturating_sub(millicores);
                self.add_filler_load(image, -self.cores(millicores), contention);
            }
            RunKind::Serving { image, .. } => {
                let served = self.served_image_mut(image);
                served.planned_count -= 1;
                served.millicores -= demand.step.need.cpu_millicores;
                self.served.retain(|it| !it.is_empty());
            }
            RunKind::Plain => (),
        }
    }

    fn add_filler_load(&mut self, image: ImageKey, cores: f64, contention: &ContentionModel) {
        self.add_filler_cores(image, cores);
        for it in &mut self.served {
            it.used_percent += contention.cost_percent(it.image, image) * cores;
        }
    }

    /// Returns the headroom that one core of each filler image here uses of each image that serves
    /// here.
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

/// How well a worker suits a task; the largest is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Preference {
    /// A worker that has refused starts and has accepted none since.
    is_last_resort: Reverse<bool>,
    /// A slow worker is used last, since the data of a task is nearer to every other one.
    speed: Reverse<u8>,
    is_in_data_rack: bool,
    rank: [i64; 3],
}

/// Whether a filler may be placed where it runs slowly or raises the tail latency of serving tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PlacementMode {
    ProtectLatency,
    AnyWorker,
}
