//! Resolves the class and the idempotency key of a call.

use http::HeaderMap;
use poplarswitch_catalog::{Catalog, ClassEntry, Route};
use poplarswitch_wire::{ErrorCode, headers};

/// Class of a call, named by its header or the route's default; fails if the class is unknown or
/// does not allow the route.
pub(super) fn class<'a>(
    catalog: &'a Catalog,
    headers: &HeaderMap,
    default: &str,
    route: &Route,
) -> Result<&'a ClassEntry, ErrorCode> {
    let name = match headers.get(headers::CLASS) {
        Some(value) => value.to_str().ok().ok_or(ErrorCode::UnknownClass)?,
        None => default,
    };
    let key = catalog.class(name).ok_or(ErrorCode::UnknownClass)?;
    let entry = &catalog.classes[key];
    let allowed = match route {
        Route::Model(model) => entry.class.models.contains(model),
        Route::Service(service) => entry.class.services.contains(service),
    };
    if allowed {
        Ok(entry)
    } else {
        Err(ErrorCode::ClassMismatch)
    }
}

/// Idempotency key of a call, if any; fails if there is none and the class is not repeatable.
pub(super) fn idempotency_key(
    headers: &HeaderMap,
    class: &ClassEntry,
) -> Result<Option<String>, ErrorCode> {
    let key = headers
        .get(headers::IDEMPOTENCY_KEY)
        .and_then(|value| value.to_str().ok())
        .filter(|key| !key.is_empty())
        .map(str::to_owned);
    if key.is_none() && !class.class.repeatable {
        return Err(ErrorCode::KeyRequired);
    }
    Ok(key)
}
