//! The software version to which a stream belongs: records of streams that begin, and their exchange
//! with other VMs; see [`poplarswitch_ingress::StreamOrigins`].

use crate::{
    call_forwarder::CallForwarder,
    clock,
    incarnations::UnprovedStream,
    metrics::OriginLabel,
    shared::{Core, Shared},
};
use core::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};
use poplarswitch_entity::Time;
use poplarswitch_ingress::{
    Continuation, EndpointKey, Incarnation, NoVersion, Revision, Route, SentHistory,
    SoftwareVersion, StreamId, StreamMessage, StreamOrigin, ToldVersions, VersionPin, VersionView,
    ViewEnd, asked_vms, copy_holders, stream_keepers,
};
use std::{collections::HashMap, sync::Arc};
use tokio::{
    net::UdpSocket,
    sync::mpsc,
    time::{Instant, sleep, timeout_at},
};

/// Time limit for the replies of other VMs to a request for an origin.
const REPLY_TIMEOUT: Duration = Duration::from_millis(80);
/// Time limit for a confirmation of the endpoints by the platform, which may be slow.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(600);
/// Time in which origins are gathered into one datagram.
const GATHER_TIME: Duration = Duration::from_millis(5);
/// Maximum number of streams in a datagram.
const MAX_STREAMS: usize = 100;

/// Requests for origins whose replies are awaited, by their numbers.
pub(crate) type OriginRequests = HashMap<u32, mpsc::Sender<OriginReply>>;

/// Another VM's knowledge of a stream.
#[derive(Debug)]
pub(crate) struct OriginReply {
    origin: Option<StreamOrigin>,
    versions: Option<Vec<SoftwareVersion>>,
    view_age: Option<Duration>,
    view_revision: Option<Revision>,
}

/// An origin that other VMs have to be told of.
#[derive(Clone, Debug)]
pub(crate) struct UntoldOrigin {
    stream: StreamId,
    origin: StreamOrigin,
}

impl Shared {
    fn count_take_up(&self, origin: &'static str) {
        let label = OriginLabel { origin };
        self.metrics.take_ups.get_or_create(&label).inc();
    }
}

impl Shared {
    /// Records in the history of versions that all endpoints have been listed as of a revision. Unless
    /// nothing has changed since the last view, versions may have come and gone unseen.
    pub(crate) fn record_listed(&self, core: &mut Core, now: Time, revision: Revision) {
        let before = core.endpoints.revision();
        if revision == before {
            return;
        }
        core.origins.record_gap(now, revision);
        self.announce_gap(core, before, revision);
    }

    /// Takes in the history of versions of another VM together with its view up to `end`, in reply to a
    /// request that was sent at `sent`.
    pub(crate) fn merge_history(
        &self,
        core: &mut Core,
        sent: Time,
        told: &SentHistory,
        end: &ViewEnd,
    ) {
        let had_gap = core.origins.has_open_gap();
        let own_end = core.view_end();
        let now = clock::now();
        core.origins.merge_history(now, sent, told, end, &own_end);
        if !had_gap {
            self.announce_gap(core, own_end.revision, end.revision);
        }
    }

    fn announce_gap(&self, core: &Core, before: Revision, after: Revision) {
        if !core.origins.has_open_gap() {
            return;
        }
        let (before, after) = (before.number, after.number);
        tracing::info!(event = "gap", before, after, "stream");
        self.versions_missed.notify_one();
    }
}

impl Core {
    /// Up to where this VM's view of the endpoints is complete.
    fn view_end(&self) -> ViewEnd {
        ViewEnd {
            confirmed: self.endpoints_confirmed,
            revision: self.endpoints.revision(),
        }
    }

    fn other_vms(&self, now: Time) -> Vec<Ipv4Addr> {
        self.membership.alive(now).map(|member| member.ip).collect()
    }

    /// Whether this VM keeps streams in its entry in the platform.
    pub(crate) fn keeps_streams(&self, now: Time) -> bool {
        let local_ip = self.membership.local_ip();
        self.origins.keeps_any() && self.stream_keepers(now).contains(&local_ip)
    }

    /// The VMs that keep streams in their entries in the platform.
    fn stream_keepers(&self, now: Time) -> Vec<Ipv4Addr> {
        let mut vms = self.other_vms(now);
        vms.push(self.membership.local_ip());
        stream_keepers(&vms)
    }

