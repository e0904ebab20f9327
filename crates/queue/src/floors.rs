//! The floors: shares of the dispatches guaranteed to the tiers below the highest.
//!
//! A tier with waiting calls earns credit at each dispatch of its route that goes to another
//! tier. A tier whose credit is worth one dispatch is due; due tiers are served before all
//! others, in the order in which they became due. All floors together take at most half of
//! the dispatches, so the highest tier keeps the other half.

/// Credit at which a tier is due: one dispatch, in hundredths of a percent of a dispatch.
const DUE_CREDIT: u32 = 10_000;
/// Credit per percent of a dispatch.
const CREDIT_PER_PERCENT: u32 = 100;
/// Floor of a lower tier that declares none, in percent.
const DEFAULT_FLOOR_PERCENT: u32 = 2;
/// Largest sum of all floors, in credit per dispatch.
const MAX_TOTAL_GAIN: u32 = DUE_CREDIT / 2;

#[derive(Clone, Debug, Default)]
struct Floor {
    /// Credit earned at each dispatch of another tier.
    gain: u32,
    credit: u32,
    /// Number of the dispatch at which the tier became due.
    due_since: Option<u64>,
}

/// Floors and credits of the tiers of one route, from the highest tier to the lowest.
#[derive(Clone, Debug, Default)]
pub struct Floors {
    floors: Vec<Floor>,
    dispatches: u64,
}

impl Floors {
    /// Creates floors from the declared percentages, from the highest tier to the lowest.
    ///
    /// The highest tier has no floor. Zero stands for the default floor of 2 percent.
    pub fn new(percents: &[u8]) -> Self {
        let floors = gains(percents)
            .into_iter()
            .map(|gain| Floor {
                gain,
                ..Floor::default()
            })
            .collect();
        Self {
            floors,
            dispatches: 0,
        }
    }

    /// The tiers in the order in which they are tried, each with whether it is due.
    ///
    /// Due tiers come first; then all tiers follow from the highest to the lowest.
    pub fn order(&self) -> impl Iterator<Item = (usize, bool)> + use<> {
        let mut due: Vec<(u64, usize)> = Vec::new();
        for (tier, floor) in self.floors.iter().enumerate() {
            due.extend(floor.due_since.map(|since| (since, tier)));
        }
        due.sort_unstable();
        let first = due.into_iter().map(|(_, tier)| (tier, true));
        first.chain((0..self.floors.len()).map(|tier| (tier, false)))
    }

    /// Records a dispatch of a tier; `is_waiting` says which tiers have waiting calls.
    pub fn record_dispatch(&mut self, tier: usize, is_waiting: impl Fn(usize) -> bool) {
        self.dispatches += 1;
        for (index, floor) in self.floors.iter_mut().enumerate() {
            if index == tier || !is_waiting(index) {
                floor.credit = 0;
                floor.due_since = None;
                continue;
            }
            floor.credit = (floor.credit + floor.gain).min(DUE_CREDIT);
            if floor.credit >= DUE_CREDIT && floor.due_since.is_none() {
                floor.due_since = Some(self.dispatches);
            }
        }
    }
}

/// The most consecutive dispatches of a route that go to other tiers while a tier has waiting
/// calls that its own limits would allow to be dispatched.
///
/// `percents` are the declared floors, from the highest tier to the lowest.
pub fn starvation_bound(percents: &[u8], tier: usize) -> u64 {
    let tiers = percents.len() as u64;
    match gains(percents)[tier] {
        // Each lower tier may be due once. While these are served, the lower tiers together
        // earn at most half a dispatch of new credit per dispatch, so the sum is at most twice
        // their number.
        0 => 2 * (tiers - 1),
        // The tier earns credit for one dispatch, then waits for the other tiers with a floor
        // that became due before it.
        gain => u64::from(DUE_CREDIT.div_ceil(gain)) + tiers - 2,
    }
}

fn gains(percents: &[u8]) -> Vec<u32> {
    let declared = percents
        .iter()
        .enumerate()
        .map(|(tier, percent)| match tier {
            0 => 0,
            _ if *percent == 0 => DEFAULT_FLOOR_PERCENT * CREDIT_PER_PERCENT,
            _ => u32::from(*percent) * CREDIT_PER_PERCENT,
        });
    let wanted: Vec<u32> = declared.collect();
    let total: u32 = wanted.iter().sum();
    if total <= MAX_TOTAL_GAIN {
        return wanted;
    }
    let scaled =
        |gain: u32| (u64::from(gain) * u64::from(MAX_TOTAL_GAIN) / u64::from(total)) as u32;
    wanted.into_iter().map(scaled).collect()
}
