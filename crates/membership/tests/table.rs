//! Announcements that arrive late, repeatedly or in any order. Guards against hosts that disagree
//! about the upstreams, and against late renewals that bring back an upstream that is gone.

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
struct Update {
    upstream: u8,
    incarnation: u64,
    status: u8,
}

impl Arbitrary for Update {
    fn arbitrary(g: &mut Gen) -> Update {
        Update {
            upstream: u8::arbitrary(g) % 3,
            incarnation: u64::arbitrary(g) % 3,
            status: u8::arbitrary(g) % 3,
        }
    }
}

impl Update {
    fn record(&self) -> Record {
        let status = [Status::Serving, Status::Leaving, Status::Gone][usize::from(self.status)];
        Record { announcement: announcement(self.upstream, self.incarnation), status }
    }
}

/// Merges the same records in two orders, one of them twice; both tables must be equal.
fn converges(updates: Vec<Update>, turn: usize) -> bool {
    let records: Vec<Record> = updates.iter().map(Update::record).collect();
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
    check.quickcheck(converges as fn(Vec<Update>, usize) -> bool);
}

#[test]
fn silence_ends_an_incarnation_until_a_new_one_announces() {
    let at = Duration::from_secs;
    let mut table = Table::new("a", SILENCE);
    table.announce(at(0), announcement(1, 5)).unwrap();
    // A renewal forwarded by another host restarts the silence timeout.
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
fn upstreams_of_other_zones_are_not_marked_gone() {
    let mut table = Table::new("b", SILENCE);
    table.merge(Duration::ZERO, vec![Update { upstream: 1, incarnation: 1, status: 0 }.record()]);
    table.tick(Duration::from_secs(60));
    assert_eq!(table.serving().count(), 1);
}

#[test]
fn a_pause_of_the_host_does_not_mark_upstreams_gone() {
    let mut table = Table::new("a", SILENCE);
    table.announce(Duration::ZERO, announcement(1, 1)).unwrap();
    table.restart_silence_timers(Duration::from_secs(60));
    table.tick(Duration::from_secs(61));
    assert_eq!(table.serving().count(), 1);
}
