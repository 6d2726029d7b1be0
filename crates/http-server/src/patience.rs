//! Time limits that don't blame a client for the time in which this process was suspended.

use async_std::task;
use futures::future::{select, Either};
use std::future::Future;
use std::pin::pin;
use std::time::Duration;

/// Number of parts of a time limit. A suspension of any length uses up one part at most, since a
/// part begins only when the process has noticed the end of the one before.
const PARTS: u32 = 4;

/// Waits for `f`. Returns `None` if it takes longer than `limit`.
pub(crate) async fn within<F>(limit: Duration, f: F) -> Option<F::Output>
where
    F: Future,
{
    let expired = async {
        for _ in 0..PARTS {
            task::sleep(limit / PARTS).await;
        }
    };
    match select(pin!(f), pin!(expired)).await {
        Either::Left((output, _)) => Some(output),
        Either::Right(_) => None,
    }
}
