//! Orders to workers and the answers to them.

use jobs::{End, RunNumber, TaskRef};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of an order, unique within one process.
pub type OrderId = u64;

/// An order to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Start a task.
    Start {
        /// Task to start.
        task: TaskRef,
        /// Number of the run.
        run: RunNumber,
        /// End of the lease, in milliseconds on the worker's clock.
        lease_until: u64,
    },
    /// Stop a run, or prevent it from starting if it has not started yet.
    Stop {
        /// Task whose run is to stop.
        task: TaskRef,
        /// Number of the run.
        run: RunNumber,
    },
    /// Renew the lease of all runs, and list the runs and the ends that are not acknowledged.
    Hold {
        /// End of the lease, in milliseconds on the worker's clock; `None` while its clock is not
        /// known.
        lease_until: Option<u64>,
        /// Acknowledges ends up to this number, so that the worker may discard them.
        last_seen: u64,
        /// How long the worker may delay the answer while waiting for a run to end.
        wait: Duration,
    },
}

/// A run as listed by its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedRun {
    /// Task that the run executes.
    pub task: TaskRef,
    /// Number of the run.
    pub run: RunNumber,
    /// Progress in percent.
    pub percent: u32,
}

/// The runs of a worker, as listed in its answer to [`Order::Hold`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunListing {
    /// Runs that are running.
    pub running: Vec<ListedRun>,
    /// Ends that have not been acknowledged, the earliest first.
    pub ended: Vec<End>,
    /// Whether there are no other such ends. A worker lists only so many at a time.
    pub complete: bool,
}

/// Why a worker refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The worker has seen a higher fence.
    Fence,
    /// This run, or a later run of the task, has ended or was stopped there.
    StaleRun,
    /// The lease in the order has expired.
    LeaseExpired,
    /// The worker does not have enough free resources.
    NoCapacity,
    /// The ticket is not valid.
    Ticket,
    /// The worker is unhealthy and did not carry out the order.
    Unhealthy,
    /// The order reached another life of the worker.
    OtherLife,
    /// The worker could not interpret the order.
    Invalid,
    /// Another worker answers at the address.
    OtherWorker,
}

/// The answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// The order was carried out.
    Done {
        /// The worker's clock, in milliseconds; `None` if the answer does not include it.
        clock: Option<u64>,
        /// The runs of the worker, in the answer to [`Order::Hold`].
        listing: Option<RunListing>,
    },
    /// The order was not carried out.
    Refused {
        /// Reason of the refusal.
        why: RefusalReason,
        /// The worker's clock, in milliseconds; `None` if the answer does not include it.
        clock: Option<u64>,
    },
    /// No answer arrived. The order may have been carried out, or may still be.
    Silence,
    /// The worker's host refused the connection: no process listens there, and the order was not
    /// received.
    Absent,
    /// No answer arrived on a connection that had been open for this long by then. The process that
    /// had accepted the connection may have carried out the order, or may still.
    Unanswered {
        /// Time since the connection was opened, or [`OrderAnswer::ONLY_THIS_LIFE`].
        connected_for: Duration,
    },
    /// The connection could not be opened in time; the order was not received.
    NotSent,
}

impl OrderAnswer {
    /// Age of a connection over which the life that the order is for has listed its runs. No other
    /// life can have received the order. Hosts that don't know this value take the connection for
    /// an old one, with the same consequence.
    pub const ONLY_THIS_LIFE: Duration = Duration::MAX;

    /// Whether the worker has answered. Otherwise it may still have carried out the order.
    ///
    /// ```
    /// assert!(!dispatch::OrderAnswer::Silence.is_answered());
    /// ```
    pub fn is_answered(&self) -> bool {
        matches!(self, OrderAnswer::Done { .. } | OrderAnswer::Refused { .. })
    }

    /// The worker's clock in the answer, in milliseconds; `None` if the answer does not include it.
    ///
    /// ```
    /// let answer = dispatch::OrderAnswer::Done { clock: Some(5), listing: None };
    /// assert_eq!(answer.clock(), Some(5));
    /// ```
    pub fn clock(&self) -> Option<u64> {
        match self {
            OrderAnswer::Done { clock, .. } | OrderAnswer::Refused { clock, .. } => *clock,
            OrderAnswer::Silence
            | OrderAnswer::Unanswered { .. }
            | OrderAnswer::Absent
            | OrderAnswer::NotSent => None,
        }
    }
}
