//! Corrupted peer messages must not panic a host. Each test case overwrites part of a valid
//! message at random and passes whatever still decodes to a host.

use consensus::{Envelope, Message, Role};
use host::{
    GroupId, Host, HostConfigBuilder, HostHeartbeat, InitialMember, Input, PeerMessage, StartState,
};
use quickcheck::{Gen, QuickCheck};
use std::time::Duration;

fn messages() -> Vec<PeerMessage> {
    let zone = GroupId::Zone("a".into());
    let append =
        Message::Append { prev_index: 0, prev_term: 0, entries: Vec::new(), commit: 0, round: 1 };
    let heartbeat = HostHeartbeat {
        process: 1,
        release: 1,
        leads: vec![(zone.clone(), 1)],
        draining: false,
        upstreams: 0,
    };
    vec![
        PeerMessage::Raft(zone.clone(), Envelope { from: 2, to: 1, term: 1, message: append }),
        PeerMessage::Heartbeat(heartbeat),
        PeerMessage::PullUpstreams(1),
        PeerMessage::PullRelease(0),
        PeerMessage::Notes(vec![(1, Default::default(), "d".into())]),
        PeerMessage::EmptyStore(zone.clone(), 2),
        PeerMessage::JoinGroup(zone),
    ]
}

fn new_host() -> Host {
    let member = |host: &str| InitialMember { host: host.into(), role: Role::Voter };
    let cfg = HostConfigBuilder::new("a-1", "a")
        .peer("a-2", "a")
        .group(GroupId::Zone("a".into()), vec![member("a-1"), member("a-2")])
        .build();
    Host::new(cfg, StartState { member: 1, process: 1, ..StartState::default() })
}

/// Overwrites one message at a random position and passes it to a host if it still decodes.
fn survives(pick: usize, at: usize, bytes: Vec<u8>) -> bool {
    let all = messages();
    let mut buf = postcard::to_stdvec(&all[pick % all.len()]).unwrap();
    let at = at % buf.len();
    let end = (at + bytes.len()).min(buf.len());
    buf.splice(at..end, bytes);
    if let Ok(message) = postcard::from_bytes::<PeerMessage>(&buf) {
        let mut host = new_host();
        for second in 1..4 {
            let input = Input::Peer("a-2".into(), message.clone());
            host.step(Duration::from_secs(second), input);
        }
    }
    true
}

#[test]
fn damaged_messages_never_panic() {
    println!("seed 95");
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(6, 95)).tests(5_000);
    check.quickcheck(survives as fn(usize, usize, Vec<u8>) -> bool);
}
