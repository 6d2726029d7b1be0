//! Decides which connections may be open and how much memory each may hold.
//!
//! All connections of a process share one budget of bytes, for requests and answers. A part of it is
//! kept for small requests. When the budget is used up, the connection that has held most for
//! longest without progress is closed, and if none has stood still, the new bytes are refused. A
//! request that was received completely is never given up.

use std::time::Duration;
use types::SortedMap;

/// Id of a connection, unique within a process.
pub type ConnectionId = u64;
/// Index of an address that the process listens on.
pub type AddressIndex = usize;

/// Requests that hold at most this many bytes may use the whole budget.
pub const SMALL_REQUEST_BYTES: usize = 16 << 10;
/// A connection counts as standing still after this time without progress.
pub const STALL_GRACE: Duration = Duration::from_secs(1);
/// Bytes that must arrive before a connection counts as making progress.
const PROGRESS_BYTES: usize = 4 << 10;
/// Part of the budget that large requests may use, as a fraction.
const LARGE_SHARE: (usize, usize) = (3, 4);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Waits for a request.
    Idle,
    /// A request is being received.
    Receiving,
    /// A request was received completely and is being handled.
    Handling,
    /// The answer is being sent.
    Answering,
    /// A request was refused; what the client still sends is discarded.
    Closing,
}

/// Answer to [`Ledger::open`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    /// The connection is open.
    Opened(ConnectionId),
    /// The connection is open, and the second one must be closed for it.
    Instead(ConnectionId, ConnectionId),
    /// The address has no place, and no connection that could be closed.
    Full,
}

/// Answer to [`Ledger::take`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// The bytes count as held.
    Granted,
    /// Memory is about to be given back. Ask again.
    Wait,
    /// This connection must be closed. Ask again when it is.
    Evict(ConnectionId),
    /// There is no memory.
    Refused,
}

#[derive(Clone, Debug)]
struct Entry {
    address: AddressIndex,
    stage: Stage,
    held: usize,
    /// When the connection last made progress.
    since: Duration,
    /// Bytes since then.
    unmarked: usize,
    /// Whether the connection is being closed in favour of another.
    evicted: bool,
}

/// Connections and memory of a process. Times are those of any steady clock.
///
/// ```
/// use connections::{Grant, Ledger, Opening};
/// use std::time::Duration;
///
/// let mut ledger = Ledger::new(100_000);
/// let address = ledger.add_address(10);
/// let Opening::Opened(id) = ledger.open(address, Duration::ZERO) else { panic!() };
/// assert_eq!(ledger.take(id, 60_000, Duration::ZERO), Grant::Granted);
/// assert_eq!(ledger.take(id, 60_000, Duration::ZERO), Grant::Refused);
/// ```
#[derive(Clone, Debug)]
pub struct Ledger {
    /// Bytes that all connections may hold together.
    budget: usize,
    used: usize,
    /// Bytes held by connections that are being closed in favour of others.
    evicted: usize,
    next_id: ConnectionId,
    connections: SortedMap<ConnectionId, Entry>,
    addresses: Vec<Address>,
}

#[derive(Clone, Debug)]
struct Address {
    limit: usize,
    /// Open connections, without those that are being closed in favour of others.
    open: usize,
}

impl Ledger {
    /// Creates a ledger without addresses.
    pub fn new(budget: usize) -> Ledger {
        Ledger {
            budget,
            used: 0,
            evicted: 0,
            next_id: 0,
            connections: SortedMap::default(),
            addresses: Vec::new(),
        }
    }

    /// Adds an address with at most this many connections.
    pub fn add_address(&mut self, limit: usize) -> AddressIndex {
        self.addresses.push(Address { limit, open: 0 });
        self.addresses.len() - 1
    }

    /// Bytes that all connections hold together.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Number of open connections, on all addresses.
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Opens a connection.
    pub fn open(&mut self, address: AddressIndex, now: Duration) -> Opening {
        let victim = if self.addresses[address].open < self.addresses[address].limit {
            None
        } else {
            match self.least_needed(address, now) {
                Some(victim) => Some(victim),
                None => return Opening::Full,
            }
        };
        self.next_id += 1;
        let id = self.next_id;
        let entry =
            Entry { address, stage: Stage::Idle, held: 0, since: now, unmarked: 0, evicted: false };
        self.connections.insert(id, entry);
        self.addresses[address].open += 1;
        match victim {
            Some(victim) => {
                self.evict(victim);
                Opening::Instead(id, victim)
            }
            None => Opening::Opened(id),
        }
    }

    /// Closes a connection and gives back what it holds.
    pub fn close(&mut self, id: ConnectionId) {
        let Some(entry) = self.connections.remove(&id) else { return };
        self.used -= entry.held;
        if entry.evicted {
            self.evicted -= entry.held;
        } else {
            self.addresses[entry.address].open -= 1;
        }
    }

