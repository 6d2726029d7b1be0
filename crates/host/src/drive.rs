//! Drives the replicated groups: persists and sends what the log asks for, applies committed
//! entries and answers the calls that waited for them.

use crate::group::{unavailable, Completion, Group, PendingRead, StateMachine};
use crate::host::Host;
use crate::io::Output;
use crate::leader::ZoneLeader;
use crate::message::{GroupId, PeerMessage};
use consensus::{Entry, Payload, Ready};
use state::{CellCommand, Effects, Reply, ZoneCommand};
use types::{HostId, MemberId};

impl Host {
    /// Drives every group once. Returns whether another round may find more to do.
    pub(crate) fn drive_groups(&mut self) -> bool {
        let ids: Vec<GroupId> = self.groups.keys().cloned().collect();
        let mut busy = false;
        for id in &ids {
            busy |= self.drive(id);
        }
        busy
    }

    fn drive(&mut self, id: &GroupId) -> bool {
        self.update_leadership(id);
        self.run_leader_tasks(id);
        self.begin_reads(id);
        let group = self.groups.get_mut(id).expect("the group exists");
        let idle = group.raft.is_idle();
        let ready = group.raft.take_ready();
        if !idle {
            self.apply_ready(id, ready);
        }
        self.complete_reads(id);
        !idle
    }

    /// Creates the leader's state when this host becomes leader, and drops it when it steps down.
    fn update_leadership(&mut self, id: &GroupId) {
        let now = self.now;
        let seed = self.rng.u64(..);
        let group = self.groups.get_mut(id).expect("the group exists");
        let term = group.raft.has_committed_in_term().then(|| group.raft.term());
        if group.led_term == term {
            return;
        }
        group.led_term = term;
        let old = group.leader.take();
        if let (Some(_), StateMachine::Zone(zone), GroupId::Zone(name)) = (term, &group.machine, id)
        {
            let leader = ZoneLeader::new(now, &self.cfg, seed, name, zone);
            group.leader = Some(Box::new(leader));
        }
        self.heartbeat_due = true;
        for parked in old.into_iter().flat_map(|old| old.into_parked()) {
            self.answer(parked.origin, Err(unavailable(id)));
        }
    }

    /// Begins one leadership confirmation round for all reads since the last round began.
    fn begin_reads(&mut self, id: &GroupId) {
        let group = self.groups.get_mut(id).expect("the group exists");
        if group.new_reads.is_empty() {
            return;
        }
        let new = std::mem::take(&mut group.new_reads);
        match group.raft.begin_round() {
            Some(round) => group
                .pending_reads
                .extend(new.into_iter().map(|(since, read)| PendingRead { round, since, read })),
            None => {
                for (_, read) in new {
                    self.complete_read(id, read);
                }
            }
        }
    }

    fn complete_reads(&mut self, id: &GroupId) {
        let group = self.groups.get_mut(id).expect("the group exists");
        if group.pending_reads.is_empty() {
            return;
        }
        let confirmed = group.raft.confirmed_round();
        let leads = group.raft.is_leader();
        let readers = std::mem::take(&mut group.pending_reads);
        let (done, waiting) =
            readers.into_iter().partition(|pending| !leads || Some(pending.round) <= confirmed);
        group.pending_reads = waiting;
        let done: Vec<PendingRead> = done;
        for pending in done {
            if leads {
                self.complete_read(id, pending.read);
            } else {
                self.refuse_read(id, pending.read);
            }
        }
    }

    fn refuse_read(&mut self, id: &GroupId, read: crate::group::Read) {
        let (crate::group::Read::Answer(origin, _) | crate::group::Read::Heartbeat(_, origin)) =
            read;
        self.answer(origin, Err(unavailable(id)));
    }

