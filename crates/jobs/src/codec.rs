//! Encoding of the state in snapshots and of commands in log entries.
//!
//! Both begin with the version of their layout, in bytes that no earlier release can have written
//! there: data without a version is read in the layout of the release before versions.

use crate::command::Command;
use crate::state::{legacy, State};
use serde::Serialize;
use std::error::Error;
use std::fmt;

/// First bytes of a snapshot with a version. Earlier snapshots begin with a number of 64 bits, in
/// which no tenth byte is above 1.
const SNAPSHOT_MAGIC: [u8; 10] = [0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f];
/// Version of the layout of snapshots.
const SNAPSHOT_LAYOUT: u8 = 3;
/// First byte of a log entry: the version of its layout, with the high bit set. Earlier entries
/// begin with the number of a command, which is small.
const LOG_ENTRY_LAYOUT: u8 = 0x80 | 3;
/// First byte of a log entry of the release before withdrawn ids.
const LOG_ENTRY_LAYOUT_2: u8 = 0x80 | 2;
/// Lowest first byte of a log entry with a version.
const FIRST_LOG_ENTRY_LAYOUT: u8 = 0x80;

/// Why a snapshot or log entry can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError {
    /// What was to be decoded.
    what: &'static str,
    cause: String,
}

impl DecodeError {
    fn unknown_layout(what: &'static str, layout: u8) -> DecodeError {
        DecodeError { what, cause: format!("layout {layout} is not known to this release") }
    }
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.what, self.cause)
    }
}

impl Error for DecodeError {}

const SNAPSHOT: &str = "snapshot";
const LOG_ENTRY: &str = "log entry";

impl State {
    /// Encodes the state for a snapshot.
    ///
    /// ```
    /// let state = jobs::State::default();
    /// assert_eq!(jobs::State::decode(&state.encode()), Ok(state));
    /// ```
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = SNAPSHOT_MAGIC.to_vec();
        buf.push(SNAPSHOT_LAYOUT);
        extend(buf, self)
    }

    /// Decodes the state of a snapshot, also one that an earlier release has written. No data is
    /// the state before the first command.
    pub fn decode(data: &[u8]) -> Result<State, DecodeError> {
        if data.is_empty() {
            return Ok(State::default());
        }
        let state = match data.strip_prefix(&SNAPSHOT_MAGIC) {
            None => legacy::decode_state(data).map(State::recounted),
            Some([SNAPSHOT_LAYOUT, data @ ..]) => postcard::from_bytes(data).map(State::recounted),
            Some([2, data @ ..]) => legacy::decode_state_2(data).map(State::recounted),
            Some(rest) => {
                let layout = rest.first().copied().unwrap_or_default();
                return Err(DecodeError::unknown_layout(SNAPSHOT, layout));
            }
        };
        state.map_err(|e| DecodeError { what: SNAPSHOT, cause: e.to_string() })
    }
}

impl Command {
    /// Encodes the command for the log.
    ///
    /// ```
    /// let command = jobs::Command::LifeOver { life: 3 };
    /// assert_eq!(jobs::Command::decode(&command.encode()), Ok(command));
    /// ```
    pub fn encode(&self) -> Vec<u8> {
        extend(vec![LOG_ENTRY_LAYOUT], self)
    }

    /// Decodes a command of the log, also one that an earlier release has written.
    pub fn decode(data: &[u8]) -> Result<Command, DecodeError> {
        let command = match data {
            [LOG_ENTRY_LAYOUT, data @ ..] => postcard::from_bytes(data),
            [LOG_ENTRY_LAYOUT_2, data @ ..] => legacy::decode_command_2(data),
            [layout, ..] if *layout >= FIRST_LOG_ENTRY_LAYOUT => {
                let version = layout - FIRST_LOG_ENTRY_LAYOUT;
                return Err(DecodeError::unknown_layout(LOG_ENTRY, version));
            }
            _ => legacy::decode_command(data),
        };
        command.map_err(|e| DecodeError { what: LOG_ENTRY, cause: e.to_string() })
    }
}

fn extend<T>(buf: Vec<u8>, value: &T) -> Vec<u8>
where
    T: Serialize,
{
    postcard::to_extend(value, buf).expect("plain data always encodes")
}
