//! Events that the event loop processes.

use crate::{call::Call, platform::Requester};
use crossbeam::channel::Sender;
use poplarswitch_catalog::Catalog;
use poplarswitch_entity::{CallId, EndpointName};
use poplarswitch_peer::PeerEvent;
use poplarswitch_scheduler::{CacheEvent, Ended, LoadReport, Progress};
use poplarswitch_store::{Reply, RequestId};
use poplarswitch_wire::{ErrorInfo, Status};
use std::sync::Arc;
use tokio::sync::oneshot;

/// The end of a run at an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Finished {
    pub(crate) ended: Ended,
    pub(crate) endpoint: EndpointName,
}

/// A new call, with the channel for the error if the call gets no complete answer.
#[derive(Debug)]
pub(crate) struct Submission {
    pub(crate) call: Arc<Call>,
    pub(crate) failure: oneshot::Sender<ErrorInfo>,
}

/// The platform's reply to a request of one of the state machines.
#[derive(Debug)]
pub(crate) struct PlatformReply {
    pub(crate) requester: Requester,
    pub(crate) id: RequestId,
    pub(crate) reply: Reply,
}

/// An event for the event loop.
#[derive(Debug)]
pub(crate) enum Event {
    /// A call arrived.
    Submit(Submission),
    /// A caller disconnected before its answer was complete.
    CallerLeft(CallId),
    /// A run produced output.
    Progress(Progress),
    /// A run ended.
    Finished(Finished),
    /// An endpoint reported its load.
    Load(LoadReport),
    /// The load report of an endpoint could not be read.
    LoadUnavailable(EndpointName),
    /// An endpoint's prefix cache changed.
    Cache(CacheEvent),
    /// A link to another VM opened or closed, or delivered a message.
    Peer(PeerEvent),
    /// The platform replied to a request.
    Platform(PlatformReply),
    /// An engine was observed, or an order to it ended.
    Orders(poplarswitch_orders::Input),
    /// A set is to be put into force.
    Activate(Arc<Catalog>),
    /// An operator requests the status of the process.
    Status(Sender<Status>),
    /// An operator requests a drain; no effect if a drain has started.
    StartDrain,
    /// A drain is requested, by a signal for example; a second request limits its duration.
    DrainOrForce,
    /// The event loop must end.
    Stop,
}
