//! Checks that the ranks of tiers are unique and that their floors add up to at most 100 percent.

use crate::{Code, Findings, finding::Subject};
use poplarswitch_objects::{Kind, ObjectSet};
use std::collections::BTreeMap;

const WHOLE_PERCENT: u32 = 100;

pub(crate) fn check(set: &ObjectSet, findings: &mut Findings) {
    let mut ranks: BTreeMap<u8, &str> = BTreeMap::new();
    for (index, tier) in set.tiers.iter().enumerate() {
        let subject = Subject {
            kind: Kind::Tier,
            index,
            name: tier.name.as_str(),
        };
        match ranks.get(&tier.rank) {
            Some(other) if *other != tier.name.as_str() => {
                let message = format!(
                    "tier {other} also has rank {}, expected a unique one",
                    tier.rank
                );
                findings.add(subject, Code::RankConflict, "rank", message);
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
            "the `floor_percent` values of all tiers add up to {floors}, expected at most {WHOLE_PERCENT}"
        );
        findings.add_for_set(Code::FloorsTooHigh, message);
    }
}
