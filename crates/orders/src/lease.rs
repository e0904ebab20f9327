//! The lease of a group: one object in the platform, acquired and renewed by conditional update.
//!
//! The version of the object is the fencing number; see [`poplarswitch_lease`] for the decisions.

use crate::{LeaseObject, Output, Settings};
use core::time::Duration;
use poplarswitch_entity::{FencingNumber, Incarnation, Time};
use poplarswitch_lease::{LeaseCall, LeaseReply, LeaseRequest, LeaseSettings, Stamp};
use poplarswitch_store::{Key, Precondition, Reply, Request, RequestId, Version, Versioned};

/// Timeout of a request to the platform.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// The path of a group's lease.
pub fn lease_key(group: &str) -> Key {
    Key::new(format!("orders/{group}"))
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
    machine: poplarswitch_lease::Lease,
    key: Key,
    settle_time: Duration,
    /// Whether the last report said that this VM holds the lease.
    reported: bool,
}

impl Lease {
    pub(crate) fn new(incarnation: Incarnation, settings: &Settings, seed: u64) -> Self {
        let durations = LeaseSettings::builder()
            .duration(settings.lease_duration)
            .renew_interval(settings.renew_interval)
            .read_interval(settings.renew_interval)
            .retry_delay(settings.retry_delay)
            .reply_timeout(REPLY_TIMEOUT)
            .build();
        Self {
            machine: poplarswitch_lease::Lease::new(incarnation, durations, seed, Time::ZERO),
            key: lease_key(&settings.group),
            settle_time: settings.max_pause + settings.max_call,
            reported: false,
        }
    }

    /// Injects a deliberate fault: an expired lease counts as held.
    #[cfg(feature = "mutation")]
    pub(crate) const fn keep_expired(&mut self, keep: bool) {
        self.machine.keep_expired(keep);
    }

    /// The lease, if this VM holds it at `now`.
    pub(crate) fn held(&self, now: Time) -> Option<Held> {
        let held = self.machine.held(now)?;
        Some(Held {
            fencing: FencingNumber(held.stamp.number),
            term: FencingNumber(held.term.number),
            expires_at: held.expires_at,
            settled_at: held.since + self.settle_time,
        })
    }

    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.machine.next_wake()
    }

    /// Stops renewing the lease; it is released at the first tick with `idle` set.
    pub(crate) const fn leave(&mut self) {
        self.machine.leave();
    }

    /// Stops acting as the holder without writing to the platform, and reads the lease again.
    pub(crate) fn step_down(&mut self, now: Time, out: &mut Vec<Output>) {
        self.machine.step_down(now);
        self.report(now, out);
    }

    /// Performs the actions that are due; `idle` says that no order call is in flight.
    pub(crate) fn tick(&mut self, now: Time, idle: bool, out: &mut Vec<Output>) {
        let call = self.machine.poll(now, idle);
        self.finish(now, call, out);
    }

    pub(crate) fn handle_reply(
        &mut self,
        now: Time,
        id: RequestId,
        reply: &Reply,
        out: &mut Vec<Output>,
    ) {
        let reply = match reply {
            Reply::Done { version } => LeaseReply::Written(stamp(*version)),
            Reply::Conflict { current } | Reply::Object(current) => LeaseReply::Found {
                era: 0,
                current: current.as_ref().map(parse),
            },
            Reply::Unavailable { retry_after } => LeaseReply::Unavailable {
                retry_after: *retry_after,
            },
            _ => LeaseReply::Unknown,
        };
        let call = self.machine.handle_reply(now, id.0, reply);
        self.finish(now, call, out);
    }

    /// Reports a change of the holder and sends a request.
    fn finish(&mut self, now: Time, call: Option<LeaseCall>, out: &mut Vec<Output>) {
        self.report(now, out);
        if let Some(LeaseCall { number, request }) = call {
            let id = RequestId(number);
            let request = self.encode(request);
            out.push(Output::Request { id, request });
        }
    }

    fn report(&mut self, now: Time, out: &mut Vec<Output>) {
        let fencing = self.held(now).map(|held| held.fencing);
        if fencing.is_some() != self.reported {
            self.reported = fencing.is_some();
            out.push(Output::Lease(fencing));
        }
    }

    fn encode(&self, request: LeaseRequest) -> Request {
        let key = self.key.clone();
        match request {
            LeaseRequest::Read => Request::Get { key },
            LeaseRequest::Write { condition, record } => Request::Put {
                key,
                value: serde_json::to_vec(&record).unwrap_or_default().into(),
                precondition: condition.map_or(Precondition::Absent, |stamp| {
                    Precondition::Matches(Version(stamp.number))
                }),
            },
        }
    }
}

/// Stamp of a version; this platform has no eras.
const fn stamp(version: Version) -> Stamp {
    Stamp {
        era: 0,
        number: version.0,
    }
}

fn parse(object: &Versioned) -> (Stamp, Option<LeaseObject>) {
    let record = serde_json::from_slice(&object.value).ok();
    (stamp(object.version), record)
}