    /// Records what a connection is doing now.
    pub fn set_stage(&mut self, id: ConnectionId, stage: Stage, now: Duration) {
        if let Some(entry) = self.connections.get_mut(&id) {
            entry.stage = stage;
            entry.since = now;
            entry.unmarked = 0;
        }
    }

    /// Records that bytes have arrived or were taken by the client.
    pub fn progress(&mut self, id: ConnectionId, bytes: usize, now: Duration) {
        if let Some(entry) = self.connections.get_mut(&id) {
            entry.unmarked += bytes;
            if entry.unmarked >= PROGRESS_BYTES {
                entry.since = now;
                entry.unmarked = 0;
            }
        }
    }

    /// Whether a connection was closed in favour of another.
    pub fn is_evicted(&self, id: ConnectionId) -> bool {
        self.connections.get(&id).is_some_and(|entry| entry.evicted)
    }

    /// Whether one connection could hold this many bytes if the others held none.
    pub fn could_hold(&self, bytes: usize) -> bool {
        bytes <= limit(self.budget, bytes)
    }

    /// Asks for memory of a connection.
    pub fn take(&mut self, id: ConnectionId, bytes: usize, now: Duration) -> Grant {
        let Some(entry) = self.connections.get_mut(&id) else { return Grant::Refused };
        if entry.evicted {
            return Grant::Refused;
        }
        let limit = limit(self.budget, entry.held + bytes);
        if self.used + bytes <= limit {
            entry.held += bytes;
            self.used += bytes;
            return Grant::Granted;
        }
        if self.used - self.evicted + bytes <= limit {
            return Grant::Wait;
        }
        match self.largest_stalled(id, now) {
            Some(victim) => {
                self.evict(victim);
                Grant::Evict(victim)
            }
            None => Grant::Refused,
        }
    }

    /// Takes memory for what can't be refused, such as an answer that is ready.
    pub fn force(&mut self, id: ConnectionId, bytes: usize) {
        if let Some(entry) = self.connections.get_mut(&id) {
            entry.held += bytes;
            self.used += bytes;
            self.evicted += if entry.evicted { bytes } else { 0 };
        }
    }

    /// Gives back memory of a connection.
    pub fn give_back(&mut self, id: ConnectionId, bytes: usize) {
        if let Some(entry) = self.connections.get_mut(&id) {
            let bytes = bytes.min(entry.held);
            entry.held -= bytes;
            self.used -= bytes;
            self.evicted -= if entry.evicted { bytes } else { 0 };
        }
    }

    fn evict(&mut self, id: ConnectionId) {
        if let Some(entry) = self.connections.get_mut(&id) {
            entry.evicted = true;
            self.evicted += entry.held;
            self.addresses[entry.address].open -= 1;
        }
    }

    /// Returns the connection that has held most for longest without progress, other than `asker`.
    fn largest_stalled(&self, asker: ConnectionId, now: Duration) -> Option<ConnectionId> {
        let weight =
            |entry: &Entry| entry.held as u128 * now.saturating_sub(entry.since).as_millis();
        self.connections
            .iter()
            .filter(|(id, entry)| **id != asker && entry.held > 0 && entry.may_be_closed(now))
            .max_by_key(|(_, entry)| weight(entry))
            .map(|(id, _)| *id)
    }

    /// Returns the connection of an address that is needed least: one whose request was refused, or
    /// else the one that has waited longest for a request, or else has stood still longest.
    fn least_needed(&self, address: AddressIndex, now: Duration) -> Option<ConnectionId> {
        let rank = |entry: &Entry| match entry.stage {
            Stage::Closing => 0,
            Stage::Idle => 1,
            _ => 2,
        };
        self.connections
            .iter()
            .filter(|(_, entry)| entry.address == address)
            .filter(|(_, entry)| !entry.evicted && (rank(entry) < 2 || entry.may_be_closed(now)))
            .min_by_key(|(_, entry)| (rank(entry), entry.since))
            .map(|(id, _)| *id)
    }
}

/// Bytes that all connections together may hold so that one of them may hold `held`.
fn limit(budget: usize, held: usize) -> usize {
    let (part, whole) = if held <= SMALL_REQUEST_BYTES { (1, 1) } else { LARGE_SHARE };
    budget / whole * part
}

impl Entry {
    /// Whether the connection has stood still and no request is lost with it.
    fn may_be_closed(&self, now: Duration) -> bool {
        let is_stalled = now.saturating_sub(self.since) >= STALL_GRACE;
        !self.evicted
            && match self.stage {
                Stage::Closing => true,
                Stage::Idle | Stage::Receiving => is_stalled,
                Stage::Handling | Stage::Answering => false,
            }
    }
}
