//! Reads the body of a call within its bounds.

use crate::shared::Shared;
use bytes::Bytes;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use poplarswitch_wire::ErrorCode;

/// Reads a body; too long, too slow or broken ones are refused.
pub(super) async fn read(shared: &Shared, body: Incoming) -> Result<Bytes, ErrorCode> {
    let limits = &shared.settings.limits;
    let most = limits.body_bytes as usize;
    if body.size_hint().lower() > most as u64 {
        return Err(ErrorCode::BodyTooLarge);
    }
    let read = Limited::new(body, most).collect();
    match tokio::time::timeout(limits.body_timeout(), read).await {
        Err(_) => Err(ErrorCode::BodyTimeout),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ErrorCode::BodyTooLarge),
        Ok(Err(_)) => Err(ErrorCode::Malformed),
    }
}
