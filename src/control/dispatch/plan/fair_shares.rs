//! Orders the candidates by fair shares while the capacity of their service is scarce.

use std::collections::{BTreeMap, HashMap};

use crate::{
    control::{
        dispatch::plan::{Candidate, builder::PlanBuilder, candidates::tasks_core_ms},
        state::Workflows,
    },
    policy::shares::{Amounts, CallerShare, ShareCandidate, Turns, order},
    prelude::*,
};

/// Time without waiting work after which capacity is no longer scarce. Tasks end and begin in
/// moments of a plan or two in which none waits.
const SCARCE_UNTIL_MS: u64 = 1_000;

/// Maximum number of callers in a log line.
const LOGGED_CALLERS_MAX: usize = 8;

/// The services where capacity is scarce.
///
/// A new leader finds out by its first plan; the turns that are lost with this leader matter for
/// seconds.
#[derive(Debug, Default)]
pub(in crate::control::dispatch) struct FairShares {
    scarce: BTreeMap<CompactString, Scarcity>,
}

/// A service with work that waits for capacity.
#[derive(Debug, Default)]
struct Scarcity {
    since_ms: u64,
    waited_at_ms: u64,
    turns: HashMap<Caller, Turns>,
}

/// The callers of some candidates, each with a position.
#[derive(Default)]
struct Callers {
    positions: HashMap<Caller, usize>,
    shares: Vec<CallerShare>,
}

