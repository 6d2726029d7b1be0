//! Reads and validates settings, job and release note files, which are all YAML.
//!
//! An error states the file, the line, the field and the cause.
//!
//! ```
//! let text = "\
//! host: a-1
//! zone: zone-a
//! hosts: [{host: a-1, zone: zone-b, peers: 127.0.0.1:1}]
//! ";
//! let error = settings::Settings::parse("a.yaml", text).unwrap_err();
//! assert_eq!(
//!     error.to_string(),
//!     "a.yaml:2: zone: `a-1` is listed in zone-b, not in zone-a",
//! );
//! ```

mod error;
mod limits;
mod lines;
mod model;
mod note;
mod voters;

pub use error::{Error, ErrorKind};
pub use limits::Limits;
pub use model::{
    DrainSettings, HostEntry, Listen, LogFormat, LogSettings, Settings, DEFAULT_OPERATOR_TOKEN,
};
pub use note::{parse_job, parse_job_file, parse_note, parse_note_file, sha256_hex};
pub use voters::{cell_voters, zone_voters, Voter};
