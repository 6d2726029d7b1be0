//! The messages that wait to be sent to one host.

use crate::message::PeerMessage;
use std::collections::VecDeque;

/// Largest number of messages that wait for one host. Further ones are dropped, which hosts
/// tolerate because a broken connection loses messages too.
const MAX_MESSAGES: usize = 4_096;
/// Number of waiting bytes for one host above which further messages are dropped.
const MAX_BYTES: usize = 4 << 20;
/// Largest number of messages in one batch.
const MAX_BATCH_MESSAGES: usize = 64;
/// Size of a batch, in bytes, from which on no message is added. On a link of 2 Mbit/s it takes a
/// quarter of a second.
const MAX_BATCH_BYTES: usize = 64 << 10;

/// Batches without a part of a configuration that are sent while parts wait.
const MAX_BATCHES_BEFORE_BULK: u32 = 4;

/// Orders messages on a link. A part of a configuration is sent in a batch of its own, while nothing
/// else waits or after a few batches of other messages.
///
/// ```
/// use scheduler::{Outbox, PeerMessage};
/// let mut outbox = Outbox::default();
/// assert!(outbox.push(PeerMessage::JoinGroup));
/// assert_eq!(outbox.next_batch(), [PeerMessage::JoinGroup]);
/// assert!(outbox.next_batch().is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Outbox {
    control: VecDeque<PeerMessage>,
    bulk: VecDeque<PeerMessage>,
    bytes: usize,
    /// Batches taken since the last one with a part of a configuration.
    batches_since_bulk: u32,
}

impl Outbox {
    /// Adds a message. Returns false if too much waits already and the message is dropped.
    pub fn push(&mut self, message: PeerMessage) -> bool {
        let count = self.control.len() + self.bulk.len();
        if count >= MAX_MESSAGES || self.bytes > MAX_BYTES {
            return false;
        }
        self.bytes += message.approx_size();
        let queue = if message.is_bulk() { &mut self.bulk } else { &mut self.control };
        queue.push_back(message);
        true
    }

    /// Whether no message waits.
    pub fn is_empty(&self) -> bool {
        self.control.is_empty() && self.bulk.is_empty()
    }

    /// Approximate size of all waiting messages, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Drops all messages.
    pub fn clear(&mut self) {
        *self = Outbox::default();
    }

    /// Takes the messages to send next, in the order in which the receiver handles them.
    pub fn next_batch(&mut self) -> Vec<PeerMessage> {
        let bulk_is_due =
            self.control.is_empty() || self.batches_since_bulk >= MAX_BATCHES_BEFORE_BULK;
        if let Some(message) = bulk_is_due.then(|| self.bulk.pop_front()).flatten() {
            self.batches_since_bulk = 0;
            self.bytes -= message.approx_size();
            return vec![message];
        }
        self.batches_since_bulk = self.batches_since_bulk.saturating_add(1);
        let mut batch = Vec::new();
        let mut size = 0;
        while batch.len() < MAX_BATCH_MESSAGES && size < MAX_BATCH_BYTES {
            let Some(message) = self.control.pop_front() else { break };
            size += message.approx_size();
            batch.push(message);
        }
        self.bytes -= size;
        batch
    }
}
