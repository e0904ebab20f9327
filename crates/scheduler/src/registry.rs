//! Workspaces, classes and latency estimates, under keys that remain valid when the set changes.

use crate::call::{ClassStateKey, ProfileKey};
use crate::route_state::RouteStateKey;
use poplarswitch_catalog::Catalog;
use poplarswitch_entity::{ClassName, Time, WorkspaceName};
use poplarswitch_estimate::Profile;
use poplarswitch_queue::{Account, AccountKey};
use slotmap::SlotMap;
use std::collections::HashMap;

/// Number of queued calls of a class, and the class's limits.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClassState {
    pub queued: u32,
    pub max_queued: u32,
    pub slot_percent: u8,
}

#[derive(Debug, Default)]
pub(crate) struct Registry {
    pub accounts: SlotMap<AccountKey, Account>,
    pub class_states: SlotMap<ClassStateKey, ClassState>,
    pub profiles: SlotMap<ProfileKey, Profile>,
    account_keys: HashMap<WorkspaceName, AccountKey>,
    class_keys: HashMap<ClassName, ClassStateKey>,
    profile_keys: HashMap<(RouteStateKey, ClassStateKey), ProfileKey>,
    tiers: usize,
}

impl Registry {
    /// Resets the counts of queued and running calls, for a set with `tiers` tiers.
    pub(crate) fn reset(&mut self, tiers: usize) {
        self.tiers = tiers;
        for account in self.accounts.values_mut() {
            account.reset(self.tiers);
        }
        for class_state in self.class_states.values_mut() {
            class_state.queued = 0;
        }
    }

    /// Copies limits and weights from the catalog.
    pub(crate) fn sync(&mut self, now: Time, catalog: &Catalog) {
        for entry in catalog.workspaces.values() {
            let workspace = &entry.workspace;
            let key = self.account(now, &workspace.name);
            let limits = workspace.limits;
            let account = &mut self.accounts[key];
            account.set_limits(limits.rate, limits.in_flight, limits.queued);
            account.set_weight(workspace.weight);
        }
        for entry in catalog.classes.values() {
            let limits = entry.class.limits;
            let key = self.class_state(&entry.class.name);
            self.class_states[key].max_queued = limits.queued;
            self.class_states[key].slot_percent = limits.slot_percent;
        }
    }

    /// Number of tiers of the set in force, at least 1.
    pub(crate) const fn tiers(&self) -> usize {
        self.tiers
    }

    pub(crate) fn account(&mut self, now: Time, name: &WorkspaceName) -> AccountKey {
        if let Some(key) = self.account_keys.get(name) {
            return *key;
        }
        let key = self.accounts.insert(Account::new(self.tiers, now));
        self.account_keys.insert(name.clone(), key);
        key
    }

    pub(crate) fn class_state(&mut self, name: &ClassName) -> ClassStateKey {
        if let Some(key) = self.class_keys.get(name) {
            return *key;
        }
        let key = self.class_states.insert(ClassState::default());
        self.class_keys.insert(name.clone(), key);
        key
    }

    pub(crate) fn profile(
        &mut self,
        route_key: RouteStateKey,
        class_key: ClassStateKey,
    ) -> ProfileKey {
        let profiles = &mut self.profiles;
        *self
            .profile_keys
            .entry((route_key, class_key))
            .or_insert_with(|| profiles.insert(Profile::default()))
    }
}
