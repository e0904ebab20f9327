//! Virtual time, links with faults and a platform with faults, shared by the cluster's worlds.

pub use crate::cluster_event::{Counts, Event, Health, LinkFaults, Place};
use core::time::Duration;
use poplarswitch_entity::Time;
use poplarswitch_store::{Key, MemoryStore, Precondition, Reply, Request, RequestId, Version};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// Time after which a request without an answer is told as unknown.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Shortest time between a call and the next one that it asks for.
const MIN_WAKE: Duration = Duration::from_millis(1);

#[derive(Clone, Debug)]
struct Watcher {
    place: Place,
    id: RequestId,
    key: Key,
    after: Version,
}

/// The clock, the events to come, the links and the platform.
#[derive(Debug)]
pub struct Net<M> {
    /// The time.
    pub now: Time,
    /// Draws delays and faults.
    pub rng: Pcg64Mcg,
    /// The platform's objects.
    pub store: MemoryStore,
    /// How the platform behaves.
    pub health: Health,
    /// Faults of the links.
    pub faults: LinkFaults,
    /// Directions in which nothing arrives.
    pub cut: BTreeSet<(Place, Place)>,
    /// VMs that cannot reach the platform.
    pub isolated: BTreeSet<Place>,
    /// Normal delays of messages, from least to most.
    pub delay: (Duration, Duration),
    /// What happened so far.
    pub counts: Counts,
    queue: BTreeMap<(Time, u64), Event<M>>,
    order: u64,
    watchers: Vec<Watcher>,
    paused: BTreeMap<Place, Time>,
    wakes: BTreeMap<Place, Time>,
}

impl<M: Clone> Net<M> {
    /// Starts at time zero.
    pub fn new(seed: u64) -> Self {
        Self {
            now: Time::ZERO,
            rng: Pcg64Mcg::seed_from_u64(seed),
            store: MemoryStore::new(),
            health: Health::Up,
            faults: LinkFaults::default(),
            cut: BTreeSet::new(),
            isolated: BTreeSet::new(),
            delay: (Duration::from_micros(300), Duration::from_millis(2)),
            counts: Counts::default(),
            queue: BTreeMap::new(),
            order: 0,
            watchers: Vec::new(),
            paused: BTreeMap::new(),
            wakes: BTreeMap::new(),
        }
    }

    /// Adds an event.
    pub fn push(&mut self, at: Time, event: Event<M>) {
        self.order += 1;
        self.queue.insert((at, self.order), event);
    }

    /// Holds back everything that happens at a VM until a point in time.
    pub fn pause(&mut self, place: Place, until: Time) {
        self.paused.insert(place, until);
    }

    /// Whether a VM is paused now.
    pub fn is_paused(&self, place: Place) -> bool {
        self.paused
            .get(&place)
            .is_some_and(|until| self.now < *until)
    }

    /// Forgets a VM's timers and everything on its way to it.
    pub fn forget(&mut self, place: Place) {
        self.queue.retain(|_, event| event.place() != Some(place));
        // What it asked of the platform may still be done, but nobody is left to be told.
        for event in self.queue.values_mut() {
            if let Event::Effect {
                place: asker,
                answered,
                ..
            } = event
                && *asker == place
            {
                *answered = false;
            }
        }
        self.watchers.retain(|watcher| watcher.place != place);
        self.wakes.remove(&place);
        self.paused.remove(&place);
    }

    /// Loses what is on its way between two VMs, in both directions.
    pub fn break_link(&mut self, a: Place, b: Place) {
        self.queue.retain(|_, event| match event {
            Event::Deliver { from, to, .. } => (*from, *to) != (a, b) && (*from, *to) != (b, a),
            _ => true,
        });
    }

    /// Asks for a call at a time, unless an earlier one is already due.
    pub fn wake(&mut self, place: Place, at: Option<Time>) {
        let Some(at) = at else { return };
        let at = at.max(self.now + MIN_WAKE);
        let due = self.wakes.get(&place).copied();
        if due.is_none_or(|due| due > at || due <= self.now) {
            self.wakes.insert(place, at);
            self.push(at, Event::Wake(place));
        }
    }

