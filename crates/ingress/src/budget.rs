//! The budget of repeats, shared by all VMs without talking.
//!
//! The bound holds for all VMs together: a share of the calls for a service, plus a fixed
//! allowance. Each VM spends the share of its own calls and its part of the allowance, so the
//! sum keeps the bound however the calls are spread.

use core::time::Duration;
use poplarswitch_entity::{ServiceName, Time};
use std::collections::{HashMap, VecDeque};

/// Share of the stated ratio that is spent; the rest covers calls that another VM counts.
const RATIO_SPENT: f64 = 0.75;
/// Share of the stated allowance that all VMs together spend.
const ALLOWANCE_SPENT: f64 = 0.6;
/// Length of a step of the sliding window.
const STEP: Duration = Duration::from_millis(500);

/// The stated bound.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimit {
    /// Repeats for each call.
    pub ratio: f64,
    /// Repeats beyond that, for all VMs.
    pub allowance: f64,
    /// The window in which both are counted.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    start: Time,
    calls: u32,
    repeats: u32,
}

/// Counts calls and repeats of each service over the window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    buckets: HashMap<ServiceName, VecDeque<Bucket>>,
}

impl RetryBudget {
    /// An unspent budget.
    pub fn new(limit: RetryLimit) -> Self {
        Self {
            limit,
            buckets: HashMap::new(),
        }
    }

    /// Counts a call for a service.
    pub fn record_call(&mut self, now: Time, service: &ServiceName) {
        self.bucket(now, service).calls += 1;
    }

    /// Takes a repeat if the budget allows it; `vms` share the allowance.
    pub fn try_take(&mut self, now: Time, service: &ServiceName, vms: usize) -> bool {
        let limit = self.limit;
        let step = self.bucket(now, service).start;
        let steps = &self.buckets[service];
        let repeats: u32 = steps.iter().map(|step| step.repeats).sum();
        // Calls of half a window only: a burst that has just ended must not pay for repeats.
        let recent = step - limit.window / 2;
        let calls = steps.iter().filter(|s| s.start >= recent);
        let calls: u32 = calls.map(|step| step.calls).sum();
        let allowance = limit.allowance * ALLOWANCE_SPENT / vms.max(1) as f64;
        let max_repeats = f64::from(calls) * limit.ratio * RATIO_SPENT + allowance;
        let allowed = f64::from(repeats) + 1.0 <= max_repeats;
        if allowed {
            self.bucket(now, service).repeats += 1;
        }
        allowed
    }

    fn bucket(&mut self, now: Time, service: &ServiceName) -> &mut Bucket {
        let steps = self.buckets.entry(service.clone()).or_default();
        let oldest = now - self.limit.window - STEP;
        while steps.front().is_some_and(|step| step.start < oldest) {
            steps.pop_front();
        }
        if steps
            .back()
            .is_none_or(|step| now.since(step.start) >= STEP)
        {
            steps.push_back(Bucket {
                start: now,
                ..Bucket::default()
            });
        }
        let last = steps.len() - 1;
        &mut steps[last]
    }
}
