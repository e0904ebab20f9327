//! Limits on the rate of requests that endpoints name in their answers.
//!
//! A limit binds all VMs together, from the answer that names it until an answer to a later request
//! names none, or the endpoint is gone.
//!
//! For each limited endpoint, rendezvous hashing selects one of the VMs that are alive as its owner.
//! The owner keeps a token bucket that is filled at the rate of the limit, and every request of any
//! VM to the endpoint takes a token: the owner's own requests directly, those of others after a
//! datagram to the owner. The sum therefore keeps to the limit however demand is spread, and one VM
//! can use all of it. An owner that does not answer grants nothing.
//!
//! A VM that becomes the owner begins with an empty bucket, and only after the VM that was the owner
//! before must have learned of the change. Urgent calls go first: while a call waits, less urgent ones
//! are granted nothing. VMs that are denied are told when to ask again; the delay grows until owners
//! are asked a few times as often as they can grant.

use crate::hash::hash_pair;
use core::time::Duration;
use poplarswitch_entity::Time;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Maximum number of endpoints whose limits are remembered.
const MAX_LIMITS: usize = 4_096;
/// Time after the last news of a limit at which it is forgotten if it has ended or its endpoint isn't
/// listed; the list may be behind the news.
const LIMIT_EXPIRY: Duration = Duration::from_mins(1);
/// Age up to which news of a limit is repeated to other VMs.
const NEWS_AGE: Duration = Duration::from_secs(5);
/// Maximum number of limits in one datagram of news.
const MAX_NEWS: usize = 40;
/// Maximum number of limits that a VM that has just started or come back is told.
const MAX_TOLD: usize = 200;
/// Difference in age from which news that changes nothing replaces older news; longer than a
/// datagram is on its way, so that repeated news doesn't seem to be new.
const MIN_REFRESH: Duration = Duration::from_secs(1);
/// Lowest rate in requests per second at which an endpoint is asked; an endpoint whose limit is
/// lower or 0 can't otherwise tell that its limit has ended.
const MIN_RATE: f64 = 0.3;
/// Smallest capacity of a bucket in tokens.
const MIN_BURST: f64 = 2.0;
/// Capacity of a bucket as the time that it takes to fill.
const BURST_TIME: Duration = Duration::from_millis(200);
/// Time over which one grant to another VM may be spread: tokens that the rate yields in it are
/// granted together.
const GRANT_TIME: Duration = Duration::from_millis(50);
/// Time after which tokens that were granted are void.
const GRANT_TTL: Duration = Duration::from_millis(500);
/// Time for which a VM must have been the owner before it grants, in which the owner before it
/// learns of it.
const TAKEOVER_TIME: Duration = Duration::from_secs(2);
/// Time after the start of a process before it grants anything; it may not know all VMs yet.
const STARTUP_TIME: Duration = Duration::from_secs(3);
/// Delays between which a VM that was denied is told to ask again.
const MIN_DELAY: Duration = Duration::from_millis(30);
const MAX_DELAY: Duration = Duration::from_secs(2);
/// Requests for tokens per token that an owner wants.
const TARGET_ASKS: f64 = 2.0;
/// Time constant of the decay of the count of requests for tokens.
const ASK_DECAY: Duration = Duration::from_secs(1);
/// Change of the delay for each request for tokens.
const DELAY_STEP: f64 = 1.1;
/// Longest time until the next token that is distinguished from longer ones.
const MAX_REFILL_TIME: Duration = Duration::from_secs(10);
/// Time for which a denied call counts as waiting, at least.
const MIN_WAITING_TIME: Duration = Duration::from_millis(300);
/// Delay after a request for tokens that the owner didn't answer.
const UNANSWERED_DELAY: Duration = Duration::from_millis(300);
/// Delay of calls while other calls of this VM ask for tokens.
const ASKING_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of calls of a VM that ask for tokens of one endpoint at the same time.
const MAX_ASKING: u32 = 2;

