//! Selection of the workers that the advice service is asked about.
//!
//! Calls are kept few and small, because the service may be busy all day. The number of workers in
//! a call follows from their free capacity, for gangs from the capacity that the gang needs. A step
//! is never asked about the same worker twice, except to renew its ticket.

use crate::leader::Leader;
use dispatch::{AdviceCall, CallPriority, MAX_WORKERS_PER_CALL};
use jobs::{AdvicePolicy, LifeId, ResourceVector, State, StepRef};
use placement::steps::{Urgency, WorkerCapacity, WORTHLESS_AFTER_OBJECTIVES};
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
/// Share of a worker's capacity that tasks get while its runs end, where calls queue up.
const TURNOVER_SHARE: f64 = 0.3;
/// Where calls queue up, a call for new tickets names further workers up to this share of the time
/// that it takes at least.
const EXTRA_RENEWAL_SHARE: f64 = 0.25;
/// Tickets renewed together, as a multiple of the waiting tasks.
const RENEWALS_PER_TASK: usize = 2;

impl Leader {
    /// Begins a call about workers that can hold a task of the step and were not asked about yet:
    /// about as many as needed, those with the most free capacity first.
    pub(crate) fn next_advice_call(
        &mut self,
        state: &State,
        step: StepRef,
        workers: &[WorkerCapacity<'_>],
        now: Timestamp,
    ) -> Option<AdviceCall> {
        let advice = state.policy(state.job(step.job)?.queue).advice?;
        let known = self.advice.step(step);
        let pending = known.is_some_and(|known| known.is_pending());
        let more = known.is_some_and(|known| known.any_asked());
        let priority = if more { CallPriority::Spare } else { self.call_priority(step, now) };
        if pending || !self.advice.has_caller(&advice, priority, now) {
            return None;
        }
        let wanted = self.wanted_slots(state, step, workers, now)?;
        let unknown = self.unasked_workers(state, step, workers)?;
        let count = workers_for_slots(&unknown, &wanted);
        let lives = unknown.iter().take(count).map(|worker| worker.life).collect();
        self.begin_advice_call(state, step, lives, priority, now)
    }

    /// Begins a call for new tickets of the chosen workers. Where calls queue up, it covers further
    /// workers that may run the step, so that the tasks behind don't need a call each.
    pub(crate) fn next_renewal(
        &mut self,
        state: &State,
        step: StepRef,
        chosen: Vec<LifeId>,
        workers: &[WorkerCapacity<'_>],
        now: Timestamp,
    ) -> Option<AdviceCall> {
        let advice = state.policy(state.job(step.job)?.queue).advice?;
        let spec = state.spec(step)?;
        let mut lives = chosen;
        if !spec.gang && !self.advice.has_idle_caller(&advice, now) {
            let waiting = state.job(step.job)?.step(step)?.tasks.waiting_count() as usize;
            let tasks = waiting * RENEWALS_PER_TASK;
            let count = tasks.saturating_sub(lives.len()).min(extra_renewals(&advice));
            let aged = self.aged_tickets(step, &spec.charge(), workers, &advice, now);
            let further = aged.into_iter().filter(|life| !lives.contains(life)).take(count);
            lives.extend(further.collect::<Vec<_>>());
        }
        let priority = self.call_priority(step, now);
        self.begin_advice_call(state, step, lives, priority, now)
    }

    /// Workers that may run the step and whose tickets have aged, those with the most free capacity
    /// first.
    fn aged_tickets(
        &self,
        step: StepRef,
        need: &ResourceVector,
        workers: &[WorkerCapacity<'_>],
        advice: &AdvicePolicy,
        now: Timestamp,
    ) -> Vec<LifeId> {
        let Some(known) = self.advice.step(step) else { return Vec::new() };
        let eligible = known.eligible(advice.ticket_life);
        let aged = eligible.filter(|(_, until)| *until <= now + advice.per_call);
        let by_free_capacity = aged.filter_map(|(life, _)| {
            let i = workers.binary_search_by_key(&life, |worker| worker.life).ok()?;
            let free = &workers[i].free;
            Some(Reverse((need.count_in(free), free.cpu, life)))
        });
        let mut found: Vec<_> = by_free_capacity.collect();
        found.sort_unstable();
        found.into_iter().map(|Reverse((.., life))| life).collect()
    }

    /// Priority of a call that a step needs to start.
    fn call_priority(&self, step: StepRef, now: Timestamp) -> CallPriority {
        match self.ready.get(&step) {
            Some(urgency) if is_worthless(urgency, now) => CallPriority::Spare,
            _ => CallPriority::Needed,
        }
    }

    /// Workers that can hold a task of the step and were not asked about yet, those with the most
    /// free capacity first, and at most as many as one call may name.
    fn unasked_workers<'r, 'a>(
        &self,
        state: &State,
        step: StepRef,
        workers: &'r [WorkerCapacity<'a>],
    ) -> Option<Vec<&'r WorkerCapacity<'a>>> {
        let spec = state.spec(step)?;
        let service = &state.policy(state.job(step.job)?.queue).service;
        let known = self.advice.step(step);
        let need = spec.charge();
        let fits = |worker: &&WorkerCapacity<'_>| {
            let label = spec.required_label.as_ref();
            worker.info.service == *service
                && label.is_none_or(|label| worker.info.labels.contains(label))
                && need.fits_in(&worker.info.capacity)
                && !known.is_some_and(|known| known.was_asked(worker.life))
        };
        let by_free_capacity =
            |worker: &'r WorkerCapacity<'a>| (need.count_in(&worker.free), worker.free.cpu, worker);
        let mut unknown: Vec<_> = workers.iter().filter(fits).map(by_free_capacity).collect();
        let rank = |(count, cpu, worker): &(u32, u64, &WorkerCapacity<'_>)| {
            Reverse((*count, *cpu, worker.life))
        };
        // Few of hundreds of workers are named in a call, so only those are sorted.
        if unknown.len() > MAX_WORKERS_PER_CALL {
            unknown.select_nth_unstable_by_key(MAX_WORKERS_PER_CALL, rank);
            unknown.truncate(MAX_WORKERS_PER_CALL);
        }
        unknown.sort_unstable_by_key(rank);
        Some(unknown.into_iter().map(|(.., worker)| worker).collect())
    }

    /// What the workers in the next call should be able to hold; `None` if enough are known already.
    fn wanted_slots(
        &self,
        state: &State,
        step: StepRef,
        workers: &[WorkerCapacity<'_>],
        now: Timestamp,
    ) -> Option<WantedSlots> {
        let (spec, job) = (state.spec(step)?, state.job(step.job)?);
        let advice = state.policy(job.queue).advice?;
        let need = spec.charge();
        let waiting = f64::from(job.step(step)?.tasks.waiting_count());
        let eligible_share = self.advice.eligible_share(job.queue);
        if !spec.gang || advice.per_call <= LONG_CALL_OVERHEAD {
            let quiet = self.advice.has_idle_caller(&advice, now);
            let (factor, min_workers) = if quiet { WIDE_SEARCH } else { NARROW_SEARCH };
            let max_per_worker = spec.max_per_worker.max(1) * 8;
            let slots = waiting * factor / eligible_share;
            let share = if quiet {
                SlotShare::Free { max_per_worker }
            } else {
                SlotShare::Turnover { max_per_worker }
            };
            return Some(WantedSlots { need, slots, min_workers, share });
        }
        let share = SlotShare::Gang;
        let known = self.advice.step(step);
        let eligible =
            |worker: &&WorkerCapacity<'_>| known.is_some_and(|k| k.ticket(worker.life).is_some());
        let have: f64 = workers.iter().filter(eligible).map(|w| share.slots(&need, w)).sum();
        let slots = (waiting * GANG_OVERSUBSCRIPTION - have) / eligible_share;
        (slots > 0.0).then_some(WantedSlots { need, slots, min_workers: MIN_GANG_WORKERS, share })
    }

    /// Begins a call about these workers; `None` if no host can make it now.
    pub(crate) fn begin_advice_call(
        &mut self,
        state: &State,
        step: StepRef,
        lives: Vec<LifeId>,
        priority: CallPriority,
        now: Timestamp,
    ) -> Option<AdviceCall> {
        let queue = state.job(step.job)?.queue;
        let policy = state.policy(queue).advice?;
        self.advice.ask(step, queue, lives, &policy, priority, now)
    }
}

/// Slots for tasks that the workers in a call should have together.
struct WantedSlots {
    /// Resources that one task needs.
    need: ResourceVector,
    slots: f64,
    min_workers: usize,
    share: SlotShare,
}

/// Which part of a worker's capacity counts.
enum SlotShare {
    /// What is free, for at most this many tasks.
    Free { max_per_worker: u32 },
    /// What runs that end soon leave, or what is free if that is more, for at most this many tasks.
    Turnover { max_per_worker: u32 },
    /// What a gang can get by pausing other runs, or what is free if that is more.
    Gang,
}

impl SlotShare {
    /// How many tasks count as fitting on a worker.
    fn slots(&self, need: &ResourceVector, worker: &WorkerCapacity<'_>) -> f64 {
        let free = need.count_in(&worker.free);
        match self {
            SlotShare::Free { max_per_worker } => f64::from(free.min(*max_per_worker)),
            SlotShare::Turnover { max_per_worker } => {
                let all = f64::from(need.count_in(&worker.info.capacity));
                (all * TURNOVER_SHARE).max(f64::from(free)).min(f64::from(*max_per_worker))
            }
            SlotShare::Gang => {
                let all = f64::from(need.count_in(&worker.info.capacity));
                (all * GANG_CAPACITY_SHARE).max(f64::from(free))
            }
        }
    }
}

/// How many of the workers, in this order, have the wanted slots together; all if there are too
/// few.
fn workers_for_slots(workers: &[&WorkerCapacity<'_>], wanted: &WantedSlots) -> usize {
    let mut sum = 0.0;
    let enough = workers.iter().position(|worker| {
        sum += wanted.share.slots(&wanted.need, worker);
        sum >= wanted.slots
    });
    enough.map_or(workers.len(), |i| i + 1).max(wanted.min_workers)
}

/// How many workers a call for new tickets may name besides those that are chosen.
fn extra_renewals(advice: &AdvicePolicy) -> usize {
    let time = advice.per_call.mul_f64(EXTRA_RENEWAL_SHARE).as_micros();
    let extra = time / advice.per_worker.as_micros().max(1);
    usize::try_from(extra).unwrap_or(usize::MAX).min(MAX_WORKERS_PER_CALL)
}

/// Whether the job would no longer have any value if it started now.
fn is_worthless(urgency: &Urgency, now: Timestamp) -> bool {
    now + urgency.left > urgency.submitted + urgency.objective * WORTHLESS_AFTER_OBJECTIVES
}
