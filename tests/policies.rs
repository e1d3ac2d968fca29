//! The policies against their naive twins, and the properties that users count on.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use aspenrail::{
    control::state::{NO_RESOURCES, TaskTransition, add, fits, next_state, subtract},
    policy::{
        admission::{FairQueue, Rejection, WaitingRequest},
        feedback::{FeedbackAction, FeedbackLoop, TailLatencyReport},
        interference::{InterferenceModel, WorkloadHistory},
        placement::{FreeCapacityIndex, FreeVmCapacity, PlacementCost, PlacementStrategy},
        preemption::{EvictionBudget, EvictionPurpose, Victim, choose_victims},
        retry::{Ejection, RetryBudget},
        routing::{self, EndpointView},
        run_times::RunTimeEstimates,
        task_queue::{self, RankingInput, RankingRule, RunChange, TaskQueue, Tier},
    },
    prelude::*,
};
use proptest::prelude::*;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

fn resources(cpu_millicores: u32, memory_mib: u32) -> Resources {
    Resources { cpu_millicores, memory_mib, accelerators: 0 }
}

/// A cost that differs from VM to VM, and forbids some.
struct SomeCost;

impl PlacementCost for SomeCost {
    fn interference(&self, vm: VmId) -> f64 {
        if vm.0.is_multiple_of(7) { f64::INFINITY } else { f64::from(vm.0 % 3) }
    }

    fn same_job_counts(&self, room: &FreeVmCapacity) -> (u32, u32) {
        (room.zone.len() as u32 % 2, 0)
    }
}

