//! Whether the configuration may still be acted on.
//!
//! A key that was taken away must stop working everywhere within a bound, also on a VM that is
//! cut off from the platform. A VM therefore acts on a configuration only for a time after the
//! moment at which it was proved to be the newest: the moment at which a request was sent whose
//! reply showed it. The moment of the reply proves nothing, since a reply may be delayed.

use core::time::Duration;
use poplarswitch_entity::Time;

/// Share of the bound on revocation after which the configuration is no longer acted on.
const USABLE_PERCENT: u32 = 90;

/// How long ago the configuration was proved to be the newest.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    confirmed_at: Option<Time>,
    max_age: Option<Duration>,
}

impl Freshness {
    /// With the bound on revocation, if it holds for VMs that are cut off.
    pub fn new(revocation: Option<Duration>) -> Self {
        Self {
            confirmed_at: None,
            max_age: revocation.map(|bound| bound * USABLE_PERCENT / 100),
        }
    }

    /// Takes a proof; returns whether it is newer than the one held.
    pub fn confirm(&mut self, sent: Time) -> bool {
        let newer = self.confirmed_at.is_none_or(|proved| sent > proved);
        if newer {
            self.confirmed_at = Some(sent);
        }
        newer
    }

    /// The moment of the newest proof.
    pub const fn confirmed_at(&self) -> Option<Time> {
        self.confirmed_at
    }

    /// The age of the newest proof.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed_at.map(|proved| now.since(proved))
    }

    /// Whether calls with a key may be admitted.
    pub fn is_usable(&self, now: Time) -> bool {
        match (self.max_age, self.age(now)) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(bound), Some(age)) => age <= bound,
        }
    }
}
