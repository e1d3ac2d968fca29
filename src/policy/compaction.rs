//! Chooses long-running tasks to move so that small gaps on several workers become a large one.
//!
//! This is vector bin packing with migration costs, for which the best plan is expensive to find.
//! The search is bounded instead: one or two tasks go from a worker to a partner, and at most two
//! come back, since gaps that are smaller than every task can only be joined by exchanges. At most
//! two such exchanges make room for one task.

use crate::{
    control::state::{add, fits},
    policy::reservation::{MovableRun, WorkerRoom},
    prelude::*,
};

/// Time for which a moved task is away: its stop, two commits and its start.
pub const MOVE_MS: u64 = 1_500;

/// Maximum number of moves for one waiting task: two exchanges.
pub const MOVES_MAX: usize = 4;

/// Workers on which room is made, at most.
const ROOMS_MAX: usize = 16;

/// Movable runs of a worker that are considered, and exchanges of a worker that are combined, at
/// most. The number of combinations grows with the square of each.
const RUNS_MAX: usize = 8;
const EXCHANGES_MAX: usize = 64;

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
    let mut search = Search { need, moves_max, can_take, best: None };
    for room in rooms.iter().take(ROOMS_MAX) {
        let free = room.free_by(now_ms + MOVE_MS);
        let exchanges = exchanges(room, partners, moves_max);
        exchanges.iter().for_each(|it| search.consider(room.worker, free, &[it]));
        let combined = &exchanges[..exchanges.len().min(EXCHANGES_MAX)];
        search.consider_pairs(room.worker, free, combined);
    }
    search.best.map(|(_, it)| it)
}

/// Runs that go from a worker to a partner, and runs that come back.
struct Exchange<'p> {
    outs: Vec<MovableRun>,
    partner: &'p WorkerRoom,
    backs: Vec<MovableRun>,
    /// Processor that the worker gains, in millicores.
    gain: i64,
}

impl Exchange<'_> {
    fn runs(&self) -> impl Iterator<Item = &MovableRun> {
        self.outs.iter().chain(&self.backs)
    }

    fn moves(&self) -> usize {
        self.outs.len() + self.backs.len()
    }
}

/// Returns the exchanges by which a worker gains processor and that its partners can take, those
/// with the largest gain first.
fn exchanges<'p>(
    room: &WorkerRoom,
    partners: &'p [WorkerRoom],
    moves_max: usize,
) -> Vec<Exchange<'p>> {
    let mut res = Vec::new();
    let outs = subsets(&room.movable);
    for partner in partners.iter().filter(|it| it.worker != room.worker) {
        let gap = i64::from(partner.free.cpu_millicores);
        let mut backs = subsets(&partner.movable);
        backs.push(Vec::new());
        for outs in &outs {
            for backs in &backs {
                let gain = cpu_millicores(outs) - cpu_millicores(backs);
                let takes = || {
                    let free = backs.iter().fold(partner.free, |sum, it| add(sum, it.resources));
                    outs.iter().map(|it| it.resources).reduce(add).is_some_and(|it| fits(it, free))
                };
                if 0 < gain && gain <= gap && outs.len() + backs.len() <= moves_max && takes() {
                    let (outs, backs) = (outs.clone(), backs.clone());
                    res.push(Exchange { outs, partner, backs, gain });
                }
            }
        }
    }
    res.sort_by_key(|it| (-it.gain, it.moves()));
    res
}

/// Returns all sets of one or two runs.
fn subsets(runs: &[MovableRun]) -> Vec<Vec<MovableRun>> {
    let runs = &runs[..runs.len().min(RUNS_MAX)];
    let mut res: Vec<_> = runs.iter().map(|it| vec![*it]).collect();
    for (at, first) in runs.iter().enumerate() {
        res.extend(runs[at + 1..].iter().map(|second| vec![*first, *second]));
    }
    res
}

