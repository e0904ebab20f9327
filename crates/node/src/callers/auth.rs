//! Authenticates calls by their bearer key.

use http::{HeaderMap, header::AUTHORIZATION};
use poplarswitch_catalog::{Catalog, WorkspaceKey};
use poplarswitch_objects::KeyHash;
use poplarswitch_wire::ErrorCode;

/// Bearer key of a request.
pub(crate) fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers
        .get(AUTHORIZATION)?
        .to_str()
        .ok()?
        .strip_prefix("Bearer ")
        .map(str::trim)
}

/// Workspace that the bearer key of a request belongs to.
///
/// Only digests of keys are compared, so the duration of the look-up reveals nothing about any key.
/// A missing and an unknown key give the same error.
pub(super) fn workspace(catalog: &Catalog, headers: &HeaderMap) -> Result<WorkspaceKey, ErrorCode> {
    let key = bearer(headers).ok_or(ErrorCode::Unauthorized)?;
    catalog
        .workspace_of(&KeyHash::from_key(key))
        .ok_or(ErrorCode::Unauthorized)
}
