//! Tests the replicated state against a naive reference model, which keeps a flat list of tasks and
//! recomputes every sum.
#![allow(clippy::unwrap_used)]

use aspenrail::{control::state::State, prelude::*, util::GroupId};
use proptest::prelude::*;

const CAPACITY: u32 = 1_000;

/// The own interface: a job is cancelled by the id in the answer to its submission. A copy of the
/// submission that comes later, wherever it waited, names the same key: it is answered with the
/// cancelled job, and nothing of it runs, also after a snapshot and until the job's retention ends.
#[test]
fn a_copy_of_a_cancelled_job_starts_nothing() {
    let mut twin = StateAndModel::new();
    twin.submit(100);
    let (job, task) = twin.ids[0];
    let copy = twin.submit_command(0, 100);
    let cancel = CancelCommand { team: "t".into(), jobs: vec![job] };
    assert_eq!(twin.apply(Command::Cancel(cancel)), Ok(Reply::Done));
    for _ in 0..2 {
        let answer = twin.apply(Command::Submit(copy.clone()));
        assert_eq!(answer, Ok(Reply::JobAccepted(JobAccepted { job, resent: true })));
        assert_eq!(twin.state.jobs.task(task).unwrap().state, TaskState::Cancelled);
        assert_eq!(twin.state.jobs.task_count(), 1);
        twin.state = State::from_bytes(&twin.state.to_bytes().unwrap()).unwrap();
        let finished_ms = twin.state.jobs.job(job).unwrap().finished_ms.unwrap();
        let expire = ExpireCommand { jobs_before_ms: finished_ms, claims_before_ms: 0 };
        twin.apply(Command::Expire(expire)).unwrap();
    }
}

/// Placement of a task in the model.
#[derive(Clone, Copy, Debug, PartialEq)]
enum TaskPlacement {
    Waiting,
    Placed(usize),
    /// Cancelled while placed on a VM.
    Cancelled(usize),
    Ended,
}

#[derive(Clone, Copy, Debug)]
struct ModelTask {
    need: u32,
    placement: TaskPlacement,
    incarnation: u32,
}

#[derive(Clone, Debug, Default)]
struct ReferenceModel {
    tasks: Vec<ModelTask>,
    /// Open session of each VM.
    sessions: Vec<Option<u64>>,
}

impl ReferenceModel {
    fn used(&self, vm: usize) -> u32 {
        let placed = self.tasks.iter().filter(|it| {
            it.placement == TaskPlacement::Placed(vm)
                || it.placement == TaskPlacement::Cancelled(vm)
        });
        placed.map(|it| it.need).sum()
    }

    fn start(&mut self, task: usize, incarnation: u32, vm: usize, session: u64) -> bool {
        let model_task = self.tasks[task];
        let fits = self.used(vm) + model_task.need <= CAPACITY;
        let ok = model_task.placement == TaskPlacement::Waiting
            && model_task.incarnation + 1 == incarnation
            && self.sessions[vm] == Some(session)
            && fits;
        if ok {
            self.tasks[task].placement = TaskPlacement::Placed(vm);
            self.tasks[task].incarnation = incarnation;
        }
        ok
    }

    fn end(&mut self, task: usize, incarnation: u32, completed: bool) -> bool {
        let model_task = &mut self.tasks[task];
        let ok = model_task.incarnation == incarnation
            && matches!(
                model_task.placement,
                TaskPlacement::Placed(_) | TaskPlacement::Cancelled(_)
            );
        if ok {
            let is_requeued =
                !completed && matches!(model_task.placement, TaskPlacement::Placed(_));
            model_task.placement =
                if is_requeued { TaskPlacement::Waiting } else { TaskPlacement::Ended };
        }
        ok
    }

    fn cancel(&mut self, task: usize) {
        let model_task = &mut self.tasks[task];
        model_task.placement = match model_task.placement {
            TaskPlacement::Waiting => TaskPlacement::Ended,
            TaskPlacement::Placed(vm) => TaskPlacement::Cancelled(vm),
            other => other,
        };
    }

    fn close(&mut self, vm: usize) {
        self.sessions[vm] = None;
        for model_task in &mut self.tasks {
            model_task.placement = match model_task.placement {
                TaskPlacement::Placed(used_vm) if used_vm == vm => TaskPlacement::Waiting,
                TaskPlacement::Cancelled(used_vm) if used_vm == vm => TaskPlacement::Ended,
                other => other,
            };
        }
    }
}

struct StateAndModel {
    state: State,
    model: ReferenceModel,
    ids: Vec<(JobId, TaskId)>,
}

impl StateAndModel {
    fn apply(&mut self, command: Command) -> Result<Reply, Refusal> {
        let index = self.state.index() + 1;
        self.state.apply(index, index, &command, &mut Vec::new())
    }

    fn new() -> StateAndModel {
        let state = State::new(GroupId { region: 1, group: 1 });
        let mut res = StateAndModel { state, model: ReferenceModel::default(), ids: Vec::new() };
        let quota = Resources { cpu_millicores: CAPACITY, memory_mib: 1, accelerators: 0 };
        let team =
            Team { name: "t".into(), quota, jobs_open_max: 1_000, requests_in_flight_max: 1 };
        let class = Class {
            name: "c".into(),
            kind: ClassKind::Batch,
            answer_target_ms: 0,
            answer_percentile_permille: 0,
            deadline_max_ms: 0,
            finish_target_ms: 0,
            evictions_per_hour: 0,
            urgent: false,
        };
        for change in [ConfigChange::PutTeam(team), ConfigChange::PutClass(class)] {
            let based_on = res.state.configuration.revision;
            let key = format_compact!("{based_on}");
            res.apply(Command::Configure(ConfigureCommand {
                based_on,
                key,
                operator: "o".into(),
                change,
            }))
            .unwrap();
        }
        for vm in 0..3 {
            res.model.sessions.push(None);
            res.open(vm);
        }
        res
    }

