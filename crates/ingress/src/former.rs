//! Incarnations whose entries are gone, and what they have said of themselves: an entry may come
//! back, and an answer may still arrive.

use crate::{
    endpoints::{Endpoint, EndpointKey},
    entry::EndpointEntry,
    notices::Pause,
};
use poplarswitch_entity::EndpointName;
use std::collections::VecDeque;

/// Number of former incarnations that are remembered.
const MAX_FORMER: usize = 512;

/// An incarnation whose entry is gone.
#[derive(Debug)]
pub(crate) struct FormerEndpoint {
    key: EndpointKey,
    name: EndpointName,
    start_ms: u64,
    pub(crate) pause: Pause,
    pub(crate) leaving: bool,
}

impl FormerEndpoint {
    fn is_silent(&self) -> bool {
        self.pause == Pause::default() && !self.leaving
    }
}

/// The latest incarnations whose entries are gone.
#[derive(Debug, Default)]
pub(crate) struct FormerEndpoints(VecDeque<FormerEndpoint>);

impl FormerEndpoints {
    /// Remembers an incarnation; those that have said nothing are forgotten first.
    pub(crate) fn keep(&mut self, key: EndpointKey, endpoint: &Endpoint) {
        if self.0.len() >= MAX_FORMER {
            let silent = self.0.iter().position(FormerEndpoint::is_silent);
            self.0.remove(silent.unwrap_or(0));
        }
        self.0.push_back(FormerEndpoint {
            key,
            name: endpoint.entry.name.clone(),
            start_ms: endpoint.entry.start_ms,
            pause: endpoint.pause,
            leaving: endpoint.leaving,
        });
    }

    /// Records that an incarnation has said that it leaves.
    pub(crate) fn record_leaving(&mut self, key: EndpointKey) {
        let former = self.0.iter_mut().find(|former| former.key == key);
        if let Some(former) = former {
            former.leaving = true;
        }
    }

    /// Takes the incarnation of an entry that has come back.
    pub(crate) fn take(&mut self, entry: &EndpointEntry) -> Option<FormerEndpoint> {
        let index = self
            .0
            .iter()
            .position(|former| former.name == entry.name && former.start_ms == entry.start_ms)?;
        self.0.remove(index)
    }
}
