//! Tables of the calls in flight and of the endpoints' state as observed by this VM.

use crate::{
    call::{Call, ResponsePart},
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

/// The current run of a call at an endpoint.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) attempt: Attempt,
    pub(super) endpoint: EndpointName,
    pub(super) stop: Arc<StopHandle>,
}

/// The keyed call for which this VM executes a run, and the channel of the run's response.
#[derive(Debug)]
pub(super) struct KeyedRun {
    pub(super) call: CallId,
    pub(super) parts: mpsc::Receiver<ResponsePart>,
}

/// A call in flight, with its state.
#[derive(Debug)]
pub(super) struct CallEntry {
    pub(super) call: Arc<Call>,
    pub(super) failure: Option<oneshot::Sender<ErrorInfo>>,
    pub(super) keyed: Option<KeyedRun>,
    pub(super) arrived: Time,
    pub(super) run: Option<Run>,
    pub(super) output_started: bool,
    pub(super) caller_left: bool,
    pub(super) last_endpoint: Option<EndpointName>,
}

impl CallEntry {
    /// The current run, if its attempt has this number.
    pub(super) fn run_of(&self, attempt: Attempt) -> Option<&Run> {
        self.run.as_ref().filter(|run| run.attempt == attempt)
    }
}

/// The calls that this VM has submitted to the pool.
///
/// Call identifiers are never reused, so an event for a call that has ended finds no entry.
#[derive(Debug, Default)]
pub(super) struct CallTable {
    entries: HashMap<CallId, CallEntry>,
}

impl CallTable {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn insert(&mut self, entry: CallEntry) {
        self.entries.insert(entry.call.id(), entry);
    }

    pub(super) fn get_mut(&mut self, call: CallId) -> Option<&mut CallEntry> {
        self.entries.get_mut(&call)
    }

    pub(super) fn remove(&mut self, call: CallId) -> Option<CallEntry> {
        self.entries.remove(&call)
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &CallEntry> {
        self.entries.values()
    }
}

/// State of one endpoint as observed by this VM.
#[derive(Debug)]
struct EndpointRecord {
    address: SocketAddr,
    state: EndpointState,
    running: u64,
    reported_running: Option<u32>,
}

/// The endpoints of the set in force, with their observed state.
#[derive(Debug, Default)]
pub(super) struct Endpoints {
    records: BTreeMap<EndpointName, EndpointRecord>,
}

impl Endpoints {
    /// Replaces the endpoints by those of a new set; the state of endpoints in both sets is kept.
    pub(super) fn replace(&mut self, catalog: &Catalog) {
        let mut previous = core::mem::take(&mut self.records);
        for entry in catalog.endpoints.values() {
            let name = &entry.endpoint.name;
            let mut record = previous.remove(name).unwrap_or(EndpointRecord {
                address: entry.endpoint.address,
                state: EndpointState::Unknown,
                running: 0,
                reported_running: None,
            });
            record.address = entry.endpoint.address;
            self.records.insert(name.clone(), record);
        }
    }

    /// Address of an endpoint; none if the set in force lacks it.
    pub(super) fn address(&self, name: &EndpointName) -> Option<SocketAddr> {
        self.records.get(name).map(|record| record.address)
    }

    pub(super) fn run_started(&mut self, name: &EndpointName) {
        if let Some(record) = self.records.get_mut(name) {
            record.running += 1;
        }
    }

    pub(super) fn run_ended(&mut self, name: &EndpointName, state: Option<EndpointState>) {
        if let Some(record) = self.records.get_mut(name) {
            record.running = record.running.saturating_sub(1);
            record.state = state.unwrap_or(record.state);
        }
    }

    pub(super) fn load_reported(&mut self, name: &EndpointName, running: u32) {
        if let Some(record) = self.records.get_mut(name) {
            record.state = EndpointState::Up;
            record.reported_running = Some(running);
        }
    }

    pub(super) fn load_unavailable(&mut self, name: &EndpointName) {
        if let Some(record) = self.records.get_mut(name) {
            record.state = EndpointState::Down;
            record.reported_running = None;
        }
    }

    pub(super) fn status(&self) -> Vec<EndpointStatus> {
        let status = |(name, record): (&EndpointName, &EndpointRecord)| EndpointStatus {
            endpoint: name.clone(),
            state: record.state,
            running: record.running,
            reported: record.reported_running,
        };
        self.records.iter().map(status).collect()
    }
}
