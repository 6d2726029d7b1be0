//! Slot leases of one upstream under random delays, lost messages and leader changes: all hosts
//! together must never hold more slots than the upstream has.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use routing::{SlotAllocator, SlotGrant, SlotRequest};
use std::time::Duration;
use types::Timestamp;

const POOL: u32 = 5;
const HOSTS: usize = 4;
const LEASE: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
enum Op {
    Wait {
        millis: u64,
    },
    Request {
        host: usize,
        want: u32,
    },
    /// The leader receives the oldest request of a host.
    Receive {
        host: usize,
    },
    /// A host receives its oldest answer.
    Answer {
        host: usize,
    },
    LoseRequest {
        host: usize,
    },
    LoseAnswer {
        host: usize,
    },
    NewLeader,
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Op {
        let host = usize::arbitrary(g) % HOSTS;
        match u8::arbitrary(g) % 16 {
            0..=2 => Op::Wait { millis: u64::arbitrary(g) % 2_500 },
            3..=6 => Op::Request { host, want: u32::arbitrary(g) % 8 },
            7..=10 => Op::Receive { host },
            11..=13 => Op::Answer { host },
            14 if bool::arbitrary(g) => Op::LoseRequest { host },
            14 => Op::LoseAnswer { host },
            _ => Op::NewLeader,
        }
    }
}

struct PendingRequest {
    number: u64,
    sent: Timestamp,
    request: SlotRequest,
}

#[derive(Default)]
struct Host {
    number: u64,
    slots: u32,
    until: Timestamp,
    requests: Vec<PendingRequest>,
    answers: Vec<(u64, Timestamp, Vec<SlotGrant>)>,
}

impl Host {
    fn held(&self, now: Timestamp) -> u32 {
        if now < self.until {
            self.slots
        } else {
            0
        }
    }
}

/// Runs a history and returns the most slots held at one time, over all hosts, and whether any
/// host ever held one. With `opens_at_once`, a new leader doesn't wait for old leases to expire.
fn run(ops: &[Op], opens_at_once: bool) -> (u32, bool) {
    let mut now = Duration::from_secs(100);
    let mut allocator = SlotAllocator::new(Duration::ZERO, LEASE);
    let mut hosts: Vec<Host> = (0..HOSTS).map(|_| Host::default()).collect();
    let (mut most, mut served) = (0, false);
    for op in ops {
        match *op {
            Op::Wait { millis } => now += Duration::from_millis(millis),
            Op::Request { host, want } => {
                let held = hosts[host].held(now);
                let h = &mut hosts[host];
                h.number += 1;
                let request = SlotRequest { upstream: "u".into(), pool: POOL, held, want };
                h.requests.push(PendingRequest { number: h.number, sent: now, request });
            }
            Op::Receive { host } if !hosts[host].requests.is_empty() => {
                let pending = hosts[host].requests.remove(0);
                let grants =
                    allocator.renew(now, &format!("h{host}"), host < 3, &[pending.request]);
                hosts[host].answers.push((pending.number, pending.sent, grants));
            }
            Op::Answer { host } if !hosts[host].answers.is_empty() => {
                let h = &mut hosts[host];
                let (number, sent, grants) = h.answers.remove(0);
                if number == h.number {
                    (h.slots, h.until) = (grants[0].slots, sent + LEASE);
                }
            }
            Op::LoseRequest { host } => drop(hosts[host].requests.pop()),
            Op::LoseAnswer { host } => drop(hosts[host].answers.pop()),
            Op::NewLeader => {
                let since = if opens_at_once { now.saturating_sub(LEASE * 2) } else { now };
                allocator = SlotAllocator::new(since, LEASE);
                // Requests that the old leader has not answered are lost.
                hosts.iter_mut().for_each(|h| h.requests.clear());
            }
            _ => {}
        }
        let held: u32 = hosts.iter().map(|h| h.held(now)).sum();
        most = most.max(held);
        served |= held > 0;
    }
    (most, served)
}

fn histories(seed: u64) -> QuickCheck {
    println!("seed {seed}");
    QuickCheck::new().rng(Gen::from_size_and_seed(150, seed)).tests(4_000).max_tests(4_000)
}

/// Delayed answers, expired leases and new leaders without the old leader's leases must not let
/// hosts use more slots than exist, which would overload the upstream.
#[test]
fn hosts_never_hold_more_than_there_is() {
    fn holds(ops: Vec<Op>) -> bool {
        run(&ops, false).0 <= POOL
    }
    histories(61).quickcheck(holds as fn(Vec<Op>) -> bool);
}

/// Checks the test above: a new leader that grants at once must be found to exceed the pool.
#[test]
fn notices_leaders_that_grant_before_old_leases_have_ended() {
    fn holds(ops: Vec<Op>) -> bool {
        run(&ops, true).0 <= POOL
    }
    let outcome = histories(62).quicktest(holds as fn(Vec<Op>) -> bool);
    assert!(outcome.is_err(), "no history exceeds the pool");
}

/// Guards against an allocator that is safe only because it never grants anything.
#[test]
fn shares_are_granted_at_all() {
    let mut ops = Vec::new();
    for host in 0..HOSTS {
        ops.extend([Op::Request { host, want: 3 }, Op::Receive { host }, Op::Answer { host }]);
    }
    let (most, served) = run(&ops, false);
    assert!(served);
    assert_eq!(most, POOL);
}