    /// Records the origin of a stream, for other VMs too.
    pub(crate) fn record_origin(&mut self, now: Time, origin: UntoldOrigin) {
        self.origins.record(now, origin.stream, &origin.origin);
        self.untold_origins.push(origin);
    }

    /// Whether another incarnation of an endpoint, of another version, has taken its name.
    pub(crate) fn is_replaced(
        &self,
        key: EndpointKey,
        name: &str,
        software: &SoftwareVersion,
    ) -> bool {
        if self.endpoints.get(key).is_some() {
            return false;
        }
        let same_name = self.endpoints.iter();
        let mut same_name = same_name.filter(|(_, other)| other.entry.name.as_str() == name);
        same_name.any(|(_, other)| other.entry.software.as_ref() != Some(software))
    }
}

/// Finds the origin of a stream that a caller takes up: among the records of this VM, those of
/// others, or as the only version of one of the route's services.
pub(crate) async fn find_origin(
    shared: &Shared,
    route: &Route,
    call_id: &str,
    continues: &Continuation,
) -> Option<StreamOrigin> {
    let stream = continues.first_attempt.as_deref().map(StreamId::new);
    let recorded = stream.and_then(|stream| {
        let core = shared.core();
        core.origins.get(clock::now(), stream).cloned()
    });
    let origin = if let Some(origin) = recorded {
        let software = origin.software.as_str();
        tracing::info!(event = "recorded", id = call_id, software, "stream");
        shared.count_take_up("recorded");
        Some(origin)
    } else {
        let stream = UnrecordedStream {
            route,
            call_id,
            id: stream,
            asked: clock::now(),
            deadline: Instant::now() + CONFIRM_TIMEOUT,
        };
        ask(shared, &stream).await
    };
    let is_target = |origin: &StreamOrigin| {
        let mut targets = route.targets.iter();
        targets.any(|target| target.service == origin.service)
    };
    origin.filter(|origin| origin.software.is_known() && is_target(origin))
}

/// A stream without a record that a caller takes up.
#[derive(Clone, Copy, Debug)]
struct UnrecordedStream<'a> {
    route: &'a Route,
    call_id: &'a str,
    /// Its identifier, if the caller names its first attempt.
    id: Option<StreamId>,
    /// When this VM was asked to let it go on.
    asked: Time,
    /// When the wait for a confirmation of the endpoints ends.
    deadline: Instant,
}

impl UnrecordedStream<'_> {
    /// Its origin, if its route has a single service and that a single version. Waits until the
    /// platform confirms the endpoints if only that is missing.
    async fn only_origin(
        &self,
        shared: &Shared,
        told: &[ToldVersions],
    ) -> Result<StreamOrigin, NoVersion> {
        match self.try_only_origin(shared, told) {
            Err(NoVersion::Unconfirmed) => {
                shared.confirm_endpoints(self.asked, self.deadline).await;
                self.try_only_origin(shared, told)
            }
            decided => decided,
        }
    }

    fn try_only_origin(
        &self,
        shared: &Shared,
        told: &[ToldVersions],
    ) -> Result<StreamOrigin, NoVersion> {
        let [target] = &*self.route.targets else {
            return Err(NoVersion::SeveralServices);
        };
        let confirmed = shared.endpoints_read();
        let core = shared.core();
        let view = VersionView {
            now: clock::now(),
            asked: self.asked,
            confirmed,
            started: shared.started,
            unix_ms: clock::unix_millis(),
            endpoints: &core.endpoints,
            told,
        };
        let software = core.origins.only_version(&target.service, &view)?;
        Ok(StreamOrigin {
            service: target.service.clone(),
            software,
        })
    }
}

/// Removes a request for an origin when it is dropped, also if its call is cancelled.
struct FindGuard<'a> {
    shared: &'a Shared,
    serial: u32,
}

impl Drop for FindGuard<'_> {
    fn drop(&mut self) {
        self.shared.core().origin_requests.remove(&self.serial);
    }
}