    /// Sends a message, subject to the faults of the links.
    pub fn send(&mut self, from: Place, to: Place, message: M) {
        self.counts.messages += 1;
        if self.cut.contains(&(from, to)) || self.rng.random_range(0..100) < self.faults.lost {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..100) < self.faults.doubled);
        for _ in 0..copies {
            let at = self.now + self.message_delay();
            let message = message.clone();
            self.push(at, Event::Deliver { from, to, message });
        }
    }

    fn message_delay(&mut self) -> Duration {
        let normal = self.between(self.delay.0, self.delay.1);
        let extra = self.between(Duration::ZERO, self.faults.delay);
        normal + extra
    }

    /// A random duration between two.
    pub fn between(&mut self, low: Duration, high: Duration) -> Duration {
        let (low, high) = (low.as_micros() as u64, high.as_micros() as u64);
        Duration::from_micros(self.rng.random_range(low..=high.max(low)))
    }

    /// Sends a request to the platform, subject to its health.
    pub fn request(&mut self, place: Place, id: RequestId, request: Request) {
        if is_write(&request) {
            self.counts.writes += 1;
        } else {
            self.counts.reads += 1;
        }
        if self.isolated.contains(&place) {
            return self.refuse(place, id);
        }
        match self.health {
            Health::Up => self.effect(place, id, request, 1..=5, true),
            Health::Slow => self.effect(place, id, request, 500..=3_000, true),
            Health::Down => self.refuse(place, id),
            Health::Lossy if is_write(&request) => self.lose(place, id, request),
            Health::Lossy => {
                let answered = self.rng.random_range(0..2) == 0;
                self.effect(place, id, request, 1..=5, answered);
                if !answered {
                    self.unknown(place, id);
                }
            }
        }
    }

    fn refuse(&mut self, place: Place, id: RequestId) {
        let at = self.now + Duration::from_millis(2);
        let reply = Reply::Unavailable {
            retry_after: Duration::from_millis(500),
        };
        self.push(at, Event::Reply { place, id, reply });
    }

    /// The write is done at once, seconds later, or never; nobody is told.
    fn lose(&mut self, place: Place, id: RequestId, request: Request) {
        match self.rng.random_range(0..3) {
            0 => self.effect(place, id, request, 1..=5, false),
            1 => self.effect(place, id, request, 500..=6_000, false),
            _ => {}
        }
        self.unknown(place, id);
    }

    fn unknown(&mut self, place: Place, id: RequestId) {
        let at = self.now + ANSWER_TIMEOUT;
        let reply = Reply::Unknown;
        self.push(at, Event::Reply { place, id, reply });
    }

    fn effect(
        &mut self,
        place: Place,
        id: RequestId,
        request: Request,
        millis: core::ops::RangeInclusive<u64>,
        answered: bool,
    ) {
        let at = self.now + Duration::from_millis(self.rng.random_range(millis));
        let event = Event::Effect {
            place,
            id,
            request,
            answered,
        };
        self.push(at, event);
    }

    /// The next event up to a point in time; requests to the platform are carried out.
    pub fn next(&mut self, until: Time) -> Option<Event<M>> {
        loop {
            let ((at, _), _) = self.queue.first_key_value()?;
            if *at > until {
                self.now = self.now.max(until);
                return None;
            }
            let ((at, _), event) = self.queue.pop_first()?;
            self.now = self.now.max(at);
            if let Some(place) = event.place()
                && let Some(until) = self.paused.get(&place).copied()
                && self.now < until
            {
                self.push(until, event);
                continue;
            }
            match event {
                Event::Effect {
                    place,
                    id,
                    request,
                    answered,
                } => self.carry_out(place, id, &request, answered),
                Event::Wake(place) => {
                    if self.wakes.get(&place).is_some_and(|due| *due <= self.now) {
                        self.wakes.remove(&place);
                    }
                    return Some(Event::Wake(place));
                }
                other => return Some(other),
            }
        }
    }

    fn carry_out(&mut self, place: Place, id: RequestId, request: &Request, answered: bool) {
        let reply = self.store.apply(request);
        if let Request::Watch { key, after, wait } = request
            && matches!(reply, Reply::Unchanged)
            && answered
        {
            let watcher = Watcher {
                place,
                id,
                key: key.clone(),
                after: *after,
            };
            self.watchers.push(watcher);
            let at = self.now + *wait;
            let reply = Reply::Unchanged;
            return self.push(at, Event::Reply { place, id, reply });
        }
        if answered {
            let at = self.now + Duration::from_millis(1);
            self.push(at, Event::Reply { place, id, reply });
        }
        if let Request::Put { key, .. } = request {
            self.notify(key);
        }
    }

    /// Answers the watches on a key that has changed.
    fn notify(&mut self, key: &Key) {
        let Some(object) = self.store.peek(key).cloned() else {
            return;
        };
        let (hit, rest) = core::mem::take(&mut self.watchers)
            .into_iter()
            .partition(|watcher: &Watcher| watcher.key == *key && object.version > watcher.after);
        self.watchers = rest;
        for watcher in hit {
            let (place, id) = (watcher.place, watcher.id);
            if self.health == Health::Down {
                self.refuse(place, id);
                continue;
            }
            let at = self.now + Duration::from_millis(self.rng.random_range(1..=5));
            let reply = Reply::Object(Some(object.clone()));
            self.push(at, Event::Reply { place, id, reply });
        }
    }

    /// Changes how the platform behaves; an outage ends all waiting watches.
    pub fn set_health(&mut self, health: Health) {
        self.health = health;
        if health == Health::Down {
            for watcher in core::mem::take(&mut self.watchers) {
                self.refuse(watcher.place, watcher.id);
            }
        }
    }

    /// Writes an object without faults.
    pub fn write(&mut self, key: &Key, value: &[u8]) {
        self.store.apply(&Request::Put {
            key: key.clone(),
            value: value.into(),
            precondition: Precondition::Always,
        });
        self.notify(key);
    }
}

const fn is_write(request: &Request) -> bool {
    matches!(request, Request::Put { .. } | Request::Delete { .. })
}
