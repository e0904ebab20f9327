//! Removal of the entries of dead VMs from the platform.
//!
//! Entries of VMs don't expire by themselves. The VM that reads the platform for its data centre
//! scans the list. An entry is removed if its VM was silent in all scans for some time and the entry
//! has not been written in between; the removal is conditional on the entry's revision. A VM that is
//! cut off receives no heartbeats, so nothing is removed unless most of the listed VMs are alive.

use crate::{quarantine::HeldSubject, revision::Revision, streams::KeptVersion};
use core::{net::Ipv4Addr, time::Duration};
use poplarswitch_entity::{Time, VmName};
use std::collections::HashMap;

/// Maximum number of entries that one scan removes; the others wait for the next scan, which limits
/// the load on the platform.
const MAX_REMOVALS: usize = 8;

/// Time for which a VM must be silent. One that is only cut off from the others tells them what it
/// holds in its entry.
const SILENCE_TIME: Duration = Duration::from_secs(30);

/// Entry of a VM in the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmEntry {
    /// Name of the VM.
    pub name: VmName,
    /// Address of the VM.
    pub ip: Ipv4Addr,
    /// Data centre in which it runs.
    pub data_centre: String,
    /// Other VMs of its data centre, as it knew them when it wrote the entry.
    pub peers: Vec<Ipv4Addr>,
    /// Start of its process in Unix milliseconds; each process writes its own entry.
    pub start_ms: u64,
    /// Platform revision of the entry's last change; the default in an entry that is yet to be
    /// written.
    pub revision: Revision,
    /// Subjects that the VM holds, for VMs that start.
    pub held: Vec<HeldSubject>,
    /// Versions of the software of each service that the VM has seen, for VMs that start.
    pub versions: Vec<KeptVersion>,
}

/// Detects entries of dead VMs by successive scans; holds the silent VMs of the last scan with the
/// revisions of their entries and the time of the first scan that found them so.
#[derive(Clone, Debug, Default)]
pub struct StaleVmDetector {
    suspects: HashMap<VmName, (Revision, Time)>,
}

impl StaleVmDetector {
    /// Scans the list of all entries and returns those to remove.
    pub fn scan(
        &mut self,
        now: Time,
        listed: &[VmEntry],
        is_alive: impl Fn(Ipv4Addr) -> bool,
    ) -> Vec<VmEntry> {
        let (alive, silent): (Vec<&VmEntry>, Vec<&VmEntry>) =
            listed.iter().partition(|vm| is_alive(vm.ip));
        let previous = core::mem::take(&mut self.suspects);
        if alive.len() <= silent.len() {
            return Vec::new();
        }
        let suspects = silent.iter().map(|vm| {
            let known = previous.get(&vm.name);
            let unchanged = known.filter(|(revision, _)| *revision == vm.revision);
            let since = unchanged.map_or(now, |(_, since)| *since);
            (vm.name.clone(), (vm.revision, since))
        });
        self.suspects = suspects.collect();
        let is_stale = |vm: &&&VmEntry| {
            let suspect = self.suspects.get(&vm.name);
            suspect.is_some_and(|(_, since)| now.since(*since) >= SILENCE_TIME)
        };
        let stale = silent.iter().filter(is_stale).take(MAX_REMOVALS);
        stale.map(|vm| (*vm).clone()).collect()
    }
}
