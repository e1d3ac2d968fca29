//! The leader's workflow scheduling: processes node reports, grants leases, places runs and derives
//! the orders for workers from the ledger.

mod admission;
mod begun;
mod capacity;
mod enrolment;
mod features;
mod isolations;
mod lost_failures;
mod lost_workers;
mod moves;
mod orders;
mod plan;
mod probations;
mod requests;
mod retention;
mod run_monitor;
mod run_times;
mod sessions;
mod speeds;
mod start_batches;
mod waiting_report;

use std::{collections::BTreeSet, net::SocketAddr};

use crate::{
    control::state::Workflows,
    policy::{
        contention::{ContentionModel, FillerLoad, ServingTask, headroom_percent, reference_cores},
        disruption::{RunStop, StopCause},
        forecast::RunTimeModel,
    },
    prelude::*,
};

use self::{
    admission::Admission,
    begun::BegunWorkflows,
    capacity::FreeCapacities,
    lost_failures::LostFailures,
    lost_workers::LossCause,
    moves::{Reservations, StopBudget},
    probations::Probations,
    retention::ClockReadings,
    run_monitor::{RunKind, RunMonitor},
    sessions::{Sessions, SlowRun, UsabilityCriteria},
    speeds::WorkerSpeeds,
    start_batches::StartMemory,
};
pub use self::{
    features::Features,
    orders::run_name,
    plan::PlanOptions,
    requests::{RequestDecision, log_cancelled_before, record_tombstones},
    sessions::Session,
};

/// Interval at which workflows past their retention time are removed.
const FORGET_INTERVAL_MS: u64 = 10_000;

/// Interval at which tombstones past their lifetime are removed.
const TOMBSTONE_INTERVAL_MS: u64 = 2_000;

/// Interval at which learned image costs are written to the ledger: a new leader may start with
/// costs this old.
const LEARN_INTERVAL_MS: u64 = 3_000;

/// Minimum interval between two plans; changes within it share a plan. A commit takes about as
/// long, so this adds little latency for callers.
const PLAN_PAUSE_MS: u64 = 10;

/// Minimum interval between plans if only loads changed, which affects only tasks that wait for
/// capacity and slow fillers.
const LOAD_PLAN_PAUSE_MS: u64 = 100;

/// Settings of the dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct DispatchOptions {
    /// Time for which a node may let its worker run without a grant from the leader.
    pub lease_ms: u64,
    /// Largest rate at which a worker's clock may run slow, in percent.
    pub lease_slack_percent: u64,
    /// Maximum duration of a call to a worker.
    pub lease_margin_ms: u64,
    /// Time without a report after which no new runs are placed on a worker.
    pub silent_ms: u64,
    /// Retention time of the phase of an ended workflow.
    pub retention_ms: u64,
    pub plan: PlanOptions,
    pub features: Features,
    pub memory: MemoryLimits,
    pub tombstones: TombstoneLimits,
}

/// Limits on the memory of a member of the control group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Most memory of the submissions that wait for their turn or are not stored yet.
    pub calls_max_bytes: usize,
    /// Most memory of all stored workflows.
    pub workflows_max_bytes: usize,
    /// Memory of the log entries at which a snapshot is taken.
    pub log_max_bytes: usize,
}

/// The defaults of the settings.
impl Default for MemoryLimits {
    fn default() -> MemoryLimits {
        MemoryLimits {
            calls_max_bytes: 16 << 20,
            workflows_max_bytes: 48 << 20,
            log_max_bytes: 32 << 20,
        }
    }
}

/// Limits on the cancels of unknown workflows that are remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TombstoneLimits {
    pub max: usize,
    /// Time for which each is remembered at least.
    pub lifetime_ms: u64,
}

/// The defaults of the settings.
impl Default for TombstoneLimits {
    fn default() -> TombstoneLimits {
        TombstoneLimits { max: 262_144, lifetime_ms: 30_000 }
    }
}

