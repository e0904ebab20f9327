//! The state machines that interact with other VMs and the platform, and their outputs.

use super::EventLoop;
use crate::{
    event::PlatformReply,
    platform::{Platform, Requester},
    shared::wall_ms,
};
use poplarswitch_catalog::Catalog;
use poplarswitch_discovery::{
    Drain, Input as DrainInput, Output as DrainOutput, Phase as DrainPhase,
};
use poplarswitch_entity::{Incarnation, Time};
use poplarswitch_keys as keys;
use poplarswitch_members::{self as members, State};
use poplarswitch_orders as orders;
use poplarswitch_peer::{Hub, PeerEvent};
use poplarswitch_pool as pool;
use poplarswitch_publish::{self as publish, ActiveSet, Follower};
use poplarswitch_store::{Reply, Request, RequestId};
use poplarswitch_timeline::EventKind;
use poplarswitch_wire::{Envelope, PeerMessage, Phase};
use std::sync::Arc;

/// State machines, links and platform access of this VM.
#[derive(Debug)]
pub(crate) struct Cluster {
    pub(crate) members: members::Core,
    pub(crate) follower: Follower,
    pub(crate) keys: keys::Core,
    pub(crate) orders: orders::Core,
    pub(crate) drain: Drain,
    pub(crate) hub: Hub,
    pub(crate) platform: Platform,
}

/// Outputs of the state machines that have not been carried out yet.
#[derive(Debug, Default)]
pub(super) struct PendingOutputs {
    pub(super) pool: Vec<pool::Output>,
    pub(super) members: Vec<members::Output>,
    pub(super) publish: Vec<publish::Output>,
    pub(super) keys: Vec<keys::Output>,
    pub(super) orders: Vec<orders::Output>,
    pub(super) drain: Vec<DrainOutput>,
}

impl PendingOutputs {
    fn is_empty(&self) -> bool {
        self.pool.is_empty()
            && self.members.is_empty()
            && self.publish.is_empty()
            && self.keys.is_empty()
            && self.orders.is_empty()
            && self.drain.is_empty()
    }
}

impl EventLoop {
    /// Carries out all pending outputs, including those that arise meanwhile.
    pub(super) fn process_outputs(&mut self, now: Time) {
        while !self.outputs.is_empty() {
            let outputs = core::mem::take(&mut self.outputs);
            for output in outputs.pool {
                self.handle_pool_output(now, output);
            }
            for output in outputs.members {
                self.handle_members_output(now, output);
            }
            for output in outputs.publish {
                self.handle_publish_output(now, output);
            }
            for output in outputs.keys {
                self.handle_keys_output(now, output);
            }
            for output in outputs.orders {
                self.handle_orders_output(now, output);
            }
            for output in outputs.drain {
                self.handle_drain_output(now, output);
            }
        }
    }

    /// Queues a message to another VM; counts it as dropped if it can't be queued.
    pub(super) fn send(&self, to: Incarnation, message: PeerMessage) {
        let at = self.shared.timeline().last();
        if !self.cluster.hub.send(to, &Envelope { at, message }) {
            self.shared.counters.peer_drops.inc();
        }
    }

    /// Handles an event of a link to another VM.
    pub(super) fn handle_peer_event(&mut self, now: Time, event: PeerEvent) {
        let cluster = &mut self.cluster;
        match event {
            PeerEvent::Linked(identity) => {
                let peer = identity.incarnation;
                let input = members::Input::Linked(identity);
                cluster
                    .members
                    .handle(now, input, &mut self.outputs.members);
                let input = publish::Input::Linked(peer);
                cluster
                    .follower
                    .handle(now, input, &mut self.outputs.publish);
                let input = keys::Input::Linked(peer);
                cluster.keys.handle(now, input, &mut self.outputs.keys);
                self.update_members(now);
            }
            PeerEvent::Unlinked(peer) => {
                let input = members::Input::Unlinked(peer);
                cluster
                    .members
                    .handle(now, input, &mut self.outputs.members);
                let input = publish::Input::Unlinked(peer);
                cluster
                    .follower
                    .handle(now, input, &mut self.outputs.publish);
                let input = keys::Input::Unlinked(peer);
                cluster.keys.handle(now, input, &mut self.outputs.keys);
            }
            PeerEvent::DialFailed(address) => {
                let input = members::Input::DialFailed(address);
                cluster
                    .members
                    .handle(now, input, &mut self.outputs.members);
            }
            PeerEvent::Message { from, envelope } => self.handle_message(now, from, envelope),
        }
    }

