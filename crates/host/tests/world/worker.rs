//! A fake worker that follows the worker protocol: it counts its lease from when it sent the
//! heartbeat, starts each fence at most once, and ends all runs when its lease ends.

use super::{Oracle, LEASE};
use host::{Answer, GroupCall, Heartbeat, HeartbeatResponse};
use state::{RunEnd, WorkerSpec};
use std::time::Duration;
use types::{Fence, Incarnation, Refusal, Resources, SortedMap, TaskOutcome, Timestamp};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
const RUN_TIME: Duration = Duration::from_millis(1_800);
/// How long a worker is away that a task has crashed.
const AWAY: Duration = Duration::from_millis(900);

struct Run {
    task: String,
    ends: Option<Timestamp>,
    outcome: TaskOutcome,
    stopping: bool,
    /// The run ends by crashing its worker.
    crashes: bool,
}

pub(crate) struct FakeWorker {
    pub(crate) name: String,
    incarnation: Incarnation,
    registered: bool,
    /// First incarnation of the process; 0 if it has not registered yet.
    first: Incarnation,
    number: u64,
    sent: Option<Timestamp>,
    next: Timestamp,
    lease_ends: Timestamp,
    seen: Vec<Fence>,
    running: SortedMap<Fence, Run>,
    ended: Vec<RunEnd>,
    cut: bool,
    stays_with: Option<usize>,
    fails: bool,
    /// How much slower its clock runs than the hosts' clocks, in thousandths.
    slow_clock: u32,
}

impl FakeWorker {
    pub(crate) fn new(i: usize, zone: &str) -> FakeWorker {
        FakeWorker {
            name: format!("{zone}-w{i}"),
            incarnation: 0,
            registered: false,
            first: 0,
            number: 0,
            sent: None,
            next: Timestamp::ZERO,
            lease_ends: Timestamp::ZERO,
            seen: Vec::new(),
            running: SortedMap::default(),
            ended: Vec::new(),
            cut: false,
            stays_with: None,
            fails: false,
            slow_clock: (i as u32 % 2) * 10,
        }
    }

    pub(crate) fn capacity() -> Resources {
        Resources { cpu: 4_000, memory: 8 << 30, accelerators: 0 }
    }

    pub(crate) fn cut_off(&mut self, cut: bool) {
        self.cut = cut;
    }

    /// Makes the worker talk to this host only.
    pub(crate) fn stay_with(&mut self, host: usize) {
        self.stays_with = Some(host);
    }

    pub(crate) fn chosen_host(&self) -> Option<usize> {
        self.stays_with
    }

    pub(crate) fn fail(&mut self, fails: bool) {
        self.fails = fails;
    }

    pub(crate) fn crash(&mut self, oracle: &mut Oracle) {
        self.running.values().for_each(|run| oracle.crashed_under(&run.task));
        self.end_all(oracle);
        (self.registered, self.first) = (false, 0);
        self.incarnation = 0;
        self.sent = None;
    }

    pub(crate) fn recover(&mut self) {
        (self.cut, self.fails) = (false, false);
    }

    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    pub(crate) fn registers(&self) -> bool {
        !self.registered
    }

    /// The next call, if one is due. `last_incarnation` is the largest incarnation used so far.
    pub(crate) fn next_call(&mut self, now: Timestamp, last_incarnation: u64) -> Option<GroupCall> {
        let waits = self.sent.is_some_and(|at| now < at + ANSWER_TIMEOUT);
        if self.cut || waits || now < self.next {
            return None;
        }
        self.number += 1;
        self.sent = Some(now);
        self.next = now + HEARTBEAT_INTERVAL;
        if !self.registered {
            self.incarnation = last_incarnation + 1;
            let spec = WorkerSpec {
                worker: self.name.clone(),
                rack: format!("rack-{}", self.name),
                capacity: FakeWorker::capacity(),
                incarnation: self.incarnation,
            };
            if self.first == 0 {
                self.first = self.incarnation;
            }
            return Some(GroupCall::Register { spec, first: self.first });
        }
        let stopping = self.running.iter().filter(|(_, run)| run.stopping);
        Some(GroupCall::Heartbeat(Heartbeat {
            worker: self.name.clone(),
            incarnation: self.incarnation,
            running: self.running.keys().copied().collect(),
            stopping: stopping.map(|(fence, _)| *fence).collect(),
            ended: self.ended.clone(),
            wait: Duration::from_millis(800),
            ..Heartbeat::default()
        }))
    }

