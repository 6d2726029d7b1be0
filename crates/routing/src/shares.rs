//! Division of an upstream's slots between entry hosts.
//!
//! Each entry host in the upstream's own zone always has a base share of the slots, so that it
//! keeps serving while its zone has no leader. The zone's leader leases the remaining slots to
//! hosts of any zone that request them. The host counts its lease from the time it *sent* the
//! request and the leader from the time it *received* it, so the lease expires on the host first.
//! A host applies only the answer to its latest request, so it can't use more slots than that
//! request reported as held until the answer arrives.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use types::{HostId, SortedMap, Timestamp, UpstreamId};

/// Returns the number of slots that each of `hosts` own-zone hosts has without a lease: half of
/// all slots, divided evenly, but at least one if there are enough.
///
/// ```
/// assert_eq!(routing::base_share(8, 3), 1);
/// assert_eq!(routing::base_share(8, 2), 2);
/// assert_eq!(routing::base_share(1, 3), 0);
/// ```
pub fn base_share(slots: u32, hosts: u32) -> u32 {
    if slots < hosts || hosts == 0 {
        return 0;
    }
    (slots / (2 * hosts)).max(1)
}

/// Requests that started under a lease may run for this long after it expires; until then their
/// slots count as leased.
const LEASE_GRACE: Duration = Duration::from_secs(1);

/// A host's request for leased slots of one upstream, in addition to its base share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Address of the upstream, `ip:port`.
    pub upstream: UpstreamId,
    /// Slots that can be leased in total: all except the base shares.
    pub pool: u32,
    /// Leased slots that the host holds or still uses.
    pub held: u32,
    /// Leased slots that the host could use now.
    pub want: u32,
}

/// Slots of one upstream that a host may use until its lease expires.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    /// Address of the upstream, `ip:port`.
    pub upstream: UpstreamId,
    /// Number of leased slots, which replaces the number granted before.
    pub slots: u32,
}

/// Leased slots of one host, as counted by the leader.
#[derive(Clone, Copy, Debug)]
struct HeldSlots {
    slots: u32,
    want: u32,
    own_zone: bool,
    /// End of the lease and its grace period.
    until: Timestamp,
}

/// The slot leases that a zone's leader has granted. They are kept in memory only, so a new
/// leader starts without them; see [`SlotAllocator::new`].
#[derive(Clone, Debug)]
pub struct SlotAllocator {
    lease: Duration,
    /// Until this time leases of an earlier leader, unknown to this one, may be in force.
    opens_at: Timestamp,
    upstreams: SortedMap<UpstreamId, SortedMap<HostId, HeldSlots>>,
}

impl SlotAllocator {
    /// Creates the allocator of a leader that took over at `now`. For the length of one lease,
    /// and a grace period for requests in flight, it grants each host only the slots that the host
    /// already holds from an earlier leader. After that all leases of the earlier leader have
    /// expired.
    ///
    /// ```
    /// use routing::{SlotAllocator, SlotRequest};
    /// use std::time::Duration;
    /// let lease = Duration::from_secs(5);
    /// let mut allocator = SlotAllocator::new(Duration::ZERO, lease);
    /// let request = [SlotRequest { upstream: "u".into(), pool: 5, held: 1, want: 3 }];
    /// let early = allocator.renew(Duration::from_secs(1), "a-1", true, &request);
    /// assert_eq!(early[0].slots, 1);
    /// let later = allocator.renew(Duration::from_secs(6), "a-1", true, &request);
    /// assert_eq!(later[0].slots, 5, "no other host wants slots");
    /// ```
    pub fn new(now: Timestamp, lease: Duration) -> SlotAllocator {
        SlotAllocator {
            lease,
            opens_at: now + lease + LEASE_GRACE,
            upstreams: SortedMap::default(),
        }
    }

    /// Renews a host's leases and returns one grant per request, in the same order. `own_zone`
    /// says whether the host is in the zone of the upstreams.
    pub fn renew(
        &mut self,
        now: Timestamp,
        host: &str,
        own_zone: bool,
        requests: &[SlotRequest],
    ) -> Vec<SlotGrant> {
        let grant = |request: &SlotRequest| {
            let slots = self.renew_one(now, host, own_zone, request);
            SlotGrant { upstream: request.upstream.clone(), slots }
        };
        requests.iter().map(grant).collect()
    }

    /// Removes expired leases, and upstreams that have none left.
    pub fn remove_expired(&mut self, now: Timestamp) {
        self.upstreams.retain(|_, hosts| {
            hosts.retain(|_, held| now < held.until);
            !hosts.is_empty()
        });
    }

    fn renew_one(
        &mut self,
        now: Timestamp,
        host: &str,
        own_zone: bool,
        request: &SlotRequest,
    ) -> u32 {
        let hosts = self.upstreams.get_or_insert_with(request.upstream.clone(), SortedMap::default);
        hosts.retain(|_, held| now < held.until);
        let until = now + self.lease + LEASE_GRACE;
        let own = HeldSlots { slots: request.held, want: request.want, own_zone, until };
        hosts.insert(host.to_string(), own);
        let others: u32 = hosts.iter().filter(|(h, _)| *h != host).map(|(_, x)| x.slots).sum();
        let free = request.pool.saturating_sub(others);
        let granted = if now < self.opens_at {
            request.held.min(free)
        } else {
            fair_share(hosts, host, request.pool).min(free)
        };
        // The host may use what it reported as held until its next request reports less.
        let counted = granted.max(request.held);
        hosts.insert(host.to_string(), HeldSlots { slots: counted, ..own });
        granted
    }
}

/// Returns a host's share of the pool. Own-zone hosts divide the whole pool while no other zone
/// wants a slot. Otherwise they divide as much as they want plus one slot each, so that idle hosts
/// can start requests without waiting for a lease, and other zones get the rest.
fn fair_share(hosts: &SortedMap<HostId, HeldSlots>, host: &str, pool: u32) -> u32 {
    let Some(own) = hosts.get(host) else { return 0 };
    let own_wants = wants(hosts, true, 1);
    let other_wants = wants(hosts, false, 0);
    let sum = |wants: &[(&HostId, u32)]| wants.iter().map(|(_, want)| want).sum::<u32>();
    let for_own = if sum(&other_wants) == 0 { pool } else { pool.min(sum(&own_wants)) };
    if own.own_zone {
        divide(for_own, &own_wants, host)
    } else {
        divide(pool - for_own, &other_wants, host)
    }
}

/// Returns each host's wanted slots plus `extra`, for hosts in or outside the own zone.
fn wants(hosts: &SortedMap<HostId, HeldSlots>, own_zone: bool, extra: u32) -> Vec<(&HostId, u32)> {
    let group = hosts.iter().filter(|(_, x)| x.own_zone == own_zone);
    group.map(|(host, x)| (host, x.want + extra)).collect()
}

/// Divides `pool` in proportion to the wanted slots and returns the part of `host`. Slots left
/// over by rounding go to the first hosts by name.
fn divide(pool: u32, wants: &[(&HostId, u32)], host: &str) -> u32 {
    let total: u64 = wants.iter().map(|(_, want)| u64::from(*want)).sum();
    if total == 0 {
        return 0;
    }
    let part = |want: u32| (u64::from(pool) * u64::from(want) / total) as u32;
    let remainder = pool - wants.iter().map(|(_, want)| part(*want)).sum::<u32>();
    let position = wants.iter().position(|(h, _)| *h == host);
    let Some(i) = position else { return 0 };
    part(wants[i].1) + u32::from((i as u32) < remainder)
}
