//! What the leader does about workflows: it takes the nodes' reports, grants leases, places runs
//! and turns what the ledger holds into orders.

mod capacity;
mod lost_workers;
mod orders;
mod plan;
mod probations;
mod requests;
mod retention;
mod run_monitor;
mod sessions;

use std::{collections::BTreeSet, net::SocketAddr};

use crate::{
    control::state::Workflows,
    policy::contention::{
        ContentionModel, FillerLoad, ServingTask, headroom_percent, reference_cores,
    },
    prelude::*,
};

use self::{
    capacity::FreeCapacities,
    lost_workers::LossCause,
    probations::Probations,
    retention::ClockReadings,
    run_monitor::{RunKind, RunMonitor},
    sessions::{Sessions, SlowRun, UsabilityCriteria},
};
pub use self::{orders::run_name, plan::PlanOptions, requests::RequestDecision, sessions::Session};

/// How often workflows that ended long ago are forgotten.
const FORGET_INTERVAL_MS: u64 = 10_000;

/// How often what was learned is handed on: a new leader starts some seconds behind.
const LEARN_INTERVAL_MS: u64 = 3_000;

/// Shortest pause between two plans; what changes meanwhile is planned for together. A commit
/// takes as long, so that callers hardly wait longer for it.
const PLAN_PAUSE_MS: u64 = 10;

/// The same for changed loads alone, which matter only to what waits for room or is slow.
const LOAD_PAUSE_MS: u64 = 100;

/// What the dispatcher is told by the settings.
#[derive(Clone, Copy, Debug)]
pub struct DispatchOptions {
    /// Time for which a node may let its worker run without a word from the leader.
    pub lease_ms: u64,
    /// Share by which a worker's clock may be slow, in percent, and the time a call may take.
    pub lease_slack_percent: u64,
    pub lease_margin_ms: u64,
    /// Silence after which nothing new is placed on a worker.
    pub silent_ms: u64,
    /// Time for which the phase of an ended workflow is kept.
    pub retention_ms: u64,
    pub plan: PlanOptions,
}

/// What a turn of the dispatcher leads to.
#[derive(Debug, Default)]
pub struct DispatchOutput {
    pub commands: Vec<WorkflowCommand>,
    pub messages: Vec<(SocketAddr, Message)>,
}

/// The leader's side of workflows.
#[derive(Debug)]
pub struct Dispatcher {
    options: DispatchOptions,
    term: u64,
    sessions: Sessions,
    contention: ContentionModel,
    free_capacities: FreeCapacities,
    probations: Probations,
    idle_since: plan::IdleSince,
    waiting_steps: plan::WaitingSteps,
    /// Runs proposed and not yet in the ledger; the next plan waits for them.
    begin_in_flight: bool,
    planned_ms: u64,
    plan_at_ms: u64,
    plan_count: u64,
    forget_at_ms: u64,
    clock_readings: ClockReadings,
    occupancy_at_ms: u64,
    learn_at_ms: u64,
    output: DispatchOutput,
}

impl Dispatcher {
    /// Takes over from an earlier leader, whose leases may run for their full time.
    pub fn new(options: DispatchOptions, workflows: &Workflows, term: u64, now: Now) -> Dispatcher {
        let mut free_capacities = FreeCapacities::default();
        workflows.workers().iter().for_each(|(id, _)| free_capacities.note_changed(id));
        Dispatcher {
            options,
            term,
            sessions: Sessions::take_over(workflows, now.mono_ms + options.lease_with_margin_ms()),
            contention: ContentionModel::with_known_costs(workflows.image_costs(), now.mono_ms),
            free_capacities,
            probations: Probations::take_over(workflows, now),
            idle_since: plan::IdleSince::default(),
            waiting_steps: plan::WaitingSteps::default(),
            begin_in_flight: false,
            planned_ms: 0,
            plan_count: 0,
            plan_at_ms: now.mono_ms,
            // The first reading is made at once: what ended before this leader is kept from now on.
            forget_at_ms: now.mono_ms,
            clock_readings: ClockReadings::default(),
            occupancy_at_ms: now.mono_ms + OCCUPANCY_INTERVAL_MS,
            learn_at_ms: now.mono_ms + LEARN_INTERVAL_MS,
            output: DispatchOutput::default(),
        }
    }

    /// Returns when [`Dispatcher::tick`] has something to do.
    pub fn next_tick_ms(&self) -> u64 {
        // While runs are on their way into the ledger, the plan waits for these.
        let plan_at_ms = if self.begin_in_flight { u64::MAX } else { self.plan_at_ms };
        let expiry_ms = self.sessions.next_expiry_ms();
        plan_at_ms.min(expiry_ms).min(self.forget_at_ms).min(self.learn_at_ms)
    }

    /// Returns how many plans were made so far.
    pub fn plan_count(&self) -> u64 {
        self.plan_count
    }

