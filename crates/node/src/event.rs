//! What the decision thread is told.

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

/// The end of a run.
#[derive(Clone, Debug)]
pub(crate) struct Finished {
    pub(crate) ended: Ended,
    pub(crate) endpoint: EndpointName,
}

/// A call and the way to tell its caller that it has no answer.
#[derive(Debug)]
pub(crate) struct Submission {
    pub(crate) call: Arc<Call>,
    pub(crate) failure: oneshot::Sender<ErrorInfo>,
}

/// The platform's answer to a request of one of the cores.
#[derive(Debug)]
pub(crate) struct PlatformResponse {
    pub(crate) requester: Requester,
    pub(crate) id: RequestId,
    pub(crate) reply: Reply,
}

/// Everything that the decision thread reacts to.
#[derive(Debug)]
pub(crate) enum Event {
    /// A call arrived.
    Submit(Submission),
    /// A caller left before its answer was complete.
    CallerLeft(CallId),
    /// A run produced output.
    Progress(Progress),
    /// A run ended.
    Finished(Finished),
    /// An endpoint reported its load.
    Load(LoadReport),
    /// An endpoint gave no report.
    LoadUnavailable(EndpointName),
    /// An endpoint's prefix cache changed.
    Cache(CacheEvent),
    /// Something happened on a link to another VM.
    Peer(PeerEvent),
    /// The platform answered.
    Platform(PlatformResponse),
    /// An engine was read, or an order to it ended.
    Orders(poplarswitch_orders::Input),
    /// A set comes into force.
    Activate(Arc<Catalog>),
    /// An operator asks for the state.
    Status(Sender<Status>),
    /// An operator asks this VM to leave; to ask again changes nothing.
    StartDrain,
    /// A signal asks this VM to leave; a second one bounds the time of the drain.
    DrainOrForce,
    /// The process ends.
    Stop,
}
