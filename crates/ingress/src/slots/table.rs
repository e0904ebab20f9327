//! Slots of the endpoints that a VM knows.

use super::{SlotDecision, SlotGrant, SlotRequest, SlotShare};
use crate::{
    brittle::RejectionBound,
    endpoints::{EndpointKey, EndpointTable},
    entry::SoftwareVersion,
    hash::hash_pair,
    limits::LimitId,
};
use core::net::Ipv4Addr;
use poplarswitch_entity::{ServiceName, Time};
use std::collections::HashMap;

/// Requests and grants to send, with their receivers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlotOutbox {
    /// Requests to owners.
    pub requests: Vec<(Ipv4Addr, SlotRequest)>,
    /// Grants to VMs that asked for slots.
    pub grants: Vec<(Ipv4Addr, SlotGrant)>,
}

/// The VMs that share slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotFleet {
    /// This VM.
    pub local: Ipv4Addr,
    /// When this process started.
    pub started: Time,
    /// The VMs that are alive and accept calls; none before the list of VMs has been read.
    pub alive: Vec<Ipv4Addr>,
    /// Those that are known and silent.
    pub silent: Vec<Ipv4Addr>,
}

impl Default for SlotFleet {
    fn default() -> Self {
        Self {
            local: Ipv4Addr::UNSPECIFIED,
            started: Time::ZERO,
            alive: Vec::new(),
            silent: Vec::new(),
        }
    }
}

impl SlotFleet {
    /// Whether most of the VMs are silent, so that they may have owners of their own.
    fn is_minority(&self) -> bool {
        self.alive.len() < self.silent.len()
    }

    /// Place of this VM among those that share the slots of an endpoint.
    fn seat(&self, id: LimitId) -> Seat {
        let own = (weight(self.local, id), self.local);
        let mut seat = Seat {
            owner: None,
            vms: 1,
            position: 0,
        };
        let mut first = None;
        for ip in &self.alive {
            let weight = (weight(*ip, id), *ip);
            first = first.max(Some(weight));
            seat.count(weight, own);
        }
        seat.owner = first.map(|(_, ip)| ip);
        if self.is_minority() {
            for ip in &self.silent {
                seat.count((weight(*ip, id), *ip), own);
            }
        }
        seat
    }
}

/// Place of this VM among those that share the slots of an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Seat {
    owner: Option<Ipv4Addr>,
    /// Number of VMs that share without the owner, and position of this one in the order of weights.
    vms: usize,
    position: usize,
}

impl Seat {
    fn count(&mut self, weight: (u64, Ipv4Addr), own: (u64, Ipv4Addr)) {
        self.vms += usize::from(weight != own);
        self.position += usize::from(weight > own);
    }
}

fn weight(ip: Ipv4Addr, LimitId(id): LimitId) -> u64 {
    hash_pair(u64::from(ip.to_bits()), id)
}

impl EndpointTable {
    /// Starts a process whose leases differ from those of earlier ones by `epoch`.
    pub fn set_slot_epoch(&mut self, epoch: u32) {
        self.bounds.slots.leases = super::SlotLeases::new(epoch);
    }

    /// Updates which VMs share slots.
    pub fn set_slot_fleet(&mut self, fleet: SlotFleet) {
        let slots = &mut self.bounds.slots;
        if slots.fleet != fleet {
            slots.fleet = fleet;
            slots.seats.clear();
        }
    }

    /// Sharing of the slots of an endpoint; none if it is not brittle.
    pub(crate) fn slot_share(&self, now: Time, key: EndpointKey) -> Option<(LimitId, SlotShare)> {
        let bound = self.bound(now, key)?;
        self.share_with(now, key, bound)
    }

    fn share_with(
        &self,
        now: Time,
        key: EndpointKey,
        bound: RejectionBound,
    ) -> Option<(LimitId, SlotShare)> {
        let endpoint = self.get(key)?;
        let id = LimitId::new(endpoint.name_hash, endpoint.entry.start_ms);
        let fleet = &self.bounds.slots.fleet;
        let seat = self.bounds.slots.seats.get(&id).copied();
        let seat = seat.unwrap_or_else(|| fleet.seat(id));
        let slots = endpoint.entry.slots;
        let grantable = if fleet.is_minority() {
            let all = fleet.alive.len() + fleet.silent.len();
            (u64::from(slots) * fleet.alive.len() as u64 / all as u64) as u32
        } else {
            slots
        };
        let share = SlotShare {
            owner: seat.owner,
            vms: seat.vms,
            position: seat.position,
            slots,
            grantable,
            open_calls: endpoint.open_calls,
            max_rejections: bound.rate,
            uptime: now.since(fleet.started),
        };
        Some((id, share))
    }

