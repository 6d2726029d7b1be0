//! The cell: a leader with the scheduler's real code, and everything around it as events.

use crate::advice::{is_allowed, Advice};
use crate::load::{arrivals, Arrival, Disturbances, ZonePartition};
use crate::scenario::Scenario;
use crate::summary::{count, Course, Summary};
use crate::worker::Worker;
use dispatch::SessionConfig;
use jobs::{
    Configuration, EndKind, JobRequest, Phase, QueueAddress, RunNumber, ServicePolicy, StepRef,
    TaskRef, WorkerInfo,
};
use scheduler::{
    Call, HostHeartbeat, Input, Node, NodeConfigBuilder, OrderEnvelope, Output, PeerMessage,
    StartState, WorkerHeartbeat,
};
use std::collections::BTreeMap;
use std::time::Duration;
use types::{HostId, JobId, SortedMap, Timestamp};

/// The leader's address.
const LEADER: &str = "10.0.0.1";
/// One way between any two hosts.
pub(crate) const HOP: Duration = Duration::from_micros(700);
const HOST_BEAT: Duration = Duration::from_millis(250);
const WORKER_BEAT: Duration = Duration::from_millis(1_500);
/// Jobs come once the workers are known.
pub(crate) const LEAD: Duration = Duration::from_secs(5);
/// Workers are spread over so many zones, by turns.
pub(crate) const ZONES: usize = 3;

pub(crate) enum Event {
    Input(Input),
    Step,
    Arrive(u64, Box<OrderEnvelope>),
    HoldDue(usize, u64),
    WorkEnds(usize, TaskRef, RunNumber),
    GangEnds(StepRef, RunNumber),
    Stopped(usize, TaskRef, RunNumber),
    Alone(usize, TaskRef, RunNumber),
    WorkerBeat(usize),
    HostBeat(HostId),
    Submit(usize),
}

pub(crate) struct Cell<'a> {
    pub(crate) sheet: &'a Scenario,
    pub(crate) zone_partition: Option<ZonePartition>,
    pub(crate) arrivals: Vec<Arrival>,
    pub(crate) courses: Vec<Course>,
    pub(crate) open: SortedMap<JobId, usize>,
    pub(crate) node: Node,
    pub(crate) now: Timestamp,
    pub(crate) events: BTreeMap<(Timestamp, u64), Event>,
    pub(crate) last_event: u64,
    pub(crate) inbox: Vec<Input>,
    pub(crate) busy_until: Timestamp,
    pub(crate) next_step: Timestamp,
    pub(crate) workers: Vec<Worker>,
    /// Holds that wait for an end, by worker.
    pub(crate) holds: Vec<Option<u64>>,
    pub(crate) gangs: SortedMap<(StepRef, RunNumber), Vec<(usize, TaskRef)>>,
    pub(crate) advice: Advice,
    pub(crate) tally: Summary,
    pub(crate) calls: u64,
}

/// Plays one day of a sheet from a seed.
pub fn simulate(sheet: &Scenario, day: &Disturbances, seed: u64) -> Summary {
    let mut rng = fastrand::Rng::with_seed(seed);
    let arrivals = arrivals(sheet, day, &mut rng);
    let mut cell = Cell::new(sheet, arrivals);
    cell.zone_partition = day.zone_partition;
    cell.begin();
    cell.run_until(LEAD + sheet.arrival_period + sheet.cooldown);
    cell.finish()
}

fn address(sheet: &Scenario, queue: usize) -> QueueAddress {
    QueueAddress { host: "q.example".into(), prefix: format!("/{}/", sheet.queues[queue].name) }
}

fn configuration(sheet: &Scenario) -> Configuration {
    let queue = |i: usize| (address(sheet, i), sheet.queues[i].policy.clone());
    let service = sheet.queues[0].policy.service.clone();
    Configuration {
        version: 1,
        queues: (0..sheet.queues.len()).map(queue).collect(),
        services: vec![ServicePolicy { name: service, ..ServicePolicy::default() }],
        ..Configuration::default()
    }
}

pub(crate) fn worker_index(name: &str) -> usize {
    name[1..].parse().expect("workers are named by number")
}

