//! Exchange of configuration and endpoints between VMs: requests and replies in CBOR over HTTP.
//!
//! A VM with nothing new delays its reply until something changes or the wait of the request ends;
//! it replies at once if it reads the platform and its last call to it failed.

use crate::{
    clock,
    platform_reader::{NewConfig, apply_config},
    shared::{Core, Shared},
    snapshot,
    tcp::{self, ConnectError, ExchangeError, Sender},
};
use bytes::Bytes;
use core::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};
use http::{Request, Response};
use http_body_util::Full;
use poplarswitch_entity::Time;
use poplarswitch_ingress::{
    BODY_SILENCE_LIMIT, Cursor, EndpointEntry, EntryChanges, FEED_WAIT, FeedReply, FeedRequest,
    Packed, PeerState, REPLY_MARGIN, Revision, UnpackError, ViewEnd,
};
use snafu::{ResultExt as _, Snafu};
use std::sync::Arc;
use tokio::time::sleep;

/// Time limit for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between checks while there is no VM from which changes can be requested.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Time limit for the beginning of a reply to a VM that starts, which serves no calls before.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// Delay after each reply, so that one reply contains several changes that occur together.
const REQUEST_DELAY: Duration = Duration::from_millis(100);
/// Maximum size of a reply, which may contain a configuration and all endpoints.
const MAX_REPLY_BYTES: usize = 4 << 20;

/// Why a request to another VM failed.
#[derive(Debug, Snafu)]
enum FeedError {
    #[snafu(display("{source}"))]
    Unreached { source: ConnectError },
    #[snafu(display("feed request to {peer}: {source}"))]
    Broken {
        peer: SocketAddr,
        source: ExchangeError,
    },
    #[snafu(display("feed request to {peer}: {reason}"))]
    Unreadable { peer: SocketAddr, reason: String },
}

/// Replies to the request of another VM.
pub(crate) async fn answer(shared: &Shared, arrived: Time, body: &[u8]) -> Response<Full<Bytes>> {
    let request: FeedRequest = match ciborium::from_reader(body) {
        Ok(request) => request,
        Err(error) => {
            tracing::warn!(event = "unreadable", %error, "feed");
            let mut response = Response::default();
            *response.status_mut() = http::StatusCode::BAD_REQUEST;
            return response;
        }
    };
    let mut receiver = shared.subscribe();
    let wait = sleep(Duration::from_millis(u64::from(request.wait_ms)).min(FEED_WAIT));
    tokio::pin!(wait);
    let before = confirmations(shared);
    while shared.cursor() == request.cursor_in(shared.cursor().revision.era)
        && confirmations(shared) == before
        && !shared.core().platform_failed
    {
        tokio::select! {
            () = &mut wait => break,
            changed = receiver.changed() => if changed.is_err() { break },
        }
    }
    let cursor = request.cursor_in(shared.cursor().revision.era);
    let reply = reply(shared, arrived, cursor, request.unpacks);
    let mut bytes = Vec::new();
    if let Err(error) = ciborium::into_writer(&reply, &mut bytes) {
        tracing::warn!(event = "unwritable", %error, "feed");
    }
    Response::new(Full::new(bytes.into()))
}

fn confirmations(shared: &Shared) -> (Option<Time>, Option<Time>) {
    let core = shared.core();
    (core.freshness.confirmed_at(), core.endpoints_confirmed)
}

/// Builds the reply to a request that arrived at `arrived`; `packs` if its sender reads packed values.
fn reply(shared: &Shared, arrived: Time, cursor: Cursor, packs: bool) -> FeedReply {
    let table = shared.table.load_full();
    let newer = table.version() > cursor.version;
    let mut core = shared.core();
    let Core {
        origins, endpoints, ..
    } = &mut *core;
    let history = origins.sent_history(arrived, endpoints);
    let offset = |at: Time| at.0.cast_signed() - arrived.0.cast_signed();
    let config_confirmed = core.freshness.confirmed_at().map(offset);
    let endpoints_confirmed = core.endpoints_confirmed.map(offset);
    let revision = core.endpoints.revision();
    let changes = if revision <= cursor.revision {
        Some((Vec::new(), Vec::new()))
    } else {
        core.endpoints.changes_since(arrived, cursor.revision)
    };
    let sends_snapshot = changes.is_none();
    let (entries, removed) =
        changes.unwrap_or_else(|| (Vec::new(), core.endpoints.lapsed(arrived)));
    let change_count = core.endpoints.change_count();
    let all_entries = || core.endpoints.entries();
    FeedReply {
        cursor: Cursor {
            version: table.version(),
            revision,
        },
        config_confirmed,
        endpoints_confirmed,
        platform_failed: core.platform_failed,
        config: (newer && !packs).then(|| table.config().clone()),
        packed_config: (newer && packs).then(|| table.packed()),
        snapshot: (sends_snapshot && !packs)
            .then(|| shared.snapshot.plain(change_count, all_entries)),
        packed_snapshot: (sends_snapshot && packs)
            .then(|| shared.snapshot.packed(change_count, all_entries)),
        entries,
        removed,
        has_eras: true,
        is_checked: Some(core.startup.is_done()),
        served: core.outage.ages(clock::now()),
        history,
    }
}

