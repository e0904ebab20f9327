//! The calls in flight and the endpoints as this VM has seen them.

use crate::{
    call::{Call, Piece},
    run::StopHandle,
};
use core::net::SocketAddr;
use poplarswitch_catalog::Catalog;
use poplarswitch_entity::{Attempt, CallId, EndpointName, Time};
use poplarswitch_wire::{EndpointState, EndpointStatus, ErrorInfo};
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};
use tokio::sync::{mpsc, oneshot};

/// A dispatch of a call.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) attempt: Attempt,
    pub(super) endpoint: EndpointName,
    pub(super) stop: Arc<StopHandle>,
}

/// Why this VM runs a call that must run at most once.
#[derive(Debug)]
pub(super) struct Keyed {
    pub(super) call: CallId,
    pub(super) pieces: mpsc::Receiver<Piece>,
}

/// A call in flight.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) call: Arc<Call>,
    pub(super) verdict: Option<oneshot::Sender<ErrorInfo>>,
    pub(super) keyed: Option<Keyed>,
    pub(super) arrived: Time,
    pub(super) run: Option<Run>,
    pub(super) answering: bool,
    pub(super) left: bool,
    pub(super) last: Option<EndpointName>,
}

impl Entry {
    /// The present run, if it is this attempt.
    pub(super) fn run_of(&self, attempt: Attempt) -> Option<&Run> {
        self.run.as_ref().filter(|run| run.attempt == attempt)
    }
}

/// All calls whose callers this VM holds.
///
/// An identifier is never given twice, so an input for a call that is over finds nothing.
#[derive(Debug, Default)]
pub(super) struct Table {
    entries: HashMap<CallId, Entry>,
}

impl Table {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn insert(&mut self, entry: Entry) {
        self.entries.insert(entry.call.id(), entry);
    }

    pub(super) fn get_mut(&mut self, call: CallId) -> Option<&mut Entry> {
        self.entries.get_mut(&call)
    }

    pub(super) fn remove(&mut self, call: CallId) -> Option<Entry> {
        self.entries.remove(&call)
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }
}

/// One endpoint as this VM has seen it.
#[derive(Debug)]
struct Seen {
    address: SocketAddr,
    state: EndpointState,
    running: u64,
    reported: Option<u32>,
}

/// The endpoints of the set in force.
#[derive(Debug, Default)]
pub(super) struct Endpoints {
    seen: BTreeMap<EndpointName, Seen>,
}

impl Endpoints {
    /// Takes over a new set; what is known of endpoints that stay is kept.
    pub(super) fn replace(&mut self, catalog: &Catalog) {
        let mut old = core::mem::take(&mut self.seen);
        for entry in catalog.endpoints.values() {
            let name = &entry.endpoint.name;
            let mut seen = old.remove(name).unwrap_or(Seen {
                address: entry.endpoint.address,
                state: EndpointState::Unknown,
                running: 0,
                reported: None,
            });
            seen.address = entry.endpoint.address;
            self.seen.insert(name.clone(), seen);
        }
    }

    /// Where an endpoint listens.
    pub(super) fn address(&self, name: &EndpointName) -> Option<SocketAddr> {
        self.seen.get(name).map(|seen| seen.address)
    }

    pub(super) fn started(&mut self, name: &EndpointName) {
        if let Some(seen) = self.seen.get_mut(name) {
            seen.running += 1;
        }
    }

    pub(super) fn ended(&mut self, name: &EndpointName, state: Option<EndpointState>) {
        if let Some(seen) = self.seen.get_mut(name) {
            seen.running = seen.running.saturating_sub(1);
            seen.state = state.unwrap_or(seen.state);
        }
    }

    pub(super) fn reported(&mut self, name: &EndpointName, running: u32) {
        if let Some(seen) = self.seen.get_mut(name) {
            seen.state = EndpointState::Up;
            seen.reported = Some(running);
        }
    }

    pub(super) fn silent(&mut self, name: &EndpointName) {
        if let Some(seen) = self.seen.get_mut(name) {
            seen.state = EndpointState::Down;
            seen.reported = None;
        }
    }

    pub(super) fn status(&self) -> Vec<EndpointStatus> {
        let status = |(name, seen): (&EndpointName, &Seen)| EndpointStatus {
            endpoint: name.clone(),
            state: seen.state,
            running: seen.running,
            reported: seen.reported,
        };
        self.seen.iter().map(status).collect()
    }
}
