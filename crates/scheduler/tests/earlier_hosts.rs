//! Messages that hosts of an earlier version read too: a group is updated one host at a time.

use dispatch::OrderAnswer;
use scheduler::PeerMessage;

/// Guards against an answer that a leader of the earlier version can't read, which would break its
/// link to the host that forwards orders. These bytes were read by 4aedf33 as a connection that is
/// older than any answer.
#[test]
fn an_answer_from_only_this_life_has_the_layout_of_the_earlier_version() {
    let connected_for = OrderAnswer::ONLY_THIS_LIFE;
    let answer = OrderAnswer::Unanswered { connected_for };
    let message = PeerMessage::OrderAnswered { number: 5, answer };
    let bytes = [12, 5, 4, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1, 255, 147, 235, 220, 3];
    assert_eq!(postcard::to_stdvec(&message).unwrap(), bytes);
    assert_eq!(postcard::from_bytes::<PeerMessage>(&bytes).unwrap(), message);
}
