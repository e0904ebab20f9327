//! Selection of an endpoint for a call, or refusal of the call.
//!
//! Calls to a model that belong to one session go to the same endpoint, whose cache holds their
//! common prompt. The order in which a session tries endpoints is computed by rendezvous hashing
//! and is the same on all VMs. While engines are loaded, a VM requests the load of the first few
//! engines of this order right before it sends a call, and selects the first engine that can start
//! the call in time. If none of them can, the call is refused at once, before it has run: sending
//! it would only delay calls that can still be started in time.
//!
//! Other calls go to the least loaded endpoint.

use crate::{
    call::Prompt,
    endpoints::{Endpoint, EndpointKey, EndpointTable},
    engine::{CallAverages, EngineReport},
    entry::SoftwareVersion,
    groups::{EndpointGroup, GroupSplit},
    hash::hash_pair,
};
use core::time::Duration;
use poplarswitch_entity::{DataCentre, ServiceName, Time};
use poplarswitch_room::StartLimits;

/// Ratio of an endpoint's load to the mean load of its group at which its sessions spill to other
/// endpoints.
const SPILL_LOAD_RATIO: f64 = 2.0;
/// Number of open calls up to which an endpoint is used whatever the mean load is.
const MIN_SPILL_CALLS: f64 = 3.0;
/// Cost of sending a call to another data centre, in open calls.
const REMOTE_COST_CALLS: f64 = 0.5;
/// Cost of a failure rate of 1, in open calls.
const FAILURE_COST_CALLS: f64 = 12.0;
/// Number of endpoints of a session's order whose load is checked before a call is refused.
const MAX_PROBED: usize = 3;
/// Load level above which the load of engines is requested before each call.
const PROBE_LOAD_LEVEL: f64 = 0.15;
/// Interval in calls at which the load of engines is requested when the load level is low.
const PROBE_SAMPLE_CALLS: u64 = 8;
/// Time in which the load level decays to about a third.
const LOAD_DECAY_TIME: Duration = Duration::from_millis(1_500);
/// Utilisation of slots above which an engine counts as loaded.
const LOADED_UTILISATION: f64 = 0.7;

/// A call that needs an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Service that is called.
    pub service: &'a ServiceName,
    /// The prompt, for calls to models.
    pub prompt: Option<&'a Prompt>,
    /// Latency objective of the route.
    pub objective: Option<Duration>,
    /// Longest gap between two events that the route declares.
    pub max_gap: Option<Duration>,
    /// Predicted starts that the call accepts.
    pub limits: StartLimits,
    /// Whether the call has the highest priority, at which it is never refused for lack of slots.
    pub top_priority: bool,
    /// Rank of the call among all calls, 0 first.
    pub rank: u8,
    /// Software version that the endpoint must have; none for a call that continues nothing.
    pub software: Option<&'a SoftwareVersion>,
    /// Endpoints that have been tried.
    pub tried: &'a [EndpointKey],
    /// Data centre of this VM.
    pub data_centre: &'a DataCentre,
}

impl PlacementRequest<'_> {
    fn accepts(&self, endpoint: &Endpoint) -> bool {
        self.software.is_none() || endpoint.entry.software.as_ref() == self.software
    }
}

/// Reason for the choice of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementReason {
    /// The endpoint is the first of the session's order.
    Session,
    /// The endpoint is a later one of the session's order; those before it are loaded.
    Spill,
    /// The endpoint has the fewest open calls.
    LeastLoaded,
    /// The endpoint can start the call soonest, though late.
    Late,
    /// All endpoints of the service that want requests are ejected; this one may have recovered.
    AllEjected,
}

/// The endpoint chosen for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Key of the endpoint.
    pub endpoint: EndpointKey,
    /// Reason for the choice.
    pub reason: PlacementReason,
    /// Predicted time to the first event, if known.
    pub expected: Option<Duration>,
    /// Another endpoint whose cache probably holds the session's prompt. The chosen endpoint can
    /// fetch the missing parts from it, which is far cheaper than prefilling them.
    pub cache_source: Option<EndpointKey>,
}

/// Decision about a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementDecision {
    /// Send the call to an endpoint.
    Send(Placement),
    /// Request the load of an engine, then decide again.
    Probe(EndpointKey),
    /// Refuse the call, because no engine can start it in time.
    Refuse {
        /// Shortest predicted time to the first event.
        expected: Duration,
    },
    /// No endpoint is available.
    NoEndpoint,
}

/// Load of the engines in an endpoint group, and averages over its calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct GroupLoad {
    level: f64,
    updated: Time,
    calls: u64,
    /// Moving averages over the group's calls.
    pub averages: CallAverages,
}

impl GroupLoad {
    /// Records whether an engine was found loaded or a call started late; updates the load level.
    pub fn record(&mut self, now: Time, loaded: bool) {
        self.level = if loaded { 1.0 } else { self.level_at(now) };
        self.updated = now;
    }

