//! One upstream, as this entry host sees it.

use crate::health::Health;
use std::time::Duration;
use types::{Incarnation, ServiceName, Timestamp, UpstreamId, ZoneName};

/// A new upstream reaches its full share after this time.
const SLOW_START: Duration = Duration::from_secs(10);

/// What an upstream announced, with this host's fixed part of it.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamInfo {
    /// Its address.
    pub id: UpstreamId,
    /// The service it serves.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests it runs at once.
    pub slots: u32,
    /// Which of its lives this is.
    pub incarnation: Incarnation,
    /// Slots that are always this host's.
    pub base_share: u32,
}

/// Slots leased from the upstream's zone.
#[derive(Clone, Copy, Debug, Default)]
struct Lease {
    slots: u32,
    until: Timestamp,
}

/// How an upstream stands, for status and metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamStats {
    /// The upstream.
    pub info: UpstreamInfo,
    /// Requests under way from this host.
    pub in_flight: u32,
    /// Requests that this host may have under way.
    pub limit: u32,
    /// Whether it is set aside for failing.
    pub ejected: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub(crate) info: UpstreamInfo,
    pub(crate) in_flight: u32,
    pub(crate) health: Health,
    lease: Lease,
    since: Timestamp,
}

impl Upstream {
    pub(crate) fn new(info: UpstreamInfo, now: Timestamp) -> Upstream {
        Upstream {
            info,
            in_flight: 0,
            health: Health::default(),
            lease: Lease::default(),
            since: now,
        }
    }

    pub(crate) fn renew(&mut self, info: UpstreamInfo, now: Timestamp) {
        if info.incarnation != self.info.incarnation {
            self.health = Health::default();
            self.since = now;
        }
        self.info = info;
    }

    pub(crate) fn lease(&mut self, slots: u32, until: Timestamp) {
        self.lease = Lease { slots, until };
    }

    /// Leased slots that this host holds or still uses.
    pub(crate) fn held(&self, now: Timestamp) -> u32 {
        let used = self.in_flight.saturating_sub(self.info.base_share);
        if now < self.lease.until {
            self.lease.slots.max(used)
        } else {
            used
        }
    }

    /// Requests that this host may have under way.
    pub(crate) fn share(&self, now: Timestamp) -> u32 {
        let leased = if now < self.lease.until { self.lease.slots } else { 0 };
        (self.info.base_share + leased).min(self.info.slots)
    }

    /// The share, less while the upstream is new.
    pub(crate) fn limit(&self, now: Timestamp) -> u32 {
        let share = self.share(now);
        let age = now.saturating_sub(self.since);
        if age >= SLOW_START || share == 0 {
            return share;
        }
        let warm = f64::from(share) * age.as_secs_f64() / SLOW_START.as_secs_f64();
        (warm.ceil() as u32).clamp(1, share)
    }

    pub(crate) fn has_room(&self, now: Timestamp) -> bool {
        self.in_flight < self.limit(now)
    }

    /// In flight by limit; lower is better.
    pub(crate) fn load(&self, now: Timestamp) -> f64 {
        f64::from(self.in_flight) / f64::from(self.limit(now).max(1))
    }

    pub(crate) fn stats(&self, now: Timestamp) -> UpstreamStats {
        UpstreamStats {
            info: self.info.clone(),
            in_flight: self.in_flight,
            limit: self.limit(now),
            ejected: self.health.is_ejected(now),
        }
    }
}
