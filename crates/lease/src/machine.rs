//! Acquisition, renewal and release of a lease by conditional writes of one record.
//!
//! The holder measures the duration of the lease from before it sent the write, on its own clock.
//! Another VM takes the lease over only after it has known the same version for the whole duration
//! that the record states, on its own clock. Clocks of different VMs are never compared. When the
//! platform comes back from a copy, its record may be older than the last holder's, so that versions
//! of an earlier era count as not yet seen, and a fencing token counts only if it was written in the
//! era that is its upper part.

use crate::{LeaseCall, LeaseNews, LeaseRecord, LeaseReply, LeaseRequest, Stamp};
use bon::Builder;
use core::time::Duration;
use poplarswitch_entity::{Incarnation, Time};
use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

/// Number of lower bits of a fencing token that count the terms of an era.
const TERM_BITS: u32 = 32;
/// Bits of a fencing token that count the terms of an era.
pub(crate) const TERM_MASK: u64 = (1 << TERM_BITS) - 1;
/// Number of bits of a nonce; JSON readers may lose digits of larger numbers.
const NONCE_BITS: u32 = 53;

/// Durations of a lease.
#[derive(Clone, Debug, Builder)]
pub struct LeaseSettings {
    /// Duration of the lease from a write.
    pub duration: Duration,
    /// Interval between renewals.
    pub renew_interval: Duration,
    /// Longest interval between reads while another VM holds the lease.
    pub read_interval: Duration,
    /// Delay before a failed request is repeated.
    pub retry_delay: Duration,
    /// Time limit for a reply.
    pub reply_timeout: Duration,
    /// Time for which this VM must have known the platform's era before it takes the lease; the
    /// record of a holder in the era before may be lost.
    #[builder(default = Duration::ZERO)]
    pub era_wait: Duration,
    /// Time for which this VM doesn't take the lease after it gave it up or another VM held it.
    #[builder(default = Duration::ZERO)]
    pub rest: Duration,
}

/// The version of the record that this VM knows.
#[derive(Clone, Copy, Debug)]
struct Seen {
    stamp: Stamp,
    /// When the lease has ended, if the record stays as it is.
    free_at: Time,
}

/// A write of the record whose outcome is not known.
#[derive(Clone, Copy, Debug)]
struct Write {
    nonce: u64,
    sent_at: Time,
    released: bool,
    token: u64,
    /// Era on whose record the write is based.
    era: u64,
}

/// The kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Op {
    Read,
    Write,
}

/// How this VM gives the lease up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    /// It may take the lease again later.
    Yield,
    /// It shuts down.
    Leave,
}

/// The lease as held by this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// Fencing token of this term.
    pub token: u64,
    /// Version of the record with which the term began.
    pub term: Stamp,
    /// Version of the last renewal.
    pub stamp: Stamp,
    /// When the lease ends, unless it is renewed.
    pub expires_at: Time,
    /// When this VM learned that it holds the lease.
    pub since: Time,
}

/// The state of the lease as this VM knows it.
#[derive(Debug)]
pub struct Lease {
    incarnation: Incarnation,
    settings: LeaseSettings,
    rng: Pcg64Mcg,
    seen: Option<Seen>,
    /// The platform's latest era, and since when this VM knows it.
    era: Option<(u64, Time)>,
    held: Option<Held>,
    write: Option<Write>,
    /// The outstanding request and when it times out.
    pending: Option<(u64, Op, Time)>,
    serial: u64,
    next_at: Time,
    /// Delay before this VM takes a lease that is free, so that VMs differ.
    stagger: Duration,
    /// Time without news of the holder after which this VM reads the record.
    max_silence: Duration,
    departure: Option<Departure>,
    /// Whether this VM has finished with the lease: released it, or left without holding it.
    finished: bool,
    rest_until: Time,
    /// End of the last lease that this VM held.
    last_end: Option<Time>,
    /// Highest token that this VM knows.
    max_token: u64,
    /// What the other VMs have not been told yet.
    untold: Option<LeaseNews>,
    keep_expired: bool,
}

