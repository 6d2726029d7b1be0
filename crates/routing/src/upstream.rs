//! State of one upstream on this entry host.

use crate::health::Health;
use std::time::Duration;
use types::{Incarnation, ServiceName, Timestamp, UpstreamId, ZoneName};

/// Time over which the limit of a new or restarted upstream rises linearly to its full share.
const SLOW_START: Duration = Duration::from_secs(10);

/// An upstream's announcement, with this host's base share of its slots.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamInfo {
    /// Address of the upstream, `ip:port`.
    pub id: UpstreamId,
    /// The service that the upstream serves.
    pub service: ServiceName,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Incarnation number, which grows when the upstream restarts.
    pub incarnation: Incarnation,
    /// Slots that this host may always use, without a lease.
    pub base_share: u32,
}

/// Slots leased from the leader of the upstream's zone.
#[derive(Clone, Copy, Debug, Default)]
struct Lease {
    slots: u32,
    until: Timestamp,
}

/// Snapshot of one upstream's state, for status and metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamStats {
    /// Announcement of the upstream.
    pub info: UpstreamInfo,
    /// Requests in flight from this host.
    pub in_flight: u32,
    /// Largest number of requests that this host may have in flight there.
    pub limit: u32,
    /// Whether the upstream is ejected because of failures.
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

    /// Replaces the announcement. A new incarnation starts with a clean health record and slow
    /// start.
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

    /// Leased slots that this host holds, or that requests from an expired lease still use.
    pub(crate) fn held(&self, now: Timestamp) -> u32 {
        let used = self.in_flight.saturating_sub(self.info.base_share);
        if now < self.lease.until {
            self.lease.slots.max(used)
        } else {
            used
        }
    }

    /// Slots of the upstream that this host may use: base share plus lease.
    pub(crate) fn share(&self, now: Timestamp) -> u32 {
        let leased = if now < self.lease.until { self.lease.slots } else { 0 };
        (self.info.base_share + leased).min(self.info.slots)
    }

    /// The share, reduced during slow start.
    pub(crate) fn limit(&self, now: Timestamp) -> u32 {
        let share = self.share(now);
        let age = now.saturating_sub(self.since);
        if age >= SLOW_START || share == 0 {
            return share;
        }
        let ramped = f64::from(share) * age.as_secs_f64() / SLOW_START.as_secs_f64();
        (ramped.ceil() as u32).clamp(1, share)
    }

    pub(crate) fn has_free_slot(&self, now: Timestamp) -> bool {
        self.in_flight < self.limit(now)
    }

    /// Requests in flight relative to the limit; lower is better.
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
