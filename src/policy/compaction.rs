//! Chooses long-running tasks to move so that small gaps on several workers become a large one.
//!
//! This is vector bin packing with migration costs, for which the best plan is expensive to find.
//! The search is bounded instead: at most two moves off one of the given workers, each to the
//! tightest gap that takes the task.

use crate::{
    control::state::{add, fits, subtract},
    policy::reservation::{MovableRun, WorkerRoom},
    prelude::*,
};

/// Time for which a moved task is away: its stop, two commits and its start.
pub const MOVE_MS: u64 = 1_500;

/// Maximum number of gaps that are tried for one move.
const TARGETS_TRIED_MAX: usize = 8;

/// Maximum number of movable runs of a worker that are considered; pairs grow with its square.
const RUNS_TRIED_MAX: usize = 12;

/// A gap that may take a moved task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Gap {
    pub worker: WorkerId,
    pub free: Resources,
}

/// One run to stop, and the worker on which it begins again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Move {
    pub run: MovableRun,
    pub target: WorkerId,
}

/// The moves after which a task fits on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Compaction {
    /// Index of the worker among those given.
    pub room: usize,
    pub moves: Vec<Move>,
}

/// Returns whether a task that has waited for `waited_ms` gains more by `moves` moves than the moved
/// tasks lose.
///
/// How long the task would wait on is unknown; it is taken to be as long as it has waited so far.
/// Moving once the wait equals the cost of the moves costs at most twice what the better choice in
/// hindsight does.
pub fn is_worth_moves(waited_ms: u64, moves: usize) -> bool {
    MOVE_MS * moves as u64 <= waited_ms
}

/// Returns the cheapest moves after which `need` fits on one of `rooms`: the fewest, then those that
/// move the least processor, then those that leave the least of it free there.
///
/// `gaps` are sorted by free processor, least first. `can_take` tells whether a worker accepts a run
/// apart from its resources.
pub fn find_compaction(
    need: Resources,
    rooms: &[WorkerRoom],
    gaps: &[Gap],
    moves_max: usize,
    now_ms: u64,
    can_take: impl Fn(&MovableRun, WorkerId) -> bool,
) -> Option<Compaction> {
    let search = Search { need, gaps, now_ms, can_take };
    let single = |(index, room): (usize, &WorkerRoom)| {
        let it = search.best_single(room)?;
        Some((it, index))
    };
    let pair = |(index, room): (usize, &WorkerRoom)| {
        let it = search.best_pair(room)?;
        Some((it, index))
    };
    let best_single = || rooms.iter().enumerate().filter_map(single).min_by_key(|it| it.0.cost);
    let best_pair = || rooms.iter().enumerate().filter_map(pair).min_by_key(|it| it.0.cost);
    let best = match moves_max {
        0 => None,
        1 => best_single(),
        _ => best_single().or_else(best_pair),
    };
    best.map(|(it, room)| Compaction { room, moves: it.moves })
}

/// Moved processor, then processor left free, in millicores.
type Cost = (u32, u32);

struct Found {
    cost: Cost,
    moves: Vec<Move>,
}

struct Search<'a, F> {
    need: Resources,
    gaps: &'a [Gap],
    now_ms: u64,
    can_take: F,
}

impl<F: Fn(&MovableRun, WorkerId) -> bool> Search<'_, F> {
    fn best_single(&self, room: &WorkerRoom) -> Option<Found> {
        let free = room.free_by(self.now_ms + MOVE_MS);
        let enough = |it: &&MovableRun| fits(self.need, add(free, it.resources));
        let found = room.movable.iter().take(RUNS_TRIED_MAX).filter(enough).filter_map(|it| {
            let target = self.target_for(it, room.worker, None)?;
            Some(self.found(free, vec![Move { run: *it, target }]))
        });
        found.min_by_key(|it| it.cost)
    }

    fn best_pair(&self, room: &WorkerRoom) -> Option<Found> {
        let free = room.free_by(self.now_ms + MOVE_MS);
        let runs = &room.movable[..room.movable.len().min(RUNS_TRIED_MAX)];
        let pairs =
            runs.iter().enumerate().flat_map(|(at, a)| runs[at + 1..].iter().map(move |b| (a, b)));
        // The step of a moved task may allow no second task to be away.
        let of_two_steps = pairs
            .filter(|(a, b)| StepRef::of_task(a.run.task) != StepRef::of_task(b.run.task));
        let enough = of_two_steps
            .filter(|(a, b)| fits(self.need, add(free, add(a.resources, b.resources))));
        let found = enough.filter_map(|(a, b)| {
            let target = self.target_for(a, room.worker, None)?;
            let first = Move { run: *a, target };
            let target = self.target_for(b, room.worker, Some(first))?;
            Some(self.found(free, vec![first, Move { run: *b, target }]))
        });
        found.min_by_key(|it| it.cost)
    }

    /// Returns the tightest gap on another worker that takes a run after an earlier move.
    fn target_for(
        &self,
        run: &MovableRun,
        from: WorkerId,
        earlier: Option<Move>,
    ) -> Option<WorkerId> {
        let least = run.resources.cpu_millicores;
        let first = self.gaps.partition_point(|it| it.free.cpu_millicores < least);
        let free = |it: &Gap| match earlier {
            Some(earlier) if earlier.target == it.worker => {
                subtract(it.free, earlier.run.resources)
            }
            _ => it.free,
        };
        let tried = self.gaps[first..].iter().filter(|it| it.worker != from);
        let mut takes = tried.take(TARGETS_TRIED_MAX).filter(|it| fits(run.resources, free(it)));
        takes.find(|it| (self.can_take)(run, it.worker)).map(|it| it.worker)
    }

    fn found(&self, free: Resources, moves: Vec<Move>) -> Found {
        let moved = moves.iter().map(|it| it.run.resources.cpu_millicores).sum::<u32>();
        let left = (free.cpu_millicores + moved).saturating_sub(self.need.cpu_millicores);
        Found { cost: (moved, left), moves }
    }
}
