//! The request router of one entry host.

use crate::budget::RetryBudget;
use crate::queue::RequestQueue;
use crate::request::{Action, AttemptResult, Class, Outcome, Request};
use crate::shares::{SlotGrant, SlotRequest};
use crate::upstream::{Upstream, UpstreamInfo, UpstreamStats};
use std::time::Duration;
use types::{ExchangeId, Incarnation, ServiceName, SortedMap, Timestamp, UpstreamId, ZoneName};

/// Weight of the newest observation in the moving average of latency.
const LATENCY_EWMA_WEIGHT: f64 = 0.1;
/// Assumed mean latency of a service before its first answer.
const INITIAL_LATENCY: Duration = Duration::from_millis(50);
/// One slot in this many is reserved for interactive requests.
const RESERVED_ONE_IN: u32 = 4;
/// At most one upstream in this many of a service is ejected at a time.
const EJECTED_ONE_IN: usize = 3;
/// A request that this many upstreams have not answered is not sent to another one: it may be what
/// makes them fail.
const MAX_LOST_ATTEMPTS: u32 = 2;
/// Shortest retry delay that a caller is told.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest retry delay that a caller is told.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// A request is not retried when less time than this is left before its deadline.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(5);

/// Disables one mechanism, so that tests can check that they notice its absence. Only tests set
/// a value other than `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedBug {
    /// All mechanisms are enabled.
    #[default]
    None,
    /// A request that may have run is retried although it is not idempotent.
    RetryLost,
    /// Retries are not limited by the retry budget.
    UnlimitedRetries,
    /// The router uses all slots of an upstream, including those of other hosts.
    IgnoreShares,
    /// Batch requests use the slots reserved for interactive ones.
    NoReservedSlots,
}

/// Builds a [`Router`].
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
    /// Creates a builder for an entry host in `zone`. `seed` seeds the random choice of upstreams.
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

    /// Sets how many requests of one service and class may wait; 2000 by default.
    pub fn max_waiting(mut self, count: usize) -> Self {
        self.max_waiting = count;
        self
    }

    /// Sets how many attempts a request gets, including the first; at least 1, 3 by default.
    pub fn max_attempts(mut self, count: u32) -> Self {
        self.max_attempts = count.max(1);
        self
    }

    /// Sets the load that retries may add, as a fraction of requests; 0.1 by default.
    pub fn retry_fraction(mut self, fraction: f64) -> Self {
        self.retry_fraction = fraction;
        self
    }

    /// Disables a mechanism; for tests.
    pub fn inject_bug(mut self, injected_bug: InjectedBug) -> Self {
        self.injected_bug = injected_bug;
        self
    }

    /// Builds a router that knows no upstream yet.
    pub fn build(self) -> Router {
        Router {
            rng: fastrand::Rng::with_seed(self.seed),
            budget: RetryBudget::new(self.retry_fraction),
            cfg: self,
            services: SortedMap::default(),
            upstreams: SortedMap::default(),
            requests: SortedMap::default(),
            paused_until: Timestamp::ZERO,
        }
    }
}

#[derive(Clone, Debug)]
struct Service {
    upstreams: Vec<UpstreamId>,
    queue: RequestQueue,
    /// Batch requests in flight.
    batch_in_flight: u32,
    /// Moving average over complete answers.
    mean_latency: Duration,
}

impl Default for Service {
    fn default() -> Service {
        Service {
            upstreams: Vec::new(),
            queue: RequestQueue::default(),
            batch_in_flight: 0,
            mean_latency: INITIAL_LATENCY,
        }
    }
}

/// A request that waits or is in flight.
#[derive(Clone, Debug)]
struct OpenRequest {
    request: Request,
    /// Attempts made so far, including the one in flight.
    attempts: u32,
    /// Upstream and start time of the attempt in flight; `None` while the request waits.
    sent: Option<(UpstreamId, Timestamp)>,
    /// Upstreams of earlier attempts, sorted.
    tried: Vec<UpstreamId>,
    /// Upstreams that may have run the request and gave no whole answer.
    lost: u32,
}

/// Snapshot of one service's state, for status and metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceStats {
    /// Name of the service.
    pub service: ServiceName,
    /// Number of interactive requests that wait.
    pub interactive_waiting: usize,
    /// Number of batch requests that wait.
    pub batch_waiting: usize,
    /// Moving average of the time from sending an attempt to its complete answer.
    pub mean_latency: Duration,
}

/// Routes the requests of one entry host. See the [crate documentation](crate).
#[derive(Clone, Debug)]
pub struct Router {
    cfg: RouterBuilder,
    rng: fastrand::Rng,
    budget: RetryBudget,
    services: SortedMap<ServiceName, Service>,
    upstreams: SortedMap<UpstreamId, Upstream>,
    requests: SortedMap<ExchangeId, OpenRequest>,
    /// Nothing is sent before this time; zero when not paused.
    paused_until: Timestamp,
}

