//! The simulated environment of a cluster: virtual time, links with faults and a platform with
//! faults.

pub use crate::cluster_event::{Counts, Event, LinkFaults, NodeIndex, PlatformHealth};
use core::time::Duration;
use poplarswitch_entity::Time;
use poplarswitch_store::{Key, MemoryStore, Precondition, Reply, Request, RequestId, Version};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// Time after which a request without a reply gets the reply that its result is unknown.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// Minimum time from the scheduling of a wake-up to the wake-up.
const MIN_WAKE_DELAY: Duration = Duration::from_millis(1);

#[derive(Clone, Debug)]
struct Watcher {
    node: NodeIndex,
    id: RequestId,
    key: Key,
    after: Version,
}

/// The clock, the pending events, the links and the platform.
#[derive(Debug)]
pub struct Environment<M> {
    /// The current virtual time.
    pub now: Time,
    /// Generator of the random delays and faults.
    pub rng: Pcg64Mcg,
    /// The platform's objects.
    pub store: MemoryStore,
    /// Health of the platform.
    pub health: PlatformHealth,
    /// Faults of the links.
    pub faults: LinkFaults,
    /// Pairs of sender and receiver whose messages are all lost.
    pub cut_links: BTreeSet<(NodeIndex, NodeIndex)>,
    /// Nodes that cannot reach the platform.
    pub isolated: BTreeSet<NodeIndex>,
    /// Minimum and maximum normal delay of a message.
    pub delay_range: (Duration, Duration),
    /// Messages and requests sent so far.
    pub counts: Counts,
    queue: BTreeMap<(Time, u64), Event<M>>,
    event_seq: u64,
    watchers: Vec<Watcher>,
    paused: BTreeMap<NodeIndex, Time>,
    wakes: BTreeMap<NodeIndex, Time>,
}

impl<M: Clone> Environment<M> {
    /// Creates an environment at time zero without events or faults.
    pub fn new(seed: u64) -> Self {
        Self {
            now: Time::ZERO,
            rng: Pcg64Mcg::seed_from_u64(seed),
            store: MemoryStore::new(),
            health: PlatformHealth::Up,
            faults: LinkFaults::default(),
            cut_links: BTreeSet::new(),
            isolated: BTreeSet::new(),
            delay_range: (Duration::from_micros(300), Duration::from_millis(2)),
            counts: Counts::default(),
            queue: BTreeMap::new(),
            event_seq: 0,
            watchers: Vec::new(),
            paused: BTreeMap::new(),
            wakes: BTreeMap::new(),
        }
    }

    /// Schedules an event.
    pub fn push(&mut self, at: Time, event: Event<M>) {
        self.event_seq += 1;
        self.queue.insert((at, self.event_seq), event);
    }

    /// Pauses a node: its events are delayed until `until`.
    pub fn pause(&mut self, node: NodeIndex, until: Time) {
        self.paused.insert(node, until);
    }

    /// Whether a node is paused now.
    pub fn is_paused(&self, node: NodeIndex) -> bool {
        self.paused
            .get(&node)
            .is_some_and(|until| self.now < *until)
    }

    /// Removes a node's pause, its watches and all events that it would handle.
    pub fn reset_node(&mut self, node: NodeIndex) {
        self.queue.retain(|_, event| event.node() != Some(node));
        // Its requests in transit to the platform still take effect, but are not answered.
        for event in self.queue.values_mut() {
            if let Event::Request {
                node: sender,
                answered,
                ..
            } = event
                && *sender == node
            {
                *answered = false;
            }
        }
        self.watchers.retain(|watcher| watcher.node != node);
        self.wakes.remove(&node);
        self.paused.remove(&node);
    }

    /// Drops the messages in transit between two nodes, in both directions.
    pub fn drop_in_transit(&mut self, a: NodeIndex, b: NodeIndex) {
        self.queue.retain(|_, event| match event {
            Event::Deliver { from, to, .. } => (*from, *to) != (a, b) && (*from, *to) != (b, a),
            _ => true,
        });
    }

    /// Schedules a wake-up of a node, unless one is already scheduled for the same time or earlier.
    pub fn schedule_wake(&mut self, node: NodeIndex, at: Option<Time>) {
        let Some(at) = at else { return };
        let at = at.max(self.now + MIN_WAKE_DELAY);
        let due = self.wakes.get(&node).copied();
        if due.is_none_or(|due| due > at || due <= self.now) {
            self.wakes.insert(node, at);
            self.push(at, Event::Wake(node));
        }
    }

