//! In-memory implementation of the object API for tests.

use crate::{
    Key, ListedObject, MAX_VALUE_BYTES, Precondition, Reply, Request, Version, Versioned, VmRecord,
};
use core::time::Duration;
use std::{collections::BTreeMap, sync::Arc};

/// Retry time reported for a value that is too large; no later attempt can succeed.
const OVERSIZE_RETRY_DELAY: Duration = Duration::from_hours(1);

/// Objects and the list of VMs, in memory; each write or delete takes the next version.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    objects: BTreeMap<Key, Versioned>,
    vms: Vec<VmRecord>,
    last_version: Version,
}

impl MemoryStore {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&mut self, vms: Vec<VmRecord>) {
        self.vms = vms;
    }

    /// The object at a path, read without a request.
    pub fn peek(&self, key: &Key) -> Option<&Versioned> {
        self.objects.get(key)
    }

    /// Executes a request; a watch is answered at once instead of waiting.
    pub fn apply(&mut self, request: &Request) -> Reply {
        match request {
            Request::Get { key } => Reply::Object(self.objects.get(key).cloned()),
            Request::Put {
                key,
                value,
                precondition,
            } => self.put(key, value, *precondition),
            Request::Delete { key, precondition } => self.delete(key, *precondition),
            Request::List { prefix } => Reply::Listing(self.list(prefix)),
            Request::Watch { key, after, .. } => self.watch(key, *after),
            Request::Vms => Reply::Vms(self.vms.clone()),
        }
    }

    fn put(&mut self, key: &Key, value: &Arc<[u8]>, precondition: Precondition) -> Reply {
        if value.len() > MAX_VALUE_BYTES {
            return Reply::Unavailable {
                retry_after: OVERSIZE_RETRY_DELAY,
            };
        }
        if !self.is_met(key, precondition) {
            return self.conflict(key);
        }
        self.last_version = Version(self.last_version.0 + 1);
        let object = Versioned {
            version: self.last_version,
            value: Arc::clone(value),
        };
        self.objects.insert(key.clone(), object);
        Reply::Done {
            version: self.last_version,
        }
    }

    fn delete(&mut self, key: &Key, precondition: Precondition) -> Reply {
        if !self.is_met(key, precondition) {
            return self.conflict(key);
        }
        self.last_version = Version(self.last_version.0 + 1);
        self.objects.remove(key);
        Reply::Done {
            version: self.last_version,
        }
    }

    fn is_met(&self, key: &Key, precondition: Precondition) -> bool {
        let current = self.objects.get(key).map(|object| object.version);
        match precondition {
            Precondition::Absent => current.is_none(),
            Precondition::Matches(version) => current == Some(version),
            Precondition::Always => true,
        }
    }

    fn conflict(&self, key: &Key) -> Reply {
        Reply::Conflict {
            current: self.objects.get(key).cloned(),
        }
    }

    fn list(&self, prefix: &Key) -> Vec<ListedObject> {
        self.objects
            .range(prefix.clone()..)
            .take_while(|(key, _)| key.as_str().starts_with(prefix.as_str()))
            .map(|(key, object)| ListedObject {
                key: key.clone(),
                version: object.version,
            })
            .collect()
    }

    fn watch(&self, key: &Key, after: Version) -> Reply {
        match self.objects.get(key) {
            Some(object) if object.version > after => Reply::Object(Some(object.clone())),
            Some(_) | None => Reply::Unchanged,
        }
    }
}