/// Commands to propose and messages to send after one turn of the dispatcher.
#[derive(Debug, Default)]
pub struct DispatchOutput {
    pub commands: Vec<WorkflowCommand>,
    pub messages: Vec<(SocketAddr, Message)>,
}

/// The leader's workflow scheduler.
#[derive(Debug)]
pub struct Dispatcher {
    options: DispatchOptions,
    term: u64,
    sessions: Sessions,
    contention: ContentionModel,
    run_times: RunTimeModel,
    speeds: WorkerSpeeds,
    stop_budget: StopBudget,
    reservations: Reservations,
    admission: Admission,
    begun: BegunWorkflows,
    free_capacities: FreeCapacities,
    probations: Probations,
    lost_failures: LostFailures,
    idle_since: plan::IdleSince,
    waiting_steps: plan::WaitingSteps,
    fair_shares: plan::FairShares,
    /// Reset at the end of each turn.
    start_memory: StartMemory,
    /// Whether a `Begin` command is proposed and not yet applied; the next plan waits for it.
    begin_in_flight: bool,
    last_plan_ms: u64,
    next_plan_ms: u64,
    plan_count: u64,
    forget_at_ms: u64,
    clock_readings: ClockReadings,
    tombstones_at_ms: u64,
    tombstone_readings: ClockReadings,
    occupancy_at_ms: u64,
    learn_at_ms: u64,
    output: DispatchOutput,
}

impl Dispatcher {
    /// Takes over from an earlier leader, whose leases are assumed to run for their full time.
    pub fn new(options: DispatchOptions, workflows: &Workflows, term: u64, now: Now) -> Dispatcher {
        let mut free_capacities = FreeCapacities::default();
        workflows.workers().iter().for_each(|(id, _)| free_capacities.mark_stale(id));
        Dispatcher {
            options,
            term,
            sessions: Sessions::take_over(workflows, now.mono_ms + options.lease_with_margin_ms()),
            contention: ContentionModel::with_known_costs(workflows.image_costs(), now.mono_ms),
            run_times: RunTimeModel::with_learned(workflows.demand().run_times()),
            speeds: WorkerSpeeds::take_over(options.features, workflows, now),
            stop_budget: StopBudget::default(),
            reservations: Reservations::default(),
            admission: Admission::default(),
            begun: BegunWorkflows::default(),
            free_capacities,
            probations: Probations::take_over(workflows, now),
            lost_failures: LostFailures::default(),
            idle_since: plan::IdleSince::default(),
            waiting_steps: plan::WaitingSteps::default(),
            fair_shares: plan::FairShares::default(),
            start_memory: StartMemory::default(),
            begin_in_flight: false,
            last_plan_ms: 0,
            plan_count: 0,
            next_plan_ms: now.mono_ms,
            // The first clock reading is taken at once: the retention of workflows that ended under
            // an earlier leader is counted from it.
            forget_at_ms: now.mono_ms,
            clock_readings: ClockReadings::new(FORGET_INTERVAL_MS),
            tombstones_at_ms: now.mono_ms,
            tombstone_readings: ClockReadings::new(TOMBSTONE_INTERVAL_MS),
            occupancy_at_ms: now.mono_ms + OCCUPANCY_INTERVAL_MS,
            learn_at_ms: now.mono_ms + LEARN_INTERVAL_MS,
            output: DispatchOutput::default(),
        }
    }

    /// Returns when [`Dispatcher::tick`] is due next.
    pub fn next_tick_ms(&self) -> u64 {
        // No plan is made while a `Begin` command is in flight.
        let next_plan_ms = if self.begin_in_flight { u64::MAX } else { self.next_plan_ms };
        let expiry_ms = self.sessions.next_expiry_ms();
        let periodic_ms = self.forget_at_ms.min(self.learn_at_ms).min(self.tombstones_at_ms);
        next_plan_ms.min(expiry_ms).min(periodic_ms).min(self.begun.next_write_ms())
    }

    pub fn plan_count(&self) -> u64 {
        self.plan_count
    }

