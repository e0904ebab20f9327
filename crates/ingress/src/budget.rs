//! Retry budget that holds across all VMs without coordination.
//!
//! The limit holds for the sum of all VMs: a share of the calls for a service, plus a fixed
//! allowance. Each VM spends that share of its own calls and an equal part of the allowance, so the
//! sum stays within the limit however calls are distributed over the VMs.

use core::time::Duration;
use poplarswitch_entity::{ServiceName, Time};
use std::collections::{HashMap, VecDeque};

/// Fraction of the configured ratio that a VM spends; the rest covers calls that are counted by
/// another VM.
const RATIO_FRACTION: f64 = 0.75;
/// Fraction of the configured allowance that all VMs together spend.
const ALLOWANCE_FRACTION: f64 = 0.6;
/// Length of a bucket of the sliding window.
const BUCKET_LENGTH: Duration = Duration::from_millis(500);

/// Configured limit on retries.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimit {
    /// Retries per call.
    pub ratio: f64,
    /// Additional retries in a window, for all VMs together.
    pub allowance: f64,
    /// Sliding window over which calls and retries are counted.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    start: Time,
    calls: u32,
    retries: u32,
}

/// Counts the calls and retries of each service in the sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    buckets: HashMap<ServiceName, VecDeque<Bucket>>,
}

impl RetryBudget {
    /// Creates an unspent budget.
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

    /// Takes back a call that another VM counts.
    pub fn uncount_call(&mut self, now: Time, service: &ServiceName) {
        let bucket = self.bucket(now, service);
        bucket.calls = bucket.calls.saturating_sub(1);
    }

    /// Counts a retry and returns true if the budget allows it; `vms` is the number of VMs that
    /// share the allowance.
    pub fn try_take(&mut self, now: Time, service: &ServiceName, vms: usize) -> bool {
        let allowed = self.allows(now, service, vms);
        if allowed {
            self.bucket(now, service).retries += 1;
        }
        allowed
    }

    /// Whether the budget allows a retry, without counting it.
    pub fn allows(&mut self, now: Time, service: &ServiceName, vms: usize) -> bool {
        let limit = self.limit;
        let bucket_start = self.bucket(now, service).start;
        let buckets = &self.buckets[service];
        let retries: u32 = buckets.iter().map(|bucket| bucket.retries).sum();
        // Only calls of the last half window count, so that a burst that has just ended adds no
        // retries.
        let half_window_start = bucket_start - limit.window / 2;
        let calls = buckets
            .iter()
            .filter(|bucket| bucket.start >= half_window_start);
        let calls: u32 = calls.map(|bucket| bucket.calls).sum();
        let allowance = limit.allowance * ALLOWANCE_FRACTION / vms.max(1) as f64;
        let max_retries = f64::from(calls) * limit.ratio * RATIO_FRACTION + allowance;
        f64::from(retries) + 1.0 <= max_retries
    }

    fn bucket(&mut self, now: Time, service: &ServiceName) -> &mut Bucket {
        let buckets = self.buckets.entry(service.clone()).or_default();
        let oldest = now - self.limit.window - BUCKET_LENGTH;
        while buckets.front().is_some_and(|bucket| bucket.start < oldest) {
            buckets.pop_front();
        }
        if buckets
            .back()
            .is_none_or(|bucket| now.since(bucket.start) >= BUCKET_LENGTH)
        {
            buckets.push_back(Bucket {
                start: now,
                ..Bucket::default()
            });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}
