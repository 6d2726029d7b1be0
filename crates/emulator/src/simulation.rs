//! The event loop: a leader that runs the real [`Node`], and events for workers, callers, other
//! hosts and the network.

use crate::accounts::{configured, key};
use crate::advice::{is_eligible, AdviceService};
use crate::heartbeats::FollowerReport;
use crate::load::{arrivals, Arrival, Disturbances, WeightChange, ZonePartition, WARMUP};
use crate::scenario::Scenario;
use crate::summary::{summarize, JobTimes, Summary};
use crate::worker::Worker;
use ::accounts::Accounts;
use dispatch::SessionConfig;
use jobs::{
    Configuration, EndKind, JobRequest, Phase, QueueAddress, RunNumber, ServicePolicy, StepRef,
    TaskRef,
};
use scheduler::{
    Call, Input, Node, NodeConfig, NodeConfigBuilder, OrderEnvelope, Output, PeerMessage,
    StartState,
};
use std::collections::BTreeMap;
use std::time::Duration;
use types::{ExchangeId, HostId, JobId, SortedMap, Timestamp};

/// Address of the leader, which is the only member of the group.
pub(crate) const LEADER: &str = "10.0.0.1";
/// One-way network delay between any two hosts.
pub(crate) const NETWORK_DELAY: Duration = Duration::from_micros(700);
/// Number of zones; workers are assigned to them round robin.
pub(crate) const ZONES: usize = 3;

/// Something that happens at a point in virtual time. A worker is given by its index.
pub(crate) enum Event {
    /// An input reaches the leader.
    Input(Input),
    /// The leader handles its inputs and timers.
    Step,
    /// The order with this number reaches its worker.
    Order(u64, Box<OrderEnvelope>),
    /// The worker has delayed the answer to the hold order with this number as long as it may.
    HoldExpires(usize, u64),
    /// A run that is not part of a gang has worked as long as it needs.
    RunEnds(usize, TaskRef, RunNumber),
    /// All members of a gang have worked as long as they need.
    GangEnds(StepRef, RunNumber),
    /// A run that was ordered to stop has stopped.
    RunStopped(usize, TaskRef, RunNumber),
    /// A member of a gang stops waiting for the others.
    GangTimeout(usize, TaskRef, RunNumber),
    /// A worker sends a heartbeat.
    WorkerHeartbeat(usize),
    /// Another host sends a heartbeat.
    HostHeartbeat(HostId),
    /// A caller submits the job with this index.
    Submit(usize),
    /// The leader's process is lost and another one takes over with the replicated state.
    LeaderLoss,
}

/// State of a simulation.
pub(crate) struct Simulation<'a> {
    pub(crate) scenario: &'a Scenario,
    pub(crate) zone_partition: Option<ZonePartition>,
    pub(crate) arrivals: Vec<Arrival>,
    /// Times of each job, in the order of `arrivals`.
    pub(crate) job_times: Vec<JobTimes>,
    /// Submitted jobs that have not ended, with their index in `arrivals`.
    pub(crate) open_jobs: SortedMap<JobId, usize>,
    /// Submissions, by the number of the call, with the index of the job in `arrivals`.
    pub(crate) submissions: SortedMap<ExchangeId, usize>,
    pub(crate) node: Node,
    pub(crate) now: Timestamp,
    /// Scheduled events by time; the number keeps events of the same time in order.
    pub(crate) events: BTreeMap<(Timestamp, u64), Event>,
    pub(crate) last_event_id: u64,
    /// Inputs that the leader has not handled yet.
    pub(crate) inbox: Vec<Input>,
    /// Until when the leader's engine thread is busy.
    pub(crate) busy_until: Timestamp,
    /// Time of the earliest scheduled [`Event::Step`]; in the past if none is scheduled.
    pub(crate) next_step: Timestamp,
    pub(crate) workers: Vec<Worker>,
    /// Number of the hold order that each worker has not answered yet.
    pub(crate) holds: Vec<Option<u64>>,
    /// Members of each gang that have started, as worker and task.
    pub(crate) gangs: SortedMap<(StepRef, RunNumber), Vec<(usize, TaskRef)>>,
    pub(crate) advice: AdviceService,
    pub(crate) follower_reports: Vec<FollowerReport>,
    /// Counts so far; `utilization` is in core-seconds until the end.
    pub(crate) summary: Summary,
    /// Number of the last call that was sent to the leader.
    pub(crate) last_call: u64,
}

