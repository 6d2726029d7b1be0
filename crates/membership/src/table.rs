//! The table of upstreams that each entry host keeps.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use types::{
    Incarnation, Refusal, RefusalKind, ServiceName, SortedMap, Timestamp, UpstreamId, ZoneName,
};
use xxhash_rust::xxh3::xxh3_64;

/// How long the record of a gone upstream is kept, so that delayed messages cannot revive it.
const GONE_RETENTION: Duration = Duration::from_secs(3_600);

/// What an upstream announces about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The upstream's address, `ip:port`.
    pub upstream: UpstreamId,
    /// The service that the upstream provides.
    pub service: ServiceName,
    /// The upstream's availability zone.
    pub zone: ZoneName,
    /// Number of requests that the upstream runs concurrently, at least 1.
    pub slots: u32,
    /// Number of connections that the upstream accepts, at least `slots`.
    pub connections: u32,
    /// Incarnation number, larger than that of any earlier process of this upstream.
    pub incarnation: Incarnation,
}

impl Announcement {
    /// Validates the fields. The error states the field and the cause.
    pub fn check(&self) -> Result<(), String> {
        if self.upstream.parse::<std::net::SocketAddr>().is_err() {
            return Err(format!("upstream: `{}` is not ip:port", self.upstream));
        }
        if self.service.is_empty() {
            return Err("service: must not be empty".to_string());
        }
        if self.slots == 0 {
            return Err("slots: must be at least 1".to_string());
        }
        if self.connections < self.slots {
            return Err(format!(
                "connections: {} are fewer than the {} slots",
                self.connections, self.slots
            ));
        }
        Ok(())
    }
}

/// Whether an upstream gets requests. Within one incarnation, later variants take precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// The upstream gets requests.
    Serving,
    /// The upstream finishes its requests and gets no new ones.
    Leaving,
    /// No renewal arrived within the silence timeout, as happens also after an upstream has left.
    Gone,
}

/// The record of an upstream, as exchanged between hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The upstream's latest announcement.
    pub announcement: Announcement,
    /// Whether the upstream gets requests.
    pub status: Status,
}

impl Record {
    /// Of two records of an upstream, the one with the greater precedence wins.
    fn precedence(&self) -> (Incarnation, Status) {
        (self.announcement.incarnation, self.status)
    }
}

/// A renewal of an upstream, forwarded to the hosts of its zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// Address of the upstream that renewed.
    pub upstream: UpstreamId,
    /// Incarnation of the upstream that renewed.
    pub incarnation: Incarnation,
}

#[derive(Clone, Debug)]
struct Entry {
    record: Record,
    /// Time of the last renewal, or of the last change of the record if that was later.
    last_heard: Timestamp,
}

/// The upstreams that an entry host knows.
#[derive(Clone, Debug)]
pub struct Table {
    zone: ZoneName,
    silence_timeout: Duration,
    entries: SortedMap<UpstreamId, Entry>,
    /// Upstreams whose record changed and must be sent to other hosts, sorted.
    changed: Vec<UpstreamId>,
    /// Upstreams that renewed at this host and whose renewal must be forwarded, sorted.
    renewed: Vec<UpstreamId>,
    /// Test-only: announcements and records of an ended incarnation are accepted.
    late_renewals_win: bool,
}

impl Table {
    /// Creates the empty table of a host in `zone`. An upstream of that zone without a renewal for
    /// `silence_timeout` is marked as gone.
    pub fn new(zone: &str, silence_timeout: Duration) -> Table {
        Table {
            zone: zone.to_string(),
            silence_timeout,
            entries: SortedMap::default(),
            changed: Vec::new(),
            renewed: Vec::new(),
            late_renewals_win: false,
        }
    }

    /// Injects a bug for tests: a late renewal brings back an upstream that is leaving or gone.
    pub fn accept_late_renewals(&mut self) {
        self.late_renewals_win = true;
    }

    /// Handles an upstream's announcement, which also serves as its renewal. Refuses one of
    /// another zone, of an old incarnation, or of an incarnation that is leaving or gone.
    pub fn announce(&mut self, now: Timestamp, announcement: Announcement) -> Result<(), Refusal> {
        let bad = |cause| Refusal::new(RefusalKind::BadInput, cause);
        announcement.check().map_err(bad)?;
        if announcement.zone != self.zone {
            return Err(bad(format!(
                "zone: `{}` announces to its own entry hosts, not to those of `{}`",
                announcement.zone, self.zone
            )));
        }
        let id = announcement.upstream.clone();
        if let Some(known) = self.entries.get(&id) {
            let (current, status) = known.record.precedence();
            let over = current > announcement.incarnation
                || (current == announcement.incarnation && status != Status::Serving);
            if over && !self.late_renewals_win {
                return Err(Refusal::new(
                    RefusalKind::Conflict,
                    format!(
                        "incarnation: {} of `{id}` is over; announce with one above {current}",
                        announcement.incarnation
                    ),
                ));
            }
        }
        insert_sorted(&mut self.renewed, &id);
        let record = Record { announcement, status: Status::Serving };
        let same = self.entries.get(&id).is_some_and(|e| e.record == record);
        self.entries.insert(id.clone(), Entry { record, last_heard: now });
        if !same {
            insert_sorted(&mut self.changed, &id);
        }
        Ok(())
    }

