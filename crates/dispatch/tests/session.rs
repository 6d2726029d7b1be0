//! One session with one worker, by hand.

use dispatch::{
    ListedRun, Order, OrderAnswer, RefusalReason, RunListing, Session, SessionConfig, SessionEvent,
};
use jobs::{End, EndKind, StepRef, TaskRef};
use std::time::Duration;
use types::Timestamp;

const START: Timestamp = Duration::from_secs(1_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn task(index: u32) -> TaskRef {
    TaskRef { step: StepRef { job: 7, occurrence: 0, step: 0 }, index }
}

fn session() -> Session {
    Session::new(1, SessionConfig::default(), 0, START)
}

fn look(clock: u64, running: &[u32], ended: &[(u64, u32, EndKind)]) -> OrderAnswer {
    let listed = |index: &u32| ListedRun { task: task(*index), run: 1, percent: 10 };
    let end = |(number, index, kind): &(u64, u32, EndKind)| End {
        number: *number,
        task: task(*index),
        run: 1,
        kind: *kind,
        saved: None,
    };
    let look = RunListing {
        running: running.iter().map(listed).collect(),
        ended: ended.iter().map(end).collect(),
    };
    OrderAnswer::Done { clock: Some(clock), listing: Some(look) }
}

/// Takes the only order that is due.
fn one(session: &mut Session, now: Timestamp) -> (u64, Order) {
    let mut orders = session.poll(now);
    assert_eq!(orders.len(), 1, "{orders:?}");
    orders.remove(0)
}

/// A session whose worker has answered a first look.
fn settled(running: &[u32]) -> Session {
    let mut session = session();
    for index in running {
        session.add_run(task(*index), 1, START);
    }
    let (id, order) = one(&mut session, START);
    assert!(matches!(order, Order::Hold { lease_until: None, .. }), "{order:?}");
    session.answered(id, START, look(5_000, running, &[]), START + ms(2));
    session
}

#[test]
fn a_run_of_an_earlier_leader_is_not_given_up_while_its_lease_may_hold() {
    let mut session = settled(&[0]);
    for after in [3, 10, 100, 1_000, 5_900] {
        session.poll(START + ms(after));
        assert_eq!(session.take_events(), [], "after {after} ms");
    }
    session.poll(START + ms(8_500));
    assert_eq!(session.take_events(), [SessionEvent::Lost(vec![(task(0), 1)])]);
}

#[test]
fn an_unreachable_worker_keeps_its_runs_until_no_leader_can_have_renewed_them() {
    let mut session = session();
    session.add_run(task(0), 1, START);
    let (id, _) = one(&mut session, START);
    session.answered(id, START, OrderAnswer::Silence, START + ms(800));
    session.poll(START + ms(7_400));
    assert_eq!(session.take_events(), []);
    session.poll(START + ms(9_000));
    assert_eq!(session.take_events(), [SessionEvent::Lost(vec![(task(0), 1)])]);
}

#[test]
fn a_start_without_an_answer_is_sent_again_and_never_given_up_early() {
    let mut session = settled(&[]);
    session.add_run(task(3), 1, START + ms(3));
    let orders = session.poll(START + ms(3));
    let (start, _) = orders.iter().find(|(_, o)| matches!(o, Order::Start { .. })).unwrap();
    session.answered(*start, START + ms(3), OrderAnswer::Silence, START + ms(803));
    let again = session.poll(START + ms(1_100));
    assert!(again.iter().any(|(_, o)| matches!(o, Order::Start { .. })), "{again:?}");
    // A look that does not list the run proves nothing: the order may still be carried out.
    if let Some((id, _)) = again.iter().find(|(_, o)| matches!(o, Order::Hold { .. })) {
        session.answered(*id, START + ms(1_100), look(6_100, &[], &[]), START + ms(1_102));
    }
    assert_eq!(session.take_events(), []);
}

#[test]
fn a_refused_start_is_stopped_before_the_run_is_given_up() {
    for why in [
        RefusalReason::NoCapacity,
        RefusalReason::Ticket,
        RefusalReason::Unhealthy,
        RefusalReason::Invalid,
    ] {
        let mut session = settled(&[]);
        session.add_run(task(0), 1, START + ms(3));
        let orders = session.poll(START + ms(3));
        let (start, _) = orders.iter().find(|(_, o)| matches!(o, Order::Start { .. })).unwrap();
        let refused = OrderAnswer::Refused { why, clock: None };
        session.answered(*start, START + ms(3), refused, START + ms(5));
        let orders = session.poll(START + ms(5));
        let (stop, _) = orders.iter().find(|(_, o)| matches!(o, Order::Stop { .. })).unwrap();
        let done = OrderAnswer::Done { clock: Some(5_010), listing: None };
        session.answered(*stop, START + ms(5), done, START + ms(7));
        let lost =
            |facts: &[SessionEvent]| facts.iter().any(|fact| matches!(fact, SessionEvent::Lost(_)));
        assert!(!lost(&session.take_events()), "{why:?}: not before a look");
        let at = START + ms(2_500);
        let orders = session.poll(at);
        let (id, _) = orders.iter().find(|(_, o)| matches!(o, Order::Hold { .. })).unwrap();
        session.answered(*id, at, look(7_500, &[], &[]), at + ms(1));
        assert!(lost(&session.take_events()), "{why:?}");
    }
}

#[test]
fn ends_are_handed_over_once_and_the_next_look_waits_until_they_are_noted() {
    let mut session = settled(&[0, 1]);
    let (id, order) = one(&mut session, START + ms(3));
    assert!(matches!(order, Order::Hold { lease_until: Some(_), last_seen: 0, .. }), "{order:?}");
    let ended = look(5_050, &[1], &[(1, 0, EndKind::Done)]);
    session.answered(id, START + ms(3), ended, START + ms(50));
    let facts = session.take_events();
    assert!(matches!(&facts[..], [SessionEvent::Ended(ends)] if ends.len() == 1), "{facts:?}");
    assert_eq!(session.poll(START + ms(60)), []);
    session.remove_run(task(0), 1);
    session.ends_recorded(1, START + ms(70));
    let (_, order) = one(&mut session, START + ms(70));
    assert!(matches!(order, Order::Hold { last_seen: 1, .. }), "{order:?}");
}

#[test]
fn what_the_log_does_not_know_is_stopped() {
    let mut session = settled(&[]);
    let (id, _) = one(&mut session, START + ms(2_500));
    session.answered(id, START + ms(2_500), look(7_500, &[9], &[]), START + ms(2_501));
    let orders = session.poll(START + ms(2_501));
    let stops = |o: &Order| matches!(o, Order::Stop { task: t, run: 1 } if *t == task(9));
    assert!(orders.iter().any(|(_, order)| stops(order)), "{orders:?}");
}

#[test]
fn another_life_ends_the_session_and_a_higher_fence_the_leader() {
    for (why, fact) in [
        (RefusalReason::OtherLife, SessionEvent::LifeOver),
        (RefusalReason::Fence, SessionEvent::Deposed),
    ] {
        let mut session = session();
        let (id, _) = one(&mut session, START);
        session.answered(id, START, OrderAnswer::Refused { why, clock: None }, START + ms(2));
        assert_eq!(session.take_events(), [fact]);
    }
}
