//! The client that keeps to the budget and backs off.

use crate::{Backoff, CallKind, RateLimiter, Rates};
use core::time::Duration;
use poplarswitch_entity::Time;
use poplarswitch_store::{Reply, Request};

/// The platform as a process sees it.
pub trait Platform: Send {
    /// Carries out one request and waits for its reply.
    fn call(&mut self, request: &Request) -> Reply;
}

/// Counts what became of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests sent to the platform.
    pub sent: u64,
    /// Requests held back by the budget or the backoff.
    pub throttled: u64,
    /// Replies that said nothing was done.
    pub unavailable: u64,
    /// Writes with an unknown outcome.
    pub unknown: u64,
}

/// Sends requests within a budget; fails at once while backing off.
pub struct Client {
    platform: Box<dyn Platform>,
    limiter: RateLimiter,
    backoff: Backoff,
    closed_until: Time,
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
    /// Wraps a platform with one VM's share of the rates.
    pub fn new(platform: Box<dyn Platform>, rates: Rates, seed: u64) -> Self {
        Self {
            platform,
            limiter: RateLimiter::new(rates),
            backoff: Backoff::new(seed),
            closed_until: Time::ZERO,
            down: false,
            counters: Counters::default(),
        }
    }

    /// Whether the last request found the platform away.
    pub const fn is_down(&self) -> bool {
        self.down
    }

    /// What became of the requests so far.
    pub const fn counters(&self) -> Counters {
        self.counters
    }

    /// Changes this VM's share of the rates.
    pub fn set_rates(&mut self, rates: Rates) {
        self.limiter.set_rates(rates);
    }

    /// Carries out one request, or refuses it at once when the budget or backoff forbids it.
    pub fn call(&mut self, now: Time, request: &Request) -> Reply {
        if let Err(retry_after) = self.admit(now, request) {
            self.counters.throttled += 1;
            return Reply::Unavailable { retry_after };
        }
        self.counters.sent += 1;
        let reply = self.platform.call(request);
        self.note(now, &reply);
        reply
    }

    fn admit(&mut self, now: Time, request: &Request) -> Result<(), Duration> {
        if now < self.closed_until {
            return Err(self.closed_until.since(now));
        }
        self.limiter.try_take(now, spend(request))
    }

    fn note(&mut self, now: Time, reply: &Reply) {
        match reply {
            Reply::Unavailable { retry_after } => {
                self.counters.unavailable += 1;
                self.close(now, *retry_after);
            }
            Reply::Unknown => {
                self.counters.unknown += 1;
                self.close(now, Duration::ZERO);
            }
            _ => {
                self.down = false;
                self.backoff.reset();
            }
        }
    }

    fn close(&mut self, now: Time, asked: Duration) {
        self.down = true;
        self.closed_until = now + self.backoff.next_wait().max(asked);
    }
}

const fn spend(request: &Request) -> CallKind {
    match request {
        Request::Put { .. } | Request::Delete { .. } => CallKind::Write,
        Request::Get { .. } | Request::List { .. } | Request::Watch { .. } | Request::Vms => {
            CallKind::Read
        }
    }
}
