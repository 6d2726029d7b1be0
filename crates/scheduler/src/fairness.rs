//! How full the cell is, and how the accounts stand in it, as the leader sees it.

use accounts::{Shares, Standing, Usage};
use jobs::{ResourceVector, State, StepRef};
use placement::steps::{Urgency, WorkerCapacity};
use std::time::Duration;
use types::{JobId, SortedMap, Timestamp};

/// The picture is renewed after this time. What an account gets beyond its share before that comes
/// back as its runs end.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// The leader's picture of the cell, by account. It stays empty while no accounts are configured.
#[derive(Debug, Default)]
pub(crate) struct Fairness {
    pub(crate) shares: Shares,
    active: bool,
    next_refresh: Timestamp,
}

impl Fairness {
    pub(crate) fn new(now: Timestamp) -> Fairness {
        Fairness { next_refresh: now, ..Fairness::default() }
    }

    /// Whether accounts are configured.
    pub(crate) fn is_active(&self) -> bool {
        self.active
    }

    /// Renews the picture if it is old enough.
    pub(crate) fn refresh(
        &mut self,
        state: &State,
        ready: &SortedMap<StepRef, Urgency>,
        workers: &[WorkerCapacity<'_>],
        now: Timestamp,
    ) {
        let accounts = &state.configuration().accounts;
        self.active = !accounts.is_empty();
        if !self.active || now < self.next_refresh {
            return;
        }
        self.next_refresh = now + REFRESH_INTERVAL;
        let capacities = workers.iter().map(|worker| worker.info.capacity);
        let cell = capacities.fold(ResourceVector::default(), |sum, each| sum.plus(&each));
        let waiting = ready.keys().filter_map(|step| state.job(step.job)?.account.as_deref());
        self.shares = Shares::new(accounts, &usage(state), waiting, &cell);
    }

    /// How a job's account stands beside others.
    pub(crate) fn standing(&self, state: &State, job: JobId) -> Standing {
        if !self.active {
            return Standing::default();
        }
        let Some(job) = state.job(job) else { return Standing::default() };
        Standing { over_rate: job.over_rate, ..self.shares.standing(job.account.as_deref()) }
    }
}

/// What the runs of each account use.
fn usage(state: &State) -> Usage {
    let mut usage = Usage::default();
    for run in state.lives().flat_map(|life| &life.runs) {
        let job = state.job(run.task.step.job);
        if let Some(account) = job.and_then(|job| job.account.as_ref()) {
            usage.take(account, &run.need);
        }
    }
    usage
}
