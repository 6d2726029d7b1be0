//! Submissions that arrive after their job was cancelled, in the replicated state.

use accounts::{AccountBuilder, Accounts, KeyDigest};
use jobs::{
    Command, Configuration, Effect, JobRequest, Phase, QueueAddress, QueuePolicy, Reply, State,
    StepSpec,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use types::JobId;

/// Names of the accounts, which are their keys too.
const NAMES: [&str; 2] = ["a", "b"];
/// More cancelled ids than the state has room for.
const FLOOD: u64 = 100_000;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn queue(n: usize) -> QueueAddress {
    QueueAddress { host: "a.example".into(), prefix: format!("/{n}/") }
}

/// A state with three queues, with or without accounts.
fn state(with_accounts: bool) -> State {
    let account = |name: &&str| AccountBuilder::new(*name).key(name).build();
    let accounts = NAMES.iter().filter(|_| with_accounts).map(account).collect();
    let policy = QueuePolicy { service: "crunch".into(), ..QueuePolicy::default() };
    let configuration = Configuration {
        version: 1,
        queues: (0..3).map(|n| (queue(n), policy.clone())).collect(),
        accounts: Accounts::new(accounts).unwrap(),
        ..Configuration::default()
    };
    let mut state = State::default();
    state.apply(Command::Configure { configuration: Box::new(configuration) });
    state
}

fn submit(id: JobId, queue: QueueAddress, account: Option<&str>) -> Command {
    let step = StepSpec { count: 1, ..StepSpec::default() };
    let request = Box::new(JobRequest { steps: vec![step], ..JobRequest::default() });
    Command::Submit { id, queue, request, at: at(1), key: account.map(KeyDigest::of), room: None }
}

fn cancel(id: JobId, queue: QueueAddress, account: Option<&str>, at: Duration) -> Command {
    Command::Cancel { id, key: account.map(KeyDigest::of), at, queue: Some(queue) }
}

fn reply(state: &mut State, command: Command) -> Reply {
    state.apply(command).0
}

/// Guards against tasks that start after the cancelling of their job was acknowledged: the
/// submission was held up on its way (review/15).
#[test]
fn a_submission_of_a_cancelled_id_is_refused() {
    let mut state = state(false);
    let (answer, effects) = state.apply(cancel(7, queue(0), None, at(1)));
    assert_eq!((answer, effects), (Reply::NotFound, vec![Effect::Withdrawn(7)]));
    assert!(state.job(7).is_none(), "nobody has submitted the job");
    let mut state = State::decode(&state.encode()).unwrap();
    let (answer, effects) = state.apply(submit(7, queue(0), None));
    assert_eq!((answer, effects), (Reply::Withdrawn, vec![Effect::RefusedAsWithdrawn(7)]));
    assert!(state.job(7).is_none());
    assert_eq!(reply(&mut state, submit(8, queue(0), None)), Reply::Done, "another id");
}

/// Guards against a cancellation that ends a job of another queue, which the caller can't see.
#[test]
fn a_cancellation_counts_for_its_queue_only() {
    let mut state = state(false);
    reply(&mut state, submit(7, queue(0), None));
    assert_eq!(reply(&mut state, cancel(7, queue(1), None, at(2))), Reply::NotFound);
    assert_eq!(state.job(7).unwrap().phase, Phase::Queued);
    assert_eq!(reply(&mut state, submit(7, queue(0), None)), Reply::Done, "sent again");
    reply(&mut state, cancel(8, queue(1), None, at(2)));
    assert_eq!(reply(&mut state, submit(8, queue(0), None)), Reply::Done);
    assert_eq!(reply(&mut state, cancel(8, queue(0), None, at(3))), Reply::Done);
    assert_eq!(state.job(8).unwrap().phase, Phase::Cancelled);
}

/// Guards against callers who are told that a job is accepted, and it never runs: another queue has
/// a job with the id.
#[test]
fn an_id_of_another_queues_job_is_refused() {
    let mut state = state(false);
    reply(&mut state, submit(7, queue(0), None));
    assert_eq!(reply(&mut state, submit(7, queue(1), None)), Reply::IdTaken);
}

/// Guards against an account that blocks the ids of another one.
#[test]
fn a_cancellation_counts_for_its_account_only() {
    let mut state = state(true);
    assert_eq!(reply(&mut state, cancel(7, queue(0), Some("a"), at(1))), Reply::NotFound);
    assert_eq!(reply(&mut state, cancel(7, queue(0), None, at(1))), Reply::UnknownKey);
    assert_eq!(reply(&mut state, submit(7, queue(0), Some("a"))), Reply::Withdrawn);
    assert_eq!(reply(&mut state, submit(7, queue(0), Some("b"))), Reply::Done);
    assert_eq!(reply(&mut state, cancel(7, queue(0), Some("a"), at(2))), Reply::NotFound);
    assert_eq!(state.job(7).unwrap().phase, Phase::Queued);
}

/// Guards against ids that are forgotten sooner than other cancelled jobs: an id whose cancelling
/// was repeated, and a job that had ended long before it was cancelled.
#[test]
fn cancelled_ids_are_kept_from_the_last_cancellation() {
    let mut state = state(false);
    reply(&mut state, cancel(7, queue(0), None, at(10)));
    reply(&mut state, cancel(7, queue(0), None, at(20)));
    reply(&mut state, submit(8, queue(0), None));
    reply(&mut state, cancel(8, queue(0), None, at(10)));
    assert_eq!(reply(&mut state, cancel(8, queue(0), None, at(20))), Reply::Done);
    state.apply(Command::TrimJobs { before: at(20) });
    assert_eq!(reply(&mut state, submit(7, queue(0), None)), Reply::Withdrawn);
    assert_eq!(reply(&mut state, submit(8, queue(0), None)), Reply::Done, "still the same job");
    assert_eq!(state.job(8).unwrap().phase, Phase::Cancelled);
    state.apply(Command::TrimJobs { before: at(21) });
    assert_eq!(state.withdrawn_ids(), 0);
    assert_eq!(reply(&mut state, submit(7, queue(0), None)), Reply::Done);
}

/// Guards against state that a caller makes grow without end, and against one caller that takes the
/// room of all others.
#[test]
fn cancelled_ids_are_bounded_and_each_caller_has_room() {
    for with_accounts in [false, true] {
        let mut state = state(with_accounts);
        let key = |n: usize| NAMES.get(n).copied().filter(|_| with_accounts);
        let flood = |state: &mut State, n: usize| {
            let cancelled = (0..FLOOD).map(|id| cancel(id, queue(n), key(n), at(100)));
            cancelled.filter(|command| reply(state, command.clone()) == Reply::NotFound).count()
        };
        reply(&mut state, cancel(FLOOD, queue(0), key(0), at(5)));
        let first = flood(&mut state, 0) as u64;
        assert!((10_000..FLOOD).contains(&first), "{first} are kept");
        let refused = Reply::WithdrawnFull { oldest: at(5) };
        assert_eq!(reply(&mut state, cancel(first, queue(0), key(0), at(101))), refused);
        let check = |id| state.check_cancel(id, &queue(0), key(0).map(KeyDigest::of).as_ref());
        assert_eq!((check(first), check(first - 1)), (Some(refused), None));
        let second = flood(&mut state, 1) as u64;
        assert!(second > first / 3, "{second} are kept after {first}");
        assert!(state.encode().len() < 2 << 20, "{} bytes", state.encode().len());
        let kept = reply(&mut state, submit(first - 1, queue(0), key(0)));
        assert_eq!(kept, Reply::Withdrawn, "what was acknowledged is kept");
        state.apply(Command::TrimJobs { before: at(101) });
        assert_eq!(flood(&mut state, 0) as u64, first + 1, "room is free again");
    }
}

/// A caller's action on a job; ids, queues and accounts are few, so that they meet.
#[derive(Clone, Debug)]
struct Action {
    submits: bool,
    id: JobId,
    queue: usize,
    account: usize,
}

impl Arbitrary for Action {
    fn arbitrary(g: &mut Gen) -> Action {
        Action {
            submits: bool::arbitrary(g),
            id: u64::arbitrary(g) % 3,
            queue: usize::arbitrary(g) % 2,
            account: usize::arbitrary(g) % 2,
        }
    }
}

/// Compares the state with a plain model: the owner of each job, whether it was cancelled, and what
/// was cancelled without a job.
#[test]
fn submissions_and_cancellations_agree_with_a_model() {
    fn agrees(actions: Vec<Action>) -> bool {
        let mut state = state(true);
        let mut jobs: BTreeMap<JobId, (usize, usize, bool)> = BTreeMap::new();
        let mut withdrawn: BTreeSet<(JobId, usize, usize)> = BTreeSet::new();
        actions.into_iter().all(|Action { submits, id, queue: q, account }| {
            let key = Some(NAMES[account]);
            let owner = jobs.get(&id).copied();
            let own = owner.is_some_and(|(queue, holder, _)| (queue, holder) == (q, account));
            let (command, expected) = if submits {
                let expected = match owner {
                    Some(_) if own => Reply::Done,
                    Some(_) => Reply::IdTaken,
                    None if withdrawn.contains(&(id, q, account)) => Reply::Withdrawn,
                    None => {
                        jobs.insert(id, (q, account, false));
                        Reply::Done
                    }
                };
                (submit(id, queue(q), key), expected)
            } else if own {
                jobs.insert(id, (q, account, true));
                (cancel(id, queue(q), key, at(1)), Reply::Done)
            } else {
                withdrawn.insert((id, q, account));
                (cancel(id, queue(q), key, at(1)), Reply::NotFound)
            };
            let agrees = reply(&mut state, command) == expected;
            let cancelled = |id: JobId| state.job(id).map(|job| job.phase == Phase::Cancelled);
            agrees
                && (0..3).all(|id| cancelled(id) == jobs.get(&id).map(|job| job.2))
                && state.withdrawn_ids() == withdrawn.len()
        })
    }
    QuickCheck::new().tests(500).quickcheck(agrees as fn(Vec<Action>) -> bool);
}