proptest! {
    #![proptest_config(config())]

    /// The bounded search finds a place whenever few enough VMs have to be looked at, never one
    /// that does not fit, and the very one of the scan where all VMs are candidates.
    #[test]
    fn bounded_placement_agrees_with_the_scan(
        rooms in proptest::collection::vec((0_u32..9_000, 0_u32..9_000), 1..12),
        need in (1_u32..8_000, 1_u32..8_000),
        spread in any::<bool>(),
    ) {
        let mut index = FreeCapacityIndex::default();
        for (at, (cpu, memory)) in rooms.iter().enumerate() {
            let zone = format_compact!("{}", "z".repeat(at % 3 + 1));
            index.set(VmId(at as u32), Some(FreeVmCapacity { free: resources(*cpu, *memory), zone, rack: "r".into() }));
        }
        let need = resources(need.0, need.1);
        let aim = if spread { PlacementStrategy::Spread } else { PlacementStrategy::Pack };
        let chosen = index.choose(need, aim, &SomeCost);
        let by_scan = index.choose_by_scan(need, aim, &SomeCost);
        prop_assert_eq!(chosen.is_some(), by_scan.is_some());
        if let (Some(chosen), Some(by_scan)) = (chosen, by_scan) {
            prop_assert!(fits(need, index.get(chosen).unwrap().free));
            let key = |vm: VmId| (SomeCost.interference(vm).to_bits(), index.get(vm).unwrap().free.cpu_millicores);
            if aim == PlacementStrategy::Pack {
                prop_assert_eq!(key(chosen), key(by_scan));
            }
        }
    }

    /// The queue's order is that of a full sort done anew at every step.
    #[test]
    fn queue_agrees_with_a_full_sort(
        tasks in proptest::collection::vec((0_usize..3, 0_u8..4, 0_u64..50, 1_u32..2_000), 1..30),
    ) {
        let quota = resources(10_000, 10_000);
        let teams = ["a", "b", "c"];
        let mut queue = TaskQueue::default();
        teams.iter().for_each(|it| queue.set_quota(it, Some(quota)));
        let mut naive: Vec<(usize, Tier, u64, TaskId, u32)> = Vec::new();
        for (at, (team, tier, rank, cpu)) in tasks.iter().enumerate() {
            let tier = [Tier::Urgent, Tier::Service, Tier::Due, Tier::Batch][*tier as usize];
            let task = TaskId(at as u64);
            queue.insert(teams[*team], task_queue::WaitingTask { task, tier, rank: *rank, need: resources(*cpu, 1), due_ms: None });
            naive.push((*team, tier, *rank, task, *cpu));
        }
        let found: Vec<_> = queue.candidates(usize::MAX).into_iter().map(|it| it.task).collect();
        let mut running = [0_u64; 3];
        let mut expected = Vec::new();
        while !naive.is_empty() {
            let head = |team: usize| naive.iter().filter(|it| it.0 == team).map(|it| (it.1, it.2, it.3)).min();
            let started = |team: usize| expected.iter().filter(|(it, _)| *it == team).count() as u64;
            let share = |team: usize| running[team].max(started(team)) * 1_000 / 10_000;
            let next = (0..3).filter_map(|team| Some((head(team)?, team)));
            let next = next.min_by_key(|((tier, _, _), team)| (1_000 <= share(*team), *tier != Tier::Urgent, share(*team), teams[*team]));
            let ((_, _, task), team) = next.unwrap();
            let at = naive.iter().position(|it| it.3 == task).unwrap();
            running[team] += u64::from(naive.remove(at).4);
            expected.push((team, task));
        }
        prop_assert_eq!(found, expected.into_iter().map(|it| it.1).collect::<Vec<_>>());
    }

    /// Victims free enough, and none of them is needless.
    #[test]
    fn victims_are_enough_and_all_needed(
        free in 0_u32..4_000, need in 1_u32..8_000,
        held in proptest::collection::vec((1_u32..4_000, 0_u64..10_000, any::<bool>()), 0..8),
    ) {
        let victims: Vec<_> = held.iter().enumerate().map(|(at, (cpu, lost_ms, exceeds_quota))| Victim {
            task: TaskId(at as u64), resources: resources(*cpu, 0), lost_run_ms: *lost_ms, exceeds_quota: *exceeds_quota,
        }).collect();
        let (need, free) = (resources(need, 0), resources(free, 0));
        let all = victims.iter().map(|it| it.resources).fold(free, add);
        match choose_victims(need, free, &victims) {
            None => prop_assert!(!fits(need, all)),
            Some((chosen, lost_ms)) => {
                let of = |without: Option<TaskId>| {
                    let kept = victims.iter().filter(|it| chosen.contains(&it.task) && Some(it.task) != without);
                    kept.map(|it| it.resources).fold(free, add)
                };
                prop_assert!(fits(need, of(None)));
                prop_assert!(chosen.iter().all(|it| !fits(need, of(Some(*it)))), "{:?}", chosen);
                let sum: u64 = victims.iter().filter(|it| chosen.contains(&it.task)).map(|it| it.lost_run_ms).sum();
                prop_assert_eq!(lost_ms, sum);
            }
        }
    }

    /// Whatever arrives, no team gets more than one turn ahead of another that waits.
    #[test]
    fn waiting_teams_take_turns(pushes in proptest::collection::vec(0_usize..3, 1..60)) {
        let teams = ["a", "b", "c"];
        let mut queue = FairQueue::new();
        let mut waiting = BTreeMap::new();
        for (at, team) in pushes.iter().enumerate() {
            queue.push(teams[*team], WaitingRequest { key: (at, *team), deadline_ms: 0 }, usize::MAX).unwrap();
            *waiting.entry(*team).or_insert(0) += 1;
        }
        let mut served: BTreeMap<usize, i64> = waiting.keys().map(|it| (*it, 0)).collect();
        while let Some(it) = queue.pop() {
            let team = it.key.1;
            *served.get_mut(&team).unwrap() += 1;
            *waiting.get_mut(&team).unwrap() -= 1;
            for (other, left) in &waiting {
                prop_assert!(*left == 0 || served[&team] - served[other] <= 1);
            }
        }
        prop_assert!(waiting.values().all(|it| *it == 0));
    }

    /// The ledger's arithmetic: what is taken and given back leaves nothing behind.
    #[test]
    fn reservations_add_up(parts in proptest::collection::vec((0_u32..1_000, 0_u32..1_000), 0..20)) {
        let parts: Vec<_> = parts.into_iter().map(|(cpu, memory)| resources(cpu, memory)).collect();
        let sum = parts.iter().copied().fold(NO_RESOURCES, add);
        prop_assert_eq!(parts.iter().copied().fold(sum, subtract), NO_RESOURCES);
    }
}