    /// Sends a message, subject to the faults of the links.
    pub fn send(&mut self, from: NodeIndex, to: NodeIndex, message: M) {
        self.counts.messages += 1;
        if self.cut_links.contains(&(from, to))
            || self.rng.random_range(0..100) < self.faults.loss_percent
        {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..100) < self.faults.duplicate_percent);
        for _ in 0..copies {
            let at = self.now + self.message_delay();
            let message = message.clone();
            self.push(at, Event::Deliver { from, to, message });
        }
    }

    fn message_delay(&mut self) -> Duration {
        let normal = self.random_duration(self.delay_range.0, self.delay_range.1);
        let extra = self.random_duration(Duration::ZERO, self.faults.max_delay);
        normal + extra
    }

    /// A random duration from `low` to `high`, both included.
    pub fn random_duration(&mut self, low: Duration, high: Duration) -> Duration {
        let (low, high) = (low.as_micros() as u64, high.as_micros() as u64);
        Duration::from_micros(self.rng.random_range(low..=high.max(low)))
    }

    /// Sends a request to the platform, subject to the platform's health.
    pub fn request(&mut self, node: NodeIndex, id: RequestId, request: Request) {
        if is_write(&request) {
            self.counts.writes += 1;
        } else {
            self.counts.reads += 1;
        }
        if self.isolated.contains(&node) {
            return self.reply_unavailable(node, id);
        }
        match self.health {
            PlatformHealth::Up => self.schedule_request(node, id, request, 1..=5, true),
            PlatformHealth::Slow => self.schedule_request(node, id, request, 500..=3_000, true),
            PlatformHealth::Down => self.reply_unavailable(node, id),
            PlatformHealth::Lossy if is_write(&request) => self.apply_unanswered(node, id, request),
            PlatformHealth::Lossy => {
                let answered = self.rng.random_range(0..2) == 0;
                self.schedule_request(node, id, request, 1..=5, answered);
                if !answered {
                    self.reply_unknown(node, id);
                }
            }
        }
    }

    fn reply_unavailable(&mut self, node: NodeIndex, id: RequestId) {
        let at = self.now + Duration::from_millis(2);
        let reply = Reply::Unavailable {
            retry_after: Duration::from_millis(500),
        };
        self.push(at, Event::Reply { node, id, reply });
    }

    /// Lets a write take effect at once, seconds later or never, without telling its sender which.
    fn apply_unanswered(&mut self, node: NodeIndex, id: RequestId, request: Request) {
        match self.rng.random_range(0..3) {
            0 => self.schedule_request(node, id, request, 1..=5, false),
            1 => self.schedule_request(node, id, request, 500..=6_000, false),
            _ => {}
        }
        self.reply_unknown(node, id);
    }

    fn reply_unknown(&mut self, node: NodeIndex, id: RequestId) {
        let at = self.now + REPLY_TIMEOUT;
        let reply = Reply::Unknown;
        self.push(at, Event::Reply { node, id, reply });
    }

    fn schedule_request(
        &mut self,
        node: NodeIndex,
        id: RequestId,
        request: Request,
        millis: core::ops::RangeInclusive<u64>,
        answered: bool,
    ) {
        let at = self.now + Duration::from_millis(self.rng.random_range(millis));
        let event = Event::Request {
            node,
            id,
            request,
            answered,
        };
        self.push(at, event);
    }

    /// Advances the time to the next event up to `until` and returns the event.
    ///
    /// If all events are later, the time advances to `until`; if there are none, it stays as it is.
    /// Requests to the platform are applied on the way.
    pub fn next_event(&mut self, until: Time) -> Option<Event<M>> {
        loop {
            let ((at, _), _) = self.queue.first_key_value()?;
            if *at > until {
                self.now = self.now.max(until);
                return None;
            }
            let ((at, _), event) = self.queue.pop_first()?;
            self.now = self.now.max(at);
            if let Some(node) = event.node()
                && let Some(until) = self.paused.get(&node).copied()
                && self.now < until
            {
                self.push(until, event);
                continue;
            }
            match event {
                Event::Request {
                    node,
                    id,
                    request,
                    answered,
                } => self.apply_request(node, id, &request, answered),
                Event::Wake(node) => {
                    if self.wakes.get(&node).is_some_and(|due| *due <= self.now) {
                        self.wakes.remove(&node);
                    }
                    return Some(Event::Wake(node));
                }
                other => return Some(other),
            }
        }
    }

    fn apply_request(&mut self, node: NodeIndex, id: RequestId, request: &Request, answered: bool) {
        let reply = self.store.apply(request);
        if let Request::Watch { key, after, wait } = request
            && matches!(reply, Reply::Unchanged)
            && answered
        {
            let watcher = Watcher {
                node,
                id,
                key: key.clone(),
                after: *after,
            };
            self.watchers.push(watcher);
            let at = self.now + *wait;
            let reply = Reply::Unchanged;
            return self.push(at, Event::Reply { node, id, reply });
        }
        if answered {
            let at = self.now + Duration::from_millis(1);
            self.push(at, Event::Reply { node, id, reply });
        }
        if let Request::Put { key, .. } = request {
            self.notify_watchers(key);
        }
    }

    /// Replies to the watches of a key whose object has changed.
    fn notify_watchers(&mut self, key: &Key) {
        let Some(object) = self.store.peek(key).cloned() else {
            return;
        };
        let (due, rest) = core::mem::take(&mut self.watchers)
            .into_iter()
            .partition(|watcher: &Watcher| watcher.key == *key && object.version > watcher.after);
        self.watchers = rest;
        for watcher in due {
            let (node, id) = (watcher.node, watcher.id);
            if self.health == PlatformHealth::Down {
                self.reply_unavailable(node, id);
                continue;
            }
            let at = self.now + Duration::from_millis(self.rng.random_range(1..=5));
            let reply = Reply::Object(Some(object.clone()));
            self.push(at, Event::Reply { node, id, reply });
        }
    }

    /// Sets the health of the platform; an outage ends all pending watches.
    pub fn set_health(&mut self, health: PlatformHealth) {
        self.health = health;
        if health == PlatformHealth::Down {
            for watcher in core::mem::take(&mut self.watchers) {
                self.reply_unavailable(watcher.node, watcher.id);
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
        self.notify_watchers(key);
    }
}

const fn is_write(request: &Request) -> bool {
    matches!(request, Request::Put { .. } | Request::Delete { .. })
}
