//! The router of one entry host.

use crate::budget::RetryBudget;
use crate::lanes::Lanes;
use crate::request::{Action, AttemptResult, Class, Outcome, Request};
use crate::shares::{SlotGrant, SlotRequest};
use crate::upstream::{Upstream, UpstreamInfo, UpstreamStats};
use std::time::Duration;
use types::{ExchangeId, Incarnation, ServiceName, SortedMap, Timestamp, UpstreamId, ZoneName};

/// Weight of the newest observation in the mean time of an answer.
const TIME_SMOOTHING: f64 = 0.1;
/// Mean time of an answer before any was seen.
const FIRST_GUESS: Duration = Duration::from_millis(50);
/// Batch requests leave one slot in so many to interactive ones.
const RESERVED_ONE_IN: u32 = 4;
/// At most one upstream in so many of a service is ejected at a time.
const EJECTED_ONE_IN: usize = 3;
/// Shortest time after which a caller is told to come back.
const SHORTEST_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time after which a caller is told to come back.
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Another attempt is not worth making when less time than this is left.
const SHORTEST_ATTEMPT: Duration = Duration::from_millis(5);

/// One mechanism switched off. Only tests set anything but `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedBug {
    /// All mechanisms work.
    #[default]
    None,
    /// A request that may have run is sent again though it is not idempotent.
    RetryLost,
    /// Retries are not limited.
    UnlimitedRetries,
    /// Slots of other hosts are used.
    IgnoreShares,
    /// Batch requests use the slots kept for interactive ones.
    NoReservedSlots,
}

/// Makes a [`Router`].
#[derive(Clone, Debug)]
pub struct RouterBuilder {
    zone: ZoneName,
    seed: u64,
    max_waiting: usize,
    max_attempts: u32,
    retry_fraction: f64,
    injected_bug: InjectedBug,
}

impl RouterBuilder {
    /// For an entry host in `zone`; `seed` decides its random choices.
    pub fn new(zone: &str, seed: u64) -> RouterBuilder {
        RouterBuilder {
            zone: zone.to_string(),
            seed,
            max_waiting: 2_000,
            max_attempts: 3,
            retry_fraction: 0.1,
            injected_bug: InjectedBug::None,
        }
    }

    /// Requests of one service and class that wait at most.
    pub fn max_waiting(mut self, count: usize) -> Self {
        self.max_waiting = count;
        self
    }

    /// Attempts for one request at most.
    pub fn max_attempts(mut self, count: u32) -> Self {
        self.max_attempts = count.max(1);
        self
    }

    /// Load that retries may add.
    pub fn retry_fraction(mut self, fraction: f64) -> Self {
        self.retry_fraction = fraction;
        self
    }

    /// Switches a mechanism off; for tests.
    pub fn inject_bug(mut self, injected_bug: InjectedBug) -> Self {
        self.injected_bug = injected_bug;
        self
    }

    /// The router.
    pub fn build(self) -> Router {
        Router {
            rng: fastrand::Rng::with_seed(self.seed),
            budget: RetryBudget::new(self.retry_fraction),
            cfg: self,
            services: SortedMap::default(),
            upstreams: SortedMap::default(),
            requests: SortedMap::default(),
            held_until: Timestamp::ZERO,
        }
    }
}

#[derive(Clone, Debug)]
struct Service {
    upstreams: Vec<UpstreamId>,
    lanes: Lanes,
    /// Batch requests under way.
    batch_in_flight: u32,
    mean_latency: Duration,
}

impl Default for Service {
    fn default() -> Service {
        Service {
            upstreams: Vec::new(),
            lanes: Lanes::default(),
            batch_in_flight: 0,
            mean_latency: FIRST_GUESS,
        }
    }
}

#[derive(Clone, Debug)]
struct Open {
    request: Request,
    attempts: u32,
    /// Where the present attempt went, and when.
    sent: Option<(UpstreamId, Timestamp)>,
    /// Upstreams tried before, sorted.
    tried: Vec<UpstreamId>,
    /// An earlier attempt may have run it.
    maybe_ran: bool,
}

