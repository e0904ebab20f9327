use crate::{RetryBudget, RetryLimit};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::{ServiceName, Time};

const SHARE: RetryLimit = RetryLimit {
    ratio: 0.2,
    allowance: 58.0,
    window: Duration::from_secs(10),
};

/// Answers get lost at every VM at once: all repeat as often as they may.
#[gtest]
fn all_vms_together_keep_the_stated_bound() {
    let service = ServiceName::new("chat");
    for vms in [1, 6, 9, 87] {
        let mut budgets: Vec<RetryBudget> = (0..vms).map(|_| RetryBudget::new(SHARE)).collect();
        let mut taken: Vec<(u64, u32)> = Vec::new();
        let mut calls: Vec<(u64, u32)> = Vec::new();
        for step in 0..300_u64 {
            let now = Time::from_millis(step * 100);
            // A burst in the middle, which is over when most repeats are wanted.
            let each = if (100..150).contains(&step) { 3 } else { 1 };
            for budget in &mut budgets {
                for _ in 0..each {
                    budget.record_call(now, &service);
                }
                let repeats = (0..5)
                    .filter(|_| budget.try_take(now, &service, vms))
                    .count();
                taken.push((step, repeats as u32));
            }
            calls.push((step, each * vms as u32));
        }
        for start in 0..200 {
            let within = |at: u64| (start..start + 100).contains(&at);
            let repeats: u32 = taken
                .iter()
                .filter(|(at, _)| within(*at))
                .map(|(_, n)| n)
                .sum();
            let asked: u32 = calls
                .iter()
                .filter(|(at, _)| within(*at))
                .map(|(_, n)| n)
                .sum();
            let bound = f64::from(asked) * SHARE.ratio + SHARE.allowance;
            assert_that!(
                f64::from(repeats),
                le(bound),
                "{vms} VMs, window from step {start}"
            );
        }
    }
}

#[gtest]
fn one_service_does_not_pay_for_another() {
    let mut budget = RetryBudget::new(SHARE);
    let (chat, seats) = (ServiceName::new("chat"), ServiceName::new("seats"));
    while budget.try_take(Time::ZERO, &chat, 1) {}
    expect_that!(budget.try_take(Time::ZERO, &seats, 1), eq(true));
}
