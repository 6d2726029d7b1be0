//! The order and number of writes. Commands that arrive together share one write, so that one disk
//! sync covers all of them.

use consensus::Role;
use host::{
    Call, GroupCall, GroupId, Host, HostConfigBuilder, InitialMember, Input, Output, StartState,
};
use std::time::Duration;
use types::{JobClass, JobSpec, ReleaseNote, Resources};

fn spec(i: u64) -> JobSpec {
    JobSpec {
        team: "t".into(),
        name: format!("j{i}"),
        class: JobClass::Batch,
        tasks: 1,
        resources: Resources { cpu: 1, memory: 1, accelerators: 0 },
        command: vec![],
        run_time: None,
        deadline: None,
        urgent: false,
        unrepeatable: false,
        zone: None,
    }
}

#[test]
fn commands_that_come_together_are_written_together() {
    let zone = GroupId::Zone("a".into());
    let members = vec![InitialMember { host: "a-1".into(), role: Role::Voter }];
    let cfg = HostConfigBuilder::new("a-1", "a").group(zone, members).build();
    let mut host = Host::new(cfg, StartState { member: 1, process: 1, ..StartState::default() });
    for second in 1..5 {
        host.step(Duration::from_secs(second), Input::Tick);
    }
    let now = Duration::from_secs(5);
    for exchange in 0..500 {
        let call = Call::Group(GroupCall::Submit(spec(exchange)));
        host.handle(now, Input::Call(exchange, call));
    }
    let outputs = host.finish(now);
    let writes: Vec<usize> = outputs
        .iter()
        .filter_map(|output| match output {
            Output::Persist(_, ready) => Some(ready.entries.len()),
            _ => None,
        })
        .collect();
    let answers = outputs.iter().filter(|o| matches!(o, Output::Answer(_, Ok(_)))).count();
    assert_eq!((writes.iter().sum::<usize>(), writes[0], answers), (500, 500, 500));
    // All durable outputs come before any answer or message.
    let first_out = outputs.iter().position(|output| !output.is_durable()).unwrap();
    assert!(outputs[first_out..].iter().all(|output| !output.is_durable()));
}

/// Guards against a release that a power loss leaves in force at a host whose log has lost it.
#[test]
fn a_release_is_saved_after_the_entry_that_it_comes_from() {
    let members = vec![InitialMember { host: "a-1".into(), role: Role::Voter }];
    let cfg = HostConfigBuilder::new("a-1", "a").group(GroupId::Cell, members).build();
    let mut host = Host::new(cfg, StartState { member: 1, process: 1, ..StartState::default() });
    for second in 1..5 {
        host.step(Duration::from_secs(second), Input::Tick);
    }
    let note = ReleaseNote::default();
    let call = GroupCall::ApplyRelease { request: "r".into(), note, digest: "d".into() };
    let outputs = host.step(Duration::from_secs(5), Input::Call(1, Call::Group(call)));
    let saved = outputs.iter().position(|o| matches!(o, Output::SaveRelease(_))).unwrap();
    let is_write =
        |output: &Output| matches!(output, Output::Persist(_, r) if !r.entries.is_empty());
    let written = outputs.iter().rposition(is_write).unwrap();
    assert!(written < saved, "entry at {written}, release at {saved}");
}