/// The table of task states against the rules it has to keep, for every state and step.
#[test]
fn every_transition_keeps_the_rules() {
    use TaskState::*;
    let states = [
        Queued,
        Starting,
        Running,
        Checkpointing,
        Evicted,
        Resuming,
        Stopping,
        Completed,
        Cancelled,
        DeadLetter,
    ];
    for state in states {
        for transition in aspenrail::control::state::TASK_TRANSITIONS {
            for has_checkpoint in [false, true] {
                let Some(next) = next_state(state, *transition, has_checkpoint) else { continue };
                assert!(!state.is_final(), "{state} is final, and took {transition:?}");
                assert!(
                    *transition == TaskTransition::Start
                        || !(state.is_waiting() && next.holds_resources()),
                    "{state} {transition:?}"
                );
                assert!(
                    *transition != TaskTransition::Completed || next == Completed,
                    "a completion is never lost"
                );
                assert!(state != Stopping || next.is_final(), "what is cancelled never runs again");
                assert!(
                    !next.is_waiting() || (next == Evicted) == has_checkpoint,
                    "{state} {transition:?} {next}"
                );
            }
        }
        let can_end = aspenrail::control::state::TASK_TRANSITIONS
            .iter()
            .any(|it| next_state(state, *it, false).is_some());
        assert!(state.is_final() || can_end, "{state} is a dead end");
    }
}

#[test]
fn full_queue_costs_the_team_that_fills_it() {
    let mut queue = FairQueue::new();
    for at in 0..4 {
        queue.push("noisy", WaitingRequest { key: at, deadline_ms: 0 }, 4).unwrap();
    }
    assert_eq!(
        queue.push("noisy", WaitingRequest { key: 9, deadline_ms: 0 }, 4),
        Err(Rejection::TeamShareExceeded)
    );
    let displaced = queue.push("quiet", WaitingRequest { key: 5, deadline_ms: 0 }, 4).unwrap();
    assert_eq!(displaced.map(|it| it.key), Some(3), "the newest of the noisy team");
    assert_eq!(queue.len(), 4);
}

#[test]
fn run_times_are_corrected_both_ways() {
    let mut times = RunTimeEstimates::default();
    for _ in 0..30 {
        times.observe("t", "over", 10_000, 1_000);
        times.observe("t", "under", 1_000, 10_000);
    }
    let over = times.expected_run_ms("t", "over", 20_000);
    let under = times.expected_run_ms("t", "under", 2_000);
    assert!((1_800..2_200).contains(&over), "{over}");
    assert!((18_000..22_000).contains(&under), "{under}");
    assert_eq!(times.expected_run_ms("t", "new", 500), 500);
}

#[test]
fn kinds_that_callers_make_up_are_bounded() {
    let mut times = RunTimeEstimates::default();
    for kind in 0..12_000 {
        for _ in 0..6 {
            times.observe("t", &format!("kind-{kind}"), 10, 1_000);
        }
    }
    assert!(10 < times.expected_run_ms("t", "kind-9", 10), "the first ones are kept");
    assert_eq!(times.expected_run_ms("t", "kind-11999", 10), 10);
}

#[test]
fn harm_is_credited_to_what_ran_then() {
    let (mut past, mut interference_model) =
        (WorkloadHistory::default(), InterferenceModel::default());
    let noisy = vec![(CompactString::from("noisy"), 0.5)];
    let calm = vec![(CompactString::from("calm"), 0.5)];
    // The reports lag by 2 s; by then the neighbour has changed.
    for round in 0..40_u64 {
        let begun_ms = round * 4_000;
        past.record(VmId(1), begun_ms, noisy.clone());
        past.record(VmId(1), begun_ms + 2_000, calm.clone());
        interference_model.observe("quick", 30.0, past.kinds_at(VmId(1), begun_ms + 1_000));
        interference_model.observe("quick", 10.0, past.kinds_at(VmId(1), begun_ms + 3_000));
    }
    assert!(
        interference_model.added_slowdown("quick", "noisy") > 1.5,
        "{}",
        interference_model.added_slowdown("quick", "noisy")
    );
    assert!(
        interference_model.added_slowdown("quick", "calm") < 0.5,
        "{}",
        interference_model.added_slowdown("quick", "calm")
    );
}

