//! Tests of how the leader places and moves best-effort tasks (fillers), driven by worker reports.

use std::{collections::BTreeMap, net::SocketAddr};

use aspenrail::{
    control::{
        dispatch::{DispatchOptions, Dispatcher, Features, RequestDecision},
        state::Workflows,
    },
    policy::{contention::ContentionModel, verdict::CallId},
    prelude::*,
};

use crate::world::{dispatch_options, queues, spec, step, target};

const MEMORY_MIB: u32 = 10_000;

/// A leader whose workers, of 64 cores by default, send the reports that a test gives them.
pub struct LeaderHarness {
    cores: u32,
    pub workflows: Workflows,
    options: DispatchOptions,
    /// Term of the leader; another one takes over by [`LeaderHarness::replace_leader`].
    term: u64,
    pub dispatcher: Dispatcher,
    pub now_ms: u64,
    /// Boot number of every node that sends reports.
    pub boot: u64,
    pub number: u64,
    pub stops: Vec<RunRef>,
    /// Latest grant for each node.
    pub grants: BTreeMap<SocketAddr, NodeGrant>,
}

pub fn node(worker: u64) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + worker as u16))
}

pub fn service(image: &str, count: u32, cores: u32) -> WorkflowStep {
    let mut res = step(count, cores, &[]);
    (res.lasting, res.tail_target_ms, res.image) = (true, 50, image.into());
    res
}

pub fn filler(image: &str, count: u32, cores: u32, memory_mib: u32) -> WorkflowStep {
    let mut res = step(count, cores, &[]);
    (res.filler, res.checkpoints, res.image) = (true, true, image.into());
    res.need.memory_mib = memory_mib;
    res
}

impl LeaderHarness {
    pub fn new(workers: u64) -> LeaderHarness {
        LeaderHarness::with_cores(workers, 64)
    }

    /// Creates a leader of workers with `cores` cores each.
    pub fn with_cores(workers: u64, cores: u32) -> LeaderHarness {
        LeaderHarness::with_features(workers, cores, Features::default())
    }

    /// Creates a leader with optional decisions turned on.
    pub fn with_features(workers: u64, cores: u32, features: Features) -> LeaderHarness {
        LeaderHarness::with_options(
            workers,
            cores,
            DispatchOptions { features, ..dispatch_options() },
        )
    }

    pub fn with_options(workers: u64, cores: u32, options: DispatchOptions) -> LeaderHarness {
        let mut workflows = Workflows::default();
        workflows.apply(&WorkflowCommand::Install(queues(1)), 1);
        let now = Now { mono_ms: 1_000, wall_ms: 1_000 };
        let dispatcher = Dispatcher::new(options, &workflows, 1, now);
        let mut res = LeaderHarness {
            cores,
            workflows,
            options,
            term: 1,
            dispatcher,
            now_ms: 1_000,
            boot: 1,
            number: 0,
            stops: Vec::new(),
            grants: BTreeMap::new(),
        };
        (1..=workers).for_each(|it| res.register(it));
        res
    }

    pub fn now(&self) -> Now {
        Now { mono_ms: self.now_ms, wall_ms: self.now_ms }
    }

    pub fn submit(&mut self, id: u64, steps: Vec<WorkflowStep>) {
        self.submit_spec(id, spec(steps));
    }

    pub fn submit_spec(&mut self, id: u64, spec: WorkflowSpec) {
        let submit = SubmitWorkflow {
            id: WorkflowId(id),
            queue: "queue".into(),
            spec,
            accepted_ms: self.now_ms,
        };
        // The leader does not make two plans at the same time.
        self.now_ms += 20;
        self.apply(WorkflowCommand::Submit(submit));
        self.apply_commands();
    }

    /// Decides on a submission that a gateway sent as call `call`.
    pub fn decide(&mut self, call: u64, id: u64, steps: Vec<WorkflowStep>) -> RequestDecision {
        let submission = WorkflowSubmission { target: target(id), spec: spec(steps) };
        let request = OriginatedSubmission { zone: "zone".into(), submission };
        self.request(call, WorkflowRequest::SubmitFrom(request))
    }