    fn should_probe(&self, now: Time) -> bool {
        self.level_at(now) > PROBE_LOAD_LEVEL || self.calls.is_multiple_of(PROBE_SAMPLE_CALLS)
    }

    fn level_at(&self, now: Time) -> f64 {
        let decay = now.since(self.updated).as_secs_f64() / LOAD_DECAY_TIME.as_secs_f64();
        self.level * (-decay).exp()
    }
}

impl EndpointTable {
    /// Selects an endpoint for a call.
    pub fn choose(
        &self,
        now: Time,
        request: PlacementRequest<'_>,
        split: &GroupSplit,
    ) -> PlacementDecision {
        let available = self.available(request.service);
        let usable = |key: &EndpointKey| {
            let Some(endpoint) = self.get(*key) else {
                return false;
            };
            let health = &endpoint.health;
            !request.tried.contains(key)
                && request.accepts(endpoint)
                && endpoint.kept_until(now, request.rank).is_none()
                && !health.is_ejected(now)
                && !health.is_full(now)
                && self.has_room(now, *key)
        };
        let session = request
            .prompt
            .and_then(|prompt| prompt.session().map(|s| (prompt, s.id)));
        let decision = if let Some((prompt, session)) = session {
            let group = EndpointGroup::of(request.objective, request.max_gap);
            let (members, others) = split.split(group, available, |key| {
                self.get(*key).map_or(0, |endpoint| endpoint.name_hash)
            });
            let members: Vec<EndpointKey> = members.iter().copied().filter(usable).collect();
            let order = self.session_order(&members, session);
            match self.choose_for_session(now, request, group, prompt, &order) {
                PlacementDecision::NoEndpoint => {
                    let others: Vec<EndpointKey> = others.iter().copied().filter(usable).collect();
                    self.least_loaded(&others, request.data_centre)
                }
                decision => decision,
            }
        } else {
            let usable: Vec<EndpointKey> = available.iter().copied().filter(usable).collect();
            self.least_loaded(&usable, request.data_centre)
        };
        match decision {
            PlacementDecision::NoEndpoint => self.least_failing(now, available, request),
            decision => decision,
        }
    }

    /// When a call of a rank that was refused may be sent to the first of the endpoints of a service
    /// that limits or pauses keep it from; none if there are none. Pauses count only if each endpoint
    /// is kept from the call; `software` is the version that the endpoints must have, if any.
    pub fn kept_until(
        &self,
        now: Time,
        service: &ServiceName,
        rank: u8,
        software: Option<&SoftwareVersion>,
    ) -> Option<Time> {
        let endpoints = self.available(service).iter();
        let endpoints = endpoints
            .filter_map(|key| self.get(*key))
            .filter(|endpoint| software.is_none() || endpoint.entry.software.as_ref() == software);
        let all_kept = endpoints
            .clone()
            .all(|endpoint| endpoint.kept_until(now, rank).is_some());
        endpoints
            .filter(|endpoint| all_kept || endpoint.denial.holds(now, rank))
            .filter_map(|endpoint| endpoint.kept_until(now, rank))
            .min()
    }

    /// Counts a call, so that some calls request the load of engines at a low load level too.
    pub fn count_call(&mut self, group: EndpointGroup) {
        self.group_load_mut(group).calls += 1;
    }

    /// Records the load report of an engine.
    pub fn record_report(
        &mut self,
        now: Time,
        key: EndpointKey,
        group: EndpointGroup,
        report: EngineReport,
    ) {
        let Some(endpoint) = self.get_mut(key) else {
            return;
        };
        endpoint.engine_load.record_report(now, report);
        let slots = endpoint.entry.slots;
        let loaded = endpoint
            .engine_load
            .utilisation(now, slots)
            .is_some_and(|utilisation| utilisation > LOADED_UTILISATION);
        self.group_load_mut(group)
            .record(now, loaded || report.waiting > 2);
    }

    /// Order in which a session tries endpoints: weighted rendezvous hashing, by which an endpoint is
    /// the first of as many sessions as its speed allows, and a change of its speed moves only the
    /// sessions that it gains or loses.
    fn session_order(&self, keys: &[EndpointKey], session: u64) -> Vec<EndpointKey> {
        let mut order: Vec<(f64, EndpointKey)> = keys
            .iter()
            .filter_map(|key| {
                let endpoint = self.get(*key)?;
                let hash = hash_pair(endpoint.name_hash, session);
                Some((rendezvous_distance(hash, endpoint.rate), *key))
            })
            .collect();
        order.sort_unstable_by(|(a, _), (b, _)| a.total_cmp(b));
        order.into_iter().map(|(_, key)| key).collect()
    }

