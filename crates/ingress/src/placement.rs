//! Where a call goes, and whether it goes at all.
//!
//! Model calls of one session go to one endpoint, which keeps their shared prompt in its cache:
//! the order in which a session tries endpoints is a hash that all VMs compute alike. While
//! engines are loaded, a VM asks the first few of that order how they stand right before it
//! sends, and takes the first that can begin in time. A call that none of them can begin in time
//! is refused unrun at once: sent on, it would only delay those that can still be in time.
//! Other calls go to the endpoint that holds fewest.

use crate::{
    call::Prompt,
    endpoints::{Endpoint, EndpointKey, EndpointTable},
    engine::{CallAverages, EngineReport},
    groups::{EndpointGroup, GroupSplit},
    hash::hash_pair,
};
use core::time::Duration;
use poplarswitch_entity::{DataCentre, ServiceName, Time};

/// Load of an endpoint, against the mean of its side, at which a session spills.
const LOAD_BOUND: f64 = 2.0;
/// Calls that an endpoint may hold whatever the mean is.
const LOAD_FLOOR: f64 = 3.0;
/// What sending to another data centre counts, in calls.
const FAR_COST: f64 = 0.5;
/// What certain failure counts, in calls.
const FAILING_COST: f64 = 12.0;
/// Endpoints of a session's order that are asked before a call is refused.
const ASKED: usize = 3;
/// Part of the objective within which a first event is expected to be in time; predictions are
/// off by about a quarter.
const IN_TIME: f64 = 0.75;
/// Part of the time left beyond which an urgent call is refused: late, it is still of use.
const URGENT_PART: f64 = 0.5;
/// Pressure above which engines are asked before each call.
const PRESSED: f64 = 0.15;
/// Without pressure, one call of so many asks all the same.
const SAMPLE: u64 = 8;
/// Time in which the pressure falls to a third.
const PRESSURE_MEMORY: Duration = Duration::from_millis(1_500);
/// Share of taken places above which an engine counts as loaded.
const LOADED: f64 = 0.7;

/// A call that needs an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The prompt, for model calls.
    pub prompt: Option<&'a Prompt>,
    /// The latency objective.
    pub objective: Option<Duration>,
    /// The time left.
    pub time_left: Duration,
    /// It is of the most urgent kind, which is never refused for lack of places.
    pub top_priority: bool,
    /// Endpoints that were tried.
    pub tried: &'a [EndpointKey],
    /// Where this VM stands.
    pub data_centre: &'a DataCentre,
}

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementReason {
    /// The first of the session's order.
    Session,
    /// A later one of the session's order; those before it are loaded.
    Spill,
    /// It holds fewest calls.
    LeastLoaded,
    /// It would begin first, though late.
    Late,
    /// All endpoints of the service rest; it may have recovered.
    AllEjected,
}

/// An endpoint for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Why.
    pub reason: PlacementReason,
    /// When the first event is expected, if that is known.
    pub expected: Option<Duration>,
    /// Another endpoint that probably keeps the session's prompt, from which the chosen one can
    /// fetch what it lacks; copying is far cheaper than reading.
    pub cache_source: Option<EndpointKey>,
}

/// What to do with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementDecision {
    /// Send it.
    Send(Placement),
    /// Ask an engine how it stands, then decide again.
    Probe(EndpointKey),
    /// Refuse it: no engine can begin it in time.
    Refuse {
        /// When the first of them could.
        expected: Duration,
    },
    /// No endpoint is left.
    NoEndpoint,
}

/// How loaded the engines of a side are, and how long their calls take.
#[derive(Clone, Copy, Debug, Default)]
pub struct GroupLoad {
    level: f64,
    updated: Time,
    calls: u64,
    /// The usual times of calls.
    pub averages: CallAverages,
}

impl GroupLoad {
    /// An engine was found loaded, or a call was late.
    pub fn record(&mut self, now: Time, loaded: bool) {
        self.level = if loaded { 1.0 } else { self.level_at(now) };
        self.updated = now;
    }

    fn should_probe(&self, now: Time) -> bool {
        self.level_at(now) > PRESSED || self.calls.is_multiple_of(SAMPLE)
    }

    fn level_at(&self, now: Time) -> f64 {
        let gone = now.since(self.updated).as_secs_f64() / PRESSURE_MEMORY.as_secs_f64();
        self.level * (-gone).exp()
    }
}

impl EndpointTable {
    /// Decides about a call.
    pub fn choose(
        &self,
        now: Time,
        ask: PlacementRequest<'_>,
        sides: &GroupSplit,
    ) -> PlacementDecision {
        let takers = self.available(ask.service);
        let usable = |key: &EndpointKey| {
            let health = &self.endpoint(*key).health;
            !ask.tried.contains(key) && !health.is_ejected(now) && !health.is_full(now)
        };
        let session = ask
            .prompt
            .and_then(|prompt| prompt.session().map(|s| (prompt, s.id)));
        let decision = if let Some((prompt, session)) = session {
            let side = EndpointGroup::of(ask.objective);
            let (own, other) = sides.split(side, takers);
            let own: Vec<EndpointKey> = own.iter().copied().filter(usable).collect();
            let order = self.session_order(&own, session);
            match self.choose_for_session(now, ask, side, prompt, &order) {
                PlacementDecision::NoEndpoint => {
                    let other: Vec<EndpointKey> = other.iter().copied().filter(usable).collect();
                    self.least_loaded(&other, ask.data_centre)
                }
                decision => decision,
            }
        } else {
            let usable: Vec<EndpointKey> = takers.iter().copied().filter(usable).collect();
            self.least_loaded(&usable, ask.data_centre)
        };
        match decision {
            PlacementDecision::NoEndpoint => self.least_failing(takers, ask),
            decision => decision,
        }
    }