    /// Whether an endpoint is brittle.
    pub fn is_brittle(&self, now: Time, key: EndpointKey) -> bool {
        self.bound(now, key).is_some()
    }

    /// Whether endpoints of a service are brittle.
    pub fn is_brittle_service(&self, now: Time, service: &ServiceName) -> bool {
        let mut keys = self.available(service).iter();
        keys.any(|key| self.is_brittle(now, *key))
    }

    /// The VM that grants the slots of a brittle endpoint.
    pub fn slot_owner(&self, now: Time, key: EndpointKey) -> Option<Ipv4Addr> {
        self.slot_share(now, key)?.1.owner
    }

    /// Whether there is a slot that was granted for a waiting call of this rank.
    pub fn has_free_slot(&self, now: Time, key: EndpointKey, rank: u8) -> bool {
        let id = self.slot_id(key);
        id.is_some_and(|id| self.bounds.slots.leases.has_free(now, id, rank))
    }

    /// Whether a call may be sent to an endpoint, as far as its bound on rejections is concerned.
    pub fn has_room(&self, now: Time, key: EndpointKey) -> bool {
        let Some((id, share)) = self.slot_share(now, key) else {
            return true;
        };
        self.bounds.slots.leases.may_take(now, id, || share)
    }

    /// Takes a slot for a call; none if the endpoint is not brittle.
    pub fn take_slot(&mut self, now: Time, key: EndpointKey, rank: u8) -> Option<SlotDecision> {
        let (id, share) = self.slot_share(now, key)?;
        Some(self.bounds.slots.leases.take(now, id, rank, &share))
    }

    /// The brittle endpoint of a service whose queue a call should join, if there is one. `software` is
    /// the version that the endpoint must have, if any.
    pub fn shortest_slot_queue(
        &self,
        now: Time,
        service: &ServiceName,
        software: Option<&SoftwareVersion>,
        tried: &[EndpointKey],
    ) -> Option<EndpointKey> {
        let keys = self.available(service).iter();
        let candidates = keys.filter_map(|key| {
            let endpoint = self.get(*key)?;
            let is_usable = !tried.contains(key)
                && (software.is_none() || endpoint.entry.software.as_ref() == software)
                && !endpoint.health.is_ejected(now);
            let (id, share) = self.slot_share(now, *key).filter(|_| is_usable)?;
            let queue = self.bounds.slots.leases.queue(now, id)?;
            Some((f64::from(queue) / f64::from(share.slots.max(1)), *key))
        });
        let shortest = candidates.min_by(|(a, _), (b, _)| a.total_cmp(b));
        shortest.map(|(_, key)| key)
    }

    /// Lets a call wait for a slot; returns the request to send, and its receiver.
    pub fn wait_for_slot(
        &mut self,
        now: Time,
        key: EndpointKey,
        rank: u8,
    ) -> Option<(Ipv4Addr, SlotRequest)> {
        let (id, share) = self.slot_share(now, key)?;
        self.bounds.slots.leases.wait(now, id, rank, &share)
    }

    /// Ends the wait of a call.
    pub fn end_slot_wait(&mut self, key: EndpointKey, rank: u8) {
        if let Some(id) = self.slot_id(key) {
            self.bounds.slots.leases.end_wait(id, rank);
        }
    }

    /// Records that a call with a slot counts among those that are open from now on, or that it is over.
    pub fn end_reservation(&mut self, key: EndpointKey) {
        if let Some(id) = self.slot_id(key) {
            self.bounds.slots.leases.end_reservation(id);
        }
    }

    /// Keeps a slot for a call that has ended here and may still run at its endpoint.
    pub fn reserve_slot(&mut self, key: EndpointKey) {
        if let Some(id) = self.slot_id(key) {
            self.bounds.slots.leases.reserve(id);
        }
    }

    /// The request that returns slots which calls no longer hold, and its receiver.
    pub fn release_slots(
        &mut self,
        now: Time,
        key: EndpointKey,
    ) -> Option<(Ipv4Addr, SlotRequest)> {
        let (id, share) = self.slot_share(now, key)?;
        self.bounds.slots.leases.release(now, id, &share)
    }

    /// The request that returns slots which were granted and not used, and its receiver.
    pub fn return_unused_slots(
        &mut self,
        now: Time,
        key: EndpointKey,
    ) -> Option<(Ipv4Addr, SlotRequest)> {
        let (id, share) = self.slot_share(now, key)?;
        self.bounds.slots.leases.return_unused(now, id, &share)
    }