/// Requests changes from other VMs until the process exits.
pub(crate) async fn follow(shared: Arc<Shared>) {
    let mut connection: Option<(Ipv4Addr, Sender)> = None;
    loop {
        let Some(peer) = next_peer(&shared) else {
            shared.wait_for_change(POLL_INTERVAL).await;
            continue;
        };
        let idle = connection
            .take()
            .filter(|(ip, sender)| *ip == peer && sender.is_ready());
        match request_changes(&shared, peer, idle.map(|(_, sender)| sender)).await {
            Ok((sender, is_usable)) => {
                connection = Some((peer, sender));
                if !is_usable {
                    shared.core().sources.mark_failed(clock::now(), peer);
                }
                sleep(REQUEST_DELAY).await;
            }
            Err(error) => {
                tracing::warn!(event = "failed", %peer, %error, "feed");
                shared.core().sources.mark_failed(clock::now(), peer);
            }
        }
    }
}

fn next_peer(shared: &Shared) -> Option<Ipv4Addr> {
    let now = clock::now();
    let core = shared.core();
    core.sources
        .next_peer(now, &core.membership, core.view_age(now))
}

/// Requests changes from one VM and applies the reply; returns the connection, and whether the VM
/// is usable as a source (see [`apply_reply`]).
async fn request_changes(
    shared: &Shared,
    ip: Ipv4Addr,
    idle: Option<Sender>,
) -> Result<(Sender, bool), FeedError> {
    let peer = SocketAddr::new(ip.into(), shared.settings.listen.peers.port());
    let mut sender = match idle {
        Some(sender) => sender,
        None => tcp::open(peer, CONNECT_TIMEOUT)
            .await
            .context(UnreachedSnafu)?,
    };
    let feed_request = FeedRequest {
        cursor: shared.cursor(),
        wait_ms: FEED_WAIT.as_millis() as u32,
        has_eras: true,
        unpacks: true,
    };
    let sent = clock::now();
    let reply = exchange(&mut sender, peer, &feed_request, FEED_WAIT + REPLY_MARGIN).await?;
    let state = reply.peer_state();
    let is_usable = apply_reply(shared, sent, reply).map_err(|error| FeedError::Unreadable {
        peer,
        reason: error.to_string(),
    })?;
    shared.core().startup.record(ip, state);
    Ok((sender, is_usable))
}

/// Sends a request and reads the reply, which must begin within `head` after the request.
async fn exchange(
    sender: &mut Sender,
    peer: SocketAddr,
    feed_request: &FeedRequest,
    head: Duration,
) -> Result<FeedReply, FeedError> {
    let unreadable = |reason| FeedError::Unreadable { peer, reason };
    let mut bytes = Vec::new();
    ciborium::into_writer(feed_request, &mut bytes)
        .map_err(|error| unreadable(error.to_string()))?;
    let request = Request::post("/feed")
        .header(http::header::HOST, peer.to_string())
        .body(Full::new(Bytes::from(bytes)))
        .unwrap_or_default();
    let limits = tcp::ReplyLimits {
        max_bytes: MAX_REPLY_BYTES,
        head,
        silence: BODY_SILENCE_LIMIT,
    };
    let response = tcp::exchange_slowly(sender, request, limits)
        .await
        .context(BrokenSnafu { peer })?;
    ciborium::from_reader(response.body().as_ref()).map_err(|error| unreadable(error.to_string()))
}

/// Asks a VM for a newer configuration, and applies it.
pub(crate) async fn ask_config(shared: &Shared, ip: Ipv4Addr) -> PeerState {
    match request_config(shared, ip).await {
        Ok(state) => state,
        Err(error) => {
            tracing::debug!(event = "unreached", peer = %ip, %error, "feed");
            PeerState::Unreached
        }
    }
}

