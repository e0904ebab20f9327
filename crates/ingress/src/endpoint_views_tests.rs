//! Randomised test of the views of several VMs against the state of the platform.
//!
//! VMs watch and list the platform and request changes from each other concurrently. Replies are
//! computed at one time and delivered at a later time, in any order. At every step, a view of some
//! revision must offer no endpoint that started to drain or was removed at that revision or before,
//! except those that may only have lapsed. Once all replies have been delivered and all grace
//! periods have ended, every view must equal the state of the platform.
//!
//! The platform may also come back from a copy. What it has lost is then written again: entries of
//! endpoints that run, and ends of those that have ended. Meanwhile, no view may offer an endpoint
//! again that it had as ended, or drop one that runs.

use crate::{
    EndpointEntry, EndpointState, EndpointTable, EntryChanges, LocalRemoval, Removal, Revision,
    endpoints_tests::entry,
};
use googletest::prelude::*;
use poplarswitch_entity::{EndpointName, ServiceName, Time};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

const NOW: Time = Time::from_millis(1_000);
const GRACE_END: Time = Time::from_millis(3_100);
const VMS: usize = 3;
const NAMES: u64 = 6;
const STEPS: usize = 400;
const SEEDS: u64 = 300;

/// Number of steps after which the platform comes back from a copy, on average.
const RESTORE_STEPS: u32 = 60;

/// An incarnation of an endpoint: its name and start time.
type Incarnation = (EndpointName, u64);

type Entries = BTreeMap<EndpointName, EndpointEntry>;

/// Content that the platform would lose.
#[derive(Clone, Default)]
struct Content {
    revision: Revision,
    entries: Entries,
    /// All changes: the new entry, or none for a removal.
    log: Vec<(Revision, EndpointName, Option<EndpointEntry>)>,
    /// Revision at which an incarnation started to drain or was removed.
    ended: BTreeMap<Incarnation, Revision>,
}

impl Content {
    /// The same content in another era.
    fn in_era(mut self, era: u64) -> Self {
        let entries = self.entries.values_mut();
        let logged = self.log.iter_mut().filter_map(|(.., entry)| entry.as_mut());
        for entry in entries.chain(logged) {
            entry.revision.era = era;
        }
        let logged = self.log.iter_mut().map(|(revision, ..)| revision);
        let ended = self.ended.values_mut();
        for revision in logged.chain(ended).chain([&mut self.revision]) {
            revision.era = era;
        }
        self
    }
}

#[derive(Default)]
struct Platform {
    content: Content,
    copy: Content,
    /// Entries of all endpoints that run.
    running: Entries,
    /// Start time of the last incarnation.
    last_start: u64,
}

