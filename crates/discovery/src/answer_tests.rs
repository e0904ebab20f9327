use crate::{Query, answer};
use core::net::SocketAddr;
use googletest::prelude::*;
use poplarswitch_entity::Incarnation;
use poplarswitch_keys::Token;
use poplarswitch_members::{Identity, Member, State};

fn member(index: u16, data_centre: &str, state: State, load: u16) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], index));
    let identity = Identity::builder()
        .vm(format!("vm-{index}").as_str())
        .incarnation(Incarnation(u64::from(index)))
        .started(0)
        .data_centre(data_centre)
        .cell(data_centre)
        .address(address)
        .caller_address(address)
        .build();
    Member {
        identity,
        state,
        load,
        linked: true,
    }
}

fn query(data_centre: &str) -> Query {
    Query {
        data_centre: Some(data_centre.into()),
        minute: 5,
    }
}

#[gtest]
fn only_alive_members_are_listed() {
    let states = [State::Alive, State::Suspect, State::Leaving, State::Gone];
    let members: Vec<Member> = (1..)
        .zip(states)
        .map(|(index, state)| member(index, "a", state, 0))
        .collect();
    let answer = answer(&query("a"), &members, None);
    expect_that!(answer.addresses.len(), eq(1));
    expect_that!(answer.addresses[0].address.port(), eq(1));
}

#[gtest]
fn excluded_member_is_not_listed() {
    let members = [
        member(1, "a", State::Alive, 0),
        member(2, "a", State::Alive, 0),
    ];
    let answer = answer(&query("a"), &members, Some(Incarnation(1)));
    expect_that!(answer.addresses.len(), eq(1));
    expect_that!(answer.addresses[0].address.port(), eq(2));
}

#[gtest]
fn idle_members_in_the_same_data_centre_come_first() {
    let members = [
        member(1, "b", State::Alive, 0),
        member(2, "a", State::Alive, 500),
        member(3, "a", State::Alive, 0),
        member(4, "a", State::Alive, 900),
    ];
    let answer = answer(&query("a"), &members, None);
    let ports: Vec<u16> = answer
        .addresses
        .iter()
        .map(|candidate| candidate.address.port())
        .collect();
    expect_that!(ports, elements_are![eq(&3), eq(&2), eq(&1), eq(&4)]);
}

#[gtest]
fn key_tokens_name_the_member_and_the_minute() {
    let members = [member(9, "a", State::Alive, 0)];
    let answer = answer(&query("a"), &members, None);
    let token: Token = answer.addresses[0].key_token.parse().expect("a token");
    let home = Incarnation(9);
    expect_that!(token, eq(Token { home, minute: 5 }));
}
