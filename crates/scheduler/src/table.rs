//! All queued and running calls, by key and by identifier.

use crate::call::{Call, State};
use poplarswitch_entity::CallId;
use poplarswitch_queue::CallKey;
use slotmap::SlotMap;
use std::collections::HashMap;

#[derive(Debug, Default)]
pub(crate) struct Table {
    calls: SlotMap<CallKey, Call>,
    ids: HashMap<CallId, CallKey>,
    running: usize,
}

impl Table {
    pub(crate) fn find(&self, id: CallId) -> Option<CallKey> {
        self.ids.get(&id).copied()
    }

    pub(crate) fn get(&self, key: CallKey) -> &Call {
        &self.calls[key]
    }

    pub(crate) fn get_mut(&mut self, key: CallKey) -> &mut Call {
        &mut self.calls[key]
    }

    pub(crate) fn insert(&mut self, call: Call) -> CallKey {
        let id = call.request.call;
        self.running += usize::from(matches!(call.state, State::Dispatched(_)));
        let key = self.calls.insert(call);
        self.ids.insert(id, key);
        key
    }

    pub(crate) fn remove(&mut self, key: CallKey) -> Option<Call> {
        let call = self.calls.remove(key)?;
        self.ids.remove(&call.request.call);
        self.running -= usize::from(matches!(call.state, State::Dispatched(_)));
        Some(call)
    }

    /// Changes a call's state and returns the previous one.
    pub(crate) fn set_state(&mut self, key: CallKey, state: State) -> State {
        let call = &mut self.calls[key];
        self.running -= usize::from(matches!(call.state, State::Dispatched(_)));
        self.running += usize::from(matches!(state, State::Dispatched(_)));
        core::mem::replace(&mut call.state, state)
    }

    pub(crate) const fn running(&self) -> usize {
        self.running
    }

    pub(crate) fn queued(&self) -> usize {
        self.calls.len() - self.running
    }

    pub(crate) fn keys(&self) -> Vec<CallKey> {
        self.calls.keys().collect()
    }
}
