//! The endpoints of all services, each life of one under a key of its own.
//!
//! An endpoint that drains or is gone takes no more work, at once and for good: a new life under
//! the same name gets a new key. Entries that lapse while the platform is away are kept for a
//! short grace after its return, since an endpoint that lives is back by then.

use crate::{
    engine::EngineLoad,
    entry::{EndpointEntry, EndpointState, EntryChanges, LocalRemoval, Removal},
    groups::EndpointGroup,
    hash::hash_text,
    health::Health,
    placement::GroupLoad,
};
use poplarswitch_entity::{EndpointName, ServiceName, Time};
use slotmap::{SlotMap, new_key_type};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

new_key_type! {
    /// One life of an endpoint.
    pub struct EndpointKey;
}

/// Idle connections that all VMs together keep for each place of an endpoint: endpoints take few
/// connections more than they have places (6 to 18 for each on the operators' sheets), and reset
/// those beyond.
const KEPT_A_PLACE: usize = 4;
/// Idle connections that a VM keeps to an endpoint; more were never used at once.
const KEPT_MOST: usize = 6;
/// Removals that are remembered for VMs that ask what has changed.
const REMOVALS_KEPT: usize = 512;

/// What became of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// It takes calls from now on.
    Joined,
    /// It takes no more calls.
    Draining,
    /// It is gone.
    Left,
}

impl Transition {
    /// All of them, those that end an endpoint first.
    pub const ALL: [Self; 3] = [Self::Left, Self::Draining, Self::Joined];

    /// Its name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Joined => "joined",
            Self::Draining => "draining",
            Self::Left => "left",
        }
    }
}

/// A change of the fleet that affects calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointChange {
    /// The endpoint, whose key may no longer lead anywhere.
    pub key: EndpointKey,
    /// Its name.
    pub name: EndpointName,
    /// What became of it.
    pub transition: Transition,
}

/// An endpoint as this VM knows it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its entry.
    pub entry: EndpointEntry,
    /// Hash of its name, the same on every VM.
    pub name_hash: u64,
    /// What calls have shown.
    pub health: Health,
    /// What its engine reports.
    pub engine_load: EngineLoad,
    /// Calls of this VM that it holds.
    pub open_calls: u32,
    /// Calls of other VMs that it holds, as far as they told.
    pub remote_calls: u32,
}

impl Endpoint {
    /// Calls that it holds, as far as this VM knows.
    pub const fn load(&self) -> u32 {
        self.open_calls + self.remote_calls
    }

    /// Idle connections that one of a number of VMs may keep to it.
    pub fn max_idle(&self, vms: usize) -> usize {
        let all = self.entry.slots as usize * KEPT_A_PLACE;
        (all / vms.max(1)).clamp(1, KEPT_MOST)
    }
}

/// All endpoints.
#[derive(Debug, Default)]
pub struct EndpointTable {
    endpoints: SlotMap<EndpointKey, Endpoint>,
    by_name: BTreeMap<EndpointName, EndpointKey>,
    by_service: HashMap<ServiceName, Vec<EndpointKey>>,
    lapsed: BTreeMap<EndpointName, (Time, u64)>,
    removals: VecDeque<(EndpointName, u64)>,
    history_start: u64,
    revision: u64,
    change_count: u64,
    relaxed: GroupLoad,
    strict: GroupLoad,
}

impl EndpointTable {
    /// The platform's revision that this view is of.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Counts changes of the entries. Entries change without the platform's revision when a grace
    /// ends, or when a view is taken in several steps.
    pub const fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Marks everything up to a revision as known.
    pub(crate) fn advance_to(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// An endpoint, until it is gone.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// An endpoint, to be changed.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(key)
    }