    fn open(&mut self, vm: usize) {
        let index = self.state.index() + 1;
        let command = OpenSessionCommand {
            vm_name: format_compact!("vm-{vm}"),
            boot: index,
            zone: "z".into(),
            rack: "r".into(),
            address: "127.0.0.1:1".parse().unwrap(),
            capacity: Resources {
                cpu_millicores: CAPACITY,
                memory_mib: 1_000_000,
                accelerators: 0,
            },
        };
        self.apply(Command::OpenSession(command)).unwrap();
        self.model.sessions[vm] = Some(index);
    }

    fn submit_command(&self, number: usize, need: u32) -> SubmitCommand {
        let spec = JobSpec {
            kind: "k".into(),
            class: "c".into(),
            subject: "s".into(),
            tasks: 1,
            resources: Resources { cpu_millicores: need, memory_mib: 0, accelerators: 0 },
            declared_run_ms: 1,
            payload: "".into(),
        };
        SubmitCommand { team: "t".into(), key: format_compact!("{number}"), spec }
    }

    fn submit(&mut self, need: u32) {
        let command = self.submit_command(self.ids.len(), need);
        let Ok(Reply::JobAccepted(it)) = self.apply(Command::Submit(command)) else {
            panic!("refused")
        };
        let task = self.state.jobs.job(it.job).unwrap().first_task;
        self.ids.push((it.job, task));
        self.model.tasks.push(ModelTask {
            need,
            placement: TaskPlacement::Waiting,
            incarnation: 0,
        });
    }

    /// Applies one step to the state and the model, and checks that they agree.
    fn step(&mut self, (kind, task, vm, skew): (u8, usize, usize, u32)) {
        if self.ids.is_empty() || kind == 0 {
            return self.submit(100 + (task as u32 * 130) % 700);
        }
        let task = task % self.ids.len();
        let (job, id) = self.ids[task];
        // Mostly the current task incarnation, sometimes an older or a newer one.
        let incarnation =
            (self.model.tasks[task].incarnation + u32::from(kind == 1) + u32::from(skew == 1))
                .saturating_sub(u32::from(skew == 2));
        match kind {
            1 => {
                let session = self.model.sessions[vm].unwrap_or(1) - u64::from(skew == 3);
                let start = StartCommand {
                    task: id,
                    incarnation,
                    vm: VmId(vm as u32 + 1),
                    session: SessionId(session),
                };
                let expected = self.model.start(task, incarnation, vm, session);
                assert_eq!(self.apply(Command::Start(start)).is_ok(), expected);
            }
            2 | 3 => {
                let done = Completion { result: "r".into(), run_ms: 1 };
                let event = if kind == 2 { TaskEvent::Completed(done) } else { TaskEvent::Stopped };
                let expected = self.model.end(task, incarnation, kind == 2);
                let command = TaskEventCommand { task: id, incarnation, event };
                assert_eq!(self.apply(Command::TaskEvent(command)).is_ok(), expected);
            }
            4 => {
                self.model.cancel(task);
                let _ = self
                    .apply(Command::Cancel(CancelCommand { team: "t".into(), jobs: vec![job] }));
            }
            5 => {
                if let Some(session) = self.model.sessions[vm] {
                    self.model.close(vm);
                    let command = CloseSessionCommand {
                        session: SessionId(session),
                        reason: SessionEnd::Expired,
                    };
                    self.apply(Command::CloseSession(command)).unwrap();
                }
            }
            _ => self.open(vm),
        }
        self.compare();
    }

    fn compare(&self) {
        self.state.audit().unwrap();
        for ((_, id), model) in self.ids.iter().zip(&self.model.tasks) {
            let task = self.state.jobs.task(*id).unwrap();
            let placement = match (task.placement, task.state) {
                (Some(it), TaskState::Stopping) => TaskPlacement::Cancelled(it.vm.0 as usize - 1),
                (Some(it), _) => TaskPlacement::Placed(it.vm.0 as usize - 1),
                (None, it) if it.is_waiting() => TaskPlacement::Waiting,
                (None, _) => TaskPlacement::Ended,
            };
            assert_eq!(
                (placement, task.incarnation),
                (model.placement, model.incarnation),
                "task {id}"
            );
        }
        for (vm, session) in self.model.sessions.iter().enumerate() {
            let vm_state = self.state.vms.get(VmId(vm as u32 + 1)).unwrap();
            assert_eq!(vm_state.used.cpu_millicores, self.model.used(vm));
            assert_eq!(vm_state.session.as_ref().map(|it| it.id.0), *session);
        }
        let copy = State::from_bytes(&self.state.to_bytes().unwrap()).unwrap();
        assert_eq!(
            copy.to_bytes().unwrap(),
            self.state.to_bytes().unwrap(),
            "a snapshot must restore the whole state"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn state_agrees_with_its_twin(steps in proptest::collection::vec((0_u8..7, 0_usize..40, 0_usize..3, 0_u32..12), 1..120)) {
        let mut pair = StateAndModel::new();
        for step in steps {
            pair.step(step);
        }
    }
}
