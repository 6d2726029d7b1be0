//! A session with a single worker, with hand-written answers.

use dispatch::{
    ListedRun, Order, OrderAnswer, OutlastingStarts, RefusalReason, RunListing, Session,
    SessionConfig, SessionEvent, StartCounts,
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
    let mut session = Session::new(1, SessionConfig::default(), 0, START);
    session.record_report(Some(4_900), START);
    session
}

fn listing_answer(clock: u64, running: &[u32], ended: &[(u64, u32, EndKind)]) -> OrderAnswer {
    let listed = |index: &u32| ListedRun { task: task(*index), run: 1, percent: 10 };
    let end = |(number, index, kind): &(u64, u32, EndKind)| End {
        number: *number,
        task: task(*index),
        run: 1,
        kind: *kind,
        saved: None,
    };
    let listing = RunListing {
        running: running.iter().map(listed).collect(),
        ended: ended.iter().map(end).collect(),
        complete: true,
    };
    OrderAnswer::Done { clock: Some(clock), listing: Some(listing) }
}

/// Returns the only order that is due.
fn only_order(session: &mut Session, now: Timestamp) -> (u64, Order) {
    let mut orders = session.poll(now);
    assert_eq!(orders.len(), 1, "{orders:?}");
    orders.remove(0)
}

/// A session whose worker has answered the first poll.
fn polled(running: &[u32]) -> Session {
    let mut session = session();
    for index in running {
        session.add_run(task(*index), 1, START);
    }
    let (id, order) = only_order(&mut session, START);
    assert!(matches!(order, Order::Hold { lease_until: None, .. }), "{order:?}");
    session.answered(id, START, listing_answer(5_000, running, &[]), START + ms(2));
    session
}

#[test]
fn a_run_of_an_earlier_leader_is_not_given_up_while_its_lease_may_hold() {
    let mut session = polled(&[0]);
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
    let (id, _) = only_order(&mut session, START);
    session.answered(id, START, OrderAnswer::Silence, START + ms(800));
    session.poll(START + ms(7_400));
    assert_eq!(session.take_events(), []);
    session.poll(START + ms(9_000));
    assert_eq!(session.take_events(), [SessionEvent::Lost(vec![(task(0), 1)])]);
}

#[test]
fn a_start_without_an_answer_is_sent_again_and_never_given_up_early() {
    let mut session = polled(&[]);
    session.add_run(task(3), 1, START + ms(3));
    let orders = session.poll(START + ms(3));
    let (start, _) = orders.iter().find(|(_, o)| matches!(o, Order::Start { .. })).unwrap();
    session.answered(*start, START + ms(3), OrderAnswer::Silence, START + ms(803));
    let again = session.poll(START + ms(1_100));
    assert!(again.iter().any(|(_, o)| matches!(o, Order::Start { .. })), "{again:?}");
    // A listing without the run proves nothing: the order may still be carried out.
    if let Some((id, _)) = again.iter().find(|(_, o)| matches!(o, Order::Hold { .. })) {
        session.answered(
            *id,
            START + ms(1_100),
            listing_answer(6_100, &[], &[]),
            START + ms(1_102),
        );
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
        let mut session = polled(&[]);
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
            |events: &[SessionEvent]| events.iter().any(|e| matches!(e, SessionEvent::Lost(_)));
        assert!(!lost(&session.take_events()), "{why:?}: lost before a poll confirmed the stop");
        let at = START + ms(2_500);
        let orders = session.poll(at);
        let (id, _) = orders.iter().find(|(_, o)| matches!(o, Order::Hold { .. })).unwrap();
        session.answered(*id, at, listing_answer(7_500, &[], &[]), at + ms(1));
        assert!(lost(&session.take_events()), "{why:?}");
    }
}

