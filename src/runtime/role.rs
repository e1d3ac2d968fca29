//! One role as an actor.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use stakker::{ActorOwn, CX, FixedTimerKey, Stakker, actor_new, after, call, ret_shutdown};

use crate::{
    agent::{self, AgentCore},
    control::{self, ControlCore},
    entry::{self, EntryCore},
    gateway::{self, GatewayCore},
    node::{self, NodeCore},
    prelude::*,
    util::Clock,
};

/// Longest pause between two ticks, so that a wrong estimate heals.
const TICK_MAX_MS: u64 = 1_000;

/// A core as the runtime drives it.
pub(super) trait RoleCore: 'static {
    type Input: 'static;
    type Effect;

    /// Returns the input that lets time pass.
    fn tick() -> Self::Input;

    /// Takes in one input.
    ///
    /// # Errors
    ///
    /// Returns an error after which the process must stop.
    fn handle(&mut self, now: Now, input: Self::Input) -> Result<()>;

    fn take_effects(&mut self) -> Vec<Self::Effect>;

    fn next_tick_ms(&self) -> u64;

    fn in_force(&self) -> Revision;

    /// Returns whether a balancer or an operator may count on the role.
    fn is_ready(&self) -> bool;

    /// Returns whether a planned stop has nothing left to wait for.
    fn is_drained(&self) -> bool;
}

/// Carries out the effects of a core.
pub(super) trait Adapter<C: RoleCore>: 'static {
    fn carry(&mut self, effect: C::Effect, in_force: Revision);

    /// Takes note of the core after a turn, for metrics.
    fn observe(&mut self, core: &C);
}

/// What other threads see of a role.
#[derive(Debug, Default)]
pub(super) struct RoleStatus {
    ready: AtomicBool,
    drained: AtomicBool,
}

impl RoleStatus {
    pub(super) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    pub(super) fn is_drained(&self) -> bool {
        self.drained.load(Ordering::Relaxed)
    }
}

/// One role as an actor.
pub(super) struct RoleActor<C: RoleCore, A: Adapter<C>> {
    core: C,
    adapter: A,
    status: Arc<RoleStatus>,
    clock: Clock,
    timer: Option<(u64, FixedTimerKey)>,
}

impl<C: RoleCore, A: Adapter<C>> RoleActor<C, A> {
    /// Makes the actor and lets its core begin.
    pub(super) fn init(cx: CX![], core: C, adapter: A, status: Arc<RoleStatus>) -> Option<Self> {
        let mut res = RoleActor { core, adapter, status, clock: Clock, timer: None };
        res.input(cx, C::tick());
        Some(res)
    }

    /// Takes in one input, carries out what it led to, and sets the timer.
    pub(super) fn input(&mut self, cx: CX![], input: C::Input) {
        let now = self.clock.now();
        if let Err(report) = self.core.handle(now, input) {
            tracing::error!(event = "core_failed", error = %format_args!("{report:#}"));
            return cx.fail_string(report.to_string());
        }
        let in_force = self.core.in_force();
        for it in self.core.take_effects() {
            self.adapter.carry(it, in_force);
        }
        self.adapter.observe(&self.core);
        self.status.ready.store(self.core.is_ready(), Ordering::Relaxed);
        self.status.drained.store(self.core.is_drained(), Ordering::Relaxed);
        self.set_timer(cx, now);
    }

    fn set_timer(&mut self, cx: CX![], now: Now) {
        let at_ms = self.core.next_tick_ms().clamp(now.mono_ms, now.mono_ms + TICK_MAX_MS);
        if self.timer.is_some_and(|(set_ms, _)| set_ms <= at_ms && now.mono_ms < set_ms) {
            // It fires early enough, and finds out then what is due.
            return;
        }
        if let Some((_, key)) = self.timer.take() {
            cx.timer_del(key);
        }
        let pause = Duration::from_millis((at_ms - now.mono_ms).max(1));
        self.timer =
            Some((now.mono_ms + pause.as_millis() as u64, after!(pause, [cx], on_timer())));
    }

    fn on_timer(&mut self, cx: CX![]) {
        self.timer = None;
        self.input(cx, C::tick());
    }
}

