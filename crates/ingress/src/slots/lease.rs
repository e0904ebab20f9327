//! A VM's side: the slots that its calls hold, and those that it waits for.

use super::{SlotGrant, SlotRequest, SlotShare, raw};
use crate::{brittle::RejectionBound, limits::LimitId};
use core::{net::Ipv4Addr, time::Duration};
use poplarswitch_entity::Time;
use std::collections::BTreeMap;

/// Time for which a VM keeps to its fixed share if the owner doesn't answer.
const MUTE_TIME: Duration = Duration::from_secs(1);
/// Time for which it does if the owner says that it doesn't grant slots yet.
const TAKEOVER_DELAY: Duration = Duration::from_millis(300);
/// Time after a request that got no slot before the next one.
const DENIAL_TIME: Duration = Duration::from_millis(50);
/// Maximum of that time.
const MAX_DENIAL_TIME: Duration = Duration::from_millis(500);
/// Interval at which requests are repeated while calls wait.
const WAIT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which requests are repeated while slots are held.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Decision on a call to a brittle endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SlotDecision {
    /// The call has a slot, which has to be released.
    Granted,
    /// The owner has to be asked.
    Ask(Ipv4Addr, SlotRequest),
    /// No slot is to be had now.
    Denied,
}

/// The slots of one endpoint that this VM holds.
#[derive(Clone, Debug, Default)]
struct Lease {
    /// Slots of calls that are not open yet, or that may still run after their connection has ended.
    reserved: u32,
    /// Slots that were granted and are not used yet.
    free: u32,
    /// Number of slots that were granted so far.
    seen: u32,
    serial: u32,
    /// Owner at the last request, and when it was sent.
    owner: Option<Ipv4Addr>,
    sent: Time,
    /// Number of the request for a slot whose reply is awaited.
    asking: Option<u32>,
    /// Numbers of calls that wait for a slot, by rank.
    waiting: BTreeMap<u8, u32>,
    /// Rank of the call that asks.
    asking_rank: u8,
    /// Until when the owner counts as silent.
    mute_until: Time,
    denied_until: Time,
    /// Until when nothing is sent because of a rejection.
    crowded_until: Time,
    /// Since when the owner has not granted slots.
    mute_since: Option<Time>,
    /// Slots that this VM held then, which its calls may use again.
    kept: u32,
    /// Slots that other VMs waited for when the owner last answered.
    queue: u32,
}

impl Lease {
    const fn held(&self, share: &SlotShare) -> u32 {
        share.open_calls + self.reserved + self.free
    }

    fn is_on_its_own(&self, now: Time, share: &SlotShare) -> bool {
        share.owner.is_none() || now < self.mute_until
    }

    /// Whether a call may be sent without the owner: in a slot that this VM has held since before, or in its
    /// fixed share. VMs begin to use their shares one after the other, and one without a share sends one
    /// call at a time, so that those that find no room keep to the bound.
    fn has_fixed_share(&self, now: Time, share: &SlotShare) -> bool {
        let held = self.held(share);
        let wait = backoff(share, 1).saturating_mul(share.position as u32 + 1);
        let joins = self.mute_since.is_some_and(|since| now >= since + wait);
        held < self.kept || joins && held < share.fixed().max(1)
    }

    fn begin_mute(&mut self, now: Time, length: Duration, open_calls: u32) {
        self.mute_until = now + length;
        self.mute_since.get_or_insert(now);
        self.kept = open_calls + self.reserved + self.free;
    }

    const fn end_mute(&mut self) {
        self.mute_until = Time::ZERO;
        self.mute_since = None;
        self.kept = 0;
    }

    /// Rank of the most urgent call that wants a slot.
    fn first_rank(&self) -> u8 {
        let waiting = self.waiting.keys().next().copied();
        let asking = self.asking.map(|_| self.asking_rank);
        waiting.into_iter().chain(asking).min().unwrap_or(u8::MAX)
    }

    /// Whether there is an unused slot and no more urgent call waits for it.
    fn has_free(&self, now: Time, rank: u8) -> bool {
        let first = self.waiting.keys().next();
        self.free > 0 && now >= self.crowded_until && first.is_none_or(|first| rank <= *first)
    }

    fn request(&mut self, now: Time, id: LimitId, epoch: u32, share: &SlotShare) -> SlotRequest {
        self.serial = self.serial.wrapping_add(1);
        self.owner = share.owner;
        self.sent = now;
        let waiting: u32 = self.waiting.values().sum();
        SlotRequest {
            id: raw(id),
            epoch,
            serial: self.serial,
            held: self.held(share).max(self.kept),
            seen: self.seen,
            wanted: waiting + u32::from(self.asking.is_some()),
            rank: self.first_rank(),
            waits: waiting > 0,
            rejected: false,
            max_rejections: share.max_rejections,
        }
    }
}

