//! Routes calls to the leader of the group that answers them, and carries them out there.

use crate::call::{Answer, Call, GroupCall, Preview, ZoneAnswer, ZoneCall};
use crate::config::InjectedBug;
use crate::group::{answer_of, outcome_unknown, unavailable, Completion, Read};
use crate::home::{home_zone_of_job, home_zone_of_key};
use crate::host::Host;
use crate::io::Output;
use crate::message::{GroupId, PeerMessage};
use crate::origin::Origin;
use crate::views;
use state::{CellCommand, ZoneCommand};
use std::time::Duration;
use types::{ExchangeId, HostId, Refusal, RefusalKind, ReleaseNote, Timestamp, ZoneName};

/// A call is forwarded at most this many times before it is refused.
const MAX_HOPS: u8 = 2;
/// A forwarded call, a proposed command or a read that is not answered within this time is refused
/// with an unknown outcome.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// A call from outside whose group has no leader is retried for this long.
const RETRY_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two retries of a call.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// A call that was forwarded to another host.
#[derive(Debug)]
pub(crate) struct ForwardedCall {
    origin: Origin,
    call: GroupCall,
    until: Timestamp,
    /// Until when the call may be retried if it was certainly not carried out.
    retry_until: Timestamp,
}

/// A call that was not carried out and waits for its next retry.
#[derive(Debug)]
pub(crate) struct Retry {
    pub(crate) at: Timestamp,
    until: Timestamp,
    call: GroupCall,
    origin: Origin,
}

/// The answers collected so far for a call to every zone.
#[derive(Debug)]
pub(crate) struct Gather {
    missing: usize,
    answers: Vec<ZoneAnswer>,
}

impl Host {
    pub(crate) fn on_call(&mut self, exchange: ExchangeId, call: Call) {
        let origin = Origin::Exchange(exchange);
        let now = self.now;
        match call {
            Call::Announce(announcement) => {
                let outcome = self.table.announce(now, announcement);
                self.answer(origin, outcome.map(|()| Answer::Done));
            }
            Call::Leave { upstream, incarnation } => {
                let outcome = self.table.leave(now, &upstream, incarnation);
                self.answer(origin, outcome.map(|()| Answer::Done));
            }
            Call::Release => {
                let release = Box::new(self.release.current().clone());
                self.answer(origin, Ok(Answer::Release(release)));
            }
            Call::Preview(note) => {
                let preview = self.preview(&note).map(Answer::Preview);
                self.answer(origin, preview);
            }
            Call::Status => {
                let status = Box::new(self.status());
                self.answer(origin, Ok(Answer::Status(status)));
            }
            Call::Group(call) => match self.check_zones(&call) {
                Ok(()) => self.call_group(call, origin, MAX_HOPS, now + RETRY_TIMEOUT),
                Err(refusal) => self.answer(origin, Err(refusal)),
            },
            Call::EachZone(call) => self.call_each_zone(exchange, &call),
        }
    }

    fn preview(&self, note: &ReleaseNote) -> Result<Preview, Refusal> {
        self.check_note_zones(note)?;
        let current = self.release.current();
        let next = current.apply(note, "").map_err(|cause| {
            let kind = if note.base == current.version {
                RefusalKind::BadInput
            } else {
                RefusalKind::Conflict
            };
            Refusal::new(kind, cause)
        })?;
        let changes = views::changes(current, &next);
        Ok(Preview { base: current.version, version: next.version, changes })
    }

    fn check_zones(&self, call: &GroupCall) -> Result<(), Refusal> {
        match call {
            GroupCall::Submit(spec) => self.check_zone("zone", spec.zone.as_ref()),
            GroupCall::ApplyRelease { note, .. } => self.check_note_zones(note),
            GroupCall::Zone(zone, _) => self.check_zone("zone", Some(zone)),
            _ => Ok(()),
        }
    }

    fn check_note_zones(&self, note: &ReleaseNote) -> Result<(), Refusal> {
        for (list, specs) in [("add", &note.add), ("change", &note.change)] {
            for (i, spec) in specs.iter().enumerate() {
                self.check_zone(&format!("{list}[{i}].zone"), spec.zone.as_ref())?;
            }
        }
        Ok(())
    }

