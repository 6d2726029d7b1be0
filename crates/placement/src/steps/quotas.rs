//! Room under the quotas of client accounts.
//!
//! For cells in which some accounts have used up their quotas while there is capacity: their steps
//! wait without a part in the pass, so that they hold up no others. Steps that are wider than the
//! room of their account are placed in waves.

use super::{Claim, Demand, Pass, Reclaimable};
use jobs::{LifeId, ResourceVector};
use std::borrow::Cow;
use types::{AccountName, SortedMap};

/// What each account may still start. Accounts that are not in it have no quota.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rooms(SortedMap<AccountName, ResourceVector>);

impl Rooms {
    /// Whether the room of the account is known.
    pub fn contains(&self, account: &str) -> bool {
        self.0.contains_key(account)
    }

    /// Sets what an account may still start.
    pub fn insert(&mut self, account: AccountName, room: ResourceVector) {
        self.0.insert(account, room);
    }

    /// Number of tasks with this need that the account may still start.
    ///
    /// ```
    /// use types::ResourceVector;
    /// let cores = |n| ResourceVector { cpu: n, ..ResourceVector::default() };
    /// let mut rooms = placement::steps::Rooms::default();
    /// rooms.insert("river-board".into(), cores(7));
    /// assert_eq!(rooms.count(Some("river-board"), &cores(2)), 3);
    /// assert_eq!(rooms.count(Some("without-quota"), &cores(2)), u32::MAX);
    /// ```
    pub fn count(&self, account: Option<&str>, need: &ResourceVector) -> u32 {
        let room = account.and_then(|account| self.0.get(account));
        room.map_or(u32::MAX, |room| need.count_in(room))
    }

    /// Takes an amount from the room of an account.
    pub fn take(&mut self, account: Option<&str>, amount: &ResourceVector) {
        if let Some(room) = account.and_then(|account| self.0.get_mut(account)) {
            *room = room.minus(amount);
        }
    }
}

impl<F> Pass<'_, '_, F>
where
    F: Fn(LifeId) -> Reclaimable,
{
    /// Takes the room for claims, oldest first. Returns those within it; the others are given up:
    /// a quota has fallen.
    pub(super) fn claims_within_room<'c>(
        &mut self,
        claimed: &'c [(Claim, Demand)],
    ) -> Vec<&'c (Claim, Demand)> {
        let mut within = Vec::with_capacity(claimed.len());
        for entry in claimed {
            let (claim, demand) = entry;
            if self.is_within_room(demand) {
                self.take_room(demand, demand.tasks.len());
                within.push(entry);
            } else {
                self.plan.dropped_claims.push(claim.step);
            }
        }
        within
    }

    /// The part of a step for which its account has room; `None` if there is none, or not enough
    /// for the whole gang.
    pub(super) fn within_room<'d>(&mut self, demand: &'d Demand) -> Option<Cow<'d, Demand>> {
        let count = self.rooms.count(demand.account.as_deref(), &demand.need) as usize;
        if count >= demand.tasks.len() {
            return Some(Cow::Borrowed(demand));
        }
        self.plan.beyond_quota.push(demand.step);
        if count == 0 {
            return None;
        }
        if demand.gang {
            self.keep_room_for(demand);
            return None;
        }
        let tasks = demand.tasks[..count].to_vec();
        Some(Cow::Owned(Demand { tasks, ..demand.clone() }))
    }

    /// Keeps what room there is for a gang that has to start now to be on time: smaller steps of
    /// its account behind it would use up all that becomes free.
    fn keep_room_for(&mut self, gang: &Demand) {
        if gang.tight {
            self.take_room(gang, gang.tasks.len());
        }
    }

    fn is_within_room(&self, demand: &Demand) -> bool {
        let count = self.rooms.count(demand.account.as_deref(), &demand.need);
        count as usize >= demand.tasks.len()
    }

    /// Takes the room for a number of tasks of a step.
    pub(super) fn take_room(&mut self, demand: &Demand, count: usize) {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        self.rooms.take(demand.account.as_deref(), &demand.need.times(count));
    }
}
