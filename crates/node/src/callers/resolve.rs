//! Which class a call belongs to, and whether it may be made.

use http::HeaderMap;
use poplarswitch_catalog::{Catalog, ClassEntry, Route};
use poplarswitch_wire::{ErrorCode, headers};

/// The class of a call: the one that its header names, or the default of what it asks for.
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

/// The idempotency key of a call; calls that may not be repeated need one.
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
