//! A node that takes the place of one whose disk failed, in the same process.

use dispatch::Order;
use scheduler::{Input, Node, NodeConfigBuilder, OrderEnvelope, Output, PeerMessage, StartState};
use std::time::Duration;

/// Lets a node send an order and a call for advice for the leader. Returns the numbers of both.
fn numbers(seed: u64) -> (u64, u64) {
    let start = StartState { member: 1, process: 1, now: Duration::ZERO, seed, group: None };
    let mut node = Node::new(NodeConfigBuilder::new("10.0.0.1").build(), start);
    let order = Order::Hold { lease_until: None, last_seen: 0, wait: Duration::ZERO };
    let envelope = Box::new(OrderEnvelope {
        worker: "w1".into(),
        addr: "10.0.0.9:80".into(),
        born: 1,
        order,
        fence: 1,
        spec: None,
        saved: None,
        ticket: None,
        timeout: Duration::from_secs(1),
    });
    let leader = || "10.0.0.2".to_string();
    node.handle(Duration::ZERO, Input::Peer(leader(), PeerMessage::Order { number: 1, envelope }));
    let (step, timeout) =
        (jobs::StepRef { job: 1, occurrence: 0, step: 0 }, Duration::from_secs(1));
    let advise = PeerMessage::Advise { number: 1, step, workers: vec!["w1".into()], timeout };
    node.handle(Duration::ZERO, Input::Peer(leader(), advise));
    let outputs = node.finish(Duration::ZERO);
    let order = outputs.iter().find_map(|output| match output {
        Output::Order(number, _) => Some(*number),
        _ => None,
    });
    let advice = outputs.iter().find_map(|output| match output {
        Output::Advise { number, .. } => Some(*number),
        _ => None,
    });
    (order.unwrap(), advice.unwrap())
}

/// Guards against an answer to the earlier node that is taken for one to the next node's order.
#[test]
fn the_next_node_does_not_use_the_numbers_of_the_one_before() {
    let (first, next) = (numbers(1), numbers(2));
    assert!(first.0.abs_diff(next.0) > 1_000_000, "orders {} and {}", first.0, next.0);
    assert!(first.1.abs_diff(next.1) > 1_000_000, "calls for advice {} and {}", first.1, next.1);
}
