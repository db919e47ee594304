//! Reads request bodies within size and time limits.

use std::{pin::pin, time::Duration};

use bytes::{Bytes, BytesMut};
use xitca_web::body::{BodyExt, RequestBody};

use super::{MAX_BODY_BYTES, refusal::Refusal};

/// Reads all of `body`, which must arrive within `timeout`.
pub async fn read(body: RequestBody, timeout: Duration) -> Result<Bytes, Refusal> {
    tokio::time::timeout(timeout, collect(body))
        .await
        .map_err(|_| Refusal::TooSlow)?
}

async fn collect(body: RequestBody) -> Result<Bytes, Refusal> {
    let mut body = pin!(body);
    let mut buffer = BytesMut::new();
    while let Some(data) = body.as_mut().data().await {
        let data = data.map_err(|_| Refusal::BodyBroken)?;
        if buffer.len() + data.len() > MAX_BODY_BYTES {
            return Err(Refusal::TooLarge {
                max_bytes: MAX_BODY_BYTES,
            });
        }
        buffer.extend_from_slice(&data);
    }
    Ok(buffer.freeze())
}
