//! Membership of upstreams: their announcements, and how entry hosts share them.
//!
//! An upstream announces itself to any entry host of its zone, renews the announcement, and
//! leaves. Each process of an upstream has an incarnation number. The record with the highest
//! incarnation wins; within one incarnation, *gone* wins over *leaving* and *leaving* over
//! *serving*, so that a delayed renewal cannot revert a later status. Changes are sent to all
//! hosts at once. Renewals are sent only to hosts of the upstream's zone, and only these decide
//! that it is silent. Hosts compare digests from time to time to find changes that they missed.
//!
//! ```
//! use membership::{Announcement, Table};
//! use std::time::Duration;
//!
//! let ann = Announcement {
//!     upstream: "10.0.0.1:80".into(), service: "lead-desk".into(), zone: "zone-a".into(),
//!     slots: 8, connections: 60, incarnation: 1,
//! };
//! let mut here = Table::new("zone-a", Duration::from_secs(6));
//! here.announce(Duration::ZERO, ann.clone()).unwrap();
//! let mut there = Table::new("zone-b", Duration::from_secs(6));
//! there.merge(Duration::ZERO, here.take_changes());
//! assert_eq!(there.serving().count(), 1);
//! here.leave(Duration::ZERO, &ann.upstream, 1).unwrap();
//! assert!(here.announce(Duration::ZERO, ann).is_err(), "a late renewal is refused");
//! ```

mod table;

pub use table::{Announcement, Record, Renewal, Status, Table};
