//! The table of upstreams that each entry host keeps.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use types::{
    Incarnation, Refusal, RefusalKind, ServiceName, SortedMap, Timestamp, UpstreamId, ZoneName,
};
use xxhash_rust::xxh3::xxh3_64;

/// A record of an upstream that is gone is kept this long, against late messages.
const GONE_KEPT: Duration = Duration::from_secs(3_600);

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Its address, `ip:port`.
    pub upstream: UpstreamId,
    /// The service it serves.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests it runs at once.
    pub slots: u32,
    /// Connections it takes.
    pub connections: u32,
    /// Which of its lives this is; larger than any before.
    pub incarnation: Incarnation,
}

impl Announcement {
    /// Checks the fields; the error names field and cause.
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

/// Whether an upstream gets work. Later values win within one life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// It gets work.
    Serving,
    /// It finishes what it has.
    Leaving,
    /// It has fallen silent or has left.
    Gone,
}

/// What hosts tell each other of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What it announced.
    pub announcement: Announcement,
    /// Whether it gets work.
    pub status: Status,
}

impl Record {
    fn rank(&self) -> (Incarnation, Status) {
        (self.announcement.incarnation, self.status)
    }
}

/// A sign of life, told to hosts of the own zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its life.
    pub incarnation: Incarnation,
}

#[derive(Clone, Debug)]
struct Entry {
    record: Record,
    /// When it last gave a sign of life, or when the record last changed.
    heard: Timestamp,
}

/// The upstreams that one entry host knows of.
#[derive(Clone, Debug)]
pub struct Table {
    zone: ZoneName,
    silence: Duration,
    entries: SortedMap<UpstreamId, Entry>,
    /// Upstreams whose record changed and is to be sent on, sorted.
    changed: Vec<UpstreamId>,
    /// Upstreams that renewed here and whose renewal is to be sent on, sorted.
    renewed: Vec<UpstreamId>,
    late_renewals_win: bool,
}

impl Table {
    /// An empty table of a host in `zone`. An upstream of the zone that gives no sign of life for
    /// `silence` is gone.
    pub fn new(zone: &str, silence: Duration) -> Table {
        Table {
            zone: zone.to_string(),
            silence,
            entries: SortedMap::default(),
            changed: Vec::new(),
            renewed: Vec::new(),
            late_renewals_win: false,
        }
    }

    /// Lets a late renewal undo that an upstream leaves; for tests that show that a check notices.
    pub fn accept_late_renewals(&mut self) {
        self.late_renewals_win = true;
    }

    /// An upstream announces or renews itself.
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
            let (life, status) = known.record.rank();
            let over = life > announcement.incarnation
                || (life == announcement.incarnation && status != Status::Serving);
            if over && !self.late_renewals_win {
                return Err(Refusal::new(
                    RefusalKind::Conflict,
                    format!(
                        "incarnation: {} of `{id}` is over; announce with one above {life}",
                        announcement.incarnation
                    ),
                ));
            }
        }
        insert_sorted(&mut self.renewed, &id);
        let record = Record { announcement, status: Status::Serving };
        let same = self.entries.get(&id).is_some_and(|e| e.record == record);
        self.entries.insert(id.clone(), Entry { record, heard: now });
        if !same {
            insert_sorted(&mut self.changed, &id);
        }
        Ok(())
    }

    /// An upstream leaves: from now on it gets no new work.
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
        let life = entry.record.announcement.incarnation;
        if incarnation != life {
            let message = format!("incarnation: {incarnation} of `{id}` is over; it is in {life}");
            return Err(Refusal::new(RefusalKind::Conflict, message));
        }
        if entry.record.status < Status::Leaving {
            entry.record.status = Status::Leaving;
            entry.heard = now;
            insert_sorted(&mut self.changed, id);
        }
        Ok(())
    }

    /// Takes records from another host and returns what was news. News is not sent on: its first
    /// host told everyone, and who could not be told finds it by digest.
    pub fn merge(&mut self, now: Timestamp, records: Vec<Record>) -> Vec<Record> {
        let mut news = Vec::new();
        for record in records {
            let id = record.announcement.upstream.clone();
            let known = self.entries.get(&id);
            let is_news = known.is_none_or(|known| {
                record.rank() > known.record.rank()
                    || (self.late_renewals_win && record != known.record)
            });
            if is_news {
                news.push(record.clone());
                self.entries.insert(id, Entry { record, heard: now });
            }
        }
        news
    }

    /// Takes renewals from another host of the zone.
    pub fn merge_renewals(&mut self, now: Timestamp, renewals: &[Renewal]) {
        for renewal in renewals {
            let Some(entry) = self.entries.get_mut(&renewal.upstream) else { continue };
            let current = entry.record.rank() == (renewal.incarnation, Status::Serving);
            if current {
                entry.heard = now;
            }
        }
    }

    /// Lets time pass: silent upstreams of the own zone are gone, and old records are dropped.
    pub fn tick(&mut self, now: Timestamp) {
        let (zone, silence) = (&self.zone, self.silence);
        let mut silent = Vec::new();
        for (id, entry) in self.entries.iter() {
            let own = entry.record.announcement.zone == *zone;
            let over = now.saturating_sub(entry.heard) > silence;
            if own && over && entry.record.status != Status::Gone {
                silent.push(id.clone());
            }
        }
        for id in silent {
            let entry = self.entries.get_mut(&id).expect("taken from the entries");
            (entry.record.status, entry.heard) = (Status::Gone, now);
            insert_sorted(&mut self.changed, &id);
        }
        self.entries.retain(|_, entry| {
            entry.record.status != Status::Gone || now.saturating_sub(entry.heard) < GONE_KEPT
        });
    }

    /// After a pause nothing was heard for a while, which is not the upstreams' silence.
    pub fn restart_silence_timers(&mut self, now: Timestamp) {
        for entry in self.entries.values_mut() {
            if entry.record.status != Status::Gone {
                entry.heard = now;
            }
        }
    }

    /// Takes the records that changed since the last call.
    pub fn take_changes(&mut self) -> Vec<Record> {
        let ids = std::mem::take(&mut self.changed);
        ids.iter().filter_map(|id| Some(self.entries.get(id)?.record.clone())).collect()
    }

    /// Takes the renewals since the last call.
    pub fn take_renewals(&mut self) -> Vec<Renewal> {
        let renewal = |id: UpstreamId| {
            let incarnation = self.entries.get(&id)?.record.announcement.incarnation;
            Some(Renewal { upstream: id, incarnation })
        };
        std::mem::take(&mut self.renewed).into_iter().filter_map(renewal).collect()
    }

    /// A number that is the same on hosts that know the same.
    pub fn digest(&self) -> u64 {
        let present = self.entries.values().filter(|e| e.record.status != Status::Gone);
        present.fold(0, |digest, entry| {
            let (life, status) = entry.record.rank();
            let text = format!("{} {life} {status:?}", entry.record.announcement.upstream);
            digest ^ xxh3_64(text.as_bytes())
        })
    }

    /// All records.
    pub fn records(&self) -> Vec<Record> {
        self.entries.values().map(|e| e.record.clone()).collect()
    }

    /// The record of one upstream.
    pub fn get(&self, id: &UpstreamId) -> Option<&Record> {
        Some(&self.entries.get(id)?.record)
    }

    /// Upstreams that get work.
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
