//! Bodies of requests, which the server has received within `limits.body`.

use super::Shared;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use tide::Request;
use types::{Refusal, RefusalKind};

/// Returns the body of a request.
pub(crate) async fn read(req: &mut Request<Arc<Shared>>) -> Result<Vec<u8>, Refusal> {
    let body = req.take_body().into_bytes().await;
    body.map_err(|e| Refusal::new(RefusalKind::BadInput, format!("body: {e}")))
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