/// Noisy tasks come for twenty reports and go for twenty: they are throttled once they are seen,
/// let go when they fit, and the VM opens again after each wave.
#[test]
fn noisy_tasks_arrive_in_waves() {
    let mut feedback = FeedbackLoop::default();
    let (mut throttles, mut opened) = (0, 0);
    for second in 0..200_u64 {
        let is_noisy = (second / 20) % 2 == 0;
        let throttled = feedback.throttled().is_some();
        let tail_ms = match (is_noisy, throttled) {
            (true, false) => 90,
            (true, true) => 40,
            (false, _) => 20,
        };
        let unthrottled_tail_ms = if is_noisy && throttled { 90 } else { tail_ms };
        let report =
            TailLatencyReport { tail_ms, unthrottled_tail_ms, target_ms: 50, report_age_ms: 1_000 };
        let was_closed = feedback.is_closed_to_batch();
        let action = feedback.observe(second * 1_000, report, Some(TaskId(1)));
        throttles += u32::from(matches!(action, FeedbackAction::Throttle { .. }));
        opened += u32::from(was_closed && !feedback.is_closed_to_batch());
        assert!(!matches!(action, FeedbackAction::Move { .. }), "a throttle is enough here");
    }
    assert_eq!((throttles, opened), (5, 5), "one step each way for each of five waves");
}

#[test]
fn feedback_does_not_oscillate_under_lag() {
    let mut feedback = FeedbackLoop::default();
    let task = TaskId(1);
    let mut actions = Vec::new();
    // Reports every second tell of 5 s ago: the tail stays high for 5 s after the throttle.
    for second in 0..60_u64 {
        let tail_ms = if second < 7 { 100 } else { 45 };
        let action = {
            let report = TailLatencyReport {
                tail_ms,
                unthrottled_tail_ms: tail_ms + 10,
                target_ms: 50,
                report_age_ms: 5_000,
            };
            feedback.observe(second * 1_000, report, Some(task))
        };
        if action != FeedbackAction::None {
            actions.push((second, action));
        }
    }
    assert_eq!(
        actions.len(),
        1,
        "one step, and the gap between low and target holds it: {actions:?}"
    );
    assert!(matches!(actions[0].1, FeedbackAction::Throttle { .. }));
    assert!(feedback.is_closed_to_batch());
}

fn try_take(
    budget: &mut EvictionBudget,
    per_hour: u32,
    now_ms: u64,
    purpose: EvictionPurpose,
) -> bool {
    let allowed = budget.allows(per_hour, now_ms, purpose, 1);
    if allowed {
        budget.spend(1);
    }
    allowed
}

/// Asking for more than is left spends nothing; before, each vain try of several did.
#[test]
fn refused_evictions_cost_nothing() {
    let mut budget = EvictionBudget::new(40, 0);
    for _ in 0..100 {
        assert!(!budget.allows(40, 0, EvictionPurpose::UrgentStart, 11));
    }
    assert!(budget.allows(40, 0, EvictionPurpose::UrgentStart, 10));
}

#[test]
fn eviction_budget_is_kept_over_an_hour() {
    let mut budget = EvictionBudget::new(12, 0);
    let taken = (0..3_600)
        .filter(|second| try_take(&mut budget, 12, second * 1_000, EvictionPurpose::UrgentStart))
        .count();
    assert!((12..=15).contains(&taken), "{taken}");
}

#[test]
fn relief_leaves_evictions_to_urgent_starts() {
    let mut budget = EvictionBudget::new(80, 0);
    let relief =
        (0..100).filter(|_| try_take(&mut budget, 80, 0, EvictionPurpose::LatencyRelief)).count();
    let urgent =
        (0..100).filter(|_| try_take(&mut budget, 80, 0, EvictionPurpose::UrgentStart)).count();
    assert_eq!((relief, urgent), (10, 10));
}

