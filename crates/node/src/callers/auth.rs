//! Whose call it is.

use http::{HeaderMap, header::AUTHORIZATION};
use poplarswitch_catalog::{Catalog, WorkspaceKey};
use poplarswitch_objects::KeyHash;
use poplarswitch_wire::ErrorCode;

/// The bearer token of a request.
pub(crate) fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers
        .get(AUTHORIZATION)?
        .to_str()
        .ok()?
        .strip_prefix("Bearer ")
        .map(str::trim)
}

/// The workspace that a bearer key belongs to.
///
/// Only digests are compared, so the time that it takes says nothing about any key, and all
/// failures look the same.
pub(super) fn workspace(catalog: &Catalog, headers: &HeaderMap) -> Result<WorkspaceKey, ErrorCode> {
    let key = bearer(headers).ok_or(ErrorCode::Unauthorized)?;
    catalog
        .workspace_of(&KeyHash::from_key(key))
        .ok_or(ErrorCode::Unauthorized)
}