    /// Marks an upstream as leaving, so that it gets no new requests.
    pub fn leave(
        &mut self,
        now: Timestamp,
        id: &UpstreamId,
        incarnation: Incarnation,
    ) -> Result<(), Refusal> {
        let Some(entry) = self.entries.get_mut(id) else {
            let message = format!("upstream `{id}` is not known here");
            return Err(Refusal::new(RefusalKind::NotFound, message));
        };
        let current = entry.record.announcement.incarnation;
        if incarnation != current {
            let message =
                format!("incarnation: {incarnation} of `{id}` is over; it is in {current}");
            return Err(Refusal::new(RefusalKind::Conflict, message));
        }
        if entry.record.status < Status::Leaving {
            entry.record.status = Status::Leaving;
            entry.last_heard = now;
            insert_sorted(&mut self.changed, id);
        }
        Ok(())
    }

    /// Merges records from another host and returns those that changed the table. They are not
    /// forwarded: the host where a change originates sends it to all others, and a host that
    /// missed it finds out by comparing digests.
    pub fn merge(&mut self, now: Timestamp, records: Vec<Record>) -> Vec<Record> {
        let mut merged = Vec::new();
        for record in records {
            let id = record.announcement.upstream.clone();
            let known = self.entries.get(&id);
            let is_newer = known.is_none_or(|known| {
                record.precedence() > known.record.precedence()
                    || (self.late_renewals_win && record != known.record)
            });
            if is_newer {
                merged.push(record.clone());
                self.entries.insert(id, Entry { record, last_heard: now });
            }
        }
        merged
    }

    /// Merges renewals from another host of the zone. Ignores renewals of upstreams that are not
    /// serving with the same incarnation.
    pub fn merge_renewals(&mut self, now: Timestamp, renewals: &[Renewal]) {
        for renewal in renewals {
            let Some(entry) = self.entries.get_mut(&renewal.upstream) else { continue };
            let is_current = entry.record.precedence() == (renewal.incarnation, Status::Serving);
            if is_current {
                entry.last_heard = now;
            }
        }
    }

    /// Marks silent upstreams of the own zone as gone, and drops records of upstreams that have
    /// been gone for `GONE_RETENTION`.
    pub fn tick(&mut self, now: Timestamp) {
        let (zone, silence_timeout) = (&self.zone, self.silence_timeout);
        let mut silent = Vec::new();
        for (id, entry) in self.entries.iter() {
            let own = entry.record.announcement.zone == *zone;
            let is_silent = now.saturating_sub(entry.last_heard) > silence_timeout;
            if own && is_silent && entry.record.status != Status::Gone {
                silent.push(id.clone());
            }
        }
        for id in silent {
            let entry = self.entries.get_mut(&id).expect("id comes from the same map");
            (entry.record.status, entry.last_heard) = (Status::Gone, now);
            insert_sorted(&mut self.changed, &id);
        }
        self.entries.retain(|_, entry| {
            entry.record.status != Status::Gone
                || now.saturating_sub(entry.last_heard) < GONE_RETENTION
        });
    }

    /// Restarts the silence timeout of all upstreams. Called after this host was paused, when
    /// missing renewals do not mean that the upstreams were silent.
    pub fn restart_silence_timers(&mut self, now: Timestamp) {
        for entry in self.entries.values_mut() {
            if entry.record.status != Status::Gone {
                entry.last_heard = now;
            }
        }
    }

    /// Takes the records that changed at this host since the last call, to send them to others.
    pub fn take_changes(&mut self) -> Vec<Record> {
        let ids = std::mem::take(&mut self.changed);
        ids.iter().filter_map(|id| Some(self.entries.get(id)?.record.clone())).collect()
    }

    /// Takes the renewals that arrived at this host since the last call, to forward them.
    pub fn take_renewals(&mut self) -> Vec<Renewal> {
        let renewal = |id: UpstreamId| {
            let incarnation = self.entries.get(&id)?.record.announcement.incarnation;
            Some(Renewal { upstream: id, incarnation })
        };
        std::mem::take(&mut self.renewed).into_iter().filter_map(renewal).collect()
    }

    /// A digest of the upstreams that are not gone. Hosts with the same upstreams, incarnations
    /// and statuses have the same digest, whatever the order of arrival.
    pub fn digest(&self) -> u64 {
        let present = self.entries.values().filter(|e| e.record.status != Status::Gone);
        present.fold(0, |digest, entry| {
            let (incarnation, status) = entry.record.precedence();
            let text = format!("{} {incarnation} {status:?}", entry.record.announcement.upstream);
            digest ^ xxh3_64(text.as_bytes())
        })
    }

    /// All records, including those of gone upstreams.
    pub fn records(&self) -> Vec<Record> {
        self.entries.values().map(|e| e.record.clone()).collect()
    }

    /// The record of one upstream.
    pub fn get(&self, id: &UpstreamId) -> Option<&Record> {
        Some(&self.entries.get(id)?.record)
    }

    /// Announcements of the upstreams that get requests.
    pub fn serving(&self) -> impl Iterator<Item = &Announcement> {
        let serving = self.entries.values().filter(|e| e.record.status == Status::Serving);
        serving.map(|e| &e.record.announcement)
    }
}

fn insert_sorted(ids: &mut Vec<UpstreamId>, id: &UpstreamId) {
    if let Err(i) = ids.binary_search(id) {
        ids.insert(i, id.clone());
    }
}