    pub fn request(&mut self, call: u64, request: WorkflowRequest) -> RequestDecision {
        let (call, now) = (CallId { gateway: node(0), id: call }, self.now());
        self.dispatcher.decide_request(&self.workflows, request, &[call], now)
    }

    pub fn apply(&mut self, command: WorkflowCommand) {
        self.workflows.apply(&command, self.now_ms);
        self.dispatcher.note_applied(&self.workflows, &command, &[], self.now());
    }

    /// Registers a worker with its first report, and sends a second one.
    fn register(&mut self, worker: u64) {
        self.report(worker, &[]);
        self.report(worker, &[]);
    }

    /// Registers a worker with another number of cores.
    pub fn register_with_cores(&mut self, worker: u64, cores: u32) {
        let usual = std::mem::replace(&mut self.cores, cores);
        self.register(worker);
        self.cores = usual;
    }

    /// Reports the runs that the leader placed on a worker, with a load for each workflow.
    pub fn report(&mut self, worker: u64, loads: &[(u64, u32)]) {
        let running = self.runs_on(worker).into_iter().map(|run| {
            let load = loads.iter().find(|(id, _)| WorkflowId(*id) == run.task.workflow);
            let load = load.map_or(0, |(_, load)| *load);
            RunningTask { run, checkpoint: "saved".into(), progress_percent: 40, load }
        });
        let running = running.collect();
        self.report_runs(worker, running, Vec::new());
    }

    /// Reports the running and the ended runs of a worker.
    pub fn report_runs(&mut self, worker: u64, running: Vec<RunningTask>, ended: Vec<EndedRun>) {
        self.number += 1;
        let name = format_compact!("worker-{worker}");
        self.report_incarnation(worker, name, self.number, running, ended);
    }

    /// Reports that a worker runs nothing and will never start the given run.
    pub fn report_refusal(&mut self, worker: u64, run: RunRef) {
        self.number += 1;
        let name = format_compact!("worker-{worker}");
        let mut report = self.worker_report(name, Vec::new(), Vec::new());
        report.refused.push(RefusedRun { run, cause: RefusalCause::Superseded });
        self.deliver(worker, self.number, report);
    }

    /// Lets another leader take over from the ledger.
    pub fn replace_leader(&mut self) {
        self.term += 1;
        self.dispatcher = Dispatcher::new(self.options, &self.workflows, self.term, self.now());
    }

    /// Removes a worker, as after its loss.
    pub fn dismiss(&mut self, worker: u64) {
        let name = format_compact!("worker-{worker}");
        let id = self.workflows.workers().find(node(worker), &name).unwrap();
        self.apply(WorkflowCommand::Dismiss(id));
        self.apply_commands();
    }

    /// Advances the clock without reports.
    pub fn advance(&mut self, time_ms: u64) {
        self.now_ms += time_ms;
        self.dispatcher.tick(&self.workflows, self.now());
        self.apply_commands();
    }

    /// Sends a numbered report of a worker incarnation from a worker's node.
    pub fn report_incarnation(
        &mut self,
        worker: u64,
        name: CompactString,
        number: u64,
        running: Vec<RunningTask>,
        ended: Vec<EndedRun>,
    ) {
        let report = self.worker_report(name, running, ended);
        self.deliver(worker, number, report);
    }

    fn worker_report(
        &self,
        name: CompactString,
        running: Vec<RunningTask>,
        ended: Vec<EndedRun>,
    ) -> WorkerReport {
        WorkerReport {
            name,
            service: "pool".into(),
            zone: "zone".into(),
            kind: "a".into(),
            rack: "rack".into(),
            capacity: Resources {
                cpu_millicores: self.cores * 1_000,
                memory_mib: MEMORY_MIB,
                accelerators: 0,
            },
            draining: false,
            remaining_ms: 0,
            gone: false,
            term: self.term,
            running,
            ended,
            refused: Vec::new(),
            noted: NotedEnds::NO_ACKNOWLEDGEMENTS,
            roles_missing: false,
            faded: Vec::new(),
        }
    }

