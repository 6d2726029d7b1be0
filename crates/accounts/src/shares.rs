//! The share of the cell that each account uses, against the share that is due to it.

use crate::account::{Account, Accounts};
use crate::quota::Usage;
use types::{AccountName, ResourceVector, SortedMap};

/// How the work of an account stands beside that of others. The default is that of work without
/// an account, and the best.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Whether the job is beyond its account's rate.
    pub over_rate: bool,
    /// Whether the account uses more than its share.
    pub above_share: bool,
    /// Priority among accounts; 0 is the highest.
    pub priority: u32,
}

/// What is used of the cell by one account, and what is due to it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Largest fraction of the cell that the account uses of any resource.
    pub used: f64,
    /// Fraction of the cell that is due to the account: its weight among the active accounts.
    pub due: f64,
    /// Priority among accounts; 0 is the highest.
    pub priority: u32,
}

impl Share {
    /// The standing of the account's work that is within its rate.
    pub fn standing(&self) -> Standing {
        let above_share = self.used > self.due;
        Standing { above_share, priority: self.priority, over_rate: false }
    }
}

/// Shares of the active accounts: those that use something or have work that waits.
#[derive(Clone, Debug, Default)]
pub struct Shares(SortedMap<AccountName, Share>);

impl Shares {
    /// Computes the shares of the active accounts. What is due to idle accounts is lent to the
    /// others by weight, until they have work again.
    ///
    /// ```
    /// use accounts::{AccountBuilder, Accounts, Shares, Usage};
    /// use types::ResourceVector;
    /// let account = |name, weight| AccountBuilder::new(name).weight(weight).build();
    /// let accounts = [account("a", 3.0), account("b", 1.0), account("idle", 8.0)];
    /// let accounts = Accounts::new(accounts.to_vec()).unwrap();
    /// let cpu = |cpu| ResourceVector { cpu, memory: 0, gpu: 0 };
    /// let mut usage = Usage::default();
    /// usage.take(&"a".into(), &cpu(500));
    /// usage.take(&"b".into(), &cpu(500));
    /// let shares = Shares::new(&accounts, &usage, ["a", "b"], &cpu(1_000));
    /// assert!(!shares.standing(Some("a")).above_share);
    /// assert!(shares.standing(Some("b")).above_share);
    /// ```
    pub fn new<'a, I>(
        accounts: &Accounts,
        usage: &Usage,
        waiting: I,
        cell: &ResourceVector,
    ) -> Shares
    where
        I: IntoIterator<Item = &'a str>,
    {
        let mut waiting: Vec<&str> = waiting.into_iter().collect();
        waiting.sort_unstable();
        waiting.dedup();
        let uses = |account: &&Account| usage.of(&account.name) != ResourceVector::default();
        let waits = |account: &&Account| waiting.binary_search(&account.name.as_str()).is_ok();
        let active = || accounts.iter().filter(|account| uses(account) || waits(account));
        let total: f64 = active().map(|account| account.weight).sum();
        let mut shares = SortedMap::default();
        for account in active() {
            let used = dominant_share(&usage.of(&account.name), cell);
            let due = if total > 0.0 { account.weight / total } else { 0.0 };
            let priority = account.priority;
            shares.insert(account.name.clone(), Share { used, due, priority });
        }
        Shares(shares)
    }

    /// The standing of an account's work that is within its rate.
    pub fn standing(&self, account: Option<&str>) -> Standing {
        self.of(account).map(|share| share.standing()).unwrap_or_default()
    }

    /// The share of an account; `None` if it is not active.
    pub fn of(&self, account: Option<&str>) -> Option<&Share> {
        self.0.get(account?)
    }

    /// All active accounts with their shares, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = (&AccountName, &Share)> {
        self.0.iter()
    }
}

/// Largest fraction of the cell that `used` is of any resource.
///
/// ```
/// use types::ResourceVector;
/// let used = ResourceVector { cpu: 10, memory: 30, gpu: 0 };
/// let cell = ResourceVector { cpu: 100, memory: 100, gpu: 0 };
/// assert_eq!(accounts::dominant_share(&used, &cell), 0.3);
/// ```
pub fn dominant_share(used: &ResourceVector, cell: &ResourceVector) -> f64 {
    let fraction = |used: u64, all: u64| match (used, all) {
        (0, _) => 0.0,
        (_, 0) => 1.0,
        (used, all) => used as f64 / all as f64,
    };
    fraction(used.cpu, cell.cpu)
        .max(fraction(used.memory, cell.memory))
        .max(fraction(used.gpu, cell.gpu))
}
