//! The load of one endpoint: own calls are counted, those of others inferred from load reports.
//!
//! A load report describes a moment in the past. It is compared with the largest number of own
//! calls in the time that it may describe, and only the excess counts as calls of others. A
//! report older than the maximum age is ignored: the load of others is unknown then, not zero.

use core::time::Duration;
use poplarswitch_entity::Time;

/// Age above which a load report is ignored.
pub(crate) const MAX_REPORT_AGE: Duration = Duration::from_secs(2);

#[derive(Debug, Default)]
pub(crate) struct Load {
    own: u32,
    /// Largest number of own calls in the current and the previous window.
    peaks: [u32; 2],
    /// Index of the current window; a window is as long as the maximum age of a report.
    window: u64,
    external: Option<u32>,
    expires: Time,
}

impl Load {
    pub(crate) const fn own(&self) -> u32 {
        self.own
    }

    /// Calls of others, if there is a recent report.
    pub(crate) fn external(&self) -> Option<f64> {
        self.external.map(f64::from)
    }

    pub(crate) fn add(&mut self, now: Time) {
        self.advance_window(now);
        self.own += 1;
        self.peaks[0] = self.peaks[0].max(self.own);
    }

    pub(crate) fn remove(&mut self, now: Time) {
        self.advance_window(now);
        self.own = self.own.saturating_sub(1);
    }

    /// Records a report; returns the time at which it expires, or `None` if it is too old.
    pub(crate) fn record_report(&mut self, now: Time, calls: u32, age: Duration) -> Option<Time> {
        self.advance_window(now);
        let remaining = MAX_REPORT_AGE
            .checked_sub(age)
            .filter(|remaining| !remaining.is_zero())?;
        let own = self.peaks[0].max(self.peaks[1]);
        self.external = Some(calls.saturating_sub(own));
        self.expires = now + remaining;
        Some(self.expires)
    }

    /// Drops a report that has expired; returns whether there was one.
    pub(crate) fn expire(&mut self, now: Time) -> bool {
        if self.external.is_none() || now < self.expires {
            return false;
        }
        self.external = None;
        true
    }

    fn advance_window(&mut self, now: Time) {
        let window = now.0 / MAX_REPORT_AGE.as_micros() as u64;
        if window == self.window {
            return;
        }
        let previous = if window == self.window + 1 {
            self.peaks[0]
        } else {
            self.own
        };
        self.peaks = [self.own, previous];
        self.window = window;
    }
}
