//! Applies the effects that the cores emit to the fakes.

use std::{collections::BTreeMap, net::SocketAddr};

use aspenrail::{
    agent::{self, EndpointCall, EndpointResult, ExecutionId, WorkerCall},
    control,
    entry::{self, CallerAnswer},
    prelude::*,
};

use crate::{
    history::Run,
    sabotage::Sabotage,
    world::{CAPACITY, Event, LEAVE_GRACE_MS, PendingRequest, RoleCore, World},
};

impl World {
    pub(super) fn call_worker(&mut self, node: usize, call: WorkerCall) {
        let RoleCore::Agent { vm, .. } = self.nodes[node].role else { return };
        if !self.vms[vm].is_up {
            return;
        }
        let starts_before = self.vms[vm].worker.starts;
        let call = match (&self.sabotage, call) {
            (Some(Sabotage::EndlessLease), WorkerCall::Lease { session, .. }) => {
                WorkerCall::Lease { session, until_boottime_ms: u64::MAX }
            }
            (
                Some(Sabotage::TakesMore),
                WorkerCall::Start { session, task, incarnation, mut start },
            ) => {
                start.resources.cpu_millicores *= 16;
                WorkerCall::Start { session, task, incarnation, start }
            }
            (_, it) => it,
        };
        if let (Some(Sabotage::StartTwice), WorkerCall::Start { task, incarnation, .. }) =
            (&self.sabotage, &call)
        {
            // Simulates a second copy of the worker that receives the same order.
            self.vms[vm].worker.clone().call(self.now_ms, &call);
            self.history.starts.entry((*task, *incarnation)).or_default().push(vm);
        }
        let result = self.vms[vm].worker.call(self.now_ms, &call);
        if let WorkerCall::Start { task, incarnation, .. } = &call
            && starts_before < self.vms[vm].worker.starts
        {
            self.history.starts.entry((*task, *incarnation)).or_default().push(vm);
        }
        // The worker acts on the call, but its answer may be lost.
        let is_lost = self.random.u32(0..1_000) < self.links.drop_permille / 4;
        let result = if is_lost { agent::WorkerResult::Failed("timeout".into()) } else { result };
        self.input_agent(node, agent::Input::Worker { call, result });
    }

    pub(super) fn finish_execution(&mut self, node: usize, boot: u64, id: ExecutionId) {
        let RoleCore::Agent { vm, .. } = self.nodes[node].role else { return };
        if self.nodes[node].boot != boot {
            return;
        }
        if self.nodes[node].paused {
            return self.nodes[node].deferred_events.push(Event::Executed { node, boot, id });
        }
        let Some((_, call)) = self.vms[vm].executions.remove(&id) else { return };
        let body = match self.sabotage {
            Some(Sabotage::SwapAnswers) => b"someone else's".to_vec(),
            _ => call.body.to_vec(),
        };
        let result =
            EndpointResult::Answered { status: 200, content_type: "text/plain".into(), body };
        self.input_agent(node, agent::Input::Executor { execution: id, result });
    }

    pub(super) fn start_execution(&mut self, node: usize, call: EndpointCall) {
        let RoleCore::Agent { vm, .. } = self.nodes[node].role else { return };
        let body = String::from_utf8_lossy(&call.body).into_owned();
        if let Some(left_ms) = self.history.left_ms_by_vm.get(&vm)
            && left_ms + LEAVE_GRACE_MS < self.now_ms
        {
            self.history
                .work_after_leave
                .push(format!("{body} ran on VM {vm} {} ms after it left", self.now_ms - left_ms));
        }
        let runs_twice = self.sabotage == Some(Sabotage::RunTwice);
        for _ in 0..1 + usize::from(runs_twice) {
            self.history.runs.entry(body.clone()).or_default().push(Run { at_ms: self.now_ms, vm });
        }
        let boot = self.nodes[node].boot;
        let work_ms = self.random.u64(1..12);
        let id = call.execution;
        self.vms[vm].executions.insert(id, (self.now_ms, call));
        self.push(work_ms, Event::Executed { node, boot, id });
    }

    /// Records tasks that run on two VMs, and VMs whose tasks use more than their capacity.
    pub(super) fn check_workers(&mut self) {
        let mut vm_by_task: BTreeMap<TaskId, usize> = BTreeMap::new();
        for (vm_index, vm) in self.vms.iter_mut().enumerate() {
            vm.worker.advance(self.now_ms);
            for (task, incarnation) in vm.worker.running() {
                if let Some(other) = vm_by_task.insert(task, vm_index) {
                    let text = format!(
                        "task {task}.{incarnation} runs on VMs {other} and {vm_index} at {} ms",
                        self.now_ms
                    );
                    if self.history.duplicate_runs.len() < 5 {
                        self.history.duplicate_runs.push(text);
                    }
                }
            }
            let used = vm.worker.running_resources();
            if !control::state::fits(used, CAPACITY) && self.history.overcommitted_vms.len() < 5 {
                self.history
                    .overcommitted_vms
                    .push(format!("tasks on VM {vm_index} use {used:?} at {} ms", self.now_ms));
            }
        }
    }

