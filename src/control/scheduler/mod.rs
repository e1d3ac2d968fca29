//! The leader's task scheduler: indexes over the replicated state, and the plans made from them.
//!
//! A state change updates the indexes in logarithmic time, and a plan examines a bounded number of
//! tasks and VMs. The state checks every start again when it applies it, so a plan made from
//! outdated indexes can be rejected but never overcommits a VM.

mod costs;
mod mitigation;
mod placed_tasks;
mod reserve;
mod urgent;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use crate::{
    control::scheduler::{
        costs::Costs,
        placed_tasks::{PlacedTask, PlacedTasks},
        reserve::UrgentReserve,
    },
    control::state::{Change, State, Task, Vm, subtract},
    policy::{
        feedback::{self},
        interference::{InterferenceModel, WorkloadHistory},
        placement::{FreeCapacityIndex, FreeVmCapacity, PlacementStrategy},
        preemption::EvictionBudget,
        run_times::RunTimeEstimates,
        task_queue::{
            self, RankingInput, RankingRule, RunChange, StartCandidate, TaskQueue, Tier,
            WaitingTask,
        },
    },
    prelude::*,
};

/// Waiting tasks considered in one plan.
const CANDIDATES_PER_PLAN: usize = 128;

/// VMs searched for eviction victims for one urgent start.
const VICTIM_VMS_MAX: usize = 48;

/// Plans are made at least this often, since due times reorder waiting tasks without a state
/// change.
const REPLAN_INTERVAL_MS: u64 = 500;

/// How long capacity freed for an urgent task stays reserved for it.
const RESERVATION_MS: u64 = 8_000;

/// Time after which a start is proposed again if it was not applied.
const PROPOSED_START_MS: u64 = 2_000;

/// Limits from the settings, and features that experiments can switch off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SchedulerOptions {
    pub rule: RankingRule,
    pub task_failures_max: u32,
    pub vm_failures_max: u32,
    pub quarantine_ms: u64,
    pub corrects_run_times: bool,
    pub learns_interference: bool,
    pub preempts: bool,
    pub uses_feedback: bool,
    pub keeps_urgent_reserve: bool,
}

impl Default for SchedulerOptions {
    fn default() -> SchedulerOptions {
        SchedulerOptions {
            rule: RankingRule::default(),
            task_failures_max: 3,
            vm_failures_max: 3,
            quarantine_ms: 60_000,
            corrects_run_times: true,
            learns_interference: true,
            preempts: true,
            uses_feedback: true,
            keeps_urgent_reserve: true,
        }
    }
}

/// Commands that the scheduler asks the leader to propose.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    pub starts: Vec<StartCommand>,
    pub events: Vec<TaskEventCommand>,
    pub vm_flags: Vec<VmFlagsCommand>,
}

/// Capacity reserved for a proposed start, or for a start that is still to come.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    vm: VmId,
    need: Resources,
    until_ms: u64,
    /// Whether a start with it is proposed and not applied yet.
    is_start_proposed: bool,
}

/// The scheduler of one leader's term.
#[derive(Debug)]
pub struct Scheduler {
    options: SchedulerOptions,
    queue: TaskQueue,
    free_capacity_index: FreeCapacityIndex,
    run_times: RunTimeEstimates,
    interference_model: InterferenceModel,
    workload_history: WorkloadHistory,
    feedback_loops: HashMap<VmId, feedback::FeedbackLoop>,
    /// Classes with endpoints on each VM, from its agent's last report.
    services: HashMap<VmId, Vec<CompactString>>,
    placed_tasks: PlacedTasks,
    urgent_reserve: UrgentReserve,
    /// Resources of urgent tasks that arrived since the last update of the urgent reserve.
    urgent_arrivals: Vec<Resources>,
    reservations: BTreeMap<TaskId, Reservation>,
    reservations_by_vm: HashMap<VmId, Vec<TaskId>>,
    throttles: HashMap<TaskId, u32>,
    evicting: HashSet<TaskId>,
    eviction_budgets: HashMap<CompactString, EvictionBudget>,
    quarantine_candidates: HashSet<VmId>,
    quarantined: BTreeSet<VmId>,
    /// Draining VMs that still have tasks, with the start of the drain; 0 before the first plan.
    draining: BTreeMap<VmId, u64>,
    victim_cursor: VmId,
    dirty: bool,
    last_plan_ms: u64,
}

