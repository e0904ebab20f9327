//! Views of the endpoints on several VMs, against what the platform holds.
//!
//! VMs watch and list the platform and ask each other, all at once; answers are computed at one
//! time and come at another, in any order. Whatever comes, a view that claims to be of a revision
//! has no endpoint among its takers that drained or went at that revision or before, but for those
//! that may only have lapsed. Once all answers have come and all graces are over, every view is what
//! the platform holds.

use crate::{Entry, EntryState, Fleet, Gone, News, Removal, fleet_tests::entry};
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
    entries: BTreeMap<EndpointName, Entry>,
    /// Each change: the entry, or nothing if it went.
    log: Vec<(u64, EndpointName, Option<Entry>)>,
    /// When a life drained or went.
    ended: BTreeMap<Life, u64>,
}

impl Platform {
    fn write(&mut self, name: &EndpointName, entry: Option<Entry>) {
        self.revision += 1;
        let before = match &entry {
            Some(entry) => self.entries.insert(name.clone(), entry.clone()),
            None => self.entries.remove(name),
        };
        if let Some(before) = before
            && entry.as_ref().is_none_or(|e| e.born != before.born)
        {
            self.end(&before);
        }
        if let Some(entry) = entry.as_ref().filter(|e| e.state == EntryState::Draining) {
            self.end(&entry.clone());
        }
        self.log.push((self.revision, name.clone(), entry));
    }

    fn end(&mut self, entry: &Entry) {
        let life = (entry.name.clone(), entry.born);
        self.ended.entry(life).or_insert(self.revision);
    }

    fn change(&mut self, draws: &mut Pcg64Mcg) {
        let name = EndpointName::new(format!("e{}", draws.random_range(0..NAMES)));
        let revision = self.revision + 1;
        let next = match (self.entries.get(&name), draws.random_range(0..4)) {
            (None, _) | (Some(_), 2) => Some(Entry {
                born: revision,
                ..entry(name.as_str(), revision)
            }),
            (Some(_), 0) => None,
            (Some(known), 1) => Some(Entry {
                state: EntryState::Draining,
                revision,
                ..known.clone()
            }),
            (Some(known), _) => Some(Entry {
                slots: known.slots + 1,
                revision,
                ..known.clone()
            }),
        };
        self.write(&name, next);
    }

    /// The last event of each endpoint after a revision.
    fn since(&self, after: u64, grace: Option<Time>) -> News {
        let mut last = BTreeMap::new();
        for (revision, name, entry) in self.log.iter().filter(|(revision, ..)| *revision > after) {
            last.insert(name.clone(), (*revision, entry.clone()));
        }
        let mut news = News {
            revision: self.revision,
            ..News::default()
        };
        for (name, (_, entry)) in last {
            match entry {
                Some(entry) => news.entries.push(entry),
                None => news.removed.push(Gone {
                    name,
                    revision: self.revision,
                    grace,
                }),
            }
        }
        news
    }

    fn takers(&self) -> BTreeSet<Life> {
        let ready = self.entries.values();
        let ready = ready.filter(|entry| entry.state == EntryState::Ready);
        ready
            .map(|entry| (entry.name.clone(), entry.born))
            .collect()
    }
}

/// A question on its way to who answers it.
enum Ask {
    Watch(u64),
    Neighbour { vm: usize, known: u64 },
    FirstPage,
    SecondPage { first: Vec<Entry>, revision: u64 },
}

/// An answer on its way back.
enum Answer {
    News(News),
    Whole(Vec<Entry>, News),
    FirstPage(Vec<Entry>, u64),
}

#[derive(Default)]
struct Vm {
    fleet: Fleet,
    asks: Vec<Ask>,
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
            0 => Ask::FirstPage,
            1 if known > 0 => Ask::Watch(known),
            _ => {
                let other = (vm + self.draws.random_range(1..VMS)) % VMS;
                Ask::Neighbour { vm: other, known }
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
            Ask::Watch(after) => Answer::News(self.platform.since(after, grace)),
            Ask::Neighbour { vm, known } => told(&self.vms[vm].fleet, known),
            Ask::FirstPage => Answer::FirstPage(self.page(true), self.platform.revision),
            Ask::SecondPage {
                mut first,
                revision,
            } => {
                first.extend(self.page(false));
                let news = News {
                    revision,
                    ..News::default()
                };
                Answer::Whole(first, news)
            }
        };
        self.vms[vm].answers.push(answer);
    }

    fn page(&self, first: bool) -> Vec<Entry> {
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
            Answer::News(news) => drop(fleet.take(news)),
            Answer::Whole(entries, news) => {
                fleet.replace(entries, news.revision, None);
                fleet.take(news);
            }
            Answer::FirstPage(first, revision) => asks.push(Ask::SecondPage { first, revision }),
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
            self.vms[vm].fleet.take(news);
            self.vms[vm].fleet.expire(GRACE);
        }
    }
}

/// What one VM tells another that knows a revision.
fn told(fleet: &Fleet, known: u64) -> Answer {
    let revision = fleet.revision();
    let gone = |removed: Vec<Removal>| removed.into_iter().map(|r| r.gone(NOW)).collect();
    match fleet.since(NOW, known) {
        _ if revision <= known => Answer::News(News {
            revision,
            ..News::default()
        }),
        Some((entries, removed)) => Answer::News(News {
            entries,
            removed: gone(removed),
            revision,
        }),
        None => {
            let news = News {
                entries: Vec::new(),
                removed: gone(fleet.lapsed(NOW)),
                revision,
            };
            Answer::Whole(fleet.entries(), news)
        }
    }
}

fn takers(fleet: &Fleet) -> BTreeSet<Life> {
    let keys = fleet.takers(&ServiceName::new("chat")).iter();
    let entries = keys.map(|key| &fleet.get(*key).unwrap().entry);
    entries.map(|e| (e.name.clone(), e.born)).collect()
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