    fn check_zone(&self, field: &str, zone: Option<&ZoneName>) -> Result<(), Refusal> {
        match zone {
            Some(zone) if self.zones.binary_search(zone).is_err() => {
                let known = self.zones.join(", ");
                let message = format!("{field}: `{zone}` is not a zone of this cell ({known})");
                Err(Refusal::new(RefusalKind::BadInput, message))
            }
            _ => Ok(()),
        }
    }

    /// The group whose leader answers a call.
    fn group_of(&self, call: &GroupCall) -> GroupId {
        match call {
            GroupCall::Register { .. } | GroupCall::Heartbeat(_) => {
                GroupId::Zone(self.cfg.zone.clone())
            }
            GroupCall::Submit(spec) => {
                GroupId::Zone(home_zone_of_job(&spec.key(), spec.zone.as_ref(), &self.zones))
            }
            GroupCall::ApplyRelease { .. } => GroupId::Cell,
            GroupCall::RecordBegin { key, .. } | GroupCall::RecordFinish { key, .. } => {
                // Strips the service that comes before the caller's own key.
                let own = key.split_once('/').map_or(key.as_str(), |(_, own)| own);
                GroupId::Zone(home_zone_of_key(own, &self.zones))
            }
            GroupCall::RequestSlots { zone, .. } | GroupCall::Zone(zone, _) => {
                GroupId::Zone(zone.clone())
            }
        }
    }

    /// Carries out a call if this host leads the group, else forwards it.
    pub(crate) fn call_group(
        &mut self,
        call: GroupCall,
        origin: Origin,
        hops: u8,
        retry_until: Timestamp,
    ) {
        let group = self.group_of(&call);
        if self.leads(&group) {
            self.handle_call(&group, call, origin);
            return;
        }
        let next = if hops > 0 { self.next_hop(&group, &origin) } else { None };
        let Some(host) = next else {
            self.retry_or_refuse(call, origin, retry_until);
            return;
        };
        self.last_call += 1;
        let id = self.last_call;
        let until = self.now + CALL_TIMEOUT + hold_time(&call);
        let message = PeerMessage::Call { id, hops: hops - 1, call: Box::new(call.clone()) };
        self.forwarded_calls.insert(id, ForwardedCall { origin, call, until, retry_until });
        self.send(&host, message);
    }

    fn next_hop(&mut self, group: &GroupId, origin: &Origin) -> Option<HostId> {
        if let Some(leader) = self.groups.get(group).and_then(|g| g.raft.leader_host()) {
            let is_other = *leader != self.cfg.host;
            if is_other && !matches!(origin, Origin::Peer(from, _) if from == leader) {
                return Some(leader.clone());
            }
        }
        let members: Vec<HostId> = match self.cfg.groups.get(group) {
            Some(members) => members.iter().map(|m| m.host.clone()).collect(),
            None => Vec::new(),
        };
        self.peers.next_hop(group, &members, self.now)
    }

    /// Handles a call that was certainly not carried out. Retries it soon if it has time left and
    /// is neither another host's call nor a slot request, else refuses it.
    fn retry_or_refuse(&mut self, call: GroupCall, origin: Origin, until: Timestamp) {
        let at = self.now + RETRY_INTERVAL;
        let is_local = !matches!(origin, Origin::Peer(..) | Origin::SlotRequest(..));
        if is_local && at < until {
            self.retries.push(Retry { at, until, call, origin });
            return;
        }
        let group = self.group_of(&call);
        self.answer(origin, Err(unavailable(&group)));
    }

