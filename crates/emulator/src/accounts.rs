//! Accounts of a simulation: their configuration, and callers whose jobs are refused.

use crate::load::{Arrival, WeightChange};
use crate::scenario::Scenario;
use crate::simulation::{Event, Simulation, NETWORK_DELAY};
use ::accounts::{Account, AccountBuilder, Accounts, KeyDigest, Rates};
use std::time::Duration;
use types::{ExchangeId, Refusal, RefusalKind};

/// A caller sends a job again at most this often.
const MAX_RETRIES: u32 = 4;
/// A caller gives up this long after its first attempt.
const CALLER_DEADLINE: Duration = Duration::from_secs(3);

/// The accounts as the operator configures them.
pub(crate) fn configured(scenario: &Scenario, change: Option<&WeightChange>) -> Accounts {
    let account = |(i, profile): (usize, &crate::scenario::AccountProfile)| {
        let factor = change.filter(|change| change.account == i).map_or(1.0, |c| c.factor);
        let builder = AccountBuilder::new(profile.name.clone()).key(&profile.name);
        builder.weight(profile.weight * factor).build()
    };
    let all: Vec<Account> = scenario.accounts.iter().enumerate().map(account).collect();
    Accounts::new(all).expect("names of a scenario are unique")
}

/// Key of the account that sends the job.
pub(crate) fn key(scenario: &Scenario, arrival: &Arrival) -> Option<KeyDigest> {
    let account = arrival.account.filter(|_| scenario.accounts_configured)?;
    Some(KeyDigest::of(&scenario.accounts[account].name))
}

/// Whether each job is within the rate of its account, by the time at which it is sent.
pub(crate) fn owed(scenario: &Scenario, arrivals: &[Arrival]) -> Vec<bool> {
    let accounts = configured(scenario, None);
    let mut rates = Rates::default();
    let mut is_owed = |arrival: &Arrival| {
        let name = arrival.account.map(|i| &scenario.accounts[i].name);
        let account = name.and_then(|name| accounts.get(name));
        account.is_none_or(|account| rates.count(account, arrival.at))
    };
    arrivals.iter().map(&mut is_owed).collect()
}

impl Simulation<'_> {
    /// A caller reads the answer to its submission. If it was refused, the caller sends the job
    /// again after the time that the refusal names, or after a third of the time that it has left.
    pub(crate) fn read_refusal(&mut self, exchange: ExchangeId, refusal: &Refusal) {
        if refusal.kind != RefusalKind::Overloaded {
            return;
        }
        let Some(i) = self.submissions.remove(&exchange) else { return };
        let now = self.now + NETWORK_DELAY * 3;
        let times = &mut self.job_times[i];
        times.refusals += 1;
        let left = (self.arrivals[i].at + CALLER_DEADLINE).saturating_sub(now);
        let wait = refusal.retry_after.unwrap_or_default().min(left / 3);
        if times.refusals <= MAX_RETRIES && left > Duration::from_millis(100) {
            self.schedule_after(NETWORK_DELAY * 3 + wait, Event::Submit(i));
        }
    }
}