impl Lease {
    /// Creates the state of a VM that knows nothing of the lease; it acts first at `start_at`.
    pub fn new(
        incarnation: Incarnation,
        settings: LeaseSettings,
        seed: u64,
        start_at: Time,
    ) -> Self {
        Self {
            incarnation,
            settings,
            rng: Pcg64Mcg::seed_from_u64(seed),
            seen: None,
            era: None,
            held: None,
            write: None,
            pending: None,
            serial: 0,
            next_at: start_at,
            stagger: Duration::ZERO,
            max_silence: Duration::from_hours(1),
            departure: None,
            finished: false,
            rest_until: Time::ZERO,
            last_end: None,
            max_token: 0,
            untold: None,
            keep_expired: false,
        }
    }

    /// Injects a deliberate fault: an expired lease counts as held.
    #[cfg(feature = "mutation")]
    pub const fn keep_expired(&mut self, keep: bool) {
        self.keep_expired = keep;
    }

    /// The process whose lease this is.
    pub const fn incarnation(&self) -> u64 {
        self.incarnation.0
    }

    /// Sets the delay before this VM takes a lease that is free, and the time without news after
    /// which it reads the record.
    pub const fn set_rank(&mut self, stagger: Duration, max_silence: Duration) {
        self.stagger = stagger;
        self.max_silence = max_silence;
    }

    /// The lease, if this VM holds it at `now`.
    pub fn held(&self, now: Time) -> Option<Held> {
        let mut held = self.held?;
        if self.keep_expired {
            held.expires_at = Time::MAX;
        }
        (now < held.expires_at).then_some(held)
    }

    /// Returns what the other VMs have to be told of this VM's last write, once for each write.
    pub const fn take_news(&mut self) -> Option<LeaseNews> {
        self.untold.take()
    }

    /// Whether this VM is giving the lease up, so that it must not act as the holder.
    pub const fn is_departing(&self) -> bool {
        self.departure.is_some()
    }

    /// Whether this VM has finished with the lease.
    pub const fn is_finished(&self) -> bool {
        self.finished
    }

    /// When [`Self::poll`] has to be called next.
    pub fn next_wake(&self) -> Option<Time> {
        if self.finished {
            return None;
        }
        let wake = self
            .pending
            .map_or(self.next_at, |(_, _, deadline)| deadline);
        Some(wake)
    }

    /// Stops renewing the lease; it is released at the first poll with `idle` set.
    pub const fn leave(&mut self) {
        self.departure = Some(Departure::Leave);
        self.next_at = Time::ZERO;
    }

    /// Gives the lease up as [`Self::leave`] does, but not for good.
    pub fn let_go(&mut self, now: Time) {
        if self.departure.is_none() && self.held(now).is_some() {
            self.departure = Some(Departure::Yield);
            self.next_at = now;
        }
    }

    /// Stops acting as the holder without a write, and reads the record again.
    pub fn step_down(&mut self, now: Time) {
        self.held = None;
        self.seen = None;
        self.next_at = now;
        self.rest_until = self.rest_until.max(now + self.settings.rest);
    }

    /// Processes what another VM tells of the lease.
    pub fn hear(&mut self, now: Time, news: LeaseNews) {
        self.max_token = self.max_token.max(news.token);
        let is_newer = self.seen.is_none_or(|seen| news.stamp > seen.stamp);
        if !is_newer || self.departure == Some(Departure::Leave) {
            return;
        }
        if self.held(now).is_some_and(|held| news.token != held.token) {
            self.step_down(now);
        }
        self.rest_after_other();
        self.note_era(now, news.stamp.era);
        let free_at = if news.released {
            now
        } else {
            now + Duration::from_millis(news.hold_ms)
        };
        self.seen = Some(Seen {
            stamp: news.stamp,
            free_at,
        });
        if self.held(now).is_none() {
            // The holder may have renewed the lease and been lost before it told so; the sooner this
            // VM learns of that renewal, the sooner the lease is free.
            let silent_at = now + self.max_silence;
            self.next_at = free_at.max(self.rest_until).min(silent_at) + self.stagger;
        }
    }

