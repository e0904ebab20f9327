//! A call's place at an endpoint, given back when it is dropped.

use crate::shared::Shared;
use poplarswitch_ingress::EndpointKey;
use std::sync::Arc;

/// A call's place at an endpoint.
#[derive(Debug)]
pub(crate) struct Seat {
    shared: Arc<Shared>,
    key: EndpointKey,
    reading: u64,
}

impl Seat {
    /// Counts a call at an endpoint, with the prompt tokens that the endpoint must read first.
    pub(crate) fn take(shared: &Arc<Shared>, key: EndpointKey, reading: u64) -> Self {
        if let Some(endpoint) = shared.core().fleet.get_mut(key) {
            endpoint.open += 1;
            endpoint.reading += reading;
        }
        Self {
            shared: Arc::clone(shared),
            key,
            reading,
        }
    }

    /// The endpoint.
    pub(crate) const fn key(&self) -> EndpointKey {
        self.key
    }

    /// The endpoint has read the prompt.
    pub(crate) fn begun(&mut self) {
        let reading = core::mem::take(&mut self.reading);
        if reading > 0
            && let Some(endpoint) = self.shared.core().fleet.get_mut(self.key)
        {
            endpoint.reading = endpoint.reading.saturating_sub(reading);
        }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        if let Some(endpoint) = self.shared.core().fleet.get_mut(self.key) {
            endpoint.open = endpoint.open.saturating_sub(1);
            endpoint.reading = endpoint.reading.saturating_sub(self.reading);
        }
    }
}
