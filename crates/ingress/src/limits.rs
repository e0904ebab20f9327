//! Limits on the rate of requests that endpoints name in their answers.
//!
//! A limit binds all VMs together, from the answer that names it until an answer to a later request
//! names none.

use crate::hash::hash_pair;
use poplarswitch_entity::Time;
use std::collections::HashMap;

/// Maximum number of endpoints whose limits are remembered.
const MAX_LIMITS: usize = 4_096;

/// What an answer says of its endpoint's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum NamedLimit {
    /// It names no limit.
    #[default]
    Free,
    /// Requests per second from all VMs together.
    Rate(f64),
    /// It names a limit that can't be read, so nothing changes.
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

#[derive(Clone, Copy, Debug)]
struct Limit {
    /// Requests per second; none after the end of the limit.
    rate: Option<f64>,
    /// When the newest answer that tells of it arrived.
    observed: Time,
}

/// The limits that are known to this VM.
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
    limits: HashMap<LimitId, Limit>,
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
        let known = self.limits.get_mut(&id);
        match (named, known) {
            (NamedLimit::Unreadable, _) | (NamedLimit::Free, None) => None,
            (NamedLimit::Free, Some(limit)) => {
                // The answer may have begun before the limit was named.
                if limit.rate.is_none() || sent < limit.observed {
                    return None;
                }
                limit.rate = None;
                limit.observed = now;
                Some(LimitChange::Ended)
            }
            (NamedLimit::Rate(rate), Some(limit)) => {
                limit.observed = now;
                let is_new = limit.rate != Some(rate);
                limit.rate = Some(rate);
                is_new.then_some(LimitChange::Named(rate))
            }
            (NamedLimit::Rate(rate), None) => {
                if self.limits.len() >= MAX_LIMITS {
                    return None;
                }
                let limit = Limit {
                    rate: Some(rate),
                    observed: now,
                };
                self.limits.insert(id, limit);
                Some(LimitChange::Named(rate))
            }
        }
    }

    /// Limit of an endpoint in requests per second, if it has one.
    pub fn rate(&self, id: LimitId) -> Option<f64> {
        self.limits.get(&id)?.rate
    }
}
