use crate::EndpointKey;
use crate::ring::Ring;
use googletest::prelude::*;
use poplarswitch_entity::{EndpointName, PrefixHash};
use slotmap::SlotMap;

fn endpoints(count: usize) -> Vec<(EndpointKey, EndpointName)> {
    let mut map: SlotMap<EndpointKey, ()> = SlotMap::with_key();
    let name = |index: usize| EndpointName::new(format!("e{index}"));
    (0..count)
        .map(|index| (map.insert(()), name(index)))
        .collect()
}

fn ring(endpoints: &[(EndpointKey, EndpointName)]) -> Ring {
    Ring::new(endpoints.iter().map(|(key, name)| (*key, name)))
}

#[gtest]
fn removed_endpoint_moves_only_its_own_prefixes() {
    let endpoints = endpoints(20);
    let (full, reduced) = (ring(&endpoints), ring(&endpoints[1..]));
    let first = |ring: &Ring, prefix| ring.choices(PrefixHash(prefix)).next().expect("a choice");
    for prefix in 0..2_000 {
        let before = first(&full, prefix);
        if before != endpoints[0].0 {
            expect_that!(first(&reduced, prefix), eq(before));
        }
    }
}

#[gtest]
fn choices_are_distinct_and_spread_over_all_endpoints() {
    let endpoints = endpoints(20);
    let ring = ring(&endpoints);
    let mut counts = vec![0; endpoints.len()];
    for prefix in 0..10_000 {
        let choices: Vec<EndpointKey> = ring.choices(PrefixHash(prefix)).collect();
        expect_that!(choices.len(), ge(2));
        expect_that!(choices[0], not(eq(choices[1])));
        let index = endpoints.iter().position(|(key, _)| *key == choices[0]);
        counts[index.expect("known endpoint")] += 1;
    }
    expect_that!(counts, each(all![ge(&150), le(&1_200)]));
}

#[gtest]
fn empty_ring_has_no_choices() {
    expect_that!(Ring::default().choices(PrefixHash(1)).count(), eq(0));
}
