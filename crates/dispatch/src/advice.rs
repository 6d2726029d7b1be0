//! Calls to an advice service, which decides which workers may run a step.

use crate::advice_usage::{AdviceUsage, CallReason};
use jobs::{AdvicePolicy, LifeId, QueueId, StepRef};
use std::time::Duration;
use types::{HostId, SortedMap, Timestamp};

/// A ticket is renewed before use if less than this is left of its lifetime.
const TICKET_RESERVE: Duration = Duration::from_millis(250);
/// Maximum number of workers in one call.
pub const MAX_WORKERS_PER_CALL: usize = 100;
/// Calls up to this duration are short. They never queue behind longer ones.
const SHORT_CALL: Duration = Duration::from_millis(60);
/// Maximum backlog of a caller that is given a short call.
const MAX_SHORT_BACKLOG: Duration = Duration::from_millis(200);
/// Maximum backlog of a caller that is given a long call. Calls that are not sent yet are still
/// ordered by urgency, while calls queued at a caller are not.
const MAX_LONG_BACKLOG: Duration = Duration::from_millis(300);
/// Assumed share of workers that may run a step, before any answer.
const DEFAULT_ELIGIBLE_SHARE: f64 = 0.5;
/// Weight of [`DEFAULT_ELIGIBLE_SHARE`], as a number of workers asked about.
const DEFAULT_SHARE_WEIGHT: f64 = 20.0;
/// Time beyond its expected duration after which an unanswered call is given up and made elsewhere.
const CALL_SLACK: Duration = Duration::from_millis(700);
/// One in this many callers, rounded up, is always reserved for short calls.
const SHORT_LANE_DIVISOR: usize = 6;
/// Callers reserved for short calls, per caller that short calls keep busy on average.
const SHORT_LANE_FACTOR: f64 = 3.0;
/// Time constant of the moving average of the load by short calls.
const SHORT_LOAD_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// How long a caller is not used after a failed call.
const CALLER_BACKOFF: Duration = Duration::from_secs(1);

/// Permission of the advice service to run a step on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The life for which the ticket is valid.
    pub life: LifeId,
    /// Text to present to the worker; empty if the ticket must be requested again.
    pub text: String,
    /// When the ticket was issued, estimated from the timing of the call.
    pub issued: Timestamp,
    /// Whether a start was ordered with it.
    pub used: bool,
}

/// What the advice service has answered about one step.
#[derive(Clone, Debug, Default)]
pub struct StepAdvice {
    /// Tickets of the lives that may run the step, sorted by life.
    eligible: Vec<Ticket>,
    /// Lives that were asked about, sorted.
    asked: Vec<LifeId>,
    /// Why the call in flight is made; `None` without one.
    pending: Option<CallReason>,
    retry_at: Timestamp,
}

impl StepAdvice {
    /// Lives that may run the step, each with the time until which its ticket can be used for a
    /// start. `life` is the lifetime of a ticket. The time is zero if the ticket must be renewed.
    pub fn eligible(&self, life: Duration) -> impl Iterator<Item = (LifeId, Timestamp)> + '_ {
        self.eligible.iter().map(move |ticket| {
            let until = (ticket.issued + life).saturating_sub(TICKET_RESERVE);
            (ticket.life, if ticket.text.is_empty() { Timestamp::ZERO } else { until })
        })
    }

    /// Whether a call about the step is in flight.
    pub fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Whether a call for new tickets is in flight.
    pub fn is_renewing(&self) -> bool {
        self.pending == Some(CallReason::Renewal)
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

    /// The ticket for a life; `None` if the life may not run the step.
    pub fn ticket(&self, life: LifeId) -> Option<&str> {
        let i = self.eligible.binary_search_by_key(&life, |ticket| ticket.life).ok()?;
        Some(&self.eligible[i].text)
    }
}

/// How certain it is that the answer to a call will be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallPriority {
    /// The step needs the answer to start. The call may wait behind others of its caller.
    Needed,
    /// The answer only widens the choice, or the step is worth little. The call is made only by a
    /// host without other calls, so that it delays none that is needed.
    Spare,
}

/// A call to the advice service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceCall {
    /// Number of the call.
    pub number: u64,
    /// Host that makes the call.
    pub caller: HostId,
    /// Step that needs workers.
    pub step: StepRef,
    /// The lives that the call asks about.
    pub lives: Vec<LifeId>,
    /// Timeout of the call.
    pub timeout: Duration,
}

#[derive(Clone, Debug)]
struct OpenCall {
    queue: QueueId,
    call: AdviceCall,
    sent: Timestamp,
    duration: Duration,
}

#[derive(Clone, Debug, Default)]
struct Caller {
    busy_until: Timestamp,
    backoff_until: Timestamp,
}

