use crate::{
    LimitChange, LimitId, LimitMessage, LimitRecord, LimitShare, NamedLimit, Permit, RateLimits,
    TokenReply, hash_pair,
};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::Time;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

const ID: LimitId = LimitId(7);

#[gtest]
fn limit_holds_until_an_answer_to_a_later_request_names_none() {
    let mut limits = RateLimits::default();
    let at = Time::from_millis;
    expect_that!(
        limits.observe(at(100), ID, at(50), NamedLimit::Rate(1.4)),
        some(eq(LimitChange::Named(1.4)))
    );
    expect_that!(
        limits.observe(at(110), ID, at(90), NamedLimit::Free),
        none()
    );
    expect_that!(
        limits.observe(at(120), ID, at(115), NamedLimit::Unreadable),
        none()
    );
    expect_that!(limits.rate(ID), some(eq(1.4)));
    expect_that!(
        limits.observe(at(200), ID, at(150), NamedLimit::Free),
        some(eq(LimitChange::Ended))
    );
    expect_that!(limits.rate(ID), none());
}

/// An event of a [`Simulation`].
#[derive(Clone, Debug, PartialEq)]
enum Event {
    /// A call with this rank arrives at a VM.
    Call { vm: usize, rank: u8 },
    /// A datagram of one VM arrives at another.
    Datagram {
        from: usize,
        to: usize,
        message: LimitMessage,
    },
    /// A heartbeat of a VM that has just started arrives at another.
    FirstHeartbeat { from: usize, to: usize },
    /// A VM gives up waiting for the reply to a request.
    TimedOut { vm: usize, serial: u32 },
    /// A request arrives at the endpoint.
    Arrival { vm: usize, sent: Time },
    /// An answer arrives at a VM.
    Answer {
        vm: usize,
        sent: Time,
        named: NamedLimit,
    },
    /// The periodic work of a VM.
    Tick { vm: usize },
}

struct SimulatedVm {
    limits: RateLimits,
    started: Time,
    /// When it stops for good.
    stopped: Time,
    /// Frozen, or cut off from the other VMs.
    cut: (Time, Time),
    pending: Vec<(u32, u8)>,
    /// When it first passed on an answer that names the limit.
    told: Option<Time>,
    bytes: usize,
}

/// VMs that share one limited endpoint, without I/O. A call that gets no token goes elsewhere.
struct Simulation {
    vms: Vec<SimulatedVm>,
    events: BTreeMap<(Time, u64), Event>,
    count: u64,
    rng: Pcg64Mcg,
    now: Time,
    loss_rate: f64,
    /// Changes of the endpoint's limit.
    rates: Vec<(Time, Option<f64>)>,
    /// Arrivals at the endpoint with their VMs and ranks.
    arrivals: Vec<(Time, usize)>,
    /// Times of all calls.
    calls: Vec<Time>,
    granted: [u32; 2],
    denied: [u32; 2],
}

/// Time after a change of a VM until the other VMs know of it.
const DETECTION: Duration = Duration::from_millis(1_200);
const LATENCY_MS: (u64, u64) = (1, 4);
/// Bytes a second that a VM may spend on control, from the target.
const MAX_BYTES: f64 = 18_000.0;
const START: Time = Time::from_millis(100_000);

fn at(seconds: f64) -> Time {
    START + Duration::from_secs_f64(seconds)
}

