//! What the leader does about workflows: it takes the nodes' reports, grants leases, places runs
//! and turns what the ledger holds into orders.

mod orders;
mod plan;
mod requests;
mod sessions;

use std::collections::HashSet;

use crate::{
    control::state::Workflows,
    policy::{
        harm::{Filler, Harm, Serving, headroom_percent},
        mobility::Speed,
        soundness::Progress,
    },
    prelude::*,
};

use self::sessions::Sessions;
pub use self::{orders::run_name, plan::PlanOptions, requests::Verdict, sessions::Session};

/// How often workflows that ended long ago are forgotten.
const FORGET_INTERVAL_MS: u64 = 10_000;

/// How often what was learned is handed on: a new leader starts some seconds behind.
const LEARN_INTERVAL_MS: u64 = 3_000;

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
pub struct Step {
    pub commands: Vec<WorkflowCommand>,
    pub messages: Vec<(std::net::SocketAddr, Message)>,
}

/// The leader's side of workflows.
#[derive(Debug)]
pub struct Dispatcher {
    options: DispatchOptions,
    term: u64,
    sessions: Sessions,
    harm: Harm,
    idle_since: plan::IdleSince,
    /// Runs proposed and not yet in the ledger; the next plan waits for them.
    begin_in_flight: bool,
    is_dirty: bool,
    plan_at_ms: u64,
    forget_at_ms: u64,
    occupancy_at_ms: u64,
    learn_at_ms: u64,
    step: Step,
}

impl Dispatcher {
    /// Takes over from an earlier leader, whose leases may run for their full time.
    pub fn new(options: DispatchOptions, workflows: &Workflows, term: u64, now: Now) -> Dispatcher {
        Dispatcher {
            options,
            term,
            sessions: Sessions::take_over(workflows, now.mono_ms + options.held_ms()),
            harm: Harm::with_known(workflows.costs(), now.mono_ms),
            idle_since: plan::IdleSince::default(),
            begin_in_flight: false,
            is_dirty: true,
            plan_at_ms: now.mono_ms,
            forget_at_ms: now.mono_ms + FORGET_INTERVAL_MS,
            occupancy_at_ms: now.mono_ms + OCCUPANCY_INTERVAL_MS,
            learn_at_ms: now.mono_ms + LEARN_INTERVAL_MS,
            step: Step::default(),
        }
    }

    /// Returns when [`Dispatcher::tick`] has something to do.
    pub fn next_tick_ms(&self) -> u64 {
        let expiry_ms = self.sessions.next_expiry_ms();
        self.plan_at_ms.min(expiry_ms).min(self.forget_at_ms).min(self.learn_at_ms)
    }

    /// Lets time pass: leases expire, and occurrences become due.
    pub fn tick(&mut self, workflows: &Workflows, now: Now) {
        self.expire(workflows, now);
        if self.forget_at_ms <= now.mono_ms {
            self.forget_at_ms = now.mono_ms + FORGET_INTERVAL_MS;
            let before_ms = now.wall_ms.saturating_sub(self.options.retention_ms);
            self.step.commands.push(WorkflowCommand::Forget(before_ms));
        }
        if self.learn_at_ms <= now.mono_ms {
            self.learn_at_ms = now.mono_ms + LEARN_INTERVAL_MS;
            let known = self.harm.known();
            if known != workflows.costs() {
                self.step.commands.push(WorkflowCommand::Learn(known));
            }
        }
        if self.occupancy_at_ms <= now.mono_ms {
            self.occupancy_at_ms = now.mono_ms + OCCUPANCY_INTERVAL_MS;
            log_occupancy(workflows);
        }
        if self.plan_at_ms <= now.mono_ms {
            self.is_dirty = true;
        }
    }

    /// Plans if anything changed, and returns what is to be proposed and sent.
    pub fn finish_turn(
        &mut self,
        workflows: &Workflows,
        members: &[std::net::SocketAddr],
        now: Now,
    ) -> Step {
        if self.is_dirty && !self.begin_in_flight {
            self.is_dirty = false;
            self.plan_at_ms = now.mono_ms + self.options.plan.interval_ms;
            let usable = self.sessions.usable(workflows, self.term, self.options.silent_ms, now);
            let slow = self.sessions.slow_runs(&usable, now);
            let basis = plan::Basis { workflows, usable, slow, harm: &self.harm };
            let plan = plan::plan(&basis, &mut self.idle_since, now);
            if !plan.runs.is_empty() {
                self.begin_in_flight = true;
                self.step.commands.push(WorkflowCommand::Begin(plan.runs));
            }
            self.evict(workflows, &plan.moves, members);
        }
        std::mem::take(&mut self.step)
    }

    /// Takes in a command that the ledger has just applied.
    pub fn note_applied(
        &mut self,
        workflows: &Workflows,
        command: &WorkflowCommand,
        members: &[std::net::SocketAddr],
        now: Now,
    ) {
        self.is_dirty = true;
        match command {
            WorkflowCommand::Begin(runs) => {
                self.begin_in_flight = false;
                let mut workers: Vec<_> = runs.iter().map(|it| it.worker).collect();
                workers.sort_unstable();
                workers.dedup();
                for it in workers {
                    self.send_orders(workflows, it, members);
                }
            }
            WorkflowCommand::Enrol(it) => {
                self.sessions.drop_missing(workflows);
                if let Some(id) = workflows.workers().find(it.node, &it.name) {
                    tracing::info!(event = "worker_enrolled", worker = %it.name, id = %id, node = %it.node, service = %it.service, kind = %it.kind, rack = %it.rack);
                    self.sessions.open(id, it.node, now.mono_ms + self.options.held_ms());
                    // Its token lets the node read the lists that everything else waits for.
                    self.send_orders(workflows, id, members);
                }
            }
            WorkflowCommand::Finish(it) => {
                self.judge_worker(workflows, it, now);
                self.send_grant(workflows, it.worker, members, now);
                self.stop_superfluous(workflows, it, members);
            }
            WorkflowCommand::Dismiss(_) => self.sessions.drop_missing(workflows),
            WorkflowCommand::Cancel(id) => self.stop_cancelled(workflows, *id, members),
            _ => (),
        }
    }

