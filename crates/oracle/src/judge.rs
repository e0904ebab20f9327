//! The oracle: one record per call, and the rules that every order must keep.
//!
//! It knows nothing of queues, homes or slots held in reserve. It sees what goes in at a
//! VM and what is ordered there, and says which rule an order breaks.

use crate::fixture::Kind;
use core::time::Duration;
use poplarswitch_catalog::Route;
use poplarswitch_entity::{Attempt, CallId, EndpointName, Time};
use poplarswitch_scheduler::{
    ConclusionKind, Dispatch, End, Ended, Fault, Output, Progress, Refusal, RefusalReason,
    StopReason,
};
use std::collections::BTreeMap;

/// Time for which a fault may explain a refusal on its route.
const FAULT_MEMORY: Duration = Duration::from_mins(1);

/// A rule that must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Property {
    /// No booking is refused or preempted for lower-tier work.
    BookingKept,
    /// Everything admitted ends.
    AllEnd,
    /// Every class progresses within its bound.
    WaitBound,
    /// Told not run means that no dispatch may have run.
    NotRun,
    /// A call that may not be repeated is not dispatched after a possible run.
    AtMostOnce,
    /// A call has at most one live dispatch.
    OneLive,
    /// Orders concern calls that are open, and attempts only rise.
    OwnOrder,
    /// A stream is resumed at its endpoint and where its caller stands, or not continued.
    NoSplice,
    /// An endpoint is given no new call beyond its slots; a resumed stream keeps its own.
    Slots,
    /// A call is in doubt only if a dispatch may have run.
    DoubtReal,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub property: Property,
    /// The call.
    pub call: CallId,
    /// When.
    pub at: Time,
}

/// What the oracle knows of one call.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is one independent fact"
)]
#[derive(Clone, Debug)]
pub struct Record {
    /// What it is.
    pub kind: Kind,
    /// When it was submitted.
    pub since: Time,
    /// When its last dispatch ended.
    pub idle: Time,
    /// Its live dispatch.
    pub live: Option<Dispatch>,
    /// Where it was last sent.
    pub place: Option<EndpointName>,
    /// Its last attempt.
    pub last: Option<Attempt>,
    /// Whether a dispatch may have run.
    pub may_have_run: bool,
    /// Tokens that its caller has seen.
    pub emitted: u32,
    /// Whether its caller has been told the end, or has left.
    pub over: bool,
    /// Whether its VM stood still or was cut off while the call was open.
    pub excused: bool,
    /// Whether its endpoint was withdrawn while it ran; it holds no declared slot.
    pub detached: bool,
    /// Whether it ever had to share its route with a fault or with its own tier.
    pub rivals: bool,
}

/// The records of all calls.
#[derive(Debug, Default)]
pub struct Judge {
    /// One record a call.
    pub records: BTreeMap<CallId, Record>,
    /// The first rule that was broken.
    pub violation: Option<Violation>,
    faults: BTreeMap<Route, Time>,
}

impl Judge {
    /// A call was submitted.
    pub fn submitted(&mut self, now: Time, call: CallId, kind: Kind) {
        let same = |record: &Record| {
            !record.over && record.kind.rank() == kind.rank() && record.kind.route() == kind.route()
        };
        let fault = self.faults.get(&kind.route());
        let mut rivals = fault.is_some_and(|at| now < *at + FAULT_MEMORY);
        for other in self.records.values_mut().filter(|record| same(record)) {
            other.rivals = true;
            rivals = true;
        }
        let record = Record {
            kind,
            since: now,
            idle: now,
            live: None,
            place: None,
            last: None,
            may_have_run: false,
            emitted: 0,
            over: false,
            excused: false,
            detached: false,
            rivals,
        };
        self.records.insert(call, record);
    }

    /// A route had a fault: a refusal on it may have that reason.
    pub fn faulted(&mut self, now: Time, kind: Kind) {
        self.faults.insert(kind.route(), now);
        for record in self.records.values_mut() {
            record.rivals |= record.kind.route() == kind.route();
        }
    }

    /// Endpoints were withdrawn; calls that run there go on.
    pub fn withdrawn(&mut self, kept: &[(EndpointName, u32)]) {
        let is_kept = |dispatch: &Dispatch| kept.iter().any(|(name, _)| *name == dispatch.endpoint);
        for record in self.records.values_mut() {
            record.detached |= record.live.as_ref().is_some_and(|live| !is_kept(live));
        }
    }

    /// A caller left; a running dispatch still has to end.
    pub fn left(&mut self, call: CallId) {
        if let Some(record) = self.records.get_mut(&call) {
            record.over = true;
        }
    }

    /// A repeatable call emitted more tokens; what its VM hears of it.
    pub(crate) fn emitted(&mut self, dispatch: &Dispatch, tokens: u32) -> Option<Progress> {
        let record = self.records.get_mut(&dispatch.call)?;
        if !record.kind.repeatable() {
            return None;
        }
        record.emitted += tokens;
        Some(Progress {
            call: dispatch.call,
            attempt: dispatch.attempt,
            tokens: record.emitted,
        })
    }

    /// A live dispatch ended.
    pub fn ended(&mut self, now: Time, ended: &Ended) {
        let Some(record) = self.records.get_mut(&ended.call) else {
            return;
        };
        record.live = None;
        record.idle = now;
        match ended.end {
            End::Answered { .. } => {
                record.over = true;
                record.may_have_run = true;
            }
            End::Failed { fault, emitted } => {
                record.emitted = record.emitted.max(emitted);
                record.may_have_run |= matches!(fault, Fault::Lost | Fault::Errored);
            }
            End::Stopped { emitted } => {
                record.emitted = record.emitted.max(emitted);
                record.may_have_run = true;
            }
        }
    }