#[test]
fn ends_are_handed_over_once_and_the_next_poll_waits_until_they_are_recorded() {
    let mut session = polled(&[0, 1]);
    let (id, order) = only_order(&mut session, START + ms(3));
    assert!(matches!(order, Order::Hold { lease_until: Some(_), last_seen: 0, .. }), "{order:?}");
    let ended = listing_answer(5_050, &[1], &[(1, 0, EndKind::Done)]);
    session.answered(id, START + ms(3), ended, START + ms(50));
    let events = session.take_events();
    assert!(matches!(&events[..], [SessionEvent::Ended(ends)] if ends.len() == 1), "{events:?}");
    assert_eq!(session.poll(START + ms(60)), []);
    session.remove_run(task(0), 1);
    session.ends_recorded(1, START + ms(70));
    let (_, order) = only_order(&mut session, START + ms(70));
    assert!(matches!(order, Order::Hold { last_seen: 1, .. }), "{order:?}");
}

#[test]
fn what_the_log_does_not_know_is_stopped() {
    let mut session = polled(&[]);
    let (id, _) = only_order(&mut session, START + ms(2_500));
    session.answered(id, START + ms(2_500), listing_answer(7_500, &[9], &[]), START + ms(2_501));
    let orders = session.poll(START + ms(2_501));
    let stops = |o: &Order| matches!(o, Order::Stop { task: t, run: 1 } if *t == task(9));
    assert!(orders.iter().any(|(_, order)| stops(order)), "{orders:?}");
}

#[test]
fn another_life_ends_the_session_and_a_higher_fence_the_leader() {
    for (why, event) in [
        (RefusalReason::OtherLife, SessionEvent::LifeOver),
        (RefusalReason::Fence, SessionEvent::Deposed),
    ] {
        let mut session = session();
        let (id, _) = only_order(&mut session, START);
        session.answered(id, START, OrderAnswer::Refused { why, clock: None }, START + ms(2));
        assert_eq!(session.take_events(), [event]);
    }
}

#[test]
fn a_worker_that_is_gone_loses_its_runs_though_the_leader_goes_on_asking() {
    let mut session = polled(&[0]);
    session.add_run(task(1), 1, START + ms(5));
    let mut lost = None;
    let mut unanswered: Vec<(u64, Timestamp)> = Vec::new();
    for after in (10..20_000).step_by(10) {
        let now = START + ms(after);
        for (order, sent) in std::mem::take(&mut unanswered) {
            if now >= sent + ms(200) {
                session.answered(order, sent, OrderAnswer::Silence, now);
            } else {
                unanswered.push((order, sent));
            }
        }
        unanswered.extend(session.poll(now).into_iter().map(|(id, _)| (id, now)));
        let wakeup = session.next_wakeup();
        assert!(
            lost.is_some() || wakeup.is_none_or(|at| at > now),
            "{after} ms: due again at once"
        );
        if session.take_events() == [SessionEvent::Lost(vec![(task(0), 1), (task(1), 1)])] {
            lost.get_or_insert(after);
        }
    }
    let lost = lost.expect("the run was never given up");
    assert!(lost < 9_000, "given up after {lost} ms");
}

/// Guards against starts on capacity that a worker has no more.
#[test]
fn nothing_is_started_on_a_worker_that_has_not_reported_its_capacity_lately() {
    let mut session = polled(&[]);
    assert!(session.is_usable(START + ms(3)));
    let late = START + ms(4_500);
    let orders = session.poll(late);
    let (poll, _) = orders.iter().find(|(_, o)| matches!(o, Order::Hold { .. })).unwrap();
    session.answered(*poll, late, listing_answer(9_500, &[], &[]), late + ms(2));
    assert!(!session.is_usable(late + ms(3)));
    session.add_run(task(0), 1, late + ms(3));
    let starts = |orders: &[(u64, Order)]| {
        orders.iter().any(|(_, order)| matches!(order, Order::Start { .. }))
    };
    assert!(!starts(&session.poll(late + ms(4))));
    session.record_report(Some(9_400), late + ms(5));
    assert!(session.is_usable(late + ms(5)));
    assert!(starts(&session.poll(late + ms(200))));
}

