//! A call and its state.

use crate::route_state::RouteStateKey;
use crate::{Mode, Request, StopReason};
use core::time::Duration;
use poplarswitch_balance::{CapKey, EndpointKey};
use poplarswitch_entity::{Attempt, Time};
use poplarswitch_objects::{Class, Target};
use poplarswitch_queue::{AccountKey, Position};
use slotmap::new_key_type;

new_key_type! {
    /// Key of a class's state, which outlives a change of the set.
    pub(crate) struct ClassStateKey;
    /// Key of the latency estimates of a class on a route.
    pub(crate) struct ProfileKey;
}

/// Parameters of a call's class, copied when the call was submitted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClassParams {
    /// Index of the class's tier; 0 is the highest.
    pub tier: usize,
    pub repeatable: bool,
    pub target: Target,
    pub max_wait: Duration,
}

impl ClassParams {
    pub(crate) const fn new(class: &Class, tier: usize) -> Self {
        Self {
            tier,
            repeatable: class.repeatable,
            target: class.target,
            max_wait: Duration::from_millis(class.max_wait_ms as u64),
        }
    }
}

/// A dispatch that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct ActiveDispatch {
    /// Endpoint that runs the call; `None` if the endpoint was removed from the set before the
    /// call was adopted.
    pub endpoint: Option<EndpointKey>,
    pub caps: Vec<CapKey>,
    pub started: Time,
    /// Time and token count of the last progress sample; the first output is the first sample.
    pub last_sample: Option<(Time, u32)>,
    /// Whether a time per token has been measured.
    pub sampled: bool,
    /// Tokens that the caller had received when the dispatch started.
    pub resume_offset: u32,
    pub tokens: u32,
    /// Whether `started` is the actual start, so that durations can be measured. The start of an
    /// adopted call is unknown.
    pub start_known: bool,
    pub stopping: Option<StopReason>,
    /// Slot time charged to the workspace at dispatch, in microseconds.
    pub charged: u64,
}

/// The state of a call in the table. A call is removed from the table when it ends.
#[derive(Clone, Debug)]
pub(crate) enum State {
    /// The call waits in a queue.
    Queued(Position),
    /// The call runs at an endpoint.
    Dispatched(ActiveDispatch),
}

/// Numbers of dispatches of a call, by result.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AttemptCounts {
    /// Dispatches that may have run.
    pub maybe_run: u32,
    /// Dispatches that were not run.
    pub not_run: u32,
    pub resumes: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub request: Request,
    pub route_key: RouteStateKey,
    pub lane: usize,
    pub account: AccountKey,
    pub class_key: ClassStateKey,
    pub profile: ProfileKey,
    pub params: ClassParams,
    /// When the call was submitted to this scheduler.
    pub submitted: Time,
    pub state: State,
    /// Number of the current dispatch, or of the next one while the call is queued.
    pub attempt: Attempt,
    pub attempts: AttemptCounts,
    /// Endpoint that failed the previous dispatch.
    pub avoid: Option<EndpointKey>,
}

impl Call {
    /// When the call's queue wait reaches its limit.
    pub(crate) fn expires(&self) -> Time {
        self.submitted + self.params.max_wait.saturating_sub(self.request.waited)
    }

    /// Whether an earlier dispatch may have run.
    pub(crate) const fn may_have_run(&self) -> bool {
        self.attempts.maybe_run > 0
    }

    pub(crate) const fn mode(emitted: u32) -> Mode {
        match emitted {
            0 => Mode::Fresh,
            emitted => Mode::Resume { emitted },
        }
    }
}