/// Asks other VMs for the origin of a stream, or for the versions that its service has had.
async fn ask(shared: &Shared, stream: &UnrecordedStream<'_>) -> Option<StreamOrigin> {
    if stream.id.is_none()
        && let Ok(origin) = stream.only_origin(shared, &[]).await
    {
        let software = origin.software.as_str();
        tracing::info!(event = "unnamed", id = stream.call_id, software, "stream");
        shared.count_take_up("only_version");
        return Some(origin);
    }
    let socket = shared.peer_socket.get()?;
    let service = stream.route.targets.first()?.service.clone();
    let (peers, serial, mut replies) = {
        let mut core = shared.core();
        let asked = stream.id.unwrap_or(StreamId(0));
        let known: Vec<Ipv4Addr> = core.membership.known().collect();
        let peers = asked_vms(asked, &core.other_vms(clock::now()), &known);
        let (sender, replies) = mpsc::channel(peers.len().max(1));
        core.origin_serial = core.origin_serial.wrapping_add(1);
        let serial = core.origin_serial;
        core.origin_requests.insert(serial, sender);
        (peers, serial, replies)
    };
    let guard = FindGuard { shared, serial };
    let message = StreamMessage::Find {
        serial,
        stream: stream.id,
        service,
    };
    for ip in &peers {
        send(shared, socket, &message, *ip).await;
    }
    let (sent, asked_at) = (Instant::now(), clock::now());
    let deadline = sent + REPLY_TIMEOUT;
    let mut recorded = None;
    let mut told = Vec::new();
    let mut answered = 0;
    for _ in &peers {
        let Ok(Some(reply)) = timeout_at(deadline, replies.recv()).await else {
            break;
        };
        answered += 1;
        told.extend(reply.versions.map(|versions| ToldVersions {
            versions,
            until: reply.view_revision.map(|revision| ViewEnd {
                confirmed: reply.view_age.map(|age| asked_at - age),
                revision,
            }),
        }));
        if reply.origin.is_some() {
            recorded = reply.origin;
            break;
        }
    }
    drop(guard);
    let waited = sent.elapsed().as_millis() as u64;
    let is_recorded = recorded.is_some();
    let origin = match recorded {
        Some(origin) => Ok(origin),
        None => stream.only_origin(shared, &told).await,
    };
    let view_age = shared
        .endpoints_read()
        .map(|at| clock::now().since(at).as_millis() as u64);
    tracing::info!(
        event = "asked",
        id = stream.call_id,
        asked = peers.len(),
        answered,
        waited_ms = waited,
        histories = told.len(),
        view_age_ms = view_age,
        recorded = is_recorded,
        software = origin.as_ref().ok().map(|origin| origin.software.as_str()),
        reason = origin.as_ref().err().map(|reason| reason.as_str()),
        "stream"
    );
    shared.count_take_up(match &origin {
        Ok(_) if is_recorded => "told",
        Ok(_) => "only_version",
        Err(reason) => reason.as_str(),
    });
    origin.ok()
}

async fn send(shared: &Shared, socket: &UdpSocket, message: &StreamMessage, ip: Ipv4Addr) {
    let mut bytes = Vec::with_capacity(64);
    if let Err(error) = ciborium::into_writer(message, &mut bytes) {
        tracing::warn!(event = "unwritable", %error, "stream");
        return;
    }
    let peer = SocketAddr::new(ip.into(), shared.settings.listen.peers.port());
    // A failed send has the same effect as a lost datagram; another VM holds a copy.
    if let Err(error) = socket.send_to(&bytes, peer).await {
        tracing::debug!(%peer, %error, "send a stream message");
    }
}

/// Processes a datagram of another VM.
pub(crate) async fn receive(
    shared: &Shared,
    socket: &UdpSocket,
    from: Ipv4Addr,
    message: StreamMessage,
) {
    let now = clock::now();
    match message {
        StreamMessage::Origins(origins) => receive_origins(shared, now, &origins),
        StreamMessage::Find {
            serial,
            stream,
            service,
        } => {
            let reply = {
                let core = shared.core();
                let origin = stream.and_then(|stream| core.origins.get(now, stream));
                StreamMessage::Found {
                    serial,
                    origin: origin.cloned(),
                    versions: core.origins.history(now, shared.started, &service),
                    view_age_ms: core
                        .endpoints_confirmed
                        .map(|at| now.since(at).as_millis() as u32),
                    view_revision: Some(core.endpoints.revision()),
                }
            };
            send(shared, socket, &reply, from).await;
        }
        StreamMessage::Found {
            serial,
            origin,
            versions,
            view_age_ms,
            view_revision,
        } => {
            let waiter = shared.core().origin_requests.get(&serial).cloned();
            if let Some(waiter) = waiter {
                // The request may have ended.
                let _ended = waiter.try_send(OriginReply {
                    origin,
                    versions,
                    view_age: view_age_ms.map(u64::from).map(Duration::from_millis),
                    view_revision,
                });
            }
        }
    }
}