    /// Learns that runs proposed did not come into the ledger.
    pub fn note_unproposed(&mut self) {
        self.begin_in_flight = false;
    }

    /// Learns from a report what its fillers do to its serving tasks.
    fn learn_harm(&mut self, workflows: &Workflows, report: &WorkerReport, now: Now) {
        let mut serving = Vec::new();
        let mut fillers = Vec::new();
        for task in &report.running {
            match workflows.step_of(task.run.task) {
                Some(it) if it.filler => fillers.push(Filler {
                    image: it.image.clone(),
                    cores: f64::from(task.load) / 1_000.0,
                }),
                // A task that has just begun has no tail yet.
                Some(it) if 0 < it.tail_target_ms && 0 < task.load => serving.push(Serving {
                    run: task.run,
                    image: it.image.clone(),
                    headroom_percent: headroom_percent(task.load, it.tail_target_ms),
                }),
                _ => (),
            }
        }
        self.harm.observe(&serving, &fillers, now.mono_ms);
    }

    /// Learns from ends whether a worker can be trusted with more.
    fn judge_worker(&mut self, workflows: &Workflows, it: &FinishRuns, now: Now) {
        let Some(session) = self.sessions.get_mut(it.worker) else { return };
        for end in &it.ends {
            match end.outcome {
                RunOutcome::Done => session.soundness.note_done(),
                RunOutcome::Failed => {
                    let workflow = end.run.task.workflow;
                    if session.soundness.note_failed(workflow, now.mono_ms) {
                        let worker = workflows.workers().get(it.worker);
                        let worker = worker.map(|it| it.name.as_str());
                        tracing::warn!(event = "worker_shunned", worker, cause = "failures", run = %run_name(end.run));
                    }
                }
                _ => (),
            }
        }
    }

    /// Tells workers to stop fillers that are to go on elsewhere.
    fn evict(
        &mut self,
        workflows: &Workflows,
        moves: &[sessions::SlowRun],
        members: &[std::net::SocketAddr],
    ) {
        let mut workers = std::collections::BTreeSet::new();
        for it in moves {
            let Some(session) = self.sessions.get_mut(it.worker) else { continue };
            session.evicted.insert(it.run);
            workers.insert(it.worker);
            let worker = workflows.workers().get(it.worker).map(|it| it.name.as_str());
            tracing::info!(event = "filler_moved", run = %run_name(it.run), worker, speed_percent = (it.share * 100.0) as u32, progress_percent = it.progress_percent);
        }
        for it in workers {
            self.send_orders(workflows, it, members);
        }
    }

    /// Notes the progress of what should move on a worker, and marks what stands still.
    ///
    /// Lasting tasks have none, fillers may wait for processor, and a gang waits for its members.
    fn watch_progress(&mut self, workflows: &Workflows, id: WorkerId, now: Now) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let Some(report) = &session.report else { return };
        let live: HashSet<_> = report.running.iter().map(|it| it.run).collect();
        session.progress.retain(|run, _| live.contains(run));
        session.speeds.retain(|run, _| live.contains(run));
        session.evicted.retain(|run| live.contains(run));
        for task in &report.running {
            let Some(step) = workflows.step_of(task.run.task) else { continue };
            if step.filler && !step.gang && !step.lasting {
                let speed = session.speeds.entry(task.run).or_insert(Speed::new(now.mono_ms));
                speed.observe(f64::from(task.load) / f64::from(step.need.cpu_millicores.max(1)));
            }
            if step.lasting || step.filler || step.gang {
                continue;
            }
            let first = Progress::new(task.progress_percent, now.mono_ms);
            let progress = session.progress.entry(task.run).or_insert(first);
            let stands = progress.observe(task.progress_percent, step.estimate_ms, now.mono_ms);
            if stands && session.evicted.insert(task.run) {
                session.soundness.note_stalled(now.mono_ms);
                tracing::warn!(event = "run_stalled", run = %run_name(task.run), worker = %report.name, progress_percent = task.progress_percent);
            }
        }
    }

    /// Dismisses workers whose lease is over: what ran there has been killed by now.
    fn expire(&mut self, workflows: &Workflows, now: Now) {
        for id in self.sessions.take_expired(now.mono_ms) {
            let Some(worker) = workflows.workers().get(id) else { continue };
            let heard_ms = self.sessions.get(id).map_or(0, |it| it.heard_ms);
            tracing::warn!(event = "worker_lost", worker = %worker.name, node = %worker.node, runs = worker.runs.len(), silent_ms = now.mono_ms.saturating_sub(heard_ms), cause = "lease_expired");
            let ends = self.sessions.lapsed_ends(id, worker);
            let finish = FinishRuns { worker: id, cursor: worker.cursor, ends };
            self.step.commands.push(WorkflowCommand::Finish(finish));
            self.step.commands.push(WorkflowCommand::Dismiss(id));
        }
    }
}

impl DispatchOptions {
    /// Returns how long a lease granted now may last by the slowest clock allowed.
    pub fn held_ms(&self) -> u64 {
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
