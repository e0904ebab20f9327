//! The lease of a group: one object in the platform, acquired and renewed by conditional update.
//!
//! The holder measures the duration of the lease from before it sent the write, on its own clock.
//! Another VM takes the lease over only after it has seen the same version for the whole duration
//! that the object states, on its own clock. Clocks of different VMs are never compared.

use crate::{LeaseObject, Output, Settings};
use core::time::Duration;
use poplarswitch_entity::{FencingNumber, Incarnation, Time};
use poplarswitch_store::{Key, Precondition, Reply, Request, RequestId, Version, Versioned};
use rand::Rng as _;
use rand_pcg::Pcg64Mcg;

/// Timeout of a request to the platform.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// The path of a group's lease.
pub fn lease_key(group: &str) -> Key {
    Key::new(format!("orders/{group}"))
}

/// The version of the lease object that was read last.
#[derive(Clone, Copy, Debug)]
struct SeenLease {
    version: Version,
    /// When the object was first seen with this version.
    since: Time,
}

/// A write of the lease object whose outcome is not known.
#[derive(Clone, Copy, Debug)]
struct Write {
    nonce: u64,
    sent_at: Time,
    released: bool,
}

/// The kind of a platform request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Op {
    Read,
    Write,
}

/// The lease as held by this VM.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Held {
    /// The fencing number of the last renewal.
    pub(crate) fencing: FencingNumber,
    /// The fencing number with which this VM acquired the lease.
    pub(crate) term: FencingNumber,
    pub(crate) expires_at: Time,
    /// When no order of an earlier holder can take effect any more, so that engines that do not
    /// check fencing numbers may get orders.
    pub(crate) settled_at: Time,
}

/// The state of the lease as this VM knows it.
#[derive(Debug)]
pub(crate) struct Lease {
    incarnation: Incarnation,
    last_seen: Option<SeenLease>,
    held: Option<Held>,
    write: Option<Write>,
    /// The outstanding request and when it times out.
    pending: Option<(RequestId, Op, Time)>,
    ids: RequestId,
    next_at: Time,
    leaving: bool,
    /// Whether this VM has finished with the lease: released it, or left without holding it.
    released: bool,
    keep_expired: bool,
}