impl Simulation {
    /// `calls` a second arrive at all VMs together, one VM in `hot` gets half of them.
    fn new(vms: usize, rate: f64, calls: f64, seconds: f64, seed: u64) -> Self {
        let vms = (0..vms).map(|_| SimulatedVm {
            limits: RateLimits::default(),
            started: Time::ZERO,
            stopped: Time::MAX,
            cut: (Time::MAX, Time::MAX),
            pending: Vec::new(),
            told: None,
            bytes: 0,
        });
        let mut simulation = Self {
            vms: vms.collect(),
            events: BTreeMap::new(),
            count: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: START,
            loss_rate: 0.02,
            rates: vec![(Time::ZERO, Some(rate))],
            arrivals: Vec::new(),
            calls: Vec::new(),
            granted: [0; 2],
            denied: [0; 2],
        };
        for vm in 0..simulation.vms.len() {
            let offset = simulation.rng.random_range(0..300);
            let first = START + Duration::from_millis(offset);
            simulation.push(first, Event::Tick { vm });
        }
        let mut seconds_left = seconds;
        let mut when = START;
        while seconds_left > 0.0 {
            let gap = -simulation.rng.random_range(1e-9..1.0_f64).ln() / calls;
            seconds_left -= gap;
            when = when + Duration::from_secs_f64(gap);
            let vm = if simulation.rng.random_bool(0.5) {
                0
            } else {
                simulation.rng.random_range(0..simulation.vms.len())
            };
            simulation.calls.push(when);
            let rank = u8::from(simulation.rng.random_bool(0.5));
            simulation.push(when, Event::Call { vm, rank });
        }
        simulation
    }

    fn push(&mut self, when: Time, event: Event) {
        self.count += 1;
        self.events.insert((when, self.count), event);
    }

    /// Removes the calls of a span.
    fn without_calls(mut self, from: f64, to: f64) -> Self {
        let span = at(from)..at(to);
        self.events.retain(|(when, _), event| {
            !(span.contains(when) && matches!(event, Event::Call { .. }))
        });
        self.calls.retain(|when| !span.contains(when));
        self
    }

    fn is_up(&self, vm: usize) -> bool {
        let vm = &self.vms[vm];
        (vm.started..vm.stopped).contains(&self.now)
    }

    fn is_cut(&self, vm: usize) -> bool {
        let (from, to) = self.vms[vm].cut;
        (from..to).contains(&self.now)
    }

    /// Whether one VM counts another as alive.
    fn sees(&self, vm: usize, other: usize) -> bool {
        let (a, b) = (&self.vms[vm], &self.vms[other]);
        let cut = |v: &SimulatedVm| {
            (v.cut.0 != Time::MAX)
                && (v.cut.0 + DETECTION..v.cut.1 + DETECTION / 4).contains(&self.now)
        };
        let known_from = b.started.max(a.started);
        let known_from = if known_from == Time::ZERO {
            known_from
        } else {
            known_from + DETECTION / 4
        };
        let known_to = if b.stopped == Time::MAX {
            Time::MAX
        } else {
            b.stopped + DETECTION
        };
        (known_from..known_to).contains(&self.now) && !cut(a) && !cut(b)
    }

    fn owner(&self, vm: usize) -> usize {
        let others = (0..self.vms.len()).filter(|other| *other != vm && self.sees(vm, *other));
        others
            .chain([vm])
            .max_by_key(|vm| hash_pair(*vm as u64, ID.0))
            .unwrap_or(vm)
    }

    fn share(&self, vm: usize) -> LimitShare {
        let alive = (0..self.vms.len()).filter(|other| *other != vm && self.sees(vm, *other));
        let alive = alive.count() + 1;
        // A VM that hasn't started is in no list.
        let all = self.vms.iter().filter(|vm| vm.started <= self.now).count();
        LimitShare {
            is_owner: self.owner(vm) == vm,
            uptime: self.now.since(self.vms[vm].started),
            fraction: if alive * 2 < all {
                alive as f64 / all as f64
            } else {
                1.0
            },
        }
    }