    /// Returns the number of sessions and free capacities visited so far in full scans: the work
    /// per event that grows with the fleet.
    pub fn rows_visited(&self) -> u64 {
        self.sessions.rows_visited() + self.free_capacities.rows_visited()
    }

    /// Checks the cached free capacities of all workers against the ledger.
    ///
    /// # Errors
    ///
    /// Returns a description of the first mismatch.
    pub fn audit(&mut self, workflows: &Workflows) -> Result<(), String> {
        self.free_capacities.audit(workflows, &mut self.contention)
    }

    /// Runs the periodic work: expires leases, removes old workflows, and writes learned costs and
    /// the occupancy log line.
    pub fn tick(&mut self, workflows: &Workflows, now: Now) {
        self.expire(workflows, now);
        self.propose_begun(now);
        if self.forget_at_ms <= now.mono_ms {
            self.forget_at_ms = now.mono_ms + FORGET_INTERVAL_MS;
            let age_ms = self.options.workflow_retention_ms();
            self.clock_readings.note(now, age_ms);
            let forgets = self.clock_readings.wall_before(now, age_ms).map(WorkflowCommand::Forget);
            self.output.commands.extend(forgets);
        }
        if self.tombstones_at_ms <= now.mono_ms {
            self.expire_tombstones(workflows, now);
        }
        if self.learn_at_ms <= now.mono_ms {
            self.learn_at_ms = now.mono_ms + LEARN_INTERVAL_MS;
            let known_costs = self.contention.known_costs();
            if known_costs != workflows.image_costs() {
                self.output.commands.push(WorkflowCommand::Learn(known_costs));
            }
            if self.options.features.needs_run_times() {
                self.run_times.decay(LEARN_INTERVAL_MS);
                self.propose_run_times(workflows);
            }
            if self.options.features.worker_speeds {
                self.propose_speeds(workflows, now);
            }
            self.settle_failures_of_lost(workflows, now);
        }
        if self.occupancy_at_ms <= now.mono_ms {
            self.occupancy_at_ms = now.mono_ms + OCCUPANCY_INTERVAL_MS;
            log_occupancy(workflows);
            self.log_forecast_errors();
        }
    }

    /// Drops the tombstones whose lifetime has passed.
    fn expire_tombstones(&mut self, workflows: &Workflows, now: Now) {
        self.tombstones_at_ms = now.mono_ms + TOMBSTONE_INTERVAL_MS;
        let age_ms = self.options.tombstones.lifetime_ms;
        self.tombstone_readings.note(now, age_ms);
        let before_ms = self.tombstone_readings.wall_before(now, age_ms);
        if let Some(expired_before_ms) = before_ms
            && workflows.tombstones().has_expired(expired_before_ms)
        {
            let expired = RecordedTombstones { ids: Vec::new(), expired_before_ms };
            self.output.commands.push(WorkflowCommand::RecordTombstones(expired));
        }
    }

    /// Plans if a plan is due, and returns the commands to propose and the messages to send.
    pub fn finish_turn(
        &mut self,
        workflows: &Workflows,
        members: &[SocketAddr],
        now: Now,
    ) -> DispatchOutput {
        if self.next_plan_ms <= now.mono_ms && !self.begin_in_flight {
            self.plan(workflows, members, now);
        }
        self.start_memory = StartMemory::default();
        std::mem::take(&mut self.output)
    }