/// Guards against a cut that is taken for a crash: behind it, a run may end without a report.
#[test]
fn a_crash_is_sure_only_if_the_host_refuses_connections_right_after_the_last_answer() {
    let refused_after = |gap: u64, answer: OrderAnswer| {
        let mut session = polled(&[0]);
        // The poll's connection breaks, and the next poll is sent when it is due again.
        let (first, _) = session.poll(START + ms(3)).remove(0);
        let broken = START + ms(4);
        session.answered(first, START + ms(3), OrderAnswer::Silence, broken);
        let at = START + ms(2 + gap);
        let (second, _) = session.poll(at).remove(0);
        session.answered(second, at, answer, at);
        session.is_sure_crash()
    };
    assert!(refused_after(160, OrderAnswer::Absent));
    assert!(!refused_after(160, OrderAnswer::Silence));
    assert!(!refused_after(2_000, OrderAnswer::Absent));
    assert!(!polled(&[0]).is_sure_crash());
    // While an end is being recorded nothing polls the worker, so another end is not noticed.
    let mut session = polled(&[0, 1]);
    let (id, _) = session.poll(START + ms(3)).remove(0);
    let listed = listing_answer(5_010, &[0], &[(1, 1, EndKind::Done)]);
    session.answered(id, START + ms(3), listed, START + ms(5));
    assert_eq!(session.poll(START + ms(6)), []);
    session.ends_recorded(1, START + ms(200));
    let (id, _) = session.poll(START + ms(200)).remove(0);
    session.answered(id, START + ms(200), OrderAnswer::Absent, START + ms(201));
    assert!(!session.is_sure_crash());
}

/// A session with a worker whose host takes no connections, except for one start of run 0 after a
/// second, which has this answer. Returns when the run was given up, and what
/// [`Session::outlasting_starts`] said then.
fn given_up_after(answer: OrderAnswer) -> (Timestamp, Option<OutlastingStarts>) {
    let mut session = polled(&[]);
    session.add_run(task(0), 1, START + ms(3));
    let mut first = Some(answer);
    for after in (3..20_000).step_by(5) {
        let now = START + ms(after);
        for (id, order) in session.poll(now) {
            let is_start = matches!(order, Order::Start { .. }) && after > 1_000;
            let answer = first.take_if(|_| is_start).unwrap_or(OrderAnswer::NotSent);
            session.answered(id, now, answer, now + ms(1));
        }
        let events = session.take_events();
        if let [SessionEvent::Lost(runs)] = &events[..] {
            return (now, session.outlasting_starts(runs, now));
        }
        assert_eq!(events, []);
    }
    panic!("the run was never given up");
}

/// Guards against a task that runs on two workers: the next life of a worker holds a start longer
/// than the leases of this life last.
#[test]
fn a_start_that_the_next_life_may_hold_is_in_doubt_for_a_lease_of_that_life() {
    // The clock of the next life has begun anew.
    let by_next_life = OrderAnswer::Done { clock: Some(300), listing: None };
    let (at, held) = given_up_after(by_next_life);
    let OutlastingStarts { tasks, unanswered, until } = held.expect("the start is in doubt");
    assert_eq!((tasks, unanswered), (vec![task(0)], 0));
    assert!(at < until && until >= START + ms(1_004 + 6_000 * 100 / 98), "until {until:?}");
    assert!(until < START + ms(8_000), "until {until:?}");
    // A connection that was opened after the last listing may lead to the next life, which carries
    // the order out at last after 12 s.
    for answer in [OrderAnswer::Silence, OrderAnswer::Unanswered { connected_for: ms(500) }] {
        let (_, held) = given_up_after(answer.clone());
        let OutlastingStarts { tasks, unanswered, until } = held.expect("the start is in doubt");
        assert_eq!((tasks, unanswered), (vec![task(0)], 1), "{answer:?}");
        assert!(
            until >= START + ms(1_003 + 12_000 + 6_000 * 100 / 98),
            "{answer:?}: until {until:?}"
        );
    }
}

