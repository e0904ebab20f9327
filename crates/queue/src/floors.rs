//! The share of dispatches that each lower tier is guaranteed.
//!
//! A tier earns credit at each dispatch of its route that passes it over while it has
//! work waiting. With a full unit it is due, and tiers that are due are served in the
//! order in which they became so. The floors together may take half of the dispatches at
//! most, so the highest tier keeps the other half.

/// Credit that makes a tier due, in hundredths of a percent of a dispatch.
const UNIT: u32 = 10_000;
/// Credit units per percent.
const PER_PERCENT: u32 = 100;
/// Floor of a tier that declares none, in percent.
const DEFAULT_PERCENT: u32 = 2;
/// Most that all floors may take together, in credit per dispatch.
const MAX_TOTAL: u32 = UNIT / 2;

#[derive(Clone, Debug, Default)]
struct Floor {
    /// Earned at each dispatch that passes the tier over.
    gain: u32,
    credit: u32,
    /// Dispatch at which the tier became due.
    due: Option<u64>,
}

/// Credits of the tiers of one route, from the highest tier to the lowest.
#[derive(Clone, Debug, Default)]
pub struct Floors {
    floors: Vec<Floor>,
    dispatches: u64,
}

impl Floors {
    /// Takes the declared floors in percent, from the highest tier to the lowest.
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

    /// The tiers in the order in which they are to be tried; those that are due come first.
    pub fn order(&self) -> impl Iterator<Item = (usize, bool)> + use<> {
        let mut due: Vec<(u64, usize)> = Vec::new();
        for (tier, floor) in self.floors.iter().enumerate() {
            due.extend(floor.due.map(|since| (since, tier)));
        }
        due.sort_unstable();
        let first = due.into_iter().map(|(_, tier)| (tier, true));
        first.chain((0..self.floors.len()).map(|tier| (tier, false)))
    }

    /// Counts a dispatch of a tier; `waits` tells which tiers have work waiting.
    pub fn record_dispatch(&mut self, tier: usize, waits: impl Fn(usize) -> bool) {
        self.dispatches += 1;
        for (index, floor) in self.floors.iter_mut().enumerate() {
            if index == tier || !waits(index) {
                floor.credit = 0;
                floor.due = None;
                continue;
            }
            floor.credit = (floor.credit + floor.gain).min(UNIT);
            if floor.credit >= UNIT && floor.due.is_none() {
                floor.due = Some(self.dispatches);
            }
        }
    }
}

/// Most dispatches of a route that pass over a tier while it has work that no limit of its
/// own holds back; takes the declared floors in percent, from the highest tier.
pub fn starvation_bound(percents: &[u8], tier: usize) -> u64 {
    let tiers = percents.len() as u64;
    match gains(percents)[tier] {
        // Each lower tier may be due once, and all together earn half of what they use.
        0 => 2 * (tiers - 1),
        // The tier earns a unit, then waits for the lower tiers that became due before it.
        gain => u64::from(UNIT.div_ceil(gain)) + tiers - 2,
    }
}

fn gains(percents: &[u8]) -> Vec<u32> {
    let declared = percents
        .iter()
        .enumerate()
        .map(|(tier, percent)| match tier {
            0 => 0,
            _ if *percent == 0 => DEFAULT_PERCENT * PER_PERCENT,
            _ => u32::from(*percent) * PER_PERCENT,
        });
    let wanted: Vec<u32> = declared.collect();
    let total: u32 = wanted.iter().sum();
    if total <= MAX_TOTAL {
        return wanted;
    }
    let scaled = |gain: u32| (u64::from(gain) * u64::from(MAX_TOTAL) / u64::from(total)) as u32;
    wanted.into_iter().map(scaled).collect()
}
