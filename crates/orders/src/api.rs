//! Orders, what is read back, and the core's inputs and outputs.

use bon::Builder;
use core::time::Duration;
use poplarswitch_entity::{
    AdapterName, DataCentre, EndpointName, FencingNumber, Incarnation, ModelName, ModelVersion,
};
use poplarswitch_objects::ObjectSet;
use poplarswitch_store::{Reply, Request, RequestId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What an engine should serve, or serves.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ModelLoad {
    /// The model.
    pub model: ModelName,
    /// Its version.
    pub version: ModelVersion,
    /// Its adapters, sorted.
    pub adapters: Vec<AdapterName>,
}

/// An absolute order: repeating it changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The version of the lease under which it is given.
    pub fencing: FencingNumber,
    /// What to serve.
    pub load: ModelLoad,
}

/// What an engine says when it is read back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// What it serves or loads.
    pub load: Option<ModelLoad>,
    /// Whether it is ready to serve.
    pub ready: bool,
    /// The highest fencing number that it has seen, if it keeps one.
    pub fencing: Option<FencingNumber>,
}

/// How an order call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The engine took it.
    Taken,
    /// The engine has seen a higher fencing number.
    Fenced {
        /// That number.
        newest: FencingNumber,
    },
    /// The engine refused it for another reason, or no byte reached it.
    NotTaken,
    /// No answer came.
    Unknown,
}

/// The value of the lease object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseObject {
    /// The VM that may give orders.
    pub holder: Incarnation,
    /// Drawn for each write; recognises it after a lost answer.
    pub nonce: u64,
    /// Milliseconds for which it holds from the write.
    pub hold_ms: u64,
    /// Whether the holder gave it up.
    pub released: bool,
}

/// Everything that the core reacts to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A set came into force.
    Set(Arc<ObjectSet>),
    /// An engine was read back.
    Observed {
        /// The engine.
        endpoint: EndpointName,
        /// What it said, or nothing if it could not be reached.
        observation: Option<Observation>,
    },
    /// An order call ended.
    OrderEnded {
        /// The engine.
        endpoint: EndpointName,
        /// How it ended.
        outcome: OrderOutcome,
    },
    /// The platform answered, or did not.
    Reply {
        /// The request that it answers.
        id: RequestId,
        /// The answer.
        reply: Reply,
    },
    /// This VM leaves; it gives the lease up.
    Leave,
}

/// Everything that the core orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Ask the platform.
    Request {
        /// Pairs it with its reply.
        id: RequestId,
        /// What to ask.
        request: Request,
    },
    /// Read an engine back.
    Observe(EndpointName),
    /// Send an order to an engine.
    Order {
        /// The engine.
        endpoint: EndpointName,
        /// The order.
        order: Order,
    },
    /// The lease was taken or lost.
    Lease(Option<FencingNumber>),
}

/// Periods and bounds of the core.
#[derive(Clone, Debug, Builder)]
pub struct Settings {
    /// The name of the group of endpoints, a part of the lease's path.
    #[builder(into, default = String::from("all"))]
    pub group: String,
    /// The data centre whose endpoints are the group; all endpoints if not given.
    pub data_centre: Option<DataCentre>,
    /// Time for which the lease holds.
    #[builder(default = Duration::from_secs(30))]
    pub lease_duration: Duration,
    /// Time between two renewals.
    #[builder(default = Duration::from_secs(10))]
    pub renew_interval: Duration,
    /// Longest time from the decision on an order to its last effect at the engine.
    #[builder(default = Duration::from_secs(5))]
    pub max_call: Duration,
    /// Longest pause of a VM that engines without fencing are protected against.
    #[builder(default = Duration::from_secs(10))]
    pub max_pause: Duration,
    /// Time between two readings of an engine.
    #[builder(default = Duration::from_secs(5))]
    pub observe_interval: Duration,
    /// Age of an observation from which it no longer counts.
    #[builder(default = Duration::from_secs(15))]
    pub stale_after: Duration,
    /// Megabytes a second that the weight store gives this group.
    #[builder(default = 500)]
    pub store_mb_s: u64,
    /// Loads at once.
    #[builder(default = 2)]
    pub max_loads: usize,
    /// Longest time from an order to a ready engine.
    #[builder(default = Duration::from_mins(10))]
    pub load_timeout: Duration,
    /// Wait before a failed platform request is repeated.
    #[builder(default = Duration::from_secs(2))]
    pub retry_delay: Duration,
}

/// Where one engine stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// The engine.
    pub endpoint: EndpointName,
    /// What the set wants.
    pub desired: ModelLoad,
    /// What was read back last.
    pub observed: Option<Observation>,
    /// What the order waits for.
    pub waits: WaitReason,
}

/// What an order waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// Nothing: the engine serves what the set wants.
    Done,
    /// This VM does not hold the lease.
    Lease,
    /// The engine has not been read back of late.
    Observation,
    /// Its replicas are needed until others are ready.
    Replicas,
    /// Other loads go first.
    Budget,
    /// An order is under way.
    Order,
}