/// Statement of an answer about its endpoint's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum NamedLimit {
    /// No limit is named.
    #[default]
    Free,
    /// Requests per second from all VMs together.
    Rate(f64),
    /// The limit can't be read, so nothing changes.
    Unreadable,
}

/// Identifier of one incarnation of an endpoint, the same on all VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LimitId(pub u64);

impl LimitId {
    /// Identifier of the incarnation of the endpoint with this hash of its name that started at
    /// `start_ms`.
    pub fn new(name_hash: u64, start_ms: u64) -> Self {
        Self(hash_pair(name_hash, start_ms))
    }
}

/// A change of a limit, for logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The endpoint named a limit, or another one than before, in requests per second.
    Named(f64),
    /// The endpoint no longer names a limit.
    Ended,
}

/// A VM's knowledge of a limit, for other VMs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitRecord(
    /// Endpoint.
    pub u64,
    /// Requests per second; none after the end of the limit.
    pub Option<f64>,
    /// Age of the answer that told of it, in milliseconds.
    pub u32,
);

/// A datagram between VMs about limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LimitMessage {
    /// News of limits.
    #[serde(rename = "limits")]
    News(Vec<LimitRecord>),
    /// Request to the owner for a token.
    #[serde(rename = "ask")]
    Ask(TokenRequest),
    /// Reply of the owner.
    #[serde(rename = "grant")]
    Grant(TokenReply),
}

/// Request for a token.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// Number of the request, which the reply repeats.
    pub serial: u32,
    /// The requesting VM's knowledge of the limit.
    pub limit: LimitRecord,
    /// Rank of the call among all calls, 0 first.
    pub rank: u8,
}

/// Reply to a [`TokenRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TokenReply {
    /// Number of the request.
    pub serial: u32,
    /// Number of tokens that are granted.
    pub tokens: u32,
    /// Time in milliseconds after which to ask again, if none are granted.
    pub retry_ms: u32,
}

/// The VMs, as far as the sharing of a limit depends on them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitShare {
    /// Whether this VM is the owner.
    pub is_owner: bool,
    /// Time since this process started.
    pub uptime: Duration,
    /// Part of the rate that the owner grants: less than 1 at a VM that is cut off from most of the
    /// others, which may have an owner of their own.
    pub fraction: f64,
}

/// Calls that a limit keeps from an endpoint for a while: those of a rank and all less urgent ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Denial {
    /// The most urgent rank that is kept back.
    pub rank: u8,
    /// Until when.
    pub until: Time,
}

impl Denial {
    /// Whether calls of a rank are kept back.
    pub fn holds(&self, now: Time, rank: u8) -> bool {
        now < self.until && rank >= self.rank
    }

    /// Adds a denial of a call.
    fn add(&mut self, now: Time, rank: u8, until: Time) -> Self {
        if now >= self.until || rank <= self.rank {
            *self = Self { rank, until };
        }
        Self { rank, until }
    }
}

/// Decision on a request to a limited endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Permit {
    /// The request may be sent.
    Granted,
    /// The owner has to be asked.
    Ask(TokenRequest),
    /// Nothing may be sent for a while.
    Denied(Denial),
}

#[derive(Clone, Copy, Debug)]
struct Limit {
    /// Requests per second; none after the end of the limit.
    rate: Option<f64>,
    /// When this VM last learned of it.
    learned: Time,
    /// Age that the newest answer that tells of it had then, since it arrived here or at another VM;
    /// it may have arrived before this VM's clock began.
    age: Duration,
    /// Tokens at the owner.
    tokens: f64,
    filled: Time,
    /// When this VM may grant tokens; none while it isn't the owner.
    acts_from: Option<Time>,
    /// Whether the limit has become known since ownership was last updated.
    is_new: bool,
    /// Recent requests for tokens, with exponential decay.
    asks: f64,
    asked: Time,
    /// Delay that VMs that are denied are told.
    delay: Duration,
    /// Rank of the most urgent call that was denied, and until when it counts.
    waiting: Option<(u8, Time)>,
    /// Tokens that the owner has granted to this VM, and until when they are good.
    granted: u32,
    granted_until: Time,
    /// Calls of this VM that ask for tokens.
    asking: u32,
    /// Calls that this VM doesn't send.
    denial: Denial,
}

