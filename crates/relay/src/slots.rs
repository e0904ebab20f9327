//! Slots of brittle endpoints: taken before a call is sent, returned when it ends.
//!
//! The VMs share the slots; see [`poplarswitch_ingress::SlotMessage`]. This module exchanges the datagrams and
//! lets calls wait.

use crate::{
    call_forwarder::CallForwarder,
    clock,
    shared::{Core, Shared},
};
use core::{
    net::{Ipv4Addr, SocketAddr},
    pin::pin,
    time::Duration,
};
use poplarswitch_entity::Time;
use poplarswitch_ingress::{
    EndpointKey, MAX_SLOT_RECORDS, SlotDecision, SlotFleet, SlotGrant, SlotMessage, SlotOutbox,
    SlotRequest,
};
use std::{collections::BTreeMap, sync::Arc};
use tokio::{
    runtime::Handle,
    time::{Instant, sleep, timeout_at},
};

/// Time limit for the owner's reply; calls that wait for it have latency objectives of 100 ms and
/// more.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Fraction of the latency objective for which a call waits for a slot.
const MAX_WAIT_FRACTION: f64 = 0.5;
/// The same of the time left, for calls without an objective.
const MAX_TIME_FRACTION: f64 = 0.3;
/// Interval at which a call that can't join a queue looks for a slot.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which requests of calls that wait are repeated.
const WAIT_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which slots that were granted and not used are returned.
const UNUSED_TIME: Duration = Duration::from_millis(5);
/// Time for which an endpoint may go on with a call whose connection has been closed.
const LINGER_TIME: Duration = Duration::from_millis(250);

/// Slot of a call that is not open yet.
#[derive(Debug)]
pub(crate) struct SlotGuard {
    shared: Arc<Shared>,
    key: EndpointKey,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.shared.core().endpoints.end_reservation(self.key);
        self.shared.release_slots(self.key);
    }
}

/// Place of a call in the queue for a slot.
struct QueueGuard<'a> {
    shared: &'a Shared,
    key: EndpointKey,
    rank: u8,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let is_served = {
            let mut core = self.shared.core();
            core.endpoints.end_slot_wait(self.key, self.rank);
            core.endpoints
                .has_free_slot(clock::now(), self.key, self.rank)
        };
        if !is_served {
            // Otherwise the owner would grant a slot that nobody takes.
            self.shared.release_slots(self.key);
        }
    }
}

/// Result of taking a slot.
pub(crate) enum Slot {
    /// The endpoint is not brittle.
    Unlimited,
    Taken(SlotGuard),
    Denied,
}

impl Core {
    /// Does the periodic work; returns what to send.
    pub(crate) fn refresh_slots(&mut self, now: Time, started: Time) -> SlotOutbox {
        let local = self.membership.local_ip();
        let ready = self.membership.alive(now);
        let ready = ready.filter(|member| member.phase.accepts_calls());
        let mut alive: Vec<Ipv4Addr> = ready.map(|member| member.ip).collect();
        if !self.shutdown.has_started() {
            alive.push(local);
        }
        if !self.sources.is_listed() {
            alive.clear();
        }
        self.endpoints.set_slot_fleet(SlotFleet {
            local,
            started,
            alive,
            silent: self.membership.silent(now).collect(),
        });
        self.endpoints.refresh_slots(now)
    }
}

impl Shared {
    /// Sends requests to the owners of slots.
    pub(crate) fn send_slot_requests(
        &self,
        requests: impl IntoIterator<Item = (Ipv4Addr, SlotRequest)>,
    ) {
        for (to, requests) in by_receiver(requests) {
            if to == self.local_ip() {
                let now = clock::now();
                let mut core = self.core();
                let grants = core.endpoints.receive_slot_requests(now, to, &requests);
                drop(core);
                self.send_slot_grants(grants);
            } else {
                for records in requests.chunks(MAX_SLOT_RECORDS) {
                    self.send_slot_message(to, &SlotMessage::Requests(records.to_vec()));
                }
            }
        }
    }

