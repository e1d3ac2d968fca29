//! Runs a role's core as an actor.

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

/// Longest time between ticks; bounds the effect of a wrong estimate of the next one.
const TICK_INTERVAL_MAX_MS: u64 = 1_000;

/// A core as driven by the runtime.
pub(super) trait RoleCore: 'static {
    type Input: 'static;
    type Effect;

    /// Returns the input for a tick of the timer.
    fn tick() -> Self::Input;

    /// Handles one input.
    ///
    /// # Errors
    ///
    /// Returns an error after which the process must exit.
    fn handle(&mut self, now: Now, input: Self::Input) -> Result<()>;

    fn take_effects(&mut self) -> Vec<Self::Effect>;

    fn next_tick_ms(&self) -> u64;

    fn in_force(&self) -> Revision;

    /// Returns whether the role is ready to serve requests.
    fn is_ready(&self) -> bool;

    /// Returns whether a planned stop has no work left to wait for.
    fn is_drained(&self) -> bool;
}

/// Carries out the effects of a core.
pub(super) trait Adapter<C: RoleCore>: 'static {
    fn execute(&mut self, effect: C::Effect, in_force: Revision);

    /// Updates the metrics from the core's state after each input.
    fn observe(&mut self, core: &C);
}

/// The state of a role as other threads read it.
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

/// A role's core with its adapter, run as an actor.
pub(super) struct RoleActor<C: RoleCore, A: Adapter<C>> {
    core: C,
    adapter: A,
    status: Arc<RoleStatus>,
    clock: Clock,
    timer: Option<(u64, FixedTimerKey)>,
}

impl<C: RoleCore, A: Adapter<C>> RoleActor<C, A> {
    /// Creates the actor and gives its core the first tick.
    pub(super) fn init(cx: CX![], core: C, adapter: A, status: Arc<RoleStatus>) -> Option<Self> {
        let mut actor = RoleActor { core, adapter, status, clock: Clock, timer: None };
        actor.handle_input(cx, C::tick());
        Some(actor)
    }

    /// Handles one input, executes the resulting effects, and sets the timer.
    pub(super) fn handle_input(&mut self, cx: CX![], input: C::Input) {
        let now = self.clock.now();
        if let Err(report) = self.core.handle(now, input) {
            tracing::error!(event = "core_failed", error = %format_args!("{report:#}"));
            return cx.fail_string(report.to_string());
        }
        let in_force = self.core.in_force();
        for effect in self.core.take_effects() {
            self.adapter.execute(effect, in_force);
        }
        self.adapter.observe(&self.core);
        self.status.ready.store(self.core.is_ready(), Ordering::Relaxed);
        self.status.drained.store(self.core.is_drained(), Ordering::Relaxed);
        self.set_timer(cx, now);
    }

    fn set_timer(&mut self, cx: CX![], now: Now) {
        let tick_at_ms =
            self.core.next_tick_ms().clamp(now.mono_ms, now.mono_ms + TICK_INTERVAL_MAX_MS);
        if self
            .timer
            .is_some_and(|(timer_at_ms, _)| timer_at_ms <= tick_at_ms && now.mono_ms < timer_at_ms)
        {
            // The timer already fires early enough; the core then finds what is due.
            return;
        }
        if let Some((_, key)) = self.timer.take() {
            cx.timer_del(key);
        }
        let delay = Duration::from_millis((tick_at_ms - now.mono_ms).max(1));
        self.timer =
            Some((now.mono_ms + delay.as_millis() as u64, after!(delay, [cx], on_timer())));
    }

    fn on_timer(&mut self, cx: CX![]) {
        self.timer = None;
        self.handle_input(cx, C::tick());
    }
}

/// Starts a role in an actor; when the actor ends, the process exits.
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
        // A single voter has no other member to transfer the leadership to.
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
