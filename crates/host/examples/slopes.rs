//! Measures how costs grow with the number of workers, for docs/CAPACITY.md: one host that leads a
//! zone, without I/O.
//!
//! For each size it prints the time per registration, per submission with its placement and per
//! heartbeat, the size of the encoded state, and the time to encode it, which a snapshot costs.

use host::{
    Answer, Call, GroupCall, GroupId, Heartbeat, Host, HostConfigBuilder, InitialMember, Input,
    Output, StartState,
};
use state::WorkerSpec;
use std::time::{Duration, Instant};
use types::{JobClass, JobSpec, Resources, Timestamp};

const JOBS_PER_WORKER: usize = 4;

struct Bench {
    host: Host,
    now: Timestamp,
    exchange: u64,
}

impl Bench {
    fn new() -> Bench {
        let me = || vec![InitialMember { host: "a-1".into(), role: consensus::Role::Voter }];
        let zone = GroupId::Zone("a".into());
        let cfg = HostConfigBuilder::new("a-1", "a")
            .group(GroupId::Cell, me())
            .group(zone, me())
            .entries_per_snapshot(u64::MAX / 2)
            .build();
        let host = Host::new(cfg, StartState { member: 1, process: 1, ..StartState::default() });
        let mut bench = Bench { host, now: Duration::ZERO, exchange: 0 };
        for _ in 0..40 {
            bench.now += Duration::from_millis(100);
            bench.host.step(bench.now, Input::Tick);
        }
        bench
    }

    fn call(&mut self, call: GroupCall) -> Vec<Output> {
        self.exchange += 1;
        self.now += Duration::from_micros(100);
        self.host.step(self.now, Input::Call(self.exchange, Call::Group(call)))
    }

    fn register(&mut self, i: usize) {
        let spec = WorkerSpec {
            worker: format!("w{i:06}"),
            rack: format!("r{}", i / 8),
            capacity: Resources { cpu: 30_000, memory: 130 << 30, accelerators: 2 },
            incarnation: 1,
        };
        self.call(GroupCall::Register { first: spec.incarnation, spec });
    }

    fn submit(&mut self, i: usize) {
        self.call(GroupCall::Submit(JobSpec {
            team: format!("team{}", i % 130),
            name: format!("job-{i}"),
            class: JobClass::Batch,
            tasks: 1,
            resources: Resources { cpu: 4_000, memory: 8 << 30, accelerators: 0 },
            command: vec!["run".into()],
            run_time: Some(Duration::from_secs(60)),
            deadline: None,
            urgent: false,
            unrepeatable: false,
            zone: Some("a".into()),
        }));
    }

    fn heartbeat(&mut self, i: usize) -> usize {
        let outputs = self.call(GroupCall::Heartbeat(Heartbeat {
            worker: format!("w{i:06}"),
            incarnation: 1,
            ..Heartbeat::default()
        }));
        let starts = outputs.iter().map(|output| match output {
            Output::Answer(_, Ok(Answer::Heartbeat(response))) => response.start.len(),
            _ => 0,
        });
        starts.sum()
    }
}

fn micros(began: Instant, count: usize) -> f64 {
    began.elapsed().as_secs_f64() * 1e6 / count as f64
}

fn main() {
    println!("| workers | runs | register µs | submit and place µs | heartbeat µs | state KiB | encode ms |");
    println!("|---|---|---|---|---|---|---|");
    for workers in [100, 400, 1_450, 5_800] {
        let mut bench = Bench::new();
        let began = Instant::now();
        (0..workers).for_each(|i| bench.register(i));
        let register = micros(began, workers);
        let jobs = workers * JOBS_PER_WORKER;
        let began = Instant::now();
        (0..jobs).for_each(|i| bench.submit(i));
        let submit = micros(began, jobs);
        let began = Instant::now();
        let starts: usize = (0..workers).map(|i| bench.heartbeat(i)).sum();
        let heartbeat = micros(began, workers);
        assert_eq!(starts, jobs, "every job must be placed and sent to its worker");
        let state = bench.host.zone_state("a").expect("the host leads the zone");
        let began = Instant::now();
        let encoded = postcard::to_stdvec(state).expect("plain data encodes without error");
        println!(
            "| {workers} | {starts} | {register:.1} | {submit:.1} | {heartbeat:.1} | {} | {:.2} |",
            encoded.len() / 1024,
            began.elapsed().as_secs_f64() * 1e3
        );
    }
}
