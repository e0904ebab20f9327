//! Whose call it is.

use http::{HeaderMap, header::AUTHORIZATION};
use poplarswitch_catalog::{Catalog, WorkspaceEntry};
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
pub(super) fn workspace<'a>(
    catalog: &'a Catalog,
    headers: &HeaderMap,
) -> Result<&'a WorkspaceEntry, ErrorCode> {
    let key = bearer(headers).ok_or(ErrorCode::Unauthorized)?;
    let found = catalog.workspace_of(&KeyHash::of(key));
    found
        .map(|key| &catalog.workspaces[key])
        .ok_or(ErrorCode::Unauthorized)
}
