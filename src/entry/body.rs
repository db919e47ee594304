//! Reads request bodies within limits on size and time.

use std::{pin::pin, time::Duration};

use bytes::{Bytes, BytesMut};
use xitca_web::{
    WebContext,
    body::{BodyExt, RequestBody},
};

use super::{Shared, problem::Problem};

/// Reads the whole body of a request.
///
/// # Errors
///
/// Fails with the problem to respond with if the body exceeds the size limit,
/// does not arrive in time, or is incomplete.
pub async fn read(ctx: &WebContext<'_, Shared>) -> Result<Bytes, Problem> {
    let limits = &ctx.state().settings.limits;
    let timeout = Duration::from_millis(limits.request_read_timeout_ms);
    let body = std::mem::take(&mut *ctx.body_borrow_mut());
    tokio::time::timeout(timeout, collect(body, limits.max_body_bytes))
        .await
        .map_err(|_| Problem::TooSlow)?
}

async fn collect(body: RequestBody, max_bytes: usize) -> Result<Bytes, Problem> {
    let mut body = pin!(body);
    let mut buffer = BytesMut::new();
    while let Some(data) = body.as_mut().data().await {
        let data = data.map_err(|_| Problem::Malformed)?;
        if buffer.len() + data.len() > max_bytes {
            return Err(Problem::TooLarge);
        }
        buffer.extend_from_slice(&data);
    }
    Ok(buffer.freeze())
}
