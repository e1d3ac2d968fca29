//! Jobs and their tasks.

use std::collections::BTreeMap;

use crate::{
    control::state::{
        Change, ReplyResult, State,
        task::{Placement, Task, TaskTransition, next_state},
        vms::{self, fits},
    },
    prelude::*,
    util::GroupId,
};

/// Maximum number of tasks in a job, so that one command is applied quickly.
const TASKS_PER_JOB_MAX: u32 = 10_000;

/// An accepted job.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Job {
    pub id: JobId,
    pub team: CompactString,
    pub key: CompactString,
    pub spec: JobSpec,
    pub first_task: TaskId,
    pub tasks_open: u32,
    pub accepted_ms: u64,
    pub finished_ms: Option<u64>,
}

impl Job {
    /// Returns the ids of the job's tasks.
    pub fn task_ids(&self) -> impl Iterator<Item = TaskId> + use<> {
        let first = self.first_task.0;
        (first..first + u64::from(self.spec.tasks)).map(TaskId)
    }
}

/// All jobs and tasks kept.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct Jobs {
    jobs: BTreeMap<JobId, Job>,
    tasks: BTreeMap<TaskId, Task>,
    by_key: BTreeMap<(CompactString, CompactString), JobId>,
    open_by_team: BTreeMap<CompactString, u32>,
    /// Finished jobs by time, for expiry without a scan.
    finished: BTreeMap<(u64, JobId), ()>,
    #[serde(rename = "next_job")]
    last_job_index: u64,
    #[serde(rename = "next_task")]
    last_task_index: u64,
}

impl Jobs {
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    pub fn task(&self, id: TaskId) -> Option<&Task> {
        self.tasks.get(&id)
    }

    pub fn tasks(&self) -> impl Iterator<Item = &Task> {
        self.tasks.values()
    }

    pub fn jobs(&self) -> impl DoubleEndedIterator<Item = &Job> {
        self.jobs.values()
    }

    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    pub fn task_count(&self) -> usize {
        self.tasks.len()
    }

    pub fn job_of(&self, task: &Task) -> Option<&Job> {
        self.jobs.get(&task.job)
    }

    /// Returns the resources that a task needs.
    pub fn need_of(&self, task: &Task) -> Resources {
        self.job_of(task).map_or(vms::NO_RESOURCES, |it| it.spec.resources)
    }

    /// Returns the number of a team's unfinished jobs.
    pub fn open_jobs_of(&self, team: &str) -> u32 {
        self.open_by_team.get(team).copied().unwrap_or(0)
    }

    pub(super) fn expire(&mut self, before_ms: u64) {
        while let Some((&(at_ms, id), ())) = self.finished.first_key_value()
            && at_ms < before_ms
        {
            self.finished.pop_first();
            let Some(job) = self.jobs.remove(&id) else { continue };
            for task in job.task_ids() {
                self.tasks.remove(&task);
            }
            self.by_key.remove(&(job.team, job.key));
        }
    }

    fn accept(&mut self, group_id: GroupId, command: &SubmitCommand, time_ms: u64) -> JobId {
        self.last_job_index += 1;
        let id = JobId(group_id.pack(self.last_job_index));
        let first_task = TaskId(group_id.pack(self.last_task_index + 1));
        self.last_task_index += u64::from(command.spec.tasks);
        let job = Job {
            id,
            team: command.team.clone(),
            key: command.key.clone(),
            spec: command.spec.clone(),
            first_task,
            tasks_open: command.spec.tasks,
            accepted_ms: time_ms,
            finished_ms: None,
        };
        for task in job.task_ids() {
            let task = Task {
                id: task,
                job: id,
                state: TaskState::Queued,
                incarnation: 0,
                placement: None,
                checkpoint: CompactString::default(),
                kept_run_ms: 0,
                failed_on: Vec::new(),
                evictions: 0,
                queued_ms: time_ms,
                detail: CompactString::default(),
            };
            self.tasks.insert(task.id, task);
        }
        self.by_key.insert((command.team.clone(), command.key.clone()), id);
        *self.open_by_team.entry(command.team.clone()).or_insert(0) += 1;
        self.jobs.insert(id, job);
        id
    }

    /// Counts a task that reached a final state. Returns the job if all its tasks have.
    fn close_task(&mut self, id: JobId, time_ms: u64) -> Option<&Job> {
        let job = self.jobs.get_mut(&id)?;
        job.tasks_open -= 1;
        if 0 < job.tasks_open {
            return None;
        }
        job.finished_ms = Some(time_ms);
        self.finished.insert((time_ms, id), ());
        if let Some(open_jobs) = self.open_by_team.get_mut(&job.team) {
            *open_jobs -= 1;
            if *open_jobs == 0 {
                self.open_by_team.remove(&job.team);
            }
        }
        Some(job)
    }
}

