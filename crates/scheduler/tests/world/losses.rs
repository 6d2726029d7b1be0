//! What a cell must bear: the hosts with a disk that count as lost, and that the group has a leader
//! while no more than that is lost.

use super::replacements::Replacements;
use super::{World, DISKS, HOSTS};
use consensus::Role;
use std::collections::BTreeMap;

/// A leader must be there this long after the last disruption of a host with a disk, in
/// milliseconds: `touchMs` of the deployment.
pub(crate) const TOUCH_TIME: u64 = 3_000;
/// After more losses than are to be borne, a leader must be there this long after all hosts are
/// back, in milliseconds: `recoverS` of the deployment.
const RECOVERY_TIME: u64 = 12_000;

/// How many hosts with a disk may be lost at once, and how long one counts as lost after it is back
/// or, if it is new, after it starts, in milliseconds: `tolerate.machines` and `catchUpS` of the
/// deployment.
#[derive(Clone, Copy)]
pub(crate) struct Tolerance {
    pub(crate) at_once: usize,
    pub(crate) catch_up: u64,
}

/// A host's process, whether it is running, and whether it is cut off.
type Condition = (usize, u64, bool, bool);

/// Hosts with a disk that count as lost.
pub(crate) struct Losses {
    tolerance: Tolerance,
    /// When each host counts as back.
    lost_until: BTreeMap<usize, u64>,
    /// Lost hosts whose successor has not started.
    missing: usize,
    conditions: Vec<Condition>,
    /// The group's members as the last leader knew them, for failure reports.
    members: Vec<(String, Role)>,
    last_disruption: u64,
    last_leader: u64,
    /// The leader, and since when.
    leader: (Option<usize>, u64),
    /// The state of each host without a disk, and since when.
    entry_hosts: [(Condition, u64); HOSTS - DISKS],
    /// Until when there may be no leader after too many losses; `u64::MAX` until all are back.
    suspended_until: u64,
}

impl Losses {
    /// Starts with a group of hosts that are all well.
    pub(crate) fn new(tolerance: Tolerance, world: &World) -> Losses {
        Losses {
            tolerance,
            lost_until: world.group.iter().map(|i| (*i, 0)).collect(),
            missing: 0,
            conditions: Vec::new(),
            members: Vec::new(),
            last_disruption: world.now,
            last_leader: world.now,
            leader: (None, world.now),
            entry_hosts: Default::default(),
            suspended_until: 0,
        }
    }

    /// Number of hosts that count as lost.
    pub(crate) fn count(&self, now: u64) -> usize {
        self.missing + self.lost_until.values().filter(|until| **until > now).count()
    }

    /// Whether one more host may be lost now.
    pub(crate) fn allow_one_more(&self, now: u64) -> bool {
        self.count(now) < self.tolerance.at_once
    }

    pub(crate) fn is_lost(&self, i: usize, now: u64) -> bool {
        self.lost_until.get(&i).is_some_and(|until| *until > now)
    }

    /// When a host that counts as lost now is back.
    pub(crate) fn next_back(&self, now: u64) -> Option<u64> {
        self.lost_until.values().copied().filter(|until| *until > now).min()
    }

    /// Takes the state of all hosts into account. Must be called before and after each change.
    pub(crate) fn observe(&mut self, world: &World, replacements: &Replacements) {
        let (now, catch_up) = (world.now, self.tolerance.catch_up);
        self.missing = replacements.missing();
        self.lost_until.retain(|i, _| world.group.contains(i));
        for i in &world.group {
            let new = !self.lost_until.contains_key(i);
            let lost = new || !is_well(world, *i) || replacements.is_stopping(*i);
            if lost {
                let until = now.max(world.hosts[*i].frozen_until) + catch_up;
                self.lost_until.insert(*i, until);
            }
        }
        let condition =
            |i: &usize| (*i, world.hosts[*i].process, world.is_running(*i), is_cut_off(world, *i));
        let conditions: Vec<Condition> = world.group.iter().map(condition).collect();
        self.report_members(world);
        self.observe_entry_hosts(world);
        if conditions != self.conditions {
            self.conditions = conditions;
            self.last_disruption = now;
        }
        if self.count(now) > self.tolerance.at_once {
            self.suspended_until = u64::MAX;
        } else if self.suspended_until == u64::MAX && self.all_back(world) {
            self.suspended_until = now + RECOVERY_TIME;
        }
    }

    fn observe_entry_hosts(&mut self, world: &World) {
        for (i, (condition, since)) in (DISKS..HOSTS).zip(&mut self.entry_hosts) {
            let running = world.is_running(i);
            let next = (i, world.hosts[i].process, running, !world.cut.is_empty());
            if next != *condition {
                (*condition, *since) = (next, world.now);
            }
        }
    }

    /// Fails if a host without a disk that has been in touch for [`TOUCH_TIME`] with a leader that
    /// led all the while is not ready.
    pub(crate) fn check_ready(&self, world: &World) -> Result<(), String> {
        let (leader, leads_since) = self.leader;
        for ((i, _, running, is_cut), since) in self.entry_hosts {
            let since = since.max(leads_since).max(self.last_disruption);
            let in_touch = running && !is_cut && world.now > since + TOUCH_TIME;
            let reason = world.hosts[i].node.as_ref().and_then(|node| node.unready_reason());
            if let (true, Some(leader), Some(reason)) = (in_touch, leader, reason) {
                let now = world.now;
                return Err(format!(
                    "{now} ms: h{i} says {reason}, h{leader} leads since {leads_since} ms"
                ));
            }
        }
        Ok(())
    }

    fn report_members(&mut self, world: &World) {
        let Some(leader) = world.leader() else { return };
        let members = world.group_members(leader);
        if members != self.members {
            eprintln!("{} members at h{leader} {members:?}", world.now);
            self.members = members;
        }
    }

    fn all_back(&self, world: &World) -> bool {
        self.missing == 0 && world.group.iter().all(|i| is_well(world, *i))
    }

    /// Fails if the group had no leader for [`TOUCH_TIME`] without a disruption, while no more hosts
    /// were lost than are to be borne.
    pub(crate) fn check_leader(&mut self, world: &World) -> Result<(), String> {
        let now = world.now;
        let well = world.group.iter().copied().filter(|i| is_well(world, *i));
        let leader = world.leader_of(&well.collect::<Vec<_>>());
        if leader != self.leader.0 {
            self.leader = (leader, now);
        }
        if leader.is_some() {
            self.last_leader = now;
        }
        let since = self.last_leader.max(self.last_disruption);
        if now <= since + TOUCH_TIME || now <= self.suspended_until {
            return Ok(());
        }
        let (count, hosts) = (self.count(now), world.describe());
        Err(format!("{now} ms: no leader since {since} ms, {count} hosts count as lost; {hosts}"))
    }
}

fn is_well(world: &World, i: usize) -> bool {
    world.is_running(i) && !is_cut_off(world, i)
}

/// Whether a host of the group is on the smaller side of a cut, or on one of two equal sides.
fn is_cut_off(world: &World, i: usize) -> bool {
    let inside = world.cut.contains(&i);
    let same = world.group.iter().filter(|other| world.cut.contains(other) == inside).count();
    same * 2 <= world.group.len()
}