    fn latency(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(LATENCY_MS.0..=LATENCY_MS.1))
    }

    fn send(&mut self, from: usize, to: usize, message: LimitMessage) {
        let mut bytes = Vec::new();
        ciborium::into_writer(&message, &mut bytes).unwrap();
        self.vms[from].bytes += bytes.len();
        let lost = self.rng.random_bool(self.loss_rate);
        if !(lost || self.is_cut(from) || self.is_cut(to)) {
            let when = self.now + self.latency();
            self.push(when, Event::Datagram { from, to, message });
        }
    }

    fn named(&self) -> NamedLimit {
        let current = self.rates.iter().rfind(|(from, _)| *from <= self.now);
        let rate = current.and_then(|(_, rate)| *rate);
        rate.map_or(NamedLimit::Free, NamedLimit::Rate)
    }

    fn decide(&mut self, vm: usize, rank: u8, permit: Permit) {
        let now = self.now;
        match permit {
            Permit::Granted => {
                self.granted[usize::from(rank)] += 1;
                let when = now + self.latency();
                self.push(when, Event::Arrival { vm, sent: now });
            }
            Permit::Denied(_) => self.denied[usize::from(rank)] += 1,
            Permit::Ask(request) => {
                self.vms[vm].pending.push((request.serial, rank));
                let owner = self.owner(vm);
                self.send(vm, owner, LimitMessage::Ask(request));
                let serial = request.serial;
                let when = now + Duration::from_millis(60);
                self.push(when, Event::TimedOut { vm, serial });
            }
        }
    }

    fn finish(&mut self, vm: usize, serial: u32, reply: Option<TokenReply>) {
        let pending = &mut self.vms[vm].pending;
        let Some(index) = pending.iter().position(|(other, _)| *other == serial) else {
            return;
        };
        let (_, rank) = pending.swap_remove(index);
        let now = self.now;
        let permit = self.vms[vm].limits.finish(now, ID, rank, reply);
        self.decide(vm, rank, permit);
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Call { vm, rank } => {
                if self.is_up(vm) {
                    let share = self.share(vm);
                    let permit = self.vms[vm].limits.request(now, ID, rank, share);
                    self.decide(vm, rank, permit);
                }
            }
            Event::Datagram { from, to, message } => {
                if !self.is_up(to) {
                    return;
                }
                match message {
                    LimitMessage::News(records) => {
                        self.vms[to].limits.merge(now, &records);
                    }
                    LimitMessage::Ask(request) => {
                        let share = self.share(to);
                        let reply = self.vms[to].limits.answer(now, request, share);
                        self.send(to, from, LimitMessage::Grant(reply));
                    }
                    LimitMessage::Grant(reply) => self.finish(to, reply.serial, Some(reply)),
                }
            }
            Event::FirstHeartbeat { from, to } => {
                if self.is_up(to) {
                    for records in self.vms[to].limits.all(now) {
                        self.send(to, from, LimitMessage::News(records));
                    }
                }
            }
            Event::TimedOut { vm, serial } => self.finish(vm, serial, None),
            Event::Arrival { vm, sent } => {
                self.arrivals.push((now, vm));
                let named = self.named();
                let when = now + self.latency() + Duration::from_millis(40);
                self.push(when, Event::Answer { vm, sent, named });
            }
            Event::Answer { vm, sent, named } => {
                if !self.is_up(vm) {
                    return;
                }
                if matches!(named, NamedLimit::Rate(_)) {
                    self.vms[vm].told.get_or_insert(now);
                }
                self.vms[vm].limits.observe(now, ID, sent, named);
            }
            Event::Tick { vm } => {
                self.push(now + Duration::from_millis(300), Event::Tick { vm });
                if !self.is_up(vm) {
                    return;
                }
                if self.vms[vm].limits.rate(ID).is_some() {
                    let share = self.share(vm);
                    self.vms[vm].limits.refresh(now, |_| share, |_| true);
                }
                let is_new = now.since(self.vms[vm].started) < DETECTION / 2;
                let news = self.vms[vm].limits.news(now);
                if news.is_empty() && !is_new {
                    return;
                }
                let others: Vec<usize> = (0..self.vms.len())
                    .filter(|other| *other != vm && self.sees(vm, *other))
                    .collect();
                let fanout = if others.len() <= 12 { others.len() } else { 5 };
                for _ in 0..fanout {
                    let to = others[self.rng.random_range(0..others.len())];
                    if is_new {
                        let when = now + self.latency();
                        self.push(when, Event::FirstHeartbeat { from: vm, to });
                    } else {
                        self.send(vm, to, LimitMessage::News(news.clone()));
                    }
                }
            }
        }
    }

    fn run(&mut self, seconds: f64) {
        let end = at(seconds);
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= end
        {
            let ((when, _), event) = entry.remove_entry();
            self.now = when;
            self.handle(event);
        }
        self.now = end;
    }

    /// The most arrivals in 4 s from VMs that had passed on the limit half a second before, in
    /// windows that begin later than `from`; VMs that were disturbed don't count.
    fn most_in_window(&self, from: Time) -> usize {
        let counted: Vec<Time> = self
            .arrivals
            .iter()
            .filter(|(at, vm)| {
                let vm = &self.vms[*vm];
                let told = vm
                    .told
                    .is_some_and(|told| told + Duration::from_millis(500) <= *at);
                *at >= from && told && vm.stopped == Time::MAX && vm.cut.0 == Time::MAX
            })
            .map(|(at, _)| *at)
            .collect();
        let windows = counted.iter().enumerate().map(|(index, start)| {
            let end = *start + Duration::from_secs(4);
            counted[index..].iter().take_while(|at| **at < end).count()
        });
        windows.max().unwrap_or(0)
    }

    fn arrivals_between(&self, from: f64, to: f64) -> usize {
        let span = at(from)..at(to);
        self.arrivals
            .iter()
            .filter(|(at, _)| span.contains(at))
            .count()
    }

    /// Bytes a second of the VM that sends most.
    fn most_bytes(&self, seconds: f64) -> f64 {
        let most = self.vms.iter().map(|vm| vm.bytes).max().unwrap_or(0);
        most as f64 / seconds
    }
}