impl State {
    pub(super) fn submit(
        &mut self,
        command: &SubmitCommand,
        changes: &mut Vec<Change>,
    ) -> ReplyResult {
        if let Some(&job) = self.jobs.by_key.get(&(command.team.clone(), command.key.clone())) {
            return match self.jobs.job(job).is_some_and(|job| job.spec == command.spec) {
                true => Ok(Reply::JobAccepted(JobAccepted { job, resent: true })),
                false => Err(refusal(
                    ErrorKind::KeyReused,
                    format_compact!("key {} names another job", command.key),
                )),
            };
        }
        self.check_feasible(command)?;
        let id = self.jobs.accept(self.group_id, command, self.time_ms);
        if let Some(job) = self.jobs.job(id) {
            changes.extend(job.task_ids().map(Change::Task));
        }
        self.notify(id, "accepted");
        Ok(Reply::JobAccepted(JobAccepted { job: id, resent: false }))
    }

    /// Refuses a job that could never run and would wait forever, and one above the team's quota
    /// of open jobs.
    fn check_feasible(&self, command: &SubmitCommand) -> Result<(), Refusal> {
        let spec = &command.spec;
        let Some(team) = self.team(&command.team) else {
            return Err(refusal(
                ErrorKind::UnknownTeam,
                format_compact!("no team is named {}", command.team),
            ));
        };
        if self.class(&spec.class).is_none() {
            return Err(refusal(
                ErrorKind::UnknownClass,
                format_compact!("no class is named {}", spec.class),
            ));
        }
        if spec.tasks == 0 || TASKS_PER_JOB_MAX < spec.tasks {
            let detail =
                format_compact!("tasks is {}, out of range 1 to {TASKS_PER_JOB_MAX}", spec.tasks);
            return Err(refusal(ErrorKind::BadRequest, detail));
        }
        if spec.resources == vms::NO_RESOURCES {
            return Err(refusal(ErrorKind::BadRequest, "a task needs some resources"));
        }
        if !fits(spec.resources, team.quota) {
            return Err(refusal(
                ErrorKind::Infeasible,
                format_compact!("one task exceeds the quota of {}", team.name),
            ));
        }
        let mut vms = self.vms.iter().peekable();
        if vms.peek().is_some() && !vms.any(|vm| fits(spec.resources, vm.capacity)) {
            return Err(refusal(ErrorKind::Infeasible, "one task is larger than any VM"));
        }
        if team.jobs_open_max <= self.jobs.open_jobs_of(&command.team) {
            let detail = format_compact!(
                "team {} has {} jobs open, its most",
                team.name,
                team.jobs_open_max
            );
            return Err(refusal_with_retry_after(ErrorKind::QuotaExceeded, detail, 1_000));
        }
        Ok(())
    }

    pub(super) fn cancel(
        &mut self,
        command: &CancelCommand,
        changes: &mut Vec<Change>,
    ) -> ReplyResult {
        let mut completed = 0;
        for id in &command.jobs {
            let Some(job) = self.jobs.job(*id).filter(|job| job.team == command.team) else {
                return Err(refusal(
                    ErrorKind::NotFound,
                    format_compact!("team {} has no job {id}", command.team),
                ));
            };
            let ids: Vec<_> = job.task_ids().collect();
            let state_of = |id: &TaskId| self.jobs.task(*id).map(|it| it.state);
            completed += u32::from(ids.iter().all(|it| state_of(it) == Some(TaskState::Completed)));
            for task in ids {
                self.apply_transition(task, TaskTransition::Cancel, changes);
            }
        }
        if completed as usize == command.jobs.len() {
            // The jobs completed first. The refusal says so, and the results stay readable.
            return Err(refusal(ErrorKind::AlreadyFinished, "every job named had completed"));
        }
        Ok(Reply::Done)
    }

    pub(super) fn start(
        &mut self,
        command: &StartCommand,
        changes: &mut Vec<Change>,
    ) -> ReplyResult {
        let refused = |detail: &str| Err(refusal(ErrorKind::StaleSession, detail));
        let Some(task) = self.jobs.task(command.task) else { return refused("no such task") };
        if task.incarnation + 1 != command.incarnation || !task.state.is_waiting() {
            return refused("the task moved on");
        }
        let need = self.jobs.need_of(task);
        let Some(vm) = self.vms.get(command.vm) else { return refused("no such VM") };
        if vm.session.as_ref().is_none_or(|session| session.id != command.session) {
            return refused("the VM's session ended");
        }
        if !vm.has_capacity_for(need) || self.workflows.evacuations().contains(&vm.zone) {
            return refused("the VM is full, draining, in quarantine or in a zone out of use");
        }
        self.vms.reserve(command.vm, command.task, need);
        let placement = Placement {
            vm: command.vm,
            session: command.session,
            since_ms: self.time_ms,
            inherited: false,
        };
        if let Some(task) = self.jobs.tasks.get_mut(&command.task) {
            task.incarnation = command.incarnation;
            task.placement = Some(placement);
        }
        self.apply_transition(command.task, TaskTransition::Start, changes);
        Ok(Reply::Done)
    }