    /// Records that an endpoint has rejected a call for want of room; returns the request that says so,
    /// and its receiver.
    pub fn record_rejection(
        &mut self,
        now: Time,
        key: EndpointKey,
    ) -> Option<(Ipv4Addr, SlotRequest)> {
        let (id, share) = self.slot_share(now, key)?;
        let leases = &mut self.bounds.slots.leases;
        leases.record_rejection(now, id, &share)
    }

    /// Whether the reply to a request for a slot is still awaited.
    pub fn awaits_slot(&self, key: EndpointKey) -> bool {
        let id = self.slot_id(key);
        id.is_some_and(|id| self.bounds.slots.leases.is_asking(id))
    }

    /// Records that the owner has not answered a request for a slot in time.
    pub fn record_slot_silence(&mut self, now: Time, key: EndpointKey) {
        let open_calls = self.get(key).map_or(0, |endpoint| endpoint.open_calls);
        if let Some(id) = self.slot_id(key) {
            let leases = &mut self.bounds.slots.leases;
            leases.record_silence(now, id, open_calls);
        }
    }

    /// Takes in requests of a VM; returns the grants to send, with their receivers.
    pub fn receive_slot_requests(
        &mut self,
        now: Time,
        from: Ipv4Addr,
        requests: &[SlotRequest],
    ) -> Vec<(Ipv4Addr, SlotGrant)> {
        let mut grants = Vec::new();
        for request in requests {
            let Some(key) = self.key_of(LimitId(request.id)) else {
                continue;
            };
            let named = RejectionBound {
                rate: request.max_rejections,
                named: now,
            };
            let bound = self.bound(now, key).unwrap_or(named);
            let Some((_, share)) = self.share_with(now, key, bound) else {
                continue;
            };
            if share.owner == Some(self.bounds.slots.fleet.local) {
                let pools = &mut self.bounds.slots.pools;
                grants.extend(pools.receive(now, from, *request, &share));
            }
        }
        grants
    }

    /// Takes in grants of an owner; returns the endpoints at which there are more slots now.
    pub fn receive_slot_grants(
        &mut self,
        now: Time,
        from: Ipv4Addr,
        grants: &[SlotGrant],
    ) -> Vec<EndpointKey> {
        let mut brought = Vec::new();
        for grant in grants {
            let Some(key) = self.key_of(LimitId(grant.id)) else {
                continue;
            };
            let open_calls = self.get(key).map_or(0, |endpoint| endpoint.open_calls);
            let leases = &mut self.bounds.slots.leases;
            if leases.receive(now, from, grant, open_calls) {
                brought.push(key);
            }
        }
        brought
    }

    /// Requests that repeat those of calls which have been waiting for a while, with their receivers.
    pub fn repeat_slot_waits(&mut self, now: Time) -> Vec<(Ipv4Addr, SlotRequest)> {
        let waiting: Vec<LimitId> = self.bounds.slots.leases.waiting(now).collect();
        let keys: Vec<EndpointKey> = waiting
            .into_iter()
            .filter_map(|id| self.key_of(id))
            .collect();
        let requests = keys.into_iter();
        requests
            .filter_map(|key| self.release_slots(now, key))
            .collect()
    }

    /// Does the periodic work; returns what to send.
    pub fn refresh_slots(&mut self, now: Time) -> SlotOutbox {
        let shares = self.iter().filter_map(|(key, _)| {
            let (id, share) = self.slot_share(now, key)?;
            Some((id, (key, share)))
        });
        let (keys, brittle): (HashMap<_, _>, Vec<_>) = shares
            .map(|(id, (key, share))| ((id, key), (id, share)))
            .unzip();
        let slots = &mut self.bounds.slots;
        slots.keys = keys;
        let mut seats = core::mem::take(&mut slots.seats);
        for (id, _) in &brittle {
            let seat = seats.remove(id).unwrap_or_else(|| slots.fleet.seat(*id));
            slots.seats.insert(*id, seat);
        }
        let local = Some(slots.fleet.local);
        let owned = brittle.iter().filter(|(_, share)| share.owner == local);
        let grants = slots.pools.refresh(now, owned.copied());
        SlotOutbox {
            requests: slots.leases.renew(now, brittle),
            grants,
        }
    }

    fn slot_id(&self, key: EndpointKey) -> Option<LimitId> {
        let endpoint = self.get(key)?;
        Some(LimitId::new(endpoint.name_hash, endpoint.entry.start_ms))
    }

    fn key_of(&self, id: LimitId) -> Option<EndpointKey> {
        let known = self.bounds.slots.keys.get(&id).copied();
        let known = known.filter(|key| self.slot_id(*key) == Some(id));
        if known.is_some() {
            return known;
        }
        let mut endpoints = self.iter();
        let found = endpoints.find(|(_, e)| LimitId::new(e.name_hash, e.entry.start_ms) == id);
        found.map(|(key, _)| key)
    }
}