fn cpu_millicores(runs: &[MovableRun]) -> i64 {
    runs.iter().map(|it| i64::from(it.resources.cpu_millicores)).sum()
}

/// Moves, moved processor, and the unused processor that is left in the gaps.
type Cost = (usize, i64, i64);

struct Search<F> {
    need: Resources,
    moves_max: usize,
    can_take: F,
    best: Option<(Cost, Compaction)>,
}

impl<F: Fn(&MovableRun, WorkerId) -> bool> Search<F> {
    /// Considers all pairs of exchanges, which are sorted by their gain.
    fn consider_pairs(&mut self, worker: WorkerId, free: Resources, exchanges: &[Exchange<'_>]) {
        let lacking = i64::from(self.need.cpu_millicores) - i64::from(free.cpu_millicores);
        for (at, first) in exchanges.iter().enumerate() {
            let rest = exchanges[at + 1..].iter();
            for second in rest.take_while(|it| lacking <= first.gain + it.gain) {
                let are_disjoint = first.partner.worker != second.partner.worker
                    && !first.outs.iter().any(|it| second.outs.contains(it));
                if are_disjoint {
                    self.consider(worker, free, &[first, second]);
                }
            }
        }
    }

    /// Notes exchanges if they make room at a lower cost than those found before.
    fn consider(&mut self, worker: WorkerId, free: Resources, exchanges: &[&Exchange<'_>]) {
        let gain: i64 = exchanges.iter().map(|it| it.gain).sum();
        let left = i64::from(free.cpu_millicores) + gain - i64::from(self.need.cpu_millicores);
        let moves = exchanges.iter().map(|it| it.moves()).sum();
        if left < 0 || self.moves_max < moves {
            return;
        }
        let runs = || exchanges.iter().flat_map(|it| it.runs());
        let moved = runs().map(|it| i64::from(it.resources.cpu_millicores)).sum();
        let partner_left = |it: &&Exchange<'_>| i64::from(it.partner.free.cpu_millicores) - it.gain;
        let cost = (moves, moved, left + exchanges.iter().map(partner_left).sum::<i64>());
        if self.best.as_ref().is_some_and(|(best, _)| *best <= cost) {
            return;
        }
        let outs = exchanges.iter().flat_map(|it| &it.outs);
        let backs = exchanges.iter().flat_map(|it| &it.backs);
        let free = outs.fold(free, |sum, it| add(sum, it.resources));
        let used = backs.fold(self.need, |sum, it| add(sum, it.resources));
        let is_feasible = fits(used, free)
            && are_spared(runs())
            && exchanges.iter().all(|it| self.is_accepted(worker, it));
        if is_feasible {
            let moves = exchanges.iter().flat_map(|it| moves_of(worker, it)).collect();
            self.best = Some((cost, Compaction { worker, moves }));
        }
    }

    fn is_accepted(&self, worker: WorkerId, it: &Exchange<'_>) -> bool {
        it.outs.iter().all(|out| (self.can_take)(out, it.partner.worker))
            && it.backs.iter().all(|back| (self.can_take)(back, worker))
    }
}

/// Returns whether each step allows all its runs among these to be away at once.
fn are_spared<'r>(runs: impl Iterator<Item = &'r MovableRun>) -> bool {
    let runs: Vec<_> = runs.collect();
    let step = |it: &MovableRun| StepRef::of_task(it.run.task);
    runs.iter().all(|run| {
        let of_step = runs.iter().filter(|it| step(it) == step(run));
        of_step.count() <= run.spare as usize
    })
}

fn moves_of(worker: WorkerId, it: &Exchange<'_>) -> Vec<Move> {
    let partner = it.partner.worker;
    let outs = it.outs.iter().map(|run| Move { run: *run, from: worker, target: partner });
    let backs = it.backs.iter().map(|run| Move { run: *run, from: partner, target: worker });
    outs.chain(backs).collect()
}
