//! Randomised test of the views of several VMs against the state of the platform.
//!
//! VMs watch and list the platform and request changes from each other concurrently. Replies are
//! computed at one time and delivered at a later time, in any order. At every step, a view of some
//! revision must offer no endpoint that started to drain or was removed at that revision or before,
//! except those that may only have lapsed. Once all replies have been delivered and all grace
//! periods have ended, every view must equal the state of the platform.

use crate::{
    EndpointEntry, EndpointState, EndpointTable, EntryChanges, LocalRemoval, Removal,
    endpoints_tests::entry,
};
use googletest::prelude::*;
use poplarswitch_entity::{EndpointName, ServiceName, Time};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

const NOW: Time = Time::from_millis(1_000);
const GRACE_END: Time = Time::from_millis(3_000);
const VMS: usize = 3;
const NAMES: u64 = 6;
const STEPS: usize = 400;
const SEEDS: u64 = 300;

/// An incarnation of an endpoint: its name and start time.
type Incarnation = (EndpointName, u64);

#[derive(Default)]
struct Platform {
    revision: u64,
    entries: BTreeMap<EndpointName, EndpointEntry>,
    /// All changes: the new entry, or none for a removal.
    log: Vec<(u64, EndpointName, Option<EndpointEntry>)>,
    /// Revision at which an incarnation started to drain or was removed.
    ended: BTreeMap<Incarnation, u64>,
}

impl Platform {
    fn write(&mut self, name: &EndpointName, entry: Option<EndpointEntry>) {
        self.revision += 1;
        let before = match &entry {
            Some(entry) => self.entries.insert(name.clone(), entry.clone()),
            None => self.entries.remove(name),
        };
        if let Some(before) = before
            && entry.as_ref().is_none_or(|e| e.start_ms != before.start_ms)
        {
            self.end(&before);
        }
        if let Some(entry) = entry
            .as_ref()
            .filter(|e| e.state == EndpointState::Draining)
        {
            self.end(&entry.clone());
        }
        self.log.push((self.revision, name.clone(), entry));
    }

    fn end(&mut self, entry: &EndpointEntry) {
        let incarnation = (entry.name.clone(), entry.start_ms);
        self.ended.entry(incarnation).or_insert(self.revision);
    }

    fn change(&mut self, draws: &mut Pcg64Mcg) {
        let name = EndpointName::new(format!("e{}", draws.random_range(0..NAMES)));
        let revision = self.revision + 1;
        let next = match (self.entries.get(&name), draws.random_range(0..4)) {
            (None, _) | (Some(_), 2) => Some(EndpointEntry {
                start_ms: revision,
                ..entry(name.as_str(), revision)
            }),
            (Some(_), 0) => None,
            (Some(known), 1) => Some(EndpointEntry {
                state: EndpointState::Draining,
                revision,
                ..known.clone()
            }),
            (Some(known), _) => Some(EndpointEntry {
                slots: known.slots + 1,
                revision,
                ..known.clone()
            }),
        };
        self.write(&name, next);
    }

    /// The last change of each endpoint after a revision.
    fn since(&self, after: u64, grace_end: Option<Time>) -> EntryChanges {
        let mut last = BTreeMap::new();
        for (revision, name, entry) in self.log.iter().filter(|(revision, ..)| *revision > after) {
            last.insert(name.clone(), (*revision, entry.clone()));
        }
        let mut update = EntryChanges {
            revision: self.revision,
            ..EntryChanges::default()
        };
        for (name, (_, entry)) in last {
            match entry {
                Some(entry) => update.entries.push(entry),
                None => update.removed.push(LocalRemoval {
                    name,
                    revision: self.revision,
                    grace_end,
                }),
            }
        }
        update
    }

    fn available(&self) -> BTreeSet<Incarnation> {
        let ready = self.entries.values();
        let ready = ready.filter(|entry| entry.state == EndpointState::Ready);
        ready
            .map(|entry| (entry.name.clone(), entry.start_ms))
            .collect()
    }
}

/// A request that has not been processed yet.
enum Request {
    Watch(u64),
    Peer {
        vm: usize,
        known: u64,
    },
    FirstPage,
    SecondPage {
        first: Vec<EndpointEntry>,
        revision: u64,
    },
}

/// A reply that has not been delivered yet.
enum Reply {
    Changes(EntryChanges),
    Listing(Vec<EndpointEntry>, EntryChanges),
    Page(Vec<EndpointEntry>, u64),
}

#[derive(Default)]
struct Vm {
    endpoints: EndpointTable,
    requests: Vec<Request>,
    replies: Vec<Reply>,
}

struct Simulation {
    platform: Platform,
    vms: Vec<Vm>,
    draws: Pcg64Mcg,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            platform: Platform::default(),
            vms: (0..VMS).map(|_| Vm::default()).collect(),
            draws: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn step(&mut self) {
        let vm = self.draws.random_range(0..VMS);
        match self.draws.random_range(0..6) {
            0 | 1 => self.platform.change(&mut self.draws),
            2 => self.request(vm),
            3 => self.process(vm),
            _ => self.deliver(vm),
        }
    }

