//! Reads the body of a call within its limits.

use crate::shared::Shared;
use bytes::Bytes;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use poplarswitch_wire::ErrorCode;

/// Reads a body; fails if it is too large, takes too long or is cut off.
pub(super) async fn read(shared: &Shared, body: Incoming) -> Result<Bytes, ErrorCode> {
    let limits = &shared.settings.limits;
    let limit = limits.body_bytes as usize;
    if body.size_hint().lower() > limit as u64 {
        return Err(ErrorCode::BodyTooLarge);
    }
    let collect = Limited::new(body, limit).collect();
    match tokio::time::timeout(limits.body_timeout(), collect).await {
        Err(_) => Err(ErrorCode::BodyTimeout),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ErrorCode::BodyTooLarge),
        Ok(Err(_)) => Err(ErrorCode::Malformed),
    }
}
