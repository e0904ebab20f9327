//! Recent load of a service's engines: its mean, and its peak over a window.

use core::time::Duration;
use poplarswitch_entity::Time;
use std::collections::VecDeque;

/// Utilisation of an engine up to which calls with a strict objective seldom wait for one another.
const STRICT_UTILISATION: f64 = 0.55;
/// Utilisation of an engine up to which calls with a relaxed objective seldom wait for one another.
const RELAXED_UTILISATION: f64 = 0.85;
/// Window of the peak; bursts last 3 to 9 s and come again within tens of seconds.
const PEAK_WINDOW: Duration = Duration::from_secs(30);
/// Time for which engines that are gone count for what the load can be.
const LOST_TIME: Duration = Duration::from_secs(10);
/// Length of the intervals whose peaks are kept.
const INTERVAL: Duration = Duration::from_secs(1);
/// Time constant of the mean.
const MEAN_TIME: Duration = Duration::from_secs(10);
/// Ratio of the need to the engines up to which it is believed: work that is sent again because
/// engines are overloaded counts each time.
const MAX_NEED_RATIO: f64 = 1.25;
/// Load in busy engines below which a service counts as unused.
const MIN_LOAD: f64 = 0.5;

/// Work of all VMs' calls, in engines that it keeps busy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Of calls with a relaxed latency objective.
    pub relaxed: f64,
    /// Of calls with a strict latency objective.
    pub strict: f64,
}

impl Load {
    /// Engines that serve this load without waits.
    pub fn engines(self) -> f64 {
        self.relaxed / RELAXED_UTILISATION + self.strict_engines()
    }

    /// Engines that serve the part with strict objectives without waits.
    pub fn strict_engines(self) -> f64 {
        self.strict / STRICT_UTILISATION
    }

    /// Engines that serve the part with strict objectives, though some of it waits.
    pub fn least_strict(self) -> f64 {
        self.strict / RELAXED_UTILISATION
    }

    /// Whether there is any load to speak of.
    pub(crate) fn is_used(self) -> bool {
        self.relaxed + self.strict >= MIN_LOAD
    }
}

/// Recent load.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Start of each interval and the engines needed at its peak.
    peaks: VecDeque<(Time, f64)>,
    /// Start of each interval and the most engines that accepted calls in it.
    ready: VecDeque<(Time, u32)>,
    mean: Load,
    last: Option<(Time, Load)>,
    /// When the load was first seen.
    begun: Option<Time>,
}

impl History {
    /// Records the load as of `now`, which `ready` engines serve. While there are none, the load can be
    /// what the last ones served.
    pub fn record(&mut self, now: Time, load: Load, ready: u32) {
        match self.ready.back_mut() {
            _ if ready == 0 => {}
            Some((start, most)) if now.since(*start) < INTERVAL => *most = ready.max(*most),
            _ => self.ready.push_back((now, ready)),
        }
        let is_old = |(start, _): &(Time, u32)| now.since(*start) > LOST_TIME;
        while ready > 0 && self.ready.front().is_some_and(is_old) {
            self.ready.pop_front();
        }
        let believed = f64::from(self.most_ready()) * MAX_NEED_RATIO;
        let factor = (believed / load.engines().max(1.0)).min(1.0);
        let load = Load {
            relaxed: load.relaxed * factor,
            strict: load.strict * factor,
        };
        if self.begun.is_none() && !load.is_used() {
            return;
        }
        self.begun.get_or_insert(now);
        match &mut self.last {
            Some((at, _)) => {
                let weight = now.since(*at).as_secs_f64() / MEAN_TIME.as_secs_f64();
                let weight = 1.0 - (-weight).exp();
                self.mean.relaxed += (load.relaxed - self.mean.relaxed) * weight;
                self.mean.strict += (load.strict - self.mean.strict) * weight;
            }
            None => self.mean = load,
        }
        self.last = Some((now, load));
        let needed = load.engines();
        match self.peaks.back_mut() {
            Some((start, peak)) if now.since(*start) < INTERVAL => *peak = peak.max(needed),
            _ => self.peaks.push_back((now, needed)),
        }
        let is_old = |(start, _): &(Time, f64)| now.since(*start) > PEAK_WINDOW;
        while self.peaks.front().is_some_and(is_old) {
            self.peaks.pop_front();
        }
    }

    /// Most engines that have lately accepted calls.
    pub fn most_ready(&self) -> u32 {
        let most = self.ready.iter().map(|(_, most)| *most).max();
        most.unwrap_or_default()
    }

    /// Whether any load has been seen.
    pub const fn has_begun(&self) -> bool {
        self.begun.is_some()
    }

    /// Time for which the load has been observed.
    pub fn observed(&self, now: Time) -> Duration {
        self.begun.map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Engines needed at the peak of the last `window`, which is at most [`PEAK_WINDOW`].
    pub fn peak(&self, now: Time, window: Duration) -> f64 {
        let recent = self.peaks.iter().rev();
        let recent = recent.take_while(|(start, _)| now.since(*start) <= window + INTERVAL);
        recent.map(|(_, needed)| *needed).fold(0.0, f64::max)
    }

    /// Engines needed at the peak of the whole window.
    pub fn whole_peak(&self, now: Time) -> f64 {
        self.peak(now, PEAK_WINDOW)
    }

    /// Mean load.
    pub const fn mean(&self) -> Load {
        self.mean
    }

    /// Latest load.
    pub fn latest(&self) -> Load {
        self.last.map_or_else(Load::default, |(_, load)| load)
    }
}