    fn plan(&mut self, workflows: &Workflows, members: &[SocketAddr], now: Now) {
        self.plan_count += 1;
        self.last_plan_ms = now.mono_ms;
        self.next_plan_ms = now.mono_ms + self.options.plan.interval_ms;
        self.measure_throughput(workflows, now);
        let usability =
            UsabilityCriteria { term: self.term, silent_ms: self.options.silent_ms, now };
        let on_slow_workers = self.runs_to_move(workflows, usability);
        let moves_under_way = self.speeds.moves_under_way(workflows, now.mono_ms);
        let sessions = &self.sessions;
        let is_usable = |id| sessions.is_usable(id, usability) && !workflows.is_evacuated(id);
        self.reservations.end_invalid(workflows, is_usable, now.mono_ms);
        let reserving = plan::ReservingState {
            reservations: &mut self.reservations,
            run_times: &self.run_times,
            stop_budget: &self.stop_budget,
        };
        let input = plan::PlanInput {
            workflows,
            sessions,
            speeds: &self.speeds,
            on_slow_workers,
            moves_under_way,
            free_capacities: &mut self.free_capacities,
            contention: &mut self.contention,
            probations: self.probations.active(now),
            usability,
            reserving: self.options.features.reservations.then_some(reserving),
            fair_shares: self.options.features.fair_shares.then_some(&mut self.fair_shares),
        };
        let plan = plan::plan(input, &mut self.idle_since, &mut self.waiting_steps);
        self.speeds.note_probes(&plan.runs, now.mono_ms);
        if !plan.runs.is_empty() {
            self.begin_in_flight = true;
            self.output.commands.push(WorkflowCommand::Begin(plan.runs));
        }
        self.move_runs(workflows, &plan.moves, members, now);
        self.reserve(workflows, &plan.reservations, members, now);
    }

    /// Schedules a plan for `pause_ms` after the last one, unless one is due earlier.
    fn schedule_plan(&mut self, pause_ms: u64) {
        self.next_plan_ms = self.next_plan_ms.min(self.last_plan_ms + pause_ms);
    }

    /// Handles a command that the ledger has just applied.
    pub fn note_applied(
        &mut self,
        workflows: &Workflows,
        command: &WorkflowCommand,
        members: &[SocketAddr],
        now: Now,
    ) {
        match command {
            WorkflowCommand::Begin(runs) => {
                self.begin_in_flight = false;
                let workers: BTreeSet<_> = runs.iter().map(|it| it.worker).collect();
                self.probations.note_begin(workflows, runs, now);
                self.reservations.note_begin(runs, now);
                for it in workers {
                    self.free_capacities.mark_stale(it);
                    self.send_orders(workflows, it, members);
                }
                for it in runs.iter().filter(|it| workflows.has_run(it.worker, it.run)) {
                    if let Some(session) = self.sessions.get_mut(it.worker) {
                        session.begun_ms.insert(it.run, now.mono_ms);
                    }
                }
            }
            WorkflowCommand::Enrol(it) => {
                let replaced = self.sessions.drop_gone_at_node(it.node, workflows);
                replaced.into_iter().for_each(|id| self.free_capacities.mark_stale(id));
                if let Some(id) = workflows.workers().find(it.node, &it.name) {
                    tracing::info!(event = "worker_enrolled", worker = %it.name, id = %id, node = %it.node, service = %it.service, kind = %it.kind, rack = %it.rack);
                    self.sessions.open(
                        id,
                        it.node,
                        now.mono_ms + self.options.lease_with_margin_ms(),
                    );
                    self.probations.note_enrolled(id, now);
                    self.free_capacities.mark_stale(id);
                    // The grant's token lets the node list the worker's tasks, which orders
                    // require.
                    self.send_orders(workflows, id, members);
                }
                self.schedule_plan(PLAN_PAUSE_MS);
            }
            WorkflowCommand::Finish(it) => {
                self.free_capacities.mark_stale(it.worker);
                self.settle_failures(workflows, it.worker);
                self.send_grant(workflows, it.worker, members, now);
                let ended = it.ends.iter().map(|it| it.run);
                for it in workflows
                    .workers_with_redundant_runs(ended)
                    .into_iter()
                    .filter(|id| *id != it.worker)
                {
                    self.send_orders(workflows, it, members);
                }
                self.schedule_plan(PLAN_PAUSE_MS);
            }
            WorkflowCommand::Void(it) => {
                self.free_capacities.mark_stale(it.worker);
                self.schedule_plan(PLAN_PAUSE_MS);
            }
            WorkflowCommand::Dismiss(id) => {
                self.sessions.drop(*id);
                self.speeds.drop(*id);
                self.free_capacities.mark_stale(*id);
                self.schedule_plan(PLAN_PAUSE_MS);
            }
            WorkflowCommand::Resize(it) => {
                self.free_capacities.mark_stale(it.worker);
                self.schedule_plan(PLAN_PAUSE_MS);
            }
            WorkflowCommand::Settle(it) => {
                for it in workflows.workers_with_redundant_runs(it.counted.iter().copied()) {
                    self.send_orders(workflows, it, members);
                }
                self.schedule_plan(PLAN_PAUSE_MS);
            }
            WorkflowCommand::Cancel(id) => self.stop_cancelled(workflows, *id, members),
            WorkflowCommand::RecordTombstones(it) => {
                for id in &it.ids {
                    self.stop_cancelled(workflows, *id, members);
                }
            }
            WorkflowCommand::Evacuate(it) => {
                self.withdraw_starts(workflows, &it.zone, members);
                self.schedule_plan(PLAN_PAUSE_MS);
            }
            WorkflowCommand::SubmitFrom(it) => {
                self.admission.note_stored(it.workflow.id);
                self.schedule_plan(PLAN_PAUSE_MS);
            }
            WorkflowCommand::Submit(_) | WorkflowCommand::Install(_) => {
                self.schedule_plan(PLAN_PAUSE_MS)
            }
            WorkflowCommand::Forget(_)
            | WorkflowCommand::Learn(_)
            | WorkflowCommand::LearnRunTimes(_)
            | WorkflowCommand::LearnSpeeds(_)
            | WorkflowCommand::ConfirmBegun(_) => (),
        }
    }

