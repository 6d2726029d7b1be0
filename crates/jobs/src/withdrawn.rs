//! Ids of jobs that were cancelled before a submission under them arrived.
//!
//! A submission may be held up on its way while its caller gives up and cancels the job elsewhere.
//! The cancelled ids are kept, so that a submission that arrives later starts nothing.

use crate::model::QueueId;
use crate::sizes;
use serde::{Deserialize, Serialize};
use types::{AccountName, JobId, SortedMap, Timestamp};

/// Maximum size of all withdrawn ids, in bytes.
const MAX_BYTES: usize = 2 << 20;

/// The ids of one holder, and when each was cancelled last.
type Ids = SortedMap<(JobId, QueueId), Timestamp>;

/// Whose cancellations are kept together: a cancellation affects only the holder's own submissions,
/// and room is shared between holders.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum Holder {
    /// Callers of a queue that needs no account.
    Queue(QueueId),
    /// An account.
    Account(AccountName),
}

impl Holder {
    pub(crate) fn new(queue: QueueId, account: Option<&AccountName>) -> Holder {
        account.map_or(Holder::Queue(queue), |name| Holder::Account(name.clone()))
    }

    fn bytes(&self) -> usize {
        sizes::WITHDRAWN_HOLDER
            + match self {
                Holder::Queue(_) => 0,
                Holder::Account(name) => name.len(),
            }
    }
}

/// There is no room for another withdrawn id of a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Full {
    /// No id of any holder was cancelled before; room is free once the oldest is forgotten.
    pub(crate) oldest: Timestamp,
}

/// The withdrawn ids of all holders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Withdrawn {
    holders: SortedMap<Holder, Ids>,
    /// No id was cancelled last before this time.
    oldest: Timestamp,
}

impl Withdrawn {
    pub(crate) fn contains(&self, holder: &Holder, queue: QueueId, id: JobId) -> bool {
        self.holders.get(holder).is_some_and(|ids| ids.contains_key(&(id, queue)))
    }

    /// Number of ids.
    pub(crate) fn len(&self) -> usize {
        self.holders.values().map(SortedMap::len).sum()
    }

    /// Checks whether there is room for an id. A holder may use as much as it leaves free, so that
    /// others find room after any one has taken all it can.
    pub(crate) fn check_room(
        &self,
        holder: &Holder,
        queue: QueueId,
        id: JobId,
    ) -> Result<(), Full> {
        let held = self.holders.get(holder);
        if held.is_some_and(|ids| ids.contains_key(&(id, queue))) {
            return Ok(());
        }
        let of_holder = holder.bytes() + held.map_or(0, SortedMap::len) * sizes::WITHDRAWN_ID;
        let others = self.holders.iter().filter(|(other, _)| *other != holder);
        let others: usize =
            others.map(|(other, ids)| other.bytes() + ids.len() * sizes::WITHDRAWN_ID).sum();
        if 2 * (of_holder + sizes::WITHDRAWN_ID) + others <= MAX_BYTES {
            return Ok(());
        }
        Err(Full { oldest: self.oldest })
    }

    /// Keeps an id, if there is room for it.
    pub(crate) fn insert(
        &mut self,
        holder: Holder,
        queue: QueueId,
        id: JobId,
        at: Timestamp,
    ) -> Result<(), Full> {
        self.check_room(&holder, queue, id)?;
        self.oldest = if self.holders.is_empty() { at } else { self.oldest.min(at) };
        let ids = self.holders.get_or_insert_with(holder, Ids::default);
        let last = ids.get_or_insert_with((id, queue), || at);
        *last = at.max(*last);
        Ok(())
    }

    /// Forgets ids that were cancelled before this time.
    pub(crate) fn trim(&mut self, before: Timestamp) {
        for ids in self.holders.values_mut() {
            ids.retain(|_, at| *at >= before);
        }
        self.holders.retain(|_, ids| !ids.is_empty());
        let times = self.holders.values().flat_map(SortedMap::values);
        self.oldest = times.min().copied().unwrap_or_default();
    }
}