    /// Notes the platform's era; returns when the lease of any holder in an earlier one has ended.
    fn note_era(&mut self, now: Time, era: u64) -> Time {
        let known = self.era.filter(|(known, _)| *known >= era);
        let (_, since) = *self.era.insert(known.unwrap_or((era, now)));
        since + self.settings.era_wait
    }

    /// Another VM has held the lease, so that this VM's last term is over.
    fn rest_after_other(&mut self) {
        if let Some(end) = self.last_end.take() {
            self.rest_until = self.rest_until.max(end + self.settings.rest);
        }
    }

    /// Returns the request that is due; `idle` says that no call of the holder is in flight.
    pub fn poll(&mut self, now: Time, idle: bool) -> Option<LeaseCall> {
        if self.held(now).is_none() {
            self.held = None;
        }
        if let Some((_, _, deadline)) = self.pending {
            if now < deadline {
                return None;
            }
            self.pending = None;
        }
        if now < self.next_at || self.finished {
            return None;
        }
        if let Some(departure) = self.departure {
            return self.release(now, idle, departure);
        }
        match (self.write, self.held(now), self.seen) {
            (None, Some(_), Some(seen)) => {
                Some(self.request_write(now, Some(seen.stamp), seen.stamp.era, false))
            }
            // The lease is not held, or the outcome of the last write is unknown: read it first.
            _ => Some(self.send(now, Op::Read, LeaseRequest::Read)),
        }
    }

    fn release(&mut self, now: Time, idle: bool, departure: Departure) -> Option<LeaseCall> {
        match (self.held(now), self.seen) {
            (Some(_), Some(seen)) if idle => {
                let call = self.request_write(now, Some(seen.stamp), seen.stamp.era, true);
                self.held = None;
                Some(call)
            }
            (Some(_), _) => {
                self.next_at = now + self.settings.retry_delay;
                None
            }
            _ => {
                self.end_departure(now, departure);
                None
            }
        }
    }

    fn end_departure(&mut self, now: Time, departure: Departure) {
        match departure {
            Departure::Leave => self.finished = true,
            Departure::Yield => {
                self.departure = None;
                self.rest_until = self.rest_until.max(now + self.settings.rest);
                self.next_at = self.rest_until + self.stagger;
            }
        }
    }

    /// Token of a write that is based on a record of `era`.
    fn token(&self, now: Time, era: u64) -> u64 {
        match self.held(now) {
            Some(held) if held.token >> TERM_BITS == era => held.token,
            _ => (self.max_token + 1).max((era << TERM_BITS) + 1),
        }
    }

    fn request_write(
        &mut self,
        now: Time,
        condition: Option<Stamp>,
        era: u64,
        released: bool,
    ) -> LeaseCall {
        let nonce = self.rng.next_u64() >> (u64::BITS - NONCE_BITS);
        let token = self.token(now, era);
        let record = LeaseRecord {
            holder: self.incarnation,
            nonce,
            hold_ms: self.settings.duration.as_millis() as u64,
            released,
            token,
        };
        self.write = Some(Write {
            nonce,
            sent_at: now,
            released,
            token,
            era,
        });
        self.send(now, Op::Write, LeaseRequest::Write { condition, record })
    }

    fn send(&mut self, now: Time, op: Op, request: LeaseRequest) -> LeaseCall {
        self.serial += 1;
        let number = self.serial;
        self.pending = Some((number, op, now + self.settings.reply_timeout));
        LeaseCall { number, request }
    }

    /// Processes the reply to the request `number`; returns the request that follows at once.
    pub fn handle_reply(&mut self, now: Time, number: u64, reply: LeaseReply) -> Option<LeaseCall> {
        let (_, op, _) = self.pending.filter(|(pending, ..)| *pending == number)?;
        self.pending = None;
        match (op, reply) {
            (Op::Write, LeaseReply::Written(stamp)) => self.write_done(now, stamp),
            (_, LeaseReply::Found { era, current }) => self.record_found(now, era, current),
            (Op::Write, LeaseReply::Unavailable { retry_after }) => {
                self.write = None;
                self.next_at = now + self.settings.retry_delay.max(retry_after);
                None
            }
            _ => {
                self.next_at = now + self.settings.retry_delay;
                None
            }
        }
    }

