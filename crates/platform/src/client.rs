//! Client of the platform with a rate limit and backoff.

use crate::{Backoff, CallKind, RateLimiter, Rates};
use core::time::Duration;
use poplarswitch_entity::Time;
use poplarswitch_store::{Reply, Request};

/// Connection to the platform.
pub trait Platform: Send {
    /// Executes a request and waits for its reply.
    fn call(&mut self, request: &Request) -> Reply;
}

/// Counts of requests by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests sent to the platform.
    pub sent: u64,
    /// Requests refused by the client because of its rate limit or backoff.
    pub throttled: u64,
    /// Replies of [`Reply::Unavailable`] from the platform.
    pub unavailable: u64,
    /// Writes whose outcome is unknown.
    pub unknown: u64,
}

/// Client that sends requests within a rate limit and refuses them during a backoff.
pub struct Client {
    platform: Box<dyn Platform>,
    limiter: RateLimiter,
    backoff: Backoff,
    backoff_until: Time,
    down: bool,
    counters: Counters,
}

impl core::fmt::Debug for Client {
    fn fmt(&self, f: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        f.debug_struct("Client")
            .field("down", &self.down)
            .field("counters", &self.counters)
            .finish_non_exhaustive()
    }
}

impl Client {
    /// Creates a client with these rates; `seed` is that of the backoff's jitter.
    pub fn new(platform: Box<dyn Platform>, rates: Rates, seed: u64) -> Self {
        Self {
            platform,
            limiter: RateLimiter::new(rates),
            backoff: Backoff::new(seed),
            backoff_until: Time::ZERO,
            down: false,
            counters: Counters::default(),
        }
    }

    /// Whether the last request that was sent got [`Reply::Unavailable`] or [`Reply::Unknown`].
    pub const fn is_down(&self) -> bool {
        self.down
    }

    /// Counts of the requests so far.
    pub const fn counters(&self) -> Counters {
        self.counters
    }

    /// Changes the rates of the rate limit.
    pub fn set_rates(&mut self, rates: Rates) {
        self.limiter.set_rates(rates);
    }

    /// Executes a request, or refuses it at once if the rate limit or a backoff forbids it.
    pub fn call(&mut self, now: Time, request: &Request) -> Reply {
        if let Err(retry_after) = self.admit(now, request) {
            self.counters.throttled += 1;
            return Reply::Unavailable { retry_after };
        }
        self.counters.sent += 1;
        let reply = self.platform.call(request);
        self.record_reply(now, &reply);
        reply
    }

    fn admit(&mut self, now: Time, request: &Request) -> Result<(), Duration> {
        if now < self.backoff_until {
            return Err(self.backoff_until.since(now));
        }
        self.limiter.try_take(now, call_kind(request))
    }

    fn record_reply(&mut self, now: Time, reply: &Reply) {
        match reply {
            Reply::Unavailable { retry_after } => {
                self.counters.unavailable += 1;
                self.back_off(now, *retry_after);
            }
            Reply::Unknown => {
                self.counters.unknown += 1;
                self.back_off(now, Duration::ZERO);
            }
            _ => {
                self.down = false;
                self.backoff.reset();
            }
        }
    }

    fn back_off(&mut self, now: Time, min_wait: Duration) {
        self.down = true;
        self.backoff_until = now + self.backoff.next_wait().max(min_wait);
    }
}

const fn call_kind(request: &Request) -> CallKind {
    match request {
        Request::Put { .. } | Request::Delete { .. } => CallKind::Write,
        Request::Get { .. } | Request::List { .. } | Request::Watch { .. } | Request::Vms => {
            CallKind::Read
        }
    }
}