    /// Sends grants to the VMs that asked for slots.
    pub(crate) fn send_slot_grants(&self, grants: Vec<(Ipv4Addr, SlotGrant)>) {
        for (to, grants) in by_receiver(grants) {
            if to == self.local_ip() {
                self.receive_slot_grants(to, &grants);
            } else {
                for records in grants.chunks(MAX_SLOT_RECORDS) {
                    self.send_slot_message(to, &SlotMessage::Grants(records.to_vec()));
                }
            }
        }
    }

    fn receive_slot_grants(&self, from: Ipv4Addr, grants: &[SlotGrant]) {
        let now = clock::now();
        let mut core = self.core();
        let keys = core.endpoints.receive_slot_grants(now, from, grants);
        let acknowledgements: Vec<(Ipv4Addr, SlotRequest)> = keys
            .iter()
            .filter_map(|key| core.endpoints.release_slots(now, *key))
            .filter(|(owner, _)| *owner == from)
            .collect();
        if !keys.is_empty() {
            core.unused_slots.extend(keys);
            self.slots_granted.notify_one();
        }
        drop(core);
        self.slots_changed.notify_waiters();
        self.send_slot_requests(acknowledgements);
    }

    fn send_slot_message(&self, to: Ipv4Addr, message: &SlotMessage) {
        let Some(socket) = self.peer_socket.get() else {
            return;
        };
        let mut bytes = Vec::with_capacity(256);
        if let Err(error) = ciborium::into_writer(message, &mut bytes) {
            tracing::warn!(event = "unwritable", %error, "slots");
            return;
        }
        let peer = SocketAddr::new(to.into(), self.settings.listen.peers.port());
        // A failed send has the same effect as a lost datagram: requests are repeated.
        if let Err(error) = socket.try_send_to(&bytes, peer) {
            tracing::debug!(%peer, %error, "send a slot message");
        }
    }

    fn local_ip(&self) -> Ipv4Addr {
        self.core().membership.local_ip()
    }

    /// Tells the owner which slots of an endpoint this VM still holds.
    pub(crate) fn release_slots(&self, key: EndpointKey) {
        let request = self.core().endpoints.release_slots(clock::now(), key);
        self.send_slot_requests(request);
    }

    /// Keeps the slot of a call that has been given up for as long as its endpoint may go on with it.
    pub(crate) fn linger(self: &Arc<Self>, key: EndpointKey) {
        let is_brittle = {
            let mut core = self.core();
            let is_brittle = core.endpoints.is_brittle(clock::now(), key);
            if is_brittle {
                core.endpoints.reserve_slot(key);
            }
            is_brittle
        };
        // Without a runtime, the process is about to exit.
        if is_brittle && let Ok(runtime) = Handle::try_current() {
            let guard = SlotGuard {
                shared: Arc::clone(self),
                key,
            };
            runtime.spawn(async move {
                sleep(LINGER_TIME).await;
                drop(guard);
            });
        }
    }

    /// Records that an endpoint has rejected a call for want of room.
    pub(crate) fn record_rejection(&self, key: EndpointKey) {
        let request = self.core().endpoints.record_rejection(clock::now(), key);
        self.send_slot_requests(request);
    }
}

/// Returns slots that were granted and that no call has taken, and repeats requests of calls that wait,
/// until the process exits.
pub(crate) async fn maintain(shared: Arc<Shared>) {
    loop {
        tokio::select! {
            () = shared.slots_granted.notified() => sleep(UNUSED_TIME).await,
            () = sleep(WAIT_INTERVAL) => {
                let waits = shared.core().endpoints.repeat_slot_waits(clock::now());
                shared.send_slot_requests(waits);
                continue;
            }
        }
        let requests: Vec<(Ipv4Addr, SlotRequest)> = {
            let now = clock::now();
            let mut core = shared.core();
            let keys = core::mem::take(&mut core.unused_slots).into_iter();
            keys.filter_map(|key| core.endpoints.return_unused_slots(now, key))
                .collect()
        };
        shared.send_slot_requests(requests);
    }
}

/// Processes a datagram of another VM.
pub(crate) fn receive(shared: &Shared, from: Ipv4Addr, message: &SlotMessage) {
    match message {
        SlotMessage::Requests(requests) => {
            let now = clock::now();
            let grants = {
                let mut core = shared.core();
                let is_member = core.membership.alive(now).any(|member| member.ip == from);
                if !is_member {
                    return;
                }
                core.endpoints.receive_slot_requests(now, from, requests)
            };
            shared.send_slot_grants(grants);
        }
        SlotMessage::Grants(grants) => shared.receive_slot_grants(from, grants),
    }
}