    pub(crate) fn on_answer(
        &mut self,
        number: u64,
        answer: Result<Answer, Refusal>,
        now: Timestamp,
        oracle: &mut Oracle,
    ) {
        if self.cut || number != self.number {
            return;
        }
        let Some(sent) = self.sent.take() else { return };
        match answer {
            Ok(Answer::Registered(_)) => {
                self.registered = true;
                self.seen.clear();
                self.ended.clear();
            }
            Ok(Answer::Heartbeat(response)) => self.apply_response(response, sent, now, oracle),
            Ok(_) => {}
            Err(refusal) if refusal.kind == types::RefusalKind::Conflict => {
                self.end_all(oracle);
                self.registered = false;
            }
            Err(_) => {}
        }
    }

    fn apply_response(
        &mut self,
        response: HeartbeatResponse,
        sent: Timestamp,
        now: Timestamp,
        oracle: &mut Oracle,
    ) {
        let lease_ends = sent + LEASE + LEASE * self.slow_clock / 1_000;
        if now >= lease_ends {
            return;
        }
        self.lease_ends = lease_ends;
        self.ended.retain(|end| !response.acknowledged.contains(&end.fence));
        for start in response.start {
            if self.seen.contains(&start.fence) {
                continue;
            }
            self.seen.push(start.fence);
            let task = format!("{}#{}", start.job, start.index);
            let word = start.command.first().map(String::as_str);
            let outcome = if self.fails { TaskOutcome::Failed } else { TaskOutcome::Succeeded };
            let ends = (word != Some("serve")).then_some(now + RUN_TIME);
            let crashes = word == Some("crash");
            let ends = if crashes { Some(now + delay_of(&task)) } else { ends };
            oracle.began(&self.name, start.fence, &task, &start.resources, now);
            self.running.insert(start.fence, Run { task, ends, outcome, stopping: false, crashes });
        }
        for fence in response.stop {
            if let Some(run) = self.running.get_mut(&fence) {
                run.stopping = true;
                run.outcome = TaskOutcome::Stopped;
                run.ends = Some(now + Duration::from_millis(100));
            } else if !self.seen.contains(&fence) {
                self.seen.push(fence);
                self.ended.push(RunEnd { fence, outcome: TaskOutcome::Stopped });
            }
        }
    }

    pub(crate) fn tick(&mut self, now: Timestamp, oracle: &mut Oracle) {
        if self.registered && !self.running.is_empty() && now >= self.lease_ends {
            self.end_all(oracle);
            self.registered = false;
        }
        let due = self.running.iter().filter(|(_, run)| run.ends.is_some_and(|at| at <= now));
        let due: Vec<Fence> = due.map(|(fence, _)| *fence).collect();
        for fence in due {
            let Some(run) = self.running.get(&fence) else { return };
            if run.crashes && !run.stopping {
                self.crash(oracle);
                self.next = now + AWAY;
                return;
            }
            let run = self.running.remove(&fence).unwrap();
            oracle.ended(&self.name, fence);
            self.ended.push(RunEnd { fence, outcome: run.outcome });
        }
    }

    fn end_all(&mut self, oracle: &mut Oracle) {
        for fence in self.running.keys() {
            oracle.ended(&self.name, *fence);
        }
        self.running = SortedMap::default();
    }
}

/// How long after its start a task crashes its worker.
fn delay_of(task: &str) -> Duration {
    Duration::from_millis(task.bytes().map(u64::from).sum::<u64>() * 37 % 900)
}
