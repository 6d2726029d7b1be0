//! Dividing an upstream's slots between entry hosts.
//!
//! Each entry host of the upstream's own zone always has a base share, so that it goes on serving
//! when its zone has no leader. The rest is leased by the zone's leader to whoever asks, own zone
//! or not. A host's lease counts from when it *sent* its request, the leader's from when it
//! *received* it, so the host's ends first. A host uses only the answer to its latest request;
//! what it reports as held is therefore all that it can use until that answer comes.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use types::{HostId, SortedMap, Timestamp, UpstreamId};

/// The slots of an upstream that are always one own-zone host's: half of them, evenly.
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

/// Requests begun under a lease may go on for this long after it; until then their slots count.
const GRACE: Duration = Duration::from_secs(1);

/// What a host holds and wants of one upstream, besides its base share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Slots that can be leased: all but the base shares.
    pub pool: u32,
    /// Leased slots held or in use.
    pub held: u32,
    /// Leased slots wanted.
    pub want: u32,
}

/// What a host may use until its lease ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Leased slots.
    pub slots: u32,
}

#[derive(Clone, Copy, Debug)]
struct Holding {
    slots: u32,
    want: u32,
    own_zone: bool,
    until: Timestamp,
}

/// What a zone's leader has leased. Lost with leadership; see [`SlotAllocator::new`].
#[derive(Clone, Debug)]
pub struct SlotAllocator {
    lease: Duration,
    /// Until then leases of an earlier leader may run, of which this one does not know.
    opens: Timestamp,
    upstreams: SortedMap<UpstreamId, SortedMap<HostId, Holding>>,
}

impl SlotAllocator {
    /// A ledger of a leader that took over at `now`. For one lease it grants only what a host
    /// already holds, which an earlier leader granted; then all other leases have ended.
    ///
    /// ```
    /// use routing::{SlotRequest, SlotAllocator};
    /// use std::time::Duration;
    /// let lease = Duration::from_secs(5);
    /// let mut ledger = SlotAllocator::new(Duration::ZERO, lease);
    /// let ask = [SlotRequest { upstream: "u".into(), pool: 5, held: 1, want: 3 }];
    /// let early = ledger.renew(Duration::from_secs(1), "a-1", true, &ask);
    /// assert_eq!(early[0].slots, 1);
    /// let later = ledger.renew(Duration::from_secs(6), "a-1", true, &ask);
    /// assert_eq!(later[0].slots, 5, "nobody else asks");
    /// ```
    pub fn new(now: Timestamp, lease: Duration) -> SlotAllocator {
        SlotAllocator { lease, opens: now + lease + GRACE, upstreams: SortedMap::default() }
    }

    /// Renews a host's leases.
    pub fn renew(
        &mut self,
        now: Timestamp,
        host: &str,
        own_zone: bool,
        asks: &[SlotRequest],
    ) -> Vec<SlotGrant> {
        let grant = |ask: &SlotRequest| {
            let slots = self.renew_one(now, host, own_zone, ask);
            SlotGrant { upstream: ask.upstream.clone(), slots }
        };
        asks.iter().map(grant).collect()
    }

    /// Forgets upstreams that nobody holds any more.
    pub fn remove_expired(&mut self, now: Timestamp) {
        self.upstreams.retain(|_, hosts| {
            hosts.retain(|_, holding| now < holding.until);
            !hosts.is_empty()
        });
    }

    fn renew_one(&mut self, now: Timestamp, host: &str, own_zone: bool, ask: &SlotRequest) -> u32 {
        let hosts = self.upstreams.get_or_insert_with(ask.upstream.clone(), SortedMap::default);
        hosts.retain(|_, holding| now < holding.until);
        let until = now + self.lease + GRACE;
        let mine = Holding { slots: ask.held, want: ask.want, own_zone, until };
        hosts.insert(host.to_string(), mine);
        let others: u32 = hosts.iter().filter(|(h, _)| *h != host).map(|(_, x)| x.slots).sum();
        let free = ask.pool.saturating_sub(others);
        let granted = if now < self.opens {
            ask.held.min(free)
        } else {
            fair_part(hosts, host, ask.pool).min(free)
        };
        // Until the host says that it holds less, it may hold what it reported.
        let counted = granted.max(ask.held);
        hosts.insert(host.to_string(), Holding { slots: counted, ..mine });
        granted
    }
}

/// A host's part of the pool. Own-zone hosts share all of it while no other zone wants any; else
/// they share what they want and one each, so that idle ones start fast, and the rest goes to
/// other zones.
fn fair_part(hosts: &SortedMap<HostId, Holding>, host: &str, pool: u32) -> u32 {
    let Some(mine) = hosts.get(host) else { return 0 };
    let own = wants(hosts, true, 1);
    let others = wants(hosts, false, 0);
    let sum = |wants: &[(&HostId, u32)]| wants.iter().map(|(_, want)| want).sum::<u32>();
    let for_own = if sum(&others) == 0 { pool } else { pool.min(sum(&own)) };
    if mine.own_zone {
        divide(for_own, &own, host)
    } else {
        divide(pool - for_own, &others, host)
    }
}

fn wants(hosts: &SortedMap<HostId, Holding>, own_zone: bool, extra: u32) -> Vec<(&HostId, u32)> {
    let group = hosts.iter().filter(|(_, x)| x.own_zone == own_zone);
    group.map(|(host, x)| (host, x.want + extra)).collect()
}

/// Divides `pool` in proportion to what is wanted; the rounding goes to the first hosts by name.
fn divide(pool: u32, wants: &[(&HostId, u32)], host: &str) -> u32 {
    let total: u64 = wants.iter().map(|(_, want)| u64::from(*want)).sum();
    if total == 0 {
        return 0;
    }
    let part = |want: u32| (u64::from(pool) * u64::from(want) / total) as u32;
    let left = pool - wants.iter().map(|(_, want)| part(*want)).sum::<u32>();
    let position = wants.iter().position(|(h, _)| *h == host);
    let Some(i) = position else { return 0 };
    part(wants[i].1) + u32::from((i as u32) < left)
}