#[test]
fn retries_stay_a_part_of_the_answers() {
    let mut budget = RetryBudget::new(200);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.earn();
        retries += usize::from(budget.try_spend());
    }
    assert!((200..=211).contains(&retries), "{retries}");
}

#[test]
fn ejections_never_empty_the_set_and_are_probed() {
    let mut it = Ejection::default();
    for _ in 0..20 {
        it.note_failure(0, 500);
    }
    assert!(it.admits(0), "half of the others are out already");
    it.note_failure(0, 0);
    assert!(!it.admits(0));
    assert!(it.admits(1_000));
    it.note_sent();
    assert!(!it.admits(1_000), "one probe at a time");
    it.note_failure(1_000, 0);
    assert!(!it.admits(2_500), "a failed probe doubles the time");
    assert!(it.admits(3_000));
    it.note_sent();
    it.note_success();
    assert!(it.admits(3_000));
}

#[yare::parameterized(
    own_zone_first = { EndpointView { same_zone: true, ..VIEW }, VIEW },
    other_zone_if_much_faster = { EndpointView { answer_ms: 5.0, ..VIEW }, EndpointView { same_zone: true, answer_ms: 30.0, ..VIEW } },
    least_in_flight = { VIEW, EndpointView { own_in_flight: 4, ..VIEW } },
    fresh_report_counts = { VIEW, EndpointView { reported_in_flight: 16, ..VIEW } },
    old_report_fades = { EndpointView { reported_in_flight: 16, report_age_ms: 5_000, ..VIEW }, EndpointView { own_in_flight: 4, ..VIEW } },
)]
fn better_endpoint_is_chosen(better: EndpointView, worse: EndpointView) {
    assert_eq!(routing::index_of_best(&[worse, better]), Some(1));
    assert_eq!(routing::index_of_best(&[better, worse]), Some(0));
}

const VIEW: EndpointView = EndpointView {
    slots: 8,
    own_in_flight: 0,
    reported_in_flight: 0,
    report_age_ms: 0,
    answer_ms: 10.0,
    same_zone: false,
};

#[yare::parameterized(
    fifo = { RankingRule::Fifo, 1 },
    shortest = { RankingRule::ShortestRemaining, 2 },
    remaining_times_size = { RankingRule::RemainingTimesSize, 2 },
    least_attained = { RankingRule::LeastAttained, 1 },
)]
fn rule_ranks_a_long_old_task_and_a_short_new_one(rule: RankingRule, first: u64) {
    let old = RankingInput { size_ms: 100_000, attained_ms: 0, accepted_ms: 1 };
    let new = RankingInput { size_ms: 1_000, attained_ms: 500, accepted_ms: 2 };
    let found = if task_queue::rank(rule, old) < task_queue::rank(rule, new) { 1 } else { 2 };
    assert_eq!(found, first);
}

#[test]
fn quota_is_given_back_when_its_owner_comes() {
    let mut queue = TaskQueue::default();
    queue.set_quota("owner", Some(resources(1_000, 1_000)));
    queue.set_quota("borrower", Some(resources(1_000, 1_000)));
    for at in 0..4 {
        let waiting = task_queue::WaitingTask {
            task: TaskId(at),
            tier: Tier::Batch,
            rank: at,
            need: resources(500, 1),
            due_ms: None,
        };
        queue.insert("borrower", waiting);
    }
    let borrowed: Vec<_> = queue.candidates(9).iter().map(|it| it.exceeds_quota).collect();
    assert_eq!(borrowed, [false, false, true, true]);
    (0..4).for_each(|_| queue.record_run_change("borrower", resources(500, 1), RunChange::Started));
    let waiting = task_queue::WaitingTask {
        task: TaskId(9),
        tier: Tier::Batch,
        rank: 99,
        need: resources(500, 1),
        due_ms: None,
    };
    queue.insert("owner", waiting);
    assert_eq!(queue.candidates(1)[0].task, TaskId(9), "who is below its quota goes first");
}
