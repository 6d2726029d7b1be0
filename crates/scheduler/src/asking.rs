//! Which workers to ask the advice service about.
//!
//! For days on which the service is busy all the time: a step that can start with what is free is
//! asked about by that, a gang by what it needs, and never again about a worker that was asked about.

use crate::leader::Leader;
use dispatch::AdviceCall;
use jobs::{LifeId, State, StepRef};
use placement::steps::WorkerCapacity;
use std::cmp::Reverse;
use std::time::Duration;
use types::Timestamp;

/// Workers are asked about until so many times the tasks that wait should find room, and at least
/// so many: the choice is worth more than the call while callers are idle.
const ASKED_WIDELY: (f64, usize) = (6.0, 48);
/// The same while calls wait for each other.
const ASKED_NARROWLY: (f64, usize) = (2.0, 8);
/// A call whose fixed part is longer than this is made for what a gang needs, not for what is free.
const LONG_CALL: Duration = Duration::from_millis(60);
/// Share of a worker's capacity that a gang can have there by pausing others and waiting a little.
const GANG_SHARE: f64 = 0.5;
/// A gang's workers are asked about until they should hold so many times its tasks; of 1.6, 2.5, 4
/// and 8 the emulator's heavy days gave callers most with 4.
const GANG_OVER: f64 = 4.0;
/// Fewest workers in a call for a gang.
const GANG_LEAST: usize = 8;

impl Leader {
    /// Asks about workers that could hold a task of the step and were not asked about: about as
    /// many as should be enough, those with the most room first.
    pub(crate) fn ask_about_more(
        &mut self,
        state: &State,
        step: StepRef,
        rooms: &[WorkerCapacity<'_>],
        now: Timestamp,
    ) -> Option<AdviceCall> {
        let advice = state.policy(state.job(step.job)?.queue).advice?;
        let pending = self.advice.step(step).is_some_and(|known| known.is_pending());
        if pending || !self.advice.has_caller(&advice, now) {
            return None;
        }
        let unknown = self.not_asked_about(state, step, rooms)?;
        let count = self.worth_asking(state, step, rooms, &unknown, now)?;
        let lives = unknown.iter().take(count).map(|room| room.life).collect();
        self.ask(state, step, lives, now)
    }

    /// Workers that could hold a task of the step and were not asked about, most room first.
    fn not_asked_about<'r, 'a>(
        &self,
        state: &State,
        step: StepRef,
        rooms: &'r [WorkerCapacity<'a>],
    ) -> Option<Vec<&'r WorkerCapacity<'a>>> {
        let spec = state.spec(step)?;
        let service = &state.policy(state.job(step.job)?.queue).service;
        let known = self.advice.step(step);
        let need = spec.charge();
        let fits = |room: &&WorkerCapacity<'_>| {
            let label = spec.required_label.as_ref();
            room.info.service == *service
                && label.is_none_or(|label| room.info.labels.contains(label))
                && need.fits_in(&room.info.capacity)
                && !known.is_some_and(|known| known.was_asked(room.life))
        };
        let by_room =
            |room: &'r WorkerCapacity<'a>| (need.count_in(&room.free), room.free.cpu, room);
        let mut unknown: Vec<_> = rooms.iter().filter(fits).map(by_room).collect();
        unknown.sort_unstable_by_key(|(count, cpu, room)| Reverse((*count, *cpu, room.life)));
        Some(unknown.into_iter().map(|(.., room)| room).collect())
    }

    /// How many of these workers to ask about; `None` where enough are known.
    fn worth_asking(
        &self,
        state: &State,
        step: StepRef,
        rooms: &[WorkerCapacity<'_>],
        unknown: &[&WorkerCapacity<'_>],
        now: Timestamp,
    ) -> Option<usize> {
        let (spec, job) = (state.spec(step)?, state.job(step.job)?);
        let advice = state.policy(job.queue).advice?;
        let need = spec.charge();
        let waiting = job.step(step)?.waiting().count() as f64;
        let good_share = self.advice.eligible_share(job.queue);
        if !spec.gang || advice.per_call <= LONG_CALL {
            let quiet = self.advice.has_idle_caller(&advice, now);
            let (over, least) = if quiet { ASKED_WIDELY } else { ASKED_NARROWLY };
            let most = spec.max_per_worker.max(1) * 8;
            let slots = |room: &WorkerCapacity<'_>| f64::from(need.count_in(&room.free).min(most));
            return Some(count_until(unknown, waiting * over / good_share, slots).max(least));
        }
        let slots = |room: &WorkerCapacity<'_>| {
            let whole = f64::from(need.count_in(&room.info.capacity)) * GANG_SHARE;
            whole.max(f64::from(need.count_in(&room.free)))
        };
        let known = self.advice.step(step);
        let good =
            |room: &&WorkerCapacity<'_>| known.is_some_and(|k| k.ticket(room.life).is_some());
        let have: f64 = rooms.iter().filter(good).map(slots).sum();
        let wanted = (waiting * GANG_OVER - have) / good_share;
        (wanted > 0.0).then(|| count_until(unknown, wanted, slots).max(GANG_LEAST))
    }

    pub(crate) fn ask(
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

/// How many of the workers have this many slots together, or all.
fn count_until<F>(rooms: &[&WorkerCapacity<'_>], wanted: f64, slots: F) -> usize
where
    F: Fn(&WorkerCapacity<'_>) -> f64,
{
    let mut sum = 0.0;
    let enough = rooms.iter().position(|room| {
        sum += slots(room);
        sum >= wanted
    });
    enough.map_or(rooms.len(), |i| i + 1)
}
