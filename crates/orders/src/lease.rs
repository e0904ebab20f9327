//! The lease of a group: one object in the platform, taken by conditional update.
//!
//! The holder counts its time from before the write was sent, on its own clock. Another VM
//! takes the lease over only after it has seen the same version for the whole time that the
//! object states, on its own clock; no clock is compared with another.

use crate::{LeaseObject, Output, Settings};
use core::time::Duration;
use poplarswitch_entity::{FencingNumber, Incarnation, Time};
use poplarswitch_store::{Guard, Key, Reply, Request, RequestId, Version, Versioned};
use rand::Rng as _;
use rand_pcg::Pcg64Mcg;

/// Time after which a request without any reply counts as lost.
const LOST_AFTER: Duration = Duration::from_secs(10);

/// The path of a group's lease.
pub fn lease_key(group: &str) -> Key {
    Key::new(format!("orders/{group}"))
}

/// The lease as it was last seen, and since when with that version.
#[derive(Clone, Copy, Debug)]
struct Sight {
    version: Version,
    since: Time,
}

/// A write without a known outcome.
#[derive(Clone, Copy, Debug)]
struct Write {
    nonce: u64,
    sent: Time,
    released: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ask {
    Read,
    Write,
}

/// A lease in this VM's hands.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Held {
    pub(crate) fencing: FencingNumber,
    /// The number with which this VM took the lease.
    pub(crate) term: FencingNumber,
    pub(crate) until: Time,
    /// From when engines that ignore fencing numbers may get orders.
    pub(crate) settled: Time,
}

/// One VM's view of the lease.
#[derive(Debug)]
pub(crate) struct Lease {
    me: Incarnation,
    sight: Option<Sight>,
    held: Option<Held>,
    write: Option<Write>,
    pending: Option<(RequestId, Ask, Time)>,
    ids: RequestId,
    next: Time,
    leaving: bool,
    released: bool,
    keep_lapsed: bool,
}

impl Lease {
    pub(crate) const fn new(me: Incarnation) -> Self {
        Self {
            me,
            sight: None,
            held: None,
            write: None,
            pending: None,
            ids: RequestId(0),
            next: Time::ZERO,
            leaving: false,
            released: false,
            keep_lapsed: false,
        }
    }

    /// Puts a deliberate fault in: a lapsed lease counts as held.
    #[cfg(feature = "mutation")]
    pub(crate) const fn keep_lapsed(&mut self, keep: bool) {
        self.keep_lapsed = keep;
    }

    /// The lease, if this VM holds it now.
    pub(crate) fn held(&self, now: Time) -> Option<Held> {
        let mut held = self.held?;
        if self.keep_lapsed {
            held.until = Time::MAX;
        }
        (now < held.until).then_some(held)
    }

    pub(crate) fn next_wake(&self) -> Option<Time> {
        if self.released {
            return None;
        }
        let wake = self.pending.map_or(self.next, |(_, _, lost)| lost);
        Some(wake)
    }

    /// Stops renewing; the lease is given up once `idle` is told on a tick.
    pub(crate) const fn leave(&mut self) {
        self.leaving = true;
        self.next = Time::ZERO;
    }

    /// Gives the lease up in memory: an engine has seen a higher number.
    pub(crate) fn outrun(&mut self, now: Time, out: &mut Vec<Output>) {
        self.lose(out);
        self.sight = None;
        self.next = now;
    }

    fn lose(&mut self, out: &mut Vec<Output>) {
        if self.held.take().is_some() {
            out.push(Output::Lease(None));
        }
    }

    pub(crate) fn tick(
        &mut self,
        now: Time,
        idle: bool,
        settings: &Settings,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<Output>,
    ) {
        if self.held.is_some() && self.held(now).is_none() {
            self.lose(out);
        }
        if let Some((_, _, lost)) = self.pending {
            if now < lost {
                return;
            }
            self.pending = None;
        }
        if now < self.next || self.released {
            return;
        }
        if self.leaving {
            return self.release(now, idle, settings, rng, out);
        }
        match (self.write, self.held(now).is_some(), self.sight) {
            (None, true, Some(sight)) => {
                let guard = Guard::Matches(sight.version);
                self.write(now, guard, false, settings, rng, out);
            }
            // Not held, or the outcome of the last write is open: look before anything else.
            _ => self.read(now, settings, out),
        }
    }