/// Guards against tasks that are held back without need.
#[test]
fn a_start_that_no_other_life_can_hold_is_not_in_doubt() {
    let by_this_life = OrderAnswer::Done { clock: Some(6_200), listing: None };
    let old_connection = OrderAnswer::Unanswered { connected_for: ms(5_000) };
    let own_connection = OrderAnswer::Unanswered { connected_for: OrderAnswer::ONLY_THIS_LIFE };
    let not_received = [OrderAnswer::NotSent, OrderAnswer::Absent];
    for answer in [by_this_life, old_connection, own_connection].into_iter().chain(not_received) {
        let (at, held) = given_up_after(answer.clone());
        assert!(at < START + ms(9_000), "{answer:?}: given up at {at:?}");
        assert_eq!(held, None, "{answer:?}");
    }
}

/// Guards against a start that is given up while its answer is on its way, which may show that the
/// next life has accepted it.
#[test]
fn a_run_is_not_given_up_before_its_last_start_was_answered() {
    let mut session = polled(&[]);
    session.add_run(task(0), 1, START + ms(3));
    let orders = session.poll(START + ms(3));
    let (start, _) = orders.iter().find(|(_, o)| matches!(o, Order::Start { .. })).unwrap();
    let (hold, _) = only_order(&mut session, START + ms(600));
    session.answered(hold, START + ms(600), OrderAnswer::Silence, START + ms(1_400));
    session.poll(START + ms(9_000));
    assert_eq!(session.take_events(), []);
    let by_next_life = OrderAnswer::Done { clock: Some(300), listing: None };
    session.answered(*start, START + ms(3), by_next_life, START + ms(9_001));
    session.poll(START + ms(9_002));
    assert_eq!(session.take_events(), [SessionEvent::Lost(vec![(task(0), 1)])]);
    let held = session.outlasting_starts(&[(task(0), 1)], START + ms(9_002));
    assert!(held.is_some_and(|held| held.until >= START + ms(15_000)));
}

/// Guards against tasks that are held back when a life is seen to be over, though the next life can't
/// have started them: the start was answered by this life, or went over a connection to it, or is
/// still to be sent.
#[test]
fn a_life_that_is_over_leaves_only_the_starts_in_doubt_that_another_may_have_got() {
    let own_connection = OrderAnswer::Unanswered { connected_for: OrderAnswer::ONLY_THIS_LIFE };
    let new_connection = OrderAnswer::Unanswered { connected_for: ms(1) };
    let by_this_life = OrderAnswer::Done { clock: Some(6_200), listing: None };
    for (answer, in_doubt) in [
        (Some(by_this_life), false),
        (Some(own_connection), false),
        (Some(OrderAnswer::NotSent), false),
        (Some(new_connection), true),
        (Some(OrderAnswer::Silence), true),
        (None, true),
    ] {
        let mut session = polled(&[]);
        session.add_run(task(0), 1, START + ms(3));
        assert_eq!(session.in_doubt_starts(START + ms(3)), [], "not sent yet");
        let orders = session.poll(START + ms(3));
        let (start, _) = orders.iter().find(|(_, o)| matches!(o, Order::Start { .. })).unwrap();
        let text = format!("{answer:?}");
        if let Some(answer) = answer {
            session.answered(*start, START + ms(3), answer, START + ms(5));
        }
        let expected = if in_doubt { vec![task(0)] } else { Vec::new() };
        assert_eq!(session.in_doubt_starts(START + ms(10)), expected, "{text}");
    }
}

/// Guards against jobs that are given up since workers crash under their tasks, though none of these
/// was ever started: a start that the worker did not receive is no evidence.
#[test]
fn a_start_that_was_not_received_is_no_evidence() {
    for (answer, is_evidence) in [
        (Some(OrderAnswer::NotSent), false),
        (Some(OrderAnswer::Absent), false),
        (Some(OrderAnswer::Silence), true),
        (Some(OrderAnswer::Unanswered { connected_for: OrderAnswer::ONLY_THIS_LIFE }), true),
        (None, true),
    ] {
        let mut session = polled(&[]);
        session.add_run(task(0), 1, START + ms(3));
        let orders = session.poll(START + ms(3));
        let (start, _) = orders.iter().find(|(_, o)| matches!(o, Order::Start { .. })).unwrap();
        let text = format!("{answer:?}");
        if let Some(answer) = answer {
            session.answered(*start, START + ms(3), answer, START + ms(5));
        }
        let tasks: Vec<TaskRef> = session.evidence().iter().map(|run| run.task).collect();
        let expected = if is_evidence { vec![task(0)] } else { Vec::new() };
        assert_eq!(tasks, expected, "{text}");
    }
}

