use crate::{RetryBudget, RetryLimit};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::{ServiceName, Time};

const LIMIT: RetryLimit = RetryLimit {
    ratio: 0.2,
    allowance: 58.0,
    window: Duration::from_secs(10),
};

/// Answers are lost on all VMs at once, so that each VM retries as often as its budget allows.
#[gtest]
fn retries_of_all_vms_stay_within_the_limit() {
    let service = ServiceName::new("chat");
    for vms in [1, 6, 9, 87] {
        let mut budgets: Vec<RetryBudget> = (0..vms).map(|_| RetryBudget::new(LIMIT)).collect();
        let mut taken: Vec<(u64, u32)> = Vec::new();
        let mut calls: Vec<(u64, u32)> = Vec::new();
        for step in 0..300_u64 {
            let now = Time::from_millis(step * 100);
            // A burst in the middle; most retries are requested after it has ended.
            let each = if (100..150).contains(&step) { 3 } else { 1 };
            for budget in &mut budgets {
                for _ in 0..each {
                    budget.record_call(now, &service);
                }
                let retries = (0..5)
                    .filter(|_| budget.try_take(now, &service, vms))
                    .count();
                taken.push((step, retries as u32));
            }
            calls.push((step, each * vms as u32));
        }
        for start in 0..200 {
            let within = |at: u64| (start..start + 100).contains(&at);
            let retries: u32 = taken
                .iter()
                .filter(|(at, _)| within(*at))
                .map(|(_, n)| n)
                .sum();
            let call_count: u32 = calls
                .iter()
                .filter(|(at, _)| within(*at))
                .map(|(_, n)| n)
                .sum();
            let bound = f64::from(call_count) * LIMIT.ratio + LIMIT.allowance;
            assert_that!(
                f64::from(retries),
                le(bound),
                "{vms} VMs, window from step {start}"
            );
        }
    }
}

#[gtest]
fn services_have_separate_budgets() {
    let mut budget = RetryBudget::new(LIMIT);
    let (chat, seats) = (ServiceName::new("chat"), ServiceName::new("seats"));
    while budget.try_take(Time::ZERO, &chat, 1) {}
    expect_that!(budget.try_take(Time::ZERO, &seats, 1), eq(true));
}

/// Asking whether a retry is allowed must not use the budget up.
#[gtest]
fn asking_for_a_retry_charges_nothing() {
    let service = ServiceName::new("chat");
    let mut budget = RetryBudget::new(LIMIT);
    let asked = (0..1_000).all(|_| budget.allows(Time::ZERO, &service, 1));
    expect_that!(asked, eq(true));
    let taken = (0..1_000)
        .filter(|_| budget.try_take(Time::ZERO, &service, 1))
        .count();
    expect_that!(taken, all![ge(1), le(LIMIT.allowance as usize)]);
    expect_that!(budget.allows(Time::ZERO, &service, 1), eq(false));
}

/// A call that went through another VM was counted at both, which allowed more retries than the limit.
#[gtest]
fn forwarded_call_counts_at_the_vm_that_sends_it_only() {
    let service = ServiceName::new("chat");
    let now = Time::from_millis(1_000);
    let retries = |budget: &mut RetryBudget| {
        (0..1_000)
            .filter(|_| budget.try_take(now, &service, 1))
            .count()
    };
    let mut unused = RetryBudget::new(LIMIT);
    let mut forwarding = RetryBudget::new(LIMIT);
    for _ in 0..200 {
        forwarding.record_call(now, &service);
        forwarding.uncount_call(now, &service);
    }
    forwarding.uncount_call(now, &service);
    expect_that!(retries(&mut forwarding), eq(retries(&mut unused)));
}