    fn deliver(&mut self, worker: u64, number: u64, report: WorkerReport) {
        let report = NodeReport {
            node: node(worker),
            boot: self.boot,
            number,
            sent_ms: self.now_ms,
            workers: vec![report],
        };
        self.dispatcher.on_report(&self.workflows, report, &[], self.now());
        self.apply_commands();
    }

    /// Applies the leader's commands until it has no more, and records its grants and stops.
    fn apply_commands(&mut self) {
        loop {
            let step = self.dispatcher.finish_turn(&self.workflows, &[], self.now());
            for (to, message) in step.messages {
                let Message::NodeGrant(grant) = message else { continue };
                self.grants.insert(to, grant.clone());
                self.stops.extend(grant.orders.iter().filter_map(|it| match it {
                    RunOrder::Stop(run) => Some(*run),
                    _ => None,
                }));
            }
            // The free capacities used for plans equal those that a full scan computes.
            self.dispatcher.audit(&self.workflows).unwrap();
            if step.commands.is_empty() {
                return;
            }
            step.commands.into_iter().for_each(|it| self.apply(it));
        }
    }

    pub fn runs_on(&self, worker: u64) -> Vec<RunRef> {
        let name = format_compact!("worker-{worker}");
        let id = self.workflows.workers().find(node(worker), &name);
        let worker = id.and_then(|it| self.workflows.workers().get(it));
        worker.map(|it| it.runs.iter().copied().collect()).unwrap_or_default()
    }

    fn workers_running(&self, id: u64, workers: u64) -> Vec<u64> {
        let runs = |it: &u64| self.runs_on(*it).iter().any(|it| it.task.workflow == WorkflowId(id));
        (1..=workers).filter(runs).collect()
    }

    /// Sends the given reports every 250 ms for a period.
    fn report_for(&mut self, duration_ms: u64, reports: &[(u64, &[(u64, u32)])]) {
        for _ in 0..duration_ms / 250 {
            self.now_ms += 250;
            reports.iter().for_each(|(worker, loads)| self.report(*worker, loads));
        }
    }
}

#[test]
fn a_worker_that_enrols_is_told_its_token_at_once() {
    let mut leader = LeaderHarness::new(0);
    leader.report(1, &[]);
    let grant = &leader.grants[&node(1)];
    assert_eq!(grant.worker, "worker-1");
    assert!(
        0 < grant.token && grant.sent_ms == 0,
        "the grant must hold a token and no lease: {grant:?}"
    );
}

#[test]
fn what_a_leader_learned_of_images_is_known_to_the_next_one() {
    let mut leader = LeaderHarness::new(2);
    leader.submit(1, vec![service("web", 2, 40)]);
    leader.submit(2, vec![filler("heavy", 1, 8, 1_000)]);
    let filler_worker = leader.workers_running(2, 2)[0];
    let sibling_worker = 3 - filler_worker;
    // With eight cores of the filler on its worker, the service has a third of its sibling's headroom.
    leader.report_for(
        6_000,
        &[(sibling_worker, &[(1, 17)]), (filler_worker, &[(1, 40), (2, 8_000)])],
    );
    leader.dispatcher.tick(&leader.workflows, leader.now());
    leader.apply_commands();
    let known_costs = leader.workflows.image_costs().to_vec();
    let cost = known_costs.iter().find(|it| it.serving == "web" && it.filler == "heavy").unwrap();
    assert!((14.0..28.0).contains(&cost.headroom_percent), "{cost:?}; the true value is 21");
    let mut next_model = ContentionModel::with_known_costs(leader.workflows.image_costs(), 7_000);
    let (web, heavy) = (next_model.image_key("web"), next_model.image_key("heavy"));
    assert_eq!(next_model.cost_percent(web, heavy), f64::from(cost.headroom_percent));
}

#[test]
fn a_busy_leader_is_woken_to_hand_on_what_it_learned() {
    let mut leader = LeaderHarness::new(1);
    // Each report postpones the next plan.
    leader.report_for(4_000, &[(1, &[])]);
    assert!(leader.dispatcher.next_tick_ms() <= leader.now_ms, "image costs are due after 3 s");
}