    /// Applies the pending effects of a core and schedules its next tick.
    pub(super) fn apply_effects(&mut self, node: usize) {
        let boot = self.nodes[node].boot;
        let (in_force, next_ms) = match &mut self.nodes[node].role {
            RoleCore::Entry { core: Some(core) } => {
                let (in_force, effects) = (core.in_force(), core.take_effects());
                let next_ms = core.next_tick_ms();
                for effect in effects {
                    match effect {
                        entry::Effect::Send { to, message } => {
                            self.send(node, to, in_force, message)
                        }
                        entry::Effect::Answer { token, answer } => self.on_answer(token, answer),
                    }
                }
                (in_force, next_ms)
            }
            RoleCore::Agent { core: Some(core), .. } => {
                let (in_force, effects) = (core.in_force(), core.take_effects());
                let next_ms = core.next_tick_ms();
                for effect in effects {
                    match effect {
                        agent::Effect::Send { to, message } => {
                            self.send(node, to, in_force, message)
                        }
                        agent::Effect::Worker(call) => {
                            self.push(1, Event::Worker { node, boot, call })
                        }
                        agent::Effect::CallEndpoint(it) => self.start_execution(node, it),
                        agent::Effect::Answer { .. } => (),
                    }
                }
                (in_force, next_ms)
            }
            RoleCore::Control { core: Some(core), .. } => {
                let is_visible = core.is_ready() || self.sabotage == Some(Sabotage::ShowsTooEarly);
                let in_force = if is_visible { core.in_force() } else { Revision(0) };
                let (effects, next_ms) = (core.take_effects(), core.next_tick_ms());
                for effect in effects {
                    match effect {
                        control::Effect::Send { to, message } => {
                            self.send(node, to, in_force, message)
                        }
                        control::Effect::Write { number, writes } => {
                            if let RoleCore::Control { disk, .. } = &mut self.nodes[node].role {
                                disk.write(number, writes);
                            }
                            let delay_ms = self.random.u64(1..4);
                            self.push(delay_ms, Event::Synced { node, boot, number });
                        }
                        control::Effect::Answer { token, outcome } => {
                            self.on_outcome(token, outcome)
                        }
                    }
                }
                (in_force, next_ms)
            }
            _ => return,
        };
        self.record_in_force(node, in_force);
        let at_ms = next_ms.clamp(self.now_ms + 1, self.now_ms + 1_000);
        if at_ms < self.nodes[node].tick_ms || self.nodes[node].tick_ms <= self.now_ms {
            self.nodes[node].tick_ms = at_ms;
            self.push(at_ms - self.now_ms, Event::Tick { node, boot });
        }
    }

    pub(super) fn record_in_force(&mut self, node: usize, in_force: Revision) {
        if in_force == Revision(0) {
            return;
        }
        let address = self.nodes[node].address;
        let before = self.history.in_force.insert(address, in_force);
        if before.is_some_and(|it| in_force < it) {
            self.history.reverts.push(format!("{address} went from {before:?} back to {in_force}"));
        }
    }

    pub(super) fn send(
        &mut self,
        from: usize,
        to: SocketAddr,
        in_force: Revision,
        message: Message,
    ) {
        let Some(to) = self.nodes.iter().position(|it| it.address == to) else { return };
        if self.links.cut.contains(&(from, to)) {
            return;
        }
        if self.random.u32(0..1_000) < self.links.drop_permille {
            return;
        }
        let copies = 1 + usize::from(self.random.u32(0..1_000) < self.links.duplicate_permille);
        let from = self.nodes[from].address;
        for _ in 0..copies {
            let delay_ms = self.random.u64(1..=self.links.delay_max_ms);
            let message = Box::new(message.clone());
            self.push(delay_ms, Event::Deliver { from, to, in_force, message });
        }
    }

    pub(super) fn on_answer(&mut self, token: u64, answer: CallerAnswer) {
        let Some(pending) = self.pending_requests.remove(&token) else { return };
        match (pending, answer) {
            (PendingRequest::Quick, answer) => {
                let answer = match (&self.sabotage, answer) {
                    (Some(Sabotage::LieNotRun), CallerAnswer::Quick { .. }) => {
                        CallerAnswer::Refused(refusal(ErrorKind::QueueFull, "a lie"))
                    }
                    (_, it) => it,
                };
                if let Some(it) = self.history.quick_requests.get_mut(&token) {
                    it.answer = Some((self.now_ms, answer));
                }
            }
            (PendingRequest::Submit(tasks), CallerAnswer::Done(Reply::JobAccepted(it))) => {
                self.history.jobs.insert(it.job, tasks);
            }
            _ => (),
        }
    }

    pub(super) fn on_outcome(&mut self, token: u64, outcome: Result<Reply, Refusal>) {
        if let Some(PendingRequest::Change(index)) = self.pending_requests.remove(&token) {
            self.history.changes[index].outcome = Some(outcome);
        }
    }
}