fn receive_origins(shared: &Shared, now: Time, told: &[(StreamOrigin, Vec<StreamId>)]) {
    let mut core = shared.core();
    core.origins.merge(now, told);
    let local_ip = core.membership.local_ip();
    if !core.stream_keepers(now).contains(&local_ip) {
        return;
    }
    let mut is_lacking = false;
    for (origin, streams) in told {
        for stream in streams {
            is_lacking |= core.origins.remember(now, *stream, origin);
        }
    }
    if is_lacking {
        shared.streams_kept.notify_one();
    }
}

/// Tells other VMs of the origins of streams until the process exits.
pub(crate) async fn tell(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    loop {
        shared.origin_news.notified().await;
        sleep(GATHER_TIME).await;
        let by_peer = {
            let mut core = shared.core();
            let untold = core::mem::take(&mut core.untold_origins);
            let now = clock::now();
            let others = core.other_vms(now);
            let keepers = core.stream_keepers(now);
            let local_ip = core.membership.local_ip();
            let mut by_peer: HashMap<Ipv4Addr, Vec<UntoldOrigin>> = HashMap::new();
            let retold = core.origins.take_retold(others.len() + 1).into_iter();
            let retold = retold.map(|(stream, origin)| UntoldOrigin { stream, origin });
            let retold = retold.map(|origin| (origin, keepers.clone()));
            let untold = untold.into_iter().map(|origin| {
                let mut told = copy_holders(origin.stream, &others);
                if core.origins.keeps(&origin.origin.service) {
                    told.extend(&keepers);
                    told.sort_unstable();
                    told.dedup();
                }
                (origin, told)
            });
            let told: Vec<(UntoldOrigin, Vec<Ipv4Addr>)> = retold.chain(untold).collect();
            for (origin, told) in told {
                for ip in told {
                    if ip == local_ip {
                        core.origins.remember(now, origin.stream, &origin.origin);
                        shared.streams_kept.notify_one();
                    } else {
                        by_peer.entry(ip).or_default().push(origin.clone());
                    }
                }
            }
            by_peer
        };
        for (ip, untold) in by_peer {
            for untold in untold.chunks(MAX_STREAMS) {
                send(&shared, &socket, &group(untold), ip).await;
            }
        }
    }
}

/// Groups streams by their origins.
fn group(untold: &[UntoldOrigin]) -> StreamMessage {
    let mut groups: Vec<(StreamOrigin, Vec<StreamId>)> = Vec::new();
    for UntoldOrigin { stream, origin } in untold {
        match groups.iter_mut().find(|(known, _)| known == origin) {
            Some((_, streams)) => streams.push(*stream),
            None => groups.push((origin.clone(), vec![*stream])),
        }
    }
    StreamMessage::Origins(groups)
}

impl CallForwarder {
    /// Binds the stream to the version of the endpoint that sends its first event, and records its
    /// origin.
    pub(crate) async fn pin_version(&mut self, key: EndpointKey) {
        if !self.request.pin.is_begun() {
            let began = clock::now();
            self.began = Some(began);
            let software = self.record.software.clone();
            let found = match &software {
                Some(software) => self.check_answering(key, began, software).await,
                None => Incarnation::Undecided,
            };
            self.request.pin = VersionPin::begin(software, found);
            if let VersionPin::Unproved(software) = &self.request.pin {
                let origin = self.origin(software);
                let stream = UnprovedStream { began, origin };
                self.shared.await_proof(key, stream);
            }
        }
        self.record_origin();
    }

    /// Records the origin of the stream. A stream of an unknown version is recorded too: it must not
    /// pass for one of the only version that is known.
    pub(crate) fn record_origin(&self) {
        let unknown = SoftwareVersion::default();
        let origin = self.origin(self.request.pin.proved().unwrap_or(&unknown));
        self.shared.core().record_origin(clock::now(), origin);
        self.shared.origin_news.notify_one();
    }

    /// Origin of the stream if it belongs to a version.
    fn origin(&self, software: &SoftwareVersion) -> UntoldOrigin {
        let continues = self.request.call.continues.as_ref();
        let first_attempt = continues.and_then(|stream| stream.first_attempt.as_deref());
        UntoldOrigin {
            stream: StreamId::new(first_attempt.unwrap_or(&self.request.call.id)),
            origin: StreamOrigin {
                service: self.request.service.clone(),
                software: software.clone(),
            },
        }
    }
}
