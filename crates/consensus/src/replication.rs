//! Replication of entries and snapshots from the leader to the other members.

use crate::message::{Entry, Index, Message, Snapshot, Term};
use crate::progress::{Progress, SnapshotProgress};
use crate::raft::{IncomingSnapshot, Raft, State};
use crate::{Config, InjectedBug};
use std::sync::Arc;
use types::{MemberId, Timestamp};

impl Raft {
    pub(crate) fn step_replication(&mut self, from: MemberId, message: Message) {
        match message {
            Message::Append { prev_index, prev_term, entries, commit, round } => {
                self.on_leader_message(from);
                let reply = self.on_append(prev_index, prev_term, entries, commit, round);
                self.send(from, reply);
            }
            Message::Install { index, last_term, config, offset, total, data, round } => {
                self.on_leader_message(from);
                let part = SnapshotPart { index, term: last_term, config, offset, total, data };
                let reply = self.on_install(part, round);
                self.send(from, reply);
            }
            Message::AppendReply { accepted, index, round } => {
                self.on_append_reply(from, accepted, index, round)
            }
            Message::InstallReply { index, offset, round } => {
                self.on_install_reply(from, index, offset, round)
            }
            _ => {}
        }
    }

    fn on_leader_message(&mut self, from: MemberId) {
        self.last_leader_contact = Some(self.now);
        self.become_follower(Some(from));
    }

    fn on_append(
        &mut self,
        prev_index: Index,
        prev_term: Term,
        entries: Vec<Entry>,
        commit: Index,
        round: u64,
    ) -> Message {
        if let Some(index) = self.mismatch(prev_index, prev_term) {
            return Message::AppendReply { accepted: false, index, round };
        }
        let matched = prev_index + entries.len() as u64;
        for entry in entries {
            let same = self.log.term_at(entry.index) == Some(entry.term);
            let in_snapshot = entry.index <= self.log.snapshot().index;
            if !same && !in_snapshot {
                self.put(entry);
            }
        }
        self.set_commit(commit.min(matched));
        Message::AppendReply { accepted: true, index: matched, round }
    }

    /// Returns `None` if the entry before the new ones matches the log, otherwise the
    /// `prev_index` that the leader should try next.
    fn mismatch(&self, prev_index: Index, prev_term: Term) -> Option<Index> {
        if prev_index < self.log.snapshot().index {
            // Entries covered by the snapshot are committed and therefore match.
            return None;
        }
        match self.log.term_at(prev_index) {
            Some(term) if term == prev_term => None,
            Some(_) if self.tuning.injected_bug == InjectedBug::SkipPreviousEntryCheck => None,
            // Entries of that term may match further back, but seldom do: they are a deposed leader's.
            Some(term) => Some(self.before_term(prev_index, term)),
            None => Some(self.log.last_index()),
        }
    }

    /// Index of the last entry before `index` that is of an earlier term or committed.
    fn before_term(&self, index: Index, term: Term) -> Index {
        let earlier = |i: &Index| *i <= self.hard.commit || self.log.term_at(*i) != Some(term);
        (0..index).rev().find(earlier).unwrap_or_default()
    }