fn allowed(rate: f64) -> usize {
    (1.5 * rate * 4.0 + 5.0) as usize
}

/// Requests of all VMs together exceeded the limit, which none of them kept for itself.
#[gtest]
fn limit_holds_for_the_sum_of_all_vms_and_is_used() {
    for vms in [1, 2, 6, 60, 340] {
        // Each VM of a large fleet costs time here.
        let (rates, seconds) = if vms == 340 {
            (&[1.4, 60.0][..], 20.0)
        } else {
            (&[0.0, 0.4, 1.0, 1.4, 6.5, 60.0][..], 40.0)
        };
        for &rate in rates {
            for calls in [1.0, 30.0, 400.0] {
                let mut simulation = Simulation::new(vms, rate, calls, seconds, 3);
                simulation.run(seconds);
                let most = simulation.most_in_window(at(3.0));
                let name = format!("{vms} VMs, limit {rate}, {calls} calls a second");
                expect_that!(most, le(allowed(rate)), "{name}");
                let used = simulation.arrivals_between(5.0, seconds) as f64 / (seconds - 5.0);
                let span = at(5.0)..at(seconds);
                let made = simulation.calls.iter().filter(|when| span.contains(when));
                let usable = rate.min(made.count() as f64 / (seconds - 5.0));
                eprintln!(
                    "{name}: {most} of {} in 4 s, used {used:.2} of {usable:.2} a second, denied \
                     {:?}, granted {:?}, {:.0} B/s",
                    allowed(rate),
                    simulation.denied,
                    simulation.granted,
                    simulation.most_bytes(seconds)
                );
                expect_that!(used, ge(usable * 0.6), "{name}");
                expect_that!(simulation.most_bytes(seconds), le(MAX_BYTES), "{name}");
            }
        }
    }
}

