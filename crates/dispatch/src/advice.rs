//! Which workers may run a step, as an advice service said, and who asks it.

use jobs::{AdvicePolicy, LifeId, QueueId, StepRef};
use std::time::Duration;
use types::{HostId, SortedMap, Timestamp};

/// A ticket with less than this left is renewed before it is used.
const TICKET_RESERVE: Duration = Duration::from_millis(250);
/// Most workers in one call.
pub const MAX_WORKERS_PER_CALL: usize = 100;
/// Calls shorter than this count as short; they never wait behind longer ones.
const SHORT_CALL: Duration = Duration::from_millis(60);
/// A short call is not begun at a caller that is busy for longer than this.
const SHORT_BACKLOG: Duration = Duration::from_millis(200);
/// The same for a long call; what waits here is still sorted by urgency, what was sent is not.
const LONG_BACKLOG: Duration = Duration::from_millis(300);
/// Share of workers that may run a step, before anything is known.
const USUAL_GOOD_SHARE: f64 = 0.5;
/// Weight of that guess, in workers asked about.
const GUESS_WEIGHT: f64 = 20.0;
/// A call that is not answered within its time and this much more is made again elsewhere.
const CALL_SLACK: Duration = Duration::from_millis(700);
/// At least one in so many callers is kept for short calls.
const SHORT_LANE_LEAST: usize = 6;
/// Callers kept for short calls, for each that short calls alone would keep busy.
const SHORT_LANE_SPARE: f64 = 3.0;
/// Time over which it is counted how busy short calls keep callers.
const SHORT_LOAD_OVER: Duration = Duration::from_secs(2);
/// A caller that failed is passed over for this long.
const CALLER_REST: Duration = Duration::from_secs(1);

/// Permission to run a step on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The life for which it holds.
    pub life: LifeId,
    /// What to show; empty where it has to be asked for again.
    pub text: String,
    /// When it was asked for.
    pub asked: Timestamp,
}

/// What is known about one step.
#[derive(Clone, Debug, Default)]
pub struct StepAdvice {
    /// Lives that may run the step, by life.
    good: Vec<Ticket>,
    /// Lives that were asked about.
    asked: Vec<LifeId>,
    pending: bool,
    retry_at: Timestamp,
}

impl StepAdvice {
    /// Lives that may run the step, with the time until which the ticket, good for `life` from
    /// its making, is good for a start.
    pub fn eligible(&self, life: Duration) -> impl Iterator<Item = (LifeId, Timestamp)> + '_ {
        self.good.iter().map(move |ticket| {
            let until = (ticket.asked + life).saturating_sub(TICKET_RESERVE);
            (ticket.life, if ticket.text.is_empty() { Timestamp::ZERO } else { until })
        })
    }

    /// Whether a call about the step is under way.
    pub fn is_pending(&self) -> bool {
        self.pending
    }

    /// Whether this life was asked about.
    pub fn was_asked(&self, life: LifeId) -> bool {
        self.asked.binary_search(&life).is_ok()
    }

    /// How many lives were asked about.
    pub fn asked(&self) -> usize {
        self.asked.len()
    }

    /// Whether any life was asked about.
    pub fn any_asked(&self) -> bool {
        !self.asked.is_empty()
    }

    /// The ticket for a life.
    pub fn ticket(&self, life: LifeId) -> Option<&str> {
        let i = self.good.binary_search_by_key(&life, |ticket| ticket.life).ok()?;
        Some(&self.good[i].text)
    }
}

/// A call to the advice service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceCall {
    /// Its number.
    pub number: u64,
    /// Host that makes it.
    pub caller: HostId,
    /// The step.
    pub step: StepRef,
    /// The lives it names.
    pub lives: Vec<LifeId>,
    /// How long it may take.
    pub limit: Duration,
}

#[derive(Clone, Debug)]
struct Open {
    queue: QueueId,
    call: AdviceCall,
    sent: Timestamp,
    duration: Duration,
}