    pub(crate) fn retry_calls(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.retries).into_iter().partition(|retry| retry.at <= now);
        self.retries = later;
        let due: Vec<Retry> = due;
        for retry in due {
            self.call_group(retry.call, retry.origin, MAX_HOPS, retry.until);
        }
    }

    /// Handles a call forwarded by another host.
    pub(crate) fn on_peer_call(&mut self, from: HostId, id: u64, hops: u8, call: GroupCall) {
        self.call_group(call, Origin::Peer(from, id), hops, self.now);
    }

    /// Handles the answer to a forwarded call.
    pub(crate) fn on_call_answer(&mut self, id: u64, answer: Result<Answer, Refusal>) {
        let Some(call) = self.forwarded_calls.remove(&id) else { return };
        let not_done = matches!(&answer, Err(refusal) if refusal.kind == RefusalKind::Unavailable);
        if not_done {
            self.retry_or_refuse(call.call, call.origin, call.retry_until);
        } else {
            self.answer(call.origin, answer);
        }
    }

    /// Refuses calls, commands and reads that have waited too long.
    pub(crate) fn expire_calls(&mut self) {
        let now = self.now;
        let expired = self.forwarded_calls.iter().filter(|(_, call)| call.until <= now);
        let ids: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in ids {
            let call = self.forwarded_calls.remove(&id).expect("id comes from the same map");
            self.answer(call.origin, Err(outcome_unknown()));
        }
        let mut expired_completions = Vec::new();
        for group in self.groups.values_mut() {
            let has_expired = |since: Timestamp| now >= since + CALL_TIMEOUT;
            let old =
                group.pending_commands.iter().filter(|(_, pending)| has_expired(pending.since));
            let old: Vec<u64> = old.map(|(index, _)| *index).collect();
            for index in old {
                expired_completions.extend(
                    group.pending_commands.remove(&index).map(|pending| pending.completion),
                );
            }
            let (old, kept) = std::mem::take(&mut group.pending_reads)
                .into_iter()
                .partition(|r| has_expired(r.since));
            group.pending_reads = kept;
            let old: Vec<crate::group::PendingRead> = old;
            expired_completions.extend(old.into_iter().map(|pending| completion_of(pending.read)));
        }
        for completion in expired_completions {
            self.refuse_as_unknown(completion);
        }
    }

    /// Tells the caller that the outcome of its command or read is unknown.
    pub(crate) fn refuse_as_unknown(&mut self, completion: Completion) {
        match completion {
            Completion::Answer(origin)
            | Completion::Heartbeat(_, origin)
            | Completion::Registered(_, origin) => self.answer(origin, Err(outcome_unknown())),
            Completion::Planned | Completion::Adopted | Completion::Nothing => {}
        }
    }

    /// Carries out a call for a group that this host leads.
    fn handle_call(&mut self, id: &GroupId, call: GroupCall, origin: Origin) {
        let at = self.now;
        match call {
            GroupCall::Register { spec, first } => {
                let completion = Completion::Registered(spec.worker.clone(), origin);
                let command = if first < spec.incarnation {
                    ZoneCommand::RegisterAgain { spec, first, at }
                } else {
                    ZoneCommand::Register { spec, at }
                };
                self.propose(id, command, completion);
            }
            GroupCall::Heartbeat(heartbeat) => self.handle_heartbeat(id, heartbeat, origin),
            GroupCall::Submit(spec) => match self.check_submission(id, &spec) {
                Ok(()) => {
                    self.propose(id, ZoneCommand::Submit { spec, at }, Completion::Answer(origin))
                }
                Err(refusal) => self.answer(origin, Err(refusal)),
            },
            GroupCall::ApplyRelease { request, note, digest } => {
                let command = CellCommand::Apply { request, note, digest, at };
                let group = self.groups.get_mut(id).expect("this host leads the group");
                if let Err(completion) =
                    group.propose_cell(at, &command, Completion::Answer(origin))
                {
                    self.refuse_unavailable(id, completion);
                }
            }
            GroupCall::RecordBegin { key, digest, owner } => {
                let command = ZoneCommand::RecordBegin { key, digest, owner, at };
                self.propose(id, command, Completion::Answer(origin));
            }
            GroupCall::RecordFinish { key, owner, outcome } => {
                let command = ZoneCommand::RecordFinish { key, owner, outcome, at };
                self.propose(id, command, Completion::Answer(origin));
            }
            GroupCall::Zone(_, ZoneCall::Cancel(job)) => {
                self.propose(id, ZoneCommand::Cancel { job, at }, Completion::Answer(origin));
            }
            GroupCall::Zone(_, ZoneCall::DrainWorker { worker, draining }) => {
                let command = ZoneCommand::Drain { worker, draining };
                self.propose(id, command, Completion::Answer(origin));
            }
            read => self.read(id, Read::Answer(origin, read)),
        }
    }

    fn check_submission(&self, id: &GroupId, spec: &types::JobSpec) -> Result<(), Refusal> {
        let bad = |cause| Refusal::new(RefusalKind::BadInput, cause);
        spec.check().map_err(bad)?;
        let Some(zone) = self.groups.get(id).and_then(|group| group.zone()) else {
            return Ok(());
        };
        // A job that exists was checked when it was submitted.
        if zone.find_job(&spec.key()).is_some() {
            return Ok(());
        }
        let present = zone.workers().values().filter(|worker| worker.lost_at.is_none());
        let cell =
            placement::ZoneCapacity { workers: present.map(|worker| worker.capacity).collect() };
        placement::admit(spec, &cell).map_err(bad)
    }

    pub(crate) fn propose(&mut self, id: &GroupId, command: ZoneCommand, completion: Completion) {
        let now = self.now;
        let Some(group) = self.groups.get_mut(id) else { return };
        if let Err(completion) = group.propose_zone(now, &command, completion) {
            self.refuse_unavailable(id, completion);
        }
    }

    /// Refuses a command that the log did not accept, so that it was not carried out.
    fn refuse_unavailable(&mut self, id: &GroupId, completion: Completion) {
        match completion {
            Completion::Answer(origin)
            | Completion::Heartbeat(_, origin)
            | Completion::Registered(_, origin) => self.answer(origin, Err(unavailable(id))),
            Completion::Planned | Completion::Adopted | Completion::Nothing => {}
        }
    }

    /// Queues a read until a confirmation round shows that this host still leads.
    pub(crate) fn read(&mut self, id: &GroupId, read: Read) {
        if self.cfg.has_bug(InjectedBug::SkipConfirmation) {
            self.complete_read(id, read);
            return;
        }
        let now = self.now;
        if let Some(group) = self.groups.get_mut(id) {
            group.new_reads.push((now, read));
        }
    }

    /// Carries out a read, once it is confirmed that this host leads.
    pub(crate) fn complete_read(&mut self, id: &GroupId, read: Read) {
        match read {
            Read::Heartbeat(heartbeat, origin) => self.finish_heartbeat(id, heartbeat, origin),
            Read::Answer(origin, GroupCall::RequestSlots { host, from, requests, zone }) => {
                let (now, own) = (self.now, from == zone);
                let leader = self.groups.get_mut(id).and_then(|group| group.leader.as_mut());
                let grants =
                    leader.map(|leader| leader.slot_allocator.renew(now, &host, own, &requests));
                let answer = grants.map(Answer::Grants).ok_or_else(|| unavailable(id));
                self.answer(origin, answer);
            }
            Read::Answer(origin, GroupCall::Zone(zone, call)) => {
                let group = self.groups.get(id).expect("reads belong to a group");
                let answer = views::answer(group, &zone, &call, self.now);
                self.answer(origin, answer);
            }
            Read::Answer(origin, _) => self.answer(origin, Err(unavailable(id))),
        }
    }

    fn call_each_zone(&mut self, exchange: ExchangeId, call: &ZoneCall) {
        let zones = self.zones.clone();
        let gather = Gather { missing: zones.len(), answers: Vec::new() };
        self.gathers.insert(exchange, gather);
        for zone in zones {
            let origin = Origin::Gather(exchange, zone.clone());
            let call = GroupCall::Zone(zone, call.clone());
            self.call_group(call, origin, MAX_HOPS, self.now + RETRY_TIMEOUT / 2);
        }
    }

    pub(crate) fn gather(
        &mut self,
        exchange: ExchangeId,
        zone: ZoneName,
        answer: Result<Answer, Refusal>,
    ) {
        let Some(gather) = self.gathers.get_mut(&exchange) else { return };
        gather.answers.push(ZoneAnswer { zone, answer: answer.map(Box::new) });
        gather.missing -= 1;
        if gather.missing > 0 {
            return;
        }
        let mut answers = self.gathers.remove(&exchange).expect("looked up above").answers;
        answers.sort_by(|a, b| a.zone.cmp(&b.zone));
        self.out.push(Output::Answer(exchange, Ok(Answer::Zones(answers))));
    }

    /// Sends the answer to an applied command.
    pub(crate) fn reply(&mut self, origin: Origin, reply: state::Reply) {
        self.answer(origin, answer_of(reply));
    }
}

fn completion_of(read: Read) -> Completion {
    match read {
        Read::Answer(origin, _) => Completion::Answer(origin),
        Read::Heartbeat(heartbeat, origin) => Completion::Heartbeat(heartbeat, origin),
    }
}

/// How long the leader may hold back the answer to a call.
fn hold_time(call: &GroupCall) -> Duration {
    match call {
        GroupCall::Heartbeat(heartbeat) => heartbeat.wait,
        _ => Duration::ZERO,
    }
}