/// Starts a role in an actor, with whose end the process ends.
pub(super) fn start_actor<C: RoleCore, A: Adapter<C>>(
    stakker: &mut Stakker,
    core: C,
    adapter: A,
    status: Arc<RoleStatus>,
) -> ActorOwn<RoleActor<C, A>> {
    let actor = actor_new!(stakker, RoleActor<C, A>, ret_shutdown!(stakker));
    call!([actor], <RoleActor<C, A>>::init(core, adapter, status));
    actor
}

impl RoleCore for EntryCore {
    type Input = entry::Input;
    type Effect = entry::Effect;

    fn tick() -> entry::Input {
        entry::Input::Tick
    }

    fn handle(&mut self, now: Now, input: entry::Input) -> Result<()> {
        self.handle(now, input);
        Ok(())
    }

    fn take_effects(&mut self) -> Vec<entry::Effect> {
        self.take_effects()
    }

    fn next_tick_ms(&self) -> u64 {
        self.next_tick_ms()
    }

    fn in_force(&self) -> Revision {
        self.in_force()
    }

    fn is_ready(&self) -> bool {
        self.is_ready()
    }

    fn is_drained(&self) -> bool {
        self.is_drained()
    }
}

impl RoleCore for AgentCore {
    type Input = agent::Input;
    type Effect = agent::Effect;

    fn tick() -> agent::Input {
        agent::Input::Tick
    }

    fn handle(&mut self, now: Now, input: agent::Input) -> Result<()> {
        self.handle(now, input);
        Ok(())
    }

    fn take_effects(&mut self) -> Vec<agent::Effect> {
        self.take_effects()
    }

    fn next_tick_ms(&self) -> u64 {
        self.next_tick_ms()
    }

    fn in_force(&self) -> Revision {
        self.in_force()
    }

    fn is_ready(&self) -> bool {
        self.has_lease(Clock.now())
    }

    fn is_drained(&self) -> bool {
        self.is_drained()
    }
}

impl RoleCore for ControlCore {
    type Input = control::Input;
    type Effect = control::Effect;

    fn tick() -> control::Input {
        control::Input::Tick
    }

    fn handle(&mut self, now: Now, input: control::Input) -> Result<()> {
        self.handle(now, input)
    }

    fn take_effects(&mut self) -> Vec<control::Effect> {
        self.take_effects()
    }

    fn next_tick_ms(&self) -> u64 {
        self.next_tick_ms()
    }

    fn in_force(&self) -> Revision {
        self.in_force()
    }

    fn is_ready(&self) -> bool {
        self.is_ready()
    }

    fn is_drained(&self) -> bool {
        // Alone, there is nobody to hand over to.
        !self.raft().is_leader() || self.raft().members().voters.len() < 2
    }
}

impl RoleCore for GatewayCore {
    type Input = gateway::Input;
    type Effect = gateway::Effect;

    fn tick() -> gateway::Input {
        gateway::Input::Tick
    }

    fn handle(&mut self, now: Now, input: gateway::Input) -> Result<()> {
        self.handle(now, input);
        Ok(())
    }

    fn take_effects(&mut self) -> Vec<gateway::Effect> {
        self.take_effects()
    }

    fn next_tick_ms(&self) -> u64 {
        self.next_tick_ms()
    }

    fn in_force(&self) -> Revision {
        Revision(0)
    }

    fn is_ready(&self) -> bool {
        self.is_ready(Clock.now())
    }

    fn is_drained(&self) -> bool {
        self.is_drained()
    }
}

impl RoleCore for NodeCore {
    type Input = node::Input;
    type Effect = node::Effect;

    fn tick() -> node::Input {
        node::Input::Tick
    }

    fn handle(&mut self, now: Now, input: node::Input) -> Result<()> {
        self.handle(now, input);
        Ok(())
    }

    fn take_effects(&mut self) -> Vec<node::Effect> {
        self.take_effects()
    }

    fn next_tick_ms(&self) -> u64 {
        self.next_tick_ms()
    }

    fn in_force(&self) -> Revision {
        Revision(0)
    }

    fn is_ready(&self) -> bool {
        true
    }

    fn is_drained(&self) -> bool {
        true
    }
}
