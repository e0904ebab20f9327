use crate::directory::choose;
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
fn each_address_is_drawn_in_proportion_to_its_weight() {
    let list = [address(1, 1), address(2, 0), address(3, 3)];
    let drawn: Vec<u16> = (0..8)
        .filter_map(|draw| choose(&list, draw))
        .map(|address| address.port())
        .collect();
    expect_that!(drawn, eq(&vec![1, 3, 3, 3, 1, 3, 3, 3]));
}

#[gtest]
fn a_list_without_weight_gives_no_address() {
    expect_that!(choose(&[], 7), none());
    expect_that!(choose(&[address(1, 0)], 7), none());
}