/// The same while VMs join and are stopped, the owner of the limit among them.
#[gtest]
fn limit_holds_while_vms_join_and_stop() {
    for vms in [4, 6, 60] {
        for rate in [1.0, 1.4, 6.5, 60.0] {
            for seed in 0..6 {
                let mut simulation = Simulation::new(vms, rate, 200.0, 40.0, seed);
                let owner = simulation.owner(0);
                simulation.vms[owner].stopped = at(8.0);
                for joined in 0..vms / 2 {
                    let joins = simulation.rng.random_range(4.0..30.0);
                    let vm = (owner + 1 + 2 * joined) % vms;
                    if vm != owner {
                        simulation.vms[vm].started = at(joins);
                    }
                }
                simulation.run(40.0);
                let most = simulation.most_in_window(at(3.0));
                let name = format!("{vms} VMs, limit {rate}, seed {seed}");
                expect_that!(most, le(allowed(rate)), "{name}");
                let used = simulation.arrivals_between(14.0, 40.0) as f64 / 26.0;
                expect_that!(used, ge(rate * 0.5), "{name}");
            }
        }
    }
}

/// The same while VMs are cut off from the others, each or half of them.
#[gtest]
fn limit_holds_while_vms_are_cut_off() {
    for (vms, cut) in [(6, 1), (6, 3), (60, 6), (60, 40)] {
        for rate in [1.0, 6.5, 60.0] {
            let mut simulation = Simulation::new(vms, rate, 60.0, 30.0, 5);
            for vm in 0..cut {
                simulation.vms[vm].cut = (at(8.0), at(16.0));
            }
            simulation.run(30.0);
            let most = simulation.most_in_window(at(3.0));
            let name = format!("{vms} VMs, {cut} cut off, limit {rate}");
            expect_that!(most, le(allowed(rate)), "{name}");
            let used = simulation.arrivals_between(20.0, 30.0) as f64 / 10.0;
            expect_that!(used, ge(rate * 0.5), "{name}");
        }
    }
}

/// A limit that changes binds with its new rate, and one that has ended holds nobody back.
#[gtest]
fn changed_limit_binds_and_ended_one_is_free_within_seconds() {
    for vms in [1, 6, 60] {
        let mut simulation = Simulation::new(vms, 20.0, 100.0, 40.0, 9);
        simulation.rates.push((at(10.0), Some(1.2)));
        simulation.rates.push((at(25.0), None));
        simulation.run(40.0);
        expect_that!(
            simulation.arrivals_between(3.0, 7.0),
            le(allowed(20.0)),
            "{vms} VMs"
        );
        for window in 0..15 {
            let from = 13.0 + f64::from(window) / 2.0;
            let arrivals = simulation.arrivals_between(from, from + 4.0);
            expect_that!(arrivals, le(allowed(1.2)), "{vms} VMs, {from} s");
        }
        let free = simulation.arrivals_between(29.0, 39.0) as f64 / 10.0;
        expect_that!(free, ge(90.0), "{vms} VMs");
    }
}

/// A denied call of a higher rank goes before later ones of a lower rank.
#[gtest]
fn urgent_calls_get_more_of_the_limit() {
    let mut simulation = Simulation::new(6, 5.0, 40.0, 60.0, 11);
    simulation.run(60.0);
    let [urgent, others] = simulation.granted;
    expect_that!(urgent, ge(others * 3 / 2));
}

/// After a minute without calls, VMs forgot a limit that still held, and sent a burst.
#[gtest]
fn limit_holds_after_minutes_without_calls() {
    for (vms, rate) in [(1, 1.4), (6, 1.4), (60, 1.4), (60, 6.5)] {
        let simulation = Simulation::new(vms, rate, 400.0, 210.0, 13);
        let mut simulation = simulation.without_calls(5.0, 200.0);
        simulation.run(210.0);
        let arrivals = simulation.arrivals_between(200.0, 204.0);
        expect_that!(arrivals, le(allowed(rate)), "{vms} VMs, limit {rate}");
        expect_that!(arrivals, ge(1), "{vms} VMs, limit {rate}");
    }
}

