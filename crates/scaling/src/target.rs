//! Numbers of engines of both kinds that a service needs, over all data centres.
//!
//! Engines that may be reclaimed go with all others of their data centre, so the needed capacity is
//! what remains without the largest such group: `lasting + spot * (n - 1) / n` for `n` data centres.

use crate::{History, Load, Policy};
use core::time::Duration;
use poplarswitch_entity::Time;

/// Share of the mean need that lasting engines serve alone.
const LASTING_SHARE: f64 = 0.35;
/// Time for which the load must have been observed before engines are counted by it.
const LEARN_TIME: Duration = Duration::from_secs(10);
/// Share of the engines that are kept as lasting ones while the load is unknown.
const UNKNOWN_LASTING: f64 = 0.25;
/// Window of the need that must be served now, also by lasting engines if there are no others.
const CURRENT_WINDOW: Duration = Duration::from_secs(4);
/// Growth by lasting engines, which cost more, while there are no others.
const LASTING_GROWTH: f64 = 1.15;
/// Ratio of the need to the engines above which calls are refused, so that more is needed than is
/// observed.
const SATURATED: f64 = 0.9;
/// Growth while engines are saturated.
const SATURATED_GROWTH: f64 = 1.4;

/// Number of engines of each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Target {
    /// Lasting engines.
    pub lasting: u32,
    /// Engines that may be reclaimed.
    pub spot: u32,
    /// Engines that have to remain without one data centre's spot engines.
    pub remaining: u32,
    /// Engines needed at the moment.
    pub current: u32,
    /// Whether the load decides, or else the engines that were there.
    pub load_known: bool,
}

/// Engines that accept calls, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Ready {
    pub(crate) lasting: u32,
    pub(crate) spot: u32,
}

impl Ready {
    /// Engines that remain without one data centre's spot engines.
    pub(crate) fn remaining(self, data_centres: usize) -> f64 {
        f64::from(self.lasting) + f64::from(self.spot) * kept_share(data_centres)
    }

    pub(crate) const fn total(self) -> u32 {
        self.lasting + self.spot
    }
}

/// Share of evenly distributed spot engines that is left when one data centre's are reclaimed.
fn kept_share(data_centres: usize) -> f64 {
    1.0 - 1.0 / data_centres.max(1) as f64
}

/// Computes the target. `installed` are the engines that were there before this VM's orders, and
/// `has_spot` tells whether there are engines that may be reclaimed.
pub(crate) fn target(
    now: Time,
    policy: &Policy,
    history: &History,
    ready: Ready,
    installed: Ready,
    data_centres: usize,
    has_spot: bool,
) -> Target {
    let mean = history.mean();
    let load_known = history.observed(now) >= LEARN_TIME;
    let base = installed.remaining(data_centres);
    let most = f64::from(history.most_ready()) * LASTING_GROWTH;
    let current = (history.peak(now, CURRENT_WINDOW) * policy.headroom).min(most);
    let peak = history.whole_peak(now) * policy.headroom;
    let mut remaining = peak.max(mean.engines() * policy.surge);
    if history.latest().engines() > f64::from(ready.total()) * SATURATED {
        remaining = remaining.max(f64::from(ready.total()) * SATURATED_GROWTH);
    }
    let mut lasting = lasting_need(mean);
    if !load_known {
        remaining = remaining.max(base);
        let kept = f64::from(installed.lasting).min(base * UNKNOWN_LASTING);
        lasting = lasting.max(kept);
    }
    // Without a second data centre a notice takes all spot engines at once.
    let kept_share = kept_share(data_centres);
    if kept_share == 0.0 {
        lasting = lasting.max(mean.engines());
    }
    let spot = if has_spot {
        (remaining - lasting).max(0.0) / kept_share.max(0.5)
    } else {
        lasting = lasting.max(remaining);
        0.0
    };
    Target {
        lasting: lasting.ceil() as u32,
        spot: spot.ceil() as u32,
        remaining: remaining.ceil() as u32,
        current: current.ceil() as u32,
        load_known,
    }
}

/// Lasting engines that a mean load needs whatever is reclaimed.
fn lasting_need(mean: Load) -> f64 {
    mean.least_strict().max(mean.engines() * LASTING_SHARE)
}
