//! The decisions on connections and memory, played without sockets.

use connections::{ConnectionId, Grant, Ledger, Opening, Stage, SMALL_REQUEST_BYTES, STALL_GRACE};
use quickcheck::{Arbitrary, Gen};
use std::time::Duration;

const BUDGET: usize = 400_000;
const CONNECTIONS: usize = 8;

fn open(ledger: &mut Ledger, address: usize, now: Duration) -> ConnectionId {
    match ledger.open(address, now) {
        Opening::Opened(id) | Opening::Instead(id, _) => id,
        Opening::Full => panic!("the address is full"),
    }
}

fn receiving(ledger: &mut Ledger, bytes: usize, now: Duration) -> ConnectionId {
    let id = open(ledger, 0, now);
    ledger.set_stage(id, Stage::Receiving, now);
    assert_eq!(ledger.take(id, bytes, now), Grant::Granted);
    id
}

fn ledger() -> Ledger {
    let mut ledger = Ledger::new(BUDGET);
    assert_eq!(ledger.add_address(CONNECTIONS), 0);
    ledger
}

/// Large requests that still arrive are not closed for another one, which is refused at once.
#[test]
fn a_large_request_beyond_the_budget_is_refused() {
    let mut ledger = ledger();
    let now = Duration::from_secs(5);
    receiving(&mut ledger, 150_000, now);
    receiving(&mut ledger, 150_000, now);
    let late = open(&mut ledger, 0, now);
    assert_eq!(ledger.take(late, SMALL_REQUEST_BYTES + 1, now), Grant::Refused);
}

/// Small requests have a part of the budget that large ones can't take.
#[test]
fn a_small_request_has_room_beside_large_ones() {
    let mut ledger = ledger();
    let now = Duration::from_secs(5);
    receiving(&mut ledger, 300_000, now);
    let small = open(&mut ledger, 0, now);
    assert_eq!(ledger.take(small, SMALL_REQUEST_BYTES, now), Grant::Granted);
}

/// The one that has held most for longest without progress goes first.
#[test]
fn a_stalled_request_gives_way() {
    let mut ledger = ledger();
    let start = Duration::from_secs(5);
    let large = receiving(&mut ledger, 200_000, start);
    receiving(&mut ledger, 100_000, start);
    let now = start + STALL_GRACE;
    let asker = open(&mut ledger, 0, now);
    assert_eq!(ledger.take(asker, 100_000, now), Grant::Evict(large));
    assert!(ledger.is_evicted(large));
    assert_eq!(ledger.take(asker, 100_000, now), Grant::Wait, "until its memory is back");
    ledger.close(large);
    assert_eq!(ledger.take(asker, 100_000, now), Grant::Granted);
}

/// A few bytes now and then are no progress.
#[test]
fn a_trickle_is_no_progress() {
    let mut ledger = ledger();
    let start = Duration::from_secs(5);
    let slow = receiving(&mut ledger, 300_000, start);
    for i in 0..10 {
        ledger.progress(slow, 1, start + STALL_GRACE * i / 10);
    }
    let now = start + STALL_GRACE;
    let asker = open(&mut ledger, 0, now);
    assert_eq!(ledger.take(asker, 100_000, now), Grant::Evict(slow));
}

/// A request that was received completely is never given up, and neither is its answer.
#[test]
fn a_request_that_is_handled_or_answered_is_kept() {
    for stage in [Stage::Handling, Stage::Answering] {
        let mut ledger = ledger();
        let start = Duration::from_secs(5);
        let ids: Vec<_> = (0..CONNECTIONS).map(|_| receiving(&mut ledger, 30_000, start)).collect();
        ids.iter().for_each(|id| ledger.set_stage(*id, stage, start));
        let now = start + STALL_GRACE * 100;
        assert_eq!(ledger.open(0, now), Opening::Full);
        assert_eq!(ledger.take(ids[0], 300_000, now), Grant::Refused);
        assert!(ids.iter().all(|id| !ledger.is_evicted(*id)));
    }
}

