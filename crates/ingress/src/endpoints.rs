//! The endpoints of all services; each incarnation of an endpoint has its own key.
//!
//! An endpoint that drains or is removed gets no more calls from that time on, and this is final
//! unless its drain was another writer's: a new incarnation under the same name gets a new key. Entries that lapse while the platform is
//! unavailable are kept for a short grace period after its return, because an endpoint that is
//! still running has renewed its entry by then. The same holds for entries that the platform has lost
//! when it comes back from a copy. The copy may also have entries of incarnations that have ended
//! since; they don't come back. An entry doesn't move a known incarnation to another service; see
//! [`crate::identity`].

use crate::{
    brittle::RejectionBounds,
    engine::EngineLoad,
    entry::{EndpointEntry, EndpointState, EntryChanges, LAPSE_GRACE, LocalRemoval, Removal},
    former::FormerEndpoints,
    groups::EndpointGroup,
    hash::hash_text,
    health::Health,
    identity::{DisputedIdentity, IdentityCheck, check_identity, has_returned},
    lapses::Lapses,
    limits::Denial,
    notices::Pause,
    outage::OutageTracker,
    placement::GroupLoad,
    removals::PastRemoval,
    revision::Revision,
};
use poplarswitch_entity::{EndpointName, ServiceName, Time};
use slotmap::{SlotMap, new_key_type};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

new_key_type! {
    /// Key of one incarnation of an endpoint.
    pub struct EndpointKey;
}

/// Idle connections that all VMs together keep for each slot of an endpoint. An endpoint accepts a
/// limited number of connections (6 to 18 for each slot according to the operators' data sheets)
/// and resets any others.
const IDLE_PER_SLOT: usize = 4;
/// Maximum number of idle connections that a VM keeps to an endpoint; a VM never used more at once.
const MAX_IDLE_PER_VM: usize = 6;
/// Number of removals that are remembered to answer VMs that request changes.
const MAX_REMOVALS: usize = 512;

/// A change in the availability of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The endpoint accepts calls from now on.
    Joined,
    /// The endpoint accepts no more calls.
    Draining,
    /// The endpoint has been removed.
    Left,
}

impl Transition {
    /// All transitions; those that end an endpoint come first.
    pub const ALL: [Self; 3] = [Self::Left, Self::Draining, Self::Joined];

    /// Name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Joined => "joined",
            Self::Draining => "draining",
            Self::Left => "left",
        }
    }
}

/// A change of the endpoint table that affects calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointChange {
    /// Key of the endpoint, which may no longer be in the table.
    pub key: EndpointKey,
    /// Name of the endpoint.
    pub name: EndpointName,
    /// The change in availability.
    pub transition: Transition,
}

/// An endpoint as known to this VM.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its entry in the platform.
    pub entry: EndpointEntry,
    /// Hash of its name, which is the same on every VM.
    pub name_hash: u64,
    /// Its health as observed by this VM's calls.
    pub health: Health,
    /// Load of its engine.
    pub engine_load: EngineLoad,
    /// Speed relative to the mean of its service.
    pub rate: f64,
    /// Speed that was logged last.
    pub logged_rate: f64,
    /// Open calls of this VM.
    pub open_calls: u32,
    /// Open calls of other VMs, as reported in their heartbeats.
    pub remote_calls: u32,
    /// Calls that its limit on the rate of requests keeps back.
    pub denial: Denial,
    /// Time in which it wants no requests from this VM.
    pub pause: Pause,
    /// Whether it has said that it leaves.
    pub leaving: bool,
    /// When its process may have ended last, if it is not known to be this incarnation since.
    pub doubted: Option<Time>,
    /// When a connection to it was opened last, if no report has shown since which incarnation serves.
    pub opened: Option<Time>,
    /// Whether it has crashed and has not begun an answer since.
    pub has_crashed: bool,
    /// Identity that the last entries have stated in contradiction to the known one.
    pub(crate) disputed: Option<DisputedIdentity>,
    /// Revision of an entry that is ready after one that drained.
    pub(crate) ready_again: Option<Revision>,
}