    pub(super) fn task_event(
        &mut self,
        command: &TaskEventCommand,
        changes: &mut Vec<Change>,
    ) -> ReplyResult {
        let current = self
            .jobs
            .tasks
            .get_mut(&command.task)
            .filter(|task| task.incarnation == command.incarnation);
        let Some(task) = current else {
            return Err(refusal(ErrorKind::StaleSession, "the task has another incarnation"));
        };
        let transition = match &command.event {
            TaskEvent::Running => TaskTransition::Running,
            TaskEvent::Completed(_) => TaskTransition::Completed,
            TaskEvent::Failed(_) => TaskTransition::Failed,
            TaskEvent::EvictRequested => TaskTransition::EvictRequested,
            TaskEvent::Evicted(_) => TaskTransition::Evicted,
            TaskEvent::Stopped => TaskTransition::Stopped,
            TaskEvent::DeadLetter(_) => TaskTransition::DeadLetter,
        };
        if next_state(task.state, transition, !task.checkpoint.is_empty()).is_none() {
            let detail = format_compact!("a task that is {} takes no {transition:?}", task.state);
            return Err(refusal(ErrorKind::AlreadyFinished, detail));
        }
        let vm = task.placement.map(|it| it.vm);
        match &command.event {
            TaskEvent::Completed(done) => task.detail = done.result.clone(),
            TaskEvent::Failed(reason) | TaskEvent::DeadLetter(reason) => {
                task.detail = reason.clone()
            }
            TaskEvent::Evicted(checkpoint) if !checkpoint.token.is_empty() => {
                task.checkpoint = checkpoint.token.clone();
                task.kept_run_ms = checkpoint.run_ms;
            }
            _ => (),
        }
        if let (TaskTransition::Failed, Some(vm)) = (transition, vm)
            && !task.failed_on.contains(&vm)
        {
            task.failed_on.push(vm);
        }
        if let (TaskTransition::Completed | TaskTransition::Failed, Some(vm)) = (transition, vm) {
            self.vms.note_outcome(vm, transition == TaskTransition::Completed, self.time_ms);
            changes.push(Change::Vm(vm));
        }
        self.apply_transition(command.task, transition, changes);
        Ok(Reply::Done)
    }

    /// Applies a transition to a task if its state allows it, and updates the reservations and the
    /// job to match.
    pub(super) fn apply_transition(
        &mut self,
        id: TaskId,
        transition: TaskTransition,
        changes: &mut Vec<Change>,
    ) {
        let time_ms = self.time_ms;
        let Some(task) = self.jobs.tasks.get_mut(&id) else { return };
        let Some(next) = next_state(task.state, transition, !task.checkpoint.is_empty()) else {
            return;
        };
        let before = std::mem::replace(&mut task.state, next);
        let job = task.job;
        if matches!(
            transition,
            TaskTransition::Evicted | TaskTransition::Lost | TaskTransition::Stopped
        ) && next.is_waiting()
        {
            task.evictions += 1;
        }
        if next.is_waiting() {
            task.queued_ms = time_ms;
        }
        changes.push(Change::Task(id));
        if before.holds_resources() && !next.holds_resources() {
            let placement = task.placement.take();
            let need = self.jobs.jobs.get(&job).map_or(vms::NO_RESOURCES, |it| it.spec.resources);
            if let Some(placement) = placement {
                self.vms.release(placement.vm, id, need);
                changes.push(Change::Vm(placement.vm));
            }
        }
        if next.is_final() && self.jobs.close_task(job, time_ms).is_some() {
            self.notify(job, "finished");
        }
    }

    /// Transfers the tasks on a VM to the session that superseded the previous one.
    pub(super) fn transfer_tasks(&mut self, vm: VmId, session: SessionId) {
        let ids: Vec<_> = self.vms.get(vm).iter().flat_map(|it| it.tasks.iter().copied()).collect();
        for id in ids {
            if let Some(placement) =
                self.jobs.tasks.get_mut(&id).and_then(|it| it.placement.as_mut())
            {
                placement.session = session;
                placement.inherited = true;
            }
        }
    }

    /// Publishes a job event to the watches on the job's subject.
    fn notify(&mut self, id: JobId, event: &str) {
        let Some(job) = self.jobs.jobs.get(&id) else { return };
        let body = format_compact!("{{\"job\":{id},\"event\":\"{event}\"}}");
        self.watches.notify(&job.team, &job.spec.subject, &body, self.time_ms);
    }
}