/// Simulates a scenario in virtual time. The result depends only on the arguments: all random
/// values come from `seed`.
pub fn simulate(scenario: &Scenario, disturbances: &Disturbances, seed: u64) -> Summary {
    let mut rng = fastrand::Rng::with_seed(seed);
    let arrivals = arrivals(scenario, disturbances, &mut rng);
    let mut simulation = Simulation::new(scenario, arrivals);
    simulation.zone_partition = disturbances.zone_partition;
    simulation.schedule_initial_events();
    if let Some(at) = disturbances.leader_loss {
        simulation.schedule_at(WARMUP + at, Event::LeaderLoss);
    }
    if let Some(change) = disturbances.weight_change {
        let call = Call::Configure(Box::new(configuration(scenario, Some(&change))));
        simulation.last_call += 1;
        let input = Input::Call(simulation.last_call, call, WARMUP + scenario.arrival_period);
        simulation.schedule_at(WARMUP + change.at, Event::Input(input));
    }
    simulation.run_until(WARMUP + scenario.arrival_period + scenario.cooldown);
    simulation.finish()
}

fn address(scenario: &Scenario, queue: usize) -> QueueAddress {
    QueueAddress { host: "q.example".into(), prefix: format!("/{}/", scenario.queues[queue].name) }
}

fn configuration(scenario: &Scenario, change: Option<&WeightChange>) -> Configuration {
    let queue = |i: usize| (address(scenario, i), scenario.queues[i].policy.clone());
    let service = scenario.queues[0].policy.service.clone();
    let known = scenario.accounts_configured;
    let accounts = if known { configured(scenario, change) } else { Accounts::default() };
    Configuration {
        version: if change.is_some() { 2 } else { 1 },
        accounts,
        queues: (0..scenario.queues.len()).map(queue).collect(),
        services: vec![ServicePolicy { name: service, ..ServicePolicy::default() }],
        ..Configuration::default()
    }
}

pub(crate) fn node_config(scenario: &Scenario) -> NodeConfig {
    NodeConfigBuilder::new(LEADER)
        .seeds(vec![LEADER.into()])
        .disk(true)
        .bootstrap(true)
        .stop_time(scenario.stop_time)
        .session(SessionConfig::default())
        .learn(scenario.learn)
        .build()
}