impl Lease {
    pub(crate) const fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            last_seen: None,
            held: None,
            write: None,
            pending: None,
            ids: RequestId(0),
            next_at: Time::ZERO,
            leaving: false,
            released: false,
            keep_expired: false,
        }
    }

    /// Injects a deliberate fault: an expired lease counts as held.
    #[cfg(feature = "mutation")]
    pub(crate) const fn keep_expired(&mut self, keep: bool) {
        self.keep_expired = keep;
    }

    /// The lease, if this VM holds it at `now`.
    pub(crate) fn held(&self, now: Time) -> Option<Held> {
        let mut held = self.held?;
        if self.keep_expired {
            held.expires_at = Time::MAX;
        }
        (now < held.expires_at).then_some(held)
    }

    pub(crate) fn next_wake(&self) -> Option<Time> {
        if self.released {
            return None;
        }
        let wake = self
            .pending
            .map_or(self.next_at, |(_, _, deadline)| deadline);
        Some(wake)
    }

    /// Stops renewing the lease; it is released at the first tick with `idle` set.
    pub(crate) const fn leave(&mut self) {
        self.leaving = true;
        self.next_at = Time::ZERO;
    }

    /// Stops acting as the holder without writing to the platform, and reads the lease again.
    pub(crate) fn step_down(&mut self, now: Time, out: &mut Vec<Output>) {
        self.drop_held(out);
        self.last_seen = None;
        self.next_at = now;
    }

    /// Marks the lease as not held, and reports that if it was held.
    fn drop_held(&mut self, out: &mut Vec<Output>) {
        if self.held.take().is_some() {
            out.push(Output::Lease(None));
        }
    }

    /// Performs the actions that are due; `idle` says that no order call is in flight.
    pub(crate) fn tick(
        &mut self,
        now: Time,
        idle: bool,
        settings: &Settings,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<Output>,
    ) {
        if self.held.is_some() && self.held(now).is_none() {
            self.drop_held(out);
        }
        if let Some((_, _, deadline)) = self.pending {
            if now < deadline {
                return;
            }
            self.pending = None;
        }
        if now < self.next_at || self.released {
            return;
        }
        if self.leaving {
            return self.release(now, idle, settings, rng, out);
        }
        match (self.write, self.held(now).is_some(), self.last_seen) {
            (None, true, Some(seen)) => {
                let precondition = Precondition::Matches(seen.version);
                self.request_write(now, precondition, false, settings, rng, out);
            }
            // The lease is not held, or the outcome of the last write is unknown: read it first.
            _ => self.request_read(now, settings, out),
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
        match (self.held(now), self.last_seen) {
            (Some(_), Some(seen)) if idle => {
                let precondition = Precondition::Matches(seen.version);
                self.held = None;
                out.push(Output::Lease(None));
                self.request_write(now, precondition, true, settings, rng, out);
            }
            (Some(_), _) => self.next_at = now + settings.retry_delay,
            _ => self.released = true,
        }
    }

    fn request_read(&mut self, now: Time, settings: &Settings, out: &mut Vec<Output>) {
        let key = lease_key(&settings.group);
        self.send_request(now, Op::Read, Request::Get { key }, out);
    }

    fn request_write(
        &mut self,
        now: Time,
        precondition: Precondition,
        released: bool,
        settings: &Settings,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<Output>,
    ) {
        let nonce = rng.next_u64();
        let object = LeaseObject {
            holder: self.incarnation,
            nonce,
            hold_ms: settings.lease_duration.as_millis() as u64,
            released,
        };
        self.write = Some(Write {
            nonce,
            sent_at: now,
            released,
        });
        let request = Request::Put {
            key: lease_key(&settings.group),
            value: serde_json::to_vec(&object).unwrap_or_default().into(),
            precondition,
        };
        self.send_request(now, Op::Write, request, out);
    }

    fn send_request(&mut self, now: Time, op: Op, request: Request, out: &mut Vec<Output>) {
        self.ids.0 += 1;
        let id = self.ids;
        self.pending = Some((id, op, now + REPLY_TIMEOUT));
        out.push(Output::Request { id, request });
    }

    pub(crate) fn handle_reply(
        &mut self,
        now: Time,
        id: RequestId,
        reply: &Reply,
        settings: &Settings,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<Output>,
    ) {
        let Some((pending, op, _)) = self.pending else {
            return;
        };
        if pending != id {
            return;
        }
        self.pending = None;
        match (op, reply) {
            (Op::Write, Reply::Done { version }) => self.write_done(now, *version, settings, out),
            (Op::Write, Reply::Conflict { current }) | (Op::Read, Reply::Object(current)) => {
                self.lease_read(now, current.as_ref(), settings, rng, out);
            }
            // The platform has not executed this write and will not execute it later.
            (Op::Write, Reply::Unavailable { retry_after }) => {
                self.write = None;
                self.next_at = now + settings.retry_delay.max(*retry_after);
            }
            _ => self.next_at = now + settings.retry_delay,
        }
    }

    /// Processes the lease object as read from the platform.
    fn lease_read(
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
            let precondition = current.map_or(Precondition::Absent, |object| {
                Precondition::Matches(object.version)
            });
            self.last_seen = None;
            return self.request_write(now, precondition, false, settings, rng, out);
        };
        if self.write.is_some_and(|write| write.nonce == object.nonce) {
            return self.write_done(now, version, settings, out);
        }
        let known = self.last_seen.filter(|seen| seen.version == version);
        let since = known.map_or(now, |seen| seen.since);
        self.last_seen = Some(SeenLease { version, since });
        if object.holder != self.incarnation {
            self.drop_held(out);
        }
        let holds = object.holder == self.incarnation && self.held(now).is_some();
        let free_at = since + Duration::from_millis(object.hold_ms);
        if holds || object.released || now >= free_at {
            // An earlier write of unknown outcome was conditional on an older version, so that it
            // fails, or on this one, so that at most one of the two writes succeeds.
            self.request_write(
                now,
                Precondition::Matches(version),
                false,
                settings,
                rng,
                out,
            );
        } else {
            self.write = None;
            self.next_at = free_at.min(now + settings.renew_interval);
        }
    }

    /// Records that the last write took effect.
    fn write_done(
        &mut self,
        now: Time,
        version: Version,
        settings: &Settings,
        out: &mut Vec<Output>,
    ) {
        let Some(write) = self.write.take() else {
            return;
        };
        self.last_seen = Some(SeenLease {
            version,
            since: now,
        });
        if write.released {
            self.released = true;
            return;
        }
        let fencing = FencingNumber(version.0);
        let expires_at = write.sent_at + settings.lease_duration;
        self.next_at = write.sent_at + settings.renew_interval;
        if now >= expires_at {
            return;
        }
        let previous = self.held(now);
        let settled_at = now + settings.max_pause + settings.max_call;
        self.held = Some(Held {
            fencing,
            term: previous.map_or(fencing, |held| held.term),
            expires_at,
            settled_at: previous.map_or(settled_at, |held| held.settled_at),
        });
        if previous.is_none() {
            out.push(Output::Lease(Some(fencing)));
        }
    }
}