    /// Handles the rejection of a proposed `Begin` command.
    pub fn note_begin_rejected(&mut self) {
        self.begin_in_flight = false;
        self.schedule_plan(PLAN_PAUSE_MS);
    }

    /// Evaluates the runs that a worker reports: progress, stalls, slow fillers, and the contention
    /// between fillers and serving tasks.
    fn observe_running(&mut self, workflows: &Workflows, id: WorkerId, now: Now) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let Some(report) = &session.report else { return };
        let capacity_millicores = report.capacity.cpu_millicores;
        let cores = |millicores| reference_cores(millicores, capacity_millicores);
        let mut serving = Vec::new();
        let mut fillers = Vec::new();
        session.slow_fillers.clear();
        for task in &report.running {
            let monitor = session.monitored_runs.entry(task.run).or_insert_with(|| {
                RunMonitor::new(workflows, &mut self.contention, task, now.mono_ms)
            });
            monitor.last_report_number = session.report_number;
            if monitor.observe(task, now.mono_ms) && !monitor.evicted {
                monitor.evicted = true;
                session.health.note_stalled(now.mono_ms);
                tracing::warn!(event = "run_stalled", run = %run_name(task.run), worker = %report.name, progress_percent = task.progress_percent);
            }
            if let Some((full_speed_ms, speed_share)) = monitor.speed_share_if_slow(now.mono_ms) {
                session.slow_fillers.push(SlowRun {
                    run: task.run,
                    worker: id,
                    cause: StopCause::SlowFiller,
                    full_speed_ms,
                    speed_share,
                    progress_percent: task.progress_percent,
                });
            }
            match monitor.run_kind {
                Some(RunKind::Filler { image, .. }) => {
                    fillers.push(FillerLoad { image, cores: cores(task.load) });
                }
                // A task that has just started has no tail latency yet.
                Some(RunKind::Serving { image, target_ms }) if 0 < task.load => {
                    let headroom_percent = headroom_percent(task.load, target_ms);
                    serving.push(ServingTask { run: task.run, image, headroom_percent });
                }
                _ => (),
            }
        }
        for it in &report.faded {
            let image = self.contention.image_key(&it.image);
            fillers.push(FillerLoad { image, cores: cores(it.cpu_millicores) });
        }
        let listed = report.running.iter().map(|it| it.run);
        let mut newly_listed =
            listed.filter(|it| !session.ever_listed_runs.contains(it)).peekable();
        if newly_listed.peek().is_some() {
            session.breaker.note_accepted();
        }
        self.begun.note_listed(workflows, newly_listed);
        if let Some(worker) = workflows.workers().get(id) {
            session.ever_listed_runs.extend(report.running.iter().map(|it| it.run));
            session.ever_listed_runs.retain(|it| worker.runs.contains(it));
            session.begun_ms.retain(|it, _| worker.runs.contains(it));
        }
        let report_number = session.report_number;
        session.monitored_runs.retain(|_, it| it.last_report_number == report_number);
        self.sessions.update_slow(id);
        // On a slow worker, tail latencies tell neither the load of a step nor the cost of an image.
        if self.speeds.is_of_normal_speed(id, now.mono_ms) {
            self.contention.observe(&serving, &fillers, now.mono_ms);
        }
    }

    /// Stops the runs that are to move to other workers.
    fn move_runs(
        &mut self,
        workflows: &Workflows,
        moves: &[SlowRun],
        members: &[SocketAddr],
        now: Now,
    ) {
        let stop = |it: &SlowRun| RunStop { run: it.run, worker: it.worker, cause: it.cause };
        let stops: Vec<_> = moves.iter().map(stop).collect();
        let stopped = self.stop_runs(workflows, &stops, members, now);
        for it in moves.iter().filter(|it| stopped.contains(&it.run)) {
            if it.cause == StopCause::SlowWorker {
                self.speeds.note_stop(it.run.task, now.mono_ms);
                continue;
            }
            tracing::info!(event = "filler_moved", run = %run_name(it.run), worker = it.worker.0, speed_percent = (it.speed_share * 100.0) as u32, progress_percent = it.progress_percent);
        }
    }

    /// Marks workers with expired leases as lost: their runs have been killed by now.
    fn expire(&mut self, workflows: &Workflows, now: Now) {
        for id in self.sessions.take_expired(now.mono_ms) {
            self.mark_lost(workflows, id, LossCause::LeaseExpired, now);
        }
    }
}

