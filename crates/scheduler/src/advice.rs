//! Selection of the workers that the advice service is asked about.
//!
//! Calls are kept few and small, because the service may be busy all day. The number of workers in
//! a call follows from their free capacity, for gangs from the capacity that the gang needs. A step
//! is never asked about the same worker twice, except to renew its ticket.

use crate::leader::Leader;
use dispatch::AdviceCall;
use jobs::{LifeId, State, StepRef};
use placement::steps::WorkerRoom;
use std::cmp::Reverse;
use std::time::Duration;
use types::Timestamp;

/// How many workers to ask about while callers of the service are idle: enough to hold this
/// multiple of the waiting tasks, and at least this many workers. A wide choice is then worth a
/// longer call.
const WIDE_SEARCH: (f64, usize) = (6.0, 48);
/// Multiple of the waiting tasks and minimum of workers while calls queue up.
const NARROW_SEARCH: (f64, usize) = (2.0, 8);
/// If the fixed part of a call takes longer than this, a gang's call covers the capacity that the
/// gang needs instead of the capacity that is free.
const LONG_CALL_OVERHEAD: Duration = Duration::from_millis(60);
/// Share of a worker's capacity that a gang can get by pausing other runs and waiting briefly.
const GANG_CAPACITY_SHARE: f64 = 0.5;
/// A gang's call covers enough workers to hold this multiple of its tasks. 1.6, 2.5 and 8 served
/// callers less well than 4 on the emulator's heavy days.
const GANG_OVERSUBSCRIPTION: f64 = 4.0;
/// Minimum number of workers in a call for a gang.
const MIN_GANG_WORKERS: usize = 8;

impl Leader {
    /// Begins a call about workers that can hold a task of the step and were not asked about yet:
    /// about as many as needed, those with the most free capacity first.
    pub(crate) fn next_advice_call(
        &mut self,
        state: &State,
        step: StepRef,
        rooms: &[WorkerRoom<'_>],
        now: Timestamp,
    ) -> Option<AdviceCall> {
        let advice = state.policy(state.job(step.job)?.queue).advice?;
        let pending = self.advice.step(step).is_some_and(|known| known.is_pending());
        if pending || !self.advice.has_caller(&advice, now) {
            return None;
        }
        let unknown = self.unasked_workers(state, step, rooms)?;
        let count = self.workers_to_ask(state, step, rooms, &unknown, now)?;
        let lives = unknown.iter().take(count).map(|room| room.life).collect();
        self.begin_advice_call(state, step, lives, now)
    }

    /// Workers that can hold a task of the step and were not asked about yet, those with the most
    /// free capacity first.
    fn unasked_workers<'r, 'a>(
        &self,
        state: &State,
        step: StepRef,
        rooms: &'r [WorkerRoom<'a>],
    ) -> Option<Vec<&'r WorkerRoom<'a>>> {
        let spec = state.spec(step)?;
        let service = &state.policy(state.job(step.job)?.queue).service;
        let known = self.advice.step(step);
        let need = spec.charge();
        let fits = |room: &&WorkerRoom<'_>| {
            let label = spec.required_label.as_ref();
            room.info.service == *service
                && label.is_none_or(|label| room.info.labels.contains(label))
                && need.fits_in(&room.info.capacity)
                && !known.is_some_and(|known| known.knows(room.life))
        };
        let by_room = |room: &'r WorkerRoom<'a>| (need.count_in(&room.free), room.free.cpu, room);
        let mut unknown: Vec<_> = rooms.iter().filter(fits).map(by_room).collect();
        unknown.sort_unstable_by_key(|(count, cpu, room)| Reverse((*count, *cpu, room.life)));
        Some(unknown.into_iter().map(|(.., room)| room).collect())
    }

    /// How many of these workers to ask about; `None` if enough are known already.
    fn workers_to_ask(
        &self,
        state: &State,
        step: StepRef,
        rooms: &[WorkerRoom<'_>],
        unknown: &[&WorkerRoom<'_>],
        now: Timestamp,
    ) -> Option<usize> {
        let (spec, job) = (state.spec(step)?, state.job(step.job)?);
        let advice = state.policy(job.queue).advice?;
        let need = spec.charge();
        let waiting = job.step(step)?.waiting().count() as f64;
        let good_share = self.advice.good_share(job.queue);
        if !spec.gang || advice.per_call <= LONG_CALL_OVERHEAD {
            let quiet = self.advice.is_quiet(&advice, now);
            let (factor, min_workers) = if quiet { WIDE_SEARCH } else { NARROW_SEARCH };
            let most = spec.max_per_worker.max(1) * 8;
            let slots = |room: &WorkerRoom<'_>| f64::from(need.count_in(&room.free).min(most));
            return Some(
                workers_for_slots(unknown, waiting * factor / good_share, slots).max(min_workers),
            );
        }
        let slots = |room: &WorkerRoom<'_>| {
            let share = f64::from(need.count_in(&room.info.capacity)) * GANG_CAPACITY_SHARE;
            share.max(f64::from(need.count_in(&room.free)))
        };
        let known = self.advice.step(step);
        let good = |room: &&WorkerRoom<'_>| known.is_some_and(|k| k.ticket(room.life).is_some());
        let have: f64 = rooms.iter().filter(good).map(slots).sum();
        let wanted = (waiting * GANG_OVERSUBSCRIPTION - have) / good_share;
        (wanted > 0.0).then(|| workers_for_slots(unknown, wanted, slots).max(MIN_GANG_WORKERS))
    }

    /// Begins a call about these workers; `None` if no host can make it now.
    pub(crate) fn begin_advice_call(
        &mut self,
        state: &State,
        step: StepRef,
        lives: Vec<LifeId>,
        now: Timestamp,
    ) -> Option<AdviceCall> {
        let queue = state.job(step.job)?.queue;
        let policy = state.policy(queue).advice?;
        self.advice.ask(step, queue, lives, &policy, now)
    }
}

/// How many of the workers, in this order, have the wanted slots together; all if there are too
/// few.
fn workers_for_slots<F>(rooms: &[&WorkerRoom<'_>], wanted: f64, slots: F) -> usize
where
    F: Fn(&WorkerRoom<'_>) -> f64,
{
    let mut sum = 0.0;
    let enough = rooms.iter().position(|room| {
        sum += slots(room);
        sum >= wanted
    });
    enough.map_or(rooms.len(), |i| i + 1)
}