impl Endpoint {
    /// Open calls of all VMs, as far as this VM knows.
    pub const fn load(&self) -> u32 {
        self.open_calls.saturating_add(self.remote_calls)
    }

    /// Until when requests for calls of a rank are kept from the endpoint; none if they are not.
    pub(crate) fn kept_until(&self, now: Time, rank: u8) -> Option<Time> {
        let denied = self.denial.holds(now, rank).then_some(self.denial.until);
        let paused = self.pause.holds(now).then(|| self.pause.until());
        denied.max(paused)
    }

    /// Open calls of all VMs relative to its speed.
    pub(crate) fn relative_load(&self) -> f64 {
        f64::from(self.load()) / self.rate
    }

    /// Maximum number of idle connections that each of `vms` VMs may keep to the endpoint.
    pub fn max_idle(&self, vms: usize) -> usize {
        let all = (self.entry.slots as usize).saturating_mul(IDLE_PER_SLOT);
        (all / vms.max(1)).clamp(1, MAX_IDLE_PER_VM)
    }
}

/// All endpoints.
#[derive(Debug, Default)]
pub struct EndpointTable {
    endpoints: SlotMap<EndpointKey, Endpoint>,
    by_name: BTreeMap<EndpointName, EndpointKey>,
    /// Available endpoints of each service, ordered by the hashes of their names.
    by_service: HashMap<ServiceName, Vec<EndpointKey>>,
    /// Entries that may only have lapsed.
    lapses: Lapses,
    /// Incarnations whose entries are gone and that have said something of themselves; an entry may
    /// come back.
    former: FormerEndpoints,
    /// Latest removals.
    removals: VecDeque<PastRemoval>,
    /// Revision since which all removals are remembered.
    history_start: Revision,
    revision: Revision,
    change_count: u64,
    relaxed: GroupLoad,
    strict: GroupLoad,
    pub(crate) bounds: RejectionBounds,
}

impl EndpointTable {
    /// The platform revision up to which this view is complete.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Number of changes of the entries. Entries also change without a new platform revision, when
    /// a grace period ends or when a view is read in several steps.
    pub const fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Marks all changes up to a revision as known.
    pub(crate) fn advance_to(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// The endpoint with this key, unless it has been removed.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// Mutable access to the endpoint with this key, unless it has been removed.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(key)
    }

    /// Key of the endpoint with this name.
    pub fn key(&self, name: &EndpointName) -> Option<EndpointKey> {
        self.by_name.get(name).copied()
    }

