//! What the cores want done, carried out by the fakes.

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
    world::{Asked, CAPACITY, Event, LEAVE_MS, RoleCore, World},
};

impl World {
    pub(super) fn call_worker(&mut self, node: usize, call: WorkerCall) {
        let RoleCore::Agent { vm, .. } = self.nodes[node].role else { return };
        if !self.vms[vm].up {
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
            // As if a second copy of the worker had heard the order too.
            self.vms[vm].worker.clone().call(self.now_ms, &call);
            self.history.starts.entry((*task, *incarnation)).or_default().push(vm);
        }
        let result = self.vms[vm].worker.call(self.now_ms, &call);
        if let WorkerCall::Start { task, incarnation, .. } = &call
            && starts_before < self.vms[vm].worker.starts
        {
            self.history.starts.entry((*task, *incarnation)).or_default().push(vm);
        }
        // An answer that gets lost on the way.
        let lost = self.random.u32(0..1_000) < self.links.drop_permille / 4;
        let result = if lost { agent::WorkerResult::Failed("timeout".into()) } else { result };
        self.input_agent(node, agent::Input::Worker { call, result });
    }

    pub(super) fn executed(&mut self, node: usize, boot: u64, id: ExecutionId) {
        let RoleCore::Agent { vm, .. } = self.nodes[node].role else { return };
        if self.nodes[node].boot != boot {
            return;
        }
        if self.nodes[node].paused {
            return self.nodes[node].waiting.push(Event::Executed { node, boot, id });
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

    pub(super) fn execute(&mut self, node: usize, call: EndpointCall) {
        let RoleCore::Agent { vm, .. } = self.nodes[node].role else { return };
        let body = String::from_utf8_lossy(&call.body).into_owned();
        if let Some(left_ms) = self.history.left.get(&vm)
            && left_ms + LEAVE_MS < self.now_ms
        {
            self.history
                .late_work
                .push(format!("{body} ran on VM {vm} {} ms after it left", self.now_ms - left_ms));
        }
        let doubled = self.sabotage == Some(Sabotage::RunTwice);
        for _ in 0..1 + usize::from(doubled) {
            self.history.runs.entry(body.clone()).or_default().push(Run { at_ms: self.now_ms, vm });
        }
        let boot = self.nodes[node].boot;
        let work_ms = self.random.u64(1..12);
        let id = call.execution;
        self.vms[vm].executions.insert(id, (self.now_ms, call));
        self.push(work_ms, Event::Executed { node, boot, id });
    }

    /// Looks whether any task runs in two places, or any VM holds too much.
    pub(super) fn look_at_workers(&mut self) {
        let mut places: BTreeMap<TaskId, usize> = BTreeMap::new();
        for (at, vm) in self.vms.iter_mut().enumerate() {
            vm.worker.advance(self.now_ms);
            for (task, incarnation) in vm.worker.running() {
                if let Some(other) = places.insert(task, at) {
                    let text = format!(
                        "task {task}.{incarnation} runs on VMs {other} and {at} at {}",
                        self.now_ms
                    );
                    if self.history.doubled.len() < 5 {
                        self.history.doubled.push(text);
                    }
                }
            }
            let held = vm.worker.running_resources();
            if !control::state::fits(held, CAPACITY) && self.history.overfull.len() < 5 {
                self.history.overfull.push(format!("VM {at} holds {held:?} at {}", self.now_ms));
            }
        }
    }

    /// Carries out what a core wants done, and sets its timer.
    pub(super) fn after_turn(&mut self, node: usize) {
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
                        agent::Effect::CallEndpoint(it) => self.execute(node, it),
                        agent::Effect::Answer { .. } => (),
                    }
                }
                (in_force, next_ms)
            }
            RoleCore::Control { core: Some(core), .. } => {
                let shows = core.is_ready() || self.sabotage == Some(Sabotage::ShowsTooEarly);
                let in_force = if shows { core.in_force() } else { Revision(0) };
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
        self.note_in_force(node, in_force);
        let at_ms = next_ms.clamp(self.now_ms + 1, self.now_ms + 1_000);
        if at_ms < self.nodes[node].tick_ms || self.nodes[node].tick_ms <= self.now_ms {
            self.nodes[node].tick_ms = at_ms;
            self.push(at_ms - self.now_ms, Event::Tick { node, boot });
        }
    }

    pub(super) fn note_in_force(&mut self, node: usize, in_force: Revision) {
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
        let copies = 1 + usize::from(self.random.u32(0..1_000) < self.links.double_permille);
        let from = self.nodes[from].address;
        for _ in 0..copies {
            let delay_ms = self.random.u64(1..=self.links.delay_max_ms);
            let message = Box::new(message.clone());
            self.push(delay_ms, Event::Deliver { from, to, in_force, message });
        }
    }

    pub(super) fn on_answer(&mut self, token: u64, answer: CallerAnswer) {
        let Some(asked) = self.tokens.remove(&token) else { return };
        match (asked, answer) {
            (Asked::Quick, answer) => {
                let answer = match (&self.sabotage, answer) {
                    (Some(Sabotage::LieNotRun), CallerAnswer::Quick { .. }) => {
                        CallerAnswer::Refused(refusal(ErrorKind::QueueFull, "a lie"))
                    }
                    (_, it) => it,
                };
                if let Some(it) = self.history.quicks.get_mut(&token) {
                    it.answer = Some((self.now_ms, answer));
                }
            }
            (Asked::Submit(tasks), CallerAnswer::Done(Reply::JobAccepted(it))) => {
                self.history.jobs.insert(it.job, tasks);
            }
            _ => (),
        }
    }

    pub(super) fn on_outcome(&mut self, token: u64, outcome: Result<Reply, Refusal>) {
        if let Some(Asked::Change(index)) = self.tokens.remove(&token) {
            self.history.changes[index].outcome = Some(outcome);
        }
    }
}
