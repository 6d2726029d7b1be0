//! The open connections of a process and the memory that they hold.

use crate::ledger::{AddressIndex, ConnectionId, Grant, Ledger, Opening, Stage};
use crate::Error;
use async_std::task;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use types::SortedMap;

/// Time between two looks at whether a connection has given back its memory or its place.
const EVICTION_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Number of looks until memory counts as not given back.
const MAX_MEMORY_POLLS: u32 = 250;
/// Number of looks for a place, during which no other connection is accepted.
const MAX_PLACE_POLLS: u32 = 10;
/// Shortest time between two log lines about refusals.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Connections, memory and refusals of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stats {
    /// Open connections on all addresses.
    pub open_connections: usize,
    /// Bytes held for requests and answers.
    pub held_bytes: usize,
    /// Bytes that may be held at most.
    pub budget_bytes: usize,
    /// Number of requests and connections that were refused or ended early, by cause.
    pub refused: SortedMap<&'static str, u64>,
}

/// Ends the reading of a connection, so that its task closes it. Must not block.
pub type EndReading = Box<dyn Fn() + Send + Sync>;

struct State {
    ledger: Ledger,
    open: SortedMap<ConnectionId, EndReading>,
    refused: SortedMap<&'static str, u64>,
    /// Refusals since the last log line.
    unreported: u64,
    reported_at: Option<Duration>,
}

/// The connections of a process, shared by its servers.
pub struct Connections {
    /// Whose connections these are, for the log.
    whose: &'static str,
    state: Mutex<State>,
    budget: usize,
    start: Instant,
}

impl Connections {
    /// Creates the connections of a kind of party, named for the log, which may hold this many
    /// bytes together.
    ///
    /// ```
    /// let connections = connections::Connections::new("clients", 16 << 20);
    /// assert_eq!(connections.stats().open_connections, 0);
    /// ```
    pub fn new(whose: &'static str, budget: usize) -> Arc<Connections> {
        let state = State {
            ledger: Ledger::new(budget),
            open: SortedMap::default(),
            refused: SortedMap::default(),
            unreported: 0,
            reported_at: None,
        };
        Arc::new(Connections { whose, state: Mutex::new(state), budget, start: Instant::now() })
    }

    /// Whether one connection could hold this many bytes if the others held none.
    pub fn could_hold(&self, bytes: usize) -> bool {
        self.lock().ledger.could_hold(bytes)
    }

    /// Returns what is open, held and refused.
    pub fn stats(&self) -> Stats {
        let state = self.lock();
        Stats {
            open_connections: state.ledger.open_connections(),
            held_bytes: state.ledger.used(),
            budget_bytes: self.budget,
            refused: state.refused.clone(),
        }
    }

    /// Adds an address with at most this many connections.
    pub fn add_address(&self, limit: usize) -> AddressIndex {
        self.lock().ledger.add_address(limit)
    }

    /// Opens a connection, for which another one may be closed.
    ///
    /// # Errors
    ///
    /// [`Error::TooManyConnections`] if there is none that could be closed.
    pub async fn open(
        self: &Arc<Self>,
        address: AddressIndex,
        end_reading: EndReading,
    ) -> Result<Slot, Error> {
        let now = self.start.elapsed();
        let (id, victim) = {
            let mut state = self.lock();
            let (id, victim) = match state.ledger.open(address, now) {
                Opening::Opened(id) => (id, None),
                Opening::Instead(id, victim) => (id, Some(victim)),
                Opening::Full => return Err(Error::TooManyConnections),
            };
            state.open.insert(id, end_reading);
            (id, victim)
        };
        let slot = Slot { connections: self.clone(), id };
        if let Some(victim) = victim {
            self.evict(victim);
            for _ in 0..MAX_PLACE_POLLS {
                if !self.lock().open.contains_key(&victim) {
                    break;
                }
                task::sleep(EVICTION_POLL_INTERVAL).await;
            }
        }
        Ok(slot)
    }

    /// Ends the reading of a connection, whose task then closes it.
    fn evict(&self, victim: ConnectionId) {
        if let Some(end_reading) = self.lock().open.get(&victim) {
            end_reading();
        }
    }

