//! Chooses an endpoint for one call.
//!
//! The load level of the least loaded endpoint is the reference. An endpoint that probably has
//! the prompt's prefix in its cache may exceed it by the affinity allowance, an endpoint in the
//! caller's data centre by the data centre allowance. An endpoint on probation is chosen before
//! all others, unless the call has to avoid probation: because it may not run twice, or because
//! calls of lower tiers can serve as probes. Such a call is sent to an endpoint on probation only
//! if no other endpoint has a free slot for it, and then only if no endpoint of the pool is up or
//! the grace period of the probation is over. Otherwise it waits.

use crate::balancer::Strategy;
use crate::pool::Pool;
use crate::view::{PoolPosition, ViewKey};
use crate::{Balancer, EndpointKey, PoolKey};
use poplarswitch_entity::{DataCentre, PrefixHash};
use rand::Rng;

/// Load level by which an endpoint with the prefix may exceed the least loaded one.
const AFFINITY_ALLOWANCE: u32 = 19;
/// Load level by which an endpoint in the caller's data centre may exceed the least loaded one.
const DATA_CENTRE_ALLOWANCE: u32 = 8;

/// Requirements of a call on its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// The endpoints that the call may use.
    pub view: ViewKey,
    /// Hash of the workspace and the prompt prefix, if the call has a prompt.
    pub prefix: Option<PrefixHash>,
    /// Data centre of the caller.
    pub data_centre: &'a DataCentre,
    /// Endpoint that failed the previous dispatch; it is chosen only if no other is available.
    pub avoid: Option<EndpointKey>,
    /// Whether the call avoids endpoints on probation.
    pub avoid_probation: bool,
}

impl Balancer {
    /// Chooses an endpoint with a free slot, if there is one.
    pub fn choose(&mut self, pool: PoolKey, needs: &Requirements<'_>) -> Option<EndpointKey> {
        let draw = self.rng.next_u32();
        match self.options.strategy {
            Strategy::RoundRobin => self.choose_round_robin(pool, needs, draw),
            Strategy::LeastOutstanding => self.choose_least(pool, needs, draw),
            Strategy::Full => self.choose_full(pool, needs, draw),
        }
    }

    fn choose_round_robin(
        &mut self,
        key: PoolKey,
        needs: &Requirements<'_>,
        draw: u32,
    ) -> Option<EndpointKey> {
        let pool = &self.pools[key];
        let count = pool.endpoints.len();
        let index = (0..count)
            .map(|step| (pool.next_index + step) % count)
            .find(|index| {
                let endpoint = pool.endpoints[*index];
                Some(endpoint) != needs.avoid && self.level(pool, endpoint, needs.view).is_some()
            });
        let Some(index) = index else {
            return self.choose_least(key, needs, draw);
        };
        let endpoint = pool.endpoints[index];
        self.pools[key].next_index = index + 1;
        Some(endpoint)
    }

    fn choose_least(
        &self,
        key: PoolKey,
        needs: &Requirements<'_>,
        draw: u32,
    ) -> Option<EndpointKey> {
        let pool = &self.pools[key];
        let view = &pool.views[needs.view.0];
        let endpoint = |index: u32| pool.endpoints[index as usize];
        view.least(draw, self.position_of(needs.avoid))
            .map(endpoint)
            .or_else(|| self.probe_for(pool, needs.view, needs.avoid, needs.avoid_probation))
            .or_else(|| view.least(draw, None).map(endpoint))
            .or_else(|| self.probe_for(pool, needs.view, None, needs.avoid_probation))
    }

    fn choose_full(
        &self,
        key: PoolKey,
        needs: &Requirements<'_>,
        draw: u32,
    ) -> Option<EndpointKey> {
        let pool = &self.pools[key];
        let probe = self.probe_for(pool, needs.view, needs.avoid, needs.avoid_probation);
        if !needs.avoid_probation && probe.is_some() {
            return probe;
        }
        let view = &pool.views[needs.view.0];
        let avoid = self.position_of(needs.avoid);
        let Some(least) = view.least(draw, avoid) else {
            return self.choose_least(key, needs, draw);
        };
        let least = pool.endpoints[least as usize];
        let least_level = self.level(pool, least, needs.view)?;
        if let Some(endpoint) = self.choose_by_affinity(key, needs, least_level) {
            return Some(endpoint);
        }
        let near = pool.centre_index(needs.data_centre).and_then(|centre| {
            let local = view.least_in_centre(centre, draw, avoid)?;
            let index = pool.centres[centre as usize].start + local;
            Some(pool.endpoints[index as usize])
        });
        let near = near.filter(|endpoint| {
            let level = self.level(pool, *endpoint, needs.view);
            level.is_some_and(|level| level <= least_level + DATA_CENTRE_ALLOWANCE)
        });
        near.or(Some(least))
    }

    fn choose_by_affinity(
        &self,
        key: PoolKey,
        needs: &Requirements<'_>,
        least_level: u32,
    ) -> Option<EndpointKey> {
        let prefix = needs.prefix.filter(|_| self.options.affinity)?;
        let pool = &self.pools[key];
        let fits = |endpoint: &EndpointKey| {
            let level = self.level(pool, *endpoint, needs.view);
            let within = level.is_some_and(|level| level <= least_level + AFFINITY_ALLOWANCE);
            within && Some(*endpoint) != needs.avoid
        };
        let hint = self.hints.get(prefix).filter(|endpoint| {
            let hinted = self.endpoints.get(*endpoint);
            hinted.is_some_and(|hinted| hinted.pool == key && !hinted.retired)
        });
        hint.filter(&fits)
            .or_else(|| pool.ring.choices(prefix).find(fits))
    }

    /// An endpoint on probation that a view admits and that has no call.
    ///
    /// A call that avoids probation is given one only if no endpoint of the pool is up or suspended
    /// after a declined call, or if the grace period of the endpoint on probation is over.
    pub(crate) fn probe_for(
        &self,
        pool: &Pool,
        view: ViewKey,
        avoid: Option<EndpointKey>,
        avoid_probation: bool,
    ) -> Option<EndpointKey> {
        let view = &pool.views[view.0];
        let any_probe = !avoid_probation || pool.slots == 0;
        let mut probes = pool.probes.iter();
        let fits = |(key, grace_over): &(&EndpointKey, &bool)| {
            let allowed = any_probe || **grace_over;
            allowed && Some(**key) != avoid && pool.fits(view, &self.endpoints[**key])
        };
        probes.find(fits).map(|(key, _)| *key)
    }

    /// The load level under which a view lists an endpoint of the pool.
    fn level(&self, pool: &Pool, endpoint: EndpointKey, view: ViewKey) -> Option<u32> {
        pool.views[view.0].level(self.endpoints.get(endpoint)?.position)
    }

    fn position_of(&self, endpoint: Option<EndpointKey>) -> Option<PoolPosition> {
        let endpoint = self.endpoints.get(endpoint?)?;
        (!endpoint.retired).then_some(endpoint.position)
    }
}
