//! Entries in the platform of VMs that died without taking them away.
//!
//! Nothing there expires by itself. A VM that reads the platform for its data centre looks through
//! the list now and then; an entry whose VM was silent in two looks, and that nobody has written
//! since, is removed on condition that it is still the same. A VM that is cut off hears nobody, so
//! nothing is removed while most of the listed VMs are silent.

use core::net::Ipv4Addr;
use poplarswitch_entity::VmName;
use std::collections::HashMap;

/// Entries that one look removes at most; more wait for the next, which spares the platform.
const REMOVED_MOST: usize = 8;

/// The entry of a VM in the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmEntry {
    /// Its name.
    pub name: VmName,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Where it stands.
    pub data_centre: String,
    /// Unix milliseconds of its process's start: each process writes an entry of its own.
    pub start_ms: u64,
    /// The platform's revision at the entry's last change; 0 in one that is to be written.
    pub revision: u64,
}

/// Entries whose VMs were silent in the last look, with their revisions.
#[derive(Clone, Debug, Default)]
pub struct StaleVmDetector {
    suspects: HashMap<VmName, u64>,
}

impl StaleVmDetector {
    /// Takes a list of all entries; returns those to remove.
    pub fn scan(&mut self, listed: &[VmEntry], lives: impl Fn(Ipv4Addr) -> bool) -> Vec<VmEntry> {
        let (alive, silent): (Vec<&VmEntry>, Vec<&VmEntry>) =
            listed.iter().partition(|vm| lives(vm.ip));
        let before = core::mem::take(&mut self.suspects);
        if alive.len() <= silent.len() {
            return Vec::new();
        }
        self.suspects = silent
            .iter()
            .map(|vm| (vm.name.clone(), vm.revision))
            .collect();
        let same = |vm: &&&VmEntry| before.get(&vm.name) == Some(&vm.revision);
        let due = silent.iter().filter(same).take(REMOVED_MOST);
        due.map(|vm| (*vm).clone()).collect()
    }
}
