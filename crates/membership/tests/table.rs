//! Announcements in any order, late and lost.

use membership::{Announcement, Record, Renewal, Status, Table};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::time::Duration;
use types::RefusalKind;

const SILENCE: Duration = Duration::from_secs(6);

fn announcement(n: u8, incarnation: u64) -> Announcement {
    Announcement {
        upstream: format!("10.0.0.{n}:80"),
        service: "desk".into(),
        zone: "a".into(),
        slots: 4,
        connections: 8,
        incarnation,
    }
}

#[derive(Clone, Debug)]
struct News {
    upstream: u8,
    incarnation: u64,
    status: u8,
}

impl Arbitrary for News {
    fn arbitrary(g: &mut Gen) -> News {
        News {
            upstream: u8::arbitrary(g) % 3,
            incarnation: u64::arbitrary(g) % 3,
            status: u8::arbitrary(g) % 3,
        }
    }
}

impl News {
    fn record(&self) -> Record {
        let status = [Status::Serving, Status::Leaving, Status::Gone][usize::from(self.status)];
        Record { announcement: announcement(self.upstream, self.incarnation), status }
    }
}

/// Whatever the order, and however often each comes, hosts end with the same.
fn converges(news: Vec<News>, turn: usize) -> bool {
    let records: Vec<Record> = news.iter().map(News::record).collect();
    let mut other = records.clone();
    other.rotate_left(turn.checked_rem(records.len()).unwrap_or(0));
    other.reverse();
    let mut one = Table::new("a", SILENCE);
    let mut two = Table::new("b", SILENCE);
    one.merge(Duration::ZERO, records.clone());
    two.merge(Duration::ZERO, other.clone());
    two.merge(Duration::ZERO, other);
    one.digest() == two.digest() && one.records() == two.records()
}

#[test]
fn hosts_converge_whatever_the_order() {
    println!("seed 91");
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(20, 91)).tests(2_000);
    check.quickcheck(converges as fn(Vec<News>, usize) -> bool);
}

#[test]
fn silence_ends_a_life_and_only_another_brings_it_back() {
    let at = Duration::from_secs;
    let mut table = Table::new("a", SILENCE);
    table.announce(at(0), announcement(1, 5)).unwrap();
    // A renewal told by another host counts.
    table.merge_renewals(at(5), &[Renewal { upstream: "10.0.0.1:80".into(), incarnation: 5 }]);
    table.tick(at(10));
    assert_eq!(table.serving().count(), 1);
    table.tick(at(12));
    assert_eq!(table.serving().count(), 0);
    let refused = table.announce(at(13), announcement(1, 5)).unwrap_err();
    assert_eq!(refused.kind, RefusalKind::Conflict);
    table.announce(at(13), announcement(1, 6)).unwrap();
    assert_eq!(table.serving().count(), 1);
}

#[test]
fn other_zones_upstreams_are_not_judged_here() {
    let mut table = Table::new("b", SILENCE);
    table.merge(Duration::ZERO, vec![News { upstream: 1, incarnation: 1, status: 0 }.record()]);
    table.tick(Duration::from_secs(60));
    assert_eq!(table.serving().count(), 1);
}

#[test]
fn a_pause_is_not_the_upstreams_silence() {
    let mut table = Table::new("a", SILENCE);
    table.announce(Duration::ZERO, announcement(1, 1)).unwrap();
    table.restart_silence_timers(Duration::from_secs(60));
    table.tick(Duration::from_secs(61));
    assert_eq!(table.serving().count(), 1);
}