    /// Counts a call, so that some ask engines without pressure too.
    pub fn count_call(&mut self, side: EndpointGroup) {
        self.group_load_mut(side).calls += 1;
    }

    /// Takes an engine's report.
    pub fn record_report(
        &mut self,
        now: Time,
        key: EndpointKey,
        side: EndpointGroup,
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
            .is_some_and(|taken| taken > LOADED);
        self.group_load_mut(side)
            .record(now, loaded || report.waiting > 2);
    }

    fn endpoint(&self, key: EndpointKey) -> &Endpoint {
        self.get(key).expect("listed endpoints exist")
    }

    fn session_order(&self, keys: &[EndpointKey], session: u64) -> Vec<EndpointKey> {
        let mut order: Vec<(u64, EndpointKey)> = keys
            .iter()
            .map(|key| (hash_pair(self.endpoint(*key).name_hash, session), *key))
            .collect();
        order.sort_unstable_by_key(|(hash, _)| *hash);
        order.into_iter().map(|(_, key)| key).collect()
    }

    fn choose_for_session(
        &self,
        now: Time,
        ask: PlacementRequest<'_>,
        side: EndpointGroup,
        prompt: &Prompt,
        order: &[EndpointKey],
    ) -> PlacementDecision {
        let total: f64 = order
            .iter()
            .map(|key| f64::from(self.endpoint(*key).load()))
            .sum();
        let mean = total / order.len().max(1) as f64;
        let bound = (mean * LOAD_BOUND).max(LOAD_FLOOR);
        let pressure = self.group_load(side);
        let objective = ask.objective.unwrap_or(ask.time_left);
        let mut best: Option<(Duration, EndpointKey)> = None;
        let mut asked = 0;
        for (place, key) in order.iter().enumerate() {
            let endpoint = self.endpoint(*key);
            let reason = if place == 0 {
                PlacementReason::Session
            } else {
                PlacementReason::Spill
            };
            let tokens =
                prompt.uncached_tokens(order.len() > 1 || reason == PlacementReason::Session);
            let slots = endpoint.entry.slots;
            let expected =
                endpoint
                    .engine_load
                    .predict_first_event(now, slots, tokens, &pressure.averages);
            let choice = Placement {
                endpoint: *key,
                reason,
                expected,
                cache_source: keeper(order, *key),
            };
            match expected {
                Some(expected) => {
                    if expected <= objective.mul_f64(IN_TIME) {
                        return PlacementDecision::Send(choice);
                    }
                    if best.is_none_or(|(least, _)| expected < least) {
                        best = Some((expected, *key));
                    }
                    asked += 1;
                    if asked >= ASKED {
                        break;
                    }
                }
                None if f64::from(endpoint.load()) >= bound => {}
                None if pressure.should_probe(now) => return PlacementDecision::Probe(*key),
                None => return PlacementDecision::Send(choice),
            }
        }
        // Loaded engines answer as many patient calls either way; one that is sent though it will
        // be late makes those behind it late as well.
        let bearable = match side {
            EndpointGroup::Relaxed => Duration::ZERO,
            EndpointGroup::Strict => ask.time_left.mul_f64(URGENT_PART),
        };
        match best {
            None => PlacementDecision::NoEndpoint,
            Some((expected, key)) if ask.top_priority || expected <= bearable => {
                PlacementDecision::Send(Placement {
                    endpoint: key,
                    reason: PlacementReason::Late,
                    expected: Some(expected),
                    cache_source: keeper(order, key),
                })
            }
            Some((expected, _)) => PlacementDecision::Refuse { expected },
        }
    }

    fn least_loaded(&self, keys: &[EndpointKey], data_centre: &DataCentre) -> PlacementDecision {
        let cost = |key: &EndpointKey| {
            let endpoint = self.endpoint(*key);
            let far = endpoint.entry.data_centre != *data_centre;
            f64::from(endpoint.load())
                + if far { FAR_COST } else { 0.0 }
                + endpoint.health.failure_rate() * FAILING_COST
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

    /// With every endpoint at rest, the one that fails least is tried rather than none.
    fn least_failing(
        &self,
        takers: &[EndpointKey],
        ask: PlacementRequest<'_>,
    ) -> PlacementDecision {
        let untried = takers.iter().filter(|key| !ask.tried.contains(key));
        let endpoint = untried.min_by(|a, b| {
            let (a, b) = (self.endpoint(**a), self.endpoint(**b));
            a.health.failure_rate().total_cmp(&b.health.failure_rate())
        });
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

/// The first endpoint of a session's order but the chosen one. It served the session before, or
/// does while the chosen one is loaded.
fn keeper(order: &[EndpointKey], chosen: EndpointKey) -> Option<EndpointKey> {
    order.iter().copied().find(|key| *key != chosen)
}
