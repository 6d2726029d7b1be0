//! Orders to workers and their answers.

use jobs::{End, RunNumber, TaskRef};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Numbers the orders of one process.
pub type OrderId = u64;

/// An order to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Start a task.
    Start {
        /// The task.
        task: TaskRef,
        /// Number of the run.
        run: RunNumber,
        /// The lease, as a time on the worker's clock, in milliseconds.
        lease_until: u64,
    },
    /// Stop a run, or see to it that it never starts.
    Stop {
        /// The task.
        task: TaskRef,
        /// Number of the run.
        run: RunNumber,
    },
    /// Renew the lease of all that runs, and list what runs and what has ended.
    Hold {
        /// The lease, as a time on the worker's clock, in milliseconds; none while the clock is
        /// not known.
        lease_until: Option<u64>,
        /// Ends up to this number may be forgotten.
        last_seen: u64,
        /// The answer may wait this long for an end.
        wait: Duration,
    },
}

/// A run as its worker lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedRun {
    /// The task.
    pub task: TaskRef,
    /// Number of the run.
    pub run: RunNumber,
    /// Percent of its work that is done.
    pub percent: u32,
}

/// What a worker lists.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunListing {
    /// Runs at work.
    pub running: Vec<ListedRun>,
    /// Ends that were not taken note of.
    pub ended: Vec<End>,
}

/// Why a worker did not do what it was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// It has seen a higher fence.
    Fence,
    /// This run, or a later one, has ended or was stopped there.
    StaleRun,
    /// The lease in the order is over.
    LeaseExpired,
    /// It has no room.
    NoCapacity,
    /// The ticket is not valid.
    Ticket,
    /// It is unhealthy and has done nothing.
    Unhealthy,
    /// Another life of the worker answered.
    OtherLife,
    /// It could not make sense of the order.
    Invalid,
}

/// The answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// Done; the worker's clock in milliseconds, where it said so.
    Done {
        /// The worker's clock, in milliseconds.
        clock: Option<u64>,
        /// What it lists, where the order was to look.
        listing: Option<RunListing>,
    },
    /// Not done.
    Refused {
        /// Why.
        why: RefusalReason,
        /// The worker's clock, in milliseconds.
        clock: Option<u64>,
    },
    /// No answer came; the order may be carried out at any time.
    Silence,
}
