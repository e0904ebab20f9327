//! Sends orders to engines and observes the state of engines.
//!
//! Each request is short and runs on its own blocking thread, so that the event loop never
//! waits. If the response to an order is lost, its outcome is unknown until the next observation
//! of the engine. An order that waited too long for a thread is not sent, since the lease under
//! which it was decided may have expired.

use crate::{counters::OrderLabel, event::Event, shared::Shared};
use core::{net::SocketAddr, time::Duration};
use poplarswitch_entity::{
    AdapterName, EndpointName, FencingNumber, ModelName, ModelVersion, Time,
};
use poplarswitch_orders::{Input, ModelLoad, Observation, Order, OrderOutcome};
use poplarswitch_timeline::EventKind;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use ureq::Agent;

/// Maximum time for one request to an engine.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time from the decision on an order to its sending.
const MAX_START_DELAY: Duration = Duration::from_secs(1);
/// HTTP status of an engine's response to an order with an outdated fencing number.
const FENCED_STATUS: u16 = 409;

/// Body of an order's HTTP request.
#[derive(Debug, Serialize)]
struct Desired<'a> {
    fencing: FencingNumber,
    model: &'a ModelName,
    version: &'a ModelVersion,
    adapters: &'a [AdapterName],
}

/// State of an engine, as it reports it.
#[derive(Debug, Deserialize)]
struct EngineState {
    #[serde(default)]
    fencing: Option<FencingNumber>,
    model: ModelName,
    version: ModelVersion,
    #[serde(default)]
    adapters: Vec<AdapterName>,
    ready: bool,
}

/// Observes an engine; the result arrives as an event.
pub(crate) fn observe(shared: &Arc<Shared>, endpoint: EndpointName, address: SocketAddr) {
    let task_shared = Arc::clone(shared);
    shared.runtime.spawn_blocking(move || {
        let observation = fetch_state(&agent(), address);
        task_shared.send_event(Event::Orders(Input::Observed {
            endpoint,
            observation,
        }));
    });
}

/// Sends an order; its outcome arrives as an event.
pub(crate) fn send(
    shared: &Arc<Shared>,
    endpoint: EndpointName,
    address: SocketAddr,
    decided: Time,
    order: Order,
) {
    let task_shared = Arc::clone(shared);
    shared.runtime.spawn_blocking(move || {
        let is_late = task_shared.now().since(decided) > MAX_START_DELAY;
        let outcome = if is_late {
            OrderOutcome::NotTaken
        } else {
            put_order(&agent(), address, &order)
        };
        record_outcome(&task_shared, &endpoint, order.fencing, &outcome);
        task_shared.send_event(Event::Orders(Input::OrderEnded { endpoint, outcome }));
    });
}

/// Counts the outcome of an order and records it in the timeline with the order's fencing number.
fn record_outcome(
    shared: &Shared,
    endpoint: &EndpointName,
    number: FencingNumber,
    outcome: &OrderOutcome,
) {
    let endpoint = endpoint.clone();
    let (end, kind) = match outcome {
        OrderOutcome::Taken => ("taken", Some(EventKind::OrderApplied { endpoint, number })),
        OrderOutcome::Fenced { .. } => {
            ("fenced", Some(EventKind::OrderRefused { endpoint, number }))
        }
        OrderOutcome::NotTaken => (
            "not_taken",
            Some(EventKind::OrderRefused { endpoint, number }),
        ),
        OrderOutcome::Unknown => ("unknown", None),
    };
    let label = OrderLabel { end };
    shared.counters.orders.get_or_create(&label).inc();
    if let Some(kind) = kind {
        shared.record(None, kind);
    }
}

fn agent() -> Agent {
    Agent::config_builder()
        .proxy(None)
        .http_status_as_error(false)
        .timeout_global(Some(CALL_TIMEOUT))
        .build()
        .into()
}

fn url(address: SocketAddr) -> String {
    format!("http://{address}/v1/desired")
}

fn fetch_state(agent: &Agent, address: SocketAddr) -> Option<Observation> {
    let mut response = agent.get(url(address)).call().ok()?;
    let text = response.body_mut().read_to_string().ok()?;
    let state: EngineState = serde_json::from_str(&text).ok()?;
    let mut adapters = state.adapters;
    adapters.sort();
    Some(Observation {
        load: Some(ModelLoad {
            model: state.model,
            version: state.version,
            adapters,
        }),
        ready: state.ready,
        fencing: state.fencing,
    })
}

fn put_order(agent: &Agent, address: SocketAddr, order: &Order) -> OrderOutcome {
    let desired = Desired {
        fencing: order.fencing,
        model: &order.load.model,
        version: &order.load.version,
        adapters: &order.load.adapters,
    };
    let Ok(body) = serde_json::to_string(&desired) else {
        return OrderOutcome::NotTaken;
    };
    match agent.put(url(address)).send(body) {
        Ok(response) if response.status().is_success() => OrderOutcome::Taken,
        Ok(response) if response.status() == FENCED_STATUS => fenced_outcome(agent, address),
        Ok(response) if response.status().is_server_error() => OrderOutcome::Unknown,
        Ok(_) | Err(ureq::Error::ConnectionFailed) => OrderOutcome::NotTaken,
        Err(_) => OrderOutcome::Unknown,
    }
}

/// Outcome of a fenced order, with the fencing number that the engine has seen.
fn fenced_outcome(agent: &Agent, address: SocketAddr) -> OrderOutcome {
    fetch_state(agent, address)
        .and_then(|observation| observation.fencing)
        .map_or(OrderOutcome::NotTaken, |newest| OrderOutcome::Fenced {
            newest,
        })
}
