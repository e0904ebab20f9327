//! The limits of one workspace.
//!
//! Every limit applies to each tier separately: the count of a tier includes the calls of that
//! tier and of all higher tiers. A flood of chat calls can therefore exhaust the limits of the
//! tier of chats, but never those of a higher tier, such as that of bookings.

use poplarswitch_entity::Time;

/// Capacity of a token bucket, in seconds of the sustained rate.
const BURST_SECS: f64 = 1.0;

/// A token bucket; one token admits one call.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    refilled: Time,
}

impl Bucket {
    fn refill(&mut self, now: Time, rate: f64) {
        let gained = now.since(self.refilled).as_secs_f64() * rate;
        self.tokens = (self.tokens + gained).min(burst(rate));
        self.refilled = self.refilled.max(now);
    }
}

fn burst(rate: f64) -> f64 {
    (rate * BURST_SECS).max(1.0)
}

/// Limits and current usage of one workspace, by tier from the highest.
#[derive(Clone, Debug)]
pub struct Account {
    rate: f64,
    max_running: u32,
    max_queued: u32,
    weight: u32,
    buckets: Vec<Bucket>,
    running: Vec<u32>,
    queued: Vec<u32>,
}

impl Account {
    /// Creates an account without calls and with full token buckets.
    pub fn new(tiers: usize, now: Time) -> Self {
        let bucket = Bucket {
            tokens: f64::MAX,
            refilled: now,
        };
        Self {
            rate: 1.0,
            max_running: 1,
            max_queued: 1,
            weight: 1,
            buckets: vec![bucket; tiers],
            running: vec![0; tiers],
            queued: vec![0; tiers],
        }
    }

    /// Sets the limits: calls per second, running calls and queued calls.
    pub fn set_limits(&mut self, rate: u32, running: u32, queued: u32) {
        self.rate = f64::from(rate);
        self.max_running = running;
        self.max_queued = queued;
    }

    /// Sets the weight for fair sharing; zero counts as one.
    pub fn set_weight(&mut self, weight: u32) {
        self.weight = weight.max(1);
    }

    /// The weight for fair sharing.
    pub const fn weight(&self) -> u32 {
        self.weight
    }

    /// Resets the running and queued counts for a set with other tiers; tokens are kept.
    pub fn reset(&mut self, tiers: usize) {
        let bucket = self.buckets.first().copied().unwrap_or(Bucket {
            tokens: f64::MAX,
            refilled: Time::ZERO,
        });
        self.buckets.resize(tiers, bucket);
        self.running = vec![0; tiers];
        self.queued = vec![0; tiers];
    }

    /// Takes a token for a call of a tier, if one is available.
    pub fn take_token(&mut self, now: Time, tier: usize) -> bool {
        let rate = self.rate;
        let lower = &mut self.buckets[tier..];
        for bucket in lower.iter_mut() {
            bucket.refill(now, rate);
        }
        if lower[0].tokens < 1.0 {
            return false;
        }
        for bucket in lower {
            bucket.tokens = (bucket.tokens - 1.0).max(0.0);
        }
        true
    }

    /// Seconds until a token is available for a tier.
    pub fn token_wait(&self, tier: usize) -> f64 {
        ((1.0 - self.buckets[tier].tokens) / self.rate.max(1e-3)).max(0.0)
    }

    /// Whether another call of a tier may be queued.
    pub fn can_queue(&self, tier: usize) -> bool {
        self.queued[tier] < self.max_queued
    }

    /// Whether another call of a tier may run.
    pub fn can_run(&self, tier: usize) -> bool {
        self.running[tier] < self.max_running
    }

    /// Counts a queued call.
    pub fn add_queued(&mut self, tier: usize) {
        for count in &mut self.queued[tier..] {
            *count += 1;
        }
    }

    /// Uncounts a queued call.
    pub fn remove_queued(&mut self, tier: usize) {
        for count in &mut self.queued[tier..] {
            *count = count.saturating_sub(1);
        }
    }

    /// Counts a running call.
    pub fn add_running(&mut self, tier: usize) {
        for count in &mut self.running[tier..] {
            *count += 1;
        }
    }

    /// Uncounts a running call.
    pub fn remove_running(&mut self, tier: usize) {
        for count in &mut self.running[tier..] {
            *count = count.saturating_sub(1);
        }
    }

    /// Running calls of all tiers.
    pub fn running(&self) -> u32 {
        self.running.last().copied().unwrap_or_default()
    }
}