async fn request_config(shared: &Shared, ip: Ipv4Addr) -> Result<PeerState, FeedError> {
    let peer = SocketAddr::new(ip.into(), shared.settings.listen.peers.port());
    let mut sender = tcp::open(peer, ASK_TIMEOUT).await.context(UnreachedSnafu)?;
    let feed_request = FeedRequest {
        cursor: Cursor {
            version: shared.cursor().version,
            // No endpoints.
            revision: Revision {
                era: u64::MAX,
                number: u64::MAX,
            },
        },
        wait_ms: 0,
        has_eras: true,
        unpacks: true,
    };
    let sent = clock::now();
    let mut reply = exchange(&mut sender, peer, &feed_request, ASK_TIMEOUT).await?;
    let state = reply.peer_state();
    let config = take_config(&mut reply).map_err(|error| FeedError::Unreadable {
        peer,
        reason: error.to_string(),
    })?;
    let (version, confirmed) = (reply.cursor.version, reply.config_confirmed);
    confirm_config(shared, sent, version, confirmed, config);
    Ok(state)
}

/// Applies the reply to a request that was sent at `sent`. Returns whether the peer is usable as a
/// source: its last call to the platform has not failed, and this VM's view is not stale after the
/// reply.
fn apply_reply(shared: &Shared, sent: Time, mut reply: FeedReply) -> Result<bool, UnpackError> {
    let platform_failed = reply.platform_failed;
    let packed_entries = reply.packed_snapshot.as_ref().map(Packed::unpack);
    let plain_entries = reply.snapshot.as_deref().map(snapshot::decode);
    let mut entries = packed_entries.or(plain_entries).transpose()?;
    let config = take_config(&mut reply)?;
    let version = reply.cursor.version;
    let config_confirmed = reply.config_confirmed;
    let mut core = shared.core();
    if let Some(ages) = reply.served {
        core.outage.receive(clock::now(), ages);
    }
    let era = core.endpoints.revision().era;
    reply.set_missing_eras(entries.as_deref_mut().unwrap_or_default(), era);
    let revision = reply.cursor.revision;
    if reply.has_eras && revision != Revision::default() {
        shared.record_era(revision.era, "peer");
    }
    let outdated = revision < core.endpoints.revision();
    if !outdated {
        let listed = entries.iter().flatten().chain(&reply.entries);
        let seen = listed.map(EndpointEntry::service_version);
        core.origins.add_versions(clock::now(), seen);
        match &reply.history {
            Some(history) => {
                let local = |offset: i64| Time(sent.0.saturating_add_signed(offset));
                let confirmed = reply.endpoints_confirmed.map(local);
                let end = ViewEnd {
                    confirmed,
                    revision,
                };
                shared.merge_history(&mut core, sent, history, &end);
            }
            // A VM of an earlier version doesn't tell which versions came and went.
            None => shared.record_listed(&mut core, clock::now(), revision),
        }
    }
    let held_before = core.endpoints.lapsed_names();
    core.outage.record_era(clock::now(), revision.era);
    let mut changes = match entries {
        Some(entries) => {
            // The peer may not know entries that the platform has lost.
            let grace_end = core.endpoints.era_grace(revision, clock::now());
            core.endpoints.apply_listing(entries, revision, grace_end)
        }
        None => Vec::new(),
    };
    let removed = reply.removed.into_iter().map(|removal| {
        let mut removal = removal.into_local(sent);
        // The peer may have been cut off alone.
        removal.grace_end = removal.grace_end.filter(|end| core.outage.allows(*end));
        removal
    });
    let entry_changes = EntryChanges {
        entries: reply.entries,
        removed: removed.collect(),
        revision,
    };
    changes.extend(core.endpoints.apply(entry_changes));
    if !outdated {
        let confirmed_at = reply
            .endpoints_confirmed
            .map(|offset| Time(sent.0.saturating_add_signed(offset)));
        core.endpoints_confirmed = core.endpoints_confirmed.max(confirmed_at);
    }
    let held = core.endpoints.lapsed_names();
    drop(core);
    shared.record_lapses(&held_before, &held, "peer");
    shared.handle_endpoint_changes(&changes, "peer");
    confirm_config(shared, sent, version, config_confirmed, config);
    let core = shared.core();
    let now = clock::now();
    Ok(!platform_failed && !core.sources.is_stale(now, core.view_age(now)))
}

/// Takes the configuration out of a reply.
fn take_config(reply: &mut FeedReply) -> Result<Option<NewConfig>, UnpackError> {
    Ok(match reply.packed_config.take() {
        Some(packed) => Some(NewConfig {
            config: packed.unpack()?,
            packed: Some(packed),
        }),
        None => reply.config.take().map(NewConfig::from),
    })
}

/// Applies the configuration of a reply to a request that was sent at `sent`, unless the peer has an
/// older one; `version` is the peer's, which it `confirmed` at an offset from the request.
fn confirm_config(
    shared: &Shared,
    sent: Time,
    version: u64,
    confirmed: Option<i64>,
    config: Option<NewConfig>,
) {
    if let Some(offset) = confirmed
        && version >= shared.table.load().version()
    {
        let confirmed_at = Time(sent.0.saturating_add_signed(offset));
        apply_config(shared, config, confirmed_at, "peer");
    }
}
