//! Reads request bodies within limits of size and time.

use super::Shared;
use async_std::future::timeout;
use async_std::io::ReadExt;
use request_body::BodyState;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use tide::Request;
use types::{Refusal, RefusalKind};

/// Reads a body, at most `limits.body` bytes within `limits.read_timeout`.
pub(crate) async fn read(req: &mut Request<Arc<Shared>>) -> Result<Vec<u8>, Refusal> {
    let limits = req.state().settings.limits.clone();
    let too_large = || {
        let limit = types::quantity::format_bytes(limits.body);
        Refusal::new(RefusalKind::TooLarge, format!("body: larger than {limit}"))
    };
    if req.len().is_some_and(|length| length as u64 > limits.body) {
        return Err(too_large());
    }
    let content_length = req.len();
    let mut body = Vec::new();
    let mut reader = req.take_body().into_reader().take(limits.body + 1);
    let bad = |cause: &str| Refusal::new(RefusalKind::BadInput, format!("body: {cause}"));
    match timeout(limits.read_timeout, reader.read_to_end(&mut body)).await {
        Ok(Ok(_)) => {}
        Ok(Err(e)) => return Err(bad(&e.to_string())),
        Err(_) => return Err(bad("did not arrive in time")),
    }
    if body.len() as u64 > limits.body {
        return Err(too_large());
    }
    if content_length.is_some_and(|length| length != body.len()) {
        return Err(bad("ends before its announced length"));
    }
    if let Some(state) = req.ext::<BodyState>() {
        state.mark_read();
    }
    Ok(body)
}

/// Reads a body as JSON. The refusal names the field and the cause.
pub(crate) async fn read_json<T>(req: &mut Request<Arc<Shared>>) -> Result<T, Refusal>
where
    T: DeserializeOwned,
{
    let body = read(req).await?;
    serde_json::from_slice(&body)
        .map_err(|e| Refusal::new(RefusalKind::BadInput, format!("body: {e}")))
}
