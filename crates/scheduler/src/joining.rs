//! How hosts with a disk form the group and join it.

use crate::message::PeerMessage;
use crate::node::Node;
use consensus::{Config, ANNOUNCE_INTERVAL};
use types::{HostId, MemberId};

impl Node {
    /// Announces to candidates that this host's log hears no leader, or that its data directory is
    /// empty. Forms the group once all initial members have announced themselves.
    pub(crate) fn announce_store(&mut self) {
        let now = self.now;
        if !self.cfg.disk || self.draining || now < self.next_announcement {
            return;
        }
        self.next_announcement = now + ANNOUNCE_INTERVAL;
        let me = self.cfg.host.clone();
        if let Some(group) = &self.group {
            // A member with a leader needs no announcement.
            if group.raft.leader().is_none() {
                let announcement = PeerMessage::SeekLeader(self.member);
                for host in self.peers.candidates().into_iter().filter(|host| *host != me) {
                    self.send(&host, announcement.clone());
                }
            }
            return;
        }
        if let Some(forming) = &self.forming {
            if let Some(config) = forming.initial_config(&me, self.member, now) {
                let others = forming.other_hosts(&me);
                log::info!(members = config.members().len(); "group formed");
                self.form_group(config.clone());
                for host in others {
                    self.send(&host, PeerMessage::FormGroup(config.clone()));
                }
                return;
            }
        }
        let bootstrap = self.forming.is_some();
        let announcement = PeerMessage::EmptyStore { member: self.member, bootstrap };
        for host in self.peers.candidates().into_iter().filter(|host| *host != me) {
            self.send(&host, announcement.clone());
        }
    }

    /// Handles a host whose data directory is empty. While the group is being formed, the host
    /// counts towards its initial members. Afterwards a member is told to join, and for any other
    /// host a join request is recorded.
    pub(crate) fn on_empty_store(&mut self, from: &HostId, member: MemberId, bootstrap: bool) {
        let now = self.now;
        if let Some(forming) = &mut self.forming {
            if bootstrap {
                forming.record_empty_store(from, member, now);
                // Check at once whether the group is complete.
                self.next_announcement = self.next_announcement.min(now);
            }
            return;
        }
        let Some(group) = &self.group else { return };
        let config = group.raft.config();
        if config.get(member).is_some() {
            let fresh = bootstrap && group.raft.snapshot_index() == 0;
            let answer =
                if fresh { PeerMessage::FormGroup(config.clone()) } else { PeerMessage::JoinGroup };
            self.send(from, answer);
        } else {
            self.join_requests.record(from, member, now);
        }
    }

    /// Handles a host that has the log but hears no leader. If it is not a member, a join request
    /// is recorded for it.
    pub(crate) fn on_seek_leader(&mut self, from: &HostId, member: MemberId) {
        let now = self.now;
        let unknown = self.group.as_ref().is_some_and(|g| g.raft.config().get(member).is_none());
        if unknown {
            self.join_requests.record(from, member, now);
        }
    }

    pub(crate) fn on_form_group(&mut self, config: Config) {
        if self.forming.is_some() && config.get(self.member).is_some() {
            log::info!(members = config.members().len(); "group formed");
            self.form_group(config);
        }
    }
}