    fn apply_ready(&mut self, id: &GroupId, mut ready: Ready) {
        let messages = std::mem::take(&mut ready.messages);
        let committed = std::mem::take(&mut ready.committed);
        if ready.restore {
            self.restore(id, &ready);
        }
        let must_persist =
            ready.snapshot.is_some() || !ready.entries.is_empty() || ready.hard_state.is_some();
        if must_persist {
            self.out.push(Output::Persist(id.clone(), ready));
        }
        for envelope in messages {
            if let Some(host) = self.host_of(id, envelope.to) {
                self.send(&host, PeerMessage::Raft(id.clone(), envelope));
            }
        }
        for entry in committed {
            self.apply_entry(id, entry);
        }
        self.compact_if_due(id);
    }

    /// Replaces the state by a snapshot that the leader sent.
    fn restore(&mut self, id: &GroupId, ready: &Ready) {
        let bug = match self.cfg.injected_bug {
            crate::config::InjectedBug::State(bug) => bug,
            _ => Default::default(),
        };
        let snapshot = ready.snapshot.as_ref().expect("a restore carries a snapshot");
        let group = self.groups.get_mut(id).expect("the group exists");
        group.machine = StateMachine::new(id, &snapshot.data, bug);
        let pending = std::mem::take(&mut group.pending_commands);
        for command in into_values(pending) {
            self.refuse_as_unknown(command.completion);
        }
        self.take_release_from(id);
    }

    fn host_of(&self, id: &GroupId, member: MemberId) -> Option<HostId> {
        let group = self.groups.get(id)?;
        match group.raft.config().get(member) {
            Some(member) => Some(member.host.clone()),
            // While this host does not know the members yet, it replies to the host that the
            // message came from.
            None => group.sender_hosts.get(&member).cloned(),
        }
    }

    fn apply_entry(&mut self, id: &GroupId, entry: Entry) {
        let group = self.groups.get_mut(id).expect("the group exists");
        let pending = group.pending_commands.remove(&entry.index);
        let ours = pending.as_ref().is_some_and(|pending| pending.term == entry.term);
        let mut completion = pending.map(|pending| pending.completion);
        if !ours {
            if let Some(completion) = completion.take() {
                self.refuse_as_unknown(completion);
            }
        }
        let Payload::Command(data) = entry.payload else { return };
        let group = self.groups.get_mut(id).expect("the group exists");
        match &mut group.machine {
            StateMachine::Cell(_) => self.apply_cell(id, &data, completion),
            StateMachine::Zone(zone) => {
                let command: ZoneCommand =
                    postcard::from_bytes(&data).expect("log entries are written by this program");
                let (reply, effects) = zone.apply(command);
                self.process_effects(id, &effects);
                self.complete_command(id, completion, reply);
            }
        }
    }

    fn apply_cell(&mut self, id: &GroupId, data: &[u8], completion: Option<Completion>) {
        let command: CellCommand =
            postcard::from_bytes(data).expect("log entries are written by this program");
        let CellCommand::Apply { note, digest, .. } = &command;
        let accepted = (note.clone(), digest.clone());
        let group = self.groups.get_mut(id).expect("the group exists");
        let StateMachine::Cell(cell) = &mut group.machine else { return };
        let before = cell.release().version;
        let outcome = cell.apply(command);
        let after = cell.release().version;
        if after > before {
            self.release.keep_note(after, accepted.0, accepted.1);
            self.take_release_from(id);
        }
        if let Some(Completion::Answer(origin)) = completion {
            self.answer(origin, Ok(crate::call::Answer::Applied(outcome)));
        }
    }

    /// Puts the release of the cell group in force at this host.
    fn take_release_from(&mut self, id: &GroupId) {
        let Some(StateMachine::Cell(cell)) = self.groups.get(id).map(|group| &group.machine) else {
            return;
        };
        if self.release.set(cell.release()) {
            self.release_changed();
        }
    }

    pub(crate) fn release_changed(&mut self) {
        let release = Box::new(self.release.current().clone());
        self.out.push(Output::SaveRelease(release));
        self.heartbeat_due = true;
    }