/// How a service stands, for status and metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceStats {
    /// The service.
    pub service: ServiceName,
    /// Interactive requests that wait.
    pub interactive_waiting: usize,
    /// Batch requests that wait.
    pub batch_waiting: usize,
    /// Mean time of an answer.
    pub mean_latency: Duration,
}

/// Routes the requests of one entry host. See the crate page.
#[derive(Clone, Debug)]
pub struct Router {
    cfg: RouterBuilder,
    rng: fastrand::Rng,
    budget: RetryBudget,
    services: SortedMap<ServiceName, Service>,
    upstreams: SortedMap<UpstreamId, Upstream>,
    requests: SortedMap<ExchangeId, Open>,
    held_until: Timestamp,
}

impl Router {
    /// Sets what an upstream announced.
    pub fn set_upstream(&mut self, now: Timestamp, info: UpstreamInfo) -> Vec<Action> {
        let service = info.service.clone();
        if let Some(known) = self.upstreams.get_mut(&info.id) {
            if known.info.service == service {
                known.renew(info, now);
                return self.send_waiting(now, &service);
            }
            let id = info.id.clone();
            self.remove_upstream(&id);
        }
        let entry = self.services.get_or_insert_with(service.clone(), Service::default);
        if let Err(i) = entry.upstreams.binary_search(&info.id) {
            entry.upstreams.insert(i, info.id.clone());
        }
        self.upstreams.insert(info.id.clone(), Upstream::new(info, now));
        self.send_waiting(now, &service)
    }

    /// An upstream leaves: it gets nothing new. What is under way there goes on.
    pub fn remove_upstream(&mut self, id: &UpstreamId) {
        let Some(upstream) = self.upstreams.remove(id) else { return };
        if let Some(service) = self.services.get_mut(&upstream.info.service) {
            service.upstreams.retain(|u| u != id);
        }
    }

    /// Sends nothing before `until`, because what is known of upstreams may be old.
    pub fn pause_until(&mut self, until: Timestamp) {
        self.held_until = until;
    }

    /// Upstreams known, with their lives.
    pub fn upstreams(&self) -> impl Iterator<Item = (&UpstreamId, Incarnation)> {
        self.upstreams.iter().map(|(id, u)| (id, u.info.incarnation))
    }

    /// Takes a request.
    pub fn submit(&mut self, now: Timestamp, request: Request) -> Vec<Action> {
        let (exchange, service, class) = (request.exchange, request.service.clone(), request.class);
        let entry = self.services.get_or_insert_with(service.clone(), Service::default);
        if entry.upstreams.is_empty() {
            let reason = format!("service `{service}` has no upstream");
            return vec![give_up(exchange, Outcome::NotRun, reason, SHORTEST_RETRY_AFTER)];
        }
        if let Some(refused) = self.refuse_early(now, &request) {
            return vec![refused];
        }
        self.budget.record_request();
        let entry = self.services.get_mut(&service).expect("entered above");
        entry.lanes.push(class, request.deadline, exchange);
        let open = Open { request, attempts: 0, sent: None, tried: Vec::new(), maybe_ran: false };
        self.requests.insert(exchange, open);
        self.send_waiting(now, &service)
    }

    /// Refuses a request that would wait in vain, while it costs nothing.
    fn refuse_early(&self, now: Timestamp, request: &Request) -> Option<Action> {
        let service = self.services.get(&request.service)?;
        let wait = self.expected_wait(now, service, request.class);
        let waiting = service.lanes.len(request.class);
        let reason = if waiting >= self.cfg.max_waiting {
            format!("{waiting} requests wait already")
        } else if waiting > 0 && now + wait >= request.deadline {
            format!("it would wait about {wait:?}, longer than its deadline allows")
        } else {
            return None;
        };
        Some(give_up(request.exchange, Outcome::NotRun, reason, wait))
    }

    /// How long a new request of this class would wait.
    fn expected_wait(&self, now: Timestamp, service: &Service, class: Class) -> Duration {
        let slots = self.slots_of(now, service).max(1);
        let ahead = match class {
            Class::Interactive => service.lanes.len(Class::Interactive),
            Class::Batch => service.lanes.len(Class::Interactive) + service.lanes.len(Class::Batch),
        };
        service.mean_latency.mul_f64(ahead as f64 / f64::from(slots))
    }

