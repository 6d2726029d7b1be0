//! Heartbeats of workers, which go to the members of the group in turn, and of hosts. The leader is
//! the only member that is simulated; the others pass on what they get.

use crate::simulation::{Event, Simulation, NETWORK_DELAY, ZONES};
use jobs::WorkerInfo;
use scheduler::{Call, CapacityReport, HostHeartbeat, Input, PeerMessage, WorkerHeartbeat};
use std::time::Duration;
use types::{HostId, Timestamp};

const HOST_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between a host's heartbeats while it knows no leader.
const LEADERLESS_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(120);
const WORKER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Members of the group besides the leader.
const FOLLOWERS: [&str; 2] = ["10.1.0.1", "10.1.0.2"];

/// A worker's last heartbeat to a follower.
#[derive(Clone, Copy)]
pub(crate) struct FollowerReport {
    worker: usize,
    follower: usize,
    at: Timestamp,
    passed_on: bool,
}

impl Simulation<'_> {
    pub(crate) fn send_worker_heartbeat(&mut self, i: usize) {
        self.schedule_after(WORKER_HEARTBEAT_INTERVAL, Event::WorkerHeartbeat(i));
        let info = self.worker_info(i);
        let turn = i + (self.now.as_millis() / WORKER_HEARTBEAT_INTERVAL.as_millis()) as usize;
        let is_registered = self
            .node
            .state()
            .is_some_and(|state| state.find_life(&info.worker, info.born).is_some());
        match turn % (FOLLOWERS.len() + 1) {
            follower if follower < FOLLOWERS.len() && is_registered => {
                self.follower_reports.retain(|r| (r.worker, r.follower) != (i, follower));
                let report = FollowerReport { worker: i, follower, at: self.now, passed_on: false };
                self.follower_reports.push(report);
            }
            _ => self.call_with_heartbeat(info),
        }
    }

    fn call_with_heartbeat(&mut self, info: WorkerInfo) {
        let clock = Some(self.now.as_millis() as u64);
        self.last_call += 1;
        let call = Call::Heartbeat(Box::new(WorkerHeartbeat { info, clock }));
        let deadline = self.now + Duration::from_secs(1);
        let input = Input::Call(self.last_call, call, deadline);
        self.schedule_after(NETWORK_DELAY, Event::Input(input));
    }

    fn worker_info(&self, i: usize) -> WorkerInfo {
        WorkerInfo {
            worker: format!("w{i}"),
            born: 1_000,
            service: self.scenario.queues[0].policy.service.clone(),
            addr: format!("10.2.{}.{}:1", i / 250, i % 250),
            zone: format!("z{}", i % ZONES),
            capacity: self.scenario.capacity,
            labels: vec!["a".into(), format!("r{}", i / self.scenario.workers_per_rack)],
            draining: false,
        }
    }

    pub(crate) fn send_host_heartbeat(&mut self, host: HostId) {
        let follower = FOLLOWERS.iter().position(|follower| *follower == host);
        // Reports go only to a host that leads.
        let leads = self.node.leads();
        let follower = follower.filter(|_| leads);
        let heartbeat = HostHeartbeat {
            process: 7,
            version: 1,
            sent_at: self.now,
            draining: false,
            zone: "z0".into(),
            capacities: follower.map_or_else(Vec::new, |follower| self.pass_on_reports(follower)),
        };
        let input = Input::Peer(host.clone(), PeerMessage::Heartbeat(heartbeat));
        self.schedule_after(NETWORK_DELAY, Event::Input(input));
        let interval = if leads { HOST_HEARTBEAT_INTERVAL } else { LEADERLESS_HEARTBEAT_INTERVAL };
        self.schedule_after(interval, Event::HostHeartbeat(host));
    }

    fn pass_on_reports(&mut self, follower: usize) -> Vec<CapacityReport> {
        let mut reports = Vec::new();
        for i in 0..self.follower_reports.len() {
            let report = self.follower_reports[i];
            if report.follower != follower || report.passed_on {
                continue;
            }
            let info = self.worker_info(report.worker);
            let life = self.node.state().and_then(|s| s.find_life(&info.worker, info.born));
            let Some(life) = life.map(|life| life.id) else { continue };
            self.follower_reports[i].passed_on = true;
            let clock = report.at.as_millis() as u64;
            reports.push(CapacityReport { life, clock, capacity: info.capacity });
        }
        reports
    }

    /// Lets the followers pass on all reports again, since the new leader has got none.
    pub(crate) fn repeat_reports(&mut self) {
        self.follower_reports.iter_mut().for_each(|report| report.passed_on = false);
    }
}
