//! The owner's side: which VMs hold the slots of an endpoint, and which wait for one.

use super::{SlotGrant, SlotRequest, SlotShare};
use crate::limits::LimitId;
use core::{net::Ipv4Addr, time::Duration};
use poplarswitch_entity::Time;
use std::collections::BTreeMap;

/// Time for which a VM must have been the owner before it grants, in which all VMs tell it of the slots
/// that they hold.
const TAKEOVER_TIME: Duration = Duration::from_millis(1_200);
/// Time after the start of a process before it grants anything; it may not know all VMs yet.
const STARTUP_TIME: Duration = Duration::from_secs(2);
/// Time without a request after which the slots of a VM are free; VMs repeat requests more often.
const HOLDER_TTL: Duration = Duration::from_secs(3);
/// Time after which slots are free whose grant the VM has not acknowledged.
const UNSEEN_TTL: Duration = Duration::from_millis(200);
/// Time after a request for which its VM waits for a slot; one that waits longer asks again.
const WAIT_TTL: Duration = Duration::from_millis(250);
/// Fraction of the bound that rejections may reach.
const BOUND_FRACTION: f64 = 0.5;
/// Times between which no slot is granted after a rejection.
const MIN_CLOSED: Duration = Duration::from_millis(100);
const MAX_CLOSED: Duration = Duration::from_secs(2);
/// Time in which the slots that rejections have taken out of use come back, all of them.
const REGROWTH_TIME: Duration = Duration::from_secs(4);

/// A VM that holds slots or waits for one.
#[derive(Clone, Copy, Debug)]
struct Holder {
    request: SlotRequest,
    /// Number of slots that the VM has been granted so far.
    granted: u32,
    granted_at: Time,
    heard: Time,
    /// Since when the VM has been waiting.
    waits_since: Option<Time>,
}

impl Holder {
    /// Slots that were granted after the request.
    const fn unseen(&self) -> u32 {
        self.granted.wrapping_sub(self.request.seen)
    }

    /// Whether the VM has not acknowledged its last grant in time.
    fn has_lost_grant(&self, now: Time) -> bool {
        now.since(self.granted_at) >= UNSEEN_TTL
    }

    fn held(&self, now: Time) -> u32 {
        if now.since(self.heard) >= HOLDER_TTL {
            0
        } else if self.has_lost_grant(now) {
            self.request.held
        } else {
            self.request.held.saturating_add(self.unseen())
        }
    }

    fn missing(&self, now: Time) -> u32 {
        match self.waits_since {
            Some(_) if now.since(self.heard) < WAIT_TTL => {
                self.request.wanted.saturating_sub(self.unseen())
            }
            _ => 0,
        }
    }
}

/// The slots of one endpoint.
#[derive(Clone, Debug)]
struct SlotPool {
    holders: BTreeMap<Ipv4Addr, Holder>,
    acts_from: Time,
    /// Until when nothing is granted because of a rejection.
    closed_until: Time,
    /// Slots that rejections have taken out of use.
    withheld: f64,
    regrown: Time,
}

impl SlotPool {
    fn new(now: Time, share: &SlotShare) -> Self {
        let startup_left = STARTUP_TIME.saturating_sub(share.uptime);
        Self {
            holders: BTreeMap::new(),
            acts_from: now + TAKEOVER_TIME.max(startup_left),
            closed_until: Time::ZERO,
            withheld: 0.0,
            regrown: now,
        }
    }

    fn held(&self, now: Time) -> u32 {
        let holders = self.holders.values();
        holders.fold(0, |sum, holder| sum.saturating_add(holder.held(now)))
    }

    fn record(&mut self, now: Time, from: Ipv4Addr, request: SlotRequest) -> bool {
        let known = self.holders.get(&from);
        let is_stale = known.is_some_and(|known| {
            known.request.epoch == request.epoch
                && request
                    .serial
                    .wrapping_sub(known.request.serial)
                    .cast_signed()
                    <= 0
        });
        if is_stale {
            return false;
        }
        // A VM that asks again keeps its place.
        let since = known.and_then(|known| known.waits_since);
        let granted = known
            .filter(|known| known.request.epoch == request.epoch && !known.has_lost_grant(now))
            .map_or(request.seen, |known| known.granted);
        // The VM may have been granted slots by another owner meanwhile.
        let is_behind = granted.wrapping_sub(request.seen).cast_signed() < 0;
        let holder = Holder {
            request,
            granted: if is_behind { request.seen } else { granted },
            granted_at: known.map_or(now, |known| known.granted_at),
            heard: now,
            waits_since: (request.wanted > 0).then(|| since.unwrap_or(now)),
        };
        self.holders.insert(from, holder);
        true
    }