    fn slots_of(&self, now: Timestamp, service: &Service) -> u32 {
        let known = service.upstreams.iter().filter_map(|id| self.upstreams.get(id));
        known.map(|u| self.limit_of(now, u)).sum()
    }

    fn limit_of(&self, now: Timestamp, upstream: &Upstream) -> u32 {
        if self.cfg.injected_bug == InjectedBug::IgnoreShares {
            upstream.info.slots
        } else {
            upstream.limit(now)
        }
    }

    /// An attempt has ended. `attempt` must be the one under way, or nothing happens.
    pub fn finish_attempt(
        &mut self,
        now: Timestamp,
        exchange: ExchangeId,
        attempt: u32,
        result: AttemptResult,
    ) -> Vec<Action> {
        let Some(open) = self.requests.get_mut(&exchange) else { return Vec::new() };
        if open.attempts != attempt {
            return Vec::new();
        }
        let Some((upstream, sent)) = open.sent.take() else { return Vec::new() };
        open.maybe_ran |= result == AttemptResult::Lost;
        if let Err(i) = open.tried.binary_search(&upstream) {
            open.tried.insert(i, upstream.clone());
        }
        let service = open.request.service.clone();
        let is_batch = open.request.class == Class::Batch;
        self.release_slot(&service, &upstream, is_batch);
        self.learn(now, &service, &upstream, result, now.saturating_sub(sent));
        let mut actions = match result {
            AttemptResult::Answered { .. } => {
                self.requests.remove(&exchange);
                vec![Action::Deliver { exchange }]
            }
            _ => self.retry_or_give_up(now, exchange, result),
        };
        actions.extend(self.send_waiting(now, &service));
        actions
    }

    /// The caller is gone: a request that still waits is dropped, and one under way runs on.
    pub fn abandon(&mut self, exchange: ExchangeId) {
        let Some(open) = self.requests.get(&exchange) else { return };
        if open.sent.is_some() {
            return;
        }
        let open = self.requests.remove(&exchange).expect("looked up above");
        if let Some(service) = self.services.get_mut(&open.request.service) {
            service.lanes.remove(open.request.class, open.request.deadline, exchange);
        }
    }