impl Limit {
    /// A limit that is not known yet.
    const fn new(now: Time, age: Duration) -> Self {
        Self {
            rate: None,
            learned: now,
            age,
            tokens: 1.0,
            filled: now,
            acts_from: None,
            is_new: true,
            asks: 0.0,
            asked: now,
            delay: MIN_DELAY,
            waiting: None,
            granted: 0,
            granted_until: Time::ZERO,
            asking: 0,
            denial: Denial {
                rank: 0,
                until: Time::ZERO,
            },
        }
    }

    /// Age of the newest answer that tells of it.
    fn age(&self, now: Time) -> Duration {
        self.age + now.since(self.learned)
    }

    /// Takes up to `wanted` tokens as the owner; returns their number, or when to ask again.
    fn take(&mut self, now: Time, share: LimitShare, rank: u8, wanted: u32) -> Result<u32, Time> {
        let rate = self.rate.unwrap_or(f64::MAX).max(MIN_RATE) * share.fraction;
        let burst = MIN_BURST.max(rate * BURST_TIME.as_secs_f64());
        let passed = now.since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + passed * rate).min(burst);
        self.filled = now;
        self.count_ask(now, rate);
        let is_first = match self.waiting {
            Some((first, until)) if now < until => rank <= first,
            _ => true,
        };
        let needed = if is_first { 1.0 } else { burst };
        if self.tokens >= needed {
            let taken = wanted.min(self.tokens as u32).max(1);
            self.tokens -= f64::from(taken);
            if is_first {
                self.waiting = None;
            }
            return Ok(taken);
        }
        let seconds = ((1.0 - self.tokens) / rate).max(0.0);
        let next = Duration::try_from_secs_f64(seconds);
        let next = next.map_or(MAX_REFILL_TIME, |next| next.min(MAX_REFILL_TIME));
        let counts_for = (next + self.delay).max(MIN_WAITING_TIME);
        if is_first {
            self.waiting = Some((rank, now + counts_for));
        }
        Err(now + next.max(self.delay).min(MAX_DELAY))
    }

    /// Adapts the delay, so that requests come a few times as often as tokens.
    fn count_ask(&mut self, now: Time, rate: f64) {
        let passed = now.since(self.asked).as_secs_f64() / ASK_DECAY.as_secs_f64();
        self.asks = self.asks * (-passed).exp() + 1.0;
        self.asked = now;
        let per_second = self.asks / ASK_DECAY.as_secs_f64();
        let delay = if per_second > rate * TARGET_ASKS + 1.0 {
            self.delay.mul_f64(DELAY_STEP)
        } else {
            self.delay.div_f64(DELAY_STEP)
        };
        self.delay = delay.clamp(MIN_DELAY, MAX_DELAY);
    }
}

/// The limits that are known to this VM.
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
    limits: HashMap<LimitId, Limit>,
    serial: u32,
}

impl RateLimits {
    /// Records what an answer to a request that was sent at `sent` says.
    pub fn observe(
        &mut self,
        now: Time,
        id: LimitId,
        sent: Time,
        named: NamedLimit,
    ) -> Option<LimitChange> {
        match named {
            NamedLimit::Unreadable => None,
            NamedLimit::Rate(rate) => self.update(now, id, Some(rate), Duration::ZERO),
            NamedLimit::Free => {
                // The answer may have begun before the limit was named.
                let known = self.limits.get(&id)?;
                let is_later = now.since(sent) <= known.age(now);
                is_later.then(|| self.update(now, id, None, Duration::ZERO))?
            }
        }
    }