    /// Processes the record as read from the platform.
    fn record_found(
        &mut self,
        now: Time,
        era: u64,
        current: Option<(Stamp, Option<LeaseRecord>)>,
    ) -> Option<LeaseCall> {
        let settled_at = self.note_era(now, era);
        let Some((stamp, Some(record))) = current else {
            let condition = current.map(|(stamp, _)| stamp);
            return self.record_absent(now, era, condition, settled_at);
        };
        self.max_token = self.max_token.max(record.token);
        if self.write.is_some_and(|write| write.nonce == record.nonce) {
            return self.write_done(now, stamp);
        }
        let known = self.seen.filter(|seen| seen.stamp == stamp);
        let hold = Duration::from_millis(if record.released { 0 } else { record.hold_ms });
        let free_at = known.map_or(now + hold, |seen| seen.free_at);
        self.seen = Some(Seen { stamp, free_at });
        if record.holder != self.incarnation {
            self.held = None;
            self.rest_after_other();
        }
        let is_unreleased = self.write.is_some_and(|write| write.released) && !record.released;
        if is_unreleased && record.holder == self.incarnation {
            // An earlier renewal of unknown outcome has taken effect before the release.
            return Some(self.request_write(now, Some(stamp), stamp.era, true));
        }
        let free_at = free_at.max(self.rest_until).max(settled_at);
        let holds = record.holder == self.incarnation && self.held(now).is_some();
        if self.departure.is_none() && (holds || now >= free_at) {
            // An earlier write of unknown outcome was conditional on an older version, so that it
            // fails, or on this one, so that at most one of the two writes succeeds.
            return Some(self.request_write(now, Some(stamp), stamp.era, false));
        }
        self.write = None;
        self.next_at = (free_at + self.stagger).min(now + self.settings.read_interval);
        None
    }

    /// Processes that there is no record, or one that can't be read.
    fn record_absent(
        &mut self,
        now: Time,
        era: u64,
        condition: Option<Stamp>,
        settled_at: Time,
    ) -> Option<LeaseCall> {
        self.seen = None;
        let free_at = settled_at.max(self.rest_until);
        if self.departure.is_none() && (now >= free_at || self.held(now).is_some()) {
            return Some(self.request_write(now, condition, era, false));
        }
        self.write = None;
        self.next_at = free_at + self.stagger;
        None
    }

    /// Records that the last write took effect.
    fn write_done(&mut self, now: Time, stamp: Stamp) -> Option<LeaseCall> {
        let write = self.write.take()?;
        self.max_token = self.max_token.max(write.token);
        self.seen = Some(Seen {
            stamp,
            free_at: if write.released {
                now
            } else {
                now + self.settings.duration
            },
        });
        let news = LeaseNews {
            stamp,
            token: write.token,
            hold_ms: self.settings.duration.as_millis() as u64,
            released: write.released,
        };
        self.untold = (stamp.era == write.era).then_some(news);
        if write.released {
            if let Some(departure) = self.departure {
                self.end_departure(now, departure);
            }
            return None;
        }
        let previous = self.held(now);
        if stamp.era != write.era {
            // The token may have been given out again. The holder needs a new one; another VM may
            // hold a lease whose record has been lost.
            if previous.is_some() && self.departure.is_none() {
                return Some(self.request_write(now, Some(stamp), stamp.era, false));
            }
            self.next_at = now + self.settings.duration + self.stagger;
            return None;
        }
        let expires_at = write.sent_at + self.settings.duration;
        self.next_at = write.sent_at + self.settings.renew_interval;
        if now >= expires_at {
            return None;
        }
        self.last_end = Some(expires_at);
        let previous = previous.filter(|held| held.token == write.token);
        self.held = Some(Held {
            token: write.token,
            term: previous.map_or(stamp, |held| held.term),
            stamp,
            expires_at,
            since: previous.map_or(now, |held| held.since),
        });
        None
    }
}