    fn process_effects(&mut self, id: &GroupId, effects: &Effects) {
        let now = self.now;
        let group = self.groups.get_mut(id).expect("the group exists");
        let (Some(leader), StateMachine::Zone(zone)) = (&mut group.leader, &group.machine) else {
            return;
        };
        leader.apply_effects(zone, effects, now);
        for fence in &effects.placed {
            let Some(run) = zone.runs().get(fence) else { continue };
            let Some(job) = zone.jobs().get(&run.job) else { continue };
            let class = if job.spec.urgent { "urgent" } else { class_name(job.spec.class) };
            let wait = run.placed.saturating_sub(job.submitted);
            self.stats.waits.push((class.to_string(), wait));
        }
        self.stats.placements += effects.placed.len() as u64;
        if !effects.workers.is_empty() {
            self.answer_parked(id, &effects.workers);
        }
    }

    /// Runs the completion of an applied command.
    fn complete_command(&mut self, id: &GroupId, completion: Option<Completion>, reply: Reply) {
        match completion {
            Some(Completion::Answer(origin)) => self.reply(origin, reply),
            Some(Completion::Registered(worker, origin)) => {
                self.finish_registration(id, worker, origin, reply)
            }
            Some(Completion::Heartbeat(heartbeat, origin)) => {
                self.finish_heartbeat(id, heartbeat, origin)
            }
            Some(Completion::Planned) => {
                if let Some(leader) = self.leader_mut(id) {
                    leader.plan_in_flight = None;
                }
            }
            Some(Completion::Adopted) => {
                if let Some(leader) = self.leader_mut(id) {
                    leader.adoption_in_flight = None;
                }
                self.refresh_quotas(id);
            }
            Some(Completion::Nothing) | None => {}
        }
    }

    fn finish_registration(
        &mut self,
        id: &GroupId,
        worker: types::WorkerId,
        origin: crate::origin::Origin,
        reply: Reply,
    ) {
        if let Reply::Refused(refusal) = reply {
            self.answer(origin, Err(refusal));
            return;
        }
        let (now, lease) = (self.now, self.cfg.worker_lease);
        if let Some(leader) = self.leader_mut(id) {
            leader.renew_contact(&worker, now);
        }
        self.answer(origin, Ok(crate::call::Answer::Registered(lease)));
    }

    pub(crate) fn leader_mut(&mut self, id: &GroupId) -> Option<&mut ZoneLeader> {
        self.groups.get_mut(id)?.leader.as_deref_mut()
    }

    fn refresh_quotas(&mut self, id: &GroupId) {
        let Some(group) = self.groups.get_mut(id) else { return };
        if let (Some(leader), StateMachine::Zone(zone)) = (&mut group.leader, &group.machine) {
            leader.planner.set_quotas(zone.quotas().values());
        }
    }

    fn compact_if_due(&mut self, id: &GroupId) {
        let every = self.cfg.entries_per_snapshot;
        let group = self.groups.get_mut(id).expect("the group exists");
        let applied = group.raft.commit_index();
        if applied < group.raft.snapshot_index() + every {
            return;
        }
        let data = group.machine.encode();
        group.raft.compact(applied, data);
    }
}

fn into_values<K, V>(map: types::SortedMap<K, V>) -> Vec<V>
where
    K: Ord + Clone,
{
    let mut map = map;
    let keys: Vec<K> = map.keys().cloned().collect();
    keys.iter().filter_map(|key| map.remove(key)).collect()
}

fn class_name(class: types::JobClass) -> &'static str {
    match class {
        types::JobClass::Service => "service",
        types::JobClass::Batch => "batch",
        types::JobClass::AllAtOnce => "all-at-once",
    }
}

impl Group {
    /// Remembers which host a member's messages come from, while the configuration does not list
    /// the member.
    pub(crate) fn record_sender(&mut self, member: MemberId, host: &HostId) {
        if self.raft.config().get(member).is_none() {
            self.sender_hosts.insert(member, host.clone());
        }
    }
}