    /// Returns how many sessions and rooms were looked at so far in walks over all of them: what
    /// grows with the fleet for each event.
    pub fn rows_visited(&self) -> u64 {
        self.sessions.rows_visited() + self.free_capacities.rows_visited()
    }

    /// Checks that the rooms kept are those that the ledger gives, by a walk over all workers.
    ///
    /// # Errors
    ///
    /// Returns what differs.
    pub fn audit(&mut self, workflows: &Workflows) -> Result<(), String> {
        self.free_capacities.audit(workflows, &mut self.contention)
    }

    /// Lets time pass: leases expire, and occurrences become due.
    pub fn tick(&mut self, workflows: &Workflows, now: Now) {
        self.expire(workflows, now);
        if self.forget_at_ms <= now.mono_ms {
            self.forget_at_ms = now.mono_ms + FORGET_INTERVAL_MS;
            let age_ms = self.options.retention_ms;
            self.clock_readings.note(now, age_ms);
            let forgets = self.clock_readings.wall_before(now, age_ms).map(WorkflowCommand::Forget);
            self.output.commands.extend(forgets);
        }
        if self.learn_at_ms <= now.mono_ms {
            self.learn_at_ms = now.mono_ms + LEARN_INTERVAL_MS;
            let known = self.contention.known_costs();
            if known != workflows.image_costs() {
                self.output.commands.push(WorkflowCommand::Learn(known));
            }
            self.settle_lost(workflows, now);
        }
        if self.occupancy_at_ms <= now.mono_ms {
            self.occupancy_at_ms = now.mono_ms + OCCUPANCY_INTERVAL_MS;
            log_occupancy(workflows);
        }
    }

    /// Plans if that is due, and returns what is to be proposed and sent.
    pub fn finish_turn(
        &mut self,
        workflows: &Workflows,
        members: &[SocketAddr],
        now: Now,
    ) -> DispatchOutput {
        if self.plan_at_ms <= now.mono_ms && !self.begin_in_flight {
            self.plan(workflows, members, now);
        }
        std::mem::take(&mut self.output)
    }

    fn plan(&mut self, workflows: &Workflows, members: &[SocketAddr], now: Now) {
        self.plan_count += 1;
        self.planned_ms = now.mono_ms;
        self.plan_at_ms = now.mono_ms + self.options.plan.interval_ms;
        let basis = plan::PlanInput {
            workflows,
            sessions: &self.sessions,
            free_capacities: &mut self.free_capacities,
            contention: &mut self.contention,
            probations: self.probations.under_way(now),
            usability: UsabilityCriteria {
                term: self.term,
                silent_ms: self.options.silent_ms,
                now,
            },
        };
        let plan = plan::plan(basis, &mut self.idle_since, &mut self.waiting_steps);
        if !plan.runs.is_empty() {
            self.begin_in_flight = true;
            self.output.commands.push(WorkflowCommand::Begin(plan.runs));
        }
        self.evict(workflows, &plan.moves, members);
    }

    /// Asks for a plan, `pause_ms` after the last one at the earliest.
    fn want_plan(&mut self, pause_ms: u64) {
        self.plan_at_ms = self.plan_at_ms.min(self.planned_ms + pause_ms);
    }