impl Scheduler {
    /// Builds the indexes of a new leader from the whole state.
    pub fn new(state: &State, options: SchedulerOptions) -> Scheduler {
        let mut res = Scheduler {
            options,
            queue: TaskQueue::default(),
            free_capacity_index: FreeCapacityIndex::default(),
            run_times: RunTimeEstimates::default(),
            interference_model: InterferenceModel::default(),
            workload_history: WorkloadHistory::default(),
            feedback_loops: HashMap::new(),
            services: HashMap::new(),
            placed_tasks: PlacedTasks::default(),
            urgent_reserve: UrgentReserve::default(),
            urgent_arrivals: Vec::new(),
            reservations: BTreeMap::new(),
            reservations_by_vm: HashMap::new(),
            throttles: HashMap::new(),
            evicting: HashSet::new(),
            eviction_budgets: HashMap::new(),
            quarantine_candidates: HashSet::new(),
            quarantined: BTreeSet::new(),
            draining: BTreeMap::new(),
            victim_cursor: VmId(0),
            dirty: true,
            last_plan_ms: 0,
        };
        res.note_change(state, Change::Configuration);
        for it in state.vms.iter() {
            res.note_change(state, Change::Vm(it.id));
        }
        let ids: Vec<_> =
            state.jobs.tasks().filter(|it| !it.state.is_final()).map(|it| it.id).collect();
        for id in ids {
            res.note_change(state, Change::Task(id));
        }
        res
    }

    pub fn queue(&self) -> &TaskQueue {
        &self.queue
    }

    /// Returns the CPU limit of a throttled task, in permille of its requested processors.
    pub fn throttle_permille(&self, task: TaskId) -> Option<u32> {
        self.throttles.get(&task).copied()
    }

    /// Returns whether a VM accepts no new batch work because a service there misses its target.
    pub fn is_closed_to_batch(&self, vm: VmId) -> bool {
        self.feedback_loops.get(&vm).is_some_and(feedback::FeedbackLoop::is_closed_to_batch)
    }

    /// Updates the indexes after a state change.
    pub fn note_change(&mut self, state: &State, change: Change) {
        self.dirty = true;
        match change {
            Change::Task(id) => self.note_task(state, id),
            Change::Vm(id) => self.note_vm(state, id),
            Change::Configuration => self.note_configuration(state),
        }
    }

    /// Records the run time of a completed task for later estimates.
    pub fn note_run(&mut self, state: &State, task: &Task, run_ms: u64) {
        if let Some(job) = state.jobs.job_of(task) {
            self.run_times.observe(&job.team, &job.spec.kind, job.spec.declared_run_ms, run_ms);
        }
    }

    /// Makes the next plan; returns an empty one if nothing changed and the last plan is recent.
    pub fn plan(&mut self, state: &State, now: Now) -> Plan {
        let mut plan = Plan::default();
        self.record_workload_mix(state, now);
        if !self.dirty && now.mono_ms < self.last_plan_ms + REPLAN_INTERVAL_MS {
            return plan;
        }
        self.dirty = false;
        self.last_plan_ms = now.mono_ms;
        self.queue.promote_due(now.wall_ms);
        self.release_expired_reservations(state, now);
        self.update_urgent_reserve(state, now);
        self.update_quarantine(state, now, &mut plan);
        self.evict_from_draining(state, now, &mut plan);
        for it in self.queue.candidates(CANDIDATES_PER_PLAN) {
            self.plan_candidate(state, &it, now, &mut plan);
        }
        plan
    }