    fn handle_message(&mut self, now: Time, from: Incarnation, envelope: Envelope) {
        self.shared.timeline().observe(wall_ms(), envelope.at);
        let cluster = &mut self.cluster;
        match envelope.message {
            PeerMessage::Members(message) => {
                let input = members::Input::Message { from, message };
                cluster
                    .members
                    .handle(now, input, &mut self.outputs.members);
            }
            PeerMessage::Publish(message) => {
                let input = publish::Input::Message { from, message };
                cluster
                    .follower
                    .handle(now, input, &mut self.outputs.publish);
            }
            PeerMessage::Keys(message) => {
                let input = keys::Input::Message { from, message };
                cluster.keys.handle(now, input, &mut self.outputs.keys);
            }
            PeerMessage::Pool(message) => {
                if let Some(pool) = &mut self.pool {
                    let input = pool::Input::Peer { from, message };
                    pool.handle(now, input, &mut self.outputs.pool);
                }
            }
        }
    }

    /// Passes a reply of the platform to the state machine that sent the request.
    pub(super) fn handle_platform_reply(&mut self, now: Time, reply: PlatformReply) {
        let PlatformReply {
            requester,
            id,
            reply,
        } = reply;
        let cluster = &mut self.cluster;
        match requester {
            Requester::Follower => {
                let input = publish::Input::Reply { id, reply };
                cluster
                    .follower
                    .handle(now, input, &mut self.outputs.publish);
                self.record_platform_state();
            }
            Requester::Keys => {
                let input = keys::Input::Reply { id, reply };
                cluster.keys.handle(now, input, &mut self.outputs.keys);
            }
            Requester::Orders => {
                let input = orders::Input::Reply { id, reply };
                cluster.orders.handle(now, input, &mut self.outputs.orders);
            }
            Requester::Members => {
                if let Reply::Vms(records) = reply {
                    let input = members::Input::Listed(records);
                    cluster
                        .members
                        .handle(now, input, &mut self.outputs.members);
                }
            }
        }
    }

    /// Records in the timeline that the platform became reachable or unreachable.
    fn record_platform_state(&mut self) {
        let up = self.cluster.follower.status().platform_up;
        if up != self.platform_up && self.cluster.platform.is_configured() {
            self.platform_up = up;
            let kind = if up {
                EventKind::PlatformUp
            } else {
                EventKind::PlatformDown
            };
            self.shared.record(None, kind);
        }
    }

    fn handle_members_output(&mut self, now: Time, output: members::Output) {
        match output {
            members::Output::Send { to, message } => {
                self.send(to, PeerMessage::Members(message));
            }
            members::Output::Dial(address) => self.cluster.hub.dial(address),
            members::Output::Close(peer) => self.cluster.hub.close(peer),
            members::Output::List => {
                let platform = &self.cluster.platform;
                platform.send(Requester::Members, RequestId::default(), Request::Vms);
            }
            members::Output::Changed { incarnation, state } => {
                self.record_member(incarnation, state);
                self.update_members(now);
            }
            members::Output::Paused(_) => {}
        }
    }