/// Index of the worker with this name.
pub(crate) fn worker_index(name: &str) -> usize {
    name[1..].parse().expect("worker names are `w` and a number")
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, arrivals: Vec<Arrival>) -> Simulation<'a> {
        let node = Node::new(
            node_config(scenario),
            StartState { member: 1, process: 1, ..StartState::default() },
        );
        let slowdown = |i: usize| scenario.slowdowns[i % scenario.slowdowns.len()];
        let worker = |i| Worker { slowdown: slowdown(i), ..Worker::default() };
        Simulation {
            job_times: vec![JobTimes::default(); arrivals.len()],
            arrivals,
            zone_partition: None,
            open_jobs: SortedMap::default(),
            submissions: SortedMap::default(),
            node,
            now: Duration::ZERO,
            events: BTreeMap::new(),
            last_event_id: 0,
            inbox: Vec::new(),
            busy_until: Duration::ZERO,
            next_step: Duration::ZERO,
            workers: (0..scenario.workers).map(worker).collect(),
            holds: vec![None; scenario.workers],
            gangs: SortedMap::default(),
            advice: AdviceService::default(),
            follower_reports: Vec::new(),
            summary: Summary::default(),
            last_call: 0,
            scenario,
        }
    }

    fn schedule_initial_events(&mut self) {
        self.schedule_at(Duration::ZERO, Event::Step);
        let configuration = Box::new(configuration(self.scenario, None));
        self.last_call += 1;
        let call = Call::Configure(configuration);
        self.schedule_at(
            Duration::from_secs(2),
            Event::Input(Input::Call(self.last_call, call, WARMUP)),
        );
        for i in 0..self.scenario.workers {
            self.schedule_at(Duration::from_millis(2_100 + i as u64), Event::WorkerHeartbeat(i));
        }
        for i in 1..self.scenario.advice_callers {
            let at = Duration::from_millis(1_000 + i as u64 * 5);
            self.schedule_at(at, Event::HostHeartbeat(format!("10.1.0.{i}")));
        }
        for i in 0..self.arrivals.len() {
            self.arrivals[i].at += WARMUP;
            self.schedule_at(self.arrivals[i].at, Event::Submit(i));
        }
    }

    fn schedule_at(&mut self, at: Timestamp, event: Event) {
        self.last_event_id += 1;
        self.events.insert((at.max(self.now), self.last_event_id), event);
    }

    pub(crate) fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    fn run_until(&mut self, end: Timestamp) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Input(input) => {
                self.inbox.push(input);
                self.schedule_step(self.now);
            }
            Event::Step => self.step(),
            Event::Order(number, envelope) => self.deliver_order(number, *envelope),
            Event::HoldExpires(worker, number) => {
                if self.holds[worker] == Some(number) {
                    self.answer_hold(worker);
                }
            }
            Event::RunEnds(worker, task, run) => self.complete_run(worker, task, run),
            Event::GangEnds(step, run) => self.complete_gang(step, run),
            Event::RunStopped(worker, task, run) => self.finish_stop(worker, task, run),
            Event::GangTimeout(worker, task, run) => {
                let key = (task, run);
                if self.workers[worker].runs.get(&key).is_some_and(|r| r.working_since.is_none()) {
                    self.summary.gang_timeouts += 1;
                    self.end_run(worker, task, run, EndKind::Alone);
                }
            }
            Event::WorkerHeartbeat(worker) => self.send_worker_heartbeat(worker),
            Event::HostHeartbeat(host) => self.send_host_heartbeat(host),
            Event::Submit(i) => self.submit(i),
            Event::LeaderLoss => self.replace_leader(),
        }
    }

    /// Schedules a step of the leader at `at`, or when the leader is free.
    pub(crate) fn schedule_step(&mut self, at: Timestamp) {
        let at = at.max(self.busy_until);
        if self.next_step <= self.now || at < self.next_step {
            self.next_step = at;
            self.schedule_at(at, Event::Step);
        }
    }

    /// Lets the leader handle the inputs that have arrived in one batch, as the engine does.
    fn step(&mut self) {
        if self.now < self.busy_until {
            return self.schedule_step(self.busy_until);
        }
        if self.inbox.is_empty() && self.now < self.node.next_wakeup() {
            return self.schedule_step(self.node.next_wakeup());
        }
        let inputs = std::mem::take(&mut self.inbox);
        let mut count = inputs.len() as u32;
        for input in inputs {
            self.node.handle(self.now, input);
        }
        let outputs = self.node.finish(self.now);
        count += outputs.len() as u32;
        let durable = outputs.iter().any(Output::is_durable);
        // If an output needs a sync, all outputs leave after the commit latency, and the engine
        // thread is busy for half of it.
        let (sync_time, delay) = if durable {
            (self.scenario.commit_latency / 2, self.scenario.commit_latency)
        } else {
            (Duration::ZERO, Duration::ZERO)
        };
        self.busy_until = self.now + self.scenario.event_cost * count + sync_time;
        for output in outputs {
            self.carry_out(output, delay);
        }
        self.record_completed(delay);
        self.next_step = self.now;
        self.schedule_step(self.node.next_wakeup());
    }

    /// Schedules the effect of an output that leaves the leader after `delay`.
    fn carry_out(&mut self, output: Output, delay: Duration) {
        let hop = delay + NETWORK_DELAY;
        match output {
            Output::Order(number, order) => self.schedule_after(hop, Event::Order(number, order)),
            Output::Advise { number, step, workers, .. } => {
                let advised = self.advise(&LEADER.to_string(), step, &workers);
                self.schedule_at(
                    advised.0 + delay,
                    Event::Input(Input::Advised(number, Some(advised.1))),
                );
            }
            Output::Send(host, PeerMessage::Advise { number, step, workers, .. }) => {
                let (at, tickets) = self.advise(&host, step, &workers);
                let answer = PeerMessage::Advised { number, tickets: Some(tickets) };
                self.schedule_at(
                    at + delay + NETWORK_DELAY * 4,
                    Event::Input(Input::Peer(host, answer)),
                );
            }
            Output::Answer(exchange, Err(refusal)) => self.read_refusal(exchange, &refusal),
            Output::Answer(exchange, Ok(_)) => {
                self.submissions.remove(&exchange);
            }
            _ => {}
        }
    }

    /// Calls the advice service. Returns when it answers, and the eligible workers with their
    /// tickets. A ticket is the time of the answer in microseconds.
    fn advise(
        &mut self,
        caller: &HostId,
        step: StepRef,
        workers: &[String],
    ) -> (Timestamp, Vec<(String, String)>) {
        let Some(queue) = self.open_jobs.get(&step.job).map(|i| self.arrivals[*i].queue) else {
            return (self.now, Vec::new());
        };
        let profile = &self.scenario.queues[queue];
        let policy = profile.policy.advice.expect("every queue of a scenario has an advice policy");
        let at = self.advice.call(caller, &policy, workers.len(), self.now);
        let eligible =
            workers.iter().filter(|w| is_eligible(step, worker_index(w), profile.eligible_share));
        let ticket = at.as_micros().to_string();
        (at, eligible.map(|w| (w.clone(), ticket.clone())).collect())
    }

    fn submit(&mut self, i: usize) {
        let id = 1 + i as u64 * 0x1_0001;
        self.open_jobs.insert(id, i);
        let request: Box<JobRequest> = Box::new(self.arrivals[i].request.clone());
        let queue = address(self.scenario, self.arrivals[i].queue);
        self.last_call += 1;
        let key = key(self.scenario, &self.arrivals[i]);
        let call = Call::Submit { id, queue, request, key };
        self.submissions.insert(self.last_call, i);
        let deadline = self.now + Duration::from_secs(3);
        self.schedule_after(
            NETWORK_DELAY * 3,
            Event::Input(Input::Call(self.last_call, call, deadline)),
        );
    }

    /// Records the completion of jobs. Callers can see it after `delay`, the commit latency, and
    /// the network delay of their request.
    fn record_completed(&mut self, delay: Duration) {
        let Some(state) = self.node.state() else { return };
        let at = self.now + delay + NETWORK_DELAY * 3;
        let (job_times, open_jobs) = (&mut self.job_times, &mut self.open_jobs);
        open_jobs.retain(|id, i| match state.job(*id).map(|job| job.phase) {
            Some(Phase::Complete) => {
                job_times[*i].completed = Some(at);
                false
            }
            Some(Phase::Failed) => false,
            _ => true,
        });
    }

    fn finish(self) -> Summary {
        let totals = summarize(self.scenario, &self.arrivals, &self.job_times);
        let cores = self.scenario.workers as f64 * self.scenario.capacity.cpu as f64 / 1_000.0;
        let total = cores * (self.scenario.arrival_period + self.scenario.cooldown).as_secs_f64();
        Summary {
            queues: totals.queues,
            accounts: totals.accounts,
            worth: totals.worth,
            advice_time: self.advice.total_time,
            advice_calls: self.advice.calls,
            advice_usage: self.node.advice_usage(),
            utilization: self.summary.utilization / total,
            ..self.summary
        }
    }
}
