//! Views of the endpoints on several VMs, against what the platform holds.
//!
//! VMs watch and list the platform and ask each other, all at once; answers are computed at one
//! time and come at another, in any order. Whatever comes, a view that claims to be of a revision
//! has no endpoint among its takers that drained or went at that revision or before, but for those
//! that may only have lapsed. Once all answers have come and all graces are over, every view is what
//! the platform holds.

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
const GRACE: Time = Time::from_millis(3_000);
const VMS: usize = 3;
const NAMES: u64 = 6;
const STEPS: usize = 400;
const SEEDS: u64 = 300;

/// A life of an endpoint: its name and start.
type Life = (EndpointName, u64);

#[derive(Default)]
struct Platform {
    revision: u64,
    entries: BTreeMap<EndpointName, EndpointEntry>,
    /// Each change: the entry, or nothing if it went.
    log: Vec<(u64, EndpointName, Option<EndpointEntry>)>,
    /// When a life drained or went.
    ended: BTreeMap<Life, u64>,
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
        let life = (entry.name.clone(), entry.start_ms);
        self.ended.entry(life).or_insert(self.revision);
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

    /// The last event of each endpoint after a revision.
    fn since(&self, after: u64, grace_end: Option<Time>) -> EntryChanges {
        let mut last = BTreeMap::new();
        for (revision, name, entry) in self.log.iter().filter(|(revision, ..)| *revision > after) {
            last.insert(name.clone(), (*revision, entry.clone()));
        }
        let mut news = EntryChanges {
            revision: self.revision,
            ..EntryChanges::default()
        };
        for (name, (_, entry)) in last {
            match entry {
                Some(entry) => news.entries.push(entry),
                None => news.removed.push(LocalRemoval {
                    name,
                    revision: self.revision,
                    grace_end,
                }),
            }
        }
        news
    }

    fn takers(&self) -> BTreeSet<Life> {
        let ready = self.entries.values();
        let ready = ready.filter(|entry| entry.state == EndpointState::Ready);
        ready
            .map(|entry| (entry.name.clone(), entry.start_ms))
            .collect()
    }
}

/// A question on its way to who answers it.
enum Query {
    Watch(u64),
    Neighbour {
        vm: usize,
        known: u64,
    },
    FirstPage,
    SecondPage {
        first: Vec<EndpointEntry>,
        revision: u64,
    },
}

/// An answer on its way back.
enum Answer {
    EntryChanges(EntryChanges),
    Whole(Vec<EndpointEntry>, EntryChanges),
    FirstPage(Vec<EndpointEntry>, u64),
}

#[derive(Default)]
struct Vm {
    fleet: EndpointTable,
    asks: Vec<Query>,
    answers: Vec<Answer>,
}

struct World {
    platform: Platform,
    vms: Vec<Vm>,
    draws: Pcg64Mcg,
}