impl Platform {
    fn write(&mut self, name: &EndpointName, entry: Option<EndpointEntry>) {
        self.content.revision = self.next_revision();
        let before = match &entry {
            Some(entry) => self.content.entries.insert(name.clone(), entry.clone()),
            None => self.content.entries.remove(name),
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
        let revision = self.content.revision;
        self.content.log.push((revision, name.clone(), entry));
    }

    fn end(&mut self, entry: &EndpointEntry) {
        let incarnation = (entry.name.clone(), entry.start_ms);
        let revision = self.content.revision;
        self.content.ended.entry(incarnation).or_insert(revision);
    }

    fn next_revision(&self) -> Revision {
        let Revision { era, number } = self.content.revision;
        Revision {
            era,
            number: number + 1,
        }
    }

    /// Comes back from the copy, or takes one.
    fn restore_or_copy(&mut self, draws: &mut Pcg64Mcg) {
        if draws.random_range(0..2) == 0 {
            let era = self.content.revision.era + 1;
            self.content = self.copy.clone().in_era(era);
        }
        self.copy = self.content.clone();
    }

    /// Names of endpoints whose entries or ends have been lost.
    fn lost(&self) -> Vec<EndpointName> {
        let stored = &self.content.entries;
        let names: BTreeSet<&EndpointName> = stored.keys().chain(self.running.keys()).collect();
        let is_lost = |name: &&EndpointName| {
            let without_revision = |entry: &EndpointEntry| EndpointEntry {
                revision: Revision::default(),
                ..entry.clone()
            };
            stored.get(*name).map(without_revision) != self.running.get(*name).map(without_revision)
        };
        names.into_iter().filter(is_lost).cloned().collect()
    }

    /// Writes again what has been lost of an endpoint.
    fn write_again(&mut self, name: &EndpointName) {
        let revision = self.next_revision();
        let entry = self.running.get(name).cloned();
        self.write(name, entry.map(|entry| EndpointEntry { revision, ..entry }));
    }

    fn change(&mut self, draws: &mut Pcg64Mcg) {
        if let Some(name) = self.lost().first() {
            return self.write_again(name);
        }
        let name = EndpointName::new(format!("e{}", draws.random_range(0..NAMES)));
        let revision = self.next_revision();
        self.last_start += 1;
        let next = match (self.running.get(&name), draws.random_range(0..4)) {
            (None, _) | (Some(_), 2) => Some(EndpointEntry {
                start_ms: self.last_start,
                revision,
                ..entry(name.as_str(), 0)
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
        match &next {
            Some(entry) => drop(self.running.insert(name.clone(), entry.clone())),
            None => drop(self.running.remove(&name)),
        }
        self.write(&name, next);
    }

    /// The last change of each endpoint after a revision, of which the platform knows the number only.
    fn since(&self, after: Revision, grace_end: Option<Time>) -> EntryChanges {
        let mut last = BTreeMap::new();
        let is_newer = |revision: &Revision| revision.number > after.number;
        let log = self.content.log.iter();
        for (revision, name, entry) in log.filter(|(revision, ..)| is_newer(revision)) {
            last.insert(name.clone(), (*revision, entry.clone()));
        }
        let mut update = EntryChanges {
            revision: self.content.revision,
            ..EntryChanges::default()
        };
        for (name, (_, entry)) in last {
            match entry {
                Some(entry) => update.entries.push(entry),
                None => update.removed.push(LocalRemoval {
                    name,
                    revision: self.content.revision,
                    grace_end,
                }),
            }
        }
        update
    }

    fn available(&self) -> BTreeSet<Incarnation> {
        let ready = self.content.entries.values();
        let ready = ready.filter(|entry| entry.state == EndpointState::Ready);
        ready
            .map(|entry| (entry.name.clone(), entry.start_ms))
            .collect()
    }
}

/// A request that has not been processed yet.
enum Request {
    Watch(Revision),
    Peer {
        vm: usize,
        known: Revision,
    },
    FirstPage,
    SecondPage {
        first: Vec<EndpointEntry>,
        revision: Revision,
    },
}

/// A reply that has not been delivered yet.
enum Reply {
    Changes(EntryChanges),
    Listing(Vec<EndpointEntry>, EntryChanges),
    Page(Vec<EndpointEntry>, Revision),
}

#[derive(Default)]
struct Vm {
    endpoints: EndpointTable,
    /// Incarnations that the view offers.
    offered: BTreeSet<Incarnation>,
    /// Incarnations that the view has offered before it covered their ends.
    ended: BTreeSet<Incarnation>,
    requests: Vec<Request>,
    replies: Vec<Reply>,
}

struct Simulation {
    platform: Platform,
    vms: Vec<Vm>,
    draws: Pcg64Mcg,
    /// Whether the platform comes back from copies.
    has_restores: bool,
}

impl Simulation {
    fn new(seed: u64, has_restores: bool) -> Self {
        Self {
            platform: Platform::default(),
            vms: (0..VMS).map(|_| Vm::default()).collect(),
            draws: Pcg64Mcg::seed_from_u64(seed),
            has_restores,
        }
    }

    fn step(&mut self) {
        if self.has_restores && self.draws.random_range(0..RESTORE_STEPS) == 0 {
            self.platform.restore_or_copy(&mut self.draws);
        }
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
            1 if known != Revision::default() => Request::Watch(known),
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
            // The platform has come back from a copy since the request, or between the pages.
            Request::Watch(revision) | Request::SecondPage { revision, .. }
                if revision.era != self.platform.content.revision.era =>
            {
                return;
            }
            Request::Watch(after) => Reply::Changes(self.platform.since(after, grace)),
            Request::Peer { vm, known } => reply_to(&self.vms[vm].endpoints, known),
            Request::FirstPage => Reply::Page(self.page(true), self.platform.content.revision),
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
        let entries = self.platform.content.entries.values();
        let page = entries.filter(|entry| (entry.name < middle) == first);
        page.cloned().collect()
    }

    fn deliver(&mut self, vm: usize) {
        let Vm {
            endpoints,
            requests,
            replies,
            ..
        } = &mut self.vms[vm];
        if replies.is_empty() {
            return;
        }
        match replies.swap_remove(self.draws.random_range(0..replies.len())) {
            Reply::Changes(update) => drop(endpoints.apply(update)),
            Reply::Listing(entries, update) => {
                let grace_end = endpoints.era_grace(update.revision, NOW);
                endpoints.apply_listing(entries, update.revision, grace_end);
                endpoints.apply(update);
            }
            Reply::Page(first, revision) => requests.push(Request::SecondPage { first, revision }),
        }
    }

    /// Endpoints that a view offers although they ended at a revision that the view covers.
    fn restored(&self) -> Vec<(usize, Incarnation)> {
        let restored_by = |(vm, Vm { endpoints, .. }): (usize, &Vm)| {
            let ended = |incarnation: &Incarnation| {
                let at = self.platform.content.ended.get(incarnation);
                let known = endpoints.revision();
                at.is_some_and(|at| at.era == known.era && *at <= known)
            };
            let lapsed = lapsed_names(endpoints);
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

    /// Records what the views offer; returns what a view offers again after it has covered its end,
    /// and what a view no longer offers although it runs.
    fn offered_wrongly(&mut self) -> Vec<Incarnation> {
        let mut wrong = Vec::new();
        let runs = |(name, start_ms): &&Incarnation| {
            let entry = self.platform.running.get(name);
            entry.is_some_and(|e| e.start_ms == *start_ms && e.state == EndpointState::Ready)
        };
        for vm in &mut self.vms {
            let offered = available(&vm.endpoints);
            let known = vm.endpoints.revision();
            let is_covered = |incarnation: &&Incarnation| {
                let at = self.platform.content.ended.get(*incarnation);
                at.is_some_and(|at| at.era == known.era && *at <= known)
            };
            wrong.extend(vm.offered.difference(&offered).filter(runs).cloned());
            let ended = vm.offered.difference(&offered).filter(is_covered);
            vm.ended.extend(ended.cloned());
            let lapsed = lapsed_names(&vm.endpoints);
            let not_lapsed = offered.iter().filter(|i| !lapsed.contains(&i.0));
            wrong.extend(not_lapsed.filter(|i| vm.ended.contains(*i)).cloned());
            vm.offered = offered;
        }
        wrong
    }

    fn settle(&mut self) {
        for name in self.platform.lost() {
            self.platform.write_again(&name);
        }
        for vm in 0..VMS {
            while !self.vms[vm].requests.is_empty() || !self.vms[vm].replies.is_empty() {
                self.process(vm);
                self.deliver(vm);
            }
            let listing: Vec<EndpointEntry> =
                self.platform.content.entries.values().cloned().collect();
            let revision = self.platform.content.revision;
            let endpoints = &mut self.vms[vm].endpoints;
            let after = endpoints.revision();
            if after.era == revision.era {
                endpoints.apply(self.platform.since(after, None));
            } else {
                let grace_end = endpoints.era_grace(revision, NOW);
                endpoints.apply_listing(listing, revision, grace_end);
            }
            endpoints.expire_grace(GRACE_END);
        }
    }
}

/// The reply of one VM to another VM whose view is of revision `known`.
fn reply_to(endpoints: &EndpointTable, known: Revision) -> Reply {
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

fn lapsed_names(endpoints: &EndpointTable) -> BTreeSet<EndpointName> {
    endpoints.lapsed(NOW).into_iter().map(|r| r.name).collect()
}

fn available(endpoints: &EndpointTable) -> BTreeSet<Incarnation> {
    let keys = endpoints.available(&ServiceName::new("chat")).iter();
    let entries = keys.map(|key| &endpoints.get(*key).unwrap().entry);
    entries.map(|e| (e.name.clone(), e.start_ms)).collect()
}

fn check_views(has_restores: bool) {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, has_restores);
        for step in 0..STEPS {
            simulation.step();
            assert_that!(
                simulation.restored(),
                is_empty(),
                "seed {seed}, step {step}"
            );
            assert_that!(
                simulation.offered_wrongly(),
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

#[gtest]
fn removed_endpoints_stay_removed_and_all_views_converge() {
    check_views(false);
}

/// Views ignored all changes after the platform had come back from a copy, because their revisions
/// were lower, or offered endpoints again that had ended.
#[gtest]
fn views_converge_although_the_platform_comes_back_from_copies() {
    check_views(true);
}
