//! Orders for the engines of one kind in one data centre, and what became of them.
//!
//! An order without an answer may be executed later, after newer ones. What is there is therefore
//! observed, and an order is repeated until its number is there.

use crate::order::Outcome;
use core::time::Duration;
use poplarswitch_entity::Time;

/// Time after the boot time by which an accepted order shows in the endpoints, and crashed engines are
/// back.
pub(crate) const BOOT_SLACK: Duration = Duration::from_secs(3);
/// Time after which an order without an answer can't be executed any more.
const LATE_LIMIT: Duration = Duration::from_secs(15);
/// Time for which engines may be more than were ordered, as operators may have added them.
const EXCESS_TIME: Duration = Duration::from_secs(20);
/// First and longest wait before an order that failed is repeated.
const RETRY_WAIT: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(4));
/// Wait before more engines are ordered where there were none to be had.
const NONE_LEFT_WAIT: Duration = Duration::from_secs(2);
/// Time after which a drain isn't the effect of an order of fewer engines any more.
const LOWERED_TIME: Duration = Duration::from_secs(12);

/// Engines of one kind in one data centre, as observed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Present {
    /// Engines that accept calls.
    pub ready: u32,
    /// Engines that drain.
    pub draining: u32,
}

/// State of the orders.
#[derive(Clone, Debug, Default)]
pub(crate) struct Line {
    /// Number last ordered, or else the number that was there.
    desired: u32,
    present: Present,
    /// Time of the last accepted order.
    accepted: Option<Time>,
    /// Whether the last order has no answer.
    unanswered: bool,
    /// Until when an older order may be executed.
    unsettled: Option<Time>,
    /// Until when no order is sent.
    wait_until: Option<Time>,
    failures: u32,
    /// Until when there are no more engines.
    none_left: Option<Time>,
    lowered: Option<Time>,
    /// Whether engines have been reclaimed since the last order.
    reclaimed: bool,
    /// Since when the number differs from the ordered one.
    off_since: Option<Time>,
}

impl Line {
    /// Takes in what is there.
    pub(crate) fn observe(&mut self, now: Time, present: Present, reclaimable: bool) {
        let before = core::mem::replace(&mut self.present, present);
        if !self.is_ordered() {
            self.desired = present.ready;
            return;
        }
        let lowered = self.lowered.is_some_and(|at| now.since(at) < LOWERED_TIME);
        let notice = present.draining > before.draining && present.ready < before.ready;
        if reclaimable && notice && !lowered {
            self.reclaimed = true;
        }
        if present.ready == self.desired {
            self.off_since = None;
        } else {
            self.off_since.get_or_insert(now);
        }
    }

    /// Whether this VM has ordered a number here.
    pub(crate) const fn is_ordered(&self) -> bool {
        self.accepted.is_some() || self.unanswered
    }

    pub(crate) const fn desired(&self) -> u32 {
        self.desired
    }

    pub(crate) const fn present(&self) -> Present {
        self.present
    }

    /// Engines that accept calls or will as soon as they have booted.
    pub(crate) fn expected(&self, now: Time, boot: Duration) -> u32 {
        let booting = self
            .accepted
            .is_some_and(|at| now.since(at) < boot + BOOT_SLACK);
        let ready = self.present.ready;
        if booting && !self.unanswered && !self.reclaimed {
            ready.max(self.desired)
        } else {
            ready
        }
    }

    /// Whether an order may be sent.
    pub(crate) fn may_order(&self, now: Time) -> bool {
        self.wait_until.is_none_or(|until| now >= until)
    }

    /// Whether more engines may be had.
    pub(crate) fn has_more(&self, now: Time) -> bool {
        self.none_left.is_none_or(|until| now >= until)
    }

    /// Whether no older order can undo a newer one.
    pub(crate) fn is_settled(&self, now: Time) -> bool {
        !self.unanswered && self.unsettled.is_none_or(|until| now >= until)
    }

    /// Whether engines have been reclaimed since the last order.
    pub(crate) const fn is_reclaimed(&self) -> bool {
        self.reclaimed
    }

    /// Whether the last order has no answer, and has to be repeated.
    pub(crate) const fn is_unanswered(&self) -> bool {
        self.unanswered
    }

    /// Whether fewer engines are there than were ordered, for longer than they take to boot.
    pub(crate) fn is_short(&self, now: Time, boot: Duration) -> bool {
        let limit = if self.is_settled(now) {
            boot + BOOT_SLACK
        } else {
            boot
        };
        self.present.ready < self.desired && self.is_off(now, limit)
    }

    /// Whether more engines are there than were ordered, for longer than operators need them.
    pub(crate) fn has_excess(&self, now: Time) -> bool {
        self.present.ready > self.desired && self.is_off(now, EXCESS_TIME)
    }

    fn is_off(&self, now: Time, limit: Duration) -> bool {
        self.is_ordered() && self.off_since.is_some_and(|at| now.since(at) >= limit)
    }

    /// Records what became of an order.
    pub(crate) fn record(&mut self, now: Time, desired: u32, outcome: Outcome) {
        if outcome == Outcome::Accepted || outcome == Outcome::Unanswered {
            if desired < self.desired {
                self.lowered = Some(now);
            }
            if self.unanswered && desired != self.desired || outcome == Outcome::Unanswered {
                self.unsettled = Some(now + LATE_LIMIT);
            }
            self.desired = desired;
            self.unanswered = outcome == Outcome::Unanswered;
            self.off_since = (desired != self.present.ready).then_some(now);
        }
        match outcome {
            Outcome::Accepted => {
                self.accepted = Some(now);
                self.reclaimed = false;
                self.failures = 0;
                self.wait_until = None;
            }
            Outcome::NoneLeft => {
                self.none_left = Some(now + NONE_LEFT_WAIT);
            }
            Outcome::Unanswered | Outcome::Failed => {
                let (first, longest) = RETRY_WAIT;
                let wait = first * 2_u32.pow(self.failures.min(4));
                self.failures += 1;
                self.wait_until = Some(now + wait.min(longest));
            }
        }
    }
}
