//! The cores that concern other VMs, and what they order.

use super::Decider;
use crate::{
    event::Replied,
    platform::{Asker, Platform},
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

/// Everything that this VM shares with others.
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

/// What the cores have ordered and nobody has carried out yet.
#[derive(Debug, Default)]
pub(super) struct Pending {
    pub(super) pool: Vec<pool::Output>,
    pub(super) members: Vec<members::Output>,
    pub(super) publish: Vec<publish::Output>,
    pub(super) keys: Vec<keys::Output>,
    pub(super) orders: Vec<orders::Output>,
    pub(super) drain: Vec<DrainOutput>,
}

impl Pending {
    fn is_empty(&self) -> bool {
        self.pool.is_empty()
            && self.members.is_empty()
            && self.publish.is_empty()
            && self.keys.is_empty()
            && self.orders.is_empty()
            && self.drain.is_empty()
    }
}

impl Decider {
    /// Carries out all orders, and those that they cause.
    pub(super) fn carry_out(&mut self, now: Time) {
        while !self.out.is_empty() {
            let taken = core::mem::take(&mut self.out);
            for output in taken.pool {
                self.carry_pool(now, output);
            }
            for output in taken.members {
                self.carry_members(now, output);
            }
            for output in taken.publish {
                self.carry_publish(now, output);
            }
            for output in taken.keys {
                self.carry_keys(now, output);
            }
            for output in taken.orders {
                self.carry_orders(now, output);
            }
            for output in taken.drain {
                self.carry_drain(now, output);
            }
        }
    }

    /// Queues a message to another VM.
    pub(super) fn send(&self, to: Incarnation, message: PeerMessage) {
        let at = self.shared.ring().last();
        if !self.cluster.hub.send(to, &Envelope { at, message }) {
            self.shared.counters.peer_drops.inc();
        }
    }

    /// Something happened on a link.
    pub(super) fn peer(&mut self, now: Time, event: PeerEvent) {
        let cluster = &mut self.cluster;
        match event {
            PeerEvent::Linked(identity) => {
                let peer = identity.incarnation;
                let linked = members::Input::Linked(identity);
                cluster.members.handle(now, linked, &mut self.out.members);
                let linked = publish::Input::Linked(peer);
                cluster.follower.handle(now, linked, &mut self.out.publish);
                let linked = keys::Input::Linked(peer);
                cluster.keys.handle(now, linked, &mut self.out.keys);
                self.regroup(now);
            }
            PeerEvent::Unlinked(peer) => {
                let broken = members::Input::Unlinked(peer);
                cluster.members.handle(now, broken, &mut self.out.members);
                let broken = publish::Input::Unlinked(peer);
                cluster.follower.handle(now, broken, &mut self.out.publish);
                let broken = keys::Input::Unlinked(peer);
                cluster.keys.handle(now, broken, &mut self.out.keys);
            }
            PeerEvent::DialFailed(address) => {
                let failed = members::Input::DialFailed(address);
                cluster.members.handle(now, failed, &mut self.out.members);
            }
            PeerEvent::Message { from, envelope } => self.message(now, from, envelope),
        }
    }

    fn message(&mut self, now: Time, from: Incarnation, envelope: Envelope) {
        self.shared.ring().observe(wall_ms(), envelope.at);
        let cluster = &mut self.cluster;
        match envelope.message {
            PeerMessage::Members(message) => {
                let input = members::Input::Message { from, message };
                cluster.members.handle(now, input, &mut self.out.members);
            }
            PeerMessage::Publish(message) => {
                let input = publish::Input::Message { from, message };
                cluster.follower.handle(now, input, &mut self.out.publish);
            }
            PeerMessage::Keys(message) => {
                let input = keys::Input::Message { from, message };
                cluster.keys.handle(now, input, &mut self.out.keys);
            }
            PeerMessage::Pool(message) => {
                if let Some(pool) = &mut self.pool {
                    let input = pool::Input::Peer { from, message };
                    pool.handle(now, input, &mut self.out.pool);
                }
            }
        }
    }

    /// The platform answered.
    pub(super) fn replied(&mut self, now: Time, replied: Replied) {
        let Replied { asker, id, reply } = replied;
        let cluster = &mut self.cluster;
        match asker {
            Asker::Follower => {
                let input = publish::Input::Reply { id, reply };
                cluster.follower.handle(now, input, &mut self.out.publish);
                self.note_platform();
            }
            Asker::Keys => {
                let input = keys::Input::Reply { id, reply };
                cluster.keys.handle(now, input, &mut self.out.keys);
            }
            Asker::Orders => {
                let input = orders::Input::Reply { id, reply };
                cluster.orders.handle(now, input, &mut self.out.orders);
            }
            Asker::Members => {
                if let Reply::Vms(records) = reply {
                    let input = members::Input::Listed(records);
                    cluster.members.handle(now, input, &mut self.out.members);
                }
            }
        }
    }

    /// Records that the platform came or went.
    fn note_platform(&mut self) {
        let up = self.cluster.follower.status().platform_up;
        if up != self.platform_up && self.cluster.platform.is_set() {
            self.platform_up = up;
            let what = if up {
                EventKind::PlatformUp
            } else {
                EventKind::PlatformDown
            };
            self.shared.record(None, what);
        }
    }

    fn carry_members(&mut self, now: Time, output: members::Output) {
        match output {
            members::Output::Send { to, message } => {
                self.send(to, PeerMessage::Members(message));
            }
            members::Output::Dial(address) => self.cluster.hub.dial(address),
            members::Output::Close(peer) => self.cluster.hub.close(peer),
            members::Output::List => {
                let platform = &self.cluster.platform;
                platform.ask(Asker::Members, RequestId::default(), Request::Vms);
            }
            members::Output::Changed { incarnation, state } => {
                self.record_member(incarnation, state);
                self.regroup(now);
            }
            members::Output::Paused(_) => {}
        }
    }

    fn record_member(&self, incarnation: Incarnation, state: State) {
        let Some(found) = self.cluster.members.member(incarnation) else {
            return;
        };
        let member = found.identity.vm;
        let what = match state {
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
        self.shared.record(None, what);
    }

    /// Tells the pool and the callers' port which VMs there are.
    pub(super) fn regroup(&mut self, now: Time) {
        let members = self.cluster.members.members();
        let me = self.shared.incarnation;
        let alive = |member: &&members::Member| {
            member.state == State::Alive && member.identity.incarnation != me
        };
        let others = members.iter().filter(alive).count();
        self.shared
            .counters
            .members
            .set(others.cast_signed() as i64);
        self.shared.members.store(Arc::new(members));
        if let Some(pool) = &mut self.pool {
            let cell = pool::Input::Members(self.cluster.members.cell());
            pool.handle(now, cell, &mut self.out.pool);
        }
        self.assign_polls();
    }

    fn carry_publish(&mut self, now: Time, output: publish::Output) {
        match output {
            publish::Output::Send { to, message } => {
                self.send(to, PeerMessage::Publish(message));
            }
            publish::Output::Request { id, request } => {
                self.cluster.platform.ask(Asker::Follower, id, request);
            }
            publish::Output::Activate(active) => self.follow(now, &active),
            publish::Output::Refuse(refused) => {
                tracing::warn!(reason = %refused.reason, "a set was refused");
                let generation = refused.release.generation;
                self.shared
                    .record(None, EventKind::GenerationRefused { generation });
            }
        }
    }

    fn follow(&mut self, now: Time, active: &ActiveSet) {
        let reach = &self.shared.settings.reach;
        match Catalog::build_within(&active.set, active.release.generation, reach) {
            Ok(catalog) => {
                self.activate(Arc::new(catalog));
                if self.cluster.platform.is_set() {
                    self.feed_orders(now, orders::Input::Set(Arc::clone(&active.set)));
                }
            }
            Err(error) => tracing::error!(%error, "a checked set can't be used"),
        }
    }

    fn carry_drain(&mut self, now: Time, output: DrainOutput) {
        match output {
            DrainOutput::Leave => {
                self.shared.set_phase(Phase::Draining);
                let in_flight = self.cluster.drain.in_flight() as u32;
                self.shared
                    .record(None, EventKind::DrainBegan { in_flight });
                let cluster = &mut self.cluster;
                let leave = members::Input::Leave;
                cluster.members.handle(now, leave, &mut self.out.members);
                let leave = orders::Input::Leave;
                cluster.orders.handle(now, leave, &mut self.out.orders);
                let leave = keys::Input::Leave;
                cluster.keys.handle(now, leave, &mut self.out.keys);
                self.regroup(now);
            }
            DrainOutput::HandOver => {
                let cell = self.cluster.members.cell();
                let input = keys::Input::HandOver(cell);
                let keys = &mut self.cluster.keys;
                keys.handle(now, input, &mut self.out.keys);
            }
            DrainOutput::Exit { cut } => {
                let cut = cut as u32;
                self.shared.record(None, EventKind::DrainEnded { cut });
                self.shared.set_phase(Phase::Drained);
            }
        }
    }

    /// An operator asks this VM to leave; an order that comes twice must cut no call.
    pub(super) fn leave(&mut self, now: Time) {
        if self.cluster.drain.phase() == DrainPhase::Serving {
            self.drain(now);
        }
    }

    /// A signal asks this VM to leave.
    pub(super) fn drain(&mut self, now: Time) {
        let drain = &mut self.cluster.drain;
        drain.handle(now, DrainInput::Stop, &mut self.out.drain);
    }
}