    /// Counts a refusal, and logs the counts at most once a second.
    pub fn count_refusal<E>(&self, name: &'static str, cause: &E)
    where
        E: std::fmt::Display,
    {
        let now = self.start.elapsed();
        let mut state = self.lock();
        *state.refused.get_or_insert_with(name, || 0) += 1;
        state.unreported += 1;
        if state.reported_at.is_some_and(|at| now.saturating_sub(at) < REPORT_INTERVAL) {
            return;
        }
        state.reported_at = Some(now);
        let count = std::mem::take(&mut state.unreported);
        let (open, held) = (state.ledger.open_connections(), state.ledger.used());
        drop(state);
        log::warn!(whose = self.whose, count = count, cause:display = cause, open = open,
            held_bytes = held, budget_bytes = self.budget; "requests or connections refused");
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock is not poisoned")
    }
}

/// One open connection. Closes it in the ledger when dropped.
pub struct Slot {
    connections: Arc<Connections>,
    id: ConnectionId,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.connections.lock();
        state.ledger.close(self.id);
        state.open.remove(&self.id);
    }
}

impl Slot {
    /// Records what the connection is doing now.
    pub fn set_stage(&self, stage: Stage) {
        let now = self.connections.start.elapsed();
        self.connections.lock().ledger.set_stage(self.id, stage, now);
    }

    /// Records that bytes have arrived. Returns whether the connection was closed in favour of
    /// others.
    pub fn progress(&self, bytes: usize) -> bool {
        let now = self.connections.start.elapsed();
        let mut state = self.connections.lock();
        state.ledger.progress(self.id, bytes, now);
        state.ledger.is_evicted(self.id)
    }

    /// Takes memory, for which other connections may be closed.
    ///
    /// # Errors
    ///
    /// [`Error::OutOfMemory`], or [`Error::Evicted`] if the connection itself was closed.
    pub async fn take(&self, bytes: usize) -> Result<(), Error> {
        for _ in 0..MAX_MEMORY_POLLS {
            match self.try_take(bytes) {
                (Grant::Granted, _) => return Ok(()),
                (Grant::Refused, true) => return Err(Error::Evicted),
                (Grant::Refused, false) => return Err(Error::OutOfMemory),
                (Grant::Wait, _) => {}
                (Grant::Evict(victim), _) => self.connections.evict(victim),
            }
            task::sleep(EVICTION_POLL_INTERVAL).await;
        }
        Err(Error::OutOfMemory)
    }

    /// Asks for memory. Returns the answer, and whether the connection was closed in favour of
    /// others.
    fn try_take(&self, bytes: usize) -> (Grant, bool) {
        let now = self.connections.start.elapsed();
        let mut state = self.connections.lock();
        let grant = state.ledger.take(self.id, bytes, now);
        (grant, state.ledger.is_evicted(self.id))
    }

    /// Takes memory for what can't be refused.
    pub fn force(&self, bytes: usize) {
        self.connections.lock().ledger.force(self.id, bytes);
    }

    /// Gives back memory.
    pub fn give_back(&self, bytes: usize) {
        self.connections.lock().ledger.give_back(self.id, bytes);
    }

    /// Gives back all memory of the connection.
    pub fn give_back_all(&self) {
        self.give_back(usize::MAX);
    }

    /// Returns a handle by which a handler takes memory for the connection.
    pub fn charge(&self) -> Charge {
        Charge { connections: self.connections.clone(), id: self.id }
    }
}

/// Counts memory that a handler keeps for a request, such as its decoded body, against the budget
/// until the request is answered.
#[derive(Clone)]
pub struct Charge {
    connections: Arc<Connections>,
    id: ConnectionId,
}

impl Charge {
    /// Takes memory. Returns false if there is none; then the request must be refused as not run.
    #[must_use]
    pub fn take(&self, bytes: usize) -> bool {
        let now = self.connections.start.elapsed();
        let mut state = self.connections.lock();
        match state.ledger.take(self.id, bytes, now) {
            Grant::Granted => true,
            Grant::Refused => false,
            grant => {
                // The memory is about to be given back.
                state.ledger.force(self.id, bytes);
                drop(state);
                if let Grant::Evict(victim) = grant {
                    self.connections.evict(victim);
                }
                true
            }
        }
    }
}