/// The slots that this VM holds.
#[derive(Clone, Debug, Default)]
pub struct SlotLeases {
    leases: BTreeMap<LimitId, Lease>,
    epoch: u32,
}

impl SlotLeases {
    /// Creates the leases of a process; `epoch` differs from those of earlier processes of this VM.
    pub fn new(epoch: u32) -> Self {
        Self {
            leases: BTreeMap::new(),
            epoch,
        }
    }

    /// Takes a slot for a call.
    pub fn take(&mut self, now: Time, id: LimitId, rank: u8, share: &SlotShare) -> SlotDecision {
        let lease = self.leases.entry(id).or_default();
        if now < lease.crowded_until {
            return SlotDecision::Denied;
        }
        if lease.has_free(now, rank) {
            lease.free -= 1;
            lease.reserved += 1;
            return SlotDecision::Granted;
        }
        if lease.is_on_its_own(now, share) {
            if lease.has_fixed_share(now, share) {
                lease.reserved += 1;
                return SlotDecision::Granted;
            }
            return SlotDecision::Denied;
        }
        let Some(owner) = share
            .owner
            .filter(|_| now >= lease.denied_until && lease.asking.is_none())
        else {
            return SlotDecision::Denied;
        };
        lease.asking = Some(lease.serial.wrapping_add(1));
        lease.asking_rank = rank;
        let request = lease.request(now, id, self.epoch, share);
        SlotDecision::Ask(owner, request)
    }

    /// Whether a call may find a slot at an endpoint.
    pub fn may_take(&self, now: Time, id: LimitId, share: impl FnOnce() -> SlotShare) -> bool {
        let Some(lease) = self.leases.get(&id) else {
            return true;
        };
        if now < lease.crowded_until {
            return false;
        }
        if lease.free > 0 {
            return true;
        }
        let share = share();
        if lease.is_on_its_own(now, &share) {
            lease.has_fixed_share(now, &share)
        } else {
            now >= lease.denied_until && lease.asking.is_none()
        }
    }

    /// Length of the queue at the owner of an endpoint, as far as it is known; none if a call can't wait
    /// there.
    pub fn queue(&self, now: Time, id: LimitId) -> Option<u32> {
        let lease = self.leases.get(&id)?;
        (now >= lease.mute_until.max(lease.crowded_until)).then_some(lease.queue)
    }

    /// Lets a call wait for a slot.
    pub fn wait(
        &mut self,
        now: Time,
        id: LimitId,
        rank: u8,
        share: &SlotShare,
    ) -> Option<(Ipv4Addr, SlotRequest)> {
        let lease = self.leases.entry(id).or_default();
        *lease.waiting.entry(rank).or_default() += 1;
        let owner = share.owner?;
        Some((owner, lease.request(now, id, self.epoch, share)))
    }

    /// Ends the wait of a call.
    pub fn end_wait(&mut self, id: LimitId, rank: u8) {
        if let Some(lease) = self.leases.get_mut(&id)
            && let Some(count) = lease.waiting.get_mut(&rank)
        {
            *count -= 1;
            if *count == 0 {
                lease.waiting.remove(&rank);
            }
        }
    }

    /// Whether there is an unused slot and no more urgent call waits for it.
    pub fn has_free(&self, now: Time, id: LimitId, rank: u8) -> bool {
        self.leases
            .get(&id)
            .is_some_and(|lease| lease.has_free(now, rank))
    }

    /// Records that a call with a slot is open, so that it is counted there, or that it is over.
    pub fn end_reservation(&mut self, id: LimitId) {
        if let Some(lease) = self.leases.get_mut(&id) {
            lease.reserved = lease.reserved.saturating_sub(1);
        }
    }

    /// Records that a call that has ended may still hold its slot for a while.
    pub fn reserve(&mut self, id: LimitId) {
        self.leases.entry(id).or_default().reserved += 1;
    }

    /// Returns slots that calls no longer hold.
    pub fn release(
        &mut self,
        now: Time,
        id: LimitId,
        share: &SlotShare,
    ) -> Option<(Ipv4Addr, SlotRequest)> {
        let lease = self.leases.get_mut(&id)?;
        let owner = share.owner?;
        Some((owner, lease.request(now, id, self.epoch, share)))
    }

