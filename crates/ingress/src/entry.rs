//! The entries of endpoints in the platform, and changes of them.
//!
//! Entries and removals travel between VMs as they are here; what holds for a time is told as a
//! duration, since clocks of different VMs are never compared.

use core::{net::SocketAddr, time::Duration};
use poplarswitch_entity::{DataCentre, EndpointName, ServiceName, Time};
use serde::{Deserialize, Serialize};

/// What an endpoint says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// It takes calls.
    Ready,
    /// It finishes its calls and takes no new ones.
    Draining,
}

/// An endpoint's entry in the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Its name.
    pub name: EndpointName,
    /// The service that it serves.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Whether it takes calls.
    pub state: EndpointState,
    /// Unix milliseconds of its start; tells lives under one name apart.
    #[serde(rename = "born")]
    pub start_ms: u64,
    /// The platform's revision of the entry.
    pub revision: u64,
}

/// An entry that is gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Removal {
    /// Its name.
    pub name: EndpointName,
    /// The platform's revision at which it went.
    pub revision: u64,
    /// How long the endpoint is still used because the entry may only have lapsed, in
    /// milliseconds.
    #[serde(rename = "grace")]
    pub grace_ms: Option<u32>,
}

impl Removal {
    /// The same for a VM that asked at a time.
    pub fn into_local(self, asked: Time) -> LocalRemoval {
        let grace = self.grace_ms.map(u64::from).map(Duration::from_millis);
        LocalRemoval {
            name: self.name,
            revision: self.revision,
            grace_end: grace.map(|left| asked + left),
        }
    }
}

/// Changes of entries, as of a revision that a view may have passed already.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntryChanges {
    /// Entries that are new or changed.
    pub entries: Vec<EndpointEntry>,
    /// Entries that are gone, or may be.
    pub removed: Vec<LocalRemoval>,
    /// The platform's revision after all of these.
    pub revision: u64,
}

/// An entry that is gone, in terms of this VM's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalRemoval {
    /// Its name.
    pub name: EndpointName,
    /// The platform's revision at which it went.
    pub revision: u64,
    /// Until when the endpoint is still used because the entry may only have lapsed.
    pub grace_end: Option<Time>,
}
