//! What the tasks of the duties have noted for the status document.

use core::net::Ipv4Addr;
use poplarswitch_entity::ServiceName;
use poplarswitch_lease::LeaseNews;
use poplarswitch_scaling::LineKey;
use serde::Serialize;
use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

/// A holder of the duties.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct HolderStatus {
    pub(crate) ip: Ipv4Addr,
    /// Fencing token.
    pub(crate) token: u64,
    /// Whether it has given the lease up.
    pub(crate) released: bool,
}

/// Numbers of engines by data centre and kind.
pub(crate) type Desired = BTreeMap<LineKey, u32>;

/// What the tasks of the duties leave for the status document.
#[derive(Debug, Default)]
pub(crate) struct DutyView(Mutex<Seen>);

/// What has been noted of the duties.
#[derive(Clone, Debug, Default)]
pub(crate) struct Seen {
    pub(crate) holder: Option<HolderStatus>,
    pub(crate) recorded: Option<u64>,
    pub(crate) reported: Option<u64>,
    pub(crate) desired: BTreeMap<ServiceName, Desired>,
}

impl DutyView {
    /// Notes a message of a holder, unless it comes later than one with a higher token.
    pub(crate) fn note_holder(&self, ip: Ipv4Addr, news: &LeaseNews) {
        let token = news.token;
        let mut seen = self.lock();
        if seen.holder.is_none_or(|known| known.token <= token) {
            seen.holder = Some(HolderStatus {
                ip,
                token,
                released: news.released,
            });
        }
    }

    /// Notes a window of usage with a record in the platform.
    pub(crate) fn note_recorded(&self, window: u64) {
        let mut seen = self.lock();
        seen.recorded = seen.recorded.max(Some(window));
    }

    /// Notes a window of usage whose report was accepted.
    pub(crate) fn note_reported(&self, window: u64) {
        let mut seen = self.lock();
        seen.reported = seen.reported.max(Some(window));
    }

    /// Notes the numbers of engines that this VM has ordered.
    pub(crate) fn note_desired(&self, service: &ServiceName, desired: Desired) {
        self.lock().desired.insert(service.clone(), desired);
    }

    /// What has been noted.
    pub(crate) fn seen(&self) -> Seen {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
