//! Refusals of submissions of which several copies were sent, or none.

use jobs::{JobRequest, QueueAddress, StepSpec};
use scheduler::{Call, Input, Node, NodeConfigBuilder, Output, PeerMessage, StartState};
use std::time::Duration;
use types::{Refusal, RefusalKind};

const LEADER: &str = "10.0.0.1";
/// A call without an answer is sent again within this time.
const RESEND: Duration = Duration::from_millis(800);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Numbers of the calls that the host sends.
fn calls(outputs: &[Output]) -> Vec<u64> {
    let number = |output: &Output| match output {
        Output::Send(_, PeerMessage::Call { id, .. }) => Some(*id),
        _ => None,
    };
    outputs.iter().filter_map(number).collect()
}

fn from_leader(message: PeerMessage) -> Input {
    Input::Peer(LEADER.into(), message)
}

fn leader_answers_heartbeats() -> Input {
    from_leader(PeerMessage::HeartbeatResponse {
        leader: Some((1, LEADER.into())),
        members: vec![LEADER.into()],
        responsive: Vec::new(),
        leads: true,
        version: 0,
        confirmation: None,
    })
}

/// A host that knows the leader.
fn entry_host() -> Node {
    let cfg = NodeConfigBuilder::new("10.0.0.9").seeds(vec![LEADER.into()]).build();
    let start = StartState { member: 9, process: 9, now: ms(1_000), ..StartState::default() };
    let mut node = Node::new(cfg, start);
    node.step(ms(1_000), leader_answers_heartbeats());
    node
}

fn submission() -> Call {
    let step = StepSpec { count: 1, ..StepSpec::default() };
    let request = Box::new(JobRequest { steps: vec![step], ..JobRequest::default() });
    Call::Submit { id: 7, queue: QueueAddress::default(), request, key: None }
}

/// What the caller is told if the leader refuses a job after `waited`.
fn refusal_after(waited: Duration) -> RefusalKind {
    let mut node = entry_host();
    let mut sent = calls(&node.step(ms(1_010), Input::Call(1, submission(), ms(4_000))));
    let mut now = ms(1_010);
    while now < ms(1_010) + waited {
        now += ms(100);
        sent.extend(calls(&node.step(now, leader_answers_heartbeats())));
    }
    let refusal = Refusal::new(RefusalKind::Overloaded, "full").retry_after(ms(1_500));
    let answer = PeerMessage::Answer { id: sent[0], answer: Box::new(Err(refusal)) };
    let answered =
        node.step(now, from_leader(answer)).into_iter().find_map(|output| match output {
            Output::Answer(1, Err(refusal)) => Some(refusal.kind),
            _ => None,
        });
    answered.expect("the caller is answered")
}

/// Guards against callers who are told that a job has not run, and then it does: a copy that is
/// still on its way may be accepted after the first one was refused.
#[test]
fn a_refusal_counts_only_if_no_other_copy_was_sent() {
    assert_eq!(refusal_after(Duration::ZERO), RefusalKind::Overloaded);
    assert_eq!(refusal_after(RESEND), RefusalKind::Unknown);
}

/// Guards against a job that starts though nobody waits for it: its submission was read just before
/// the host froze, and handed on after its deadline.
#[test]
fn a_call_that_waited_until_its_deadline_is_not_handed_on() {
    let mut node = entry_host();
    let outputs = node.step(ms(5_000), Input::Call(1, submission(), ms(4_000)));
    assert_eq!(calls(&outputs), [0; 0]);
    let answers = outputs.iter().filter_map(|output| match output {
        Output::Answer(1, Err(refusal)) => Some((refusal.kind, refusal.retry_after.is_some())),
        _ => None,
    });
    assert_eq!(answers.collect::<Vec<_>>(), [(RefusalKind::Unavailable, true)]);
    assert_eq!(node.pause_ended(), Some(ms(5_000)));
}
