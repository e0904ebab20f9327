//! The limits of one workspace.
//!
//! Every limit is counted once per tier, and the count of a tier covers its own and all
//! higher tiers' calls. A flood of planner chats can therefore use up what chats may use,
//! but never the room of a booking in a higher tier.

use poplarswitch_entity::Time;

/// Seconds of the sustained rate that may come at once.
const BURST_SECS: f64 = 1.0;

/// A token bucket.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    filled: Time,
}

impl Bucket {
    fn refill(&mut self, now: Time, rate: f64) {
        let gained = now.since(self.filled).as_secs_f64() * rate;
        self.tokens = (self.tokens + gained).min(burst(rate));
        self.filled = self.filled.max(now);
    }
}

fn burst(rate: f64) -> f64 {
    (rate * BURST_SECS).max(1.0)
}

/// What a workspace uses at the moment, by tier from the highest.
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
    /// Starts unused, with full buckets.
    pub fn new(tiers: usize, now: Time) -> Self {
        let bucket = Bucket {
            tokens: f64::MAX,
            filled: now,
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

    /// Sets the limits: calls a second, calls running and calls waiting.
    pub fn set_limits(&mut self, rate: u32, running: u32, queued: u32) {
        self.rate = f64::from(rate);
        self.max_running = running;
        self.max_queued = queued;
    }

    /// Sets the share beside other workspaces.
    pub fn set_weight(&mut self, weight: u32) {
        self.weight = weight.max(1);
    }

    /// The share beside other workspaces.
    pub const fn weight(&self) -> u32 {
        self.weight
    }

    /// Forgets all counts, for a set with other tiers.
    pub fn reset(&mut self, tiers: usize) {
        let bucket = self.buckets.first().copied().unwrap_or(Bucket {
            tokens: f64::MAX,
            filled: Time::ZERO,
        });
        self.buckets.resize(tiers, bucket);
        self.running = vec![0; tiers];
        self.queued = vec![0; tiers];
    }

    /// Takes a token for a call of a tier, if there is one.
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

    /// Seconds until a token is there for a tier.
    pub fn token_wait(&self, tier: usize) -> f64 {
        ((1.0 - self.buckets[tier].tokens) / self.rate.max(1e-3)).max(0.0)
    }

    /// Whether another call of a tier may wait.
    pub fn can_queue(&self, tier: usize) -> bool {
        self.queued[tier] < self.max_queued
    }

    /// Whether another call of a tier may run.
    pub fn can_run(&self, tier: usize) -> bool {
        self.running[tier] < self.max_running
    }

    /// Counts a call that waits.
    pub fn add_queued(&mut self, tier: usize) {
        for count in &mut self.queued[tier..] {
            *count += 1;
        }
    }

    /// Uncounts a call that waited.
    pub fn remove_queued(&mut self, tier: usize) {
        for count in &mut self.queued[tier..] {
            *count = count.saturating_sub(1);
        }
    }

    /// Counts a call that runs.
    pub fn add_running(&mut self, tier: usize) {
        for count in &mut self.running[tier..] {
            *count += 1;
        }
    }

    /// Uncounts a call that ran.
    pub fn remove_running(&mut self, tier: usize) {
        for count in &mut self.running[tier..] {
            *count = count.saturating_sub(1);
        }
    }

    /// Calls that run, over all tiers.
    pub fn running(&self) -> u32 {
        self.running.last().copied().unwrap_or_default()
    }
}
