//! One call and its state.

use crate::route_state::RouteStateKey;
use crate::{Mode, Request, StopReason};
use core::time::Duration;
use poplarswitch_balance::{CapKey, SiteKey};
use poplarswitch_entity::{Attempt, Time};
use poplarswitch_objects::{Class, Target};
use poplarswitch_queue::{AccountKey, Place};
use slotmap::new_key_type;

new_key_type! {
    /// Refers to a class.
    pub(crate) struct ClassStateKey;
    /// Refers to the estimates of a class on a route.
    pub(crate) struct ProfileKey;
}

/// What a call's class promises and demands, as of its submission.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClassParams {
    /// The tier, from the highest.
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

/// A dispatch under way.
#[derive(Clone, Debug)]
pub(crate) struct ActiveDispatch {
    /// Where it runs; unknown if the endpoint left the set before it was adopted.
    pub endpoint: Option<SiteKey>,
    pub caps: Vec<CapKey>,
    pub started: Time,
    /// When its pace was last taken, at first by its first output, and at how many tokens.
    pub last_sample: Option<(Time, u32)>,
    /// Whether its pace was taken.
    pub sampled: bool,
    /// Tokens that the caller had seen when the dispatch started.
    pub resume_offset: u32,
    pub tokens: u32,
    /// Whether its start is known, so that its times can be learnt from.
    pub start_known: bool,
    pub stopping: Option<StopReason>,
    /// Slot time charged to the workspace.
    pub charged: u64,
}

/// Where a call stands; one that is answered, failed or in doubt leaves the table.
#[derive(Clone, Debug)]
pub(crate) enum State {
    /// It waits.
    Queued(Place),
    /// It runs at an endpoint.
    Dispatched(ActiveDispatch),
}

/// How often a call was tried.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tries {
    /// Dispatches that may have run.
    pub runs: u32,
    /// Dispatches that proved not to have run.
    pub not_run: u32,
    pub resumes: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub request: Request,
    pub route_state: RouteStateKey,
    pub lane: usize,
    pub account: AccountKey,
    pub class_state: ClassStateKey,
    pub profile: ProfileKey,
    pub params: ClassParams,
    /// When it came to this scheduler.
    pub submitted: Time,
    pub state: State,
    /// The current dispatch, or the next one while it waits.
    pub attempt: Attempt,
    pub tries: Tries,
    pub avoid: Option<SiteKey>,
}

impl Call {
    /// When its wait for a slot ends.
    pub(crate) fn expires(&self) -> Time {
        self.submitted + self.params.max_wait.saturating_sub(self.request.waited)
    }

    /// Whether an earlier dispatch may have run.
    pub(crate) const fn may_have_run(&self) -> bool {
        self.tries.runs > 0
    }

    pub(crate) const fn mode(emitted: u32) -> Mode {
        match emitted {
            0 => Mode::Fresh,
            emitted => Mode::Resume { emitted },
        }
    }
}
