//! Jobs beyond their account's rate, in the replicated state.

use accounts::{AccountBuilder, Accounts, KeyDigest};
use jobs::{
    Command, Configuration, JobRequest, QueueAddress, QueuePolicy, Reply, ServicePolicy, State,
    StepSpec,
};
use std::time::Duration;
use types::JobId;

const START: Duration = Duration::from_secs(1_000);

fn state(weight: f64) -> State {
    let account = AccountBuilder::new("river-board").key("s3cret").weight(weight).build();
    let policy = QueuePolicy {
        service: "crunch".into(),
        request_timeout: Duration::from_secs(3),
        ..QueuePolicy::default()
    };
    let service = ServicePolicy { name: "crunch".into(), ..ServicePolicy::default() };
    let configuration = Box::new(Configuration {
        version: 1,
        queues: vec![(QueueAddress::default(), policy)],
        services: vec![service],
        accounts: Accounts::new(vec![account]).unwrap(),
        ..Configuration::default()
    });
    let mut state = State::default();
    state.apply(Command::Configure { configuration });
    state
}

fn submit(state: &mut State, id: JobId, at: Duration) -> bool {
    let step = StepSpec { count: 1, ..StepSpec::default() };
    let request = Box::new(JobRequest { steps: vec![step], ..JobRequest::default() });
    let (queue, key) = (QueueAddress::default(), Some(KeyDigest::of("s3cret")));
    let (reply, _) = state.apply(Command::Submit { id, queue, request, at, key, room: None });
    assert_eq!(reply, Reply::Done);
    state.job(id).unwrap().over_rate
}

/// Guards against resends that use up the rate of their account.
#[test]
fn a_job_that_is_sent_again_counts_once() {
    let mut state = state(1.0);
    for _ in 0..5 {
        assert!(!submit(&mut state, 1, START));
    }
    assert!(!submit(&mut state, 2, START));
    assert!(submit(&mut state, 3, START), "a third job within the two seconds of the burst");
    assert!(submit(&mut state, 3, START + Duration::from_secs(60)), "a resend changes the mark");
}

/// Guards against rates that are lost with the leader: a member that starts from a snapshot
/// decides as the others do.
#[test]
fn rates_survive_a_snapshot() {
    let mut state = state(1.0);
    assert!(!submit(&mut state, 1, START) && !submit(&mut state, 2, START));
    let mut restored = State::decode(&state.encode()).unwrap();
    assert!(submit(&mut restored, 3, START));
    assert!(submit(&mut state, 3, START));
    assert_eq!(restored, state);
}