fn by_receiver<T>(records: impl IntoIterator<Item = (Ipv4Addr, T)>) -> BTreeMap<Ipv4Addr, Vec<T>> {
    let mut sorted: BTreeMap<Ipv4Addr, Vec<T>> = BTreeMap::new();
    for (to, record) in records {
        sorted.entry(to).or_default().push(record);
    }
    sorted
}

impl CallForwarder {
    /// Takes a slot for the call at an endpoint, if the endpoint is brittle.
    pub(crate) async fn take_slot(&self, key: EndpointKey) -> Slot {
        match self.try_take_slot(key) {
            None => return Slot::Unlimited,
            Some(SlotDecision::Granted) => return self.slot(key),
            Some(SlotDecision::Denied) => return Slot::Denied,
            Some(SlotDecision::Ask(owner, request)) => {
                let time_limit = Instant::now() + REPLY_TIMEOUT;
                let mut changed = pin!(self.shared.slots_changed.notified());
                changed.as_mut().enable();
                self.shared.send_slot_requests([(owner, request)]);
                while self.shared.core().endpoints.awaits_slot(key) {
                    if timeout_at(time_limit, changed.as_mut()).await.is_err() {
                        let mut core = self.shared.core();
                        core.endpoints.record_slot_silence(clock::now(), key);
                        break;
                    }
                    changed.set(self.shared.slots_changed.notified());
                    changed.as_mut().enable();
                }
            }
        }
        match self.try_take_slot(key) {
            None => Slot::Unlimited,
            Some(SlotDecision::Granted) => self.slot(key),
            Some(SlotDecision::Ask(..) | SlotDecision::Denied) => Slot::Denied,
        }
    }

    fn try_take_slot(&self, key: EndpointKey) -> Option<SlotDecision> {
        let mut core = self.shared.core();
        core.endpoints
            .take_slot(clock::now(), key, self.request.priority)
    }

    fn slot(&self, key: EndpointKey) -> Slot {
        Slot::Taken(SlotGuard {
            shared: Arc::clone(&self.shared),
            key,
        })
    }

    fn has_free_slot(&self, key: EndpointKey) -> bool {
        let core = self.shared.core();
        core.endpoints
            .has_free_slot(clock::now(), key, self.request.priority)
    }

    /// Waits until a brittle endpoint may have a slot for the call; returns whether that can be.
    pub(crate) async fn wait_for_slot(&mut self) -> bool {
        let now = clock::now();
        let time_left = self.request.deadline.since(now);
        let max_wait = match self.request.route.objective {
            Some(objective) => objective.mul_f64(MAX_WAIT_FRACTION).min(time_left),
            None => time_left.mul_f64(MAX_TIME_FRACTION),
        };
        let until = *self.slot_wait_end.get_or_insert(now + max_wait);
        if now >= until {
            return false;
        }
        let excluded = [&*self.tried, &*self.skipped].concat();
        let rank = self.request.priority;
        let (key, request) = {
            let core = &mut *self.shared.core();
            let service = &self.request.service;
            if !core.endpoints.is_brittle_service(now, service) {
                return false;
            }
            let software = self.request.pin.required();
            let key = core
                .endpoints
                .shortest_slot_queue(now, service, software, &excluded);
            let request = key.and_then(|key| core.endpoints.wait_for_slot(now, key, rank));
            (key, request)
        };
        let time_limit = Instant::now() + until.since(now);
        let Some(key) = key else {
            sleep(RETRY_INTERVAL.min(until.since(now))).await;
            return true;
        };
        let _place = QueueGuard {
            shared: &self.shared,
            key,
            rank,
        };
        let mut changed = pin!(self.shared.slots_changed.notified());
        changed.as_mut().enable();
        self.shared.send_slot_requests(request);
        while !self.has_free_slot(key) {
            if timeout_at(time_limit, changed.as_mut()).await.is_err() {
                break;
            }
            changed.set(self.shared.slots_changed.notified());
            changed.as_mut().enable();
        }
        true
    }
}
