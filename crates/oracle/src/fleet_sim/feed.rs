//! Requests of VMs to each other for changes, and the replies.

use super::{CONNECT_TIMEOUT, FleetSim, ONE_WAY, Payload, Scenario, SimEvent, Task, index_of};
use core::time::Duration;
use poplarswitch_entity::Time;
use poplarswitch_ingress::{Cursor, FEED_WAIT, FeedReply, Packed, REPLY_MARGIN};

/// Delay after each reply.
const REQUEST_DELAY: Duration = Duration::from_millis(100);
/// Interval between checks while there is no VM to ask.
const POLL_INTERVAL: Duration = Duration::from_millis(150);

/// A request of another VM for changes.
#[derive(Clone, Debug)]
pub(super) struct Request {
    child: usize,
    serial: u64,
    version: u64,
    has_endpoints: bool,
    /// Confirmations of the VM that is asked, when the request arrived.
    confirmed: Option<(Option<Time>, Option<Time>)>,
}

/// Reply to a [`Request`].
#[derive(Clone, Copy, Debug)]
pub(super) struct Answer {
    version: u64,
    config_confirmed: Option<Time>,
    endpoints_confirmed: Option<Time>,
    platform_failed: bool,
}

/// Sizes of messages, in bytes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sizes {
    /// The configuration in a reply.
    pub(super) config: usize,
    /// The configuration in plain form.
    pub(super) plain_config: usize,
    /// All endpoints in a reply.
    snapshot: usize,
    /// A reply without changes.
    empty: usize,
}

fn encoded_len(value: &impl serde::Serialize) -> usize {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("messages can be encoded to memory");
    bytes.len()
}

impl Sizes {
    pub(super) fn new(scenario: &Scenario) -> Self {
        let empty = FeedReply {
            cursor: Cursor {
                version: 1,
                ..Cursor::default()
            },
            ..FeedReply::default()
        };
        let plain_config = encoded_len(&scenario.config);
        let with_config = FeedReply {
            packed_config: Some(Packed::new(&scenario.config)),
            ..empty.clone()
        };
        let with_snapshot = FeedReply {
            packed_snapshot: Some(Packed::new(&scenario.endpoints)),
            ..empty.clone()
        };
        Self {
            config: encoded_len(&with_config),
            plain_config,
            snapshot: encoded_len(&with_snapshot),
            empty: encoded_len(&empty),
        }
    }
}

impl FleetSim {
    /// Asks another VM for changes.
    pub(super) fn step_feed(&mut self, vm: usize) {
        let age = self.view_age(vm);
        let state = &self.vms[vm];
        let peer = state.sources.next_peer(self.now, &state.membership, age);
        let Some(peer) = peer else {
            return self.wait(vm, Task::Feed, POLL_INTERVAL, true);
        };
        let parent = index_of(peer);
        let serial = self.begin(vm, Task::Feed, false);
        self.vms[vm].asked = Some((peer, false));
        if self.is_parted(vm, parent) {
            return self.push_in(CONNECT_TIMEOUT, vm, SimEvent::Unanswered(serial));
        }
        if self.vms[parent].started.is_none() {
            return self.push_in(ONE_WAY * 2, vm, SimEvent::Unanswered(serial));
        }
        let state = &self.vms[vm];
        let request = Request {
            child: vm,
            serial,
            version: state.version,
            has_endpoints: state.endpoints_confirmed.is_some(),
            confirmed: None,
        };
        self.push_in(ONE_WAY, parent, SimEvent::Asked(request));
        self.push_in(FEED_WAIT + REPLY_MARGIN, vm, SimEvent::Unanswered(serial));
    }

    pub(super) fn take_request(&mut self, vm: usize, mut request: Request) {
        let state = &self.vms[vm];
        request.confirmed = Some((state.config_confirmed, state.endpoints_confirmed));
        let over = SimEvent::AskedOver(request.child, request.serial);
        self.vms[vm].pending.push(request);
        self.answer_pending(vm, None);
        self.push_in(FEED_WAIT, vm, over);
    }

