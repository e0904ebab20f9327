//! Tiers have one order, and their floors fit into the whole.

use crate::{Code, Findings, finding::Spot};
use poplarswitch_objects::{Kind, ObjectSet};
use std::collections::BTreeMap;

const WHOLE_PERCENT: u32 = 100;

pub(crate) fn check(set: &ObjectSet, findings: &mut Findings) {
    let mut ranks: BTreeMap<u8, &str> = BTreeMap::new();
    for (index, tier) in set.tiers.iter().enumerate() {
        let spot = Spot {
            kind: Kind::Tier,
            index,
            name: tier.name.as_str(),
        };
        match ranks.get(&tier.rank) {
            Some(other) if *other != tier.name.as_str() => {
                let message = format!("tier {other} has rank {} too, expected its own", tier.rank);
                findings.add(spot, Code::RankConflict, "rank", message);
            }
            Some(_) => {}
            None => {
                ranks.insert(tier.rank, tier.name.as_str());
            }
        }
    }
    let floors: u32 = set.tiers.iter().map(|t| u32::from(t.floor_percent)).sum();
    if floors > WHOLE_PERCENT {
        let message = format!(
            "the `floor_percent` of all tiers add up to {floors}, expected at most {WHOLE_PERCENT}"
        );
        findings.add_of_set(Code::FloorsTooHigh, message);
    }
}
