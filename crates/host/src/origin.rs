//! Who asked, so that an answer finds its own asker.

use types::{ExchangeId, HostId, Timestamp, ZoneName};

/// Where the answer to a call goes.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Origin {
    /// An exchange of this process.
    Exchange(ExchangeId),
    /// Another entry host, with its number for the call.
    Peer(HostId, u64),
    /// One zone's part of an answer that is gathered.
    Gather(ExchangeId, ZoneName),
    /// This host: may a request with a key be sent?
    RecordBegin(ExchangeId),
    /// This host: the outcome of a request with a key is recorded.
    RecordFinish(ExchangeId),
    /// This host: its shares of a zone's upstreams, asked for at this time with this number.
    SlotRequest(ZoneName, u64, Timestamp),
}