    fn release(
        &mut self,
        now: Time,
        idle: bool,
        settings: &Settings,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<Output>,
    ) {
        match (self.held(now), self.sight) {
            (Some(_), Some(sight)) if idle => {
                let guard = Guard::Matches(sight.version);
                self.held = None;
                out.push(Output::Lease(None));
                self.write(now, guard, true, settings, rng, out);
            }
            (Some(_), _) => self.next = now + settings.retry_delay,
            _ => self.released = true,
        }
    }

    fn read(&mut self, now: Time, settings: &Settings, out: &mut Vec<Output>) {
        let key = lease_key(&settings.group);
        self.ask(now, Ask::Read, Request::Get { key }, out);
    }

    fn write(
        &mut self,
        now: Time,
        guard: Guard,
        released: bool,
        settings: &Settings,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<Output>,
    ) {
        let nonce = rng.next_u64();
        let object = LeaseObject {
            holder: self.me,
            nonce,
            hold_ms: settings.lease_duration.as_millis() as u64,
            released,
        };
        self.write = Some(Write {
            nonce,
            sent: now,
            released,
        });
        let request = Request::Put {
            key: lease_key(&settings.group),
            value: serde_json::to_vec(&object).unwrap_or_default().into(),
            guard,
        };
        self.ask(now, Ask::Write, request, out);
    }

    fn ask(&mut self, now: Time, ask: Ask, request: Request, out: &mut Vec<Output>) {
        self.ids.0 += 1;
        let id = self.ids;
        self.pending = Some((id, ask, now + LOST_AFTER));
        out.push(Output::Request { id, request });
    }

    pub(crate) fn reply(
        &mut self,
        now: Time,
        id: RequestId,
        reply: &Reply,
        settings: &Settings,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<Output>,
    ) {
        let Some((pending, ask, _)) = self.pending else {
            return;
        };
        if pending != id {
            return;
        }
        self.pending = None;
        match (ask, reply) {
            (Ask::Write, Reply::Done { version }) => self.written(now, *version, settings, out),
            (Ask::Write, Reply::Conflict { current }) | (Ask::Read, Reply::Object(current)) => {
                self.seen(now, current.as_ref(), settings, rng, out);
            }
            // Nothing of this write was done, and nothing of it will be.
            (Ask::Write, Reply::Unavailable { retry_after }) => {
                self.write = None;
                self.next = now + settings.retry_delay.max(*retry_after);
            }
            _ => self.next = now + settings.retry_delay,
        }
    }

    /// Takes the lease as the platform has it.
    fn seen(
        &mut self,
        now: Time,
        current: Option<&Versioned>,
        settings: &Settings,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<Output>,
    ) {
        let parsed = current.and_then(|object| {
            let lease: LeaseObject = serde_json::from_slice(&object.value).ok()?;
            Some((object.version, lease))
        });
        let Some((version, object)) = parsed else {
            let guard = current.map_or(Guard::Absent, |object| Guard::Matches(object.version));
            self.sight = None;
            return self.write(now, guard, false, settings, rng, out);
        };
        if self.write.is_some_and(|write| write.nonce == object.nonce) {
            return self.written(now, version, settings, out);
        }
        let known = self.sight.filter(|sight| sight.version == version);
        let since = known.map_or(now, |sight| sight.since);
        self.sight = Some(Sight { version, since });
        if object.holder != self.me {
            self.lose(out);
        }
        let mine = object.holder == self.me && self.held(now).is_some();
        let free_at = since + Duration::from_millis(object.hold_ms);
        if mine || object.released || now >= free_at {
            // A write that is still open had the condition of an older version or of this one;
            // in the second case the new write and the old one cannot both be done.
            self.write(now, Guard::Matches(version), false, settings, rng, out);
        } else {
            self.write = None;
            self.next = free_at.min(now + settings.renew_interval);
        }
    }

    /// The last write was done.
    fn written(&mut self, now: Time, version: Version, settings: &Settings, out: &mut Vec<Output>) {
        let Some(write) = self.write.take() else {
            return;
        };
        self.sight = Some(Sight {
            version,
            since: now,
        });
        if write.released {
            self.released = true;
            return;
        }
        let fencing = FencingNumber(version.0);
        let until = write.sent + settings.lease_duration;
        self.next = write.sent + settings.renew_interval;
        if now >= until {
            return;
        }
        let before = self.held(now);
        let settled = now + settings.max_pause + settings.max_call;
        self.held = Some(Held {
            fencing,
            term: before.map_or(fencing, |held| held.term),
            until,
            settled: before.map_or(settled, |held| held.settled),
        });
        if before.is_none() {
            out.push(Output::Lease(Some(fencing)));
        }
    }
}
