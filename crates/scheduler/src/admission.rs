//! Refusal of jobs that could not start in time, at the leader.

use crate::call::Call;
use crate::group::Origin;
use crate::job_log::log_no_room;
use crate::leader::Leader;
use crate::node::Node;
use crate::stats::NodeStats;
use accounts::{Account, Candidate, Decision};
use jobs::{JobRequest, QueueAddress, State};
use std::time::Duration;
use types::{AccountName, JobId, Refusal, RefusalKind, SortedMap, Timestamp};

/// Refusals are logged at most this often; each line says how many there were since the last.
const LOG_INTERVAL: Duration = Duration::from_millis(100);

/// What the leader remembers about submissions.
#[derive(Debug, Default)]
pub(crate) struct Submissions {
    /// Jobs that are proposed and not applied yet. Such a job may take effect, so that a copy of
    /// its submission must not be refused.
    proposed: SortedMap<JobId, ()>,
    next_log: Timestamp,
    unlogged: u32,
}

impl Submissions {
    pub(crate) fn record_proposed(&mut self, id: JobId) {
        self.proposed.insert(id, ());
    }

    /// Records that the proposal of a job was applied, whatever came of it.
    pub(crate) fn record_applied(&mut self, id: JobId) {
        self.proposed.remove(&id);
    }
}

impl Node {
    /// Refuses a new job at once if there is no room for it or, where accounts are configured, if it
    /// could not start in time.
    pub(crate) fn refusal_of(
        &mut self,
        id: JobId,
        queue: &QueueAddress,
        caller: Option<&AccountName>,
        request: &JobRequest,
        key: Option<&accounts::KeyDigest>,
    ) -> Option<Refusal> {
        let now = self.now;
        let room = self.cfg.state_room;
        // A copy of the submission may take effect.
        if self.leader_mut()?.submissions.proposed.contains_key(&id) {
            return None;
        }
        if let Some(reply) = self.state()?.check_room(caller, request, room) {
            self.stats.refused_no_room += 1;
            log_no_room(id, self.state()?.stored_bytes(), room);
            return self.answer_from_reply(reply).err();
        }
        let group = self.group.as_mut()?;
        let leader = group.leader.as_deref_mut()?;
        let account = group.state.configuration().accounts.holder(key?)?;
        let over_rate = !group.state.rates().is_within(account, now);
        let decision = leader.decide(&group.state, account, id, queue, request, now)?;
        let after = decision.retry_after?;
        count_refusal(&mut self.stats, over_rate);
        leader.log_refusal(account, over_rate, &decision, now);
        let cause = if over_rate {
            "the account sends more jobs than its weight allows, and the cell is full"
        } else {
            "the cell is full: the job could not start in time"
        };
        Some(Refusal::new(RefusalKind::Overloaded, cause).retry_after(after))
    }

    /// An answer to a call of which several copies were sent says nothing about the other copies:
    /// one that arrives later may be accepted.
    pub(crate) fn weaken_refusal(call: &Call, copies: u32, refusal: Refusal) -> Refusal {
        let submits = matches!(call, Call::Submit { .. });
        let refused_now =
            [RefusalKind::Overloaded, RefusalKind::Unavailable].contains(&refusal.kind);
        if !submits || copies < 2 || !refused_now {
            return refusal;
        }
        let cause = "one copy of the call was refused, another may still be carried out";
        Refusal { retry_after: refusal.retry_after, ..Refusal::new(RefusalKind::Unknown, cause) }
    }

    /// Proposes a submission.
    pub(crate) fn propose_submission(&mut self, origin: Origin, id: JobId, cmd: jobs::Command) {
        if let Some(leader) = self.leader_mut() {
            leader.submissions.record_proposed(id);
        }
        self.propose_for(origin, cmd);
    }
}

fn count_refusal(stats: &mut NodeStats, over_rate: bool) {
    if over_rate {
        stats.refused_over_rate += 1;
    } else {
        stats.refused_too_late += 1;
    }
}

impl Leader {
    /// What admission says about a new job; `None` if it has nothing to say.
    fn decide(
        &mut self,
        state: &State,
        account: &Account,
        id: JobId,
        queue: &QueueAddress,
        request: &JobRequest,
        now: Timestamp,
    ) -> Option<Decision> {
        let fairness = &mut self.fairness;
        let idle = self.ready.is_empty() || !fairness.admission.is_settled(now);
        let timed = request.schedule.is_some() || request.steps.iter().any(|s| s.long_running);
        if idle || timed {
            return None;
        }
        let queue = state.open_queue(queue)?;
        let (policy, critical_path) = (state.policy(queue), request.critical_path());
        let over_rate = !state.rates().is_within(account, now);
        let share = fairness.shares.of(Some(&account.name));
        let candidate = Candidate {
            account: &account.name,
            over_rate,
            due_share: share.map_or_else(|| due_share(state, account), |share| share.due),
            rate_wait: state.rates().wait(account, now).unwrap_or(Duration::MAX),
            priority: policy.priority,
            objective: policy.objective(critical_path),
            duration: critical_path.mul_f64(self.speeds.correction(queue)),
            has_room: fairness.has_room(request, over_rate),
            seed: id,
        };
        Some(fairness.admission.decide(&candidate, &fairness.backlog, now))
    }

    fn log_refusal(
        &mut self,
        account: &Account,
        over_rate: bool,
        decision: &Decision,
        now: Timestamp,
    ) {
        self.submissions.unlogged += 1;
        if now < self.submissions.next_log {
            return;
        }
        let count = std::mem::take(&mut self.submissions.unlogged);
        self.submissions.next_log = now + LOG_INTERVAL;
        let waiting = (self.fairness.backlog.total() * 1_000.0) as u64;
        let rate = (self.fairness.admission.rate() * 1_000.0) as u64;
        log::info!(account = account.name.as_str(), over_rate = over_rate, count = count,
            start_in_ms = decision.start_in.as_millis() as u64,
            limit_ms = decision.limit.as_millis() as u64, waiting_cell_ms = waiting,
            rate_permille = rate; "jobs refused: they could not start in time");
    }
}

/// Share of the cell that is due to an account if all accounts are active.
fn due_share(state: &State, account: &Account) -> f64 {
    let total: f64 = state.configuration().accounts.iter().map(|account| account.weight).sum();
    if total > 0.0 {
        account.weight / total
    } else {
        0.0
    }
}
