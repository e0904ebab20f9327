//! The load of one endpoint: own calls exactly, everybody else's by lagging reports.
//!
//! A report describes the past, so it is compared with the most own calls that ran in the
//! time that it may describe; only the excess is others' load. A report older than the
//! bound says nothing, which is not the same as saying that the endpoint is idle.

use core::time::Duration;
use poplarswitch_entity::Time;

/// Age beyond which a load report counts as unknown.
pub(crate) const REPORT_BOUND: Duration = Duration::from_secs(2);

#[derive(Debug, Default)]
pub(crate) struct Load {
    own: u32,
    /// Most own calls in the current and the previous span.
    peaks: [u32; 2],
    span: u64,
    foreign: Option<u32>,
    expires: Time,
}

impl Load {
    pub(crate) const fn own(&self) -> u32 {
        self.own
    }

    /// Others' calls, if a recent report tells.
    pub(crate) fn foreign(&self) -> Option<f64> {
        self.foreign.map(f64::from)
    }

    pub(crate) fn add(&mut self, now: Time) {
        self.roll(now);
        self.own += 1;
        self.peaks[0] = self.peaks[0].max(self.own);
    }

    pub(crate) fn remove(&mut self, now: Time) {
        self.roll(now);
        self.own = self.own.saturating_sub(1);
    }

    /// Takes a report; gives the time at which it expires.
    pub(crate) fn report(&mut self, now: Time, calls: u32, age: Duration) -> Option<Time> {
        self.roll(now);
        let left = REPORT_BOUND
            .checked_sub(age)
            .filter(|left| !left.is_zero())?;
        let own = self.peaks[0].max(self.peaks[1]);
        self.foreign = Some(calls.saturating_sub(own));
        self.expires = now + left;
        Some(self.expires)
    }

    /// Forgets a report that has expired; tells whether there was one.
    pub(crate) fn expire(&mut self, now: Time) -> bool {
        if self.foreign.is_none() || now < self.expires {
            return false;
        }
        self.foreign = None;
        true
    }

    fn roll(&mut self, now: Time) {
        let span = now.0 / REPORT_BOUND.as_micros() as u64;
        if span == self.span {
            return;
        }
        let before = if span == self.span + 1 {
            self.peaks[0]
        } else {
            self.own
        };
        self.peaks = [self.own, before];
        self.span = span;
    }
}
