//! Workspaces, classes and estimates, under keys that stay the same from set to set.

use crate::call::{KindKey, ProfileKey};
use crate::group::GroupKey;
use poplarswitch_catalog::Catalog;
use poplarswitch_entity::{ClassName, Time, WorkspaceName};
use poplarswitch_estimate::Profile;
use poplarswitch_queue::{Account, AccountKey};
use slotmap::SlotMap;
use std::collections::HashMap;

/// Calls of a class that wait, and how many may.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Kind {
    pub queued: u32,
    pub max_queued: u32,
    pub slot_percent: u8,
}

#[derive(Debug, Default)]
pub(crate) struct Book {
    pub accounts: SlotMap<AccountKey, Account>,
    pub kinds: SlotMap<KindKey, Kind>,
    pub profiles: SlotMap<ProfileKey, Profile>,
    workspaces: HashMap<WorkspaceName, AccountKey>,
    classes: HashMap<ClassName, KindKey>,
    pairs: HashMap<(GroupKey, KindKey), ProfileKey>,
    tiers: usize,
}

impl Book {
    /// Starts all counts anew, for another number of tiers.
    pub(crate) fn reset(&mut self, tiers: usize) {
        self.tiers = tiers;
        for account in self.accounts.values_mut() {
            account.reset(self.tiers);
        }
        for kind in self.kinds.values_mut() {
            kind.queued = 0;
        }
    }

    /// Takes over limits and weights.
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
            let key = self.kind(&entry.class.name);
            self.kinds[key].max_queued = limits.queued;
            self.kinds[key].slot_percent = limits.slot_percent;
        }
    }

    /// Tiers in force.
    pub(crate) const fn tiers(&self) -> usize {
        self.tiers
    }

    pub(crate) fn account(&mut self, now: Time, name: &WorkspaceName) -> AccountKey {
        if let Some(key) = self.workspaces.get(name) {
            return *key;
        }
        let key = self.accounts.insert(Account::new(self.tiers, now));
        self.workspaces.insert(name.clone(), key);
        key
    }

    pub(crate) fn kind(&mut self, name: &ClassName) -> KindKey {
        if let Some(key) = self.classes.get(name) {
            return *key;
        }
        let key = self.kinds.insert(Kind::default());
        self.classes.insert(name.clone(), key);
        key
    }

    pub(crate) fn profile(&mut self, group: GroupKey, kind: KindKey) -> ProfileKey {
        let profiles = &mut self.profiles;
        *self
            .pairs
            .entry((group, kind))
            .or_insert_with(|| profiles.insert(Profile::default()))
    }
}