    /// Takes in news of another VM that was sent at `now`, or just before.
    pub fn merge(&mut self, now: Time, records: &[LimitRecord]) -> Vec<(LimitId, LimitChange)> {
        let changes = records.iter().filter_map(|LimitRecord(id, rate, age_ms)| {
            let id = LimitId(*id);
            let age = Duration::from_millis(u64::from(*age_ms));
            let change = match self.limits.get(&id) {
                None if rate.is_none() => None,
                Some(known) if age >= known.age(now) => None,
                Some(known) if known.rate == *rate && age + MIN_REFRESH > known.age(now) => None,
                _ => self.update(now, id, *rate, age),
            };
            change.map(|change| (id, change))
        });
        changes.collect()
    }

    fn update(
        &mut self,
        now: Time,
        id: LimitId,
        rate: Option<f64>,
        age: Duration,
    ) -> Option<LimitChange> {
        let is_full = self.limits.len() >= MAX_LIMITS && !self.limits.contains_key(&id);
        if is_full || rate.is_some_and(|rate| !rate.is_finite()) {
            return None;
        }
        let limit = self.limits.entry(id);
        let limit = limit.or_insert_with(|| Limit::new(now, age));
        let is_new = limit.rate != rate;
        limit.rate = rate;
        limit.age = limit.age(now).min(age);
        limit.learned = now;
        if rate.is_none() {
            limit.denial = Denial::default();
        }
        is_new.then(|| rate.map_or(LimitChange::Ended, LimitChange::Named))
    }

    /// Limit of an endpoint in requests per second, if it has one.
    pub fn rate(&self, id: LimitId) -> Option<f64> {
        self.limits.get(&id)?.rate
    }

    /// Number of limits that are remembered, with those that have ended.
    pub fn len(&self) -> usize {
        self.limits.len()
    }

    /// Whether no limits are remembered.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// The newest limits, for other VMs.
    pub fn news(&self, now: Time) -> Vec<LimitRecord> {
        let recent = self.newest(now, |age| age < NEWS_AGE);
        recent.take(MAX_NEWS).collect()
    }

    /// Limits of any age, the newest first, for a VM that has just started or come back; each item is
    /// for one datagram.
    pub fn all(&self, now: Time) -> Vec<Vec<LimitRecord>> {
        let all: Vec<LimitRecord> = self.newest(now, |_| true).take(MAX_TOLD).collect();
        all.chunks(MAX_NEWS).map(<[LimitRecord]>::to_vec).collect()
    }

    fn newest(
        &self,
        now: Time,
        is_told: impl Fn(Duration) -> bool,
    ) -> impl Iterator<Item = LimitRecord> {
        let limits = self.limits.iter();
        let mut told: Vec<(&LimitId, &Limit)> = limits
            .filter(|(_, limit)| is_told(limit.age(now)))
            .collect();
        told.sort_unstable_by_key(|(id, limit)| (limit.age(now), **id));
        told.into_iter()
            .map(move |(id, limit)| record(now, *id, limit))
    }

    /// Updates which endpoints this VM owns, and forgets old limits. `is_listed` tells whether an
    /// endpoint is listed now.
    pub fn refresh(
        &mut self,
        now: Time,
        share_of: impl Fn(LimitId) -> LimitShare,
        is_listed: impl Fn(LimitId) -> bool,
    ) {
        self.limits.retain(|id, limit| {
            now.since(limit.learned) < LIMIT_EXPIRY || limit.rate.is_some() && is_listed(*id)
        });
        for (id, limit) in &mut self.limits {
            let share = share_of(*id);
            if !share.is_owner {
                limit.acts_from = None;
            } else if limit.acts_from.is_none() && !limit.is_new {
                limit.acts_from = Some(now + TAKEOVER_TIME);
                limit.tokens = 0.0;
                limit.filled = now + TAKEOVER_TIME;
            } else {
                limit.acts_from.get_or_insert(now);
            }
            limit.is_new = false;
        }
    }

