//! Limits that endpoints name in their answers: news of them, and tokens for requests.
//!
//! Each request to a limited endpoint takes a token from the endpoint's owner, which is one of the
//! VMs; see [`poplarswitch_ingress::RateLimits`]. This module finds the owner and exchanges the
//! datagrams.

use crate::{
    ResponseInfo, ResponseKind,
    call_forwarder::CallForwarder,
    clock,
    shared::{Core, Shared},
};
use core::{
    cell::LazyCell,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};
use poplarswitch_entity::{EndpointName, Time};
use poplarswitch_ingress::{
    Denial, EndpointKey, LimitChange, LimitId, LimitMessage, LimitShare, Permit, TokenReply,
    TokenRequest, hash_pair,
};
use rand::Rng as _;
use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};
use tokio::{
    net::UdpSocket,
    sync::oneshot,
    time::{sleep, timeout},
};

/// Time limit for the owner's reply; calls that wait for it have latency objectives of 100 ms and
/// more.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Interval at which news is repeated.
const NEWS_INTERVAL: Duration = Duration::from_millis(300);
/// Minimum interval between datagrams of news.
const MIN_NEWS_INTERVAL: Duration = Duration::from_millis(20);

/// Requests for tokens whose replies are awaited, by their numbers.
pub(crate) type TokenRequests = HashMap<u32, oneshot::Sender<TokenReply>>;

impl Core {
    /// Identifier under which the limit of an endpoint is known to all VMs.
    pub(crate) fn limit_id(&self, key: EndpointKey) -> Option<LimitId> {
        let endpoint = self.endpoints.get(key)?;
        Some(LimitId::new(endpoint.name_hash, endpoint.entry.start_ms))
    }

    /// The VM that grants tokens for an endpoint; none before the list of VMs has been read.
    fn limit_owner(&self, now: Time, id: LimitId) -> Option<Ipv4Addr> {
        if !self.sources.is_listed() {
            return None;
        }
        let ready = self.membership.alive(now);
        let ready = ready.filter(|member| member.phase.accepts_calls());
        let others = ready.map(|member| member.ip);
        let local = Some(self.membership.local_ip()).filter(|_| !self.shutdown.has_started());
        others
            .chain(local)
            .max_by_key(|ip| hash_pair(u64::from(ip.to_bits()), id.0))
    }

    fn limit_share(&self, now: Time, started: Time, id: LimitId) -> LimitShare {
        let alive = self.membership.alive(now).count() + 1;
        let all = alive + self.membership.silent_count(now);
        let is_minority = alive * 2 < all;
        LimitShare {
            is_owner: self.limit_owner(now, id) == Some(self.membership.local_ip()),
            uptime: now.since(started),
            fraction: if is_minority {
                alive as f64 / all as f64
            } else {
                1.0
            },
        }
    }

    /// Updates which limits this VM owns, and forgets old ones.
    pub(crate) fn refresh_limits(&mut self, now: Time, started: Time) {
        let mut limits = core::mem::take(&mut self.limits);
        let listed = LazyCell::new(|| self.listed_limits());
        limits.refresh(
            now,
            |id| self.limit_share(now, started, id),
            |id| listed.contains(&id),
        );
        self.limits = limits;
    }

    /// Identifiers under which limits of the listed endpoints would be known.
    fn listed_limits(&self) -> HashSet<LimitId> {
        let endpoints = self.endpoints.iter();
        let ids = endpoints.map(|(_, e)| LimitId::new(e.name_hash, e.entry.start_ms));
        ids.collect()
    }
}

impl CallForwarder {
    /// Records what an answer to a request that was sent at `sent` says of the limit of its endpoint,
    /// `name`.
    pub(crate) fn observe_limit(
        &self,
        key: EndpointKey,
        name: &EndpointName,
        sent: Time,
        info: &ResponseInfo,
    ) {
        // Another process than this endpoint may have answered.
        if matches!(info.kind, ResponseKind::OtherCall | ResponseKind::Displaced) {
            return;
        }
        let now = clock::now();
        let mut core = self.shared.core();
        let Some(id) = core.limit_id(key) else {
            return;
        };
        let change = core.limits.observe(now, id, sent, info.limit);
        let is_limited = core.limits.rate(id).is_some();
        if !is_limited && let Some(endpoint) = core.endpoints.get_mut(key) {
            endpoint.denial = Denial::default();
        }
        drop(core);
        if is_limited {
            self.shared.metrics.limited_sends.inc();
        }
        if let Some(change) = change {
            log_change(id, change, name.as_str());
            self.shared.limit_news.notify_one();
        }
    }

    /// Takes a token for a request to an endpoint, if the endpoint has a limit; returns whether the
    /// request may be sent. If not, the endpoint counts as limited for a while.
    pub(crate) async fn take_permit(&mut self, key: EndpointKey) -> bool {
        let now = clock::now();
        let rank = self.request.priority;
        let (id, permit, owner) = {
            let mut core = self.shared.core();
            let Some(id) = core.limit_id(key) else {
                return true;
            };
            if core.limits.rate(id).is_none() {
                return true;
            }
            let share = core.limit_share(now, self.shared.started, id);
            let permit = core.limits.request(now, id, rank, share);
            (id, permit, core.limit_owner(now, id))
        };
        let permit = match permit {
            Permit::Ask(request) => {
                let reply = match owner {
                    Some(owner) => ask(&self.shared, owner, request).await,
                    None => None,
                };
                let now = clock::now();
                self.shared.core().limits.finish(now, id, rank, reply)
            }
            permit => permit,
        };
        let Permit::Denied(denial) = permit else {
            return true;
        };
        self.record.denied += 1;
        self.shared.metrics.tokens_denied.inc();
        if let Some(endpoint) = self.shared.core().endpoints.get_mut(key) {
            endpoint.denial = denial;
        }
        false
    }
}

