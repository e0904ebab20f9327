use crate::Account;
use googletest::prelude::*;
use poplarswitch_entity::Time;

fn account() -> Account {
    let mut account = Account::new(2, Time::ZERO);
    account.set_limits(10, 3, 3);
    account
}

#[gtest]
fn a_lower_tiers_flood_leaves_the_higher_tiers_tokens() {
    let mut account = account();
    let low = (0..50)
        .filter(|_| account.take_token(Time::ZERO, 1))
        .count();
    expect_that!(low, eq(10));
    expect_that!(account.take_token(Time::ZERO, 0), eq(true));
}

#[gtest]
fn a_higher_tiers_calls_use_up_the_lower_tiers_tokens() {
    let mut account = account();
    let high = (0..10)
        .filter(|_| account.take_token(Time::ZERO, 0))
        .count();
    expect_that!(high, eq(10));
    expect_that!(account.take_token(Time::ZERO, 1), eq(false));
    expect_that!(account.token_wait(1), near(0.1, 1e-6));
    expect_that!(account.take_token(Time::from_millis(200), 1), eq(true));
}

#[gtest]
fn a_lower_tiers_queue_leaves_the_higher_tiers_room() {
    let mut account = account();
    (0..3).for_each(|_| account.add_queued(1));
    (0..3).for_each(|_| account.add_running(1));
    expect_that!(account.can_queue(1), eq(false));
    expect_that!(account.can_run(1), eq(false));
    expect_that!(account.can_queue(0), eq(true));
    expect_that!(account.can_run(0), eq(true));
    account.remove_queued(1);
    expect_that!(account.can_queue(1), eq(true));
}