    fn note_task(&mut self, state: &State, id: TaskId) {
        let Some(task) = state.jobs.task(id) else {
            self.queue.remove(id);
            return;
        };
        let Some(job) = state.jobs.job_of(task) else { return };
        let need = job.spec.resources;
        match (task.placement, self.placed_tasks.contains(id)) {
            (Some(placement), false) => {
                let is_batch =
                    state.class(&job.spec.class).is_some_and(|it| it.kind == ClassKind::Batch);
                let kind = is_batch.then(|| job.spec.kind.clone());
                let allowed_millicores = u64::from(need.cpu_millicores);
                let placed_task = PlacedTask {
                    team: job.team.clone(),
                    need,
                    vm: placement.vm,
                    kind,
                    allowed_millicores,
                };
                self.queue.record_run_change(&job.team, need, RunChange::Started);
                self.placed_tasks.add(id, placed_task);
            }
            (None, true) => {
                if let Some(it) = self.placed_tasks.remove(id) {
                    self.queue.record_run_change(&it.team, it.need, RunChange::Ended);
                }
                self.evicting.remove(&id);
                if self.throttles.remove(&id).is_some() {
                    self.feedback_loops.values_mut().for_each(|it| it.remove(id));
                }
            }
            _ => (),
        }
        if task.state.is_waiting() {
            let team = job.team.clone();
            let waiting = self.waiting_of(state, task, need);
            if waiting.tier == Tier::Urgent && task.incarnation == 0 && !self.queue.contains(id) {
                self.urgent_arrivals.push(need);
            }
            self.queue.insert(&team, waiting);
        } else {
            self.queue.remove(id);
        }
        if !task.state.is_waiting()
            && let Some(reservation) = self.release_reservation(id)
        {
            self.refresh_free_capacity(state, reservation.vm);
        }
        if let Some(it) = task.placement {
            self.refresh_free_capacity(state, it.vm);
        }
    }

    fn waiting_of(&self, state: &State, task: &Task, need: Resources) -> WaitingTask {
        let job = state.jobs.job_of(task);
        let class = job.and_then(|it| state.class(&it.spec.class));
        let declared_ms = job.map_or(1, |it| it.spec.declared_run_ms);
        let size_ms = match job {
            Some(it) if self.options.corrects_run_times => {
                self.run_times.expected_run_ms(&it.team, &it.spec.kind, declared_ms)
            }
            _ => declared_ms,
        };
        let accepted_ms = job.map_or(0, |it| it.accepted_ms);
        let ranking_input = RankingInput { size_ms, attained_ms: task.kept_run_ms, accepted_ms };
        let remaining_ms = size_ms.saturating_sub(task.kept_run_ms);
        let due_ms = class
            .filter(|it| 0 < it.finish_target_ms)
            .map(|it| accepted_ms.saturating_add(it.finish_target_ms).saturating_sub(remaining_ms));
        let tier = match class {
            Some(it) if it.urgent => Tier::Urgent,
            Some(it) if it.kind == ClassKind::LatencyCritical => Tier::Service,
            _ => Tier::Batch,
        };
        WaitingTask {
            task: task.id,
            tier,
            rank: task_queue::rank(self.options.rule, ranking_input),
            need,
            due_ms,
        }
    }

    fn note_vm(&mut self, state: &State, id: VmId) {
        self.refresh_free_capacity(state, id);
        if state.vms.get(id).is_some_and(|it| it.quarantined) {
            self.quarantined.insert(id);
        } else {
            self.quarantined.remove(&id);
        }
        if state.vms.get(id).is_some_and(|it| it.draining && !it.tasks.is_empty()) {
            self.draining.entry(id).or_insert(0);
        } else {
            self.draining.remove(&id);
        }
        match state.vms.get(id) {
            Some(vm) if vm.session.is_some() => {
                if self.options.vm_failures_max <= vm.failures_in_row && !vm.quarantined {
                    self.quarantine_candidates.insert(id);
                }
            }
            _ => {
                self.feedback_loops.remove(&id);
                self.services.remove(&id);
                self.workload_history.remove(id);
                self.placed_tasks.remove_empty_vm(id);
            }
        }
    }

    fn note_configuration(&mut self, state: &State) {
        let teams: Vec<_> = self.queue.teams().cloned().collect();
        for name in teams {
            self.queue.set_quota(&name, None);
        }
        for it in &state.configuration.teams {
            self.queue.set_quota(&it.name, Some(it.quota));
        }
    }