    fn choose_for_session(
        &self,
        now: Time,
        request: PlacementRequest<'_>,
        group: EndpointGroup,
        prompt: &Prompt,
        order: &[EndpointKey],
    ) -> PlacementDecision {
        let total: f64 = order
            .iter()
            .filter_map(|key| self.get(*key))
            .map(Endpoint::relative_load)
            .sum();
        let mean = total / order.len().max(1) as f64;
        let bound = (mean * SPILL_LOAD_RATIO).max(MIN_SPILL_CALLS);
        let load = self.group_load(group);
        let mut soonest: Option<(Duration, EndpointKey)> = None;
        let mut probed = 0;
        for (rank, key) in order.iter().enumerate() {
            let Some(endpoint) = self.get(*key) else {
                continue;
            };
            let reason = if rank == 0 {
                PlacementReason::Session
            } else {
                PlacementReason::Spill
            };
            let tokens =
                prompt.uncached_tokens(order.len() > 1 || reason == PlacementReason::Session);
            let slots = endpoint.entry.slots;
            let expected = endpoint
                .engine_load
                .predict_first_event(now, slots, tokens, &load.averages)
                .map(|expected| expected.div_f64(endpoint.rate));
            let placement = Placement {
                endpoint: *key,
                reason,
                expected,
                cache_source: cache_source(order, *key),
            };
            match expected {
                Some(expected) => {
                    if expected <= request.limits.in_time {
                        return PlacementDecision::Send(placement);
                    }
                    if soonest.is_none_or(|(least, _)| expected < least) {
                        soonest = Some((expected, *key));
                    }
                    probed += 1;
                    if probed >= MAX_PROBED {
                        break;
                    }
                }
                None if endpoint.relative_load() >= bound => {}
                None if load.should_probe(now) => return PlacementDecision::Probe(*key),
                None => return PlacementDecision::Send(placement),
            }
        }
        // Loaded engines complete the same number of relaxed calls in any case; sending a call that
        // will start late makes the calls behind it late too.
        match soonest {
            None => PlacementDecision::NoEndpoint,
            Some((expected, key)) if request.top_priority || expected <= request.limits.late => {
                PlacementDecision::Send(Placement {
                    endpoint: key,
                    reason: PlacementReason::Late,
                    expected: Some(expected),
                    cache_source: cache_source(order, key),
                })
            }
            Some((expected, _)) => PlacementDecision::Refuse { expected },
        }
    }

    fn least_loaded(&self, keys: &[EndpointKey], data_centre: &DataCentre) -> PlacementDecision {
        let cost = |key: &EndpointKey| {
            let Some(endpoint) = self.get(*key) else {
                return f64::INFINITY;
            };
            let remote = endpoint.entry.data_centre != *data_centre;
            f64::from(endpoint.load())
                + if remote { REMOTE_COST_CALLS } else { 0.0 }
                + endpoint.health.failure_rate() * FAILURE_COST_CALLS
        };
        let endpoint = keys.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
        endpoint.map_or(PlacementDecision::NoEndpoint, |endpoint| {
            PlacementDecision::Send(Placement {
                endpoint: *endpoint,
                reason: PlacementReason::LeastLoaded,
                expected: None,
                cache_source: None,
            })
        })
    }

    /// Selects the endpoint with the lowest failure rate when all endpoints are ejected, so that
    /// the call is tried at all.
    fn least_failing(
        &self,
        now: Time,
        available: &[EndpointKey],
        request: PlacementRequest<'_>,
    ) -> PlacementDecision {
        let untried = available.iter().filter(|key| {
            self.get(**key).is_some_and(|endpoint| {
                !request.tried.contains(key)
                    && request.accepts(endpoint)
                    && endpoint.kept_until(now, request.rank).is_none()
                    && self.has_room(now, **key)
            })
        });
        let failure_rate = |key: &EndpointKey| {
            let endpoint = self.get(*key);
            endpoint.map_or(f64::INFINITY, |e| e.health.failure_rate())
        };
        let endpoint = untried.min_by(|a, b| failure_rate(a).total_cmp(&failure_rate(b)));
        endpoint.map_or(PlacementDecision::NoEndpoint, |endpoint| {
            PlacementDecision::Send(Placement {
                endpoint: *endpoint,
                reason: PlacementReason::AllEjected,
                expected: None,
                cache_source: None,
            })
        })
    }
}

/// Distance of an endpoint from a session: exponentially distributed with the endpoint's weight as
/// its rate. With equal weights, the order by distance is that of the hashes.
fn rendezvous_distance(hash: u64, weight: f64) -> f64 {
    let position = hash as f64 / u64::MAX as f64;
    -(-position).ln_1p() / weight
}

/// The first endpoint of a session's order other than the chosen one. It has served the session
/// before, or serves it while the chosen endpoint is loaded.
fn cache_source(order: &[EndpointKey], chosen: EndpointKey) -> Option<EndpointKey> {
    order.iter().copied().find(|key| *key != chosen)
}
