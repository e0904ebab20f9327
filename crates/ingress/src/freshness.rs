//! Whether the configuration may still be used.
//!
//! A revoked key must stop working on every VM within a bound, even on a VM that is cut off from
//! the platform. A VM therefore uses a configuration only for a limited time after it was confirmed
//! to be the newest. A confirmation counts from the time at which the request was sent whose reply
//! showed the configuration to be the newest. The arrival of the reply doesn't count, because
//! replies can be delayed.

use core::time::Duration;
use poplarswitch_entity::Time;

/// Percentage of the revocation bound for which a configuration may be used.
const USABLE_PERCENT: u32 = 90;

/// Time since the configuration was last confirmed to be the newest.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    confirmed_at: Option<Time>,
    max_age: Option<Duration>,
}

impl Freshness {
    /// Creates an unconfirmed state; `revocation_bound` is the bound on revocation if it also holds
    /// for VMs that are cut off.
    pub fn new(revocation_bound: Option<Duration>) -> Self {
        Self {
            confirmed_at: None,
            max_age: revocation_bound.map(|bound| bound * USABLE_PERCENT / 100),
        }
    }

    /// Records a confirmation by a request sent at `sent`; returns whether it is newer than the
    /// last one.
    pub fn confirm(&mut self, sent: Time) -> bool {
        let newer = self.confirmed_at.is_none_or(|confirmed| sent > confirmed);
        if newer {
            self.confirmed_at = Some(sent);
        }
        newer
    }

    /// Time of the latest confirmation.
    pub const fn confirmed_at(&self) -> Option<Time> {
        self.confirmed_at
    }

    /// Time since the latest confirmation.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed_at.map(|confirmed| now.since(confirmed))
    }

    /// Whether calls may be admitted with this configuration.
    pub fn is_usable(&self, now: Time) -> bool {
        match (self.max_age, self.age(now)) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(bound), Some(age)) => age <= bound,
        }
    }
}