    fn on_install(&mut self, part: SnapshotPart, round: u64) -> Message {
        let SnapshotPart { index, term, config, offset, total, data } = part;
        if index <= self.hard.commit {
            return Message::AppendReply { accepted: true, index: self.hard.commit, round };
        }
        let fits = self.incoming.as_ref().is_some_and(|i| (i.index, i.term) == (index, term));
        if !fits {
            self.incoming = Some(IncomingSnapshot { index, term, data: Vec::new() });
        }
        let incoming = self.incoming.as_mut().expect("set above");
        if offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(&data);
        }
        let have = incoming.data.len() as u64;
        if have < total {
            return Message::InstallReply { index, offset: have, round };
        }
        let data = Arc::new(std::mem::take(&mut incoming.data));
        self.incoming = None;
        self.install(Snapshot { index, term, config, data });
        Message::AppendReply { accepted: true, index, round }
    }

    fn install(&mut self, snapshot: Snapshot) {
        self.hard.commit = snapshot.index;
        self.applied = snapshot.index;
        self.ready.committed.clear();
        self.log.restore(snapshot.clone());
        // Storage drops its log when it installs the snapshot, so entries after the snapshot must
        // be written again.
        self.ready.entries = self.log.read(snapshot.index + 1, usize::MAX);
        self.ready.snapshot = Some(snapshot);
        self.ready.restore = true;
        self.save_hard_state();
    }

    fn on_append_reply(&mut self, from: MemberId, accepted: bool, index: Index, round: u64) {
        let last = self.log.last_index();
        let Some(progress) = self.record_response(from, round) else { return };
        if !accepted {
            return self.on_rejection(from, index, round);
        }
        progress.snapshot = None;
        progress.matched = progress.matched.max(index.min(last));
        progress.next = progress.next.max(progress.matched + 1);
        let behind = progress.next <= last;
        self.advance_commit();
        if behind {
            self.send_append(from);
        }
        self.finish_transfer(from);
    }

    /// Sends again what a member lacks, once for all appends on their way that it rejects for the same
    /// gap: a round of its own tells their rejections from those of what is sent from now on.
    fn on_rejection(&mut self, from: MemberId, index: Index, round: u64) {
        let now = self.now;
        let State::Leader(l) = &mut self.state else { return };
        let Some(progress) = l.progress.get_mut(&from) else { return };
        if round < progress.resent_round {
            return;
        }
        let before = progress.next;
        progress.next = (index + 1).min(before).max(progress.matched + 1);
        // After a rejection that does not move `next`, wait for the next heartbeat. Resending at
        // once would repeat the exchange in a loop at network speed.
        if progress.next != before {
            let round = l.start_round(now);
            if let Some(progress) = l.progress.get_mut(&from) {
                progress.resent_round = round;
            }
            self.send_append(from);
        }
    }

    fn on_install_reply(&mut self, from: MemberId, index: Index, offset: u64, round: u64) {
        let Some(progress) = self.record_response(from, round) else { return };
        match &mut progress.snapshot {
            Some(part) if part.index == index && part.offset != offset => {
                *part = SnapshotProgress { index, offset, sent: None };
            }
            _ => return,
        }
        self.send_append(from);
    }

    fn record_response(&mut self, from: MemberId, round: u64) -> Option<&mut Progress> {
        let now = self.now;
        let State::Leader(l) = &mut self.state else { return None };
        let progress = l.progress.get_mut(&from)?;
        progress.last_response = now;
        progress.round = progress.round.max(round);
        Some(progress)
    }

    /// Tells the target of a leadership transfer to campaign, once it has the whole log.
    pub(crate) fn finish_transfer(&mut self, from: MemberId) {
        let last = self.log.last_index();
        let State::Leader(l) = &self.state else { return };
        let is_target = l.transfer.is_some_and(|(to, _)| to == from);
        if is_target && l.progress.get(&from).is_some_and(|p| p.matched == last) {
            self.send(from, Message::TimeoutNow);
        }
    }

    pub(crate) fn broadcast(&mut self) {
        let State::Leader(l) = &self.state else { return };
        let others: Vec<MemberId> = l.progress.keys().copied().collect();
        for id in others {
            self.send_append(id);
        }
    }

    /// Sends a member its missing entries or the next snapshot part; without either, a heartbeat.
    pub(crate) fn send_append(&mut self, to: MemberId) {
        let max_bytes = self.tuning.max_message_bytes;
        let State::Leader(l) = &mut self.state else { return };
        let round = l.round;
        let Some(progress) = l.progress.get_mut(&to) else { return };
        let prev_index = progress.next - 1;
        let prev_term = self.log.term_at(prev_index);
        let (Some(prev_term), None) = (prev_term, progress.snapshot) else {
            let resend_before = self.now.saturating_sub(self.tuning.election_timeout);
            let part = next_part(progress, self.log.snapshot(), resend_before);
            if let Some(part) = part {
                progress.snapshot = Some(SnapshotProgress { sent: Some(self.now), ..part });
                let message = install_message(self.log.snapshot(), part, max_bytes, round);
                self.send(to, message);
            }
            return;
        };
        let entries = self.log.read(progress.next, max_bytes);
        // Optimistic pipelining: assumes delivery; a rejection moves `next` back.
        progress.next += entries.len() as u64;
        let commit = self.hard.commit;
        self.send(to, Message::Append { prev_index, prev_term, entries, commit, round });
    }

    /// Advances the commit index to the last entry that a majority has, if that entry is of the
    /// current term. Entries of earlier terms are committed only together with it.
    pub(crate) fn advance_commit(&mut self) {
        let State::Leader(l) = &self.state else { return };
        let last = self.log.last_index();
        let matched =
            |id| if id == self.id { last } else { l.progress.get(&id).map_or(0, |p| p.matched) };
        let reached = self.log.config().reached_by_majority(matched);
        let own_term = self.log.term_at(reached) == Some(self.hard.term);
        if own_term || self.tuning.injected_bug == InjectedBug::CommitEarlierTerm {
            self.set_commit(reached);
        }
    }

    pub(crate) fn set_commit(&mut self, commit: Index) {
        if commit > self.hard.commit {
            self.hard.commit = commit;
            self.save_hard_state();
            self.collect_committed();
            self.step_down_if_removed();
        }
    }

    pub(crate) fn collect_committed(&mut self) {
        while self.applied < self.hard.commit {
            let entry = self.log.get(self.applied + 1).expect("committed entries are kept");
            self.ready.committed.push(entry.clone());
            self.applied += 1;
        }
    }

    pub(crate) fn put(&mut self, entry: Entry) {
        let from = entry.index;
        self.ready.entries.retain(|e| e.index < from);
        self.ready.entries.push(entry.clone());
        self.log.put(entry);
    }

    /// Tracks the members of the latest configuration, which is effective once appended.
    pub(crate) fn sync_progress_with_config(&mut self) {
        let (id, now, next) = (self.id, self.now, self.log.last_index());
        let State::Leader(l) = &mut self.state else { return };
        let config = self.log.config();
        l.progress.retain(|member, _| config.get(*member).is_some());
        for member in config.members().iter().filter(|m| m.id != id) {
            l.progress.get_or_insert_with(member.id, || Progress::new(next, now));
        }
    }

    /// Steps down if this leader lost its vote by a configuration that is committed.
    fn step_down_if_removed(&mut self) {
        let committed = self.log.config_index() <= self.hard.commit;
        if committed && self.is_leader() && !self.log.config().votes(self.id) {
            self.become_follower(None);
        }
    }
}

