//! Shares of an upstream's slots under random delays, losses and changes of leader: all hosts
//! together never hold more than there are.

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
    Ask {
        host: usize,
        want: u32,
    },
    /// The leader hears the oldest question of a host.
    Hear {
        host: usize,
    },
    /// A host hears the oldest answer.
    Answer {
        host: usize,
    },
    LoseQuestion {
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
            3..=6 => Op::Ask { host, want: u32::arbitrary(g) % 8 },
            7..=10 => Op::Hear { host },
            11..=13 => Op::Answer { host },
            14 if bool::arbitrary(g) => Op::LoseQuestion { host },
            14 => Op::LoseAnswer { host },
            _ => Op::NewLeader,
        }
    }
}

struct Question {
    number: u64,
    sent: Timestamp,
    ask: SlotRequest,
}

#[derive(Default)]
struct Host {
    number: u64,
    slots: u32,
    until: Timestamp,
    questions: Vec<Question>,
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

/// The most slots ever held together, and whether anybody ever held any.
fn run(ops: &[Op], opens_at_once: bool) -> (u32, bool) {
    let mut now = Duration::from_secs(100);
    let mut ledger = SlotAllocator::new(Duration::ZERO, LEASE);
    let mut hosts: Vec<Host> = (0..HOSTS).map(|_| Host::default()).collect();
    let (mut most, mut served) = (0, false);
    for op in ops {
        match *op {
            Op::Wait { millis } => now += Duration::from_millis(millis),
            Op::Ask { host, want } => {
                let held = hosts[host].held(now);
                let h = &mut hosts[host];
                h.number += 1;
                let ask = SlotRequest { upstream: "u".into(), pool: POOL, held, want };
                h.questions.push(Question { number: h.number, sent: now, ask });
            }
            Op::Hear { host } if !hosts[host].questions.is_empty() => {
                let q = hosts[host].questions.remove(0);
                let grants = ledger.renew(now, &format!("h{host}"), host < 3, &[q.ask]);
                hosts[host].answers.push((q.number, q.sent, grants));
            }
            Op::Answer { host } if !hosts[host].answers.is_empty() => {
                let h = &mut hosts[host];
                let (number, sent, grants) = h.answers.remove(0);
                if number == h.number {
                    (h.slots, h.until) = (grants[0].slots, sent + LEASE);
                }
            }
            Op::LoseQuestion { host } => drop(hosts[host].questions.pop()),
            Op::LoseAnswer { host } => drop(hosts[host].answers.pop()),
            Op::NewLeader => {
                let since = if opens_at_once { now.saturating_sub(LEASE * 2) } else { now };
                ledger = SlotAllocator::new(since, LEASE);
                // What an old leader has not answered is lost with it.
                hosts.iter_mut().for_each(|h| h.questions.clear());
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

#[test]
fn hosts_never_hold_more_than_there_is() {
    fn holds(ops: Vec<Op>) -> bool {
        run(&ops, false).0 <= POOL
    }
    histories(61).quickcheck(holds as fn(Vec<Op>) -> bool);
}

#[test]
fn notices_leaders_that_grant_before_old_leases_have_ended() {
    fn holds(ops: Vec<Op>) -> bool {
        run(&ops, true).0 <= POOL
    }
    let outcome = histories(62).quicktest(holds as fn(Vec<Op>) -> bool);
    assert!(outcome.is_err(), "no history shows the difference");
}

#[test]
fn shares_are_granted_at_all() {
    let mut ops = Vec::new();
    for host in 0..HOSTS {
        ops.extend([Op::Ask { host, want: 3 }, Op::Hear { host }, Op::Answer { host }]);
    }
    let (most, served) = run(&ops, false);
    assert!(served);
    assert_eq!(most, POOL);
}
