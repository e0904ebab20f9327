use crate::Account;
use googletest::prelude::*;
use poplarswitch_entity::Time;

fn account() -> Account {
    let mut account = Account::new(2, Time::ZERO);
    account.set_limits(10, 3, 3);
    account
}

#[gtest]
fn lower_tier_calls_leave_the_tokens_of_a_higher_tier() {
    let mut account = account();
    let admitted = (0..50)
        .filter(|_| account.take_token(Time::ZERO, 1))
        .count();
    expect_that!(admitted, eq(10));
    expect_that!(account.take_token(Time::ZERO, 0), eq(true));
}

#[gtest]
fn higher_tier_calls_use_the_tokens_of_a_lower_tier() {
    let mut account = account();
    let admitted = (0..10)
        .filter(|_| account.take_token(Time::ZERO, 0))
        .count();
    expect_that!(admitted, eq(10));
    expect_that!(account.take_token(Time::ZERO, 1), eq(false));
    expect_that!(account.token_wait(1), near(0.1, 1e-6));
    expect_that!(account.take_token(Time::from_millis(200), 1), eq(true));
}

#[gtest]
fn lower_tier_calls_leave_the_limits_of_a_higher_tier() {
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
