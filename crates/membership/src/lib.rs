//! Which upstreams there are: announcements, and their spread between entry hosts.
//!
//! An upstream announces itself to any entry host of its zone, renews, and leaves. Each of its
//! lives has an incarnation number. A record with a higher incarnation wins; within one life
//! *gone* wins over *leaving* and that over *serving*, so that a delayed renewal undoes nothing.
//! Changes are sent to all hosts at once; renewals only to hosts of the own zone, which alone
//! decide that an upstream has fallen silent. A digest now and then finds what was missed.
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
//! assert!(here.announce(Duration::ZERO, ann).is_err(), "a late renewal undoes nothing");
//! ```

mod table;

pub use table::{Announcement, Record, Renewal, Status, Table};