    /// All endpoints.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.endpoints.iter()
    }

    /// Mutable access to all endpoints.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (EndpointKey, &mut Endpoint)> {
        self.endpoints.iter_mut()
    }

    /// Load of the engines in a group.
    pub const fn group_load(&self, group: EndpointGroup) -> &GroupLoad {
        match group {
            EndpointGroup::Relaxed => &self.relaxed,
            EndpointGroup::Strict => &self.strict,
        }
    }

    /// Mutable access to the load of a group.
    pub const fn group_load_mut(&mut self, group: EndpointGroup) -> &mut GroupLoad {
        match group {
            EndpointGroup::Relaxed => &mut self.relaxed,
            EndpointGroup::Strict => &mut self.strict,
        }
    }

    /// Whether the software version of an endpoint has not been read from the platform.
    pub fn lacks_versions(&self) -> bool {
        let mut endpoints = self.endpoints.values();
        endpoints.any(|endpoint| endpoint.entry.software.is_none())
    }

    /// Services that have endpoints which accept calls.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let services = self.by_service.iter();
        let in_use = services.filter(|(_, endpoints)| !endpoints.is_empty());
        in_use.map(|(service, _)| service)
    }

    /// The endpoints of a service that accept calls, in an order that is the same on all VMs.
    pub fn available(&self, service: &ServiceName) -> &[EndpointKey] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Applies an entry that was read or has changed.
    pub(crate) fn upsert(&mut self, mut entry: EndpointEntry) -> Vec<EndpointChange> {
        let mut changes = Vec::new();
        let lapsed = self.lapses.revision(&entry.name);
        if lapsed.is_some_and(|at| entry.revision <= at) {
            return changes;
        }
        self.lapses.take(&entry.name);
        if let Some((key, known)) = self.known_mut(&entry.name) {
            if entry.revision < known.entry.revision {
                return changes;
            }
            let is_known = known.entry.start_ms == entry.start_ms;
            if is_known && known.entry.address == entry.address {
                match check_identity(&known.entry, &entry, &mut known.disputed) {
                    IdentityCheck::Same => return self.update(key, entry),
                    IdentityCheck::Disputed => {
                        known.entry.revision = entry.revision;
                        self.change_count += 1;
                        return changes;
                    }
                    IdentityCheck::Changed => {}
                }
            }
            changes.extend(self.drop_endpoint(key));
        }
        let former = self.former.take(&entry);
        let leaving = former.as_ref().is_some_and(|former| former.leaving);
        if leaving {
            entry.state = EndpointState::Draining;
        }
        let ready = entry.state == EndpointState::Ready;
        let (name, service) = (entry.name.clone(), entry.service.clone());
        self.change_count += 1;
        let key = self.endpoints.insert(Endpoint {
            name_hash: hash_text(entry.name.as_str()),
            health: Health::default(),
            engine_load: EngineLoad::default(),
            rate: 1.0,
            logged_rate: 1.0,
            open_calls: 0,
            remote_calls: 0,
            denial: Denial::default(),
            pause: former.map_or_else(Pause::default, |former| former.pause),
            leaving,
            doubted: None,
            opened: None,
            has_crashed: false,
            disputed: None,
            ready_again: None,
            entry,
        });
        self.by_name.insert(name.clone(), key);
        if ready {
            self.add_available(service, key);
            changes.push(EndpointChange {
                key,
                name,
                transition: Transition::Joined,
            });
        }
        changes
    }

    /// Applies a later entry of the incarnation with a key.
    fn update(&mut self, key: EndpointKey, entry: EndpointEntry) -> Vec<EndpointChange> {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return Vec::new();
        };
        let returns =
            !endpoint.leaving && has_returned(&endpoint.entry, &entry, &mut endpoint.ready_again);
        let known = &mut endpoint.entry;
        let before = known.state;
        // An incarnation has one version, which some VMs don't send.
        let software = known.software.take().or(entry.software);
        let is_final = before == EndpointState::Draining && !returns;
        let state = if is_final { before } else { entry.state };
        *known = EndpointEntry {
            state,
            software,
            ..entry
        };
        let service = known.service.clone();
        self.change_count += 1;
        if state == before {
            return Vec::new();
        }
        let transition = match state {
            EndpointState::Ready => {
                self.add_available(service, key);
                Transition::Joined
            }
            EndpointState::Draining => {
                self.remove_available(key);
                Transition::Draining
            }
        };
        self.change(key, transition).into_iter().collect()
    }

    /// Records that an endpoint has said that it leaves: it drains, whatever its entry says.
    pub fn record_leaving(&mut self, key: EndpointKey) -> Option<EndpointChange> {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            self.former.record_leaving(key);
            return None;
        };
        endpoint.leaving = true;
        if endpoint.entry.state == EndpointState::Draining {
            return None;
        }
        endpoint.entry.state = EndpointState::Draining;
        self.change_count += 1;
        self.remove_available(key);
        self.change(key, Transition::Draining)
    }

    /// Applies the removal of an entry. With `grace_end`, the entry may have lapsed while the
    /// platform was unavailable, so a ready endpoint is kept until then.
    pub(crate) fn remove(
        &mut self,
        name: &EndpointName,
        revision: Revision,
        grace_end: Option<Time>,
    ) -> Option<EndpointChange> {
        let entry = self.known(name).map(|(_, known)| &known.entry);
        // A removal of an entry that was never in this view is recorded too: other VMs may know it.
        let superseded = entry.map_or(revision <= self.revision, |known| revision < known.revision);
        if superseded {
            return None;
        }
        match grace_end {
            Some(until) if entry.is_none_or(|known| known.state == EndpointState::Ready) => {
                self.lapses.hold(name, until, revision);
                None
            }
            _ => self.remove_now(name, revision),
        }
    }

    /// Removes an endpoint, if this view has it, and records the removal for VMs that request
    /// changes.
    fn remove_now(&mut self, name: &EndpointName, revision: Revision) -> Option<EndpointChange> {
        // A superseded removal must not hide a later removal of the same name from other VMs.
        let lapsed = self.lapses.take(name);
        let known = self.known(name);
        let ended = known.map(|(_, known)| (known.entry.start_ms, known.entry.revision));
        let key = known.map(|(key, _)| key);
        self.record_removal(PastRemoval {
            name: name.clone(),
            revision: lapsed.map_or(revision, |at| revision.max(at)),
            ended,
        });
        self.drop_endpoint(key?)
    }

    /// End of the grace period for entries that are missing from a listing as of `revision`, which
    /// the platform may have lost; none if the listing is of the same era as this view, or the first
    /// one.
    pub fn era_grace(&self, revision: Revision, now: Time) -> Option<Time> {
        let has_view = self.revision != Revision::default();
        (has_view && revision.era > self.revision.era).then_some(now + LAPSE_GRACE)
    }

    /// Applies changes of entries. Changes of a later era than that of this view are ignored: they
    /// don't tell which entries the platform has lost.
    pub fn apply(&mut self, update: EntryChanges) -> Vec<EndpointChange> {
        if update.revision.era > self.revision.era {
            return Vec::new();
        }
        let mut changes = self.upsert_all(update.entries, self.revision);
        for LocalRemoval {
            name,
            revision,
            grace_end,
        } in update.removed
        {
            changes.extend(self.remove(&name, revision, grace_end));
        }
        self.advance_to(update.revision);
        changes
    }

    /// Applies a complete listing as of `revision`. Entries that are missing from it are removed,
    /// after `grace_end` if one is given. Only a listing leads to a new era.
    pub fn apply_listing(
        &mut self,
        mut entries: Vec<EndpointEntry>,
        revision: Revision,
        grace_end: Option<Time>,
    ) -> Vec<EndpointChange> {
        entries.retain(|entry| !self.has_ended(entry));
        let listed: HashSet<EndpointName> = entries.iter().map(|e| e.name.clone()).collect();
        let mut missing: Vec<EndpointName> = self.by_name.keys().cloned().collect();
        missing.retain(|name| !listed.contains(name));
        let covered = if revision < self.revision {
            self.revision
        } else {
            // A listing doesn't show removals since the last view.
            self.history_start = revision;
            Revision::default()
        };
        let mut changes = self.upsert_all(entries, covered);
        for name in &missing {
            // The next listing must not end a grace period: the entry was missing before.
            let lapsed = self.lapses.until(name);
            changes.extend(self.remove(name, revision, grace_end.or(lapsed)));
        }
        self.advance_to(revision);
        changes
    }

    /// Applies all entries except those whose removal this view already covers. An entry that is
    /// missing from the view and not newer than `covered` has been removed, and a delayed reply
    /// must not restore it.
    fn upsert_all(
        &mut self,
        entries: Vec<EndpointEntry>,
        covered: Revision,
    ) -> Vec<EndpointChange> {
        let mut changes = Vec::new();
        for entry in entries {
            let is_current = entry.revision > covered || self.by_name.contains_key(&entry.name);
            if is_current && !self.has_ended(&entry) {
                changes.extend(self.upsert(entry));
            }
        }
        changes
    }

    /// Whether an entry is of an incarnation that ended before the platform came back from a copy.
    fn has_ended(&self, entry: &EndpointEntry) -> bool {
        if let Some((_, Endpoint { entry: known, .. })) = self.known(&entry.name) {
            return entry.revision.era > known.revision.era && entry.start_ms < known.start_ms;
        }
        let mut removals = self.removals.iter();
        removals.any(|removal| removal.name == entry.name && removal.covers(entry))
    }

    /// Removes the entries whose grace period has ended.
    pub fn expire_grace(&mut self, now: Time) -> Vec<EndpointChange> {
        self.end_grace(|until| until <= now)
    }

    /// Ends the grace periods that don't follow an outage.
    pub fn end_unfounded_grace(&mut self, outage: &OutageTracker) -> Vec<EndpointChange> {
        self.end_grace(|until| !outage.allows(until))
    }

    fn end_grace(&mut self, is_over: impl Fn(Time) -> bool) -> Vec<EndpointChange> {
        let ended = self.lapses.take_if(is_over).into_iter();
        let changes = ended.filter_map(|(name, revision)| self.remove_now(&name, revision));
        changes.collect()
    }

    /// Entries and removals since a revision; none if removals since then are no longer remembered,
    /// in which case the requesting VM needs all entries.
    pub fn changes_since(
        &self,
        now: Time,
        revision: Revision,
    ) -> Option<(Vec<EndpointEntry>, Vec<Removal>)> {
        if revision < self.history_start || revision == Revision::default() {
            return None;
        }
        let entries = self.endpoints.values().map(|endpoint| &endpoint.entry);
        let newer = entries.filter(|entry| entry.revision > revision).cloned();
        let removals = self.removals.iter().filter(|r| r.revision > revision);
        let removals = removals.map(|removal| Removal {
            name: removal.name.clone(),
            revision: removal.revision,
            grace_ms: None,
        });
        let lapsed = self
            .lapsed(now)
            .into_iter()
            .filter(|r| r.revision > revision);
        Some((newer.collect(), removals.chain(lapsed).collect()))
    }

    /// Entries that may only have lapsed, each with its remaining grace period.
    pub fn lapsed(&self, now: Time) -> Vec<Removal> {
        self.lapses.removals(now)
    }

    /// Names of the entries that may only have lapsed.
    pub fn lapsed_names(&self) -> Vec<EndpointName> {
        self.lapses.names().cloned().collect()
    }

    /// All entries.
    pub fn entries(&self) -> Vec<EndpointEntry> {
        self.endpoints.values().map(|e| e.entry.clone()).collect()
    }

    fn record_removal(&mut self, removal: PastRemoval) {
        self.removals.push_back(removal);
        if self.removals.len() > MAX_REMOVALS
            && let Some(oldest) = self.removals.pop_front()
        {
            self.history_start = self.history_start.max(oldest.revision);
        }
    }

    fn known(&self, name: &EndpointName) -> Option<(EndpointKey, &Endpoint)> {
        let key = self.key(name)?;
        Some((key, self.endpoints.get(key)?))
    }

    fn known_mut(&mut self, name: &EndpointName) -> Option<(EndpointKey, &mut Endpoint)> {
        let key = self.key(name)?;
        Some((key, self.endpoints.get_mut(key)?))
    }

    fn add_available(&mut self, service: ServiceName, key: EndpointKey) {
        let hash_of = |key| self.endpoints.get(key).map(|endpoint| endpoint.name_hash);
        let keys = self.by_service.entry(service).or_default();
        let name_hash = hash_of(key);
        let index = keys.partition_point(|other| hash_of(*other) < name_hash);
        keys.insert(index, key);
    }

    fn remove_available(&mut self, key: EndpointKey) {
        for keys in self.by_service.values_mut() {
            keys.retain(|other| *other != key);
        }
    }

    fn drop_endpoint(&mut self, key: EndpointKey) -> Option<EndpointChange> {
        self.remove_available(key);
        let endpoint = self.endpoints.remove(key)?;
        self.bounds.remove(key);
        self.change_count += 1;
        self.former.keep(key, &endpoint);
        self.by_name.remove(&endpoint.entry.name);
        self.lapses.take(&endpoint.entry.name);
        Some(EndpointChange {
            key,
            name: endpoint.entry.name,
            transition: Transition::Left,
        })
    }

    fn change(&self, key: EndpointKey, transition: Transition) -> Option<EndpointChange> {
        let name = self.endpoints.get(key)?.entry.name.clone();
        Some(EndpointChange {
            key,
            name,
            transition,
        })
    }
}