/// Removes a request for a token when it is dropped, also if its call is cancelled.
struct AskGuard<'a> {
    shared: &'a Shared,
    serial: u32,
}

impl Drop for AskGuard<'_> {
    fn drop(&mut self) {
        self.shared.core().token_requests.remove(&self.serial);
    }
}

/// Asks the owner of a limit for a token; none if there is no reply in time.
async fn ask(shared: &Shared, owner: Ipv4Addr, request: TokenRequest) -> Option<TokenReply> {
    let socket = shared.peer_socket.get()?;
    let (sender, receiver) = oneshot::channel();
    shared.core().token_requests.insert(request.serial, sender);
    let _guard = AskGuard {
        shared,
        serial: request.serial,
    };
    let peer = SocketAddr::new(owner.into(), shared.settings.listen.peers.port());
    send(socket, &LimitMessage::Ask(request), peer).await;
    let reply = timeout(REPLY_TIMEOUT, receiver).await;
    reply.ok()?.ok()
}

/// Tells other VMs of limits until the process exits: at once if there is news, and regularly.
pub(crate) async fn tell(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    loop {
        tokio::select! {
            () = shared.limit_news.notified() => {}
            () = sleep(NEWS_INTERVAL) => {}
        }
        let now = clock::now();
        let (news, receivers) = {
            let mut core = shared.core();
            let mut rng = core.rng.clone();
            let receivers = core.membership.receivers(now, || rng.next_u64());
            core.rng = rng;
            (core.limits.news(now), receivers)
        };
        if !news.is_empty() {
            let message = LimitMessage::News(news);
            for ip in receivers {
                let peer = SocketAddr::new(ip.into(), shared.settings.listen.peers.port());
                send(&socket, &message, peer).await;
            }
        }
        sleep(MIN_NEWS_INTERVAL).await;
    }
}

/// Tells a VM that has just started or come back of all limits, however old the news is.
pub(crate) async fn tell_one(shared: &Shared, socket: &UdpSocket, peer: SocketAddr) {
    let pages = shared.core().limits.all(clock::now());
    for records in pages {
        send(socket, &LimitMessage::News(records), peer).await;
    }
}

async fn send(socket: &UdpSocket, message: &LimitMessage, peer: SocketAddr) {
    let mut bytes = Vec::with_capacity(64);
    if let Err(error) = ciborium::into_writer(message, &mut bytes) {
        tracing::warn!(event = "unwritable", %error, "limit");
        return;
    }
    // A failed send has the same effect as a lost datagram: news is repeated, and a request for a
    // token has a time limit.
    if let Err(error) = socket.send_to(&bytes, peer).await {
        tracing::debug!(%peer, %error, "send a limit message");
    }
}

/// Processes a datagram of another VM.
pub(crate) async fn receive(
    shared: &Shared,
    socket: &UdpSocket,
    from: SocketAddr,
    message: LimitMessage,
) {
    let now = clock::now();
    match message {
        LimitMessage::News(records) => {
            let changes = shared.core().limits.merge(now, &records);
            if !changes.is_empty() {
                lift_ended(shared, &changes);
                for (id, change) in changes {
                    log_change(id, change, "");
                }
                // In a large cluster, each VM tells only a few others, so news is passed on.
                shared.limit_news.notify_one();
            }
        }
        LimitMessage::Ask(request) => {
            let reply = {
                let mut core = shared.core();
                let is_member = core
                    .membership
                    .alive(now)
                    .any(|member| IpAddr::V4(member.ip) == from.ip());
                if !is_member {
                    return;
                }
                let share = core.limit_share(now, shared.started, LimitId(request.limit.0));
                core.limits.answer(now, request, share)
            };
            send(socket, &LimitMessage::Grant(reply), from).await;
        }
        LimitMessage::Grant(reply) => {
            let waiter = shared.core().token_requests.remove(&reply.serial);
            if let Some(waiter) = waiter {
                // The request may have reached its time limit.
                let _late = waiter.send(reply);
            }
        }
    }
}

/// Makes endpoints available again whose limits have ended.
fn lift_ended(shared: &Shared, changes: &[(LimitId, LimitChange)]) {
    let mut core = shared.core();
    for (_, endpoint) in core.endpoints.iter_mut() {
        let id = LimitId::new(endpoint.name_hash, endpoint.entry.start_ms);
        if changes.contains(&(id, LimitChange::Ended)) {
            endpoint.denial = Denial::default();
        }
    }
}

fn log_change(LimitId(id): LimitId, change: LimitChange, endpoint: &str) {
    let limit = format!("{id:x}");
    match change {
        LimitChange::Named(rate) => {
            tracing::info!(event = "limit_named", endpoint, limit, rate, "endpoint");
        }
        LimitChange::Ended => tracing::info!(event = "limit_ended", endpoint, limit, "endpoint"),
    }
}
