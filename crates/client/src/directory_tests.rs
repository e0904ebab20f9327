use crate::directory::choose_weighted;
use googletest::prelude::*;
use poplarswitch_wire::WeightedAddress;

fn address(port: u16, weight: u32) -> WeightedAddress {
    WeightedAddress {
        vm: "vm".into(),
        data_centre: "a".into(),
        address: ([127, 0, 0, 1], port).into(),
        weight,
    }
}

#[gtest]
fn address_is_chosen_in_proportion_to_its_weight() {
    let list = [address(1, 1), address(2, 0), address(3, 3)];
    let ports: Vec<u16> = (0..8)
        .filter_map(|draw| choose_weighted(&list, draw))
        .map(|address| address.port())
        .collect();
    expect_that!(ports, eq(&vec![1, 3, 3, 3, 1, 3, 3, 3]));
}

#[gtest]
fn list_without_weights_gives_no_address() {
    expect_that!(choose_weighted(&[], 7), none());
    expect_that!(choose_weighted(&[address(1, 0)], 7), none());
}
