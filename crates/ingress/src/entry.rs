//! Entries of endpoints in the platform, and their changes.
//!
//! VMs exchange entries and removals in this form. Grace periods are sent as durations, because
//! clocks of different VMs are never compared.

use crate::{revision::Revision, version_history::ServiceVersion};
use core::{net::SocketAddr, time::Duration};
use poplarswitch_entity::{DataCentre, EndpointName, ServiceName, Time};
use serde::{Deserialize, Serialize};

/// Time after an outage of the platform, or after its return from a copy, within which live endpoints
/// write their missing entries again.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_100);

/// State that an endpoint declares.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// The endpoint accepts calls.
    Ready,
    /// The endpoint finishes its calls and accepts no new ones.
    Draining,
}

/// Version of the software of an endpoint. What two versions write to a stream doesn't fit together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SoftwareVersion(Box<str>);

impl SoftwareVersion {
    /// Maximum length in bytes.
    pub const MAX_LEN: usize = 64;

    /// Creates a version; it is unknown if the text is empty or too long.
    pub fn new(text: &str) -> Self {
        let is_usable = text.len() <= Self::MAX_LEN;
        Self(if is_usable { text } else { "" }.into())
    }

    /// Whether the version is known.
    pub fn is_known(&self) -> bool {
        !self.0.is_empty()
    }

    /// The text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Entry of an endpoint in the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Name of the endpoint.
    pub name: EndpointName,
    /// Service that it serves.
    pub service: ServiceName,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// Calls that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts calls.
    pub state: EndpointState,
    /// Start time in Unix milliseconds; distinguishes incarnations that have the same name.
    #[serde(rename = "born")]
    pub start_ms: u64,
    /// Version of its software; none if it comes from a VM of an earlier version, which doesn't send
    /// it.
    #[serde(default)]
    pub software: Option<SoftwareVersion>,
    /// Whether it may be reclaimed with all others of its kind in its data centre.
    #[serde(default, skip_serializing_if = "core::ops::Not::not")]
    pub spot: bool,
    /// Platform revision of the entry.
    #[serde(flatten)]
    pub revision: Revision,
}

impl EndpointEntry {
    /// Service and version of the endpoint.
    pub fn service_version(&self) -> ServiceVersion {
        (self.service.clone(), self.software.clone())
    }
}

/// Removal of an entry, as sent between VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Removal {
    /// Name of the endpoint.
    pub name: EndpointName,
    /// Platform revision of the removal.
    #[serde(flatten)]
    pub revision: Revision,
    /// Remaining time in milliseconds for which the endpoint is still used, if the entry may only
    /// have lapsed.
    #[serde(rename = "grace")]
    pub grace_ms: Option<u32>,
}

impl Removal {
    /// Converts the removal to this VM's clock; `sent` is when this VM sent the request for it.
    pub fn into_local(self, sent: Time) -> LocalRemoval {
        let grace = self.grace_ms.map(u64::from).map(Duration::from_millis);
        LocalRemoval {
            name: self.name,
            revision: self.revision,
            grace_end: grace.map(|grace| sent + grace),
        }
    }
}

/// Changes of entries up to a platform revision, which may be older than the revision of the view
/// to which they are applied.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntryChanges {
    /// New or changed entries.
    pub entries: Vec<EndpointEntry>,
    /// Entries that were removed or may have lapsed.
    pub removed: Vec<LocalRemoval>,
    /// Platform revision after these changes.
    pub revision: Revision,
}

/// Removal of an entry, with its grace period in terms of this VM's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalRemoval {
    /// Name of the endpoint.
    pub name: EndpointName,
    /// Platform revision of the removal.
    pub revision: Revision,
    /// Time until which the endpoint is still used, if the entry may only have lapsed.
    pub grace_end: Option<Time>,
}