/// Tracks the answers about all steps and the calls in flight.
#[derive(Clone, Debug, Default)]
pub struct AdviceTracker {
    steps: SortedMap<StepRef, StepAdvice>,
    callers: SortedMap<HostId, Caller>,
    open: SortedMap<u64, OpenCall>,
    /// Number of workers asked about and of workers found eligible, by queue.
    shares: SortedMap<QueueId, (f64, f64)>,
    last_number: u64,
    short_load: ShortLoad,
    usage: SortedMap<QueueId, AdviceUsage>,
}

/// Exponentially decaying average of the number of callers that short calls keep busy.
#[derive(Clone, Copy, Debug, Default)]
struct ShortLoad {
    /// Total duration of recent short calls, decayed up to `at`.
    busy: Duration,
    at: Timestamp,
}

impl ShortLoad {
    fn busy_at(&self, now: Timestamp) -> Duration {
        let elapsed =
            now.saturating_sub(self.at).as_secs_f64() / SHORT_LOAD_TIME_CONSTANT.as_secs_f64();
        self.busy.mul_f64((-elapsed).exp())
    }

    fn add(&mut self, duration: Duration, now: Timestamp) {
        *self = ShortLoad { busy: self.busy_at(now) + duration, at: now };
    }

    fn callers(&self, now: Timestamp) -> f64 {
        self.busy_at(now).as_secs_f64() / SHORT_LOAD_TIME_CONSTANT.as_secs_f64()
    }
}

impl AdviceTracker {
    /// Creates an empty tracker whose calls are numbered from `base + 1`.
    pub fn new(base: u64) -> AdviceTracker {
        AdviceTracker { last_number: base, ..AdviceTracker::default() }
    }

    /// The advice about a step; `None` if no call about it was made.
    pub fn step(&self, step: StepRef) -> Option<&StepAdvice> {
        self.steps.get(&step)
    }

    /// Forgets the steps that do not match `f`.
    pub fn retain<F>(&mut self, f: F)
    where
        F: Fn(&StepRef) -> bool,
    {
        self.steps.retain(|step, _| f(step));
    }

    /// Estimated share of the workers that may run a step of the queue, learned from answers.
    pub fn eligible_share(&self, queue: QueueId) -> f64 {
        let (asked, found) = self.shares.get(&queue).copied().unwrap_or_default();
        let share = (found + DEFAULT_ELIGIBLE_SHARE * DEFAULT_SHARE_WEIGHT)
            / (asked + DEFAULT_SHARE_WEIGHT);
        share.clamp(0.05, 1.0)
    }

    /// Whether a host could take a call now, possibly behind calls that it already has.
    pub fn has_caller(
        &self,
        policy: &AdvicePolicy,
        priority: CallPriority,
        now: Timestamp,
    ) -> bool {
        self.choose_caller(policy.duration(1), priority, now).is_some()
    }

    /// Whether an idle host could make a call at once, so that a large call delays no other.
    pub fn has_idle_caller(&self, policy: &AdvicePolicy, now: Timestamp) -> bool {
        self.has_caller(policy, CallPriority::Spare, now)
    }

    /// Sets the hosts that can make calls.
    pub fn set_callers(&mut self, hosts: &[HostId]) {
        self.callers.retain(|host, _| hosts.contains(host));
        for host in hosts {
            self.callers.get_or_insert_with(host.clone(), Caller::default);
        }
    }

    /// Begins a call about these lives at the host that becomes free first. `None` if another call
    /// about the step is in flight or no host can make one.
    pub fn ask(
        &mut self,
        step: StepRef,
        queue: QueueId,
        lives: Vec<LifeId>,
        policy: &AdvicePolicy,
        priority: CallPriority,
        now: Timestamp,
    ) -> Option<AdviceCall> {
        let known = self.steps.get(&step);
        if lives.is_empty() || known.is_some_and(|k| k.is_pending() || now < k.retry_at) {
            return None;
        }
        let mut lives = lives;
        lives.truncate(MAX_WORKERS_PER_CALL);
        let reason = call_reason(known, &lives);
        let duration = policy.duration(lives.len());
        let caller = self.choose_caller(duration, priority, now)?;
        let entry = self.callers.get_mut(&caller).expect("just chosen");
        let in_line = entry.busy_until.saturating_sub(now);
        let usage = self.usage.get_or_insert_with(queue, AdviceUsage::default);
        usage.record_call(reason, lives.len(), duration, in_line);
        entry.busy_until = entry.busy_until.max(now) + duration;
        let timeout = entry.busy_until.saturating_sub(now) + CALL_SLACK;
        if duration <= SHORT_CALL {
            self.short_load.add(duration, now);
        }
        self.last_number += 1;
        let call = AdviceCall { number: self.last_number, caller, step, lives, timeout };
        self.open
            .insert(self.last_number, OpenCall { queue, call: call.clone(), sent: now, duration });
        self.steps.get_or_insert_with(step, StepAdvice::default).pending = Some(reason);
        Some(call)
    }

