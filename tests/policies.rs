//! Compares the policies with simple reference implementations, and checks properties that users rely
//! on.
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

/// A cost that differs between VMs and excludes some.
struct SomeCost;

impl PlacementCost for SomeCost {
    fn interference(&self, vm: VmId) -> f64 {
        if vm.0.is_multiple_of(7) { f64::INFINITY } else { f64::from(vm.0 % 3) }
    }

    fn same_job_counts(&self, vm: &FreeVmCapacity) -> (u32, u32) {
        (vm.zone.len() as u32 % 2, 0)
    }
}

proptest! {
    #![proptest_config(config())]

    /// The bounded search finds a fitting VM whenever few enough VMs have to be visited. When all
    /// VMs are candidates, packing finds one of the same cost as the full scan.
    #[test]
    fn bounded_placement_agrees_with_the_scan(
        free_by_vm in proptest::collection::vec((0_u32..9_000, 0_u32..9_000), 1..12),
        need in (1_u32..8_000, 1_u32..8_000),
        spread in any::<bool>(),
    ) {
        let mut index = FreeCapacityIndex::default();
        for (vm_index, (cpu, memory)) in free_by_vm.iter().enumerate() {
            let zone = format_compact!("{}", "z".repeat(vm_index % 3 + 1));
            index.set(VmId(vm_index as u32), Some(FreeVmCapacity { free: resources(*cpu, *memory), zone, rack: "r".into() }));
        }
        let need = resources(need.0, need.1);
        let strategy = if spread { PlacementStrategy::Spread } else { PlacementStrategy::Pack };
        let chosen = index.choose(need, strategy, &SomeCost);
        let by_scan = index.choose_by_scan(need, strategy, &SomeCost);
        prop_assert_eq!(chosen.is_some(), by_scan.is_some());
        if let (Some(chosen), Some(by_scan)) = (chosen, by_scan) {
            prop_assert!(fits(need, index.get(chosen).unwrap().free));
            let key = |vm: VmId| (SomeCost.interference(vm).to_bits(), index.get(vm).unwrap().free.cpu_millicores);
            if strategy == PlacementStrategy::Pack {
                prop_assert_eq!(key(chosen), key(by_scan));
            }
        }
    }

    /// The queue's order equals that of a full sort repeated at every step.
    #[test]
    fn queue_agrees_with_a_full_sort(
        tasks in proptest::collection::vec((0_usize..3, 0_u8..4, 0_u64..50, 1_u32..2_000), 1..30),
    ) {
        let quota = resources(10_000, 10_000);
        let teams = ["a", "b", "c"];
        let mut queue = TaskQueue::default();
        teams.iter().for_each(|it| queue.set_quota(it, Some(quota)));
        let mut reference: Vec<(usize, Tier, u64, TaskId, u32)> = Vec::new();
        for (task_index, (team, tier, rank, cpu)) in tasks.iter().enumerate() {
            let tier = [Tier::Urgent, Tier::Service, Tier::Due, Tier::Batch][*tier as usize];
            let task = TaskId(task_index as u64);
            queue.insert(teams[*team], task_queue::WaitingTask { task, tier, rank: *rank, need: resources(*cpu, 1), due_ms: None });
            reference.push((*team, tier, *rank, task, *cpu));
        }
        let queue_order: Vec<_> = queue.candidates(usize::MAX).into_iter().map(|it| it.task).collect();
        let mut running = [0_u64; 3];
        let mut expected = Vec::new();
        while !reference.is_empty() {
            let head = |team: usize| reference.iter().filter(|it| it.0 == team).map(|it| (it.1, it.2, it.3)).min();
            let started = |team: usize| expected.iter().filter(|(it, _)| *it == team).count() as u64;
            let share = |team: usize| running[team].max(started(team)) * 1_000 / 10_000;
            let next = (0..3).filter_map(|team| Some((head(team)?, team)));
            let next = next.min_by_key(|((tier, _, _), team)| (1_000 <= share(*team), *tier != Tier::Urgent, share(*team), teams[*team]));
            let ((_, _, task), team) = next.unwrap();
            let position = reference.iter().position(|it| it.3 == task).unwrap();
            running[team] += u64::from(reference.remove(position).4);
            expected.push((team, task));
        }
        prop_assert_eq!(queue_order, expected.into_iter().map(|it| it.1).collect::<Vec<_>>());
    }

    /// The victims free enough resources, and each of them is needed.
    #[test]
    fn victims_are_enough_and_all_needed(
        free in 0_u32..4_000, need in 1_u32..8_000,
        running_tasks in proptest::collection::vec((1_u32..4_000, 0_u64..10_000, any::<bool>()), 0..8),
    ) {
        let victims: Vec<_> = running_tasks.iter().enumerate().map(|(task_index, (cpu, lost_ms, exceeds_quota))| Victim {
            task: TaskId(task_index as u64), resources: resources(*cpu, 0), lost_run_ms: *lost_ms, exceeds_quota: *exceeds_quota,
        }).collect();
        let (need, free) = (resources(need, 0), resources(free, 0));
        let all = victims.iter().map(|it| it.resources).fold(free, add);
        match choose_victims(need, free, &victims) {
            None => prop_assert!(!fits(need, all)),
            Some((chosen, lost_ms)) => {
                let freed_without = |without: Option<TaskId>| {
                    let kept = victims.iter().filter(|it| chosen.contains(&it.task) && Some(it.task) != without);
                    kept.map(|it| it.resources).fold(free, add)
                };
                prop_assert!(fits(need, freed_without(None)));
                prop_assert!(chosen.iter().all(|it| !fits(need, freed_without(Some(*it)))), "{:?}", chosen);
                let sum: u64 = victims.iter().filter(|it| chosen.contains(&it.task)).map(|it| it.lost_run_ms).sum();
                prop_assert_eq!(lost_ms, sum);
            }
        }
    }

    /// While another team waits, no team is served more than one turn ahead of it.
    #[test]
    fn waiting_teams_take_turns(pushes in proptest::collection::vec(0_usize..3, 1..60)) {
        let teams = ["a", "b", "c"];
        let mut queue = FairQueue::new();
        let mut waiting = BTreeMap::new();
        for (request_index, team) in pushes.iter().enumerate() {
            queue.push(teams[*team], WaitingRequest { key: (request_index, *team), deadline_ms: 0 }, usize::MAX).unwrap();
            *waiting.entry(*team).or_insert(0) += 1;
        }
        let mut served: BTreeMap<usize, i64> = waiting.keys().map(|it| (*it, 0)).collect();
        while let Some(it) = queue.pop() {
            let team = it.key.1;
            *served.get_mut(&team).unwrap() += 1;
            *waiting.get_mut(&team).unwrap() -= 1;
            for (other, requests_left) in &waiting {
                prop_assert!(*requests_left == 0 || served[&team] - served[other] <= 1);
            }
        }
        prop_assert!(waiting.values().all(|it| *it == 0));
    }

    /// Reservations that are added and subtracted again leave no remainder.
    #[test]
    fn reservations_add_up(parts in proptest::collection::vec((0_u32..1_000, 0_u32..1_000), 0..20)) {
        let parts: Vec<_> = parts.into_iter().map(|(cpu, memory)| resources(cpu, memory)).collect();
        let sum = parts.iter().copied().fold(NO_RESOURCES, add);
        prop_assert_eq!(parts.iter().copied().fold(sum, subtract), NO_RESOURCES);
    }
}

