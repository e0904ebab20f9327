//! Paths, headers and status codes of the object API over HTTP.
//!
//! An object's version travels as its entity tag, and conditions travel as the standard
//! conditional headers, so any HTTP client can read and write objects.

use core::time::Duration;
use poplarswitch_store::{Guard, Key, Request, Version};

/// Start of the path of an object.
pub const OBJECTS: &str = "/v1/objects/";
/// Start of the path of a watch.
pub const WATCH: &str = "/v1/watch/";
/// Path of a listing.
pub const LIST: &str = "/v1/list";
/// Path of the list of VMs.
pub const VMS: &str = "/v1/vms";
/// Header that tells how long to wait, in milliseconds.
pub const RETRY_AFTER_MS: &str = "x-retry-after-ms";

/// The method of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Read.
    Get,
    /// Write.
    Put,
    /// Delete.
    Delete,
}

/// The method of a typed request.
pub const fn method(request: &Request) -> Method {
    match request {
        Request::Get { .. } | Request::List { .. } | Request::Watch { .. } | Request::Vms => {
            Method::Get
        }
        Request::Put { .. } => Method::Put,
        Request::Delete { .. } => Method::Delete,
    }
}

/// The path and query of a typed request.
pub fn path(request: &Request) -> String {
    match request {
        Request::Get { key } | Request::Put { key, .. } | Request::Delete { key, .. } => {
            format!("{OBJECTS}{key}")
        }
        Request::List { prefix } => format!("{LIST}?prefix={prefix}"),
        Request::Watch { key, after, wait } => {
            format!(
                "{WATCH}{key}?after={}&wait_ms={}",
                after.0,
                wait.as_millis()
            )
        }
        Request::Vms => VMS.to_owned(),
    }
}

/// Writes a version as an entity tag.
pub fn tag(version: Version) -> String {
    format!("\"{}\"", version.0)
}

/// Reads a version from an entity tag.
pub fn version(tag: &str) -> Option<Version> {
    tag.trim().trim_matches('"').parse().ok().map(Version)
}

/// Reads a watch's query.
pub fn watch_query(query: &str) -> (Version, Duration) {
    let number = |name| value_of(query, name).and_then(|text| text.parse().ok());
    let after = Version(number("after").unwrap_or_default());
    let wait = Duration::from_millis(number("wait_ms").unwrap_or_default());
    (after, wait)
}

/// Reads a listing's query.
pub fn list_query(query: &str) -> Key {
    Key::from(value_of(query, "prefix").unwrap_or_default())
}

/// The condition that a pair of conditional headers states.
pub fn guard(if_match: Option<&str>, if_none_match: Option<&str>) -> Guard {
    match (if_match.and_then(version), if_none_match) {
        (Some(version), _) => Guard::Matches(version),
        (None, Some(_)) => Guard::Absent,
        (None, None) => Guard::Always,
    }
}

fn value_of<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