    /// An order was given to a VM; slots are checked where one scheduler orders alone.
    pub fn ordered(&mut self, now: Time, order: &Output, slots: Option<&[(EndpointName, u32)]>) {
        let call = order.call();
        let broken = match order {
            Output::Dispatch(dispatch) => self.dispatched(dispatch, slots),
            Output::Stop(stop) => self.stopped(call, stop.reason),
            Output::Refuse(refusal) => self.refused(refusal),
            Output::Conclude(verdict) => self.concluded(call, verdict.kind),
        };
        if let Some(property) = broken {
            self.blame(property, call, now);
        }
    }

    fn blame(&mut self, property: Property, call: CallId, at: Time) {
        self.violation
            .get_or_insert(Violation { property, call, at });
    }

    fn dispatched(
        &mut self,
        dispatch: &Dispatch,
        slots: Option<&[(EndpointName, u32)]>,
    ) -> Option<Property> {
        let held = self.held(&dispatch.endpoint);
        let Some(record) = self.records.get_mut(&dispatch.call) else {
            return Some(Property::OwnOrder);
        };
        let rises = record.last.is_none_or(|last| dispatch.attempt > last);
        let resumes = match dispatch.mode {
            poplarswitch_scheduler::Mode::Fresh => 0,
            poplarswitch_scheduler::Mode::Resume { emitted } => emitted,
        };
        let same = record.place.as_ref() == Some(&dispatch.endpoint);
        let keeps = resumes > 0 && same;
        let mut limits = slots.unwrap_or_default().iter();
        let limit = limits.find(|(name, _)| *name == dispatch.endpoint);
        let broken = if record.live.is_some() {
            Some(Property::OneLive)
        } else if record.over || !rises {
            Some(Property::OwnOrder)
        } else if record.may_have_run && !record.kind.repeatable() {
            Some(Property::AtMostOnce)
        } else if resumes < record.emitted || (resumes > 0 && !same) {
            Some(Property::NoSplice)
        } else if !keeps && limit.is_some_and(|(_, slots)| held >= *slots) {
            Some(Property::Slots)
        } else {
            None
        };
        record.live = Some(dispatch.clone());
        record.place = Some(dispatch.endpoint.clone());
        record.detached &= keeps;
        record.last = Some(dispatch.attempt);
        broken
    }

    fn held(&self, endpoint: &EndpointName) -> u32 {
        let attached = self.records.values().filter(|record| !record.detached);
        let live = attached.filter_map(|record| record.live.as_ref());
        live.filter(|dispatch| dispatch.endpoint == *endpoint)
            .count() as u32
    }

    fn stopped(&self, call: CallId, reason: StopReason) -> Option<Property> {
        let record = self.records.get(&call)?;
        let booking = record.kind.rank() == 0;
        (booking && reason == StopReason::Preempted).then_some(Property::BookingKept)
    }

    fn refused(&mut self, refusal: &Refusal) -> Option<Property> {
        let Some(record) = self.records.get_mut(&refusal.call) else {
            return Some(Property::OwnOrder);
        };
        let was_over = core::mem::replace(&mut record.over, true);
        let crowded = matches!(
            refusal.reason,
            RefusalReason::Overload | RefusalReason::QueueFull | RefusalReason::WaitExpired
        );
        if was_over {
            Some(Property::OwnOrder)
        } else if record.may_have_run || record.live.is_some() {
            Some(Property::NotRun)
        } else if crowded && record.kind.rank() == 0 && !record.rivals && !record.excused {
            Some(Property::BookingKept)
        } else {
            None
        }
    }

    fn concluded(&mut self, call: CallId, kind: ConclusionKind) -> Option<Property> {
        let Some(record) = self.records.get_mut(&call) else {
            return Some(Property::OwnOrder);
        };
        let was_over = core::mem::replace(&mut record.over, true);
        if was_over || record.live.is_some() {
            return Some(Property::OwnOrder);
        }
        let idle = kind == ConclusionKind::InDoubt && !record.may_have_run;
        idle.then_some(Property::DoubtReal)
    }

    /// Checks the waits of all calls.
    pub fn check_waits(&mut self, now: Time, slack: Duration) {
        let late = |record: &Record| {
            let open = !record.over && record.live.is_none() && !record.excused;
            let bound = record.idle.max(record.since + record.kind.max_wait());
            open && now > bound + slack
        };
        let mut waits = self.records.iter();
        let found = waits
            .find(|(_, record)| late(record))
            .map(|(call, _)| *call);
        if let Some(call) = found {
            self.blame(Property::WaitBound, call, now);
        }
    }

    /// Checks that every call has ended.
    pub fn check_all_over(&mut self, now: Time) {
        let open = |record: &Record| !record.over || record.live.is_some();
        let mut records = self.records.iter();
        let found = records
            .find(|(_, record)| open(record))
            .map(|(call, _)| *call);
        if let Some(call) = found {
            self.blame(Property::AllEnd, call, now);
        }
    }

    /// The live dispatches, in the order of their calls.
    pub fn live(&self) -> Vec<Dispatch> {
        let live = self.records.values().filter_map(|r| r.live.clone());
        live.collect()
    }

    /// The calls whose callers wait.
    pub fn open(&self) -> Vec<CallId> {
        let open = self.records.iter().filter(|(_, record)| !record.over);
        open.map(|(call, _)| *call).collect()
    }
}