    /// Records the current mix of batch work on the VMs where it has changed.
    fn record_workload_mix(&mut self, state: &State, now: Now) {
        for id in self.placed_tasks.take_changed() {
            if let Some(vm) = state.vms.get(id).filter(|_| self.options.learns_interference) {
                self.workload_history.record(
                    id,
                    now.mono_ms,
                    self.placed_tasks.kinds_on(id, vm.capacity),
                );
            }
        }
    }

    /// Updates the free-capacity index from a VM's state and its reservations.
    fn refresh_free_capacity(&mut self, state: &State, id: VmId) {
        // Only probes start on a VM in quarantine, and they do not use the index.
        let open = state.vms.get(id).filter(|vm| is_open(state, vm));
        let free_capacity = open.map(|vm| {
            let reservations = self
                .reservations_by_vm
                .get(&id)
                .into_iter()
                .flatten()
                .filter_map(|it| self.reservations.get(it));
            let free = reservations.fold(vm.free_capacity(), |free, it| subtract(free, it.need));
            FreeVmCapacity { free, zone: vm.zone.clone(), rack: vm.rack.clone() }
        });
        self.free_capacity_index.set(id, free_capacity);
    }

    fn reserve(&mut self, state: &State, task: TaskId, it: Reservation) {
        self.release_reservation(task);
        self.reservations.insert(task, it);
        self.reservations_by_vm.entry(it.vm).or_default().push(task);
        self.refresh_free_capacity(state, it.vm);
    }

    fn release_reservation(&mut self, task: TaskId) -> Option<Reservation> {
        let reservation = self.reservations.remove(&task)?;
        if let Some(list) = self.reservations_by_vm.get_mut(&reservation.vm) {
            list.retain(|it| *it != task);
            if list.is_empty() {
                self.reservations_by_vm.remove(&reservation.vm);
            }
        }
        Some(reservation)
    }

    fn release_expired_reservations(&mut self, state: &State, now: Now) {
        let expired: Vec<_> = self
            .reservations
            .iter()
            .filter(|(_, it)| it.until_ms <= now.mono_ms)
            .map(|(task, _)| *task)
            .collect();
        for task in expired {
            if let Some(it) = self.release_reservation(task) {
                self.refresh_free_capacity(state, it.vm);
            }
        }
    }

    /// Quarantines VMs on which starts fail repeatedly, and probes the VMs in quarantine.
    fn update_quarantine(&mut self, state: &State, now: Now, plan: &mut Plan) {
        let mut candidates: Vec<_> = self.quarantine_candidates.drain().collect();
        candidates.sort_unstable();
        for id in candidates {
            let Some(vm) = state.vms.get(id).filter(|it| !it.quarantined) else { continue };
            plan.vm_flags.push(VmFlagsCommand { vm: id, draining: vm.draining, quarantined: true });
        }
        let is_probe_due = |vm: &Vm| vm.changed_ms + self.options.quarantine_ms <= now.wall_ms;
        let quarantined = self.quarantined.iter().filter_map(|id| state.vms.get(*id));
        let due: Vec<_> = quarantined
            .filter(|vm| vm.session.is_some() && vm.tasks.is_empty() && is_probe_due(vm))
            .collect();
        for vm in due {
            self.probe(state, vm, now, plan);
        }
    }

    /// Starts one waiting task on a VM in quarantine to test whether the VM works again.
    fn probe(&mut self, state: &State, vm: &Vm, now: Now, plan: &mut Plan) {
        let Some(session) = vm.session.as_ref().map(|it| it.id) else { return };
        if self.reservations_by_vm.contains_key(&vm.id) {
            return;
        }
        let candidates = self.queue.candidates(CANDIDATES_PER_PLAN);
        let probe = candidates.iter().find(|it| {
            it.tier >= Tier::Due
                && !self.reservations.contains_key(&it.task)
                && vm.has_capacity_for(it.need)
        });
        let Some((it, task)) = probe.and_then(|it| Some((it, state.jobs.task(it.task)?))) else {
            return;
        };
        let reservation = Reservation {
            vm: vm.id,
            need: it.need,
            until_ms: now.mono_ms + PROPOSED_START_MS,
            is_start_proposed: true,
        };
        self.reserve(state, it.task, reservation);
        plan.starts.push(StartCommand {
            task: it.task,
            incarnation: task.incarnation + 1,
            vm: vm.id,
            session,
        });
    }

