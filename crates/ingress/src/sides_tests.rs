use crate::{Demand, Part, Prompt, Side, Sides};
use googletest::prelude::*;
use poplarswitch_entity::Time;

fn prompt(input: u32, output: u32) -> Prompt {
    Prompt {
        parts: vec![Part {
            id: 1,
            tokens: input,
        }],
        input,
        output,
        hint: None,
    }
}

fn demand(long: f64, short: f64) -> Demand {
    Demand::told(Time::ZERO, long, short)
}

#[gtest]
fn the_boundary_follows_the_work() {
    let mut sides = Sides::default();
    sides.update(18, demand(600.0, 400.0));
    expect_that!(sides.long(), eq(11));
    sides.update(18, demand(300.0, 700.0));
    expect_that!(sides.long(), eq(5));
}

#[gtest]
fn small_changes_do_not_move_it() {
    let mut sides = Sides::default();
    sides.update(18, demand(600.0, 400.0));
    expect_that!(sides.update(18, demand(620.0, 380.0)), eq(false));
    expect_that!(sides.long(), eq(11));
}

#[gtest]
fn both_sides_keep_an_endpoint() {
    let mut sides = Sides::default();
    sides.update(2, demand(1e9, 0.0));
    let endpoints = [0, 1];
    expect_that!(sides.split(Side::Long, &endpoints).0, eq(&[0]));
    expect_that!(sides.split(Side::Short, &endpoints).0, eq(&[1]));
}

#[gtest]
fn demand_fades() {
    let mut demand = Demand::default();
    demand.note(Time::ZERO, &prompt(8_190, 0), 8_190);
    expect_that!(demand.long, near(100.0, 1.0));
    expect_that!(demand.at(Time::from_millis(20_000)).long, lt(15.0));
    expect_that!(demand.short, eq(0.0));
}
