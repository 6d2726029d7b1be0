//! Client accounts: who submits jobs, and how much of the cell each may use.
//!
//! An operator gives each account keys, a quota and a weight. A [`KeyDigest`] stands for a key
//! everywhere in the program, so that no key is kept, logged or sent between hosts. The crate
//! holds plain data and decisions: it knows no clock and does no I/O.
//!
//! ```
//! use accounts::{Account, AccountBuilder, Accounts, KeyDigest};
//! use types::ResourceVector;
//!
//! let quota = ResourceVector { cpu: 64_000, ..ResourceVector::default() };
//! let account = AccountBuilder::new("river-board").key("s3cret").weight(4.0).quota(quota).build();
//! let accounts = Accounts::new(vec![account]).unwrap();
//! let found: Option<&Account> = accounts.holder(&KeyDigest::of("s3cret"));
//! assert_eq!(found.unwrap().name, "river-board");
//! assert!(accounts.holder(&KeyDigest::of("guess")).is_none());
//! ```

mod account;
mod admission;
mod admittance;
mod key;
mod meter;
mod quota;
mod rate;
mod shares;

pub use account::{Account, AccountBuilder, Accounts, AccountsDigest};
pub use admission::{Admission, Backlog, Candidate, Decision, WorkClass};
pub use admittance::{Admittance, Claim, Freshness};
pub use key::KeyDigest;
pub use quota::Usage;
pub use rate::Rates;
pub use shares::{dominant_share, Share, Shares, Standing};