    /// Answers the requests for which there is a change, and the one whose wait is over.
    pub(super) fn answer_pending(&mut self, vm: usize, over: Option<(usize, u64)>) {
        let state = &mut self.vms[vm];
        let confirmed = Some((state.config_confirmed, state.endpoints_confirmed));
        let (version, has_endpoints) = (state.version, state.endpoints_confirmed.is_some());
        let failed = state.platform_failed;
        let is_due = |request: &mut Request| {
            request.version != version
                || request.has_endpoints != has_endpoints
                || request.confirmed != confirmed
                || failed
                || over == Some((request.child, request.serial))
        };
        let due: Vec<Request> = state.pending.extract_if(.., is_due).collect();
        for request in due {
            self.answer(vm, &request);
        }
    }

    fn answer(&mut self, vm: usize, request: &Request) {
        let state = &self.vms[vm];
        let answer = Answer {
            version: state.version,
            config_confirmed: state.config_confirmed,
            endpoints_confirmed: state.endpoints_confirmed,
            platform_failed: state.platform_failed,
        };
        let mut bytes = self.sizes.empty;
        if state.version > request.version {
            bytes += self.sizes.config;
        }
        if state.endpoints_confirmed.is_some() && !request.has_endpoints {
            bytes += self.sizes.snapshot;
        }
        if self.is_parted(vm, request.child) {
            return;
        }
        // A reply that has begun is awaited as long as it goes on.
        if let Some((_, is_begun)) = &mut self.vms[request.child].asked {
            *is_begun = true;
        }
        let rate = self.links[request.child].rate();
        let payload = Payload::Answer(request.child, request.serial, answer);
        self.links[vm].start(self.now, bytes, rate, payload);
        self.schedule_link(vm);
    }

    fn schedule_link(&mut self, vm: usize) {
        if let Some(at) = self.links[vm].next_end() {
            let event = SimEvent::LinkEnd(self.links[vm].changes);
            self.push(at, vm, event);
        }
    }

    pub(super) fn end_transfers(&mut self, vm: usize, changes: u64) {
        if self.links[vm].changes != changes {
            return;
        }
        for payload in self.links[vm].take_finished(self.now) {
            self.deliver(payload, ONE_WAY);
        }
        self.schedule_link(vm);
    }

    pub(super) fn take_answer(&mut self, vm: usize, answer: Answer) {
        let Some((peer, _)) = self.vms[vm].asked.take() else {
            return;
        };
        let state = &mut self.vms[vm];
        let before = (state.version, state.endpoints_confirmed.is_some());
        state.endpoints_confirmed = state.endpoints_confirmed.max(answer.endpoints_confirmed);
        if answer.version >= state.version && answer.version > 0 {
            state.config_confirmed = state.config_confirmed.max(answer.config_confirmed);
            self.apply_version(vm, answer.version);
        }
        let age = self.view_age(vm);
        let now = self.now;
        let sources = &mut self.vms[vm].sources;
        if answer.platform_failed || sources.is_stale(now, age) {
            sources.mark_failed(now, peer);
        }
        let state = &self.vms[vm];
        let has_changed = before != (state.version, state.endpoints_confirmed.is_some());
        let delay = if age.is_none() && has_changed {
            Duration::ZERO
        } else {
            REQUEST_DELAY
        };
        self.wait(vm, Task::Feed, delay, false);
        self.notify(vm);
    }

    /// Records that a VM has not replied.
    pub(super) fn fail_feed(&mut self, vm: usize) {
        let now = self.now;
        if let Some((peer, _)) = self.vms[vm].asked.take() {
            self.vms[vm].sources.mark_failed(now, peer);
        }
        self.step(vm, Task::Feed);
    }
}