/// A leader counts the starts without an answer, and those of them that the next life may have got.
#[test]
fn starts_in_doubt_are_counted() {
    let counts_after = |answer: OrderAnswer| {
        let mut session = polled(&[]);
        session.add_run(task(0), 1, START + ms(3));
        let orders = session.poll(START + ms(3));
        let (start, _) = orders.iter().find(|(_, o)| matches!(o, Order::Start { .. })).unwrap();
        session.answered(*start, START + ms(3), answer, START + ms(5));
        let StartCounts { unanswered, in_doubt } = session.start_counts();
        (unanswered, in_doubt)
    };
    let unanswered = |connected_for| OrderAnswer::Unanswered { connected_for };
    assert_eq!(counts_after(unanswered(OrderAnswer::ONLY_THIS_LIFE)), (1, 0));
    assert_eq!(counts_after(unanswered(ms(1))), (1, 1));
    assert_eq!(counts_after(OrderAnswer::Silence), (1, 1));
    assert_eq!(counts_after(OrderAnswer::NotSent), (0, 0));
}

/// Guards against a run that is never given up because its start was never sent.
#[test]
fn a_start_that_was_withdrawn_does_not_keep_its_run() {
    let mut session = polled(&[]);
    session.add_run(task(0), 1, START + ms(3));
    let mut lost = None;
    for after in (3..20_000).step_by(5) {
        let now = START + ms(after);
        for (id, order) in session.poll(now) {
            match order {
                Order::Start { .. } => session.withdraw(id, now),
                _ => session.answered(id, now, OrderAnswer::Silence, now + ms(1)),
            }
        }
        if session.take_events() == [SessionEvent::Lost(vec![(task(0), 1)])] {
            lost.get_or_insert(now);
        }
    }
    assert!(lost.is_some_and(|at| at < START + ms(9_000)), "given up at {lost:?}");
}

/// Guards against tasks that wait for a lease although their worker has left as planned, and against
/// lives that end though the worker is up: only a refused connection shows that it has left.
#[test]
fn a_draining_worker_has_left_once_its_host_refuses_connections() {
    let events_after = |draining: bool, answer: OrderAnswer| {
        let mut session = polled(&[0]);
        session.set_draining(draining);
        let (open, _) = session.poll(START + ms(3)).remove(0);
        session.record_goodbye(START + ms(10));
        session.answered(open, START + ms(3), OrderAnswer::Silence, START + ms(20));
        let (next, _) = session.poll(START + ms(20)).remove(0);
        session.answered(next, START + ms(20), answer, START + ms(21));
        session.take_events()
    };
    assert_eq!(events_after(true, OrderAnswer::Absent), [SessionEvent::Left]);
    assert_eq!(events_after(false, OrderAnswer::Absent), []);
    assert_eq!(events_after(true, OrderAnswer::Silence), []);
    assert_eq!(events_after(true, listing_answer(5_020, &[0], &[])), []);
}

/// After a goodbye the worker is looked at often at first, and not without end.
#[test]
fn a_worker_that_said_goodbye_is_looked_at_often_for_a_while() {
    let looks = |goodbye: bool| {
        let mut session = polled(&[0]);
        if goodbye {
            session.record_goodbye(START + ms(3));
        }
        let mut at = Vec::new();
        for after in 3..3_000 {
            let now = START + ms(after);
            for (id, _) in session.poll(now) {
                at.push(after);
                session.answered(id, now, OrderAnswer::Silence, now);
            }
        }
        at
    };
    let (usual, often) = (looks(false), looks(true));
    assert!(often.iter().filter(|after| **after < 103).count() >= 5, "{often:?}");
    assert!(often.len() < 5 * usual.len(), "{} looks, {} usually", often.len(), usual.len());
}
