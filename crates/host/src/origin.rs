//! Where a call came from, and so where its answer goes.

use types::{ExchangeId, HostId, Timestamp, ZoneName};

/// Where the answer to a call goes.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Origin {
    /// An exchange of this process, opened by the driver.
    Exchange(ExchangeId),
    /// Another entry host, with the number it gave the call.
    Peer(HostId, u64),
    /// A call sent to every zone: this zone's part of the combined answer.
    Gather(ExchangeId, ZoneName),
    /// This host, acquiring the record of an idempotency key before it sends the request.
    RecordBegin(ExchangeId),
    /// This host, recording the outcome of a request with an idempotency key.
    RecordFinish(ExchangeId),
    /// This host, requesting slots of a zone's upstreams: the zone, the number of the request and
    /// the time at which it was sent.
    SlotRequest(ZoneName, u64, Timestamp),
}