/// A VM that started while nobody called knew nothing of a limit, so its first calls took no tokens.
#[gtest]
fn limit_holds_for_the_first_calls_of_a_vm_that_starts() {
    for (vms, rate) in [(2, 1.4), (6, 1.4), (60, 1.4), (60, 6.5)] {
        let simulation = Simulation::new(vms, rate, 2_000.0, 34.0, 17);
        let mut simulation = simulation.without_calls(5.0, 30.0);
        // Half of the calls arrive at this VM.
        simulation.vms[0].started = at(20.0);
        simulation.run(34.0);
        let arrivals = simulation.arrivals_between(30.0, 34.0);
        expect_that!(arrivals, le(allowed(rate)), "{vms} VMs, limit {rate}");
        expect_that!(arrivals, ge(1), "{vms} VMs, limit {rate}");
    }
}

/// Limits of endpoints that are gone must not stay for ever, nor ends of limits.
#[gtest]
fn limit_is_forgotten_once_it_has_ended_or_its_endpoint_is_gone() {
    let share = LimitShare {
        is_owner: false,
        uptime: Duration::from_mins(10),
        fraction: 1.0,
    };
    let at = Time::from_millis;
    let ended = LimitId(8);
    let mut limits = RateLimits::default();
    for id in [ID, ended] {
        limits.observe(at(1_000), id, at(900), NamedLimit::Rate(2.0));
    }
    limits.observe(at(2_000), ended, at(1_500), NamedLimit::Free);
    limits.refresh(at(61_500), |_| share, |_| true);
    expect_that!(limits.len(), eq(2));
    limits.refresh(at(62_500), |_| share, |_| true);
    expect_that!(limits.rate(ID), some(eq(2.0)));
    expect_that!(limits.len(), eq(1));
    limits.refresh(at(62_500), |_| share, |_| false);
    expect_that!(limits.len(), eq(0));
}

/// A VM that has just started may be told of limits before it has read the list of endpoints.
#[gtest]
fn limit_that_was_just_told_is_kept_though_its_endpoint_is_not_listed_yet() {
    let share = LimitShare {
        is_owner: false,
        uptime: Duration::ZERO,
        fraction: 1.0,
    };
    let mut limits = RateLimits::default();
    // Its clock may have begun after the limit was named.
    let now = Time::from_millis(20_000);
    limits.merge(now, &[LimitRecord(ID.0, Some(2.0), 300_000)]);
    limits.refresh(now + Duration::from_secs(2), |_| share, |_| false);
    expect_that!(limits.rate(ID), some(eq(2.0)));
    // Newer news of its end, though older than the clock, replaces it.
    limits.merge(now, &[LimitRecord(ID.0, None, 200_000)]);
    expect_that!(limits.rate(ID), none());
    limits.merge(now, &[LimitRecord(ID.0, Some(2.0), 300_000)]);
    expect_that!(limits.rate(ID), none());
}

/// What a VM that has just started is told must fit in datagrams, and must not grow without bound.
#[gtest]
fn limits_told_to_a_vm_that_starts_are_bounded_and_newest_first() {
    let mut limits = RateLimits::default();
    for id in 0..1_000_u64 {
        let now = Time::from_millis(1_000 + id);
        limits.observe(
            now,
            LimitId(u64::MAX - id),
            now,
            NamedLimit::Rate(1.0 / 3.0),
        );
    }
    let now = Time::from_millis(60_000);
    expect_that!(limits.news(now).len(), eq(0));
    let pages = limits.all(now);
    expect_that!(pages.iter().map(Vec::len).sum::<usize>(), eq(200));
    expect_that!(pages[0][0].0, eq(u64::MAX - 999));
    for page in pages {
        let mut bytes = Vec::new();
        ciborium::into_writer(&LimitMessage::News(page), &mut bytes).unwrap();
        expect_that!(bytes.len(), lt(1_500));
    }
}