#[derive(Clone, Debug, Default)]
struct Caller {
    busy_until: Timestamp,
    rest_until: Timestamp,
}

/// What is known about all steps, and the calls that are under way.
#[derive(Clone, Debug, Default)]
pub struct AdviceTracker {
    steps: SortedMap<StepRef, StepAdvice>,
    callers: SortedMap<HostId, Caller>,
    open: SortedMap<u64, Open>,
    /// Workers asked about and workers found good, by queue.
    shares: SortedMap<QueueId, (f64, f64)>,
    last: u64,
    short_load: ShortLoad,
}

/// How many callers the short calls keep busy, as a mean that forgets.
#[derive(Clone, Copy, Debug, Default)]
struct ShortLoad {
    /// Time of short calls that still counts.
    busy: Duration,
    at: Timestamp,
}

impl ShortLoad {
    fn busy_at(&self, now: Timestamp) -> Duration {
        let past = now.saturating_sub(self.at).as_secs_f64() / SHORT_LOAD_OVER.as_secs_f64();
        self.busy.mul_f64((-past).exp())
    }

    fn add(&mut self, duration: Duration, now: Timestamp) {
        *self = ShortLoad { busy: self.busy_at(now) + duration, at: now };
    }

    fn callers(&self, now: Timestamp) -> f64 {
        self.busy_at(now).as_secs_f64() / SHORT_LOAD_OVER.as_secs_f64()
    }
}

impl AdviceTracker {
    /// An empty book whose calls are numbered from `base`.
    pub fn new(base: u64) -> AdviceTracker {
        AdviceTracker { last: base, ..AdviceTracker::default() }
    }

    /// What is known about a step.
    pub fn step(&self, step: StepRef) -> Option<&StepAdvice> {
        self.steps.get(&step)
    }

    /// Forgets steps for which `f` does not hold.
    pub fn retain<F>(&mut self, f: F)
    where
        F: Fn(&StepRef) -> bool,
    {
        self.steps.retain(|step, _| f(step));
    }

    /// Share of the workers that may run a step of the queue, as learned.
    pub fn eligible_share(&self, queue: QueueId) -> f64 {
        let (asked, found) = self.shares.get(&queue).copied().unwrap_or_default();
        let share = (found + USUAL_GOOD_SHARE * GUESS_WEIGHT) / (asked + GUESS_WEIGHT);
        share.clamp(0.05, 1.0)
    }

    /// Whether a host could make a call, perhaps after others.
    pub fn has_caller(&self, policy: &AdvicePolicy, now: Timestamp) -> bool {
        self.choose_caller(policy.duration(1), now).is_some()
    }

    /// Whether a host could make a call at once, so that a wide one holds up nobody.
    pub fn has_idle_caller(&self, policy: &AdvicePolicy, now: Timestamp) -> bool {
        let duration = policy.duration(1);
        let caller = self.choose_caller(duration, now);
        caller.is_some_and(|host| self.callers.get(&host).is_some_and(|c| c.busy_until <= now))
    }

    /// Sets the hosts that can make calls.
    pub fn set_callers(&mut self, hosts: &[HostId]) {
        self.callers.retain(|host, _| hosts.contains(host));
        for host in hosts {
            self.callers.get_or_insert_with(host.clone(), Caller::default);
        }
    }

    /// Begins a call about these lives, at the host where it is answered first. `None` while
    /// another call about the step is under way or nobody can make one.
    pub fn ask(
        &mut self,
        step: StepRef,
        queue: QueueId,
        lives: Vec<LifeId>,
        policy: &AdvicePolicy,
        now: Timestamp,
    ) -> Option<AdviceCall> {
        let known = self.steps.get(&step);
        if lives.is_empty() || known.is_some_and(|k| k.pending || now < k.retry_at) {
            return None;
        }
        let mut lives = lives;
        lives.truncate(MAX_WORKERS_PER_CALL);
        let duration = policy.duration(lives.len());
        let caller = self.choose_caller(duration, now)?;
        let entry = self.callers.get_mut(&caller).expect("just chosen");
        entry.busy_until = entry.busy_until.max(now) + duration;
        let limit = entry.busy_until.saturating_sub(now) + CALL_SLACK;
        if duration <= SHORT_CALL {
            self.short_load.add(duration, now);
        }
        self.last += 1;
        let call = AdviceCall { number: self.last, caller, step, lives, limit };
        self.open.insert(self.last, Open { queue, call: call.clone(), sent: now, duration });
        self.steps.get_or_insert_with(step, StepAdvice::default).pending = true;
        Some(call)
    }

