//! The oracle of calls: a record of each call and the properties that every output has to keep.
//!
//! The oracle models no queues, homes or reserved slots. It observes the inputs and outputs of
//! each VM and reports the first property that an output violates.

use crate::fixture::Kind;
use core::time::Duration;
use poplarswitch_catalog::Route;
use poplarswitch_entity::{Attempt, CallId, EndpointName, Time};
use poplarswitch_scheduler::{
    ConclusionKind, Dispatch, End, Ended, Fault, Output, Progress, Refusal, RefusalReason,
    StopReason,
};
use std::collections::BTreeMap;

/// Time after a fault on a route in which calls of the route may be refused for lack of capacity.
const FAULT_WINDOW: Duration = Duration::from_mins(1);

/// A property that always has to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Property {
    /// No call of the highest tier is preempted, or refused for capacity that lower tiers use.
    TopTierPriority,
    /// Every admitted call ends.
    AllCallsEnd,
    /// No call waits for a dispatch longer than its class allows.
    WaitBound,
    /// A call is refused, which means not run, only if no dispatch may have run.
    NotRun,
    /// A non-repeatable call is not dispatched again after a dispatch that may have run.
    AtMostOnce,
    /// A call has at most one live dispatch.
    OneLiveDispatch,
    /// Outputs refer to open calls, and the attempt numbers of a call increase.
    ValidOutput,
    /// A stream is resumed only at its endpoint and from what its caller has received.
    StreamContinuity,
    /// An endpoint gets no new call beyond its slots; a resumed stream keeps its slot.
    SlotLimit,
    /// A call is in doubt only if a dispatch may have run.
    DoubtJustified,
}

/// A violation of a property.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The violated property.
    pub property: Property,
    /// The call that it concerns.
    pub call: CallId,
    /// When it was found.
    pub at: Time,
}

/// The state of a call that the oracle records.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
#[derive(Clone, Debug)]
pub struct Record {
    /// Class and route.
    pub kind: Kind,
    /// When the call was submitted.
    pub submitted_at: Time,
    /// When the last dispatch ended, or the call was submitted.
    pub last_end: Time,
    /// The dispatch that has not ended yet.
    pub live: Option<Dispatch>,
    /// Endpoint of the last dispatch.
    pub endpoint: Option<EndpointName>,
    /// Number of the last dispatch.
    pub last_attempt: Option<Attempt>,
    /// Whether a dispatch may have run.
    pub may_have_run: bool,
    /// Tokens that the caller has received.
    pub emitted: u32,
    /// Whether the caller has got the result or has disconnected.
    pub closed: bool,
    /// Whether the VM of the caller was paused after the submission; the wait has no bound then.
    pub vm_paused: bool,
    /// Whether the endpoint was removed from the set during the dispatch, which then uses no
    /// declared slot.
    pub detached: bool,
    /// Whether it may be refused for lack of capacity: its route had a fault, or another open call
    /// of its tier used the route.
    pub may_refuse: bool,
}

/// The records of all calls, and the first violation.
#[derive(Debug, Default)]
pub struct CallOracle {
    /// One record per call.
    pub records: BTreeMap<CallId, Record>,
    /// The first violation.
    pub violation: Option<Violation>,
    faults: BTreeMap<Route, Time>,
}

impl CallOracle {
    /// Records that a call was submitted.
    pub fn record_submission(&mut self, now: Time, call: CallId, kind: Kind) {
        let competes = |record: &Record| {
            !record.closed
                && record.kind.rank() == kind.rank()
                && record.kind.route() == kind.route()
        };
        let fault = self.faults.get(&kind.route());
        let mut may_refuse = fault.is_some_and(|at| now < *at + FAULT_WINDOW);
        for other in self.records.values_mut().filter(|record| competes(record)) {
            other.may_refuse = true;
            may_refuse = true;
        }
        let record = Record {
            kind,
            submitted_at: now,
            last_end: now,
            live: None,
            endpoint: None,
            last_attempt: None,
            may_have_run: false,
            emitted: 0,
            closed: false,
            vm_paused: false,
            detached: false,
            may_refuse,
        };
        self.records.insert(call, record);
    }

    /// Records a fault on the route of a kind of calls, which may be refused because of it.
    pub fn record_fault(&mut self, now: Time, kind: Kind) {
        self.faults.insert(kind.route(), now);
        for record in self.records.values_mut() {
            record.may_refuse |= record.kind.route() == kind.route();
        }
    }

    /// Records that the set now has the endpoints `kept`; dispatches to others continue.
    pub fn record_removal(&mut self, kept: &[(EndpointName, u32)]) {
        let is_kept = |dispatch: &Dispatch| kept.iter().any(|(name, _)| *name == dispatch.endpoint);
        for record in self.records.values_mut() {
            record.detached |= record.live.as_ref().is_some_and(|live| !is_kept(live));
        }
    }

    /// Records that a caller disconnected; a live dispatch still has to end.
    pub fn record_cancellation(&mut self, call: CallId) {
        if let Some(record) = self.records.get_mut(&call) {
            record.closed = true;
        }
    }

