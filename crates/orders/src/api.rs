//! Orders, observations, settings, and the inputs and outputs of the state machine.

use bon::Builder;
use core::time::Duration;
use poplarswitch_entity::{
    AdapterName, DataCentre, EndpointName, FencingNumber, ModelName, ModelVersion,
};
use poplarswitch_objects::ObjectSet;
use poplarswitch_store::{Reply, Request, RequestId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A model version with its adapters, as an engine has loaded it or is ordered to load it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ModelLoad {
    /// The name of the model.
    pub model: ModelName,
    /// The version of the model.
    pub version: ModelVersion,
    /// The adapters, sorted.
    pub adapters: Vec<AdapterName>,
}

/// An order that states the desired load of an engine; repeating it has no further effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The version of the lease under which the order is sent.
    pub fencing: FencingNumber,
    /// The load that the engine should serve.
    pub load: ModelLoad,
}

/// The state that an engine reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The load that the engine serves or is loading.
    pub load: Option<ModelLoad>,
    /// Whether the engine is ready to serve the load.
    pub ready: bool,
    /// The highest fencing number that the engine has seen, if it checks fencing numbers.
    pub fencing: Option<FencingNumber>,
}

/// The outcome of sending an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The engine accepted the order.
    Taken,
    /// The engine refused the order, because it has seen a higher fencing number.
    Fenced {
        /// The highest fencing number that the engine has seen.
        newest: FencingNumber,
    },
    /// The engine refused the order for another reason, or the order was not sent.
    NotTaken,
    /// No conclusive answer arrived; the order may have been accepted.
    Unknown,
}

/// An input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A set came into force.
    Set(Arc<ObjectSet>),
    /// An engine was observed.
    Observed {
        /// The endpoint of the engine.
        endpoint: EndpointName,
        /// The reported state; none if the engine could not be read.
        observation: Option<Observation>,
    },
    /// The call that sent an order ended.
    OrderEnded {
        /// The endpoint of the engine.
        endpoint: EndpointName,
        /// The outcome of the call.
        outcome: OrderOutcome,
    },
    /// A platform request ended, with or without an answer.
    Reply {
        /// The request.
        id: RequestId,
        /// The answer, or why there is none.
        reply: Reply,
    },
    /// This VM is shutting down and releases the lease.
    Leave,
}

/// An action that the state machine requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a request to the platform.
    Request {
        /// The ID that the reply has to carry.
        id: RequestId,
        /// The request.
        request: Request,
    },
    /// Observe an engine.
    Observe(EndpointName),
    /// Send an order to an engine.
    Order {
        /// The endpoint of the engine.
        endpoint: EndpointName,
        /// The order.
        order: Order,
    },
    /// Report that the lease was acquired, with its fencing number, or lost.
    Lease(Option<FencingNumber>),
}

/// Periods and limits of the state machine.
#[derive(Clone, Debug, Builder)]
pub struct Settings {
    /// The name of the group of engines, which is part of the lease's path.
    #[builder(into, default = String::from("all"))]
    pub group: String,
    /// The data centre whose engines form the group; all engines if not given.
    pub data_centre: Option<DataCentre>,
    /// Duration of the lease from each write.
    #[builder(default = Duration::from_secs(30))]
    pub lease_duration: Duration,
    /// Interval between renewals of the lease.
    #[builder(default = Duration::from_secs(10))]
    pub renew_interval: Duration,
    /// Longest time from the decision to send an order to its last effect on the engine, without
    /// a pause of the VM.
    #[builder(default = Duration::from_secs(5))]
    pub max_call: Duration,
    /// Longest pause of a VM against which engines without fencing are protected.
    #[builder(default = Duration::from_secs(10))]
    pub max_pause: Duration,
    /// Interval between observations of an engine.
    #[builder(default = Duration::from_secs(5))]
    pub observe_interval: Duration,
    /// Age at which an observation is no longer used.
    #[builder(default = Duration::from_secs(15))]
    pub stale_after: Duration,
    /// Bandwidth of the weight store that this group may use, in megabytes per second.
    #[builder(default = 500)]
    pub store_mb_s: u64,
    /// Largest number of engines that load at the same time.
    #[builder(default = 2)]
    pub max_loads: usize,
    /// Time after which an order whose engine is still not ready no longer counts as pending.
    #[builder(default = Duration::from_mins(10))]
    pub load_timeout: Duration,
    /// Delay before a failed platform request is repeated.
    #[builder(default = Duration::from_secs(2))]
    pub retry_delay: Duration,
}

/// The desired and the observed state of one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// The endpoint of the engine.
    pub endpoint: EndpointName,
    /// The load that the set declares.
    pub desired: ModelLoad,
    /// The last observation.
    pub observed: Option<Observation>,
    /// Why no order is sent to the engine now.
    pub waits: WaitReason,
}

/// Why no order is sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// The engine serves or loads what the set declares.
    Done,
    /// This VM does not hold the lease, or not for long enough.
    Lease,
    /// There is no recent observation of the engine.
    Observation,
    /// The engine's present model would have too few other ready replicas.
    Replicas,
    /// The limit of concurrent loads or the bandwidth of the weight store is used up.
    Budget,
    /// An earlier order is pending, or an order is due now.
    Order,
}