    /// All endpoints.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.endpoints.iter()
    }

    /// All endpoints, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (EndpointKey, &mut Endpoint)> {
        self.endpoints.iter_mut()
    }

    /// How loaded the engines of a side are.
    pub const fn group_load(&self, side: EndpointGroup) -> &GroupLoad {
        match side {
            EndpointGroup::Relaxed => &self.relaxed,
            EndpointGroup::Strict => &self.strict,
        }
    }

    /// The same, to be changed.
    pub const fn group_load_mut(&mut self, side: EndpointGroup) -> &mut GroupLoad {
        match side {
            EndpointGroup::Relaxed => &mut self.relaxed,
            EndpointGroup::Strict => &mut self.strict,
        }
    }

    /// The endpoints of a service that take calls, in an order that all VMs share.
    pub fn available(&self, service: &ServiceName) -> &[EndpointKey] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Takes an entry as it was read or as it changed.
    pub(crate) fn upsert(&mut self, entry: EndpointEntry) -> Vec<EndpointChange> {
        let mut changes = Vec::new();
        let lapsed = self.lapsed.get(&entry.name);
        if lapsed.is_some_and(|(_, at)| entry.revision <= *at) {
            return changes;
        }
        self.lapsed.remove(&entry.name);
        if let Some(&key) = self.by_name.get(&entry.name) {
            let known = &mut self.endpoints[key];
            if entry.revision < known.entry.revision {
                return changes;
            }
            if known.entry.start_ms == entry.start_ms && known.entry.address == entry.address {
                let drains = entry.state == EndpointState::Draining;
                let newly = drains && known.entry.state == EndpointState::Ready;
                let state = if drains {
                    entry.state
                } else {
                    known.entry.state
                };
                known.entry = EndpointEntry { state, ..entry };
                self.change_count += 1;
                if newly {
                    self.remove_available(key);
                    changes.push(self.change(key, Transition::Draining));
                }
                return changes;
            }
            changes.extend(self.drop_endpoint(key));
        }
        let ready = entry.state == EndpointState::Ready;
        let service = entry.service.clone();
        self.change_count += 1;
        let key = self.endpoints.insert(Endpoint {
            name_hash: hash_text(entry.name.as_str()),
            health: Health::default(),
            engine_load: EngineLoad::default(),
            open_calls: 0,
            remote_calls: 0,
            entry,
        });
        self.by_name
            .insert(self.endpoints[key].entry.name.clone(), key);
        if ready {
            self.add_available(service, key);
            changes.push(self.change(key, Transition::Joined));
        }
        changes
    }

    /// Takes the removal of an entry. With a grace, the entry may have lapsed while the platform
    /// was away, and the endpoint is kept until then.
    pub(crate) fn remove(
        &mut self,
        name: &EndpointName,
        revision: u64,
        grace: Option<Time>,
    ) -> Option<EndpointChange> {
        let key = self.by_name.get(name).copied();
        let entry = key.map(|key| &self.endpoints[key].entry);
        // An entry that this view never had is remembered too: others may have seen it.
        let passed = entry.map_or(revision <= self.revision, |known| revision < known.revision);
        if passed {
            return None;
        }
        match grace {
            Some(until) if entry.is_none_or(|known| known.state == EndpointState::Ready) => {
                // Seen missing again, it has no more time, but is told again to those who ask.
                let lapse = self.lapsed.entry(name.clone());
                let (_, at) = lapse.or_insert((until, revision));
                *at = revision.max(*at);
                None
            }
            _ => self.remove_now(name, revision),
        }
    }

    /// Ends an endpoint, which this view may not have, and remembers it for those who ask.
    fn remove_now(&mut self, name: &EndpointName, revision: u64) -> Option<EndpointChange> {
        // A removal that was overtaken must not hide from others that the name went again.
        let lapsed = self.lapsed.remove(name).map_or(0, |(_, at)| at);
        self.record_removal(name.clone(), revision.max(lapsed));
        let &key = self.by_name.get(name)?;
        self.drop_endpoint(key)
    }

    /// Takes changes.
    pub fn apply(&mut self, news: EntryChanges) -> Vec<EndpointChange> {
        let mut changes = self.upsert_all(news.entries, self.revision);
        for LocalRemoval {
            name,
            revision,
            grace_end,
        } in news.removed
        {
            changes.extend(self.remove(&name, revision, grace_end));
        }
        self.advance_to(news.revision);
        changes
    }

    /// Takes a complete listing as of a revision.
    pub fn apply_listing(
        &mut self,
        entries: Vec<EndpointEntry>,
        revision: u64,
        grace: Option<Time>,
    ) -> Vec<EndpointChange> {
        let listed: HashSet<EndpointName> = entries.iter().map(|e| e.name.clone()).collect();
        let mut missing: Vec<EndpointName> = self.by_name.keys().cloned().collect();
        missing.retain(|name| !listed.contains(name));
        let covered = if revision < self.revision {
            self.revision
        } else {
            // A listing doesn't tell what came and went since the last view.
            self.history_start = revision;
            0
        };
        let mut changes = self.upsert_all(entries, covered);
        changes.extend(
            missing
                .iter()
                .filter_map(|name| self.remove(name, revision, grace)),
        );
        self.advance_to(revision);
        changes
    }

    /// Takes entries but those that this view has seen go: what it lacks of a revision that it
    /// covers is gone, and an answer that was overtaken must not bring it back.
    fn upsert_all(&mut self, entries: Vec<EndpointEntry>, covered: u64) -> Vec<EndpointChange> {
        let mut changes = Vec::new();
        for entry in entries {
            if entry.revision > covered || self.by_name.contains_key(&entry.name) {
                changes.extend(self.upsert(entry));
            }
        }
        changes
    }

    /// Drops the entries whose grace is over.
    pub fn expire_grace(&mut self, now: Time) -> Vec<EndpointChange> {
        if self.lapsed.is_empty() {
            return Vec::new();
        }
        let over: Vec<(EndpointName, u64)> = self
            .lapsed
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(name, (_, revision))| (name.clone(), *revision))
            .collect();
        let mut changes = Vec::new();
        for (name, revision) in over {
            self.lapsed.remove(&name);
            changes.extend(self.remove_now(&name, revision));
        }
        changes
    }

    /// What has changed since a revision: entries and removals; nothing if the removals of that
    /// time are forgotten, and the asker needs everything.
    pub fn changes_since(
        &self,
        now: Time,
        revision: u64,
    ) -> Option<(Vec<EndpointEntry>, Vec<Removal>)> {
        if revision < self.history_start || revision == 0 {
            return None;
        }
        let entries = self.endpoints.values().map(|endpoint| &endpoint.entry);
        let newer = entries.filter(|entry| entry.revision > revision).cloned();
        let buried = self.removals.iter().filter(|(_, at)| *at > revision);
        let buried = buried.map(|(name, at)| Removal {
            name: name.clone(),
            revision: *at,
            grace_ms: None,
        });
        let lapsed = self
            .lapsed(now)
            .into_iter()
            .filter(|r| r.revision > revision);
        Some((newer.collect(), buried.chain(lapsed).collect()))
    }

    /// Entries that may only have lapsed.
    pub fn lapsed(&self, now: Time) -> Vec<Removal> {
        let removals = self.lapsed.iter().map(|(name, (until, revision))| Removal {
            name: name.clone(),
            revision: *revision,
            grace_ms: Some(until.since(now).as_millis() as u32),
        });
        removals.collect()
    }

    /// All entries.
    pub fn entries(&self) -> Vec<EndpointEntry> {
        self.endpoints.values().map(|e| e.entry.clone()).collect()
    }

    fn record_removal(&mut self, name: EndpointName, revision: u64) {
        self.removals.push_back((name, revision));
        if self.removals.len() > REMOVALS_KEPT
            && let Some((_, oldest)) = self.removals.pop_front()
        {
            self.history_start = self.history_start.max(oldest);
        }
    }

    fn add_available(&mut self, service: ServiceName, key: EndpointKey) {
        let endpoints = &self.endpoints;
        let keys = self.by_service.entry(service).or_default();
        let rank = endpoints[key].name_hash;
        let place = keys.partition_point(|other| endpoints[*other].name_hash < rank);
        keys.insert(place, key);
    }

    fn remove_available(&mut self, key: EndpointKey) {
        let service = &self.endpoints[key].entry.service;
        if let Some(keys) = self.by_service.get_mut(service) {
            keys.retain(|other| *other != key);
        }
    }

    fn drop_endpoint(&mut self, key: EndpointKey) -> Option<EndpointChange> {
        self.remove_available(key);
        let endpoint = self.endpoints.remove(key)?;
        self.change_count += 1;
        self.by_name.remove(&endpoint.entry.name);
        self.lapsed.remove(&endpoint.entry.name);
        Some(EndpointChange {
            key,
            name: endpoint.entry.name,
            transition: Transition::Left,
        })
    }

    fn change(&self, key: EndpointKey, transition: Transition) -> EndpointChange {
        let name = self.endpoints[key].entry.name.clone();
        EndpointChange {
            key,
            name,
            transition,
        }
    }
}
