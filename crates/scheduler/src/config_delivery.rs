//! Sends the configuration in force to hosts that are no members of the group, and puts what arrives
//! into force.

use crate::config_changes::{ConfigurationPart, Received};
use crate::io::Output;
use crate::message::PeerMessage;
use crate::node::Node;
use jobs::Configuration;
use std::sync::Arc;
use std::time::Duration;
use types::HostId;

/// Parts of a configuration count as lost this long after they should have arrived.
const PART_LOST_AFTER: Duration = Duration::from_millis(700);
/// Rate at which parts of a configuration arrive at a host with the slowest supported link, half
/// of which is left to them.
const MIN_LINK_BYTES_PER_SECOND: f64 = 125_000.0;

impl Node {
    /// Puts a configuration into force on this host, unless it is older than the current one.
    pub(crate) fn apply_configuration(&mut self, configuration: Arc<Configuration>) {
        if configuration.version <= self.configuration.version {
            return;
        }
        log::info!(version = configuration.version, queues = configuration.queues.len();
            "configuration in force");
        self.ask_for_whole_configuration = false;
        self.configuration = configuration;
        self.out.push(Output::Configured(self.configuration.clone()));
    }

    /// Sends the leader's configuration to all hosts known to have an older one.
    pub(crate) fn offer_configuration_to_all(&mut self) {
        let hosts: Vec<HostId> = self.peers.by_host.keys().cloned().collect();
        for host in hosts {
            self.offer_configuration(&host);
        }
    }

    /// Sends a host what it lacks of the leader's configuration, unless an earlier version is still
    /// on its way there: the rest follows once the host reports that one. Members of the group get
    /// configurations through the log.
    pub(crate) fn offer_configuration(&mut self, to: &HostId) {
        let now = self.now;
        let Some(group) = self.group.as_ref().filter(|group| group.leads()) else { return };
        let configuration = group.state.configuration();
        let is_member = group.raft.config().members().iter().any(|member| member.host == *to);
        let Some(peer) = self.peers.by_host.get_mut(to).filter(|_| !is_member) else { return };
        let on_its_way = peer.sending_until.is_some_and(|until| now < until);
        if on_its_way || peer.version >= configuration.version {
            return;
        }
        let parts = self.config_changes.parts(configuration, peer.version);
        let bytes: usize = parts.iter().map(ConfigurationPart::approx_size).sum();
        let transfer = Duration::from_secs_f64(bytes as f64 / MIN_LINK_BYTES_PER_SECOND);
        peer.sending_until = Some(now + PART_LOST_AFTER + transfer);
        for part in parts {
            self.send(to, PeerMessage::Configuration(Box::new(part)));
        }
    }

    /// Collects a part of a newer configuration, and puts the configuration into force with the
    /// last one.
    pub(crate) fn on_configuration_part(&mut self, part: ConfigurationPart) {
        let version = part.version;
        match self.incoming_configuration.receive(part, &self.configuration) {
            Received::Incomplete => {}
            Received::Complete(configuration) => {
                self.apply_configuration(Arc::new(*configuration));
                // Tells the leader at once, which may have a newer one.
                self.peers.next_heartbeat = self.now;
            }
            Received::Mismatch => {
                log::error!(version = version, base = self.configuration.version;
                    "configuration does not result from the parts received, asking for all of it");
                self.ask_for_whole_configuration = true;
                self.peers.next_heartbeat = self.now;
            }
        }
    }
}