    /// Takes in a command that the ledger has just applied.
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
                self.probations.note_begun(workflows, runs, now);
                for it in workers {
                    self.free_capacities.note_changed(it);
                    self.send_orders(workflows, it, members);
                }
            }
            WorkflowCommand::Enrol(it) => {
                let replaced = self.sessions.drop_beside(it.node, workflows);
                replaced.into_iter().for_each(|id| self.free_capacities.note_changed(id));
                if let Some(id) = workflows.workers().find(it.node, &it.name) {
                    tracing::info!(event = "worker_enrolled", worker = %it.name, id = %id, node = %it.node, service = %it.service, kind = %it.kind, rack = %it.rack);
                    self.sessions.open(
                        id,
                        it.node,
                        now.mono_ms + self.options.lease_with_margin_ms(),
                    );
                    self.probations.note_enrolled(id, now);
                    self.free_capacities.note_changed(id);
                    // Its token lets the node read the lists that everything else waits for.
                    self.send_orders(workflows, id, members);
                }
                self.want_plan(PLAN_PAUSE_MS);
            }
            WorkflowCommand::Finish(it) => {
                self.free_capacities.note_changed(it.worker);
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
                self.want_plan(PLAN_PAUSE_MS);
            }
            WorkflowCommand::Void(it) => {
                self.free_capacities.note_changed(it.worker);
                self.want_plan(PLAN_PAUSE_MS);
            }
            WorkflowCommand::Dismiss(id) => {
                self.sessions.drop(*id);
                self.free_capacities.note_changed(*id);
                self.want_plan(PLAN_PAUSE_MS);
            }
            WorkflowCommand::Resize(it) => {
                self.free_capacities.note_changed(it.worker);
                self.want_plan(PLAN_PAUSE_MS);
            }
            WorkflowCommand::Settle(it) => {
                for it in workflows.workers_with_redundant_runs(it.counted.iter().copied()) {
                    self.send_orders(workflows, it, members);
                }
                self.want_plan(PLAN_PAUSE_MS);
            }
            WorkflowCommand::Cancel(id) => self.stop_cancelled(workflows, *id, members),
            WorkflowCommand::Evacuate(it) => {
                self.withdraw_starts(workflows, &it.zone, members);
                self.want_plan(PLAN_PAUSE_MS);
            }
            WorkflowCommand::Submit(_) | WorkflowCommand::Install(_) => {
                self.want_plan(PLAN_PAUSE_MS)
            }
            WorkflowCommand::Forget(_) | WorkflowCommand::Learn(_) => (),
        }
    }

    /// Learns that runs proposed did not come into the ledger.
    pub fn note_begin_rejected(&mut self) {
        self.begin_in_flight = false;
        self.want_plan(PLAN_PAUSE_MS);
    }

    /// Takes in what a worker runs: how far each run is, what stands still or is slow, and what
    /// fillers do to the tasks that serve beside them.
    fn take_running(&mut self, workflows: &Workflows, id: WorkerId, now: Now) {
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
            if let Some(speed_share) = monitor.speed_share_if_slow(now.mono_ms) {
                let progress_percent = task.progress_percent;
                session.slow_fillers.push(SlowRun {
                    run: task.run,
                    worker: id,
                    speed_share,
                    progress_percent,
                });
            }
            match monitor.run_kind {
                Some(RunKind::Filler { image, .. }) => {
                    fillers.push(FillerLoad { image, cores: cores(task.load) });
                }
                // A task that has just begun has no tail yet.
                Some(RunKind::Serving { image, target_ms }) if 0 < task.load => {
                    let headroom_percent = headroom_percent(task.load, target_ms);
                    serving.push(ServingTask { run: task.run, image, headroom_percent });
                }
                _ => (),
            }
        }
        for it in &report.faded {
            let image = self.contention.image(&it.image);
            fillers.push(FillerLoad { image, cores: cores(it.cpu_millicores) });
        }
        if let Some(worker) = workflows.workers().get(id) {
            session.ever_listed_runs.extend(report.running.iter().map(|it| it.run));
            session.ever_listed_runs.retain(|it| worker.runs.contains(it));
        }
        let number = session.report_number;
        session.monitored_runs.retain(|_, it| it.last_report_number == number);
        self.sessions.note_slow(id);
        self.contention.observe(&serving, &fillers, now.mono_ms);
    }

    /// Tells workers to stop fillers that are to go on elsewhere.
    fn evict(&mut self, workflows: &Workflows, moves: &[SlowRun], members: &[SocketAddr]) {
        let mut workers = BTreeSet::new();
        for it in moves {
            let Some(session) = self.sessions.get_mut(it.worker) else { continue };
            if !session.evict(it.run) {
                continue;
            }
            workers.insert(it.worker);
            let worker = workflows.workers().get(it.worker).map(|it| it.name.as_str());
            tracing::info!(event = "filler_moved", run = %run_name(it.run), worker, speed_percent = (it.speed_share * 100.0) as u32, progress_percent = it.progress_percent);
        }
        for it in workers {
            self.send_orders(workflows, it, members);
        }
    }

    /// Dismisses workers whose lease is over: what ran there has been killed by now.
    fn expire(&mut self, workflows: &Workflows, now: Now) {
        for id in self.sessions.take_expired(now.mono_ms) {
            self.mark_lost(workflows, id, LossCause::LeaseExpired, now);
        }
    }
}

impl DispatchOptions {
    /// Returns how long a lease granted now may last by the slowest clock allowed.
    pub fn lease_with_margin_ms(&self) -> u64 {
        self.lease_ms + self.lease_ms * self.lease_slack_percent / 100 + self.lease_margin_ms
    }
}

/// Interval of the line on how full the workers are.
const OCCUPANCY_INTERVAL_MS: u64 = 5_000;

/// Writes how full the workers are.
fn log_occupancy(workflows: &Workflows) {
    let workers = || workflows.workers().iter().map(|(_, it)| it);
    let cores = |of: fn(&crate::control::state::Worker) -> u32| -> u64 {
        workers().map(|it| u64::from(of(it))).sum::<u64>() / 1_000
    };
    let memory_gib = |of: fn(&crate::control::state::Worker) -> u32| -> u64 {
        workers().map(|it| u64::from(of(it))).sum::<u64>() / 1_024
    };
    tracing::info!(
        event = "occupancy",
        workers = workers().count(),
        workflows = workflows.active().count(),
        runs = workers().map(|it| it.runs.len()).sum::<usize>(),
        cores = cores(|it| it.capacity.cpu_millicores),
        reserved_cores = cores(|it| it.used.cpu_millicores),
        filler_cores = cores(|it| it.filler_millicores),
        memory_gib = memory_gib(|it| it.capacity.memory_mib),
        reserved_gib = memory_gib(|it| it.used.memory_mib),
    );
}