    /// The caller that is free first. Short calls have callers of their own, so that they never
    /// wait for long ones.
    fn choose_caller(&self, duration: Duration, now: Timestamp) -> Option<HostId> {
        let least = self.callers.len().div_ceil(SHORT_LANE_LEAST);
        let short_lane = (self.short_load.callers(now) * SHORT_LANE_SPARE).ceil() as usize;
        let short_lane = short_lane.clamp(least, (self.callers.len() / 2).max(1));
        let alone = self.callers.len() < 2;
        let lane = self
            .callers
            .iter()
            .enumerate()
            .filter(|(i, _)| alone || (duration <= SHORT_CALL) == (*i < short_lane));
        let backlog = if duration <= SHORT_CALL { SHORT_BACKLOG } else { LONG_BACKLOG };
        let free = lane.filter(|(_, (_, caller))| {
            now >= caller.rest_until && caller.busy_until <= now + backlog
        });
        let first = free.min_by_key(|(_, (_, caller))| caller.busy_until.max(now))?;
        Some(first.1 .0.clone())
    }

    /// Handles the answer to a call: lives that may run the step with their tickets, or `None`
    /// when the call failed. Returns the step, where the call was still open.
    pub fn answered(
        &mut self,
        number: u64,
        good: Option<Vec<(LifeId, String)>>,
        now: Timestamp,
    ) -> Option<StepRef> {
        let Open { queue, call, sent, duration } = self.open.remove(&number)?;
        let caller = self.callers.get_mut(&call.caller);
        let step = self.steps.get_mut(&call.step)?;
        step.pending = false;
        let Some(good) = good else {
            step.retry_at = now + Duration::from_millis(100);
            if let Some(caller) = caller {
                caller.rest_until = now + CALLER_REST;
            }
            return Some(call.step);
        };
        let (asked, found) = self.shares.get_or_insert_with(queue, || (0.0, 0.0));
        *asked += call.lives.len() as f64;
        *found += good.len() as f64;
        // It can't have answered before it began, and it answers as it ends.
        let asked = now.max(sent + duration) - (now - sent).min(Duration::from_millis(20));
        let asked = asked.min(now);
        for life in &call.lives {
            if let Err(i) = step.asked.binary_search(life) {
                step.asked.insert(i, *life);
            }
        }
        step.good.retain(|ticket| !call.lives.contains(&ticket.life));
        step.good.extend(good.into_iter().map(|(life, text)| Ticket { life, text, asked }));
        step.good.sort_unstable_by_key(|ticket| ticket.life);
        Some(call.step)
    }

    /// A ticket was refused: it has to be asked for again.
    pub fn forget_ticket(&mut self, step: StepRef, life: LifeId) {
        if let Some(step) = self.steps.get_mut(&step) {
            for ticket in step.good.iter_mut().filter(|ticket| ticket.life == life) {
                ticket.text.clear();
            }
        }
    }

    /// Gives up calls that have taken too long.
    pub fn expire(&mut self, now: Timestamp) {
        let late = self.open.iter().filter(|(_, open)| now >= open.sent + open.call.limit);
        let late: Vec<u64> = late.map(|(number, _)| *number).collect();
        for number in late {
            self.answered(number, None, now);
        }
    }

    /// When [`AdviceTracker::expire`] is due.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.open.values().map(|open| open.sent + open.call.limit).min()
    }
}