    /// Returns slots that were granted and not used.
    pub fn return_unused(
        &mut self,
        now: Time,
        id: LimitId,
        share: &SlotShare,
    ) -> Option<(Ipv4Addr, SlotRequest)> {
        let lease = self.leases.get_mut(&id).filter(|lease| lease.free > 0)?;
        lease.free = 0;
        self.release(now, id, share)
    }

    /// Records that the endpoint has rejected a call; nothing is sent to it for a while.
    pub fn record_rejection(
        &mut self,
        now: Time,
        id: LimitId,
        share: &SlotShare,
    ) -> Option<(Ipv4Addr, SlotRequest)> {
        let lease = self.leases.entry(id).or_default();
        // With an owner, all VMs stop together.
        let vms = if lease.is_on_its_own(now, share) {
            share.vms
        } else {
            1
        };
        lease.crowded_until = now + backoff(share, vms);
        lease.free = 0;
        let (owner, mut request) = self.release(now, id, share)?;
        request.rejected = true;
        Some((owner, request))
    }

    /// Takes in a grant; returns whether it brought slots.
    pub fn receive(
        &mut self,
        now: Time,
        from: Ipv4Addr,
        grant: &SlotGrant,
        open_calls: u32,
    ) -> bool {
        let Some(lease) = self.leases.get_mut(&LimitId(grant.id)) else {
            return false;
        };
        if lease.owner != Some(from) {
            return false;
        }
        let is_reply = |asked: u32| grant.serial.wrapping_sub(asked).cast_signed() >= 0;
        let was_asking = lease.asking.take_if(|asked| is_reply(*asked)).is_some();
        lease.queue = grant.queue;
        if grant.acts {
            lease.end_mute();
        } else {
            lease.begin_mute(now, TAKEOVER_DELAY, open_calls);
        }
        let more = grant.granted.wrapping_sub(lease.seen).cast_signed();
        if more > 0 {
            lease.seen = grant.granted;
            lease.free += more.cast_unsigned();
            lease.denied_until = Time::ZERO;
        } else if was_asking {
            // The longer the queue, the smaller is the chance of a slot at once.
            let delay = DENIAL_TIME.saturating_mul(grant.queue / 4 + 1);
            lease.denied_until = now + delay.min(MAX_DENIAL_TIME);
        }
        more > 0
    }

    /// Whether the reply to a request is still awaited.
    pub fn is_asking(&self, id: LimitId) -> bool {
        self.leases
            .get(&id)
            .is_some_and(|lease| lease.asking.is_some())
    }

    /// Records that the owner has not answered in time.
    pub fn record_silence(&mut self, now: Time, id: LimitId, open_calls: u32) {
        if let Some(lease) = self.leases.get_mut(&id)
            && lease.asking.take().is_some()
        {
            lease.begin_mute(now, MUTE_TIME, open_calls);
        }
    }

    /// The endpoints at which calls have been waiting for a while.
    pub fn waiting(&self, now: Time) -> impl Iterator<Item = LimitId> {
        let leases = self.leases.iter();
        let waiting = leases.filter(move |(_, lease)| {
            !lease.waiting.is_empty() && now.since(lease.sent) >= WAIT_INTERVAL
        });
        waiting.map(|(id, _)| *id)
    }

    /// Requests that are due: repeated ones, and the first ones to new owners.
    pub fn renew(
        &mut self,
        now: Time,
        brittle: impl IntoIterator<Item = (LimitId, SlotShare)>,
    ) -> Vec<(Ipv4Addr, SlotRequest)> {
        let mut before = core::mem::take(&mut self.leases);
        let mut requests = Vec::new();
        for (id, share) in brittle {
            let mut lease = before.remove(&id).unwrap_or_default();
            if share.owner.is_none() {
                lease.mute_since.get_or_insert(now);
            }
            let is_idle = lease.held(&share) == 0 && lease.waiting.is_empty();
            // Requests of calls that wait lapse sooner.
            let is_due = !lease.waiting.is_empty() && now.since(lease.sent) >= WAIT_INTERVAL
                || lease.owner != share.owner
                || now.since(lease.sent) >= RENEWAL_INTERVAL;
            if !is_idle
                && is_due
                && let Some(owner) = share.owner
            {
                requests.push((owner, lease.request(now, id, self.epoch, &share)));
            }
            self.leases.insert(id, lease);
        }
        requests
    }
}

/// Time without calls after a rejection, if `vms` VMs send without knowing of each other.
fn backoff(share: &SlotShare, vms: usize) -> Duration {
    let bound = RejectionBound {
        rate: share.max_rejections,
        named: Time::ZERO,
    };
    bound.backoff(vms)
}