impl FairShares {
    /// Orders the candidates of services with scarce capacity. Those of other services, and
    /// long-running steps, stay where they are.
    pub(super) fn order(&self, workflows: &Workflows, candidates: &mut [Candidate<'_>], now: Now) {
        for (service, scarcity) in &self.scarce {
            let is_of_service =
                |it: &Candidate<'_>| !it.is_long_running() && it.queue.service == *service;
            let places: Vec<_> =
                (0..candidates.len()).filter(|it| is_of_service(&candidates[*it])).collect();
            let mut callers = Callers::default();
            let inputs: Vec<_> = places
                .iter()
                .filter_map(|it| callers.input(workflows, scarcity, &candidates[*it], now))
                .collect();
            // A candidate has a workflow and a step, so each gives an input.
            if inputs.len() != places.len() {
                continue;
            }
            let ordered = order(&inputs, &callers.shares, capacity_of(workflows, service));
            let ordered: Vec<_> = ordered.iter().map(|it| candidates[places[*it]]).collect();
            places.iter().zip(ordered).for_each(|(place, it)| candidates[*place] = it);
        }
    }

    /// Notes which services have work that this plan could not place.
    pub(super) fn note_plan(
        &mut self,
        workflows: &Workflows,
        candidates: &[Candidate<'_>],
        builder: &PlanBuilder<'_, '_>,
        now: Now,
    ) {
        let mut placed: HashMap<StepRef, u64> = HashMap::new();
        builder
            .runs()
            .iter()
            .for_each(|it| *placed.entry(StepRef::of_task(it.run.task)).or_default() += 1);
        for it in candidates.iter().filter(|it| !it.is_long_running()) {
            let placed = placed.get(&it.step_ref).copied().unwrap_or(0);
            let scarcity = self.scarce.get_mut(&it.queue.service);
            // One step that waits is enough to know.
            let is_noted = scarcity.as_ref().is_some_and(|it| it.waited_at_ms == now.mono_ms);
            if let Some(scarcity) = scarcity.filter(|_| 0 < placed) {
                scarcity.note_begun(workflows, it, placed, now);
            }
            if !is_noted && placed < it.waiting_tasks() {
                self.note_waiting(workflows, &it.queue.service, now);
            }
        }
    }

    /// Ends scarcity where nothing has waited for some time.
    pub(super) fn end_scarcity(&mut self, workflows: &Workflows, now: Now) {
        self.scarce.retain(|service, it| {
            let lasts = now.mono_ms < it.waited_at_ms + SCARCE_UNTIL_MS;
            if !lasts {
                let shares = shares_for_log(workflows, service, now);
                let lasted_ms = now.mono_ms - it.since_ms;
                tracing::info!(event = "scarcity_ended", service = %service, lasted_ms, shares = %shares);
            }
            lasts
        });
    }

    fn note_waiting(&mut self, workflows: &Workflows, service: &CompactString, now: Now) {
        if let Some(it) = self.scarce.get_mut(service) {
            it.waited_at_ms = now.mono_ms;
            return;
        }
        let shares = shares_for_log(workflows, service, now);
        tracing::info!(event = "scarcity_began", service = %service, shares = %shares);
        let (since_ms, waited_at_ms) = (now.mono_ms, now.mono_ms);
        let turns = HashMap::new();
        self.scarce.insert(service.clone(), Scarcity { since_ms, waited_at_ms, turns });
    }
}

impl Scarcity {
    fn note_begun(&mut self, workflows: &Workflows, it: &Candidate<'_>, tasks: u64, now: Now) {
        let Some(caller) = workflows.caller_of(it.step_ref.workflow) else { return };
        let Some(step) = it.step() else { return };
        let standing = it.objective.wait(now.wall_ms).standing();
        self.turns.entry(caller).or_default().note(standing, tasks_core_ms(step, tasks));
    }
}

impl Callers {
    fn input(
        &mut self,
        workflows: &Workflows,
        scarcity: &Scarcity,
        it: &Candidate<'_>,
        now: Now,
    ) -> Option<ShareCandidate> {
        let caller = workflows.caller_of(it.step_ref.workflow)?;
        Some(ShareCandidate {
            priority: it.queue.priority,
            caller: self.position(workflows, scarcity, caller, now),
            wait: it.objective.wait(now.wall_ms),
            work_core_ms: it.work_core_ms,
            size_core_ms: it.size_core_ms,
            demand: Amounts::of_tasks(it.step()?.need, it.tasks_left()),
        })
    }

    fn position(
        &mut self,
        workflows: &Workflows,
        scarcity: &Scarcity,
        caller: Caller,
        now: Now,
    ) -> usize {
        if let Some(position) = self.positions.get(&caller) {
            return *position;
        }
        let usage = workflows.demand().usage();
        self.shares.push(CallerShare {
            held: usage.held(&caller),
            lately: usage.average(&caller, now.wall_ms),
            turns: scarcity.turns.get(&caller).copied().unwrap_or_default(),
        });
        self.positions.insert(caller, self.shares.len() - 1);
        self.shares.len() - 1
    }
}

/// Returns the capacity of all workers of a service.
fn capacity_of(workflows: &Workflows, service: &str) -> Amounts {
    let workers = workflows.workers().iter().filter(|(_, it)| it.service == service);
    workers.map(|(_, it)| Amounts::of_tasks(it.capacity, 1)).fold(Amounts::default(), Amounts::plus)
}

/// Returns the largest shares of callers, in percent.
fn shares_for_log(workflows: &Workflows, service: &str, now: Now) -> CompactString {
    let totals = capacity_of(workflows, service);
    let usage = workflows.demand().usage();
    let is_of_service =
        |it: &&Caller| workflows.queue(&it.queue).is_some_and(|it| it.service == service);
    let share = |it: &Caller| {
        let (held, lately) = (usage.held(it), usage.average(it, now.wall_ms));
        (CallerShare { held, lately, turns: Turns::default() }.share(totals), it.clone())
    };
    let mut shares: Vec<_> = usage.callers().filter(is_of_service).map(share).collect();
    shares.sort_unstable_by(|a, b| b.cmp(a));
    let to_text = |(share, it): &(u64, Caller)| {
        format_compact!("{}/{}:{}%", it.queue, it.zone, share / 10_000_000)
    };
    let texts: Vec<_> = shares.iter().take(LOGGED_CALLERS_MAX).map(to_text).collect();
    texts.join(" ").into()
}