    /// The caller that becomes free first. Short calls have callers reserved for them, so that they
    /// never wait for long ones.
    fn choose_caller(
        &self,
        duration: Duration,
        priority: CallPriority,
        now: Timestamp,
    ) -> Option<HostId> {
        let min_lane = self.callers.len().div_ceil(SHORT_LANE_DIVISOR);
        let short_lane = (self.short_load.callers(now) * SHORT_LANE_FACTOR).ceil() as usize;
        let short_lane = short_lane.clamp(min_lane, (self.callers.len() / 2).max(1));
        let single_caller = self.callers.len() < 2;
        let lane = self
            .callers
            .iter()
            .enumerate()
            .filter(|(i, _)| single_caller || (duration <= SHORT_CALL) == (*i < short_lane));
        let backlog = match priority {
            CallPriority::Spare => Duration::ZERO,
            CallPriority::Needed if duration <= SHORT_CALL => MAX_SHORT_BACKLOG,
            CallPriority::Needed => MAX_LONG_BACKLOG,
        };
        let free = lane.filter(|(_, (_, caller))| {
            now >= caller.backoff_until && caller.busy_until <= now + backlog
        });
        let first = free.min_by_key(|(_, (_, caller))| caller.busy_until.max(now))?;
        Some(first.1 .0.clone())
    }

    /// Handles the answer to a call: the lives that may run the step with their tickets, or `None`
    /// if the call failed. Returns the step if the call was still in flight.
    pub fn answered(
        &mut self,
        number: u64,
        eligible: Option<Vec<(LifeId, String)>>,
        now: Timestamp,
    ) -> Option<StepRef> {
        let OpenCall { queue, call, sent, duration } = self.open.remove(&number)?;
        let caller = self.callers.get_mut(&call.caller);
        let usage = self.usage.get_or_insert_with(queue, AdviceUsage::default);
        let Some(step) = self.steps.get_mut(&call.step) else {
            usage.too_late += 1;
            return None;
        };
        step.pending = None;
        let Some(eligible) = eligible else {
            usage.failed += 1;
            step.retry_at = now + Duration::from_millis(100);
            if let Some(caller) = caller {
                caller.backoff_until = now + CALLER_BACKOFF;
            }
            return Some(call.step);
        };
        let (asked, found) = self.shares.get_or_insert_with(queue, || (0.0, 0.0));
        usage.tickets += eligible.len() as u64;
        *asked += call.lives.len() as f64;
        *found += eligible.len() as f64;
        // The service issues tickets when a call ends. The estimate allows up to 20 ms for the
        // answer to arrive, but a ticket can't be older than its call.
        let issued = now.max(sent + duration) - (now - sent).min(Duration::from_millis(20));
        let issued = issued.min(now);
        for life in &call.lives {
            if let Err(i) = step.asked.binary_search(life) {
                step.asked.insert(i, *life);
            }
        }
        step.eligible.retain(|ticket| !call.lives.contains(&ticket.life));
        step.eligible.extend(eligible.into_iter().map(|(life, text)| Ticket {
            life,
            text,
            issued,
            used: false,
        }));
        step.eligible.sort_unstable_by_key(|ticket| ticket.life);
        Some(call.step)
    }

    /// Use of the service so far, by queue.
    pub fn usage(&self) -> impl Iterator<Item = (QueueId, &AdviceUsage)> + '_ {
        self.usage.iter().map(|(queue, usage)| (*queue, usage))
    }

    /// The ticket to order a start with; `None` if the life may not run the step.
    pub fn use_ticket(&mut self, step: StepRef, queue: QueueId, life: LifeId) -> Option<&str> {
        let known = self.steps.get_mut(&step)?;
        let usage = self.usage.get_or_insert_with(queue, AdviceUsage::default);
        let i = known.eligible.binary_search_by_key(&life, |ticket| ticket.life).ok()?;
        let ticket = &mut known.eligible[i];
        usage.used += u64::from(!ticket.used);
        ticket.used = true;
        Some(&ticket.text)
    }

    /// Discards a refused ticket, so that it is requested again.
    pub fn forget_ticket(&mut self, step: StepRef, life: LifeId) {
        if let Some(step) = self.steps.get_mut(&step) {
            for ticket in step.eligible.iter_mut().filter(|ticket| ticket.life == life) {
                ticket.text.clear();
            }
        }
    }

    /// Gives up calls that have timed out.
    pub fn expire(&mut self, now: Timestamp) {
        let late = self.open.iter().filter(|(_, open)| now >= open.sent + open.call.timeout);
        let late: Vec<u64> = late.map(|(number, _)| *number).collect();
        for number in late {
            self.answered(number, None, now);
        }
    }

    /// When [`AdviceTracker::expire`] is due next.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.open.values().map(|open| open.sent + open.call.timeout).min()
    }
}

/// Why a call names these lives, given what is known about the step.
fn call_reason(known: Option<&StepAdvice>, lives: &[LifeId]) -> CallReason {
    match known {
        Some(known) if lives.iter().all(|life| known.was_asked(*life)) => CallReason::Renewal,
        Some(known) if known.any_asked() => CallReason::MoreWorkers,
        _ => CallReason::First,
    }
}
