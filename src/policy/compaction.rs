//! Chooses long-running tasks to move so that small gaps on several workers become a large one.
//!
//! This is vector bin packing with migration costs, for which the best plan is expensive to find.
//! The search is bounded instead: one or two tasks leave a worker, and for each of them at most one
//! task may come back, since gaps that are smaller than every task can only be joined by exchanges.

use crate::{
    control::state::{add, fits},
    policy::reservation::{MovableRun, WorkerRoom},
    prelude::*,
};

/// Time for which a moved task is away: its stop, two commits and its start.
pub const MOVE_MS: u64 = 1_500;

/// Maximum number of moves for one waiting task: two exchanges.
pub const MOVES_MAX: usize = 4;

/// Workers on which room is made by two exchanges, and workers that take part in these, at most. The
/// number of pairs of exchanges grows with the square of the latter.
const PAIR_ROOMS_MAX: usize = 8;
const PAIR_PARTNERS_MAX: usize = 12;

/// Maximum number of movable runs of a worker that are considered.
const RUNS_MAX: usize = 8;

/// One run to stop, and the worker on which it begins again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Move {
    pub run: MovableRun,
    pub from: WorkerId,
    pub target: WorkerId,
}

/// The moves after which a task fits on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Compaction {
    pub worker: WorkerId,
    pub moves: Vec<Move>,
}

/// Returns the number of moves that a task is worth that has waited for `waited_ms`.
///
/// How long the task would wait on is unknown; it is taken to be as long as it has waited so far.
/// Moving once the wait equals the time for which all moved tasks are away costs at most twice what
/// the better choice in hindsight does.
pub fn moves_worth(waited_ms: u64) -> usize {
    ((waited_ms / MOVE_MS) as usize).min(MOVES_MAX)
}

/// Returns the cheapest moves after which `need` fits on one of `rooms`: the fewest, then those that
/// move the least processor, then those that leave the tightest gaps.
///
/// Runs are exchanged with `partners`, those with the largest gaps first. `can_take` tells whether a
/// worker accepts a run apart from its resources.
pub fn find_compaction(
    need: Resources,
    rooms: &[WorkerRoom],
    partners: &[WorkerRoom],
    moves_max: usize,
    now_ms: u64,
    can_take: impl Fn(&MovableRun, WorkerId) -> bool,
) -> Option<Compaction> {
    let mut search = Search { need, moves_max, now_ms, can_take, best: None };
    for room in rooms {
        let exchanges = exchanges(room, partners);
        exchanges.iter().for_each(|it| search.consider(room, &[*it]));
    }
    if search.best.is_none() && 2 <= moves_max {
        let partners = &partners[..partners.len().min(PAIR_PARTNERS_MAX)];
        rooms.iter().take(PAIR_ROOMS_MAX).for_each(|it| search.consider_pairs(it, partners));
    }
    search.best.map(|(_, it)| it)
}

/// A run that leaves a worker for a partner, and the run that comes back, if any.
#[derive(Clone, Copy)]
struct Exchange<'p> {
    out: MovableRun,
    partner: &'p WorkerRoom,
    back: Option<MovableRun>,
    /// Processor that the worker gains, in millicores.
    gain: i64,
}

/// Returns the exchanges by which a worker loses one of its runs, apart from the limits of the
/// partner, those with the largest gain first.
fn exchanges<'p>(room: &WorkerRoom, partners: &'p [WorkerRoom]) -> Vec<Exchange<'p>> {
    let mut res = Vec::new();
    for out in room.movable.iter().take(RUNS_MAX) {
        for partner in partners.iter().filter(|it| it.worker != room.worker) {
            let backs = partner.movable.iter().take(RUNS_MAX).copied().map(Some);
            for back in [None].into_iter().chain(backs) {
                let back_millicores = back.map_or(0, |it| it.resources.cpu_millicores);
                let gain = i64::from(out.resources.cpu_millicores) - i64::from(back_millicores);
                res.push(Exchange { out: *out, partner, back, gain });
            }
        }
    }
    res.sort_by_key(|it| -it.gain);
    res
}

/// Moves, moved processor, and the unused processor that is left in the gaps.
type Cost = (usize, u32, u32);

