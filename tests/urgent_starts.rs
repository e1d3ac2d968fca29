//! Starts of urgent tasks on capacity that was freed for them.
#![allow(clippy::unwrap_used)]

use aspenrail::{
    control::{Plan, Scheduler, SchedulerOptions, state::State},
    prelude::*,
    util::GroupId,
};

const VM_MILLICORES: u32 = 1_000;

struct Leader {
    state: State,
    scheduler: Scheduler,
}

fn now(mono_ms: u64) -> Now {
    Now { mono_ms, wall_ms: mono_ms }
}

fn class(name: &str, urgent: bool) -> ConfigChange {
    ConfigChange::PutClass(Class {
        name: name.into(),
        kind: ClassKind::Batch,
        answer_target_ms: 0,
        answer_percentile_permille: 0,
        deadline_max_ms: 0,
        finish_target_ms: 0,
        evictions_per_hour: 1_000,
        urgent,
    })
}

impl Leader {
    /// Creates a leader of one VM.
    fn new() -> Leader {
        let state = State::new(GroupId { region: 1, group: 1 });
        let options =
            SchedulerOptions { keeps_urgent_reserve: false, ..SchedulerOptions::default() };
        let scheduler = Scheduler::new(&state, options);
        let mut res = Leader { state, scheduler };
        let quota = Resources { cpu_millicores: 10_000, memory_mib: 10, accelerators: 0 };
        let team =
            Team { name: "team".into(), quota, jobs_open_max: 10, requests_in_flight_max: 1 };
        for change in [ConfigChange::PutTeam(team), class("batch", false), class("urgent", true)] {
            let based_on = res.state.configuration.revision;
            let (key, operator) = (format_compact!("{based_on}"), "operator".into());
            let command = ConfigureCommand { based_on, key, operator, change };
            res.apply(0, &Command::Configure(command));
        }
        let (cpu_millicores, memory_mib) = (VM_MILLICORES, 10);
        res.apply(
            0,
            &Command::OpenSession(OpenSessionCommand {
                vm_name: "vm".into(),
                boot: 1,
                zone: "z".into(),
                rack: "r".into(),
                address: "127.0.0.1:1".parse().unwrap(),
                capacity: Resources { cpu_millicores, memory_mib, accelerators: 0 },
            }),
        );
        res
    }

    fn apply(&mut self, time_ms: u64, command: &Command) {
        let mut changes = Vec::new();
        let index = self.state.index() + 1;
        self.state.apply(index, time_ms, command, &mut changes).unwrap();
        changes.iter().for_each(|it| self.scheduler.note_change(&self.state, *it));
    }

    /// Submits a task that needs the whole VM.
    fn submit(&mut self, time_ms: u64, class: &str) {
        let resources = Resources { cpu_millicores: VM_MILLICORES, memory_mib: 0, accelerators: 0 };
        let spec = JobSpec {
            kind: "kind".into(),
            class: class.into(),
            subject: "subject".into(),
            tasks: 1,
            resources,
            declared_run_ms: 60_000,
            payload: "".into(),
        };
        let command = SubmitCommand { team: "team".into(), key: class.into(), spec };
        self.apply(time_ms, &Command::Submit(command));
    }

    fn plan(&mut self, time_ms: u64) -> Plan {
        self.scheduler.plan(&self.state, now(time_ms))
    }

    fn apply_event(&mut self, time_ms: u64, task: TaskId, event: TaskEvent) {
        self.apply(time_ms, &Command::TaskEvent(TaskEventCommand { task, incarnation: 1, event }));
    }
}

/// Load: batch work fills the VM, an urgent task comes, and the batch task takes 7 s to save its
/// progress. The reservation lasts 8 s; the urgent task must begin as soon as there is room.
#[yare::parameterized(soon = { 1_000 }, late = { 7_000 })]
fn an_urgent_task_begins_once_its_capacity_is_free(saving_ms: u64) {
    let mut leader = Leader::new();
    leader.submit(1_000, "batch");
    let plan = leader.plan(1_000);
    let start = plan.starts[0].clone();
    let batch = start.task;
    leader.apply(1_000, &Command::Start(start));
    leader.apply_event(1_000, batch, TaskEvent::Running);
    leader.submit(2_000, "urgent");
    let plan = leader.plan(2_000);
    assert_eq!(plan.events.len(), 1, "the batch task is evicted: {plan:?}");
    leader.apply_event(2_000, batch, TaskEvent::EvictRequested);
    let checkpoint = Checkpoint { token: "saved".into(), run_ms: 1_000 };
    leader.apply_event(2_000 + saving_ms, batch, TaskEvent::Evicted(checkpoint));
    let plan = leader.plan(2_000 + saving_ms);
    assert_eq!(plan.starts.len(), 1, "the urgent task is kept waiting: {plan:?}");
    assert_ne!(plan.starts[0].task, batch);
    let next = leader.plan(2_500 + saving_ms);
    assert!(next.starts.is_empty(), "the start is proposed once: {next:?}");
}