impl Router {
    /// Adds an upstream or replaces its announcement, and sends waiting requests to it.
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

    /// Removes an upstream. It gets no new requests; those in flight there continue.
    pub fn remove_upstream(&mut self, id: &UpstreamId) {
        let Some(upstream) = self.upstreams.remove(id) else { return };
        if let Some(service) = self.services.get_mut(&upstream.info.service) {
            service.upstreams.retain(|u| u != id);
        }
    }

    /// Sends no request before `until`, for use while the known upstreams may be out of date.
    /// Requests wait meanwhile. `Timestamp::ZERO` ends the pause.
    pub fn pause_until(&mut self, until: Timestamp) {
        self.paused_until = until;
    }

    /// Iterates over the known upstreams and their incarnations.
    pub fn upstreams(&self) -> impl Iterator<Item = (&UpstreamId, Incarnation)> {
        self.upstreams.iter().map(|(id, u)| (id, u.info.incarnation))
    }

    /// Accepts a request: queues it, and sends it at once if an upstream has a free slot. Fails it
    /// immediately if the service has no upstream, the queue is full, or the request is expected
    /// to miss its deadline.
    pub fn submit(&mut self, now: Timestamp, request: Request) -> Vec<Action> {
        let (exchange, service, class) = (request.exchange, request.service.clone(), request.class);
        let entry = self.services.get_or_insert_with(service.clone(), Service::default);
        if entry.upstreams.is_empty() {
            let reason = format!("service `{service}` has no upstream");
            return vec![give_up(exchange, Outcome::NotRun, reason, MIN_RETRY_AFTER)];
        }
        if let Some(refused) = self.refuse_early(now, &request) {
            return vec![refused];
        }
        self.budget.record_request();
        let entry = self.services.get_mut(&service).expect("inserted above");
        entry.queue.push(class, request.deadline, exchange);
        let open = OpenRequest { request, attempts: 0, sent: None, tried: Vec::new(), lost: 0 };
        self.requests.insert(exchange, open);
        self.send_waiting(now, &service)
    }

    /// Sheds load: refuses a request if the queue is full or its deadline would pass before it
    /// could be sent. Returns `None` if the request may wait.
    fn refuse_early(&self, now: Timestamp, request: &Request) -> Option<Action> {
        let service = self.services.get(&request.service)?;
        let wait = self.expected_wait(now, service, request.class);
        let waiting = service.queue.len(request.class);
        let reason = if waiting >= self.cfg.max_waiting {
            format!("{waiting} requests wait already")
        } else if waiting > 0 && now + wait >= request.deadline {
            format!("it would wait about {wait:?}, longer than its deadline allows")
        } else {
            return None;
        };
        Some(give_up(request.exchange, Outcome::NotRun, reason, wait))
    }

    /// Estimates how long a new request of this class would wait.
    fn expected_wait(&self, now: Timestamp, service: &Service, class: Class) -> Duration {
        let slots = self.total_slot_limit(now, service).max(1);
        let ahead = match class {
            Class::Interactive => service.queue.len(Class::Interactive),
            Class::Batch => service.queue.len(Class::Interactive) + service.queue.len(Class::Batch),
        };
        service.mean_latency.mul_f64(ahead as f64 / f64::from(slots))
    }

    /// Requests that this host may have in flight for the service, over all upstreams.
    fn total_slot_limit(&self, now: Timestamp, service: &Service) -> u32 {
        let known = service.upstreams.iter().filter_map(|id| self.upstreams.get(id));
        known.map(|u| self.slot_limit(now, u)).sum()
    }

    fn slot_limit(&self, now: Timestamp, upstream: &Upstream) -> u32 {
        if self.cfg.injected_bug == InjectedBug::IgnoreShares {
            upstream.info.slots
        } else {
            upstream.limit(now)
        }
    }

    /// Handles the end of an attempt. A call for any other attempt than the one in flight has no
    /// effect.
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
        open.lost += u32::from(result == AttemptResult::Lost);
        if let Err(i) = open.tried.binary_search(&upstream) {
            open.tried.insert(i, upstream.clone());
        }
        let service = open.request.service.clone();
        let is_batch = open.request.class == Class::Batch;
        self.release_slot(&service, &upstream, is_batch);
        self.record_result(now, &service, &upstream, result, now.saturating_sub(sent));
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