/// Checks the task state table against its invariants, for every state and transition.
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
                assert!(!state.is_final(), "{state} is final but accepts {transition:?}");
                assert!(
                    *transition == TaskTransition::Start
                        || !(state.is_waiting() && next.holds_resources()),
                    "{state} {transition:?}"
                );
                assert!(
                    *transition != TaskTransition::Completed || next == Completed,
                    "a completion must lead to Completed"
                );
                assert!(
                    state != Stopping || next.is_final(),
                    "a task being cancelled must not run again"
                );
                assert!(
                    !next.is_waiting() || (next == Evicted) == has_checkpoint,
                    "{state} {transition:?} {next}"
                );
            }
        }
        let can_end = aspenrail::control::state::TASK_TRANSITIONS
            .iter()
            .any(|it| next_state(state, *it, false).is_some());
        assert!(state.is_final() || can_end, "{state} has no transition and is not final");
    }
}

#[test]
fn full_queue_costs_the_team_that_fills_it() {
    let mut queue = FairQueue::new();
    for request in 0..4 {
        queue.push("noisy", WaitingRequest { key: request, deadline_ms: 0 }, 4).unwrap();
    }
    assert_eq!(
        queue.push("noisy", WaitingRequest { key: 9, deadline_ms: 0 }, 4),
        Err(Rejection::TeamShareExceeded)
    );
    let displaced = queue.push("quiet", WaitingRequest { key: 5, deadline_ms: 0 }, 4).unwrap();
    assert_eq!(
        displaced.map(|it| it.key),
        Some(3),
        "the newest request of the noisy team is displaced"
    );
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
    assert!(10 < times.expected_run_ms("t", "kind-9", 10), "the first kinds are kept");
    assert_eq!(times.expected_run_ms("t", "kind-11999", 10), 10);
}