/// The contents of an `Install` message: one part of a snapshot.
struct SnapshotPart {
    index: Index,
    term: Term,
    config: Config,
    offset: u64,
    total: u64,
    data: Vec<u8>,
}

/// The snapshot part to send now, or `None` while the previous one is in flight. A part that was
/// sent before `resend_before` counts as lost and is sent again.
fn next_part(
    progress: &mut Progress,
    snapshot: &Snapshot,
    resend_before: Timestamp,
) -> Option<SnapshotProgress> {
    progress.next = snapshot.index + 1;
    match progress.snapshot {
        Some(part) if part.index == snapshot.index => {
            part.sent.is_none_or(|at| at <= resend_before).then_some(part)
        }
        _ => Some(SnapshotProgress { index: snapshot.index, offset: 0, sent: None }),
    }
}

fn install_message(
    snapshot: &Snapshot,
    part: SnapshotProgress,
    max_bytes: usize,
    round: u64,
) -> Message {
    let from = (part.offset as usize).min(snapshot.data.len());
    let to = (from + max_bytes).min(snapshot.data.len());
    Message::Install {
        index: snapshot.index,
        last_term: snapshot.term,
        config: snapshot.config.clone(),
        offset: part.offset,
        total: snapshot.data.len() as u64,
        data: snapshot.data[from..to].to_vec(),
        round,
    }
}
