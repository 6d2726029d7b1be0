//! Loss of the leader.

use crate::simulation::{node_config, Event, Simulation, LEADER, NETWORK_DELAY};
use consensus::{Config, HardState, Member, Restored, Role, Snapshot};
use scheduler::{Node, StartState};
use std::sync::Arc;
use types::JobId;

impl Simulation<'_> {
    /// Replaces the leader by a process that knows only the replicated state and is elected after
    /// the usual time. All messages to and from the lost process are lost. Callers whose jobs were
    /// not accepted submit them again.
    pub(crate) fn replace_leader(&mut self) {
        let state = self.node.state().expect("the leader is a member");
        let member = Member { id: 1, host: LEADER.to_string(), role: Role::Voter };
        let snapshot = Snapshot {
            index: 1,
            term: 1,
            config: Config::new(vec![member]),
            data: Arc::new(state.encode()),
        };
        let not_accepted = |id: &JobId| state.job(*id).is_none();
        let again: Vec<usize> =
            self.open_jobs.iter().filter(|(id, _)| not_accepted(id)).map(|(_, i)| *i).collect();
        let hard_state = HardState { term: 1, vote: None, commit: 1 };
        let group = Some(Restored { hard_state, snapshot, entries: Vec::new() });
        let start = StartState { member: 1, process: 2, now: self.now, seed: 1, group };
        self.node = Node::new(node_config(self.scenario), start);
        self.events.retain(|_, event| !matches!(event, Event::Input(_) | Event::Order(..)));
        self.inbox.clear();
        self.repeat_reports();
        self.holds.fill(None);
        for i in again {
            self.schedule_after(NETWORK_DELAY, Event::Submit(i));
        }
        self.busy_until = self.now;
        self.schedule_step(self.now);
    }
}