impl DispatchOptions {
    /// Returns the maximum duration of a lease granted now, by the slowest clock allowed.
    pub fn lease_with_margin_ms(&self) -> u64 {
        self.lease_ms + self.lease_ms * self.lease_slack_percent / 100 + self.lease_margin_ms
    }

    /// Returns how long an ended workflow is kept. One that was cancelled refuses copies of its
    /// submission for as long as a tombstone does.
    fn workflow_retention_ms(&self) -> u64 {
        self.retention_ms.max(self.tombstones.lifetime_ms)
    }
}

const OCCUPANCY_INTERVAL_MS: u64 = 5_000;

/// Logs the capacity of all workers, and how much of it is reserved.
fn log_occupancy(workflows: &Workflows) {
    let workers = || workflows.workers().iter().map(|(_, it)| it);
    let cores = |amount_of: fn(&crate::control::state::Worker) -> u32| -> u64 {
        workers().map(|it| u64::from(amount_of(it))).sum::<u64>() / 1_000
    };
    let memory_gib = |amount_of: fn(&crate::control::state::Worker) -> u32| -> u64 {
        workers().map(|it| u64::from(amount_of(it))).sum::<u64>() / 1_024
    };
    tracing::info!(
        event = "occupancy",
        workers = workers().count(),
        workflows = workflows.active().count(),
        runs = workers().map(|it| it.runs.len()).sum::<usize>(),
        cores = cores(|it| it.capacity.cpu_millicores),
        reserved_cores = cores(|it| it.reserved.cpu_millicores),
        filler_cores = cores(|it| it.filler_millicores),
        memory_gib = memory_gib(|it| it.capacity.memory_mib),
        reserved_gib = memory_gib(|it| it.reserved.memory_mib),
    );
}