impl World {
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
            2 => self.ask(vm),
            3 => self.answer(vm),
            _ => self.deliver(vm),
        }
    }

    fn ask(&mut self, vm: usize) {
        let known = self.vms[vm].fleet.revision();
        let ask = match self.draws.random_range(0..4) {
            0 => Query::FirstPage,
            1 if known > 0 => Query::Watch(known),
            _ => {
                let other = (vm + self.draws.random_range(1..VMS)) % VMS;
                Query::Neighbour { vm: other, known }
            }
        };
        self.vms[vm].asks.push(ask);
    }

    fn answer(&mut self, vm: usize) {
        let asks = &mut self.vms[vm].asks;
        if asks.is_empty() {
            return;
        }
        let ask = asks.swap_remove(self.draws.random_range(0..asks.len()));
        // After an outage, what is missing may only have lapsed.
        let grace = (self.draws.random_range(0..4) == 0).then_some(GRACE);
        let answer = match ask {
            Query::Watch(after) => Answer::EntryChanges(self.platform.since(after, grace)),
            Query::Neighbour { vm, known } => told(&self.vms[vm].fleet, known),
            Query::FirstPage => Answer::FirstPage(self.page(true), self.platform.revision),
            Query::SecondPage {
                mut first,
                revision,
            } => {
                first.extend(self.page(false));
                let news = EntryChanges {
                    revision,
                    ..EntryChanges::default()
                };
                Answer::Whole(first, news)
            }
        };
        self.vms[vm].answers.push(answer);
    }

    fn page(&self, first: bool) -> Vec<EndpointEntry> {
        let middle = EndpointName::new(format!("e{}", NAMES / 2));
        let entries = self.platform.entries.values();
        let page = entries.filter(|entry| (entry.name < middle) == first);
        page.cloned().collect()
    }

    fn deliver(&mut self, vm: usize) {
        let Vm {
            fleet,
            asks,
            answers,
        } = &mut self.vms[vm];
        if answers.is_empty() {
            return;
        }
        match answers.swap_remove(self.draws.random_range(0..answers.len())) {
            Answer::EntryChanges(news) => drop(fleet.apply(news)),
            Answer::Whole(entries, news) => {
                fleet.apply_listing(entries, news.revision, None);
                fleet.apply(news);
            }
            Answer::FirstPage(first, revision) => asks.push(Query::SecondPage { first, revision }),
        }
    }

    /// Endpoints that a view uses though it covers their end.
    fn revived(&self) -> Vec<(usize, Life)> {
        let of = |(vm, Vm { fleet, .. }): (usize, &Vm)| {
            let ended = |life: &Life| {
                let at = self.platform.ended.get(life);
                at.is_some_and(|at| *at <= fleet.revision())
            };
            let lapsed: BTreeSet<EndpointName> =
                fleet.lapsed(NOW).into_iter().map(|r| r.name).collect();
            let kept = |life: &Life| !lapsed.contains(&life.0);
            let lives = takers(fleet).into_iter().filter(ended).filter(kept);
            lives.map(|life| (vm, life)).collect::<Vec<_>>()
        };
        self.vms.iter().enumerate().flat_map(of).collect()
    }

    fn settle(&mut self) {
        for vm in 0..VMS {
            while !self.vms[vm].asks.is_empty() || !self.vms[vm].answers.is_empty() {
                self.answer(vm);
                self.deliver(vm);
            }
            let after = self.vms[vm].fleet.revision();
            let news = self.platform.since(after, None);
            self.vms[vm].fleet.apply(news);
            self.vms[vm].fleet.expire_grace(GRACE);
        }
    }
}

/// What one VM tells another that knows a revision.
fn told(fleet: &EndpointTable, known: u64) -> Answer {
    let revision = fleet.revision();
    let gone = |removed: Vec<Removal>| removed.into_iter().map(|r| r.into_local(NOW)).collect();
    match fleet.changes_since(NOW, known) {
        _ if revision <= known => Answer::EntryChanges(EntryChanges {
            revision,
            ..EntryChanges::default()
        }),
        Some((entries, removed)) => Answer::EntryChanges(EntryChanges {
            entries,
            removed: gone(removed),
            revision,
        }),
        None => {
            let news = EntryChanges {
                entries: Vec::new(),
                removed: gone(fleet.lapsed(NOW)),
                revision,
            };
            Answer::Whole(fleet.entries(), news)
        }
    }
}

fn takers(fleet: &EndpointTable) -> BTreeSet<Life> {
    let keys = fleet.available(&ServiceName::new("chat")).iter();
    let entries = keys.map(|key| &fleet.get(*key).unwrap().entry);
    entries.map(|e| (e.name.clone(), e.start_ms)).collect()
}

#[gtest]
fn no_view_brings_an_endpoint_back_and_all_agree_in_the_end() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        for step in 0..STEPS {
            world.step();
            assert_that!(world.revived(), is_empty(), "seed {seed}, step {step}");
        }
        world.settle();
        for vm in &world.vms {
            assert_that!(
                takers(&vm.fleet),
                eq(&world.platform.takers()),
                "seed {seed}"
            );
        }
    }
}
