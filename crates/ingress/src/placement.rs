//! Where a call goes.
//!
//! Model calls of one session go to one endpoint, which keeps their shared prompt in its cache:
//! the order in which a session tries endpoints is a hash that all VMs compute alike. A hot
//! session spills to the next endpoint of its order when its first is loaded beyond a bound.
//! Other calls go to the endpoint that holds fewest.

use crate::{
    call::Prompt,
    fleet::{Endpoint, EndpointKey, Fleet},
    hash::hash_pair,
    sides::{Side, Sides},
};
use poplarswitch_entity::{DataCentre, ServiceName, Time};

/// Load of an endpoint, against the mean of its side, at which a session spills.
const LOAD_BOUND: f64 = 2.0;
/// Calls that an endpoint may hold whatever the mean is.
const LOAD_FLOOR: f64 = 3.0;
/// What sending to another data centre counts, in calls.
const FAR_COST: f64 = 0.5;
/// What certain failure counts, in calls.
const FAILING_COST: f64 = 12.0;

/// A call that needs an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The prompt, for model calls.
    pub prompt: Option<&'a Prompt>,
    /// Endpoints that were tried.
    pub tried: &'a [EndpointKey],
    /// Where this VM stands.
    pub data_centre: &'a DataCentre,
}

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The first of the session's order.
    Session,
    /// A later one of the session's order; those before it are loaded.
    Spill,
    /// It holds fewest calls.
    Least,
    /// All endpoints of the service rest; it may have recovered.
    Resting,
}

/// An endpoint for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Why.
    pub reason: Reason,
}

impl Fleet {
    /// Chooses an endpoint for a call.
    pub fn choose(&self, now: Time, ask: Ask<'_>, sides: &Sides) -> Option<Choice> {
        let takers = self.takers(ask.service);
        let usable = |key: &EndpointKey| {
            let health = &self.endpoint(*key).health;
            !ask.tried.contains(key) && !health.is_resting(now) && !health.is_full(now)
        };
        let chosen = match ask
            .prompt
            .and_then(|prompt| prompt.session().map(|s| (prompt, s.id)))
        {
            Some((prompt, session)) => {
                let (own, other) = sides.split(Side::of(prompt), takers);
                let own: Vec<EndpointKey> = own.iter().copied().filter(usable).collect();
                let other: Vec<EndpointKey> = other.iter().copied().filter(usable).collect();
                self.by_session(&own, session)
                    .or_else(|| self.least(&other, ask.data_centre))
            }
            None => {
                let usable: Vec<EndpointKey> = takers.iter().copied().filter(usable).collect();
                self.least(&usable, ask.data_centre)
            }
        };
        chosen.or_else(|| self.resting(takers, ask))
    }

    fn endpoint(&self, key: EndpointKey) -> &Endpoint {
        self.get(key).expect("listed endpoints exist")
    }

    fn by_session(&self, keys: &[EndpointKey], session: u64) -> Option<Choice> {
        let total: f64 = keys
            .iter()
            .map(|key| f64::from(self.endpoint(*key).load()))
            .sum();
        let mean = total / keys.len().max(1) as f64;
        let bound = (mean * LOAD_BOUND).max(LOAD_FLOOR);
        let mut order: Vec<(u64, EndpointKey)> = keys
            .iter()
            .map(|key| (hash_pair(self.endpoint(*key).rank, session), *key))
            .collect();
        order.sort_unstable_by_key(|(hash, _)| *hash);
        let place = order
            .iter()
            .position(|(_, key)| f64::from(self.endpoint(*key).load()) < bound)?;
        let reason = if place == 0 {
            Reason::Session
        } else {
            Reason::Spill
        };
        Some(Choice {
            endpoint: order[place].1,
            reason,
        })
    }

    fn least(&self, keys: &[EndpointKey], data_centre: &DataCentre) -> Option<Choice> {
        let cost = |key: &EndpointKey| {
            let endpoint = self.endpoint(*key);
            let far = endpoint.entry.data_centre != *data_centre;
            f64::from(endpoint.load())
                + if far { FAR_COST } else { 0.0 }
                + endpoint.health.failing() * FAILING_COST
        };
        let endpoint = keys.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        Some(Choice {
            endpoint: *endpoint,
            reason: Reason::Least,
        })
    }

    /// With every endpoint at rest, the one that fails least is tried rather than none.
    fn resting(&self, takers: &[EndpointKey], ask: Ask<'_>) -> Option<Choice> {
        let untried = takers.iter().filter(|key| !ask.tried.contains(key));
        let endpoint = untried.min_by(|a, b| {
            let (a, b) = (self.endpoint(**a), self.endpoint(**b));
            a.health.failing().total_cmp(&b.health.failing())
        })?;
        Some(Choice {
            endpoint: *endpoint,
            reason: Reason::Resting,
        })
    }
}