    /// Takes slots out of use after a rejection, since something else than known calls uses them.
    fn shrink(&mut self, now: Time, share: &SlotShare) {
        let seconds = (share.max_rejections * BOUND_FRACTION)
            .max(f64::MIN_POSITIVE)
            .recip();
        let closed = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_CLOSED);
        self.closed_until = now + closed.clamp(MIN_CLOSED, MAX_CLOSED);
        let unused = share.grantable.saturating_sub(self.held(now));
        let most = f64::from(share.grantable.saturating_sub(1));
        self.withheld = (self.withheld.max(f64::from(unused)) + 1.0).min(most);
        self.regrown = now;
    }

    fn regrow(&mut self, now: Time, share: &SlotShare) {
        let passed = now.since(self.regrown).as_secs_f64() / REGROWTH_TIME.as_secs_f64();
        self.withheld = (self.withheld - passed * f64::from(share.slots)).max(0.0);
        self.regrown = now;
    }

    /// Grants free slots to the VMs that wait; returns the addresses of those that got any.
    fn distribute(&mut self, now: Time, share: &SlotShare) -> Vec<Ipv4Addr> {
        self.regrow(now, share);
        if now < self.acts_from || now < self.closed_until {
            return Vec::new();
        }
        let usable = share.grantable.saturating_sub(self.withheld.ceil() as u32);
        let mut free = usable.saturating_sub(self.held(now));
        let mut served = Vec::new();
        while free > 0 {
            let waiting = self.holders.iter_mut();
            let waiting = waiting.filter(|(_, holder)| holder.missing(now) > 0);
            let first = waiting.min_by_key(|(_, holder)| (holder.request.rank, holder.waits_since));
            let Some((ip, holder)) = first else {
                break;
            };
            holder.granted = holder.granted.wrapping_add(1);
            holder.granted_at = now;
            // The next one goes to the VM that has been waiting longest.
            holder.waits_since = (holder.missing(now) > 0).then_some(now);
            if !served.contains(ip) {
                served.push(*ip);
            }
            free -= 1;
        }
        served
    }

    fn grant_to(&self, now: Time, ip: Ipv4Addr) -> Option<(Ipv4Addr, SlotGrant)> {
        let holder = self.holders.get(&ip)?;
        let queue: u32 = self
            .holders
            .values()
            .map(|holder| holder.missing(now))
            .fold(0, u32::saturating_add);
        let grant = SlotGrant {
            id: holder.request.id,
            serial: holder.request.serial,
            granted: holder.granted,
            queue,
            acts: now >= self.acts_from,
        };
        Some((ip, grant))
    }

    fn expire(&mut self, now: Time) {
        self.holders
            .retain(|_, holder| now.since(holder.heard) < HOLDER_TTL);
    }
}

/// The endpoints that this VM owns.
#[derive(Clone, Debug, Default)]
pub struct SlotPools {
    pools: BTreeMap<LimitId, SlotPool>,
}

impl SlotPools {
    /// Takes in a request; returns the grants to send, with their receivers.
    pub fn receive(
        &mut self,
        now: Time,
        from: Ipv4Addr,
        request: SlotRequest,
        share: &SlotShare,
    ) -> Vec<(Ipv4Addr, SlotGrant)> {
        let pool = self.pools.entry(LimitId(request.id));
        let pool = pool.or_insert_with(|| SlotPool::new(now, share));
        if !pool.record(now, from, request) {
            return Vec::new();
        }
        if request.rejected {
            pool.shrink(now, share);
        }
        let mut receivers = pool.distribute(now, share);
        if request.wanted > 0 && !receivers.contains(&from) {
            receivers.push(from);
        }
        let grants = receivers.into_iter();
        let grants = grants.filter_map(|ip| pool.grant_to(now, ip)).collect();
        if !request.waits
            && let Some(holder) = pool.holders.get_mut(&from)
        {
            holder.waits_since = None;
        }
        grants
    }

    /// Updates which endpoints this VM owns: those in `owned`. Returns grants of slots that
    /// have become free.
    pub fn refresh(
        &mut self,
        now: Time,
        owned: impl IntoIterator<Item = (LimitId, SlotShare)>,
    ) -> Vec<(Ipv4Addr, SlotGrant)> {
        let mut before = core::mem::take(&mut self.pools);
        let mut grants = Vec::new();
        for (id, share) in owned {
            let pool = before.remove(&id);
            let mut pool = pool.unwrap_or_else(|| SlotPool::new(now, &share));
            pool.expire(now);
            let receivers = pool.distribute(now, &share);
            let granted = receivers.into_iter();
            grants.extend(granted.filter_map(|ip| pool.grant_to(now, ip)));
            self.pools.insert(id, pool);
        }
        grants
    }
}