#[test]
fn images_that_serve_keep_to_few_workers() {
    let mut leader = LeaderHarness::new(4);
    for (id, image) in [(1, "web"), (2, "mail"), (3, "web"), (4, "mail")] {
        leader.submit(id, vec![service(image, 2, 12)]);
    }
    assert_eq!(leader.workers_running(1, 4), leader.workers_running(3, 4));
    assert_eq!(leader.workers_running(2, 4), leader.workers_running(4, 4));
    assert_ne!(leader.workers_running(1, 4), leader.workers_running(2, 4));
}

#[test]
fn a_halted_filler_goes_on_where_there_is_room() {
    let mut leader = LeaderHarness::new(1);
    leader.submit(1, vec![service("web", 1, 12)]);
    leader.submit(2, vec![filler("batch", 1, 8, 1_000)]);
    assert_eq!(leader.workers_running(2, 1), [1]);
    // The service is near its latency target, and the node has suspended the filler.
    leader.report_for(2_000, &[(1, &[(1, 42), (2, 0)])]);
    assert!(leader.stops.is_empty(), "no other worker has capacity: {:?}", leader.stops);
    leader.register(2);
    leader.report_for(500, &[(1, &[(1, 42), (2, 0)]), (2, &[])]);
    assert!(leader.stops.iter().any(|it| it.task.workflow == WorkflowId(2)));
}

#[test]
fn a_filler_at_work_stays_where_it_is() {
    let mut leader = LeaderHarness::new(2);
    leader.submit(1, vec![service("web", 1, 12)]);
    leader.submit(2, vec![filler("batch", 1, 8, 1_000)]);
    leader.report_for(3_000, &[(1, &[(1, 20), (2, 8_000)]), (2, &[(1, 20), (2, 8_000)])]);
    assert!(leader.stops.is_empty(), "{:?}", leader.stops);
}

#[test]
fn a_filler_begins_only_where_a_service_leaves_it_its_full_speed() {
    let mut leader = LeaderHarness::new(1);
    leader.submit(1, vec![service("web", 1, 40)]);
    // A tail latency of 30 ms with a target of 50 ms: 166 % headroom, of which an unknown filler may
    // use 32.
    leader.report_for(2_000, &[(1, &[(1, 30)])]);
    leader.submit(2, vec![filler("batch", 1, 8, 1_000)]);
    leader.report_for(2_000, &[(1, &[(1, 30)])]);
    assert!(
        leader.workers_running(2, 1).is_empty(),
        "the filler would be suspended when the load rises"
    );
    leader.report_for(2_000, &[(1, &[(1, 15)])]);
    assert_eq!(leader.workers_running(2, 1), [1]);
}

/// Load: a gang of services waits for room that only its first member finds. The load of a member
/// that does not begin slows down no filler.
#[test]
fn a_gang_that_does_not_fit_whole_keeps_no_filler_waiting() {
    let mut leader = LeaderHarness::new(1);
    let mut gang = service("web", 2, 40);
    gang.gang = true;
    leader.submit(1, vec![gang]);
    assert!(leader.workers_running(1, 1).is_empty(), "only one of two members fits");
    // Beside a service at half load, 40 cores of an unknown filler would run at three quarters.
    leader.submit(2, vec![filler("batch", 1, 40, 1_000)]);
    assert_eq!(leader.workers_running(2, 1), [1]);
}

/// A worker crashed and restarted under another name. A report from before the crash, delayed by a
/// network partition, arrives afterwards. It must not replace the current worker and its runs.
#[test]
fn a_late_report_of_an_earlier_lifetime_takes_nobodys_place() {
    let mut leader = LeaderHarness::new(1);
    let last_number = leader.number;
    leader.report_incarnation(1, "worker-1-later".into(), last_number + 2, Vec::new(), Vec::new());
    leader.report_incarnation(1, "worker-1-later".into(), last_number + 3, Vec::new(), Vec::new());
    leader.report_incarnation(1, "worker-1".into(), last_number + 1, Vec::new(), Vec::new());
    let names: Vec<_> = leader.workflows.workers().iter().map(|(_, it)| &it.name).collect();
    assert_eq!(names, ["worker-1-later"]);
}