struct Search<F> {
    need: Resources,
    moves_max: usize,
    now_ms: u64,
    can_take: F,
    best: Option<(Cost, Compaction)>,
}

impl<F: Fn(&MovableRun, WorkerId) -> bool> Search<F> {
    fn consider_pairs(&mut self, room: &WorkerRoom, partners: &[WorkerRoom]) {
        let free = room.free_by(self.now_ms + MOVE_MS);
        let lacking = i64::from(self.need.cpu_millicores) - i64::from(free.cpu_millicores);
        let exchanges = exchanges(room, partners);
        for (at, first) in exchanges.iter().enumerate() {
            let rest = exchanges[at + 1..].iter();
            for second in rest.take_while(|it| lacking <= first.gain + it.gain) {
                if first.out.run != second.out.run {
                    self.consider(room, &[*first, *second]);
                }
            }
        }
    }

    /// Notes exchanges if they make room at a lower cost than those found before.
    fn consider(&mut self, room: &WorkerRoom, exchanges: &[Exchange<'_>]) {
        let gain: i64 = exchanges.iter().map(|it| it.gain).sum();
        let free = room.free_by(self.now_ms + MOVE_MS);
        let left = i64::from(free.cpu_millicores) + gain - i64::from(self.need.cpu_millicores);
        let backs = exchanges.iter().filter_map(|it| it.back);
        let moves = exchanges.len() + backs.clone().count();
        let Ok(left) = u32::try_from(left) else { return };
        if self.moves_max < moves {
            return;
        }
        let runs = exchanges.iter().map(|it| it.out).chain(backs.clone());
        let moved = runs.clone().map(|it| it.resources.cpu_millicores).sum();
        let partners_left = exchanges.iter().map(|it| i64::from(it.partner.free.cpu_millicores));
        let partners_left = (partners_left.sum::<i64>() - gain).max(0) as u32;
        let cost = (moves, moved, left + partners_left);
        if self.best.as_ref().is_some_and(|(best, _)| *best <= cost) {
            return;
        }
        let free = exchanges.iter().fold(free, |sum, it| add(sum, it.out.resources));
        let used = backs.fold(self.need, |sum, it| add(sum, it.resources));
        let is_feasible = fits(used, free)
            && exchanges.iter().all(|it| fits_on_partner(it.partner, exchanges))
            && has_distinct_steps(runs)
            && exchanges.iter().all(|it| self.is_accepted(room.worker, it));
        if is_feasible {
            let moves = exchanges.iter().flat_map(|it| moves_of(room.worker, it)).collect();
            self.best = Some((cost, Compaction { worker: room.worker, moves }));
        }
    }

    fn is_accepted(&self, worker: WorkerId, it: &Exchange<'_>) -> bool {
        (self.can_take)(&it.out, it.partner.worker)
            && it.back.is_none_or(|back| (self.can_take)(&back, worker))
    }
}

/// Returns whether what comes to a partner fits into what is free there and what leaves it.
fn fits_on_partner(partner: &WorkerRoom, exchanges: &[Exchange<'_>]) -> bool {
    let with_it = || exchanges.iter().filter(|it| it.partner.worker == partner.worker);
    let backs = with_it().filter_map(|it| it.back);
    let free = backs.fold(partner.free, |sum, it| add(sum, it.resources));
    let needs = with_it().map(|it| it.out.resources);
    needs.reduce(add).is_none_or(|it| fits(it, free))
}

/// Returns whether all runs are of different steps: the step of a moved task may allow no second one
/// to be away.
fn has_distinct_steps(runs: impl Iterator<Item = MovableRun>) -> bool {
    let mut steps: Vec<_> = runs.map(|it| StepRef::of_task(it.run.task)).collect();
    let count = steps.len();
    steps.sort();
    steps.dedup();
    steps.len() == count
}

fn moves_of(worker: WorkerId, it: &Exchange<'_>) -> impl Iterator<Item = Move> {
    let partner = it.partner.worker;
    let out = Move { run: it.out, from: worker, target: partner };
    let back = it.back.map(|run| Move { run, from: partner, target: worker });
    [out].into_iter().chain(back)
}