    /// Records further tokens of a repeatable call; returns the input that reports them to its VM.
    pub(crate) fn record_progress(&mut self, dispatch: &Dispatch, tokens: u32) -> Option<Progress> {
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

    /// Records that a live dispatch ended.
    pub fn record_end(&mut self, now: Time, ended: &Ended) {
        let Some(record) = self.records.get_mut(&ended.call) else {
            return;
        };
        record.live = None;
        record.last_end = now;
        match ended.end {
            End::Answered { .. } => {
                record.closed = true;
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

    /// Checks an output of a VM; the limits in `slots` hold only if a single scheduler dispatches.
    pub fn check_output(
        &mut self,
        now: Time,
        output: &Output,
        slots: Option<&[(EndpointName, u32)]>,
    ) {
        let call = output.call();
        let violated = match output {
            Output::Dispatch(dispatch) => self.check_dispatch(dispatch, slots),
            Output::Stop(stop) => self.check_stop(call, stop.reason),
            Output::Refuse(refusal) => self.check_refusal(refusal),
            Output::Conclude(conclusion) => self.check_conclusion(call, conclusion.kind),
        };
        if let Some(property) = violated {
            self.record_violation(property, call, now);
        }
    }

    fn record_violation(&mut self, property: Property, call: CallId, at: Time) {
        self.violation
            .get_or_insert(Violation { property, call, at });
    }

    fn check_dispatch(
        &mut self,
        dispatch: &Dispatch,
        slots: Option<&[(EndpointName, u32)]>,
    ) -> Option<Property> {
        let used = self.used_slots(&dispatch.endpoint);
        let Some(record) = self.records.get_mut(&dispatch.call) else {
            return Some(Property::ValidOutput);
        };
        let increases = record
            .last_attempt
            .is_none_or(|last| dispatch.attempt > last);
        let offset = match dispatch.mode {
            poplarswitch_scheduler::Mode::Fresh => 0,
            poplarswitch_scheduler::Mode::Resume { emitted } => emitted,
        };
        let same_endpoint = record.endpoint.as_ref() == Some(&dispatch.endpoint);
        let keeps_slot = offset > 0 && same_endpoint;
        let mut limits = slots.unwrap_or_default().iter();
        let limit = limits.find(|(name, _)| *name == dispatch.endpoint);
        let violated = if record.live.is_some() {
            Some(Property::OneLiveDispatch)
        } else if record.closed || !increases {
            Some(Property::ValidOutput)
        } else if record.may_have_run && !record.kind.repeatable() {
            Some(Property::AtMostOnce)
        } else if offset < record.emitted || (offset > 0 && !same_endpoint) {
            Some(Property::StreamContinuity)
        } else if !keeps_slot && limit.is_some_and(|(_, slots)| used >= *slots) {
            Some(Property::SlotLimit)
        } else {
            None
        };
        record.live = Some(dispatch.clone());
        record.endpoint = Some(dispatch.endpoint.clone());
        record.detached &= keeps_slot;
        record.last_attempt = Some(dispatch.attempt);
        violated
    }

    fn used_slots(&self, endpoint: &EndpointName) -> u32 {
        let attached = self.records.values().filter(|record| !record.detached);
        let live = attached.filter_map(|record| record.live.as_ref());
        live.filter(|dispatch| dispatch.endpoint == *endpoint)
            .count() as u32
    }

    fn check_stop(&self, call: CallId, reason: StopReason) -> Option<Property> {
        let record = self.records.get(&call)?;
        let top_tier = record.kind.rank() == 0;
        (top_tier && reason == StopReason::Preempted).then_some(Property::TopTierPriority)
    }

    fn check_refusal(&mut self, refusal: &Refusal) -> Option<Property> {
        let Some(record) = self.records.get_mut(&refusal.call) else {
            return Some(Property::ValidOutput);
        };
        let was_closed = core::mem::replace(&mut record.closed, true);
        let no_capacity = matches!(
            refusal.reason,
            RefusalReason::Overload | RefusalReason::QueueFull | RefusalReason::WaitExpired
        );
        if was_closed {
            Some(Property::ValidOutput)
        } else if record.may_have_run || record.live.is_some() {
            Some(Property::NotRun)
        } else if no_capacity && record.kind.rank() == 0 && !record.may_refuse && !record.vm_paused
        {
            Some(Property::TopTierPriority)
        } else {
            None
        }
    }

    fn check_conclusion(&mut self, call: CallId, kind: ConclusionKind) -> Option<Property> {
        let Some(record) = self.records.get_mut(&call) else {
            return Some(Property::ValidOutput);
        };
        let was_closed = core::mem::replace(&mut record.closed, true);
        if was_closed || record.live.is_some() {
            return Some(Property::ValidOutput);
        }
        let unjustified = kind == ConclusionKind::InDoubt && !record.may_have_run;
        unjustified.then_some(Property::DoubtJustified)
    }

    /// Checks that no open call without a dispatch has waited too long.
    pub fn check_waits(&mut self, now: Time, tolerance: Duration) {
        let late = |record: &Record| {
            let open = !record.closed && record.live.is_none() && !record.vm_paused;
            let bound = record
                .last_end
                .max(record.submitted_at + record.kind.max_wait());
            open && now > bound + tolerance
        };
        let mut waits = self.records.iter();
        let found = waits
            .find(|(_, record)| late(record))
            .map(|(call, _)| *call);
        if let Some(call) = found {
            self.record_violation(Property::WaitBound, call, now);
        }
    }

    /// Checks that every call has ended, as well as its last dispatch.
    pub fn check_all_ended(&mut self, now: Time) {
        let open = |record: &Record| !record.closed || record.live.is_some();
        let mut records = self.records.iter();
        let found = records
            .find(|(_, record)| open(record))
            .map(|(call, _)| *call);
        if let Some(call) = found {
            self.record_violation(Property::AllCallsEnd, call, now);
        }
    }

    /// The live dispatches, ordered by call.
    pub fn live_dispatches(&self) -> Vec<Dispatch> {
        let live = self.records.values().filter_map(|r| r.live.clone());
        live.collect()
    }

    /// The calls whose callers wait for a result.
    pub fn open_calls(&self) -> Vec<CallId> {
        let open = self.records.iter().filter(|(_, record)| !record.closed);
        open.map(|(call, _)| *call).collect()
    }
}