    fn plan_candidate(&mut self, state: &State, it: &StartCandidate, now: Now, plan: &mut Plan) {
        let Some(task) = state.jobs.task(it.task).filter(|it| it.state.is_waiting()) else {
            return;
        };
        if self.is_poison(state, task) {
            let event = TaskEvent::DeadLetter(format_compact!(
                "failed on several VMs, last: {}",
                task.detail
            ));
            plan.events.push(TaskEventCommand {
                task: task.id,
                incarnation: task.incarnation,
                event,
            });
            return;
        }
        let reservation = self.reservations.get(&it.task).copied();
        if reservation.is_some_and(|it| it.is_start_proposed) {
            return;
        }
        // The index counts this task's reservation as used, so the reserved VM is checked directly.
        let usable = reservation.filter(|reservation| {
            self.fits_reservation(state, reservation.vm, reservation.need, it.task)
        });
        let chosen = usable.map(|reservation| reservation.vm).or_else(|| match reservation {
            Some(_) => None,
            None => self.free_capacity_index.choose(
                it.need,
                placement_strategy_of(it.tier),
                &Costs::new(self, state, task, it.tier),
            ),
        });
        let chosen = match chosen {
            None if it.tier == Tier::Urgent && reservation.is_none() => {
                self.find_reserved_vm(state, it.need)
            }
            it => it,
        };
        let target = chosen.and_then(|vm| Some((vm, state.vms.get(vm)?.session.as_ref()?.id)));
        match target {
            Some((vm, session)) => {
                plan.starts.push(StartCommand {
                    task: it.task,
                    incarnation: task.incarnation + 1,
                    vm,
                    session,
                });
                let until_ms = now.mono_ms + PROPOSED_START_MS;
                let reservation =
                    Reservation { vm, need: it.need, until_ms, is_start_proposed: true };
                self.reserve(state, it.task, reservation);
            }
            None if it.tier == Tier::Urgent && self.options.preempts && reservation.is_none() => {
                self.preempt(state, it, now, plan);
            }
            None => (),
        }
    }

    fn fits_reservation(&self, state: &State, vm: VmId, need: Resources, task: TaskId) -> bool {
        let others =
            self.reservations_by_vm.get(&vm).into_iter().flatten().filter(|it| **it != task);
        let others = others.filter_map(|it| self.reservations.get(it));
        let Some(it) = state.vms.get(vm) else { return false };
        let free =
            others.fold(it.free_capacity(), |free, reservation| subtract(free, reservation.need));
        it.has_capacity_for(need) && crate::control::state::fits(need, free)
    }

    /// Returns whether a task failed on so many VMs that the task is at fault, not the VMs.
    fn is_poison(&self, state: &State, task: &Task) -> bool {
        // Failures on a VM in quarantine do not count: every task fails there.
        let failed_vm_count = task
            .failed_on
            .iter()
            .filter(|id| state.vms.get(**id).is_none_or(|it| !it.quarantined))
            .count();
        let healthy_vm_count =
            state.vms.iter().filter(|it| it.session.is_some() && !it.quarantined).take(16).count();
        let failures_max = (self.options.task_failures_max as usize).min(healthy_vm_count.max(1));
        failures_max <= failed_vm_count
    }
}

fn is_open(state: &State, vm: &Vm) -> bool {
    let is_evacuated = state.workflows.evacuations().contains(&vm.zone);
    vm.session.is_some() && !vm.draining && !vm.quarantined && !is_evacuated
}

fn placement_strategy_of(tier: Tier) -> PlacementStrategy {
    match tier {
        Tier::Service => PlacementStrategy::Spread,
        Tier::Urgent | Tier::Due | Tier::Batch => PlacementStrategy::Pack,
    }
}