#[test]
fn harm_is_credited_to_what_ran_then() {
    let (mut history, mut interference_model) =
        (WorkloadHistory::default(), InterferenceModel::default());
    let noisy = vec![(CompactString::from("noisy"), 0.5)];
    let calm = vec![(CompactString::from("calm"), 0.5)];
    // Reports are 2 s old; the neighbouring task has changed since.
    for round in 0..40_u64 {
        let round_start_ms = round * 4_000;
        history.record(VmId(1), round_start_ms, noisy.clone());
        history.record(VmId(1), round_start_ms + 2_000, calm.clone());
        interference_model.observe(
            "quick",
            30.0,
            history.kinds_at(VmId(1), round_start_ms + 1_000),
        );
        interference_model.observe(
            "quick",
            10.0,
            history.kinds_at(VmId(1), round_start_ms + 3_000),
        );
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

/// Noisy tasks run for twenty reports and pause for twenty. They are throttled once they are
/// detected, released when they fit, and the VM accepts batch work again after each wave.
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
        assert!(!matches!(action, FeedbackAction::Move { .. }), "throttling is sufficient here");
    }
    assert_eq!(
        (throttles, opened),
        (5, 5),
        "one throttle and one reopening per wave, for five waves"
    );
}

#[test]
fn feedback_does_not_oscillate_under_lag() {
    let mut feedback = FeedbackLoop::default();
    let task = TaskId(1);
    let mut actions = Vec::new();
    // Reports arrive every second and are 5 s old: the tail latency stays high for 5 s after the
    // throttle.
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
        "one throttle, kept while the tail is between the low mark and the target: {actions:?}"
    );
    assert!(matches!(actions[0].1, FeedbackAction::Throttle { .. }));
    assert!(feedback.is_closed_to_batch());
}

fn try_evict(
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

/// A refused request for several evictions must not spend part of the budget.
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
    let granted = (0..3_600)
        .filter(|second| try_evict(&mut budget, 12, second * 1_000, EvictionPurpose::UrgentStart))
        .count();
    assert!((12..=15).contains(&granted), "{granted}");
}

#[test]
fn relief_leaves_evictions_to_urgent_starts() {
    let mut budget = EvictionBudget::new(80, 0);
    let relief =
        (0..100).filter(|_| try_evict(&mut budget, 80, 0, EvictionPurpose::LatencyRelief)).count();
    let urgent =
        (0..100).filter(|_| try_evict(&mut budget, 80, 0, EvictionPurpose::UrgentStart)).count();
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
    let mut ejection = Ejection::default();
    for _ in 0..20 {
        ejection.note_failure(0, 500);
    }
    assert!(ejection.admits(0), "half of the other endpoints are ejected already");
    ejection.note_failure(0, 0);
    assert!(!ejection.admits(0));
    assert!(ejection.admits(1_000));
    ejection.note_sent();
    assert!(!ejection.admits(1_000), "one probe at a time");
    ejection.note_failure(1_000, 0);
    assert!(!ejection.admits(2_500), "a failed probe doubles the ejection time");
    assert!(ejection.admits(3_000));
    ejection.note_sent();
    ejection.note_success();
    assert!(ejection.admits(3_000));
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
    let ranked_first =
        if task_queue::rank(rule, old) < task_queue::rank(rule, new) { 1 } else { 2 };
    assert_eq!(ranked_first, first);
}

#[test]
fn quota_is_given_back_when_its_owner_comes() {
    let mut queue = TaskQueue::default();
    queue.set_quota("owner", Some(resources(1_000, 1_000)));
    queue.set_quota("borrower", Some(resources(1_000, 1_000)));
    for task_id in 0..4 {
        let waiting = task_queue::WaitingTask {
            task: TaskId(task_id),
            tier: Tier::Batch,
            rank: task_id,
            need: resources(500, 1),
            due_ms: None,
        };
        queue.insert("borrower", waiting);
    }
    let exceeds_quota: Vec<_> = queue.candidates(9).iter().map(|it| it.exceeds_quota).collect();
    assert_eq!(exceeds_quota, [false, false, true, true]);
    (0..4).for_each(|_| queue.record_run_change("borrower", resources(500, 1), RunChange::Started));
    let waiting = task_queue::WaitingTask {
        task: TaskId(9),
        tier: Tier::Batch,
        rank: 99,
        need: resources(500, 1),
        due_ms: None,
    };
    queue.insert("owner", waiting);
    assert_eq!(queue.candidates(1)[0].task, TaskId(9), "a team below its quota goes first");
}