impl<'a> Cell<'a> {
    fn new(sheet: &'a Scenario, arrivals: Vec<Arrival>) -> Cell<'a> {
        let cfg = NodeConfigBuilder::new(LEADER)
            .seeds(vec![LEADER.into()])
            .disk(true)
            .bootstrap(true)
            .stop_time(sheet.stop_time)
            .session(SessionConfig::default())
            .build();
        let node = Node::new(cfg, StartState { member: 1, process: 1, ..StartState::default() });
        let slow = |i: usize| sheet.slowdowns[i % sheet.slowdowns.len()];
        let worker = |i| Worker { slowness: slow(i), ..Worker::default() };
        Cell {
            courses: vec![Course::default(); arrivals.len()],
            arrivals,
            zone_partition: None,
            open: SortedMap::default(),
            node,
            now: Duration::ZERO,
            events: BTreeMap::new(),
            last_event: 0,
            inbox: Vec::new(),
            busy_until: Duration::ZERO,
            next_step: Duration::ZERO,
            workers: (0..sheet.workers).map(worker).collect(),
            holds: vec![None; sheet.workers],
            gangs: SortedMap::default(),
            advice: Advice::default(),
            tally: Summary::default(),
            calls: 0,
            sheet,
        }
    }

    fn begin(&mut self) {
        self.at(Duration::ZERO, Event::Step);
        let configuration = Box::new(configuration(self.sheet));
        self.calls += 1;
        let call = Call::Configure(configuration);
        self.at(Duration::from_secs(2), Event::Input(Input::Call(self.calls, call, LEAD)));
        for i in 0..self.sheet.workers {
            self.at(Duration::from_millis(2_100 + i as u64), Event::WorkerBeat(i));
        }
        for i in 1..self.sheet.advice_callers {
            let at = Duration::from_millis(1_000 + i as u64 * 5);
            self.at(at, Event::HostBeat(format!("10.1.0.{i}")));
        }
        for i in 0..self.arrivals.len() {
            self.arrivals[i].at += LEAD;
            self.at(self.arrivals[i].at, Event::Submit(i));
        }
    }

    fn at(&mut self, at: Timestamp, event: Event) {
        self.last_event += 1;
        self.events.insert((at.max(self.now), self.last_event), event);
    }

    pub(crate) fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
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
                self.step_by(self.now);
            }
            Event::Step => self.step(),
            Event::Arrive(number, details) => self.arrive(number, *details),
            Event::HoldDue(worker, number) => {
                if self.holds[worker] == Some(number) {
                    self.answer_hold(worker);
                }
            }
            Event::WorkEnds(worker, task, run) => self.work_ends(worker, task, run),
            Event::GangEnds(step, run) => self.gang_ends(step, run),
            Event::Stopped(worker, task, run) => self.stopped(worker, task, run),
            Event::Alone(worker, task, run) => {
                let key = (task, run);
                if self.workers[worker].runs.get(&key).is_some_and(|r| r.began.is_none()) {
                    self.tally.gang_timeouts += 1;
                    self.end(worker, task, run, EndKind::Alone);
                }
            }
            Event::WorkerBeat(worker) => self.worker_beat(worker),
            Event::HostBeat(host) => {
                let beat =
                    HostHeartbeat { process: 7, version: 1, draining: false, zone: "z0".into() };
                let input = Input::Peer(host.clone(), PeerMessage::Heartbeat(beat));
                self.after(HOP, Event::Input(input));
                self.after(HOST_BEAT, Event::HostBeat(host));
            }
            Event::Submit(i) => self.submit(i),
        }
    }

    fn step_by(&mut self, at: Timestamp) {
        let at = at.max(self.busy_until);
        if self.next_step <= self.now || at < self.next_step {
            self.next_step = at;
            self.at(at, Event::Step);
        }
    }

    /// The leader handles what has come, as its engine would.
    fn step(&mut self) {
        if self.now < self.busy_until {
            return self.step_by(self.busy_until);
        }
        if self.inbox.is_empty() && self.now < self.node.next_wakeup() {
            return self.step_by(self.node.next_wakeup());
        }
        let inputs = std::mem::take(&mut self.inbox);
        let mut count = inputs.len() as u32;
        for input in inputs {
            self.node.handle(self.now, input);
        }
        let outputs = self.node.finish(self.now);
        count += outputs.len() as u32;
        let durable = outputs.iter().any(Output::is_durable);
        let (hold, delay) = if durable {
            (self.sheet.commit_latency / 2, self.sheet.commit_latency)
        } else {
            (Duration::ZERO, Duration::ZERO)
        };
        self.busy_until = self.now + self.sheet.event_cost * count + hold;
        for output in outputs {
            self.carry_out(output, delay);
        }
        self.see_done(delay);
        self.next_step = self.now;
        self.step_by(self.node.next_wakeup());
    }

    fn carry_out(&mut self, output: Output, delay: Duration) {
        let hop = delay + HOP;
        match output {
            Output::Order(number, details) => self.after(hop, Event::Arrive(number, details)),
            Output::Advise { number, step, workers, .. } => {
                let good = self.advise(&LEADER.to_string(), step, &workers);
                self.at(good.0 + delay, Event::Input(Input::Advised(number, Some(good.1))));
            }
            Output::Send(host, PeerMessage::Advise { number, step, workers, .. }) => {
                let (at, good) = self.advise(&host, step, &workers);
                let answer = PeerMessage::Advised { number, tickets: Some(good) };
                self.at(at + delay + HOP * 4, Event::Input(Input::Peer(host, answer)));
            }
            _ => {}
        }
    }

    fn advise(
        &mut self,
        caller: &HostId,
        step: StepRef,
        workers: &[String],
    ) -> (Timestamp, Vec<(String, String)>) {
        let Some(queue) = self.open.get(&step.job).map(|i| self.arrivals[*i].queue) else {
            return (self.now, Vec::new());
        };
        let sheet = &self.sheet.queues[queue];
        let policy = sheet.policy.advice.expect("every queue of a sheet has advice");
        let at = self.advice.ask(caller, &policy, workers.len(), self.now);
        let allowed =
            workers.iter().filter(|w| is_allowed(step, worker_index(w), sheet.eligible_share));
        let ticket = at.as_micros().to_string();
        (at, allowed.map(|w| (w.clone(), ticket.clone())).collect())
    }

    fn submit(&mut self, i: usize) {
        let id = 1 + i as u64 * 0x1_0001;
        self.open.insert(id, i);
        let request: Box<JobRequest> = Box::new(self.arrivals[i].request.clone());
        let queue = address(self.sheet, self.arrivals[i].queue);
        self.calls += 1;
        let call = Call::Submit { id, queue, request };
        let deadline = self.now + Duration::from_secs(3);
        self.after(HOP * 3, Event::Input(Input::Call(self.calls, call, deadline)));
    }

    fn worker_beat(&mut self, i: usize) {
        self.after(WORKER_BEAT, Event::WorkerBeat(i));
        let info = WorkerInfo {
            worker: format!("w{i}"),
            born: 1_000,
            service: self.sheet.queues[0].policy.service.clone(),
            addr: format!("10.2.{}.{}:1", i / 250, i % 250),
            zone: format!("z{}", i % ZONES),
            capacity: self.sheet.capacity,
            labels: vec!["a".into(), format!("r{}", i / self.sheet.workers_per_rack)],
            draining: false,
        };
        let clock = Some(self.now.as_millis() as u64);
        self.calls += 1;
        let call = Call::Heartbeat(Box::new(WorkerHeartbeat { info, clock }));
        let deadline = self.now + Duration::from_secs(1);
        self.after(HOP, Event::Input(Input::Call(self.calls, call, deadline)));
    }

    /// Notes jobs that callers can see to be done by now.
    fn see_done(&mut self, delay: Duration) {
        let Some(state) = self.node.state() else { return };
        let at = self.now + delay + HOP * 3;
        let (courses, open) = (&mut self.courses, &mut self.open);
        open.retain(|id, i| match state.job(*id).map(|job| job.phase) {
            Some(Phase::Complete) => {
                courses[*i].done = Some(at);
                false
            }
            Some(Phase::Failed) => false,
            _ => true,
        });
    }

    fn finish(self) -> Summary {
        let counted = count(self.sheet, &self.arrivals, &self.courses);
        let cores = self.sheet.workers as f64 * self.sheet.capacity.cpu as f64 / 1_000.0;
        let whole = cores * (self.sheet.arrival_period + self.sheet.cooldown).as_secs_f64();
        Summary {
            queues: counted.queues,
            worth: counted.worth,
            advice_time: self.advice.work,
            advice_calls: self.advice.calls,
            utilization: self.tally.utilization / whole,
            ..self.tally
        }
    }
}