    /// Decides whether a request of this VM may be sent to an endpoint.
    pub fn request(&mut self, now: Time, id: LimitId, rank: u8, share: LimitShare) -> Permit {
        self.serial = self.serial.wrapping_add(1);
        let serial = self.serial;
        let Some(limit) = self.limits.get_mut(&id) else {
            return Permit::Granted;
        };
        if limit.rate.is_none() {
            return Permit::Granted;
        }
        if limit.denial.holds(now, rank) {
            return Permit::Denied(limit.denial);
        }
        if limit.granted > 0 && now < limit.granted_until {
            limit.granted -= 1;
            return Permit::Granted;
        }
        if share.is_owner {
            return match grant(limit, now, share, rank, 1) {
                Ok(_) => Permit::Granted,
                Err(until) => Permit::Denied(limit.denial.add(now, rank, until)),
            };
        }
        if limit.asking >= MAX_ASKING {
            let until = now + ASKING_DELAY;
            return Permit::Denied(Denial { rank, until });
        }
        limit.asking += 1;
        Permit::Ask(TokenRequest {
            serial,
            limit: record(now, id, limit),
            rank,
        })
    }

    /// Takes in the owner's reply to a request for a token, or that there was none; returns the
    /// decision.
    pub fn finish(
        &mut self,
        now: Time,
        id: LimitId,
        rank: u8,
        reply: Option<TokenReply>,
    ) -> Permit {
        let Some(limit) = self.limits.get_mut(&id) else {
            return Permit::Granted;
        };
        limit.asking = limit.asking.saturating_sub(1);
        let delay = match reply {
            Some(TokenReply { tokens: 1.., .. }) => {
                limit.granted = reply.map_or(0, |reply| reply.tokens - 1);
                limit.granted_until = now + GRANT_TTL;
                return Permit::Granted;
            }
            Some(reply) => Duration::from_millis(u64::from(reply.retry_ms)).min(MAX_DELAY),
            None => UNANSWERED_DELAY,
        };
        Permit::Denied(limit.denial.add(now, rank, now + delay))
    }

    /// Answers the request of another VM for a token.
    pub fn answer(&mut self, now: Time, request: TokenRequest, share: LimitShare) -> TokenReply {
        self.merge(now, &[request.limit]);
        let id = LimitId(request.limit.0);
        let decision = match self.limits.get_mut(&id) {
            Some(limit) if share.is_owner => {
                let rate = limit.rate.unwrap_or_default();
                let batch = (rate * GRANT_TIME.as_secs_f64()).max(1.0) as u32;
                grant(limit, now, share, request.rank, batch)
            }
            _ => Err(now + UNANSWERED_DELAY),
        };
        let (tokens, until) = match decision {
            Ok(tokens) => (tokens, now),
            Err(until) => (0, until),
        };
        TokenReply {
            serial: request.serial,
            tokens,
            retry_ms: until.since(now).as_millis() as u32,
        }
    }
}

/// Takes tokens as the owner, if this VM has been the owner for long enough.
fn grant(
    limit: &mut Limit,
    now: Time,
    share: LimitShare,
    rank: u8,
    wanted: u32,
) -> Result<u32, Time> {
    let startup_left = STARTUP_TIME.saturating_sub(share.uptime);
    let acts_from = *limit.acts_from.get_or_insert(now);
    let acts_from = acts_from.max(now + startup_left);
    if now < acts_from {
        return Err(acts_from.min(now + UNANSWERED_DELAY));
    }
    limit.take(now, share, rank, wanted)
}

fn record(now: Time, id: LimitId, limit: &Limit) -> LimitRecord {
    let age = limit.age(now).as_millis();
    LimitRecord(id.0, limit.rate, age.try_into().unwrap_or(u32::MAX))
}