    fn release_slot(&mut self, service: &ServiceName, upstream: &UpstreamId, is_batch: bool) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
        }
        if let Some(service) = self.services.get_mut(service) {
            service.batch_in_flight = service.batch_in_flight.saturating_sub(is_batch.into());
        }
    }

    fn learn(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        upstream: &UpstreamId,
        result: AttemptResult,
        took: Duration,
    ) {
        let Some(entry) = self.services.get_mut(service) else { return };
        if matches!(result, AttemptResult::Answered { .. }) {
            let mean = entry.mean_latency.as_secs_f64();
            let next = mean + TIME_SMOOTHING * (took.as_secs_f64() - mean);
            entry.mean_latency = Duration::from_secs_f64(next.max(0.0));
        }
        let ejected = entry.upstreams.iter().filter_map(|id| self.upstreams.get(id));
        let ejected = ejected.filter(|u| u.health.is_ejected(now)).count();
        let may_eject = (ejected + 1) * EJECTED_ONE_IN <= entry.upstreams.len();
        let Some(upstream) = self.upstreams.get_mut(upstream) else { return };
        match result {
            AttemptResult::Answered { good: true } => upstream.health.note_success(),
            // Being full is no fault.
            AttemptResult::Refused => {}
            _ => {
                if upstream.health.note_failure() && may_eject {
                    upstream.health.eject(now);
                }
            }
        }
    }

    /// Tries again what certainly did not run, or may run twice, within budget and deadline.
    fn retry_or_give_up(
        &mut self,
        now: Timestamp,
        exchange: ExchangeId,
        result: AttemptResult,
    ) -> Vec<Action> {
        let open = self.requests.get(&exchange).expect("the caller has it");
        let injected_bug = self.cfg.injected_bug;
        let safe =
            !open.maybe_ran || open.request.idempotent || injected_bug == InjectedBug::RetryLost;
        let in_time = now + SHORTEST_ATTEMPT < open.request.deadline;
        let attempts_left = open.attempts < self.cfg.max_attempts;
        let may_retry = safe && in_time && attempts_left;
        if may_retry && (injected_bug == InjectedBug::UnlimitedRetries || self.budget.try_spend()) {
            let request = &open.request;
            let service = self.services.get_mut(&request.service).expect("it was routed");
            service.lanes.push(request.class, request.deadline, exchange);
            return Vec::new();
        }
        let reason = match result {
            AttemptResult::Refused => "the upstream was full",
            AttemptResult::NotSent => "the upstream could not be reached",
            _ => "the upstream gave no whole answer",
        };
        self.end(now, exchange, reason.to_string())
    }

    /// Ends a request without an answer.
    fn end(&mut self, now: Timestamp, exchange: ExchangeId, reason: String) -> Vec<Action> {
        let Some(open) = self.requests.remove(&exchange) else { return Vec::new() };
        let outcome = if open.maybe_ran { Outcome::Unknown } else { Outcome::NotRun };
        let service = self.services.get(&open.request.service);
        let wait = service.map_or(SHORTEST_RETRY_AFTER, |service| {
            self.expected_wait(now, service, open.request.class)
        });
        vec![give_up(exchange, outcome, reason, wait)]
    }

    /// Lets time pass: requests whose deadline is over while they wait are given up.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        for name in names {
            while let Some(exchange) =
                self.services.get_mut(&name).and_then(|service| service.lanes.pop_expired(now))
            {
                actions.extend(self.end(now, exchange, "its deadline passed".to_string()));
            }
            actions.extend(self.send_waiting(now, &name));
        }
        actions
    }

    /// When [`Router::tick`] is due at the latest.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let next = self.services.values().filter_map(|service| service.lanes.next_deadline()).min();
        next.map(|at| if self.held_until.is_zero() { at } else { at.min(self.held_until) })
    }

    /// Whether a request waits or is under way.
    pub fn contains(&self, exchange: ExchangeId) -> bool {
        self.requests.contains_key(&exchange)
    }

    /// Requests that wait or are under way.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    fn send_waiting(&mut self, now: Timestamp, name: &ServiceName) -> Vec<Action> {
        let mut actions = Vec::new();
        if now < self.held_until {
            return actions;
        }
        self.held_until = Timestamp::ZERO;
        for class in [Class::Interactive, Class::Batch] {
            while let Some(action) = self.send_next(now, name, class) {
                actions.push(action);
            }
        }
        actions
    }

    fn send_next(&mut self, now: Timestamp, name: &ServiceName, class: Class) -> Option<Action> {
        let service = self.services.get(name)?;
        let exchange = service.lanes.peek(class)?;
        if class == Class::Batch && !self.batch_may_go(now, service) {
            return None;
        }
        let id = self.choose(now, name, exchange)?;
        let service = self.services.get_mut(name)?;
        service.lanes.pop(class);
        service.batch_in_flight += u32::from(class == Class::Batch);
        self.upstreams.get_mut(&id)?.in_flight += 1;
        let open = self.requests.get_mut(&exchange)?;
        open.attempts += 1;
        open.sent = Some((id.clone(), now));
        let (attempt, until) = (open.attempts, open.request.deadline);
        Some(Action::Send { exchange, attempt, upstream: id, until })
    }

    /// Whether a batch request leaves enough for interactive ones.
    fn batch_may_go(&self, now: Timestamp, service: &Service) -> bool {
        if self.cfg.injected_bug == InjectedBug::NoReservedSlots {
            return true;
        }
        let slots = self.slots_of(now, service);
        let reserved = slots.div_ceil(RESERVED_ONE_IN);
        let open_to_batch = slots.saturating_sub(reserved).max(1);
        service.batch_in_flight < open_to_batch
    }

    /// The less loaded of two random upstreams with room: of the own zone where one has room, and
    /// not tried before where that can be.
    fn choose(
        &mut self,
        now: Timestamp,
        name: &ServiceName,
        exchange: ExchangeId,
    ) -> Option<UpstreamId> {
        let service = self.services.get(name)?;
        let tried = &self.requests.get(&exchange)?.tried;
        let ignore_shares = self.cfg.injected_bug == InjectedBug::IgnoreShares;
        let rank = |upstream: &Upstream| {
            let retried = tried.binary_search(&upstream.info.id).is_ok();
            let far = upstream.info.zone != self.cfg.zone;
            (upstream.health.is_ejected(now), retried, far)
        };
        let has_room =
            |u: &&Upstream| u.has_room(now) || (ignore_shares && u.in_flight < u.info.slots);
        let known = service.upstreams.iter().filter_map(|id| self.upstreams.get(id));
        let open: Vec<&Upstream> = known.filter(has_room).collect();
        let best = open.iter().map(|u| rank(u)).min()?;
        let group: Vec<&Upstream> = open.into_iter().filter(|u| rank(u) == best).collect();
        let one = group[self.rng.usize(..group.len())];
        let other = group[self.rng.usize(..group.len())];
        let chosen = if other.load(now) < one.load(now) { other } else { one };
        Some(chosen.info.id.clone())
    }

    /// What this host holds and wants of the upstreams of `zone`, where `pool` gives the slots of
    /// an upstream that can be leased.
    pub fn slot_requests<F>(&self, now: Timestamp, zone: &str, pool: F) -> Vec<SlotRequest>
    where
        F: Fn(&UpstreamInfo) -> u32,
    {
        let of_zone = self.upstreams.values().filter(|u| u.info.zone == zone);
        let ask = |upstream: &Upstream| {
            let service = self.services.get(&upstream.info.service);
            let waiting = service.map_or(0, |s| {
                let all = s.lanes.len(Class::Interactive) + s.lanes.len(Class::Batch);
                all.div_ceil(s.upstreams.len().max(1))
            });
            let used = upstream.in_flight.saturating_sub(upstream.info.base_share);
            // A service that only other zones serve is kept warm.
            let warm = u32::from(!self.is_served_here(service));
            SlotRequest {
                upstream: upstream.info.id.clone(),
                pool: pool(&upstream.info),
                held: upstream.held(now),
                want: used + warm + u32::try_from(waiting).unwrap_or(u32::MAX / 4),
            }
        };
        of_zone.map(ask).collect()
    }

    fn is_served_here(&self, service: Option<&Service>) -> bool {
        let ids = service.into_iter().flat_map(|service| &service.upstreams);
        let mut known = ids.filter_map(|id| self.upstreams.get(id));
        known.any(|upstream| upstream.info.zone == self.cfg.zone)
    }

    /// Takes what was leased until `until`.
    pub fn apply_grants(
        &mut self,
        now: Timestamp,
        grants: &[SlotGrant],
        until: Timestamp,
    ) -> Vec<Action> {
        for grant in grants {
            if let Some(upstream) = self.upstreams.get_mut(&grant.upstream) {
                upstream.lease(grant.slots, until);
            }
        }
        self.tick(now)
    }

    /// How each upstream stands.
    pub fn upstream_stats(&self, now: Timestamp) -> Vec<UpstreamStats> {
        self.upstreams.values().map(|u| u.stats(now)).collect()
    }

    /// How each service stands.
    pub fn service_stats(&self) -> Vec<ServiceStats> {
        let stats = |(name, s): (&ServiceName, &Service)| ServiceStats {
            service: name.clone(),
            interactive_waiting: s.lanes.len(Class::Interactive),
            batch_waiting: s.lanes.len(Class::Batch),
            mean_latency: s.mean_latency,
        };
        self.services.iter().map(stats).collect()
    }
}

fn give_up(exchange: ExchangeId, outcome: Outcome, reason: String, wait: Duration) -> Action {
    let retry_after = wait.clamp(SHORTEST_RETRY_AFTER, LONGEST_RETRY_AFTER);
    Action::GiveUp { exchange, outcome, reason, retry_after }
}