/// A full address closes a connection whose request was refused, then the longest idle one, then a
/// stalled one.
#[test]
fn a_full_address_makes_room() {
    let mut ledger = ledger();
    let mut now = Duration::from_secs(5);
    let refused = open(&mut ledger, 0, now);
    let mut others = Vec::new();
    for _ in 1..CONNECTIONS {
        now += Duration::from_millis(1);
        others.push(open(&mut ledger, 0, now));
    }
    ledger.set_stage(refused, Stage::Closing, now);
    ledger.set_stage(others[0], Stage::Idle, now);
    for id in &others[3..] {
        ledger.set_stage(*id, Stage::Receiving, now);
    }
    let mut closed = Vec::new();
    let mut opened = Vec::new();
    for _ in 0..4 {
        now += Duration::from_millis(1);
        let Opening::Instead(id, victim) = ledger.open(0, now) else { panic!() };
        ledger.set_stage(id, Stage::Handling, now);
        opened.push(id);
        closed.push(victim);
    }
    assert_eq!(closed, [refused, others[1], others[2], others[0]]);
    assert_eq!(ledger.open(0, now), Opening::Full, "the rest is being received");
    let Opening::Instead(_, victim) = ledger.open(0, now + STALL_GRACE) else { panic!() };
    assert_eq!(victim, others[3]);
    assert!(opened.iter().all(|id| !ledger.is_evicted(*id)));
}

#[derive(Clone, Debug)]
enum Step {
    Open,
    Close(usize),
    Take(usize, usize),
    GiveBack(usize, usize),
    Progress(usize, usize),
    Stage(usize, u8),
    Wait(u64),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let index = usize::arbitrary(g) % 16;
        let bytes = usize::arbitrary(g) % 120_000;
        match u8::arbitrary(g) % 8 {
            0 | 1 => Step::Open,
            2 => Step::Close(index),
            3 | 4 => Step::Take(index, bytes),
            5 => Step::GiveBack(index, bytes),
            6 => Step::Progress(index, bytes % 10_000),
            _ if bool::arbitrary(g) => Step::Stage(index, u8::arbitrary(g) % 5),
            _ => Step::Wait(u64::arbitrary(g) % 3_000),
        }
    }
}

quickcheck::quickcheck! {
    /// Whatever connections do, the memory granted stays within the budget, an address has no more
    /// connections than it may have beside those being closed, and closing all gives all back.
    fn bounds_hold_whatever_connections_do(steps: Vec<Step>) -> bool {
        const STAGES: [Stage; 5] =
            [Stage::Idle, Stage::Receiving, Stage::Handling, Stage::Answering, Stage::Closing];
        let mut ledger = ledger();
        let mut now = Duration::ZERO;
        let mut open: Vec<(ConnectionId, Stage)> = Vec::new();
        let nth = |open: &[(ConnectionId, Stage)], i: usize| {
            (!open.is_empty()).then(|| open[i % open.len()].0)
        };
        for step in steps {
            match step {
                Step::Open => match ledger.open(0, now) {
                    Opening::Opened(id) => open.push((id, Stage::Idle)),
                    Opening::Instead(id, victim) => {
                        let stage = open.iter().find(|(id, _)| *id == victim).unwrap().1;
                        assert!(!matches!(stage, Stage::Handling | Stage::Answering));
                        open.push((id, Stage::Idle));
                    }
                    Opening::Full => {}
                },
                Step::Close(i) => {
                    if let Some(id) = nth(&open, i) {
                        ledger.close(id);
                        open.retain(|(other, _)| *other != id);
                    }
                }
                Step::Take(i, bytes) => {
                    if let Some(id) = nth(&open, i) {
                        if let Grant::Evict(victim) = ledger.take(id, bytes, now) {
                            let stage = open.iter().find(|(id, _)| *id == victim).unwrap().1;
                            assert!(!matches!(stage, Stage::Handling | Stage::Answering));
                            assert_ne!(victim, id);
                        }
                    }
                }
                Step::GiveBack(i, bytes) => {
                    nth(&open, i).into_iter().for_each(|id| ledger.give_back(id, bytes));
                }
                Step::Progress(i, bytes) => {
                    nth(&open, i).into_iter().for_each(|id| ledger.progress(id, bytes, now));
                }
                Step::Stage(i, stage) => {
                    if let Some(id) = nth(&open, i) {
                        let stage = STAGES[usize::from(stage)];
                        ledger.set_stage(id, stage, now);
                        open.iter_mut().filter(|(other, _)| *other == id).for_each(|o| o.1 = stage);
                    }
                }
                Step::Wait(ms) => now += Duration::from_millis(ms),
            }
            let kept = open.iter().filter(|(id, _)| !ledger.is_evicted(*id)).count();
            assert!(kept <= CONNECTIONS, "{kept} connections");
            assert!(ledger.used() <= BUDGET, "{} bytes", ledger.used());
        }
        open.iter().for_each(|(id, _)| ledger.close(*id));
        ledger.used() == 0 && ledger.open_connections() == 0
    }
}