    /// Handles that the caller has disconnected: drops the request if it still waits. A request
    /// in flight continues.
    pub fn abandon(&mut self, exchange: ExchangeId) {
        let Some(open) = self.requests.get(&exchange) else { return };
        if open.sent.is_some() {
            return;
        }
        let open = self.requests.remove(&exchange).expect("looked up above");
        if let Some(service) = self.services.get_mut(&open.request.service) {
            service.queue.remove(open.request.class, open.request.deadline, exchange);
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

    /// Updates the service's latency and the upstream's health from the result of an attempt.
    fn record_result(
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
            let next = mean + LATENCY_EWMA_WEIGHT * (took.as_secs_f64() - mean);
            entry.mean_latency = Duration::from_secs_f64(next.max(0.0));
        }
        let ejected = entry.upstreams.iter().filter_map(|id| self.upstreams.get(id));
        let ejected = ejected.filter(|u| u.health.is_ejected(now)).count();
        let may_eject = (ejected + 1) * EJECTED_ONE_IN <= entry.upstreams.len();
        let Some(upstream) = self.upstreams.get_mut(upstream) else { return };
        match result {
            AttemptResult::Answered { good: true } => upstream.health.record_success(),
            // A full upstream is healthy.
            AttemptResult::Refused => {}
            _ => {
                if upstream.health.record_failure() && may_eject {
                    upstream.health.eject(now);
                }
            }
        }
    }

    /// Queues the request for a retry if it certainly did not run or is idempotent, and if
    /// deadline, attempts and retry budget allow it. Otherwise fails the request.
    fn retry_or_give_up(
        &mut self,
        now: Timestamp,
        exchange: ExchangeId,
        result: AttemptResult,
    ) -> Vec<Action> {
        let open = self.requests.get(&exchange).expect("the caller looked the request up");
        let injected_bug = self.cfg.injected_bug;
        let safe =
            open.lost == 0 || open.request.idempotent || injected_bug == InjectedBug::RetryLost;
        let unlimited = injected_bug == InjectedBug::UnlimitedRetries;
        let in_time = now + MIN_ATTEMPT_TIME < open.request.deadline;
        let attempts_left = open.attempts < self.cfg.max_attempts;
        let harmless = open.lost < MAX_LOST_ATTEMPTS || unlimited;
        let may_retry = safe && harmless && in_time && attempts_left;
        if may_retry && (unlimited || self.budget.try_spend()) {
            let request = &open.request;
            let service =
                self.services.get_mut(&request.service).expect("a request's service exists");
            service.queue.push(request.class, request.deadline, exchange);
            return Vec::new();
        }
        let reason = match result {
            AttemptResult::Refused => "the upstream was full",
            AttemptResult::NotSent => "the upstream could not be reached",
            _ => "the upstream gave no whole answer",
        };
        self.fail(now, exchange, reason.to_string())
    }

    /// Ends a request without an answer from an upstream.
    fn fail(&mut self, now: Timestamp, exchange: ExchangeId, reason: String) -> Vec<Action> {
        let Some(open) = self.requests.remove(&exchange) else { return Vec::new() };
        let outcome = if open.lost > 0 { Outcome::Unknown } else { Outcome::NotRun };
        let service = self.services.get(&open.request.service);
        let wait = service.map_or(MIN_RETRY_AFTER, |service| {
            self.expected_wait(now, service, open.request.class)
        });
        vec![give_up(exchange, outcome, reason, wait)]
    }

    /// Fails waiting requests whose deadline has passed and sends those for which slots have
    /// become free.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        for name in names {
            while let Some(exchange) =
                self.services.get_mut(&name).and_then(|service| service.queue.pop_expired(now))
            {
                actions.extend(self.fail(now, exchange, "its deadline passed".to_string()));
            }
            actions.extend(self.send_waiting(now, &name));
        }
        actions
    }

    /// Latest time at which [`Router::tick`] must be called; `None` if no request waits.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let next = self.services.values().filter_map(|service| service.queue.next_deadline()).min();
        next.map(|at| if self.paused_until.is_zero() { at } else { at.min(self.paused_until) })
    }

    /// Returns whether a request waits or is in flight.
    pub fn contains(&self, exchange: ExchangeId) -> bool {
        self.requests.contains_key(&exchange)
    }

    /// Number of requests that wait or are in flight.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    fn send_waiting(&mut self, now: Timestamp, name: &ServiceName) -> Vec<Action> {
        let mut actions = Vec::new();
        if now < self.paused_until {
            return actions;
        }
        self.paused_until = Timestamp::ZERO;
        for class in [Class::Interactive, Class::Batch] {
            while let Some(action) = self.send_next(now, name, class) {
                actions.push(action);
            }
        }
        actions
    }

    fn send_next(&mut self, now: Timestamp, name: &ServiceName, class: Class) -> Option<Action> {
        let service = self.services.get(name)?;
        let exchange = service.queue.peek(class)?;
        if class == Class::Batch && !self.may_send_batch(now, service) {
            return None;
        }
        let id = self.choose_upstream(now, name, exchange)?;
        let service = self.services.get_mut(name)?;
        service.queue.pop(class);
        service.batch_in_flight += u32::from(class == Class::Batch);
        self.upstreams.get_mut(&id)?.in_flight += 1;
        let open = self.requests.get_mut(&exchange)?;
        open.attempts += 1;
        open.sent = Some((id.clone(), now));
        let (attempt, until) = (open.attempts, open.request.deadline);
        Some(Action::Send { exchange, attempt, upstream: id, until })
    }

    /// Returns whether another batch request leaves the slots reserved for interactive ones free.
    /// One batch request may always be in flight.
    fn may_send_batch(&self, now: Timestamp, service: &Service) -> bool {
        if self.cfg.injected_bug == InjectedBug::NoReservedSlots {
            return true;
        }
        let slots = self.total_slot_limit(now, service);
        let reserved = slots.div_ceil(RESERVED_ONE_IN);
        let open_to_batch = slots.saturating_sub(reserved).max(1);
        service.batch_in_flight < open_to_batch
    }

    /// Chooses an upstream with a free slot by power of two random choices. Upstreams that are not
    /// ejected are preferred, then those not tried before, then those of this host's zone.
    fn choose_upstream(
        &mut self,
        now: Timestamp,
        name: &ServiceName,
        exchange: ExchangeId,
    ) -> Option<UpstreamId> {
        let service = self.services.get(name)?;
        let tried = &self.requests.get(&exchange)?.tried;
        let ignore_shares = self.cfg.injected_bug == InjectedBug::IgnoreShares;
        let rank = |upstream: &Upstream| {
            let already_tried = tried.binary_search(&upstream.info.id).is_ok();
            let other_zone = upstream.info.zone != self.cfg.zone;
            (upstream.health.is_ejected(now), already_tried, other_zone)
        };
        let has_free_slot =
            |u: &&Upstream| u.has_free_slot(now) || (ignore_shares && u.in_flight < u.info.slots);
        let known = service.upstreams.iter().filter_map(|id| self.upstreams.get(id));
        let open: Vec<&Upstream> = known.filter(has_free_slot).collect();
        let best = open.iter().map(|u| rank(u)).min()?;
        let group: Vec<&Upstream> = open.into_iter().filter(|u| rank(u) == best).collect();
        let one = group[self.rng.usize(..group.len())];
        let other = group[self.rng.usize(..group.len())];
        let chosen = if other.load(now) < one.load(now) { other } else { one };
        Some(chosen.info.id.clone())
    }

    /// Returns this host's requests for leased slots of the upstreams in `zone`. `pool` returns the
    /// number of an upstream's slots that can be leased.
    pub fn slot_requests<F>(&self, now: Timestamp, zone: &str, pool: F) -> Vec<SlotRequest>
    where
        F: Fn(&UpstreamInfo) -> u32,
    {
        let of_zone = self.upstreams.values().filter(|u| u.info.zone == zone);
        let request = |upstream: &Upstream| {
            let service = self.services.get(&upstream.info.service);
            let waiting = service.map_or(0, |s| {
                let all = s.queue.len(Class::Interactive) + s.queue.len(Class::Batch);
                all.div_ceil(s.upstreams.len().max(1))
            });
            let used = upstream.in_flight.saturating_sub(upstream.info.base_share);
            // One slot is held for a service without upstreams in this zone, so that its first
            // request needn't wait for a lease.
            let keep_warm = u32::from(!self.is_served_in_own_zone(service));
            SlotRequest {
                upstream: upstream.info.id.clone(),
                pool: pool(&upstream.info),
                held: upstream.held(now),
                want: used + keep_warm + u32::try_from(waiting).unwrap_or(u32::MAX / 4),
            }
        };
        of_zone.map(request).collect()
    }

    fn is_served_in_own_zone(&self, service: Option<&Service>) -> bool {
        let ids = service.into_iter().flat_map(|service| &service.upstreams);
        let mut known = ids.filter_map(|id| self.upstreams.get(id));
        known.any(|upstream| upstream.info.zone == self.cfg.zone)
    }

    /// Applies slot leases that expire at `until`, and sends waiting requests.
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

    /// State of each upstream, in order of id.
    pub fn upstream_stats(&self, now: Timestamp) -> Vec<UpstreamStats> {
        self.upstreams.values().map(|u| u.stats(now)).collect()
    }

    /// State of each service, in order of name.
    pub fn service_stats(&self) -> Vec<ServiceStats> {
        let stats = |(name, s): (&ServiceName, &Service)| ServiceStats {
            service: name.clone(),
            interactive_waiting: s.queue.len(Class::Interactive),
            batch_waiting: s.queue.len(Class::Batch),
            mean_latency: s.mean_latency,
        };
        self.services.iter().map(stats).collect()
    }
}

fn give_up(exchange: ExchangeId, outcome: Outcome, reason: String, wait: Duration) -> Action {
    let retry_after = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    Action::GiveUp { exchange, outcome, reason, retry_after }
}