    fn record_member(&self, incarnation: Incarnation, state: State) {
        let Some(found) = self.cluster.members.member(incarnation) else {
            return;
        };
        let member = found.identity.vm;
        let kind = match state {
            State::Joining => return,
            State::Alive => EventKind::MemberUp {
                member,
                incarnation,
            },
            State::Suspect => EventKind::MemberSuspect {
                member,
                incarnation,
            },
            State::Leaving => EventKind::MemberLeaving {
                member,
                incarnation,
            },
            State::Gone => EventKind::MemberGone {
                member,
                incarnation,
            },
        };
        self.shared.record(None, kind);
    }

    /// Publishes the members to the pool, the callers' port and the polling threads.
    pub(super) fn update_members(&mut self, now: Time) {
        let members = self.cluster.members.members();
        let local = self.shared.incarnation;
        let is_other = |member: &&members::Member| {
            member.state == State::Alive && member.identity.incarnation != local
        };
        let others = members.iter().filter(is_other).count();
        self.shared
            .counters
            .members
            .set(others.cast_signed() as i64);
        self.shared.members.store(Arc::new(members));
        if let Some(pool) = &mut self.pool {
            let input = pool::Input::Members(self.cluster.members.cell());
            pool.handle(now, input, &mut self.outputs.pool);
        }
        self.update_polled_endpoints();
    }

    fn handle_publish_output(&mut self, now: Time, output: publish::Output) {
        match output {
            publish::Output::Send { to, message } => {
                self.send(to, PeerMessage::Publish(message));
            }
            publish::Output::Request { id, request } => {
                self.cluster.platform.send(Requester::Follower, id, request);
            }
            publish::Output::Activate(active) => self.activate_release(now, &active),
            publish::Output::Refuse(refused) => {
                tracing::warn!(reason = %refused.reason, "refused a published set");
                let generation = refused.release.generation;
                self.shared
                    .record(None, EventKind::GenerationRefused { generation });
            }
        }
    }

    fn activate_release(&mut self, now: Time, active: &ActiveSet) {
        let reach = &self.shared.settings.reach;
        match Catalog::build_within(&active.set, active.release.generation, reach) {
            Ok(catalog) => {
                self.activate(Arc::new(catalog));
                if self.cluster.platform.is_configured() {
                    self.feed_orders(now, orders::Input::Set(Arc::clone(&active.set)));
                }
            }
            Err(error) => tracing::error!(%error, "failed to build a catalog from a checked set"),
        }
    }

    fn handle_drain_output(&mut self, now: Time, output: DrainOutput) {
        match output {
            DrainOutput::Leave => {
                self.shared.set_phase(Phase::Draining);
                let in_flight = self.cluster.drain.in_flight() as u32;
                self.shared
                    .record(None, EventKind::DrainBegan { in_flight });
                let cluster = &mut self.cluster;
                let input = members::Input::Leave;
                cluster
                    .members
                    .handle(now, input, &mut self.outputs.members);
                let input = orders::Input::Leave;
                cluster.orders.handle(now, input, &mut self.outputs.orders);
                let input = keys::Input::Leave;
                cluster.keys.handle(now, input, &mut self.outputs.keys);
                self.update_members(now);
            }
            DrainOutput::HandOver => {
                let cell = self.cluster.members.cell();
                let input = keys::Input::HandOver(cell);
                let keys = &mut self.cluster.keys;
                keys.handle(now, input, &mut self.outputs.keys);
            }
            DrainOutput::Exit { cut } => {
                let cut = cut as u32;
                self.shared.record(None, EventKind::DrainEnded { cut });
                self.shared.set_phase(Phase::Drained);
            }
        }
    }

    /// Starts a drain on an operator's request; a repeated request must not abort calls.
    pub(super) fn start_drain(&mut self, now: Time) {
        if self.cluster.drain.phase() == DrainPhase::Serving {
            self.drain_or_force(now);
        }
    }

    /// Starts a drain, or limits the duration of one that has started.
    pub(super) fn drain_or_force(&mut self, now: Time) {
        let drain = &mut self.cluster.drain;
        drain.handle(now, DrainInput::Stop, &mut self.outputs.drain);
    }
}