    fn request(&mut self, vm: usize) {
        let known = self.vms[vm].endpoints.revision();
        let request = match self.draws.random_range(0..4) {
            0 => Request::FirstPage,
            1 if known > 0 => Request::Watch(known),
            _ => {
                let other = (vm + self.draws.random_range(1..VMS)) % VMS;
                Request::Peer { vm: other, known }
            }
        };
        self.vms[vm].requests.push(request);
    }

    fn process(&mut self, vm: usize) {
        let requests = &mut self.vms[vm].requests;
        if requests.is_empty() {
            return;
        }
        let request = requests.swap_remove(self.draws.random_range(0..requests.len()));
        // After an outage, a missing entry may only have lapsed.
        let grace = (self.draws.random_range(0..4) == 0).then_some(GRACE_END);
        let reply = match request {
            Request::Watch(after) => Reply::Changes(self.platform.since(after, grace)),
            Request::Peer { vm, known } => reply_to(&self.vms[vm].endpoints, known),
            Request::FirstPage => Reply::Page(self.page(true), self.platform.revision),
            Request::SecondPage {
                mut first,
                revision,
            } => {
                first.extend(self.page(false));
                let update = EntryChanges {
                    revision,
                    ..EntryChanges::default()
                };
                Reply::Listing(first, update)
            }
        };
        self.vms[vm].replies.push(reply);
    }

    fn page(&self, first: bool) -> Vec<EndpointEntry> {
        let middle = EndpointName::new(format!("e{}", NAMES / 2));
        let entries = self.platform.entries.values();
        let page = entries.filter(|entry| (entry.name < middle) == first);
        page.cloned().collect()
    }

    fn deliver(&mut self, vm: usize) {
        let Vm {
            endpoints,
            requests,
            replies,
        } = &mut self.vms[vm];
        if replies.is_empty() {
            return;
        }
        match replies.swap_remove(self.draws.random_range(0..replies.len())) {
            Reply::Changes(update) => drop(endpoints.apply(update)),
            Reply::Listing(entries, update) => {
                endpoints.apply_listing(entries, update.revision, None);
                endpoints.apply(update);
            }
            Reply::Page(first, revision) => requests.push(Request::SecondPage { first, revision }),
        }
    }

    /// Endpoints that a view offers although they ended at a revision that the view covers.
    fn restored(&self) -> Vec<(usize, Incarnation)> {
        let restored_by = |(vm, Vm { endpoints, .. }): (usize, &Vm)| {
            let ended = |incarnation: &Incarnation| {
                let at = self.platform.ended.get(incarnation);
                at.is_some_and(|at| *at <= endpoints.revision())
            };
            let lapsed: BTreeSet<EndpointName> =
                endpoints.lapsed(NOW).into_iter().map(|r| r.name).collect();
            let not_lapsed = |incarnation: &Incarnation| !lapsed.contains(&incarnation.0);
            let incarnations = available(endpoints)
                .into_iter()
                .filter(ended)
                .filter(not_lapsed);
            incarnations
                .map(|incarnation| (vm, incarnation))
                .collect::<Vec<_>>()
        };
        self.vms.iter().enumerate().flat_map(restored_by).collect()
    }

    fn settle(&mut self) {
        for vm in 0..VMS {
            while !self.vms[vm].requests.is_empty() || !self.vms[vm].replies.is_empty() {
                self.process(vm);
                self.deliver(vm);
            }
            let after = self.vms[vm].endpoints.revision();
            let update = self.platform.since(after, None);
            self.vms[vm].endpoints.apply(update);
            self.vms[vm].endpoints.expire_grace(GRACE_END);
        }
    }
}

/// The reply of one VM to another VM whose view is of revision `known`.
fn reply_to(endpoints: &EndpointTable, known: u64) -> Reply {
    let revision = endpoints.revision();
    let local = |removed: Vec<Removal>| removed.into_iter().map(|r| r.into_local(NOW)).collect();
    match endpoints.changes_since(NOW, known) {
        _ if revision <= known => Reply::Changes(EntryChanges {
            revision,
            ..EntryChanges::default()
        }),
        Some((entries, removed)) => Reply::Changes(EntryChanges {
            entries,
            removed: local(removed),
            revision,
        }),
        None => {
            let update = EntryChanges {
                entries: Vec::new(),
                removed: local(endpoints.lapsed(NOW)),
                revision,
            };
            Reply::Listing(endpoints.entries(), update)
        }
    }
}

fn available(endpoints: &EndpointTable) -> BTreeSet<Incarnation> {
    let keys = endpoints.available(&ServiceName::new("chat")).iter();
    let entries = keys.map(|key| &endpoints.get(*key).unwrap().entry);
    entries.map(|e| (e.name.clone(), e.start_ms)).collect()
}

#[gtest]
fn removed_endpoints_stay_removed_and_all_views_converge() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed);
        for step in 0..STEPS {
            simulation.step();
            assert_that!(
                simulation.restored(),
                is_empty(),
                "seed {seed}, step {step}"
            );
        }
        simulation.settle();
        for vm in &simulation.vms {
            assert_that!(
                available(&vm.endpoints),
                eq(&simulation.platform.available()),
                "seed {seed}"
            );
        }
    }
}
