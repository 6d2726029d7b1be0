//! Steps that wait for room under the quotas of their accounts.
//!
//! They take no part in a placement pass, so that a full account delays nobody else: neither by the
//! number of its steps, nor by their advice calls, nor as work that lacks capacity.

use crate::job_log::hex;
use jobs::{State, StepRef};
use placement::steps::{Claim, Rooms};
use types::AccountName;

/// Steps that wait for room under a quota.
#[derive(Debug, Default)]
pub(crate) struct QuotaWaits {
    /// The steps, sorted.
    waiting: Vec<StepRef>,
    /// Steps whose wait has been logged, sorted.
    logged: Vec<StepRef>,
}

impl QuotaWaits {
    /// Determines which of these steps, which are sorted, wait. Logs each step once.
    pub(crate) fn update<'a, I>(&mut self, state: &State, ready: I, rooms: &Rooms)
    where
        I: Iterator<Item = &'a StepRef>,
    {
        let waits = |step: &&StepRef| waits_for_room(state, **step, rooms);
        self.waiting = ready.filter(waits).copied().collect();
        self.logged.retain(|step| state.job(step.job).is_some_and(|job| job.is_ready(*step)));
        let is_new = |step: &&StepRef| self.logged.binary_search(step).is_err();
        let new: Vec<StepRef> = self.waiting.iter().filter(is_new).copied().collect();
        new.iter().for_each(|step| log_wait(state, *step));
        self.logged.extend(new);
        self.logged.sort_unstable();
    }

    pub(crate) fn contains(&self, step: &StepRef) -> bool {
        self.waiting.binary_search(step).is_ok()
    }
}

/// What the accounts of these steps may still start.
pub(crate) fn rooms<'a, I>(state: &State, steps: I) -> Rooms
where
    I: Iterator<Item = &'a StepRef>,
{
    let mut rooms = Rooms::default();
    for account in steps.filter_map(|step| account_of(state, *step)) {
        if !rooms.contains(account) {
            rooms.insert(account.clone(), state.room(account));
        }
    }
    rooms
}

/// What is left once all claims have been placed.
pub(crate) fn without_claims(state: &State, rooms: &Rooms, claims: &[Claim]) -> Rooms {
    let mut left = rooms.clone();
    for claim in claims {
        let (Some(account), Some(spec)) = (account_of(state, claim.step), state.spec(claim.step))
        else {
            continue;
        };
        let tasks = claim.workers.iter().map(|(_, count)| *count).sum();
        left.take(Some(account), &spec.charge().times(tasks));
    }
    left
}

/// The account that submitted the step's job.
pub(crate) fn account_of(state: &State, step: StepRef) -> Option<&AccountName> {
    state.job(step.job)?.account.as_ref()
}

/// Whether there is room for no task of the step, or not for the whole gang.
fn waits_for_room(state: &State, step: StepRef, rooms: &Rooms) -> bool {
    let (Some(account), Some(spec)) = (account_of(state, step), state.spec(step)) else {
        return false;
    };
    let at_once = if spec.gang { spec.count } else { 1 };
    rooms.count(Some(account), &spec.charge()) < at_once
}

fn log_wait(state: &State, step: StepRef) {
    let Some(account) = account_of(state, step) else { return };
    let used = state.usage().of(account);
    log::info!(job = hex(step.job).as_str(), step = step.step, account = account.as_str(),
        cpu = used.cpu, memory = used.memory, gpu = used.gpu;
        "step waits for room under its account's quota");
}
